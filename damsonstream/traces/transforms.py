"""Transforms traces (sampling, time scaling, anonymization) and generates synthetic ones. No I/O.

Usage: `Thinning(...)`, `Scaling(...)` and `Anonymizer(...)` each have `apply(gets)`; `generate(...)`
yields GETs in order. Random choices depend on the seed and on hashes only: the same input gives the same
output, whatever the batch boundaries.

Thinning distorts a trace. By object: the kept objects keep their request times and the popularity
distribution is preserved, reuse distances shrink with the rate, but a single very popular object is kept or
lost as a whole. By client: the order of each client's GETs is kept, but rare objects become less popular. By
GET: relative rates and popularity are kept, but the time between reuses grows, and objects requested once are
over-represented.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b

import numpy as np

from damsonstream.traces.gets import GET, READ, WRITE, fraction, mix64

US_PER_S = 1_000_000
BY = ("object", "client", "get")  # what thinning keeps or drops as a whole


@dataclass(slots=True)
class Thinning:
    """Keeps a share of the GETs, chosen by object, by client or by GET."""

    share: float
    by: str
    seed: int = 1
    count: int = 0  # GETs so far; thinning by GET hashes the position of a GET

    def apply(self, gets: np.ndarray) -> np.ndarray:
        positions = np.arange(self.count, self.count + len(gets), dtype=np.uint64)
        self.count += len(gets)
        values = positions if self.by == "get" else gets[self.by]
        return gets[fraction(mix64(values, 100 + self.seed)) < self.share]


@dataclass(slots=True, frozen=True)
class Scaling:
    """Divides all times by `speed`; keeps order and popularity."""

    speed: float

    def apply(self, gets: np.ndarray) -> np.ndarray:
        scaled = gets.copy()
        scaled["time"] = np.floor(gets["time"] / self.speed).astype(np.int64)
        return scaled


class Anonymizer:
    """Replaces objects, clients and tenants by pseudonyms: BLAKE2b keyed with a salt, so that the keys of a
    published trace can't be recognized by hashing them without the salt."""

    def __init__(self, salt: bytes) -> None:
        self.salt = blake2b(salt, digest_size=32).digest()
        self.cache: dict[tuple[str, int], int] = {}  # pseudonyms of the latest values; bounded

    def pseudonym(self, kind: str, value: int, size: int) -> int:
        pseudonym = self.cache.get((kind, value))
        if pseudonym is None:
            keyed_hash = blake2b(
                value.to_bytes(8, "little"), digest_size=size, key=self.salt, person=kind.encode()
            )
            pseudonym = self.cache[kind, value] = int.from_bytes(keyed_hash.digest(), "little")
            if len(self.cache) > 500_000:
                for old in list(self.cache)[:250_000]:
                    del self.cache[old]
        return pseudonym

    def apply(self, gets: np.ndarray) -> np.ndarray:
        renamed = gets.copy()
        for kind, size in (("object", 8), ("client", 8), ("tenant", 4)):
            values, indices = np.unique(gets[kind], return_inverse=True)
            names = [self.pseudonym(kind, int(value), size) for value in values.tolist()]
            renamed[kind] = np.array(names, renamed[kind].dtype)[indices]
        groups = int(gets["group"].max(initial=0)) + 1
        renamed["group"] = renamed["object"] % np.uint64(max(64, groups))
        return renamed


@dataclass(slots=True, frozen=True)
class TraceProfile:
    """Parameters of a synthetic trace."""

    gets: int = 100_000
    rate: float = 1000.0  # mean GETs per second
    objects: int = 10_000
    alpha: float = 0.9  # exponent of Zipf's law
    clients: int = 500
    once: float = 0.0  # share of GETs for objects that are requested only once
    writes: float = 0.0  # share of GETs that are writes
    median_size: float = 8_000.0
    spread: float = 1.2  # sigma of log-normal sizes
    burst: float = 1.0  # rate within bursts, as a multiple of the mean; 1: no bursts
    burst_every: float = 20.0  # seconds
    burst_lasts: float = 3.0  # seconds
    crowd_at: float = 0.0  # seconds until a flash crowd requests one new object; 0: never
    crowd_share: float = 0.5  # of the GETs during the flash crowd
    crowd_lasts: float = 10.0  # seconds


def generate(profile: TraceProfile, seed: int, batch: int = 1 << 16) -> Iterator[np.ndarray]:
    """Yields GETs in time order: Poisson arrivals with a higher rate in bursts, objects by Zipf's law, and a
    flash crowd for one new object."""
    rng = np.random.Generator(np.random.PCG64(seed))
    weights = np.cumsum(np.arange(1, profile.objects + 1, dtype=np.float64) ** -profile.alpha)
    weights /= weights[-1]
    burst_share = min(0.9, profile.burst_lasts / profile.burst_every) if profile.burst > 1 else 0.0
    base_rate = (
        profile.rate * max(0.05, (1 - burst_share * profile.burst) / (1 - burst_share))
        if burst_share
        else profile.rate
    )
    now, generated = 0.0, 0
    while generated < profile.gets:
        count = min(batch, profile.gets - generated)
        gaps = rng.exponential(1.0, count)
        times = np.empty(count)
        if burst_share:
            for index, gap in enumerate(gaps.tolist()):  # each gap is scaled by the rate at that time
                rate = (
                    profile.rate * profile.burst
                    if now % profile.burst_every < profile.burst_lasts
                    else base_rate
                )
                now += gap / rate
                times[index] = now
        else:
            times = now + np.cumsum(gaps / profile.rate)
            now = float(times[-1])
        ranks = np.searchsorted(weights, rng.random(count))
        objects = mix64(ranks.astype(np.uint64), seed + 7)
        requested_once = rng.random(count) < profile.once
        unique_ids = np.arange(generated, generated + count, dtype=np.uint64) + np.uint64(1 << 40)
        objects = np.where(requested_once, mix64(unique_ids, seed + 8), objects)
        if profile.crowd_at:
            in_crowd_period = (times >= profile.crowd_at) & (times < profile.crowd_at + profile.crowd_lasts)
            crowd = in_crowd_period & (rng.random(count) < profile.crowd_share)
            objects = np.where(crowd, mix64(np.array([1 << 50], np.uint64), seed)[0], objects)
        gets = np.zeros(count, GET)
        gets["time"] = (times * US_PER_S).astype(np.int64)
        gets["object"] = objects
        gets["client"] = mix64(rng.integers(0, profile.clients, count).astype(np.uint64), seed + 9)
        uniform_a, uniform_b = fraction(mix64(objects, seed + 10)), fraction(mix64(objects, seed + 11))
        normal = np.sqrt(-2 * np.log(uniform_a)) * np.cos(2 * math.pi * uniform_b)
        gets["size"] = np.clip(profile.median_size * np.exp(profile.spread * normal), 1, 1 << 30).astype(
            np.int64
        )
        gets["group"] = objects % np.uint64(64)
        gets["kind"] = np.where(rng.random(count) < profile.writes, WRITE, READ)
        generated += count
        yield gets
