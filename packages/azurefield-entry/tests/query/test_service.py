from __future__ import annotations

import asyncio
from random import Random

from azurefield.failures import LeafFailureReason
from azurefield.model import Configuration, RequestKind, Snapshot, even_shard_map
from azurefield.snapshot import Holding, ServerState, StatusReport
from azurefield_entry.kernel import Kernel, Mailbox
from azurefield_entry.messages import ConfigurationChanged, QueryRequest, RunQuery, StatusReceived
from azurefield_entry.metrics import Metrics
from azurefield_entry.query.service import QueryService
from azurefield_testkit.entry_support.instance import make_service_config


async def test_a_query_ends_at_its_deadline_even_if_the_timer_fires_early() -> None:
    """Guards against a query that never ends because its wake-up is not set again.

    The timers of uvloop can fire up to 1 ms early, before the deadline has passed.
    """
    service = QueryService(metrics=Metrics(), random=Random(1))
    service.kernel, service.mailbox = Kernel(), Mailbox(name="query")
    config = make_service_config([])
    configuration = Configuration(version=1, services={"dispatch": config})
    service.handle(0.0, ConfigurationChanged(configuration=configuration, digest="d"))
    holding = Holding(leaf="a", snapshot=Snapshot(index_version=1, map_version=1))
    report = StatusReport(
        server="s1",
        incarnation="i1",
        state=ServerState.LIVE,
        load=0.0,
        holdings=frozenset({holding}),
        maps=(even_shard_map(version=1, leafs=("a",)),),
    )
    now = asyncio.get_running_loop().time()
    service.handle(now, StatusReceived(service="dispatch", report=report))
    reply = asyncio.get_running_loop().create_future()
    request = QueryRequest(
        request_id="r1",
        service="dispatch",
        member="m1",
        kind=RequestKind.LISTING,
        deadline=now + 0.05,
        limit=1,
        key=None,
        query={},
    )
    service.handle(now, RunQuery(request=request, reply=reply))
    for handled_at in (request.deadline - 0.001, request.deadline):
        async with asyncio.timeout(1):
            wake_up = await service.mailbox.receive()
        service.handle(handled_at, wake_up)
    assert LeafFailureReason.TIMEOUT in reply.result().unwrap_err().detail
    assert (service.queries, service.calls) == ({}, {})
