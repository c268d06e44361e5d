"""Settings of one entry instance, read from a JSON file and validated."""

from __future__ import annotations

from dataclasses import dataclass, fields
from ipaddress import ip_address
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from azurefield_entry.addresses import PORT_MAX

if TYPE_CHECKING:
    from pathlib import Path

QUANTITY_MAX = 1e12

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Port = Annotated[int, msgspec.Meta(ge=1, le=PORT_MAX)]
# Neither negative nor inf nor nan.
Quantity = Annotated[float, msgspec.Meta(ge=0, le=QUANTITY_MAX)]


@dataclass(slots=True, kw_only=True, frozen=True)
class Settings:
    """The settings file of a process; all other configuration comes from the platform.

    :param memory_mb: megabytes that the process may use; 0 for the memory of the machine
    :param descriptors_max: descriptors that it may have open; 0 for the operating system's limit
    """

    instance: Name
    availability_zone: Name
    listen: Address
    admin_listen: Address
    peer_listen: Address
    platform_url: Annotated[str, msgspec.Meta(pattern=r"^https?://")]
    seed_peers: tuple[Address, ...] = ()
    drain_notice_s: Seconds = 3.0
    ticket_lifetime_s: Seconds = 120.0
    random_seed: int | None = None
    memory_mb: Quantity = 0.0
    descriptors_max: Quantity = 0.0
    log_level: Annotated[str, msgspec.Meta(pattern="^(debug|info|warning|error)$")] = "info"


class SettingsFailure(Struct, kw_only=True, frozen=True):
    """Why the settings can't be used; ``problem`` names the field and what is allowed."""

    path: str
    problem: str


def load_settings(path: Path) -> Result[Settings, SettingsFailure]:
    """Read and validate the settings of this process."""
    try:
        text = path.read_bytes()
        settings = msgspec.json.decode(text, type=Settings)
        given: dict[str, Any] = msgspec.json.decode(text)
    except OSError as error:
        return Err(SettingsFailure(path=str(path), problem=error.strerror or "can't be read"))
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return Err(SettingsFailure(path=str(path), problem=str(error)))
    problem = find_problem(settings, given)
    if problem is not None:
        return Err(SettingsFailure(path=str(path), problem=problem))
    return Ok(settings)


def find_problem(settings: Settings, given: dict[str, Any]) -> str | None:
    """Find problems that the types don't exclude: unknown fields and invalid addresses."""
    names = {entry.name for entry in fields(Settings)}
    for name in given:
        if name not in names:
            return f"Unknown field `{name}`, allowed are {', '.join(sorted(names))}"
    addresses = {
        "listen": settings.listen,
        "admin_listen": settings.admin_listen,
        "peer_listen": settings.peer_listen,
    }
    addresses |= {f"seed_peers[{n}]": address for n, address in enumerate(settings.seed_peers)}
    for name, address in addresses.items():
        if not is_address(address):
            return f"Expected an IP address and a port of 1 to 65535 - at `$.{name}`"
    return None


def is_address(address: str) -> bool:
    """Whether this is ``host:port`` with an IP address; IPv6 may be in brackets."""
    host, _, port = address.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return 1 <= int(port) <= PORT_MAX


def is_valid_address(address: str) -> bool:
    """Whether this is ``host:port`` with an IP address and a valid port, in any text."""
    return address.rpartition(":")[2].isdecimal() and is_address(address)
