"""Tests of the incident analysis: clocks, accounting, rules, phases and the order of merged records."""

from __future__ import annotations

import random
import tempfile
import unittest
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from damsonstream.incident.accounting import GetLedger, total_verdicts
from damsonstream.incident.analysis import ListenerGroup, StorySelector, analyze, merge_records, summary
from damsonstream.incident.clocks import BootTimes, Clocks, Observation, align, find_steps
from damsonstream.incident.phases import PhaseDetector, SlowFillDetector
from damsonstream.incident.rules import RuleChecker
from damsonstream.records import model
from damsonstream.records.store import Item, Problem
from damsonstream.records.write_policy import Limits
from damsonstream.records.writer import Writer
from damsonstream.report.page import page
from tests.helpers import TraceCase

S, MS = 10_000, 10
PAGES = model.Service("pages", 4000, 0.0, 30_000, 2.0, 0.15, "idempotent", "all", 0)
ORDER = model.Service("order", 4000, 0.0, 30_000, 5.0, 0.15, "tokened", "zone", 3 * S)
FIRM = model.Service("firm", 4000, 0.0, 30_000, 5.0, 0.15, "non-idempotent", "all", 0)


def cache_lines(*caches: tuple[str, str, str]) -> list[model.Line]:
    return [model.Line(cache, location, state, 1.0, {"p": "hub", "o": "vault"}.get(cache[0], "box"), 0)
            for cache, location, state in caches]  # fmt: skip


class RecordScript:
    """Builds one gateway's records in order."""

    def __init__(self, boot: int = 1, name: str = "n1") -> None:
        self.boot, self.name, self.entries, self.seq, self.gets = boot, name, list[Item | Problem](), 0, 0
        self.add(model.Began(S, boot, name, "t", S, "shop", [PAGES, ORDER, FIRM], "hub", "vault", S, 3000))
        caches = cache_lines(("c1", "shop", "active"), ("c2", "other", "active"), ("p1", "hub", "active"),
                       ("o1", "hub", "active"))  # fmt: skip
        self.add(model.Listed(S, 0, True, False, caches))

    def add(self, record: model.AnyRecord) -> Any:
        self.entries.append(Item(self.boot, self.seq, record))
        self.seq += 1

    def gap(self, kind: str = "lost", count: int = 3) -> Any:
        self.entries.append(Problem(kind, self.boot, 1, 0, count))

    def restart(self) -> Any:
        self.boot, self.seq, self.gets = self.boot + 1, 0, 0
        self.entries += RecordScript(self.boot, self.name).entries
        self.seq = 2

    def take(self, at: int, service: int = 0, thing: str = "7f", group: int = 1) -> int:
        self.gets += 1
        self.add(model.Taken(at, self.gets, f"{self.gets:016x}", service, thing, group, 3 * S, False))
        return self.gets

    def send_forward(self, at: int, get: int, leg: int = 0, cache: str = "c1", source: str = "") -> Any:
        self.add(model.Sent(at, get, leg, cache, source or cache, 0, False))

    def end_forward(
        self,
        at: int,
        get: int,
        result: str = "returned",
        leg: int = 0,
        note: int = 1,
        first: int = 0,
        stamp: int = 0,
    ) -> Any:
        self.add(model.Came(at, get, leg, "c1", result, note, 100, first, False, stamp))

    def answer(self, at: int, get: int, outcome: str = "returned") -> Any:
        self.add(model.Answered(at, get, outcome, 0, 1000, 0))

    def complete_get(
        self, at: int, service: int = 0, took: int = 100, first: int = 0, outcome: str = "returned"
    ) -> Any:
        get = self.take(at, service)
        if outcome == "returned":
            self.send_forward(at, get, source="o1" if first else "")
            self.end_forward(at + took, get, note=2 if first else 1, first=first)
        self.answer(at + took, get, outcome)


class Analysis:
    """All listeners together, as `analyze` sets them up."""

    def __init__(self, clocks: Clocks | None = None) -> None:
        self.clocks = clocks or Clocks()
        self.phases, self.rules, self.stories = (
            PhaseDetector(self.clocks),
            RuleChecker(self.clocks),
            StorySelector(self.clocks),
        )
        self.listeners = ListenerGroup(self.phases, self.rules, self.stories)

    def feed(self, script: RecordScript, running: bool = False) -> GetLedger:
        ledger = GetLedger(script.name, self.listeners)
        for entry in script.entries:
            ledger.feed(entry)
        ledger.close(running)
        return ledger


class Accounting(TraceCase):
    def verdicts(self, script: RecordScript, running: bool = False) -> str:
        ledger = Analysis().feed(script, running)
        return " ".join(
            f"{verdict} {count}" for verdict, count in sorted(total_verdicts(ledger.boots).items())
        )

    def test_verdict_for_each_way_a_get_can_end(self) -> None:
        trace = list[str]()
        cases: dict[str, Callable[[RecordScript], object]] = {
            "answered": lambda s: s.complete_get(2 * S),
            "the client left": lambda s: s.add(model.Left(3 * S, s.take(2 * S))),
            "in progress when the gateway was killed": lambda s: (s.take(2 * S), s.restart()),
            "in progress when the gateway stopped cleanly": lambda s: (
                s.take(2 * S),
                s.add(model.Stopped(3 * S, "signal")),
            ),
            "in progress, with its time limit over long before the kill": lambda s: (
                s.take(2 * S),
                s.complete_get(9 * S),
                s.restart(),
            ),
            "an answer may be in a gap": lambda s: (
                s.take(2 * S),
                s.gap(),
                s.complete_get(9 * S),
                s.restart(),
            ),
            "a gap before the GET was accepted hides nothing": lambda s: (
                s.complete_get(2 * S),
                s.gap(),
                s.take(4 * S),
                s.complete_get(9 * S),
                s.restart(),
            ),
            "a gap that the gateway recorded": lambda s: (
                s.take(2 * S),
                s.add(model.Dropped(3 * S, 25_000, 40, "full")),
                s.complete_get(9 * S),
                s.restart(),
            ),
            "two answers": lambda s: (s.complete_get(2 * S), s.answer(3 * S, 1)),
            "two answers while a forward is pending": lambda s: (
                s.send_forward(2 * S, s.take(2 * S)),
                s.answer(21_000, 1),
                s.answer(22_000, 1, "shed"),
                s.end_forward(3 * S, 1),
            ),
            "three answers": lambda s: (s.complete_get(2 * S), s.answer(3 * S, 1), s.answer(3 * S, 1)),
            "an answer after the client left": lambda s: (
                s.add(model.Left(3 * S, s.take(2 * S))),
                s.answer(3 * S, 1),
            ),
            "an answer to an unknown GET": lambda s: (s.complete_get(2 * S), s.answer(3 * S, 77)),
            "an answer to a GET whose start is in a gap": lambda s: (
                s.complete_get(2 * S),
                s.gap(),
                s.answer(3 * S, 2),
            ),
            "accepted twice": lambda s: (
                s.complete_get(2 * S),
                s.add(model.Taken(3 * S, 1, "a", 0, "7f", 1, S, False)),
            ),
        }
        for name, build in cases.items():
            script = RecordScript()
            build(script)
            trace.append(f"{name}: {self.verdicts(script)}")
        script = RecordScript()
        script.take(2 * S)
        trace.append(f"in progress while the gateway runs: {self.verdicts(script, running=True)}")
        self.check("accounting", trace)

    @given(st.lists(st.sampled_from(["whole", "left", "none", "twice"]), max_size=30), st.randoms())
    @settings(max_examples=60)
    def test_verdicts_add_up_to_the_gets(self, kinds: list[str], rng: random.Random) -> None:
        script, at = RecordScript(), 2 * S
        for kind in kinds:
            at += rng.randrange(S)
            if kind in ("whole", "twice"):
                script.complete_get(at)
            else:
                get = script.take(at)
                if kind == "left":
                    script.add(model.Left(at + 1, get))
            if kind == "twice":
                script.answer(at + 200, script.gets)
        script.add(model.Stopped(at + 10 * S, "signal"))
        found = {v: n for v, n in total_verdicts(Analysis().feed(script).boots).items() if n}
        names = {"whole": "once"}
        expected = {names.get(k, k): kinds.count(k) for k in kinds}
        self.assertEqual(found, expected)


class RuleChecks(TraceCase):
    def describe_findings(self, script: RecordScript) -> str:
        analysis = Analysis()
        analysis.feed(script)
        shown = [f for f in analysis.rules.findings() if f.broken or f.untold]
        return (
            "; ".join(f"rule {f.number} {f.verdict}: {(f.examples or [f.why])[0]}" for f in shown)
            or "all kept"
        )

    def test_each_rule_broken_and_kept(self) -> None:
        trace = list[str]()

        def add_case(name: str, *steps: object) -> None:
            trace.append(f"{name}: {self.describe_findings(script)}")

        for name, delay in (("in time, within the tolerance", 3 * S + 400), ("late", 3 * S + 900)):
            script = RecordScript()
            script.complete_get(2 * S, took=delay)
            add_case(name)
        script = RecordScript()
        script.complete_get(2 * S)
        script.send_forward(2 * S + 200, 1, 1)
        add_case("a forward for a GET that has ended")
        script = RecordScript()
        get = script.take(2 * S)
        script.send_forward(2 * S, get)
        script.answer(21_000, get)
        script.send_forward(21_100, get, 1)
        add_case("a forward after the answer, one still pending")
        for service, result, cache, at in (
            (2, "broken", "c1", 0), (2, "shed", "c1", 0), (1, "broken", "c1", 0), (1, "broken", "c2", 0),
            (1, "broken", "c1", 4 * S), (0, "broken", "c2", 0),
        ):  # fmt: skip
            script = RecordScript()
            get = script.take(2 * S, service)
            script.send_forward(2 * S, get)
            script.end_forward(2 * S + 100, get, result)
            script.send_forward(2 * S + 200 + at, get, 1, cache)
            script.answer(21_000, get)
            add_case(
                f"{(PAGES, ORDER, FIRM)[service].name} retried at {cache} after {result}, {at / S:g} s later"
            )
        for service in (1, 2):
            script = RecordScript()
            get = script.take(2 * S, service)
            script.send_forward(2 * S, get)
            script.answer(21_000, get, "shed")
            add_case(f"{(PAGES, ORDER, FIRM)[service].name} shed with a forward pending")
        for after in (S, 2 * S):
            script = RecordScript()
            script.add(model.Listed(2 * S, 5, False, False, cache_lines(("p1", "hub", "leaving"))))
            get = script.take(2 * S + after)
            script.send_forward(2 * S + after, get, source="p1")
            script.answer(3 * S + after, get)
            add_case(f"a draining source used {after / S:g} s later")
        for sent, stamp in ((2000, 0), (4000, 0), (4000, 1500), (4000, 2500)):
            script = RecordScript()
            script.add(model.Purge(2 * S, 5, "", 1, 2 * S))
            get = script.take(2 * S + sent)
            script.send_forward(2 * S + sent, get)
            script.end_forward(3 * S + sent, get, stamp=stamp)
            script.answer(3 * S + sent, get)
            add_case(f"sent {sent / MS:g} ms after a purge, copy of {stamp or 'an unknown time'}")
        self.check("rules", trace)


class Phases(TraceCase):
    def test_slow_source_breaker_overload_and_recovery(self) -> None:
        script, rng, at = RecordScript(), random.Random(3), 2 * S
        while at < 42 * S:
            at += int(rng.expovariate(20) * S)
            slow = 12 * S <= at < 20 * S
            first = (400 if slow else 40) * MS + rng.randrange(100)
            shed = 24 * S <= at < 27 * S and rng.random() < 0.6
            script.complete_get(at, took=first + 50, first=first, outcome="shed" if shed else "returned")
        script.entries.sort(key=lambda entry: entry.record.at if isinstance(entry, Item) else 0)
        script.add(model.Breaker(30 * S, "parent", "p1", "Open", 5, 9, 6.5))
        script.add(model.Breaker(35 * S, "parent", "p1", "Half-Open", 0, 0, 0))
        script.add(model.Breaker(36 * S, "parent", "p1", "Closed", 0, 0, 0))
        script.add(model.Purge(40 * S, 9, "", 4, 40 * S))
        script.add(model.Purge(40 * S + 50, 10, "", 5, 40 * S))
        analysis = Analysis()
        ledger = analysis.feed(script)
        trace = []
        for phase in analysis.phases.phases(ledger.boots):
            cost = phase.cost
            trace.append(
                f"{phase.start / S:.1f} to {phase.end / S:.1f} {phase.kind} {phase.subject}: "
                f"{'; '.join(phase.evidence)}; shed {cost.shed:.0f}, missed {cost.missed:.2f}"
            )
        self.check("phases", trace)

    def test_single_slow_or_fast_fills_neither_start_nor_end_a_phase(self) -> None:
        def spans(slow: Iterable[int]) -> list[tuple[int, int]]:
            detector, bad = SlowFillDetector(), set(slow)
            for index in range(60):
                detector.add(index * S, 4000 if index in bad else 400)
            return [(span.start // S, span.end // S) for span in detector.trouble.spans]

        self.assertEqual(spans([20, 30, 40]), [])
        self.assertEqual(spans(range(20, 40)), [(20, 39)])
        self.assertEqual(spans([*range(20, 28), *range(30, 40)]), [(20, 39)])
        self.assertEqual(spans([*range(20, 25), *range(40, 45)]), [(20, 24), (40, 44)])


def observations(
    clocks: dict[str, tuple[int, float]], events: int, gap: int, jitter: int, seed: int
) -> list[Observation]:
    """Returns observations of common events by clocks with the given offset and drift."""
    rng, observed = random.Random(seed), list[Observation]()
    for event in range(events):
        for name, (offset, drift) in clocks.items():
            true = event * gap + rng.randrange(jitter + 1)
            observed.append(Observation((name, 1), event, true + offset + round(drift * true)))
    return observed


class ClockAlignment(TraceCase):
    @given(
        st.lists(st.integers(-60 * S, 60 * S), min_size=2, max_size=7),
        st.integers(2, 30),
        st.integers(0, 200 * MS),
        st.integers(0, 99),
    )
    @settings(max_examples=80)
    def test_offsets_are_right_within_the_stated_uncertainty(
        self, offsets: list[int], events: int, jitter: int, seed: int
    ) -> None:
        clocks = {f"n{index}": (offset, 0.0) for index, offset in enumerate(offsets)}
        fitted = align(observations(clocks, events, 3 * S, jitter, seed), [])
        for one, first in enumerate(offsets):
            for other, second in enumerate(offsets):
                a, b = fitted.fits[f"n{one}", 1], fitted.fits[f"n{other}", 1]
                slack = jitter if events < 6 else 0  # a few can agree by chance
                off = abs((a.offset - b.offset) - (first - second))
                self.assertLessEqual(off, a.uncertainty + b.uncertainty + slack)

    def test_drift_restart_and_gateways_without_common_events(self) -> None:
        clocks = {"n1": (0, 0.0), "n2": (3 * S, 0.0005), "n3": (-S, 0.0)}
        boots = [BootTimes((name, 1), S, 400 * S) for name in clocks]
        boots += [BootTimes(("n2", 2), 410 * S, 500 * S, 0), BootTimes(("n4", 1), S, 400 * S)]
        fitted = align(observations(clocks, 40, 10 * S, 30 * MS, 5), boots)
        trace = []
        for (name, boot), fit in sorted(fitted.fits.items()):
            uncertainty = "?" if fit.uncertainty < 0 else f"{fit.uncertainty / MS:.0f} ms"
            trace.append(
                f"{name} boot {boot}: {fit.offset / MS:+.0f} ms, {fit.drift * 1e6:+.0f} ppm, "
                f"within {uncertainty}, {fit.basis}"
            )
        a = (("n1", 1), 5, 100 * S)
        for other, at in (("n2", 103 * S), ("n2", 110 * S), ("n4", 300 * S), ("n1", 100 * S)):
            trace.append(f"n1 at 100 s and {other} at {at / S:g} s: {fitted.compare(a, ((other, 1), 9, at))}")
        self.check("clocks", trace)

    def test_a_clock_set_back_while_running_is_a_step(self) -> None:
        pulses = [(at * S, at * S + (0 if at < 5 else -7 * S) + at) for at in range(10)]
        self.assertEqual([(at // S, round(size / S)) for at, size in find_steps(pulses)], [(5, -7)])


class StoredRecords(TraceCase):
    def setUp(self) -> None:
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.folder = Path(holder.name)

    def write(self, script: RecordScript, shift: int = 0) -> None:
        writer = Writer(self.folder, script.name, Limits())
        writer.start()
        for entry in script.entries:
            if isinstance(entry, Item):
                shifted = msgspec.structs.replace(entry.record, at=entry.record.at + shift)
                writer.put(0, model.encode(shifted))
        writer.close()

    def test_records_are_merged_by_fleet_time_and_keep_their_order_within_a_gateway(self) -> None:
        for name, shift in (("n1", 0), ("n2", 3 * S), ("n3", -2 * S)):
            script = RecordScript(name=name)
            for index in range(6):
                script.add(model.Purge((4 + index) * S, 5 + index, "", index, index * S))
            script.add(model.Purge(5 * S, 99, "late", -1, 1))  # written after, with an earlier time
            self.write(script, shift)
        trace = []
        for at, name, item in merge_records(self.folder):
            if isinstance(item.record, model.Purge):
                trace.append(f"{at / S:.1f} {name} {item.record.thing or item.record.group}")
        self.check("merged", trace)

    def test_hostile_names_are_escaped(self) -> None:
        name = "<script>alert(1)</script>\x1b[2J\x00$x^$ {{7*7}} ]]>&amp;"
        hostile = model.Service(name, 4000, 0.0, 30_000, 2.0, 0.15, "idempotent", "all", 0)
        script = RecordScript(name=name)
        script.entries[0] = Item(1, 0, model.Began(S, 1, name, name, S, name, [hostile], "hub", "vault"))
        caches = [model.Line(name, name, "active", 1.0, "vault", 0)]
        script.add(model.Listed(S, 1, False, False, caches))
        for index in range(40):
            get = script.take((2 + index) * S, thing=name)
            script.send_forward((2 + index) * S, get, cache=name, source="o1")
            first = 4000 if index > 20 else 300
            script.end_forward((2 + index) * S + first, get, "returned", note=2, first=first)
            script.answer((2 + index) * S + first, get)
        script.add(model.Breaker(60 * S, name, name, "Open", 5, 5, 5))
        script.add(model.Turned(61 * S, name, "errored", name))
        self.write(script)
        incident = analyze(self.folder)
        html = page(incident)
        self.assertNotIn("<script", html)
        self.assertNotIn("\x1b", html)
        self.assertNotIn("\x00", html)
        self.assertNotIn("http://", html.replace("http://www.w3.org/", "").replace("http://purl.org/", "")
                         .replace("http://creativecommons.org/", ""))  # fmt: skip
        self.assertIn("&lt;script&gt;alert(1)", html)
        self.assertEqual(summary(incident)["accounting"]["verdicts"], {"once": 40})


if __name__ == "__main__":
    unittest.main()
