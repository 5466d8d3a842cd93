"""What goes wrong with stand-ins, when and for how long. No I/O.

How it is called: `Plan(faults)` is asked `condition(node, at)`; times are seconds since the play began.
Faults on one node add up: delays are summed, of shares the largest holds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

KINDS = ("slow", "hang", "fail", "shed", "crash", "reset")


@dataclass(slots=True, frozen=True)
class Fault:
    """`amount`: milliseconds for slow, a share for fail, shed and hang; else it has none."""

    node: str
    kind: str
    start: float
    lasts: float
    amount: float = 1.0

    def __post_init__(self) -> None:
        if self.kind not in KINDS:
            raise ValueError(f"{self.kind} is no kind of fault")

    @property
    def end(self) -> float:
        return self.start + self.lasts


@dataclass(slots=True, frozen=True)
class Condition:
    """How a node is at one time."""

    delay: float = 0.0  # seconds, before the first byte
    hang: float = 0.0  # share that is never answered
    fail: float = 0.0  # share that is errored
    shed: float = 0.0  # share that is turned away
    down: bool = False


WELL = Condition()


class Plan:
    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        self.faults = sorted(faults, key=lambda fault: (fault.start, fault.node, fault.kind))
        self.by_node: dict[str, list[Fault]] = {}
        for fault in self.faults:
            self.by_node.setdefault(fault.node, []).append(fault)

    def condition(self, node: str, at: float) -> Condition:
        faults = [fault for fault in self.by_node.get(node, ()) if fault.start <= at < fault.end]
        if not faults:
            return WELL

        def most(kind: str) -> float:
            return max((fault.amount for fault in faults if fault.kind == kind), default=0.0)

        delay = sum(fault.amount / 1000 for fault in faults if fault.kind == "slow")
        down = any(fault.kind == "crash" for fault in faults)
        return Condition(delay, most("hang"), most("fail"), most("shed"), down)

    def edges(self, kind: str) -> list[tuple[float, Fault, bool]]:
        """Beginnings and ends of the faults of a kind, in order: when, which, whether it begins."""
        found = [
            (when, fault, begins)
            for fault in self.faults
            if fault.kind == kind
            for when, begins in ((fault.start, True), (fault.end, False))
        ]
        return sorted(found, key=lambda edge: (edge[0], edge[2], edge[1].node))
