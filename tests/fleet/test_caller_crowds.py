"""Many callers inside the limits of one request, and the memory of a real gateway beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from azurefield_testkit.waiting import wait_until
from crowds import DESCRIPTORS_MAX, MEMORY_MB, Sending, check_limits
from gateway_process import Site, serving, serving_fleet

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = [pytest.mark.process, pytest.mark.crowd]

SETTINGS = f"memory_mb = {MEMORY_MB}\nmax_fds = {DESCRIPTORS_MAX}\n"
BODY_BYTES_MAX = 1_048_576

HEAD = b"POST /s/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 60000\r\n"
SIZED_HEAD = HEAD + f"Content-Length: {BODY_BYTES_MAX}\r\n\r\n".encode()
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNK = b"4000\r\n" + bytes(16_384) + b"\r\n"


CROWDS = {
    "body-with-a-length": Sending(head=SIZED_HEAD, piece=bytes(BODY_BYTES_MAX - 1), pieces=1),
    "body-in-pieces-of-4-kib": Sending(
        head=SIZED_HEAD, piece=bytes(4096), pieces=255, last=bytes(4095)
    ),
    "chunks-of-16-kib": Sending(
        head=CHUNKED_HEAD, piece=LARGE_CHUNK, pieces=63, last=LARGE_CHUNK[:-3]
    ),
    "chunks-of-one-byte": Sending(head=CHUNKED_HEAD, piece=b"1\r\nx\r\n" * 1000, pieces=100),
}


@pytest.mark.parametrize("kind", CROWDS)
async def test_bodies_that_stop_before_their_end_leave_a_gateway_within_its_limits(
    tmp_path: Path, kind: str
) -> None:
    """Guards against a crowd of unfinished bodies that ends or stalls the gateway process."""
    async with serving(tmp_path, limits=SETTINGS, body_bytes_max=BODY_BYTES_MAX) as site:
        await check_limits(site, CROWDS[kind])


# As long as the configuration allows, without the end.
HEAD_WITHOUT_END = HEAD + b"".join(b"N%03d: %s\r\n" % (n, b"x" * 150) for n in range(95))


async def test_heads_that_stop_before_their_end_leave_a_gateway_within_its_limits(
    tmp_path: Path,
) -> None:
    """Guards against a crowd of unfinished heads that ends or stalls the gateway process."""
    async with serving(tmp_path, limits=SETTINGS) as site:
        await check_limits(site, Sending(head=HEAD_WITHOUT_END))


ANSWER_BYTES = 1_048_576
# How long a crowd of whole requests stays until the ordinary one.
STAY_S = 3.0


async def test_answers_that_are_not_read_leave_a_gateway_within_its_limits(tmp_path: Path) -> None:
    """Guards against a crowd that requests large answers and does not read them."""
    request = HEAD.replace(b"POST", b"GET") + b"\r\n"
    async with serving(tmp_path, limits=SETTINGS) as site:
        site.leafs["d1"].body = bytes(ANSWER_BYTES)
        await check_limits(site, Sending(head=request * 5, receive_bytes=4096), stay_s=STAY_S)


FORWARDED_BODY_BYTES = 524_288
# Fewer than the slots of a leaf for each of three instances, so that the fleet needs coordinators.
FLEET_CONNECTIONS_MAX = 8
FLEET_CORES = {"n1": 4.0, "n2": 4.0, "n3": 1.0}


async def test_large_bodies_that_are_forwarded_leave_all_gateways_within_their_limits(
    tmp_path: Path,
) -> None:
    """Guards against a crowd whose whole bodies end the instances that run its requests."""
    head = (
        HEAD.replace(b"/s/x", b"/l/x") + f"Content-Length: {FORWARDED_BODY_BYTES}\r\n\r\n".encode()
    )
    async with serving_fleet(
        tmp_path,
        FLEET_CORES,
        connections_max=FLEET_CONNECTIONS_MAX,
        limits=SETTINGS,
        body_bytes_max=BODY_BYTES_MAX,
    ) as sites:
        first, second, weak = sites["n1"], sites["n2"], sites["n3"]
        await wait_until(lambda: is_forwarded(weak), "n3 knows the coordinators")
        for name in ("a1", "a2", "b1", "b2"):
            weak.leafs[name].behaviour = "hang"
        sending = Sending(head=head, piece=bytes(FORWARDED_BODY_BYTES), pieces=1)
        await check_limits(weak, sending, stay_s=STAY_S, others=(first, second))


async def is_forwarded(site: Site) -> bool:
    """Whether a request to a gateway is forwarded."""
    assert site.process is not None
    await site.call("/l/x", "probe")
    return any("forwarded_to=n" in line for line in site.process.output)
