"""Retries of a query whose calls were lost on several servers.

The query itself may have ended these servers, and its retries would end as many again. So only one
of its retries is sent first, the trial. The first answer of any server shows that the query is
harmless.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct, field

# Servers that have to break off the calls of a query before its retries wait for a trial.
LOST_SERVERS_MIN = 3
# Trials that may be lost before the other retries are given up.
LOST_TRIALS_MAX = 2


class RetryDecision(StrEnum):
    """What happens to the retry of a lost call."""

    SEND = "send"
    HOLD = "hold"
    GIVE_UP = "give_up"


class LossContainment(Struct, kw_only=True):
    """The lost calls of one query.

    :param trial: the leaf whose retry is sent first
    :param held: the leafs whose retries wait for it
    :param harmless: whether a server has answered
    :param lost_trials: the trials that were lost, too
    """

    lost_servers: set[str] = field(default_factory=set)
    trial: str | None = None
    held: list[str] = field(default_factory=list)
    harmless: bool = False
    lost_trials: int = 0

    @property
    def active(self) -> bool:
        """Whether further calls wait, so that no hedges are sent either."""
        return len(self.lost_servers) >= LOST_SERVERS_MIN and not self.harmless

    @property
    def gave_up(self) -> bool:
        """Whether too many trials were lost."""
        return self.lost_trials >= LOST_TRIALS_MAX

    def on_lost(self, leaf: str, server: str) -> list[str]:
        """Record a lost call.

        :return: the leafs whose retries are given up, because too many trials were lost
        """
        self.lost_servers.add(server)
        if leaf != self.trial:
            return []
        self.lost_trials += 1
        return self.take_held() if self.gave_up else []

    def decide(self, leaf: str) -> RetryDecision:
        """Decide on the retry of a leaf's failed call."""
        if not self.active:
            return RetryDecision.SEND
        if self.gave_up:
            return RetryDecision.GIVE_UP
        if self.trial is None:
            self.trial = leaf
        if leaf == self.trial:
            return RetryDecision.SEND
        self.held.append(leaf)
        return RetryDecision.HOLD

    def on_answered(self) -> list[str]:
        """Record an answer; return the leafs whose retries may be sent now."""
        self.harmless = True
        return self.take_held()

    def on_gave_up(self, leaf: str) -> list[str]:
        """Record that a leaf gets no further call.

        :return: the leaf whose retry becomes the trial in its place
        """
        if leaf != self.trial or self.gave_up:
            return []
        self.trial = self.held.pop(0) if self.held else None
        return [] if self.trial is None else [self.trial]

    def take_held(self) -> list[str]:
        """Remove and return the leafs whose retries wait."""
        held, self.held = self.held, []
        return held
