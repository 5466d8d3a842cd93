"""A digest of GETs in their order, the same however they were batched, and whatever the order among equal
times. No I/O.

How it is called: `Digest().add(gets)` in order, then `hex()`. GETs at one time enter as a sum of their own
hashes, so that shards of one file that are merged by time have the digest of the whole file: which of two
equal times came first is lost by splitting.
"""

from __future__ import annotations

from hashlib import blake2b

import numpy as np

from damsonstream.traces.gets import mixed

GROUP = np.dtype([("time", "<i8"), ("count", "<u8"), ("one", "<u8"), ("other", "<u8")])


class Digest:
    def __init__(self) -> None:
        self.state = blake2b(digest_size=16)
        self.open = np.zeros(0, GROUP)  # GETs of the latest time: more of it may come
        self.count = 0

    def add(self, gets: np.ndarray) -> None:
        if not len(gets):
            return
        self.count += len(gets)
        one = mixed(gets["object"], 11)
        for field in ("client", "size", "tenant", "group", "kind", "flags"):
            one = mixed(one ^ gets[field].astype(np.uint64), 12)
        other = mixed(one, 13)
        times = gets["time"]
        starts = np.concatenate(([0], np.flatnonzero(np.diff(times)) + 1))
        groups = np.zeros(len(starts), GROUP)
        groups["time"] = times[starts]
        groups["count"] = np.diff(np.concatenate((starts, [len(gets)])))
        with np.errstate(over="ignore"):
            groups["one"], groups["other"] = np.add.reduceat(one, starts), np.add.reduceat(other, starts)
            if len(self.open) and self.open["time"][0] == groups["time"][0]:
                for field in ("count", "one", "other"):
                    groups[field][0] += self.open[field][0]
            elif len(self.open):
                self.state.update(self.open.tobytes())
        self.state.update(groups[:-1].tobytes())
        self.open = groups[-1:].copy()

    def hex(self) -> str:
        whole = self.state.copy()
        whole.update(self.open.tobytes())
        return whole.hexdigest()
