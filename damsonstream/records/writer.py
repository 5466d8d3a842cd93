"""The thread that writes records: it takes what waits, and does what the keeper plans.

How it is called: `Writer(folder, name, limits)` makes the boot's folder place; `put(seq, payload)` hands over
one record and never waits; `close()` writes what is left. Decisions: `keeper.py`; bytes: `segment.py`.

The event loop never touches the disk: it appends framed bytes to a list, and the thread writes the whole list
with one system call, outside the interpreter's lock.
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
from damsonstream.records.keeper import Keeper, Kept, Limits, next_boot

log = logging.getLogger(__name__)
NAME = re.compile(r"(\d{8,})-(\d{8,})\.rec")
CLOSE = 3.0  # seconds that close() waits: a gateway that ends must not hang on a disk that does
PLACE = re.compile(r"[^A-Za-z0-9_.-]|^\.")


def place(name: str) -> str:
    """A gateway's name as a folder's name."""
    return PLACE.sub(lambda found: "".join(f"%{b:02x}" for b in found[0].encode()), name) or "%"


def file_name(boot: int, number: int) -> str:
    return f"{boot:08d}-{number:08d}.rec"


def numbers(path: Path) -> tuple[int, int] | None:
    """Boot and segment that a file's name tells."""
    found = NAME.fullmatch(path.name)
    return (int(found[1]), int(found[2])) if found else None


class Writer:
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
        self.name, self.folder, self.clock = name, folder / place(name), clock
        self.open_file, self.write_file, self.sync_file = open_file, write, sync
        self.folder.mkdir(parents=True, exist_ok=True)
        boots = [found[0] for path in self.folder.iterdir() if (found := numbers(path))]
        self.boot, self.number, self.file = self.claim(boots), 0, -1
        self.keeper = Keeper(limits, clock())
        # Between the two threads stands a deque, whose ends are safe without a lock, and two sums that only
        # one of them changes: the event loop never waits for the other.
        self.pending: deque[bytes] = deque()  # framed; emptied by the thread
        self.put_bytes = self.done_bytes = 0
        self.first = 0  # seq of the first record that is not written
        self.seq = 0
        self.dropped, self.dropped_since = 0, 0  # since the last record that was taken
        self.dropped_why = ""
        self.lost = self.written = 0  # records, over the boot
        self.ending = threading.Event()
        self.wake = threading.Event()
        self.thread = threading.Thread(target=self.run, name="records", daemon=True)

    def claim(self, boots: list[int]) -> int:
        """A boot's number of its own, also where two processes start under one name."""
        boot = next_boot(boots)
        while True:
            try:
                os.close(self.open_file(self.folder / f"{boot:08d}.boot"))
            except FileExistsError:
                boot += 1
                continue
            for old in self.folder.glob("*.boot"):
                if old.stem.isdigit() and int(old.stem) < boot:
                    old.unlink(missing_ok=True)
            return boot

    def start(self) -> None:
        self.thread.start()

    def put(self, at: int, payload: bytes) -> None:
        """Takes one record, or counts it as dropped where too many wait."""
        if not self.keeper.accepts(self.waiting) or len(payload) > segment.MOST:
            if not self.dropped:
                self.dropped_since, self.dropped_why = at, self.keeper.reason or "slow"
            self.dropped += 1
            self.lost += 1
            self.seq += 1  # its number stays free: a reader sees how many are missing
            return
        if self.dropped:
            gap = model.Dropped(at, self.dropped_since, self.dropped, self.dropped_why)
            self.dropped = self.dropped_since = 0
            self.append(model.encode(gap))
        self.append(payload)

    @property
    def waiting(self) -> int:
        """Bytes that are not written yet."""
        return self.put_bytes - self.done_bytes

    def append(self, payload: bytes) -> None:
        framed = segment.frame(self.seq, payload)
        self.seq += 1
        self.put_bytes += len(framed)
        self.pending.append(framed)

    def run(self) -> None:
        batch: list[bytes] = []  # taken, not yet written: kept over a failure
        while True:
            closing = self.ending.is_set()
            plan = self.keeper.plan(self.clock(), self.waiting, closing)
            try:
                if plan.write or plan.fresh:
                    batch += [self.pending.popleft() for _ in range(len(self.pending))]
                    if plan.fresh:
                        self.begin()
                    self.put_out(batch)
                if plan.sync:
                    before = self.clock()
                    self.sync_file(self.file)
                    self.keeper.synced(self.clock(), self.clock() - before)
            except OSError as fault:
                self.failed(fault)
            except Exception:
                log.exception("records")
                self.keeper.broke(self.clock(), "fault")
            if closing:
                break
            self.wake.wait(plan.wait)
        if self.file >= 0:
            with contextlib.suppress(OSError):
                os.close(self.file)

    def put_out(self, batch: list[bytes]) -> None:
        if not batch:
            return
        data = b"".join(batch)
        done = self.write_file(self.file, data)
        if done < len(
            data
        ):  # a short write: the disk is full. What is whole counts, the rest is written again
            self.settle(batch, done)
            raise OSError(errno.ENOSPC, "short write")
        self.settle(batch, done)

    def settle(self, batch: list[bytes], done: int) -> None:
        """Takes off the batch what is whole on the file."""
        whole = size = 0
        for framed in batch:
            if size + len(framed) > done:
                break
            size += len(framed)
            whole += 1
        last = segment.FRAME.unpack_from(batch[whole - 1])[2] if whole else 0
        del batch[:whole]
        self.written += whole
        if batch:
            self.first = segment.FRAME.unpack_from(batch[0])[2]
        elif whole:
            self.first = last + 1
        self.done_bytes += size
        self.keeper.wrote(self.clock(), size)

    def begin(self) -> None:
        if self.file >= 0:
            with contextlib.suppress(OSError):
                self.sync_file(self.file)
                os.close(self.file)
            self.file = -1
        number = self.number + 1
        path = self.folder / file_name(self.boot, number)
        self.file = self.open_file(path)
        created = time.time_ns() // 1_000_000
        data = segment.head(self.name, self.boot, number, self.first, created)
        try:
            if self.write_file(self.file, data) < len(data):
                raise OSError(errno.ENOSPC, "short write")
        except OSError:  # nothing is in it: the next try takes its name
            with contextlib.suppress(OSError):
                os.close(self.file)
                path.unlink()
            self.file = -1
            raise
        self.number = number
        self.keeper.began_segment(self.clock())
        self.tidy()
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)  # the name of the new file
        finally:
            os.close(folder)

    def tidy(self, full: bool = False) -> None:
        kept, now = [], time.time()
        for path in self.folder.iterdir():
            if found := numbers(path):
                with contextlib.suppress(FileNotFoundError):
                    told = path.stat()
                    kept.append(Kept(*found, told.st_size, max(0.0, now - told.st_mtime)))
        for one in self.keeper.remove(kept, (self.boot, self.number), full):
            with contextlib.suppress(OSError):
                (self.folder / file_name(one.boot, one.segment)).unlink()

    def failed(self, fault: OSError) -> None:
        full = fault.errno in (errno.ENOSPC, errno.EDQUOT)
        reason = "full" if full else (errno.errorcode.get(fault.errno or 0, "EIO")).lower()
        if not self.keeper.reason:
            log.error("records", extra={"outcome": "failing", "reason": reason, "what": str(fault)})
        self.keeper.broke(self.clock(), reason)
        if full:
            with contextlib.suppress(OSError):
                self.tidy(full=True)

    def close(self) -> None:
        """Writes and syncs what is left; a disk that hangs is left alone after a while."""
        self.ending.set()
        self.wake.set()
        if self.thread.ident is not None:
            self.thread.join(CLOSE)
