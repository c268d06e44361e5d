"""Callers of real gateways whose leafs stutter, and what they observe."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from answer_forms import TRAILER
from azurefield_testkit.waiting import wait_until
from gateway_process import Site, serving_fleet
from stuttering_leafs import StutteringLeaf, proof_of, replace_leafs, serving_leafs

if TYPE_CHECKING:
    from pathlib import Path

    from multidict import CIMultiDictProxy

GATEWAYS = ("n1", "n2")
SERVICES = ("a", "b", "desk")
LEAFS_PER_SERVICE = 3
CALLERS = 12
PAUSE_INTERVAL_MAX_S = 0.5
PAUSE_MIN_S, PAUSE_MAX_S = 0.05, 0.4
RECORD_BYTES = 16
REFUSALS = frozenset({408, 421, 429, 503})
ORDER_PATH = "/o/x"
PATHS = (("/s/x", "GET"), (ORDER_PATH, "POST"), ("/l/x", "GET"))


@dataclass(slots=True, kw_only=True)
class Observations:
    """What callers have got.

    :param faults: answers that are not the caller's own, or not whole
    :param orders: the identities of the requests that may run once at most
    :param refused: the identities of the requests whose answer says that they have not run
    :param unnamed_answers: answers that did not name their request, as the gateways counted them
    """

    leafs: dict[str, StutteringLeaf]
    statuses: Counter[int] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    orders: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    unnamed_answers: float = 0.0

    def add(
        self, request_id: str, status: int, headers: CIMultiDictProxy[str], body: bytes
    ) -> None:
        """Check one answer."""
        self.statuses[status] += 1
        if status in REFUSALS:
            self.refused.add(request_id)
        if status == 200 and "Partial-Stamps" in headers:
            self.check_listing(request_id, headers, body)
        else:
            self.check_single(request_id, status, headers, body)
        if any("HTTP/" in value for value in headers.values()):
            self.faults.append(f"{request_id}: a head in a header: {headers}")

    def check_single(
        self, request_id: str, status: int, headers: CIMultiDictProxy[str], body: bytes
    ) -> None:
        """Check the answer of one leaf, or a failure of the gateway."""
        proofs = headers.getall("Response-Signature", [])
        valid = {
            proof_of(name, request_id): leaf.body(request_id) for name, leaf in self.leafs.items()
        }
        success = 200 <= status < 300
        if success and [valid.get(proof) for proof in proofs] != [body]:
            self.faults.append(f"{request_id}: {status} {headers} {body!r}")
        if not success and proofs:
            self.faults.append(f"{request_id}: {status} with the proof of a success: {headers}")
        for name in ("Request-Id", TRAILER):
            if set(headers.getall(name, [request_id])) != {request_id}:
                self.faults.append(f"{request_id}: another identity: {headers}")

    def check_listing(self, request_id: str, headers: CIMultiDictProxy[str], body: bytes) -> None:
        """Check an answer that is merged from the parts of two shards."""
        valid = {proof_of(name, request_id): leaf for name, leaf in self.leafs.items()}
        proofs = headers["Partial-Stamps"].split(", ")
        parts = [valid[proof] for proof in proofs if proof in valid]
        services = {leaf.service for leaf in parts}
        missing = int(headers["Missing-Shards"])
        if len(parts) != len(proofs) or len(services) != len(proofs) or missing + len(parts) != 2:
            self.faults.append(f"{request_id}: parts {headers}")
        if body != max((leaf.body(request_id)[:RECORD_BYTES] for leaf in parts), default=b""):
            self.faults.append(f"{request_id}: records {body!r} of {headers}")


async def call_repeatedly(
    site: Site, caller: int, requests: int, observations: Observations
) -> None:
    """Send requests of all kinds, one after the other."""
    random = Random(caller)
    for number in range(requests):
        path, method = random.choice(PATHS)
        request_id = f"{caller:04x}{number:04x}"
        if path == ORDER_PATH:
            observations.orders.add(request_id)
        answer = await site.call(path, request_id, method, deadline_ms=2000)
        observations.add(request_id, *answer)


async def pause_repeatedly(site: Site, random: Random) -> None:
    """Stop and continue the process of a gateway until cancelled."""
    assert site.process is not None
    try:
        while True:
            await asyncio.sleep(random.uniform(0.1, PAUSE_INTERVAL_MAX_S))
            site.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(random.uniform(PAUSE_MIN_S, PAUSE_MAX_S))
            site.process.send_signal(signal.SIGCONT)
    finally:
        site.process.send_signal(signal.SIGCONT)


async def observe(
    directory: Path, leafs: list[StutteringLeaf], *, requests: int, pauses: bool = False
) -> Observations:
    """Let callers send requests to two gateways, and check what they get.

    :param requests: how many requests each caller sends
    :param pauses: whether the processes of the gateways are stopped and continued meanwhile
    """
    observations = Observations(leafs={leaf.name: leaf for leaf in leafs})
    async with (
        serving_leafs(*leafs),
        serving_fleet(directory, dict.fromkeys(GATEWAYS, 1.0)) as sites,
    ):
        replace_leafs(sites["n1"], leafs)
        for site in sites.values():

            async def knows_leafs(site: Site = site) -> bool:
                return await site.metric("azurefield_gateway_servers") == len(leafs)

            await wait_until(knows_leafs, "the leafs are known")
        pausing = [
            asyncio.create_task(pause_repeatedly(site, Random(site.name)))
            for site in sites.values()
            if pauses
        ]
        await asyncio.gather(
            *(
                call_repeatedly(
                    sites[GATEWAYS[caller % len(GATEWAYS)]], caller, requests, observations
                )
                for caller in range(CALLERS)
            )
        )
        for task in pausing:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        for site in sites.values():
            assert site.process is not None
            assert site.process.running, site.process.tail()
            counted = await site.metric("azurefield_gateway_unnamed_answers_total")
            observations.unnamed_answers += counted or 0.0
    return observations


def check(observations: Observations) -> None:
    """Check that nothing was mixed, refused after it has run, or run twice."""
    assert not observations.faults, observations.faults[:10]
    leafs = observations.leafs.values()
    runs = Counter(
        request_id for leaf in leafs if leaf.service == "desk" for request_id in leaf.ran
    )
    assert not observations.refused & runs.keys(), "refused, and has run"
    twice = [order for order in observations.orders if runs[order] > 1]
    assert not twice, "has run twice"
    successes = observations.statuses[200] + observations.statuses[204]
    assert successes > observations.statuses.total() / 2
