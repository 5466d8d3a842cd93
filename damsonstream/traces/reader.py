"""Reads traces: files in, GETs out in order, with an account of every row.

How it is called: `Reading(paths, format, ...)`; `batches()` yields arrays of `gets.GET`, whose times are
microseconds since the first; then `tally`, `digest` and `order` tell what was read. Shards are one after the
other where each begins after the last one's end (give or take the window), else they are merged by time, all
in bounded memory. All judgement is in the modules without I/O.
"""

from __future__ import annotations

import csv
from collections import deque
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import numpy as np

from damsonstream.traces import rows as splitting
from damsonstream.traces import source
from damsonstream.traces.digest import Digest
from damsonstream.traces.format import Format
from damsonstream.traces.gets import GET, MEND, SKIP, Batch, Maker, Options
from damsonstream.traces.guard import Guard
from damsonstream.traces.order import Order, Rule
from damsonstream.traces.tally import Tally

AHEAD = 3  # blocks that are made at once: more of them wait for the interpreter's lock, and take memory


@dataclass(slots=True)
class Reading:
    paths: list[Path]
    format: Format
    options: Options = field(default_factory=Options)
    rule: Rule = field(default_factory=Rule)
    shards: str = "auto"  # follow (one after the other), merge, or auto
    block: int = source.BLOCK
    tally: Tally = field(default_factory=Tally)
    digest: Digest = field(default_factory=Digest)
    orders: list[Order] = field(default_factory=list)
    base: int | None = None  # time of the first GET, microseconds of the trace's own clock
    merged: bool = False

    def batches(self) -> Iterator[np.ndarray]:
        self.merged = self.shards == "merge" or (self.shards == "auto" and overlap(self))
        streams = [[path] for path in self.paths] if self.merged else [self.paths]
        for gets in (
            merge([self.stream(paths) for paths in streams]) if self.merged else self.stream(self.paths)
        ):
            if not len(gets):
                continue
            if self.base is None:
                self.base = int(gets["time"][0])
            gets["time"] -= self.base
            self.digest.add(gets)
            yield gets

    def stream(self, paths: list[Path]) -> Iterator[np.ndarray]:
        """GETs of files that follow one another, in order."""
        order, maker = Order(self.rule), Maker(self.format, self.options)
        self.orders.append(order)
        for path in paths:
            for name, batch, text in self.file(path, maker):
                out = order.feed(batch)
                self.tally.enter(name, batch, text)
                yield out
        yield order.end()

    def file(self, path: Path, maker: Maker) -> Iterator[tuple[str, Batch, Lines]]:
        """Blocks are made into columns side by side (Arrow and numpy leave the interpreter's lock), and come
        out in order."""
        guard, format, first = Guard(), self.format, True
        with ThreadPoolExecutor(AHEAD, "traces") as pool:
            made: deque[Future[tuple[Batch, Lines]]] = deque()
            for block in self.guarded(path, guard):
                start = guard.line - block.count(b"\n") + 1
                if first and format.header:
                    line, _, rest = block.partition(b"\n")
                    told = header(line, format)
                    if told is not None:
                        format, block, start = told, rest, start + 1
                        if not set(splitting.needed(self.format)) <= set(format.columns):
                            lacks = sorted(set(splitting.needed(self.format)) - set(format.columns))
                            self.tally.faults.append(f"{path.name}: its header lacks {', '.join(lacks)}")
                            return
                        maker = Maker(format, self.options)
                first = False
                bad = [one for one in guard.bad if one[0] <= guard.line]
                guard.bad = guard.bad[len(bad) :]  # of a line that is still coming
                made.append(pool.submit(one_block, block, start, format, maker, bad, guard.cut))
                if len(made) > AHEAD:
                    yield (path.name, *made.popleft().result())
            while made:
                yield (path.name, *made.popleft().result())

    def guarded(self, path: Path, guard: Guard) -> Iterator[bytes]:
        for data in source.blocks(path, self.tally.faults, self.block):
            if whole := guard.feed(data):
                yield whole
        if rest := guard.end():
            yield rest

    def told(self) -> dict[str, Any]:
        """What `traces stats --json` prints of the reading itself."""
        seen = [order.seen for order in self.orders]
        return {
            "format": self.format.name,
            "files": [path.name for path in self.paths],
            "shards": "merged" if self.merged else "one after the other",
            **self.tally.told(),
            "gets": self.digest.count,
            "digest": self.digest.hex(),
            "time": {
                "backward": sum(one.backward for one in seen),
                "deepest_ms": max((one.deepest for one in seen), default=0) / 1000,
                "repeated": sum(one.repeated for one in seen),
                "pauses": sum(one.gaps for one in seen),
                "clock_steps_back": sum(one.steps for one in seen),
                "window_s": self.rule.window / 1e6,
                "late": self.rule.late,
            },
        }


def header(line: bytes, format: Format) -> Format | None:
    """The format with the columns that a file's first line names; None: it is no header but a row."""
    names = tuple(next(csv.reader([line.decode("utf-8-sig", "replace")], delimiter=format.delimiter), []))
    if names == format.columns:
        return format
    if len(set(names) & set(format.columns)) < 2 or len(set(names)) != len(names):
        return None
    return replace(format, columns=names)


def one_block(
    block: bytes, start: int, format: Format, maker: Maker, bad: list[tuple[int, str, bytes]], cut: bool
) -> tuple[Batch, Lines]:
    batch = maker.make(splitting.split(block, start, format)) if block else empty()
    enter_bad(batch, {line: reason for line, reason, _ in bad}, cut)
    return batch, Lines(block, start, {line: text for line, _, text in bad})


def enter_bad(batch: Batch, reasons: dict[int, str], cut: bool) -> None:
    """What the guard put an empty line for: its own reason, and not that it is empty."""
    if reasons:
        batch.extra = [(line, SKIP[reasons[line]] if line in reasons else fate) for line, fate in batch.extra]
        at = np.isin(batch.lines, list(reasons)) & (batch.fates == SKIP["empty"])
        for place in np.flatnonzero(at):
            batch.fates[place] = SKIP[reasons[int(batch.lines[place])]]
    if cut and len(batch.extra) and batch.extra[-1][1] == SKIP["missing-fields"]:
        batch.extra[-1] = (batch.extra[-1][0], SKIP["cut-line"])
    elif cut and len(batch) and batch.fates[-1] == MEND["missing-fields"]:
        batch.fates[-1] = SKIP["cut-line"]  # its last field may be cut off too


def empty() -> Batch:
    return Batch(np.zeros(0, GET), np.zeros(0, np.uint8), np.zeros(0, np.int64))


@dataclass(slots=True)
class Lines:
    """The text of a line of a block, looked up where an example is wanted."""

    block: bytes
    first: int
    texts: dict[int, bytes] = field(default_factory=dict)  # of lines that are empty in the block

    def __call__(self, line: int) -> str:
        if line in self.texts:
            return self.texts[line].decode(errors="replace")
        found = self.block.split(b"\n", line - self.first + 1)
        return found[line - self.first].decode(errors="replace") if line - self.first < len(found) else ""


def ends(reading: Reading, path: Path) -> tuple[int, int] | None:
    """Times near the beginning and the end of a file: of its first block, and of all of it where it is
    small."""
    maker = Maker(reading.format, reading.options)
    first: int | None = None
    last = 0
    guard = Guard()
    faults: list[str] = []
    for data in source.blocks(path, faults, reading.block):
        block = guard.feed(data)
        start = guard.line - block.count(b"\n") + 1
        if not block:
            continue
        batch = maker.make(splitting.split(block, start, reading.format))
        good = batch.gets["time"][batch.fates < 128]
        if len(good):
            first = int(good[0]) if first is None else first
            last = int(good.max())
    return None if first is None else (first, last)


def overlap(reading: Reading) -> bool:
    """Whether shards have to be merged: one begins before the one before it has ended."""
    if len(reading.paths) < 2:
        return False
    before: int | None = None
    for path in reading.paths:
        found = ends(reading, path)
        if found is None:
            continue
        if before is not None and found[0] < before - reading.rule.window:
            return True
        before = found[1]
    return False


def merge(streams: list[Iterator[np.ndarray]]) -> Iterator[np.ndarray]:
    """Streams that are each in order, as one; equal times in the order of the streams."""
    heads: list[np.ndarray] = [np.zeros(0, GET) for _ in streams]
    done = [False] * len(streams)

    def fill(place: int) -> None:
        while not len(heads[place]) and not done[place]:
            found = next(streams[place], None)
            if found is None:
                done[place] = True
            else:
                heads[place] = found

    while True:
        for place in range(len(streams)):
            fill(place)
        live = [head for head in heads if len(head)]
        if not live:
            return
        edge = min(int(head["time"][-1]) for head in live)
        parts = []
        for place, head in enumerate(heads):
            count = int(np.searchsorted(head["time"], edge, side="left"))
            if count == 0 and len(head) and int(head["time"][-1]) == edge and all_at(heads, edge):
                count = len(head)  # nothing earlier is left anywhere
            parts.append(head[:count])
            heads[place] = head[count:]
        whole = np.concatenate(parts)
        if len(whole):
            yield whole[np.argsort(whole["time"], kind="stable")]


def all_at(heads: list[np.ndarray], edge: int) -> bool:
    return all(not len(head) or int(head["time"][0]) >= edge for head in heads)
