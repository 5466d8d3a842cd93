"""Evaluates the checks of a script against what was observed during its run. No I/O.

`evaluate_check(check, seen)` returns a `Verdict`. All measurements come from the logs of the stand-ins, the
relays and the load generator; none from what a gateway reports about itself. Checks bound counts and shares
over whole time spans rather than exact times, so that they also hold on a busy machine.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from damsonstream.peers import wire

AGREEMENT_SECONDS = 2.0  # within which gateways that can reach each other agree on the state of a zone


@dataclass(slots=True, frozen=True)
class Check:
    """A bound on one measurement of a node, zone or gateway (`of`; empty: all) over a time span of the run.

    `start` and `end` are seconds since the start of the run; `least` and `most` are the bounds.
    """

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
    """A forward as a cache received it: time, gateway, cache, and the source of its fill (or empty)."""

    at: float
    gateway: str
    cache: str
    source: str


@dataclass(slots=True, frozen=True)
class Tried:
    """A viewer's GET: the time it was sent, the gateway it was sent to, and its outcome."""

    at: float
    gateway: str
    outcome: str


@dataclass(slots=True, frozen=True)
class Filled:
    """A fill request as its source received it: time, requester, source, and the zones of both (or empty)."""

    at: float
    asker: str
    source: str
    home: str
    zone: str


@dataclass(slots=True)
class Observations:
    """Everything that was logged during one run; times are seconds since its start."""

    gateway_names: list[str]
    fills: list[Filled] = field(default_factory=list)
    zone_names: dict[int, str] = field(default_factory=dict)  # zone name by its id in datagrams
    forwards: list[Forwarded] = field(default_factory=list)
    gets: list[Tried] = field(default_factory=list)
    messages: list[tuple[float, str, wire.Item]] = field(default_factory=list)  # time, sender, item
    datagrams: list[tuple[float, str, int]] = field(default_factory=list)  # time, sender, bytes
    opened: list[tuple[float, str, str]] = field(default_factory=list)  # connections: time, gateway, node
    closed: list[tuple[float, str, str]] = field(default_factory=list)  # likewise
    source_ids: dict[str, int] = field(default_factory=dict)  # node's id in datagrams by its name
    violations: list[str] = field(default_factory=list)  # protocol violations by gateways

    def forwards_matching(self, check: Check) -> list[Forwarded]:
        """Returns the forwards in the check's span that went to its node or named it as the source."""
        span = [one for one in self.forwards if check.start <= one.at < check.end]
        return [one for one in span if not check.of or check.of in (one.cache, one.source)]

    def messages_matching(self, check: Check, kind: type[wire.Item]) -> list[tuple[str, wire.Item]]:
        """Returns the items of a kind that were sent in the check's span, each with its sender."""
        return [
            (by, item)
            for at, by, item in self.messages
            if check.start <= at < check.end and isinstance(item, kind)
        ]

    def gets_matching(self, check: Check) -> list[Tried]:
        """Returns the viewers' GETs that were sent in the check's span to its gateway, or to any."""
        return [t for t in self.gets if check.start <= t.at < check.end and check.of in ("", t.gateway)]


def forward_count(check: Check, seen: Observations) -> float:
    """Counts the forwards that used a node as cache or source."""
    return len(seen.forwards_matching(check))


def forwarding_gateways(check: Check, seen: Observations) -> float:
    """Counts the gateways that sent such forwards."""
    return len({forward.gateway for forward in seen.forwards_matching(check)})


def peak_forwards(check: Check, seen: Observations) -> float:
    """Returns the largest number of such forwards per second."""
    return peak_per_second(sorted(forward.at for forward in seen.forwards_matching(check)))


def spilled_fills(check: Check, seen: Observations) -> list[Filled]:
    """Returns the fills in the check's span that parents of a zone received from caches of another zone."""
    return [one for one in seen.fills if check.start <= one.at < check.end
            and one.home and one.zone and one.home != one.zone
            and check.of in ("", one.zone)]  # fmt: skip


def peak_per_second(times: list[float]) -> float:
    """Returns the largest number of times within one second."""
    maximum, first = 0, 0
    for last, at in enumerate(sorted(times)):
        while times[first] <= at - 1.0:
            first += 1
        maximum = max(maximum, last - first + 1)
    return maximum


def peak_spilled_fills(check: Check, seen: Observations) -> float:
    """Returns the largest number of fills per second that a zone received from other zones."""
    return peak_per_second(sorted(one.at for one in spilled_fills(check, seen)))


def spilled_fill_count(check: Check, seen: Observations) -> float:
    """Counts the fills that a zone received from other zones."""
    return len(spilled_fills(check, seen))


def peak_fills(check: Check, seen: Observations) -> float:
    """Returns the largest number of fills per second requested from a node or from all parents of a zone."""
    return peak_per_second(sorted(one.at for one in seen.fills if check.start <= one.at < check.end
                                   and check.of in ("", one.source, one.zone)))  # fmt: skip


def peak_direct_fills(check: Check, seen: Observations) -> float:
    """Returns the largest number of fills per second from caches (of a zone) directly to the origin."""
    return peak_per_second(sorted(one.at for one in seen.fills if check.start <= one.at < check.end
                                   and one.home and not one.zone
                                   and one.asker.startswith("cache")
                                   and check.of in ("", one.home)))  # fmt: skip


def fill_count(check: Check, seen: Observations) -> float:
    """Counts the fills requested from a node or from all parents of a zone."""
    return sum(check.start <= one.at < check.end and check.of in ("", one.source, one.zone)
               for one in seen.fills)  # fmt: skip


def local_fill_share(check: Check, seen: Observations) -> float:
    """Returns the share of fills from parents (by caches of the zone, or of all) that stayed in the zone."""
    requested = [one for one in seen.fills if check.start <= one.at < check.end
                 and one.home and one.zone
                 and check.of in ("", one.home) and one.asker.startswith("cache")]  # fmt: skip
    return sum(one.home == one.zone for one in requested) / len(requested) if requested else 0.0


def reports_by_gateway(check: Check, seen: Observations, state: int) -> dict[int, float]:
    """Returns when each gateway (by index) first reported the zone to be in a state.

    Only the first epoch in which the state was reported within the span is considered.
    """
    reported: dict[int, dict[int, float]] = {}
    for at, by, item in seen.messages:
        if check.start <= at < check.end and isinstance(item, wire.ZoneItem) \
                and item.state == state and seen.zone_names.get(item.zone) == check.of:  # fmt: skip
            reported.setdefault(item.epoch, {}).setdefault(seen.gateway_names.index(by), at)
    return reported[min(reported)] if reported else {}


def gateways_agreeing_on_loss(check: Check, seen: Observations) -> float:
    """Counts the gateways that reported a zone lost within AGREEMENT_SECONDS of the first report."""
    report_times = reports_by_gateway(check, seen, 2)
    return sum(at - min(report_times.values()) <= AGREEMENT_SECONDS for at in report_times.values())


def zone_loss_count(check: Check, seen: Observations) -> float:
    """Counts the distinct losses of a zone (by epoch) that any gateway reported."""
    return len({item.epoch for _, item in seen.messages_matching(check, wire.ZoneItem)
                if isinstance(item, wire.ZoneItem) and seen.zone_names.get(item.zone) == check.of
                and item.state == 2})  # fmt: skip


def zone_change_count(check: Check, seen: Observations) -> float:
    """Counts the distinct state changes of a zone that any gateway reported."""
    return len({(item.epoch, item.step) for _, item in seen.messages_matching(check, wire.ZoneItem)
                if isinstance(item, wire.ZoneItem)
                and seen.zone_names.get(item.zone) == check.of})  # fmt: skip


def outcome_share(outcome: str) -> Callable[[Check, Observations], float]:
    """Returns a measurement of the share of viewers' GETs that had the outcome."""

    def measure(check: Check, seen: Observations) -> float:
        gets = seen.gets_matching(check)
        return sum(one.outcome == outcome for one in gets) / len(gets) if gets else 0.0

    return measure


def get_count(check: Check, seen: Observations) -> float:
    return len(seen.gets_matching(check))


def suspecting_gateways(check: Check, seen: Observations) -> float:
    """Counts the gateways that reported that they no longer receive messages from the checked gateway."""
    index = seen.gateway_names.index(check.of) if check.of else -1
    return len({item.by for _, item in seen.messages_matching(check, wire.Suspicion)
                if isinstance(item, wire.Suspicion) and item.of == index})  # fmt: skip


def other_suspected_gateways(check: Check, seen: Observations) -> float:
    """Counts the other gateways that were suspected by two or more gateways."""
    suspicions: dict[int, set[int]] = {}
    for _, item in seen.messages_matching(check, wire.Suspicion):
        if isinstance(item, wire.Suspicion) and seen.gateway_names[item.of] != check.of:
            suspicions.setdefault(item.of, set()).add(item.by)
    return sum(len(by) > 1 for by in suspicions.values())


def trialling_gateways(check: Check, seen: Observations) -> float:
    """Counts the gateways that announced a trial of the source."""
    return len({item.by for _, item in seen.messages_matching(check, wire.Trial)
                if isinstance(item, wire.Trial)
                and item.source == seen.source_ids.get(check.of)})  # fmt: skip


def max_sources_trialled(check: Check, seen: Observations) -> float:
    """Returns the largest number of distinct sources of which one gateway announced trials."""
    trialled: dict[int, set[int]] = {}
    for _, item in seen.messages_matching(check, wire.Trial):
        if isinstance(item, wire.Trial):
            trialled.setdefault(item.by, set()).add(item.source)
    return max((len(sources) for sources in trialled.values()), default=0)


def lease_count(check: Check, seen: Observations) -> float:
    """Counts the granted leases, each once."""
    return len(
        {
            (by, item.lease)
            for by, item in seen.messages_matching(check, wire.Grant)
            if isinstance(item, wire.Grant)
        }
    )


def mean_bytes_per_second(check: Check, seen: Observations) -> float:
    """Returns the mean bytes per second that a gateway sent to its peers, or the gateway that sent most."""
    totals: dict[str, int] = {}
    for at, by, size in seen.datagrams:
        if check.start <= at < check.end and check.of in ("", by):
            totals[by] = totals.get(by, 0) + size
    return max(totals.values(), default=0) / max(0.001, check.end - check.start)


def connection_count(check: Check, seen: Observations) -> float:
    """Counts the connections that gateways opened to a node."""
    return sum(check.start <= at < check.end and check.of in ("", b) for at, _, b in seen.opened)


def mean_open_connections(check: Check, seen: Observations) -> float:
    """Returns the mean number of open connections to a node, or to the cache that has most."""
    totals: dict[str, float] = {}
    for ends, sign in ((seen.opened, 1.0), (seen.closed, -1.0)):
        for at, _, b in ends:
            if check.of == b or (not check.of and b.startswith("cache")):
                totals[b] = totals.get(b, 0.0) + sign * max(0.0, check.end - max(at, check.start))
    return max(totals.values(), default=0.0) / max(0.001, check.end - check.start)


CHECKS: dict[str, Callable[[Check, Observations], float]] = {
    "asked": forward_count,
    "asked-by": forwarding_gateways,
    "asked-a-second": peak_forwards,
    "returned": outcome_share("returned"),
    "shed": outcome_share("shed"),
    "errored": outcome_share("errored"),
    "late": outcome_share("late"),
    "gets": get_count,
    "doubted-by": suspecting_gateways,
    "others-doubted": other_suspected_gateways,
    "tried-by": trialling_gateways,
    "sources-tried": max_sources_trialled,
    "lent": lease_count,
    "bytes": mean_bytes_per_second,
    "near": local_fill_share,
    "spilt": spilled_fill_count,
    "spill-a-second": peak_spilled_fills,
    "direct-a-second": peak_direct_fills,
    "fills": fill_count,
    "fills-a-second": peak_fills,
    "told-lost": gateways_agreeing_on_loss,
    "losses": zone_loss_count,
    "changes": zone_change_count,
    "connections": connection_count,
    "held": mean_open_connections,
}


@dataclass(slots=True, frozen=True)
class Verdict:
    """The result of one check, as the JSON output holds it; `seen` is the measured value."""

    name: str
    bound: str
    seen: float
    kept: bool


def evaluate_check(check: Check, seen: Observations) -> Verdict:
    measured = CHECKS[check.name](check, seen)
    kept = (check.least is None or measured >= check.least) and (check.most is None or measured <= check.most)
    name = f"{check.name} {check.of or 'all'} {check.start:g} to {check.end:g} s"
    return Verdict(name, check.bound(), round(measured, 4), kept)


def first_violations(seen: Observations) -> list[str]:
    """Returns the first three protocol violations that stand-ins observed."""
    return seen.violations[:3]


def violations_verdict(seen: Observations) -> Verdict:
    """Returns the verdict that every run includes: no protocol violation, and no effect that ran twice."""
    return Verdict("faults that stand-ins saw", "most 0", len(seen.violations), not seen.violations)
