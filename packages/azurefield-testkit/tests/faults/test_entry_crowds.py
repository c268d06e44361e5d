"""Crowds of callers at the daemon's own interface, and its memory and descriptors beside them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

from azurefield.model import RequestKind
from azurefield_testkit.history import SentRequest
from azurefield_testkit.processes import ManagedProcess
from azurefield_testkit.questionnaire import MEMBERS
from azurefield_testkit.tier import Tier, running_tier
from crowds import MANY_DESCRIPTORS, MEMORY_MB, Sending, check_limits, raised_descriptor_limit

if TYPE_CHECKING:
    from collections.abc import Iterator

pytestmark = [pytest.mark.process, pytest.mark.crowd]

BODY_BYTES_MAX = 65_536
START = (
    b"POST /v1/services/desk/listing HTTP/1.1\r\nHost: a\r\nAzurefield-Deadline-Ms: 2000\r\n"
    b"Azurefield-Member: " + MEMBERS[0].encode() + b"\r\n"
)
BODY = b'{"query": {}, "limit": 5}'
WHOLE = START + f"Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY
SIZED = START + f"Content-Length: {BODY_BYTES_MAX}\r\n\r\n".encode()
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
LINE = b"N: " + b"x" * 6995 + b"\r\n"
CROWDS = {
    "bytes-behind-a-request": Sending(head=WHOLE, piece=bytes(65_536), pieces=64),
    "lines-of-a-head": Sending(head=START, piece=LINE, pieces=100),
    "chunks-of-one-byte": Sending(head=CHUNKED, piece=b"1\r\nx\r\n" * 1000, pieces=60),
    "bodies-but-one-byte": Sending(
        head=SIZED, piece=bytes(BODY_BYTES_MAX - 1), pieces=1, callers=900
    ),
    "trailers-without-end": Sending(head=CHUNKED + b"1\r\nx\r\n0\r\n", piece=LINE, pieces=200),
    "empty-lines": Sending(head=b"", piece=b"\r\n" * 32_768, pieces=64),
}


@dataclass(slots=True, kw_only=True)
class CrowdedEntry:
    """The only entry instance of a tier."""

    tier: Tier
    callers: str
    process: ManagedProcess | None

    async def serves(self, request_id: str) -> bool:
        """Whether an ordinary request is answered."""
        request = SentRequest(
            request_id=request_id, service="desk", kind=RequestKind.LISTING, limit=5
        )
        result = await self.tier.caller.send(self.callers, request)
        return result.status == 200


@pytest.fixture(autouse=True)
def many_descriptors() -> Iterator[None]:
    with raised_descriptor_limit():
        yield


@pytest.mark.parametrize("kind", CROWDS)
async def test_a_crowd_leaves_an_entry_instance_within_its_limits(kind: str) -> None:
    """Guards against callers that end an instance by its memory or descriptors, or stall it."""
    async with running_tier(instances=1, memory_mb=MEMORY_MB) as tier:
        (entry,) = tier.running_entries()
        crowded = CrowdedEntry(
            tier=tier, callers=entry.address, process=tier.processes.processes[entry.name]
        )
        await check_limits(crowded, CROWDS[kind], descriptors_max=MANY_DESCRIPTORS)
