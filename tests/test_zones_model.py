"""What three gateways believe of two zones, every state that they can reach: explored with the real code in
steps of time, while verdicts are lost, late, repeated and out of order, and a gateway dies and starts anew.

Proved over the whole graph: a zone in return is asked for no more than its ramp at any gateway, whatever was
lost; nobody lets anything spill into a zone that it does not hold Well; what one gateway alone sees is told
to nobody; the changes of one loss are bounded; and from every state both zones come back whole once their
hubs stay well. Mutations of the modules show that it would be noticed.
"""

from __future__ import annotations

import copy
import unittest
from collections import deque
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any
from unittest import mock

from pyModelChecking import Kripke
from pyModelChecking.CTL import modelcheck

from damsonstream.tiers import verdicts, zones
from damsonstream.tiers.near import Near
from damsonstream.tiers.shape import HUB, Node, Zone, shape_of
from damsonstream.tiers.verdicts import Verdict, Verdicts
from damsonstream.tiers.zones import RETURNING, WELL

ZONES = ("north", "south")
SHAPE = shape_of(
    1, (Node("n", HUB, "north", 10.0), Node("s", HUB, "south", 10.0)),
    (Zone("north", ("south",), ramp=4.0), Zone("south", ("north",), ramp=4.0)),
)  # fmt: skip
# Small figures make a small graph: each rule still has its own length. Two steps of a return, of 2 s each.
FIGURES = {"STEPS": 2, "HOLD": 2.0, "HOLD_LONGEST": 4.0, "FORGET": 8.0, "DOUBT": 1.0, "TRIES": 1,
           "AGAIN": 2.0, "ANSWERS": 1.0}  # fmt: skip
TICK = 1.0
LONG = 10.0  # seconds beyond which no rule tells two times apart
WAITING = 2  # verdicts on their way
FAULTS = 2  # periods of failure in one history
ENVIRONMENTS: tuple[tuple[str, ...], ...] = ((), ("north",), ("south",), ("north", "south"), ("one",))


class Fleet:
    def __init__(self) -> None:
        self.now = 0.0
        self.ones = [Verdicts.of({"north": 4.0, "south": 4.0}, -LONG) for _ in range(3)]
        self.waiting: list[tuple[int, Verdict]] = []
        self.failing: tuple[str, ...] = ()
        self.faults = self.deaths = 0
        self.back = False  # whether a word ever made anyone believe what is older
        self.returned_at: dict[tuple[str, int], float] = {}  # when the first held an epoch's first step

    def key(self) -> tuple[object, ...]:
        def ago(at: float) -> float:
            return min(LONG, round(self.now - at, 1))

        told = [
            (b.verdict, ago(b.since), ago(b.well_since), ago(b.failing_since) if b.failing_since >= 0 else -1,
             min(b.good, 1), ago(b.bad_at), ago(b.back_at), ago(b.answered_at),
             ago(b.failing_at), b.disbelieved, b.told == b.verdict,
             ago(b.told_at))
            for one in self.ones for b in one.beliefs.values()
        ]  # fmt: skip
        first = sorted((zone, epoch, ago(at)) for (zone, epoch), at in self.returned_at.items())
        waiting = sorted((to, verdict.key, verdict.zone) for to, verdict in self.waiting)
        return tuple(told), tuple(first), tuple(waiting), self.failing, self.faults, self.deaths, self.back

    def sees(self, me: int, zone: str) -> bool:
        return zone in self.failing or ("one" in self.failing and me == 0 and zone == "north")

    def time(self, failing: tuple[str, ...]) -> None:
        if failing != self.failing and failing:
            self.faults += 1
        self.failing = failing
        self.now += TICK
        for me, one in enumerate(self.ones):
            for zone in ZONES:
                agree = sum(self.sees(other, zone) for other in range(3) if other != me)
                bad = self.sees(me, zone)
                one.sees(zone, bad, agree, 2 - agree, self.now, not bad)
                one.tried(zone, not bad, self.now)
            for verdict in one.look(self.now):
                for to in range(3):
                    if to != me and len(self.waiting) < WAITING:
                        self.waiting.append((to, verdict))
        self.entered()

    def entered(self) -> None:
        for one in self.ones:
            for zone, belief in one.beliefs.items():
                if belief.verdict.state == RETURNING:
                    self.returned_at.setdefault((zone, belief.verdict.epoch), self.now)

    def come(self, number: int, keep: bool) -> None:
        to, verdict = self.waiting[number]
        if not keep:
            del self.waiting[number]
        belief = self.ones[to].beliefs[verdict.zone]
        before = belief.verdict.key
        self.ones[to].heard(verdict, self.now)
        self.back |= belief.verdict.key < before
        self.entered()

    def die(self) -> None:
        self.deaths += 1
        self.ones[1] = Verdicts.of({"north": 4.0, "south": 4.0}, self.now)

    def nexts(self, environments: tuple[tuple[str, ...], ...], well: bool) -> list[Fleet]:
        """What may follow; `well`: from now on nothing fails any more, and words come."""
        found = []

        def after(change: Callable[[Fleet], None]) -> None:
            one = copy.deepcopy(self)
            change(one)
            found.append(one)

        if well:

            def on(fleet: Fleet) -> None:
                while fleet.waiting:
                    fleet.come(0, False)
                fleet.time(())

            after(on)
            return found
        for failing in environments:
            if self.faults < FAULTS or failing in ((), self.failing):
                after(lambda fleet, failing=failing: fleet.time(failing))  # type: ignore[misc]
        for number in range(len(self.waiting)):
            after(lambda fleet, n=number: fleet.come(n, False))  # type: ignore[misc]
            after(lambda fleet, n=number: fleet.come(n, True))  # type: ignore[misc]
            after(lambda fleet, n=number: fleet.waiting.pop(n))  # type: ignore[misc]
        if self.deaths < 1:
            after(Fleet.die)
        return found

    def label(self) -> set[str]:
        found = {"back"} if self.back else set()
        for one in self.ones:
            carries = {zone: one.carries(zone, self.now) for zone in ZONES}
            for zone, belief in one.beliefs.items():
                verdict = belief.verdict
                if verdict.state == RETURNING:
                    since = self.now - self.returned_at[zone, verdict.epoch]
                    if verdict.progress > 1 + since / verdict.pace(belief.ramp):
                        found.add("ahead")
                if verdict.state == WELL and verdict.epoch and (zone, verdict.epoch) in self.returned_at:
                    since = self.now - self.returned_at[zone, verdict.epoch]
                    if since < verdict.pace(belief.ramp) - 1e-9:
                        found.add("ahead")
                if verdict.step > verdicts.STEPS + 1 or verdict.epoch > FAULTS:
                    found.add("unbounded")
                if verdict.epoch:
                    found.add("told")
                other = "south" if zone == "north" else "north"
                near = Near(SHAPE, 0.99)
                near.ways(zone, 0.999, carries.__getitem__, 1.0, self.now)  # begins to save
                if other in near.ways(zone, 0.999, carries.__getitem__, 1.0, self.now + 1) and (
                    one.state(other, self.now) not in (WELL, "Doubted")
                ):
                    found.add("cascade")
                if carries[zone] < 1:
                    found.add("apart")
        return found


def explored(environments: tuple[tuple[str, ...], ...], most: int) -> tuple[Kripke, dict[int, set[str]]]:
    """Breadth first, so that all short histories are in it; once there are `most` states each of the rest
    goes on calmly, to where it stays."""
    start = Fleet()
    number = {start.key(): 0}
    labels = {0: start.label()}
    todo = deque([start])
    edges: list[tuple[int, int]] = []
    while todo:
        fleet = todo.popleft()
        here = number[fleet.key()]
        # beyond the bound histories end well: each state is still left, by the steps of a calm fleet
        for following in fleet.nexts(environments, well=len(number) >= most):
            key = following.key()
            if key not in number:
                number[key] = len(number)
                labels[number[key]] = following.label()
                todo.append(following)
            edges.append((here, number[key]))
    return Kripke(R=edges, L=labels), labels


class EveryState(unittest.TestCase):
    MOST = 2000

    def setUp(self) -> None:
        patches = ExitStack()
        self.addCleanup(patches.close)
        for module in (verdicts, zones):
            for name, value in FIGURES.items():
                if hasattr(module, name):
                    patches.enter_context(mock.patch.object(module, name, value))

    def wrong(self, most: int = MOST) -> list[str]:
        """What does not hold."""
        found = []
        graph, labels = explored(ENVIRONMENTS, most)
        states = set(graph.states())
        for what, formula in (
            ("a return is nowhere ahead of its ramp", "A G (not ahead)"),
            ("nothing spills into a zone that is not well", "A G (not cascade)"),
            ("a word never brings back what is older", "A G (not back)"),
            ("a loss changes a bounded number of times", "A G (not unbounded)"),
            ("from every state both zones come back whole", "A G (E F (not apart))"),
        ):
            if modelcheck(graph, formula) != states:
                found.append(what)
        if not any("apart" in told for told in labels.values()):
            found.append("no zone was ever given up")
        _, labels = explored(((), ("one",)), most // 8)
        if any("told" in told for told in labels.values()):
            found.append("what one alone sees is told to nobody")
        return found

    def test_three_gateways_and_two_zones(self) -> None:
        self.assertEqual(self.wrong(), [])

    def test_mutations_are_noticed(self) -> None:
        def at_once(self: Verdicts, belief: Any, now: float) -> bool:
            return bool(belief.failing_since < 0)

        def never(self: Verdicts, belief: Any) -> bool:
            return False

        def one_is_enough(self: Verdicts, belief: Any, now: float) -> bool:
            return True

        def last_wins(self: Verdicts, verdict: Verdict, now: float) -> bool:
            self.hold(self.beliefs[verdict.zone], verdict, now)
            return True

        def into_any(self: Near, zone: str, carries: Any, part: float, now: float) -> bool:
            return self.budgets[zone].has(self.limit(zone) * part, now)

        def again(self: Verdicts, belief: Any, now: float) -> bool:
            return bool(belief.failing_since >= 0)

        for module, name, mutation in (
            (Verdicts, "due", at_once), (Verdicts, "proved", never), (Verdicts, "enough", one_is_enough),
            (Verdicts, "heard", last_wins), (Near, "takes", into_any), (Verdicts, "fails_for_all", again),
        ):  # fmt: skip
            with mock.patch.object(module, name, mutation):
                self.assertNotEqual(self.wrong(800), [], f"{name} mutated")


if __name__ == "__main__":
    unittest.main()
