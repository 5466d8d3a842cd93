"""Viewers in virtual time: open loop, further tries where a GET was shed or lost, as the stand-ins' front.

How it is called: `Front(play, ...)` with `begin(arrivals)`; each try is written down with its outcome, timed
from when it was meant to be sent. Chance comes from the seed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from damsonstream.emulator.engine import Process, S, Signal
from damsonstream.emulator.gateway import LINK, Gateway
from damsonstream.standins import clients
from damsonstream.standins.traffic import Arrival, Catalogue

if TYPE_CHECKING:
    from damsonstream.emulator.play import Play

LEAST = S // 20  # of a viewer's time: with less left it tries no more


@dataclass(slots=True, eq=False)
class Asked:
    """One try, on its way to a gateway and back."""

    gateway: Gateway
    arrival: Arrival
    left: int
    repeated: bool
    ended: Signal
    leave: Callable[[], None] | None = None

    def come(self, group: int) -> None:
        def take() -> None:
            arrival = self.arrival
            self.leave = self.gateway.take(arrival.offer.name, arrival.thing, group, arrival.token, self.left,
                                           self.repeated, lambda *end: self.ended.set(end))  # fmt: skip

        if self.gateway.alive:
            self.gateway.run(take)
        else:
            self.ended.set(("lost", 0))


class Front:
    def __init__(self, play: Play, catalogue: Catalogue, weights: dict[str, float], seed: int) -> None:
        self.play, self.engine, self.catalogue, self.weights = play, play.engine, catalogue, weights
        self.weighted = len(set(weights.values())) > 1
        self.chance = random.Random(seed)
        self.tries: list[clients.Try] = []
        self.open = self.unsent = 0

    def begin(self, arrivals: Iterator[Arrival]) -> None:
        """Each arrival sets the next, so that they are drawn as time goes."""
        arrival = next(arrivals, None)
        if arrival is None:
            return

        def come() -> None:
            self.engine.begin(self.wish(arrival))
            self.begin(arrivals)

        self.engine.at(int(arrival.at * S), come)

    def pick(self) -> Gateway | None:
        up = self.play.up()
        if not up:
            return None
        if self.weighted:
            return self.chance.choices(up, [self.weights.get(one.name, 1.0) or 1e-9 for one in up])[0]
        return up[int(self.chance.random() * len(up))]

    def wish(self, arrival: Arrival) -> Process[None]:
        engine, offer = self.engine, arrival.offer
        until = engine.now + offer.patience_ms * S // 1000
        self.open += 1
        for further in range(clients.FURTHER + 1):
            left = until - engine.now
            if left <= LEAST:
                break
            gateway = self.pick()
            if gateway is None:
                self.unsent += 1
                yield min(left, int(clients.RETRY * S))
                continue
            ended = Signal(engine)
            one = clients.Try("", gateway.name, offer.name, arrival.thing, engine.now / S, further)
            self.tries.append(one)
            asked = Asked(gateway, arrival, left, further > 0, ended)
            engine.after(LINK, partial(asked.come, self.catalogue.group(arrival.thing)))
            engine.after(left, partial(ended.set, ("late", 0)))
            one.outcome, come_back = yield ended
            one.took = engine.now / S - one.sent
            if one.outcome == "late" and asked.leave is not None:
                asked.leave()
            if one.outcome not in ("shed", "lost"):
                break
            if one.outcome == "lost" and arrival.token and further:
                break
            yield come_back or clients.AGAIN_MS * S // 1000
        self.open -= 1
