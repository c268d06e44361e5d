"""Typed failures of calls to the platform."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class KeyNotFound:
    """The key-value service answered that the key does not exist."""

    key: str


@dataclass(slots=True, kw_only=True, frozen=True)
class RevisionConflict:
    """A conditional write was refused; ``revision`` is the current one, None for a missing key."""

    key: str
    revision: int | None


@dataclass(slots=True, kw_only=True, frozen=True)
class PlatformUnavailable:
    """The platform did not serve the call; a write was certainly not applied."""

    detail: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ReplyLost:
    """A write was sent but no reply arrived; it may be applied, even after this failure."""

    detail: str


@dataclass(slots=True, kw_only=True, frozen=True)
class MalformedReply:
    """The platform answered a read with a body that its API does not allow."""

    detail: str


@dataclass(slots=True, kw_only=True, frozen=True)
class InvalidCall:
    """The call is invalid or exceeds a limit; a write was not applied."""

    detail: str


ReadFailure = KeyNotFound | PlatformUnavailable | MalformedReply | InvalidCall
WriteFailure = RevisionConflict | PlatformUnavailable | ReplyLost | InvalidCall
ListFailure = PlatformUnavailable | MalformedReply | InvalidCall
