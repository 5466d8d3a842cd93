"""Validates a topology before it carries traffic, and simulates the loss of a zone. No I/O.

`check(topology, before)` returns a list of `Problem`s, each with a kind and a sentence; an empty list means
that the topology may be applied. `before` is the topology that some gateways may still use: gateways do not
switch at the same instant, so the sources of both topologies together must not form a cycle either.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from damsonstream.tiers.hierarchy import CACHE, HUB, ROLES, VAULT, Topology

MAX_NODES = 10_000


@dataclass(slots=True, frozen=True)
class Problem:
    """One rule that a topology breaks. `tiers check --json` prints the fields under their names."""

    # loop, crossing (a cycle of two revisions together), unknown (source), vault (not exactly one), orphan
    # (no sources), no-way (no path to the vault), too-deep, role, zone, capacity or size
    kind: str
    what: str
    loop: tuple[str, ...] = ()  # the nodes of the cycle, for the kinds loop and crossing
    of: str = ""  # the zone or node to correct


def find_cycles(edges: Iterable[tuple[str, str]]) -> list[tuple[str, ...]]:
    """Returns one cycle of each strongly connected component, starting at its smallest name.

    Tarjan's algorithm without recursion: a very deep file must not overflow the stack."""
    successors: dict[str, list[str]] = {}
    for a, b in edges:
        successors.setdefault(a, []).append(b)
        successors.setdefault(b, [])
    number: dict[str, int] = {}
    low: dict[str, int] = {}
    on_stack: dict[str, None] = {}
    found: list[tuple[str, ...]] = []
    for root in sorted(successors):
        if root in number:
            continue
        stack: list[tuple[str, int]] = [(root, 0)]
        while stack:
            name, position = stack.pop()
            if position == 0:
                number[name] = low[name] = len(number)
                on_stack[name] = None
            next_names = successors[name]
            if position < len(next_names):
                stack.append((name, position + 1))
                successor = next_names[position]
                if successor not in number:
                    stack.append((successor, 0))
                elif successor in on_stack:
                    low[name] = min(low[name], number[successor])
                continue
            for successor in next_names:
                if successor in on_stack:
                    low[name] = min(low[name], low[successor])
            if low[name] == number[name]:
                component = []
                while True:
                    last = next(reversed(on_stack))
                    del on_stack[last]
                    component.append(last)
                    if last == name:
                        break
                if len(component) > 1 or name in successors[name]:
                    found.append(shortest_cycle(set(component), successors))
    return sorted(found)


def shortest_cycle(component: set[str], successors: Mapping[str, list[str]]) -> tuple[str, ...]:
    """Returns the shortest cycle through the smallest name of a strongly connected component."""
    first = min(component)
    paths: list[tuple[str, ...]] = [(first,)]
    seen = {first}
    while paths:
        extended = []
        for path in paths:
            for other in sorted(successors[path[-1]]):
                if other == first:
                    return path
                if other in component and other not in seen:
                    seen.add(other)
                    extended.append((*path, other))
        paths = extended
    return (first,)


def format_cycle(cycle: tuple[str, ...]) -> str:
    """Formats a cycle as `a -> b -> a`."""
    return " -> ".join((*cycle, cycle[0]))


def check(topology: Topology, before: Topology | None = None) -> list[Problem]:
    """Returns the problems of a topology; reachability and the transition from `before` are checked only if
    it has no cycles."""
    if len(topology.nodes) > MAX_NODES:
        return [Problem("size", f"{len(topology.nodes)} nodes, at most {MAX_NODES} allowed")]
    found = [*check_nodes(topology)]
    cycles = find_cycles(topology.edges())
    found += [
        Problem("loop", f"circular sources: {format_cycle(cycle)}", cycle, cycle[0]) for cycle in cycles
    ]
    if not cycles:
        found += [*check_reachability(topology)]
        if before is not None:
            found += [*check_transition(topology, before)]
    return found


def check_nodes(topology: Topology) -> Iterable[Problem]:
    """Checks each node and zone by itself: role, zone, sources, spill targets."""
    vaults = [node.name for node in topology.vaults]
    if len(vaults) != 1:
        yield Problem(
            "vault", f"exactly one vault is required, found {len(vaults)}: {', '.join(vaults) or 'none'}",
            of=vaults[-1] if vaults else "",
        )  # fmt: skip
    for name in sorted(topology.nodes):
        node = topology.nodes[name]
        if node.role not in ROLES:
            yield Problem(
                "role", f"{name} has the role {node.role}, which is not one of {', '.join(ROLES)}", of=name
            )
        if node.zone not in topology.zones:
            yield Problem("zone", f"{name} is in zone {node.zone}, which is not defined", of=name)
        if node.role == VAULT and node.sources:
            yield Problem("role", f"{name} is the vault but has sources: {', '.join(node.sources)}", of=name)
        if node.role != VAULT and not node.sources:
            yield Problem("orphan", f"{name} has no source", of=name)
        for source in node.sources:
            other = topology.nodes.get(source)
            if other is None:
                yield Problem("unknown", f"{name} fills from {source}, which is not defined", of=name)
            elif other.role == CACHE:
                yield Problem("role", f"{name} fills from {source}, which is a cache", of=name)
        if len(set(node.sources)) != len(node.sources):
            yield Problem("role", f"{name} lists a source twice", of=name)
    for name in sorted(topology.zones):
        for preferred in topology.zones[name].prefers:
            if preferred not in topology.zones or preferred == name:
                what = "itself" if preferred == name else "not defined"
                yield Problem("zone", f"zone {name} spills to {preferred}, which is {what}", of=name)


def check_reachability(topology: Topology) -> Iterable[Problem]:
    """Checks that every node has a path to the vault of at most `deepest` nodes."""
    for name in sorted(topology.nodes):
        node = topology.nodes[name]
        if (
            node.role == VAULT
            or not node.sources
            or any(source not in topology.nodes for source in node.sources)
        ):
            continue
        if next(topology.paths(name), None) is None:
            path = shortest_path(topology, name)
            if path:
                yield Problem(
                    "too-deep",
                    f"{name} reaches the vault over {len(path)} nodes, at most {topology.deepest} allowed: "
                    f"{' -> '.join(path)}",
                    of=name,
                )
            else:
                yield Problem("no-way", f"{name} has no path to the vault", of=name)


def shortest_path(topology: Topology, start: str) -> tuple[str, ...]:
    """Returns the shortest path to the vault regardless of `deepest`, or an empty tuple."""
    paths: list[tuple[str, ...]] = [(start,)]
    seen = {start}
    while paths:
        extended: list[tuple[str, ...]] = []
        for path in paths:
            node = topology.nodes.get(path[-1])
            if node is None:
                continue
            if node.role == VAULT:
                return path
            for source in node.sources:
                if source not in seen:
                    seen.add(source)
                    extended.append((*path, source))
        paths = extended
    return ()


def check_transition(topology: Topology, before: Topology) -> Iterable[Problem]:
    """Checks for cycles that two revisions form together.

    Each may be free of cycles, but while some gateways use one and some the other, fills can go round."""
    edges = {*topology.edges(), *before.edges()}
    for cycle in find_cycles(edges):
        pairs = list(zip(cycle, (*cycle[1:], cycle[0]), strict=True))
        new = set(topology.edges())
        labeled = [f"{a} -> {b} ({'new' if (a, b) in new else 'old'})" for a, b in pairs]
        yield Problem(
            "crossing",
            f"old and new sources form a cycle together: {', '.join(labeled)}; remove the old source first",
            cycle,
            cycle[0],
        )


def without_zone(topology: Topology, zone: str) -> Topology:
    """Returns the topology without the nodes of a zone."""
    for node in [node for node in topology.nodes.values() if node.zone == zone]:
        topology = topology.without_node(node.name)
    return topology


@dataclass(slots=True, frozen=True)
class ZoneLoss:
    """The load on the remaining hubs when a zone is lost."""

    zone: str
    stranded: tuple[str, ...]  # caches without a path to the vault
    hub_loads: dict[str, float]  # by hub: fills per second, spill included
    overloads: dict[str, float]  # by hub: load over its capacity or its spill limit, where above 1


def simulate_zone_loss(topology: Topology, zone: str, miss_ratio: float = 0.3) -> ZoneLoss:
    """Sends each cache's fills (its capacity times the miss ratio) to its first remaining source.

    What exceeds a zone's spill limit is reported as overload and not moved on, since it would be shed."""
    lost_nodes = frozenset(node.name for node in topology.nodes.values() if node.zone == zone)
    hub_loads: dict[str, float] = {}
    spilled: dict[str, float] = {}
    stranded = []
    for cache in topology.nodes_with_role(CACHE):
        if cache.name in lost_nodes:
            continue
        path = next(topology.paths(cache.name, lost_nodes), None)
        if path is None:
            stranded.append(cache.name)
            continue
        usual_path = next(topology.paths(cache.name), path)
        fills = cache.capacity * miss_ratio
        hub_loads[path[1]] = hub_loads.get(path[1], 0.0) + fills
        if usual_path[1] != path[1]:
            spilled[path[1]] = spilled.get(path[1], 0.0) + fills
    overloads = {}
    for name, fills in hub_loads.items():
        node = topology.nodes[name]
        if not node.capacity or node.role != HUB:
            continue
        takes = topology.zones[node.zone].takes if node.zone in topology.zones else 1.0
        ratio = max(fills / node.capacity, spilled.get(name, 0.0) / (takes * node.capacity) if takes else 0.0)
        if ratio > 1 + 1e-9:
            overloads[name] = round(ratio, 3)
    return ZoneLoss(
        zone,
        tuple(stranded),
        {n: round(f, 1) for n, f in sorted(hub_loads.items())},
        dict(sorted(overloads.items())),
    )
