"""Searches for the script under which cooperating gateways do worst against gateways that decide alone.

The script that it finds is shortened. No I/O.

Usage: `hunt(base, evaluate, budget, seed)`. `evaluate(script)` returns a score, lower for a worse script, and
is called at most `budget` times, including the shortening. Scripts are drawn at random for the fleet and the
duration of `base`; `to_kdl(script)` writes one as KDL, for `together run` and experiments. All randomness
comes from the seed.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from damsonstream.standins.faults import Fault
from damsonstream.together.links import LinkFault
from damsonstream.together.script import Script, Step

MAX_FAULTS = 5  # of a script: as many as operators may meet at the same time
# Seconds without a fault at the start and at the end of a script; the end shows whether the fleet recovers.
QUIET_START, QUIET_END = 2.0, 4.0
MAX_FAULT_DURATION = 8.0  # seconds
SHORTENING_SHARE = 0.4  # of the budget, reserved for shortening the worst script
KEPT_SCORE = 0.75  # share of the first score that a shorter script must still reach to replace the longer one
# Ranges of the amounts: milliseconds for slow and delay, a factor for rate, else a share; (1, 1): no amount.
NODE_FAULTS = {"fail": (0.2, 1.0), "slow": (50, 800), "hang": (0.2, 1.0), "shed": (0.2, 0.9), "crash": (1, 1)}
LINK_FAULTS = {"drop": (0.1, 0.9), "delay": (50, 2000), "one-way": (1, 1), "split": (1, 1)}
STEPS = {"kill": (1, 1), "stall": (1, 1), "purge": (0.1, 1.0), "rate": (1.5, 4.0)}
Evaluate = Callable[[Script], float]


@dataclass(slots=True, frozen=True)
class HuntResult:
    """The worst script of a search, after its shortening."""

    script: Script
    score: float  # score
    evaluated: int  # scripts evaluated
    first_score: float  # score before the shortening


def draw_script(base: Script, rng: random.Random) -> Script:
    """Returns a random script of one to MAX_FAULTS faults."""
    nodes: list[Fault] = []
    links: list[LinkFault] = []
    steps: list[Step] = []
    parents = [f"hub-{n + 1}" for n in range(base.hubs)]
    cache_counts = [zone.caches for zone in base.zones] or [base.caches]
    caches = [f"cache-{shop}-{n + 1}" for shop, count in enumerate(cache_counts, 1) for n in range(count)]
    latest_start = max(QUIET_START, base.lasts - QUIET_END)
    for _ in range(rng.randint(1, MAX_FAULTS)):
        at = round(rng.uniform(QUIET_START, latest_start), 1)
        lasts = round(min(rng.uniform(0.5, MAX_FAULT_DURATION), base.lasts - QUIET_END / 2 - at), 1)
        kind = rng.choice([*NODE_FAULTS, *LINK_FAULTS, *STEPS])
        least, most = (NODE_FAULTS | LINK_FAULTS | STEPS)[kind]
        amount = round(rng.uniform(least, most), 2)
        if kind in NODE_FAULTS:
            to = rng.choice(rng.choice((parents, caches, ["vault"])))
            nodes.append(Fault(to, kind, at, lasts, amount))
        elif kind in LINK_FAULTS:
            some = frozenset(rng.sample(base.gateways, rng.randint(1, max(1, len(base.gateways) // 2))))
            rest = frozenset(base.gateways) - some
            links.append(LinkFault(kind, at, lasts, (some, rest), amount))
        else:
            to_gateways = (rng.choice(base.gateways),) if kind in ("kill", "stall") else ()
            # at most one kill or stall of each gateway
            if not any(step.to == to_gateways != () for step in steps):
                steps.append(Step(at, kind, to_gateways, 0.0 if kind == "purge" else lasts, amount))
    steps.sort(key=lambda step: (step.at, step.does, step.to))
    return replace(base, name="hunted", nodes=tuple(nodes), links=tuple(links), steps=tuple(steps), checks=())


def shorter_scripts(script: Script) -> list[Script]:
    """Returns the scripts with one fault less, then those in which one fault lasts half as long."""
    without_one: list[Script] = []
    with_half: list[Script] = []
    for name in ("nodes", "links", "steps"):
        faults = getattr(script, name)
        for n, fault in enumerate(faults):
            changes: dict[str, Any] = {name: faults[:n] + faults[n + 1 :]}
            without_one.append(replace(script, **changes))
            if fault.lasts >= 1.0:
                half = replace(fault, lasts=round(fault.lasts / 2, 1))
                changes[name] = (*faults[:n], half, *faults[n + 1 :])
                with_half.append(replace(script, **changes))
    candidates = without_one + with_half
    return [one for one in candidates if one.nodes or one.links or one.steps]


def hunt(base: Script, evaluate: Evaluate, budget: int, seed: int) -> HuntResult:
    """Draws scripts with one part of the budget and shortens the worst with the rest."""
    rng, evaluated = random.Random(seed), 0
    worst: Script | None = None
    worst_score = 0.0
    while evaluated < max(1, int(budget * (1 - SHORTENING_SHARE))):
        drawn = draw_script(base, rng)
        evaluated += 1
        if (score := evaluate(drawn)) < worst_score or worst is None:
            worst, worst_score = drawn, score
    assert worst is not None
    first_score, improved = worst_score, worst_score < 0  # nothing to shorten unless a script does harm
    while improved and evaluated < budget:
        improved = False
        for candidate in shorter_scripts(worst):
            if evaluated >= budget:
                break
            evaluated += 1
            if (score := evaluate(candidate)) <= KEPT_SCORE * first_score:
                worst, worst_score, improved = candidate, score, True
                break
    return HuntResult(worst, worst_score, evaluated, first_score)


def to_kdl(script: Script) -> str:
    """Returns a drawn script as KDL. Zones are left out: the base script defines them."""
    lines = [f'about "{script.about}"', f'lasts "{script.lasts:g}s"', f"rate {script.rate:g}"]
    lines += [f"gateways {len(script.gateways)}", f"caches {script.caches}", f"hubs {script.hubs}"]
    timing = 'at "{0.at:g}s"; lasts "{0.lasts:g}s"; amount {0.amount:g}'
    for fault in script.nodes:
        lines.append(f'fault {{ does "{fault.kind}"; to "{fault.node}"; at "{fault.start:g}s"; '
                     f'lasts "{fault.lasts:g}s"; amount {fault.amount:g}; }}')  # fmt: skip
    for link in script.links:
        groups = [" ".join(sorted(group)) for group in link.groups]
        ends = f'from "{groups[0]}"; to "{groups[1]}"'
        if link.kind == "split":
            ends = f'groups "{groups[0]}" "{groups[1]}"'
        lines.append(f'fault {{ does "{link.kind}"; {ends}; at "{link.start:g}s"; lasts "{link.lasts:g}s"; '
                     f"amount {link.amount:g}; }}")  # fmt: skip
    for step in script.steps:
        to = f'to "{" ".join(step.to)}"; ' if step.to else ""
        lines.append(f'fault {{ does "{step.does}"; {to}{timing.format(step)}; }}')
    return "\n".join(lines) + "\n"
