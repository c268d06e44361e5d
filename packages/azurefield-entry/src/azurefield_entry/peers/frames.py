"""Frames between entry instances: length-prefixed msgpack arrays ``[type, fields]``."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Struct, field
from result import Err, Ok, Result

from azurefield.configuration import ChangeRecord
from azurefield.membership import InstanceState, KnownInstance

PROTOCOL_VERSION = 1
LENGTH_PREFIX_BYTES = 4
FRAME_BYTES_MAX = 1 << 20
# A peer that has not sent its hello yet can't make this process buffer more than this.
HELLO_BYTES_MAX = 4096
MILLISECONDS_MAX = 3_600_000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MILLISECONDS_MAX)]
Amount = Annotated[float, msgspec.Meta(ge=0)]


class FrameProblem(StrEnum):
    """Why a frame can't be used."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNKNOWN_TYPE = "unknown_type"
    UNEXPECTED = "unexpected"


class FrameError(Struct, kw_only=True, frozen=True):
    """A frame that can't be used; a link that receives one is closed."""

    problem: FrameProblem
    detail: str


class Hello(Struct, kw_only=True, frozen=True):
    """The first frame that each side sends, with its identity and protocol version."""

    instance: Name
    incarnation: Name
    availability_zone: Name
    peer_address: Name
    protocol: int


class HeartbeatFields(Struct, kw_only=True, frozen=True):
    """The state that an instance sends once a second; see ``azurefield.membership.Heartbeat``.

    ``version`` is 0 and ``digest`` empty before a configuration is in force; ``store_age_ms`` is
    the time since the store answered, None if it never did.
    """

    incarnation: Name
    sequence: Count
    peer_address: Name
    availability_zone: Name
    state: InstanceState
    version: Count
    digest: str
    store_age_ms: Count | None
    known: dict[Name, KnownInstance]
    ceilings: dict[Name, Count]
    member_use: dict[Name, dict[Name, Amount]]


class LeavingServerFields(Struct, kw_only=True, frozen=True):
    """A backend server is leaving; ``incarnation`` is None if the source doesn't know it."""

    backend_server: Name
    incarnation: Name | None
    state: Literal["leaving"]
    source: Name
    at_age_ms: Count


class ConfigFetch(Struct, kw_only=True, frozen=True):
    """Requests the configuration in force if it has at least this version."""

    version: Count


class ConfigOffer(Struct, kw_only=True, frozen=True):
    """One part of a configuration.

    ``change`` is set in the first part only; ``more`` says that further parts follow.
    """

    change: ChangeRecord | None
    documents: dict[Name, str]
    more: bool


class ForwardFields(Struct, kw_only=True, frozen=True):
    """A booking for the instance that issued its ticket; ``body`` is JSON of key and payload."""

    call: Name
    request_id: Name
    ticket: Name
    service: Name
    member: Name
    body: bytes
    deadline_ms: Milliseconds


class ForwardResultFields(Struct, kw_only=True, frozen=True):
    """The result of a forwarded booking; ``body`` is JSON of the answer or of the failure."""

    call: Name
    status: Literal["answered", "failed"]
    body: bytes


class Conviction(Struct, kw_only=True, frozen=True):
    """Requests with this fingerprint crash backend servers and are refused for ``ttl_ms``."""

    fingerprint: Name
    ttl_ms: Milliseconds


FrameFields = (
    Hello
    | HeartbeatFields
    | LeavingServerFields
    | ConfigFetch
    | ConfigOffer
    | ForwardFields
    | ForwardResultFields
    | Conviction
)

FRAME_TYPES: dict[str, type[FrameFields]] = {
    "hello": Hello,
    "heartbeat": HeartbeatFields,
    "news": LeavingServerFields,
    "config_fetch": ConfigFetch,
    "config_offer": ConfigOffer,
    "forward": ForwardFields,
    "forwarded": ForwardResultFields,
    "conviction": Conviction,
}
FRAME_DECODER = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
FIELDS_DECODERS = {name: msgspec.msgpack.Decoder(kind) for name, kind in FRAME_TYPES.items()}

Fields = TypeVar("Fields", bound=FrameFields)


class Frame(Struct, kw_only=True, frozen=True):
    """A received frame whose fields were validated."""

    type: str
    fields: FrameFields


def fields_dict(fields: FrameFields) -> dict[str, Any]:
    """Convert the fields to the dictionary that a message between services carries."""
    return dict(msgspec.to_builtins(fields, builtin_types=(bytes,)))


def parse_fields(kind: type[Fields], fields: dict[str, Any]) -> Result[Fields, FrameError]:
    """Validate and convert the fields of a message between services."""
    try:
        return Ok(msgspec.convert(fields, kind, builtin_types=(bytes,)))
    except msgspec.ValidationError as error:
        return Err(FrameError(problem=FrameProblem.MALFORMED, detail=str(error)))


def encode_frame(kind: str, fields: dict[str, Any]) -> Result[bytes, FrameError]:
    """Validate the fields and encode a frame with its length prefix.

    The receiver of an invalid frame closes the link, so such a frame must not be sent.
    """
    if kind not in FRAME_TYPES:
        return Err(FrameError(problem=FrameProblem.UNKNOWN_TYPE, detail=kind))
    checked = parse_fields(FRAME_TYPES[kind], fields)
    if checked.is_err():
        return Err(checked.unwrap_err())
    body = msgspec.msgpack.encode((kind, fields))
    if len(body) > FRAME_BYTES_MAX:
        return Err(FrameError(problem=FrameProblem.OVERSIZED, detail=f"{kind}: {len(body)} bytes"))
    return Ok(len(body).to_bytes(LENGTH_PREFIX_BYTES, "big") + body)


def decode_frame(body: bytes) -> Result[Frame, FrameError]:
    """Decode a frame without its length prefix."""
    try:
        kind, raw = FRAME_DECODER.decode(body)
        if kind not in FIELDS_DECODERS:
            return Err(FrameError(problem=FrameProblem.UNKNOWN_TYPE, detail=kind[:64]))
        return Ok(Frame(type=kind, fields=FIELDS_DECODERS[kind].decode(raw)))
    except (msgspec.MsgspecError, RecursionError) as error:
        return Err(FrameError(problem=FrameProblem.MALFORMED, detail=str(error)[:200]))


class FrameBuffer(Struct, kw_only=True):
    """Splits a stream of bytes into frames; the first one must be a short hello."""

    data: bytearray = field(default_factory=bytearray)
    hello: Hello | None = None

    def feed(self, data: bytes) -> Result[list[Frame], FrameError]:
        """Add received bytes and return the frames that they complete, without the hello."""
        self.data += data
        frames: list[Frame] = []
        while len(self.data) >= LENGTH_PREFIX_BYTES:
            length = int.from_bytes(self.data[:LENGTH_PREFIX_BYTES], "big")
            if length > (HELLO_BYTES_MAX if self.hello is None else FRAME_BYTES_MAX):
                return Err(FrameError(problem=FrameProblem.OVERSIZED, detail=f"{length} bytes"))
            if len(self.data) < LENGTH_PREFIX_BYTES + length:
                break
            body = bytes(self.data[LENGTH_PREFIX_BYTES : LENGTH_PREFIX_BYTES + length])
            del self.data[: LENGTH_PREFIX_BYTES + length]
            match decode_frame(body):
                case Err(error):
                    return Err(error)
                case Ok(frame):
                    pass
            match self.check_order(frame):
                case Err(error):
                    return Err(error)
            if not isinstance(frame.fields, Hello):
                frames.append(frame)
        return Ok(frames)

    def check_order(self, frame: Frame) -> Result[None, FrameError]:
        """Accept a hello only as the first frame and only with the same protocol version."""
        if isinstance(frame.fields, Hello) is (self.hello is not None):
            return Err(FrameError(problem=FrameProblem.UNEXPECTED, detail=frame.type))
        if isinstance(frame.fields, Hello):
            if frame.fields.protocol != PROTOCOL_VERSION:
                detail = f"protocol {frame.fields.protocol}"
                return Err(FrameError(problem=FrameProblem.UNEXPECTED, detail=detail))
            self.hello = frame.fields
        return Ok(None)
