"""Positions in the history of a store that may be restored from an older copy.

After a restore, revisions go back and are given out again, so a revision means nothing without the
era of the store, which rises with each restore.
"""

from __future__ import annotations

import re
from enum import StrEnum

from msgspec import Struct

ERA = re.compile(r"[0-9]{1,18}")


def parse_era(text: str) -> int | None:
    """Return the era that a reply of the store names; None if the text is no number.

    >>> parse_era("3"), parse_era("")
    (3, None)
    """
    return int(text) if ERA.fullmatch(text) else None


def eras_differ(era: int | None, other: int | None) -> bool:
    """Whether two eras are known and differ."""
    return era is not None and other is not None and era != other


class HistoryRelation(StrEnum):
    """How what was received relates to what is known.

    ``CONTINUES``: it is of the same era, so revisions can be compared. ``RESTORED``: the store has
    been restored since, so everything must be read again. ``OUTDATED``: its sender does not know of
    the last restore.
    """

    CONTINUES = "continues"
    RESTORED = "restored"
    OUTDATED = "outdated"


class StorePosition(Struct, kw_only=True, frozen=True):
    """A revision of a store in one era.

    :param era: None if the store names none
    """

    revision: int
    era: int | None = None

    def relation_of(self, era: int | None) -> HistoryRelation:
        """Compare the era of something that was received with the one of this position.

        >>> known = StorePosition(revision=61, era=3)
        >>> [known.relation_of(era).value for era in (3, 4, 2, None)]
        ['continues', 'restored', 'outdated', 'continues']
        """
        if era is None or self.era is None or era == self.era:
            return HistoryRelation.CONTINUES
        return HistoryRelation.RESTORED if era > self.era else HistoryRelation.OUTDATED

    def advance(self, revision: int, era: int | None) -> StorePosition:
        """Return the position after a reply; an unknown era stays what it was."""
        return StorePosition(revision=revision, era=self.era if era is None else era)
