"""Compares the report and the records with the ground truth of a demo run. No I/O.

`check(report, recorded, truth)` returns one sentence for each difference, and none if the report is right.
`report` is its JSON form, `recorded` what the records contain about each GET by its id, and `truth` has the
executed steps and the outcome of every GET as its viewer observed it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from damsonstream.demo.runner import ExecutedStep, Truth

PHASE_TOLERANCE = 1.0  # seconds by which the start or end of a phase may differ
# Seconds before a kill in which records may be lost: the interval between writes, plus the delay of a busy
# machine.
MAX_UNWRITTEN_AGE = 0.5
# The kinds of phases as which the report must show a step.
EXPECTED_PHASES = {
    "purge": ("purge",),
    "drain": ("drain",), "slow": ("slow-source",), "kill": ("restart",), "crash": ("failing", "open"),
    "hang": ("failing", "open", "slow-source"), "fail": ("failing",), "shed": ("failing", "open"),
}  # fmt: skip
# The steps whose end is checked as well; that of others is hidden by an open breaker.
CHECKED_ENDS = ("slow", "kill", "drain")


@dataclass(slots=True)
class Recorded:
    """What the records contain about one GET."""

    gateway: str
    answers: list[str]  # outcomes
    verdict: str


def check(report: dict[str, Any], recorded: Mapping[str, Recorded], truth: Truth) -> list[str]:
    differences = [
        *check_gets(recorded, truth),
        *check_phases(report, truth),
        *check_gaps(report, truth),
        *check_rules(report),
    ]
    for name, what in (("stand-ins saw", truth.faults), ("tokens ran twice", truth.doubles)):
        if what:
            differences.append(f"{name}: {len(what)}, the first: {what[0]}")
    for name, code in truth.codes.items():
        if code != 0:
            differences.append(f"gateway {name} ended with {code}")
    return differences


def check_gets(recorded: Mapping[str, Recorded], truth: Truth) -> list[str]:
    """Checks that the records hold each viewer's GET with the outcome that it observed, and no other GET."""
    differences: list[str] = []
    sent = {get.ident: get for get in truth.tries}
    kills: dict[str, list[float]] = {}
    for gateway, at in truth.kills:
        kills.setdefault(gateway, []).append(at - truth.start)
    for ident in recorded.keys() - sent.keys():
        differences.append(f"GET {ident} is recorded, and no viewer sent it")
    for ident, get in sent.items():
        entry = recorded.get(ident)
        ended = get.sent + get.duration
        maybe_unwritten = any(
            at - MAX_UNWRITTEN_AGE <= ended and get.sent <= at for at in kills.get(get.gateway, ())
        )
        if get.outcome in ("returned", "shed", "errored"):
            if entry is None or not entry.answers:
                if not maybe_unwritten:
                    differences.append(
                        f"GET {ident} was {get.outcome} by {get.gateway}, and no answer is recorded"
                    )
            elif entry.answers != [get.outcome] or entry.gateway != get.gateway:
                what = f"{entry.answers} by {entry.gateway}"
                differences.append(
                    f"GET {ident} was {get.outcome} by {get.gateway}, and is recorded as {what}"
                )
        elif get.outcome == "late" and entry is None and not maybe_unwritten:
            differences.append(f"GET {ident} was sent to {get.gateway}, and is not recorded")
        if get.outcome == "late" and entry is not None and entry.verdict == "none":
            differences.append(f"GET {ident} never had an answer")
        if get.answers > 1:
            differences.append(f"GET {ident} had {get.answers} answers")
    shown = differences[:20]
    return shown + ([f"and {len(differences) - 20} GETs more"] if len(differences) > 20 else [])


def phase_subject(executed: ExecutedStep, truth: Truth) -> str:
    step = executed.step
    return f"gateway {step.to}" if step.does == "kill" else truth.uids.get(step.to, "")


def is_unused(executed: ExecutedStep, truth: Truth) -> bool:
    """Returns whether the node was drained when the step began, so that its failure need not be noticed."""
    step = executed.step
    return step.does != "drain" and any(
        other.step.does == "drain" and other.step.to == step.to and other.start <= executed.start <= other.end
        for other in truth.steps
    )


def check_phases(report: dict[str, Any], truth: Truth) -> list[str]:
    differences = []
    for executed in truth.steps:
        step = executed.step
        kinds = EXPECTED_PHASES.get(step.does)
        if kinds is None or is_unused(executed, truth):
            continue
        expected = phase_subject(executed, truth)
        matching = [
            p for p in report["phases"] if p["kind"] in kinds and (not expected or expected in p["subject"])
        ]
        what = f"{step.does} {step.to}".strip()
        if not matching:
            differences.append(f"{what} at {step.at:.1f} s is shown by no phase")
            continue
        nearest = min(matching, key=lambda p: abs(p["start"] - executed.start))
        limit = PHASE_TOLERANCE if step.does in ("purge", "slow", "kill", "drain") else 3 * PHASE_TOLERANCE
        start_error = nearest["start"] - executed.start
        if abs(start_error) > limit:
            differences.append(f"{what} began at {step.at:.1f} s, its phase {abs(start_error):.2f} s "
                         f"{'later' if start_error > 0 else 'earlier'}")  # fmt: skip
        end_error = nearest["end"] - executed.end
        if step.does in CHECKED_ENDS and abs(end_error) > PHASE_TOLERANCE:
            differences.append(f"{what} ended at {step.end:.1f} s, its phase {abs(end_error):.2f} s "
                         f"{'later' if end_error > 0 else 'earlier'}")  # fmt: skip
    return differences


def check_gaps(report: dict[str, Any], truth: Truth) -> list[str]:
    """Checks that no records are missing but the last ones of a killed incarnation."""
    differences = []
    killed = {gateway for gateway, _ in truth.kills}
    for problem in report["problems"]:
        if problem["kind"] == "torn" and problem["gateway"] in killed:
            continue
        differences.append(f"records of {problem['gateway']}, boot {problem['boot']}: {problem['kind']} "
                     f"({problem['records']})")  # fmt: skip
    for gateway, _ in truth.kills:
        if not any(p["kind"] == "restart" and p["subject"] == f"gateway {gateway}" for p in report["phases"]):
            differences.append(f"gateway {gateway} was killed, and the gap is not shown")
    return differences


def check_rules(report: dict[str, Any]) -> list[str]:
    differences = []
    if not report["accounting"]["complete"]:
        differences.append(f"not every GET is accounted for: {report['accounting']['verdicts']}")
    for rule in report["rules"]:
        if rule["verdict"] == "broken":
            differences.append(f"rule {rule['rule']}, {rule['name']}, is broken {rule['broken']} times: "
                         f"{rule['examples'][:1]}")  # fmt: skip
    return differences
