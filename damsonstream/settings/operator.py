"""The operator's settings of a gateway, which are not part of the platform's configuration.

Usage: `read(path)` returns an `Operator`, or raises `kdl.KdlError` with file, line and field. See
deploy/operator.example.kdl for an example. Without such a file all features configured here are off.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from damsonstream.peers.features import FEATURES
from damsonstream.records.write_policy import Limits
from damsonstream.settings import kdl

MIN_STORE_BYTES = 1 << 20  # room for eight segments of 128 KB
MIN_AGE_SECONDS = 60.0


@dataclass(slots=True, frozen=True)
class Records:
    """Where records are stored and how many are kept.

    `shift` and `drift` falsify the clock of the records, for tests of clock correction.
    """

    folder: Path
    limits: Limits = field(default_factory=Limits)
    shift: float = 0.0  # seconds
    drift: float = 0.0  # seconds per second


@dataclass(slots=True, frozen=True)
class Operator:
    """The settings of one operator file."""

    records: Records | None = None
    peers: frozenset[str] | None = None  # enabled features of the peer exchange; None: no exchange with peers
    tiers: Path | None = None  # file with the cache hierarchy; None: parents are chosen in hash order


def read_records(section: kdl.Section) -> Records:
    """Reads the section `records`."""
    folder = section.text("folder")
    if not folder:
        raise section.error("is missing", "folder")
    default = Limits()
    limits = Limits(
        section.size("bytes", default.bytes, MIN_STORE_BYTES),
        section.duration("age", default.age, MIN_AGE_SECONDS),
    )
    shift, drift = 0.0, 0.0
    if clock := section.section("trial-clock"):
        shift, drift = clock.number("shift", 0.0, -1e6, 1e6), clock.number("drift", 0.0, -0.01, 0.01)
        clock.finish()
    section.finish()
    return Records(Path(folder), limits, shift, drift)


def read_peers(section: kdl.Section) -> frozenset[str]:
    """Returns the enabled features: each one is on unless the section sets it to #false."""
    features = frozenset(name for name in FEATURES if section.flag(name, True))
    section.finish()
    return features


def read(path: str) -> Operator:
    """Reads an operator file."""
    top = kdl.read(path)
    records_section, peers_section = top.section("records"), top.section("peers")
    hierarchy = top.text("tiers")
    settings = Operator(
        read_records(records_section) if records_section else None,
        read_peers(peers_section) if peers_section is not None else None,
        Path(path).parent / hierarchy if hierarchy else None,  # a relative path starts at this file's folder
    )
    top.finish()
    return settings
