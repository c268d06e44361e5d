from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from azurefield_platform.failures import PlatformUnavailable, ReplyLost
from azurefield_platform.http import PlatformHttp, open_session

SECRET = b"Kx7qPz2mWv9tRb4n"
OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(SECRET, id="no-head"),
        pytest.param(OK + b"Content-Length: 3\r\n\r\nabc" + SECRET, id="longer-than-announced"),
        pytest.param(OK + b"X " + SECRET + b"\r\n\r\n", id="bad-header"),
        pytest.param(OK + b"Content-Length: " + SECRET + b"\r\n\r\n", id="bad-length"),
        pytest.param(b"HTTP/1.1 99 " + SECRET + b"\r\n\r\n", id="bad-status"),
        pytest.param(OK + b"X: " + SECRET * 1000 + b"\r\n\r\n", id="long-header"),
        pytest.param(OK + b"X: " + SECRET + b"\r\nY", id="cut-head"),
        pytest.param(
            OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n" + SECRET + b"\r\n",
            id="bad-chunk",
        ),
        pytest.param(OK + b"Content-Length: 99\r\n\r\n" + SECRET, id="cut-body"),
    ],
)
async def test_the_text_of_a_failure_quotes_nothing_that_was_received(sent: bytes) -> None:
    """Guards against keys of workspaces in the log after a malformed reply of the store."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent)
            await writer.drain()
            writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with listener, open_session() as session:
        port = listener.sockets[0].getsockname()[1]
        http = PlatformHttp(base_url=f"http://127.0.0.1:{port}", session=session)
        read = (await http.read("/x")).err()
        written = (await http.write("/x", b"{}", {})).err()
    assert isinstance(read, PlatformUnavailable)
    assert isinstance(written, ReplyLost)
    for failure in (read, written):
        text = f"{failure}"
        assert not any(SECRET[at : at + 4].decode() in text for at in range(len(SECRET) - 3))
