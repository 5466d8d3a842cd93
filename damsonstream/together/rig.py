"""One play of several processes: real gateways, a relay on every path between them and all others, stand-ins,
and a script of what breaks.

How it is called: `await play(script, without, folder, seed)` returns what was seen, of which verdict.py
makes the result. Only processes started here are ever signalled, and all of them end with the play.
"""

from __future__ import annotations

import random
import socket
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import anyio

from damsonstream.demo import play as demo
from damsonstream.demo.figures import OFFERS, REMEMBERED
from damsonstream.demo.fleet import Fleet, free_port
from damsonstream.demo.scenario import Scenario
from damsonstream.peers.council import digest as zone_digest
from damsonstream.peers.council import source_id
from damsonstream.peers.pieces import PIECES
from damsonstream.standins import wire
from damsonstream.standins.clients import Front
from damsonstream.standins.faults import Plan
from damsonstream.standins.servers import LOOPBACK, Kind, Node, Shape, World
from damsonstream.standins.traffic import GROUPS, Catalogue, arrivals
from damsonstream.together import figures
from damsonstream.together.checks import Filled, Forwarded, Seen, Tried
from damsonstream.together.links import Links
from damsonstream.together.relay import Datagrams, Stream
from damsonstream.together.script import Script, Step

VIEWERS = 500


class Rig:
    def __init__(self, script: Script, without: frozenset[str], folder: Path, seed: int) -> None:
        self.script, self.names = script, list(script.gateways)
        self.chance = random.Random(seed)
        self.catalogue = Catalogue(OFFERS, seed)
        per_shop = [place.caches for place in script.zones] or [script.caches]
        shape = Shape(len(per_shop), max(per_shop), script.hubs, Kind("cache", script.memory, script.lanes))
        self.world = World(shape, Plan(script.nodes), seed, self.catalogue.describe, REMEMBERED)
        self.world.witness = self.saw
        self.links = Links(script.links)
        self.world.held, self.world.filled = self.held, self.filled
        self.zones = figures.zones(script, max(per_shop))
        self.revision = 0
        self.folder = folder
        self.datagrams = Datagrams(self.names, self.links, self.world.now, random.Random(seed + 3))
        self.streams: dict[tuple[str, str], Stream] = {}
        self.bulletins: dict[str, Stream] = {}
        self.scenario = Scenario(script.name, script.about, script.lasts, script.rate, len(self.names),
                                 script.caches, script.hubs, (), ())  # fmt: skip
        pieces = "".join(f"    {piece} #{str(piece not in without).lower()}\n" for piece in PIECES)
        operator = f"peers {{\n{pieces}}}\n" + ('tiers "tiers.kdl"\n' if script.zones else "")
        self.fleet = Fleet(folder, folder / "records", self.names, (), self.settings, operator)
        self.peer_ports = {name: free_port(socket.SOCK_DGRAM) for name in self.names}
        self.front = Front(self.fleet.addresses, self.catalogue, self.world.now, seed + 1)
        self.front.weights = script.weights
        self.seen = Seen(self.names)
        self.seed = seed

    def held(self, a: str, b: str) -> float:
        return self.links.held(a, b, self.world.now())

    def filled(self, asker: Node, source: Node) -> None:
        zones = self.zones.get(asker.name, ""), self.zones.get(source.name, "")
        self.seen.fills.append(Filled(self.world.now(), asker.name, source.name, *zones))

    def write_tiers(self) -> None:
        """The hierarchy's next revision, as an operator writes it."""
        self.revision += 1
        uids = {name: node.uid for name, node in self.world.nodes.items()}
        (self.folder / "tiers.kdl").write_text(figures.hierarchy(self.script, uids, self.revision))

    def view(self, name: str, news: wire.News) -> wire.News:
        """The list as one gateway is told it: each node at the relay before it."""
        if not isinstance(news, tuple):
            return news
        by_id = {node.id: node.name for node in self.world.nodes.values()}
        return tuple(replace(line, address=self.streams[name, by_id[line.id]].address) for line in news)

    def settings(self, name: str) -> dict[str, Any]:
        told = demo.settings(self.world, self.scenario)
        world = self.world
        events = [(n, self.view(name, news)) for n, news in enumerate(world.bulletin.events, 1)]
        host, port = self.bulletins[name].address
        told |= {
            "bulletin": f"{host}:{port}",
            "known": wire.known(events, list(world.locations), list(world.models)),
            "peer_listen": f"{LOOPBACK}:{self.peer_ports[name]}",
            "peers": self.datagrams.seen_by(name),
        }
        told["settings"] = figures.settings(
            self.script, self.names.index(name), *figures.homes(self.script), world.models, world.locations
        )
        return told

    def saw(self, node: Node, fields: dict[str, str], sender: object) -> None:
        by = next(
            (a for (a, b), stream in self.streams.items() if b == node.name and sender in stream.out), ""
        )
        source = self.world.by_uid.get(fields.get("fetch", ""))
        self.seen.forwards.append(Forwarded(self.world.now(), by, node.name, source.name if source else ""))

    async def open(self) -> None:
        world = self.world
        await world.open()
        if self.script.zones:
            self.write_tiers()
        for name in self.names:
            for node in world.nodes.values():
                self.streams[name, node.name] = self.before(name, node)
                await self.streams[name, node.name].open()
            bulletin = world.bulletin.view_for(partial(self.view, name))
            await bulletin.listen()
            self.bulletins[name] = self.stream(
                name, "bulletin", (lambda port: lambda: (LOOPBACK, port))(bulletin.port)
            )
            await self.bulletins[name].open()
        await self.datagrams.open({name: (LOOPBACK, port) for name, port in self.peer_ports.items()})

    def before(self, name: str, node: Node) -> Stream:
        """A relay before a node, which may start anew at its port."""
        return self.stream(name, node.name, lambda: (LOOPBACK, node.port))

    def stream(self, a: str, b: str, target: Any) -> Stream:
        return Stream(a, b, target, self.links, self.world.now, self.chance)

    async def until(self, at: float) -> None:
        await anyio.sleep(max(0.0, at - self.world.now()))

    async def step(self, step: Step) -> None:
        await self.until(step.at)
        if step.does == "purge":
            for number in sorted(self.chance.sample(range(GROUPS), max(1, round(step.amount * GROUPS)))):
                self.world.purge("", number)
        for name in step.to:
            if step.does == "stall":
                self.fleet.stall(name)
            elif step.does == "kill":
                self.fleet.kill(name)
            elif step.does == "drain":
                self.world.tell_state(name, 1)
        if step.does == "revise":
            self.write_tiers()
            self.fleet.hang_up()
        await self.until(step.end)
        async with anyio.create_task_group() as group:
            for name in step.to:
                if step.does == "stall":
                    self.fleet.resume(name)
                elif step.does == "kill":
                    group.start_soon(self.fleet.start, name)
                elif step.does == "drain":
                    self.world.tell_state(name, 0)

    async def viewers(self) -> None:
        script = self.script
        wishes = arrivals(self.catalogue, script.rate_at, script.most_rate(), script.lasts, VIEWERS,
                          self.seed + 2)  # fmt: skip
        await self.front.play_out(wishes)

    async def run(self) -> Seen:
        world, fleet, front = self.world, self.fleet, self.front
        try:
            await self.open()
            async with anyio.create_task_group() as group:
                for name in self.names:
                    group.start_soon(fleet.start, name)
            async with anyio.create_task_group() as group:
                world.start()
                self.arm_breaks()
                group.start_soon(world.run)
                for name in self.names:
                    group.start_soon(front.keep, name)
                await anyio.sleep(0.3)
                async with anyio.create_task_group() as script:
                    for step in self.script.steps:
                        script.start_soon(self.step, step)
                    await self.viewers()
                front.close()
                await fleet.stop()
                group.cancel_scope.cancel()
        finally:
            fleet.abandon()
            world.close()
            self.datagrams.close()
            for stream in (*self.streams.values(), *self.bulletins.values()):
                stream.close()
        self.gather()
        return self.seen

    def arm_breaks(self) -> None:
        for stream in (*self.streams.values(), *self.bulletins.values()):
            stream.arm()

    def gather(self) -> None:
        seen, world = self.seen, self.world
        seen.tries = [Tried(one.sent, one.gateway, one.outcome) for one in self.front.tries]
        seen.told = [(passed.at, passed.a, item) for passed, item in self.datagrams.items()]
        seen.datagrams = [(passed.at, passed.a, len(passed.data)) for passed in self.datagrams.log]
        seen.opened = [(at, a, b) for (a, b), stream in self.streams.items() for at in stream.opened]
        seen.closed = [(at, a, b) for (a, b), stream in self.streams.items() for at in stream.closed]
        seen.known = {node.name: source_id(node.uid) for node in world.nodes.values()}
        seen.zones = {zone_digest(place.name): place.name for place in self.script.zones}
        seen.faults = [*world.faults, *self.front.faults, *world.effects.doubles]


async def play(script: Script, without: frozenset[str], folder: Path, seed: int) -> Seen:
    (folder / "records").mkdir(parents=True, exist_ok=True)
    return await Rig(script, without, folder, seed).run()
