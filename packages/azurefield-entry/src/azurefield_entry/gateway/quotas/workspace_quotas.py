"""The service ``workspace-quotas``: admits requests of workspaces that have a quota."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from math import ceil
from typing import TYPE_CHECKING
from zlib import crc32

from logbook import Logger
from msgspec import Struct

from azurefield.failures import FailureKind, RequestFailure
from azurefield.model import Outcome
from azurefield.quota import QuotaDenied, QuotaGranted
from azurefield.quota_shares import share_limit
from azurefield.workspace_quota import (
    TOKENS_TO_GRANT,
    QuotaNotIssued,
    ShareChoice,
    ShareIssuer,
    ShareRequest,
    TokenDecision,
)
from azurefield.workspaces import RequestQuota
from azurefield_entry.clock import lease_now, now
from azurefield_entry.gateway.messages import (
    IssuerSlotsChanged,
    SettingsChanged,
    Tick,
)
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.peers.links import PeerLinks
from azurefield_entry.gateway.quotas.asking import QuotaReply, ask_instance
from azurefield_entry.gateway.quotas.frames import (
    QuotaGiven,
    QuotaRefused,
    ShareAsked,
    ShareNotIssued,
)
from azurefield_entry.gateway.requests.outcomes import refusal
from azurefield_entry.kernel import Kernel, Stop, send_every
from azurefield_entry.log_limit import LineLimit

if TYPE_CHECKING:
    from azurefield.issuer_slots import SlotHold
    from azurefield.quota_shares import QuotaBounds
    from azurefield_entry.gateway.peers.frames import FromPeer
    from azurefield_entry.gateway.ports import GatewayRequest
    from azurefield_entry.kernel import Mailbox

# After the last share was asked, a request waits for its token at most for this fraction of its
# route's latency goal, or for this time if the route has no goal.
WAIT_FRACTION = 0.3
WAIT_WITHOUT_GOAL_S = 0.2
WAIT_MIN_S = 0.03
# A share that has no issuer yet is asked again for this fraction of the goal. A caller that is then
# refused can still be served elsewhere within its goal.
ASK_AGAIN_FRACTION = 0.2
ASK_AGAIN_INTERVAL_S = 0.02
# Holders may still be starting for this time after this process has learned of them. One that can't
# be connected to is asked again only until then, and one that replies only for this time after it
# was first found not to issue.
START_S = 3.0
# An issuer that has not replied for this time is given up.
REPLY_TIMEOUT_S = 1.0
# The next share is asked, too, if one does not reply within this fraction of the wait, and at the
# latest after this time.
NEXT_SHARE_FRACTION = 0.25
NEXT_SHARE_MAX_S = 0.02
# An issuer that did not reply before the next share was asked is asked last for this time.
SILENT_AVOIDED_S = 1.0
TICK_INTERVAL_S = 10.0
# Bounds the lines of refused requests, which a greedy workspace sends in any number.
REFUSED_LINES_PER_S = 5.0
log = Logger("quotas")


class SharePreview(Struct, kw_only=True, frozen=True):
    """What is known of one share before it is asked.

    :param holder: the instance that issues it; None if none is known
    :param silent: whether the holder did not reply in time lately
    :param remote: whether the holder is another instance
    :param denied_for_s: how long no token is expected; 0 if the share would be asked
    :param tokens: what this instance has left of it; None if it does not issue it
    """

    slot: int
    holder: str | None
    remote: bool
    silent: bool
    denied_for_s: float
    tokens: float | None

    @property
    def grants(self) -> bool:
        """Whether this instance would grant a token of it."""
        return self.tokens is not None and self.tokens >= TOKENS_TO_GRANT


class NotIssuing(Struct, kw_only=True, frozen=True):
    """The time in which the holder of a slot was found not to issue."""

    since: float
    until: float


@dataclass(slots=True, kw_only=True)
class WorkspaceQuotas:
    """Gets a token for each request of a workspace with a quota, and issues tokens to others.

    Only the instance that received a request from its caller asks, once for all calls of the
    request.

    :param own: the name of this instance
    :param holders: the instance that holds each issuer slot, as far as is known
    :param holders_since: since when holders are known
    :param not_issuing: when the holder of each slot has replied that it does not issue
    :param silent_until: until when each slow or unreachable holder is asked last
    """

    own: str
    peers: PeerLinks
    metrics: GatewayMetrics
    issuer: ShareIssuer = field(default_factory=ShareIssuer)
    choice: ShareChoice = field(init=False)
    holders: dict[int, str] = field(default_factory=dict)
    holders_since: float | None = None
    not_issuing: dict[int, NotIssuing] = field(default_factory=dict)
    silent_until: dict[str, float] = field(default_factory=dict)
    refused_lines: LineLimit = field(
        default_factory=lambda: LineLimit(lines_per_s=REFUSED_LINES_PER_S)
    )

    def __post_init__(self) -> None:
        # Instances begin with different shares, so that the first requests use all of them.
        self.choice = ShareChoice(first_turn=crc32(self.own.encode()))

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        """Apply changes of the issuer slots and of the settings until ``Stop``."""
        ticking = asyncio.create_task(send_every(mailbox, Tick(), TICK_INTERVAL_S))
        while True:
            match await mailbox.receive():
                case IssuerSlotsChanged(holders=holders, lease_until=lease_until, held=held):
                    self.on_slots(holders, lease_until, held)
                case SettingsChanged(settings=settings):
                    self.set_bounds(settings.quota_bounds)
                case Tick():
                    self.issuer.on_tick(lease_now())
                    self.choice.on_tick(now())
                case Stop():
                    break
        ticking.cancel()

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Set what the deployment tolerates beyond a quota."""
        self.issuer.bounds = self.choice.bounds = bounds

    def on_slots(
        self, holders: dict[int, str], lease_until: float, held: dict[int, SlotHold]
    ) -> None:
        """Apply who holds the issuer slots."""
        if held.keys() != self.issuer.held.keys():
            log.info("Issuing quota of workspaces for the slots {}.", sorted(held))
        self.holders = holders
        if holders and self.holders_since is None:
            self.holders_since = now()
        self.issuer.on_lease(lease_now(), lease_until, held)
        self.metrics.issuer_slots.set(len(held))
        self.metrics.known_issuer_slots.set(len(holders))

    async def admit(
        self, request: GatewayRequest, version: int, goal_s: float | None
    ) -> RequestFailure | None:
        """Get a token for a request that a caller has sent to this instance.

        Cancelling this gives up the token.

        :param version: the version of the configuration that names the quota
        :param goal_s: the latency goal of the route
        :return: why the request is refused; None if it may run
        """
        workspace = request.workspace
        if workspace is None or workspace.quota is None:
            return None
        asked_at = now()
        wait_s = WAIT_WITHOUT_GOAL_S if goal_s is None else WAIT_FRACTION * goal_s
        ask_again_until = asked_at + ASK_AGAIN_FRACTION / WAIT_FRACTION * wait_s
        while True:
            requests = self.share_requests(workspace.name, workspace.quota, version)
            left_s = wait_s - (now() - asked_at)
            decision = await self.ask_in_turn(requests, max(WAIT_MIN_S, left_s))
            if now() + ASK_AGAIN_INTERVAL_S > ask_again_until or not self.may_change(decision):
                break
            self.metrics.workspace_quota_repeats.inc()
            log.debug("Request id={} asks again: a share has no issuer yet.", request.request_id)
            await asyncio.sleep(ASK_AGAIN_INTERVAL_S)
        if isinstance(decision, QuotaGranted):
            self.metrics.workspace_quota_requests.labels("granted").inc()
            return None
        if isinstance(decision, QuotaDenied):
            result, failure = "denied", self.over_quota(workspace.name, workspace.quota)
        else:
            result, failure = "unreachable", not_issued(workspace.name)
        self.metrics.workspace_quota_requests.labels(result).inc()
        if self.refused_lines.allow(now()):
            log.info(
                "Request id={} workspace={} version={} is refused: {}, slots={} ms={:.0f}.",
                request.request_id,
                workspace.name,
                version,
                failure.kind,
                [asked.slot for asked in requests],
                (now() - asked_at) * 1000,
            )
        return failure

    def may_change(self, decision: TokenDecision) -> bool:
        """Whether a share without an issuer may have one in a moment."""
        if not isinstance(decision, QuotaNotIssued) or self.holders_since is None:
            return False
        return decision.replied or now() - self.holders_since < START_S

    def share_requests(
        self, workspace: str, quota: RequestQuota, version: int
    ) -> list[ShareRequest]:
        """Build the requests to the shares, in the order in which they are asked."""
        slots = self.choice.slots(now(), workspace, quota, version)
        return [
            ShareRequest(slot=slot, workspace=workspace, quota=quota, version=version)
            for slot in sorted(slots, key=self.silent)
        ]

    def preview(self, workspace: str, quota: RequestQuota, version: int) -> list[SharePreview]:
        """List the shares that the next request would find; changes nothing.

        Those that would be asked come first, in this order.
        """
        at = now()
        state = self.choice.next_state(at, workspace, version)
        order = state.order(share_limit(quota, self.choice.bounds).shares)
        previews = []
        for slot in sorted(order, key=lambda slot: (state.is_denied(at, slot), self.silent(slot))):
            request = ShareRequest(slot=slot, workspace=workspace, quota=quota, version=version)
            holder = self.holders.get(slot)
            previews.append(
                SharePreview(
                    slot=slot,
                    holder=holder,
                    remote=holder not in (None, self.own),
                    silent=self.silent(slot),
                    denied_for_s=max(0.0, state.denied_until.get(slot, at) - at),
                    tokens=(
                        self.issuer.tokens(lease_now(), request) if holder == self.own else None
                    ),
                )
            )
        return previews

    def over_quota(self, workspace: str, quota: RequestQuota) -> RequestFailure:
        """Build the failure of a request beyond the quota."""
        return used_up(workspace, self.choice.retry_after_s(now(), workspace, quota))

    async def ask_in_turn(self, requests: list[ShareRequest], wait_s: float) -> TokenDecision:
        """Ask one share after the other until a token is granted.

        :return: granted, denied if all shares are empty, or not issued if one has not replied
        """
        asked: set[asyncio.Task[TokenDecision]] = set()
        denied = 0
        replied = False
        slice_s = min(NEXT_SHARE_MAX_S, NEXT_SHARE_FRACTION * wait_s)
        try:
            for request in requests:
                task = asyncio.create_task(self.ask(request))
                asked.add(task)
                last = request is requests[-1]
                # Waits in slices: time in which this process did not run counts as one slice only.
                slices_left = ceil(wait_s / slice_s) if last else 1
                while asked and slices_left:
                    done, asked = await asyncio.wait(
                        asked, timeout=slice_s, return_when=asyncio.FIRST_COMPLETED
                    )
                    decisions = [ended.result() for ended in done]
                    for decision in decisions:
                        if isinstance(decision, QuotaGranted):
                            return decision
                        replied |= isinstance(decision, QuotaNotIssued) and decision.replied
                    denied += sum(isinstance(one, QuotaDenied) for one in decisions)
                    if done and not last:
                        break
                    slices_left -= not done
                # Another share's late reply ends the turn of this one early.
                if not task.done() and not slices_left:
                    self.on_silent(request.slot)
        finally:
            for task in asked:
                task.cancel()
        if denied == len(requests):
            return QuotaDenied(key=None, wait_s=0.0)
        return QuotaNotIssued(replied=replied)

    def silent(self, slot: int) -> bool:
        """Whether the holder of a slot did not reply in time lately."""
        return self.silent_until.get(self.holders.get(slot, ""), 0.0) > now()

    def on_silent(self, slot: int) -> None:
        """Record that the holder of a slot has not replied in time."""
        holder = self.holders.get(slot)
        if holder is not None and holder != self.own and not self.silent(slot):
            log.info("Instance {} does not reply to requests for quota.", holder)
            self.silent_until[holder] = now() + SILENT_AVOIDED_S

    async def ask(self, request: ShareRequest) -> TokenDecision:
        """Ask the holder of a share for a token."""
        holder = self.holders.get(request.slot)
        if holder is None:
            return QuotaNotIssued()
        if holder == self.own:
            decision = self.issuer.request(lease_now(), request)
        else:
            decision = await self.ask_other(holder, request)
        if isinstance(decision, QuotaDenied):
            self.choice.on_denied(now(), request, decision.wait_s)
        if isinstance(decision, QuotaNotIssued) and decision.replied:
            return QuotaNotIssued(replied=self.on_not_issuing(request.slot))
        return decision

    def on_not_issuing(self, slot: int) -> bool:
        """Record that a slot's holder does not issue; return whether it may in a moment."""
        at = now()
        known = self.not_issuing.get(slot)
        since = at if known is None or at - known.until > START_S else known.since
        self.not_issuing[slot] = NotIssuing(since=since, until=at)
        return at - since < START_S

    async def ask_other(self, holder: str, request: ShareRequest) -> TokenDecision:
        """Ask another instance for a token."""

        def frame(number: int) -> ShareAsked:
            return ShareAsked(
                number=number,
                slot=request.slot,
                workspace=request.workspace,
                rate_per_s=request.quota.rate_per_s,
                burst=request.quota.burst,
                version=request.version,
            )

        decision = await ask_instance(self.peers, holder, frame, QuotaReply(), REPLY_TIMEOUT_S)
        return QuotaNotIssued() if decision is None else decision

    def answer(self, frame: ShareAsked) -> FromPeer:
        """Decide on another instance's request."""
        request = ShareRequest(
            slot=frame.slot,
            workspace=frame.workspace,
            quota=RequestQuota(rate_per_s=frame.rate_per_s, burst=frame.burst),
            version=frame.version,
        )
        match self.issuer.request(lease_now(), request):
            case QuotaGranted():
                return QuotaGiven(number=frame.number, limit_ended=False)
            case QuotaDenied(wait_s=wait_s):
                return QuotaRefused(number=frame.number, wait_s=wait_s)
        return ShareNotIssued(number=frame.number)


def expected_refusal(workspace: str, shares: list[SharePreview]) -> RequestFailure | None:
    """Return why a request would surely be refused; None if it may get a token.

    :param shares: the shares of the workspace's quota
    """
    asked = [share for share in shares if share.denied_for_s <= 0.0]
    if any(share.remote or share.grants for share in asked):
        return None
    if any(share.tokens is None for share in asked):
        return not_issued(workspace)
    return used_up(workspace)


def used_up(workspace: str, retry_after_s: float | None = None) -> RequestFailure:
    """Build the failure of a request beyond the quota."""
    return RequestFailure(
        kind=FailureKind.QUOTA_EXCEEDED,
        outcome=Outcome.NOT_RUN,
        detail=f"the quota of workspace {workspace} is used up",
        retry_after_s=retry_after_s,
    )


def not_issued(workspace: str) -> RequestFailure:
    """Build the failure of a request whose quota no instance has decided on."""
    detail = f"no instance issues the quota of workspace {workspace}"
    return refusal(FailureKind.NOT_READY, detail)
