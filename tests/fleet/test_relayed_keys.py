"""Configurations in frames of relays: no keys, and the decisions of the instance that read them."""

from __future__ import annotations

import json
from base64 import b64encode
from dataclasses import dataclass
from hashlib import sha256
from typing import TYPE_CHECKING, Any, cast

import pytest
from result import Err, Ok, Result

from azurefield.routes import RouteTable
from azurefield.workspaces import LeftOutEntries
from azurefield_entry.gateway.messages import StoreReplyReceived
from azurefield_entry.gateway.metadata.relay import RELAY_FRAME, RelayService
from azurefield_entry.gateway.peers.framing import LENGTH_PREFIX_BYTES, decode_frame, encode
from azurefield_fleet.store import StoreHttp
from azurefield_platform.http import PlatformHttp, Reply
from secret_forms import shows_part
from standins import config, route

if TYPE_CHECKING:
    from aiohttp import ClientSession

    from azurefield_entry.gateway.ports import Changes

KEY_1, KEY_2, KEY_3 = "Kx7qPz2mWv9tRb4n", "Jh3sDf8gLc5yNe6u", "Qa1zXs2wEd3cVf4r"
SECRETS = (KEY_1, KEY_2, KEY_3)
REVISION = 8


@dataclass(slots=True, kw_only=True)
class FakeHttp:
    """Answers each call with the same body."""

    body: bytes

    async def read(
        self, path: str, *, extra_s: float = 0.0  # noqa: ARG002
    ) -> Result[Reply, object]:
        return Ok(Reply(status=200, body=self.body))


def store_reply(value: str | None, key: str = "op/config") -> bytes:
    """Return the store's reply to a watch with one change."""
    event = {"key": key, "value": value, "revision": REVISION, "created": 2, "lease": 0}
    return json.dumps({"events": [event], "store_revision": REVISION}).encode()


def with_tenants(tenants: object, **fields: object) -> dict[str, object]:
    entry = config(9, route("r", "/r/", service="desk"), services=("desk",))
    return entry | {"tenants": tenants} | fields


def to_base64(value: object) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    return b64encode(text.encode()).decode()


def tenant(name: str, *keys: str) -> dict[str, object]:
    return {"name": name, "api_keys": list(keys), "priority": 1, "rate_per_s": 5, "burst": 7}


async def watched(body: bytes) -> Changes:
    """Return the changes that an instance reads from a reply of the store."""
    store = StoreHttp(address="192.0.2.1:1", session=cast("ClientSession", None))
    store.http = cast("PlatformHttp", FakeHttp(body=body))
    return (await store.watch(7, 1.0)).unwrap()


def relayed(changes: Changes) -> tuple[bytes, Changes]:
    """Return a real frame of a relay, and the changes that its followers decode."""
    relay = RelayService(address="192.0.2.1:2")
    relay.forward_reply(
        StoreReplyReceived(after=7, revision=changes.revision, encoded=changes.encoded)
    )
    sent = encode(relay.history[0])
    frame = decode_frame(sent[LENGTH_PREFIX_BYTES:], RELAY_FRAME)
    store = StoreHttp(address="192.0.2.1:1", session=cast("ClientSession", None))
    return sent, store.decode_changes(frame.encoded).unwrap()


def only_table(changes: Changes) -> RouteTable:
    (table,) = changes.items
    assert isinstance(table, RouteTable)
    return table


def assert_shows_no_key(data: bytes) -> None:
    assert not any(shows_part(data, secret) for secret in SECRETS)


@pytest.mark.parametrize(
    "form",
    [KEY_1, json.dumps(KEY_1), to_base64(f"x{KEY_1}"), to_base64(f"xy{KEY_1}"), KEY_1[3:9]],
)
def test_the_search_for_keys_finds_each_form(form: str) -> None:
    """Guards against a search that finds nothing."""
    assert shows_part(f"before {form} after".encode(), KEY_1)


TABLES = [
    pytest.param([tenant("w1", KEY_1, KEY_2)], {KEY_1: "w1", KEY_2: "w1"}, {}, id="two-keys"),
    pytest.param([tenant("w1", KEY_1, KEY_1)], {KEY_1: "w1"}, {}, id="key-twice"),
    pytest.param(
        [tenant("w1", KEY_1, KEY_2), tenant("w2", KEY_1, KEY_3)],
        {KEY_1: None, KEY_2: "w1", KEY_3: "w2"},
        {"shared_keys": 1},
        id="key-at-two",
    ),
    pytest.param(
        [tenant("w1", "", f" {KEY_1}", f"{KEY_2}\r\n", f"k\u00e9{KEY_3}")],
        {"": None, f" {KEY_1}": None, f"{KEY_2}\r\n": None, f"k\u00e9{KEY_3}": None, KEY_1: None},
        {"unusable_keys": 4},
        id="keys-that-no-header-carries",
    ),
    pytest.param(
        [tenant("w1", f" {KEY_1}"), tenant("w2", f" {KEY_1}", KEY_2)],
        {f" {KEY_1}": None, KEY_2: "w2"},
        {"unusable_keys": 1},
        id="unusable-key-at-two",
    ),
    pytest.param(
        [tenant("", KEY_1), tenant("w2", KEY_1, KEY_2), tenant("w3"), {"name": "w4"}],
        {KEY_1: None, KEY_2: "w2"},
        {"workspaces": 1, "shared_keys": 1},
        id="key-shared-with-an-unusable-workspace",
    ),
    pytest.param(
        [tenant("w1", KEY_1), tenant("w1", KEY_2), tenant("w2", KEY_3)],
        {KEY_1: None, KEY_2: None, KEY_3: "w2"},
        {"workspaces": 2},
        id="name-twice",
    ),
    pytest.param([], {KEY_1: None}, {}, id="empty-list"),
    pytest.param(None, {}, {}, id="no-workspaces"),
]


@pytest.mark.parametrize(("tenants", "expected", "left_out"), TABLES)
async def test_a_follower_decides_as_the_instance_that_read_the_store(
    tenants: Any, expected: dict[str, str | None], left_out: dict[str, int]
) -> None:
    """Guards against keys in frames, and a follower that admits other callers than its relay."""
    read = await watched(store_reply(to_base64(with_tenants(tenants, new_field=[1, {"a": "b"}]))))
    frame, followed = relayed(read)
    assert_shows_no_key(frame)
    # A second relay passes on what the first one sent.
    assert relayed(followed)[0] == frame
    assert followed == read
    workspaces = only_table(followed).workspaces
    if tenants is None:
        assert workspaces is None
        return
    assert workspaces is not None
    found = {key: workspaces.find(key) for key in expected}
    assert {key: one and one.name for key, one in found.items()} == expected
    assert workspaces.left_out == LeftOutEntries(**left_out)
    for key in expected:
        digest = sha256(key.encode()).digest()
        for sent in (digest.hex(), b64encode(digest).decode(), digest.decode("latin-1")):
            assert workspaces.find(sent) is None


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(with_tenants([tenant("w1", KEY_1) | {"api_keys": KEY_1}]), id="one-key"),
        pytest.param(with_tenants([tenant("w1") | {"api_keys": [KEY_1, 5]}]), id="number"),
        pytest.param(with_tenants([tenant("w1") | {"api_keys": {KEY_1: KEY_2}}]), id="object"),
        pytest.param(with_tenants([tenant("w1") | {"api_keys": [[KEY_1]]}]), id="nested"),
        pytest.param(with_tenants({KEY_1: KEY_2}), id="workspaces-as-object"),
        pytest.param(with_tenants([KEY_1]), id="workspaces-as-keys"),
        pytest.param(with_tenants([tenant("w1", KEY_1)], version="x"), id="version"),
        pytest.param([with_tenants([tenant("w1", KEY_1)])], id="list"),
        pytest.param(json.dumps(with_tenants([tenant("w1", KEY_1)]))[:-1], id="cut"),
        pytest.param('{"tenants": ' + "[" * 5000 + f'"{KEY_1}"', id="deep"),
        pytest.param(f'{{"tenants": ["{KEY_1}"], "tenants": []}}', id="field-twice"),
    ],
)
async def test_an_unreadable_configuration_is_ignored_and_shows_no_key(value: object) -> None:
    """Guards against keys that reach a frame because they were not found."""
    read = await watched(store_reply(to_base64(value)))
    frame, followed = relayed(read)
    assert_shows_no_key(frame)
    assert read.items == followed.items == ()
    assert followed.revision == REVISION


async def test_a_value_that_is_no_base64_is_ignored_and_not_passed_on() -> None:
    """Guards against a configuration written without its encoding, whose keys are plain."""
    read = await watched(store_reply(json.dumps(with_tenants([tenant("w1", KEY_1)]))))
    frame, followed = relayed(read)
    assert_shows_no_key(frame)
    assert read.items == followed.items == ()


async def test_a_relay_of_an_earlier_version_is_followed_and_its_keys_are_not_passed_on() -> None:
    """Guards against keys in the frames of a relay that follows one that sends keys."""
    body = store_reply(to_base64(with_tenants([tenant("w1", KEY_1)])))
    store = StoreHttp(address="192.0.2.1:1", session=cast("ClientSession", None))
    followed = store.decode_changes(body).unwrap()
    frame, second = relayed(followed)
    assert_shows_no_key(frame)
    for changes in (followed, second):
        workspaces = only_table(changes).workspaces
        assert workspaces is not None
        assert workspaces.find(KEY_1) is not None


async def test_keys_and_digests_are_never_taken_for_each_other() -> None:
    """Guards against a digest that admits callers because its form says that it is a key's."""
    entry = with_tenants([tenant("w1", KEY_1)])
    sent = (await watched(store_reply(to_base64(entry)))).encoded
    (event,) = json.loads(sent)["events"]
    # In the store's reply, the form of a frame can't be read.
    store = StoreHttp(address="192.0.2.1:1", session=cast("ClientSession", None))
    store.http = cast("PlatformHttp", FakeHttp(body=sent))
    assert isinstance(await store.watch(7, 1.0), Err)
    # Neither can a configuration that the operator has written in that form.
    assert (await watched(store_reply(to_base64(event["value"])))).items == ()
    # In a frame, a key counts neither as itself nor as a digest.
    event["value"]["tenants"][0]["api_keys"] = [KEY_1]
    forged = json.dumps({"events": [event], "store_revision": REVISION}).encode()
    assert store.decode_changes(forged).unwrap().items == ()
