"""Containment of requests that end the backend servers that run them, over all instances.

``CrashSuspects`` confirms such a request by running it alone. The gateway can't afford that: a
query over shards would end one server after the other before each of its calls has run alone. Here
each end of a server under a request is reported to all instances. From the first report on, the
request is a suspect: it gets one attempt for each shard, on a connection that is opened for it, so
that its server is known to have been up. A request is refused once enough servers have ended under
it, some of them while it was a suspect. A harmless request is in flight when a server ends by
chance, but hardly ever again when it is sent as a suspect, and it is cleared by its first answer.
If a server was running several requests when it ended, its end counts only for the one under which
most servers have ended.
"""

from __future__ import annotations

from enum import StrEnum
from hashlib import sha256

from msgspec import Struct, field

# Servers that have to end under a request before it is refused.
SERVERS_ENDED_MIN = 3
# Of these, as many have to end while the request is already a suspect.
SUSPECT_ENDS_MIN = 2
# A refused request is a suspect again after this time, so that it is run once on one server.
REFUSAL_S = 300.0
EVIDENCE_LIFETIME_S = 600.0
# Reports on one server within this time are about the same end.
SAME_END_S = 2.0
# Reports that were under way when a request was answered are ignored for this time.
ANSWER_PRECEDENCE_S = 10.0
# Requests for which evidence is kept at the same time, and reports that are kept of each.
REQUESTS_MAX = 1000
REPORTS_MAX = 100


def digest_of(*parts: str | bytes) -> str:
    """Hash the content of a request, so that a retry under another request id is recognized.

    >>> digest_of("GET", "/x", b"") == digest_of("GET", "/x", b"")
    True
    >>> digest_of("ab", "c") == digest_of("a", "bc")
    False
    """
    digest = sha256()
    for part in parts:
        data = part.encode(errors="surrogateescape") if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.hexdigest()[:32]


class Standing(StrEnum):
    """How a request may run: as usual, with care as a suspect, or not at all."""

    USUAL = "usual"
    SUSPECT = "suspect"
    REFUSED = "refused"


class ServerEnded(Struct, kw_only=True, frozen=True):
    """Report that a server ended while it ran a request.

    :param request: the digest of the request
    :param incarnation: tells apart the starts of the server
    :param run: identifies the run of the request
    :param suspect: whether the request ran as a suspect, on a server that was up just before
    """

    request: str
    service: str
    server: str
    incarnation: str
    run: str
    suspect: bool


class RequestAnswered(Struct, kw_only=True, frozen=True):
    """Report that a server of a service has run a request and did not end."""

    request: str
    service: str


CrashReport = ServerEnded | RequestAnswered


class ServerEnd(Struct, kw_only=True, eq=False):
    """One end of a server.

    :param reported_at: when it was first reported
    :param requests: the requests that the server was running, and whether each was a suspect
    """

    server: str
    incarnation: str
    service: str
    reported_at: float
    requests: dict[str, bool] = field(default_factory=dict)


class RequestEvidence(Struct, kw_only=True):
    """What is known of one request.

    :param reports: the reports that are known
    :param ends: the ends of servers that were running it
    :param answered_at: when it was answered, by service
    :param changed_at: when the last report came
    """

    reports: set[ServerEnded] = field(default_factory=set)
    ends: list[ServerEnd] = field(default_factory=list)
    answered_at: dict[str, float] = field(default_factory=dict)
    changed_at: float = 0.0


class CrashEvidence(Struct, kw_only=True):
    """Decides from the reports of all instances which requests are suspects and which are refused.

    It does not matter which instance a report is from: an instance counts its own earlier reports,
    which it may have written before a restart.
    """

    requests: dict[str, RequestEvidence] = field(default_factory=dict)
    ends: list[ServerEnd] = field(default_factory=list)

    def on_report(self, now: float, report: CrashReport) -> bool:
        """Apply a report.

        :return: whether it adds something to what is known
        """
        match report:
            case ServerEnded():
                return self.on_server_ended(now, report)
            case RequestAnswered(request=request, service=service):
                return self.on_answered(now, request, service)

    def on_server_ended(self, now: float, report: ServerEnded) -> bool:
        """Count the end of a server, unless it is known or the request has just been answered."""
        known = self.requests.get(report.request)
        if known is None:
            self.make_room()
            known = self.requests[report.request] = RequestEvidence()
        answered_at = known.answered_at.get(report.service)
        if answered_at is not None and now - answered_at < ANSWER_PRECEDENCE_S:
            return False
        if report in known.reports or len(known.reports) >= REPORTS_MAX:
            return False
        known.reports.add(report)
        known.changed_at = now
        end = self.end_of(now, report, known)
        if end not in known.ends:
            known.ends.append(end)
        end.requests[report.request] = report.suspect or end.requests.get(report.request, False)
        return True

    def end_of(self, now: float, report: ServerEnded, known: RequestEvidence) -> ServerEnd:
        """Return the end of a server that a report is about.

        A suspect finds its server up, so a later report of a suspect run is about another end. A
        usual run may find out late that its server has ended.
        """
        for end in reversed(self.ends):
            if (end.server, end.incarnation) != (report.server, report.incarnation):
                continue
            if now - end.reported_at < SAME_END_S or (not report.suspect and end in known.ends):
                return end
        end = ServerEnd(
            server=report.server,
            incarnation=report.incarnation,
            service=report.service,
            reported_at=now,
        )
        self.ends.append(end)
        return end

    def on_answered(self, now: float, request: str, service: str) -> bool:
        """Drop the ends of a service's servers under a request that one of them has answered.

        :return: whether there were any
        """
        known = self.requests.get(request)
        if known is None:
            return False
        known.answered_at[service] = now
        cleared = [end for end in known.ends if end.service == service]
        for end in cleared:
            del end.requests[request]
        known.ends = [end for end in known.ends if end.service != service]
        return bool(cleared)

    def standing(self, now: float, request: str) -> Standing:
        """Return how a request may run now."""
        known = self.requests.get(request)
        if known is None or not known.ends or now - known.changed_at >= EVIDENCE_LIFETIME_S:
            return Standing.USUAL
        ends = [end for end in known.ends if self.has_most_ends(request, end)]
        suspect_ends = sum(end.requests[request] for end in ends)
        proven = len(ends) >= SERVERS_ENDED_MIN and suspect_ends >= SUSPECT_ENDS_MIN
        if proven and now - known.changed_at < REFUSAL_S:
            return Standing.REFUSED
        return Standing.SUSPECT

    def has_most_ends(self, request: str, end: ServerEnd) -> bool:
        """Whether none of the requests that a server was running was there at more ends."""
        count = len(self.requests[request].ends)
        return all(len(self.requests[other].ends) <= count for other in end.requests)

    def servers(self, request: str) -> list[str]:
        """List the servers that ended under a request."""
        known = self.requests.get(request)
        return [] if known is None else sorted({end.server for end in known.ends})

    def make_room(self) -> None:
        """Drop the oldest evidence if there is too much."""
        while len(self.requests) >= REQUESTS_MAX:
            self.drop(min(self.requests, key=lambda key: self.requests[key].changed_at))

    def expire(self, now: float) -> None:
        """Drop what no longer counts."""
        for request, known in [*self.requests.items()]:
            if now - known.changed_at >= EVIDENCE_LIFETIME_S:
                self.drop(request)
        self.ends = [end for end in self.ends if end.requests]

    def drop(self, request: str) -> None:
        """Drop the evidence of a request."""
        for end in self.requests.pop(request).ends:
            del end.requests[request]
