"""Reads a folder of records as it grows, for a console.

How it is called: `Following(folder)`; `poll()` reads what is new and says whether there was anything;
`history` holds it, `silent()` how long ago each gateway's records grew.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from damsonstream.console.history import History
from damsonstream.records import store


class Following:
    def __init__(self, folder: Path, clock: Callable[[], float] = time.monotonic) -> None:
        self.folder, self.clock = folder, clock
        self.history = History()
        self.followers: dict[Path, store.Follower] = {}
        self.names: dict[Path, str] = {}
        self.grew: dict[str, float] = {}

    def poll(self) -> bool:
        """Bounded work: a large store takes several calls, and `True` says that there may be more."""
        if not self.folder.is_dir():
            return False
        for path in self.folder.iterdir():
            if path.is_dir() and path not in self.followers:
                self.followers[path] = store.Follower(path)
        more = False
        for path, follower in self.followers.items():
            found = follower.poll()
            if found and path not in self.names:
                told = {folder: name for name, folder in store.gateways(self.folder).items()}
                self.names[path] = told.get(path, path.name)
            for entry in found:
                self.history.feed(self.names[path], entry)
            if found:
                self.grew[self.names[path]] = self.clock()
            more |= follower.behind
        return more

    def silent(self) -> dict[str, float]:
        now = self.clock()
        return {name: now - at for name, at in self.grew.items()}

    def read_all(self) -> None:
        while self.poll():
            pass
