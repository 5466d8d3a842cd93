"""The scripted faults of stand-ins. No I/O.

`FaultPlan(faults).condition(node, at)` returns the condition of a node; times are seconds since the start of
the run. Faults of one node combine: delays add up, and of each share the largest applies.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

KINDS = ("slow", "hang", "fail", "shed", "crash", "reset")


@dataclass(slots=True, frozen=True)
class Fault:
    """`amount`: milliseconds for slow, a share of GETs for fail, shed and hang; unused by crash and reset."""

    node: str
    kind: str
    start: float
    lasts: float
    amount: float = 1.0

    def __post_init__(self) -> None:
        if self.kind not in KINDS:
            raise ValueError(f"{self.kind} is not a kind of fault")

    @property
    def end(self) -> float:
        return self.start + self.lasts


@dataclass(slots=True, frozen=True)
class Condition:
    """The condition of a node at one time."""

    delay: float = 0.0  # seconds, before the first byte
    hang: float = 0.0  # share of GETs and fills that is never answered
    fail: float = 0.0  # share that is errored
    shed: float = 0.0  # share that is shed
    down: bool = False


HEALTHY = Condition()


class FaultPlan:
    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        self.faults = sorted(faults, key=lambda fault: (fault.start, fault.node, fault.kind))
        self.by_node: dict[str, list[Fault]] = {}
        for fault in self.faults:
            self.by_node.setdefault(fault.node, []).append(fault)

    def condition(self, node: str, at: float) -> Condition:
        faults = [fault for fault in self.by_node.get(node, ()) if fault.start <= at < fault.end]
        if not faults:
            return HEALTHY

        def maximum(kind: str) -> float:
            return max((fault.amount for fault in faults if fault.kind == kind), default=0.0)

        delay = sum(fault.amount / 1000 for fault in faults if fault.kind == "slow")
        down = any(fault.kind == "crash" for fault in faults)
        return Condition(delay, maximum("hang"), maximum("fail"), maximum("shed"), down)

    def edges(self, kind: str) -> list[tuple[float, Fault, bool]]:
        """Returns the starts and ends of the faults of a kind in order: time, fault, whether it starts."""
        found = [
            (when, fault, begins)
            for fault in self.faults
            if fault.kind == kind
            for when, begins in ((fault.start, True), (fault.end, False))
        ]
        return sorted(found, key=lambda edge: (edge[0], edge[2], edge[1].node))
