"""Memory of the requests that clients send, shared among their connections.

Usage: `RequestMemory(limit, connections, largest_request)` once, and `ConnectionMemory(memory)` for each
connection, which reserves and releases bytes. A connection that uses little always gets memory, however much
the others use:

- Each connection is guaranteed the memory of one request of the largest size, or an equal part of
  `GUARANTEED_SHARE` of the limit if that is less.
- The rest is shared. Of it a connection may use up to `SHARE_OF_FREE` times what stays free, so that the part
  of each falls as more connections use it, and some of it always stays free for others.
"""

from __future__ import annotations

GUARANTEED_SHARE = 3 / 4
SHARE_OF_FREE = 2


class RequestMemory:
    """The memory of all requests of a gateway, in bytes."""

    def __init__(self, limit: int, max_connections: int, largest_request: int) -> None:
        self.limit = limit
        # for each connection
        self.guaranteed = min(largest_request, int(limit * GUARANTEED_SHARE) // max_connections)
        self.shared_limit = limit - self.guaranteed * max_connections
        self.used = 0  # also by requests whose connection has been closed
        self.shared_used = 0

    def shared_part(self, used: int) -> int:
        """Returns how much of a connection's memory is taken from the shared part."""
        return max(0, used - self.guaranteed)


class ConnectionMemory:
    """The memory of the requests that came over one connection."""

    def __init__(self, memory: RequestMemory) -> None:
        self.memory = memory
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Reserves memory; returns False, and reserves nothing, if there is no room for this connection."""
        memory = self.memory
        shared = memory.shared_part(self.used + size)
        added = shared - memory.shared_part(self.used)
        if memory.used + size > memory.limit:
            return False
        if added and shared > SHARE_OF_FREE * (memory.shared_limit - memory.shared_used - added):
            return False
        self.used += size
        memory.used += size
        memory.shared_used += added
        return True

    def release(self, size: int) -> None:
        memory = self.memory
        memory.shared_used -= memory.shared_part(self.used) - memory.shared_part(self.used - size)
        self.used -= size
        memory.used -= size
