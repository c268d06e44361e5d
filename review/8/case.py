"""DRAIN: a leaf that says in its answers that it leaves gets work until it ends, and the work is lost."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness_2 import BROKEN, HELD, TROUBLE, CouldNotRun, Consumer, Gateway, Leaf, Store, config, route, run, until  # noqa: E402

MACHINES = ("front-1", "front-2", "front-3")
# The store turns this machine away, one of three, for 9 s.
TURNED_AWAY, TURNED_AWAY_S = "front-1", 9.0
DRAIN_S = 3.0
# The leaf serves for drain_ms after the store has accepted its report, and a little longer.
LITTLE_LONGER_S = 3.0
# One of these leaves.
LEAFS = 7
PER_S = 60.0


async def send(record, gateway: Gateway, ends: float, requests: dict) -> None:
    """Send requests that may run once, at a rate."""
    free: list[Consumer] = []
    running: set[asyncio.Task] = set()

    async def one(identity: str) -> None:
        consumer = free.pop() if free else Consumer(record, gateway.consumers)
        sent_at = record.now()
        answer = await consumer.request(
            identity, "desk.example", "/bookings/x", method="POST", body=b"one barge", deadline_ms=2000
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
    leafs = [Leaf(record, f"i-{number}", "bookings", capacity=6, work_s=0.17) for number in range(1, LEAFS + 1)]
    for leaf in leafs:
        await leaf.start()
        store.put(f"servers/{leaf.name}", leaf.entry())
    routes = [route("r-bookings", "/bookings/", service="bookings", route_type="unsafe")]
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
    loads = [asyncio.create_task(send(record, gateway, begins + 12.0, requests)) for gateway in gateways]
    await asyncio.sleep(1.5)
    if TROUBLE:
        store.turned_away = lambda machine: machine == TURNED_AWAY
        record.note("store_turns_away", machine=TURNED_AWAY, for_s=TURNED_AWAY_S)
        asyncio.get_running_loop().call_later(TURNED_AWAY_S, end_turning_away, store, record)
    await asyncio.sleep(0.5)
    leaving.leaving = True
    store.put(f"servers/{leaving.name}", leaving.entry(state="draining", sequence=2))
    record.note("leaf_leaves", leaf=leaving.name, accepted_by="store")
    await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
    leaving.end()
    store.remove(f"servers/{leaving.name}")
    await asyncio.gather(*loads)
    return judge(record, leaving, requests)


def end_turning_away(store: Store, record) -> None:
    store.turned_away = lambda machine: False
    record.note("store_serves_all")


def judge(record, leaf: Leaf, requests: dict) -> int:
    """Look for requests that reached the leaf later than drain_ms after a machine had passed on that it leaves."""
    passed_on: dict[str, float] = {}
    for identity, (_, answered_at, answer) in requests.items():
        if answer is not None and answer["server-leaving"] is not None:
            machine = identity.partition(".")[0]
            passed_on[machine] = min(answered_at, passed_on.get(machine, answered_at))
    record.note("passed_on_server_leaving", first=passed_on)
    late = [
        identity
        for _, identity in leaf.arrivals
        if identity in requests
        and requests[identity][0] > passed_on.get(identity.partition(".")[0], float("inf")) + DRAIN_S
    ]
    lost = {
        identity: None if requests[identity][2] is None else requests[identity][2].status
        for identity in late
        if identity in leaf.lost
    }
    record.note("judged", late=len(late), machines=sorted({one.partition(".")[0] for one in late}), lost=lost)
    print(f"{len(late)} requests reached {leaf.name} too late, of which {len(lost)} were lost when it ended: {lost}")
    if not passed_on and TROUBLE:
        raise CouldNotRun("no answer said that the leaf leaves")
    return BROKEN if late else HELD


run(case, HERE)
