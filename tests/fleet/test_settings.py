from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from result import Err, Ok

from azurefield.warmup_limits import WarmupBound
from azurefield_fleet.settings import load

if TYPE_CHECKING:
    from pathlib import Path

SETTINGS = """
node_name = "n1"
zone = "one"
new_field = 1
[listen]
frontend = "127.0.0.1:8001"
readiness = "127.0.0.1:8002"
admin = "127.0.0.1:8003"
[bounds]
retry_budget_ratio = 0.25
grace_s = 6
[platform]
address = "127.0.0.1:8004"
"""


def write(path: Path, text: str) -> Path:
    file = path / "settings.toml"
    file.write_text(text, encoding="utf-8")
    return file


def test_the_settings_are_named_as_the_gateway_names_them(tmp_path: Path) -> None:
    """Guards against a setting that is ignored or translated into another one."""
    settings = load(write(tmp_path, SETTINGS))
    assert isinstance(settings, Ok)
    loaded = settings.ok_value
    assert (loaded.instance, loaded.availability_zone) == ("n1", "one")
    assert loaded.store_address == "127.0.0.1:8004"
    assert (loaded.further_calls_ratio, loaded.stop_grace_s) == (0.25, 6)


def test_servers_that_warm_up_are_bounded_only_where_the_platform_says_so(tmp_path: Path) -> None:
    """Guards against a new way to serve deployments that do not ask for it."""
    assert load(write(tmp_path, SETTINGS)).unwrap().warmup_bound is None
    bounds = "grace_s = 6\nwarmup_overage = 1.5\nwarmup_slack = 5"
    loaded = load(write(tmp_path, SETTINGS.replace("grace_s = 6", bounds))).unwrap()
    assert loaded.warmup_bound == WarmupBound(rate_factor=1.5, extra_requests=5.0)


def test_the_settings_name_the_region_of_each_zone(tmp_path: Path) -> None:
    """Guards against a zone without a region, whose servers get no bound requests."""
    assert load(write(tmp_path, SETTINGS)).unwrap().regions == {}
    zones = '[zones]\none = "eu"\ntwo = "us"\n[listen]'
    loaded = load(write(tmp_path, SETTINGS.replace("[listen]", zones))).unwrap()
    assert loaded.regions == {"one": "eu", "two": "us"}


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('node_name = "n1"', "", "node_name"),
        ('"127.0.0.1:8001"', "8001", "frontend"),
        ('"127.0.0.1:8001"', '"127.0.0.1:0"', "listen.frontend"),
        ('"127.0.0.1:8004"', '"store:80"', "platform.address"),
        ("grace_s = 6", 'grace_s = "six"', "grace_s"),
        ("[listen]", "[listen", "line"),
        ("new_field = 1", f"new_field = {'9' * 5000}", "integer"),
        ("new_field = 1", f"new_field = {'[' * 2000}{']' * 2000}", "recursion"),
        ("new_field = 1", "port_range = [70000, 70001]", "port_range"),
        ("grace_s = 6", "grace_s = nan", "grace_s"),
        ("grace_s = 6", "grace_s = inf", "grace_s"),
        ("grace_s = 6", "grace_s = -1", "grace_s"),
    ],
)
def test_bad_settings_are_refused_with_the_field_that_is_wrong(
    tmp_path: Path, old: str, new: str, named: str
) -> None:
    """Guards against invalid settings that are accepted, or refused without naming the field."""
    result = load(write(tmp_path, SETTINGS.replace(old, new)))
    assert isinstance(result, Err)
    assert named in result.err_value.problem


def test_a_missing_file_is_refused(tmp_path: Path) -> None:
    """Guards against an exception instead of a failure that is reported."""
    assert isinstance(load(tmp_path / "none.toml"), Err)
