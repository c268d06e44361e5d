"""Client of the platform's list of instances."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from msgspec import Struct
from result import Err, Ok, Result

from azurefield_platform.failures import InvalidCall, ListFailure
from azurefield_platform.http import PlatformHttp, decode_reply

if TYPE_CHECKING:
    import aiohttp


class InstanceRole(StrEnum):
    """Role of a listed process."""

    ENTRY = "entry"
    BACKEND = "backend"


class InstanceState(StrEnum):
    """Whether a listed process gets new work."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(Struct, kw_only=True, frozen=True):
    """One entry of the list; addresses are ``host:port``, or None if the role has none."""

    name: str
    role: InstanceRole
    address: str
    availability_zone: str
    state: InstanceState
    peer_address: str | None = None
    admin_address: str | None = None


class InstanceListReply(Struct, kw_only=True, frozen=True):
    """Body of the reply to a read of the list."""

    instances: tuple[ListedInstance, ...]


class InstanceListClient(Struct, kw_only=True):
    """Reads the list of instances, which lags behind the processes that really run."""

    http: PlatformHttp

    @classmethod
    def connect(cls, base_url: str, session: aiohttp.ClientSession) -> InstanceListClient:
        """Create a client that uses a session of the caller; the caller closes it."""
        return cls(http=PlatformHttp(base_url=base_url, session=session))

    async def instances(self) -> Result[tuple[ListedInstance, ...], ListFailure]:
        """Read the list of all live and leaving instances."""
        match await self.http.read("/v1/instances"):
            case Err(failure):
                return Err(failure)
            case Ok(reply):
                pass
        if reply.status != 200:
            return Err(
                InvalidCall(
                    detail=f"status {reply.status} in the reply to a read of the instance list"
                )
            )
        match decode_reply(reply.body, InstanceListReply):
            case Err(malformed):
                return Err(malformed)
            case Ok(listed):
                return Ok(listed.instances)
