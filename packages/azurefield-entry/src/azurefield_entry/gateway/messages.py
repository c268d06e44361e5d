"""Messages between the services of a gateway process."""

from __future__ import annotations

from dataclasses import dataclass

from azurefield.routes import RouteTable
from azurefield_entry.gateway.ports import Changes, Listing
from azurefield_entry.gateway.settings import GatewaySettings


@dataclass(slots=True, kw_only=True, frozen=True)
class MetadataListed:
    """From ``metadata``: everything in the store.

    :param after_outage: whether the store could not be reached before
    """

    listing: Listing
    after_outage: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class MetadataChanged:
    """From ``metadata``: changes in the store.

    :param age_s: time since the store sent them
    :param after_outage: whether the store could not be reached before
    """

    changes: Changes
    after_outage: bool
    age_s: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreFollowed:
    """From ``metadata``: the store's own reply to a watch, or the revision of a listing.

    :param encoded: the reply; empty if it holds no change
    """

    after: int
    revision: int
    encoded: bytes = b""


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreLeft:
    """From ``metadata``: this instance does not watch the store now."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RoutesInForce:
    """From ``gateway``: a newer version of the routes is in force."""

    table: RouteTable


@dataclass(slots=True, kw_only=True, frozen=True)
class ReportCrash:
    """From ``gateway``: all instances are to know that a request crashed servers here."""

    request: str
    ttl_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Tick:
    """To a service itself: do what is due at regular intervals."""


@dataclass(slots=True, kw_only=True, frozen=True)
class SettingsChanged:
    """From ``settings``: other settings are in force."""

    settings: GatewaySettings
