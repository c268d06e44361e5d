"""Runs an entry instance with backend servers whose answers are scripted by the test."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from azurefield.model import even_shard_map
from azurefield_entry.query.service import QueryService
from azurefield_testkit.entry_support.instance import (
    Instance,
    make_service_config,
    running_instance,
)
from azurefield_testkit.entry_support.wire_server import WireRequest, WireServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LEAFS = ("a", "b", "c")
SHARD_MAP = even_shard_map(version=2, leafs=LEAFS)
MEMBER = {"Azurefield-Member": "m1"}


async def answer_records(request: WireRequest) -> None:
    """Answer a search with three records of the leaf, other calls with the requested record."""
    leaf = request.path.split("/")[2]
    if request.path.endswith("/search"):
        records = [{"key": f"{leaf}{n}", "rank": n, "fields": {}} for n in range(3)]
    else:
        records = [{"key": request.body["key"], "rank": 0, "fields": {"leaf": leaf}}]
    request.answer(records)


@asynccontextmanager
async def running(
    scripts: dict[str, Any], *, deadline_max_ms: int = 2000, **services: Any
) -> AsyncIterator[tuple[Instance, dict[str, WireServer]]]:
    """Run an instance and its backend servers; yields both when they are ready for requests.

    :param scripts: the script of each backend server by its name; the first letter names its leaf
    """
    servers = {}
    for name, script in scripts.items():
        server = WireServer(name=name, script=script, leafs=(name[0],), shard_map=SHARD_MAP)
        servers[name] = await server.start()
    config = make_service_config([*servers.values()], deadline_max_ms=deadline_max_ms)
    async with running_instance(config, **services) as instance:
        await until_all_have_reported(instance, len(servers))
        yield instance, servers
    for server in servers.values():
        await server.stop()


async def until_all_have_reported(instance: Instance, servers: int) -> None:
    """Wait until the instance has received the status of all backend servers."""
    query = instance.kernel.services["query"]
    assert isinstance(query, QueryService)
    async with asyncio.timeout(5):
        while True:
            state = query.states.get("dispatch")
            if state is not None and len(state.holdings.reports) == servers:
                return
            await asyncio.sleep(0.01)


async def post(
    instance: Instance, path: str, body: dict[str, Any], **headers: str
) -> tuple[int, dict[str, Any]]:
    """Send one request of a caller; returns status and body.

    :param headers: further headers, with underscores instead of hyphens
    """
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    async with instance.session.post(
        instance.url(f"dispatch/{path}"), json=body, headers=MEMBER | names
    ) as response:
        return response.status, await response.json(content_type=None)
