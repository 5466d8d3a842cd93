"""Sorts GETs by time with a bounded window, and handles late rows and clock changes. No I/O.

Usage: `ReorderBuffer(rule).feed(batch)` takes GETs in file order and returns, sorted by time, those that no
later row can precede; `finish()` returns the rest. The fate of a row may change here to repaired or skipped.

Times in a file may run backwards. Rows out of order by up to `window` are sorted; a row that is later than
that is moved to the edge of the window ("clamp") or skipped, as configured. Equal times keep the file order.
A single row whose time is more than `jump` from its neighbours is skipped as invalid ("time-jump"). If the
rows after it have the new time too, the clock has changed: a step forward counts as a pause and its times
are kept; after a step backward the difference is added to all following times ("clock-step"), so that the
trace continues where it was.

The result depends only on the rows, not on batch boundaries: lateness is measured against the latest time of
all rows before, and a GET is released only when no row still to come can precede it.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from damsonstream.traces.gets import GET, MENDED_CODES, MOVED, SKIPPED_CODES, USED, Batch

US_PER_S = 1_000_000
# Microseconds by which rows may be out of order: published traces are merged from machines that flush their
# logs every few seconds.
WINDOW = 10 * US_PER_S
JUMP = 3600 * US_PER_S  # microseconds; a busy system never has a whole hour without a row


@dataclass(slots=True, frozen=True)
class TimeRule:
    """How to handle times that are out of order."""

    window: int = WINDOW  # microseconds
    jump: int = JUMP  # microseconds
    late: str = "clamp"  # or "skip"
    steps: str = "rebase"  # or "late": all rows after a clock step backward are late


@dataclass(slots=True)
class TimeStats:
    """Statistics of irregular times."""

    backward: int = 0  # rows earlier than a row before them
    max_behind: int = 0  # the most that a row was earlier by, microseconds
    repeated: int = 0  # rows with the same time as the row before
    pauses: int = 0  # clock steps forward
    clock_steps_back: int = 0  # clock steps backward


class ReorderBuffer:
    """Holds GETs until their position in time order is certain."""

    def __init__(self, rule: TimeRule) -> None:
        self.rule, self.stats = rule, TimeStats()
        self.latest: int | None = None  # latest time of all rows so far
        self.clock_offset = 0  # microseconds added to all times, after clock steps backward
        self.previous = 0
        self.pending: list[np.ndarray] = []  # in file order; bounded by the number of rows in the window
        self.held_row: tuple[np.ndarray, np.ndarray] | None = None  # unused

    def feed(self, batch: Batch) -> np.ndarray:
        """Returns the GETs whose position is certain now. Updates the fates in `batch`."""
        kept = np.flatnonzero(batch.fates < 128)
        if len(kept):
            self.process_batch(batch, kept)
        return self.release()

    def process_batch(self, batch: Batch, kept: np.ndarray) -> None:
        gets = batch.gets[kept]
        fates = batch.fates[kept]
        self.process_rows(gets, fates, 0)
        batch.fates[kept] = fates
        self.pending.append(gets[fates < 128])

    def process_rows(self, gets: np.ndarray, fates: np.ndarray, at: int) -> None:
        """Processes time jumps one by one, and the rows between two jumps together."""
        count = len(gets)
        while at < count:
            times = gets["time"][at:] + self.clock_offset
            if self.latest is None:
                self.latest = self.previous = int(times[0])
            before = np.maximum.accumulate(np.concatenate(([self.latest], times[:-1])))
            jumps = np.flatnonzero(np.abs(times - before) > self.rule.jump)
            jumps = jumps[: len(jumps) if self.rule.steps == "rebase" else 0] if len(jumps) else jumps
            end = int(jumps[0]) if len(jumps) else count - at
            if end:
                self.process_run(gets, fates, at, times[:end], before[:end])
            at += end
            if at < count:
                self.process_jump(gets, fates, at, int(times[end]))
                at += 1

    def process_run(
        self, gets: np.ndarray, fates: np.ndarray, at: int, times: np.ndarray, before: np.ndarray
    ) -> None:
        end = at + len(times)
        stats, rule = self.stats, self.rule
        behind = before - times
        stats.backward += int((behind > 0).sum())
        stats.max_behind = max(stats.max_behind, int(behind.max(initial=0)))
        stats.repeated += int((np.diff(times, prepend=self.previous) == 0).sum())
        late = behind > rule.window
        if self.clock_offset:
            unmarked = fates[at:end] == USED
            fates[at:end][unmarked] = MENDED_CODES["clock-step"]
            gets["flags"][at:end] |= MOVED
        if late.any():
            if rule.late == "skip":
                fates[at:end][late] = SKIPPED_CODES["late"]
            else:
                times = np.where(late, before - rule.window, times)
                fates[at:end][late & (fates[at:end] == USED)] = MENDED_CODES["late"]
                gets["flags"][at:end] |= np.where(late, MOVED, 0).astype(np.uint8)
        gets["time"][at:end] = times
        self.latest = max(self.latest or 0, int(max(before[-1], times[-1])))
        self.previous = int(times[-1])

    def process_jump(self, gets: np.ndarray, fates: np.ndarray, at: int, time: int) -> None:
        """Handles a row whose time is far from the row before: the row after it decides whether the clock has
        changed or this time is invalid."""
        assert self.latest is not None
        following = int(gets["time"][at + 1]) + self.clock_offset if at + 1 < len(gets) else None
        is_clock_change = following is not None and abs(following - time) <= self.rule.jump
        if not is_clock_change:
            fates[at] = SKIPPED_CODES["time-jump"]
            return
        if time > self.latest:
            self.stats.pauses += 1
        else:
            self.stats.clock_steps_back += 1
            self.clock_offset += self.latest - time
        now = max(time, self.latest)
        self.process_run(gets, fates, at, np.array([now]), np.array([now]))

    def release(self) -> np.ndarray:
        """Returns the rows that no later row can precede, which are those before the edge of the window,
        sorted by time, equal times in file order."""
        if self.latest is None:
            return np.zeros(0, GET)
        edge = self.latest - self.rule.window
        combined = np.concatenate(self.pending) if self.pending else np.zeros(0, GET)
        ready = combined["time"] < edge
        out = combined[ready]
        self.pending = [combined[~ready]]
        return out[np.argsort(out["time"], kind="stable")]

    def finish(self) -> np.ndarray:
        """Returns the remaining GETs at the end of the trace."""
        combined = np.concatenate(self.pending) if self.pending else np.zeros(0, GET)
        self.pending = []
        return combined[np.argsort(combined["time"], kind="stable")]
