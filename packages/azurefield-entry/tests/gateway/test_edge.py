"""The service that refuses callers' requests while this process is too busy."""

from __future__ import annotations

import asyncio

import pytest

from azurefield.routes import CallerLimits, RouteTable
from azurefield.workspaces import KeyDigest, WorkspaceEntry, WorkspaceKeys
from azurefield_entry.gateway.messages import RouteTableChanged
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.requests.edge import EdgeService
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_testkit.waiting import wait_until

WORKSPACES = WorkspaceKeys.build([WorkspaceEntry(name="w1", keys=(KeyDigest.of("k1"),))])


def changed(workspaces: WorkspaceKeys | None) -> RouteTableChanged:
    table = RouteTable.build(
        version=1, routes=[], services={}, limits=CallerLimits(), workspaces=workspaces
    )
    return RouteTableChanged(table=table)


@pytest.mark.parametrize(
    ("versions", "follows"),
    [((None,), False), ((WORKSPACES,), True), ((WORKSPACES, WORKSPACES, None), False)],
    ids=["none", "workspaces", "removed"],
)
async def test_the_event_loop_is_followed_only_while_there_are_workspaces(
    versions: tuple[WorkspaceKeys | None, ...], follows: bool
) -> None:
    """Guards against refusals in deployments without workspaces."""
    edge, mailbox = EdgeService(metrics=GatewayMetrics()), Mailbox(name="edge")
    running = asyncio.create_task(edge.run(Kernel(), mailbox))
    for workspaces in versions:
        mailbox.send(changed(workspaces))
    await wait_until(mailbox.queue.empty, what="all versions are applied")
    if follows:
        await wait_until(lambda: edge.admission.lag.ticked_at is not None, what="a tick")
    assert (edge.ticking is not None) is follows
    assert follows or edge.admission.lag.ticked_at is None
    mailbox.send(Stop())
    await running
    assert edge.ticking is None
