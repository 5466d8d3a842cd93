"""The discovery watch, a connection to the bulletin: asks for what follows the last event, and again when it
ends.

How it is called: `await DiscoveryWatch(...).follow()` never ends; each event is handed to `told` once, with
its number, in order.
`move(address)` points it elsewhere, also while it is connected: it asks there for what follows the last one.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from damsonstream.protocol import bulletin
from damsonstream.transport.connection import LOCAL

log = logging.getLogger(__name__)
# Seconds without a whole frame after which a connection is dead. A frame comes each second, and news of a
# silent bulletin counts as told 4 s after it stopped: two frames missing leave time to connect again, and to
# be late once. Guards against a bulletin that stops and stays open, also in the middle of a frame.
SILENT = 2.2
CONNECT = 1.0  # seconds to connect: with the silence still under the 4 s
# Seconds between connections: news counts as told 2 s after a break. None after a silence, which took its
# time.
AGAIN = 0.25
# Seconds between connections where what is told can't be used: each asks for the whole list
UNUSABLE = 2.0


class DiscoveryWatch:
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
            if self.address == address and reason != "silent":
                with anyio.CancelScope() as self.turn:
                    await anyio.sleep(UNUSABLE if reason == "fault" else AGAIN)

    async def connection(self, address: str) -> str:
        """One connection, from its opening to the reason of its end."""
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(CONNECT):
                stream = await anyio.connect_tcp(host, int(port))
        except TimeoutError:
            return "connect-timeout"
        except OSError as fault:
            return "no-descriptor" if fault.errno in LOCAL else "no-listener"
        decoder = bulletin.Decoder(self.last, self.locations, self.models)
        try:
            async with stream:
                await stream.send(bulletin.hello(self.last))
                frames = -1
                while True:
                    if frames != decoder.frames:  # only whole ones show that it lives
                        frames, until = decoder.frames, anyio.current_time() + SILENT
                    with anyio.fail_after(until - anyio.current_time()):
                        data = await stream.receive()
                    for event in decoder.feed(data):
                        self.heard += 1
                        self.count("bulletin.events")
                        try:
                            self.told(event, decoder.last)
                        except Exception:  # half of it may stand: all is asked for again, from the first on
                            log.exception("bulletin event")
                            self.last = 0
                            return "fault"
                        self.last = decoder.last
        except TimeoutError:
            return "silent"
        except anyio.EndOfStream:
            return "closed"
        except (anyio.BrokenResourceError, OSError):
            return "reset"
        except bulletin.Broken as fault:
            log.warning("malformed", extra={"side": "bulletin", "what": str(fault)})
            return "malformed"
        except Exception:
            log.exception("bulletin")
            return "fault"
