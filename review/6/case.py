"""A cache gives an answer a length that does not fit; see claim.txt."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig2 import TROUBLE, Answer, CacheLink, Command, Rig, main

SECONDS, AT_ONCE, PAUSE_S = 30.0, 20, 0.15  # 20 requests at once, some 120 a second
SPOILT, MOST_TOO_LONG = 0.05, 120  # share of the answers; bytes by which the length is too large
GROUP = 17


async def case(rig: Rig) -> list[str]:
    rng, spoilt = random.Random(2026), list[str]()

    async def serve(link: CacheLink, command: Command) -> None:
        """Answers after 5 ms; some of the answers claim to be longer than they are."""
        await asyncio.sleep(0.005)
        body = f"{command.fields['obj']} ".encode() * 20
        stamp = str(int(time.time() * 1000) - 500)
        fields = {"res": "hit", "version": "a1", "stamp": stamp}
        if not TROUBLE or rng.random() >= SPOILT:
            link.answer(command, "served", fields, body)
            return
        claimed = len(body) + rng.randint(1, MOST_TOO_LONG)
        listed = ",".join(f"{name}={value}" for name, value in fields.items()).encode()
        head = b"*4\r\n$16\r\n%b\r\n$6\r\nserved\r\n$%d\r\n%b\r\n" % (
            command.ident.encode(),
            len(listed),
            listed,
        )
        rig.log(f"{link.cache.name} -> served {command.ident} {len(body)} bytes, SPOILT: claims {claimed}")
        spoilt.append(command.ident)
        link.transport.write(head + b"$%d\r\n%b\r\n" % (claimed, body))

    for node in rig.nodes.values():
        node.handler = serve
    await rig.open()
    await rig.start_gateway()
    client, broken, outcomes = await rig.connect(), list[str](), dict[str, int]()
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        asked: dict[str, tuple[str, asyncio.Future[Answer]]] = {}
        for number in range(1, AT_ONCE + 1):
            thing = f"{rng.getrandbits(64):016x}"
            fields = rig.fields("pages", thing, 6000, HTTP_X_SET=str(GROUP))
            asked[fields["HTTP_X_TXN"]] = thing, client.send(number, fields)
        await asyncio.wait([answer for _, answer in asked.values()], timeout=8)
        for ident, (thing, future) in asked.items():
            answer = future.result() if future.done() else Answer(0, {}, b"", 0, 0.0, lost=True)
            outcomes[answer.outcome] = outcomes.get(answer.outcome, 0) + 1
            good = answer.body == f"{thing} ".encode() * 20
            whole = answer.fields.get("Content-Length") == str(len(answer.body))
            rig.log(f"client <- {ident} {answer.outcome} {len(answer.body)} bytes{'' if good else ' WRONG'}")
            if answer.outcome == "served" and whole and not good:
                broken.append(f"{ident} was served with bytes of other answers: ...{answer.body[-60:]!r}")
        await asyncio.sleep(PAUSE_S)
    rig.log(f"answers of the gateway: {outcomes}; {len(spoilt)} answers of caches were spoilt")
    if broken:
        broken = [*broken[:6], f"{len(broken)} wrong answers, {len(spoilt)} spoilt ones; {outcomes}"]
    return broken


main(case, __file__)
