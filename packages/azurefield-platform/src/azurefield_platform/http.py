"""HTTP client for the platform: timeouts, and whether a failed write may have been applied."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeVar
from weakref import WeakKeyDictionary

import aiohttp
import msgspec
from msgspec import Struct
from msgspec import field as struct_field
from result import Err, Ok, Result
from yarl import URL

from azurefield.http_status import is_final_status
from azurefield_platform.failures import MalformedReply, PlatformUnavailable, ReplyLost

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ClientRequest
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

CONNECT_TIMEOUT_S = 1.0
REPLY_TIMEOUT_S = 3.0
# Covers a value of 1 MB in JSON, where an escaped character takes up to six bytes.
REPLY_BYTES_MAX = 8_000_000

T = TypeVar("T")


class Reply(Struct, kw_only=True, frozen=True):
    """A complete reply of the platform."""

    status: int
    body: bytes
    headers: Mapping[str, str] = struct_field(default_factory=dict)


class InvalidStatusError(aiohttp.ClientError):
    """A reply whose status is not a final one."""


class CheckedConnector(aiohttp.TCPConnector):
    """Uses no kept connection that may be silent, or on which something has arrived unasked.

    aiohttp would return it as the reply to the next request, and would wait for the rest of an
    incomplete one without a timeout.
    """

    def __init__(self) -> None:
        super().__init__()
        self.silences = 0
        self.silences_at_begin: WeakKeyDictionary[ResponseHandler, int] = WeakKeyDictionary()

    def abandon_kept(self) -> None:
        """Use none of the open connections again, since one of them is silent."""
        self.silences += 1

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Take a kept connection, or open a new one."""
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is None:
                return connection
            begun = self.silences_at_begin.setdefault(protocol, self.silences)
            if begun == self.silences and not protocol.should_close:
                return connection
            connection.close()


def open_session() -> aiohttp.ClientSession:
    """Open a session for calls to the platform; the caller closes it."""
    return aiohttp.ClientSession(connector=CheckedConnector())


@dataclass(slots=True, kw_only=True)
class PlatformHttp:
    """Sends requests to one platform address over a session of ``open_session``.

    After a reply that did not come in time, the next calls open new connections: the network may
    have dropped the state of all open ones.
    """

    base_url: str
    session: aiohttp.ClientSession
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    reply_timeout_s: float = REPLY_TIMEOUT_S
    base: URL = field(init=False)

    def __post_init__(self) -> None:
        self.base = URL(self.base_url)

    async def read(
        self, path: str, *, extra_s: float = 0.0
    ) -> Result[Reply, PlatformUnavailable | MalformedReply]:
        """Send a GET request.

        :param path: percent-encoded path and query below the base address
        :param extra_s: how long the platform may delay the reply to a watch
        """
        try:
            async with self.session.get(
                self.url(path), timeout=self.timeout(extra_s), allow_redirects=False
            ) as response:
                body = await read_bounded(response)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.abandon_silent(error)
            return Err(PlatformUnavailable(detail=describe(error)))
        if len(body) > REPLY_BYTES_MAX:
            return Err(MalformedReply(detail=f"reply of more than {REPLY_BYTES_MAX} bytes"))
        if response.status >= 500 or response.status == 429:
            return Err(PlatformUnavailable(detail=f"status {response.status}"))
        return Ok(Reply(status=response.status, body=body, headers=response.headers))

    async def write(
        self, path: str, body: bytes, headers: Mapping[str, str], *, method: str = "PUT"
    ) -> Result[Reply, PlatformUnavailable | ReplyLost]:
        """Send a write request exactly once, without a retry.

        aiohttp retries an idempotent request if its connection is lost. The retry of a
        compare-and-swap that was applied is refused, which would hide that it was applied. A body
        that can be read only once prevents the retry.
        """
        headers = {
            **headers,
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
        try:
            async with self.session.request(
                method,
                self.url(path),
                data=single_use_body(body),
                headers=headers,
                timeout=self.timeout(0.0),
                allow_redirects=False,
            ) as response:
                body_read = await read_bounded(response)
                reply = Reply(status=response.status, body=body_read, headers=response.headers)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(PlatformUnavailable(detail=describe(error)))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.abandon_silent(error)
            return Err(ReplyLost(detail=describe(error)))
        if len(reply.body) > REPLY_BYTES_MAX:
            return Err(ReplyLost(detail=f"reply of more than {REPLY_BYTES_MAX} bytes"))
        if reply.status in (429, 503):
            return Err(PlatformUnavailable(detail=f"status {reply.status}"))
        if reply.status >= 500:
            return Err(ReplyLost(detail=f"status {reply.status}"))
        return Ok(reply)

    def url(self, path: str) -> URL:
        """Build a URL without decoding the percent-encoded path."""
        return URL(str(self.base).rstrip("/") + path, encoded=True)

    def abandon_silent(self, error: BaseException) -> None:
        """Use no open connection again after a reply that did not come in time.

        A new connection that is not open in time says nothing of the open ones.
        """
        if isinstance(error, aiohttp.ConnectionTimeoutError):
            return
        connector = self.session.connector
        if isinstance(error, TimeoutError) and isinstance(connector, CheckedConnector):
            connector.abandon_kept()

    def timeout(self, extra_s: float) -> aiohttp.ClientTimeout:
        """Build the timeouts of connection set-up, of a silent connection and of the whole call."""
        return aiohttp.ClientTimeout(
            total=self.connect_timeout_s + self.reply_timeout_s + extra_s,
            sock_connect=self.connect_timeout_s,
            sock_read=self.reply_timeout_s + extra_s,
        )


async def read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Read a body; the rest of one of more than ``REPLY_BYTES_MAX`` bytes is not read.

    :raises InvalidStatusError: if the status is not a final one
    """
    if not is_final_status(response.status):
        response.close()
        raise InvalidStatusError(f"status {response.status} is not a valid final HTTP status")
    body = await response.content.read(REPLY_BYTES_MAX + 1)
    while len(body) <= REPLY_BYTES_MAX and (chunk := await response.content.readany()):
        body += chunk
    if len(body) > REPLY_BYTES_MAX:
        response.close()
    return body


async def single_use_body(body: bytes) -> AsyncIterator[bytes]:
    """Yield a request body once, so that the request can't be sent again."""
    yield body


def decode_reply(body: bytes, kind: type[T]) -> Result[T, MalformedReply]:
    """Decode the JSON body of a reply."""
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Err(MalformedReply(detail=str(error)))


def describe(error: BaseException) -> str:
    """Describe a transport error in one line, even if its message is empty.

    The messages of aiohttp's own errors are left out: they quote what was received, which may hold
    keys of workspaces.
    """
    if isinstance(error, asyncio.TimeoutError):
        return "no reply in time"
    if isinstance(error, aiohttp.ClientConnectorError):
        return f"no connection to {error.host}:{error.port}"
    if isinstance(error, InvalidStatusError | OSError):
        return str(error) or type(error).__name__
    return f"malformed or incomplete HTTP reply ({type(error).__name__})"
