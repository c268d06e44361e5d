"""Soak test: runs the real gateways under random faults and checks their guarantees."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import aiohttp
from soak.callers import Callers
from soak.faults import FaultInjector
from soak.history import CRASH_TARGET, History
from soak.proxy import ConnectionFault
from soak.site import DESKS, GATEWAY_MEMORY_MB, GATEWAYS, Site
from soak.workspaces import WORKSPACES

from azurefield_testkit.waiting import ConditionNotMetError, wait_until
from links import Cut

CALLERS = 12
WARM_UP_S = 1.0
# All effects of a fault have ended after this time.
SETTLE_TIME_S = 6.0
RECOVERY_LIMIT_S = 12.0
CHECKS_PER_GATEWAY = 10
CONFIGURATION_DUE_S = 3.0
LIMIT_PER_S = 2.0
LIMIT_WINDOW_S = 4.0
LIMIT_DURATION_S = 5.5
# How long a request is sent that ends leafs, and how many of its sends may reach a leaf later than
# some time after it has ended the third one.
CRASHING_REQUEST_S = 8.0
# Part of what the other gateways serve that partitioned ones have to serve, and the time in which
# they take their requests back.
PARTITIONED_SERVED_MIN = 2 / 3
PARTITION_RETURN_S = 3.0
CRASHES_MIN = 3
CRASH_CONTACT_S = 4.0
LATE_CRASHING_MAX = 3


@dataclass(slots=True, kw_only=True)
class Report:
    """Results of one run; ``status_counts`` counts the requests by kind and status."""

    seed: int
    requests: int = 0
    answered: int = 0
    status_counts: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    logs: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        """Summarise the run in one line, followed by one line per violation."""
        head = f"seed {self.seed}: {self.answered} of {self.requests} requests answered with 200"
        status_counts = ", ".join(
            f"{name} {count}" for name, count in sorted(self.status_counts.items())
        )
        return "\n".join([f"{head}, {len(self.faults)} faults; {status_counts}", *self.violations])


async def all_ready(site: Site) -> bool:
    """Return whether all gateways report that they are ready."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
        for gateway in site.gateways.values():
            try:
                async with session.get(f"http://{gateway.readiness_address}/readiness") as answer:
                    if answer.status != 200:
                        return False
            except (aiohttp.ClientError, TimeoutError):
                return False
    return True


async def clear_faults(site: Site) -> None:
    """End all faults that are still active."""
    site.store.down = False
    for proxy in [*site.proxies.values(), *(g.store for g in site.gateways.values())]:
        proxy.fault = ConnectionFault.NONE
    for leaf in site.leafs.values():
        leaf.behaviour = "answer"
        leaf.limit_per_s = None
        leaf.stutter.active = False
        if leaf.down:
            site.unregister(leaf.name)
    for gateway in site.gateways.values():
        gateway.signal(signal.SIGCONT)
        await gateway.links.heal()


def check_memory(site: Site, history: History) -> None:
    """Check that no gateway has ever used more memory than its settings allow."""
    for gateway in site.gateways.values():
        if gateway.process is not None and gateway.process.running:
            status = Path(f"/proc/{gateway.process.process.pid}/status").read_text(encoding="utf-8")
            peak_kb = next(line.split()[1] for line in status.splitlines() if "VmHWM" in line)
            if int(peak_kb) > GATEWAY_MEMORY_MB * 1000:
                history.add_violation("MEMORY", gateway.name, f"it has used {peak_kb} kB")


async def check_recovery(site: Site, history: History) -> None:
    """Check that all gateways become ready again after the faults."""
    try:
        await wait_until(
            lambda: all_ready(site), "all gateways are ready", limit_s=RECOVERY_LIMIT_S
        )
    except ConditionNotMetError as error:
        history.add_violation("RECOVER", "-", str(error))


async def check_limit(site: Site, history: History) -> None:
    """Check that all gateways together keep to a limit when there are no faults."""
    began = asyncio.get_running_loop().time()
    leafs = await site.limit(DESKS[site.desk_index], LIMIT_PER_S, LIMIT_DURATION_S)
    bound = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5
    listed = sum(key.startswith("azurefield/instances/") for key in site.store.items)
    for leaf in leafs:
        settled = [at for at in leaf.arrivals if at - began > LIMIT_DURATION_S - LIMIT_WINDOW_S]
        if len(settled) > bound:
            detail = f"{len(settled)} requests, allowed {bound}; {listed} instances are listed"
            history.add_violation("LIMIT", leaf.name, detail)


async def check_partition(site: Site, callers: Callers, history: History) -> None:
    """Check that gateways that are cut off from all leafs serve their callers nearly as often."""
    cut = site.random.sample(GATEWAYS, site.random.randrange(1, len(GATEWAYS)))
    for name in cut:
        site.gateways[name].links.cut(site.random.choice([*Cut]))
    await asyncio.sleep(CRASH_CONTACT_S)
    served = {
        name: sum([await callers.is_served(number, name) for number in range(CHECKS_PER_GATEWAY)])
        for name in GATEWAYS
    }
    for name in cut:
        await site.gateways[name].links.heal()
    others = [served[name] for name in GATEWAYS if name not in cut]
    at_cut = [served[name] for name in cut]
    if sum(at_cut) / len(at_cut) < PARTITIONED_SERVED_MIN * sum(others) / len(others):
        history.add_violation("RECOVER", ",".join(cut), f"served {served} of {CHECKS_PER_GATEWAY}")
    await asyncio.sleep(PARTITION_RETURN_S)


async def check_crashing_request(site: Site, callers: Callers, history: History) -> None:
    """Check that a request that ends leafs soon reaches no leaf, though the store is away."""
    site.crashes.clear()
    site.store.down = site.random.random() < 0.5
    sent = await callers.send_crashing(site.random, CRASHING_REQUEST_S)
    site.store.down = False
    if len(site.crashes) < CRASHES_MIN:
        return
    late_from = site.crashes[CRASHES_MIN - 1] + CRASH_CONTACT_S
    late = [s.request_id for s in sent if s.sent_at > late_from and history.runs.get(s.request_id)]
    if len(late) > LATE_CRASHING_MAX:
        history.add_violation("BUDGET", CRASH_TARGET, f"{len(late)} late sends reached leafs")


async def check_configuration(site: Site, history: History) -> None:
    """Check that a new version is in force at all gateways in time."""
    site.put_config()
    line = f"Configuration version {site.version} is in force"
    await asyncio.sleep(CONFIGURATION_DUE_S)
    for gateway in site.gateways.values():
        output = gateway.process.output if gateway.process is not None else []
        if not any(line in entry for entry in output):
            history.add_violation("CONFIG", gateway.name, f"version {site.version} is missing")


async def rolling_restart(site: Site, callers: Callers) -> None:
    """Restart all gateways one after another; no request that ran may stay unanswered."""
    callers.planned_restarts_only = True
    for gateway in site.gateways.values():
        process = gateway.process
        gateway.signal(signal.SIGTERM)
        await wait_until(lambda g=gateway, p=process: g.process is not p, "a gateway restart")  # type: ignore[misc]
        await wait_until(lambda: all_ready(site), "all gateways are ready")
    callers.planned_restarts_only = False


async def check_service(site: Site, callers: Callers, history: History) -> None:
    """Check that each gateway answers all requests when there are no faults."""
    for gateway in site.gateways.values():
        sent = [
            await callers.send_single_request(number, gateway.name)
            for number in range(CHECKS_PER_GATEWAY)
        ]
        statuses = [one.status for one in sent]
        if statuses.count(200) < CHECKS_PER_GATEWAY:
            history.add_violation(
                "RECOVER", gateway.name, f"{[(one.request_id, one.status) for one in sent]}"
            )


async def soak(seed: int, seconds: float) -> Report:
    """Run the gateways under faults for some seconds, then check their recovery.

    Odd seeds have workspaces.
    """
    report, random = Report(seed=seed), Random(seed)
    history = History(workspaces=WORKSPACES if seed % 2 else ())
    with tempfile.TemporaryDirectory(prefix="azurefield-soak-") as directory:
        site = Site(directory=Path(directory), random=random, history=history)
        await site.start()
        supervisors = [asyncio.create_task(site.restart_on_exit(g)) for g in site.gateways.values()]
        callers = Callers(
            seed=seed,
            history=history,
            addresses={name: site.gateways[name].caller_address for name in GATEWAYS},
        )
        tasks: list[asyncio.Task[None]] = []
        try:
            await wait_until(lambda: all_ready(site), "all gateways are ready")
            tasks = [asyncio.create_task(callers.send_requests(n)) for n in range(CALLERS)]
            await asyncio.sleep(WARM_UP_S)
            injection = asyncio.create_task(
                FaultInjector(site=site, log=report.faults, callers=callers).inject()
            )
            await asyncio.sleep(seconds)
            injection.cancel()
            await asyncio.wait([injection])
            await clear_faults(site)
            await check_recovery(site, history)
            check_memory(site, history)
            await asyncio.sleep(SETTLE_TIME_S)
            await check_configuration(site, history)
            await check_limit(site, history)
            await check_partition(site, callers, history)
            await check_crashing_request(site, callers, history)
            await rolling_restart(site, callers)
            await check_service(site, callers, history)
        finally:
            callers.running = False
            for task in [*tasks, *supervisors]:
                task.cancel()
            running = (line for gateway in site.gateways.values() for line in gateway.log_lines())
            report.logs = [*site.logs, *running]
            await site.stop()
    history.check_quotas()
    history.check_logs(report.logs)
    report.requests = len(history.sent)
    report.answered = sum(sent.status == 200 for sent in history.sent.values())
    report.status_counts = Counter(f"{sent.kind}:{sent.status}" for sent in history.sent.values())
    report.violations = history.violations
    return report


def main() -> None:
    """Run the soak test from the command line."""
    parser = argparse.ArgumentParser(description="Run the gateways under random faults.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds, starting with --seed"
    )
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="duration of the faults per seed"
    )
    options = parser.parse_args()
    failed = False
    for seed in range(options.seed, options.seed + options.seeds):
        report = asyncio.run(soak(seed, options.seconds))
        sys.stdout.write(f"{report}\n")
        sys.stdout.flush()
        if report.violations:
            failed = True
            Path(f"soak-{seed}.log").write_text("\n".join(report.logs), encoding="utf-8")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
