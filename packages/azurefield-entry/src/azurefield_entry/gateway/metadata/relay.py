"""The service ``relay`` and its client: instances forward changes of the store to others.

The keys of workspaces are not among what they forward, only the keys' digests.

If every instance watched the store, each change and each renewal of a watch would cost one call per
instance. So a few instances of each availability zone watch the store, and the others follow one of
them.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import msgspec
from logbook import Logger
from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.store_position import HistoryRelation, StorePosition
from azurefield_entry.addresses import split_address
from azurefield_entry.clock import now
from azurefield_entry.gateway.messages import StoreReplyReceived, StoreWatchEnded, Tick
from azurefield_entry.gateway.peers.framing import encode, listen_for_instances, read_frame
from azurefield_entry.kernel import Stop, send_every

if TYPE_CHECKING:
    from azurefield_entry.kernel import Kernel, Mailbox

HEARTBEAT_INTERVAL_S = 0.5
# A follower that receives no frame for this time watches the store itself.
HEARTBEAT_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.3
FOLLOW_REQUEST_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.2
# A follower disconnects from a relay whose last reply from the store is older than this, since the
# relay may be unable to reach the store. A change of the configuration must be in force within 3 s,
# and the follower must have read the store itself by then.
RELAYED_AGE_MAX_S = 2.0
# Number of frames kept for new followers. One that needs older changes must read the store.
HISTORY_FRAMES_MAX = 64
# A follower with more unsent bytes than this is disconnected.
UNSENT_BYTES_MAX = 4 * 1024 * 1024
# A follower disconnects from a relay whose last reply from the store is older than this, since the
# relay may be unable to reach the store. A change of the configuration must be in force within 3 s,
# and the follower must have read the store itself by then.
RELAYED_AGE_MAX_S = 2.0
log = Logger("relay")


class FollowRequest(Struct, kw_only=True, frozen=True):
    """First frame of a follower: it has all changes up to the revision ``after`` of an era."""

    after: int
    era: int | None = None


class RelayFrame(Struct, kw_only=True, frozen=True):
    """The changes of the store between two revisions; a heartbeat if these are equal.

    :param encoded: the changes, with digests in place of the keys of workspaces
    :param age_s: time since the store confirmed the later revision
    :param era: the store's era; None if it names none
    """

    after: int
    revision: int
    encoded: bytes = b""
    age_s: float = 0.0
    era: int | None = None


FOLLOW_REQUEST = msgspec.msgpack.Decoder(FollowRequest)
RELAY_FRAME = msgspec.msgpack.Decoder(RelayFrame)


class RelayLost(Struct, kw_only=True, frozen=True):
    """The relay can't be reached, is silent, does not watch the store or sent a bad frame.

    :param store_restored: whether the relay knows of a restore of the store that is new here
    """

    detail: str
    store_restored: bool = False


class RelayService(Struct, kw_only=True):
    """Sends the store's changes to followers while this instance receives them itself.

    :param address: ``host:port`` on which followers connect
    :param position: the last known revision; None while this instance receives no replies
    :param confirmed_at: when the store confirmed that revision
    """

    address: str
    position: StorePosition | None = None
    confirmed_at: float = 0.0
    history: deque[RelayFrame] = field(default_factory=lambda: deque(maxlen=HISTORY_FRAMES_MAX))
    followers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:  # noqa: ARG002
        """Serve followers until ``Stop``."""
        opening = asyncio.create_task(
            listen_for_instances(self.serve_follower, self.address, mailbox)
        )
        ticking = asyncio.create_task(send_every(mailbox, Tick(), HEARTBEAT_INTERVAL_S))
        while True:
            match await mailbox.receive():
                case StoreReplyReceived() as reply:
                    self.forward_reply(reply)
                case StoreWatchEnded():
                    self.disconnect_followers()
                case Tick() if self.position is not None:
                    self.send_to_all(self.heartbeat(self.position))
                case Stop():
                    break
        ticking.cancel()
        self.disconnect_followers()
        server = await opening
        if server is not None:
            server.close()

    def forward_reply(self, reply: StoreReplyReceived) -> None:
        """Record a reply of the store and send it to all followers."""
        self.confirmed_at = now() - reply.age_s
        if self.position is not None and self.position.era != reply.era:
            # The followers know revisions of another era.
            self.disconnect_followers()
        if self.position is None or self.position.revision != reply.after:
            # Changes may be missing in between, and followers need a history without gaps.
            self.history.clear()
        self.position = StorePosition(revision=reply.revision, era=reply.era)
        if reply.encoded:
            frame = RelayFrame(
                after=reply.after,
                revision=reply.revision,
                encoded=reply.encoded,
                age_s=reply.age_s,
                era=reply.era,
            )
            self.history.append(frame)
            self.send_to_all(frame)

    def disconnect_followers(self) -> None:
        """Disconnect all followers, which then use another relay or the store."""
        if self.followers:
            log.info(
                "Disconnecting {} followers; the store is not watched here.", len(self.followers)
            )
        self.position = None
        self.history.clear()
        for writer in self.followers:
            writer.close()
        self.followers.clear()

    def heartbeat(self, position: StorePosition) -> RelayFrame:
        """Build a frame without changes, with the age of the last reply."""
        return RelayFrame(
            after=position.revision,
            revision=position.revision,
            age_s=now() - self.confirmed_at,
            era=position.era,
        )

    def send_to_all(self, frame: RelayFrame) -> None:
        """Send a frame to all followers."""
        data = encode(frame)
        for writer in [*self.followers]:
            if writer.is_closing():
                # Its own task has not yet seen that the connection is lost.
                self.followers.discard(writer)
            elif writer.transport.get_write_buffer_size() > UNSENT_BYTES_MAX:
                log.warning("Disconnecting a follower that reads too slowly.")
                self.followers.discard(writer)
                writer.transport.abort()
            else:
                writer.write(data)

    async def serve_follower(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one follower until it disconnects."""
        try:
            async with asyncio.timeout(FOLLOW_REQUEST_TIMEOUT_S):
                request = await read_frame(reader, FOLLOW_REQUEST)
            if self.add_follower(request, writer):
                await reader.read()
        except (OSError, EOFError, msgspec.DecodeError) as error:
            log.info("The connection to a follower has failed: {!r}.", error)
        finally:
            self.followers.discard(writer)
            writer.close()

    def add_follower(self, request: FollowRequest, writer: asyncio.StreamWriter) -> bool:
        """Register a new follower and send it the changes that it lacks.

        :return: whether it is registered, as the history has all these changes and the connection
            is open
        """
        if writer.is_closing() or self.position is None or self.position.era != request.era:
            return False
        oldest = self.history[0].after if self.history else self.position.revision
        if request.after < oldest:
            return False
        for frame in self.history:
            if frame.revision > request.after:
                writer.write(encode(frame))
        writer.write(encode(self.heartbeat(self.position)))
        self.followers.add(writer)
        return True


class RelayLink(Struct, kw_only=True):
    """A follower's connection to a relay."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def receive(self) -> Result[RelayFrame, RelayLost]:
        """Wait for the next frame."""
        try:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                return Ok(await read_frame(self.reader, RELAY_FRAME))
        except (OSError, EOFError, msgspec.DecodeError) as error:
            return Err(RelayLost(detail=repr(error)))

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def open_relay(address: str, position: StorePosition) -> Result[RelayLink, RelayLost]:
    """Connect to ``host:port`` and request the changes after a position."""
    try:
        host, port = split_address(address)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, ValueError) as error:
        return Err(RelayLost(detail=repr(error)))
    if writer.is_closing():
        return Err(RelayLost(detail="closed at once"))
    writer.write(encode(FollowRequest(after=position.revision, era=position.era)))
    return Ok(RelayLink(reader=reader, writer=writer))


def check_frame(frame: RelayFrame, position: StorePosition) -> RelayLost | None:
    """Return why a frame can't be used after a position; None if it can."""
    relation = position.relation_of(frame.era)
    if relation is not HistoryRelation.CONTINUES:
        restored = relation is HistoryRelation.RESTORED
        return RelayLost(detail=f"frame of era {frame.era}", store_restored=restored)
    if frame.age_s > RELAYED_AGE_MAX_S or frame.after > position.revision:
        return RelayLost(detail=f"frame is {frame.age_s:.1f} s old or skips changes")
    return None
