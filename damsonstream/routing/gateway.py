"""Owns the router and its clock, and passes its actions to the tasks of the GETs.

`handle_event(event)` hands an event to the router. Actions for a GET go into that GET's `Inbox`. Wake-ups
need one call of `start_timer()`. The types of events and actions are in `damsonstream/routing/interface.py`.
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
TICKS_PER_MS = 10  # a tick is a tenth of a millisecond
NS_PER_TICK = 100_000


class Clock:
    """The router's clock: monotonic ticks of 0.1 ms, set once from the Unix clock at the start.

    All conversions of Unix milliseconds to the router's time are made here.
    """

    def __init__(
        self, monotonic: Callable[[], int] = time.monotonic_ns, unix: Callable[[], int] = time.time_ns
    ) -> None:
        self.monotonic, self.unix = monotonic, unix  # nanoseconds
        self.offset = unix() - monotonic()

    def now(self) -> int:
        return (self.monotonic() + self.offset) // NS_PER_TICK

    def from_unix_ms(self, unix_ms: int) -> int:
        """Converts the start time of a process; the same input always gives the same number."""
        return unix_ms * TICKS_PER_MS

    def age(self, unix_ms: int) -> int:
        """Returns how long ago the time was by the current Unix clock, or 0 if it is in the future."""
        return max(0, self.unix() // NS_PER_TICK - unix_ms * TICKS_PER_MS)


class Inbox(Generic[Step]):
    """Queue of the steps that the task of one GET has to carry out."""

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
    """Receives all events and decisions, for the records.

    `now` is the time of the router's clock. The methods must neither raise nor block.
    """

    def get_opened(
        self, now: int, number: int, ident: bytes, service: int, object_id: str, group: int, time_left: int,
        is_retry: bool,
    ) -> None: ...  # fmt: skip

    def forward_sent(self, now: int, number: int, attempt: int, forward: i.Forward) -> None: ...

    def forward_ended(self, now: int, event: i.ForwardEnded, stamp: int) -> None: ...

    def get_answered(
        self, now: int, number: int, outcome: str, retry_after: int, size: int, attempt: int
    ) -> None: ...

    def client_left(self, now: int, number: int) -> None: ...

    def actions_decided(self, now: int, actions: list[i.Action]) -> None: ...


class Gateway:
    """One router with its clock, its timer and the inboxes of the open GETs."""

    def __init__(
        self, seed: int, deployment: i.Deployment, clock: Clock, observer: Observer | None = None,
        peers: i.PeerGroup | None = None, hierarchy: i.Hierarchy | None = None,
    ) -> None:  # fmt: skip
        self.clock, self.router, self.observer = clock, Router(), observer
        self.deployment = deployment
        self.inboxes: dict[int, Inbox[i.Action]] = {}  # by GET, until its task ends
        self.wake_times: list[int] = []  # heap of requested wake-up times
        self.loop: asyncio.AbstractEventLoop | None = None
        self.timer: asyncio.TimerHandle | None = None  # for the earliest wake-up
        self.timer_at = 0
        self.last_number = 0
        self.handle_event(i.Started(seed, deployment, peers, hierarchy))

    def register(self, inbox: Inbox[i.Action]) -> int:
        """Registers the inbox of a new GET and returns the GET's number."""
        self.last_number += 1
        self.inboxes[self.last_number] = inbox
        return self.last_number

    def unregister(self, get: int) -> None:
        self.inboxes.pop(get, None)

    def handle_event(self, event: i.Event) -> None:
        """Hands an event to the router and carries out its actions."""
        now = self.clock.now()
        actions = self.router.handle(now, event)
        if self.observer is not None and actions:
            self.observer.actions_decided(now, actions)
        for action in actions:
            match action:
                case i.Forward() | i.Recall() | i.Shed() | i.Errored():
                    if (inbox := self.inboxes.get(action.get)) is not None:
                        inbox.put(action)
                case i.Wake():
                    heappush(self.wake_times, now + action.after)
                    self.set_timer()
                case i.Trace():
                    log.info("decided", extra={"what": action.text})
                case i.SubscribeToList():
                    pass  # the bulletin sends the list unasked

    def confirm_forward(self, get: int, attempt: int) -> i.Forward | None:
        """Asks the router whether a forward may still be sent; see `Router.confirm_forward()`."""
        return self.router.confirm_forward(self.clock.now(), get, attempt)

    def apply_bulletin(self, event: bulletin.Event) -> None:
        """Converts an event of the bulletin and hands it to the router."""
        match event:
            case bulletin.ListChanged():
                entries = tuple(
                    i.ListEntry(line.cache, line.location, line.state, line.units, line.cell, line.model,
                            self.clock.from_unix_ms(line.started_ms))
                    for line in event.entries
                )  # fmt: skip
                self.handle_event(i.ListUpdate("full" if event.whole else "changes", entries))
            case bulletin.PurgeTold():
                self.handle_event(i.Purged(event.thing, event.group, self.clock.age(event.issued_ms)))

    def start_timer(self) -> None:
        """Starts delivering the router's wake-ups in the running event loop."""
        self.loop = asyncio.get_running_loop()
        self.set_timer()

    def set_timer(self) -> None:
        """Sets the timer to the earliest wake-up, unless it is set to that time or before."""
        if (
            self.loop is None
            or not self.wake_times
            or (self.timer is not None and self.timer_at <= self.wake_times[0])
        ):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = self.wake_times[0]
        self.timer = self.loop.call_later(
            (self.timer_at - self.clock.now()) / (1000 * TICKS_PER_MS), self.on_timer
        )

    def on_timer(self) -> None:
        self.timer = None
        due = False
        while self.wake_times and self.wake_times[0] <= self.clock.now():
            heappop(self.wake_times)
            due = True
        try:
            if due:
                self.handle_event(i.Woken())
        except Exception:
            log.exception("wake")  # the name of the event in the log
        self.set_timer()
