"""Containment of requests that crash the backend servers that run them.

A request that was in flight on a server that crashed becomes a suspect. A suspect runs alone: each
of its calls has a server without any other call of this instance, and no hedges are sent. If
servers also crash while it runs alone on them, it is convicted: it is refused for a limited time. A
suspicion ends when the request is answered, or after ``SUSPICION_LIFETIME_S``.
"""

from __future__ import annotations

import json
from hashlib import sha256
from typing import TYPE_CHECKING, Any

from msgspec import Struct, field

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome

if TYPE_CHECKING:
    from collections.abc import Mapping

    from azurefield.model import RequestKind

CONVICTION_LIFETIME_S = 60.0
SUSPICION_LIFETIME_S = 60.0
LONE_CRASHES_TO_CONVICT = 2


def fingerprint(service: str, kind: RequestKind, body: Mapping[str, Any]) -> str:
    """Hash the content of a request, so that a retry under another request id is recognized.

    >>> from azurefield.model import RequestKind
    >>> one = fingerprint("desk", RequestKind.LOOKUP, {"a": 1, "b": 2})
    >>> one == fingerprint("desk", RequestKind.LOOKUP, {"b": 2, "a": 1})
    True
    """
    canonical = json.dumps([service, kind, body], sort_keys=True, separators=(",", ":"))
    return sha256(canonical.encode()).hexdigest()[:32]


class Conviction(Struct, kw_only=True, frozen=True):
    """The conviction of a request, to be sent to all peers; it holds for ``ttl_s``."""

    fingerprint: str
    ttl_s: float


class Suspect(Struct, kw_only=True):
    """A request that was in flight on a backend server that crashed.

    ``lone_crashes`` counts the crashes of servers on which it ran alone; ``until`` is the time at
    which the suspicion ends.
    """

    lone_crashes: int = 0
    until: float = 0.0


class InFlightCall(Struct, kw_only=True):
    """A leaf call that was sent and has not ended; ``alone`` if its request was a suspect."""

    server: str
    fingerprint: str
    alone: bool


class CrashSuspects(Struct, kw_only=True):
    """The suspects, their calls and the convictions of one instance.

    The parameter ``request`` is the fingerprint of a request. For each request, the owner calls
    ``refusal`` to learn whether it is convicted, and ``is_suspect`` to learn whether it must run
    alone and without hedges. For each leaf call, the owner picks one of the ``eligible`` servers
    and then calls ``on_sent`` and ``on_call_ended``. ``on_server_crash`` returns the new
    convictions, ``on_answered`` clears a suspect, and ``convict`` applies a conviction received
    from a peer.

    A suspect is not refused. A conviction requires ``LONE_CRASHES_TO_CONVICT`` crashes of servers
    on which the request ran alone.
    """

    suspects: dict[str, Suspect] = field(default_factory=dict)
    convicted_until: dict[str, float] = field(default_factory=dict)
    in_flight: dict[str, InFlightCall] = field(default_factory=dict)

    def refusal(self, now: float, request: str) -> RequestFailure | None:
        """Return the failure with which a convicted request is refused, or None if it may run."""
        until = self.convicted_until.get(request, now)
        if until <= now:
            self.convicted_until.pop(request, None)
            return None
        return RequestFailure(
            kind=FailureKind.REQUEST_CRASHES_SERVERS,
            outcome=Outcome.MAY_HAVE_RUN,
            detail="backend servers crashed repeatedly while this request ran alone",
            retry_after_s=until - now,
        )

    def is_suspect(self, now: float, request: str) -> bool:
        """Return whether the request must run alone and without hedges."""
        suspect = self.suspects.get(request)
        if suspect is not None and suspect.until <= now:
            del self.suspects[request]
            return False
        return suspect is not None

    def eligible(self, now: float, request: str, servers: tuple[str, ...]) -> tuple[str, ...]:
        """Return those of the servers on which a call of this request may run now.

        A suspect may only use a server that has no call of this instance in flight. Other requests
        may not use a server on which a suspect runs.
        """
        if self.is_suspect(now, request):
            taken = {call.server for call in self.in_flight.values()}
        else:
            taken = {call.server for call in self.in_flight.values() if call.alone}
        return tuple(server for server in servers if server not in taken)

    def on_sent(self, now: float, call_id: str, server: str, request: str) -> None:
        """Record a leaf call that was sent."""
        alone = self.is_suspect(now, request)
        self.in_flight[call_id] = InFlightCall(server=server, fingerprint=request, alone=alone)

    def on_call_ended(self, call_id: str) -> None:
        """Record that a leaf call was answered, refused or cancelled."""
        self.in_flight.pop(call_id, None)

    def on_answered(self, request: str) -> None:
        """Clear a suspect after its request was answered."""
        self.suspects.pop(request, None)

    def on_server_crash(self, now: float, server: str) -> list[Conviction]:
        """Suspect the requests in flight on a crashed server; convict those that crashed enough.

        :return: the new convictions
        """
        lost_calls = {key: call for key, call in self.in_flight.items() if call.server == server}
        convictions: list[Conviction] = []
        for request in dict.fromkeys(call.fingerprint for call in lost_calls.values()):
            suspect = self.suspects.setdefault(request, Suspect())
            suspect.until = now + SUSPICION_LIFETIME_S
            alone = all(call.alone and call.fingerprint == request for call in lost_calls.values())
            suspect.lone_crashes += alone
            if suspect.lone_crashes >= LONE_CRASHES_TO_CONVICT:
                self.convict(now, request, CONVICTION_LIFETIME_S)
                convictions.append(Conviction(fingerprint=request, ttl_s=CONVICTION_LIFETIME_S))
        for call_id in lost_calls:
            del self.in_flight[call_id]
        return convictions

    def convict(self, now: float, request: str, ttl_s: float) -> None:
        """Refuse a request from now on for ``ttl_s``, at most ``CONVICTION_LIFETIME_S``."""
        until = now + min(max(ttl_s, 0.0), CONVICTION_LIFETIME_S)
        self.convicted_until[request] = max(until, self.convicted_until.get(request, until))
        self.suspects.pop(request, None)

    def expire(self, now: float) -> None:
        """Drop expired suspects and convictions, which bounds the memory."""
        self.suspects = {key: item for key, item in self.suspects.items() if item.until > now}
        self.convicted_until = {
            key: until for key, until in self.convicted_until.items() if until > now
        }
