"""Remembers the ids of requests with an effect that were sent to a cache. An id is new with every request, so
one that comes again must not be sent again: its first request may have run.

Usage: one `SentIds`; `add()` for a request that may have run, and `ident in sent_ids` for each new one. It
does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_IDS = 4096  # those of some seconds at a busy gateway


class SentIds:
    """The latest ids, in the order in which they were added."""

    def __init__(self, max_ids: int = MAX_IDS) -> None:
        self.max_ids = max_ids
        self.ids: OrderedDict[bytes, None] = OrderedDict()

    def add(self, ident: bytes) -> None:
        """Adds an id; the oldest one is forgotten if there are too many."""
        self.ids[ident] = None
        if len(self.ids) > self.max_ids:
            self.ids.popitem(last=False)

    def __contains__(self, ident: bytes) -> bool:
        return ident in self.ids
