"""What a trace is like: rates, popularity, sizes, reuse, working set, bursts. No I/O.

How it is called: `Stats().add(gets)` in the trace's order, then `told()`. Memory is bounded whatever the
trace: objects are counted exactly up to `OBJECTS`, beyond that a sample by hash stands for all, and says so
(`sampled`).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import numpy as np

from damsonstream.traces.gets import DRAWN, WRITE, mixed
from damsonstream.traces.reuse import Reuse

US = 1_000_000
OBJECTS = 400_000  # counted one by one: 24 bytes each
SECONDS = 1 << 17  # rates are kept by the second for a day and a half, then by two
SIZES = 8  # buckets of sizes for each doubling


@dataclass(slots=True)
class Counts:
    """How often each object was wanted: sorted arrays that batches are merged into."""

    most: int = OBJECTS
    limit: int = 1 << 64  # hashes under it are counted
    hashes: np.ndarray = field(default_factory=lambda: np.zeros(0, np.uint64))
    counts: np.ndarray = field(default_factory=lambda: np.zeros(0, np.int64))
    sizes: np.ndarray = field(default_factory=lambda: np.zeros(0, np.int64))

    @property
    def rate(self) -> float:
        return self.limit / (1 << 64)

    def add(self, objects: np.ndarray, sizes: np.ndarray) -> None:
        hashes = mixed(objects, 21)
        if self.limit < 1 << 64:
            kept = hashes < np.uint64(self.limit)
            hashes, sizes = hashes[kept], sizes[kept]
        new, place, counts = np.unique(hashes, return_index=True, return_counts=True)
        at = np.searchsorted(self.hashes, new)
        known = np.zeros(len(new), bool)
        inside = at < len(self.hashes)
        known[inside] = self.hashes[at[inside]] == new[inside]
        self.counts[at[known]] += counts[known]
        fresh = ~known
        if fresh.any():
            self.hashes = np.insert(self.hashes, at[fresh], new[fresh])
            self.counts = np.insert(self.counts, at[fresh], counts[fresh])
            self.sizes = np.insert(self.sizes, at[fresh], sizes[place][fresh])
        while len(self.hashes) > self.most:
            self.limit //= 2
            end = int(np.searchsorted(self.hashes, np.uint64(self.limit)))
            self.hashes, self.counts, self.sizes = self.hashes[:end], self.counts[:end], self.sizes[:end]


def zipf(counts: np.ndarray, rate: float) -> dict[str, float]:
    """The slope of popularity over rank, on logarithms, and its standard error: least squares over ranks
    spaced evenly on a logarithmic scale, down to objects wanted five times, below which counts are steps."""
    ordered = np.sort(counts)[::-1]
    ordered = ordered[ordered >= 5]
    if len(ordered) < 16:
        return {}
    places = np.unique(np.geomspace(1, len(ordered), 60).astype(np.int64)) - 1
    x, y = np.log((places + 0.5) / rate), np.log(ordered[places])
    slope, start = np.polyfit(x, y, 1)
    rest = y - (slope * x + start)
    error = float(np.sqrt((rest**2).sum() / max(1, len(x) - 2) / ((x - x.mean()) ** 2).sum()))
    total = float(((y - y.mean()) ** 2).sum())
    fit = 1 - float((rest**2).sum()) / total if total else 1.0
    return {"alpha": round(float(-slope), 4), "error": round(error, 4), "r2": round(fit, 4)}


class Stats:
    def __init__(self, objects: int = OBJECTS) -> None:
        self.count = self.writes = self.drawn = self.unknown = 0
        self.first = self.last = 0
        self.rates: dict[int, int] = {}  # by `width` seconds
        self.width = 1
        self.things, self.clients = Counts(objects), Counts(objects // 4)
        self.sizes = np.zeros(64 * SIZES, np.int64)
        self.bytes = 0
        self.largest = 0
        self.reuse = Reuse()
        self.minutes: dict[int, np.ndarray] = {}  # sampled objects of the latest minutes
        self.sets: list[tuple[int, float]] = []  # minute, objects wanted in it

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
        self.rate(gets["time"])
        self.bytes += int(sizes[known].sum())
        self.largest = max(self.largest, int(sizes.max(initial=0)))
        places = (np.log2(np.maximum(sizes[known], 1)) * SIZES).astype(np.int64)
        self.sizes += np.bincount(places, minlength=len(self.sizes))[: len(self.sizes)]
        self.things.add(gets["object"], np.maximum(sizes, 0))
        self.clients.add(gets["client"], np.zeros(len(gets), np.int64))
        self.reuse.add(gets["object"], np.maximum(sizes, 1))
        self.working(gets)

    def rate(self, times: np.ndarray) -> None:
        seconds, counts = np.unique(times // (US * self.width), return_counts=True)
        for second, count in zip(seconds.tolist(), counts.tolist(), strict=True):
            self.rates[second] = self.rates.get(second, 0) + count
        while len(self.rates) > SECONDS:
            wider: dict[int, int] = {}
            for second, count in self.rates.items():
                wider[second // 2] = wider.get(second // 2, 0) + count
            self.rates, self.width = wider, self.width * 2

    def working(self, gets: np.ndarray) -> None:
        """Objects wanted in each minute, from one in sixteen by hash."""
        hashes = mixed(gets["object"], 22)
        kept = hashes < np.uint64(1 << 60)
        minutes = gets["time"][kept] // (60 * US)
        for minute in np.unique(minutes).tolist():
            new = np.unique(hashes[kept][minutes == minute])
            old = self.minutes.get(minute)
            self.minutes[minute] = new if old is None else np.union1d(old, new)
        for minute in sorted(self.minutes)[:-1]:
            self.sets.append((minute, len(self.minutes.pop(minute)) * 16.0))
        if len(self.sets) > 20_000:
            self.sets = self.sets[::2]

    def quantile(self, share: float) -> float:
        total = self.sizes.sum()
        if not total:
            return 0.0
        place = int(np.searchsorted(np.cumsum(self.sizes), share * total))
        return float(2 ** ((place + 0.5) / SIZES))

    def bursts(self) -> dict[str, float]:
        """Index of dispersion of the GETs of a second (1: as by chance), and the peak over the mean."""
        if not self.rates:
            return {}
        first, last = min(self.rates), max(self.rates)
        counts = np.zeros(last - first + 1) if last - first < 1 << 22 else np.zeros(0)
        for second, count in self.rates.items():
            if len(counts):
                counts[second - first] = count
        if len(counts) < 2:
            counts = np.array(list(self.rates.values()), float)
        counts = counts[1:-1] if len(counts) > 3 else counts  # the first and the last second are cut
        found = {"peak_to_mean": round(float(counts.max() / counts.mean()), 3)}
        for span in (1, 10, 60):
            whole = counts[: len(counts) // span * span].reshape(-1, span).sum(axis=1)
            if len(whole) > 2:
                found[f"dispersion_{span * self.width}s"] = round(float(whole.var() / whole.mean()), 3)
        return found

    def told(self) -> dict[str, Any]:
        counts, rate = self.things.counts, self.things.rate
        objects = len(counts) / rate
        total = counts.sum() / rate if len(counts) else 0
        once = int((counts == 1).sum())
        footprint = float(self.things.sizes.sum()) / rate
        span = (self.last - self.first) / US
        shares = np.sort(counts)[::-1].cumsum() / max(1, counts.sum())
        top = {f"{part:g}%": round(float(shares[max(0, int(len(shares) * part / 100) - 1)]), 4)
               for part in (0.1, 1, 10)} if len(shares) else {}  # fmt: skip
        minutes = [*self.sets, *((m, len(o) * 16.0) for m, o in sorted(self.minutes.items()))]
        return {
            "gets": self.count,
            "span_s": round(span, 6),
            "rate": {
                "mean": round(self.count / span, 3) if span else None,
                "peak": max(self.rates.values(), default=0) / self.width,
                "bucket_s": self.width,
            },
            "writes": self.writes,
            "objects": {
                "distinct": round(objects),
                "sampled": rate,
                "wanted_once": round(once / max(1, len(counts)), 4),
                "gets_for_once": round(once / rate / total, 4) if total else 0.0,
                "top": top,
                "zipf": zipf(counts, rate),
            },
            "clients": round(len(self.clients.counts) / self.clients.rate),
            "sizes": {
                "known": self.count - self.unknown - self.drawn,
                "drawn": self.drawn,
                "unknown": self.unknown,
                "mean": round(self.bytes / max(1, self.count - self.unknown), 1),
                **{f"p{p:g}": round(self.quantile(p / 100), 1) for p in (50, 90, 99)},
                "largest": self.largest,
            },
            "bytes": {"moved": self.bytes, "footprint": round(footprint)},
            "working_set": {
                "objects_a_minute": round(float(np.mean([n for _, n in minutes])), 1) if minutes else 0.0,
                "most": max((n for _, n in minutes), default=0.0),
            },
            "bursts": self.bursts(),
            "miss_ratio": self.curves(objects, footprint),
        }

    def curves(self, objects: float, footprint: float) -> dict[str, Any]:
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

    def series(self) -> list[tuple[int, int]]:
        """Seconds since the start and GETs in them."""
        return [(second * self.width, count) for second, count in sorted(self.rates.items())]

    def popularity(self) -> list[tuple[float, int]]:
        """Rank and count, on ranks spaced evenly on a logarithmic scale."""
        ordered = np.sort(self.things.counts)[::-1]
        if not len(ordered):
            return []
        places = np.unique(np.geomspace(1, len(ordered), 200).astype(np.int64)) - 1
        return [((place + 1) / self.things.rate, int(ordered[place])) for place in places.tolist()]
