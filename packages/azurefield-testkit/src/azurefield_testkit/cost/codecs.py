"""Processor time, size and memory of encoded messages and documents."""

from __future__ import annotations

import gc
import tracemalloc
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from azurefield.configuration import (
    ChangeRecord,
    decode_configuration,
    digest_of,
    encode,
)
from azurefield.membership import InstanceState
from azurefield.model import even_shard_map
from azurefield_entry.backends.dialect import decode_status
from azurefield_entry.peers.frames import (
    HeartbeatFields,
    decode_frame,
    encode_frame,
    fields_dict,
)
from azurefield_testkit.cost.pure import REPLICAS, known_instances, leaf_names
from azurefield_testkit.cost.rig import backend_server_config, service_config
from azurefield_testkit.cost.timing import Timings

if TYPE_CHECKING:
    from azurefield_testkit.cost.pure import PureSizes
    from azurefield_testkit.cost.series import Series

MEBIBYTE = 1 << 20


def measure_codecs(sizes: PureSizes) -> list[Series]:
    """Measure heartbeats, status reports, service documents and batches of leaf calls."""
    timings = Timings(repetitions=sizes.repetitions)
    for instances in sizes.instances:
        for servers in sizes.servers:
            time_heartbeat(timings, instances=instances, servers=servers)
    for leafs in sizes.leafs:
        time_status(timings, leafs)
    for leafs in sizes.large_leafs:
        time_document(timings, leafs)
    for calls in sizes.batch:
        time_batch(timings, calls)
    return list(timings.series.values())


def time_heartbeat(timings: Timings, *, instances: int, servers: int) -> None:
    """Time the encoding and the decoding of one heartbeat frame.

    The sender encodes a frame once for all its links.
    """
    names = [f"entry-{number}" for number in range(instances)]
    fields = HeartbeatFields(
        incarnation="0123456789abcdef0123456789abcdef",
        sequence=1_000_000,
        peer_address="127.0.0.1:9000",
        availability_zone="zone-a",
        state=InstanceState.LIVE,
        version=1,
        digest="0" * 64,
        store_age_ms=100,
        known=known_instances(names[0], names),
        ceilings={f"service-{number // 9}-leaf-{number % 9}": 6 for number in range(servers)},
        member_use={},
    )
    frame = encode_frame("heartbeat", fields_dict(fields)).unwrap()
    timings.add(f"heartbeat bytes, {servers} servers", "B", "instance", instances, len(frame))
    timings.time(
        f"heartbeat encode, {servers} servers",
        "instance",
        instances,
        lambda: encode_frame("heartbeat", fields_dict(fields)),
    )
    timings.time(
        f"heartbeat decode, {servers} servers",
        "instance",
        instances,
        partial(decode_frame, frame[4:]),
    )


def time_status(timings: Timings, leafs: int) -> None:
    """Time the decoding of a status report, which contains the whole shard map."""
    names = leaf_names(leafs)
    ranges = [
        {"leaf": entry.leaf, "first_slot": entry.first_slot, "last_slot": entry.last_slot}
        for entry in even_shard_map(version=1, leafs=names).ranges
    ]
    body = msgspec.json.encode(
        {
            "server": "s",
            "incarnation": "0123456789abcdef0123456789abcdef",
            "state": "live",
            "load": 0.5,
            "holdings": [{"leaf": names[0], "index_version": 1, "map_version": 1}],
            "maps": [{"version": 1, "ranges": ranges}],
        }
    )
    timings.add("status report bytes", "B", "leaf of the service", leafs, len(body))
    decode = partial(decode_status, body, server="s")
    timings.time("status report decode", "leaf of the service", leafs, decode)


def time_document(timings: Timings, leafs: int) -> None:
    """Time the decoding of the document of one service, and measure its size and memory."""
    servers = [
        backend_server_config(f"leaf-{number}", 12_000, number)
        for number in range(REPLICAS * leafs)
    ]
    text = encode(service_config("service", servers, 1))
    record = ChangeRecord(
        change_id="c",
        operator="cost",
        at="2026-01-01T00:00:00Z",
        version=1,
        previous_change_id=None,
        services={"service": digest_of(text)},
    )
    documents = {digest_of(text): text}
    timings.add("service document bytes", "B", "leaf of the service", leafs, len(text))
    decode = partial(decode_configuration, record, documents)
    timings.time("service document decode", "leaf of the service", leafs, decode)
    memory = memory_of(text, decode)
    timings.add("service document memory", "MiB", "leaf of the service", leafs, memory)


def memory_of(text: str, decode: Any) -> float:
    """Return the memory in MiB of a decoded document and its text; an instance keeps both."""
    gc.collect()
    tracemalloc.start()
    decoded = decode()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert decoded.is_ok()
    return (size + len(text)) / MEBIBYTE


def time_batch(timings: Timings, calls: int) -> None:
    """Time the encoding of a frame with many leaf calls and the decoding of their answers.

    Batches are not implemented. The time is a lower bound on the cost of a batched call for the
    caller.
    """
    requests = [[number, 5, {"group": "north"}, 10] for number in range(calls)]
    answers = [
        [number, [[f"key-{rank}", 0.5, {"group": "north"}] for rank in range(3)]]
        for number in range(calls)
    ]
    frame = msgspec.msgpack.encode(answers)

    def encode_requests_and_decode_answers() -> None:
        msgspec.msgpack.encode(requests)
        msgspec.msgpack.decode(frame)

    timings.time(
        "batch of leaf calls, codecs only", "call", calls, encode_requests_and_decode_answers
    )
