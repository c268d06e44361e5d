"""Workspaces: the customers of the gateway, each with a priority and a quota of requests."""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass, field
from hashlib import sha256
from math import isfinite
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

# Names and keys are values of headers: visible ASCII, with spaces only inside.
HEADER_VALUE = re.compile(r"[!-~]([ -~]*[!-~])?")
NAME_CHARACTERS_MAX = 256
# No deployment reaches it, and sums and products of two such numbers stay exact enough.
QUOTA_MAX = 1e9


class RequestQuota(Struct, kw_only=True, frozen=True):
    """How many requests of a workspace may run on all instances together.

    In any time of ``t`` seconds, these are at most ``rate_per_s * t + burst``, apart from what
    ``QuotaBounds`` tolerates.

    :param rate_per_s: requests per second, above 0
    :param burst: requests that may run at once in addition, 0 or more
    """

    rate_per_s: float
    burst: float

    @classmethod
    def build(cls, rate_per_s: float, burst: float) -> RequestQuota | None:
        """Build a quota with bounded numbers; None if the rate is 0, which means no quota.

        :raises ValueError: if a number is negative or not finite
        """
        if not (isfinite(rate_per_s) and isfinite(burst)) or rate_per_s < 0 or burst < 0:
            raise ValueError("rate and burst of a quota must be finite and 0 or more")
        if rate_per_s == 0:
            return None
        return cls(rate_per_s=min(rate_per_s, QUOTA_MAX), burst=min(burst, QUOTA_MAX))


class Workspace(Struct, kw_only=True, frozen=True):
    """A workspace of one version of the configuration.

    :param priority: decides before the priority of the routes, 0 first; None to keep theirs
    :param quota: None if any number of requests may run
    :param allowed_regions: the regions that requests may run in; None for any
    """

    name: str
    priority: int | None = None
    quota: RequestQuota | None = None
    allowed_regions: frozenset[str] | None = None


class KeyDigest(Struct, kw_only=True, frozen=True):
    """What is known of a configured key without the key itself.

    :param sha256: the digest of its text
    :param usable: whether a header can carry the key unchanged

    >>> KeyDigest.of("secret").usable, KeyDigest.of(" padded").usable
    (True, False)
    """

    sha256: bytes
    usable: bool

    @classmethod
    def of(cls, key: str) -> KeyDigest:
        """Compute the digest of a key, which may hold any characters."""
        return cls(sha256=digest_of_key(key), usable=HEADER_VALUE.fullmatch(key) is not None)


class WorkspaceEntry(Struct, kw_only=True, frozen=True):
    """A workspace with its keys, as configured."""

    name: str
    keys: tuple[KeyDigest, ...]
    priority: int | None = None
    quota: RequestQuota | None = None
    allowed_regions: frozenset[str] | None = None

    @property
    def workspace(self) -> Workspace:
        """The workspace without its keys."""
        return Workspace(
            name=self.name,
            priority=self.priority,
            quota=self.quota,
            allowed_regions=self.allowed_regions,
        )


class LeftOutEntries(Struct, kw_only=True, frozen=True):
    """How many entries of a configuration give no access because they can't be used.

    :param workspaces: workspaces whose name can't be used or is given twice
    :param unusable_keys: keys that no header can carry unchanged
    :param shared_keys: keys of several workspaces

    >>> print(LeftOutEntries(workspaces=1, shared_keys=2))
    workspaces=1 unusable_keys=0 shared_keys=2
    """

    workspaces: int = 0
    unusable_keys: int = 0
    shared_keys: int = 0

    def __bool__(self) -> bool:
        return self != LeftOutEntries()

    def __str__(self) -> str:
        return (
            f"workspaces={self.workspaces} unusable_keys={self.unusable_keys}"
            f" shared_keys={self.shared_keys}"
        )


@dataclass(slots=True, kw_only=True)
class WorkspaceKeys:
    """The workspaces of one version, found by key or by name.

    Only digests of the keys are kept, so that nothing that is written of this object shows a key.

    :param region_bounds: the different sets of regions that workspaces may use

    >>> entry = WorkspaceEntry(name="w", keys=(KeyDigest.of("secret"),))
    >>> workspaces = WorkspaceKeys.build([entry])
    >>> workspaces.find("secret").name, workspaces.find("other"), "secret" in repr(workspaces)
    ('w', None, False)
    """

    by_name: dict[str, Workspace] = field(default_factory=dict)
    by_digest: dict[bytes, Workspace] = field(default_factory=dict, repr=False)
    left_out: LeftOutEntries = field(default_factory=LeftOutEntries)
    region_bounds: frozenset[frozenset[str]] = frozenset()

    @classmethod
    def build(cls, entries: Iterable[WorkspaceEntry]) -> WorkspaceKeys:
        """Index the workspaces; what can't be used or is ambiguous gives no access."""
        entries = tuple(entries)
        names = Counter(entry.name for entry in entries)
        used = [entry for entry in entries if is_usable_name(entry.name) and names[entry.name] == 1]
        holders = Counter(key for entry in entries for key in frozenset(entry.keys))
        usable = {key for key in holders if key.usable}
        by_name = {entry.name: entry.workspace for entry in used}
        return cls(
            by_name=by_name,
            by_digest={
                key.sha256: by_name[entry.name]
                for entry in used
                for key in entry.keys
                if key in usable and holders[key] == 1
            },
            left_out=LeftOutEntries(
                workspaces=len(entries) - len(used),
                unusable_keys=len(holders) - len(usable),
                shared_keys=sum(holders[key] > 1 for key in usable),
            ),
            region_bounds=frozenset(
                workspace.allowed_regions
                for workspace in by_name.values()
                if workspace.allowed_regions is not None
            ),
        )

    def find(self, key: str) -> Workspace | None:
        """Return the workspace of a key; None if none has it."""
        return self.by_digest.get(digest_of_key(key))


def digest_of_key(key: str) -> bytes:
    """Hash a key, which may hold any characters."""
    return sha256(key.encode(errors="surrogatepass")).digest()


def is_usable_name(name: str) -> bool:
    """Whether a header can carry a name unchanged."""
    return len(name) <= NAME_CHARACTERS_MAX and HEADER_VALUE.fullmatch(name) is not None
