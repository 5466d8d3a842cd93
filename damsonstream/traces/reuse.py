"""Estimates reuse distances and LRU miss ratios for any cache size from a sample of the objects. No I/O.

Usage: call `ReuseEstimator().add(objects, sizes)` in trace order, then `curve(...)`. `ExactReuse` does the
same for all objects, for tests and small traces.

Method: SHARDS (Waldspurger et al., FAST 2015) with a fixed number of objects. An object is sampled if its
hash is below a threshold, which is lowered as the sample fills up; a distance in the sample stands for
`1 / rate` times that distance. There are two samples with independent hashes: the estimate is their mean, and
half their difference is reported as its error.
"""

from __future__ import annotations

from collections.abc import Sequence
from heapq import heappop, heappush

import numpy as np

from damsonstream.traces.gets import mix64

SAMPLE_OBJECTS = 4096  # objects in a sample; gives miss ratios with an error of about 0.01 (docs/traces.md)
HASH_SPACE = 1 << 64
BUCKETS_PER_DOUBLING = 24  # of histograms of distances


class Fenwick:
    """Fenwick tree: prefix sums over an array whose elements change one at a time."""

    def __init__(self, size: int) -> None:
        self.sums = [0] * (size + 1)

    def add(self, index: int, amount: int) -> None:
        index += 1
        sums, size = self.sums, len(self.sums)
        while index < size:
            sums[index] += amount
            index += index & -index

    def prefix_sum(self, index: int) -> int:
        """Returns the sum of all elements before `index`."""
        total, sums = 0, self.sums
        while index > 0:
            total += sums[index]
            index -= index & -index
        return total


class LruStack:
    """LRU stack that counts the objects and bytes used since the last use of an object."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity  # slots, at least twice the number of objects
        self.last_use: dict[int, tuple[int, int]] = {}  # object: slot, size
        self.clear()

    def clear(self) -> None:
        self.object_sums, self.byte_sums, self.next_slot = Fenwick(self.capacity), Fenwick(self.capacity), 0
        self.total_objects = self.total_bytes = 0

    def use(self, object_id: int, size: int) -> tuple[int, int] | None:
        """Records a use. Returns the objects and bytes used since the previous use of this object, itself
        included, or None at its first use."""
        if self.next_slot == self.capacity:
            self.compact()
        previous = self.last_use.pop(object_id, None)
        distance = None
        if previous is not None:
            slot, old_size = previous
            distance = (
                self.total_objects - self.object_sums.prefix_sum(slot),
                self.total_bytes - self.byte_sums.prefix_sum(slot),
            )
            self.remove(slot, old_size)
        self.push(object_id, size)
        return distance

    def push(self, object_id: int, size: int) -> None:
        self.last_use[object_id] = (self.next_slot, size)
        self.object_sums.add(self.next_slot, 1)
        self.byte_sums.add(self.next_slot, size)
        self.total_objects, self.total_bytes, self.next_slot = (
            self.total_objects + 1,
            self.total_bytes + size,
            self.next_slot + 1,
        )

    def remove(self, slot: int, size: int) -> None:
        self.object_sums.add(slot, -1)
        self.byte_sums.add(slot, -size)
        self.total_objects, self.total_bytes = self.total_objects - 1, self.total_bytes - size

    def evict(self, object_id: int) -> None:
        if (entry := self.last_use.pop(object_id, None)) is not None:
            self.remove(*entry)

    def compact(self) -> None:
        """Renumbers the slots without gaps, when all are taken."""
        order = sorted(self.last_use.items(), key=lambda entry: entry[1][0])
        self.capacity = max(self.capacity, 2 * len(order) + 16)
        self.last_use = {}
        self.clear()
        for object_id, (_, size) in order:
            self.push(object_id, size)


class ShardsSample:
    """One sample of objects, chosen by a hash with `salt`."""

    def __init__(self, salt: int, max_objects: int = SAMPLE_OBJECTS) -> None:
        self.salt, self.max_objects, self.threshold = salt, max_objects, HASH_SPACE
        self.stack = LruStack(4 * min(max_objects, 1 << 14))  # grows as needed
        self.heap: list[tuple[int, int]] = []  # (-hash, object): the largest hashes are evicted first
        self.object_distances: dict[int, float] = {}  # distance bucket: weight
        self.byte_distances: dict[int, float] = {}
        self.sampled_uses = 0.0  # weighted uses of sampled objects
        self.total_uses = 0  # uses of all objects, sampled or not

    @property
    def rate(self) -> float:
        """Share of the objects that is sampled."""
        return self.threshold / HASH_SPACE

    def add(self, objects: np.ndarray, sizes: np.ndarray) -> None:
        self.total_uses += len(objects)
        hashes = mix64(objects, self.salt)
        sampled = np.flatnonzero(hashes < np.uint64(min(self.threshold, HASH_SPACE - 1)))
        for object_id, hash, size in zip(
            objects[sampled].tolist(), hashes[sampled].tolist(), sizes[sampled].tolist(), strict=True
        ):
            if hash < self.threshold:
                self.use(object_id, hash, max(1, size))

    def use(self, object_id: int, hash: int, size: int) -> None:
        distance = self.stack.use(object_id, size)
        self.sampled_uses += 1
        if distance is not None:
            count, total_bytes = distance
            bucket = bucket_of(count / self.rate)
            self.object_distances[bucket] = self.object_distances.get(bucket, 0.0) + 1
            bucket = bucket_of(total_bytes / self.rate)
            self.byte_distances[bucket] = self.byte_distances.get(bucket, 0.0) + 1
            return
        heappush(self.heap, (-hash, object_id))
        if len(self.heap) > self.max_objects:
            self.lower_threshold()

    def lower_threshold(self) -> None:
        """Lowers the threshold of a full sample: evicts the largest hashes and scales down the counts."""
        old_rate = self.rate
        while len(self.heap) > 0.9 * self.max_objects:
            hash, object_id = heappop(self.heap)
            self.stack.evict(object_id)
            self.threshold = -hash
        factor = self.rate / old_rate
        for histogram in (self.object_distances, self.byte_distances):
            for bucket in histogram:
                histogram[bucket] *= factor
        self.sampled_uses *= factor

    def miss_ratio(self, size: float, histogram: dict[int, float]) -> float:
        """Returns the miss ratio of an LRU cache of `size` objects or bytes, depending on the histogram."""
        expected = self.total_uses * self.rate
        if not expected:
            return 1.0
        last_bucket = bucket_of(size)
        hits = sum(weight for bucket, weight in histogram.items() if bucket <= last_bucket)
        # Whether the few very popular objects are sampled is a matter of chance. Surplus or missing uses are
        # attributed to them, at the smallest distance (SHARDS-adj).
        hits += expected - self.sampled_uses
        return min(1.0, max(0.0, 1 - hits / expected))


def bucket_of(value: float) -> int:
    """Returns the index of the logarithmic bucket for a distance."""
    return int(np.log2(max(1.0, value)) * BUCKETS_PER_DOUBLING)


class ReuseEstimator:
    """Estimates miss ratios from two independent samples."""

    def __init__(self, max_objects: int = SAMPLE_OBJECTS) -> None:
        self.samples = (ShardsSample(31, max_objects), ShardsSample(32, max_objects))

    def add(self, objects: np.ndarray, sizes: np.ndarray) -> None:
        for sample in self.samples:
            sample.add(objects, sizes)

    def curve(self, sizes: Sequence[float], bytes_: bool = False) -> list[tuple[float, float, float]]:
        """Returns (cache size, miss ratio, error) for each size, in objects or in bytes."""
        points = []
        for size in sizes:
            first, second = (
                s.miss_ratio(size, s.byte_distances if bytes_ else s.object_distances) for s in self.samples
            )
            points.append((size, (first + second) / 2, abs(first - second) / 2))
        return points

    @property
    def rate(self) -> float:
        return sum(sample.rate for sample in self.samples) / len(self.samples)


class ExactReuse:
    """Computes miss ratios from all objects."""

    def __init__(self) -> None:
        self.sample = ShardsSample(31, 1 << 60)

    def add(self, objects: np.ndarray, sizes: np.ndarray) -> None:
        self.sample.add(objects, sizes)

    def miss_ratio(self, size: float, bytes_: bool = False) -> float:
        return self.sample.miss_ratio(
            size, self.sample.byte_distances if bytes_ else self.sample.object_distances
        )
