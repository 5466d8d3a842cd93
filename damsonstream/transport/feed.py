"""The bulletin's connection: connects, asks for what follows the last event, and begins again when it breaks.

How it is called: `await follow(...)` never ends; each event is handed to `told` once, in order.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from damsonstream.protocol import bulletin

log = logging.getLogger(__name__)
SILENT = 3.5  # seconds without a frame, of which one comes each second, after which the connection is dead
CONNECT = 1.0  # seconds to connect
AGAIN = 0.25  # seconds between connections: events count as told a few seconds after they came


async def follow(
    address: str,
    last: int,
    locations: tuple[str, ...],
    models: tuple[str, ...],
    told: Callable[[bulletin.Event], None],
    count: Callable[[str], None],
) -> None:
    host, _, port = address.rpartition(":")
    while True:
        reason, heard = "closed", 0
        decoder = bulletin.Decoder(last, locations, models)
        try:
            with anyio.fail_after(CONNECT):
                stream = await anyio.connect_tcp(host, int(port))
            async with stream:
                await stream.send(bulletin.hello(last))
                while True:
                    with anyio.fail_after(SILENT):
                        data = await stream.receive()
                    for event in decoder.feed(data):
                        last = decoder.last
                        heard += 1
                        count("bulletin.events")
                        try:
                            told(event)
                        except Exception:
                            log.exception("bulletin event")
        except TimeoutError:
            reason = "silent"
        except anyio.EndOfStream:
            pass
        except anyio.BrokenResourceError:
            reason = "reset"
        except OSError:
            reason = "no-listener"
        except bulletin.Broken as fault:
            reason = "malformed"
            log.warning("malformed", extra={"side": "bulletin", "what": str(fault)})
        except Exception:
            reason = "fault"
            log.exception("bulletin")
        count(f"bulletin.{reason}")
        log.info(
            "closed",
            extra={"side": "bulletin", "peer": address, "reason": reason, "events": heard, "last": last},
        )
        await anyio.sleep(AGAIN)
