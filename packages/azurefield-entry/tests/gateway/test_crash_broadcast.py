"""Crash reports that instances send each other."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import pytest

from azurefield.coordinators import CoordinatorView, InstanceProfile
from azurefield.crash_evidence import CrashReport, RequestAnswered, ServerEnded
from azurefield.dissemination import DIRECT_MAX
from azurefield_entry.gateway.crashes.broadcast import CrashBroadcast
from azurefield_entry.gateway.peers.coordinator import CoordinatorService
from azurefield_entry.gateway.peers.links import PeerLinks
from azurefield_entry.gateway.quotas.frames import ShareNotIssued
from azurefield_entry.gateway.quotas.issuer import QuotaIssuer
from azurefield_entry.kernel import Kernel, Mailbox, Stop
from azurefield_testkit.entry_support.forwarding_pair import admit
from azurefield_testkit.entry_support.instance import free_address
from azurefield_testkit.processes import Processes
from azurefield_testkit.waiting import accepts, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from azurefield_entry.gateway.crashes.frames import CrashReportFrame

ENDED = ServerEnded(request="r", service="s", server="i-1", incarnation="7", run="q1", suspect=True)
ANSWERED = RequestAnswered(request="r", service="s")


@dataclass(slots=True, kw_only=True)
class Instance:
    """One instance, with the reports that it has received."""

    broadcast: CrashBroadcast
    received: list[CrashReport] = field(default_factory=list)

    def on_frame(self, frame: CrashReportFrame) -> None:
        self.received.append(frame.report)
        self.broadcast.forward(frame)


@asynccontextmanager
async def fleet(count: int) -> AsyncIterator[dict[str, Instance]]:
    """Run the links of some instances that know each other."""
    ports = Processes()
    addresses = {f"i{number:02}": f"127.0.0.1:{ports.free_port()}" for number in range(count)}
    instances: dict[str, Instance] = {}
    async with AsyncExitStack() as stack:
        for name, address in addresses.items():
            view = CoordinatorView(own=name)
            for other, other_address in addresses.items():
                view.on_profile(
                    InstanceProfile(
                        instance=other,
                        availability_zone="z",
                        capacity=1.0,
                        coordinator_address=other_address,
                    )
                )
            broadcast = CrashBroadcast(
                own=name, peers=PeerLinks(view=view), instances=lambda: frozenset(addresses)
            )
            instance = instances[name] = Instance(broadcast=broadcast)
            service = CoordinatorService(
                address=address,
                version=lambda: 1,
                admit=admit,
                run_request=lambda _: asyncio.Future(),
                quota_issuer=QuotaIssuer(fraction=lambda _: 1.0),
                answer_share=lambda frame: ShareNotIssued(number=frame.number),
                on_crash_report=instance.on_frame,
                partitioned=lambda: False,
                finish_timeout_s=0.1,
            )
            mailbox = Mailbox(name=name)
            serving = asyncio.create_task(service.run(Kernel(), mailbox))

            async def stop(
                mailbox: Mailbox = mailbox,
                serving: asyncio.Task[None] = serving,
                broadcast: CrashBroadcast = broadcast,
            ) -> None:
                broadcast.close()
                broadcast.peers.close()
                mailbox.send(Stop())
                await serving

            stack.push_async_callback(stop)
        for address in addresses.values():
            await wait_until(partial(accepts, address), f"{address} accepts links")
        yield instances


@pytest.mark.parametrize("count", [2, 4, DIRECT_MAX + 4])
@pytest.mark.parametrize("report", [ENDED, ANSWERED], ids=["ended", "answered"])
async def test_a_report_reaches_all_other_instances_once(count: int, report: CrashReport) -> None:
    """Guards against instances that go on running a request that ends servers."""
    async with fleet(count) as instances:
        instances["i00"].broadcast.send(report)
        others = [instance for name, instance in instances.items() if name != "i00"]
        await wait_until(lambda: all(other.received for other in others), "all have it")
        assert all(other.received == [report] for other in others)
        assert not instances["i00"].received


async def test_a_report_reaches_an_instance_that_accepts_links_only_later() -> None:
    """Guards against an instance that is busy for a moment and never gets a report."""
    async with fleet(2) as instances:
        view = instances["i00"].broadcast.peers.view
        reachable = view.profiles["i01"]
        view.profiles["i01"] = InstanceProfile(
            instance="i01",
            availability_zone="z",
            capacity=1.0,
            coordinator_address=free_address(),
        )
        instances["i00"].broadcast.send(ENDED)
        await asyncio.sleep(0.05)
        assert not instances["i01"].received
        view.profiles["i01"] = reachable
        await wait_until(lambda: instances["i01"].received == [ENDED], "it has the report")


async def test_a_report_passes_over_an_instance_that_is_gone() -> None:
    """Guards against a group of instances that misses a report because of one of them."""
    async with fleet(DIRECT_MAX + 4) as instances:
        view = instances["i00"].broadcast.peers.view
        gone = view.profiles["i01"]
        view.profiles["i01"] = InstanceProfile(
            instance="i01",
            availability_zone="z",
            capacity=gone.capacity,
            coordinator_address=free_address(),
        )
        instances["i00"].broadcast.send(ENDED)
        others = [instance for name, instance in instances.items() if name not in ("i00", "i01")]
        await wait_until(lambda: all(other.received for other in others), "all others have it")
