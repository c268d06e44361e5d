from __future__ import annotations

from statistics import median

import pytest

from azurefield.limits import JOIN_WAIT_S, ConnectionShares, Grant, Share
from azurefield.membership import Heartbeat, InstanceState, KnownInstance
from azurefield_testkit.models.shares import LIMIT, STEPS, play
from azurefield_testkit.proof import Guarantee, ProofRecorder, ProofRow

SEEDS = 60
TOPIC = "connections of all instances together"


def heartbeat(
    name: str, sequence: int, claim: int, acknowledged: int, incarnation: str = "me"
) -> Heartbeat:
    """Build a heartbeat that acknowledges a heartbeat of the instance ``me``."""
    known = KnownInstance(
        incarnation=incarnation,
        sequence=acknowledged,
        peer_address="",
        availability_zone="",
        state=InstanceState.LIVE,
    )
    return Heartbeat(
        instance=name,
        incarnation=f"{name}-1",
        sequence=sequence,
        peer_address="",
        availability_zone="",
        state=InstanceState.LIVE,
        known={"me": known},
        ceilings={"s": claim},
    )


def shares_of(limit: int = LIMIT) -> ConnectionShares:
    shares = ConnectionShares(instance="me", incarnation="me", started_at=-JOIN_WAIT_S)
    shares.set_limits({"s": limit})
    return shares


@pytest.mark.parametrize(
    ("limit", "others", "ceiling"),
    [(30, 0, 15), (30, 2, 7), (30, 7, 3), (8, 7, 1), (1, 0, 1), (0, 2, 0)],
    ids=["alone", "three", "eight", "at-least-one", "limit-one", "limit-zero"],
)
def test_the_target_leaves_one_share_for_an_instance_not_yet_seen(
    limit: int, others: int, ceiling: int
) -> None:
    """Guards against dividing the whole limit, which leaves nothing for a joining instance."""
    shares = shares_of(limit)
    shares.set_others(-JOIN_WAIT_S, frozenset(f"o{n}" for n in range(others)))
    shares.update(0.0)
    shares.publish()
    assert shares.update(0.0).ceilings == {"s": ceiling}


@pytest.mark.parametrize(
    ("received", "ceiling"),
    [
        (heartbeat("o", 1, 10, 1), 10),
        (heartbeat("o", 1, 25, 1), 5),
        (heartbeat("o", 1, 30, 1), 0),
        (heartbeat("o", 1, 10, 0), 0),
        (heartbeat("o", 1, 10, 1, incarnation="earlier start"), 0),
    ],
    ids=["enough-left", "little-left", "none-left", "not-acknowledged", "old-acknowledgement"],
)
def test_a_raise_waits_for_the_acknowledgement_and_for_free_connections(
    received: Heartbeat, ceiling: int
) -> None:
    """Guards against two instances that use the same free connections at once.

    Each would raise its ceiling before it has received the claim of the other.
    """
    shares = shares_of()
    shares.set_others(0.0, frozenset({"o"}))
    shares.update(0.0)
    shares.publish()
    shares.on_heartbeat(0.1, received)
    assert shares.update(0.2).ceilings == {"s": ceiling}


@pytest.mark.parametrize(
    ("silent_at_peer", "paused", "ceiling"),
    [(True, False, 5), (False, False, 0), (True, True, 0)],
    ids=["silent-to-all", "received-by-a-peer", "after-own-pause"],
)
def test_a_raise_proceeds_without_an_instance_that_is_silent_to_all_peers(
    silent_at_peer: bool, paused: bool, ceiling: int
) -> None:
    """Guards against two errors when the heartbeats of an instance are missing.

    An instance that hangs must not block the raises of a new one for ever. If only the link to it
    has failed, or this instance was itself paused, a raise must wait.
    """
    shares = shares_of()
    shares.update(0.0)
    shares.on_heartbeat(0.0, heartbeat("hung", 1, 5, 0))
    entry = KnownInstance(
        incarnation="hung-1",
        sequence=2,
        peer_address="",
        availability_zone="",
        state=InstanceState.LIVE,
        silent=silent_at_peer,
        ceilings={"s": 18} if silent_at_peer else {},
    )
    shares.update(0.0)
    shares.publish()
    for now in [60] if paused else range(1, 6):
        received = heartbeat("o", now, 7, 1)
        received.known["hung"] = entry
        shares.on_heartbeat(now, received)
        grant = shares.update(now)
    assert grant.ceilings == {"s": ceiling}


def test_a_lowered_ceiling_stays_published_until_its_owner_has_applied_it() -> None:
    """Guards against connections that are still open but that another instance counts as free."""
    shares = shares_of()
    shares.update(0.0)
    shares.publish()
    high = shares.update(0.0)
    assert high.ceilings == {"s": 15}
    shares.on_open_connections(high.revision, {"s": 12})
    shares.set_others(0.0, frozenset({"a", "b"}))
    low = shares.update(0.1)
    assert low.ceilings == {"s": 7}
    assert shares.publish()[1] == {"s": 15}
    shares.on_open_connections(low.revision, {"s": 9})
    assert shares.publish()[1] == {"s": 9}
    shares.on_open_connections(low.revision, {"s": 2})
    assert shares.publish()[1] == {"s": 7}


class NaiveDivision(ConnectionShares):
    """Weakened variant that divides the limit by the number of instances it knows."""

    def update(self, now: float) -> Grant:
        for server, share in self.shares.items():
            share.claim = share.ceiling = self.limits[server] // (len(self.others) + 1)
        return super().update(now)

    def lower_to_target(self, server: str, share: Share) -> None:
        """Keep the result of the division."""

    def raise_claim(self, server: str, share: Share) -> None:
        """Keep the result of the division."""


class UsesRaisesAtOnce(ConnectionShares):
    """Weakened variant that applies raises without acknowledgements or a wait after the start."""

    def all_acknowledged(self, now: float, sequence: int) -> bool:  # noqa: ARG002
        return True


@pytest.mark.prove
def test_the_open_connections_of_all_instances_never_exceed_the_limit(
    proof: ProofRecorder,
) -> None:
    """Guards against exceeding a backend server's connection limit while instances join or pause.

    The server would then refuse connections. The histories also contain restarts, lost messages
    and failed links.
    """
    widest = median(play(ConnectionShares, seed).widest for seed in range(SEEDS))
    assert widest > LIMIT * 0.6
    note = f"median of the most open {widest:g} of {LIMIT}"
    proof(ProofRow(guarantee=Guarantee.FAIRNESS_AND_LIMITS, topic=TOPIC, cases=SEEDS, note=note))


def test_every_instance_gets_its_share_once_the_faults_have_ended() -> None:
    """Guards against an instance that waits for ever for an acknowledgement that was lost."""
    for seed in range(SEEDS // 3):
        tier = play(ConnectionShares, seed)
        for step in range(STEPS, 2 * STEPS):
            tier.step(step)
        share = LIMIT // (len(tier.nodes) + 1)
        assert {node.shares.shares["s"].ceiling for node in tier.nodes} == {share}


@pytest.mark.prove
@pytest.mark.parametrize("weakened", [NaiveDivision, UsesRaisesAtOnce])
def test_the_same_histories_break_a_weakened_division(
    weakened: type[ConnectionShares], proof: ProofRecorder
) -> None:
    """Guards against a check that can't fail: weakened variants must exceed the limit."""
    found = sum(exceeds_limit(weakened, seed) for seed in range(SEEDS))
    assert found > SEEDS // 10
    proof(ProofRow(guarantee=Guarantee.FAIRNESS_AND_LIMITS, topic=TOPIC, weakened=found))


def exceeds_limit(kind: type[ConnectionShares], seed: int) -> bool:
    """Whether a variant exceeds the limit in the history of a seed."""
    try:
        play(kind, seed)
    except AssertionError:
        return True
    return False
