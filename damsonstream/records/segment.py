"""Binary format of a segment: a header, then frames that hold one record each. No files, no clock.

`encode_header(...)` and `encode_frame(seq, payload)` return bytes. `scan(data, offset)` yields the intact
frames and the damaged byte ranges of a segment in order, so that a bad byte loses only the record it is in.

    header = "DMSN" version:2 name_length:2 boot:4 segment:4 first_seq:8 created_ms:8 name crc:4
    frame  = marker:2 length:2 seq:8 payload crc:4     little-endian; crc covers everything before it

`seq` numbers the records of one boot from 0 and includes dropped records, so that a reader can tell how many
are missing.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct
from zlib import crc32

import msgspec

MAGIC, VERSION = b"DMSN", 1
HEADER = Struct("<4sHHIIQQ")
FRAME_HEADER = Struct("<HHQ")
CHECKSUM = Struct("<I")
FRAME_MARKER = 0xA7D5  # no byte of it is ASCII, so text in a payload is not mistaken for a frame
FRAME_MARKER_BYTES = FRAME_MARKER.to_bytes(2, "little")
MAX_PAYLOAD_BYTES = (
    0xFFFF  # the length field has two bytes; a longer list of caches is split over several records
)


class InvalidSegment(Exception):
    """The bytes do not start with a valid segment header; the message is the reason code."""


@dataclass(slots=True, frozen=True)
class SegmentHeader:
    """Decoded header of a segment."""

    name: str
    boot: int
    segment: int
    first_seq: int  # lowest seq that a record in this segment can have
    created_ms: int  # Unix time
    size: int  # length of the header in bytes
    version: int = VERSION


class Frame(msgspec.Struct, frozen=True, gc=False):
    """An intact frame. One is made per record: msgspec does so five times as fast as a frozen dataclass."""

    seq: int
    payload: memoryview
    after: int  # offset just behind this frame


@dataclass(slots=True, frozen=True)
class DamagedBytes:
    """A range of `size` bytes from `offset` that holds no intact frame."""

    offset: int
    size: int
    reason: str  # torn: no intact frame follows; flipped: intact frames follow


def encode_header(name: str, boot: int, segment: int, first_seq: int, created_ms: int) -> bytes:
    """Returns the header of a segment."""
    text = name.encode()
    data = HEADER.pack(MAGIC, VERSION, len(text), boot, segment, first_seq, created_ms) + text
    return data + CHECKSUM.pack(crc32(data))


def encode_frame(seq: int, payload: bytes) -> bytes:
    """Returns the frame of one record."""
    framed = FRAME_HEADER.pack(FRAME_MARKER, len(payload), seq) + payload
    return framed + CHECKSUM.pack(crc32(framed))


def decode_header(data: bytes | memoryview) -> SegmentHeader:
    """Decodes the header of a segment; raises `InvalidSegment`."""
    if len(data) < HEADER.size:
        raise InvalidSegment("torn-head")
    magic, version, length, boot, segment, first_seq, created_ms = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise InvalidSegment("no-segment")
    end = HEADER.size + length
    if len(data) < end + CHECKSUM.size:
        raise InvalidSegment("torn-head")
    if CHECKSUM.unpack_from(data, end)[0] != crc32(data[:end]):
        raise InvalidSegment("flipped-head")
    name = bytes(data[HEADER.size : end]).decode(errors="replace")
    return SegmentHeader(name, boot, segment, first_seq, created_ms, end + CHECKSUM.size, version)


def scan(data: bytes, offset: int) -> Iterator[Frame | DamagedBytes]:
    """Yields the frames from `offset` on.

    Bytes count as a frame only if their checksum matches; otherwise the scan continues at the next marker
    with a matching checksum.
    """
    view, end = memoryview(data), len(data)
    damage_start = -1  # offset of the first unusable byte, -1 if there is none
    while offset < end:
        if end - offset >= FRAME_HEADER.size:
            marker, size, seq = FRAME_HEADER.unpack_from(data, offset)
            payload_end = offset + FRAME_HEADER.size + size
            after = payload_end + CHECKSUM.size
            if (
                marker == FRAME_MARKER
                and after <= end
                and crc32(view[offset:payload_end]) == CHECKSUM.unpack_from(data, payload_end)[0]
            ):
                if damage_start >= 0:
                    yield DamagedBytes(damage_start, offset - damage_start, "flipped")
                    damage_start = -1
                yield Frame(seq, view[offset + FRAME_HEADER.size : payload_end], after)
                offset = after
                continue
        damage_start = offset if damage_start < 0 else damage_start
        offset = data.find(FRAME_MARKER_BYTES, offset + 1)
        if offset < 0:
            break
    if damage_start >= 0:
        yield DamagedBytes(damage_start, end - damage_start, "torn")
