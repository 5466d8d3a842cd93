"""Zones decided in common: merging, one ramp for the fleet, damping, and spill under its limit."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from damsonstream.tiers.near import SPAN, Near
from damsonstream.tiers.shape import Zone
from damsonstream.tiers.verdicts import CARE, STEPS, Verdict, Verdicts, merged
from damsonstream.tiers.zones import HOLD, LOST, RAMP, RETURNING, TRIES, WELL

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
                ramp = (turn / 4 - TRIES / 4 + 0.25) / RAMP + 1 / STEPS
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


ZONES = {
    "north": Zone("north", ("south", "west"), 0.5, 0.8),
    "south": Zone("south", ("north",), 0.4, 1.0),
    "west": Zone("west", (), 0.2, 1.0),
}


class Spill(unittest.TestCase):
    def near(self) -> Near:
        return Near(ZONES, {"north": 100.0, "south": 50.0, "west": 50.0}, 0.0)

    def test_all_stays_near_while_all_is_well(self) -> None:
        near = self.near()
        went = {near.zone("north", n / 100, False, 1.0, lambda zone: 1.0, 0.1, n / 10) for n in range(100)}
        self.assertEqual((went, sum(near.spilt.values())), ({"north"}, 0))

    @given(st.integers(0, 99), st.lists(st.floats(0.01, 1.0), min_size=2, max_size=8))
    def test_the_sum_is_under_the_limit_in_each_span(self, seed: int, weights: list[float]) -> None:
        """Unequal parts that are 1 together, a lost zone, and far more asked than there is room for."""
        chance, total = random.Random(seed), sum(weights)
        fleet = [(self.near(), weight / total) for weight in weights]
        into: list[tuple[float, str]] = []
        for tick in range(200):
            now = tick / 50
            near, part = chance.choice(fleet)
            lost = lambda zone: 0.0 if zone == "north" else 1.0  # noqa: E731
            for _ in range(4):
                if (zone := near.zone("north", chance.random(), False, 0.5, lost, part, now)) is not None:
                    into.append((now, zone))
        for zone, limit in (("south", 20.0), ("west", 10.0)):
            times = [at for at, one in into if one == zone]
            for start in times:
                work = 0.5 * sum(start <= at < start + 1.0 for at in times)
                self.assertLessEqual(work, limit * (1.0 + SPAN) + 0.5)

    def test_nothing_is_passed_on_and_no_zone_in_trouble_takes_any(self) -> None:
        near = self.near()
        carries = {"north": 0.0, "south": 0.5, "west": 1.0}.__getitem__
        near.room("west", 1.0, 0.0)
        self.assertEqual(near.zone("north", 0.5, False, 1.0, carries, 1.0, 1.0), "west")
        self.assertIsNone(near.zone("north", 0.5, True, 1.0, carries, 1.0, 1.0))  # came in: no cascade
        self.assertIsNone(near.zone("south", 0.9, False, 1.0, carries, 1.0, 1.0))  # north is lost too
        self.assertIsNone(near.zone("north", 0.9, False, 1.0, carries, 1.0, 2.0))  # more than it gives
