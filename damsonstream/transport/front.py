"""The listener and the clients' connections: GETs in, final answers out.

How it is called: `Front(...).listen(host, port)` takes the address and `run()` accepts; `open_get(taken,
answer)` is called for each GET and gives what is to be told when its client leaves. An answer goes to its
connection's buffer, so that a slow client holds up nobody else; the buffers together are bounded, and the
slowest pays. `close()` ends it all: answers are awaited, connections are shut one by one, and what comes
meanwhile is refused.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from damsonstream.protocol import fastcgi
from damsonstream.transport.connection import Connection

log = logging.getLogger(__name__)
SLOW = 1 << 18  # bytes waiting on one connection before all are added up: more than one object
COMING = 1 << 18  # bytes of GETs that are coming in on one connection before all are added up: five writes
# Seconds within which a connection brings its first GET, and without a byte in the middle of a GET: a bad
# client is owed a close within 3 s. Web servers send a GET at once. Guards against those that say nothing or
# stop.
PROMPT = 2.4
SWEEP = 0.3  # seconds between looks for those
# Seconds in which a GET may still be on its way to a connection that looks idle: the protocol sends again
# what crosses a close within them. Guards against ending a connection that has just come instead of one at
# rest.
CROSSING = 0.05
SHUT = 0.5  # seconds for a client to shut its side after ours: many times the way there and back
ACCEPTS = 64  # connections accepted before others have their turn
BACKLOG = 1024  # connections that the system holds for us
RESTS = 0.1  # seconds without accepting when the system has no descriptor


class RequestHandler(Protocol):
    """A GET in the hands of its task."""

    def left(self) -> None: ...


Answer = Callable[[bytes], None]  # the whole answer, as bytes of the client's wire
Opener = Callable[[fastcgi.Taken, Answer], RequestHandler | None]  # None: it was answered at once


class Nobody:
    def left(self) -> None:
        pass


NOBODY = Nobody()


class ClientConnection(Connection):
    """One client's connection."""

    def __init__(self, front: Front, peer: str) -> None:
        super().__init__()
        self.front, self.peer = front, peer
        self.decoder = fastcgi.Decoder()
        self.handlers: dict[int, RequestHandler] = {}  # by id; emptied by answers, aborts and its end
        # when a byte of a GET that is not whole came last; it came up, if it brought none
        self.half = self.used
        self.last = False  # ends after the answers that are open
        self.gets = 0

    def took(self, data: bytes) -> None:
        if self.gets:
            self.half = time.monotonic()
        try:
            for message in self.decoder.feed(data):
                if self.reason:  # ended by an earlier one: what is read after that goes nowhere
                    return
                match message:
                    case fastcgi.Taken():
                        self.taken(message)
                    case fastcgi.Aborted(id=id):
                        if (handler := self.handlers.pop(id, None)) is not None:
                            handler.left()
                            self.decoder.done(id)
                            self.send(fastcgi.ended(id))
                            self.finish_if_over()
                    case fastcgi.Back(data=back):
                        self.send(back)
        except fastcgi.Broken as fault:
            self.end(str(fault))
        if self.decoder.coming > COMING:
            self.front.bound_coming()

    def taken(self, get: fastcgi.Taken) -> None:
        self.gets += 1
        self.used = time.monotonic()
        self.last |= not get.keep

        def answer(data: bytes) -> None:
            if self.handlers.pop(get.id, None) is None:
                return  # the client has left
            self.decoder.done(get.id)
            self.used = time.monotonic()
            self.send(data)
            if self.waiting > SLOW:
                self.front.bound()
            self.finish_if_over()

        self.handlers[get.id] = NOBODY
        handler = self.front.open_get(get, answer)
        if handler is not None:
            self.handlers[get.id] = handler

    def finish_if_over(self) -> None:
        """Shuts it where nothing is open on it, and nothing more is wanted or on its way."""
        if self.reason or self.handlers:
            return
        if self.last:
            self.finish("asked", SHUT)
        elif self.front.closing and not self.decoder.half and self.used < time.monotonic() - CROSSING:
            self.finish("stopped", SHUT)

    @property
    def idle(self) -> bool:
        return not self.handlers and not self.waiting and not self.reason and not self.decoder.half

    def ended(self) -> None:
        handlers, self.handlers = self.handlers, {}
        for handler in handlers.values():
            handler.left()
        self.front.parted(self)
        told = {
            "side": "client",
            "peer": self.peer,
            "reason": self.reason,
            "gets": self.gets,
            "left": len(handlers),
        }
        log.info("closed", extra=told)


class Front:
    def __init__(
        self, most: int, most_waiting: int, most_coming: int, open_get: Opener, count: Callable[[str], None]
    ) -> None:
        self.most, self.most_waiting, self.most_coming = most, most_waiting, most_coming
        self.open_get, self.count = open_get, count
        self.clients: dict[ClientConnection, None] = {}  # accepted; emptied as connections end
        self.listener: socket.socket | None = None
        self.group: TaskGroup | None = None
        self.closing = False

    def listen(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self.listener.setblocking(False)

    async def run(self) -> None:
        assert self.listener is not None
        async with anyio.create_task_group() as self.group:
            asyncio.get_running_loop().add_reader(self.listener.fileno(), self.accept)
            while True:
                await anyio.sleep(SWEEP)
                self.sweep()

    @property
    def open(self) -> int:
        """GETs without an answer, and connections whose answers are still on the way."""
        return sum(len(client.handlers) + (client.waiting > 0) for client in self.clients)

    def accept(self) -> int:
        """One by one, so that none is taken beyond the limit: whole bursts took descriptors that are
        others'."""
        assert self.listener is not None and self.group is not None
        for count in range(ACCEPTS):
            try:
                sock, address = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return count
            except ConnectionError:  # gone before it was accepted
                continue
            except OSError as fault:  # this machine's trouble: it passes, and the system holds those who come
                log.warning("accept", extra={"what": str(fault)})
                loop = asyncio.get_running_loop()
                loop.remove_reader(self.listener.fileno())
                loop.call_later(RESTS, self.resume)
                return count
            client = ClientConnection(self, ":".join(map(str, address[:2])))
            if not self.make_room():
                sock.close()
                client.reason = "full"
                client.ended()
                continue
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )  # held back, an answer may go with a close
            self.clients[client] = None
            self.group.start_soon(self.adopt, client, sock)
        return ACCEPTS

    def resume(self) -> None:
        if self.listener is not None:
            asyncio.get_running_loop().add_reader(self.listener.fileno(), self.accept)

    async def adopt(self, client: ClientConnection, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: client, sock)
        except OSError as fault:  # it has gone meanwhile
            sock.close()
            client.reason = client.reason or "reset"
            log.debug("accept", extra={"what": str(fault)})
            client.ended()

    def make_room(self) -> bool:
        """For one more: where the descriptors are used up one that never brought a GET ends, else the one
        idle longest; none on which a GET may be on its way."""
        if len(self.clients) < self.most:
            return True
        before = time.monotonic() - CROSSING
        idle = [c for c in self.clients if c.finishing or (c.transport and c.idle and c.used < before)]
        if not idle:
            return False
        min(idle, key=lambda c: (not c.finishing, c.gets > 0, c.used)).end("room")
        return True

    def sweep(self) -> None:
        before = time.monotonic() - PROMPT
        for client in [c for c in self.clients if not c.reason and c.half < before]:
            if not client.gets:
                client.end("silent")
            elif client.decoder.half and not client.handlers and client.used < before:
                client.end("half")  # what was taken on it has its answer by now

    def parted(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)
        self.count(f"client.{client.reason}")

    def bound(self) -> None:
        """Memory: over the bound, the connection that reads slowest is ended."""
        self.end_most(self.most_waiting, SLOW, lambda c: c.waiting, "slow")

    def bound_coming(self) -> None:
        """Memory: over the bound, the connection that holds most of GETs that are not whole is ended."""
        self.end_most(self.most_coming, COMING, lambda c: c.decoder.coming, "oversize")

    def end_most(self, most: int, least: int, size: Callable[[ClientConnection], int], reason: str) -> None:
        large = sorted((c for c in self.clients if size(c) > least and not c.reason), key=lambda c: -size(c))
        total = sum(map(size, large))
        for client in large:
            if total <= most:
                break
            total -= size(client)
            client.end(reason)

    async def close(self, within: float) -> None:
        """What the system still holds for us is taken, then no more; each connection is shut after its last
        answer, and ends with its client's side. After `within` seconds what is left ends as it is."""
        assert self.listener is not None
        while self.accept() == ACCEPTS:
            await anyio.sleep(0)
        asyncio.get_running_loop().remove_reader(self.listener.fileno())
        self.listener.close()
        self.listener, self.closing = None, True
        with anyio.move_on_after(within):
            while self.clients:
                for client in list(self.clients):
                    client.finish_if_over()
                await anyio.sleep(0.01)
        for client in list(self.clients):
            client.end("stopped")
