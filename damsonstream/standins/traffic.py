"""The simulated workload: which objects viewers request, and when. No I/O; all randomness is seeded.

`Catalogue(profiles, seed)` describes the objects; `arrivals(...)` yields GETs in the order of their times,
independent of their outcomes (open loop).
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from itertools import accumulate

GROUPS = 64  # purge groups; each object belongs to one
Key = tuple[str, str, str]


@dataclass(slots=True, frozen=True)
class ServiceProfile:
    """The load on one delivery service."""

    name: str
    share: float  # of all GETs
    objects: int
    skew: float  # exponent of the Zipf distribution
    size: int  # median object size in bytes
    viewer_timeout_ms: int  # the viewer timeout in milliseconds
    tokened: bool = False


@dataclass(slots=True, frozen=True)
class Arrival:
    """A GET that a viewer sends; `obj` is the object's id."""

    at: float  # seconds since the start of the run
    viewer: int
    profile: ServiceProfile
    obj: str
    part: int
    token: str


def hashed(*parts: object) -> int:
    """Returns a 64-bit hash that is the same in every process."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "big")


class Catalogue:
    def __init__(self, profiles: tuple[ServiceProfile, ...], seed: int) -> None:
        self.profiles, self.seed = profiles, seed
        self.by_name = {profile.name: profile for profile in profiles}
        self.cumulative_weights = {
            offer.name: list(accumulate((rank + 1) ** -offer.skew for rank in range(offer.objects)))
            for offer in profiles
        }

    def object_id(self, profile: ServiceProfile, rank: int) -> str:
        return f"{hashed(self.seed, profile.name, rank):016x}"

    def group(self, object_id: str) -> int:
        return int(object_id, 16) % GROUPS

    def describe(self, key: Key) -> tuple[int, int]:
        """Returns the purge group and the size in bytes of an object's part, both derived from its key."""
        profile = self.by_name.get(key[0])
        spread = 0.5 + (hashed(key) % 1000) / 500  # 0.5 to 2.5 times the median
        return self.group(key[1]), int((profile.size if profile else 1000) * spread)

    def draw(self, profile: ServiceProfile, rng: random.Random) -> str:
        weights = self.cumulative_weights[profile.name]
        return self.object_id(profile, bisect(weights, rng.random() * weights[-1]))


def arrivals(
    catalogue: Catalogue,
    rate: Callable[[float], float],
    max_rate: float,
    seconds: float,
    viewers: int,
    seed: int,
) -> Iterator[Arrival]:
    """Yields Poisson arrivals at `rate(at)` GETs per second, which is at most `max_rate` (thinning)."""
    rng, at = random.Random(seed), 0.0
    shares = list(accumulate(offer.share for offer in catalogue.profiles))
    while (at := at + rng.expovariate(max_rate)) < seconds:
        if rng.random() * max_rate >= rate(at):
            continue
        profile = catalogue.profiles[bisect(shares, rng.random() * shares[-1])]
        token = f"{rng.getrandbits(128):032x}" if profile.tokened else ""
        object_id = catalogue.draw(profile, rng)
        yield Arrival(at, rng.randrange(viewers), profile, object_id, 0, token)
