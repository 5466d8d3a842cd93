"""The server process of one gateway: connects the layers, handles signals, and shuts down after SIGTERM.

SIGTERM and SIGINT end the process once no GET is open. SIGHUP reloads the configuration file: a new address
of the bulletin takes effect at once, other changes need a restart. SIGUSR1 logs the counters.
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
from damsonstream.program.config import Config, ConfigError
from damsonstream.program.counters import Counters
from damsonstream.protocol import bulletin, fastcgi, resp
from damsonstream.routing import admission, life
from damsonstream.routing.gateway import TICKS_PER_MS, Clock, Gateway
from damsonstream.routing.interface import PeerVerdict
from damsonstream.transport.caches import CacheConnections
from damsonstream.transport.feed import DiscoveryWatch
from damsonstream.transport.front import Answer, ClientListener, ReceivedGet

if TYPE_CHECKING:  # imported at run time only if enabled, to keep the idle memory of a gateway small
    from damsonstream.program.gathering import PeerExchange
    from damsonstream.program.tiering import HierarchyManager
    from damsonstream.records.recorder import Recorder

log = logging.getLogger(__name__)
# File descriptors not used for clients and caches: standard streams, event loop, bulletin, listener.
RESERVED_DESCRIPTORS = 32
CLIENT_DESCRIPTOR_DIVISOR = 3  # clients get a third of the descriptors; set by the protocol
# Of the memory, a quarter each is for the buffers of cache connections, each of which may hold one object,
# for the requests that are open, and for answers that slow clients have not read. The rest is the program's.
CACHE_MEMORY_DIVISOR = REQUEST_MEMORY_DIVISOR = UNSENT_MEMORY_DIVISOR = 4
BYTES_PER_MB = 1 << 20
# Garbage collection is rarer than by default, because GETs create few reference cycles to collect.
GC_THRESHOLDS = (20_000, 10, 50)
SHUTDOWN_GRACE_S = 0.7  # GETs are still accepted for this long after SIGTERM; set by the protocol

HEALTH_PATH, SERVICE_PREFIX = b"/healthz", b"/v1/"
# Formats of the clients' fields, set by the protocol. Other values are never forwarded: a cache closes the
# connection on them.
ID_PATTERN, TOKEN_PATTERN = re.compile(rb"[0-9a-f]{16}"), re.compile(rb"[0-9a-f]{32}")
MAX_GROUP, MAX_SEGMENT = 255, 99_999  # a segment holds 240,000 bytes: 24 GB in total


class Server:
    """One gateway with its listener, cache connections, router and optional parts."""

    def __init__(
        self, config: Config, recorder: Recorder | None = None, features: frozenset[str] | None = None,
        hierarchy_path: str = "",
    ) -> None:  # fmt: skip
        """`features` are the peer features that are enabled; None: the gateway works alone. `hierarchy_path`
        is the file of the cache hierarchy; empty: none."""
        self.config, self.counters, self.recorder = config, Counters(), recorder
        count = self.counters.add
        memory_bytes = config.memory_mb * BYTES_PER_MB
        client_limit = config.sockets // CLIENT_DESCRIPTOR_DIVISOR
        cache_limit = min(
            config.sockets - client_limit - RESERVED_DESCRIPTORS,
            memory_bytes // CACHE_MEMORY_DIVISOR // resp.MAX_BODY_BYTES,
        )
        clock, self.peer_exchange = Clock(), None
        if features is not None:
            self.peer_exchange = self.create_peer_exchange(features, clock)
        coordinator = self.peer_exchange.coordinator if self.peer_exchange is not None else None
        self.hierarchy = self.create_hierarchy(hierarchy_path, clock, features) if hierarchy_path else None
        service = self.hierarchy.service if self.hierarchy is not None else None
        self.gateway = Gateway(config.seed, config.footprint, clock, recorder, coordinator, service)
        self.cache_connections = CacheConnections(
            max(1, cache_limit), config.streams, config.connect_timeout, config.idle - 1.0, count
        )
        if self.peer_exchange is not None:
            self.cache_connections.keeps_idle = self.peer_exchange.keeps_idle
        self.listener = ClientListener(
            max(1, client_limit),
            memory_bytes // REQUEST_MEMORY_DIVISOR,
            memory_bytes // UNSENT_MEMORY_DIVISOR,
            self.open_get,
            count,
        )
        self.services = {service.name.encode(): n for n, service in enumerate(config.footprint.services)}
        self.get_tasks = life.GetTasks(self.gateway, self.cache_connections.send)
        models = config.footprint.models
        self.discovery = DiscoveryWatch(
            config.feed, config.last, config.locations, models, self.on_bulletin_event, count
        )
        self.ready = anyio.Event()  # the listener is open and the list of caches has been applied
        for event in config.known:
            self.on_bulletin_event(event, 0)

    def create_peer_exchange(self, features: frozenset[str], clock: Clock) -> PeerExchange | None:
        from damsonstream.program import gathering

        # self.gateway is created later, but before the exchange sends the first notification
        def notify(event: PeerVerdict) -> None:
            self.gateway.handle_event(event)

        return gathering.create_peer_exchange(self.config, features, clock, notify, self.recorder)

    def create_hierarchy(self, path: str, clock: Clock, features: frozenset[str] | None) -> HierarchyManager:
        from damsonstream.program import tiering
        from damsonstream.settings import kdl

        try:
            return tiering.create_hierarchy_manager(
                path, self.config, self.peer_exchange, clock, features, self.recorder
            )
        except kdl.KdlError as error:
            raise ConfigError(str(error)) from error

    def on_bulletin_event(self, event: bulletin.Event, number: int) -> None:
        """Passes an event of the bulletin to all parts; `number` is 0 for events from the configuration."""
        if isinstance(event, bulletin.ListChanged):
            self.cache_connections.update_list(event)
            if self.peer_exchange is not None:
                self.peer_exchange.update_list(event)
            if self.hierarchy is not None:
                self.hierarchy.update_list(event)
        if self.recorder is not None:
            self.recorder.bulletin_event(self.gateway.clock.now(), number, event)
        self.gateway.apply_bulletin(event)

    def open_get(self, received: ReceivedGet) -> life.Get | None:
        """Validates a GET and starts its task. Health checks and rejected GETs are answered at once, and None
        is returned."""
        request, send_answer = received.request, received.answer
        path, fields, id = request.fields.get(b"SCRIPT_NAME", b""), request.fields, request.id
        if path == HEALTH_PATH:
            send_answer(fastcgi.encode_answer(id, b"200 OK", [(b"Content-Type", b"text/plain")], b"ready\n"))
            return None
        self.counters.add("taken")
        if len(self.gateway.inboxes) >= self.config.most_open:
            self.refuse(request, send_answer)
            return None

        def finish(final: life.FinalAnswer) -> None:  # keeps the id but not the request, which may be large
            self.counters.add(final.outcome)
            send_answer(self.encode_final(id, final))

        try:
            get = self.read_get(request)
        except (KeyError, ValueError):
            self.counters.add("unusable")
            self.record_rejection(fields, "errored", "unusable")
            finish(life.FinalAnswer("errored"))
            return None
        objective_ms = self.config.footprint.services[get.service].objective / TICKS_PER_MS
        get.time_left_ms = admission.remaining_time_ms(
            get.time_left_ms, 1000 * received.waited_s, objective_ms, received.has_credit
        )
        if not get.time_left_ms:
            self.counters.add("waited")
            self.refuse(request, send_answer)
            return None
        get.on_end, get.is_client_connected = received.on_end, received.is_connected
        self.get_tasks.start(get, finish)
        return get

    def refuse(self, request: fastcgi.Request, send_answer: Answer) -> None:
        """Refuses a GET because of overload; trying again is harmless."""
        self.counters.add("shed")
        self.record_rejection(request.fields, "shed", "overloaded")
        send_answer(fastcgi.end_request(request.id, fastcgi.OVERLOADED))

    def read_get(self, request: fastcgi.Request) -> life.Get:
        """Returns the GET that a request asks for; raises KeyError or ValueError if a field is missing or has
        a value that must not be forwarded."""
        fields = request.fields
        name = fields[b"SCRIPT_NAME"].removeprefix(SERVICE_PREFIX)
        service = self.services[name]
        settings = self.config.footprint.services[service]
        ident, object_id = fields[b"HTTP_X_TXN"], fields[b"HTTP_X_ROW"]
        if not (ID_PATTERN.fullmatch(ident) and ID_PATTERN.fullmatch(object_id)):
            raise ValueError
        if self.get_tasks.is_used(ident):  # it would be confused with the first one, or run again
            raise ValueError
        body_length = fields.get(b"CONTENT_LENGTH", b"")  # absent or empty: not told
        if body_length and parse_uint(body_length) != len(request.body):
            raise ValueError
        segment, group = fields.get(b"HTTP_X_SLICE", b"0"), parse_uint(fields[b"HTTP_X_SET"])
        if parse_uint(segment) > MAX_SEGMENT or group > MAX_GROUP:
            raise ValueError
        time_left_ms = parse_uint(fields[b"HTTP_X_TTL_MS"])
        if not 0 < time_left_ms * TICKS_PER_MS <= settings.viewer_timeout:
            raise ValueError
        token = fields.get(b"HTTP_X_TXN_KEY", b"")
        if not TOKEN_PATTERN.fullmatch(token) if settings.idempotency == "tokened" else token:
            raise ValueError
        version = fields.get(b"HTTP_X_SEEN", b"").removeprefix(b"W/").strip(b'"')
        if not is_field_value(version):
            version = b""
        is_retry = fields.get(b"HTTP_X_SECOND_TRY", b"") == b"1"
        forward_fields = resp.forward_fields(name, object_id, segment, token, version)
        return life.Get(
            ident, service, object_id.decode(), group, time_left_ms, is_retry, forward_fields, request.body
        )

    def record_rejection(self, fields: dict[bytes, bytes], outcome: str, reason: str) -> None:
        if self.recorder is not None:
            ident = fields.get(b"HTTP_X_TXN", b"")
            self.recorder.turned(self.gateway.clock.now(), ident, outcome, reason)

    def encode_final(self, id: int, final: life.FinalAnswer) -> bytes:
        match final.outcome:
            case "returned" if final.not_modified:
                return fastcgi.encode_answer(
                    id, b"200 OK", [(b"X-Current", b"1"), (b"Content-Length", b"0")], b""
                )
            case "returned":
                return fastcgi.encode_answer(
                    id, b"200 OK", [(b"Content-Length", b"%d" % len(final.body))], final.body
                )
            case "shed":
                headers = [(b"X-Throttle-Ms", b"%d" % final.retry_after_ms)] if final.retry_after_ms else []
                return fastcgi.encode_answer(id, b"503 Service Unavailable", headers, b"")
        return fastcgi.encode_answer(id, b"500 Internal Server Error", [], b"")

    def log_counters(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.counters.record_peak("rss_mb", usage.ru_maxrss // 1024)
        self.counters.record_peak("cpu_s", round(usage.ru_utime + usage.ru_stime, 2))
        records = self.recorder.counts() if self.recorder is not None else {}
        peers = self.peer_exchange.coordinator.counts() if self.peer_exchange is not None else {}
        log.info("counters", extra={**self.counters.values(), **records, **peers})

    def record_reload(self, outcome: str, what: str) -> None:
        if self.recorder is not None:
            self.recorder.reloaded(self.gateway.clock.now(), outcome, what)

    async def record_heartbeats(self, recorder: Recorder) -> None:
        """Writes a heartbeat record each second, so that readers can tell an idle gateway from a stopped
        one."""
        while True:
            recorder.pulse(self.gateway.clock.now(), len(self.gateway.inboxes))
            await anyio.sleep(1.0)

    def reload(self) -> None:
        """Reloads the configuration on SIGHUP. An invalid file is logged and changes nothing."""
        try:
            loaded = configuration.read(self.config.path)
        except ConfigError as error:
            self.counters.add("reload.unusable")
            log.error("reload", extra={"outcome": "unusable", "what": str(error)})
            self.record_reload("unusable", str(error))
        except Exception:
            self.counters.add("reload.unusable")
            log.exception("reload", extra={"outcome": "unusable"})
        else:
            self.counters.add("reload.used")
            restart_required = ",".join(configuration.restart_fields(self.config, loaded)) or "-"
            log.info(
                "reload", extra={"outcome": "used", "bulletin": loaded.feed, "restart_for": restart_required}
            )
            self.record_reload("used", loaded.feed)
            self.discovery.set_address(loaded.feed)
            if self.peer_exchange is not None:
                self.peer_exchange.apply_config(loaded)
        if self.hierarchy is not None:
            self.record_reload(*self.hierarchy.reload())

    async def handle_signals(self, received: AsyncIterator[signal.Signals], scope: anyio.CancelScope) -> None:
        async for number in received:
            if number == signal.SIGUSR1:
                self.log_counters()
                continue
            if number == signal.SIGHUP:
                self.reload()
                continue
            deadline = time.monotonic() + SHUTDOWN_GRACE_S
            log.info("leaving", extra={"signal": number.name, "open": self.listener.open_count})
            while time.monotonic() < deadline or self.listener.open_count:
                await anyio.sleep(0.02)
            scope.cancel()
            return

    async def run(self) -> None:
        config, (host, port) = self.config, self.config.listen
        try:
            server = await self.listener.listen(host, port)
        except OSError as error:
            raise ConfigError(
                f"Cannot listen on {host}:{port}, the address in the field listen: {error}."
            ) from error
        try:
            if self.peer_exchange is not None:
                await self.peer_exchange.open()
        except OSError as error:
            raise ConfigError(f"Cannot listen on the address in the field peer_listen: {error}.") from error
        handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
        with anyio.open_signal_receiver(*handled_signals) as received:  # before readiness is visible
            async with anyio.create_task_group() as tasks:
                self.get_tasks.group = tasks
                tasks.start_soon(self.handle_signals, received, tasks.cancel_scope)
                self.gateway.start_timer()
                tasks.start_soon(self.cache_connections.run)
                tasks.start_soon(self.listener.sweep)
                tasks.start_soon(self.discovery.run)
                if self.recorder is not None:
                    tasks.start_soon(self.record_heartbeats, self.recorder)
                if self.peer_exchange is not None:
                    tasks.start_soon(self.peer_exchange.run)
                if self.hierarchy is not None:
                    tasks.start_soon(self.hierarchy.run)
                gc.collect()
                gc.freeze()  # objects created at startup live until the end
                gc.set_threshold(*GC_THRESHOLDS)
                self.ready.set()
                fields = {"listen": f"{host}:{port}", "known": config.last}
                log.info("ready", extra={"name_": config.name, **fields})
        server.close()
        if self.peer_exchange is not None:
            self.peer_exchange.close()
        for connection in (*self.listener.clients, *self.cache_connections.open_connections):
            connection.close("stopped", flush=True)
        await anyio.sleep(0.01)  # lets each connection log its close
        if self.recorder is not None:
            self.recorder.stopped(self.gateway.clock.now(), "signal")
            self.recorder.writer.close()
        self.log_counters()


def parse_uint(text: bytes) -> int:
    """Parses an unsigned integer of at most nine digits; raises ValueError for anything else."""
    if not text.isdigit() or len(text) > 9:
        raise ValueError
    return int(text)


def is_field_value(text: bytes) -> bool:
    """Returns whether a text may be used as a value in a field list of the caches' protocol."""
    return 0 < len(text) <= 64 and text.isalnum()
