"""Statistics of a trace: rates, popularity, sizes, reuse, working set, bursts. No I/O.

Usage: call `TraceStats().add(gets)` in trace order, then `summary()`. Memory is bounded for any trace: up to
`MAX_OBJECTS` objects are counted exactly, beyond that a sample by hash represents all of them, and the field
`sampled` has its share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import numpy as np

from damsonstream.traces.gets import DRAWN, WRITE, mix64
from damsonstream.traces.reuse import ReuseEstimator

US_PER_S = 1_000_000
MAX_OBJECTS = 400_000  # counted individually, 24 bytes each
MAX_RATE_BUCKETS = 1 << 17  # a day and a half in seconds; for longer traces the buckets double in width
SIZE_BUCKETS_PER_DOUBLING = 8  # of the histogram of sizes


@dataclass(slots=True)
class ObjectCounts:
    """Number of GETs for each object, in arrays sorted by hash that batches are merged into."""

    max_objects: int = MAX_OBJECTS
    threshold: int = 1 << 64  # hashes below it are counted
    hashes: np.ndarray = field(default_factory=lambda: np.zeros(0, np.uint64))
    counts: np.ndarray = field(default_factory=lambda: np.zeros(0, np.int64))
    sizes: np.ndarray = field(default_factory=lambda: np.zeros(0, np.int64))

    @property
    def rate(self) -> float:
        """Share of the objects that is counted."""
        return self.threshold / (1 << 64)

    def add(self, objects: np.ndarray, sizes: np.ndarray) -> None:
        hashes = mix64(objects, 21)
        if self.threshold < 1 << 64:
            sampled = hashes < np.uint64(self.threshold)
            hashes, sizes = hashes[sampled], sizes[sampled]
        new, first_positions, counts = np.unique(hashes, return_index=True, return_counts=True)
        at = np.searchsorted(self.hashes, new)
        known = np.zeros(len(new), bool)
        inside = at < len(self.hashes)
        known[inside] = self.hashes[at[inside]] == new[inside]
        self.counts[at[known]] += counts[known]
        fresh = ~known
        if fresh.any():
            self.hashes = np.insert(self.hashes, at[fresh], new[fresh])
            self.counts = np.insert(self.counts, at[fresh], counts[fresh])
            self.sizes = np.insert(self.sizes, at[fresh], sizes[first_positions][fresh])
        while len(self.hashes) > self.max_objects:
            self.threshold //= 2
            end = int(np.searchsorted(self.hashes, np.uint64(self.threshold)))
            self.hashes, self.counts, self.sizes = self.hashes[:end], self.counts[:end], self.sizes[:end]


def fit_zipf(counts: np.ndarray, rate: float) -> dict[str, float]:
    """Fits Zipf's law: least squares of log(count) over log(rank), with the standard error of the slope.

    Uses ranks evenly spaced on a logarithmic scale, and only objects with at least five requests, because the
    counts of rarer objects form steps. Returns an empty dictionary if there are too few objects.
    """
    ordered = np.sort(counts)[::-1]
    ordered = ordered[ordered >= 5]
    if len(ordered) < 16:
        return {}
    ranks = np.unique(np.geomspace(1, len(ordered), 60).astype(np.int64)) - 1
    x, y = np.log((ranks + 0.5) / rate), np.log(ordered[ranks])
    slope, intercept = np.polyfit(x, y, 1)
    residuals = y - (slope * x + intercept)
    error = float(np.sqrt((residuals**2).sum() / max(1, len(x) - 2) / ((x - x.mean()) ** 2).sum()))
    total = float(((y - y.mean()) ** 2).sum())
    r_squared = 1 - float((residuals**2).sum()) / total if total else 1.0
    return {"alpha": round(float(-slope), 4), "error": round(error, 4), "r2": round(r_squared, 4)}


class TraceStats:
    """Accumulates the statistics of a trace."""

    def __init__(self, max_objects: int = MAX_OBJECTS) -> None:
        self.count = self.writes = self.drawn = self.unknown = 0
        self.first = self.last = 0
        self.rates: dict[int, int] = {}  # GETs by bucket of `bucket_seconds`
        self.bucket_seconds = 1
        self.object_counts, self.client_counts = ObjectCounts(max_objects), ObjectCounts(max_objects // 4)
        self.sizes = np.zeros(64 * SIZE_BUCKETS_PER_DOUBLING, np.int64)
        self.total_bytes = 0
        self.largest = 0
        self.reuse = ReuseEstimator()
        # hashes of sampled objects, by minute; only the latest minutes
        self.minute_hashes: dict[int, np.ndarray] = {}
        self.working_sets: list[tuple[int, float]] = []  # (minute, objects requested in it)

    def add(self, gets: np.ndarray) -> None:
        if not len(gets):
            return
        if not self.count:
            self.first = int(gets["time"][0])
        self.last = int(gets["time"][-1])
        self.count += len(gets)
        self.writes += int((gets["kind"] == WRITE).sum())
        self.drawn += int((gets["flags"] & DRAWN != 0).sum())
        sizes = gets["size"]
        known = sizes >= 0
        self.unknown += int((~known).sum())
        self.count_rates(gets["time"])
        self.total_bytes += int(sizes[known].sum())
        self.largest = max(self.largest, int(sizes.max(initial=0)))
        buckets = (np.log2(np.maximum(sizes[known], 1)) * SIZE_BUCKETS_PER_DOUBLING).astype(np.int64)
        self.sizes += np.bincount(buckets, minlength=len(self.sizes))[: len(self.sizes)]
        self.object_counts.add(gets["object"], np.maximum(sizes, 0))
        self.client_counts.add(gets["client"], np.zeros(len(gets), np.int64))
        self.reuse.add(gets["object"], np.maximum(sizes, 1))
        self.count_working_set(gets)

    def count_rates(self, times: np.ndarray) -> None:
        seconds, counts = np.unique(times // (US_PER_S * self.bucket_seconds), return_counts=True)
        for second, count in zip(seconds.tolist(), counts.tolist(), strict=True):
            self.rates[second] = self.rates.get(second, 0) + count
        while len(self.rates) > MAX_RATE_BUCKETS:
            wider: dict[int, int] = {}
            for second, count in self.rates.items():
                wider[second // 2] = wider.get(second // 2, 0) + count
            self.rates, self.bucket_seconds = wider, self.bucket_seconds * 2

    def count_working_set(self, gets: np.ndarray) -> None:
        """Counts the distinct objects of each minute, from a sample of one in sixteen by hash."""
        hashes = mix64(gets["object"], 22)
        sampled = hashes < np.uint64(1 << 60)
        minutes = gets["time"][sampled] // (60 * US_PER_S)
        for minute in np.unique(minutes).tolist():
            new = np.unique(hashes[sampled][minutes == minute])
            old = self.minute_hashes.get(minute)
            self.minute_hashes[minute] = new if old is None else np.union1d(old, new)
        for minute in sorted(self.minute_hashes)[:-1]:
            self.working_sets.append((minute, len(self.minute_hashes.pop(minute)) * 16.0))
        if len(self.working_sets) > 20_000:
            self.working_sets = self.working_sets[::2]

    def size_quantile(self, share: float) -> float:
        total = self.sizes.sum()
        if not total:
            return 0.0
        bucket = int(np.searchsorted(np.cumsum(self.sizes), share * total))
        return float(2 ** ((bucket + 0.5) / SIZE_BUCKETS_PER_DOUBLING))

    def bursts(self) -> dict[str, float]:
        """Returns the index of dispersion of the GETs per 1, 10 and 60 buckets (1: Poisson arrivals), and the
        ratio of the peak to the mean."""
        if not self.rates:
            return {}
        first, last = min(self.rates), max(self.rates)
        counts = np.zeros(last - first + 1) if last - first < 1 << 22 else np.zeros(0)
        for second, count in self.rates.items():
            if len(counts):
                counts[second - first] = count
        if len(counts) < 2:
            counts = np.array(list(self.rates.values()), float)
        counts = counts[1:-1] if len(counts) > 3 else counts  # the first and the last bucket are incomplete
        result = {"peak_to_mean": round(float(counts.max() / counts.mean()), 3)}
        for span in (1, 10, 60):
            sums = counts[: len(counts) // span * span].reshape(-1, span).sum(axis=1)
            if len(sums) > 2:
                result[f"dispersion_{span * self.bucket_seconds}s"] = round(
                    float(sums.var() / sums.mean()), 3
                )
        return result

    def summary(self) -> dict[str, Any]:
        counts, rate = self.object_counts.counts, self.object_counts.rate
        objects = len(counts) / rate
        total = counts.sum() / rate if len(counts) else 0
        requested_once = int((counts == 1).sum())
        footprint = float(self.object_counts.sizes.sum()) / rate
        span = (self.last - self.first) / US_PER_S
        shares = np.sort(counts)[::-1].cumsum() / max(1, counts.sum())
        top = {f"{part:g}%": round(float(shares[max(0, int(len(shares) * part / 100) - 1)]), 4)
               for part in (0.1, 1, 10)} if len(shares) else {}  # fmt: skip
        minutes = [*self.working_sets, *((m, len(o) * 16.0) for m, o in sorted(self.minute_hashes.items()))]
        return {
            "gets": self.count,
            "span_s": round(span, 6),
            "rate": {
                "mean": round(self.count / span, 3) if span else None,
                "peak": max(self.rates.values(), default=0) / self.bucket_seconds,
                "bucket_s": self.bucket_seconds,
            },
            "writes": self.writes,
            "objects": {
                "distinct": round(objects),
                "sampled": rate,
                "wanted_once": round(requested_once / max(1, len(counts)), 4),
                "gets_for_once": round(requested_once / rate / total, 4) if total else 0.0,
                "top": top,
                "zipf": fit_zipf(counts, rate),
            },
            "clients": round(len(self.client_counts.counts) / self.client_counts.rate),
            "sizes": {
                "known": self.count - self.unknown - self.drawn,
                "drawn": self.drawn,
                "unknown": self.unknown,
                "mean": round(self.total_bytes / max(1, self.count - self.unknown), 1),
                **{f"p{p:g}": round(self.size_quantile(p / 100), 1) for p in (50, 90, 99)},
                "largest": self.largest,
            },
            "bytes": {"moved": self.total_bytes, "footprint": round(footprint)},
            "working_set": {
                "objects_a_minute": round(float(np.mean([n for _, n in minutes])), 1) if minutes else 0.0,
                "most": max((n for _, n in minutes), default=0.0),
            },
            "bursts": self.bursts(),
            "miss_ratio": self.miss_ratios(objects, footprint),
        }

    def miss_ratios(self, objects: float, footprint: float) -> dict[str, Any]:
        parts = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0)
        by_objects = self.reuse.curve([max(1.0, objects * part) for part in parts])
        by_bytes = self.reuse.curve([max(1.0, footprint * part) for part in parts], bytes_=True)
        return {
            "sampled": round(self.reuse.rate, 6),
            "by_objects": [
                {"cache": round(s), "misses": round(m, 4), "error": round(e, 4)} for s, m, e in by_objects
            ],
            "by_bytes": [
                {"cache": round(s), "misses": round(m, 4), "error": round(e, 4)} for s, m, e in by_bytes
            ],
        }

    def rate_series(self) -> list[tuple[int, int]]:
        """Returns (seconds since the start, GETs) for each bucket."""
        return [(second * self.bucket_seconds, count) for second, count in sorted(self.rates.items())]

    def popularity(self) -> list[tuple[float, int]]:
        """Returns (rank, count) of objects, at ranks that are evenly spaced on a logarithmic scale."""
        ordered = np.sort(self.object_counts.counts)[::-1]
        if not len(ordered):
            return []
        ranks = np.unique(np.geomspace(1, len(ordered), 200).astype(np.int64)) - 1
        return [((rank + 1) / self.object_counts.rate, int(ordered[rank])) for rank in ranks.tolist()]
