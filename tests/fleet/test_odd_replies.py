"""Gateway processes before callers, a store or instances that send what can't be used."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from azurefield_entry.gateway.peers.framing import LENGTH_PREFIX_BYTES
from azurefield_testkit.waiting import wait_until
from gateway_process import Site, serving, serving_fleet
from standins import config, route

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process

# A map with one unknown field of nested arrays; decoders of frames skip unknown fields.
NESTED = b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0"


def put_next_version(site: Site) -> None:
    """Write the second version of the configuration."""
    entry = config(2, route("r", "/x/", service="d"), services=("d",))
    site.store.put("op/config", entry)


async def wait_for_next_version(site: Site) -> None:
    """Wait until the second version of the configuration is in force."""

    async def in_force() -> bool:
        return await site.metric("azurefield_gateway_configuration_version") == 2

    await wait_until(in_force, "the next version is in force")


async def test_a_revision_that_no_frame_can_carry_does_not_end_the_process(tmp_path: Path) -> None:
    """Guards against a reply of the store that ends the service that relays it."""
    async with serving_fleet(tmp_path, {"n1": 1.0}) as sites:
        site = sites["n1"]
        usable = site.store.revision
        site.store.revision = 1 << 64
        site.store.put("other", 1)
        await wait_until(lambda: site.store.calls.count("/kv-watch") > 2, "the store is watched")
        del site.store.events[-1]
        site.store.revision = usable
        put_next_version(site)
        await wait_for_next_version(site)


async def test_frames_that_are_nested_too_deeply_only_end_their_link(tmp_path: Path) -> None:
    """Guards against a relay whose frames end the work of its followers with the store."""
    accepted: list[bytes] = []

    async def send_nested(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.append(await reader.read(1))
        writer.write(len(NESTED).to_bytes(LENGTH_PREFIX_BYTES, "big") + NESTED)
        await reader.read()
        writer.close()

    relay = await asyncio.start_server(send_nested, "127.0.0.1", 0)
    address = f"127.0.0.1:{relay.sockets[0].getsockname()[1]}"
    async with relay, serving_fleet(tmp_path, {"n1": 1.0}) as sites:
        site = sites["n1"]
        for name in ("a", "b", "c", "d"):
            entry = {"zone": "one", "relay": address, "capacity": 1.0}
            site.store.put(f"azurefield/instances/{name}", entry)
        await wait_until(lambda: len(accepted) > 1, "both relays have been followed")
        put_next_version(site)
        await wait_for_next_version(site)
        assert await site.metric("azurefield_gateway_task_failures_total") == 0


@pytest.mark.parametrize("identity", [b"\xff", b"q\xe91"])
async def test_a_request_whose_identity_is_no_text_is_refused_and_not_run(
    tmp_path: Path, identity: bytes
) -> None:
    """Guards against a request whose answer, and whose crash reports, can't be told from others."""
    async with serving(tmp_path) as site:
        host, _, port = site.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (b"GET /s/x HTTP/1.1", b"Host: a.example", b"Request-Id: " + identity, b"\r\n")
        writer.write(b"\r\n".join(head))
        assert (await reader.readline()).startswith(b"HTTP/1.1 400 ")
        assert not site.leafs["d1"].requests
        writer.close()
