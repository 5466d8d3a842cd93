"""Datagrams between gateways: one UDP socket, on the address that the configuration names for it.

How it is called: `await Peers(listen, addresses, heard).open()`, then `send(place, data)`; `heard(place,
data)` is called for each that comes, with the place of its sender's address in the list, or -1 for one from
elsewhere. What can't be sent is lost, as datagrams are.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

log = logging.getLogger(__name__)
Address = tuple[str, int]


class Peers(asyncio.DatagramProtocol):
    def __init__(
        self, listen: Address, addresses: tuple[Address, ...], heard: Callable[[int, bytes], None]
    ) -> None:
        self.listen, self.addresses, self.heard = listen, addresses, heard
        self.places = {address: place for place, address in enumerate(addresses)}
        self.socket: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Raises OSError where the address can't be had."""
        loop = asyncio.get_running_loop()
        self.socket, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)

    def moved(self, addresses: tuple[Address, ...]) -> None:
        """The list of peers has changed."""
        self.addresses = addresses
        self.places = {address: place for place, address in enumerate(addresses)}

    def datagram_received(self, data: bytes, sender: Address) -> None:
        try:
            self.heard(self.places.get(sender, -1), data)
        except Exception:
            log.exception("peers")

    def error_received(self, fault: Exception) -> None:
        log.debug("peers", extra={"what": str(fault)})  # nobody listens there just now

    def send(self, place: int, data: bytes) -> None:
        if self.socket is not None and 0 <= place < len(self.addresses):
            self.socket.sendto(data, self.addresses[place])

    def close(self) -> None:
        if self.socket is not None:
            self.socket.close()
