"""Source selection at one gateway, plans from one topology to another, loss forecasts, and zones in records
and commands.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from damsonstream.console import text
from damsonstream.console.history import History
from damsonstream.incident.clocks import Clocks
from damsonstream.incident.phases import PhaseDetector
from damsonstream.records import model
from damsonstream.records.store import Item
from damsonstream.routing import interface as i
from damsonstream.settings import kdl
from damsonstream.tiers import load, loss, plan
from damsonstream.tiers.checks import check
from damsonstream.tiers.hierarchy import CACHE, HUB, VAULT, Node, Topology, Zone, topology_of
from damsonstream.tiers.selector import (
    FAILURE_RUN,
    SPILL_BUDGET,
    TRIAL_BUDGET,
    TRIAL_RATE,
    VAULT_BUDGET,
    LocalCoordinator,
    SourceSelector,
)
from damsonstream.tiers.zone_status import RANK
from damsonstream.tiers.zones import DOUBT_S, LOST, RETURNING, TRIALS_TO_RETURN, WELL
from tests.helpers import FOOTPRINT, RouterDriver, S, TraceCase, entry

EXAMPLES = Path("examples/tiers")


def two_zones(revision: int = 1, cap: float = 20.0, ramp: float = 10.0) -> Topology:
    """Returns a topology: c1 in north with hubs p1 and p2, c2 in south with p3, and the vault o."""
    return topology_of(
        revision,
        (Node("o", VAULT, "north", 100.0), Node("p1", HUB, "north", 50.0, ("o",)),
         Node("p2", HUB, "north", 50.0, ("o",)), Node("p3", HUB, "south", 50.0, ("o",)),
         Node("c1", CACHE, "north", 100.0, ("p1", "p2", "p3", "o")),
         Node("c2", CACHE, "south", 100.0, ("p3", "p1", "p2", "o"))),
        (Zone("north", ("south",), 0.2, ramp=ramp), Zone("south", ("north",), 0.2, ramp=ramp)),
        vault_cap=cap,
    )  # fmt: skip


ALL = ["p2", "p3", "p1", "o"]  # in the router's hash order, the vault last


class SourceSelection(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1000 * S
        self.service = SourceSelector(LocalCoordinator(1), 0, self.now)
        self.assertIsNone(self.service.apply(self.now, two_zones()))

    def among(self, cache: str = "c1", hash_point: float = 0.5, sources: list[str] = ALL) -> list[str]:
        return self.service.eligible_sources(self.now, cache, hash_point, sources)

    def run_for(self, seconds: float) -> None:
        for _ in range(int(seconds * 10)):
            self.now += S // 10
            self.service.tick(self.now)

    def lose_north(self) -> None:
        """Lets north's hubs fail often and long enough for a loss."""
        for hub in ("p1", "p2"):
            for _ in range(FAILURE_RUN):
                self.service.record_fill(self.now, hub, True)
            self.service.breaker_changed(hub, "Open")
        self.run_for(DOUBT_S + 0.5)

    def state(self, zone: str = "north") -> str:
        return self.service.coordinator.zone_state(self.now, zone)[0]

    def test_home_hubs_come_first_in_the_routers_order_and_the_vault_last(self) -> None:
        self.run_for(40)
        self.among()
        self.among("c2")
        self.run_for(1)  # buckets start to fill at their first use
        self.assertEqual(self.among(), ["p2", "p1"])
        self.assertEqual(self.among(sources=["p3", "o"]), ["p3", "o"])  # no home hub is usable
        self.assertEqual(self.among("c2"), ["p3"])
        self.assertEqual(self.among("c9"), [])  # not in the file
        self.assertEqual((self.service.contains("c1"), self.service.contains("c9")), (True, False))

    def test_only_sources_that_are_in_the_file_and_not_drained(self) -> None:
        self.run_for(40)
        self.among()
        self.run_for(1)
        self.service.set_node_state("p2", "leaving")
        self.assertNotIn("p2", self.among())
        self.service.set_node_state("p2", "active")
        self.assertIn("p2", self.among())
        self.assertNotIn("p4", self.among(sources=["p4", *ALL]))

    def test_a_lost_zone_is_probed_at_a_bounded_rate_and_returns_by_hash(self) -> None:
        self.lose_north()
        self.assertEqual(self.state(), LOST)
        offered = sum("p1" in self.among(sources=["p1"]) for _ in range(5))
        self.assertLessEqual(offered, 5)
        tried = 0
        for _ in range(100):  # ten seconds of far more fills than the trial rate
            self.run_for(0.1)
            for _ in range(5):
                if self.among(sources=["p1"]):
                    # its breaker is Open: the router's own trial
                    self.assertEqual(self.service.charge_fill(self.now, "c1", "p1"), "")
                    tried += 1
        self.assertEqual(tried, 500)  # trials of the router's breaker are not limited here
        self.service.breaker_changed("p1", "Closed")
        self.service.breaker_changed("p2", "Closed")
        self.run_for(0.1)
        tried = 0
        for _ in range(100):
            self.run_for(0.1)
            for _ in range(5):
                if self.among(sources=["p1"]):
                    self.assertEqual(self.service.charge_fill(self.now, "c1", "p1"), TRIAL_BUDGET)
                    tried += 1
        self.assertLessEqual(tried, TRIAL_RATE * 10 + TRIAL_RATE)
        self.assertGreaterEqual(tried, TRIAL_RATE * 9)
        for _ in range(TRIALS_TO_RETURN):
            self.service.record_fill(self.now, "p1", False)
            self.run_for(0.1)
        self.assertEqual(self.state(), RETURNING)
        shares = []
        for _ in range(12):
            shares.append(sum("p1" in self.among(hash_point=n / 50, sources=["p1"]) for n in range(50)) / 50)
            self.run_for(1)
        self.assertEqual(shares, sorted(shares))
        self.assertLess(shares[0], 0.2)
        self.assertEqual(self.state(), WELL)

    def test_partly_failing_hubs_are_not_a_loss(self) -> None:
        for _ in range(8):
            for hub in ("p1", "p2"):
                self.service.record_fill(self.now, hub, True)
                self.service.record_fill(self.now, hub, False)
        for hub in ("p1", "p2"):
            self.service.breaker_changed(hub, "Open")  # at half the fills failing
        self.run_for(5)
        self.assertEqual(self.state(), WELL)

    def test_answers_of_caches_do_not_end_the_loss_of_their_zone(self) -> None:
        self.lose_north()
        for _ in range(50):
            self.service.record_fill(self.now, "c1", False)
            self.run_for(0.1)
        self.assertEqual(self.state(), LOST)

    def test_fills_that_were_not_needed_are_refunded(self) -> None:
        self.lose_north()
        self.run_for(31)
        self.among()
        self.run_for(2)
        self.assertEqual(self.among(sources=["p3"]), ["p3"])
        paid = [self.service.charge_fill(self.now, "c1", "p3") for _ in range(10)]
        self.assertEqual(set(paid), {SPILL_BUDGET})
        self.assertEqual(self.among(sources=["p3"]), [])  # the spill limit of south for a second is used up
        for budget in paid:
            self.service.refund_fill("c1", "p3", budget)
        self.assertEqual(self.among(sources=["p3"]), ["p3"])
        while self.among(sources=["o"]):
            paid = [self.service.charge_fill(self.now, "c1", "o")]
        self.service.refund_fill("c1", "o", paid[0])
        self.assertEqual((paid, self.among(sources=["o"])), ([VAULT_BUDGET], ["o"]))

    def test_a_zone_that_fails_spilled_fills_gets_fewer(self) -> None:
        self.lose_north()
        for _ in range(40):
            self.service.record_fill(self.now, "p3", True)
        fills = 0
        for _ in range(100):
            self.run_for(0.1)
            while self.among(sources=["p3"]):
                self.service.charge_fill(self.now, "c1", "p3")
                fills += 1
        self.assertLess(fills, 0.2 * 10 * 10)

    def test_a_revision_applies_whole_or_not_at_all(self) -> None:
        self.lose_north()
        loop = two_zones(2).with_node(Node("p1", HUB, "north", 50.0, ("p2",)))
        loop = loop.with_node(Node("p2", HUB, "north", 50.0, ("p1",)))
        self.assertIn("circular sources", str(self.service.apply(self.now, loop)))
        self.assertIn("above 1", str(self.service.apply(self.now, two_zones(1))))
        self.assertEqual((self.service.topology.revision, self.state()), (1, LOST))
        tokens = self.service.spill.buckets["south"].tokens
        self.assertIsNone(self.service.apply(self.now, two_zones(2, cap=5.0)))  # during the loss
        self.assertEqual((self.state(), self.service.spill.buckets["south"].tokens), (LOST, tokens))
        reduced = two_zones(3)
        for name in ("p3", "c2"):
            reduced = reduced.without_node(name)
        self.assertIsNone(self.service.apply(self.now, reduced))
        self.assertNotIn("p3", self.among())

    def test_each_gateway_uses_only_sources_of_its_own_revision(self) -> None:
        other = SourceSelector(LocalCoordinator(2), 1, self.now)
        other.apply(self.now, two_zones(1))
        moved = two_zones(2).with_node(Node("c1", CACHE, "north", 100.0, ("p1", "o")))
        other.apply(self.now, moved)
        for service, allowed in ((self.service, {"p1", "p2", "p3", "o"}), (other, {"p1", "o"})):
            for n in range(40):
                self.assertLessEqual(
                    set(service.eligible_sources(self.now + n * S, "c1", n / 40, ALL)), allowed
                )

    def test_without_limits_the_file_only_sets_the_order(self) -> None:
        plain = SourceSelector(LocalCoordinator(1), 0, self.now, bounded=False)
        plain.apply(self.now, two_zones())
        self.assertEqual(plain.eligible_sources(self.now, "c1", 0.9, ALL), ["p2", "p1"])
        self.assertEqual(plain.eligible_sources(self.now, "c1", 0.9, ["p3", "o"]), ["p3", "o"])

    @settings(max_examples=60)
    @given(st.lists(st.tuples(
        st.sampled_from(["p1", "p2", "p3", "o"]),
        st.sampled_from(["bad", "good", "Open", "Closed", "leaving", "active", "ask"]),
        st.integers(0, 3)), max_size=60))  # fmt: skip
    def test_only_usable_sources_are_selected(self, steps: list[tuple[str, str, int]]) -> None:
        service, now = SourceSelector(LocalCoordinator(3), 1, 0), 0
        service.apply(now, two_zones())
        for name, what, tenths in steps:
            now += tenths * S // 10
            if what in ("bad", "good"):
                service.record_fill(now, name, what == "bad")
            elif what in ("Open", "Closed"):
                service.breaker_changed(name, what)
            elif what in ("leaving", "active"):
                service.set_node_state(name, what)
            found = service.eligible_sources(now, "c1", 0.3, ALL)
            self.assertLessEqual(set(found), set(ALL) & set(service.topology.nodes))
            self.assertEqual(len(found), len(set(found)))
            if found:
                paid = service.charge_fill(now, "c1", found[0])
                service.refund_fill("c1", found[0], paid)
            service.tick(now)
            self.assertIn(service.coordinator.zone_state(now, "north")[0],
                          (*RANK, "Doubted", "Lost here", "Cut off"))  # fmt: skip


class RouterIntegration(TraceCase):
    def desk(self, service: SourceSelector | None) -> RouterDriver:
        desk = RouterDriver("c1 p1 p2 p3 o", collapses_fills=False)
        desk.lines.clear()
        desk.router, desk.sent, desk.attempts = type(desk.router)(), {}, {}
        desk.handle(i.Started(7, replace(FOOTPRINT, collapses_fills=False), hierarchy=service))
        desk.handle(i.ListUpdate("cached", tuple(entry(name) for name in ("c1", "p1", "p2", "p3", "o"))))
        return desk

    def test_fills_stay_in_their_zone_and_spill_under_the_limit(self) -> None:
        """Both hubs of the zone fail: their breakers open, the zone is lost, and its spill is bounded."""
        service = SourceSelector(LocalCoordinator(1), 0, 100 * S)
        service.apply(100 * S, two_zones(cap=4.0))
        desk = self.desk(service)
        fills: list[tuple[int, str]] = []
        for get in range(400):
            desk.start(get)
            while get in desk.router.gets and desk.attempts.get(get):
                forward = desk.sent[get, desk.attempts[get] - 1]
                if forward.source == forward.cache:
                    desk.finish(get, "lacking")
                elif forward.source in ("p1", "p2") and get >= 40:
                    desk.finish(get, "errored", note=7)
                else:
                    fills.append((desk.now, forward.source))
                    desk.finish(get, "returned", note=2)
            desk.advance(500)
            service.tick(desk.now)
        self.assertEqual({source for at, source in fills if at < 102 * S}, {"p1", "p2"})
        self.assertEqual(service.coordinator.zone_state(desk.now, "north")[0], LOST)
        for source, limit in (("p3", 10.0), ("o", 4.0)):
            times = [at for at, filled_from in fills if filled_from == source]
            self.assertGreater(len(times), 3 * limit)
            for start in times:
                self.assertLessEqual(sum(start <= at < start + S for at in times), 2 * limit + 1)
        self.check("zone-in-router", [line for line in desk.lines if "Open" in line or "GET 6" in line][:40])


class ZoneRecords(unittest.TestCase):
    """How the incident report and the console show zones from records."""

    def records(self, gateway: str, late: int) -> list[model.AnyRecord]:
        def zones(at: int, state: str, progress: int, spilt: int) -> model.Zones:
            return model.Zones(at * S, 3, [("north", state, progress, 0), ("south", "Well", 20, 0)],
                               [("north", "south", spilt, 12.0)], 0)  # fmt: skip

        return [
            model.Began(0, 1, gateway, "0", 0, "shop", [], "hub", "vault"), zones(1, "Well", 20, 0),
            zones(7, "Well", 20, 0), zones(8 + late, "Lost", 0, 0), zones(14, "Returning", 6, 20),
            zones(20, "Well", 20, 30),
        ]  # fmt: skip

    def test_a_phase_lists_states_by_gateway_and_spilled_fills(self) -> None:
        watch = PhaseDetector(Clocks())
        for name, late in (("n1", 0), ("n2", 2)):
            for record in self.records(name, late):
                watch.record(name, 1, record)
        phases = [(p.kind, p.subject, p.start // S, p.end // S, p.evidence[:-1]) for p in watch.phases([])]
        self.assertEqual(phases, [("zone", "zone north", 8, 20, [
            "Lost: n1, n2, the first 0.0 s on, the last 2.0 s later",
            "Returning: n1, n2, the first 6.0 s on, the last 0.0 s later",
            "Well: n1, n2, the first 12.0 s on, the last 0.0 s later",
            "spilled into south: 60 fills, 5.0 a second of 12",
        ])])  # fmt: skip

    def test_console_shows_gateways_that_disagree(self) -> None:
        history = History()
        for name, late in (("n1", 0), ("n2", 2)):
            for record in self.records(name, late):
                history.feed(name, Item(1, 0, record))
        rows = {at: text.zone(history.view(at * S).zones[0])[:3] for at in (9, 11, 15)}
        self.assertEqual(rows, {
            9: ("north", "Lost; Well: n2", "0"), 11: ("north", "Lost", "0"),
            15: ("north", "Returning 6/20", "0"),
        })  # fmt: skip
        north, south = history.view(20 * S).zones
        self.assertEqual(text.zone(north)[3:], ("0", "-", "3.3"))
        self.assertEqual(text.zone(south)[3:], ("3.3", "12", "0"))


class PlansAndForecasts(unittest.TestCase):
    def example(self, name: str) -> Topology:
        return load.load(str(EXAMPLES / f"{name}.kdl"))

    def test_each_step_is_safe_next_to_the_one_before(self) -> None:
        names = ("ok-three-zones", "ok-three-zones-grown")
        for a, b in (names, reversed(names)):
            old, new = self.example(a), self.example(b)
            now = old
            for step in plan.plan(old, new):
                self.assertEqual(check(step.topology, now), [])
                self.assertGreater(step.topology.revision, now.revision)
                self.assertLessEqual(step.peak_load[1], 1.0)
                now = step.topology
            self.assertEqual(replace(now, revision=new.revision), new)

    def test_two_hubs_that_swap_direction_drop_the_old_source_first(self) -> None:
        def hubs_with(a: tuple[str, ...], b: tuple[str, ...]) -> Topology:
            hubs = Node("a", HUB, "z", 9, a), Node("b", HUB, "z", 9, b)
            cache = Node("c", CACHE, "z", 9, ("a", "b", "v"))
            return topology_of(1, (Node("v", VAULT, "z", 9), *hubs, cache), (Zone("z"),))

        old, new = hubs_with(("b", "v"), ("v",)), hubs_with(("v",), ("a", "v"))
        output = [step.description for step in plan.plan(old, new)]
        self.assertEqual(output, ["a fills from v", "b fills from a, v"])

    def test_a_plan_that_is_impossible_states_the_reason(self) -> None:
        topology = self.example("ok-one-hub")
        other = topology.without_node("vault").with_node(Node("vault-2", VAULT, "home", 0))
        other = other.with_node(replace(other.nodes["hub"], sources=("vault-2",)))
        other = other.with_node(replace(other.nodes["shop"], sources=("hub",)))
        with self.assertRaisesRegex(plan.NoPlan, "two vaults"):
            plan.plan(topology, other)

    def test_written_files_read_back_as_the_same_topology(self) -> None:
        for path in sorted(EXAMPLES.glob("ok-*.kdl")):
            topology = load.load(str(path))
            self.assertEqual(load.parse(kdl.parse(load.to_kdl(topology), "text")), topology, path.name)

    @given(st.floats(0, 1), st.sets(st.sampled_from(["north", "south", "east"]), min_size=1))
    def test_a_forecast_places_all_fills_and_exceeds_no_limit(self, misses: float, zones: set[str]) -> None:
        topology = self.example("ok-three-zones")
        forecast = loss.simulate_hub_loss(topology, tuple(sorted(zones)), misses)
        for zone, limit in forecast.limits.items():
            self.assertLessEqual(
                sum(f for (_, into), f in forecast.spilt.items() if into == zone), limit + 1e-6
            )
        self.assertFalse({into for _, into in forecast.spilt} & zones)
        self.assertLessEqual(forecast.vault, topology.vault_cap + 1e-6)
        moved = sum(forecast.spilt.values()) + forecast.vault + sum(forecast.held_back.values())
        self.assertAlmostEqual(moved, sum(forecast.asked.get(zone, 0.0) for zone in zones), places=4)


class Commands(unittest.TestCase):
    def run_tiers(self, *arguments: str) -> tuple[int, str]:
        ended = subprocess.run([sys.executable, "-m", "damsonstream", "tiers", *arguments],
                               capture_output=True, text=True, timeout=60)  # fmt: skip
        return ended.returncode, ended.stdout + ended.stderr

    def test_check_reports_file_line_and_problem(self) -> None:
        found = {}
        for path in sorted(EXAMPLES.glob("*.kdl")):
            code, output = self.run_tiers("check", str(path))
            self.assertEqual(code, 0 if path.stem.startswith("ok-") else 2, output)
            found[path.stem] = next((line for line in output.splitlines() if ".kdl:" in line), "")
        self.assertEqual(
            {
                name: output.partition(".kdl:")[2].partition(": ")[0]
                for name, output in found.items()
                if output
            },
            {"bad-field": "3", "bad-loop": "5", "bad-unknown-source": "6", "bad-zone": "3"},
        )

    def test_check_config_refuses_an_invalid_hierarchy(self) -> None:
        config = Path("deploy/config.example.json")
        with tempfile.TemporaryDirectory() as folder:
            operator = Path(folder, "operator.kdl")
            cases = (("ok-one-hub", 0, ""), ("bad-loop", 2, "loop: circular sources"),
                     ("bad-field", 2, ":3: zone.takes"), ("none", 2, "none.kdl"))  # fmt: skip
            for name, code, output in cases:
                operator.write_text(f'tiers "{(EXAMPLES / name).absolute()}.kdl"\n')
                ended = subprocess.run(
                    [sys.executable, "-m", "damsonstream", "check-config", "--config", str(config),
                     "--operator", str(operator)], capture_output=True, text=True, timeout=60,
                )  # fmt: skip
                self.assertEqual(ended.returncode, code, ended.stderr)
                self.assertIn(output, ended.stderr)

    def test_plan_and_simulate_loss(self) -> None:
        grown = str(EXAMPLES / "ok-three-zones-grown.kdl")
        code, output = self.run_tiers("plan", str(EXAMPLES / "ok-three-zones.kdl"), grown)
        self.assertEqual((code, output.count("revision")), (0, 7))
        code, output = self.run_tiers("simulate-loss", grown, "north")
        self.assertEqual(code, 0, output)


if __name__ == "__main__":
    unittest.main()
