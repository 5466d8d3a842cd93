"""Reuse distances and the miss ratio of a cache of any size, from a sample of the objects. No I/O.

How it is called: `Reuse().add(objects, sizes)` in the trace's order, then `curve(...)`. `Exact` does the same
for all objects, for tests and for small traces.

Method: SHARDS (Waldspurger and others, FAST 2015) with a fixed number of objects: an object is in the sample
if its hash is under a threshold, which is lowered as the sample fills up; a distance in the sample stands for
`1 / rate` times as much. Two samples with hashes of their own are kept: their mean is the estimate, half
their difference is stated as its error.
"""

from __future__ import annotations

from collections.abc import Sequence
from heapq import heappop, heappush

import numpy as np

from damsonstream.traces.gets import mixed

MOST = 4096  # objects in a sample: the error of a miss ratio stays about a hundredth (docs/traces.md)
WHOLE = 1 << 64
STEPS = 24  # buckets of distances for each doubling


class Fenwick:
    """Sums over places, of which one changes at a time."""

    def __init__(self, size: int) -> None:
        self.sums = [0] * (size + 1)

    def add(self, place: int, amount: int) -> None:
        place += 1
        sums, size = self.sums, len(self.sums)
        while place < size:
            sums[place] += amount
            place += place & -place

    def before(self, place: int) -> int:
        """Of all places under this one."""
        total, sums = 0, self.sums
        while place > 0:
            total += sums[place]
            place -= place & -place
        return total


class Stack:
    """Objects by their last use: how many, and how many bytes, were used since."""

    def __init__(self, room: int) -> None:
        self.room = room  # places, at least twice the objects
        self.last: dict[int, tuple[int, int]] = {}  # object: place, size
        self.clear()

    def clear(self) -> None:
        self.count, self.bytes, self.next = Fenwick(self.room), Fenwick(self.room), 0
        self.objects = self.total = 0

    def use(self, thing: int, size: int) -> tuple[int, int] | None:
        """Objects and bytes used since its last use, itself included; None: never used before."""
        if self.next == self.room:
            self.compact()
        before = self.last.pop(thing, None)
        found = None
        if before is not None:
            place, old = before
            found = (self.objects - self.count.before(place), self.total - self.bytes.before(place))
            self.remove(place, old)
        self.put(thing, size)
        return found

    def put(self, thing: int, size: int) -> None:
        self.last[thing] = (self.next, size)
        self.count.add(self.next, 1)
        self.bytes.add(self.next, size)
        self.objects, self.total, self.next = self.objects + 1, self.total + size, self.next + 1

    def remove(self, place: int, size: int) -> None:
        self.count.add(place, -1)
        self.bytes.add(place, -size)
        self.objects, self.total = self.objects - 1, self.total - size

    def forget(self, thing: int) -> None:
        if (before := self.last.pop(thing, None)) is not None:
            self.remove(*before)

    def compact(self) -> None:
        order = sorted(self.last.items(), key=lambda entry: entry[1][0])
        self.room = max(self.room, 2 * len(order) + 16)
        self.last = {}
        self.clear()
        for thing, (_, size) in order:
            self.put(thing, size)


class Sample:
    """One sample of objects, with the hash that `salt` gives."""

    def __init__(self, salt: int, most: int = MOST) -> None:
        self.salt, self.most, self.limit = salt, most, WHOLE
        self.stack = Stack(4 * min(most, 1 << 14))  # it grows
        self.heap: list[tuple[int, int]] = []  # -hash, object: those that leave first as the threshold falls
        self.objects: dict[int, float] = {}  # distance bucket: weight
        self.bytes: dict[int, float] = {}
        self.uses = 0.0  # of the sample's objects
        self.seen = 0  # uses of all objects

    @property
    def rate(self) -> float:
        return self.limit / WHOLE

    def add(self, objects: np.ndarray, sizes: np.ndarray) -> None:
        self.seen += len(objects)
        hashes = mixed(objects, self.salt)
        kept = np.flatnonzero(hashes < np.uint64(min(self.limit, WHOLE - 1)))
        for thing, hash, size in zip(
            objects[kept].tolist(), hashes[kept].tolist(), sizes[kept].tolist(), strict=True
        ):
            if hash < self.limit:
                self.use(thing, hash, max(1, size))

    def use(self, thing: int, hash: int, size: int) -> None:
        found = self.stack.use(thing, size)
        self.uses += 1
        if found is not None:
            count, total = found
            bucket = bucketed(count / self.rate)
            self.objects[bucket] = self.objects.get(bucket, 0.0) + 1
            bucket = bucketed(total / self.rate)
            self.bytes[bucket] = self.bytes.get(bucket, 0.0) + 1
            return
        heappush(self.heap, (-hash, thing))
        if len(self.heap) > self.most:
            self.lower()

    def lower(self) -> None:
        """The sample is full: the largest hashes leave, and what was counted weighs less."""
        before = self.rate
        while len(self.heap) > 0.9 * self.most:
            hash, thing = heappop(self.heap)
            self.stack.forget(thing)
            self.limit = -hash
        less = self.rate / before
        for table in (self.objects, self.bytes):
            for bucket in table:
                table[bucket] *= less
        self.uses *= less

    def misses(self, size: float, of: dict[int, float]) -> float:
        """Share of uses that a cache of so many objects (or bytes), which drops the one used longest ago,
        misses."""
        expected = self.seen * self.rate
        if not expected:
            return 1.0
        limit = bucketed(size)
        hits = sum(weight for bucket, weight in of.items() if bucket <= limit)
        # whether the few very popular objects are in the sample is chance: uses that it has too many or too
        # few are theirs, at the smallest distance (SHARDS-adj)
        hits += expected - self.uses
        return min(1.0, max(0.0, 1 - hits / expected))


def bucketed(value: float) -> int:
    return int(np.log2(max(1.0, value)) * STEPS)


class Reuse:
    def __init__(self, most: int = MOST) -> None:
        self.samples = (Sample(31, most), Sample(32, most))

    def add(self, objects: np.ndarray, sizes: np.ndarray) -> None:
        for sample in self.samples:
            sample.add(objects, sizes)

    def curve(self, sizes: Sequence[float], bytes_: bool = False) -> list[tuple[float, float, float]]:
        """Cache size, miss ratio, and how far off it may be."""
        found = []
        for size in sizes:
            one, other = (s.misses(size, s.bytes if bytes_ else s.objects) for s in self.samples)
            found.append((size, (one + other) / 2, abs(one - other) / 2))
        return found

    @property
    def rate(self) -> float:
        return sum(sample.rate for sample in self.samples) / len(self.samples)


class Exact:
    """Every object."""

    def __init__(self) -> None:
        self.sample = Sample(31, 1 << 60)

    def add(self, objects: np.ndarray, sizes: np.ndarray) -> None:
        self.sample.add(objects, sizes)

    def misses(self, size: float, bytes_: bool = False) -> float:
        return self.sample.misses(size, self.sample.bytes if bytes_ else self.sample.objects)
