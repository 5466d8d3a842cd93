"""Relays on every path between processes, on loopback: datagrams between gateways, streams to caches and to
the bulletin. What a script says of a link happens here, and what passes is written down.

How it is called: `Datagrams(names, links, clock, chance)` with `await open(real)`, where `real` are the
gateways' own addresses; `seen_by(name)` is the list of peers as that gateway is to be told it. `Stream(a, b,
target, ...)` stands before one listener for one gateway. All chance comes from the seed.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from damsonstream.peers import wire
from damsonstream.standins.servers import LOOPBACK
from damsonstream.together.links import Links

KEPT = 200_000  # log entries of a play, which is short: the oldest go first
HELD = 4096  # datagrams or pieces held back on one link
Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class Passed:
    """One datagram that was sent: when, by whom, to whom, its bytes, whether it went on."""

    at: float
    a: str
    b: str
    data: bytes
    arrived: bool


class Socket(asyncio.DatagramProtocol):
    """Where `a` sends what is for `b`; what `b` sends to `a` comes from here."""

    def __init__(self, relay: Datagrams, a: str, b: str) -> None:
        self.relay, self.a, self.b = relay, a, b
        self.transport: asyncio.DatagramTransport | None = None
        self.address: Address = (LOOPBACK, 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, sender: Address) -> None:
        self.relay.took(self.a, self.b, data)


class Datagrams:
    def __init__(
        self, names: list[str], links: Links, clock: Callable[[], float], chance: random.Random
    ) -> None:
        self.names, self.links, self.clock, self.chance = names, links, clock, chance
        self.sockets: dict[tuple[str, str], Socket] = {}
        self.real: dict[str, Address] = {}
        self.log: deque[Passed] = deque(maxlen=KEPT)

    async def open(self, real: dict[str, Address]) -> None:
        self.real = real
        loop = asyncio.get_running_loop()
        for a in self.names:
            for b in self.names:
                if a != b:
                    one = Socket(self, a, b)
                    await loop.create_datagram_endpoint(lambda one=one: one, local_addr=(LOOPBACK, 0))  # type: ignore[misc]
                    self.sockets[a, b] = one

    def seen_by(self, name: str) -> list[str]:
        """Addresses of all gateways, by their numbers, as this one reaches them."""
        found = []
        for other in self.names:
            host, port = self.real[name] if other == name else self.sockets[name, other].address
            found.append(f"{host}:{port}")
        return found

    def took(self, a: str, b: str, data: bytes) -> None:
        at = self.clock()
        way = self.links.between(a, b, at)
        lost = way.cut > 0 or way.broken or self.chance.random() < way.drop
        self.log.append(Passed(at, a, b, data, not lost))
        if lost:
            return
        copies = 2 if self.chance.random() < way.repeat else 1
        for _ in range(copies):
            wait = max(way.delay, way.hold - at) + way.jitter * self.chance.random()
            if wait > 0:
                asyncio.get_running_loop().call_later(wait, self.hand_on, a, b, data)
            else:
                self.hand_on(a, b, data)

    def hand_on(self, a: str, b: str, data: bytes) -> None:
        back = self.sockets[b, a].transport  # from where b knows a
        if back is not None and not back.is_closing():
            back.sendto(data, self.real[b])

    def items(self, start: float = 0.0) -> list[tuple[Passed, wire.Item]]:
        """What gateways told one another, item by item."""
        found = []
        for passed in self.log:
            if passed.at >= start:
                try:
                    found += [(passed, item) for item in wire.read(passed.data).items]
                except wire.Unreadable:
                    continue
        return found

    def close(self) -> None:
        for one in self.sockets.values():
            if one.transport is not None:
                one.transport.close()


class End(asyncio.Protocol):
    """One end of a stream that is passed on; `way` tells how, and from which side."""

    def __init__(self, stream: Stream, forth: bool, other: End | None = None) -> None:
        self.stream, self.forth, self.other = stream, forth, other
        self.transport: asyncio.Transport | None = None
        self.early: list[bytes] = []  # until the other end is up; bounded by HELD pieces
        self.due = 0.0  # when the last piece goes on: none overtakes another

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.stream.ends.add(self)
        if not self.forth:
            self.stream.out.add(transport.get_extra_info("sockname"))
            for data in self.early:  # before anything that comes later
                self.transport.write(data)
            self.early.clear()
        else:
            self.stream.opened.append(self.stream.clock())
            self.stream.connect(self)

    def data_received(self, data: bytes) -> None:
        self.stream.pass_on(self, data)

    def connection_lost(self, fault: Exception | None) -> None:
        self.stream.ends.discard(self)
        if self.forth:
            self.stream.closed.append(self.stream.clock())
        if self.other is not None and self.other.transport is not None:
            self.other.transport.abort() if fault else self.other.transport.close()

    def write(self, data: bytes) -> None:
        if self.transport is None:
            if len(self.early) < HELD:
                self.early.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)


class Stream:
    """A listener for one gateway before one other party."""

    def __init__(
        self, a: str, b: str, target: Callable[[], Address], links: Links, clock: Callable[[], float],
        chance: random.Random,
    ) -> None:  # fmt: skip
        self.a, self.b, self.target, self.links, self.clock, self.chance = a, b, target, links, clock, chance
        self.ends: set[End] = set()
        self.opened: list[float] = []  # when the gateway opened each connection
        self.closed: list[float] = []  # and when each ended
        self.out: set[Address] = set()  # from where the other party has seen this gateway come
        self.tasks: set[asyncio.Task[None]] = set()  # connections under way
        self.server: asyncio.Server | None = None
        self.address: Address = (LOOPBACK, 0)

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: End(self, True), LOOPBACK, 0)
        self.address = self.server.sockets[0].getsockname()

    def arm(self) -> None:
        """The play's time begins: what breaks is reset at its time."""
        loop = asyncio.get_running_loop()
        for when in self.links.breaks(self.a, self.b):
            loop.call_later(max(0.0, when - self.clock()), self.reset)

    def connect(self, end: End) -> None:
        """The other side, as soon as the link lets it: one that is cut never comes up."""
        way = self.links.between(self.a, self.b, self.clock())
        if way.broken:
            if end.transport is not None:
                end.transport.abort()
            return
        end.other = End(self, False, end)

        async def reach() -> None:
            try:
                await asyncio.get_running_loop().create_connection(lambda: other, *self.target())
            except OSError:
                if end.transport is not None:
                    end.transport.abort()

        other = end.other
        task = asyncio.get_running_loop().create_task(reach())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def pass_on(self, end: End, data: bytes) -> None:
        at = self.clock()
        way = self.links.between(self.a, self.b, at) if end.forth else self.links.between(self.b, self.a, at)
        if end.other is None:
            return
        # cut off: silence, and the connection stays open, as one to a machine that has vanished
        wait = max(way.delay, way.hold - at, way.cut - at) + way.jitter * self.chance.random()
        end.due = max(end.due, at + wait)
        if end.due > at:
            asyncio.get_running_loop().call_later(end.due - at, end.other.write, data)
        else:
            end.other.write(data)

    def reset(self) -> None:
        for end in list(self.ends):
            if end.transport is not None:
                end.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset()
