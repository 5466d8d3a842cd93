"""Sums by time bucket and key, with bounded memory: buckets get wider as the time span grows. No I/O.

`TimeBuckets(width)` accepts `add(at, key, amount)` and returns `series(...)`; times are fleet time in ticks
of 0.1 ms. `Latencies` keeps an HDR histogram for each delivery service (library hdrhistogram) and a coarse
histogram for each time bucket.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable, Iterator
from math import exp, log

from hdrh.histogram import HdrHistogram

MS, S = 10, 10_000
MAX_BUCKETS = 4096  # more than a chart shows; beyond it the bucket width doubles


class TimeBuckets:
    """Sums by time bucket and key."""

    def __init__(self, width: int = S // 2) -> None:
        self.width = width
        self.buckets: dict[int, dict[Hashable, float]] = {}

    def add(self, at: int, key: Hashable, amount: float = 1.0) -> None:
        index = at // self.width
        bucket = self.buckets.get(index)
        if bucket is None:
            bucket = self.buckets[index] = defaultdict(float)
            if len(self.buckets) > MAX_BUCKETS:
                self.double_width()
                bucket = self.buckets[at // self.width]
        bucket[key] += amount

    def double_width(self) -> None:
        """Merges pairs of adjacent buckets."""
        self.width *= 2
        wider: dict[int, dict[Hashable, float]] = {}
        for index, bucket in self.buckets.items():
            target = wider.setdefault(index // 2, defaultdict(float))
            for key, amount in bucket.items():
                target[key] += amount
        self.buckets = wider

    def span(self) -> tuple[int, int]:
        """Returns the start of the first bucket and the end of the last one."""
        if not self.buckets:
            return 0, 0
        return min(self.buckets) * self.width, (max(self.buckets) + 1) * self.width

    def series(self, key: Hashable) -> list[tuple[int, float]]:
        """Returns the start of each bucket, including empty ones, and its sum for the key."""
        if not self.buckets:
            return []
        first, last = min(self.buckets), max(self.buckets)
        empty: dict[Hashable, float] = {}
        return [(p * self.width, self.buckets.get(p, empty).get(key, 0.0)) for p in range(first, last + 1)]

    def total(self, key: Hashable, start: int, end: int) -> float:
        """Returns the sum from `start` to `end`; a partly covered bucket counts in proportion."""
        total = 0.0
        for index in range(start // self.width, (end - 1) // self.width + 1 if end > start else 0):
            if bucket := self.buckets.get(index):
                overlap = min(end, (index + 1) * self.width) - max(start, index * self.width)
                total += bucket.get(key, 0.0) * overlap / self.width
        return total

    def keys(self) -> set[Hashable]:
        return {key for bucket in self.buckets.values() for key in bucket}


LOG_BUCKET_STEP = log(1.15)  # latency buckets 15% wide, which is fine enough for a line in a chart


class Latencies:
    """Latency distributions by key, over the whole span and by time bucket."""

    def __init__(self) -> None:
        self.histograms: dict[str, HdrHistogram] = {}
        self.counts = TimeBuckets()

    def add(self, at: int, service: str, duration: int) -> None:
        if service not in self.histograms:
            self.histograms[service] = HdrHistogram(1, 3600 * S, 3)
        duration = max(1, duration)
        self.histograms[service].record_value(min(duration, 3600 * S - 1))
        self.counts.add(at, (service, int(log(duration) / LOG_BUCKET_STEP)))

    def percentiles(
        self, service: str, percentiles: tuple[float, ...] = (50, 95, 99, 99.9)
    ) -> dict[str, float]:
        """Returns percentiles of the whole span in ms, by name: p50, p95, p99, p99.9."""
        histogram = self.histograms.get(service)
        if histogram is None:
            return {}
        return {f"p{share:g}": histogram.get_value_at_percentile(share) / MS for share in percentiles}

    def series(self, service: str, quantile: float) -> Iterator[tuple[int, float]]:
        """Yields the start of each bucket and the quantile (0 to 1) of its latencies, in ms."""
        for index in sorted(self.counts.buckets):
            levels = sorted(
                (key[1], amount)
                for key, amount in self.counts.buckets[index].items()
                if isinstance(key, tuple) and key[0] == service
            )
            count = sum(amount for _, amount in levels)
            if not count:
                continue
            cumulative = 0.0
            for level, amount in levels:
                cumulative += amount
                if cumulative >= quantile * count:
                    yield index * self.counts.width, exp((level + 0.5) * LOG_BUCKET_STEP) / MS
                    break
