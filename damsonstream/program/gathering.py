"""Joins one gateway to its peers: a council, its socket, and the turns in which they go on.

How it is called: `begin(config, pieces, gateway_clock, tell)` gives a `Gathering`, or None where the settings
allow no messages or name no peers; `await open()`, then `run()` as a task.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

import anyio

from damsonstream.peers.council import TURN, Council, Told
from damsonstream.program.config import Config
from damsonstream.routing.gateway import NS, TENTHS, Clock
from damsonstream.routing.router import digest
from damsonstream.transport.peers import Peers

log = logging.getLogger(__name__)
SINCE = 1_767_225_600  # Unix seconds from which boots are counted, in tenths: 32 bits last for 13 years


class Gathering:
    def __init__(
        self, config: Config, pieces: frozenset[str], clock: Clock, tell: Callable[[Told], None]
    ) -> None:
        self.clock, self.tell = clock, tell
        here = config.locations.index(config.location) if config.location in config.locations else 0
        boot = max(0, clock.unix() // (NS * 1000) - SINCE * 10) & 0xFFFFFFFF
        footprint = config.footprint
        self.council = Council(
            config.name, config.place, footprint.gateways, here, footprint.location_gateways, boot,
            config.message_price, config.seed & 0xFFFFFFFF, clock.now(), pieces,
        )  # fmt: skip
        assert config.peer_listen is not None
        self.peers = Peers(config.peer_listen, config.peers, self.heard)

    def keeps(self, cache: str) -> bool:
        return self.council.keeps(digest(cache) & 0xFFFFFFFF)

    async def open(self) -> None:
        await self.peers.open()

    def moved(self, config: Config) -> None:
        """SIGHUP: the list of peers and the told numbers."""
        self.peers.moved(config.peers)
        footprint = config.footprint
        self.council.resize(self.clock.now(), footprint.gateways, footprint.location_gateways)

    def heard(self, place: int, data: bytes) -> None:
        self.pass_on(self.council.heard(self.clock.now(), place, data))

    def pass_on(self, told: Iterable[Told]) -> None:
        for one in told:
            log.info("told", extra={"source": f"{one.source:08x}", "what": one.what})
            self.tell(one)

    async def run(self) -> None:
        before = ""
        while True:
            await anyio.sleep(TURN / (1000 * TENTHS))
            try:
                now = self.clock.now()
                out, told = self.council.due(now)
                for place, data in out:
                    self.peers.send(place, data)
                self.pass_on(told)
                standing = self.council.members.standing(now)
                if standing != before:
                    members = self.council.members
                    silent = ",".join(str(p) for p in members.silences if members.silent(now, p))
                    log.info("standing", extra={"what": standing, "silent": silent or "-"})
                    before = standing
            except Exception:
                log.exception("peers")
                await anyio.sleep(1.0)

    def close(self) -> None:
        self.peers.close()


def begin(
    config: Config, pieces: frozenset[str], clock: Clock, tell: Callable[[Told], None]
) -> Gathering | None:
    if config.peer_listen is None or not config.peers or not config.messages:
        log.info("peers", extra={"outcome": "off", "what": "not allowed or none listed"})
        return None
    return Gathering(config, pieces, clock, tell)
