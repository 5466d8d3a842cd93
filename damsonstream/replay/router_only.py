"""Sends a trace through the router only, in virtual time: real routing decisions, no sockets and no waiting.

Usage: `RouterReplay(setting).run(gets)` returns counts. The model has one gateway, LRU caches, constant fill
times, and optionally one node that is slow for a period. It is meant for quick studies and has no queueing,
failures or congestion of a network.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from damsonstream.replay.account import histogram, percentiles, to_micros
from damsonstream.replay.replayer import TraceGet
from damsonstream.routing import interface as i
from damsonstream.routing.router import Router
from damsonstream.standins.cache_store import CacheStore, Copy

TICKS_PER_S, TICKS_PER_MS = 10_000, 10
# Time until the answer: a hit in the cache, a fill from a copy at a parent, a fill from the origin.
HIT_TICKS, PARENT_FILL_TICKS, ORIGIN_FILL_TICKS = 5 * TICKS_PER_MS, 40 * TICKS_PER_MS, 60 * TICKS_PER_MS


@dataclass(slots=True, frozen=True)
class RouterReplaySetting:
    """Parameters of the model."""

    caches: int = 3
    parents: int = 2
    cache_bytes: int = 64 << 20
    parent_bytes: int = 256 << 20
    viewer_timeout: float = 3.0  # seconds
    slow: str = ""  # a node that is slow for a period: p1, p2 or o (the origin)
    slow_from: float = 0.0  # seconds
    slow_until: float = 0.0  # seconds
    slow_by: float = 0.5  # seconds that a fill takes longer
    seed: int = 1


@dataclass(slots=True)
class RouterCounts:
    """Results of a run."""

    outcomes: Counter[str] = field(default_factory=Counter)
    forwards: int = 0
    hits: int = 0
    fills: Counter[str] = field(default_factory=Counter)
    # (seconds, text) of breaker state changes; only the first thousand
    breaker_changes: list[tuple[float, str]] = field(default_factory=list)
    by_second: dict[int, Counter[str]] = field(default_factory=dict)


class RouterReplay:
    """A discrete-event simulation of one gateway's router, its caches and their parents."""

    def __init__(self, setting: RouterReplaySetting) -> None:
        self.setting = setting
        services = tuple(
            i.DeliveryService(
                name,
                4000,
                1.0,
                int(setting.viewer_timeout * TICKS_PER_S),
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
                ("unlock", "tokened", 3 * TICKS_PER_S, True),
            )
        )
        footprint = i.Deployment(
            services=services,
            location="shop",
            gateways=1,
            location_gateways=1,
            models=("box", "hub", "vault"),
            parent_model="hub",
            origin_model="vault",
            capacity_info="rough",
            must_subscribe=False,
            resubscribe_within=10 * TICKS_PER_S,
            client_kb_per_s=0.0,
            fill_codes="all",
            collapses_fills=True,
            allows_direct=False,
            timer_tick=20,
            allows_recall=True,
            allows_hedges=True,
            allows_retry_after=True,
            max_forwards=6,
            max_retry_after=5000,
            cold_share=0.3,
            cold_duration=4 * TICKS_PER_S,
            cold_multiple=4.0,
            cold_overload_span=TICKS_PER_S,
            parent_cold_share=0.1,
            parent_cold_duration=6 * TICKS_PER_S,
            parent_cold_multiple=4.0,
            purge_settle_time=TICKS_PER_S,
        )
        self.router, self.now, self.event_number = Router(), 0, 0
        self.events: list[tuple[int, int, Any]] = []  # heap of (time, number, event)
        self.counts, self.latency = RouterCounts(), histogram()
        self.open_gets: dict[int, tuple[int, TraceGet]] = {}  # by id: start time and GET; removed as they end
        self.attempt_counts: dict[int, int] = {}  # by GET
        self.in_flight: dict[tuple[int, int], str] = {}  # (GET, attempt): cache
        self.caches = {f"c{n + 1}": CacheStore(setting.cache_bytes) for n in range(setting.caches)}
        self.parents = {f"p{n + 1}": CacheStore(setting.parent_bytes) for n in range(setting.parents)}
        self.dispatch(i.Started(setting.seed, footprint))
        entries = [
            i.ListEntry(name, "shop", "active", 24.0, n, "box", 0) for n, name in enumerate(self.caches)
        ]
        entries += [
            i.ListEntry(name, "hubs", "active", 64.0, n, "hub", 0) for n, name in enumerate(self.parents)
        ]
        entries.append(i.ListEntry("o", "hubs", "active", 48.0, 0, "vault", 0))
        self.dispatch(i.ListUpdate("full", tuple(entries)))

    def schedule(self, when: int, event: Any) -> None:
        """Schedules the end of an attempt (the arguments of `attempt_ended`), or a wake-up (None)."""
        self.event_number += 1
        heappush(self.events, (when, self.event_number, event))

    def run(self, gets: Iterable[TraceGet]) -> dict[str, Any]:
        """Processes all GETs and returns the results as plain data."""
        for get in gets:
            when = int(get.at * TICKS_PER_S)
            self.run_until(when)
            self.now = max(self.now, when)
            self.open_gets[get.index] = (self.now, get)
            self.attempt_counts[get.index] = 0
            service = 1 if get.tokened else 0
            time_left = int(self.setting.viewer_timeout * TICKS_PER_S)
            self.dispatch(
                i.GetReceived(
                    get.index, time_left, service, get.object_id, int(get.object_id, 16) % 64, 0.0, False
                )
            )
        while self.events and self.open_gets:
            self.run_until(self.events[0][0])
        return self.summary()

    def run_until(self, when: int) -> None:
        """Processes all events up to and including this time."""
        while self.events and self.events[0][0] <= when:
            due, _, event = heappop(self.events)
            self.now = max(self.now, due)
            if event is None:
                self.dispatch(i.Woken())
            elif (event[0], event[1]) in self.in_flight:
                self.attempt_ended(*event)

    def attempt_ended(
        self, get: int, attempt: int, result: str, took: int, first_byte: int, note: int
    ) -> None:
        cache = self.in_flight.pop((get, attempt))
        complete = result == "returned"
        if complete and get in self.open_gets:
            self.finish(get, "returned")
        self.dispatch(i.ForwardEnded(get, attempt, cache, result, took, first_byte, note, complete))

    def finish(self, get: int, outcome: str) -> None:
        """Counts the outcome of a GET, the first time it has one."""
        entry = self.open_gets.pop(get, None)
        if entry is None:
            return
        started, _ = entry
        self.counts.outcomes[outcome] += 1
        second = self.counts.by_second.setdefault(self.now // TICKS_PER_S, Counter())
        second[outcome] += 1
        if outcome == "returned":
            self.latency.record_value(to_micros((self.now - started) / TICKS_PER_S))

    def dispatch(self, event: i.Event) -> None:
        """Passes an event to the router and carries out its actions."""
        for action in self.router.handle(self.now, event):
            match action:
                case i.Forward():
                    self.forward(action)
                case i.Recall():
                    if (action.get, action.attempt) in self.in_flight:
                        self.schedule(self.now, (action.get, action.attempt, "recalled", 0, 0, 0))
                case i.Shed():
                    self.finish(action.get, "shed")
                case i.Errored():
                    self.finish(action.get, "errored")
                case i.Wake():
                    self.schedule(self.now + action.after, None)
                case i.Trace():
                    if len(self.counts.breaker_changes) < 1000:
                        self.counts.breaker_changes.append((self.now / TICKS_PER_S, action.text))

    def extra_delay(self, node: str) -> int:
        """Returns the ticks that a fill from this node takes longer now."""
        setting = self.setting
        within = setting.slow_from * TICKS_PER_S <= self.now < setting.slow_until * TICKS_PER_S
        return int(setting.slow_by * TICKS_PER_S) if node == setting.slow and within else 0

    def forward(self, action: i.Forward) -> None:
        """Decides how a cache answers a forward, and schedules the end of the attempt."""
        get, counts = action.get, self.counts
        attempt, self.attempt_counts[get] = self.attempt_counts[get], self.attempt_counts[get] + 1
        counts.forwards += 1
        self.in_flight[get, attempt] = action.cache
        trace_get = self.open_gets[get][1] if get in self.open_gets else None
        if trace_get is None:
            return self.schedule(self.now, (get, attempt, "unsent", 0, 0, 0))
        key, store = (trace_get.service, trace_get.object_id, "0"), self.caches.get(action.cache)
        if store is not None and store.lookup(key, self.now, 0) is not None:
            counts.hits += 1
            return self.schedule(self.now + HIT_TICKS, (get, attempt, "returned", HIT_TICKS, 0, 1))
        if action.source == action.cache:
            return self.schedule(self.now + HIT_TICKS, (get, attempt, "lacking", HIT_TICKS, 0, 0))
        copy = Copy(self.now, max(1, trace_get.size), 0)
        parent = self.parents.get(action.source)
        if parent is not None and parent.lookup(key, self.now, 0) is not None:
            first_byte, note = PARENT_FILL_TICKS + self.extra_delay(action.source), 2
        elif parent is not None and action.only_if_cached:
            first_byte = PARENT_FILL_TICKS + self.extra_delay(action.source)
            return self.schedule(self.now + first_byte, (get, attempt, "lacking", first_byte, 0, 8))
        else:
            first_byte, note = (
                ORIGIN_FILL_TICKS
                + self.extra_delay(action.source)
                + (self.extra_delay("o") if action.source != "o" else 0),
                3,
            )
            if parent is not None:
                parent.store(key, copy)
        counts.fills[action.source if note == 2 else "o"] += 1
        if store is not None and not trace_get.tokened:
            store.store(key, copy)
        return self.schedule(
            self.now + first_byte + HIT_TICKS,
            (get, attempt, "returned", first_byte + HIT_TICKS, first_byte, note),
        )

    def summary(self) -> dict[str, Any]:
        counts = self.counts
        total = counts.outcomes.total()
        return {
            "gets": total,
            "outcomes": dict(sorted(counts.outcomes.items())),
            "forwards": counts.forwards,
            "hits": counts.hits,
            "fills": dict(sorted(counts.fills.items())),
            "latency_ms": percentiles(self.latency),
            "breakers": [{"at": at, "what": what} for at, what in counts.breaker_changes],
        }
