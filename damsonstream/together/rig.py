"""Runs a fault-injection script with several processes: real gateways, a relay on every network path, and
stand-ins for caches, parents, the origin, discovery and viewers.

`await run_script(script, without, folder, seed)` returns the observations, from which verdict.py computes the
result. Only processes started here are ever signalled, and all of them end with the run.
"""

from __future__ import annotations

import random
import socket
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import anyio

from damsonstream.demo import runner as demo
from damsonstream.demo.configuration import PROFILES, TOKEN_TTL
from damsonstream.demo.fleet import Fleet
from damsonstream.demo.ports import HeldPort
from damsonstream.demo.scenario import Scenario
from damsonstream.peers.agent import hash_zone as zone_digest
from damsonstream.peers.agent import source_id
from damsonstream.peers.features import FEATURES
from damsonstream.standins import wire
from damsonstream.standins.clients import LoadGenerator
from damsonstream.standins.faults import FaultPlan
from damsonstream.standins.servers import LOOPBACK, Node, NodeKind, Shape, StandIns
from damsonstream.standins.traffic import GROUPS, Catalogue, arrivals
from damsonstream.together import configuration
from damsonstream.together.checks import Filled, Forwarded, Observations, Tried
from damsonstream.together.links import Links
from damsonstream.together.relay import DatagramRelay, StreamRelay
from damsonstream.together.script import Script, Step

VIEWER_COUNT = 500


class Rig:
    """Everything that takes part in one run; `without` names the features of gateways to switch off."""

    def __init__(self, script: Script, without: frozenset[str], folder: Path, seed: int) -> None:
        self.script, self.gateway_names = script, list(script.gateways)
        self.rng = random.Random(seed)
        self.catalogue = Catalogue(PROFILES, seed)
        per_shop = [zone.caches for zone in script.zones] or [script.caches]
        shape = Shape(
            len(per_shop), max(per_shop), script.hubs, NodeKind("cache", script.cache_bytes, script.slots)
        )
        self.stand_ins = StandIns(shape, FaultPlan(script.nodes), seed, self.catalogue.describe, TOKEN_TTL)
        self.stand_ins.on_forward = self.record_forward
        self.links = Links(script.links)
        self.stand_ins.blocked_for, self.stand_ins.on_fill = self.blocked_for, self.record_fill
        self.zone_by_node = configuration.zone_by_node(script, max(per_shop))
        self.revision = 0
        self.folder = folder
        self.datagrams = DatagramRelay(
            self.gateway_names, self.links, self.stand_ins.now, random.Random(seed + 3)
        )
        self.node_streams: dict[tuple[str, str], StreamRelay] = {}
        self.discovery_streams: dict[str, StreamRelay] = {}
        self.scenario = Scenario(script.name, script.about, script.lasts, script.rate,
                                 len(self.gateway_names), script.caches, script.hubs, (), ())  # fmt: skip
        features = "".join(f"    {name} #{str(name not in without).lower()}\n" for name in FEATURES)
        operator = f"peers {{\n{features}}}\n" + ('tiers "tiers.kdl"\n' if script.zones else "")
        self.fleet = Fleet(folder, folder / "records", self.gateway_names, (), self.gateway_config, operator)
        held_ports = {name: HeldPort(socket.SOCK_DGRAM) for name in self.gateway_names}
        for name, port in held_ports.items():
            self.fleet.held_ports[name].append(port)
        self.peer_ports = {name: port.number for name, port in held_ports.items()}
        self.generator = LoadGenerator(self.fleet.addresses, self.catalogue, self.stand_ins.now, seed + 1)
        self.generator.weights = script.weights
        self.seen = Observations(self.gateway_names)
        self.seed = seed

    def blocked_for(self, a: str, b: str) -> float:
        return self.links.blocked_for(a, b, self.stand_ins.now())

    def record_fill(self, requester: Node, source: Node) -> None:
        zone_names = self.zone_by_node.get(requester.name, ""), self.zone_by_node.get(source.name, "")
        self.seen.fills.append(Filled(self.stand_ins.now(), requester.name, source.name, *zone_names))

    def write_tiers(self) -> None:
        """Writes the next revision of the hierarchy file, as an operator does."""
        self.revision += 1
        uids = {name: node.uid for name, node in self.stand_ins.nodes.items()}
        (self.folder / "tiers.kdl").write_text(configuration.hierarchy_kdl(self.script, uids, self.revision))

    def event_for(self, name: str, event: wire.Event) -> wire.Event:
        """Returns a discovery event as one gateway receives it, with the relays' addresses for the nodes."""
        if not isinstance(event, tuple):
            return event
        by_id = {node.id: node.name for node in self.stand_ins.nodes.values()}
        return tuple(replace(line, address=self.node_streams[name, by_id[line.id]].address) for line in event)

    def gateway_config(self, name: str) -> dict[str, Any]:
        config = demo.gateway_config(self.stand_ins, self.scenario)
        stand_ins = self.stand_ins
        events = [(n, self.event_for(name, event)) for n, event in enumerate(stand_ins.discovery.events, 1)]
        host, port = self.discovery_streams[name].address
        config |= {
            "bulletin": f"{host}:{port}",
            "known": wire.event_log(events, list(stand_ins.locations), list(stand_ins.models)),
            "peer_listen": f"{LOOPBACK}:{self.peer_ports[name]}",
            "peers": self.datagrams.peer_addresses(name),
        }
        config["settings"] = configuration.gateway_settings(
            self.script,
            self.gateway_names.index(name),
            *configuration.shop_assignment(self.script),
            stand_ins.models,
            stand_ins.locations,
        )
        return config

    def record_forward(self, node: Node, fields: dict[str, str], peer_address: object) -> None:
        gateway = next(
            (
                a
                for (a, b), stream in self.node_streams.items()
                if b == node.name and peer_address in stream.outgoing_addresses
            ),
            "",
        )
        source = self.stand_ins.by_uid.get(fields.get("fetch", ""))
        self.seen.forwards.append(
            Forwarded(self.stand_ins.now(), gateway, node.name, source.name if source else "")
        )

    async def open(self) -> None:
        stand_ins = self.stand_ins
        await stand_ins.open()
        if self.script.zones:
            self.write_tiers()
        for name in self.gateway_names:
            for node in stand_ins.nodes.values():
                self.node_streams[name, node.name] = self.stream_to_node(name, node)
                await self.node_streams[name, node.name].open()
            discovery = stand_ins.discovery.add_listener(partial(self.event_for, name))
            await discovery.listen()
            self.discovery_streams[name] = self.stream(
                name, "bulletin", (lambda port: lambda: (LOOPBACK, port))(discovery.port)
            )
            await self.discovery_streams[name].open()
        await self.datagrams.open({name: (LOOPBACK, port) for name, port in self.peer_ports.items()})

    def stream_to_node(self, name: str, node: Node) -> StreamRelay:
        """Creates the relay to a node, whose port is looked up for each connection."""
        return self.stream(name, node.name, lambda: (LOOPBACK, node.port))

    def stream(self, a: str, b: str, target: Any) -> StreamRelay:
        return StreamRelay(a, b, target, self.links, self.stand_ins.now, self.rng)

    async def sleep_until(self, at: float) -> None:
        await anyio.sleep(max(0.0, at - self.stand_ins.now()))

    async def run_step(self, step: Step) -> None:
        await self.sleep_until(step.at)
        if step.does == "purge":
            for number in sorted(self.rng.sample(range(GROUPS), max(1, round(step.amount * GROUPS)))):
                self.stand_ins.purge("", number)
        for name in step.to:
            if step.does == "stall":
                self.fleet.pause(name)
            elif step.does == "kill":
                self.fleet.kill(name)
            elif step.does == "drain":
                self.stand_ins.set_state(name, 1)
        if step.does == "revise":
            self.write_tiers()
            self.fleet.reload()
        await self.sleep_until(step.end)
        async with anyio.create_task_group() as group:
            for name in step.to:
                if step.does == "stall":
                    self.fleet.resume(name)
                elif step.does == "kill":
                    group.start_soon(self.fleet.start, name)
                elif step.does == "drain":
                    self.stand_ins.set_state(name, 0)

    async def send_gets(self) -> None:
        script = self.script
        gets = arrivals(self.catalogue, script.rate_at, script.max_rate(), script.lasts, VIEWER_COUNT,
                        self.seed + 2)  # fmt: skip
        await self.generator.send_and_drain(gets)

    async def run(self) -> Observations:
        stand_ins, fleet, generator = self.stand_ins, self.fleet, self.generator
        try:
            await self.open()
            async with anyio.create_task_group() as group:
                for name in self.gateway_names:
                    group.start_soon(fleet.start, name)
            async with anyio.create_task_group() as group:
                stand_ins.start()
                self.schedule_resets()
                group.start_soon(stand_ins.run)
                for name in self.gateway_names:
                    group.start_soon(generator.keep_connected, name)
                await anyio.sleep(0.3)
                async with anyio.create_task_group() as script:
                    for step in self.script.steps:
                        script.start_soon(self.run_step, step)
                    await self.send_gets()
                generator.close()
                await fleet.stop()
                group.cancel_scope.cancel()
        finally:
            fleet.kill_all()
            stand_ins.close()
            self.datagrams.close()
            for stream in (*self.node_streams.values(), *self.discovery_streams.values()):
                stream.close()
        self.collect()
        return self.seen

    def schedule_resets(self) -> None:
        for stream in (*self.node_streams.values(), *self.discovery_streams.values()):
            stream.schedule_resets()

    def collect(self) -> None:
        """Copies the logs of the relays, stand-ins and viewers into the observations."""
        seen, stand_ins = self.seen, self.stand_ins
        seen.gets = [Tried(get.sent, get.gateway, get.outcome) for get in self.generator.sent_gets]
        seen.messages = [(sent.time, sent.sender, item) for sent, item in self.datagrams.messages()]
        seen.datagrams = [(sent.time, sent.sender, len(sent.data)) for sent in self.datagrams.log]
        seen.opened = [(at, a, b) for (a, b), stream in self.node_streams.items() for at in stream.opened_at]
        seen.closed = [(at, a, b) for (a, b), stream in self.node_streams.items() for at in stream.closed_at]
        seen.source_ids = {node.name: source_id(node.uid) for node in stand_ins.nodes.values()}
        seen.zone_names = {zone_digest(zone.name): zone.name for zone in self.script.zones}
        seen.violations = [
            *stand_ins.violations,
            *self.generator.violations,
            *stand_ins.effects.tokens_run_twice,
        ]


async def run_script(script: Script, without: frozenset[str], folder: Path, seed: int) -> Observations:
    """Runs a script once, with configurations, logs and records of the gateways in `folder`."""
    (folder / "records").mkdir(parents=True, exist_ok=True)
    return await Rig(script, without, folder, seed).run()
