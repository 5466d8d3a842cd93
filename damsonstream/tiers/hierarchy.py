"""The hierarchy of caches as an immutable value: nodes, zones, and which node fills from which. No I/O.

Roles: a `cache` answers GETs, a `hub` is a parent cache, the `vault` is the origin at the root. A `Topology`
keeps its nodes and zones in persistent maps (library immutables): `with_node` and `without_node` return a new
topology that shares all unchanged parts, so a GET in flight keeps the topology that it started with.
`differences(old, new)` describes what changed, one sentence each.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from immutables import Map

CACHE, HUB, VAULT = "cache", "hub", "vault"
ROLES = (CACHE, HUB, VAULT)
DEFAULT_RAMP_S = (
    20.0  # seconds in which a returning zone regains all of its traffic; a cold hub warms up in that time
)


@dataclass(slots=True, frozen=True)
class Node:
    """One cache, hub or vault. The field names are the keys of the file."""

    name: str
    role: str
    zone: str
    capacity: float  # per second: fills for hubs and the vault, GETs for caches; 0: not stated
    sources: tuple[str, ...] = ()  # in order of preference; empty for the vault


@dataclass(slots=True, frozen=True)
class Zone:
    """A failure domain: its hubs are lost and return together. The field names are the keys of the file."""

    name: str
    prefers: tuple[str, ...] = ()  # zones to which its caches spill over, in order
    takes: float = 0.5  # share of its hubs' capacity that spill from other zones may use
    gives: float = 1.0  # share of its own traffic that may spill over
    region: str = ""  # zones of the same region are preferred for spill
    ramp: float = (
        DEFAULT_RAMP_S  # seconds over which a returning zone regains its traffic while its hubs warm up
    )


def empty_nodes() -> Map[str, Node]:
    return Map()


def empty_zones() -> Map[str, Zone]:
    return Map()


@dataclass(slots=True, frozen=True)
class Topology:
    """One revision of the hierarchy."""

    revision: int = 0
    nodes: Map[str, Node] = field(default_factory=empty_nodes)
    zones: Map[str, Zone] = field(default_factory=empty_zones)
    vault_cap: float = 0.0  # fills per second from the vault by all gateways together; 0: no cap
    deepest: int = 4  # most nodes on a path from a cache to the vault, both included

    def with_node(self, node: Node) -> Topology:
        return replace(self, nodes=self.nodes.set(node.name, node))

    def without_node(self, name: str) -> Topology:
        """Removes the node, also from the sources of other nodes."""
        nodes = self.nodes.delete(name)
        for node in list(nodes.values()):
            if name in node.sources:
                remaining = tuple(source for source in node.sources if source != name)
                nodes = nodes.set(node.name, replace(node, sources=remaining))
        return replace(self, nodes=nodes)

    def with_zone(self, zone: Zone) -> Topology:
        return replace(self, zones=self.zones.set(zone.name, zone))

    def nodes_with_role(self, role: str) -> list[Node]:
        return sorted((node for node in self.nodes.values() if node.role == role), key=lambda node: node.name)

    @property
    def vaults(self) -> list[Node]:
        return self.nodes_with_role(VAULT)

    def edges(self) -> Iterator[tuple[str, str]]:
        """Yields (node, source) pairs in order of node name and preference."""
        for name in sorted(self.nodes):
            for source in self.nodes[name].sources:
                yield name, source

    def paths(self, name: str, excluded: frozenset[str] = frozenset()) -> Iterator[tuple[str, ...]]:
        """Yields the paths from a node to the vault, preferred ones first, that avoid the `excluded` nodes
        and have at most `deepest` nodes."""

        def extend(path: tuple[str, ...]) -> Iterator[tuple[str, ...]]:
            node = self.nodes.get(path[-1])
            if node is None or node.name in excluded or len(path) > self.deepest:
                return
            if node.role == VAULT:
                yield path
                return
            for source in node.sources:
                if source not in path:
                    yield from extend((*path, source))

        yield from extend((name,))

    def tier(self, name: str) -> int:
        """Returns the number of hops to the vault on the preferred path, or -1 if there is none."""
        path = next(self.paths(name), None)
        return -1 if path is None else len(path) - 1


def topology_of(
    revision: int, nodes: Iterable[Node], zones: Iterable[Zone] = (), **settings: float | int
) -> Topology:
    """Builds a topology; `settings` are the remaining fields of it."""
    topology = Topology(
        revision, Map({node.name: node for node in nodes}), Map({zone.name: zone for zone in zones})
    )
    return replace(topology, **settings)  # type: ignore[arg-type]


def differences(old: Topology, new: Topology) -> list[str]:
    """Describes what a revision changes, one sentence each."""
    changes = []
    for name in sorted(set(old.nodes) | set(new.nodes)):
        before, after = old.nodes.get(name), new.nodes.get(name)
        if before is None and after is not None:
            sources = ", ".join(after.sources) or "nothing"
            changes.append(f"{name} is added: {after.role} in {after.zone}, fills from {sources}")
        elif after is None and before is not None:
            changes.append(f"{name} is removed: {before.role} in {before.zone}")
        elif before is not None and after is not None and before != after:
            if before.role != after.role:
                changes.append(f"{name} becomes a {after.role}")
            if before.zone != after.zone:
                changes.append(f"{name} moves from {before.zone} to {after.zone}")
            if before.capacity != after.capacity:
                changes.append(f"{name} has a capacity of {after.capacity:g}/s, {before.capacity:g}/s before")
            if before.sources != after.sources:
                changes.append(f"{name} fills from {', '.join(after.sources) or 'nothing'}, "
                            f"before from {', '.join(before.sources) or 'nothing'}")  # fmt: skip
    for name in sorted(set(old.zones) | set(new.zones)):
        if old.zones.get(name) != new.zones.get(name):
            zone = new.zones.get(name)
            changes.append(
                f"zone {name} is removed"
                if zone is None
                else f"zone {name}: spills to {', '.join(zone.prefers) or 'nowhere'}, "
                f"takes {zone.takes:.0%}, "
                f"gives {zone.gives:.0%}, returns over {zone.ramp:g} s"
                + (f", in region {zone.region}" if zone.region else "")
            )
    if old.vault_cap != new.vault_cap:
        changes.append(f"vault cap {new.vault_cap:g}/s, {old.vault_cap:g}/s before")
    return changes
