"""DRAIN: calls that wait for a token of a limited leaf are sent to it long after it has said that it leaves."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness_2 import BROKEN, HELD, TROUBLE, CouldNotRun, Consumer, Gateway, Leaf, Store, config, route, run, until  # noqa: E402

MACHINES = ("front-1", "front-2", "front-3")
DRAIN_S = 3.0
# The leaf serves for drain_ms after the store has accepted its report, and a little longer.
LITTLE_LONGER_S = 0.3
LEAFS = 7
LIMIT_PER_S = 8.0
# Requests a second at each machine: together more than all leafs take.
PER_S = 32.0


async def send(record, gateway: Gateway, ends: float, requests: dict) -> None:
    """Send requests that may run once, at a rate."""
    free: list[Consumer] = []
    running: set[asyncio.Task] = set()

    async def one(identity: str) -> None:
        consumer = free.pop() if free else Consumer(record, gateway.consumers)
        sent_at = record.now()
        answer = await consumer.request(
            identity, "desk.example", "/bookings/x", method="POST", body=b"one barge", deadline_ms=6000
        )
        requests[identity] = sent_at, record.now(), answer
        free.append(consumer)

    count = 0
    while record.now() < ends:
        count += 1
        task = asyncio.create_task(one(f"{gateway.name}.{count}"))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(1 / PER_S)
    if running:
        await asyncio.wait(running)


async def case(record, directory: Path, gateways: list[Gateway]) -> int:
    store = Store(record)
    store.tasks.add(asyncio.create_task(store.expire_leases()))
    leafs = [Leaf(record, f"i-{number}", "bookings", work_s=0.17) for number in range(1, LEAFS + 1)]
    for leaf in leafs:
        leaf.limit_per_s = LIMIT_PER_S
        await leaf.start()
        store.put(f"servers/{leaf.name}", leaf.entry())
    routes = [
        route("r-bookings", "/bookings/", service="bookings", route_type="unsafe", timeout_ms=6000, target_latency_ms=634)
    ]
    store.put("op/config", config(7, routes, ["bookings"]))
    for name in MACHINES:
        gateways.append(Gateway(record, directory, name, await store.serve(name)))
    await asyncio.gather(*(gateway.start() for gateway in gateways))
    for gateway in gateways:
        await until(gateway.ready, 20.0, f"{gateway.name} is ready")
    await asyncio.sleep(3.0)
    leaving = leafs[0]
    requests: dict[str, tuple] = {}
    begins = record.now()
    loads = [asyncio.create_task(send(record, gateway, begins + 16.0, requests)) for gateway in gateways]
    await asyncio.sleep(8.0)
    accepted_at = record.now()
    if TROUBLE:
        leaving.leaving = True
        store.put(f"servers/{leaving.name}", leaving.entry(state="draining", sequence=2))
        record.note("leaf_leaves", leaf=leaving.name, accepted_by="store")
        await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
        leaving.end()
        store.remove(f"servers/{leaving.name}")
    await asyncio.gather(*loads)
    return judge(record, leaving, accepted_at, requests)


def judge(record, leaf: Leaf, accepted_at: float, requests: dict) -> int:
    """Look for requests that reached the leaf later than drain_ms after the store had accepted its report."""
    if not leaf.ran:
        raise CouldNotRun("the leaf ran nothing")
    late = {identity: at for at, identity in leaf.arrivals if TROUBLE and at > accepted_at + DRAIN_S}
    lost = {
        identity: None if requests[identity][2] is None else requests[identity][2].status
        for identity in late
        if identity in leaf.lost
    }
    for identity, at in late.items():
        record.note("judged_late", id=identity, after_s=round(at - accepted_at, 3), consumer_sent_s=round(requests[identity][0] - accepted_at, 3))
    record.note("judged", late=len(late), lost=lost)
    print(f"{len(late)} requests reached {leaf.name} too late, of which {len(lost)} were lost when it ended: {lost}")
    return BROKEN if late else HELD


run(case, HERE)
