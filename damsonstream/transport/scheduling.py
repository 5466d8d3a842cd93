"""Shares the event loop among connections, so that one that sends without pause delays no other.

Usage: a subclass of `ScheduledConnection` overrides `process_input()`, which processes a few messages.
In each turn of the event loop a connection gets a short slice of time for its input as it arrives. One that
needs more is not read any further; it waits in the queue of the `InputScheduler`, which serves the queue in
rotation and spends a limited time on it in each turn. All other connections, tasks and timers of the event
loop run in between.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque

from damsonstream.transport.link import TcpConnection

SLICE_S = 0.000_25  # for one connection in one turn
QUEUE_TIME_S = 0.001  # for all waiting connections in one turn


class InputScheduler:
    """The queue of connections whose input is waiting, and the count of turns of the event loop."""

    def __init__(self) -> None:
        self.waiting: deque[ScheduledConnection] = deque()
        self.turn = 0
        self.is_turn_scheduled = False

    def schedule_turn(self) -> None:
        """Has the next turn of the event loop counted, and the queue served in it."""
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self.run_turn)

    def enqueue(self, connection: ScheduledConnection) -> None:
        self.waiting.append(connection)
        self.schedule_turn()

    def run_turn(self) -> None:
        self.turn += 1
        self.is_turn_scheduled = False
        end = time.monotonic() + QUEUE_TIME_S
        for _ in range(len(self.waiting)):
            self.waiting.popleft().continue_input()
            if time.monotonic() >= end:
                break
        if self.waiting:
            self.schedule_turn()


class ScheduledConnection(TcpConnection):
    """A connection whose input is processed in slices."""

    def __init__(self, scheduler: InputScheduler) -> None:
        super().__init__()
        self.scheduler = scheduler
        self.turn = -1  # the last one in which input was processed
        self.slice_used = 0.0  # seconds, in that turn

    def process_input(self, data: bytes) -> bool:
        """Processes a few messages of the input; returns whether a call without data may process more."""
        raise NotImplementedError

    def handle_data(self, data: bytes) -> None:
        self.scheduler.schedule_turn()
        if self.use_slice(data):
            self.pause_input()

    def use_slice(self, data: bytes) -> bool:
        """Processes input until it or the slice of this turn is used up; returns whether to stop reading."""
        if self.turn != self.scheduler.turn:
            self.turn, self.slice_used = self.scheduler.turn, 0.0
        used, started = self.slice_used, time.monotonic()
        has_more = self.process_input(data)
        self.slice_used = used + time.monotonic() - started
        while has_more and self.slice_used < SLICE_S and not self.reason:
            has_more = self.process_input(b"")
            self.slice_used = used + time.monotonic() - started
        return has_more or self.slice_used >= SLICE_S

    def pause_input(self) -> None:
        """Stops reading, and queues the connection."""
        if (transport := self.usable_transport) is not None:
            transport.pause_reading()
            self.scheduler.enqueue(self)

    def continue_input(self) -> None:
        """Called by the scheduler: processes input for a slice, and reads on if none is left."""
        if self.usable_transport is None:
            return
        try:
            has_more = self.use_slice(b"")
        except Exception:
            self.fail()
            return
        if has_more:
            self.pause_input()
        elif (transport := self.usable_transport) is not None:
            transport.resume_reading()

    @property
    def usable_transport(self) -> asyncio.Transport | None:
        """The transport, or None if the connection is closed or closing."""
        return (
            None if self.reason or self.transport is None or self.transport.is_closing() else self.transport
        )
