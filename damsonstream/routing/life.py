"""Runs each GET in one task, from its arrival to its final answer.

`GetTasks(gateway, send).start(get, answer)` starts a GET. `answer` is called once, unless the client leaves
before (`get.left()`). The router makes every decision and gets its events through `gateway.handle_event`.
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


@dataclass(slots=True, frozen=True)
class Left:
    """The client has disconnected or no longer waits."""


class Leg(Protocol):
    """The transport's handle of a pending forward."""

    def stop(self) -> None: ...


Ending = resp.Answer | resp.Lost
Sender = Callable[
    [str, bytes, bytes, Callable[[Ending], None]], Leg
]  # cache, id, command, callback for the end


@dataclass(slots=True, frozen=True)
class Ended:
    leg: int
    ending: Ending


Step = i.Action | Left | Ended


@dataclass(slots=True)
class Out:
    """A pending forward."""

    cache: str
    sent: int
    patience: int  # clock time of its own timeout, 0: none but the GET's
    handle: Leg


@dataclass(slots=True)
class Get:
    """A GET as received from the client."""

    ident: bytes
    service: int
    thing: str
    group: int
    left_ms: int
    repeated: bool
    same: bytes  # the fields passed on unchanged, in the encoding of the caches' protocol
    body: bytes
    inbox: Inbox[Step] = field(default_factory=Inbox)

    def left(self) -> None:
        self.inbox.put(Left())


@dataclass(slots=True, frozen=True)
class Final:
    """The final answer: returned, shed or errored."""

    outcome: str
    body: bytes = b""
    same: bool = False  # the client's copy is still valid
    come_back_ms: int = 0


Job = tuple[Get, Callable[[Final], None]]


class Lives:
    """The tasks of the open GETs.

    Tasks are reused: starting an anyio task for each GET took a sixth of the CPU core at 2,000 GETs/s.
    """

    IDLE = 512  # enough for the tasks of a busy second

    def __init__(self, gateway: Gateway, send: Sender) -> None:
        self.gateway, self.send = gateway, send
        self.group: TaskGroup | None = None
        self.idle: list[asyncio.Future[Job]] = []
        self.idents: set[bytes] = set()  # client's ids of the open GETs

    def begin(self, get: Get, answer: Callable[[Final], None]) -> None:
        assert self.group is not None
        self.idents.add(get.ident)
        if self.idle:
            self.idle.pop().set_result((get, answer))
        else:
            self.group.start_soon(self.work, (get, answer))

    async def work(self, job: Job) -> None:
        while True:
            await live(self.gateway, self.send, *job)
            self.idents.discard(job[0].ident)
            if len(self.idle) >= self.IDLE:
                return
            waiter = asyncio.get_running_loop().create_future()
            self.idle.append(waiter)
            job = await waiter


async def live(gateway: Gateway, send: Sender, get: Get, answer: Callable[[Final], None]) -> None:
    """Carries out the router's actions for one GET until it is answered and all its forwards have ended."""
    clock, inbox, outs, legs, over = gateway.clock, get.inbox, dict[int, Out](), 0, False
    patient = False  # whether any forward has a timeout of its own
    end = clock.now() + get.left_ms * TENTHS
    number, seen = gateway.open(inbox), gateway.observer  # type: ignore[arg-type]

    def ended(leg: int, ending: Ending, final: bool) -> None:
        out = outs.pop(leg)
        now, stamp = clock.now(), 0
        took = now - out.sent
        if isinstance(ending, resp.Lost):
            event = i.ForwardEnded(number, leg, out.cache, ending.result, took, 0, 0, final, ending.shared)
        else:
            event = i.ForwardEnded(number, leg, out.cache, ending.result, took, ending.waited_ms * TENTHS,
                                   ending.note, final, False, ending.load)  # fmt: skip
            stamp = ending.stamp
        if seen is not None:
            seen.came(now, event, stamp)
        gateway.tell(event)

    def finish(final: Final, leg: int = -1) -> None:
        nonlocal over
        if not over:
            over = True
            answer(final)
            if seen is not None:
                size = len(final.body)
                seen.final(clock.now(), number, final.outcome, final.come_back_ms, size, leg)

    try:
        if seen is not None:
            seen.opened(clock.now(), number, get.ident, get.service, get.thing, get.group,
                        get.left_ms * TENTHS, get.repeated)  # fmt: skip
        gateway.tell(
            i.GetTaken(number, get.left_ms * TENTHS, get.service, get.thing, get.group, 0.0, get.repeated)
        )
        while not over or outs or inbox.steps:
            if patient:
                expiry = min((out.patience for out in outs.values() if out.patience), default=end)
                with anyio.move_on_after((expiry - clock.now()) / (1000 * TENTHS)) as waiting:
                    step = await inbox.next()
                if waiting.cancelled_caught:
                    for leg in [leg for leg, out in outs.items() if 0 < out.patience <= clock.now()]:
                        outs[leg].handle.stop()
                        ended(leg, resp.Lost("expired"), over)
                    continue
            else:
                step = await inbox.next()
            match step:
                case i.Forward():
                    leg, now = legs, clock.now()
                    legs += 1
                    if over:  # decided before this task gave the answer: send nothing after the answer
                        outs[leg] = Out(step.cache, now, 0, NOT_OUT)
                        ended(leg, resp.Lost("unsent"), True)
                        continue
                    patient |= step.patience > 0
                    wait = min(end, now + step.patience) if step.patience else end
                    command = resp.forward(
                        get.ident, get.same, get.body,
                        wait_ms=max(1, (wait - now) // TENTHS),
                        source=step.source if step.source != step.cache else "",
                        rank=step.rank, age_ms=max(1, step.age // TENTHS) if step.age else 0,
                        join=step.join, renew=step.renew, copies=step.copies,
                    )  # fmt: skip

                    def at_end(ending: Ending, leg: int = leg) -> None:
                        inbox.put(Ended(leg, ending))

                    out = Out(step.cache, now, now + step.patience if step.patience else 0, NOT_OUT)
                    outs[leg] = out
                    if seen is not None:
                        seen.sent(now, number, leg, step)
                    out.handle = send(step.cache, get.ident, command, at_end)
                case Ended():
                    if step.leg not in outs:
                        continue  # already ended by a recall or timeout
                    good = isinstance(step.ending, resp.Answer) and step.ending.result == "returned"
                    if good and not over:
                        assert isinstance(step.ending, resp.Answer)
                        finish(Final("returned", step.ending.body, step.ending.same), step.leg)
                    ended(step.leg, step.ending, over)
                case i.Recall():
                    if step.leg in outs:
                        outs[step.leg].handle.stop()
                        ended(step.leg, resp.Lost("recalled"), over)
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
        log.exception("life", extra={"get": get.ident})
        finish(Final("errored"))
    finally:
        gateway.close(number)
        for out in outs.values():
            out.handle.stop()


class NotOut:
    """Handle of a forward that has not been sent."""

    def stop(self) -> None:
        pass


NOT_OUT = NotOut()
