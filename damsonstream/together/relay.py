"""Relays on every network path between processes, on loopback. They apply the scripted faults of the links
and log what passes.

`DatagramRelay` passes on datagrams between gateways: after `await open(gateway_addresses)`,
`peer_addresses(name)` are the addresses that a gateway is configured with for its peers. A `StreamRelay`
passes on the TCP connections of one gateway to one node or to the discovery service. All randomness comes
from the seed.
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

MAX_LOG_ENTRIES = 200_000  # a run is short; the oldest entries are dropped first
MAX_BUFFERED_CHUNKS = 4096  # per connection, until its other end is open
Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class RelayedDatagram:
    """A datagram that a gateway sent, and whether the relay delivered it."""

    time: float
    sender: str
    receiver: str
    data: bytes
    delivered: bool


class RelaySocket(asyncio.DatagramProtocol):
    """The socket to which the sender sends its datagrams for the receiver.

    Datagrams in the opposite direction are sent from it, so that each gateway has one address per peer.
    """

    def __init__(self, relay: DatagramRelay, sender: str, receiver: str) -> None:
        self.relay, self.sender, self.receiver = relay, sender, receiver
        self.transport: asyncio.DatagramTransport | None = None
        self.address: Address = (LOOPBACK, 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, sender: Address) -> None:
        self.relay.relay(self.sender, self.receiver, data)


class DatagramRelay:
    """Relays datagrams between all pairs of gateways, with one socket for each pair and direction."""

    def __init__(
        self, names: list[str], links: Links, clock: Callable[[], float], rng: random.Random
    ) -> None:
        self.names, self.links, self.clock, self.rng = names, links, clock, rng
        self.sockets: dict[tuple[str, str], RelaySocket] = {}
        self.gateway_addresses: dict[str, Address] = {}
        self.log: deque[RelayedDatagram] = deque(maxlen=MAX_LOG_ENTRIES)

    async def open(self, gateway_addresses: dict[str, Address]) -> None:
        self.gateway_addresses = gateway_addresses
        loop = asyncio.get_running_loop()
        for a in self.names:
            for b in self.names:
                if a != b:
                    socket = RelaySocket(self, a, b)
                    await loop.create_datagram_endpoint(lambda one=socket: one, local_addr=(LOOPBACK, 0))  # type: ignore[misc]
                    self.sockets[a, b] = socket

    def peer_addresses(self, name: str) -> list[str]:
        """Returns the addresses of all gateways in order, as the given gateway reaches them."""
        found = []
        for other in self.names:
            host, port = self.gateway_addresses[name] if other == name else self.sockets[name, other].address
            found.append(f"{host}:{port}")
        return found

    def relay(self, sender: str, receiver: str, data: bytes) -> None:
        now = self.clock()
        condition = self.links.condition(sender, receiver, now)
        lost = condition.cut > 0 or condition.reset or self.rng.random() < condition.drop
        self.log.append(RelayedDatagram(now, sender, receiver, data, not lost))
        if lost:
            return
        copies = 2 if self.rng.random() < condition.repeat else 1
        for _ in range(copies):
            delay = max(condition.delay, condition.hold - now) + condition.jitter * self.rng.random()
            if delay > 0:
                asyncio.get_running_loop().call_later(delay, self.deliver, sender, receiver, data)
            else:
                self.deliver(sender, receiver, data)

    def deliver(self, sender: str, receiver: str, data: bytes) -> None:
        # the receiver knows the sender by the address of this socket
        transport = self.sockets[receiver, sender].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, self.gateway_addresses[receiver])

    def messages(self, start: float = 0.0) -> list[tuple[RelayedDatagram, wire.Item]]:
        """Returns the items of all logged datagrams that could be decoded."""
        found = []
        for datagram in self.log:
            if datagram.time >= start:
                try:
                    found += [(datagram, item) for item in wire.decode(datagram.data).items]
                except wire.UnreadableDatagram:
                    continue
        return found

    def close(self) -> None:
        for socket in self.sockets.values():
            if socket.transport is not None:
                socket.transport.close()


class StreamEnd(asyncio.Protocol):
    """One of the two connections of a relayed stream: to the gateway (`from_gateway`) or to the target."""

    def __init__(self, stream: StreamRelay, from_gateway: bool, peer: StreamEnd | None = None) -> None:
        self.stream, self.from_gateway, self.peer = stream, from_gateway, peer
        self.transport: asyncio.Transport | None = None
        self.buffered: list[bytes] = []  # until the connection is open; at most MAX_BUFFERED_CHUNKS
        self.next_send_at = 0.0  # time at which the last chunk is sent: chunks stay in order

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.stream.ends.add(self)
        if not self.from_gateway:
            self.stream.outgoing_addresses.add(transport.get_extra_info("sockname"))
            for data in self.buffered:  # before any later data
                self.transport.write(data)
            self.buffered.clear()
        else:
            self.stream.opened_at.append(self.stream.clock())
            self.stream.connect_target(self)

    def data_received(self, data: bytes) -> None:
        self.stream.relay(self, data)

    def connection_lost(self, error: Exception | None) -> None:
        self.stream.ends.discard(self)
        if self.from_gateway:
            self.stream.closed_at.append(self.stream.clock())
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.abort() if error else self.peer.transport.close()

    def write(self, data: bytes) -> None:
        if self.transport is None:
            if len(self.buffered) < MAX_BUFFERED_CHUNKS:
                self.buffered.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)


class StreamRelay:
    """Listens for the connections of one gateway to one target, and relays them."""

    def __init__(
        self, gateway: str, target_name: str, target: Callable[[], Address], links: Links,
        clock: Callable[[], float], rng: random.Random,
    ) -> None:  # fmt: skip
        self.gateway, self.target_name, self.target, self.links, self.clock, self.rng = (
            gateway,
            target_name,
            target,
            links,
            clock,
            rng,
        )
        self.ends: set[StreamEnd] = set()
        self.opened_at: list[float] = []  # times at which the gateway opened connections
        self.closed_at: list[float] = []  # times at which they ended
        self.outgoing_addresses: set[Address] = set()  # local addresses of the connections to the target
        self.tasks: set[asyncio.Task[None]] = set()  # connections being opened
        self.server: asyncio.Server | None = None
        self.address: Address = (LOOPBACK, 0)

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: StreamEnd(self, True), LOOPBACK, 0)
        self.address = self.server.sockets[0].getsockname()

    def schedule_resets(self) -> None:
        """Schedules the scripted connection resets; called when the time of the run starts."""
        loop = asyncio.get_running_loop()
        for when in self.links.reset_times(self.gateway, self.target_name):
            loop.call_later(max(0.0, when - self.clock()), self.reset)

    def connect_target(self, end: StreamEnd) -> None:
        """Opens the connection to the target, unless a `break` fault is active: then aborts the gateway's."""
        condition = self.links.condition(self.gateway, self.target_name, self.clock())
        if condition.reset:
            if end.transport is not None:
                end.transport.abort()
            return
        end.peer = StreamEnd(self, False, end)

        async def reach() -> None:
            try:
                await asyncio.get_running_loop().create_connection(lambda: peer, *self.target())
            except OSError:
                if end.transport is not None:
                    end.transport.abort()

        peer = end.peer
        task = asyncio.get_running_loop().create_task(reach())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def relay(self, end: StreamEnd, data: bytes) -> None:
        now = self.clock()
        condition = (
            self.links.condition(self.gateway, self.target_name, now)
            if end.from_gateway
            else self.links.condition(self.target_name, self.gateway, now)
        )
        if end.peer is None:
            return
        # a cut link is silent and its connection stays open, as after the remote machine has disappeared
        delay = (
            max(condition.delay, condition.hold - now, condition.cut - now)
            + condition.jitter * self.rng.random()
        )
        end.next_send_at = max(end.next_send_at, now + delay)
        if end.next_send_at > now:
            asyncio.get_running_loop().call_later(end.next_send_at - now, end.peer.write, data)
        else:
            end.peer.write(data)

    def reset(self) -> None:
        for end in list(self.ends):
            if end.transport is not None:
                end.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset()
