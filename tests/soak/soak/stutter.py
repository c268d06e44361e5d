"""Second copies of answers, and answers without end, beside the other faults of a leaf."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

from azurefield_testkit.resets import reset

REPEATED_FRACTION = 0.04
ENDLESS_FRACTION = 0.01
# Half of the copies are cut off.
CUT_FRACTION = 0.5
LATE_MAX_S = 0.3
# Half of the endless bodies are chunked; the others have no length. Both end with a reset, most of
# them after a few pieces, before a hedge or the limit of a gateway ends them.
CHUNKED_FRACTION = 0.5
PIECES_MAX = 256
PIECE = bytes(65_536)
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
PIECE_INTERVAL_S = 0.002


@dataclass(slots=True, kw_only=True)
class Stutter:
    """What a leaf sends beyond its answers, drawn apart from the faults of the run."""

    random: Random
    active: bool = True

    def repeat(self, transport: asyncio.Transport, answer: bytes) -> None:
        """Send some answers once more after a while, whole or cut off."""
        if not self.active or self.random.random() >= REPEATED_FRACTION:
            return
        whole = self.random.random() >= CUT_FRACTION
        copy = answer if whole else answer[: self.random.randrange(1, len(answer))]
        delay_s = self.random.uniform(0.001, LATE_MAX_S)
        asyncio.get_running_loop().call_later(delay_s, write_if_open, transport, copy)

    def is_endless(self) -> bool:
        """Whether the next answer is one without an end."""
        return self.active and self.random.random() < ENDLESS_FRACTION

    def is_chunked(self) -> bool:
        """Whether the body of an endless answer is chunked."""
        return self.random.random() < CHUNKED_FRACTION

    async def send_without_end(
        self, transport: asyncio.Transport, head: bytes, piece: bytes
    ) -> None:
        """Send a body without an end; reset the connection unless the other side ends it before."""
        transport.write(head)
        for _ in range(round(PIECES_MAX ** self.random.random())):
            if not self.active or transport.is_closing():
                break
            transport.write(piece)
            await asyncio.sleep(PIECE_INTERVAL_S)
        reset(transport)


def write_if_open(transport: asyncio.Transport, data: bytes) -> None:
    """Write unless the connection is closed."""
    if not transport.is_closing():
        transport.write(data)
