"""The operator's hierarchy in service at one gateway: which sources each fill may name. No I/O.

How it is called: the router asks `has`, `among` and tells `sent`, `unspent`, `saw`, `turned`
(`routing/interface.py`, Tiers). Around it, `apply(now, shape)` takes a revision whole or refuses
it, `told(name, state)` the bulletin's word, and `tick(now)`, some ten times a second, passes on what this
gateway sees of each zone. Times are whole tenths of a millisecond.

Among the sources that the router could use, those remain that the file lets this cache fill from: hubs of
its own zone in the router's hash order, as far as the zone carries the object; then those of zones into
which it may spill (tiers/near.py); then the vault, under the cap that holds for all (tiers/shield.py). What
is left may be nothing: copies only, or shed. A Half-Open hub's trial, which the router's breaker and the
fleet's turns space, is let through whatever is believed of its zone. Besides, while a zone is lost for all,
all gateways of a location together try its hubs with `TRIALS` fills a second; their answers end the loss.

What is believed of a zone comes from `common`: the fleet's council, or `Alone` where no messages are sent.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from damsonstream.tiers.near import GOLDEN, Budget, Near
from damsonstream.tiers.revisions import Refused, Revisions
from damsonstream.tiers.shape import CACHE, HUB, VAULT, Shape
from damsonstream.tiers.shield import Shield
from damsonstream.tiers.verdicts import Verdicts
from damsonstream.tiers.zones import FIRST, MOST, TRIES

S = 10_000
# Bad ends in a row at a hub whose breaker is not Closed, before it counts as one that gives nothing. A
# breaker opens on half failures too: at two fifths one hub in sixteen has such a run, two at once hardly any.
RUN = 3
# Fills a second at a lost zone by all gateways of a location together, whose caches are its own: enough good
# ones come within a second. Divided among all of a fleet of 200 it took 26 s until the return began.
TRIALS = 2.0 * TRIES
SPILLED, TRIED, GUARDED = "spilled", "tried", "guarded"  # which budget a fill was paid from


class Common(Protocol):
    """What is believed of zones, and this gateway's part of what all may do."""

    @property
    def zones(self) -> Verdicts | None: ...

    def follow(self, now: int, zones: dict[str, float]) -> None:
        """The zones of the file, with the seconds of each one's return."""

    def zone_carries(self, now: int, zone: str) -> float: ...

    def zone_saw(
        self, now: int, zone: str, failing: bool, own: bool, answered: bool, hubs: list[str]
    ) -> None:
        """Most of its hubs are Open here (`failing`); since the last word one failed here (`own`), or gave
        something (`answered`)."""

    def zone_state(self, now: int, zone: str) -> tuple[str, int, int]:
        """State, twentieths of a return, flaps."""

    def dead(self, hub: str) -> bool:
        """Whether enough gateways saw nothing but bad ends of it."""

    def part(self, now: int, home: bool) -> float: ...


class Alone:
    """One gateway's own belief, and an equal part of what is told; nobody is asked."""

    def __init__(self, gateways: int) -> None:
        self.gateways, self.zones = max(1, gateways), Verdicts(agree=1)

    def follow(self, now: int, zones: dict[str, float]) -> None:
        self.zones.follow(zones, now / S)

    def zone_carries(self, now: int, zone: str) -> float:
        return self.zones.carries(zone, now / S)

    def zone_saw(
        self, now: int, zone: str, failing: bool, own: bool, answered: bool, hubs: list[str]
    ) -> None:
        self.zones.sees(zone, failing, 0, 0, now / S, answered, own)
        if own or answered:
            self.zones.tried(zone, answered, now / S)
        self.zones.look(now / S)

    def zone_state(self, now: int, zone: str) -> tuple[str, int, int]:
        verdict = self.zones.beliefs[zone].verdict
        return self.zones.state(zone, now / S), verdict.progress, verdict.flaps

    def dead(self, hub: str) -> bool:
        return False

    def part(self, now: int, home: bool) -> float:
        return 1 / self.gateways


@dataclass(slots=True)
class Sight:
    """What this gateway saw itself of a zone's hubs since that was passed on last."""

    failed: bool = False
    answered: bool = False
    tries: Budget | None = None


class Service:
    def __init__(self, common: Common, place: int, now: int, bounded: bool = True) -> None:
        """`place` among all gateways, for what they should not do in step. Not `bounded`: the file's order
        of sources, and nothing decided in common."""
        self.common, self.bounded = common, bounded
        self.phase = (place * GOLDEN) % 1.0  # even over any run of places
        self.revisions = Revisions()
        self.near = Near(Shape(), self.phase)
        self.shield = Shield(0.0, now / S)
        self.shut: set[str] = set()  # hubs whose breaker is not Closed; emptied as they are, or go
        self.runs: Counter[str] = Counter()  # bad ends in a row, by hub; some of the file's
        self.sights: dict[str, Sight] = {}  # as long as the file's zones
        self.hubs: dict[str, list[str]] = {}  # by zone
        # what is asked for each GET, made with each shape: sources by cache, zones of hubs, the vault's name
        self.fills: dict[str, frozenset[str]] = {}
        self.zone_of: dict[str, str] = {}
        self.vaults: frozenset[str] = frozenset()
        self.homes: set[str] = set()  # zones of this gateway's own caches; some of the file's

    # revisions

    @property
    def shape(self) -> Shape:
        return self.revisions.current

    def apply(self, now: int, shape: Shape) -> Refused | None:
        """Whole, or not at all. What is believed and budgeted of zones that stay is kept."""
        refused = self.revisions.apply(shape)
        if refused is None:
            before, self.near = self.near, Near(shape, self.phase)
            self.near.budgets |= {n: b for n, b in before.budgets.items() if n in self.near.budgets}
            self.near.spilt, self.near.held_back = before.spilt, before.held_back
            self.common.follow(now, {name: zone.ramp for name, zone in sorted(shape.zones.items())})
            self.sights = {name: self.sights.get(name, Sight()) for name in shape.zones}
            self.homes.intersection_update(shape.zones)
            self.shield.cap = shape.vault_cap
            self.settle()
        return refused

    def told(self, name: str, state: str) -> None:
        """The bulletin's word of a node: active, leaving or left."""
        before = self.shape
        self.revisions.told(name, state)
        if self.shape is not before:
            self.settle()

    def settle(self) -> None:
        shape = self.shape
        self.zone_of = {node.name: node.zone for node in shape.role(HUB)}
        self.hubs = {zone: [] for zone in shape.zones}
        for name, zone in self.zone_of.items():
            self.hubs.setdefault(zone, []).append(name)
        self.vaults = frozenset(node.name for node in shape.vaults)
        known = {*self.zone_of, *self.vaults}
        self.fills = {node.name: frozenset(known.intersection(node.sources)) for node in shape.role(CACHE)}
        self.shut.intersection_update(shape.nodes)
        self.runs = Counter({name: run for name, run in self.runs.items() if name in shape.nodes})

    # what the router asks and tells

    def has(self, cache: str) -> bool:
        """Whether the file says who fills it."""
        return cache in self.fills

    def among(self, now: int, cache: str, place: float, sources: list[str]) -> list[str]:
        fills = self.fills.get(cache)
        if fills is None or (home := self.shape.nodes[cache].zone) not in self.near.zones:
            return []
        allowed, zones = [name for name in sources if name in fills], self.zone_of
        mine = [name for name in allowed if zones.get(name) == home]
        if mine and (not self.bounded or place < self.common.zone_carries(now, home)):
            return mine  # most GETs: nothing further off has to be looked at
        vault = [name for name in allowed if name in self.vaults]
        part, at = self.common.part(now, False), now / S
        self.homes.add(home)
        if not self.bounded:
            ways = [home, *self.near.order(home)]
        else:
            ways = self.near.ways(home, place, lambda zone: self.common.zone_carries(now, zone), part, at)
            self.shield.share = part
            vault = [name for name in vault if self.shield.fits(at)]
        found = [name for zone in ways for name in allowed if zones.get(name) == zone]
        if home not in ways:
            lost = self.common.zone_carries(now, home) < FIRST  # what returns has its ramp
            tries = lost and self.tries(home).has(TRIALS * self.common.part(now, True), at)
            found = [n for n in allowed if zones.get(n) == home and (tries or n in self.shut)] + found
        found += vault
        if not found:
            self.near.held_back[home] += 1
        return found

    def tries(self, zone: str) -> Budget:
        sight = self.sights[zone]
        if sight.tries is None:
            sight.tries = Budget(self.phase)
        return sight.tries

    def sent(self, now: int, cache: str, source: str) -> str:
        """A fill goes out; what it was paid from, for `unspent`."""
        node, other = self.shape.nodes.get(cache), self.shape.nodes.get(source)
        if node is None or other is None:
            return ""
        if other.role == VAULT:
            self.shield.take(now / S)
            return GUARDED
        if other.zone != node.zone:
            self.near.spend(node.zone, other.zone)
            return SPILLED
        if self.common.zone_carries(now, node.zone) < FIRST and source not in self.shut:
            self.tries(node.zone).saved -= 1.0
            return TRIED
        return ""

    def unspent(self, cache: str, source: str, paid: str) -> None:
        node, other = self.shape.nodes.get(cache), self.shape.nodes.get(source)
        if paid == GUARDED:
            self.shield.give_back()
        elif node is not None and other is not None and paid == SPILLED:
            self.near.refund(node.zone, other.zone)
        elif node is not None and paid == TRIED:
            self.tries(node.zone).saved += 1.0

    def saw(self, now: int, source: str, bad: bool) -> None:
        other = self.shape.nodes.get(source)
        if other is None or other.role == CACHE:
            return  # a cache's own answers say nothing of its zone's hubs
        if other.role == VAULT:
            self.shield.ended(now / S, not bad)
        elif (sight := self.sights.get(other.zone)) is not None:
            sight.failed |= bad
            sight.answered |= not bad
            self.runs[source] = self.runs[source] + 1 if bad else 0
            if other.zone not in self.homes:
                self.near.budgets[other.zone].judge(not bad)

    def turned(self, source: str, state: str) -> None:
        """Its breaker's new state."""
        if state == "Closed":
            self.shut.discard(source)
            self.runs.pop(source, None)
        elif source in self.shape.nodes:
            self.shut.add(source)

    # zones

    def failing(self, zone: str) -> bool:
        """Most of its hubs give nothing: not Closed here, by a run of bad ends or on the fleet's word. A hub
        that is slow or fails in part is its breaker's matter."""
        hubs = self.hubs.get(zone, [])
        gone = [n for n in hubs if n in self.shut and (self.runs[n] >= RUN or self.common.dead(n))]
        return len(gone) > MOST * len(hubs)

    def tick(self, now: int) -> None:
        for zone, sight in self.sights.items():
            failed, answered, sight.failed, sight.answered = sight.failed, sight.answered, False, False
            self.common.zone_saw(now, zone, self.failing(zone), failed, answered, self.hubs.get(zone, []))
