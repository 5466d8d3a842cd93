"""The routing decisions of one gateway.

`Router().handle(now, event)` takes one event and returns the actions to carry out, in order; the first event
must be Started. The types of events and actions are in `damsonstream/routing/interface.py`. Routers share no
state. All times are integers in tenths of a millisecond. docs/design.md explains the design.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b
from heapq import heappop, heappush

from damsonstream.routing import interface as i

MASK_64, MS, S = (1 << 64) - 1, 10, 10_000
# kinds of timers; a value of 0 or more is the number of a forward to check for being overdue
DEADLINE, QUEUE_TIMEOUT, RESUBSCRIBE = -1, -2, -3


class Rng:
    """Linear congruential generator with Knuth's MMIX constants; returns the high bits only."""

    def __init__(self, seed: int) -> None:
        self.state = seed & MASK_64

    def random(self) -> float:
        """Returns a number in [0, 1)."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & MASK_64
        return (self.state >> 33) / 2**31


def stable_hash(text: str) -> int:
    """Returns a 64-bit hash of the text that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def hash_fraction(a: int, b: int) -> float:
    """Combines two stable hashes into a fraction in (0, 1) that is the same at every gateway."""
    x = (a ^ (b * 0x9E3779B97F4A7C15)) & MASK_64
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK_64
    return ((x >> 11) + 0.5) / 2**53


WINDOW, BUCKETS = 3 * S, 100  # in the design's 10 s, old successes outweigh new failures (docs/design.md)
# fills in the window before its ratio counts, and failures in a row that open a breaker
MIN_SAMPLES = 5  # the design's 20 is too many: a gateway sees only a few fills a second at each source
FAILURE_RATIO = 0.5  # share of failures in the window above which a breaker may open
COOLDOWN, MAX_COOLDOWN = 5 * S, 5 * S
COOLDOWN_JITTER = 0.25  # share of the cooldown added at random, so that gateways do not send trials in step
TRIAL_INTERVAL = S // 2
TRIALS_TO_CLOSE = 2  # of three trials
MIN_SHARE, SHARE_DOUBLING_TIME = 0.25, 20 * S  # least reduced share; time in which it doubles


class Breaker:
    """A three-state circuit breaker over a rolling window of weighted failures.

    A node that fails only in part gets a reduced share of the objects before the breaker opens. With
    `all_or_nothing` the share is never reduced, and the window's failure ratio alone may open the breaker.
    """

    def __init__(self, rng: Rng, all_or_nothing: bool = False) -> None:
        self.rng, self.all_or_nothing = rng, all_or_nothing
        self.reset()

    def reset(self) -> None:
        self.state, self.cooldown = "Closed", COOLDOWN
        self.until = 0  # while Open: end of the cooldown; while Half-Open: when the next trial is allowed
        self.trial_in_flight, self.good_trials, self.failures_in_row = False, 0, 0
        # share of its objects that the node is used for, as of that time
        self.traffic_share, self.traffic_share_at = 1.0, 0
        self.buckets: deque[list[float]] = deque()  # start, count, failures; old ones leave the window
        self.totals = [0.0, 0.0, 0.0]  # sums over the buckets
        # why the breaker opened last: failures in a row, fills in the window, weighted failures in the window
        self.open_evidence = (0, 0.0, 0.0)

    def allows(self, now: int) -> bool:
        """Returns whether a forward may go now; an expired cooldown makes the breaker Half-Open."""
        if self.state == "Open" and now >= self.until:
            self.state, self.good_trials, self.trial_in_flight = "Half-Open", 0, False
        return self.state == "Closed" or (
            self.state == "Half-Open" and not self.trial_in_flight and now >= self.until
        )

    def record(self, now: int, weight: float, trial: bool) -> str:
        """Records a finished fill; returns the new state, or an empty string if it did not change.

        `weight` is 0 for a success, 1 for a failure, and in between for a slow fill.
        """
        if self.state == "Half-Open" and trial:
            self.trial_in_flight, self.until = False, now + TRIAL_INTERVAL
            if weight >= 1:
                self.cooldown = min(2 * self.cooldown, MAX_COOLDOWN)
                return self.open(now)
            self.good_trials += 1
            if self.good_trials < TRIALS_TO_CLOSE:
                return ""
            self.reset()
            return "Closed"
        if self.state != "Closed":
            return ""
        self.failures_in_row = self.failures_in_row + 1 if weight >= 1 else 0
        start = now - now % (WINDOW // BUCKETS)
        if not self.buckets or self.buckets[-1][0] != start:
            self.buckets.append([start, 0.0, 0.0])
        for sums in (self.buckets[-1], self.totals):
            sums[1], sums[2] = sums[1] + 1, sums[2] + weight
        while self.buckets[0][0] <= now - WINDOW:
            self.totals = [a - b for a, b in zip(self.totals, self.buckets.popleft(), strict=True)]
        _, count, failures = self.totals
        # While some fills succeed, only a part of the objects moves on, to protect the next node in hash
        # order. The two factors cancel out when one fill in seven fails.
        if not self.all_or_nothing and failures < count:
            traffic_share = self.current_share(now) * (0.75 if weight > 0.5 else 1.05)
            self.traffic_share, self.traffic_share_at = min(1.0, max(MIN_SHARE, traffic_share)), now
        over_ratio = count >= MIN_SAMPLES and failures > FAILURE_RATIO * count
        should_open = self.failures_in_row >= MIN_SAMPLES or (
            over_ratio and (self.all_or_nothing or (weight >= 1 and self.traffic_share <= MIN_SHARE))
        )
        return self.open(now) if should_open else ""

    def current_share(self, now: int) -> float:
        """Returns the share of objects the node is used for; a reduced share doubles at a fixed rate."""
        return min(
            1.0, self.traffic_share * 2 ** min(9.0, (now - self.traffic_share_at) / SHARE_DOUBLING_TIME)
        )

    def apply_verdict(self, now: int, verdict: str) -> str:
        """Applies a verdict reached by other gateways; returns the new state, or "" if it did not change.

        `verdict` is one of those of `interface.PeerVerdict`: dead, bad, good or well.
        """
        if verdict in ("good", "well"):
            if self.state == "Closed":
                return ""
            if verdict == "well":
                self.reset()
            else:  # counts as one good trial and ends the cooldown, so that the next fill is the second trial
                self.state, self.good_trials, self.trial_in_flight, self.until = "Half-Open", 1, False, now
            return self.state
        return self.open(now) if (verdict == "dead") == (self.state == "Closed") else ""

    def open(self, now: int) -> str:
        """Opens the breaker for a cooldown and returns the new state."""
        self.open_evidence = (self.failures_in_row, self.totals[1], self.totals[2])
        self.state, self.until = "Open", now + int(self.cooldown * (1 + COOLDOWN_JITTER * self.rng.random()))
        self.buckets, self.totals = deque(), [0.0, 0.0, 0.0]
        return "Open"


class ServiceState:
    """A delivery service: its configuration, and the times observed for it."""

    def __init__(self, config: i.DeliveryService) -> None:
        self.config = config
        # starts high, so that cold caches get little load at first
        self.mean_transfer = float(config.objective)
        # 95th percentile of a forward's time beyond its transfer time
        self.usual_overhead = config.objective / 2
        # after a longer wait, no time is left to meet the objective
        self.max_queue_time = config.objective // 4


class Node:
    """A cache, parent or origin of the list of caches, and what this gateway has observed of it."""

    def __init__(self, entry: i.ListEntry, role: str, rng: Rng) -> None:
        self.entry, self.role, self.name = entry, role, entry.cache
        self.hash, self.breaker = stable_hash(entry.cache), Breaker(rng, role == "origin")
        # the id of the node in the protocol between gateways
        self.peer_id, self.is_local = self.hash & 0xFFFFFFFF, role == "cache"
        # forwards in flight count those to the node and those with it as the source
        self.active, self.removed, self.in_flight = False, False, 0
        # token bucket of transfer time while the node is cold; time of the last refill
        self.cold_credit, self.cold_credit_at = 0.0, -1
        # GETs of all gateways, as last reported by the cache
        self.reported_load, self.load_reported_at = 0.0, -S
        self.reset()
        # Failures since the last success (cache: any answer; source: a fill), the time of that success, and
        # the time of the last fill with a usual first-byte time.
        self.failures_in_row, self.ok_at, self.on_time_at = 0, -S, -S
        # [time, transfer time requested]; covers the last 3 s
        self.recent_costs: deque[list[float]] = deque()
        # 95th percentile of the first-byte times; end of the first fill, 0: no fill yet
        self.usual_first_byte, self.first_fill_at = 0.0, 0

    def reset(self) -> None:
        """Forgets the breaker's state and the concurrency limit, as for a new process."""
        self.breaker.reset()
        self.limit = 32.0 if self.role == "cache" else 64.0  # concurrent forwards; adapted by AIMD


@dataclass(slots=True, eq=False)
class Get:
    """A GET that has no final answer yet."""

    id: int
    service: ServiceState
    hash: int
    object_id: str
    group: int
    transfer_time: int  # expected transfer time, 0: unknown
    deadline: int
    revenue_rate: float  # revenue per unit of transfer time; the queue serves the highest first
    admission_draw: float  # random number in [0, 1); while only a part of the GETs is admitted, low ones are
    attempts: int = 0
    pending: dict[int, PendingForward] = field(default_factory=dict)
    avoided: set[Node] = field(default_factory=set)
    may_have_run: PendingForward | None = None  # the first forward that may have executed
    queued_at: int = -1  # when the GET was queued, -1: not queued
    waits_for: Node | None = None  # the node without capacity that the GET is queued for, None: any
    orders: dict[tuple[Node, ...], list[Node]] = field(default_factory=dict)  # cached rendezvous orders
    miss_level: int = 0  # 1: the cache has no copy and needs a fill; 2: nor has the parent, use the origin


@dataclass(slots=True, eq=False)
class PendingForward:
    """A forward that has not ended yet."""

    get: Get
    attempt: int
    cache: Node
    source: Node  # the cache itself: no fill is allowed
    sent_at: int
    cost: list[float]  # entry in the source's `recent_costs`
    only_if_cached: bool  # the source serves only what it has cached
    nodes: list[Node]  # all nodes whose capacity the forward uses
    trials: list[Node]  # those of them whose breaker is not Closed
    budget: str = ""  # the hierarchy's budget that the fill was charged to
    blamed: bool = False  # a node was blamed when the forward became overdue
    entries: list[i.ListEntry] = field(default_factory=list)  # of the nodes, when the forward was decided
    withdrawn: bool = False  # it was not sent, as it did not hold any more


# half-life of an estimated overload; the highest estimate (16) decays to 1.5 in ten seconds
OVERLOAD_HALF_LIFE = 2 * S
# An origin can be overloaded within seconds, while each of many gateways sees only a few of its fills, so two
# bad fills must be enough to throttle it. One bad fill in five keeps the estimate where it is.
# Above the last value, parents are asked only for what they have cached.
OVERLOAD_GROWTH, OVERLOAD_DECAY, ORIGIN_STRAIN = 1.5, 0.9, 1.2
# a cache of the same location refuses within this time; a later refusal came from its source
LOCAL_REFUSAL_TIME = 6 * MS


class Router:
    """Decides where each GET is forwarded, retried, queued, shed or failed."""

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        """Handles one event and returns the actions to carry out, in order."""
        self.now, self.actions = now, list[i.Action]()
        match event:
            case i.Started():
                self.start(event)
            case i.ListUpdate():
                self.update_list(event)
            case i.GetReceived():
                self.start_get(event)
            case i.ForwardEnded():
                self.forward_ended(event)
            case i.PeerVerdict():
                for node in self.nodes.values():
                    if node.peer_id == event.node and (event.verdict != "dead" or self.may_open(node)):
                        self.breaker_changed(node, node.breaker.apply_verdict(now, event.verdict))
            case i.Purged():
                key = event.object_id or event.group
                self.purges[key] = max(self.purges.get(key, 0), now - event.age)
            case i.ClientLeft():
                if get := self.gets.get(event.get):
                    self.finish(get)
            case i.AnswerStarted():
                if get := self.gets.pop(event.get, None):  # its answer is already being sent to the client
                    self.recall(get, event.attempt)
        self.run_timers()
        return self.actions

    def start(self, event: i.Started) -> None:
        """Initializes the router from its configuration."""
        self.config, self.rng, self.peers = event.deployment, Rng(event.seed), event.peers
        self.hierarchy = event.hierarchy
        self.services = [ServiceState(service) for service in self.config.services]
        self.nodes: dict[str, Node] = {}  # those of the list, and removed ones with pending forwards
        self.caches, self.parents = tuple[Node, ...](), tuple[Node, ...]()
        self.origin: Node | None = None
        self.gets: dict[int, Get] = {}  # until their final answers
        # by GET and attempt, until each forward ends
        self.pending: dict[tuple[int, int], PendingForward] = {}
        self.timers: list[tuple[int, int, int]] = []  # heap of (time, GET, attempt or kind of timer)
        self.wake_at, self.swept_at, self.lost_subscriptions, self.units_known = (
            -1,
            0,
            0,
            self.config.capacity_info in ("nominal", "rough"),
        )
        self.queue: list[tuple[bool, float, int, int]] = []  # (retry, -revenue rate, queued at, GET)
        self.purges: dict[str | int, int] = {}  # time of the purge by object or group, until it has settled
        # load of the link into the location, 1: just full; EWMA of the revenue rates
        self.link_estimate, self.mean_revenue_rate = 1.0, 0.0
        self.link_updated_at = 0
        # estimated overload of the origin (1: none), and its time
        self.overload, self.overload_updated_at = 1.0, 0
        # 20 for the location, shared by its gateways
        self.retry_budget_cap = max(2.0, 20 / self.config.location_gateways)
        self.retry_budget = self.retry_budget_cap / 2  # retries and hedges that may still be sent
        # caches below this load accept spilled GETs
        self.spill_target_load = 0.6 / max(2, self.config.location_gateways)
        # without collapsing, each spilled GET costs a fill
        self.spill_threshold = 0.65 if self.config.collapses_fills else 0.8
        self.actions += [i.SubscribeToList()] * self.config.must_subscribe

    def update_list(self, event: i.ListUpdate) -> None:
        """Applies an update of the list of caches, or requests the list again if it was lost."""
        if event.kind == "lost":
            self.lost_subscriptions += 1
            delay = min(S << min(self.lost_subscriptions, 6), max(S, self.config.resubscribe_within // 8))
            return heappush(self.timers, (self.now + int(delay * (0.5 + self.rng.random())), 0, RESUBSCRIBE))
        self.lost_subscriptions = 0
        for node in self.nodes.values() if event.kind != "changes" else ():
            node.active, node.removed = False, True  # a node that a full list does not contain has left
        for entry in event.entries:
            if entry.cache not in self.nodes:
                roles = {self.config.parent_model: "parent", self.config.origin_model: "origin"}
                role = roles.get(entry.model, "cache" if entry.location == self.config.location else "")
                self.nodes[entry.cache] = Node(entry, role, self.rng)
            node = self.nodes[entry.cache]
            if entry.started_at and entry.started_at != node.entry.started_at:
                node.reset()  # a new process: observations of the old one do not apply
                if self.peers:
                    self.peers.node_restarted(node.peer_id)
                if self.hierarchy:
                    self.hierarchy.breaker_changed(node.name, "Closed")
            node.entry, node.active, node.removed = entry, entry.state == "active", entry.state == "left"
            # a fixed limit of 64 is too low for a parent with capacity for 1000 transfers
            if node.role == "parent" and self.units_known:
                node.limit = max(64.0, 2.2 * entry.capacity / self.config.gateways)
        self.nodes = {n.name: n for n in self.nodes.values() if n.in_flight or not n.removed}
        active = [n for n in self.nodes.values() if n.active]
        self.caches, self.parents = (tuple(n for n in active if n.role == r) for r in ("cache", "parent"))
        self.origin = next((n for n in active if n.role == "origin"), None)
        if self.peers:
            remote = (*self.parents, *([self.origin] if self.origin else []))
            self.peers.nodes_listed(tuple(n.peer_id for n in self.caches), tuple(n.peer_id for n in remote))
        self.dispatch_queue()

    def start_get(self, event: i.GetReceived) -> None:
        """Starts routing a GET."""
        if self.peers:
            self.peers.get_received(self.now)
        service = self.services[event.service]
        transfer_time = (
            int(event.size_kb / self.config.client_kb_per_s * S) if self.config.client_kb_per_s else 0
        )
        service.mean_transfer += 0.02 * (transfer_time - service.mean_transfer) if transfer_time else 0.0
        revenue_rate = service.config.revenue / (transfer_time or service.mean_transfer)
        self.mean_revenue_rate += 0.02 * (revenue_rate - self.mean_revenue_rate)
        deadline, identity = (
            self.now + event.time_left - self.config.timer_tick,
            (stable_hash(event.object_id), event.object_id, event.group),
        )
        get = self.gets[event.get] = Get(
            event.get, service, *identity, transfer_time, deadline, revenue_rate, self.rng.random()
        )
        # one retry for five GETs, and bursts up to the cap
        self.retry_budget = min(self.retry_budget_cap, self.retry_budget + 0.2)
        heappush(self.timers, (get.deadline, get.id, DEADLINE))  # one tick before the viewer timeout
        self.dispatch(get)

    def dispatch(self, get: Get) -> None:
        """Sends a first forward or a retry of the GET, queues the GET, or gives it up."""
        cache = self.pick_cache(get) if self.may_forward(get) else None
        if cache is None:
            self.give_up(get)
        elif blocked := self.blocking_node(get, cache):
            self.enqueue(get, blocked)
        else:
            self.forward(get, cache)

    def enqueue(self, get: Get, waits_for: Node | None) -> None:
        """Queues the GET until a node has capacity, at most for its service's queue time."""
        get.waits_for = waits_for
        if get.queued_at < 0:
            get.queued_at = self.now
            heappush(
                self.timers, (min(self.now + get.service.max_queue_time, get.deadline), get.id, QUEUE_TIMEOUT)
            )
        self.queue.append((get.attempts > 0, -get.revenue_rate, get.queued_at, get.id))

    def dispatch_queue(self, sweep: bool = False) -> None:
        """Dispatches queued GETs again, in queue order.

        A sweep tries all of them; otherwise only those that may find capacity now.
        """
        queued, self.queue = sorted(self.queue), []
        healthy = [n for n in self.caches if n.breaker.state == "Closed" and n.breaker.traffic_share >= 1]
        may_spill = bool(queued) and any(self.load(n) < self.spill_target_load for n in healthy)
        for entry in queued:
            if (get := self.gets.get(entry[3])) and get.queued_at >= 0:
                node = get.waits_for
                if (
                    sweep
                    or node is None
                    or (may_spill and node.role == "cache")
                    or not self.saturated(node, get)
                ):
                    self.dispatch(get)
                else:
                    self.queue.append(entry)

    def forward(self, get: Get, cache: Node) -> None:
        """Sends a forward to the cache and starts its overdue timer."""
        now, config = self.now, get.service.config
        source = self.pick_source(get, cache)
        overloaded = source.in_flight >= source.limit or not self.link_admits(get)
        if (overloaded or cache.failures_in_row) and not get.miss_level and not config.uncacheable:
            # The source or the link is full, or the cache may be failing: look for a copy in the cache first,
            # and use a source only on a miss.
            source = cache
        only_if_cached = (
            source.role == "parent"
            and not config.uncacheable
            and get.miss_level < 2
            and self.origin_strained()
        )
        nodes = [cache] if source is cache else [cache, source]
        if get.miss_level == 2 and self.origin and source is not self.origin:
            nodes.append(self.origin)  # the parent is known to miss the object and will ask the origin
        trials = [node for node in nodes if node.breaker.state != "Closed"]
        for node in nodes:
            node.in_flight += 1
            node.breaker.trial_in_flight |= node in trials
            if self.peers and node in trials:
                self.peers.trial_started(now, node.peer_id, node.is_local)
            cost, node.cold_credit = (
                [float(now), get.service.mean_transfer],
                node.cold_credit - get.service.mean_transfer,
            )
            node.recent_costs.append(cost)
            while node.recent_costs[0][0] < now - 3 * S:
                node.recent_costs.popleft()
        budget = (
            self.hierarchy.charge_fill(now, cache.name, source.name)
            if self.hierarchy and source is not cache
            else ""
        )
        forward = PendingForward(
            get, get.attempts, cache, source, now, cost, only_if_cached, nodes, trials, budget
        )
        forward.entries = [node.entry for node in nodes]
        get.attempts, get.queued_at = get.attempts + 1, -1
        if config.idempotency != "idempotent" and get.may_have_run is None:
            get.may_have_run = forward
        get.pending[forward.attempt] = self.pending[get.id, forward.attempt] = forward
        self.actions.append(self.forward_action(forward))
        heappush(self.timers, (now + self.overdue_after(get), get.id, forward.attempt))

    def forward_action(self, forward: PendingForward) -> i.Forward:
        """Returns the action that sends the forward, with what it may ask for at this time."""
        get, cache, source = forward.get, forward.cache, forward.source
        max_age = self.max_copy_age(get, source is cache)
        normal_fill = source is not cache and not forward.trials
        may_refresh = get.service.config.max_age > 0 and not max_age
        refresh = may_refresh and normal_fill and self.warm_share(source) >= 1
        collapse = self.config.collapses_fills and forward.attempt == 0 and not forward.trials
        return i.Forward(
            get.id, cache.name, source.name, 1, 0, max_age, collapse, refresh, forward.only_if_cached
        )

    def confirm_forward(self, now: int, get_id: int, attempt: int) -> i.Forward | None:
        """Called right before the first byte of a forward is sent, which may be long after the decision: its
        connection may have been established late. Returns the forward as it may be sent now, or None if it
        must not be sent any more; it then ends as `unsent`."""
        self.now = now
        forward = self.pending.get((get_id, attempt))
        if forward is None:
            return None
        if not self.still_holds(forward):
            forward.withdrawn = True
            return None
        return self.forward_action(forward)

    def still_holds(self, forward: PendingForward) -> bool:
        """Returns whether a forward that was decided earlier may be sent now."""
        get = forward.get
        if get.id not in self.gets or self.now >= get.deadline:
            return False
        for node, entry in zip(forward.nodes, forward.entries, strict=True):
            if not node.active or node.entry.started_at != entry.started_at:  # it leaves or is a new process
                return False
        if get.may_have_run is forward:
            return True
        return self.within_token_lifetime(get) and self.in_token_scope(get, forward.cache)

    def origin_strained(self) -> bool:
        """Returns whether parents may be asked only for cached copies, to relieve the origin.

        That is so while the origin's breaker is not Closed, the origin is overloaded or its limit is below
        half of the initial one, or most parents fail at once, which may be the origin's fault. A parent that
        answers with a miss is known to be alive.
        """
        origin, most_failing = (
            self.origin,
            2 * sum(n.breaker.failures_in_row > 1 for n in self.parents) > len(self.parents),
        )
        if origin is None:
            return False
        slow = (
            origin.limit < 32 or self.origin_overload() > ORIGIN_STRAIN
            if self.config.fill_codes == "all"
            else most_failing
        )
        return slow or origin.breaker.state != "Closed"

    def link_admits(self, get: Get) -> bool:
        """Returns whether a fill for the GET is admitted to the link into the location.

        While the link is overloaded, a random part of the GETs is admitted.
        """
        return get.admission_draw * self.link_load() < 1.2  # the link may be 20% over its capacity

    def origin_overload(self) -> float:
        """Returns the estimated overload of the origin, 1: none.

        The estimate decays, since GETs shed because of it cause no fills that would lower it.
        """
        return 1.0 + (self.overload - 1.0) * math.pow(
            2.0, (self.overload_updated_at - self.now) / OVERLOAD_HALF_LIFE
        )

    def link_load(self) -> float:
        """Returns the load of the link into the location, 1: just full.

        An overload decays, since GETs shed because of it cause no fills that would lower it.
        """
        excess = max(0.0, self.link_estimate - 1.0)
        return min(self.link_estimate, 1.0) + excess * math.pow(
            2.0, (self.link_updated_at - self.now) / OVERLOAD_HALF_LIFE
        )

    def overdue_after(self, get: Get) -> int:
        """Returns how long a forward may take before it is overdue; twice as long if its size is unknown."""
        return int((1.0 if get.transfer_time else 2.0) * (get.transfer_time + get.service.usual_overhead))

    def rendezvous_order(self, nodes: tuple[Node, ...], get: Get) -> list[Node]:
        """Returns the nodes in rendezvous-hash order, with caches weighted by their capacity if known."""
        if nodes not in get.orders:
            weighted = self.units_known and nodes is self.caches
            scores = {
                n: -math.log(hash_fraction(get.hash, n.hash)) / (n.entry.capacity if weighted else 1)
                for n in nodes
            }
            get.orders[nodes] = sorted(nodes, key=scores.__getitem__)
        return get.orders[nodes]

    def pick_cache(self, get: Get) -> Node | None:
        """Returns the first usable cache in hash order, or None.

        A loaded cache (for example one with a hot object) spills to the next one that has ample capacity.
        """
        candidates = [
            n
            for n in self.rendezvous_order(self.caches, get)
            if self.usable(n, get) and self.in_token_scope(get, n)
        ]
        if self.hierarchy:  # a cache that the hierarchy does not contain has no known sources
            candidates = [n for n in candidates if self.hierarchy.contains(n.name)]
        elif not candidates and self.config.allows_direct:
            candidates = [n for n in self.usable_sources(get) if self.in_token_scope(get, n)]
        spills = candidates and self.load(candidates[0]) >= self.spill_threshold
        return next(
            (n for n in candidates if not spills or self.load(n) < self.spill_target_load),
            candidates[0] if candidates else None,
        )

    def usable_sources(self, get: Get) -> list[Node]:
        """Returns the usable parents in hash order over all listed ones, then the origin if usable."""
        return [
            n for n in (*self.rendezvous_order(self.parents, get), self.origin) if n and self.usable(n, get)
        ]

    def pick_source(self, get: Get, cache: Node) -> Node:
        """Returns the node to fill the cache from; the cache itself if there is none."""
        sources = self.usable_sources(get) if cache.role == "cache" else [self.origin or cache]
        if self.hierarchy:
            hash_point, names = hash_fraction(get.hash, 0), [n.name for n in sources]
            sources = [
                self.nodes[name]
                for name in self.hierarchy.eligible_sources(self.now, cache.name, hash_point, names)
            ]
        return next(iter(sources), cache)

    def usable(self, node: Node, get: Get) -> bool:
        """Returns whether the GET may use the node, by its breaker, reduced share and cold budget."""
        if node in get.avoided or (node.breaker.state != "Closed" and not self.breaker_allows(node)):
            return False
        if node.breaker.traffic_share >= 1 and not node.entry.started_at:
            return True  # shortcut with the same result as the rest of the function
        # chosen by hash, so that every gateway uses the node for the same objects
        share = min(self.warm_share(node), node.breaker.current_share(self.now))
        return (
            share >= 1 or hash_fraction(get.hash ^ 0x5DEECE66D, node.hash) < share
        ) and self.has_cold_budget(node, get)

    def breaker_allows(self, node: Node) -> bool:
        """Returns whether the node's breaker allows a forward and, for a trial, whether it is our turn."""
        old_state, allowed = node.breaker.state, node.breaker.allows(self.now)
        if self.peers and allowed and node.breaker.state == "Half-Open":
            allowed = self.peers.may_try(self.now, node.peer_id, node.is_local, node.breaker.until)
        if node.breaker.state != old_state:
            self.actions.append(i.Trace(f"{node.role} {node.name} Half-Open"))
        return allowed

    def load(self, node: Node) -> float:
        """Returns the load of a cache relative to its capacity, 1: full.

        A recent load report counts the GETs of all gateways of the location; without one, each gateway uses
        its equal part of the capacity. A capacity unit takes 2.2 GETs, since the objective grows with the
        transfer time and so allows about half the transfer rate.
        """
        limit, gateways = node.limit, self.config.location_gateways
        if self.units_known and node.role == "cache":
            limit = 2.2 * node.entry.capacity * self.warm_share(node)
        # an old report could keep a cache unused forever
        if self.now - node.load_reported_at >= S or gateways == 1:
            return node.in_flight / max(3.0, limit / gateways)
        freshness = min(1.0, 1.5 - (self.now - node.load_reported_at) / S)
        return max(node.in_flight, node.reported_load * freshness) / max(6.0, limit)

    def saturated(self, node: Node, get: Get) -> bool:
        """Returns whether the node has no capacity for the GET now."""
        if node.role == "cache":  # above the spill threshold, only GETs with an above-average revenue rate
            return self.load(node) >= (
                1.0 if get.revenue_rate > self.mean_revenue_rate else self.spill_threshold
            )
        return node.in_flight >= node.limit or not self.breaker_allows(node)

    def blocking_node(self, get: Get, cache: Node) -> Node | None:
        """Returns the node that lacks capacity for the GET, or None.

        That is its cache or, once a fill is known to be needed, the source of the fill.
        """
        source = self.pick_source(get, cache) if get.miss_level else cache
        nodes = (cache, source, self.origin if get.miss_level == 2 else None)
        return next((n for n in nodes if n and self.saturated(n, get)), None)

    def may_forward(self, get: Get) -> bool:
        """Returns whether another forward may be sent.

        A GET that may have executed is forwarded again only if its idempotency kind allows it.
        """
        exhausted = self.now >= get.deadline or get.attempts >= self.config.max_forwards
        if exhausted or (get.pending and not self.config.allows_hedges):
            return False
        return self.within_token_lifetime(get)

    def within_token_lifetime(self, get: Get) -> bool:
        """Returns whether the time allows a GET to be sent that may have executed."""
        config = get.service.config
        if get.may_have_run is None or config.idempotency == "idempotent":
            return True
        return (
            config.idempotency == "tokened"
            and self.now + self.config.timer_tick < get.may_have_run.sent_at + config.token_lifetime
        )

    def in_token_scope(self, get: Get, node: Node) -> bool:
        """Returns whether the node shares the token scope of the forward that may have executed."""
        scope, entry = get.service.config.token_scope, node.entry
        # as listed when it was sent: the same name may be a new process elsewhere by now
        first = get.may_have_run.entries[0] if get.may_have_run and scope != "all" else entry
        return entry.location == first.location and (scope != "cell" or entry.cell == first.cell)

    def may_shed(self, get: Get) -> bool:
        """Returns whether the client may safely repeat the GET, so that it is shed rather than errored."""
        effect, scope = get.service.config.idempotency, get.service.config.token_scope
        return get.may_have_run is None or effect == "idempotent" or (effect, scope) == ("tokened", "all")

    def warm_share(self, node: Node) -> float:
        """Returns the share of its capacity that a cache or parent surely has since its start; 1: warm."""
        config, age = self.config, max(0, self.now - node.entry.started_at)
        for_cache, for_parent = (
            (config.cold_share, config.cold_duration),
            (config.parent_cold_share, config.parent_cold_duration),
        )
        share, duration = for_parent if node.role == "parent" else for_cache
        warm = node.role == "origin" or not node.entry.started_at or age >= duration
        return 1.0 if warm else share + (1 - share) * age / duration

    def has_cold_budget(self, node: Node, get: Get) -> bool:
        """Returns whether the GET fits in this gateway's budget for a cold node.

        The budget is a token bucket of transfer time, refilled with this gateway's part of what a cold node
        can take. A refill of less than one GET accumulates.
        """
        warm_share, config = self.warm_share(node), self.config
        if warm_share >= 1:
            return True
        is_parent = node.role == "parent"
        multiple = config.parent_cold_multiple if is_parent else config.cold_multiple
        own_share = 1 / (config.gateways if is_parent else config.location_gateways)
        capacity = node.entry.capacity * (
            self.peers.limit_share(self.now, not is_parent) if self.peers else own_share
        )
        # unknown capacity: use the load this gateway puts on warm nodes of the same role
        if not self.units_known:
            warm_nodes = [n for n in (self.parents if is_parent else self.caches) if self.warm_share(n) >= 1]
            requested = sum(
                cost for n in warm_nodes for when, cost in n.recent_costs if when > self.now - 3 * S
            )
            capacity = requested / (3 * S * len(warm_nodes)) if warm_nodes else 0.0
        rate = 0.5 * multiple * warm_share * capacity  # 0.5: reserve for random variation
        max_credit = max(
            rate * config.cold_overload_span, *(service.mean_transfer for service in self.services)
        )
        # first use since its start; random, to desynchronize gateways
        if node.cold_credit_at < node.entry.started_at:
            node.cold_credit, node.cold_credit_at = self.rng.random() * max_credit, self.now
        node.cold_credit, node.cold_credit_at = (
            min(max_credit, node.cold_credit + rate * (self.now - node.cold_credit_at)),
            self.now,
        )
        return node.cold_credit >= get.service.mean_transfer

    def max_copy_age(self, get: Get, no_fill: bool) -> int:
        """Returns the maximum age of an acceptable copy; 0: the service's default.

        Until a purge has settled at all caches, copies older than the purge are refused.
        """
        config = get.service.config
        max_age = (
            config.max_age + config.stale_grace if no_fill and config.max_age and config.stale_grace else 0
        )
        purged_at = max(self.purges.get(get.object_id, -1), self.purges.get(get.group, -1))
        if purged_at >= 0 and self.now - purged_at < self.config.purge_settle_time:
            return min(max(1, self.now - purged_at), max_age or config.max_age or MASK_64)
        return max_age

    def blamed_node(self, forward: PendingForward, event: i.ForwardEnded | None) -> Node | None:
        """Returns the node to blame for a failed or overdue forward; None if it proves nothing.

        `event` is None for an overdue forward. A fill code decides if there is one. A refusal that took
        longer than the cache's own would is the source's, and so is repeated silence while the cache answers
        other forwards. Otherwise the cache is suspected, and its next forwards ask for no fill at first. A
        broken connection is one failure of the cache, whatever number of forwards and sources it carried.
        """
        cache, source = forward.cache, forward.source
        # fill codes (see interface.ForwardEnded): 8: the source has no copy, 9: no slot
        if event and (event.fill_code in (8, 9) or event.result in ("lacking", "unsent", "recalled")):
            return None
        # 10: the origin failed
        if event and (event.fill_code == 10 or event.result == "unreached"):
            return self.origin if event.fill_code == 10 else cache
        # 6 and 7: the source refused or broke the connection
        if event and source is not cache and event.fill_code in (6, 7):
            return self.blamed_for_timeout(forward) if event.duration > S // 2 else source
        if event and source is not cache and event.result == "shed" and event.duration > LOCAL_REFUSAL_TIME:
            return forward.nodes[-1]  # the origin, if the parent was known to miss the object
        if (
            source is not cache
            and cache.ok_at > forward.sent_at
            and (event is None or event.result != "broken")
        ):
            source.failures_in_row += 1
            return self.blamed_for_timeout(forward) if source.failures_in_row >= MIN_SAMPLES else None
        cache.failures_in_row += 1
        return cache if cache.failures_in_row > 2 else None

    def blamed_for_timeout(self, forward: PendingForward) -> Node | None:
        """Returns the node to blame for a fill that timed out, or None.

        If the parent filled others meanwhile, the fill was waiting for the origin; if the origin also filled
        some in its usual time, it was waiting for a loaded cache, and no source is to blame. Silence never
        opens the breaker of the last Closed source.
        """
        source, sources = forward.source, (*self.parents, self.origin)
        parent_filled = (
            source.role == "parent" and source.ok_at >= forward.sent_at and not forward.only_if_cached
        )
        if (parent_filled and self.config.fill_codes == "all") or len(forward.nodes) > 2:
            return self.origin if self.origin and self.origin.on_time_at < forward.sent_at else None
        return source if any(n and n is not source and n.breaker.state == "Closed" for n in sources) else None

    def record_outcome(self, node: Node, weight: float, trial: bool) -> None:
        """Records an outcome in the node's breaker, and reports it to the peers and the hierarchy."""
        half_open = trial and node.breaker.state == "Half-Open"
        if self.peers and half_open:
            self.peers.trial_ended(self.now, node.peer_id, node.is_local, weight < 1)
            if self.hierarchy:
                self.hierarchy.record_fill(self.now, node.name, weight >= 1)
        else:
            self.report_outcome(node, weight >= 1)
        self.breaker_changed(node, node.breaker.record(self.now, weight, trial))

    def report_outcome(self, node: Node, failed: bool) -> None:
        """Reports an outcome at the node to the peers and the hierarchy."""
        if self.peers:
            self.peers.record_outcome(self.now, node.peer_id, node.is_local, failed)
        if self.hierarchy:
            self.hierarchy.record_fill(self.now, node.name, failed)

    def breaker_changed(self, node: Node, new_state: str) -> None:
        """Traces a new breaker state and reports it to the hierarchy; does nothing for an empty string."""
        if new_state:
            self.actions.append(i.Trace(f"{node.role} {node.name} {new_state}", node.breaker.open_evidence))
            if self.hierarchy:
                self.hierarchy.breaker_changed(node.name, new_state)

    def may_open(self, node: Node) -> bool:
        """Returns whether a peer verdict may open the node: never the last source that is Closed."""
        others = (*self.parents, self.origin) if not node.is_local else ()
        return node.is_local or any(n and n is not node and n.breaker.state == "Closed" for n in others)

    def forward_ended(self, event: i.ForwardEnded) -> None:
        """Learns from the end of a forward, and retries, queues or gives up a GET that has no answer yet."""
        forward = self.pending.pop((event.get, event.attempt), None)
        if forward is None:
            return
        get, cache, source = forward.get, forward.cache, forward.source
        get.pending.pop(forward.attempt, None)
        for node in forward.nodes:
            node.in_flight -= 1
        if "held" in event.load:
            cache.reported_load, cache.load_reported_at = event.load["held"], self.now
        # at full CPU the load is unknown, so assume more each time
        elif "busy" in event.load and self.units_known:
            capacity, busy = cache.entry.capacity * self.warm_share(cache), event.load["busy"]
            cache.reported_load = (
                busy * capacity if busy < 0.9 else min(4 * capacity, 1.5 * max(capacity, cache.reported_load))
            )
            cache.load_reported_at = self.now
        if "link" in event.load:
            self.link_estimate, self.link_updated_at = event.load["link"], self.now
        # fill codes 2 and 3: filled, by the source itself or through the origin
        returned, alive = event.result == "returned", event.result in ("returned", "lacking")
        filled = event.fill_code in (2, 3) or (returned and self.config.fill_codes == "none")
        blamed = (
            None if returned or forward.blamed or event.shared_failure else self.blamed_node(forward, event)
        )
        if alive:
            cache.failures_in_row, cache.ok_at = 0, self.now
        if alive or blamed is cache:
            self.record_outcome(cache, float(blamed is cache), cache in forward.trials)
        if source is not cache:
            self.source_ended(forward, event, blamed, returned and filled)
        for node in forward.trials:
            # also if the trial proved nothing, for example a hit in the cache
            node.breaker.trial_in_flight = False
        if returned:
            self.update_estimates(get, cache, event)
        elif event.result == "shed" and event.duration <= LOCAL_REFUSAL_TIME and event.fill_code != 9:
            cache.limit = max(8.0, min(cache.limit, max(cache.in_flight, cache.reported_load) + 1.0) * 0.95)
        if event.get_done:
            self.finish(get)
        elif get.id in self.gets:
            if event.result in ("shed", "lacking", "unreached", "unsent") and get.may_have_run is forward:
                # proved not to have executed; an earlier forward that may have is kept
                get.may_have_run = None
            if event.result == "lacking" and (
                forward.only_if_cached or (source is cache and not get.miss_level)
            ):
                get.miss_level = 2 if forward.only_if_cached else 1
                origin_admits = (
                    self.origin
                    and self.breaker_allows(self.origin)
                    and get.admission_draw * self.origin_overload() < 1
                )
                no_fill = not self.link_admits(get) or (forward.only_if_cached and not origin_admits)
                if no_fill or self.pick_source(get, cache) is cache:
                    self.give_up(get)
                else:
                    self.dispatch(get)
            else:
                same_cache = event.result == "broken" and get.attempts == 1  # retry once at the same cache
                suspect = source if event.result == "shed" and event.duration > LOCAL_REFUSAL_TIME else cache
                if event.result != "recalled" and not same_cache and not forward.withdrawn:
                    get.avoided.add(blamed or suspect)
                # the broken forward's work was dropped, or none was sent, so that the retry adds no load
                self.retry_budget += same_cache or forward.withdrawn
                # every path leads to the same origin: while it is overloaded, retry only an admitted part
                admitted = event.fill_code != 10 or get.admission_draw * self.origin_overload() < 1
                if not get.pending and self.retry_budget >= 1 and admitted:
                    self.retry_budget -= 1  # the retry budget prevents retry storms
                    self.enqueue(get, None)  # queued behind first forwards
                elif not get.pending:
                    self.give_up(get)
        self.dispatch_queue()

    def source_ended(
        self, forward: PendingForward, event: i.ForwardEnded, blamed: Node | None, filled: bool
    ) -> None:
        """Learns about the source of a forward that has ended, and about the link and the origin."""
        source, service, via_origin = (
            forward.source,
            forward.get.service,
            event.fill_code in (3, 10) or len(forward.nodes) > 2,
        )
        if event.result == "returned" and not filled:
            forward.cost[1] = 0.0  # a hit put no load on the source and says nothing about it
            if self.hierarchy:
                self.hierarchy.refund_fill(forward.cache.name, source.name, forward.budget)
        late = event.duration > service.config.objective + service.config.objective_per_transfer * (
            forward.get.transfer_time or service.mean_transfer
        )
        supplier = self.origin if via_origin and self.origin else source
        # without first-byte times, a late fill (even a recalled one) reduces a parent's share of objects, but
        # never opens its breaker
        slow_weight = 0.75 if late and self.config.fill_codes != "all" and supplier.role == "parent" else 0.0
        if filled:
            if "link" not in event.load:
                # the estimate is steady at one late fill in ten; without sizes, large objects look late
                decay = 0.99 if forward.get.transfer_time else 0.97
                link_load = self.link_load()
                self.link_estimate = min(16.0, link_load * 1.1) if late else max(1.0, link_load * decay)
                self.link_updated_at = self.now
            # a first byte above the source's 95th percentile counts as half a failure, once the percentile
            # has been estimated over at least one window
            source.first_fill_at = source.first_fill_at or self.now
            usual_first_byte = source.usual_first_byte or 2.0 * event.first_byte
            slow_weight = (
                0.5
                if event.first_byte > usual_first_byte and self.now - source.first_fill_at > WINDOW
                else slow_weight
            )
            source.usual_first_byte = usual_first_byte * (
                1.019 if event.first_byte > usual_first_byte else 0.999
            )
            source.ok_at, source.failures_in_row, supplier.on_time_at = (
                self.now,
                0,
                supplier.on_time_at if slow_weight else self.now,
            )
            self.record_outcome(supplier, slow_weight, supplier in forward.trials)
            if supplier is not source:  # the parent relayed the origin's object: report that it is alive
                self.report_outcome(source, False)
        elif blamed is not None and blamed is not forward.cache:
            self.record_outcome(blamed, 1.0, blamed in forward.trials)
        elif event.result == "recalled" and slow_weight and forward.cache.ok_at > forward.sent_at:
            self.record_outcome(source, slow_weight, False)
        if supplier is self.origin and (filled or blamed is supplier):
            # bad: refused, or the first byte alone took longer than the whole objective
            bad = not filled or event.first_byte > service.config.objective
            overload = self.origin_overload() * (OVERLOAD_GROWTH if bad else OVERLOAD_DECAY)
            self.overload, self.overload_updated_at = min(16.0, max(1.0, overload)), self.now
        if (origin := self.origin) and (origin is blamed or origin is supplier):
            # the limit reacts to an origin that works but is late in more than one fill of ten; a dead one is
            # left to the breaker
            if filled and not late and (origin.in_flight + 1 >= 0.8 * origin.limit or event.fill_code == 3):
                origin.limit = min(
                    64.0, origin.limit + max(2 / origin.limit, origin.limit / 50 / self.config.gateways)
                )
            elif (late and filled) or event.result in ("shed", "expired"):
                origin.limit = max(4.0, origin.limit * 0.95)

    def update_estimates(self, get: Get, cache: Node, event: i.ForwardEnded) -> None:
        """Updates the service's time estimates and the cache's concurrency limit from a returned forward."""
        service, overhead = get.service, event.duration - get.transfer_time
        # the two step sizes converge to the 95th percentile
        service.usual_overhead = max(
            10 * MS, service.usual_overhead * (1.019 if overhead > service.usual_overhead else 0.999)
        )
        # with unknown sizes, the mean transfer time is estimated from forwards other than fills (code 2)
        if not get.transfer_time and event.fill_code != 2:
            service.mean_transfer += 0.02 * (event.duration - service.mean_transfer)
        # only hits, or results without a fill code, adjust the limit of the cache
        if get.transfer_time and event.fill_code in (0, 1):
            if (
                event.duration
                > service.config.objective + service.config.objective_per_transfer * get.transfer_time
            ):
                cache.limit = max(3.0, cache.limit * 0.9)
            elif self.load(cache) >= 0.7:
                cache.limit += 16 / cache.limit

    def check_overdue(self, get: Get, forward: PendingForward) -> None:
        """Blames a node for an overdue forward, and sends a hedge if one is allowed and may help."""
        blamed = None if forward.blamed else self.blamed_node(forward, None)
        if blamed is not None:  # otherwise it is checked, and its silence counted, again
            forward.blamed = True
            get.avoided.add(blamed)
            self.record_outcome(blamed, 1.0, blamed in forward.trials)
        if blamed is None and all(n.breaker.state == "Closed" for n in (forward.cache, forward.source)):
            return heappush(self.timers, (self.now + self.overdue_after(get), get.id, forward.attempt))
        may_hedge = (
            len(get.pending) == 1
            and self.retry_budget >= 1
            and get.service.config.idempotency == "idempotent"
        )
        cache = self.pick_cache(get) if may_hedge and self.may_forward(get) else None
        if (
            cache is not None
            and self.config.allows_recall
            and "Open" in (n.breaker.state for n in forward.nodes)
        ):
            # hung fills must not use up a healthy cache's capacity
            self.actions.append(i.Recall(get.id, forward.attempt))
        elif cache is not None and not self.blocking_node(get, cache):
            self.retry_budget -= 1
            self.forward(get, cache)

    def give_up(self, get: Get) -> None:
        """Sheds or errors the GET, unless a pending forward may still return."""
        if get.pending and self.now < get.deadline:
            return
        # short enough that a repeat can still meet the objective
        retry_after = (
            min(get.service.config.objective // 5, self.config.max_retry_after)
            if self.config.allows_retry_after
            else 0
        )
        self.actions.append(i.Shed(get.id, retry_after) if self.may_shed(get) else i.Errored(get.id))
        self.finish(get)

    def finish(self, get: Get) -> None:
        """Forgets the GET and recalls its pending forwards."""
        self.gets.pop(get.id, None)
        self.recall(get, -1)

    def recall(self, get: Get, excepted: int) -> None:
        """Recalls (cancels) all pending forwards of the GET except one."""
        self.actions += [
            i.Recall(get.id, attempt)
            for attempt in get.pending
            if self.config.allows_recall and attempt != excepted
        ]

    def run_timers(self) -> None:
        """Runs expired timers, sweeps the queue every 100 ms, and requests the next wake-up."""
        while self.timers and self.timers[0][0] <= self.now:
            _, get_id, kind = heappop(self.timers)
            get = self.gets.get(get_id)
            if kind == RESUBSCRIBE:
                self.actions.append(i.SubscribeToList())
            elif get and (
                kind == DEADLINE
                or (kind == QUEUE_TIMEOUT and 0 <= get.queued_at <= self.now - get.service.max_queue_time)
            ):
                self.give_up(get)
            elif get and (forward := get.pending.get(kind)):
                self.check_overdue(get, forward)
        if self.now - self.swept_at >= S // 10:
            self.swept_at, settled_before = self.now, self.now - self.config.purge_settle_time
            self.purges = {key: when for key, when in self.purges.items() if when > settled_before}
            self.dispatch_queue(sweep=True)
        if self.timers:
            when = min(self.timers[0][0], self.now + S // 10) if self.queue else self.timers[0][0]
            if self.wake_at <= self.now or when < self.wake_at:
                self.wake_at = when
                self.actions.append(i.Wake(max(1, when - self.now)))
