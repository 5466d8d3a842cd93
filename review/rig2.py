"""What the cases of the second review share: a small deployment on loopback addresses, with one gateway in a
process of its own (the command `run` of the deploy file) and stand-ins for caches, the bulletin and web
servers in the process of the case. Standard library only.

A case calls `main(case)`; `case(rig)` is a coroutine that returns the broken rules as lines of text, none if
the rule held. `rig.log()` writes a line to record.txt.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110  # of one run; 120 s are allowed
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be played."""


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


# FastCGI, as a web server speaks it

RECORD = struct.Struct(">BBHHBx")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6


def record(kind: int, number: int, content: bytes = b"") -> bytes:
    padding = -len(content) % 8
    return RECORD.pack(1, kind, number, len(content), padding) + content + bytes(padding)


def pair(name: str, value: str) -> bytes:
    return bytes([len(name), len(value)]) + name.encode() + value.encode()


def get_records(number: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    pairs = b"".join(pair(name, value) for name, value in fields.items())
    parts = [record(BEGIN, number, struct.pack(">HB5x", 1, 1)), record(PARAMS, number, pairs),
             record(PARAMS, number)]  # fmt: skip
    if body:
        parts.append(record(STDIN, number, body))
    return b"".join(parts) + record(STDIN, number)


class Answer:
    """A whole answer of the gateway, or the loss of its connection (`lost`)."""

    def __init__(self, status: int, fields: dict[str, str], body: bytes, protocol_status: int, at: float,
                 lost: bool = False) -> None:  # fmt: skip
        self.status, self.fields, self.body, self.protocol_status = status, fields, body, protocol_status
        self.at, self.lost = at, lost

    @property
    def outcome(self) -> str:
        if self.lost:
            return "lost"
        if self.protocol_status == 2 or self.status in (429, 503):
            return "refused"
        return "served" if self.status == 200 and self.protocol_status == 0 else "failed"


class WebServer(asyncio.Protocol):
    """One connection of a web server; `await ask(fields)` sends a request and returns its answer."""

    def __init__(self) -> None:
        self.buffer = b""
        self.output: dict[int, list[bytes]] = {}
        self.waiting: dict[int, asyncio.Future[Answer]] = {}
        self.transport: asyncio.Transport | None = None
        self.closed_at = 0.0
        self.second_answers = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        data, at = self.buffer + data, 0
        while len(data) - at >= 8:
            _, kind, number, size, padding = RECORD.unpack_from(data, at)
            if len(data) - at < 8 + size + padding:
                break
            content, at = data[at + 8 : at + 8 + size], at + 8 + size + padding
            if kind == STDOUT:
                self.output.setdefault(number, []).append(content)
            elif kind == END:
                head, _, body = b"".join(self.output.pop(number, [])).partition(b"\r\n\r\n")
                lines = [line.partition(": ") for line in head.decode("latin-1").split("\r\n")]
                fields = {name: value for name, _, value in lines}
                status = int(fields.get("Status", "0").split(" ")[0])
                future = self.waiting.pop(number, None)
                if future is None:
                    self.second_answers += 1
                elif not future.done():
                    future.set_result(Answer(status, fields, body, content[4], time.time()))
        self.buffer = data[at:]

    def connection_lost(self, error: Exception | None) -> None:
        self.closed_at = time.time()
        for future in self.waiting.values():
            if not future.done():
                future.set_result(Answer(0, {}, b"", 0, time.time(), lost=True))
        self.waiting.clear()

    def send(self, number: int, fields: dict[str, str], body: bytes = b"") -> asyncio.Future[Answer]:
        assert self.transport is not None
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        self.transport.write(get_records(number, fields, body))
        return future

    def abort(self, number: int) -> None:
        assert self.transport is not None
        self.transport.write(record(ABORT, number))


# RESP, as a cache speaks it


class Command:
    """A command that a cache received, with the time at which it had come whole."""

    def __init__(self, parts: list[bytes], at: float, began: float) -> None:
        self.word, self.ident, self.at, self.began = parts[0].decode(), parts[1].decode(), at, began
        text = parts[2].decode() if len(parts) > 2 else "-"
        self.fields = dict(item.split("=", 1) for item in text.split(",")) if text != "-" else {}
        self.body = parts[3] if len(parts) > 3 else b""


class CacheLink(asyncio.Protocol):
    """One connection from the gateway to a cache."""

    def __init__(self, cache: Cache) -> None:
        self.cache, self.buffer, self.began = cache, b"", 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.cache.links.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.cache.links.remove(self)

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.began = time.time()
        self.buffer += data
        while (found := self.read_command()) is not None:
            command = Command(found, time.time(), self.began)
            self.cache.commands.append(command)
            self.cache.rig.log(f"{self.cache.name} <- {command.word} {command.ident} {command.fields}")
            if command.word == "REQ":
                asyncio.get_running_loop().create_task(self.cache.serve(self, command))

    def read_command(self) -> list[bytes] | None:
        data = self.buffer
        end = data.find(b"\r\n")
        if end < 0:
            return None
        count, at, parts = int(data[1:end]), end + 2, list[bytes]()
        for _ in range(count):
            end = data.find(b"\r\n", at)
            if end < 0:
                return None
            size, at = int(data[at + 1 : end]), end + 2
            if len(data) < at + size + 2:
                return None
            parts.append(data[at : at + size])
            at += size + 2
        self.buffer = data[at:]
        return parts

    def answer(self, command: Command, word: str, fields: dict[str, str], body: bytes = b"") -> None:
        listed = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        parts = (command.ident.encode(), word.encode(), listed.encode(), body)
        data = b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
        if not self.transport.is_closing():
            self.cache.rig.log(f"{self.cache.name} -> {word} {command.ident} {fields} {len(body)} bytes")
            self.transport.write(data)


class Cache:
    """A cache, parent or origin. `handler(link, command)` serves a request; by default a hit is answered."""

    def __init__(self, rig: Rig, name: str, number: int, model: str, zone: str) -> None:
        self.rig, self.name, self.number, self.model, self.zone = rig, name, number, model, zone
        self.state, self.started_ms, self.units, self.cell = "ready", 0, 8.0, 0
        self.port = 0
        self.commands: list[Command] = []
        self.links: list[CacheLink] = []
        self.server: asyncio.Server | None = None
        self.handler: Callable[[CacheLink, Command], Awaitable[None]] | None = None

    @property
    def uid(self) -> str:
        return f"s-{self.number:08x}"

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: CacheLink(self), HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def close_door(self) -> None:
        """From now on connections to the cache come up late: what asks for one is not accepted until
        `open_door`. The queue of the listening socket holds one connection, which is the stand-in's own;
        the system passes over what else asks to connect, and the other side asks again after a second."""
        if self.server is not None:
            self.server.close()
        self.door = socket.socket()
        self.door.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.door.bind((HOST, self.port))
        self.port = self.door.getsockname()[1]
        self.door.listen(0)
        self.in_door = socket.create_connection((HOST, self.port))
        probe = socket.socket()
        probe.settimeout(0.2)
        try:
            probe.connect((HOST, self.port))
        except TimeoutError:
            return
        finally:
            probe.close()
        raise CannotRun("a connection came up although the queue was full")

    async def open_door(self) -> None:
        self.in_door.close()
        self.server = await asyncio.get_running_loop().create_server(lambda: CacheLink(self), sock=self.door)

    async def serve(self, link: CacheLink, command: Command) -> None:
        if self.handler is not None:
            await self.handler(link, command)
            return
        stamp = int(time.time() * 1000) - 1000
        link.answer(command, "served", {"res": "hit", "version": "a1", "stamp": str(stamp)}, b"object")

    def entry(self) -> dict[str, object]:
        return {"uid": self.uid, "endpoint": f"{HOST}:{self.port}", "az": self.zone, "model": self.model,
                "pod_group": self.cell, "state": self.state, "capacity_hint": self.units,
                "boot_ms": self.started_ms}  # fmt: skip

    def line(self) -> bytes:
        return struct.pack(
            ">I4sHBBBHIQ", self.number, bytes(map(int, HOST.split("."))), self.port,
            ("ready", "draining", "gone").index(self.state), self.rig.zones.index(self.zone),
            self.rig.models.index(self.model), self.cell, round(self.units * 1000), self.started_ms,
        )  # fmt: skip


class BulletinLink(asyncio.Protocol):
    def __init__(self, bulletin: Bulletin) -> None:
        self.bulletin, self.received, self.sent = bulletin, b"", -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.bulletin.links.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.bulletin.links.remove(self)

    def data_received(self, data: bytes) -> None:
        self.received += data
        if self.sent < 0 and len(self.received) >= 8:
            self.sent = int.from_bytes(self.received[:8], "big")
            self.bulletin.rig.log(f"bulletin <- asks for what follows event {self.sent}")
            self.catch_up()

    def catch_up(self) -> None:
        while 0 <= self.sent < self.bulletin.last:
            self.sent += 1
            self.transport.write(self.bulletin.frames[self.sent])
            self.bulletin.rig.log(f"bulletin -> event {self.sent}")


class Bulletin:
    """The bulletin: event 1 is the whole list, which the configuration holds too."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.links, self.frames, self.last, self.port = rig, list[BulletinLink](), {}, 1, 0
        self.frames: dict[int, bytes]

    async def listen(self) -> None:
        server = await asyncio.get_running_loop().create_server(lambda: BulletinLink(self), HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().create_task(self.beat())

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for link in self.links:
                if link.sent >= 0:
                    link.transport.write(struct.pack(">IQB", 9, link.sent, 0))

    def publish(self, kind: int, payload: bytes) -> float:
        """Adds an event; returns the time at which it was told."""
        self.last += 1
        self.frames[self.last] = struct.pack(">IQB", 9 + len(payload), self.last, kind) + payload
        told = time.time()
        for link in self.links:
            link.catch_up()
        return told

    def tell_list(self, *caches: Cache) -> float:
        return self.publish(2, b"".join(cache.line() for cache in caches))

    def purge_object(self, object_id: str, issued_ms: int) -> float:
        return self.publish(3, struct.pack(">QQ", int(object_id, 16), issued_ms))

    def purge_group(self, group: int, issued_ms: int) -> float:
        return self.publish(4, struct.pack(">HQ", group, issued_ms))


class Rig:
    """One deployment of one gateway, three caches, two hubs and the vault."""

    def __init__(self, folder: Path, record_file: Path) -> None:
        self.zones, self.models = ["shop", "hubs"], ["box", "hub", "vault"]
        self.folder, self.record_file = folder, record_file.open("w")
        self.started = time.time()
        names = [*(f"cache-{n}" for n in (1, 2, 3)), "hub-1", "hub-2", "vault"]
        self.nodes: dict[str, Cache] = {}
        for number, name in enumerate(names, 1):
            model = {"cache": "box", "hub": "hub", "vault": "vault"}[name.partition("-")[0]]
            self.nodes[name] = Cache(self, name, number, model, "shop" if model == "box" else "hubs")
        self.bulletin = Bulletin(self)
        self.port = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.settings = self.base_settings()
        self.number = 0

    def log(self, text: str) -> None:
        self.record_file.write(f"{time.time() - self.started:9.4f} {text}\n")

    def base_settings(self) -> dict[str, object]:
        """Settings as the pages state them: times in microseconds; `tait-reader`'s classes and limits."""
        lanes = [
            {"name": "pages", "onTime": 600_000, "aimStretch": 1.6, "hardLimit": 6_000_000, "worth": 2.0,
             "lateShare": 0.15, "idempotency": "idempotent"},
            {"name": "thumbs", "onTime": 400_000, "aimStretch": 2.0, "hardLimit": 2_500_000, "worth": 1.0,
             "lateShare": 0.2, "idempotency": "idempotent"},
            {"name": "unlock", "onTime": 800_000, "aimStretch": 1.6, "hardLimit": 3_000_000, "worth": 3.0,
             "lateShare": 0.0, "idempotency": "deduplicated", "keyScope": "all", "dedupWindow": 3_000_000},
        ]  # fmt: skip
        return {
            "balancers": 1, "kinds": self.models, "zones": self.zones, "myZone": "shop", "lanes": lanes,
            "familyInfo": {
                "shieldKind": 1, "masterKind": 2, "maxAge": [0, 8_000_000, 0], "usableAfter": [0, 0, 0],
                "passOn": [False, False, True], "says": "all", "joins": False, "clientKbPerS": 4000.0,
                "zoneBalancers": [1, 0], "purgeSettles": 6_000_000, "noticeTime": 300_000,
                "parentStartsAt": 0.061, "upperCold": 21_000_000, "parentBreaksAt": 2.0, "sideways": "any",
            },
            "limits": {
                "cancel": True, "secondCopies": True, "retryAfter": True, "maxAttempts": 8, "maxOpen": 20_000,
                "connectTimeout": 400_000, "connIdle": 30_000_000, "maxStreams": 32,
                "maxRetryAfter": 1_000_000,
            },
            "rules": {"startCapacity": 0.21, "warmWithin": 17_000_000, "fallMultiple": 2.5,
                      "tipAfter": 2_000_000, "stopSendingWithin": 1_000_000, "answerSlack": 8000},
            "report": {"names": ["load_share", "x1", "x0"], "via": "answers"},
            "tick": 2000, "weights": "rough",
        }  # fmt: skip

    async def open(self) -> None:
        for node in self.nodes.values():
            if node.port == 0:
                await node.listen()
        await self.bulletin.listen()
        self.bulletin.frames[1] = struct.pack(">IQB", 9 + 27 * len(self.nodes), 1, 1) + b"".join(
            node.line() for node in self.nodes.values()
        )
        self.port = free_port()
        self.write_config()

    def write_config(self, bulletin_port: int = 0) -> Path:
        roster = {"rev": 1, "all": True, "targets": [node.entry() for node in self.nodes.values()]}
        document = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "seed": "8c1f30d27a5be964", "limits": self.limits,
            "bulletin": f"{HOST}:{bulletin_port or self.bulletin.port}",
            "known": {"no": 1, "items": [{"no": 1, "roster": roster}]}, "settings": self.settings,
        }  # fmt: skip
        path = self.folder / "config.json"
        path.write_text(json.dumps(document, indent=1))
        return path

    async def start_gateway(self) -> None:
        """Starts the gateway with the command of the deploy file, and waits until it answers /healthz."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        place = {"ROUTER_NAME": "n0", "ROUTER_LISTEN": f"{HOST}:{self.port}"}
        environment = {**os.environ, **place, "ROUTER_CONFIG": str(self.folder / "config.json")}
        with (self.folder / "gateway.log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )  # fmt: skip
        self.log(f"gateway started: {run}")
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun("the gateway ended at its start")
            try:
                client = await self.connect()
            except OSError:
                await asyncio.sleep(0.1)
                continue
            answer = await client.send(1, {"SCRIPT_NAME": "/healthz"})
            assert client.transport is not None
            client.transport.close()
            if answer.outcome == "served":
                self.log("gateway ready")
                return
        raise CannotRun("the gateway was not ready within 30 s")

    async def connect(self) -> WebServer:
        loop = asyncio.get_running_loop()
        _, client = await loop.create_connection(WebServer, HOST, self.port)
        return client

    def fields(self, service: str, object_id: str, ttl_ms: int, **more: str) -> dict[str, str]:
        """Returns the fields of a new request; each has an id of its own."""
        self.number += 1
        return {"SCRIPT_NAME": f"/v1/{service}", "HTTP_X_TXN": f"{0xC0DE << 32 | self.number:016x}",
                "HTTP_X_TTL_MS": str(ttl_ms), "HTTP_X_ROW": object_id, "HTTP_X_SLICE": "0",
                "HTTP_X_SET": "17", **more}  # fmt: skip

    def signal_gateway(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.log(f"gateway gets {number.name}")
        self.process.send_signal(number)

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        log = self.folder / "gateway.log"
        if log.exists():
            self.record_file.write("log of the gateway:\n" + log.read_text(errors="replace"))
        self.record_file.close()


def main(case: Callable[[Rig], Awaitable[list[str]]], file: str) -> None:
    """Plays a case; exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    code, lines = 2, list[str]()
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder), Path(file).resolve().parent / "record.txt")

        async def play() -> list[str]:
            return await asyncio.wait_for(case(rig), LIMIT_S)

        try:
            lines = asyncio.run(play())
            code = 1 if lines else 0
        except (CannotRun, OSError, TimeoutError, AssertionError) as error:
            lines = [f"could not run: {type(error).__name__}: {error}"]
            rig.log(traceback.format_exc())
        finally:
            verdict = {0: "held", 1: "BROKEN", 2: "not run"}[code]
            for line in [*lines, f"verdict: {verdict}, trouble: {TROUBLE}"]:
                rig.log(line)
                print(line)
            rig.close()
    sys.exit(code)
