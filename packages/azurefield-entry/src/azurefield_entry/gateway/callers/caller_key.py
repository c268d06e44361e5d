"""Takes what a caller says of its identity out of its request's headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from azurefield_entry.gateway.ports import CallerKey

if TYPE_CHECKING:
    from azurefield_entry.gateway.ports import Headers


def without_names(headers: Headers, names: frozenset[str]) -> Headers:
    """Remove headers.

    :param names: their names, in lower case
    """
    return tuple(header for header in headers if header[0].lower() not in names)


def read_caller_key(
    received: Headers, passed_on: Headers, *, key: str, names: frozenset[str]
) -> CallerKey | None:
    """Return what a caller says of its identity; None if it says nothing.

    A key that is given twice counts once; two different keys count as none.

    :param received: all headers of the request
    :param passed_on: those that are passed on while there are no workspaces
    :param key: the name of the header that holds the key, in lower case
    :param names: the names of the headers that say something of the identity, in lower case
    """
    keys = {value.strip(" \t") for name, value in received if name.lower() == key}
    headers = tuple(header for header in passed_on if header[0].lower() in names)
    if not keys and not headers:
        return None
    return CallerKey(value=keys.pop() if len(keys) == 1 else None, headers=headers)
