"""Command line of the entry daemon."""

from __future__ import annotations

import sys
from pathlib import Path  # noqa: TC003 - defopt resolves annotations at run time.
from typing import TYPE_CHECKING

import defopt
from result import Err, Ok

from azurefield_entry.lifetime import EXIT_BAD_SETTINGS, run_process, serve
from azurefield_entry.settings import Settings, load_settings
from azurefield_entry.wiring import make_kernel, make_services
from azurefield_platform.http import open_session

if TYPE_CHECKING:
    from result import Result

    from azurefield_entry.kernel import ServiceCrashed


def run(*, settings: Path) -> int:
    """Run one entry instance until SIGTERM.

    :param settings: JSON file with the settings of this process
    :return: exit code: 0 after a planned stop, 70 after a crash, 78 for bad settings
    """
    match load_settings(settings):
        case Err(failure):
            sys.stderr.write(f"[settings] {failure.path}: {failure.problem}\n")
            return EXIT_BAD_SETTINGS
        case Ok(loaded):
            return run_process(start(loaded), log_level=loaded.log_level)


async def start(settings: Settings) -> Result[None, ServiceCrashed]:
    """Build the services inside the event loop and serve."""
    async with open_session() as session:
        kernel = make_kernel(make_services(settings, session))
        return await serve(kernel, drain_notice_s=settings.drain_notice_s)


def main() -> None:
    """Run the command ``azurefield-entry``."""
    sys.exit(defopt.run(run))
