"""Shares of the largest objects of a service, in virtual time: what is shed and what ends late must not be
the large ones alone. The gateway on sockets is told no sizes."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace
from heapq import heappop, heappush

from damsonstream.routing import interface as i
from damsonstream.routing.router import Router
from tests.helpers import FOOTPRINT, PAGES, TILES, S, entry

CORES, QUEUE = 6, 24  # of a cache; what waits there
MEAN = (
    0.15 * S
)  # of a core, for an object; the largest tenth takes about five times as long as the middle one
SPREAD = 1.0  # of the logarithm of sizes
TOLD = replace(FOOTPRINT, services=(TILES, replace(PAGES, fresh=0)), weights="nominal")
WAKE, END, SHED, RECALLED = 0, 1, 2, 3


class Location:
    """Gateways of one location before caches that hold all, take what has room and work in order."""

    def __init__(self, seed: int, gateways: int = 4, caches: int = 4, hung: int = 0) -> None:
        self.chance, self.now = random.Random(seed), 100 * S
        self.names = [f"c{n}" for n in range(caches)]
        self.hung = set(self.names[:hung])
        self.cores = {name: [self.now] * CORES for name in self.names}  # when each is free
        self.due: list[tuple[int, int, int, int, int, int]] = []
        self.numbers = 0
        self.work: dict[int, int] = {}
        self.taken: list[tuple[int, int]] = []  # GET and service
        self.returned = set[int]()
        told = replace(TOLD, location_gateways=gateways, gateways=gateways)
        self.routers = [Router() for _ in range(gateways)]
        for place, router in enumerate(self.routers):
            self.act(place, router.handle(self.now, i.Started(self.chance.randrange(1 << 60), told)))
            entries = (*(entry(name, units=CORES) for name in self.names), entry("p1"), entry("o"))
            self.act(place, router.handle(self.now, i.ListTold("full", entries)))

    def later(self, at: int, place: int, what: int, get: int = 0, attempt: int = 0) -> None:
        self.numbers += 1
        heappush(self.due, (at, self.numbers, place, what, get, attempt))

    def act(self, place: int, actions: list[i.Action]) -> None:
        for action in actions:
            if isinstance(action, i.Wake):
                self.later(self.now + action.after, place, WAKE)
            elif isinstance(action, i.Forward):
                self.begin(place, action.get, action.cache)
            elif isinstance(action, i.Recall):
                self.later(self.now, place, RECALLED, action.get, action.attempt)

    def begin(self, place: int, get: int, cache: str) -> None:
        attempt = self.routers[place].gets[get].attempts - 1
        if cache in self.hung:
            return
        free = self.cores[cache]
        first = min(range(CORES), key=free.__getitem__)
        if sum(max(0, at - self.now) for at in free) > (CORES + QUEUE) * MEAN:
            return self.later(self.now + 20, place, SHED, get, attempt)
        free[first] = max(self.now, free[first]) + self.work[get]
        self.later(free[first], place, END, get, attempt)

    def step(self) -> None:
        self.now, _, place, what, get, attempt = heappop(self.due)
        router = self.routers[place]
        if what == WAKE:
            return self.act(place, router.handle(self.now, i.Woken()))
        out = router.outs.get((get, attempt))
        if out is None:
            return  # recalled
        result = {END: "returned", SHED: "shed", RECALLED: "recalled"}[what]
        took, over = self.now - out.sent, what == END or get not in router.gets
        if what == END and get in router.gets:  # else its client has its answer, or has left
            self.returned.add(get)
        ended = i.ForwardEnded(get, attempt, out.cache.name, result, took, 0, 1, over)
        self.act(place, router.handle(self.now, ended))

    def run(self, seconds: float, load: float) -> None:
        """GETs whose work is so much of what all caches can do."""
        rate, until = load * CORES * len(self.names) / MEAN, self.now + int(seconds * S)
        coming = float(self.now)
        while (coming := coming + self.chance.expovariate(rate)) < until:
            while self.due and self.due[0][0] <= coming:
                self.step()
            self.now, get = int(coming), len(self.taken) + 1
            place, service = self.chance.randrange(len(self.routers)), int(self.chance.random() < 0.4)
            self.work[get] = int(MEAN * self.chance.lognormvariate(-SPREAD * SPREAD / 2, SPREAD))
            self.taken.append((get, service))
            thing, left = f"/o/{self.chance.randrange(4000)}", TOLD.services[service].viewer_timeout
            self.act(place, self.routers[place].handle(
                self.now, i.GetTaken(get, left, service, thing, 1, 0.0, False)))  # fmt: skip
        while self.due and self.now < until + 8 * S:
            self.step()

    def shares(self, service: int) -> tuple[float, float, float]:
        """Answered, of all, of the largest tenth and of the next fifth."""
        gets = sorted(
            (get for get, one in self.taken if one == service), key=self.work.__getitem__, reverse=True
        )
        tenth, third = len(gets) // 10, 3 * len(gets) // 10
        parts = (gets, gets[:tenth], gets[tenth:third])
        all_, most, next_ = (sum(get in self.returned for get in part) / len(part) for part in parts)
        return all_, most, next_


class Largest(unittest.TestCase):
    def check(self, load: float, part: float, least: float, hung: int = 0) -> None:
        for seed in range(3):
            place = Location(seed, hung=hung)
            place.run(20, load)
            for service in (0, 1):
                answered, most, next_ = place.shares(service)
                self.assertGreater(answered, least)
                seen = (load, seed, service, answered, most, next_)
                self.assertGreater(min(most, next_), part * answered, seen)

    def test_on_a_quiet_day(self) -> None:
        self.check(0.6, 2 / 3, 0.9)

    def test_under_overload(self) -> None:
        self.check(1.4, 1 / 2, 0.3)

    def test_while_a_quarter_of_the_caches_hangs(self) -> None:
        self.check(0.7, 1 / 2, 0.5, hung=1)


if __name__ == "__main__":
    unittest.main()
