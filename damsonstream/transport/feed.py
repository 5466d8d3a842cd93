"""Client of the bulletin, the discovery service that publishes the list of caches and purges as numbered
events.

Usage: `await DiscoveryWatch(...).run()` never returns. It passes each event once, in order and with its
number, to `on_event`, and reconnects after a failure, resuming after the last event received.
`set_address(address)` switches to another server, also while connected; the watch resumes there after the
same event.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio

from damsonstream.protocol import bulletin

log = logging.getLogger(__name__)
# A connection on which nothing arrives for this long is considered dead, as a server can stop and leave it
# open. The server sends a frame each second, and events have to be applied within 4 s after a server went
# silent: two missed frames leave time to reconnect, and for one late frame.
SILENCE_TIMEOUT_S = 2.2
CONNECT_TIMEOUT_S = 1.0  # together with the silence timeout below the 4 s
RECONNECT_DELAY_S = 0.25  # events have to be applied within 2 s after a broken connection


class DiscoveryWatch:
    """The watch of one bulletin server, from event number `last_event` on."""

    def __init__(
        self,
        address: str,
        last_event: int,
        locations: tuple[str, ...],
        models: tuple[str, ...],
        on_event: Callable[[bulletin.Event, int], None],
        count: Callable[[str], None],
    ) -> None:
        self.address, self.last_event, self.locations, self.models = address, last_event, locations, models
        self.on_event, self.count = on_event, count
        self.events_received = 0  # on the current connection
        self.cancel_scope: anyio.CancelScope | None = None  # of the connection or of the reconnect delay

    def set_address(self, address: str) -> None:
        """Switches to another server at once; events that the old one has not sent come from the new one."""
        if address != self.address:
            self.address = address
            if self.cancel_scope is not None:
                self.cancel_scope.cancel()

    async def run(self) -> None:
        while True:
            address, reason, self.events_received = self.address, "stopped", 0
            try:
                with anyio.CancelScope() as self.cancel_scope:
                    reason = await self.run_connection(address)
                if self.cancel_scope.cancelled_caught:
                    reason = "moved"
            finally:
                self.count(f"bulletin.{reason}")
                fields = {
                    "peer": address,
                    "reason": reason,
                    "events": self.events_received,
                    "last": self.last_event,
                }
                log.info("closed", extra={"side": "bulletin", **fields})
            if self.address == address:
                with anyio.CancelScope() as self.cancel_scope:
                    await anyio.sleep(RECONNECT_DELAY_S)

    async def run_connection(self, address: str) -> str:
        """Receives events on one connection until it ends; returns the reason code."""
        host, _, port = address.rpartition(":")
        decoder = bulletin.Decoder(self.last_event, self.locations, self.models)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, int(port))
            async with stream:
                await stream.send(bulletin.subscribe_request(self.last_event))
                while True:
                    with anyio.fail_after(SILENCE_TIMEOUT_S):
                        data = await stream.receive()
                    for event in decoder.feed(data):
                        self.last_event = decoder.last_event
                        self.events_received += 1
                        self.count("bulletin.events")
                        try:
                            self.on_event(event, decoder.last_event)
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
        except bulletin.ProtocolError as error:
            log.warning("malformed", extra={"side": "bulletin", "what": str(error)})
            return "malformed"
        except Exception:
            log.exception("bulletin")
            return "fault"
