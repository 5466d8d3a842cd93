"""Loads fault-injection scripts from KDL: the gateways and nodes, the faults, and the checks. No sockets.

`load(path)` returns a `Script`, or raises `settings.kdl.KdlError`. The format is described in
docs/together.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from damsonstream.peers.features import FEATURES
from damsonstream.settings import kdl
from damsonstream.standins.faults import KINDS as NODE_KINDS
from damsonstream.standins.faults import Fault
from damsonstream.together import links
from damsonstream.together.checks import CHECKS, Check

PROCESS_KINDS = ("stall", "kill")
CONTROL_KINDS = ("purge", "drain", "rate", "revise")
MIN_DURATION, MAX_DURATION = 3.0, 300.0  # seconds that a run may take


@dataclass(slots=True, frozen=True)
class Step:
    """An action of the script on a process, on the discovery list or on the load; times in seconds.

    `does` is the kind, `to` its targets; `amount` is the share of objects purged, or the factor of the rate.
    """

    at: float
    does: str
    to: tuple[str, ...]
    lasts: float
    amount: float = 1.0

    @property
    def end(self) -> float:
        return self.at + self.lasts


@dataclass(slots=True, frozen=True)
class Zone:
    """A zone: the gateways and caches of one shop, and parents (`hubs`) of its own.

    `prefers` lists the zones that take over its fills, in order, when its parents are lost.
    """

    name: str
    region: str
    gateways: tuple[str, ...]
    caches: int
    hubs: tuple[str, ...]
    prefers: tuple[str, ...]
    spill_share: float  # part of the parents' capacity that fills from other zones may use
    parent_capacity: float  # fills per second of each of its parents
    ramp: float  # seconds over which fills return to the zone after a loss


@dataclass(slots=True, frozen=True)
class Script:
    """A loaded script. The fields `nodes`, `links` and `steps` are its faults, `checks` its bounds."""

    name: str
    about: str
    feature: str  # the feature of the gateways that its checks demonstrate; may be empty
    lasts: float  # seconds
    rate: float  # GETs per second
    gateways: tuple[str, ...]
    weights: dict[str, float]  # relative number of viewers by gateway
    caches: int
    hubs: int
    warm_up: float  # seconds until a restarted cache is warm, as configured in the gateways
    # Gateway settings: the share of its capacity that a cold cache starts with, and its overload multiple.
    cold_start: tuple[float, float]
    slots: int  # GETs that a cache processes at once
    cache_bytes: int  # capacity of a cache in bytes
    zones: tuple[Zone, ...]  # empty: one shop and no hierarchy
    origin_cap: float  # fills per second that the origin may receive directly from caches; 0: unlimited
    nodes: tuple[Fault, ...]
    links: tuple[links.LinkFault, ...]
    steps: tuple[Step, ...]
    checks: tuple[Check, ...]

    def rate_at(self, at: float) -> float:
        """Returns the GETs per second that viewers send at that time."""
        factors = [s.amount for s in self.steps if s.does == "rate" and s.at <= at < s.end]
        return self.rate * (max(factors) if factors else 1.0)

    def max_rate(self) -> float:
        return max([self.rate_at(0.0), *(self.rate_at(step.at) for step in self.steps)])

    def fault_count(self) -> int:
        """Returns the number of faults; a change of the load is none."""
        return len(self.nodes) + len(self.links) + sum(step.does not in ("rate",) for step in self.steps)


def load(path: str) -> Script:
    document = kdl.read(path)
    lasts = document.duration("lasts", 12.0, MIN_DURATION)
    if lasts > MAX_DURATION:
        raise document.error(f"lasts longer than {MAX_DURATION:g} s", "lasts")
    feature = document.text("piece")
    if feature and feature not in FEATURES:
        raise document.error(f"{feature} is none of {', '.join(FEATURES)}", "piece")
    gateways = tuple(f"n{n + 1}" for n in range(int(document.number("gateways", 6, 1, 32))))
    caches, hubs = int(document.number("caches", 4, 1, 64)), int(document.number("hubs", 2, 1, 16))
    nodes = [f"cache-1-{n + 1}" for n in range(caches)] + [f"hub-{n + 1}" for n in range(hubs)] + ["vault"]
    zones = tuple(parse_zone(section, gateways, hubs) for section in document.sections("zone"))
    if zones:
        nodes = [f"cache-{s + 1}-{n + 1}" for s, one in enumerate(zones) for n in range(one.caches)]
        nodes += [f"hub-{n + 1}" for n in range(hubs)] + ["vault"]
        if sorted(n for one in zones for n in one.gateways) != sorted(gateways):
            raise document.error(f"the zones must name each of {', '.join(gateways)} once", "zone")
    weights = dict.fromkeys(gateways, 1.0)
    for section in document.sections("weight"):
        for name in parse_names(section, "gateway", list(gateways)):
            weights[name] = section.number("is", 1.0, 0, 1e4)
        section.finish()
    faults: list[Fault] = []
    link_faults: list[links.LinkFault] = []
    steps: list[Step] = []
    for section in document.sections("fault"):
        does, at = section.text("does"), section.duration("at", -1.0)
        if at < 0:
            raise section.error("lacks the field at")
        duration = section.duration("lasts", 0.0)
        if at + duration > lasts:
            raise section.error(
                f"ends at {at + duration:g} s, after the end of the run at {lasts:g} s", "lasts"
            )
        if does in links.KINDS:
            link_faults.append(parse_link_fault(section, does, at, duration, [*gateways, *nodes, "bulletin"]))
        elif does in NODE_KINDS:
            amount = section.number("amount", 1.0, 0, 1e6)
            faults += [Fault(name, does, at, duration, amount) for name in parse_names(section, "to", nodes)]
        elif does in (*PROCESS_KINDS, *CONTROL_KINDS):
            known = list(gateways) if does in PROCESS_KINDS else nodes
            to = () if does in ("purge", "rate", "revise") else parse_names(section, "to", known)
            steps.append(Step(at, does, to, duration, section.number("amount", 1.0, 0, 1e6)))
        else:
            kinds = ", ".join((*links.KINDS, *NODE_KINDS, *PROCESS_KINDS, *CONTROL_KINDS))
            raise section.error(f"{does or 'nothing'} is none of {kinds}", "does")
        section.finish()
    found = Script(
        Path(path).stem, document.text("about", Path(path).stem), feature, lasts,
        document.number("rate", 60, 1, 2000), gateways, weights, caches, hubs,
        document.duration("warm", 4.0),
        (document.number("starts-at", 0.3, 0, 1), document.number("falls-at", 4.0, 1, 100)),
        int(document.number("lanes", 24, 1, 1000)), document.size("memory", 6 << 20, 1 << 16), zones,
        document.number("vault-cap", 0, 0, 1e6), tuple(faults), tuple(link_faults),
        tuple(sorted(steps, key=lambda step: (step.at, step.does, step.to))),
        tuple(parse_check(section, lasts, [*nodes, *(one.name for one in zones)], gateways)
              for section in document.sections("check")),
    )  # fmt: skip
    document.finish()
    return found


def parse_zone(section: kdl.Section, gateways: tuple[str, ...], hubs: int) -> Zone:
    if len(section.args) != 1 or not isinstance(section.args[0], str) or not section.args[0]:
        raise section.error("takes the zone's name")
    parent_names = [f"hub-{n + 1}" for n in range(hubs)]
    found = Zone(
        section.args[0], section.text("region"), parse_names(section, "gateways", list(gateways)),
        int(section.number("caches", 2, 1, 16)), parse_names(section, "hubs", parent_names),
        tuple(name for text in section.texts("prefers") for name in text.split()),
        section.number("takes", 0.5, 0, 1), section.number("bears", 60, 0, 1e6),
        section.duration("ramp", 8.0, 1.0),
    )  # fmt: skip
    section.finish()
    return found


def parse_names(section: kdl.Section, field: str, known: list[str]) -> tuple[str, ...]:
    """Returns the names in a field, where a text may hold several names and `all` stands for all of them."""
    names = tuple(name for text in section.texts(field) for name in text.split())
    if names == ("all",):
        return tuple(known)
    for name in names:
        if name not in known:
            raise section.error(f"{name} is none of {', '.join(known)}", field)
    if not names:
        raise section.error(f"lacks the field {field}", field)
    return names


def parse_link_fault(
    section: kdl.Section, does: str, at: float, duration: float, node_names: list[str]
) -> links.LinkFault:
    amount = section.number("amount", 1.0, 0, 1e6)
    if does in links.SHARE_KINDS and amount > 1:
        raise section.error(f"{amount:g} is not a share from 0 to 1", "amount")
    if does in ("cut", "split", "break"):
        groups = [frozenset(one.split()) for one in section.texts("groups")]
        if not groups or (does == "split" and len(groups) < 2):
            raise section.error("names too few groups to separate", "groups")
    else:
        endpoints = [section.texts("from"), section.texts("to")]
        groups = [frozenset(name for text in texts for name in text.split()) for texts in endpoints]
        if does == "one-way" and not any(groups):
            raise section.error("names neither from nor to", "from")
    for name in frozenset().union(*groups):
        if name not in node_names:
            raise section.error(f"{name} is none of {', '.join(node_names)}", "groups")
    return links.LinkFault(does, at, duration, tuple(groups), amount)


def parse_check(section: kdl.Section, lasts: float, nodes: list[str], gateways: tuple[str, ...]) -> Check:
    name, of = section.text("name"), section.text("of")
    if name not in CHECKS:
        raise section.error(f"{name or 'nothing'} is none of {', '.join(CHECKS)}", "name")
    start, end = section.duration("from", 0.0), section.duration("until", lasts)
    if of and of not in (*nodes, *gateways):
        raise section.error(f"{of} is none of {', '.join((*nodes, *gateways))}", "of")
    minimum, maximum = section.number("least", -1.0, -1, 1e9), section.number("most", -1.0, -1, 1e9)
    if minimum < 0 and maximum < 0:
        raise section.error("needs least, most or both")
    section.finish()
    return Check(name, of, start, end, minimum if minimum >= 0 else None, maximum if maximum >= 0 else None)
