"""Stand-ins for the web servers of the front: they bring viewers' GETs to gateways and note what came back.

How it is called: `Front(addresses, ...)` with `await front.play(arrivals)`; `front.tries` then holds each GET
that was sent, with what the client saw. Gateways are picked by viewer among those that answer; a GET that is
shed or lost is tried again, twice at most, after the time that the gateway told.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from damsonstream.standins import wire
from damsonstream.standins.traffic import Arrival, Catalogue
from damsonstream.transport.connection import Connection

CONNECTIONS = 4  # to each gateway
STREAMS = 32  # GETs on each
FURTHER = 2  # tries after the first
AGAIN_MS = 200  # before a further try, where nothing is told
RETRY = 0.25  # seconds between tries to reach a gateway
TAIL = 1.0  # seconds after the last arrival, for what is still open
CLOSE = 4.0  # seconds that viewers' last GETs may take: the longest patience and a little
MOST_OPEN = 4096  # GETs open in all: beyond it a play counts as overrun, and says so


@dataclass(slots=True)
class Try:
    """One GET as a client sent it."""

    ident: str
    gateway: str
    service: str
    thing: str
    sent: float  # seconds since the play began
    further: int  # how many came before it for the same viewer's wish
    outcome: str = ""  # returned, shed, errored, lost (its connection ended) or late (the viewer left)
    took: float = 0.0
    stamp: int = 0  # of the copy that came
    wrong: str = ""  # what is wrong with the answer
    answers: int = 0


@dataclass(slots=True, eq=False)
class Open:
    one: Try
    done: asyncio.Future[None]
    come_back_ms: int = 0


class GatewayLink(Connection):
    """One connection to a gateway."""

    def __init__(self, front: Front, name: str) -> None:
        super().__init__()
        self.front, self.name = front, name
        self.answers = wire.Answers()
        self.open: dict[int, Open] = {}  # by id; emptied by answers and by its end
        self.aborted: set[int] = set()  # ids whose end is still to come; emptied by it
        self.past: dict[int, Try] = {}  # by id: the last that was answered, to see second answers
        self.ids = iter(range(1, 1 << 16))

    def id(self) -> int:
        for id in self.ids:
            if id not in self.open and id not in self.aborted:
                return id
        self.ids = iter(range(1, 1 << 16))
        return self.id()

    def took(self, data: bytes) -> None:
        try:
            finals = self.answers.feed(data)
        except wire.Broken as fault:
            self.front.fault(f"{self.name} sent what can't be read: {fault}")
            self.end("malformed")
            return
        for final in finals:
            if final.id in self.aborted:
                self.aborted.discard(final.id)
                continue
            waiting = self.open.pop(final.id, None)
            if waiting is None:
                if (past := self.past.get(final.id)) is not None:
                    past.answers += 1
                    self.front.fault(f"{self.name} answered {past.ident} twice")
                continue
            self.past[final.id] = waiting.one
            self.front.came(waiting, final)

    def ended(self) -> None:
        self.front.parted(self)
        waiting, self.open = list(self.open.values()), {}
        for one in waiting:
            one.one.outcome = "lost"
            if not one.done.done():
                one.done.set_result(None)


class Front:
    def __init__(
        self, addresses: dict[str, tuple[str, int]], catalogue: Catalogue, now: Callable[[], float], seed: int
    ) -> None:
        self.addresses, self.catalogue, self.now = addresses, catalogue, now
        self.weights: dict[str, float] = {}  # how many more viewers one has than another; empty: all alike
        self.chance = random.Random(seed)
        self.links: dict[str, list[GatewayLink]] = {name: [] for name in addresses}
        self.tries: list[Try] = []  # of a play, which is short
        self.faults: list[str] = []  # bounded
        self.fault_count = 0
        self.unsent = 0  # GETs for which no gateway answered
        self.late_start = 0.0  # the worst delay between an intended time and the sending, seconds
        self.group: TaskGroup | None = None
        self.open = 0
        self.closing = False

    def fault(self, text: str) -> None:
        self.fault_count += 1
        if len(self.faults) < 100:
            self.faults.append(text)

    def parted(self, link: GatewayLink) -> None:
        if link in self.links[link.name]:
            self.links[link.name].remove(link)

    async def keep(self, name: str) -> None:
        """Keeps the connections to one gateway."""
        host, port = self.addresses[name]
        loop = asyncio.get_running_loop()
        while not self.closing:
            if len(self.links[name]) < CONNECTIONS:
                link = GatewayLink(self, name)
                try:
                    with anyio.fail_after(1.0):
                        await loop.create_connection(lambda link=link: link, host, port)  # type: ignore[misc]
                except (OSError, TimeoutError):
                    await anyio.sleep(RETRY)
                    continue
                self.links[name].append(link)
            else:
                await anyio.sleep(0.05)

    def pick(self, viewer: int) -> GatewayLink | None:
        up = [name for name, links in self.links.items() if any(not link.reason for link in links)]
        if not up:
            return None
        name = up[viewer % len(up)]
        if self.weights:
            name = self.chance.choices(up, [self.weights.get(one, 1.0) or 1e-9 for one in up])[0]
        links = [link for link in self.links[name] if not link.reason]
        link = min(links, key=lambda link: len(link.open), default=None)
        return link if link is not None and len(link.open) < STREAMS else None

    async def play(self, arrivals: Iterable[Arrival], group: TaskGroup) -> None:
        """Sends each GET at its time, whatever became of the ones before it."""
        self.group = group
        for arrival in arrivals:
            if (wait := arrival.at - self.now()) > 0:
                await anyio.sleep(wait)
            self.late_start = max(self.late_start, self.now() - arrival.at)
            if self.open < MOST_OPEN:
                group.start_soon(self.wish, arrival)
            else:
                self.unsent += 1

    async def play_out(self, arrivals: Iterable[Arrival]) -> None:
        """Sends all, and waits until the last are over."""
        async with anyio.create_task_group() as group:
            await self.play(arrivals, group)
            await anyio.sleep(TAIL)
            with anyio.move_on_after(CLOSE):
                while self.open:
                    await anyio.sleep(0.02)
            group.cancel_scope.cancel()

    async def wish(self, arrival: Arrival) -> None:
        """One viewer's wish: a GET, and further ones where it is shed or lost."""
        self.open += 1
        try:
            until = max(arrival.at, self.now()) + arrival.offer.patience_ms / 1000
            for further in range(FURTHER + 1):
                left = until - self.now()
                if left <= 0.05:
                    return
                link = self.pick(arrival.viewer)
                if link is None:
                    self.unsent += 1
                    await anyio.sleep(min(left, RETRY))
                    continue
                waiting = self.send(link, arrival, further, left)
                with anyio.move_on_after(left) as scope:
                    await waiting.done
                # its future is cancelled with the wait for it: whether it ended is told by the outcome
                if scope.cancelled_caught and not waiting.one.outcome:
                    self.give_up(link, waiting)
                waiting.one.took = self.now() - waiting.one.sent
                if waiting.one.outcome not in ("shed", "lost"):
                    return
                if waiting.one.outcome == "lost" and arrival.offer.tokened and further:
                    return
                await anyio.sleep((waiting.come_back_ms or AGAIN_MS) / 1000)
        finally:
            self.open -= 1

    def send(self, link: GatewayLink, arrival: Arrival, further: int, left: float) -> Open:
        ident = f"{self.chance.getrandbits(64):016x}"
        one = Try(ident, link.name, arrival.offer.name, arrival.thing, self.now(), further)
        self.tries.append(one)
        waiting = Open(one, asyncio.get_running_loop().create_future())
        id = link.id()
        link.open[id] = waiting
        fields = {
            "SCRIPT_NAME": f"/v1/{arrival.offer.name}",
            "HTTP_X_TXN": ident,
            "HTTP_X_ROW": arrival.thing,
            "HTTP_X_TTL_MS": str(max(1, min(arrival.offer.patience_ms, int(left * 1000)))),
            "HTTP_X_SLICE": str(arrival.part),
            "HTTP_X_SET": str(self.catalogue.group(arrival.thing)),
        }
        if arrival.token:
            fields["HTTP_X_TXN_KEY"] = arrival.token
        if further:
            fields["HTTP_X_SECOND_TRY"] = "1"
        link.send(wire.get(id, fields))
        return waiting

    def give_up(self, link: GatewayLink, waiting: Open) -> None:
        """The viewer has left: no answer is owed any more, and one that comes anyway is no second one."""
        waiting.one.outcome = "late"
        for id, one in list(link.open.items()):
            if one is waiting:
                link.aborted.add(id)
                del link.open[id]
                link.send(wire.abort(id))

    def came(self, waiting: Open, final: wire.Final) -> None:
        one = waiting.one
        one.outcome, one.answers = final.outcome, one.answers + 1
        wait = final.fields.get("X-Throttle-Ms", "0")
        waiting.come_back_ms = int(wait) if wait.isdigit() else 0
        if one.outcome == "returned" and final.body != b"done":
            self.check(one, final.body)
        if not waiting.done.done():
            waiting.done.set_result(None)

    def check(self, one: Try, body: bytes) -> None:
        """The bytes tell whose they are and of when."""
        what, _, rest = body.partition(b" ")
        stamp = rest.partition(b" ")[0]
        if what.decode("latin-1") != f"{one.service}/{one.thing}/0" or not stamp.isdigit():
            one.wrong = "another object's bytes"
            self.fault(f"{one.gateway} answered {one.ident} with {what[:60]!r}")
        else:
            one.stamp = int(stamp)

    def close(self) -> None:
        self.closing = True
        for links in self.links.values():
            for link in list(links):
                link.end("stopped")
