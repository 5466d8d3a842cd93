"""Accounts of what was read: every row has one fate, and the counts add up. No I/O.

How it is called: `Tally().enter(file, batch, text)`; `told()` gives plain data. A row counts once: as used as
it is, under the first rule that mended it (it is a GET too), or under the reason why it was skipped. So
`rows` is the sum of `used`, of all of `mended` and of all of `skipped`; GETs are `used` and `mended`
together.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from damsonstream.traces.gets import USED, Batch, name

EXAMPLES = 3  # kept of each fate but used
SHOWN = 160  # characters of a line


@dataclass(slots=True, frozen=True)
class Example:
    file: str
    line: int
    text: str


@dataclass(slots=True)
class Tally:
    fates: Counter[int] = field(default_factory=Counter)
    examples: dict[int, list[Example]] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)  # of whole files: an archive that is cut off

    def enter(self, file: str, batch: Batch, text: Callable[[int], str]) -> None:
        """`text` gives the text of a line of this batch."""
        counts = np.bincount(batch.fates, minlength=256) if len(batch) else np.zeros(256, np.int64)
        for fate in np.flatnonzero(counts).tolist():
            self.fates[int(fate)] += int(counts[fate])
            if fate != USED and len(self.examples.get(int(fate), ())) < EXAMPLES:
                for place in np.flatnonzero(batch.fates == fate)[:EXAMPLES]:
                    self.example(int(fate), file, int(batch.lines[place]), text)
        for line, fate in batch.extra:
            self.fates[fate] += 1
            self.example(fate, file, line, text)

    def example(self, fate: int, file: str, line: int, text: Callable[[int], str]) -> None:
        kept = self.examples.setdefault(fate, [])
        if len(kept) < EXAMPLES:
            kept.append(Example(file, line, text(line)[:SHOWN]))

    @property
    def rows(self) -> int:
        return self.fates.total()

    def part(self, low: int, high: int) -> dict[str, int]:
        return {
            name(fate): count for fate, count in sorted(self.fates.items()) if low <= fate < high and count
        }

    @property
    def gets(self) -> int:
        return sum(count for fate, count in self.fates.items() if fate < 128)

    def told(self) -> dict[str, Any]:
        return {
            "rows": self.rows,
            "used": self.fates[USED],
            "mended": self.part(1, 128),
            "skipped": self.part(128, 256),
            "faults": self.faults,
            "examples": [
                {"fate": name(fate), "skipped": fate >= 128, "file": e.file, "line": e.line, "text": e.text}
                for fate, kept in sorted(self.examples.items())
                for e in kept
            ],
        }
