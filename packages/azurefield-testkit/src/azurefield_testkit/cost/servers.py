"""Runs many backend server stand-ins in one process, so that a run needs few processes."""

from __future__ import annotations

from pathlib import Path

import defopt
import msgspec
import uvloop

from azurefield.model import even_shard_map
from azurefield_testkit.backend_server import BackendServer, Limits, build
from azurefield_testkit.stand_in import run_until_stopped


class ServerPlan(msgspec.Struct, kw_only=True, frozen=True):
    """Parameters of one stand-in; ``map_leafs`` are all leafs of its service."""

    name: str
    service: str
    leaf: str
    map_leafs: tuple[str, ...]
    port: int


def build_server(plan: ServerPlan) -> BackendServer:
    """Build one stand-in that answers without delay."""
    return build(
        name=plan.name,
        service=plan.service,
        shard_map=even_shard_map(version=1, leafs=plan.map_leafs),
        leafs=(plan.leaf,),
        record_count=100,
        limits=Limits(slots=64, connection_limit=1000, service_ms=0.0, spread_ms=0.0),
    )


def serve(*, plans: str) -> None:
    """Run all stand-ins that a file lists.

    :param plans: JSON file with a list of server plans
    """
    server_plans = msgspec.json.decode(Path(plans).read_bytes(), type=list[ServerPlan])
    servers = [build_server(plan) for plan in server_plans]

    async def start() -> str:
        addresses = [
            await server.start(plan.port)
            for server, plan in zip(servers, server_plans, strict=True)
        ]
        return addresses[0]

    async def stop() -> None:
        for server in servers:
            await server.stop()

    uvloop.run(run_until_stopped(start, stop))


if __name__ == "__main__":
    defopt.run(serve)
