"""Background thread that writes queued records to segment files as the write policy decides.

`Writer(folder, name, limits)` creates the gateway's folder and claims a boot number; `put(at, payload)`
queues one record and never blocks; `close()` writes what is queued. The write policy decides when to write,
sync and rotate; `segment.py` defines the file format.

The event loop never touches the disk: it appends framed bytes to a queue, and the thread writes the whole
queue with one system call, during which the interpreter lock is released.
"""

from __future__ import annotations

import contextlib
import errno
import logging
import os
import re
import threading
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

from damsonstream.records import model, segment
from damsonstream.records.write_policy import Limits, StoredSegment, WritePolicy, next_boot

log = logging.getLogger(__name__)
SEGMENT_FILE_NAME = re.compile(r"(\d{8,})-(\d{8,})\.rec")
CLOSE_TIMEOUT_S = 3.0  # a hanging disk must not keep the gateway from exiting
UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_.-]|^\.")


def folder_name(name: str) -> str:
    """Returns a folder name for a gateway's name, with unsafe characters percent-encoded."""
    return UNSAFE_CHARACTERS.sub(lambda found: "".join(f"%{b:02x}" for b in found[0].encode()), name) or "%"


def file_name(boot: int, number: int) -> str:
    """Returns the file name of a segment; names sort by boot and segment number."""
    return f"{boot:08d}-{number:08d}.rec"


def parse_file_name(path: Path) -> tuple[int, int] | None:
    """Returns the boot and segment numbers in a file name, or None if it is no segment file."""
    found = SEGMENT_FILE_NAME.fullmatch(path.name)
    return (int(found[1]), int(found[2])) if found else None


class Writer:
    """Queues records of one boot and writes them to segment files from a thread of its own."""

    def __init__(
        self,
        folder: Path,
        name: str,
        limits: Limits,
        clock: Callable[[], float] = time.monotonic,
        open_file: Callable[[Path], int] = lambda path: os.open(
            path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND, 0o640
        ),
        write: Callable[[int, bytes], int] = os.write,
        sync: Callable[[int], None] = os.fdatasync,
    ) -> None:
        self.name, self.folder, self.clock = name, folder / folder_name(name), clock
        self.open_file, self.write_file, self.sync_file = open_file, write, sync
        self.folder.mkdir(parents=True, exist_ok=True)
        boots = [found[0] for path in self.folder.iterdir() if (found := parse_file_name(path))]
        self.boot, self.segment_number, self.fd = self.claim_boot(boots), 0, -1
        self.policy = WritePolicy(limits, clock())
        # The two threads share a deque, whose appends and pops are atomic, and two counters that are each
        # changed by only one thread. So no lock is needed, and the event loop never blocks on the writer.
        self.pending: deque[bytes] = deque()  # frames; emptied by the thread
        self.accepted_bytes = self.written_bytes = 0
        self.first_unwritten_seq = 0  # seq of the first record that is not written yet
        self.next_seq = 0
        self.dropped, self.dropped_since = 0, 0  # since the last accepted record
        self.dropped_reason = ""
        self.dropped_total = self.written_total = 0  # number of records since the start of this boot
        self.closing = threading.Event()
        self.wake = threading.Event()
        self.thread = threading.Thread(target=self.run, name="records", daemon=True)

    def claim_boot(self, boots: list[int]) -> int:
        """Claims a unique boot number, even if two processes start under the same name."""
        boot = next_boot(boots)
        while True:
            try:
                os.close(self.open_file(self.folder / f"{boot:08d}.boot"))
            except FileExistsError:
                boot += 1
                continue
            for stale_marker in self.folder.glob("*.boot"):
                if stale_marker.stem.isdigit() and int(stale_marker.stem) < boot:
                    stale_marker.unlink(missing_ok=True)
            return boot

    def start(self) -> None:
        self.thread.start()

    def put(self, at: int, payload: bytes) -> None:
        """Queues one record, or counts it as dropped if the queue is full or the record too large."""
        if not self.policy.accepts(self.queued_bytes) or len(payload) > segment.MAX_PAYLOAD_BYTES:
            if not self.dropped:
                self.dropped_since, self.dropped_reason = at, self.policy.drop_reason or "slow"
            self.dropped += 1
            self.dropped_total += 1
            self.next_seq += 1  # skips the number, so that a reader sees how many records are missing
            return
        if self.dropped:
            dropped_record = model.Dropped(at, self.dropped_since, self.dropped, self.dropped_reason)
            self.dropped = self.dropped_since = 0
            self.enqueue(model.encode(dropped_record))
        self.enqueue(payload)

    @property
    def queued_bytes(self) -> int:
        """Bytes that are accepted but not yet written."""
        return self.accepted_bytes - self.written_bytes

    def enqueue(self, payload: bytes) -> None:
        framed = segment.encode_frame(self.next_seq, payload)
        self.next_seq += 1
        self.accepted_bytes += len(framed)
        self.pending.append(framed)

    def run(self) -> None:
        """Runs in the thread: follows the write policy's plans until `close` is called."""
        batch: list[bytes] = []  # dequeued but not yet written; kept for the retry after an error
        while True:
            closing = self.closing.is_set()
            plan = self.policy.plan(self.clock(), self.queued_bytes, closing)
            try:
                if plan.write or plan.new_segment:
                    batch += [self.pending.popleft() for _ in range(len(self.pending))]
                    if plan.new_segment:
                        self.start_segment()
                    self.write_batch(batch)
                if plan.sync:
                    sync_started = self.clock()
                    self.sync_file(self.fd)
                    self.policy.on_synced(self.clock(), self.clock() - sync_started)
            except OSError as error:
                self.on_disk_error(error)
            except Exception:
                log.exception("records")
                self.policy.on_disk_error(self.clock(), "fault")
            if closing:
                break
            self.wake.wait(plan.wait_s)
        if self.fd >= 0:
            with contextlib.suppress(OSError):
                os.close(self.fd)

    def write_batch(self, batch: list[bytes]) -> None:
        """Writes a batch of frames with one system call; what is not written stays in the batch."""
        if not batch:
            return
        data = b"".join(batch)
        written_bytes = self.write_file(self.fd, data)
        # A short write means that the disk is full: complete frames count as written, the rest is retried.
        if written_bytes < len(data):
            self.remove_written(batch, written_bytes)
            raise OSError(errno.ENOSPC, "short write")
        self.remove_written(batch, written_bytes)

    def remove_written(self, batch: list[bytes], written_bytes: int) -> None:
        """Removes from the batch the frames that were written completely."""
        complete_frames = complete_bytes = 0
        for framed in batch:
            if complete_bytes + len(framed) > written_bytes:
                break
            complete_bytes += len(framed)
            complete_frames += 1
        last_seq = segment.FRAME_HEADER.unpack_from(batch[complete_frames - 1])[2] if complete_frames else 0
        del batch[:complete_frames]
        self.written_total += complete_frames
        if batch:
            self.first_unwritten_seq = segment.FRAME_HEADER.unpack_from(batch[0])[2]
        elif complete_frames:
            self.first_unwritten_seq = last_seq + 1
        self.written_bytes += complete_bytes
        self.policy.on_written(self.clock(), complete_bytes)

    def start_segment(self) -> None:
        """Closes the current segment and creates the next one."""
        if self.fd >= 0:
            with contextlib.suppress(OSError):
                self.sync_file(self.fd)
                os.close(self.fd)
            self.fd = -1
        segment_number = self.segment_number + 1
        path = self.folder / file_name(self.boot, segment_number)
        self.fd = self.open_file(path)
        created_ms = time.time_ns() // 1_000_000
        data = segment.encode_header(
            self.name, self.boot, segment_number, self.first_unwritten_seq, created_ms
        )
        try:
            if self.write_file(self.fd, data) < len(data):
                raise OSError(errno.ENOSPC, "short write")
        except OSError:  # the file holds no records, so the next attempt reuses its name
            with contextlib.suppress(OSError):
                os.close(self.fd)
                path.unlink()
            self.fd = -1
            raise
        self.segment_number = segment_number
        self.policy.on_segment_started(self.clock())
        self.remove_old_segments()
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)  # makes the new directory entry durable
        finally:
            os.close(folder)

    def remove_old_segments(self, disk_full: bool = False) -> None:
        """Deletes the segments that the write policy no longer keeps."""
        stored, now = [], time.time()
        for path in self.folder.iterdir():
            if found := parse_file_name(path):
                with contextlib.suppress(FileNotFoundError):
                    status = path.stat()
                    stored.append(StoredSegment(*found, status.st_size, max(0.0, now - status.st_mtime)))
        for removable in self.policy.segments_to_remove(stored, (self.boot, self.segment_number), disk_full):
            with contextlib.suppress(OSError):
                (self.folder / file_name(removable.boot, removable.segment)).unlink()

    def on_disk_error(self, error: OSError) -> None:
        """Logs the first of a series of disk errors, and makes room if the disk is full."""
        disk_full = error.errno in (errno.ENOSPC, errno.EDQUOT)
        reason = "full" if disk_full else (errno.errorcode.get(error.errno or 0, "EIO")).lower()
        if not self.policy.drop_reason:
            log.error("records", extra={"outcome": "failing", "reason": reason, "what": str(error)})
        self.policy.on_disk_error(self.clock(), reason)
        if disk_full:
            with contextlib.suppress(OSError):
                self.remove_old_segments(disk_full=True)

    def close(self) -> None:
        """Writes and syncs what is queued; gives up on a hanging disk after `CLOSE_TIMEOUT_S`."""
        self.closing.set()
        self.wake.set()
        if self.thread.ident is not None:
            self.thread.join(CLOSE_TIMEOUT_S)
