"""Workspaces of the soak: their keys, and the bound on what they may run together."""

from __future__ import annotations

from dataclasses import dataclass

QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20


@dataclass(slots=True, kw_only=True, frozen=True)
class SoakWorkspace:
    """A workspace; a rate of 0 means no quota."""

    name: str
    key: str
    rate_per_s: float = 0.0
    burst: float = 0.0

    def entry(self) -> dict[str, object]:
        """Return its part of the operator's configuration."""
        return {
            "name": self.name,
            "api_keys": [self.key],
            "priority": 0,
            "rate_per_s": self.rate_per_s,
            "burst": self.burst,
        }

    @property
    def window_max(self) -> float:
        """How many requests may run in one window."""
        allowed = self.rate_per_s * QUOTA_WINDOW_S + self.burst
        return allowed * (1 + QUOTA_OVERAGE) + QUOTA_SLACK


FREE = SoakWorkspace(name="free", key="soak-key-1f9c")
# Above what the callers send, so that nothing is refused in calm.
RATED = SoakWorkspace(name="rated", key="soak-key-2e8d", rate_per_s=300, burst=300)
# Far below what the callers send.
LIMITED = SoakWorkspace(name="limited", key="soak-key-3d7a", rate_per_s=8, burst=8)
WORKSPACES = (FREE, RATED, LIMITED)
SETTINGS = (
    f"quota_window_s = {QUOTA_WINDOW_S}\nquota_overage = {QUOTA_OVERAGE}\n"
    f"quota_slack = {QUOTA_SLACK}\n"
)


def most_in_window(spans: list[tuple[float, float]]) -> int:
    """Return the largest number of requests that were sent and arrived within one window.

    :param spans: when each request was sent and when it first arrived at a leaf

    >>> most_in_window([(0.0, 0.1), (4.0, 4.1), (5.05, 5.1), (5.2, 9.1)])
    2
    """
    most = 0
    for start, _ in spans:
        ends = start + QUOTA_WINDOW_S
        most = max(most, sum(start <= sent and ran <= ends for sent, ran in spans))
    return most
