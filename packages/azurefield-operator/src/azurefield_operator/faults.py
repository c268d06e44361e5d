"""Faults of a questionnaire, and the checks of its fields against their types."""

from __future__ import annotations

from dataclasses import MISSING, dataclass, fields, is_dataclass
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec

FOUND_CHARACTERS_MAX = 80


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """One wrong answer: where it is, what was found and what is allowed."""

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path or '(whole file)'}: found {self.found}, allowed: {self.allowed}"


def short_json(value: object) -> str:
    """Encode a value as JSON that is cut to the length of one line.

    >>> short_json({"a": [1, None]})
    '{"a":[1,null]}'
    """
    return truncated(msgspec.json.encode(value).decode())


def truncated(text: str) -> str:
    """Cut a text to at most ``FOUND_CHARACTERS_MAX`` characters."""
    if len(text) <= FOUND_CHARACTERS_MAX:
        return text
    return text[: FOUND_CHARACTERS_MAX - 3] + "..."


def field_faults(value: object, expected: Any, path: str = "") -> list[Fault]:
    """Check decoded JSON against a type and list every fault.

    msgspec stops at the first fault. Objects and lists are therefore traversed here, and msgspec
    checks only the single values.
    """
    constraints, base = None, expected
    if get_origin(expected) is Annotated:
        base, constraints = get_args(expected)[:2]
    if is_dataclass(base):
        return object_faults(value, base, path)
    if get_origin(base) is tuple:
        min_length = (
            0 if constraints is None or constraints.min_length is None else constraints.min_length
        )
        return list_faults(value, get_args(base)[0], min_length, path)
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        allowed = str(error) if constraints is None else constraints.description
        return [Fault(path=path, found=short_json(value), allowed=allowed)]
    return []


def object_faults(value: object, expected: Any, path: str) -> list[Fault]:
    """Check an object: its values, missing fields and unknown fields."""
    if not isinstance(value, dict):
        return [Fault(path=path, found=short_json(value), allowed="an object")]
    field_types = get_type_hints(expected, include_extras=True)
    required = {entry.name for entry in fields(expected) if entry.default is MISSING}
    prefix = f"{path}." if path else ""
    found: list[Fault] = []
    for name in field_types:
        if name in value:
            found += field_faults(value[name], field_types[name], prefix + name)
        elif name in required:
            found.append(
                Fault(
                    path=prefix + name, found="nothing", allowed=allowed_values(field_types[name])
                )
            )
    allowed = "one of the fields " + ", ".join(field_types)
    found += [
        Fault(path=prefix + truncated(name), found="an unknown field", allowed=allowed)
        for name in value
        if name not in field_types
    ]
    return found


def list_faults(value: object, item: Any, min_length: int, path: str) -> list[Fault]:
    """Check a list: its length and each entry."""
    allowed = f"a list of at least {min_length}" if min_length else "a list"
    if not isinstance(value, list) or len(value) < min_length:
        return [Fault(path=path, found=short_json(value), allowed=allowed)]
    return [
        fault
        for index, entry in enumerate(value)
        for fault in field_faults(entry, item, f"{path}[{index}]")
    ]


def allowed_values(expected: Any) -> str:
    """Describe the values that a field may have."""
    if get_origin(expected) is not Annotated:
        return "an object"
    constraints = get_args(expected)[1]
    return constraints.description or f"a list of at least {constraints.min_length}"
