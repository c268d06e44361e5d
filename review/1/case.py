"""Leafs send a second copy of some of their refusals late, where the next answer is expected.

See claim.txt. TROUBLE is read by harness.main.
"""

from __future__ import annotations

import asyncio
import math
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import Consumer, Deployment, Leaf, Record, config, encode_answer, main, require_service  # noqa: E402

SEED = 1
TRAFFIC_S = 95.0
SERVICES = ("desk", "notices", "dock", "quay", "yard", "crane", "pilot", "scale", "fuel", "crew")
CONSUMERS = 150
REQUESTS_PER_S = 225.0
# The traffic of the sites is a wave of this swing and period.
SWING, PERIOD_S = 0.55, 13.0
# Limits of the pages: half of the leafs, 4 in 100 of their answers, for 5.5 s at a time.
GARBLED_LEAFS = 0.5
GARBLED_ANSWERS = 0.04


class RepeatingLeaf(Leaf):
    """Sends some answers once more, in front of the next answer on the connection."""

    garbled = 0.0

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.repeated: dict[object, bytes] = {}

    def bytes_before_answer(self, writer):
        return self.repeated.pop(writer, b"")

    def encode(self, writer, status, headers, body):
        answer = encode_answer(status, headers, body)
        if self.record.in_episode() and self.rng.random() < self.garbled:
            self.record.add(f"leaf {self.name} will repeat the {status} to {dict(headers)['Request-Id']}")
            self.repeated[writer] = answer
        return answer


async def run(record: Record, trouble: bool) -> list[str]:
    rng = random.Random(SEED)
    async with Deployment(record) as deployment:
        for number, service in enumerate(SERVICES):
            leaf = RepeatingLeaf(f"i-{number}", service, record, random.Random(rng.random()),
                                 slots=2, queue=2, work_s=0.09)
            if trouble and number < len(SERVICES) * GARBLED_LEAFS:
                leaf.garbled = GARBLED_ANSWERS
            await deployment.add_leaf(leaf)
        routes = [{"name": name, "prefix": f"/{name}/", "route_type": "unsafe", "service": name} for name in SERVICES]
        deployment.store.put("op/config", config(1, routes, [*SERVICES]))
        await deployment.start_gateways("one", "one")
        ends = time.monotonic() + TRAFFIC_S
        refused: set[str] = set()
        statuses: Counter[int] = Counter()

        async def consume(number: int) -> None:
            # The platform spreads connections unevenly: the second gateway gets most of them.
            gateway = deployment.gateways[1 if number % 5 else 0]
            own = random.Random(SEED * 1000 + number)
            consumer = Consumer(gateway.ports["frontend"], record, own)
            while time.monotonic() < ends:
                wave = 1.0 + SWING * math.sin(2 * math.pi * time.monotonic() / PERIOD_S)
                await asyncio.sleep(own.expovariate(wave * REQUESTS_PER_S / CONSUMERS))
                target = f"/{own.choice(SERVICES)}/{own.getrandbits(32):x}"
                identity, answer = await consumer.send("POST", target, b"x" * 300, 6.0)
                statuses[answer.status if answer is not None else 0] += 1
                if answer is not None and answer.status == 503:
                    refused.add(identity)
            consumer.close()

        await asyncio.gather(*map(consume, range(CONSUMERS)))
        await asyncio.sleep(1.0)
        require_service(statuses[200], statuses.total())
        runs = Counter(identity for leaf in deployment.leafs for identity in leaf.runs)
    twice = [identity for identity, count in runs.items() if count > 1]
    record.add(f"answered 503 and run, for information: {refused & runs.keys()}")
    return [f"TWICE: the request {identity} ran {runs[identity]} times" for identity in twice]


if __name__ == "__main__":
    main(run, Path(__file__).resolve().parent)
