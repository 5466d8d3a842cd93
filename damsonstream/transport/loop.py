"""The event loop: uvloop, with timers that wait, and that come after what lies ready to be read.

How it is called: `anyio.run(..., backend_options=LOOP)`.

Timers are whole milliseconds, rounded up. uvloop rounds to the nearest, and runs what is due in less than
half of one in the next turn: what asks again until its moment has come (the router's wakes, anyio's time
limits) turned the loop without waiting, some hundred times for one wake, until the clock had gone on.

A turn of the loop runs timers before it reads. After a standstill of the process (the machine's, or a long
turn of our own) time limits ran out and caches were blamed for silence while their answers lay ready. So a
timer lets one turn read, and the tasks told by it run, before its callback does.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from contextvars import Context
from typing import TypeVarTuple

import uvloop

MS = 1000  # milliseconds in a second
# Turns of the queue of callbacks from a timer to its callback: the first comes before the loop reads, the
# second stands before the tasks that what was read has woken, the third after them.
TURNS = 3
Told = TypeVarTuple("Told")


class Loop(uvloop.Loop):
    def call_later(
        self, delay: float, callback: Callable[[*Told], object], *args: *Told, context: Context | None = None
    ) -> asyncio.TimerHandle:
        if not 0 < delay < math.inf:
            return super().call_later(delay, callback, *args, context=context)

        def turn(left: int) -> None:
            if handle.cancelled():
                return
            if left:
                self.call_soon(turn, left - 1, context=context)
            else:
                callback(*args)

        handle = super().call_later(math.ceil(delay * MS) / MS, turn, TURNS, context=context)
        return handle


LOOP = {"loop_factory": Loop}
