from __future__ import annotations

import json
from functools import partial
from typing import TYPE_CHECKING, Any

import pytest

from azurefield_operator.outcome import ExitCode
from azurefield_testkit.processes import EntryInstance, Processes
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from pathlib import Path


async def run_command(processes: Processes, *arguments: str) -> tuple[int, Any]:
    """Run the command with ``--json``; return its exit code and its last line of JSON."""
    platform = ["--platform", f"http://{processes.platform_address}", "--json"]
    code, output = await processes.command("azurefield_operator", *arguments, *platform)
    lines = [line for line in output.splitlines() if line.startswith("{")]
    return code, json.loads(lines[-1])


async def serves_status(processes: Processes, entry: EntryInstance) -> bool:
    """Whether an instance answers status requests on its admin listener."""
    return await processes.get_json(entry.admin_address, "/v1/status") is not None


async def wait_agreed(processes: Processes, version: int) -> None:
    """Wait until all instances have the same version in force."""

    async def agreed() -> bool:
        code, status = await run_command(processes, "status")
        versions = [instance["version"] for instance in status["instances"]]
        return code == ExitCode.DONE and versions == [version, version]

    await wait_until(agreed, f"version {version} is in force everywhere", step_s=0.2)


@pytest.mark.process
async def test_changes_reach_real_instances_and_survive_lost_replies_and_a_restored_store(
    tmp_path: Path,
) -> None:
    """Guards against mismatched protocols between the command, the instances and the store.

    A change must reach all instances, also when the store loses replies, is down for some time or
    is restored from an older backup.
    """
    file = tmp_path / "gulf.json"
    accept = ["accept", str(file), "--operator", "ana"]
    async with Processes() as processes:
        await processes.start_platform()
        entries = [
            await processes.start_entry("entry-1", "Tampico"),
            await processes.start_entry("entry-2", "Tuxpan"),
        ]
        for entry in entries:
            answers = partial(serves_status, processes, entry)
            await wait_until(answers, f"{entry.name} answers")
        written = await processes.command(
            "azurefield_operator", "example", "minimal", "--output", str(file)
        )
        assert written == (ExitCode.DONE, "")
        assert (await run_command(processes, *accept))[0] == ExitCode.DONE
        await wait_agreed(processes, 1)

        await processes.post(processes.platform_address, save="first")
        await processes.post(processes.platform_address, lose_replies=2)
        code, accepted = await run_command(processes, *accept)
        assert (code, accepted["version"]) == (ExitCode.DONE, 2)
        await wait_agreed(processes, 2)

        await processes.post(processes.platform_address, down=True)
        assert (await run_command(processes, *accept, "--timeout-s", "0.5"))[
            0
        ] == ExitCode.UNAVAILABLE
        await processes.post(processes.platform_address, down=False, restore="first")
        code, answer = await run_command(processes, *accept)
        while code == ExitCode.STORE_BEHIND:
            code, answer = await run_command(processes, *accept)
        assert (code, answer["version"]) == (ExitCode.DONE, 3)
        await wait_agreed(processes, 3)
        _, audit = await run_command(processes, "audit")
        assert [change["version"] for change in audit["changes"]] == [3, 2, 1]
