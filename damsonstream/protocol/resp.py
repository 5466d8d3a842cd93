"""The commands of caches in RESP arrays of bulk strings, as bytes in and messages out. No sockets, no clock.

How it is called: `forward()` and `stop()` give the bytes of a command; `Decoder().feed(data)` returns the
answers that `data` completes. Where bytes can't be followed `broken` says why, after the good answers that
came before them, and nothing more is taken in. Wire names end here.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MOST_BODY = 240_000  # bytes of an object, the protocol's
MOST_WORD = 4_096  # bytes of any other string: ids, words and fields are short
MOST_LINE = 16  # bytes of a length line
MOST_LOAD = 1e6  # of a gauge: what is more, or no number, tells nothing
MOST_TIME = 10**9  # milliseconds told to have been waited

RESULTS = {
    b"served": "returned",
    b"still_good": "returned",
    b"not_here": "lacking",
    b"overload": "shed",
    b"crashed": "errored",
    b"nobody": "unsent",
}
NOTES = (b"hit", b"filled", b"via_origin", b"joined", b"stale", b"src_refused", b"src_broke", b"src_lacks",
         b"no_slot", b"origin_failed")  # fmt: skip
NOTE = {word: place for place, word in enumerate(NOTES, 1)}
LOADS = {b"inflight": "held", b"concurrent": "held", b"util": "busy", b"load_share": "busy", b"x0": "hits",
         b"x1": "link"}  # fmt: skip


class Broken(Exception):
    """The cache's bytes can't be followed."""


@dataclass(slots=True)
class Answer:
    """What a cache answered under an id."""

    ident: bytes
    result: str
    note: int
    waited_ms: int
    load: dict[str, float] = field(default_factory=dict)
    same: bool = False  # the client's copy is the one
    stamp: int = 0  # Unix millisecond at which the origin gave this copy out, 0: not told
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class Lost:
    """A forward that ended without an answer: unreached, broken, unsent, expired or recalled."""

    result: str
    shared: bool = False  # it was lost with others on its connection, of which another is told unshared


def bulks(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def forward(
    ident: bytes,
    same: bytes,
    body: bytes,
    *,
    wait_ms: int,
    source: str,
    rank: int,
    age_ms: int,
    join: bool,
    renew: bool,
    copies: bool,
) -> bytes:
    """A forward; `same` holds the fields that every forward of the GET has, from `fields()`."""
    text = f",ms={wait_ms}"
    if source:
        text += f",fetch={source}"
    if rank:
        text += f",retain={rank}"
    if age_ms:
        text += f",newer={age_ms}"
    how = [word for word, on in (("collapse", join), ("only-if-cached", copies), ("refresh", renew)) if on]
    if how:
        text += f",handle={'+'.join(how)}"
    return bulks(b"REQ", ident, same + text.encode(), body)


def fields(service: bytes, thing: bytes, part: bytes, token: bytes, holds: bytes) -> bytes:
    """The fields that go on unchanged."""
    text = b"kind=%b,obj=%b,seg=%b" % (service, thing, part)
    return text + (b",token=%b" % token if token else b"") + (b",holds=%b" % holds if holds else b"")


def stop(ident: bytes) -> bytes:
    return bulks(b"STOP", ident)


def parse(parts: list[bytes]) -> Answer:
    if len(parts) != 4 or parts[1] not in RESULTS:
        raise Broken("unknown answer")
    ident, word, listed, body = parts
    told = dict(pair.partition(b"=")[::2] for pair in listed.split(b",")) if listed != b"-" else {}
    try:
        gauges = (pair.partition(b":")[::2] for pair in told.get(b"gauges", b"").split(b";") if pair)
        load = {LOADS[name]: float(value) for name, value in gauges if name in LOADS}
        waited, stamp = int(float(told.get(b"took") or 0)), int(told.get(b"stamp") or 0)
    except (ValueError, OverflowError) as fault:
        raise Broken(f"bad field: {fault}") from fault
    if not 0 <= waited <= MOST_TIME or stamp < 0:
        raise Broken("bad field: out of range")
    load = {name: value for name, value in load.items() if 0 <= value <= MOST_LOAD}  # nan is neither
    same, note = word == b"still_good", NOTE.get(told.get(b"res", b""), 0)
    return Answer(ident, RESULTS[word], note, waited, load, same, stamp, body)


class Decoder:
    """One connection's answers, whatever pieces they come in."""

    def __init__(self) -> None:
        self.buffer = bytearray()  # less than one answer; emptied as answers are whole
        self.parts: list[bytes] = []  # strings of the answer that is coming in
        self.wanted = 0  # strings still to come, 0: an array begins next
        self.size = -1  # of the string that is coming in, -1: its length line is next
        self.broken = ""  # why nothing more is taken in

    @property
    def half(self) -> bool:
        """Whether an answer has come in part."""
        return bool(self.buffer) or self.wanted > 0

    def feed(self, data: bytes) -> list[Answer]:
        found: list[Answer] = []
        if not self.broken:
            self.buffer += data
            try:
                self.take(found)
            except Broken as fault:
                self.broken = str(fault)
                self.buffer.clear()
        return found

    def take(self, found: list[Answer]) -> None:
        at = 0
        while True:
            if self.size >= 0:
                end = at + self.size
                if len(self.buffer) < end + 2:
                    break
                if self.buffer[end : end + 2] != b"\r\n":
                    raise Broken("no end of a string")
                self.parts.append(bytes(memoryview(self.buffer)[at:end]))
                at, self.size, self.wanted = end + 2, -1, self.wanted - 1
                if not self.wanted:
                    found.append(parse(self.parts))
                    self.parts = []
                continue
            end = self.buffer.find(b"\r\n", at, at + MOST_LINE)
            if end < 0:
                if len(self.buffer) - at >= MOST_LINE:
                    raise Broken("no end of a line")
                break
            self.length(bytes(self.buffer[at:end]))
            at = end + 2
        del self.buffer[:at]

    def length(self, line: bytes) -> None:
        sign, digits = line[:1], line[1:]
        if not digits.isdigit() or sign != (b"$" if self.wanted else b"*"):
            raise Broken("bad length")
        if not self.wanted:
            self.wanted = int(digits)
            if self.wanted != 4:
                raise Broken("unknown answer")
            return
        self.size = int(digits)
        if self.size > (MOST_BODY if self.wanted == 1 else MOST_WORD):
            raise Broken("oversize")
