"""Runs a demo scenario: gateways, stand-ins and viewers on loopback, and the steps of the scenario.

`await execute(scenario, folder, records, seed, progress)` returns a `Truth`, the ground truth with which the
report is compared; the gateways' records are in the folder `records` then.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio

from damsonstream.demo import configuration
from damsonstream.demo.configuration import PROFILES, TOKEN_TTL
from damsonstream.demo.fleet import Fleet
from damsonstream.demo.scenario import Scenario, Step
from damsonstream.standins import wire
from damsonstream.standins.clients import ClientGet, LoadGenerator
from damsonstream.standins.faults import FaultPlan
from damsonstream.standins.servers import LOOPBACK, Shape, StandIns
from damsonstream.standins.traffic import GROUPS, Catalogue, arrivals

VIEWER_COUNT = 500


@dataclass(slots=True)
class ExecutedStep:
    """A step of the scenario, with the actual times in Unix seconds."""

    step: Step
    start: float
    end: float


@dataclass(slots=True)
class Truth:
    """What happened in a run, as known without the gateways' records."""

    steps: list[ExecutedStep] = field(default_factory=list)
    tries: list[ClientGet] = field(default_factory=list)  # every GET sent, retries included
    kills: list[tuple[str, float]] = field(default_factory=list)  # gateway, Unix seconds
    faults: list[str] = field(default_factory=list)  # protocol violations that stand-ins observed
    doubles: list[str] = field(default_factory=list)  # tokens that ran twice
    codes: dict[str, int] = field(default_factory=dict)  # exit codes of gateways
    unsent: int = 0  # GETs that could not be sent
    late_start: float = 0.0  # largest delay of a GET behind its intended time, in seconds
    start: float = 0.0  # Unix seconds
    uids: dict[str, str] = field(default_factory=dict)  # ids on the wire by node name

    def counts(self) -> dict[str, int]:
        counted: dict[str, int] = {}
        for get in self.tries:
            counted[get.outcome or "open"] = counted.get(get.outcome or "open", 0) + 1
        return counted


def gateway_config(stand_ins: StandIns, scenario: Scenario) -> dict[str, Any]:
    """Returns a gateway's configuration, with the discovery events so far."""
    events = list(enumerate(stand_ins.discovery.events, 1))
    return {
        "bulletin": f"{LOOPBACK}:{stand_ins.discovery.port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "known": wire.event_log(events, list(stand_ins.locations), list(stand_ins.models)),
        "settings": configuration.gateway_settings(scenario.gateways, stand_ins.models, stand_ins.locations),
    }


class DemoRun:
    """Everything that takes part in one run of a scenario."""

    def __init__(self, scenario: Scenario, folder: Path, records: Path, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.rng = random.Random(seed)
        self.catalogue = Catalogue(PROFILES, seed)
        shape = Shape(1, scenario.caches, scenario.hubs)
        self.stand_ins = StandIns(
            shape, FaultPlan(scenario.node_faults()), seed, self.catalogue.describe, TOKEN_TTL
        )
        names = [f"n{n + 1}" for n in range(scenario.gateways)]
        self.fleet = Fleet(
            folder, records, names, scenario.clocks, lambda _: gateway_config(self.stand_ins, scenario)
        )
        self.generator = LoadGenerator(self.fleet.addresses, self.catalogue, self.stand_ins.now, seed + 1)
        self.truth = Truth()

    def rate_at(self, at: float) -> float:
        factors = [s.amount for s in self.scenario.steps if s.does == "rate" and s.at <= at < s.end]
        return self.scenario.rate * (max(factors) if factors else 1.0)

    async def run_steps(self) -> None:
        """Executes all steps at their times."""
        async with anyio.create_task_group() as group:
            for step in self.scenario.steps:
                group.start_soon(self.run_step, step)

    async def sleep_until(self, at: float) -> None:
        await anyio.sleep(max(0.0, at - self.stand_ins.now()))

    async def run_step(self, step: Step) -> None:
        await self.sleep_until(step.at)
        start = time.time()
        if step.does == "purge":
            count = max(1, round(step.amount * GROUPS))
            for group in sorted(self.rng.sample(range(GROUPS), count)):
                self.stand_ins.purge("", group)
        elif step.does == "drain":
            self.stand_ins.set_state(step.to, 1)
            await self.sleep_until(step.end)
            self.stand_ins.set_state(step.to, 0)
        elif step.does == "kill":
            self.truth.kills.append((step.to, time.time()))
            self.fleet.kill(step.to)
            await self.sleep_until(step.end)
            await self.fleet.start(step.to)
        else:
            await self.sleep_until(step.end)
        self.truth.steps.append(ExecutedStep(step, start, time.time()))

    async def send_gets(self) -> None:
        max_rate = max([self.rate_at(0.0), *(self.rate_at(step.at) for step in self.scenario.steps)])
        seconds = self.scenario.lasts
        gets = arrivals(self.catalogue, self.rate_at, max_rate, seconds, VIEWER_COUNT, self.seed + 2)
        await self.generator.send_and_drain(gets)

    async def run(self, progress: Callable[[DemoRun], None]) -> Truth:
        stand_ins, fleet, generator = self.stand_ins, self.fleet, self.generator
        await stand_ins.open()
        try:
            async with anyio.create_task_group() as group:
                for name in fleet.names:
                    group.start_soon(fleet.start, name)
            async with anyio.create_task_group() as group:
                stand_ins.start()
                self.truth.start = time.time()
                group.start_soon(stand_ins.run)
                for name in fleet.names:
                    group.start_soon(generator.keep_connected, name)
                group.start_soon(self.report_progress, progress)
                async with anyio.create_task_group() as script:
                    script.start_soon(self.run_steps)
                    await self.send_gets()
                generator.close()
                self.truth.codes = await fleet.stop()
                group.cancel_scope.cancel()
        finally:
            fleet.kill_all()
            stand_ins.close()
        truth = self.truth
        truth.steps.sort(key=lambda one: (one.start, one.step.does))
        truth.tries, truth.unsent, truth.late_start = (
            generator.sent_gets,
            generator.unsent,
            generator.max_send_delay,
        )
        truth.faults = [*stand_ins.violations, *generator.violations]
        truth.doubles = stand_ins.effects.tokens_run_twice
        truth.uids = {node.name: node.uid for node in stand_ins.nodes.values()}
        return truth

    async def report_progress(self, progress: Callable[[DemoRun], None]) -> None:
        while True:
            progress(self)
            await anyio.sleep(1.0)


async def execute(
    scenario: Scenario, folder: Path, records: Path, seed: int, progress: Callable[[DemoRun], None]
) -> Truth:
    folder.mkdir(parents=True, exist_ok=True)
    records.mkdir(parents=True, exist_ok=True)
    return await DemoRun(scenario, folder, records, seed).run(progress)
