from __future__ import annotations

from dataclasses import replace as replace_answer

import pytest
from msgspec.structs import replace

from azurefield.configuration import decode_document, encode
from azurefield.model import RequestKind
from azurefield_operator.differences import configuration_differences
from azurefield_operator.examples import ExampleName, example
from azurefield_operator.generation import generate

MINIMAL_DOCUMENT = (
    '{"backend_servers":['
    '{"address":"10.40.0.2:8400","availability_zone":"zone-a","connect_cost_ms":1.0,'
    '"connection_limit":32,"name":"catalogue-1-zone-a","slots":4},'
    '{"address":"10.40.0.3:8400","availability_zone":"zone-a","connect_cost_ms":1.0,'
    '"connection_limit":32,"name":"catalogue-2-zone-a","slots":4}],'
    '"hedge_budget":0.05,"kinds":['
    '{"deadline_ms":500,"kind":"listing","max_deadline_ms":2000,"priority":2,"weight":1.0},'
    '{"deadline_ms":250,"kind":"lookup","max_deadline_ms":1000,"priority":1,"weight":2.0}],'
    '"members":[{"cap":1.0,"member":"web","weight":1.0}],'
    '"name":"catalogue","queue_limit":256,"retry_budget":0.1}'
)


def test_the_document_of_the_minimal_example_is_stable() -> None:
    """Guards against a changed encoding, which would change every digest in the store."""
    (service,) = generate(example(ExampleName.MINIMAL)).values()
    assert encode(service) == MINIMAL_DOCUMENT
    assert decode_document(MINIMAL_DOCUMENT).unwrap() == service


def test_the_order_of_answers_changes_no_document() -> None:
    """Guards against a new digest for a questionnaire whose answers were only reordered."""
    answers = example(ExampleName.MINIMAL)
    (service,) = answers.services
    reversed_service = replace_answer(
        service,
        backend_servers=service.backend_servers[::-1],
        requests=service.requests[::-1],
    )
    assert generate(replace_answer(answers, services=(reversed_service,))) == generate(answers)


@pytest.mark.parametrize(
    ("name", "services", "servers"),
    [(ExampleName.GULF, 27, 261), (ExampleName.CERAFIAMMA, 27, 261)],
    ids=["gulf", "cerafiamma"],
)
def test_an_example_has_the_sizes_of_the_design_page(
    name: ExampleName, services: int, servers: int
) -> None:
    """Guards against examples whose sizes differ from those in the design documentation."""
    generated = generate(example(name))
    assert len(generated) == services
    assert sum(len(service.backend_servers) for service in generated.values()) == servers


def test_differences_name_added_removed_and_changed_fields() -> None:
    """Guards against a preview that omits a change or names the wrong field."""
    old = generate(example(ExampleName.MINIMAL))
    service = old["catalogue"]
    first, second = service.backend_servers
    changed = replace(
        service,
        backend_servers=(replace(first, slots=5), replace(second, name="new")),
        kinds=tuple(kind for kind in service.kinds if kind.kind is RequestKind.LISTING),
        hedge_budget=0.0,
    )
    new = {"catalogue": changed, "other": replace(service, name="other", backend_servers=())}
    lines = [str(difference)[:75] for difference in configuration_differences(old, new)]
    assert lines == [
        "~ services.catalogue.backend_servers.catalogue-1-zone-a.slots: 4 -> 5",
        '- services.catalogue.backend_servers.catalogue-2-zone-a: {"name":"catalogue',
        '+ services.catalogue.backend_servers.new: {"name":"new","address":"10.40.0.',
        "~ services.catalogue.hedge_budget: 0.05 -> 0.0",
        '- services.catalogue.kinds.lookup: {"kind":"lookup","deadline_ms":250,"max_',
        '+ services.other: {"name":"other","backend_servers":{},"members":{"web":{"m',
    ]
    assert configuration_differences(old, old) == []
