"""Polls the platform's instance list and splits it by role."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import logbook
from msgspec import Struct
from result import Err, Ok, Result

from azurefield.membership import InstanceState, ListedInstance
from azurefield_platform.instances import InstanceRole
from azurefield_platform.instances import InstanceState as PlatformState
from azurefield_platform.instances import ListedInstance as PlatformInstance

if TYPE_CHECKING:
    from random import Random

    from azurefield_entry.kernel import Mailbox
    from azurefield_platform.failures import ListFailure

log = logbook.Logger("membership")

POLL_INTERVAL_S = 1.0


class InstanceList(Protocol):
    """A client of the platform's instance list."""

    async def instances(self) -> Result[tuple[PlatformInstance, ...], ListFailure]:
        """Read all live and leaving instances."""


class InstanceListRead(Struct, kw_only=True, frozen=True):
    """To ``membership``: the instance list was read."""

    entries: tuple[ListedInstance, ...]
    live_servers: frozenset[str]
    leaving_servers: frozenset[str]


def split_by_role(instances: tuple[PlatformInstance, ...]) -> InstanceListRead:
    """Separate entry instances from backend servers.

    An entry instance that is listed without a peer address gets an empty one and is not linked.
    """
    entries = tuple(
        ListedInstance(
            name=entry.name,
            peer_address=entry.peer_address or "",
            availability_zone=entry.availability_zone,
            state=InstanceState(entry.state.value),
        )
        for entry in instances
        if entry.role is InstanceRole.ENTRY
    )
    servers = [entry for entry in instances if entry.role is InstanceRole.BACKEND]
    leaving = frozenset(entry.name for entry in servers if entry.state is PlatformState.LEAVING)
    return InstanceListRead(
        entries=entries,
        live_servers=frozenset(entry.name for entry in servers) - leaving,
        leaving_servers=leaving,
    )


async def poll_instance_list(instance_list: InstanceList, mailbox: Mailbox, rng: Random) -> None:
    """Read the list about once a second; jitter keeps the instances from reading it together."""
    reachable = True
    while True:
        match await instance_list.instances():
            case Ok(instances):
                mailbox.send(split_by_role(instances))
                if not reachable:
                    log.info("the platform's instance list can be read again")
                reachable = True
            case Err(failure):
                if reachable:
                    log.warning(
                        "the platform's instance list can't be read, keeping the last one: {}",
                        failure.detail,
                    )
                reachable = False
        await asyncio.sleep(POLL_INTERVAL_S * rng.uniform(0.9, 1.1))
