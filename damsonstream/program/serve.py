"""One gateway: wires the layers together, follows signals, and ends when it is idle after SIGTERM.

SIGHUP reads the configuration file again: the bulletin's address is taken over at once, the rest at a
restart.
"""

from __future__ import annotations

import gc
import logging
import re
import resource
import signal
import time
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import anyio

from damsonstream.program import config as configuration
from damsonstream.program.config import Config, Unusable
from damsonstream.program.counters import Counters
from damsonstream.protocol import bulletin, fastcgi, resp
from damsonstream.routing import handler
from damsonstream.routing.gateway import TENTHS, Clock, Gateway
from damsonstream.routing.interface import PeersTold
from damsonstream.transport.caches import Caches
from damsonstream.transport.front import Answer, Front
from damsonstream.transport.watch import DiscoveryWatch

if TYPE_CHECKING:  # only loaded where they are on: idle memory of a gateway must not rise
    from damsonstream.program.gathering import Gathering
    from damsonstream.program.tiering import Tiering
    from damsonstream.records.recorder import Recorder

log = logging.getLogger(__name__)
RESERVED = (
    32  # descriptors that neither clients nor caches get: standard ones, the loop's, bulletin, listener
)
CLIENTS = 3  # clients hold one part in so many, the protocol's
CACHE_BYTES = (
    4  # a connection to a cache may hold one part of an object: all take a part in so many of the memory
)
CLIENT_BYTES = 4  # answers that wait for slow clients take one part in so many of the memory
COMING_BYTES = 8  # GETs that are coming in take one part in so many of the memory
MB = 1 << 20
GARBAGE = (
    20_000,
    10,
    50,
)  # new objects between collections: GETs leave few cycles, so that most find nothing
LINGER = 0.7  # seconds for which GETs still come after SIGTERM, the protocol's
KILLED = 3.0  # seconds after LINGER, or the longest viewer timeout if that is less, until SIGKILL comes
REREAD, REREAD_STEP = 2.0, 0.1  # seconds in which a file that can't be used is looked at again, and how often
SPARE = 0.2  # seconds before that by which all is answered: time to shut what is open

HEALTH, PREFIX = b"/healthz", b"/v1/"
# The forms of the clients' fields, the protocol's: what has another goes to no cache, which would close on it
HEX, TOKEN = re.compile(rb"[0-9a-f]{16}"), re.compile(rb"[0-9a-f]{32}")
MOST_GROUP, MOST_PART = 255, 99_999  # a part holds 240,000 bytes: so many are 24 GB


class Server:
    def __init__(
        self, config: Config, recorder: Recorder | None = None, pieces: frozenset[str] | None = None,
        tiers: str = "",
    ) -> None:  # fmt: skip
        """`pieces` of what gateways decide together; None: this one decides alone. `tiers`: the hierarchy's
        file; empty: none."""
        self.config, self.counters, self.recorder = config, Counters(), recorder
        count = self.counters.add
        memory = config.memory_mb * MB
        clients = config.sockets // CLIENTS
        cache_most = min(config.sockets - clients - RESERVED, memory // CACHE_BYTES // resp.MOST_BODY)
        clock, self.gathering = Clock(), None
        if pieces is not None:
            self.gathering = self.join(pieces, clock)
        fleet = self.gathering.council if self.gathering is not None else None
        self.tiering = self.hierarchy(tiers, clock, pieces) if tiers else None
        service = self.tiering.service if self.tiering is not None else None
        self.gateway = Gateway(config.seed, config.footprint, clock, recorder, fleet, service)
        self.caches = Caches(
            max(1, cache_most), config.streams, config.connect_timeout, ours(config.idle), count
        )
        if self.gathering is not None:
            self.caches.keeps = self.gathering.keeps
        self.front = Front(
            max(1, clients), memory // CLIENT_BYTES, memory // COMING_BYTES, self.open_get, count
        )
        self.services = {service.name.encode(): n for n, service in enumerate(config.footprint.services)}
        self.handlers = handler.RequestHandlers(self.gateway, self.caches.send)
        models = config.footprint.models
        self.watch = DiscoveryWatch(config.feed, config.last, config.locations, models, self.told, count)
        self.ready = anyio.Event()  # the listener is up, the list is known
        for event in config.known:
            self.told(event, 0)

    def join(self, pieces: frozenset[str], clock: Clock) -> Gathering | None:
        from damsonstream.program import gathering

        # the gateway is made after it, and told by it only once it runs
        def tell(told: PeersTold) -> None:
            self.gateway.tell(told)

        return gathering.begin(self.config, pieces, clock, tell, self.recorder)

    def hierarchy(self, path: str, clock: Clock, pieces: frozenset[str] | None) -> Tiering:
        from damsonstream.program import tiering
        from damsonstream.settings import kdl

        try:
            return tiering.begin(path, self.config, self.gathering, clock, pieces, self.recorder)
        except kdl.Fault as fault:
            raise Unusable(str(fault)) from fault

    def told(self, event: bulletin.Event, number: int) -> None:
        if isinstance(event, bulletin.ListChanged):
            self.caches.listed(event)
            if self.gathering is not None:
                self.gathering.listed(event)
            if self.tiering is not None:
                self.tiering.listed(event)
        if isinstance(event, bulletin.Skipped):
            log.warning("skipped", extra={"side": "bulletin", "what": "events before a whole list"})
        if self.recorder is not None:
            self.recorder.news(self.gateway.clock.now(), number, event)
        self.gateway.told(event)

    def open_get(self, taken: fastcgi.Taken, answer: Answer) -> handler.Get | None:
        """a GET's fields; its handler, or at once the answer of what needs none."""
        script, fields = taken.fields.get(b"SCRIPT_NAME", b""), taken.fields
        if script == HEALTH:
            answer(fastcgi.answer(taken.id, b"200 OK", [(b"Content-Type", b"text/plain")], b"ready\n"))
            return None
        self.counters.add("taken")
        if self.front.closing or len(self.gateway.inboxes) >= self.config.most_open:
            self.counters.add("shed")
            self.turned(fields, "shed", "overloaded")
            answer(fastcgi.ended(taken.id, fastcgi.OVERLOADED))
            return None

        def final(done: handler.Final) -> None:
            self.counters.add(done.outcome)
            answer(self.words(taken.id, done))

        try:
            name = script.removeprefix(PREFIX)
            ident, thing = fields[b"HTTP_X_TXN"], fields[b"HTTP_X_ROW"]
            token = fields.get(b"HTTP_X_TXN_KEY", b"")
            part, left = fields.get(b"HTTP_X_SLICE", b"0"), whole(fields[b"HTTP_X_TTL_MS"])
            group = whole(fields[b"HTTP_X_SET"])
            service = self.services[name]
            told = self.config.footprint.services[service]
            if not (HEX.fullmatch(ident) and HEX.fullmatch(thing)) or ident in self.handlers.idents:
                raise ValueError  # an id that is open already would be taken for that one
            if whole(part) > MOST_PART or not 0 < left * TENTHS <= told.viewer_timeout or group > MOST_GROUP:
                raise ValueError
            if not TOKEN.fullmatch(token) if told.effect == "tokened" else token:
                raise ValueError
        except (KeyError, ValueError):
            self.counters.add("unusable")
            self.turned(fields, "errored", "unusable")
            final(handler.Final("errored"))
            return None
        holds = fields.get(b"HTTP_X_SEEN", b"").removeprefix(b"W/").strip(b'"')
        same = resp.fields(name, thing, part, token, holds if usable(holds) else b"")
        repeated = fields.get(b"HTTP_X_SECOND_TRY", b"") == b"1"
        get = handler.Get(ident, service, thing.decode(), group, left, repeated, same, taken.body)
        self.handlers.begin(get, final)
        return get

    def turned(self, fields: dict[bytes, bytes], outcome: str, reason: str) -> None:
        if self.recorder is not None:
            ident = fields.get(b"HTTP_X_TXN", b"")
            self.recorder.turned(self.gateway.clock.now(), ident, outcome, reason)

    def words(self, id: int, final: handler.Final) -> bytes:
        match final.outcome:
            case "returned" if final.same:
                return fastcgi.answer(id, b"200 OK", [(b"X-Current", b"1"), (b"Content-Length", b"0")], b"")
            case "returned":
                return fastcgi.answer(
                    id, b"200 OK", [(b"Content-Length", b"%d" % len(final.body))], final.body
                )
            case "shed":
                wait = [(b"X-Throttle-Ms", b"%d" % final.come_back_ms)] if final.come_back_ms else []
                return fastcgi.answer(id, b"503 Service Unavailable", wait, b"")
        return fastcgi.answer(id, b"500 Internal Server Error", [], b"")

    def report(self) -> None:
        used = resource.getrusage(resource.RUSAGE_SELF)
        self.counters.peak("rss_mb", used.ru_maxrss // 1024)
        self.counters.peak("cpu_s", round(used.ru_utime + used.ru_stime, 2))
        records = self.recorder.counts() if self.recorder is not None else {}
        peers = self.gathering.council.counts() if self.gathering is not None else {}
        log.info("counters", extra={**self.counters.lines(), **records, **peers})

    def reloaded(self, outcome: str, what: str) -> None:
        if self.recorder is not None:
            self.recorder.reloaded(self.gateway.clock.now(), outcome, what)

    async def pulse(self, recorder: Recorder) -> None:
        """Each second, that the gateway lives: a reader tells a quiet one from one that has stopped."""
        while True:
            recorder.pulse(self.gateway.clock.now(), len(self.gateway.inboxes))
            await anyio.sleep(1.0)

    def reload(self) -> bool:
        """SIGHUP: a file that can't be used changes nothing, whatever is wrong with it. Whether it was
        used."""
        try:
            fresh = configuration.read(self.config.path)
        except Unusable as fault:
            self.counters.add("reload.unusable")
            log.error("reload", extra={"outcome": "unusable", "what": str(fault)})
            self.reloaded("unusable", str(fault))
            return False
        except Exception:
            self.counters.add("reload.unusable")
            log.exception("reload", extra={"outcome": "unusable"})
            return False
        self.counters.add("reload.used")
        restart = ",".join(configuration.restarts(self.config, fresh)) or "-"
        log.info("reload", extra={"outcome": "used", "bulletin": fresh.feed, "restart_for": restart})
        self.reloaded("used", fresh.feed)
        self.watch.move(fresh.feed)
        if self.gathering is not None:
            self.gathering.moved(fresh)
        return True

    async def reload_again(self, before: tuple[int, int, int]) -> None:
        """After a file that can't be used: it may have been read half written. Read again as soon as it is
        no longer as it was `before` it was read, within the time in which what the new bulletin tells counts
        as told."""
        with anyio.move_on_after(REREAD):
            while True:
                await anyio.sleep(REREAD_STEP)
                after = configuration.state(self.config.path)
                if after != before and self.reload():
                    return
                before = after

    async def signals(self, received: AsyncIterator[signal.Signals], scope: anyio.CancelScope) -> None:
        """Until the process ends: none that comes while it does may end it sooner."""
        async with anyio.create_task_group() as group:
            again, stopping = anyio.CancelScope(), False

            async def reread(scope: anyio.CancelScope, before: tuple[int, int, int]) -> None:
                with scope:
                    await self.reload_again(before)

            async for number in received:
                if number == signal.SIGUSR1:
                    self.report()
                elif number == signal.SIGHUP:
                    again.cancel()
                    before = configuration.state(self.config.path)
                    if not self.reload():
                        again = anyio.CancelScope()
                        group.start_soon(reread, again, before)
                    if self.tiering is not None:
                        self.reloaded(*self.tiering.reload())
                elif not stopping:
                    stopping = True
                    group.start_soon(self.stop, number, scope)

    async def stop(self, number: signal.Signals, scope: anyio.CancelScope) -> None:
        """GETs come for a while yet; then all that was taken is answered, and the connections are shut,
        before SIGKILL may come."""
        log.info("leaving", extra={"signal": number.name, "open": self.front.open})
        start, longest = time.monotonic(), max(s.viewer_timeout for s in self.config.footprint.services)
        last = start + LINGER + min(KILLED, longest / (1000 * TENTHS)) - SPARE
        self.gateway.stop(int((last - start) * 1000 * TENTHS))
        await anyio.sleep(LINGER)
        await self.front.close(max(SPARE / 2, last + SPARE / 2 - time.monotonic()))
        scope.cancel()

    async def run(self) -> None:
        config, (host, port) = self.config, self.config.listen
        taken = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
        with anyio.open_signal_receiver(*taken) as received:  # before anyone can see that it is there
            try:
                self.front.listen(host, port)
            except OSError as fault:
                raise Unusable(f"The field listen, {host}:{port}, can't be listened on: {fault}.") from fault
            try:
                if self.gathering is not None:
                    await self.gathering.open()
            except OSError as fault:
                raise Unusable(f"The field peer_listen can't be listened on: {fault}.") from fault
            async with anyio.create_task_group() as group:
                self.handlers.group = group
                group.start_soon(self.signals, received, group.cancel_scope)
                self.gateway.keep_time()
                group.start_soon(self.caches.run)
                group.start_soon(self.front.run)
                group.start_soon(self.watch.follow)
                if self.recorder is not None:
                    group.start_soon(self.pulse, self.recorder)
                if self.gathering is not None:
                    group.start_soon(self.gathering.run)
                if self.tiering is not None:
                    group.start_soon(self.tiering.run)
                gc.collect()
                gc.freeze()  # what was read at the start stays
                gc.set_threshold(*GARBAGE)
                self.ready.set()
                known = {"listen": f"{host}:{port}", "known": config.last}
                log.info("ready", extra={"name_": config.name, **known})
            if self.gathering is not None:
                self.gathering.close()
            for connection in list(self.caches.open):
                connection.end("stopped")
            await anyio.sleep(0.01)  # each leaves its line
            if self.recorder is not None:
                self.recorder.stopped(self.gateway.clock.now(), "signal")
                self.recorder.writer.close()
            self.report()


def ours(idle: float) -> float:
    """Seconds without use after which we end a connection, sooner than the cache, which does so after `idle`:
    by a second, or by a quarter where that is less, as a GET may be on its way meanwhile."""
    return idle - min(1.0, idle / 4)


def whole(text: bytes) -> int:
    """A whole number of the clients' wire: digits and nothing else."""
    if not text.isdigit() or len(text) > 9:
        raise ValueError
    return int(text)


def usable(text: bytes) -> bool:
    """Whether it can stand in a list of fields of the caches' wire."""
    return 0 < len(text) <= 64 and text.isalnum()
