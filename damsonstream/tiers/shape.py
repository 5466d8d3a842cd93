"""The hierarchy of caches as a value: who is there, where, and who fills from whom. No I/O, never changed in
place.

How it is called: `Shape(...)` with persistent maps (library immutables): `with_node`, `without_node` give a
new shape that shares all that is the same, so that a GET under way keeps the one that it began with.
`differences(old, new)` says what changed, in words.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from immutables import Map

CACHE, HUB, VAULT = "cache", "hub", "vault"
ROLES = (CACHE, HUB, VAULT)
RAMP = 20.0  # seconds from the first share to the whole: a cold hub warms in that time


@dataclass(slots=True, frozen=True)
class Node:
    name: str
    role: str
    zone: str
    capacity: float  # fills (hubs, vault) or GETs (caches) a second that it bears; 0: not told
    sources: tuple[str, ...] = ()  # in order of preference; none: it is the vault


@dataclass(slots=True, frozen=True)
class Zone:
    """A place that is lost and comes back as a whole."""

    name: str
    prefers: tuple[str, ...] = ()  # zones that its shops spill to, in order
    takes: float = 0.5  # share of its hubs' capacity that may be used by what spills into it
    gives: float = 1.0  # share of its own traffic that may spill at all
    region: str = ""  # zones of one region are nearer to each other than to others
    ramp: float = RAMP  # seconds over which a zone that was lost gets its objects back: its hubs warm in it


def empty_nodes() -> Map[str, Node]:
    return Map()


def empty_zones() -> Map[str, Zone]:
    return Map()


@dataclass(slots=True, frozen=True)
class Shape:
    revision: int = 0
    nodes: Map[str, Node] = field(default_factory=empty_nodes)
    zones: Map[str, Zone] = field(default_factory=empty_zones)
    vault_cap: float = 0.0  # fills a second that all gateways together may ask of the vault, 0: no cap
    deepest: int = 4  # nodes on the way from a cache to the vault, both counted

    def with_node(self, node: Node) -> Shape:
        return replace(self, nodes=self.nodes.set(node.name, node))

    def without_node(self, name: str) -> Shape:
        """The node goes, also as a source of others."""
        nodes = self.nodes.delete(name)
        for one in list(nodes.values()):
            if name in one.sources:
                left = tuple(source for source in one.sources if source != name)
                nodes = nodes.set(one.name, replace(one, sources=left))
        return replace(self, nodes=nodes)

    def with_zone(self, zone: Zone) -> Shape:
        return replace(self, zones=self.zones.set(zone.name, zone))

    def role(self, role: str) -> list[Node]:
        return sorted((node for node in self.nodes.values() if node.role == role), key=lambda node: node.name)

    @property
    def vaults(self) -> list[Node]:
        return self.role(VAULT)

    def edges(self) -> Iterator[tuple[str, str]]:
        """Who fills from whom."""
        for name in sorted(self.nodes):
            for source in self.nodes[name].sources:
                yield name, source

    def ways(self, name: str, gone: frozenset[str] = frozenset()) -> Iterator[tuple[str, ...]]:
        """Ways from a node to the vault, the preferred ones first, without nodes that are gone. Bounded by
        `deepest`."""

        def go(way: tuple[str, ...]) -> Iterator[tuple[str, ...]]:
            node = self.nodes.get(way[-1])
            if node is None or node.name in gone or len(way) > self.deepest:
                return
            if node.role == VAULT:
                yield way
                return
            for source in node.sources:
                if source not in way:
                    yield from go((*way, source))

        yield from go((name,))

    def tier(self, name: str) -> int:
        """How far from the vault, by the preferred way; -1: there is none."""
        way = next(self.ways(name), None)
        return -1 if way is None else len(way) - 1


def shape_of(revision: int, nodes: Iterable[Node], zones: Iterable[Zone] = (), **more: float | int) -> Shape:
    made = Shape(revision, Map({node.name: node for node in nodes}), Map({zone.name: zone for zone in zones}))
    return replace(made, **more)  # type: ignore[arg-type]


def differences(old: Shape, new: Shape) -> list[str]:
    """What a revision changes, a sentence each."""
    told = []
    for name in sorted(set(old.nodes) | set(new.nodes)):
        before, after = old.nodes.get(name), new.nodes.get(name)
        if before is None and after is not None:
            sources = ", ".join(after.sources) or "nothing"
            told.append(f"{name} comes: {after.role} in {after.zone}, filled from {sources}")
        elif after is None and before is not None:
            told.append(f"{name} goes: {before.role} in {before.zone}")
        elif before is not None and after is not None and before != after:
            if before.role != after.role:
                told.append(f"{name} becomes a {after.role}")
            if before.zone != after.zone:
                told.append(f"{name} moves from {before.zone} to {after.zone}")
            if before.capacity != after.capacity:
                told.append(f"{name} bears {after.capacity:g} a second, {before.capacity:g} before")
            if before.sources != after.sources:
                told.append(f"{name} is filled from {', '.join(after.sources) or 'nothing'}, "
                            f"before from {', '.join(before.sources) or 'nothing'}")  # fmt: skip
    for name in sorted(set(old.zones) | set(new.zones)):
        if old.zones.get(name) != new.zones.get(name):
            zone = new.zones.get(name)
            told.append(
                f"zone {name} goes"
                if zone is None
                else f"zone {name}: spills to {', '.join(zone.prefers) or 'nowhere'}, "
                f"takes {zone.takes:.0%}, "
                f"gives {zone.gives:.0%}, back in {zone.ramp:g} s"
                + (f", in region {zone.region}" if zone.region else "")
            )
    if old.vault_cap != new.vault_cap:
        told.append(f"vault cap {new.vault_cap:g} a second, {old.vault_cap:g} before")
    return told
