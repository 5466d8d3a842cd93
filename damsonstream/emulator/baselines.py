"""Plain policies in the router's place, to measure against: no breaker, no cold budget, no line. No I/O.

How it is called: `maker(name, seed)` gives what makes one for each gateway; `NAMES` are the known ones. Each
answers the router's events (routing/interface.py). They keep the effect kinds and answer in time, so that
what differs is where GETs go, whether they go again, and what is shed.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from damsonstream.emulator.gateway import Decides
from damsonstream.routing import interface as i
from damsonstream.routing.router import Router

MECHANISM, NO_BREAKER = "mechanism", "no breaker"
FURTHER = {"random": 1, "round robin": 1, "least loaded": 1, "fixed retry": 5}  # forwards after the first
NAMES = (MECHANISM, NO_BREAKER, *FURTHER)


@dataclass(slots=True, eq=False)
class Get:
    id: int
    service: i.DeliveryService
    end: int
    attempts: int = 0
    ran: int = -1  # when the first forward that may have run went out
    out: set[int] = field(default_factory=set)


class Plain:
    def __init__(self, how: str, seed: int) -> None:
        self.how, self.chance = how, random.Random(seed)
        self.gets: dict[int, Get] = {}  # emptied by final answers
        self.entries: dict[str, i.Entry] = {}  # as long as the list
        self.load: dict[str, int] = {}  # forwards out, by cache and source
        self.attempts: dict[tuple[int, int], tuple[str, str]] = {}  # emptied by the end of each forward
        self.turn = 0

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        match event:
            case i.Started():
                self.told = event.footprint
                self.turn = self.chance.randrange(1000)
            case i.ListTold():
                if event.kind != "changes":
                    self.entries = {}
                self.entries |= {entry.cache: entry for entry in event.entries}
            case i.GetTaken():
                service = self.told.services[event.service]
                get = self.gets[event.get] = Get(event.get, service, now + event.left - self.told.tick)
                return [*self.forward(now, get), i.Wake(max(1, get.end - now))]
            case i.ForwardEnded():
                return self.ended(now, event)
            case i.ClientLeft():
                left = self.gets.pop(event.get, None)
                return [i.Recall(left.id, attempt) for attempt in sorted(left.out)] if left else []
            case i.Woken():
                due = [get for get in self.gets.values() if get.end <= now]
                return [action for get in due for action in self.give_up(get)]
        return []

    def nodes(self, model: str) -> list[str]:
        """Of that model, active; caches of the own location only."""
        active = [entry for entry in self.entries.values() if entry.state == "active"]
        if model == "cache":
            return [entry.cache for entry in active if entry.location == self.told.location]
        return [entry.cache for entry in active if entry.model == model]

    def pick(self, names: list[str]) -> str:
        if self.how == "round robin":
            self.turn += 1
            return names[self.turn % len(names)]
        if self.how == "least loaded":
            least = min(self.load.get(name, 0) for name in names)
            names = [name for name in names if self.load.get(name, 0) == least]
        return names[int(self.chance.random() * len(names))]

    def forward(self, now: int, get: Get) -> list[i.Action]:
        caches = self.nodes("cache")
        sources = self.nodes(self.told.parent_model) or self.nodes(self.told.origin_model)
        if not caches or not sources:
            return self.give_up(get)
        cache, source = self.pick(caches), self.pick(sources)
        for name in (cache, source):
            self.load[name] = self.load.get(name, 0) + 1
        self.attempts[get.id, get.attempts] = cache, source
        get.out.add(get.attempts)
        get.attempts += 1
        if get.service.effect != "idempotent" and get.ran < 0:
            get.ran = now
        return [i.Forward(get.id, cache, source, 1, 0, 0, self.told.joins, False, False)]

    def ended(self, now: int, event: i.ForwardEnded) -> list[i.Action]:
        for name in self.attempts.pop((event.get, event.attempt), ()):
            self.load[name] -= 1
        get = self.gets.get(event.get)
        if get is None:
            return []
        get.out.discard(event.attempt)
        if event.over:
            del self.gets[event.get]
            return []
        if event.result in ("shed", "lacking", "unreached", "unsent"):
            get.ran = -1
        fits = get.attempts <= FURTHER[self.how] and now < get.end
        return self.forward(now, get) if fits and self.may_repeat(now, get) else self.give_up(get)

    def may_repeat(self, now: int, get: Get) -> bool:
        if get.ran < 0 or get.service.effect == "idempotent":
            return True
        known = now + self.told.tick < get.ran + get.service.remembered
        return get.service.effect == "tokened" and get.service.scope == "all" and known

    def give_up(self, get: Get) -> list[i.Action]:
        if get.out:
            return []
        self.gets.pop(get.id, None)
        effect, scope = get.service.effect, get.service.scope
        harmless = get.ran < 0 or effect == "idempotent" or (effect, scope) == ("tokened", "all")
        return [i.Shed(get.id, 0) if harmless else i.Errored(get.id)]


class NoBreaker:
    """The router, whose breakers never stay open."""

    def __init__(self) -> None:
        self.router = Router()

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        actions = self.router.handle(now, event)
        for node in self.router.nodes.values():
            if node.breaker.state != "Closed":
                node.breaker.reset()
        return actions


def maker(name: str, seed: int) -> Callable[[int], Decides]:
    """What makes one for the gateway at each place."""
    if name == MECHANISM:
        return lambda place: Router()
    if name == NO_BREAKER:
        return lambda place: NoBreaker()
    return lambda place: Plain(name, seed * 7919 + place)
