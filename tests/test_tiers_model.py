"""Model check of the zone monitor: explores every reachable state with the real code and checks it in CTL.

In each time step the hubs of one or two zones fail, or none do. States that differ only in how long ago
something happened, beyond what any rule looks at, are merged. The model checker (pyModelChecking) then proves
properties over the whole graph that tests of single histories can only sample; mutations of the monitor show
that it detects faults.
"""

from __future__ import annotations

import copy
import unittest
from unittest import mock

from pyModelChecking import Kripke
from pyModelChecking.CTL import modelcheck

from damsonstream.tiers import zones
from damsonstream.tiers.hierarchy import Zone
from damsonstream.tiers.zones import LOST, RETURNING, TRIAL_SHARE, WELL, ZoneMonitor

STEP_S = 2.0  # seconds; each step has enough forwards to judge every hub
# Short times keep the graph small (4,059 states); every rule still has a time of its own.
SHORT_TIMES = {
    "HOLD_S": 1.0,
    "MAX_HOLD_S": 3.0,
    "DEFAULT_RAMP_S": 4.0,
    "RAMP_BACKOFF": 1.5,
    "MAX_RAMP_FACTOR": 2.0,
    "FLAP_MEMORY_S": 6.0,
    "DOUBT_S": 1.0,
}
ZONES = {"north": Zone("north", ("south",), 0.5, 0.8), "south": Zone("south", ("north",), 0.4, 1.0)}
HUBS = {"n1": "north", "n2": "north", "s1": "south"}
HORIZON_S = 8.0  # seconds beyond which no rule distinguishes two times


def state_key(monitor: ZoneMonitor, now: float) -> tuple[object, ...]:
    """Returns all that the future of the monitor depends on."""
    parts: list[object] = []
    for name, monitored in sorted(monitor.zones.items()):
        hubs = tuple((hub, monitored.hubs[hub].failing(now)) for hub in sorted(monitored.hubs))
        since, lost = (min(HORIZON_S, round(now - at, 1)) for at in (monitored.since, monitored.lost_at))
        parts.append(
            (
                name,
                monitored.state,
                since,
                min(monitored.flaps, 2),
                lost,
                min(monitored.good_trials, zones.TRIALS_TO_RETURN),
                hubs,
            )
        )
    return tuple(parts)


def step(monitor: ZoneMonitor, now: float, dead: tuple[str, ...]) -> tuple[ZoneMonitor, float]:
    monitor = copy.deepcopy(monitor)
    for quarter in range(4):
        at = now + STEP_S * (quarter + 1) / 4
        for hub in HUBS:
            for _ in range(2):
                monitor.record(hub, hub not in dead, at)
        for zone in ZONES:
            monitor.advance(zone, at)
    return monitor, now + STEP_S


def explored(choices: tuple[tuple[str, ...], ...]) -> tuple[Kripke, dict[int, set[str]]]:
    """Returns the graph of all reachable states, and the labels that hold in each."""
    start = ZoneMonitor(ZONES, HUBS, 0.0)
    first = state_key(start, 0.0)
    number = {first: 0}
    todo = [(start, 0.0)]
    edges: list[tuple[int, int]] = []
    labels: dict[int, set[str]] = {0: label(start, 0.0)}
    while todo:
        monitor, now = todo.pop()
        here = number[state_key(monitor, now)]
        for dead in choices:
            following, then = step(monitor, now, dead)
            there = state_key(following, then)
            if there not in number:
                number[there] = len(number)
                labels[number[there]] = label(following, then)
                todo.append((following, then))
            edges.append((here, number[there]))
    return Kripke(R=edges, L=labels), labels


def label(monitor: ZoneMonitor, now: float) -> set[str]:
    found = set()
    for zone, other in (("north", "south"), ("south", "north")):
        monitored, share = monitor.zones[zone], monitor.traffic_split(zone, now)
        if monitored.state == WELL:
            found.add(f"{zone}_well")
        if monitored.state == WELL and share[zone] == 1:
            found.add(f"{zone}_full")
        if share.get(other, 0.0) > ZONES[other].takes + 1e-9 or sum(share.values()) > 1 + 1e-9:
            found.add("over_limit")
        if share.get(other, 0.0) > ZONES[zone].gives + 1e-9:
            found.add("over_limit")
        if share.get(other, 0.0) and monitor.zones[other].state != WELL:
            found.add("into_unhealthy")
        if monitored.state == LOST and share[zone] > TRIAL_SHARE:
            found.add("too_fast")
        if (
            monitored.state == RETURNING
            and share[zone]
            > zones.FIRST_SHARE
            + (1 - zones.FIRST_SHARE) * (now - monitored.since) / zones.DEFAULT_RAMP_S
            + 1e-9
        ):
            found.add("too_fast")
    return found


class ReachableStates(unittest.TestCase):
    """Safety over all histories; liveness over those whose hubs stay healthy at the end."""

    def setUp(self) -> None:
        for name, value in SHORT_TIMES.items():
            patch = mock.patch.object(zones, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def violations(self) -> list[str]:
        """Returns the properties that do not hold."""
        found = []
        graph, _ = explored(((), ("n1", "n2"), ("n1", "n2", "s1")))
        states = set(graph.states())
        for what, formula in (
            ("spill never exceeds its limits", "A G (not over_limit)"),
            ("nothing spills into a zone that is not well", "A G (not into_unhealthy)"),
            ("a lost or returning zone is never asked for more than its share", "A G (not too_fast)"),
            (
                "from every state both zones can return to full traffic",
                "A G (E F (north_full and south_full))",
            ),
        ):
            if modelcheck(graph, formula) != states:
                found.append(what)
        return found + self.liveness_violations()

    def liveness_violations(self) -> list[str]:
        """Checks that after any prefix of a sample history both zones return to full traffic once all hubs
        stay healthy."""
        start = ZoneMonitor(ZONES, HUBS, 0.0)
        now, histories = 0.0, [start]
        for dead in (("n1", "n2"), (), ("n1", "n2", "s1"), (), ("n1", "n2"), ("n1",)):
            histories.append(step(histories[-1], now, dead)[0])
            now += STEP_S
        for index, monitor in enumerate(histories):
            at = index * STEP_S
            for _ in range(60):
                monitor, at = step(monitor, at, ())
            if label(monitor, at) != {"north_well", "north_full", "south_well", "south_full"}:
                return ["a zone that stays healthy returns to full traffic"]
        return []

    def test_properties_hold_in_every_reachable_state(self) -> None:
        self.assertEqual(self.violations(), [])

    def test_mutations_are_detected(self) -> None:
        def no_limit(self: ZoneMonitor, home: str, other: str, now: float) -> float:
            return 1.0

        def full_return_at_once(self: ZoneMonitor, zone: str, now: float) -> float:
            return 1.0 if self.zones[zone].state != LOST else TRIAL_SHARE

        def never_returns(self: ZoneMonitor, zone: str, now: float) -> str:
            monitored = self.zones[zone]
            if monitored.state == LOST:
                return ""
            return advance(self, zone, now)

        def any_state(self: ZoneMonitor, home: str, now: float) -> dict[str, float]:
            carried = self.home_share(home, now)
            prefers = self.zones[home].zone.prefers
            return {
                home: carried,
                **{other: min(self.zones[other].zone.takes, 1 - carried) for other in prefers},
            }

        advance = ZoneMonitor.advance
        for name, mutation in (
            ("spill_share", no_limit),
            ("home_share", full_return_at_once),
            ("advance", never_returns),
            ("traffic_split", any_state),
        ):
            with mock.patch.object(ZoneMonitor, name, mutation):
                self.assertNotEqual(self.violations(), [], f"ZoneMonitor.{name} mutated")


if __name__ == "__main__":
    unittest.main()
