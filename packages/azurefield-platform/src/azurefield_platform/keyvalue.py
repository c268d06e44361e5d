"""Client of the platform's key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol
from urllib.parse import quote

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from azurefield.configuration import VALUE_BYTES_MAX
from azurefield_platform.failures import (
    InvalidCall,
    KeyNotFound,
    ReadFailure,
    ReplyLost,
    RevisionConflict,
    WriteFailure,
)
from azurefield_platform.http import PlatformHttp, Reply, decode_reply

if TYPE_CHECKING:
    import aiohttp


class StoredValue(Struct, kw_only=True, frozen=True):
    """A value and its revision; a later write may require that the revision is unchanged."""

    value: str
    revision: int


class RevisionReply(Struct, kw_only=True, frozen=True):
    """Body of the reply to a write; it has no revision for a conflict on a missing key."""

    revision: int | None = None


class KeyValueStore(Protocol):
    """The operations of the key-value service that the configuration needs."""

    async def get(self, key: str) -> Result[StoredValue, ReadFailure]:
        """Read a key."""

    async def watch(
        self, key: str, after: int, wait_ms: int
    ) -> Result[StoredValue | None, ReadFailure]:
        """Wait until a key has another revision than ``after``; None if it still has that one."""

    async def put(
        self, key: str, value: str, expected_revision: int | None
    ) -> Result[int, WriteFailure]:
        """Write a key if it has the expected revision, or create it if that is None."""


class KeyValueClient(Struct, kw_only=True):
    """Reads, writes and watches single keys; each call has a timeout."""

    http: PlatformHttp

    @classmethod
    def connect(cls, base_url: str, session: aiohttp.ClientSession) -> KeyValueClient:
        """Create a client that uses a session of the caller; the caller closes it."""
        return cls(http=PlatformHttp(base_url=base_url, session=session))

    async def get(self, key: str) -> Result[StoredValue, ReadFailure]:
        """Read a key."""
        match await self.http.read(key_path(key)):
            case Err(failure):
                return Err(failure)
            case Ok(reply):
                return stored_value(key, reply)

    async def watch(
        self, key: str, after: int, wait_ms: int
    ) -> Result[StoredValue | None, ReadFailure]:
        """Wait until a key has another revision than ``after``.

        :return: the new value, or None if nothing changed within ``wait_ms``
        """
        path = f"{key_path(key)}?after={after}&wait_ms={wait_ms}"
        match await self.http.read(path, extra_s=wait_ms / 1000):
            case Err(failure):
                return Err(failure)
            case Ok(Reply(status=304)):
                return Ok(None)
            case Ok(reply):
                return stored_value(key, reply)

    async def put(
        self, key: str, value: str, expected_revision: int | None
    ) -> Result[int, WriteFailure]:
        """Write a key if it has the expected revision, or create it if that is None.

        :return: the new revision
        """
        size = len(value.encode())
        if size > VALUE_BYTES_MAX:
            return Err(
                InvalidCall(
                    detail=f"value has {size} bytes, more than the limit of {VALUE_BYTES_MAX}"
                )
            )
        condition = (
            {"If-None-Match": "*"}
            if expected_revision is None
            else {"If-Match": f'"{expected_revision}"'}
        )
        body = msgspec.json.encode({"value": value})
        match await self.http.write(key_path(key), body, condition):
            case Err(failure):
                return Err(failure)
            case Ok(reply):
                return written_revision(key, reply)


def key_path(key: str) -> str:
    """Return the path of a key; its slashes are encoded, so it is one path segment."""
    return "/v1/keys/" + quote(key, safe="")


def stored_value(key: str, reply: Reply) -> Result[StoredValue, ReadFailure]:
    """Convert the reply to a read."""
    if reply.status == 404:
        return Err(KeyNotFound(key=key))
    if reply.status != 200:
        return Err(InvalidCall(detail=f"status {reply.status} in the reply to a read of {key}"))
    match decode_reply(reply.body, StoredValue):
        case Err(failure):
            return Err(failure)
        case Ok(value):
            return Ok(value)


def written_revision(key: str, reply: Reply) -> Result[int, WriteFailure]:
    """Convert the reply to a write.

    A confirmation without a readable revision counts as a lost reply, because the write may have
    been applied.
    """
    if reply.status not in (200, 412):
        return Err(InvalidCall(detail=f"status {reply.status} in the reply to a write of {key}"))
    decoded = decode_reply(reply.body, RevisionReply)
    revision = decoded.ok_value.revision if isinstance(decoded, Ok) else None
    if reply.status == 412:
        return Err(RevisionConflict(key=key, revision=revision))
    if revision is None:
        return Err(ReplyLost(detail="write confirmation has no readable revision"))
    return Ok(revision)
