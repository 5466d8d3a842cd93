"""Replays a trace against gateways, over FastCGI, at the recorded times.

How it is called: `Replay(gets, addresses, rule, ...)`; `await replay.run()` returns when all GETs have ended,
or at `stop()`. `account` tells then. Open loop: a GET goes out when the trace has it, whatever became of the
ones before. Decisions: `limits.py`; the account: `account.py`.
"""

from __future__ import annotations

import asyncio
import os
import threading
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import anyio
import numpy as np

from damsonstream.replay.account import Account, Unusable
from damsonstream.replay.limits import Limits, Rule
from damsonstream.standins.clients import CONNECTIONS, STREAMS, Front, GatewayLink, Open
from damsonstream.standins.traffic import Arrival, Catalogue, Offer
from damsonstream.traces.gets import WRITE, mixed

US = 1_000_000
LOCK = threading.Lock()  # checkpoints are written one after the other
STEP = 0.005  # seconds between looks at what is due: lateness by the loop's own doing stays under it
SAVE = 1.0  # seconds between checkpoints: what a kill makes it play once more


@dataclass(slots=True, frozen=True)
class Wish:
    """A GET of the trace."""

    place: int
    at: float  # seconds since the trace's start
    client: int
    service: str
    thing: str
    tokened: bool
    size: int


def wishes(batches: Iterable[np.ndarray], read: str, write: str, first: int = 0) -> Iterator[Wish]:
    place = first
    for gets in batches:
        for time_, thing, client, kind, size in zip(
            gets["time"].tolist(), gets["object"].tolist(), gets["client"].tolist(), gets["kind"].tolist(),
            gets["size"].tolist(), strict=True,
        ):  # fmt: skip
            writes = kind == WRITE
            yield Wish(place, time_ / US, client, write if writes else read, f"{thing:016x}", writes, size)
            place += 1


class Replay(Front):
    """The front's web servers, which bring a trace's GETs."""

    def __init__(
        self,
        gets: Iterator[Wish],
        addresses: dict[str, tuple[str, int]],
        rule: Rule,
        seed: int,
        account: Account,
        checkpoint: Path | None = None,
    ) -> None:
        self.began = time.monotonic()
        super().__init__(addresses, Catalogue((), seed), self.clock, seed)
        self.gets, self.account, self.checkpoint = gets, account, checkpoint
        self.limits = Limits.of(rule, addresses, seed)
        self.offers: dict[str, Offer] = {}
        self.stopped, self.paused = False, False
        self.offset = 0.0  # the trace's time at the replay's start
        self.saved = 0.0
        self.sizes: dict[str, int] = {}  # of the latest objects, for stand-ins; bounded

    def clock(self) -> float:
        return time.monotonic() - self.began

    def stop(self) -> None:
        """Sends nothing new; what is open ends."""
        self.stopped = True

    def offer(self, wish: Wish) -> Offer:
        if wish.service not in self.offers:
            patience = int(self.limits.rule.patience * 1000)
            self.offers[wish.service] = Offer(wish.service, 0, 0, 0, 0, patience, wish.tokened)
        return self.offers[wish.service]

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            self.group = group
            for name in self.addresses:
                group.start_soon(self.keep, name)
            with anyio.move_on_after(5):
                while not any(self.links.values()):
                    await anyio.sleep(0.01)
            self.began = time.monotonic()
            await self.feed()
            while self.open:
                await anyio.sleep(STEP)
                self.save()
            self.save(force=True)
            self.close()
            group.cancel_scope.cancel()

    async def feed(self) -> None:
        """Each GET at its time; a pause moves all that follows."""
        assert self.group is not None
        first = True
        for wish in self.gets:
            if self.account.done(wish.place):
                continue
            if first:
                self.offset, first = wish.at - self.clock(), False
            while True:
                now = self.clock()
                if self.stopped:
                    return
                if self.paused:
                    before = now
                    await anyio.sleep(STEP)
                    self.offset -= self.clock() - before
                    self.limits.ticked = -1.0
                    continue
                wait = wish.at - self.offset - now
                told = "wait" if wait > 0 else self.limits.send(now, wish.at - self.offset)
                if told != "wait":
                    break
                sleeps = min(STEP, max(0.0005, wait)) if wait > 0 else STEP
                self.limits.tick(now, sleeps)
                self.save()
                await anyio.sleep(sleeps)
            intended = wish.at - self.offset
            self.limits.earn()
            if told == "overdue":
                self.account.enter(wish.place, wish.service, "overdue", 0, 0.0, 0.0, 0.0)
                continue
            self.limits.tick(self.clock(), 0.0)
            self.open += 1
            self.group.start_soon(self.live, wish, intended)

    async def live(self, wish: Wish, intended: float) -> None:
        """One wish, from its first try to its one outcome."""
        offer, tries, late, sent, outcome = self.offer(wish), 0, 0.0, 0.0, "no-gateway"
        thing = wish.thing
        self.sizes[thing] = wish.size
        if len(self.sizes) > 200_000:
            del self.sizes[next(iter(self.sizes))]
        token = f"{int(mixed(np.array([wish.place], np.uint64), 77)[0]):032x}" if wish.tokened else ""
        arrival = Arrival(wish.at, wish.client, offer, thing, 0, token)
        until = intended + self.limits.rule.patience
        try:
            while (left := until - self.clock()) > 0:
                link = self.reach(wish.client)
                if link is None:
                    if not tries:
                        outcome = "no-room" if any(self.links.values()) else "no-gateway"
                    await anyio.sleep(min(left, STEP * 4))
                    continue
                now = sent = self.clock()
                late = late if tries else now - intended
                self.limits.sent(link.name)
                waiting = self.send(link, arrival, tries, left)
                tries += 1
                with anyio.move_on_after(left) as scope:
                    await waiting.done
                self.limits.ended(link.name)
                # its future is cancelled with the wait for it: whether it ended is told by the outcome
                if scope.cancelled_caught and not waiting.one.outcome:
                    self.give_up(link, waiting)
                outcome = waiting.one.outcome
                again = self.limits.again(
                    self.clock(), intended, tries, outcome, waiting.come_back_ms / 1000, wish.tokened
                )
                if again.why:
                    break
                await anyio.sleep(again.after)
        finally:
            self.open -= 1
            now = self.clock()
            if not self.closing:
                self.account.enter(wish.place, wish.service, outcome, tries, late, now - intended, now - sent)

    def reach(self, client: int) -> GatewayLink | None:
        name = self.limits.pick(client, self.clock())
        links = [link for link in self.links.get(name or "", ()) if not link.reason]
        link = min(links, key=lambda link: len(link.open), default=None)
        return link if link is not None and len(link.open) < STREAMS else None

    def send(self, link: GatewayLink, arrival: Arrival, further: int, left: float) -> Open:
        waiting = super().send(link, arrival, further, left)
        self.tries.clear()  # the account is kept elsewhere: a trace may have billions
        return waiting

    async def keep(self, name: str) -> None:
        """Keeps the connections to one gateway; one that refuses is down until it takes one again."""
        host, port = self.addresses[name]
        loop = asyncio.get_running_loop()
        while not self.closing:
            gateway = self.limits.gateways[name]
            if len(self.links[name]) >= CONNECTIONS or (gateway.downs and self.clock() < gateway.look_at):
                await anyio.sleep(0.02)
                continue
            link = GatewayLink(self, name)
            try:
                with anyio.fail_after(1.0):
                    await loop.create_connection(lambda link=link: link, host, port)  # type: ignore[misc]
            except (OSError, TimeoutError):
                self.limits.down(name, self.clock())
                continue
            self.limits.up(name)
            self.links[name].append(link)

    def parted(self, link: GatewayLink) -> None:
        super().parted(link)
        if not self.links[link.name] and not self.closing:
            self.limits.down(link.name, self.clock())

    def save(self, force: bool = False) -> None:
        if self.checkpoint is not None and (force or self.clock() - self.saved >= SAVE):
            self.saved, told = self.clock(), self.account.dump()
            if force:
                put(self.checkpoint, told)
            else:  # a disk that takes its time is no reason to send late
                asyncio.get_running_loop().run_in_executor(None, put, self.checkpoint, told)


def put(path: Path, data: bytes) -> None:
    """The whole file or the one before it."""
    beside = path.with_name(f".{path.name}.{os.getpid()}")
    with LOCK, beside.open("wb") as stream:
        stream.write(data)
        stream.flush()
        os.fsync(stream.fileno())
        os.replace(beside, path)


def resumed(path: Path | None, trace: str) -> Account:
    """The account of a checkpoint, where there is one."""
    if path is None or not path.exists():
        return Account(trace)
    try:
        return Account.load(path.read_bytes(), trace)
    except (Unusable, OSError) as fault:
        raise Unusable(f"{path}: {fault}") from fault
