"""The operator's own settings of a gateway: what the platform's configuration does not tell.

How it is called: `read(path)` gives `Operator`, or raises `kdl.Fault` with file, line and field. An example
stands in deploy/operator.example.kdl. Without such a file everything here is off.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from damsonstream.peers.pieces import PIECES
from damsonstream.records.keeper import Limits
from damsonstream.settings import kdl

LEAST_BYTES = 1 << 20  # of a store: eight segments of 128 KB
LEAST_AGE = 60.0


@dataclass(slots=True, frozen=True)
class Records:
    """Where records are kept, and how much of them; `shift` and `drift` are for trials of wrong clocks."""

    folder: Path
    limits: Limits = field(default_factory=Limits)
    shift: float = 0.0  # seconds
    drift: float = 0.0  # seconds a second


@dataclass(slots=True, frozen=True)
class Operator:
    records: Records | None = None
    peers: frozenset[str] | None = None  # pieces of what gateways decide together; None: each decides alone
    tiers: Path | None = None  # the hierarchy's file; None: any parent in hash order


def records(section: kdl.Section) -> Records:
    folder = section.text("folder")
    if not folder:
        raise section.fault("names no folder", "folder")
    default = Limits()
    limits = Limits(
        section.size("bytes", default.bytes, LEAST_BYTES), section.span("age", default.age, LEAST_AGE)
    )
    shift, drift = 0.0, 0.0
    if trial := section.section("trial-clock"):
        shift, drift = trial.number("shift", 0.0, -1e6, 1e6), trial.number("drift", 0.0, -0.01, 0.01)
        trial.finish()
    section.finish()
    return Records(Path(folder), limits, shift, drift)


def peers(section: kdl.Section) -> frozenset[str]:
    """Each piece is on unless it stands there as #false."""
    found = frozenset(name for name in PIECES if section.flag(name, True))
    section.finish()
    return found


def read(path: str) -> Operator:
    top = kdl.read(path)
    told, gather = top.section("records"), top.section("peers")
    shape = top.text("tiers")
    found = Operator(
        records(told) if told else None,
        peers(gather) if gather is not None else None,
        Path(path).parent / shape if shape else None,  # beside this file, where it is no whole path
    )
    top.finish()
    return found
