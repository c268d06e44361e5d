"""Splits a configuration into frames for a peer, and reassembles one that a peer sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.configuration import ChangeRecord, PeerOffered
from azurefield_entry.peers.frames import ConfigOffer

if TYPE_CHECKING:
    from collections.abc import Iterator

    from azurefield.configuration import InForce

# A larger document is sent as a part of its own; stored values are smaller than a frame.
OFFER_PART_BYTES = 256 << 10
OFFER_BYTES_MAX = 64 << 20


def offer_parts(in_force: InForce) -> Iterator[ConfigOffer]:
    """Split the configuration in force into parts; the first one holds only the change record."""
    yield ConfigOffer(change=in_force.record, documents={}, more=bool(in_force.documents))
    part: dict[str, str] = {}
    size = 0
    for digest, text in in_force.documents.items():
        if part and size + len(text.encode()) > OFFER_PART_BYTES:
            yield ConfigOffer(change=None, documents=part, more=True)
            part, size = {}, 0
        part[digest] = text
        size += len(text.encode())
    if part:
        yield ConfigOffer(change=None, documents=part, more=False)


class OfferAssembly(Struct, kw_only=True):
    """The parts of one peer's offer that were received so far."""

    record: ChangeRecord | None = None
    documents: dict[str, str] = field(default_factory=dict)
    size: int = 0

    def add(self, instance: str, part: ConfigOffer) -> PeerOffered | None:
        """Add a part; one with a change record starts a new offer.

        :return: the offer once it is complete, else None; one that is too large is dropped
        """
        if part.change is not None:
            self.record, self.documents, self.size = part.change, {}, 0
        self.size += sum(len(text) for text in part.documents.values())
        if self.record is None or self.size > OFFER_BYTES_MAX:
            self.record, self.documents, self.size = None, {}, 0
            return None
        self.documents.update(part.documents)
        if part.more:
            return None
        offered = PeerOffered(instance=instance, record=self.record, documents=self.documents)
        self.record, self.documents, self.size = None, {}, 0
        return offered
