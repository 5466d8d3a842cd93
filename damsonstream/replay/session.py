"""Runs a replay, either against running gateways or against a fleet between stand-ins started for it.

Usage: `run_on_gateways(options, addresses)` and `run_on_fleet(options, gateways, folder)` run to the end and
return plain data.
"""

from __future__ import annotations

import signal
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import anyio

from damsonstream.demo.configuration import PROFILES
from damsonstream.demo.runner import DemoRun
from damsonstream.demo.scenario import Scenario, Step, load
from damsonstream.replay.account import Account
from damsonstream.replay.limits import ReplayRule
from damsonstream.replay.replayer import Replay, TraceGet, load_account, trace_gets
from damsonstream.standins.traffic import Key
from damsonstream.traces.native import NativeTrace
from damsonstream.traces.transforms import Scaling

TAIL = 30.0  # seconds after the last GET, for GETs that are still open


@dataclass(slots=True)
class ReplayOptions:
    """Options of a replay. The command line sets the fields by name."""

    trace: NativeTrace
    seed: int = 1
    speed: float = 1.0
    stop_after: float | None = None  # seconds
    skip: int = 0  # GETs at the start of the trace that are left out
    patience: float = 3.0  # viewer timeout, seconds
    most_open: int = 2000  # limit of open GETs
    slow_vault: float | None = None  # ms by which the origin is slow in the middle third
    script: Path | None = None  # a demo scenario, whose steps and clocks apply too
    records: Path | None = None
    checkpoint: Path | None = None

    def load_account(self) -> Account:
        account = load_account(self.checkpoint, str(self.trace.about.get("digest", "")))
        if not account.resume_count:
            account.first_open = self.skip
        return account

    def remaining_gets(self, account: Account) -> Iterator[TraceGet]:
        """Yields the GETs from the first one that has not ended."""
        scaling = Scaling(self.speed)
        first = max(self.skip, account.first_open)
        batches = (scaling.apply(gets) for gets in self.trace.batches(skip=first))
        return trace_gets(batches, "pages", "unlock", first)

    def make_replay(self, addresses: dict[str, tuple[str, int]]) -> Replay:
        account = self.load_account()
        rule = ReplayRule(self.patience, self.most_open)
        return Replay(self.remaining_gets(account), addresses, rule, self.seed, account, self.checkpoint)


def summary(replay: Replay, options: ReplayOptions) -> dict[str, Any]:
    """Returns the results of a replay as plain data, for JSON."""
    limits = replay.limits
    return {
        **replay.account.summary(),
        "left": options.trace.rows - replay.account.first_open - len(replay.account.ended_ahead),
        "stalls": [{"at": round(s.start, 3), "lasted": round(s.duration, 3)} for s in limits.stalls],
        "stalled_s": round(limits.stalled_s, 3),
        "further_tries_refused_by_budget": limits.refused_retries,
        "faults": replay.violations[:20],
    }


async def handle_signals(replay: Replay, options: ReplayOptions) -> None:
    """Pauses, resumes or stops the replay on signals, and stops it after `stop_after` seconds."""
    with anyio.open_signal_receiver(signal.SIGUSR2, signal.SIGINT, signal.SIGTERM) as received:
        async with anyio.create_task_group() as group:
            if options.stop_after is not None:
                group.start_soon(stop_after, replay, options.stop_after)
            async for number in received:
                if number == signal.SIGUSR2:
                    replay.paused = not replay.paused
                else:
                    replay.stop()


async def stop_after(replay: Replay, seconds: float) -> None:
    await anyio.sleep(seconds)
    replay.stop()


async def run_to_end(replay: Replay, options: ReplayOptions) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(handle_signals, replay, options)
        await replay.run()
        group.cancel_scope.cancel()


def run_on_gateways(options: ReplayOptions, addresses: dict[str, tuple[str, int]]) -> dict[str, Any]:
    """Replays against gateways that are already running."""
    replay = options.make_replay(addresses)

    async def run() -> None:
        await run_to_end(replay, options)

    anyio.run(run, backend_options={"use_uvloop": True})
    return summary(replay, options)


class FleetReplay(DemoRun):
    """A run of the demo fleet in which the GETs come from a trace."""

    def __init__(self, scenario: Scenario, folder: Path, records: Path, options: ReplayOptions) -> None:
        super().__init__(scenario, folder, records, options.seed)
        self.replay_options = options
        self.replay = self.generator = options.make_replay(self.fleet.addresses)
        self.stand_ins.describe = self.describe

    def describe(self, key: Key) -> tuple[int, int]:
        """Returns the group of an object, and its size in the trace up to the limit of the cache protocol."""
        size = self.replay.object_sizes.get(key[1], 1000)
        return int(key[1], 16) % 64, max(1, min(size, 230_000))

    async def send_gets(self) -> None:
        await run_to_end(self.replay, self.replay_options)


def run_on_fleet(options: ReplayOptions, gateways: int, folder: Path) -> dict[str, Any]:
    """Starts gateways between stand-ins and replays against them."""
    max_timeout = max(offer.viewer_timeout_ms for offer in PROFILES) / 1000
    if options.patience > max_timeout:
        raise RuntimeError(f"the fleet's viewers wait at most {max_timeout:g} s, not {options.patience:g}")
    spans = options.trace.row_group_spans()
    duration = max(4.0, (spans[-1][2] if spans else 0) / 1e6 / options.speed)
    steps: tuple[Step, ...] = ()
    if options.slow_vault:
        steps = (Step(duration / 3, "slow", "vault", duration / 3, options.slow_vault),)
    scenario = Scenario("replay", "a trace, replayed", duration + TAIL, 0, gateways, 3, 2, steps, ())
    if options.script is not None:
        script = load(str(options.script))
        if script.gateways != gateways:
            raise RuntimeError(f"{options.script} is for {script.gateways} gateways, not {gateways}")
        scenario = replace(
            script, name="replay", lasts=duration + TAIL, rate=0, steps=(*script.steps, *steps)
        )
    records = options.records or folder / "records"
    folder.mkdir(parents=True, exist_ok=True)
    records.mkdir(parents=True, exist_ok=True)
    fleet = FleetReplay(scenario, folder, records, options)

    async def run() -> None:
        await fleet.run(lambda _: None)

    anyio.run(run, backend_options={"use_uvloop": True})
    return {
        **summary(fleet.replay, options),
        "records": str(records),
        "stand_ins_saw": fleet.truth.faults[:20],
    }
