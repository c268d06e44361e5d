"""How a command ends: exit codes and typed failures."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import assert_never

from azurefield.failures import (
    ChangeConflict,
    ChangeFailure,
    ChangeNotAccepted,
    ChangeOutcomeUnknown,
    StoreBehind,
)


class ExitCode(IntEnum):
    """Exit codes of ``azurefieldctl``; ``docs/configuration.md`` lists them."""

    DONE = 0
    FAILED = 1
    FAULTS = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5
    STORE_BEHIND = 6
    DISAGREEMENT = 7
    REFUSED = 8


class CommandFailureKind(StrEnum):
    """The kinds of failures, which scripts can distinguish."""

    USAGE = "usage"
    UNREADABLE = "unreadable"
    FAULTS = "faults"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    STORE_BEHIND = "store-behind"

    @property
    def exit_code(self) -> ExitCode:
        """The exit code of a command that ends with this failure."""
        return EXIT_CODES[self]


EXIT_CODES = {
    CommandFailureKind.USAGE: ExitCode.FAULTS,
    CommandFailureKind.UNREADABLE: ExitCode.FAILED,
    CommandFailureKind.FAULTS: ExitCode.FAULTS,
    CommandFailureKind.CONFLICT: ExitCode.CONFLICT,
    CommandFailureKind.UNAVAILABLE: ExitCode.UNAVAILABLE,
    CommandFailureKind.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    CommandFailureKind.STORE_BEHIND: ExitCode.STORE_BEHIND,
}


@dataclass(slots=True, kw_only=True, frozen=True)
class CommandFailure:
    """Why a command failed; ``detail`` is one line."""

    kind: CommandFailureKind
    detail: str


def unavailable(detail: str) -> CommandFailure:
    """Describe a platform that can't be used; nothing was changed."""
    return CommandFailure(kind=CommandFailureKind.UNAVAILABLE, detail=detail)


def unreadable(detail: str) -> CommandFailure:
    """Describe a file or stored content that can't be used."""
    return CommandFailure(kind=CommandFailureKind.UNREADABLE, detail=detail)


def change_failure(failure: ChangeFailure) -> CommandFailure:
    """Describe a change that was not accepted or whose outcome is unknown."""
    match failure:
        case ChangeConflict(version=0):
            kind = CommandFailureKind.CONFLICT
            detail = (
                "no configuration is in force yet, but a version was expected; nothing was changed"
            )
        case ChangeConflict(change_id=change_id, operator=operator, version=version):
            kind = CommandFailureKind.CONFLICT
            by = operator or "an unknown operator"
            detail = f"version {version} was accepted first: change {change_id} by {by}"
        case StoreBehind(store_version=stored, version_in_force=in_force):
            kind = CommandFailureKind.STORE_BEHIND
            detail = (
                f"the store holds version {stored} but version {in_force} is in force; nothing was"
                " changed, try again when the instances have written the newer version back"
            )
        case ChangeNotAccepted(detail=reason):
            kind = CommandFailureKind.UNAVAILABLE
            detail = f"the store can't be used ({reason}); the change is not accepted"
        case ChangeOutcomeUnknown(change_id=change_id, detail=reason):
            kind = CommandFailureKind.OUTCOME_UNKNOWN
            detail = (
                f"change {change_id} may have been accepted ({reason}); look for it with"
                " 'azurefieldctl audit' before you repeat it"
            )
        case _:
            assert_never(failure)
    return CommandFailure(kind=kind, detail=detail)
