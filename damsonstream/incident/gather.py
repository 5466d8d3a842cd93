"""Reads the records of a fleet from a folder and tells them as one `Incident`.

How it is called: `gather(folder)`; `render/` turns the result into pages. The store is gone through twice, a
segment at a time: once for the clocks, once for the rest. All judgement is in the pure modules beside this
one.
"""

from __future__ import annotations

import heapq
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from damsonstream.incident.accounting import BROKEN, GOOD, Attempt, Boot, Get, Ledger, Stray, total
from damsonstream.incident.clocks import Clocks, Sighting, Told, align, steps
from damsonstream.incident.phases import Phase, Watch
from damsonstream.incident.rules import Finding, Rules
from damsonstream.incident.words import words
from damsonstream.records import model, store
from damsonstream.records.store import Item, Problem

# Kinds that tell of clocks: the others are not even decoded in the first pass.
CLOCKS = store.tags(model.Began, model.Stopped, model.Listed, model.Purge, model.Pulse, model.Dropped)
STORIES = 24  # GETs that are told whole, of each sort


@dataclass(slots=True)
class Story:
    """One GET, told whole."""

    sort: str
    gateway: str
    boot: int
    ident: str
    service: str
    at: int  # fleet time
    verdict: str
    outcome: str
    took: int
    steps: list[tuple[int, str]]  # after how long, what


@dataclass(slots=True)
class Incident:
    folder: Path
    names: list[str]
    clocks: Clocks
    boots: list[Boot]
    phases: list[Phase]
    rules: list[Finding]
    watch: Watch
    stories: list[Story]
    problems: list[tuple[str, Problem]]
    problem_count: int
    steps: list[tuple[str, int, int, int]]  # gateway, boot, at, size: system clocks that were moved
    records: int
    bytes: int
    seconds: float  # that the reading took

    @property
    def verdicts(self) -> Counter[str]:
        return total(self.boots)

    @property
    def turned(self) -> Counter[str]:
        counted: Counter[str] = Counter()
        for boot in self.boots:
            counted.update(boot.turned)
        return counted

    @property
    def accounted(self) -> bool:
        """Every GET has one answer, or it is told why none can be owed or seen."""
        return not any(self.verdicts[verdict] for verdict in BROKEN)

    @property
    def span(self) -> tuple[int, int]:
        fleet = [
            (self.clocks.fleet(b.gateway_boot, b.first), self.clocks.fleet(b.gateway_boot, b.last))
            for b in self.boots
            if b.records
        ]
        return (min(f for f, _ in fleet), max(t for _, t in fleet)) if fleet else (0, 0)


@dataclass
class Tales:
    """Keeps the stories of a bounded number of GETs, of each sort those that tell most."""

    clocks: Clocks
    heaps: dict[str, list[tuple[float, int, Story]]] = field(default_factory=dict)
    count: int = 0

    def over(self, get: Get, verdict: str) -> None:
        answer = get.answered
        took = answer.at - get.taken.at if answer else 0
        outcome = answer.outcome if answer else ""
        if verdict not in GOOD:
            sort, weight = verdict, 0.0
        elif outcome in ("shed", "errored"):
            sort, weight = outcome, float(len(get.attempts))
        elif verdict == "left":
            sort, weight = "left", float(len(get.attempts))
        elif len(get.attempts) > 1:
            sort, weight = "several forwards", float(took)
        elif get.service and took > get.service.objective:
            sort, weight = "slow", float(took)
        else:
            sort, weight = "usual", 0.0
        heap = self.heaps.setdefault(sort, [])
        if len(heap) >= STORIES and weight <= heap[0][0]:
            return
        self.count += 1
        entry = (weight, -self.count, self.story(get, sort, verdict, outcome, took))
        heapq.heappush(heap, entry) if len(heap) < STORIES else heapq.heapreplace(heap, entry)

    def story(self, get: Get, sort: str, verdict: str, outcome: str, took: int) -> Story:
        at = self.clocks.fleet((get.gateway, get.boot), get.taken.at)
        service = get.service.name if get.service else str(get.taken.service)
        steps = [(record.at - get.taken.at, words(record)) for record in get.story]
        return Story(sort, get.gateway, get.boot, get.taken.ident, service, at, verdict, outcome, took, steps)

    def all(self) -> list[Story]:
        return [story for _, heap in sorted(self.heaps.items()) for _, _, story in sorted(heap, reverse=True,
                key=lambda entry: entry[:2])]  # fmt: skip


class Both:
    """Tells several listeners."""

    def __init__(self, watch: Watch, rules: Rules, tales: Tales) -> None:
        self.watch, self.rules, self.tales = watch, rules, tales

    def record(self, gateway: str, boot: int, record: model.AnyRecord) -> None:
        self.watch.record(gateway, boot, record)
        self.rules.record(gateway, boot, record)

    def sent(self, get: Get, sent: model.Sent) -> None:
        self.watch.sent(get, sent)
        self.rules.sent(get, sent)

    def came(self, get: Get, attempt: Attempt) -> None:
        self.watch.came(get, attempt)
        self.rules.came(get, attempt)

    def answered(self, get: Get) -> None:
        self.watch.answered(get)
        self.rules.answered(get)

    def over(self, get: Get, verdict: str) -> None:
        self.watch.over(get, verdict)
        self.rules.over(get, verdict)
        self.tales.over(get, verdict)

    def stray(self, gateway: str, boot: int, record: Stray) -> None:
        self.rules.stray(gateway, boot, record)


def sightings(
    name: str, entries: Iterable[Item | Problem]
) -> Iterator[Sighting | Told | tuple[str, int, int, int]]:
    """What one gateway's records tell of its clocks: common events, its boots, steps of the system's
    clock."""
    boot, first, last = -1, 0, 0
    pulses: list[tuple[int, int]] = []

    def ended() -> Iterator[Told | tuple[str, int, int, int]]:
        moved = steps(pulses)
        yield Told((name, boot), first, last, sum(size for _, size in moved))
        for at, size in moved:
            yield (name, boot, at, size)

    for entry in entries:
        if entry.boot != boot:
            if boot >= 0:
                yield from ended()
            boot, first, last, pulses = entry.boot, 0, 0, []
        if isinstance(entry, Problem):
            continue
        record = entry.record
        first, last = first or record.at, max(last, record.at)
        if isinstance(record, model.Purge) and record.number:
            yield Sighting((name, boot), ("purge", record.thing, record.group, record.issued), record.at)
        elif isinstance(record, model.Listed) and record.number and not record.whole:
            lines = tuple(sorted((line.cache, line.state, line.since) for line in record.lines))
            yield Sighting((name, boot), ("list", lines), record.at)
        elif isinstance(record, model.Pulse | model.Began):
            pulses.append((record.at, record.unix))
    if boot >= 0:
        yield from ended()


def read_clocks(folders: dict[str, Path]) -> tuple[Clocks, list[tuple[str, int, int, int]]]:
    seen: list[Sighting] = []
    boots: list[Told] = []
    moved: list[tuple[str, int, int, int]] = []
    for name, folder in folders.items():
        for found in sightings(name, store.Reader(folder).read(CLOCKS)):
            if isinstance(found, Sighting):
                seen.append(found)
            elif isinstance(found, Told):
                boots.append(found)
            else:
                moved.append(found)
    return align(seen, boots), moved


MOST_PROBLEMS = 200


def gather(folder: Path, names: Iterable[str] = (), running: bool = False) -> Incident:
    """`running`: gateways may still write, so that what is open at the end is not lost."""
    began = time.monotonic()
    folders = store.gateways(folder)
    wanted = list(names)
    if wanted:
        folders = {name: path for name, path in folders.items() if name in wanted}
    clocks, moved = read_clocks(folders)
    watch, rules, tales = Watch(clocks), Rules(clocks), Tales(clocks)
    listener = Both(watch, rules, tales)
    boots: list[Boot] = []
    problems: list[tuple[str, Problem]] = []
    count = size = problem_count = 0
    for name, path in folders.items():
        reader, ledger = store.Reader(path), Ledger(name, listener)
        for entry in reader.read():
            if isinstance(entry, Problem):
                problem_count += 1
                if len(problems) < MOST_PROBLEMS:
                    problems.append((name, entry))
            else:
                count += 1
            ledger.feed(entry)
        ledger.close(running)
        boots += ledger.boots
        size += reader.bytes
    phases, findings, stories = watch.phases(boots), rules.findings(), tales.all()
    return Incident(folder, list(folders), clocks, boots, phases, findings, watch, stories, problems,
                    problem_count, moved, count, size, time.monotonic() - began)  # fmt: skip


def merged(folder: Path, names: Iterable[str] = ()) -> Iterator[tuple[int, str, Item]]:
    """All records in fleet time, in bounded memory; within a gateway their own order is kept."""
    folders = store.gateways(folder)
    wanted = set(names) or set(folders)
    clocks, _ = read_clocks(folders)

    def one(name: str) -> Iterator[tuple[int, str, int, Item]]:
        latest = 0
        for place, entry in enumerate(store.Reader(folders[name]).read()):
            if isinstance(entry, Item):
                # a clock that was set back between two boots does not bring the later one before the earlier
                latest = max(latest, clocks.fleet((name, entry.boot), entry.record.at))
                yield latest, name, place, entry

    for at, name, _, item in heapq.merge(*(one(name) for name in folders if name in wanted),
                                         key=lambda entry: entry[:3]):  # fmt: skip
        yield at, name, item


def summary(incident: Incident) -> dict[str, Any]:
    """The whole result as plain data: what `report --format json` prints. Times in Unix seconds, lengths in
    ms."""
    start, end = incident.span
    watch = incident.watch

    def seconds(at: int) -> float:
        return round(at / 10_000, 4)

    def sure(value: int) -> float | None:
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
            "complete": incident.accounted,
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
                    "uncertainty_ms": sure(fit.sure),
                    "from": fit.how,
                    "events": fit.events,
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
                "uncertainty_ms": sure(phase.sure),
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
                    outcome: round(watch.rates.total((outcome, name), start, end + 1), 1)
                    for outcome in ("taken", "returned", "late", "shed", "errored", "left", "due", "earned")
                },
                "latency_ms": watch.latencies.percentiles(name),
            }
            for name in watch.services
        },
        "system_clocks_moved": [
            {"gateway": name, "boot": boot, "at": seconds(at), "ms": size / 10}
            for name, boot, at, size in incident.steps
        ],
        "problems": [
            {"gateway": name, "kind": p.kind, "boot": p.boot, "segment": p.segment, "at": p.at,
             "records": p.count, "detail": p.detail}
            for name, p in incident.problems
        ],
    }  # fmt: skip
