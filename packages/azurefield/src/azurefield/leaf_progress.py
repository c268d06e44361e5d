"""State of one leaf of a query and of its calls."""

from __future__ import annotations

from enum import StrEnum
from typing import Generic, TypeVar

from msgspec import Struct, field

from azurefield.failures import LeafFailureReason

# The calls of a leaf wait for quota at most this fraction of its time; its server has the rest.
QUOTA_WAIT_FRACTION = 0.75

A = TypeVar("A")


class CallStage(StrEnum):
    """How far a pending call is; it can have run only if it is ``SENT``.

    ``WAITING``: it waits for quota or a connection. ``CONNECTING``: its connection is being opened.
    """

    WAITING = "waiting"
    CONNECTING = "connecting"
    SENT = "sent"


class PendingCall(Struct, kw_only=True):
    """A call that has not ended.

    :param sent_at: when it was sent, or began to wait
    """

    server: str
    sent_at: float
    stage: CallStage = CallStage.SENT


class LeafProgress(Struct, Generic[A], kw_only=True):
    """The state of one leaf of the query.

    ``position`` is the leaf's index in the shard map, ``ended_attempts`` the number of ended calls
    that may have run, and ``refused_by`` the servers that did not run its call. At ``resend_at``
    the call may be sent to these servers again.
    """

    position: int
    pending: dict[str, PendingCall] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    first_sent_at: float | None = None
    latency_s: float | None = None
    hedge_at: float | None = None
    answer: A | None = None
    failure: LeafFailureReason | None = None
    ended_attempts: int = 0
    refused_by: set[str] = field(default_factory=set)
    resend_at: float | None = None

    @property
    def settled(self) -> bool:
        """Whether the leaf has answered, or has failed and gets no further call."""
        if self.answer is not None:
            return True
        return self.failure is not None and not self.pending and self.resend_at is None

    def quota_by(self, now: float, deadline: float) -> float:
        """Return until when the calls of the leaf may wait for quota, however often they ask."""
        began = now if self.first_sent_at is None else self.first_sent_at
        return began + QUOTA_WAIT_FRACTION * (deadline - began)
