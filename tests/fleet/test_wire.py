"""Translation of callers' requests and of leafs' answers."""

from __future__ import annotations

import pytest
from aiohttp.test_utils import make_mocked_request
from msgspec.structs import replace
from result import Err, Ok

from azurefield.failures import FailureKind, LeafFailureReason, RequestFailure
from azurefield.merge import MergedParts
from azurefield.model import Outcome
from azurefield.server_limits import NO_LIMIT
from azurefield.server_load import ServerLoad
from azurefield.workspaces import Workspace
from azurefield_entry.gateway.http_headers import end_to_end
from azurefield_entry.gateway.ports import GatewayRequest, LeafCall, OpaqueAnswer
from azurefield_entry.gateway.requests.access import pass_identity_on
from azurefield_fleet.callers import CallersHttp
from azurefield_fleet.leafs import LeafsHttp

REQUEST = GatewayRequest(
    request_id="q1",
    method="POST",
    host="a.example",
    target="/x/%2f?a=b%20c",
    headers=(("Request-Id", "q1"), ("X-Other", "1")),
    body=b"body",
    arrived_at=10.0,
    deadline=12.0,
)
CALL = LeafCall(request=REQUEST, server="i-1", deadline=11.5)


def test_a_call_carries_the_request_unchanged_with_the_time_left_and_the_server_meant() -> None:
    """Guards against a call that changes the request or lacks its deadline or server."""
    sent = LeafsHttp().encode(CALL, 11.25)
    head, _, body = b"".join(sent).partition(b"\r\n\r\n")
    assert body == b"body"
    assert sent[-1] is REQUEST.body
    assert head.decode().split("\r\n") == [
        "POST /x/%2f?a=b%20c HTTP/1.1",
        "Host: a.example",
        "Request-Id: q1",
        "X-Other: 1",
        "deadline-ms: 250",
        "expected-instance: i-1",
        "Content-Length: 4",
    ]


def test_a_call_names_the_workspace_and_nothing_that_the_caller_said_of_it() -> None:
    """Guards against a server that gets a caller's key, or believes a caller who names one."""
    headers = [("Request-Id", "q1"), ("Credential", "k1"), ("Tenant-Id", "forged"), ("X", "1")]
    parsed = CallersHttp().parse_request(make_mocked_request("GET", "/x", headers), b"", 10.0)
    assert isinstance(parsed, Ok)
    request = replace(parsed.ok_value, workspace=Workspace(name="w1"), caller_key=None)
    call = LeafCall(request=request, server="i-1", deadline=11.0)
    sent = b"".join(LeafsHttp().encode(call, 10.0)).decode()
    assert "tenant-id: w1\r\n" in sent
    assert "X: 1\r\n" in sent
    assert sent.lower().count("tenant-id") == 1
    assert not any(text in sent for text in ("forged", "k1", "redential"))


@pytest.mark.parametrize(
    ("headers", "key"),
    [
        ((), None),
        ((("Credential", "k1"),), "k1"),
        ((("CREDENTIAL", " k1\t"),), "k1"),
        ((("Credential", "k1"), ("credential", "k1")), "k1"),
        ((("Credential", "k1"), ("Credential", "k2")), None),
        ((("Credential", "k1"), ("Credential", "")), None),
        ((("Credential", ""),), ""),
        ((("Credential", "k 1"),), "k 1"),
        ((("Credential", "k1, k1"),), "k1, k1"),
        ((("Credential", "k\u00e9"),), "k\u00c3\u00a9"),
        ((("Credential", "k1"), ("Connection", "Credential")), "k1"),
        ((("Tenant-Id", "w1"),), None),
    ],
)
def test_a_key_is_read_as_it_was_sent_and_shown_nowhere(
    headers: tuple[tuple[str, str], ...], key: str | None
) -> None:
    """Guards against a key that is mixed up with another, and against one in a text form."""
    received = [("Request-Id", "q1"), *headers]
    parsed = CallersHttp().parse_request(make_mocked_request("GET", "/x", received), b"", 10.0)
    assert isinstance(parsed, Ok)
    found = parsed.ok_value.caller_key
    assert (None if found is None else found.value) == key
    assert "k1" not in repr(parsed.ok_value)


def test_without_workspaces_all_headers_are_passed_on() -> None:
    """Guards against an earlier deployment that loses headers which mean nothing to it."""
    headers = [("Request-Id", "q1"), ("Credential", "k1"), ("Tenant-Id", "w1")]
    parsed = CallersHttp().parse_request(make_mocked_request("GET", "/x", headers), b"", 10.0)
    assert isinstance(parsed, Ok)
    assert sorted(pass_identity_on(parsed.ok_value).headers) == sorted(headers)


OK_HEADERS = (("Request-Id", "q1"), ("Response-Signature", "p"))


@pytest.mark.parametrize(
    ("status", "headers", "reason"),
    [
        (503, (("Not-Executed", "1"),), LeafFailureReason.SHEDDING),
        (400, (("not-executed", "1"),), LeafFailureReason.SHEDDING),
        (421, (("Instance-Id", "i-2"),), LeafFailureReason.WRONG_SERVER),
    ],
)
def test_only_what_the_leaf_says_was_not_run_is_a_refusal(
    status: int, headers: tuple[tuple[str, str], ...], reason: LeafFailureReason
) -> None:
    """Guards against a refused call that counts as run, so that it is not retried."""
    result = LeafsHttp().decode(CALL, status, headers, b"")
    assert isinstance(result, Err)
    assert (result.err_value.reason, result.err_value.outcome) == (reason, Outcome.NOT_RUN)


@pytest.mark.parametrize("status", [200, 404, 500, 503, 504])
def test_a_leaf_s_own_answer_is_passed_on_with_its_proof(status: int) -> None:
    """Guards against treating a leaf's own 503, which may have run, as a refusal."""
    answer = LeafsHttp().decode(CALL, status, OK_HEADERS, b"x")
    assert answer == Ok(OpaqueAnswer(status=status, headers=OK_HEADERS, body=b"x", proof="p"))


def test_an_answer_to_another_request_is_no_answer() -> None:
    """Guards against returning an answer to a request that it does not belong to."""
    assert LeafsHttp().decode(CALL, 200, (("Request-Id", "q0"),), b"x") is None


@pytest.mark.parametrize(
    "headers",
    [
        (("Request-Id", "q0"), *OK_HEADERS),
        (*OK_HEADERS, ("response-signature", "other")),
        (*OK_HEADERS, ("Not-Executed", "1"), ("Not-Executed", "0")),
        (*OK_HEADERS, ("Server-Limit", "1"), ("Server-Limit", "2")),
    ],
    ids=["identity", "proof", "not-run", "limit"],
)
def test_a_head_that_gives_two_values_of_a_decisive_header_is_no_answer(
    headers: tuple[tuple[str, str], ...],
) -> None:
    """Guards against a head that is joined from two answers and counts as the later one."""
    result = LeafsHttp().decode(CALL, 503, headers, b"x")
    assert isinstance(result, Err)
    assert (result.err_value.reason, result.err_value.outcome) == (
        LeafFailureReason.MALFORMED,
        Outcome.MAY_HAVE_RUN,
    )


def test_a_header_that_an_answer_repeats_unchanged_is_accepted() -> None:
    """Guards against the loss of an answer whose leaf repeats a header."""
    assert isinstance(LeafsHttp().decode(CALL, 200, (*OK_HEADERS, *OK_HEADERS), b"x"), Ok)


def test_an_answer_without_an_identity_counts_only_on_a_new_connection() -> None:
    """Guards against a late copy of an earlier answer, when its identity is missing."""
    headers = (("Response-Signature", "p"),)
    assert isinstance(LeafsHttp().decode(CALL, 200, headers, b"x", reused=False), Ok)
    assert LeafsHttp().decode(CALL, 200, headers, b"x", reused=True) is None


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (421, (("Instance-Id", "i-2"),)),
        (400, (("Not-Executed", "1"),)),
        (503, (("Not-Executed", "1"),)),
    ],
)
def test_a_refusal_without_an_identity_counts_only_on_a_new_connection(
    status: int, headers: tuple[tuple[str, str], ...]
) -> None:
    """Guards against a request that runs and is refused for a copy of an earlier refusal."""
    assert LeafsHttp().decode(CALL, status, headers, b"", reused=True) is None
    refused = LeafsHttp().decode(CALL, status, headers, b"", reused=False)
    assert isinstance(refused, Err)
    assert refused.err_value.outcome is Outcome.NOT_RUN
    own = (("Request-Id", "q1"), *headers)
    assert isinstance(LeafsHttp().decode(CALL, status, own, b"", reused=True), Err)


def test_an_encoded_body_is_not_the_leaf_s_body() -> None:
    """Guards against forwarding a compressed body, which the leaf's proof does not cover."""
    headers = (*OK_HEADERS, ("Content-Encoding", "gzip"))
    result = LeafsHttp().decode(CALL, 200, headers, b"x")
    assert isinstance(result, Err)
    assert result.err_value.outcome is Outcome.MAY_HAVE_RUN


def test_headers_of_one_connection_are_not_passed_on() -> None:
    """Guards against forwarding hop-by-hop headers, which describe another connection."""
    headers = [
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "5"),
        ("X-End", "2"),
        ("Drop-Me", "3"),
    ]
    assert end_to_end(headers, without=frozenset({"drop-me"})) == (("X-End", "2"),)


@pytest.mark.parametrize(
    ("deadline_ms", "left_s"),
    [("250", 0.25), ("9" * 400, None), ("9" * 5000, None), ("-5", None), ("²", None), ("", None)],
)
def test_a_deadline_that_is_no_usable_number_is_ignored(
    deadline_ms: str, left_s: float | None
) -> None:
    """Guards against a request that has not run and is answered as if it might have."""
    request = make_mocked_request("GET", "/x", {"Request-Id": "q", "Deadline-Ms": deadline_ms})
    parsed = CallersHttp().parse_request(request, b"", 10.0)
    assert isinstance(parsed, Ok)
    assert parsed.ok_value.deadline == (None if left_s is None else 10.0 + left_s)


def failed(kind: FailureKind, outcome: Outcome) -> RequestFailure:
    return RequestFailure(kind=kind, outcome=outcome, detail="d", retry_after_s=0.25)


@pytest.mark.parametrize(
    ("kind", "outcome", "status"),
    [
        (FailureKind.UNKNOWN_SERVICE, Outcome.NOT_RUN, 404),
        (FailureKind.MALFORMED_REQUEST, Outcome.NOT_RUN, 400),
        (FailureKind.BODY_TOO_LARGE, Outcome.NOT_RUN, 413),
        (FailureKind.UNAUTHORIZED, Outcome.NOT_RUN, 401),
        (FailureKind.QUOTA_EXCEEDED, Outcome.NOT_RUN, 429),
        (FailureKind.QUOTA_EXCEEDED, Outcome.MAY_HAVE_RUN, 502),
        (FailureKind.NOT_READY, Outcome.NOT_RUN, 503),
        (FailureKind.DEADLINE_EXCEEDED, Outcome.NOT_RUN, 503),
        (FailureKind.DEADLINE_EXCEEDED, Outcome.MAY_HAVE_RUN, 504),
        (FailureKind.LEAF_UNAVAILABLE, Outcome.MAY_HAVE_RUN, 502),
        (FailureKind.LEAF_UNAVAILABLE, Outcome.NOT_RUN, 503),
        (FailureKind.INTERNAL, Outcome.MAY_HAVE_RUN, 502),
    ],
)
def test_a_status_that_promises_not_run_is_used_only_if_it_is_true(
    kind: FailureKind, outcome: Outcome, status: int
) -> None:
    """Guards against a 429 or 503, which say not run, for a request that may have run."""
    response = CallersHttp().build_response(Err(failed(kind, outcome)))
    assert response.status == status
    assert response.headers.get("Retry-After") == ("0.250" if status in (429, 503) else None)


def test_a_leaf_s_answer_reaches_the_caller_unchanged() -> None:
    """Guards against an answer that loses its status, proof or body on the way."""
    headers = (("Response-Signature", "p"), ("Connection", "close"), ("Content-Type", "x/y"))
    answer = OpaqueAnswer(status=418, headers=headers, body=b"\x00x", proof="p")
    response = CallersHttp().build_response(Ok(answer))
    assert (response.status, response.body) == (418, b"\x00x")
    assert response.headers["Response-Signature"] == "p"
    assert response.headers["Content-Type"] == "x/y"
    assert "Connection" not in response.headers


def test_merged_parts_name_their_proofs_and_what_is_missing() -> None:
    """Guards against a merged answer that hides missing shards or lacks proofs."""
    response = CallersHttp().build_response(
        Ok(MergedParts(proofs=("p1", "p2"), missing=1, body=b"zz"))
    )
    assert (response.status, response.body) == (200, b"zz")
    assert response.headers["Partial-Stamps"] == "p1, p2"
    assert response.headers["Missing-Shards"] == "1"


@pytest.mark.parametrize(
    ("named", "expected"),
    [
        (None, NO_LIMIT),
        ("13.7", 13.7),
        ("0", 0.0),
        ("0.25", 0.25),
        ("", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1e9", None),
        ("5, 6", None),
        ("9" * 400, None),
    ],
)
def test_only_a_plain_number_is_a_limit(named: str | None, expected: float | None) -> None:
    """Guards against a malformed limit that stops all calls or ends a real limit."""
    headers = OK_HEADERS if named is None else (*OK_HEADERS, ("Server-Limit", named))
    result = LeafsHttp().decode(CALL, 200, headers, b"x")
    assert isinstance(result, Ok)
    assert result.ok_value.limit_per_s == expected


def test_a_refusal_names_a_limit_but_never_ends_one() -> None:
    """Guards against a full leaf whose refusal without a limit lifts the one that it named."""
    for named, expected in (((("Server-Limit", "2"),), 2.0), ((), None)):
        headers = (("Request-Id", "q1"), ("Not-Executed", "1"), *named)
        result = LeafsHttp().decode(CALL, 503, headers, b"")
        assert isinstance(result, Err)
        assert result.err_value.limit_per_s == expected


@pytest.mark.parametrize(
    ("headers", "running"),
    [((("Server-Load", "3,0,8"),), 3), ((("Server-Load", "?"),), None), ((), None)],
)
def test_answers_and_refusals_name_the_load_of_a_leaf(
    headers: tuple[tuple[str, str], ...], running: int | None
) -> None:
    """Guards against a report that is lost, or that makes an answer unusable."""
    load = None if running is None else ServerLoad(running=running, waiting=0, slots=8)
    answered = LeafsHttp().decode(CALL, 200, (*OK_HEADERS, *headers), b"x")
    refused = LeafsHttp().decode(CALL, 503, (*OK_HEADERS, ("Not-Executed", "1"), *headers), b"")
    assert isinstance(answered, Ok)
    assert isinstance(refused, Err)
    assert (answered.ok_value.load, refused.err_value.load) == (load, load)


@pytest.mark.parametrize("header", [("Server-Limit", "2"), ("Server-Load", "3,0,8")])
def test_callers_do_not_see_the_limit_or_the_load_of_a_leaf(header: tuple[str, str]) -> None:
    """Guards against a header about the leaf that callers could take for their own limit."""
    headers = (*OK_HEADERS, header)
    answer = OpaqueAnswer(status=200, headers=headers, body=b"x", proof="p")
    assert header[0] not in CallersHttp().build_response(Ok(answer)).headers
