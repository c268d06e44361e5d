"""The command that asks an instance where a request would go."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from msgspec.structs import replace

from azurefield.explanation import (
    ConnectionCounts,
    ExpectedRefusal,
    ExplainQuery,
    Explanation,
    MatchedRoute,
    MatchedWorkspace,
    Obstacle,
    ObstacleReason,
    Place,
    QuotaShare,
    ServerCandidate,
    ServiceCandidates,
)
from azurefield.failures import FailureKind
from azurefield_operator import explaining
from azurefield_operator.explaining import explain_request
from azurefield_operator.explanation_text import explanation_lines
from azurefield_operator.outcome import ExitCode
from azurefield_operator.report import Output

SECRET = "Kx7qPz2mWv9tRb4n"
QUERY = ExplainQuery(host="a.example", path="/s/x", workspace=SECRET)
SERVER = ServerCandidate(
    server="d1",
    availability_zone="one",
    other_zone=False,
    may_be_chosen=True,
    against=(),
    outstanding=2,
    latency_ms=9.1,
    failed_fraction=0.0,
    penalty_ms=0.0,
    expected_ms=27.3,
    share=1.0,
    warmup_limit_per_s=None,
    named_limit_per_s=9.0,
    connections=ConnectionCounts(open=2, idle=1, ceiling=5, waiting=0),
)
AWAY = replace(
    SERVER,
    server="d2",
    availability_zone="two",
    other_zone=True,
    may_be_chosen=False,
    against=(Obstacle(reason=ObstacleReason.EJECTED, for_ms=800.0),),
    penalty_ms=15.0,
    share=0.25,
)
RUNS = Explanation(
    instance="n1",
    availability_zone="one",
    version=3,
    store_age_ms=120.4,
    draining=False,
    place=Place.HERE,
    route=MatchedRoute(
        name="single",
        host="a.example",
        prefix="/s/",
        public=False,
        needs_key=True,
        idempotent=True,
        timeout_ms=1000.0,
        goal_ms=200.0,
        attempts_max=2,
        priority=1,
    ),
    workspace=MatchedWorkspace(
        name="w",
        priority=0,
        rate_per_s=5.0,
        burst=10.0,
        shares=(
            QuotaShare(
                slot=4, issuer="n2", asked=True, denied_for_ms=0.0, silent=True, tokens=None
            ),
        ),
    ),
    rank=0,
    services=(
        ServiceCandidates(
            service="desk", called=True, usable=2, servers=(SERVER, AWAY), left_out=3
        ),
    ),
)
REFUSED = replace(
    RUNS,
    place=Place.NOWHERE,
    refusal=ExpectedRefusal(kind=FailureKind.QUOTA_EXCEEDED, detail="used up"),
)
TEXT = """\
the request runs on this instance
instance: n1 (one), configuration version 3, store heard 120 ms ago
route: single (a.example/s/), not public, needs a key, idempotent, timeout 1000 ms, goal 200 ms, at most 2 attempts, priority 1
workspace: w, priority 0, quota 5/s and a burst of 10
  share 4: issued by n2, asked, issuer silent lately
rank: 0 (0 is served first)
service: desk, 2 usable servers
  d1 (one): may be the first choice, expected 27.3 ms, answers in 9.1 ms, names a limit of 9/s, 2 outstanding, connections 2 of 5 open, 1 idle
  d2 (two): not the first choice, expected 27.3 ms, other zone (+15 ms), answers in 9.1 ms, rising, 25% of its usual calls, names a limit of 9/s, 2 outstanding, connections 2 of 5 open, 1 idle; against it: ejected for 800 ms
  3 further servers not listed"""  # noqa: E501


def reply(body: bytes, status: str = "200 OK") -> bytes:
    """Build a whole reply of HTTP."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def encoded(explanation: Explanation) -> bytes:
    return reply(msgspec.json.encode(explanation))


async def code_of(sent: bytes | None) -> ExitCode:
    """Run the command against an instance that sends some bytes, or nothing."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if sent is None:
            await reader.read()
        else:
            writer.write(sent)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        return await explain_request(Output(json=True), address, QUERY)
    finally:
        server.close()


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        pytest.param(encoded(RUNS), ExitCode.DONE, id="would-run"),
        pytest.param(encoded(REFUSED), ExitCode.REFUSED, id="would-be-refused"),
        pytest.param(encoded(RUNS)[:-40], ExitCode.UNAVAILABLE, id="ends-halfway"),
        pytest.param(None, ExitCode.UNAVAILABLE, id="silent"),
        pytest.param(b"", ExitCode.UNAVAILABLE, id="closes"),
        pytest.param(reply(b"{}"), ExitCode.FAILED, id="not-an-explanation"),
        pytest.param(reply(b"\xff"), ExitCode.FAILED, id="not-json"),
        pytest.param(b"no http\r\n\r\n", ExitCode.FAILED, id="not-http"),
        pytest.param(reply(b"x" * 5000), ExitCode.FAILED, id="too-large"),
        pytest.param(reply(b"", "404 Not Found"), ExitCode.FAILED, id="older-version"),
        pytest.param(reply(b"", "503 Busy"), ExitCode.FAILED, id="other-status"),
        pytest.param(reply(b"wrong", "400 Bad"), ExitCode.FAULTS, id="wrong-parameter"),
    ],
)
async def test_each_reply_has_its_exit_code(
    sent: bytes | None,
    code: ExitCode,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a script that takes a missing answer for a request that would run."""
    monkeypatch.setattr(explaining, "EXPLAIN_TIMEOUT_S", 0.5)
    monkeypatch.setattr(explaining, "REPLY_BYTES_MAX", 4000)
    assert await code_of(sent) is code
    written = capsys.readouterr()
    assert SECRET not in written.out + written.err
    if code in (ExitCode.DONE, ExitCode.REFUSED):
        shown = msgspec.json.decode(written.out, type=Explanation)
        assert shown == (RUNS if code is ExitCode.DONE else REFUSED)


def test_the_text_says_what_speaks_for_and_against_each_server() -> None:
    """Guards against lines that leave out why a server is not chosen."""
    assert "\n".join(explanation_lines(RUNS)) == TEXT


@pytest.mark.parametrize(
    ("explanation", "line"),
    [
        (REFUSED, "the request is refused: quota-exceeded: used up"),
        (replace(RUNS, place=Place.COORDINATOR), "the request is forwarded to a coordinator"),
    ],
)
def test_the_first_line_says_what_would_happen(explanation: Explanation, line: str) -> None:
    """Guards against a reader who has to look for the result."""
    assert next(explanation_lines(explanation)) == line
