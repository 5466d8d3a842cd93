"""Tests of records: the segment format, the write policy, and stores with crashes, damage and full disks."""

from __future__ import annotations

import errno
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from damsonstream.records import model, segment
from damsonstream.records.store import Follower, Item, Problem, Reader, gateway_folders, segment_files
from damsonstream.records.write_policy import Limits, StoredSegment, WritePolicy
from damsonstream.records.writer import Writer
from tests.helpers import TraceCase


def answered(at: int) -> model.Answered:
    return model.Answered(at, at, "returned", 0, 1000, 0)


def describe(entry: Item | Problem) -> str:
    if isinstance(entry, Problem):
        return f"{entry.kind} boot {entry.boot} segment {entry.segment} missing {entry.count}"
    return f"boot {entry.boot} seq {entry.seq} {type(entry.record).__name__.lower()} at {entry.record.at}"


def summarize(entries: list[Item | Problem]) -> list[str]:
    """Describes entries with one line for each run of consecutive records."""
    lines, first, last = list[str](), None, None
    for entry in [*entries, None]:
        if isinstance(entry, Item) and last and (entry.boot, entry.seq) == (last.boot, last.seq + 1):
            last = entry
            continue
        if first and last:
            lines.append(f"boot {first.boot} records {first.seq} to {last.seq}")
        first = last = entry if isinstance(entry, Item) else None
        if isinstance(entry, Problem):
            lines.append(describe(entry))
    return lines


class Segments(unittest.TestCase):
    @given(st.lists(st.binary(max_size=40), max_size=12), st.data())
    @settings(max_examples=150)
    def test_a_bad_byte_loses_only_its_own_frame(self, payloads: list[bytes], data: st.DataObject) -> None:
        frames = [segment.encode_frame(seq, payload) for seq, payload in enumerate(payloads)]
        whole = bytearray(b"".join(frames))
        if not whole:
            return
        position = data.draw(st.integers(0, len(whole) - 1))
        whole[position] ^= data.draw(st.integers(1, 255))
        ends = [sum(map(len, frames[: n + 1])) for n in range(len(frames))]
        damaged = next(n for n, end in enumerate(ends) if position < end)
        found = [part.seq for part in segment.scan(bytes(whole), 0) if isinstance(part, segment.Frame)]
        self.assertEqual(found, [n for n in range(len(frames)) if n != damaged])

    @given(st.lists(st.binary(max_size=30), min_size=1, max_size=6), st.integers(0, 400))
    @settings(max_examples=100)
    def test_a_torn_end_keeps_all_intact_frames(self, payloads: list[bytes], cut: int) -> None:
        frames = [segment.encode_frame(seq, payload) for seq, payload in enumerate(payloads)]
        data = b"".join(frames)[:cut]
        found = list(segment.scan(data, 0))
        whole = [part.seq for part in found if isinstance(part, segment.Frame)]
        kept = [n for n in range(len(frames)) if sum(map(len, frames[: n + 1])) <= cut]
        self.assertEqual(whole, kept)
        damage = [part for part in found if isinstance(part, segment.DamagedBytes)]
        self.assertEqual(bool(damage), len(data) > sum(len(frames[n]) for n in kept))

    @given(st.binary(max_size=300))
    @settings(max_examples=200)
    def test_arbitrary_bytes_raise_only_expected_errors(self, data: bytes) -> None:
        list(segment.scan(data, 0))
        for read in (segment.decode_header, model.decode):
            try:
                read(data)
            except (segment.InvalidSegment, model.Unknown, model.Unreadable):
                continue

    def test_kinds_of_a_newer_version_are_distinguished_from_corrupt_ones(self) -> None:
        newer = msgspec.msgpack.encode([99, 5, "data of a later version"])
        with self.assertRaises(model.Unknown):
            model.decode(newer)
        more = msgspec.msgpack.encode([8, 5, 7, "a field added by a later version"])
        self.assertEqual(model.decode(more), model.Left(5, 7))
        with self.assertRaises(model.Unreadable):
            model.decode(msgspec.msgpack.encode([8, 5]))


class WritePolicies(TraceCase):
    def test_a_disk_is_slow_fails_and_recovers(self) -> None:
        policy, lines, now = WritePolicy(Limits(1 << 20, 3600), 0.0), list[str](), 0.0

        def add_plan(queued_bytes: int, event: str = "") -> None:
            plan = policy.plan(now, queued_bytes)
            actions = [name for name in ("new_segment", "write", "sync") if getattr(plan, name)]
            lines.append(
                f"{now:.2f} {event}{queued_bytes} B queued: "
                f"{' '.join(actions) or '-'}, then {plan.wait_s:.2f} s"
            )

        add_plan(100, "start, ")
        policy.on_segment_started(now)
        policy.on_written(now, 100)
        now = 0.05
        add_plan(50)
        policy.on_written(now, 50)
        now = 0.3
        add_plan(50)
        policy.on_written(now, 50)
        policy.on_synced(0.7, 0.4)
        now = 1.0
        add_plan(50, "a sync took 0.4 s, ")
        now = 2.0
        add_plan(50)
        for _ in range(7):
            policy.on_disk_error(now, "full")
            now += 0.2
            add_plan(9000, "full, ")
            now = policy.retry_at
        add_plan(9000, "recovered, ")
        lines.append(f"reason {policy.drop_reason}")
        policy.on_segment_started(now)
        policy.on_written(now, 131_000)
        lines.append(
            f"reason {policy.drop_reason or '-'}, accepts {policy.accepts(1 << 19)} {policy.accepts(1 << 20)}"
        )
        now += 1
        add_plan(9000, "an eighth of the store is full, ")
        self.check("keeper", lines)

    def test_segments_are_removed_by_size_age_and_full_disk(self) -> None:
        policy, lines = WritePolicy(Limits(1000, 60.0), 0.0), list[str]()
        stored = [
            StoredSegment(1, 1, 400, 90.0),
            StoredSegment(1, 2, 400, 50.0),
            StoredSegment(2, 1, 300, 20.0),
            StoredSegment(2, 2, 200, 0.0),
        ]

        def add_line(case: str, removed: list[StoredSegment]) -> None:
            lines.append(f"{case}: {[(one.boot, one.segment) for one in removed]}")

        add_line("by size, then by age", policy.segments_to_remove(stored, (2, 2)))
        add_line("nothing", policy.segments_to_remove(stored[2:], (2, 2)))
        add_line(
            "full, half of the store left", policy.segments_to_remove(stored[1:3], (2, 1), disk_full=True)
        )
        add_line("full, less than half", policy.segments_to_remove(stored[2:], (2, 2), disk_full=True))
        add_line(
            "the current segment is kept",
            policy.segments_to_remove([StoredSegment(2, 2, 5000, 99.0)], (2, 2), disk_full=True),
        )
        self.check("keeper-removes", lines)


class LimitedDisk:
    """A disk with limited space and optional latency: writes beyond the space fail as on a full disk."""

    def __init__(self) -> None:
        self.free_bytes = 1 << 30
        self.delay_s = 0.0

    def write(self, file: int, data: bytes) -> int:
        time.sleep(self.delay_s)
        if not self.free_bytes:
            raise OSError(errno.ENOSPC, "No space left on device")
        data = data[: self.free_bytes]
        self.free_bytes -= len(data)
        return os.write(file, data)


class Stores(TraceCase):
    def setUp(self) -> None:
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.folder = Path(holder.name)

    def wait_until(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + 10
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the condition was not met within 10 s")
            time.sleep(0.005)

    def write_boot(self, count: int, start: int = 0) -> Path:
        writer = Writer(self.folder, "n0", Limits())
        writer.start()
        for at in range(start, start + count):
            writer.put(at, model.encode(answered(at)))
        writer.close()
        return writer.folder

    def read(self) -> list[Item | Problem]:
        return list(Reader(self.folder / "n0").read())

    def damage(self, number: int, at: int, flip: int = 0) -> None:
        path = segment_files(self.folder / "n0")[number].path
        data = bytearray(path.read_bytes())
        if flip:
            data[at] ^= flip
        else:
            del data[at:]
        path.write_bytes(data)

    def test_boots_are_numbered_and_all_records_are_read_back(self) -> None:
        lines = list[str]()
        for boot in range(3):
            self.write_boot(20, 100 * boot)
        lines += [f"{name} in {path.name}" for name, path in gateway_folders(self.folder).items()]
        lines += summarize(self.read())
        self.check("store", lines)

    def test_torn_flipped_missing_and_newer_data_is_reported(self) -> None:
        lines = list[str]()
        for start in (0, 100, 200):
            self.write_boot(20, start)
        self.damage(0, -7)
        self.damage(1, 300, flip=0x40)
        self.damage(2, 3, flip=0x01)
        lines += ["a torn end, a flipped bit, a damaged header", *summarize(self.read())]
        writer = Writer(self.folder, "n0", Limits(1 << 20))
        writer.policy.max_segment_bytes = lambda: 400  # type: ignore[method-assign]
        writer.start()
        for at in range(60):
            writer.put(at, model.encode(answered(at)))
            if at % 10 == 9:
                self.wait_until(lambda: writer.queued_bytes == 0)
        writer.close()
        names = segment_files(writer.folder)
        names[-3].path.unlink()
        lines += ["a segment missing in the middle", *summarize(self.read())[-3:]]
        newer = segment.encode_frame(60, msgspec.msgpack.encode([99, 1])) + segment.encode_frame(
            61, model.encode(answered(61))
        )
        with names[-1].path.open("ab") as stream:
            stream.write(newer)
        lines += ["a kind that only a newer version knows", *summarize(self.read())[-2:]]
        self.check("store-spoilt", lines)

    def test_a_full_disk_drops_records_and_recovers(self) -> None:
        disk, lines = LimitedDisk(), list[str]()
        writer = Writer(self.folder, "n0", Limits(), write=disk.write)
        writer.start()
        for at in range(10):
            writer.put(at, model.encode(answered(at)))
        self.wait_until(lambda: writer.queued_bytes == 0)
        disk.free_bytes = 100  # the next write is cut short
        for at in range(10, 30):
            writer.put(at, model.encode(answered(at)))
        self.wait_until(lambda: writer.policy.drop_reason == "full")
        taken = 0
        while writer.policy.accepts(writer.queued_bytes):
            writer.put(30 + taken, model.encode(answered(30 + taken)))
            taken += 1
        for at in range(1000):
            writer.put(30 + taken + at, model.encode(answered(30 + taken + at)))
        disk.free_bytes = 1 << 30
        self.wait_until(lambda: writer.queued_bytes == 0)
        writer.put(10**6, model.encode(answered(10**6)))
        writer.close()
        read = self.read()
        items = [entry for entry in read if isinstance(entry, Item)]
        dropped = [item.record for item in items if isinstance(item.record, model.Dropped)]
        lines.append(f"dropped {[(one.count, one.reason) for one in dropped]}")
        lines.append(f"problems {[(p.kind, p.count) for p in read if isinstance(p, Problem)]}")
        lines.append(f"every other record is there: {len(items) == 30 + taken + 2}")
        self.assertEqual([item.seq for item in items], sorted(item.seq for item in items))
        self.check("store-full", lines)

    def test_a_hanging_disk_does_not_block_put(self) -> None:
        disk = LimitedDisk()
        writer = Writer(self.folder, "n0", Limits(), write=disk.write)
        writer.start()
        self.wait_until(lambda: writer.segment_number == 1)
        disk.delay_s = 0.5
        payload = model.encode(answered(1))
        slowest = 0.0
        for _ in range(60_000):
            before = time.perf_counter()
            writer.put(1, payload)
            slowest = max(slowest, time.perf_counter() - before)
        self.assertLess(slowest, 0.2)  # less than the disk's half second, however busy the machine
        self.assertLessEqual(writer.queued_bytes, (1 << 20) + 100)
        self.assertGreater(writer.dropped_total, 0)
        disk.delay_s = 0.0
        writer.close()

    def test_records_survive_a_killed_writer(self) -> None:
        """All records written before SIGKILL are read back in order, and the next boot continues."""
        code = (
            "import sys\nfrom pathlib import Path\nfrom damsonstream.records import model\n"
            "from damsonstream.records.writer import Limits, Writer\n"
            "w = Writer(Path(sys.argv[1]), 'n0', Limits()); w.start(); at = 0\n"
            "while True:\n"
            "    w.put(at, model.encode(model.Left(at, at))); at += 1\n"
            "    if at % 50 == 0:\n"
            "        import time; time.sleep(0.002); print(w.written_total, flush=True)\n"
        )
        for round in range(3):
            command = [sys.executable, "-c", code, str(self.folder)]
            with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as program:
                assert program.stdout is not None
                written = 0
                while written < 400 * (round + 1):
                    written = int(program.stdout.readline())
                program.send_signal(signal.SIGKILL)
                rest = program.stdout.read().split()
            written = max([written, *map(int, rest[:-1])])
            entries = [entry for entry in self.read() if entry.boot == round + 1]
            items = [entry for entry in entries if isinstance(entry, Item)]
            self.assertGreaterEqual(len(items), written)
            self.assertEqual([item.seq for item in items], list(range(len(items))))
            self.assertLessEqual({p.kind for p in entries if isinstance(p, Problem)}, {"torn"})

    def test_follower_reads_while_the_writer_writes(self) -> None:
        folder, lines = self.folder / "n0", list[str]()
        follower = Follower(folder)
        lines.append(f"nothing yet: {follower.poll()}")
        writer = Writer(self.folder, "n0", Limits())
        writer.start()
        for start in (0, 5):
            for at in range(start, start + 5):
                writer.put(at, model.encode(answered(at)))
            self.wait_until(lambda: writer.queued_bytes == 0)
            lines += ["while it runs", *summarize(follower.poll())]
        path = segment_files(folder)[-1].path
        half = segment.encode_frame(10, model.encode(answered(10)))
        writer.close()
        with path.open("ab") as stream:
            stream.write(half[:9])
            stream.flush()
            lines += ["half a record", *summarize(follower.poll())]
            stream.write(half[9:])
            stream.flush()
            lines += ["the other half", *summarize(follower.poll())]
            stream.write(half[:9])
        self.write_boot(3)
        lines += ["torn, and the next boot", *summarize(follower.poll())]
        self.check("store-followed", lines)

    def test_two_processes_with_one_name_do_not_share_a_boot(self) -> None:
        one, other = (Writer(self.folder, "../n 0", Limits()) for _ in range(2))
        self.assertNotEqual(one.boot, other.boot)
        self.assertEqual(one.folder.parent, self.folder)
