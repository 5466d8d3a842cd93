"""Stand-ins for the parties around a gateway, on loopback: caches, the bulletin and FastCGI clients.

Written from the operators' pages only; nothing of the project is imported. `Gateway` starts the project's
program by the `run` command of deploy/balancer.toml. `Record` collects what was sent, answered and run.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
RECORD = struct.Struct(">BBHHBx")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
SHOP, KINDS, STATES = "shop-1", ("box", "hub", "vault"), ("ready", "draining", "gone")


class Record:
    """The file record.txt of a case: one line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def line(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        self.line(text)
        self.file.flush()
        print(text, flush=True)


def settings(**changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment: the figures of the site tait-reader, one gateway."""
    lanes: list[dict[str, Any]] = [
        {"name": "pages", "onTime": 600_000, "aimStretch": 1.6, "hardLimit": 6_000_000, "worth": 2.0,
         "lateShare": 0.15, "idempotency": "idempotent", "keyScope": "all", "dedupWindow": 5_000_000,
         "streaming": False},
        {"name": "thumbs", "onTime": 400_000, "aimStretch": 2.0, "hardLimit": 2_500_000, "worth": 1.0,
         "lateShare": 0.2, "idempotency": "idempotent", "keyScope": "all", "dedupWindow": 5_000_000,
         "streaming": False},
        {"name": "unlock", "onTime": 800_000, "aimStretch": 0.0, "hardLimit": 3_000_000, "worth": 3.0,
         "lateShare": 0.0, "idempotency": "deduplicated", "keyScope": "all", "dedupWindow": 3_000_000,
         "streaming": False},
    ]  # fmt: skip
    found: dict[str, Any] = {
        "balancers": 1, "clients": {"marksRetry": True}, "countedBy": "request", "customers": [],
        "family": "edge", "kinds": list(KINDS), "zones": ["hubs", SHOP], "myZone": SHOP, "ordinal": 0,
        "lanes": lanes, "layers": ["page-cache"], "membershipMode": "automatic", "tick": 2000, "tier": 0,
        "weights": "rough", "report": {"names": ["util", "x1", "x0"], "via": "answers"},
        "familyInfo": {
            "shieldKind": 1, "masterKind": 2, "maxAge": [0, 8_000_000, 0], "usableAfter": [0, 0, 0],
            "passOn": [False, False, True], "passThroughOk": False, "says": "all", "joins": False,
            "clientKbPerS": 7300.0, "zoneBalancers": [0, 1], "zoneHub": [0, 0], "purgeSettles": 6_000_000,
            "noticeTime": 300_000, "parentStartsAt": 0.061, "upperCold": 21_000_000, "parentBreaksAt": 2.0,
            "sideways": "any", "segmented": [False, False, False], "agedWorth": [0.7, 0.7, 0.7],
            "inletKbPerS": [0.0, 60_000.0],
        },
        "limits": {
            "cancel": True, "secondCopies": True, "retryAfter": True, "probes": False, "peerMessages": False,
            "maxAttempts": 8, "maxOpen": 20_000, "connectTimeout": 400_000, "connIdle": 30_000_000,
            "maxStreams": 32, "maxRetryAfter": 1_000_000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 1_000_000,
        },
        "rules": {
            "answerSlack": 5000, "askWithin": 10_000_000, "startCapacity": 0.21, "warmWithin": 17_000_000,
            "fallMultiple": 2.5, "tipAfter": 2_000_000, "stopSendingWithin": 1_000_000,
        },
    }  # fmt: skip
    for name, value in changes.items():
        found[name] = {**found[name], **value} if isinstance(value, dict) else value
    return found


# --- caches, parents and the origin ---------------------------------------------------------------------


@dataclass(slots=True)
class Command:
    """A REQ as it came to a cache."""

    ident: str
    fields: dict[str, str]
    body: bytes
    at: float  # monotonic time of its last byte


def bulk(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def content(fields: dict[str, str], size: int) -> bytes:
    """Returns the bytes of an object's part, which repeat its name."""
    text = f"{fields['kind']}/{fields['obj']}/{fields['seg']} ".encode()
    return (text * (size // len(text) + 1))[:size]


Answer = tuple[str, dict[str, str], bytes]  # word, fields, body
Server = Callable[["Cache", Command], Awaitable[Answer | None]]  # None: no answer ever


class Cache:
    """One cache, parent or origin: listens, decodes commands, and answers as `serve` says."""

    def __init__(self, id: int, kind: int, record: Record, serve: Server, capacity: float = 24.0) -> None:
        self.id, self.kind, self.record, self.serve, self.capacity = id, kind, record, serve, capacity
        self.uid, self.state, self.boot_ms, self.port = f"s-{id:08x}", 0, 0, 0
        self.received: list[Command] = []
        self.open: dict[tuple[int, str], asyncio.Task[None]] = {}
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.connection, LOOPBACK, 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"{LOOPBACK}:{self.port}",
            "az": SHOP if not self.kind else "hubs",
            "model": KINDS[self.kind],
            "pod_group": 0,
            "state": STATES[self.state],
            "capacity_hint": self.capacity,
            "boot_ms": self.boot_ms,
        }

    def packed(self) -> bytes:
        zone, weight = 0 if self.kind else 1, round(self.capacity * 1000)
        where = socket.inet_aton(LOOPBACK) + struct.pack(">H", self.port)
        rest = struct.pack(">BBBHIQ", self.state, zone, self.kind, 0, weight, self.boot_ms)
        return struct.pack(">I", self.id) + where + rest

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        key = id(writer)
        try:
            while True:
                count = int((await reader.readuntil(b"\r\n"))[1:])
                parts = []
                for _ in range(count):
                    size = int((await reader.readuntil(b"\r\n"))[1:])
                    parts.append((await reader.readexactly(size + 2))[:-2])
                ident = parts[1].decode()
                if parts[0] == b"HELO":
                    writer.write(bulk(parts[1], b"green", b"-", b""))
                elif parts[0] == b"STOP":
                    self.record.line(f"{self.uid} got STOP {ident}")
                    if (task := self.open.pop((key, ident), None)) is not None:
                        task.cancel()
                else:
                    text = parts[2].decode()
                    fields = dict(pair.partition("=")[::2] for pair in text.split(",")) if text != "-" else {}
                    command = Command(ident, fields, parts[3], time.monotonic())
                    self.received.append(command)
                    self.record.line(f"{self.uid} got REQ {ident} {text}")
                    self.open[key, ident] = asyncio.create_task(self.answer(command, writer, key))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            for found in [found for found in self.open if found[0] == key]:
                self.open.pop(found).cancel()
            writer.close()

    async def answer(self, command: Command, writer: asyncio.StreamWriter, key: int) -> None:
        answer = await self.serve(self, command)
        if answer is None:
            await asyncio.sleep(3600)
            return
        word, fields, body = answer
        text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        self.open.pop((key, command.ident), None)
        self.record.line(f"{self.uid} answers {command.ident} {word} {text} {len(body)} bytes")
        writer.write(bulk(command.ident.encode(), word.encode(), text.encode(), body))


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


# --- the bulletin ---------------------------------------------------------------------------------------


class Bulletin:
    """The bulletin: numbered events; `latency` seconds pass between each write and its arrival."""

    def __init__(
        self, record: Record, latency: float = 0.0, log: list[tuple[int, bytes]] | None = None
    ) -> None:
        self.record, self.latency = record, latency
        self.events: list[tuple[int, bytes]] = [] if log is None else log  # kind and payload, from number 1
        self.changed = asyncio.Condition()
        self.port, self.connections = 0, 0
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.connection, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def publish(self, kind: int, payload: bytes, what: str) -> None:
        async with self.changed:
            self.events.append((kind, payload))
            self.changed.notify_all()
        self.record.say(f"bulletin: event {len(self.events)}: {what}")

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number, name = self.connections, f"bulletin connection {self.connections}"
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        sender = asyncio.create_task(self.deliver(queue, writer, name))
        try:
            last = int.from_bytes(await reader.readexactly(8), "big")
            self.record.line(f"{name}: opened, asks for the events after {last}")
            watcher = asyncio.create_task(self.watch(last, queue))
            try:
                await reader.read(1)  # the gateway closes
            finally:
                watcher.cancel()
            self.record.line(f"bulletin connection {number}: closed by the gateway")
        except (asyncio.IncompleteReadError, ConnectionError):
            self.record.line(f"{name}: broken")
        finally:
            sender.cancel()
            writer.close()

    async def watch(self, last: int, queue: asyncio.Queue[tuple[float, bytes]]) -> None:
        while True:
            for kind, payload in self.events[last:]:
                last += 1
                queue.put_nowait(
                    (time.monotonic(), struct.pack(">IQB", 9 + len(payload), last, kind) + payload)
                )
            queue.put_nowait((time.monotonic(), struct.pack(">IQB", 9, last, 0)))
            try:
                async with asyncio.timeout(1.0), self.changed:
                    await self.changed.wait_for(lambda: len(self.events) > last)  # noqa: B023
            except TimeoutError:
                pass

    async def deliver(
        self, queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter, name: str
    ) -> None:
        while True:
            at, data = await queue.get()
            await asyncio.sleep(max(0.0, at + self.latency - time.monotonic()))
            writer.write(data)
            if data[12]:
                self.record.line(f"{name}: event {int.from_bytes(data[4:12], 'big')} arrives")


# --- clients --------------------------------------------------------------------------------------------


def record(kind: int, id: int, body: bytes = b"") -> bytes:
    return RECORD.pack(1, kind, id, len(body), -len(body) % 8) + body + bytes(-len(body) % 8)


def length(size: int) -> bytes:
    return bytes([size]) if size < 128 else struct.pack(">I", size | 1 << 31)


def fastcgi_request(id: int, path: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    params = b""
    for name, value in {"SCRIPT_NAME": path, **fields}.items():
        params += length(len(name)) + length(len(value)) + name.encode() + value.encode()
    return (record(BEGIN, id, struct.pack(">HB5x", 1, 1)) + record(PARAMS, id, params) + record(PARAMS, id)
            + (record(STDIN, id, body) if body else b"") + record(STDIN, id))  # fmt: skip


@dataclass(slots=True)
class Final:
    """What a client got for one request."""

    outcome: str  # served, refused, failed, or lost: the connection ended without a whole answer
    at: float
    body: bytes = b""


@dataclass(slots=True)
class Open:
    done: asyncio.Future[Final]
    output: bytearray = field(default_factory=bytearray)


class Client:
    """One connection of a web server to the gateway; it carries many requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, log: Record) -> None:
        self.reader, self.writer, self.log = reader, writer, log
        self.requests: dict[int, Open] = {}
        self.ended = ""
        self.task = asyncio.create_task(self.run())

    @classmethod
    async def connect(cls, port: int, log: Record) -> Client:
        return cls(*await asyncio.open_connection(LOOPBACK, port), log)

    def expect(self, id: int) -> asyncio.Future[Final]:
        """Returns the future of the answer to a request whose bytes the caller writes."""
        done: asyncio.Future[Final] = asyncio.get_running_loop().create_future()
        self.requests[id] = Open(done)
        if self.ended:
            done.set_result(Final("lost", time.monotonic()))
        return done

    def send(self, id: int, path: str, fields: dict[str, str], body: bytes = b"") -> asyncio.Future[Final]:
        done = self.expect(id)
        self.writer.write(fastcgi_request(id, path, fields, body))
        return done

    async def run(self) -> None:
        try:
            while True:
                _, kind, id, size, padding = RECORD.unpack(await self.reader.readexactly(8))
                data = (await self.reader.readexactly(size + padding))[:size]
                if (found := self.requests.get(id)) is None:
                    continue
                if kind == STDOUT:
                    found.output += data
                elif kind == END:
                    del self.requests[id]
                    found.done.set_result(final(bytes(found.output), data[4]))
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.ended = type(error).__name__
        finally:
            for found in self.requests.values():
                if not found.done.done():
                    found.done.set_result(Final("lost", time.monotonic()))

    def close(self) -> None:
        self.writer.close()


def final(output: bytes, protocol_status: int) -> Final:
    head, _, body = output.partition(b"\r\n\r\n")
    status = next((line.split(b" ")[1] for line in head.split(b"\r\n") if line.startswith(b"Status:")), b"")
    if protocol_status == 2 or status in (b"429", b"503"):
        return Final("refused", time.monotonic())
    return Final("served" if status == b"200" else "failed", time.monotonic(), body)


def outcomes(finals: list[Final]) -> dict[str, int]:
    """Counts the answers by outcome."""
    return {
        name: sum(found.outcome == name for found in finals)
        for name in ("served", "refused", "failed", "lost")
    }


def get_fields(rng: random.Random, ttl_ms: int, object_id: str = "", token: bool = False) -> dict[str, str]:
    fields = {"HTTP_X_TXN": f"{rng.getrandbits(64):016x}", "HTTP_X_TTL_MS": str(ttl_ms),
              "HTTP_X_ROW": object_id or f"{rng.getrandbits(64):016x}", "HTTP_X_SLICE": "0",
              "HTTP_X_SET": str(rng.randrange(256))}  # fmt: skip
    return {**fields, "HTTP_X_TXN_KEY": f"{rng.getrandbits(128):032x}"} if token else fields


# --- the gateway ----------------------------------------------------------------------------------------


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


class Gateway:
    """One gateway, started by the command `run` of the deploy file."""

    def __init__(self, log: Record, caches: list[Cache], bulletin: int, found: dict[str, Any],
                 memory_mb: int = 80, sockets: int = 608) -> None:  # fmt: skip
        self.log, self.port = log, free_port()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.path = Path(self.folder.name) / "config.json"
        listed = {"rev": 1, "all": True, "targets": [cache.entry() for cache in caches]}
        self.config = {
            "name": "n0", "listen": f"{LOOPBACK}:{self.port}", "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "bulletin": f"{LOOPBACK}:{bulletin}", "flow_bytes_per_s": 7_300_000,
            "link_bytes_per_s": 29_200_000, "known": {"no": 1, "items": [{"no": 1, "roster": listed}]},
            "settings": found,
        }  # fmt: skip
        self.write()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {**os.environ, "ROUTER_NAME": "n0", "ROUTER_LISTEN": self.config["listen"],
                       "ROUTER_CONFIG": str(self.path), "TMPDIR": self.folder.name}  # fmt: skip
        self.output = (Path(self.folder.name) / "gateway.log").open("w+b")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=self.output, stderr=self.output
        )

    def write(self) -> None:
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.replace(self.path)

    def move_bulletin(self, port: int) -> None:
        """Replaces the configuration by one with another address of the bulletin, and sends SIGHUP."""
        self.config["bulletin"] = f"{LOOPBACK}:{port}"
        self.write()
        self.process.send_signal(signal.SIGHUP)

    async def ready(self) -> bool:
        """Waits until /healthz is answered with status 200."""
        until = time.monotonic() + 30
        while time.monotonic() < until and self.process.poll() is None:
            try:
                client = await Client.connect(self.port, self.log)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            answer = await client.send(1, "/healthz", {})
            client.close()
            if answer.outcome == "served":
                return True
        return False

    def memory_kb(self, field_name: str) -> int:
        """Returns a field of the process's status, in KB; 0 once it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        return next(
            (int(line.split()[1]) for line in text.splitlines() if line.startswith(field_name + ":")), 0
        )

    def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Ends the gateway and copies its log into the record."""
        if self.process.poll() is None:
            self.process.send_signal(number)
        try:
            code = self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = self.process.wait()
        self.output.seek(0)
        for line in self.output.read().decode(errors="replace").splitlines():
            self.log.line(f"gateway log: {line}")
        self.output.close()
        self.folder.cleanup()
        return code


# --- a case ---------------------------------------------------------------------------------------------


def trouble() -> bool:
    """Returns whether the disruption is to be played; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


async def start(log: Record, caches: list[Cache], bulletin: Bulletin, found: dict[str, Any],
                memory_mb: int = 80, sockets: int = 608) -> Gateway:  # fmt: skip
    """Opens the stand-ins, with all caches in the list, and starts a gateway; raises RuntimeError."""
    for cache in caches:
        await cache.listen()
    await bulletin.listen()
    bulletin.events.append((1, b"".join(cache.packed() for cache in caches)))
    gateway = Gateway(log, caches, bulletin.port, found, memory_mb, sockets)
    if not await gateway.ready():
        gateway.stop()
        raise RuntimeError("the gateway did not become ready")
    return gateway


def main(folder: Path, play: Callable[[Record], Coroutine[Any, Any, int]]) -> None:
    """Plays a case and ends the process: 0 the rule held, 1 it was broken, 2 the case could not run."""
    log = Record(folder)

    def interrupted(number: int, _: object) -> None:
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, interrupted)  # so that the gateway is ended in any case

    async def run() -> int:
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: log.line(f"stand-in: {context['message']}")
        )
        return await play(log)

    try:
        code = asyncio.run(run())
    except Exception:
        log.say(traceback.format_exc())
        code = 2
    log.say(f"{'with' if trouble() else 'without'} the disruption: exit code {code}")
    sys.stdout.flush()
    os._exit(code)
