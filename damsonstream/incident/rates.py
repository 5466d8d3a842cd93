"""Counts by time, delivery service and node, in buckets that grow wider as the span does. No I/O.

How it is called: `Rates(width)` takes `add(at, key, amount)` and gives `series(...)`; times are fleet time in
tenths of a millisecond. `Latencies` keeps an HDR histogram of each delivery service (library hdrhistogram),
and a coarse one in each bucket.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable, Iterator
from math import exp, log

from hdrh.histogram import HdrHistogram

MS, S = 10, 10_000
MOST = 4096  # buckets: a chart shows fewer, and each doubling of the span only halves the resolution


class Rates:
    """Sums by bucket and key."""

    def __init__(self, width: int = S // 2) -> None:
        self.width = width
        self.buckets: dict[int, dict[Hashable, float]] = {}

    def add(self, at: int, key: Hashable, amount: float = 1.0) -> None:
        place = at // self.width
        bucket = self.buckets.get(place)
        if bucket is None:
            bucket = self.buckets[place] = defaultdict(float)
            if len(self.buckets) > MOST:
                self.widen()
                bucket = self.buckets[at // self.width]
        bucket[key] += amount

    def widen(self) -> None:
        self.width *= 2
        wider: dict[int, dict[Hashable, float]] = {}
        for place, bucket in self.buckets.items():
            into = wider.setdefault(place // 2, defaultdict(float))
            for key, amount in bucket.items():
                into[key] += amount
        self.buckets = wider

    def span(self) -> tuple[int, int]:
        if not self.buckets:
            return 0, 0
        return min(self.buckets) * self.width, (max(self.buckets) + 1) * self.width

    def series(self, key: Hashable) -> list[tuple[int, float]]:
        """Beginning of each bucket and the sum in it, with the empty ones between."""
        if not self.buckets:
            return []
        first, last = min(self.buckets), max(self.buckets)
        empty: dict[Hashable, float] = {}
        return [(p * self.width, self.buckets.get(p, empty).get(key, 0.0)) for p in range(first, last + 1)]

    def total(self, key: Hashable, start: int, end: int) -> float:
        """Sum from `start` to `end`; a bucket that is cut counts by its part."""
        found = 0.0
        for place in range(start // self.width, (end - 1) // self.width + 1 if end > start else 0):
            if bucket := self.buckets.get(place):
                inside = min(end, (place + 1) * self.width) - max(start, place * self.width)
                found += bucket.get(key, 0.0) * inside / self.width
        return found

    def keys(self) -> set[Hashable]:
        return {key for bucket in self.buckets.values() for key in bucket}


STEP = log(1.15)  # coarse buckets of 15%: a chart's line is no finer


class Latencies:
    """From taken to the final answer, returned ones only."""

    def __init__(self) -> None:
        self.whole: dict[str, HdrHistogram] = {}
        self.rates = Rates()

    def add(self, at: int, service: str, took: int) -> None:
        if service not in self.whole:
            self.whole[service] = HdrHistogram(1, 3600 * S, 3)
        took = max(1, took)
        self.whole[service].record_value(min(took, 3600 * S - 1))
        self.rates.add(at, (service, int(log(took) / STEP)))

    def percentiles(self, service: str, shares: tuple[float, ...] = (50, 95, 99, 99.9)) -> dict[str, float]:
        """Milliseconds."""
        histogram = self.whole.get(service)
        if histogram is None:
            return {}
        return {f"p{share:g}": histogram.get_value_at_percentile(share) / MS for share in shares}

    def series(self, service: str, share: float) -> Iterator[tuple[int, float]]:
        """Beginning of each bucket and that percentile in it, in milliseconds."""
        for place in sorted(self.rates.buckets):
            levels = sorted(
                (key[1], amount)
                for key, amount in self.rates.buckets[place].items()
                if isinstance(key, tuple) and key[0] == service
            )
            count = sum(amount for _, amount in levels)
            if not count:
                continue
            reached = 0.0
            for level, amount in levels:
                reached += amount
                if reached >= share * count:
                    yield place * self.rates.width, exp((level + 0.5) * STEP) / MS
                    break
