"""The commands that use the platform."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING
from uuid import uuid4

import aiohttp
from result import Err, Ok

from azurefield.configuration import AcceptChange, encode
from azurefield_operator.accepting import run_acceptance
from azurefield_operator.differences import configuration_differences
from azurefield_operator.fleet import InstanceStatus, all_agree, fleet_status, version_in_force
from azurefield_operator.generation import generate
from azurefield_operator.outcome import ExitCode, change_failure
from azurefield_operator.stored import AuditTrail, read_audit_trail, read_configuration
from azurefield_platform.configuration_store import ConfigurationStore
from azurefield_platform.http import open_session
from azurefield_platform.keyvalue import KeyValueClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from azurefield_operator.questionnaire import Questionnaire
    from azurefield_operator.report import Output


@dataclass(slots=True, kw_only=True, frozen=True)
class Platform:
    """The connection to the platform during one command."""

    url: str
    session: aiohttp.ClientSession
    store: ConfigurationStore


@asynccontextmanager
async def connect_platform(url: str) -> AsyncIterator[Platform]:
    """Open an HTTP session to the platform for one command."""
    async with open_session() as session:
        store = ConfigurationStore(client=KeyValueClient.connect(url, session))
        yield Platform(url=url, session=session, store=store)


async def preview_change(out: Output, url: str, questionnaire: Questionnaire) -> ExitCode:
    """Write the differences between the stored and the generated configuration."""
    async with connect_platform(url) as platform:
        stored = await read_configuration(platform.store)
    match stored:
        case Err(failure):
            return out.write_failure(failure)
        case Ok(current):
            configuration = current.configuration
    differences = configuration_differences(configuration.services, generate(questionnaire))
    value = {"version": configuration.version, "differences": differences}
    title = f"differences from version {configuration.version}: {len(differences)}"
    return out.write_result(value, [title, *map(str, differences)])


async def accept_change(
    out: Output,
    url: str,
    questionnaire: Questionnaire,
    *,
    operator: str,
    expected_version: int | None,
    timeout_s: float,
) -> ExitCode:
    """Accept the generated configuration, unless the store is behind the version in force."""
    async with connect_platform(url) as platform:
        match await fleet_status(url, platform.session):
            case Err(failure):
                return out.write_failure(failure)
            case Ok(statuses):
                pass
        match version_in_force(statuses):
            case Err(failure):
                return out.write_failure(failure)
            case Ok(in_force):
                pass
        team = questionnaire.team
        machine = AcceptChange(
            change_id=uuid4().hex,
            operator=operator,
            at=datetime.now(UTC).isoformat(timespec="seconds"),
            documents={name: encode(service) for name, service in generate(questionnaire).items()},
            deadline=asyncio.get_running_loop().time() + timeout_s,
            summary=f"{team.name} ({team.contact}), {len(questionnaire.services)} services",
            expected_version=expected_version,
            version_in_force=in_force,
        )
        match await run_acceptance(machine, platform.store):
            case Err(change):
                return out.write_failure(change_failure(change))
            case Ok(accepted):
                line = f"accepted version {accepted.version}, change {accepted.change_id}"
                return out.write_result(accepted, [line])


async def show_status(out: Output, url: str) -> ExitCode:
    """Write the version in force on each instance and whether all agree."""
    async with connect_platform(url) as platform:
        match await fleet_status(url, platform.session):
            case Err(failure):
                return out.write_failure(failure)
            case Ok(statuses):
                pass
    agree = all_agree(statuses)
    lines = [status_line(status) for status in statuses]
    lines.append("all instances agree" if agree else "the instances do not agree")
    if not statuses:
        lines = ["no entry instance is listed"]
    code = ExitCode.DONE if agree else ExitCode.DISAGREEMENT
    return out.write_result({"agree": agree, "instances": statuses}, lines, code)


def status_line(status: InstanceStatus) -> str:
    """Describe the status of one instance in one line."""
    instance = f"{status.instance} ({status.availability_zone})"
    if status.problem:
        return f"{instance}: no answer ({status.problem})"
    if not status.version:
        return f"{instance}: no version in force, {status.state}"
    digest = (status.digest or "")[:12]
    return f"{instance}: version {status.version} {digest}, {status.state}"


async def show_audit(out: Output, url: str, limit: int) -> ExitCode:
    """Write the accepted changes, newest first."""
    async with connect_platform(url) as platform:
        # One record more is read, because each change is compared with the one before it.
        match await read_audit_trail(platform.store, limit + 1):
            case Err(failure):
                return out.write_failure(failure)
            case Ok(trail):
                pass
    lines = audit_lines(trail, limit)
    return out.write_result({"changes": trail.records[:limit], "gap": trail.gap}, lines)


def audit_lines(trail: AuditTrail, limit: int) -> list[str]:
    """Describe each change by its record and the number of services that it changed."""
    lines: list[str] = []
    for index, record in enumerate(trail.records[:limit]):
        older = trail.records[index + 1 : index + 2]
        old = older[0].services if older else {}
        changed_services = sorted(
            name
            for name in old.keys() | record.services.keys()
            if old.get(name) != record.services.get(name)
        )
        known = bool(older) or record.previous_change_id is None
        effect = f"{len(changed_services)} services changed" if known else "effect not known"
        lines.append(
            f"version {record.version}, {record.at}, {record.operator}, change {record.change_id}:"
            f" {effect}; {record.summary}"
        )
    if trail.gap is not None and len(trail.records) <= limit:
        lines.append(f"change {trail.gap}: its record is missing from the store")
    return lines


async def export_configuration(out: Output, url: str) -> ExitCode:
    """Write the configuration in force."""
    async with connect_platform(url) as platform:
        stored = await read_configuration(platform.store)
    match stored:
        case Err(failure):
            return out.write_failure(failure)
        case Ok(current):
            value = {
                "version": current.configuration.version,
                "change": current.record,
                "services": current.configuration.services,
            }
            return out.write_result(value, [])
