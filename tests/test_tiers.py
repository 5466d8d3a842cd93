"""Tiers: what is refused before it carries traffic, the vault's shield held against drawn fleets, zones lost
and back."""

from __future__ import annotations

import unittest
from dataclasses import replace
from itertools import pairwise
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from damsonstream.settings import kdl
from damsonstream.tiers import draw, load
from damsonstream.tiers.checks import check, loops, simulate
from damsonstream.tiers.revisions import Marks, Revisions
from damsonstream.tiers.shape import CACHE, HUB, RAMP, VAULT, Node, Shape, Zone, differences, shape_of
from damsonstream.tiers.shield import BURST, SETTLE, Shield, worst
from damsonstream.tiers.zones import DOUBT, HOLD_LONGEST, LOST, SLOWEST, TRIAL, WELL, Watch, goes
from tests.helpers import TraceCase

ZONES = (Zone("north", ("south",)), Zone("south", ("north",)), Zone("home"))


def hub(name: str, *sources: str, zone: str = "north", capacity: float = 100) -> Node:
    return Node(name, HUB, zone, capacity, sources or ("vault",))


def cache(name: str, *sources: str, zone: str = "north") -> Node:
    return Node(name, CACHE, zone, 100, sources)


VAULT_NODE = Node("vault", VAULT, "home", 300)


def fleet(revision: int, *nodes: Node) -> Shape:
    return shape_of(revision, (VAULT_NODE, *nodes), ZONES, vault_cap=50.0)


GOOD = fleet(1, hub("h1"), hub("h2", zone="south"), cache("c1", "h1", "h2", "vault"),
             cache("c2", "h2", "h1", "vault", zone="south"))  # fmt: skip


class Checks(TraceCase):
    def test_each_way_a_shape_may_be_wrong(self) -> None:
        told = list[str]()
        cases = {
            "good": GOOD,
            "two hubs that name each other": GOOD.with_node(hub("h1", "h2")).with_node(
                hub("h2", "h1", zone="south")
            ),
            "a loop of three": fleet(2, hub("a", "b"), hub("b", "c"), hub("c", "a", "vault")),
            "itself": fleet(2, hub("a", "a", "vault")),
            "no vault": shape_of(2, [hub("h1")], ZONES),
            "two vaults": GOOD.with_node(replace(VAULT_NODE, name="other")),
            "an orphan": GOOD.with_node(Node("h3", HUB, "north", 10)),
            "an unknown source": GOOD.with_node(cache("c3", "h9")),
            "a cache as source": GOOD.with_node(cache("c3", "c1")),
            "too deep": fleet(2, hub("a"), hub("b", "a"), hub("d", "b"), cache("c", "d")),
            "no zone": GOOD.with_node(hub("h3", zone="east")),
            "twice": GOOD.with_node(cache("c3", "h1", "h1")),
            "spills to itself": GOOD.with_zone(Zone("north", ("north", "west"))),
        }
        for name, shape in cases.items():
            told.append(
                f"{name}: {'; '.join(f'{w.kind}: {w.what}' for w in check(shape)) or 'nothing wrong'}"
            )
        old = fleet(1, hub("a", "b"), hub("b", "vault"))
        new = fleet(2, hub("a", "vault"), hub("b", "a"))
        told.append(f"crossing: {'; '.join(w.what for w in check(new, old))}")
        between = fleet(2, hub("a", "vault"), hub("b", "vault"))
        told.append(f"by way of another: {[len(check(*pair)) for pair in ((between, old), (new, between))]}")
        told += [f"  {line}" for line in differences(old, new)]
        told += draw.tree(GOOD)
        self.check("tiers", told)

    @given(st.lists(st.tuples(st.sampled_from("abcdef"), st.sampled_from("abcdef")), max_size=14))
    def test_loops_are_found_just_where_there_are_some(self, edges: list[tuple[str, str]]) -> None:
        out = {a: {b for x, b in edges if x == a} for a in "abcdef"}

        def comes_back(start: str) -> bool:
            seen, todo = set[str](), list(out[start])
            while todo:
                name = todo.pop()
                if name == start:
                    return True
                if name not in seen:
                    seen.add(name)
                    todo += out[name]
            return False

        found = loops(edges)
        self.assertEqual(bool(found), any(comes_back(name) for name in "abcdef"))
        for loop in found:
            self.assertTrue(all(b in out[a] for a, b in zip(loop, (*loop[1:], loop[0]), strict=True)))

    def test_ten_thousand_deep_does_not_end_the_process(self) -> None:
        edges = [(f"{n:05d}", f"{n + 1:05d}") for n in range(10_000)]
        self.assertEqual(loops(edges), [])
        self.assertEqual(len(loops([*edges, ("10000", "00000")])[0]), 10_001)

    def test_loss_of_a_zone(self) -> None:
        loss = simulate(GOOD, "north", 0.9)
        self.assertEqual((loss.stranded, loss.asked), ((), {"h2": 90.0}))
        big = GOOD.with_node(cache("c2", "h2", "vault", zone="south")).with_node(
            cache("c4", "h1", "h2", zone="south")
        )
        self.assertEqual(simulate(big, "north", 0.9).over, {"h2": 1.8})
        self.assertEqual(simulate(big.with_node(cache("c5", "h1", zone="south")), "north").stranded, ("c5",))

    def test_files_are_checked_with_line_and_field(self) -> None:
        told = list[str]()
        for text in ("vault-cap 5", 'revision 1\nzone "a"\nzone "a"', 'revision 1\n\nhub "h" { capacity 5; }',
                     'revision 1\nhub "h" { zone "a"; capacity -5; }', 'revision 1\nhub 5 { zone "a"; }',
                     'revision 1\ncache "c" {\n  zone "a"\n  sources 5\n}', 'revision 1\nshelf "s"',
                     'revision 1\nhub "h" { zone "a"; }\ncache "h" { zone "a"; }'):  # fmt: skip
            try:
                load.parse(kdl.parse(text, "t.kdl"))
                told.append("read")
            except kdl.Fault as fault:
                told.append(str(fault))
        self.check("tiers-files", told)


class Revised(TraceCase):
    def test_whole_or_not_at_all_and_a_drain_always_wins(self) -> None:
        revisions, told = Revisions(), list[str]()

        def say(what: str, outcome: object = None) -> None:
            sources = {name: "/".join(node.sources) for name, node in sorted(revisions.current.nodes.items())}
            told.append(f"{what}: {outcome or 'taken'}; {sources}")

        say("the first", revisions.apply(GOOD))
        say("a loop", revisions.apply(replace(GOOD.with_node(hub("h1", "h1")), revision=2)))
        say("an old number", revisions.apply(GOOD))
        revisions.told("h1", "leaving")
        say("the bulletin drains h1")
        say("a revision that still has it", revisions.apply(replace(GOOD, revision=3)))
        revisions.told("h1", "active")
        say("it is back")
        say("without h2", revisions.apply(replace(GOOD.without_node("h2"), revision=4)))
        revisions.told("h2", "active")
        say("the bulletin alone has h2")
        say("back to 3", revisions.rollback(3))
        say("back to 77", revisions.rollback(77))
        told.append(f"latest {revisions.latest}, refused {revisions.refused}")
        self.check("tiers-revisions", told)

    def test_an_old_shape_stays_what_it_was(self) -> None:
        newer = GOOD.without_node("h1")
        self.assertIn("h1", GOOD.nodes)
        self.assertEqual(GOOD.nodes["c1"].sources, ("h1", "h2", "vault"))
        self.assertEqual(newer.nodes["c1"].sources, ("h2", "vault"))

    def test_fills_that_a_peers_older_revision_sends_round_are_turned_back(self) -> None:
        """One gateway has a -> b, another b -> a: each is good, and a fill between them ends after four
        nodes."""
        marks, at, hops = Marks(4), "a", 0
        while marks.passes(hops):
            at, hops = {"a": "b", "b": "a"}[at], hops + 1
        self.assertEqual((hops, marks.turned_back), (4, 1))


class TheShield(unittest.TestCase):
    @given(st.integers(0, 10_000))
    @settings(max_examples=12)
    def test_all_together_never_over_what_is_stated(self, seed: int) -> None:
        """Gateways come, go and are told of it late, each at its own time; all ask as often as they can."""
        chance, cap, step = Random(seed), 40.0, 0.05
        running: list[tuple[Shield, float]] = []  # with how late its news is
        counts: list[tuple[float, int]] = []  # true number over time
        begun: list[tuple[float, int]] = []
        now = 100.0
        running += [(Shield(cap, now), chance.random() * 7) for _ in range(4)]
        for shield, _ in running:
            shield.told(4, now)
        while now < 160:
            if chance.random() < 0.01 and len(running) < 12:
                fresh = Shield(cap, now)
                fresh.told(len(running) + 1, now)
                running.append((fresh, chance.random() * 7))
            elif chance.random() < 0.01 and len(running) > 1:
                running.pop(chance.randrange(len(running)))
            counts.append((now, len(running)))
            for shield, late in running:
                heard = [count for at, count in counts if at <= now - late]
                if heard:
                    shield.told(heard[-1], now)
                begun.append((now, sum(shield.may(now) for _ in range(6))))
            now += step
        for end in range(102, 160):
            total = sum(count for at, count in begun if end - 1 < at <= end)
            near = [count for at, count in counts if end - 1 - SETTLE - 7 <= at <= end]
            most = max(near)  # also those that went within the second had their part of it
            came = sum(b > a for a, b in pairwise(near))
            self.assertLessEqual(total, worst(cap, most + came, min(near), 1.0) + 1e-6)

    def test_steady_and_in_bursts_the_cap_is_used_and_kept(self) -> None:
        for gateways in (1, 5, 50):
            shields = [Shield(100.0, 0.0) for _ in range(gateways)]
            for shield in shields:
                shield.told(gateways, 0.0)
            begun, now = 0, 0.0
            while now < 30:
                for shield in shields:
                    begun += shield.may(now)
                now += 0.002
            self.assertLessEqual(begun, worst(100.0, gateways, gateways, 30.0))
            self.assertGreater(begun, 0.93 * 100 * 30)

    def test_what_earns_more_goes_first_while_little_is_left(self) -> None:
        shield, passed = Shield(100.0, 0.0), {1.0: 0, 5.0: 0}
        for tick in range(4000):
            worth = 5.0 if tick % 4 == 0 else 1.0
            passed[worth] += shield.may(tick * 0.0025, worth)
        self.assertGreater(passed[5.0] / 1000, 2 * passed[1.0] / 3000)

    def test_it_narrows_while_the_vault_fails_and_widens_again(self) -> None:
        shield = Shield(100.0, 0.0)
        for tick in range(60):
            shield.ended(tick * 0.1, False)
        self.assertAlmostEqual(shield.part, 5.0)
        self.assertLessEqual(shield.come_back(6.0), 1.0)
        for tick in range(60):
            shield.ended(10 + tick * 0.1, True)
        self.assertEqual(shield.part, 100.0)

    def test_fewer_gateways_count_only_once_all_have_heard(self) -> None:
        shield = Shield(100.0, 0.0)
        shield.told(10, 0.0)
        shield.told(5, 1.0)
        shield.may(1.0 + SETTLE - 0.1)
        self.assertEqual(shield.count, 10)
        shield.may(1.0 + SETTLE)
        self.assertEqual(shield.count, 5)
        self.assertLessEqual(shield.tokens, shield.part * BURST)


class TheZones(TraceCase):
    def watch(self) -> Watch:
        hubs = {"n1": "north", "n2": "north", "s1": "south", "s2": "south"}
        return Watch({zone.name: zone for zone in ZONES[:2]}, hubs, 0.0)

    def play(self, watch: Watch, start: float, end: float, dead: set[str]) -> list[str]:
        turns, now = list[str](), start
        while now < end:
            for hub_name in watch.homes:
                if change := watch.seen(hub_name, hub_name not in dead, now):
                    turns.append(f"{now:.1f} s {watch.homes[hub_name]} {change}")
            now += 0.1
        return turns

    def test_lost_flapping_and_back(self) -> None:
        watch, told = self.watch(), list[str]()
        spans = ((0, 10, set[str]()), (10, 20, {"n1"}), (20, 30, {"n1", "n2"}), (30, 90, set[str]()),
                 (90, 91, {"n1", "n2"}), (91, 100, set[str]()))  # fmt: skip
        for start, end, dead in spans:
            told.append(f"from {start} s, dead: {sorted(dead) or 'none'}")
            told += [f"  {turn}" for turn in self.play(watch, start, end, dead)]
            share = {zone: round(part, 3) for zone, part in watch.share("north", end).items()}
            told.append(f"  at {end} s north's objects go {share}")
        told.append("flapping twice a minute")
        at = 100.0
        for _ in range(4):
            told += [f"  {turn}" for turn in self.play(watch, at, at + 5, {"n1", "n2"})]
            told += [f"  {turn}" for turn in self.play(watch, at + 5, at + 30, set())]
            state = watch.states["north"]
            told.append(f"  flaps {state.flaps}, next hold {state.hold:g} s, return over {state.ramp:g} s")
            at += 30
        told += ["well for good", *(f"  {turn}" for turn in self.play(watch, at, at + 300, set()))]
        told.append(f"  flaps {watch.states['north'].flaps}")
        self.check("zones", told)

    @given(
        st.lists(
            st.tuples(st.floats(0.05, 20), st.sets(st.sampled_from(["n1", "n2", "s1", "s2"]))), max_size=8
        )
    )
    def test_spill_is_bounded_and_a_zone_that_stays_well_comes_back_whole(
        self, spans: list[tuple[float, set[str]]]
    ) -> None:
        watch, now = self.watch(), 0.0
        for long, dead in spans:
            end = now + long
            while now < end:
                for hub_name in watch.homes:
                    watch.seen(hub_name, hub_name not in dead, now)
                for zone in ("north", "south"):
                    other = {"north": "south", "south": "north"}[zone]
                    share = watch.share(zone, now)
                    self.assertLessEqual(sum(share.values()), 1 + 1e-9)
                    self.assertLessEqual(share.get(other, 0.0), watch.states[other].zone.takes + 1e-9)
                    if watch.states[zone].name == LOST:
                        self.assertEqual(share[zone], TRIAL)
                    if watch.states[other].name != WELL:
                        self.assertNotIn(other, share)
                now += 0.25
        self.play(watch, now, now + DOUBT + HOLD_LONGEST + SLOWEST * RAMP + 10, set())
        self.assertEqual([state.name for state in watch.states.values()], [WELL, WELL])

    @given(st.floats(0, 1, exclude_max=True), st.floats(0, 1), st.floats(0, 1), st.floats(0, 1))
    def test_objects_come_back_one_by_one_and_do_not_change_between_others(
        self, place: float, first: float, more: float, takes: float
    ) -> None:
        low, high = sorted((first, more))
        before = goes(place, "a", {"a": low, "b": min(takes, 1 - low)})
        after = goes(place, "a", {"a": high, "b": min(takes, 1 - high)})
        if before == "a":
            self.assertEqual(after, "a")
        self.assertIn(after, {before, "a", None})

    def test_one_dead_hub_of_a_zone_is_the_breakers_matter(self) -> None:
        watch = self.watch()
        self.assertEqual(self.play(watch, 0, 60, {"n1"}), [])


if __name__ == "__main__":
    unittest.main()
