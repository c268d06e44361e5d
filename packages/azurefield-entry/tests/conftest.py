from __future__ import annotations

from typing import TYPE_CHECKING

import uvloop

if TYPE_CHECKING:
    from collections.abc import Callable


def pytest_asyncio_loop_factories() -> dict[str, Callable[[], uvloop.Loop]]:
    """Run the tests on uvloop, as the daemon does; its timers are coarser than asyncio's."""
    return {"uvloop": uvloop.new_event_loop}
