"""Looks for the script on which deciding in common does worst against alone, and shortens it. No I/O.

How it is called: `hunt(base, judge, budget, seed)`; `judge(script)` gives a figure, the lower the worse, and
is called `budget` times at most, the shortening included. Scripts are drawn at random within `base`'s fleet
and time; `text(script)` is one as KDL, for `together run` and experiments. All chance comes from the seed.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from damsonstream.standins.faults import Fault
from damsonstream.together.links import LinkFault
from damsonstream.together.script import Script, Step

MOST_FAULTS = 5  # of a script: what on-call people meet at once
FIRST, LAST = 2.0, 4.0  # seconds without a fault at a play's begin and end: the end shows who comes back
LONGEST = 8.0  # seconds of one
SHORTEN = 0.4  # part of the budget that is kept for shortening
KEEPS = 0.75  # of the figure: a shorter script that still has so much of it is the better one
NODES = {"fail": (0.2, 1.0), "slow": (50, 800), "hang": (0.2, 1.0), "shed": (0.2, 0.9), "crash": (1, 1)}
WAYS = {"drop": (0.1, 0.9), "delay": (50, 2000), "one-way": (1, 1), "split": (1, 1)}
STEPS = {"kill": (1, 1), "stall": (1, 1), "purge": (0.1, 1.0), "rate": (1.5, 4.0)}
Judge = Callable[[Script], float]


@dataclass(slots=True, frozen=True)
class Found:
    script: Script
    figure: float
    drawn: int  # scripts judged
    first: float  # its figure before it was made shorter


def draw(base: Script, chance: random.Random) -> Script:
    """A script of one to MOST_FAULTS faults."""
    nodes: list[Fault] = []
    links: list[LinkFault] = []
    steps: list[Step] = []
    hubs = [f"hub-{n + 1}" for n in range(base.hubs)]
    counts = [zone.caches for zone in base.zones] or [base.caches]
    caches = [f"cache-{shop}-{n + 1}" for shop, count in enumerate(counts, 1) for n in range(count)]
    latest = max(FIRST, base.lasts - LAST)
    for _ in range(chance.randint(1, MOST_FAULTS)):
        at = round(chance.uniform(FIRST, latest), 1)
        lasts = round(min(chance.uniform(0.5, LONGEST), base.lasts - LAST / 2 - at), 1)
        kind = chance.choice([*NODES, *WAYS, *STEPS])
        least, most = (NODES | WAYS | STEPS)[kind]
        amount = round(chance.uniform(least, most), 2)
        if kind in NODES:
            to = chance.choice(chance.choice((hubs, caches, ["vault"])))
            nodes.append(Fault(to, kind, at, lasts, amount))
        elif kind in WAYS:
            some = frozenset(chance.sample(base.gateways, chance.randint(1, max(1, len(base.gateways) // 2))))
            rest = frozenset(base.gateways) - some
            links.append(LinkFault(kind, at, lasts, (some, rest), amount))
        else:
            to_gateways = (chance.choice(base.gateways),) if kind in ("kill", "stall") else ()
            if not any(step.to == to_gateways != () for step in steps):  # one thing at a time to a process
                steps.append(Step(at, kind, to_gateways, 0.0 if kind == "purge" else lasts, amount))
    steps.sort(key=lambda step: (step.at, step.does, step.to))
    return replace(base, name="hunted", nodes=tuple(nodes), links=tuple(links), steps=tuple(steps), checks=())


def shorter(script: Script) -> list[Script]:
    """Each script with one fault less, then with one that lasts half as long."""
    less: list[Script] = []
    halves: list[Script] = []
    for name in ("nodes", "links", "steps"):
        faults = getattr(script, name)
        for n, fault in enumerate(faults):
            changes: dict[str, Any] = {name: faults[:n] + faults[n + 1 :]}
            less.append(replace(script, **changes))
            if fault.lasts >= 1.0:
                half = replace(fault, lasts=round(fault.lasts / 2, 1))
                changes[name] = (*faults[:n], half, *faults[n + 1 :])
                halves.append(replace(script, **changes))
    found = less + halves
    return [one for one in found if one.nodes or one.links or one.steps]


def hunt(base: Script, judge: Judge, budget: int, seed: int) -> Found:
    chance, judged = random.Random(seed), 0
    worst: Script | None = None
    figure = 0.0
    while judged < max(1, int(budget * (1 - SHORTEN))):
        drawn = draw(base, chance)
        judged += 1
        if (now := judge(drawn)) < figure or worst is None:
            worst, figure = drawn, now
    assert worst is not None
    first, again = figure, figure < 0  # nothing found: nothing to make shorter
    while again and judged < budget:
        again = False
        for one in shorter(worst):
            if judged >= budget:
                break
            judged += 1
            if (now := judge(one)) <= KEEPS * first:
                worst, figure, again = one, now, True
                break
    return Found(worst, figure, judged, first)


def text(script: Script) -> str:
    """The script as KDL, as far as a hunt draws it; zones stand in the base script."""
    lines = [f'about "{script.about}"', f'lasts "{script.lasts:g}s"', f"rate {script.rate:g}"]
    lines += [f"gateways {len(script.gateways)}", f"caches {script.caches}", f"hubs {script.hubs}"]
    when = 'at "{0.at:g}s"; lasts "{0.lasts:g}s"; amount {0.amount:g}'
    for fault in script.nodes:
        lines.append(f'fault {{ does "{fault.kind}"; to "{fault.node}"; at "{fault.start:g}s"; '
                     f'lasts "{fault.lasts:g}s"; amount {fault.amount:g}; }}')  # fmt: skip
    for way in script.links:
        both = [" ".join(sorted(group)) for group in way.groups]
        who = f'from "{both[0]}"; to "{both[1]}"'
        if way.kind == "split":
            who = f'groups "{both[0]}" "{both[1]}"'
        lines.append(f'fault {{ does "{way.kind}"; {who}; at "{way.start:g}s"; lasts "{way.lasts:g}s"; '
                     f"amount {way.amount:g}; }}")  # fmt: skip
    for step in script.steps:
        to = f'to "{" ".join(step.to)}"; ' if step.to else ""
        lines.append(f'fault {{ does "{step.does}"; {to}{when.format(step)}; }}')
    return "\n".join(lines) + "\n"
