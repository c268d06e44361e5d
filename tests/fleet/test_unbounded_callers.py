"""Callers outside the usual: memory and descriptors of a real gateway beside crowds of them.

Bytes that the operating system has received for callers' connections count as memory of the
process, since the platform counts them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from crowds import (
    DESCRIPTORS_MAX,
    MANY_DESCRIPTORS,
    MEMORY_MB,
    Sending,
    check_limits,
    raised_descriptor_limit,
)
from gateway_process import serving

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

pytestmark = [pytest.mark.process, pytest.mark.crowd]

MANY_CALLERS = 900
BODY_BYTES_MAX = 1_048_576
SMALL_HEAD_BYTES = 16_384
LARGE_HEAD_BYTES = 65_536
# How long a crowd of whole requests stays until the ordinary one.
STAY_S = 3.0

START = b"POST /s/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 60000\r\n"
SIZED = START + f"Content-Length: {BODY_BYTES_MAX}\r\n".encode()
CHUNKED = START + b"Transfer-Encoding: chunked\r\n"
WHOLE = START.replace(b"POST", b"GET") + b"\r\n"
# Runs at other leafs than the ordinary request.
LISTING = WHOLE.replace(b"/s/x", b"/l/x")
LAST_CHUNK = b"1\r\nx\r\n0\r\n"


def lines(count: int, size: int) -> bytes:
    """Build header lines of a size."""
    return b"".join(b"N%04d: %s\r\n" % (number, b"x" * (size - 9)) for number in range(count))


@dataclass(slots=True, kw_only=True, frozen=True)
class Crowd:
    """A crowd, and the gateway that it meets.

    :param others: what further callers send at the same time
    :param shards: how many shards a listing needs
    :param timeout_ms: the timeout of the routes
    :param leafs: how their leafs behave
    :param stay_s: how long the crowd stays until the ordinary request
    """

    sending: Sending
    others: tuple[Sending, ...] = ()
    header_bytes_max: int = SMALL_HEAD_BYTES
    descriptors_max: int = MANY_DESCRIPTORS
    shards: int = 2
    timeout_ms: int = 1000
    leafs: str = "answer"
    stay_s: float = 0.0


HEADS = {
    "small-lines-short-of-the-end": Crowd(
        sending=Sending(head=START + lines(110, 140), callers=MANY_CALLERS)
    ),
    "small-lines-of-64-kib-short-of-the-end": Crowd(
        sending=Sending(head=START + lines(120, 500), callers=MANY_CALLERS),
        header_bytes_max=LARGE_HEAD_BYTES,
    ),
    "one-line-of-64-kib-short-of-the-end": Crowd(
        sending=Sending(head=START + lines(1, 65_000), callers=MANY_CALLERS),
        header_bytes_max=LARGE_HEAD_BYTES,
    ),
    "one-line-of-64-kib-without-a-body": Crowd(
        sending=Sending(head=SIZED + lines(1, 65_000) + b"\r\n", callers=MANY_CALLERS),
        header_bytes_max=LARGE_HEAD_BYTES,
    ),
    "small-lines-of-64-kib-without-a-body": Crowd(
        sending=Sending(head=SIZED + lines(110, 500) + b"\r\n", callers=MANY_CALLERS),
        header_bytes_max=LARGE_HEAD_BYTES,
    ),
    "whole-heads-of-requests-that-run": Crowd(
        sending=Sending(head=LISTING[:-2] + lines(110, 140) + b"\r\n", callers=MANY_CALLERS),
        leafs="hang",
        stay_s=STAY_S,
    ),
    "whole-heads-of-requests-that-were-answered": Crowd(
        sending=Sending(
            head=WHOLE[:-2] + lines(110, 500) + b"\r\n", callers=MANY_CALLERS, in_turn=True
        ),
        header_bytes_max=LARGE_HEAD_BYTES,
    ),
    "a-part-of-the-next-head": Crowd(
        sending=Sending(head=WHOLE + START + lines(60, 100), callers=MANY_CALLERS), stay_s=STAY_S
    ),
    "a-line-without-end": Crowd(
        sending=Sending(head=START + b"N: ", piece=b"x" * 65_536, pieces=64)
    ),
    "lines-without-end": Crowd(sending=Sending(head=START, piece=lines(500, 130), pieces=64)),
    "a-request-line-without-end": Crowd(
        sending=Sending(head=b"GET /s/", piece=b"x" * 65_536, pieces=64)
    ),
    "empty-lines-without-end": Crowd(sending=Sending(head=b"", piece=b"\r\n" * 32_768, pieces=64)),
    "empty-lines-in-small-writes": Crowd(sending=Sending(head=b"", piece=b"\r\n", pieces=5000)),
}
TRAILERS = {
    "lines-short-of-the-end": Crowd(
        sending=Sending(
            head=CHUNKED + b"\r\n" + LAST_CHUNK, piece=lines(1, 16_000), pieces=100, callers=100
        )
    ),
    "lines-without-end": Crowd(
        sending=Sending(head=CHUNKED + b"\r\n" + LAST_CHUNK, piece=lines(10, 6000), pieces=200)
    ),
    "many-callers": Crowd(
        sending=Sending(
            head=CHUNKED + b"\r\n" + LAST_CHUNK,
            piece=lines(1, 16_000),
            pieces=10,
            callers=MANY_CALLERS,
        )
    ),
    "bytes-behind-a-malformed-chunk": Crowd(
        sending=Sending(
            head=CHUNKED + b"\r\n4000\r\n" + bytes(16_384) + b"\r\nzz\r\n",
            piece=b"\xff" * 65_536,
            pieces=64,
        )
    ),
    "an-extension-without-end": Crowd(
        sending=Sending(head=CHUNKED + b"\r\n1;n=", piece=b"x" * 65_536, pieces=64)
    ),
}
UNREAD = {
    "bytes-behind-a-request-that-runs": Crowd(
        sending=Sending(head=LISTING, piece=bytes(65_536), pieces=16, callers=MANY_CALLERS),
        leafs="hang",
    ),
    "chunks-of-one-byte": Crowd(
        sending=Sending(
            head=CHUNKED + b"\r\n", piece=b"1\r\nx\r\n" * 1000, pieces=100, callers=MANY_CALLERS
        )
    ),
    "bodies-but-one-byte": Crowd(
        sending=Sending(
            head=SIZED + b"\r\n", piece=bytes(BODY_BYTES_MAX - 1), pieces=1, callers=MANY_CALLERS
        )
    ),
    "bodies-and-a-reset": Crowd(
        sending=Sending(
            head=SIZED + b"\r\n",
            piece=bytes(BODY_BYTES_MAX - 1),
            pieces=1,
            callers=MANY_CALLERS,
            leaves=True,
        )
    ),
    "requests-without-reading-the-answers": Crowd(
        sending=Sending(head=b"", piece=WHOLE * 20, pieces=200, receive_bytes=4096)
    ),
    "small-requests-at-once": Crowd(
        sending=Sending(head=LISTING * 20, callers=MANY_CALLERS), leafs="hang", stay_s=STAY_S
    ),
}
WORK = {
    "listings-over-many-shards": Crowd(
        sending=Sending(head=LISTING, callers=MANY_CALLERS),
        shards=63,
        timeout_ms=20_000,
        leafs="hang",
        stay_s=STAY_S,
    ),
}
DESCRIPTORS = {
    "listings-over-many-shards": Crowd(
        sending=Sending(head=LISTING, callers=MANY_CALLERS),
        shards=63,
        timeout_ms=20_000,
        descriptors_max=DESCRIPTORS_MAX,
        leafs="hang",
        stay_s=STAY_S,
    ),
    "connections-at-once": Crowd(
        sending=Sending(head=START, callers=MANY_CALLERS), descriptors_max=DESCRIPTORS_MAX
    ),
    "bodies-that-wait-to-go-on": Crowd(
        sending=Sending(head=SIZED + b"Expect: 100-continue\r\n\r\n", callers=MANY_CALLERS)
    ),
}
SHARE_OF_CALLERS = 150
MIXED = {
    "heads-bodies-trailers-and-bytes-behind": Crowd(
        sending=Sending(head=START + lines(120, 500), callers=SHARE_OF_CALLERS),
        others=(
            Sending(head=SIZED + lines(110, 500) + b"\r\n", callers=SHARE_OF_CALLERS),
            Sending(
                head=SIZED + b"\r\n",
                piece=bytes(BODY_BYTES_MAX - 1),
                pieces=1,
                callers=SHARE_OF_CALLERS,
            ),
            Sending(
                head=CHUNKED + b"\r\n" + LAST_CHUNK,
                piece=lines(1, 16_000),
                pieces=10,
                callers=SHARE_OF_CALLERS,
            ),
            Sending(
                head=LISTING[:-2] + lines(110, 500) + b"\r\n",
                piece=bytes(65_536),
                pieces=16,
                callers=SHARE_OF_CALLERS,
            ),
        ),
        header_bytes_max=LARGE_HEAD_BYTES,
        leafs="hang",
    )
}
CROWDS = {
    f"{group}-{kind}": crowd
    for group, crowds in (
        ("heads", HEADS),
        ("trailers", TRAILERS),
        ("unread", UNREAD),
        ("work", WORK),
        ("open", DESCRIPTORS),
        ("mixed", MIXED),
    )
    for kind, crowd in crowds.items()
}


@pytest.fixture(autouse=True)
def many_descriptors() -> Iterator[None]:
    with raised_descriptor_limit():
        yield


@pytest.mark.parametrize("kind", CROWDS)
async def test_a_crowd_leaves_a_gateway_within_its_limits(tmp_path: Path, kind: str) -> None:
    """Guards against callers that end a gateway by its memory or descriptors, or stall it."""
    crowd = CROWDS[kind]
    limits = f"memory_mb = {MEMORY_MB}\nmax_fds = {crowd.descriptors_max}\n"
    async with serving(
        tmp_path,
        limits=limits,
        body_bytes_max=BODY_BYTES_MAX,
        header_bytes_max=crowd.header_bytes_max,
        timeout_ms=crowd.timeout_ms,
        shards=tuple(f"shard-{number}" for number in range(crowd.shards)),
    ) as site:
        for leaf in site.leafs.values():
            if leaf.service != "desk":
                leaf.behaviour = crowd.leafs
        await check_limits(
            site,
            crowd.sending,
            *crowd.others,
            stay_s=crowd.stay_s,
            descriptors_max=crowd.descriptors_max,
        )
