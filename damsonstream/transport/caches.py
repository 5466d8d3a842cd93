"""Connections to the caches: many attempts on each, opened as needed, within the descriptors left to them.

How it is called: `listed()` tells addresses; `send()` puts an attempt out and returns it; its end is told
once. The command is asked for as its first byte is to be written, since until then the attempt can be taken
back: it waits at its cache's pool, not on a connection, while none is up or none takes more. `attempt.stop()`
gives it up, and nothing more is told. `run()` keeps the connections.
"""

from __future__ import annotations

import asyncio
import logging
import math
import select
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import anyio
from anyio.abc import TaskGroup

from damsonstream.protocol import bulletin, resp
from damsonstream.transport.connection import LOCAL, Connection

log = logging.getLogger(__name__)
# Seconds without a byte in the middle of an answer after which its connection is of no use: an object at the
# pace that is told takes under a second in all. Guards against answers that stop short and hold up others.
STALLED = 1.0
# Seconds without a byte since an attempt went out after which a connection takes no new ones, and ends once
# none is left: what is out may still be answered. Guards against one that stays open and is of no use: every
# trial of a cache went out on it, so that its breaker never closed. Costs one more where a cache thinks long.
QUIET = 1.0
PASSING = 1.0  # seconds without use for which one is kept to a cache that others look after
SWEEP = 0.25  # seconds between looks at the connections
SPENT = 256  # idents remembered as over on a connection: late answers to them come within a few GETs' time
# A connection that is not up after this part of the time told for it is helped by a second one, and no
# further: a quarter is many round trips, and leaves the second one as long as most take. Guards against one
# lost packet taking the whole time told from all that wait.
HELPED = 0.25
SHUT = getattr(select, "POLLRDHUP", 0)  # the peer has shut its side; where that isn't told, resets still are
Ending = resp.Answer | resp.Lost
Command = Callable[[], bytes | None]  # as of now; None: it must not go any more


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt at a cache: waiting at its pool until a connection takes it, then out on that."""

    ident: bytes
    command: Command
    at_end: Callable[[Ending], None]
    pool: Pool | None = None  # where it waits
    timer: asyncio.TimerHandle | None = None
    connection: CacheConnection | None = None

    def leave(self) -> None:
        """Waits no more."""
        if self.pool is not None:
            self.pool.waiting.pop(self, None)
            self.pool = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def lose(self, result: str) -> None:
        self.leave()
        self.at_end(resp.Lost(result))

    def stop(self, tell: bool = True) -> None:
        """Gives it up; `tell`: the cache too, if it went out."""
        self.leave()
        if self.connection is not None:
            self.connection.give_up(self, tell)


class CacheConnection(Connection):
    def __init__(self, pool: Pool, caches: Caches) -> None:
        super().__init__()
        self.pool, self.caches = pool, caches
        self.decoder = resp.Decoder()
        self.attempts: dict[bytes, Attempt] = {}  # by ident; emptied by answers, stops and its end
        self.spent: OrderedDict[bytes, None] = OrderedDict()  # given up or answered; the oldest go first
        self.retired = ""  # why it takes nothing new
        self.sent = 0
        self.asked = 0.0  # when the first attempt went out since something came, 0: none
        self.stuck = False  # the system takes no more bytes: the cache doesn't read
        self.began = time.monotonic()
        self.dial: anyio.CancelScope | None = None  # while it is not up
        self.closed = anyio.Event()

    def takes(self, ident: bytes) -> bool:
        fit = (
            self.transport is not None and not self.transport.is_closing()
        )  # a write may have failed just now
        fit = fit and not self.reason and not self.retired
        fit = fit and not self.quiet and not self.stuck and len(self.attempts) < self.caches.streams
        return fit and ident not in self.attempts and ident not in self.spent

    @property
    def shut(self) -> bool:
        """Whether its cache has closed it, which lies in the system and has not been read."""
        look = select.poll()
        look.register(cast(asyncio.Transport, self.transport).get_extra_info("socket").fileno(), SHUT)
        return bool(look.poll(0))

    @property
    def quiet(self) -> bool:
        return 0 < self.asked < time.monotonic() - QUIET

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if self.dial is not None and self.dial.cancel_called:  # its time ran out in this very turn: the loop
            self.reason = self.reason or "connect-timeout"  # closes it, and says so to nobody
        super().connection_made(transport)
        if self.transport is None:
            return
        if self.dial is not None:
            self.dial.deadline = math.inf  # it must not run out between here and the dial's own turn
        self.transport.set_write_buffer_limits(
            high=0
        )  # what waits beyond the system's could not be taken back
        self.caches.pump(self.pool)

    def pause_writing(self) -> None:
        self.stuck = True

    def resume_writing(self) -> None:
        self.stuck = False
        self.caches.pump(self.pool)

    def begin(self, attempt: Attempt) -> None:
        attempt.leave()
        command = attempt.command()
        if command is None:
            attempt.at_end(resp.Lost("unsent"))
            return
        self.send(command)
        if self.transport is None or self.transport.is_closing():
            # its peer's reset was here before it: the system took none of it
            attempt.at_end(resp.Lost("unsent"))
            return
        self.asked = self.asked or time.monotonic()
        attempt.connection = self
        self.attempts[attempt.ident] = attempt
        self.sent += 1
        self.caches.counted("forwarded")

    def give_up(self, attempt: Attempt, tell: bool) -> None:
        if self.attempts.get(attempt.ident) is not attempt:
            return
        del self.attempts[attempt.ident]
        self.spend(attempt.ident)
        if tell:
            self.send(resp.stop(attempt.ident))
        self.caches.pump(self.pool)

    def spend(self, ident: bytes) -> None:
        self.spent[ident] = None
        if len(self.spent) > SPENT:
            self.spent.popitem(last=False)

    def took(self, data: bytes) -> None:
        for answer in self.decoder.feed(data):
            attempt = self.attempts.pop(answer.ident, None)
            if attempt is None:  # late, as it was given up; or a second or unknown one, which reaches nobody
                self.spent.pop(answer.ident, None)
            else:
                self.spend(answer.ident)  # a second copy, split from this one, is no later attempt's answer
                attempt.at_end(answer)
        if self.decoder.broken:
            log.warning("malformed", extra={"cache": self.pool.cache, "what": self.decoder.broken})
            self.end("malformed")
        self.used, self.asked = time.monotonic(), 0.0
        self.caches.pump(self.pool)

    def end(self, reason: str) -> None:
        super().end(reason)
        if self.dial is not None and self.transport is None:
            self.dial.cancel()

    def ended(self) -> None:
        """Also called when it never came up: then nothing went out on it."""
        if self.closed.is_set():
            return
        self.closed.set()
        attempts, self.attempts = list(self.attempts.values()), {}
        told = {"side": "cache", "cache": self.pool.cache, "peer": self.pool.address, "reason": self.reason}
        log.info("closed", extra={**told, "forwards": self.sent, "left": len(attempts)})
        self.caches.parted(self)
        for place, attempt in enumerate(attempts):  # one that broke is one symptom for all that were on it
            attempt.at_end(resp.Lost("broken", place > 0))


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to one cache, as it was listed last, and the attempts that wait for one."""

    cache: str
    address: str
    started_ms: int
    connections: list[CacheConnection] = field(default_factory=list)
    waiting: dict[Attempt, None] = field(default_factory=dict)  # in order; each for the told time at most

    @property
    def dials(self) -> list[CacheConnection]:
        return [c for c in self.connections if c.transport is None and not c.reason]

    def lose(self, result: str) -> None:
        for attempt in list(self.waiting):
            attempt.lose(result)


class Caches:
    def __init__(
        self, most: int, streams: int, connect_timeout: float, idle: float, count: Callable[[str], None]
    ) -> None:
        self.most, self.streams, self.connect_timeout, self.idle = most, streams, connect_timeout, idle
        self.counted = count
        self.keeps: Callable[[str], bool] = lambda cache: True  # whether idle connections to it are kept
        self.pools: dict[str, Pool] = {}  # by cache; as long as the list
        self.open: dict[CacheConnection, None] = {}  # also of caches no longer listed; emptied as they end
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
            elif line.state == "leaving":
                pool.lose("unsent")  # told before their first byte: they need not go there any more

    def retire(self, pool: Pool, reason: str) -> None:
        pool.lose("unsent")
        for connection in list(pool.connections):
            connection.retired = reason
            if reason == "restarted" or not connection.attempts:
                connection.end(reason)

    def send(self, cache: str, ident: bytes, command: Command, at_end: Callable[[Ending], None]) -> Attempt:
        attempt = Attempt(ident, command, at_end)
        pool = self.pools.get(cache)
        if pool is None or self.group is None:
            attempt.lose("unsent")
        elif (connection := self.fit(pool, ident)) is not None:
            connection.begin(attempt)
        else:
            attempt.pool, pool.waiting[attempt] = pool, None
            loop = asyncio.get_running_loop()
            attempt.timer = loop.call_later(self.connect_timeout, self.expire, attempt)
            self.dial(pool)
        return attempt

    def expire(self, attempt: Attempt) -> None:
        """It has waited for the told time; where nothing was being dialled, the cache is not to blame."""
        dialled = attempt.pool is not None and bool(attempt.pool.dials)
        attempt.lose("unreached" if dialled else "unsent")

    def fit(self, pool: Pool, ident: bytes) -> CacheConnection | None:
        """The one with the fewest attempts; none that has been closed just now: what went out on it might
        have run, and might not."""
        fit = sorted((c for c in pool.connections if c.takes(ident)), key=lambda c: len(c.attempts))
        return next((connection for connection in fit if not connection.shut), None)

    def pump(self, pool: Pool) -> None:
        """Something has room: what waits goes out, first come first."""
        for attempt in list(pool.waiting):
            if attempt in pool.waiting and (connection := self.fit(pool, attempt.ident)) is not None:
                connection.begin(attempt)

    def dial(self, pool: Pool) -> None:
        """One more connection where those that come up are too few for what waits, or the last one is
        late."""
        if not pool.waiting or self.group is None:
            return
        dials = pool.dials
        late = time.monotonic() - HELPED * self.connect_timeout
        helped = len(dials) == 1 and dials[0].began <= late
        if len(dials) * self.streams >= len(pool.waiting) and not helped:
            return
        if len(self.open) >= self.most and not self.make_room():
            if not pool.connections:  # none will take them
                pool.lose("unsent")
            return
        connection = CacheConnection(pool, self)
        pool.connections.append(connection)
        self.open[connection] = None
        self.group.start_soon(self.serve, connection)
        asyncio.get_running_loop().call_later(HELPED * self.connect_timeout + 0.001, self.dial, pool)

    def make_room(self) -> bool:
        """Ends the connection that has been idle longest, to stay within the descriptors' budget."""
        idle = [c for c in self.open if c.transport is not None and not c.attempts and not c.reason]
        if not idle:
            return False
        min(idle, key=lambda c: c.used).end("room")
        return True

    def parted(self, connection: CacheConnection) -> None:
        connection.pool.connections.remove(connection)
        self.open.pop(connection, None)
        self.counted(f"cache.{connection.reason}")

    async def run(self) -> None:
        async with anyio.create_task_group() as self.group:
            while True:
                await anyio.sleep(SWEEP)
                now = time.monotonic()
                for connection in list(self.open):
                    if connection.transport is None:
                        continue
                    if connection.decoder.half and connection.used < now - STALLED:
                        connection.end("stalled")
                    elif not connection.attempts and connection.quiet:
                        connection.end("quiet")
                    elif not connection.attempts:
                        kept = self.idle if self.keeps(connection.pool.cache) else min(self.idle, PASSING)
                        if connection.retired or connection.used < now - kept:
                            connection.end(connection.retired or "idle")

    async def serve(self, connection: CacheConnection) -> None:
        """One connection, from its opening to its end."""
        host, _, port = connection.pool.address.rpartition(":")
        reason, result, up = "stopped", "", False
        try:
            with anyio.fail_after(self.connect_timeout) as connection.dial:
                if connection.reason:  # given up before its turn came
                    connection.dial.cancel()
                await asyncio.get_running_loop().create_connection(lambda: connection, host, int(port))
                up = True
        except TimeoutError:
            reason, result = "connect-timeout", "unreached"
        except OSError as fault:
            local = fault.errno in LOCAL
            reason, result = ("no-descriptor", "unsent") if local else ("no-listener", "unreached")
        except Exception:
            log.exception("connect", extra={"peer": connection.pool.address})
            reason, result = "fault", "unsent"
        connection.dial = None
        if up:
            await connection.closed.wait()
            self.dial(connection.pool)
            return
        connection.reason = connection.reason or reason
        connection.ended()
        pool = connection.pool
        if result and (reason != "connect-timeout" or not pool.dials):
            pool.lose(result)  # nobody listens there, or nothing came up for as long as told
        self.dial(pool)
