"""Baseline policies that take the router's place in experiments, for comparison. No I/O.

Usage: `policy_factory(name, seed)` returns a factory that makes the policy of each gateway; `ROUTERS` lists
the known ones. A policy handles the router's events (routing/interface.py). The plain ones have no circuit
breaker, no slow start for cold caches and no queue. They follow the same rules for effects and answer within
the viewer timeout, so that the comparison shows only where GETs are forwarded, whether they are retried, and
what is shed.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from damsonstream.emulator.gateway import EventHandler
from damsonstream.routing import interface as i
from damsonstream.routing.router import Router

DEFAULT_ROUTER, NO_BREAKER = "mechanism", "no breaker"  # "mechanism" is the real router
MAX_RETRIES = {"random": 1, "round robin": 1, "least loaded": 1, "fixed retry": 5}  # forwards after the first
ROUTERS = (DEFAULT_ROUTER, NO_BREAKER, *MAX_RETRIES)


@dataclass(slots=True, eq=False)
class PendingGet:
    id: int
    service: i.DeliveryService
    deadline: int
    attempts: int = 0
    executed_at: int = -1  # when the first forward that may have executed was sent; -1: none
    in_flight: set[int] = field(default_factory=set)


class PlainPolicy:
    """Picks caches and sources by one fixed strategy, with a fixed number of retries."""

    def __init__(self, strategy: str, seed: int) -> None:
        self.strategy, self.rng = strategy, random.Random(seed)
        self.gets: dict[int, PendingGet] = {}  # removed at the final answer
        self.entries: dict[str, i.ListEntry] = {}  # bounded by the list of caches
        self.load: dict[str, int] = {}  # forwards in flight, by cache and source
        self.attempts: dict[tuple[int, int], tuple[str, str]] = {}  # removed as each forward ends
        self.next_index = 0

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        match event:
            case i.Started():
                self.footprint = event.deployment
                self.next_index = self.rng.randrange(1000)
            case i.ListUpdate():
                if event.kind != "changes":
                    self.entries = {}
                self.entries |= {entry.cache: entry for entry in event.entries}
            case i.GetReceived():
                service = self.footprint.services[event.service]
                get = self.gets[event.get] = PendingGet(
                    event.get, service, now + event.time_left - self.footprint.timer_tick
                )
                return [*self.forward(now, get), i.Wake(max(1, get.deadline - now))]
            case i.ForwardEnded():
                return self.on_forward_ended(now, event)
            case i.ClientLeft():
                left = self.gets.pop(event.get, None)
                return [i.Recall(left.id, attempt) for attempt in sorted(left.in_flight)] if left else []
            case i.Woken():
                due = [get for get in self.gets.values() if get.deadline <= now]
                return [action for get in due for action in self.give_up(get)]
        return []

    def active_nodes(self, model: str) -> list[str]:
        """Returns the active nodes of a model; for caches only those of the gateway's own location."""
        active = [entry for entry in self.entries.values() if entry.state == "active"]
        if model == "cache":
            return [entry.cache for entry in active if entry.location == self.footprint.location]
        return [entry.cache for entry in active if entry.model == model]

    def pick(self, names: list[str]) -> str:
        if self.strategy == "round robin":
            self.next_index += 1
            return names[self.next_index % len(names)]
        if self.strategy == "least loaded":
            least = min(self.load.get(name, 0) for name in names)
            names = [name for name in names if self.load.get(name, 0) == least]
        return names[int(self.rng.random() * len(names))]

    def forward(self, now: int, get: PendingGet) -> list[i.Action]:
        caches = self.active_nodes("cache")
        sources = self.active_nodes(self.footprint.parent_model) or self.active_nodes(
            self.footprint.origin_model
        )
        if not caches or not sources:
            return self.give_up(get)
        cache, source = self.pick(caches), self.pick(sources)
        for name in (cache, source):
            self.load[name] = self.load.get(name, 0) + 1
        self.attempts[get.id, get.attempts] = cache, source
        get.in_flight.add(get.attempts)
        get.attempts += 1
        if get.service.idempotency != "idempotent" and get.executed_at < 0:
            get.executed_at = now
        return [i.Forward(get.id, cache, source, 1, 0, 0, self.footprint.collapses_fills, False, False)]

    def on_forward_ended(self, now: int, event: i.ForwardEnded) -> list[i.Action]:
        for name in self.attempts.pop((event.get, event.attempt), ()):
            self.load[name] -= 1
        get = self.gets.get(event.get)
        if get is None:
            return []
        get.in_flight.discard(event.attempt)
        if event.get_done:
            del self.gets[event.get]
            return []
        if event.result in ("shed", "lacking", "unreached", "unsent"):
            get.executed_at = -1
        retry_left = get.attempts <= MAX_RETRIES[self.strategy] and now < get.deadline
        return self.forward(now, get) if retry_left and self.may_retry(now, get) else self.give_up(get)

    def may_retry(self, now: int, get: PendingGet) -> bool:
        """Returns whether another forward can't cause a second effect.

        A tokened GET is retried only if its token is known to all caches (scope `all`) and still remembered.
        """
        if get.executed_at < 0 or get.service.idempotency == "idempotent":
            return True
        remembered = now + self.footprint.timer_tick < get.executed_at + get.service.token_lifetime
        return get.service.idempotency == "tokened" and get.service.token_scope == "all" and remembered

    def give_up(self, get: PendingGet) -> list[i.Action]:
        """Returns the final answer, or nothing while forwards are in flight.

        The answer is `shed` where the client may safely send the GET again, else `errored`.
        """
        if get.in_flight:
            return []
        self.gets.pop(get.id, None)
        effect, scope = get.service.idempotency, get.service.token_scope
        safe = get.executed_at < 0 or effect == "idempotent" or (effect, scope) == ("tokened", "all")
        return [i.Shed(get.id, 0) if safe else i.Errored(get.id)]


class NoBreaker:
    """The real router with circuit breakers that are closed again after every event."""

    def __init__(self) -> None:
        self.router = Router()

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        actions = self.router.handle(now, event)
        for node in self.router.nodes.values():
            if node.breaker.state != "Closed":
                node.breaker.reset()
        return actions


def policy_factory(name: str, seed: int) -> Callable[[int], EventHandler]:
    """Returns a function that makes the policy for the gateway at a given index."""
    if name == DEFAULT_ROUTER:
        return lambda index: Router()
    if name == NO_BREAKER:
        return lambda index: NoBreaker()
    return lambda index: PlainPolicy(name, seed * 7919 + index)
