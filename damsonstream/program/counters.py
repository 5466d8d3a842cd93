"""Counters of received, forwarded and answered GETs and of other events of a gateway."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts and maxima by name. The set of names is fixed by the code that counts, so that it stays
    small."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.peaks: dict[str, float] = {}

    def add(self, name: str) -> None:
        self.counts[name] += 1

    def record_peak(self, name: str, value: float) -> None:
        if value > self.peaks.get(name, 0):
            self.peaks[name] = value

    def values(self) -> dict[str, float]:
        return {
            **dict(sorted(self.counts.items())),
            **{f"peak.{name}": value for name, value in self.peaks.items()},
        }
