"""Reads a folder of records while gateways write to it, for the console.

Usage: `RecordFollower(folder)`. `poll()` reads new records into `history` and returns whether there may be
more; `seconds_since_growth()` returns how many seconds ago each gateway's records grew.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from damsonstream.console.history import History
from damsonstream.records import store


class RecordFollower:
    """Follows the records of all gateways in one folder."""

    def __init__(self, folder: Path, clock: Callable[[], float] = time.monotonic) -> None:
        self.folder, self.clock = folder, clock
        self.history = History()
        self.followers: dict[Path, store.Follower] = {}
        self.names: dict[Path, str] = {}
        self.last_growth: dict[str, float] = {}  # by gateway, on `clock`

    def poll(self) -> bool:
        """Reads a bounded number of new records; returns True if there may be more to read."""
        if not self.folder.is_dir():
            return False
        for path in self.folder.iterdir():
            if path.is_dir() and path not in self.followers:
                self.followers[path] = store.Follower(path)
        more = False
        for path, follower in self.followers.items():
            found = follower.poll()
            if found and path not in self.names:
                names = {folder: name for name, folder in store.gateway_folders(self.folder).items()}
                self.names[path] = names.get(path, path.name)
            for entry in found:
                self.history.feed(self.names[path], entry)
            if found:
                self.last_growth[self.names[path]] = self.clock()
            more |= follower.more_available
        return more

    def seconds_since_growth(self) -> dict[str, float]:
        """Returns the seconds since each gateway's records last grew."""
        now = self.clock()
        return {name: now - at for name, at in self.last_growth.items()}

    def read_all(self) -> None:
        """Reads all records that exist now."""
        while self.poll():
            pass
