"""Stand-ins for caches, hubs, the vault and the bulletin, on loopback, with scripted faults.

How it is called: `World(...)` holds all nodes of a play; `await world.open()` makes their listeners,
`world.run()` plays the scripted crashes and resets, `world.publish(news)` tells the bulletin. All chance
comes from the seed.

Fills between nodes are calls inside this process, with the source's conditions and delay: the protocol
between caches is theirs, and no gateway sees it.
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
from damsonstream.standins.faults import Condition, Plan
from damsonstream.standins.shelf import Copy, Effects, Key, Shelf
from damsonstream.transport.connection import Connection

LOOPBACK = "127.0.0.1"
SETTLE = 0.2  # seconds within which a node drops what was purged
HIT = 0.002  # seconds for a hit: a look-up in memory, and the link of the shop
FETCH = {"hub": 0.008, "vault": 0.030}  # seconds to the first byte of a source that is well
PACE = 40e6  # bytes a second on the way
LONGEST = 10.0  # seconds for a fill, then its source counts as broken
QUEUE = 4  # GETs that may wait for each one under way, then they are turned away


@dataclass(slots=True)
class Kind:
    """What every node of a role is like."""

    role: str  # cache, hub or vault
    memory: int  # bytes
    lanes: int  # GETs under way at once


Give = Callable[[], Awaitable[tuple[Copy, str]]]


class Fill(Exception):
    """A source did not give; the text is the note that the cache's answer bears."""


class Node:
    def __init__(self, world: World, id: int, name: str, kind: Kind, location: int, cell: int) -> None:
        self.world, self.id, self.name, self.kind, self.location, self.cell = (
            world,
            id,
            name,
            kind,
            location,
            cell,
        )
        self.uid = f"s-{id:08x}"
        self.shelf = Shelf(kind.memory)
        self.lanes = asyncio.Semaphore(kind.lanes)
        self.under_way = 0  # GETs and fills that are here
        self.fills: dict[Key, asyncio.Future[tuple[Copy, str]]] = {}  # emptied as they end
        self.links: set[CacheLink] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.state, self.started_ms = 0, 0
        self.given = self.asked = 0  # fills given; GETs that came
        self.asked_at: list[float] = []  # seconds at which fills were asked of it: the vault's rate

    def listed(self) -> wire.Listed:
        model = self.world.models.index({"cache": "box", "hub": "hub", "vault": "vault"}[self.kind.role])
        return wire.Listed(self.id, (LOOPBACK, self.port), self.state, self.location, model, self.cell,
                           float(self.kind.lanes), self.started_ms)  # fmt: skip

    def condition(self) -> Condition:
        return self.world.plan.condition(self.name, self.world.now())

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: CacheLink(self), LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Gone at once: nothing listens, connections are reset, memory is lost."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()
        self.shelf.clear()

    def reset(self) -> None:
        for link in list(self.links):
            link.end("reset")

    async def restart(self) -> None:
        await self.listen()
        self.started_ms = self.world.unix_ms()

    async def give(
        self, asker: Node, key: Key, group: int, size: int, newer: int, only_held: bool
    ) -> tuple[Copy, str]:
        """A fill: a copy and the note of where it came from."""
        world = self.world
        if (wait := max(world.held(asker.name, self.name), world.held(self.name, asker.name))) > 0:
            await anyio.sleep(wait)  # nothing passes between them: silence, and it goes on later
        condition = self.condition()
        self.asked_at.append(world.now())
        world.filled(asker, self)
        if condition.down:
            raise Fill("src_broke")
        if world.chance.random() < condition.hang:
            await anyio.sleep(3600)
        if world.chance.random() < condition.shed or self.under_way > self.kind.lanes * (1 + QUEUE):
            raise Fill("src_refused")
        self.under_way += 1
        try:
            async with self.lanes:
                await anyio.sleep(
                    FETCH[self.kind.role] * (0.8 + 0.4 * world.chance.random()) + condition.delay
                )
                if self.condition().down:
                    raise Fill("src_broke")
                if world.chance.random() < condition.fail:
                    raise Fill("src_broke")
                note = "filled"
                if self.kind.role == "vault":
                    copy: Copy | None = Copy(world.unix_ms(), size, group)
                else:
                    copy = self.shelf.find(key, world.unix_ms(), newer)
                    if copy is None:
                        if only_held:
                            raise Fill("src_lacks")
                        copy, note = await self.fetch(key, group, size, newer)
                assert copy is not None
                self.given += 1
                return copy, note
        finally:
            self.under_way -= 1

    def begin(self, key: Key, give: Give) -> asyncio.Future[tuple[Copy, str]]:
        """A fill that goes on by itself, also when those who asked for it have left."""
        future: asyncio.Future[tuple[Copy, str]] = asyncio.get_running_loop().create_future()
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        self.fills.setdefault(key, future)

        async def run() -> None:
            try:
                with anyio.fail_after(LONGEST):
                    copy, note = await give()
                self.shelf.keep(key, copy)
                future.set_result((copy, note))
            except Fill as fault:
                future.set_exception(fault)
            except TimeoutError:
                future.set_exception(Fill("src_broke"))
            finally:
                if self.fills.get(key) is future:
                    del self.fills[key]
                if not future.done():
                    future.set_exception(Fill("src_broke"))

        assert self.world.group is not None
        self.world.group.start_soon(run)
        return future

    async def fetch(self, key: Key, group: int, size: int, newer: int) -> tuple[Copy, str]:
        """A hub's own miss: the vault gives it; those that come meanwhile wait for the same."""
        running = self.fills.get(key)
        if running is None:
            running = self.begin(key, lambda: self.world.vault.give(self, key, group, size, newer, False))
        try:
            copy, _ = await asyncio.shield(running)
        except Fill as fault:
            raise Fill("origin_failed") from fault
        return copy, "via_origin"


class CacheLink(Connection):
    """One gateway's connection to a node."""

    def __init__(self, node: Node) -> None:
        super().__init__()
        self.node, self.commands = node, wire.Commands()
        self.open: dict[bytes, anyio.CancelScope] = {}  # by id; emptied by answers and stops
        self.sender: object = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.sender = transport.get_extra_info("peername")
        self.node.links.add(self)

    def ended(self) -> None:
        self.node.links.discard(self)
        for scope in list(self.open.values()):
            scope.cancel()

    def took(self, data: bytes) -> None:
        try:
            for command in self.commands.feed(data):
                self.obey(command)
        except wire.Broken as fault:
            self.node.world.fault(f"{self.node.name} was sent what can't be read: {fault}")
            self.end("malformed")

    def obey(self, command: wire.Command) -> None:
        if command.word == "HELO":
            self.send(wire.answer(command.ident, "green", {}))
        elif command.word == "STOP":
            if (scope := self.open.get(command.ident)) is not None:
                scope.cancel()
        elif command.ident in self.open:
            self.node.world.fault(f"{self.node.name} was sent an id that is open")
            self.end("malformed")
        else:
            group = self.node.world.group
            if group is not None:
                scope = self.open[command.ident] = anyio.CancelScope()
                group.start_soon(self.live, command, scope)

    async def live(self, command: wire.Command, scope: anyio.CancelScope) -> None:
        """One GET at a node, from its coming to its answer."""
        node, world, fields = self.node, self.node.world, command.fields
        node.asked += 1
        try:
            with scope, anyio.move_on_after(int(fields["ms"]) / 1000):
                word, told, body = await self.work(command)
                told["gauges"] = f"inflight:{node.under_way}"
                if command.ident in self.open and not node.condition().down:
                    self.send(wire.answer(command.ident, word, told, body))
        except (KeyError, ValueError) as fault:
            world.fault(f"{node.name} was sent unusable fields: {fault}")
            self.send(wire.answer(command.ident, "crashed", {}))
        finally:
            self.open.pop(command.ident, None)

    async def work(self, command: wire.Command) -> tuple[str, dict[str, str], bytes]:
        node, world, fields = self.node, self.node.world, command.fields
        condition = node.condition()
        key = (fields["kind"], fields["obj"], fields["seg"])
        world.arrived(node, fields, self.sender)
        if world.chance.random() < condition.hang:
            await anyio.sleep(3600)
        full = node.under_way >= node.kind.lanes * (1 + QUEUE)
        if full or world.chance.random() < condition.shed:
            return "overload", {}, b""
        node.under_way += 1
        try:
            async with node.lanes:
                await anyio.sleep(HIT + condition.delay)
                if world.chance.random() < condition.fail:
                    return "crashed", {}, b""
                return await self.serve(key, fields, command.body)
        finally:
            node.under_way -= 1

    async def serve(self, key: Key, fields: dict[str, str], body: bytes) -> tuple[str, dict[str, str], bytes]:
        node, world = self.node, self.node.world
        group, size = world.describe(key)
        if token := fields.get("token"):
            return await self.effect(token, fields)
        newer = int(fields.get("newer", "0"))
        copy, note, waited = node.shelf.find(key, world.unix_ms(), newer), "hit", 0.0
        if copy is None:
            source = world.by_uid.get(fields.get("fetch", ""))
            if source is None:
                return "not_here", {}, b""
            began = world.now()
            try:
                copy, note, waited = await self.fill(key, group, size, fields, source, newer, began)
            except Fill as fault:
                told = {"res": str(fault), "took": f"{(world.now() - began) * 1000:.0f}"}
                return (
                    {"src_lacks": "not_here", "src_refused": "overload"}.get(str(fault), "crashed"),
                    told,
                    b"",
                )
        told = {"res": note, "version": copy.version, "stamp": str(copy.stamp)}
        if waited:
            told["took"] = f"{waited * 1000:.0f}"
        if fields.get("holds") == copy.version:
            return "still_good", told, b""
        await anyio.sleep(copy.size / PACE)
        return "served", told, world.bytes_of(key, copy)

    async def fill(
        self, key: Key, group: int, size: int, fields: dict[str, str], source: Node, newer: int, began: float
    ) -> tuple[Copy, str, float]:
        node, world = self.node, self.node.world
        how = fields.get("handle", "").split("+")
        running, note = node.fills.get(key), "joined"
        if "collapse" not in how or running is None:
            only_held = "only-if-cached" in how
            running, note = node.begin(key, lambda: source.give(node, key, group, size, newer, only_held)), ""
        copy, where = await asyncio.shield(running)
        return copy, note or where, world.now() - began

    async def effect(self, token: str, fields: dict[str, str]) -> tuple[str, dict[str, str], bytes]:
        """A GET that changes something: it runs at the vault, once for each token."""
        world, began = self.node.world, self.node.world.now()
        condition, source = world.vault.condition(), world.by_uid.get(fields.get("fetch", ""), world.vault)
        way = source.condition()
        if way.down or (source is not world.vault and world.chance.random() < way.fail):
            return "crashed", {"res": "src_broke"}, b""  # it passes nothing on, so that nothing ran
        if condition.down:
            return "crashed", {"res": "origin_failed"}, b""
        await anyio.sleep(FETCH["vault"] + condition.delay)
        world.effects.run(token, world.now())
        waited = (world.now() - began) * 1000
        note = "filled" if source is world.vault else "via_origin"
        return "served", {"res": note, "took": f"{waited:.0f}", "stamp": str(world.unix_ms())}, b"done"


class Bulletin:
    """Numbered news, to whoever asks for what follows a number."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.events: list[wire.News] = []
        self.others: list[Bulletin] = []  # tell the same events, to one gateway each
        self.view: Callable[[wire.News], wire.News] = lambda news: news  # as its gateway is to see them
        self.links: set[BulletinLink] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: BulletinLink(self), LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def publish(self, news: wire.News) -> int:
        self.events.append(news)
        for one in (self, *self.others):
            for link in one.links:
                link.catch_up()
        return len(self.events)

    def view_for(self, view: Callable[[wire.News], wire.News]) -> Bulletin:
        """Another listener that tells the same."""
        other = Bulletin(self.world)
        other.events, other.view = self.events, view
        self.others.append(other)
        return other

    async def beat(self) -> None:
        while True:
            await anyio.sleep(1.0)
            for one in (self, *self.others):
                for link in one.links:
                    link.beat()


class BulletinLink(Connection):
    def __init__(self, bulletin: Bulletin) -> None:
        super().__init__()
        self.bulletin, self.hello, self.told = bulletin, b"", -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.bulletin.links.add(self)

    def ended(self) -> None:
        self.bulletin.links.discard(self)

    def took(self, data: bytes) -> None:
        if self.told < 0:
            self.hello += data
            if len(self.hello) >= 8:
                self.told = int.from_bytes(self.hello[:8], "big")
                self.catch_up()

    def catch_up(self) -> None:
        while 0 <= self.told < len(self.bulletin.events):
            self.told += 1
            self.send(wire.frame(self.told, self.bulletin.view(self.bulletin.events[self.told - 1])))

    def beat(self) -> None:
        if self.told >= 0:
            self.send(wire.frame(self.told, None))


@dataclass(slots=True, frozen=True)
class Shape:
    """How large a fleet of stand-ins is: caches of one shop, hubs, one vault."""

    shops: int = 1
    caches: int = 3
    hubs: int = 2
    cache: Kind = field(default_factory=lambda: Kind("cache", 6 << 20, 24))
    hub: Kind = field(default_factory=lambda: Kind("hub", 48 << 20, 64))
    vault: Kind = field(default_factory=lambda: Kind("vault", 0, 48))


class World:
    """All stand-ins of one play."""

    models = ("box", "hub", "vault")

    def __init__(
        self, shape: Shape, plan: Plan, seed: int, describe: Callable[[Key], tuple[int, int]],
        remembered: float = 3.0,
    ) -> None:  # fmt: skip
        self.plan, self.chance, self.describe = plan, random.Random(seed), describe
        self.effects = Effects(remembered)
        self.faults: list[str] = []  # what gateways did that the protocol does not allow; bounded
        self.fault_count = 0
        self.group: TaskGroup | None = None
        self.began = time.monotonic()
        self.offset_ms = time.time_ns() // 1_000_000 - time.monotonic_ns() // 1_000_000
        self.locations = (*(f"shop-{n + 1}" for n in range(shape.shops)), "hubs")
        self.nodes: dict[str, Node] = {}
        ids = iter(range(1, 1 << 20))
        for shop in range(shape.shops):
            for n in range(shape.caches):
                self.add(Node(self, next(ids), f"cache-{shop + 1}-{n + 1}", shape.cache, shop, n))
        for n in range(shape.hubs):
            self.add(Node(self, next(ids), f"hub-{n + 1}", shape.hub, shape.shops, n))
        self.vault = Node(self, next(ids), "vault", shape.vault, shape.shops, 0)
        self.add(self.vault)
        self.bulletin = Bulletin(self)
        self.drained: dict[str, float] = {}  # node and when the bulletin said that it leaves
        # of each forward as it comes: where, its fields, the address that it came from
        self.witness: Callable[[Node, dict[str, str], object], None] = lambda node, fields, sender: None
        # seconds for which nothing passes from one node to another; of each fill who asked whom
        self.held: Callable[[str, str], float] = lambda a, b: 0.0
        self.filled: Callable[[Node, Node], None] = lambda asker, source: None

    def add(self, node: Node) -> None:
        self.nodes[node.name] = node

    @property
    def by_uid(self) -> dict[str, Node]:
        return {node.uid: node for node in self.nodes.values()}

    def now(self) -> float:
        """Seconds since the play began."""
        return time.monotonic() - self.began

    def unix_ms(self) -> int:
        return time.monotonic_ns() // 1_000_000 + self.offset_ms

    def fault(self, text: str) -> None:
        self.fault_count += 1
        if len(self.faults) < 100:
            self.faults.append(text)

    def arrived(self, node: Node, fields: dict[str, str], sender: object) -> None:
        """Truth about drains, seen where forwards arrive."""
        self.witness(node, fields, sender)
        named = self.by_uid.get(fields.get("fetch", node.uid), node)
        for one in (node, named):
            since = self.drained.get(one.name)
            if since is not None and self.now() > since + 1.0:
                self.fault(f"{one.name} was named {self.now() - since:.2f} s after it was to be left alone")

    def bytes_of(self, key: Key, copy: Copy) -> bytes:
        """An object's bytes tell what they are and of when, so that a client can check them."""
        text = f"{key[0]}/{key[1]}/{key[2]} {copy.stamp} ".encode()
        return (text * (copy.size // len(text) + 1))[: copy.size]

    async def open(self) -> None:
        for node in self.nodes.values():
            await node.listen()
        await self.bulletin.listen()
        self.bulletin.events.append(tuple(node.listed() for node in self.nodes.values()))

    def start(self) -> None:
        """The play's time begins."""
        self.began = time.monotonic()

    def purge(self, thing: str, group: int) -> None:
        issued = self.unix_ms()
        self.bulletin.publish(wire.Purged(thing, group, issued))
        for node in self.nodes.values():
            asyncio.get_running_loop().call_later(
                SETTLE * self.chance.random(), node.shelf.purge, thing, group, issued
            )

    def tell_state(self, name: str, state: int) -> None:
        node = self.nodes[name]
        node.state = state
        if state and name not in self.drained:
            self.drained[name] = self.now()
        elif not state:
            self.drained.pop(name, None)
        self.bulletin.publish((node.listed(),))

    async def run(self) -> None:
        """Plays crashes and resets; never ends by itself."""
        async with anyio.create_task_group() as self.group:
            self.group.start_soon(self.bulletin.beat)
            self.group.start_soon(self.play)

    async def play(self) -> None:
        edges = [*self.plan.edges("crash"), *self.plan.edges("reset")]
        for when, fault, begins in sorted(edges, key=lambda edge: edge[0]):
            await anyio.sleep(max(0.0, when - self.now()))
            node = self.nodes.get(fault.node)
            if node is None:
                continue
            if fault.kind == "reset":
                if begins:
                    node.reset()
            elif begins:
                node.crash()
            else:
                await node.restart()
                self.bulletin.publish((node.listed(),))

    def close(self) -> None:
        for node in self.nodes.values():
            node.crash()
        for one in (self.bulletin, *self.bulletin.others):
            if one.server is not None:
                one.server.close()
            for link in list(one.links):
                link.end("stopped")
