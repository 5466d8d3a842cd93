"""Stand-ins for caches, parents, the origin and the discovery service, on loopback, with scripted faults.

`StandIns(...)` holds all nodes of one run: `await stand_ins.open()` starts their listeners, `run()` executes
the scripted crashes and resets, and `discovery.publish(event)` sends a discovery event. All randomness comes
from the seed. Roles and names follow the configuration: a "hub" is a parent, the "vault" is the origin.

Fills between nodes are calls within this process, with the faults and the delay of the source: gateways never
see the protocol between caches.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from damsonstream.standins import wire
from damsonstream.standins.cache_store import CacheStore, Copy, EffectLog, Key
from damsonstream.standins.faults import Condition, FaultPlan
from damsonstream.transport.link import TcpConnection

LOOPBACK = "127.0.0.1"
PURGE_DELAY = 0.2  # seconds within which a node drops purged copies
HIT_TIME = 0.002  # seconds for a hit: memory lookup and network within the shop
FIRST_BYTE = {"hub": 0.008, "vault": 0.030}  # seconds to the first byte of a healthy source, by role
BYTES_PER_SECOND = 40e6  # bytes per second of an answer's transfer
FILL_TIMEOUT = 10.0  # seconds for a fill, after which its source counts as broken
QUEUE_FACTOR = 4  # queued GETs per GET in progress; further ones are shed


@dataclass(slots=True)
class NodeKind:
    """The capacity of every node of a role."""

    role: str  # cache, hub or vault
    cache_bytes: int  # capacity for copies in bytes
    slots: int  # GETs processed at once


FillFunction = Callable[[], Awaitable[tuple[Copy, str]]]


class FillError(Exception):
    """A fill failed; the text is the note (`res`) in the cache's answer."""


class Node:
    """One cache, parent or origin."""

    def __init__(
        self, stand_ins: StandIns, id: int, name: str, kind: NodeKind, location: int, cell: int
    ) -> None:
        self.stand_ins, self.id, self.name, self.kind, self.location, self.cell = (
            stand_ins,
            id,
            name,
            kind,
            location,
            cell,
        )
        self.uid = f"s-{id:08x}"
        self.store = CacheStore(kind.cache_bytes)
        self.free_slots = asyncio.Semaphore(kind.slots)
        self.in_progress = 0  # GETs and fills being processed or queued
        self.fills: dict[Key, asyncio.Future[tuple[Copy, str]]] = {}  # running fills; removed as they end
        self.connections: set[CacheConnection] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.state, self.started_ms = 0, 0
        self.fills_served = self.gets_received = 0
        self.fill_request_times: list[float] = []  # times at which it received fill requests

    def list_entry(self) -> wire.ListedNode:
        """Returns the node's entry in the discovery list."""
        model = self.stand_ins.models.index({"cache": "box", "hub": "hub", "vault": "vault"}[self.kind.role])
        return wire.ListedNode(self.id, (LOOPBACK, self.port), self.state, self.location, model, self.cell,
                           float(self.kind.slots), self.started_ms)  # fmt: skip

    def condition(self) -> Condition:
        return self.stand_ins.plan.condition(self.name, self.stand_ins.now())

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: CacheConnection(self), LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stops listening, resets all connections and drops all copies, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()
        self.store.clear()

    def reset(self) -> None:
        """Resets all connections."""
        for connection in list(self.connections):
            connection.close("reset")

    async def restart(self) -> None:
        await self.listen()
        self.started_ms = self.stand_ins.unix_ms()

    async def serve_fill(
        self, requester: Node, key: Key, group: int, size: int, max_age: int, only_if_cached: bool
    ) -> tuple[Copy, str]:
        """Serves a fill for another node; returns the copy and a note on where it came from.

        `max_age` is in milliseconds, 0 for any. Raises FillError.
        """
        stand_ins = self.stand_ins
        if (
            wait := max(
                stand_ins.blocked_for(requester.name, self.name),
                stand_ins.blocked_for(self.name, requester.name),
            )
        ) > 0:
            await anyio.sleep(wait)  # the link is blocked: the request is delayed until it recovers
        condition = self.condition()
        self.fill_request_times.append(stand_ins.now())
        stand_ins.on_fill(requester, self)
        if condition.down:
            raise FillError("src_broke")
        if stand_ins.rng.random() < condition.hang:
            await anyio.sleep(3600)
        if stand_ins.rng.random() < condition.shed or self.in_progress > self.kind.slots * (1 + QUEUE_FACTOR):
            raise FillError("src_refused")
        self.in_progress += 1
        try:
            async with self.free_slots:
                await anyio.sleep(
                    FIRST_BYTE[self.kind.role] * (0.8 + 0.4 * stand_ins.rng.random()) + condition.delay
                )
                if self.condition().down:
                    raise FillError("src_broke")
                if stand_ins.rng.random() < condition.fail:
                    raise FillError("src_broke")
                note = "filled"
                if self.kind.role == "vault":
                    copy: Copy | None = Copy(stand_ins.unix_ms(), size, group)
                else:
                    copy = self.store.lookup(key, stand_ins.unix_ms(), max_age)
                    if copy is None:
                        if only_if_cached:
                            raise FillError("src_lacks")
                        copy, note = await self.fill_from_origin(key, group, size, max_age)
                assert copy is not None
                self.fills_served += 1
                return copy, note
        finally:
            self.in_progress -= 1

    def start_fill(self, key: Key, fill_function: FillFunction) -> asyncio.Future[tuple[Copy, str]]:
        """Starts a fill that continues when the GETs that wait for it are cancelled."""
        future: asyncio.Future[tuple[Copy, str]] = asyncio.get_running_loop().create_future()
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        self.fills.setdefault(key, future)

        async def run() -> None:
            try:
                with anyio.fail_after(FILL_TIMEOUT):
                    copy, note = await fill_function()
                self.store.store(key, copy)
                future.set_result((copy, note))
            except FillError as error:
                future.set_exception(error)
            except TimeoutError:
                future.set_exception(FillError("src_broke"))
            finally:
                if self.fills.get(key) is future:
                    del self.fills[key]
                if not future.done():
                    future.set_exception(FillError("src_broke"))

        assert self.stand_ins.group is not None
        self.stand_ins.group.start_soon(run)
        return future

    async def fill_from_origin(self, key: Key, group: int, size: int, max_age: int) -> tuple[Copy, str]:
        """Fills a miss of this parent from the origin; concurrent misses of a key share one fill."""
        running = self.fills.get(key)
        if running is None:
            running = self.start_fill(
                key, lambda: self.stand_ins.origin.serve_fill(self, key, group, size, max_age, False)
            )
        try:
            copy, _ = await asyncio.shield(running)
        except FillError as error:
            raise FillError("origin_failed") from error
        return copy, "via_origin"


class CacheConnection(TcpConnection):
    """One gateway's connection to a node."""

    def __init__(self, node: Node) -> None:
        super().__init__()
        self.node, self.commands = node, wire.CommandDecoder()
        self.open_gets: dict[bytes, anyio.CancelScope] = {}  # by id; removed by answers and cancellation
        self.peer_address: object = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.peer_address = transport.get_extra_info("peername")
        self.node.connections.add(self)

    def handle_close(self) -> None:
        self.node.connections.discard(self)
        for scope in list(self.open_gets.values()):
            scope.cancel()

    def handle_data(self, data: bytes) -> None:
        try:
            for command in self.commands.feed(data):
                self.handle_command(command)
        except wire.ProtocolError as error:
            self.node.stand_ins.report_violation(f"{self.node.name} received a malformed command: {error}")
            self.close("malformed")

    def handle_command(self, command: wire.Command) -> None:
        if command.word == "HELO":
            self.send(wire.encode_answer(command.ident, "green", {}))
        elif command.word == "STOP":
            if (scope := self.open_gets.get(command.ident)) is not None:
                scope.cancel()
        elif command.ident in self.open_gets:
            self.node.stand_ins.report_violation(f"{self.node.name} received the id of an open GET")
            self.close("malformed")
        else:
            group = self.node.stand_ins.group
            if group is not None:
                scope = self.open_gets[command.ident] = anyio.CancelScope()
                group.start_soon(self.handle_get, command, scope)

    async def handle_get(self, command: wire.Command, scope: anyio.CancelScope) -> None:
        """Processes one GET until its answer is sent, its time is over, or it is cancelled."""
        node, stand_ins, fields = self.node, self.node.stand_ins, command.fields
        node.gets_received += 1
        try:
            with scope, anyio.move_on_after(int(fields["ms"]) / 1000):
                word, answer_fields, body = await self.process_get(command)
                answer_fields["gauges"] = f"inflight:{node.in_progress}"
                if command.ident in self.open_gets and not node.condition().down:
                    self.send(wire.encode_answer(command.ident, word, answer_fields, body))
        except (KeyError, ValueError) as error:
            stand_ins.report_violation(f"{node.name} received unusable fields: {error}")
            self.send(wire.encode_answer(command.ident, "crashed", {}))
        finally:
            self.open_gets.pop(command.ident, None)

    async def process_get(self, command: wire.Command) -> tuple[str, dict[str, str], bytes]:
        """Returns the result word, the fields and the body of the answer."""
        node, stand_ins, fields = self.node, self.node.stand_ins, command.fields
        condition = node.condition()
        key = (fields["kind"], fields["obj"], fields["seg"])
        stand_ins.check_forward(node, fields, self.peer_address)
        if stand_ins.rng.random() < condition.hang:
            await anyio.sleep(3600)
        full = node.in_progress >= node.kind.slots * (1 + QUEUE_FACTOR)
        if full or stand_ins.rng.random() < condition.shed:
            return "overload", {}, b""
        node.in_progress += 1
        try:
            async with node.free_slots:
                await anyio.sleep(HIT_TIME + condition.delay)
                if stand_ins.rng.random() < condition.fail:
                    return "crashed", {}, b""
                return await self.serve_object(key, fields, command.body)
        finally:
            node.in_progress -= 1

    async def serve_object(
        self, key: Key, fields: dict[str, str], body: bytes
    ) -> tuple[str, dict[str, str], bytes]:
        node, stand_ins = self.node, self.node.stand_ins
        group, size = stand_ins.describe(key)
        if token := fields.get("token"):
            return await self.run_effect(token, fields)
        max_age = int(fields.get("newer", "0"))
        copy, note, waited = node.store.lookup(key, stand_ins.unix_ms(), max_age), "hit", 0.0
        if copy is None:
            source = stand_ins.by_uid.get(fields.get("fetch", ""))
            if source is None:
                return "not_here", {}, b""
            started_at = stand_ins.now()
            try:
                copy, note, waited = await self.fill(key, group, size, fields, source, max_age, started_at)
            except FillError as error:
                answer_fields = {"res": str(error), "took": f"{(stand_ins.now() - started_at) * 1000:.0f}"}
                return (
                    {"src_lacks": "not_here", "src_refused": "overload"}.get(str(error), "crashed"),
                    answer_fields,
                    b"",
                )
        answer_fields = {"res": note, "version": copy.version, "stamp": str(copy.stamp)}
        if waited:
            answer_fields["took"] = f"{waited * 1000:.0f}"
        if fields.get("holds") == copy.version:
            return "still_good", answer_fields, b""
        await anyio.sleep(copy.size / BYTES_PER_SECOND)
        return "served", answer_fields, stand_ins.content(key, copy)

    async def fill(
        self,
        key: Key,
        group: int,
        size: int,
        fields: dict[str, str],
        source: Node,
        max_age: int,
        started_at: float,
    ) -> tuple[Copy, str, float]:
        node, stand_ins = self.node, self.node.stand_ins
        directives = fields.get("handle", "").split("+")
        running, note = node.fills.get(key), "joined"
        if "collapse" not in directives or running is None:
            only_held = "only-if-cached" in directives
            running, note = (
                node.start_fill(key, lambda: source.serve_fill(node, key, group, size, max_age, only_held)),
                "",
            )
        copy, source_note = await asyncio.shield(running)
        return copy, note or source_note, stand_ins.now() - started_at

    async def run_effect(self, token: str, fields: dict[str, str]) -> tuple[str, dict[str, str], bytes]:
        """Runs a GET that has an effect: at the origin, once for each token."""
        stand_ins, started_at = self.node.stand_ins, self.node.stand_ins.now()
        condition, source = (
            stand_ins.origin.condition(),
            stand_ins.by_uid.get(fields.get("fetch", ""), stand_ins.origin),
        )
        source_condition = source.condition()
        if source_condition.down or (
            source is not stand_ins.origin and stand_ins.rng.random() < source_condition.fail
        ):
            return "crashed", {"res": "src_broke"}, b""  # nothing reached the origin, so nothing ran
        if condition.down:
            return "crashed", {"res": "origin_failed"}, b""
        await anyio.sleep(FIRST_BYTE["vault"] + condition.delay)
        stand_ins.effects.run(token, stand_ins.now())
        waited = (stand_ins.now() - started_at) * 1000
        note = "filled" if source is stand_ins.origin else "via_origin"
        return "served", {"res": note, "took": f"{waited:.0f}", "stamp": str(stand_ins.unix_ms())}, b"done"


class DiscoveryServer:
    """The discovery service: sends numbered events, from the number after the one that a gateway names."""

    def __init__(self, stand_ins: StandIns) -> None:
        self.stand_ins = stand_ins
        self.events: list[wire.Event] = []
        self.per_gateway: list[DiscoveryServer] = []  # listeners with the same events, one for each gateway
        self.transform: Callable[[wire.Event], wire.Event] = lambda event: event  # applied to each sent event
        self.connections: set[DiscoveryConnection] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: DiscoveryConnection(self), LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def publish(self, event: wire.Event) -> int:
        self.events.append(event)
        for server in (self, *self.per_gateway):
            for connection in server.connections:
                connection.catch_up()
        return len(self.events)

    def add_listener(self, transform: Callable[[wire.Event], wire.Event]) -> DiscoveryServer:
        """Adds a listener that sends the same events, changed by `transform`."""
        other = DiscoveryServer(self.stand_ins)
        other.events, other.transform = self.events, transform
        self.per_gateway.append(other)
        return other

    async def send_heartbeats(self) -> None:
        while True:
            await anyio.sleep(1.0)
            for server in (self, *self.per_gateway):
                for connection in server.connections:
                    connection.send_heartbeat()


class DiscoveryConnection(TcpConnection):
    """One gateway's discovery watch; `last_sent` is -1 until the gateway has named its last event."""

    def __init__(self, discovery: DiscoveryServer) -> None:
        super().__init__()
        self.discovery, self.received, self.last_sent = discovery, b"", -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.discovery.connections.add(self)

    def handle_close(self) -> None:
        self.discovery.connections.discard(self)

    def handle_data(self, data: bytes) -> None:
        if self.last_sent < 0:
            self.received += data
            if len(self.received) >= 8:
                self.last_sent = int.from_bytes(self.received[:8], "big")
                self.catch_up()

    def catch_up(self) -> None:
        while 0 <= self.last_sent < len(self.discovery.events):
            self.last_sent += 1
            self.send(
                wire.encode_frame(
                    self.last_sent, self.discovery.transform(self.discovery.events[self.last_sent - 1])
                )
            )

    def send_heartbeat(self) -> None:
        if self.last_sent >= 0:
            self.send(wire.encode_frame(self.last_sent, None))


@dataclass(slots=True, frozen=True)
class Shape:
    """The number of shops, caches per shop and parents, and the capacity of each role; one origin."""

    shops: int = 1
    caches: int = 3
    hubs: int = 2
    cache: NodeKind = field(default_factory=lambda: NodeKind("cache", 6 << 20, 24))
    hub: NodeKind = field(default_factory=lambda: NodeKind("hub", 48 << 20, 64))
    vault: NodeKind = field(default_factory=lambda: NodeKind("vault", 0, 48))


class StandIns:
    """All stand-ins of one run."""

    models = ("box", "hub", "vault")

    def __init__(
        self, shape: Shape, plan: FaultPlan, seed: int, describe: Callable[[Key], tuple[int, int]],
        token_memory: float = 3.0,
    ) -> None:  # fmt: skip
        self.plan, self.rng, self.describe = plan, random.Random(seed), describe
        self.effects = EffectLog(token_memory)
        self.violations: list[str] = []  # protocol violations by gateways; the first 100
        self.violation_count = 0
        self.group: TaskGroup | None = None
        self.started_at = time.monotonic()
        self.unix_offset_ms = time.time_ns() // 1_000_000 - time.monotonic_ns() // 1_000_000
        self.locations = (*(f"shop-{n + 1}" for n in range(shape.shops)), "hubs")
        self.nodes: dict[str, Node] = {}
        ids = iter(range(1, 1 << 20))
        for shop in range(shape.shops):
            for n in range(shape.caches):
                self.add(Node(self, next(ids), f"cache-{shop + 1}-{n + 1}", shape.cache, shop, n))
        for n in range(shape.hubs):
            self.add(Node(self, next(ids), f"hub-{n + 1}", shape.hub, shape.shops, n))
        self.origin = Node(self, next(ids), "vault", shape.vault, shape.shops, 0)
        self.add(self.origin)
        self.discovery = DiscoveryServer(self)
        self.drained_at: dict[str, float] = {}  # by node: when discovery announced that it drains
        # called for each forward received: node, fields, address of the gateway's connection
        self.on_forward: Callable[[Node, dict[str, str], object], None] = lambda node, fields, peer_address: (
            None
        )
        # returns the seconds for which nothing passes from one node to another
        self.blocked_for: Callable[[str, str], float] = lambda a, b: 0.0
        # called for each fill request: requester, source
        self.on_fill: Callable[[Node, Node], None] = lambda requester, source: None

    def add(self, node: Node) -> None:
        self.nodes[node.name] = node

    @property
    def by_uid(self) -> dict[str, Node]:
        return {node.uid: node for node in self.nodes.values()}

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def unix_ms(self) -> int:
        return time.monotonic_ns() // 1_000_000 + self.unix_offset_ms

    def report_violation(self, text: str) -> None:
        self.violation_count += 1
        if len(self.violations) < 100:
            self.violations.append(text)

    def check_forward(self, node: Node, fields: dict[str, str], peer_address: object) -> None:
        """Reports a forward that uses a draining node more than 1 s after its drain was announced."""
        self.on_forward(node, fields, peer_address)
        named = self.by_uid.get(fields.get("fetch", node.uid), node)
        for target in (node, named):
            since = self.drained_at.get(target.name)
            if since is not None and self.now() > since + 1.0:
                self.report_violation(
                    f"{target.name} was used {self.now() - since:.2f} s after its drain was announced"
                )

    def content(self, key: Key, copy: Copy) -> bytes:
        """Returns a copy's bytes, which repeat its key and time stamp, so that a client can check them."""
        text = f"{key[0]}/{key[1]}/{key[2]} {copy.stamp} ".encode()
        return (text * (copy.size // len(text) + 1))[: copy.size]

    async def open(self) -> None:
        for node in self.nodes.values():
            await node.listen()
        await self.discovery.listen()
        self.discovery.events.append(tuple(node.list_entry() for node in self.nodes.values()))

    def start(self) -> None:
        """Starts the time of the run."""
        self.started_at = time.monotonic()

    def purge(self, object_id: str, group: int) -> None:
        issued = self.unix_ms()
        self.discovery.publish(wire.Purged(object_id, group, issued))
        for node in self.nodes.values():
            asyncio.get_running_loop().call_later(
                PURGE_DELAY * self.rng.random(), node.store.purge, object_id, group, issued
            )

    def set_state(self, name: str, state: int) -> None:
        node = self.nodes[name]
        node.state = state
        if state and name not in self.drained_at:
            self.drained_at[name] = self.now()
        elif not state:
            self.drained_at.pop(name, None)
        self.discovery.publish((node.list_entry(),))

    async def run(self) -> None:
        """Executes the scripted crashes and resets; runs until it is cancelled."""
        async with anyio.create_task_group() as self.group:
            self.group.start_soon(self.discovery.send_heartbeats)
            self.group.start_soon(self.run_faults)

    async def run_faults(self) -> None:
        edges = [*self.plan.edges("crash"), *self.plan.edges("reset")]
        for when, fault, starts in sorted(edges, key=lambda edge: edge[0]):
            await anyio.sleep(max(0.0, when - self.now()))
            node = self.nodes.get(fault.node)
            if node is None:
                continue
            if fault.kind == "reset":
                if starts:
                    node.reset()
            elif starts:
                node.crash()
            else:
                await node.restart()
                self.discovery.publish((node.list_entry(),))

    def close(self) -> None:
        for node in self.nodes.values():
            node.crash()
        for server in (self.discovery, *self.discovery.per_gateway):
            if server.server is not None:
                server.server.close()
            for connection in list(server.connections):
                connection.close("stopped")
