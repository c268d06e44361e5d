"""Keys and values of the entries that instances write to the store for each other."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from azurefield.crash_evidence import CrashReport, RequestAnswered, ServerEnded, digest_of
from azurefield.issuer_slots import SlotKey
from azurefield_entry.gateway.ports import (
    CrashReportEntry,
    InstanceEntry,
    InstanceKey,
    SlotName,
)

if TYPE_CHECKING:
    from azurefield_entry.gateway.ports import Item

OWN_PREFIX = "azurefield/"
INSTANCES_PREFIX = OWN_PREFIX + "instances/"
CRASHES_PREFIX = OWN_PREFIX + "crashes/"
SLOTS_PREFIX = OWN_PREFIX + "issuer-slots/"
SLOT = re.compile(r"[0-9]{1,4}")
REPORT_KINDS: dict[str, type[CrashReport]] = {"ended": ServerEnded, "answered": RequestAnswered}


class InstanceValue(Struct, kw_only=True, frozen=True):
    """The entry that an instance writes about itself."""

    zone: str = ""
    relay: str | None = None
    coordinator: str | None = None
    capacity: float = 0.0


def parse_own_key(key: str) -> InstanceKey | SlotName | None:
    """Parse a key; None if its removal does not concern the gateway."""
    if key.startswith(INSTANCES_PREFIX):
        return InstanceKey(instance=key.removeprefix(INSTANCES_PREFIX))
    slot = key.removeprefix(SLOTS_PREFIX)
    return SlotName(slot=int(slot)) if slot != key and SLOT.fullmatch(slot) else None


def encode_entry(entry: InstanceEntry | CrashReportEntry | SlotKey) -> tuple[str, bytes]:
    """Return the key and the value of an entry."""
    match entry:
        case InstanceEntry():
            instance = InstanceValue(
                zone=entry.availability_zone,
                relay=entry.relay_address,
                coordinator=entry.coordinator_address,
                capacity=entry.capacity,
            )
            return INSTANCES_PREFIX + entry.instance, msgspec.json.encode(instance)
        case SlotKey(slot=slot):
            return f"{SLOTS_PREFIX}{slot}", msgspec.json.encode(entry)
        case CrashReportEntry(report=report):
            kind = "ended" if isinstance(report, ServerEnded) else "answered"
            value = msgspec.json.encode(report)
            # Equal reports have the same key.
            return f"{CRASHES_PREFIX}{report.request}/{kind}/{digest_of(value)}", value


def decode_own_entry(key: str, value: bytes, revision: int) -> Item | None:
    """Decode an entry; None if it does not concern the gateway.

    :param revision: the store's revision of its last change
    :raises LookupError: if the kind of a crash report is unknown
    :raises msgspec.DecodeError: if the value is unreadable
    """
    if key.startswith(CRASHES_PREFIX):
        kind = REPORT_KINDS[key.split("/")[-2]]
        return CrashReportEntry(report=msgspec.json.decode(value, type=kind))
    match parse_own_key(key):
        case InstanceKey(instance=instance):
            return decode_instance(instance, value)
        case SlotName(slot=slot):
            return replace(msgspec.json.decode(value, type=SlotKey), slot=slot, revision=revision)
    return None


def decode_instance(instance: str, value: bytes) -> InstanceEntry:
    """Decode an instance's entry."""
    entry = msgspec.json.decode(value, type=InstanceValue)
    return InstanceEntry(
        instance=instance,
        availability_zone=entry.zone,
        relay_address=entry.relay,
        coordinator_address=entry.coordinator,
        capacity=entry.capacity,
    )
