"""Frames between an instance that calls limited servers and the issuer of their quota."""

from __future__ import annotations

import msgspec


class QuotaAsked(msgspec.Struct, tag="quota", frozen=True, kw_only=True):
    """One call is about to be sent; clocks differ between instances, so times are durations.

    :param number: names the request in later frames of the same link
    :param limit_per_s: the limit of the server as the sender knows it, in requests per second
    :param limit_age_s: time since the server named it
    :param priority: priority of the call, 0 first
    :param wait_s: how long the call may wait for a token
    """

    number: int
    server: str
    service: str
    limit_per_s: float
    limit_age_s: float
    priority: int
    wait_s: float


class QuotaWithdrawn(msgspec.Struct, tag="quota-withdrawn", frozen=True, kw_only=True):
    """A call no longer waits for a token."""

    number: int


class LimitEnded(msgspec.Struct, tag="limit-ended", frozen=True, kw_only=True):
    """A server has answered without a limit."""

    server: str


class QuotaGiven(msgspec.Struct, tag="quota-given", frozen=True, kw_only=True):
    """The call may be sent.

    :param limit_ended: whether the server no longer names a limit
    """

    number: int
    limit_ended: bool


class QuotaRefused(msgspec.Struct, tag="quota-refused", frozen=True, kw_only=True):
    """The call can't be sent in time; a token is expected after ``wait_s``."""

    number: int
    wait_s: float


class ShareAsked(msgspec.Struct, tag="share", frozen=True, kw_only=True):
    """A request of a workspace is about to be dispatched; the reply follows at once.

    :param slot: the issuer slot of the share
    :param rate_per_s: the rate of the workspace's quota, in requests per second
    :param version: the version of the configuration that names the quota
    """

    number: int
    slot: int
    workspace: str
    rate_per_s: float
    burst: float
    version: int


class ShareNotIssued(msgspec.Struct, tag="share-not-issued", frozen=True, kw_only=True):
    """The asked instance does not hold the issuer slot."""

    number: int


ToIssuer = QuotaAsked | QuotaWithdrawn | LimitEnded | ShareAsked
FromIssuer = QuotaGiven | QuotaRefused | ShareNotIssued
