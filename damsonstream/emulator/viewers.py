"""Viewers in virtual time: an open-loop load that retries shed or lost GETs, like the stand-in clients.

Usage: `Viewers(emulation, ...)` with `start(arrivals)`. Each try is recorded with its outcome and timed from
the moment at which it should have been sent. All randomness comes from the seed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from damsonstream.emulator.engine import Process, S, Signal
from damsonstream.emulator.gateway import ONE_WAY_DELAY, Gateway
from damsonstream.standins import clients
from damsonstream.standins.traffic import Arrival, Catalogue

if TYPE_CHECKING:
    from damsonstream.emulator.script_run import Emulation

MIN_TIME_LEFT = S // 20  # ticks; a viewer with less time left does not try again


@dataclass(slots=True, eq=False)
class PendingTry:
    """One try of a viewer, from its way to the gateway to its answer."""

    gateway: Gateway
    arrival: Arrival
    time_left: int
    repeated: bool
    ended: Signal  # outcome, ticks after which to retry
    leave: Callable[[], None] | None = None

    def arrive(self, group: int) -> None:
        """Passes the GET to the gateway; with a dead one it is lost."""

        def accept() -> None:
            arrival = self.arrival
            self.leave = self.gateway.accept_get(arrival.profile.name, arrival.obj, group, arrival.token,
                                                 self.time_left, self.repeated,
                                                 lambda *end: self.ended.set(end))  # fmt: skip

        if self.gateway.alive:
            self.gateway.dispatch(accept)
        else:
            self.ended.set(("lost", 0))


class Viewers:
    def __init__(
        self, emulation: Emulation, catalogue: Catalogue, weights: dict[str, float], seed: int
    ) -> None:  # fmt: skip
        self.emulation, self.engine, self.catalogue, self.weights = (
            emulation, emulation.engine, catalogue, weights,
        )  # fmt: skip
        self.weighted = len(set(weights.values())) > 1
        self.rng = random.Random(seed)
        self.tries: list[clients.ClientGet] = []
        self.open = self.unsent = 0

    def start(self, arrivals: Iterator[Arrival]) -> None:
        """Schedules the next arrival, which schedules the one after it; arrivals are drawn only when due."""
        arrival = next(arrivals, None)
        if arrival is None:
            return

        def arrive() -> None:
            self.engine.spawn(self.request(arrival))
            self.start(arrivals)

        self.engine.at(int(arrival.at * S), arrive)

    def pick_gateway(self) -> Gateway | None:
        ready = self.emulation.ready_gateways()
        if not ready:
            return None
        if self.weighted:
            return self.rng.choices(ready, [self.weights.get(one.name, 1.0) or 1e-9 for one in ready])[0]
        return ready[int(self.rng.random() * len(ready))]

    def request(self, arrival: Arrival) -> Process[None]:
        """Sends a viewer's GET, with retries, until it is answered or the viewer's patience ends."""
        engine, offer = self.engine, arrival.profile
        deadline = engine.now + offer.viewer_timeout_ms * S // 1000
        self.open += 1
        for retries in range(clients.MAX_RETRIES + 1):
            time_left = deadline - engine.now
            if time_left <= MIN_TIME_LEFT:
                break
            gateway = self.pick_gateway()
            if gateway is None:
                self.unsent += 1
                yield min(time_left, int(clients.RECONNECT_DELAY * S))
                continue
            ended = Signal(engine)
            record = clients.ClientGet("", gateway.name, offer.name, arrival.obj, engine.now / S, retries)
            self.tries.append(record)
            pending = PendingTry(gateway, arrival, time_left, retries > 0, ended)
            engine.after(ONE_WAY_DELAY, partial(pending.arrive, self.catalogue.group(arrival.obj)))
            engine.after(time_left, partial(ended.set, ("late", 0)))
            record.outcome, retry_after = yield ended
            record.duration = engine.now / S - record.sent
            if record.outcome == "late" and pending.leave is not None:
                pending.leave()
            if record.outcome not in ("shed", "lost"):
                break
            if record.outcome == "lost" and arrival.token and retries:
                break
            yield retry_after or clients.DEFAULT_RETRY_DELAY_MS * S // 1000
        self.open -= 1
