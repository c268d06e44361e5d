"""Finds the servers that ended while they ran a request, and refuses requests for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct, field

from azurefield.crash_evidence import (
    CrashEvidence,
    CrashReport,
    RequestAnswered,
    ServerEnded,
    Standing,
)
from azurefield.server_check import ServerState
from azurefield_entry.background import BackgroundTasks
from azurefield_entry.clock import now
from azurefield_entry.gateway.metrics import GatewayMetrics
from azurefield_entry.gateway.servers.checker import ServerChecker

if TYPE_CHECKING:
    from azurefield_entry.gateway.requests.running import ActiveCall, RunningRequest, SentCall

# A call without an answer leads to a check of its server once that has been silent for this time.
SILENCE_S = 0.5
log = Logger("crashes")


class CrashWatch(Struct, kw_only=True):
    """Watches the calls of running requests and decides how a request may run.

    :param publish: sends a report of this instance to all others
    :param refuse_running: ends the runs of a request that is refused from now on
    """

    evidence: CrashEvidence
    checker: ServerChecker
    metrics: GatewayMetrics
    publish: Callable[[CrashReport], None]
    refuse_running: Callable[[str], None]
    tasks: BackgroundTasks = field(default_factory=BackgroundTasks)

    def standing(self, request: str) -> Standing:
        """Return how a request may run, by its digest."""
        return self.evidence.standing(now(), request)

    def on_report(self, report: CrashReport) -> bool:
        """Apply a report of any instance.

        :return: whether it adds something to what is known
        """
        standing = self.standing(report.request)
        if not self.evidence.on_report(now(), report):
            return False
        match report:
            case ServerEnded():
                self.metrics.servers_ended.inc()
                log.warning(
                    "Server {} of {} ended while it ran request digest {} (run {}, {}).",
                    report.server,
                    report.service,
                    report.request,
                    report.run,
                    "as a suspect" if report.suspect else "not yet a suspect",
                )
            case RequestAnswered(request=request, service=service):
                log.info("Request digest {} was answered by service {}.", request, service)
        if standing is not Standing.REFUSED and self.standing(report.request) is Standing.REFUSED:
            log.warning(
                "Request digest {} is refused from now on: servers {} ended under it.",
                report.request,
                ", ".join(self.evidence.servers(report.request)),
            )
            self.refuse_running(report.request)
        return True

    def on_call_sent(self, running: RunningRequest, call: SentCall, active: ActiveCall) -> None:
        """Watch a call until it ends."""
        loop = asyncio.get_running_loop()
        active.silence_timer = loop.call_later(SILENCE_S, self.on_silence, running, call, active)

    def on_silence(self, running: RunningRequest, call: SentCall, active: ActiveCall) -> None:
        """Check the server of a call if it has been silent long enough."""
        silent_s = self.checker.contacts.silent_s(now(), call.server, call.sent_at)
        if silent_s < SILENCE_S:
            active.silence_timer = asyncio.get_running_loop().call_later(
                SILENCE_S - silent_s, self.on_silence, running, call, active
            )
        else:
            self.start(self.check_silent_call(running, call, active))

    async def check_silent_call(
        self, running: RunningRequest, call: SentCall, active: ActiveCall
    ) -> None:
        """End a call whose server is down; watch it on otherwise."""
        if await self.check(running, call):
            if active.connection is not None:
                await active.connection.close()
        elif not active.task.done():
            self.on_call_sent(running, call, active)

    def on_run_ended(self, running: RunningRequest, *, cancelled: bool) -> None:
        """Clear a request for the services that answered, and check the servers that did not.

        :param cancelled: whether the caller has left, so that a silent server may still work
        """
        for service in running.answered_services:
            report = RequestAnswered(request=running.digest, service=service)
            if self.on_report(report):
                self.publish(report)
        for call in running.sent_calls.values():
            if call.service in running.answered_services or call.checked:
                continue
            if call.lost or not cancelled:
                self.start(self.check_unanswered_call(running, call))

    async def check_unanswered_call(self, running: RunningRequest, call: SentCall) -> None:
        """Check the server of a call that is left when its request has ended.

        A server that shows that it is up before it has been silent long enough is not checked.
        """
        if not call.lost:
            silent_s = self.checker.contacts.silent_s(now(), call.server, call.sent_at)
            await asyncio.sleep(max(0.0, SILENCE_S - silent_s))
            if self.checker.contacts.silent_s(now(), call.server, call.sent_at) < SILENCE_S:
                return
        await self.check(running, call)

    async def check(self, running: RunningRequest, call: SentCall) -> bool:
        """Check the server of a call and report its end.

        :return: whether it is down
        """
        unanswered = {other.server for other in running.sent_calls.values()}
        entry = self.checker.directory.servers.get(call.server)
        state = await self.checker.check(
            call.server, call.sent_at, avoid=unanswered, services=running.route.services
        )
        log.debug("Server {} is {} after a call without answer.", call.server, state)
        if state is not ServerState.DOWN:
            return False
        call.checked = True
        up_at = self.checker.contacts.up_at.get(call.server, float("-inf"))
        was_up = call.lost or up_at >= call.sent_at
        report = ServerEnded(
            request=running.digest,
            service=call.service,
            server=call.server,
            incarnation="" if entry is None else entry.incarnation,
            run=running.request.request_id,
            suspect=was_up and running.standing is Standing.SUSPECT,
        )
        if self.on_report(report):
            self.publish(report)
        return True

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Run a check in the background."""
        self.tasks.start("check-server", work)

    def close(self) -> None:
        """Stop all checks."""
        self.tasks.cancel()
        self.checker.close()
