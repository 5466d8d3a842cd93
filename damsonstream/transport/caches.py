"""Connections to the caches: many forwards on each, opened as needed, within the descriptors left to them.

How it is called: `listed()` tells addresses, `send()` puts a forward out and returns its leg, whose end is
told once; `leg.stop()` gives it up, and nothing more is told. `run()` keeps the connections.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from damsonstream.protocol import bulletin, resp
from damsonstream.transport.link import Link

log = logging.getLogger(__name__)
# Seconds without a byte in the middle of an answer after which its connection is of no use: an object at the
# pace that is told takes under a second in all. Guards against answers that stop short and hold up others.
STALLED = 1.0
# Seconds without a byte since a forward went out after which a connection takes no new ones, and ends once
# none is left: what is out may still be answered. Guards against one that stays open and is of no use: every
# trial of a cache went out on it, so that its breaker never closed. Costs one more where a cache thinks long.
QUIET = 1.0
PASSING = 1.0  # seconds without use for which one is kept to a cache that others look after
SWEEP = 0.25  # seconds between looks at the connections
UNREAD = 1 << 18  # bytes that a cache has not read: a connection with more takes nothing new
SPENT = 256  # idents remembered as over on a connection: late answers to them come within a few GETs' time
Ending = resp.Answer | resp.Lost


@dataclass(slots=True, eq=False)
class Leg:
    """A forward that is out."""

    ident: bytes
    command: bytes
    at_end: Callable[[Ending], None]
    connection: Connection | None = None

    def stop(self) -> None:
        if self.connection is not None:
            self.connection.give_up(self)


class Connection(Link):
    def __init__(self, pool: Pool, caches: Caches) -> None:
        super().__init__()
        self.pool, self.caches = pool, caches
        self.decoder = resp.Decoder()
        self.legs: dict[bytes, Leg] = {}  # by ident; emptied by answers, stops and its end
        self.spent: OrderedDict[bytes, None] = OrderedDict()  # given up or answered; the oldest go first
        self.retired = ""  # why it takes nothing new
        self.forwards = 0
        self.asked = 0.0  # when the first forward went out since something came, 0: none
        self.closed = anyio.Event()

    def takes(self, ident: bytes) -> bool:
        fit = not self.reason and not self.retired and len(self.legs) < self.caches.streams
        fit = fit and not self.quiet and self.waiting < UNREAD  # guards against a cache that reads nothing
        return fit and ident not in self.legs and ident not in self.spent

    @property
    def quiet(self) -> bool:
        return 0 < self.asked < time.monotonic() - QUIET

    def forward(self, leg: Leg) -> None:
        self.asked = self.asked or time.monotonic()
        leg.connection = self
        self.legs[leg.ident] = leg
        self.forwards += 1
        self.send(leg.command)

    def give_up(self, leg: Leg) -> None:
        if self.legs.get(leg.ident) is not leg:
            return
        del self.legs[leg.ident]
        if self.transport is None:  # it waits for a connection that is not up: it must not go out after all
            self.queue.remove(leg.command)
            return
        self.spend(leg.ident)
        self.send(resp.stop(leg.ident))

    def spend(self, ident: bytes) -> None:
        self.spent[ident] = None
        if len(self.spent) > SPENT:
            self.spent.popitem(last=False)

    def took(self, data: bytes) -> None:
        for answer in self.decoder.feed(data):
            leg = self.legs.pop(answer.ident, None)
            if leg is None:  # late, as it was given up; or a second or unknown one, which reaches nobody
                self.spent.pop(answer.ident, None)
            else:
                self.spend(answer.ident)  # a second copy, split from this one, is no later forward's answer
                leg.at_end(answer)
        if self.decoder.broken:
            log.warning("malformed", extra={"cache": self.pool.cache, "what": self.decoder.broken})
            self.end("malformed")
        self.used, self.asked = time.monotonic(), 0.0

    def ended(self) -> None:
        """Also called when it never came up: then nothing ran."""
        if self.closed.is_set():
            return
        self.closed.set()
        legs, self.legs = list(self.legs.values()), {}
        told = {"side": "cache", "cache": self.pool.cache, "peer": self.pool.address, "reason": self.reason}
        log.info("closed", extra={**told, "forwards": self.forwards, "left": len(legs)})
        self.caches.parted(self)
        up = self.transport is not None
        for place, leg in enumerate(legs):  # one connection that broke is one symptom for all that were on it
            leg.at_end(resp.Lost("broken" if up else "unreached", up and place > 0))


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to one cache, as it was listed last."""

    cache: str
    address: str
    started_ms: int
    connections: list[Connection] = field(default_factory=list)


class Caches:
    def __init__(
        self, most: int, streams: int, connect_timeout: float, idle: float, count: Callable[[str], None]
    ) -> None:
        self.most, self.streams, self.connect_timeout, self.idle = most, streams, connect_timeout, idle
        self.counted = count
        self.keeps: Callable[[str], bool] = lambda cache: True  # whether idle connections to it are kept
        self.pools: dict[str, Pool] = {}  # by cache; as long as the list
        self.open: dict[Connection, None] = {}  # also of caches no longer listed; emptied as they end
        self.group: TaskGroup | None = None

    def listed(self, event: bulletin.ListChanged) -> None:
        if event.whole:
            here = {line.cache for line in event.entries}
            for name in [name for name in self.pools if name not in here]:
                self.retire(self.pools.pop(name), "gone")
        for line in event.entries:
            pool = self.pools.get(line.cache)
            if line.state == "left":
                if pool is not None:
                    self.retire(self.pools.pop(line.cache), "gone")
            elif pool is None:
                self.pools[line.cache] = Pool(line.cache, line.address, line.started_ms)
            elif (pool.address, pool.started_ms) != (line.address, line.started_ms):
                self.retire(pool, "restarted")  # what stays silent on them is the old process's
                self.pools[line.cache] = Pool(line.cache, line.address, line.started_ms)

    def retire(self, pool: Pool, reason: str) -> None:
        for connection in list(pool.connections):
            connection.retired = reason
            if reason == "restarted" or not connection.legs:
                connection.end(reason)

    def send(self, cache: str, ident: bytes, command: bytes, at_end: Callable[[Ending], None]) -> Leg:
        leg = Leg(ident, command, at_end)
        pool = self.pools.get(cache)
        if pool is None or self.group is None:
            at_end(resp.Lost("unsent"))
            return leg
        fit = [connection for connection in pool.connections if connection.takes(ident)]
        connection = min(fit, key=lambda c: len(c.legs), default=None)
        if connection is None:
            if len(self.open) >= self.most and not self.make_room():
                at_end(resp.Lost("unsent"))
                return leg
            connection = Connection(pool, self)
            pool.connections.append(connection)
            self.open[connection] = None
            self.group.start_soon(self.serve, connection)
        connection.forward(leg)
        self.counted("forwarded")
        return leg

    def make_room(self) -> bool:
        """Ends the connection that has been idle longest, to stay within the descriptors' budget."""
        idle = [c for c in self.open if not c.legs and not c.reason]
        if not idle:
            return False
        min(idle, key=lambda c: c.used).end("room")
        return True

    def parted(self, connection: Connection) -> None:
        connection.pool.connections.remove(connection)
        self.open.pop(connection, None)
        self.counted(f"cache.{connection.reason}")

    async def run(self) -> None:
        async with anyio.create_task_group() as self.group:
            while True:
                await anyio.sleep(SWEEP)
                now = time.monotonic()
                for connection in list(self.open):
                    if connection.decoder.half and connection.used < now - STALLED:
                        connection.end("stalled")
                    elif not connection.legs and connection.quiet:
                        connection.end("quiet")
                    elif not connection.legs:
                        kept = self.idle if self.keeps(connection.pool.cache) else min(self.idle, PASSING)
                        if connection.retired or connection.used < now - kept:
                            connection.end(connection.retired or "idle")

    async def serve(self, connection: Connection) -> None:
        """One connection, from its opening to its end."""
        host, _, port = connection.pool.address.rpartition(":")
        try:
            with anyio.fail_after(self.connect_timeout):
                await asyncio.get_running_loop().create_connection(lambda: connection, host, int(port))
        except TimeoutError:
            connection.reason = connection.reason or "connect-timeout"
        except OSError:
            connection.reason = connection.reason or "no-listener"
        except Exception:
            log.exception("connect", extra={"peer": connection.pool.address})
            connection.reason = connection.reason or "fault"
        if connection.transport is None:
            connection.reason = connection.reason or "stopped"
            connection.ended()
        else:
            await connection.closed.wait()
