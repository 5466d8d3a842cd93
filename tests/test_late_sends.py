"""Tests of what is sent long after it was decided: forwards whose connection is established late."""

from __future__ import annotations

import socket
import time
from copy import deepcopy
from dataclasses import replace
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup

from damsonstream.protocol import bulletin
from damsonstream.routing import interface as i
from damsonstream.routing.sent_ids import SentIds
from damsonstream.transport.caches import Connection
from tests.helpers import ORDER, PAGES, TILES, RouterDriver, S, ScenarioCase, entry, get_fields, get_records
from tests.test_gateway import SETTINGS, LoopbackFixture, read_answers

WINDOW_S = 0.3  # in which caches drop the repeats of a token
TOKEN = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
ORDER_LANE = {"name": "order", "onTime": 600000, "hardLimit": 3000000, "idempotency": "deduplicated",
              "keyScope": "all", "dedupWindow": int(WINDOW_S * 1e6)}  # fmt: skip

ORDER_FIELDS = get_fields("a0", SCRIPT_NAME="/v1/order", HTTP_X_TXN_KEY=TOKEN, HTTP_X_TTL_MS="2000")
ORDER_RECORDS = get_records(1, ORDER_FIELDS)


def get_settings(**limits: Any) -> dict[str, Any]:
    """Returns settings with a second lane, whose requests have a token."""
    settings = deepcopy(SETTINGS)
    settings["lanes"].append(ORDER_LANE)
    settings["familyInfo"] |= {"maxAge": [0, 0], "usableAfter": [0, 0], "passOn": [False, False]}
    settings["limits"] |= limits
    return settings


class LateFixture(LoopbackFixture):
    """A gateway whose connections to its cache are established only while `may_connect` is set."""

    async def start(self, group: TaskGroup, **changes: Any) -> None:
        await super().start(group, **changes)
        self.may_connect, connections = anyio.Event(), self.server.cache_connections
        run_connection = connections.run_connection

        async def connects_late(connection: Connection) -> None:
            await self.may_connect.wait()
            await run_connection(connection)

        connections.run_connection = connects_late  # type: ignore[method-assign]

    async def start_waiting(self, group: TaskGroup, **changes: Any) -> SocketStream:
        """Starts the gateway, and a GET whose forward waits for its connection; returns its client."""
        await self.start(group, **changes)
        self.waiting_client = await self.client()
        await self.waiting_client.send(get_records(1, get_fields("a0")))
        await self.wait_for_connection_attempt()
        return self.waiting_client

    async def wait_for_connection_attempt(self) -> None:
        while not any(c.transport is None for c in self.server.cache_connections.open_connections):
            await anyio.sleep(0.005)

    @property
    def requests(self) -> list[str]:
        """The field lists of the forwards that the cache has received."""
        return [command[2].decode() for command in self.cache.commands if command[0] == b"REQ"]

    def list_parent(self, state: str) -> None:
        address = self.server.cache_connections.pools["s-00000002"].address
        line = bulletin.Listed("s-00000002", address, "shop", state, 1.0, 0, "parent", 0)
        self.server.on_bulletin_event(bulletin.ListChanged(False, (line,)), 2)


class LateConnection(ScenarioCase):
    """Against the failure in which a forward that waited for its connection was sent as it had been decided,
    whatever the gateway had been told meanwhile, and whether or not its time was over."""

    def test_purge_told_while_a_forward_waits_bounds_the_age(self) -> None:
        async def scenario(group: TaskGroup) -> None:
            fixture = LateFixture()
            await fixture.start_waiting(group)
            issued_ms = int(time.time() * 1000)
            fixture.server.on_bulletin_event(bulletin.PurgeTold("", 17, issued_ms), 2)
            await anyio.sleep(0.2)
            fixture.may_connect.set()
            await fixture.cache.wait_until(lambda: len(fixture.requests) == 1)
            fields = dict(pair.split("=") for pair in fixture.requests[0].split(","))
            self.assertLessEqual(int(fields.get("newer", 1 << 30)), 1000 * time.time() - issued_ms)
            self.assertLessEqual(int(fields["ms"]), 4900)  # the time that is left when it is sent

        self.run_scenario(scenario)

    def test_source_that_drains_while_a_forward_waits_is_not_named(self) -> None:
        async def scenario(group: TaskGroup) -> None:
            fixture = LateFixture()
            await fixture.start_waiting(group)
            fixture.list_parent("leaving")
            fixture.may_connect.set()
            await fixture.cache.wait_until(lambda: len(fixture.requests) == 1)
            self.assertNotIn("s-00000002", fixture.requests[0])

        self.run_scenario(scenario)

    def test_token_is_not_sent_again_after_its_window(self) -> None:
        """The connection breaks under a request that may have run; that of its retry is late."""

        async def scenario(group: TaskGroup) -> None:
            fixture = LateFixture()
            await fixture.start(group, settings=get_settings())
            fixture.may_connect.set()
            client = await fixture.client()
            await client.send(ORDER_RECORDS)
            await fixture.cache.wait_until(lambda: len(fixture.requests) == 1)
            fixture.may_connect = anyio.Event()
            await fixture.cache.streams[0].aclose()
            await fixture.wait_for_connection_attempt()
            await anyio.sleep(WINDOW_S + 0.05)
            fixture.may_connect.set()
            await read_answers(client, 1)
            await anyio.sleep(0.1)
            self.assertEqual(len(fixture.requests), 1)

        self.run_scenario(scenario)

    def test_client_that_left_gets_nothing_sent_where_recalls_are_forbidden(self) -> None:
        async def scenario(group: TaskGroup) -> None:
            fixture = LateFixture()
            client = await fixture.start_waiting(group, settings=get_settings(cancel=False))
            await client.aclose()
            while fixture.server.listener.clients:
                await anyio.sleep(0.005)
            fixture.may_connect.set()
            await anyio.sleep(0.2)
            self.assertEqual(fixture.requests, [])

        self.run_scenario(scenario)


class BodyLength(ScenarioCase):
    def test_write_whose_length_does_not_fit_its_body_is_not_sent(self) -> None:
        """Against the failure in which a write that was cut short was run, and answered as served."""

        async def scenario(group: TaskGroup) -> None:
            fixture = LateFixture()
            await fixture.start(group)
            fixture.may_connect.set()
            client = await fixture.client()
            for length in ("7", "5", "-6", "six"):
                fields = get_fields(f"a{len(length)}{length[-1]}".replace("x", "0"), CONTENT_LENGTH=length)
                await client.send(get_records(1, fields, b"object"))
                self.assertIn("500", (await read_answers(client, 1))[0])
            self.assertEqual(fixture.requests, [])
            for number, length in enumerate(("6", "")):
                fields = get_fields(f"b{number}", CONTENT_LENGTH=length)
                await client.send(get_records(2 + number, fields, b"object"))
            await fixture.cache.wait_until(lambda: len(fixture.requests) == 2)

        self.run_scenario(scenario)


class ClientLeft(ScenarioCase):
    """Against the failures in which requests were sent on after their client had closed its connection."""

    def test_requests_that_were_unread_when_their_client_closed(self) -> None:
        """A client writes as many requests as a connection may carry, and closes it before any is read."""

        async def scenario(group: TaskGroup) -> None:
            fixture = LateFixture()
            await fixture.start(group)
            fixture.may_connect.set()
            usual = await fixture.client()
            await usual.send(get_records(1, get_fields("a0")))
            await fixture.cache.wait_until(lambda: len(fixture.requests) == 1)  # a connection is up
            with socket.create_connection(fixture.server.config.listen) as client:
                for id in range(1, 33):
                    client.sendall(get_records(id, get_fields(f"{id:x}b", HTTP_X_ROW=f"{id:016x}")))
            while len(fixture.server.listener.clients) > 1 or fixture.server.counters.values()["taken"] == 1:
                await anyio.sleep(0.005)
            await anyio.sleep(0.2)
            self.assertEqual(len(fixture.requests), 1)

        self.run_scenario(scenario)

    def test_id_that_comes_again_after_its_client_left_is_not_sent_again(self) -> None:
        async def scenario(group: TaskGroup) -> None:
            fixture = LateFixture()
            await fixture.start(group, settings=get_settings())
            fixture.may_connect.set()
            client = await fixture.client()
            await client.send(ORDER_RECORDS)
            await fixture.cache.wait_until(lambda: len(fixture.requests) == 1)
            await client.aclose()
            while fixture.server.get_tasks.open_ids:
                await anyio.sleep(0.005)
            client = await fixture.client()
            await client.send(ORDER_RECORDS)
            answers = await read_answers(client, 1)
            self.assertIn("500", answers[0])
            self.assertEqual(len(fixture.requests), 1)

        self.run_scenario(scenario)

    def test_ids_that_are_remembered_are_bounded(self) -> None:
        sent_ids = SentIds(max_ids=2)
        for ident in (b"a", b"b", b"c"):
            sent_ids.add(ident)
        self.assertEqual([ident in sent_ids for ident in (b"a", b"b", b"c")], [False, True, True])


class Confirmation(ScenarioCase):
    """The router confirms each forward at its first byte; what no longer holds is withdrawn."""

    def confirm(self, *events: i.Event, later: int = 0, service: int = 0) -> i.Forward | None:
        """Decides a forward, passes events to the router, and asks for its confirmation."""
        desk = RouterDriver(nodes="c1 p1 o")
        desk.start(1, service=service)
        for event in events:
            desk.handle(event)
        desk.now += later
        return desk.router.confirm_forward(desk.now, 1, 0)

    def test_what_holds_is_sent_as_decided(self) -> None:
        desk = RouterDriver(nodes="c1 p1 o")
        desk.start(1)
        self.assertEqual(desk.router.confirm_forward(desk.now + S, 1, 0), desk.sent[1, 0])

    def test_what_no_longer_holds_is_withdrawn(self) -> None:
        for name in ("c1", "p1"):
            for changed in (entry(name, "leaving"), entry(name, "left"), entry(name, since=99 * S)):
                with self.subTest(changed=changed):
                    self.assertIsNone(self.confirm(i.ListUpdate("changes", (changed,))))
        self.assertIsNone(self.confirm(i.ListUpdate("full", (entry("c1"), entry("o")))))
        self.assertIsNone(self.confirm(later=TILES.viewer_timeout))
        self.assertIsNone(self.confirm(i.ClientLeft(1)))

    def test_refresh_is_not_requested_once_a_purge_was_told(self) -> None:
        purged = self.confirm(i.Purged("", 1, 0), later=100, service=1)
        assert purged is not None
        self.assertEqual((purged.max_age, purged.refresh), (100, False))
        self.assertGreater(PAGES.max_age, 100)

    def test_cell_of_a_token_is_that_of_the_process_that_it_was_sent_to(self) -> None:
        """Against the failure in which a new process under a known name, in another cell, was taken for the
        one that may have run a request, so that the request was sent to a cell that drops no repeat of it."""
        order = replace(ORDER, token_scope="cell")
        desk = RouterDriver(nodes="c1 p1 o", services=(TILES, PAGES, order, order))
        desk.handle(i.ListUpdate("changes", (entry("c1", cell=1),)))
        desk.start(1, service=2)
        moved = (entry("c1", cell=2, since=99 * S), entry("c2", cell=2))
        desk.handle(i.ListUpdate("changes", moved))
        desk.finish(1, "broken")
        self.assertEqual(desk.attempts[1], 1)
        self.assertNotIn(1, desk.router.gets)
