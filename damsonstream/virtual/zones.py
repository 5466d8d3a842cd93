"""A fleet in virtual time that follows a hierarchy: councils, hierarchies in service, breakers in their
plainest form, hubs that are well or gone by the script. No sockets.

How it is called: `ZoneFleet(count, zones, seed, how)`, then `lose(zone)`, `back(zone)` and `until(when)` as
of any fleet; `fills_seen` holds what was asked of whom. `how`: `common` (as in service), `alone` (each
gateway by itself, equal parts), `no limit` (the file's order of sources and no more) or `never` (nothing
spills).
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from damsonstream.peers import order
from damsonstream.peers.council import Council, source_id
from damsonstream.peers.pieces import PIECES
from damsonstream.tiers.service import Alone, Service
from damsonstream.tiers.shape import CACHE, HUB, VAULT, Node, Shape, Zone, shape_of
from damsonstream.virtual.fleet import OVERDUE, Fleet, Gateway, Switch
from damsonstream.virtual.links import MS, Links, S

HUBS = 2  # of each zone
TAKES = 0.2  # of what a zone's hubs bear
RAMP = 10.0
HOWS = ("common", "alone", "no limit", "never")


@dataclass(slots=True, frozen=True)
class Fill:
    """When, from which zone, and to whose hubs: `vault`, or empty where there was nowhere to go."""

    at: int
    home: str
    to: str


def shape(zones: int, gateways: int, demand: float, takes: float) -> Shape:
    """Each zone's hubs bear twice what its own caches ask of them; half of the zones are in either region."""
    own = demand * gateways / zones
    names = [f"z{n}" for n in range(zones)]
    nodes = [Node("vault", VAULT, names[0], 0.0)]
    made = []
    for n, name in enumerate(names):
        others = [names[(n + step) % zones] for step in range(1, zones)]
        made.append(Zone(name, tuple(others), takes, region=f"r{n * 2 // zones}", ramp=RAMP))
        nodes += [Node(f"{name}-h{h}", HUB, name, 2 * own / HUBS, ("vault",)) for h in range(HUBS)]
        sources = [f"{zone}-h{h}" for zone in (name, *others) for h in range(HUBS)]
        nodes.append(Node(f"{name}-c", CACHE, name, own, (*sources, "vault")))
    return shape_of(1, nodes, made, vault_cap=0.1 * demand * gateways)


class ZoneFleet(Fleet):
    def __init__(
        self, count: int, zones: int, seed: int, how: str = "common", links: Links | None = None,
        fills_each: float = 2.0,
    ) -> None:  # fmt: skip
        """`fills_each`: fills a second of each gateway, the mean; demands differ by gateway."""
        self.how, self.zone_count = how, zones
        self.shape = shape(zones, count, fills_each, 0.0 if how == "never" else TAKES)
        self.hubs = [node.name for node in self.shape.role(HUB)]
        self.services: dict[int, Service] = {}
        self.fills_seen: list[Fill] = []
        self.gone: set[str] = set()  # hubs
        pieces = frozenset(PIECES) if how in ("common", "never") else frozenset[str]()
        # the many are asked for little: a Pareto draw, as benchmarks/peers.py has it
        chance = random.Random(seed)
        drawn = [chance.paretovariate(1.8) for _ in range(count)]
        whole = sum(drawn)
        super().__init__(count, seed, sources=len(self.hubs), links=links, pieces=pieces, locations=zones,
                         demands=[fills_each * count * one / whole for one in drawn], fills=1.0)  # fmt: skip
        self.sources = [source_id(name) for name in self.hubs]

    def council(self, place: int, offset: int, boots: int = 1) -> Council:
        council = super().council(place, offset, boots)
        council.listed((), tuple(source_id(name) for name in self.hubs))
        common = council if self.how in ("common", "never") else Alone(self.count)
        now = self.now + offset
        service = self.services[place] = Service(common, place, now, self.how != "no limit")
        refused = service.apply(now, self.shape)
        assert refused is None, refused
        return council

    def home(self, place: int) -> str:
        return f"z{place % self.zone_count}"

    def lose(self, zone: str) -> None:
        self.gone |= {hub for hub in self.hubs if self.shape.nodes[hub].zone == zone}

    def back(self, zone: str) -> None:
        self.gone = {hub for hub in self.gone if self.shape.nodes[hub].zone != zone}

    def turn(self, gateway: Gateway, council: Council) -> None:
        if self.runs(gateway, council) and self.now >= gateway.stalled_until:
            self.services[gateway.place].tick(self.now + gateway.offset)
        super().turn(gateway, council)

    def hear(self, gateway: Gateway, source: int, what: str) -> None:
        number = self.sources.index(source)
        switch = gateway.switches[number]
        before = switch.open
        super().hear(gateway, source, what)
        self.changed(gateway, number, switch, before)

    def changed(self, gateway: Gateway, number: int, switch: Switch, before: bool) -> None:
        if switch.open != before:
            state = "Open" if switch.open else "Closed"
            self.services[gateway.place].turned(self.hubs[number], state)

    def usable(self, gateway: Gateway, local: int) -> Iterable[str]:
        """Hubs that the breakers let it use now, and the vault."""
        key = self.chance.getrandbits(30)
        for number in sorted(range(len(self.hubs)), key=lambda n: order.weight(n, key)):
            if not gateway.switches[number].open or self.may_try(gateway, number, local):
                yield self.hubs[number]
        yield "vault"

    def get(self, gateway: Gateway, council: Council) -> None:
        if not self.runs(gateway, council):
            return
        self.after(self.wait(gateway.demand), lambda: self.get(gateway, council))
        if self.now < gateway.stalled_until:
            return
        local, home = self.now + gateway.offset, self.home(gateway.place)
        council.asked(local)
        service, cache = self.services[gateway.place], f"{home}-c"
        found = service.among(local, cache, self.chance.random(), list(self.usable(gateway, local)))
        if not found:
            self.fills_seen.append(Fill(self.now, home, ""))
            return
        name = found[0]
        service.sent(local, cache, name)
        if name == "vault":
            self.fills_seen.append(Fill(self.now, home, "vault"))
            return
        number = self.hubs.index(name)
        self.fills_seen.append(Fill(self.now, home, self.shape.nodes[name].zone))
        trial = gateway.switches[number].open
        if trial:
            gateway.switches[number].trying = True
            council.trying(local, self.sources[number], False)
        well = name not in self.gone
        self.after(20 * MS if well else OVERDUE, lambda: self.ended(gateway, council, number, trial, well))

    def ended(self, gateway: Gateway, council: Council, number: int, trial: bool, well: bool) -> None:
        switch, before = gateway.switches[number], gateway.switches[number].open
        if self.runs(gateway, council):
            self.services[gateway.place].saw(self.now + gateway.offset, self.hubs[number], not well)
        super().ended(gateway, council, number, trial, well)
        self.changed(gateway, number, switch, before)

    # what an observer sees

    def states(self, zone: str) -> list[str]:
        return [self.services[g.place].common.zone_state(self.now + g.offset, zone)[0]
                for g in self.gateways if g.alive]  # fmt: skip

    def hold(self, zone: str, state: str) -> float:
        """Share of the gateways that hold a zone for that."""
        states = self.states(zone)
        return states.count(state) / max(1, len(states))

    def worst_spill(self) -> float:
        """The most that spilled into a zone in a second, over what it takes."""
        worst = 0.0
        limits = {name: TAKES * 2 * sum(g.demand for g in self.gateways) / self.zone_count
                  for name in self.shape.zones}  # fmt: skip
        for zone in self.shape.zones:
            times = [f.at for f in self.fills_seen if f.to == zone and f.home != zone]
            first = 0
            for last, at in enumerate(times):
                while times[first] <= at - S:
                    first += 1
                worst = max(worst, (last - first + 1) / limits[zone])
        return worst

    def lost_share(self, start: int, end: int) -> float:
        """Share of the fills of a span for which there was nowhere, or only a hub that was gone."""
        span = [f for f in self.fills_seen if start <= f.at < end]
        return sum(not f.to for f in span) / max(1, len(span))

    def near_share(self, start: int, end: int) -> float:
        span = [f for f in self.fills_seen if start <= f.at < end]
        return sum(f.to == f.home for f in span) / max(1, len(span))

    def changes(self) -> int:
        """The most verdicts that one gateway has held after another, of all zones."""
        found = []
        for place in range(self.count):
            zones = self.services[place].common.zones
            found.append(zones.changes if zones is not None else 0)
        return max(found)
