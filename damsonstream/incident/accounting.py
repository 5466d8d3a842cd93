"""Checks from one gateway's records whether each GET got exactly one final answer. No I/O.

`GetLedger(gateway, listener)` is fed records and problems in order with `feed(...)` and finished with
`close(...)`. It calls the listener as GETs start, progress and end, and counts a verdict for each GET. It
needs one byte of memory for each GET of a boot, plus the history of the GETs in progress.

Verdicts:

    once      one final answer
    left      the client closed its connection first, so no answer is owed
    crash     accepted, but the gateway was killed before it answered
    hidden    no answer is recorded, but records are missing after it was accepted: unknown
    open      in progress and within its time limit at the end of the records
    none      no answer, although no records are missing and its time limit has passed: a violation
    twice     more than one final answer: a violation
    stray     an answer to a GET that was never accepted, with no records missing before: a violation
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from damsonstream.records import model
from damsonstream.records.store import Item, Problem

COMPLETE = ("once", "left")
VIOLATIONS = ("none", "twice", "stray")
TIMEOUT_TOLERANCE = 500  # ticks of 0.1 ms: timeouts on sockets are set 50 ms longer
UNTAKEN, TAKEN, ANSWERED, TWICE, LEFT, HIDDEN = range(6)
MAX_HISTORY_RECORDS = 64  # per GET; six forwards produce fourteen records


@dataclass(slots=True)
class Forward:
    """A forward of a GET: the record of its start and, once it has ended, of its end."""

    number: int
    sent: model.Sent
    came: model.Came | None = None


@dataclass(slots=True)
class Get:
    """A GET in progress, its forwards and its history."""

    gateway: str
    boot: int
    taken: model.Taken
    service: model.Service | None
    forwards: dict[int, Forward] = field(default_factory=dict)
    answered: model.Answered | None = None
    left_at: int = 0  # when the client closed its connection, 0: it did not
    history: list[model.AnyRecord] = field(default_factory=list)  # its records, oldest first

    @property
    def has_pending_forward(self) -> bool:
        """Whether a forward has not ended yet."""
        return any(leg.came is None for leg in self.forwards.values())


StrayRecord = model.Taken | model.Answered | model.Sent  # a record that belongs to no GET in progress


class Listener(Protocol):
    """Receives events of GETs, and all other records, while the records are read.

    `sent` and `came` report the start and the end of a forward, `over` the verdict on a GET that has ended.
    """

    def record(self, gateway: str, boot: int, record: model.AnyRecord) -> None: ...
    def forward_sent(self, get: Get, sent: model.Sent) -> None: ...
    def forward_ended(self, get: Get, leg: Forward) -> None: ...
    def answered(self, get: Get) -> None: ...
    def get_ended(self, get: Get, verdict: str) -> None: ...
    def stray(self, gateway: str, boot: int, record: StrayRecord) -> None: ...


@dataclass(slots=True)
class Boot:
    """One run of a gateway, as its records show it. Times are on the gateway's clock."""

    gateway: str
    number: int
    first: int = 0  # time of its first record
    last: int = 0  # time of its latest record
    began: model.Began | None = None
    stopped: bool = False
    records: int = 0
    # start, end, missing records (-1: not known), reason
    gaps: list[tuple[int, int, int, str]] = field(default_factory=list)
    verdicts: Counter[str] = field(default_factory=Counter)
    turned: Counter[str] = field(default_factory=Counter)  # GETs that were answered on arrival, by reason

    @property
    def gateway_boot(self) -> tuple[str, int]:
        return self.gateway, self.number


class GetLedger:
    """Follows the GETs of one gateway through its records and counts verdicts by boot."""

    def __init__(self, gateway: str, listener: Listener) -> None:
        self.gateway, self.listener = gateway, listener
        self.boots: list[Boot] = []
        self.open_gets: dict[int, Get] = {}  # until answered with no forward pending, or the end of the boot
        self.states = bytearray()  # state of each GET of this boot, by its number
        self.latest_gap_at = -1  # time of the last record before the latest gap, -1: no gap

    @property
    def boot(self) -> Boot:
        return self.boots[-1]

    def feed(self, entry: Item | Problem) -> None:
        if not self.boots or entry.boot != self.boot.number:
            self.start_boot(entry.boot)
        if isinstance(entry, Problem):
            if entry.kind != "newer":
                self.record_gap(entry.kind, entry.count)
            return
        record, boot = entry.record, self.boot
        boot.first = boot.first or record.at
        boot.last = max(boot.last, record.at)
        boot.records += 1
        if isinstance(record, model.Sent):
            if get := self.open_gets.get(record.get):
                get.forwards[record.leg] = Forward(record.leg, record)
                self.add_to_history(get, record)
                self.listener.forward_sent(get, record)
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
            self.other_record(record)

    def other_record(self, record: model.AnyRecord) -> None:
        boot = self.boot
        if isinstance(record, model.Began):
            boot.began = record
        elif isinstance(record, model.Stopped):
            boot.stopped = True
        elif isinstance(record, model.Turned):
            boot.turned[record.reason] += 1
        elif isinstance(record, model.Dropped):
            self.record_gap(record.reason, record.count, record.since)
        self.listener.record(self.gateway, boot.number, record)

    def add_to_history(self, get: Get, record: model.AnyRecord) -> None:
        if len(get.history) < MAX_HISTORY_RECORDS:
            get.history.append(record)

    def state(self, number: int) -> int:
        return self.states[number] if 0 <= number < len(self.states) else UNTAKEN

    def set_state(self, number: int, state: int) -> None:
        if number >= len(self.states):
            # GETs are numbered consecutively. A much larger number comes from a corrupt record whose checksum
            # happens to match, so the growth is limited.
            self.states.extend(bytes(min(number - len(self.states) + 1024, 1 << 24)))
        if 0 <= number < len(self.states):
            self.states[number] = state

    def taken(self, record: model.Taken) -> None:
        began = self.boot.began
        services = began.services if began else []
        service = services[record.service] if 0 <= record.service < len(services) else None
        if self.state(record.get) != UNTAKEN:
            self.stray(record)
            return
        self.set_state(record.get, TAKEN)
        get = self.open_gets[record.get] = Get(self.gateway, self.boot.number, record, service)
        self.add_to_history(get, record)
        self.listener.record(self.gateway, self.boot.number, record)

    def came(self, record: model.Came) -> None:
        get = self.open_gets.get(record.get)
        if get is None:
            return
        if leg := get.forwards.get(record.leg):
            leg.came = record
            self.add_to_history(get, record)
            self.listener.forward_ended(get, leg)
        if (get.answered or get.left_at) and not get.has_pending_forward:
            self.finish(get)

    def answered(self, record: model.Answered) -> None:
        state, get = self.state(record.get), self.open_gets.get(record.get)
        if state == TAKEN and get:
            self.set_state(record.get, ANSWERED)
            get.answered = record
            self.add_to_history(get, record)
            self.listener.answered(get)
            if not get.has_pending_forward:
                self.finish(get)
        elif state in (ANSWERED, TWICE, LEFT):
            self.set_state(record.get, TWICE)
            if state != TWICE:  # already counted as once or left, or still in progress after its first answer
                if get:
                    self.add_to_history(get, record)
                else:
                    self.boot.verdicts["once" if state == ANSWERED else "left"] -= 1
                    self.boot.verdicts["twice"] += 1
                self.listener.stray(self.gateway, self.boot.number, record)
        elif self.latest_gap_at >= 0 or state == HIDDEN or not self.has_first_record():
            self.boot.verdicts["hidden"] += state != HIDDEN
            self.set_state(record.get, HIDDEN)
        else:
            self.stray(record)

    def has_first_record(self) -> bool:
        """Whether the boot's records are available from the first one on."""
        return self.boot.began is not None

    def stray(self, record: model.Taken | model.Answered) -> None:
        self.boot.verdicts["stray"] += 1
        self.listener.stray(self.gateway, self.boot.number, record)

    def left(self, record: model.Left) -> None:
        if get := self.open_gets.get(record.get):
            get.left_at = record.at
            self.add_to_history(get, record)
            if get.answered is None:
                self.set_state(record.get, LEFT)
            if not get.has_pending_forward:
                self.finish(get)

    def finish(self, get: Get) -> None:
        del self.open_gets[get.taken.get]
        twice = self.state(get.taken.get) == TWICE
        verdict = "twice" if twice else "once" if get.answered else "left"
        self.record_verdict(get, verdict)

    def record_verdict(self, get: Get, verdict: str) -> None:
        self.boot.verdicts[verdict] += 1
        self.listener.get_ended(get, verdict)

    def record_gap(self, reason: str, count: int, since: int = 0) -> None:
        boot = self.boot
        self.latest_gap_at = boot.last
        boot.gaps.append((since or boot.last, boot.last, count, reason))

    def start_boot(self, number: int) -> None:
        """Starts a new boot; the previous one has ended, cleanly or not."""
        if self.boots:
            self.end_boot(running=False)
        self.boots.append(Boot(self.gateway, number))
        self.open_gets, self.states, self.latest_gap_at = {}, bytearray(), -1

    def end_boot(self, running: bool) -> None:
        boot = self.boot
        for get in list(self.open_gets.values()):
            deadline = get.taken.at + get.taken.left + TIMEOUT_TOLERANCE
            if get.answered or get.left_at:
                verdict = (
                    "twice" if self.state(get.taken.get) == TWICE else "once" if get.answered else "left"
                )
            elif self.latest_gap_at >= get.taken.at:
                verdict = "hidden"
            elif boot.stopped or deadline < boot.last:
                verdict = "none"
            else:
                verdict = "open" if running else "crash"
            self.record_verdict(get, verdict)
        self.open_gets = {}

    def close(self, running: bool = True) -> None:
        """Ends the records; `running`: the last boot may still be writing."""
        if self.boots:
            self.end_boot(running)


def total_verdicts(boots: Iterable[Boot]) -> Counter[str]:
    """Returns the verdicts of all boots, summed."""
    verdicts: Counter[str] = Counter()
    for boot in boots:
        verdicts.update({verdict: n for verdict, n in boot.verdicts.items() if n})
    return verdicts
