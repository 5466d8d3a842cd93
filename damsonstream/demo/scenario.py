"""Loads the demo's scenarios from KDL. No sockets.

`load(name)` reads a shipped scenario or a file of the user's, and raises `settings.kdl.KdlError` for a
malformed one. `scaled(scenario, seconds)` compresses or stretches a scenario to another duration.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from damsonstream.settings import kdl
from damsonstream.standins.faults import KINDS, Fault

CONTROL_KINDS = ("purge", "drain", "kill", "rate")  # actions other than faults of nodes
MIN_DURATION, MAX_DURATION = 4.0, 600.0  # seconds that a run may take


@dataclass(slots=True, frozen=True)
class Step:
    """One action of a scenario; times in seconds.

    `amount` is that of standins.faults.Fault; for a purge the share of groups, for a rate the factor.
    """

    at: float
    does: str
    to: str = ""
    lasts: float = 0.0
    amount: float = 1.0

    @property
    def end(self) -> float:
        return self.at + self.lasts


@dataclass(slots=True, frozen=True)
class ClockSkew:
    """A wrong clock for a gateway's records: `shift` seconds ahead, gaining `drift` seconds per second."""

    gateway: str
    shift: float
    drift: float = 0.0


@dataclass(slots=True, frozen=True)
class Scenario:
    """A loaded scenario."""

    name: str
    about: str
    lasts: float  # seconds
    rate: float  # GETs per second over all gateways
    gateways: int
    caches: int
    hubs: int
    steps: tuple[Step, ...]
    clocks: tuple[ClockSkew, ...]

    def node_faults(self) -> list[Fault]:
        """Returns the steps that are faults of nodes, which the stand-ins execute themselves."""
        return [
            Fault(step.to, step.does, step.at, step.lasts, step.amount)
            for step in self.steps
            if step.does in KINDS
        ]


def shipped_names() -> list[str]:
    """Returns the names of the shipped scenarios."""
    return kdl.shipped("damsonstream.demo", "scenarios")


def load(name: str) -> Scenario:
    return parse_scenario(*kdl.find(name, "damsonstream.demo", "scenarios"))


def parse_scenario(name: str, document: kdl.Section) -> Scenario:
    about = document.text("about", name)
    lasts = document.duration("lasts", 12.0, MIN_DURATION)
    if lasts > MAX_DURATION:
        raise document.error(f"lasts longer than {MAX_DURATION:g} s", "lasts")
    rate = document.number("rate", 120, 1, 2000)
    gateways = int(document.number("gateways", 3, 1, 32))
    caches, hubs = int(document.number("caches", 3, 1, 64)), int(document.number("hubs", 2, 1, 16))
    clocks = []
    for section in document.sections("clock"):
        gateway = section.text("gateway")
        if gateway not in [f"n{n + 1}" for n in range(gateways)]:
            raise section.error(
                f"{gateway or 'nothing'} is none of the gateways n1 to n{gateways}", "gateway"
            )
        skew = ClockSkew(
            gateway, section.number("shift", 0, -1e5, 1e5), section.number("drift", 0, -0.01, 0.01)
        )
        clocks.append(skew)
        section.finish()
    nodes = [f"cache-1-{n + 1}" for n in range(caches)] + [f"hub-{n + 1}" for n in range(hubs)] + ["vault"]
    steps = [parse_step(section, lasts, nodes, gateways) for section in document.sections("step")]
    document.finish()
    order = sorted(steps, key=lambda one: (one.at, one.does, one.to))
    return Scenario(name, about, lasts, rate, gateways, caches, hubs, tuple(order), tuple(clocks))


def parse_step(section: kdl.Section, lasts: float, nodes: list[str], gateways: int) -> Step:
    at, does = section.duration("at", -1.0), section.text("does")
    if at < 0:
        raise section.error("lacks the field at")
    if does not in (*KINDS, *CONTROL_KINDS):
        raise section.error(f"{does or 'nothing'} is none of {', '.join((*KINDS, *CONTROL_KINDS))}", "does")
    to = section.text("to")
    valid_targets = [f"n{n + 1}" for n in range(gateways)] if does == "kill" else nodes
    if does in (*KINDS, "drain", "kill") and to not in valid_targets:
        raise section.error(f"{to or 'nothing'} is none of {', '.join(valid_targets)}", "to")
    duration = section.duration("lasts", 0.0)
    if does not in ("purge", "reset") and not duration:
        raise section.error("lacks a duration", "lasts")
    if at + duration > lasts:
        raise section.error(f"ends at {at + duration:g} s, after the end of the run at {lasts:g} s", "lasts")
    amount = section.number("amount", 1.0, 0, 1e6)
    if does in ("fail", "shed", "hang", "purge") and amount > 1:
        raise section.error(f"{amount:g} is not a share from 0 to 1", "amount")
    section.finish()
    return Step(at, does, to, duration, amount)


def scaled(scenario: Scenario, seconds: float) -> Scenario:
    """Returns the scenario with all times scaled to another duration."""
    factor = seconds / scenario.lasts
    steps = tuple(replace(step, at=step.at * factor, lasts=step.lasts * factor) for step in scenario.steps)
    return replace(scenario, lasts=seconds, steps=steps)
