"""Issues the shares of workspaces' quotas, and chooses the share that a request asks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field
from msgspec.structs import replace

from azurefield.issuer_slots import SlotHold
from azurefield.quota import ROUNDING_TOLERANCE, QuotaDenied, QuotaGranted
from azurefield.quota_shares import QuotaBounds, ShareLimit, share_limit, share_slots
from azurefield.workspaces import RequestQuota

if TYPE_CHECKING:
    from collections.abc import Mapping

# A workspace without requests is forgotten after this time. Longer than instances work with
# different versions of the configuration, so that an older limit does not come back.
UNUSED_MAX_S = 600.0
# A share without a rate gets no tokens; it is asked again after this time.
NO_TOKEN_WAIT_S = 600.0
# Tokens from which a request is granted.
TOKENS_TO_GRANT = 1.0 - ROUNDING_TOLERANCE


class ShareRequest(Struct, kw_only=True, frozen=True):
    """A request of a workspace is about to be dispatched.

    :param slot: the issuer slot of the share
    :param version: the version of the configuration that names the quota
    """

    slot: int
    workspace: str
    quota: RequestQuota
    version: int


class QuotaNotIssued(Struct, kw_only=True, frozen=True):
    """The asked instance does not hold the issuer slot.

    :param replied: whether the instance runs, so that it may be about to take the slot over
    """

    replied: bool = False


TokenDecision = QuotaGranted | QuotaDenied | QuotaNotIssued


class ShareBucket(Struct, kw_only=True):
    """The token bucket of one share of one workspace."""

    limit: ShareLimit
    version: int
    tokens: float
    filled_at: float

    def change(self, limit: ShareLimit, version: int) -> None:
        """Apply the limit of a newer version."""
        self.limit = limit
        self.version = version
        self.tokens = min(self.tokens, limit.tokens_max)

    def tokens_at(self, now: float) -> float:
        """Return the tokens with those that were added since the last one was taken."""
        elapsed_s = max(0.0, now - self.filled_at)
        return min(self.limit.tokens_max, self.tokens + elapsed_s * self.limit.rate_per_s)

    def take(self, now: float) -> TokenDecision:
        """Take one token."""
        self.tokens = self.tokens_at(now)
        self.filled_at = max(now, self.filled_at)
        if self.tokens >= TOKENS_TO_GRANT:
            self.tokens -= 1.0
            return QuotaGranted(key=None)
        if self.limit.rate_per_s <= 0.0:
            return QuotaDenied(key=None, wait_s=NO_TOKEN_WAIT_S)
        return QuotaDenied(key=None, wait_s=(1.0 - self.tokens) / self.limit.rate_per_s)


class ShareIssuer(Struct, kw_only=True):
    """Issues the shares of the slots that this instance holds.

    A bucket begins at the moment from which nobody else has issued, empty or with its start tokens,
    since the previous holder may have issued all tokens until then.

    :param lease_until: when the slots are no longer held unless the lease is renewed
    :param reported: the slots as they were last reported to be held
    :param held: how each slot is held, counted anew if its lease ended meanwhile
    """

    bounds: QuotaBounds = field(default_factory=QuotaBounds)
    lease_until: float = float("-inf")
    reported: dict[int, SlotHold] = field(default_factory=dict)
    held: dict[int, SlotHold] = field(default_factory=dict)
    buckets: dict[tuple[int, str], ShareBucket] = field(default_factory=dict)

    def on_lease(self, now: float, lease_until: float, held: Mapping[int, SlotHold]) -> None:
        """Apply what is known of the lease and of the slots written under it.

        :param lease_until: the end of the lease, counted from before it was granted or renewed
        """
        self.held = {slot: self.effective_hold(now, slot, hold) for slot, hold in held.items()}
        self.reported = {**held}
        self.lease_until = lease_until
        for slot, workspace in [*self.buckets]:
            known = self.held.get(slot)
            if known is None or self.buckets[slot, workspace].filled_at < known.filled_from:
                del self.buckets[slot, workspace]

    def effective_hold(self, now: float, slot: int, hold: SlotHold) -> SlotHold:
        """Return how a slot is held, given how it is reported to be held."""
        if slot not in self.reported:
            return hold
        if self.reported[slot] == hold and now < self.lease_until:
            return self.held[slot]
        return SlotHold(taken_at=now, filled_from=now)

    def holds(self, now: float, slot: int) -> bool:
        """Whether this instance issues the shares of a slot."""
        return now < self.lease_until and slot in self.held

    def request(self, now: float, request: ShareRequest) -> TokenDecision:
        """Decide on a request at once."""
        if not self.holds(now, request.slot):
            return QuotaNotIssued(replied=True)
        key = (request.slot, request.workspace)
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = self.new_bucket(request)
        elif request.version > bucket.version:
            bucket.change(share_limit(request.quota, self.bounds), request.version)
        return bucket.take(now)

    def tokens(self, now: float, request: ShareRequest) -> float | None:
        """Return the tokens that a request would find here; changes nothing.

        :return: None if this instance does not issue the share
        """
        if not self.holds(now, request.slot):
            return None
        known = self.buckets.get((request.slot, request.workspace))
        if known is None:
            return self.new_bucket(request).tokens_at(now)
        bucket = replace(known)
        if request.version > bucket.version:
            bucket.change(share_limit(request.quota, self.bounds), request.version)
        return bucket.tokens_at(now)

    def new_bucket(self, request: ShareRequest) -> ShareBucket:
        """Build the bucket of a workspace as it was when the slot was taken."""
        hold = self.held[request.slot]
        limit = share_limit(request.quota, self.bounds)
        return ShareBucket(
            limit=limit,
            version=request.version,
            tokens=limit.start_tokens if hold.start_tokens else 0.0,
            filled_at=hold.filled_from,
        )

    def on_tick(self, now: float) -> None:
        """Forget the workspaces that were not used for long."""
        unused = [
            key for key, bucket in self.buckets.items() if now - bucket.filled_at > UNUSED_MAX_S
        ]
        for key in unused:
            del self.buckets[key]


class WorkspaceState(Struct, kw_only=True):
    """What an instance knows of the shares of one workspace.

    :param slots: the issuer slots of the shares
    :param version: the newest version of the configuration that a request has named
    :param turn: counts requests, so that they alternate between the shares
    :param denied_until: until when no token of a slot is expected
    :param returns_at: when the last refused caller was asked to return
    """

    slots: tuple[int, ...]
    used_at: float
    version: int
    turn: int = 0
    denied_until: dict[int, float] = field(default_factory=dict)
    returns_at: float = 0.0

    def order(self, shares: int) -> tuple[int, ...]:
        """Return the slots of the first shares in the order in which they are asked."""
        first = self.turn % shares
        used = self.slots[:shares]
        return used[first:] + used[:first]

    def is_denied(self, now: float, slot: int) -> bool:
        """Whether no token of a slot is expected yet."""
        return self.denied_until.get(slot, now) > now


class ShareChoice(Struct, kw_only=True):
    """Chooses the shares that the requests received by one instance ask.

    :param first_turn: which share is asked first; differs between instances
    """

    bounds: QuotaBounds = field(default_factory=QuotaBounds)
    first_turn: int = 0
    workspaces: dict[str, WorkspaceState] = field(default_factory=dict)

    def slots(self, now: float, workspace: str, quota: RequestQuota, version: int) -> list[int]:
        """List the slots to ask in order; empty if no share is expected to have a token.

        :param version: the version of the configuration that names the quota; a newer one ends
            the denials of earlier ones
        """
        state = self.workspaces[workspace] = self.next_state(now, workspace, version)
        order = state.order(share_limit(quota, self.bounds).shares)
        return [slot for slot in order if not state.is_denied(now, slot)]

    def next_state(self, now: float, workspace: str, version: int) -> WorkspaceState:
        """Return the state of a workspace with its next request; changes nothing."""
        state = self.workspaces.get(workspace)
        if state is None:
            state = WorkspaceState(
                slots=share_slots(workspace), used_at=now, version=version, turn=self.first_turn
            )
        ended = version > state.version
        return replace(
            state,
            used_at=now,
            version=max(version, state.version),
            turn=state.turn + 1,
            denied_until={} if ended else state.denied_until,
        )

    def on_denied(self, now: float, request: ShareRequest, wait_s: float) -> None:
        """Record that a share has no token until ``wait_s`` from now.

        A denial that arrives after a newer version of the quota is dropped.
        """
        state = self.workspaces[request.workspace]
        if request.version >= state.version:
            state.denied_until[request.slot] = now + wait_s

    def retry_after_s(self, now: float, workspace: str, quota: RequestQuota) -> float:
        """Return when a refused caller should return.

        The refused callers return at the workspace's rate, one after the other. Those beyond one
        window begin again with the earliest time: they would not wait for longer.
        """
        state = self.workspaces[workspace]
        interval_s = 1.0 / quota.rate_per_s
        due = [until for until in state.denied_until.values() if until > now]
        first = max(now + interval_s, min(due, default=now))
        after = state.returns_at + interval_s
        state.returns_at = after if first <= after <= first + self.bounds.window_s else first
        return state.returns_at - now

    def on_tick(self, now: float) -> None:
        """Forget the workspaces that were not used for long."""
        unused = [
            name for name, state in self.workspaces.items() if now - state.used_at > UNUSED_MAX_S
        ]
        for name in unused:
            del self.workspaces[name]
