"""The scripted condition of the network links between processes at a given time. No I/O.

`Links(faults).condition(a, b, at)` returns the condition of the link from `a` to `b`. These are names of
gateways, caches, parents (`hub-1`), the origin (`vault`) or the discovery service (`bulletin`); `at` is
seconds since the start of the run. Faults of one link combine: delays add up, and the largest share applies.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

KINDS = ("cut", "one-way", "split", "drop", "delay", "jitter", "repeat", "hold", "break")
# The kinds whose amount is a share from 0 to 1; that of delay and jitter is in milliseconds.
SHARE_KINDS = ("drop", "repeat")


@dataclass(slots=True, frozen=True)
class LinkFault:
    """One scripted fault of links.

    The `groups` of cut, split and break are separated from each other (a single group: from everyone); the
    groups of all other kinds are the senders and the receivers, where an empty group means everyone. `break`
    resets the open connections when it starts and prevents new ones until it ends.
    """

    kind: str
    start: float
    lasts: float
    groups: tuple[frozenset[str], ...]
    amount: float = 1.0

    @property
    def end(self) -> float:
        return self.start + self.lasts

    def applies_to(self, a: str, b: str) -> bool:
        """Returns whether the fault affects the link from `a` to `b`."""
        if self.kind in ("cut", "split", "break"):
            a_groups = [n for n, group in enumerate(self.groups) if a in group]
            b_groups = [n for n, group in enumerate(self.groups) if b in group]
            if self.kind == "split" or len(self.groups) > 1:
                return bool(a_groups and b_groups and a_groups != b_groups)
            return bool(a_groups) or bool(b_groups)  # a single group is cut off from everyone
        senders, receivers = self.groups
        return (not senders or a in senders) and (not receivers or b in receivers)


@dataclass(slots=True, frozen=True)
class LinkCondition:
    """The condition of a link in one direction; times in seconds, `drop` and `repeat` as shares."""

    cut: float = 0.0  # time until which nothing passes; a stream then continues, like after retransmission
    drop: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    repeat: float = 0.0
    hold: float = 0.0  # time until which messages are held back; 0: they are not
    reset: bool = False  # a `break` fault is active


CLEAR = LinkCondition()


class Links:
    """The links between all processes of a run, with their scripted faults."""

    def __init__(self, faults: Iterable[LinkFault] = ()) -> None:
        self.faults = sorted(faults, key=lambda fault: (fault.start, fault.kind))

    def condition(self, a: str, b: str, at: float) -> LinkCondition:
        faults = [fault for fault in self.faults if fault.start <= at < fault.end and fault.applies_to(a, b)]
        if not faults:
            return CLEAR

        def maximum(kind: str) -> float:
            return max((fault.amount for fault in faults if fault.kind == kind), default=0.0)

        def total(kind: str) -> float:
            return sum(fault.amount / 1000 for fault in faults if fault.kind == kind)

        return LinkCondition(
            cut=max((f.end for f in faults if f.kind in ("cut", "one-way", "split")), default=0.0),
            drop=maximum("drop"), delay=total("delay"), jitter=total("jitter"), repeat=maximum("repeat"),
            hold=max((fault.end for fault in faults if fault.kind == "hold"), default=0.0),
            reset=any(fault.kind == "break" for fault in faults),
        )  # fmt: skip

    def blocked_for(self, a: str, b: str, at: float) -> float:
        """Returns the seconds for which nothing passes from `a` to `b`, at least the delay of the link."""
        condition = self.condition(a, b, at)
        return max(condition.delay, condition.cut - at if condition.cut else 0.0)

    def reset_times(self, a: str, b: str) -> list[float]:
        """Returns the times at which the open connections between them are reset."""
        return [fault.start for fault in self.faults if fault.kind == "break" and fault.applies_to(a, b)]
