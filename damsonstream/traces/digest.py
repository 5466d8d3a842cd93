"""Digest of a sequence of GETs, independent of batch boundaries and of the order of GETs with equal times.
No I/O.

Usage: call `Digest().add(gets)` with batches in time order, then `hex()`. GETs with the same time are
combined as a sum of their hashes. Splitting a file into shards loses the order of GETs with equal times;
because of the sum, shards merged by time still have the digest of the whole file.
"""

from __future__ import annotations

from hashlib import blake2b

import numpy as np

from damsonstream.traces.gets import mix64

# The GETs of one time: their number, and the sums of two hashes of each.
TIME_GROUP = np.dtype([("time", "<i8"), ("count", "<u8"), ("one", "<u8"), ("other", "<u8")])


class Digest:
    """Incremental digest over batches of GETs."""

    def __init__(self) -> None:
        self.hash_state = blake2b(digest_size=16)
        # the GETs of the latest time; the next batch may have more of them
        self.last_group = np.zeros(0, TIME_GROUP)
        self.count = 0

    def add(self, gets: np.ndarray) -> None:
        if not len(gets):
            return
        self.count += len(gets)
        first_hash = mix64(gets["object"], 11)
        for field in ("client", "size", "tenant", "group", "kind", "flags"):
            first_hash = mix64(first_hash ^ gets[field].astype(np.uint64), 12)
        second_hash = mix64(first_hash, 13)
        times = gets["time"]
        starts = np.concatenate(([0], np.flatnonzero(np.diff(times)) + 1))
        groups = np.zeros(len(starts), TIME_GROUP)
        groups["time"] = times[starts]
        groups["count"] = np.diff(np.concatenate((starts, [len(gets)])))
        with np.errstate(over="ignore"):
            groups["one"], groups["other"] = (
                np.add.reduceat(first_hash, starts),
                np.add.reduceat(second_hash, starts),
            )
            if len(self.last_group) and self.last_group["time"][0] == groups["time"][0]:
                for field in ("count", "one", "other"):
                    groups[field][0] += self.last_group[field][0]
            elif len(self.last_group):
                self.hash_state.update(self.last_group.tobytes())
        self.hash_state.update(groups[:-1].tobytes())
        self.last_group = groups[-1:].copy()

    def hex(self) -> str:
        """Returns the digest of all GETs added so far, in hexadecimal."""
        final = self.hash_state.copy()
        final.update(self.last_group.tobytes())
        return final.hexdigest()
