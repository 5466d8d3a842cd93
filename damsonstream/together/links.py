"""How the links between processes are at one time of a script. No I/O.

How it is called: `Links(faults)` is asked `between(a, b, at)` for the condition of what goes from a to b; `a`
and `b` are names of gateways, caches, hubs, the vault or `bulletin`. `at` is seconds since the play began.
Faults on one link add up: delays are summed, of shares the largest holds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

KINDS = ("cut", "one-way", "split", "drop", "delay", "jitter", "repeat", "hold", "break")
SHARES = ("drop", "repeat")  # whose amount is a share; delay and jitter are milliseconds


@dataclass(slots=True, frozen=True)
class LinkFault:
    """`groups`: of cut and split what is kept apart, each from each other; of the rest from whom and to whom.
    An empty group is everyone. `break` resets what is open as it begins, and lets nothing new through."""

    kind: str
    start: float
    lasts: float
    groups: tuple[frozenset[str], ...]
    amount: float = 1.0

    @property
    def end(self) -> float:
        return self.start + self.lasts

    def meets(self, a: str, b: str) -> bool:
        if self.kind in ("cut", "split", "break"):
            where = [n for n, group in enumerate(self.groups) if a in group]
            there = [n for n, group in enumerate(self.groups) if b in group]
            if self.kind == "split" or len(self.groups) > 1:
                return bool(where and there and where != there)
            return bool(where) or bool(there)  # one group: cut off from everyone
        first, second = self.groups
        return (not first or a in first) and (not second or b in second)


@dataclass(slots=True, frozen=True)
class Way:
    """What happens to what goes one way; times in seconds."""

    cut: float = 0.0  # until when nothing passes; of a stream it goes on then, as what is sent again does
    drop: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    repeat: float = 0.0
    hold: float = 0.0  # until when it is held back, 0: it is not
    broken: bool = False


CLEAR = Way()


class Links:
    def __init__(self, faults: Iterable[LinkFault] = ()) -> None:
        self.faults = sorted(faults, key=lambda fault: (fault.start, fault.kind))

    def between(self, a: str, b: str, at: float) -> Way:
        faults = [fault for fault in self.faults if fault.start <= at < fault.end and fault.meets(a, b)]
        if not faults:
            return CLEAR

        def most(kind: str) -> float:
            return max((fault.amount for fault in faults if fault.kind == kind), default=0.0)

        def total(kind: str) -> float:
            return sum(fault.amount / 1000 for fault in faults if fault.kind == kind)

        return Way(
            cut=max((f.end for f in faults if f.kind in ("cut", "one-way", "split")), default=0.0),
            drop=most("drop"), delay=total("delay"), jitter=total("jitter"), repeat=most("repeat"),
            hold=max((fault.end for fault in faults if fault.kind == "hold"), default=0.0),
            broken=any(fault.kind == "break" for fault in faults),
        )  # fmt: skip

    def held(self, a: str, b: str, at: float) -> float:
        """Seconds for which nothing passes between two nodes."""
        way = self.between(a, b, at)
        return max(way.delay, way.cut - at if way.cut else 0.0)

    def breaks(self, a: str, b: str) -> list[float]:
        """When what is open between them is reset."""
        return [fault.start for fault in self.faults if fault.kind == "break" and fault.meets(a, b)]
