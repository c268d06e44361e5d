"""A complete tier on loopback: platform, backend servers, entry instances and balancer."""

from __future__ import annotations

import asyncio
import contextlib
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

from aiohttp import ClientSession, TCPConnector
from result import Ok

from azurefield.configuration import HEAD_KEY, decode_head
from azurefield_platform.keyvalue import KeyValueClient
from azurefield_testkit.caller import Caller
from azurefield_testkit.fleet import ZONES, Fleet, ServicePlan
from azurefield_testkit.history import History, Violation, find_violations
from azurefield_testkit.load import Load, parse_version, read_journals, record_versions
from azurefield_testkit.processes import EntryInstance, Processes
from azurefield_testkit.questionnaire import MEMBERS, accept, answer_questionnaire
from azurefield_testkit.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PLANS = (
    ServicePlan(name="desk", leafs=("a", "b", "c"), replicas=3),
    ServicePlan(name="notice", leafs=("p", "q", "r", "s"), replicas=2),
)


@dataclass(slots=True, kw_only=True)
class Tier:
    """The processes of one run, a caller, and the history of the run."""

    processes: Processes
    fleet: Fleet
    history: History
    caller: Caller
    balancer: str = ""
    settings: dict[str, Any] = field(default_factory=dict)
    version_recorder: asyncio.Task[None] | None = None

    async def start(self, instances: int) -> None:
        """Start all processes and accept a first configuration; waits until it is in force."""
        await self.processes.start_platform()
        await self.fleet.start()
        await self.start_entries(instances)
        # The operator's command refuses a change while no listed instance answers.
        await self.wait_until_answering()
        await self.wait_for_version(await self.accept())
        await self.processes.wait_ready()
        self.balancer = await self.processes.start_balancer()
        await self.wait_until_balanced(instances)
        entries = self.processes.entries
        self.version_recorder = asyncio.create_task(
            record_versions(self.processes, entries, self.history)
        )

    async def start_entries(self, count: int) -> None:
        """Start entry instances in different availability zones."""
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                zone = ZONES[number % len(ZONES)]
                group.create_task(
                    self.processes.start_entry(f"entry-{number + 1}", zone, **self.settings)
                )

    @property
    def store(self) -> KeyValueClient:
        """A client of the key-value service."""
        url = f"http://{self.processes.platform_address}"
        return KeyValueClient.connect(url, self.processes.session)

    async def accept(self, **changes: Any) -> int:
        """Accept a configuration for the running backend servers; returns its version.

        :param changes: answers to the questionnaire that differ from the defaults
        """
        answers = await answer_questionnaire(self.processes, self.fleet, **changes)
        return await accept(self.processes, answers)

    async def store_holds(self, version: int) -> bool:
        """Whether the head in the store has this version."""
        match await self.store.get(HEAD_KEY):
            case Ok(stored):
                return decode_head(stored.value).unwrap().version == version
        return False

    async def wait_for_version(self, version: int) -> None:
        """Wait until all running instances have this or a later version in force."""
        for entry in self.running_entries():

            async def in_force(entry: EntryInstance = entry) -> bool:
                status = await self.processes.get_json(entry.admin_address, "/v1/status")
                observed = None if status is None else parse_version(entry.name, status)
                return observed is not None and observed.version >= version

            await wait_until(in_force, f"version {version} is in force on {entry.name}")

    async def wait_until_answering(self) -> None:
        """Wait until all running instances answer on their admin listener."""
        for entry in self.running_entries():

            async def answers(entry: EntryInstance = entry) -> bool:
                return await self.processes.get_json(entry.admin_address, "/v1/status") is not None

            await wait_until(answers, f"{entry.name} answers")

    async def wait_until_balanced(self, count: int) -> None:
        """Wait until the balancer reports this number of ready instances."""

        async def balanced() -> bool:
            status = await self.processes.get_json(self.balancer, "/balancer/status")
            return status is not None and len(status["ready"]) == count

        await wait_until(balanced, f"{count} instances behind the balancer")

    def running_entries(self) -> list[EntryInstance]:
        """List the entry instances whose process runs."""
        return [
            entry
            for entry in self.processes.entries.values()
            if self.processes.processes[entry.name].running
        ]

    def load(self, *, seed: int, through_balancer: bool = True, **options: Any) -> Load:
        """Create a load whose results are added to the history."""

        def addresses() -> list[str]:
            if through_balancer:
                return [self.balancer]
            return [entry.address for entry in self.running_entries()]

        return Load(
            caller=self.caller,
            history=self.history,
            addresses=addresses,
            rng=Random(seed),
            **options,
        )

    async def check_history(self) -> list[Violation]:
        """Read the journals of the backend servers and return all violations of the history.

        It may be called only once, since it adds the journals to the history.
        """
        if self.version_recorder is not None:
            self.version_recorder.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.version_recorder
        read_journals(self.processes.directory, self.history)
        return find_violations(self.history)


@asynccontextmanager
async def running_tier(
    *, plans: tuple[ServicePlan, ...] = PLANS, instances: int = 3, **settings: Any
) -> AsyncIterator[Tier]:
    """Run a tier, and stop all of its processes at the end.

    :param settings: settings of the entry instances that differ from the defaults
    """
    async with (
        Processes() as processes,
        ClientSession(connector=TCPConnector(limit=0)) as session,
    ):
        fleet = Fleet(processes=processes, plans=plans)
        tier = Tier(
            processes=processes,
            fleet=fleet,
            history=fleet.new_history(),
            caller=Caller(session=session, member=MEMBERS[0]),
            settings=settings,
        )
        try:
            await tier.start(instances)
            yield tier
        finally:
            if tier.version_recorder is not None:
                tier.version_recorder.cancel()
