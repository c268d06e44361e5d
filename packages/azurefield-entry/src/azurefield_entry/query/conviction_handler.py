"""Applies convictions: of this instance, of its peers and those that status probes confirm."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger
from msgspec import Struct
from result import Ok

from azurefield_entry.metrics import Metrics
from azurefield_entry.peers.frames import Conviction as ConvictionFields
from azurefield_entry.peers.frames import parse_fields
from azurefield_entry.query.leaf_calls import LeafCalls
from azurefield_entry.query.quarantine import Quarantine, send_convictions
from azurefield_entry.query.query_runner import QueryRunner

if TYPE_CHECKING:
    from azurefield.snapshot import StatusReport
    from azurefield_entry.messages import PeerFrame
    from azurefield_entry.query.running import SentCall

log = Logger("query")


class ConvictionHandler(Struct, kw_only=True):
    """Ends the queries of convicted requests and notifies the peers of own convictions."""

    metrics: Metrics
    quarantine: Quarantine
    leaf_calls: LeafCalls
    query_runner: QueryRunner

    def on_connection_lost(self, now: float, call: SentCall, call_id: str) -> None:
        """Suspect the requests in flight on the server and refuse those that it convicts."""
        if call_id not in self.quarantine.suspects.in_flight:
            return
        incarnation = call.owner.state.incarnation_of(call.server)
        convictions = self.quarantine.on_connection_lost(now, call.server, incarnation)
        send_convictions(self.leaf_calls.kernel, convictions, confirmed=False)
        for conviction in convictions:
            log.warning(
                "Request with fingerprint {} probably crashes backend servers: their connections "
                "were lost while it ran alone; refusing it and notifying the peers.",
                conviction.fingerprint,
            )
            self.metrics.convictions.labels("own").inc()
            self.query_runner.end_convicted(now, conviction.fingerprint)
        self.query_runner.stop_hedging_suspects(now)

    def on_status(self, now: float, report: StatusReport) -> None:
        """Send the convictions that the answer to a status probe confirms to the peers."""
        confirmed = self.quarantine.on_status(now, report.server, report.incarnation)
        send_convictions(self.leaf_calls.kernel, confirmed, confirmed=True)

    def on_status_missing(self, server: str) -> None:
        """Send the convictions that an unanswered status probe confirms to the peers."""
        confirmed = self.quarantine.on_status_missing(server)
        send_convictions(self.leaf_calls.kernel, confirmed, confirmed=True)

    def receive(self, now: float, frame: PeerFrame) -> None:
        """Refuse a request that a peer has convicted; a malformed frame is ignored."""
        match parse_fields(ConvictionFields, frame.fields):
            case Ok(fields):
                if self.quarantine.suspects.refusal(now, fields.fingerprint) is None:
                    self.metrics.convictions.labels("peer").inc()
                self.quarantine.suspects.convict(now, fields.fingerprint, fields.ttl_ms / 1000)
                self.query_runner.end_convicted(now, fields.fingerprint)
                self.quarantine.resume_ready(now)
