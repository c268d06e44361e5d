"""Limit on the calls that running requests may need together."""

from __future__ import annotations

from msgspec import Struct


class CallLimit(Struct, kw_only=True):
    """Bounds what requests with many calls each, such as those over all shards, hold.

    A request needs room for all its calls before the first one. One alone has room whatever the
    limit is, and so has a request with a single call, which the limit on connections bounds.

    >>> limit = CallLimit(calls_max=100)
    >>> limit.begin(63), limit.begin(63), limit.begin(1)
    (True, False, True)
    >>> limit.end(63)
    >>> limit.begin(200), limit.begin(2)
    (True, False)

    :param calls_max: how many calls may be needed together
    :param calls: how many the running requests need
    """

    calls_max: int
    calls: int = 0

    def begin(self, calls: int) -> bool:
        """Take room for a request until ``end``; return whether there is any."""
        if calls <= 1:
            return True
        if self.calls and self.calls + calls > self.calls_max:
            return False
        self.calls += calls
        return True

    def end(self, calls: int) -> None:
        """Return the room of a request that had some."""
        if calls > 1:
            self.calls -= calls
