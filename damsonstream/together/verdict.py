"""The verdict on a play, of processes or in virtual time. No I/O.

How it is called: `result(script, without, seen, seconds)`.
"""

from __future__ import annotations

import msgspec

from damsonstream.together.checks import Seen, Verdict, always, judge
from damsonstream.together.script import Script


class Result(msgspec.Struct):
    """What `--json` holds."""

    script: str
    verdict: str  # kept or broken
    gateways: int
    faults: int
    without: list[str]
    seconds: float
    checks: list[Verdict]


def result(script: Script, without: frozenset[str], seen: Seen, seconds: float) -> Result:
    verdicts = [judge(check, seen) for check in script.checks] + [always(seen)]
    kept = all(verdict.kept for verdict in verdicts)
    return Result(script.name, "kept" if kept else "broken", len(script.gateways), script.count(),
                  sorted(without), round(seconds, 1), verdicts)  # fmt: skip
