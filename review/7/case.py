"""LIMIT: a machine that does not know of an added one goes on issuing the limit that the added one issues by now."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness_2 import BROKEN, HELD, TROUBLE, CouldNotRun, Consumer, Gateway, Leaf, Store, config, route, run, until  # noqa: E402

MACHINES, ADDED = ("front-1", "front-2", "front-3"), "front-4"
# The store turns this machine away, one of three, for 9 s.
TURNED_AWAY, TURNED_AWAY_S = "front-1", 9.0
SERVICE = "desk-s"
LIMIT_PER_S = 10.0
CONTACT_S, WINDOW_S, PASSED_ON_S = 4.0, 4.0, 0.5
PER_S = {"front-1": 40.0, "front-2": 20.0, "front-3": 20.0}


async def send(record, gateway: Gateway, per_s: float, ends: float, passed_on: dict) -> None:
    """Send requests at a rate; each takes a consumer that is free."""
    free: list[Consumer] = []
    running: set[asyncio.Task] = set()
    count = 0

    async def one(identity: str) -> None:
        consumer = free.pop() if free else Consumer(record, gateway.consumers)
        answer = await consumer.request(identity, "desk.example", f"/{SERVICE}/x", deadline_ms=1000)
        if answer is not None and answer["response-signature"] is not None:
            leaf = answer["response-signature"].partition(".")[0]
            passed_on.setdefault((gateway.name, leaf), record.now())
        free.append(consumer)

    while record.now() < ends:
        count += 1
        task = asyncio.create_task(one(f"{gateway.name}.{count}"))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(1 / per_s)
    if running:
        await asyncio.wait(running)
    for consumer in free:
        consumer.close()


async def case(record, directory: Path, gateways: list[Gateway]) -> int:
    store = Store(record)
    store.tasks.add(asyncio.create_task(store.expire_leases()))
    leafs = [Leaf(record, f"i-{number}", SERVICE) for number in (1, 2)]
    for leaf in leafs:
        leaf.limit_per_s = LIMIT_PER_S
        await leaf.start()
        store.put(f"servers/{leaf.name}", leaf.entry())
    store.put("op/config", config(7, [route("r-desk", f"/{SERVICE}/", service=SERVICE)], [SERVICE]))
    for number, name in enumerate((*MACHINES, ADDED)):
        gateways.append(Gateway(record, directory, name, await store.serve(name), zone=f"zone-{number % 3 + 1}"))
    *first, added = gateways
    await asyncio.gather(*(gateway.start() for gateway in first))
    for gateway in first:
        await until(gateway.ready, 20.0, f"{gateway.name} is ready")
    await asyncio.sleep(4.0)
    ends = record.now() + 19.0
    passed_on: dict[tuple[str, str], float] = {}
    loads = [asyncio.create_task(send(record, one, PER_S[one.name], ends, passed_on)) for one in first]
    await asyncio.sleep(6.0)
    if TROUBLE:
        store.turned_away = lambda machine: machine == TURNED_AWAY
        record.note("store_turns_away", machine=TURNED_AWAY, for_s=TURNED_AWAY_S)
        asyncio.get_running_loop().call_later(TURNED_AWAY_S, end_turning_away, store, record)
    await asyncio.sleep(0.5)
    await added.start()
    await until(added.ready, 20.0, f"{added.name} is ready")
    record.note("added_ready", name=added.name)
    await asyncio.gather(*loads)
    return judge(record, leafs, passed_on)


def end_turning_away(store: Store, record) -> None:
    store.turned_away = lambda machine: False
    record.note("store_serves_all")


def judge(record, leafs: list[Leaf], passed_on: dict) -> int:
    """Look for some 4 s in which a leaf got more than its limit allows.

    The added machine gets no requests of consumers, so nothing that it sends is counted.
    """
    allowed = 1.5 * LIMIT_PER_S * WINDOW_S + 5
    broken = False
    for leaf in leafs:
        named = [at for (_, name), at in passed_on.items() if name == leaf.name]
        if not named:
            raise CouldNotRun(f"{leaf.name} answered nothing")
        counted = [
            (at, identity.partition(".")[0])
            for at, identity in leaf.arrivals
            if at >= min(named) + CONTACT_S
            and at >= passed_on.get((identity.partition(".")[0], leaf.name), at) + PASSED_ON_S
        ]
        if not counted:
            raise CouldNotRun("no load")
        windows = [[name for other, name in counted if at <= other < at + WINDOW_S] for at, _ in counted]
        most = max(windows, key=len)
        shares = {name: most.count(name) for name in sorted(set(most))}
        record.note("judged", leaf=leaf.name, most_in_4_s=len(most), allowed=allowed, by_machine=shares)
        print(f"{leaf.name}: at most {len(most)} requests in 4 s, allowed {allowed:.0f}, by machine {shares}")
        broken |= len(most) > allowed
    return BROKEN if broken else HELD


run(case, HERE)
