"""The gateway's program as a process, with stand-ins of the store and of leafs."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
from typing import TYPE_CHECKING

import aiohttp
import pytest

from azurefield_testkit.waiting import wait_until
from gateway_process import Site, gateway_command, serving
from standins import StoreStandIn, config, route, running

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process

EXIT_BAD_SETTINGS = 78
# A caller's pause that lies within the time for a planned stop, but beyond its time for new
# requests.
PAUSE_S = 3.5


async def test_each_kind_of_route_is_answered(tmp_path: Path) -> None:
    """Guards against a kind of route that the whole program does not serve."""
    async with serving(tmp_path) as site:
        status, headers, body = await site.call("/l/x", "q1")
        assert (status, headers["Missing-Shards"]) == (200, "0")
        assert body in (b"b1" * 8, b"b2" * 8)
        assert len(headers["Partial-Stamps"].split(",")) == 2
        status, headers, body = await site.call("/s/x?y=%2f", "q2")
        assert (status, body) == (200, b"d1" * 8)
        assert headers["Response-Signature"] == "proof-d1-q2"
        assert site.leafs["d1"].requests[-1]["target"] == "/s/x?y=%2f"
        status, _, _ = await site.call("/o/x", "q3", "POST")
        assert (status, site.leafs["d1"].bodies[-1]) == (200, b"x")
        assert (await site.call("/zzz/x", "q4"))[0] == 404
        assert site.session is not None
        async with site.session.get(f"http://{site.admin}/metrics") as answer:
            text = await answer.text()
        assert 'azurefield_gateway_leaf_calls_total{result="200"}' in text


async def test_a_request_that_may_not_be_repeated_is_not_called_not_run(tmp_path: Path) -> None:
    """Guards against a 503 for a request whose answer was lost after it was sent."""
    async with serving(tmp_path) as site:
        site.leafs["d1"].behaviour = "reset"
        status, _, _ = await site.call("/o/x", "q1", "POST")
        assert status == 502
        assert len(site.leafs["d1"].requests) == 1
        site.leafs["d1"].behaviour = "shed"
        status, headers, _ = await site.call("/o/x", "q2", "POST")
        assert status == 503
        assert float(headers["Retry-After"]) > 0.0


async def test_three_kinds_of_failed_request_are_explained_by_the_log(tmp_path: Path) -> None:
    """Guards against a failure whose cause on-call engineers can't find by the request id."""
    async with serving(tmp_path) as site:
        site.leafs["d1"].behaviour = "hang"
        assert (await site.call("/s/x", "late", deadline_ms=300))[0] == 504
        line = await site.wait_for_line_of("late")
        assert "route=single version=1" in line
        assert re.search(r"store_age_ms=\d+", line)
        assert "deadline-exceeded outcome=may_have_run" in line
        assert "desk: timeout" in line
        for name in ("a1", "a2", "b1", "b2"):
            site.leafs[name].behaviour = "shed"
        assert (await site.call("/l/x", "full", deadline_ms=300))[0] == 503
        line = await site.wait_for_line_of("full")
        assert "outcome=not_run" in line
        assert re.search(r"calls=.*a[12]:shedding:\d+", line)
        assert (await site.call("/n/x", "none"))[0] == 503
        line = await site.wait_for_line_of("none")
        assert "none: no_server" in line


async def test_changes_of_the_store_take_effect(tmp_path: Path) -> None:
    """Guards against requests that use an old configuration or reach leafs that are leaving."""
    async with serving(tmp_path) as site:
        site.store.put("servers/a1", site.leafs["a1"].entry(state="draining"))
        site.store.put("servers/b1", b"rubbish")
        site.put_config(2, gather=["a"], min_coverage=1.0)
        await site.wait_for_log("Configuration version 2 is in force")
        await site.wait_for_log("Server a1 is leaving")
        before = len(site.leafs["a1"].requests)
        for number in range(10):
            status, headers, _ = await site.call("/l/x", f"q{number}")
            assert status == 200
            assert headers["Partial-Stamps"].startswith("proof-a2-")
        assert len(site.leafs["a1"].requests) == before
        site.put_config(1)
        site.store.forget_history()
        site.put_config(3)
        await site.wait_for_log("Configuration version 3 is in force")


DEEPLY_NESTED = b"[" * 100_000 + b"]" * 100_000
ODD_ENTRIES = {
    "nested": DEEPLY_NESTED,
    "nested-field": b'{"more": ' + DEEPLY_NESTED + b"}",
    "huge-number": b'{"capacity": 1' + b"0" * 5_000 + b"}",
    "huge-exponent": b'{"warmup_left_ms": 1e999999}',
    "no-json": b"\xff\x00",
    "empty": b"",
}

ODD_FIELDS: tuple[tuple[str, object], ...] = (
    ("address", "127.0.0.1:99999"),
    ("address", "127.0.0.1:0"),
    ("sequence", 10**400),
    ("warmup_left_ms", 1e308),
    ("born", -(10**400)),
)


async def test_odd_entries_of_another_writer_change_nothing(tmp_path: Path) -> None:
    """Guards against an entry that ends the process or stops it from following the store."""
    async with serving(tmp_path) as site:
        odd = ODD_ENTRIES | {
            f"{name}-{value}"[:20]: json.dumps(site.leafs["a1"].entry(**{name: value})).encode()
            for name, value in ODD_FIELDS
        }
        for name, value in odd.items():
            site.store.put(f"servers/odd-{name}", value)
            site.store.put(f"azurefield/crashes/{name}", value)
            site.store.put(f"azurefield/crashes/{name}/ended/1", value)
        site.put_config(2)
        await site.wait_for_log("Configuration version 2 is in force")
        site.store.forget_history()
        site.put_config(3)
        await site.wait_for_log("Configuration version 3 is in force")
        for number in range(10):
            assert (await site.call("/l/x", f"q{number}"))[0] == 200
        assert site.process is not None
        assert site.process.running


async def test_an_outage_of_the_store_changes_nothing_for_callers(tmp_path: Path) -> None:
    """Guards against an outage of the store that removes servers or routes."""
    async with serving(tmp_path) as site:
        site.store.down = True
        await site.wait_for_log("A call to the store failed")
        assert (await site.call("/l/x", "q1"))[0] == 200
        for name in site.leafs:
            site.store.remove(f"servers/{name}")
        site.store.down = False
        await site.wait_for_log("The store answers again")
        assert (await site.call("/l/x", "q2"))[0] == 200
        for name, leaf in site.leafs.items():
            site.store.put(f"servers/{name}", leaf.entry())
        assert (await site.call("/l/x", "q3"))[0] == 200


async def test_a_planned_stop_finishes_what_runs_and_exits_with_0(tmp_path: Path) -> None:
    """Guards against a planned stop that aborts running requests."""
    async with serving(tmp_path) as site:
        assert site.process is not None
        site.leafs["d1"].behaviour = "slow"
        waiting = asyncio.create_task(site.call("/s/x", "q1"))
        await wait_until(lambda: bool(site.leafs["d1"].requests), "the leaf has the request")
        site.process.send_signal(signal.SIGTERM)
        assert (await waiting)[0] == 200
        await site.wait_for_log("Draining")
        assert not await site.ready()
        status, headers, _ = await site.call("/s/x", "q2")
        assert (status, headers["Connection"]) == (200, "close")
        assert await site.process.wait() == 0


async def test_a_caller_that_leaves_ends_its_calls(tmp_path: Path) -> None:
    """Guards against leafs that keep working for callers that have disconnected."""
    async with serving(tmp_path) as site:
        site.leafs["d1"].behaviour = "hang"
        waiting = asyncio.create_task(site.call("/s/x", "q1"))
        await wait_until(lambda: bool(site.leafs["d1"].requests), "the leaf has the request")
        waiting.cancel()
        await wait_until(lambda: site.leafs["d1"].cancelled == 1, "the leaf's work is cancelled")


async def test_settings_are_loaded_again_on_a_signal(tmp_path: Path) -> None:
    """Guards against a process that keeps the old store address or ends on invalid settings."""
    async with serving(tmp_path) as site:
        assert site.process is not None
        site.write_settings("rubbish")
        site.process.send_signal(signal.SIGHUP)
        await site.wait_for_log("keeping the previous settings")
        other = StoreStandIn(revision=site.store.revision, items=dict(site.store.items))
        async with running(other):
            site.store.down = True
            text = site.settings().replace(site.store.address, other.address)
            site.write_settings(text)
            site.process.send_signal(signal.SIGHUP)
            await site.wait_for_log("The settings have changed")
            await wait_until(lambda: "/kv-watch" in other.calls, "the new store is watched")


async def test_a_signal_while_the_process_starts_does_not_end_it(tmp_path: Path) -> None:
    """Guards against a SIGHUP that ends a process that has just been started."""
    site = Site(directory=tmp_path)
    async with running(site.store), aiohttp.ClientSession() as session:
        site.session = session
        site.put_config()
        await site.start()
        assert site.process is not None
        host, _, port = site.callers.rpartition(":")

        async def listens() -> bool:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                return False
            writer.close()
            return True

        async def ready_despite_signals() -> bool:
            assert site.process is not None
            site.process.send_signal(signal.SIGHUP)
            return await site.ready()

        try:
            await wait_until(listens, "the process has begun to start", step_s=0.005)
            await wait_until(ready_despite_signals, "the gateway is ready", step_s=0.01)
        finally:
            site.process.send_signal(signal.SIGKILL)
            await site.process.wait()


async def test_bad_settings_end_the_process_with_one_clear_line(tmp_path: Path) -> None:
    """Guards against invalid settings that give a traceback or another exit code."""
    site = Site(directory=tmp_path)
    async with running(site.store):
        path = site.write_settings(site.settings().replace('zone = "one"', ""))
        process = await asyncio.create_subprocess_exec(
            *gateway_command(),
            env={"PATH": os.environ["PATH"], "AZUREFIELD_BOOT": str(path)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        _, error = await process.communicate()
        assert process.returncode == EXIT_BAD_SETTINGS
        assert re.fullmatch(r"\[settings\] .*zone.*\n", error.decode())


async def send_on(
    writer: asyncio.StreamWriter, target: str, request_id: str, method: str = "GET"
) -> None:
    """Send a request on a kept connection."""
    writer.write(
        f"{method} {target} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n".encode()
    )
    await writer.drain()


async def status_on(reader: asyncio.StreamReader) -> int:
    """Read the status of an answer.

    :raises EOFError: if the connection ends without an answer
    """
    async with asyncio.timeout(10.0):
        head = await reader.readuntil(b"\r\n\r\n")
    return int(head.split()[1])


# Planned stops have 6 s here; this long after the begin, a long request can't end in time.
LATE_IN_STOP_S = 3.2


async def test_requests_late_in_a_planned_stop_are_answered_before_it_ends(tmp_path: Path) -> None:
    """Guards against requests that are passed on late in a stop and cut without an answer."""
    async with serving(tmp_path) as site:
        assert site.process is not None
        long = {"service": "desk", "timeout_ms": 20_000}
        routes = (
            route("single", "/s/", **long),
            route("order", "/o/", route_type="unsafe", **long),
        )
        site.store.put("op/config", config(2, *routes, services=("desk",)))
        await site.wait_for_log("Configuration version 2 is in force")
        host, _, port = site.callers.rpartition(":")
        kept = [await asyncio.open_connection(host, int(port)) for _ in range(3)]
        for number, (reader, writer) in enumerate(kept):
            await send_on(writer, "/s/x", f"before{number}")
            assert await status_on(reader) == 200
            await reader.readexactly(16)
        site.leafs["d1"].behaviour = "hang"
        (first, first_writer), (late, late_writer), (order, order_writer) = kept
        await send_on(first_writer, "/s/x", "first")
        await wait_until(lambda: len(site.leafs["d1"].requests) == 4, "the leaf has the request")
        site.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(LATE_IN_STOP_S)
        await send_on(late_writer, "/s/x", "late")
        await send_on(order_writer, "/o/x", "order", method="POST")
        statuses = await asyncio.gather(*map(status_on, (first, late, order)))
        assert set(statuses[:2]) <= {503, 504}
        assert statuses[2] == 503, "it must not run, since its answer might not come"
        ran = [request["Request-Id"] for request in site.leafs["d1"].requests]
        assert "order" not in ran
        assert await site.process.wait() == 0


async def test_a_planned_stop_finishes_an_answer_that_its_caller_reads_slowly(
    tmp_path: Path,
) -> None:
    """Guards against answers that are cut where they exceed what the sockets hold."""
    body = bytes(8_000_000)
    async with serving(tmp_path) as site:
        assert site.process is not None
        site.leafs["d1"].body = body
        host, _, port = site.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /s/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert f"Content-Length: {len(body)}".encode() in head
        site.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(PAUSE_S)
        assert await reader.readexactly(len(body)) == body
        assert await reader.read() == b""
        writer.close()
        assert await site.process.wait() == 0
