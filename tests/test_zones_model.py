"""Model check of zone states in a fleet: three gateways and two zones, explored with the real code in time
steps.

Statuses are lost, delayed, duplicated and reordered, and one gateway dies and restarts with no state. Checked
over the whole graph: a returning zone is asked for no more than its ramp at any gateway, whatever was lost;
no gateway spills into a zone that it does not hold Well or Doubted; what one gateway alone sees is not sent;
the changes of one loss are bounded; and from every state both zones can return to full traffic once their
hubs stay healthy. Mutations of the modules show that the check detects faults.
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

from damsonstream.tiers import zone_status, zones
from damsonstream.tiers.hierarchy import HUB, Node, Zone, topology_of
from damsonstream.tiers.spill import SpillPolicy
from damsonstream.tiers.zone_status import ZoneStatus, ZoneTracker
from damsonstream.tiers.zones import RETURNING, WELL

ZONES = ("north", "south")
SHAPE = topology_of(
    1, (Node("n", HUB, "north", 10.0), Node("s", HUB, "south", 10.0)),
    (Zone("north", ("south",), ramp=4.0), Zone("south", ("north",), ramp=4.0)),
)  # fmt: skip
# Short times keep the graph small; every rule still has a time of its own. A return has two steps of 2 s.
SHORT_TIMES = {"RAMP_STEPS": 2, "HOLD_S": 2.0, "MAX_HOLD_S": 4.0, "FLAP_MEMORY_S": 8.0, "DOUBT_S": 1.0,
               "TRIALS_TO_RETURN": 1, "RESEND_S": 2.0, "ANSWER_MEMORY_S": 1.0}  # fmt: skip
TICK_S = 1.0
HORIZON_S = 10.0  # seconds beyond which no rule distinguishes two times
MAX_IN_FLIGHT = 2  # most statuses in flight at once
MAX_FAULTS = 2  # most periods of failure in one history
FAILURE_SETS: tuple[tuple[str, ...], ...] = ((), ("north",), ("south",), ("north", "south"), ("one",))


class Fleet:
    """Three gateways and the statuses in flight between them; one state of the model."""

    def __init__(self) -> None:
        self.now = 0.0
        self.trackers = [ZoneTracker.create({"north": 4.0, "south": 4.0}, -HORIZON_S) for _ in range(3)]
        self.in_flight: list[tuple[int, ZoneStatus]] = []
        self.failing: tuple[str, ...] = ()
        self.faults = self.restarts = 0
        self.reverted = False  # whether a received status ever replaced a later one
        # by zone and epoch: when the first gateway held the zone as returning
        self.returned_at: dict[tuple[str, int], float] = {}

    def state_key(self) -> tuple[object, ...]:
        def ago(at: float) -> float:
            return min(HORIZON_S, round(self.now - at, 1))

        held = [
            (b.status, ago(b.status_since), ago(b.well_since),
             ago(b.failing_since) if b.failing_since >= 0 else -1, min(b.good_trials, 1),
             ago(b.local_failure_at), ago(b.return_started_at), ago(b.answered_at),
             ago(b.last_failing_at), b.rejected_epoch, b.sent == b.status,
             ago(b.sent_at))
            for tracker in self.trackers for b in tracker.views.values()
        ]  # fmt: skip
        first = sorted((zone, epoch, ago(at)) for (zone, epoch), at in self.returned_at.items())
        in_flight = sorted((to, status.key, status.zone) for to, status in self.in_flight)
        return (
            tuple(held),
            tuple(first),
            tuple(in_flight),
            self.failing,
            self.faults,
            self.restarts,
            self.reverted,
        )

    def sees_failure(self, me: int, zone: str) -> bool:
        return zone in self.failing or ("one" in self.failing and me == 0 and zone == "north")

    def advance(self, failing: tuple[str, ...]) -> None:
        if failing != self.failing and failing:
            self.faults += 1
        self.failing = failing
        self.now += TICK_S
        for me, tracker in enumerate(self.trackers):
            for zone in ZONES:
                agreeing = sum(self.sees_failure(other, zone) for other in range(3) if other != me)
                bad = self.sees_failure(me, zone)
                tracker.observe(zone, bad, agreeing, 2 - agreeing, self.now, not bad)
                tracker.record_trial(zone, not bad, self.now)
            for status in tracker.advance(self.now):
                for to in range(3):
                    if to != me and len(self.in_flight) < MAX_IN_FLIGHT:
                        self.in_flight.append((to, status))
        self.note_returns()

    def note_returns(self) -> None:
        for tracker in self.trackers:
            for zone, view in tracker.views.items():
                if view.status.state == RETURNING:
                    self.returned_at.setdefault((zone, view.status.epoch), self.now)

    def deliver(self, number: int, keep: bool) -> None:
        to, status = self.in_flight[number]
        if not keep:
            del self.in_flight[number]
        view = self.trackers[to].views[status.zone]
        before = view.status.key
        self.trackers[to].receive(status, self.now)
        self.reverted |= view.status.key < before
        self.note_returns()

    def restart(self) -> None:
        self.restarts += 1
        self.trackers[1] = ZoneTracker.create({"north": 4.0, "south": 4.0}, self.now)

    def successors(self, failure_sets: tuple[tuple[str, ...], ...], calm: bool) -> list[Fleet]:
        """Returns the possible next states; `calm`: nothing fails any more and all statuses arrive."""
        found = []

        def after(change: Callable[[Fleet], None]) -> None:
            successor = copy.deepcopy(self)
            change(successor)
            found.append(successor)

        if calm:

            def settle(fleet: Fleet) -> None:
                while fleet.in_flight:
                    fleet.deliver(0, False)
                fleet.advance(())

            after(settle)
            return found
        for failing in failure_sets:
            if self.faults < MAX_FAULTS or failing in ((), self.failing):
                after(lambda fleet, failing=failing: fleet.advance(failing))  # type: ignore[misc]
        for number in range(len(self.in_flight)):
            after(lambda fleet, n=number: fleet.deliver(n, False))  # type: ignore[misc]
            after(lambda fleet, n=number: fleet.deliver(n, True))  # type: ignore[misc]
            after(lambda fleet, n=number: fleet.in_flight.pop(n))  # type: ignore[misc]
        if self.restarts < 1:
            after(Fleet.restart)
        return found

    def label(self) -> set[str]:
        found = {"reverted"} if self.reverted else set()
        for tracker in self.trackers:
            home_share = {zone: tracker.home_share(zone, self.now) for zone in ZONES}
            for zone, view in tracker.views.items():
                status = view.status
                if status.state == RETURNING:
                    since = self.now - self.returned_at[zone, status.epoch]
                    if status.progress > 1 + since / status.step_interval_s(view.ramp):
                        found.add("ahead")
                if status.state == WELL and status.epoch and (zone, status.epoch) in self.returned_at:
                    since = self.now - self.returned_at[zone, status.epoch]
                    if since < status.step_interval_s(view.ramp) - 1e-9:
                        found.add("ahead")
                if status.step > zone_status.RAMP_STEPS + 1 or status.epoch > MAX_FAULTS:
                    found.add("unbounded")
                if status.epoch:
                    found.add("sent")
                other = "south" if zone == "north" else "north"
                policy = SpillPolicy(SHAPE, 0.99)
                # the first call starts to fill the bucket
                policy.candidate_zones(zone, 0.999, home_share.__getitem__, 1.0, self.now)
                if other in policy.candidate_zones(
                    zone, 0.999, home_share.__getitem__, 1.0, self.now + 1
                ) and (tracker.state(other, self.now) not in (WELL, "Doubted")):
                    found.add("cascade")
                if home_share[zone] < 1:
                    found.add("degraded")
        return found


def explored(
    failure_sets: tuple[tuple[str, ...], ...], max_states: int
) -> tuple[Kripke, dict[int, set[str]]]:
    """Explores the states breadth first, so that all short histories are included.

    Once there are `max_states` states, the remaining ones continue without faults until they repeat."""
    start = Fleet()
    number = {start.state_key(): 0}
    labels = {0: start.label()}
    todo = deque([start])
    edges: list[tuple[int, int]] = []
    while todo:
        fleet = todo.popleft()
        here = number[fleet.state_key()]
        # beyond the bound every state still has a successor, the one without faults
        for following in fleet.successors(failure_sets, calm=len(number) >= max_states):
            state_key = following.state_key()
            if state_key not in number:
                number[state_key] = len(number)
                labels[number[state_key]] = following.label()
                todo.append(following)
            edges.append((here, number[state_key]))
    return Kripke(R=edges, L=labels), labels


class ReachableStates(unittest.TestCase):
    MAX_STATES = 2000  # then the remaining states continue without faults

    def setUp(self) -> None:
        patches = ExitStack()
        self.addCleanup(patches.close)
        for module in (zone_status, zones):
            for name, value in SHORT_TIMES.items():
                if hasattr(module, name):
                    patches.enter_context(mock.patch.object(module, name, value))

    def violations(self, max_states: int = MAX_STATES) -> list[str]:
        """Returns the properties that do not hold."""
        found = []
        graph, labels = explored(FAILURE_SETS, max_states)
        states = set(graph.states())
        for what, formula in (
            ("no gateway is ahead of the ramp of a return", "A G (not ahead)"),
            ("nothing spills into a zone that is not well", "A G (not cascade)"),
            ("a received status never replaces a later one", "A G (not reverted)"),
            ("a loss has a bounded number of changes", "A G (not unbounded)"),
            ("from every state both zones can return to full traffic", "A G (E F (not degraded))"),
        ):
            if modelcheck(graph, formula) != states:
                found.append(what)
        if not any("degraded" in found_labels for found_labels in labels.values()):
            found.append("no zone was ever lost")
        _, labels = explored(((), ("one",)), max_states // 8)
        if any("sent" in found_labels for found_labels in labels.values()):
            found.append("what one gateway alone sees is not sent")
        return found

    def test_properties_hold_for_three_gateways_and_two_zones(self) -> None:
        self.assertEqual(self.violations(), [])

    def test_mutations_are_detected(self) -> None:
        def at_once(self: ZoneTracker, view: Any, now: float) -> bool:
            return bool(view.failing_since < 0)

        def never(self: ZoneTracker, view: Any) -> bool:
            return False

        def one_is_enough(self: ZoneTracker, view: Any, now: float) -> bool:
            return True

        def last_wins(self: ZoneTracker, status: ZoneStatus, now: float) -> bool:
            self.adopt(self.views[status.zone], status, now)
            return True

        def into_any_zone(
            self: SpillPolicy, zone: str, home_share: Any, gateway_share: float, now: float
        ) -> bool:
            return self.buckets[zone].has_token(self.limit(zone) * gateway_share, now)

        def without_quorum(self: ZoneTracker, view: Any, now: float) -> bool:
            return bool(view.failing_since >= 0)

        for module, name, mutation in (
            (ZoneTracker, "step_due", at_once), (ZoneTracker, "recovered", never),
            (ZoneTracker, "quorum_sees_failure", one_is_enough), (ZoneTracker, "receive", last_wins),
            (SpillPolicy, "accepts", into_any_zone), (ZoneTracker, "failed_fleetwide", without_quorum),
        ):  # fmt: skip
            with mock.patch.object(module, name, mutation):
                self.assertNotEqual(self.violations(800), [], f"{name} mutated")


if __name__ == "__main__":
    unittest.main()
