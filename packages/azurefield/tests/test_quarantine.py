from __future__ import annotations

from dataclasses import dataclass

import pytest

from azurefield.failures import FailureKind
from azurefield.model import Outcome
from azurefield.quarantine import CONVICTION_LIFETIME_S, CrashSuspects

SERVERS = ("a", "b", "c")


@dataclass(slots=True, kw_only=True)
class Workload:
    """Sends harmless requests next to one that may crash its server."""

    suspects: CrashSuspects
    crashes: int = 0
    calls: int = 0

    def send(self, now: float, request: str) -> str | None:
        servers = self.suspects.eligible(now, request, SERVERS)
        if not servers or self.suspects.refusal(now, request):
            return None
        self.calls += 1
        self.suspects.on_sent(now, str(self.calls), servers[0], request)
        return servers[0]

    def round(self, now: float, crasher: str | None, crashes: bool) -> None:
        """Send three requests, the first of which may be a crasher; its server may crash."""
        first = self.send(now, crasher or "harmless-0")
        others = {name: self.send(now, name) for name in ("harmless-1", "harmless-2")}
        if crashes and first:
            self.crashes += 1
            self.suspects.on_server_crash(now, first)
        for call_id in list(self.suspects.in_flight):
            self.suspects.on_call_ended(call_id)
        for name, server in {crasher or "harmless-0": first, **others}.items():
            if server and not (crashes and server == first):
                self.suspects.on_answered(name)


def test_a_crashing_request_is_convicted_after_two_lone_crashes_and_no_other_is() -> None:
    """Guards against a request that crashes one server after the other when it is retried.

    The first crash makes it a suspect, and the next two, while it runs alone, convict it.
    """
    workload = Workload(suspects=CrashSuspects())
    for step in range(20):
        workload.round(step * 0.1, "crasher", crashes=True)
    assert workload.crashes == 3
    assert set(workload.suspects.convicted_until) == {"crasher"}
    failure = workload.suspects.refusal(2.0, "crasher")
    assert failure is not None
    assert failure.kind is FailureKind.REQUEST_CRASHES_SERVERS
    assert failure.outcome is Outcome.MAY_HAVE_RUN
    assert workload.suspects.refusal(2.0 + CONVICTION_LIFETIME_S, "crasher") is None


@pytest.mark.parametrize("period", [2, 5, 10], ids=lambda count: f"a-crash-every-{count}-rounds")
def test_ordinary_crashes_convict_no_request(period: int) -> None:
    """Guards against refused requests that were only in flight when a server crashed.

    The requests here are in flight during several crashes that they did not cause. Counting the
    crashes of shared servers too would convict them.
    """
    workload = Workload(suspects=CrashSuspects())
    crash_rounds = 0
    for step in range(100):
        crashes = step % period == 0
        crash_rounds += crashes
        workload.round(step * 0.1, None if step % 2 else f"one-off-{step}", crashes=crashes)
    assert crash_rounds >= 10
    assert not workload.suspects.convicted_until


def test_a_suspect_runs_alone_and_keeps_others_off_its_server() -> None:
    """Guards against a harmless request that shares a server with a suspect and is lost with it."""
    suspects = CrashSuspects()
    suspects.on_sent(0.0, "1", "a", "crasher")
    suspects.on_server_crash(0.0, "a")
    suspects.on_sent(0.1, "2", "b", "other")
    assert suspects.eligible(0.1, "crasher", SERVERS) == ("a", "c")
    suspects.on_sent(0.1, "3", "c", "crasher")
    assert suspects.eligible(0.1, "other", SERVERS) == ("a", "b")
    suspects.on_call_ended("3")
    suspects.on_answered("crasher")
    assert not suspects.is_suspect(0.2, "crasher")


@pytest.mark.parametrize(
    ("ttl_s", "at", "refused"),
    [(60.0, 59.0, True), (60.0, 61.0, False), (1e9, 61.0, False), (-1.0, 0.0, False)],
    ids=["in-force", "ended", "too-long", "negative"],
)
def test_a_conviction_from_a_peer_holds_for_its_bounded_time(
    ttl_s: float, at: float, refused: bool
) -> None:
    """Guards against a peer's message that gets a request refused without a time limit."""
    suspects = CrashSuspects()
    suspects.convict(0.0, "crasher", ttl_s)
    assert (suspects.refusal(at, "crasher") is not None) == refused
