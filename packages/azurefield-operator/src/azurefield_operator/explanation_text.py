"""Writes an explanation as text for people."""

from __future__ import annotations

from typing import TYPE_CHECKING

from azurefield.crash_evidence import Standing
from azurefield.explanation import Place

if TYPE_CHECKING:
    from collections.abc import Iterator

    from azurefield.explanation import (
        Explanation,
        InstanceCandidate,
        MatchedRoute,
        MatchedWorkspace,
        Obstacle,
        QuotaShare,
        ServerCandidate,
        ServiceCandidates,
    )

PLACES = {
    Place.HERE: "runs on this instance",
    Place.COORDINATOR: "is forwarded to a coordinator",
    Place.OTHER_INSTANCE: "is passed on to another instance",
}


def explanation_lines(explanation: Explanation) -> Iterator[str]:
    """Write all lines; the first one says what would happen to the request."""
    yield result_line(explanation)
    yield instance_line(explanation)
    if explanation.route is not None:
        yield route_line(explanation.route)
    if explanation.workspace is not None:
        yield workspace_line(explanation.workspace)
        yield from map(share_line, explanation.workspace.shares)
    if explanation.rank is not None:
        yield f"rank: {explanation.rank} (0 is served first)"
    if explanation.standing not in (None, Standing.USUAL):
        yield f"standing: {explanation.standing}, because servers ended under this content"
    if explanation.own_fraction < 1.0:
        yield f"passes on {1.0 - explanation.own_fraction:.0%} of all requests: servers not reached"
    if explanation.coordinator_zones:
        yield f"coordinators of the route: zones {', '.join(explanation.coordinator_zones)}"
    yield from map(instance_candidate_line, explanation.instances)
    yield from left_out_line("instances", explanation.instances_left_out)
    for service in explanation.services:
        yield from service_lines(service)
    yield from left_out_line("services", explanation.services_left_out)
    if explanation.forwarded is not None:
        refusal = explanation.forwarded.refusal
        yield f"forwarded here by another instance: {refusal or 'accepted'}"


def result_line(explanation: Explanation) -> str:
    """Write what would happen to the request."""
    refusal = explanation.refusal
    if refusal is None:
        return f"the request {PLACES[explanation.place]}"
    later = "" if refusal.retry_after_ms is None else f", again in {refusal.retry_after_ms:.0f} ms"
    return f"the request is refused: {refusal.kind}: {refusal.detail}{later}"


def instance_line(explanation: Explanation) -> str:
    """Write what the instance says of itself."""
    version, age_ms = explanation.version, explanation.store_age_ms
    parts = [
        f"instance: {explanation.instance} ({explanation.availability_zone})",
        "no configuration" if version is None else f"configuration version {version}",
        "no answer of the store yet" if age_ms is None else f"store heard {age_ms:.0f} ms ago",
    ]
    if explanation.draining:
        parts.append("draining")
    return ", ".join(parts)


def route_line(route: MatchedRoute) -> str:
    """Write the matched route."""
    parts = [
        f"route: {route.name} ({route.host}{route.prefix})",
        "public" if route.public else "not public",
        "needs a key" if route.needs_key else "needs no key",
        "idempotent" if route.idempotent else "not idempotent",
        f"timeout {route.timeout_ms:.0f} ms",
        "no goal" if route.goal_ms is None else f"goal {route.goal_ms:.0f} ms",
        f"at most {route.attempts_max} attempts",
        f"priority {route.priority}",
    ]
    if route.allowed_regions is not None:
        parts.append(f"only in the regions {', '.join(route.allowed_regions) or '(none)'}")
    return ", ".join(parts)


def workspace_line(workspace: MatchedWorkspace) -> str:
    """Write the workspace and its quota."""
    priority = "of the route" if workspace.priority is None else str(workspace.priority)
    quota = "no quota"
    if workspace.rate_per_s is not None:
        quota = f"quota {workspace.rate_per_s:g}/s and a burst of {workspace.burst:g}"
    return f"workspace: {workspace.name}, priority {priority}, {quota}"


def share_line(share: QuotaShare) -> str:
    """Write one share of a quota."""
    parts = [f"issued by {share.issuer}" if share.issuer else "no issuer known"]
    if share.tokens is not None:
        parts.append(f"{share.tokens:.1f} requests left")
    parts.append("asked" if share.asked else f"no token expected for {share.denied_for_ms:.0f} ms")
    if share.silent:
        parts.append("issuer silent lately")
    return f"  share {share.slot}: {', '.join(parts)}"


def instance_candidate_line(candidate: InstanceCandidate) -> str:
    """Write one instance that could run the request."""
    parts = [
        choice_text(chosen=candidate.may_be_chosen),
        f"expected {candidate.expected_ms:.1f} ms",
        f"{candidate.outstanding} running",
    ]
    return candidate_line(candidate.instance, candidate.availability_zone, parts, candidate.against)


def service_lines(service: ServiceCandidates) -> Iterator[str]:
    """Write one service with its servers."""
    called = "" if service.called else ", not called by this request"
    yield f"service: {service.service}, {service.usable} usable servers{called}"
    yield from map(server_line, service.servers)
    yield from left_out_line("servers", service.left_out)


def server_line(server: ServerCandidate) -> str:
    """Write one server with what speaks for and against it."""
    counts = server.connections
    parts = [choice_text(chosen=server.may_be_chosen), f"expected {server.expected_ms:.1f} ms"]
    if server.other_zone:
        parts.append(f"other zone (+{server.penalty_ms:.0f} ms)")
    parts.append(
        "no answer yet" if server.latency_ms is None else f"answers in {server.latency_ms:.1f} ms"
    )
    if server.failed_fraction >= 0.01:
        parts.append(f"{server.failed_fraction:.0%} failed")
    if server.share < 1.0:
        parts.append(f"rising, {server.share:.0%} of its usual calls")
    if server.warmup_limit_per_s is not None:
        parts.append(f"warms up, {server.warmup_limit_per_s:g}/s from all instances")
    if server.named_limit_per_s is not None:
        parts.append(f"names a limit of {server.named_limit_per_s:g}/s")
    parts.append(f"{server.outstanding} outstanding")
    parts.append(f"connections {counts.open} of {counts.ceiling} open, {counts.idle} idle")
    if counts.waiting:
        parts.append(f"{counts.waiting} calls wait")
    return candidate_line(server.server, server.availability_zone, parts, server.against)


def choice_text(*, chosen: bool) -> str:
    """Write whether the first attempt may go to a candidate."""
    return "may be the first choice" if chosen else "not the first choice"


def candidate_line(name: str, zone: str, parts: list[str], against: tuple[Obstacle, ...]) -> str:
    """Write the line of a candidate."""
    reasons = [
        str(one.reason) + ("" if one.for_ms is None else f" for {one.for_ms:.0f} ms")
        for one in against
    ]
    ending = f"; against it: {', '.join(reasons)}" if reasons else ""
    return f"  {name} ({zone}): {', '.join(parts)}{ending}"


def left_out_line(what: str, count: int) -> Iterator[str]:
    """Write how many candidates are not listed, if there are such."""
    if count:
        yield f"  {count} further {what} not listed"
