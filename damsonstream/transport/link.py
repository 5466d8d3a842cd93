"""One TCP connection as callbacks: bytes in, bytes out, and its end told once with a reason code.

How it is called: a subclass overrides `took()` and `ended()`, and calls `send()` and `end()`. This is
asyncio's protocol under anyio's tasks: anyio's own socket streams cost a checkpoint and two changes of the
poll set for each read (docs/design.md has the figures).
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import cast

log = logging.getLogger(__name__)


class Link(asyncio.Protocol):
    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.reason = ""  # why it ended or is to end
        self.used = time.monotonic()
        self.queue: list[bytes] = []  # until it is up; bounded by who sends

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
        if self.queue:
            self.transport.write(b"".join(self.queue))
            self.queue.clear()

    def data_received(self, data: bytes) -> None:
        if self.reason:
            return
        try:
            self.took(data)
        except Exception:
            log.exception("connection")
            self.end("fault")

    def eof_received(self) -> bool:
        self.end("closed")
        return False

    def connection_lost(self, fault: Exception | None) -> None:
        self.reason = self.reason or ("reset" if fault else "closed")
        self.ended()

    def send(self, data: bytes) -> None:
        if self.transport is None:
            self.queue.append(data)
        elif not self.reason:
            self.transport.write(data)

    @property
    def waiting(self) -> int:
        """Bytes not yet handed to the system."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def end(self, reason: str, flush: bool = False) -> None:
        if self.reason:
            return
        self.reason = reason
        if self.transport is not None:
            if flush:
                self.transport.close()
            else:
                self.transport.abort()
