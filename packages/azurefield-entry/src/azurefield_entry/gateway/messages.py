"""Messages between the services of a gateway process."""

from __future__ import annotations

from msgspec import Struct

from azurefield.crash_evidence import CrashReport
from azurefield.issuer_slots import SlotHold
from azurefield.routes import RouteTable
from azurefield_entry.gateway.ports import Changes, Listing
from azurefield_entry.gateway.settings import GatewaySettings


class MetadataListed(Struct, kw_only=True, frozen=True):
    """From ``metadata``: a complete listing of the store.

    :param after_outage: whether this is the first answer after an outage of the store, or after it
        has lost changes, so that entries may be missing for now
    """

    listing: Listing
    after_outage: bool


class MetadataChanged(Struct, kw_only=True, frozen=True):
    """From ``metadata``: changes in the store.

    :param age_s: time since the store sent them
    :param after_outage: whether this is the first answer after an outage of the store
    """

    changes: Changes
    after_outage: bool
    age_s: float = 0.0


class StoreReplyReceived(Struct, kw_only=True, frozen=True):
    """From ``metadata`` to ``relay``: the changes in a watch's reply, or a listing's revision.

    :param after: the revision that was known before
    :param encoded: the changes as followers get them; empty if there are none
    :param age_s: time since the store sent them; 0 unless another relay forwarded it
    :param era: the store's era; None if it names none
    """

    after: int
    revision: int
    encoded: bytes = b""
    age_s: float = 0.0
    era: int | None = None


class StoreWatchEnded(Struct, kw_only=True, frozen=True):
    """From ``metadata`` to ``relay``: this instance no longer watches the store."""


class RouteTableChanged(Struct, kw_only=True, frozen=True):
    """From ``gateway``: a newer version of the route table is in force."""

    table: RouteTable


class WriteCrashReport(Struct, kw_only=True, frozen=True):
    """From ``gateway``: write a crash report to the store."""

    report: CrashReport


class Tick(Struct, kw_only=True, frozen=True):
    """To a service itself: run its periodic work."""


class SettingsChanged(Struct, kw_only=True, frozen=True):
    """From ``settings``: the settings have changed."""

    settings: GatewaySettings


class IssuerSlotsChanged(Struct, kw_only=True, frozen=True):
    """From ``metadata``: who holds the issuer slots of workspaces' quotas.

    :param holders: the instance of each slot that has a key in the store
    :param lease_until: until when this instance holds its slots, on the clock of ``lease_now``
    :param held: the slots that this instance holds, and since when
    """

    holders: dict[int, str]
    lease_until: float
    held: dict[int, SlotHold]
