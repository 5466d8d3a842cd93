"""Connects one gateway to its peers: the coordinator, its UDP socket, and the periodic exchange of messages.

Usage: `create_peer_exchange(config, features, clock, notify, recorder)` returns a `PeerExchange`, or None if
the settings allow no messages or name no peers. Call `await open()`, then start `run()` as a task.
`update_list()` receives changes of the list of caches, which give the names of sources.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import anyio

from damsonstream.peers.agent import GOSSIP_INTERVAL, PeerAgent, source_id
from damsonstream.program.config import Config
from damsonstream.protocol import bulletin
from damsonstream.routing.gateway import NS_PER_TICK, TICKS_PER_MS, Clock
from damsonstream.routing.interface import PeerVerdict
from damsonstream.transport.peers import PeerSocket

if TYPE_CHECKING:  # imported at run time only if records are enabled
    from damsonstream.records.recorder import Recorder

log = logging.getLogger(__name__)
RECORD_INTERVAL = 50_000  # tenths of a millisecond between records of an unchanged state
# Unix time from which the incarnation number counts tenths of a second: 32 bits last for 13 years.
BOOT_EPOCH_S = 1_767_225_600


class PeerExchange:
    """The exchange of one gateway with its peers. `notify` passes the results to the router."""

    def __init__(
        self, config: Config, features: frozenset[str], clock: Clock, notify: Callable[[PeerVerdict], None],
        recorder: Recorder | None = None,
    ) -> None:  # fmt: skip
        self.clock, self.notify, self.recorder = clock, notify, recorder
        self.source_names: dict[int, str] = {}  # by source id; the caches of the current list
        self.recorded, self.recorded_at = ("", [0]), 0  # the last recorded state, and its time
        location = config.locations.index(config.location) if config.location in config.locations else 0
        incarnation = max(0, clock.unix() // (NS_PER_TICK * 1000) - BOOT_EPOCH_S * 10) & 0xFFFFFFFF
        footprint = config.footprint
        self.coordinator = PeerAgent(
            config.name, config.place, footprint.gateways, location, footprint.location_gateways, incarnation,
            config.message_price, config.seed & 0xFFFFFFFF, clock.now(), features,
        )  # fmt: skip
        if recorder is not None:
            self.coordinator.on_trial = self.record_turn
        assert config.peer_listen is not None
        self.socket = PeerSocket(config.peer_listen, config.peers, self.on_datagram)

    def keeps_idle(self, cache: str) -> bool:
        """Returns whether the cache is assigned to this gateway, so that idle connections to it are kept."""
        return self.coordinator.watches(source_id(cache))

    async def open(self) -> None:
        await self.socket.open()

    def apply_config(self, config: Config) -> None:
        """Applies the list of peers and the numbers of gateways of a reloaded configuration."""
        self.socket.set_addresses(config.peers)
        footprint = config.footprint
        self.coordinator.resize(self.clock.now(), footprint.gateways, footprint.location_gateways)

    def on_datagram(self, peer_index: int, data: bytes) -> None:
        self.deliver(self.coordinator.receive(self.clock.now(), peer_index, data))

    def update_list(self, event: bulletin.ListChanged) -> None:
        if event.whole:
            self.source_names = {}
        for entry in event.entries:
            if entry.state == "left":
                self.source_names.pop(source_id(entry.cache), None)
            else:
                self.source_names[source_id(entry.cache)] = entry.cache

    def source_name(self, source: int) -> str:
        return self.source_names.get(source, f"{source:08x}")

    def record_turn(self, now: int, source: int, state: str) -> None:
        if self.recorder is not None:
            self.recorder.turn(now, self.source_name(source), state)

    def deliver(self, notices: Iterable[PeerVerdict]) -> None:
        """Logs and records what the peers reported, and passes it to the router."""
        for notice in notices:
            log.info("told", extra={"source": self.source_name(notice.node), "what": notice.verdict})
            if self.recorder is not None:
                self.recorder.told(self.clock.now(), self.source_name(notice.node), notice.verdict)
            self.notify(notice)

    def record_state(self, now: int) -> None:
        """Logs and records the view of this gateway when it changes; records it each `RECORD_INTERVAL` as
        well."""
        coordinator, members = self.coordinator, self.coordinator.members
        standing = members.own_status(now)
        silent = sorted(peer for peer in members.suspected if members.is_silent(now, peer))
        changed = (standing, silent) != self.recorded
        if changed and standing != self.recorded[0]:
            silent_peers = ",".join(map(str, silent)) or "-"
            log.info("standing", extra={"what": standing, "silent": silent_peers})
        if self.recorder is not None and (changed or now - self.recorded_at >= RECORD_INTERVAL):
            shares = (coordinator.location_shares, coordinator.fleet_shares)
            lent = sum(lease.millionths for share in shares for lease in share.lent.values())
            borrowed = sum(lease.millionths for share in shares for lease in share.borrowed.values())
            near_millionths, far_millionths = (share.usable_millionths(now) for share in shares)
            counters = coordinator.counters
            self.recorder.peers(now, standing, silent, near_millionths, far_millionths, lent, borrowed,
                                counters["sent"], counters["heard"])  # fmt: skip
            self.recorded_at = now
        self.recorded = (standing, silent)

    async def run(self) -> None:
        """Sends the messages that are due in each round. Never returns."""
        while True:
            await anyio.sleep(GOSSIP_INTERVAL / (1000 * TICKS_PER_MS))
            try:
                now = self.clock.now()
                datagrams, notices = self.coordinator.poll(now)
                for peer_index, data in datagrams:
                    self.socket.send(peer_index, data)
                self.deliver(notices)
                self.record_state(now)
            except Exception:
                log.exception("peers")
                await anyio.sleep(1.0)

    def close(self) -> None:
        self.socket.close()


def create_peer_exchange(
    config: Config, features: frozenset[str], clock: Clock, notify: Callable[[PeerVerdict], None],
    recorder: Recorder | None = None,
) -> PeerExchange | None:  # fmt: skip
    if config.peer_listen is None or not config.peers or not config.messages:
        log.info("peers", extra={"outcome": "off", "what": "messages not allowed or no peers listed"})
        return None
    return PeerExchange(config, features, clock, notify, recorder)
