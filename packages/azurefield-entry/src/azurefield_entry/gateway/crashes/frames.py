"""Frames that carry crash reports from one instance to another."""

from __future__ import annotations

import msgspec

from azurefield.crash_evidence import CrashReport, RequestAnswered, ServerEnded


class ServerEndedFrame(msgspec.Struct, tag="server-ended", frozen=True, kw_only=True):
    """A server ended while it ran a request.

    :param forward_to: the instances to which the receiver forwards the report
    """

    report: ServerEnded
    forward_to: tuple[str, ...] = ()


class RequestAnsweredFrame(msgspec.Struct, tag="request-answered", frozen=True, kw_only=True):
    """A server of a service has answered a request that is under suspicion.

    :param forward_to: the instances to which the receiver forwards the report
    """

    report: RequestAnswered
    forward_to: tuple[str, ...] = ()


CrashReportFrame = ServerEndedFrame | RequestAnsweredFrame


def encode_report(report: CrashReport, forward_to: tuple[str, ...]) -> CrashReportFrame:
    """Build the frame of a report."""
    if isinstance(report, ServerEnded):
        return ServerEndedFrame(report=report, forward_to=forward_to)
    return RequestAnsweredFrame(report=report, forward_to=forward_to)
