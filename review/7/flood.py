"""Bad clients: each sends requests and takes them back, 32 at once, again and again at full speed, and reads
what it is sent.

Usage: flood.py PORT CLIENTS SECONDS SEED
"""

from __future__ import annotations

import random
import selectors
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import ABORT, HOST, get_records, record

PORT, CLIENTS, SECONDS, SEED = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])
rng = random.Random(SEED)


def batch() -> bytes:
    requests = []
    for number in range(1, 33):
        ident, thing = f"{rng.getrandbits(64):016x}", f"{rng.getrandbits(64):016x}"
        fields = {"SCRIPT_NAME": "/v1/pages", "HTTP_X_TXN": ident, "HTTP_X_ROW": thing, "HTTP_X_SET": "17"}
        fields |= {"HTTP_X_TTL_MS": "6000", "HTTP_X_SLICE": "0"}
        requests.append(get_records(number, fields))
    return b"".join(requests) + b"".join(record(ABORT, number) for number in range(1, 33))


class BadClient:
    def __init__(self) -> None:
        self.socket = socket.create_connection((HOST, PORT))
        # not to fill the system's memory
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)
        self.socket.setblocking(False)
        self.unsent = b""


def serve(client: BadClient, mask: int) -> int:
    if mask & selectors.EVENT_READ and not client.socket.recv(1 << 16):
        raise ConnectionResetError
    if not mask & selectors.EVENT_WRITE:
        return 0
    sent = 0
    if not client.unsent:
        client.unsent, sent = batch(), 32
    client.unsent = client.unsent[client.socket.send(client.unsent) :]
    return sent


def main() -> None:
    selector, end, total, ended = selectors.DefaultSelector(), time.monotonic() + SECONDS, 0, 0
    events = selectors.EVENT_READ | selectors.EVENT_WRITE
    for _ in range(CLIENTS):
        client = BadClient()
        selector.register(client.socket, events, client)
    while time.monotonic() < end:
        for key, mask in selector.select(0.1):
            try:
                total += serve(key.data, mask)
            except BlockingIOError:
                continue
            except OSError:  # the gateway has closed it
                ended += 1
                selector.unregister(key.fileobj)
                key.data.socket.close()
                client = BadClient()
                selector.register(client.socket, events, client)
    print(f"{CLIENTS} bad clients: {total} requests written, each taken back; {ended} connections ended")


main()
