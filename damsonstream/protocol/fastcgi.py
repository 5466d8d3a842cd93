"""FastCGI 1.0, role Responder, as bytes in and messages out. No sockets, no clock.

How it is called: `Decoder().feed(data)` returns the messages that `data` completes, in order; `answer()` and
`ended()` give the bytes of an answer. A record that can't be followed raises `Broken`, with a reason code.
Parameters and bodies stay the bytes that came.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from struct import Struct

HEADER = Struct(">BBHHBx")
END_BODY = Struct(">IB3x")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = 9, 10, 11
RESPONDER, KEEP_CONN = 1, 1
COMPLETE, CANT_MPX_CONN, OVERLOADED, UNKNOWN_ROLE = 0, 1, 2, 3
CONTENT = 65_528  # most bytes in a record we write: the largest that needs no padding to 8

MOST_OPEN = 32  # open ids on one connection, the protocol's
MOST_PARAMS = 16_384  # bytes of parameters of one GET: ten short fields and what a web server adds
MOST_BODY = 48_000  # bytes that a write brings, the protocol's
MOST_VALUES = 1024  # of a GET_VALUES query: three short names are defined


class Broken(Exception):
    """The peer's bytes can't be followed; the text is the reason code."""


@dataclass(slots=True)
class Taken:
    """A GET that has come whole."""

    id: int
    fields: dict[bytes, bytes]
    body: bytes
    keep: bool


@dataclass(slots=True)
class Aborted:
    id: int


@dataclass(slots=True)
class Back:
    """Bytes that the specification wants sent back at once."""

    data: bytes


Message = Taken | Aborted | Back


@dataclass(slots=True)
class Opening:
    """A GET that is still coming in."""

    keep: bool
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    fields: dict[bytes, bytes] | None = None
    size: int = 0  # bytes that came, until it is whole


def pairs(data: bytes) -> dict[bytes, bytes]:
    """Name-value pairs, each length in one byte or in four."""
    found: dict[bytes, bytes] = {}
    at, end = 0, len(data)
    try:
        while at < end:
            name, value, at = data[at], data[at + 1], at + 2
            if name & 0x80 or value & 0x80:  # one of them has four bytes
                at -= 2
                name, at = length(data, at)
                value, at = length(data, at)
            middle, after = at + name, at + name + value
            found[data[at:middle]] = data[middle:after]
            at = after
    except IndexError:
        at = end + 1
    if at != end:
        raise Broken("bad-params")
    return found


def length(data: bytes, at: int) -> tuple[int, int]:
    step = 4 if data[at] & 0x80 else 1
    return int.from_bytes(data[at : at + step], "big") & 0x7FFFFFFF, at + step


def pair(name: bytes, value: bytes) -> bytes:
    sizes = (len(part).to_bytes(1, "big") if len(part) < 128 else (len(part) | 1 << 31).to_bytes(4, "big")
             for part in (name, value))  # fmt: skip
    return b"".join(sizes) + name + value


def record(kind: int, id: int, content: bytes = b"") -> bytes:
    return HEADER.pack(1, kind, id, len(content), -len(content) % 8) + content + bytes(-len(content) % 8)


def ended(id: int, status: int = COMPLETE) -> bytes:
    return record(END, id, END_BODY.pack(0, status))


def answer(id: int, status: bytes, fields: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """A whole CGI response in STDOUT records, and the end."""
    head = b"Status: %b\r\n" % status + b"".join(b"%b: %b\r\n" % pair for pair in fields) + b"\r\n"
    parts = [record(STDOUT, id, head)]
    view = memoryview(body)
    for at in range(0, len(body), CONTENT):
        content = view[at : at + CONTENT]
        pad = -len(content) % 8
        parts += (HEADER.pack(1, STDOUT, id, len(content), pad), content, bytes(pad))  # type: ignore[arg-type]
    parts += (record(STDOUT, id), ended(id))
    return b"".join(parts)


class Decoder:
    """One connection's records. `done(id)` says that an id's answer has been given and it is free again."""

    def __init__(self) -> None:
        self.rest = b""  # less than one record, emptied as records are whole
        self.opening: dict[int, Opening] = {}  # GETs still coming in; emptied as they are whole or aborted
        self.open: set[int] = set()  # GETs taken; emptied by done()
        self.coming = 0  # bytes held of GETs still coming in: at most the bounds of each times MOST_OPEN

    @property
    def half(self) -> bool:
        """Whether a record or a GET has come in part."""
        return bool(self.rest or self.opening)

    def done(self, id: int) -> None:
        self.open.discard(id)

    def feed(self, data: bytes) -> list[Message]:
        if self.rest:
            data = self.rest + data
        found: list[Message] = []
        at, end = 0, len(data)
        while end - at >= 8:
            version, kind, id, size, padding = HEADER.unpack_from(data, at)
            if version != 1:
                raise Broken("bad-record")
            after = at + 8 + size + padding
            if after > end:
                break
            content = data[at + 8 : at + 8 + size]
            at = after
            message = self.manage(kind, content) if id == 0 else self.take(kind, id, content)
            if message is not None:
                found.append(message)
        self.rest = data[at:]
        return found

    def manage(self, kind: int, content: bytes) -> Message:
        if kind != GET_VALUES:
            return Back(record(UNKNOWN_TYPE, 0, bytes([kind]) + bytes(7)))
        if len(content) > MOST_VALUES:
            raise Broken("oversize")
        known = {b"FCGI_MAX_REQS": b"%d" % MOST_OPEN, b"FCGI_MPXS_CONNS": b"1"}
        wanted = b"".join(pair(name, known[name]) for name in pairs(content) if name in known)
        return Back(record(GET_VALUES_RESULT, 0, wanted))

    def take(self, kind: int, id: int, content: bytes) -> Message | None:
        if kind == BEGIN:
            return self.begin(id, content)
        if kind == ABORT and (id in self.opening or id in self.open):
            if (opening := self.opening.pop(id, None)) is not None:
                self.coming -= opening.size
                return Back(ended(id))  # it was never taken
            return Aborted(id)
        opening = self.opening.get(id)
        if opening is None or kind not in (PARAMS, STDIN):
            return None  # of an id that is over, or a stream that a Responder has no use for
        opening.size += len(content)
        self.coming += len(content)
        if kind == PARAMS and opening.fields is None:
            opening.params += content
            if len(opening.params) > MOST_PARAMS:
                raise Broken("oversize")
            if not content:
                opening.fields, opening.params = pairs(bytes(opening.params)), bytearray()
        elif kind == STDIN:
            opening.body += content
            if len(opening.body) > MOST_BODY:
                raise Broken("oversize")
            if not content and opening.fields is not None:
                del self.opening[id]
                self.coming -= opening.size
                self.open.add(id)
                return Taken(id, opening.fields, bytes(opening.body), opening.keep)
        return None

    def begin(self, id: int, content: bytes) -> Message | None:
        if len(content) != 8:
            raise Broken("bad-record")
        if id in self.opening or id in self.open:  # an end under this id would pass for the open GET's answer
            raise Broken("busy-id")
        if int.from_bytes(content[:2], "big") != RESPONDER:
            return Back(ended(id, UNKNOWN_ROLE))
        if len(self.opening) + len(self.open) >= MOST_OPEN:
            return Back(ended(id, OVERLOADED))
        self.opening[id] = Opening(bool(content[2] & KEEP_CONN))
        return None
