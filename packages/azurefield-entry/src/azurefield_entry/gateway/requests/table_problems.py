"""Warns of what a version of the configuration names and the gateway can't use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

if TYPE_CHECKING:
    from azurefield.residency import Residency
    from azurefield.routes import RouteTable

log = Logger("gateway")


def log_problems(table: RouteTable, residency: Residency) -> None:
    """Log the entries that a version leaves out, and the regions in which no zone is."""
    if table.workspaces is not None and table.workspaces.left_out:
        log.warning("Version {} leaves out {}.", table.version, table.workspaces.left_out)
    unknown = residency.unknown_regions(table)
    if unknown:
        log.warning(
            "Version {} allows regions in which no availability zone is: {}.",
            table.version,
            sorted(unknown),
        )
