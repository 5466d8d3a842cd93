"""A tokened request is sent again after its window, on a connection that came up late; see claim.txt."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import TROUBLE, CacheLink, Command, Rig, main

OBJECT, TOKEN = "7f3a9c21e0b4d655", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
WINDOW_S, SLACK_S = 1.5, 0.05
RESET_AFTER_S = 0.9  # of the connection, under the request


async def case(rig: Rig) -> list[str]:
    rig.settings["limits"]["connectTimeout"] = 1_500_000  # type: ignore[index]
    rig.settings["lanes"][2]["dedupWindow"] = int(WINDOW_S * 1e6)  # type: ignore[index]
    runs: list[tuple[float, str]] = []  # when the vault ran the effect, and for which cache
    sent: list[tuple[float, str]] = []  # first byte of each forward
    caches = [node for node in rig.nodes.values() if node.model == "box"]

    async def serve(link: CacheLink, command: Command) -> None:
        """The vault drops a repeat within the window from the run that it remembers."""
        now, first = time.time(), not sent
        sent.append((command.began, link.cache.name))
        repeat = any(now - at < WINDOW_S for at, _ in runs)
        if not repeat:
            runs.append((now, link.cache.name))
        rig.log(f"vault: {'repeat, dropped' if repeat else 'RUNS the effect'} (for {link.cache.name})")
        if first and TROUBLE:
            for cache in caches:
                await cache.close_door()
            await asyncio.sleep(sent[0][0] + RESET_AFTER_S - time.time())
            rig.log(f"{link.cache.name}: connection reset under the request")
            link.transport.abort()
            await asyncio.sleep(0.3)
            for cache in caches:
                await cache.open_door()
            rig.log("the caches accept connections")
            return
        await asyncio.sleep(0.02)
        stamp = str(int(time.time() * 1000))
        link.answer(command, "served", {"res": "via_origin", "version": "a1", "stamp": stamp}, b"done")

    for node in rig.nodes.values():
        node.handler = serve
    await rig.open()
    await rig.start_gateway()
    client = await rig.connect()
    fields = rig.fields("unlock", OBJECT, 3000, HTTP_X_TXN_KEY=TOKEN)
    rig.log(f"client sends the request with the token {TOKEN}")
    got = await asyncio.wait_for(client.send(1, fields, b"unlock"), 10)
    rig.log(f"client <- {got.outcome} {got.status}")
    await asyncio.sleep(1.5)
    broken = []
    for at, name in sent[1:]:
        if at - sent[0][0] > WINDOW_S + SLACK_S:
            broken.append(
                f"sent again to {name} {at - sent[0][0]:.3f} s after the first forward, which ran; "
                f"repeats are dropped for {WINDOW_S} s"
            )
    if broken:
        broken.append(f"the effect ran {len(runs)} times")
    return broken


main(case, __file__)
