"""The bulletin's connection: connects, asks for what follows the last event, and begins again when it breaks.

How it is called: `await Feed(...).follow()` never ends; each event is handed to `told`
once, with its number, in order.
`move(address)` points it elsewhere, also while it is connected: it asks there for what follows the last one.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from damsonstream.protocol import bulletin

log = logging.getLogger(__name__)
# Seconds without a byte after which a connection is dead. A frame comes each second, and news of a silent
# bulletin counts as told 4 s after it stopped: two frames missing leave time to connect again, and to be late
# once. Guards against a bulletin that stops and stays open.
SILENT = 2.2
CONNECT = 1.0  # seconds to connect: with the silence still under the 4 s
AGAIN = 0.25  # seconds between connections: news counts as told 2 s after a break


class Feed:
    def __init__(
        self,
        address: str,
        last: int,
        locations: tuple[str, ...],
        models: tuple[str, ...],
        told: Callable[[bulletin.Event, int], None],
        count: Callable[[str], None],
    ) -> None:
        self.address, self.last, self.locations, self.models = address, last, locations, models
        self.told, self.count = told, count
        self.heard = 0  # events on this connection
        self.turn: anyio.CancelScope | None = None  # the connection, or the pause before the next one

    def move(self, address: str) -> None:
        """At once: what an old bulletin still holds back, the new one tells from the last number on."""
        if address != self.address:
            self.address = address
            if self.turn is not None:
                self.turn.cancel()

    async def follow(self) -> None:
        while True:
            address, reason, self.heard = self.address, "stopped", 0
            try:
                with anyio.CancelScope() as self.turn:
                    reason = await self.connection(address)
                if self.turn.cancelled_caught:
                    reason = "moved"
            finally:
                self.count(f"bulletin.{reason}")
                told = {"peer": address, "reason": reason, "events": self.heard, "last": self.last}
                log.info("closed", extra={"side": "bulletin", **told})
            if self.address == address:
                with anyio.CancelScope() as self.turn:
                    await anyio.sleep(AGAIN)

    async def connection(self, address: str) -> str:
        """One connection, from its opening to the reason of its end."""
        host, _, port = address.rpartition(":")
        decoder = bulletin.Decoder(self.last, self.locations, self.models)
        try:
            with anyio.fail_after(CONNECT):
                stream = await anyio.connect_tcp(host, int(port))
            async with stream:
                await stream.send(bulletin.hello(self.last))
                while True:
                    with anyio.fail_after(SILENT):
                        data = await stream.receive()
                    for event in decoder.feed(data):
                        self.last = decoder.last
                        self.heard += 1
                        self.count("bulletin.events")
                        try:
                            self.told(event, decoder.last)
                        except Exception:
                            log.exception("bulletin event")
        except TimeoutError:
            return "silent"
        except anyio.EndOfStream:
            return "closed"
        except anyio.BrokenResourceError:
            return "reset"
        except OSError:
            return "no-listener"
        except bulletin.Broken as fault:
            log.warning("malformed", extra={"side": "bulletin", "what": str(fault)})
            return "malformed"
        except Exception:
            log.exception("bulletin")
            return "fault"
