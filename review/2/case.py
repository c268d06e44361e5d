"""Leafs send the beginning of a second answer behind some of their answers (see claim.txt).

Every connection, process and address is the script's own; TROUBLE is read by harness.main.
"""

from __future__ import annotations

import asyncio
import math
import random
import sys
import time
from collections import Counter
from email.utils import formatdate
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import Consumer, Deployment, Leaf, Record, config, encode_answer, main, require_service  # noqa: E402

SEED = 1
TRAFFIC_S = 95.0
LEAFS = 12
CONSUMERS = 140
REQUESTS_PER_S = 215.0
# The traffic of the sites is a wave of this swing and period.
SWING, PERIOD_S = 0.55, 13.0
# Limits of the pages: half of the leafs, 4 in 100 of their answers, for 5.5 s at a time.
GARBLED_LEAFS = 0.5
GARBLED_ANSWERS = 0.04


class GarblingLeaf(Leaf):
    """Sends, behind some answers, the beginning of the same answer once more."""

    garbled = 0.0

    def encode(self, writer, status, headers, body):
        answer = encode_answer(status, [*headers, ("Date", formatdate(usegmt=True))], body)
        if not self.record.in_episode() or self.rng.random() >= self.garbled:
            return answer
        head = answer.index(b"\r\n\r\n")
        extra = answer[: self.rng.randrange(1, head)]
        self.record.add(f"leaf {self.name} adds {extra!r} behind the answer to {dict(headers)['Request-Id']}")
        return answer + extra


async def run(record: Record, trouble: bool) -> list[str]:
    rng = random.Random(SEED)
    async with Deployment(record) as deployment:
        for number in range(LEAFS):
            leaf = GarblingLeaf(f"i-{number}", "desk", record, random.Random(rng.random()),
                                slots=2, queue=1, work_s=0.09)
            if trouble and number < LEAFS * GARBLED_LEAFS:
                leaf.garbled = GARBLED_ANSWERS
            await deployment.add_leaf(leaf)
        route = {"name": "order", "prefix": "/order/", "route_type": "unsafe", "service": "desk"}
        deployment.store.put("op/config", config(1, [route], ["desk"]))
        await deployment.start_gateways("one", "one", "one")
        ends = time.monotonic() + TRAFFIC_S
        refused: set[str] = set()
        statuses: Counter[int] = Counter()

        async def consume(number: int) -> None:
            gateway = deployment.gateways[number % len(deployment.gateways)]
            own = random.Random(SEED * 1000 + number)
            consumer = Consumer(gateway.ports["frontend"], record, own)
            while time.monotonic() < ends:
                wave = 1.0 + SWING * math.sin(2 * math.pi * time.monotonic() / PERIOD_S)
                await asyncio.sleep(own.expovariate(wave * REQUESTS_PER_S / CONSUMERS))
                identity, answer = await consumer.send("POST", f"/order/{own.getrandbits(32):x}", b"x" * 300, 6.0)
                statuses[answer.status if answer is not None else 0] += 1
                if answer is not None and answer.status == 503:
                    refused.add(identity)
            consumer.close()

        await asyncio.gather(*map(consume, range(CONSUMERS)))
        await asyncio.sleep(1.0)
        require_service(statuses[200], statuses.total())
        runs = Counter(identity for leaf in deployment.leafs for identity in leaf.runs)
    twice = [identity for identity, count in runs.items() if count > 1]
    record.add(f"requests that ran more than once, for information: {twice}")
    return [f"REFUSED: the request {identity} was answered 503 and has run" for identity in refused & runs.keys()]


if __name__ == "__main__":
    main(run, Path(__file__).resolve().parent)
