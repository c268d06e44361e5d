"""Finds parts of secrets in bytes, in the forms in which formats of messages write them."""

from __future__ import annotations

from base64 import b64encode
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# Secrets are random, so that no other text contains a part of this length.
PART_LENGTH = 6


def shows_part(data: bytes, secret: str) -> bool:
    """Whether bytes hold a part of a secret, plain or encoded."""
    parts = (secret[at : at + PART_LENGTH] for at in range(len(secret) - PART_LENGTH + 1))
    return any(form in data for part in parts for form in forms_of(part))


def forms_of(part: str) -> Iterator[bytes]:
    """Yield a text as it is, escaped for JSON, in hexadecimal and in base64."""
    escaped = "".join(f"\\u{ord(character):04x}" for character in part)
    for text in (part.encode(), escaped.encode()):
        yield text
        yield text.hex().encode()
        yield text.hex().upper().encode()
        yield from base64_forms(text)


def base64_forms(text: bytes) -> Iterator[bytes]:
    """Yield the characters that a text determines in base64, for each position in a group."""
    for offset in range(3):
        begin = -(-offset * 8 // 6)
        end = (offset + len(text)) * 8 // 6
        yield b64encode(bytes(offset) + text)[begin:end]
