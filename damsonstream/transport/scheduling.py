"""Shares the event loop among connections, so that one that sends without pause delays no other.

Usage: a subclass of `ScheduledConnection` overrides `process_input()`, which processes a few messages, and
`is_favored()` if it does not always have precedence. In each turn of the event loop a connection gets a short
slice of time for its input as it arrives. One that needs more is not read any further; it waits in a queue of
the `InputScheduler`, which serves the queues in rotation and spends a limited time on them in each turn. All
other connections, tasks and timers of the event loop run in between. Connections without precedence wait in a
queue of their own, of which each turn serves at least one.
"""

from __future__ import annotations

import asyncio
import time

from damsonstream.transport.link import READ_BYTES, TcpConnection

SLICE_S = 0.000_25  # for one connection in one turn
QUEUE_TIME_S = 0.001  # for all waiting connections in one turn


class InputScheduler:
    """The queues of connections whose input is waiting, and the count of turns of the event loop."""

    def __init__(self) -> None:
        # in the order in which they are served
        self.favored: dict[ScheduledConnection, None] = {}
        self.others: dict[ScheduledConnection, None] = {}
        self.turn = 0
        self.is_turn_scheduled = False
        # read again since this turn and since the last one
        self.resumed: list[ScheduledConnection] = []
        self.resumed_before: list[ScheduledConnection] = []

    def schedule_turn(self) -> None:
        """Has the next turn of the event loop counted, and the queues served in it."""
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_turn)

    def enqueue(self, connection: ScheduledConnection) -> None:
        queue = self.favored if connection.is_favored() else self.others
        queue[connection] = None
        self.schedule_turn()

    def promote(self, connection: ScheduledConnection) -> None:
        """Moves a waiting connection to those with precedence."""
        if connection in self.others:
            del self.others[connection]
            self.favored[connection] = None

    def discard(self, connection: ScheduledConnection) -> None:
        """Removes a connection that is closed."""
        self.favored.pop(connection, None)
        self.others.pop(connection, None)

    def note_resumed(self, connection: ScheduledConnection) -> None:
        """Called when a connection whose input has waited is read again."""
        self.resumed.append(connection)
        self.schedule_turn()

    def run_turn(self) -> None:
        self.turn += 1
        self.is_turn_scheduled = False
        for connection in self.resumed_before:  # what was there to read has been read by now
            connection.end_wait()
        self.resumed_before, self.resumed = self.resumed, []
        end = time.monotonic() + QUEUE_TIME_S
        self.serve(self.favored, end)
        self.serve(self.others, end)
        if self.favored or self.others or self.resumed_before:
            self.schedule_turn()

    def serve(self, queue: dict[ScheduledConnection, None], end: float) -> None:
        """Continues the connections of a queue until a time; at least one of them."""
        for _ in range(len(queue)):
            connection = next(iter(queue), None)
            if connection is None:
                break
            del queue[connection]
            connection.continue_input()
            if time.monotonic() >= end:
                break


class ScheduledConnection(TcpConnection):
    """A connection whose input is processed in slices."""

    def __init__(self, scheduler: InputScheduler) -> None:
        super().__init__()
        self.scheduler = scheduler
        self.turn = -1  # the last one in which input was processed
        self.slice_used = 0.0  # seconds, in that turn
        self.unprocessed = b""  # one read of a connection without precedence
        self.is_waiting = False  # in a queue of the scheduler, and not read
        self.queued_at, self.queued_turn = 0.0, 0  # time and turn
        # how long input that is processed now may have waited behind that of other connections, in seconds
        self.waited_s = 0.0

    def process_input(self, data: bytes) -> bool:
        """Processes a few messages of the input; returns whether a call without data may process more."""
        raise NotImplementedError

    def is_favored(self) -> bool:
        """Returns whether the connection has precedence over others that have not."""
        return True

    def is_worth_continuing(self) -> bool:
        """Returns whether input that waited is still to be processed; otherwise the connection is closed."""
        return True

    def handle_data(self, data: bytes) -> None:
        self.scheduler.schedule_turn()
        if not self.is_favored():
            self.unprocessed = data
            self.pause_input()
        elif self.use_slice(data):
            self.pause_input()
        elif len(data) < READ_BYTES:  # otherwise there may be more to read that waited as long
            self.waited_s = 0.0

    def use_slice(self, data: bytes) -> bool:
        """Processes input until it or the slice of this turn is used up; returns whether to stop reading."""
        if self.turn != self.scheduler.turn:
            self.turn, self.slice_used = self.scheduler.turn, 0.0
        used, started, was_favored = self.slice_used, time.monotonic(), self.is_favored()
        has_more = self.process_input(data)
        self.slice_used = used + time.monotonic() - started
        while has_more and self.slice_used < SLICE_S and not self.reason and self.is_favored() == was_favored:
            has_more = self.process_input(b"")
            self.slice_used = used + time.monotonic() - started
        return has_more or self.slice_used >= SLICE_S

    def pause_input(self) -> None:
        """Stops reading, and queues the connection."""
        if (transport := self.usable_transport) is not None:
            transport.pause_reading()
            self.is_waiting = True
            self.queued_at, self.queued_turn = time.monotonic(), self.scheduler.turn
            self.scheduler.enqueue(self)

    def continue_input(self) -> None:
        """Called by the scheduler: processes input for a slice, and reads on if none is left."""
        self.is_waiting = False
        if self.usable_transport is None:
            return
        if self.scheduler.turn > self.queued_turn + 1:  # others were served before it
            self.waited_s += time.monotonic() - self.queued_at
        if not self.is_worth_continuing():
            self.close("closed")
            return
        data, self.unprocessed = self.unprocessed, b""
        try:
            has_more = self.use_slice(data)
        except Exception:
            self.fail()
            return
        if has_more:
            self.pause_input()
        elif (transport := self.usable_transport) is not None:
            transport.resume_reading()
            if self.waited_s:
                self.scheduler.note_resumed(self)

    def end_wait(self) -> None:
        """Called by the scheduler when the input that had arrived while nothing was read has been read."""
        if not self.is_waiting:
            self.waited_s = 0.0

    def connection_lost(self, error: Exception | None) -> None:
        self.scheduler.discard(self)
        super().connection_lost(error)

    @property
    def usable_transport(self) -> asyncio.Transport | None:
        """The transport, or None if the connection is closed or closing."""
        return (
            None if self.reason or self.transport is None or self.transport.is_closing() else self.transport
        )
