"""Workspaces: the customers who share the tier, each with a priority and a quota of requests."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestQuota:
    """How many requests of a workspace may run on all instances together.

    In any time of ``t`` seconds, these are at most ``rate_per_s * t + burst``.

    :param rate_per_s: requests per second, above 0
    :param burst: requests that may run at once in addition, 0 or more
    """

    rate_per_s: float
    burst: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Workspace:
    """A workspace of one version of the configuration.

    :param priority: replaces the priority of the routes, 0 first; None to keep theirs
    :param quota: None if any number of requests may run
    """

    name: str
    priority: int | None = None
    quota: RequestQuota | None = None
