"""Orders that all gateways compute alike without communication: rendezvous hashing of small numbers. No I/O.

Usage: `weight(a, b)` returns a stable pseudo-random number in (0, 1) for a pair; `select(gateways, key,
count)` returns the first gateways in the rendezvous order of `key`; `ring(count)` arranges all gateways in a
ring.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest

MASK64 = (1 << 64) - 1
GOLDEN_GAMMA = 0x9E3779B97F4A7C15  # constants of splitmix64, which map close numbers to distant ones


def weight(a: int, b: int) -> float:
    """Returns the rendezvous weight of a pair, in (0, 1); the lowest weight comes first."""
    x = ((a + 1) * GOLDEN_GAMMA ^ (b * 0xD6E8FEB86659FD93)) & MASK64
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK64
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK64
    return (((x ^ (x >> 31)) >> 11) + 0.5) / 2**53


def select(gateways: Iterable[int], key: int, count: int) -> list[int]:
    """Returns the first `count` gateways in the rendezvous order of `key`. If a gateway is removed, only the
    keys that it was selected for change."""
    return nsmallest(count, gateways, key=lambda gateway: (weight(gateway, key), gateway))


RING_KEY = 0x52494E47  # arbitrary; not the hash of a source


def ring(count: int) -> list[int]:
    """Returns all gateways in a pseudo-random ring, so that neighbors have nothing else in common. If a
    gateway is added or removed, only the gateways next to it get other neighbors."""
    return sorted(range(count), key=lambda gateway: (weight(gateway, RING_KEY), gateway))
