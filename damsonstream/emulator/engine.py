"""Discrete-event engine in virtual time, with processes as generators. No I/O, no real clock, no randomness.

Usage: `at(time, callback)` and `after(delay, callback)` schedule an event, `run_until(time)` runs all events
that are due by then; events of the same instant run in the order in which they were scheduled.
`spawn(process)` starts a generator that yields what it waits for: a number of ticks or a `Signal`; it calls
another one by `yield from`. A tick is a tenth of a millisecond; times are whole ticks, so that no rounding
error accumulates.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator
from heapq import heappop, heappush
from typing import Any, TypeVar

MS, S = 10, 10_000  # ticks
T = TypeVar("T")


class Engine:
    def __init__(self) -> None:
        self.now, self.sequence, self.executed = 0, 0, 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []  # events not run yet

    def at(self, time: int, callback: Callable[[], None]) -> None:
        self.sequence += 1
        heappush(self.heap, (max(time, self.now), self.sequence, callback))

    def after(self, delay: int, callback: Callable[[], None]) -> None:
        self.at(self.now + delay, callback)

    def run_until(self, time: int) -> None:
        heap = self.heap
        while heap and heap[0][0] <= time:
            self.now, _, callback = heappop(heap)
            self.executed += 1
            callback()
        self.now = time

    def spawn(self, process: Process[Any]) -> Task:
        task = Task(self, process)
        task.step(None)
        return task


class Signal:
    """A one-shot event with a value; `set` resumes the waiting tasks at that instant, in FIFO order."""

    __slots__ = ("engine", "is_set", "value", "waiters")

    def __init__(self, engine: Engine) -> None:
        self.engine, self.is_set, self.value = engine, False, None
        self.waiters: list[Task] = []

    def set(self, value: Any = None) -> None:
        if self.is_set:
            return
        self.is_set, self.value = True, value
        for task in self.waiters:
            self.engine.after(0, task.resumer(value))
        self.waiters = []


Process = Generator["int | Signal", Any, T]


class Task:
    """A running process. `cancel` runs its `finally` blocks at once and it never resumes."""

    __slots__ = ("engine", "finished", "process", "steps")

    def __init__(self, engine: Engine, process: Process[Any]) -> None:
        self.engine, self.process, self.finished, self.steps = engine, process, False, 0

    def resumer(self, value: Any = None) -> Callable[[], None]:
        """Returns a callback that resumes the task, unless it was resumed by another one before."""
        steps = self.steps

        def resume() -> None:
            if not self.finished and self.steps == steps:
                self.step(value)

        return resume

    def step(self, value: Any) -> None:
        self.steps += 1
        try:
            wait = self.process.send(value)
        except StopIteration:
            self.finished = True
            return
        if not isinstance(wait, Signal):
            self.engine.after(wait, self.resumer())
        elif wait.is_set:
            self.engine.after(0, self.resumer(wait.value))
        else:
            wait.waiters.append(self)

    def cancel(self) -> None:
        if not self.finished:
            self.finished = True
            self.process.close()


class Semaphore:
    """Limits how many processes hold a slot at once; the rest wait in FIFO order."""

    def __init__(self, engine: Engine, count: int) -> None:
        self.engine, self.free = engine, count
        self.queue: deque[Signal] = deque()

    def acquire(self) -> Process[None]:
        if self.free > 0:
            self.free -= 1
            return
        granted = Signal(self.engine)
        self.queue.append(granted)
        try:
            yield granted
        except GeneratorExit:  # cancelled: passes a slot just granted on to the next, or leaves the queue
            if granted.is_set:
                self.release()
            else:
                self.queue.remove(granted)
            raise

    def release(self) -> None:
        if self.queue:
            self.queue.popleft().set()
        else:
            self.free += 1
