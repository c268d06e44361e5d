"""State of a stand-in backend server: holdings, faults, and the journal of bookings and calls."""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, TextIO

import msgspec

from azurefield.model import ShardMap, Snapshot
from azurefield.snapshot import Holding, ServerState


class NewMap(msgspec.Struct, kw_only=True, frozen=True):
    """A shard map and the leafs that this server holds under it."""

    shard_map: ShardMap
    leafs: tuple[str, ...]


class Control(msgspec.Struct, kw_only=True, frozen=True):
    """A control request that changes the server's behaviour; absent fields change nothing.

    The value of each of the ``ONE_SHOT_FAULTS`` is the number of next calls that it affects. With
    ``frozen`` the server answers nothing until a request sets it to false. A call whose body
    contains ``crash_on`` crashes the server.
    """

    delay_s: float | None = None
    leaf_delays_s: dict[str, float] | None = None
    slowdown: float | None = None
    state: ServerState | None = None
    cold_start_s: float | None = None
    shed: bool | None = None
    frozen: bool | None = None
    add_index_version: int | None = None
    drop_index_version: int | None = None
    add_map: NewMap | None = None
    drop_map: int | None = None
    drop_leaf: str | None = None
    truncate: int | None = None
    other_identity: int | None = None
    late: int | None = None
    late_s: float | None = None
    close_before_reading: int | None = None
    close_after_reading: int | None = None
    close_mid_answer: int | None = None
    crash_on: str | None = None


# Faults that are set to the number of calls that they affect, and then end.
ONE_SHOT_FAULTS = (
    "truncate",
    "other_identity",
    "late",
    "close_before_reading",
    "close_after_reading",
    "close_mid_answer",
)


@dataclass(slots=True, kw_only=True)
class Faults:
    """The faults now in effect; ``remaining`` counts the calls left for each one-shot fault."""

    delay_s: float = 0.0
    leaf_delays_s: dict[str, float] = field(default_factory=dict)
    slowdown: float = 1.0
    cold_start_s: float = 0.0
    cold_since: float = 0.0
    shed: bool = False
    late_s: float = 1.0
    crash_on: str = ""
    remaining: dict[str, int] = field(default_factory=dict)

    def consume(self, name: str) -> bool:
        """Count down a one-shot fault; returns whether it applies to this call."""
        remaining_calls = self.remaining.get(name, 0)
        if remaining_calls > 0:
            self.remaining[name] = remaining_calls - 1
        return remaining_calls > 0

    def apply(self, control: Control, now: float) -> None:
        """Set the faults that a control request contains."""
        for name in ("delay_s", "leaf_delays_s", "slowdown", "shed", "late_s", "crash_on"):
            value = getattr(control, name)
            if value is not None:
                setattr(self, name, value)
        for name in ONE_SHOT_FAULTS:
            value = getattr(control, name)
            if value is not None:
                self.remaining[name] = value
        if control.cold_start_s is not None:
            self.cold_start_s, self.cold_since = control.cold_start_s, now


@dataclass(slots=True, kw_only=True)
class Holdings:
    """The index versions, shard maps and leafs that the server holds.

    ``maps`` and ``leafs`` are keyed by map version; ``leafs`` holds the server's own leafs.
    """

    index_versions: set[int]
    maps: dict[int, ShardMap]
    leafs: dict[int, set[str]]

    def all(self) -> list[Holding]:
        """List every held leaf at every held snapshot."""
        return [
            Holding(leaf=leaf, snapshot=Snapshot(index_version=index, map_version=version))
            for index in sorted(self.index_versions)
            for version, leafs in sorted(self.leafs.items())
            for leaf in sorted(leafs)
        ]

    def refusal_reason(self, holding: Holding) -> str | None:
        """Return the reason why a leaf can't be answered at a snapshot, or None if it can."""
        snapshot = holding.snapshot
        if snapshot.index_version not in self.index_versions:
            return "version_missing"
        if snapshot.map_version not in self.maps:
            return "version_missing"
        if holding.leaf not in self.leafs.get(snapshot.map_version, set()):
            return "wrong_leaf"
        return None

    def apply(self, control: Control) -> None:
        """Add or drop the index versions, shard maps and leafs that a control request contains."""
        if control.add_index_version is not None:
            self.index_versions.add(control.add_index_version)
        if control.drop_index_version is not None:
            self.index_versions.discard(control.drop_index_version)
        if control.add_map is not None:
            version = control.add_map.shard_map.version
            self.maps[version] = control.add_map.shard_map
            self.leafs[version] = set(control.add_map.leafs)
        if control.drop_map is not None:
            self.maps.pop(control.drop_map, None)
            self.leafs.pop(control.drop_map, None)
        if control.drop_leaf is not None:
            for leafs in self.leafs.values():
                leafs.discard(control.drop_leaf)


@dataclass(slots=True, kw_only=True, frozen=True)
class BookingRun:
    """A booking that this server ran; ``at`` is wall-clock time."""

    server: str
    call_id: str
    ticket: str | None
    leaf: str
    at: float
    key: str
    payload: dict[str, Any]


@dataclass(slots=True, kw_only=True, frozen=True)
class CallWhileLeaving:
    """A call that arrived ``after_s`` seconds after the server began to leave."""

    server: str
    call_id: str
    at: float
    after_s: float


@dataclass(slots=True, kw_only=True)
class Counters:
    """Counts of calls since the start, and the calls running and waiting now."""

    calls_run: int = 0
    calls_cancelled: int = 0
    calls_refused: int = 0
    running: int = 0
    waiting: int = 0


@dataclass(slots=True, kw_only=True)
class Journal:
    """The bookings and calls that the checks compare with the results of the callers.

    With a ``path`` each entry is also appended to a file, which survives a crash of the process.
    """

    path: Path | None = None
    bookings: list[BookingRun] = field(default_factory=list)
    calls_while_leaving: list[CallWhileLeaving] = field(default_factory=list)
    leaving_since: float | None = None
    file: TextIO | None = None

    def add_booking(self, entry: BookingRun) -> None:
        """Record a booking at the moment it runs."""
        self.bookings.append(entry)
        self.write("booking", asdict(entry))

    def add_call_while_leaving(self, *, server: str, call_id: str) -> None:
        """Record a call that arrived while the server is leaving."""
        if self.leaving_since is None:
            return
        now = time.time()
        entry = CallWhileLeaving(
            server=server, call_id=call_id, at=now, after_s=now - self.leaving_since
        )
        self.calls_while_leaving.append(entry)
        self.write("call_while_leaving", asdict(entry))

    def set_leaving(self, leaving: bool) -> None:
        """Record when the server began to leave, or that it no longer leaves."""
        if not leaving:
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = time.time()

    def write(self, entry_type: str, entry: dict[str, Any]) -> None:
        """Append one entry to the journal file, if there is one."""
        if self.path is None:
            return
        if self.file is None:
            self.file = self.path.open("a", encoding="utf-8")
        self.file.write(msgspec.json.encode({"type": entry_type, **entry}).decode() + "\n")
        self.file.flush()
