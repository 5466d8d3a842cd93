"""Computes what the console shows for any time of a fleet's records. No I/O, no clock of its own.

Usage: `feed` adds records to a `History()` as they are read, and `view(at, ages)` returns the rows for one
time. Times are in tenths of a millisecond. Records are stored with the times of their gateway's own clock; a
view at a fleet time converts it to each gateway's clock. So a better estimate of a clock also corrects the
records that were read before.

A gateway counts as up only while it writes records: after `STALE` without any it is stale, whatever its last
records say.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from damsonstream.incident.clocks import BootTimes, Clocks, Observation, align
from damsonstream.incident.describe import describe_record, plain
from damsonstream.incident.time_buckets import TimeBuckets
from damsonstream.records import model
from damsonstream.records.store import Item, Problem

S = 10_000  # ticks of 0.1 ms per second
WINDOW = 5 * S  # averaging window of rates; shorter ones make low rates jump
# A gateway writes a pulse record each second; three missing ones are more than a busy disk or an inaccurate
# clock explains.
STALE = 3 * S
PURGE_MERGE_WINDOW = 2 * S  # purges this close form one event; else a mass purge would fill the screen
MAX_EVENTS = 4000  # the oldest are dropped first
MAX_SIGHTINGS = 2000  # events seen by several gateways, kept to align their clocks
OUTCOMES = ("returned", "shed", "errored", "left")


@dataclass(slots=True)
class Event:
    """One line of the event list."""

    at: int  # on its gateway's clock
    gateway: str
    boot: int
    kind: str
    text: str
    node: str = ""
    count: int = 1  # number of merged purges


@dataclass(slots=True)
class Boot:
    """One run of a gateway process, as its records show it."""

    number: int
    first: int = 0
    last: int = 0
    stopped: bool = False
    pulses: list[model.Pulse] = field(default_factory=list)  # one per second; old ones are thinned out
    gaps: int = 0  # records known to be missing


@dataclass(slots=True)
class Gateway:
    """What the records say about one gateway, in the times of its own clock."""

    name: str
    boots: list[Boot] = field(default_factory=list)
    rates: TimeBuckets = field(default_factory=lambda: TimeBuckets(S))
    breakers: dict[str, list[tuple[int, str]]] = field(default_factory=dict)  # by node: time, state
    # Open GETs by number: arrival time, delivery service.
    open: dict[int, tuple[int, str]] = field(default_factory=dict)
    services: list[model.Service] = field(default_factory=list)
    peers: list[model.Peers] = field(default_factory=list)  # one every few seconds; old ones are thinned out
    zones: list[model.Zones] = field(default_factory=list)  # one per second; old ones are thinned out


@dataclass(slots=True, frozen=True)
class PeersRow:
    """How the peer exchange of one gateway stands, as its latest record says."""

    name: str
    state: str
    silent: list[int]
    location_share: float  # its share of the limits of its location
    fleet_share: float  # its share of the limits of the fleet
    lent: float  # share lent to peers
    borrowed: float  # share borrowed from peers
    sent: int  # messages sent
    received: int  # messages received


@dataclass(slots=True, frozen=True)
class ZoneRow:
    """The state of a zone as the gateways see it, including their disagreement."""

    name: str
    states: dict[str, list[str]]  # names of the gateways by the state that they see, the most common first
    flaps: int
    spill_in: float  # fills per second that spill into it, over all gateways
    limit: float  # limit of `into`, per second; 0: unknown
    spill_out: float  # fills per second that its own caches send to other zones


@dataclass(slots=True, frozen=True)
class GatewayRow:
    """The state of one gateway."""

    name: str
    boot: int
    state: str  # up, stale, ended, or not yet
    age: float  # seconds since its last record
    rate: float  # GETs per second that arrived
    in_time: float  # share of the ended GETs that were returned in time; -1: none ended
    shed: float  # per second
    errored: float  # per second
    open: int
    cpu: float  # share of a core
    rss: float  # MB
    gaps: int


@dataclass(slots=True, frozen=True)
class NodeRow:
    """The state of one cache, parent or origin, over all gateways."""

    name: str
    role: str
    listed: str  # active, leaving or left
    states: dict[str, str]  # state of its breaker, by gateway
    rate: float  # forwards per second
    failed_share: float  # share of the ended ones that failed
    success_rate: float  # successful forwards per second

    @property
    def worst_breaker(self) -> str:
        """Returns the worst state of its breakers."""
        return next((s for s in ("Open", "Half-Open") if s in self.states.values()), "Closed")


@dataclass(slots=True, frozen=True)
class ServiceRow:
    """The rates of one delivery service, over all gateways."""

    name: str
    rate: float
    in_time: float
    late: float
    shed: float
    errored: float


@dataclass(slots=True, frozen=True)
class View:
    """What the console shows for one time."""

    at: int
    gateways: list[GatewayRow]
    nodes: list[NodeRow]
    services: list[ServiceRow]
    events: list[tuple[int, Event]]  # fleet time; the latest is last
    peers: list[PeersRow] = field(default_factory=list)  # empty without peer exchange
    zones: list[ZoneRow] = field(default_factory=list)  # empty without a hierarchy of caches

    @property
    def state(self) -> str:
        """Returns the state of the fleet in a word: no records, stale, ended, trouble or well (healthy)."""
        if not self.gateways:
            return "no records"
        if any(row.state == "stale" for row in self.gateways):
            return "stale"
        if all(row.state == "ended" for row in self.gateways):
            return "ended"
        if any(node.worst_breaker != "Closed" for node in self.nodes):
            return "trouble"
        return "well"


class History:
    """Collects the records of a fleet and computes views of them."""

    def __init__(self) -> None:
        self.gateways: dict[str, Gateway] = {}
        self.roles: dict[str, str] = {}
        self.listed: dict[str, list[tuple[str, int, str]]] = {}  # by node: gateway, time, state
        self.events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self.sightings: deque[Observation] = deque(maxlen=MAX_SIGHTINGS)
        self.last_purges: dict[str, Event] = {}  # by gateway
        # The alignment of the clocks, and whether there is new evidence since it was computed.
        self.clocks, self.realign = Clocks(), False
        self.models: tuple[str, str] = ("", "")  # the models of parents and of the origin

    def feed(self, name: str, entry: Item | Problem) -> None:
        """Adds the next record of a gateway, or a problem that was found in its records."""
        gateway = self.gateways.setdefault(name, Gateway(name))
        if not gateway.boots or gateway.boots[-1].number != entry.boot:
            gateway.boots.append(Boot(entry.boot))
            gateway.open.clear()
        boot = gateway.boots[-1]
        if isinstance(entry, Problem):
            if entry.kind not in ("removed", "newer"):
                boot.gaps += max(1, entry.count)
                where = f"boot {entry.boot} segment {entry.segment}"
                self.add_event(boot.last, name, boot.number, "gap", f"{entry.kind} records in {where}")
            return
        record = entry.record
        if not boot.first:
            boot.first = record.at
            self.realign = True
        boot.last = max(boot.last, record.at)
        if not self.count_get(gateway, record):
            self.process(gateway, boot, record)

    def add_event(self, at: int, gateway: str, boot: int, kind: str, text: str, node: str = "") -> None:
        self.events.append(Event(at, gateway, boot, kind, text, node))

    def count_get(self, gateway: Gateway, record: model.AnyRecord) -> bool:
        """Counts a record that belongs to a GET; returns False for other records."""
        rates = gateway.rates
        match record:
            case model.Taken():
                services = gateway.services
                service = services[record.service].name if 0 <= record.service < len(services) else ""
                gateway.open[record.get] = (record.at, service)
                rates.add(record.at, ("taken", service))
            case model.Sent():
                rates.add(record.at, ("sent", record.cache))
            case model.Came():
                bad = record.result in ("unreached", "broken", "errored", "expired")
                rates.add(record.at, ("bad" if bad else "ok", record.cache))
            case model.Answered():
                at, service = gateway.open.pop(record.get, (record.at, ""))
                rates.add(record.at, (record.outcome, service))
                delivery_service = next((s for s in gateway.services if s.name == service), None)
                if (
                    record.outcome == "returned"
                    and delivery_service
                    and record.at - at > delivery_service.objective
                ):
                    rates.add(record.at, ("late", service))
            case model.Left():
                _, service = gateway.open.pop(record.get, (0, ""))
                rates.add(record.at, ("left", service))
            case model.Turned():
                rates.add(record.at, ("taken", ""))
                rates.add(record.at, (record.outcome, ""))
            case _:
                return False
        return True

    def process(self, gateway: Gateway, boot: Boot, record: model.AnyRecord) -> None:
        """Stores a record that doesn't belong to a GET, and adds an event if it is worth showing."""
        name, node = gateway.name, ""
        match record:
            case model.Pulse():
                boot.pulses.append(record)
                if len(boot.pulses) > 8192:
                    del boot.pulses[:4096:2]
                return
            case model.Peers():
                before = gateway.peers[-1].standing if gateway.peers else "well"
                gateway.peers.append(record)
                if len(gateway.peers) > 4096:
                    del gateway.peers[:2048:2]
                if record.standing == before:
                    return
            case model.Zones():
                unchanged = gateway.zones and [one[:2] for one in gateway.zones[-1].zones] == [
                    one[:2] for one in record.zones
                ]
                gateway.zones.append(record)
                if len(gateway.zones) > 4096:
                    del gateway.zones[:2048:2]
                if unchanged or all(state == "Well" for _, state, _, _ in record.zones):
                    return
            case model.Told() | model.Turn():
                node = record.node
            case model.Began():
                gateway.services = record.services
                self.models = (record.parent_model, record.origin_model)
            case model.Stopped():
                boot.stopped = True
            case model.Breaker():
                node = record.node
                gateway.breakers.setdefault(node, []).append((record.at, record.state))
            case model.Listed():
                self.store_list(name, record)
                if record.number and not record.whole:
                    lines = tuple(sorted((one.cache, one.state, one.since) for one in record.lines))
                    self.add_sighting(Observation((name, boot.number), ("list", lines), record.at))
                node = record.lines[0].cache if len(record.lines) == 1 else ""
            case model.Purge():
                if not record.number:
                    return
                event = ("purge", record.thing, record.group, record.issued)
                self.add_sighting(Observation((name, boot.number), event, record.at))
                last = self.last_purges.get(name)
                if (
                    last is not None
                    and record.at - last.at <= PURGE_MERGE_WINDOW
                    and last.boot == boot.number
                ):
                    last.at, last.count = record.at, last.count + 1
                    last.text = f"{last.count} purges"
                    return
            case model.Dropped():
                boot.gaps += record.count
        kind = type(record).__name__.lower()
        self.add_event(record.at, name, boot.number, kind, describe_record(record), node)
        if kind == "purge":
            self.last_purges[name] = self.events[-1]

    def add_sighting(self, one: Observation) -> None:
        """Stores an event that other gateways may have recorded too, to align the clocks."""
        self.sightings.append(one)
        self.realign = True

    def store_list(self, gateway: str, record: model.Listed) -> None:
        """Stores the roles and states of nodes from an update of the list."""
        parent, origin = self.models
        for one in record.lines:
            self.roles[one.cache] = {parent: "parent", origin: "origin"}.get(one.model, "cache")
            states = self.listed.setdefault(one.cache, [])
            states.append((gateway, record.at, one.state))
            if len(states) > 512:
                del states[:256]

    def aligned(self) -> Clocks:
        """Returns the alignment of the clocks, which is recomputed if there is new evidence."""
        if self.realign:
            boots = [
                BootTimes((g.name, b.number), b.first, b.last)
                for g in self.gateways.values()
                for b in g.boots
            ]
            self.clocks, self.realign = align(list(self.sightings), boots), False
        return self.clocks

    def span(self) -> tuple[int, int]:
        """Returns the fleet times of the first and the last record."""
        clocks = self.aligned()
        ends = [
            (clocks.fleet((g.name, b.number), b.first), clocks.fleet((g.name, b.number), b.last))
            for g in self.gateways.values()
            for b in g.boots
            if b.first
        ]
        return (min(f for f, _ in ends), max(t for _, t in ends)) if ends else (0, 0)

    def local(self, gateway: Gateway, at: int) -> int:
        """Converts a fleet time to a gateway's own clock, by the boot that ran then."""
        clocks = self.aligned()
        for boot in reversed(gateway.boots):
            fit = clocks.fits.get((gateway.name, boot.number))
            if fit is not None:
                local = at + fit.offset + round(fit.drift * (at + fit.offset - fit.start))
                if local >= boot.first or boot is gateway.boots[0]:
                    return local
        return at

    def view(self, at: int, ages: Mapping[str, float] | None = None) -> View:
        """Returns the view at a fleet time.

        `ages`: for a live view, the seconds since each gateway's records grew; without it the ages are
        derived from the times of the records.
        """
        names = sorted(self.gateways)
        gateways = [self.gateways[name] for name in names]
        locals_ = {g.name: self.local(g, at) for g in gateways}
        rows = [
            self.gateway_row(g, locals_[g.name], None if ages is None else ages.get(g.name)) for g in gateways
        ]
        clocks = self.aligned()
        events = []
        for event in self.events:
            when = clocks.fleet((event.gateway, event.boot), event.at)
            if when <= at:
                events.append((when, event))
        events.sort(key=lambda pair: pair[0])
        nodes, services = self.node_rows(gateways, locals_), self.service_rows(gateways, locals_)
        peers, zones = self.peers_rows(gateways, locals_), self.zone_rows(gateways, locals_)
        return View(at, rows, nodes, services, events, peers, zones)

    def zone_rows(self, gateways: list[Gateway], locals_: dict[str, int]) -> list[ZoneRow]:
        """Returns the zones, from the latest record of each running gateway; rates are over `WINDOW`."""
        states: dict[str, dict[str, list[str]]] = {}
        flaps: dict[str, int] = {}
        into: defaultdict[str, float] = defaultdict(float)
        out: defaultdict[str, float] = defaultdict(float)
        limits: dict[str, float] = {}
        for one in gateways:
            local = locals_[one.name]
            index = bisect_right([record.at for record in one.zones], local)
            if not index or local - one.zones[index - 1].at > 2 * STALE:
                continue
            latest = one.zones[index - 1]
            for zone, state, progress, flapped in latest.zones:
                label = f"{state} {progress}/20" if state == "Returning" else state
                states.setdefault(zone, {}).setdefault(label, []).append(one.name)
                flaps[zone] = max(flaps.get(zone, 0), flapped)
            first = bisect_right([record.at for record in one.zones], local - WINDOW)
            before = one.zones[max(0, first - 1)]
            earlier = {(a, b): count for a, b, count, _ in before.spilt}
            span = max(S, latest.at - before.at) / S
            for a, b, count, limit in latest.spilt:
                rate = max(0, count - earlier.get((a, b), 0)) / span
                into[b] += rate
                out[a] += rate
                limits[b] = limit
        return [
            ZoneRow(zone, dict(sorted(by.items(), key=lambda e: (-len(e[1]), e[0]))), flaps[zone],
                    into[zone], limits.get(zone, 0.0), out[zone])
            for zone, by in sorted(states.items())
        ]  # fmt: skip

    def peers_rows(self, gateways: list[Gateway], locals_: dict[str, int]) -> list[PeersRow]:
        """Returns the latest state of each gateway's peer exchange."""
        rows = []
        for one in gateways:
            index = bisect_right([record.at for record in one.peers], locals_[one.name])
            if index:
                r = one.peers[index - 1]
                rows.append(PeersRow(one.name, r.standing, list(r.silent), r.near / 1e6, r.far / 1e6,
                                     r.lent / 1e6, r.borrowed / 1e6, r.sent, r.heard))  # fmt: skip
        return rows

    def rate(self, gateway: Gateway, local: int, key: tuple[str, str]) -> float:
        """Returns a rate per second over the `WINDOW` before a time on the gateway's clock."""
        return gateway.rates.total(key, local - WINDOW, local) / WINDOW * S

    def gateway_row(self, gateway: Gateway, local: int, live_age: float | None) -> GatewayRow:
        """Returns the state of a gateway at a time on its clock; `live_age`: see `ages` of `view`."""
        boot = next((b for b in reversed(gateway.boots) if b.first <= local), None)
        if boot is None:
            return GatewayRow(gateway.name, 0, "not yet", 0.0, 0.0, -1.0, 0.0, 0.0, 0, 0.0, 0.0, 0)
        latest = boot is gateway.boots[-1]
        age = max(0.0, (local - boot.last) / S)
        if live_age is not None and latest:
            age = live_age
        ended = boot.stopped and local >= boot.last
        state = "ended" if ended else "stale" if age * S > STALE else "up"
        names = ["", *(service.name for service in gateway.services)]
        sums = {
            o: sum(self.rate(gateway, local, (o, n)) for n in names) for o in (*OUTCOMES, "taken", "late")
        }
        done = sum(sums[o] for o in OUTCOMES)
        index = bisect_right([pulse.at for pulse in boot.pulses], local)
        pulses = boot.pulses[max(0, index - 6) : index]
        cpu = 0.0
        if len(pulses) > 1 and pulses[-1].at > pulses[0].at:
            cpu = (pulses[-1].cpu - pulses[0].cpu) * 10 / (pulses[-1].at - pulses[0].at)
        last = pulses[-1] if pulses else None
        return GatewayRow(
            gateway.name,
            boot.number,
            state,
            age,
            sums["taken"],
            (sums["returned"] - sums["late"]) / done if done else -1.0,
            sums["shed"],
            sums["errored"],
            last.open if last and state == "up" else 0,
            cpu if state == "up" else 0.0,
            last.rss / 1024 if last else 0.0,
            boot.gaps,
        )

    def node_rows(self, gateways: list[Gateway], locals_: dict[str, int]) -> list[NodeRow]:
        """Returns the nodes, the origin first, then parents, then caches."""
        nodes = sorted(
            {node for g in gateways for node in g.breakers} | set(self.roles),
            key=lambda node: (("origin", "parent", "cache").index(self.roles.get(node, "cache")), node),
        )
        return [self.node_row(node, gateways, locals_) for node in nodes]

    def node_row(self, node: str, gateways: list[Gateway], locals_: dict[str, int]) -> NodeRow:
        """Returns a node; `locals_` holds the displayed time on each gateway's own clock."""
        states, sent, bad, ok = {}, 0.0, 0.0, 0.0
        for gateway in gateways:
            local = locals_[gateway.name]
            boot = next((b for b in reversed(gateway.boots) if b.first <= local), None)
            changes = gateway.breakers.get(node, [])
            index = bisect_right(changes, (local, "~"))  # "~" sorts after every state
            if index and boot is not None and changes[index - 1][0] >= boot.first:
                states[gateway.name] = changes[index - 1][1]
            sent += self.rate(gateway, local, ("sent", node))
            bad += self.rate(gateway, local, ("bad", node))
            ok += self.rate(gateway, local, ("ok", node))
        listed = "active"
        for gateway_name, at, state in self.listed.get(node, ()):
            if at <= locals_.get(gateway_name, at):
                listed = state
        return NodeRow(
            node, self.roles.get(node, "cache"), listed, states, sent, bad / (bad + ok) if bad else 0.0, ok
        )

    def service_rows(self, gateways: list[Gateway], locals_: dict[str, int]) -> list[ServiceRow]:
        """Returns the rates of the delivery services, summed over the gateways."""
        names: dict[str, None] = {}
        for gateway in gateways:
            names.update(dict.fromkeys(service.name for service in gateway.services))
        rows = []
        for name in names:
            sums = {
                outcome: sum(self.rate(g, locals_[g.name], (outcome, name)) for g in gateways)
                for outcome in (*OUTCOMES, "taken", "late")
            }
            done = sum(sums[o] for o in OUTCOMES)
            in_time = (sums["returned"] - sums["late"]) / done if done else -1.0
            rows.append(
                ServiceRow(
                    plain(name, 24), sums["taken"], in_time, sums["late"], sums["shed"], sums["errored"]
                )
            )
        return rows
