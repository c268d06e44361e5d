"""Heads of requests and trailers of bodies, as far as they have arrived on one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field

from azurefield.parsed_heads import ParsedHeads

if TYPE_CHECKING:
    from azurefield_entry.callers.pending_bytes import PendingBytes

HEAD_END = b"\r\n\r\n"
EMPTY_LINES = b"\r\n"
# The size of a last chunk begins so.
LAST_CHUNK = b"\n0"
NO_TRAILERS = b"0\r\n\r\n"


class IncomingHead(Struct, kw_only=True):
    """Limits the head that arrives, and counts what the parser keeps of it.

    :param bytes_max: how many bytes a head may have
    :param bytes_left: how many bytes of this one may follow
    :param tail: its last bytes; empty before its first one
    :param behind_chunks: what was parsed of it together with the end of a body in chunks
    :param kept: what the parser keeps of heads and trailers
    """

    bytes_max: int
    bytes_left: int = 0
    tail: bytes = b""
    behind_chunks: bytes = b""
    kept: ParsedHeads = field(default_factory=ParsedHeads)

    def __post_init__(self) -> None:
        self.expect()

    def expect(self, parsed: bytes = b"") -> None:
        """Expect the next head, of which a part may have been parsed."""
        self.bytes_left = max(0, self.bytes_max - len(parsed))
        self.tail = parsed[1 - len(HEAD_END) :]

    def take(self, unparsed: PendingBytes) -> bytes:
        """Take the next part of a head, up to its end; empty if there is none or it is too long.

        Empty lines before a head are dropped, as the parser would ignore them.
        """
        while unparsed and self.bytes_left:
            data = unparsed.take(self.bytes_left)
            self.bytes_left -= len(data)
            if not self.tail:
                data = data.lstrip(EMPTY_LINES)
            if data:
                return self.take_part(data, unparsed)
        return b""

    def take_part(self, data: bytes, unparsed: PendingBytes) -> bytes:
        """Count bytes of a head, and put back what follows its end."""
        end = find_head_end(self.tail, data)
        if end is not None:
            unparsed.put_back(data[end:])
            data = data[:end]
        if not self.tail:
            # Until a head begins, the parser keeps the one before.
            self.kept.clear()
        self.tail = (self.tail + data)[1 - len(HEAD_END) :]
        self.kept.add(data)
        return data

    def on_chunks(self, data: bytes, *, has_body: bool) -> bool:
        """Count what may be trailers in a part of a body in chunks; return whether it is too much.

        :param has_body: whether there were bytes of the body in it
        """
        if has_body:
            self.kept.begin_trailers(trailers_of(data))
            return False
        self.kept.add_trailers(data)
        return self.kept.trailer_bytes > self.bytes_max

    def on_chunks_end(self, data: bytes, *, pipelined: bool) -> None:
        """Count heads that were parsed with the last bytes of a body in chunks.

        :param pipelined: whether there are whole heads among them
        """
        self.behind_chunks = data[data.rfind(HEAD_END) + len(HEAD_END) :]
        if self.behind_chunks or pipelined:
            self.kept.add(data)
        if data.endswith(NO_TRAILERS):
            self.kept.begin_trailers(b"")

    def begin_behind_chunks(self) -> bool:
        """Go on with a head that was parsed behind a body; return whether there is one."""
        if not self.behind_chunks:
            return False
        self.kept.clear()
        self.kept.add(self.behind_chunks)
        self.expect(self.behind_chunks)
        self.behind_chunks = b""
        return True


def find_head_end(before: bytes, data: bytes) -> int | None:
    r"""Return where the first head in ``data`` ends; None if it does not.

    >>> find_head_end(b"a\r\n", b"\r\nb"), find_head_end(b"", b"a\r\nb")
    (2, None)

    :param before: the last bytes of the head that were read earlier
    """
    found = (before + data).find(HEAD_END)
    return None if found < 0 else found + len(HEAD_END) - len(before)


def trailers_of(data: bytes) -> bytes:
    r"""Return what may be trailers in a part of a body; more if the body looks like a last chunk.

    >>> trailers_of(b"1\r\nx\r\n0\r\nName: y\r\n"), trailers_of(b"4000\r\n" + bytes(9))
    (b'\n0\r\nName: y\r\n', b'')
    """
    begin = data.rfind(LAST_CHUNK)
    return b"" if begin < 0 else data[begin:]
