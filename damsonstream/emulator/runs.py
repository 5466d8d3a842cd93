"""Plays an experiment's cells, on several cores, and keeps each outcome as it comes.

How it is called: `run(experiment, folder, workers, code, play, told)`; `play(experiment, cell)` gives an
`Outcome` and is called in worker processes; `told(done, all)` as each one ends. An outcome stands whole in a
file of its own or not at all, named by all that it follows from: a run that was killed goes on where it was,
and one of other code plays anew. `fingerprint()` names the code.
"""

from __future__ import annotations

import multiprocessing
import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from hashlib import blake2b
from pathlib import Path

import msgspec

import damsonstream
from damsonstream.emulator.study import Cell, Experiment, Outcome

PLAYS = Callable[[Experiment, Cell], Outcome]
POOLS = 3  # begun at the most: a worker that was killed costs its cell once, not the run
FOLDERS = ("routing", "peers", "tiers", "emulator", "together", "standins", "demo", "protocol")


class Stopped(Exception):
    """Workers end before their plays do."""


def fingerprint() -> str:
    """Of the code that a figure follows from."""
    top = Path(damsonstream.__file__).parent
    whole = blake2b(digest_size=8)
    for folder in FOLDERS:
        for path in sorted((top / folder).glob("*.py")):
            whole.update(path.name.encode() + b"\0" + path.read_bytes())
    return whole.hexdigest()


class Store:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)

    def find(self, key: str) -> Outcome | None:
        """What is kept; None where nothing is, or what can't be read: it is played again."""
        try:
            return msgspec.json.decode((self.folder / f"{key}.json").read_bytes(), type=Outcome)
        except (OSError, msgspec.DecodeError):
            return None

    def keep(self, key: str, outcome: Outcome) -> None:
        part = self.folder / f"{key}.{os.getpid()}.part"
        with part.open("wb") as file:
            file.write(msgspec.json.encode(outcome))
            file.flush()
            os.fsync(file.fileno())
        part.replace(self.folder / f"{key}.json")


def run(
    experiment: Experiment, folder: Path, workers: int, code: str, play: PLAYS,
    told: Callable[[int, int], None] = lambda done, of: None,
) -> list[Outcome]:  # fmt: skip
    store, cells = Store(folder), experiment.cells()
    found = {cell: kept for cell in cells if (kept := store.find(experiment.key(cell, code))) is not None}
    told(len(found), len(cells))

    def came(cell: Cell, outcome: Outcome) -> None:
        found[cell] = outcome
        store.keep(experiment.key(cell, code), outcome)
        told(len(found), len(cells))

    if workers == 1:
        for cell in cells:
            if cell not in found:
                came(cell, play(experiment, cell))
        return [found[cell] for cell in cells]
    for _ in range(POOLS):
        missing = [cell for cell in cells if cell not in found]
        if not missing:
            break
        spawn = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(min(workers, len(missing)), mp_context=spawn) as pool:
            waiting = {pool.submit(play, experiment, cell): cell for cell in missing}
            try:
                for future in as_completed(waiting):
                    came(waiting[future], future.result())
            except BrokenProcessPool:
                continue
    if missing := [cell for cell in cells if cell not in found]:
        raise Stopped(f"workers ended in {POOLS} pools, {len(missing)} of {len(cells)} plays are missing")
    return [found[cell] for cell in cells]
