"""Status probes: each backend server is probed about once a second."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Result

from azurefield.snapshot import StatusReport
from azurefield_entry.backends.dialect import FailedExchange, decode_status, server_error
from azurefield_entry.backends.exchange import HttpAnswer, HttpRequest, exchange

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from azurefield_entry.backends.connection import Connection
    from azurefield_entry.backends.pool import ConnectionPool

PROBE_INTERVAL_S = 1.0
PROBE_JITTER_FRACTION = 0.2
PROBE_TIMEOUT_S = 3.0  # Includes the wait for a free connection.
# Before all calls: probes are cheap, and a busy server without them would count as unknown.
PROBE_PRIORITY = -1

ProbeResult = Result[StatusReport, FailedExchange]


async def run_probes(
    *,
    server: str,
    pool: ConnectionPool[Connection],
    random: Random,
    on_result: Callable[[ProbeResult], None],
) -> None:
    """Probe one backend server until cancelled.

    The jitter keeps the instances from probing a server all at the same time.
    """
    while True:
        on_result(await probe(server=server, pool=pool))
        spread = random.uniform(1 - PROBE_JITTER_FRACTION, 1 + PROBE_JITTER_FRACTION)
        await asyncio.sleep(PROBE_INTERVAL_S * spread)


async def probe(*, server: str, pool: ConnectionPool[Connection]) -> ProbeResult:
    """Send one status probe to a backend server."""
    now = asyncio.get_running_loop().time()
    pool.close_expired(now)
    request = HttpRequest(
        method="GET", path="/status", deadline=now + PROBE_TIMEOUT_S, priority=PROBE_PRIORITY
    )
    return await exchange(pool, request, lambda answer: _decode(server, answer))


def _decode(server: str, answer: HttpAnswer) -> ProbeResult:
    if answer.status != 200:
        return Err(server_error(answer.status))
    return decode_status(answer.body, server=server).map_err(
        lambda failure: FailedExchange(failure=failure)
    )
