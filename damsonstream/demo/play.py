"""One play of the demo: stand-ins, gateways and viewers on loopback, a script, and what truly happened.

How it is called: `await play(scenario, folder, seed, progress)` returns a `Truth`; the records lie in
`folder/records` then, or where `records` says.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio

from damsonstream.demo import figures
from damsonstream.demo.figures import OFFERS, REMEMBERED
from damsonstream.demo.fleet import Fleet
from damsonstream.demo.scenario import Scenario, Step
from damsonstream.standins import wire
from damsonstream.standins.clients import Front, Try
from damsonstream.standins.faults import Plan
from damsonstream.standins.servers import LOOPBACK, Shape, World
from damsonstream.standins.traffic import GROUPS, Catalogue, arrivals

VIEWERS = 500


@dataclass(slots=True)
class Happened:
    """A step of the script, when it truly happened; Unix seconds."""

    step: Step
    start: float
    end: float


@dataclass(slots=True)
class Truth:
    """What is known without any record."""

    steps: list[Happened] = field(default_factory=list)
    tries: list[Try] = field(default_factory=list)
    kills: list[tuple[str, float]] = field(default_factory=list)  # gateway, Unix seconds
    faults: list[str] = field(default_factory=list)  # what stand-ins saw that the protocol does not allow
    doubles: list[str] = field(default_factory=list)  # tokens that ran twice
    codes: dict[str, int] = field(default_factory=dict)  # exit codes of gateways
    unsent: int = 0
    late_start: float = 0.0
    began: float = 0.0  # Unix seconds
    uids: dict[str, str] = field(default_factory=dict)  # ids that the wire has, by a node's name

    def count(self) -> dict[str, int]:
        counted: dict[str, int] = {}
        for one in self.tries:
            counted[one.outcome or "open"] = counted.get(one.outcome or "open", 0) + 1
        return counted


def settings(world: World, scenario: Scenario) -> dict[str, Any]:
    """A gateway's configuration, with the news so far."""
    events = list(enumerate(world.bulletin.events, 1))
    return {
        "bulletin": f"{LOOPBACK}:{world.bulletin.port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "known": wire.known(events, list(world.locations), list(world.models)),
        "settings": figures.settings(scenario.gateways, world.models, world.locations),
    }


class Play:
    def __init__(self, scenario: Scenario, folder: Path, records: Path, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.chance = random.Random(seed)
        self.catalogue = Catalogue(OFFERS, seed)
        shape = Shape(1, scenario.caches, scenario.hubs)
        self.world = World(shape, Plan(scenario.faults()), seed, self.catalogue.describe, REMEMBERED)
        names = [f"n{n + 1}" for n in range(scenario.gateways)]
        self.fleet = Fleet(folder, records, names, scenario.clocks, lambda _: settings(self.world, scenario))
        self.front = Front(self.fleet.addresses, self.catalogue, self.world.now, seed + 1)
        self.truth = Truth()

    def rate(self, at: float) -> float:
        factors = [s.amount for s in self.scenario.steps if s.does == "rate" and s.at <= at < s.end]
        return self.scenario.rate * (max(factors) if factors else 1.0)

    async def script(self) -> None:
        """What the script does besides the stand-ins' own faults, each at its time."""
        async with anyio.create_task_group() as group:
            for step in self.scenario.steps:
                group.start_soon(self.step, step)

    async def until(self, at: float) -> None:
        await anyio.sleep(max(0.0, at - self.world.now()))

    async def step(self, step: Step) -> None:
        await self.until(step.at)
        start = time.time()
        if step.does == "purge":
            count = max(1, round(step.amount * GROUPS))
            for group in sorted(self.chance.sample(range(GROUPS), count)):
                self.world.purge("", group)
        elif step.does == "drain":
            self.world.tell_state(step.to, 1)
            await self.until(step.end)
            self.world.tell_state(step.to, 0)
        elif step.does == "kill":
            self.truth.kills.append((step.to, time.time()))
            self.fleet.kill(step.to)
            await self.until(step.end)
            await self.fleet.start(step.to)
        else:
            await self.until(step.end)
        self.truth.steps.append(Happened(step, start, time.time()))

    async def viewers(self) -> None:
        most = max([self.rate(0.0), *(self.rate(step.at) for step in self.scenario.steps)])
        seconds = self.scenario.lasts
        wishes = arrivals(self.catalogue, self.rate, most, seconds, VIEWERS, self.seed + 2)
        await self.front.play_out(wishes)

    async def run(self, progress: Callable[[Play], None]) -> Truth:
        world, fleet, front = self.world, self.fleet, self.front
        await world.open()
        try:
            async with anyio.create_task_group() as group:
                for name in fleet.names:
                    group.start_soon(fleet.start, name)
            async with anyio.create_task_group() as group:
                world.start()
                self.truth.began = time.time()
                group.start_soon(world.run)
                for name in fleet.names:
                    group.start_soon(front.keep, name)
                group.start_soon(self.tell, progress)
                async with anyio.create_task_group() as script:
                    script.start_soon(self.script)
                    await self.viewers()
                front.close()
                self.truth.codes = await fleet.stop()
                group.cancel_scope.cancel()
        finally:
            fleet.abandon()
            world.close()
        truth = self.truth
        truth.steps.sort(key=lambda one: (one.start, one.step.does))
        truth.tries, truth.unsent, truth.late_start = front.tries, front.unsent, front.late_start
        truth.faults = [*world.faults, *front.faults]
        truth.doubles = world.effects.doubles
        truth.uids = {node.name: node.uid for node in world.nodes.values()}
        return truth

    async def tell(self, progress: Callable[[Play], None]) -> None:
        while True:
            progress(self)
            await anyio.sleep(1.0)


async def play(
    scenario: Scenario, folder: Path, records: Path, seed: int, progress: Callable[[Play], None]
) -> Truth:
    folder.mkdir(parents=True, exist_ok=True)
    records.mkdir(parents=True, exist_ok=True)
    return await Play(scenario, folder, records, seed).run(progress)
