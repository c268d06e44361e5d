"""One run of the soak: the real gateways under faults, and the promises checked meanwhile."""

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
from soak.faults import Faults
from soak.history import History
from soak.proxy import Harm
from soak.site import GATEWAYS, Site

from azurefield_testkit.waiting import ConditionNotMetError, wait_until

CALLERS = 12
WARM_UP_S = 1.0
# Everything that lasts from a fault is over after this time.
SETTLE_S = 6.0
RECOVERY_S = 12.0
CHECKS = 10


@dataclass(slots=True, kw_only=True)
class Report:
    """What a run has shown."""

    seed: int
    requests: int = 0
    answered: int = 0
    endings: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    logs: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        """Describe the run in a line, and each violation in one more."""
        head = f"seed {self.seed}: {self.answered} of {self.requests} requests answered with 200"
        endings = ", ".join(f"{name} {count}" for name, count in sorted(self.endings.items()))
        return "\n".join([f"{head}, {len(self.faults)} faults; {endings}", *self.violations])


async def ready(site: Site) -> bool:
    """Whether all gateways take requests."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
        for gateway in site.gateways.values():
            try:
                async with session.get(f"http://{gateway.readiness}/readiness") as answer:
                    if answer.status != 200:
                        return False
            except (aiohttp.ClientError, TimeoutError):
                return False
    return True


def heal(site: Site) -> None:
    """End all faults."""
    site.store.down = False
    for proxy in [*site.proxies.values(), *(g.store for g in site.gateways.values())]:
        proxy.harm = Harm.NONE
    for leaf in site.leafs.values():
        leaf.behaviour = "answer"
        if leaf.down:
            site.unregister(leaf.name)
    for gateway in site.gateways.values():
        gateway.signal(signal.SIGCONT)


async def check_recovery(site: Site, history: History) -> None:
    """Check that all gateways serve again after the faults."""
    try:
        await wait_until(lambda: ready(site), "all gateways are ready", limit_s=RECOVERY_S)
    except ConditionNotMetError as error:
        history.violate("RECOVER", "-", str(error))


async def roll(site: Site, callers: Callers) -> None:
    """Restart all gateways in turn as planned; no request may be lost."""
    callers.planned_only = True
    for gateway in site.gateways.values():
        process = gateway.process
        gateway.signal(signal.SIGTERM)
        await wait_until(lambda g=gateway, p=process: g.process is not p, "a restart")  # type: ignore[misc]
        await wait_until(lambda: ready(site), "all gateways are ready")
    callers.planned_only = False


async def check_service(site: Site, callers: Callers, history: History) -> None:
    """Check that each gateway answers while nothing fails."""
    for gateway in site.gateways.values():
        sent = [await callers.call_once(number, gateway.name) for number in range(CHECKS)]
        statuses = [one.status for one in sent]
        if statuses.count(200) < CHECKS:
            history.violate(
                "RECOVER", gateway.name, f"{[(one.request_id, one.status) for one in sent]}"
            )


async def soak(seed: int, seconds: float) -> Report:
    """Run the gateways under faults for some seconds."""
    report, history, random = Report(seed=seed), History(), Random(seed)
    with tempfile.TemporaryDirectory(prefix="azurefield-soak-") as directory:
        site = Site(directory=Path(directory), random=random, history=history)
        await site.start()
        keepers = [asyncio.create_task(site.keep(g)) for g in site.gateways.values()]
        callers = Callers(
            seed=seed,
            history=history,
            addresses={name: site.gateways[name].callers for name in GATEWAYS},
        )
        tasks: list[asyncio.Task[None]] = []
        try:
            await wait_until(lambda: ready(site), "all gateways are ready")
            tasks = [asyncio.create_task(callers.call_forever(n)) for n in range(CALLERS)]
            await asyncio.sleep(WARM_UP_S)
            injecting = asyncio.create_task(Faults(site=site, log=report.faults).inject())
            await asyncio.sleep(seconds)
            injecting.cancel()
            await asyncio.wait([injecting])
            heal(site)
            await check_recovery(site, history)
            await asyncio.sleep(SETTLE_S)
            await roll(site, callers)
            await check_service(site, callers, history)
        finally:
            callers.running = False
            for task in [*tasks, *keepers]:
                task.cancel()
            report.logs = [
                line for g in site.gateways.values() if g.process for line in g.process.output
            ]
            await site.stop()
    report.requests = len(history.sent)
    report.answered = sum(sent.status == 200 for sent in history.sent.values())
    report.endings = Counter(f"{sent.kind}:{sent.status}" for sent in history.sent.values())
    report.violations = history.violations
    return report


def main() -> None:
    """Run the soak from the command line."""
    parser = argparse.ArgumentParser(description="Run the gateways under random faults.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, from --seed on")
    parser.add_argument("--seconds", type=float, default=10.0, help="time with faults per seed")
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
