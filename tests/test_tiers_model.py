"""The zone machine, every state that it can reach: explored with the real code in steps of time, checked in
CTL.

Each step some hubs of one zone fail or none does, and time goes on. States that differ only in how long ago
something was, beyond what any rule looks at, are one. The model checker (pyModelChecking) then proves over
the whole graph what tests of single histories can only sample; mutations of the machine show that it would
notice.
"""

from __future__ import annotations

import copy
import unittest
from unittest import mock

from pyModelChecking import Kripke
from pyModelChecking.CTL import modelcheck

from damsonstream.tiers import zones
from damsonstream.tiers.shape import Zone
from damsonstream.tiers.zones import LOST, RETURNING, TRIAL, WELL, Watch

STEP = 2.0  # seconds; hubs are asked often enough in each to be judged
# Small figures make a small graph, of 4,059 states: each rule still has its own length.
FIGURES = {
    "HOLD": 1.0,
    "HOLD_LONGEST": 3.0,
    "RAMP": 4.0,
    "SLOWER": 1.5,
    "SLOWEST": 2.0,
    "FORGET": 6.0,
    "DOUBT": 1.0,
}
NAMES = {"north": Zone("north", ("south",), 0.5, 0.8), "south": Zone("south", ("north",), 0.4, 1.0)}
HUBS = {"n1": "north", "n2": "north", "s1": "south"}
LONG = 8.0  # seconds beyond which no rule tells two times apart


def key(watch: Watch, now: float) -> tuple[object, ...]:
    """What the machine's future depends on."""
    told: list[object] = []
    for name, state in sorted(watch.states.items()):
        hubs = tuple((hub, state.hubs[hub].fails(now)) for hub in sorted(state.hubs))
        since, lost = (min(LONG, round(now - at, 1)) for at in (state.since, state.lost_at))
        told.append((name, state.name, since, min(state.flaps, 2), lost, min(state.good, zones.TRIES), hubs))
    return tuple(told)


def step(watch: Watch, now: float, dead: tuple[str, ...]) -> tuple[Watch, float]:
    watch = copy.deepcopy(watch)
    for part in range(4):
        at = now + STEP * (part + 1) / 4
        for hub in HUBS:
            for _ in range(2):
                watch.seen(hub, hub not in dead, at)
        for zone in NAMES:
            watch.look(zone, at)
    return watch, now + STEP


def explored(choices: tuple[tuple[str, ...], ...]) -> tuple[Kripke, dict[int, set[str]]]:
    """All reachable states, what leads where, and what holds in each."""
    start = Watch(NAMES, HUBS, 0.0)
    first = key(start, 0.0)
    number = {first: 0}
    todo = [(start, 0.0)]
    edges: list[tuple[int, int]] = []
    labels: dict[int, set[str]] = {0: label(start, 0.0)}
    while todo:
        watch, now = todo.pop()
        here = number[key(watch, now)]
        for dead in choices:
            following, then = step(watch, now, dead)
            there = key(following, then)
            if there not in number:
                number[there] = len(number)
                labels[number[there]] = label(following, then)
                todo.append((following, then))
            edges.append((here, number[there]))
    return Kripke(R=edges, L=labels), labels


def label(watch: Watch, now: float) -> set[str]:
    found = set()
    for zone, other in (("north", "south"), ("south", "north")):
        state, share = watch.states[zone], watch.share(zone, now)
        if state.name == WELL:
            found.add(f"{zone}_well")
        if state.name == WELL and share[zone] == 1:
            found.add(f"{zone}_whole")
        if share.get(other, 0.0) > NAMES[other].takes + 1e-9 or sum(share.values()) > 1 + 1e-9:
            found.add("over")
        if share.get(other, 0.0) > NAMES[zone].gives + 1e-9:
            found.add("over")
        if share.get(other, 0.0) and watch.states[other].name != WELL:
            found.add("into_trouble")
        if state.name == LOST and share[zone] > TRIAL:
            found.add("pushed")
        if (
            state.name == RETURNING
            and share[zone] > zones.FIRST + (1 - zones.FIRST) * (now - state.since) / zones.RAMP + 1e-9
        ):
            found.add("pushed")
    return found


class EveryState(unittest.TestCase):
    """Safety over all histories; liveness over those that end well."""

    def setUp(self) -> None:
        for name, value in FIGURES.items():
            patch = mock.patch.object(zones, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def wrong(self) -> list[str]:
        """What does not hold."""
        found = []
        graph, _ = explored(((), ("n1", "n2"), ("n1", "n2", "s1")))
        states = set(graph.states())
        for what, formula in (
            ("spill never exceeds its limits", "A G (not over)"),
            ("nothing spills into a zone that is not well", "A G (not into_trouble)"),
            ("a lost or returning zone is never asked for more than its share", "A G (not pushed)"),
            ("from every state there is a way back to the whole", "A G (E F (north_whole and south_whole))"),
        ):
            if modelcheck(graph, formula) != states:
                found.append(what)
        return found + self.lively()

    def lively(self) -> list[str]:
        """Whatever happened before, once all hubs stay well both zones are whole for good, on every way: the
        graph goes on from each state of the other one with good steps only."""
        start = Watch(NAMES, HUBS, 0.0)
        now, histories = 0.0, [start]
        for dead in (("n1", "n2"), (), ("n1", "n2", "s1"), (), ("n1", "n2"), ("n1",)):
            histories.append(step(histories[-1], now, dead)[0])
            now += STEP
        for place, watch in enumerate(histories):
            at = place * STEP
            for _ in range(60):
                watch, at = step(watch, at, ())
            if label(watch, at) != {"north_well", "north_whole", "south_well", "south_whole"}:
                return ["a zone that stays well is restored"]
        return []

    def test_every_reachable_state(self) -> None:
        self.assertEqual(self.wrong(), [])

    def test_mutations_are_noticed(self) -> None:
        def all_of_it(self: Watch, home: str, other: str, now: float) -> float:
            return 1.0

        def at_once(self: Watch, zone: str, now: float) -> float:
            return 1.0 if self.states[zone].name != LOST else TRIAL

        def never(self: Watch, zone: str, now: float) -> str:
            state = self.states[zone]
            if state.name == LOST:
                return ""
            return look(self, zone, now)

        def any_zone(self: Watch, home: str, now: float) -> dict[str, float]:
            carried = self.carries(home, now)
            prefers = self.states[home].zone.prefers
            return {
                home: carried,
                **{other: min(self.states[other].zone.takes, 1 - carried) for other in prefers},
            }

        look = Watch.look
        for name, mutation in (
            ("room", all_of_it),
            ("carries", at_once),
            ("look", never),
            ("share", any_zone),
        ):
            with mock.patch.object(Watch, name, mutation):
                self.assertNotEqual(self.wrong(), [], f"Watch.{name} mutated")


if __name__ == "__main__":
    unittest.main()
