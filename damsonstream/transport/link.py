"""Base class of TCP connections with callbacks for received data and for the close, with a reason code.

Usage: a subclass overrides `handle_data()` and `handle_close()`, and calls `send()` and `close()`. It is an
asyncio protocol rather than an anyio socket stream, because the latter costs a checkpoint and two changes of
the poll set for each read (docs/design.md has the figures). It is a buffered one, as that limits how much is
read at a time.
"""

from __future__ import annotations

import asyncio
import logging
import select
import time
from typing import cast

log = logging.getLogger(__name__)
READ_BYTES = 1 << 14  # at a time from one connection; what is not processed at once is kept until it is


class TcpConnection(asyncio.BufferedProtocol):
    """One TCP connection. Nothing can be sent before it is established."""

    # shared by all connections: what is read is processed or copied before the next read
    read_buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.close_poll = select.poll()  # tells whether the peer has closed the connection
        self.reason = ""  # reason code of the close; empty while the connection is usable
        self.last_used = time.monotonic()

    def handle_data(self, data: bytes) -> None:
        raise NotImplementedError

    def handle_close(self) -> None:
        """Called once, after the connection is closed."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        established = cast(asyncio.Transport, transport)
        if self.reason:  # closed before it was established
            established.abort()
            return
        self.transport = established
        self.close_poll.register(established.get_extra_info("socket").fileno(), select.POLLRDHUP)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.reason:
            return
        try:
            self.handle_data(bytes(self.read_buffer[:nbytes]))
        except Exception:
            self.fail()

    def fail(self) -> None:
        """Closes the connection after an unexpected exception, which is being handled."""
        log.exception("connection")
        self.close("fault")

    def eof_received(self) -> bool:
        self.close("closed")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.reason = self.reason or ("reset" if error else "closed")
        self.handle_close()

    def send(self, data: bytes) -> None:
        self.send_pieces((data,))

    def send_pieces(self, pieces: tuple[bytes, ...]) -> None:
        """Sends data in pieces, so that a large one need not be copied."""
        if self.transport is not None and not self.reason:
            self.transport.writelines(pieces)

    def is_connected(self) -> bool:
        """Returns whether the peer has not closed the connection. Input before a close may be unread."""
        if self.reason or self.transport is None or self.transport.is_closing():
            return False
        return not self.close_poll.poll(0)

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes in the send buffer, not yet passed to the kernel."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def close(self, reason: str, flush: bool = False) -> None:
        """Closes the connection; with `flush` the send buffer is written first. Only the first call
        counts."""
        if self.reason:
            return
        self.reason = reason
        if self.transport is not None:
            if flush:
                self.transport.close()
            else:
                self.transport.abort()
