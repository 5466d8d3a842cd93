"""Bad clients send hundreds of requests at once; the platform kills a gateway over its memory limit."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s

MEMORY_MB, SOCKETS = 80, 608
CLIENTS, REQUESTS = 10, 200  # bad clients, and the requests that each sends at once
OPEN_REQUESTS = 32  # on one connection at most
BODY_BYTES = 48_000  # "a write brings up to 48,000"
FLOOD_AT_S, END_AT_S, RATE = 3.0, 10.0, 20
SLOTS: dict[str, asyncio.Semaphore] = {}


async def serve(cache: s.Cache, command: s.Command) -> s.Answer:
    slots = SLOTS.setdefault(cache.uid, asyncio.Semaphore(24))
    async with slots:
        await asyncio.sleep(0.02)
    fields = {"res": "hit", "version": "a1", "stamp": str(s.unix_ms()), "gauges": "util:0.2;x1:0.3;x0:0.7"}
    return "served", fields, s.content(command.fields, 20_000)


class Platform:
    """Watches the gateway's own memory, without pages of files, and kills it over the limit."""

    def __init__(self, gateway: s.Gateway, log: s.Record) -> None:
        self.gateway, self.log, self.peak_kb, self.killed = gateway, log, 0, False

    async def watch(self) -> None:
        while not self.killed:
            used = self.gateway.memory_kb("RssAnon")
            self.peak_kb = max(self.peak_kb, used)
            if used > MEMORY_MB * 1024:
                self.killed = True
                self.gateway.process.send_signal(signal.SIGKILL)
                self.log.say(f"platform: {used / 1024:.1f} MB of {MEMORY_MB} used; the gateway is killed")
            await asyncio.sleep(0.01)


class BadClient:
    """Sends its requests at once, at full speed, over as few connections as the protocol allows."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        body = rng.randbytes(BODY_BYTES)
        self.batches: list[bytes] = []  # what each connection sends
        for first in range(0, REQUESTS, OPEN_REQUESTS):
            requests = (s.fastcgi_request(n + 1, "/v1/unlock", s.get_fields(rng, 3000, token=True), body)
                        for n in range(min(OPEN_REQUESTS, REQUESTS - first)))  # fmt: skip
            self.batches.append(b"".join(requests))

    async def run(self, port: int, log: s.Record) -> list[s.Final]:
        clients = [await s.Client.connect(port, log) for _ in self.batches]
        finals = []
        for client, batch in zip(clients, self.batches, strict=True):
            finals += [client.expect(n + 1) for n in range(batch.count(b"HTTP_X_TXN_KEY"))]
            client.writer.write(batch)
        answers = await asyncio.gather(*finals)
        for client in clients:
            client.close()
        return answers


async def play(log: s.Record) -> int:
    caches = [s.Cache(n + 1, kind, log, serve) for n, kind in enumerate((0, 0, 0, 0, 1, 1, 2))]
    gateway = await s.start(log, caches, s.Bulletin(log), s.settings(), MEMORY_MB, SOCKETS)
    bad_clients, platform = [BadClient(n + 2) for n in range(CLIENTS)], Platform(gateway, log)
    watching = asyncio.create_task(platform.watch())
    flood: list[asyncio.Task[list[s.Final]]] = []
    try:
        rng, client, finals = random.Random(1), await s.Client.connect(gateway.port, log), []
        started = time.monotonic()
        while (elapsed := time.monotonic() - started) < END_AT_S and not platform.killed:
            if s.trouble() and not flood and elapsed >= FLOOD_AT_S:
                log.say(f"{CLIENTS} bad clients send {REQUESTS} requests each")
                flood = [asyncio.create_task(client.run(gateway.port, log)) for client in bad_clients]
            finals.append(client.send(len(finals) + 1, "/v1/thumbs", s.get_fields(rng, 2500)))
            await asyncio.sleep(1 / RATE)
        answers = await asyncio.wait_for(asyncio.gather(*finals), 10)
        bad = [final for found in await asyncio.wait_for(asyncio.gather(*flood), 20) for final in found]
        crashed = gateway.process.poll() is not None
    finally:
        watching.cancel()
        log.say(f"the gateway ended with {gateway.stop()}")
    log.say(f"usual clients: {len(answers)} GETs, {s.outcomes(answers)}; bad clients: {len(bad)} requests, "
            f"{s.outcomes(bad)}; peak of memory {platform.peak_kb / 1024:.1f} of {MEMORY_MB} MB")  # fmt: skip
    if not platform.peak_kb or not any(final.outcome == "served" for final in answers):
        return 2
    return 1 if crashed else 0


if __name__ == "__main__":
    s.main(Path(__file__).resolve().parent, play)
