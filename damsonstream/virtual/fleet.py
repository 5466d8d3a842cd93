"""A fleet of gateways in virtual time: the pure modules of `peers` alone, without sockets or processes.

How it is called: `Fleet(count, seed, ...)`, then `until(when)`; `at(when, what)` lets something happen.
Each gateway has a `Council`, a clock of its own, a demand, and a breaker for each source in its plainest
form: a run of five bad fills opens it, and two good trials close it. Sources are well or dead by the
script. All chance comes from the seed; events at one instant go by the order in which they were set.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from damsonstream.emulator.engine import Engine
from damsonstream.peers.council import TURN, Council
from damsonstream.peers.pieces import PIECES
from damsonstream.virtual.links import MS, Links, S

RUN = 5  # bad fills in a row open a source: the router's own least count
COOL = 5 * S  # the design's cool-down, and its jitter
JITTER = 0.25
OVERDUE = 400 * MS  # for a fill of a dead source to be seen as bad
SPACING = S // 2


@dataclass(slots=True)
class Switch:
    """The breaker of one gateway for one source, as far as a fleet's behaviour depends on it."""

    run: int = 0
    open: bool = False
    until: int = 0
    trying: bool = False
    good: int = 0
    opened_at: int = -1


@dataclass(slots=True)
class Gateway:
    place: int
    council: Council
    offset: int  # of its clock
    demand: float
    switches: list[Switch]
    alive: bool = True
    stalled_until: int = 0
    boots: int = 1
    waiting: list[tuple[int, bytes]] = field(default_factory=list)  # datagrams that came while it stood still
    bytes_out: int = 0


class Fleet(Engine):
    def __init__(
        self, count: int, seed: int, *, sources: int = 4, demands: Iterable[float] | None = None,
        links: Links | None = None, price: float = 0.01, pieces: frozenset[str] = frozenset(PIECES),
        locations: int = 1, clocks: int = 3 * S, fills: float = 0.3,
    ) -> None:  # fmt: skip
        """`demands`: GETs a second by gateway; `fills`: fills for each GET; `clocks`: how far apart."""
        super().__init__()
        self.chance = random.Random(seed)
        self.links = links or Links(random.Random(seed + 1))
        self.count, self.price, self.pieces, self.locations = count, price, pieces, locations
        self.fills = fills
        self.sources = [0x1000 + 17 * n for n in range(sources)]
        self.dead: set[int] = set()  # places in `sources`
        self.dead_for: Callable[[int, int], bool] = lambda place, source: source in self.dead
        self.trials: list[tuple[int, int, int, bool]] = []  # when, gateway, source, whether it was well
        self.wasted = 0  # fills asked of dead sources, trials included
        self.worst = {"near": 0.0, "far": 0.0}  # the largest sum of parts ever seen
        wanted = list(demands) if demands is not None else [5.0] * count
        self.gateways: list[Gateway] = []
        for place in range(count):
            offset = self.chance.randrange(clocks + 1)
            self.gateways.append(
                Gateway(place, self.council(place, offset), offset, wanted[place],
                        [Switch() for _ in self.sources])
            )  # fmt: skip
            self.enlist(self.gateways[place])

    def council(self, place: int, offset: int, boots: int = 1) -> Council:
        at_home = sum(1 for other in range(self.count) if other % self.locations == place % self.locations)
        council = Council(f"n{place}", place, self.count, place % self.locations, at_home,
                          1000 + self.now // 1000 + boots, self.price, self.chance.getrandbits(32),
                          self.now + offset, self.pieces)  # fmt: skip
        council.listed((), tuple(self.sources))
        return council

    def enlist(self, gateway: Gateway) -> None:
        council = gateway.council
        self.after(self.chance.randrange(TURN), lambda: self.turn(gateway, council))
        self.after(self.wait(gateway.demand), lambda: self.get(gateway, council))

    def wait(self, rate: float) -> int:
        return max(1, int(self.chance.expovariate(max(rate, 1e-9)) * S))

    # what happens to processes

    def kill(self, place: int) -> None:
        self.gateways[place].alive = False

    def restart(self, place: int) -> None:
        gateway = self.gateways[place]
        gateway.boots += 1
        gateway.council = self.council(place, gateway.offset, gateway.boots)
        gateway.switches = [Switch() for _ in self.sources]
        gateway.alive, gateway.waiting = True, []
        self.enlist(gateway)

    def stall(self, place: int, lasts: int) -> None:
        gateway = self.gateways[place]
        gateway.stalled_until = self.now + lasts

        def wake() -> None:
            council, waiting, gateway.waiting = gateway.council, gateway.waiting, []
            for sender, data in waiting:
                self.arrive(gateway, council, sender, data)

        self.after(lasts, wake)

    # what a gateway does

    def runs(self, gateway: Gateway, council: Council) -> bool:
        return gateway.alive and gateway.council is council

    def turn(self, gateway: Gateway, council: Council) -> None:
        if not self.runs(gateway, council):
            return
        if self.now < gateway.stalled_until:
            return self.at(gateway.stalled_until, lambda: self.turn(gateway, council))
        out, told = council.due(self.now + gateway.offset)
        for one in told:
            self.hear(gateway, one.source, one.what)
        for place, data in out:
            self.send(gateway, place, data)
        self.after(TURN, lambda: self.turn(gateway, council))

    def send(self, gateway: Gateway, place: int, data: bytes) -> None:
        gateway.bytes_out += len(data)
        other = self.gateways[place]
        for delay in self.links.ways(self.now, gateway.place, place):
            self.after(delay, lambda: self.arrive(other, other.council, gateway.place, data))

    def arrive(self, gateway: Gateway, council: Council, sender: int, data: bytes) -> None:
        if not self.runs(gateway, council):
            return
        if self.now < gateway.stalled_until:
            gateway.waiting.append((sender, data))
            return
        for one in council.heard(self.now + gateway.offset, sender, data):
            self.hear(gateway, one.source, one.what)

    def hear(self, gateway: Gateway, source: int, what: str) -> None:
        switch = gateway.switches[self.sources.index(source)]
        if what == ("bad" if switch.open else "dead"):
            self.open(switch)
        elif what == "well" and switch.open:
            switch.open, switch.run, switch.good = False, 0, 0
        elif what == "good" and switch.open:
            switch.good, switch.trying, switch.until = 1, False, self.now

    def open(self, switch: Switch) -> None:
        if not switch.open:
            switch.opened_at = self.now
        switch.open, switch.good, switch.trying = True, 0, False
        switch.until = self.now + int(COOL * (1 + JITTER * self.chance.random()))

    def may_try(self, gateway: Gateway, number: int, local: int) -> bool:
        """Whether a trial of an open source may go now, and is this gateway's to make."""
        switch = gateway.switches[number]
        ready = self.now >= switch.until and not switch.trying
        since = switch.until + gateway.offset
        return ready and gateway.council.turn(local, self.sources[number], False, since)

    def get(self, gateway: Gateway, council: Council) -> None:
        if not self.runs(gateway, council):
            return
        self.after(self.wait(gateway.demand), lambda: self.get(gateway, council))
        if self.now < gateway.stalled_until:
            return
        local = self.now + gateway.offset
        council.asked(local)
        if self.chance.random() >= self.fills:
            return
        number = self.chance.randrange(len(self.sources))
        switch, source = gateway.switches[number], self.sources[number]
        trial = switch.open
        if trial:
            if not self.may_try(gateway, number, local):
                return  # it goes to the next source in order
            switch.trying = True
            council.trying(local, source, False)
        well = not self.dead_for(gateway.place, number)
        self.wasted += not well
        if trial:
            self.trials.append((self.now, gateway.place, number, well))
        self.after(20 * MS if well else OVERDUE, lambda: self.ended(gateway, council, number, trial, well))

    def ended(self, gateway: Gateway, council: Council, number: int, trial: bool, well: bool) -> None:
        if not self.runs(gateway, council) or self.now < gateway.stalled_until:
            return
        local, source, switch = self.now + gateway.offset, self.sources[number], gateway.switches[number]
        if trial:
            if not switch.trying:
                return  # decided meanwhile by what was told
            switch.trying, switch.until = False, self.now + SPACING
            council.tried(local, source, False, well)
            switch.good = switch.good + 1 if well else 0
            if not well:
                self.open(switch)
            elif switch.good >= 2:
                switch.open, switch.run = False, 0
            return
        council.saw(local, source, False, not well)
        switch.run = 0 if well else switch.run + 1
        if switch.run >= RUN and not switch.open:
            self.open(switch)

    # what an observer sees

    def watch_sums(self, every: int = TURN) -> None:
        """From now on, keeps the largest sum of parts that all hold at one instant."""

        def look() -> None:
            running = [g for g in self.gateways if g.alive]
            far = sum(g.council.part(self.now + g.offset, False) for g in running)
            by_home: dict[int, float] = {}
            for g in running:
                home = g.place % self.locations
                by_home[home] = by_home.get(home, 0.0) + g.council.part(self.now + g.offset, True)
            self.worst["far"] = max(self.worst["far"], far)
            self.worst["near"] = max(self.worst["near"], *by_home.values())
            self.after(every, look)

        look()

    def know(self, number: int) -> float:
        """Share of those that run and are asked for anything that hold a source Open."""
        running = [g for g in self.gateways if g.alive]
        return sum(g.switches[number].open for g in running) / max(1, len(running))

    def fairness(self) -> float:
        """Jain's index of the parts over what each is asked for: 1 if all get alike."""
        shares = [g.council.part(self.now + g.offset, False) / g.demand for g in self.gateways if g.alive]
        return sum(shares) ** 2 / (len(shares) * sum(x * x for x in shares))
