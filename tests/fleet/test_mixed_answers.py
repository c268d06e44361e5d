"""Callers of real gateways whose leafs answer twice get their own answers, whole and alone."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import pytest

from azurefield_testkit.waiting import wait_until
from gateway_process import Site, serving_fleet
from stuttering_leafs import (
    Stutter,
    StutteringLeaf,
    body_of,
    proof_of,
    replace_leafs,
    serving_leafs,
)

if TYPE_CHECKING:
    from pathlib import Path

    from multidict import CIMultiDictProxy

pytestmark = pytest.mark.process

GATEWAYS = ("n1", "n2")
SERVICES = ("a", "b", "desk")
LEAFS_PER_SERVICE = 3
STUTTERED_FRACTION = 0.3
CALLERS = 12
REQUESTS_PER_CALLER = 60
PATHS = (("/s/x", "GET"), ("/o/x", "POST"), ("/l/x", "GET"))


@dataclass(slots=True, kw_only=True)
class Observations:
    """What callers have got.

    :param faults: answers that are not the caller's own, or not whole
    :param refused: the identities of the requests that were answered 503
    :param unnamed_answers: answers that did not name their request, as the gateways counted them
    """

    leafs: dict[str, StutteringLeaf]
    statuses: Counter[int] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    unnamed_answers: float = 0.0

    def add(
        self, request_id: str, status: int, headers: CIMultiDictProxy[str], body: bytes
    ) -> None:
        """Check one answer."""
        self.statuses[status] += 1
        if status == 503:
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
        valid = {proof_of(name, request_id): body_of(name, request_id) for name in self.leafs}
        if status == 200 and [valid.get(proof) for proof in proofs] != [body]:
            self.faults.append(f"{request_id}: {status} {headers} {body!r}")
        if status != 200 and proofs:
            self.faults.append(f"{request_id}: {status} with the proof of a success: {headers}")
        if set(headers.getall("Request-Id", [request_id])) != {request_id}:
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
        if body != max((body_of(leaf.name, request_id) for leaf in parts), default=b""):
            self.faults.append(f"{request_id}: records {body!r} of {headers}")


async def call_repeatedly(site: Site, caller: int, observations: Observations) -> None:
    """Send requests of all kinds, one after the other."""
    random = Random(caller)
    for number in range(REQUESTS_PER_CALLER):
        path, method = random.choice(PATHS)
        request_id = f"{caller:04x}{number:04x}"
        answer = await site.call(path, request_id, method, deadline_ms=2000)
        observations.add(request_id, *answer)


async def call_stuttering_leafs(
    directory: Path, stutter: Stutter, *, unnamed: tuple[str, ...] = ()
) -> Observations:
    """Send requests to gateways whose leafs answer twice, and check what callers and leafs see.

    :param unnamed: the services whose answers do not name their requests
    """
    leafs = [
        StutteringLeaf(
            name=f"{service}{number}",
            service=service,
            random=Random(f"{service}{number}"),
            stutter=stutter,
            fraction=STUTTERED_FRACTION,
            names_requests=service not in unnamed,
        )
        for service in SERVICES
        for number in range(LEAFS_PER_SERVICE)
    ]
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
        await asyncio.gather(
            *(
                call_repeatedly(sites[GATEWAYS[caller % len(GATEWAYS)]], caller, observations)
                for caller in range(CALLERS)
            )
        )
        for site in sites.values():
            assert site.process is not None
            assert site.process.running, site.process.tail()
            counted = await site.metric("azurefield_gateway_unnamed_answers_total")
            observations.unnamed_answers += counted or 0.0
    assert not observations.faults, observations.faults[:10]
    orders = [request_id for leaf in leafs if leaf.service == "desk" for request_id in leaf.ran]
    runs = Counter(orders)
    assert not observations.refused & runs.keys(), "refused, and has run"
    assert observations.statuses[200] > sum(observations.statuses.values()) / 2
    return observations


@pytest.mark.parametrize("stutter", [*Stutter])
async def test_each_caller_gets_its_own_answer_from_leafs_that_answer_twice(
    tmp_path: Path, stutter: Stutter
) -> None:
    """Guards against answers with the headers, the status or the body of another answer."""
    await call_stuttering_leafs(tmp_path, stutter)


@pytest.mark.parametrize("unnamed", [("a", "b"), SERVICES], ids=["shards", "all"])
async def test_answers_that_do_not_name_their_request_are_neither_mixed_nor_lost(
    tmp_path: Path, unnamed: tuple[str, ...]
) -> None:
    """Guards against a late copy without an identity, and against calls that wait in vain."""
    observations = await call_stuttering_leafs(tmp_path, Stutter.WHOLE_LATE, unnamed=unnamed)
    assert set(observations.statuses) <= {200, 503}, observations.statuses
    assert observations.unnamed_answers > 0
