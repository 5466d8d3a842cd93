"""Tests of what one client or cache can make a gateway hold or work through, some with a gateway in a process
of its own and floods from others.
"""

from __future__ import annotations

import gc
import json
import os
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from struct import pack
from unittest import TestCase, mock

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from damsonstream.protocol import fastcgi, resp
from damsonstream.transport.front import ClientListener
from damsonstream.transport.memory import ConnectionMemory, RequestMemory
from tests import known_red
from tests.helpers import BEGIN_CONTENT, ScenarioCase, StandIn, get_fields, get_records
from tests.known_red import BrokenBound
from tests.test_gateway import GatewayHarness, LoopbackFixture, config_document, pad_ident, read_answers

ROOT = Path(__file__).resolve().parent.parent
MAX_BODY = bytes(48_000)
MEMORY_MB, SOCKETS = 80, 608
LATE_S = 0.5  # after the time of a GET: an answer that comes later counts as lost
FLOODS = 4  # processes
FLOOD_S = 2.0


def get_own_fields(ident: str, **more: str) -> dict[str, str]:
    """Returns the fields of a GET for an object that no other GET is for."""
    return get_fields(ident, HTTP_X_ROW=ident.rjust(16, "0"), **more)


class AnsweringCache(StandIn):
    """A cache that answers each forward after a time."""

    async def answer(self, delay_s: float) -> None:
        answered = 0
        while True:
            await anyio.sleep(delay_s)
            commands, answered = self.commands[answered:], len(self.commands)
            idents = [command[1] for command in commands if command[0] == b"REQ"]
            answers = b"".join(resp.array(ident, b"served", b"res=hit", b"object") for ident in idents)
            for stream in self.streams if answers else ():
                with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                    await stream.send(answers)


class GatewayProcess:
    """A gateway in a process of its own, with one cache that answers, and perhaps one that floods it."""

    def __init__(self, process: subprocess.Popen[bytes], address: tuple[str, int]) -> None:
        self.process, self.address = process, address

    async def connect(self) -> SocketStream:
        return await anyio.connect_tcp(*self.address)

    def memory_mb(self) -> float:
        """Returns the memory of the process, without pages of files."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("RssAnon:")) / 1024


@asynccontextmanager
async def run_gateway(
    group: TaskGroup, delay_s: float = 0.01, flooding_cache: str = ""
) -> AsyncIterator[GatewayProcess]:
    cache = AnsweringCache()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    group.start_soon(listener.serve, cache.cache)
    group.start_soon(cache.answer, delay_s)
    endpoints = [f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}", flooding_cache]
    targets = [
        {"uid": f"s-{n:08x}", "endpoint": endpoint, "az": "shop", "model": "box", "state": "ready"}
        for n, endpoint in enumerate(endpoints)
        if endpoint
    ]
    roster = {"rev": 1, "all": True, "targets": targets}
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    document = config_document(limits=limits, known={"no": 1, "items": [{"roster": roster}]})
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_text(json.dumps(document))
        command = [sys.executable, "-m", "damsonstream", "serve", "--config", str(file)]
        process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)
        try:
            host, _, port = document["listen"].rpartition(":")
            gateway = GatewayProcess(process, (host, int(port)))
            await wait_until_ready(gateway)
            yield gateway
        finally:
            process.kill()
            process.wait()


async def wait_until_ready(gateway: GatewayProcess) -> None:
    with anyio.fail_after(30):
        while True:
            try:
                client = await gateway.connect()
                await client.send(get_records(1, {"SCRIPT_NAME": "/healthz"}))
                await read_answers(client, 1)
            except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
                await anyio.sleep(0.05)
            else:
                return


async def measure_answers(gateway: GatewayProcess, ttl_ms: int, seconds: float) -> list[float]:
    """Sends ten GETs a second; returns the seconds that each answer took."""
    client, latencies = await gateway.connect(), list[float]()

    async def send(number: int) -> None:
        started = time.monotonic()
        await client.send(get_records(1, get_own_fields(f"{number:x}e0", HTTP_X_TTL_MS=str(ttl_ms))))
        await read_answers(client, 1)
        latencies.append(time.monotonic() - started)

    for number in range(int(seconds * 10)):
        started = time.monotonic()
        await send(number)
        await anyio.sleep(max(0.0, started + 0.1 - time.monotonic()))
    return latencies


class FloodCase(ScenarioCase):
    LIMIT_S = 60

    def setUp(self) -> None:
        self.disable_logging()


class Memory(FloodCase):
    """Against the failure in which many clients with whole writes got a gateway killed for its memory."""

    def test_writes_of_many_clients_stay_within_the_memory(self) -> None:
        """40 clients each send as many writes at once as a connection may carry, and the cache is slow. The
        gateway stays under its memory limit, answers each write, and refuses none of a client with few."""

        async def scenario(group: TaskGroup) -> None:
            async with run_gateway(group, delay_s=0.3) as gateway:
                answers, peak = list[str](), 0.0

                async def flood(number: int) -> None:
                    client = await gateway.connect()
                    fields = [get_own_fields(f"{number:x}a{n:02x}f", HTTP_X_TTL_MS="2000") for n in range(32)]
                    batch = b"".join(get_records(n + 1, fields[n], MAX_BODY) for n in range(32))
                    async with anyio.create_task_group() as both:
                        both.start_soon(client.send, batch)
                        answers.extend(await read_answers(client, 32))

                async def watch() -> None:
                    nonlocal peak
                    while True:
                        peak = max(peak, gateway.memory_mb())
                        await anyio.sleep(0.01)

                async def send_few() -> list[str]:
                    client, lines = await gateway.connect(), list[str]()
                    for number in range(20):
                        records = get_records(1, get_own_fields(f"{number:x}0"), MAX_BODY)
                        await client.send(records)
                        lines += await read_answers(client, 1)
                        await anyio.sleep(0.05)
                    return lines

                group.start_soon(watch)
                async with anyio.create_task_group() as floods:
                    for number in range(40):
                        floods.start_soon(flood, number)
                    lines = await send_few()
                self.assertEqual(len(answers), 40 * 32)
                self.assertLess(peak, MEMORY_MB)
                self.assertFalse([line for line in lines if line.endswith("end 2")])
                self.assertGreater(sum("200 OK" in line for line in lines), 10, lines)

        self.run_scenario(scenario)

    def test_share_of_one_connection(self) -> None:
        """A connection gets the memory of its open requests while few use any, its guaranteed part always,
        and all together never exceed the limit."""
        memory = RequestMemory(20_000_000, 202, fastcgi.MAX_REQUEST_MEMORY)
        heavy = [ConnectionMemory(memory) for _ in range(150)]
        self.assertTrue(all(heavy[0].reserve(fastcgi.REQUEST_OVERHEAD_BYTES + 48_000) for _ in range(32)))
        for connection in heavy:
            while connection.reserve(1_000):
                pass
        light = [ConnectionMemory(memory) for _ in range(52)]
        self.assertTrue(all(connection.reserve(fastcgi.MAX_REQUEST_MEMORY) for connection in light))
        self.assertLessEqual(memory.used, memory.limit)
        for connection in (*heavy, *light):
            connection.release(connection.used)
        self.assertEqual((memory.used, memory.shared_used), (0, 0))

    def test_decoded_parameters_are_counted(self) -> None:
        """Parameters of two bytes each take many times the memory of their text."""
        memory = RequestMemory(1_000_000, 1, fastcgi.MAX_REQUEST_MEMORY)
        decoder = fastcgi.Decoder(ConnectionMemory(memory))
        pairs = b"".join(fastcgi.pair(pack(">H", n), b"") for n in range(4_000))
        tracemalloc.start()
        try:
            for id in range(1, 33):
                records = ((fastcgi.BEGIN, BEGIN_CONTENT), (fastcgi.PARAMS, pairs), (fastcgi.PARAMS, b""))
                decoder.feed(b"".join(fastcgi.record(kind, id, content) for kind, content in records))
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(held, memory.limit)

    def test_whole_requests_before_a_bad_record_are_released(self) -> None:
        """A bad record ends the connection. Whole requests just before it hold no memory then."""
        memory = RequestMemory(1_000_000, 1, fastcgi.MAX_REQUEST_MEMORY)
        whole, bad = get_records(1, {"A": "1"}, MAX_BODY), bytes(8)
        for size in range(1, 9):  # records of a step
            decoder = fastcgi.Decoder(ConnectionMemory(memory))
            with self.assertRaisesRegex(fastcgi.ProtocolError, "bad-record"):
                data = whole + bad
                while data or decoder.has_more:
                    for message in decoder.feed(data, size):
                        assert isinstance(message, fastcgi.Request)
                        decoder.budget.release(message.reserved_bytes)
                    data = b""
            decoder.drop_all()
            self.assertEqual((memory.used, memory.shared_used), (0, 0))

    def test_end_of_a_request_needs_no_memory(self) -> None:
        """Other connections take what is shared while a request comes in. Its end is taken all the same."""
        memory = RequestMemory(1_000_000, 2, fastcgi.MAX_REQUEST_MEMORY)
        first, second = ConnectionMemory(memory), ConnectionMemory(memory)
        self.assertTrue(first.reserve(600_000))
        while second.reserve(1_000):
            pass
        self.assertFalse(first.reserve(1))
        self.assertTrue(first.reserve(0))

    def test_ended_get_is_released(self) -> None:
        """The tasks of GETs are reused; an idle one must not keep the body of its last GET."""

        async def run() -> None:
            harness, body, ended = GatewayHarness(), os.urandom(1000), list[str]()
            async with anyio.create_task_group() as group:
                harness.lives.group = group
                get = harness.get("a0")
                get.body, get.on_end = body, lambda: ended.append("a0")
                await harness.settle()
                self.assertEqual(ended, [])
                await harness.end_forward(0, harness.returned())
                self.assertEqual(ended, ["a0"])
                del get
                harness.callbacks.clear()
                gc.collect()
                self.assertEqual(len(harness.lives.idle_tasks), 1)
                self.assertEqual(sys.getrefcount(body), 2)
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_body_is_not_copied_into_each_forward(self) -> None:
        pieces = resp.forward(
            b"9b", b"kind=tiles", MAX_BODY, wait_ms=1, source="", rank=0, age_ms=0, join=False, renew=False,
            copies=False,
        )  # fmt: skip
        self.assertIs(pieces[1], MAX_BODY)
        self.assertEqual(b"".join(pieces), resp.array(b"REQ", b"9b", b"kind=tiles,ms=1", MAX_BODY))


class FakeClient:
    """A client connection with unsent data."""

    def __init__(self, unsent_bytes: int, unsent_since: float) -> None:
        self.unsent_bytes, self.unsent_since, self.reason = unsent_bytes, unsent_since, ""

    def close(self, reason: str) -> None:
        self.reason = reason


class Unsent(TestCase):
    def test_answers_that_many_clients_do_not_read(self) -> None:
        """Answers that clients leave unread are limited in total, also if each leaves little. A client that
        reads is not closed for them, even if most is on its way to it at the moment."""
        listener = ClientListener(200, 1, 10_000_000, lambda *_: None, lambda _: None)
        silent = [FakeClient(200_000, 1.0 + n) for n in range(60)]
        slow, reading = FakeClient(100_000, 0.5), FakeClient(3_000_000, 100.0)
        listener.clients = dict.fromkeys((slow, reading, *silent))  # type: ignore[arg-type]
        listener.count_sent(10_000_000)
        left = sum(client.unsent_bytes for client in (slow, reading, *silent) if not client.reason)
        self.assertLessEqual(left, 10_000_000)
        self.assertEqual((slow.reason, reading.reason), ("", ""))
        self.assertEqual([client.reason for client in silent][-10:], [""] * 10)


class Work(FloodCase):
    """Against the failure in which input without end kept a gateway from all other clients for seconds."""

    def flood(self, kind: str) -> None:
        """Floods a gateway from some clients; the GETs of another are answered in time."""

        async def scenario(group: TaskGroup) -> None:
            async with run_gateway(group) as gateway:
                address = f"{gateway.address[0]}:{gateway.address[1]}"
                command = [sys.executable, "-m", "tests.flood", kind, address, str(FLOOD_S)]
                floods = [subprocess.Popen(command, cwd=ROOT) for _ in range(FLOODS)]
                try:
                    latencies = await measure_answers(gateway, 500, FLOOD_S + 0.5)
                    codes = [await anyio.to_thread.run_sync(flood.wait) for flood in floods]
                finally:
                    for flood in floods:
                        flood.kill()
                self.assertEqual(codes, [0] * FLOODS)
                self.assertLess(max(latencies), 0.5 + LATE_S)

        self.run_scenario(scenario)

    def test_body_without_end(self) -> None:
        self.flood("body")

    def test_empty_records_without_end(self) -> None:
        self.flood("empty")

    def test_parameters_of_an_inactive_id(self) -> None:
        self.flood("params")

    def test_management_records_without_end(self) -> None:
        self.flood("management")

    def test_requests_over_the_open_ones(self) -> None:
        self.flood("begin")

    def test_unusable_requests(self) -> None:
        self.flood("unusable")

    def test_requests_taken_back_on_many_connections(self) -> None:
        """Against the failure in which requests lay unread for seconds, behind those that clients on hundreds
        of connections sent and took back: a usual client sends as many as its connection may carry."""
        ttl_s, latencies = 1.0, list[float]()

        async def send_batch(client: SocketStream, number: int) -> None:
            fields = [get_own_fields(f"{number:x}b{n:02x}b", HTTP_X_TTL_MS="1000") for n in range(32)]
            started = time.monotonic()
            await client.send(b"".join(get_records(n + 1, fields[n]) for n in range(32)))
            await read_answers(client, 32)
            latencies.append(time.monotonic() - started)  # of the last

        async def scenario(group: TaskGroup) -> None:
            async with run_gateway(group) as gateway:
                address = f"{gateway.address[0]}:{gateway.address[1]}"
                command = [sys.executable, "-m", "tests.flood", "taken-back", address, str(2 * FLOOD_S)]
                floods = [subprocess.Popen(command, cwd=ROOT) for _ in range(FLOODS)]
                try:
                    await anyio.sleep(1.0)
                    client, end, number = await gateway.connect(), time.monotonic() + FLOOD_S, 0
                    while time.monotonic() < end:
                        number += 1
                        await send_batch(client, number)
                        await anyio.sleep(0.05)
                    codes = [await anyio.to_thread.run_sync(flood.wait) for flood in floods]
                finally:
                    for flood in floods:
                        flood.kill()
                self.assertEqual(codes, [0] * FLOODS)
                late = BrokenBound(self.id(), "last answer of 32 (less than 1.5 s)", max(latencies))
                if max(latencies) >= ttl_s + LATE_S and not known_red.passed_over([late]):
                    self.assertLess(max(latencies), ttl_s + LATE_S)

        self.run_scenario(scenario)

    def test_too_many_fields_are_refused_alone(self) -> None:
        """Against the failure in which heads of thousands of short fields on many connections kept a gateway
        from all other clients for seconds."""
        decoder = fastcgi.Decoder()
        for id, (count, is_whole) in enumerate(((200, True), (1_000, False)), 1):
            fields = {f"FIELD_{n}": "" for n in range(count)}
            message = decoder.feed(get_records(id, fields))[0]
            self.assertEqual(isinstance(message, fastcgi.Request), is_whole)
        self.assertEqual(decoder.refused, 1)

    def test_query_with_too_many_names_ends_its_connection(self) -> None:
        pairs = b"".join(fastcgi.pair(pack(">H", number), b"") for number in range(256))
        with self.assertRaisesRegex(fastcgi.ProtocolError, "oversize"):
            fastcgi.Decoder().feed(fastcgi.record(fastcgi.GET_VALUES, 0, pairs + fastcgi.pair(b"", b"")))

    def test_answers_that_nobody_asked_for(self) -> None:
        """A cache sends answers without end; GETs, also those that were sent to it, are answered in time."""

        async def scenario(group: TaskGroup) -> None:
            port = config_document()["listen"].rpartition(":")[2]
            address = f"127.0.0.1:{port}"
            command = [sys.executable, "-m", "tests.flood", "answers", address, str(FLOOD_S + 5)]
            flood = subprocess.Popen(command, cwd=ROOT)
            try:
                async with run_gateway(group, flooding_cache=address) as gateway:
                    latencies = await measure_answers(gateway, 500, FLOOD_S)
            finally:
                flood.kill()
                flood.wait()
            self.assertLess(max(latencies), 0.5 + LATE_S)

        self.run_scenario(scenario)

    def test_input_without_effect_ends_its_connection(self) -> None:
        decoder = fastcgi.Decoder()
        decoder.feed(get_records(1, {"A": "1"}))
        piece = fastcgi.record(fastcgi.STDIN, 1, b"endless ") * 100
        with self.assertRaisesRegex(fastcgi.ProtocolError, "idle-input"):
            for _ in range(100):
                decoder.feed(piece)

    def test_rest_of_refused_requests_is_ignored(self) -> None:
        """All of a connection's requests over the open ones are refused, and the rest of each is skipped."""
        decoder = fastcgi.Decoder()
        for id in range(1, 33):
            decoder.feed(fastcgi.record(fastcgi.BEGIN, id, BEGIN_CONTENT))
        for id in range(33, 200):
            messages = decoder.feed(get_records(id, {"A": "1"}, MAX_BODY))
            reply = fastcgi.end_request(id, fastcgi.OVERLOADED)
            self.assertEqual(messages, [fastcgi.ManagementReply(reply)])
        self.assertEqual(decoder.refused, 167)


class OneConnection(FloodCase):
    """Against the failures in which one request on a connection ended the others that were open on it."""

    def test_writes_whose_records_come_in_turn(self) -> None:
        """A connection carries as many writes as it may, the records of all in turn; all are answered."""

        async def scenario(group: TaskGroup) -> None:
            fixture = LoopbackFixture()
            await fixture.start(group)
            client = await fixture.client()
            sizes = (fastcgi.BEGIN, BEGIN_CONTENT), (fastcgi.PARAMS, None), (fastcgi.PARAMS, b"")
            body = [(fastcgi.STDIN, MAX_BODY[:12_000])] * 4 + [(fastcgi.STDIN, b"")]
            parts = list[bytes]()
            for id in range(1, 33):
                pairs = get_own_fields(f"{id:x}e").items()
                parts.append(b"".join(fastcgi.pair(name.encode(), value.encode()) for name, value in pairs))
            for kind, content in (*sizes, *body):
                for id, fields in enumerate(parts, 1):
                    await client.send(fastcgi.record(kind, id, fields if content is None else content))
            await fixture.cache.wait_until(lambda: len(fixture.cache.commands) == 32)
            self.assertEqual({len(command[3]) for command in fixture.cache.commands}, {48_000})
            for command in fixture.cache.commands:
                for stream in fixture.cache.streams:
                    await stream.send(resp.array(command[1], b"served", b"res=hit", b"object"))
            lines = await read_answers(client, 32)
            self.assertEqual(sum("200 OK" in line for line in lines), 32)
            memory = fixture.server.listener.request_memory
            self.assertEqual((memory.used, memory.shared_used), (0, 0))

        self.run_scenario(scenario)

    def test_slow_request_is_refused_alone(self) -> None:
        """A request takes too long to come in, while a GET is open on its connection. The request is refused,
        the rest of it is skipped, and the GET and later ones are answered."""

        async def scenario(group: TaskGroup) -> None:
            fixture = LoopbackFixture()
            await fixture.start(group)
            client = await fixture.client()
            await client.send(get_records(1, get_own_fields("a0")))
            await fixture.cache.wait_until(lambda: len(fixture.cache.commands) == 1)
            slow = get_records(2, get_own_fields("b0"), MAX_BODY)
            await client.send(slow[:20_000])
            self.assertEqual(await read_answers(client, 1), ["  id 2: [] b'' end 2"])
            await client.send(slow[20_000:] + get_records(3, get_own_fields("c0")))
            await fixture.cache.wait_until(lambda: len(fixture.cache.commands) == 2)
            for ident in ("a0", "c0"):
                await fixture.cache.streams[-1].send(resp.array(pad_ident(ident), b"served", b"-", b"a"))
            lines = await read_answers(client, 2)
            self.assertEqual(sum("200 OK" in line for line in lines), 2, lines)
            self.assertEqual(fixture.server.listener.request_memory.used, 0)

        with mock.patch("damsonstream.transport.front.REQUEST_TIMEOUT_S", 0.3):
            self.run_scenario(scenario)
