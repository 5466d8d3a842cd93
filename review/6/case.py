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
SPOILT = 0.05  # share of the answers
LINES, GROUP = 20, 17


def text_of(thing: str) -> bytes:
    """The object: a text of lines, ended by CRLF as in many files."""
    return "".join(f"{thing} line {number:02d}\r\n" for number in range(LINES)).encode()


async def case(rig: Rig) -> list[str]:
    rng, spoilt, ended = random.Random(2026), list[str](), set[CacheLink]()

    async def serve(link: CacheLink, command: Command) -> None:
        """Answers after 5 ms. Some answers claim a length that does not fit; their connection is of no use
        then, and nothing is written on it any more."""
        await asyncio.sleep(0.005)
        if link in ended:
            return
        body = text_of(command.fields["obj"])
        stamp = str(int(time.time() * 1000) - 500)
        fields = {"res": "hit", "version": "a1", "stamp": stamp}
        if not TROUBLE or rng.random() >= SPOILT:
            link.answer(command, "served", fields, body)
            return
        claimed = rng.randrange(1, len(body))
        listed = ",".join(f"{name}={value}" for name, value in fields.items()).encode()
        strings = (command.ident.encode(), b"served", listed)
        head = b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in strings)
        rig.log(f"{link.cache.name} -> served {command.ident} {len(body)} bytes, SPOILT: claims {claimed}")
        spoilt.append(command.ident)
        ended.add(link)
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
            good = answer.body == text_of(thing)
            whole = answer.fields.get("Content-Length") == str(len(answer.body))
            rig.log(f"client <- {ident} {answer.outcome} {len(answer.body)} bytes{'' if good else ' WRONG'}")
            if answer.outcome == "served" and whole and not good:
                size = len(text_of(thing))
                broken.append(
                    f"{ident} was served with {len(answer.body)} bytes of {size}: ...{answer.body[-40:]!r}"
                )
        await asyncio.sleep(PAUSE_S)
    rig.log(f"answers of the gateway: {outcomes}; {len(spoilt)} answers of caches were spoilt")
    if broken:
        broken = [*broken[:6], f"{len(broken)} wrong answers, {len(spoilt)} spoilt ones; {outcomes}"]
    return broken


main(case, __file__)
