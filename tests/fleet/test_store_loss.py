"""A gateway process whose store is restored from a copy and loses what it has acknowledged."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import pytest

from azurefield_testkit.waiting import wait_until
from gateway_process import Site, serving

if TYPE_CHECKING:
    from pathlib import Path

    from standins import StoreCopy

pytestmark = pytest.mark.process

OWN_KEY = "azurefield/instances/n1"
# Far beyond the time in which a new version must be in force.
LIMIT_S = 15.0


def is_logged(output: list[str], text: str) -> bool:
    """Whether a line of the output holds a text."""
    return any(text in line for line in output)


async def take_down(site: Site) -> None:
    """Let the store refuse calls until the gateway has noticed it."""
    site.store.down = True
    await site.wait_for_log("A call to the store failed")


def write_until(site: Site, revision: int) -> None:
    """Let other writers use up revisions, as the servers' heartbeats do."""
    while site.store.revision < revision:
        site.store.put("other/writer", b"x")


async def lose(site: Site, copy: StoreCopy, version: int) -> None:
    """Restore a copy and write a version of the configuration; its revision was in use before.

    Other writers then bring the store beyond the last revision that the gateway knows.
    """
    known = site.store.revision
    await take_down(site)
    site.store.restore(copy)
    site.put_config(version)
    assert site.store.revision <= known
    write_until(site, known + 1)
    site.store.leases += 10
    site.store.down = False


@pytest.mark.parametrize("losses", [1, 2])
async def test_a_version_written_after_the_store_lost_changes_is_in_force(
    tmp_path: Path, losses: int
) -> None:
    """Guards against a watch that continues at a revision which the store gives out again."""
    async with serving(tmp_path) as site:
        for loss in range(losses):
            copy = site.store.copy()
            write_until(site, copy.revision + 20)
            version = 10 * (loss + 1)
            site.put_config(version)
            await site.wait_for_log(f"Configuration version {version} is in force")
            assert site.process is not None
            site.process.output.clear()
            await lose(site, copy, version + 1)
            expected = f"Configuration version {version + 1} is in force"
            output = site.process.output
            await wait_until(
                partial(is_logged, output, expected),
                expected,
                limit_s=LIMIT_S,
            )


async def test_an_instance_is_registered_again_after_the_store_lost_its_lease(
    tmp_path: Path,
) -> None:
    """Guards against renewing a lease that the store has given to somebody else."""
    async with serving(tmp_path) as site:
        store = site.store
        await wait_until(lambda: OWN_KEY in store.items, "the instance is registered")
        own_lease = store.items[OWN_KEY]["lease"]
        await take_down(site)
        copy = store.copy()
        del copy.items[OWN_KEY]
        store.restore(copy)
        # The number of the instance's lease now belongs to another client.
        store.leases = own_lease
        store.down = False
        await wait_until(lambda: OWN_KEY in store.items, "it is registered again", limit_s=LIMIT_S)
        assert store.items[OWN_KEY]["lease"] > own_lease


async def test_a_version_never_goes_back_when_the_store_does(tmp_path: Path) -> None:
    """Guards against a configuration that reverts to the one in the copy."""
    async with serving(tmp_path) as site:
        copy = site.store.copy()
        site.put_config(5, min_coverage=1.0)
        await site.wait_for_log("Configuration version 5 is in force")
        await take_down(site)
        site.store.restore(copy)
        site.store.down = False
        await site.wait_for_log("The store answers again")
        await site.call("/s/x", "q1")
        assert "version=5" in await site.wait_for_line_of("q1")


async def test_an_instance_is_registered_again_after_its_lease_has_expired(tmp_path: Path) -> None:
    """Guards against an instance that is no longer counted although it runs."""
    async with serving(tmp_path) as site:
        await wait_until(lambda: OWN_KEY in site.store.items, "the instance is registered")
        site.store.expire_leases(OWN_KEY)
        await wait_until(lambda: OWN_KEY in site.store.items, "again", limit_s=LIMIT_S)
