"""Containment of requests that crash the servers they run on, by reports of all instances.

``CrashSuspects`` finds such a request by running it alone. Here a request may reach many servers at
once and come back at any instance, so that each further run is costly. A request counts as a
suspect if most of its calls were lost and one of the servers then refused connections; two such
runs, at whatever instances, are enough to refuse it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import sha256

# A server that crashed refuses connections within this time after the calls were lost.
CONFIRM_S = 2.0
LOST_SHARE_MIN = 0.5
REPORTS_TO_REFUSE = 2
REPORT_S = 60.0


def digest_of(*parts: str | bytes) -> str:
    """Identify a request that is sent again under another identity.

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


@dataclass(slots=True, kw_only=True)
class LostRun:
    """A run of a request most of whose calls were lost."""

    request: str
    servers: frozenset[str]
    at: float


@dataclass(slots=True, kw_only=True)
class CrashReports:
    """Which requests are refused because runs of them crashed servers.

    ``reports`` holds the instances that reported a request, with the time at which the report ends;
    the report of this instance counts once for each run.
    """

    instance: str
    lost: list[LostRun] = field(default_factory=list)
    runs: dict[str, list[float]] = field(default_factory=dict)
    reports: dict[str, set[str]] = field(default_factory=dict)

    def on_run_ended(self, now: float, request: str, lost: frozenset[str], sent: int) -> None:
        """Note a run in which calls were lost after they had been sent.

        :param lost: the servers whose connections broke
        :param sent: the number of calls of the run
        """
        if lost and len(lost) >= LOST_SHARE_MIN * sent:
            self.lost.append(LostRun(request=request, servers=lost, at=now))

    def on_connection_refused(self, now: float, server: str) -> list[str]:
        """Take the evidence that a server is down.

        :return: the requests that this instance has to report
        """
        suspects = [run for run in self.lost if server in run.servers and now - run.at <= CONFIRM_S]
        self.lost = [run for run in self.lost if run not in suspects and now - run.at <= CONFIRM_S]
        for run in suspects:
            self.runs.setdefault(run.request, []).append(now)
        return [run.request for run in suspects]

    def on_report(self, instance: str, request: str) -> None:
        """Take another instance's report."""
        if instance != self.instance:
            self.reports.setdefault(request, set()).add(instance)

    def on_report_ended(self, instance: str, request: str) -> None:
        """Forget another instance's report."""
        instances = self.reports.get(request, set())
        instances.discard(instance)
        if not instances:
            self.reports.pop(request, None)

    def on_answered(self, request: str) -> None:
        """Forget the runs of a request that was answered after all."""
        self.runs.pop(request, None)

    def refused(self, now: float, request: str) -> bool:
        """Whether a request must not run any more."""
        if not self.runs and not self.reports:
            return False
        own = [at for at in self.runs.get(request, ()) if now - at <= REPORT_S]
        if own:
            self.runs[request] = own
        else:
            self.runs.pop(request, None)
        return len(own) + len(self.reports.get(request, ())) >= REPORTS_TO_REFUSE
