"""The other ends of the gateway's wires, as bytes in and messages out: a cache's, a web server's and the
bulletin's. No sockets, no clock.

How it is called: `Commands().feed(data)` gives the commands that a gateway sent to a cache and `answer()` the
bytes of an answer; `get()` the bytes of a GET as a web server sends it and `Answers().feed(data)` the final
answers that came back; `frame()` a frame of the bulletin. Written from the protocol's page and the public
specifications of RESP and FastCGI 1.0, so that a fault in the gateway's codecs is not made twice.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from struct import Struct, pack

MOST = 1 << 20  # bytes of one command: an object's part and its fields are a quarter of that


class Broken(Exception):
    """The gateway's bytes can't be followed; the text says why."""


@dataclass(slots=True)
class Command:
    word: str  # REQ, STOP or HELO
    ident: bytes
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Commands:
    """RESP arrays of bulk strings, whatever pieces they come in."""

    def __init__(self) -> None:
        self.buffer = bytearray()  # less than one command; emptied as commands are whole

    def feed(self, data: bytes) -> list[Command]:
        self.buffer += data
        found: list[Command] = []
        at = 0
        while (whole := self.parts(at)) is not None:
            parts, at = whole
            found.append(command(parts))
        del self.buffer[:at]
        if len(self.buffer) > MOST:
            raise Broken("oversize")
        return found

    def line(self, at: int, sign: bytes) -> tuple[int, int] | None:
        end = self.buffer.find(b"\r\n", at, at + 16)
        if end < 0:
            if len(self.buffer) - at >= 16:
                raise Broken("no length line")
            return None
        text = bytes(self.buffer[at:end])
        if text[:1] != sign or not text[1:].isdigit():
            raise Broken("bad length")
        return int(text[1:]), end + 2

    def parts(self, at: int) -> tuple[list[bytes], int] | None:
        head = self.line(at, b"*") if at < len(self.buffer) else None
        if head is None:
            return None
        count, at = head
        if not 2 <= count <= 4:
            raise Broken("no command")
        parts: list[bytes] = []
        for _ in range(count):
            size = self.line(at, b"$") if at < len(self.buffer) else None
            if size is None:
                return None
            length, at = size
            if length > MOST:
                raise Broken("oversize")
            if len(self.buffer) < at + length + 2:
                return None
            parts.append(bytes(self.buffer[at : at + length]))
            at += length + 2
        return parts, at


def command(parts: list[bytes]) -> Command:
    word = parts[0].decode("latin-1")
    if word == "REQ" and len(parts) == 4:
        text = parts[2].decode("latin-1")
        pairs = (pair.partition("=")[::2] for pair in text.split(",")) if text != "-" else ()
        return Command(word, parts[1], dict(pairs), parts[3])
    if word in ("STOP", "HELO") and len(parts) == 2:
        return Command(word, parts[1])
    raise Broken("unknown command")


def answer(ident: bytes, word: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    listed = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    parts = (ident, word.encode(), listed.encode(), body)
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


# FastCGI, the web server's end

RECORD = Struct(">BBHHBx")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6


def record(kind: int, id: int, content: bytes = b"") -> bytes:
    pad = -len(content) % 8
    return RECORD.pack(1, kind, id, len(content), pad) + content + bytes(pad)


def length(size: int) -> bytes:
    return bytes([size]) if size < 128 else pack(">I", size | 1 << 31)


def get(id: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """A GET as a web server sends it, with the flag that keeps the connection."""
    params = b""
    for name, value in fields.items():
        n, v = name.encode(), value.encode()
        params += length(len(n)) + length(len(v)) + n + v
    whole = record(BEGIN, id, pack(">HB5x", 1, 1)) + record(PARAMS, id, params) + record(PARAMS, id)
    return whole + (record(STDIN, id, body) if body else b"") + record(STDIN, id)


def abort(id: int) -> bytes:
    return record(ABORT, id)


@dataclass(slots=True)
class Final:
    """A final answer as a web server reads it."""

    id: int
    status: int  # 0: none was given
    fields: dict[str, str]
    body: bytes
    end: int  # the protocol status

    @property
    def outcome(self) -> str:
        if self.end == 2 or self.status in (429, 503):
            return "shed"
        whole = "Content-Length" not in self.fields or int(self.fields["Content-Length"]) == len(self.body)
        return "returned" if self.status == 200 and whole and self.end == 0 else "errored"


class Answers:
    def __init__(self) -> None:
        self.rest = b""  # less than one record; emptied as records are whole
        self.parts: dict[int, list[bytes]] = {}  # by id; emptied by their ends

    def feed(self, data: bytes) -> list[Final]:
        data, found, at = self.rest + data, list[Final](), 0
        while len(data) - at >= 8:
            version, kind, id, size, padding = RECORD.unpack_from(data, at)
            if version != 1:
                raise Broken("no record")
            if len(data) - at < 8 + size + padding:
                break
            content, at = data[at + 8 : at + 8 + size], at + 8 + size + padding
            if kind == STDOUT:
                self.parts.setdefault(id, []).append(content)
            elif kind == END:
                found.append(final(id, b"".join(self.parts.pop(id, [])), content[4]))
        self.rest = data[at:]
        return found


def final(id: int, whole: bytes, end: int) -> Final:
    head, _, body = whole.partition(b"\r\n\r\n")
    lines = (line.partition(": ")[::2] for line in head.decode("latin-1").split("\r\n") if line)
    fields = dict(lines)
    status = fields.get("Status", "0").split(" ")[0]
    return Final(id, int(status) if status.isdigit() else 0, fields, body, end)


# the bulletin


@dataclass(slots=True, frozen=True)
class Listed:
    id: int
    address: tuple[str, int]
    state: int  # 0 ready, 1 draining, 2 gone
    location: int  # places in the lists of the settings
    model: int
    cell: int
    units: float
    started_ms: int

    @property
    def name(self) -> str:
        return f"s-{self.id:08x}"

    def packed(self) -> bytes:
        host, port = self.address
        where = bytes(map(int, host.split(".")))
        return pack(">I4sHBBBHIQ", self.id, where, port, self.state, self.location, self.model, self.cell,
                    round(self.units * 1000), self.started_ms)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Purged:
    """Of one object, or of a group where the object is empty."""

    thing: str
    group: int
    issued_ms: int


News = tuple[Listed, ...] | Purged  # changes of the list, or a purge


def frame(number: int, news: News | None, whole: bool = False) -> bytes:
    if news is None:
        kind, payload = 0, b""
    elif isinstance(news, tuple):
        kind, payload = 1 if whole else 2, b"".join(line.packed() for line in news)
    elif news.thing:
        kind, payload = 3, pack(">QQ", int(news.thing, 16), news.issued_ms)
    else:
        kind, payload = 4, pack(">HQ", news.group, news.issued_ms)
    return pack(">IQB", 9 + len(payload), number, kind) + payload


STATES = ("ready", "draining", "gone")


def known(numbered: Iterable[tuple[int, News]], locations: list[str], models: list[str]) -> dict[str, object]:
    """The same events as a gateway's configuration holds them."""
    items: list[dict[str, object]] = []
    last = 0
    for number, news in numbered:
        last = number
        if isinstance(news, tuple):
            lines = [
                {
                    "uid": line.name, "endpoint": f"{line.address[0]}:{line.address[1]}",
                    "az": locations[line.location], "model": models[line.model], "pod_group": line.cell,
                    "state": STATES[line.state], "capacity_hint": line.units, "boot_ms": line.started_ms,
                }
                for line in news
            ]  # fmt: skip
            items.append({"no": number, "roster": {"rev": number, "all": number == 1, "targets": lines}})
        elif news.thing:
            items.append({"no": number, "recall": {"item": news.thing, "issued": news.issued_ms}})
        else:
            items.append({"no": number, "recall": {"lot": news.group, "issued": news.issued_ms}})
    return {"no": last, "items": items}
