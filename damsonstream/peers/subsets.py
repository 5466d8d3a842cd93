"""Subsetting: which gateways watch a source or cache for the fleet. Each source has enough watchers, and no
gateway watches all. No I/O.

Usage: `assign(gateways, sources, watchers_each)` returns the watchers of each source; `subset(own_index,
gateways, sources, watchers_each)` the sources that one gateway watches; `load_range(gateways, sources,
watchers_each)` how evenly they are spread.

The method is rendezvous hashing with bounded loads. Sources are handled in one pseudo-random order, and each
takes the first `watchers_each` gateways of its own rendezvous order that have capacity left, which is the
mean load and a quarter. Adding or removing one gateway or source changes its own assignments and few others.
The input is only the two lists: gateways with the same lists agree without communication, and while lists
differ, the results differ in few places.

Subsets don't affect how objects are hashed: every gateway may send a GET to any cache of its location, and
the source of a fill is chosen among all parents.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from damsonstream.peers import rendezvous

# Capacity of a gateway over the mean load: less moves more assignments as lists change, more is less even.
LOAD_SLACK = 1.25
ORDER_KEY = 0x5AB5E7  # arbitrary key of the order in which sources choose their watchers


def assign(gateways: Sequence[int], sources: Iterable[int], watchers_each: int) -> dict[int, list[int]]:
    """Returns the watchers of each source; fewer than `watchers_each` only if there are fewer gateways."""
    ordered = sorted(set(sources), key=lambda source: (rendezvous.weight(source, ORDER_KEY), source))
    watchers_each = min(watchers_each, len(gateways))
    if not ordered or not watchers_each:
        return {source: [] for source in ordered}
    capacity = max(1, math.ceil(LOAD_SLACK * len(ordered) * watchers_each / len(gateways)))
    load = dict.fromkeys(gateways, 0)
    assignment: dict[int, list[int]] = {}
    for source in ordered:
        ranked = sorted(gateways, key=lambda gateway: (rendezvous.weight(gateway, source), gateway))
        chosen = [gateway for gateway in ranked if load[gateway] < capacity][:watchers_each]
        for gateway in chosen:
            load[gateway] += 1
        assignment[source] = chosen
    return assignment


def subset(own_index: int, gateways: Sequence[int], sources: Iterable[int], watchers_each: int) -> set[int]:
    """Returns the sources that one gateway watches."""
    return {
        source for source, chosen in assign(gateways, sources, watchers_each).items() if own_index in chosen
    }


def load_range(gateways: Sequence[int], sources: Sequence[int], watchers_each: int) -> tuple[int, int]:
    """Returns the largest and the smallest number of sources that one gateway watches."""
    load = dict.fromkeys(gateways, 0)
    for chosen in assign(gateways, sources, watchers_each).values():
        for gateway in chosen:
            load[gateway] += 1
    return (max(load.values()), min(load.values())) if load else (0, 0)
