from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from azurefield.model import RequestKind
from azurefield.quarantine import fingerprint
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_entry.messages import PeerFrame, SendToPeer
from azurefield_entry.peers.frames import Conviction, fields_dict
from azurefield_testkit.entry_support.whole_path import answer_records, post, running
from azurefield_testkit.loop_ticks import LoopTicks

if TYPE_CHECKING:
    from azurefield_testkit.entry_support.instance import Instance
    from azurefield_testkit.entry_support.wire_server import WireRequest, WireServer

POISON_BODY = {"query": {"poison": 1}, "limit": 5}
HARMLESS_BODY = {"query": {}, "limit": 5}
PROVISIONAL_CONVICTION_MS = 5_000
# Admission lets a request wait for a small part of its deadline only. With a deadline of 2 s,
# requests are refused while this process waits for a CPU core, which is not what the test checks.
LONG_DEADLINE_MS = 20_000
SERVERS = ("a1", "a2", "a3", "b1", "c1")


class RecordingPeers:
    """Test double of `peers` that records the convictions to be sent."""

    def __init__(self) -> None:
        self.sent: list[SendToPeer] = []
        self.confirmed_sent = asyncio.Event()

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        while not isinstance(message := await mailbox.receive(), Stop):
            if isinstance(message, SendToPeer) and message.type == "conviction":
                self.sent.append(message)
                if message.fields["ttl_ms"] > PROVISIONAL_CONVICTION_MS:
                    self.confirmed_sent.set()


def close_connection(request: WireRequest) -> None:
    request.writer.transport.abort()


async def listing(
    instance: Instance, body: dict[str, Any], deadline_ms: int = 2000
) -> tuple[int, dict[str, Any]]:
    return await post(instance, "listing", body, Azurefield_Deadline_Ms=str(deadline_ms))


async def timed_listing(
    instance: Instance, body: dict[str, Any]
) -> tuple[int, dict[str, Any], float]:
    async with LoopTicks() as ticks:
        status, answer = await listing(instance, body, LONG_DEADLINE_MS)
        return status, answer, ticks.elapsed_s


def calls_of(servers: dict[str, WireServer], leaf: str, body: dict[str, Any]) -> int:
    requests = [r for name, s in servers.items() if name[0] == leaf for r in s.requests]
    return sum(request.body == body for request in requests)


async def test_a_request_that_crashes_servers_is_convicted_and_reported_to_the_peers() -> None:
    """Guards against a request that crashes server after server as its caller sends it again."""
    peers = RecordingPeers()
    async with running(dict.fromkeys(SERVERS, answer_records), peers=peers) as (instance, servers):

        async def crash_on_poison(request: WireRequest) -> None:
            if request.body == POISON_BODY:
                server = next(s for s in servers.values() if request in s.requests)
                server.incarnation += "+"
                close_connection(request)
            else:
                await answer_records(request)

        for name in ("a1", "a2", "a3"):
            servers[name].script = crash_on_poison
        first = await listing(instance, POISON_BODY)
        second = await listing(instance, POISON_BODY)
        assert calls_of(servers, "a", POISON_BODY) == 3, "one crash to suspect, two to convict"
        for status, problem in (first, second):
            assert (status, problem["outcome"]) == (422, "may_have_run")
        status, answer = await listing(instance, HARMLESS_BODY)
        assert (status, answer["coverage"]["leafs_covered"]) == (200, 3)
        async with asyncio.timeout(3):
            await peers.confirmed_sent.wait()
    request_fingerprint = fingerprint("dispatch", RequestKind.LISTING, POISON_BODY)
    assert [message.fields for message in peers.sent] == [
        {"fingerprint": request_fingerprint, "ttl_ms": PROVISIONAL_CONVICTION_MS},
        {"fingerprint": request_fingerprint, "ttl_ms": 60_000},
    ]


async def test_lost_connections_without_a_crash_cause_no_long_conviction() -> None:
    """Guards against a long conviction for lost connections, as after a fault of the network."""
    peers = RecordingPeers()
    async with running(dict.fromkeys(SERVERS, answer_records), peers=peers) as (instance, servers):

        async def lose_connection(request: WireRequest) -> None:
            close_connection(request)

        for name in ("a1", "a2", "a3"):
            servers[name].script = lose_connection
        assert (await listing(instance, POISON_BODY))[0] == 422
        for name in ("a1", "a2", "a3"):
            servers[name].script = answer_records
        await asyncio.sleep(1.6)
        status, answer = await listing(instance, POISON_BODY)
        assert (status, answer["coverage"]["leafs_covered"]) == (200, 3)
    assert [message.fields["ttl_ms"] for message in peers.sent] == [PROVISIONAL_CONVICTION_MS]


async def test_the_requests_beside_a_crash_are_answered_whole() -> None:
    """Guards against missing coverage after a crash that makes many requests suspects.

    Suspects must get a free server in time, and must not block the servers of other requests.
    """
    release = asyncio.Event()

    async def wait_then_close(request: WireRequest) -> None:
        await release.wait()
        close_connection(request)

    async def answer_slowly(request: WireRequest) -> None:
        await asyncio.sleep(0.01)
        await answer_records(request)

    scripts = dict.fromkeys(SERVERS, answer_records)
    async with running(scripts, deadline_max_ms=LONG_DEADLINE_MS) as (instance, servers):
        servers["a1"].script = wait_then_close
        servers["a2"].script = servers["a3"].script = answer_slowly
        bodies = [{"query": {"number": number}, "limit": 5} for number in range(30)]
        requests = [asyncio.create_task(timed_listing(instance, body)) for body in bodies]
        await asyncio.sleep(0.2)
        release.set()
        late = []
        for _ in range(20):
            await asyncio.sleep(0.005)
            late.append(asyncio.create_task(timed_listing(instance, HARMLESS_BODY)))
        results = await asyncio.gather(*requests, *late)
        assert len(servers["a1"].requests) > 1
    covered = {(status, body["coverage"]["leafs_covered"]) for status, body, _ in results}
    assert covered == {(200, 3)}
    assert max(elapsed_s for _, _, elapsed_s in results) < 2.0


async def test_a_conviction_of_a_peer_refuses_the_request_before_any_call() -> None:
    """Guards against a request that crashes servers again through each other instance."""
    async with running(dict.fromkeys(SERVERS, answer_records)) as (instance, servers):
        booking = {"key": "k", "payload": {"p": 1}}
        fingerprints = (
            fingerprint("dispatch", RequestKind.LISTING, POISON_BODY),
            fingerprint("dispatch", RequestKind.BOOKING, booking),
        )
        for request_fingerprint in fingerprints:
            fields = fields_dict(Conviction(fingerprint=request_fingerprint, ttl_ms=60_000))
            frame = PeerFrame(instance="e2", type="conviction", fields=fields)
            instance.kernel.lookup("query").send(frame)
        assert (await listing(instance, POISON_BODY))[0] == 422
        assert (await post(instance, "bookings", booking, Idempotency_Key="ticket-1"))[0] == 422
        assert all(not server.requests for server in servers.values())
