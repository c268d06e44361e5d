from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from azurefield_entry.peers.frames import (
    FRAME_BYTES_MAX,
    HELLO_BYTES_MAX,
    Conviction,
    ForwardFields,
    FrameBuffer,
    FrameProblem,
    decode_frame,
    encode_frame,
    fields_dict,
    parse_fields,
)

HELLO = {
    "instance": "a",
    "incarnation": "01",
    "availability_zone": "z",
    "peer_address": "127.0.0.1:1",
    "protocol": 1,
}
CONVICTION = {"fingerprint": "f", "ttl_ms": 60_000}
FORWARD = {
    "call": "c",
    "request_id": "r",
    "ticket": "t",
    "service": "s",
    "member": "m",
    "body": b"{}",
    "deadline_ms": 100,
}
HELLO_FRAME = encode_frame("hello", HELLO).unwrap()
CONVICTION_AND_FORWARD_FRAMES = (
    encode_frame("conviction", CONVICTION).unwrap() + encode_frame("forward", FORWARD).unwrap()
)


def encode_raw_frame(value: object) -> bytes:
    body = msgspec.msgpack.encode(value)
    return len(body).to_bytes(4, "big") + body


@pytest.mark.parametrize(
    ("data", "problem"),
    [
        (encode_raw_frame(["hello", {**HELLO, "protocol": 2}]), FrameProblem.UNEXPECTED),
        (CONVICTION_AND_FORWARD_FRAMES, FrameProblem.UNEXPECTED),
        (HELLO_FRAME + HELLO_FRAME, FrameProblem.UNEXPECTED),
        ((HELLO_BYTES_MAX + 1).to_bytes(4, "big"), FrameProblem.OVERSIZED),
        (HELLO_FRAME + (FRAME_BYTES_MAX + 1).to_bytes(4, "big"), FrameProblem.OVERSIZED),
        (HELLO_FRAME + encode_raw_frame(["gossip", {}]), FrameProblem.UNKNOWN_TYPE),
        (
            HELLO_FRAME + encode_raw_frame(["conviction", {"fingerprint": "f"}]),
            FrameProblem.MALFORMED,
        ),
        (
            HELLO_FRAME + encode_raw_frame(["conviction", {**CONVICTION, "ttl_ms": "1"}]),
            FrameProblem.MALFORMED,
        ),
        (
            HELLO_FRAME + encode_raw_frame(["conviction", {**CONVICTION, "ttl_ms": -1}]),
            FrameProblem.MALFORMED,
        ),
        (HELLO_FRAME + encode_raw_frame(["conviction"]), FrameProblem.MALFORMED),
        (HELLO_FRAME + b"\0\0\0\0", FrameProblem.MALFORMED),
        (HELLO_FRAME + b"\0\0\0\1\xc1", FrameProblem.MALFORMED),
        (
            HELLO_FRAME + FRAME_BYTES_MAX.to_bytes(4, "big") + b"\x91" * FRAME_BYTES_MAX,
            FrameProblem.MALFORMED,
        ),
    ],
    ids=[
        "other-protocol",
        "no-hello",
        "two-hellos",
        "long-hello",
        "long-frame",
        "unknown-type",
        "field-missing",
        "wrong-field-type",
        "out-of-range",
        "no-fields",
        "empty",
        "not-msgpack",
        "deeply-nested",
    ],
)
def test_a_frame_that_can_not_be_used_is_a_typed_error(data: bytes, problem: FrameProblem) -> None:
    """Guards against an exception or unbounded memory caused by a faulty or hostile peer."""
    result = FrameBuffer().feed(data)
    assert result.is_err()
    assert result.unwrap_err().problem is problem


@given(cuts=st.lists(st.integers(1, 40), max_size=20))
def test_frames_are_the_same_however_the_stream_is_cut(cuts: list[int]) -> None:
    """Guards against a frame that is lost or split where one read ends and the next begins."""
    buffer, frames, rest = FrameBuffer(), [], HELLO_FRAME + CONVICTION_AND_FORWARD_FRAMES
    for cut in [*cuts, len(rest)]:
        frames += buffer.feed(rest[:cut]).unwrap()
        rest = rest[cut:]
    assert [frame.fields for frame in frames] == [
        msgspec.convert(CONVICTION, Conviction),
        msgspec.convert(FORWARD, ForwardFields),
    ]
    assert buffer.hello is not None
    assert not buffer.data


@pytest.mark.prove
@settings(max_examples=1000, deadline=None)
@given(data=st.data())
def test_corrupted_bytes_give_a_typed_error_or_frames_with_valid_fields(
    data: st.DataObject,
) -> None:
    """Guards against an exception, and against an invalid frame that reaches a service.

    Random changes to a valid stream must give a typed error or frames whose fields are valid.
    """
    stream = bytearray(HELLO_FRAME + CONVICTION_AND_FORWARD_FRAMES)
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, len(stream) - 1))
        stream[position : position + data.draw(st.integers(0, 3))] = data.draw(
            st.binary(max_size=3)
        )
    for sample in (bytes(stream), HELLO_FRAME + data.draw(st.binary(max_size=60))):
        match FrameBuffer().feed(sample):
            case Ok(frames):
                for frame in frames:
                    fields = fields_dict(frame.fields)
                    assert parse_fields(type(frame.fields), fields) == Ok(frame.fields)
            case Err(error):
                assert isinstance(error.problem, FrameProblem)
    decode_frame(data.draw(st.binary(max_size=60)))


def test_a_frame_over_the_limit_is_not_sent() -> None:
    """Guards against a sent frame that is too large, for which the peer would close the link."""
    result = encode_frame("forward", {**FORWARD, "body": bytes(FRAME_BYTES_MAX)})
    assert result.unwrap_err().problem is FrameProblem.OVERSIZED
