"""Joins one gateway to its peers: a council, its socket, and the turns in which they go on.

How it is called: `begin(config, pieces, clock, tell, recorder)` gives a `Gathering`, or None where the
settings allow no messages or name no peers; `await open()`, then `run()` as a task. `listed()` is told of the
list, for the names of sources.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import anyio

from damsonstream.peers.council import TURN, Council, source_id
from damsonstream.program.config import Config
from damsonstream.protocol import bulletin
from damsonstream.routing.gateway import NS, TENTHS, Clock
from damsonstream.routing.interface import PeersTold
from damsonstream.transport.peers import Peers

if TYPE_CHECKING:  # loaded where records are on
    from damsonstream.records.recorder import Recorder

log = logging.getLogger(__name__)
RECORD = 50_000  # tenths of a millisecond between records of what is believed, where nothing changes
SINCE = 1_767_225_600  # Unix seconds from which boots are counted, in tenths: 32 bits last for 13 years


class Gathering:
    def __init__(
        self, config: Config, pieces: frozenset[str], clock: Clock, tell: Callable[[PeersTold], None],
        recorder: Recorder | None = None,
    ) -> None:  # fmt: skip
        self.clock, self.tell, self.recorder = clock, tell, recorder
        self.names: dict[int, str] = {}  # of sources; made anew with each whole list, else as long as it
        self.noted, self.noted_at = ("", [0]), 0  # what was recorded last of what it believes
        here = config.locations.index(config.location) if config.location in config.locations else 0
        boot = max(0, clock.unix() // (NS * 1000) - SINCE * 10) & 0xFFFFFFFF
        footprint = config.footprint
        self.council = Council(
            config.name, config.place, footprint.gateways, here, footprint.location_gateways, boot,
            config.message_price, config.seed & 0xFFFFFFFF, clock.now(), pieces,
        )  # fmt: skip
        if recorder is not None:
            self.council.on_turn = self.turn
        assert config.peer_listen is not None
        self.peers = Peers(config.peer_listen, config.peers, self.heard)

    def keeps(self, cache: str) -> bool:
        return self.council.keeps(source_id(cache))

    async def open(self) -> None:
        await self.peers.open()

    def moved(self, config: Config) -> None:
        """SIGHUP: the list of peers and the told numbers."""
        self.peers.moved(config.peers)
        footprint = config.footprint
        self.council.resize(self.clock.now(), footprint.gateways, footprint.location_gateways)

    def heard(self, place: int, data: bytes) -> None:
        self.pass_on(self.council.heard(self.clock.now(), place, data))

    def listed(self, event: bulletin.ListChanged) -> None:
        if event.whole:
            self.names = {}
        for line in event.entries:
            if line.state == "left":
                self.names.pop(source_id(line.cache), None)
            else:
                self.names[source_id(line.cache)] = line.cache

    def name(self, source: int) -> str:
        return self.names.get(source, f"{source:08x}")

    def turn(self, now: int, source: int, state: str) -> None:
        if self.recorder is not None:
            self.recorder.turn(now, self.name(source), state)

    def pass_on(self, told: Iterable[PeersTold]) -> None:
        for one in told:
            log.info("told", extra={"source": self.name(one.source), "what": one.what})
            if self.recorder is not None:
                self.recorder.told(self.clock.now(), self.name(one.source), one.what)
            self.tell(one)

    def note(self, now: int) -> None:
        """Logs and records what this gateway believes, as it changes, and records it each few seconds."""
        council, members = self.council, self.council.members
        standing = members.standing(now)
        silent = sorted(place for place in members.silences if members.silent(now, place))
        changed = (standing, silent) != self.noted
        if changed and standing != self.noted[0]:
            told = ",".join(map(str, silent)) or "-"
            log.info("standing", extra={"what": standing, "silent": told})
        if self.recorder is not None and (changed or now - self.noted_at >= RECORD):
            shares = (council.near, council.far)
            lent = sum(lease.millionths for one in shares for lease in one.given.values())
            taken = sum(lease.millionths for one in shares for lease in one.taken.values())
            near, far = (one.millionths(now) for one in shares)
            counted = council.counted
            self.recorder.peers(now, standing, silent, near, far, lent, taken, counted["sent"],
                                counted["heard"])  # fmt: skip
            self.noted_at = now
        self.noted = (standing, silent)

    async def run(self) -> None:
        while True:
            await anyio.sleep(TURN / (1000 * TENTHS))
            try:
                now = self.clock.now()
                out, told = self.council.due(now)
                for place, data in out:
                    self.peers.send(place, data)
                self.pass_on(told)
                self.note(now)
            except Exception:
                log.exception("peers")
                await anyio.sleep(1.0)

    def close(self) -> None:
        self.peers.close()


def begin(
    config: Config, pieces: frozenset[str], clock: Clock, tell: Callable[[PeersTold], None],
    recorder: Recorder | None = None,
) -> Gathering | None:  # fmt: skip
    if config.peer_listen is None or not config.peers or not config.messages:
        log.info("peers", extra={"outcome": "off", "what": "not allowed or none listed"})
        return None
    return Gathering(config, pieces, clock, tell, recorder)
