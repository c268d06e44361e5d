"""Keys, encodings and digests of the head, the change records and the service documents."""

from __future__ import annotations

from hashlib import sha256
from typing import TypeVar

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from azurefield.model import Configuration, ServiceConfig

HEAD_KEY = "azurefield/config/head"
RECORD_KEY_PREFIX = "azurefield/config/changes/"
DOCUMENT_KEY_PREFIX = "azurefield/config/documents/"
# Limit of the platform's key-value service for the size of one value.
VALUE_BYTES_MAX = 1_000_000

T = TypeVar("T")


class ConfigHead(Struct, kw_only=True, frozen=True):
    """Points to the last accepted change; the only stored value that is ever replaced.

    ``digest`` is that of the change record.
    """

    version: int
    digest: str
    change_id: str


class ChangeRecord(Struct, kw_only=True, frozen=True):
    """One change, immutable; ``services`` maps service names to document digests.

    ``at`` is the time on the operator's machine in RFC 3339; no decision depends on it.
    """

    change_id: str
    operator: str
    at: str
    version: int
    previous_change_id: str | None
    services: dict[str, str]
    summary: str = ""

    @property
    def head(self) -> ConfigHead:
        """The head that points to this change."""
        return ConfigHead(
            version=self.version, digest=digest_of(encode(self)), change_id=self.change_id
        )


class EncodingFailure(Struct, kw_only=True, frozen=True):
    """A stored value that can't be decoded or fails a check."""

    what: str
    problem: str


def record_key(change_id: str) -> str:
    """Return the key of a change record."""
    return RECORD_KEY_PREFIX + change_id


def document_key(digest: str) -> str:
    """Return the key of a service document."""
    return DOCUMENT_KEY_PREFIX + digest


def encode(value: ConfigHead | ChangeRecord | ServiceConfig) -> str:
    """Encode a value as canonical JSON, so that equal values have equal texts and digests.

    >>> encode(ConfigHead(version=1, digest="d", change_id="c"))
    '{"change_id":"c","digest":"d","version":1}'
    """
    return msgspec.json.encode(value, order="sorted").decode()


def digest_of(text: str) -> str:
    """Return the SHA-256 digest of an encoded value in hexadecimal."""
    return sha256(text.encode()).hexdigest()


def decode_head(text: str) -> Result[ConfigHead, EncodingFailure]:
    """Decode the value of the head key."""
    return _decode(text, ConfigHead, "head")


def decode_record(text: str) -> Result[ChangeRecord, EncodingFailure]:
    """Decode the value of a change record's key."""
    return _decode(text, ChangeRecord, "change record")


def decode_document(text: str) -> Result[ServiceConfig, EncodingFailure]:
    """Decode the value of a document's key."""
    return _decode(text, ServiceConfig, "service document")


def decode_configuration(
    record: ChangeRecord, documents: dict[str, str]
) -> Result[Configuration, EncodingFailure]:
    """Verify the digests of all documents of a change and decode them.

    :param documents: document texts by digest; those that the change doesn't use are ignored
    """
    services: dict[str, ServiceConfig] = {}
    for name, digest in record.services.items():
        text = documents.get(digest)
        if text is None or digest_of(text) != digest:
            return Err(
                EncodingFailure(
                    what=f"document of {name}", problem="missing, or its digest differs"
                )
            )
        match decode_document(text):
            case Err(failure):
                return Err(failure)
            case Ok(service):
                services[name] = service
        if services[name].name != name:
            problem = f"describes another service, {services[name].name}"
            return Err(EncodingFailure(what=f"document of {name}", problem=problem))
    return Ok(Configuration(version=record.version, services=services))


def _decode(text: str, kind: type[T], what: str) -> Result[T, EncodingFailure]:
    try:
        return Ok(msgspec.json.decode(text, type=kind))
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return Err(EncodingFailure(what=what, problem=str(error)))
