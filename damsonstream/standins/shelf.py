"""What a cache, a hub or the vault holds and does, without sockets and without a clock of its own.

How it is called: `Shelf` keeps copies of bounded size, drops the one used longest ago, knows purges, and
counts effects of tokened GETs; `find()` says whether a copy will do. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

PURGES = 4096  # remembered, against copies that were on their way
Key = tuple[str, str, str]  # delivery service, object, part


@dataclass(slots=True, frozen=True)
class Copy:
    stamp: int  # when the origin gave it out
    size: int  # bytes
    group: int

    @property
    def version(self) -> str:
        return f"{self.stamp:016x}"


class Shelf:
    def __init__(self, most: int) -> None:
        self.most = most  # bytes
        self.copies: OrderedDict[Key, Copy] = OrderedDict()  # the one used longest ago first
        self.held = 0
        self.hits = self.misses = 0
        self.purges: OrderedDict[str | int, int] = OrderedDict()  # when issued; the oldest go first

    def find(self, key: Key, now: int, newer: int) -> Copy | None:
        """A copy that is `newer` milliseconds old at most; 0: as old as it likes, until it is purged."""
        copy = self.copies.get(key)
        if copy is None or (newer and now - copy.stamp > newer):
            self.misses += 1
            return None
        self.copies.move_to_end(key)
        self.hits += 1
        return copy

    def keep(self, key: Key, copy: Copy) -> None:
        purged = max(self.purges.get(key[1], 0), self.purges.get(copy.group, 0))
        if copy.stamp < purged:  # it was on its way while it was purged
            return
        old = self.copies.pop(key, None)
        self.held += copy.size - (old.size if old else 0)
        self.copies[key] = copy
        while self.held > self.most and len(self.copies) > 1:
            _, gone = self.copies.popitem(last=False)
            self.held -= gone.size

    def purge(self, thing: str, group: int, issued: int) -> int:
        """Drops copies older than the purge; returns how many."""
        self.purges[thing or group] = max(issued, self.purges.get(thing or group, 0))
        while len(self.purges) > PURGES:
            self.purges.popitem(last=False)
        gone = [
            key
            for key, copy in self.copies.items()
            if copy.stamp < issued and (key[1] == thing if thing else copy.group == group)
        ]
        for key in gone:
            self.held -= self.copies.pop(key).size
        return len(gone)

    def clear(self) -> None:
        self.copies.clear()
        self.held = 0


class Effects:
    """Runs of GETs that change something, by token: what rule 2 is about, seen where they run."""

    def __init__(self, remembered: float) -> None:
        self.remembered = remembered  # seconds for which a token's repeat is known
        self.seen: OrderedDict[str, float] = OrderedDict()  # token: when it ran; emptied by time
        self.runs = 0
        self.repeats = 0  # known as such, and not run again
        self.doubles: list[str] = []  # tokens that ran twice: the rule is broken
        self.ever: set[str] = set()  # all tokens of a play, which is short

    def run(self, token: str, now: float) -> bool:
        """Whether it runs; False: it is known to have run."""
        while self.seen and next(iter(self.seen.values())) < now - self.remembered:
            self.seen.popitem(last=False)
        if token in self.seen:
            self.repeats += 1
            return False
        if token in self.ever:
            self.doubles.append(token)
        self.seen[token] = now
        self.ever.add(token)
        self.runs += 1
        return True
