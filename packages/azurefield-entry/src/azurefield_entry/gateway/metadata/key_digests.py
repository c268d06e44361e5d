"""Replaces the keys in a configuration, so that it can be passed on to other instances."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from azurefield.workspaces import KeyDigest

# The fields of a JSON object; the values of most are copied without being read.
Document: TypeAlias = dict[str, msgspec.Raw]


def replace_keys(configuration: bytes, *, workspaces: str, keys: str) -> Document:
    """Return a configuration with the digest of each key in the key's place.

    :param configuration: a JSON object
    :param workspaces: name of the field with the list of workspaces, which may be missing
    :param keys: name of the field of a workspace with the list of its keys, which may be missing
    :raises msgspec.DecodeError: if a part that may hold keys is of another type
    :raises RecursionError: if it is nested too deeply
    """
    document = msgspec.json.decode(configuration, type=Document)
    entries = msgspec.json.decode(document.get(workspaces, b"null"), type=list[Document] | None)
    for entry in entries or ():
        texts = msgspec.json.decode(entry.get(keys, b"[]"), type=list[str])
        entry[keys] = encode_raw([KeyDigest.of(text) for text in texts])
    if entries is not None:
        document[workspaces] = encode_raw(entries)
    return document


def encode_raw(value: object) -> msgspec.Raw:
    """Encode a value as JSON."""
    return msgspec.Raw(msgspec.json.encode(value))
