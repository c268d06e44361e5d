"""Keys and values of the entries that instances write into the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from azurefield.crash_evidence import CrashReport, RequestAnswered, ServerEnded, digest_of
from azurefield_entry.gateway.ports import CrashReportEntry, InstanceEntry

OWN_PREFIX = "azurefield/"
INSTANCES_PREFIX = OWN_PREFIX + "instances/"
CRASHES_PREFIX = OWN_PREFIX + "crashes/"

REPORT_KINDS: dict[str, type[CrashReport]] = {"ended": ServerEnded, "answered": RequestAnswered}


@dataclass(slots=True, kw_only=True, frozen=True)
class InstanceValue:
    """The entry that an instance of the gateway writes about itself."""

    zone: str = ""
    relay: str | None = None
    coordinator: str | None = None
    capacity: float = 0.0


def encode_entry(entry: InstanceEntry | CrashReportEntry) -> tuple[str, bytes]:
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
        case CrashReportEntry(report=report):
            kind = "ended" if isinstance(report, ServerEnded) else "answered"
            value = msgspec.json.encode(report)
            # Equal reports have the same key.
            return f"{CRASHES_PREFIX}{report.request}/{kind}/{digest_of(value)}", value


def decode_entry(key: str, value: bytes) -> InstanceEntry | CrashReportEntry | None:
    """Decode the value of a key below ``OWN_PREFIX``; None if it is another one's.

    :raises LookupError: if the key names no kind of report
    :raises msgspec.DecodeError: if the value can't be read
    """
    if key.startswith(CRASHES_PREFIX):
        kind = REPORT_KINDS[key.split("/")[-2]]
        return CrashReportEntry(report=msgspec.json.decode(value, type=kind))
    if not key.startswith(INSTANCES_PREFIX):
        return None
    instance = msgspec.json.decode(value, type=InstanceValue)
    return InstanceEntry(
        instance=key.removeprefix(INSTANCES_PREFIX),
        availability_zone=instance.zone,
        relay_address=instance.relay,
        coordinator_address=instance.coordinator,
        capacity=instance.capacity,
    )
