"""What the cases 11 and up share: a gateway started with the deploy file's command, and stand-ins.

The stand-ins are small caches, a bulletin and a web server on loopback addresses. They speak with the codecs
of `damsonstream.standins.wire`, which are written apart from the gateway's. Every time in the record is in
seconds since the start of the case, by the monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from damsonstream.standins import wire

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MODELS = ("box", "hub", "vault")
ZONES = ("shop-1", "hubs")
SLACK = 0.050  # seconds by which each time limit is longer on sockets
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, UNABLE = 0, 1, 2


class CannotRun(Exception):
    """The case can't run on this machine."""


def run_command() -> str:
    return str(tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"])


class Record:
    """`record.txt`: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, kind: str, **fields: object) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{self.now():9.4f} {kind} {text}", file=self.file, flush=True)


@dataclass
class Copy:
    stamp: int  # Unix ms at which the origin gave it out


@dataclass
class Request:
    """One REQ as a cache got it."""

    ident: str
    fields: dict[str, str]
    at: float  # when it was read
    connection: CacheConnection
    body: bytes = b""


class CacheConnection(asyncio.Protocol):
    def __init__(self, cache: Cache) -> None:
        self.cache, self.decoder = cache, wire.CommandDecoder()
        self.transport: asyncio.Transport | None = None
        self.open: dict[bytes, asyncio.Task[None]] = {}
        self.last_used = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.cache.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.cache.connections.discard(self)
        for task in list(self.open.values()):
            task.cancel()

    def data_received(self, data: bytes) -> None:
        self.last_used = time.monotonic()
        for command in self.decoder.feed(data):
            if command.word == "HELO":
                self.write(wire.encode_answer(command.ident, "green", {}))
            elif command.word == "STOP":
                self.cache.record.write("stop", cache=self.cache.name, id=command.ident.decode())
                if (task := self.open.pop(command.ident, None)) is not None:
                    task.cancel()
            else:
                request = Request(
                    command.ident.decode(), command.fields, self.cache.record.now(), self, command.body
                )
                listed = ",".join(f"{name}={value}" for name, value in command.fields.items())
                self.cache.record.write("req", cache=self.cache.name, id=request.ident, fields=listed)
                self.open[command.ident] = asyncio.ensure_future(self.serve(command.ident, request))

    async def serve(self, ident: bytes, request: Request) -> None:
        word, fields, body = await self.cache.answer(self.cache, request)
        self.open.pop(ident, None)
        if word:
            self.cache.record.write("answer", cache=self.cache.name, id=request.ident, word=word, **fields)
            self.write(wire.encode_answer(ident, word, fields, body))

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def reset(self) -> None:
        if self.transport is not None:
            own = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


Answer = tuple[str, dict[str, str], bytes]


class Cache:
    """A cache, parent or origin: one listener, its copies, and `answer(cache, request)`, which serves."""

    def __init__(self, rig: Rig, number: int, role: str, answer: Any) -> None:
        self.rig, self.record, self.id, self.role, self.answer = rig, rig.record, number, role, answer
        self.name, self.uid = f"{role}-{number}", f"s-{number:08x}"
        self.copies: dict[str, Copy] = {}
        self.connections: set[CacheConnection] = set()
        self.state, self.units, self.started_ms, self.cell = 0, 24.0, 0, number
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: CacheConnection(self), HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def listed(self) -> wire.ListedNode:
        model = MODELS.index(self.role)
        location = 0 if self.role == "box" else 1
        return wire.ListedNode(self.id, (HOST, self.port), self.state, location, model, self.cell,
                               self.units, self.started_ms)  # fmt: skip

    def drop_older(self, purged_at: int) -> None:
        self.copies = {key: copy for key, copy in self.copies.items() if copy.stamp >= purged_at}

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


class Bulletin:
    """Numbered events; each second an empty frame."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[wire.Event] = []
        self.watchers: dict[asyncio.StreamWriter, int] = {}
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self.watchers[writer] = int.from_bytes(await reader.readexactly(8), "big")
            self.catch_up()
            while not writer.is_closing():
                await asyncio.sleep(1.0)
                if writer not in self.watchers:  # it tells nothing any more
                    continue
                writer.write(wire.encode_frame(self.watchers[writer], None))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watchers.pop(writer, None)
            writer.close()

    def catch_up(self) -> None:
        for writer, last in list(self.watchers.items()):
            for number in range(last + 1, len(self.events) + 1):
                writer.write(wire.encode_frame(number, self.events[number - 1]))
            self.watchers[writer] = len(self.events)

    def tell(self, event: wire.Event) -> float:
        """Tells an event to all gateways; returns when."""
        if not self.watchers:
            raise CannotRun("no gateway follows the bulletin")
        self.events.append(event)
        self.catch_up()
        told = self.record.now()
        self.record.write("told", no=len(self.events), what=str(event).replace(" ", ""))
        return told


@dataclass
class Get:
    ident: str
    service: str
    row: str
    sent: float
    ttl: float
    outcome: str = ""  # returned, shed, errored or closed
    ended: float = 0.0
    body: bytes = b""
    answers: int = 0
    done: asyncio.Event = field(default_factory=asyncio.Event)


class Front(asyncio.Protocol):
    """One connection of a web server to a gateway."""

    def __init__(self, record: Record) -> None:
        self.record, self.decoder = record, wire.AnswerDecoder()
        self.gets: dict[int, Get] = {}
        self.transport: asyncio.Transport | None = None
        self.next_id = 0
        self.closed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        for final in self.decoder.feed(data):
            get = self.gets.pop(final.id, None)
            if get is None:
                self.record.write("second-answer", id=final.id)
                continue
            get.outcome, get.body, get.ended = final.outcome, final.body, self.record.now()
            get.answers += 1
            self.record.write("final", id=get.ident, outcome=get.outcome, body=get.body[:60])
            get.done.set()

    def connection_lost(self, error: Exception | None) -> None:
        self.closed.set()
        for get in self.gets.values():
            get.outcome, get.ended = "closed", self.record.now()
            self.record.write("final", id=get.ident, outcome="closed")
            get.done.set()

    def send(
        self, service: str, row: str, ttl_ms: int, group: int = 0, token: str = "", body: bytes = b"",
        **parameters: str,
    ) -> Get:  # fmt: skip
        if self.transport is None or self.closed.is_set():
            raise CannotRun("the stand-in's connection has ended")
        self.next_id = self.next_id % 60_000 + 1
        get = Get(os.urandom(8).hex(), service, row, self.record.now(), ttl_ms / 1000)
        fields = {
            "SCRIPT_NAME": f"/v1/{service}", "HTTP_X_TXN": get.ident, "HTTP_X_ROW": row, "HTTP_X_SLICE": "0",
            "HTTP_X_SET": str(group), "HTTP_X_TTL_MS": str(ttl_ms), **parameters,
        }  # fmt: skip
        if token:
            fields["HTTP_X_TXN_KEY"] = token
        self.gets[self.next_id] = get
        self.record.write(
            "get",
            id=get.ident,
            service=service,
            row=row,
            ttl_ms=ttl_ms,
            token=token or "-",
            body=len(body),
            **parameters,
        )
        self.transport.write(wire.encode_get(self.next_id, fields, body))
        return get


class Rig:
    """All of one case. `async with Rig(folder) as rig` ends every process that it started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="case-"))
        self.bulletin = Bulletin(self.record)
        self.caches: list[Cache] = []
        self.stalls: list[tuple[float, float]] = []  # in which this process did not run, for whatever reason
        self.pulse: asyncio.Task[None] | None = None
        self.processes: list[asyncio.subprocess.Process] = []
        self.addresses: list[tuple[str, int]] = []

    async def __aenter__(self) -> Rig:
        await self.bulletin.listen()
        self.pulse = asyncio.ensure_future(self.watch_stalls())
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.terminate()
        for process in self.processes:
            try:
                await asyncio.wait_for(process.wait(), 6)
            except TimeoutError:
                process.kill()
                await process.wait()
        if self.pulse is not None:
            self.pulse.cancel()
        for cache in self.caches:
            cache.close()
        if self.bulletin.server is not None:
            self.bulletin.server.close()
        shutil.rmtree(self.temporary, ignore_errors=True)

    async def watch_stalls(self) -> None:
        last = self.record.now()
        while True:
            await asyncio.sleep(0.01)
            now = self.record.now()
            if now - last > 0.03:
                self.stalls.append((last, now))
                self.record.write("stall", ms=f"{(now - last) * 1000:.0f}")
            last = now

    def between(self, start: float, end: float) -> float:
        """Returns the time from start to end without that in which this process stood still: what came in
        then is read late, through no fault of the gateway."""
        lost = sum(max(0.0, min(end, b) - max(start, a)) for a, b in self.stalls)
        return end - start - lost

    async def add(self, role: str, answer: Callable[[Cache, Request], Coroutine[Any, Any, Answer]]) -> Cache:
        cache = Cache(self, len(self.caches) + 1, role, answer)
        self.caches.append(cache)
        await cache.listen()
        return cache

    async def start_gateway(
        self, settings: dict[str, Any], name: str = "n0", told: bool = True
    ) -> tuple[str, int]:
        """Starts a gateway; `told`: its watch of the bulletin is waited for as well. One that has run before
        starts with the configuration that it had, and so with its last list."""
        if not self.bulletin.events:
            self.bulletin.events.append(tuple(cache.listed() for cache in self.caches))
        path = self.temporary / f"{name}.json"
        if path.exists():
            host, _, port = json.loads(path.read_text())["listen"].partition(":")
            address: tuple[str, int] = (host, int(port))
            await self.run_gateway(name, address, told)
            return address
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            address = probe.getsockname()
        known = wire.event_log(enumerate(self.bulletin.events, 1), list(ZONES), list(MODELS))
        configuration = {
            "name": name, "listen": f"{HOST}:{address[1]}", "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bulletin": f"{HOST}:{self.bulletin.port}", "known": known, "settings": settings,
        }  # fmt: skip
        path.write_text(json.dumps(configuration))
        await self.run_gateway(name, address, told)
        return address

    async def run_gateway(self, name: str, address: tuple[str, int], told: bool) -> None:
        variables = dict(os.environ) | {
            "ROUTER_NAME": name, "ROUTER_LISTEN": f"{HOST}:{address[1]}",
            "ROUTER_CONFIG": str(self.temporary / f"{name}.json"), "TMPDIR": str(self.temporary),
        }  # fmt: skip
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=variables,
            stdout=asyncio.subprocess.DEVNULL, stderr=(self.temporary / f"{name}.log").open("a"),
        )  # fmt: skip
        self.processes.append(process)
        self.addresses.append(address)
        self.record.write("started", gateway=name, pid=process.pid)
        await self.wait_ready(address, told)

    async def wait_ready(self, address: tuple[str, int], told: bool) -> None:
        for _ in range(600):
            try:
                front = await self.connect(address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            front.gets[1] = get = Get("healthz", "", "", self.record.now(), 1)
            assert front.transport is not None
            front.transport.write(wire.encode_get(1, {"SCRIPT_NAME": "/healthz"}))
            await asyncio.wait_for(get.done.wait(), 5)
            front.transport.close()
            if not told:
                return
            for _ in range(50):
                if self.bulletin.watchers:
                    return
                await asyncio.sleep(0.1)
        raise CannotRun("the gateway was not ready in 30 s")

    async def connect(self, address: tuple[str, int]) -> Front:
        loop = asyncio.get_running_loop()
        _, front = await loop.create_connection(lambda: Front(self.record), *address)
        return front

    def check_alive(self) -> list[str]:
        codes = [process.returncode for process in self.processes]
        return [f"a gateway has ended with {code}" for code in codes if code is not None]


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


def row(number: int) -> str:
    return f"{0x1000 + number * 7919:016x}"


def lane(name: str, deadline_ms: int, aim_ms: int, worth: float = 1.0, **more: Any) -> dict[str, Any]:
    return {
        "name": name, "onTime": aim_ms * 1000, "aimStretch": 1.6, "hardLimit": deadline_ms * 1000,
        "worth": worth, "lateShare": 0.15, "idempotency": "idempotent",
    } | more  # fmt: skip


def settings(
    lanes: list[dict[str, Any]], pass_on: list[bool], notice_ms: int, drain_ms: int
) -> dict[str, Any]:
    """The settings of a small deployment: one shop, two hubs, one vault."""
    return {
        "balancers": 1, "kinds": list(MODELS), "zones": list(ZONES), "myZone": ZONES[0], "lanes": lanes,
        "familyInfo": {
            "shieldKind": 1, "masterKind": 2, "maxAge": [0] * len(lanes), "usableAfter": [0] * len(lanes),
            "passOn": pass_on, "says": "all", "joins": False, "clientKbPerS": 5000.0, "zoneBalancers": [1, 0],
            "purgeSettles": 6_000_000, "noticeTime": notice_ms * 1000, "parentStartsAt": 0.1,
            "upperCold": 15_000_000, "parentBreaksAt": 2.0,
        },
        "limits": {
            "cancel": True, "secondCopies": True, "retryAfter": True, "maxAttempts": 6, "maxOpen": 1000,
            "connectTimeout": 400_000, "connIdle": 30_000_000, "maxStreams": 32, "maxRetryAfter": 1_000_000,
        },
        "rules": {
            "startCapacity": 0.3, "warmWithin": 10_000_000, "fallMultiple": 2.5, "tipAfter": 1_500_000,
            "stopSendingWithin": drain_ms * 1000,
        },
        "tick": 2000, "weights": "rough",
    }  # fmt: skip


def serve_reads(fill_time: float = 0.02) -> Callable[[Cache, Request], Coroutine[Any, Any, Answer]]:
    """Returns what a sound cache does with a read: a copy that is young enough, else a fill, else a miss."""

    async def answer(cache: Cache, request: Request) -> Answer:
        fields = request.fields
        copy, note = cache.copies.get(fields["obj"]), "hit"
        newer = int(fields.get("newer", "0"))
        if copy is not None and newer and unix_ms() - copy.stamp > newer:
            copy = None
        if copy is None:
            if "fetch" not in fields:
                return "not_here", {}, b""
            await asyncio.sleep(fill_time)
            source = next(one for one in cache.rig.caches if one.uid == fields["fetch"])
            copy, note = source.copies.get(fields["obj"]), "filled"
            if copy is None or (newer and unix_ms() - copy.stamp > newer):  # the parent asks the origin
                copy = Copy(unix_ms())
                if source.role == "hub":
                    source.copies[fields["obj"]], note = copy, "via_origin"
            cache.copies[fields["obj"]] = copy
        await asyncio.sleep(0.003)
        body = f"{fields['obj']} {copy.stamp} ".encode() * 40
        extra = {} if note == "hit" else {"took": f"{fill_time * 1000:.0f}"}
        return "served", {"res": note, "version": f"v{copy.stamp}", "stamp": str(copy.stamp), **extra}, body

    return answer


def main(case: Callable[[Rig], Coroutine[Any, Any, list[str]]], folder: Path) -> None:
    """Plays a case; exits with 1 if it returns breaches of the rule, 0 if none, 2 if it can't run."""

    async def play() -> tuple[int, list[str]]:
        async with Rig(folder) as rig:
            try:
                async with asyncio.timeout(100):
                    breaches = await case(rig)
                    breaches += rig.check_alive()
            except (CannotRun, TimeoutError, OSError, AssertionError) as error:
                rig.record.write("cannot-run", why=repr(error))
                return UNABLE, [repr(error)]
            for text in breaches:
                rig.record.write("breach", what=text.replace(" ", "_"))
            rig.record.write("end", trouble=TROUBLE, breaches=len(breaches))
            return (BROKEN if breaches else HELD), breaches

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNABLE))
    code, lines = asyncio.run(play())
    for line in lines[:10]:
        print(line)
    print({HELD: "held", BROKEN: "broken", UNABLE: "could not run"}[code], f"(trouble: {TROUBLE})")
    sys.exit(code)
