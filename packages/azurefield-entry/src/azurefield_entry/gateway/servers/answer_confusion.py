"""Finds answers of a server that go on with another of its answers."""

from __future__ import annotations

import re
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING

from azurefield_entry.gateway.servers.exchange import HEAD_BYTES_MAX

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.http import RawResponseMessage

    from azurefield_entry.gateway.ports import Headers

STATUS_LINE = re.compile(r"HTTP/[0-9]\.[0-9] [0-9]{3}")
STATUS_LINE_START = b"HTTP/"
# A name is a token of HTTP. Space before the colon is not allowed, but parsers accept it.
HEADER_LINE = rb"\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]++[ \t]*+:[^\r\n]*+"
# Each match takes its whole lines, so that the time is linear in the length of the body.
HEAD = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}[^\r\n]*+((?:" + HEADER_LINE + rb")*+)")
# What may stand between the last whole line of a head and the end of a body that it is cut by.
# Names of headers consist of these characters in practice, while words of a text often do not.
CUT_HEAD_REST = re.compile(rb"\r?|\r\n[A-Za-z0-9-]*[ \t]*|\r\n\r\n?")
# The longest name of a header that is looked for at the end of a body.
HEADER_NAME_BYTES_MAX = 256
CUT_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] (?:[0-9]{0,2}|([0-9]{3})(?: ([^\r\n]*))?)\r?")


def describe_confusion(
    message: RawResponseMessage, body: bytes, names_request: Callable[[Headers], bool]
) -> str | None:
    """Return where an answer goes on with another one; None if it does not.

    :param names_request: whether the headers of an answer name its request
    """
    if holds_another_head(message):
        return "the head holds the status line of another answer"
    if goes_on_with_answer(message, body, names_request):
        return "a body without a length goes on with another answer"
    return None


def holds_another_head(message: RawResponseMessage) -> bool:
    """Whether a head goes on with the status line of another one.

    This happens if a head is cut off and an answer follows on the same connection.
    """
    values = [message.reason, *message.headers.values()]
    return any("HTTP/" in value and STATUS_LINE.search(value) for value in values)


def goes_on_with_answer(
    message: RawResponseMessage, body: bytes, names_request: Callable[[Headers], bool]
) -> bool:
    """Whether a body that ends with its connection holds the begin of one more answer.

    Without a length, an answer that is followed by another one looks like one answer with a longer
    body. Only a head counts that is the same server's or that the body ends in, so that a body may
    hold other examples of HTTP.
    """
    if message.chunked or "Content-Length" in message.headers:
        return False
    last = body.rfind(STATUS_LINE_START)
    if last < 0:
        return False
    if is_cut_status_line(message, body[last:]):
        return True
    own_names = {name.decode(errors="replace").lower() for name, _ in message.raw_headers}
    for head in HEAD.finditer(body):
        headers = parse_header_lines(head[1][:HEAD_BYTES_MAX])
        if headers and headers[0][0].lower() in own_names:
            return True
        if (headers and names_request(headers)) or ends_in_head(body, head):
            return True
    return False


def is_cut_status_line(message: RawResponseMessage, end: bytes) -> bool:
    """Whether the end of a body is the begin of a status line.

    The reason phrase must be the usual one of the status, or the one of this answer.
    """
    version = message.version
    if f"HTTP/{version.major}.{version.minor} ".encode().startswith(end):
        return True
    match = CUT_STATUS_LINE.fullmatch(end)
    if match is None:
        return False
    if match[2] is None:
        return True
    status, phrases = int(match[1]), []
    if status == message.code:
        phrases.append(message.reason)
    with suppress(ValueError):
        phrases.append(HTTPStatus(status).phrase)
    return any(phrase.encode(errors="surrogateescape").startswith(match[2]) for phrase in phrases)


def ends_in_head(body: bytes, head: re.Match[bytes]) -> bool:
    """Whether a body ends before a head in it does, or just behind it.

    A status line without a line break may be part of a sentence.
    """
    if len(body) - head.end() > HEADER_NAME_BYTES_MAX:
        return False
    rest = body[head.end() :]
    ends = CUT_HEAD_REST.fullmatch(rest) is not None
    return ends and (bool(head[1]) or rest.startswith(b"\r\n"))


def parse_header_lines(lines: bytes) -> Headers:
    """Parse the lines behind a status line, each with the line break before it."""
    parts = (line.partition(b":") for line in lines.split(b"\r\n")[1:])
    return tuple(
        (name.rstrip().decode(errors="replace"), value.strip().decode(errors="replace"))
        for name, _, value in parts
    )
