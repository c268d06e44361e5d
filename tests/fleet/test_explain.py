"""Requests that are explained first and then sent, with real gateway processes."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

import msgspec
import pytest

from azurefield.explanation import ExplainQuery, Explanation, ObstacleReason, Place
from azurefield.failures import FailureKind
from azurefield_operator.explaining import ask
from azurefield_operator.outcome import ExitCode
from azurefield_testkit.waiting import wait_until
from gateway_process import Site, serving, serving_fleet

if TYPE_CHECKING:
    from pathlib import Path

pytestmark = pytest.mark.process

HOST = "a.example"
# Fewer than the slots of a leaf for each of three instances, so that the fleet needs coordinators.
CONNECTIONS_MAX = 8
REQUESTS = 10


async def run_command(site: Site, path: str) -> tuple[int, bytes]:
    """Run the operator's command; return its exit code and what it writes."""
    options = ("explain", site.admin, HOST, path, "--json")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "azurefield_operator",
        *options,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    output, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output


async def explain(site: Site, path: str) -> Explanation:
    """Ask an instance from within this process."""
    assert site.session is not None
    return (await ask(site.session, site.admin, ExplainQuery(host=HOST, path=path))).unwrap()


def chosen_servers(explanation: Explanation) -> dict[str, set[str]]:
    """Return the servers that may get the first calls, by service."""
    return {
        service.service: {one.server for one in service.servers if one.may_be_chosen}
        for service in explanation.services
        if service.called
    }


def received(site: Site) -> set[str]:
    """Return the leafs that have received requests."""
    return {name for name, leaf in site.leafs.items() if leaf.requests}


async def test_the_command_names_the_server_that_then_gets_the_request(tmp_path: Path) -> None:
    """Guards against a command that asks servers, or names another one than requests go to."""
    async with serving(tmp_path) as site:
        code, output = await run_command(site, "/s/x")
        explanation = msgspec.json.decode(output, type=Explanation)
        assert (code, explanation.place, explanation.version) == (ExitCode.DONE, Place.HERE, 1)
        assert chosen_servers(explanation) == {"desk": {"d1"}}
        assert not received(site), "explaining sends nothing"
        assert (await site.call("/s/x", "sent"))[0] == 200
        assert received(site) == {"d1"}

        code, output = await run_command(site, "/nothing/x")
        refusal = msgspec.json.decode(output, type=Explanation).refusal
        assert refusal is not None
        assert (code, refusal.kind) == (ExitCode.REFUSED, FailureKind.UNKNOWN_SERVICE)
        assert (await site.call("/nothing/x", "refused"))[0] == 404

        await site.kill()
        assert (await run_command(site, "/s/x"))[0] == ExitCode.UNAVAILABLE


async def test_servers_of_an_evacuated_zone_are_ruled_out_before_any_request(
    tmp_path: Path,
) -> None:
    """Guards against an explanation by other servers than those that requests choose from."""
    async with serving(tmp_path) as site:
        for name in ("a1", "b2"):
            moved = site.leafs[name].entry(zone="two", sequence=2)
            site.store.put(f"servers/{name}", moved)
        site.store.put("op/evacuate/two", {})
        await site.wait_for_log("Zone two is evacuated")
        explanation = await explain(site, "/l/x")
        assert chosen_servers(explanation) == {"a": {"a2"}, "b": {"b1"}}
        for number in range(REQUESTS):
            assert (await site.call("/l/x", f"q{number}"))[0] == 200
        assert received(site) == {"a2", "b1"}


async def test_the_coordinator_that_is_left_is_named_and_gets_the_request(tmp_path: Path) -> None:
    """Guards against a silent coordinator that is named although requests avoid it."""
    cores = {"n1": 4.0, "n2": 4.0, "n3": 1.0}
    async with serving_fleet(tmp_path, cores, connections_max=CONNECTIONS_MAX) as sites:
        weak, silent = sites["n3"], sites["n1"].process
        assert silent is not None

        async def forwards() -> bool:
            return (await explain(weak, "/l/x")).place is Place.COORDINATOR

        await wait_until(forwards, "n3 knows the coordinators")
        silent.send_signal(signal.SIGSTOP)
        lost = "instance n1 did not reply in time"

        async def has_lost() -> bool:
            await weak.call("/l/x", "lost")
            return bool(weak.lines_with(lost))

        await wait_until(has_lost, "n3 has lost a request to n1")
        explanation = await explain(weak, "/l/x")
        await weak.call("/l/x", "sent")
        against = {
            one.instance: {found.reason for found in one.against} for one in explanation.instances
        }
        assert ObstacleReason.SILENT in against["n1"]
        assert {one.instance for one in explanation.instances if one.may_be_chosen} == {"n2"}
        assert "forwarded_to=n2" in await weak.wait_for_line_of("sent")
        silent.send_signal(signal.SIGCONT)
