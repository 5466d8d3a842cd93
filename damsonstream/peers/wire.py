"""Datagrams between gateways: encoding, decoding and duplicate detection. No sockets, no clock.

Usage: `encode(Datagram(...))` returns at most `MAX_DATAGRAM_BYTES` or raises `DatagramTooLong`;
`decode(data)` returns a `Datagram` or raises `UnreadableDatagram`, whose text is the reason code under
which the datagram is counted. The format is MessagePack, written with msgspec: each record is an array
whose first field is the format version (datagram) or the tag (item), and fields go by position. The field
types limit each value to its valid range, so that invalid input (negative counts, indexes out of range) is
refused here.

`boot` is a gateway's incarnation number: the tenth of a second, on the system clock, in which its process
started. A higher boot of the same gateway is a later process.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

FORMAT_VERSION = 1  # a gateway drops datagrams of any other version
MAX_DATAGRAM_BYTES = 256  # limit of the protocol

PeerIndex = Annotated[int, Meta(ge=0, le=65_535)]  # index in the list of peers; also used for locations
# A count of finished forwards in a window; larger counts are sent as 255.
CappedCount = Annotated[int, Meta(ge=0, le=255)]
U32 = Annotated[int, Meta(ge=0, le=0xFFFFFFFF)]  # the hash of a source, a boot, a lease number
SequenceNumber = Annotated[int, Meta(ge=0, le=1 << 40)]


class Heartbeat(Struct, array_like=True, frozen=True, tag=0):
    """Says that the gateway `by` runs, and how many GETs it takes; relaying gateways leave `by` as it is."""

    by: PeerIndex
    boot: U32
    sequence: SequenceNumber
    location: PeerIndex
    demand: U32  # GETs a second, in hundredths; 0: not known yet
    # sequence of the receiver's last heartbeat that the sender received: shows that both directions work
    echo: SequenceNumber = 0


class Suspicion(Struct, array_like=True, frozen=True, tag=1):
    """The gateway `by` suspects its neighbor `of`, from which it received no heartbeat after this one."""

    by: PeerIndex
    of: PeerIndex
    boot: U32
    sequence: SequenceNumber


class OutcomeReport(Struct, array_like=True, frozen=True, tag=2):
    """The outcomes of forwards to a source or cache in the recent window of the gateway `by`."""

    by: PeerIndex
    boot: U32
    sequence: SequenceNumber  # increases with each report of this gateway on this source
    source: U32
    location: PeerIndex  # ALL_LOCATIONS, or the only location whose gateways it concerns
    successes: CappedCount
    failures: CappedCount
    # tenths of a second since the last of those outcomes; each gateway that relays it adds its holding time
    age: CappedCount = 0


class Trial(Struct, array_like=True, frozen=True, tag=3):
    """A trial of a source by the gateway `by`. `state`: begun (0), succeeded (1) or failed (2)."""

    by: PeerIndex
    boot: U32
    sequence: SequenceNumber
    source: U32
    location: PeerIndex
    state: Annotated[int, Meta(ge=0, le=2)]


class LeaseRequest(Struct, array_like=True, frozen=True, tag=4):
    """Asks for a share of a cap, in millionths of it. A running lease is renewed under its own number."""

    scope: PeerIndex  # ALL_LOCATIONS: caps of the whole fleet; else caps of this location
    lease: U32
    request: U32  # number of the request: a grant for an earlier request must not count for a later one
    millionths: Annotated[int, Meta(ge=1, le=1_000_000)]


class Grant(Struct, array_like=True, frozen=True, tag=5):
    """A share that is lent for `duration`, counted from when the request was made."""

    scope: PeerIndex
    lease: U32
    request: U32
    millionths: Annotated[int, Meta(ge=1, le=1_000_000)]
    duration: Annotated[int, Meta(ge=1, le=600_000)]  # tenths of a millisecond


class ZoneItem(Struct, array_like=True, frozen=True, tag=6):
    """The sender's verdict on a zone (tiers/verdicts.py). It names no gateway, since all hold the same."""

    zone: U32  # hash of the zone's name
    epoch: PeerIndex
    step: PeerIndex
    state: Annotated[int, Meta(ge=0, le=2)]  # well, returning or lost
    progress: Annotated[int, Meta(ge=0, le=100)]
    flaps: CappedCount


# Items that are relayed through the fleet.
GossipItem = Heartbeat | Suspicion | OutcomeReport | Trial | ZoneItem
Item = GossipItem | LeaseRequest | Grant  # the last two pass between two gateways only
ALL_LOCATIONS = 65_535
AGE_UNIT = 1_000  # clock ticks (0.1 ms) per unit of `OutcomeReport.age`


class Datagram(Struct, array_like=True, frozen=True):
    """One datagram: its sender, its sequence number and its items."""

    version: int
    name: Annotated[str, Meta(max_length=32)]  # the sender's name in its configuration
    sender: PeerIndex
    boot: U32
    sequence: SequenceNumber  # increases with each datagram of this boot
    items: Annotated[list[Item], Meta(max_length=64)]


class UnreadableDatagram(Exception):
    """The datagram can't be used. The text is a reason code: `long` (over the size limit), `form` (another
    format version) or `garbled` (not decodable)."""


class DatagramTooLong(Exception):
    """The items do not fit into one datagram."""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    data = ENCODER.encode(datagram)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramTooLong
    return data


def encoded_size(item: Item) -> int:
    """Returns the number of bytes that an item takes in a datagram."""
    return len(ENCODER.encode(item))


def decode(data: bytes) -> Datagram:
    if len(data) > MAX_DATAGRAM_BYTES:
        raise UnreadableDatagram("long")
    try:
        datagram = DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise UnreadableDatagram("garbled") from error
    if datagram.version != FORMAT_VERSION:
        raise UnreadableDatagram("form")
    return datagram


class ReplayWindow:
    """Tracks the sequence numbers received from one sender: `accept` returns False for duplicates, for
    numbers more than 63 behind the highest, and for datagrams of an earlier boot."""

    def __init__(self) -> None:
        self.boot, self.highest, self.seen_bits = -1, -1, 0

    def accept(self, boot: int, sequence: int) -> bool:
        if boot < self.boot:
            return False
        if boot > self.boot:
            self.boot, self.highest, self.seen_bits = boot, sequence, 1
            return True
        if sequence > self.highest:
            self.seen_bits = ((self.seen_bits << min(64, sequence - self.highest)) | 1) & ((1 << 64) - 1)
            self.highest = sequence
            return True
        offset = self.highest - sequence
        if offset >= 64 or self.seen_bits >> offset & 1:
            return False
        self.seen_bits |= 1 << offset
        return True
