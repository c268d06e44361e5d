"""What callers and leafs saw, and the promises that must hold on it."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

RECORD_BYTES = 16
TOP = 5
# Statuses that promise that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
# Failures that a caller may get for a proper request.
FAILED = frozenset({500, 502, 503, 504})
ATTEMPTS_MAX = 2


def body_of(leaf: str, request_id: str) -> bytes:
    """Return the records that a leaf answers to a request."""
    seed = hashlib.blake2b(f"{leaf} {request_id}".encode()).digest()
    return seed[: RECORD_BYTES * (1 + seed[0] % 4)]


def proof_of(leaf: str, request_id: str) -> str:
    """Return a leaf's mark on its answer to a request."""
    return f"{leaf}.{request_id}"


@dataclass(slots=True, kw_only=True)
class Sent:
    """A request of a caller with what became of it; ``status`` 0 for no whole answer."""

    request_id: str
    kind: str
    method: str
    target: str
    body: bytes
    gateway: str
    status: int = 0
    closed: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Run:
    """A request that a leaf began to work on."""

    leaf: str
    service: str
    answered: bool


@dataclass(slots=True, kw_only=True)
class History:
    """All requests and runs, with the violations found so far.

    :param shard_sets: the shard set of each version that was ever in force
    :param services: the services that any version allows for each kind of request
    """

    sent: dict[str, Sent] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=dict)
    shard_sets: list[tuple[str, ...]] = field(default_factory=list)
    services: dict[str, set[str]] = field(default_factory=dict)
    service_of: dict[str, str] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def violate(self, rule: str, request_id: str, detail: str) -> None:
        """Note a broken promise."""
        self.violations.append(f"{rule}: {request_id}: {detail}")

    def on_run(
        self, request_id: str, *, leaf: str, service: str, method: str, target: str, body: bytes
    ) -> None:
        """Check a request that a leaf begins to work on."""
        sent = self.sent.get(request_id)
        if sent is None:
            self.violate("UNASKED", request_id, f"nobody sent it, but {leaf} runs it")
            return
        if (method, target, body) != (sent.method, sent.target, sent.body):
            self.violate("UNASKED", request_id, f"{leaf} runs {method} {target} {body!r}")
        if service not in self.services[sent.kind]:
            self.violate("ROUTE", request_id, f"{service} runs a request of kind {sent.kind}")
        runs = self.runs.setdefault(request_id, [])
        runs.append(Run(leaf=leaf, service=service, answered=False))
        limit = 1 if sent.kind == "order" else ATTEMPTS_MAX
        same = [run for run in runs if sent.kind != "listing" or run.service == service]
        if len(same) > limit:
            self.violate(
                "TWICE" if limit == 1 else "BUDGET", request_id, f"{len(same)} runs of {sent.kind}"
            )
        if sent.kind == "order" and sent.status in NOT_RUN:
            self.violate("REFUSED", request_id, f"ran after status {sent.status}")

    def on_answer(self, sent: Sent, status: int, headers: dict[str, str], body: bytes) -> None:
        """Check a whole answer to a caller."""
        sent.status = status
        if status == 200:
            if sent.kind == "listing":
                self.check_listing(sent, headers, body)
            else:
                self.check_single(sent, headers, body)
        elif status not in FAILED | NOT_RUN:
            self.violate("DENIED", sent.request_id, f"status {status}")
        if sent.kind == "order" and status in NOT_RUN and self.runs.get(sent.request_id):
            self.violate("REFUSED", sent.request_id, f"status {status}, but it has run")

    def check_single(self, sent: Sent, headers: dict[str, str], body: bytes) -> None:
        """Check the answer of one leaf."""
        leaf, _, request_id = headers.get("response-signature", "").partition(".")
        if request_id != sent.request_id:
            self.violate("MIXED", sent.request_id, f"proof {leaf}.{request_id}")
        elif body != body_of(leaf, sent.request_id):
            self.violate("MIXED", sent.request_id, f"other bytes than {leaf} sent")

    def check_listing(self, sent: Sent, headers: dict[str, str], body: bytes) -> None:
        """Check a merged answer: parts of one shard set, enough of them, the greatest records."""
        proofs = [proof.strip() for proof in headers.get("partial-stamps", "").split(",")]
        missing = int(headers.get("missing-shards", "0"))
        leafs = [proof.partition(".")[0] for proof in proofs]
        if any(
            proof != proof_of(leaf, sent.request_id)
            for proof, leaf in zip(proofs, leafs, strict=True)
        ):
            self.violate("MIXED", sent.request_id, f"proofs {proofs}")
            return
        services = [self.service_of[leaf] for leaf in leafs]
        fits = any(
            len(services) + missing == len(shards) and set(services) <= set(shards)
            for shards in self.shard_sets
        )
        if not fits or len(set(services)) < len(services) or len(services) < missing:
            self.violate("MIXED", sent.request_id, f"parts of {services}, {missing} missing")
        parts = b"".join(body_of(leaf, sent.request_id) for leaf in leafs)
        records = [parts[at : at + RECORD_BYTES] for at in range(0, len(parts), RECORD_BYTES)]
        if body != b"".join(sorted(records, reverse=True)[:TOP]):
            self.violate("MIXED", sent.request_id, "not the greatest records of its parts")

    def on_planned_loss(self, sent: Sent) -> None:
        """Note a request without an answer while only planned work went on."""
        if self.runs.get(sent.request_id):
            self.violate("LOST", sent.request_id, f"it ran, but {sent.gateway} closed without one")
