"""The state of a stand-in cache, parent or origin, without I/O and without a clock of its own.

`CacheStore` is an LRU cache of bounded size that honours purges; `EffectLog` counts the effects of tokened
GETs. Times are Unix milliseconds unless stated otherwise.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_REMEMBERED_PURGES = 4096  # against copies that were in transit when they were purged
Key = tuple[str, str, str]  # delivery service, object, part


@dataclass(slots=True, frozen=True)
class Copy:
    """A cached copy of an object's part."""

    stamp: int  # when the origin served it
    size: int  # bytes
    group: int  # purge group

    @property
    def version(self) -> str:
        return f"{self.stamp:016x}"


class CacheStore:
    """An LRU cache of copies, bounded in bytes."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.copies: OrderedDict[Key, Copy] = OrderedDict()  # least recently used first
        self.used_bytes = 0
        self.hits = self.misses = 0
        # Time of issue by object or group; the oldest are dropped first.
        self.purges: OrderedDict[str | int, int] = OrderedDict()

    def lookup(self, key: Key, now: int, max_age: int) -> Copy | None:
        """Returns the copy if it is at most `max_age` milliseconds old; 0: of any age."""
        copy = self.copies.get(key)
        if copy is None or (max_age and now - copy.stamp > max_age):
            self.misses += 1
            return None
        self.copies.move_to_end(key)
        self.hits += 1
        return copy

    def store(self, key: Key, copy: Copy) -> None:
        """Stores a copy, unless it was purged meanwhile, and evicts others to stay within the bound."""
        purged = max(self.purges.get(key[1], 0), self.purges.get(copy.group, 0))
        if copy.stamp < purged:  # it was in transit when it was purged
            return
        old = self.copies.pop(key, None)
        self.used_bytes += copy.size - (old.size if old else 0)
        self.copies[key] = copy
        while self.used_bytes > self.max_bytes and len(self.copies) > 1:
            _, evicted = self.copies.popitem(last=False)
            self.used_bytes -= evicted.size

    def purge(self, object_id: str, group: int, issued: int) -> int:
        """Drops the copies older than the purge, and returns their number."""
        self.purges[object_id or group] = max(issued, self.purges.get(object_id or group, 0))
        while len(self.purges) > MAX_REMEMBERED_PURGES:
            self.purges.popitem(last=False)
        dropped = [
            key
            for key, copy in self.copies.items()
            if copy.stamp < issued and (key[1] == object_id if object_id else copy.group == group)
        ]
        for key in dropped:
            self.used_bytes -= self.copies.pop(key).size
        return len(dropped)

    def clear(self) -> None:
        self.copies.clear()
        self.used_bytes = 0


class EffectLog:
    """Records the effects of tokened GETs at the origin, to check rule 2 (no effect runs twice)."""

    def __init__(self, memory_seconds: float) -> None:
        self.memory_seconds = memory_seconds
        self.recent: OrderedDict[str, float] = OrderedDict()  # token: when it ran, in seconds; expires
        self.runs = 0
        self.repeats = 0  # recognized repeats, which did not run again
        self.tokens_run_twice: list[str] = []  # tokens that ran twice, in violation of the rule
        self.all_tokens: set[str] = set()  # unbounded: a run is short

    def run(self, token: str, now: float) -> bool:
        """Runs a token's effect, unless it is remembered as run: then returns False. `now` is in seconds."""
        while self.recent and next(iter(self.recent.values())) < now - self.memory_seconds:
            self.recent.popitem(last=False)
        if token in self.recent:
            self.repeats += 1
            return False
        if token in self.all_tokens:
            self.tokens_run_twice.append(token)
        self.recent[token] = now
        self.all_tokens.add(token)
        self.runs += 1
        return True
