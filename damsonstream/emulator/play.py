"""One play of a script in virtual time: the decisions, faults and bounds that `together` plays on processes;
from one seed always the same.

How it is called: `Play(script, footprint, without, seed, ...)`, then `run()` returns what was seen, for the
same checks; `digest()` is a short text that two plays share only if all seen is the same. `footprint` reads
settings, as program/config.py does. `shops` copies of the script's gateways and caches, each a location
of its own, share the hubs, of which there are as many times more, and a vault as many times as large; faults
keep their names, and so fall on the first shop's.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import cache, partial
from hashlib import blake2b
from typing import Any

from damsonstream.demo.figures import OFFERS, REMEMBERED
from damsonstream.emulator.engine import Engine, S
from damsonstream.emulator.gateway import Decides, Gateway
from damsonstream.emulator.nodes import MODELS, Node, World
from damsonstream.emulator.viewers import Front
from damsonstream.peers import wire
from damsonstream.peers.council import digest as zone_digest
from damsonstream.peers.council import source_id
from damsonstream.peers.pieces import PIECES
from damsonstream.routing.interface import Footprint
from damsonstream.routing.router import Router
from damsonstream.standins import clients, servers
from damsonstream.standins.faults import Plan
from damsonstream.standins.traffic import GROUPS, Catalogue, arrivals
from damsonstream.together import figures
from damsonstream.together.checks import Filled, Seen, Tried
from damsonstream.together.links import CLEAR, Links
from damsonstream.together.script import Script, Step

LONE = 1  # ticks that a datagram takes on loopback and through a relay, at least
VIEWERS = 500


class Unfit(Exception):
    """The script can't be played so."""


class Play:
    def __init__(
        self, script: Script, footprint: Callable[[dict[str, Any]], Footprint], without: frozenset[str],
        seed: int, *, shops: int = 1, router: Callable[[int], Decides] | None = None,
    ) -> None:  # fmt: skip
        """`router` makes what decides at each place: the router where none is given."""
        if shops > 1 and script.zones:
            raise Unfit("a script of zones says which gateways there are, and is played as it stands")
        self.script, self.seed, self.shops = script, seed, shops
        self.pieces = frozenset(PIECES) - without
        self.chance, self.price = random.Random(seed), figures.PRICE
        self.decides: Callable[[int], Decides] = router or (lambda place: Router())
        self.engine = Engine()
        self.links = Links(script.links)
        home, counts = figures.homes(script)
        if shops > 1:
            each = len(script.gateways)
            home, counts = (lambda place: place // each), [each] * shops
        names = [f"n{place + 1}" for place in range(sum(counts))]
        # a zone's shop has as many caches as the largest, as the rig's shops do
        caches = max([zone.caches for zone in script.zones] or [script.caches])
        catalogue = Catalogue(OFFERS, seed)
        self.world = World(
            self.engine, Plan(script.nodes), seed, catalogue.describe, REMEMBERED, [caches] * len(counts),
            script.hubs * shops, script.memory, script.lanes, servers.Shape().vault.lanes * shops,
        )  # fmt: skip
        world = self.world
        self.footprint: Callable[[int], Footprint] = cache(
            lambda place: footprint(
                figures.settings(script, place, home, counts, MODELS, world.locations)
            )
        )
        self.seen = Seen(names)
        self.zones = figures.zones(script, caches)
        self.uids = {name: node.uid for name, node in world.nodes.items()}
        self.revision, self.hierarchy = 0, ""
        if script.zones:
            self.next_revision()
        world.held, world.filled, world.broke = self.wait_seconds, self.filled, self.broke
        self.gateways = [Gateway(self, place, name) for place, name in enumerate(names)]
        self.by_name = {gateway.name: gateway for gateway in self.gateways}
        world.followers = [partial(gateway.run, gateway.catch_up) for gateway in self.gateways]
        self.front = Front(self, catalogue, script.weights, seed + 1)
        self.datagram_chance = random.Random(seed + 3)
        self.catalogue = catalogue

    def next_revision(self) -> None:
        self.revision += 1
        self.hierarchy = figures.hierarchy(self.script, self.uids, self.revision)

    # paths between processes

    def wait_seconds(self, a: str, b: str) -> float:
        return self.links.held(a, b, self.engine.now / S)

    def wait(self, a: str, b: str) -> int:
        """Ticks that something now needs from a to b over a stream, besides its usual way."""
        if not self.links.faults:
            return 0
        now = self.engine.now / S
        way = self.links.between(a, b, now)
        if way is CLEAR:
            return 0
        later = max(way.delay, way.cut - now if way.cut else 0.0, way.hold - now if way.hold else 0.0)
        return int(S * (later + way.jitter * self.chance.random()))

    def datagram(self, sender: Gateway, place: int, data: bytes) -> None:
        now, chance, other = self.engine.now / S, self.datagram_chance, self.gateways[place]
        self.seen.datagrams.append((now, sender.name, len(data)))
        self.seen.told += [(now, sender.name, item) for item in wire.read(data).items]
        way = self.links.between(sender.name, other.name, now)
        if way.cut > 0 or way.broken or chance.random() < way.drop:
            return
        for _ in range(2 if chance.random() < way.repeat else 1):
            later = max(way.delay, way.hold - now) + way.jitter * chance.random()
            arrive = partial(other.heard, sender.place, data)
            self.engine.after(LONE + int(later * S), partial(other.run, arrive))

    def filled(self, asker: Node, source: Node) -> None:
        zones = self.zones.get(asker.name, ""), self.zones.get(source.name, "")
        self.seen.fills.append(Filled(self.engine.now / S, asker.name, source.name, *zones))

    def broke(self, node: str) -> None:
        for gateway in self.gateways:
            gateway.run(partial(gateway.broke, node))

    def up(self) -> list[Gateway]:
        return [gateway for gateway in self.gateways if gateway.up]

    # the script

    def step(self, step: Step) -> None:
        if step.does == "purge":
            for number in sorted(self.chance.sample(range(GROUPS), max(1, round(step.amount * GROUPS)))):
                self.world.purge("", number)
        elif step.does == "revise":
            self.next_revision()
            for gateway in self.gateways:
                gateway.run(gateway.revise)
        for name in step.to:
            if step.does == "drain":
                self.world.tell_state(name, 1)
            else:
                self.begin_fault(self.by_name[name], step.does)

    def begin_fault(self, gateway: Gateway, does: str) -> None:
        if does == "kill":
            gateway.kill()
        elif does == "stall":
            gateway.stall()

    def end(self, step: Step) -> None:
        for name in step.to:
            if step.does == "kill":
                self.by_name[name].start()
            elif step.does == "stall":
                self.by_name[name].resume()
            elif step.does == "drain":
                self.world.tell_state(name, 0)

    def rate(self, at: float) -> float:
        return self.shops * self.script.rate_at(at)

    def run(self) -> Seen:
        script, engine = self.script, self.engine
        for gateway in self.gateways:
            gateway.start()
        for step in script.steps:
            engine.at(int(step.at * S), partial(self.step, step))
            engine.at(int(step.end * S), partial(self.end, step))
        for fault in script.links:
            if fault.kind == "break":
                for gateway in self.gateways:
                    for node in (node for node in self.world.nodes if fault.meets(gateway.name, node)):
                        reset = partial(gateway.run, partial(gateway.broke, node))
                        engine.at(int(fault.start * S), reset)
        most = self.shops * script.most_rate()
        self.front.begin(
            arrivals(self.catalogue, self.rate, most, script.lasts, VIEWERS, self.seed + 2)
        )
        engine.until(int((script.lasts + clients.TAIL) * S))
        while self.front.open and engine.now < (script.lasts + clients.TAIL + clients.CLOSE) * S:
            engine.until(engine.now + S // 50)
        self.gather()
        return self.seen

    def gather(self) -> None:
        seen, now = self.seen, self.engine.now
        for gateway in self.gateways:
            for node in list(gateway.used):
                gateway.lapse(node, now)
        seen.tries = [Tried(one.sent, one.gateway, one.outcome) for one in self.front.tries]
        seen.known = {name: source_id(uid) for name, uid in self.uids.items()}
        seen.zones = {zone_digest(zone.name): zone.name for zone in self.script.zones}
        seen.faults = [*self.world.faults, *self.world.effects.doubles]

    def digest(self) -> str:
        seen = self.seen
        whole = (seen.forwards, seen.tries, seen.fills, seen.datagrams, seen.opened, seen.faults)
        return blake2b(repr(whole).encode(), digest_size=8).hexdigest()
