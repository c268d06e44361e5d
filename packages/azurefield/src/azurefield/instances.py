"""Number of instances that may be running, to divide limits that all of them share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

if TYPE_CHECKING:
    from collections.abc import Collection


class RunningInstances(Struct, kw_only=True):
    """The instances that are listed in the store, or were until ``grace_s`` ago.

    The entry of a running instance may be missing: the instance may have failed to renew it, or the
    store may have lost all entries in an outage. So an instance still counts for ``grace_s`` after
    its entry was removed.

    :param own: the name of this instance, which always counts
    """

    own: str
    grace_s: float
    counts_until: dict[str, float] = field(default_factory=dict)

    def on_listing(self, now: float, listed: Collection[str]) -> None:
        """Apply a complete listing of the entries."""
        for instance in [*self.counts_until]:
            if instance not in listed:
                self.on_removed(now, instance)
        for instance in listed:
            self.on_listed(instance)

    def on_listed(self, instance: str) -> None:
        """Record that an instance is listed."""
        self.counts_until[instance] = float("inf")

    def on_removed(self, now: float, instance: str) -> None:
        """Start the grace period of an instance whose entry was removed."""
        if self.counts_until.get(instance) == float("inf"):
            self.counts_until[instance] = now + self.grace_s

    def expire(self, now: float) -> bool:
        """Drop the instances whose grace period is over.

        :return: whether any was dropped
        """
        expired = [name for name, until in self.counts_until.items() if until <= now]
        for instance in expired:
            del self.counts_until[instance]
        return bool(expired)

    @property
    def names(self) -> frozenset[str]:
        """The instances that count, including this one."""
        return frozenset(self.counts_until.keys() | {self.own})

    @property
    def known(self) -> bool:
        """Whether any instance is listed, or was until recently."""
        return bool(self.counts_until)

    def __len__(self) -> int:
        """Return the number of instances that count, including this one."""
        return len(self.names)
