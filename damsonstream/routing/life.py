"""Runs each GET in one task, from its arrival to its final answer.

`GetTasks(gateway, send).start(get, answer)` starts a GET. `answer` is called once, unless the client leaves
before (`get.left()`). The router makes every decision and gets its events through `gateway.handle_event`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from damsonstream.protocol import resp
from damsonstream.routing import interface as i
from damsonstream.routing.gateway import TICKS_PER_MS, Gateway, Inbox
from damsonstream.routing.sent_ids import SentIds

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client has disconnected or no longer waits."""


class ForwardHandle(Protocol):
    """The transport's handle of a pending forward."""

    def stop(self) -> None: ...


ForwardEnd = resp.Answer | resp.Lost
# Called right before the first byte of a forward is sent; returns None if it must not be sent any more.
Encoder = Callable[[], resp.Command | None]
Sender = Callable[
    [str, bytes, Encoder, Callable[[ForwardEnd], None]], ForwardHandle
]  # cache, id, encoder of the command, callback for the end


@dataclass(slots=True, frozen=True)
class ForwardDone:
    attempt: int
    end: ForwardEnd


Step = i.Action | ClientGone | ForwardDone


@dataclass(slots=True)
class PendingForward:
    """A pending forward."""

    cache: str
    sent_at: int
    expires_at: int  # clock time of its own timeout, 0: none but the GET's
    handle: ForwardHandle


def ignore_end() -> None:
    """Does nothing at the end of a GET."""


def always_connected() -> bool:
    """Used where the connection of the client is not known."""
    return True


@dataclass(slots=True)
class Get:
    """A GET as received from the client."""

    ident: bytes
    service: int
    object_id: str
    group: int
    time_left_ms: int
    is_retry: bool
    fixed_fields: bytes  # the fields passed on unchanged, in the encoding of the caches' protocol
    body: bytes
    inbox: Inbox[Step] = field(default_factory=Inbox)
    on_end: Callable[[], None] = ignore_end  # called when it is answered and all its forwards have ended
    # whether the client is still there; it may have left before its input has been read
    is_client_connected: Callable[[], bool] = always_connected

    def client_left(self) -> None:
        self.inbox.put(ClientGone())


@dataclass(slots=True, frozen=True)
class FinalAnswer:
    """The final answer: returned, shed or errored."""

    outcome: str
    body: bytes = b""
    not_modified: bool = False  # the client's copy is still valid
    retry_after_ms: int = 0


Job = tuple[Get, Callable[[FinalAnswer], None]]


class GetTasks:
    """The tasks of the open GETs.

    Tasks are reused: starting an anyio task for each GET took a sixth of the CPU core at 2,000 GETs/s.
    """

    MAX_IDLE_TASKS = 512  # enough for the tasks of a busy second

    def __init__(self, gateway: Gateway, send: Sender) -> None:
        self.gateway, self.send = gateway, send
        self.group: TaskGroup | None = None
        self.idle_tasks: list[asyncio.Future[Job]] = []
        self.open_ids: set[bytes] = set()  # client's ids of the open GETs
        self.sent_ids = SentIds()  # of earlier GETs that may have run and have an effect

    def is_used(self, ident: bytes) -> bool:
        """Returns whether a GET with this id is open, or may have run with an effect."""
        return ident in self.open_ids or ident in self.sent_ids

    def start(self, get: Get, answer: Callable[[FinalAnswer], None]) -> None:
        assert self.group is not None
        self.open_ids.add(get.ident)
        if self.idle_tasks:
            self.idle_tasks.pop().set_result((get, answer))
        else:
            self.group.start_soon(self.worker, (get, answer))

    async def worker(self, job: Job | None) -> None:
        while job is not None:
            await self.run(job)
            job = None  # an idle task must not keep its last GET, whose body may be large
            if len(self.idle_tasks) < self.MAX_IDLE_TASKS:
                waiter = asyncio.get_running_loop().create_future()
                self.idle_tasks.append(waiter)
                job = await waiter

    async def run(self, job: Job) -> None:
        get, answer = job
        service = self.gateway.deployment.services[get.service]
        try:
            may_have_run = await run_get(self.gateway, self.send, get, answer)
            if may_have_run and service.idempotency != "idempotent":
                self.sent_ids.add(get.ident)
        finally:
            self.open_ids.discard(get.ident)
            get.on_end()


async def run_get(gateway: Gateway, send: Sender, get: Get, answer: Callable[[FinalAnswer], None]) -> bool:
    """Carries out the router's actions for one GET until it is answered and all its forwards have ended.
    Returns whether it may have run: it was sent, and its client was not told that trying again is harmless.
    """
    clock, inbox, pending, attempts, finished = (
        gateway.clock,
        get.inbox,
        dict[int, PendingForward](),
        0,
        False,
    )
    has_timeouts = False  # whether any forward has a timeout of its own
    was_sent = was_shed = False
    deadline = clock.now() + get.time_left_ms * TICKS_PER_MS
    number, observer = gateway.register(inbox), gateway.observer  # type: ignore[arg-type]

    def forward_done(attempt: int, end: ForwardEnd, get_done: bool) -> None:
        forward = pending.pop(attempt)
        now, stamp = clock.now(), 0
        took = now - forward.sent_at
        if isinstance(end, resp.Lost):
            event = i.ForwardEnded(
                number, attempt, forward.cache, end.result, took, 0, 0, get_done, end.shared
            )
        else:
            event = i.ForwardEnded(number, attempt, forward.cache, end.result, took,
                                   end.waited_ms * TICKS_PER_MS, end.note, get_done, False,
                                   end.load)  # fmt: skip
            stamp = end.stamp
        if observer is not None:
            observer.forward_ended(now, event, stamp)
        gateway.handle_event(event)

    def encode(attempt: int) -> resp.Command | None:
        nonlocal was_sent
        if not get.is_client_connected():
            get.client_left()
            return None
        confirmed = None if finished else gateway.confirm_forward(number, attempt)
        if confirmed is None:
            return None
        was_sent = True
        expires_at = pending[attempt].expires_at
        wait = (min(deadline, expires_at) if expires_at else deadline) - clock.now()
        return encode_forward(get, confirmed, wait)

    def send_answer(final: FinalAnswer, attempt: int = -1) -> None:
        nonlocal finished, was_shed
        if not finished:
            finished, was_shed = True, final.outcome == "shed"
            answer(final)
            if observer is not None:
                size = len(final.body)
                observer.get_answered(clock.now(), number, final.outcome, final.retry_after_ms, size, attempt)

    try:
        if observer is not None:
            observer.get_opened(clock.now(), number, get.ident, get.service, get.object_id, get.group,
                            get.time_left_ms * TICKS_PER_MS, get.is_retry)  # fmt: skip
        gateway.handle_event(
            i.GetReceived(
                number,
                get.time_left_ms * TICKS_PER_MS,
                get.service,
                get.object_id,
                get.group,
                0.0,
                get.is_retry,
            )
        )
        while not finished or pending or inbox.steps:
            if has_timeouts:
                expiry = min(
                    (forward.expires_at for forward in pending.values() if forward.expires_at),
                    default=deadline,
                )
                with anyio.move_on_after((expiry - clock.now()) / (1000 * TICKS_PER_MS)) as waiting:
                    step = await inbox.next()
                if waiting.cancelled_caught:
                    for attempt in [
                        attempt
                        for attempt, forward in pending.items()
                        if 0 < forward.expires_at <= clock.now()
                    ]:
                        pending[attempt].handle.stop()
                        forward_done(attempt, resp.Lost("expired"), finished)
                    continue
            else:
                step = await inbox.next()
            match step:
                case i.Forward():
                    attempt, now = attempts, clock.now()
                    attempts += 1
                    if finished:  # decided before this task gave the answer: send nothing after the answer
                        pending[attempt] = PendingForward(step.cache, now, 0, UNSENT)
                        forward_done(attempt, resp.Lost("unsent"), True)
                        continue
                    has_timeouts |= step.timeout > 0
                    expires_at = now + step.timeout if step.timeout else 0

                    def on_end(ending: ForwardEnd, attempt: int = attempt) -> None:
                        inbox.put(ForwardDone(attempt, ending))

                    forward = PendingForward(step.cache, now, expires_at, UNSENT)
                    pending[attempt] = forward
                    if observer is not None:
                        observer.forward_sent(now, number, attempt, step)
                    forward.handle = send(step.cache, get.ident, partial(encode, attempt), on_end)
                case ForwardDone():
                    if step.attempt not in pending:
                        continue  # already ended by a recall or timeout
                    good = isinstance(step.end, resp.Answer) and step.end.result == "returned"
                    if good and not finished:
                        assert isinstance(step.end, resp.Answer)
                        send_answer(FinalAnswer("returned", step.end.body, step.end.same), step.attempt)
                    forward_done(step.attempt, step.end, finished)
                case i.Recall():
                    if step.attempt in pending:
                        pending[step.attempt].handle.stop()
                        forward_done(step.attempt, resp.Lost("recalled"), finished)
                case i.Shed():
                    send_answer(FinalAnswer("shed", retry_after_ms=step.retry_after // TICKS_PER_MS))
                case i.Errored():
                    send_answer(FinalAnswer("errored"))
                case ClientGone():
                    if not finished:
                        finished = True
                        if observer is not None:
                            observer.client_left(clock.now(), number)
                        gateway.handle_event(i.ClientLeft(number))
    except Exception:
        # "life" is the name of the event in the log
        log.exception("life", extra={"get": get.ident})
        send_answer(FinalAnswer("errored"))
    finally:
        gateway.unregister(number)
        for forward in pending.values():
            forward.handle.stop()
    return was_sent and not was_shed


def encode_forward(get: Get, forward: i.Forward, wait: int) -> resp.Command:
    """Encodes a forward of a GET; `wait` is its time limit in ticks."""
    return resp.forward(
        get.ident, get.fixed_fields, get.body,
        wait_ms=max(1, wait // TICKS_PER_MS),
        source=forward.source if forward.source != forward.cache else "",
        rank=forward.retention_rank,
        age_ms=max(1, forward.max_age // TICKS_PER_MS) if forward.max_age else 0,
        join=forward.collapse, renew=forward.refresh, copies=forward.only_if_cached,
    )  # fmt: skip


class UnsentHandle:
    """Handle of a forward that has not been sent."""

    def stop(self) -> None:
        pass


UNSENT = UnsentHandle()
