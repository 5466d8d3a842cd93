"""Traces made from traces, and from nothing: slices, scales, new names, synthetic ones. No I/O.

How it is called: `Thinning(...)`, `Scaling(...)` and `Renaming(...)` each have `apply(gets)`; `generate(...)`
yields GETs in order. All chance comes from the seed, all choices from hashes: the same input gives the same
output, in whatever batches.

Thinning distorts. By object: what is kept keeps its own rhythm and reuse distances shrink with the rate,
popularity stays, but one very popular object is kept whole or lost whole. By client: each client's order
stays, popularity of the rare is cut. By GET: rates and popularity stay, but reuse distances in time grow, and
what is wanted once is over-represented.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b

import numpy as np

from damsonstream.traces.gets import GET, READ, WRITE, fraction, mixed

US = 1_000_000
BY = ("object", "client", "get")


@dataclass(slots=True)
class Thinning:
    share: float
    by: str
    seed: int = 1
    count: int = 0  # GETs seen so far: which GET it is decides where it is thinned by GET

    def apply(self, gets: np.ndarray) -> np.ndarray:
        places = np.arange(self.count, self.count + len(gets), dtype=np.uint64)
        self.count += len(gets)
        values = places if self.by == "get" else gets[self.by]
        return gets[fraction(mixed(values, 100 + self.seed)) < self.share]


@dataclass(slots=True, frozen=True)
class Scaling:
    """Times `1 / speed` as long; order and popularity stay."""

    speed: float

    def apply(self, gets: np.ndarray) -> np.ndarray:
        made = gets.copy()
        made["time"] = np.floor(gets["time"] / self.speed).astype(np.int64)
        return made


class Renaming:
    """Objects, clients and tenants under new names, which only the salt leads back to: keyed BLAKE2b, so that
    who knows the keys of a published trace can't find them again by hashing them."""

    def __init__(self, salt: bytes) -> None:
        self.salt = blake2b(salt, digest_size=32).digest()
        self.known: dict[tuple[str, int], int] = {}  # of the latest objects; bounded

    def name(self, kind: str, value: int, size: int) -> int:
        found = self.known.get((kind, value))
        if found is None:
            told = blake2b(value.to_bytes(8, "little"), digest_size=size, key=self.salt, person=kind.encode())
            found = self.known[kind, value] = int.from_bytes(told.digest(), "little")
            if len(self.known) > 500_000:
                for old in list(self.known)[:250_000]:
                    del self.known[old]
        return found

    def apply(self, gets: np.ndarray) -> np.ndarray:
        made = gets.copy()
        for kind, size in (("object", 8), ("client", 8), ("tenant", 4)):
            values, which = np.unique(gets[kind], return_inverse=True)
            names = [self.name(kind, int(value), size) for value in values.tolist()]
            made[kind] = np.array(names, made[kind].dtype)[which]
        groups = int(gets["group"].max(initial=0)) + 1
        made["group"] = made["object"] % np.uint64(max(64, groups))
        return made


@dataclass(slots=True, frozen=True)
class Character:
    """What a synthetic trace is like."""

    gets: int = 100_000
    rate: float = 1000.0  # GETs a second, the mean
    objects: int = 10_000
    alpha: float = 0.9  # of Zipf's law
    clients: int = 500
    once: float = 0.0  # share of GETs for objects that are wanted this once
    writes: float = 0.0
    median_size: float = 8_000.0
    spread: float = 1.2  # sigma of log-normal sizes
    burst: float = 1.0  # times the mean rate within bursts, 1: none
    burst_every: float = 20.0  # seconds
    burst_lasts: float = 3.0
    crowd_at: float = 0.0  # seconds after which a crowd wants one new object, 0: never
    crowd_share: float = 0.5  # of the GETs while it lasts
    crowd_lasts: float = 10.0


def generate(told: Character, seed: int, batch: int = 1 << 16) -> Iterator[np.ndarray]:
    """GETs in order: a Poisson process whose rate rises in bursts, objects by Zipf's law, a crowd that opens
    one new object."""
    chance = np.random.Generator(np.random.PCG64(seed))
    weights = np.cumsum(np.arange(1, told.objects + 1, dtype=np.float64) ** -told.alpha)
    weights /= weights[-1]
    share = min(0.9, told.burst_lasts / told.burst_every) if told.burst > 1 else 0.0
    calm = told.rate * max(0.05, (1 - share * told.burst) / (1 - share)) if share else told.rate
    at, made = 0.0, 0
    while made < told.gets:
        count = min(batch, told.gets - made)
        gaps = chance.exponential(1.0, count)
        times = np.empty(count)
        if share:
            for place, gap in enumerate(gaps.tolist()):  # each gap in the time of the rate that holds there
                rate = told.rate * told.burst if at % told.burst_every < told.burst_lasts else calm
                at += gap / rate
                times[place] = at
        else:
            times = at + np.cumsum(gaps / told.rate)
            at = float(times[-1])
        ranks = np.searchsorted(weights, chance.random(count))
        objects = mixed(ranks.astype(np.uint64), seed + 7)
        single = chance.random(count) < told.once
        fresh = np.arange(made, made + count, dtype=np.uint64) + np.uint64(1 << 40)
        objects = np.where(single, mixed(fresh, seed + 8), objects)
        if told.crowd_at:
            within = (times >= told.crowd_at) & (times < told.crowd_at + told.crowd_lasts)
            crowd = within & (chance.random(count) < told.crowd_share)
            objects = np.where(crowd, mixed(np.array([1 << 50], np.uint64), seed)[0], objects)
        gets = np.zeros(count, GET)
        gets["time"] = (times * US).astype(np.int64)
        gets["object"] = objects
        gets["client"] = mixed(chance.integers(0, told.clients, count).astype(np.uint64), seed + 9)
        one, other = fraction(mixed(objects, seed + 10)), fraction(mixed(objects, seed + 11))
        normal = np.sqrt(-2 * np.log(one)) * np.cos(2 * math.pi * other)
        gets["size"] = np.clip(told.median_size * np.exp(told.spread * normal), 1, 1 << 30).astype(np.int64)
        gets["group"] = objects % np.uint64(64)
        gets["kind"] = np.where(chance.random(count) < told.writes, WRITE, READ)
        made += count
        yield gets
