"""One run of a script in virtual time, with the decisions, faults and bounds of `together`'s real processes.

The same seed always gives the same run.

Usage: `Emulation(script, footprint, without, seed, ...)`, then `run()` returns what was recorded, for the
same checks as `together`; `digest()` is equal for two runs only if everything recorded is equal. `footprint`
reads settings, as program/config.py does.

`shops` is the number of copies of the script's gateways and caches, each copy in a location of its own. All
share the parents, whose number grows by the same factor, and one origin, whose capacity does. Faults keep the
names of their nodes and gateways, so they affect only the first copy.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import cache, partial
from hashlib import blake2b
from typing import Any

from damsonstream.demo.configuration import PROFILES, TOKEN_TTL
from damsonstream.emulator.engine import Engine, S
from damsonstream.emulator.gateway import EventHandler, Gateway
from damsonstream.emulator.nodes import MODELS, Node, World
from damsonstream.emulator.viewers import Viewers
from damsonstream.peers import wire
from damsonstream.peers.agent import hash_zone as zone_digest
from damsonstream.peers.agent import source_id
from damsonstream.peers.features import FEATURES
from damsonstream.routing.interface import Deployment
from damsonstream.routing.router import Router
from damsonstream.standins import clients, servers
from damsonstream.standins.faults import FaultPlan
from damsonstream.standins.traffic import GROUPS, Catalogue, arrivals
from damsonstream.together import configuration
from damsonstream.together.checks import Filled, Observations, Tried
from damsonstream.together.links import CLEAR, Links
from damsonstream.together.script import Script, Step

MIN_DATAGRAM_DELAY = 1  # ticks on loopback and through a relay
VIEWER_COUNT = 500


class UnsupportedScript(Exception):
    """The script can't be emulated with these arguments."""


class Emulation:
    """A fleet of gateways with its nodes and viewers, and the faults of a script."""

    def __init__(
        self, script: Script, footprint: Callable[[dict[str, Any]], Deployment], without: frozenset[str],
        seed: int, *, shops: int = 1, make_router: Callable[[int], EventHandler] | None = None,
    ) -> None:  # fmt: skip
        """Sets up the fleet.

        `without`: features that are switched off; `make_router`: the policy for each gateway index, the real
        router by default.
        """
        if shops > 1 and script.zones:
            raise UnsupportedScript("a script with zones defines its own gateways, so shops must be 1")
        self.script, self.seed, self.shops = script, seed, shops
        self.features = frozenset(FEATURES) - without
        self.rng, self.message_price = random.Random(seed), configuration.PEER_MESSAGE_COST
        self.make_router: Callable[[int], EventHandler] = make_router or (lambda index: Router())
        self.engine = Engine()
        self.links = Links(script.links)
        location_of, gateway_counts = configuration.shop_assignment(script)
        if shops > 1:
            per_shop = len(script.gateways)
            location_of, gateway_counts = (lambda index: index // per_shop), [per_shop] * shops
        names = [f"n{index + 1}" for index in range(sum(gateway_counts))]
        # every location of a script with zones has as many caches as the largest, as in `together`
        cache_count = max([zone.caches for zone in script.zones] or [script.caches])
        catalogue = Catalogue(PROFILES, seed)
        self.world = World(
            self.engine, FaultPlan(script.nodes), seed, catalogue.describe, TOKEN_TTL,
            [cache_count] * len(gateway_counts), script.hubs * shops, script.cache_bytes, script.slots,
            servers.Shape().vault.slots * shops,
        )  # fmt: skip
        world = self.world
        self.footprint: Callable[[int], Deployment] = cache(
            lambda index: footprint(
                configuration.gateway_settings(
                    script, index, location_of, gateway_counts, MODELS, world.locations
                )
            )
        )
        self.record = Observations(names)
        self.zone_by_node = configuration.zone_by_node(script, cache_count)
        self.uids = {name: node.uid for name, node in world.nodes.items()}
        self.revision, self.hierarchy = 0, ""
        if script.zones:
            self.next_revision()
        world.link_hold, world.on_fill, world.on_reset = self.link_hold, self.record_fill, self.reset_node
        self.gateways = [Gateway(self, index, name) for index, name in enumerate(names)]
        self.by_name = {gateway.name: gateway for gateway in self.gateways}
        world.subscribers = [partial(gateway.dispatch, gateway.read_updates) for gateway in self.gateways]
        self.viewers = Viewers(self, catalogue, script.weights, seed + 1)
        self.datagram_rng = random.Random(seed + 3)
        self.catalogue = catalogue

    def next_revision(self) -> None:
        self.revision += 1
        self.hierarchy = configuration.hierarchy_kdl(self.script, self.uids, self.revision)

    # links between processes

    def link_hold(self, a: str, b: str) -> float:
        """Returns the seconds for which the link from a to b holds its traffic back."""
        return self.links.blocked_for(a, b, self.engine.now / S)

    def extra_delay(self, a: str, b: str) -> int:
        """Returns the ticks that faults add now to the usual delay of a stream from a to b."""
        if not self.links.faults:
            return 0
        now = self.engine.now / S
        link = self.links.condition(a, b, now)
        if link is CLEAR:
            return 0
        delay = max(link.delay, link.cut - now if link.cut else 0.0, link.hold - now if link.hold else 0.0)
        return int(S * (delay + link.jitter * self.rng.random()))

    def send_datagram(self, sender: Gateway, index: int, data: bytes) -> None:
        now, rng, receiver = self.engine.now / S, self.datagram_rng, self.gateways[index]
        self.record.datagrams.append((now, sender.name, len(data)))
        self.record.messages += [(now, sender.name, item) for item in wire.decode(data).items]
        link = self.links.condition(sender.name, receiver.name, now)
        if link.cut > 0 or link.reset or rng.random() < link.drop:
            return
        for _ in range(2 if rng.random() < link.repeat else 1):
            delay = max(link.delay, link.hold - now) + link.jitter * rng.random()
            arrive = partial(receiver.receive_datagram, sender.index, data)
            self.engine.after(MIN_DATAGRAM_DELAY + int(delay * S), partial(receiver.dispatch, arrive))

    def record_fill(self, asker: Node, source: Node) -> None:
        zones = self.zone_by_node.get(asker.name, ""), self.zone_by_node.get(source.name, "")
        self.record.fills.append(Filled(self.engine.now / S, asker.name, source.name, *zones))

    def reset_node(self, node: str) -> None:
        """Resets all connections to a node."""
        for gateway in self.gateways:
            gateway.dispatch(partial(gateway.reset_connection, node))

    def ready_gateways(self) -> list[Gateway]:
        return [gateway for gateway in self.gateways if gateway.is_ready]

    # steps of the script

    def begin_step(self, step: Step) -> None:
        if step.does == "purge":
            for group in sorted(self.rng.sample(range(GROUPS), max(1, round(step.amount * GROUPS)))):
                self.world.purge("", group)
        elif step.does == "revise":
            self.next_revision()
            for gateway in self.gateways:
                gateway.dispatch(gateway.reload_hierarchy)
        for name in step.to:
            if step.does == "drain":
                self.world.set_state(name, 1)
            else:
                self.begin_fault(self.by_name[name], step.does)

    def begin_fault(self, gateway: Gateway, does: str) -> None:
        if does == "kill":
            gateway.kill()
        elif does == "stall":
            gateway.stall()

    def end_step(self, step: Step) -> None:
        for name in step.to:
            if step.does == "kill":
                self.by_name[name].start()
            elif step.does == "stall":
                self.by_name[name].resume()
            elif step.does == "drain":
                self.world.set_state(name, 0)

    def rate(self, at: float) -> float:
        """Returns the GETs a second of all viewers at a time of the script."""
        return self.shops * self.script.rate_at(at)

    def run(self) -> Observations:
        script, engine = self.script, self.engine
        for gateway in self.gateways:
            gateway.start()
        for step in script.steps:
            engine.at(int(step.at * S), partial(self.begin_step, step))
            engine.at(int(step.end * S), partial(self.end_step, step))
        for fault in script.links:
            if fault.kind == "break":
                for gateway in self.gateways:
                    for node in (node for node in self.world.nodes if fault.applies_to(gateway.name, node)):
                        reset = partial(gateway.dispatch, partial(gateway.reset_connection, node))
                        engine.at(int(fault.start * S), reset)
        max_rate = self.shops * script.max_rate()
        self.viewers.start(
            arrivals(self.catalogue, self.rate, max_rate, script.lasts, VIEWER_COUNT, self.seed + 2)
        )
        engine.run_until(int((script.lasts + clients.LINGER) * S))
        while self.viewers.open and engine.now < (script.lasts + clients.LINGER + clients.DRAIN_TIMEOUT) * S:
            engine.run_until(engine.now + S // 50)
        self.complete_record()
        return self.record

    def complete_record(self) -> None:
        record, now = self.record, self.engine.now
        for gateway in self.gateways:
            for node in list(gateway.connections):
                gateway.close_if_idle(node, now)
        record.gets = [Tried(one.sent, one.gateway, one.outcome) for one in self.viewers.tries]
        record.source_ids = {name: source_id(uid) for name, uid in self.uids.items()}
        record.zone_names = {zone_digest(zone.name): zone.name for zone in self.script.zones}
        record.violations = [*self.world.violations, *self.world.effects.tokens_run_twice]

    def digest(self) -> str:
        record = self.record
        parts = (
            record.forwards,
            record.gets,
            record.fills,
            record.datagrams,
            record.opened,
            record.violations,
        )
        return blake2b(repr(parts).encode(), digest_size=8).hexdigest()
