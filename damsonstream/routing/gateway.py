"""Owns the router and its clock: events in, actions out to the tasks of the GETs.

How it is called: `tell(event)` hands an event to the router; what it decides on a GET goes into that GET's
`Inbox`, wakes are kept by `keep_time()`. Types of events and actions: `damsonstream/routing/interface.py`.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Generic, Protocol, TypeVar

from damsonstream.protocol import bulletin
from damsonstream.routing import interface as i
from damsonstream.routing.router import Router

log = logging.getLogger(__name__)
Step = TypeVar("Step")
TENTHS = 10  # tenths of a millisecond in a millisecond
NS = 100_000  # nanoseconds in a tenth of a millisecond


class Clock:
    """The router's clock: monotonic tenths of a millisecond, set once by the Unix clock at the start.

    The one place where Unix milliseconds become the router's time.
    """

    def __init__(
        self, monotonic: Callable[[], int] = time.monotonic_ns, unix: Callable[[], int] = time.time_ns
    ) -> None:
        self.monotonic, self.unix = monotonic, unix  # nanoseconds
        self.offset = unix() - monotonic()

    def now(self) -> int:
        return (self.monotonic() + self.offset) // NS

    def since(self, unix_ms: int) -> int:
        """A start as told, the same number each time it is told."""
        return unix_ms * TENTHS

    def age(self, unix_ms: int) -> int:
        """How long ago that was by the Unix clock as it stands now."""
        return max(0, self.unix() // NS - unix_ms * TENTHS)


class Inbox(Generic[Step]):
    """What the task of one GET has to do next; emptied by that task."""

    def __init__(self) -> None:
        self.steps: deque[Step] = deque()
        self.waiter: asyncio.Future[None] | None = None  # a future: an anyio.Event costs three times as much

    def put(self, step: Step) -> None:
        self.steps.append(step)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def next(self) -> Step:
        while not self.steps:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.steps.popleft()


class Observer(Protocol):
    """Is told of all that is decided and seen; `now` is the router's clock. Must neither raise nor wait."""

    def opened(
        self, now: int, number: int, ident: bytes, service: int, thing: str, group: int, left: int,
        repeated: bool,
    ) -> None: ...  # fmt: skip

    def sent(self, now: int, number: int, attempt: int, forward: i.Forward) -> None: ...

    def came(self, now: int, event: i.ForwardEnded, stamp: int) -> None: ...

    def final(self, now: int, number: int, outcome: str, come_back: int, size: int, attempt: int) -> None: ...

    def left(self, now: int, number: int) -> None: ...

    def decided(self, now: int, actions: list[i.Action]) -> None: ...


class Gateway:
    def __init__(
        self, seed: int, footprint: i.Footprint, clock: Clock, observer: Observer | None = None,
        fleet: i.Fleet | None = None, tiers: i.Tiers | None = None,
    ) -> None:  # fmt: skip
        self.clock, self.router, self.observer = clock, Router(), observer
        self.inboxes: dict[int, Inbox[i.Action]] = {}  # by GET; emptied as its task ends
        self.wakes: list[int] = []  # emptied by time
        self.loop: asyncio.AbstractEventLoop | None = None
        self.timer: asyncio.TimerHandle | None = None  # one, for the first of the wakes
        self.armed = 0
        self.numbers = 0
        self.latest = 0  # clock time by which all is answered, 0: the process is not ending
        self.tell(i.Started(seed, footprint, fleet, tiers, asks=True))

    def open(self, inbox: Inbox[i.Action]) -> int:
        """A number for a GET, under which its task is found from now on."""
        self.numbers += 1
        self.inboxes[self.numbers] = inbox
        return self.numbers

    def close(self, get: int) -> None:
        self.inboxes.pop(get, None)

    def tell(self, event: i.Event) -> None:
        now = self.clock.now()
        actions = self.router.handle(now, event)
        if self.observer is not None and actions:
            self.observer.decided(now, actions)
        for action in actions:
            match action:
                case i.Forward() | i.Recall() | i.Shed() | i.Errored():
                    if (inbox := self.inboxes.get(action.get)) is not None:
                        inbox.put(action)
                case i.Wake():
                    heappush(self.wakes, now + action.after)
                    self.arm()
                case i.Trace():
                    log.info("decided", extra={"what": action.text})
                case i.AskForList():
                    pass  # the bulletin pushes

    def still(self, get: int, attempt: int) -> int:
        """Asked as an attempt's first byte is to be written: the oldest copy that will do now, 0: the fresh
        time, -1: it may not go any more."""
        return self.router.still(self.clock.now(), get, attempt)

    def stop(self, within: int) -> None:
        """The process ends: what is open, and what still comes, has its answer by then."""
        self.latest = self.clock.now() + within
        self.tell(i.Stopping(within))

    def told(self, event: bulletin.Event) -> None:
        """News of the bulletin, in the router's words."""
        match event:
            case bulletin.ListChanged():
                entries = tuple(
                    i.Entry(line.cache, line.location, line.state, line.units, line.cell, line.model,
                            self.clock.since(line.started_ms))
                    for line in event.entries
                )  # fmt: skip
                self.tell(i.ListTold("full" if event.whole else "changes", entries))
            case bulletin.PurgeTold():
                self.tell(i.Purged(event.thing, event.group, self.clock.age(event.issued_ms)))
            case bulletin.Skipped():  # any object may have been purged just now
                for group in range(bulletin.GROUPS):
                    self.tell(i.Purged("", group, 0))

    def keep_time(self) -> None:
        """Wakes the router when it asked to be woken, from now on."""
        self.loop = asyncio.get_running_loop()
        self.arm()

    def arm(self) -> None:
        if self.loop is None or not self.wakes or (self.timer is not None and self.armed <= self.wakes[0]):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.armed = self.wakes[0]
        self.timer = self.loop.call_later((self.armed - self.clock.now()) / (1000 * TENTHS), self.wake)

    def wake(self) -> None:
        self.timer = None
        due = False
        while self.wakes and self.wakes[0] <= self.clock.now():
            heappop(self.wakes)
            due = True
        try:
            if due:
                self.tell(i.Woken())
        except Exception:
            log.exception("wake")
        self.arm()
