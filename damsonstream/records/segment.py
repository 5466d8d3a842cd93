"""The bytes of a segment: a head, then frames that each hold one record. No files, no clock.

How it is called: `head(...)` and `frame(seq, payload)` give bytes; `scan(data)` goes through the bytes of a
segment and yields each whole frame and each place where bytes can't be used, in order, so that one bad byte
costs the record it is in and no other.

    head  = "DMSN" version:2 name's length:2 boot:4 segment:4 first:8 created:8 name crc:4
    frame = marker:2 length:2 seq:8 payload crc:4      little-endian, crc over all before it

`seq` numbers the records of one boot from 0, also those that were dropped, so that a reader can say how many
are missing.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct
from zlib import crc32

import msgspec

MAGIC, VERSION = b"DMSN", 1
HEAD = Struct("<4sHHIIQQ")
FRAME = Struct("<HHQ")
CRC = Struct("<I")
MARK = 0xA7D5  # neither of its bytes is ASCII: text in payloads does not look like a frame
MARKED = MARK.to_bytes(2, "little")
MOST = 0xFFFF  # bytes of one payload: a list of caches is written in pieces


class NoSegment(Exception):
    """The bytes do not begin as a segment does; the text is the reason code."""


@dataclass(slots=True, frozen=True)
class Head:
    name: str
    boot: int
    segment: int
    first: int  # seq of the first record that may follow
    created: int  # Unix millisecond
    size: int  # bytes of the head
    version: int = VERSION


class Whole(
    msgspec.Struct, frozen=True, gc=False
):  # one a record: made five times as fast as a frozen dataclass
    seq: int
    payload: memoryview
    after: int  # where the next frame begins


@dataclass(slots=True, frozen=True)
class Damage:
    """Bytes from `at` on, `size` of them, that hold no whole frame."""

    at: int
    size: int
    reason: str  # torn: they are the last ones; flipped: whole frames follow


def head(name: str, boot: int, segment: int, first: int, created: int) -> bytes:
    text = name.encode()
    data = HEAD.pack(MAGIC, VERSION, len(text), boot, segment, first, created) + text
    return data + CRC.pack(crc32(data))


def frame(seq: int, payload: bytes) -> bytes:
    data = FRAME.pack(MARK, len(payload), seq) + payload
    return data + CRC.pack(crc32(data))


def read_head(data: bytes | memoryview) -> Head:
    if len(data) < HEAD.size:
        raise NoSegment("torn-head")
    magic, version, length, boot, segment, first, created = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise NoSegment("no-segment")
    end = HEAD.size + length
    if len(data) < end + CRC.size:
        raise NoSegment("torn-head")
    if CRC.unpack_from(data, end)[0] != crc32(data[:end]):
        raise NoSegment("flipped-head")
    name = bytes(data[HEAD.size : end]).decode(errors="replace")
    return Head(name, boot, segment, first, created, end + CRC.size, version)


def scan(data: bytes, at: int) -> Iterator[Whole | Damage]:
    """Frames from `at` on. Bytes are taken for a frame only if the checksum says so; where it does not, the
    next marker with a good checksum goes on."""
    view, end = memoryview(data), len(data)
    bad = -1  # where the bytes that can't be used begin
    while at < end:
        if end - at >= FRAME.size:
            mark, size, seq = FRAME.unpack_from(data, at)
            close = at + FRAME.size + size
            after = close + CRC.size
            if mark == MARK and after <= end and crc32(view[at:close]) == CRC.unpack_from(data, close)[0]:
                if bad >= 0:
                    yield Damage(bad, at - bad, "flipped")
                    bad = -1
                yield Whole(seq, view[at + FRAME.size : close], after)
                at = after
                continue
        bad = at if bad < 0 else bad
        at = data.find(MARKED, at + 1)
        if at < 0:
            break
    if bad >= 0:
        yield Damage(bad, end - bad, "torn")
