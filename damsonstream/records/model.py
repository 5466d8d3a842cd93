"""What a gateway records: one type for each kind, as they are written and read.

How it is called: `encode(record)` gives bytes, `decode(bytes)` a record; bytes of a kind that this version
does not know raise `Unknown`, other bytes `Unreadable`. Kinds are numbers and fields are places, so that a
later version may add kinds, and fields at the end. Times `at` are tenths of a millisecond on the clock of the
gateway that wrote them (routing/gateway.py: Unix time at its start, monotonic from then on).
"""

from __future__ import annotations

import msgspec


class Unknown(Exception):
    """A kind of record that only a newer version knows."""


class Unreadable(Exception):
    """Bytes that are no record."""


class Record(msgspec.Struct, array_like=True, frozen=True, gc=False):
    at: int


class Service(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A delivery service, as far as a reader has to know it. Times in tenths of a millisecond."""

    name: str
    objective: int
    stretch: float
    viewer_timeout: int
    revenue: float
    late_share: float
    effect: str
    scope: str
    remembered: int


class Began(Record, frozen=True, tag=1):
    boot: int
    name: str
    version: str
    unix: int  # the system's clock at that time, tenths of a millisecond
    location: str
    services: list[Service]
    parent_model: str
    origin_model: str
    drain_grace: int = 0  # the rules' figures where the settings tell them, else 0
    purge_grace: int = 0
    kb_per_s: float = 0.0  # a client's usual pace, for sending times


class Stopped(Record, frozen=True, tag=2):
    """A clean end; a boot that lacks it was killed, or still runs."""

    reason: str


class Taken(Record, frozen=True, tag=3):
    get: int
    ident: str
    service: int
    thing: str
    group: int
    left: int  # until the client leaves
    repeated: bool


class Sent(Record, frozen=True, tag=4):
    """A forward that went out."""

    get: int
    attempt: int
    cache: str
    source: str  # the cache itself: nothing is filled
    age: int  # oldest copy that will do, 0: the fresh time
    copies: bool


class Came(Record, frozen=True, tag=5):
    """The end of a forward."""

    get: int
    attempt: int
    cache: str
    result: str
    note: int
    took: int
    first_byte: int
    shared: bool
    stamp: int = 0  # Unix millisecond at which the origin gave the copy out, 0: not told


class Answered(Record, frozen=True, tag=6):
    """The final answer."""

    get: int
    outcome: str  # returned, shed or errored
    come_back: int  # milliseconds
    size: int  # bytes
    attempt: int  # the forward that brought it, -1: none


class Turned(Record, frozen=True, tag=7):
    """A GET that was answered as it came, without being taken by the router."""

    ident: str
    outcome: str
    reason: str  # overloaded or unusable


class Left(Record, frozen=True, tag=8):
    get: int


class Breaker(Record, frozen=True, tag=9):
    """A change of a breaker, with what it was judged on."""

    role: str
    node: str
    state: str
    run: int  # bad ones in a row
    count: float  # fills in the window
    failures: float  # their weighted failures


class Line(msgspec.Struct, array_like=True, frozen=True, gc=False):
    cache: str
    location: str
    state: str
    units: float
    model: str
    since: int


class Listed(Record, frozen=True, tag=10):
    number: int  # of the bulletin's event, 0: known at the start
    whole: bool
    more: bool  # this event goes on in the next record
    lines: list[Line]


class Purge(Record, frozen=True, tag=11):
    number: int
    thing: str  # empty: the group
    group: int
    issued: int  # tenths of a millisecond, the bulletin's clock


class Reloaded(Record, frozen=True, tag=12):
    outcome: str
    what: str


class Pulse(Record, frozen=True, tag=13):
    """Each second: that the gateway lives, and the system's clock, which may step."""

    unix: int
    open: int
    cpu: int  # milliseconds used since its start
    rss: int  # KB


class Dropped(Record, frozen=True, tag=14):
    """A gap in the records, told by the gateway itself: the disk was slow, full or failing."""

    since: int
    count: int
    reason: str


class Peers(Record, frozen=True, tag=15):
    """What a gateway believes of its peers and holds of common caps: as it changes, and each few seconds."""

    standing: str  # well, split, cut off or unheard
    silent: list[int]  # places in the list of peers
    near: int  # its part of caps of its location, millionths
    far: int  # of the fleet's
    lent: int  # millionths of both that others have
    borrowed: int
    sent: int  # datagrams since its start
    heard: int


class Told(Record, frozen=True, tag=16):
    """What others' words did here."""

    node: str
    what: str  # dead, bad, good or well


class Turn(Record, frozen=True, tag=17):
    """A trial that this gateway made for all."""

    node: str
    state: str  # begun, good or bad


class Zones(Record, frozen=True, tag=18):
    """What a gateway believes of each zone, and what it let spill: as it changes, and each second."""

    revision: int
    zones: list[tuple[str, str, int, int]]  # name, state, twentieths of a return, flaps
    spilt: list[tuple[str, str, int, float]]  # from, into: fills since the start; fills a second for all
    held_back: int  # fills for which there was nowhere


AnyRecord = (
    Began | Stopped | Taken | Sent | Came | Answered | Turned | Left | Breaker | Listed | Purge | Reloaded
    | Pulse | Dropped | Peers | Told | Turn | Zones
)  # fmt: skip
KINDS = {kind.__name__.lower(): kind for kind in AnyRecord.__args__}
encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(AnyRecord)
LARGEST_KIND = max(int(kind.__struct_config__.tag) for kind in AnyRecord.__args__)


def decode(data: bytes | memoryview) -> AnyRecord:
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
        try:
            parts = msgspec.msgpack.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            raise Unreadable(str(fault)) from fault
        if isinstance(parts, list) and parts and isinstance(parts[0], int) and parts[0] > LARGEST_KIND:
            raise Unknown(f"kind {parts[0]}") from fault
        raise Unreadable(str(fault)) from fault
