"""The way from one hierarchy to another, in revisions that are each safe beside the one before. No I/O.

How it is called: `plan(old, new, misses)` gives `Step`s, each a whole shape with its peak load, or raises
`NoWay` with what stands against it.

Gateways do not change at one instant: while a step goes round, some fill by the old shape and some by the
new. So each step must pass the checks beside the one before it (no circle that only both make together),
and its load is reckoned as the most that each hub may be asked for by any mix of the two. New nodes come
first, from the vault down, since nobody fills from them yet; then who fills from whom changes, one node
after the other, of those that may the one with the lowest peak; a node whose new sources make a circle with
the old ones first gives up the old (it keeps what both have, else the vault). What goes leaves last.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from damsonstream.tiers.checks import check
from damsonstream.tiers.shape import CACHE, HUB, VAULT, Node, Shape


@dataclass(slots=True, frozen=True)
class Step:
    shape: Shape
    what: str
    peaks: dict[str, float]  # hub: the most that it may be asked for meanwhile, over what it bears

    @property
    def peak(self) -> tuple[str, float]:
        return max(self.peaks.items(), key=lambda one: (one[1], one[0]), default=("", 0.0))


class NoWay(Exception):
    """The new shape can't be reached; the text says why."""


def flows(shape: Shape, misses: float) -> dict[tuple[str, str], float]:
    """Fills a second from each cache, by hash, to the hubs of its own zone (tiers/service.py); where it has
    none, to the source that it prefers."""
    found = {}
    for cache in shape.role(CACHE):
        known = [name for name in cache.sources if name in shape.nodes]
        own = [n for n in known if shape.nodes[n].role == HUB and shape.nodes[n].zone == cache.zone]
        for name in own or known[:1]:
            found[cache.name, name] = cache.capacity * misses / len(own or known[:1])
    return found


def peaks(old: Shape, new: Shape, misses: float) -> dict[str, float]:
    """Any mix: a cache's fills go to its old source or its new one, at the worst to the hub in question."""
    asked: dict[str, float] = {}
    before, after = flows(old, misses), flows(new, misses)
    for pair in {*before, *after}:
        fills = max(before.get(pair, 0.0), after.get(pair, 0.0))
        asked[pair[1]] = asked.get(pair[1], 0.0) + fills
    found = {}
    for name, fills in asked.items():
        node = new.nodes.get(name) or old.nodes.get(name)
        if node is not None and node.role == HUB and node.capacity:
            found[name] = round(fills / node.capacity, 3)
    return dict(sorted(found.items()))


def tiers_down(shape: Shape, names: Iterable[str]) -> list[Node]:
    """From the vault down, so that each node's sources come before it."""
    return sorted((shape.nodes[name] for name in names), key=lambda node: (shape.tier(node.name), node.name))


def plan(old: Shape, new: Shape, misses: float = 0.3) -> list[Step]:
    for wrong in check(new):
        raise NoWay(f"the new shape is wrong by itself: {wrong.what}")
    steps: list[Step] = []
    now = old

    def take(shape: Shape, what: str) -> None:
        nonlocal now
        shape = replace(shape, revision=now.revision + 1)
        for wrong in check(shape, now):
            raise NoWay(f"{what}: {wrong.what}")
        steps.append(Step(shape, what, peaks(now, shape, misses)))
        now = shape

    vaults = {node.name for node in old.vaults} ^ {node.name for node in new.vaults}
    if vaults:
        told = ", ".join(sorted(vaults))
        raise NoWay(f"the vault changes ({told}): two vaults are never in service at once")
    frame = replace(now, vault_cap=min(old.vault_cap or new.vault_cap, new.vault_cap or old.vault_cap),
                    deepest=max(old.deepest, new.deepest))  # fmt: skip
    for name in sorted(new.zones):
        frame = frame.with_zone(new.zones[name])
    if frame != now:
        take(frame, "zones and caps, the lower cap while both shapes are in service")
    for node in tiers_down(new, set(new.nodes) - set(old.nodes)):
        known = tuple(source for source in node.sources if source in now.nodes)
        take(now.with_node(replace(node, sources=known)), f"{node.name} comes: {node.role} in {node.zone}")
    change(now, new, misses, take, lambda: now)
    for node in reversed(tiers_down(now, set(old.nodes) - set(new.nodes))):
        take(now.without_node(node.name), f"{node.name} goes")
    last = replace(new, revision=now.revision)
    if last != now:
        take(new, "caps and zones as they are to be")
    return steps


def change(start: Shape, new: Shape, misses: float, take: Callable[[Shape, str], None],
           current: Callable[[], Shape]) -> None:  # fmt: skip
    """Nodes whose sources, capacity or zone differ, the one with the lowest peak first."""
    pending = {name for name, node in new.nodes.items() if start.nodes.get(name) != node}
    while pending:
        now = current()
        ranked = []
        for name in sorted(pending):
            to = now.with_node(new.nodes[name])
            if not check(replace(to, revision=now.revision + 1), now):
                ranked.append((max(peaks(now, to, misses).values(), default=0.0), name))
        if ranked:
            _, name = min(ranked)
            take(now.with_node(new.nodes[name]), f"{name} fills from {', '.join(new.nodes[name].sources)}")
            pending.discard(name)
            continue
        loose = loosened(now, new, pending)
        if loose is None:
            raise NoWay(f"{', '.join(sorted(pending))} can't change one after the other")
        take(now.with_node(loose), f"{loose.name} fills from {', '.join(loose.sources)} meanwhile")


def loosened(now: Shape, new: Shape, pending: set[str]) -> Node | None:
    """A node that gives up what stands against the new shape: only what both have is left, else the vault."""
    vault = tuple(node.name for node in now.role(VAULT))
    for name in sorted(pending):
        node = now.nodes[name]
        both = tuple(source for source in node.sources if source in new.nodes[name].sources) or vault
        if both != node.sources:
            loose = replace(node, sources=both)
            if not check(replace(now.with_node(loose), revision=now.revision + 1), now):
                return loose
    return None
