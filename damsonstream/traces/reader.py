"""Reads trace files as GETs in time order, and counts the fate of every row.

Usage: `TraceReader(paths, format, ...).batches()` yields arrays of `gets.GET` whose times are microseconds
since the first GET. Afterwards `tally`, `digest` and `buffers` hold statistics of what was read. Shards are
read one after the other if each begins after the end of the one before (within the reorder window), otherwise
they are merged by time; both in bounded memory. The modules without I/O make all decisions about rows.
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

from damsonstream.traces import rows as csv_rows
from damsonstream.traces import source
from damsonstream.traces.digest import Digest
from damsonstream.traces.format import Format
from damsonstream.traces.gets import GET, MENDED_CODES, SKIPPED_CODES, Batch, GetBuilder, Options
from damsonstream.traces.reorder import ReorderBuffer, TimeRule
from damsonstream.traces.sanitizer import LineSanitizer
from damsonstream.traces.tally import Tally

# Blocks that are parsed in parallel. More of them only wait for the interpreter lock, and take memory.
MAX_PENDING_BLOCKS = 3


@dataclass(slots=True)
class TraceReader:
    """One pass over the CSV files of a trace."""

    paths: list[Path]
    format: Format
    options: Options = field(default_factory=Options)
    rule: TimeRule = field(default_factory=TimeRule)
    shards: str = "auto"  # "follow" (one after the other), "merge" or "auto"
    block_size: int = source.BLOCK_SIZE
    tally: Tally = field(default_factory=Tally)
    digest: Digest = field(default_factory=Digest)
    buffers: list[ReorderBuffer] = field(default_factory=list)
    start_time: int | None = None  # of the first GET, microseconds on the trace's own clock
    merged: bool = False

    def batches(self) -> Iterator[np.ndarray]:
        """Yields the GETs of all files in time order."""
        self.merged = self.shards == "merge" or (self.shards == "auto" and shards_overlap(self))
        streams = [[path] for path in self.paths] if self.merged else [self.paths]
        for gets in (
            merge_by_time([self.ordered_gets(paths) for paths in streams])
            if self.merged
            else self.ordered_gets(self.paths)
        ):
            if not len(gets):
                continue
            if self.start_time is None:
                self.start_time = int(gets["time"][0])
            gets["time"] -= self.start_time
            self.digest.add(gets)
            yield gets

    def ordered_gets(self, paths: list[Path]) -> Iterator[np.ndarray]:
        """Yields the GETs of files that follow one another, in time order."""
        buffer, builder = ReorderBuffer(self.rule), GetBuilder(self.format, self.options)
        self.buffers.append(buffer)
        for path in paths:
            for name, batch, text in self.read_file(path, builder):
                ordered = buffer.feed(batch)
                self.tally.enter(name, batch, text)
                yield ordered
        yield buffer.finish()

    def read_file(self, path: Path, builder: GetBuilder) -> Iterator[tuple[str, Batch, LineTexts]]:
        """Yields the batches of one file in file order, with the file's name and the texts of lines. Blocks
        are parsed in parallel threads, because Arrow and numpy release the interpreter lock."""
        sanitizer, format, first = LineSanitizer(), self.format, True
        with ThreadPoolExecutor(MAX_PENDING_BLOCKS, "traces") as pool:
            pending: deque[Future[tuple[Batch, LineTexts]]] = deque()
            for block in self.sanitized_blocks(path, sanitizer):
                start = sanitizer.last_line - block.count(b"\n") + 1
                if first and format.header:
                    line, _, rest = block.partition(b"\n")
                    matched = match_header(line, format)
                    if matched is not None:
                        format, block, start = matched, rest, start + 1
                        if not set(csv_rows.needed_columns(self.format)) <= set(format.columns):
                            missing = sorted(set(csv_rows.needed_columns(self.format)) - set(format.columns))
                            self.tally.faults.append(f"{path.name}: its header lacks {', '.join(missing)}")
                            return
                        builder = GetBuilder(format, self.options)
                first = False
                rejected = [one for one in sanitizer.rejected if one[0] <= sanitizer.last_line]
                # what remains belongs to a line that is still incomplete
                sanitizer.rejected = sanitizer.rejected[len(rejected) :]
                pending.append(
                    pool.submit(build_block, block, start, format, builder, rejected, sanitizer.unterminated)
                )
                if len(pending) > MAX_PENDING_BLOCKS:
                    yield (path.name, *pending.popleft().result())
            while pending:
                yield (path.name, *pending.popleft().result())

    def sanitized_blocks(self, path: Path, sanitizer: LineSanitizer) -> Iterator[bytes]:
        """Yields the complete lines of a file, block by block."""
        for data in source.blocks(path, self.tally.faults, self.block_size):
            if complete := sanitizer.feed(data):
                yield complete
        if last := sanitizer.finish():
            yield last

    def summary(self) -> dict[str, Any]:
        """Returns the part of `traces stats --json` that is about reading the files."""
        time_stats = [buffer.stats for buffer in self.buffers]
        return {
            "format": self.format.name,
            "files": [path.name for path in self.paths],
            "shards": "merged" if self.merged else "one after the other",
            **self.tally.summary(),
            "gets": self.digest.count,
            "digest": self.digest.hex(),
            "time": {
                "backward": sum(one.backward for one in time_stats),
                "deepest_ms": max((one.max_behind for one in time_stats), default=0) / 1000,
                "repeated": sum(one.repeated for one in time_stats),
                "pauses": sum(one.pauses for one in time_stats),
                "clock_steps_back": sum(one.clock_steps_back for one in time_stats),
                "window_s": self.rule.window / 1e6,
                "late": self.rule.late,
            },
        }


def match_header(line: bytes, format: Format) -> Format | None:
    """Returns the format with the columns that the first line of a file names, or None if that line is not a
    header but a row."""
    names = tuple(next(csv.reader([line.decode("utf-8-sig", "replace")], delimiter=format.delimiter), []))
    if names == format.columns:
        return format
    if len(set(names) & set(format.columns)) < 2 or len(set(names)) != len(names):
        return None
    return replace(format, columns=names)


def build_block(
    block: bytes,
    start: int,
    format: Format,
    builder: GetBuilder,
    rejected: list[tuple[int, str, bytes]],
    unterminated: bool,
) -> tuple[Batch, LineTexts]:
    batch = builder.build(csv_rows.parse_lines(block, start, format)) if block else empty_batch()
    set_rejected_fates(batch, {line: reason for line, reason, _ in rejected}, unterminated)
    return batch, LineTexts(block, start, {line: text for line, _, text in rejected})


def set_rejected_fates(batch: Batch, reasons: dict[int, str], unterminated: bool) -> None:
    """Replaces the fate "empty" of lines that the sanitizer blanked out by the reason for it. If the file
    ended without a newline, a last line with too few fields gets the fate "cut-line"."""
    if reasons:
        batch.extra = [
            (line, SKIPPED_CODES[reasons[line]] if line in reasons else fate) for line, fate in batch.extra
        ]
        matching = np.isin(batch.lines, list(reasons)) & (batch.fates == SKIPPED_CODES["empty"])
        for index in np.flatnonzero(matching):
            batch.fates[index] = SKIPPED_CODES[reasons[int(batch.lines[index])]]
    if unterminated and len(batch.extra) and batch.extra[-1][1] == SKIPPED_CODES["missing-fields"]:
        batch.extra[-1] = (batch.extra[-1][0], SKIPPED_CODES["cut-line"])
    elif unterminated and len(batch) and batch.fates[-1] == MENDED_CODES["missing-fields"]:
        batch.fates[-1] = SKIPPED_CODES["cut-line"]  # its last field may be truncated too


def empty_batch() -> Batch:
    return Batch(np.zeros(0, GET), np.zeros(0, np.uint8), np.zeros(0, np.int64))


@dataclass(slots=True)
class LineTexts:
    """Finds the text of a line in a block, for examples."""

    block: bytes
    first_line: int
    # the start of each line that was blanked out in the block, by line number
    texts: dict[int, bytes] = field(default_factory=dict)

    def __call__(self, line: int) -> str:
        if line in self.texts:
            return self.texts[line].decode(errors="replace")
        parts = self.block.split(b"\n", line - self.first_line + 1)
        return (
            parts[line - self.first_line].decode(errors="replace")
            if line - self.first_line < len(parts)
            else ""
        )


def time_range(reading: TraceReader, path: Path) -> tuple[int, int] | None:
    """Returns the time of the first usable row of a file and the largest time in its last block, or None if
    the file has no usable row."""
    builder = GetBuilder(reading.format, reading.options)
    first: int | None = None
    last = 0
    sanitizer = LineSanitizer()
    faults: list[str] = []
    for data in source.blocks(path, faults, reading.block_size):
        block = sanitizer.feed(data)
        start = sanitizer.last_line - block.count(b"\n") + 1
        if not block:
            continue
        batch = builder.build(csv_rows.parse_lines(block, start, reading.format))
        usable = batch.gets["time"][batch.fates < 128]
        if len(usable):
            first = int(usable[0]) if first is None else first
            last = int(usable.max())
    return None if first is None else (first, last)


def shards_overlap(reading: TraceReader) -> bool:
    """Returns whether shards must be merged: one begins before the end of the previous one."""
    if len(reading.paths) < 2:
        return False
    previous_end: int | None = None
    for path in reading.paths:
        span = time_range(reading, path)
        if span is None:
            continue
        if previous_end is not None and span[0] < previous_end - reading.rule.window:
            return True
        previous_end = span[1]
    return False


def merge_by_time(streams: list[Iterator[np.ndarray]]) -> Iterator[np.ndarray]:
    """Merges sorted streams into one; equal times keep the order of the streams."""
    heads: list[np.ndarray] = [np.zeros(0, GET) for _ in streams]
    exhausted = [False] * len(streams)

    def fill(index: int) -> None:
        while not len(heads[index]) and not exhausted[index]:
            batch = next(streams[index], None)
            if batch is None:
                exhausted[index] = True
            else:
                heads[index] = batch

    while True:
        for index in range(len(streams)):
            fill(index)
        remaining = [head for head in heads if len(head)]
        if not remaining:
            return
        edge = min(int(head["time"][-1]) for head in remaining)
        parts = []
        for index, head in enumerate(heads):
            count = int(np.searchsorted(head["time"], edge, side="left"))
            if count == 0 and len(head) and int(head["time"][-1]) == edge and all_from(heads, edge):
                count = len(head)  # no stream has an earlier GET
            parts.append(head[:count])
            heads[index] = head[count:]
        combined = np.concatenate(parts)
        if len(combined):
            yield combined[np.argsort(combined["time"], kind="stable")]


def all_from(heads: list[np.ndarray], edge: int) -> bool:
    """Returns whether no stream has a GET before `edge`."""
    return all(not len(head) or int(head["time"][0]) >= edge for head in heads)
