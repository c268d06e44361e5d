from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from typing import TYPE_CHECKING, Any

import pytest

from azurefield_testkit.entry_support.instance import make_settings

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process


def start(path: Path, **changes: Any) -> tuple[subprocess.Popen[str], dict[str, Any]]:
    settings = make_settings()
    values = {name: getattr(settings, name) for name in settings.__dataclass_fields__} | changes
    file = path / "settings.json"
    file.write_text(json.dumps(values))
    command = [sys.executable, "-m", "azurefield_entry", "--settings", str(file)]
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    process = subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env=environment,
    )
    return process, values


def ready_status(address: str) -> int:
    end = time.monotonic() + 10
    while True:
        try:
            with urllib.request.urlopen(f"http://{address}/readyz", timeout=1) as response:
                return int(response.status)
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            assert time.monotonic() < end
            time.sleep(0.05)


def test_sigterm_ends_the_process_with_0_after_the_drain_notice(tmp_path: Path) -> None:
    """Guards against a planned stop that skips the drain notice or counts as a failure."""
    process, values = start(tmp_path, drain_notice_s=0.3)
    assert ready_status(values["admin_listen"]) == 503, "no configuration is in force"
    begin = time.monotonic()
    process.send_signal(signal.SIGTERM)
    log, _ = process.communicate(timeout=10)
    assert process.returncode == 0
    assert time.monotonic() - begin >= 0.3
    assert "[front]" in log
    assert "Traceback" not in log


@pytest.mark.parametrize(
    ("changes", "code", "line"),
    [
        pytest.param({"instance": ""}, 78, "$.instance", id="bad-value"),
        pytest.param({"listen": "127.0.0.1:99999"}, 78, "$.listen", id="bad-port"),
        pytest.param({"drain_notice": 1}, 78, "`drain_notice`", id="unknown-field"),
        pytest.param({"listen": "203.0.113.1:1"}, 70, "Service front crashed", id="crash"),
    ],
)
def test_a_start_that_fails_gives_its_exit_code_and_one_clear_line(
    tmp_path: Path, changes: dict[str, Any], code: int, line: str
) -> None:
    """Guards against a failed start whose cause the last line of the log does not name."""
    process, _ = start(tmp_path, **changes)
    log, _ = process.communicate(timeout=10)
    assert process.returncode == code
    assert line in log.splitlines()[-1]
    assert "Traceback" not in log
