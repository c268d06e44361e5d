from __future__ import annotations

from azurefield_entry.query.quarantine import Quarantine
from azurefield_entry.query.suspect_queue import WaitingSuspect

SERVERS = ("a1", "a2", "a3")


def with_suspects(*requests: str) -> Quarantine:
    """Create a quarantine in which the requests are suspects because `a1` crashed."""
    quarantine = Quarantine()
    for request in requests:
        quarantine.suspects.on_sent(0.0, f"{request}.0", "a1", request)
    assert quarantine.on_connection_lost(0.0, "a1", "i1") == []
    return quarantine


def test_a_retry_waits_until_a_server_is_free_that_it_may_use() -> None:
    """Guards against a suspect's retry that is resumed although no server may run its call.

    Meanwhile another suspect runs alone on a server of the same leaf.
    """
    quarantine = with_suspects("x", "y")
    quarantine.suspects.on_sent(0.0, "y.1", "a2", "y")
    resumed_at: list[float] = []
    waiting = WaitingSuspect(
        fingerprint="x",
        servers=(SERVERS,),
        tried=frozenset({"a1", "a2"}),
        deadline=9.0,
        resume=resumed_at.append,
    )
    quarantine.enqueue(1.0, waiting)
    assert resumed_at == []
    assert quarantine.eligible(1.0, "other", (*SERVERS, "a4")) == ("a1", "a4"), "a3 is reserved"
    assert quarantine.eligible(1.0, "other", SERVERS) == ("a1", "a3"), "no other is alive"
    quarantine.suspects.on_call_ended("y.1")
    quarantine.resume_ready(2.0)
    assert resumed_at == [2.0]
    assert "a3" in quarantine.eligible(2.0, "x", SERVERS)


def test_other_requests_share_the_last_live_server_with_a_suspect() -> None:
    """Guards against missing coverage while a suspect runs alone on a leaf's last live server."""
    quarantine = with_suspects("x")
    quarantine.suspects.on_sent(1.0, "x.1", "a2", "x")
    assert quarantine.eligible(1.0, "other", SERVERS) == ("a1", "a3")
    assert quarantine.eligible(1.0, "other", ("a1", "a2")) == ("a1", "a2")
    quarantine.on_status(2.0, "a1", "i2")
    assert quarantine.eligible(2.0, "other", ("a1", "a2")) == ("a1",)


def test_a_suspect_that_waits_is_resumed_at_its_deadline() -> None:
    """Guards against a caller that gets no answer because no server becomes free for a suspect."""
    quarantine = with_suspects("x")
    for server in SERVERS:
        quarantine.suspects.on_sent(1.0, f"other.{server}", server, "other")
    resumed_at: list[float] = []
    waiting = WaitingSuspect(
        fingerprint="x",
        servers=(SERVERS,),
        tried=frozenset(),
        deadline=9.0,
        resume=resumed_at.append,
    )
    quarantine.enqueue(1.0, waiting)
    quarantine.resume_ready(8.9)
    assert resumed_at == []
    quarantine.resume_ready(9.0)
    assert resumed_at == [9.0]
