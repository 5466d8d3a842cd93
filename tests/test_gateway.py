"""Tests of single GETs, as recorded traces, and of one gateway on loopback between simulated caches and
clients."""

from __future__ import annotations

import json
import logging
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from damsonstream.program import cli, config
from damsonstream.program.logs import KeyValueFormatter
from damsonstream.program.serve import Server
from damsonstream.protocol import bulletin, fastcgi, resp
from damsonstream.routing import interface as i
from damsonstream.routing import life
from damsonstream.routing.gateway import Clock, Gateway
from damsonstream.transport.caches import CacheConnections, Connection
from tests.helpers import (
    BEGIN_CONTENT,
    FOOTPRINT,
    S,
    ScenarioCase,
    StandIn,
    TraceCase,
    entry,
    get_fields,
    get_records,
    list_frame,
)

ResultCallback = Callable[[life.ForwardEnd], None]


@dataclass
class FakeForward:
    """Handle of a sent forward; logs its cancellation."""

    harness: GatewayHarness
    label: str

    def stop(self) -> None:
        self.harness.lines.append(f"  stop {self.label}")


class GatewayHarness:
    """One gateway without sockets; logs what is sent, canceled and answered."""

    def __init__(self) -> None:
        self.now, self.lines = 1000 * S, list[str]()
        clock = Clock(lambda: self.now * 100_000, lambda: self.now * 100_000)
        self.gateway = Gateway(7, FOOTPRINT, clock)
        self.gateway.handle_event(
            i.ListUpdate("full", tuple(entry(name) for name in ["c1", "c2", "p1", "p2", "o"]))
        )
        self.lives = life.GetTasks(self.gateway, self.send)
        self.callbacks: list[ResultCallback] = []

    def send(self, cache: str, ident: bytes, encode: life.Encoder, on_result: ResultCallback) -> FakeForward:
        self.callbacks.append(on_result)
        label, command = f"{ident.decode()} to {cache}", encode()
        assert command is not None
        self.lines.append(f"  {label}: {command[0].split(b'$')[3].split()[1].decode()}")
        return FakeForward(self, label)

    def get(self, ident: str, service: int = 0) -> life.Get:
        forward_fields = resp.forward_fields(b"tiles", b"7f", b"0", b"", b"")
        get = life.Get(ident.encode(), service, "7f", 1, 2000, False, forward_fields, b"")
        self.lines.append(f"GET {ident} {FOOTPRINT.services[service].name}")
        self.lives.start(get, lambda final: self.lines.append(f"  {ident} {self.describe(final)}"))
        return get

    def describe(self, final: life.FinalAnswer) -> str:
        return (
            f"{final.outcome} {final.body!r} same={final.not_modified} retry after {final.retry_after_ms} ms"
        )

    async def settle(self) -> None:
        for _ in range(8):
            await anyio.sleep(0)

    async def end_forward(self, index: int, result: life.ForwardEnd) -> None:
        self.now += 300
        description = f"Lost(result={result.result!r})"
        if isinstance(result, resp.Answer):
            description = f"{result.result} note {result.note}"
        self.lines.append(f"result: {description}")
        self.callbacks[index](result)
        await self.settle()

    async def wait(self, ms: int) -> None:
        for _ in range(ms // 50):
            self.now += 500
            self.gateway.handle_event(i.Woken())
            await self.settle()
        self.lines.append(f"after {ms} ms")

    def returned(self, body: bytes = b"bytes", note: int = 1) -> resp.Answer:
        return resp.Answer(b"", "returned", note, 0, body=body)


class GetLifecycle(TraceCase):
    def run_scenario(self, name: str, scenario: Callable[[GatewayHarness], Awaitable[None]]) -> None:
        async def run() -> None:
            harness = GatewayHarness()
            async with anyio.create_task_group() as group:
                harness.lives.group = group
                await scenario(harness)
                await harness.settle()
                router = harness.gateway.router
                leftovers = (harness.gateway.inboxes, router.gets, router.pending, router.queue)
                self.assertFalse(any(leftovers), "state of a finished GET is left")
                self.assertFalse(sum(node.in_flight for node in router.nodes.values()))
                group.cancel_scope.cancel()
            self.check(name, harness.lines)

        anyio.run(run)

    def test_returned_with_body_and_as_not_modified(self) -> None:
        async def scenario(harness: GatewayHarness) -> None:
            harness.get("a")
            await harness.settle()
            await harness.end_forward(0, harness.returned())
            harness.get("b")
            await harness.settle()
            await harness.end_forward(1, resp.Answer(b"", "returned", 1, 0, same=True))
            await harness.end_forward(1, harness.returned())  # a duplicate answer is ignored

        self.run_scenario("life-returned", scenario)

    def test_failed_forward_is_retried(self) -> None:
        async def scenario(harness: GatewayHarness) -> None:
            for ending in (resp.Answer(b"", "shed", 6, 3), resp.Lost("unreached"), resp.Lost("broken")):
                harness.get(f"after-{ending.result}")
                await harness.settle()
                await harness.end_forward(-1, ending)
                await harness.end_forward(-1, harness.returned(note=2))

        self.run_scenario("life-again", scenario)

    def test_viewer_timeout_sheds_and_recalls(self) -> None:
        """At the viewer timeout the GET is shed with a retry time, its forward recalled, and a late answer
        ignored."""

        async def scenario(harness: GatewayHarness) -> None:
            harness.get("slow")
            await harness.settle()
            await harness.wait(2000)
            await harness.end_forward(0, harness.returned())

        self.run_scenario("life-late", scenario)

    def test_second_copy_decided_after_the_answer_is_not_sent(self) -> None:
        """The router decides on a second copy after an answer has arrived, but before the GET's task has run.
        The copy must not be sent."""

        async def scenario(harness: GatewayHarness) -> None:
            for name in ("returned", "left"):
                get = harness.get(name)
                await harness.settle()
                await harness.wait(1750)
                if name == "returned":
                    harness.callbacks[-1](harness.returned())
                else:
                    get.client_left()
                harness.now += 500
                harness.gateway.handle_event(i.Woken())
                harness.lines.append("second copy decided")
                await harness.settle()

        self.run_scenario("life-crossing", scenario)

    def test_client_left(self) -> None:
        async def scenario(harness: GatewayHarness) -> None:
            get = harness.get("left")
            await harness.settle()
            get.client_left()
            await harness.settle()
            await harness.end_forward(0, harness.returned())

        self.run_scenario("life-left", scenario)

    def test_what_may_have_run_is_errored_not_shed(self) -> None:
        async def scenario(harness: GatewayHarness) -> None:
            for service in (2, 3):
                harness.get("write", service)
                await harness.settle()
                await harness.end_forward(-1, resp.Lost("broken"))
                if service == 2:  # tokened: retried within the deduplication window
                    await harness.end_forward(-1, harness.returned(b"", 0))

        self.run_scenario("life-effects", scenario)

    def test_purge_while_a_forward_is_pending(self) -> None:
        async def scenario(harness: GatewayHarness) -> None:
            harness.get("purged")
            await harness.settle()
            harness.lines.append("purge of its group")
            harness.gateway.apply_bulletin(bulletin.PurgeTold("", 1, harness.now // 10 - 40))
            await harness.end_forward(0, resp.Answer(b"", "shed", 6, 3))
            await harness.end_forward(-1, harness.returned(note=2))

        self.run_scenario("life-purged", scenario)

    def test_router_exception_fails_a_single_get(self) -> None:
        async def scenario(harness: GatewayHarness) -> None:
            services = list(harness.gateway.router.services)
            harness.gateway.router.services.clear()
            harness.get("failing")
            await harness.settle()
            harness.gateway.router.services.extend(services)
            harness.get("next")
            await harness.settle()
            await harness.end_forward(-1, harness.returned())

        with self.assertLogs("damsonstream.routing.life", "ERROR"):
            self.run_scenario("life-fault", scenario)


SETTINGS: dict[str, Any] = {
    "balancers": 1, "kinds": ["box", "parent", "origin"], "zones": ["shop"], "myZone": "shop",
    "lanes": [{"name": "tiles", "onTime": 600000, "hardLimit": 6000000, "idempotency": "idempotent"}],
    "familyInfo": {"shieldKind": 1, "masterKind": 2, "maxAge": [0], "usableAfter": [0], "passOn": [False],
                   "says": "all", "zoneBalancers": [1], "purgeSettles": 6000000},
    "limits": {"cancel": True, "secondCopies": True, "retryAfter": True, "maxAttempts": 6, "maxOpen": 1000,
               "connectTimeout": 400000, "connIdle": 15000000, "maxStreams": 32, "maxRetryAfter": 500000},
    "rules": {"startCapacity": 0.2, "warmWithin": 1000000, "fallMultiple": 2.5, "tipAfter": 1000000},
    "tick": 2000, "weights": "none",
}  # fmt: skip


def config_document(**changes: Any) -> dict[str, Any]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        listen = f"127.0.0.1:{probe.getsockname()[1]}"
    document: dict[str, Any] = {
        "name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "bulletin": "127.0.0.1:9",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"no": 0, "items": []},
        "settings": SETTINGS,
    }  # fmt: skip
    return {**document, **changes}


def load_config(content: dict[str, Any]) -> config.Config:
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(content, file)
        file.flush()
        return config.read(file.name)


async def read_answers(stream: SocketStream, count: int) -> list[str]:
    """Reads the next answers on a client connection, in the order in which they are completed."""
    data, partial, lines = b"", dict[int, bytes](), list[str]()
    while len(lines) < count:
        data += await stream.receive()
        while len(data) >= 8:
            _, kind, id, size, padding = fastcgi.HEADER.unpack_from(data)
            if len(data) < 8 + size + padding:
                break
            content, data = data[8 : 8 + size], data[8 + size + padding :]
            if kind == fastcgi.END:
                head, _, body = partial.pop(id, b"").partition(b"\r\n\r\n")
                body_text = f"{len(body)} bytes" if len(body) > 20 else repr(body)
                lines.append(f"  id {id}: {head.splitlines()} {body_text} end {content[4]}")
            else:
                partial[id] = partial.get(id, b"") + content
    return lines


def pad_ident(name: str) -> bytes:
    return name.rjust(16, "0").encode()


class LoopbackFixture:
    """One gateway on loopback with one cache and two bulletin servers; its configuration names the first."""

    async def start(self, group: TaskGroup, **changes: Any) -> None:
        self.cache, self.old_bulletin, self.new_bulletin = StandIn(), StandIn(), StandIn()
        ports = list[str]()
        for handler in (self.cache.cache, self.old_bulletin.bulletin, self.new_bulletin.bulletin):
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            ports.append(f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}")
            group.start_soon(listener.serve, handler)
        _, self.old_address, self.new_address = ports
        box = {"uid": "s-00000001", "endpoint": ports[0], "az": "shop", "model": "box", "state": "ready"}
        roster = {"rev": 1, "all": True, "targets": [box, {**box, "uid": "s-00000002", "model": "parent"}]}
        self.folder = tempfile.TemporaryDirectory()
        self.file = Path(self.folder.name) / "config.json"
        self.document = config_document(
            bulletin=self.old_address, known={"no": 1, "items": [{"roster": roster}]}, **changes
        )
        self.file.write_text(json.dumps(self.document))
        self.server, self.stopped = Server(config.read(str(self.file))), anyio.Event()
        group.start_soon(self.serve)
        await self.server.ready.wait()

    async def serve(self) -> None:
        await self.server.run()
        self.folder.cleanup()
        self.stopped.set()

    async def client(self) -> SocketStream:
        return await anyio.connect_tcp(*self.server.config.listen)


class Loopback(ScenarioCase):
    def test_reload_on_sighup(self) -> None:
        """SIGHUP applies a new bulletin address. An invalid file changes nothing, and the log says why."""
        with self.assertLogs("damsonstream.program.serve", "INFO") as logged:
            self.run_scenario(self.reload)
        lines = [KeyValueFormatter().format(record) for record in logged.records if record.msg == "reload"]
        self.check("reload", [re.sub(r"\bat=\S+ |:\d{4,5}|/\S*/", "", line) for line in lines])

    async def reload(self, group: TaskGroup) -> None:
        fixture = LoopbackFixture()
        await fixture.start(group)
        fixture.old_bulletin.frames = [list_frame(2, 2, (3, "127.0.0.1:9", 0, 2))]
        fixture.new_bulletin.frames = [
            *fixture.old_bulletin.frames,
            list_frame(3, 2, (4, "127.0.0.1:9", 0, 1)),
        ]
        await fixture.old_bulletin.wait_until(lambda: bool(fixture.old_bulletin.hello_numbers))
        files = [
            "no file", "{", json.dumps({**fixture.document, "bulletin": "nowhere"}),
            json.dumps({**fixture.document, "limits": {"sockets": 1e999, "memory_mb": 1}}),
            json.dumps({**fixture.document, "bulletin": fixture.new_address,
                        "limits": {"memory_mb": 64, "sockets": 512}}),
        ]  # fmt: skip
        for index, text in enumerate(files):
            fixture.file.unlink()
            if index:
                fixture.file.write_text(text)
            counts = fixture.server.counters.counts
            before = counts["reload.used"] + counts["reload.unusable"]
            os.kill(os.getpid(), signal.SIGHUP)
            while counts["reload.used"] + counts["reload.unusable"] == before:
                await anyio.sleep(0.005)
            self.assertEqual(
                fixture.server.discovery.address,
                fixture.new_address if text == files[-1] else fixture.old_address,
            )
            fixture.file.touch()
        await fixture.new_bulletin.wait_until(lambda: bool(fixture.new_bulletin.hello_numbers))
        self.assertEqual(fixture.new_bulletin.hello_numbers, [2])  # resumes after the last event
        while "s-00000004" not in fixture.server.cache_connections.pools:
            await anyio.sleep(0.005)
        self.assertEqual(fixture.server.counters.counts["bulletin.moved"], 1)

    def test_malformed_clients(self) -> None:
        """Each malformed client gets an error or is disconnected in time, nothing is forwarded to a cache,
        and other clients are not affected."""
        self.disable_logging()
        with mock.patch("damsonstream.transport.front.REQUEST_TIMEOUT_S", 0.3):
            self.run_scenario(self.bad_clients)

    async def bad_clients(self, group: TaskGroup) -> None:
        fixture, lines = LoopbackFixture(), list[str]()
        await fixture.start(group)
        good_client, complete = await fixture.client(), get_records(1, get_fields("a0"))
        await good_client.send(complete)
        await fixture.cache.wait_until(lambda: len(fixture.cache.commands) == 1)
        begin = fastcgi.record(fastcgi.BEGIN, 1, BEGIN_CONTENT)
        cases = {
            "sends nothing": b"", "stops half way through a GET": complete[:40],
            "truncated record": complete[:8] + complete,
            "two GETs with one id": get_records(1, get_fields("b0"))[:-8] + begin,
            "parameters too long": begin + fastcgi.record(fastcgi.PARAMS, 1, bytes(9_000)) * 2,
            "identifier of an open GET": get_records(1, get_fields("a0", HTTP_X_ROW="00" * 8)),
            "no identifier": get_records(1, get_fields("c0", HTTP_X_TXN="")),
            "no group": get_records(1, get_fields("c0", HTTP_X_SET="")),
            "identifier that is not hexadecimal": get_records(1, get_fields("g" * 16)),
            "time limit too long": get_records(1, get_fields("c0", HTTP_X_TTL_MS="9" * 9)),
            "time limit that is no number": get_records(1, get_fields("c0", HTTP_X_TTL_MS="nan")),
            "negative segment": get_records(1, get_fields("c0", HTTP_X_SLICE="-1")),
            "group out of range": get_records(1, get_fields("c0", HTTP_X_SET="256")),
            "unexpected token": get_records(1, get_fields("c0", HTTP_X_TXN_KEY="ab" * 16)),
            "body too long": begin + fastcgi.record(fastcgi.STDIN, 1, bytes(40_000)) * 2,
        }  # fmt: skip
        for name, sent in cases.items():
            client = await fixture.client()
            await client.send(sent)
            lines.append(f"{name}:")
            with anyio.fail_after(2):
                try:
                    lines += await read_answers(client, 1)
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    lines.append("  ended")
            await client.aclose()
        await fixture.cache.streams[-1].send(resp.array(pad_ident("a0"), b"served", b"res=hit", b"a"))
        lines += ["a well-behaved client meanwhile:", *await read_answers(good_client, 1)]
        self.assertEqual(len(fixture.cache.commands), 1)
        await anyio.sleep(0.4)  # an idle client that has sent a GET is not disconnected
        counts = fixture.server.counters.counts
        lines += [f"{name} {counts[name]}" for name in sorted(counts) if name.startswith("client.")]
        self.assertEqual(fixture.server.listener.open_count, 0)
        self.assertEqual(len(fixture.server.listener.clients), 1)
        self.check("bad-clients", lines)

    def test_one_gateway(self) -> None:
        self.disable_logging()
        self.run_scenario(self.run_gateway)

    async def run_gateway(self, group: TaskGroup) -> None:
        fixture, lines = LoopbackFixture(), list[str]()
        await fixture.start(group)
        cache, bulletin_server, server = fixture.cache, fixture.old_bulletin, fixture.server
        bulletin_server.frames = [list_frame(2, 2, (3, "127.0.0.1:9", 0, 2))]
        client = await fixture.client()

        async def exchange(label: str, sent: bytes, reply: bytes = b"") -> None:
            lines.append(label)
            before = len(cache.commands)
            await client.send(sent)
            if reply:
                await cache.wait_until(lambda: len(cache.commands) > before)
                lines.extend(f"  cache: {b' '.join(command).decode()}" for command in cache.commands[before:])
                for offset in range(0, len(reply), 50_000):
                    await cache.streams[-1].send(reply[offset : offset + 50_000])
            lines.extend(await read_answers(client, 1))

        await exchange("health check", get_records(1, {"SCRIPT_NAME": "/healthz"}))
        big = resp.array(pad_ident("a0"), b"served", b"res=filled,took=3", bytes(240_000))
        await exchange("GET of a large object", get_records(1, get_fields("a0")), big)
        not_modified = resp.array(pad_ident("a1"), b"still_good", b"res=hit", b"")
        conditional = get_fields("a1", HTTP_X_SEEN='W/"4be0"', HTTP_X_SLICE="3")
        await exchange("conditional GET", get_records(2, conditional), not_modified)
        await exchange("no time limit", get_records(3, get_fields("a2", HTTP_X_TTL_MS="")))
        await exchange("unknown service", get_records(3, get_fields("a2", SCRIPT_NAME="/v1/none")))
        await exchange("identifier with a comma", get_records(3, get_fields("a,2=")))
        lines.append("two GETs, the first aborted, answers in reverse order")
        before = len(cache.commands)
        await client.send(get_records(4, get_fields("b0")) + get_records(5, get_fields("b1")))
        await cache.wait_until(lambda: len(cache.commands) == before + 2)
        await client.send(fastcgi.record(fastcgi.ABORT, 4))
        await cache.wait_until(lambda: len(cache.commands) == before + 3)
        lines.append(f"  cache: {b' '.join(cache.commands[-1]).decode()}")
        late = resp.array(pad_ident("b0"), b"served", b"-", b"late")
        await cache.streams[-1].send(late + resp.array(pad_ident("b1"), b"served", b"res=hit", b"b1"))
        lines.extend(await read_answers(client, 2))
        lines.append("the only cache resets the connection")
        before = len(cache.commands)
        await client.send(get_records(6, get_fields("c0")))
        await cache.wait_until(lambda: len(cache.commands) == before + 1)
        await cache.streams[-1].aclose()
        await cache.wait_until(lambda: len(cache.commands) == before + 2)  # retried at the same cache
        await cache.streams[-1].aclose()
        lines.extend(await read_answers(client, 1))
        lines.append("a malformed record closes its connection")
        bad_client = await fixture.client()
        await bad_client.send(b"\x02junk-record")
        try:
            await bad_client.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            lines.append("  ended")
        next_one = resp.array(pad_ident("d0"), b"served", b"-", b"d")
        await exchange(
            "other connections continue, the first forward without a fill",
            get_records(7, get_fields("d0")),
            next_one,
        )
        await bulletin_server.wait_until(lambda: len(bulletin_server.hello_numbers) == 1)
        await bulletin_server.streams[-1].aclose()  # the watch resumes after the last event
        await bulletin_server.wait_until(lambda: len(bulletin_server.hello_numbers) == 2)
        lines.append(
            f"bulletin asked after {bulletin_server.hello_numbers}, "
            f"list {sorted(server.cache_connections.pools)}"
        )
        os.kill(os.getpid(), signal.SIGTERM)
        last = resp.array(pad_ident("e0"), b"served", b"-", b"e")
        await exchange("GET during shutdown", get_records(8, get_fields("e0")), last)
        await fixture.stopped.wait()
        counts = server.counters.counts
        lines += [f"{name} {counts[name]}" for name in sorted(counts) if not name.startswith("cache.")]
        self.assertFalse(
            server.gateway.inboxes or server.listener.open_count or server.gateway.router.pending
        )
        self.check("loopback", [re.sub(r"ms=\d+", "ms=..", line) for line in lines])


def encoder(ident: bytes) -> life.Encoder:
    """Returns the encoder of a forward that is always sent."""
    return lambda: (resp.array(b"REQ", ident, b"-", b""),)


class CachePools(ScenarioCase):
    """Connections to caches, without a gateway."""

    async def start_late(self, group: TaskGroup) -> tuple[StandIn, CacheConnections, anyio.Event]:
        """Starts a cache and a pool whose connections to it are established once the event is set."""
        stand_in, may_connect = StandIn(), anyio.Event()
        caches = CacheConnections(100, 32, 1.0, 10.0, lambda name: None)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        run_connection = caches.run_connection

        async def connects_late(connection: Connection) -> None:
            await may_connect.wait()
            await run_connection(connection)

        caches.run_connection = connects_late  # type: ignore[method-assign]
        group.start_soon(listener.serve, stand_in.cache)
        group.start_soon(caches.run)
        await anyio.sleep(0.01)
        self.update_list(caches, "active")
        return stand_in, caches, may_connect

    def update_list(self, caches: CacheConnections, state: str) -> None:
        line = bulletin.Listed("c1", self.address, "shop", state, 1.0, 0, "box", 0)
        caches.update_list(bulletin.ListChanged(False, (line,)))

    def test_forward_canceled_before_connect_is_not_sent(self) -> None:
        """A connection is established late; one of the forwards queued for it has been canceled by then."""
        ended = list[str]()

        def on_result(result: life.ForwardEnd) -> None:
            ended.append(result.result)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                stand_in, caches, may_connect = await self.start_late(group)
                forwards = [
                    caches.send("c1", name, encoder(name), on_result)
                    for name in (b"a", b"b", b"c")
                ]
                forwards[1].stop()
                may_connect.set()
                with anyio.fail_after(5.0):
                    await stand_in.wait_until(lambda: len(stand_in.commands) >= 2)
                    forwards[2].stop()
                    await stand_in.wait_until(lambda: len(stand_in.commands) >= 3)
                self.assertEqual([one[:2] for one in stand_in.commands],
                                 [[b"REQ", b"a"], [b"REQ", b"c"], [b"STOP", b"c"]])  # fmt: skip
                group.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(ended, [])  # no callbacks for canceled forwards

    def test_forward_to_a_leaving_cache_is_not_sent_after_connect(self) -> None:
        """A cache starts to drain while a connection to it is being established. What waits for the
        connection could be sent after the grace period: it is taken back, for the router to choose again."""
        ended = list[str]()

        def on_result(result: life.ForwardEnd) -> None:
            ended.append(result.result)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                stand_in, caches, may_connect = await self.start_late(group)
                caches.send("c1", b"a", encoder(b"a"), on_result)
                self.update_list(caches, "leaving")
                self.assertEqual(ended, ["unsent"])
                may_connect.set()
                caches.send("c1", b"b", encoder(b"b"), on_result)
                with anyio.fail_after(5.0):
                    await stand_in.wait_until(lambda: len(stand_in.commands) >= 1)
                await anyio.sleep(0.05)
                self.assertEqual([command[1] for command in stand_in.commands], [b"b"])
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_answer_that_takes_in_another_one_is_not_returned(self) -> None:
        """Against the failure in which an object was served with the next answer of its connection behind it:
        the length that the cache gave was too large, and ended where that answer ends."""
        self.disable_logging()
        ended = list[str]()

        def on_result(result: life.ForwardEnd) -> None:
            ended.append(result.result)

        async def scenario(group: TaskGroup) -> None:
            stand_in, caches, may_connect = await self.start_late(group)
            may_connect.set()
            for ident in (b"a", b"b"):
                caches.send("c1", ident, encoder(ident), on_result)
            await stand_in.wait_until(lambda: len(stand_in.commands) == 2)
            second = resp.array(b"b", b"served", b"-", b"other object")
            size = len(b"object" + second)
            spoilt = resp.array(b"a", b"served", b"-", b"object").replace(b"$6\r\nob", b"$%d\r\nob" % size)
            await stand_in.streams[0].send(spoilt + second)
            while len(ended) < 2:
                await anyio.sleep(0.005)
            self.assertEqual(ended, ["broken", "broken"])

        self.run_scenario(scenario)

    def test_removed_and_misbehaving_caches(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        lines = list[str]()

        async def run() -> None:
            stand_in, caches = StandIn(), CacheConnections(100, 32, 1.0, 10.0, lambda name: None)
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"

            def log_result(name: str) -> ResultCallback:
                def on_result(result: life.ForwardEnd) -> None:
                    shared = " shared" * (isinstance(result, resp.Lost) and result.shared)
                    lines.append(f"  {name} {result.result}{shared}")

                return on_result

            async def send_forwards(*names: str) -> None:
                before = len(stand_in.commands)
                for name in names:
                    caches.send("c1", name.encode(), encoder(name.encode()), log_result(name))
                await stand_in.wait_until(lambda: len(stand_in.commands) == before + len(names))

            async def all_closed() -> None:
                while caches.open_connections:
                    await anyio.sleep(0.01)

            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, stand_in.cache)
                group.start_soon(caches.run)
                await anyio.sleep(0.01)

                def update_list(state: str) -> None:
                    line = bulletin.Listed("c1", address, "shop", state, 1.0, 0, "box", 0)
                    caches.update_list(bulletin.ListChanged(False, (line,)))

                update_list("active")
                lines.append("valid answer, its duplicate, an unknown identifier, then garbage")
                await send_forwards("a", "b", "c", "d")
                good = resp.array(b"a", b"served", b"-", b"")
                await stand_in.streams[-1].send(good * 2 + resp.array(b"x", b"served", b"-", b"") + bytes(99))
                await all_closed()
                lines.append("answer that stops half way")
                await send_forwards("f", "g")
                await stand_in.streams[-1].send(resp.array(b"f", b"served", b"-", b"whole")[:-4])
                await all_closed()
                lines.append("silent open connection: the next forward uses another one")
                await send_forwards("h")
                await anyio.sleep(0.3)
                await send_forwards("i")
                self.assertEqual(len(caches.open_connections), 2)
                for stream, name in zip(stand_in.streams[-2:], (b"h", b"i"), strict=True):
                    await stream.send(resp.array(name, b"served", b"-", b""))
                await anyio.sleep(0.1)
                lines.append("a duplicate of an earlier answer is not taken as the next forward's answer")
                bad = resp.array(b"j", b"overload", b"res=no_slot", b"")
                await send_forwards("j")
                await stand_in.streams[-1].send(bad)
                await anyio.sleep(0.05)
                await send_forwards("j")
                for stream in stand_in.streams[-3:-1]:
                    await stream.send(bad)
                await anyio.sleep(0.05)
                lines.append("  then the real answer")
                await stand_in.streams[-1].send(resp.array(b"j", b"served", b"-", b""))
                await anyio.sleep(0.05)
                lines.append(
                    "cache leaves with a pending forward, which is answered before its connection closes"
                )
                await send_forwards("e")
                update_list("left")
                for stream in stand_in.streams[-2:]:  # the forward is on one of the two connections
                    await stream.send(resp.array(b"e", b"served", b"-", b""))
                await all_closed()
                group.cancel_scope.cancel()

        async def in_time() -> None:
            with anyio.fail_after(10):
                await run()

        with mock.patch("damsonstream.transport.caches.SILENCE_TIMEOUT_S", 0.2):
            anyio.run(in_time, backend_options={"use_uvloop": True})
        self.check("peers", lines)


class Startup(TraceCase):
    def test_invalid_configurations_name_the_field(self) -> None:
        lines, empty = list[str](), dict[str, Any]()
        changes: list[dict[str, Any]] = [{"listen": "here"}, {"seed": "none"}, {"limits": empty}]
        changes += [{"known": {"no": 1}}, {"settings": {"limits": empty}}, {"bulletin": 5}]
        for change in changes:
            try:
                load_config(config_document(**change))
            except config.ConfigError as error:
                lines.append(f"{list(change)}: {error}")
        self.check("config", lines)

    def test_process_starts_reloads_and_exits(self) -> None:
        """The real process keeps running on SIGHUP, and exits with 0 on SIGTERM."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(config_document(), file)
            file.flush()
            command = [sys.executable, "-m", "damsonstream", "serve", "--config", file.name]
            with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as program:
                assert program.stderr is not None
                for expected, number in (("ready", signal.SIGHUP), ("reload", signal.SIGTERM)):
                    while f"event={expected}" not in (line := program.stderr.readline()):
                        self.assertTrue(line, f"the process exited before {expected}")
                    program.send_signal(number)
                program.stderr.read()
            self.assertEqual(program.returncode, 0)

    def test_missing_configuration_exits_with_2(self) -> None:
        self.assertEqual(cli.main(["check-config", "--config", str(Path(__file__).parent / "none.json")]), 2)

    def test_log_lines_are_key_value_pairs(self) -> None:
        record = logging.makeLogRecord({"name": "damsonstream.x", "msg": "closed", "levelname": "INFO"})
        record.created, record.reason, record.what = 1.5, "idle", b'a "b"\n'
        self.check("log", [KeyValueFormatter().format(record)])
