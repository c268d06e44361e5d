"""Service ``configuration``: connects ``ConfigAdoption`` to the store and the peers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import logbook
from msgspec import Struct
from result import Ok

from azurefield.configuration import (
    Adopt,
    AdoptionAction,
    AdoptionEvent,
    ConfigAdoption,
    FetchFromPeer,
    PeerLost,
    PeerOffered,
    PeerVersionSeen,
    ReadHead,
    Rejected,
    StoreAction,
    StoreFailed,
    StoreUnavailable,
    VersionConflict,
)
from azurefield_entry.configuration.head_watch import StoreAnswered, watch_head
from azurefield_entry.configuration.offers import OfferAssembly, offer_parts
from azurefield_entry.kernel import Stop, send_every
from azurefield_entry.messages import (
    ConfigurationChanged,
    PeerFrame,
    PeersChanged,
    ReadinessChanged,
    SendToPeer,
    StoreContacted,
)
from azurefield_entry.peers.frames import (
    ConfigFetch,
    ConfigOffer,
    HeartbeatFields,
    fields_dict,
    parse_fields,
)
from azurefield_platform.configuration_store import ConfigurationStore

if TYPE_CHECKING:
    from azurefield_entry.kernel import Kernel, Mailbox

log = logbook.Logger("configuration")

TICK_INTERVAL_S = 1.0
# All other users of the store share its throughput.
CONCURRENT_STORE_CALLS_MAX = 8
CONFIGURATION_RECEIVERS = ("front", "query", "backends", "membership", "admin")


class Tick(Struct, kw_only=True, frozen=True):
    """To this service: a periodic timer event."""


@dataclass(slots=True, kw_only=True)
class ConfigurationService:
    """Carries out the actions of ``ConfigAdoption`` and publishes the configuration in force.

    ``linked`` holds the names of the linked instances. ``logged_version_conflicts`` holds the
    version and the source of each conflict that was logged.
    """

    store: ConfigurationStore
    rng: Random
    adoption: ConfigAdoption = field(init=False)
    offers: dict[str, OfferAssembly] = field(default_factory=dict)
    linked: frozenset[str] = frozenset()
    store_call_limit: asyncio.Semaphore = field(init=False)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    store_reachable: bool = True
    logged_version_conflicts: frozenset[tuple[int, str]] = frozenset()

    def __post_init__(self) -> None:
        self.adoption = ConfigAdoption(rng=self.rng)
        self.store_call_limit = asyncio.Semaphore(CONCURRENT_STORE_CALLS_MAX)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages until ``Stop``."""
        loop = asyncio.get_running_loop()
        self.publish_readiness(kernel, ready=False, reason="no configuration yet")
        async with asyncio.TaskGroup() as group:
            self.tasks.add(group.create_task(watch_head(self.store, mailbox, self.rng)))
            self.tasks.add(group.create_task(send_every(mailbox, Tick(), TICK_INTERVAL_S)))
            try:
                while not isinstance(message := await mailbox.receive(), Stop):
                    for action in self.handle(kernel, loop.time(), message):
                        self.perform(group, kernel, mailbox, action)
            finally:
                for task in self.tasks:
                    task.cancel()

    def handle(self, kernel: Kernel, now: float, message: object) -> list[AdoptionAction]:
        """Handle one message and return the actions of the state machine."""
        match message:
            case Tick():
                return self.adoption.on_tick(now)
            case StoreAnswered(event=event):
                if not isinstance(event, StoreFailed):
                    self.on_store_answer(kernel)
                return [] if event is None else self.adoption.on_event(now, event)
            case StoreUnavailable(detail=detail):
                if self.store_reachable:
                    log.warning("the configuration store can't be read, retrying: {}", detail)
                self.store_reachable = False
                return self.adoption.on_event(now, message)
            case PeersChanged():
                return self.on_peers(now, message)
            case PeerFrame():
                peer_event = self.decode_peer_event(kernel, message)
                return [] if peer_event is None else self.adoption.on_event(now, peer_event)
            case _:
                return []

    def on_store_answer(self, kernel: Kernel) -> None:
        """Report contact with the store to ``membership``, which detects isolation."""
        if not self.store_reachable:
            log.info("the configuration store answers again")
        self.store_reachable = True
        kernel.send_to(("membership",), StoreContacted())

    def on_peers(self, now: float, changed: PeersChanged) -> list[AdoptionAction]:
        """Drop the offers of peers whose link went down, and report the peers as lost."""
        linked = frozenset(peer.instance for peer in changed.peers if peer.linked)
        lost, self.linked = self.linked - linked, linked
        actions: list[AdoptionAction] = []
        for instance in sorted(lost):
            self.offers.pop(instance, None)
            actions.extend(self.adoption.on_event(now, PeerLost(instance=instance)))
        return actions

    def decode_peer_event(self, kernel: Kernel, frame: PeerFrame) -> AdoptionEvent | None:
        """Decode a peer's frame into an event.

        A request for the configuration is answered here and gives no event.
        """
        if frame.type == "heartbeat":
            match parse_fields(HeartbeatFields, frame.fields):
                case Ok(fields) if fields.version > 0:
                    return PeerVersionSeen(
                        instance=frame.instance, version=fields.version, digest=fields.digest
                    )
        if frame.type == "config_fetch":
            match parse_fields(ConfigFetch, frame.fields):
                case Ok(fetch):
                    self.send_offer(kernel, frame.instance, fetch.version)
        if frame.type == "config_offer":
            match parse_fields(ConfigOffer, frame.fields):
                case Ok(part):
                    return self.add_offer_part(frame.instance, part)
        return None

    def add_offer_part(self, instance: str, part: ConfigOffer) -> PeerOffered | None:
        """Add a part of an offer that was requested; parts of any other offer are dropped."""
        fetch = self.adoption.peer_fetch
        if fetch is None or fetch.instance != instance:
            self.offers.pop(instance, None)
            return None
        return self.offers.setdefault(instance, OfferAssembly()).add(instance, part)

    def send_offer(self, kernel: Kernel, instance: str, version: int) -> None:
        """Send the configuration in force to a peer that requested it."""
        in_force = self.adoption.in_force
        if in_force is None or in_force.head.version < version:
            return
        for part in offer_parts(in_force):
            kernel.lookup("peers").send(
                SendToPeer(instance=instance, type="config_offer", fields=fields_dict(part))
            )

    def perform(
        self,
        group: asyncio.TaskGroup,
        kernel: Kernel,
        mailbox: Mailbox,
        action: AdoptionAction,
    ) -> None:
        """Carry out one action."""
        match action:
            case Adopt(configuration=configuration, digest=digest):
                log.info("configuration version {} is in force", configuration.version)
                changed = ConfigurationChanged(configuration=configuration, digest=digest)
                kernel.send_to(CONFIGURATION_RECEIVERS, changed)
                self.publish_readiness(kernel, ready=True, reason="")
            case FetchFromPeer(instance=instance, version=version):
                fields = fields_dict(ConfigFetch(version=version))
                kernel.lookup("peers").send(
                    SendToPeer(instance=instance, type="config_fetch", fields=fields)
                )
            case Rejected(version=version, source=source, problem=problem):
                log.error(
                    "configuration version {} from {} rejected and not adopted: {}",
                    version,
                    source,
                    problem,
                )
            case VersionConflict(version=version, source=source):
                self.log_version_conflict(version, source)
            case _:
                task = group.create_task(self.call_store(mailbox, action))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def call_store(self, mailbox: Mailbox, action: StoreAction) -> None:
        """Carry out one store action and send its event to this service."""
        async with self.store_call_limit:
            if isinstance(action, ReadHead):
                now = asyncio.get_running_loop().time()
                await asyncio.sleep(max(0.0, action.at - now))
            mailbox.send(StoreAnswered(event=await self.store.perform(action)))

    def log_version_conflict(self, version: int, source: str) -> None:
        """Log, once per version and source, that a source holds a different change."""
        if (version, source) not in self.logged_version_conflicts:
            self.logged_version_conflicts = frozenset(
                {*self.logged_version_conflicts, (version, source)}
            )
            log.error(
                "{} has a different change as configuration version {}; the change in force stays",
                source,
                version,
            )

    def publish_readiness(self, kernel: Kernel, *, ready: bool, reason: str) -> None:
        """Publish whether a configuration is in force."""
        message = ReadinessChanged(part="configuration", ready=ready, reason=reason)
        kernel.send_to(("admin", "front"), message)
