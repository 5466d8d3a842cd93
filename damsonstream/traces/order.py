"""In what order GETs come, whatever the times in the file do. No I/O.

How it is called: `Order(options).feed(batch)` takes GETs in the order of the file and gives those whose place
is sure, by time; `end()` gives the rest. A row's fate may become a mend or a skip here.

Time may run backwards. Within a bounded window (`window`) it is put in order; what comes later than that is
moved to the window's edge (clamp) or skipped, as chosen. Equal times keep the order of the file. A single row
whose time is more than `jump` away from its neighbours is no time (time-jump); where the rows after it stay
there, the clock was set: forward it is a pause and stays, backward all that follows is moved on by the
difference (clock-step), so that the trace goes on from where it was.

The result depends on the rows alone, not on how they are cut into batches: lateness is judged by the latest
time of all rows before, and nothing goes out that a row still to come could precede.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from damsonstream.traces.gets import GET, MEND, MOVED, SKIP, USED, Batch

S = 1_000_000
# Seconds that rows may be out of order by: published traces are merged from machines whose logs are flushed
# every few seconds.
WINDOW = 10 * S
JUMP = 3600 * S  # an hour without any row, in one step, is no pause that a busy system has


@dataclass(slots=True, frozen=True)
class Rule:
    window: int = WINDOW
    jump: int = JUMP
    late: str = "clamp"  # or skip
    steps: str = "rebase"  # or late: a clock set back makes all that follows late


@dataclass(slots=True)
class Seen:
    """What was found, to be reported."""

    backward: int = 0  # rows earlier than one before them
    deepest: int = 0  # by how much, microseconds
    repeated: int = 0  # rows at the time of the row before
    gaps: int = 0  # steps forward that stayed
    steps: int = 0  # steps back that stayed


class Order:
    def __init__(self, rule: Rule) -> None:
        self.rule, self.seen = rule, Seen()
        self.latest: int | None = None  # latest time of all rows so far
        self.moved = 0  # what a clock that was set back is moved on by
        self.previous = 0
        self.waiting: list[np.ndarray] = []  # in the order of the file; bounded by the window's rows
        self.held: tuple[np.ndarray, np.ndarray] | None = None  # a last row whose neighbour is not known yet

    def feed(self, batch: Batch) -> np.ndarray:
        """GETs that are sure of their place. Enters fates into `batch`."""
        kept = np.flatnonzero(batch.fates < 128)
        if len(kept):
            self.take(batch, kept)
        return self.sure()

    def take(self, batch: Batch, kept: np.ndarray) -> None:
        gets = batch.gets[kept]
        fates = batch.fates[kept]
        self.settle(gets, fates, 0)
        batch.fates[kept] = fates
        self.waiting.append(gets[fates < 128])

    def settle(self, gets: np.ndarray, fates: np.ndarray, at: int) -> None:
        """Goes on from suspicious row to suspicious row; between them all rows at once."""
        count = len(gets)
        while at < count:
            times = gets["time"][at:] + self.moved
            if self.latest is None:
                self.latest = self.previous = int(times[0])
            before = np.maximum.accumulate(np.concatenate(([self.latest], times[:-1])))
            odd = np.flatnonzero(np.abs(times - before) > self.rule.jump)
            odd = odd[: len(odd) if self.rule.steps == "rebase" else 0] if len(odd) else odd
            end = int(odd[0]) if len(odd) else count - at
            if end:
                self.plain(gets, fates, at, times[:end], before[:end])
            at += end
            if at < count:
                self.suspicious(gets, fates, at, int(times[end]))
                at += 1

    def plain(
        self, gets: np.ndarray, fates: np.ndarray, at: int, times: np.ndarray, before: np.ndarray
    ) -> None:
        end = at + len(times)
        seen, rule = self.seen, self.rule
        behind = before - times
        seen.backward += int((behind > 0).sum())
        seen.deepest = max(seen.deepest, int(behind.max(initial=0)))
        seen.repeated += int((np.diff(times, prepend=self.previous) == 0).sum())
        late = behind > rule.window
        if self.moved:
            mend = fates[at:end] == USED
            fates[at:end][mend] = MEND["clock-step"]
            gets["flags"][at:end] |= MOVED
        if late.any():
            if rule.late == "skip":
                fates[at:end][late] = SKIP["late"]
            else:
                times = np.where(late, before - rule.window, times)
                fates[at:end][late & (fates[at:end] == USED)] = MEND["late"]
                gets["flags"][at:end] |= np.where(late, MOVED, 0).astype(np.uint8)
        gets["time"][at:end] = times
        self.latest = max(self.latest or 0, int(max(before[-1], times[-1])))
        self.previous = int(times[-1])

    def suspicious(self, gets: np.ndarray, fates: np.ndarray, at: int, time: int) -> None:
        """A row far from the one before: its neighbour after it tells whether the clock was set."""
        assert self.latest is not None
        following = int(gets["time"][at + 1]) + self.moved if at + 1 < len(gets) else None
        stays = following is not None and abs(following - time) <= self.rule.jump
        if not stays:
            fates[at] = SKIP["time-jump"]
            return
        if time > self.latest:
            self.seen.gaps += 1
        else:
            self.seen.steps += 1
            self.moved += self.latest - time
        now = max(time, self.latest)
        self.plain(gets, fates, at, np.array([now]), np.array([now]))

    def sure(self) -> np.ndarray:
        """What no row to come can precede: rows behind the window's edge, by time, ties in the order of the
        file."""
        if self.latest is None:
            return np.zeros(0, GET)
        edge = self.latest - self.rule.window
        whole = np.concatenate(self.waiting) if self.waiting else np.zeros(0, GET)
        ready = whole["time"] < edge
        out = whole[ready]
        self.waiting = [whole[~ready]]
        return out[np.argsort(out["time"], kind="stable")]

    def end(self) -> np.ndarray:
        whole = np.concatenate(self.waiting) if self.waiting else np.zeros(0, GET)
        self.waiting = []
        return whole[np.argsort(whole["time"], kind="stable")]
