"""One connection to a backend server, used for one call at a time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from aiohttp import (
    ClientResponse,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
    TraceConfig,
)
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    from types import SimpleNamespace

    from aiohttp.connector import Connection as AiohttpConnection

# Availability zones are at most a few ms apart; a longer wait would use up the request's deadline.
CONNECT_TIMEOUT_S = 0.5
KEEPALIVE_S = 1e9  # Practically unlimited: the pool closes idle connections, not aiohttp.


class TrackedResponse(ClientResponse):
    """A response that records the protocol object, and thereby the socket, it was read from."""

    used_protocol: ResponseHandler | None = None

    async def start(self, connection: AiohttpConnection) -> ClientResponse:
        """Record the protocol object, then read the header of the answer."""
        self.used_protocol = connection.protocol
        return await super().start(connection)


@dataclass(slots=True, kw_only=True)
class Connection:
    """A client session that is limited to a single socket.

    The pool of aiohttp is not used because it can neither close a single idle connection nor return
    the number of open ones. Both are needed to keep to the connection ceilings. aiohttp resends
    only idempotent methods, so leaf calls, which are POST requests, are sent at most once.
    """

    address: str
    may_have_sent: bool = False
    idle_since: float = 0.0
    protocol: ResponseHandler | None = None
    session: ClientSession = field(init=False)

    def __post_init__(self) -> None:
        trace = TraceConfig()
        trace.on_request_headers_sent.append(self.on_request_headers_sent)
        self.session = ClientSession(
            connector=TCPConnector(limit=1, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False),
            cookie_jar=DummyCookieJar(),
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            trace_configs=[trace],
            response_class=TrackedResponse,
            trust_env=False,
        )

    async def on_request_headers_sent(
        self, _session: ClientSession, _ctx: SimpleNamespace, _: Any
    ) -> None:
        """Record that bytes of the request may have been sent.

        aiohttp calls this as soon as the header is buffered, so never after a byte was sent.
        """
        self.may_have_sent = True

    @property
    def usable(self) -> bool:
        """Whether the socket is open and nothing has arrived since the last answer.

        If a server answers a call twice, aiohttp would read the second answer as that to the next
        call.
        """
        if self.protocol is None:
            return True
        return self.protocol.is_connected() and not self.protocol.should_close

    async def close(self) -> None:
        """Close the socket at once; an answer that arrives later is discarded."""
        await self.session.close()
