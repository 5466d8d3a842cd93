"""Evaluates all checks of one run of a script, with real processes or in virtual time. No I/O."""

from __future__ import annotations

import msgspec

from damsonstream.together.checks import Observations, Verdict, evaluate_check, violations_verdict
from damsonstream.together.script import Script


class Result(msgspec.Struct):
    """The result of a run, as `--json` writes it; `without` are the features that were switched off."""

    script: str
    verdict: str  # kept or broken
    gateways: int
    faults: int
    without: list[str]
    seconds: float
    checks: list[Verdict]


def evaluate(script: Script, without: frozenset[str], seen: Observations, seconds: float) -> Result:
    verdicts = [evaluate_check(check, seen) for check in script.checks] + [violations_verdict(seen)]
    kept = all(verdict.kept for verdict in verdicts)
    return Result(script.name, "kept" if kept else "broken", len(script.gateways), script.fault_count(),
                  sorted(without), round(seconds, 1), verdicts)  # fmt: skip
