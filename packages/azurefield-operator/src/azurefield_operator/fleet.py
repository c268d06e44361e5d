"""Queries the entry instances for the version that they have in force."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from result import Err, Ok, Result

from azurefield_operator.outcome import CommandFailure, unavailable
from azurefield_platform.instances import InstanceListClient, InstanceRole, ListedInstance

if TYPE_CHECKING:
    from collections.abc import Sequence

STATUS_TIMEOUT_S = 2.0
STATUS_BYTES_MAX = 1_000_000


@dataclass(slots=True, kw_only=True, frozen=True)
class ConfigurationStatus:
    """The configuration in force on an instance; no version if there is none yet."""

    version: int | None
    digest: str | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class StatusBody:
    """The part of ``/v1/status`` that is used here."""

    configuration: ConfigurationStatus
    state: str


@dataclass(slots=True, kw_only=True, frozen=True)
class InstanceStatus:
    """What one instance answered; ``problem`` says why it gave no usable answer."""

    instance: str
    availability_zone: str
    version: int | None = None
    digest: str | None = None
    state: str = ""
    problem: str = ""


async def fleet_status(
    platform_url: str, session: aiohttp.ClientSession
) -> Result[list[InstanceStatus], CommandFailure]:
    """Query all listed entry instances and return their status, sorted by name."""
    match await InstanceListClient.connect(platform_url, session).instances():
        case Err(failure):
            return Err(unavailable(f"the instance list can't be read ({failure.detail})"))
        case Ok(listed):
            pass
    entries = [instance for instance in listed if instance.role is InstanceRole.ENTRY]
    answers = await asyncio.gather(*(instance_status(entry, session) for entry in entries))
    return Ok(sorted(answers, key=lambda answer: answer.instance))


async def instance_status(listed: ListedInstance, session: aiohttp.ClientSession) -> InstanceStatus:
    """Query the status of one instance."""
    if listed.admin_address is None:
        return no_answer(listed, "the instance list has no admin address for it")
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
    try:
        url = f"http://{listed.admin_address}/v1/status"
        async with session.get(url, timeout=timeout, allow_redirects=False) as response:
            if response.status != 200:
                return no_answer(listed, f"HTTP status {response.status}")
            body = await response.read()
        status = msgspec.json.decode(body, type=StatusBody)
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
        return no_answer(listed, str(error) or "no answer in time")
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return no_answer(listed, f"malformed status ({error})")
    return InstanceStatus(
        instance=listed.name,
        availability_zone=listed.availability_zone,
        version=status.configuration.version,
        digest=status.configuration.digest,
        state=status.state,
    )


def no_answer(listed: ListedInstance, problem: str) -> InstanceStatus:
    """Describe an instance that gave no usable answer."""
    return InstanceStatus(
        instance=listed.name, availability_zone=listed.availability_zone, problem=problem
    )


def all_agree(statuses: Sequence[InstanceStatus]) -> bool:
    """Whether all instances answered and have the same configuration in force."""
    return len({(status.version, status.digest) for status in statuses}) <= 1 and not any(
        status.problem for status in statuses
    )


def version_in_force(statuses: Sequence[InstanceStatus]) -> Result[int | None, CommandFailure]:
    """Find the highest version in force.

    :return: None if no instance is listed or none has a version; a failure if no listed instance
        answers, because a store that was restored to an older version would then go unnoticed
    """
    answers = [status for status in statuses if not status.problem]
    if statuses and not answers:
        return Err(unavailable("no entry instance answers; the version in force is not known"))
    return Ok(max((status.version or 0 for status in answers), default=0) or None)
