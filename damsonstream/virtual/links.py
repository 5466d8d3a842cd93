"""Simulated links between the gateways of a fleet in virtual time, with loss, delay, duplication and
partitions. No I/O.

Usage: `Links(rng, ...)`; `delivery_delays(now, sender, receiver)` returns the delay of each copy of one
datagram that arrives: none, one or more. Times are whole tenths of a millisecond.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

MS, S = 10, 10_000  # clock ticks (0.1 ms) per millisecond and per second
Cut = Callable[[int, int, int], bool]  # (now, sender, receiver): whether the link is cut


@dataclass(slots=True)
class Links:
    """The properties of all links; delays are uniform between `min_delay` and `max_delay`."""

    rng: random.Random
    min_delay: int = 1 * MS
    max_delay: int = 17 * MS
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    cuts: list[Cut] = field(default_factory=list)

    def delivery_delays(self, now: int, sender: int, receiver: int) -> list[int]:
        """Returns the delay of each copy of a datagram that arrives."""
        if any(cut(now, sender, receiver) for cut in self.cuts) or self.rng.random() < self.loss_rate:
            return []
        copies = 2 if self.rng.random() < self.duplicate_rate else 1
        return [int(self.rng.uniform(self.min_delay, self.max_delay)) for _ in range(copies)]


def partition(start: int, end: int, group_of: Callable[[int], int]) -> Cut:
    """Returns a cut between gateways of different groups, from start to end."""
    return lambda now, sender, receiver: start <= now < end and group_of(sender) != group_of(receiver)


def links_with_fault(fault: str, seed: int) -> Links:
    """Returns links by the fault names of the benchmarks: `lost 30%`, `late 5 s`, `split`; others: no
    fault."""
    rng = random.Random(seed)
    match fault.split():
        case ["lost", percentage]:
            loss_rate = int(percentage.rstrip("%")) / 100
            return Links(rng, loss_rate=loss_rate, duplicate_rate=0.1 if loss_rate < 0.5 else 0.0)
        case ["late", seconds, "s"]:
            return Links(rng, max_delay=int(seconds) * S)
        case ["split"]:
            return Links(rng, cuts=[partition(5 * S, 15 * S, lambda gateway: gateway % 3 == 0)])
    return Links(rng)


def block_incoming(start: int, end: int, receivers: set[int]) -> Cut:
    """Returns a cut by which the receivers get nothing, but can send, from start to end."""
    return lambda now, sender, receiver: start <= now < end and receiver in receivers
