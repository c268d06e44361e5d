"""Entry instances with all coordination services, linked over loopback in one process."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, TypeVar

import pytest
from result import Err, Ok, Result

from azurefield.configuration import HEAD_KEY, ChangeRecord, digest_of, document_key, encode
from azurefield.configuration import record_key as key_of
from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import BackendServer, Outcome, ServiceConfig, Snapshot
from azurefield_entry.bookings.service import BookingsService, new_ledger
from azurefield_entry.configuration.service import ConfigurationService
from azurefield_entry.kernel import Kernel, Mailbox, Service, Stop
from azurefield_entry.membership.service import MembershipService
from azurefield_entry.messages import (
    BookingAnswer,
    BookingRequest,
    CeilingsChanged,
    ConfigurationChanged,
    DispatchBooking,
    IssueTicket,
    LeavingServersChanged,
    ReadinessChanged,
    RunBooking,
    ServerLeaving,
)
from azurefield_entry.peers.dialing import DialScheduler
from azurefield_entry.peers.identity import Identity
from azurefield_entry.peers.service import PeersService
from azurefield_platform.configuration_store import ConfigurationStore
from azurefield_platform.failures import (
    KeyNotFound,
    ListFailure,
    PlatformUnavailable,
    ReadFailure,
    RevisionConflict,
    WriteFailure,
)
from azurefield_platform.instances import InstanceRole, InstanceState, ListedInstance
from azurefield_platform.keyvalue import StoredValue
from azurefield_testkit.entry_support.instance import free_address

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import AsyncIterator, Callable

Message = TypeVar("Message")

# Large enough that peers send the configuration in more than one frame.
SERVICES = [
    ServiceConfig(
        name=f"service-{number}",
        backend_servers=tuple(
            BackendServer(
                name=f"s{server}-of-{number}",
                address="192.0.2.1:80",
                availability_zone="z",
                connection_limit=30,
                slots=3,
                connect_cost_ms=6,
            )
            for server in range(900)
        ),
        members=(),
        kinds=(),
    )
    for number in range(3)
]


def change(version: int) -> tuple[ChangeRecord, dict[str, str]]:
    documents = {service.name: encode(service) for service in SERVICES}
    record = ChangeRecord(
        change_id=f"change-{version}",
        operator="operator",
        at="2026-01-01T00:00:00Z",
        version=version,
        previous_change_id=None,
        services={name: digest_of(text) for name, text in documents.items()},
    )
    return record, {digest_of(text): text for text in documents.values()}


@dataclass(slots=True)
class Store:
    """Stand-in for the platform's key-value service and instance list."""

    values: dict[str, StoredValue] = field(default_factory=dict)
    listed: tuple[ListedInstance, ...] = ()
    available: bool = True

    def accept(self, version: int) -> None:
        record, documents = change(version)
        texts = {document_key(digest): text for digest, text in documents.items()}
        texts |= {key_of(record.change_id): encode(record), HEAD_KEY: encode(record.head)}
        for key, text in texts.items():
            revision = self.values[key].revision + 1 if key in self.values else 1
            self.values[key] = StoredValue(value=text, revision=revision)

    async def get(self, key: str) -> Result[StoredValue, ReadFailure]:
        if not self.available:
            return Err(PlatformUnavailable(detail="outage"))
        return Ok(self.values[key]) if key in self.values else Err(KeyNotFound(key=key))

    async def put(
        self, key: str, value: str, expected_revision: int | None
    ) -> Result[int, WriteFailure]:
        if not self.available:
            return Err(PlatformUnavailable(detail="outage"))
        current = self.values.get(key)
        revision = None if current is None else current.revision
        if revision != expected_revision:
            return Err(RevisionConflict(key=key, revision=revision))
        self.values[key] = StoredValue(value=value, revision=(revision or 0) + 1)
        return Ok(self.values[key].revision)

    async def watch(
        self, key: str, after: int, wait_ms: int
    ) -> Result[StoredValue | None, ReadFailure]:
        for _ in range(wait_ms // 20):
            match await self.get(key):
                case Err(failure):
                    return Err(failure)
                case Ok(stored) if stored.revision != after:
                    return Ok(stored)
            await asyncio.sleep(0.02)
        return Ok(None)

    async def instances(self) -> Result[tuple[ListedInstance, ...], ListFailure]:
        return Ok(self.listed) if self.available else Err(PlatformUnavailable(detail="outage"))


@dataclass(slots=True)
class Recorder:
    """Service that records its messages and replies with ``result`` to dispatched bookings."""

    messages: list[object] = field(default_factory=list)
    result: Result[BookingAnswer, RequestFailure] | None = None

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        while not isinstance(message := await mailbox.receive(), Stop):
            self.messages.append(message)
            if isinstance(message, DispatchBooking) and self.result is not None:
                message.reply.set_result(self.result)

    def of(self, kind: type[Message]) -> list[Message]:
        return [message for message in self.messages if isinstance(message, kind)]


@dataclass(slots=True)
class Instance:
    """One entry instance in which recorders replace ``front``, ``query`` and ``backends``."""

    name: str
    address: str
    store: Store
    kernel: Kernel = field(default_factory=Kernel)
    front: Recorder = field(default_factory=Recorder)
    query: Recorder = field(default_factory=Recorder)
    backends: Recorder = field(default_factory=Recorder)

    def start(self) -> None:
        identity = Identity(
            instance=self.name,
            incarnation=f"{self.name}{'0' * 8}",
            availability_zone="z",
            peer_address=self.address,
        )
        rng = Random(self.name)
        services: dict[str, Service] = {
            "front": self.front,
            "query": self.query,
            "backends": self.backends,
            "peers": PeersService(
                identity=identity, listen=self.address, dial_scheduler=DialScheduler(rng=rng)
            ),
            "membership": MembershipService(identity=identity, instance_list=self.store, rng=rng),
            "configuration": ConfigurationService(
                store=ConfigurationStore(client=self.store), rng=rng
            ),
            "bookings": BookingsService(identity=identity, ledger=new_ledger(identity, 60.0)),
        }
        for name, service in services.items():
            self.kernel.register(name, service)
        self.kernel.start()

    async def stop(self) -> None:
        if all(task.done() for task in self.kernel.tasks.values()):
            return
        for name in ("bookings", "configuration", "membership", "peers"):
            await self.kernel.stop(name)
        for name in ("front", "query", "backends"):
            await self.kernel.stop(name)

    async def ticket(self) -> str:
        reply: Future[Result[str, RequestFailure]] = asyncio.get_running_loop().create_future()
        self.kernel.lookup("bookings").send(IssueTicket(service="service-0", reply=reply))
        async with asyncio.timeout(5):
            return (await reply).unwrap()

    async def book(
        self, ticket: str, key: str = "berth", within_s: float = 1.0
    ) -> Result[BookingAnswer, RequestFailure]:
        deadline = asyncio.get_running_loop().time() + within_s
        request = BookingRequest(
            request_id="r",
            service="service-0",
            member="m",
            ticket=ticket,
            key=key,
            payload={"tons": 40},
            deadline=deadline,
        )
        reply: Future[Result[BookingAnswer, RequestFailure]]
        reply = asyncio.get_running_loop().create_future()
        self.kernel.lookup("bookings").send(RunBooking(request=request, reply=reply))
        async with asyncio.timeout(5):
            return await reply

    def version(self) -> int:
        changes = self.front.of(ConfigurationChanged)
        return changes[-1].configuration.version if changes else 0

    def ready(self, part: str) -> bool:
        changes = [entry for entry in self.front.of(ReadinessChanged) if entry.part == part]
        return bool(changes) and changes[-1].ready


async def until(condition: Callable[[], bool]) -> None:
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    pytest.fail("the condition did not hold within 10 s")


@asynccontextmanager
async def tier(*stores: Store) -> AsyncIterator[list[Instance]]:
    """Run linked instances, each with its store, and stop them at the end."""
    instances = [
        Instance("abc"[index], free_address(), store) for index, store in enumerate(stores)
    ]
    listed = tuple(
        ListedInstance(
            name=entry.name,
            role=InstanceRole.ENTRY,
            address=entry.address,
            peer_address=entry.address,
            availability_zone="z",
            state=InstanceState.LIVE,
        )
        for entry in instances
    )
    for entry in instances:
        entry.store.listed = listed
        entry.start()
    try:
        await until(lambda: all(_links(entry) == len(instances) - 1 for entry in instances))
        yield instances
    finally:
        for entry in instances:
            await entry.stop()


def _links(entry: Instance) -> int:
    bookings = entry.kernel.services["bookings"]
    assert isinstance(bookings, BookingsService)
    return len(bookings.instance_by_incarnation)


ANSWER = Ok(
    BookingAnswer(
        leaf="leaf-1",
        snapshot=Snapshot(index_version=7, map_version=2),
        result={"confirmed": True, "berths": [1, 2.5, None, "é"]},
    )
)


async def test_a_booking_runs_once_at_its_issuer_wherever_it_is_sent() -> None:
    """Guards against a booking that runs twice because it is sent to several instances.

    Also guards against an answer that is changed when it is forwarded.
    """
    store = Store()
    async with tier(store, store, store) as (one, two, three):
        two.query.result = ANSWER
        ticket = await two.ticket()
        answers = await asyncio.gather(*(entry.book(ticket) for entry in (one, two, three) * 3))
        assert answers == [ANSWER] * 9
        assert [len(entry.query.messages) for entry in (one, three)] == [0, 0]
        assert len(two.query.of(DispatchBooking)) == 1
        other = (await one.book(ticket, key="another berth")).unwrap_err()
        assert other.kind is FailureKind.TICKET_BODY_MISMATCH
        await two.stop()
        await until(lambda: _links(one) == 1)
        unreachable = (await one.book(ticket)).unwrap_err()
        assert (unreachable.kind, unreachable.outcome) == (
            FailureKind.OUTCOME_UNKNOWN,
            Outcome.MAY_HAVE_RUN,
        )


@pytest.mark.parametrize("local", [True, False], ids=["at-the-issuer", "forwarded"])
async def test_a_booking_without_an_answer_ends_at_its_deadline_and_still_runs_once(
    local: bool,
) -> None:
    """Guards against a false `NOT_RUN` at the deadline, and a second run when it is sent again."""
    store = Store()
    async with tier(store, store) as (one, two):
        ticket = await two.ticket()
        sender = two if local else one
        late = (await sender.book(ticket, within_s=0.2)).unwrap_err()
        assert (late.kind, late.outcome) == (FailureKind.DEADLINE_EXCEEDED, Outcome.MAY_HAVE_RUN)
        repeated = asyncio.create_task(sender.book(ticket))
        await asyncio.sleep(0.1)
        (dispatch,) = two.query.of(DispatchBooking)
        dispatch.reply.set_result(ANSWER)
        assert await repeated == ANSWER


async def test_a_peer_supplies_the_configuration_and_an_older_store_is_restored() -> None:
    """Guards against an instance without a configuration while the store is unavailable.

    Also guards against a return to an older version after the store has lost its newest changes.
    """
    store = Store()
    async with tier(store, Store()) as (one, two):
        two.store.available = False
        store.accept(2)
        await until(lambda: one.version() == two.version() == 2)
        assert one.ready("configuration")
        assert two.ready("configuration")
        head = store.values[HEAD_KEY]
        older = encode(change(1)[0].head)
        store.values = {HEAD_KEY: StoredValue(value=older, revision=head.revision + 5)}
        await until(lambda: store.values[HEAD_KEY].value == head.value)
        assert len(store.values) == len(SERVICES) + 2
        assert one.version() == 2
        assert len(one.front.of(ConfigurationChanged)) == 1


async def test_a_leaving_server_and_shares_of_connections_are_known_to_all_instances() -> None:
    """Guards against new calls to a leaving server, and connections above a server's limit."""
    store = Store()
    store.accept(1)
    async with tier(store, store, store) as instances:
        await until(lambda: all(entry.version() == 1 for entry in instances))
        leaving = ServerLeaving(server="s1-of-0", incarnation="i1", source="refusal")
        instances[0].kernel.lookup("membership").send(leaving)
        await until(lambda: all(entry.query.of(LeavingServersChanged) for entry in instances))
        await until(lambda: all(entry.ready("connections") for entry in instances))
        ceilings = [entry.backends.of(CeilingsChanged)[-1].ceilings for entry in instances]
        assert [set(entry.values()) for entry in ceilings] == [{7}] * 3
