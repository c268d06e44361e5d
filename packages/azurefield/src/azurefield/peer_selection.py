"""Choice of the instance that runs a request which this instance can't run itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.routing import OwnObservationRouter

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from azurefield.coordinators import InstanceProfile

# An instance that has refused a request gets none for this time, or a shorter one that it names.
AVOID_S = 1.0


class PeerChoice(Struct, kw_only=True, frozen=True):
    """The instance that should run a request.

    :param only: whether no other instance is left that might run it
    """

    instance: str
    only: bool


class PeerSelection(Struct, kw_only=True):
    """Chooses by the observed time to a result; instances of other zones have a penalty.

    Instances that were late are chosen only when no other is left.

    :param other_zone_penalty_s: added to the expected wait for an instance of another zone
    :param avoided_until: when instances that can't run requests are chosen again
    :param late_until: when instances that were late expect to be punctual
    """

    own: str
    own_zone: str
    router: OwnObservationRouter
    other_zone_penalty_s: float
    avoided_until: dict[str, float] = field(default_factory=dict)
    late_until: dict[str, float] = field(default_factory=dict)

    def choose(
        self, now: float, profiles: Iterable[InstanceProfile], tried: Collection[str] = ()
    ) -> PeerChoice | None:
        """Choose an instance that was not tried and has not refused lately; None without one."""
        candidates = []
        for profile in profiles:
            name = profile.instance
            if name not in tried and self.may_run(now, profile):
                self.router.set_wait_penalty(name, self.penalty_s(profile))
                candidates.append(name)
        punctual = self.punctual(now, candidates)
        chosen = self.router.choose(now, tuple(punctual or candidates))
        if chosen is None:
            return None
        return PeerChoice(instance=chosen, only=not punctual or len(candidates) == 1)

    def may_run(self, now: float, profile: InstanceProfile) -> bool:
        """Whether an instance accepts requests and has not refused one lately."""
        name = profile.instance
        reachable = profile.coordinator_address is not None and name != self.own
        return reachable and self.avoided_until.get(name, now) <= now

    def penalty_s(self, profile: InstanceProfile) -> float:
        """Return what is added to the expected wait for an instance."""
        other_zone = profile.availability_zone != self.own_zone
        return self.other_zone_penalty_s if other_zone else 0.0

    def punctual(self, now: float, instances: Collection[str]) -> list[str]:
        """List the instances that are not expected to be late."""
        return [name for name in instances if self.late_until.get(name, now) <= now]

    def on_refused(self, now: float, instance: str, retry_after_s: float | None = None) -> None:
        """Avoid an instance that has refused a request.

        :param retry_after_s: when it expects to be punctual again, if it refused for being late
        """
        if retry_after_s is None:
            self.avoided_until[instance] = now + AVOID_S
        else:
            self.late_until[instance] = now + min(AVOID_S, retry_after_s)

    def retain_only(self, instances: Collection[str]) -> None:
        """Drop the instances that no longer run."""
        for times in (self.avoided_until, self.late_until):
            for name in times.keys() - instances:
                del times[name]
        known = self.router.views.keys() | self.router.penalties_s.keys()
        for name in known - frozenset(instances):
            self.router.forget(name)
