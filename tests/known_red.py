"""Known failures, read from KNOWN-RED.txt.

A broken bound of a play or test is passed over only if the file lists that play or test with that bound, word
for word; what was seen is printed. Every other broken bound fails the test.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from dataclasses import dataclass, fields
from pathlib import Path

KNOWN_RED = Path("KNOWN-RED.txt")


@dataclass(frozen=True)
class KnownRed:
    """One case of KNOWN-RED.txt."""

    play: str  # name of a script in examples/together, or a test (module.Class.method)
    bound: str  # of a script as `together run` prints it, for instance "returned all 0 to 48 s (least 0.75)"
    command: str
    seed: str
    seen: str
    issue: str


@dataclass(frozen=True)
class BrokenBound:
    """A check of a play or test that did not hold."""

    play: str
    bound: str
    seen: float


def parse(text: str) -> list[KnownRed]:
    """Cases stand in paragraphs of `key: value` lines; a line that begins with white space continues the one
    before, and `#` begins a comment line. Raises ValueError for a case with missing or unknown keys."""
    wanted = [field.name for field in fields(KnownRed)]
    cases = []
    for paragraph in text.split("\n\n"):
        values: dict[str, str] = {}
        key = ""
        for line in paragraph.splitlines():
            if line.startswith("#") or not line.strip():
                continue
            if line[0].isspace():
                values[key] += " " + line.strip()
                continue
            key, _, value = line.partition(":")
            values[key] = value.strip()
        if not values:
            continue
        if list(values) != wanted or not all(values.values()):
            raise ValueError(f"{KNOWN_RED}: a case needs {', '.join(wanted)}; it has {', '.join(values)}")
        cases.append(KnownRed(**values))
    return cases


def load() -> list[KnownRed]:
    return parse(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []


def recorded(broken: BrokenBound, cases: Iterable[KnownRed]) -> KnownRed | None:
    """The case that lists this bound of this play, if there is one."""
    for case in cases:
        if (case.play, case.bound) == (broken.play, broken.bound):
            return case
    return None


def unexpected(broken: list[BrokenBound], cases: list[KnownRed]) -> list[BrokenBound]:
    """Returns the broken bounds that the cases do not list."""
    return [one for one in broken if recorded(one, cases) is None]


def passed_over(broken: list[BrokenBound]) -> bool:
    """Returns whether there are broken bounds and the file lists them all; if so, prints each as seen now."""
    cases = load()
    if not broken or unexpected(broken, cases):
        return False
    for one in broken:
        if case := recorded(one, cases):
            print(f"KNOWN-RED {one.play}: {one.bound}: seen {one.seen:g}; recorded: {case.seen}; "
                  f"open issue: {case.issue}; {case.command}", file=sys.stderr)  # fmt: skip
    return True
