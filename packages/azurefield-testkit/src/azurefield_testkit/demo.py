"""``make demo``: runs a complete tier as processes on loopback and shows each guarantee once."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import uvloop

from azurefield.model import RequestKind
from azurefield_testkit.history import RequestResult, SentRequest
from azurefield_testkit.load import cut_requests, parse_version, summarize
from azurefield_testkit.processes import ProcessError
from azurefield_testkit.tier import Tier, running_tier
from azurefield_testkit.waiting import ConditionNotMetError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SLOW_LEAF_DELAY_S = 5.0
SLOW_LISTING_DEADLINE_MS = 500
LOAD_REQUESTS_MAX = 20_000
RESULTS_BEFORE_STOP = 100
RESULTS_AFTER_STOP = 100


class StepFailedError(Exception):
    """A step of the demo did not have the expected result."""


def require(condition: bool, problem: str) -> None:
    """Fail the step with a problem unless a condition holds."""
    if not condition:
        raise StepFailedError(problem)


@dataclass(slots=True, kw_only=True)
class Demo:
    """Runs the steps in order and prints a summary of each; ``failed`` lists the failed ones."""

    tier: Tier
    failed: list[str] = field(default_factory=list)

    async def step(self, name: str, show: Callable[[], Awaitable[list[str]]]) -> None:
        """Run one step and print its lines with PASS or FAIL."""
        started = time.monotonic()
        try:
            lines, verdict = await show(), "PASS"
        except (StepFailedError, ConditionNotMetError, ProcessError) as error:
            lines, verdict = [str(error)], "FAIL"
            self.failed.append(name)
        print(f"{verdict}  {name} ({time.monotonic() - started:.1f} s)")
        for line in lines:
            print(f"      {line}", flush=True)

    async def run(self) -> None:
        """Run all steps."""
        await self.step("configuration from the questionnaire in force", self.show_start)
        await self.step("one request of each kind, full coverage", self.show_each_kind)
        await self.step("a listing with one slow leaf, true coverage", self.show_slow_leaf)
        await self.step("a configuration change in force everywhere", self.show_change)
        await self.step("a booking sent to two instances runs once", self.show_booking)
        await self.step("a planned stop under load cuts off no request", self.show_stop)
        await self.step("the history of the run violates no guarantee", self.show_history)

    async def show_start(self) -> list[str]:
        """List the services and the configuration version in force on each instance."""
        lines = [
            f"{plan.name}: {len(plan.leafs)} leafs x {plan.replicas} backend servers"
            for plan in self.tier.fleet.plans
        ]
        for entry in sorted(self.tier.running_entries(), key=lambda entry: entry.name):
            status = await self.tier.processes.get_json(entry.admin_address, "/v1/status")
            config = parse_version(entry.name, status or {})
            require(config is not None, f"{entry.name} has no configuration")
            lines.append(
                f"{entry.name} in {entry.availability_zone}: version {config and config.version}"
            )
        return lines

    async def send(self, request: SentRequest, *, deadline_ms: int | None = None) -> RequestResult:
        """Send one request through the balancer and add its result to the history."""
        result = await self.tier.caller.send(self.tier.balancer, request, deadline_ms=deadline_ms)
        self.tier.history.results.append(result)
        return result

    async def show_each_kind(self) -> list[str]:
        """Send a listing, an urgent look-up, a look-up and a booking."""
        lines = []
        service = "desk"
        key = self.tier.history.services[service].dataset.records(1)[0].key
        for kind in RequestKind:
            request = SentRequest(
                request_id=f"demo-{kind}",
                service=service,
                kind=kind,
                limit=5,
                query={"group": "north"} if kind.partial else {},
                key="" if kind.partial else key,
                booking="demo-booking" if kind is RequestKind.BOOKING else "",
            )
            ticket = ""
            if kind is RequestKind.BOOKING:
                ticket = await self.tier.caller.request_ticket(self.tier.balancer, service) or ""
            result = await self.tier.caller.send(self.tier.balancer, request, ticket=ticket)
            self.tier.history.results.append(result)
            lines.append(f"{kind}: {describe(result)}")
            require(result.status == 200, f"{kind}: {describe(result)}")
            require(not (result.answer and result.answer.missing), f"{kind}: {describe(result)}")
        return lines

    async def show_slow_leaf(self) -> list[str]:
        """Delay one leaf beyond the deadline of a listing."""
        fleet = self.tier.fleet
        await fleet.control_leaf("desk", "b", delay_s=SLOW_LEAF_DELAY_S)
        request = SentRequest(
            request_id="demo-slow", service="desk", kind=RequestKind.LISTING, limit=1000
        )
        result = await self.send(request, deadline_ms=SLOW_LISTING_DEADLINE_MS)
        await fleet.control_leaf("desk", "b", delay_s=0.0)
        line = f"listing: {describe(result)}"
        require(result.answer is not None and result.answer.missing == ("b",), line)
        return [line]

    async def show_change(self) -> list[str]:
        """Change the deadline of all kinds with the operator's command."""
        started = time.monotonic()
        version = await self.tier.accept(deadline_ms=1500)
        await self.tier.wait_for_version(version)
        return [
            f"version {version} in force on all instances after {time.monotonic() - started:.1f} s"
        ]

    async def show_booking(self) -> list[str]:
        """Send one booking with one ticket to two instances at the same time."""
        first, second, *_ = self.tier.running_entries()
        ticket = await self.tier.caller.request_ticket(first.address, "desk")
        require(ticket is not None, "no ticket")
        key = self.tier.history.services["desk"].dataset.records(1)[1].key
        requests = [
            SentRequest(
                request_id=f"demo-twice-{number}",
                service="desk",
                kind=RequestKind.BOOKING,
                key=key,
                booking="demo-twice",
            )
            for number in range(2)
        ]
        results = await asyncio.gather(
            self.tier.caller.send(first.address, requests[0], ticket=ticket or ""),
            self.tier.caller.send(second.address, requests[1], ticket=ticket or ""),
        )
        self.tier.history.results.extend(results)
        runs = [
            booking
            for server in self.tier.fleet.servers["desk"]
            for booking in (await self.journal(server.address))["bookings"]
            if booking["payload"] == {"booking": "demo-twice"}
        ]
        lines = [
            f"{entry.name}: {describe(answer)}"
            for entry, answer in zip((first, second), results, strict=True)
        ]
        lines.append(f"journals: ran {len(runs)} time(s), on {[run['server'] for run in runs]}")
        require(len(runs) == 1 and all(entry.status == 200 for entry in results), "; ".join(lines))
        return lines

    async def journal(self, address: str) -> dict[str, list[dict[str, object]]]:
        """Read a backend server's journal."""
        journal = await self.tier.processes.get_json(address, "/journal")
        require(journal is not None, f"no journal from {address}")
        return journal or {}

    async def show_stop(self) -> list[str]:
        """Stop one instance while the balancer forwards requests."""
        load = self.tier.load(seed=7, requests=LOAD_REQUESTS_MAX, name="stop")
        running = asyncio.create_task(load.run())
        await load.wait_for_results(RESULTS_BEFORE_STOP)
        name = self.tier.running_entries()[-1].name
        exit_code = await self.tier.processes.stop(name)
        await self.tier.processes.deregister(name)
        await load.wait_for_results(len(load.results) + RESULTS_AFTER_STOP)
        load.stop()
        await running
        cut_off = cut_requests(load.results)
        lines = [f"{name} ended with exit code {exit_code}", summarize(load.results)]
        require(exit_code == 0, "; ".join(lines))
        require(not cut_off, f"{len(cut_off)} requests cut off, first {cut_off[:1]}; {lines[1]}")
        return lines

    async def show_history(self) -> list[str]:
        """Check all results against the generated records and the backend servers' journals."""
        violations = await self.tier.check_history()
        history = self.tier.history
        require(not violations, f"{len(violations)} violations, first {violations[:3]}")
        return [
            f"{len(history.results)} results and {len(history.bookings)} booking runs: no violation"
        ]


def describe(result: RequestResult) -> str:
    """Describe a result in one line."""
    if result.answer is None:
        return f"status {result.status} {result.problem}".rstrip()
    answer = result.answer
    keys = ", ".join(record.key for record in answer.records[:3])
    missing = f", missing {', '.join(answer.missing)}" if answer.missing else ""
    return (
        f"{len(answer.records)} records [{keys}, ...] from {answer.leafs_covered} of "
        f"{answer.leafs_total} leafs{missing}, index version {answer.snapshot.index_version}"
    )


async def main() -> int:
    """Run the demo; returns the exit code, 0 if all steps passed."""
    task = asyncio.current_task()
    assert task is not None
    # SIGTERM cancels the task, so that its contexts stop all started processes.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    started = time.monotonic()
    print("starting platform, backend servers, entry instances and balancer", flush=True)
    try:
        async with running_tier(drain_notice_s=1.0) as tier:
            demo = Demo(tier=tier)
            await demo.run()
            failed = demo.failed
    except (ConditionNotMetError, ProcessError, ExceptionGroup) as error:
        print(f"FAIL  the tier did not start: {error}")
        return 1
    print(f"{'FAIL' if failed else 'PASS'}  demo in {time.monotonic() - started:.0f} s")
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(uvloop.run(main()))
