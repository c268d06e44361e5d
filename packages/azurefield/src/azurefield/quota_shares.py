"""Shares of a workspace's quota, each issued by one instance at a time.

The sum over all instances keeps to the quota because a share has one issuer at a time, and because
the rate and the capacity of the shares together keep to it in any window.
"""

from __future__ import annotations

from math import floor
from typing import TYPE_CHECKING

from msgspec import Struct

from azurefield.quota import issuer_order

if TYPE_CHECKING:
    from azurefield.workspaces import RequestQuota

# With three shares, the loss of one issuer leaves two thirds of the quota.
SHARES_MAX = 3
# Number of issuer slots, which divide the work of issuing between instances. All instances must
# agree on it.
ISSUER_SLOTS = 12
SLOT_NAMES = tuple(str(slot) for slot in range(ISSUER_SLOTS))
# Fraction by which the clock of an issuer may be fast.
CLOCK_RATE_ERROR = 0.001
# Part of the capacity that a share keeps for the tokens with which a new issuer may begin. The rest
# has to cover the loss of one issuer.
START_FRACTION = 0.25


class QuotaBounds(Struct, kw_only=True, frozen=True):
    """What a deployment tolerates beyond the quota of a workspace.

    :param window_s: length of the windows in which requests are counted
    :param overage: fraction of the quota that is tolerated beyond it
    :param slack: requests that are tolerated in addition, per window
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0

    def requests_max(self, quota: RequestQuota) -> float:
        """Return how many requests of a workspace may run in any window."""
        allowed = quota.rate_per_s * self.window_s + quota.burst
        return allowed * (1 + self.overage) + self.slack


class ShareLimit(Struct, kw_only=True, frozen=True):
    """The token bucket of each share of one quota.

    :param shares: number of shares
    :param rate_per_s: tokens per second of one share
    :param tokens_max: capacity of one share
    :param start_tokens: tokens with which the bucket of a new issuer may begin, once per window
    """

    shares: int
    rate_per_s: float
    tokens_max: float
    start_tokens: float = 0.0


def share_limit(quota: RequestQuota, bounds: QuotaBounds) -> ShareLimit:
    """Divide a quota into shares that together allow ``requests_max`` in any window.

    Half of the tolerated overage raises the rate, the rest and the slack raise the capacity. A
    quota that is too small to give each of several shares one token has fewer shares. What the
    capacity has beyond the burst is in part kept for new issuers.
    """
    allowed = bounds.requests_max(quota)
    if allowed < 1:
        return ShareLimit(shares=1, rate_per_s=0.0, tokens_max=0.0)
    window_s = bounds.window_s * (1 + CLOCK_RATE_ERROR)
    rate_per_s = min(quota.rate_per_s * (1 + bounds.overage / 2), (allowed - 1) / window_s)
    tokens_max = allowed - rate_per_s * window_s
    shares = max(1, min(SHARES_MAX, floor(tokens_max)))
    # Each share but one may hold a part of a token when a burst begins, and each needs a whole one.
    needed = max(quota.burst + shares - 1, float(shares))
    start_tokens = max(0.0, min(START_FRACTION * tokens_max, tokens_max - needed))
    return ShareLimit(
        shares=shares,
        rate_per_s=rate_per_s / shares,
        tokens_max=(tokens_max - start_tokens) / shares,
        start_tokens=start_tokens / shares,
    )


def share_slots(workspace: str) -> tuple[int, ...]:
    """Return the issuer slots of a workspace, that of its first share first."""
    return tuple(int(slot) for slot in issuer_order(workspace, SLOT_NAMES)[:SHARES_MAX])
