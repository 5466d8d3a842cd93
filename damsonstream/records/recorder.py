"""Turns what a gateway decides and sees into records.

How it is called: `Recorder(writer, clock)` is the gateway's observer (`routing/gateway.py` has the
interface); the program also tells it of the bulletin's news, of reloads, of GETs that never reach the router,
and of each second. A fault in here ends the recording, never a GET.
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
NS = 100_000  # nanoseconds in a tenth of a millisecond
TENTHS = 10  # of a millisecond
LINES = 256  # caches in one record: 20 KB, under what a frame holds


class Recorder:
    def __init__(self, writer: Writer, shift: Callable[[int], int] | None = None) -> None:
        """`shift` moves the times that are written, for trials of clocks that are wrong."""
        self.writer, self.shift = writer, shift
        self.off = False

    def write(self, record: model.AnyRecord) -> None:
        if self.off:
            return
        try:
            self.writer.put(record.at, model.encode(record))
        except Exception:
            self.off = True
            log.exception("records")

    def at(self, now: int) -> int:
        return now if self.shift is None else self.shift(now)

    # what the gateway tells

    def opened(
        self, now: int, number: int, ident: bytes, service: int, thing: str, group: int, left: int,
        repeated: bool,
    ) -> None:  # fmt: skip
        told = ident.decode("latin-1")
        self.write(model.Taken(self.at(now), number, told, service, thing, group, left, repeated))

    def sent(self, now: int, number: int, attempt: int, forward: i.Forward) -> None:
        self.write(model.Sent(self.at(now), number, attempt, forward.cache, forward.source, forward.age,
                              forward.copies))  # fmt: skip

    def came(self, now: int, event: i.ForwardEnded, stamp: int) -> None:
        self.write(model.Came(self.at(now), event.get, event.attempt, event.cache, event.result, event.note,
                              event.took, event.first_byte, event.shared, stamp))  # fmt: skip

    def final(self, now: int, number: int, outcome: str, come_back: int, size: int, attempt: int) -> None:
        self.write(model.Answered(self.at(now), number, outcome, come_back, size, attempt))

    def left(self, now: int, number: int) -> None:
        self.write(model.Left(self.at(now), number))

    def decided(self, now: int, actions: list[i.Action]) -> None:
        for action in actions:
            if isinstance(action, i.Trace):
                role, _, rest = action.text.partition(" ")
                node, _, state = rest.rpartition(" ")
                run, count, failures = action.judged
                self.write(model.Breaker(self.at(now), role, node, state, run, count, failures))

    # what the program tells

    def began(
        self, now: int, name: str, version: str, footprint: i.Footprint, drain_grace: int, purge_grace: int
    ) -> None:
        services = [
            model.Service(s.name, s.objective, s.stretch, s.viewer_timeout, s.revenue, s.late_share, s.effect,
                          s.scope, s.remembered)
            for s in footprint.services
        ]  # fmt: skip
        self.write(model.Began(self.at(now), self.writer.boot, name, version, self.at(time.time_ns() // NS),
                               footprint.location, services, footprint.parent_model,
                               footprint.origin_model, drain_grace, purge_grace,
                               footprint.client_kb_per_s))  # fmt: skip

    def stopped(self, now: int, reason: str) -> None:
        self.write(model.Stopped(self.at(now), reason))

    def turned(self, now: int, ident: bytes, outcome: str, reason: str) -> None:
        self.write(model.Turned(self.at(now), ident[:32].decode("latin-1"), outcome, reason))

    def news(self, now: int, number: int, event: bulletin.Event) -> None:
        at = self.at(now)
        if isinstance(event, bulletin.PurgeTold):
            self.write(model.Purge(at, number, event.thing, event.group, event.issued_ms * TENTHS))
            return
        if isinstance(event, bulletin.Skipped):
            return  # what it stands for was not told; the list that follows it is written
        lines = [
            model.Line(e.cache, e.location, e.state, e.units, e.model, e.started_ms * TENTHS)
            for e in event.entries
        ]
        for place in range(0, max(1, len(lines)), LINES):
            more = place + LINES < len(lines)
            self.write(model.Listed(at, number, event.whole, more, lines[place : place + LINES]))

    def reloaded(self, now: int, outcome: str, what: str) -> None:
        self.write(model.Reloaded(self.at(now), outcome, what))

    def pulse(self, now: int, open_gets: int) -> None:
        used = resource.getrusage(resource.RUSAGE_SELF)
        cpu = int((used.ru_utime + used.ru_stime) * 1000)
        unix = self.at(time.time_ns() // NS)
        self.write(model.Pulse(self.at(now), unix, open_gets, cpu, used.ru_maxrss))

    def peers(
        self, now: int, standing: str, silent: list[int], near: int, far: int, lent: int, borrowed: int,
        sent: int, heard: int,
    ) -> None:  # fmt: skip
        self.write(model.Peers(self.at(now), standing, silent, near, far, lent, borrowed, sent, heard))

    def zones(
        self, now: int, revision: int, zones: list[tuple[str, str, int, int]],
        spilt: list[tuple[str, str, int, float]], held_back: int,
    ) -> None:  # fmt: skip
        self.write(model.Zones(self.at(now), revision, zones, spilt, held_back))

    def told(self, now: int, node: str, what: str) -> None:
        self.write(model.Told(self.at(now), node, what))

    def turn(self, now: int, node: str, state: str) -> None:
        self.write(model.Turn(self.at(now), node, state))

    def counts(self) -> dict[str, Any]:
        return {"records.written": self.writer.written, "records.dropped": self.writer.lost}


def moved(seconds: float, drift: float, start: int) -> Callable[[int], int]:
    """A clock that is off by `seconds` and gains `drift` seconds a second, from `start` on."""
    return lambda now: now + int(seconds * 10_000 + drift * (now - start))
