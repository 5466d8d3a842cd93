"""One gateway in virtual time: the real router, peer exchange and hierarchy in an emulated process.

Usage: `Gateway(emulation, index, name)` with `start()`, `kill()`, `stall()` and `resume()`; `accept_get(...)`
takes a viewer's GET and calls back with its final answer. Everything that arrives from outside goes through
`dispatch`: a stalled gateway gets it later, in order, and a dead one never. No routing decision is made here.

Not emulated, unlike in the real program: CPU time, limits of file descriptors and buffers, and the bytes on
each connection. Of connections only the times of opening and closing are known.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Protocol

from damsonstream.emulator.engine import MS, S, Task
from damsonstream.emulator.nodes import START_UNIX, Answer, Command, Node, Purge
from damsonstream.peers.agent import GOSSIP_INTERVAL, PeerAgent, source_id
from damsonstream.peers.features import ZONES
from damsonstream.routing import interface as i
from damsonstream.settings import kdl
from damsonstream.tiers import load
from damsonstream.tiers.selector import SourceSelector
from damsonstream.together.checks import Forwarded

if TYPE_CHECKING:
    from damsonstream.emulator.script_run import Emulation

ONE_WAY_DELAY = 3  # ticks on loopback and through a relay
UPDATE_INTERVAL = 1_000  # ticks between updates of the hierarchy, as in program/tiering.py
# Ticks for which an unused connection stays open: to caches that other gateways look after, as in
# transport/caches.py, and to the gateway's own caches, as in the settings of a script's run.
SHORT_IDLE, IDLE = S, 15 * S
STARTUP_TIME = S // 2  # ticks until a process is ready, like those that `together` starts on an idle machine


class EventHandler(Protocol):
    """The router, or a baseline policy in its place."""

    def handle(self, now: int, event: i.Event) -> list[i.Action]: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """A forward in flight."""

    index: int
    node: Node
    sent_at: int
    task: Task | None = None


@dataclass(slots=True, eq=False)
class ActiveGet:
    """A GET, from its arrival to both its final answer and the end of its last forward."""

    id: int
    service: str
    object_id: str
    token: str
    deadline: int
    on_answer: Callable[[str, int], None]  # outcome, ticks after which to retry
    attempts: int = 0
    answered: bool = False  # or the viewer has left
    in_flight: dict[int, Attempt] = field(default_factory=dict)


class Gateway:
    def __init__(self, emulation: Emulation, index: int, name: str) -> None:
        self.emulation, self.engine, self.index, self.name = emulation, emulation.engine, index, name
        self.alive, self.is_ready, self.incarnation, self.stalled = False, False, 0, False
        self.deferred: list[Callable[[], None]] = []  # arrived while the process was stalled
        self.connections: dict[str, tuple[int, int]] = {}  # by node: when opened, when last used
        self.service_names = [one.name for one in emulation.footprint(index).services]

    def now(self) -> int:
        return START_UNIX + self.engine.now

    # process

    def start(self) -> None:
        emulation = self.emulation
        self.incarnation += 1
        self.alive, self.is_ready, self.stalled, self.deferred = True, False, False, []
        self.gets: dict[int, ActiveGet] = {}  # removed as they end
        self.events: deque[i.Event] = deque()  # not handled yet
        self.handling, self.last_get_id, self.updates_read = False, 0, len(emulation.world.updates)
        self.wakeups: list[int] = []  # heap of the times at which the router wants to be woken
        self.timer_at = 0
        footprint = emulation.footprint(self.index)
        location = emulation.world.locations.index(footprint.location)
        incarnation = (1000 * S + self.engine.now) // (S // 10)
        self.coordinator = PeerAgent(
            self.name, self.index, footprint.gateways, location, footprint.location_gateways, incarnation,
            emulation.message_price, emulation.seed * 1009 + self.index, self.now(), emulation.features,
        )  # fmt: skip
        self.hierarchy: SourceSelector | None = None
        if emulation.hierarchy:
            self.hierarchy = SourceSelector(
                self.coordinator, self.index, self.now(), ZONES in emulation.features
            )
            self.reload_hierarchy()
        self.router: EventHandler = emulation.make_router(self.index)
        self.handle_event(
            i.Started(emulation.seed * 31 + self.index, footprint, self.coordinator, self.hierarchy)
        )
        entries: dict[str, i.ListEntry] = {}
        for update in emulation.world.updates:
            if not isinstance(update, Purge):
                entries |= {entry.cache: entry for entry in update}
        self.apply_list("full", tuple(entries.values()))
        for func, interval in (
            (self.exchange_with_peers, GOSSIP_INTERVAL),
            (self.update_hierarchy, UPDATE_INTERVAL),
        ):
            self.repeat(self.emulation.rng.randrange(interval), interval, func)
        self.schedule(STARTUP_TIME if self.incarnation > 1 else 0, self.become_ready)

    def become_ready(self) -> None:
        self.is_ready = True

    def kill(self) -> None:
        """Ends the process at once: viewers lose their open GETs, and its connections are reset."""
        self.alive = self.is_ready = False
        for get in self.gets.values():
            for attempt in get.in_flight.values():
                self.cancel(attempt)
            if not get.answered:
                get.on_answer("lost", 0)
        self.gets = {}
        for name in list(self.connections):
            self.close_connection(name, self.engine.now)

    def stall(self) -> None:
        self.stalled = True

    def resume(self) -> None:
        self.stalled, deferred, self.deferred = False, self.deferred, []
        for callback in deferred:
            callback()

    def dispatch(self, callback: Callable[[], None]) -> None:
        """Runs the callback now, after the stall of a stalled process, or never in a dead one."""
        if self.alive and self.stalled:
            self.deferred.append(callback)
        elif self.alive:
            callback()

    def schedule(self, delay: int, callback: Callable[[], None]) -> None:
        """Dispatches the callback after a delay, unless the process was restarted in between."""
        incarnation = self.incarnation
        self.engine.after(delay, lambda: self.dispatch(callback) if self.incarnation == incarnation else None)

    def repeat(self, first_delay: int, interval: int, callback: Callable[[], None]) -> None:
        def run_and_reschedule() -> None:
            callback()
            self.schedule(interval, run_and_reschedule)

        self.schedule(first_delay, run_and_reschedule)

    # peer exchange, hierarchy, list of caches

    def exchange_with_peers(self) -> None:
        datagrams, events = self.coordinator.poll(self.now())
        for index, data in datagrams:
            self.emulation.send_datagram(self, index, data)
        self.handle_peer_events(events)

    def receive_datagram(self, sender: int, data: bytes) -> None:
        self.handle_peer_events(self.coordinator.receive(self.now(), sender, data))

    def handle_peer_events(self, events: list[i.PeerVerdict]) -> None:
        for event in events:
            self.handle_event(event)

    def update_hierarchy(self) -> None:
        if self.hierarchy is not None:
            self.hierarchy.tick(self.now())

    def reload_hierarchy(self) -> None:
        """Applies the hierarchy's file where its revision is new."""
        if self.hierarchy is not None:
            shape = load.parse(kdl.parse(self.emulation.hierarchy, "tiers.kdl"))
            if shape.revision != self.hierarchy.revisions.latest:
                self.hierarchy.apply(self.now(), shape)

    def read_updates(self) -> None:
        """Reads the discovery watch up to its latest update, after the extra delay of its connection."""
        updates = self.emulation.world.updates
        if self.updates_read >= len(updates):
            return
        if (delay := self.emulation.extra_delay(self.name, "bulletin")) > 0:
            return self.schedule(delay, self.read_updates)
        update = updates[self.updates_read]
        self.updates_read += 1
        if isinstance(update, Purge):
            self.handle_event(i.Purged(update.object_id, update.group, self.engine.now - update.issued))
        else:
            self.apply_list("changes", update)
        self.read_updates()

    def apply_list(self, kind: str, entries: tuple[i.ListEntry, ...]) -> None:
        self.handle_event(i.ListUpdate(kind, entries))
        for entry in entries:
            if self.hierarchy is not None:
                self.hierarchy.set_node_state(entry.cache, entry.state)

    # router

    def handle_event(self, event: i.Event) -> None:
        """Passes an event to the router and performs its actions; events raised by these follow in order."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        while self.events:
            for action in self.router.handle(self.now(), self.events.popleft()):
                self.perform(action)
        self.handling = False

    def perform(self, action: i.Action) -> None:
        match action:
            case i.Wake():
                heappush(self.wakeups, self.engine.now + action.after)
                self.set_timer()
            case i.Forward() | i.Recall() | i.Shed() | i.Errored():
                get = self.gets.get(action.get)
                if get is not None:
                    self.perform_for_get(get, action)

    def set_timer(self) -> None:
        if self.wakeups and not (self.engine.now <= self.timer_at <= self.wakeups[0]):
            self.timer_at = self.wakeups[0]
            self.schedule(max(0, self.timer_at - self.engine.now), self.on_timer)

    def on_timer(self) -> None:
        due = False
        while self.wakeups and self.wakeups[0] <= self.engine.now:
            heappop(self.wakeups)
            due = True
        self.timer_at = -1
        if due:
            self.handle_event(i.Woken())
        self.set_timer()

    # GETs

    def accept_get(
        self, service: str, object_id: str, group: int, token: str, time_left: int, repeated: bool,
        on_answer: Callable[[str, int], None],
    ) -> Callable[[], None]:  # fmt: skip
        """Returns the callback for a viewer that leaves."""
        self.last_get_id += 1
        get = ActiveGet(self.last_get_id, service, object_id, token, self.engine.now + time_left, on_answer)
        self.gets[get.id] = get
        service_index = self.service_names.index(service)
        self.handle_event(i.GetReceived(get.id, time_left, service_index, object_id, group, 0.0, repeated))

        def client_left() -> None:
            if not get.answered:
                get.answered = True
                self.handle_event(i.ClientLeft(get.id))
                self.remove_if_ended(get)

        incarnation = self.incarnation
        return lambda: self.dispatch(client_left) if self.incarnation == incarnation else None

    def perform_for_get(self, get: ActiveGet, action: i.Action) -> None:
        match action:
            case i.Forward():
                index = get.attempts
                get.attempts += 1
                attempt = Attempt(index, self.emulation.world.by_uid[action.cache], self.engine.now)
                get.in_flight[index] = attempt
                if get.answered:
                    self.end_attempt(get, attempt, "unsent")
                else:
                    self.send(get, attempt, action)
            case i.Recall():
                if (recalled := get.in_flight.get(action.attempt)) is not None:
                    self.cancel(recalled)
                    self.end_attempt(get, recalled, "recalled")
            case i.Shed():
                self.answer(get, "shed", action.retry_after)
            case i.Errored():
                self.answer(get, "errored", 0)

    def answer(self, get: ActiveGet, outcome: str, retry_after: int) -> None:
        if not get.answered:
            get.answered = True
            self.engine.after(ONE_WAY_DELAY, lambda: get.on_answer(outcome, retry_after))
            self.remove_if_ended(get)

    def remove_if_ended(self, get: ActiveGet) -> None:
        if get.answered and not get.in_flight:
            self.gets.pop(get.id, None)

    def cancel(self, attempt: Attempt) -> None:
        if attempt.task is not None:
            attempt.task.cancel()

    def end_attempt(
        self, get: ActiveGet, attempt: Attempt, result: str, answer: Answer | None = None,
        shared: bool = False,
    ) -> None:  # fmt: skip
        """Reports the end of a forward to the router.

        `shared`: the forward broke on a connection whose end another forward has reported already.
        """
        if get.in_flight.get(attempt.index) is not attempt:
            return  # ended before, for instance recalled
        if result == "returned":
            self.answer(get, "returned", 0)
        del get.in_flight[attempt.index]
        note, fill_time = (answer.note, answer.fill_time) if answer else (0, 0)
        load = {"held": float(attempt.node.in_progress)} if answer else {}
        self.handle_event(
            i.ForwardEnded(get.id, attempt.index, attempt.node.uid, result, self.engine.now - attempt.sent_at,
                           fill_time // MS * MS, note, get.answered, shared, load))  # fmt: skip
        self.remove_if_ended(get)

    # connections

    def send(self, get: ActiveGet, attempt: Attempt, forward: i.Forward) -> None:
        emulation, node = self.emulation, attempt.node
        link = emulation.links.condition(self.name, node.name, self.engine.now / S)
        if link.reset:
            return self.schedule(ONE_WAY_DELAY, lambda: self.end_attempt(get, attempt, "unreached"))
        self.use_connection(node.name)
        key = (get.service, get.object_id, "0")
        source = forward.source if forward.source != forward.cache else ""
        command = Command(key, source, forward.max_age // MS, forward.collapse, forward.only_if_cached,
                          get.token, max(MS, get.deadline - self.engine.now))  # fmt: skip

        def arrive() -> None:
            if get.in_flight.get(attempt.index) is not attempt:
                return
            if node.condition().down:  # the relay accepted the connection, but nothing listens behind it
                return self.schedule(ONE_WAY_DELAY, lambda: self.end_attempt(get, attempt, "broken"))
            source_node = emulation.world.by_uid.get(source)
            emulation.record.forwards.append(
                Forwarded(self.engine.now / S, self.name, node.name, source_node.name if source_node else "")
            )
            emulation.world.check_drains(node, source_node)
            attempt.task = node.forward(command, answered)

        def answered(answer: Answer) -> None:
            delay = ONE_WAY_DELAY + self.emulation.extra_delay(node.name, self.name)
            self.schedule(delay, lambda: self.receive_answer(get, attempt, answer))

        delay = ONE_WAY_DELAY + emulation.extra_delay(self.name, node.name)
        self.engine.after(delay, arrive)

    def receive_answer(self, get: ActiveGet, attempt: Attempt, answer: Answer) -> None:
        if attempt.node.name in self.connections:
            self.connections[attempt.node.name] = (self.connections[attempt.node.name][0], self.engine.now)
        self.end_attempt(get, attempt, answer.result, answer)

    def reset_connection(self, node: str) -> None:
        """Breaks all forwards on the connection to a node; all but the first are reported as `shared`."""
        self.close_connection(node, self.engine.now)
        shared = False
        for get in list(self.gets.values()):
            for attempt in list(get.in_flight.values()):
                if attempt.node.name == node:
                    self.cancel(attempt)
                    self.end_attempt(get, attempt, "broken", shared=shared)
                    shared = True

    def use_connection(self, node: str) -> None:
        """Opens a connection where none is open or the last one has been idle for too long."""
        now = self.engine.now
        self.close_if_idle(node, now)
        if node not in self.connections:
            self.emulation.record.opened.append((now / S, self.name, node))
            self.connections[node] = (now, now)
        self.connections[node] = (self.connections[node][0], now)

    def close_if_idle(self, node: str, now: int) -> None:
        if node in self.connections:
            timeout = (
                IDLE
                if self.coordinator.watches(source_id(self.emulation.world.nodes[node].uid))
                else SHORT_IDLE
            )
            if now > self.connections[node][1] + timeout:
                self.close_connection(node, self.connections[node][1] + timeout)

    def close_connection(self, node: str, time: int) -> None:
        if self.connections.pop(node, None) is not None:
            self.emulation.record.closed.append((time / S, self.name, node))
