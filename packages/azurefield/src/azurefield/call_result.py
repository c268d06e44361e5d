"""How calls to backend servers end, as far as the choice of servers is concerned."""

from __future__ import annotations

from enum import StrEnum

from azurefield.failures import LeafFailure, LeafFailureReason


class CallResult(StrEnum):
    """How a leaf call ended, as far as routing is concerned.

    ``NOT_SENT`` says nothing about the server. ``NO_CONNECTION``: no connection of the own pool was
    free; the server is avoided for a while, but not taken for overloaded.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    NO_CONNECTION = "no_connection"


FAILURE_RESULTS = frozenset(
    {CallResult.REFUSED, CallResult.FAILED, CallResult.TIMED_OUT, CallResult.NO_CONNECTION}
)
# No byte of such a call reached the server, and it has not refused it.
UNSENT_RESULTS = frozenset({CallResult.NOT_SENT, CallResult.NO_CONNECTION})
# The server did not run the call.
REFUSAL_REASONS = frozenset(
    {
        LeafFailureReason.DRAINING,
        LeafFailureReason.SHEDDING,
        LeafFailureReason.VERSION_MISSING,
        LeafFailureReason.WRONG_LEAF,
        LeafFailureReason.WRONG_SERVER,
    }
)
# No byte of the call reached the server, and it is not the reason.
NOT_SENT_REASONS = frozenset(
    {
        LeafFailureReason.RATE_LIMITED,
        LeafFailureReason.EVACUATED,
        LeafFailureReason.OUTSIDE_REGIONS,
    }
)


def result_of(failure: LeafFailure) -> CallResult:
    """Return how a failed call ended."""
    if failure.reason in NOT_SENT_REASONS:
        return CallResult.NOT_SENT
    if failure.reason is LeafFailureReason.NO_CAPACITY:
        return CallResult.NO_CONNECTION
    if failure.reason in REFUSAL_REASONS:
        return CallResult.REFUSED
    if failure.reason is LeafFailureReason.TIMEOUT:
        return CallResult.TIMED_OUT
    return CallResult.FAILED
