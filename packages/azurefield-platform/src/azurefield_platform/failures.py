"""Typed failures of calls to the platform."""

from __future__ import annotations

from msgspec import Struct


class KeyNotFound(Struct, kw_only=True, frozen=True):
    """The key-value service answered that the key does not exist."""

    key: str


class RevisionConflict(Struct, kw_only=True, frozen=True):
    """A conditional write was refused; ``revision`` is the current one, None for a missing key."""

    key: str
    revision: int | None


class PlatformUnavailable(Struct, kw_only=True, frozen=True):
    """The platform did not serve the call; a write was certainly not applied."""

    detail: str


class ReplyLost(Struct, kw_only=True, frozen=True):
    """A write was sent but no reply arrived; it may be applied, even after this failure."""

    detail: str


class MalformedReply(Struct, kw_only=True, frozen=True):
    """The platform answered a read with a body that its API does not allow."""

    detail: str


class InvalidCall(Struct, kw_only=True, frozen=True):
    """The call is invalid or exceeds a limit; a write was not applied."""

    detail: str


ReadFailure = KeyNotFound | PlatformUnavailable | MalformedReply | InvalidCall
WriteFailure = RevisionConflict | PlatformUnavailable | ReplyLost | InvalidCall
ListFailure = PlatformUnavailable | MalformedReply | InvalidCall
