"""A client or a cache that floods a gateway; tests start it as a process of its own.

Usage: `python -m tests.flood KIND ADDRESS SECONDS`. A client sends what `CLIENT_INPUT` has under its kind, at
full speed and without end, and reads what it is sent. The kind `taken-back` does so on many connections: on
each it sends as many requests as one may carry, takes them back, and begins again. A cache, of the kind
`answers`, listens on the address and sends answers that nobody asked for on each connection.
"""

from __future__ import annotations

import os
import random
import selectors
import socket
import sys
import threading
import time
from contextlib import suppress

from damsonstream.protocol import fastcgi, resp
from tests.helpers import BEGIN_CONTENT, get_fields, get_records

REPEATS = 4096  # of a message in one piece
CONNECTIONS = 48  # of one process that takes requests back
OPEN_REQUESTS = 32  # on one connection
UNUSABLE = get_records(1, {"SCRIPT_NAME": "/v1/none"})
# first what opens the flood, then what is repeated
CLIENT_INPUT = {
    "body": (UNUSABLE, fastcgi.record(fastcgi.STDIN, 1, b"endless ")),
    "empty": (UNUSABLE, fastcgi.record(fastcgi.STDIN, 1)),
    "params": (UNUSABLE, fastcgi.record(fastcgi.PARAMS, 7, b"endless ")),
    "management": (UNUSABLE, fastcgi.record(77, 0)),
    "begin": (
        b"".join(fastcgi.record(fastcgi.BEGIN, id, BEGIN_CONTENT) for id in range(1, 33)),
        fastcgi.record(fastcgi.BEGIN, 33, BEGIN_CONTENT),
    ),
    "unusable": (b"", UNUSABLE),
}


def receive(connection: socket.socket) -> None:
    try:
        while connection.recv(1 << 16):
            pass
    except OSError:
        pass


def send_until(connection: socket.socket, data: bytes, end: float) -> None:
    threading.Thread(target=receive, args=(connection,), daemon=True).start()
    connection.settimeout(0.2)
    while time.monotonic() < end:
        try:
            connection.send(data)
        except TimeoutError:
            continue


def flood_as_client(kind: str, address: tuple[str, int], end: float) -> None:
    opening, message = CLIENT_INPUT[kind]
    while time.monotonic() < end:  # connects again when the gateway has closed the connection
        with socket.create_connection(address) as connection:
            try:
                connection.sendall(opening)
                send_until(connection, message * REPEATS, end)
            except OSError:
                time.sleep(0.1)


def get_taken_back(rng: random.Random) -> bytes:
    """Returns requests for objects that no other request is for, followed by the abort of each."""
    idents = [f"{rng.getrandbits(64):016x}" for _ in range(OPEN_REQUESTS)]
    requests = [get_records(id, get_fields(ident, HTTP_X_ROW=ident)) for id, ident in enumerate(idents, 1)]
    aborts = [fastcgi.record(fastcgi.ABORT, id) for id, _ in enumerate(idents, 1)]
    return b"".join(requests + aborts)


def flood_taken_back(address: tuple[str, int], end: float) -> None:
    rng, selector = random.Random(os.getpid()), selectors.DefaultSelector()
    for _ in range(CONNECTIONS):
        connection = socket.create_connection(address)
        connection.setblocking(False)
        selector.register(connection, selectors.EVENT_READ | selectors.EVENT_WRITE, bytearray())
    while time.monotonic() < end:
        for key, events in selector.select(0.1):
            assert isinstance(key.fileobj, socket.socket)
            connection, unsent = key.fileobj, key.data
            with suppress(BlockingIOError):
                if events & selectors.EVENT_READ and not connection.recv(1 << 16):
                    raise ConnectionResetError("the gateway has closed a connection")
                if events & selectors.EVENT_WRITE:
                    unsent += b"" if unsent else get_taken_back(rng)
                    del unsent[: connection.send(unsent)]


def flood_as_cache(address: tuple[str, int], end: float) -> None:
    answers = resp.array(b"0" * 16, b"served", b"-", b"") * REPEATS

    def flood(connection: socket.socket) -> None:
        try:
            send_until(connection, answers, end)
        except OSError:
            connection.close()

    with socket.create_server(address) as server:
        server.settimeout(0.2)
        while time.monotonic() < end:
            try:
                connection, _ = server.accept()
            except TimeoutError:
                continue
            threading.Thread(target=flood, args=(connection,), daemon=True).start()


def main(kind: str, address: str, seconds: str) -> None:
    host, _, port = address.rpartition(":")
    end = time.monotonic() + float(seconds)
    if kind == "answers":
        flood_as_cache((host, int(port)), end)
    elif kind == "taken-back":
        flood_taken_back((host, int(port)), end)
    else:
        flood_as_client(kind, (host, int(port)), end)


if __name__ == "__main__":
    main(*sys.argv[1:])
