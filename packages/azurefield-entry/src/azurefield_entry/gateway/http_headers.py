"""Which HTTP headers are passed on, and which must not contradict each other."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from azurefield_entry.gateway.ports import Headers

# A longer time can't be told from no limit.
MILLISECONDS = re.compile(r"[0-9]{1,9}")
# Hop-by-hop headers, which concern only one connection.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end(headers: Iterable[tuple[str, str]], *, without: frozenset[str]) -> Headers:
    """Remove hop-by-hop headers, those that ``Connection`` names, and those in ``without``."""
    headers = tuple(headers)
    dropped = HOP_BY_HOP_HEADERS | without
    for name, value in headers:
        if name.lower() == "connection":
            dropped |= {token.strip().lower() for token in value.split(",")}
    return tuple((name, value) for name, value in headers if name.lower() not in dropped)


def gives_two_values(headers: Headers, names: frozenset[str]) -> bool:
    """Whether a head gives different values of a header.

    :param names: the headers that count, in lower case
    """
    values: dict[str, str] = {}
    for name, value in headers:
        lower = name.lower()
        if lower in names and values.setdefault(lower, value) != value:
            return True
    return False


def parse_milliseconds(value: str) -> float | None:
    """Return a time in seconds; None if the value is no whole number of milliseconds."""
    return int(value) / 1000 if MILLISECONDS.fullmatch(value) else None


def is_text(value: str) -> bool:
    """Whether the value of a header was UTF-8; another one can be neither compared nor encoded."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
