"""Tiers: validation of topologies and files, revisions, the vault's shield in random fleets, and loss and
return of zones at a single gateway.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from itertools import pairwise
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from damsonstream.settings import kdl
from damsonstream.tiers import draw, load
from damsonstream.tiers.checks import check, find_cycles, simulate_zone_loss
from damsonstream.tiers.hierarchy import (
    CACHE,
    DEFAULT_RAMP_S,
    HUB,
    VAULT,
    Node,
    Topology,
    Zone,
    differences,
    topology_of,
)
from damsonstream.tiers.revisions import HopLimit, Revisions
from damsonstream.tiers.shield import BURST_S, SETTLE_S, Shield, worst_case
from damsonstream.tiers.zones import (
    DOUBT_S,
    LOST,
    MAX_HOLD_S,
    MAX_RAMP_FACTOR,
    TRIAL_SHARE,
    WELL,
    ZoneMonitor,
    zone_for,
)
from tests.helpers import TraceCase

ZONES = (Zone("north", ("south",)), Zone("south", ("north",)), Zone("home"))


def hub(name: str, *sources: str, zone: str = "north", capacity: float = 100) -> Node:
    return Node(name, HUB, zone, capacity, sources or ("vault",))


def cache(name: str, *sources: str, zone: str = "north") -> Node:
    return Node(name, CACHE, zone, 100, sources)


VAULT_NODE = Node("vault", VAULT, "home", 300)


def topology(revision: int, *nodes: Node) -> Topology:
    return topology_of(revision, (VAULT_NODE, *nodes), ZONES, vault_cap=50.0)


GOOD = topology(1, hub("h1"), hub("h2", zone="south"), cache("c1", "h1", "h2", "vault"),
             cache("c2", "h2", "h1", "vault", zone="south"))  # fmt: skip


class Validation(TraceCase):
    def test_each_problem_of_a_topology_is_reported(self) -> None:
        lines = list[str]()
        cases = {
            "good": GOOD,
            "two hubs that are each other's source": GOOD.with_node(hub("h1", "h2")).with_node(
                hub("h2", "h1", zone="south")
            ),
            "a cycle of three": topology(2, hub("a", "b"), hub("b", "c"), hub("c", "a", "vault")),
            "its own source": topology(2, hub("a", "a", "vault")),
            "no vault": topology_of(2, [hub("h1")], ZONES),
            "two vaults": GOOD.with_node(replace(VAULT_NODE, name="other")),
            "an orphan": GOOD.with_node(Node("h3", HUB, "north", 10)),
            "an unknown source": GOOD.with_node(cache("c3", "h9")),
            "a cache as source": GOOD.with_node(cache("c3", "c1")),
            "too deep": topology(2, hub("a"), hub("b", "a"), hub("d", "b"), cache("c", "d")),
            "an undefined zone": GOOD.with_node(hub("h3", zone="east")),
            "a source listed twice": GOOD.with_node(cache("c3", "h1", "h1")),
            "spills to itself and to an undefined zone": GOOD.with_zone(Zone("north", ("north", "west"))),
        }
        for name, case in cases.items():
            lines.append(f"{name}: {'; '.join(f'{w.kind}: {w.what}' for w in check(case)) or 'valid'}")
        old = topology(1, hub("a", "b"), hub("b", "vault"))
        new = topology(2, hub("a", "vault"), hub("b", "a"))
        lines.append(f"crossing: {'; '.join(w.what for w in check(new, old))}")
        between = topology(2, hub("a", "vault"), hub("b", "vault"))
        lines.append(
            f"by a revision between: {[len(check(*pair)) for pair in ((between, old), (new, between))]}"
        )
        lines += [f"  {line}" for line in differences(old, new)]
        lines += draw.tree(GOOD)
        self.check("tiers", lines)

    @given(st.lists(st.tuples(st.sampled_from("abcdef"), st.sampled_from("abcdef")), max_size=14))
    def test_cycles_are_found_exactly_where_there_are_some(self, edges: list[tuple[str, str]]) -> None:
        successors = {a: {b for x, b in edges if x == a} for a in "abcdef"}

        def on_cycle(start: str) -> bool:
            seen, todo = set[str](), list(successors[start])
            while todo:
                name = todo.pop()
                if name == start:
                    return True
                if name not in seen:
                    seen.add(name)
                    todo += successors[name]
            return False

        found = find_cycles(edges)
        self.assertEqual(bool(found), any(on_cycle(name) for name in "abcdef"))
        for cycle in found:
            self.assertTrue(
                all(b in successors[a] for a, b in zip(cycle, (*cycle[1:], cycle[0]), strict=True))
            )

    def test_a_chain_of_ten_thousand_nodes_does_not_overflow_the_stack(self) -> None:
        edges = [(f"{n:05d}", f"{n + 1:05d}") for n in range(10_000)]
        self.assertEqual(find_cycles(edges), [])
        self.assertEqual(len(find_cycles([*edges, ("10000", "00000")])[0]), 10_001)

    def test_loss_of_a_zone_overloads_and_strands(self) -> None:
        loss = simulate_zone_loss(GOOD, "north", 0.9)
        self.assertEqual((loss.stranded, loss.hub_loads), ((), {"h2": 90.0}))
        big = GOOD.with_node(cache("c2", "h2", "vault", zone="south")).with_node(
            cache("c4", "h1", "h2", zone="south")
        )
        self.assertEqual(simulate_zone_loss(big, "north", 0.9).overloads, {"h2": 1.8})
        self.assertEqual(
            simulate_zone_loss(big.with_node(cache("c5", "h1", zone="south")), "north").stranded, ("c5",)
        )

    def test_file_errors_name_line_and_field(self) -> None:
        lines = list[str]()
        for text in ("vault-cap 5", 'revision 1\nzone "a"\nzone "a"', 'revision 1\n\nhub "h" { capacity 5; }',
                     'revision 1\nhub "h" { zone "a"; capacity -5; }', 'revision 1\nhub 5 { zone "a"; }',
                     'revision 1\ncache "c" {\n  zone "a"\n  sources 5\n}', 'revision 1\nshelf "s"',
                     'revision 1\nhub "h" { zone "a"; }\ncache "h" { zone "a"; }'):  # fmt: skip
            try:
                load.parse(kdl.parse(text, "t.kdl"))
                lines.append("read")
            except kdl.KdlError as fault:
                lines.append(str(fault))
        self.check("tiers-files", lines)


class RevisionHistory(TraceCase):
    def test_revisions_apply_whole_or_not_and_a_drain_always_wins(self) -> None:
        revisions, lines = Revisions(), list[str]()

        def note(what: str, outcome: object = None) -> None:
            sources = {name: "/".join(node.sources) for name, node in sorted(revisions.current.nodes.items())}
            lines.append(f"{what}: {outcome or 'taken'}; {sources}")

        note("the first", revisions.apply(GOOD))
        note("a loop", revisions.apply(replace(GOOD.with_node(hub("h1", "h1")), revision=2)))
        note("a number that is not higher", revisions.apply(GOOD))
        revisions.set_node_state("h1", "leaving")
        note("the discovery feed drains h1")
        note("a revision that still has it", revisions.apply(replace(GOOD, revision=3)))
        revisions.set_node_state("h1", "active")
        note("it is back")
        note("without h2", revisions.apply(replace(GOOD.without_node("h2"), revision=4)))
        revisions.set_node_state("h2", "active")
        note("only the discovery feed has h2")
        note("back to 3", revisions.rollback(3))
        note("back to 77", revisions.rollback(77))
        lines.append(f"latest {revisions.latest}, refused {revisions.refusals}")
        self.check("tiers-revisions", lines)

    def test_an_earlier_topology_is_not_changed(self) -> None:
        newer = GOOD.without_node("h1")
        self.assertIn("h1", GOOD.nodes)
        self.assertEqual(GOOD.nodes["c1"].sources, ("h1", "h2", "vault"))
        self.assertEqual(newer.nodes["c1"].sources, ("h2", "vault"))

    def test_fills_that_loop_between_two_revisions_are_rejected(self) -> None:
        """One gateway has a -> b, another b -> a: each is valid, but together they form a loop."""
        limit, at, hops = HopLimit(4), "a", 0
        while limit.allows(hops):
            at, hops = {"a": "b", "b": "a"}[at], hops + 1
        self.assertEqual((hops, limit.rejected), (4, 1))


class VaultShield(unittest.TestCase):
    @given(st.integers(0, 10_000))
    @settings(max_examples=12)
    def test_all_gateways_together_stay_under_the_bound(self, seed: int) -> None:
        """Gateways join and leave and learn of it with different delays; all ask as often as they can."""
        random, cap, step = Random(seed), 40.0, 0.05
        running: list[tuple[Shield, float]] = []  # with the delay of its news
        counts: list[tuple[float, int]] = []  # true number of gateways over time
        started: list[tuple[float, int]] = []
        now = 100.0
        running += [(Shield(cap, now), random.random() * 7) for _ in range(4)]
        for shield, _ in running:
            shield.set_gateways(4, now)
        while now < 160:
            if random.random() < 0.01 and len(running) < 12:
                joined = Shield(cap, now)
                joined.set_gateways(len(running) + 1, now)
                running.append((joined, random.random() * 7))
            elif random.random() < 0.01 and len(running) > 1:
                running.pop(random.randrange(len(running)))
            counts.append((now, len(running)))
            for shield, delay in running:
                known = [count for at, count in counts if at <= now - delay]
                if known:
                    shield.set_gateways(known[-1], now)
                started.append((now, sum(shield.try_take(now) for _ in range(6))))
            now += step
        for end in range(102, 160):
            total = sum(count for at, count in started if end - 1 < at <= end)
            recent = [count for at, count in counts if end - 1 - SETTLE_S - 7 <= at <= end]
            most = max(recent)  # includes gateways that left within the second
            joins = sum(b > a for a, b in pairwise(recent))
            self.assertLessEqual(total, worst_case(cap, most + joins, min(recent), 1.0) + 1e-6)

    def test_the_cap_is_kept_and_nearly_used_up(self) -> None:
        for gateways in (1, 5, 50):
            shields = [Shield(100.0, 0.0) for _ in range(gateways)]
            for shield in shields:
                shield.set_gateways(gateways, 0.0)
            started, now = 0, 0.0
            while now < 30:
                for shield in shields:
                    started += shield.try_take(now)
                now += 0.002
            self.assertLessEqual(started, worst_case(100.0, gateways, gateways, 30.0))
            self.assertGreater(started, 0.93 * 100 * 30)

    def test_fills_of_more_worth_pass_first_while_tokens_are_scarce(self) -> None:
        shield, passed = Shield(100.0, 0.0), {1.0: 0, 5.0: 0}
        for tick in range(4000):
            worth = 5.0 if tick % 4 == 0 else 1.0
            passed[worth] += shield.try_take(tick * 0.0025, worth)
        self.assertGreater(passed[5.0] / 1000, 2 * passed[1.0] / 3000)

    def test_failures_reduce_the_rate_and_successes_restore_it(self) -> None:
        shield = Shield(100.0, 0.0)
        for tick in range(60):
            shield.record_result(tick * 0.1, False)
        self.assertAlmostEqual(shield.rate, 5.0)
        self.assertLessEqual(shield.retry_after(6.0), 1.0)
        for tick in range(60):
            shield.record_result(10 + tick * 0.1, True)
        self.assertEqual(shield.rate, 100.0)

    def test_a_decrease_of_gateways_applies_after_settling(self) -> None:
        shield = Shield(100.0, 0.0)
        shield.set_gateways(10, 0.0)
        shield.set_gateways(5, 1.0)
        shield.try_take(1.0 + SETTLE_S - 0.1)
        self.assertEqual(shield.gateways, 10)
        shield.try_take(1.0 + SETTLE_S)
        self.assertEqual(shield.gateways, 5)
        self.assertLessEqual(shield.tokens, shield.rate * BURST_S)


class SingleGatewayZones(TraceCase):
    def make_monitor(self) -> ZoneMonitor:
        hubs = {"n1": "north", "n2": "north", "s1": "south", "s2": "south"}
        return ZoneMonitor({zone.name: zone for zone in ZONES[:2]}, hubs, 0.0)

    def feed(self, monitor: ZoneMonitor, start: float, end: float, dead: set[str]) -> list[str]:
        changes, now = list[str](), start
        while now < end:
            for hub_name in monitor.zone_by_hub:
                if change := monitor.record(hub_name, hub_name not in dead, now):
                    changes.append(f"{now:.1f} s {monitor.zone_by_hub[hub_name]} {change}")
            now += 0.1
        return changes

    def test_loss_flapping_and_return(self) -> None:
        monitor, lines = self.make_monitor(), list[str]()
        spans = ((0, 10, set[str]()), (10, 20, {"n1"}), (20, 30, {"n1", "n2"}), (30, 90, set[str]()),
                 (90, 91, {"n1", "n2"}), (91, 100, set[str]()))  # fmt: skip
        for start, end, dead in spans:
            lines.append(f"from {start} s, dead: {sorted(dead) or 'none'}")
            lines += [f"  {line}" for line in self.feed(monitor, start, end, dead)]
            split = {zone: round(share, 3) for zone, share in monitor.traffic_split("north", end).items()}
            lines.append(f"  at {end} s shares of north's objects: {split}")
        lines.append("flapping twice a minute")
        at = 100.0
        for _ in range(4):
            lines += [f"  {line}" for line in self.feed(monitor, at, at + 5, {"n1", "n2"})]
            lines += [f"  {line}" for line in self.feed(monitor, at + 5, at + 30, set())]
            zone = monitor.zones["north"]
            lines.append(f"  flaps {zone.flaps}, next hold {zone.hold_s:g} s, return over {zone.ramp_s:g} s")
            at += 30
        lines += ["no more failures", *(f"  {line}" for line in self.feed(monitor, at, at + 300, set()))]
        lines.append(f"  flaps {monitor.zones['north'].flaps}")
        self.check("zones", lines)

    @given(
        st.lists(
            st.tuples(st.floats(0.05, 20), st.sets(st.sampled_from(["n1", "n2", "s1", "s2"]))), max_size=8
        )
    )
    def test_spill_is_bounded_and_a_healthy_zone_returns_to_full_traffic(
        self, spans: list[tuple[float, set[str]]]
    ) -> None:
        monitor, now = self.make_monitor(), 0.0
        for seconds, dead in spans:
            end = now + seconds
            while now < end:
                for hub_name in monitor.zone_by_hub:
                    monitor.record(hub_name, hub_name not in dead, now)
                for zone in ("north", "south"):
                    other = {"north": "south", "south": "north"}[zone]
                    share = monitor.traffic_split(zone, now)
                    self.assertLessEqual(sum(share.values()), 1 + 1e-9)
                    self.assertLessEqual(share.get(other, 0.0), monitor.zones[other].zone.takes + 1e-9)
                    if monitor.zones[zone].state == LOST:
                        self.assertEqual(share[zone], TRIAL_SHARE)
                    if monitor.zones[other].state != WELL:
                        self.assertNotIn(other, share)
                now += 0.25
        self.feed(monitor, now, now + DOUBT_S + MAX_HOLD_S + MAX_RAMP_FACTOR * DEFAULT_RAMP_S + 10, set())
        self.assertEqual([zone.state for zone in monitor.zones.values()], [WELL, WELL])

    @given(st.floats(0, 1, exclude_max=True), st.floats(0, 1), st.floats(0, 1), st.floats(0, 1))
    def test_objects_return_one_by_one_and_do_not_move_between_other_zones(
        self, hash_point: float, first: float, more: float, takes: float
    ) -> None:
        low, high = sorted((first, more))
        before = zone_for(hash_point, "a", {"a": low, "b": min(takes, 1 - low)})
        after = zone_for(hash_point, "a", {"a": high, "b": min(takes, 1 - high)})
        if before == "a":
            self.assertEqual(after, "a")
        self.assertIn(after, {before, "a", None})

    def test_one_dead_hub_does_not_change_the_state_of_its_zone(self) -> None:
        monitor = self.make_monitor()
        self.assertEqual(self.feed(monitor, 0, 60, {"n1"}), [])


if __name__ == "__main__":
    unittest.main()
