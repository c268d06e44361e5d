"""Detection of silent backend servers, which no longer answer their status probes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.snapshot import ServerState, choose_snapshot

if TYPE_CHECKING:
    from azurefield.snapshot import HoldingsTable

# Probes missed in a row until a server counts as silent. A single missed probe is common under
# load. Without this rule a dead server would stay in use until its last report is 30 s old.
MISSED_PROBES_UNTIL_SILENT = 3


class SilentServers(Struct, kw_only=True):
    """Counts the probes missed in a row by each server of one service."""

    missed: dict[str, int] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)

    def on_probe_missed(self, server: str, *, unreachable: bool) -> None:
        """Count a missed probe.

        :param unreachable: whether no connection could be opened, so that calls fail as well
        """
        self.missed[server] = self.missed.get(server, 0) + 1
        if unreachable:
            self.unreachable.add(server)

    def forget(self, server: str) -> None:
        """Reset the state of a server that answered a probe or left the configuration."""
        self.missed.pop(server, None)
        self.unreachable.discard(server)

    def excluded(
        self, now: float, holdings: HoldingsTable, leaving: frozenset[str]
    ) -> frozenset[str]:
        """List the silent and unreachable servers that get no new calls.

        An unreachable server is excluded at once. A silent server stays in use if it holds a leaf
        that no other server covers, since its probes may fail for a reason that does not affect
        calls.
        """
        silent = {
            name for name, missed in self.missed.items() if missed >= MISSED_PROBES_UNTIL_SILENT
        }
        if not silent:
            return frozenset(self.unreachable)
        reports = [
            report
            for at, report in holdings.reports.values()
            if now - at <= holdings.max_age_s
            and report.state is ServerState.LIVE
            and report.server not in leaving | self.unreachable
        ]
        others = [report for report in reports if report.server not in silent]
        choice = choose_snapshot(others, holdings.known_maps(now))
        covered = choice.held_leafs if choice is not None else frozenset()
        needed = {
            report.server
            for report in reports
            if any(holding.leaf not in covered for holding in report.holdings)
        }
        return frozenset((silent - needed) | self.unreachable)
