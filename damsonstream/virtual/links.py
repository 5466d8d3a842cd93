"""Links between the gateways of a fleet in virtual time: what is lost, late, repeated or cut. No I/O.

How it is called: `Links(chance, ...)`; `ways(now, a, b)` gives the delays of the copies of one datagram that
arrive: none, one or more. Times are whole tenths of a millisecond.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

MS, S = 10, 10_000
Cut = Callable[[int, int, int], bool]  # now, from, to: whether nothing passes


@dataclass(slots=True)
class Links:
    chance: random.Random
    least: int = 1 * MS
    most: int = 17 * MS
    lost: float = 0.0
    repeated: float = 0.0
    cuts: list[Cut] = field(default_factory=list)

    def ways(self, now: int, a: int, b: int) -> list[int]:
        if any(cut(now, a, b) for cut in self.cuts) or self.chance.random() < self.lost:
            return []
        copies = 2 if self.chance.random() < self.repeated else 1
        return [int(self.chance.uniform(self.least, self.most)) for _ in range(copies)]


def apart(start: int, end: int, group: Callable[[int], int]) -> Cut:
    """From start to end, gateways of different groups don't hear each other."""
    return lambda now, a, b: start <= now < end and group(a) != group(b)


def faulty(fault: str, seed: int) -> Links:
    """Links by the names that the benchmarks use: `lost 30%`, `late 5 s`, `split`; any other has no fault."""
    chance = random.Random(seed)
    match fault.split():
        case ["lost", share]:
            lost = int(share.rstrip("%")) / 100
            return Links(chance, lost=lost, repeated=0.1 if lost < 0.5 else 0.0)
        case ["late", seconds, "s"]:
            return Links(chance, most=int(seconds) * S)
        case ["split"]:
            return Links(chance, cuts=[apart(5 * S, 15 * S, lambda place: place % 3 == 0)])
    return Links(chance)


def one_way(start: int, end: int, deaf: set[int]) -> Cut:
    """From start to end, these hear nobody, and are heard."""
    return lambda now, a, b: start <= now < end and b in deaf
