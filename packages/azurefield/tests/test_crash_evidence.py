from __future__ import annotations

import pytest

from azurefield.crash_evidence import (
    ANSWER_PRECEDENCE_S,
    EVIDENCE_LIFETIME_S,
    REFUSAL_S,
    REQUESTS_MAX,
    SAME_END_S,
    CrashEvidence,
    RequestAnswered,
    ServerEnded,
    Standing,
)


def ended(
    server: str, *, suspect: bool = False, run: str = "run", service: str = "a", request: str = "r"
) -> ServerEnded:
    return ServerEnded(
        request=request,
        service=service,
        server=server,
        incarnation="1",
        run=run,
        suspect=suspect,
    )


def with_reports(*reports: ServerEnded) -> CrashEvidence:
    evidence = CrashEvidence()
    for report in reports:
        evidence.on_report(0.0, report)
    return evidence


@pytest.mark.parametrize(
    ("reports", "standing"),
    [
        pytest.param([], Standing.USUAL, id="nothing-known"),
        pytest.param([ended("a1")], Standing.SUSPECT, id="one-end"),
        pytest.param(
            [ended("a1"), ended("a2", suspect=True), ended("a3", suspect=True)],
            Standing.REFUSED,
            id="ends-before-and-after-the-suspicion",
        ),
        pytest.param(
            [ended(f"a{number}") for number in range(30)],
            Standing.SUSPECT,
            id="many-servers-ended-at-once",
        ),
        pytest.param(
            [ended("a1", run=f"run{number}") for number in range(30)],
            Standing.SUSPECT,
            id="many-runs-were-in-flight-on-one-server",
        ),
        pytest.param(
            [ended("a1"), *(ended("a1", suspect=True, run=f"run{number}") for number in range(9))],
            Standing.SUSPECT,
            id="many-suspect-runs-were-in-flight-on-one-server",
        ),
        pytest.param(
            [ended("a1"), ended("a2"), ended("a3", suspect=True)],
            Standing.SUSPECT,
            id="one-more-ordinary-crash",
        ),
    ],
)
def test_only_servers_that_end_again_under_a_suspect_lead_to_a_refusal(
    reports: list[ServerEnded], standing: Standing
) -> None:
    """Guards against a request that goes on ending servers, and against refusing harmless ones."""
    evidence = with_reports(*reports)
    assert evidence.standing(1.0, "r") is standing
    assert evidence.standing(1.0, "other") is Standing.USUAL


def test_a_server_that_ends_again_under_each_run_of_a_suspect_counts_each_time() -> None:
    """Guards against a request that is never refused because its service has few servers."""
    evidence = CrashEvidence()
    for number in range(3):
        report = ended("a1", suspect=number > 0, run=f"run{number}")
        assert evidence.standing(number * SAME_END_S, "r") is not Standing.REFUSED
        evidence.on_report(number * SAME_END_S, report)
    assert evidence.standing(3 * SAME_END_S, "r") is Standing.REFUSED


REFUSED = (ended("a1"), ended("a2", suspect=True), ended("a3", suspect=True))


def test_a_harmless_request_is_not_refused_for_what_another_one_did() -> None:
    """Guards against a refusal of requests that wait on the servers that another request ends."""
    evidence = CrashEvidence()
    for number in range(4):
        at = number * SAME_END_S
        evidence.on_report(at, ended(f"a{number}", suspect=number > 0, run=f"run{number}"))
        if number:
            beside = ended(f"a{number}", suspect=True, run=f"beside{number}", request="harmless")
            evidence.on_report(at + 0.5, beside)
    assert evidence.standing(3 * SAME_END_S + 0.5, "r") is Standing.REFUSED
    assert evidence.standing(3 * SAME_END_S + 0.5, "harmless") is Standing.SUSPECT


def test_two_requests_that_end_servers_are_both_refused() -> None:
    """Guards against a request that hides behind another one."""
    evidence = CrashEvidence()
    for request, count in (("r", 3), ("often", 9)):
        for number in range(count):
            run = f"{request}{number}"
            report = ended(run, suspect=number > 0, run=run, request=request)
            evidence.on_report(number * SAME_END_S, report)
    assert evidence.standing(10 * SAME_END_S, "r") is Standing.REFUSED
    assert evidence.standing(10 * SAME_END_S, "often") is Standing.REFUSED


def test_a_report_that_arrives_twice_counts_once() -> None:
    """Guards against a refusal because a report came from the store and from its instance."""
    evidence = CrashEvidence()
    assert evidence.on_report(0.0, REFUSED[0])
    assert not evidence.on_report(0.1, REFUSED[0])
    assert with_reports(*(REFUSED[:2] * 5)).standing(0.0, "r") is Standing.SUSPECT


def test_an_answer_clears_the_request_for_its_service_only() -> None:
    """Guards against a refusal of a harmless request, and against a clearance by other shards."""
    evidence = with_reports(*REFUSED)
    assert not evidence.on_report(1.0, RequestAnswered(request="r", service="b"))
    assert evidence.standing(1.0, "r") is Standing.REFUSED
    assert evidence.on_report(1.0, RequestAnswered(request="r", service="a"))
    assert evidence.standing(1.0, "r") is Standing.USUAL


def test_reports_that_were_under_way_at_an_answer_are_ignored() -> None:
    """Guards against a suspicion that outlives the answer, and against one that never returns."""
    evidence = with_reports(*REFUSED)
    evidence.on_report(1.0, RequestAnswered(request="r", service="a"))
    assert not evidence.on_report(1.5, ended("a4"))
    assert evidence.standing(1.5, "r") is Standing.USUAL
    assert evidence.on_report(1.0 + ANSWER_PRECEDENCE_S, ended("a4"))
    assert evidence.standing(1.0 + ANSWER_PRECEDENCE_S, "r") is Standing.SUSPECT


def test_a_refusal_ends_in_a_suspicion_and_that_in_nothing() -> None:
    """Guards against a request that is refused for good, or may end three servers again."""
    evidence = with_reports(*REFUSED)
    assert evidence.standing(REFUSAL_S - 1.0, "r") is Standing.REFUSED
    assert evidence.standing(REFUSAL_S, "r") is Standing.SUSPECT
    evidence.on_report(REFUSAL_S, ended("a9", suspect=True, run="later"))
    assert evidence.standing(REFUSAL_S, "r") is Standing.REFUSED
    assert evidence.standing(REFUSAL_S + EVIDENCE_LIFETIME_S, "r") is Standing.USUAL


def test_the_evidence_is_bounded() -> None:
    """Guards against memory that grows with every server that ends."""
    evidence = CrashEvidence()
    for number in range(REQUESTS_MAX + 10):
        evidence.on_report(float(number), ended("a1", request=f"r{number}"))
    assert len(evidence.requests) == REQUESTS_MAX
    assert "r0" not in evidence.requests
    evidence.expire(2 * REQUESTS_MAX + EVIDENCE_LIFETIME_S)
    assert not evidence.requests
    assert not evidence.ends


def test_the_servers_that_ended_are_named() -> None:
    """Guards against a refusal that an operator can't trace to servers."""
    assert with_reports(*REFUSED).servers("r") == ["a1", "a2", "a3"]
    assert CrashEvidence().servers("r") == []
