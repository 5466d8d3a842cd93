"""Caches, parents, the origin and the list of caches in virtual time, like the stand-ins on sockets. No I/O.

Usage: `World(engine, ...)` holds all nodes; `node.forward(command, on_answer)` sends a GET to one and calls
`on_answer(answer)` as it ends, unless its task is cancelled; `world.publish(update)` notifies the subscribers
of the list. Faults come from the same `Plan` as those of the stand-ins, and times from their constants
(standins/servers.py), so that a script means the same in both. All randomness comes from the seed.

The names "hub" and "vault" stand for a parent and the origin.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from damsonstream.emulator.engine import MS, Engine, Process, S, Semaphore, Signal, Task
from damsonstream.protocol.resp import NOTE_CODES
from damsonstream.routing import interface as i
from damsonstream.standins import servers
from damsonstream.standins.cache_store import CacheStore, Copy, EffectLog, Key
from damsonstream.standins.faults import Condition, FaultPlan

START_UNIX = 1_764_576_000 * S  # Unix time that all gateways' clocks show at the start of a run
FOREVER = 3600 * S
HIT_TIME, FILL_TIMEOUT, PURGE_TIME = (
    int(servers.HIT_TIME * S),
    int(servers.FILL_TIMEOUT * S),
    int(servers.PURGE_DELAY * S),
)
MODELS = servers.StandIns.models
MODEL_BY_ROLE = {"cache": "box", "hub": "hub", "vault": "vault"}
STATES = ("active", "leaving", "left")
DRAIN_GRACE = 1.0  # seconds after the notice of a drain, as in the settings of a script's run


@dataclass(slots=True, frozen=True)
class Command:
    """A forward as a cache receives it."""

    key: Key
    source: str  # uid; empty: no fill
    max_age_ms: int  # of a copy that is acceptable; 0: any age
    join: bool
    cached_only: bool  # the source answers only from its own copies
    token: str
    timeout: int


@dataclass(slots=True, frozen=True)
class Answer:
    result: str  # returned, lacking, shed or errored
    note: int = 0
    fill_time: int = 0


class FillFailed(Exception):
    """A source did not provide a copy; the text is the note in the cache's answer."""


class Node:
    def __init__(
        self, world: World, id: int, name: str, role: str, memory: int, slots: int, location: str, cell: int
    ) -> None:
        self.world, self.name, self.role, self.slots = world, name, role, slots
        self.uid, self.location, self.cell = f"s-{id:08x}", location, cell
        self.store = CacheStore(memory)
        self.semaphore = Semaphore(world.engine, slots)
        self.in_progress = 0
        self.fills: dict[Key, Signal] = {}  # removed as they end
        self.state, self.started_at = 0, 0

    def entry(self) -> i.ListEntry:
        return i.ListEntry(self.uid, self.location, STATES[self.state], float(self.slots), self.cell,
                       MODEL_BY_ROLE[self.role], self.started_at)  # fmt: skip

    def condition(self) -> Condition:
        return self.world.plan.condition(self.name, self.world.engine.now / S)

    def forward(self, command: Command, on_answer: Callable[[Answer], None]) -> Task:
        """Handles a GET; a node that is down at the end sends no answer."""

        def handle_and_answer() -> Process[None]:
            answer = yield from self.handle(command)
            if not self.condition().down:
                on_answer(answer)

        task = self.world.engine.spawn(handle_and_answer())
        if not task.finished:
            self.world.engine.after(command.timeout, task.cancel)
        return task

    def sheds(self, condition: Condition, has_room: bool) -> bool:
        return not has_room or self.world.rng.random() < condition.shed

    def handle(self, command: Command) -> Process[Answer]:
        condition, rng = self.condition(), self.world.rng
        if condition.hang and rng.random() < condition.hang:
            yield FOREVER
        if self.sheds(condition, self.in_progress < self.slots * (1 + servers.QUEUE_FACTOR)):
            return Answer("shed")
        self.in_progress += 1
        try:
            yield from self.semaphore.acquire()
            try:
                yield HIT_TIME + int(condition.delay * S)
                if rng.random() < condition.fail:
                    return Answer("errored")
                return (yield from (self.run_effect(command) if command.token else self.serve_copy(command)))
            finally:
                self.semaphore.release()
        finally:
            self.in_progress -= 1

    def serve_copy(self, command: Command) -> Process[Answer]:
        world, engine = self.world, self.world.engine
        copy, note, fill_time = self.store.lookup(command.key, world.unix_ms(), command.max_age_ms), "hit", 0
        if copy is None:
            source = world.by_uid.get(command.source)
            if source is None:
                return Answer("lacking")
            began = engine.now
            try:
                copy, note = yield from self.fill(command, source)
            except FillFailed as failure:
                result = {"src_lacks": "lacking", "src_refused": "shed"}.get(str(failure), "errored")
                return Answer(result, note_code(str(failure)), engine.now - began)
            fill_time = engine.now - began
        yield int(copy.size / servers.BYTES_PER_SECOND * S)
        return Answer("returned", note_code(note), fill_time)

    def fill(self, command: Command, source: Node) -> Process[tuple[Copy, str]]:
        key, running, joined = command.key, self.fills.get(command.key), True
        if running is None or not command.join:
            running, joined = (
                self.start_fill(key, source.provide(self, command, command.cached_only)), False,
            )  # fmt: skip
        result = yield running
        if isinstance(result, str):
            raise FillFailed(result)
        copy, note = result
        return copy, "joined" if joined else note

    def start_fill(self, key: Key, provide: Process[tuple[Copy, str]]) -> Signal:
        """Starts a fill that continues even when all GETs that wait for it have left.

        The signal's value is the copy and its note, or the note of a failure.
        """
        engine, ended = self.world.engine, Signal(self.world.engine)
        self.fills.setdefault(key, ended)

        def end(result: object) -> None:
            if self.fills.get(key) is ended:
                del self.fills[key]
            ended.set(result)

        def run() -> Process[None]:
            try:
                copy, note = yield from provide
            except FillFailed as failure:
                return end(str(failure))
            self.store.store(key, copy)
            end((copy, note))

        task = engine.spawn(run())

        def on_timeout() -> None:
            if not task.finished:
                task.cancel()
                end("src_broke")

        if not task.finished:
            engine.after(FILL_TIMEOUT, on_timeout)
        return ended

    def provide(self, asker: Node, command: Command, cached_only: bool) -> Process[tuple[Copy, str]]:
        """The source's side of a fill: returns a copy and the note of where it came from."""
        world, rng = self.world, self.world.rng
        if (wait := max(world.link_hold(asker.name, self.name), world.link_hold(self.name, asker.name))) > 0:
            yield int(wait * S) + 1
        condition = self.condition()
        world.on_fill(asker, self)
        if condition.down:
            raise FillFailed("src_broke")
        if condition.hang and rng.random() < condition.hang:
            yield FOREVER
        if self.sheds(condition, self.in_progress <= self.slots * (1 + servers.QUEUE_FACTOR)):
            raise FillFailed("src_refused")
        self.in_progress += 1
        try:
            yield from self.semaphore.acquire()
            try:
                duration = servers.FIRST_BYTE[self.role] * (0.8 + 0.4 * rng.random()) + condition.delay
                yield int(duration * S)
                if self.condition().down or rng.random() < condition.fail:
                    raise FillFailed("src_broke")
                group, size = world.describe(command.key)
                if self.role == "vault":
                    return Copy(world.unix_ms(), size, group), "filled"
                copy = self.store.lookup(command.key, world.unix_ms(), command.max_age_ms)
                if copy is not None:
                    return copy, "filled"
                if cached_only:
                    raise FillFailed("src_lacks")
                return (yield from self.fetch_from_origin(command)), "via_origin"
            finally:
                self.semaphore.release()
        finally:
            self.in_progress -= 1

    def fetch_from_origin(self, command: Command) -> Process[Copy]:
        """Fills a parent's own miss from the origin; concurrent misses share one fill."""
        running = self.fills.get(command.key)
        if running is None:
            running = self.start_fill(command.key, self.world.origin.provide(self, command, False))
        result = yield running
        if isinstance(result, str):
            raise FillFailed("origin_failed")
        copy: Copy = result[0]
        return copy

    def run_effect(self, command: Command) -> Process[Answer]:
        """Runs a GET with an effect at the origin, once for each token."""
        world, origin = self.world, self.world.origin
        condition, source = origin.condition(), world.by_uid.get(command.source, origin)
        source_condition = source.condition()
        if source_condition.down or (source is not origin and world.rng.random() < source_condition.fail):
            return Answer("errored", note_code("src_broke"))
        if condition.down:
            return Answer("errored", note_code("origin_failed"))
        began = world.engine.now
        yield int((servers.FIRST_BYTE["vault"] + condition.delay) * S)
        world.effects.run(command.token, world.engine.now / S)
        note = "filled" if source is origin else "via_origin"
        return Answer("returned", note_code(note), world.engine.now - began)


def note_code(note: str) -> int:
    return NOTE_CODES[note.encode()]


@dataclass(slots=True, frozen=True)
class Purge:
    object_id: str
    group: int
    issued: int  # ticks


Update = tuple[i.ListEntry, ...] | Purge  # changed entries of the list, or a purge


class World:
    def __init__(
        self, engine: Engine, plan: FaultPlan, seed: int, describe: Callable[[Key], tuple[int, int]],
        remembered: float, caches_by_location: list[int], parents: int, cache_memory: int, cache_slots: int,
        origin_slots: int,
    ) -> None:  # fmt: skip
        """Sets up the nodes; the memory and slots of parents are those of the stand-ins.

        `describe`: returns the group and the bytes of an object; `remembered`: seconds for which a token is
        known; `*_slots`: GETs that a cache, or the origin, serves at once.
        """
        self.engine, self.plan, self.rng, self.describe = engine, plan, random.Random(seed), describe
        self.effects = EffectLog(remembered)
        self.locations = (*(f"shop-{n + 1}" for n in range(len(caches_by_location))), "hubs")
        self.nodes: dict[str, Node] = {}
        parent, ids = servers.Shape().hub, iter(range(1, 1 << 24))
        specs = [(f"cache-{location + 1}-{n + 1}", "cache", cache_memory, cache_slots, location, n)
                 for location, count in enumerate(caches_by_location) for n in range(count)]  # fmt: skip
        specs += [(f"hub-{n + 1}", "hub", parent.cache_bytes, parent.slots, len(caches_by_location), n)
                  for n in range(parents)]  # fmt: skip
        specs.append(("vault", "vault", 0, origin_slots, len(caches_by_location), 0))
        for name, role, memory, slots, index, cell in specs:
            self.nodes[name] = Node(self, next(ids), name, role, memory, slots, self.locations[index], cell)
        self.origin = self.nodes["vault"]
        self.by_uid = {node.uid: node for node in self.nodes.values()}
        self.updates: list[Update] = [tuple(node.entry() for node in self.nodes.values())]
        self.subscribers: list[Callable[[], None]] = []  # called at each update
        self.drained_at: dict[str, int] = {}
        self.violations: list[str] = []  # bounded
        self.link_hold: Callable[[str, str], float] = lambda a, b: 0.0  # seconds
        self.on_fill: Callable[[Node, Node], None] = lambda asker, source: None
        self.on_reset: Callable[[str], None] = lambda name: None  # all connections to a node are reset
        for time, fault, begins in sorted([*plan.edges("crash"), *plan.edges("reset")], key=lambda e: e[0]):
            engine.at(int(time * S), self.fault_change(fault.node, fault.kind, begins))

    def unix_ms(self) -> int:
        return (START_UNIX + self.engine.now) // MS

    def fault_change(self, name: str, kind: str, begins: bool) -> Callable[[], None]:
        """Returns the callback for the begin or end of a crash or reset."""

        def change() -> None:
            node = self.nodes.get(name)
            if node is None or (kind == "reset" and not begins):
                return
            if begins:
                self.on_reset(name)
            if kind == "crash" and begins:
                node.store.clear()
            elif kind == "crash":
                node.started_at = START_UNIX + self.engine.now
                self.publish((node.entry(),))

        return change

    def report_violation(self, text: str) -> None:
        if len(self.violations) < 100:
            self.violations.append(text)

    def check_drains(self, *nodes: Node | None) -> None:
        """Reports nodes that a forward names although their drain began more than DRAIN_GRACE ago."""
        for node in nodes:
            since = self.drained_at.get(node.name) if node is not None else None
            if node is not None and since is not None and self.engine.now > since + DRAIN_GRACE * S:
                self.report_violation(
                    f"{node.name} was named {(self.engine.now - since) / S:.2f} s after its drain"
                )

    def publish(self, update: Update) -> None:
        self.updates.append(update)
        for notify in self.subscribers:
            notify()

    def purge(self, object_id: str, group: int) -> None:
        now = self.engine.now
        self.publish(Purge(object_id, group, now))
        for node in self.nodes.values():
            self.engine.after(
                int(PURGE_TIME * self.rng.random()), self.purge_node(node, object_id, group, now)
            )

    def purge_node(self, node: Node, object_id: str, group: int, issued: int) -> Callable[[], None]:
        return lambda: discard(node.store.purge(object_id, group, (START_UNIX + issued) // MS))

    def set_state(self, name: str, state: int) -> None:
        node = self.nodes[name]
        node.state = state
        if state:
            self.drained_at.setdefault(name, self.engine.now)
        else:
            self.drained_at.pop(name, None)
        self.publish((node.entry(),))


def discard(result: object) -> None:
    """Turns an expression with a result into a callback without one."""
