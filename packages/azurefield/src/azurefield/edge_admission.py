"""Refuses callers' requests at once that a busy process would serve too late."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field

from azurefield.overload import DELAYED_STEPS, LoopLag
from azurefield.sharing import RequestClass, SharedAdmission

TICK_INTERVAL_S = 0.1
# Earliest return of a refused caller.
RETURN_MIN_S = 0.1
# The event loop delays a request in two steps, so beyond this it costs a caller more than a refusal
# and the earliest return.
LATE_TARGET_S = 0.06
# A process that has used less of its time than this is late because of other load on the machine.
OWN_WORK_MIN = 0.25
# Callers that would return later than this after the earliest time begin again with that.
RETURN_SPREAD_S = 2.0
# A class is forgotten this long after the last return that it was given.
RETURNS_KEPT_S = 10.0


class EdgeRefusalReason(StrEnum):
    """Why a request is refused: beyond its class's part, or its deadline would pass."""

    SHARE = "share"
    LATE = "late"


class EdgeRefusal(Struct, kw_only=True, frozen=True):
    """A request is refused, and nothing of it has run.

    :param retry_after_s: when its caller should return
    :param late_s: how late the event loop is
    """

    reason: EdgeRefusalReason
    retry_after_s: float
    late_s: float


class EdgeAdmission(Struct, kw_only=True):
    """Accepts or refuses the requests of callers, by how late the event loop is.

    Protects against more requests of callers than the process handles in time, also of one
    workspace alone. A single late tick refuses nothing, nor does lateness that is not the process's
    own work, which refusals would not end.

    :param returns_at: when the last refused caller of each class should return
    :param used_s: the processor time of the process at the last tick
    """

    shared: SharedAdmission = field(
        default_factory=lambda: SharedAdmission(late_target_s=LATE_TARGET_S)
    )
    lag: LoopLag = field(default_factory=lambda: LoopLag(interval_s=TICK_INTERVAL_S))
    returns_at: dict[RequestClass, float] = field(default_factory=dict)
    used_s: float = 0.0

    @property
    def limiting(self) -> bool:
        """Whether some requests are refused."""
        return self.shared.limiting

    def on_tick(self, now: float, used_s: float) -> None:
        """Record how late the event loop is, and divide the room for requests anew.

        :param used_s: the processor time that the process has used so far
        """
        self.lag.on_tick(now)
        interval_s = TICK_INTERVAL_S + self.lag.tick_late_s
        own_work = used_s - self.used_s >= OWN_WORK_MIN * interval_s
        self.used_s = used_s
        self.shared.on_interval(now, self.lag.tick_late_s if own_work else 0.0)
        self.returns_at = {
            request_class: at
            for request_class, at in self.returns_at.items()
            if at > now - RETURNS_KEPT_S
        }

    def refuse(
        self, now: float, request_class: RequestClass, deadline: float
    ) -> EdgeRefusal | None:
        """Decide on a request; None if it is accepted."""
        reason = self.reason_to_refuse(now, request_class, deadline)
        self.shared.accepts(request_class, late=reason is EdgeRefusalReason.LATE)
        if reason is None:
            return None
        return EdgeRefusal(
            reason=reason,
            retry_after_s=self.retry_after_s(now, request_class),
            late_s=self.lag.late_s(now),
        )

    def reason_to_refuse(
        self, now: float, request_class: RequestClass, deadline: float
    ) -> EdgeRefusalReason | None:
        """Return why a request would be refused, None if it would be accepted; changes nothing."""
        if self.lag.lasting and now + DELAYED_STEPS * self.lag.late_s(now) > deadline:
            return EdgeRefusalReason.LATE
        return None if self.shared.has_credit(request_class) else EdgeRefusalReason.SHARE

    def retry_after_s(self, now: float, request_class: RequestClass) -> float:
        """Return when a refused caller should return.

        The refused callers of a class return one after the other, at the rate of its part.
        """
        part_per_s = self.shared.parts.get(request_class, self.shared.capacity_per_s)
        first = now + max(RETURN_MIN_S, self.lag.recovery_s(now))
        after = self.returns_at.get(request_class, now) + 1.0 / part_per_s
        returns_at = after if first <= after <= first + RETURN_SPREAD_S else first
        self.returns_at[request_class] = returns_at
        return returns_at - now
