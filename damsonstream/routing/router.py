"""All decisions of one gateway.

How it is called: `Router().handle(now, event)` takes what happened and returns what is to be done, in order;
the first event is Started. Interface, the types of events and actions: `damsonstream/routing/interface.py`.
Routers share nothing. Times are whole tenths of a millisecond. docs/design.md explains the design's words.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from hashlib import blake2b
from heapq import heappop, heappush

from damsonstream.routing import interface as i

MASK, MS, S = (1 << 64) - 1, 10, 10_000
END, QUEUE, ASK = -1, -2, -3  # what is due besides a look at an attempt


class Chance:
    """Linear congruential generator (Knuth's MMIX constants); the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & MASK

    def draw(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & MASK
        return (self.state >> 33) / 2**31


def digest(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def mix(a: int, b: int) -> float:
    """Two stable hashes into one fraction in (0, 1), the same at every gateway."""
    x = (a ^ (b * 0x9E3779B97F4A7C15)) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    return ((x >> 11) + 0.5) / 2**53


WINDOW, BUCKETS = 3 * S, 100  # 10 s in the design: earlier good fills weigh too long (docs/design.md)
LEAST, SHARE = 5, 0.5  # 20 in the design, as a gateway sees a few fills a second at each source; the design's
COOL_DOWN, LONGEST = 5 * S, 5 * S  # the design's starts, also of the cap
JITTER = 0.25  # up to so much on top, so that gateways do not try in step
SPACING, MAJORITY = S // 2, 2  # between trials; of three of them: the design's
THIN, DOUBLES = 0.25, 20 * S  # least share of a thinned one, and how soon it doubles; level to half of it


class Breaker:
    """The design's three-state switch over a rolling window of weighted failures."""

    def __init__(self, chance: Chance, whole: bool = False) -> None:
        self.chance, self.whole = chance, whole  # whole: opens as in the design, and is never thinned
        self.reset()

    def reset(self) -> None:
        self.state, self.cool_down = "Closed", COOL_DOWN
        self.until = 0  # of Open: end of the cool-down; of Half-Open: when the next trial may go
        self.trying, self.good, self.run = False, 0, 0
        self.share, self.share_at = 1.0, 0  # of its objects, what it takes; thinned while it fails in part
        self.buckets: deque[list[float]] = deque()  # start, count, failures; emptied as the window rolls
        self.total = [0.0, 0.0, 0.0]  # their sums
        self.judged = (0, 0.0, 0.0)  # what it opened on: the run, and the window's count and failures

    def allows(self, now: int) -> bool:
        if self.state == "Open" and now >= self.until:
            self.state, self.good, self.trying = "Half-Open", 0, False
        return self.state == "Closed" or (self.state == "Half-Open" and not self.trying and now >= self.until)

    def note(self, now: int, weight: float, trial: bool) -> str:
        """Enters a finished fill (weight 0: good); returns the new state where it changes."""
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
        # one that still gives some is thinned, to spare the next in order; balances at a seventh of failures
        if not self.whole and failures < count:
            share = self.takes(now) * (0.75 if weight > 0.5 else 1.05)
            self.share, self.share_at = min(1.0, max(THIN, share)), now
        over = count >= LEAST and failures > SHARE * count
        opens = self.run >= LEAST or (over and (self.whole or (weight >= 1 and self.share <= THIN)))
        return self.open(now) if opens else ""

    def takes(self, now: int) -> float:
        return min(1.0, self.share * 2 ** min(9.0, (now - self.share_at) / DOUBLES))

    def told(self, now: int, what: str) -> str:
        """What other gateways' fills and trials showed."""
        if what in ("good", "well"):
            if self.state == "Closed":
                return ""
            if what == "well":
                self.reset()
            else:  # it counts as one of the trials, and ends the cool-down: the next fill is another
                self.state, self.good, self.trying, self.until = "Half-Open", 1, False, now
            return self.state
        return self.open(now) if (what == "dead") == (self.state == "Closed") else ""

    def open(self, now: int) -> str:
        self.judged = (self.run, self.total[1], self.total[2])
        self.state, self.until = "Open", now + int(self.cool_down * (1 + JITTER * self.chance.draw()))
        self.buckets, self.total = deque(), [0.0, 0.0, 0.0]
        return "Open"


class Service:
    """One row of the table of delivery services: what was told, and what was seen."""

    def __init__(self, told: i.DeliveryService) -> None:
        self.told = told
        self.mean = float(told.objective)  # sending time; starts high, which is careful with cold caches
        self.usual = told.objective / 2  # 95th percentile of the time beyond a told sending time
        self.hold = told.objective // 4  # held longer, no time is left to send within the objective


class Node:
    """A cache, parent or origin of the list."""

    def __init__(self, entry: i.Entry, role: str, chance: Chance) -> None:
        self.entry, self.role, self.name = entry, role, entry.cache
        self.hash, self.breaker = digest(entry.cache), Breaker(chance, role == "origin")
        self.known, self.home = self.hash & 0xFFFFFFFF, role == "cache"  # as the fleet speaks of it
        self.active, self.left, self.out = False, False, 0  # forwards out to it, or naming it as source
        self.credit, self.credit_at = 0.0, -1  # sending time saved up for it while it is cold, and since when
        self.held, self.held_at = 0.0, -S  # GETs it holds for all gateways, as it told last, and when
        self.reset()
        # troubles since its last good sign (cache: any answer, source: a fill); last fill within the usual
        self.run, self.ok_at, self.quick_at = 0, -S, -S
        self.spent: deque[list[float]] = deque()  # when, sending time asked of it; emptied as the span rolls
        self.first_byte, self.filled_at = 0.0, 0  # usual high percentile; when its first fill ended, 0: none

    def reset(self) -> None:
        self.breaker.reset()
        self.limit = 32.0 if self.role == "cache" else 64.0  # forwards that fit; found by trying


@dataclass(slots=True, eq=False)
class Get:
    """A GET that waits for its final answer."""

    id: int
    service: Service
    hash: int
    thing: str
    group: int
    size: int  # told sending time, 0: not told
    end: int
    density: float  # revenue for a unit of sending time: in the queue, the most goes first
    luck: float  # drawn as it came: the unlucky are left out while only a part fits
    attempts: int = 0
    out: dict[int, Out] = field(default_factory=dict)
    avoid: set[Node] = field(default_factory=set)
    ran: tuple[int, Node] | None = None  # first forward that may have run
    held: int = -1  # since when, -1: not held
    wants: Node | None = None  # held for room at it, None: at any
    orders: dict[tuple[Node, ...], list[Node]] = field(default_factory=dict)  # of caches, of parents
    lacked: int = 0  # 1: its cache has no copy, a fill helps; 2: nor has its parent, the origin helps


@dataclass(slots=True, eq=False)
class Out:
    """A forward that is out."""

    get: Get
    attempt: int
    cache: Node
    source: Node  # the cache itself: nothing is filled
    sent: int
    cost: list[float]  # entry in the source's `spent`
    copies: bool  # the source gives only what it holds
    parts: list[Node]  # all whose capacity it takes
    trials: list[Node]  # of those, the Half-Open ones
    paid: str = ""  # from which of the hierarchy's budgets
    judged: bool = False

FADE = 2 * S  # a learnt crowd on the link halves in it: from the most to nothing in ten seconds
# An origin is pushed over within seconds, in which one of many gateways sees few of its fills: two must do.
# One bad one in five holds the part that is let through where it is. STRAIN: from when on parents give copies
BEHIND, CATCHES_UP, STRAIN = 1.5, 0.9, 1.2
NEAR = 6 * MS  # a cache of the own location says no within it; what comes later was said behind it


class Router:
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
            case i.Stopping():
                for one in self.gets.values():
                    one.end = min(one.end, now + event.within)
                    heappush(self.due, (one.end, one.id, END))
            case i.Purged():
                key = event.thing or event.group
                self.purges[key] = max(self.purges.get(key, 0), now - event.age)
            case i.ClientLeft():
                if get := self.gets.get(event.get):
                    self.close(get)
            case i.AnswerStarted():
                if get := self.gets.pop(event.get, None):  # it is the client's now
                    self.recall(get, event.attempt)
        self.run_due(isinstance(event, i.Woken))
        return self.actions

    def start(self, event: i.Started) -> None:
        self.told, self.chance, self.fleet = event.footprint, Chance(event.seed), event.fleet
        self.tiers, self.begins_later, self.noted = event.tiers, event.asks, event.footprint.notes == "all"
        self.services = [Service(service) for service in self.told.services]
        self.nodes: dict[str, Node] = {}  # as long as the list, and the forwards still out
        self.caches, self.parents = tuple[Node, ...](), tuple[Node, ...]()
        self.origin: Node | None = None
        self.gets: dict[int, Get] = {}  # emptied by final answers
        self.outs: dict[tuple[int, int], Out] = {}  # emptied by the end of each forward
        self.due: list[tuple[int, int, int]] = []  # when, GET, attempt (or END, QUEUE, ASK); emptied by time
        self.armed, self.swept, self.asks, self.sized = -1, 0, 0, self.told.weights in ("nominal", "rough")
        self.queue: list[tuple[bool, float, int, int]] = []  # further, -density, since, GET
        self.purges: dict[str | int, int] = {}  # object or group: when; emptied when copies have settled
        self.link, self.density = 1.0, 0.0  # link in, 1: just full; usual revenue for a unit of sending time
        self.link_at = 0  # when the link was told or learnt last
        self.press, self.press_at = 1.0, 0  # how far the origin is behind, 1: not; when that was learnt last
        self.refused: Node | None = None  # the parent that refused last
        self.stock = max(2.0, 20 / self.told.location_gateways)  # each gateway's part of a small stock
        self.retry_budget = self.stock / 2  # further forwards that may still go
        self.ample = 0.6 / max(2, self.told.location_gateways)  # room for what spills
        self.high_watermark = 0.65 if self.told.joins else 0.8  # unjoined, each spill costs a fill
        self.actions += [i.AskForList()] * self.told.ask_for_list

    def list_told(self, event: i.ListTold) -> None:
        if event.kind == "lost":
            self.asks += 1
            wait = min(S << min(self.asks, 6), max(S, self.told.ask_within // 8))
            return heappush(self.due, (self.now + int(wait * (0.5 + self.chance.draw())), 0, ASK))
        self.asks = 0
        for node in self.nodes.values() if event.kind != "changes" else ():
            node.active, node.left = False, True  # what a full list lacks is gone
        for entry in event.entries:
            if entry.cache not in self.nodes:
                roles = {self.told.parent_model: "parent", self.told.origin_model: "origin"}
                role = roles.get(entry.model, "cache" if entry.location == self.told.location else "")
                self.nodes[entry.cache] = Node(entry, role, self.chance)
            node = self.nodes[entry.cache]
            if entry.since and entry.since != node.entry.since:
                node.reset()  # a new process: what was seen of the old one says nothing
                if self.fleet:
                    self.fleet.anew(node.known)
                if self.tiers:
                    self.tiers.turned(node.name, "Closed")
            node.entry, node.active, node.left = entry, entry.state == "active", entry.state == "left"
            if node.role == "parent" and self.sized:  # 64 hold GETs back where one bears a thousand transfers
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
        if self.fleet:
            self.fleet.asked(self.now)
        service = self.services[event.service]
        size = int(event.size_kb / self.told.client_kb_per_s * S) if self.told.client_kb_per_s else 0
        service.mean += 0.02 * (size - service.mean) if size else 0.0
        density = service.told.revenue / (size or service.mean)
        self.density += 0.02 * (density - self.density)
        end, known = self.now + event.left - self.told.tick, (digest(event.thing), event.thing, event.group)
        get = self.gets[event.get] = Get(event.get, service, *known, size, end, density, self.chance.draw())
        self.retry_budget = min(self.stock, self.retry_budget + 0.2)  # a fifth of the GETs, and the stock
        heappush(self.due, (get.end, get.id, END))  # one tick before the client leaves, never late
        self.dispatch(get)

    def dispatch(self, get: Get) -> None:
        """First forward or a further one: goes out, is held in the queue, or the GET is given up."""
        cache = self.pick_cache(get) if self.may_forward(get) else None
        if cache is None:
            self.give_up(get)
        elif blocked := self.blocked(get, cache):
            self.hold(get, blocked)
        else:
            self.forward(get, cache)

    def hold(self, get: Get, wants: Node | None) -> None:
        get.wants = wants
        if get.held < 0:
            get.held = self.now
            heappush(self.due, (min(self.now + get.service.hold, get.end), get.id, QUEUE))
        self.queue.append((get.attempts > 0, -get.density, get.held, get.id))

    def redispatch(self, sweep: bool = False) -> None:
        """Held GETs look for room again, in order; between sweeps, only those there may be room for."""
        waiting, self.queue = sorted(self.queue), []
        well = [n for n in self.caches if n.breaker.state == "Closed" and n.breaker.share >= 1]
        spill = bool(waiting) and any(self.full(n) < self.ample for n in well)
        for entry in waiting:
            if (get := self.gets.get(entry[3])) and get.held >= 0:
                node = get.wants
                if sweep or node is None or (spill and node.role == "cache") or not self.shut(node, get):
                    self.dispatch(get)
                else:
                    self.queue.append(entry)

    def forward(self, get: Get, cache: Node) -> None:
        now, told = self.now, get.service.told
        source = self.pick_source(get, cache)
        crowded = source.out >= source.limit or not self.fits(get)
        if (crowded or cache.run) and not get.lacked and not told.passes:
            source = cache  # or a cache in doubt: look first, and ask a source only for what is lacking
        copies = source.role == "parent" and not told.passes and get.lacked < 2 and self.strained()
        parts = [cache] if source is cache else [cache, source]
        if get.lacked == 2 and self.origin and source is not self.origin:
            parts.append(self.origin)  # behind a parent known to lack the object
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
        out = Out(get, get.attempts, cache, source, now, cost, copies, parts, trials, paid)
        get.attempts, get.held = get.attempts + 1, -1
        if not self.begins_later:
            self.began(out)
        get.out[out.attempt] = self.outs[get.id, out.attempt] = out
        age, plain = self.oldest(get, source is cache), source is not cache and not trials
        renew = told.fresh > 0 and not age and plain and self.warmth(source) >= 1
        join = self.told.joins and out.attempt == 0 and not trials
        self.actions.append(i.Forward(get.id, cache.name, source.name, 1, 0, age, join, renew, copies))
        heappush(self.due, (now + self.overdue(get), get.id, out.attempt))

    def still(self, now: int, gid: int, attempt: int) -> int:
        """Asked as its first byte is to be written, maybe later: the oldest copy that will do now; -1: it may
        not go, as its GET, the list or the window is over."""
        self.now, get = now, self.gets.get(gid)
        out = get.out.get(attempt) if get and now < get.end and self.may_repeat(get) else None
        if out is None or not all(n.active for n in out.parts):
            return -1
        self.began(out)
        return self.oldest(out.get, out.source is out.cache)

    def began(self, out: Out) -> None:
        """From here on it may have run."""
        if out.get.service.told.effect != "idempotent" and out.get.ran is None:
            out.sent, out.get.ran = self.now, (self.now, out.cache)

    def strained(self) -> bool:
        """The origin is Open, behind or slow (half its first limit), or most parents fail at once, which may
        be its fault: parents give what they hold, the rest waits. One that lacks it is known to be alive."""
        origin, doubt = self.origin, 2 * sum(n.breaker.run > 1 for n in self.parents) > len(self.parents)
        slow = origin is not None and origin.limit < 32 if self.noted else doubt
        return origin is not None and (slow or self.behind() > STRAIN or origin.breaker.state != "Closed")

    def fits(self, get: Get) -> bool:
        """Whether its fill still fits on the link into the location, by chance while that is over-full."""
        return get.luck * self.crowd() < 1.2  # 1.2 or 2: level on the days tried

    def behind(self) -> float:
        """How far the origin is behind; fades as a full link does, and for the same reason."""
        return 1.0 + (self.press - 1.0) * math.pow(2.0, (self.press_at - self.now) / FADE)

    def crowd(self) -> float:
        """How full the link in is; that fades, since GETs shed for it bring no fill that would ease it."""
        over = max(0.0, self.link - 1.0)
        return min(self.link, 1.0) + over * math.pow(2.0, (self.link_at - self.now) / FADE)

    def overdue(self, get: Get) -> int:
        """When a forward is looked at: past the usual, or twice that where its size is not told."""
        return int((1.0 if get.size else 2.0) * (get.size + get.service.usual))

    def order(self, nodes: tuple[Node, ...], get: Get) -> list[Node]:
        """Rendezvous order; caches by their told size, where one is told that stays."""
        if nodes not in get.orders:
            sized = self.sized and nodes is self.caches
            ranks = {n: -math.log(mix(get.hash, n.hash)) / (n.entry.units if sized else 1) for n in nodes}
            get.orders[nodes] = sorted(nodes, key=ranks.__getitem__)
        return get.orders[nodes]

    def pick_cache(self, get: Get) -> Node | None:
        """The object's home; a crowded one (by a hot object, say) spills in hash order to ample room."""
        fit = [n for n in self.order(self.caches, get) if self.usable(n, get) and self.keeps_scope(get, n)]
        if self.tiers:  # who fills a cache that only the list has is not told
            fit = [n for n in fit if self.tiers.has(n.name)]
        elif not fit and self.told.direct:
            fit = [n for n in self.sources(get) if self.keeps_scope(get, n)]
        spills = fit and self.full(fit[0]) >= self.high_watermark
        return next((n for n in fit if not spills or self.full(n) < self.ample), fit[0] if fit else None)

    def sources(self, get: Get) -> list[Node]:
        """Closed parents in hash order over all listed, then the origin, as far as cold budgets allow."""
        return [n for n in (*self.order(self.parents, get), self.origin) if n and self.usable(n, get)]

    def pick_source(self, get: Get, cache: Node) -> Node:
        sources = self.sources(get) if cache.role == "cache" else [self.origin or cache]
        if self.tiers:
            place, names = mix(get.hash, 0), [n.name for n in sources]
            sources = [self.nodes[name] for name in self.tiers.among(self.now, cache.name, place, names)]
        return next(iter(sources), cache)

    def usable(self, node: Node, get: Get) -> bool:
        if node in get.avoid or (node.breaker.state != "Closed" and not self.allows(node)):
            return False
        if node.breaker.share >= 1 and not node.entry.since:
            return True  # what follows says the same, for more work
        part = min(self.warmth(node), node.breaker.takes(self.now))  # the same objects at every gateway
        return (part >= 1 or mix(get.hash ^ 0x5DEECE66D, node.hash) < part) and self.cold_room(node, get)

    def allows(self, node: Node) -> bool:
        before, allowed = node.breaker.state, node.breaker.allows(self.now)
        if self.fleet and allowed and node.breaker.state == "Half-Open":
            allowed = self.fleet.turn(self.now, node.known, node.home, node.breaker.until)
        if node.breaker.state != before:
            self.actions.append(i.Trace(f"{node.role} {node.name} Half-Open"))
        return allowed

    def full(self, node: Node) -> float:
        """How full a cache is, 1: no more fits. What it told lately counts for all gateways of its place, or
        each takes its part. 2.2 to a transfer: by the objective's stretch half the pace will do."""
        limit, shared = node.limit, self.told.location_gateways
        if self.sized and node.role == "cache":
            limit = 2.2 * node.entry.units * self.warmth(node)
        if self.now - node.held_at >= S or shared == 1:  # old news could shut it for good
            return node.out / max(3.0, limit / shared)
        fresh = min(1.0, 1.5 - (self.now - node.held_at) / S)
        return max(node.out, node.held * fresh) / max(6.0, limit)

    def shut(self, node: Node, get: Get) -> bool:
        if node.role == "cache":  # what earns less for its sending time leaves the room above the mark
            return self.full(node) >= (1.0 if get.density > self.density else self.high_watermark)
        return node.out >= node.limit or not self.allows(node)

    def blocked(self, get: Get, cache: Node) -> Node | None:
        """Who has no room for it: its cache, or once a fill is known to be needed, who gives it."""
        source = self.pick_source(get, cache) if get.lacked else cache
        parts = (cache, source, self.origin if get.lacked == 2 else None)
        return next((n for n in parts if n and self.shut(n, get)), None)

    def may_forward(self, get: Get) -> bool:
        """Effect kinds: what may have run goes again only as its kind allows."""
        spent = self.now >= get.end or get.attempts >= self.told.max_forwards
        if spent or (get.out and not self.told.second_copies):
            return False
        return self.may_repeat(get)

    def may_repeat(self, get: Get) -> bool:
        told, began = get.service.told, get.ran[0] if get.ran else self.now
        kept = told.effect == "tokened" and self.now + self.told.tick < began + told.remembered
        return get.ran is None or kept or told.effect == "idempotent"

    def keeps_scope(self, get: Get, node: Node) -> bool:
        scope, entry = get.service.told.scope, node.entry
        ran = get.ran[1].entry if get.ran and scope != "all" else entry
        return entry.location == ran.location and (scope != "cell" or entry.cell == ran.cell)

    def may_shed(self, get: Get) -> bool:
        effect, scope = get.service.told.effect, get.service.told.scope
        return get.ran is None or effect == "idempotent" or (effect, scope) == ("tokened", "all")

    def warmth(self, node: Node) -> float:
        """Share of its capacity that a cache or parent is sure to have; 1: warm."""
        told, age = self.told, max(0, self.now - node.entry.since)
        caches, parents = (told.cold_share, told.cold_for), (told.parent_cold_share, told.parent_cold_for)
        share, lasts = parents if node.role == "parent" else caches
        warm = node.role == "origin" or not node.entry.since or age >= lasts
        return 1.0 if warm else share + (1 - share) * age / lasts

    def cold_room(self, node: Node, get: Get) -> bool:
        """Cold budget: this gateway's part of what a cold one bears, saved up where that is under one GET."""
        warmth, told = self.warmth(node), self.told
        if warmth >= 1:
            return True
        parent = node.role == "parent"
        multiple = told.parent_cold_multiple if parent else told.cold_multiple
        part = 1 / (told.gateways if parent else told.location_gateways)
        capacity = node.entry.units * (self.fleet.part(self.now, not parent) if self.fleet else part)
        if not self.sized:  # no size told: what warm ones like it get from this gateway
            like = [n for n in (self.parents if parent else self.caches) if self.warmth(n) >= 1]
            asked = sum(cost for n in like for when, cost in n.spent if when > self.now - 3 * S)
            capacity = asked / (3 * S * len(like)) if like else 0.0
        rate = 0.5 * multiple * warmth * capacity  # the rest is left to chance
        most = max(rate * told.cold_span, *(service.mean for service in self.services))
        if node.credit_at < node.entry.since:  # its start was just told: the gateways begin out of step
            node.credit, node.credit_at = self.chance.draw() * most, self.now
        node.credit, node.credit_at = min(most, node.credit + rate * (self.now - node.credit_at)), self.now
        return node.credit >= get.service.mean

    def oldest(self, get: Get, copies_only: bool) -> int:
        """Purge: the oldest copy that will do, until all have settled; 0: as fresh as the service wants."""
        told = get.service.told
        age = told.fresh + told.grace if copies_only and told.fresh and told.grace else 0
        purged = max(self.purges.get(get.thing, -1), self.purges.get(get.group, -1))
        if purged >= 0 and self.now - purged < self.told.purge_settles:
            return min(max(1, self.now - purged), age or told.fresh or MASK)
        return age

    def judge(self, out: Out, event: i.ForwardEnded | None) -> Node | None:
        """Whom a forward's trouble is put down to; None: it proves nothing. `event` is None for one overdue.
        Where a note tells, it holds. What is shed later than a cache's own is its source's, so is a run of
        silence while the cache answers others. Else the cache is in doubt, and is looked at first; a broken
        connection is one symptom, of the cache, however many forwards and sources were on it."""
        cache, source = out.cache, out.source
        if event and (event.note in (8, 9) or event.result in ("lacking", "unsent", "recalled")):
            return None
        if event and (event.note == 10 or event.result == "unreached"):
            return self.origin if event.note == 10 else cache
        if event and source is not cache and event.note in (6, 7):
            return self.waited(out) if event.took > S // 2 else source
        if event and source is not cache and event.result == "shed" and event.took > NEAR:
            last, self.refused = self.refused or source, source  # untold whose word: of several, the origin's
            several = not self.noted and last is not source
            return (several and self.origin) or out.parts[-1]  # the origin also where its parent lacked it
        if source is not cache and cache.ok_at > out.sent and (event is None or event.result != "broken"):
            source.run += 1
            return self.waited(out) if source.run >= LEAST else None
        cache.run += 1
        return cache if cache.run > 2 else None

    def waited(self, out: Out) -> Node | None:
        """A fill that ran out of time at a parent which gave others meanwhile waited for their origin; where
        that too gave some as usual, for a crowded cache. The last source Closed is not opened by silence."""
        source, sources = out.source, (*self.parents, self.origin)
        gave = source.role == "parent" and source.ok_at >= out.sent and not out.copies
        if (gave and self.noted) or len(out.parts) > 2:
            return self.origin if self.origin and self.origin.quick_at < out.sent else None
        return source if any(n and n is not source and n.breaker.state == "Closed" for n in sources) else None

    def note(self, node: Node, weight: float, trial: bool) -> None:
        self.seen(node, weight >= 1, trial and node.breaker.state == "Half-Open")
        self.changed(node, node.breaker.note(self.now, weight, trial))

    def seen(self, node: Node, bad: bool, tried: bool = False) -> None:
        if self.fleet and tried:
            self.fleet.tried(self.now, node.known, node.home, not bad)
        elif self.fleet:
            self.fleet.saw(self.now, node.known, node.home, bad)
        if self.tiers:
            self.tiers.saw(self.now, node.name, bad)

    def changed(self, node: Node, change: str) -> None:
        if change:
            self.actions.append(i.Trace(f"{node.role} {node.name} {change}", node.breaker.judged))
            if self.tiers:
                self.tiers.turned(node.name, change)

    def spared(self, node: Node) -> bool:
        """Whether another source is Closed, as the last one is not opened by what is told."""
        others = (*self.parents, self.origin) if not node.home else ()
        return node.home or any(n and n is not node and n.breaker.state == "Closed" for n in others)

    def ended(self, event: i.ForwardEnded) -> None:
        out = self.outs.pop((event.get, event.attempt), None)
        if out is None:
            return
        get, cache, source = out.get, out.cache, out.source
        get.out.pop(out.attempt, None)
        for node in out.parts:
            node.out -= 1
        if "held" in event.load:
            cache.held, cache.held_at = event.load["held"], self.now
        elif "busy" in event.load and self.sized:  # all cores busy: more than it shows, and more each time
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
            node.breaker.trying = False  # also where it proved nothing, as a hit does
        if good:
            self.learn(get, cache, event)
        elif event.result == "shed" and event.took <= NEAR and event.note != 9:
            cache.limit = max(8.0, min(cache.limit, max(cache.out, cache.held) + 1.0) * 0.95)
        if event.over:
            self.close(get)
        elif get.id in self.gets:
            if event.result in ("shed", "lacking", "unreached", "unsent") and get.ran == (out.sent, cache):
                get.ran = None  # proved not to have run; an earlier one that may have stays
            if event.result == "lacking" and (out.copies or (source is cache and not get.lacked)):
                get.lacked = 2 if out.copies else 1
                gives = self.origin and self.allows(self.origin) and get.luck * self.behind() < 1
                can = (gives or not out.copies) and self.fits(get)
                (self.dispatch if can and self.pick_source(get, cache) is not cache else self.give_up)(get)
            else:
                again = event.result == "broken" and get.attempts == 1  # once where its copy is
                doubt = source if event.result == "shed" and event.took > NEAR else cache
                if event.result != "recalled" and not again:
                    get.avoid.add(blamed if blamed and (self.noted or blamed in out.parts) else doubt)
                # what it asked for was given up, or never went out: it loads nobody twice
                self.retry_budget += again or event.result == "unsent"
                # what the origin refused reaches the same one by any way: while it is behind, by luck too
                fits = (event.note != 10 and blamed is not self.origin) or get.luck * self.behind() < 1
                if not get.out and self.retry_budget >= 1 and fits:
                    self.retry_budget -= 1  # spare ones only, against retry storms
                    self.hold(get, None)  # behind first forwards that wait
                elif not get.out:
                    self.give_up(get)
        self.redispatch()

    def source_ended(self, out: Out, event: i.ForwardEnded, blamed: Node | None, filled: bool) -> None:
        source, service, behind = out.source, out.get.service, event.note in (3, 10) or len(out.parts) > 2
        if event.result == "returned" and not filled:
            out.cost[1] = 0.0  # a hit asked nothing of it: a source is judged by fills
            if self.tiers:
                self.tiers.unspent(out.cache.name, source.name, out.paid)
        late = event.took > service.told.objective + service.told.stretch * (out.get.size or service.mean)
        judged = (self.origin if behind or (blamed is self.origin and not self.noted) else None) or source
        # where no first byte is told, a late fill (a recalled one too) thins a parent, but never opens it
        slow = 0.75 if late and not self.noted and judged.role == "parent" else 0.0
        if filled:
            if "link" not in event.load:
                ease = 0.99 if out.get.size else 0.97  # balances at a tenth late; unsized, large ones look so
                link = self.crowd()
                self.link = min(16.0, link * 1.1) if late else max(1.0, link * ease)
                self.link_at = self.now
            # half a failure: a first byte over this source's usual 95th percentile, after a window of fills
            source.filled_at = source.filled_at or self.now
            usual = source.first_byte or 2.0 * event.first_byte
            slow = 0.5 if event.first_byte > usual and self.now - source.filled_at > WINDOW else slow
            source.first_byte = usual * (1.019 if event.first_byte > usual else 0.999)
            source.ok_at, source.run, judged.quick_at = self.now, 0, judged.quick_at if slow else self.now
            self.note(judged, slow, judged in out.trials)
            if judged is not source:  # it passed on what the origin gave: others are told that it lives
                self.seen(source, False)
        elif blamed and blamed is not out.cache and (self.noted or blamed in out.parts):
            self.note(blamed, 1.0, blamed in out.trials)
        elif event.result == "recalled" and slow and out.cache.ok_at > out.sent:
            self.note(source, slow, False)
        if judged is self.origin and (filled or blamed is judged):
            # refused, or its first byte alone took the whole objective
            bad = not filled or event.first_byte > service.told.objective
            press = self.behind() * (BEHIND if bad else CATCHES_UP)
            self.press, self.press_at = min(16.0, max(1.0, press)), self.now
        if (org := self.origin) and (org is blamed or org is judged):
            # a dead one is the breaker's matter; the limit answers one that works, but over a tenth late
            if filled and not late and (org.out + 1 >= 0.8 * org.limit or event.note == 3):
                org.limit = min(64.0, org.limit + max(2 / org.limit, org.limit / 50 / self.told.gateways))
            elif (late and filled) or event.result in ("shed", "expired"):
                org.limit = max(4.0, org.limit * 0.95)

    def learn(self, get: Get, cache: Node, event: i.ForwardEnded) -> None:
        service, beyond = get.service, event.took - get.size  # its steps balance at the 95th percentile
        service.usual = max(10 * MS, service.usual * (1.019 if beyond > service.usual else 0.999))
        if not get.size and event.note != 2:
            service.mean += 0.02 * (event.took - service.mean)
        if get.size and event.note in (0, 1):
            if event.took > service.told.objective + service.told.stretch * get.size:
                cache.limit = max(3.0, cache.limit * 0.9)
            elif self.full(cache) >= 0.7:
                cache.limit += 16 / cache.limit

    def look(self, get: Get, out: Out) -> None:
        """An overdue forward: who is at fault, and would a second copy help?"""
        blamed = None if out.judged else self.judge(out, None)
        if blamed is not None:  # else it counts again: silent twice the usual is twice the sign
            out.judged = True
            get.avoid.add(blamed)
            self.note(blamed, 1.0, blamed in out.trials)
        if blamed is None and all(n.breaker.state == "Closed" for n in (out.cache, out.source)):
            return heappush(self.due, (self.now + self.overdue(get), get.id, out.attempt))
        further = len(get.out) == 1 and self.retry_budget >= 1 and get.service.told.effect == "idempotent"
        cache = self.pick_cache(get) if further and self.may_forward(get) else None
        if cache is not None and self.told.cancel and "Open" in (n.breaker.state for n in out.parts):
            self.actions.append(i.Recall(get.id, out.attempt))  # hung fills must not fill up a live cache
        elif cache is not None and not self.blocked(get, cache):
            self.retry_budget -= 1
            self.forward(get, cache)

    def give_up(self, get: Get) -> None:
        if get.out and self.now < get.end:  # one may still return
            return
        # soon enough for the objective still to be met, if room is found by then
        back = min(get.service.told.objective // 5, self.told.max_retry_after) if self.told.retry_after else 0
        self.actions.append(i.Shed(get.id, back) if self.may_shed(get) else i.Errored(get.id))
        self.close(get)

    def close(self, get: Get) -> None:
        self.gets.pop(get.id, None)
        self.recall(get, -1)

    def recall(self, get: Get, but: int) -> None:
        self.actions += [i.Recall(get.id, one) for one in get.out if self.told.cancel and one != but]

    def run_due(self, woken: bool) -> None:
        while woken and self.due and self.due[0][0] <= self.now:  # else more may lie ready, not told yet
            _, gid, what = heappop(self.due)
            get = self.gets.get(gid)
            if what == ASK:
                self.actions.append(i.AskForList())
            elif get and (what == END or (what == QUEUE and 0 <= get.held <= self.now - get.service.hold)):
                self.give_up(get)
            elif get and (out := get.out.get(what)):
                self.look(get, out)
        if woken and self.now - self.swept >= S // 10:
            self.swept, settled = self.now, self.now - self.told.purge_settles
            self.purges = {key: when for key, when in self.purges.items() if when > settled}
            self.redispatch(sweep=True)
        if self.due:
            when = min(self.due[0][0], self.now + S // 10) if self.queue else self.due[0][0]
            if self.armed <= self.now or when < self.armed:
                self.armed = max(when, self.now + 1)
                self.actions.append(i.Wake(self.armed - self.now))
