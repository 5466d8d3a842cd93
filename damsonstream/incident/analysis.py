"""Reads the records of a fleet from a folder and analyzes them as one `Incident`.

`analyze(folder)` returns the result and `summary(incident)` the same as plain data. The records are read
twice, one segment at a time: first to align the clocks, then for everything else. The analysis itself is in
the pure modules of this package.
"""

from __future__ import annotations

import heapq
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from damsonstream.incident.accounting import (
    COMPLETE,
    VIOLATIONS,
    Boot,
    Forward,
    Get,
    GetLedger,
    StrayRecord,
    total_verdicts,
)
from damsonstream.incident.clocks import BootTimes, Clocks, Observation, align, find_steps
from damsonstream.incident.describe import describe_step
from damsonstream.incident.phases import Phase, PhaseDetector
from damsonstream.incident.rules import Finding, RuleChecker
from damsonstream.records import model, store
from damsonstream.records.store import Item, Problem

# Kinds that are used to align clocks; the first pass does not decode any others.
CLOCK_KINDS = store.kind_tags(
    model.Began, model.Stopped, model.Listed, model.Purge, model.Pulse, model.Dropped
)
MAX_STORIES = 24  # for each sort of story


@dataclass(slots=True)
class Story:
    """The full history of one GET."""

    sort: str  # verdict, outcome or cause for which the GET was selected
    gateway: str
    boot: int
    ident: str
    service: str
    at: int  # fleet time
    verdict: str
    outcome: str
    took: int  # from its acceptance to the final answer
    steps: list[tuple[int, str]]  # time since its acceptance, description


@dataclass(slots=True)
class Incident:
    """The result of the analysis."""

    folder: Path
    names: list[str]  # of the gateways
    clocks: Clocks
    boots: list[Boot]
    phases: list[Phase]
    rules: list[Finding]
    detector: PhaseDetector
    stories: list[Story]
    problems: list[tuple[str, Problem]]
    problem_count: int
    clock_steps: list[tuple[str, int, int, int]]  # steps of system clocks: gateway, boot, time, size
    records: int
    bytes: int
    seconds: float  # duration of the analysis

    @property
    def verdicts(self) -> Counter[str]:
        return total_verdicts(self.boots)

    @property
    def turned(self) -> Counter[str]:
        reasons: Counter[str] = Counter()
        for boot in self.boots:
            reasons.update(boot.turned)
        return reasons

    @property
    def complete(self) -> bool:
        """Whether the accounting is complete: each GET has one answer or a valid reason for having none."""
        return not any(self.verdicts[verdict] for verdict in VIOLATIONS)

    @property
    def span(self) -> tuple[int, int]:
        fleet = [
            (self.clocks.fleet(b.gateway_boot, b.first), self.clocks.fleet(b.gateway_boot, b.last))
            for b in self.boots
            if b.records
        ]
        return (min(f for f, _ in fleet), max(t for _, t in fleet)) if fleet else (0, 0)


@dataclass
class StorySelector:
    """Selects the stories to report: for each sort, a bounded number with the highest weight."""

    clocks: Clocks
    heaps: dict[str, list[tuple[float, int, Story]]] = field(default_factory=dict)
    sequence: int = 0

    def get_ended(self, get: Get, verdict: str) -> None:
        """Offers a GET that has ended; its sort and weight depend on its verdict, outcome and duration."""
        answer = get.answered
        duration = answer.at - get.taken.at if answer else 0
        outcome = answer.outcome if answer else ""
        if verdict not in COMPLETE:
            sort, weight = verdict, 0.0
        elif outcome in ("shed", "errored"):
            sort, weight = outcome, float(len(get.forwards))
        elif verdict == "left":
            sort, weight = "left", float(len(get.forwards))
        elif len(get.forwards) > 1:
            sort, weight = "several forwards", float(duration)
        elif get.service and duration > get.service.objective:
            sort, weight = "slow", float(duration)
        else:
            sort, weight = "usual", 0.0
        heap = self.heaps.setdefault(sort, [])
        if len(heap) >= MAX_STORIES and weight <= heap[0][0]:
            return
        self.sequence += 1
        entry = (weight, -self.sequence, self.story(get, sort, verdict, outcome, duration))
        heapq.heappush(heap, entry) if len(heap) < MAX_STORIES else heapq.heapreplace(heap, entry)

    def story(self, get: Get, sort: str, verdict: str, outcome: str, duration: int) -> Story:
        at = self.clocks.fleet((get.gateway, get.boot), get.taken.at)
        service = get.service.name if get.service else str(get.taken.service)
        steps = [(record.at - get.taken.at, describe_step(record)) for record in get.history]
        return Story(
            sort, get.gateway, get.boot, get.taken.ident, service, at, verdict, outcome, duration, steps
        )

    def selected(self) -> list[Story]:
        return [story for _, heap in sorted(self.heaps.items()) for _, _, story in sorted(heap, reverse=True,
                key=lambda entry: entry[:2])]  # fmt: skip


class ListenerGroup:
    """Passes events on to several listeners."""

    def __init__(self, phases: PhaseDetector, rules: RuleChecker, stories: StorySelector) -> None:
        self.phases, self.rules, self.stories = phases, rules, stories

    def record(self, gateway: str, boot: int, record: model.AnyRecord) -> None:
        self.phases.record(gateway, boot, record)
        self.rules.record(gateway, boot, record)

    def forward_sent(self, get: Get, sent: model.Sent) -> None:
        self.phases.forward_sent(get, sent)
        self.rules.forward_sent(get, sent)

    def forward_ended(self, get: Get, leg: Forward) -> None:
        self.phases.forward_ended(get, leg)
        self.rules.forward_ended(get, leg)

    def answered(self, get: Get) -> None:
        self.phases.answered(get)
        self.rules.answered(get)

    def get_ended(self, get: Get, verdict: str) -> None:
        self.phases.get_ended(get, verdict)
        self.rules.get_ended(get, verdict)
        self.stories.get_ended(get, verdict)

    def stray(self, gateway: str, boot: int, record: StrayRecord) -> None:
        self.rules.stray(gateway, boot, record)


def clock_evidence(
    gateway: str, entries: Iterable[Item | Problem]
) -> Iterator[Observation | BootTimes | tuple[str, int, int, int]]:
    """Yields one gateway's observations of common events, its boots, and the steps of its system clock."""
    boot, first, last = -1, 0, 0
    pulses: list[tuple[int, int]] = []

    def finish_boot() -> Iterator[BootTimes | tuple[str, int, int, int]]:
        clock_steps = find_steps(pulses)
        yield BootTimes((gateway, boot), first, last, sum(size for _, size in clock_steps))
        for at, size in clock_steps:
            yield (gateway, boot, at, size)

    for entry in entries:
        if entry.boot != boot:
            if boot >= 0:
                yield from finish_boot()
            boot, first, last, pulses = entry.boot, 0, 0, []
        if isinstance(entry, Problem):
            continue
        record = entry.record
        first, last = first or record.at, max(last, record.at)
        if isinstance(record, model.Purge) and record.number:
            yield Observation(
                (gateway, boot), ("purge", record.thing, record.group, record.issued), record.at
            )
        elif isinstance(record, model.Listed) and record.number and not record.whole:
            lines = tuple(sorted((line.cache, line.state, line.since) for line in record.lines))
            yield Observation((gateway, boot), ("list", lines), record.at)
        elif isinstance(record, model.Pulse | model.Began):
            pulses.append((record.at, record.unix))
    if boot >= 0:
        yield from finish_boot()


def align_clocks(folders: dict[str, Path]) -> tuple[Clocks, list[tuple[str, int, int, int]]]:
    """Reads the clock evidence of all gateways; returns the clocks and the steps of system clocks."""
    observed: list[Observation] = []
    boots: list[BootTimes] = []
    clock_steps: list[tuple[str, int, int, int]] = []
    for name, folder in folders.items():
        for found in clock_evidence(name, store.Reader(folder).read(CLOCK_KINDS)):
            if isinstance(found, Observation):
                observed.append(found)
            elif isinstance(found, BootTimes):
                boots.append(found)
            else:
                clock_steps.append(found)
    return align(observed, boots), clock_steps


MAX_PROBLEMS = 200


def analyze(folder: Path, names: Iterable[str] = (), running: bool = False) -> Incident:
    """Analyzes the records in a folder, of all gateways or only of those in `names`.

    `running`: the gateways may still be writing, so GETs in progress at the end do not count as lost.
    """
    started = time.monotonic()
    folders = store.gateway_folders(folder)
    wanted = list(names)
    if wanted:
        folders = {name: path for name, path in folders.items() if name in wanted}
    clocks, clock_steps = align_clocks(folders)
    detector, checker, selector = PhaseDetector(clocks), RuleChecker(clocks), StorySelector(clocks)
    listener = ListenerGroup(detector, checker, selector)
    boots: list[Boot] = []
    problems: list[tuple[str, Problem]] = []
    count = size = problem_count = 0
    for name, path in folders.items():
        reader, ledger = store.Reader(path), GetLedger(name, listener)
        for entry in reader.read():
            if isinstance(entry, Problem):
                problem_count += 1
                if len(problems) < MAX_PROBLEMS:
                    problems.append((name, entry))
            else:
                count += 1
            ledger.feed(entry)
        ledger.close(running)
        boots += ledger.boots
        size += reader.bytes_read
    phases, findings, stories = detector.phases(boots), checker.findings(), selector.selected()
    return Incident(folder, list(folders), clocks, boots, phases, findings, detector, stories, problems,
                    problem_count, clock_steps, count, size, time.monotonic() - started)  # fmt: skip


def merge_records(folder: Path, names: Iterable[str] = ()) -> Iterator[tuple[int, str, Item]]:
    """Yields all records ordered by fleet time, in bounded memory; the order within a gateway is kept."""
    folders = store.gateway_folders(folder)
    wanted = set(names) or set(folders)
    clocks, _ = align_clocks(folders)

    def gateway_entries(name: str) -> Iterator[tuple[int, str, int, Item]]:
        latest = 0
        for index, entry in enumerate(store.Reader(folders[name]).read()):
            if isinstance(entry, Item):
                # keeps boots in order even if the clock was set back between them
                latest = max(latest, clocks.fleet((name, entry.boot), entry.record.at))
                yield latest, name, index, entry

    for at, name, _, item in heapq.merge(*(gateway_entries(name) for name in folders if name in wanted),
                                         key=lambda entry: entry[:3]):  # fmt: skip
        yield at, name, item


def summary(incident: Incident) -> dict[str, Any]:
    """Returns the result as plain data for `report --format json`: times in Unix seconds, durations in ms."""
    start, end = incident.span
    detector = incident.detector

    def seconds(at: int) -> float:
        return round(at / 10_000, 4)

    def uncertainty_ms(value: int) -> float | None:
        return None if value < 0 else value / 10

    return {
        "form": 1,
        "span": {"start": seconds(start), "end": seconds(end)},
        "read": {
            "records": incident.records,
            "bytes": incident.bytes,
            "seconds": round(incident.seconds, 3),
            "problems": incident.problem_count,
        },
        "accounting": {
            "gets": sum(incident.verdicts.values()) + sum(incident.turned.values()),
            "complete": incident.complete,
            "verdicts": dict(sorted(incident.verdicts.items())),
            "turned": dict(sorted(incident.turned.items())),
        },
        "gateways": [
            {
                "name": boot.gateway,
                "boot": boot.number,
                "start": seconds(incident.clocks.fleet(boot.gateway_boot, boot.first)),
                "end": seconds(incident.clocks.fleet(boot.gateway_boot, boot.last)),
                "clean_end": boot.stopped,
                "records": boot.records,
                "verdicts": dict(sorted(boot.verdicts.items())),
                "clock": {
                    "offset_ms": fit.offset / 10,
                    "drift_ppm": round(fit.drift * 1e6, 1),
                    "uncertainty_ms": uncertainty_ms(fit.uncertainty),
                    "from": fit.basis,
                    "events": fit.event_count,
                },
                "gaps": [
                    {
                        "start": seconds(incident.clocks.fleet(boot.gateway_boot, since)),
                        "end": seconds(incident.clocks.fleet(boot.gateway_boot, until)),
                        "records": count,
                        "why": why,
                    }
                    for since, until, count, why in boot.gaps
                ],
            }
            for boot in incident.boots
            if (fit := incident.clocks.fits[boot.gateway_boot])
        ],
        "phases": [
            {
                "kind": phase.kind,
                "subject": phase.subject,
                "start": seconds(phase.start),
                "end": seconds(phase.end),
                "open": phase.open,
                "uncertainty_ms": uncertainty_ms(phase.sure),
                "gateways": phase.gateways,
                "evidence": phase.evidence,
                "cost": {
                    name: round(getattr(phase.cost, name), 1)
                    for name in ("taken", "returned", "late", "shed", "errored", "left", "due", "earned")
                },
            }
            for phase in incident.phases
        ],
        "rules": [
            {"rule": f.number, "name": f.name, "verdict": f.verdict, "cases": f.cases, "broken": f.broken,
             "untold": f.untold, "why": f.why, "examples": f.examples}
            for f in incident.rules
        ],
        "services": {
            name: {
                **{
                    outcome: round(detector.rates.total((outcome, name), start, end + 1), 1)
                    for outcome in ("taken", "returned", "late", "shed", "errored", "left", "due", "earned")
                },
                "latency_ms": detector.latencies.percentiles(name),
            }
            for name in detector.services
        },
        "system_clocks_moved": [
            {"gateway": name, "boot": boot, "at": seconds(at), "ms": size / 10}
            for name, boot, at, size in incident.clock_steps
        ],
        "problems": [
            {"gateway": name, "kind": p.kind, "boot": p.boot, "segment": p.segment, "at": p.at,
             "records": p.count, "detail": p.detail}
            for name, p in incident.problems
        ],
    }  # fmt: skip
