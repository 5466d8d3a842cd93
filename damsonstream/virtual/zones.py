"""Simulates a fleet in virtual time that follows a hierarchy of zones: agents, `tiers` services, simplified
breakers, and hubs that the caller makes fail. No sockets.

Usage: `ZoneFleet(count, zones, seed, mode)`, then `lose_zone(zone)`, `restore_zone(zone)` and `until(when)`
as with any fleet; `fills` lists where each fill went. `mode`: `common` (as in production), `alone` (each
gateway decides by itself, with equal shares), `no limit` (sources in the file's order, without limits) or
`never` (no spill between zones).
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from damsonstream.peers import rendezvous
from damsonstream.peers.agent import PeerAgent, source_id
from damsonstream.peers.features import FEATURES
from damsonstream.tiers.hierarchy import CACHE, HUB, VAULT, Node, Topology, Zone, topology_of
from damsonstream.tiers.selector import LocalCoordinator, SourceSelector
from damsonstream.virtual.fleet import FILL_TIMEOUT, Breaker, Fleet, Gateway
from damsonstream.virtual.links import MS, Links, S

HUBS_PER_ZONE = 2
SPILL_FRACTION = 0.2  # of the capacity of a zone's hubs, open to fills of other zones
RAMP_SECONDS = 10.0
MODES = ("common", "alone", "no limit", "never")  # modes of ZoneFleet


@dataclass(slots=True, frozen=True)
class Fill:
    """One fill: its time, the zone that it came from, and the zone of the hub that it went to: `vault` if it
    went there, empty if it found no source."""

    at: int
    home: str
    to: str


def build_shape(zones: int, gateways: int, demand_per_gateway: float, spill_fraction: float) -> Topology:
    """Returns a hierarchy in which each zone's hubs have twice the capacity that its own caches need, and
    half of the zones are in either region."""
    zone_demand = demand_per_gateway * gateways / zones
    names = [f"z{n}" for n in range(zones)]
    nodes = [Node("vault", VAULT, names[0], 0.0)]
    zone_list = []
    for n, name in enumerate(names):
        others = [names[(n + step) % zones] for step in range(1, zones)]
        zone_list.append(
            Zone(name, tuple(others), spill_fraction, region=f"r{n * 2 // zones}", ramp=RAMP_SECONDS)
        )
        nodes += [Node(f"{name}-h{h}", HUB, name, 2 * zone_demand / HUBS_PER_ZONE, ("vault",))
                  for h in range(HUBS_PER_ZONE)]  # fmt: skip
        sources = [f"{zone}-h{h}" for zone in (name, *others) for h in range(HUBS_PER_ZONE)]
        nodes.append(Node(f"{name}-c", CACHE, name, zone_demand, (*sources, "vault")))
    return topology_of(1, nodes, zone_list, vault_cap=0.1 * demand_per_gateway * gateways)


class ZoneFleet(Fleet):
    """A fleet of gateways that fill from the hubs of several zones and from one vault."""

    def __init__(
        self, count: int, zones: int, seed: int, mode: str = "common", links: Links | None = None,
        fills_per_second: float = 2.0,
    ) -> None:  # fmt: skip
        """`fills_per_second`: the mean per gateway; demands differ by gateway."""
        self.mode, self.zone_count = mode, zones
        self.shape = build_shape(zones, count, fills_per_second, 0.0 if mode == "never" else SPILL_FRACTION)
        self.hubs = [node.name for node in self.shape.nodes_with_role(HUB)]
        self.services: dict[int, SourceSelector] = {}
        self.fills: list[Fill] = []
        self.lost_hubs: set[str] = set()
        features = frozenset(FEATURES) if mode in ("common", "never") else frozenset[str]()
        # a Pareto distribution, as in benchmarks/peers.py: most gateways have little demand
        rng = random.Random(seed)
        weights = [rng.paretovariate(1.8) for _ in range(count)]
        total = sum(weights)
        super().__init__(count, seed, sources=len(self.hubs), links=links, features=features, locations=zones,
                         demands=[fills_per_second * count * weight / total for weight in weights],
                         fills_per_get=1.0)  # fmt: skip
        self.sources = [source_id(name) for name in self.hubs]

    def new_agent(self, index: int, clock_offset: int, boot_count: int = 1) -> PeerAgent:
        agent = super().new_agent(index, clock_offset, boot_count)
        agent.nodes_listed((), tuple(source_id(name) for name in self.hubs))
        zone_view = agent if self.mode in ("common", "never") else LocalCoordinator(self.count)
        now = self.now + clock_offset
        service = self.services[index] = SourceSelector(zone_view, index, now, self.mode != "no limit")
        refused = service.apply(now, self.shape)
        assert refused is None, refused
        return agent

    def zone_of(self, index: int) -> str:
        """Returns the zone of a gateway."""
        return f"z{index % self.zone_count}"

    def lose_zone(self, zone: str) -> None:
        """Makes all hubs of a zone fail."""
        self.lost_hubs |= {hub for hub in self.hubs if self.shape.nodes[hub].zone == zone}

    def restore_zone(self, zone: str) -> None:
        """Makes all hubs of a zone work again."""
        self.lost_hubs = {hub for hub in self.lost_hubs if self.shape.nodes[hub].zone != zone}

    def poll_agent(self, gateway: Gateway, agent: PeerAgent) -> None:
        if self.is_current(gateway, agent) and self.now >= gateway.stalled_until:
            self.services[gateway.index].tick(self.now + gateway.clock_offset)
        super().poll_agent(gateway, agent)

    def apply_verdict(self, gateway: Gateway, source: int, verdict: str) -> None:
        source_index = self.sources.index(source)
        breaker = gateway.breakers[source_index]
        was_open = breaker.open
        super().apply_verdict(gateway, source, verdict)
        self.notify_breaker_change(gateway, source_index, breaker, was_open)

    def notify_breaker_change(
        self, gateway: Gateway, source_index: int, breaker: Breaker, was_open: bool
    ) -> None:
        """Notifies the `tiers` service if a breaker has opened or closed."""
        if breaker.open != was_open:
            state = "Open" if breaker.open else "Closed"
            self.services[gateway.index].breaker_changed(self.hubs[source_index], state)

    def usable_sources(self, gateway: Gateway, local: int) -> Iterable[str]:
        """Yields the hubs whose breakers let this gateway use them now, then the vault."""
        key = self.rng.getrandbits(30)
        for source_index in sorted(range(len(self.hubs)), key=lambda n: rendezvous.weight(n, key)):
            if not gateway.breakers[source_index].open or self.may_try(gateway, source_index, local):
                yield self.hubs[source_index]
        yield "vault"

    def send_get(self, gateway: Gateway, agent: PeerAgent) -> None:
        if not self.is_current(gateway, agent):
            return
        self.after(self.random_interval(gateway.demand), lambda: self.send_get(gateway, agent))
        if self.now < gateway.stalled_until:
            return
        local, own_zone = self.now + gateway.clock_offset, self.zone_of(gateway.index)
        agent.get_received(local)
        service, cache = self.services[gateway.index], f"{own_zone}-c"
        allowed = service.eligible_sources(
            local, cache, self.rng.random(), list(self.usable_sources(gateway, local))
        )
        if not allowed:
            self.fills.append(Fill(self.now, own_zone, ""))
            return
        name = allowed[0]
        service.charge_fill(local, cache, name)
        if name == "vault":
            self.fills.append(Fill(self.now, own_zone, "vault"))
            return
        source_index = self.hubs.index(name)
        self.fills.append(Fill(self.now, own_zone, self.shape.nodes[name].zone))
        is_trial = gateway.breakers[source_index].open
        if is_trial:
            gateway.breakers[source_index].trying = True
            agent.trial_started(local, self.sources[source_index], False)
        succeeds = name not in self.lost_hubs
        self.after(20 * MS if succeeds else FILL_TIMEOUT,
                   lambda: self.fill_ended(gateway, agent, source_index, is_trial, succeeds))  # fmt: skip

    def fill_ended(
        self, gateway: Gateway, agent: PeerAgent, source_index: int, is_trial: bool, succeeded: bool
    ) -> None:
        breaker, was_open = gateway.breakers[source_index], gateway.breakers[source_index].open
        if self.is_current(gateway, agent):
            self.services[gateway.index].record_fill(
                self.now + gateway.clock_offset, self.hubs[source_index], not succeeded
            )
        super().fill_ended(gateway, agent, source_index, is_trial, succeeded)
        self.notify_breaker_change(gateway, source_index, breaker, was_open)

    # measurements

    def states(self, zone: str) -> list[str]:
        """Returns the state of a zone at each running gateway."""
        return [self.services[g.index].coordinator.zone_state(self.now + g.clock_offset, zone)[0]
                for g in self.gateways if g.alive]  # fmt: skip

    def fraction_in_state(self, zone: str, state: str) -> float:
        """Returns the fraction of the running gateways at which a zone has that state."""
        states = self.states(zone)
        return states.count(state) / max(1, len(states))

    def max_spill_ratio(self) -> float:
        """Returns the most fills that spilled into one zone within a second, divided by its limit."""
        largest = 0.0
        limits = {name: SPILL_FRACTION * 2 * sum(g.demand for g in self.gateways) / self.zone_count
                  for name in self.shape.zones}  # fmt: skip
        for zone in self.shape.zones:
            times = [f.at for f in self.fills if f.to == zone and f.home != zone]
            first = 0
            for last, at in enumerate(times):
                while times[first] <= at - S:
                    first += 1
                largest = max(largest, (last - first + 1) / limits[zone])
        return largest

    def unserved_fraction(self, start: int, end: int) -> float:
        """Returns the fraction of the fills between two times that found no source."""
        span = [f for f in self.fills if start <= f.at < end]
        return sum(not f.to for f in span) / max(1, len(span))

    def own_zone_fraction(self, start: int, end: int) -> float:
        """Returns the fraction of the fills between two times that stayed in their own zone."""
        span = [f for f in self.fills if start <= f.at < end]
        return sum(f.to == f.home for f in span) / max(1, len(span))

    def max_changes(self) -> int:
        """Returns the largest number of changes of verdict at one gateway, over all zones."""
        found = []
        for index in range(self.count):
            zones = self.services[index].coordinator.zones
            found.append(zones.changes if zones is not None else 0)
        return max(found)
