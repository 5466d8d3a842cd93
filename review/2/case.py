"""Eight bad clients send endless messages at full speed, while usual clients send 20 GETs a second."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s

BAD_CLIENTS, FLOOD_AT_S, FLOOD_S, END_AT_S, RATE = 8, 3.0, 8.0, 14.0, 20
VIEWER_TIMEOUT_MS = 2500  # of `thumbs`; clients give up a try after 50 to 100% of it
LOST_AFTER_S = 0.5 + 0.05  # "Up to half a second after its time it only earns nothing"; 50 ms on sockets
MOST_LAG_S = 0.25  # of this process, above which its times say nothing


async def serve(cache: s.Cache, command: s.Command) -> s.Answer:
    await asyncio.sleep(0.02)
    fields = {"res": "hit", "version": "a1", "stamp": str(s.unix_ms()), "gauges": "util:0.2;x1:0.3;x0:0.7"}
    return "served", fields, s.content(command.fields, 20_000)


class Lag:
    """Measures how late this process itself runs."""

    def __init__(self) -> None:
        self.most = 0.0

    async def watch(self) -> None:
        while True:
            due = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            self.most = max(self.most, time.monotonic() - due)


async def play(log: s.Record) -> int:
    caches = [s.Cache(n + 1, kind, log, serve) for n, kind in enumerate((0, 0, 0, 0, 1, 1, 2))]
    gateway = await s.start(log, caches, s.Bulletin(log), s.settings())
    lag, floods = Lag(), list[subprocess.Popen[str]]()
    watching = asyncio.create_task(lag.watch())
    try:
        rng, client = random.Random(1), await s.Client.connect(gateway.port, log)
        sent: list[tuple[float, float, asyncio.Future[s.Final]]] = []  # when, its time, the answer
        started = time.monotonic()
        while (elapsed := time.monotonic() - started) < END_AT_S:
            if s.trouble() and not floods and elapsed >= FLOOD_AT_S:
                log.say(f"{BAD_CLIENTS} bad clients begin")
                command = [sys.executable, "flood.py", str(gateway.port), str(FLOOD_S)]
                floods = [
                    subprocess.Popen(command, stdout=subprocess.PIPE, text=True) for _ in range(BAD_CLIENTS)
                ]
            ttl_ms = rng.randint(VIEWER_TIMEOUT_MS // 2, VIEWER_TIMEOUT_MS)
            done = client.send(len(sent) + 1, "/v1/thumbs", s.get_fields(rng, ttl_ms))
            sent.append((time.monotonic(), ttl_ms / 1000, done))
            await asyncio.sleep(1 / RATE)
        answers = await asyncio.wait_for(asyncio.gather(*(done for _, _, done in sent)), 30)
        told = [await asyncio.to_thread(flood.communicate) for flood in floods]
    finally:
        for flood in floods:
            if flood.poll() is None:
                flood.kill()
        watching.cancel()
        log.say(f"the gateway ended with {gateway.stop()}")
    for output, _ in told:
        log.say(f"bad client: {output.strip()}")
    late = []
    for (at, its_time, _), answer in zip(sent, answers, strict=True):
        took = answer.at - at
        log.line(
            f"GET sent at {at - log.started:.3f}, its time {its_time:.3f} s: {answer.outcome} in {took:.3f} s"
        )
        if answer.outcome == "lost" or took > its_time + LOST_AFTER_S:
            late.append(took - its_time)
    log.say(f"{len(answers)} GETs: {s.outcomes(answers)}")
    most = f"at most {max(late, default=0):.1f} s after it"
    log.say(f"answered more than {LOST_AFTER_S} s after their time, or never: {len(late)}; {most}")
    log.say(f"this process ran late by {lag.most:.2f} s at most")
    if lag.most > MOST_LAG_S or not s.outcomes(answers)["served"]:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    s.main(Path(__file__).resolve().parent, play)
