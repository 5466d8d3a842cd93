"""One bad client: asks for a class that does not exist, and sends a body without end after its request.

Usage: flood.py PORT SECONDS. It sends at full speed, reads what it is sent, and prints a line at the end.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins as s

PIECE = b"endless "  # the content of each record of the body


async def flood(port: int, seconds: float) -> None:
    reader, writer = await asyncio.open_connection(s.LOOPBACK, port)
    received = bytearray()

    async def read() -> None:
        try:
            while data := await reader.read(1 << 16):
                received.extend(data)
        except ConnectionError:
            pass

    reading = asyncio.create_task(read())
    until, sent, body = time.monotonic() + seconds, 0, s.record(s.STDIN, 1, PIECE) * 4096
    writer.write(s.fastcgi_request(1, "/v1/nothing", s.get_fields(random.Random(), 2500)))
    try:
        while (left := until - time.monotonic()) > 0 and not reading.done():
            writer.write(body)
            sent += len(body)
            await asyncio.wait_for(writer.drain(), left)
    except (TimeoutError, ConnectionError):
        pass
    ended = "the gateway closed it" if reading.done() else "it was open to the end"
    print(f"{sent / 1e6:.1f} MB written, {len(received)} bytes read, {ended}", flush=True)
    writer.transport.abort()


if __name__ == "__main__":
    asyncio.run(flood(int(sys.argv[1]), float(sys.argv[2])))
