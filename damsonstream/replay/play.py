"""A replay as it is ordered: against gateways that run, or against a fleet between stand-ins that is started
for it.

How it is called: `against(order, addresses)` and `with_fleet(order, gateways, folder)` run to the end and
return plain data.
"""

from __future__ import annotations

import signal
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import anyio

from damsonstream.demo.figures import OFFERS
from damsonstream.demo.play import Play
from damsonstream.demo.scenario import Scenario, Step, load
from damsonstream.replay.account import Account
from damsonstream.replay.limits import Rule
from damsonstream.replay.run import Replay, Wish, resumed, wishes
from damsonstream.standins.traffic import Key
from damsonstream.traces.native import Native
from damsonstream.traces.shape import Scaling

END = 30.0  # seconds after the last GET, for what is still open


@dataclass(slots=True)
class Order:
    """What is wanted of a replay."""

    trace: Native
    seed: int = 1
    speed: float = 1.0
    stop_after: float | None = None
    skip: int = 0
    patience: float = 3.0
    most_open: int = 2000
    slow_vault: float | None = None
    script: Path | None = None  # a demo scenario, whose steps and clocks are played too
    records: Path | None = None
    checkpoint: Path | None = None

    def account(self) -> Account:
        account = resumed(self.checkpoint, str(self.trace.about.get("digest", "")))
        if not account.resumed:
            account.low = self.skip
        return account

    def wishes(self, account: Account) -> Iterator[Wish]:
        """From the first GET that the account lacks."""
        scaling = Scaling(self.speed)
        first = max(self.skip, account.low)
        batches = (scaling.apply(gets) for gets in self.trace.batches(skip=first))
        return wishes(batches, "pages", "unlock", first)

    def replay(self, addresses: dict[str, tuple[str, int]]) -> Replay:
        account = self.account()
        rule = Rule(self.patience, self.most_open)
        return Replay(self.wishes(account), addresses, rule, self.seed, account, self.checkpoint)


def told(replay: Replay, order: Order) -> dict[str, Any]:
    limits = replay.limits
    return {
        **replay.account.told(),
        "left": order.trace.rows - replay.account.low - len(replay.account.beyond),
        "stalls": [{"at": round(s.at, 3), "lasted": round(s.lasted, 3)} for s in limits.stalls],
        "stalled_s": round(limits.stalled, 3),
        "further_tries_refused_by_budget": limits.refused,
        "faults": replay.faults[:20],
    }


async def watch(replay: Replay, order: Order) -> None:
    """Signals and the time that it may take."""
    with anyio.open_signal_receiver(signal.SIGUSR2, signal.SIGINT, signal.SIGTERM) as received:
        async with anyio.create_task_group() as group:
            if order.stop_after is not None:
                group.start_soon(stop_after, replay, order.stop_after)
            async for number in received:
                if number == signal.SIGUSR2:
                    replay.paused = not replay.paused
                else:
                    replay.stop()


async def stop_after(replay: Replay, seconds: float) -> None:
    await anyio.sleep(seconds)
    replay.stop()


async def to_the_end(replay: Replay, order: Order) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(watch, replay, order)
        await replay.run()
        group.cancel_scope.cancel()


def against(order: Order, addresses: dict[str, tuple[str, int]]) -> dict[str, Any]:
    replay = order.replay(addresses)

    async def run() -> None:
        await to_the_end(replay, order)

    anyio.run(run, backend_options={"use_uvloop": True})
    return told(replay, order)


class Fleet(Play):
    """A play whose viewers are a trace's."""

    def __init__(self, scenario: Scenario, folder: Path, records: Path, order: Order) -> None:
        super().__init__(scenario, folder, records, order.seed)
        self.ordered = order
        self.replay = self.front = order.replay(self.fleet.addresses)
        self.world.describe = self.describe

    def describe(self, key: Key) -> tuple[int, int]:
        """Objects have the trace's sizes, up to what the caches' protocol bears."""
        size = self.replay.sizes.get(key[1], 1000)
        return int(key[1], 16) % 64, max(1, min(size, 230_000))

    async def viewers(self) -> None:
        await to_the_end(self.replay, self.ordered)


def with_fleet(order: Order, gateways: int, folder: Path) -> dict[str, Any]:
    most = max(offer.patience_ms for offer in OFFERS) / 1000
    if order.patience > most:
        raise RuntimeError(f"the fleet's viewers wait {most:g} s at the most, not {order.patience:g}")
    spans = order.trace.spans()
    long = max(4.0, (spans[-1][2] if spans else 0) / 1e6 / order.speed)
    steps: tuple[Step, ...] = ()
    if order.slow_vault:
        steps = (Step(long / 3, "slow", "vault", long / 3, order.slow_vault),)
    scenario = Scenario("replay", "a trace, replayed", long + END, 0, gateways, 3, 2, steps, ())
    if order.script is not None:
        told_by = load(str(order.script))
        if told_by.gateways != gateways:
            raise RuntimeError(f"{order.script} is for {told_by.gateways} gateways, not {gateways}")
        scenario = replace(told_by, name="replay", lasts=long + END, rate=0, steps=(*told_by.steps, *steps))
    records = order.records or folder / "records"
    folder.mkdir(parents=True, exist_ok=True)
    records.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(scenario, folder, records, order)

    async def run() -> None:
        await fleet.run(lambda _: None)

    anyio.run(run, backend_options={"use_uvloop": True})
    return {**told(fleet.replay, order), "records": str(records), "stand_ins_saw": fleet.truth.faults[:20]}
