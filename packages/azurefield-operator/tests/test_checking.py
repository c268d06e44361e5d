from __future__ import annotations

import json
from copy import deepcopy
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefield_operator.checking import check_questionnaire
from azurefield_operator.examples import ExampleName, example

EXAMPLES = Path(__file__).parents[3] / "examples"
CAP_RANGE = "a number above 0 and at most 1"
DEADLINE_RANGE = "a whole number from 1 to 60000"
FIRST = "services[0]"


def minimal() -> Any:
    return json.loads(msgspec.json.encode(example(ExampleName.MINIMAL)))


def faults_of(value: object) -> list[str]:
    checked = check_questionnaire(json.dumps(value).encode())
    return [str(fault) for fault in checked.err() or []]


@pytest.mark.parametrize("name", list(ExampleName))
def test_a_committed_example_is_the_generated_one_and_has_no_fault(name: ExampleName) -> None:
    """Guards against example files that are out of date or not accepted."""
    content = (EXAMPLES / f"{name}.json").read_bytes()
    assert check_questionnaire(content).unwrap() == example(name)


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ("team", 3, "team: found 3, allowed: an object"),
        ("team.name", "", 'team.name: found "", allowed: a text of 1 to 200 characters'),
        (
            "availability_zones",
            [],
            "availability_zones: found [], allowed: a list of at least 1",
        ),
        (
            "availability_zones",
            ["zone-a", "zone-a"],
            'availability_zones[1]: found "zone-a", allowed: a value that differs from'
            " availability_zones[0]",
        ),
        (
            f"{FIRST}.backend_servers",
            [],
            f"{FIRST}.backend_servers: found [], allowed: a list of at least 1",
        ),
        (
            f"{FIRST}.backend_servers[0].availability_zone",
            "zone-b",
            f'{FIRST}.backend_servers[0].availability_zone: found "zone-b", allowed: one of zone-a',
        ),
        (
            f"{FIRST}.backend_servers[1].name",
            "catalogue-1-zone-a",
            f'{FIRST}.backend_servers[1].name: found "catalogue-1-zone-a", allowed: a value that'
            f" differs from {FIRST}.backend_servers[0].name",
        ),
        (
            f"{FIRST}.backend_servers[1].address",
            "10.40.0.2:8400",
            f'{FIRST}.backend_servers[1].address: found "10.40.0.2:8400", allowed: a value that'
            f" differs from {FIRST}.backend_servers[0].address",
        ),
        (
            f"{FIRST}.backend_servers[0].address",
            "10.40.0.300:8400",
            f'{FIRST}.backend_servers[0].address: found "10.40.0.300:8400", allowed: a valid IP'
            " address",
        ),
        (
            f"{FIRST}.backend_servers[0].address",
            "10.40.0.3:70000",
            f'{FIRST}.backend_servers[0].address: found "10.40.0.3:70000", allowed: a port from 1'
            " to 65535",
        ),
        (
            f"{FIRST}.callers[0].weight",
            0,
            f"{FIRST}.callers[0].weight: found 0, allowed: a number above 0 and at most 1000000",
        ),
        (
            f"{FIRST}.callers[0].cap",
            0,
            f"{FIRST}.callers[0].cap: found 0, allowed: {CAP_RANGE}",
        ),
        (
            f"{FIRST}.callers[0].cap",
            1.5,
            f"{FIRST}.callers[0].cap: found 1.5, allowed: {CAP_RANGE}",
        ),
        (
            f"{FIRST}.requests[0].kind",
            "auction",
            f'{FIRST}.requests[0].kind: found "auction", allowed: one of listing, urgent, lookup,'
            " booking",
        ),
        (
            f"{FIRST}.requests[1].kind",
            "listing",
            f'{FIRST}.requests[1].kind: found "listing", allowed: a value that differs from'
            f" {FIRST}.requests[0].kind",
        ),
        (
            f"{FIRST}.requests[0].deadline_ms",
            True,
            f"{FIRST}.requests[0].deadline_ms: found true, allowed: {DEADLINE_RANGE}",
        ),
        (
            f"{FIRST}.requests[0].max_deadline_ms",
            60_001,
            f"{FIRST}.requests[0].max_deadline_ms: found 60001, allowed: {DEADLINE_RANGE}",
        ),
        (
            f"{FIRST}.requests[0].deadline_ms",
            3000,
            f"{FIRST}.requests[0].deadline_ms: found 3000, allowed: at most max_deadline_ms, which"
            " is 2000",
        ),
        (
            f"{FIRST}.slots",
            33,
            f"{FIRST}.slots: found 33, allowed: at most connection_limit, which is 32",
        ),
        (
            "extra",
            1,
            "extra: found an unknown field, allowed: one of the fields team, availability_zones,"
            " services",
        ),
    ],
    ids=lambda value: value[:60] if isinstance(value, str) else None,
)
def test_a_wrong_answer_is_reported_with_path_finding_and_rule(
    path: str, value: object, expected: str
) -> None:
    """Guards against a wrong answer that is accepted or reported without saying what is allowed."""
    questionnaire = minimal()
    parent, keys = questionnaire, path.replace("[", ".").replace("]", "").split(".")
    for key in keys[:-1]:
        parent = parent[int(key) if key.isdigit() else key]
    parent[keys[-1]] = value
    assert faults_of(questionnaire) == [expected]


def test_all_faults_of_a_questionnaire_are_reported_at_once() -> None:
    """Guards against a check that stops at the first fault, as msgspec does."""
    questionnaire = minimal()
    del questionnaire["team"]["contact"]
    questionnaire["services"][0]["leafs"] = 0
    questionnaire["services"].append(deepcopy(questionnaire["services"][0]) | {"name": "a b"})
    paths = [fault.split(":")[0] for fault in faults_of(questionnaire)]
    assert paths == ["team.contact", "services[0].leafs", "services[1].name", "services[1].leafs"]


def test_a_service_whose_document_exceeds_a_stored_value_is_refused() -> None:
    """Guards against a valid questionnaire whose document the key-value service can't store."""
    questionnaire = minimal()
    questionnaire["services"][0]["backend_servers"] = [
        {
            "name": f"server-{number}",
            "address": f"10.{number // 250}.{number % 250}.1:80",
            "availability_zone": "zone-a",
        }
        for number in range(9000)
    ]
    (fault,) = faults_of(questionnaire)
    assert fault.startswith("services[0]: found a generated document of ")
    assert fault.endswith("bytes, allowed: at most 1000000 bytes")


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["team", "services", "name", "leafs"]), inner, max_size=3),
    max_leaves=20,
)


@given(JSON.map(lambda value: json.dumps(value).encode()) | st.binary(max_size=30))
def test_no_input_is_accepted_or_raises_unless_it_is_a_questionnaire(content: bytes) -> None:
    """Guards against an exception or an accepted configuration for arbitrary input."""
    assert check_questionnaire(content).err()
