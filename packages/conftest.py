"""Fixtures for the tests of all packages, and deselection of tests with a known fault."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from hypothesis import settings

from azurefield_testkit.proof import ProofRecorder

if TYPE_CHECKING:
    from collections.abc import Callable

# Hypothesis generates the same examples in every run and on every machine.
settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)
settings.load_profile("repeatable")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
# If this environment variable is set, tests with a known fault run as well.
RUN_KNOWN_RED_VARIABLE = "AZUREFIELD_KNOWN_RED"


def known_red() -> frozenset[str]:
    """Return the node identifiers of the tests that are deselected because of a known fault."""
    if os.environ.get(RUN_KNOWN_RED_VARIABLE) or not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(line for line in lines if line.startswith(("packages/", "tests/")))


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the tests with a known fault."""
    known = known_red()
    deselected = [item for item in items if item.nodeid in known]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in known]
        config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that were deselected because of a known fault."""
    for name in sorted(known_red()):
        terminalreporter.write_line(f"known red, not run: {name}")


@pytest.fixture
def proof(record_property: Callable[[str, object], None]) -> ProofRecorder:
    """Record the result of a test for the table that `make prove` prints."""
    return ProofRecorder(record_property=record_property)
