"""Watches the head of the configuration in the key-value service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import Struct

from azurefield.configuration import (
    HeadMissing,
    HeadSeen,
    ReadHead,
    StoreEvent,
    StoreFailed,
    StoreUnavailable,
)
from azurefield.membership import ISOLATION_TIMEOUT_S

if TYPE_CHECKING:
    from random import Random

    from azurefield_entry.kernel import Mailbox
    from azurefield_platform.configuration_store import ConfigurationStore, HeadEvent

# Each reply counts as contact with the store, so a watch without a change must end well before the
# instance would count as isolated.
WATCH_TIMEOUT_MS = int(ISOLATION_TIMEOUT_S * 400)
MISSING_HEAD_POLL_INTERVAL_S = 1.0
RETRY_DELAY_MIN_S = 0.5
RETRY_DELAY_MAX_S = 5.0


class StoreAnswered(Struct, kw_only=True, frozen=True):
    """To ``configuration``: the store answered; ``event`` is None if a watch saw no change."""

    event: StoreEvent | None


async def watch_head(store: ConfigurationStore, mailbox: Mailbox, rng: Random) -> None:
    """Read the head, then watch it; report each change, each end of a watch and each failure."""
    revision: int | None = None
    failures = 0
    while True:
        event: HeadEvent | None
        if revision is None:
            event = await store.read_head(ReadHead(at=0.0))
        else:
            event = await store.watch_head(revision, WATCH_TIMEOUT_MS)
        match event:
            case None:
                failures = 0
                mailbox.send(StoreAnswered(event=None))
            case HeadSeen():
                failures = 0
                revision = event.revision
                mailbox.send(StoreAnswered(event=event))
            case HeadMissing():
                revision = None
                mailbox.send(StoreAnswered(event=event))
                await asyncio.sleep(MISSING_HEAD_POLL_INTERVAL_S)
            case StoreFailed(detail=detail):
                revision = None
                failures += 1
                mailbox.send(StoreUnavailable(detail=detail))
                delay_s = min(RETRY_DELAY_MAX_S, RETRY_DELAY_MIN_S * 2 ** min(failures, 10))
                await asyncio.sleep(delay_s * rng.uniform(0.5, 1.0))
