"""Fills in the operator's questionnaire for a fleet and accepts it with the operator's command."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from azurefield.model import RequestKind
from azurefield_testkit.processes import ProcessError

if TYPE_CHECKING:
    from azurefield_testkit.fleet import Fleet, ServicePlan
    from azurefield_testkit.processes import Processes

OPERATOR_MODULE = "azurefield_operator"
MEMBERS = ("porto", "marea")
DEADLINE_MS = 2_000
DEADLINE_MS_MAX = 10_000
URGENCIES = {
    RequestKind.LISTING: "background",
    RequestKind.URGENT: "immediate",
    RequestKind.LOOKUP: "normal",
    RequestKind.BOOKING: "immediate",
}


@dataclass(slots=True, kw_only=True, frozen=True)
class CommandResult:
    """Exit code and output of the operator's command."""

    exit_code: int
    output: str


async def answer_questionnaire(
    processes: Processes, fleet: Fleet, *, deadline_ms: int = DEADLINE_MS
) -> dict[str, Any]:
    """Fill in the minimal example questionnaire with the running backend servers.

    :raises ProcessError: if the command prints no example
    """
    code, text = await processes.command(OPERATOR_MODULE, "example", "minimal")
    if code != 0:
        raise ProcessError(f"azurefieldctl example ended with exit code {code}\n{text}")
    answers: dict[str, Any] = msgspec.json.decode(text)
    zones = {server.availability_zone for servers in fleet.servers.values() for server in servers}
    answers["availability_zones"] = sorted(zones)
    example = answers["services"][0]
    answers["services"] = [
        {**example, **answer_service(plan, fleet, deadline_ms)} for plan in fleet.plans
    ]
    return answers


def answer_service(plan: ServicePlan, fleet: Fleet, deadline_ms: int) -> dict[str, Any]:
    """Fill in the answers for one service."""
    return {
        "name": plan.name,
        "record_type": f"{plan.name} record",
        "leafs": len(plan.leafs),
        "slots": plan.slots,
        "connection_limit": plan.connection_limit,
        "connection_cost_ms": plan.connect_cost_ms,
        "backend_servers": [
            {
                "name": server.name,
                "address": server.address,
                "availability_zone": server.availability_zone,
            }
            for server in fleet.servers[plan.name]
        ],
        "callers": [{"name": member} for member in MEMBERS],
        "requests": [
            {
                "kind": kind,
                "deadline_ms": deadline_ms,
                "max_deadline_ms": DEADLINE_MS_MAX,
                "urgency": urgency,
            }
            for kind, urgency in URGENCIES.items()
        ],
    }


async def run_accept(
    processes: Processes, answers: dict[str, Any], *options: str, operator: str = "testkit"
) -> CommandResult:
    """Run ``azurefieldctl accept`` with a questionnaire."""
    path = processes.directory / f"questionnaire-{uuid.uuid4().hex}.json"
    path.write_bytes(msgspec.json.encode(answers))
    code, output = await processes.command(
        OPERATOR_MODULE,
        "accept",
        str(path),
        "--operator",
        operator,
        "--platform",
        f"http://{processes.platform_address}",
        "--json",
        *options,
    )
    return CommandResult(exit_code=code, output=output)


async def accept(processes: Processes, answers: dict[str, Any]) -> int:
    """Accept a questionnaire; returns the new version.

    :raises ProcessError: if the command fails
    """
    result = await run_accept(processes, answers)
    if result.exit_code != 0:
        raise ProcessError(
            f"azurefieldctl accept ended with exit code {result.exit_code}\n{result.output}"
        )
    return int(msgspec.json.decode(result.output)["version"])
