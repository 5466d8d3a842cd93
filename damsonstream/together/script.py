"""What a play of several processes does, and what it has to show: read from KDL. No sockets.

How it is called: `load(path)` gives a `Script`, or raises `settings.kdl.Fault`. Forms: docs/together.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from damsonstream.peers.pieces import PIECES
from damsonstream.settings import kdl
from damsonstream.standins.faults import KINDS as NODE_KINDS
from damsonstream.standins.faults import Fault
from damsonstream.together import links
from damsonstream.together.checks import CHECKS, Check

PROCESS_KINDS = ("stall", "kill")
OWN = ("purge", "drain", "rate", "revise")
LEAST, MOST = 3.0, 300.0  # seconds of a play


@dataclass(slots=True, frozen=True)
class Step:
    """What happens to a process, the list or the load."""

    at: float
    does: str
    to: tuple[str, ...]
    lasts: float
    amount: float = 1.0

    @property
    def end(self) -> float:
        return self.at + self.lasts


@dataclass(slots=True, frozen=True)
class Place:
    """A zone of a play: the gateways and caches of one shop, and hubs of its own."""

    name: str
    region: str
    gateways: tuple[str, ...]
    caches: int
    hubs: tuple[str, ...]
    prefers: tuple[str, ...]
    takes: float
    bears: float  # fills a second that each of its hubs is told to bear
    ramp: float


@dataclass(slots=True, frozen=True)
class Script:
    name: str
    about: str
    piece: str  # what it proves; empty: nothing in particular
    lasts: float
    rate: float
    gateways: tuple[str, ...]
    weights: dict[str, float]  # of viewers, by gateway
    caches: int
    hubs: int
    warm: float  # seconds in which a cache that starts gets warm, as gateways are told
    cold: tuple[
        float, float
    ]  # told too: the part of its capacity that it starts with, and what pushes it over
    lanes: int  # GETs that a cache has under way at once
    memory: int  # bytes of a cache
    zones: tuple[Place, ...]  # none: one shop, and no hierarchy
    vault_cap: float
    nodes: tuple[Fault, ...]
    links: tuple[links.LinkFault, ...]
    steps: tuple[Step, ...]
    checks: tuple[Check, ...]

    def rate_at(self, at: float) -> float:
        """GETs a second that viewers bring then."""
        factors = [s.amount for s in self.steps if s.does == "rate" and s.at <= at < s.end]
        return self.rate * (max(factors) if factors else 1.0)

    def most_rate(self) -> float:
        return max([self.rate_at(0.0), *(self.rate_at(step.at) for step in self.steps)])

    def count(self) -> int:
        return len(self.nodes) + len(self.links) + sum(step.does not in ("rate",) for step in self.steps)


def load(path: str) -> Script:
    top = kdl.read(path)
    lasts = top.span("lasts", 12.0, LEAST)
    if lasts > MOST:
        raise top.fault(f"lasts longer than {MOST:g} s", "lasts")
    piece = top.text("piece")
    if piece and piece not in PIECES:
        raise top.fault(f"{piece} is none of {', '.join(PIECES)}", "piece")
    gateways = tuple(f"n{n + 1}" for n in range(int(top.number("gateways", 6, 1, 32))))
    caches, hubs = int(top.number("caches", 4, 1, 64)), int(top.number("hubs", 2, 1, 16))
    nodes = [f"cache-1-{n + 1}" for n in range(caches)] + [f"hub-{n + 1}" for n in range(hubs)] + ["vault"]
    places = tuple(zone(section, gateways, hubs) for section in top.all("zone"))
    if places:
        nodes = [f"cache-{s + 1}-{n + 1}" for s, one in enumerate(places) for n in range(one.caches)]
        nodes += [f"hub-{n + 1}" for n in range(hubs)] + ["vault"]
        if sorted(n for one in places for n in one.gateways) != sorted(gateways):
            raise top.fault(f"zones do not share out {', '.join(gateways)}", "zone")
    weights = dict.fromkeys(gateways, 1.0)
    for section in top.all("weight"):
        for name in named(section, "gateway", list(gateways)):
            weights[name] = section.number("is", 1.0, 0, 1e4)
        section.finish()
    faults: list[Fault] = []
    between: list[links.LinkFault] = []
    steps: list[Step] = []
    for section in top.all("fault"):
        does, at = section.text("does"), section.span("at", -1.0)
        if at < 0:
            raise section.fault("lacks the field at")
        long = section.span("lasts", 0.0)
        if at + long > lasts:
            raise section.fault(f"ends at {at + long:g} s, after the play's {lasts:g} s", "lasts")
        if does in links.KINDS:
            between.append(link(section, does, at, long, [*gateways, *nodes, "bulletin"]))
        elif does in NODE_KINDS:
            amount = section.number("amount", 1.0, 0, 1e6)
            faults += [Fault(name, does, at, long, amount) for name in named(section, "to", nodes)]
        elif does in (*PROCESS_KINDS, *OWN):
            known = list(gateways) if does in PROCESS_KINDS else nodes
            to = () if does in ("purge", "rate", "revise") else named(section, "to", known)
            steps.append(Step(at, does, to, long, section.number("amount", 1.0, 0, 1e6)))
        else:
            kinds = ", ".join((*links.KINDS, *NODE_KINDS, *PROCESS_KINDS, *OWN))
            raise section.fault(f"{does or 'nothing'} is none of {kinds}", "does")
        section.finish()
    found = Script(
        Path(path).stem, top.text("about", Path(path).stem), piece, lasts,
        top.number("rate", 60, 1, 2000), gateways, weights, caches, hubs,
        top.span("warm", 4.0), (top.number("starts-at", 0.3, 0, 1), top.number("falls-at", 4.0, 1, 100)),
        int(top.number("lanes", 24, 1, 1000)), top.size("memory", 6 << 20, 1 << 16), places,
        top.number("vault-cap", 0, 0, 1e6), tuple(faults), tuple(between),
        tuple(sorted(steps, key=lambda step: (step.at, step.does, step.to))),
        tuple(check(section, lasts, [*nodes, *(one.name for one in places)], gateways)
              for section in top.all("check")),
    )  # fmt: skip
    top.finish()
    return found


def zone(section: kdl.Section, gateways: tuple[str, ...], hubs: int) -> Place:
    if len(section.args) != 1 or not isinstance(section.args[0], str) or not section.args[0]:
        raise section.fault("takes the zone's name")
    known = [f"hub-{n + 1}" for n in range(hubs)]
    found = Place(
        section.args[0], section.text("region"), named(section, "gateways", list(gateways)),
        int(section.number("caches", 2, 1, 16)), named(section, "hubs", known),
        tuple(name for text in section.texts("prefers") for name in text.split()),
        section.number("takes", 0.5, 0, 1), section.number("bears", 60, 0, 1e6),
        section.span("ramp", 8.0, 1.0),
    )  # fmt: skip
    section.finish()
    return found


def named(section: kdl.Section, field: str, known: list[str]) -> tuple[str, ...]:
    """Names, each a text of its own or several in one; `all` are all."""
    names = tuple(name for text in section.texts(field) for name in text.split())
    if names == ("all",):
        return tuple(known)
    for name in names:
        if name not in known:
            raise section.fault(f"{name} is none of {', '.join(known)}", field)
    if not names:
        raise section.fault(f"lacks the field {field}", field)
    return names


def link(section: kdl.Section, does: str, at: float, long: float, known: list[str]) -> links.LinkFault:
    amount = section.number("amount", 1.0, 0, 1e6)
    if does in links.SHARES and amount > 1:
        raise section.fault(f"{amount:g} is not a share from 0 to 1", "amount")
    if does in ("cut", "split", "break"):
        groups = [frozenset(one.split()) for one in section.texts("groups")]
        if not groups or (does == "split" and len(groups) < 2):
            raise section.fault("names no groups that are kept apart", "groups")
    else:
        both = [section.texts("from"), section.texts("to")]
        groups = [frozenset(name for text in texts for name in text.split()) for texts in both]
        if does == "one-way" and not any(groups):
            raise section.fault("names neither from nor to", "from")
    for name in frozenset().union(*groups):
        if name not in known:
            raise section.fault(f"{name} is none of {', '.join(known)}", "groups")
    return links.LinkFault(does, at, long, tuple(groups), amount)


def check(section: kdl.Section, lasts: float, nodes: list[str], gateways: tuple[str, ...]) -> Check:
    name, of = section.text("name"), section.text("of")
    if name not in CHECKS:
        raise section.fault(f"{name or 'nothing'} is none of {', '.join(CHECKS)}", "name")
    start, end = section.span("from", 0.0), section.span("until", lasts)
    if of and of not in (*nodes, *gateways):
        raise section.fault(f"{of} is none of {', '.join((*nodes, *gateways))}", "of")
    least, most = section.number("least", -1.0, -1, 1e9), section.number("most", -1.0, -1, 1e9)
    if least < 0 and most < 0:
        raise section.fault("lacks both of least and most")
    section.finish()
    return Check(name, of, start, end, least if least >= 0 else None, most if most >= 0 else None)
