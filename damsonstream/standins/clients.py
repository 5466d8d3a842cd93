"""A load generator that stands in for the web servers in front of the gateways: it sends viewers' GETs and
records the answers.

After `await LoadGenerator(addresses, ...).send_and_drain(arrivals)`, `sent_gets` holds each GET that was sent
and its outcome. The gateway is chosen by viewer among those that are connected. A GET that is shed or lost is
retried at most twice, after the delay that the gateway asked for.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from damsonstream.standins import wire
from damsonstream.standins.traffic import Arrival, Catalogue
from damsonstream.transport.link import TcpConnection

CONNECTIONS = 4  # to each gateway
MAX_STREAMS = 32  # open GETs on each connection
MAX_RETRIES = 2  # retries of a GET
DEFAULT_RETRY_DELAY_MS = 200  # before a retry, where the gateway names no delay
RECONNECT_DELAY = 0.25  # seconds between attempts to connect to a gateway
LINGER = 1.0  # seconds after the last arrival before open GETs are waited for
DRAIN_TIMEOUT = 4.0  # seconds to wait for open GETs: longer than any viewer timeout
MAX_OPEN_GETS = 4096  # open GETs over all connections; further ones are counted as unsent


@dataclass(slots=True)
class ClientGet:
    """One GET as a client sent it, and its outcome."""

    ident: str
    gateway: str
    service: str
    object_id: str
    sent: float  # seconds since the start of the run
    retry: int  # 0 for the first attempt of the viewer's GET
    outcome: str = ""  # returned, shed, errored, lost (connection closed) or late (viewer timeout)
    duration: float = 0.0  # seconds
    stamp: int = 0  # time stamp of the copy received, Unix milliseconds
    content_error: str = ""  # why the body is not the requested object
    answers: int = 0  # received; more than one is a violation


@dataclass(slots=True, eq=False)
class PendingGet:
    """A GET that waits for its answer."""

    get: ClientGet
    done: asyncio.Future[None]
    retry_after_ms: int = 0


class GatewayConnection(TcpConnection):
    """One connection to a gateway."""

    def __init__(self, generator: LoadGenerator, name: str) -> None:
        super().__init__()
        self.generator, self.name = generator, name
        self.answers = wire.AnswerDecoder()
        self.pending: dict[int, PendingGet] = {}  # by id; removed by answers and by the connection's end
        self.aborted: set[int] = set()  # ids of aborted GETs whose last record is still to come
        self.answered: dict[int, ClientGet] = {}  # by id: the last answered GET, to detect second answers
        self.ids = iter(range(1, 1 << 16))

    def next_id(self) -> int:
        for id in self.ids:
            if id not in self.pending and id not in self.aborted:
                return id
        self.ids = iter(range(1, 1 << 16))
        return self.next_id()

    def handle_data(self, data: bytes) -> None:
        try:
            finals = self.answers.feed(data)
        except wire.ProtocolError as error:
            self.generator.report_violation(f"{self.name} sent a malformed record: {error}")
            self.close("malformed")
            return
        for final in finals:
            if final.id in self.aborted:
                self.aborted.discard(final.id)
                continue
            request = self.pending.pop(final.id, None)
            if request is None:
                if (answered_get := self.answered.get(final.id)) is not None:
                    answered_get.answers += 1
                    self.generator.report_violation(f"{self.name} answered {answered_get.ident} twice")
                continue
            self.answered[final.id] = request.get
            self.generator.handle_answer(request, final)

    def handle_close(self) -> None:
        self.generator.handle_disconnect(self)
        requests, self.pending = list(self.pending.values()), {}
        for request in requests:
            request.get.outcome = "lost"
            if not request.done.done():
                request.done.set_result(None)


class LoadGenerator:
    """Sends viewers' GETs over a pool of connections to each gateway."""

    def __init__(
        self,
        addresses: dict[str, tuple[str, int]],
        catalogue: Catalogue,
        clock: Callable[[], float],
        seed: int,
    ) -> None:
        self.addresses, self.catalogue, self.now = addresses, catalogue, clock
        self.weights: dict[str, float] = {}  # relative load by gateway; empty: equal
        self.rng = random.Random(seed)
        self.pools: dict[str, list[GatewayConnection]] = {name: [] for name in addresses}
        self.sent_gets: list[ClientGet] = []  # unbounded: a run is short
        self.violations: list[str] = []  # protocol violations by gateways; the first 100
        self.violation_count = 0
        self.unsent = 0  # GETs for which no gateway was connected or had a free stream, or past the limit
        self.max_send_delay = 0.0  # largest delay behind the intended time, in seconds
        self.group: TaskGroup | None = None
        self.open = 0
        self.closing = False

    def report_violation(self, text: str) -> None:
        self.violation_count += 1
        if len(self.violations) < 100:
            self.violations.append(text)

    def handle_disconnect(self, connection: GatewayConnection) -> None:
        if connection in self.pools[connection.name]:
            self.pools[connection.name].remove(connection)

    async def keep_connected(self, name: str) -> None:
        """Keeps CONNECTIONS connections to one gateway open until `close()`."""
        host, port = self.addresses[name]
        loop = asyncio.get_running_loop()
        while not self.closing:
            if len(self.pools[name]) < CONNECTIONS:
                connection = GatewayConnection(self, name)
                try:
                    with anyio.fail_after(1.0):
                        await loop.create_connection(lambda link=connection: link, host, port)  # type: ignore[misc]
                except (OSError, TimeoutError):
                    await anyio.sleep(RECONNECT_DELAY)
                    continue
                self.pools[name].append(connection)
            else:
                await anyio.sleep(0.05)

    def pick(self, viewer: int) -> GatewayConnection | None:
        """Chooses a connected gateway by viewer or by weight, and its connection with the fewest open GETs.

        Returns None if no gateway is connected or the connection has no free stream.
        """
        up = [name for name, pool in self.pools.items() if any(not link.reason for link in pool)]
        if not up:
            return None
        name = up[viewer % len(up)]
        if self.weights:
            name = self.rng.choices(up, [self.weights.get(one, 1.0) or 1e-9 for one in up])[0]
        connections = [link for link in self.pools[name] if not link.reason]
        connection = min(connections, key=lambda link: len(link.pending), default=None)
        return connection if connection is not None and len(connection.pending) < MAX_STREAMS else None

    async def send_all(self, arrivals: Iterable[Arrival], group: TaskGroup) -> None:
        """Sends each GET at its time, regardless of the earlier ones (open loop)."""
        self.group = group
        for arrival in arrivals:
            if (wait := arrival.at - self.now()) > 0:
                await anyio.sleep(wait)
            self.max_send_delay = max(self.max_send_delay, self.now() - arrival.at)
            if self.open < MAX_OPEN_GETS:
                group.start_soon(self.send_with_retries, arrival)
            else:
                self.unsent += 1

    async def send_and_drain(self, arrivals: Iterable[Arrival]) -> None:
        """Sends all GETs and waits for their answers."""
        async with anyio.create_task_group() as group:
            await self.send_all(arrivals, group)
            await anyio.sleep(LINGER)
            with anyio.move_on_after(DRAIN_TIMEOUT):
                while self.open:
                    await anyio.sleep(0.02)
            group.cancel_scope.cancel()

    async def send_with_retries(self, arrival: Arrival) -> None:
        """Sends a viewer's GET, and retries it while it is shed or lost and time is left."""
        self.open += 1
        try:
            deadline = max(arrival.at, self.now()) + arrival.profile.viewer_timeout_ms / 1000
            for retry in range(MAX_RETRIES + 1):
                remaining = deadline - self.now()
                if remaining <= 0.05:
                    return
                connection = self.pick(arrival.viewer)
                if connection is None:
                    self.unsent += 1
                    await anyio.sleep(min(remaining, RECONNECT_DELAY))
                    continue
                request = self.send(connection, arrival, retry, remaining)
                with anyio.move_on_after(remaining) as scope:
                    await request.done
                # the timeout cancels the future as well, so the outcome decides whether an answer came
                if scope.cancelled_caught and not request.get.outcome:
                    self.abandon(connection, request)
                request.get.duration = self.now() - request.get.sent
                if request.get.outcome not in ("shed", "lost"):
                    return
                if request.get.outcome == "lost" and arrival.profile.tokened and retry:
                    return
                await anyio.sleep((request.retry_after_ms or DEFAULT_RETRY_DELAY_MS) / 1000)
        finally:
            self.open -= 1

    def send(
        self, connection: GatewayConnection, arrival: Arrival, retry: int, remaining: float
    ) -> PendingGet:
        ident = f"{self.rng.getrandbits(64):016x}"
        get = ClientGet(ident, connection.name, arrival.profile.name, arrival.obj, self.now(), retry)
        self.sent_gets.append(get)
        request = PendingGet(get, asyncio.get_running_loop().create_future())
        id = connection.next_id()
        connection.pending[id] = request
        fields = {
            "SCRIPT_NAME": f"/v1/{arrival.profile.name}",
            "HTTP_X_TXN": ident,
            "HTTP_X_ROW": arrival.obj,
            "HTTP_X_TTL_MS": str(max(1, min(arrival.profile.viewer_timeout_ms, int(remaining * 1000)))),
            "HTTP_X_SLICE": str(arrival.part),
            "HTTP_X_SET": str(self.catalogue.group(arrival.obj)),
        }
        if arrival.token:
            fields["HTTP_X_TXN_KEY"] = arrival.token
        if retry:
            fields["HTTP_X_SECOND_TRY"] = "1"
        connection.send(wire.encode_get(id, fields))
        return request

    def abandon(self, connection: GatewayConnection, request: PendingGet) -> None:
        """Aborts a GET on viewer timeout; an answer that still arrives is ignored."""
        request.get.outcome = "late"
        for id, pending in list(connection.pending.items()):
            if pending is request:
                connection.aborted.add(id)
                del connection.pending[id]
                connection.send(wire.encode_abort(id))

    def handle_answer(self, request: PendingGet, final: wire.FinalAnswer) -> None:
        get = request.get
        get.outcome, get.answers = final.outcome, get.answers + 1
        wait = final.fields.get("X-Throttle-Ms", "0")
        request.retry_after_ms = int(wait) if wait.isdigit() else 0
        if get.outcome == "returned" and final.body != b"done":
            self.check_content(get, final.body)
        if not request.done.done():
            request.done.set_result(None)

    def check_content(self, get: ClientGet, body: bytes) -> None:
        """Checks that the body is the requested object, and reads its time stamp."""
        what, _, rest = body.partition(b" ")
        stamp = rest.partition(b" ")[0]
        if what.decode("latin-1") != f"{get.service}/{get.object_id}/0" or not stamp.isdigit():
            get.content_error = "another object's bytes"
            self.report_violation(f"{get.gateway} answered {get.ident} with {what[:60]!r}")
        else:
            get.stamp = int(stamp)

    def close(self) -> None:
        """Closes all connections and opens no new ones."""
        self.closing = True
        for connections in self.pools.values():
            for connection in list(connections):
                connection.close("stopped")
