"""Checks that a request passes before it is started."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec import Struct
from result import Err, Ok, Result

from azurefield_entry.query.failures import unknown_service
from azurefield_entry.query.quarantine import Quarantine
from azurefield_entry.query.state import ServiceState
from azurefield_entry.query.state_table import StateTable

if TYPE_CHECKING:
    from collections.abc import Mapping

    from azurefield.failures import RequestFailure
    from azurefield.model import RequestKind


class AdmittedRequest(Struct, kw_only=True, frozen=True):
    """The routing state and the fingerprint of a request that may run."""

    state: ServiceState
    fingerprint: str


class Admission(Struct, kw_only=True, frozen=True):
    """Decides whether a query or booking may be started."""

    table: StateTable
    quarantine: Quarantine

    def admit(
        self, now: float, service: str, kind: RequestKind, body: Mapping[str, Any]
    ) -> Result[AdmittedRequest, RequestFailure]:
        """Check that the service is known and that the request may run.

        :param body: the JSON body of the request's leaf calls
        :return: the failure if the service is unknown, the body cannot be encoded or the request
            is convicted
        """
        state = self.table.states.get(service)
        if state is None:
            return Err(unknown_service(service))
        match self.quarantine.check(now, service, kind, body):
            case Err(failure):
                return Err(failure)
            case Ok(fingerprint):
                return Ok(AdmittedRequest(state=state, fingerprint=fingerprint))
