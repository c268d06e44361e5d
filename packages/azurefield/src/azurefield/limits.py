"""Division of the backend servers' connections among the entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.membership import HEARTBEAT_MAX_AGE_S, Heartbeat, KnownInstance

if TYPE_CHECKING:
    from collections.abc import Mapping


JOIN_WAIT_S = 2.5  # Two heartbeat intervals of 1 s and the time of a connection attempt.
# A raise stops waiting for an instance after this long without a heartbeat from it, if no peer
# receives its heartbeats either. By then the peers' heartbeats have reported its last claims.
PEER_SILENCE_S = HEARTBEAT_MAX_AGE_S + 2.0
UPDATE_GAP_MAX_S = 1.0  # A longer gap between updates means that this instance was paused.
# Bounds the memory if the owner of the connections does not report which grant it has applied.
GRANTS_KEPT_MAX = 16


class Share(Struct, kw_only=True):
    """The connections of this instance to one backend server.

    ``claim`` is the number that the other instances must leave to this one, and ``ceiling`` the
    number that it may open. The claim is above the ceiling while a raise waits for acknowledgements
    of heartbeat ``raise_sequence``. ``open`` is the number of open connections, as last reported by
    their owner.
    """

    claim: int = 0
    ceiling: int = 0
    open: int = 0
    raise_sequence: int | None = None


class Grant(Struct, kw_only=True, frozen=True):
    """The ceilings that were given to the owner of the connections, with their revision."""

    revision: int
    ceilings: dict[str, int]


class OtherInstance(Struct, kw_only=True):
    """What this instance knows about another one.

    ``last_heartbeat`` is the last heartbeat received from it, ``acknowledged_sequence`` the number
    of the last heartbeat of this instance that it has received, and ``counted_since`` the time from
    which it counts.
    """

    counted_since: float
    last_heartbeat: Heartbeat | None = None
    last_heartbeat_at: float = 0.0
    acknowledged_sequence: int = 0


class ConnectionShares(Struct, kw_only=True):
    """The connection ceilings of one instance, for all backend servers.

    Invariant: the ceilings of all instances for a backend server, and therefore their open
    connections, add up to at most its limit. A raise is published first. It is applied only after
    every other instance has acknowledged the heartbeat that carries it, and only as far as their
    latest claims allow. If several instances raise at once, the last one to publish has then
    received the claims of all others. An instance whose heartbeats no peer receives any more need
    not acknowledge. Its last claim still counts, and it can't raise that claim without the
    acknowledgements of the others.

    The invariant requires these conditions:

    - An instance that is no longer counted (not listed, and no heartbeat received, for
      ``INSTANCE_RETENTION_S``) has closed its connections. An instance that is only paused is
      still listed and counts.
    - Within ``JOIN_WAIT_S`` of its start, an instance has learned of all others, from the list or
      from peers, except at most one. ``target`` reserves a share for that one.
    - An instance from which no heartbeat was received holds at most the target of the instance that
      counts it, or the claim that a peer reports for it. For this, at least one peer must remain
      that received a heartbeat of an instance before it became silent.
    - The limit is at least the number of instances that can't receive each other's heartbeats.
    """

    instance: str
    incarnation: str
    started_at: float
    limits: dict[str, int] = field(default_factory=dict)
    shares: dict[str, Share] = field(default_factory=dict)
    others: dict[str, OtherInstance] = field(default_factory=dict)
    grants: list[Grant] = field(default_factory=list)
    revision: int = 0
    sequence: int = 0
    updated_at: float | None = None
    resumed_at: float = float("-inf")

    def set_limits(self, limits: Mapping[str, int]) -> None:
        """Replace the connection limits of all backend servers; a server left out gets limit 0."""
        self.limits = dict(limits)
        for server in limits:
            self.shares.setdefault(server, Share())
        for server in [name for name, share in self.shares.items() if name not in limits]:
            if self.shares[server].open == 0:
                del self.shares[server]

    def set_others(self, now: float, instances: frozenset[str]) -> None:
        """Replace the set of other instances that count."""
        for name in [name for name in self.others if name not in instances]:
            del self.others[name]
        for name in instances - {self.instance}:
            self.others.setdefault(name, OtherInstance(counted_since=now))

    def on_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """Record the claims and the acknowledgement of another instance.

        Heartbeats of one incarnation that arrive out of order are ignored.
        """
        other = self.others.setdefault(heartbeat.instance, OtherInstance(counted_since=now))
        if not heartbeat.is_newer_than(other.last_heartbeat):
            return
        if (
            other.last_heartbeat is not None
            and other.last_heartbeat.incarnation != heartbeat.incarnation
        ):
            other.acknowledged_sequence = 0
        other.last_heartbeat = heartbeat
        other.last_heartbeat_at = now
        for name in heartbeat.known.keys() - {self.instance}:
            self.others.setdefault(name, OtherInstance(counted_since=now))
        own = heartbeat.known.get(self.instance)
        if own is not None and own.incarnation == self.incarnation:
            other.acknowledged_sequence = max(other.acknowledged_sequence, own.sequence)

    def on_open_connections(self, revision: int, connections: Mapping[str, int]) -> None:
        """Record the number of open connections to each backend server.

        :param revision: revision of the last grant that the owner of the connections has applied
        """
        for server, share in self.shares.items():
            share.open = connections.get(server, 0)
        self.grants = [grant for grant in self.grants if grant.revision >= revision]

    def update(self, now: float) -> Grant:
        """Lower the ceilings to their targets and raise them as far as the known claims allow.

        :return: the latest grant: the connections that may be open now, by backend server
        """
        if self.updated_at is not None and now - self.updated_at > UPDATE_GAP_MAX_S:
            self.resumed_at = now
        self.updated_at = now
        for server, share in self.shares.items():
            self.lower_to_target(server, share)
            self.apply_raise(now, server, share)
            self.raise_claim(server, share)
        ceilings = {server: share.ceiling for server, share in self.shares.items()}
        if not self.grants or self.grants[-1].ceilings != ceilings:
            self.revision += 1
            self.grants.append(Grant(revision=self.revision, ceilings=ceilings))
            self.merge_old_grants()
        return self.grants[-1]

    def merge_old_grants(self) -> None:
        """Merge the two oldest grants into their maxima if too many are kept."""
        if len(self.grants) > GRANTS_KEPT_MAX:
            first, second, *rest = self.grants
            highest = {
                server: max(first.ceilings.get(server, 0), second.ceilings.get(server, 0))
                for server in first.ceilings.keys() | second.ceilings.keys()
            }
            self.grants = [Grant(revision=second.revision, ceilings=highest), *rest]

    def publish(self) -> tuple[int, dict[str, int]]:
        """Start the next heartbeat.

        :return: its sequence number and the claims that it carries
        """
        self.sequence += 1
        for share in self.shares.values():
            if share.claim > share.ceiling and share.raise_sequence is None:
                share.raise_sequence = self.sequence
        return self.sequence, {server: self.published_claim(server) for server in self.shares}

    def published_claim(self, server: str) -> int:
        """Compute the claim that others must count for this instance.

        A lowered ceiling lowers it only after the owner of the connections has applied the grant.
        Open connections count until they are closed.
        """
        share = self.shares[server]
        granted = [grant.ceilings.get(server, 0) for grant in self.grants]
        return max(share.claim, share.open, *granted, 0)

    def target(self, server: str) -> int:
        """Compute the equal share of each instance, with one share reserved for an unknown one."""
        limit = self.limits.get(server, 0)
        return min(limit, max(1, limit // (len(self.others) + 2)))

    def available(self, server: str) -> int:
        """Compute how many connections the claims of the other instances leave."""
        claimed = sum(
            max(
                (
                    self.target(server)
                    if other.last_heartbeat is None
                    else other.last_heartbeat.ceilings.get(server, 0)
                ),
                self.reported_claim(server, name),
            )
            for name, other in self.others.items()
        )
        return max(0, self.limits.get(server, 0) - claimed)

    def reported_claim(self, server: str, instance: str) -> int:
        """Return the highest claim that peers report for an instance they have lost contact with.

        Reports of heartbeats that this instance has received itself are ignored.
        """
        received = self.others[instance].last_heartbeat
        reports = (
            entry.ceilings.get(server, 0)
            for entry in self.peer_reports(instance, float("-inf"))
            if received is None
            or received.incarnation != entry.incarnation
            or received.sequence < entry.sequence
        )
        return max(reports, default=0)

    def peer_reports(self, instance: str, since: float) -> list[KnownInstance]:
        """Return what peers reported of an instance in heartbeats received since a time."""
        return [
            other.last_heartbeat.known[instance]
            for other in self.others.values()
            if other.last_heartbeat is not None
            and other.last_heartbeat_at >= since
            and instance in other.last_heartbeat.known
        ]

    def lower_to_target(self, server: str, share: Share) -> None:
        """Follow a lower target at once; open connections stay published until they are closed."""
        target = self.target(server)
        share.ceiling = min(share.ceiling, target)
        share.claim = min(share.claim, target)
        if share.claim <= share.ceiling:
            share.raise_sequence = None

    def apply_raise(self, now: float, server: str, share: Share) -> None:
        """Apply a raise that all others have acknowledged, as far as their claims allow."""
        if share.raise_sequence is not None and self.all_acknowledged(now, share.raise_sequence):
            share.ceiling = max(share.ceiling, min(share.claim, self.available(server)))
            share.claim = share.ceiling
            share.raise_sequence = None

    def all_acknowledged(self, now: float, sequence: int) -> bool:
        """Whether every other instance has received a heartbeat of this one or is unreachable.

        It is False until ``JOIN_WAIT_S`` after the start.
        """
        if now < self.started_at + JOIN_WAIT_S:
            return False
        return all(
            other.acknowledged_sequence >= sequence or self.unreachable(now, name, other)
            for name, other in self.others.items()
        )

    def unreachable(self, now: float, name: str, other: OtherInstance) -> bool:
        """Whether no heartbeat of an instance was ever received, or no peer receives any now.

        If a peer still receives them, only the link between the two instances is lost, and both
        could raise without seeing each other's claims. Silence while this instance was itself
        paused does not count.
        """
        if other.last_heartbeat is None:
            return now >= other.counted_since + JOIN_WAIT_S
        if now - max(other.last_heartbeat_at, self.resumed_at) < PEER_SILENCE_S:
            return False
        return all(entry.silent for entry in self.peer_reports(name, now - HEARTBEAT_MAX_AGE_S))

    def raise_claim(self, server: str, share: Share) -> None:
        """Claim what the target and the other claims allow, unless a raise is already waiting."""
        target = self.target(server)
        # Computing the available connections costs the square of the number of instances, so it is
        # done only when there is something to raise, which is rarely the case.
        if share.claim != share.ceiling or target <= share.ceiling:
            return
        new_claim = min(target, self.available(server))
        if new_claim > share.ceiling:
            share.claim = new_claim
            share.raise_sequence = None
