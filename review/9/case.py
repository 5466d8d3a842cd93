"""A purge is told while a forward waits for its connection; see claim.txt."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import TROUBLE, CacheLink, Command, Rig, main

OBJECT, GROUP = "7f3a9c21e0b4d655", 17
GRACE_S = 0.3 + 0.05  # `noticeTime`, and the slack of the protocol page


async def case(rig: Rig) -> list[str]:
    rig.settings["limits"]["connectTimeout"] = 1_500_000  # type: ignore[index]
    old_stamp = int(time.time() * 1000) - 60_000  # each cache holds a copy that is a minute old
    dropped_at = 0.0  # when the caches have dropped it: within `purgeSettles`, 6 s

    async def serve(link: CacheLink, command: Command) -> None:
        now = time.time()
        age_ms = int(command.fields.get("newer", "0"))
        stamp = old_stamp
        if (age_ms and now * 1000 - stamp > age_ms) or (dropped_at and now >= dropped_at):
            stamp = int(now * 1000)  # filled anew
        note = "hit" if stamp == old_stamp else "via_origin"
        fields = {"res": note, "version": f"{stamp:x}", "stamp": str(stamp)}
        link.answer(command, "served", fields, f"{command.fields['obj']} {stamp}".encode())

    for node in rig.nodes.values():
        node.handler = serve
    await rig.open()
    caches = [node for node in rig.nodes.values() if node.model == "box"]
    await rig.start_gateway()
    if TROUBLE:
        for cache in caches:
            await cache.close_door()
    client = await rig.connect()
    answer = client.send(1, rig.fields("pages", OBJECT, 6000, HTTP_X_SET=str(GROUP)))
    rig.log("client sends the request")
    await asyncio.sleep(0.1)
    issued = int(time.time() * 1000)
    told = rig.bulletin.purge_group(GROUP, issued)
    dropped_at = told + 4.0
    rig.log(f"purge of group {GROUP}, issued {issued}")
    await asyncio.sleep(0.2)
    if TROUBLE:
        for cache in caches:
            await cache.open_door()
        rig.log("the caches accept connections")
    got = await asyncio.wait_for(answer, 10)
    rig.log(f"client <- {got.outcome} {got.body!r}")
    broken = []
    for cache in caches:
        for command in cache.commands:
            late = command.began - told
            if command.word == "REQ" and late > GRACE_S and got.body.endswith(str(old_stamp).encode()):
                broken.append(
                    f"{cache.name} got the request {late:.3f} s after the purge was told (grace 0.35 s), "
                    f"newer={command.fields.get('newer', 'absent')}; the answer is a copy "
                    f"{issued - old_stamp} ms older than the purge"
                )
    return broken


main(case, __file__)
