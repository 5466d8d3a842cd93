"""What is wrong with a shape before it carries traffic. No I/O.

How it is called: `check(shape, before)` returns `Wrong`s, each with its kind and a sentence; none means that
it may be applied. `before` is the shape that gateways may still have: they do not change at one instant, so
that what fills from whom in either of them must not run in a circle.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from damsonstream.tiers.shape import CACHE, HUB, ROLES, VAULT, Shape

MOST_NODES = 10_000


@dataclass(slots=True, frozen=True)
class Wrong:
    kind: str  # loop, crossing, unknown, vault, orphan, no-way, too-deep, role, zone, capacity or size
    what: str
    loop: tuple[str, ...] = ()
    of: str = ""  # the zone or node at which it is to be mended


def loops(edges: Iterable[tuple[str, str]]) -> list[tuple[str, ...]]:
    """A loop of each knot (strongly connected part), each from its first name on; Tarjan's, without
    recursion: a file made to be deep must not end the process."""
    out: dict[str, list[str]] = {}
    for a, b in edges:
        out.setdefault(a, []).append(b)
        out.setdefault(b, [])
    number: dict[str, int] = {}
    low: dict[str, int] = {}
    on: dict[str, None] = {}
    found: list[tuple[str, ...]] = []
    for root in sorted(out):
        if root in number:
            continue
        stack: list[tuple[str, int]] = [(root, 0)]
        while stack:
            name, place = stack.pop()
            if place == 0:
                number[name] = low[name] = len(number)
                on[name] = None
            following = out[name]
            if place < len(following):
                stack.append((name, place + 1))
                other = following[place]
                if other not in number:
                    stack.append((other, 0))
                elif other in on:
                    low[name] = min(low[name], number[other])
                continue
            for other in following:
                if other in on:
                    low[name] = min(low[name], low[other])
            if low[name] == number[name]:
                knot = []
                while True:
                    last = next(reversed(on))
                    del on[last]
                    knot.append(last)
                    if last == name:
                        break
                if len(knot) > 1 or name in out[name]:
                    found.append(circle(set(knot), out))
    return sorted(found)


def circle(knot: set[str], out: Mapping[str, list[str]]) -> tuple[str, ...]:
    """The shortest way round from the knot's first name back to it."""
    first = min(knot)
    ways: list[tuple[str, ...]] = [(first,)]
    seen = {first}
    while ways:
        longer = []
        for way in ways:
            for other in sorted(out[way[-1]]):
                if other == first:
                    return way
                if other in knot and other not in seen:
                    seen.add(other)
                    longer.append((*way, other))
        ways = longer
    return (first,)


def told(loop: tuple[str, ...]) -> str:
    return " -> ".join((*loop, loop[0]))


def check(shape: Shape, before: Shape | None = None) -> list[Wrong]:
    if len(shape.nodes) > MOST_NODES:
        return [Wrong("size", f"{len(shape.nodes)} nodes, {MOST_NODES} at the most")]
    found = [*members(shape)]
    own = loops(shape.edges())
    found += [Wrong("loop", f"fills run in a circle: {told(loop)}", loop, loop[0]) for loop in own]
    if not own:
        found += [*reach(shape)]
        if before is not None:
            found += [*crossing(shape, before)]
    return found


def members(shape: Shape) -> Iterable[Wrong]:
    vaults = [node.name for node in shape.vaults]
    if len(vaults) != 1:
        yield Wrong(
            "vault", f"there must be one vault, there are {len(vaults)}: {', '.join(vaults) or 'none'}",
            of=vaults[-1] if vaults else "",
        )  # fmt: skip
    for name in sorted(shape.nodes):
        node = shape.nodes[name]
        if node.role not in ROLES:
            yield Wrong("role", f"{name} is a {node.role}, none of {', '.join(ROLES)}", of=name)
        if node.zone not in shape.zones:
            yield Wrong("zone", f"{name} is in {node.zone}, which is no zone", of=name)
        if node.role == VAULT and node.sources:
            yield Wrong("role", f"{name} is the vault and fills from {', '.join(node.sources)}", of=name)
        if node.role != VAULT and not node.sources:
            yield Wrong("orphan", f"{name} has no source", of=name)
        for source in node.sources:
            other = shape.nodes.get(source)
            if other is None:
                yield Wrong("unknown", f"{name} fills from {source}, which is not there", of=name)
            elif other.role == CACHE:
                yield Wrong("role", f"{name} fills from {source}, which is a cache", of=name)
        if len(set(node.sources)) != len(node.sources):
            yield Wrong("role", f"{name} names a source twice", of=name)
    for name in sorted(shape.zones):
        for preferred in shape.zones[name].prefers:
            if preferred not in shape.zones or preferred == name:
                what = "itself" if preferred == name else "no zone"
                yield Wrong("zone", f"zone {name} spills to {preferred}, which is {what}", of=name)


def reach(shape: Shape) -> Iterable[Wrong]:
    """Every node has a way to the vault that is not too long."""
    for name in sorted(shape.nodes):
        node = shape.nodes[name]
        if (
            node.role == VAULT
            or not node.sources
            or any(source not in shape.nodes for source in node.sources)
        ):
            continue
        if next(shape.ways(name), None) is None:
            long = any_way(shape, name)
            if long:
                yield Wrong(
                    "too-deep",
                    f"{name} reaches the vault by {len(long)} nodes, {shape.deepest} at the most: "
                    f"{' -> '.join(long)}",
                    of=name,
                )
            else:
                yield Wrong("no-way", f"{name} has no way to the vault", of=name)


def any_way(shape: Shape, start: str) -> tuple[str, ...]:
    """The shortest way to the vault, however long."""
    ways: list[tuple[str, ...]] = [(start,)]
    seen = {start}
    while ways:
        longer: list[tuple[str, ...]] = []
        for way in ways:
            node = shape.nodes.get(way[-1])
            if node is None:
                continue
            if node.role == VAULT:
                return way
            for source in node.sources:
                if source not in seen:
                    seen.add(source)
                    longer.append((*way, source))
        ways = longer
    return ()


def crossing(shape: Shape, before: Shape) -> Iterable[Wrong]:
    """Two revisions that are each without loops may make one together, while some gateways have the one and
    some the other."""
    edges = {*shape.edges(), *before.edges()}
    for loop in loops(edges):
        pairs = list(zip(loop, (*loop[1:], loop[0]), strict=True))
        new = set(shape.edges())
        sides = [f"{a} -> {b} ({'new' if (a, b) in new else 'old'})" for a, b in pairs]
        yield Wrong(
            "crossing",
            f"old and new run in a circle together: {', '.join(sides)}; take the old way out first",
            loop,
            loop[0],
        )


def without(shape: Shape, zone: str) -> Shape:
    """The shape with a zone lost."""
    for node in [node for node in shape.nodes.values() if node.zone == zone]:
        shape = shape.without_node(node.name)
    return shape


@dataclass(slots=True, frozen=True)
class Loss:
    """What the loss of a zone asks of the others."""

    zone: str
    stranded: tuple[str, ...]  # nodes without a way to the vault
    asked: dict[str, float]  # hub: fills a second, with what spills
    over: dict[str, float]  # hub: how many times what it bears or may take


def simulate(shape: Shape, zone: str, miss_ratio: float = 0.3) -> Loss:
    """Each cache's fills (its capacity times the miss ratio) go to the first source that is left. A zone
    takes what spills into it only up to its limit: what is over is told, not moved on, since it is shed."""
    gone = frozenset(node.name for node in shape.nodes.values() if node.zone == zone)
    asked: dict[str, float] = {}
    spilled: dict[str, float] = {}
    stranded = []
    for cache in shape.role(CACHE):
        if cache.name in gone:
            continue
        way = next(shape.ways(cache.name, gone), None)
        if way is None:
            stranded.append(cache.name)
            continue
        usual = next(shape.ways(cache.name), way)
        fills = cache.capacity * miss_ratio
        asked[way[1]] = asked.get(way[1], 0.0) + fills
        if usual[1] != way[1]:
            spilled[way[1]] = spilled.get(way[1], 0.0) + fills
    over = {}
    for name, fills in asked.items():
        node = shape.nodes[name]
        if not node.capacity or node.role != HUB:
            continue
        takes = shape.zones[node.zone].takes if node.zone in shape.zones else 1.0
        times = max(fills / node.capacity, spilled.get(name, 0.0) / (takes * node.capacity) if takes else 0.0)
        if times > 1 + 1e-9:
            over[name] = round(times, 3)
    return Loss(
        zone, tuple(stranded), {n: round(f, 1) for n, f in sorted(asked.items())}, dict(sorted(over.items()))
    )
