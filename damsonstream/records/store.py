"""Reads the records of gateways from folders of segment files, also while they are being written.

`gateway_folders(folder)` finds the gateways. `Reader(folder).read()` yields one gateway's records in order,
one segment at a time, with a `Problem` in place of anything unusable. `Follower(folder).poll()` returns what
is new since the previous call.

Guarantee: the records of a boot come in the order in which they were written, and every missing record is
covered by a `Problem` or by a Dropped record that the gateway wrote itself.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from damsonstream.records import model, segment
from damsonstream.records.write_policy import MAX_SEGMENT_BYTES
from damsonstream.records.writer import parse_file_name

MAX_FILE_BYTES = 4 * MAX_SEGMENT_BYTES  # segments are smaller: a larger file is not a segment and is not read


@dataclass(slots=True, frozen=True)
class Problem:
    """Missing or unusable data, and where it was found."""

    # lost: records are missing; doubled: a record is repeated; torn or flipped: damaged bytes at the end or
    # before intact frames; missing or removed: segments are missing in the middle or at the start; unreadable
    # or unknown: a record is corrupt or of a newer kind; no-segment: the header is invalid; newer: the
    # segment has a newer format version
    kind: str
    boot: int
    segment: int
    at: int  # in bytes, within the segment
    count: int  # number of records, -1: not known
    detail: str = ""


class Item(msgspec.Struct, frozen=True, gc=False):
    """A record with its boot and sequence number."""

    boot: int
    seq: int
    record: model.AnyRecord


@dataclass(slots=True, frozen=True)
class SegmentFile:
    """A segment file of one gateway."""

    path: Path
    boot: int
    segment: int
    size: int


def segment_files(folder: Path) -> list[SegmentFile]:
    """Returns the segment files of one gateway, ordered by boot and segment number."""
    segments = []
    try:
        paths = list(folder.iterdir())
    except (FileNotFoundError, NotADirectoryError):
        return []
    for path in paths:
        if parsed := parse_file_name(path):
            try:
                segments.append(SegmentFile(path, *parsed, path.stat().st_size))
            except FileNotFoundError:
                continue  # removed by the writer in the meantime
    return sorted(segments, key=lambda file: (file.boot, file.segment))


def gateway_folders(folder: Path) -> dict[str, Path]:
    """Returns the folder of each gateway by its name, which is read from the segment headers."""
    folders = {}
    for path in sorted(path for path in folder.iterdir() if path.is_dir()):
        name = ""
        for file in segment_files(path):
            try:
                with file.path.open("rb") as stream:
                    name = segment.decode_header(stream.read(1 << 17)).name
                break
            except (segment.InvalidSegment, OSError):
                continue
        if name or segment_files(path):
            folders[name or path.name] = path
    return folders


class SequenceChecker:
    """Detects missing and repeated records from their sequence numbers, one boot after the other."""

    def __init__(self) -> None:
        self.boot = self.next_seq = 0

    def start_segment(self, boot: int, number: int, first_seq: int) -> None:
        if boot != self.boot:
            self.boot, self.next_seq = boot, first_seq if number != 1 else 0

    def count_missing(self, seq: int, record: model.AnyRecord | None) -> int:
        """Returns the number of unexplained missing records before this one, -1 if it is a repeat."""
        missing = seq - self.next_seq
        if missing < 0:
            return -1
        self.next_seq = seq + 1
        if isinstance(record, model.Dropped):
            return max(0, missing - record.count)
        return max(0, missing)


class Reader:
    """Reads all records of one gateway; holds one segment in memory at a time."""

    def __init__(self, folder: Path, max_file_bytes: int = MAX_FILE_BYTES) -> None:
        self.folder, self.max_file_bytes = folder, max_file_bytes
        self.bytes_read = 0  # read so far

    def read(self, kinds: frozenset[int] = frozenset()) -> Iterator[Item | Problem]:
        """Yields records and problems in order; `kinds` (from `kind_tags`) limits what is decoded."""
        segments, sequence = segment_files(self.folder), SequenceChecker()
        previous: SegmentFile | None = None
        for file in segments:
            if previous and file.boot == previous.boot and file.segment != previous.segment + 1:
                missing_segments = file.segment - previous.segment - 1
                yield Problem(
                    "missing", file.boot, previous.segment + 1, 0, -1, f"{missing_segments} segments"
                )
            elif file.segment != 1 and (previous is None or file.boot != previous.boot):
                yield Problem("removed", file.boot, 1, 0, -1, f"{file.segment - 1} segments, by age or size")
            previous = file
            yield from self.read_file(file, sequence, file is segments[-1], kinds)

    def read_file(
        self, file: SegmentFile, sequence: SequenceChecker, newest: bool, kinds: frozenset[int]
    ) -> Iterator[Item | Problem]:
        segment_id = (file.boot, file.segment)
        try:
            with file.path.open("rb") as stream:
                data = stream.read(self.max_file_bytes + 1)
        except OSError as error:
            yield Problem("missing", *segment_id, 0, -1, error.strerror or "")
            return
        self.bytes_read += len(data)
        if len(data) > self.max_file_bytes:
            yield Problem("no-segment", *segment_id, 0, -1, f"over {self.max_file_bytes} bytes")
            return
        try:
            header = segment.decode_header(data)
        except segment.InvalidSegment as error:
            if newest and str(error) == "torn-head":
                return  # just created, or cut off before the first record
            yield Problem("no-segment", *segment_id, 0, -1, str(error))
            # frames carry their own sequence numbers, so intact frames behind a damaged header are still used
            yield from decode_entries(data, 0, segment_id, sequence, newest, kinds)
            return
        if header.version > segment.VERSION:
            yield Problem("newer", *segment_id, 0, -1, f"version {header.version}")
        sequence.start_segment(file.boot, file.segment, header.first_seq)
        yield from decode_entries(data, header.size, segment_id, sequence, newest, kinds)


def kind_tags(*kinds: type) -> frozenset[int]:
    """Returns the tags of record kinds, as `Reader.read` takes them."""
    return frozenset(kind.__struct_config__.tag for kind in kinds)  # type: ignore[attr-defined]


def decode_entries(
    data: bytes,
    start: int,
    segment_id: tuple[int, int],
    sequence: SequenceChecker,
    newest: bool,
    kinds: frozenset[int] = frozenset(),
) -> Iterator[Item | Problem]:
    """Yields the records and problems in the bytes of a segment from `start` on.

    `newest`: whether this is the gateway's last segment, which may still be written.
    `kinds`: tags of the kinds to decode, empty for all.
    """
    boot = segment_id[0]
    if boot != sequence.boot:
        sequence.start_segment(boot, segment_id[1], 0)
    for part in segment.scan(data, start):
        if isinstance(part, segment.DamagedBytes):
            if part.reason == "flipped" or not newest:
                yield Problem(part.reason, *segment_id, part.offset, -1, f"{part.size} bytes")
            elif part.size:
                yield Problem("torn", *segment_id, part.offset, -1, f"{part.size} bytes")
            continue
        # A record is a msgpack array of under 16 fields, and its first field is its tag, under 128. So the
        # tag is the second byte, and other kinds can be skipped without decoding them.
        if kinds and len(part.payload) > 1 and part.payload[1] not in kinds:
            if missing := sequence.count_missing(part.seq, None):
                yield sequence_problem(missing, segment_id, part.after)
            continue
        try:
            record = model.decode(part.payload)
        except (model.Unknown, model.Unreadable) as error:
            sequence.next_seq = part.seq + 1
            kind = "unknown" if isinstance(error, model.Unknown) else "unreadable"
            yield Problem(kind, *segment_id, part.after, 1, str(error)[:200])
            continue
        if missing := sequence.count_missing(part.seq, record):
            yield sequence_problem(missing, segment_id, part.after)
            if missing < 0:
                continue
        yield Item(boot, part.seq, record)


def sequence_problem(missing: int, segment_id: tuple[int, int], offset: int) -> Problem:
    return Problem("lost" if missing > 0 else "doubled", *segment_id, offset, missing if missing > 0 else 0)


class Follower:
    """Returns what is new in one gateway's segments since the last call, up to the last complete record."""

    MAX_POLL_BYTES = 4 << 20  # limit per call, so that a console that opens a large store stays responsive

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.position: tuple[int, int, int] = (0, 0, 0)  # boot, segment, offset in bytes
        self.sequence = SequenceChecker()
        self.more_available = False  # whether the last call stopped at MAX_POLL_BYTES

    def poll(self) -> list[Item | Problem]:
        entries: list[Item | Problem] = []
        budget, self.more_available = self.MAX_POLL_BYTES, False
        segments = segment_files(self.folder)
        for file in segments:
            boot, number, offset = self.position
            if (file.boot, file.segment) < (boot, number) or budget <= 0:
                self.more_available |= budget <= 0
                continue
            if (file.boot, file.segment) > (boot, number):
                if file.boot == boot and file.segment != number + 1 and number:
                    entries.append(Problem("missing", boot, number + 1, 0, -1))
                offset = 0
            if file.size <= offset:
                continue
            try:
                with file.path.open("rb") as stream:
                    stream.seek(offset)
                    data = stream.read(min(file.size - offset, budget))
            except OSError:
                continue
            used = self.consume(file, offset, data, entries, file is not segments[-1] and len(data) < budget)
            if not used and len(data) >= self.MAX_POLL_BYTES:
                used = len(data)  # no frame is this long: these bytes hold no record
            budget -= len(data)
            self.position = (file.boot, file.segment, offset + used)
        return entries

    def consume(
        self, file: SegmentFile, offset: int, data: bytes, entries: list[Item | Problem], closed: bool
    ) -> int:
        """Adds the complete records to `entries` and returns the number of bytes consumed.

        `closed`: later segments exist, so an incomplete end will not be completed and is reported as torn.
        """
        start, segment_id = 0, (file.boot, file.segment)
        if offset == 0:
            try:
                header = segment.decode_header(data)
            except segment.InvalidSegment as error:
                if not closed and str(error) == "torn-head":
                    return 0
                entries.append(Problem("no-segment", *segment_id, 0, -1, str(error)))
            else:
                start = header.size
                self.sequence.start_segment(file.boot, file.segment, header.first_seq)
        end = start
        for part in decode_entries(data, start, segment_id, self.sequence, True):
            if isinstance(part, Problem) and part.kind == "torn":
                if closed:
                    entries.append(part)
                    return len(data)
                return part.at
            entries.append(part)
            end = len(data)
        return end if end > start else start
