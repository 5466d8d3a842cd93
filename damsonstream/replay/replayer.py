"""Replays a trace against gateways, over FastCGI, at the recorded times.

Usage: `Replay(gets, addresses, rule, ...)`; `await replay.run()` returns when all GETs have ended, or after
`stop()`; then `account` has the results. The load is open loop: each GET is sent at its time in the trace,
whether or not earlier ones have ended. `limits.py` makes the decisions, `account.py` counts the outcomes.
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

from damsonstream.replay.account import Account, UnusableCheckpoint
from damsonstream.replay.limits import Limits, ReplayRule
from damsonstream.standins.clients import (
    CONNECTIONS,
    MAX_STREAMS,
    GatewayConnection,
    LoadGenerator,
    PendingGet,
)
from damsonstream.standins.traffic import Arrival, Catalogue, ServiceProfile
from damsonstream.traces.gets import WRITE, mix64

US_PER_S = 1_000_000
CHECKPOINT_LOCK = threading.Lock()  # serializes the writing of checkpoints
POLL_INTERVAL = 0.005  # seconds; an upper bound for the delay that the loop itself adds to a GET
CHECKPOINT_INTERVAL = 1.0  # seconds; after a kill this much is replayed again


@dataclass(slots=True, frozen=True)
class TraceGet:
    """A GET of the trace."""

    index: int
    at: float  # seconds since the start of the trace
    client: int
    service: str
    object_id: str
    tokened: bool
    size: int


def trace_gets(batches: Iterable[np.ndarray], read: str, write: str, first: int = 0) -> Iterator[TraceGet]:
    """Yields the GETs of a trace. `read`, `write`: delivery services; `first`: index of the first GET."""
    index = first
    for gets in batches:
        for time_, object_id, client, kind, size in zip(
            gets["time"].tolist(), gets["object"].tolist(), gets["client"].tolist(), gets["kind"].tolist(),
            gets["size"].tolist(), strict=True,
        ):  # fmt: skip
            is_write = kind == WRITE
            yield TraceGet(
                index,
                time_ / US_PER_S,
                client,
                write if is_write else read,
                f"{object_id:016x}",
                is_write,
                size,
            )
            index += 1


class Replay(LoadGenerator):
    """The client side of a replay: web servers that send the GETs of a trace to gateways."""

    def __init__(
        self,
        gets: Iterator[TraceGet],
        addresses: dict[str, tuple[str, int]],
        rule: ReplayRule,
        seed: int,
        account: Account,
        checkpoint: Path | None = None,
    ) -> None:
        self.started_at = time.monotonic()
        super().__init__(addresses, Catalogue((), seed), self.clock, seed)
        self.gets, self.account, self.checkpoint = gets, account, checkpoint
        self.limits = Limits.of(rule, addresses, seed)
        self.offers: dict[str, ServiceProfile] = {}
        self.stopped, self.paused = False, False
        self.trace_offset = 0.0  # time in the trace when the replay's clock is 0
        self.saved_at = 0.0
        self.object_sizes: dict[str, int] = {}  # of the latest objects, for the stand-ins; bounded

    def clock(self) -> float:
        return time.monotonic() - self.started_at

    def stop(self) -> None:
        """Sends no further GETs; open ones continue to their end."""
        self.stopped = True

    def offer_for(self, get: TraceGet) -> ServiceProfile:
        if get.service not in self.offers:
            timeout_ms = int(self.limits.rule.viewer_timeout * 1000)
            self.offers[get.service] = ServiceProfile(get.service, 0, 0, 0, 0, timeout_ms, get.tokened)
        return self.offers[get.service]

    async def run(self) -> None:
        """Connects to the gateways, sends all GETs and waits for their ends."""
        async with anyio.create_task_group() as group:
            self.group = group
            for name in self.addresses:
                group.start_soon(self.keep_connected, name)
            with anyio.move_on_after(5):
                while not any(self.pools.values()):
                    await anyio.sleep(0.01)
            self.started_at = time.monotonic()
            await self.replay_all()
            while self.open:
                await anyio.sleep(POLL_INTERVAL)
                self.save_checkpoint()
            self.save_checkpoint(force=True)
            self.close()
            group.cancel_scope.cancel()

    async def replay_all(self) -> None:
        """Sends each GET at its time; a pause postpones all GETs after it."""
        assert self.group is not None
        first = True
        for get in self.gets:
            if self.account.has_ended(get.index):
                continue
            if first:
                self.trace_offset, first = get.at - self.clock(), False
            while True:
                now = self.clock()
                if self.stopped:
                    return
                if self.paused:
                    paused_at = now
                    await anyio.sleep(POLL_INTERVAL)
                    self.trace_offset -= self.clock() - paused_at
                    self.limits.next_tick_due = -1.0
                    continue
                wait = get.at - self.trace_offset - now
                decision = "wait" if wait > 0 else self.limits.admit(now, get.at - self.trace_offset)
                if decision != "wait":
                    break
                sleep = min(POLL_INTERVAL, max(0.0005, wait)) if wait > 0 else POLL_INTERVAL
                self.limits.tick(now, sleep)
                self.save_checkpoint()
                await anyio.sleep(sleep)
            intended = get.at - self.trace_offset
            self.limits.earn_tokens()
            if decision == "overdue":
                self.account.record(get.index, get.service, "overdue", 0, 0.0, 0.0, 0.0)
                continue
            self.limits.tick(self.clock(), 0.0)
            self.open += 1
            self.group.start_soon(self.replay_get, get, intended)

    async def replay_get(self, get: TraceGet, intended: float) -> None:
        """Sends one GET, with retries, until it has an outcome."""
        offer, tries, send_delay, sent, outcome = self.offer_for(get), 0, 0.0, 0.0, "no-gateway"
        object_id = get.object_id
        self.object_sizes[object_id] = get.size
        if len(self.object_sizes) > 200_000:
            del self.object_sizes[next(iter(self.object_sizes))]
        token = f"{int(mix64(np.array([get.index], np.uint64), 77)[0]):032x}" if get.tokened else ""
        arrival = Arrival(get.at, get.client, offer, object_id, 0, token)
        deadline = intended + self.limits.rule.viewer_timeout
        try:
            while (time_left := deadline - self.clock()) > 0:
                link = self.client_connection(get.client)
                if link is None:
                    if not tries:
                        outcome = "no-room" if any(self.pools.values()) else "no-gateway"
                    await anyio.sleep(min(time_left, POLL_INTERVAL * 4))
                    continue
                now = sent = self.clock()
                send_delay = send_delay if tries else now - intended
                self.limits.sent(link.name)
                waiting = self.send(link, arrival, tries, time_left)
                tries += 1
                with anyio.move_on_after(time_left) as scope:
                    await waiting.done
                self.limits.ended(link.name)
                # the timeout cancels the future too, so only the outcome shows whether the try has ended
                if scope.cancelled_caught and not waiting.get.outcome:
                    self.abandon(link, waiting)
                outcome = waiting.get.outcome
                retry = self.limits.decide_retry(
                    self.clock(), intended, tries, outcome, waiting.retry_after_ms / 1000, get.tokened
                )
                if retry.give_up_reason:
                    break
                await anyio.sleep(retry.delay)
        finally:
            self.open -= 1
            now = self.clock()
            if not self.closing:
                self.account.record(
                    get.index, get.service, outcome, tries, send_delay, now - intended, now - sent
                )

    def client_connection(self, client: int) -> GatewayConnection | None:
        """Returns the least loaded connection to the client's gateway, or None if there is no free stream."""
        name = self.limits.pick_gateway(client, self.clock())
        links = [link for link in self.pools.get(name or "", ()) if not link.reason]
        link = min(links, key=lambda link: len(link.pending), default=None)
        return link if link is not None and len(link.pending) < MAX_STREAMS else None

    def send(self, link: GatewayConnection, arrival: Arrival, further: int, left: float) -> PendingGet:
        waiting = super().send(link, arrival, further, left)
        self.sent_gets.clear()  # a trace may have billions of GETs, and `account` counts them already
        return waiting

    async def keep_connected(self, name: str) -> None:
        """Keeps the connections to one gateway open. A gateway is down from a refusal to the next success."""
        host, port = self.addresses[name]
        loop = asyncio.get_running_loop()
        while not self.closing:
            gateway = self.limits.gateways[name]
            if len(self.pools[name]) >= CONNECTIONS or (gateway.failures and self.clock() < gateway.retry_at):
                await anyio.sleep(0.02)
                continue
            link = GatewayConnection(self, name)
            try:
                with anyio.fail_after(1.0):
                    await loop.create_connection(lambda link=link: link, host, port)  # type: ignore[misc]
            except (OSError, TimeoutError):
                self.limits.mark_down(name, self.clock())
                continue
            self.limits.mark_up(name)
            self.pools[name].append(link)

    def handle_disconnect(self, link: GatewayConnection) -> None:
        super().handle_disconnect(link)
        if not self.pools[link.name] and not self.closing:
            self.limits.mark_down(link.name, self.clock())

    def save_checkpoint(self, force: bool = False) -> None:
        """Writes the checkpoint if the last one is old enough, or immediately with `force`."""
        if self.checkpoint is not None and (force or self.clock() - self.saved_at >= CHECKPOINT_INTERVAL):
            self.saved_at, state = self.clock(), self.account.dump()
            if force:
                write_atomically(self.checkpoint, state)
            else:  # in a thread, so that a slow disk does not delay GETs
                asyncio.get_running_loop().run_in_executor(None, write_atomically, self.checkpoint, state)


def write_atomically(path: Path, data: bytes) -> None:
    """Replaces a file atomically."""
    temp_path = path.with_name(f".{path.name}.{os.getpid()}")
    with CHECKPOINT_LOCK, temp_path.open("wb") as stream:
        stream.write(data)
        stream.flush()
        os.fsync(stream.fileno())
        os.replace(temp_path, path)


def load_account(path: Path | None, trace: str) -> Account:
    """Returns the account of a checkpoint, or a new one if the file does not exist."""
    if path is None or not path.exists():
        return Account(trace)
    try:
        return Account.load(path.read_bytes(), trace)
    except (UnusableCheckpoint, OSError) as fault:
        raise UnusableCheckpoint(f"{path}: {fault}") from fault
