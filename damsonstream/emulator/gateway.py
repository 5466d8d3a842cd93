"""One gateway in virtual time: the real router, council and hierarchy, and around them what the program does.

How it is called: `Gateway(play, place, name)` with `start()`, `kill()`, `stall()`, `resume()`; `take(...)`
brings a viewer's GET and calls back with its final answer. What comes from outside goes through `run`, so
that a gateway that stands still gets it later, in order, and a dead one never. Nothing is decided here.

Left out, against the program: its processor time, limits of descriptors and buffers, and the bytes on each
connection; connections are told by when they would be opened and closed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Protocol

from damsonstream.emulator.engine import MS, S, Task
from damsonstream.emulator.nodes import UNIX, Answer, Command, Node, Purge
from damsonstream.peers.council import TURN, Council, source_id
from damsonstream.peers.pieces import ZONES
from damsonstream.routing import interface as i
from damsonstream.settings import kdl
from damsonstream.tiers import load
from damsonstream.tiers.service import Service
from damsonstream.together.checks import Forwarded

if TYPE_CHECKING:
    from damsonstream.emulator.play import Play

LINK = 3  # ticks one way on loopback and through a relay
TICK = 1_000  # between looks at the zones, as program/tiering.py has it
PASSING, IDLE = S, 15 * S  # for which an unused connection is kept: transport/caches.py, a play's settings
UP = S // 2  # a process needs so long to be ready, as those of `together` do on an idle machine


class Decides(Protocol):
    """The router, or a baseline in its place."""

    def handle(self, now: int, event: i.Event) -> list[i.Action]: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """A forward that is out."""

    number: int
    node: Node
    sent: int
    task: Task | None = None


@dataclass(slots=True, eq=False)
class Life:
    """One GET, from being taken to its final answer and the end of its last forward."""

    number: int
    service: str
    thing: str
    token: str
    end: int
    answer: Callable[[str, int], None]  # outcome, ticks after which to come back
    attempts: int = 0
    over: bool = False
    out: dict[int, Attempt] = field(default_factory=dict)


class Gateway:
    def __init__(self, play: Play, place: int, name: str) -> None:
        self.play, self.engine, self.place, self.name = play, play.engine, place, name
        self.alive, self.up, self.epoch, self.stalled = False, False, 0, False
        self.waiting: list[Callable[[], None]] = []  # while it stands still
        self.used: dict[str, tuple[int, int]] = {}  # connections: since when, last used; by node
        self.serves = [one.name for one in play.footprint(place).services]

    def now(self) -> int:
        return UNIX + self.engine.now

    # its process

    def start(self) -> None:
        play = self.play
        self.epoch += 1
        self.alive, self.up, self.stalled, self.waiting = True, False, False, []
        self.lives: dict[int, Life] = {}  # emptied as they end
        self.events: deque[i.Event] = deque()  # emptied at once
        self.busy, self.numbers, self.told = False, 0, len(play.world.events)
        self.wakes: list[int] = []  # emptied by time
        self.armed = 0
        told = play.footprint(self.place)
        here = play.world.locations.index(told.location)
        boot = (1000 * S + self.engine.now) // (S // 10)
        self.council = Council(
            self.name, self.place, told.gateways, here, told.location_gateways, boot, play.price,
            play.seed * 1009 + self.place, self.now(), play.pieces,
        )  # fmt: skip
        self.service: Service | None = None
        if play.hierarchy:
            self.service = Service(self.council, self.place, self.now(), ZONES in play.pieces)
            self.revise()
        self.router: Decides = play.decides(self.place)
        self.tell(i.Started(play.seed * 31 + self.place, told, self.council, self.service))
        entries: dict[str, i.Entry] = {}
        for news in play.world.events:
            if not isinstance(news, Purge):
                entries |= {entry.cache: entry for entry in news}
        self.list_told("full", tuple(entries.values()))
        for what, every in ((self.turn, TURN), (self.look, TICK)):
            self.every(self.play.chance.randrange(every), every, what)
        self.after(UP if self.epoch > 1 else 0, self.ready)

    def ready(self) -> None:
        self.up = True

    def kill(self) -> None:
        """Gone at once: what it held is no longer its duty, and its connections are reset."""
        self.alive = self.up = False
        for life in self.lives.values():
            for attempt in life.out.values():
                self.stop(attempt)
            if not life.over:
                life.answer("lost", 0)
        self.lives = {}
        for name in list(self.used):
            self.closed(name, self.engine.now)

    def stall(self) -> None:
        self.stalled = True

    def resume(self) -> None:
        self.stalled, waiting, self.waiting = False, self.waiting, []
        for what in waiting:
            what()

    def run(self, what: Callable[[], None]) -> None:
        if self.alive and self.stalled:
            self.waiting.append(what)
        elif self.alive:
            what()

    def after(self, wait: int, what: Callable[[], None]) -> None:
        """Later, if it is still the same process then."""
        epoch = self.epoch
        self.engine.after(wait, lambda: self.run(what) if self.epoch == epoch else None)

    def every(self, first: int, wait: int, what: Callable[[], None]) -> None:
        def again() -> None:
            what()
            self.after(wait, again)

        self.after(first, again)

    # peers, hierarchy, list

    def turn(self) -> None:
        out, told = self.council.due(self.now())
        for place, data in out:
            self.play.datagram(self, place, data)
        self.pass_on(told)

    def heard(self, place: int, data: bytes) -> None:
        self.pass_on(self.council.heard(self.now(), place, data))

    def pass_on(self, told: list[i.PeersTold]) -> None:
        for one in told:
            self.tell(one)

    def look(self) -> None:
        if self.service is not None:
            self.service.tick(self.now())

    def revise(self) -> None:
        """The hierarchy's file as it stands now."""
        if self.service is not None:
            shape = load.parse(kdl.parse(self.play.hierarchy, "tiers.kdl"))
            if shape.revision != self.service.revisions.latest:
                self.service.apply(self.now(), shape)

    def catch_up(self) -> None:
        """News of the list, as far as its way is clear."""
        events = self.play.world.events
        if self.told >= len(events):
            return
        if (wait := self.play.wait(self.name, "bulletin")) > 0:
            return self.after(wait, self.catch_up)
        news = events[self.told]
        self.told += 1
        if isinstance(news, Purge):
            self.tell(i.Purged(news.thing, news.group, self.engine.now - news.issued))
        else:
            self.list_told("changes", news)
        self.catch_up()

    def list_told(self, kind: str, entries: tuple[i.Entry, ...]) -> None:
        self.tell(i.ListTold(kind, entries))
        for entry in entries:
            if self.service is not None:
                self.service.told(entry.cache, entry.state)

    # the router

    def tell(self, event: i.Event) -> None:
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        while self.events:
            for action in self.router.handle(self.now(), self.events.popleft()):
                self.act(action)
        self.busy = False

    def act(self, action: i.Action) -> None:
        match action:
            case i.Wake():
                heappush(self.wakes, self.engine.now + action.after)
                self.arm()
            case i.Forward() | i.Recall() | i.Shed() | i.Errored():
                life = self.lives.get(action.get)
                if life is not None:
                    self.do(life, action)

    def arm(self) -> None:
        if self.wakes and not (self.engine.now <= self.armed <= self.wakes[0]):
            self.armed = self.wakes[0]
            self.after(max(0, self.armed - self.engine.now), self.wake)

    def wake(self) -> None:
        due = False
        while self.wakes and self.wakes[0] <= self.engine.now:
            heappop(self.wakes)
            due = True
        self.armed = -1
        if due:
            self.tell(i.Woken())
        self.arm()

    # one GET

    def take(
        self, service: str, thing: str, group: int, token: str, left: int, repeated: bool,
        answer: Callable[[str, int], None],
    ) -> Callable[[], None]:  # fmt: skip
        """What to call where the viewer has left."""
        self.numbers += 1
        life = Life(self.numbers, service, thing, token, self.engine.now + left, answer)
        self.lives[life.number] = life
        place = self.serves.index(service)
        self.tell(i.GetTaken(life.number, left, place, thing, group, 0.0, repeated))

        def left_it() -> None:
            if not life.over:
                life.over = True
                self.tell(i.ClientLeft(life.number))
                self.part(life)

        epoch = self.epoch
        return lambda: self.run(left_it) if self.epoch == epoch else None

    def do(self, life: Life, action: i.Action) -> None:
        match action:
            case i.Forward():
                number = life.attempts
                life.attempts += 1
                attempt = Attempt(number, self.play.world.by_uid[action.cache], self.engine.now)
                life.out[number] = attempt
                if life.over:
                    self.ended(life, attempt, "unsent")
                else:
                    self.send(life, attempt, action)
            case i.Recall():
                if (out := life.out.get(action.attempt)) is not None:
                    self.stop(out)
                    self.ended(life, out, "recalled")
            case i.Shed():
                self.finish(life, "shed", action.come_back)
            case i.Errored():
                self.finish(life, "errored", 0)

    def finish(self, life: Life, outcome: str, come_back: int) -> None:
        if not life.over:
            life.over = True
            self.engine.after(LINK, lambda: life.answer(outcome, come_back))
            self.part(life)

    def part(self, life: Life) -> None:
        if life.over and not life.out:
            self.lives.pop(life.number, None)

    def stop(self, attempt: Attempt) -> None:
        if attempt.task is not None:
            attempt.task.cancel()

    def ended(
        self, life: Life, attempt: Attempt, result: str, answer: Answer | None = None, shared: bool = False
    ) -> None:
        if life.out.get(attempt.number) is not attempt:
            return  # given up meanwhile
        if result == "returned":
            self.finish(life, "returned", 0)
        del life.out[attempt.number]
        note, waited = (answer.note, answer.waited) if answer else (0, 0)
        load = {"held": float(attempt.node.under_way)} if answer else {}
        took = self.engine.now - attempt.sent
        self.tell(i.ForwardEnded(life.number, attempt.number, attempt.node.uid, result, took,
                                 waited // MS * MS, note, life.over, shared, load))  # fmt: skip
        self.part(life)

    # its connections

    def send(self, life: Life, attempt: Attempt, forward: i.Forward) -> None:
        play, node = self.play, attempt.node
        way = play.links.between(self.name, node.name, self.engine.now / S)
        if way.broken:
            return self.after(LINK, lambda: self.ended(life, attempt, "unreached"))
        self.use(node.name)
        key = (life.service, life.thing, "0")
        source = forward.source if forward.source != forward.cache else ""
        command = Command(key, source, forward.age // MS, forward.join, forward.copies, life.token,
                          max(MS, life.end - self.engine.now))  # fmt: skip

        def arrive() -> None:
            if life.out.get(attempt.number) is not attempt:
                return
            if node.condition().down:  # the relay took the connection, and finds nobody there
                return self.after(LINK, lambda: self.ended(life, attempt, "broken"))
            named = play.world.by_uid.get(source)
            play.seen.forwards.append(
                Forwarded(self.engine.now / S, self.name, node.name, named.name if named else "")
            )
            play.world.arrived(node, named)
            attempt.task = node.forward(command, answered)

        def answered(answer: Answer) -> None:
            back = LINK + self.play.wait(node.name, self.name)
            self.after(back, lambda: self.came(life, attempt, answer))

        wait = LINK + play.wait(self.name, node.name)
        self.engine.after(wait, arrive)

    def came(self, life: Life, attempt: Attempt, answer: Answer) -> None:
        if attempt.node.name in self.used:
            self.used[attempt.node.name] = (self.used[attempt.node.name][0], self.engine.now)
        self.ended(life, attempt, answer.result, answer)

    def broke(self, node: str) -> None:
        """Its connection there was reset: one symptom for all that were on it."""
        self.closed(node, self.engine.now)
        shared = False
        for life in list(self.lives.values()):
            for attempt in list(life.out.values()):
                if attempt.node.name == node:
                    self.stop(attempt)
                    self.ended(life, attempt, "broken", shared=shared)
                    shared = True

    def use(self, node: str) -> None:
        """Opens a connection where none is up; one that lay unused was closed meanwhile."""
        now = self.engine.now
        self.lapse(node, now)
        if node not in self.used:
            self.play.seen.opened.append((now / S, self.name, node))
            self.used[node] = (now, now)
        self.used[node] = (self.used[node][0], now)

    def lapse(self, node: str, now: int) -> None:
        if node in self.used:
            kept = IDLE if self.council.keeps(source_id(self.play.world.nodes[node].uid)) else PASSING
            if now > self.used[node][1] + kept:
                self.closed(node, self.used[node][1] + kept)

    def closed(self, node: str, when: int) -> None:
        if self.used.pop(node, None) is not None:
            self.play.seen.closed.append((when / S, self.name, node))
