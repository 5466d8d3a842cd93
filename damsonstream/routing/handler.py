"""One GET, top to bottom in one task, from being taken to its final answer.

How it is called: `RequestHandlers(gateway, send).begin(get, answer)`; `answer` is called once, unless the
client has left (`get.left()` tells). The router is asked at each point of choice through `gateway.tell`;
nothing is decided here.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from damsonstream.protocol import resp
from damsonstream.routing import interface as i
from damsonstream.routing.gateway import TENTHS, Gateway, Inbox

log = logging.getLogger(__name__)
# Tenths of a millisecond after a GET's time in which its forwards are still told of: a cache was asked to
# wait for that time. Guards against tables that grow where forwards may not be recalled and a cache stays
# silent.
UNTOLD = 1000 * TENTHS


@dataclass(slots=True, frozen=True)
class Left:
    """The client has gone, or no longer waits."""


class Attempt(Protocol):
    """A forward that is out, as the transport holds it."""

    def stop(self, tell: bool = True) -> None:
        """Gives it up; `tell`: the cache too."""


Ending = resp.Answer | resp.Lost
# as of the moment in which its first byte is written; None: not any more
Command = Callable[[], bytes | None]
Sender = Callable[
    [str, bytes, Command, Callable[[Ending], None]], Attempt
]  # cache, ident, command, told of its end


@dataclass(slots=True, frozen=True)
class Ended:
    attempt: int
    ending: Ending


Step = i.Action | Left | Ended


@dataclass(slots=True)
class Out:
    """A forward that is out: where, since when, and what it can be given up by."""

    cache: str
    sent: int
    patience: int  # clock time at which it expires, 0: with the GET
    handle: Attempt


@dataclass(slots=True)
class Get:
    """A GET as it was taken."""

    ident: bytes
    service: int
    thing: str
    group: int
    left_ms: int
    repeated: bool
    same: bytes  # the fields that go on unchanged, ready for the cache's wire
    body: bytes
    inbox: Inbox[Step] = field(default_factory=Inbox)
    gone: bool = False  # its client: known at once, also while what was decided before waits for its task

    def left(self) -> None:
        self.gone = True
        self.inbox.put(Left())


@dataclass(slots=True, frozen=True)
class Final:
    """The final answer: returned, shed or errored."""

    outcome: str
    body: bytes = b""
    same: bool = False  # the client's copy is the one
    come_back_ms: int = 0


Job = tuple[Get, Callable[[Final], None]]


class RequestHandlers:
    """The tasks of GETs. A task that has lived one GET waits for the next: to start one of anyio's for each
    took a sixth of the core at 2,000 GETs a second."""

    IDLE = 512  # tasks kept waiting: those of a busy second

    def __init__(self, gateway: Gateway, send: Sender) -> None:
        self.gateway, self.send = gateway, send
        self.group: TaskGroup | None = None
        self.idle: list[asyncio.Future[Job]] = []
        self.idents: set[bytes] = set()  # of open GETs; emptied as they end

    def begin(self, get: Get, answer: Callable[[Final], None]) -> None:
        assert self.group is not None
        self.idents.add(get.ident)
        if self.idle:
            self.idle.pop().set_result((get, answer))
        else:
            self.group.start_soon(self.work, (get, answer))

    async def work(self, job: Job) -> None:
        while True:
            await handle(self.gateway, self.send, *job)
            self.idents.discard(job[0].ident)
            if len(self.idle) >= self.IDLE:
                return
            waiter = asyncio.get_running_loop().create_future()
            self.idle.append(waiter)
            job = await waiter


async def handle(gateway: Gateway, send: Sender, get: Get, answer: Callable[[Final], None]) -> None:
    clock, inbox, outs, attempts, over = gateway.clock, get.inbox, dict[int, Out](), 0, False
    patient = False  # whether a forward has a time of its own
    end = clock.now() + get.left_ms * TENTHS
    if gateway.latest:
        end = min(end, gateway.latest)
    number, seen = gateway.open(inbox), gateway.observer  # type: ignore[arg-type]

    def ended(attempt: int, ending: Ending, final: bool) -> None:
        out = outs.pop(attempt)
        now, stamp = clock.now(), 0
        took = now - out.sent
        if isinstance(ending, resp.Lost):
            event = i.ForwardEnded(number, attempt, out.cache, ending.result, took, 0, 0, final,
                                   ending.shared)  # fmt: skip
        else:
            event = i.ForwardEnded(number, attempt, out.cache, ending.result, took, ending.waited_ms * TENTHS,
                                   ending.note, final, False, ending.load)  # fmt: skip
            stamp = ending.stamp
        if seen is not None:
            seen.came(now, event, stamp)
        gateway.tell(event)

    def finish(final: Final, attempt: int = -1) -> None:
        nonlocal over
        if not over:
            over = True
            answer(final)
            if seen is not None:
                size = len(final.body)
                seen.final(clock.now(), number, final.outcome, final.come_back_ms, size, attempt)

    try:
        if seen is not None:
            seen.opened(clock.now(), number, get.ident, get.service, get.thing, get.group,
                        get.left_ms * TENTHS, get.repeated)  # fmt: skip
        left = max(1, end - clock.now())
        gateway.tell(i.GetTaken(number, left, get.service, get.thing, get.group, 0.0, get.repeated))
        while not over or outs or inbox.steps:
            if patient or over:  # once over, what a cache never tells is not waited for without end
                expiry = min((out.patience for out in outs.values() if out.patience), default=end + UNTOLD)
                with anyio.move_on_after((expiry - clock.now()) / (1000 * TENTHS)) as waiting:
                    step = await inbox.next()
                if waiting.cancelled_caught:
                    for attempt in [n for n, out in outs.items() if (out.patience or expiry) <= clock.now()]:
                        outs[attempt].handle.stop(outs[attempt].patience > 0)
                        ended(attempt, resp.Lost("expired"), over)
                    continue
            else:
                step = await inbox.next()
            match step:
                case i.Forward():
                    attempt, now = attempts, clock.now()
                    attempts += 1
                    if over:  # decided while the answer waited for this task: nothing goes out after it
                        outs[attempt] = Out(step.cache, now, 0, NOT_OUT)
                        ended(attempt, resp.Lost("unsent"), True)
                        continue
                    patient |= step.patience > 0
                    wait = min(end, now + step.patience) if step.patience else end

                    def command(
                        attempt: int = attempt, step: i.Forward = step, wait: int = wait
                    ) -> bytes | None:
                        now = clock.now()
                        age = -1 if get.gone or now >= wait else gateway.still(number, attempt)
                        if age < 0:  # also where the GET is over: the router knows it no more
                            return None
                        return resp.forward(
                            get.ident, get.same, get.body,
                            wait_ms=max(1, (wait - now) // TENTHS),
                            source=step.source if step.source != step.cache else "",
                            rank=step.rank, age_ms=max(1, age // TENTHS) if age else 0,
                            join=step.join, renew=step.renew, copies=step.copies,
                        )  # fmt: skip

                    def at_end(ending: Ending, attempt: int = attempt) -> None:
                        inbox.put(Ended(attempt, ending))

                    out = Out(step.cache, now, now + step.patience if step.patience else 0, NOT_OUT)
                    outs[attempt] = out
                    if seen is not None:
                        seen.sent(now, number, attempt, step)
                    out.handle = send(step.cache, get.ident, command, at_end)
                case Ended():
                    if step.attempt not in outs:
                        continue  # given up meanwhile
                    good = isinstance(step.ending, resp.Answer) and step.ending.result == "returned"
                    if good and not over:
                        assert isinstance(step.ending, resp.Answer)
                        finish(Final("returned", step.ending.body, step.ending.same), step.attempt)
                    ended(step.attempt, step.ending, over)
                case i.Recall():
                    if step.attempt in outs:
                        outs[step.attempt].handle.stop()
                        ended(step.attempt, resp.Lost("recalled"), over)
                case i.Shed():
                    finish(Final("shed", come_back_ms=step.come_back // TENTHS))
                case i.Errored():
                    finish(Final("errored"))
                case Left():
                    if not over:
                        over = True
                        if seen is not None:
                            seen.left(clock.now(), number)
                        gateway.tell(i.ClientLeft(number))
    except Exception:
        log.exception("handler", extra={"get": get.ident})
        finish(Final("errored"))
    finally:
        gateway.close(number)
        for out in outs.values():
            out.handle.stop()


class NotOut:
    def stop(self, tell: bool = True) -> None:
        pass


NOT_OUT = NotOut()
