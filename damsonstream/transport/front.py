"""The listener and the clients' connections: GETs in, final answers out.

How it is called: `Front(...).run(listener)` accepts; for each GET it starts a task `live(request, answer)`.
A connection's answers wait in its own queue, so that a slow client holds up nobody else.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from damsonstream.protocol import fastcgi

log = logging.getLogger(__name__)
RECEIVE = 1 << 16  # bytes taken from a connection at once: a write and its parameters


class Life(Protocol):
    """A GET in the hands of its task."""

    def left(self) -> None: ...


Answer = Callable[[bytes], None]  # the whole answer, as bytes of the client's wire
Opener = Callable[[fastcgi.Taken, Answer], tuple[Life, Awaitable[None]] | None]


@dataclass(slots=True, eq=False)
class Client:
    """One client's connection."""

    peer: str
    decoder: fastcgi.Decoder = field(default_factory=fastcgi.Decoder)
    lives: dict[int, Life] = field(default_factory=dict)  # by id; emptied by answers, aborts and its end
    queue: deque[tuple[int, bytes]] = field(default_factory=deque)  # id (0: none, -id: left) and bytes
    waiting: int = 0  # bytes in the queue
    filled: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    used: float = field(default_factory=time.monotonic)
    reason: str = ""
    last: bool = False  # ends after the answers that are open
    gets: int = 0

    def end(self, reason: str) -> None:
        self.reason = self.reason or reason
        self.scope.cancel()


class Front:
    def __init__(self, most: int, most_waiting: int, open_get: Opener, count: Callable[[str], None]) -> None:
        self.most, self.most_waiting, self.open_get, self.count = most, most_waiting, open_get, count
        self.clients: dict[Client, None] = {}  # emptied as connections end
        self.waiting = 0  # bytes of answers not yet handed to the system, over all connections
        self.open = 0  # GETs taken whose answer isn't written

    async def accept(self, stream: SocketStream) -> None:
        """One connection, from its opening to its end."""
        client = Client("")
        try:
            if len(self.clients) >= self.most and not self.make_room():
                client.reason = "full"
                return
            self.clients[client] = None
            client.peer = ":".join(map(str, stream.extra(SocketAttribute.remote_address)))
            async with anyio.create_task_group() as lives:
                with client.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(self.write, client, stream)
                        client.end(await self.read(client, stream, lives))
                left = list(client.lives.values())
                client.lives.clear()
                self.open -= len(left)
                for life in left:
                    life.left()
        except Exception:
            log.exception("client connection")
            client.reason = client.reason or "fault"
        finally:
            self.clients.pop(client, None)
            self.waiting -= client.waiting
            self.open -= sum(1 for id, _ in client.queue if id > 0)
            self.count(f"client.{client.reason or 'stopped'}")
            told = {"side": "client", "peer": client.peer, "reason": client.reason or "stopped"}
            log.info("closed", extra={**told, "gets": client.gets})
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    def make_room(self) -> bool:
        """Ends the connection that has been idle longest, to stay within the descriptors' budget."""
        idle = [c for c in self.clients if not c.lives and not c.queue and not c.reason]
        if not idle:
            return False
        min(idle, key=lambda c: c.used).end("room")
        return True

    async def read(self, client: Client, stream: SocketStream, lives: TaskGroup) -> str:
        try:
            while True:
                for message in client.decoder.feed(await stream.receive(RECEIVE)):
                    match message:
                        case fastcgi.Taken():
                            self.taken(client, message, lives)
                        case fastcgi.Aborted(id=id):
                            self.aborted(client, id)
                        case fastcgi.Back(data=data):
                            self.put(client, 0, data)
        except anyio.EndOfStream:
            return "closed"
        except anyio.BrokenResourceError:
            return "reset"
        except fastcgi.Broken as fault:
            return str(fault)

    def taken(self, client: Client, get: fastcgi.Taken, lives: TaskGroup) -> None:
        client.gets += 1
        client.used = time.monotonic()
        client.last |= not get.keep
        self.open += 1

        def answer(data: bytes) -> None:
            if client.lives.pop(get.id, None) is None:
                return  # the client has left
            self.put(client, get.id, data)

        client.lives[get.id] = NOBODY
        opened = self.open_get(get, answer)
        if opened is None:
            return  # answered at once
        client.lives[get.id] = opened[0]
        lives.start_soon(run, opened[1])

    def aborted(self, client: Client, id: int) -> None:
        if (life := client.lives.pop(id, None)) is not None:
            self.open -= 1
            life.left()
            self.put(client, -id, fastcgi.ended(id))
        for place, (waits, data) in enumerate(client.queue):
            if waits == id and place:  # the first is being written
                end = fastcgi.ended(id)
                client.queue[place] = (id, end)
                client.waiting += len(end) - len(data)
                self.waiting += len(end) - len(data)

    def put(self, client: Client, id: int, data: bytes) -> None:
        client.queue.append((id, data))
        client.waiting += len(data)
        self.waiting += len(data)
        client.filled.set()
        while self.waiting > self.most_waiting:  # the one that reads slowest pays
            worst = max(self.clients, key=lambda c: c.waiting * (not c.reason))
            if worst.reason or not worst.waiting:
                break
            worst.end("slow")
            self.waiting -= worst.waiting
            worst.waiting = 0

    async def write(self, client: Client, stream: SocketStream) -> None:
        try:
            while True:
                while client.queue:
                    id, data = client.queue[0]
                    client.decoder.done(abs(id))
                    await stream.send(data)
                    client.queue.popleft()
                    client.waiting -= len(data)
                    self.waiting -= len(data)
                    self.open -= id > 0
                    client.used = time.monotonic()
                if client.last and not client.lives:
                    client.end("asked")
                client.filled = anyio.Event()
                await client.filled.wait()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            client.end("reset")


async def run(life: Awaitable[None]) -> None:
    await life


class Nobody:
    def left(self) -> None:
        pass


NOBODY = Nobody()
