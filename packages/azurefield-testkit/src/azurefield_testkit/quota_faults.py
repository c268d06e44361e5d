"""Faults and changes of the configuration in a fleet on virtual time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from azurefield.workspaces import RequestQuota

if TYPE_CHECKING:
    from collections.abc import Iterable


class FaultKind(StrEnum):
    """What happens to an instance."""

    KILL = "kill"
    FREEZE = "freeze"
    CUT_STORE = "cut_store"
    CUT_PEERS = "cut_peers"
    SLOW_WATCH = "slow_watch"


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """A fault of one instance.

    :param begin_s: when it begins
    :param length_s: how long it lasts
    """

    kind: FaultKind
    instance: int
    begin_s: float
    length_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Restore:
    """The store is restored from a copy; each instance notices it within ``lag_s``.

    :param age_s: age of the copy
    :param keeps_leases: whether the leases of the copy run on, or have ended
    """

    at: float
    age_s: float
    keeps_leases: bool = True
    lag_s: float = 3.0


@dataclass(slots=True, kw_only=True, frozen=True)
class LimitChange:
    """A version of the configuration; each instance learns it within ``lag_s``."""

    at: float
    version: int
    quota: RequestQuota
    lag_s: float = 3.0


def end_of(faults: Iterable[Fault], kind: FaultKind, instance: int, now: float) -> float | None:
    """Return the end of a fault that an instance has now; None if it has none of a kind."""
    ends = [
        fault.begin_s + fault.length_s
        for fault in faults
        if (fault.kind, fault.instance) == (kind, instance)
        and fault.begin_s <= now < fault.begin_s + fault.length_s
    ]
    return max(ends, default=None)
