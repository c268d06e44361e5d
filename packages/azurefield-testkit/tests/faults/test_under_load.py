"""Faults of real processes under load; each test checks the whole history of its run."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial

import pytest

from azurefield.model import Outcome, RequestKind, even_shard_map
from azurefield.snapshot import HOLDINGS_MAX_AGE_S
from azurefield_testkit.fleet import ServicePlan
from azurefield_testkit.history import History, SentRequest, find_violations
from azurefield_testkit.load import Load, cut_requests, summarize
from azurefield_testkit.proof import Guarantee, ProofRecorder, ProofRow
from azurefield_testkit.tier import Tier, running_tier
from azurefield_testkit.waiting import wait_until

pytestmark = [pytest.mark.process, pytest.mark.prove]

PLANS = (
    ServicePlan(
        name="desk",
        leafs=("a", "b"),
        replicas=3,
        connection_limit=16,
        service_ms=10,
        spread_ms=20,
    ),
    ServicePlan(name="notice", leafs=("p", "q"), replicas=2, connection_limit=20),
)
RESULTS_PER_PHASE = 80
FULL_ANSWERS_IN_A_ROW = 30
# Half of the time for which the last status report of a killed backend server stays valid. Recovery
# within this limit shows that the instances detect killed servers before their reports expire.
RECOVERY_LIMIT_S = HOLDINGS_MAX_AGE_S / 2
# Longer than the time after which a leaving backend server must get no new calls.
DRAIN_S = 5.0


async def wait_for_more_results(load: Load, count: int = RESULTS_PER_PHASE) -> None:
    await load.wait_for_results(len(load.results) + count)


async def kill_instance(tier: Tier, load: Load) -> None:
    await tier.processes.kill("entry-1")
    await wait_for_more_results(load)
    await tier.processes.start_entry("entry-1", "zone-a", **tier.settings)
    await tier.processes.set_balancer_targets(tier.processes.entries.values())
    await tier.processes.wait_ready()


async def freeze_instance(tier: Tier, load: Load) -> None:
    tier.processes.freeze("entry-2")
    await tier.wait_until_balanced(2)
    await wait_for_more_results(load)
    tier.processes.resume("entry-2")
    await tier.processes.wait_ready()


async def cut_off_instance(tier: Tier, load: Load) -> None:
    """Freeze the platform and all other instances, so that one instance is isolated."""
    others = ("platform", "entry-2", "entry-3")
    for name in others:
        tier.processes.freeze(name)
    entry = tier.processes.entries["entry-1"]

    async def is_not_ready() -> bool:
        return not await tier.processes.is_ready(entry)

    await wait_until(is_not_ready, "the isolated instance is not ready")
    request = SentRequest(
        request_id="cut-off", service="desk", kind=RequestKind.LOOKUP, key="desk-1"
    )
    result = await tier.caller.send(entry.address, request)
    assert (result.problem, result.outcome) == ("not-ready", Outcome.NOT_RUN)
    for name in others:
        tier.processes.resume(name)
    await tier.processes.wait_ready()
    await tier.wait_until_balanced(3)
    await wait_for_more_results(load)


async def drain_server(tier: Tier, load: Load) -> None:
    await tier.fleet.control("desk-a-0", state="leaving")
    leaving_since = time.monotonic()
    await wait_until(lambda: time.monotonic() - leaving_since > DRAIN_S, "the server is drained")
    await wait_for_more_results(load)
    await tier.processes.stop("desk-a-0")
    await tier.fleet.restart("desk-a-0")
    await wait_until(partial(has_run_calls, tier, "desk-a-0"), "the restarted server is used again")


async def has_run_calls(tier: Tier, server: str) -> bool:
    address = tier.processes.processes[server].address
    journal = await tier.processes.get_json(address, "/journal")
    return journal is not None and journal["counters"]["calls_run"] > 0


async def break_answers(tier: Tier, load: Load) -> None:
    for name in ("desk-b-0", "desk-b-1", "notice-p-0"):
        await tier.fleet.control(
            name,
            truncate=3,
            other_identity=3,
            close_mid_answer=3,
            close_before_reading=3,
            close_after_reading=3,
        )
    await wait_for_more_results(load)


async def kill_servers(tier: Tier, load: Load) -> None:
    for name in ("desk-a-0", "notice-q-1"):
        await tier.processes.kill(name)
    await wait_for_more_results(load)
    for name in ("desk-a-0", "notice-q-1"):
        await tier.fleet.restart(name)


async def kill_zone(tier: Tier, load: Load) -> None:
    """Kill an entry instance and all backend servers of one availability zone at once."""
    zone = "zone-a"
    servers = [
        server.name
        for started in tier.fleet.servers.values()
        for server in started
        if server.availability_zone == zone
    ]
    lost = tier.processes.entries.pop("entry-1")
    await asyncio.gather(*map(tier.processes.kill, [lost.name, *servers]))
    await assert_full_service(tier)
    await wait_for_more_results(load)
    for name in servers:
        await tier.fleet.restart(name)


async def fail_store(tier: Tier, load: Load) -> None:
    for fault in ({"down": True}, {"down": False, "delay_s": 1.0}, {"delay_s": 0.0}):
        await tier.processes.post(tier.processes.platform_address, **fault)
        await wait_for_more_results(load)


async def restore_old_store(tier: Tier, load: Load) -> None:
    platform = tier.processes.platform_address
    await tier.processes.post(platform, save="first")
    await tier.wait_for_version(await tier.accept(deadline_ms=3_000))
    await tier.processes.post(platform, restore="first")
    await wait_for_more_results(load)
    # The instances write the accepted version back, so that the next change is based on it.
    await wait_until(partial(tier.store_holds, 2), "the store holds the accepted version again")


async def move_records(tier: Tier, load: Load) -> None:
    """Add an index version and another shard map, then drop the old ones."""
    plan = PLANS[0]
    shard_map = even_shard_map(version=2, leafs=("b", "a"))
    tier.history.services["desk"].maps[2] = shard_map
    for server in tier.fleet.servers["desk"]:
        leaf = tier.fleet.leaf_of_server[server.name]
        new_map = {
            "version": 2,
            "ranges": [
                {"leaf": entry.leaf, "first_slot": entry.first_slot, "last_slot": entry.last_slot}
                for entry in shard_map.ranges
            ],
        }
        await tier.fleet.control(
            server.name, add_index_version=2, add_map={"shard_map": new_map, "leafs": [leaf]}
        )
        await wait_for_more_results(load, 20)
    await wait_until(partial(all_answer_from, tier, plan.name, 2), "the new snapshot is in use")
    for server in tier.fleet.servers[plan.name]:
        await tier.fleet.control(server.name, drop_index_version=1, drop_map=1)
        await wait_for_more_results(load, 20)


async def all_answer_from(tier: Tier, service: str, index_version: int) -> bool:
    """Whether every instance answers from a snapshot with this index version."""
    request = SentRequest(request_id="probe", service=service, kind=RequestKind.LISTING, limit=1)
    results = [await tier.caller.send(entry.address, request) for entry in tier.running_entries()]
    return all(
        entry.answer is not None and entry.answer.snapshot.index_version == index_version
        for entry in results
    )


async def replace_all_instances(tier: Tier, load: Load) -> None:
    """Replace every instance by a new one and check that no request was cut off."""
    for number, old in enumerate(["entry-1", "entry-2", "entry-3"]):
        await tier.processes.start_entry(f"entry-{number + 4}", "zone-a", **tier.settings)
        await tier.processes.wait_ready()
        await tier.processes.set_balancer_targets(tier.processes.entries.values())
        await tier.wait_until_balanced(4)
        assert await tier.processes.stop(old) == 0
        await tier.processes.deregister(old)
        del tier.processes.entries[old]
        await tier.wait_until_balanced(3)
    await wait_for_more_results(load)
    assert cut_requests(load.results) == []


async def overlap_faults(tier: Tier, load: Load) -> None:
    """Inject three pairs of simultaneous faults, in an order drawn from the seed."""
    pairs = [
        (kill_instance, fail_store),
        (freeze_instance, kill_servers),
        (drain_server, break_answers),
    ]
    for pair in load.rng.sample(pairs, len(pairs)):
        async with asyncio.TaskGroup() as group:
            for fault in pair:
                group.create_task(fault(tier, load))


@dataclass(slots=True, kw_only=True, frozen=True)
class Scenario:
    name: str
    inject: Callable[[Tier, Load], Awaitable[None]]
    guarantee: Guarantee
    seed: int


SCENARIOS = [
    Scenario(
        name="instance killed", inject=kill_instance, guarantee=Guarantee.AT_MOST_ONCE, seed=1
    ),
    Scenario(
        name="instance frozen and resumed",
        inject=freeze_instance,
        guarantee=Guarantee.AT_MOST_ONCE,
        seed=2,
    ),
    Scenario(
        name="instance cut off", inject=cut_off_instance, guarantee=Guarantee.CONFIGURATION, seed=12
    ),
    Scenario(
        name="backend server drained",
        inject=drain_server,
        guarantee=Guarantee.NO_WORK_WHEN_LEAVING,
        seed=3,
    ),
    Scenario(
        name="broken and foreign answers",
        inject=break_answers,
        guarantee=Guarantee.WHOLE_ANSWER,
        seed=4,
    ),
    Scenario(
        name="backend servers killed", inject=kill_servers, guarantee=Guarantee.TRUE_REFUSAL, seed=5
    ),
    Scenario(
        name="availability zone lost", inject=kill_zone, guarantee=Guarantee.TRUE_COVERAGE, seed=11
    ),
    Scenario(
        name="store down and slow", inject=fail_store, guarantee=Guarantee.CONFIGURATION, seed=6
    ),
    Scenario(
        name="store back with an old state",
        inject=restore_old_store,
        guarantee=Guarantee.CONFIGURATION,
        seed=7,
    ),
    Scenario(
        name="records moved and reindexed",
        inject=move_records,
        guarantee=Guarantee.ONE_SNAPSHOT,
        seed=8,
    ),
    Scenario(
        name="all instances replaced",
        inject=replace_all_instances,
        guarantee=Guarantee.GRACEFUL_STOP,
        seed=9,
    ),
    Scenario(
        name="overlapping faults",
        inject=overlap_faults,
        guarantee=Guarantee.AT_MOST_ONCE,
        seed=10,
    ),
]


def corrupted(history: History) -> History:
    """Return a copy of a history that violates three guarantees, for the column ``weakened``.

    A record is missing from a listing, a booking that ran was refused as not run, and it ran twice.
    """
    results = list(history.results)
    listing = next(n for n, entry in enumerate(results) if entry.answer and entry.answer.records)
    answer = results[listing].answer
    assert answer is not None
    results[listing] = replace(results[listing], answer=replace(answer, records=answer.records[1:]))
    run = history.bookings[0]
    results = [
        (
            replace(entry, outcome=Outcome.NOT_RUN)
            if entry.request.booking == run.payload["booking"]
            else entry
        )
        for entry in results
    ]
    return replace(history, results=results, bookings=[*history.bookings, run])


async def assert_full_service(tier: Tier) -> None:
    """Wait up to ``RECOVERY_LIMIT_S`` until every service gives many full answers in a row."""

    async def answers_fully(service: str) -> bool:
        for _ in range(FULL_ANSWERS_IN_A_ROW):
            request = SentRequest(
                request_id=f"after-{service}", service=service, kind=RequestKind.LISTING, limit=40
            )
            result = await tier.caller.send(tier.balancer, request)
            tier.history.results.append(result)
            if result.answer is None or result.answer.missing:
                return False
        return True

    for plan in tier.fleet.plans:
        await wait_until(
            partial(answers_fully, plan.name),
            f"full coverage of {plan.name}",
            limit_s=RECOVERY_LIMIT_S,
        )


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
async def test_a_fault_under_load_violates_no_guarantee(
    scenario: Scenario, proof: ProofRecorder
) -> None:
    """Guards against a violated guarantee, refused connections or lost coverage after a fault."""
    async with running_tier(plans=PLANS, drain_notice_s=1.0, random_seed=scenario.seed) as tier:
        load = tier.load(seed=scenario.seed, requests=100_000, workers=12)
        running = asyncio.create_task(load.run())
        await load.wait_for_results(RESULTS_PER_PHASE)
        await scenario.inject(tier, load)
        await wait_for_more_results(load)
        load.stop()
        await running
        await assert_full_service(tier)
        violations = await tier.check_history()
        assert violations == [], summarize(load.results)
        assert await tier.fleet.refused_connections() == {}
        proof(
            ProofRow(
                guarantee=scenario.guarantee,
                topic=f"processes: {scenario.name}",
                cases=len(tier.history.results),
                violations=len(violations),
                weakened=len(find_violations(corrupted(tier.history))),
                note=summarize(load.results),
            )
        )


async def test_an_instance_started_during_an_outage_serves_the_version_of_its_peers() -> None:
    """Guards against an instance that serves an old configuration or none during an outage."""
    async with running_tier(plans=PLANS, instances=2) as tier:
        version = await tier.accept(deadline_ms=3_000)
        await tier.wait_for_version(version)
        await tier.processes.post(tier.processes.platform_address, down=True, instances_down=True)
        peers = [entry.peer_address for entry in tier.processes.entries.values()]
        entry = await tier.processes.start_entry("entry-3", "zone-c", seed_peers=peers)
        await tier.processes.wait_ready([entry])
        await tier.wait_for_version(version)
        assert await tier.check_history() == []


@pytest.mark.parametrize("instances", [1, 2], ids=["to-one-instance", "to-two-instances"])
async def test_a_request_that_crashes_servers_is_refused_before_it_has_taken_a_leaf_down(
    instances: int,
) -> None:
    """Guards against one request, resent by its caller, that crashes every replica of a leaf."""
    plan = ServicePlan(name="desk", leafs=("a",), replicas=5)
    async with running_tier(plans=(plan,), instances=2) as tier:
        for server in tier.fleet.servers["desk"]:
            await tier.fleet.control(server.name, crash_on="poison")
        request = SentRequest(
            request_id="poison", service="desk", kind=RequestKind.LOOKUP, key="poison"
        )
        results = [
            await tier.caller.send(entry.address, request)
            for _ in range(8)
            for entry in tier.running_entries()[:instances]
        ]
        names = [server.name for server in tier.fleet.servers["desk"]]
        crashed = [name for name in names if not tier.processes.processes[name].running]
        assert results[-1].problem == "request-crashes-servers"
        assert 1 <= len(crashed) <= 3
        await assert_full_service(tier)
        assert await tier.check_history() == []
