"""Connections to the caches: many forwards on each, opened as needed, within the descriptors left to them.

How it is called: `listed()` tells addresses, `send()` puts a forward out and returns its leg, whose end is
told once; `leg.stop()` gives it up, and nothing more is told. `run()` keeps the connections.
"""

from __future__ import annotations

import logging
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import ByteStream, TaskGroup

from damsonstream.protocol import bulletin, resp

log = logging.getLogger(__name__)
RECEIVE = 1 << 18  # bytes taken from a connection at once: a whole object
SPENT = (
    256  # idents remembered as given up on a connection: late answers to them come within a few GETs' time
)


Ending = resp.Answer | resp.Lost
Count = Callable[[str], None]


@dataclass(slots=True, eq=False)
class Leg:
    connection: Connection | None
    ident: bytes
    command: bytes
    at_end: Callable[[Ending], None]
    written: bool = False  # may have come whole to the cache

    def stop(self) -> None:
        if self.connection is not None:
            self.connection.give_up(self)


@dataclass(slots=True, eq=False)
class Connection:
    pool: Pool
    legs: dict[bytes, Leg] = field(default_factory=dict)  # by ident; emptied by answers, stops and its end
    spent: OrderedDict[bytes, None] = field(default_factory=OrderedDict)  # given up; the oldest go first
    queue: deque[Leg | bytes] = field(default_factory=deque)  # to be written; bounded by the streams
    filled: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    used: float = field(default_factory=time.monotonic)
    reason: str = ""
    forwards: int = 0

    def takes(self, ident: bytes, streams: int) -> bool:
        return (
            not self.reason
            and len(self.legs) < streams
            and ident not in self.legs
            and ident not in self.spent
        )

    def put(self, item: Leg | bytes) -> None:
        self.queue.append(item)
        self.filled.set()

    def give_up(self, leg: Leg) -> None:
        if self.legs.get(leg.ident) is not leg:
            return
        del self.legs[leg.ident]
        if not leg.written:
            self.queue.remove(leg)  # it never went
            return
        self.spent[leg.ident] = None
        if len(self.spent) > SPENT:
            self.spent.popitem(last=False)
        self.put(resp.stop(leg.ident))

    def end(self, reason: str) -> None:
        self.reason = self.reason or reason
        self.scope.cancel()

    def answered(self, answer: resp.Answer) -> None:
        leg = self.legs.pop(answer.ident, None)
        if leg is None:
            self.spent.pop(answer.ident, None)  # late: it was given up
            return
        self.used = time.monotonic()
        leg.at_end(answer)


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to one cache, as it was listed last."""

    cache: str
    address: str
    started_ms: int
    connections: list[Connection] = field(default_factory=list)


class Caches:
    def __init__(self, most: int, streams: int, connect_timeout: float, idle: float, count: Count) -> None:
        self.most, self.streams, self.connect_timeout, self.idle = most, streams, connect_timeout, idle
        self.counted = count
        self.pools: dict[str, Pool] = {}  # by cache; as long as the list
        self.count = 0
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
        for connection in pool.connections:
            if reason == "restarted" or not connection.legs:
                connection.end(reason)
            else:
                connection.reason = reason  # takes nothing new, ends when idle

    def send(self, cache: str, ident: bytes, command: bytes, at_end: Callable[[Ending], None]) -> Leg:
        leg = Leg(None, ident, command, at_end)
        pool = self.pools.get(cache)
        if pool is None or self.group is None:
            at_end(resp.Lost("unsent"))
            return leg
        fit = [c for c in pool.connections if c.takes(ident, self.streams)]
        connection = min(fit, key=lambda c: len(c.legs), default=None)
        if connection is None:
            if self.count >= self.most and not self.make_room():
                at_end(resp.Lost("unsent"))
                return leg
            connection = Connection(pool)
            pool.connections.append(connection)
            self.count += 1
            self.group.start_soon(self.serve, connection)
        leg.connection = connection
        connection.legs[ident] = leg
        connection.forwards += 1
        connection.put(leg)
        self.counted("forwarded")
        return leg

    def make_room(self) -> bool:
        """Ends the connection that has been idle longest, to stay within the descriptors' budget."""
        idle = [c for pool in self.pools.values() for c in pool.connections if not c.legs and not c.reason]
        if not idle:
            return False
        min(idle, key=lambda c: c.used).end("room")
        return True

    async def run(self) -> None:
        async with anyio.create_task_group() as self.group:
            while True:
                await anyio.sleep(1)
                before = time.monotonic() - self.idle
                for connection in [c for pool in self.pools.values() for c in pool.connections]:
                    if not connection.legs and (connection.used < before or connection.reason):
                        connection.end("idle")

    async def serve(self, connection: Connection) -> None:
        """One connection, from its opening to its end."""
        pool, stream, opened = connection.pool, None, False
        try:
            with connection.scope:
                host, _, port = pool.address.rpartition(":")
                with anyio.fail_after(self.connect_timeout):
                    stream = await anyio.connect_tcp(host, int(port))
                opened = True
                async with anyio.create_task_group() as group:
                    group.start_soon(self.write, connection, stream)
                    reason = await self.read(connection, stream)
                    connection.end(reason)
        except TimeoutError:
            connection.reason = connection.reason or "connect-timeout"
        except OSError:
            connection.reason = connection.reason or "refused"
        except Exception:
            log.exception("cache connection")
            connection.reason = connection.reason or "fault"
        finally:
            pool.connections.remove(connection)
            self.count -= 1
            reason = connection.reason or "stopped"
            connection.reason = reason
            self.counted(f"cache.{reason}")
            told = {"side": "cache", "cache": pool.cache, "peer": pool.address, "reason": reason}
            log.info("closed", extra={**told, "forwards": connection.forwards, "open": len(connection.legs)})
            legs = list(connection.legs.values())
            connection.legs.clear()
            for leg in legs:
                leg.at_end(resp.Lost("broken" if opened and leg.written else "unreached"))
            if stream is not None:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)

    async def read(self, connection: Connection, stream: ByteStream) -> str:
        decoder = resp.Decoder()
        try:
            while True:
                for answer in decoder.feed(await stream.receive(RECEIVE)):
                    connection.answered(answer)
        except anyio.EndOfStream:
            return "closed"
        except anyio.BrokenResourceError:
            return "reset"
        except resp.Broken as fault:
            log.warning("malformed", extra={"cache": connection.pool.cache, "what": str(fault)})
            return "malformed"

    async def write(self, connection: Connection, stream: ByteStream) -> None:
        try:
            while True:
                while connection.queue:
                    item = connection.queue.popleft()
                    if isinstance(item, Leg):
                        item.written = True
                        item = item.command
                    await stream.send(item)
                connection.filled = anyio.Event()
                await connection.filled.wait()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            connection.end("reset")
