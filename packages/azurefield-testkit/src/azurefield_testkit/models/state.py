"""Deep copies and digests of model states."""

from __future__ import annotations

import pickle
from hashlib import blake2b
from typing import TypeVar, cast

import msgspec

T = TypeVar("T")


def deep_copy(value: T) -> T:
    """Copy a value recursively; pickling is several times faster than ``copy.deepcopy``."""
    return cast("T", pickle.loads(pickle.dumps(value)))


def state_digest(state: object) -> bytes:
    """Digest the canonical JSON of all fields of a state.

    Values that JSON can't represent, such as random sources, are encoded as null. Two states must
    not differ in such values only.
    """
    plain = msgspec.to_builtins(
        state, str_keys=True, enc_hook=lambda _: None, order="deterministic"
    )
    return blake2b(msgspec.json.encode(plain), digest_size=16).digest()
