"""Starts of a gateway process under conditions that end by themselves after a while."""

from __future__ import annotations

import asyncio
import signal
import socket
from contextlib import asynccontextmanager, closing
from typing import TYPE_CHECKING

import aiohttp
import pytest

from azurefield_testkit.waiting import wait_until
from gateway_process import PORTS, Site
from standins import running

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

pytestmark = pytest.mark.process

HELD_S = 1.5
WRITING_S = 0.5
LOADING_S = 0.5
BAD_PORT = "127.0.0.1:99999"
LISTENERS = ("callers", "readiness", "admin", "relay", "coordinator")


@asynccontextmanager
async def prepared(directory: Path) -> AsyncIterator[Site]:
    """Run the stand-ins of a site whose process is not started yet."""
    PORTS.used_ports.clear()
    site = Site(directory=directory, first_port=PORTS.free_port_pair())
    async with running(site.store, *site.leafs.values()), aiohttp.ClientSession() as session:
        site.session = session
        site.put_config()
        for name, leaf in site.leafs.items():
            site.store.put(f"servers/{name}", leaf.entry())
        try:
            yield site
        finally:
            if site.process is not None:
                await site.kill()


def hold(site: Site, listener: str) -> socket.socket:
    """Listen on the address of one of the process's listeners."""
    assert site.first_port is not None
    addresses = {
        "callers": site.callers,
        "readiness": site.readiness,
        "admin": site.admin,
        "relay": f"127.0.0.1:{site.first_port}",
        "coordinator": f"127.0.0.1:{site.first_port + 1}",
    }
    host, _, port = addresses[listener].rpartition(":")
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, int(port)))
    holder.listen()
    return holder


def is_held(site: Site, listener: str) -> bool:
    """Whether the process listens on an address, so that nobody else can."""
    try:
        hold(site, listener).close()
    except OSError:
        return True
    return False


@pytest.mark.parametrize("listener", LISTENERS)
async def test_an_address_that_is_still_in_use_delays_the_start(
    tmp_path: Path, listener: str
) -> None:
    """Guards against a process that ends because its predecessor still holds an address."""
    async with prepared(tmp_path) as site:
        with closing(hold(site, listener)):
            await site.start()
            await site.wait_for_log("is in use")
            await asyncio.sleep(HELD_S)
            assert site.process is not None
            assert site.process.running, site.process.tail()
        await wait_until(site.ready, "the gateway is ready")
        await wait_until(lambda: is_held(site, listener), f"the {listener} listener is open")
        assert (await site.call("/l/x", "q1"))[0] == 200


@pytest.mark.parametrize("part", [0.0, 0.5], ids=["empty", "half"])
async def test_settings_that_are_being_written_delay_the_start(tmp_path: Path, part: float) -> None:
    """Guards against a process that ends because its settings file is not complete yet."""
    async with prepared(tmp_path) as site:
        whole = site.settings()
        await site.start(whole[: int(part * len(whole))])
        await site.wait_for_log("was not opened early")
        await asyncio.sleep(WRITING_S)
        site.write_settings(whole)
        await wait_until(site.ready, "the gateway is ready")


async def test_a_signal_while_the_interpreter_loads_its_modules_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    """Guards against a SIGHUP that ends a process before its program has begun."""
    modules = tmp_path / "modules"
    modules.mkdir()
    loading = modules / "loading"
    (modules / "sitecustomize.py").write_text(
        f"import pathlib, time\npathlib.Path({str(loading)!r}).touch()\ntime.sleep({LOADING_S})\n",
        encoding="utf-8",
    )
    async with prepared(tmp_path) as site:
        await site.start(python_path=str(modules))
        await wait_until(loading.exists, "the interpreter loads its modules", step_s=0.01)
        assert site.process is not None
        site.process.send_signal(signal.SIGHUP)
        await wait_until(site.ready, "the gateway is ready")


@pytest.mark.parametrize("problem", ["nested", "port"])
async def test_settings_that_cannot_be_used_at_first_delay_the_start(
    tmp_path: Path, problem: str
) -> None:
    """Guards against a traceback in place of the wait for settings that can be used."""
    async with prepared(tmp_path) as site:
        usable = site.settings()
        nested = f"{usable}deep = {'[' * 2000}{']' * 2000}\n"
        await site.start(nested if problem == "nested" else usable.replace(site.callers, BAD_PORT))
        await site.wait_for_log("was not opened early")
        await asyncio.sleep(WRITING_S)
        site.write_settings(usable)
        await wait_until(site.ready, "the gateway is ready")


@pytest.mark.parametrize("listener", LISTENERS)
async def test_a_process_that_waits_for_an_address_can_be_stopped(
    tmp_path: Path, listener: str
) -> None:
    """Guards against a process that must be killed because it waits for an address."""
    async with prepared(tmp_path) as site:
        with closing(hold(site, listener)):
            await site.start()
            await site.wait_for_log("is in use")
            assert site.process is not None
            site.process.send_signal(signal.SIGTERM)
            assert await site.process.wait() == 0
