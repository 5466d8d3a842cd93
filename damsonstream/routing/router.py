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

MASK, MS, S = (1 << 64) - 1, 10, 10_000
# kinds of timers; a value of 0 or more is the number of a forward to check for being overdue
END, LINE, ASK = -1, -2, -3


class Chance:
    """Linear congruential generator with Knuth's MMIX constants; returns the high bits only."""

    def __init__(self, seed: int) -> None:
        self.state = seed & MASK

    def draw(self) -> float:
        """Returns a number in [0, 1)."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & MASK
        return (self.state >> 33) / 2**31


def digest(text: str) -> int:
    """Returns a 64-bit hash of the text that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def mix(a: int, b: int) -> float:
    """Combines two stable hashes into a fraction in (0, 1) that is the same at every gateway."""
    x = (a ^ (b * 0x9E3779B97F4A7C15)) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    return ((x >> 11) + 0.5) / 2**53


WINDOW, BUCKETS = 3 * S, 100  # in the design's 10 s, old successes outweigh new failures (docs/design.md)
LEAST = 5  # the design's 20 is too many: a gateway sees only a few fills a second at each source
SHARE = 0.5  # share of failures in the window above which a breaker may open
COOL_DOWN, LONGEST = 5 * S, 5 * S
JITTER = 0.25  # share of the cooldown added at random, so that gateways do not send trials in step
SPACING = S // 2
MAJORITY = 2  # of three trials
THIN, DOUBLES = 0.25, 20 * S  # half of this doubling time works as well


class Breaker:
    """A three-state circuit breaker over a rolling window of weighted failures.

    A node that fails only in part gets a reduced share of the objects before the breaker opens. With
    `all_or_nothing` the share is never reduced, and the window's failure ratio alone may open the breaker.
    """

    def __init__(self, chance: Chance, whole: bool = False) -> None:
        self.chance, self.whole = chance, whole
        self.reset()

    def reset(self) -> None:
        self.state, self.cool_down = "Closed", COOL_DOWN
        self.until = 0  # while Open: end of the cooldown; while Half-Open: when the next trial is allowed
        self.trying, self.good, self.run = False, 0, 0
        self.share, self.share_at = 1.0, 0  # share of its objects that the node is used for, as of that time
        self.buckets: deque[list[float]] = deque()  # start, count, failures; old ones leave the window
        self.total = [0.0, 0.0, 0.0]  # sums over the buckets
        # why the breaker opened last: failures in a row, fills in the window, weighted failures in the window
        self.judged = (0, 0.0, 0.0)

    def allows(self, now: int) -> bool:
        """Returns whether a forward may go now; an expired cooldown makes the breaker Half-Open."""
        if self.state == "Open" and now >= self.until:
            self.state, self.good, self.trying = "Half-Open", 0, False
        return self.state == "Closed" or (self.state == "Half-Open" and not self.trying and now >= self.until)

    def note(self, now: int, weight: float, trial: bool) -> str:
        """Records a finished fill; returns the new state, or an empty string if it did not change.

        `weight` is 0 for a success, 1 for a failure, and in between for a slow fill.
        """
        if self.state == "Half-Open" and trial:
            self.trying, self.until = False, now + SPACING
            if weight >= 1:
                self.cool_down = min(2 * self.cool_down, LONGEST)
                return self.open(now)
            self.good += 1
            if self.good < MAJORITY:
                return ""
            self.reset()
            return "Closed"
        if self.state != "Closed":
            return ""
        self.run = self.run + 1 if weight >= 1 else 0
        start = now - now % (WINDOW // BUCKETS)
        if not self.buckets or self.buckets[-1][0] != start:
            self.buckets.append([start, 0.0, 0.0])
        for sums in (self.buckets[-1], self.total):
            sums[1], sums[2] = sums[1] + 1, sums[2] + weight
        while self.buckets[0][0] <= now - WINDOW:
            self.total = [a - b for a, b in zip(self.total, self.buckets.popleft(), strict=True)]
        _, count, failures = self.total
        # While some fills succeed, only a part of the objects moves on, to protect the next node in hash
        # order. The two factors cancel out when one fill in seven fails.
        if not self.whole and failures < count:
            share = self.takes(now) * (0.75 if weight > 0.5 else 1.05)
            self.share, self.share_at = min(1.0, max(THIN, share)), now
        over = count >= LEAST and failures > SHARE * count
        opens = self.run >= LEAST or (over and (self.whole or (weight >= 1 and self.share <= THIN)))
        return self.open(now) if opens else ""

    def takes(self, now: int) -> float:
        """Returns the share of objects the node is used for; a reduced share doubles at a fixed rate."""
        return min(1.0, self.share * 2 ** min(9.0, (now - self.share_at) / DOUBLES))

    def told(self, now: int, what: str) -> str:
        """Applies a verdict reached by other gateways; returns the new state, or "" if it did not change.

        `what` is one of the verdicts of `interface.PeerVerdict`: dead, bad, good or well.
        """
        if what in ("good", "well"):
            if self.state == "Closed":
                return ""
            if what == "well":
                self.reset()
            else:  # counts as one good trial and ends the cooldown, so that the next fill is the second trial
                self.state, self.good, self.trying, self.until = "Half-Open", 1, False, now
            return self.state
        return self.open(now) if (what == "dead") == (self.state == "Closed") else ""

    def open(self, now: int) -> str:
        """Opens the breaker for a cooldown and returns the new state."""
        self.judged = (self.run, self.total[1], self.total[2])
        self.state, self.until = "Open", now + int(self.cool_down * (1 + JITTER * self.chance.draw()))
        self.buckets, self.total = deque(), [0.0, 0.0, 0.0]
        return "Open"


class Service:
    """A delivery service: its configuration, and the times observed for it."""

    def __init__(self, told: i.DeliveryService) -> None:
        self.told = told
        self.mean = float(told.objective)  # starts high, so that cold caches get little load at first
        self.usual = told.objective / 2  # 95th percentile of a forward's time beyond its transfer time
        self.hold = told.objective // 4  # after a longer wait, no time is left to meet the objective


class Node:
    """A cache, parent or origin of the list of caches, and what this gateway has observed of it."""

    def __init__(self, entry: i.Entry, role: str, chance: Chance) -> None:
        self.entry, self.role, self.name = entry, role, entry.cache
        self.hash, self.breaker = digest(entry.cache), Breaker(chance, role == "origin")
        self.known, self.home = self.hash & 0xFFFFFFFF, role == "cache"  # how the peer protocol names it
        self.active, self.left, self.out = False, False, 0  # forwards to it, or with it as the source
        self.credit, self.credit_at = 0.0, -1  # token bucket of transfer time for a cold node; last refill
        self.held, self.held_at = 0.0, -S  # GETs of all gateways, as last reported by the cache
        self.reset()
        # Failures since the last success (cache: any answer; source: a fill), the time of that success, and
        # the time of the last fill with a usual first-byte time.
        self.run, self.ok_at, self.quick_at = 0, -S, -S
        self.spent: deque[list[float]] = deque()  # [time, transfer time requested]; covers the last 3 s
        self.first_byte, self.filled_at = 0.0, 0  # 95th percentile; end of the first fill, 0: no fill yet

    def reset(self) -> None:
        """Forgets the breaker's state and the concurrency limit, as for a new process."""
        self.breaker.reset()
        self.limit = 32.0 if self.role == "cache" else 64.0  # concurrent forwards; adapted by AIMD


@dataclass(slots=True, eq=False)
class Get:
    """A GET that has no final answer yet."""

    id: int
    service: Service
    hash: int
    thing: str
    group: int
    size: int  # expected transfer time, 0: unknown
    end: int
    density: float  # revenue per unit of transfer time; the queue serves the highest first
    luck: float  # random number in [0, 1); while only a part of the GETs is admitted, low ones are
    legs: int = 0
    out: dict[int, Out] = field(default_factory=dict)
    avoid: set[Node] = field(default_factory=set)
    ran: tuple[int, Node] | None = None  # time and cache of the first forward that may have executed
    held: int = -1  # when the GET was queued, -1: not queued
    wants: Node | None = None  # the node without capacity that the GET is queued for, None: any
    orders: dict[tuple[Node, ...], list[Node]] = field(default_factory=dict)  # cached rendezvous orders
    lacked: int = 0  # 1: the cache has no copy and needs a fill; 2: nor has the parent, use the origin


@dataclass(slots=True, eq=False)
class Out:
    """A forward that has not ended yet."""

    get: Get
    leg: int
    cache: Node
    source: Node  # the cache itself: no fill is allowed
    sent: int
    cost: list[float]  # entry in the source's `recent_costs`
    copies: bool  # the source serves only what it has cached
    parts: list[Node]  # all nodes whose capacity the forward uses
    trials: list[Node]  # those of them whose breaker is not Closed
    paid: str = ""  # the hierarchy's budget that the fill was charged to
    judged: bool = False  # a node was blamed when the forward became overdue

FADE = 2 * S  # half-life of a learnt overload; the highest estimate (16) decays to 1.5 in ten seconds
# An origin can be overloaded within seconds, while each of many gateways sees only a few of its fills, so two
# bad fills must be enough to throttle it. One bad fill in five keeps the estimate where it is.
# Above the last value, parents are asked only for what they have cached.
BEHIND, CATCHES_UP, STRAIN = 1.5, 0.9, 1.2
NEAR = 6 * MS  # a cache of the same location refuses within this time; a later refusal came from its source


class Router:
    """Decides where each GET is forwarded, retried, queued, shed or failed."""

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        self.now, self.actions = now, list[i.Action]()
        match event:
            case i.Started():
                self.start(event)
            case i.ListTold():
                self.list_told(event)
            case i.GetTaken():
                self.taken(event)
            case i.ForwardEnded():
                self.ended(event)
            case i.PeersTold():
                for node in self.nodes.values():
                    if node.known == event.source and (event.what != "dead" or self.spared(node)):
                        self.changed(node, node.breaker.told(now, event.what))
            case i.Purged():
                key = event.thing or event.group
                self.purges[key] = max(self.purges.get(key, 0), now - event.age)
            case i.ClientLeft():
                if get := self.gets.get(event.get):
                    self.close(get)
            case i.AnswerStarted():
                if get := self.gets.pop(event.get, None):  # its answer is already being sent to the client
                    self.recall(get, event.leg)
        self.run_due()
        return self.actions

    def start(self, event: i.Started) -> None:
        self.told, self.chance, self.fleet = event.footprint, Chance(event.seed), event.fleet
        self.tiers = event.tiers
        self.services = [Service(service) for service in self.told.services]
        self.nodes: dict[str, Node] = {}  # those of the list, and removed ones with pending forwards
        self.caches, self.parents = tuple[Node, ...](), tuple[Node, ...]()
        self.origin: Node | None = None
        self.gets: dict[int, Get] = {}  # until their final answers
        self.outs: dict[tuple[int, int], Out] = {}  # by GET and attempt, until each forward ends
        self.due: list[tuple[int, int, int]] = []  # heap of (time, GET, attempt or kind of timer)
        self.armed, self.swept, self.asks, self.sized = -1, 0, 0, self.told.weights in ("nominal", "rough")
        self.line: list[tuple[bool, float, int, int]] = []  # (retry, -revenue rate, queued at, GET)
        self.purges: dict[str | int, int] = {}  # time of the purge by object or group, until it has settled
        self.link, self.density = 1.0, 0.0  # load of the link into the location, 1: just full; EWMA
        self.link_at = 0
        self.press, self.press_at = 1.0, 0  # estimated overload of the origin (1: none), and its time
        self.stock = max(2.0, 20 / self.told.location_gateways)  # 20 for the location, shared by its gateways
        self.spare = self.stock / 2  # retries and hedges that may still be sent
        self.ample = 0.6 / max(2, self.told.location_gateways)  # caches below this load accept spilled GETs
        self.brim = 0.65 if self.told.joins else 0.8  # without collapsing, each spilled GET costs a fill
        self.actions += [i.AskForList()] * self.told.ask_for_list

    def list_told(self, event: i.ListTold) -> None:
        """Applies an update of the list of caches, or requests the list again if it was lost."""
        if event.kind == "lost":
            self.asks += 1
            wait = min(S << min(self.asks, 6), max(S, self.told.ask_within // 8))
            return heappush(self.due, (self.now + int(wait * (0.5 + self.chance.draw())), 0, ASK))
        self.asks = 0
        for node in self.nodes.values() if event.kind != "changes" else ():
            node.active, node.left = False, True  # a node that a full list does not contain has left
        for entry in event.entries:
            if entry.cache not in self.nodes:
                roles = {self.told.parent_model: "parent", self.told.origin_model: "origin"}
                role = roles.get(entry.model, "cache" if entry.location == self.told.location else "")
                self.nodes[entry.cache] = Node(entry, role, self.chance)
            node = self.nodes[entry.cache]
            if entry.since and entry.since != node.entry.since:
                node.reset()  # a new process: observations of the old one do not apply
                if self.fleet:
                    self.fleet.anew(node.known)
                if self.tiers:
                    self.tiers.turned(node.name, "Closed")
            node.entry, node.active, node.left = entry, entry.state == "active", entry.state == "left"
            if node.role == "parent" and self.sized:  # 64 is too low for a parent with capacity for 1000
                node.limit = max(64.0, 2.2 * entry.units / self.told.gateways)
        self.nodes = {n.name: n for n in self.nodes.values() if n.out or not n.left}
        active = [n for n in self.nodes.values() if n.active]
        self.caches, self.parents = (tuple(n for n in active if n.role == r) for r in ("cache", "parent"))
        self.origin = next((n for n in active if n.role == "origin"), None)
        if self.fleet:
            far = (*self.parents, *([self.origin] if self.origin else []))
            self.fleet.listed(tuple(n.known for n in self.caches), tuple(n.known for n in far))
        self.redispatch()

    def taken(self, event: i.GetTaken) -> None:
        """Starts routing a GET."""
        if self.fleet:
            self.fleet.asked(self.now)
        service = self.services[event.service]
        size = int(event.size_kb / self.told.client_kb_per_s * S) if self.told.client_kb_per_s else 0
        service.mean += 0.02 * (size - service.mean) if size else 0.0
        density = service.told.revenue / (size or service.mean)
        self.density += 0.02 * (density - self.density)
        end, known = self.now + event.left - self.told.tick, (digest(event.thing), event.thing, event.group)
        get = self.gets[event.get] = Get(event.get, service, *known, size, end, density, self.chance.draw())
        self.spare = min(self.stock, self.spare + 0.2)  # one retry for five GETs, and bursts up to the cap
        heappush(self.due, (get.end, get.id, END))  # one tick before the viewer timeout
        self.dispatch(get)

    def dispatch(self, get: Get) -> None:
        """Sends a first forward or a retry of the GET, queues the GET, or gives it up."""
        cache = self.pick_cache(get) if self.may_forward(get) else None
        if cache is None:
            self.give_up(get)
        elif blocked := self.blocked(get, cache):
            self.hold(get, blocked)
        else:
            self.forward(get, cache)

    def hold(self, get: Get, wants: Node | None) -> None:
        """Queues the GET until a node has capacity, at most for its service's queue time."""
        get.wants = wants
        if get.held < 0:
            get.held = self.now
            heappush(self.due, (min(self.now + get.service.hold, get.end), get.id, LINE))
        self.line.append((get.legs > 0, -get.density, get.held, get.id))

    def redispatch(self, sweep: bool = False) -> None:
        """Dispatches queued GETs again, in queue order.

        A sweep tries all of them; otherwise only those that may find capacity now.
        """
        waiting, self.line = sorted(self.line), []
        well = [n for n in self.caches if n.breaker.state == "Closed" and n.breaker.share >= 1]
        spill = bool(waiting) and any(self.full(n) < self.ample for n in well)
        for entry in waiting:
            if (get := self.gets.get(entry[3])) and get.held >= 0:
                node = get.wants
                if sweep or node is None or (spill and node.role == "cache") or not self.shut(node, get):
                    self.dispatch(get)
                else:
                    self.line.append(entry)

    def forward(self, get: Get, cache: Node) -> None:
        """Sends a forward to the cache and starts its overdue timer."""
        now, told = self.now, get.service.told
        source = self.pick_source(get, cache)
        crowded = source.out >= source.limit or not self.fits(get)
        if (crowded or cache.run) and not get.lacked and not told.passes:
            # The source or the link is full, or the cache may be failing: look for a copy in the cache first,
            # and use a source only on a miss.
            source = cache
        copies = source.role == "parent" and not told.passes and get.lacked < 2 and self.strained()
        parts = [cache] if source is cache else [cache, source]
        if get.lacked == 2 and self.origin and source is not self.origin:
            parts.append(self.origin)  # the parent is known to miss the object and will ask the origin
        trials = [node for node in parts if node.breaker.state != "Closed"]
        for node in parts:
            node.out += 1
            node.breaker.trying |= node in trials
            if self.fleet and node in trials:
                self.fleet.trying(now, node.known, node.home)
            cost, node.credit = [float(now), get.service.mean], node.credit - get.service.mean
            node.spent.append(cost)
            while node.spent[0][0] < now - 3 * S:
                node.spent.popleft()
        paid = self.tiers.sent(now, cache.name, source.name) if self.tiers and source is not cache else ""
        out = Out(get, get.legs, cache, source, now, cost, copies, parts, trials, paid)
        get.legs, get.held = get.legs + 1, -1
        if told.effect != "idempotent" and get.ran is None:
            get.ran = (now, cache)
        get.out[out.leg] = self.outs[get.id, out.leg] = out
        age, plain = self.oldest(get, source is cache), source is not cache and not trials
        renew = told.fresh > 0 and not age and plain and self.warmth(source) >= 1
        join = self.told.joins and out.leg == 0 and not trials
        self.actions.append(i.Forward(get.id, cache.name, source.name, 1, 0, age, join, renew, copies))
        heappush(self.due, (now + self.overdue(get), get.id, out.leg))

    def strained(self) -> bool:
        """Returns whether parents may be asked only for cached copies, to relieve the origin.

        That is so while the origin's breaker is not Closed, the origin is overloaded or its limit is below
        half of the initial one, or most parents fail at once, which may be the origin's fault. A parent that
        answers with a miss is known to be alive.
        """
        origin, doubt = self.origin, 2 * sum(n.breaker.run > 1 for n in self.parents) > len(self.parents)
        if origin is None:
            return False
        slow = origin.limit < 32 or self.behind() > STRAIN if self.told.notes == "all" else doubt
        return slow or origin.breaker.state != "Closed"

    def fits(self, get: Get) -> bool:
        """Returns whether a fill for the GET is admitted to the link into the location.

        While the link is overloaded, a random part of the GETs is admitted.
        """
        return get.luck * self.crowd() < 1.2  # 2 works as well

    def behind(self) -> float:
        """Returns the estimated overload of the origin, 1: none.

        The estimate decays, since GETs shed because of it cause no fills that would lower it.
        """
        return 1.0 + (self.press - 1.0) * math.pow(2.0, (self.press_at - self.now) / FADE)

    def crowd(self) -> float:
        """Returns the load of the link into the location, 1: just full.

        An overload decays, since GETs shed because of it cause no fills that would lower it.
        """
        over = max(0.0, self.link - 1.0)
        return min(self.link, 1.0) + over * math.pow(2.0, (self.link_at - self.now) / FADE)

    def overdue(self, get: Get) -> int:
        """Returns how long a forward may take before it is overdue; twice as long if its size is unknown."""
        return int((1.0 if get.size else 2.0) * (get.size + get.service.usual))

    def order(self, nodes: tuple[Node, ...], get: Get) -> list[Node]:
        """Returns the nodes in rendezvous-hash order, with caches weighted by their capacity if known."""
        if nodes not in get.orders:
            sized = self.sized and nodes is self.caches
            ranks = {n: -math.log(mix(get.hash, n.hash)) / (n.entry.units if sized else 1) for n in nodes}
            get.orders[nodes] = sorted(nodes, key=ranks.__getitem__)
        return get.orders[nodes]

    def pick_cache(self, get: Get) -> Node | None:
        """Returns the first usable cache in hash order, or None.

        A loaded cache (for example one with a hot object) spills to the next one that has ample capacity.
        """
        fit = [n for n in self.order(self.caches, get) if self.usable(n, get) and self.keeps_scope(get, n)]
        if self.tiers:  # a cache that the hierarchy does not contain has no known sources
            fit = [n for n in fit if self.tiers.has(n.name)]
        elif not fit and self.told.direct:
            fit = [n for n in self.sources(get) if self.keeps_scope(get, n)]
        spills = fit and self.full(fit[0]) >= self.brim
        return next((n for n in fit if not spills or self.full(n) < self.ample), fit[0] if fit else None)

    def sources(self, get: Get) -> list[Node]:
        """Returns the usable parents in hash order over all listed ones, then the origin if usable."""
        return [n for n in (*self.order(self.parents, get), self.origin) if n and self.usable(n, get)]

    def pick_source(self, get: Get, cache: Node) -> Node:
        """Returns the node to fill the cache from; the cache itself if there is none."""
        sources = self.sources(get) if cache.role == "cache" else [self.origin or cache]
        if self.tiers:
            place, names = mix(get.hash, 0), [n.name for n in sources]
            sources = [self.nodes[name] for name in self.tiers.among(self.now, cache.name, place, names)]
        return next(iter(sources), cache)

    def usable(self, node: Node, get: Get) -> bool:
        """Returns whether the GET may use the node, by its breaker, reduced share and cold budget."""
        if node in get.avoid or (node.breaker.state != "Closed" and not self.allows(node)):
            return False
        if node.breaker.share >= 1 and not node.entry.since:
            return True  # shortcut with the same result as the rest of the function
        # chosen by hash, so that every gateway uses the node for the same objects
        part = min(self.warmth(node), node.breaker.takes(self.now))
        return (part >= 1 or mix(get.hash ^ 0x5DEECE66D, node.hash) < part) and self.cold_room(node, get)

    def allows(self, node: Node) -> bool:
        """Returns whether the node's breaker allows a forward and, for a trial, whether it is our turn."""
        before, allowed = node.breaker.state, node.breaker.allows(self.now)
        if self.fleet and allowed and node.breaker.state == "Half-Open":
            allowed = self.fleet.turn(self.now, node.known, node.home, node.breaker.until)
        if node.breaker.state != before:
            self.actions.append(i.Trace(f"{node.role} {node.name} Half-Open"))
        return allowed

    def full(self, node: Node) -> float:
        """Returns the load of a cache relative to its capacity, 1: full.

        A recent load report counts the GETs of all gateways of the location; without one, each gateway uses
        its equal part of the capacity. A capacity unit takes 2.2 GETs, since the objective grows with the
        transfer time and so allows about half the transfer rate.
        """
        limit, shared = node.limit, self.told.location_gateways
        if self.sized and node.role == "cache":
            limit = 2.2 * node.entry.units * self.warmth(node)
        if self.now - node.held_at >= S or shared == 1:  # an old report could keep a cache unused forever
            return node.out / max(3.0, limit / shared)
        fresh = min(1.0, 1.5 - (self.now - node.held_at) / S)
        return max(node.out, node.held * fresh) / max(6.0, limit)

    def shut(self, node: Node, get: Get) -> bool:
        """Returns whether the node has no capacity for the GET now."""
        if node.role == "cache":  # above the spill threshold, only GETs with an above-average revenue rate
            return self.full(node) >= (1.0 if get.density > self.density else self.brim)
        return node.out >= node.limit or not self.allows(node)

    def blocked(self, get: Get, cache: Node) -> Node | None:
        """Returns the node that lacks capacity for the GET, or None.

        That is its cache or, once a fill is known to be needed, the source of the fill.
        """
        source = self.pick_source(get, cache) if get.lacked else cache
        parts = (cache, source, self.origin if get.lacked == 2 else None)
        return next((n for n in parts if n and self.shut(n, get)), None)

    def may_forward(self, get: Get) -> bool:
        """Returns whether another forward may be sent.

        A GET that may have executed is forwarded again only if its idempotency kind allows it.
        """
        told = get.service.told
        spent = self.now >= get.end or get.legs >= self.told.max_forwards
        if spent or (get.out and not self.told.second_copies):
            return False
        if get.ran is None or told.effect == "idempotent":
            return True
        return told.effect == "tokened" and self.now + self.told.tick < get.ran[0] + told.remembered

    def keeps_scope(self, get: Get, node: Node) -> bool:
        """Returns whether the node shares the token scope of the forward that may have executed."""
        scope, entry = get.service.told.scope, node.entry
        ran = get.ran[1].entry if get.ran and scope != "all" else entry
        return entry.location == ran.location and (scope != "cell" or entry.cell == ran.cell)

    def may_shed(self, get: Get) -> bool:
        """Returns whether the client may safely repeat the GET, so that it is shed rather than errored."""
        effect, scope = get.service.told.effect, get.service.told.scope
        return get.ran is None or effect == "idempotent" or (effect, scope) == ("tokened", "all")

    def warmth(self, node: Node) -> float:
        """Returns the share of its capacity that a cache or parent surely has since its start; 1: warm."""
        told, age = self.told, max(0, self.now - node.entry.since)
        caches, parents = (told.cold_share, told.cold_for), (told.parent_cold_share, told.parent_cold_for)
        share, lasts = parents if node.role == "parent" else caches
        warm = node.role == "origin" or not node.entry.since or age >= lasts
        return 1.0 if warm else share + (1 - share) * age / lasts

    def cold_room(self, node: Node, get: Get) -> bool:
        """Returns whether the GET fits in this gateway's budget for a cold node.

        The budget is a token bucket of transfer time, refilled with this gateway's part of what a cold node
        can take. A refill of less than one GET accumulates.
        """
        warmth, told = self.warmth(node), self.told
        if warmth >= 1:
            return True
        parent = node.role == "parent"
        multiple = told.parent_cold_multiple if parent else told.cold_multiple
        part = 1 / (told.gateways if parent else told.location_gateways)
        capacity = node.entry.units * (self.fleet.part(self.now, not parent) if self.fleet else part)
        if not self.sized:  # unknown capacity: use the load this gateway puts on warm nodes of the same role
            like = [n for n in (self.parents if parent else self.caches) if self.warmth(n) >= 1]
            asked = sum(cost for n in like for when, cost in n.spent if when > self.now - 3 * S)
            capacity = asked / (3 * S * len(like)) if like else 0.0
        rate = 0.5 * multiple * warmth * capacity  # 0.5: reserve for random variation
        most = max(rate * told.cold_span, *(service.mean for service in self.services))
        if node.credit_at < node.entry.since:  # first use since its start; random, to desynchronize gateways
            node.credit, node.credit_at = self.chance.draw() * most, self.now
        node.credit, node.credit_at = min(most, node.credit + rate * (self.now - node.credit_at)), self.now
        return node.credit >= get.service.mean

    def oldest(self, get: Get, copies_only: bool) -> int:
        """Returns the maximum age of an acceptable copy; 0: the service's default.

        Until a purge has settled at all caches, copies older than the purge are refused.
        """
        told = get.service.told
        age = told.fresh + told.grace if copies_only and told.fresh and told.grace else 0
        purged = max(self.purges.get(get.thing, -1), self.purges.get(get.group, -1))
        if purged >= 0 and self.now - purged < self.told.purge_settles:
            return min(max(1, self.now - purged), age or told.fresh or MASK)
        return age

    def judge(self, out: Out, event: i.ForwardEnded | None) -> Node | None:
        """Returns the node to blame for a failed or overdue forward; None if it proves nothing.

        `event` is None for an overdue forward. A fill code decides if there is one. A refusal that took
        longer than the cache's own would is the source's, and so is repeated silence while the cache answers
        other forwards. Otherwise the cache is suspected, and its next forwards ask for no fill at first. A
        broken connection is one failure of the cache, whatever number of forwards and sources it carried.
        """
        cache, source = out.cache, out.source
        if event and (event.note in (8, 9) or event.result in ("lacking", "unsent", "recalled")):
            return None
        if event and (event.note == 10 or event.result == "unreached"):
            return self.origin if event.note == 10 else cache
        if event and source is not cache and event.note in (6, 7):
            return self.waited(out) if event.took > S // 2 else source
        if event and source is not cache and event.result == "shed" and event.took > NEAR:
            return out.parts[-1]  # the origin, if the parent was known to miss the object
        if source is not cache and cache.ok_at > out.sent and (event is None or event.result != "broken"):
            source.run += 1
            return self.waited(out) if source.run >= LEAST else None
        cache.run += 1
        return cache if cache.run > 2 else None

    def waited(self, out: Out) -> Node | None:
        """Returns the node to blame for a fill that timed out, or None.

        If the parent filled others meanwhile, the fill was waiting for the origin; if the origin also filled
        some in its usual time, it was waiting for a loaded cache, and no source is to blame. Silence never
        opens the breaker of the last Closed source.
        """
        source, sources = out.source, (*self.parents, self.origin)
        gave = source.role == "parent" and source.ok_at >= out.sent and not out.copies
        if (gave and self.told.notes == "all") or len(out.parts) > 2:
            return self.origin if self.origin and self.origin.quick_at < out.sent else None
        return source if any(n and n is not source and n.breaker.state == "Closed" for n in sources) else None

    def note(self, node: Node, weight: float, trial: bool) -> None:
        """Records an outcome in the node's breaker, and reports it to the peers and the hierarchy."""
        half_open = trial and node.breaker.state == "Half-Open"
        if self.fleet and half_open:
            self.fleet.tried(self.now, node.known, node.home, weight < 1)
            if self.tiers:
                self.tiers.saw(self.now, node.name, weight >= 1)
        else:
            self.seen(node, weight >= 1)
        self.changed(node, node.breaker.note(self.now, weight, trial))

    def seen(self, node: Node, bad: bool) -> None:
        """Reports an outcome at the node to the peers and the hierarchy."""
        if self.fleet:
            self.fleet.saw(self.now, node.known, node.home, bad)
        if self.tiers:
            self.tiers.saw(self.now, node.name, bad)

    def changed(self, node: Node, change: str) -> None:
        """Traces a new breaker state and reports it to the hierarchy; does nothing for an empty string."""
        if change:
            self.actions.append(i.Trace(f"{node.role} {node.name} {change}", node.breaker.judged))
            if self.tiers:
                self.tiers.turned(node.name, change)

    def spared(self, node: Node) -> bool:
        """Returns whether a peer verdict may open the node: never the last source that is Closed."""
        others = (*self.parents, self.origin) if not node.home else ()
        return node.home or any(n and n is not node and n.breaker.state == "Closed" for n in others)

    def ended(self, event: i.ForwardEnded) -> None:
        """Learns from the end of a forward, and retries, queues or gives up a GET that has no answer yet."""
        out = self.outs.pop((event.get, event.leg), None)
        if out is None:
            return
        get, cache, source = out.get, out.cache, out.source
        get.out.pop(out.leg, None)
        for node in out.parts:
            node.out -= 1
        if "held" in event.load:
            cache.held, cache.held_at = event.load["held"], self.now
        elif "busy" in event.load and self.sized:  # at full CPU the load is unknown, so assume more each time
            fit, busy = cache.entry.units * self.warmth(cache), event.load["busy"]
            cache.held = busy * fit if busy < 0.9 else min(4 * fit, 1.5 * max(fit, cache.held))
            cache.held_at = self.now
        if "link" in event.load:
            self.link, self.link_at = event.load["link"], self.now
        good, alive = event.result == "returned", event.result in ("returned", "lacking")
        filled = event.note in (2, 3) or (good and self.told.notes == "none")
        blamed = None if good or out.judged or event.shared else self.judge(out, event)
        if alive:
            cache.run, cache.ok_at = 0, self.now
        if alive or blamed is cache:
            self.note(cache, float(blamed is cache), cache in out.trials)
        if source is not cache:
            self.source_ended(out, event, blamed, good and filled)
        for node in out.trials:
            node.breaker.trying = False  # also if the trial proved nothing, for example a hit in the cache
        if good:
            self.learn(get, cache, event)
        elif event.result == "shed" and event.took <= NEAR and event.note != 9:
            cache.limit = max(8.0, min(cache.limit, max(cache.out, cache.held) + 1.0) * 0.95)
        if event.over:
            self.close(get)
        elif get.id in self.gets:
            if event.result in ("shed", "lacking", "unreached", "unsent") and get.ran == (out.sent, cache):
                get.ran = None  # proved not to have executed; an earlier forward that may have is kept
            if event.result == "lacking" and (out.copies or (source is cache and not get.lacked)):
                get.lacked = 2 if out.copies else 1
                gives = self.origin and self.allows(self.origin) and get.luck * self.behind() < 1
                shut = not self.fits(get) or (out.copies and not gives)
                if shut or self.pick_source(get, cache) is cache:
                    self.give_up(get)
                else:
                    self.dispatch(get)
            else:
                again = event.result == "broken" and get.legs == 1  # retry once at the same cache
                doubt = source if event.result == "shed" and event.took > NEAR else cache
                if event.result != "recalled" and not again:
                    get.avoid.add(blamed or doubt)
                self.spare += again  # the broken forward's work was dropped, so its retry adds no load
                # every path leads to the same origin: while it is overloaded, retry only an admitted part
                fits = event.note != 10 or get.luck * self.behind() < 1
                if not get.out and self.spare >= 1 and fits:
                    self.spare -= 1  # the retry budget prevents retry storms
                    self.hold(get, None)  # queued behind first forwards
                elif not get.out:
                    self.give_up(get)
        self.redispatch()

    def source_ended(self, out: Out, event: i.ForwardEnded, blamed: Node | None, filled: bool) -> None:
        """Learns about the source of a forward that has ended, and about the link and the origin."""
        source, service, behind = out.source, out.get.service, event.note in (3, 10) or len(out.parts) > 2
        if event.result == "returned" and not filled:
            out.cost[1] = 0.0  # a hit put no load on the source and says nothing about it
            if self.tiers:
                self.tiers.unspent(out.cache.name, source.name, out.paid)
        late = event.took > service.told.objective + service.told.stretch * (out.get.size or service.mean)
        judged = self.origin if behind and self.origin else source
        # without first-byte times, a late fill (even a recalled one) reduces a parent's share of objects, but
        # never opens its breaker
        slow = 0.75 if late and self.told.notes != "all" and judged.role == "parent" else 0.0
        if filled:
            if "link" not in event.load:
                # the estimate is steady at one late fill in ten; without sizes, large objects look late
                ease = 0.99 if out.get.size else 0.97
                link = self.crowd()
                self.link = min(16.0, link * 1.1) if late else max(1.0, link * ease)
                self.link_at = self.now
            # a first byte above the source's 95th percentile counts as half a failure, once the percentile
            # has been estimated over at least one window
            source.filled_at = source.filled_at or self.now
            usual = source.first_byte or 2.0 * event.first_byte
            slow = 0.5 if event.first_byte > usual and self.now - source.filled_at > WINDOW else slow
            source.first_byte = usual * (1.019 if event.first_byte > usual else 0.999)
            source.ok_at, source.run, judged.quick_at = self.now, 0, judged.quick_at if slow else self.now
            self.note(judged, slow, judged in out.trials)
            if judged is not source:  # the parent relayed the origin's object: report that it is alive
                self.seen(source, False)
        elif blamed is not None and blamed is not out.cache:
            self.note(blamed, 1.0, blamed in out.trials)
        elif event.result == "recalled" and slow and out.cache.ok_at > out.sent:
            self.note(source, slow, False)
        if judged is self.origin and (filled or blamed is judged):
            # bad: refused, or the first byte alone took longer than the whole objective
            bad = not filled or event.first_byte > service.told.objective
            press = self.behind() * (BEHIND if bad else CATCHES_UP)
            self.press, self.press_at = min(16.0, max(1.0, press)), self.now
        if (org := self.origin) and (org is blamed or org is judged):
            # the limit reacts to an origin that works but is late in more than one fill of ten; a dead one is
            # left to the breaker
            if filled and not late and (org.out + 1 >= 0.8 * org.limit or event.note == 3):
                org.limit = min(64.0, org.limit + max(2 / org.limit, org.limit / 50 / self.told.gateways))
            elif (late and filled) or event.result in ("shed", "expired"):
                org.limit = max(4.0, org.limit * 0.95)

    def learn(self, get: Get, cache: Node, event: i.ForwardEnded) -> None:
        """Updates the service's time estimates and the cache's concurrency limit from a returned forward."""
        service, beyond = get.service, event.took - get.size
        # the two step sizes converge to the 95th percentile
        service.usual = max(10 * MS, service.usual * (1.019 if beyond > service.usual else 0.999))
        if not get.size and event.note != 2:
            service.mean += 0.02 * (event.took - service.mean)
        if get.size and event.note in (0, 1):
            if event.took > service.told.objective + service.told.stretch * get.size:
                cache.limit = max(3.0, cache.limit * 0.9)
            elif self.full(cache) >= 0.7:
                cache.limit += 16 / cache.limit

    def look(self, get: Get, out: Out) -> None:
        """Blames a node for an overdue forward, and sends a hedge if one is allowed and may help."""
        blamed = None if out.judged else self.judge(out, None)
        if blamed is not None:  # otherwise it is checked, and its silence counted, again
            out.judged = True
            get.avoid.add(blamed)
            self.note(blamed, 1.0, blamed in out.trials)
        if blamed is None and all(n.breaker.state == "Closed" for n in (out.cache, out.source)):
            return heappush(self.due, (self.now + self.overdue(get), get.id, out.leg))
        further = len(get.out) == 1 and self.spare >= 1 and get.service.told.effect == "idempotent"
        cache = self.pick_cache(get) if further and self.may_forward(get) else None
        if cache is not None and self.told.cancel and "Open" in (n.breaker.state for n in out.parts):
            # hung fills must not use up a healthy cache's capacity
            self.actions.append(i.Recall(get.id, out.leg))
        elif cache is not None and not self.blocked(get, cache):
            self.spare -= 1
            self.forward(get, cache)

    def give_up(self, get: Get) -> None:
        """Sheds or errors the GET, unless a pending forward may still return."""
        if get.out and self.now < get.end:
            return
        # short enough that a repeat can still meet the objective
        back = min(get.service.told.objective // 5, self.told.max_retry_after) if self.told.retry_after else 0
        self.actions.append(i.Shed(get.id, back) if self.may_shed(get) else i.Errored(get.id))
        self.close(get)

    def close(self, get: Get) -> None:
        """Forgets the GET and recalls its pending forwards."""
        self.gets.pop(get.id, None)
        self.recall(get, -1)

    def recall(self, get: Get, but: int) -> None:
        """Recalls (cancels) all pending forwards of the GET except one."""
        self.actions += [i.Recall(get.id, leg) for leg in get.out if self.told.cancel and leg != but]

    def run_due(self) -> None:
        """Runs expired timers, sweeps the queue every 100 ms, and requests the next wake-up."""
        while self.due and self.due[0][0] <= self.now:
            _, gid, what = heappop(self.due)
            get = self.gets.get(gid)
            if what == ASK:
                self.actions.append(i.AskForList())
            elif get and (what == END or (what == LINE and 0 <= get.held <= self.now - get.service.hold)):
                self.give_up(get)
            elif get and (out := get.out.get(what)):
                self.look(get, out)
        if self.now - self.swept >= S // 10:
            self.swept, settled = self.now, self.now - self.told.purge_settles
            self.purges = {key: when for key, when in self.purges.items() if when > settled}
            self.redispatch(sweep=True)
        if self.due:
            when = min(self.due[0][0], self.now + S // 10) if self.line else self.due[0][0]
            if self.armed <= self.now or when < self.armed:
                self.armed = when
                self.actions.append(i.Wake(max(1, when - self.now)))
