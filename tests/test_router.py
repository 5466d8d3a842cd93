"""Tests of the router's decisions, many of them against the traces kept in tests/traces."""

from __future__ import annotations

import io
from contextlib import redirect_stdout
from dataclasses import replace

from damsonstream.bench import codec
from damsonstream.bench.__main__ import serve
from damsonstream.routing import interface as i
from damsonstream.routing.router import MIN_SAMPLES, Breaker, Rng
from tests.helpers import FOOTPRINT, ORDER, PAGES, TILES, RouterDriver, S, TraceCase, entry


class BreakerTest(TraceCase):
    def test_opens_on_failure_ratio_and_closes_after_good_trials(self) -> None:
        breaker, lines = Breaker(Rng(3)), list[str]()

        def step(now: int, weight: float, trial: bool = False) -> None:
            change = breaker.record(now, weight, trial)
            lines.append(
                f"{now / S:.1f}s weight {weight} {'trial ' * trial}{breaker.state}{' *' * bool(change)}"
            )

        for place in range(8):
            step(place * 1000, 0.0)
        for place in range(8):  # slow fills alone never open the breaker
            step(8000 + place * 1000, 0.5)
        for place in range(12):
            step(16000 + place * 1000, 1.0)
        for trial in range(2):
            lines.append(
                f"cool-down {breaker.cooldown / S:.0f}s, before its end {breaker.allows(breaker.until - 1)}"
            )
            now = breaker.until
            lines.append(f"allowed at its end {breaker.allows(now)}")
            step(now, 0.0, True)
            lines.append(
                f"second trial at once {breaker.allows(now + 1)}, 500 ms on {breaker.allows(now + 5000)}"
            )
            step(now + 5000, 1.0 - trial, True)
        lines.append(f"cool-down {breaker.cooldown / S:.0f}s")
        self.check("breaker", lines)

    def test_few_failures_do_not_open(self) -> None:
        breaker = Breaker(Rng(3))
        self.assertEqual(
            [breaker.record(place, 1.0, False) for place in range(MIN_SAMPLES - 1)],
            [""] * (MIN_SAMPLES - 1),
        )
        self.assertEqual(breaker.state, "Closed")


class NodeSelection(TraceCase):
    def test_every_gateway_picks_the_same_cache_and_source(self) -> None:
        """The order in which the list names the nodes must not matter."""
        desks = [RouterDriver("c1 c2 c3 p1 p2 p3 o"), RouterDriver("o p3 p1 c3 c2 p2 c1")]
        for get in range(12):
            for desk in desks:
                desk.start(get)
                desk.finish(get, "returned", note=2)
        self.assertEqual(desks[0].lines, desks[1].lines)
        self.check("homes", desks[0].lines)

    def test_crashed_parent_opens_and_trials_close_it(self) -> None:
        """Fast failures of fills open only their parent; hits continue, its fills move on in hash order."""
        desk = RouterDriver()
        for get in range(60):
            desk.start(get)
            leg = desk.attempts[get] - 1
            if desk.sent[get, leg].source == "p1" and get < 24:
                desk.finish(get, "shed", took=200)
            if get in desk.router.gets:
                desk.finish(get, "returned", note=2)
            desk.advance(2000)
        self.check("crashed-parent", desk.lines[4:30] + [line for line in desk.lines[30:] if "p1" in line])

    def test_unreachable_cache_opens_no_source(self) -> None:
        desk = RouterDriver("c1 c2 p1 p2 o")
        for get in range(24):
            desk.start(get)
            if desk.sent[get, 0].cache == "c1":
                desk.finish(get, "unreached")
            desk.finish(get, "returned", note=1)
        self.assertEqual({n.name for n in desk.router.nodes.values() if n.breaker.state != "Closed"}, {"c1"})

    def test_slow_origin_opens_no_parent(self) -> None:
        """A parent that fills other objects is not blamed for fills that time out; the origin is."""
        desk = RouterDriver(fill_codes="all", collapses_fills=False)
        for get in range(40):
            desk.start(get, service=1)
            if get % 2:
                desk.now += 100
                desk.finish(get, "returned", note=2)
                continue
            desk.finish(get, "shed", note=7, took=15000)
            if get in desk.router.gets:
                desk.now += 100
                desk.finish(get, "returned", note=2)
        self.check("slow-origin", [line for line in desk.lines[50:] if "->" in line or "Open" in line][:24])

    def test_hung_parent_does_not_use_up_the_caches(self) -> None:
        """Fills that hang in every cache open their parent, and are recalled and sent to the other one."""
        desk = RouterDriver(fill_codes="all", collapses_fills=False)
        for get in range(60):
            desk.start(get)
            for known in list(desk.router.gets):
                if desk.sent[known, desk.attempts[known] - 1].source != "p1":
                    desk.finish(known, "returned", note=2)
            desk.advance(500, 100)
        self.check("hung-parent", [line for line in desk.lines if "Open" in line or "recalled" in line][:12])

    def test_trial_that_proves_nothing_allows_the_next(self) -> None:
        """A trial answered by a hit says nothing about the source and must not block further trials."""
        desk = RouterDriver("c1 p1 o")
        breaker = desk.router.nodes["p1"].breaker
        breaker.open(desk.now)
        desk.now = breaker.until
        for get in range(3):
            desk.start(get)
            desk.finish(get, "returned", note=1)
        self.assertEqual([desk.sent[get, 0].source for get in range(3)], ["p1"] * 3)


class ManyGateways(TraceCase):
    """Many gateways, each of which observes little and shares its caches with others."""

    def test_refusals_by_sources_open_no_cache(self) -> None:
        """A late refusal came from the cache's source, an immediate one from the cache itself."""
        for took, open_ones in ((300, {"p1", "p2", "o"}), (20, {"c1", "c2"})):
            desk = RouterDriver(location_gateways=12)
            for get in range(40):
                desk.start(get)
                while (get, desk.attempts.get(get, 0) - 1) in desk.router.pending:
                    forward = desk.sent[get, desk.attempts[get] - 1]
                    lookup_only = took > 20 and forward.source == forward.cache
                    desk.finish(get, "lacking" if lookup_only else "shed", took=took)
                desk.advance(1000)
            states = {n.name for n in desk.router.nodes.values() if n.breaker.state != "Closed"}
            self.assertLessEqual(states, open_ones)
            self.assertTrue(states)

    def test_parent_that_fails_in_part_gets_a_smaller_share(self) -> None:
        """It stays Closed, the other objects move on in hash order, and all return once it has recovered."""
        desk, lines, asked = RouterDriver(), list[str](), 0
        for second in range(0, 20, 2):
            before = asked
            for get in range(second * 20, second * 20 + 40):
                desk.start(get)
                asked += desk.sent[get, 0].source == "p1"
                if desk.sent[get, 0].source == "p1" and asked % 2 and second < 10:
                    desk.finish(get, "shed", took=300)
                if get in desk.router.gets:
                    desk.finish(get, "returned", note=2)
                desk.advance(500)
            state = desk.router.nodes["p1"].breaker.state
            lines.append(f"after {second} s: {asked - before} of 40, {state}")
        self.check("thinned", lines)

    def test_late_fills_reduce_a_parents_share_and_never_open_it(self) -> None:
        desk = RouterDriver()
        for get in range(120):
            desk.start(get)
            desk.finish(get, "returned", note=2, took=40000 if desk.sent[get, 0].source == "p1" else 400)
            desk.advance(300)
        late = [desk.sent[get, 0].source for get in range(60, 120)].count("p1")
        breaker = desk.router.nodes["p1"].breaker
        self.assertEqual((breaker.state, late < 10), ("Closed", True))

    def test_suspected_cache_is_asked_for_a_copy_first(self) -> None:
        """After an overdue forward without any answer of the cache, the next forward asks for no fill."""
        desk = RouterDriver("c1 p1 o")
        desk.start(1)
        desk.advance(2 * S)
        desk.start(2)
        self.assertEqual(desk.sent[2, 0].source, "c1")
        desk.finish(2, "lacking", took=20)
        self.assertEqual(desk.sent[2, 1].source, "p1")

    def test_reported_load_counts_until_it_is_old(self) -> None:
        """A report includes the load of other gateways; it must not keep a cache unused for good."""
        for name, load, weights in (("held", 40.0, "none"), ("busy", 1.1, "rough")):
            desk = RouterDriver("c1 o", location_gateways=12, capacity_info=weights)
            for get in range(3):
                desk.start(get)
            for get in range(3):
                desk.finish(get, "returned", 1, -1, 500, **{name: load})
            desk.start(5)
            self.assertNotIn(5, desk.attempts)
            desk.advance(S)
            desk.start(6)
            self.assertIn(6, desk.attempts)

    def test_only_a_part_of_the_fills_is_admitted_to_a_full_link(self) -> None:
        """At a reported link load of 2.4, half of the misses are filled; the rest is looked up, then shed."""
        desk, filled = RouterDriver(), 0
        for get in range(41):
            desk.start(get)
            forward = desk.sent[get, 0]
            filled += forward.source != forward.cache
            desk.finish(get, "lacking" if forward.source == forward.cache else "returned", note=2, link=2.4)
        self.assertTrue(12 < filled < 28, filled)
        self.assertFalse(desk.router.gets)

    def test_retries_are_few_where_gateways_are_many(self) -> None:
        """When caches or a parent die, the retry budgets of all gateways must not overload one source."""
        desk = RouterDriver("c1 c2 c3 p1 p2 p3 o", location_gateways=12)
        for get in range(10):
            desk.start(get)
            while get in desk.router.gets and (get, desk.attempts[get] - 1) in desk.router.pending:
                desk.finish(get, "shed", took=300)
        self.assertLess(sum(desk.attempts.values()), 15)

    def test_limits_of_sources_grow_with_their_capacity(self) -> None:
        """A large parent gets more than 64 fills; an origin with one late fill in twenty keeps its limit."""
        lines = list[str]()
        for units in (10, 400):
            desk = RouterDriver("c1 c2")
            desk.handle(i.ListUpdate("changes", (entry("p1", units=units), entry("c3", units=400))))
            for get in range(100):
                desk.start(get)
            fills = sum(forward.source == "p1" for forward in desk.sent.values())
            lines.append(f"parent of {units} units: {fills} fills out")
        desk = RouterDriver("c1 p1 o", fill_codes="all")
        for get in range(600):
            desk.start(get)
            desk.finish(get, "returned", note=3, took=500 + 30 * S * (get % 20 == 0))
            desk.now += 100
        assert desk.router.origin is not None
        lines.append(f"origin, one in twenty late: limit over 40: {desk.router.origin.limit > 40}")
        self.check("limits", lines)

    def test_origin_is_not_slow_before_its_usual_first_byte_is_known(self) -> None:
        """After a start under load, all first bytes exceed a percentile that started low: not a failure."""
        lines = list[str]()
        for wait in (0, 4 * S):
            desk = RouterDriver("c1 p1 o", fill_codes="all")
            for get in range(24):
                desk.now += wait if get == 12 else 50
                desk.start(get)
                desk.handle(i.ForwardEnded(get, 0, "c1", "returned", 800, 700 if get else 40, 3, True))
            for get in (24, 25):
                desk.start(get)
                desk.finish(get, "shed", note=10)
            assert desk.router.origin is not None
            lines.append(f"after {wait // S} s: {desk.router.origin.breaker.state}")
        self.check("usual-first-byte", lines)

    def test_overloaded_origin_is_throttled_before_it_fails(self) -> None:
        """One of 200 gateways sees two fills a second from the origin, so that first bytes above the
        objective must throttle its fills at once. Copies at parents and tokened GETs continue, and all
        GETs do once the origin has recovered."""
        desk, lines = RouterDriver(fill_codes="all", collapses_fills=False, gateways=200), list[str]()
        for get in range(48):
            slow, legs = 12 <= get < 28, list[str]()
            desk.start(get, service=2 if get % 8 == 7 else 0)
            while get in desk.router.gets:
                forward = desk.sent[get, desk.attempts[get] - 1]
                legs.append("copies" if forward.only_if_cached else "origin")
                if forward.only_if_cached:
                    desk.finish(get, "lacking", note=8)
                else:
                    desk.finish(get, "returned", note=3, took=9000, first=8000 if slow else 1500)
            shed = any(f"GET {get} shed" in line for line in desk.lines)
            lines.append(f"{get} {'order' if get % 8 == 7 else 'tiles'}: {', '.join(legs)}{', shed' * shed}")
            desk.advance(S // 2)
        self.check("origin-behind", lines[10:])

    def test_refusals_of_an_overloaded_origin_are_not_retried(self) -> None:
        """Every parent leads to the same origin; retries of 200 gateways would overload it even more."""
        desk = RouterDriver("c1 c2 c3 p1 p2 p3 o", fill_codes="all", collapses_fills=False, gateways=200)
        desk.router.retry_budget = 20.0  # the budget must not be what limits the retries
        for get in range(10):
            desk.start(get, service=2)
            while get in desk.router.gets:
                desk.finish(get, "shed", note=10)
            desk.advance(S // 10)
        self.assertEqual([desk.attempts[get] for get in range(10)], [2, 1, 1, 1, 1, 1, 1, 1, 1, 1])

    def test_queued_gets_wait_for_the_saturated_node(self) -> None:
        """A long queue is not dispatched while its source is full, and is as soon as that has capacity."""
        desk = RouterDriver("p1 o", fill_codes="all")
        desk.handle(i.ListUpdate("changes", (entry("c1", units=400),)))
        for get in range(68):
            desk.start(get)
            if get >= 64:  # the parent has 64 forwards in flight: looked up, a miss, queued
                desk.finish(get, "lacking")
        waits_for = [desk.router.gets[get].waits_for for get in range(64, 68)]
        desk.lines.clear()
        desk.log(f"wait for {sorted({node.name for node in waits_for if node})}")
        desk.finish(0, "returned", note=2)
        desk.finish(1, "returned", note=1)
        self.check("waits", desk.lines)

    def test_failing_parents_are_asked_for_cached_copies(self) -> None:
        """Parents that refuse only what they miss are alive: the origin opens, they still serve copies."""
        desk, returned = RouterDriver("c1 c2 p1 p2 p3 o"), 0
        for get in range(200):
            desk.start(get)
            while (get, desk.attempts.get(get, 0) - 1) in desk.router.pending:
                forward, cached = desk.sent[get, desk.attempts[get] - 1], get % 2
                returned += cached and forward.only_if_cached
                lookup_only = forward.source == forward.cache or (forward.only_if_cached and not cached)
                result = "lacking" if lookup_only else "returned" if cached else "shed"
                desk.finish(get, result, note=2 * cached, took=300)
            desk.advance(300)
        states = {n.name for n in desk.router.nodes.values() if n.breaker.state != "Closed"}
        self.assertEqual(states, {"o"})
        self.assertGreater(returned, 50)

    def test_many_gateways_warm_a_cold_parent_without_overload(self) -> None:
        """A gateway's share of the cold budget is below one GET a second: it accumulates, and the gateways
        must not spend it in step."""
        desks = [RouterDriver("c1 p1 p2 o", gateways=60, location_gateways=12) for _ in range(60)]
        spans = list[float]()
        for place, desk in enumerate(desks):
            desk.router.rng.state = place * 0x9E3779B97F4A7C15
            desk.handle(i.ListUpdate("changes", (entry("p1", since=desk.now),)))
        for second in range(20):
            asked = 0.0
            for place, desk in enumerate(desks):
                desk.now += S
                get = second * 100 + place
                desk.start(get)
                asked += 0.6 * (desk.sent[get, 0].source == "p1")
                desk.finish(get, "returned", note=2)
            spans.append(asked / (20 * (0.06 + 0.94 * (second + 1) / 22)))
        self.assertGreater(sum(map(bool, spans[:10])), 4)  # it is used from early on
        self.assertLess(max(spans), 1.0)  # and never beyond its capacity

    def test_healthy_origin_is_not_opened_by_a_loaded_cache(self) -> None:
        """Fills hang at a loaded cache while others return through the same parent and origin."""
        for origin_fills in (True, False):
            desk = RouterDriver("c1 p1 p2 o", fill_codes="all", gateways=1)
            for get in range(200):
                desk.start(get, service=1)
                if (get, 0) in desk.sent and get % 3 and get not in range(120, 140):
                    desk.finish(get, "returned", note=3 if origin_fills else 2)
                desk.advance(300)
            opened = [line for line in desk.lines if "origin o Open" in line]
            self.assertEqual(bool(opened), not origin_fills)

    def test_broken_connection_is_one_failure(self) -> None:
        """Ten forwards of one source break: no breaker opens, and all are retried at the same cache."""
        desk = RouterDriver("c1 c2 p1 o")
        for get in range(22):
            desk.start(get)
        on_it = [get for get in range(22) if desk.sent[get, 0].cache == "c1"]
        desk.finish(on_it.pop(), "returned", note=2)
        for place, get in enumerate(on_it):
            desk.finish(get, "broken", shared=place > 0)
        desk.advance(2000)
        self.assertGreater(len(on_it), 9)
        self.assertFalse([line for line in desk.lines if "Open" in line or "shed" in line])
        self.assertEqual({desk.sent[get, 1].source for get in on_it}, {"c1"})  # no fill
        desk.finish(on_it[0], "broken")
        self.assertEqual(desk.sent[on_it[0], 2].cache, "c2")

    def test_hung_forwards_of_one_connection_are_counted_separately(self) -> None:
        """A known limitation: the router cannot see that the forwards share a connection."""
        desk = RouterDriver("c1 p1 o", collapses_fills=False)
        for get in range(8):
            desk.start(get)
        desk.advance(12 * S // 10)
        self.check("silent-together", desk.lines)

    def test_each_answer_of_a_busy_cache_raises_its_load(self) -> None:
        """A known limitation: answers that carry one report raise the estimate four times within 1 ms."""
        desk, lines = RouterDriver("c1 p1 o", location_gateways=3), list[str]()
        for get in range(5):
            desk.start(get)
        cache = desk.router.nodes["c1"]
        for get in range(5):
            desk.now += 2
            desk.finish(get, "returned", 1, busy=1.0)
            lines.append(
                f"{cache.in_flight} in flight, reported {cache.reported_load:.0f}, "
                f"load {desk.router.load(cache):.2f}"
            )
        self.check("told-together", lines)

    def test_learnt_overload_of_the_link_decays(self) -> None:
        """GETs shed because of it cause no fills: without the decay, the link would stay full for good."""
        desk, lines = RouterDriver("c1 p1 o"), list[str]()
        for get in range(40):
            desk.start(get)
            desk.finish(get, "returned", 2, took=20_000)
        for seconds in (0, 5, 10, 30):
            desk.now += seconds * S
            desk.handle(i.Woken())
            lines.append(f"{seconds} s later {desk.router.link_load():.2f}")
        self.check("link-fades", lines)

    def test_caches_that_join_and_leave(self) -> None:
        """New ids replace old ones all day: a node is forgotten once it has left and has no forwards."""
        desk = RouterDriver("c0 p1 o")
        for number in range(1, 50):
            desk.start(number, object_id=f"/o/{number}")
            new, old = f"c{number}", f"c{number - 1}"
            desk.handle(i.ListUpdate("changes", (entry(new), entry(old, "leaving"))))
            desk.handle(i.ListUpdate("changes", (entry(old, "left"),)))
            self.assertEqual(set(desk.router.nodes), {old, new, "p1", "o"})
            desk.finish(number, "returned", note=2)
        desk.handle(i.ListUpdate("full", (entry("p1"), entry("o"))))
        self.assertEqual(set(desk.router.nodes), {"p1", "o"})

    def test_unusual_lists(self) -> None:
        """Hundreds of entries, an old list after a restart, an id that returns, an empty list."""
        desk = RouterDriver(location_gateways=12, gateways=300)
        many = tuple(replace(entry("c9"), cache=f"x{place}") for place in range(400))
        desk.handle(i.ListUpdate("full", (*many, entry("c1"), entry("p1"), entry("o"))))
        desk.start(1)
        desk.handle(i.ListUpdate("full", ()))
        desk.start(2)
        self.assertNotIn(2, desk.attempts)
        desk.handle(i.ListUpdate("changes", (entry("c1", since=desk.now), entry("p1", "left"), entry("p2"))))
        desk.handle(i.ListUpdate("cached", (entry("c1"), entry("c2"), entry("p1"), entry("o"))))
        desk.start(3)
        self.assertIn(desk.sent[3, 0].cache, {"c1", "c2"})
        self.assertIn(desk.sent[3, 0].source, {"p1", "o", desk.sent[3, 0].cache})


class Guarantees(TraceCase):
    def test_final_answer_before_the_viewer_timeout(self) -> None:
        desk = RouterDriver(allows_recall=False)
        desk.start(1, left=3000)
        desk.advance(2979)
        self.assertIn(1, desk.router.gets)
        desk.advance(20)
        desk.finish(1, "expired")
        desk.handle(i.ClientLeft(1))
        self.check("in-time", desk.lines)

    def test_idempotency_kinds(self) -> None:
        desk = RouterDriver()
        for get, (service, result) in enumerate(
            [(2, "broken"), (2, "shed"), (3, "expired"), (3, "shed"), (3, "lacking")]
        ):
            desk.start(get, service=service)
            desk.finish(get, result)
        desk.start(8, service=2)
        desk.finish(8, "broken")  # may have executed; the next one surely has not, which must not undo that
        desk.finish(8, "shed")
        may_have_run = desk.router.gets[8].may_have_run
        assert may_have_run is not None
        self.assertEqual(
            (may_have_run.attempt, may_have_run.sent_at, may_have_run.cache),
            (0, desk.now, desk.router.nodes[desk.sent[8, 0].cache]),
        )
        desk.start(9, service=2)
        desk.advance(3 * S - 20)  # the token has expired: no other forward is allowed
        desk.finish(9, "broken")
        self.check("effects", desk.lines)

    def test_tokened_get_stays_in_its_cell(self) -> None:
        order = replace(ORDER, token_scope="cell")
        desk = RouterDriver(services=(TILES, PAGES, order, order))
        desk.handle(i.ListUpdate("changes", (entry("c1", cell=1), entry("c2", cell=2))))
        for get in range(6):
            desk.start(get, service=2)
            desk.finish(get, "broken")
        self.check("cells", desk.lines)

    def test_no_hedge_where_none_is_allowed(self) -> None:
        desk = RouterDriver(allows_hedges=False)
        for get in range(8):
            desk.start(get, object_id="/o/same")
        desk.advance(2 * S)
        self.assertEqual(set(desk.attempts.values()), {1})

    def test_leaving_and_removed_nodes_are_not_used(self) -> None:
        desk = RouterDriver()
        desk.handle(i.ListUpdate("changes", (entry("c1", "leaving"), entry("p1", "left"))))
        for get in range(8):
            desk.start(get)
        used = {name for forward in desk.sent.values() for name in (forward.cache, forward.source)}
        self.assertEqual(used, {"c2", "p2"})
        desk.handle(i.ListUpdate("full", (entry("c1"), entry("o"))))
        desk.start(9)
        self.assertEqual((desk.sent[9, 0].cache, desk.sent[9, 0].source), ("c1", "o"))

    def test_cold_budget(self) -> None:
        """A cache and a parent that have just started get few objects, and more as they warm up."""
        desk, lines = RouterDriver("c1 c2 c3 p1 p2 o"), list[str]()
        desk.handle(i.ListUpdate("changes", (entry("c1", since=desk.now), entry("p1", since=desk.now))))
        for second in range(0, 24, 4):
            shares = {"c1": 0, "p1": 0}
            for get in range(second * 100, second * 100 + 100):
                desk.start(get)
                for name in (desk.sent[get, 0].cache, desk.sent[get, 0].source):
                    shares[name] = shares.get(name, 0) + 1
                desk.now += 100
                desk.finish(get, "returned", note=2)
            lines.append(
                f"after {second} s: {shares['c1']} of 100 to the cold cache, {shares['p1']} to the parent"
            )
            desk.advance(3 * S, S)
        self.check("cold", lines)

    def test_purge_of_an_object_and_a_group(self) -> None:
        desk = RouterDriver()
        desk.handle(i.Purged("/o/a", 3, 1000))
        desk.handle(i.Purged("", 5, 500))
        for get, (thing, group) in enumerate([("/o/a", 3), ("/o/b", 3), ("/o/c", 5)]):
            desk.start(get, object_id=thing, group=group)
        desk.advance(6 * S, 1000)
        desk.start(7, object_id="/o/a", group=3)
        self.assertFalse(desk.router.purges)
        self.check("purge", desk.lines)

    def test_saturated_caches(self) -> None:
        """GETs are queued, first forwards before retries; one that waits too long is shed at once."""
        desk = RouterDriver("c1 c2 p1 o")
        desk.handle(i.ListUpdate("changes", (entry("c1", units=1), entry("c2", units=1))))
        for get in range(14):
            desk.start(get, service=get % 2)
        for get in range(5):
            desk.finish(get, "returned" if get else "shed", note=1)
        desk.advance(3100)
        self.check("full-house", desk.lines)

    def test_list_that_must_be_subscribed_to(self) -> None:
        desk = RouterDriver(must_subscribe=True)
        desk.handle(i.ListUpdate("lost", ()))
        desk.advance(5 * S)
        self.check("asking", desk.lines)


WIRE = """BEGIN_BATCH ts=1000000 frame=1
ENLIST gateway=gateway/0 nonce64=5 params={"balancers":1,"kinds":["box","origin"],"myZone":"shop",\
"zones":["shop"],\
"lanes":[{"name":"tiles","onTime":600000,"hardLimit":6000000,"idempotency":"idempotent"}],"newKey":1,\
"familyInfo":{"shieldKind":-1,"masterKind":1,"says":"hit"},"limits":{"maxAttempts":3},"tick":2000}
DIRECTORY_UPDATE gateway=gateway/0 kind=C gen=1 items=2
M locality=shop cache=10.0.0.1:7000 state=active units=4 cluster=0 model=box
M locality=hub cache=10.0.0.2:7000 state=active units=1 cluster=0 model=origin
GO
BEGIN_BATCH ts=1002000 frame=2
ACCEPT gateway=gateway/0 xid=77 left=900000 contentId=/o/x labelNo=2 tierClass=tiles
DATAGRAM gateway=gateway/0 neighbour=1 data=aGk=
GO
BEGIN_BATCH ts=1060000 frame=3
CLOSED_ATTEMPT gateway=gateway/0 xid=77 code=delivered leg=0 delaySeen=58000 remark=2 \
over=1 cache=10.0.0.1:7000
CLOSED_ATTEMPT gateway=gateway/0 xid=99 code=expired leg=0 delaySeen=58000 over=1 cache=10.0.0.9:7000
GONE gateway=gateway/0 xid=77
RETIRE gateway=gateway/0
GO
"""


class BenchProtocol(TraceCase):
    def serve(self, text: str) -> list[str]:
        out = io.StringIO()
        serve(text.splitlines(), out)
        return out.getvalue().splitlines()

    def test_transcript(self) -> None:
        self.check("wire", self.serve(WIRE))

    def test_malformed_lines_are_reported(self) -> None:
        for bad in (
            "ACCEPT gateway=gateway/9 xid=1",
            "NOISE gateway=gateway/0",
            "WAKE gateway",
            "BEGIN_BATCH ts=1 frame=2",
        ):
            with redirect_stdout(io.StringIO()) as output, self.assertRaises(codec.ProtocolError):
                self.serve("BEGIN_BATCH ts=1 frame=1\n" + bad)
            self.assertEqual(output.getvalue(), "")

    def test_footprint_without_parents(self) -> None:
        self.assertEqual(FOOTPRINT.parent_model, "parent")
        parts = codec.split_line(WIRE.splitlines()[1])[1]
        started = codec.decode_event("ENLIST", parts, (), {})
        assert isinstance(started, i.Started)
        self.assertEqual((started.deployment.parent_model, started.deployment.origin_model), ("", "origin"))
