"""Callers of real gateways whose leafs answer twice get their own answers, whole and alone."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from answer_forms import Form, FormedLeaf
from mixed_answers import LEAFS_PER_SERVICE, SERVICES, check, observe
from stuttering_leafs import Stutter, StutteringLeaf

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process

STUTTERED_FRACTION = 0.3
REQUESTS_PER_CALLER = 60
REQUESTS_OF_A_FORM = 25
# Fewer bytes of a copy can't be told from a body that ends with its connection.
SMALLEST_KNOWN_CUT = len("HTTP/")


@pytest.mark.parametrize("stutter", [*Stutter])
async def test_each_caller_gets_its_own_answer_from_leafs_that_answer_twice(
    tmp_path: Path, stutter: Stutter
) -> None:
    """Guards against answers with the headers, the status or the body of another answer."""
    leafs = [
        StutteringLeaf(
            name=f"{service}{number}",
            service=service,
            random=Random(f"{service}{number}"),
            stutter=stutter,
            fraction=STUTTERED_FRACTION,
        )
        for service in SERVICES
        for number in range(LEAFS_PER_SERVICE)
    ]
    check(await observe(tmp_path, leafs, requests=REQUESTS_PER_CALLER))


@pytest.mark.parametrize(
    ("form", "stutter", "pauses"),
    [
        (Form.CHUNKED, Stutter.CUT_BEFORE_NEXT, False),
        (Form.TRAILERS, Stutter.WHOLE_LATE, False),
        (Form.CLOSED, Stutter.CUT_LATE, False),
        (Form.NO_CONTENT, Stutter.WHOLE_IN_PIECES, False),
        (Form.LONG, Stutter.WHOLE_LATE, True),
        (Form.COPY_WITHOUT_IDENTITY, Stutter.WHOLE_LATE, True),
    ],
)
async def test_each_caller_gets_its_own_answer_whatever_the_form_of_the_answers(
    tmp_path: Path, form: Form, stutter: Stutter, pauses: bool
) -> None:
    """Guards against the same for answers without a length, and for processes that pause."""
    leafs: list[StutteringLeaf] = [
        FormedLeaf(
            name=f"{service}{number}",
            service=service,
            random=Random(f"{service}{number}"),
            stutter=stutter,
            fraction=STUTTERED_FRACTION,
            cut_min=SMALLEST_KNOWN_CUT if form is Form.CLOSED else 1,
            form=form,
        )
        for service in SERVICES
        for number in range(LEAFS_PER_SERVICE)
    ]
    check(await observe(tmp_path, leafs, requests=REQUESTS_OF_A_FORM, pauses=pauses))


@pytest.mark.parametrize("unnamed", [("a", "b"), SERVICES], ids=["shards", "all"])
async def test_answers_that_do_not_name_their_request_are_neither_mixed_nor_lost(
    tmp_path: Path, unnamed: tuple[str, ...]
) -> None:
    """Guards against a late copy without an identity, and against calls that wait in vain."""
    leafs = [
        StutteringLeaf(
            name=f"{service}{number}",
            service=service,
            random=Random(f"{service}{number}"),
            stutter=Stutter.WHOLE_LATE,
            fraction=STUTTERED_FRACTION,
            names_requests=service not in unnamed,
        )
        for service in SERVICES
        for number in range(LEAFS_PER_SERVICE)
    ]
    observations = await observe(tmp_path, leafs, requests=REQUESTS_PER_CALLER)
    check(observations)
    assert set(observations.statuses) <= {200, 503}, observations.statuses
    assert observations.unnamed_answers > 0
