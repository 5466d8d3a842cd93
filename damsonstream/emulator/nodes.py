"""Caches, hubs, the vault and the list of them in virtual time, as the stand-ins are on sockets. No I/O.

How it is called: `World(engine, ...)` holds all nodes; `node.forward(command, done)` brings a GET to one and
calls `done(answer)` as it ends, unless its task is cancelled; `world.tell(news)` tells the list's followers.
Conditions come from the same `Plan` as the stand-ins', times from their constants (standins/servers.py), so
that one script means the same in both. Chance comes from the seed.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from damsonstream.emulator.engine import MS, Engine, Lanes, Process, S, Signal, Task
from damsonstream.protocol.resp import NOTE
from damsonstream.routing import interface as i
from damsonstream.standins import servers
from damsonstream.standins.faults import Condition, Plan
from damsonstream.standins.shelf import Copy, Effects, Key, Shelf

UNIX = 1_764_576_000 * S  # what the clocks of all gateways show as a play begins
FOREVER = 3600 * S
HIT, LONGEST, SETTLE = int(servers.HIT * S), int(servers.LONGEST * S), int(servers.SETTLE * S)
MODELS = servers.World.models
MODEL = {"cache": "box", "hub": "hub", "vault": "vault"}
STATES = ("active", "leaving", "left")
GRACE = 1.0  # seconds after a drain was told, as the settings of a play have it


@dataclass(slots=True, frozen=True)
class Command:
    """What a forward asks of a cache."""

    key: Key
    source: str  # uid, empty: no fill
    newer: int  # milliseconds, 0: as old as it likes
    join: bool
    copies: bool
    token: str
    patience: int


@dataclass(slots=True, frozen=True)
class Answer:
    result: str  # returned, lacking, shed or errored
    note: int = 0
    waited: int = 0


class Fill(Exception):
    """A source did not give; the text is the note that the cache's answer bears."""


class Node:
    def __init__(
        self, world: World, id: int, name: str, role: str, memory: int, lanes: int, location: str, cell: int
    ) -> None:
        self.world, self.name, self.role, self.count = world, name, role, lanes
        self.uid, self.location, self.cell = f"s-{id:08x}", location, cell
        self.shelf = Shelf(memory)
        self.lanes = Lanes(world.engine, lanes)
        self.under_way = 0
        self.fills: dict[Key, Signal] = {}  # emptied as they end
        self.state, self.since = 0, 0

    def entry(self) -> i.Entry:
        return i.Entry(self.uid, self.location, STATES[self.state], float(self.count), self.cell,
                       MODEL[self.role], self.since)  # fmt: skip

    def condition(self) -> Condition:
        return self.world.plan.condition(self.name, self.world.engine.now / S)

    def forward(self, command: Command, done: Callable[[Answer], None]) -> Task:
        """One GET, from its coming to its answer; none comes where the node is down by then."""

        def live() -> Process[None]:
            answer = yield from self.work(command)
            if not self.condition().down:
                done(answer)

        task = self.world.engine.begin(live())
        if not task.over:
            self.world.engine.after(command.patience, task.cancel)
        return task

    def turned_away(self, condition: Condition, room: bool) -> bool:
        return not room or self.world.chance.random() < condition.shed

    def work(self, command: Command) -> Process[Answer]:
        condition, chance = self.condition(), self.world.chance
        if condition.hang and chance.random() < condition.hang:
            yield FOREVER
        if self.turned_away(condition, self.under_way < self.count * (1 + servers.QUEUE)):
            return Answer("shed")
        self.under_way += 1
        try:
            yield from self.lanes.enter()
            try:
                yield HIT + int(condition.delay * S)
                if chance.random() < condition.fail:
                    return Answer("errored")
                return (yield from (self.effect(command) if command.token else self.serve(command)))
            finally:
                self.lanes.leave()
        finally:
            self.under_way -= 1

    def serve(self, command: Command) -> Process[Answer]:
        world, engine = self.world, self.world.engine
        copy, note, waited = self.shelf.find(command.key, world.unix_ms(), command.newer), "hit", 0
        if copy is None:
            source = world.by_uid.get(command.source)
            if source is None:
                return Answer("lacking")
            began = engine.now
            try:
                copy, note = yield from self.fill(command, source)
            except Fill as fault:
                result = {"src_lacks": "lacking", "src_refused": "shed"}.get(str(fault), "errored")
                return Answer(result, note_of(str(fault)), engine.now - began)
            waited = engine.now - began
        yield int(copy.size / servers.PACE * S)
        return Answer("returned", note_of(note), waited)

    def fill(self, command: Command, source: Node) -> Process[tuple[Copy, str]]:
        key, running, joined = command.key, self.fills.get(command.key), True
        if running is None or not command.join:
            running, joined = self.begin(key, source.give(self, command, command.copies)), False
        found = yield running
        if isinstance(found, str):
            raise Fill(found)
        copy, where = found
        return copy, "joined" if joined else where

    def begin(self, key: Key, give: Process[tuple[Copy, str]]) -> Signal:
        """A fill that goes on by itself, also when those who asked for it have left."""
        engine, ended = self.world.engine, Signal(self.world.engine)
        self.fills.setdefault(key, ended)

        def end(found: object) -> None:
            if self.fills.get(key) is ended:
                del self.fills[key]
            ended.set(found)

        def run() -> Process[None]:
            try:
                copy, where = yield from give
            except Fill as fault:
                return end(str(fault))
            self.shelf.keep(key, copy)
            end((copy, where))

        task = engine.begin(run())

        def overdue() -> None:
            if not task.over:
                task.cancel()
                end("src_broke")

        if not task.over:
            engine.after(LONGEST, overdue)
        return ended

    def give(self, asker: Node, command: Command, only_held: bool) -> Process[tuple[Copy, str]]:
        """A fill: a copy and the note of where it came from."""
        world, chance = self.world, self.world.chance
        if (wait := max(world.held(asker.name, self.name), world.held(self.name, asker.name))) > 0:
            yield int(wait * S) + 1
        condition = self.condition()
        world.filled(asker, self)
        if condition.down:
            raise Fill("src_broke")
        if condition.hang and chance.random() < condition.hang:
            yield FOREVER
        if self.turned_away(condition, self.under_way <= self.count * (1 + servers.QUEUE)):
            raise Fill("src_refused")
        self.under_way += 1
        try:
            yield from self.lanes.enter()
            try:
                way = servers.FETCH[self.role] * (0.8 + 0.4 * chance.random()) + condition.delay
                yield int(way * S)
                if self.condition().down or chance.random() < condition.fail:
                    raise Fill("src_broke")
                group, size = world.describe(command.key)
                if self.role == "vault":
                    return Copy(world.unix_ms(), size, group), "filled"
                copy = self.shelf.find(command.key, world.unix_ms(), command.newer)
                if copy is not None:
                    return copy, "filled"
                if only_held:
                    raise Fill("src_lacks")
                return (yield from self.fetch(command)), "via_origin"
            finally:
                self.lanes.leave()
        finally:
            self.under_way -= 1

    def fetch(self, command: Command) -> Process[Copy]:
        """A hub's own miss: the vault gives it; those that come meanwhile wait for the same."""
        running = self.fills.get(command.key)
        if running is None:
            running = self.begin(command.key, self.world.vault.give(self, command, False))
        found = yield running
        if isinstance(found, str):
            raise Fill("origin_failed")
        copy: Copy = found[0]
        return copy

    def effect(self, command: Command) -> Process[Answer]:
        """A GET that changes something: it runs at the vault, once for each token."""
        world, vault = self.world, self.world.vault
        condition, source = vault.condition(), world.by_uid.get(command.source, vault)
        way = source.condition()
        if way.down or (source is not vault and world.chance.random() < way.fail):
            return Answer("errored", note_of("src_broke"))
        if condition.down:
            return Answer("errored", note_of("origin_failed"))
        began = world.engine.now
        yield int((servers.FETCH["vault"] + condition.delay) * S)
        world.effects.run(command.token, world.engine.now / S)
        note = "filled" if source is vault else "via_origin"
        return Answer("returned", note_of(note), world.engine.now - began)


def note_of(word: str) -> int:
    return NOTE[word.encode()]


@dataclass(slots=True, frozen=True)
class Purge:
    thing: str
    group: int
    issued: int  # ticks


News = tuple[i.Entry, ...] | Purge


class World:
    def __init__(
        self, engine: Engine, plan: Plan, seed: int, describe: Callable[[Key], tuple[int, int]],
        remembered: float, shops: list[int], hubs: int, memory: int, lanes: int, vault: int,
    ) -> None:  # fmt: skip
        """`shops`: caches of each; `lanes` of a cache, `vault` of the vault; hubs are as the stand-ins'."""
        self.engine, self.plan, self.chance, self.describe = engine, plan, random.Random(seed), describe
        self.effects = Effects(remembered)
        self.locations = (*(f"shop-{n + 1}" for n in range(len(shops))), "hubs")
        self.nodes: dict[str, Node] = {}
        hub, ids = servers.Shape().hub, iter(range(1, 1 << 24))
        made = [(f"cache-{shop + 1}-{n + 1}", "cache", memory, lanes, shop, n)
                for shop, count in enumerate(shops) for n in range(count)]  # fmt: skip
        made += [(f"hub-{n + 1}", "hub", hub.memory, hub.lanes, len(shops), n) for n in range(hubs)]
        made.append(("vault", "vault", 0, vault, len(shops), 0))
        for name, role, held, count, place, cell in made:
            self.nodes[name] = Node(self, next(ids), name, role, held, count, self.locations[place], cell)
        self.vault = self.nodes["vault"]
        self.by_uid = {node.uid: node for node in self.nodes.values()}
        self.events: list[News] = [tuple(node.entry() for node in self.nodes.values())]
        self.followers: list[Callable[[], None]] = []  # called as there is news
        self.drained: dict[str, int] = {}
        self.faults: list[str] = []  # bounded
        self.held: Callable[[str, str], float] = lambda a, b: 0.0
        self.filled: Callable[[Node, Node], None] = lambda asker, source: None
        self.broke: Callable[[str], None] = lambda name: None  # all connections to a node are reset
        for when, fault, begins in sorted([*plan.edges("crash"), *plan.edges("reset")], key=lambda e: e[0]):
            engine.at(int(when * S), self.edge(fault.node, fault.kind, begins))

    def unix_ms(self) -> int:
        return (UNIX + self.engine.now) // MS

    def edge(self, name: str, kind: str, begins: bool) -> Callable[[], None]:
        def happen() -> None:
            node = self.nodes.get(name)
            if node is None or (kind == "reset" and not begins):
                return
            if begins:
                self.broke(name)
            if kind == "crash" and begins:
                node.shelf.clear()
            elif kind == "crash":
                node.since = UNIX + self.engine.now
                self.tell((node.entry(),))

        return happen

    def fault(self, text: str) -> None:
        if len(self.faults) < 100:
            self.faults.append(text)

    def arrived(self, *nodes: Node | None) -> None:
        """Truth about drains, seen where forwards arrive."""
        for node in nodes:
            since = self.drained.get(node.name) if node is not None else None
            if node is not None and since is not None and self.engine.now > since + GRACE * S:
                self.fault(f"{node.name} was named {(self.engine.now - since) / S:.2f} s after its drain")

    def tell(self, news: News) -> None:
        self.events.append(news)
        for follower in self.followers:
            follower()

    def purge(self, thing: str, group: int) -> None:
        now = self.engine.now
        self.tell(Purge(thing, group, now))
        for node in self.nodes.values():
            self.engine.after(int(SETTLE * self.chance.random()), self.drop(node, thing, group, now))

    def drop(self, node: Node, thing: str, group: int, issued: int) -> Callable[[], None]:
        return lambda: void(node.shelf.purge(thing, group, (UNIX + issued) // MS))

    def tell_state(self, name: str, state: int) -> None:
        node = self.nodes[name]
        node.state = state
        if state:
            self.drained.setdefault(name, self.engine.now)
        else:
            self.drained.pop(name, None)
        self.tell((node.entry(),))


def void(what: object) -> None:
    pass
