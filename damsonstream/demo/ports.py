"""Ports on the loopback address for processes that are started later.

Usage: `HeldPort()` draws a free port and keeps it from all others; `release()` right before the process that
listens on it is started.
"""

from __future__ import annotations

import secrets
import socket

from damsonstream.standins.servers import LOOPBACK

PORTS = range(12_000, 30_000)  # below the ephemeral ports, which the system may assign meanwhile
MAX_DRAWS = 1000


class HeldPort:
    """A port that nobody else can bind until it is released. Raises OSError if no port is free."""

    def __init__(self, kind: int = socket.SOCK_STREAM) -> None:
        self.holder = socket.socket(socket.AF_INET, kind)
        self.number = self.bind_any()

    def bind_any(self) -> int:
        for _ in range(MAX_DRAWS):
            port = secrets.choice(PORTS)  # random, so that concurrent runs rarely draw the same
            try:
                self.holder.bind((LOOPBACK, port))
            except OSError:
                continue
            return port
        self.holder.close()
        raise OSError("no port is free")

    def release(self) -> None:
        """Lets others bind the port. Further calls have no effect."""
        self.holder.close()
