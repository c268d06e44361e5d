"""Containment of requests that crash backend servers.

A suspect is a request that was in flight on a server that crashed. It runs alone on a server until
it is answered or the suspicion expires. A request that crashes servers while it runs alone is
convicted, which means that it is refused for some time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.quarantine import (
    LONE_CRASHES_TO_CONVICT,
    SUSPICION_LIFETIME_S,
    Conviction,
    CrashSuspects,
    InFlightCall,
    Suspect,
    fingerprint,
)
from azurefield.server_choice import Holders
from azurefield_entry.messages import SendToPeer
from azurefield_entry.notify import notify
from azurefield_entry.peers.frames import Conviction as ConvictionFields
from azurefield_entry.peers.frames import fields_dict
from azurefield_entry.query.failures import not_encodable
from azurefield_entry.query.suspect_queue import SuspectQueue, WaitingSuspect

if TYPE_CHECKING:
    from collections.abc import Mapping

    from azurefield.failures import RequestFailure
    from azurefield.model import RequestKind
    from azurefield.snapshot import Holding
    from azurefield_entry.kernel import Kernel

# Within this time after a connection is lost, a status answer of the same incarnation proves
# nothing: the server may have sent it before it crashed.
STALE_STATUS_WINDOW_S = 0.25
# Peers refuse a convicted request for this long while the crash is not yet confirmed, since its
# caller may send it to them at once. The time is longer than the next probe takes to end.
PROVISIONAL_CONVICTION_S = 5.0


class SuspectedCrash(Struct, kw_only=True, frozen=True):
    """A lost connection that counts as a crash of the server until a status probe decides.

    ``lost_calls`` were in flight on the server at the time ``at``.
    """

    at: float
    incarnation: str | None
    lost_calls: tuple[InFlightCall, ...]
    convictions: tuple[Conviction, ...]


class Quarantine(Struct, kw_only=True):
    """Suspects and convictions of this instance.

    A lost connection counts as a crash of the server at once, since the request may be sent again
    before the next probe. A probe that finds the same incarnation reverts that. A conviction is
    sent to the peers twice: at once with a short lifetime, and with its full lifetime after a probe
    has confirmed the crash.
    """

    suspects: CrashSuspects = field(default_factory=CrashSuspects)
    queue: SuspectQueue = field(default_factory=SuspectQueue)
    suspected_crashes: dict[str, list[SuspectedCrash]] = field(default_factory=dict)

    def on_connection_lost(
        self, now: float, server: str, incarnation: str | None
    ) -> list[Conviction]:
        """Suspect the requests in flight on the server.

        :param incarnation: the server's last known incarnation
        :return: the requests that this crash convicts
        """
        lost_calls = tuple(
            call for call in self.suspects.in_flight.values() if call.server == server
        )
        convictions = self.suspects.on_server_crash(now, server)
        crash = SuspectedCrash(
            at=now, incarnation=incarnation, lost_calls=lost_calls, convictions=tuple(convictions)
        )
        self.suspected_crashes.setdefault(server, []).append(crash)
        return convictions

    def on_status(self, now: float, server: str, incarnation: str) -> list[Conviction]:
        """Confirm or revert the suspected crashes of a server that answered a status probe.

        :return: the convictions that are confirmed
        """
        confirmed: list[Conviction] = []
        for crash in self.suspected_crashes.pop(server, []):
            if crash.incarnation != incarnation:
                confirmed += crash.convictions
            elif now - crash.at < STALE_STATUS_WINDOW_S:
                self.suspected_crashes.setdefault(server, []).append(crash)
            else:
                self.revert_crash(crash)
        self.suspects.expire(now)
        return confirmed

    def on_status_missing(self, server: str) -> list[Conviction]:
        """Confirm the suspected crashes of a server that did not answer its status probe.

        :return: the convictions that are confirmed
        """
        suspected_crashes = self.suspected_crashes.pop(server, [])
        return [conviction for crash in suspected_crashes for conviction in crash.convictions]

    def revert_crash(self, crash: SuspectedCrash) -> None:
        """Undo the suspicions and convictions of a crash that did not happen."""
        for conviction in crash.convictions:
            self.suspects.convicted_until.pop(conviction.fingerprint, None)
            self.suspects.suspects[conviction.fingerprint] = Suspect(
                lone_crashes=LONE_CRASHES_TO_CONVICT, until=crash.at + SUSPICION_LIFETIME_S
            )
        ran_alone = all(call.alone for call in crash.lost_calls)
        for request in {call.fingerprint for call in crash.lost_calls}:
            suspect = self.suspects.suspects.get(request)
            if suspect is not None:
                suspect.lone_crashes -= ran_alone
                if suspect.lone_crashes <= 0:
                    del self.suspects.suspects[request]

    def eligible(self, now: float, request: str, servers: tuple[str, ...]) -> tuple[str, ...]:
        """List the servers on which a call of this request may run now."""
        if not self.suspects.suspects:
            return servers
        allowed = self.suspects.eligible(now, request, servers)
        if self.suspects.is_suspect(now, request):
            return self.servers_for_suspect(servers, allowed)
        unreserved = tuple(server for server in allowed if server not in self.queue.reserved)
        # If the leaf has no other live server, a request may use one that is reserved for a suspect
        # or runs one alone: coverage matters more than isolation.
        for choice in (unreserved, allowed):
            if any(server not in self.suspected_crashes for server in choice):
                return choice
        return servers

    def servers_for_suspect(
        self, servers: tuple[str, ...], allowed: tuple[str, ...]
    ) -> tuple[str, ...]:
        """List the servers on which a suspect may run alone.

        At most one server of a leaf runs a suspect at a time. An ordinary crash makes many requests
        suspects; without this limit they would block the leaf's servers for all other requests.
        """
        if any(self.has_isolated_call(server) for server in servers):
            return ()
        live = tuple(server for server in allowed if server not in self.suspected_crashes)
        return live or (allowed if self.suspected_crashes.keys() >= set(servers) else ())

    def has_isolated_call(self, server: str) -> bool:
        """Whether a suspect runs alone on a server."""
        calls = self.suspects.in_flight.values()
        return any(call.alone and call.server == server for call in calls)

    def check(
        self, now: float, service: str, kind: RequestKind, body: Mapping[str, Any]
    ) -> Result[str, RequestFailure]:
        """Return the fingerprint of a request, or its failure if it must not run."""
        try:
            request_fingerprint = fingerprint(service, kind, body)
        except (ValueError, RecursionError):
            return Err(not_encodable())
        failure = self.suspects.refusal(now, request_fingerprint)
        return Ok(request_fingerprint) if failure is None else Err(failure)

    def allowed_holders(self, holders: Holders, request_fingerprint: str) -> AllowedHolders:
        """Restrict the servers of each leaf to those that one request may use."""
        return AllowedHolders(all_holders=holders, quarantine=self, fingerprint=request_fingerprint)

    def enqueue(self, now: float, waiting: WaitingSuspect) -> None:
        """Queue a suspect until servers are free for it."""
        self.queue.waiting.append(waiting)
        self.resume_ready(now)

    def resume_ready(self, now: float) -> None:
        """Resume the queued suspects that need not wait any longer."""
        if self.queue.waiting or self.queue.reserved:
            self.queue.resume_ready(now, self.eligible, self.wait_preference)

    def wait_preference(self, server: str) -> tuple[bool, bool, int]:
        """Return the sort key of a server to wait for; the lowest is expected to be free first."""
        calls = sum(call.server == server for call in self.suspects.in_flight.values())
        return server in self.suspected_crashes, not self.has_isolated_call(server), calls


class AllowedHolders(Struct, kw_only=True, frozen=True):
    """The servers of each leaf that the quarantine allows to one request."""

    all_holders: Holders
    quarantine: Quarantine
    fingerprint: str

    def holders(self, now: float, holding: Holding) -> tuple[str, ...]:
        """List the servers that the request may use for a leaf."""
        servers = self.all_holders.holders(now, holding)
        return self.quarantine.eligible(now, self.fingerprint, servers)


def send_convictions(kernel: Kernel, convictions: list[Conviction], *, confirmed: bool) -> None:
    """Send convictions to all peers, with a short lifetime unless the crash is confirmed."""
    for conviction in convictions:
        ttl_s = conviction.ttl_s if confirmed else PROVISIONAL_CONVICTION_S
        fields = ConvictionFields(fingerprint=conviction.fingerprint, ttl_ms=int(ttl_s * 1000))
        message = SendToPeer(instance=None, type="conviction", fields=fields_dict(fields))
        notify(kernel, "peers", message)
