"""Datagrams between gateways: bytes in, messages out, and back. No sockets, no clock.

How it is called: `pack(Datagram(...))` gives at most `MOST` bytes or raises `TooLong`; `read(data)` gives a
`Datagram` or raises `Unreadable`, whose text is the reason code under which it is counted. Written with
msgspec's MessagePack: each record is an array, whose first field is the form or the kind. What a field may
hold stands at its type, so that no nonsense (counts below zero, places far off) passes this door.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

FORM = 1  # of this record; a gateway drops what has another
MOST = 256  # bytes of a datagram, the protocol's

Place = Annotated[int, Meta(ge=0, le=65_535)]  # in the list of peers
Count = Annotated[int, Meta(ge=0, le=255)]  # of finished forwards in a window; more are told as so many
Word32 = Annotated[int, Meta(ge=0, le=0xFFFFFFFF)]  # a source by its hash, a boot, a lease
Serial = Annotated[int, Meta(ge=0, le=1 << 40)]


class Beat(Struct, array_like=True, frozen=True, tag=0):
    """That a gateway runs, and what it is asked for. `by` is whose beat it is, whoever passes it on."""

    by: Place
    boot: Word32
    beat: Serial
    location: Place
    demand: Word32  # GETs a second, in hundredths; 0: not known yet
    echo: Serial = 0  # the beat of whom it is sent to that was heard last: both ways work


class Doubt(Struct, array_like=True, frozen=True, tag=1):
    """`by` watches `of`, and has not heard it since that beat of that boot."""

    by: Place
    of: Place
    boot: Word32
    beat: Serial


class Seen(Struct, array_like=True, frozen=True, tag=2):
    """What `by` saw lately of a source or cache: good and bad ends of forwards in its own window."""

    by: Place
    boot: Word32
    beat: Serial  # grows with each one that `by` tells of this source
    source: Word32
    location: Place  # 65,535: it concerns all, else gateways of this location
    good: Count
    bad: Count
    age: Count = (
        0  # tenths of a second since the last of those ends, as it was sent; whoever holds it adds to it
    )


class Trial(Struct, array_like=True, frozen=True, tag=3):
    """A trial of a source: begun (0), good (1) or bad (2)."""

    by: Place
    boot: Word32
    beat: Serial
    source: Word32
    location: Place
    state: Annotated[int, Meta(ge=0, le=2)]


class Ask(Struct, array_like=True, frozen=True, tag=4):
    """For a part of a cap, in millionths of it; a lease that runs is asked for again under its number."""

    scope: Place  # 65,535: caps of all gateways, else those of this location
    lease: Word32
    number: Word32  # of the ask: an answer to an earlier one must not hold for a later one
    millionths: Annotated[int, Meta(ge=1, le=1_000_000)]


class Grant(Struct, array_like=True, frozen=True, tag=5):
    """What is lent, for so long from when that ask was made."""

    scope: Place
    lease: Word32
    number: Word32
    millionths: Annotated[int, Meta(ge=1, le=1_000_000)]
    lasts: Annotated[int, Meta(ge=1, le=600_000)]  # tenths of a millisecond


class Zone(Struct, array_like=True, frozen=True, tag=6):
    """What is believed of a zone (tiers/verdicts.py), whoever tells it."""

    zone: Word32  # by its hash
    epoch: Place
    step: Place
    state: Annotated[int, Meta(ge=0, le=2)]  # well, returning or lost
    progress: Annotated[int, Meta(ge=0, le=100)]
    flaps: Count


News = Beat | Doubt | Seen | Trial | Zone  # passed on from one to the next
Item = News | Ask | Grant  # the last two are between two gateways
EVERYWHERE = 65_535
AGES = 1_000  # tenths of a millisecond that one of an age is


class Datagram(Struct, array_like=True, frozen=True):
    form: int
    name: Annotated[str, Meta(max_length=32)]  # the sender's, as in its configuration
    place: Place
    boot: Word32
    number: Serial  # grows with each datagram of this boot
    items: Annotated[list[Item], Meta(max_length=64)]


class Unreadable(Exception):
    """Reason code: long, form or garbled."""


class TooLong(Exception):
    """It does not fit into one datagram."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)


def pack(datagram: Datagram) -> bytes:
    data = ENCODER.encode(datagram)
    if len(data) > MOST:
        raise TooLong
    return data


def size(item: Item) -> int:
    """Bytes that it takes in a datagram."""
    return len(ENCODER.encode(item))


def read(data: bytes) -> Datagram:
    if len(data) > MOST:
        raise Unreadable("long")
    try:
        datagram = DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise Unreadable("garbled") from fault
    if datagram.form != FORM:
        raise Unreadable("form")
    return datagram


class Seen64:
    """Which datagrams of one sender came: none counts twice, and one of an earlier boot never."""

    def __init__(self) -> None:
        self.boot, self.top, self.bits = -1, -1, 0

    def fresh(self, boot: int, number: int) -> bool:
        if boot < self.boot:
            return False
        if boot > self.boot:
            self.boot, self.top, self.bits = boot, number, 1
            return True
        if number > self.top:
            self.bits = ((self.bits << min(64, number - self.top)) | 1) & ((1 << 64) - 1)
            self.top = number
            return True
        back = self.top - number
        if back >= 64 or self.bits >> back & 1:
            return False
        self.bits |= 1 << back
        return True
