"""What a play of the demo does, and when: read from KDL. No sockets.

How it is called: `load(name)` reads one of the shipped scenarios or a file of the user's own; both raise
`settings.kdl.Fault`. `scaled(scenario, seconds)` squeezes or stretches a scenario's script.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from damsonstream.settings import kdl
from damsonstream.standins.faults import KINDS, Fault

OWN = ("purge", "drain", "kill", "rate")  # what a script does besides faults of nodes
LEAST, MOST = 4.0, 600.0  # seconds of a play


@dataclass(slots=True, frozen=True)
class Step:
    """`amount`: as standins.faults has it; of a purge the share of the groups, of a rate the factor."""

    at: float
    does: str
    to: str = ""
    lasts: float = 0.0
    amount: float = 1.0

    @property
    def end(self) -> float:
        return self.at + self.lasts


@dataclass(slots=True, frozen=True)
class ClockOff:
    """A gateway whose records bear wrong times: `shift` seconds off, gaining `drift` seconds a second."""

    gateway: str
    shift: float
    drift: float = 0.0


@dataclass(slots=True, frozen=True)
class Scenario:
    name: str
    about: str
    lasts: float
    rate: float  # GETs a second, for all gateways
    gateways: int
    caches: int
    hubs: int
    steps: tuple[Step, ...]
    clocks: tuple[ClockOff, ...]

    def faults(self) -> list[Fault]:
        """Those of stand-ins, which play them themselves."""
        return [
            Fault(step.to, step.does, step.at, step.lasts, step.amount)
            for step in self.steps
            if step.does in KINDS
        ]


def shipped() -> list[str]:
    return kdl.shipped("damsonstream.demo", "scenarios")


def load(name: str) -> Scenario:
    return scenario(*kdl.find(name, "damsonstream.demo", "scenarios"))


def scenario(name: str, top: kdl.Section) -> Scenario:
    about = top.text("about", name)
    lasts = top.span("lasts", 12.0, LEAST)
    if lasts > MOST:
        raise top.fault(f"lasts longer than {MOST:g} s", "lasts")
    rate = top.number("rate", 120, 1, 2000)
    gateways = int(top.number("gateways", 3, 1, 32))
    caches, hubs = int(top.number("caches", 3, 1, 64)), int(top.number("hubs", 2, 1, 16))
    clocks = []
    for section in top.all("clock"):
        gateway = section.text("gateway")
        if gateway not in [f"n{n + 1}" for n in range(gateways)]:
            raise section.fault(
                f"{gateway or 'nothing'} is none of the gateways n1 to n{gateways}", "gateway"
            )
        off = ClockOff(
            gateway, section.number("shift", 0, -1e5, 1e5), section.number("drift", 0, -0.01, 0.01)
        )
        clocks.append(off)
        section.finish()
    nodes = [f"cache-1-{n + 1}" for n in range(caches)] + [f"hub-{n + 1}" for n in range(hubs)] + ["vault"]
    steps = [step(section, lasts, nodes, gateways) for section in top.all("step")]
    top.finish()
    order = sorted(steps, key=lambda one: (one.at, one.does, one.to))
    return Scenario(name, about, lasts, rate, gateways, caches, hubs, tuple(order), tuple(clocks))


def step(section: kdl.Section, lasts: float, nodes: list[str], gateways: int) -> Step:
    at, does = section.span("at", -1.0), section.text("does")
    if at < 0:
        raise section.fault("lacks the field at")
    if does not in (*KINDS, *OWN):
        raise section.fault(f"{does or 'nothing'} is none of {', '.join((*KINDS, *OWN))}", "does")
    to = section.text("to")
    known = [f"n{n + 1}" for n in range(gateways)] if does == "kill" else nodes
    if does in (*KINDS, "drain", "kill") and to not in known:
        raise section.fault(f"{to or 'nothing'} is none of {', '.join(known)}", "to")
    long = section.span("lasts", 0.0)
    if does not in ("purge", "reset") and not long:
        raise section.fault("lacks a time that it lasts", "lasts")
    if at + long > lasts:
        raise section.fault(f"ends at {at + long:g} s, after the play's {lasts:g} s", "lasts")
    amount = section.number("amount", 1.0, 0, 1e6)
    if does in ("fail", "shed", "hang", "purge") and amount > 1:
        raise section.fault(f"{amount:g} is not a share from 0 to 1", "amount")
    section.finish()
    return Step(at, does, to, long, amount)


def scaled(scenario: Scenario, seconds: float) -> Scenario:
    """The same script over another time."""
    factor = seconds / scenario.lasts
    steps = tuple(replace(one, at=one.at * factor, lasts=one.lasts * factor) for one in scenario.steps)
    return replace(scenario, lasts=seconds, steps=steps)
