from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from azurefield_entry.kernel import BeginDrain, Kernel, Mailbox, Stop
from azurefield_entry.messages import (
    CeilingsChanged,
    ConnectionsOpen,
    LeavingServersChanged,
    ServerLeaving,
)
from azurefield_testkit.entry_support.whole_path import (
    MEMBER,
    SHARD_MAP,
    answer_records,
    post,
    running,
)

if TYPE_CHECKING:
    from azurefield_testkit.entry_support.wire_server import WireRequest


async def never_answer(request: WireRequest) -> None:
    await request.until_cancelled()


async def refuse_as_draining(request: WireRequest) -> None:
    request.send(503, {"outcome": "not_run", "reason": "draining", "incarnation": "i1"})


class RecordingMembership:
    """Test double of `membership` that marks each server as leaving that is reported so."""

    def __init__(self) -> None:
        self.leaving: list[ServerLeaving] = []
        self.open: list[ConnectionsOpen] = []

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        while not isinstance(message := await mailbox.receive(), Stop):
            if isinstance(message, ConnectionsOpen):
                self.open.append(message)
            if isinstance(message, ServerLeaving):
                self.leaving.append(message)
                servers = frozenset(entry.server for entry in self.leaving)
                kernel.lookup("query").send(LeavingServersChanged(servers=servers))


ALL_ANSWER = dict.fromkeys(("a1", "a2", "b1", "c1"), answer_records)


async def test_each_kind_is_answered_from_one_snapshot_by_the_leafs_it_needs() -> None:
    """Guards against faults in the messages between the internal services for each kind."""
    async with running(ALL_ANSWER) as (instance, servers):
        status, listing = await post(instance, "listing", {"query": {"q": 1}, "limit": 4})
        assert (status, listing["snapshot"]) == (200, {"index_version": 7, "map_version": 2})
        assert listing["coverage"] == {"leafs_total": 3, "leafs_covered": 3, "missing": []}
        assert [record["key"] for record in listing["records"]] == ["a2", "b2", "c2", "a1"]
        _, urgent = await post(instance, "urgent", {"query": {}})
        assert len(urgent["records"]) == 9
        owner = SHARD_MAP.leaf_of("some key")
        _, lookup = await post(instance, "lookup", {"key": "some key"})
        assert lookup["records"] == [
            {"key": "some key", "rank": 0.0, "fields": {"leaf": owner}},
        ]
        assert lookup["coverage"]["leafs_total"] == 1
        _, ticket = await post(instance, "tickets", {})
        _, booking = await post(
            instance,
            "bookings",
            {"key": "some key", "payload": {"p": 1}},
            Idempotency_Key=ticket["ticket"],
        )
        assert (booking["leaf"], booking["result"]) == (owner, {"leaf": owner})
        sent = [request for server in servers.values() for request in server.requests]
        assert len(sent) == 3 + 3 + 1 + 1
        assert len({request.headers["x-request-id"] for request in sent}) == len(sent)
        async with instance.session.get(instance.admin_url("/readyz")) as response:
            assert response.status == 200
        async with instance.session.get(instance.admin_url("/metrics")) as response:
            assert 'leaf_calls_total{result="answered",service="dispatch"} 8.0' in (
                await response.text()
            )
        async with instance.session.get(instance.admin_url("/v1/status")) as response:
            assert (await response.json())["configuration"] == {"version": 3, "digest": "d1"}


async def test_a_slow_leaf_is_named_as_missing_at_the_deadline_and_its_call_is_cancelled() -> None:
    """Guards against coverage that counts a leaf without an answer by the deadline."""
    async with running(ALL_ANSWER | {"c1": never_answer}) as (instance, servers):
        status, listing = await post(
            instance, "listing", {"query": {}}, Azurefield_Deadline_Ms="200"
        )
        assert status == 200
        assert listing["coverage"] == {
            "leafs_total": 3,
            "leafs_covered": 2,
            "missing": [{"leaf": "c", "reason": "timeout"}],
        }
        assert {record["key"][0] for record in listing["records"]} == {"a", "b"}
        servers["c1"].script = answer_records
        _, whole = await post(instance, "listing", {"query": {}})
        assert whole["coverage"]["leafs_covered"] == 3


async def test_a_draining_refusal_is_retried_elsewhere_and_reported_to_membership() -> None:
    """Guards against lost coverage and further calls after a server began to drain."""
    membership = RecordingMembership()
    scripts = ALL_ANSWER | {"a2": refuse_as_draining}
    async with running(scripts, membership=membership) as (instance, servers):
        for _ in range(6):
            status, listing = await post(instance, "listing", {"query": {}})
            assert (status, listing["coverage"]["leafs_covered"]) == (200, 3)
        assert len(servers["a2"].requests) == 1, "a leaving server must get no new work"
        assert membership.leaving[0] == ServerLeaving(
            server="a2", incarnation="i1", source="refusal"
        )


async def test_a_caller_that_disconnects_cancels_the_calls_to_backend_servers() -> None:
    """Guards against calls that run until the deadline after their caller has disconnected."""
    cancelled = asyncio.Event()

    async def record_cancellation(request: WireRequest) -> None:
        await request.until_cancelled()
        cancelled.set()

    async with running(dict.fromkeys(("a1", "b1", "c1"), record_cancellation)) as (instance, _):
        request = asyncio.create_task(
            post(instance, "listing", {"query": {}}, Azurefield_Deadline_Ms="2000")
        )
        await asyncio.sleep(0.1)
        request.cancel()
        async with asyncio.timeout(0.5):
            await cancelled.wait()


async def test_ceilings_are_confirmed_with_the_open_connections_of_their_revision() -> None:
    """Guards against a server's connection limit being exceeded after a ceiling was lowered.

    Other instances use the difference as soon as it is confirmed, so the confirmation must count
    the connections that are still open.
    """
    proceed = asyncio.Event()

    async def answer_after_proceed(request: WireRequest) -> None:
        await proceed.wait()
        await answer_records(request)

    membership = RecordingMembership()
    scripts = dict.fromkeys(("a1", "b1", "c1"), answer_after_proceed)
    async with running(scripts, membership=membership) as (instance, _):
        requests = [asyncio.create_task(post(instance, *LISTING)) for _ in range(2)]
        await asyncio.sleep(0.1)
        ceilings = CeilingsChanged(revision=5, ceilings={"a1": 1, "b1": 3})
        instance.kernel.lookup("backends").send(ceilings)
        await asyncio.sleep(0.05)
        confirmed = [entry for entry in membership.open if entry.revision == 5]
        assert confirmed[0].connections == {"a1": 2, "b1": 2, "c1": 2}
        proceed.set()
        await asyncio.gather(*requests)
        await asyncio.sleep(0.05)
        assert membership.open[-1].connections == {"a1": 1, "b1": 2, "c1": 2}


LISTING: tuple[str, dict[str, Any]] = ("listing", {"query": {}})
BOOKING: tuple[str, dict[str, Any]] = ("bookings", {"key": "k", "payload": {}})


@pytest.mark.parametrize(
    ("call", "caller_waits"),
    [
        pytest.param(LISTING, True, id="listing"),
        pytest.param(BOOKING, True, id="booking"),
        pytest.param(BOOKING, False, id="booking-of-a-caller-that-disconnected"),
    ],
)
async def test_a_planned_stop_finishes_the_requests_that_run(
    call: tuple[str, dict[str, Any]], caller_waits: bool
) -> None:
    """Guards against a planned stop that interrupts a running request or loses its answer."""
    arrived, proceed = asyncio.Event(), asyncio.Event()

    async def answer_after_proceed(request: WireRequest) -> None:
        arrived.set()
        await proceed.wait()
        await answer_records(request)

    async with running(dict.fromkeys(("a1", "b1", "c1"), answer_after_proceed)) as (instance, _):
        request = asyncio.create_task(
            post(instance, *call, Idempotency_Key="t", Azurefield_Deadline_Ms="2000")
        )
        await arrived.wait()
        if not caller_waits:
            request.cancel()
        for mailbox in instance.kernel.mailboxes.values():
            mailbox.send(BeginDrain())
        async with instance.session.get(instance.admin_url("/readyz")) as response:
            assert response.status == 503
        async with instance.session.post(instance.url("dispatch/tickets"), headers=MEMBER) as late:
            assert late.status == 200, "a draining instance still accepts"
            assert late.headers["Connection"] == "close"
        stopped = asyncio.create_task(instance.kernel.stop("front"))
        await asyncio.sleep(0.1)
        assert not stopped.done()
        proceed.set()
        async with asyncio.timeout(1):
            await stopped
        if caller_waits:
            assert (await request)[0] == 200
