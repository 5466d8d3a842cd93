"""Write policy: when records are written, synced, moved to a new segment, dropped or removed. No I/O.

The writer reports what happened (`on_written`, `on_synced`, `on_disk_error`), asks `plan(now, queued_bytes)`
what to do next, and asks `segments_to_remove(...)` which segments to delete. Times are seconds on any
monotonic clock.

Guarantee: a record is passed to the operating system within `WRITE_INTERVAL_S` of the event and is on disk
within `WRITE_INTERVAL_S + SYNC_INTERVAL_S` plus the disk's own latency, unless a Dropped record reports a
gap. Data passed to the operating system survives a process crash; data on disk survives a machine crash.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# Interval between writes: a tenth of the delay that a person notices in a console. At 2,000 GETs a second it
# batches 400 records into one system call.
WRITE_INTERVAL_S = 0.05
# Interval between syncs. Together with WRITE_INTERVAL_S, a machine crash loses at most about a third of a
# second, and a disk that takes 10 ms per sync is busy for 1/25 of the time.
SYNC_INTERVAL_S = 0.25
# The next sync waits at least this many times the duration of the last one, so that syncs keep a slow disk,
# which other processes may share, busy for at most a third of the time.
SYNC_PAUSE_FACTOR = 3.0
# Delay after a disk error, doubled with each further one; the maximum makes sure that a full disk is retried
# often.
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.25, 8.0
# Small enough to read whole into memory; half a minute of records at 2,000 GETs a second.
MAX_SEGMENT_BYTES = 8 << 20
# An idle gateway starts a new segment too, so that old segments can be removed by age.
MAX_SEGMENT_AGE_S = 300.0
MAX_QUEUED_BYTES = 1 << 20  # records are dropped when the queue is longer; 5 s at 2,000 GETs a second


@dataclass(slots=True, frozen=True)
class Limits:
    """Retention limits of one gateway's stored records."""

    bytes: int = 256 << 20  # total size of all segments
    age: float = 7 * 86400.0  # seconds since a segment's last write


@dataclass(slots=True, frozen=True)
class StoredSegment:
    """A segment file on disk."""

    boot: int
    segment: int
    size: int
    age: float  # seconds since its last write


@dataclass(slots=True, frozen=True)
class Plan:
    """What the writer does now, in field order, and the longest wait before it asks again."""

    new_segment: bool = False
    write: bool = False
    sync: bool = False
    wait_s: float = WRITE_INTERVAL_S


class WritePolicy:
    """Decides on writes, syncs, rotation and retention for the records of one gateway."""

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits = limits
        self.segment_bytes, self.segment_started_at = 0, now  # of the current segment
        self.segment_open = False
        self.unsynced = False
        self.next_sync_at = now + SYNC_INTERVAL_S
        self.retry_at, self.failed_attempts = now, 0  # used while disk operations fail
        self.drop_reason = ""  # reason code of the current disk error, empty if there is none

    def plan(self, now: float, queued_bytes: int, closing: bool = False) -> Plan:
        """Returns what to do now; `queued_bytes` have been accepted but not yet written."""
        if now < self.retry_at and not closing:
            return Plan(wait_s=min(self.retry_at - now, MAX_RETRY_DELAY_S))
        new_segment = not self.segment_open or (
            self.segment_bytes > 0 and (self.segment_bytes + queued_bytes > self.max_segment_bytes()
                                        or now - self.segment_started_at >= MAX_SEGMENT_AGE_S))  # fmt: skip
        write = queued_bytes > 0
        sync = (self.unsynced or write) and (closing or now >= self.next_sync_at)
        return Plan(new_segment and (write or not self.segment_open), write, sync, WRITE_INTERVAL_S)

    def max_segment_bytes(self) -> int:
        """Returns the maximum segment size: at most 1/8 of the store, so that a removal keeps most of it."""
        return max(4096, min(MAX_SEGMENT_BYTES, self.limits.bytes // 8))

    def on_segment_started(self, now: float) -> None:
        """Handles the start of a new segment."""
        self.segment_open, self.segment_bytes, self.segment_started_at = True, 0, now

    def on_written(self, now: float, byte_count: int) -> None:
        """Handles a successful write, which ends a series of disk errors."""
        self.segment_bytes += byte_count
        self.unsynced, self.failed_attempts, self.drop_reason = True, 0, ""

    def on_synced(self, now: float, duration_s: float) -> None:
        """Handles a successful sync and schedules the next one."""
        self.unsynced = False
        self.next_sync_at = now + max(SYNC_INTERVAL_S, SYNC_PAUSE_FACTOR * duration_s)

    def on_disk_error(self, now: float, reason: str) -> None:
        """Handles a disk error: the last write may be incomplete, so writing resumes in a new segment."""
        self.segment_open, self.drop_reason = False, reason
        self.retry_at = now + min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2 ** min(self.failed_attempts, 10))
        self.failed_attempts += 1

    def accepts(self, queued_bytes: int) -> bool:
        """Whether the queue has room for another record."""
        return queued_bytes < MAX_QUEUED_BYTES

    def segments_to_remove(
        self, stored: Sequence[StoredSegment], current: tuple[int, int], disk_full: bool = False
    ) -> list[StoredSegment]:
        """Returns the segments to remove, oldest first, never the current one.

        On a full disk, one segment is removed even within the limits, but only while the store uses more than
        half of its size limit. Below that, something else fills the disk, and an operator who looks for the
        cause needs the remaining records.
        """
        oldest_first = sorted(
            (k for k in stored if (k.boot, k.segment) != current), key=lambda k: (k.boot, k.segment)
        )
        total_bytes, removed = sum(k.size for k in stored), list[StoredSegment]()
        for candidate in oldest_first:
            if total_bytes <= self.limits.bytes and candidate.age <= self.limits.age:
                break
            total_bytes -= candidate.size
            removed.append(candidate)
        if disk_full and not removed and oldest_first and total_bytes > self.limits.bytes // 2:
            removed.append(oldest_first[0])
        return removed


def next_boot(boots: Sequence[int]) -> int:
    """Returns the next boot number, counted from 1; a number is not reused while a segment of it exists."""
    return max(boots, default=0) + 1
