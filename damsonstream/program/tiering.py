"""Puts the operator's hierarchy in service at one gateway: its file, the bulletin's word, time.

How it is called: `begin(path, config, gathering, clock, pieces, recorder)` gives a `Tiering` whose `service`
the router asks, or raises `settings.kdl.Fault`; `listed()` is told of the list, `reload()` reads the file
again (SIGHUP), and `run()` goes on as a task.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from damsonstream.peers.pieces import ZONES
from damsonstream.program.config import Config
from damsonstream.protocol import bulletin
from damsonstream.routing.gateway import TENTHS, Clock
from damsonstream.settings import kdl
from damsonstream.tiers import load
from damsonstream.tiers.service import Alone, Service
from damsonstream.tiers.shape import Shape

if TYPE_CHECKING:  # loaded where they are on
    from damsonstream.program.gathering import Gathering
    from damsonstream.records.recorder import Recorder

log = logging.getLogger(__name__)
TICK = 1_000  # tenths of a millisecond between looks at the zones: a tenth of the doubt before a loss
RECORD = 10_000  # between records of what is believed, where nothing changes


class Tiering:
    def __init__(
        self, path: str, config: Config, gathering: Gathering | None, clock: Clock,
        pieces: frozenset[str] | None, recorder: Recorder | None,
    ) -> None:  # fmt: skip
        self.path, self.clock, self.recorder = path, clock, recorder
        common = gathering.council if gathering is not None else Alone(config.footprint.gateways)
        bounded = pieces is None or ZONES in pieces
        self.service = Service(common, config.place, clock.now(), bounded)
        self.noted: dict[str, str] = {}  # states as they were logged last, by zone
        self.noted_at = 0
        self.listed_before: set[str] = set()  # nodes of the list, to see who has gone without a word

    def apply(self, shape: Shape) -> str:
        """Puts it in service; why not, where it can't be used: then all stays."""
        refused = self.service.apply(self.clock.now(), shape)
        return str(refused) if refused is not None else ""

    def reload(self) -> tuple[str, str]:
        """Outcome and what."""
        revision = self.service.revisions.latest
        try:
            shape = load.load(self.path)
            if shape.revision == revision:  # the signal was for something else
                return "used", f"revision {revision} as before"
            wrong = self.apply(shape)
        except kdl.Fault as fault:
            wrong = str(fault)
        if wrong:
            log.error("tiers", extra={"outcome": "refused", "revision": revision, "what": wrong})
            return "refused", wrong
        revision = self.service.revisions.latest
        log.info("tiers", extra={"outcome": "used", "revision": revision})
        return "used", f"revision {revision}"

    def listed(self, event: bulletin.ListChanged) -> None:
        states = {entry.cache: entry.state for entry in event.entries}
        if event.whole:
            for name in self.listed_before - states.keys():
                self.service.told(name, "left")
            self.listed_before = set(states)
        else:
            self.listed_before |= states.keys()
        for name, state in states.items():
            self.service.told(name, state)

    def note(self, now: int) -> None:
        """Logs each zone's state as it changes, and records all of them then and each second."""
        service = self.service
        told = {zone: service.common.zone_state(now, zone) for zone in sorted(service.shape.zones)}
        states = {zone: state for zone, (state, _, _) in told.items()}
        changed = states != self.noted
        for zone, state in states.items() if changed else ():
            if self.noted.get(zone, "Well") != state:
                log.info("zone", extra={"zone": zone, "what": state, "flaps": told[zone][2]})
        if self.recorder is not None and (changed or now - self.noted_at >= RECORD):
            near = service.near
            spilt = [(a, b, count, near.limit(b)) for (a, b), count in sorted(near.spilt.items())]
            held_back = sum(near.held_back.values())
            zones = [(zone, *one) for zone, one in told.items()]
            self.recorder.zones(now, service.revisions.latest, zones, spilt, held_back)
            self.noted_at = now
        self.noted = states

    async def run(self) -> None:
        while True:
            await anyio.sleep(TICK / (1000 * TENTHS))
            try:
                now = self.clock.now()
                self.service.tick(now)
                self.note(now)
            except Exception:
                log.exception("tiers")
                await anyio.sleep(1.0)


def begin(
    path: str, config: Config, gathering: Gathering | None, clock: Clock, pieces: frozenset[str] | None,
    recorder: Recorder | None = None,
) -> Tiering:  # fmt: skip
    made = Tiering(path, config, gathering, clock, pieces, recorder)
    if wrong := made.apply(load.load(path)):
        raise kdl.Fault(path, 0, "", wrong)
    log.info("tiers", extra={"outcome": "on", "revision": made.service.revisions.latest})
    return made
