"""Zone states in a fleet: merging, one ramp for all gateways, damping of flaps, and spill under its limit."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from damsonstream.tiers.hierarchy import DEFAULT_RAMP_S, HUB, Node, Topology, Zone, topology_of
from damsonstream.tiers.spill import BURST_S, GOLDEN_RATIO, SpillPolicy
from damsonstream.tiers.zone_status import RAMP_STEPS, RANK, ZoneStatus, ZoneTracker, merge
from damsonstream.tiers.zones import HOLD_S, LOST, RETURNING, WELL

statuses = st.builds(
    ZoneStatus, st.just("north"), st.integers(0, 3), st.integers(0, 3), st.sampled_from(sorted(RANK)),
    st.integers(0, RAMP_STEPS), st.integers(0, 2),
)  # fmt: skip


class Merging(unittest.TestCase):
    @given(statuses, statuses, statuses)
    def test_merge_is_commutative_associative_and_idempotent(
        self, a: ZoneStatus, b: ZoneStatus, c: ZoneStatus
    ) -> None:
        self.assertEqual(merge(a, b), merge(b, a))
        self.assertEqual(merge(a, merge(b, c)), merge(merge(a, b), c))
        self.assertEqual(merge(a, a), a)

    def test_the_more_severe_state_wins_a_tie(self) -> None:
        lost, returning = ZoneStatus("north", 1, 2, LOST, 0), ZoneStatus("north", 1, 2, RETURNING, 3)
        self.assertEqual(merge(lost, returning), lost)
        self.assertEqual(merge(returning, ZoneStatus("north", 1, 2, RETURNING, 2)).progress, 2)


class Fleet:
    """Gateways that track one zone; messages are lost and delayed; a step is a quarter of a second."""

    def __init__(self, count: int, seed: int, lost: float = 0.0, late: float = 1.0) -> None:
        self.rng, self.lost, self.late, self.now = random.Random(seed), lost, late, 0.0
        self.trackers = [ZoneTracker.create(["north"], 0.0) for _ in range(count)]
        self.in_flight: list[tuple[float, int, ZoneStatus]] = []
        self.partitioned: Callable[[int, int], bool] = lambda a, b: False
        # whether the zone's hubs answer that gateway
        self.answers: Callable[[int], bool] = lambda index: True
        self.history: list[list[float]] = []

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 4)):
            self.now += 0.25
            for at, to, status in [message for message in self.in_flight if message[0] <= self.now]:
                self.in_flight.remove((at, to, status))
                self.trackers[to].receive(status, self.now)
            count = len(self.trackers)
            for me, tracker in enumerate(self.trackers):
                reachable = [n for n in range(count) if n != me and not self.partitioned(n, me)]
                agreeing = sum(not self.answers(n) for n in reachable)
                tracker.observe("north", not self.answers(me), agreeing, len(reachable) - agreeing, self.now)
                tracker.record_trial("north", self.answers(me), self.now)
                for status in tracker.advance(self.now, isolated=not reachable):
                    for to in reachable:
                        if self.rng.random() >= self.lost:
                            self.in_flight.append((self.now + self.rng.random() * self.late, to, status))
            self.history.append([tracker.home_share("north", self.now) for tracker in self.trackers])

    def states(self) -> set[str]:
        return {tracker.state("north", self.now) for tracker in self.trackers}


class FleetStates(unittest.TestCase):
    def test_a_lost_zone_returns_by_one_ramp_at_all_gateways(self) -> None:
        for seed, lost, late in ((1, 0.0, 0.3), (2, 0.3, 1.0), (3, 0.6, 5.0)):
            fleet = Fleet(9, seed, lost, late)
            fleet.run(3)
            fleet.answers = lambda index: False
            fleet.run(8)
            self.assertEqual(fleet.states(), {LOST})
            fleet.answers, began = (lambda index: True), fleet.now
            fleet.run(DEFAULT_RAMP_S + 20)
            self.assertEqual(fleet.states(), {WELL})
            for step, shares in enumerate(fleet.history[int(began * 4) :], 1):
                ramp = step / 4 / DEFAULT_RAMP_S + 1 / RAMP_STEPS
                self.assertLessEqual(max(shares), max(ramp, 0.05) + 1e-9)  # no gateway is ahead of the ramp
            self.assertLessEqual(max(tracker.changes for tracker in fleet.trackers), RAMP_STEPS + 3)

    def test_a_gateway_that_starts_during_a_return_joins_the_ramp(self) -> None:
        fleet = Fleet(6, 4)
        fleet.answers = lambda index: False
        fleet.run(6)
        fleet.answers = lambda index: True
        fleet.run(14)
        fleet.trackers[2] = ZoneTracker.create(["north"], fleet.now)
        fleet.run(3)
        shares = fleet.history[-1]
        self.assertLess(max(shares) - min(shares), 0.15)
        self.assertLess(max(shares), 1.0)

    def test_a_loss_that_only_some_gateways_see_stays_local(self) -> None:
        fleet = Fleet(8, 5)
        fleet.answers = lambda index: index >= 4
        fleet.run(10)
        states = [tracker.state("north", fleet.now) for tracker in fleet.trackers]
        self.assertEqual(states, ["Lost here"] * 4 + [WELL] * 4)
        self.assertEqual(max(tracker.views["north"].status.epoch for tracker in fleet.trackers), 0)

    def test_an_isolated_gateway_decides_nothing_for_others(self) -> None:
        fleet = Fleet(5, 6)
        fleet.partitioned = lambda a, b: 0 in (a, b)
        fleet.answers = lambda index: index != 0
        fleet.run(10)
        self.assertEqual(fleet.trackers[0].state("north", fleet.now, True), "Cut off")
        self.assertEqual({tracker.views["north"].status for tracker in fleet.trackers}, {ZoneStatus("north")})

    def test_a_false_status_affects_only_gateways_without_own_observations(self) -> None:
        """A gateway sends a false loss or a corrupt epoch; gateways that get answers reject it."""
        lost, corrupt = ZoneStatus("north", 1, 0, LOST, 0), ZoneStatus("north", 99, 0, LOST, 0)
        for false_status, adopted in ((corrupt, False), (lost, True)):
            answered, blind = ZoneTracker.create(["north"], 0.0), ZoneTracker.create(["north"], 0.0)
            answered.observe("north", False, 0, 0, 1.0, answered=True)
            self.assertFalse(answered.receive(false_status, 1.5))
            self.assertEqual(blind.receive(false_status, 1.5), adopted)
        returning = ZoneStatus("north", 1, 3, RETURNING, 4)
        self.assertFalse(answered.receive(returning, 9.0))  # nor is the return from that false loss adopted
        self.assertEqual(answered.home_share("north", 9.0), 1.0)
        new, old = ZoneTracker.create(["north"], 8.0), ZoneTracker.create(["north"], -500.0)
        for tracker in (new, old):
            tracker.observe("north", False, 0, 0, 9.0, answered=True)
        self.assertEqual((new.receive(returning, 9.0), old.receive(returning, 9.0)), (True, False))

    def test_a_gateway_isolated_during_a_return_does_not_advance(self) -> None:
        fleet = Fleet(5, 9)
        fleet.answers = lambda index: False
        fleet.run(6)
        fleet.answers = lambda index: True
        fleet.run(10)
        held = fleet.history[-1][0]
        fleet.partitioned = lambda a, b: 0 in (a, b)
        fleet.run(12)
        self.assertLessEqual(fleet.history[-1][0], held + 1 / RAMP_STEPS)
        self.assertGreater(fleet.history[-1][1], held + 0.4)
        fleet.partitioned = lambda a, b: False
        fleet.run(10)
        self.assertEqual(fleet.states(), {WELL})

    def test_a_partition_during_a_loss_heals(self) -> None:
        fleet = Fleet(8, 7)
        fleet.partitioned = lambda a, b: (a < 4) != (b < 4)
        fleet.answers = lambda index: index < 4
        fleet.run(8)
        self.assertEqual(fleet.trackers[7].views["north"].status.state, LOST)
        self.assertEqual(fleet.trackers[0].views["north"].status.state, WELL)
        fleet.answers, fleet.partitioned = (lambda index: True), (lambda a, b: False)
        fleet.run(DEFAULT_RAMP_S + 10)
        self.assertEqual(fleet.states(), {WELL})

    def test_flaps_are_damped_across_the_fleet(self) -> None:
        """A zone is lost every 14 s: each return begins later, and restarted gateways learn the flaps."""
        fleet = Fleet(5, 8)
        held = []
        for _ in range(3):
            fleet.answers = lambda index: False
            fleet.run(4)
            began = fleet.now
            fleet.answers = lambda index: True
            fleet.run(10)
            since = fleet.history[int(began * 4) :]
            held.append(next((n for n, shares in enumerate(since) if max(shares) > 0.01), 99) / 4)
            fleet.trackers[1] = ZoneTracker.create(["north"], fleet.now)  # restarts without state
            fleet.run(1)
        self.assertEqual(held, sorted(held))
        self.assertGreater(held[-1], held[0] + HOLD_S)
        self.assertEqual(fleet.trackers[1].views["north"].status.flaps, 2)


def three_zones() -> Topology:
    """Returns three zones; spill is limited to 20 fills per second into south and 10 into west."""
    zones = (Zone("north", ("south", "west"), 0.5, 0.8), Zone("south", ("north",), 0.4, 1.0),
             Zone("west", (), 0.2, 1.0))  # fmt: skip
    nodes = (Node("h1", HUB, "north", 100.0), Node("h2", HUB, "south", 50.0), Node("h3", HUB, "west", 50.0))
    return topology_of(1, nodes, zones)


class Spill(unittest.TestCase):
    def send_fill(
        self,
        policy: SpillPolicy,
        home: str,
        hash_point: float,
        home_share: Callable[[str], float],
        gateway_share: float,
        now: float,
    ) -> str | None:
        """Sends a fill to the nearest candidate zone, charges it and returns the zone."""
        zone = next(iter(policy.candidate_zones(home, hash_point, home_share, gateway_share, now)), None)
        if zone not in (None, home):
            policy.charge(home, zone)
        return zone

    def test_all_fills_stay_home_while_all_zones_are_healthy(self) -> None:
        policy = SpillPolicy(three_zones(), 0.5)
        targets = {
            self.send_fill(policy, "north", n / 100, lambda zone: 1.0, 0.1, n / 10) for n in range(100)
        }
        self.assertEqual((targets, sum(policy.spilled.values())), ({"north"}, 0))

    @given(st.integers(0, 99), st.lists(st.floats(0.01, 1.0), min_size=2, max_size=12))
    def test_the_spill_of_all_gateways_stays_under_the_limit_in_every_second(
        self, seed: int, weights: list[float]
    ) -> None:
        """Gateways with unequal shares that sum to 1, a lost zone, and far more demand than the limits."""
        rng, total = random.Random(seed), sum(weights)
        fleet = [
            (SpillPolicy(three_zones(), n * GOLDEN_RATIO % 1.0), w / total) for n, w in enumerate(weights)
        ]
        into: list[tuple[float, str]] = []
        lost = lambda zone: 0.0 if zone == "north" else 1.0  # noqa: E731
        for tick in range(800):
            now = 100.0 + tick / 200
            policy, gateway_share = rng.choice(fleet)
            for _ in range(4):
                if (
                    zone := self.send_fill(policy, "north", 0.7 * rng.random(), lost, gateway_share, now)
                ) is not None:
                    into.append((now, zone))
        for zone, limit in (("south", 20.0), ("west", 10.0)):
            times = [at for at, one in into if one == zone]
            # each gateway has saved at most a second of its share, or one fill where that is less
            most = limit + sum(max(1.0, limit * gateway_share * BURST_S) for _, gateway_share in fleet)
            for start in times:
                self.assertLessEqual(sum(start <= at < start + 1.0 for at in times), most + 1e-6)

    def test_small_shares_do_not_spend_their_saved_fills_at_the_same_time(self) -> None:
        """Two hundred gateways with a share of a tenth of a fill per second lose their zone at the same
        time."""
        fleet = [SpillPolicy(three_zones(), n * GOLDEN_RATIO % 1.0) for n in range(200)]
        lost = lambda zone: 0.0 if zone == "north" else 1.0  # noqa: E731
        sums = []
        for tick in range(40):
            targets = [
                self.send_fill(policy, "north", 0.1, lost, 1 / 200, 50.0 + tick / 4) for policy in fleet
            ]
            sums.append(targets.count("south"))
        most = max(sum(sums[n : n + 4]) for n in range(37))
        self.assertLessEqual(most, 22)
        self.assertGreaterEqual(sum(sums), 9.5 * 20)

    def test_failed_fills_reduce_the_spill_into_a_zone(self) -> None:
        policy = SpillPolicy(three_zones(), 0.0)
        lost = lambda zone: 0.0 if zone == "north" else 1.0  # noqa: E731
        counts = []
        for bad in (False, True):
            spilled = 0
            for tick in range(400):
                spilled += (
                    self.send_fill(policy, "north", 0.1, lost, 1.0, 20.0 * (1 + bad) + tick / 40) == "south"
                )
                if bad:
                    policy.buckets["south"].record_result(False)
            counts.append(spilled)
        self.assertGreater(counts[0], 150)
        self.assertLess(counts[1], 0.25 * counts[0])

    def test_unhealthy_zones_accept_no_spill_and_only_a_share_may_leave(self) -> None:
        policy = SpillPolicy(three_zones(), 0.99)
        home_share = {"north": 0.0, "south": 0.5, "west": 1.0}.__getitem__
        policy.candidate_zones("north", 0.5, home_share, 1.0, 0.0)
        self.assertEqual(policy.candidate_zones("north", 0.5, home_share, 1.0, 1.0), ["west"])
        self.assertEqual(policy.candidate_zones("south", 0.9, home_share, 1.0, 1.0), [])  # north is lost too
        # beyond the share that may leave
        self.assertEqual(policy.candidate_zones("north", 0.9, home_share, 1.0, 2.0), [])

    def test_zones_of_the_own_region_come_first(self) -> None:
        shape = three_zones()
        zones = (Zone("north", ("south", "west"), region="a"), Zone("south", region="b"),
                 Zone("west", region="a"))  # fmt: skip
        for zone in zones:
            shape = shape.with_zone(zone)
        self.assertEqual(SpillPolicy(shape, 0.0).spill_order("north"), ["west", "south"])
