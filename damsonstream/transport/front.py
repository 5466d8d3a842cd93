"""The FastCGI listener and its client connections: receives GETs and sends the final answers.

Usage: `ClientListener(...).listen(host, port)` accepts connections. `open_get(received)` is called for each
GET, a `ReceivedGet`, and returns an object whose `client_left()` is called if the client disconnects or
aborts. The memory of the GETs is limited and shared among the connections; a GET without room is refused.
Answers are buffered per connection, so that a slow client does not block others. The total size of the
buffers is limited: above it, connections whose clients have not kept up for longest are closed.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import anyio

from damsonstream.protocol import fastcgi
from damsonstream.routing.admission import RequestCredit
from damsonstream.transport.memory import ConnectionMemory, RequestMemory
from damsonstream.transport.scheduling import InputScheduler, ScheduledConnection

log = logging.getLogger(__name__)
RECORDS_PER_STEP = 4  # decoded before the time used is looked at: a small GET
BUFFER_CHECKS = 16  # the total of unsent data is computed each time this part of the limit has been sent
# Time limit for the first GET on a connection, and for receiving a whole GET: clients that send nothing or
# stop half way have to be disconnected within 3 s. Web servers send a GET at once.
REQUEST_TIMEOUT_S = 2.4
SWEEP_INTERVAL_S = 0.3  # between checks of that limit
LISTEN_BACKLOG = 1024  # connections


class OpenGet(Protocol):
    """A GET that is being processed."""

    def client_left(self) -> None: ...  # called when the client has disconnected or aborted the GET


Answer = Callable[[bytes], None]  # takes the encoded FastCGI answer


@dataclass(slots=True, frozen=True)
class ReceivedGet:
    """A GET as it was received over a connection."""

    request: fastcgi.Request
    answer: Answer
    on_end: Callable[[], None]  # called when the GET has ended and needs no memory any more
    is_connected: Callable[[], bool]  # whether the client is still there
    waited_s: float  # how long it may have waited before it was read, in seconds
    has_credit: bool  # whether its connection had credit for it (routing/admission.py)


# Returns None if the GET was answered at once; it has ended then.
GetOpener = Callable[[ReceivedGet], OpenGet | None]


class NoOpenGet:
    """Placeholder in `Client.open_gets` until the opener has returned."""

    def client_left(self) -> None:
        pass


NO_OPEN_GET = NoOpenGet()


class Client(ScheduledConnection):
    """One client's connection."""

    def __init__(self, listener: ClientListener) -> None:
        super().__init__(listener.scheduler)
        self.listener = listener
        self.memory = ConnectionMemory(listener.request_memory)
        self.decoder = fastcgi.Decoder(self.memory)
        self.credit = RequestCredit()
        self.open_gets: dict[int, OpenGet] = {}  # by request id; removed on answer, abort and close
        self.incomplete_since = self.last_used  # when the input that is incomplete began to come in
        self.unsent_since = 0.0  # when data was sent last while none was unsent
        self.replies: list[bytes] | None = None  # sent together after a step of the input
        self.close_after_answers = False  # the client asked for a close after the open answers
        self.gets = 0
        self.peer = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.peer = ":".join(map(str, transport.get_extra_info("peername") or ()))
        self.listener.add(self)
        super().connection_made(transport)

    def is_favored(self) -> bool:
        return self.credit.is_left(time.monotonic())

    def is_worth_continuing(self) -> bool:
        return self.is_connected()  # nothing is owed to a client that has left, whatever it had sent

    def process_input(self, data: bytes) -> bool:
        now = time.monotonic()
        if self.gets and not self.decoder.incomplete:  # before this data
            self.incomplete_since = now
        self.replies = []
        try:
            for message in self.decoder.feed(data, RECORDS_PER_STEP, now):
                self.handle_message(message)
        except fastcgi.ProtocolError as error:
            self.close(str(error))
        self.send_replies()
        return self.decoder.has_more

    def handle_message(self, message: fastcgi.Message) -> None:
        match message:
            case fastcgi.Request():
                self.handle_get(message)
            case fastcgi.RequestAborted(id=id):
                if (open_get := self.open_gets.pop(id, None)) is not None:
                    open_get.client_left()
                    self.decoder.release_id(id)
                    self.send(fastcgi.end_request(id))
            case fastcgi.ManagementReply(data=reply):
                self.send(reply)

    def handle_get(self, get: fastcgi.Request) -> None:
        """Passes a received GET to the opener, with a function that sends its answer."""
        self.gets += 1
        self.last_used = self.incomplete_since = time.monotonic()
        has_credit = self.credit.use(self.last_used)
        self.close_after_answers |= not get.keep_connection
        id, on_end = get.id, partial(self.memory.release, get.reserved_bytes)

        def answer(data: bytes) -> None:
            open_get = self.open_gets.pop(id, None)
            if open_get is None:
                return  # the client has disconnected or aborted
            self.decoder.release_id(id)
            self.last_used = time.monotonic()
            if open_get is not NO_OPEN_GET:  # otherwise it was answered at once
                self.credit.earn()
                self.scheduler.promote(self)
            self.send(data)
            if self.close_after_answers and not self.open_gets:
                self.close("asked", flush=True)

        self.open_gets[id] = NO_OPEN_GET
        received = ReceivedGet(get, answer, on_end, self.is_connected, self.waited_s, has_credit)
        open_get = self.listener.open_get(received)
        if open_get is not None:
            self.open_gets[id] = open_get
        else:
            on_end()

    def send(self, data: bytes) -> None:
        if self.replies is not None:
            self.replies.append(data)
            return
        if not self.unsent_bytes:
            self.unsent_since = time.monotonic()
        super().send(data)
        self.listener.count_sent(len(data))

    def send_replies(self) -> None:
        """Sends the replies to a step of the input as one piece, which takes less memory than each alone."""
        replies, self.replies = self.replies, None
        if replies:
            self.send(b"".join(replies))

    def close(self, reason: str, flush: bool = False) -> None:
        self.send_replies()
        super().close(reason, flush)

    def end_incomplete(self, deadline: float) -> None:
        """Ends what is incomplete since before a deadline. A GET that is late is refused alone if others came
        over the connection; otherwise the connection is closed."""
        if not self.gets:
            if self.incomplete_since < deadline:
                self.close("silent")
            return
        late_ids = self.decoder.refuse_begun_before(deadline)
        if late_ids:
            self.incomplete_since = time.monotonic()
            self.send(b"".join(fastcgi.end_request(id, fastcgi.OVERLOADED) for id in late_ids))
        elif self.incomplete_since < deadline and self.decoder.incomplete and not self.is_in_use:
            self.close("half")

    @property
    def is_in_use(self) -> bool:
        """Whether a GET is open or being received, or an answer is unsent."""
        return bool(self.open_gets or self.decoder.partial_requests or self.unsent_bytes)

    def handle_close(self) -> None:
        open_gets, self.open_gets = self.open_gets, {}
        for open_get in open_gets.values():
            open_get.client_left()
        self.decoder.drop_all()
        self.listener.remove(self)
        fields = {
            "side": "client",
            "peer": self.peer,
            "reason": self.reason,
            "gets": self.gets,
            "left": len(open_gets),
            "refused": self.decoder.refused,
        }
        log.info("closed", extra=fields)


class ClientListener:
    """Accepts client connections and limits their number and the memory of their GETs and buffers."""

    def __init__(
        self,
        max_clients: int,
        max_request_bytes: int,
        max_unsent_bytes: int,
        open_get: GetOpener,
        count: Callable[[str], None],
    ) -> None:
        self.max_clients, self.max_unsent_bytes = max_clients, max_unsent_bytes
        self.open_get, self.count = open_get, count
        self.request_memory = RequestMemory(max_request_bytes, max_clients, fastcgi.MAX_REQUEST_MEMORY)
        self.scheduler = InputScheduler()
        self.clients: dict[Client, None] = {}  # removed on close
        self.unchecked_bytes = 0  # sent since the unsent data was last limited

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Listens on an address. The socket is made here, as the event loop would start threads to resolve
        the host."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listening = socket.create_server((host, port), family=family, backlog=LISTEN_BACKLOG)
        loop = asyncio.get_running_loop()
        return await loop.create_server(lambda: Client(self), sock=listening, backlog=LISTEN_BACKLOG)

    @property
    def open_count(self) -> int:
        """The number of GETs without an answer plus that of connections with unsent data."""
        return sum(len(client.open_gets) + (client.unsent_bytes > 0) for client in self.clients)

    def add(self, client: Client) -> None:
        """Registers a connection. At the limit an idle one is closed for it: first those that never sent a
        GET, then the one idle longest. If none is idle, the new connection is refused."""
        if len(self.clients) >= self.max_clients:
            idle = [c for c in self.clients if not c.open_gets and not c.unsent_bytes and not c.reason]
            if idle:
                min(idle, key=lambda c: (c.gets > 0, c.last_used)).close("room")
            else:
                client.reason = "full"
        self.clients[client] = None

    async def sweep(self) -> None:
        """Ends what exceeds `REQUEST_TIMEOUT_S`. Never returns."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            deadline = time.monotonic() - REQUEST_TIMEOUT_S
            for client in [c for c in self.clients if not c.reason]:
                client.end_incomplete(deadline)

    def remove(self, client: Client) -> None:
        self.clients.pop(client, None)
        self.count(f"client.{client.reason}")

    def count_sent(self, size: int) -> None:
        self.unchecked_bytes += size
        if self.unchecked_bytes > self.max_unsent_bytes // BUFFER_CHECKS:
            self.unchecked_bytes = 0
            self.limit_unsent()

    def limit_unsent(self) -> None:
        """Closes connections until the unsent data of all is within its limit: of those that hold more than
        an equal part, first the one whose client has not read everything for longest."""
        unsent = {c: c.unsent_bytes for c in self.clients if not c.reason and c.unsent_bytes}
        total = sum(unsent.values())
        if total <= self.max_unsent_bytes:
            return
        equal_part = self.max_unsent_bytes // len(unsent)
        large = [client for client, size in unsent.items() if size > equal_part]
        for client in sorted(large, key=lambda c: c.unsent_since):
            if total <= self.max_unsent_bytes:
                break
            total -= unsent[client]
            client.close("slow")
