"""Whether each GET has exactly one final answer, from one gateway's records. No I/O.

How it is called: `Ledger(gateway, listener)` is fed records and problems in order with `feed(...)`, and
closed with `close(...)`; it calls the listener as GETs begin, go on and end, and collects a verdict for each.
Memory: one byte for each GET of a boot, and the story of those that are open.

Verdicts, told apart:

    once      one final answer
    left      the client left first: no answer is owed
    crash     taken, and the gateway was killed before it answered: lost with it
    hidden    no answer is recorded, but records are missing after it was taken: can't be told
    open      taken within its time at the end of the records: still under way
    none      no answer, though nothing is missing and its time was up: the rule is broken
    twice     more than one final answer: the rule is broken
    stray     an answer to a GET that was never taken, with nothing missing before it: the rule is broken
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from damsonstream.records import model
from damsonstream.records.store import Item, Problem

GOOD = ("once", "left")
BROKEN = ("none", "twice", "stray")
TOLERANCE = 500  # tenths of a millisecond: time limits on sockets are 50 ms longer
UNTAKEN, TAKEN, ANSWERED, TWICE, LEFT, HIDDEN = range(6)
STORY = 64  # steps of a GET's story that are kept: six forwards make fourteen


@dataclass(slots=True)
class Attempt:
    """A forward of a GET."""

    attempt: int
    sent: model.Sent
    came: model.Came | None = None


@dataclass(slots=True)
class Get:
    """A GET that is open, and what was done for it."""

    gateway: str
    boot: int
    taken: model.Taken
    service: model.Service | None
    attempts: dict[int, Attempt] = field(default_factory=dict)
    answered: model.Answered | None = None
    left: int = 0  # when its client left, 0: it did not
    story: list[model.AnyRecord] = field(default_factory=list)

    @property
    def out(self) -> bool:
        return any(attempt.came is None for attempt in self.attempts.values())


Stray = model.Taken | model.Answered | model.Sent  # what belongs to no GET that is open


class Listener(Protocol):
    """Who is told of GETs as the records are gone through."""

    def record(self, gateway: str, boot: int, record: model.AnyRecord) -> None: ...
    def sent(self, get: Get, sent: model.Sent) -> None: ...
    def came(self, get: Get, attempt: Attempt) -> None: ...
    def answered(self, get: Get) -> None: ...
    def over(self, get: Get, verdict: str) -> None: ...
    def stray(self, gateway: str, boot: int, record: Stray) -> None: ...


@dataclass(slots=True)
class Boot:
    """One run of a gateway, as the records show it."""

    gateway: str
    number: int
    first: int = 0  # time of its first record
    last: int = 0
    began: model.Began | None = None
    stopped: bool = False
    records: int = 0
    gaps: list[tuple[int, int, int, str]] = field(default_factory=list)  # since, until, records, why
    verdicts: Counter[str] = field(default_factory=Counter)
    turned: Counter[str] = field(default_factory=Counter)  # answered as they came, by reason

    @property
    def gateway_boot(self) -> tuple[str, int]:
        return self.gateway, self.number


class Ledger:
    def __init__(self, gateway: str, listener: Listener) -> None:
        self.gateway, self.listener = gateway, listener
        self.boots: list[Boot] = []
        self.open: dict[int, Get] = {}  # emptied by answers, once nothing is out, and by the end of the boot
        self.states = bytearray()  # of the GETs of this boot, by number
        self.gap_at = -1  # time of the last record before the latest gap, -1: none

    @property
    def boot(self) -> Boot:
        return self.boots[-1]

    def feed(self, entry: Item | Problem) -> None:
        if not self.boots or entry.boot != self.boot.number:
            self.turn(entry.boot)
        if isinstance(entry, Problem):
            if entry.kind != "newer":
                self.gap(entry.kind, entry.count)
            return
        record, boot = entry.record, self.boot
        boot.first = boot.first or record.at
        boot.last = max(boot.last, record.at)
        boot.records += 1
        if isinstance(record, model.Sent):
            if get := self.open.get(record.get):
                get.attempts[record.attempt] = Attempt(record.attempt, record)
                self.note(get, record)
                self.listener.sent(get, record)
            elif self.state(record.get) in (ANSWERED, TWICE, LEFT):
                self.listener.stray(self.gateway, boot.number, record)
        elif isinstance(record, model.Came):
            self.came(record)
        elif isinstance(record, model.Taken):
            self.taken(record)
        elif isinstance(record, model.Answered):
            self.answered(record)
        elif isinstance(record, model.Left):
            self.left(record)
        else:
            self.other(record)

    def other(self, record: model.AnyRecord) -> None:
        boot = self.boot
        if isinstance(record, model.Began):
            boot.began = record
        elif isinstance(record, model.Stopped):
            boot.stopped = True
        elif isinstance(record, model.Turned):
            boot.turned[record.reason] += 1
        elif isinstance(record, model.Dropped):
            self.gap(record.reason, record.count, record.since)
        self.listener.record(self.gateway, boot.number, record)

    def note(self, get: Get, record: model.AnyRecord) -> None:
        if len(get.story) < STORY:
            get.story.append(record)

    def state(self, number: int) -> int:
        return self.states[number] if 0 <= number < len(self.states) else UNTAKEN

    def set(self, number: int, state: int) -> None:
        if number >= len(self.states):
            # numbers are given one after the other; one far beyond is a spoilt record that passed its
            # checksum
            self.states.extend(bytes(min(number - len(self.states) + 1024, 1 << 24)))
        if 0 <= number < len(self.states):
            self.states[number] = state

    def taken(self, record: model.Taken) -> None:
        began = self.boot.began
        told = began.services if began else []
        service = told[record.service] if 0 <= record.service < len(told) else None
        if self.state(record.get) != UNTAKEN:
            self.stray(record)
            return
        self.set(record.get, TAKEN)
        get = self.open[record.get] = Get(self.gateway, self.boot.number, record, service)
        self.note(get, record)
        self.listener.record(self.gateway, self.boot.number, record)

    def came(self, record: model.Came) -> None:
        get = self.open.get(record.get)
        if get is None:
            return
        if attempt := get.attempts.get(record.attempt):
            attempt.came = record
            self.note(get, record)
            self.listener.came(get, attempt)
        if (get.answered or get.left) and not get.out:
            self.done(get)

    def answered(self, record: model.Answered) -> None:
        state, get = self.state(record.get), self.open.get(record.get)
        if state == TAKEN and get:
            self.set(record.get, ANSWERED)
            get.answered = record
            self.note(get, record)
            self.listener.answered(get)
            if not get.out:
                self.done(get)
        elif state in (ANSWERED, TWICE, LEFT):
            self.set(record.get, TWICE)
            if state != TWICE:  # counted as once or left before, or still open with its first answer
                if get:
                    self.note(get, record)
                else:
                    self.boot.verdicts["once" if state == ANSWERED else "left"] -= 1
                    self.boot.verdicts["twice"] += 1
                self.listener.stray(self.gateway, self.boot.number, record)
        elif self.gap_at >= 0 or state == HIDDEN or not self.whole_start():
            self.boot.verdicts["hidden"] += state != HIDDEN
            self.set(record.get, HIDDEN)
        else:
            self.stray(record)

    def whole_start(self) -> bool:
        """Whether the boot's records are here from its first one on."""
        return self.boot.began is not None

    def stray(self, record: model.Taken | model.Answered) -> None:
        self.boot.verdicts["stray"] += 1
        self.listener.stray(self.gateway, self.boot.number, record)

    def left(self, record: model.Left) -> None:
        if get := self.open.get(record.get):
            get.left = record.at
            self.note(get, record)
            if get.answered is None:
                self.set(record.get, LEFT)
            if not get.out:
                self.done(get)

    def done(self, get: Get) -> None:
        del self.open[get.taken.get]
        twice = self.state(get.taken.get) == TWICE
        verdict = "twice" if twice else "once" if get.answered else "left"
        self.verdict(get, verdict)

    def verdict(self, get: Get, verdict: str) -> None:
        self.boot.verdicts[verdict] += 1
        self.listener.over(get, verdict)

    def gap(self, why: str, count: int, since: int = 0) -> None:
        boot = self.boot
        self.gap_at = boot.last
        boot.gaps.append((since or boot.last, boot.last, count, why))

    def turn(self, number: int) -> None:
        """Another boot begins: the one before has ended, cleanly or not."""
        if self.boots:
            self.end(running=False)
        self.boots.append(Boot(self.gateway, number))
        self.open, self.states, self.gap_at = {}, bytearray(), -1

    def end(self, running: bool) -> None:
        boot = self.boot
        for get in list(self.open.values()):
            due = get.taken.at + get.taken.left + TOLERANCE
            if get.answered or get.left:
                verdict = (
                    "twice" if self.state(get.taken.get) == TWICE else "once" if get.answered else "left"
                )
            elif self.gap_at >= get.taken.at:
                verdict = "hidden"
            elif boot.stopped or due < boot.last:
                verdict = "none"
            else:
                verdict = "open" if running else "crash"
            self.verdict(get, verdict)
        self.open = {}

    def close(self, running: bool = True) -> None:
        """The records end here; `running`: the last boot may still write."""
        if self.boots:
            self.end(running)


def total(boots: Iterable[Boot]) -> Counter[str]:
    counted: Counter[str] = Counter()
    for boot in boots:
        counted.update({verdict: n for verdict, n in boot.verdicts.items() if n})
    return counted
