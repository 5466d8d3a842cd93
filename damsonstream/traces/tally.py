"""Counts rows by fate; every row has exactly one. No I/O.

Usage: call `Tally().enter(file, batch, text)` for each batch; `summary()` returns plain data. A row counts
once: as used unchanged, under the first rule that repaired it (`mended`; it is a GET too), or under the
reason why it was skipped. So `rows` is the sum of `used`, all of `mended` and all of `skipped`, and the
number of GETs is the sum of `used` and `mended`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from damsonstream.traces.gets import USED, Batch, fate_name

MAX_EXAMPLES = 3  # kept for each fate except USED
MAX_EXAMPLE_CHARS = 160  # of a line that are kept


@dataclass(slots=True, frozen=True)
class Example:
    """A row that was repaired or skipped."""

    file: str
    line: int
    text: str


@dataclass(slots=True)
class Tally:
    """Counts and examples of each fate."""

    fates: Counter[int] = field(default_factory=Counter)
    examples: dict[int, list[Example]] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)  # errors of whole files, such as a truncated archive

    def enter(self, file: str, batch: Batch, text: Callable[[int], str]) -> None:
        """Counts the rows of a batch. `text` returns the text of a line of this batch."""
        counts = np.bincount(batch.fates, minlength=256) if len(batch) else np.zeros(256, np.int64)
        for fate in np.flatnonzero(counts).tolist():
            self.fates[int(fate)] += int(counts[fate])
            if fate != USED and len(self.examples.get(int(fate), ())) < MAX_EXAMPLES:
                for index in np.flatnonzero(batch.fates == fate)[:MAX_EXAMPLES]:
                    self.add_example(int(fate), file, int(batch.lines[index]), text)
        for line, fate in batch.extra:
            self.fates[fate] += 1
            self.add_example(fate, file, line, text)

    def add_example(self, fate: int, file: str, line: int, text: Callable[[int], str]) -> None:
        kept = self.examples.setdefault(fate, [])
        if len(kept) < MAX_EXAMPLES:
            kept.append(Example(file, line, text(line)[:MAX_EXAMPLE_CHARS]))

    @property
    def rows(self) -> int:
        return self.fates.total()

    def counts_between(self, low: int, high: int) -> dict[str, int]:
        """Returns the counts of fates with a code from `low` up to, not including, `high`."""
        return {
            fate_name(fate): row_count
            for fate, row_count in sorted(self.fates.items())
            if low <= fate < high and row_count
        }

    @property
    def gets(self) -> int:
        return sum(count for fate, count in self.fates.items() if fate < 128)

    def summary(self) -> dict[str, Any]:
        return {
            "rows": self.rows,
            "used": self.fates[USED],
            "mended": self.counts_between(1, 128),
            "skipped": self.counts_between(128, 256),
            "faults": self.faults,
            "examples": [
                {
                    "fate": fate_name(fate),
                    "skipped": fate >= 128,
                    "file": e.file,
                    "line": e.line,
                    "text": e.text,
                }
                for fate, kept in sorted(self.examples.items())
                for e in kept
            ],
        }
