"""Connection pools to the caches. Connections carry many concurrent forwards and are opened on demand, within
the number of file descriptors available to them.

Usage: `update_list()` applies changes of the list of caches. `send()` sends a forward and returns a handle;
its callback is called once with the result. The forward is encoded when its first byte is sent, and its
encoder may withdraw it then. `handle.stop()` cancels the forward, after which the callback is
not called. `run()` is the background task that opens connections and closes idle or unresponsive ones.
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
from damsonstream.transport.scheduling import InputScheduler, ScheduledConnection

log = logging.getLogger(__name__)
# A connection on which no byte arrives for this long in the middle of an answer is closed: an answer that
# stops short blocks all others behind it. At the specified transfer rate a whole object takes less than a
# second.
PARTIAL_ANSWER_TIMEOUT_S = 1.0
# A connection that has received nothing for this long since a forward was sent accepts no new forwards, and
# is closed once none is pending; pending ones may still be answered. Without this, a connection that was open
# but dead received every trial of its cache, so that the breaker never closed. The cost is an additional
# connection where a cache is slow to answer.
SILENCE_TIMEOUT_S = 1.0
PASSIVE_IDLE_TIMEOUT_S = 1.0  # idle timeout for caches that are assigned to other gateways
SWEEP_INTERVAL_S = 0.25  # between checks for timeouts
# A connection with more data in its send buffer accepts no new forwards. It is more than one write.
MAX_UNSENT_BYTES = 1 << 16
# Answers to no forward, beyond those to forwards that were canceled: a cache may send each answer twice, and
# one under an unknown identifier with it. A connection with more is closed, as it would keep the gateway
# busy.
MAX_UNASKED_PER_FORWARD = 2
ANSWERS_PER_STEP = 4  # decoded before the time used is looked at
# Identifiers of finished forwards remembered per connection; late answers to them arrive within a few GETs.
MAX_FINISHED_IDENTS = 256
ForwardResult = resp.Answer | resp.Lost
# Called right before the first byte is sent; returns None if the forward must not be sent any more.
Encoder = Callable[[], resp.Command | None]


@dataclass(slots=True, eq=False)
class PendingForward:
    """A forward that was sent and has no result yet."""

    ident: bytes
    encode: Encoder
    on_result: Callable[[ForwardResult], None]
    connection: Connection | None = None

    def stop(self) -> None:
        """Cancels the forward; its callback is not called afterwards."""
        if self.connection is not None:
            self.connection.cancel_forward(self)


class Connection(ScheduledConnection):
    """One connection to a cache, shared by up to `max_streams` pending forwards."""

    def __init__(self, pool: Pool, owner: CacheConnections) -> None:
        super().__init__(owner.scheduler)
        self.pool, self.owner = pool, owner
        self.decoder = resp.Decoder()
        self.pending: dict[bytes, PendingForward] = {}  # by ident; removed on answer, cancel and close
        self.finished: OrderedDict[bytes, None] = OrderedDict()  # canceled or answered, oldest first
        self.retire_reason = ""  # why no new forwards are accepted; empty: they are
        self.forwards = 0
        self.unasked = 0  # answers to no forward
        # when the first forward was sent since data last arrived; 0: none
        self.awaiting_since = 0.0
        self.closed = anyio.Event()

    def can_accept(self, ident: bytes) -> bool:
        """Returns whether a forward with this identifier may be sent on this connection."""
        accepts = not self.reason and not self.retire_reason and len(self.pending) < self.owner.max_streams
        # the limit on unsent bytes excludes a cache that does not read
        accepts = accepts and not self.unresponsive and self.unsent_bytes < MAX_UNSENT_BYTES
        return accepts and ident not in self.pending and ident not in self.finished

    @property
    def unresponsive(self) -> bool:
        """Whether nothing has been received for `SILENCE_TIMEOUT_S` since a forward was sent."""
        return 0 < self.awaiting_since < time.monotonic() - SILENCE_TIMEOUT_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.transport is not None:
            for forward in list(self.pending.values()):
                self.write_forward(forward)

    def add_forward(self, forward: PendingForward) -> None:
        """Sends a forward, or keeps it until the connection is established."""
        self.awaiting_since = self.awaiting_since or time.monotonic()
        forward.connection = self
        self.pending[forward.ident] = forward
        if self.transport is not None:
            self.write_forward(forward)

    def write_forward(self, forward: PendingForward) -> None:
        """Sends a forward, or ends it as `unsent` if it must not be sent any more."""
        if self.pending.get(forward.ident) is not forward:  # withdrawn meanwhile
            return
        command = forward.encode()
        if command is not None:
            self.forwards += 1
            self.owner.count("forwarded")
            self.send_pieces(command)
            return
        del self.pending[forward.ident]
        if not self.pending:
            self.awaiting_since = 0.0
        self.owner.count("withdrawn")
        forward.on_result(resp.Lost("unsent"))

    def cancel_forward(self, forward: PendingForward) -> None:
        """Removes a queued forward, or sends a STOP for one that was sent."""
        if self.pending.get(forward.ident) is not forward:
            return
        del self.pending[forward.ident]
        if self.transport is None:  # not connected yet, so it was not sent
            return
        self.mark_finished(forward.ident)
        self.send(resp.stop(forward.ident))

    def withdraw_queued(self) -> None:
        """Ends the forwards that wait for the connection to be established as `unsent`."""
        if self.transport is not None:
            return
        withdrawn, self.pending = list(self.pending.values()), {}
        self.awaiting_since = 0.0
        for forward in withdrawn:
            forward.on_result(resp.Lost("unsent"))

    def mark_finished(self, ident: bytes) -> None:
        self.finished[ident] = None
        if len(self.finished) > MAX_FINISHED_IDENTS:
            self.finished.popitem(last=False)

    def process_input(self, data: bytes) -> bool:
        error = ""
        for answer in self.decoder.feed(data, ANSWERS_PER_STEP):
            if self.contains_other_answer(answer):
                error = "answer within an answer"
                break
            self.handle_answer(answer)
        error = error or self.decoder.error
        if error:
            log.warning("malformed", extra={"cache": self.pool.cache, "what": error})
            self.close("malformed")
        elif self.unasked > MAX_UNASKED_PER_FORWARD * self.forwards:
            self.close("unasked")
        self.last_used, self.awaiting_since = time.monotonic(), 0.0
        return self.decoder.has_more

    def contains_other_answer(self, answer: resp.Answer) -> bool:
        """Returns whether the body of an answer contains one to another forward: its length is too large."""
        idents = resp.embedded_idents(answer.body)
        return any(ident in self.pending or ident in self.finished for ident in idents)

    def handle_answer(self, answer: resp.Answer) -> None:
        forward = self.pending.pop(answer.ident, None)
        if forward is not None:
            # a duplicate that arrives later must not be taken as the answer to another forward
            self.mark_finished(answer.ident)
            forward.on_result(answer)
        elif answer.ident in self.finished:  # canceled before, or a duplicate
            del self.finished[answer.ident]
        else:
            self.unasked += 1

    def handle_close(self) -> None:
        """Reports all pending forwards as lost. Also called if the connection was never established; the
        forwards are then `unreached`, as none was executed."""
        if self.closed.is_set():
            return
        self.closed.set()
        lost_forwards, self.pending = list(self.pending.values()), {}
        fields = {"side": "cache", "cache": self.pool.cache, "peer": self.pool.address, "reason": self.reason}
        log.info("closed", extra={**fields, "forwards": self.forwards, "left": len(lost_forwards)})
        self.owner.remove(self)
        established = self.transport is not None
        # a broken connection counts as a single failure: all results but the first are marked as shared
        for index, forward in enumerate(lost_forwards):
            forward.on_result(resp.Lost("broken" if established else "unreached", established and index > 0))


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to one cache, with its address and start time in the latest list."""

    cache: str
    address: str
    started_ms: int
    connections: list[Connection] = field(default_factory=list)


class CacheConnections:
    """The connection pools of all listed caches.

    `max_connections` limits all pools together, `max_streams` the pending forwards on one connection.
    Timeouts are in seconds. `count` is called with the name of each counter to increment.
    """

    def __init__(
        self,
        max_connections: int,
        max_streams: int,
        connect_timeout: float,
        idle_timeout: float,
        count: Callable[[str], None],
    ) -> None:
        self.max_connections, self.max_streams, self.connect_timeout, self.idle_timeout = (
            max_connections,
            max_streams,
            connect_timeout,
            idle_timeout,
        )
        self.count = count
        # whether idle connections to a cache are kept for the full idle timeout
        self.keeps_idle: Callable[[str], bool] = lambda cache: True
        self.pools: dict[str, Pool] = {}  # by cache, for the caches listed now
        # including those to caches no longer listed; removed on close
        self.open_connections: dict[Connection, None] = {}
        self.tasks: TaskGroup | None = None
        self.scheduler = InputScheduler()

    def update_list(self, event: bulletin.ListChanged) -> None:
        """Opens and retires pools according to a full list or a change of it."""
        if event.whole:
            listed_names = {entry.cache for entry in event.entries}
            for name in [name for name in self.pools if name not in listed_names]:
                self.retire(self.pools.pop(name), "gone")
        for entry in event.entries:
            pool = self.pools.get(entry.cache)
            if entry.state == "left":
                if pool is not None:
                    self.retire(self.pools.pop(entry.cache), "gone")
            elif pool is None:
                self.pools[entry.cache] = Pool(entry.cache, entry.address, entry.started_ms)
            elif (pool.address, pool.started_ms) != (entry.address, entry.started_ms):
                self.retire(pool, "restarted")  # its connections lead to the previous process
                self.pools[entry.cache] = Pool(entry.cache, entry.address, entry.started_ms)
            elif entry.state == "leaving":
                self.withdraw_queued(pool)

    def withdraw_queued(self, pool: Pool) -> None:
        """Takes back the forwards that have not been sent, as their connections may be established only after
        the grace period of a cache that leaves. The router chooses again for them."""
        for connection in list(pool.connections):
            connection.withdraw_queued()

    def retire(self, pool: Pool, reason: str) -> None:
        """Stops new forwards on a pool. Connections are closed at once if idle or if the cache has
        restarted."""
        self.withdraw_queued(pool)
        for connection in list(pool.connections):
            connection.retire_reason = reason
            if reason == "restarted" or not connection.pending:
                connection.close(reason)

    def send(
        self, cache: str, ident: bytes, encode: Encoder, on_result: Callable[[ForwardResult], None]
    ) -> PendingForward:
        """Sends a forward on the least loaded connection, opening one if necessary. The result is `unsent` if
        the cache is not listed, no connection is available, or `encode()` returns None."""
        forward = PendingForward(ident, encode, on_result)
        pool = self.pools.get(cache)
        if pool is None or self.tasks is None:
            on_result(resp.Lost("unsent"))
            return forward
        candidates = [connection for connection in pool.connections if connection.can_accept(ident)]
        connection = min(candidates, key=lambda c: len(c.pending), default=None)
        if connection is None:
            if len(self.open_connections) >= self.max_connections and not self.close_longest_idle():
                on_result(resp.Lost("unsent"))
                return forward
            connection = Connection(pool, self)
            pool.connections.append(connection)
            self.open_connections[connection] = None
            self.tasks.start_soon(self.run_connection, connection)
        connection.add_forward(forward)
        return forward

    def close_longest_idle(self) -> bool:
        """Closes the connection that has been idle longest, to stay within `max_connections`; returns False
        if none is idle."""
        idle_connections = [c for c in self.open_connections if not c.pending and not c.reason]
        if not idle_connections:
            return False
        min(idle_connections, key=lambda c: c.last_used).close("room")
        return True

    def remove(self, connection: Connection) -> None:
        connection.pool.connections.remove(connection)
        self.open_connections.pop(connection, None)
        self.count(f"cache.{connection.reason}")

    async def run(self) -> None:
        """Closes stalled, unresponsive and idle connections. Never returns."""
        async with anyio.create_task_group() as self.tasks:
            while True:
                await anyio.sleep(SWEEP_INTERVAL_S)
                now = time.monotonic()
                for connection in list(self.open_connections):
                    if (
                        connection.decoder.incomplete
                        and connection.last_used < now - PARTIAL_ANSWER_TIMEOUT_S
                    ):
                        connection.close("stalled")
                    elif not connection.pending and connection.unresponsive:
                        connection.close("quiet")
                    elif not connection.pending:
                        timeout = (
                            self.idle_timeout
                            if self.keeps_idle(connection.pool.cache)
                            else min(self.idle_timeout, PASSIVE_IDLE_TIMEOUT_S)
                        )
                        if connection.retire_reason or connection.last_used < now - timeout:
                            connection.close(connection.retire_reason or "idle")

    async def run_connection(self, connection: Connection) -> None:
        """Opens one connection and waits until it is closed."""
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
            connection.handle_close()
        else:
            await connection.closed.wait()
