"""How many instances may be running, for limits that hold as a sum over all of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection


@dataclass(slots=True, kw_only=True)
class RunningInstances:
    """The instances that are listed, or were until recently.

    An entry also ends when its instance can't renew it, and a store that comes back may have lost
    all entries at once. So an instance counts for ``grace_s`` after its entry ended.

    :param own: the name of this instance, which always counts
    """

    own: str
    grace_s: float
    counts_until: dict[str, float] = field(default_factory=dict)

    def on_listing(self, now: float, listed: Collection[str]) -> None:
        """Replace what is listed by a complete listing."""
        for instance in [*self.counts_until]:
            if instance not in listed:
                self.on_removed(now, instance)
        for instance in listed:
            self.on_listed(instance)

    def on_listed(self, instance: str) -> None:
        """Note an entry."""
        self.counts_until[instance] = float("inf")

    def on_removed(self, now: float, instance: str) -> None:
        """Note that an entry has ended."""
        if self.counts_until.get(instance) == float("inf"):
            self.counts_until[instance] = now + self.grace_s

    def expire(self, now: float) -> bool:
        """Drop the instances whose grace has passed.

        :return: whether there were any
        """
        expired = [name for name, until in self.counts_until.items() if until <= now]
        for instance in expired:
            del self.counts_until[instance]
        return bool(expired)

    @property
    def known(self) -> bool:
        """Whether any entry is known."""
        return bool(self.counts_until)

    def __len__(self) -> int:
        """Return the number of instances, with this one."""
        return len(self.counts_until.keys() | {self.own})
