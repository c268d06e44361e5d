"""The platform's instance list, split by role."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import logbook
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
    """Reads the platform's list."""

    async def instances(self) -> Result[tuple[PlatformInstance, ...], ListFailure]:
        """Read all live and leaving instances."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ListSeen:
    """To ``membership``: the list was read."""

    entries: tuple[ListedInstance, ...]
    live_servers: frozenset[str]
    leaving_servers: frozenset[str]


def split_by_role(instances: tuple[PlatformInstance, ...]) -> ListSeen:
    """Separate entry instances from backend servers; one without a peer address can't be linked."""
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
    return ListSeen(
        entries=entries,
        live_servers=frozenset(entry.name for entry in servers) - leaving,
        leaving_servers=leaving,
    )


async def poll_list(instance_list: InstanceList, mailbox: Mailbox, rng: Random) -> None:
    """Read the list about once a second; the jitter spreads the reads of all instances."""
    reachable = True
    while True:
        match await instance_list.instances():
            case Ok(instances):
                mailbox.send(split_by_role(instances))
                if not reachable:
                    log.info("instance list is readable again")
                reachable = True
            case Err(failure):
                if reachable:
                    log.warning("instance list not read: {}", failure.detail)
                reachable = False
        await asyncio.sleep(POLL_INTERVAL_S * rng.uniform(0.9, 1.1))
