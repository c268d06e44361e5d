"""A gateway process before a store whose replies can't be used."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from azurefield_testkit.waiting import wait_until
from gateway_process import serving_fleet
from standins import config, route

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process


async def test_a_revision_that_no_frame_can_carry_does_not_end_the_process(tmp_path: Path) -> None:
    """Guards against a reply of the store that ends the service that relays it."""
    async with serving_fleet(tmp_path, {"n1": 1.0}) as sites:
        site = sites["n1"]
        usable = site.store.revision
        site.store.revision = 1 << 64
        site.store.put("other", 1)
        await wait_until(lambda: site.store.calls.count("/kv-watch") > 2, "the store is watched")
        del site.store.events[-1]
        site.store.revision = usable
        site.store.put("op/config", config(2, route("r", "/x/", service="d"), services=("d",)))

        async def in_force() -> bool:
            return await site.metric("azurefield_gateway_configuration_version") == 2

        await wait_until(in_force, "the next version is in force")
