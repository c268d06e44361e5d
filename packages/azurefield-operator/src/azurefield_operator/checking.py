"""Reads and checks a questionnaire; all faults are reported at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from azurefield_operator.faults import Fault, field_faults, truncated
from azurefield_operator.generation import size_faults
from azurefield_operator.questionnaire import Questionnaire
from azurefield_operator.rules import rule_faults

if TYPE_CHECKING:
    from pathlib import Path


def read_questionnaire(path: Path) -> Result[Questionnaire, list[Fault]]:
    """Read and check the questionnaire of a file."""
    try:
        return check_questionnaire(path.read_bytes())
    except OSError as error:
        found = error.strerror or type(error).__name__
        return Err([Fault(path=str(path), found=found, allowed="a readable file")])


def check_questionnaire(content: bytes) -> Result[Questionnaire, list[Fault]]:
    """Check a questionnaire; rules across fields are checked only if each field is valid."""
    try:
        value = msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        found = truncated(f"invalid JSON ({error})")
        return Err([Fault(path="", found=found, allowed="a JSON object")])
    faults = field_faults(value, Questionnaire)
    if faults:
        return Err(faults)
    questionnaire = msgspec.convert(value, Questionnaire)
    faults = rule_faults(questionnaire) + size_faults(questionnaire)
    return Err(faults) if faults else Ok(questionnaire)
