"""Rules that involve several answers of a questionnaire."""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING

from azurefield_operator.faults import Fault, short_json

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from azurefield_operator.questionnaire import Questionnaire, ServiceAnswer

PORT_MAX = 65_535


def rule_faults(questionnaire: Questionnaire) -> list[Fault]:
    """List the violations of rules in a questionnaire whose single fields are valid."""
    zones = [
        (f"availability_zones[{i}]", z) for i, z in enumerate(questionnaire.availability_zones)
    ]
    services = [(f"services[{i}]", service) for i, service in enumerate(questionnaire.services)]
    servers = [
        (f"{path}.backend_servers[{index}]", server)
        for path, service in services
        for index, server in enumerate(service.backend_servers)
    ]
    found = list(duplicate_faults(zones))
    found += duplicate_faults((f"{path}.name", service.name) for path, service in services)
    # A backend server of two services would get its connection limit twice.
    found += duplicate_faults((f"{path}.name", server.name) for path, server in servers)
    found += duplicate_faults((f"{path}.address", server.address) for path, server in servers)
    known = set(questionnaire.availability_zones)
    for path, server in servers:
        found += address_faults(f"{path}.address", server.address)
        if server.availability_zone not in known:
            allowed = "one of " + ", ".join(sorted(known))
            zone = short_json(server.availability_zone)
            found.append(Fault(path=f"{path}.availability_zone", found=zone, allowed=allowed))
    for path, service in services:
        found += service_faults(path, service)
    return found


def service_faults(path: str, service: ServiceAnswer) -> Iterator[Fault]:
    """Check the rules within one service."""
    callers = enumerate(service.callers)
    yield from duplicate_faults((f"{path}.callers[{i}].name", caller.name) for i, caller in callers)
    requests = list(enumerate(service.requests))
    yield from duplicate_faults(
        (f"{path}.requests[{i}].kind", request.kind) for i, request in requests
    )
    for index, request in requests:
        if request.deadline_ms > request.max_deadline_ms:
            yield Fault(
                path=f"{path}.requests[{index}].deadline_ms",
                found=str(request.deadline_ms),
                allowed=f"at most max_deadline_ms, which is {request.max_deadline_ms}",
            )
    if service.slots > service.connection_limit:
        yield Fault(
            path=f"{path}.slots",
            found=str(service.slots),
            allowed=f"at most connection_limit, which is {service.connection_limit}",
        )


def duplicate_faults(values: Iterable[tuple[str, str]]) -> Iterator[Fault]:
    """Report each value that occurs more than once."""
    first: dict[str, str] = {}
    for path, value in values:
        if value in first:
            allowed = f"a value that differs from {first[value]}"
            yield Fault(path=path, found=short_json(value), allowed=allowed)
        first.setdefault(value, path)


def address_faults(path: str, address: str) -> Iterator[Fault]:
    """Check the parts of an address that the pattern of its type does not check."""
    host, _, port = address.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        yield Fault(path=path, found=short_json(address), allowed="a valid IP address")
    if not 1 <= int(port) <= PORT_MAX:
        yield Fault(path=path, found=short_json(address), allowed=f"a port from 1 to {PORT_MAX}")
