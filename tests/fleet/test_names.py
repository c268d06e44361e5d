"""The names of the users' platform occur only in the adapter, the directory ``platform``."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
ADAPTER_LINES_MAX = 1000
NAMES = (
    "Response-Signature",
    "Partial-Stamps",
    "Missing-Shards",
    "Not-Executed",
    "Expected-Instance",
    "Instance-Id",
    "Deadline-Ms",
    "Server-Limit",
    "Store-Era",
    "Tenant-Id",
    "Credential",
    "tenants",
    "api_keys",
    "kv-key",
    "kv-range",
    "kv-watch",
    "kv-txn",
    "kv-lease",
    "kv-keep",
    "op/config",
    "servers/",
    "AZUREFIELD_BOOT",
    "traffic_split",
    "route_type",
    "max_attempts",
    "target_latency_ms",
    "min_coverage",
    "top_k",
    "max_conns",
    "max_header_bytes",
    "max_body_bytes",
    "idle_timeout_ms",
    "warmup_left_ms",
    "store_revision",
    "expect_rev",
    "set_keys",
    "delete_keys",
    "has_more",
    "node_name",
    "retry_budget_ratio",
    "retry_window_s",
    "config_apply_ms",
    "contact_ms",
    "op/evacuate",
    "warmup_per_s",
    "warmup_overage",
    "warmup_slack",
)


def sources() -> list[Path]:
    return sorted(ROOT.glob("packages/*/src/**/*.py"))


@pytest.mark.parametrize("name", NAMES)
def test_no_module_outside_the_adapter_contains_a_name_of_the_platform(name: str) -> None:
    """Guards against packages that depend on one platform."""
    pattern = re.compile(rf"(?<![\w-]){re.escape(name)}(?![\w-])", re.IGNORECASE)
    found = [
        f"{path.relative_to(ROOT)}:{number}"
        for path in sources()
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        if pattern.search(line)
    ]
    assert sources()
    assert not found


def test_the_adapter_contains_the_names_that_are_looked_for() -> None:
    """Guards against a list of names that the adapter does not use, which checks nothing."""
    adapter = "\n".join(
        path.read_text(encoding="utf-8") for path in ROOT.glob("platform/**/*.py")
    ).lower()
    unused = {name for name in NAMES if name.lower() not in adapter}
    # Neither the adapter nor the packages use these.
    assert unused == {"Instance-Id", "kv-key", "config_apply_ms", "contact_ms"}


def test_the_adapter_stays_small() -> None:
    """Guards against an adapter that takes over decisions of the gateway."""
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines()) for path in ROOT.glob("platform/**/*.py")
    )
    assert lines < ADAPTER_LINES_MAX
