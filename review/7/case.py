"""Requests of a usual client wait unread for seconds while bad clients take requests back; see claim.txt."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import TROUBLE, Answer, CannotRun, Rig, WebServer, main

FOLDER = Path(__file__).resolve().parent
PROCESSES, CLIENTS = 5, int(os.environ.get("CLIENTS", "60"))  # 300 bad clients; 341 may connect
FLOOD_S, MEASURE_S = 14.0, 10.0
TTL_MS = 1250  # half of the viewer timeout of thumbs
LATE_S = 0.5  # after its time: a request whose answer comes later is lost
AT_ONCE = 32
LAG_S = 0.5  # of the usual client itself; with more the run does not count


async def case(rig: Rig) -> list[str]:
    caches = subprocess.Popen(
        [sys.executable, "-B", FOLDER / "caches.py", str(len(rig.nodes))],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    floods: list[subprocess.Popen[str]] = []
    try:
        assert caches.stdout is not None
        ports = caches.stdout.readline().split()
        if len(ports) != len(rig.nodes):
            raise CannotRun("the caches did not start")
        for node, port in zip(rig.nodes.values(), ports, strict=True):
            node.port = int(port)
        await rig.open()
        await rig.start_gateway()
        client = await rig.connect()
        warm = await asyncio.wait_for(client.send(1, rig.fields("thumbs", "0" * 16, TTL_MS)), 5)
        rig.log(f"before: a request is {warm.outcome}")
        if TROUBLE:
            for seed in range(PROCESSES):
                command = [sys.executable, "-B", FOLDER / "flood.py", rig.port, CLIENTS, FLOOD_S, seed]
                floods.append(
                    subprocess.Popen([str(part) for part in command], stdout=subprocess.PIPE, text=True)
                )
            rig.log(f"{PROCESSES * CLIENTS} bad clients start")
            await asyncio.sleep(2)
        lost = await measure(rig, client)
        for flood in floods:
            output, _ = await asyncio.to_thread(flood.communicate)
            rig.log(output.strip())
        rig.signal_gateway(signal.SIGUSR1)
        await asyncio.sleep(0.3)
        return lost
    finally:
        for process in [caches, *floods]:
            if process.poll() is None:
                process.kill()
            process.wait()


async def measure(rig: Rig, client: WebServer) -> list[str]:
    """A usual client sends 32 requests at once, and the next 32 when all are answered or lost."""
    seen, lag, end = list[tuple[str, str, float]](), 0.0, time.monotonic() + MEASURE_S
    assert client.transport is not None
    while time.monotonic() < end:
        written = time.time()
        waiting: dict[str, asyncio.Future[Answer]] = {}
        for number in range(1, AT_ONCE + 1):
            fields = rig.fields("thumbs", f"{rig.number:016x}", TTL_MS)
            waiting[fields["HTTP_X_TXN"]] = client.send(number, fields)
        if client.transport.get_write_buffer_size():
            raise CannotRun("the requests were not written at once")
        rig.log(f"usual client -> {AT_ONCE} requests, TTL {TTL_MS} ms")
        pending = set(waiting.values())
        while pending and time.time() < written + 20:
            before = time.monotonic()
            _, pending = await asyncio.wait(pending, timeout=0.02)
            lag = max(lag, time.monotonic() - before - 0.02)
        for ident, future in waiting.items():
            took = (future.result().at if future.done() else time.time()) - written
            outcome = future.result().outcome if future.done() else "no answer"
            rig.log(f"usual client <- {ident} {outcome} after {took:.3f} s")
            seen.append((ident, outcome, took))
        await asyncio.sleep(0.05)
    rig.log(f"lag of the usual client itself: {lag:.3f} s at most")
    if lag > LAG_S:
        raise CannotRun(f"the machine was too busy to measure: the client itself lagged {lag:.3f} s")
    limit = TTL_MS / 1000 + LATE_S + lag  # what the client itself was late by is not held against the gateway
    lost = [
        f"{ident}: {outcome} {took:.3f} s after it was written, its time is {TTL_MS} ms"
        for ident, outcome, took in seen
        if took > limit or outcome in ("lost", "no answer")
    ]
    return [*lost[:10], f"{len(lost)} of {len(seen)} requests lost"] if lost else []


main(case, __file__)
