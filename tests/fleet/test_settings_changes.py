"""Changes of the settings file of a running gateway process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from azurefield_testkit.waiting import wait_until
from gateway_process import serving

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process

UNUSABLE = {
    "nested": f"deep = {'[' * 2000}{']' * 2000}",
    "long-number": f"long = {'9' * 5000}",
    "memory-nan": "memory_mb = nan",
    "memory-inf": "memory_mb = inf",
}


@pytest.mark.parametrize("line", UNUSABLE.values(), ids=UNUSABLE.keys())
async def test_settings_that_cannot_be_used_do_not_end_the_process(
    tmp_path: Path, line: str
) -> None:
    """Guards against a change of the settings file whose reading or use ends the process."""
    async with serving(tmp_path) as site:
        usable = site.settings()
        site.write_settings(f"{usable}{line}\n")
        await site.wait_for_log("was not loaded")
        site.write_settings(f"{usable}memory_mb = 300\n")
        await site.wait_for_log("The settings have changed")
        await wait_until(site.ready, "the gateway is ready")
        assert (await site.call("/l/x", "q1"))[0] == 200
