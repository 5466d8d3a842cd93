"""One TCP connection as callbacks: bytes in, bytes out, and its end told once with a reason code.

How it is called: a subclass overrides `took()` and `ended()`, and calls `send()`, `finish()` and `end()`.
This is asyncio's protocol under anyio's tasks: anyio's own socket streams cost a checkpoint and two changes
of the poll set for each read (docs/design.md has the figures).
"""

from __future__ import annotations

import asyncio
import errno
import logging
import time
from typing import cast

log = logging.getLogger(__name__)
# This machine's trouble, not the peer's: no descriptor, no port, no memory
LOCAL = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN)


class Connection(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.reason = ""  # why it ended or is to end; once there is one, nothing that comes is taken
        self.used = time.monotonic()
        self.finishing = False  # our side is shut: it ends with the peer's, or when the wait for that is over

    def took(self, data: bytes) -> None:
        raise NotImplementedError

    def ended(self) -> None:
        """Told once, when nothing more comes or goes."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        up = cast(asyncio.Transport, transport)
        if self.reason:  # given up before it was up
            up.abort()
            return
        self.transport = up

    def data_received(self, data: bytes) -> None:
        if self.reason:
            return
        try:
            self.took(data)
        except Exception:
            log.exception("connection")
            self.end("fault")

    def eof_received(self) -> bool:
        """The peer has shut its side: it has gone, also where it could still read."""
        if not self.finishing:
            self.end("closed")
        return False  # the transport ends once it has written what it holds

    def connection_lost(self, fault: Exception | None) -> None:
        self.reason = self.reason or ("reset" if fault else "closed")
        self.ended()

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.reason:
            self.transport.write(data)

    @property
    def waiting(self) -> int:
        """Bytes not yet handed to the system."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def finish(self, reason: str, within: float) -> None:
        """Shuts our side once all is written, and reads on until the peer has shut its own, for so many
        seconds at most: a close over bytes that were not read resets, and what the system still held back is
        lost."""
        if self.reason or self.transport is None:
            return self.end(reason)
        self.reason, self.finishing = reason, True
        self.transport.write_eof()
        self.give(within)

    def give(self, within: float) -> None:
        """So many seconds for the peer to shut its side; again while it goes on reading what was written."""
        before = self.waiting

        def over() -> None:
            if 0 < self.waiting < before:
                self.give(within)
            elif self.transport is not None:
                self.transport.abort()

        asyncio.get_running_loop().call_later(within, over)

    def end(self, reason: str) -> None:
        """At once; what is not written yet goes with it."""
        if self.reason and not self.finishing:
            return
        self.reason, self.finishing = self.reason or reason, False
        if self.transport is not None:
            self.transport.abort()
