"""Test fixtures: a small footprint, a driver that traces a router's decisions, a stand-in server for caches
and discovery, and a base class for tests that compare traces.
"""

from __future__ import annotations

import difflib
import logging
import re
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from struct import pack
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup

from damsonstream.protocol import fastcgi
from damsonstream.routing import interface as i
from damsonstream.routing.router import Router

S = 10_000  # ticks of the router's clock per second
BEGIN_CONTENT = pack(">HB5x", 1, 1)  # of a BEGIN_REQUEST record: role Responder, KEEP_CONN
TILES = i.DeliveryService("tiles", 6000, 2.0, 60000, 2.0, 0.15, "idempotent", "all", 0, False, 0, 0, False)
PAGES = replace(TILES, name="pages", objective=2500, viewer_timeout=25000, revenue=1.0, max_age=8 * S)
ORDER = replace(
    TILES, name="order", idempotency="tokened", token_lifetime=3 * S, uncacheable=True, viewer_timeout=30000
)
NON_IDEMPOTENT = replace(ORDER, name="firm", idempotency="non-idempotent")
FOOTPRINT = i.Deployment(
    services=(TILES, PAGES, ORDER, NON_IDEMPOTENT), location="shop", gateways=4, location_gateways=1,
    models=("box", "parent", "origin"), parent_model="parent", origin_model="origin", capacity_info="rough",
    must_subscribe=False, resubscribe_within=10 * S, client_kb_per_s=2000.0, fill_codes="hit",
    collapses_fills=True, allows_direct=False, timer_tick=20, allows_recall=True, allows_hedges=True,
    allows_retry_after=True, max_forwards=6, max_retry_after=5000,
    cold_share=0.2, cold_duration=18 * S, cold_multiple=2.5, cold_overload_span=S, parent_cold_share=0.06,
    parent_cold_duration=22 * S, parent_cold_multiple=2.0, purge_settle_time=6 * S,
)  # fmt: skip
ROLES = {"c": ("shop", "box"), "p": ("hub", "parent"), "o": ("hub", "origin")}


def entry(name: str, state: str = "active", since: int = 0, cell: int = 0, units: float = 10) -> i.ListEntry:
    location, model = ROLES[name[0]]
    return i.ListEntry(name, location, state, units, cell, model, since)


class RouterDriver:
    """Drives one router and records its decisions as short lines of text.

    `attempts` holds the number of attempts (forwards) of each GET; the index of an attempt is its leg.
    """

    def __init__(self, nodes: str = "c1 c2 p1 p2 o", **changes: Any) -> None:
        self.router, self.now, self.lines = Router(), 100 * S, list[str]()
        self.sent: dict[tuple[int, int], i.Forward] = {}
        self.attempts: dict[int, int] = {}
        self.handle(i.Started(7, replace(FOOTPRINT, **changes)))
        self.handle(i.ListUpdate("cached", tuple(entry(name) for name in nodes.split())))

    def log(self, text: str) -> None:
        self.lines.append(f"{self.now / 10:.1f} {text}")

    def handle(self, event: i.Event) -> list[i.Action]:
        """Passes an event to the router, and records and returns its actions."""
        actions = self.router.handle(self.now, event)
        for action in actions:
            match action:
                case i.Forward(get=get):
                    leg = self.attempts.get(get, 0)
                    self.attempts[get], self.sent[get, leg] = leg + 1, action
                    extra = " copies-only" * action.only_if_cached + f" age<={action.max_age / 10:.1f}" * (
                        action.max_age > 0
                    )
                    self.log(f"  GET {get} leg {leg} -> {action.cache} fill {action.source}{extra}")
                case i.Wake():
                    pass
                case i.Shed(get=get):
                    self.log(f"  GET {get} shed, come back after {action.retry_after / 10:.0f}")
                case i.Errored(get=get):
                    self.log(f"  GET {get} errored")
                case i.Recall(get=get):
                    self.log(f"  GET {get} leg {action.attempt} recalled")
                case i.Trace():
                    self.log(f"  {action.text}")
                case i.SubscribeToList():
                    self.log("  asks for the list")
        return actions

    def start(self, get: int, service: int = 0, object_id: str = "", left: int = 0, group: int = 1) -> None:
        """Passes a new GET with `left` ticks to the router; by default it has the viewer timeout."""
        left = left or FOOTPRINT.services[service].viewer_timeout
        self.log(f"GET {get} {FOOTPRINT.services[service].name} {object_id or f'/o/{get}'}")
        self.handle(i.GetReceived(get, left, service, object_id or f"/o/{get}", group, 0.0, False))

    def finish(
        self, get: int, result: str, note: int = 0, leg: int = -1, took: int = 500, **load: float
    ) -> None:
        """Ends an attempt of a GET, by default the last one; `load` are the load values of the answer."""
        leg = self.attempts[get] - 1 if leg < 0 else leg
        self.log(f"GET {get} leg {leg} {result}" + f" note {note}" * (note > 0))
        cache, shared, first = self.sent[get, leg].cache, load.pop("shared", 0) > 0, int(load.pop("first", 0))
        over = result == "returned"
        self.handle(i.ForwardEnded(get, leg, cache, result, took, first, note, over, shared, load))

    def advance(self, time: int, step: int = 200) -> None:
        """Advances the time, waking the router as its timers would."""
        until = self.now + time
        while self.now < until:
            self.now = min(until, self.now + step)
            self.handle(i.Woken())


class TraceCase(unittest.TestCase):
    """Compares traces with those kept in tests/traces/."""

    def check(self, name: str, lines: list[str]) -> None:
        """Compares a trace with the kept one; a different one is written beside it as NAME.now."""
        kept = Path(__file__).parent / "traces" / f"{name}.txt"
        expected = kept.read_text().splitlines() if kept.exists() else []
        difference = "\n".join(difflib.unified_diff(expected, lines, "kept", "now", lineterm=""))
        if difference:
            kept.with_suffix(".now").write_text("\n".join(lines) + "\n")
        self.assertFalse(difference, f"{name}: decisions changed\n{difference}")


class ScenarioCase(TraceCase):
    """Runs scenarios with sockets in an event loop of their own."""

    LIMIT_S = 30

    def run_scenario(self, scenario: Callable[[TaskGroup], Awaitable[None]]) -> None:
        async def run() -> None:
            with anyio.fail_after(self.LIMIT_S):
                async with anyio.create_task_group() as group:
                    await scenario(group)
                    group.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})

    def disable_logging(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


def get_fields(ident: str, **more: str) -> dict[str, str]:
    """Returns the fields of a GET for tiles; those in `more` are added or replace one."""
    defaults = {"SCRIPT_NAME": "/v1/tiles", "HTTP_X_TXN": ident.rjust(16, "0"), "HTTP_X_SET": "17"}
    return {**defaults, "HTTP_X_ROW": "7f3a9c21e0b4d655", "HTTP_X_TTL_MS": "5000", **more}


def get_records(id: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a GET as a web server sends it."""
    pairs = b"".join(fastcgi.pair(name.encode(), value.encode()) for name, value in fields.items())
    parts = (fastcgi.BEGIN, BEGIN_CONTENT), (fastcgi.PARAMS, pairs), (fastcgi.PARAMS, b"")
    stdin = ((fastcgi.STDIN, body), (fastcgi.STDIN, b"")) if body else ((fastcgi.STDIN, b""),)
    return b"".join(fastcgi.record(kind, id, content) for kind, content in (*parts, *stdin))


def list_frame(number: int, kind: int, *lines: tuple[int, str, int, int]) -> bytes:
    """Encodes a discovery frame; a line is id, address, state and index of its model."""
    payload = b""
    for id, address, state, model in lines:
        host, _, port = address.rpartition(":")
        where = bytes(map(int, host.split(".")))
        payload += pack(">I4sHBBBHIQ", id, where, int(port), state, 0, model, 0, 10_000, 0)
    return pack(">IQB", 9 + len(payload), number, kind) + payload


class StandIn:
    """A cache or discovery server, written from the protocol's page, that records what it receives."""

    def __init__(self) -> None:
        self.commands: list[list[bytes]] = []  # complete commands to a cache
        self.hello_numbers: list[int] = []  # the event numbers after which clients asked
        self.frames: list[bytes] = []  # what the discovery server sends
        self.streams: list[SocketStream] = []
        self.changed = anyio.Event()

    async def cache(self, stream: SocketStream) -> None:
        self.streams.append(stream)
        data = b""
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            while True:
                data += await stream.receive()
                while command := re.match(rb"\*(\d+)\r\n", data):
                    parts, at, sized = list[bytes](), command.end(), re.compile(rb"\$(\d+)\r\n")
                    while len(parts) < int(command[1]) and (size := sized.match(data, at)):
                        at = size.end() + int(size[1])
                        parts.append(data[size.end() : at])
                        at += 2
                    if len(parts) < int(command[1]) or at > len(data):
                        break
                    data = data[at:]
                    self.commands.append(parts)
                    self.changed.set()

    async def bulletin(self, stream: SocketStream) -> None:
        self.streams.append(stream)
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.hello_numbers.append(int.from_bytes(await stream.receive(8), "big"))
            for frame in self.frames:
                await stream.send(frame)
            self.changed.set()
            await stream.receive()

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        while not holds():
            self.changed = anyio.Event()
            await self.changed.wait()
