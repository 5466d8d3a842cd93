"""What comes between two lines: orders that happen once in thousands of GETs, forced every time, on loopback.

Stand-ins force them: a dial is held until it is let go, a cache does not read, a frame is left unfinished.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from struct import pack
from typing import Any
from unittest import mock

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from damsonstream.program import config
from damsonstream.protocol import bulletin, fastcgi, resp
from damsonstream.routing import interface
from damsonstream.transport.caches import STALLED, Attempt, CacheConnection, Caches
from damsonstream.transport.front import ClientConnection
from damsonstream.transport.loop import LOOP
from tests.helpers import get_records, list_frame
from tests.test_gateway import SETTINGS, Stage, answers, ident, told

ENDED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
BEGIN = fastcgi.record(fastcgi.BEGIN, 1, pack(">HB5x", 1, 1))
LANE: dict[str, Any] = SETTINGS["lanes"][0]


def fields(ident: str, **more: str) -> dict[str, str]:
    known = {"SCRIPT_NAME": "/v1/tiles", "HTTP_X_TXN": ident.rjust(16, "0"), "HTTP_X_SET": "17"}
    return {**known, "HTTP_X_ROW": "7f3a9c21e0b4d655", "HTTP_X_TTL_MS": "5000", **more}


def settings(lane: dict[str, Any] | None = None, **limits: Any) -> dict[str, Any]:
    return {**SETTINGS, "lanes": [{**LANE, **(lane or {})}], "limits": {**SETTINGS["limits"], **limits}}


def served(name: str, body: bytes = b"x") -> bytes:
    return resp.bulks(ident(name), b"served", b"res=hit", body)


def purge(number: int, group: int, issued_ms: int) -> bytes:
    payload = pack(">HQ", group, issued_ms)
    return pack(">IQB", 9 + len(payload), number, 4) + payload


class Dials:
    """Holds dials until each is let go."""

    def __init__(self, stage: Stage) -> None:
        self.held: list[anyio.Event] = []
        self.changed = anyio.Event()
        serve = stage.server.caches.serve

        async def held(connection: CacheConnection) -> None:
            event = anyio.Event()
            self.held.append(event)
            self.changed.set()
            await event.wait()
            await serve(connection)

        stage.server.caches.serve = held  # type: ignore[method-assign]

    async def come(self, count: int) -> None:
        while len(self.held) < count:
            self.changed = anyio.Event()
            await self.changed.wait()


class AsDecided:
    """An observer, told of each forward as it is decided: before the task of its GET knows. A compiled router
    can't be patched."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call = call

    def decided(self, now: int, actions: list[interface.Action]) -> None:
        if any(isinstance(action, interface.Forward) for action in actions):
            self.call()

    def opened(self, *_: object) -> None:
        pass

    sent = came = final = left = opened


class Bare:
    """Connections to one cache, a bare socket: what that does is in the system without a turn of the loop."""

    def __init__(self, connect_timeout: float = 1.0, backlog: int = 10) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.address = self.listener.getsockname()
        self.caches, self.told = Caches(10, 8, connect_timeout, 10.0, lambda name: None), list[str]()

    async def begin(self, group: TaskGroup) -> None:
        group.start_soon(self.caches.run)
        await anyio.wait_all_tasks_blocked()
        place = f"127.0.0.1:{self.address[1]}"
        line = bulletin.Listed("c", place, "shop", "active", 1.0, 0, "box", 0)
        self.caches.listed(bulletin.ListChanged(True, (line,)))

    def send(self, name: str) -> Attempt:
        def told(ending: resp.Answer | resp.Lost) -> None:
            self.told.append(f"{name} {ending.result}")

        return self.caches.send("c", name.encode(), name.encode, told)

    async def up(self, group: TaskGroup) -> CacheConnection:
        """The first connection, with a command out on it."""
        await self.begin(group)
        attempt = self.send("a")
        while attempt.connection is None:
            await anyio.sleep(0.005)
        return attempt.connection

    def accept(self) -> socket.socket:
        """The next connection, and the command on it read."""
        cache, _ = self.listener.accept()
        cache.recv(100)
        return cache


class RaceCase(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def play(self, story: Callable[[TaskGroup], Awaitable[None]], within: float = 15) -> None:
        async def run() -> None:
            with anyio.fail_after(within):
                async with anyio.create_task_group() as group:
                    await story(group)
                    group.cancel_scope.cancel()

        anyio.run(run, backend_options=LOOP)

    async def holds(self, what: Callable[[], bool], within: float = 3.0) -> None:
        with anyio.move_on_after(within):
            while not what():
                await anyio.sleep(0.005)
        self.assertTrue(what())


def requests(stage: Stage) -> list[list[bytes]]:
    return [command for command in stage.cache.came if command[0] == b"REQ"]


def descriptor(stream: SocketStream) -> int:
    """For bytes that are written at once, without a turn of the loop."""
    return int(stream.extra(SocketAttribute.raw_socket).fileno())


def oldest_wanted(command: list[bytes]) -> bytes:
    """The oldest copy that will do, as a command says; empty: the fresh time."""
    return dict(pair.split(b"=") for pair in command[2].split(b",")).get(b"newer", b"")


class HandOver(RaceCase):
    """Between the decision on an attempt and its first byte."""

    def test_a_purge_told_while_the_dial_is_under_way_bounds_the_copy(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            await stage.board.until(lambda: bool(stage.board.hellos))
            dials, client = Dials(stage), await stage.client()
            await client.send(get_records(1, fields("a0")))
            await dials.come(1)
            await stage.board.streams[-1].send(purge(2, 17, int(time.time() * 1000)))
            await self.holds(lambda: stage.server.watch.last == 2)
            dials.held[0].set()
            await stage.cache.until(lambda: bool(stage.cache.came))
            newer = oldest_wanted(stage.cache.came[0])
            self.assertTrue(newer and int(newer) < 1000, stage.cache.came[0])

        self.play(story)

    def test_a_cache_that_drains_while_its_dial_is_under_way_gets_nothing(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            await stage.board.until(lambda: bool(stage.board.hellos))
            dials, client = Dials(stage), await stage.client()
            await client.send(get_records(1, fields("a0")))
            await dials.come(1)
            await stage.board.streams[-1].send(
                list_frame(2, 2, (1, stage.server.caches.pools["s-00000001"].address, 1, 0))
            )
            await self.holds(lambda: stage.server.watch.last == 2)
            dials.held[0].set()
            await anyio.sleep(0.2)
            self.assertEqual(requests(stage), [])
            with anyio.fail_after(1.0):
                self.assertIn("503", (await answers(client, 1))[0])  # there is no other cache

        self.play(story)

    def test_a_cache_that_goes_while_its_dial_is_under_way_keeps_nobody_waiting(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group, settings=settings(connectTimeout=4_000_000))
            await stage.board.until(lambda: bool(stage.board.hellos))
            dials, client = Dials(stage), await stage.client()
            await client.send(get_records(1, fields("a0")))
            await dials.come(1)
            await stage.board.streams[-1].send(
                list_frame(2, 2, (1, stage.server.caches.pools["s-00000001"].address, 2, 0))
            )
            with anyio.fail_after(1.0):
                self.assertIn("503", (await answers(client, 1))[0])

        self.play(story)

    def test_a_client_that_left_while_the_dial_is_under_way_is_not_sent_on(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()  # where forwards may not be recalled, too
            await stage.begin(group, settings=settings(cancel=False))
            dials, client = Dials(stage), await stage.client()
            await client.send(get_records(1, fields("a0")) + get_records(2, fields("a1")))
            await dials.come(1)
            await client.send(fastcgi.record(fastcgi.ABORT, 1))
            await answers(client, 1)
            await client.aclose()
            await self.holds(lambda: not stage.server.front.clients)
            dials.held[0].set()
            await anyio.sleep(0.2)
            self.assertEqual(requests(stage), [])
            self.assertFalse(stage.server.gateway.inboxes or stage.server.gateway.router.outs)

        self.play(story)

    def test_a_repeat_whose_window_ran_out_while_its_dial_is_under_way_is_not_sent(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage, lane = Stage(), {"idempotency": "deduplicated", "dedupWindow": 400_000}
            await stage.begin(group, settings=settings(lane, connectTimeout=2_000_000))
            client = await stage.client()
            await client.send(get_records(1, fields("a0", HTTP_X_TXN_KEY="ab" * 16)))
            await stage.cache.until(lambda: len(stage.cache.came) == 1)
            dials = Dials(stage)
            await stage.cache.streams[-1].aclose()  # it may have run
            await dials.come(1)  # again, in its window
            await anyio.sleep(0.5)
            dials.held[0].set()
            self.assertNotIn("200", (await answers(client, 1))[0])
            await anyio.sleep(0.1)
            self.assertEqual(len(requests(stage)), 1)

        self.play(story)

    def test_what_never_began_is_shed_also_where_it_may_not_be_repeated(self) -> None:
        """Its time runs out while its dial is under way: it never ran, and trying again is harmless. One that
        began and has no answer is errored."""

        async def story(group: TaskGroup) -> None:
            stage = Stage()
            lane = {"idempotency": "at_most_once"}
            await stage.begin(group, settings=settings(lane, connectTimeout=4_000_000))
            dials, client = Dials(stage), await stage.client()
            await client.send(get_records(1, fields("a0", HTTP_X_TTL_MS="300")))
            await dials.come(1)
            self.assertIn("503", (await answers(client, 1))[0])
            for dial in dials.held:
                dial.set()
            await client.send(get_records(2, fields("b0", HTTP_X_TTL_MS="1000")))
            await stage.cache.until(lambda: len(requests(stage)) == 1)
            self.assertIn("500", (await answers(client, 1))[0])
            self.assertEqual([command[1] for command in requests(stage)], [ident("b0")])

        self.play(story)

    def test_a_dial_that_is_late_is_helped_by_a_second(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group, settings=settings(connectTimeout=1_000_000))
            dials, client = Dials(stage), await stage.client()
            await client.send(get_records(1, fields("a0")))
            with anyio.fail_after(0.8):
                await dials.come(2)  # before the time told is over
                dials.held[1].set()
                await stage.cache.until(lambda: bool(stage.cache.came))
            await stage.cache.streams[-1].send(served("a0"))
            self.assertIn("200", (await answers(client, 1))[0])
            dials.held[0].set()  # it comes up after all, and is of use to the next
            await anyio.sleep(0.05)
            self.assertEqual(len(requests(stage)), 1)

        self.play(story)

    def test_a_dial_that_comes_up_as_its_time_runs_out_leaves_nothing_behind(self) -> None:
        """The loop closes such a connection and tells nobody: GETs that went to it later were errored."""
        made, fail_after = CacheConnection.connection_made, anyio.fail_after
        limits, late = list[anyio.CancelScope](), list[CacheConnection]()

        @contextmanager
        def seen(delay: float) -> Iterator[anyio.CancelScope]:
            with fail_after(delay) as scope:
                if delay == 0.123:
                    limits.append(scope)
                yield scope

        def runs_out(connection: CacheConnection, transport: Any) -> None:
            if not late:
                late.append(connection)
                limits[0].deadline = 0  # in the turn in which it comes up, before its task has its own
            made(connection, transport)

        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group, settings=settings(connectTimeout=123_000))
            client = await stage.client()
            await client.send(get_records(1, fields("a0")))
            with anyio.fail_after(1):
                await answers(client, 1)  # nothing came up in its time, and there is no other cache
            for name in ("a1", "a2"):
                before = len(requests(stage))
                await client.send(get_records(1, fields(name)))
                await self.holds(lambda: len(requests(stage)) > before)  # noqa: B023
                for stream in stage.cache.streams:  # on whichever it came
                    with suppress(*ENDED):
                        await stream.send(served(name))
                self.assertIn("200", (await answers(client, 1))[0])
            for connection in stage.server.caches.open:
                assert connection.transport is not None
                self.assertFalse(connection.transport.is_closing())

        with (
            mock.patch.object(CacheConnection, "connection_made", runs_out),
            mock.patch("damsonstream.transport.caches.anyio.fail_after", seen),
        ):
            self.play(story)

    def test_what_a_cache_that_does_not_read_was_not_sent_is_taken_back(self) -> None:
        """Its system's buffers are full of a write; the next one's client leaves before it reads again."""

        async def story(group: TaskGroup) -> None:
            stage, slow = Stage(), socket.create_server(("127.0.0.1", 0))
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            box = {"uid": "s-00000001", "endpoint": f"127.0.0.1:{slow.getsockname()[1]}", "az": "shop",
                   "model": "box", "state": "ready"}  # fmt: skip
            roster = {"rev": 1, "all": True, "targets": [box]}
            await stage.begin(
                group, settings=settings(maxStreams=200), known={"no": 1, "items": [{"roster": roster}]}
            )
            clients, leaves = [await stage.client() for _ in range(10)], await stage.client()
            count, sent = stage.server.counters.counts, 0
            pool = stage.server.caches.pools["s-00000001"]
            while not any(connection.stuck for connection in pool.connections):
                sent += 1
                await clients[sent % 10].send(get_records(sent, fields(f"b{sent}"), bytes(48_000)))
                await self.holds(lambda: count["forwarded"] >= sent)  # noqa: B023
                for connection in pool.connections:  # full after a few
                    assert connection.transport is not None
                    own = connection.transport.get_extra_info("socket")
                    own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                self.assertLess(sent, 20)
            Dials(stage)  # no other connection comes up
            await leaves.send(get_records(1, fields("c0")))
            await self.holds(lambda: len(stage.server.gateway.inboxes) == sent + 1)
            await leaves.aclose()
            await self.holds(lambda: len(stage.server.gateway.inboxes) == sent)
            seen = await anyio.to_thread.run_sync(read_all, slow)
            self.assertEqual([ident(f"b{sent}") in seen, ident("c0") in seen], [True, False])

        self.play(story)

    def test_no_descriptor_is_not_the_caches_fault(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            client = await stage.client()
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            free = os.dup(0)
            os.close(free)
            resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
            try:
                for number in range(1, 8):
                    await client.send(get_records(number, fields(f"a{number}")))
                    await answers(client, 1)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            caches = stage.server.gateway.router.caches
            self.assertEqual([(node.breaker.state, node.run) for node in caches], [("Closed", 0)])
            self.assertGreater(stage.server.counters.counts["cache.no-descriptor"], 0)

        self.play(story)

    def test_nothing_goes_out_on_a_connection_that_its_cache_has_closed(self) -> None:
        """The close lies in the system, not yet read."""

        async def story(group: TaskGroup) -> None:
            bare = Bare()
            with bare.listener:
                first = await bare.up(group)
                with bare.accept() as cache:
                    cache.send(resp.bulks(b"a", b"served", b"-", b""))
                    await self.holds(lambda: bare.told == ["a returned"])
                second = bare.send("b")  # the loop has had no turn since the close
                await self.holds(lambda: second.connection is not None)
                self.assertIsNot(second.connection, first)
                bare.accept().close()
                await self.holds(lambda: len(bare.told) == 2)
            self.assertEqual(bare.told, ["a returned", "b broken"])

        self.play(story)

    def test_what_is_written_after_its_cache_reset_the_connection_never_began(self) -> None:
        """The reset comes between the look at the connection and the write."""

        async def story(group: TaskGroup) -> None:
            bare = Bare()
            with bare.listener:
                await bare.up(group)
                cache = bare.accept()
                cache.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, pack("ii", 1, 0))

                def command() -> bytes:
                    cache.close()
                    return b"b"

                second = bare.caches.send("c", b"b", command, lambda end: bare.told.append(f"b {end.result}"))
                self.assertIsNone(second.connection)
                await self.holds(lambda: len(bare.told) == 2)
            self.assertEqual(bare.told, ["b unsent", "a broken"])

        self.play(story)


def read_all(listener: socket.socket) -> bytes:
    """All that comes in half a second of quiet, on all connections."""
    seen = b""
    listener.settimeout(0.3)
    with suppress(TimeoutError):
        while True:
            stream, _ = listener.accept()
            stream.settimeout(0.5)
            with suppress(TimeoutError, ConnectionError):
                while data := stream.recv(1 << 16):
                    seen += data
    return seen


async def rest(stream: SocketStream, within: float = 3.0) -> tuple[bytes, str]:
    """All that comes, and how it ends."""
    data = b""
    try:
        with anyio.fail_after(within):
            while True:
                data += await stream.receive()
    except TimeoutError:
        return data, "open"
    except anyio.EndOfStream:
        return data, "shut"
    except anyio.BrokenResourceError:
        return data, "reset"


class Clients(RaceCase):
    """Connections of clients: slow ones, full ones, and what crosses an end."""

    def test_a_slow_writer_takes_no_other_get_with_it(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage, whole = Stage(), get_records(2, fields("b0"))
            await stage.begin(group)
            client = await stage.client()
            await client.send(get_records(1, fields("a0")) + whole[:30])
            await stage.cache.until(lambda: len(stage.cache.came) == 1)
            await anyio.sleep(0.9)  # three times the time after which half a GET ends a connection
            await stage.cache.streams[-1].send(served("a0"))
            self.assertIn("200", (await answers(client, 1))[0])
            for place in range(30, len(whole), 20):  # slow, but it goes on
                await client.send(whole[place : place + 20])
                await anyio.sleep(0.05)
            await stage.cache.until(lambda: len(stage.cache.came) == 2)
            await stage.cache.streams[-1].send(served("b0"))
            self.assertIn("200", (await answers(client, 1))[0])
            await client.send(whole[:30])  # and now it stops: that is bad
            self.assertNotEqual((await rest(client))[1], "open")

        with (
            mock.patch("damsonstream.transport.front.PROMPT", 0.3),
            mock.patch("damsonstream.transport.front.SWEEP", 0.05),
        ):
            self.play(story)

    def test_a_client_that_leaves_between_a_decision_and_its_attempt_is_not_sent_on(self) -> None:
        """Its GET was held; the decision to send it on, and that it has left, come in the same turn."""

        async def story(group: TaskGroup) -> None:
            stage = Stage()  # held for a second, ten looks for room
            await stage.begin(group, settings=settings({"onTime": 4_000_000}, cancel=False))
            client, gateway = await stage.client(), stage.server.gateway
            await client.send(get_records(1, fields("a0")))
            await stage.cache.until(lambda: len(stage.cache.came) == 1)
            await stage.cache.streams[-1].send(served("a0"))
            await answers(client, 1)  # a connection is up
            (connection,) = stage.server.front.clients
            decided, loop = list[int](), asyncio.get_running_loop()

            def left_just_then() -> None:
                decided.append(1)  # the task of the GET has its turn after this
                loop.call_soon(connection.data_received, fastcgi.record(fastcgi.ABORT, 1))

            node = gateway.router.caches[0]
            node.out += 1000  # no room: the next one is held
            gateway.observer = AsDecided(left_just_then)
            await client.send(get_records(1, fields("b0")))
            await self.holds(lambda: bool(gateway.router.queue))
            node.out -= 1000  # the next look finds room
            with anyio.fail_after(2):
                await answers(client, 1)
            await anyio.sleep(0.05)
            self.assertEqual((len(decided), [command[1] for command in requests(stage)]), (1, [ident("a0")]))

        self.play(story)

    def test_as_many_writes_as_may_be_open_come_in_at_once(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group, settings=settings(maxStreams=100))
            client = await stage.client()
            whole = [get_records(n, fields(f"a{n}"), bytes(48_000)) for n in range(1, 17)]
            for one in whole:
                await client.send(one[:-8])
            for one in whole:
                await client.send(one[-8:])
            await stage.cache.until(lambda: len(stage.cache.came) == 16)

        self.play(story)

    def test_nothing_is_taken_after_the_last_answer(self) -> None:
        """A client that does not keep its connection sends another GET in the same bytes: the first answer
        comes whole, and the second GET reaches nobody."""

        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            last = get_records(1, {"SCRIPT_NAME": "/healthz"}).replace(
                pack(">HB5x", 1, 1), pack(">HB5x", 1, 0), 1
            )
            client = await stage.client()
            await client.send(last + get_records(2, fields("b0")))
            data, end = await rest(client)
            self.assertEqual((b"ready" in data, end), (True, "shut"))
            # and one whose bytes are not read when it ends: a close over them would reset the answer
            client = await stage.client()
            await client.send(
                get_records(1, fields("a0")).replace(pack(">HB5x", 1, 1), pack(">HB5x", 1, 0), 1)
            )
            await stage.cache.until(lambda: len(stage.cache.came) == 1)
            body = bytes(range(256)) * 900
            await stage.cache.streams[-1].send(served("a0", body))
            await anyio.sleep(0.05)
            await client.send(get_records(2, fields("c0")))
            data, end = await rest(client)
            self.assertEqual((len(data) > len(body), end), (True, "shut"))
            self.assertEqual([command[1] for command in requests(stage)], [ident("a0")])

        self.play(story)

    def test_a_last_get_that_is_given_up_ends_its_connection(self) -> None:
        """Without KEEP_CONN nothing more is wanted on it."""

        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            client = await stage.client()
            last = get_records(1, fields("a0")).replace(pack(">HB5x", 1, 1), pack(">HB5x", 1, 0), 1)
            await client.send(last)
            await stage.cache.until(lambda: len(stage.cache.came) == 1)
            await client.send(fastcgi.record(fastcgi.ABORT, 1))
            self.assertEqual(await rest(client), (fastcgi.ended(1), "shut"))
            await client.aclose()
            await self.holds(lambda: not stage.server.front.clients)

        self.play(story)

    def test_a_last_answer_that_is_read_slowly_comes_whole(self) -> None:
        """The client is slower than the time it has to shut its side, and the system holds little."""

        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            slow.connect(stage.server.config.listen)
            await self.holds(lambda: any(client.transport for client in stage.server.front.clients))
            for client in stage.server.front.clients:
                assert client.transport is not None
                own = client.transport.get_extra_info("socket")
                own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            whole = get_records(1, fields("a0"))
            slow.sendall(whole.replace(pack(">HB5x", 1, 1), pack(">HB5x", 1, 0), 1))
            await stage.cache.until(lambda: len(stage.cache.came) == 1)
            await stage.cache.streams[-1].send(served("a0", bytes(240_000)))
            await self.holds(lambda: any(client.finishing for client in stage.server.front.clients))

            def read() -> int:  # over some four times that time
                count = 0
                slow.settimeout(2)
                while data := slow.recv(1 << 13):
                    count += len(data)
                    time.sleep(0.015)
                return count

            self.assertGreater(await anyio.to_thread.run_sync(read), 240_000)
            slow.close()
            idle = socket.create_connection(stage.server.config.listen)  # and one that reads nothing ends
            await self.holds(lambda: any(client.transport for client in stage.server.front.clients))
            for client in stage.server.front.clients:
                assert client.transport is not None
                client.transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
                )
                client.send(bytes(8_000_000))
                client.finish("asked", 0.1)
            await self.holds(lambda: not stage.server.front.clients)
            idle.close()

        with mock.patch("damsonstream.transport.front.SHUT", 0.1):
            self.play(story)

    def test_a_flood_takes_no_descriptor_that_is_not_the_clients(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group, limits={"cores": 1.0, "memory_mb": 192, "sockets": 96})
            usual, taken = await stage.client(), list[int]()
            await usual.send(get_records(1, fields("a0")))
            await stage.cache.until(lambda: len(stage.cache.came) == 1)
            made = ClientConnection.connection_made

            def up(client: ClientConnection, transport: Any) -> None:
                taken.append(transport.get_extra_info("socket").fileno())
                made(client, transport)

            with mock.patch.object(ClientConnection, "connection_made", up):
                flood = connect_many(stage.server.config.listen, 300)  # before the listener has its turn
                free = os.dup(
                    0
                )  # the system gives the lowest that is free: the highest tells how many there were
                os.close(free)
                await self.holds(lambda: len(taken) >= 31)
                await anyio.sleep(0.2)
            self.assertLess(max(taken), free + 32 + 1)
            self.assertLessEqual(len(stage.server.front.clients), 32)
            for one in flood:
                one.close()
            await stage.cache.streams[-1].send(served("a0"))
            self.assertIn("200", (await answers(usual, 1))[0])

        self.play(story)

    def test_a_connection_that_has_just_come_is_not_ended_for_one_more(self) -> None:
        """All places are taken by connections at rest; two come at once, each with its GET on the way."""

        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group, limits={"cores": 1.0, "memory_mb": 192, "sockets": 96})
            health = get_records(1, {"SCRIPT_NAME": "/healthz"})
            resting = [await stage.client() for _ in range(32)]
            for client in resting:
                await client.send(health)
                await answers(client, 1)
            await anyio.sleep(0.1)
            fresh = await anyio.to_thread.run_sync(connect_many, stage.server.config.listen, 2)
            await anyio.sleep(0.02)  # both are accepted, neither has spoken
            for one in fresh:
                one.sendall(health)
            for one in fresh:
                one.settimeout(2)
                data = await anyio.to_thread.run_sync(one.recv, 4096)
                self.assertIn(b"ready", data)
                one.close()

        self.play(story)


def connect_many(address: tuple[str, int], count: int) -> list[socket.socket]:
    """That many connections, all before the listener has its turn."""
    made = []
    for _ in range(count):
        one = socket.socket()
        one.setblocking(False)
        with suppress(BlockingIOError):
            one.connect(address)
        made.append(one)
    return made


class Shutdown(RaceCase):
    """From SIGTERM to the end."""

    def test_a_client_that_never_stops_does_not_hold_the_end_back(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage, sent = Stage(), 0  # ten GETs are open at any time
            await stage.begin(group, settings=settings({"hardLimit": 1_500_000}))
            cache, client = stage.cache, await stage.client()
            begun = anyio.current_time()

            async def answer() -> None:
                done = 0
                while True:
                    await cache.until(lambda: len(requests(stage)) > done + 10)  # noqa: B023
                    await cache.streams[-1].send(resp.bulks(requests(stage)[done][1], b"served", b"-", b"x"))
                    done += 1

            group.start_soon(answer)
            read, shut, used = list[str](), anyio.Event(), dict[int, int]()
            group.start_soon(read_answers, client, read, shut)
            with suppress(*ENDED):
                while anyio.current_time() < begun + 5 and not shut.is_set():
                    sent += 1
                    id = next(
                        n for n in range(1, 31) if n not in used or f"  id {n}:" in heads(read[used[n] :])
                    )
                    used[id] = len(read)
                    await client.send(get_records(id, fields(f"{sent:x}", HTTP_X_TTL_MS="1500")))
                    if sent == 20:
                        os.kill(os.getpid(), signal.SIGTERM)
                    await anyio.sleep(0.01)
            await stage.ended.wait()
            self.assertLess(anyio.current_time() - begun, 0.2 + 0.7 + 1.5 + 0.1)
            # those written after the connection was shut crossed that: at most what a few turns bring
            self.assertLessEqual(sent - len(read), 3, read[-3:])
            self.assertGreater(len(read), 80)

        self.play(story)

    def test_what_hangs_is_answered_before_the_kill(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)  # its GETs may take 6 s, and SIGKILL comes after 3.7 s
            client = await stage.client()
            await client.send(get_records(1, fields("a0")))
            await stage.cache.until(lambda: len(stage.cache.came) == 1)
            begun = anyio.current_time()
            os.kill(os.getpid(), signal.SIGTERM)
            await anyio.sleep(0.6)  # the last that may come has its whole time left
            await client.send(get_records(2, fields("a1")))
            with anyio.fail_after(3.0):
                self.assertEqual(len(await answers(client, 2)), 2)
                self.assertEqual(await rest(client), (b"", "shut"))
                await client.aclose()
                await stage.ended.wait()
            self.assertLess(anyio.current_time() - begun, 0.7 + 3.0)

        self.play(story)

    def test_an_answer_that_is_read_slowly_arrives_whole(self) -> None:
        """The client reads nothing until the gateway has shut all, and a GET of its crosses that."""

        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            slow = socket.create_connection(stage.server.config.listen)
            await anyio.sleep(0.05)
            await anyio.to_thread.run_sync(slow.sendall, get_records(1, fields("a0")))
            await stage.cache.until(lambda: len(stage.cache.came) == 1)
            body = bytes(240_000)
            await stage.cache.streams[-1].send(served("a0", body))
            os.kill(os.getpid(), signal.SIGTERM)
            await self.holds(lambda: stage.server.front.closing and not stage.server.front.open)
            await anyio.sleep(0.1)
            slow.sendall(get_records(2, fields("b0")))

            def read() -> int:
                count = 0
                slow.settimeout(2)
                while data := slow.recv(1 << 14):
                    count += len(data)
                return count

            self.assertGreater(await anyio.to_thread.run_sync(read), len(body))
            slow.close()
            await stage.ended.wait()
            self.assertEqual([command[1] for command in requests(stage)], [ident("a0")])

        self.play(story)

    def test_signals_that_come_while_it_ends_do_not_end_it_sooner(self) -> None:
        content = told(settings=settings({"hardLimit": 1_500_000}))
        with started(content, "from damsonstream.program import cli") as program:
            host, _, port = content["listen"].rpartition(":")
            client = socket.create_connection((host, int(port)))
            time.sleep(0.05)
            program.send_signal(signal.SIGTERM)
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1, signal.SIGINT):
                time.sleep(0.25)  # over the whole time in which it ends: the client does not shut its side
                program.send_signal(number)
            client.settimeout(2)
            self.assertEqual(client.recv(10), b"")
            assert program.stderr is not None
            program.stderr.read()
            client.close()
        self.assertEqual(program.returncode, 0)

    def test_a_signal_that_comes_as_the_last_line_is_written(self) -> None:
        before = """
import os, signal
from damsonstream.program import cli, serve
report = serve.Server.report
def last(server):
    os.kill(os.getpid(), signal.SIGTERM)
    report(server)
serve.Server.report = last
"""
        with started(told(), before) as program:
            program.send_signal(signal.SIGTERM)
            assert program.stderr is not None
            self.assertIn("event=counters", program.stderr.read())
        self.assertEqual(program.returncode, 0)


@contextmanager
def started(content: dict[str, Any], before: str) -> Iterator[subprocess.Popen[str]]:
    """The program as a process of its own, ready; `before` runs in it first."""
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(content, file)
        file.flush()
        code = f'{before}\nraise SystemExit(cli.main(["serve", "--config", {file.name!r}]))'
        with subprocess.Popen([sys.executable, "-c", code], stderr=subprocess.PIPE, text=True) as program:
            assert program.stderr is not None
            while "event=ready" not in (line := program.stderr.readline()):
                if not line:
                    raise AssertionError("it ended before it was ready")
            yield program


def heads(lines: list[str]) -> list[str]:
    return [line[: line.index(":") + 1] for line in lines]


async def read_answers(client: SocketStream, lines: list[str], shut: anyio.Event) -> None:
    with suppress(*ENDED):
        while True:
            lines += await answers(client, 1)
    shut.set()


def half_written(stage: Stage) -> str:
    """A configuration that moves the bulletin, of which half stands in the file; gives the whole."""
    text = json.dumps({**stage.told, "bulletin": stage.new})
    stage.file.write_text(text[: len(text) // 2])
    return text


class Watch(RaceCase):
    """The discovery watch."""

    def test_pieces_that_never_make_a_frame_keep_no_watch_alive(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            frame = list_frame(2, 2, (3, "127.0.0.1:9", 0, 2))
            await stage.board.until(lambda: len(stage.board.hellos) == 1)
            with suppress(*ENDED):
                for byte in frame[:-1] * 3:
                    await stage.board.streams[-1].send(bytes([byte]))
                    await anyio.sleep(0.05)
                    if len(stage.board.hellos) > 1:
                        break
            self.assertEqual(stage.board.hellos, [1, 1])

        with mock.patch("damsonstream.transport.watch.SILENT", 0.3):
            self.play(story)

    def test_a_whole_list_beyond_the_next_number_is_taken(self) -> None:
        """What stood between is not known: copies are bounded as if all had been purged just now."""

        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            here = stage.server.caches.pools["s-00000001"].address
            await stage.board.until(lambda: bool(stage.board.hellos))
            await stage.board.streams[-1].send(list_frame(9, 1, (1, here, 0, 0), (4, "127.0.0.1:9", 0, 1)))
            await self.holds(lambda: "s-00000004" in stage.server.caches.pools)
            self.assertEqual(stage.server.watch.last, 9)
            client = await stage.client()
            await client.send(get_records(1, fields("a0")))
            await stage.cache.until(lambda: bool(stage.cache.came))
            newer = oldest_wanted(stage.cache.came[0])
            self.assertTrue(newer and int(newer) < 3000, stage.cache.came[0])
            self.assertEqual(len(stage.board.hellos), 1)

        self.play(story)

    def test_an_event_that_could_not_be_used_is_asked_for_again(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            here = stage.server.caches.pools["s-00000001"].address
            whole = list_frame(1, 1, (1, here, 0, 0), (2, here, 0, 1))
            stage.board.frames = [whole, list_frame(2, 2, (5, "127.0.0.1:9", 0, 2))]
            with mock.patch.object(stage.server.caches, "listed", side_effect=RuntimeError("first")):
                await self.holds(lambda: stage.server.counters.counts["bulletin.fault"] == 1)
            await self.holds(lambda: "s-00000005" in stage.server.caches.pools)
            self.assertEqual((stage.board.hellos[-1], stage.server.watch.last), (0, 2))

        with mock.patch("damsonstream.transport.watch.UNUSABLE", 0.1):
            self.play(story)

    def test_a_configuration_read_half_written_is_read_again(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            text = half_written(stage)
            os.kill(os.getpid(), signal.SIGHUP)
            await self.holds(lambda: stage.server.counters.counts["reload.unusable"] == 1)
            stage.file.write_text(text)
            await stage.other.until(lambda: bool(stage.other.hellos))

        self.play(story, 5)

    def test_a_configuration_completed_just_after_it_was_read(self) -> None:
        """It does not change any more afterwards: what it was like before it was read counts."""
        read = config.read

        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            text = half_written(stage)

            def completed(path: str | None) -> config.Config:
                try:
                    return read(path)
                except config.Unusable:
                    stage.file.write_text(text)
                    raise

            with mock.patch("damsonstream.program.config.read", completed):
                os.kill(os.getpid(), signal.SIGHUP)
                await stage.other.until(lambda: bool(stage.other.hellos))
            count = stage.server.counters.counts
            self.assertEqual((count["reload.unusable"], count["reload.used"]), (1, 1))

        self.play(story, 5)


class Loop(RaceCase):
    """What asks again until its moment has come waits meanwhile, and does not turn the loop."""

    def test_a_timer_that_is_early_is_not_asked_for_without_waiting(self) -> None:
        async def story(group: TaskGroup) -> None:
            loop, looks = asyncio.get_running_loop(), list[int]()
            for ahead in (0.0001, 0.0003, 0.00045, 0.0013, 0.0024):
                due, over, count = time.monotonic() + ahead, anyio.Event(), 0

                def look(due: float = due, over: anyio.Event = over) -> None:
                    nonlocal count
                    count += 1
                    left = due - time.monotonic()
                    if left > 0:
                        loop.call_later(left, look)
                    else:
                        over.set()

                look()
                await over.wait()
                looks.append(count)
            self.assertLess(max(looks), 5, looks)  # its own, one that is early, one more

        self.play(story)

    def test_a_time_limit_that_is_not_whole_milliseconds_is_looked_at_a_few_times(self) -> None:
        async def story(group: TaskGroup) -> None:
            looks, loop = 0, asyncio.get_running_loop()
            call_at = loop.call_at

            def counted(when: float, look: Callable[..., object], *args: Any) -> asyncio.TimerHandle:
                nonlocal looks
                looks += 1
                return call_at(when, look, *args)

            with mock.patch.object(loop, "call_at", counted):
                for ahead in (0.0003, 0.0103, 0.01045):
                    with anyio.move_on_after(ahead):
                        await anyio.sleep_forever()
            self.assertLess(looks, 15)

        self.play(story)

    def test_a_wake_of_the_gateway_reads_the_clock_a_few_times(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage, reads, most = Stage(), 0, list[int]()
            await stage.begin(group)
            gateway = stage.server.gateway
            clock, monotonic = gateway.clock, gateway.clock.monotonic

            def counted() -> int:
                nonlocal reads
                reads += 1
                return monotonic()

            clock.monotonic = counted  # a compiled clock can't be patched
            for ahead in (1, 3, 4, 13, 24):  # tenths of a millisecond
                reads = 0
                gateway.wakes.append(clock.now() + ahead)  # the only one: no request is open
                gateway.arm()
                await self.holds(lambda: not gateway.wakes)
                most.append(reads)
            self.assertLess(max(most), 12, most)

        self.play(story)

    def test_serve_runs_on_that_loop(self) -> None:
        code = (
            "import anyio, sys\n"
            "from damsonstream.program import cli\n"
            "from damsonstream.transport import loop\n"
            "anyio.run = lambda run, backend_options: print(backend_options is loop.LOOP)\n"
            "cli.main(['serve', '--config', sys.argv[1]])"
        )
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(told(), file)
            file.flush()
            said = subprocess.run([sys.executable, "-c", code, file.name], capture_output=True, text=True)
        self.assertEqual(said.stdout, "True\n", said.stderr)


class Standstill(RaceCase):
    """The gateway's process stands still, as machines do: what lies ready when it goes on was in time."""

    async def asked(self, stage: Stage, *names: str) -> tuple[SocketStream, int]:
        """A client whose GETs are out, and the descriptor on which their answers are written."""
        client = await stage.client()
        for number, name in enumerate(names, 1):
            await client.send(get_records(number, fields(name)))
        await stage.cache.until(lambda: len(requests(stage)) == len(names))
        return client, descriptor(stage.cache.streams[-1])

    async def stop(self, stage: Stage, meanwhile: Callable[[], object], seconds: float) -> None:
        """The process stops for so long as it reads a client's bytes, and `meanwhile` others write: the loop
        has timers before it reads on."""
        other, stopped = await stage.client(), anyio.Event()

        def took(_: ClientConnection, data: bytes) -> None:
            meanwhile()
            time.sleep(seconds)
            stopped.set()

        with mock.patch.object(ClientConnection, "took", took):
            await other.send(b"x")
            await stopped.wait()

    def test_answers_that_came_meanwhile_are_told_before_anyone_is_blamed(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage, names = Stage(), [f"a{number}" for number in range(1, 13)]
            await stage.begin(group)
            client, link = await self.asked(stage, *names)
            await self.stop(stage, lambda: os.write(link, b"".join(map(served, names))), 1.0)
            lines = await answers(client, len(names))
            self.assertEqual([line for line in lines if "200 OK" not in line], [])
            nodes = stage.server.gateway.router.nodes.values()
            self.assertEqual({(node.breaker.state, node.run) for node in nodes}, {("Closed", 0)})

        self.play(story)

    def test_an_answer_whose_rest_came_meanwhile_is_not_stalled(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage, whole = Stage(), served("a1", b"x" * 1000)
            await stage.begin(group)
            client, link = await self.asked(stage, "a1")
            (connection,) = stage.server.caches.open
            os.write(link, whole[:500])
            await self.holds(lambda: connection.decoder.half)
            await self.stop(stage, lambda: os.write(link, whole[500:]), STALLED + 0.3)
            self.assertIn("200 OK", (await answers(client, 1))[0])
            self.assertEqual(connection.reason, "")

        self.play(story)

    def test_a_client_whose_first_request_came_meanwhile_is_not_silent(self) -> None:
        async def story(group: TaskGroup) -> None:
            stage = Stage()
            await stage.begin(group)
            client = await stage.client()
            wire = descriptor(client)
            await self.stop(stage, lambda: os.write(wire, get_records(1, fields("a1"))), 1.4)
            await stage.cache.until(lambda: len(requests(stage)) == 1)
            await stage.cache.streams[-1].send(served("a1"))
            self.assertIn("200 OK", (await answers(client, 1))[0])

        with mock.patch("damsonstream.transport.front.PROMPT", 1.0):
            self.play(story)

    def test_a_dial_that_came_up_meanwhile_is_up(self) -> None:
        """Its cache has no room for it at first, and takes it while the process stands; the system asks again
        after a second."""

        async def story(group: TaskGroup) -> None:
            bare = Bare(connect_timeout=1.2, backlog=0)
            with bare.listener, ExitStack() as held:
                held.enter_context(socket.create_connection(bare.address))  # all that it holds
                await bare.begin(group)
                attempt = bare.send("a")
                await anyio.sleep(0.1)
                self.assertEqual([one.transport for one in bare.caches.open], [None])  # still dialling

                class Stop(asyncio.Protocol):
                    def data_received(self, data: bytes) -> None:
                        held.enter_context(bare.listener.accept()[0])
                        time.sleep(1.5)

                ours, theirs = socket.socketpair()
                held.enter_context(theirs)
                await asyncio.get_running_loop().connect_accepted_socket(Stop, ours)
                theirs.send(b"x")
                await self.holds(lambda: attempt.connection is not None or bool(bare.told))
            self.assertEqual(bare.told, [])

        self.play(story)
