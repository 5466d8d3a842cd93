"""Discrete events in virtual time, and processes that wait in it. No I/O, no clock, no chance of its own.

How it is called: `at(when, what)` and `after(wait, what)` set an event, `until(when)` plays all that is due
by then; events at one instant go in the order in which they were set. `begin(process)` starts a generator
that yields what it waits for: a number of ticks, or a `Signal`; a nested one goes on by `yield from`. Times
are whole tenths of a millisecond, so that no clock drifts.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator
from heapq import heappop, heappush
from typing import Any, TypeVar

MS, S = 10, 10_000
T = TypeVar("T")


class Engine:
    def __init__(self) -> None:
        self.now, self.serial, self.played = 0, 0, 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []  # emptied by time

    def at(self, when: int, what: Callable[[], None]) -> None:
        self.serial += 1
        heappush(self.heap, (max(when, self.now), self.serial, what))

    def after(self, wait: int, what: Callable[[], None]) -> None:
        self.at(self.now + wait, what)

    def until(self, when: int) -> None:
        heap = self.heap
        while heap and heap[0][0] <= when:
            self.now, _, what = heappop(heap)
            self.played += 1
            what()
        self.now = when

    def begin(self, process: Process[Any]) -> Task:
        task = Task(self, process)
        task.step(None)
        return task


class Signal:
    """Something that will be known: `set` once; those that wait for it go on at that instant, in order."""

    __slots__ = ("engine", "known", "value", "waiting")

    def __init__(self, engine: Engine) -> None:
        self.engine, self.known, self.value = engine, False, None
        self.waiting: list[Task] = []

    def set(self, value: Any = None) -> None:
        if self.known:
            return
        self.known, self.value = True, value
        for task in self.waiting:
            self.engine.after(0, task.waker(value))
        self.waiting = []


Process = Generator["int | Signal", Any, T]


class Task:
    """A process that runs. Once cancelled it never goes on; its `finally` parts are played at once."""

    __slots__ = ("engine", "over", "process", "turn")

    def __init__(self, engine: Engine, process: Process[Any]) -> None:
        self.engine, self.process, self.over, self.turn = engine, process, False, 0

    def waker(self, value: Any = None) -> Callable[[], None]:
        turn = self.turn

        def wake() -> None:
            if not self.over and self.turn == turn:
                self.step(value)

        return wake

    def step(self, value: Any) -> None:
        self.turn += 1
        try:
            wait = self.process.send(value)
        except StopIteration:
            self.over = True
            return
        if not isinstance(wait, Signal):
            self.engine.after(wait, self.waker())
        elif wait.known:
            self.engine.after(0, self.waker(wait.value))
        else:
            wait.waiting.append(self)

    def cancel(self) -> None:
        if not self.over:
            self.over = True
            self.process.close()


class Lanes:
    """So many at once; the rest wait in the order in which they came."""

    def __init__(self, engine: Engine, count: int) -> None:
        self.engine, self.free = engine, count
        self.line: deque[Signal] = deque()

    def enter(self) -> Process[None]:
        if self.free > 0:
            self.free -= 1
            return
        turn = Signal(self.engine)
        self.line.append(turn)
        try:
            yield turn
        except GeneratorExit:  # cancelled: out of the line, or the lane that was just given goes on
            if turn.known:
                self.leave()
            else:
                self.line.remove(turn)
            raise

    def leave(self) -> None:
        if self.line:
            self.line.popleft().set()
        else:
            self.free += 1
