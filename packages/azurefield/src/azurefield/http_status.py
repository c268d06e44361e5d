"""Which HTTP status codes an answer can have."""

from __future__ import annotations

SWITCHING_PROTOCOLS = 101


def is_final_status(status: int) -> bool:
    """Whether an answer with this status ends a call; there are no codes from 600 up."""
    return 200 <= status <= 599


def is_interim_status(status: int) -> bool:
    """Whether an answer with this status precedes the final one.

    101 is none: a server may switch protocols only if the call asks for it, and no call does.
    """
    return 100 <= status <= 199 and status != SWITCHING_PROTOCOLS
