"""Differences between two configurations, field by field."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from azurefield_operator.faults import short_json

if TYPE_CHECKING:
    from collections.abc import Mapping

    from azurefield.model import ServiceConfig

# Fields that identify an entry of a list; the first one that the entry has is its name.
IDENTITY_FIELDS = ("name", "member", "kind")


class ChangeKind(StrEnum):
    """What happened to a field."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(slots=True, kw_only=True, frozen=True)
class Difference:
    """One field that differs; ``old`` or ``new`` is None if the field does not exist there."""

    path: str
    kind: ChangeKind
    old: object = None
    new: object = None

    def __str__(self) -> str:
        match self.kind:
            case ChangeKind.ADDED:
                return f"+ {self.path}: {short_json(self.new)}"
            case ChangeKind.REMOVED:
                return f"- {self.path}: {short_json(self.old)}"
            case ChangeKind.CHANGED:
                return f"~ {self.path}: {short_json(self.old)} -> {short_json(self.new)}"


def configuration_differences(
    old: Mapping[str, ServiceConfig], new: Mapping[str, ServiceConfig]
) -> list[Difference]:
    """List the differences of all services, in the order of their paths."""
    return list(differences(nested_dictionaries(old), nested_dictionaries(new), "services"))


def nested_dictionaries(services: Mapping[str, ServiceConfig]) -> object:
    """Convert services to nested dictionaries, so that paths don't depend on positions in lists."""
    return lists_to_dictionaries(msgspec.to_builtins(dict(services)))


def lists_to_dictionaries(value: object) -> object:
    """Convert lists of named entries to dictionaries by name, at all levels."""
    if isinstance(value, dict):
        return {name: lists_to_dictionaries(entry) for name, entry in value.items()}
    if isinstance(value, list | tuple):
        return {entry_name(entry): lists_to_dictionaries(entry) for entry in value}
    return value


def entry_name(entry: dict[str, str]) -> str:
    """Return the name of an entry of a list."""
    return next(entry[name] for name in IDENTITY_FIELDS if name in entry)


def differences(old: object, new: object, path: str) -> list[Difference]:
    """Compare two values; a field that exists on one side only is one difference."""
    if not (isinstance(old, dict) and isinstance(new, dict)):
        changed = Difference(path=path, kind=ChangeKind.CHANGED, old=old, new=new)
        return [] if old == new else [changed]
    found: list[Difference] = []
    for name in sorted(old.keys() | new.keys()):
        field_path = f"{path}.{name}"
        if name not in old:
            found.append(Difference(path=field_path, kind=ChangeKind.ADDED, new=new[name]))
        elif name not in new:
            found.append(Difference(path=field_path, kind=ChangeKind.REMOVED, old=old[name]))
        else:
            found += differences(old[name], new[name], field_path)
    return found
