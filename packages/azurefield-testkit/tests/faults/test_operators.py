"""Changes by the operator's command while the store fails or operators act concurrently."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest

from azurefield_operator.outcome import ExitCode
from azurefield_testkit.fleet import ServicePlan
from azurefield_testkit.questionnaire import OPERATOR_MODULE, answer_questionnaire, run_accept
from azurefield_testkit.tier import Tier, running_tier

pytestmark = [pytest.mark.process, pytest.mark.prove]

PLANS = (ServicePlan(name="desk", leafs=("a",), replicas=1, record_count=20),)
OPERATORS = ("ana", "bea", "carla")


async def read_audit(tier: Tier) -> list[dict[str, Any]]:
    """Read the accepted changes with the command `audit`, newest first."""
    url = f"http://{tier.processes.platform_address}"
    code, output = await tier.processes.command(
        OPERATOR_MODULE, "audit", "--platform", url, "--json"
    )
    assert code == 0, output
    changes: list[dict[str, Any]] = msgspec.json.decode(output)["changes"]
    return changes


async def fill_in_change(tier: Tier, deadline_ms: int) -> dict[str, Any]:
    return await answer_questionnaire(tier.processes, tier.fleet, deadline_ms=deadline_ms)


async def test_of_concurrent_changes_to_one_version_exactly_one_is_accepted() -> None:
    """Guards against a lost update: an accepted change that another operator overwrites."""
    async with running_tier(plans=PLANS, instances=2) as tier:
        answers = [await fill_in_change(tier, 1_000 + number) for number in range(len(OPERATORS))]
        results = await asyncio.gather(
            *(
                run_accept(tier.processes, answer, "--expect-version", "1", operator=name)
                for name, answer in zip(OPERATORS, answers, strict=True)
            )
        )
        codes = [result.exit_code for result in results]
        assert sorted(codes) == [ExitCode.DONE, ExitCode.CONFLICT, ExitCode.CONFLICT], results
        winner = OPERATORS[codes.index(ExitCode.DONE)]
        conflicts = [result for result in results if result.exit_code == ExitCode.CONFLICT]
        assert all(winner in result.output for result in conflicts)
        assert [entry["operator"] for entry in await read_audit(tier)] == [winner, "testkit"]
        await tier.wait_for_version(2)
        assert await tier.check_history() == []


@pytest.mark.parametrize(
    "fault",
    [
        {"lose_replies": 1},
        {"lose_replies": 2},
        {"lose_replies": 3},
        {"lose_replies": 4},
        {"delay_s": 1.0},
    ],
    ids=["one-reply", "two-replies", "three-replies", "four-replies", "slow"],
)
async def test_a_change_whose_replies_are_lost_or_late_is_accepted_exactly_once(
    fault: dict[str, Any],
) -> None:
    """Guards against a change that is reported as failed although it was accepted, or made twice.

    The command can't know whether a write without a reply was applied, and repeats it.
    """
    async with running_tier(plans=PLANS, instances=2) as tier:
        answers = await fill_in_change(tier, 1_500)
        await tier.processes.post(tier.processes.platform_address, **fault)
        result = await run_accept(tier.processes, answers, operator="ana")
        assert result.exit_code == ExitCode.DONE, result.output
        await tier.processes.post(tier.processes.platform_address, lose_replies=0, delay_s=0.0)
        assert [entry["operator"] for entry in await read_audit(tier)] == ["ana", "testkit"]
        await tier.wait_for_version(2)
        assert await tier.check_history() == []


async def test_no_version_is_used_twice_when_the_store_is_restored_to_an_old_state() -> None:
    """Guards against two configurations under one version on different instances.

    The restored store lacks the last accepted version, so the next change could take its number.
    """
    async with running_tier(plans=PLANS, instances=2) as tier:
        platform = tier.processes.platform_address
        await tier.processes.post(platform, save="first")
        await tier.wait_for_version(await tier.accept(deadline_ms=1_500))
        answers = await fill_in_change(tier, 1_600)
        await tier.processes.post(platform, restore="first")
        result = await run_accept(tier.processes, answers, operator="ana")
        assert result.exit_code in (ExitCode.DONE, ExitCode.STORE_BEHIND, ExitCode.CONFLICT)
        version = 3 if result.exit_code == ExitCode.DONE else 2
        await tier.wait_for_version(version)
        assert [entry["version"] for entry in await read_audit(tier)] == list(range(version, 0, -1))
        assert await tier.check_history() == []
