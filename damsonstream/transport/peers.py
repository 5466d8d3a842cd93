"""The UDP socket for messages between gateways, on the configured address.

Usage: `await PeerSocket(listen, addresses, on_datagram).open()`, then `send(index, data)`.
`on_datagram(index, data)` is called for each datagram received, with the index of the sender in `addresses`,
or -1 if it is not listed. Delivery is not guaranteed, and send errors are ignored.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

log = logging.getLogger(__name__)
Address = tuple[str, int]


class PeerSocket(asyncio.DatagramProtocol):
    """The datagram endpoint of one gateway."""

    def __init__(
        self, listen: Address, addresses: tuple[Address, ...], on_datagram: Callable[[int, bytes], None]
    ) -> None:
        self.listen, self.addresses, self.on_datagram = listen, addresses, on_datagram
        self.index_by_address = {address: index for index, address in enumerate(addresses)}
        self.socket: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Binds the socket; raises OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        self.socket, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)

    def set_addresses(self, addresses: tuple[Address, ...]) -> None:
        """Replaces the list of peers."""
        self.addresses = addresses
        self.index_by_address = {address: index for index, address in enumerate(addresses)}

    def datagram_received(self, data: bytes, sender: Address) -> None:
        try:
            self.on_datagram(self.index_by_address.get(sender, -1), data)
        except Exception:
            log.exception("peers")

    def error_received(self, error: Exception) -> None:
        log.debug("peers", extra={"what": str(error)})  # for example, the peer is not listening

    def send(self, index: int, data: bytes) -> None:
        if self.socket is not None and 0 <= index < len(self.addresses):
            self.socket.sendto(data, self.addresses[index])

    def close(self) -> None:
        if self.socket is not None:
            self.socket.close()
