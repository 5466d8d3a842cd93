"""Compares what the records tell with what truly happened in a play. No I/O.

How it is called: `check(told, answers, truth)` returns sentences, one for each difference; none means that
the report is right. `told` is the report's own JSON form, `answers` what the records say of each GET by its
id. It knows the script, and the viewers' side of every GET; it does not read a record itself.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from damsonstream.demo.play import Happened, Truth

NEAR = 1.0  # seconds that a phase may be off
# Records that are handed to the system this late at most may be lost with a kill: the keeper's time between
# writes, and a busy machine.
TORN = 0.5
# What a step of the script must show up as.
SHOWN = {
    "purge": ("purge",),
    "drain": ("drain",), "slow": ("slow-source",), "kill": ("restart",), "crash": ("failing", "open"),
    "hang": ("failing", "open", "slow-source"), "fail": ("failing",), "shed": ("failing", "open"),
}  # fmt: skip
ENDS = ("slow", "kill", "drain")  # whose end must be told as well: others end unseen behind an Open breaker


@dataclass(slots=True)
class Recorded:
    """What the records say of one GET."""

    gateway: str
    answers: list[str]  # outcomes
    verdict: str


def check(told: dict[str, Any], recorded: Mapping[str, Recorded], truth: Truth) -> list[str]:
    differences = [*gets(recorded, truth), *phases(told, truth), *gaps(told, truth), *kept(told)]
    for name, what in (("stand-ins saw", truth.faults), ("tokens ran twice", truth.doubles)):
        if what:
            differences.append(f"{name}: {len(what)}, the first: {what[0]}")
    for name, code in truth.codes.items():
        if code != 0:
            differences.append(f"gateway {name} ended with {code}")
    return differences


def gets(recorded: Mapping[str, Recorded], truth: Truth) -> list[str]:
    """Each GET of a viewer stands in the records with the outcome that the viewer saw, and no other GET
    does."""
    wrong: list[str] = []
    sent = {one.ident: one for one in truth.tries}
    kills: dict[str, list[float]] = {}
    for gateway, at in truth.kills:
        kills.setdefault(gateway, []).append(at - truth.began)
    for ident in recorded.keys() - sent.keys():
        wrong.append(f"GET {ident} is recorded, and no viewer sent it")
    for ident, one in sent.items():
        seen = recorded.get(ident)
        ended = one.sent + one.took
        torn = any(at - TORN <= ended and one.sent <= at for at in kills.get(one.gateway, ()))
        if one.outcome in ("returned", "shed", "errored"):
            if seen is None or not seen.answers:
                if not torn:
                    wrong.append(f"GET {ident} was {one.outcome} by {one.gateway}, and no answer is recorded")
            elif seen.answers != [one.outcome] or seen.gateway != one.gateway:
                what = f"{seen.answers} by {seen.gateway}"
                wrong.append(f"GET {ident} was {one.outcome} by {one.gateway}, and is recorded as {what}")
        elif one.outcome == "late" and seen is None and not torn:
            wrong.append(f"GET {ident} was sent to {one.gateway}, and is not recorded")
        if one.outcome == "late" and seen is not None and seen.verdict == "none":
            wrong.append(f"GET {ident} never had an answer")
        if one.answers > 1:
            wrong.append(f"GET {ident} had {one.answers} answers")
    shown = wrong[:20]
    return shown + ([f"and {len(wrong) - 20} GETs more"] if len(wrong) > 20 else [])


def subject(happened: Happened, truth: Truth) -> str:
    step = happened.step
    return f"gateway {step.to}" if step.does == "kill" else truth.uids.get(step.to, "")


def unasked(happened: Happened, truth: Truth) -> bool:
    """Whether nobody had to do with a node any more: one that is drained may fail unseen."""
    step = happened.step
    return step.does != "drain" and any(
        other.step.does == "drain" and other.step.to == step.to and other.start <= happened.start <= other.end
        for other in truth.steps
    )


def phases(told: dict[str, Any], truth: Truth) -> list[str]:
    wrong = []
    for happened in truth.steps:
        step = happened.step
        kinds = SHOWN.get(step.does)
        if kinds is None or unasked(happened, truth):
            continue
        about = subject(happened, truth)
        mine = [p for p in told["phases"] if p["kind"] in kinds and (not about or about in p["subject"])]
        what = f"{step.does} {step.to}".strip()
        if not mine:
            wrong.append(f"{what} at {step.at:.1f} s is shown by no phase")
            continue
        best = min(mine, key=lambda p: abs(p["start"] - happened.start))
        limit = NEAR if step.does in ("purge", "slow", "kill", "drain") else 3 * NEAR
        off = best["start"] - happened.start
        if abs(off) > limit:
            wrong.append(f"{what} began at {step.at:.1f} s, its phase {abs(off):.2f} s "
                         f"{'later' if off > 0 else 'earlier'}")  # fmt: skip
        ends = best["end"] - happened.end
        if step.does in ENDS and abs(ends) > NEAR:
            wrong.append(f"{what} ended at {step.end:.1f} s, its phase {abs(ends):.2f} s "
                         f"{'later' if ends > 0 else 'earlier'}")  # fmt: skip
    return wrong


def gaps(told: dict[str, Any], truth: Truth) -> list[str]:
    """Nothing is missing but the end of a boot that was killed."""
    wrong = []
    killed = {gateway for gateway, _ in truth.kills}
    for problem in told["problems"]:
        if problem["kind"] == "torn" and problem["gateway"] in killed:
            continue
        wrong.append(f"records of {problem['gateway']}, boot {problem['boot']}: {problem['kind']} "
                     f"({problem['records']})")  # fmt: skip
    for gateway, _ in truth.kills:
        if not any(p["kind"] == "restart" and p["subject"] == f"gateway {gateway}" for p in told["phases"]):
            wrong.append(f"gateway {gateway} was killed, and the gap is not shown")
    return wrong


def kept(told: dict[str, Any]) -> list[str]:
    wrong = []
    if not told["accounting"]["complete"]:
        wrong.append(f"not every GET is accounted for: {told['accounting']['verdicts']}")
    for rule in told["rules"]:
        if rule["verdict"] == "broken":
            wrong.append(f"rule {rule['rule']}, {rule['name']}, is broken {rule['broken']} times: "
                         f"{rule['examples'][:1]}")  # fmt: skip
    return wrong
