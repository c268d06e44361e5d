"""``make prove``: runs the fault tests and model checks and prints the table of guarantees."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from xml.etree import ElementTree

import msgspec
import pytest

from azurefield_testkit.proof import PROOF_PROPERTY, ProofRow, aggregate, table


def read_rows(report: Path) -> list[ProofRow]:
    """Read the recorded rows from a JUnit report."""
    return [
        msgspec.json.decode(entry.attrib["value"], type=ProofRow)
        for entry in ElementTree.parse(report).iter("property")
        if entry.attrib.get("name") == PROOF_PROPERTY
    ]


def main() -> int:
    """Run all tests marked ``prove`` and print the table.

    :return: 0 if all tests passed, no row has a violation, and each weakened variant was detected
    """
    with tempfile.TemporaryDirectory() as directory:
        report = Path(directory) / "report.xml"
        options = ["-m", "prove", f"--junitxml={report}", "-o", "junit_family=xunit1"]
        exit_code = pytest.main([*options, *sys.argv[1:]])
        rows = aggregate(read_rows(report)) if report.exists() else []
    print(table(rows))
    unproved = [row for row in rows if row.violations or not row.weakened]
    for row in unproved:
        print(f"not proved: {row.guarantee}, {row.topic}")
    return int(exit_code) or int(bool(unproved))


if __name__ == "__main__":
    sys.exit(main())
