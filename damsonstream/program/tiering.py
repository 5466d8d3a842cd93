"""Applies the operator's cache hierarchy at one gateway, and updates it on reloads, list changes and timers.

Usage: `create_hierarchy_manager(path, config, peer_exchange, clock, features, recorder)` returns a
`HierarchyManager`, whose `service` the router queries, or raises `settings.kdl.KdlError`. `update_list()`
receives changes of the list of caches, `reload()` reads the file again (SIGHUP), and `run()` is the
background task.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from damsonstream.peers.features import ZONES
from damsonstream.program.config import Config
from damsonstream.protocol import bulletin
from damsonstream.routing.gateway import TICKS_PER_MS, Clock
from damsonstream.settings import kdl
from damsonstream.tiers import load
from damsonstream.tiers.hierarchy import Topology
from damsonstream.tiers.selector import LocalCoordinator, SourceSelector

if TYPE_CHECKING:  # imported at run time only if enabled
    from damsonstream.program.gathering import PeerExchange
    from damsonstream.records.recorder import Recorder

log = logging.getLogger(__name__)
# Tenths of a millisecond between updates of the zones: a tenth of the time for which a zone is suspected
# before it counts as lost.
TICK_INTERVAL = 1_000
RECORD_INTERVAL = 10_000  # tenths of a millisecond between records of an unchanged state


class HierarchyManager:
    """The cache hierarchy of one gateway. `service` is its current revision in use."""

    def __init__(
        self, path: str, config: Config, peer_exchange: PeerExchange | None, clock: Clock,
        features: frozenset[str] | None, recorder: Recorder | None,
    ) -> None:  # fmt: skip
        self.path, self.clock, self.recorder = path, clock, recorder
        coordinator = (
            peer_exchange.coordinator
            if peer_exchange is not None
            else LocalCoordinator(config.footprint.gateways)
        )
        coordinated = features is None or ZONES in features
        self.service = SourceSelector(coordinator, config.place, clock.now(), coordinated)
        self.logged_states: dict[str, str] = {}  # by zone
        self.recorded_at = 0
        self.known_nodes: set[str] = set()  # listed nodes, to detect those that a new full list omits

    def apply(self, shape: Topology) -> str:
        """Applies a revision of the hierarchy. Returns the reason if it is refused, in which case nothing
        changes; otherwise an empty string."""
        refusal = self.service.apply(self.clock.now(), shape)
        return str(refusal) if refusal is not None else ""

    def reload(self) -> tuple[str, str]:
        """Reads the file again; returns the outcome and a description for the record."""
        revision = self.service.revisions.latest
        try:
            shape = load.load(self.path)
            if shape.revision == revision:  # SIGHUP was sent for another file
                return "used", f"revision {revision} as before"
            problem = self.apply(shape)
        except kdl.KdlError as error:
            problem = str(error)
        if problem:
            log.error("tiers", extra={"outcome": "refused", "revision": revision, "what": problem})
            return "refused", problem
        revision = self.service.revisions.latest
        log.info("tiers", extra={"outcome": "used", "revision": revision})
        return "used", f"revision {revision}"

    def update_list(self, event: bulletin.ListChanged) -> None:
        states = {entry.cache: entry.state for entry in event.entries}
        if event.whole:
            for name in self.known_nodes - states.keys():
                self.service.set_node_state(name, "left")
            self.known_nodes = set(states)
        else:
            self.known_nodes |= states.keys()
        for name, state in states.items():
            self.service.set_node_state(name, state)

    def record_state(self, now: int) -> None:
        """Logs each change of a zone's state; records all zones on changes and each `RECORD_INTERVAL`."""
        service = self.service
        zone_states = {
            zone: service.coordinator.zone_state(now, zone) for zone in sorted(service.topology.zones)
        }
        states = {zone: state for zone, (state, _, _) in zone_states.items()}
        changed = states != self.logged_states
        for zone, state in states.items() if changed else ():  # "Well" is the state of a healthy zone
            if self.logged_states.get(zone, "Well") != state:
                log.info("zone", extra={"zone": zone, "what": state, "flaps": zone_states[zone][2]})
        if self.recorder is not None and (changed or now - self.recorded_at >= RECORD_INTERVAL):
            near = service.spill
            spilled = [(a, b, count, near.limit(b)) for (a, b), count in sorted(near.spilled.items())]
            held_back = sum(near.unplaced.values())
            zones = [(zone, *zone_state) for zone, zone_state in zone_states.items()]
            self.recorder.zones(now, service.revisions.latest, zones, spilled, held_back)
            self.recorded_at = now
        self.logged_states = states

    async def run(self) -> None:
        """Updates the zones periodically. Never returns."""
        while True:
            await anyio.sleep(TICK_INTERVAL / (1000 * TICKS_PER_MS))
            try:
                now = self.clock.now()
                self.service.tick(now)
                self.record_state(now)
            except Exception:
                log.exception("tiers")
                await anyio.sleep(1.0)


def create_hierarchy_manager(
    path: str, config: Config, peer_exchange: PeerExchange | None, clock: Clock,
    features: frozenset[str] | None, recorder: Recorder | None = None,
) -> HierarchyManager:  # fmt: skip
    manager = HierarchyManager(path, config, peer_exchange, clock, features, recorder)
    if problem := manager.apply(load.load(path)):
        raise kdl.KdlError(path, 0, "", problem)
    log.info("tiers", extra={"outcome": "on", "revision": manager.service.revisions.latest})
    return manager
