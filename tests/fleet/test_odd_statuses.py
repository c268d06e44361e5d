"""Callers of real gateways whose leafs send status lines that HTTP does not have."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import pytest

from mixed_answers import LEAFS_PER_SERVICE, SERVICES, check, observe
from stuttering_leafs import Stutter, StutteringLeaf

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process

ODD_STATUSES = ("000", "007", "099", "600", "999", "00", "0200")
ODD_FRACTION = 0.15
REQUESTS_PER_CALLER = 40


@dataclass(slots=True, kw_only=True)
class OddLeaf(StutteringLeaf):
    """A leaf in trouble that runs requests and answers some of them with an odd status.

    :param odd: the identities of the requests that it has answered so
    """

    odd: list[str] = field(default_factory=list)

    async def answer(self, request_id: str) -> bytes:
        """Encode the answer to a request."""
        answer = await super(OddLeaf, self).answer(request_id)
        if not answer.startswith(b"HTTP/1.1 200") or self.random.random() >= ODD_FRACTION:
            return answer
        self.odd.append(request_id)
        return answer.replace(b"200", self.random.choice(ODD_STATUSES).encode(), 1)


async def test_callers_get_no_status_that_http_does_not_have(tmp_path: Path) -> None:
    """Guards against odd answers for callers, and against refusals of requests that have run."""
    leafs = [
        OddLeaf(
            name=f"{service}{number}",
            service=service,
            random=Random(f"{service}{number}"),
            stutter=Stutter.WHOLE_LATE,
            fraction=0.0,
        )
        for service in SERVICES
        for number in range(LEAFS_PER_SERVICE)
    ]
    observations = await observe(tmp_path, list(leafs), requests=REQUESTS_PER_CALLER)
    check(observations)
    assert all(200 <= status <= 599 for status in observations.statuses), observations.statuses
    assert any(leaf.odd for leaf in leafs)
