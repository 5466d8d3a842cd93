"""Codecs for the remote ends of a gateway's connections: a cache, a web server and the discovery service. No
sockets, no clock.

A cache decodes a gateway's commands with `CommandDecoder().feed(data)` and sends `encode_answer()`. A web
server sends `encode_get()` and decodes the answers with `AnswerDecoder().feed(data)`. The discovery service
sends `encode_frame()`. These codecs are implemented independently of the gateway's, from the protocol's page
and the public specifications of RESP and FastCGI 1.0, so that both do not share a fault.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from struct import Struct, pack

MAX_COMMAND_BYTES = 1 << 20  # of one command; an object's part and its fields take a quarter of that


class ProtocolError(Exception):
    """The gateway sent malformed bytes; the text says why."""


@dataclass(slots=True)
class Command:
    """A command to a cache; `ident` is the id of the GET."""

    word: str  # REQ, STOP or HELO
    ident: bytes
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class CommandDecoder:
    """Decodes RESP arrays of bulk strings from arbitrary chunks."""

    def __init__(self) -> None:
        self.buffer = bytearray()  # the incomplete last command

    def feed(self, data: bytes) -> list[Command]:
        self.buffer += data
        found: list[Command] = []
        at = 0
        while (decoded := self.read_parts(at)) is not None:
            arguments, at = decoded
            found.append(parse_command(arguments))
        del self.buffer[:at]
        if len(self.buffer) > MAX_COMMAND_BYTES:
            raise ProtocolError("oversize")
        return found

    def read_length(self, at: int, sign: bytes) -> tuple[int, int] | None:
        """Returns the length and the position after its line, or None if the line is incomplete."""
        end = self.buffer.find(b"\r\n", at, at + 16)
        if end < 0:
            if len(self.buffer) - at >= 16:
                raise ProtocolError("length line too long")
            return None
        text = bytes(self.buffer[at:end])
        if text[:1] != sign or not text[1:].isdigit():
            raise ProtocolError("bad length")
        return int(text[1:]), end + 2

    def read_parts(self, at: int) -> tuple[list[bytes], int] | None:
        """Returns the arguments of a command and the position after it, or None if it is incomplete."""
        head = self.read_length(at, b"*") if at < len(self.buffer) else None
        if head is None:
            return None
        count, at = head
        if not 2 <= count <= 4:
            raise ProtocolError("wrong number of arguments")
        arguments: list[bytes] = []
        for _ in range(count):
            size = self.read_length(at, b"$") if at < len(self.buffer) else None
            if size is None:
                return None
            length, at = size
            if length > MAX_COMMAND_BYTES:
                raise ProtocolError("oversize")
            if len(self.buffer) < at + length + 2:
                return None
            arguments.append(bytes(self.buffer[at : at + length]))
            at += length + 2
        return arguments, at


def parse_command(parts: list[bytes]) -> Command:
    word = parts[0].decode("latin-1")
    if word == "REQ" and len(parts) == 4:
        text = parts[2].decode("latin-1")
        pairs = (pair.partition("=")[::2] for pair in text.split(",")) if text != "-" else ()
        return Command(word, parts[1], dict(pairs), parts[3])
    if word in ("STOP", "HELO") and len(parts) == 2:
        return Command(word, parts[1])
    raise ProtocolError("unknown command")


def encode_answer(ident: bytes, word: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    listed = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    parts = (ident, word.encode(), listed.encode(), body)
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


# FastCGI, web server side

RECORD = Struct(">BBHHBx")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6


def encode_record(kind: int, id: int, content: bytes = b"") -> bytes:
    pad = -len(content) % 8
    return RECORD.pack(1, kind, id, len(content), pad) + content + bytes(pad)


def encode_length(size: int) -> bytes:
    return bytes([size]) if size < 128 else pack(">I", size | 1 << 31)


def encode_get(id: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a GET as a web server sends it, with the keep-connection flag."""
    params = b""
    for name, value in fields.items():
        n, v = name.encode(), value.encode()
        params += encode_length(len(n)) + encode_length(len(v)) + n + v
    whole = (
        encode_record(BEGIN, id, pack(">HB5x", 1, 1))
        + encode_record(PARAMS, id, params)
        + encode_record(PARAMS, id)
    )
    return whole + (encode_record(STDIN, id, body) if body else b"") + encode_record(STDIN, id)


def encode_abort(id: int) -> bytes:
    return encode_record(ABORT, id)


@dataclass(slots=True)
class FinalAnswer:
    """A complete answer to a GET."""

    id: int
    status: int  # HTTP status; 0: none was sent
    fields: dict[str, str]
    body: bytes
    protocol_status: int  # of the FastCGI end record; 2: overloaded

    @property
    def outcome(self) -> str:
        if self.protocol_status == 2 or self.status in (429, 503):
            return "shed"
        whole = "Content-Length" not in self.fields or int(self.fields["Content-Length"]) == len(self.body)
        return "returned" if self.status == 200 and whole and self.protocol_status == 0 else "errored"


class AnswerDecoder:
    """Decodes the answers on one FastCGI connection."""

    def __init__(self) -> None:
        self.buffer = b""  # the incomplete last record
        self.parts: dict[int, list[bytes]] = {}  # received output by id; removed by the end record

    def feed(self, data: bytes) -> list[FinalAnswer]:
        data, found, at = self.buffer + data, list[FinalAnswer](), 0
        while len(data) - at >= 8:
            version, kind, id, size, padding = RECORD.unpack_from(data, at)
            if version != 1:
                raise ProtocolError("unknown record version")
            if len(data) - at < 8 + size + padding:
                break
            content, at = data[at + 8 : at + 8 + size], at + 8 + size + padding
            if kind == STDOUT:
                self.parts.setdefault(id, []).append(content)
            elif kind == END:
                found.append(parse_final(id, b"".join(self.parts.pop(id, [])), content[4]))
        self.buffer = data[at:]
        return found


def parse_final(id: int, whole: bytes, end: int) -> FinalAnswer:
    head, _, body = whole.partition(b"\r\n\r\n")
    lines = (line.partition(": ")[::2] for line in head.decode("latin-1").split("\r\n") if line)
    fields = dict(lines)
    status = fields.get("Status", "0").split(" ")[0]
    return FinalAnswer(id, int(status) if status.isdigit() else 0, fields, body, end)


# the discovery service (bulletin)


@dataclass(slots=True, frozen=True)
class ListedNode:
    """A node's entry in the discovery list."""

    id: int
    address: tuple[str, int]
    state: int  # 0 ready, 1 draining, 2 gone
    location: int  # location and model are indexes into the lists of the settings
    model: int
    cell: int
    units: float
    started_ms: int

    @property
    def name(self) -> str:
        return f"s-{self.id:08x}"

    def encode(self) -> bytes:
        host, port = self.address
        where = bytes(map(int, host.split(".")))
        return pack(">I4sHBBBHIQ", self.id, where, port, self.state, self.location, self.model, self.cell,
                    round(self.units * 1000), self.started_ms)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Purged:
    """A purge of one object, or of a group if the object's id is empty."""

    object_id: str
    group: int
    issued_ms: int


Event = tuple[ListedNode, ...] | Purged  # changes of the node list, or a purge


def encode_frame(number: int, event: Event | None, whole: bool = False) -> bytes:
    """Encodes a discovery event (None: a heartbeat); `whole` marks a complete list instead of changes."""
    if event is None:
        kind, payload = 0, b""
    elif isinstance(event, tuple):
        kind, payload = 1 if whole else 2, b"".join(line.encode() for line in event)
    elif event.object_id:
        kind, payload = 3, pack(">QQ", int(event.object_id, 16), event.issued_ms)
    else:
        kind, payload = 4, pack(">HQ", event.group, event.issued_ms)
    return pack(">IQB", 9 + len(payload), number, kind) + payload


STATES = ("ready", "draining", "gone")


def event_log(
    numbered: Iterable[tuple[int, Event]], locations: list[str], models: list[str]
) -> dict[str, object]:
    """Returns the same events in the form of a gateway's configuration."""
    items: list[dict[str, object]] = []
    last = 0
    for number, event in numbered:
        last = number
        if isinstance(event, tuple):
            lines = [
                {
                    "uid": line.name, "endpoint": f"{line.address[0]}:{line.address[1]}",
                    "az": locations[line.location], "model": models[line.model], "pod_group": line.cell,
                    "state": STATES[line.state], "capacity_hint": line.units, "boot_ms": line.started_ms,
                }
                for line in event
            ]  # fmt: skip
            items.append({"no": number, "roster": {"rev": number, "all": number == 1, "targets": lines}})
        elif event.object_id:
            items.append({"no": number, "recall": {"item": event.object_id, "issued": event.issued_ms}})
        else:
            items.append({"no": number, "recall": {"lot": event.group, "issued": event.issued_ms}})
    return {"no": last, "items": items}
