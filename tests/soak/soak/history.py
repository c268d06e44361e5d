"""History of the requests seen by callers and leafs, checked against the guarantees."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from soak.workspaces import WORKSPACES, SoakWorkspace, most_in_window

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

RECORD_BYTES = 16
TOP_K = 5
# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Other failures that a caller may get for a valid request.
FAILURE_STATUSES = frozenset({500, 502, 503, 504})
ATTEMPTS_MAX = 2
# The target of a request that ends each leaf that begins to run it.
CRASH_TARGET = "/s/crash"
REFUSED_AS_CRASHING = b"request-crashes-servers"


def leaf_records(leaf: str, request_id: str) -> bytes:
    """Return the records with which a leaf answers a request, derived from both identities."""
    seed = hashlib.blake2b(f"{leaf} {request_id}".encode()).digest()
    return seed[: RECORD_BYTES * (1 + seed[0] % 4)]


def leaf_signature(leaf: str, request_id: str) -> str:
    """Return the signature that a leaf attaches to its answer to a request."""
    return f"{leaf}.{request_id}"


@dataclass(slots=True, kw_only=True)
class SentRequest:
    """A request of a caller and its result; ``status`` is 0 without a complete answer.

    :param workspace: the workspace whose key it carries; None if there are none
    :param ran_at: when a leaf first began to run it
    """

    request_id: str
    kind: str
    method: str
    target: str
    body: bytes
    gateway: str
    status: int = 0
    closed: bool = False
    sent_at: float = 0.0
    workspace: SoakWorkspace | None = None
    ran_at: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class LeafRun:
    """One execution of a request by a leaf."""

    leaf: str
    service: str
    answered: bool


@dataclass(slots=True, kw_only=True)
class History:
    """All requests and their runs by leafs, with the violations found so far.

    :param shard_sets: the shard sets of all versions of the configuration
    :param services: by kind of request, the services to which any version routes it
    :param service_of: the service of each leaf
    :param workspaces: the workspaces whose keys callers send
    """

    sent: dict[str, SentRequest] = field(default_factory=dict)
    runs: dict[str, list[LeafRun]] = field(default_factory=dict)
    shard_sets: list[tuple[str, ...]] = field(default_factory=list)
    services: dict[str, set[str]] = field(default_factory=dict)
    service_of: dict[str, str] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    workspaces: tuple[SoakWorkspace, ...] = ()

    def add_violation(self, rule: str, request_id: str, detail: str) -> None:
        """Record the violation of a guarantee."""
        self.violations.append(f"{rule}: {request_id}: {detail}")

    def on_run(
        self, request_id: str, *, leaf: str, service: str, method: str, target: str, body: bytes
    ) -> None:
        """Record and check a request that a leaf starts to run."""
        sent = self.sent.get(request_id)
        if sent is None:
            self.add_violation("UNASKED", request_id, f"no caller sent it, but {leaf} runs it")
            return
        if (method, target, body) != (sent.method, sent.target, sent.body):
            self.add_violation("UNASKED", request_id, f"{leaf} runs {method} {target} {body!r}")
        if service not in self.services[sent.kind]:
            self.add_violation("ROUTE", request_id, f"{service} runs a request of kind {sent.kind}")
        runs = self.runs.setdefault(request_id, [])
        runs.append(LeafRun(leaf=leaf, service=service, answered=False))
        max_runs = 1 if sent.kind == "order" else ATTEMPTS_MAX
        counted_runs = [run for run in runs if sent.kind != "listing" or run.service == service]
        if len(counted_runs) > max_runs:
            self.add_violation(
                "TWICE" if max_runs == 1 else "BUDGET",
                request_id,
                f"{len(counted_runs)} runs of {sent.kind}",
            )
        if sent.kind == "order" and sent.status in NOT_RUN_STATUSES:
            self.add_violation("REFUSED", request_id, f"it ran after status {sent.status}")

    def check_workspace(self, request_id: str, headers: CIMultiDictProxy[str], now: float) -> None:
        """Check what a leaf learns of the workspace of a request that it is about to run."""
        sent = self.sent.get(request_id)
        if sent is None or sent.workspace is None:
            return
        if sent.ran_at is None:
            sent.ran_at = now
        if headers.getall("Tenant-Id", ()) != [sent.workspace.name]:
            detail = f"a leaf gets the workspace {headers.get('Tenant-Id')}"
            self.add_violation("UNASKED", request_id, detail)
        if any(one.key in value for one in WORKSPACES for value in headers.values()):
            self.add_violation("UNASKED", request_id, "a leaf gets a key")

    def check_quotas(self) -> None:
        """Check that no workspace has run more in a window than its quota tolerates."""
        for workspace in self.workspaces:
            if not workspace.rate_per_s:
                continue
            spans = [
                (sent.sent_at, sent.ran_at)
                for sent in self.sent.values()
                if sent.workspace is workspace and sent.ran_at is not None
            ]
            most = most_in_window(spans)
            if most > workspace.window_max:
                detail = f"{most} requests in a window, allowed {workspace.window_max:.0f}"
                self.add_violation("QUOTA", workspace.name, detail)

    def check_logs(self, lines: list[str]) -> None:
        """Check that no gateway has logged a key."""
        for line in lines:
            if any(workspace.key in line for workspace in WORKSPACES):
                self.add_violation("KEY", "-", line)

    def on_answer(
        self, sent: SentRequest, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Check a complete answer that a caller received."""
        sent.status = status
        if REFUSED_AS_CRASHING in body and sent.target != CRASH_TARGET:
            self.add_violation("DENIED", sent.request_id, f"refused for crashes: {sent.target}")
        if status == 200:
            if sent.kind == "listing":
                self.check_listing(sent, headers, body)
            else:
                self.check_single(sent, headers, body)
        elif status not in FAILURE_STATUSES | NOT_RUN_STATUSES:
            self.add_violation("DENIED", sent.request_id, f"status {status}")
        if sent.kind == "order" and status in NOT_RUN_STATUSES and self.runs.get(sent.request_id):
            self.add_violation("REFUSED", sent.request_id, f"status {status}, but it has run")

    def check_single(self, sent: SentRequest, headers: dict[str, str], body: bytes) -> None:
        """Check that the answer of one leaf belongs to the request and is unchanged."""
        leaf, _, request_id = headers.get("response-signature", "").partition(".")
        if request_id != sent.request_id:
            self.add_violation("MIXED", sent.request_id, f"signature {leaf}.{request_id}")
        elif body != leaf_records(leaf, sent.request_id):
            detail = f"{len(body)} bytes that {leaf} has not sent: {body[:40]!r}"
            self.add_violation("MIXED", sent.request_id, detail)

    def check_listing(self, sent: SentRequest, headers: dict[str, str], body: bytes) -> None:
        """Check a merged answer.

        Its parts must belong to the request and to different shards of one shard set. At least half
        of the shards must have answered, and the records must be the greatest of all parts.
        """
        signatures = [
            signature.strip() for signature in headers.get("partial-stamps", "").split(",")
        ]
        missing = int(headers.get("missing-shards", "0"))
        leafs = [signature.partition(".")[0] for signature in signatures]
        if any(
            signature != leaf_signature(leaf, sent.request_id)
            for signature, leaf in zip(signatures, leafs, strict=True)
        ):
            self.add_violation("MIXED", sent.request_id, f"signatures {signatures}")
            return
        services = [self.service_of[leaf] for leaf in leafs]
        matches_shard_set = any(
            len(services) + missing == len(shards) and set(services) <= set(shards)
            for shards in self.shard_sets
        )
        if not matches_shard_set or len(set(services)) < len(services) or len(services) < missing:
            self.add_violation("MIXED", sent.request_id, f"parts of {services}, {missing} missing")
        parts = b"".join(leaf_records(leaf, sent.request_id) for leaf in leafs)
        records = [parts[at : at + RECORD_BYTES] for at in range(0, len(parts), RECORD_BYTES)]
        if body != b"".join(sorted(records, reverse=True)[:TOP_K]):
            self.add_violation("MIXED", sent.request_id, "not the greatest records of its parts")

    def on_unanswered(self, sent: SentRequest, reason: str) -> None:
        """Check a request that got no answer although there were only planned restarts.

        A request that ran must be answered before its gateway exits.

        :param reason: how the caller missed the answer
        """
        if self.runs.get(sent.request_id):
            self.add_violation(
                "LOST",
                sent.request_id,
                f"it ran, but {sent.gateway} did not answer: {reason}",
            )
