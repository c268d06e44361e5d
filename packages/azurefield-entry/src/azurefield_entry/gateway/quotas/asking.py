"""Asks another instance for a token and waits for its reply."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import Struct, field
from result import Err, Ok

from azurefield.quota import QuotaDenied, QuotaGranted
from azurefield.workspace_quota import QuotaNotIssued, TokenDecision
from azurefield_entry.gateway.quotas.frames import (
    QuotaAsked,
    QuotaGiven,
    QuotaRefused,
    QuotaWithdrawn,
    ShareAsked,
    ShareNotIssued,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from azurefield_entry.gateway.peers.frames import FromPeer
    from azurefield_entry.gateway.peers.links import PeerLinks


def new_decision() -> asyncio.Future[TokenDecision | None]:
    """Build the future of a decision."""
    return asyncio.get_running_loop().create_future()


class QuotaReply(Struct, kw_only=True):
    """The reply to one request; None in place of a decision if the link was lost."""

    decision: asyncio.Future[TokenDecision | None] = field(default_factory=new_decision)

    def on_frame(self, frame: FromPeer) -> None:
        """Apply the issuer's decision."""
        match frame:
            case QuotaGiven(number=number, limit_ended=limit_ended):
                self.set(QuotaGranted(key=number, limit_ended=limit_ended))
            case QuotaRefused(number=number, wait_s=wait_s):
                self.set(QuotaDenied(key=number, wait_s=wait_s))
            case ShareNotIssued():
                self.set(QuotaNotIssued(replied=True))

    def on_lost(self, detail: str) -> None:  # noqa: ARG002 - the link logs it
        """Record that the link has ended."""
        self.set(None)

    def set(self, decision: TokenDecision | None) -> None:
        """Set the decision unless there is one."""
        if not self.decision.done():
            self.decision.set_result(decision)

    async def wait(self, wait_s: float) -> TokenDecision | None:
        """Wait for the decision; None if none has come by then."""
        await asyncio.wait([self.decision], timeout=wait_s)
        return self.decision.result() if self.decision.done() else None


async def ask_instance(
    peers: PeerLinks,
    instance: str,
    frame: Callable[[int], QuotaAsked | ShareAsked],
    reply: QuotaReply,
    timeout_s: float,
) -> TokenDecision | None:
    """Send a request for a token to another instance and wait for its reply.

    :param frame: builds the request with its number on the link
    :param reply: has no decision yet if none has come within ``timeout_s``
    :return: None if there was no reply
    """
    match await peers.link(instance):
        case Err(_):
            reply.set(None)
            return None
        case Ok(link):
            number = link.expect(reply)
    try:
        link.send(frame(number))
        return await reply.wait(timeout_s)
    finally:
        del link.pending[number]
        if not reply.decision.done():
            link.send(QuotaWithdrawn(number=number))
