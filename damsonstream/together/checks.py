"""What a play of several processes has shown, against its bounds. No I/O.

How it is called: `judge(check, seen)` gives a `Verdict`. All is taken from what stand-ins, relays and
viewers wrote down, none from what a gateway says of itself. Bounds hold on a busy machine: counts and
shares over whole spans, no exact times.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from damsonstream.peers import wire

AGREE_WITHIN = 2.0  # seconds for those that hear each other to agree on a zone


@dataclass(slots=True, frozen=True)
class Check:
    """A bound on a figure: `of` a node or gateway (empty: all), over a span of the play's seconds."""

    name: str
    of: str
    start: float
    end: float
    least: float | None = None
    most: float | None = None

    def bound(self) -> str:
        parts = [f"{word} {value:g}" for word, value in (("least", self.least), ("most", self.most))
                 if value is not None]  # fmt: skip
        return ", ".join(parts)


@dataclass(slots=True, frozen=True)
class Forwarded:
    """A forward as it came: when, from which gateway, to which cache, and from where it is to be filled."""

    at: float
    gateway: str
    cache: str
    source: str


@dataclass(slots=True, frozen=True)
class Tried:
    """A viewer's GET: when it was sent, to which gateway, and how it ended."""

    at: float
    gateway: str
    outcome: str


@dataclass(slots=True, frozen=True)
class Filled:
    """A fill as its source was asked for it: when, by whom, of whom, and their zones, where they have any."""

    at: float
    asker: str
    source: str
    home: str
    zone: str


@dataclass(slots=True)
class Seen:
    """What was written down in a play."""

    names: list[str]
    fills: list[Filled] = field(default_factory=list)
    zones: dict[int, str] = field(default_factory=dict)  # what a zone is called in datagrams
    forwards: list[Forwarded] = field(default_factory=list)
    tries: list[Tried] = field(default_factory=list)
    told: list[tuple[float, str, wire.Item]] = field(default_factory=list)  # when, by whom it was sent
    datagrams: list[tuple[float, str, int]] = field(default_factory=list)  # when, by whom, bytes
    opened: list[tuple[float, str, str]] = field(default_factory=list)  # connections: when, by whom, to whom
    closed: list[tuple[float, str, str]] = field(default_factory=list)
    known: dict[str, int] = field(default_factory=dict)  # what a node is called in datagrams
    faults: list[str] = field(default_factory=list)

    def named(self, check: Check) -> list[Forwarded]:
        """Forwards in its span that went to a node, or named it as source."""
        span = [one for one in self.forwards if check.start <= one.at < check.end]
        return [one for one in span if not check.of or check.of in (one.cache, one.source)]

    def items(self, check: Check, kind: type[wire.Item]) -> list[tuple[str, wire.Item]]:
        return [
            (by, item)
            for at, by, item in self.told
            if check.start <= at < check.end and isinstance(item, kind)
        ]

    def ends(self, check: Check) -> list[Tried]:
        return [t for t in self.tries if check.start <= t.at < check.end and check.of in ("", t.gateway)]


def asked(check: Check, seen: Seen) -> float:
    return len(seen.named(check))


def asked_by(check: Check, seen: Seen) -> float:
    return len({forward.gateway for forward in seen.named(check)})


def asked_a_second(check: Check, seen: Seen) -> float:
    return most_in_a_second(sorted(forward.at for forward in seen.named(check)))


def spills(check: Check, seen: Seen) -> list[Filled]:
    """Fills in its span that a zone's hubs were asked for by caches of another one."""
    return [one for one in seen.fills if check.start <= one.at < check.end and one.home and one.zone
            and one.home != one.zone and check.of in ("", one.zone)]  # fmt: skip


def most_in_a_second(times: list[float]) -> float:
    most, first = 0, 0
    for last, at in enumerate(sorted(times)):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def spill_a_second(check: Check, seen: Seen) -> float:
    """The most fills in a second that came into a zone from others."""
    return most_in_a_second(sorted(one.at for one in spills(check, seen)))


def spilt(check: Check, seen: Seen) -> float:
    return len(spills(check, seen))


def fills_a_second(check: Check, seen: Seen) -> float:
    """The most fills in a second that a node, or all hubs of a zone, were asked for."""
    return most_in_a_second(sorted(one.at for one in seen.fills if check.start <= one.at < check.end
                                   and check.of in ("", one.source, one.zone)))  # fmt: skip


def direct_a_second(check: Check, seen: Seen) -> float:
    """The most fills in a second that caches (of a zone) asked of the vault, past all hubs."""
    return most_in_a_second(sorted(one.at for one in seen.fills if check.start <= one.at < check.end
                                   and one.home and not one.zone and one.asker.startswith("cache")
                                   and check.of in ("", one.home)))  # fmt: skip


def fills(check: Check, seen: Seen) -> float:
    return sum(check.start <= one.at < check.end and check.of in ("", one.source, one.zone)
               for one in seen.fills)  # fmt: skip


def near(check: Check, seen: Seen) -> float:
    """Share of the fills that a zone's caches (of all: any cache's) asked of hubs, which its own were asked
    for."""
    asked = [one for one in seen.fills if check.start <= one.at < check.end and one.home and one.zone
             and check.of in ("", one.home) and one.asker.startswith("cache")]  # fmt: skip
    return sum(one.home == one.zone for one in asked) / len(asked) if asked else 0.0


def verdicts(check: Check, seen: Seen, state: int) -> dict[int, float]:
    """When each gateway first told that a zone is in that state, in its first epoch within the span."""
    told: dict[int, dict[int, float]] = {}
    for at, by, item in seen.told:
        if check.start <= at < check.end and isinstance(item, wire.Zone) and item.state == state \
                and seen.zones.get(item.zone) == check.of:  # fmt: skip
            told.setdefault(item.epoch, {}).setdefault(seen.names.index(by), at)
    return told[min(told)] if told else {}


def told_lost(check: Check, seen: Seen) -> float:
    """Gateways that told of a zone's loss within two seconds of the first of them."""
    when = verdicts(check, seen, 2)
    return sum(at - min(when.values()) <= AGREE_WITHIN for at in when.values())


def losses(check: Check, seen: Seen) -> float:
    """Different losses of a zone that anyone told of."""
    return len({item.epoch for _, item in seen.items(check, wire.Zone) if isinstance(item, wire.Zone)
                and seen.zones.get(item.zone) == check.of and item.state == 2})  # fmt: skip


def changes(check: Check, seen: Seen) -> float:
    """Different verdicts on a zone that anyone told of."""
    return len({(item.epoch, item.step) for _, item in seen.items(check, wire.Zone)
                if isinstance(item, wire.Zone) and seen.zones.get(item.zone) == check.of})  # fmt: skip


def share(outcome: str) -> Callable[[Check, Seen], float]:
    def count(check: Check, seen: Seen) -> float:
        ends = seen.ends(check)
        return sum(one.outcome == outcome for one in ends) / len(ends) if ends else 0.0

    return count


def number(check: Check, seen: Seen) -> float:
    return len(seen.ends(check))


def doubted_by(check: Check, seen: Seen) -> float:
    """Gateways that said they no longer hear it."""
    place = seen.names.index(check.of) if check.of else -1
    return len({item.by for _, item in seen.items(check, wire.Doubt)
                if isinstance(item, wire.Doubt) and item.of == place})  # fmt: skip


def others_doubted(check: Check, seen: Seen) -> float:
    """Other gateways that two or more no longer hear."""
    doubts: dict[int, set[int]] = {}
    for _, item in seen.items(check, wire.Doubt):
        if isinstance(item, wire.Doubt) and seen.names[item.of] != check.of:
            doubts.setdefault(item.of, set()).add(item.by)
    return sum(len(by) > 1 for by in doubts.values())


def tried_by(check: Check, seen: Seen) -> float:
    """Gateways that told of a trial of it."""
    return len({item.by for _, item in seen.items(check, wire.Trial)
                if isinstance(item, wire.Trial) and item.source == seen.known.get(check.of)})  # fmt: skip


def sources_tried(check: Check, seen: Seen) -> float:
    """Different sources of which one gateway told a trial, of the one that tried most."""
    tried: dict[int, set[int]] = {}
    for _, item in seen.items(check, wire.Trial):
        if isinstance(item, wire.Trial):
            tried.setdefault(item.by, set()).add(item.source)
    return max((len(sources) for sources in tried.values()), default=0)


def lent(check: Check, seen: Seen) -> float:
    """Leases that were granted, counted once each."""
    return len(
        {(by, item.lease) for by, item in seen.items(check, wire.Grant) if isinstance(item, wire.Grant)}
    )


def datagram_bytes(check: Check, seen: Seen) -> float:
    """Bytes a second that one gateway sent, the mean of the span; of one, or of the one that sent most."""
    totals: dict[str, int] = {}
    for at, by, size in seen.datagrams:
        if check.start <= at < check.end and check.of in ("", by):
            totals[by] = totals.get(by, 0) + size
    return max(totals.values(), default=0) / max(0.001, check.end - check.start)


def connections(check: Check, seen: Seen) -> float:
    return sum(check.start <= at < check.end and check.of in ("", b) for at, _, b in seen.opened)


def held(check: Check, seen: Seen) -> float:
    """Connections that gateways hold to a node, the mean of the span; of the cache that has most."""
    totals: dict[str, float] = {}
    for ends, sign in ((seen.opened, 1.0), (seen.closed, -1.0)):
        for at, _, b in ends:
            if check.of == b or (not check.of and b.startswith("cache")):
                totals[b] = totals.get(b, 0.0) + sign * max(0.0, check.end - max(at, check.start))
    return max(totals.values(), default=0.0) / max(0.001, check.end - check.start)


CHECKS: dict[str, Callable[[Check, Seen], float]] = {
    "asked": asked,
    "asked-by": asked_by,
    "asked-a-second": asked_a_second,
    "returned": share("returned"),
    "shed": share("shed"),
    "errored": share("errored"),
    "late": share("late"),
    "gets": number,
    "doubted-by": doubted_by,
    "others-doubted": others_doubted,
    "tried-by": tried_by,
    "sources-tried": sources_tried,
    "lent": lent,
    "bytes": datagram_bytes,
    "near": near,
    "spilt": spilt,
    "spill-a-second": spill_a_second,
    "direct-a-second": direct_a_second,
    "fills": fills,
    "fills-a-second": fills_a_second,
    "told-lost": told_lost,
    "losses": losses,
    "changes": changes,
    "connections": connections,
    "held": held,
}


@dataclass(slots=True, frozen=True)
class Verdict:
    name: str
    bound: str
    seen: float
    kept: bool


def judge(check: Check, seen: Seen) -> Verdict:
    figure = CHECKS[check.name](check, seen)
    kept = (check.least is None or figure >= check.least) and (check.most is None or figure <= check.most)
    name = f"{check.name} {check.of or 'all'} {check.start:g} to {check.end:g} s"
    return Verdict(name, check.bound(), round(figure, 4), kept)


def told(seen: Seen) -> list[str]:
    """The first few of what stand-ins saw that is not allowed."""
    return seen.faults[:3]


def always(seen: Seen) -> Verdict:
    """What holds in every play: nothing that the protocol forbids, no effect twice."""
    return Verdict("faults that stand-ins saw", "most 0", len(seen.faults), not seen.faults)
