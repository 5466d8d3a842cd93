"""Codec of FastCGI 1.0 for the Responder role. It does no I/O and reads no clock.

Usage: `Decoder(budget).feed(data)` returns the messages that `data` completes, in order. `encode_answer()`
and `end_request()` encode an answer. Malformed records raise `ProtocolError` with a reason code. Parameters
and bodies are passed on as raw bytes. The memory of the requests is reserved from a `RequestBudget`; a
request that it has no room for is refused, and the rest of it is skipped.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from struct import Struct
from typing import Protocol

HEADER = Struct(">BBHHBx")
END_REQUEST_BODY = Struct(">IB3x")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = 9, 10, 11
RESPONDER, KEEP_CONN = 1, 1
REQUEST_COMPLETE, CANT_MPX_CONN, OVERLOADED, UNKNOWN_ROLE = 0, 1, 2, 3
MAX_RECORD_CONTENT = 65_528  # of a record that is sent: the largest size that needs no padding to 8 bytes

MAX_OPEN_REQUESTS = 32  # on one connection; set by the protocol
MAX_PARAMS_BYTES = 16_384  # of one GET: ten short fields and what a web server adds
MAX_FIELDS = 256  # of one GET; decoding more takes too long
MAX_BODY_BYTES = 48_000  # of a write; set by the protocol
MAX_GET_VALUES_BYTES = 1024  # of a GET_VALUES query; only three short names are defined
BEGIN_CONTENT_BYTES = 8  # of a BEGIN_REQUEST record
# Memory of a request besides its body: its task, its forwards, and what the router knows of it.
REQUEST_OVERHEAD_BYTES = 6_144
MAX_REQUEST_MEMORY = REQUEST_OVERHEAD_BYTES + MAX_PARAMS_BYTES + MAX_BODY_BYTES
FIELD_BYTES = 256  # memory of one decoded parameter besides its text: two objects and an entry of a table
# Input without effect is limited: records of inactive ids, which the specification requires to be ignored,
# and management records. It is counted in bytes of content, an empty record as one byte. A GET that is
# refused or aborted before it was received completely allows its own rest, a complete one an abort that
# crosses the answer.
IDLE_INPUT_PER_REFUSED = MAX_PARAMS_BYTES + MAX_BODY_BYTES + 8
IDLE_INPUT_PER_COMPLETE = 8
MAX_IDLE_INPUT = MAX_OPEN_REQUESTS * IDLE_INPUT_PER_REFUSED
UNLIMITED_RECORDS = 1 << 30


class ProtocolError(Exception):
    """Malformed data from the peer; the text is the reason code."""


class TooManyFieldsError(ProtocolError):
    """There are more name-value pairs than `MAX_FIELDS`."""


class RequestBudget(Protocol):
    """The memory that the requests of one connection may use, in bytes."""

    def reserve(self, size: int) -> bool:
        """Reserves memory; returns False, and reserves nothing, if there is no room."""

    def release(self, size: int) -> None: ...


class UnlimitedBudget:
    """Budget of a decoder whose input is limited otherwise."""

    def reserve(self, size: int) -> bool:
        return True

    def release(self, size: int) -> None:
        pass


@dataclass(slots=True)
class Request:
    """A completely received GET. Whoever ends it releases `reserved_bytes` to the budget."""

    id: int
    fields: dict[bytes, bytes]
    body: bytes
    keep_connection: bool
    reserved_bytes: int = 0


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

    id: int
    keep_connection: bool
    began_at: float  # the time that `Decoder.feed()` was given
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    fields: dict[bytes, bytes] | None = None
    reserved_bytes: int = 0  # of the budget, for this request so far


@dataclass(slots=True)
class RecordInProgress:
    """A record whose header has been received."""

    kind: int
    id: int
    size: int  # of the content
    content_left: int  # still to be received
    padding_left: int  # still to be received
    stream: bytearray | None = None  # takes the content; None: it is skipped
    partial: PartialRequest | None = None  # the GET that the stream belongs to


def parse_pairs(data: bytes) -> dict[bytes, bytes]:
    """Decodes name-value pairs, in which each length takes one byte or four. Raises `TooManyFieldsError`."""
    result: dict[bytes, bytes] = {}
    offset, end, count = 0, len(data), 0
    try:
        while offset < end:
            count += 1
            if count > MAX_FIELDS:
                raise TooManyFieldsError("oversize")
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

    def __init__(self, budget: RequestBudget | None = None) -> None:
        self.budget: RequestBudget = budget if budget is not None else UnlimitedBudget()
        self.buffer = b""  # input that is not decoded yet
        self.has_more = False  # whether the buffer may hold complete records
        self.record: RecordInProgress | None = None
        self.partial_requests: dict[int, PartialRequest] = {}  # partly received GETs by id
        self.open_ids: set[int] = set()  # ids of received GETs without an answer; removed by release_id()
        self.refused = 0  # GETs that were refused before they were received completely
        self.idle_input = IDLE_INPUT_PER_REFUSED  # input without effect that is still allowed, in bytes

    @property
    def incomplete(self) -> bool:
        """Whether a record or a GET has been received in part."""
        return bool(self.buffer or self.partial_requests or self.record is not None)

    def release_id(self, id: int) -> None:
        self.open_ids.discard(id)

    def feed(self, data: bytes, max_records: int = UNLIMITED_RECORDS, now: float = 0.0) -> list[Message]:
        """Decodes up to `max_records` records. What is left is kept, and `has_more` tells that a call without
        data may decode more of it. `now` is the time at which GETs of this input begin."""
        messages: list[Message] = []
        try:
            self.decode_records(self.buffer + data, max_records, now, messages)
        except ProtocolError:
            for message in messages:  # nobody gets them, as the connection ends
                if isinstance(message, Request):
                    self.budget.release(message.reserved_bytes)
            raise
        return messages

    def decode_records(self, data: bytes, max_records: int, now: float, messages: list[Message]) -> None:
        """Decodes up to `max_records` records and appends the messages that they complete."""
        offset, end = 0, len(data)
        self.has_more = False
        for _ in range(max_records):
            if self.record is None:
                if end - offset < HEADER.size:
                    break
                version, kind, id, size, padding = HEADER.unpack_from(data, offset)
                if version != 1:
                    raise ProtocolError("bad-record")
                offset += HEADER.size
                self.record = RecordInProgress(kind, id, size, size, padding)
                if not self.choose_stream(self.record):
                    messages.append(ManagementReply(end_request(id, OVERLOADED)))
            record = self.record
            offset = self.receive_content(record, data, offset)
            if record.content_left or record.padding_left:
                break
            self.record = None
            message = self.end_record(record, now)
            if message is not None:
                messages.append(message)
        else:
            self.has_more = offset < end
        self.buffer = data[offset:]

    def choose_stream(self, record: RecordInProgress) -> bool:
        """Chooses the stream for the content of a record, and reserves its memory; returns False if there is
        none, and the GET is refused."""
        kind, size = record.kind, record.size
        if kind == BEGIN and record.id:
            if size != BEGIN_CONTENT_BYTES:
                raise ProtocolError("bad-record")
            record.stream = bytearray()
            return True
        if kind == GET_VALUES and not record.id:
            if size > MAX_GET_VALUES_BYTES:
                raise ProtocolError("oversize")
            record.stream = bytearray()
            return True
        partial = self.partial_requests.get(record.id)
        if partial is None or kind not in (PARAMS, STDIN):
            return True
        if kind == PARAMS and partial.fields is not None:  # behind the end of the parameters
            return True
        stream, limit = (
            (partial.params, MAX_PARAMS_BYTES) if kind == PARAMS else (partial.body, MAX_BODY_BYTES)
        )
        if len(stream) + size > limit:
            raise ProtocolError("oversize")
        if not self.reserve(partial, size):
            return False
        record.partial, record.stream = partial, stream
        return True

    def receive_content(self, record: RecordInProgress, data: bytes, offset: int) -> int:
        """Takes or skips content and padding; returns the offset behind them."""
        if record.content_left:
            size = min(record.content_left, len(data) - offset)
            if record.stream is not None:
                record.stream += data[offset : offset + size]
            record.content_left -= size
            offset += size
        if record.padding_left and not record.content_left:
            size = min(record.padding_left, len(data) - offset)
            record.padding_left -= size
            offset += size
        return offset

    def end_record(self, record: RecordInProgress, now: float) -> Message | None:
        """Handles a record that has been received completely."""
        kind, id, partial = record.kind, record.id, record.partial
        if id == 0:
            self.count_idle_input(record.size)
            return self.handle_management(kind, record.stream)
        if kind == BEGIN:
            return self.begin_request(id, bytes(record.stream or b""), now)
        if kind == ABORT and id in self.partial_requests:
            self.drop(self.partial_requests[id])
            return ManagementReply(end_request(id))  # it was not received completely
        if kind == ABORT and id in self.open_ids:
            return RequestAborted(id)
        if partial is not None and record.size:
            return None
        if partial is not None and kind == PARAMS:
            return self.end_params(partial)
        if partial is not None and partial.fields is not None:
            return self.complete(partial, partial.fields)
        self.count_idle_input(record.size)
        return None

    def handle_management(self, kind: int, content: bytearray | None) -> Message:
        """Returns the reply to a management record, which has the id 0."""
        if kind != GET_VALUES or content is None:
            return ManagementReply(record(UNKNOWN_TYPE, 0, bytes([kind]) + bytes(7)))
        variables = {b"FCGI_MAX_REQS": b"%d" % MAX_OPEN_REQUESTS, b"FCGI_MPXS_CONNS": b"1"}
        asked = parse_pairs(bytes(content))
        values = b"".join(pair(name, variables[name]) for name in asked if name in variables)
        return ManagementReply(record(GET_VALUES_RESULT, 0, values))

    def begin_request(self, id: int, content: bytes, now: float) -> Message | None:
        if id in self.partial_requests or id in self.open_ids:  # its end would pass for that of the open GET
            raise ProtocolError("busy-id")
        if int.from_bytes(content[:2], "big") != RESPONDER:
            self.allow_idle_input(IDLE_INPUT_PER_REFUSED)
            return ManagementReply(end_request(id, UNKNOWN_ROLE))
        partial = PartialRequest(id, bool(content[2] & KEEP_CONN), now)
        self.partial_requests[id] = partial
        if len(self.partial_requests) + len(self.open_ids) > MAX_OPEN_REQUESTS:
            self.refuse(partial)
            return ManagementReply(end_request(id, OVERLOADED))
        if not self.reserve(partial, REQUEST_OVERHEAD_BYTES):
            return ManagementReply(end_request(id, OVERLOADED))
        return None

    def end_params(self, partial: PartialRequest) -> Message | None:
        """Decodes the parameters of a GET, which is refused if it has too many. Decoded, they may take far
        more memory than on the wire."""
        try:
            fields = parse_pairs(bytes(partial.params))
        except TooManyFieldsError:
            self.refuse(partial)
            return ManagementReply(end_request(partial.id, OVERLOADED))
        if not self.reserve(partial, FIELD_BYTES * len(fields)):
            return ManagementReply(end_request(partial.id, OVERLOADED))
        partial.fields = fields
        return None

    def complete(self, partial: PartialRequest, fields: dict[bytes, bytes]) -> Request:
        """Returns a GET that has been received completely. It keeps the memory for itself and its body."""
        kept = REQUEST_OVERHEAD_BYTES + len(partial.body)
        self.budget.release(partial.reserved_bytes - kept)
        del self.partial_requests[partial.id]
        self.open_ids.add(partial.id)
        self.allow_idle_input(IDLE_INPUT_PER_COMPLETE)
        return Request(partial.id, fields, bytes(partial.body), partial.keep_connection, kept)

    def reserve(self, partial: PartialRequest, size: int) -> bool:
        """Reserves memory for a partly received GET, which is refused if there is none."""
        if self.budget.reserve(size):
            partial.reserved_bytes += size
            return True
        self.refuse(partial)
        return False

    def refuse(self, partial: PartialRequest) -> None:
        """Forgets a partly received GET whose refusal the caller sends; its rest is skipped as it comes."""
        self.refused += 1
        self.drop(partial)

    def refuse_begun_before(self, time: float) -> list[int]:
        """Refuses the partly received GETs that began before a time, and returns their ids."""
        late = [partial for partial in self.partial_requests.values() if partial.began_at < time]
        for partial in late:
            self.refuse(partial)
        return [partial.id for partial in late]

    def drop(self, partial: PartialRequest) -> None:
        """Forgets a partly received GET and releases its memory."""
        del self.partial_requests[partial.id]
        self.budget.release(partial.reserved_bytes)
        self.allow_idle_input(IDLE_INPUT_PER_REFUSED)
        record = self.record
        if record is not None and record.partial is partial:
            record.partial = record.stream = None

    def drop_all(self) -> None:
        """Forgets all partly received GETs, at the end of the connection."""
        for partial in list(self.partial_requests.values()):
            self.drop(partial)

    def allow_idle_input(self, size: int) -> None:
        self.idle_input = min(self.idle_input + size, MAX_IDLE_INPUT)

    def count_idle_input(self, size: int) -> None:
        self.idle_input -= max(1, size)
        if self.idle_input < 0:
            raise ProtocolError("idle-input")
