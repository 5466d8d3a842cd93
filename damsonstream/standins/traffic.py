"""What viewers ask for, and when. No I/O; all chance comes from the seed.

How it is called: `Catalogue(offers, seed)` describes objects; `arrivals(...)` yields GETs in the order of
their times, whatever becomes of them (open loop).
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from itertools import accumulate

GROUPS = 64  # groups of objects that a purge may name
Key = tuple[str, str, str]


@dataclass(slots=True, frozen=True)
class Offer:
    """One delivery service as viewers use it."""

    name: str
    share: float  # of all GETs
    objects: int
    skew: float  # of Zipf's law
    size: int  # bytes, the median
    patience_ms: int  # viewer timeout
    tokened: bool = False


@dataclass(slots=True, frozen=True)
class Arrival:
    at: float  # seconds since the play began
    viewer: int
    offer: Offer
    thing: str
    part: int
    token: str


def number(*parts: object) -> int:
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "big")


class Catalogue:
    def __init__(self, offers: tuple[Offer, ...], seed: int) -> None:
        self.offers, self.seed = offers, seed
        self.by_name = {offer.name: offer for offer in offers}
        self.ranks = {
            offer.name: list(accumulate((rank + 1) ** -offer.skew for rank in range(offer.objects)))
            for offer in offers
        }

    def thing(self, offer: Offer, rank: int) -> str:
        return f"{number(self.seed, offer.name, rank):016x}"

    def group(self, thing: str) -> int:
        return int(thing, 16) % GROUPS

    def describe(self, key: Key) -> tuple[int, int]:
        """Group and bytes of an object's part, the same whoever asks."""
        offer = self.by_name.get(key[0])
        spread = 0.5 + (number(key) % 1000) / 500  # half to two and a half times the median
        return self.group(key[1]), int((offer.size if offer else 1000) * spread)

    def draw(self, offer: Offer, chance: random.Random) -> str:
        ranks = self.ranks[offer.name]
        return self.thing(offer, bisect(ranks, chance.random() * ranks[-1]))


def arrivals(
    catalogue: Catalogue, rate: Callable[[float], float], most: float, seconds: float, viewers: int, seed: int
) -> Iterator[Arrival]:
    """Poisson arrivals at `rate(at)` GETs a second, which is `most` at the most (thinning)."""
    chance, at = random.Random(seed), 0.0
    shares = list(accumulate(offer.share for offer in catalogue.offers))
    while (at := at + chance.expovariate(most)) < seconds:
        if chance.random() * most >= rate(at):
            continue
        offer = catalogue.offers[bisect(shares, chance.random() * shares[-1])]
        token = f"{chance.getrandbits(128):032x}" if offer.tokened else ""
        thing = catalogue.draw(offer, chance)
        yield Arrival(at, chance.randrange(viewers), offer, thing, 0, token)
