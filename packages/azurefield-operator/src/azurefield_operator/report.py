"""Writes results as text for people or as JSON for scripts."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from azurefield_operator.outcome import CommandFailure, CommandFailureKind, ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterable

    from azurefield_operator.faults import Fault


@dataclass(slots=True, kw_only=True, frozen=True)
class Output:
    """Writes results to standard output and failures, as one line each, to standard error.

    With ``json``, results and failures are written as JSON to standard output. The line of a
    failure is written as well, but faults of a questionnaire are written only as JSON.
    """

    json: bool

    def write_result(
        self, value: object, lines: Iterable[str], code: ExitCode = ExitCode.DONE
    ) -> ExitCode:
        """Write a result."""
        if self.json:
            sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
        else:
            sys.stdout.writelines(f"{line}\n" for line in lines)
        return code

    def write_failure(self, failure: CommandFailure) -> ExitCode:
        """Write a failure."""
        if self.json:
            sys.stdout.write(msgspec.json.encode({"failure": failure}).decode() + "\n")
        sys.stderr.write(f"azurefieldctl: {failure.kind}: {failure.detail}\n")
        return failure.kind.exit_code

    def write_faults(self, faults: list[Fault]) -> ExitCode:
        """Write the faults of a questionnaire, one a line."""
        if self.json:
            body = {"failure": {"kind": CommandFailureKind.FAULTS, "faults": faults}}
            sys.stdout.write(msgspec.json.encode(body).decode() + "\n")
        else:
            sys.stderr.writelines(f"{fault}\n" for fault in faults)
        return ExitCode.FAULTS
