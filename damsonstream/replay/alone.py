"""A trace through the router alone: no sockets, no waiting, the decisions as they are.

How it is called: `Alone(setting).run(wishes)` plays a trace in virtual time and gives counts. One gateway,
caches that drop what was used longest ago, fills of a stated time, one source that may be slow for a while.
For quick study: what waits, fails or is crowded on a network is not in it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from damsonstream.replay.account import histogram, micros, percentiles
from damsonstream.replay.run import Wish
from damsonstream.routing import interface as i
from damsonstream.routing.router import Router
from damsonstream.standins.shelf import Copy, Shelf

S, MS = 10_000, 10
HIT, FILL, BEHIND = 5 * MS, 40 * MS, 60 * MS  # times to the answer: a hit, a hub's copy, the origin's


@dataclass(slots=True, frozen=True)
class Setting:
    caches: int = 3
    hubs: int = 2
    cache_bytes: int = 64 << 20
    hub_bytes: int = 256 << 20
    patience: float = 3.0
    slow: str = ""  # a node: p1, p2, o
    slow_from: float = 0.0
    slow_until: float = 0.0
    slow_by: float = 0.5  # seconds
    seed: int = 1


@dataclass(slots=True)
class Counts:
    outcomes: Counter[str] = field(default_factory=Counter)
    forwards: int = 0
    hits: int = 0
    fills: Counter[str] = field(default_factory=Counter)
    turns: list[tuple[float, str]] = field(default_factory=list)  # changes of breakers; the first thousand
    by_second: dict[int, Counter[str]] = field(default_factory=dict)


class Alone:
    def __init__(self, setting: Setting) -> None:
        self.setting = setting
        services = tuple(
            i.DeliveryService(
                name,
                4000,
                1.0,
                int(setting.patience * S),
                1.0,
                0.15,
                effect,
                "all",
                remembered,
                False,
                0,
                0,
                passes,
            )
            for name, effect, remembered, passes in (
                ("pages", "idempotent", 0, False),
                ("unlock", "tokened", 3 * S, True),
            )
        )
        told = i.Footprint(
            services=services,
            location="shop",
            gateways=1,
            location_gateways=1,
            models=("box", "hub", "vault"),
            parent_model="hub",
            origin_model="vault",
            weights="rough",
            ask_for_list=False,
            ask_within=10 * S,
            client_kb_per_s=0.0,
            notes="all",
            joins=True,
            direct=False,
            tick=20,
            cancel=True,
            second_copies=True,
            retry_after=True,
            max_forwards=6,
            max_retry_after=5000,
            cold_share=0.3,
            cold_for=4 * S,
            cold_multiple=4.0,
            cold_span=S,
            parent_cold_share=0.1,
            parent_cold_for=6 * S,
            parent_cold_multiple=4.0,
            purge_settles=S,
        )
        self.router, self.now, self.order = Router(), 0, 0
        self.events: list[tuple[int, int, Any]] = []
        self.counts, self.latency = Counts(), histogram()
        self.taken: dict[int, tuple[int, Wish]] = {}  # open GETs; emptied as they end
        self.attempts: dict[int, int] = {}
        self.out: dict[tuple[int, int], str] = {}  # forwards that are out, and where
        self.shelves = {f"c{n + 1}": Shelf(setting.cache_bytes) for n in range(setting.caches)}
        self.hubs = {f"p{n + 1}": Shelf(setting.hub_bytes) for n in range(setting.hubs)}
        self.tell(i.Started(setting.seed, told))
        entries = [i.Entry(name, "shop", "active", 24.0, n, "box", 0) for n, name in enumerate(self.shelves)]
        entries += [i.Entry(name, "hubs", "active", 64.0, n, "hub", 0) for n, name in enumerate(self.hubs)]
        entries.append(i.Entry("o", "hubs", "active", 48.0, 0, "vault", 0))
        self.tell(i.ListTold("full", tuple(entries)))

    def at(self, when: int, what: Any) -> None:
        self.order += 1
        heappush(self.events, (when, self.order, what))

    def run(self, wishes: Iterable[Wish]) -> dict[str, Any]:
        for wish in wishes:
            when = int(wish.at * S)
            self.until(when)
            self.now = max(self.now, when)
            self.taken[wish.place] = (self.now, wish)
            self.attempts[wish.place] = 0
            service = 1 if wish.tokened else 0
            left = int(self.setting.patience * S)
            self.tell(i.GetTaken(wish.place, left, service, wish.thing, int(wish.thing, 16) % 64, 0.0, False))
        while self.events and self.taken:
            self.until(self.events[0][0])
        return self.told()

    def until(self, when: int) -> None:
        while self.events and self.events[0][0] <= when:
            at, _, what = heappop(self.events)
            self.now = max(self.now, at)
            if what is None:
                self.tell(i.Woken())
            elif (what[0], what[1]) in self.out:
                self.ended(*what)

    def ended(self, get: int, attempt: int, result: str, took: int, first: int, note: int) -> None:
        cache = self.out.pop((get, attempt))
        good = result == "returned"
        if good and get in self.taken:
            self.finish(get, "returned")
        self.tell(i.ForwardEnded(get, attempt, cache, result, took, first, note, good))

    def finish(self, get: int, outcome: str) -> None:
        entry = self.taken.pop(get, None)
        if entry is None:
            return
        began, _ = entry
        self.counts.outcomes[outcome] += 1
        second = self.counts.by_second.setdefault(self.now // S, Counter())
        second[outcome] += 1
        if outcome == "returned":
            self.latency.record_value(micros((self.now - began) / S))

    def tell(self, event: i.Event) -> None:
        for action in self.router.handle(self.now, event):
            match action:
                case i.Forward():
                    self.forward(action)
                case i.Recall():
                    if (action.get, action.attempt) in self.out:
                        self.at(self.now, (action.get, action.attempt, "recalled", 0, 0, 0))
                case i.Shed():
                    self.finish(action.get, "shed")
                case i.Errored():
                    self.finish(action.get, "errored")
                case i.Wake():
                    self.at(self.now + action.after, None)
                case i.Trace():
                    if len(self.counts.turns) < 1000:
                        self.counts.turns.append((self.now / S, action.text))

    def slow(self, node: str) -> int:
        told = self.setting
        within = told.slow_from * S <= self.now < told.slow_until * S
        return int(told.slow_by * S) if node == told.slow and within else 0

    def forward(self, action: i.Forward) -> None:
        get, counts = action.get, self.counts
        attempt, self.attempts[get] = self.attempts[get], self.attempts[get] + 1
        counts.forwards += 1
        self.out[get, attempt] = action.cache
        wish = self.taken[get][1] if get in self.taken else None
        if wish is None:
            return self.at(self.now, (get, attempt, "unsent", 0, 0, 0))
        key, shelf = (wish.service, wish.thing, "0"), self.shelves.get(action.cache)
        if shelf is not None and shelf.find(key, self.now, 0) is not None:
            counts.hits += 1
            return self.at(self.now + HIT, (get, attempt, "returned", HIT, 0, 1))
        if action.source == action.cache:
            return self.at(self.now + HIT, (get, attempt, "lacking", HIT, 0, 0))
        copy = Copy(self.now, max(1, wish.size), 0)
        hub = self.hubs.get(action.source)
        if hub is not None and hub.find(key, self.now, 0) is not None:
            first, note = FILL + self.slow(action.source), 2
        elif hub is not None and action.copies:
            first = FILL + self.slow(action.source)
            return self.at(self.now + first, (get, attempt, "lacking", first, 0, 8))
        else:
            first, note = (
                BEHIND + self.slow(action.source) + (self.slow("o") if action.source != "o" else 0),
                3,
            )
            if hub is not None:
                hub.keep(key, copy)
        counts.fills[action.source if note == 2 else "o"] += 1
        if shelf is not None and not wish.tokened:
            shelf.keep(key, copy)
        return self.at(self.now + first + HIT, (get, attempt, "returned", first + HIT, first, note))

    def told(self) -> dict[str, Any]:
        counts = self.counts
        total = counts.outcomes.total()
        return {
            "gets": total,
            "outcomes": dict(sorted(counts.outcomes.items())),
            "forwards": counts.forwards,
            "hits": counts.hits,
            "fills": dict(sorted(counts.fills.items())),
            "latency_ms": percentiles(self.latency),
            "breakers": [{"at": at, "what": what} for at, what in counts.turns],
        }
