"""Reads the records of gateways from a folder of segments, as they are, also while they are written.

How it is called: `gateways(folder)` names them, `Reader(folder, name)` goes through one gateway's records in
order with `read()`, a segment at a time; whatever can't be used is yielded as a `Problem` in its place.
`Follower(folder, name).poll()` gives what is new since the last call.

What a reader can rely on: within a boot records come in the order in which they were written; between them,
every record that is missing is told by a problem (or by a Dropped record of the gateway's own).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from damsonstream.records import model, segment
from damsonstream.records.keeper import SEGMENT
from damsonstream.records.writer import numbers

MOST = 4 * SEGMENT  # bytes of a file that is read: segments are smaller, a larger file is no segment


@dataclass(slots=True, frozen=True)
class Problem:
    """Something missing or unusable, where it was found."""

    # lost, doubled, torn, flipped, missing, removed, unreadable, unknown, no-segment or newer
    kind: str
    boot: int
    segment: int
    at: int  # byte in the segment
    count: int  # records that are missing for it, -1: not known
    detail: str = ""


class Item(msgspec.Struct, frozen=True, gc=False):
    boot: int
    seq: int
    record: model.AnyRecord


@dataclass(slots=True, frozen=True)
class File:
    path: Path
    boot: int
    segment: int
    size: int


def files(folder: Path) -> list[File]:
    """Segments of one gateway, in order."""
    found = []
    try:
        paths = list(folder.iterdir())
    except (FileNotFoundError, NotADirectoryError):
        return []
    for path in paths:
        if told := numbers(path):
            try:
                found.append(File(path, *told, path.stat().st_size))
            except FileNotFoundError:
                continue  # removed by age meanwhile
    return sorted(found, key=lambda file: (file.boot, file.segment))


def gateways(folder: Path) -> dict[str, Path]:
    """Names of gateways, as their segments tell them, and their folders."""
    found = {}
    for path in sorted(path for path in folder.iterdir() if path.is_dir()):
        name = ""
        for file in files(path):
            try:
                with file.path.open("rb") as stream:
                    name = segment.read_head(stream.read(1 << 17)).name
                break
            except (segment.NoSegment, OSError):
                continue
        if name or files(path):
            found[name or path.name] = path
    return found


class Sequence:
    """What is missing between records, by their numbers: pure, one boot after the other."""

    def __init__(self) -> None:
        self.boot = self.next = 0

    def begin(self, boot: int, number: int, first: int) -> None:
        if boot != self.boot:
            self.boot, self.next = boot, first if number != 1 else 0

    def came(self, seq: int, record: model.AnyRecord | None) -> int:
        """Records missing before this one that nothing explains; -1: it is there twice."""
        missing = seq - self.next
        if missing < 0:
            return -1
        self.next = seq + 1
        if isinstance(record, model.Dropped):
            return max(0, missing - record.count)
        return max(0, missing)


class Reader:
    """All records of one gateway; memory is bounded by one segment."""

    def __init__(self, folder: Path, most: int = MOST) -> None:
        self.folder, self.most = folder, most
        self.bytes = 0  # read so far

    def read(self, wanted: frozenset[int] = frozenset()) -> Iterator[Item | Problem]:
        """`wanted`: the kinds that are decoded, by `tags()`; empty: all."""
        listed, numbers_seen = files(self.folder), Sequence()
        last: File | None = None
        for file in listed:
            if last and file.boot == last.boot and file.segment != last.segment + 1:
                gone = file.segment - last.segment - 1
                yield Problem("missing", file.boot, last.segment + 1, 0, -1, f"{gone} segments")
            elif file.segment != 1 and (last is None or file.boot != last.boot):
                yield Problem("removed", file.boot, 1, 0, -1, f"{file.segment - 1} segments, by age or size")
            last = file
            yield from self.one(file, numbers_seen, file is listed[-1], wanted)

    def one(
        self, file: File, seen: Sequence, newest: bool, wanted: frozenset[int]
    ) -> Iterator[Item | Problem]:
        place = (file.boot, file.segment)
        try:
            with file.path.open("rb") as stream:
                data = stream.read(self.most + 1)
        except OSError as fault:
            yield Problem("missing", *place, 0, -1, fault.strerror or "")
            return
        self.bytes += len(data)
        if len(data) > self.most:
            yield Problem("no-segment", *place, 0, -1, f"over {self.most} bytes")
            return
        try:
            head = segment.read_head(data)
        except segment.NoSegment as fault:
            if newest and str(fault) == "torn-head":
                return  # just begun, or cut off with nothing in it
            yield Problem("no-segment", *place, 0, -1, str(fault))
            # frames tell their own numbers: what is whole behind a spoilt head is still used
            yield from items(data, 0, place, seen, newest, wanted)
            return
        if head.version > segment.VERSION:
            yield Problem("newer", *place, 0, -1, f"version {head.version}")
        seen.begin(file.boot, file.segment, head.first)
        yield from items(data, head.size, place, seen, newest, wanted)


def tags(*kinds: type) -> frozenset[int]:
    return frozenset(kind.__struct_config__.tag for kind in kinds)  # type: ignore[attr-defined]


def items(
    data: bytes,
    at: int,
    place: tuple[int, int],
    seen: Sequence,
    newest: bool,
    wanted: frozenset[int] = frozenset(),
) -> Iterator[Item | Problem]:
    """Records and problems in the bytes of a segment."""
    boot = place[0]
    if boot != seen.boot:
        seen.begin(boot, place[1], 0)
    for part in segment.scan(data, at):
        if isinstance(part, segment.Damage):
            if part.reason == "flipped" or not newest:
                yield Problem(part.reason, *place, part.at, -1, f"{part.size} bytes")
            elif part.size:
                yield Problem("torn", *place, part.at, -1, f"{part.size} bytes")
            continue
        # a record is an array of under sixteen fields, the first of which is its kind, under 128
        if wanted and len(part.payload) > 1 and part.payload[1] not in wanted:
            if missing := seen.came(part.seq, None):
                yield absent(missing, place, part.after)
            continue
        try:
            record = model.decode(part.payload)
        except (model.Unknown, model.Unreadable) as fault:
            seen.next = part.seq + 1
            kind = "unknown" if isinstance(fault, model.Unknown) else "unreadable"
            yield Problem(kind, *place, part.after, 1, str(fault)[:200])
            continue
        if missing := seen.came(part.seq, record):
            yield absent(missing, place, part.after)
            if missing < 0:
                continue
        yield Item(boot, part.seq, record)


def absent(missing: int, place: tuple[int, int], at: int) -> Problem:
    return Problem("lost" if missing > 0 else "doubled", *place, at, missing if missing > 0 else 0)


class Follower:
    """What is new in one gateway's segments, each time it is asked; a half-written end waits for the rest."""

    STEP = 4 << 20  # bytes a call reads at most: a console that starts on a large store stays alive

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.at: tuple[int, int, int] = (0, 0, 0)  # boot, segment, byte
        self.seen = Sequence()
        self.behind = False  # whether a call stopped at its bound

    def poll(self) -> list[Item | Problem]:
        found: list[Item | Problem] = []
        budget, self.behind = self.STEP, False
        listed = files(self.folder)
        for file in listed:
            boot, number, offset = self.at
            if (file.boot, file.segment) < (boot, number) or budget <= 0:
                self.behind |= budget <= 0
                continue
            if (file.boot, file.segment) > (boot, number):
                if file.boot == boot and file.segment != number + 1 and number:
                    found.append(Problem("missing", boot, number + 1, 0, -1))
                offset = 0
            if file.size <= offset:
                continue
            try:
                with file.path.open("rb") as stream:
                    stream.seek(offset)
                    data = stream.read(min(file.size - offset, budget))
            except OSError:
                continue
            used = self.take(file, offset, data, found, file is not listed[-1] and len(data) < budget)
            if not used and len(data) >= self.STEP:
                used = len(data)  # no frame is as long: these bytes are no records
            budget -= len(data)
            self.at = (file.boot, file.segment, offset + used)
        return found

    def take(self, file: File, offset: int, data: bytes, found: list[Item | Problem], closed: bool) -> int:
        """Enters what is whole; returns the bytes used. A segment that others follow is used to its end."""
        start, place = 0, (file.boot, file.segment)
        if offset == 0:
            try:
                head = segment.read_head(data)
            except segment.NoSegment as fault:
                if not closed and str(fault) == "torn-head":
                    return 0
                found.append(Problem("no-segment", *place, 0, -1, str(fault)))
            else:
                start = head.size
                self.seen.begin(file.boot, file.segment, head.first)
        end = start
        for part in items(data, start, place, self.seen, True):
            if isinstance(part, Problem) and part.kind == "torn":
                if closed:
                    found.append(part)
                    return len(data)
                return part.at
            found.append(part)
            end = len(data)
        return end if end > start else start
