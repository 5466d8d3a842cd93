"""Counts of what the gateway takes in, sends and answers; as many names as there are kinds of event."""

from __future__ import annotations

from collections import Counter


class Counters:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.peaks: dict[str, float] = {}

    def add(self, name: str) -> None:
        self.counts[name] += 1

    def peak(self, name: str, value: float) -> None:
        if value > self.peaks.get(name, 0):
            self.peaks[name] = value

    def lines(self) -> dict[str, float]:
        return {
            **dict(sorted(self.counts.items())),
            **{f"peak.{name}": value for name, value in self.peaks.items()},
        }
