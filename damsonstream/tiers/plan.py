"""Plans the change from one topology to another as revisions that are each safe next to the one before. No
I/O.

`plan(old, new, misses)` returns `Step`s, each a whole topology with its peak load, or raises `NoPlan` with
the reason.

Gateways do not switch at the same instant: while a step is rolled out, some fill by the old topology and some
by the new one. So each step must pass the checks next to its predecessor (no cycle that the two form
together), and its load is the most that each hub may be asked for under any mix of the two. New nodes are
added first, from the vault down, since no node fills from them yet. Then sources change one node at a time,
of those that may change the one with the lowest peak load. A node whose new sources form a cycle with the old
ones first drops the old ones (it keeps the sources that both topologies list, else the vault). Removed nodes
go last.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from damsonstream.tiers.checks import check
from damsonstream.tiers.hierarchy import CACHE, HUB, VAULT, Node, Topology


@dataclass(slots=True, frozen=True)
class Step:
    """One revision of the plan."""

    topology: Topology
    description: str
    peak_loads: dict[str, float]  # by hub: highest load during the rollout, over its capacity

    @property
    def peak_load(self) -> tuple[str, float]:
        """The hub with the highest relative load, and that load; 1 is its capacity."""
        return max(self.peak_loads.items(), key=lambda item: (item[1], item[0]), default=("", 0.0))


class NoPlan(Exception):
    """There is no safe sequence of revisions; the message gives the reason."""


def fill_rates(topology: Topology, misses: float) -> dict[tuple[str, str], float]:
    """Returns fills per second by (cache, source): spread by hash over the hubs of the cache's own zone
    (tiers/selector.py), or all to its preferred source if the zone has none."""
    rates = {}
    for cache in topology.nodes_with_role(CACHE):
        sources = [name for name in cache.sources if name in topology.nodes]
        own_hubs = [
            n for n in sources if topology.nodes[n].role == HUB and topology.nodes[n].zone == cache.zone
        ]
        for name in own_hubs or sources[:1]:
            rates[cache.name, name] = cache.capacity * misses / len(own_hubs or sources[:1])
    return rates


def peak_loads(old: Topology, new: Topology, misses: float) -> dict[str, float]:
    """Returns the highest load of each hub over its capacity while gateways use any mix of the two
    topologies."""
    loads: dict[str, float] = {}
    before, after = fill_rates(old, misses), fill_rates(new, misses)
    for pair in {*before, *after}:
        fills = max(before.get(pair, 0.0), after.get(pair, 0.0))
        loads[pair[1]] = loads.get(pair[1], 0.0) + fills
    peaks = {}
    for name, fills in loads.items():
        node = new.nodes.get(name) or old.nodes.get(name)
        if node is not None and node.role == HUB and node.capacity:
            peaks[name] = round(fills / node.capacity, 3)
    return dict(sorted(peaks.items()))


def by_tier(topology: Topology, names: Iterable[str]) -> list[Node]:
    """Sorts nodes from the vault down, so that each node's sources come before it."""
    return sorted(
        (topology.nodes[name] for name in names), key=lambda node: (topology.tier(node.name), node.name)
    )


def plan(old: Topology, new: Topology, misses: float = 0.3) -> list[Step]:
    """Returns the steps from `old` to `new`; `misses` is the share of GETs that are filled."""
    for problem in check(new):
        raise NoPlan(f"the new topology is invalid: {problem.what}")
    steps: list[Step] = []
    current = old

    def add_step(topology: Topology, what: str) -> None:
        nonlocal current
        topology = replace(topology, revision=current.revision + 1)
        for problem in check(topology, current):
            raise NoPlan(f"{what}: {problem.what}")
        steps.append(Step(topology, what, peak_loads(current, topology, misses)))
        current = topology

    vaults = {node.name for node in old.vaults} ^ {node.name for node in new.vaults}
    if vaults:
        names = ", ".join(sorted(vaults))
        raise NoPlan(f"the vault changes ({names}), but two vaults can't be in service at once")
    base = replace(current, vault_cap=min(old.vault_cap or new.vault_cap, new.vault_cap or old.vault_cap),
                    deepest=max(old.deepest, new.deepest))  # fmt: skip
    for name in sorted(new.zones):
        base = base.with_zone(new.zones[name])
    if base != current:
        add_step(base, "zones and caps, with the lower cap while both topologies are in use")
    for node in by_tier(new, set(new.nodes) - set(old.nodes)):
        sources = tuple(source for source in node.sources if source in current.nodes)
        add_step(
            current.with_node(replace(node, sources=sources)),
            f"{node.name} is added: {node.role} in {node.zone}",
        )
    change_nodes(current, new, misses, add_step, lambda: current)
    for node in reversed(by_tier(current, set(old.nodes) - set(new.nodes))):
        add_step(current.without_node(node.name), f"{node.name} is removed")
    last = replace(new, revision=current.revision)
    if last != current:
        add_step(new, "final caps and zones")
    return steps


def change_nodes(start: Topology, new: Topology, misses: float, add_step: Callable[[Topology, str], None],
           get_current: Callable[[], Topology]) -> None:  # fmt: skip
    """Adds a step for each node whose sources, capacity or zone differ, lowest peak load first."""
    pending = {name for name, node in new.nodes.items() if start.nodes.get(name) != node}
    while pending:
        current = get_current()
        ranked = []
        for name in sorted(pending):
            candidate = current.with_node(new.nodes[name])
            if not check(replace(candidate, revision=current.revision + 1), current):
                ranked.append((max(peak_loads(current, candidate, misses).values(), default=0.0), name))
        if ranked:
            _, name = min(ranked)
            add_step(
                current.with_node(new.nodes[name]), f"{name} fills from {', '.join(new.nodes[name].sources)}"
            )
            pending.discard(name)
            continue
        relaxed_node = relaxed(current, new, pending)
        if relaxed_node is None:
            raise NoPlan(f"{', '.join(sorted(pending))} can't be changed one at a time")
        add_step(
            current.with_node(relaxed_node),
            f"{relaxed_node.name} fills from {', '.join(relaxed_node.sources)} for now",
        )


def relaxed(current: Topology, new: Topology, pending: set[str]) -> Node | None:
    """Returns a pending node reduced to the sources that both topologies list (else the vault), if that is a
    valid step."""
    vault = tuple(node.name for node in current.nodes_with_role(VAULT))
    for name in sorted(pending):
        node = current.nodes[name]
        shared = tuple(source for source in node.sources if source in new.nodes[name].sources) or vault
        if shared != node.sources:
            relaxed_node = replace(node, sources=shared)
            if not check(replace(current.with_node(relaxed_node), revision=current.revision + 1), current):
                return relaxed_node
    return None
