"""Turns the decisions and observations of a gateway into records.

`Recorder(writer, adjust_clock)` implements the gateway's observer interface (`routing/gateway.py`). The
program also reports bulletin events, reloads, GETs that never reach the router, and a heartbeat every second.
An exception in here ends the recording and never affects a GET.
"""

from __future__ import annotations

import logging
import resource
import time
from collections.abc import Callable
from typing import Any

from damsonstream.protocol import bulletin
from damsonstream.records import model
from damsonstream.records.writer import Writer
from damsonstream.routing import interface as i

log = logging.getLogger(__name__)
NS_PER_TICK = 100_000  # a tick is a tenth of a millisecond
TICKS_PER_MS = 10
MAX_LINES_PER_RECORD = 256  # caches in one record: about 20 KB, below the payload limit of a frame


class Recorder:
    """Writes one record for each call; most methods are named after the kind that they write."""

    def __init__(self, writer: Writer, adjust_clock: Callable[[int], int] | None = None) -> None:
        """`adjust_clock` changes the recorded times, to test the analysis with wrong clocks."""
        self.writer, self.adjust_clock = writer, adjust_clock
        self.disabled = False

    def write(self, record: model.AnyRecord) -> None:
        """Queues a record; an exception disables the recording."""
        if self.disabled:
            return
        try:
            self.writer.put(record.at, model.encode(record))
        except Exception:
            self.disabled = True
            log.exception("records")

    def record_time(self, now: int) -> int:
        """Returns the time to record for `now`."""
        return now if self.adjust_clock is None else self.adjust_clock(now)

    # calls from the gateway (the observer interface)

    def get_opened(
        self, now: int, number: int, ident: bytes, service: int, thing: str, group: int, remaining: int,
        repeated: bool,
    ) -> None:  # fmt: skip
        ident_text = ident.decode("latin-1")
        self.write(
            model.Taken(self.record_time(now), number, ident_text, service, thing, group, remaining, repeated)
        )

    def forward_sent(self, now: int, number: int, leg: int, forward: i.Forward) -> None:
        self.write(model.Sent(self.record_time(now), number, leg, forward.cache, forward.source,
                              forward.max_age, forward.only_if_cached))  # fmt: skip

    def forward_ended(self, now: int, event: i.ForwardEnded, stamp: int) -> None:
        self.write(model.Came(self.record_time(now), event.get, event.attempt, event.cache, event.result,
                              event.fill_code, event.duration, event.first_byte, event.shared_failure,
                              stamp))  # fmt: skip

    def get_answered(self, now: int, number: int, outcome: str, come_back: int, size: int, leg: int) -> None:
        self.write(model.Answered(self.record_time(now), number, outcome, come_back, size, leg))

    def client_left(self, now: int, number: int) -> None:
        self.write(model.Left(self.record_time(now), number))

    def actions_decided(self, now: int, actions: list[i.Action]) -> None:
        """Records the breaker changes among the router's actions."""
        for action in actions:
            if isinstance(action, i.Trace):
                role, _, rest = action.text.partition(" ")
                node, _, state = rest.rpartition(" ")
                run, count, failures = action.evidence
                self.write(model.Breaker(self.record_time(now), role, node, state, run, count, failures))

    # calls from the program

    def began(
        self, now: int, name: str, version: str, footprint: i.Deployment, drain_grace: int, purge_grace: int
    ) -> None:
        services = [
            model.Service(s.name, s.objective, s.objective_per_transfer, s.viewer_timeout, s.revenue,
                          s.late_share, s.idempotency, s.token_scope, s.token_lifetime)
            for s in footprint.services
        ]  # fmt: skip
        self.write(model.Began(self.record_time(now), self.writer.boot, name, version,
                               self.record_time(time.time_ns() // NS_PER_TICK), footprint.location, services,
                               footprint.parent_model, footprint.origin_model, drain_grace, purge_grace,
                               footprint.client_kb_per_s))  # fmt: skip

    def stopped(self, now: int, reason: str) -> None:
        self.write(model.Stopped(self.record_time(now), reason))

    def turned(self, now: int, ident: bytes, outcome: str, reason: str) -> None:
        self.write(model.Turned(self.record_time(now), ident[:32].decode("latin-1"), outcome, reason))

    def bulletin_event(self, now: int, number: int, event: bulletin.Event) -> None:
        at = self.record_time(now)
        if isinstance(event, bulletin.PurgeTold):
            self.write(model.Purge(at, number, event.thing, event.group, event.issued_ms * TICKS_PER_MS))
            return
        lines = [
            model.Line(e.cache, e.location, e.state, e.units, e.model, e.started_ms * TICKS_PER_MS)
            for e in event.entries
        ]
        for start in range(0, max(1, len(lines)), MAX_LINES_PER_RECORD):
            more = start + MAX_LINES_PER_RECORD < len(lines)
            self.write(
                model.Listed(at, number, event.whole, more, lines[start : start + MAX_LINES_PER_RECORD])
            )

    def reloaded(self, now: int, outcome: str, what: str) -> None:
        self.write(model.Reloaded(self.record_time(now), outcome, what))

    def pulse(self, now: int, open_gets: int) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu = int((usage.ru_utime + usage.ru_stime) * 1000)
        unix = self.record_time(time.time_ns() // NS_PER_TICK)
        self.write(model.Pulse(self.record_time(now), unix, open_gets, cpu, usage.ru_maxrss))

    def peers(
        self, now: int, standing: str, silent: list[int], near: int, far: int, lent: int, borrowed: int,
        sent: int, heard: int,
    ) -> None:  # fmt: skip
        self.write(
            model.Peers(self.record_time(now), standing, silent, near, far, lent, borrowed, sent, heard)
        )

    def zones(
        self, now: int, revision: int, zones: list[tuple[str, str, int, int]],
        spilt: list[tuple[str, str, int, float]], held_back: int,
    ) -> None:  # fmt: skip
        self.write(model.Zones(self.record_time(now), revision, zones, spilt, held_back))

    def told(self, now: int, node: str, what: str) -> None:
        self.write(model.Told(self.record_time(now), node, what))

    def turn(self, now: int, node: str, state: str) -> None:
        self.write(model.Turn(self.record_time(now), node, state))

    def counts(self) -> dict[str, Any]:
        return {"records.written": self.writer.written_total, "records.dropped": self.writer.dropped_total}


def skewed(seconds: float, drift: float, start: int) -> Callable[[int], int]:
    """Returns a clock function with an offset of `seconds` that drifts by `drift` seconds per second."""
    return lambda now: now + int(seconds * 10_000 + drift * (now - start))
