"""Decides when records are written, made durable, put in a new segment, dropped or removed. No I/O.

How it is called: the writer tells what happened (`wrote`, `synced`, `broke`) and asks `plan(now, waiting)`
what to do next, and `remove(...)` which segments go. Times are seconds of any clock that only goes forward.

What is promised: a record is handed to the system within `WRITE` of being decided and on the disk within
`WRITE + SYNC` and the time that the disk takes, unless a Dropped record says otherwise. What the system holds
survives the end of the process; what is on the disk survives that of the machine.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# Seconds between writes. A tenth of what a person notices in a console; at 2,000 GETs a second 400 records,
# one system call for them all.
WRITE = 0.05
# Seconds between syncs: with WRITE a third of a second is at risk when the machine dies, and a disk that
# takes 10 ms is busy for a twenty-fifth of the time.
SYNC = 0.25
# A sync may keep the disk busy for a third of the time at most: the next one waits three times as long as the
# last one took. Guards against a slow disk that others use too.
SHARE = 3.0
AGAIN, LONGEST = (
    0.25,
    8.0,
)  # seconds after a disk that fails, doubled each time: a full disk is looked at often
SEGMENT = 8 << 20  # bytes: read whole in bounded memory, and half a minute's records at 2,000 GETs a second
ROLL = 300.0  # seconds: a quiet gateway's segments can still be removed by age
WAITING = 1 << 20  # bytes that wait for the disk, then records are dropped: 5 s at 2,000 GETs a second


@dataclass(slots=True, frozen=True)
class Limits:
    bytes: int = 256 << 20  # of all segments of one gateway
    age: float = 7 * 86400.0  # seconds


@dataclass(slots=True, frozen=True)
class Kept:
    """A segment that lies on the disk."""

    boot: int
    segment: int
    size: int
    age: float  # seconds since its last write


@dataclass(slots=True, frozen=True)
class Plan:
    """What the writer does now, in this order, and how long it waits then at most."""

    fresh: bool = False  # begin a new segment
    write: bool = False
    sync: bool = False
    wait: float = WRITE


class Keeper:
    """One gateway's store, from the opening of its first segment on."""

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits = limits
        self.size, self.began = 0, now  # of the segment that is written
        self.open = False
        self.unsynced = False
        self.sync_at = now + SYNC
        self.retry_at, self.tries = now, 0  # while the disk fails
        self.reason = ""  # why records are dropped, empty: they are not

    def plan(self, now: float, waiting: int, closing: bool = False) -> Plan:
        """`waiting`: bytes that are not written yet."""
        if now < self.retry_at and not closing:
            return Plan(wait=min(self.retry_at - now, LONGEST))
        fresh = not self.open or (self.size > 0 and (self.size + waiting > self.limits_segment()
                                                     or now - self.began >= ROLL))  # fmt: skip
        write = waiting > 0
        sync = (self.unsynced or write) and (closing or now >= self.sync_at)
        return Plan(fresh and (write or not self.open), write, sync, WRITE)

    def limits_segment(self) -> int:
        """Bytes of a segment: an eighth of the store at most, so that removing one keeps most of it."""
        return max(4096, min(SEGMENT, self.limits.bytes // 8))

    def began_segment(self, now: float) -> None:
        self.open, self.size, self.began = True, 0, now

    def wrote(self, now: float, count: int) -> None:
        self.size += count
        self.unsynced, self.tries, self.reason = True, 0, ""

    def synced(self, now: float, took: float) -> None:
        self.unsynced = False
        self.sync_at = now + max(SYNC, SHARE * took)

    def broke(self, now: float, reason: str) -> None:
        """The disk failed: what was written last may be torn, so that the next segment is a new one."""
        self.open, self.reason = False, reason
        self.retry_at = now + min(LONGEST, AGAIN * 2 ** min(self.tries, 10))
        self.tries += 1

    def accepts(self, waiting: int) -> bool:
        """Whether one more record may wait; told before it is encoded."""
        return waiting < WAITING

    def remove(self, kept: Sequence[Kept], writing: tuple[int, int], full: bool = False) -> list[Kept]:
        """Segments to remove, the oldest first, never the one that is written. A full disk takes one more, as
        long as the store holds half of what it may: elsewhere something else fills the disk, and an operator
        who looks for the cause still needs what there is."""
        order = sorted((k for k in kept if (k.boot, k.segment) != writing), key=lambda k: (k.boot, k.segment))
        total, gone = sum(k.size for k in kept), list[Kept]()
        for one in order:
            if total <= self.limits.bytes and one.age <= self.limits.age:
                break
            total -= one.size
            gone.append(one)
        if full and not gone and order and total > self.limits.bytes // 2:
            gone.append(order[0])
        return gone


def next_boot(boots: Sequence[int]) -> int:
    """A gateway's boots are numbered from 1; a number is never used twice while any segment of it is
    there."""
    return max(boots, default=0) + 1
