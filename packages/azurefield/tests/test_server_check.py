from __future__ import annotations

from random import Random

import pytest

from azurefield.directory import Directory, RegisteredServer, RegisteredState
from azurefield.server_check import CheckRound, ServerState, choose_controls, judge

FAILED = CheckRound(reached=False, control_reached=True)
REACHED = CheckRound(reached=True, control_reached=False)
NOTHING = CheckRound(reached=False, control_reached=False)


@pytest.mark.parametrize(
    ("rounds", "state"),
    [
        pytest.param([], None, id="not-begun"),
        pytest.param([REACHED], ServerState.UP, id="up"),
        pytest.param([FAILED], None, id="once-unreachable"),
        pytest.param([FAILED, FAILED], ServerState.DOWN, id="down"),
        pytest.param([FAILED, REACHED], ServerState.UP, id="reached-again"),
        pytest.param([NOTHING], ServerState.UNKNOWN, id="partitioned"),
        pytest.param([FAILED, NOTHING], ServerState.UNKNOWN, id="partitioned-meanwhile"),
    ],
)
def test_a_server_is_down_only_if_others_can_be_reached(
    rounds: list[CheckRound], state: ServerState | None
) -> None:
    """Guards against an instance that takes its own partition for crashes of servers."""
    assert judge(rounds) is state


def directory(**services: str) -> Directory:
    known = Directory()
    for server, service in services.items():
        known.on_entry(
            RegisteredServer(
                server=server,
                service=service,
                address="192.0.2.1:80",
                availability_zone="one",
                state=RegisteredState.LIVE,
            )
        )
    return known


@pytest.mark.parametrize(
    ("servers", "chosen"),
    [
        pytest.param({"a1": "a", "a2": "a", "b1": "b"}, {"b1", "a2"}, id="other-services-first"),
        pytest.param({"a1": "a", "a2": "a"}, {"a2"}, id="only-the-same-service"),
        pytest.param({"a1": "a"}, set(), id="no-other-server"),
    ],
)
def test_controls_are_servers_that_did_not_run_the_request(
    servers: dict[str, str], chosen: set[str]
) -> None:
    """Guards against a comparison with servers that the same request has ended."""
    controls = choose_controls(Random(1), directory(**servers), avoid={"a1"}, services={"a"})
    assert set(controls) == chosen
    assert controls == sorted(controls, key=lambda server: servers[server] == "a")
