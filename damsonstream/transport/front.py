"""The listener and the clients' connections: GETs in, final answers out.

How it is called: `Front(...).listen(host, port)` accepts; `open_get(taken, answer)` is called for each GET
and gives what is to be told when its client leaves. An answer goes to its connection's buffer, so that a slow
client holds up nobody else; the buffers together are bounded, and the slowest pays.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Protocol

import anyio

from damsonstream.protocol import fastcgi
from damsonstream.transport.link import Link

log = logging.getLogger(__name__)
SLOW = 1 << 18  # bytes waiting on one connection before all are added up: more than one object
# Seconds within which a connection brings its first GET, and any GET is whole: a bad client is owed a close
# within 3 s. Web servers send a GET at once. Guards against those that say nothing or stop half way.
PROMPT = 2.4
SWEEP = 0.3  # seconds between looks for those


class Life(Protocol):
    """A GET in the hands of its task."""

    def left(self) -> None: ...


Answer = Callable[[bytes], None]  # the whole answer, as bytes of the client's wire
Opener = Callable[[fastcgi.Taken, Answer], Life | None]  # None: it was answered at once


class Nobody:
    def left(self) -> None:
        pass


NOBODY = Nobody()


class Client(Link):
    """One client's connection."""

    def __init__(self, front: Front) -> None:
        super().__init__()
        self.front = front
        self.decoder = fastcgi.Decoder()
        self.lives: dict[int, Life] = {}  # by id; emptied by answers, aborts and its end
        self.half = self.used  # since when it has been half way through a GET, or has brought none
        self.last = False  # ends after the answers that are open
        self.gets = 0
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.peer = ":".join(map(str, transport.get_extra_info("peername") or ()))
        self.front.joined(self)
        super().connection_made(transport)

    def took(self, data: bytes) -> None:
        whole = self.gets > 0 and not self.decoder.half  # what was there before these bytes
        if whole:
            self.half = time.monotonic()
        try:
            for message in self.decoder.feed(data):
                match message:
                    case fastcgi.Taken():
                        self.taken(message)
                    case fastcgi.Aborted(id=id):
                        if (life := self.lives.pop(id, None)) is not None:
                            life.left()
                            self.decoder.done(id)
                            self.send(fastcgi.ended(id))
                    case fastcgi.Back(data=back):
                        self.send(back)
        except fastcgi.Broken as fault:
            self.end(str(fault))

    def taken(self, get: fastcgi.Taken) -> None:
        self.gets += 1
        self.used = self.half = time.monotonic()
        self.last |= not get.keep

        def answer(data: bytes) -> None:
            if self.lives.pop(get.id, None) is None:
                return  # the client has left
            self.decoder.done(get.id)
            self.used = time.monotonic()
            self.send(data)
            if self.last and not self.lives:
                self.end("asked", flush=True)
            elif self.waiting > SLOW:
                self.front.bound()

        self.lives[get.id] = NOBODY
        life = self.front.open_get(get, answer)
        if life is not None:
            self.lives[get.id] = life

    def ended(self) -> None:
        lives, self.lives = self.lives, {}
        for life in lives.values():
            life.left()
        self.front.parted(self)
        told = {
            "side": "client",
            "peer": self.peer,
            "reason": self.reason,
            "gets": self.gets,
            "left": len(lives),
        }
        log.info("closed", extra=told)


class Front:
    def __init__(self, most: int, most_waiting: int, open_get: Opener, count: Callable[[str], None]) -> None:
        self.most, self.most_waiting, self.open_get, self.count = most, most_waiting, open_get, count
        self.clients: dict[Client, None] = {}  # emptied as connections end

    async def listen(self, host: str, port: int) -> asyncio.Server:
        return await asyncio.get_running_loop().create_server(lambda: Client(self), host, port, backlog=1024)

    @property
    def open(self) -> int:
        """GETs without an answer, and connections whose answers are still on the way."""
        return sum(len(client.lives) + (client.waiting > 0) for client in self.clients)

    def joined(self, client: Client) -> None:
        """One more connection; where the descriptors are used up one that never brought a GET makes room for
        it, else the one idle longest."""
        if len(self.clients) >= self.most:
            idle = [c for c in self.clients if not c.lives and not c.waiting and not c.reason]
            if idle:
                min(idle, key=lambda c: (c.gets > 0, c.used)).end("room")
            else:
                client.reason = "full"
        self.clients[client] = None

    async def sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP)
            before = time.monotonic() - PROMPT
            for client in [c for c in self.clients if c.half < before and not c.reason]:
                if not client.gets:
                    client.end("silent")
                elif client.decoder.half:
                    client.end("half")

    def parted(self, client: Client) -> None:
        self.clients.pop(client, None)
        self.count(f"client.{client.reason}")

    def bound(self) -> None:
        """Memory: over the bound, the connection that reads slowest is ended."""
        slow = sorted(
            (c for c in self.clients if c.waiting > SLOW and not c.reason), key=lambda c: -c.waiting
        )
        total = sum(client.waiting for client in slow)
        for client in slow:
            if total <= self.most_waiting:
                break
            total -= client.waiting
            client.end("slow")
