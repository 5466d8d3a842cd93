"""Runs the cells of an experiment on several cores and stores each outcome as it completes.

Usage: `run(experiment, folder, workers, code, run_cell, on_progress)`. `run_cell(experiment, cell)` returns
an `Outcome` and is called in worker processes; `on_progress(done, total)` is called as each cell ends. An
outcome is a file that is written atomically and named by a hash of all its inputs: an interrupted run resumes
with the missing cells, and other code runs all of them again. `fingerprint()` identifies the code.
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

RunCell = Callable[[Experiment, Cell], Outcome]
MAX_POOLS = 3  # a worker that is killed breaks its pool; the next pool runs the missing cells
PACKAGES = ("routing", "peers", "tiers", "emulator", "together", "standins", "demo", "protocol")


class WorkersDied(Exception):
    """Worker processes ended before their cells did, in each of MAX_POOLS pools."""


def fingerprint() -> str:
    """Returns a hash of the source files that determine an outcome."""
    top = Path(damsonstream.__file__).parent
    code_hash = blake2b(digest_size=8)
    for package in PACKAGES:
        for path in sorted((top / package).glob("*.py")):
            code_hash.update(path.name.encode() + b"\0" + path.read_bytes())
    return code_hash.hexdigest()


class Store:
    """Outcomes in a folder, a JSON file for each."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)

    def find(self, key: str) -> Outcome | None:
        """Returns the stored outcome, or None if it is missing or unreadable: its cell is run again."""
        try:
            return msgspec.json.decode((self.folder / f"{key}.json").read_bytes(), type=Outcome)
        except (OSError, msgspec.DecodeError):
            return None

    def save(self, key: str, outcome: Outcome) -> None:
        part = self.folder / f"{key}.{os.getpid()}.part"
        with part.open("wb") as file:
            file.write(msgspec.json.encode(outcome))
            file.flush()
            os.fsync(file.fileno())
        part.replace(self.folder / f"{key}.json")


def run(
    experiment: Experiment, folder: Path, workers: int, code: str, run_cell: RunCell,
    on_progress: Callable[[int, int], None] = lambda done, total: None,
) -> list[Outcome]:  # fmt: skip
    """Returns the outcomes of all cells, in the experiment's order; raises `WorkersDied`."""
    store, cells = Store(folder), experiment.cells()
    outcomes = {
        cell: stored for cell in cells if (stored := store.find(experiment.key(cell, code))) is not None
    }
    on_progress(len(outcomes), len(cells))

    def complete(cell: Cell, outcome: Outcome) -> None:
        outcomes[cell] = outcome
        store.save(experiment.key(cell, code), outcome)
        on_progress(len(outcomes), len(cells))

    if workers == 1:
        for cell in cells:
            if cell not in outcomes:
                complete(cell, run_cell(experiment, cell))
        return [outcomes[cell] for cell in cells]
    for _ in range(MAX_POOLS):
        missing = [cell for cell in cells if cell not in outcomes]
        if not missing:
            break
        spawn = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(min(workers, len(missing)), mp_context=spawn) as pool:
            futures = {pool.submit(run_cell, experiment, cell): cell for cell in missing}
            try:
                for future in as_completed(futures):
                    complete(futures[future], future.result())
            except BrokenProcessPool:
                continue
    if missing := [cell for cell in cells if cell not in outcomes]:
        raise WorkersDied(
            f"worker processes died in {MAX_POOLS} pools; {len(missing)} of {len(cells)} runs are missing"
        )
    return [outcomes[cell] for cell in cells]
