"""Keys and workspaces of callers, with real gateway processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from azurefield.store_position import StorePosition
from azurefield_entry.gateway.metadata.relay import open_relay
from azurefield_testkit.waiting import wait_until
from gateway_process import Site, serving, serving_fleet
from secret_forms import PART_LENGTH, shows_part
from standins import config, route

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process

KEYS = {"w1": "Kx7qPz2mWv9tRb4n", "w2": "Jh3sDf8gLc5yNe6u"}
NEW_KEY = "Qa1zXs2wEd3cVf4r"
FORGED = "Ut6iOp7kMj8hBg5v"
# Fewer than the slots of a leaf for each of three instances, so that the fleet needs coordinators.
CONNECTIONS_MAX = 8


def put_workspaces(
    site: Site, version: int, keys: dict[str, list[str]], *, connections_max: int = 30
) -> None:
    """Write a configuration with workspaces, one public route and three that need a key."""
    routes = (
        route("listing", "/l/", gather=["a", "b"], top_k=1, min_coverage=0.5),
        route("single", "/s/", service="desk"),
        route("order", "/o/", service="desk", route_type="unsafe"),
        route("open", "/p/", service="desk", public=True),
    )
    services = ("a", "b", "desk")
    entry = config(version, *routes, services=services, connections_max=connections_max)
    tenants = [{"name": name, "api_keys": held, "priority": 0} for name, held in keys.items()]
    site.store.put("op/config", entry | {"tenants": tenants})


async def use_workspaces(site: Site, version: int, keys: dict[str, list[str]]) -> None:
    """Write a configuration with workspaces and wait until it is in force."""
    put_workspaces(site, version, keys)
    await site.wait_for_log(f"Configuration version {version} is in force")


async def status_of(site: Site, path: str, request_id: str, key: str | None = None) -> int:
    """Send a request that also names a workspace itself; return the status of its answer."""
    sent = {"Tenant-Id": FORGED} | ({} if key is None else {"Credential": key})
    method = "POST" if path.startswith("/o/") else "GET"
    status, headers, body = await site.call(path, request_id, method, further_headers=sent)
    assert not shows_secret(f"{headers} {body!r}")
    return status


def shows_secret(text: str) -> bool:
    """Whether a text contains a part of a key or of a forged name."""
    secrets = (*KEYS.values(), NEW_KEY, FORGED)
    return any(
        secret[at : at + PART_LENGTH] in text
        for secret in secrets
        for at in range(len(secret) - PART_LENGTH + 1)
    )


def received(site: Site, request_id: str) -> list[dict[str, str]]:
    """Return the requests with an id that leafs have received."""
    return [
        request
        for leaf in site.leafs.values()
        for request in leaf.requests
        if request["Request-Id"] == request_id
    ]


def workspaces_received(site: Site, request_id: str) -> set[str | None]:
    """Return the workspaces that leafs were told with a request's calls."""
    named = [
        {name.lower(): value for name, value in request.items()}
        for request in received(site, request_id)
    ]
    return {request.get("tenant-id") for request in named}


async def relayed(site: Site, after: int) -> bytes:
    """Return what followers of an instance get about the changes after a revision."""
    position = StorePosition(revision=after, era=site.store.era)
    link = (await open_relay(f"127.0.0.1:{site.first_port}", position)).unwrap()
    received = b""
    revision = after
    while revision < site.store.revision:
        frame = (await link.receive()).unwrap()
        received += frame.encoded
        revision = frame.revision
    link.close()
    return received


async def assert_nothing_shows_a_secret(*sites: Site) -> None:
    """Look for keys and forged names in the logs, the metrics and the leafs' requests."""
    for site in sites:
        assert site.process is not None
        assert not shows_secret("\n".join(site.process.output))
        assert not shows_secret(await site.metrics())
    assert not shows_secret(str([leaf.requests for leaf in sites[0].leafs.values()]))


async def test_leafs_learn_the_workspace_of_the_key_and_nothing_else(tmp_path: Path) -> None:
    """Guards against keys that are passed on or shown, and callers who choose their workspace."""
    async with serving(tmp_path) as site:
        await use_workspaces(site, 2, {name: [key] for name, key in KEYS.items()})
        for name, key in KEYS.items():
            for path in ("/s/x", "/l/x", "/o/x"):
                request_id = f"{name}{path}"
                assert await status_of(site, path, request_id, key) == 200
                assert workspaces_received(site, request_id) == {name}
                assert f" workspace={name} " in await site.wait_for_line_of(request_id)
        refused = (None, "", NEW_KEY, KEYS["w1"][:-1], "w1", "kéy", "k y")
        for number, unknown in enumerate(refused):
            assert await status_of(site, "/s/x", f"refused{number}", unknown) == 401
            assert not received(site, f"refused{number}")
            assert await status_of(site, "/p/x", f"open{number}", unknown) == 200
            assert workspaces_received(site, f"open{number}") == {None}
        assert await status_of(site, "/p/x", "open-with-key", KEYS["w1"]) == 200
        assert workspaces_received(site, "open-with-key") == {None}
        assert await status_of(site, "/zzz/x", "no-route", NEW_KEY) == 404
        assert 'key_lookups_total{result="unknown"} 5.0' in await site.metrics()
        counted = 'workspace_requests_total{result="served",workspace="w1"} 3.0'
        assert counted in await site.metrics()
        await assert_nothing_shows_a_secret(site)


async def test_a_resend_and_a_head_that_can_t_be_read_show_no_key(tmp_path: Path) -> None:
    """Guards against the paths of failures, which log and answer more than the usual one."""
    async with serving(tmp_path) as site:
        await use_workspaces(site, 2, {"w1": [KEYS["w1"]]})
        for behaviour, statuses in (("shed", {503}), ("reset", {502}), ("error", {500})):
            site.leafs["d1"].behaviour = behaviour
            assert await status_of(site, "/s/x", behaviour, KEYS["w1"]) in statuses
            assert workspaces_received(site, behaviour) == {"w1"}
        # The budget of further calls grows with the requests.
        for number in range(20):
            assert await status_of(site, "/l/x", f"first{number}", KEYS["w1"]) == 200
        site.leafs["a1"].behaviour = site.leafs["b1"].behaviour = "error"
        sent: list[str] = []

        async def sent_again() -> bool:
            sent.append(f"again{len(sent)}")
            await status_of(site, "/l/x", sent[-1], KEYS["w1"])
            assert workspaces_received(site, sent[-1]) == {"w1"}
            return len(received(site, sent[-1])) > len(("a", "b"))

        await wait_until(sent_again, "a call is repeated on another leaf")
        host, _, port = site.callers.rpartition(":")
        for bad in ("no colon", "X: \x01", "Content-Length: x", "Request-Id: \xff"):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"GET /s/x HTTP/1.1\r\nHost: a.example\r\nCredential: {KEYS['w1']}\r\n{bad}\r\n"
            writer.write(f"{head}\r\n".encode("latin-1"))
            answer = await asyncio.wait_for(reader.read(65_536), 10.0)
            assert b" 400 " in answer.split(b"\r\n")[0]
            assert not shows_secret(answer.decode("latin-1"))
            writer.close()
        await assert_nothing_shows_a_secret(site)


async def test_keys_come_and_go_by_version_on_an_open_connection(tmp_path: Path) -> None:
    """Guards against an identity that is kept with a connection, or a removed key that works."""
    async with serving(tmp_path) as site:
        await use_workspaces(site, 2, {"w1": [KEYS["w1"]]})
        assert await status_of(site, "/s/x", "before", KEYS["w1"]) == 200
        assert await status_of(site, "/s/x", "too-early", NEW_KEY) == 401
        await use_workspaces(site, 3, {"w1": [NEW_KEY], "w2": [KEYS["w2"], KEYS["w2"]]})
        assert await status_of(site, "/s/x", "removed", KEYS["w1"]) == 401
        assert await status_of(site, "/s/x", "added", NEW_KEY) == 200
        assert workspaces_received(site, "added") == {"w1"}
        await use_workspaces(site, 4, {"w1": [NEW_KEY], "w2": [NEW_KEY, KEYS["w2"], ""]})
        assert await status_of(site, "/s/x", "shared", NEW_KEY) == 401
        assert await status_of(site, "/s/x", "own", KEYS["w2"]) == 200
        await site.wait_for_log("shared_keys=1")
        site.store.put("op/config", {"version": 5, "tenants": [{"api_keys": [NEW_KEY]}]})
        await site.wait_for_log("Ignoring an unreadable entry of the store")
        assert await status_of(site, "/s/x", "kept", KEYS["w2"]) == 200
        site.store.down = True

        async def refused_as_stale() -> bool:
            return await status_of(site, "/s/x", "stale", NEW_KEY) == 503

        await wait_until(refused_as_stale, "an unknown key may be new")
        assert await status_of(site, "/s/x", "known", KEYS["w2"]) == 200
        await assert_nothing_shows_a_secret(site)


async def test_a_coordinator_runs_requests_for_the_workspace_of_the_key(tmp_path: Path) -> None:
    """Guards against a forwarded request that loses its workspace or takes its key along."""
    cores = {"n1": 4.0, "n2": 4.0, "n3": 1.0}
    async with serving_fleet(tmp_path, cores, connections_max=CONNECTIONS_MAX) as sites:
        weak = sites["n3"]
        keys = {name: [key] for name, key in KEYS.items()}
        put_workspaces(weak, 2, keys, connections_max=CONNECTIONS_MAX)
        for site in sites.values():
            await site.wait_for_log("Configuration version 2 is in force")

        async def forwards() -> bool:
            assert weak.process is not None
            assert await status_of(weak, "/l/x", "probe", KEYS["w1"]) == 200
            return any("forwarded_to=n" in line for line in weak.process.output)

        await wait_until(forwards, "n3 knows the coordinators")
        for name, key in KEYS.items():
            assert await status_of(weak, "/l/x", f"q-{name}", key) == 200
            assert workspaces_received(weak, f"q-{name}") == {name}
            assert "forwarded_to=n" in await weak.wait_for_line_of(f"q-{name}")
        assert await status_of(weak, "/l/x", "unknown", NEW_KEY) == 401
        before = weak.store.revision
        # Versions follow one another while requests are forwarded between the instances.
        for version in range(3, 9):
            put_workspaces(weak, version, keys, connections_max=CONNECTIONS_MAX)
            for number in range(10):
                request_id = f"v{version}-{number}"
                assert await status_of(weak, "/l/x", request_id, KEYS["w2"]) == 200
                assert workspaces_received(weak, request_id) == {"w2"}
        await assert_nothing_shows_a_secret(*sites.values())
        frames = await relayed(weak, before)
        assert b"op/config" in frames
        assert not any(shows_part(frames, key) for key in KEYS.values())
