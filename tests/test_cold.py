"""Cold caches under the sum of all gateways, in virtual time: what a whole location asks of one that has just
started."""

from __future__ import annotations

import math
import random
import unittest
from dataclasses import replace
from heapq import heappop, heappush

from damsonstream.routing import interface as i
from damsonstream.routing.router import Router
from tests.helpers import FOOTPRINT, PAGES, TILES, S, entry

TOOK = (4000, 600)  # tenths of a millisecond that a GET of either service takes of a core
SHARE = 0.55  # of the GETs are of the first
MEAN = SHARE * TOOK[0] + (1 - SHARE) * TOOK[1]
WHOLE = replace(
    FOOTPRINT, services=(replace(TILES, revenue=2.0), replace(PAGES, fresh=0)), cold_share=0.21, cold_for=17 *
    S, cold_span=2 * S, cold_multiple=2.5, gateways=60,
)  # fmt: skip


class Location:
    """Gateways of one location, each with its own router and its own GETs; caches answer all, in their
    time."""

    def __init__(self, seed: int, count: int, caches: int, rate: float, units: float) -> None:
        self.chance, self.now, self.count = random.Random(seed), 100 * S, count
        self.told = replace(WHOLE, location_gateways=count)
        self.names = [f"c{n}" for n in range(caches)]
        self.units, self.rate = units, rate
        self.since = dict.fromkeys(self.names, 0)
        self.routers = [self.router(n) for n in range(count)]
        self.due: list[tuple[int, int, int, int, i.Forward, int]] = []
        self.numbers, self.asked = 0, list[tuple[int, str, float]]()
        self.services: dict[tuple[int, int], int] = {}

    def entries(self, names: list[str]) -> tuple[i.Entry, ...]:
        return tuple(entry(name, since=self.since[name], units=self.units) for name in names)

    def router(self, place: int) -> Router:
        router = Router()
        router.handle(self.now, i.Started(self.chance.randrange(1 << 60), self.told))
        router.handle(self.now, i.ListTold("full", (*self.entries(self.names), entry("p1"), entry("o"))))
        return router

    def act(self, place: int, actions: list[i.Action]) -> None:
        for action in actions:
            if isinstance(action, i.Forward):
                service = self.services[place, action.get]
                took = int(TOOK[service] * self.chance.uniform(0.85, 1.15))
                self.asked.append((self.now, action.cache, float(took)))
                attempt = self.routers[place].gets[action.get].attempts - 1
                heappush(self.due, (self.now + took, self.numbers, place, attempt, action, took))
                self.numbers += 1

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * S)
        while self.now < until:
            step = self.now + int(self.chance.expovariate(self.rate * self.count) * S)
            while self.due and self.due[0][0] <= step:
                self.now, _, place, attempt, forward, took = heappop(self.due)
                ended = i.ForwardEnded(forward.get, attempt, forward.cache, "returned", took, 0, 1, True)
                self.act(place, self.routers[place].handle(self.now, ended))
            self.now = step
            place, service = self.chance.randrange(self.count), int(self.chance.random() > SHARE)
            self.numbers += 1
            self.services[place, self.numbers] = service
            thing = f"/o/{int(2 ** self.chance.uniform(0, 12))}"
            taken = i.GetTaken(
                self.numbers, WHOLE.services[service].viewer_timeout, service, thing, 1, 0.0, False
            )
            self.act(place, self.routers[place].handle(self.now, taken))

    def start(self, name: str, spread: float) -> None:
        """A new process, told to each gateway within the spread."""
        self.since[name] = self.now
        for place, router in enumerate(self.routers):
            self.run(spread / self.count)
            self.act(place, router.handle(self.now, i.ListTold("changes", self.entries([name]))))

    def most_over(self, name: str) -> float:
        """Most that any span saw of what the rule bears: over 1, the cache falls."""
        since, span, most = self.since[name], WHOLE.cold_span, 0.0
        asked = [
            (at, work)
            for at, cache, work in self.asked
            if cache == name and since <= at < since + WHOLE.cold_for
        ]
        first, total = 0, 0.0
        for at, work in asked:
            total += work
            while asked[first][0] < at - span:
                total -= asked[first][1]
                first += 1
            warmth = WHOLE.cold_share + (1 - WHOLE.cold_share) * (at - since) / WHOLE.cold_for
            bears = WHOLE.cold_multiple * warmth * self.units * span / MEAN
            most = max(most, total / MEAN / (bears + 2 * math.sqrt(bears) + 2))
        return most


class Cold(unittest.TestCase):
    def worst(self, seeds: range, count: int, restarts: bool = False) -> float:
        worst = 0.0
        for seed in seeds:
            place = Location(seed, count, 4, 8.0, 7.0)
            place.run(3)
            place.start("c1", 0.4)
            for _ in range(4):
                if restarts:  # a tenth begin with nothing, and don't know what the others asked
                    for n in place.chance.sample(range(count), max(1, count // 10)):
                        place.routers[n] = place.router(n)
                place.run(1.0)
            worst = max(worst, place.most_over("c1"))
            self.assertTrue(any(cache == "c1" for _, cache, _ in place.asked))
        return worst

    def test_many_gateways_together_do_not_push_over_a_cold_cache(self) -> None:
        for count in (8, 25):
            self.assertLess(self.worst(range(3), count), 1.0)

    def test_nor_while_some_begin_with_nothing(self) -> None:
        self.assertLess(self.worst(range(3), 25, True), 1.0)
