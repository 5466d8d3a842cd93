"""Orders that all gateways agree on without a word: rendezvous hashes of small numbers. No I/O.

How it is called: `weight(a, b)` is one stable draw in (0, 1) for a pair; `first(places, key, most)` the
gateways in the order in which they are asked for `key`; `ring(count)` all of them in one mixed round.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest

MASK = (1 << 64) - 1
EVEN = 0x9E3779B97F4A7C15  # splitmix64's constants, by which close numbers end far apart


def weight(a: int, b: int) -> float:
    x = ((a + 1) * EVEN ^ (b * 0xD6E8FEB86659FD93)) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    return (((x ^ (x >> 31)) >> 11) + 0.5) / 2**53


def first(places: Iterable[int], key: int, most: int) -> list[int]:
    """The `most` places that come first for `key`; a place that leaves moves only what was its own."""
    return nsmallest(most, places, key=lambda place: (weight(place, key), place))


RING = 0x52494E47  # any number that is no source's


def ring(count: int) -> list[int]:
    """All places in a mixed round: neighbours in it have nothing else in common. One that comes or goes
    changes the neighbours of those beside it only."""
    return sorted(range(count), key=lambda place: (weight(place, RING), place))
