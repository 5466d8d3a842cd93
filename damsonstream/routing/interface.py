"""Types of the router's events and actions, and of the interfaces that it calls.

All times are integers in tenths of a millisecond, on a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol


@dataclass(slots=True, frozen=True)
class DeliveryService:
    """Configuration of one delivery service."""

    name: str
    objective: int  # latency objective
    objective_per_transfer: float  # the objective grows by this multiple of the transfer time
    viewer_timeout: int
    revenue: float  # for a GET returned in time
    late_share: float  # share of the revenue earned by a late answer
    idempotency: str  # idempotent, tokened or non-idempotent
    token_scope: str  # where the token of a tokened GET is recognized: all, zone or cell
    token_lifetime: int  # how long the token of a tokened GET is recognized
    streamed: bool
    max_age: int  # maximum age of a copy, 0: until purged
    stale_grace: int  # how much older than that a copy may be in a forward that allows no fill
    uncacheable: bool  # never cached, every GET goes to the origin


@dataclass(slots=True, frozen=True)
class Deployment:
    """Configuration of the system that a gateway belongs to."""

    services: tuple[DeliveryService, ...]
    location: str
    gateways: int  # in all locations
    location_gateways: int  # in this location
    models: tuple[str, ...]
    parent_model: str
    origin_model: str
    capacity_info: str  # how accurate the capacity units of the list are: none, nominal, rough or live
    must_subscribe: bool  # the list of caches must be subscribed to
    resubscribe_within: int  # time in which a lost subscription must be renewed
    client_kb_per_s: float  # transfer rate to clients, 0: unknown
    fill_codes: str  # which fill codes the caches report: all, hit or none
    collapses_fills: bool  # caches collapse concurrent fills of an object
    allows_direct: bool  # GETs may be forwarded to a parent or the origin without a cache
    timer_tick: int  # resolution of timers
    allows_recall: bool  # a forward can be recalled
    allows_hedges: bool  # hedges are allowed
    allows_retry_after: bool  # a shed GET may carry a retry delay
    max_forwards: int  # for one GET
    max_retry_after: int
    cold_share: float  # share of its capacity that a cache has right after its start
    cold_duration: int  # time from a cache's start to its full capacity
    cold_multiple: float  # load that makes a cold cache fail, as a multiple of its current capacity
    cold_overload_span: int  # time for which a cold cache sustains such a load
    parent_cold_share: float
    parent_cold_duration: int
    parent_cold_multiple: float
    purge_settle_time: int  # time after which a purge has reached every cache


@dataclass(slots=True, frozen=True)
class ListEntry:
    """One entry of the list of caches: a cache, a parent or the origin."""

    cache: str
    location: str
    state: str  # active, leaving or left
    capacity: float  # capacity in concurrent transfers
    cell: int  # group of caches within the location that share tokens
    model: str
    started_at: int  # clock time of its last start, 0: unknown, the node is warm


class PeerGroup(Protocol):
    """Decisions that the gateways make together (implemented by damsonstream/peers/agent.py).

    A node is identified by the low 32 bits of its hash. `local` is true for caches of this location, which
    concern only the gateways of the location; parents and the origin concern all gateways.
    """

    def get_received(self, now: int) -> None:
        """Called for each GET received."""

    def nodes_listed(self, local: tuple[int, ...], remote: tuple[int, ...]) -> None:
        """Called with the active nodes of the list: caches of this location, and parents with the origin."""

    def node_restarted(self, node: int) -> None:
        """Called when the node has restarted as a new process."""

    def record_outcome(self, now: int, node: int, local: bool, failed: bool) -> None:
        """Called with each outcome that is recorded in the node's breaker."""

    def may_try(self, now: int, node: int, local: bool, allowed_at: int) -> bool:
        """Returns whether this gateway may send a trial to a Half-Open node.

        `allowed_at` is the time from which its breaker allows the trial.
        """

    def trial_started(self, now: int, node: int, local: bool) -> None:
        """Called when a trial is sent."""
        ...

    def trial_ended(self, now: int, node: int, local: bool, succeeded: bool) -> None:
        """Called when a trial has ended."""
        ...

    def limit_share(self, now: int, local: bool) -> float:
        """Returns this gateway's share of a limit that is common to its location or to all gateways."""


class Hierarchy(Protocol):
    """The operator's cache hierarchy (implemented by damsonstream/tiers/selector.py)."""

    def contains(self, cache: str) -> bool:
        """Returns whether the hierarchy contains the cache; one that it does not contain is not used."""

    def eligible_sources(self, now: int, cache: str, hash_point: float, sources: list[str]) -> list[str]:
        """Returns the sources that may fill an object in this cache now, in order of preference.

        `sources` are the usable ones in hash order, `hash_point` is the object's hash as a fraction
        in (0, 1).
        Only sources of the cache's own zone are returned while that zone may be used.
        """

    def charge_fill(self, now: int, cache: str, source: str) -> str:
        """Called when a forward with a source is sent; returns the budget it was charged to."""

    def refund_fill(self, cache: str, source: str, budget: str) -> None:
        """Refunds a charge: the cache had a copy, so the source was not used."""

    def record_fill(self, now: int, source: str, failed: bool) -> None:
        """Called with each outcome of a fill that is recorded in the source's breaker."""

    def breaker_changed(self, source: str, state: str) -> None:
        """Called with each new state of the source's breaker."""


@dataclass(slots=True, frozen=True)
class Started:
    """The first event of a router."""

    seed: int
    deployment: Deployment
    peers: PeerGroup | None = None  # None: the gateway decides alone
    hierarchy: Hierarchy | None = None  # None: any parent in hash order, then the origin


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """An update of the list of caches."""

    # changes: only changed entries; full: the whole list; cached: the whole list, as last known;
    # lost: no entries, the subscription to the list has ended
    kind: str
    entries: tuple[ListEntry, ...]


@dataclass(slots=True, frozen=True)
class GetReceived:
    """A GET was received."""

    get: int
    time_left: int  # time until the viewer timeout
    service: int  # index in Deployment.services
    object_id: str
    group: int  # purge group of the object
    size_kb: float  # 0: unknown
    is_retry: bool  # the client marked it as its own retry


@dataclass(slots=True, frozen=True)
class Purged:
    """A purge of an object or of a whole group was received."""

    object_id: str  # empty: the whole group
    group: int
    age: int  # time since the purge was issued


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client has disconnected or no longer waits."""

    get: int


@dataclass(slots=True, frozen=True)
class AnswerStarted:
    """The answer of a forward is already being sent to the client."""

    get: int
    attempt: int


@dataclass(slots=True, frozen=True)
class ForwardEnded:
    """A forward has ended."""

    get: int
    attempt: int  # number of the forward within the GET, from 0
    cache: str
    result: str  # returned, errored, shed, expired, unreached, broken, recalled, unsent or lacking (a miss)
    duration: int
    first_byte: int  # time the cache waited for the source's first byte, 0: unknown
    # 0: unknown, 1: hit, 2: filled, 3: filled through the origin, 4: joined another fill, 5: stale copy,
    # 6: source refused, 7: source broke, 8: source has no copy, 9: no slot, 10: origin failed
    fill_code: int
    get_done: bool  # the GET has its final answer or its client has left
    # lost with its connection, which also carried another forward that is reported with False: one failure
    shared_failure: bool = False
    # the cache's load report, each value where the platform provides it: held (GETs in progress), busy (share
    # of its CPU), hits (hit ratio), link (load of the link into the location, 1: just full)
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PeerVerdict:
    """A verdict of the peer gateways on a node."""

    node: int
    # dead: enough gateways observe only failures; bad or good: one trial of another gateway failed or
    # succeeded; well: as many trials succeeded as close a breaker
    verdict: str


@dataclass(slots=True, frozen=True)
class Woken:
    """A requested wake-up is due."""


Event = (
    Started
    | ListUpdate
    | GetReceived
    | Purged
    | ClientLeft
    | AnswerStarted
    | ForwardEnded
    | PeerVerdict
    | Woken
)


@dataclass(slots=True, frozen=True)
class Forward:
    """Sends a GET to a cache, which may fill a missing object from the source."""

    get: int
    cache: str
    source: str  # the cache itself: no fill is allowed
    retention_rank: int  # the cache's retention priority for the object
    timeout: int  # 0: until the viewer timeout
    max_age: int  # maximum age of an acceptable copy, 0: the service's default
    collapse: bool  # collapse the fill with a concurrent one
    refresh: bool  # request the option "refresh" of the caches' protocol
    only_if_cached: bool  # the source serves only what it has cached


@dataclass(slots=True, frozen=True)
class Recall:
    """Cancels a forward."""

    get: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Shed:
    """Answers the client that it may repeat the GET later."""

    get: int
    retry_after: int  # 0: no retry delay is given


@dataclass(slots=True, frozen=True)
class Errored:
    """Answers the client with an error: the GET may have executed and must not be repeated."""

    get: int


@dataclass(slots=True, frozen=True)
class Wake:
    """Requests a Woken event after that time."""

    after: int


@dataclass(slots=True, frozen=True)
class SubscribeToList:
    """Subscribes to the list of caches."""


@dataclass(slots=True, frozen=True)
class Trace:
    """A new state of a breaker, for the log and the records."""

    text: str  # role, name and state, separated by spaces
    # why a breaker opened: failures in a row, fills in the window, weighted failures in the window
    evidence: tuple[int, float, float] = (0, 0.0, 0.0)


Action = Forward | Recall | Shed | Errored | Wake | SubscribeToList | Trace
