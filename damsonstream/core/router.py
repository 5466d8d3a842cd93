"""All decisions of one gateway.

How it is called: `Router().handle(now, event)` takes what happened and returns what is to be done, in order. The
first event is Started. Types of events and actions: `damsonstream.core.interface`. Nothing is shared between routers.
Times are whole tenths of a millisecond. docs/design.md tells the design's words (Closed, Open, Half-Open, trial).
"""

from __future__ import annotations

import math
from collections import deque
from hashlib import blake2b
from heapq import heappop, heappush

from damsonstream.core import interface as i

MASK = (1 << 64) - 1
MS, S = 10, 10_000


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


class Breaker:
    """The design's three-state switch over a rolling window of weighted failures."""

    WINDOW, BUCKETS = 3 * S, 100
    SHARE = 0.5  # the design's
    LEAST = 5
    COOL_DOWN, LONGEST = 5 * S, 300 * S  # the design's start, and the document's cap
    JITTER = 0.25  # up to so much on top, so that gateways do not try in step
    SPACING = S // 2  # between trials, the design's
    MAJORITY = 2  # of three trials, the design's

    def __init__(self, chance: Chance) -> None:
        self.chance = chance
        self.reset()

    def reset(self) -> None:
        self.state = "Closed"
        self.cool_down = self.COOL_DOWN
        self.until = 0  # of Open: end of the cool-down; of Half-Open: when the next trial may go
        self.trying = False
        self.good = 0
        self.buckets: deque[list[float]] = deque()  # start, count, failures; emptied as the window rolls
        self.count = self.failures = 0.0

    def allows(self, now: int) -> bool:
        if self.state == "Open" and now >= self.until:
            self.state, self.good, self.trying = "Half-Open", 0, False
        return self.state == "Closed" or (self.state == "Half-Open" and not self.trying and now >= self.until)

    def trial_sent(self) -> None:
        self.trying = True

    def trial_void(self) -> None:
        """The trial proved nothing (a hit, say): the next may go at once."""
        self.trying = False

    def note(self, now: int, weight: float, trial: bool) -> str:
        """Enters a finished fill (weight 0: good); returns the new state where it changes."""
        if self.state == "Half-Open" and trial:
            self.trying = False
            self.until = now + self.SPACING
            if weight >= 1:
                self.cool_down = min(2 * self.cool_down, self.LONGEST)
                return self.open(now)
            self.good += 1
            if self.good >= self.MAJORITY:
                self.reset()
                return "Closed"
            return ""
        if self.state != "Closed":
            return ""
        start = now - now % (self.WINDOW // self.BUCKETS)
        if not self.buckets or self.buckets[-1][0] != start:
            self.buckets.append([start, 0.0, 0.0])
        self.buckets[-1][1] += 1
        self.buckets[-1][2] += weight
        self.count += 1
        self.failures += weight
        while self.buckets[0][0] <= now - self.WINDOW:
            _, count, failures = self.buckets.popleft()
            self.count -= count
            self.failures -= failures
        if self.count >= self.LEAST and self.failures > self.SHARE * self.count:
            return self.open(now)
        return ""

    def open(self, now: int) -> str:
        cool_down = self.cool_down
        self.state, self.until = "Open", now + int(cool_down * (1 + self.JITTER * self.chance.draw()))
        self.buckets.clear()
        self.count = self.failures = 0.0
        return "Open"


class Service:
    """One row of the table of delivery services: what was told, and what was seen."""

    def __init__(self, told: i.DeliveryService) -> None:
        self.told = told
        self.mean = float(told.objective)  # sending time; starts high, which is careful with cold caches
        self.usual = float(told.objective) / 2  # high percentile of the time beyond a told sending time
        self.hold = (
            told.objective // 2
        )  # held longer, the objective is not to be met: the other half is for sending

    def density(self) -> float:
        return self.told.revenue / self.mean


class Node:
    """A cache, parent or origin of the list."""

    def __init__(self, place: int, entry: i.Entry, role: str, chance: Chance) -> None:
        self.place, self.name, self.role = place, entry.cache, role
        self.hash = digest(entry.cache)
        self.breaker = Breaker(chance)
        self.entry = entry
        self.active = False
        self.out = 0  # forwards out to it
        self.ok_at = -S  # last good sign: of a cache any, of a source a fill
        self.limit = 64.0  # forwards out, where no size is told; found by trying
        self.spent: deque[list[float]] = (
            deque()
        )  # time and sending time asked of it; emptied as the span rolls
        self.flow = 0.0  # sending time asked of it, per tenth of a ms, smoothed
        self.flow_at = 0
        self.first_byte = 0.0  # usual high percentile, 0: none seen


class Out:
    """A forward that is out."""

    __slots__ = ("cache", "cost", "fill_trial", "get", "judged", "leg", "sent", "source", "trial")

    def __init__(self, get: Get, leg: int, cache: Node, source: Node, sent: int) -> None:
        self.get, self.leg, self.cache, self.source, self.sent = get, leg, cache, source, sent
        self.trial = self.fill_trial = False
        self.cost: list[list[float]] = []
        self.judged = False


class Get:
    """A GET that waits for its final answer."""

    __slots__ = (
        "avoid",
        "end",
        "group",
        "hash",
        "held",
        "id",
        "legs",
        "out",
        "over",
        "ran",
        "service",
        "size",
        "streamed",
        "taken",
        "thing",
        "want",
    )  # fmt: skip

    def __init__(self, event: i.GetTaken, service: Service, now: int, size: int) -> None:
        self.id, self.service, self.size = event.get, service, size
        self.hash, self.thing, self.group = digest(event.thing), event.thing, event.group
        self.taken, self.end = now, now + event.left
        self.legs = 0
        self.out: dict[int, Out] = {}
        self.avoid: set[int] = set()
        self.ran: tuple[int, Node] | None = None  # first forward that may have run
        self.held = -1  # since when, -1: not held
        self.streamed = self.over = False
        self.want = 0  # place of the cache in whose line it is held


class Router:
    def __init__(self) -> None:
        self.now = 0

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        self.now = now
        self.actions: list[i.Action] = []
        match event:
            case i.Started():
                self.start(event)
            case i.ListTold():
                self.list_told(event)
            case i.GetTaken():
                self.taken(event)
            case i.ForwardEnded():
                self.ended(event)
            case i.Purged():
                key = event.thing or event.group
                self.purges[key] = max(self.purges.get(key, 0), now - event.age)
            case i.ClientLeft():
                if get := self.gets.get(event.get):
                    self.close(get)
            case i.AnswerStarted():
                if get := self.gets.get(event.get):
                    get.streamed = True
                    self.recall(get, event.leg)
        self.run_due()
        return self.actions

    def start(self, event: i.Started) -> None:
        told = self.told = event.footprint
        self.chance = Chance(event.seed)
        self.services = [Service(service) for service in told.services]
        self.places: dict[str, Node] = {}  # every cache ever listed; as long as the site's list
        self.nodes: list[Node] = []
        self.caches: list[Node] = []
        self.parents: list[Node] = []
        self.origin: Node | None = None
        self.gets: dict[int, Get] = {}  # emptied by final answers
        self.outs: dict[tuple[int, int], Out] = {}  # emptied by the end of each forward
        self.due: list[
            tuple[int, int, int]
        ] = []  # when, GET, leg (-1: its end, -2: its line); emptied as time passes
        self.armed = -1
        self.lines: list[list[tuple[bool, float, int, int]]] = []  # by cache: further, density, since, GET
        self.purges: dict[str | int, int] = {}  # object or group: when; emptied when copies have settled
        self.swept = 0
        self.spare = 10.0  # further forwards that may still go
        self.asks = 0
        if told.ask_for_list:
            self.actions.append(i.AskForList())

    def list_told(self, event: i.ListTold) -> None:
        if event.kind == "lost":
            self.asks += 1
            wait = min(S << min(self.asks, 6), max(S, self.told.ask_within // 8))
            self.plan(self.now + int(wait * (0.5 + self.chance.draw())), 0, -3)
            return
        self.asks = 0
        listed = set()
        for entry in event.entries:
            node = self.places.get(entry.cache)
            if node is None:
                role = "cache" if entry.location == self.told.location else ""
                role = "parent" if entry.model == self.told.parent_model and self.told.parent_model else role
                role = "origin" if entry.model == self.told.origin_model else role
                node = self.places[entry.cache] = Node(len(self.nodes), entry, role, self.chance)
                self.nodes.append(node)
                self.lines.append([])
            elif entry.since != node.entry.since and entry.since:
                node.breaker.reset()  # a new process: what was seen of the old one says nothing
            node.entry = entry
            node.active = entry.state == "active"
            listed.add(node.place)
        if event.kind in ("full", "cached"):
            for node in self.nodes:
                node.active = node.active and node.place in listed
        self.caches = [n for n in self.nodes if n.role == "cache" and n.active]
        self.parents = [n for n in self.nodes if n.role == "parent" and n.active]
        self.origin = next((n for n in self.nodes if n.role == "origin" and n.active), None)
        self.redispatch()

    def taken(self, event: i.GetTaken) -> None:
        service = self.services[event.service]
        size = int(event.size_kb / self.told.client_kb_per_s * S) if self.told.client_kb_per_s else 0
        if size:
            service.mean += 0.02 * (size - service.mean)
        get = Get(event, service, self.now, size)
        self.gets[get.id] = get
        self.spare = min(20.0, self.spare + 0.2)
        # final answer in time: one tick before the client leaves, so that the answer is never late
        self.plan(max(self.now, get.end - self.told.tick), get.id, -1)
        self.dispatch(get)

    def dispatch(self, get: Get) -> None:
        """First forward, or a further one: sends, holds in line, or gives up."""
        if get.legs >= self.told.max_forwards or not self.may_forward(get):
            return self.give_up(get)
        cache = self.pick_cache(get)
        if cache is None:
            return self.give_up(get)
        if not self.has_room(cache, get):
            return self.hold(get, cache)
        self.forward(get, cache)

    def hold(self, get: Get, cache: Node) -> None:
        if get.held < 0:
            get.held = self.now
            self.plan(min(self.now + get.service.hold, get.end - self.told.tick), get.id, -2)
        get.want = cache.place
        heappush(self.lines[cache.place], (get.legs > 0, -get.service.density(), get.held, get.id))

    def drain_line(self, cache: Node) -> None:
        line = self.lines[cache.place]
        while line:
            get = self.gets.get(line[0][3])
            if get is None or get.held < 0 or get.want != cache.place:
                heappop(line)
                continue
            if not self.has_room(cache, get) or self.pick_cache(get) is not cache:
                return
            heappop(line)
            self.forward(get, cache)

    def redispatch(self) -> None:
        """Held GETs look for a cache again, after a change of the list or of a breaker."""
        waiting = sorted(entry for line in self.lines for entry in line)
        for line in self.lines:
            line.clear()
        for entry in waiting:
            get = self.gets.get(entry[3])
            if get is not None and get.held >= 0:
                self.dispatch(get)

    def forward(self, get: Get, cache: Node) -> None:
        now, told = self.now, get.service.told
        source = self.pick_source(get, cache)
        out = Out(get, get.legs, cache, source, now)
        get.legs += 1
        get.held = -1
        if told.effect != "idempotent" and get.ran is None:
            get.ran = (now, cache)
        get.out[out.leg] = out
        self.outs[get.id, out.leg] = out
        cache.out += 1
        out.trial = cache.breaker.state != "Closed"
        if out.trial:
            cache.breaker.trial_sent()
        out.fill_trial = source is not cache and source.breaker.state != "Closed"
        if out.fill_trial:
            source.breaker.trial_sent()
        for node in {cache.place, source.place}:
            out.cost.append(self.spend(self.nodes[node], get))
        age = self.oldest(get, source is cache)
        renew = (
            told.fresh > 0
            and age == 0
            and not out.fill_trial
            and source is not cache
            and not self.cold(source)
        )
        self.actions.append(
            i.Forward(
                get.id,
                cache.name,
                source.name,
                rank=1,
                patience=0,
                age=age,
                join=self.told.joins and get.legs == 1 and not out.fill_trial,
                renew=renew,
            )  # fmt: skip
        )
        self.plan(now + self.suspect_after(get), get.id, out.leg)

    def suspect_after(self, get: Get) -> int:
        """A forward out longer than half again the usual is looked at."""
        return int(1.5 * (get.size + get.service.usual))

    def order(self, nodes: list[Node], get: Get) -> list[Node]:
        """Rendezvous order, by told size where the sizes stay as told."""
        if self.told.weights in ("nominal", "rough") and nodes and nodes[0].role == "cache":
            return sorted(
                nodes, key=lambda n: math.log(mix(get.hash, n.hash)) / max(n.entry.units, 1e-6), reverse=True
            )
        return sorted(nodes, key=lambda n: mix(get.hash, n.hash), reverse=True)

    def pick_cache(self, get: Get) -> Node | None:
        first = None
        for node in self.order(self.caches, get):
            if node.place in get.avoid or not self.usable(node, get) or not self.keeps_scope(get, node):
                continue
            if first is None:
                first = node
                if self.has_room(node, get):
                    return node
            elif node.out <= 0.5 * self.limit(node):
                # a crowded home (a hot object, say) spills in hash order, only to a cache with ample room
                return node
        if first is None and self.told.direct:
            return next((n for n in self.sources(get) if self.keeps_scope(get, n)), None)
        return first

    def sources(self, get: Get) -> list[Node]:
        """Parents in hash order, then the origin, as far as breakers and cold budgets allow."""
        found = [n for n in self.order(self.parents, get) if n.place not in get.avoid and self.usable(n, get)]
        if self.origin and self.origin.place not in get.avoid and self.origin.breaker.allows(self.now):
            found.append(self.origin)
        return found

    def pick_source(self, get: Get, cache: Node) -> Node:
        if cache.role != "cache":
            return cache
        return next(iter(self.sources(get)), cache)

    def usable(self, node: Node, get: Get) -> bool:
        return node.breaker.allows(self.now) and self.cold_room(node, get)

    def limit(self, node: Node) -> float:
        """Forwards out at which a cache is full for this gateway: three to a told transfer keep a third of the pace,
        which the stretch of the objective still bears; each gateway takes its part."""
        if self.told.weights in ("nominal", "rough"):
            return max(4.0, 3.0 * node.entry.units / self.told.location_gateways)
        return node.limit

    def has_room(self, node: Node, get: Get) -> bool:
        return node.role != "cache" or node.out < self.limit(node)

    def may_forward(self, get: Get) -> bool:
        """Effect kinds: what may have run goes again only as its kind allows."""
        if get.over or get.streamed or self.now >= get.end - self.told.tick:
            return False
        if get.out and not self.told.second_copies:
            return False
        told = get.service.told
        if get.ran is None or told.effect == "idempotent":
            return True
        return told.effect == "tokened" and self.now + self.told.tick < get.ran[0] + told.remembered

    def keeps_scope(self, get: Get, node: Node) -> bool:
        if get.ran is None or get.service.told.scope == "all":
            return True
        before = get.ran[1].entry
        if get.service.told.scope == "zone":
            return node.entry.location == before.location
        return node.entry.location == before.location and node.entry.cell == before.cell

    def may_shed(self, get: Get) -> bool:
        told = get.service.told
        return (
            told.effect == "idempotent"
            or get.ran is None
            or (told.effect == "tokened" and told.scope == "all")
        )

    def warmth(self, node: Node) -> float:
        """Share of its capacity that a cache or parent is sure to have; 1: warm."""
        told = self.told
        share, lasts = told.cold_share, told.cold_for
        if node.role == "parent":
            share, lasts = told.parent_cold_share, told.parent_cold_for
        age = self.now - node.entry.since
        if node.role == "origin" or not node.entry.since or age >= lasts:
            return 1.0
        return share + (1 - share) * max(0, age) / lasts

    def cold(self, node: Node) -> bool:
        return self.warmth(node) < 1

    def cold_room(self, node: Node, get: Get) -> bool:
        """Cold budget. A cold cache or parent gets the objects of its warm share, the same at every gateway, and in
        any span no more than this gateway's part of what it can bear (against misses that come all at once)."""
        warmth = self.warmth(node)
        if warmth >= 1:
            return True
        if mix(get.hash ^ 0x5DEECE66D, node.hash) > warmth:
            return False
        told = self.told
        multiple, sharers = told.cold_multiple, told.location_gateways
        if node.role == "parent":
            multiple, sharers = told.parent_cold_multiple, told.gateways
        if told.weights in ("nominal", "rough"):
            capacity = node.entry.units / sharers
        else:  # no size told: what warm ones like it get from this gateway
            flows = [
                self.flow(n) for n in self.nodes if n.role == node.role and n.active and not self.cold(n)
            ]
            capacity = sum(flows) / len(flows) if flows else 0.0
        while node.spent and node.spent[0][0] <= self.now - told.cold_span:
            node.spent.popleft()
        room = 0.6 * multiple * warmth * capacity * told.cold_span  # the rest is for chance
        return sum(cost for _, cost in node.spent) + get.service.mean <= room

    def spend(self, node: Node, get: Get) -> list[float]:
        cost = [float(self.now), get.service.mean]
        node.spent.append(cost)
        while node.spent[0][0] <= self.now - self.told.cold_span:
            node.spent.popleft()
        node.flow = self.flow(node) + cost[1] / (3 * S)
        node.flow_at = self.now
        return cost

    def flow(self, node: Node) -> float:
        return node.flow * math.exp((node.flow_at - self.now) / (3 * S))

    def oldest(self, get: Get, copies_only: bool) -> int:
        """Purge: the oldest copy that will do; 0: as fresh as the delivery service wants."""
        told = get.service.told
        purged = max(self.purges.get(get.thing, -1), self.purges.get(get.group, -1))
        age = told.fresh + told.grace if copies_only and told.fresh and told.grace else 0
        if purged >= 0 and self.now - purged < self.told.purge_settles:
            bound = max(1, self.now - purged)
            return min(bound, age or told.fresh or bound)
        return age

    def judge(self, out: Out, event: i.ForwardEnded | None) -> tuple[Node | None, float]:
        """Whom a forward's trouble is put down to; None: it proves nothing. `event` is None for one that is overdue.

        Where a note tells, the note holds. Else the one that gave no good sign meanwhile is at fault; where both
        gave some, neither; where neither did, the cache, so that a dead cache opens no source."""
        if event is not None:
            if event.note in (8, 9) or event.result in ("lacking", "unsent", "recalled"):
                return None, 0.0
            if event.note in (6, 7) and out.source is not out.cache:
                return out.source, 1.0
            if event.note == 10:
                return self.origin, 1.0
            if event.result == "unreached":
                return out.cache, 1.0
        since = min(out.sent, self.now - S)
        cache_ok, source_ok = out.cache.ok_at >= since, out.source.ok_at >= since
        if not cache_ok:
            return out.cache, 1.0
        if not source_ok and out.source is not out.cache:
            return out.source, 1.0
        return None, 0.0

    def note(self, node: Node, weight: float, trial: bool) -> None:
        change = node.breaker.note(self.now, weight, trial)
        if change:
            self.actions.append(i.Trace(f"{node.role} {node.name} {change}"))
            if change == "Open":
                for get in list(self.gets.values()):
                    if any(node in (out.cache, out.source) for out in get.out.values()):
                        self.plan(self.now, get.id, max(get.out))
            self.redispatch()

    def ended(self, event: i.ForwardEnded) -> None:
        out = self.outs.pop((event.get, event.leg), None)
        if out is None:
            return
        get, cache, source = out.get, out.cache, out.source
        get.out.pop(out.leg, None)
        cache.out -= 1
        good = event.result == "returned"
        filled = event.note in (2, 3) or (good and self.told.notes == "none")
        if good or event.result == "lacking":
            cache.ok_at = self.now
        if good and not filled:
            for cost in out.cost[1:]:
                cost[1] = 0.0  # a hit asked nothing of the source
        blamed, weight = (None, 0.0) if good or out.judged else self.judge(out, event)
        if good or event.result == "lacking" or blamed is cache:
            self.note(cache, weight if blamed is cache else 0.0, out.trial)
        elif out.trial and not out.judged:
            cache.breaker.trial_void()
        if good and filled and source is not cache:
            source.ok_at = self.now
            slow = self.slow(source, event.first_byte)
            self.note(
                self.origin if slow and event.note == 3 and self.origin else source, slow, out.fill_trial
            )
        elif blamed is source or (blamed is self.origin and blamed is not None and blamed is not cache):
            self.note(blamed, weight, out.fill_trial and blamed is source)
        elif out.fill_trial and not out.judged:
            source.breaker.trial_void()
        if good:
            self.learn(get, out, event)
        elif event.result == "shed" and blamed is not source:
            cache.limit = max(2.0, min(cache.limit, cache.out + 1.0))
        if event.over or get.over:
            if not get.over:
                self.close(get)
        elif blamed is not None or event.result in (
            "shed",
            "errored",
            "unreached",
            "broken",
            "lacking",
            "unsent",
        ):
            get.avoid.add((blamed or cache).place)
            if event.result in ("shed", "lacking", "unreached", "unsent") and not get.out:
                get.ran = None  # proved not to have run
            self.further(get)
        elif not get.out:
            self.further(get)
        self.drain_line(cache)

    def slow(self, source: Node, first_byte: int) -> float:
        """Half a failure where the first byte came later than this source's usual high percentile (95th)."""
        if not first_byte:
            return 0.0
        if not source.first_byte:
            source.first_byte = 2.0 * first_byte
        late = first_byte > source.first_byte
        source.first_byte *= 1.019 if late else 0.999
        return 0.5 if late else 0.0

    def learn(self, get: Get, out: Out, event: i.ForwardEnded) -> None:
        service = get.service
        beyond = event.took - get.size
        service.usual = max(
            10 * MS, service.usual * (1.019 if beyond > service.usual else 0.999)
        )  # 95th percentile
        if not get.size and event.note != 2:
            service.mean += 0.02 * (event.took - service.mean)
        if get.size > 50 * MS:  # a pace is seen only where sending takes a while
            cache = out.cache
            if event.took > 3 * get.size + service.told.objective // 4:
                cache.limit = max(4.0, cache.limit * 0.98)
            elif cache.out + 1 >= 0.8 * cache.limit:
                cache.limit += 1 / cache.limit

    def further(self, get: Get) -> None:
        """A further forward, if none is out, its kind allows it and spare ones are left (against retry storms)."""
        if get.out or get.id not in self.gets or get.streamed:
            return
        if self.spare < 1 or get.legs >= 4:
            return self.give_up(get)
        self.spare -= 1
        self.dispatch(get)

    def look(self, get: Get, out: Out) -> None:
        """An overdue forward: who is at fault, and would a second copy help?"""
        if not out.judged:
            blamed, weight = self.judge(out, None)
            if blamed is not None:
                out.judged = True
                get.avoid.add(blamed.place)
                self.note(blamed, weight, out.trial if blamed is out.cache else out.fill_trial)
        bad = out.judged or any(n.breaker.state == "Open" for n in (out.cache, out.source))
        if not bad:
            self.plan(self.now + self.suspect_after(get), get.id, out.leg)
        elif len(get.out) == 1 and get.legs < 4 and self.spare >= 1 and get.legs < self.told.max_forwards:
            idempotent = get.service.told.effect == "idempotent"
            cache = self.pick_cache(get) if idempotent and self.may_forward(get) else None
            if cache is not None and self.has_room(cache, get):
                self.spare -= 1
                self.forward(get, cache)

    def give_up(self, get: Get) -> None:
        if get.out and self.now < get.end - self.told.tick:
            return  # one may still return
        if self.may_shed(get):
            self.actions.append(i.Shed(get.id, self.told.max_retry_after if self.told.retry_after else 0))
        else:
            self.actions.append(i.Errored(get.id))
        self.close(get)

    def close(self, get: Get) -> None:
        get.over = True
        self.gets.pop(get.id, None)
        self.recall(get, -1)

    def recall(self, get: Get, but: int) -> None:
        if self.told.cancel:
            self.actions.extend(i.Recall(get.id, leg) for leg in get.out if leg != but)

    def plan(self, when: int, get: int, what: int) -> None:
        heappush(self.due, (when, get, what))

    def run_due(self) -> None:
        while self.due and self.due[0][0] <= self.now:
            _, gid, what = heappop(self.due)
            if what == -3:
                self.actions.append(i.AskForList())
                continue
            get = self.gets.get(gid)
            if get is None or get.streamed:
                continue
            if what == -1 or (what == -2 and 0 <= get.held <= self.now - get.service.hold):
                self.give_up(get)
            elif what >= 0 and (out := get.out.get(what)):
                self.look(get, out)
        if self.now - self.swept >= S // 10:
            self.swept = self.now
            settled = self.now - self.told.purge_settles
            if self.purges:
                self.purges = {key: when for key, when in self.purges.items() if when > settled}
            if any(self.lines):
                self.redispatch()
        when = self.due[0][0] if self.due else -1
        if any(self.lines):
            when = min(when, self.now + S // 10) if when >= 0 else self.now + S // 10
        if when >= 0 and (self.armed <= self.now or when < self.armed):
            self.armed = when
            self.actions.append(i.Wake(max(1, when - self.now)))
