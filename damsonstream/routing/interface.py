"""Types that pass in and out of the router. Nothing is decided here.

Times are whole tenths of a millisecond, on a clock that only goes forward.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol


@dataclass(slots=True, frozen=True)
class DeliveryService:
    """One delivery service as told at start."""

    name: str
    objective: int  # latency objective
    stretch: float  # the objective grows by so many times the sending time
    viewer_timeout: int
    revenue: float
    late_share: float
    effect: str  # idempotent, tokened or non-idempotent
    scope: str  # of tokened ones: all, zone or cell
    remembered: int  # of tokened ones: how long a repeat is known
    streamed: bool
    fresh: int  # 0: until purged
    grace: int  # how much older than fresh may be asked for
    passes: bool  # never kept, runs at the origin


@dataclass(slots=True, frozen=True)
class Footprint:
    """What a gateway is told at start of the system it stands in."""

    services: tuple[DeliveryService, ...]
    location: str
    gateways: int
    location_gateways: int
    models: tuple[str, ...]
    parent_model: str
    origin_model: str
    weights: str  # none, nominal, rough or live
    ask_for_list: bool
    ask_within: int
    client_kb_per_s: float
    notes: str  # all, hit or none
    joins: bool
    direct: bool
    tick: int
    cancel: bool
    second_copies: bool
    retry_after: bool
    max_forwards: int
    max_retry_after: int
    cold_share: float
    cold_for: int
    cold_multiple: float
    cold_span: int
    parent_cold_share: float
    parent_cold_for: int
    parent_cold_multiple: float
    purge_settles: int


@dataclass(slots=True, frozen=True)
class Entry:
    """One line of the list of caches."""

    cache: str
    location: str
    state: str  # active, leaving or left
    units: float
    cell: int
    model: str
    since: int  # clock time of its last start, 0: long ago


class Fleet(Protocol):
    """What many gateways decide together, asked by the router (damsonstream/peers/council.py). A source or
    cache goes by the low 32 bits of its hash; `home`: it is of this location, and so are those asked."""

    def asked(self, now: int) -> None:
        """A GET was taken."""

    def listed(self, home: tuple[int, ...], far: tuple[int, ...]) -> None:
        """The sources of the list."""

    def anew(self, source: int) -> None:
        """It runs as a new process."""

    def saw(self, now: int, source: int, home: bool, bad: bool) -> None:
        """A forward there ended, as its breaker was told."""

    def turn(self, now: int, source: int, home: bool, since: int) -> bool:
        """Whether it is this gateway's turn to try a Half-Open one whose cool-down was over then."""

    def trying(self, now: int, source: int, home: bool) -> None: ...

    def tried(self, now: int, source: int, home: bool, good: bool) -> None: ...

    def part(self, now: int, home: bool) -> float:
        """Its part of what holds for all gateways, of its location or of the fleet."""


class Tiers(Protocol):
    """The operator's hierarchy, asked by the router (damsonstream/tiers/service.py)."""

    def has(self, cache: str) -> bool:
        """Whether it says who fills it; else the cache is not used."""

    def among(self, now: int, cache: str, place: float, sources: list[str]) -> list[str]:
        """Of the sources that could be used, in hash order, those that may fill this cache's object now,
        whose hash is `place` (0 to 1), in the order in which they should; of the own zone alone where that
        may be asked."""

    def sent(self, now: int, cache: str, source: str) -> str:
        """A forward names a source; the mark is what it was paid from, for `unspent`."""

    def unspent(self, cache: str, source: str, paid: str) -> None:
        """The copy was in the cache: the source was not asked."""

    def saw(self, now: int, source: str, bad: bool) -> None:
        """A fill there ended, as its breaker was told."""

    def turned(self, source: str, state: str) -> None:
        """Its breaker's new state."""


@dataclass(slots=True, frozen=True)
class Started:
    seed: int
    footprint: Footprint
    fleet: Fleet | None = None  # None: it decides alone
    tiers: Tiers | None = None  # None: any parent in hash order, then the origin
    asks: bool = False  # forwards may wait: Router.still is asked as one begins; else each begins at once


@dataclass(slots=True, frozen=True)
class ListTold:
    kind: str  # changes, full, cached or lost
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class GetTaken:
    get: int
    left: int
    service: int  # place in Footprint.services
    thing: str  # the object
    group: int
    size_kb: float  # 0: not told
    repeated: bool  # the client marked it as its own repeat


@dataclass(slots=True, frozen=True)
class Purged:
    thing: str  # empty: the whole group
    group: int
    age: int


@dataclass(slots=True, frozen=True)
class ClientLeft:
    get: int


@dataclass(slots=True, frozen=True)
class AnswerStarted:
    get: int
    attempt: int


@dataclass(slots=True, frozen=True)
class ForwardEnded:
    get: int
    attempt: int
    cache: str
    result: str  # returned, errored, shed, expired, unreached, broken, recalled, unsent or lacking
    took: int
    first_byte: int  # 0: not told
    note: int  # 0: not told
    over: bool
    # one symptom for several forwards: its connection broke, and another forward on that tells of it
    shared: bool = False
    # what the cache told of its load: held (GETs), busy (share of its cores), hits (share), and how full the
    # link into its location is (transfers over those that fit at full pace); each where the site tells it
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PeersTold:
    """What the fleet found of a source: dead (enough saw nothing else), or by trials of others: bad, good
    (one), well (as many as the design asks for)."""

    source: int
    what: str


@dataclass(slots=True, frozen=True)
class Stopping:
    """The process ends: each open GET has its final answer within this time."""

    within: int


@dataclass(slots=True, frozen=True)
class Woken:
    pass


Event = (
    Started | ListTold | GetTaken | Purged | ClientLeft | AnswerStarted | ForwardEnded | PeersTold | Stopping
    | Woken
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Forward:
    get: int
    cache: str
    source: str  # the cache itself: nothing is filled
    rank: int
    patience: int  # 0: until the viewer timeout
    age: int  # oldest copy that will do, 0: the fresh time
    join: bool
    renew: bool
    copies: bool  # the source gives only what it holds


@dataclass(slots=True, frozen=True)
class Recall:
    get: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Shed:
    get: int
    come_back: int  # 0: no advice


@dataclass(slots=True, frozen=True)
class Errored:
    get: int


@dataclass(slots=True, frozen=True)
class Wake:
    after: int


@dataclass(slots=True, frozen=True)
class AskForList:
    pass


@dataclass(slots=True, frozen=True)
class Trace:
    text: str
    # what a breaker was judged on as it opened: bad ones in a row, fills in the window, weighted failures
    judged: tuple[int, float, float] = (0, 0.0, 0.0)


Action = Forward | Recall | Shed | Errored | Wake | AskForList | Trace
