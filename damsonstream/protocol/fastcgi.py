"""Codec of FastCGI 1.0 for the Responder role. It does no I/O and reads no clock.

Usage: `Decoder().feed(data)` returns the messages that `data` completes, in order. `encode_answer()` and
`end_request()` encode an answer. Malformed records raise `ProtocolError` with a reason code. Parameters and
bodies are passed on as raw bytes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from struct import Struct

HEADER = Struct(">BBHHBx")
END_REQUEST_BODY = Struct(">IB3x")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = 9, 10, 11
RESPONDER, KEEP_CONN = 1, 1
REQUEST_COMPLETE, CANT_MPX_CONN, OVERLOADED, UNKNOWN_ROLE = 0, 1, 2, 3
MAX_RECORD_CONTENT = 65_528  # of a record that is sent: the largest size that needs no padding to 8 bytes

MAX_OPEN_REQUESTS = 32  # on one connection; set by the protocol
MAX_PARAMS_BYTES = 16_384  # of one GET: ten short fields and what a web server adds
MAX_BODY_BYTES = 48_000  # of a write; set by the protocol
MAX_PARTIAL_BYTES = 262_144  # of all partly received GETs of a connection: five complete writes
MAX_GET_VALUES_BYTES = 1024  # of a GET_VALUES query; only three short names are defined


class ProtocolError(Exception):
    """Malformed data from the peer; the text is the reason code."""


@dataclass(slots=True)
class Request:
    """A completely received GET."""

    id: int
    fields: dict[bytes, bytes]
    body: bytes
    keep_connection: bool


@dataclass(slots=True)
class RequestAborted:
    """The client has aborted a GET that was completely received."""

    id: int


@dataclass(slots=True)
class ManagementReply:
    """An encoded reply that the specification requires to be sent at once."""

    data: bytes


Message = Request | RequestAborted | ManagementReply


@dataclass(slots=True)
class PartialRequest:
    """A partly received GET."""

    keep_connection: bool
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    fields: dict[bytes, bytes] | None = None
    received_bytes: int = 0  # of parameters and body so far


def parse_pairs(data: bytes) -> dict[bytes, bytes]:
    """Decodes name-value pairs, in which each length takes one byte or four."""
    result: dict[bytes, bytes] = {}
    offset, end = 0, len(data)
    try:
        while offset < end:
            name_length, value_length, offset = data[offset], data[offset + 1], offset + 2
            if name_length & 0x80 or value_length & 0x80:  # at least one length takes four bytes
                offset -= 2
                name_length, offset = parse_length(data, offset)
                value_length, offset = parse_length(data, offset)
            value_start, value_end = offset + name_length, offset + name_length + value_length
            result[data[offset:value_start]] = data[value_start:value_end]
            offset = value_end
    except IndexError:
        offset = end + 1
    if offset != end:
        raise ProtocolError("bad-params")
    return result


def parse_length(data: bytes, offset: int) -> tuple[int, int]:
    width = 4 if data[offset] & 0x80 else 1
    return int.from_bytes(data[offset : offset + width], "big") & 0x7FFFFFFF, offset + width


def pair(name: bytes, value: bytes) -> bytes:
    sizes = (len(part).to_bytes(1, "big") if len(part) < 128 else (len(part) | 1 << 31).to_bytes(4, "big")
             for part in (name, value))  # fmt: skip
    return b"".join(sizes) + name + value


def record(kind: int, id: int, content: bytes = b"") -> bytes:
    return HEADER.pack(1, kind, id, len(content), -len(content) % 8) + content + bytes(-len(content) % 8)


def end_request(id: int, status: int = REQUEST_COMPLETE) -> bytes:
    return record(END, id, END_REQUEST_BODY.pack(0, status))


def encode_answer(id: int, status: bytes, fields: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Encodes a complete CGI response as STDOUT records, followed by the end of the request."""
    headers = b"Status: %b\r\n" % status + b"".join(b"%b: %b\r\n" % pair for pair in fields) + b"\r\n"
    parts = [record(STDOUT, id, headers)]
    view = memoryview(body)
    for offset in range(0, len(body), MAX_RECORD_CONTENT):
        content = view[offset : offset + MAX_RECORD_CONTENT]
        padding = -len(content) % 8
        parts += (HEADER.pack(1, STDOUT, id, len(content), padding), content, bytes(padding))  # type: ignore[arg-type]
    parts += (record(STDOUT, id), end_request(id))
    return b"".join(parts)


class Decoder:
    """Decodes the records of one connection. `release_id()` frees the id of a GET that has been answered."""

    def __init__(self) -> None:
        self.buffer = b""  # an incomplete record
        self.partial_requests: dict[int, PartialRequest] = {}  # partly received GETs by id
        self.open_ids: set[int] = set()  # ids of received GETs without an answer; removed by release_id()
        self.partial_bytes = 0  # size of all partly received GETs

    @property
    def incomplete(self) -> bool:
        """Whether a record or a GET has been received in part."""
        return bool(self.buffer or self.partial_requests)

    def release_id(self, id: int) -> None:
        self.open_ids.discard(id)

    def feed(self, data: bytes) -> list[Message]:
        if self.buffer:
            data = self.buffer + data
        messages: list[Message] = []
        offset, end = 0, len(data)
        while end - offset >= 8:
            version, kind, id, size, padding = HEADER.unpack_from(data, offset)
            if version != 1:
                raise ProtocolError("bad-record")
            record_end = offset + 8 + size + padding
            if record_end > end:
                break
            content = data[offset + 8 : offset + 8 + size]
            offset = record_end
            message = (
                self.handle_management(kind, content) if id == 0 else self.handle_record(kind, id, content)
            )
            if message is not None:
                messages.append(message)
        self.buffer = data[offset:]
        return messages

    def handle_management(self, kind: int, content: bytes) -> Message:
        """Returns the reply to a management record, which has the id 0."""
        if kind != GET_VALUES:
            return ManagementReply(record(UNKNOWN_TYPE, 0, bytes([kind]) + bytes(7)))
        if len(content) > MAX_GET_VALUES_BYTES:
            raise ProtocolError("oversize")
        variables = {b"FCGI_MAX_REQS": b"%d" % MAX_OPEN_REQUESTS, b"FCGI_MPXS_CONNS": b"1"}
        values = b"".join(pair(name, variables[name]) for name in parse_pairs(content) if name in variables)
        return ManagementReply(record(GET_VALUES_RESULT, 0, values))

    def handle_record(self, kind: int, id: int, content: bytes) -> Message | None:
        if kind == BEGIN:
            return self.begin_request(id, content)
        if kind == ABORT and (id in self.partial_requests or id in self.open_ids):
            if (partial := self.partial_requests.pop(id, None)) is not None:
                self.partial_bytes -= partial.received_bytes
                return ManagementReply(end_request(id))  # it was not received completely
            return RequestAborted(id)
        partial = self.partial_requests.get(id)
        if partial is None or kind not in (PARAMS, STDIN):
            return None  # an unknown id, or a stream that a Responder does not use
        partial.received_bytes += len(content)
        self.partial_bytes += len(content)
        if self.partial_bytes > MAX_PARTIAL_BYTES:
            raise ProtocolError("oversize")
        if kind == PARAMS and partial.fields is None:
            partial.params += content
            if len(partial.params) > MAX_PARAMS_BYTES:
                raise ProtocolError("oversize")
            if not content:
                partial.fields, partial.params = parse_pairs(bytes(partial.params)), bytearray()
        elif kind == STDIN:
            partial.body += content
            if len(partial.body) > MAX_BODY_BYTES:
                raise ProtocolError("oversize")
            if not content and partial.fields is not None:
                del self.partial_requests[id]
                self.partial_bytes -= partial.received_bytes
                self.open_ids.add(id)
                return Request(id, partial.fields, bytes(partial.body), partial.keep_connection)
        return None

    def begin_request(self, id: int, content: bytes) -> Message | None:
        if len(content) != 8:
            raise ProtocolError("bad-record")
        if id in self.partial_requests or id in self.open_ids:  # its end would pass for that of the open GET
            raise ProtocolError("busy-id")
        if int.from_bytes(content[:2], "big") != RESPONDER:
            return ManagementReply(end_request(id, UNKNOWN_ROLE))
        if len(self.partial_requests) + len(self.open_ids) >= MAX_OPEN_REQUESTS:
            return ManagementReply(end_request(id, OVERLOADED))
        self.partial_requests[id] = PartialRequest(bool(content[2] & KEEP_CONN))
        return None
