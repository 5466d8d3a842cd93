"""Event records of a gateway: one type for each kind of record, with its encoding.

`encode(record)` returns bytes and `decode(bytes)` a record. A kind that this version does not know raises
`Unknown`; any other undecodable input raises `Unreadable`. On disk, a kind is a numeric tag and a field is a
position, so a later version may add kinds and may append fields. Class names in lower case are the kinds that
the tools show and filter by.

Times `at` are ticks of 0.1 ms on the clock of the gateway that wrote the record (routing/gateway.py: Unix
time at its start, monotonic from then on). Unless a comment says otherwise, other times are in ticks too.
"""

from __future__ import annotations

import msgspec


class Unknown(Exception):
    """A record whose kind is defined only by a newer version."""


class Unreadable(Exception):
    """Bytes that do not decode to a record."""


class Record(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Base of all records."""

    at: int  # time of the event


class Service(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The settings of a delivery service that a reader of records needs."""

    name: str
    objective: int  # latency objective
    stretch: float  # multiples of the sending time that are added to the objective
    viewer_timeout: int
    revenue: float  # for an answer within the objective
    late_share: float  # share of the revenue that a late answer earns
    effect: str  # idempotent, tokened or non-idempotent
    scope: str  # which caches remember a token: those of a cell, of a zone, or all
    remembered: int  # how long a token is remembered


class Began(Record, frozen=True, tag=1):
    """The start of a boot, with the settings that a reader needs."""

    boot: int
    name: str
    version: str
    unix: int  # system clock at that time, Unix time in ticks
    location: str
    services: list[Service]
    parent_model: str
    origin_model: str
    drain_grace: int = 0  # grace periods used by incident/rules.py, 0 if not configured
    purge_grace: int = 0
    kb_per_s: float = 0.0  # typical transfer rate of a client, to estimate sending times


class Stopped(Record, frozen=True, tag=2):
    """A clean shutdown; a boot without it was killed or is still running."""

    reason: str


class Taken(Record, frozen=True, tag=3):
    """A GET that the router accepted."""

    get: int  # number of the GET within the boot
    ident: str  # request id that the client sent
    service: int  # index in Began.services
    thing: str  # object
    group: int  # purge group of the object
    left: int  # time until the client gives up
    repeated: bool  # marked by the client as a retry


class Sent(Record, frozen=True, tag=4):
    """A forward that was sent."""

    get: int
    leg: int  # number of the forward within its GET
    cache: str
    source: str  # where the cache fills from; the cache itself if it must not fill
    age: int  # maximum age of an acceptable copy, 0: the default freshness lifetime
    copies: bool  # the source may answer only from its own copies


class Came(Record, frozen=True, tag=5):
    """The end of a forward."""

    get: int
    leg: int
    cache: str
    result: str
    note: int  # how the cache produced the answer, index in incident/describe.py: NOTE_TEXTS
    took: int
    first_byte: int  # time until the first byte from the source, 0: not reported
    shared: bool  # lost together with other forwards on the same connection
    stamp: int = 0  # Unix time in ms at which the origin served the copy, 0: not reported


class Answered(Record, frozen=True, tag=6):
    """The final answer to a GET."""

    get: int
    outcome: str  # returned, shed or errored
    come_back: int  # retry-after delay in ms
    size: int  # bytes
    leg: int  # the forward whose response was used, -1: none


class Turned(Record, frozen=True, tag=7):
    """A GET that was answered on arrival, without being accepted by the router."""

    ident: str
    outcome: str
    reason: str  # overloaded or unusable


class Left(Record, frozen=True, tag=8):
    """The client closed its connection before the final answer."""

    get: int


class Breaker(Record, frozen=True, tag=9):
    """A state change of a breaker, with the counts that caused it."""

    role: str  # role of the node, such as parent or origin
    node: str
    state: str
    run: int  # consecutive failures
    count: float  # fills in the window
    failures: float  # weighted failures among them


class Line(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One cache of the list of caches."""

    cache: str
    location: str
    state: str
    units: float  # capacity units
    model: str
    since: int  # start time of the cache, 0: not reported


class Listed(Record, frozen=True, tag=10):
    """A list of caches, or a change of it, from the bulletin (the discovery watch)."""

    number: int  # of the bulletin's event, 0: known at the start
    whole: bool  # a full list, not a change
    more: bool  # the event continues in the next record
    lines: list[Line]


class Purge(Record, frozen=True, tag=11):
    """A purge that the gateway received from the bulletin."""

    number: int  # of the bulletin's event, 0: repeated after a start
    thing: str  # object; empty if the whole group is purged
    group: int
    issued: int  # ticks on the bulletin's clock


class Reloaded(Record, frozen=True, tag=12):
    """A reload of the configuration."""

    outcome: str
    what: str  # details


class Pulse(Record, frozen=True, tag=13):
    """A heartbeat, once a second, with the system clock, which may step."""

    unix: int  # system clock, Unix time in ticks
    open: int  # GETs in progress
    cpu: int  # ms of CPU time since the process started
    rss: int  # maximum resident set size in KB


class Dropped(Record, frozen=True, tag=14):
    """A gap that the gateway itself reports: the disk was slow, full or failing."""

    since: int
    count: int  # records that were dropped
    reason: str


class Peers(Record, frozen=True, tag=15):
    """A gateway's view of its peers and its share of common limits, on change and every few seconds."""

    standing: str  # well, split, cut off or unheard
    silent: list[int]  # peers that it receives nothing from, as indexes in the list of peers
    near: int  # its share of the limits of its location, in millionths
    far: int  # its share of the limits of the fleet, in millionths
    lent: int  # millionths of both that are lent to peers
    borrowed: int  # millionths of both that are borrowed from peers
    sent: int  # datagrams sent since its start
    heard: int  # datagrams received since its start


class Told(Record, frozen=True, tag=16):
    """The effect that a report from peers had on this gateway's view of a node."""

    node: str
    what: str  # dead, bad, good or well


class Turn(Record, frozen=True, tag=17):
    """A half-open trial that this gateway made on behalf of all gateways."""

    node: str
    state: str  # begun, good or bad


class Zones(Record, frozen=True, tag=18):
    """A gateway's view of each zone and the fills it sent to other zones, on change and every second."""

    revision: int
    zones: list[tuple[str, str, int, int]]  # name, state, progress of the return in twentieths, flaps
    # source zone, target zone, fills since the start, fleet-wide limit in fills per second
    spilt: list[tuple[str, str, int, float]]
    held_back: int  # fills that no zone could take


AnyRecord = (
    Began | Stopped | Taken | Sent | Came | Answered | Turned | Left | Breaker | Listed | Purge | Reloaded
    | Pulse | Dropped | Peers | Told | Turn | Zones
)  # fmt: skip
KINDS = {kind.__name__.lower(): kind for kind in AnyRecord.__args__}
encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(AnyRecord)
MAX_KNOWN_TAG = max(int(kind.__struct_config__.tag) for kind in AnyRecord.__args__)


def decode(data: bytes | memoryview) -> AnyRecord:
    """Decodes a record; raises `Unknown` for a kind of a newer version and `Unreadable` for other bytes."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        try:
            parts = msgspec.msgpack.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            raise Unreadable(str(error)) from error
        if isinstance(parts, list) and parts and isinstance(parts[0], int) and parts[0] > MAX_KNOWN_TAG:
            raise Unknown(f"kind {parts[0]}") from error
        raise Unreadable(str(error)) from error
