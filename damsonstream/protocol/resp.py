"""Codec of the caches' protocol, whose commands and answers are RESP arrays of bulk strings. It does no I/O
and reads no clock.

Usage: `forward()` and `stop()` encode a command. `Decoder().feed(data)` returns the answers that `data`
completes, up to a maximum number. After malformed input, the answers before it are returned, `error` holds
the reason, and all further input is ignored. An answer is only returned if what follows it in the input may
begin another one: otherwise its length doesn't fit, and its body is not whole. This module maps the names of
the wire to those used elsewhere in the code.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

MAX_BODY_BYTES = 240_000  # of an object; set by the protocol
MAX_STRING_BYTES = 4_096  # of any other string; ids, result words and fields are short
MAX_LENGTH_LINE_BYTES = 16  # of a line with a length
MAX_LOAD = 1e6  # larger values of a gauge, and those that are no number, are ignored
MAX_WAIT_MS = 10**9  # of the waiting time that an answer reports
UNLIMITED_ANSWERS = 1 << 30
ANSWER_START = b"*4\r\n$"  # the first bytes of each answer
# an answer, with its id, behind the end of another one
FOLLOWING_ANSWER = re.compile(rb"\r\n\*4\r\n\$\d+\r\n([^\r]*)\r\n\$")

RESULT_BY_WORD = {
    b"served": "returned",
    b"still_good": "returned",
    b"not_here": "lacking",
    b"overload": "shed",
    b"crashed": "errored",
    b"nobody": "unsent",
}
# How a cache produced its answer. `Answer.note` holds the position, counted from 1; 0: not reported.
NOTES = (b"hit", b"filled", b"via_origin", b"joined", b"stale", b"src_refused", b"src_broke", b"src_lacks",
         b"no_slot", b"origin_failed")  # fmt: skip
NOTE_CODES = {word: place for place, word in enumerate(NOTES, 1)}
# Gauges that answers report, and the names by which the router knows them. "held": open requests of the
# cache, "busy": share of its cores, "hits": hit ratio, "link": load of the link into its location, 1 if it is
# just full.
LOAD_BY_GAUGE = {b"inflight": "held", b"concurrent": "held", b"util": "busy", b"load_share": "busy",
                 b"x0": "hits", b"x1": "link"}  # fmt: skip


# A command in pieces: a body stays the object that it is, for all forwards of its GET.
Command = tuple[bytes, ...]


class ProtocolError(Exception):
    """Malformed data from a cache."""


@dataclass(slots=True)
class Answer:
    """The answer of a cache to the forward with this identifier."""

    ident: bytes
    result: str  # returned, lacking (not in this cache), shed, errored or unsent
    note: int  # index into NOTES, counted from 1; 0: none
    waited_ms: int  # reported time spent waiting for the source; 0: not reported
    load: dict[str, float] = field(default_factory=dict)
    same: bool = False  # the copy that the client holds is current, and no body is sent
    stamp: int = 0  # Unix ms at which the origin sent this copy; 0: unknown
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class Lost:
    """The result of a forward without an answer: unreached, broken, unsent, expired or recalled."""

    result: str
    shared: bool = False  # lost together with another forward of its connection, whose result is not shared


def strings(*parts: bytes) -> bytes:
    return b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def array(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + strings(*parts)


def forward(
    ident: bytes,
    shared_fields: bytes,
    body: bytes,
    *,
    wait_ms: int,
    source: str,
    rank: int,
    age_ms: int,
    join: bool,
    renew: bool,
    copies: bool,
) -> Command:
    """Encodes a forward. `shared_fields` are those common to all forwards of a GET, from `forward_fields()`.

    `wait_ms` is the time limit, `source` the node to fill from, `rank` the retention rank of the copy,
    `age_ms` the maximum age of a copy. `join` lets the cache join a fill in progress, `renew` asks it to
    refresh its copy, and `copies` restricts the source to copies that it holds. Empty and 0 leave a field
    out.
    """
    text = f",ms={wait_ms}"
    if source:
        text += f",fetch={source}"
    if rank:
        text += f",retain={rank}"
    if age_ms:
        text += f",newer={age_ms}"
    modes = [word for word, on in (("collapse", join), ("only-if-cached", copies), ("refresh", renew)) if on]
    if modes:
        text += f",handle={'+'.join(modes)}"
    head = b"*4\r\n" + strings(b"REQ", ident, shared_fields + text.encode()) + b"$%d\r\n" % len(body)
    return (head, body, b"\r\n") if body else (head + b"\r\n",)


def forward_fields(service: bytes, object_id: bytes, segment: bytes, token: bytes, version: bytes) -> bytes:
    """Encodes the fields that are the same in every forward of a GET; `version` is that of the client's
    copy."""
    text = b"kind=%b,obj=%b,seg=%b" % (service, object_id, segment)
    return text + (b",token=%b" % token if token else b"") + (b",holds=%b" % version if version else b"")


def stop(ident: bytes) -> bytes:
    return array(b"STOP", ident)


def parse_answer(parts: list[bytes]) -> Answer:
    if len(parts) != 4 or parts[1] not in RESULT_BY_WORD:
        raise ProtocolError("unknown answer")
    ident, word, field_list, body = parts
    values = dict(pair.partition(b"=")[::2] for pair in field_list.split(b",")) if field_list != b"-" else {}
    try:
        gauges = (pair.partition(b":")[::2] for pair in values.get(b"gauges", b"").split(b";") if pair)
        load = {LOAD_BY_GAUGE[name]: float(value) for name, value in gauges if name in LOAD_BY_GAUGE}
        waited, stamp = int(float(values.get(b"took") or 0)), int(values.get(b"stamp") or 0)
    except (ValueError, OverflowError) as error:
        raise ProtocolError(f"bad field: {error}") from error
    if not 0 <= waited <= MAX_WAIT_MS or stamp < 0:
        raise ProtocolError("bad field: out of range")
    load = {name: value for name, value in load.items() if 0 <= value <= MAX_LOAD}  # excludes NaN
    same, note = word == b"still_good", NOTE_CODES.get(values.get(b"res", b""), 0)
    return Answer(ident, RESULT_BY_WORD[word], note, waited, load, same, stamp, body)


def embedded_idents(body: bytes) -> Iterator[bytes]:
    """Returns the ids of answers that a body seems to contain. If one is that of a forward on the same
    connection, the length of the body was too large, and it has taken in that answer."""
    if b"\r\n" + ANSWER_START not in body:
        return iter(())
    return (match[1] for match in FOLLOWING_ANSWER.finditer(body))


class Decoder:
    """Decodes the answers of one connection, from input of any fragmentation."""

    def __init__(self) -> None:
        self.buffer = bytearray()  # unparsed input, less than one answer
        self.strings: list[bytes] = []  # strings of the partly received answer
        self.strings_left = 0  # strings of it still missing; 0: an array begins next
        self.string_bytes = -1  # size of the string to read; -1: its length line is next
        self.error = ""  # reason why input is ignored; empty: it is not
        self.has_more = False  # whether the buffer may hold complete answers

    @property
    def incomplete(self) -> bool:
        """Whether an answer has been received in part."""
        return bool(self.buffer) or self.strings_left > 0

    def feed(self, data: bytes, max_answers: int = UNLIMITED_ANSWERS) -> list[Answer]:
        """Decodes up to `max_answers` answers. What is left is kept, and `has_more` tells that a call without
        data may decode more of it."""
        answers: list[Answer] = []
        if not self.error:
            self.buffer += data
            try:
                self.parse_buffer(answers, max_answers)
            except ProtocolError as error:
                self.error = str(error)
                self.buffer.clear()
        self.has_more = len(answers) == max_answers and len(self.buffer) > 0
        return answers

    def parse_buffer(self, answers: list[Answer], max_answers: int) -> None:
        offset = 0
        while len(answers) < max_answers:
            if self.string_bytes >= 0:
                end = offset + self.string_bytes
                if len(self.buffer) < end + 2:
                    break
                if self.buffer[end : end + 2] != b"\r\n":
                    raise ProtocolError("bulk string without CRLF")
                self.strings.append(bytes(memoryview(self.buffer)[offset:end]))
                offset, self.string_bytes, self.strings_left = end + 2, -1, self.strings_left - 1
                if not self.strings_left:
                    if not ANSWER_START.startswith(self.buffer[offset : offset + len(ANSWER_START)]):
                        raise ProtocolError("no answer behind an answer")
                    answers.append(parse_answer(self.strings))
                    self.strings = []
                continue
            end = self.buffer.find(b"\r\n", offset, offset + MAX_LENGTH_LINE_BYTES)
            if end < 0:
                if len(self.buffer) - offset >= MAX_LENGTH_LINE_BYTES:
                    raise ProtocolError("length line without CRLF")
                break
            self.parse_length(bytes(self.buffer[offset:end]))
            offset = end + 2
        del self.buffer[:offset]

    def parse_length(self, line: bytes) -> None:
        prefix, digits = line[:1], line[1:]
        if not digits.isdigit() or prefix != (b"$" if self.strings_left else b"*"):
            raise ProtocolError("bad length")
        if not self.strings_left:
            self.strings_left = int(digits)
            if self.strings_left != 4:
                raise ProtocolError("unknown answer")
            return
        self.string_bytes = int(digits)
        if self.string_bytes > (MAX_BODY_BYTES if self.strings_left == 1 else MAX_STRING_BYTES):
            raise ProtocolError("oversize")
