"""Zones decided in common: merging, one ramp for the fleet, damping, and spill under its limit."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from damsonstream.tiers.near import GOLDEN, SPAN, Near
from damsonstream.tiers.shape import HUB, RAMP, Node, Shape, Zone, shape_of
from damsonstream.tiers.verdicts import CARE, STEPS, Verdict, Verdicts, merged
from damsonstream.tiers.zones import HOLD, LOST, RETURNING, WELL

verdicts = st.builds(
    Verdict, st.just("north"), st.integers(0, 3), st.integers(0, 3), st.sampled_from(sorted(CARE)),
    st.integers(0, STEPS), st.integers(0, 2),
)  # fmt: skip


class Merging(unittest.TestCase):
    @given(verdicts, verdicts, verdicts)
    def test_order_loss_and_repeats_do_not_matter(self, a: Verdict, b: Verdict, c: Verdict) -> None:
        self.assertEqual(merged(a, b), merged(b, a))
        self.assertEqual(merged(a, merged(b, c)), merged(merged(a, b), c))
        self.assertEqual(merged(a, a), a)

    def test_the_more_careful_wins_a_tie(self) -> None:
        lost, back = Verdict("north", 1, 2, LOST, 0), Verdict("north", 1, 2, RETURNING, 3)
        self.assertEqual(merged(lost, back), lost)
        self.assertEqual(merged(back, Verdict("north", 1, 2, RETURNING, 2)).progress, 2)


class Fleet:
    """Gateways that see one zone, words that are lost and late; a quarter of a second a step."""

    def __init__(self, count: int, seed: int, lost: float = 0.0, late: float = 1.0) -> None:
        self.chance, self.lost, self.late, self.now = random.Random(seed), lost, late, 0.0
        self.ones = [Verdicts.of(["north"], 0.0) for _ in range(count)]
        self.words: list[tuple[float, int, Verdict]] = []
        self.apart: Callable[[int, int], bool] = lambda a, b: False
        self.sees: Callable[[int], bool] = lambda place: True  # whether its hubs answer that gateway
        self.history: list[list[float]] = []

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 4)):
            self.now += 0.25
            for at, to, verdict in [word for word in self.words if word[0] <= self.now]:
                self.words.remove((at, to, verdict))
                self.ones[to].heard(verdict, self.now)
            count = len(self.ones)
            for me, one in enumerate(self.ones):
                heard = [n for n in range(count) if n != me and not self.apart(n, me)]
                agree = sum(not self.sees(n) for n in heard)
                one.sees("north", not self.sees(me), agree, len(heard) - agree, self.now)
                one.tried("north", self.sees(me), self.now)
                for verdict in one.look(self.now, cut_off=not heard):
                    for to in heard:
                        if self.chance.random() >= self.lost:
                            self.words.append((self.now + self.chance.random() * self.late, to, verdict))
            self.history.append([one.carries("north", self.now) for one in self.ones])

    def states(self) -> set[str]:
        return {one.state("north", self.now) for one in self.ones}


class InCommon(unittest.TestCase):
    def test_lost_and_back_whole_by_one_ramp(self) -> None:
        for seed, lost, late in ((1, 0.0, 0.3), (2, 0.3, 1.0), (3, 0.6, 5.0)):
            fleet = Fleet(9, seed, lost, late)
            fleet.run(3)
            fleet.sees = lambda place: False
            fleet.run(8)
            self.assertEqual(fleet.states(), {LOST})
            fleet.sees, began = (lambda place: True), fleet.now
            fleet.run(RAMP + 20)
            self.assertEqual(fleet.states(), {WELL})
            for turn, shares in enumerate(fleet.history[int(began * 4) :], 1):
                ramp = turn / 4 / RAMP + 1 / STEPS
                self.assertLessEqual(max(shares), max(ramp, 0.05) + 1e-9)  # nobody is ahead of it
            self.assertLessEqual(max(one.changes for one in fleet.ones), STEPS + 3)

    def test_one_that_starts_in_the_middle_takes_up_the_ramp(self) -> None:
        fleet = Fleet(6, 4)
        fleet.sees = lambda place: False
        fleet.run(6)
        fleet.sees = lambda place: True
        fleet.run(14)
        fleet.ones[2] = Verdicts.of(["north"], fleet.now)
        fleet.run(3)
        shares = fleet.history[-1]
        self.assertLess(max(shares) - min(shares), 0.15)
        self.assertLess(max(shares), 1.0)

    def test_lost_for_some_is_theirs_alone(self) -> None:
        fleet = Fleet(8, 5)
        fleet.sees = lambda place: place >= 4
        fleet.run(10)
        told = [one.state("north", fleet.now) for one in fleet.ones]
        self.assertEqual(told, ["Lost here"] * 4 + [WELL] * 4)
        self.assertEqual(max(one.beliefs["north"].verdict.epoch for one in fleet.ones), 0)

    def test_cut_off_one_decides_nothing_for_others(self) -> None:
        fleet = Fleet(5, 6)
        fleet.apart = lambda a, b: 0 in (a, b)
        fleet.sees = lambda place: place != 0
        fleet.run(10)
        self.assertEqual(fleet.ones[0].state("north", fleet.now, True), "Cut off")
        self.assertEqual({one.beliefs["north"].verdict for one in fleet.ones}, {Verdict("north")})

    def test_a_lie_moves_only_those_that_see_nothing_of_the_zone(self) -> None:
        """One gateway tells that a zone is lost, and another nonsense; those that are answered go on."""
        lost, nonsense = Verdict("north", 1, 0, LOST, 0), Verdict("north", 99, 0, LOST, 0)
        for lie, moved in ((nonsense, False), (lost, True)):
            answered, blind = Verdicts.of(["north"], 0.0), Verdicts.of(["north"], 0.0)
            answered.sees("north", False, 0, 0, 1.0, answered=True)
            self.assertFalse(answered.heard(lie, 1.5))
            self.assertEqual(blind.heard(lie, 1.5), moved)
        back = Verdict("north", 1, 3, RETURNING, 4)
        self.assertFalse(answered.heard(back, 9.0))  # nor is the return from a loss that was none
        self.assertEqual(answered.carries("north", 9.0), 1.0)
        fresh, old = Verdicts.of(["north"], 8.0), Verdicts.of(["north"], -500.0)
        for one in (fresh, old):
            one.sees("north", False, 0, 0, 9.0, answered=True)
        self.assertEqual((fresh.heard(back, 9.0), old.heard(back, 9.0)), (True, False))

    def test_cut_off_in_the_middle_of_a_return_waits(self) -> None:
        fleet = Fleet(5, 9)
        fleet.sees = lambda place: False
        fleet.run(6)
        fleet.sees = lambda place: True
        fleet.run(10)
        held = fleet.history[-1][0]
        fleet.apart = lambda a, b: 0 in (a, b)
        fleet.run(12)
        self.assertLessEqual(fleet.history[-1][0], held + 1 / STEPS)
        self.assertGreater(fleet.history[-1][1], held + 0.4)
        fleet.apart = lambda a, b: False
        fleet.run(10)
        self.assertEqual(fleet.states(), {WELL})

    def test_a_split_during_a_loss_heals(self) -> None:
        fleet = Fleet(8, 7)
        fleet.apart = lambda a, b: (a < 4) != (b < 4)
        fleet.sees = lambda place: place < 4
        fleet.run(8)
        self.assertEqual(fleet.ones[7].beliefs["north"].verdict.state, LOST)
        self.assertEqual(fleet.ones[0].beliefs["north"].verdict.state, WELL)
        fleet.sees, fleet.apart = (lambda place: True), (lambda a, b: False)
        fleet.run(RAMP + 10)
        self.assertEqual(fleet.states(), {WELL})

    def test_flaps_are_damped_in_common(self) -> None:
        """A zone that is lost every 14 s: each return begins later; one that saw no flap itself knows."""
        fleet = Fleet(5, 8)
        held = []
        for _ in range(3):
            fleet.sees = lambda place: False
            fleet.run(4)
            began = fleet.now
            fleet.sees = lambda place: True
            fleet.run(10)
            since = fleet.history[int(began * 4) :]
            held.append(next((n for n, shares in enumerate(since) if max(shares) > 0.01), 99) / 4)
            fleet.ones[1] = Verdicts.of(["north"], fleet.now)  # it has seen none of it
            fleet.run(1)
        self.assertEqual(held, sorted(held))
        self.assertGreater(held[-1], held[0] + HOLD)
        self.assertEqual(fleet.ones[1].beliefs["north"].verdict.flaps, 2)


def spilling() -> Shape:
    """Three zones; what spills is bounded to 20 a second into south, and to 10 into west."""
    zones = (Zone("north", ("south", "west"), 0.5, 0.8), Zone("south", ("north",), 0.4, 1.0),
             Zone("west", (), 0.2, 1.0))  # fmt: skip
    nodes = (Node("h1", HUB, "north", 100.0), Node("h2", HUB, "south", 50.0), Node("h3", HUB, "west", 50.0))
    return shape_of(1, nodes, zones)


class Spill(unittest.TestCase):
    def goes(
        self, near: Near, home: str, place: float, carries: Callable[[str], float], part: float, now: float
    ) -> str | None:
        """Where a fill goes that takes the nearest way, and pays for it."""
        zone = next(iter(near.ways(home, place, carries, part, now)), None)
        if zone not in (None, home):
            near.spend(home, zone)
        return zone

    def test_all_stays_near_while_all_is_well(self) -> None:
        near = Near(spilling(), 0.5)
        went = {self.goes(near, "north", n / 100, lambda zone: 1.0, 0.1, n / 10) for n in range(100)}
        self.assertEqual((went, sum(near.spilt.values())), ({"north"}, 0))

    @given(st.integers(0, 99), st.lists(st.floats(0.01, 1.0), min_size=2, max_size=12))
    def test_the_sum_is_under_the_limit_in_each_span(self, seed: int, weights: list[float]) -> None:
        """Unequal parts that are 1 together, a lost zone, and far more asked than there is room for."""
        chance, total = random.Random(seed), sum(weights)
        fleet = [(Near(spilling(), n * GOLDEN % 1.0), w / total) for n, w in enumerate(weights)]
        into: list[tuple[float, str]] = []
        lost = lambda zone: 0.0 if zone == "north" else 1.0  # noqa: E731
        for tick in range(800):
            now = 100.0 + tick / 200
            near, part = chance.choice(fleet)
            for _ in range(4):
                if (zone := self.goes(near, "north", 0.7 * chance.random(), lost, part, now)) is not None:
                    into.append((now, zone))
        for zone, limit in (("south", 20.0), ("west", 10.0)):
            times = [at for at, one in into if one == zone]
            # each gateway has saved a second of its part at most, or one fill where that is less
            most = limit + sum(max(1.0, limit * part * SPAN) for _, part in fleet)
            for start in times:
                self.assertLessEqual(sum(start <= at < start + 1.0 for at in times), most + 1e-6)

    def test_small_parts_do_not_spend_what_they_saved_at_one_instant(self) -> None:
        """Two hundred gateways, a tenth of a fill a second each, all of which lose their zone at once."""
        fleet = [Near(spilling(), n * GOLDEN % 1.0) for n in range(200)]
        lost = lambda zone: 0.0 if zone == "north" else 1.0  # noqa: E731
        sums = []
        for tick in range(40):
            went = [self.goes(near, "north", 0.1, lost, 1 / 200, 50.0 + tick / 4) for near in fleet]
            sums.append(went.count("south"))
        most = max(sum(sums[n : n + 4]) for n in range(37))
        self.assertLessEqual(most, 22)
        self.assertGreaterEqual(sum(sums), 9.5 * 20)

    def test_a_zone_that_says_no_is_asked_for_less(self) -> None:
        near = Near(spilling(), 0.0)
        lost = lambda zone: 0.0 if zone == "north" else 1.0  # noqa: E731
        counts = []
        for bad in (False, True):
            went = 0
            for tick in range(400):
                went += self.goes(near, "north", 0.1, lost, 1.0, 20.0 * (1 + bad) + tick / 40) == "south"
                if bad:
                    near.budgets["south"].judge(False)
            counts.append(went)
        self.assertGreater(counts[0], 150)
        self.assertLess(counts[1], 0.25 * counts[0])

    def test_no_zone_in_trouble_takes_any_and_only_a_share_may_leave(self) -> None:
        near = Near(spilling(), 0.99)
        carries = {"north": 0.0, "south": 0.5, "west": 1.0}.__getitem__
        near.ways("north", 0.5, carries, 1.0, 0.0)
        self.assertEqual(near.ways("north", 0.5, carries, 1.0, 1.0), ["west"])
        self.assertEqual(near.ways("south", 0.9, carries, 1.0, 1.0), [])  # north is lost too
        self.assertEqual(near.ways("north", 0.9, carries, 1.0, 2.0), [])  # more than it gives

    def test_the_own_region_comes_first(self) -> None:
        shape = spilling()
        zones = (Zone("north", ("south", "west"), region="a"), Zone("south", region="b"),
                 Zone("west", region="a"))  # fmt: skip
        for zone in zones:
            shape = shape.with_zone(zone)
        self.assertEqual(Near(shape, 0.0).order("north"), ["west", "south"])
