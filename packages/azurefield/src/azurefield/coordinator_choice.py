"""Choice of the coordinator that runs a request, by what this instance observes of them.

Handles two cases: a coordinator that turns slow or stops answering, and an availability zone
whose coordinators all do, or are lost at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.coordinators import CoordinatorView
from azurefield.routing import OwnObservationRouter

if TYPE_CHECKING:
    from collections.abc import Collection

# A silent coordinator that runs again is heard at once, since it still answers what it got. This
# time counts for one that is not heard; each request that tries it again may be lost.
SILENT_AVOIDED_S = 4.0


class CoordinatorChoice(Struct, kw_only=True):
    """Chooses the coordinator with the shortest expected time to a result.

    Those of the nearest zones are preferred as long as one of them was not silent; one that refuses
    requests, for instance under another version, is not. Otherwise those of the other zones take
    part, so that a weak instance does not have to run the request itself.

    :param router: observes how the requests end that were forwarded
    :param silent: when the router's own backoff of each coordinator ends that was silent and has
        not been heard since
    """

    view: CoordinatorView
    router: OwnObservationRouter
    silent: dict[str, float] = field(default_factory=dict)

    def choose(self, now: float, zones: Collection[str], tried: Collection[str] = ()) -> str | None:
        """Choose a coordinator for a request over servers in some zones.

        :param tried: those that are not asked again
        :return: its name; None if this instance is one of the nearest itself, or if there is none
        """
        return self.router.choose(now, self.candidates(now, zones, tried))

    def candidates(
        self, now: float, zones: Collection[str], tried: Collection[str] = ()
    ) -> tuple[str, ...]:
        """List the coordinators to choose from; none if this instance is one of the nearest.

        Changes nothing.
        """
        nearest = self.view.candidates(zones)
        if self.view.own in nearest:
            return ()
        nearest = tuple(name for name in nearest if name not in tried)
        if not all(self.is_silent(now, name) for name in nearest):
            return nearest
        distant = self.view.distant_candidates(zones)
        return nearest + tuple(name for name in distant if name not in tried)

    def is_silent(self, now: float, coordinator: str) -> bool:
        """Whether a coordinator is avoided because it was silent."""
        return coordinator in self.silent and self.router.observed(coordinator).backoff_until > now

    def on_silent(self, now: float, coordinator: str) -> None:
        """Avoid a coordinator that has not accepted a request in time, or was lost under it."""
        view = self.router.view(coordinator)
        self.silent.setdefault(coordinator, view.backoff_until)
        view.backoff_until = max(view.backoff_until, now + SILENT_AVOIDED_S)

    def on_heard(self, coordinator: str) -> None:
        """Leave it to the router again when to choose a coordinator that has sent something."""
        backoff_until = self.silent.pop(coordinator, None)
        if backoff_until is not None:
            self.router.view(coordinator).backoff_until = backoff_until

    def forget(self, coordinator: str) -> None:
        """Forget a coordinator that no longer runs."""
        self.silent.pop(coordinator, None)
