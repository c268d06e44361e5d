"""Invalid input to the listeners of real entry instances."""

from __future__ import annotations

from random import Random

import pytest
from aiohttp import web

from azurefield.model import RequestKind
from azurefield_testkit.fuzz import FuzzRequest, RequestFuzzer, exchange, find_faults
from azurefield_testkit.history import SentRequest
from azurefield_testkit.proof import Guarantee, ProofRecorder, ProofRow
from azurefield_testkit.questionnaire import MEMBERS
from azurefield_testkit.tier import running_tier

REQUEST_COUNT = 600
PEER_MESSAGE_COUNT = 60
SEED = 20261204


async def fuzz(address: str, count: int) -> list[str]:
    """Send invalid requests and return all faults found in the answers."""
    fuzzer = RequestFuzzer(rng=Random(SEED), service="desk", member=MEMBERS[0])
    found: list[str] = []
    for _ in range(count):
        request = fuzzer.next_request()
        answer = await exchange(address, request.raw, half_close=not request.well_formed)
        faults = find_faults(request, answer)
        found.extend(f"{fault}: {request.raw[:300]!r}" for fault in faults)
    return found


@pytest.mark.process
@pytest.mark.prove
async def test_bad_requests_and_frames_get_typed_errors_and_stop_nothing(
    proof: ProofRecorder,
) -> None:
    """Guards against invalid input that crashes an instance or leaks data between requests."""
    async with running_tier(instances=2) as tier:
        entry = tier.running_entries()[0]
        before = await tier.processes.get_json(entry.admin_address, "/v1/status")
        found = await fuzz(entry.address, REQUEST_COUNT)
        fuzzer = RequestFuzzer(rng=Random(SEED), service="desk", member=MEMBERS[0])
        for _ in range(PEER_MESSAGE_COUNT):
            await exchange(entry.peer_address, fuzzer.peer_message(), half_close=True)
        request = SentRequest(request_id="after", service="desk", kind=RequestKind.LISTING, limit=9)
        result = await tier.caller.send(entry.address, request)
        after = await tier.processes.get_json(entry.admin_address, "/v1/status")
    proof(
        ProofRow(
            guarantee=Guarantee.BAD_INPUT,
            topic="fuzz",
            cases=REQUEST_COUNT + PEER_MESSAGE_COUNT,
            violations=len(found),
        )
    )
    assert found == []
    assert result.status == 200
    assert before is not None
    assert after is not None
    assert before["incarnation"] == after["incarnation"]


@pytest.mark.prove
async def test_the_fuzzer_finds_the_faults_of_a_server_without_input_checks(
    unused_tcp_port: int, proof: ProofRecorder
) -> None:
    """Guards against a fuzzer whose requests can't provoke internal errors and leaks."""
    seen: list[str] = []

    async def handle_without_checks(request: web.Request) -> web.Response:
        seen.append(request.headers["X-Request-Id"])
        body = await request.json()
        return web.json_response({"query": body["query"], "previous": seen[-2:-1]})

    application = web.Application()
    application.router.add_post("/{path:.*}", handle_without_checks)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", unused_tcp_port).start()
    found = await fuzz(f"127.0.0.1:{unused_tcp_port}", 100)
    await runner.cleanup()
    proof(ProofRow(guarantee=Guarantee.BAD_INPUT, topic="fuzz", weakened=len(found)))
    assert any("token of another" in fault for fault in found)
    assert any("internal error" in fault for fault in found)


def test_an_error_without_a_typed_problem_is_a_fault() -> None:
    """Guards against a fuzzer that accepts an error answer of any form."""
    request = FuzzRequest(token="tok-1-", raw=b"", well_formed=True)
    assert find_faults(request, b"HTTP/1.1 400 Bad Request\r\n\r\nno") != []
