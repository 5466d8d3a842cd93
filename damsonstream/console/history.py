"""What a console shows, at any time of a fleet's records. No I/O, no clock of its own.

How it is called: `History()` is fed records as they are read (`feed`), and `view(at, seen)` gives the rows
for one time. Times are tenths of a millisecond; each gateway's records keep the time of its own clock here,
and a view at a fleet time looks at each gateway's own time for it, so that later knowledge of a clock mends
what was read before.

A gateway is shown as well only while it writes: one that has not for `STALE` is stale, however well it was.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from damsonstream.incident.clocks import Clocks, Sighting, Told, align
from damsonstream.incident.rates import Rates
from damsonstream.incident.words import line, plain
from damsonstream.records import model
from damsonstream.records.store import Item, Problem

S = 10_000
WINDOW = 5 * S  # over which rates are shown: shorter ones jump at a few GETs a second
# A gateway writes a pulse each second: three that are missing are no busy disk. Also for clocks that are
# unsure.
STALE = 3 * S
TOGETHER = 2 * S  # purges so near are one event: a mass purge would push all else off the screen
EVENTS = 4000  # kept; the oldest go first
SIGHTINGS = 2000  # common events kept for the clocks
OUTCOMES = ("returned", "shed", "errored", "left")


@dataclass(slots=True)
class Event:
    at: int  # on its gateway's clock
    gateway: str
    boot: int
    kind: str
    text: str
    node: str = ""
    count: int = 1  # purges that came together


@dataclass(slots=True)
class Boot:
    number: int
    first: int = 0
    last: int = 0
    stopped: bool = False
    pulses: list[model.Pulse] = field(default_factory=list)  # one a second; thinned as they grow many
    gaps: int = 0  # records known to be missing


@dataclass(slots=True)
class Gateway:
    name: str
    boots: list[Boot] = field(default_factory=list)
    rates: Rates = field(default_factory=lambda: Rates(S))
    breakers: dict[str, list[tuple[int, str]]] = field(default_factory=dict)  # by node: when, state
    open: dict[int, tuple[int, str]] = field(
        default_factory=dict
    )  # GETs: taken, service; emptied as they end
    services: list[model.Service] = field(default_factory=list)
    peers: list[model.Peers] = field(default_factory=list)  # one in some seconds; thinned as they grow many
    zones: list[model.Zones] = field(default_factory=list)  # one a second; thinned as they grow many


@dataclass(slots=True, frozen=True)
class PeersRow:
    """What one gateway believes of the others."""

    name: str
    standing: str
    silent: list[int]
    near: float  # its parts of common caps
    far: float
    lent: float
    borrowed: float
    sent: int
    heard: int


@dataclass(slots=True, frozen=True)
class ZoneRow:
    """A zone as all gateways believe it, disagreement in plain sight."""

    name: str
    states: dict[str, list[str]]  # gateways by what they believe, the most common first
    flaps: int
    into: float  # fills a second that spill into it, of all gateways
    limit: float  # a second, for all; 0: not told
    out: float  # fills a second that its own caches send elsewhere


@dataclass(slots=True, frozen=True)
class GatewayRow:
    name: str
    boot: int
    state: str  # up, stale, ended, or not yet
    age: float  # seconds since it wrote last
    rate: float  # GETs taken a second
    in_time: float  # share of those that ended, -1: none did
    shed: float  # a second
    errored: float
    open: int
    cpu: float  # share of a core
    rss: float  # MB
    gaps: int


@dataclass(slots=True, frozen=True)
class NodeRow:
    name: str
    role: str
    listed: str  # active, leaving or left
    states: dict[str, str]  # of breakers, by gateway
    rate: float  # forwards a second
    bad: float  # share of those that ended badly
    fills: float  # given as source, a second

    @property
    def worst(self) -> str:
        return next((s for s in ("Open", "Half-Open") if s in self.states.values()), "Closed")


@dataclass(slots=True, frozen=True)
class ServiceRow:
    name: str
    rate: float
    in_time: float
    late: float
    shed: float
    errored: float


@dataclass(slots=True, frozen=True)
class View:
    at: int
    gateways: list[GatewayRow]
    nodes: list[NodeRow]
    services: list[ServiceRow]
    events: list[tuple[int, Event]]  # fleet time; the latest last
    peers: list[PeersRow] = field(default_factory=list)  # of gateways that tell one another anything
    zones: list[ZoneRow] = field(default_factory=list)  # where a hierarchy is in service

    @property
    def worst(self) -> str:
        """In a word, how the fleet is."""
        if not self.gateways:
            return "no records"
        if any(row.state == "stale" for row in self.gateways):
            return "stale"
        if all(row.state == "ended" for row in self.gateways):
            return "ended"
        if any(node.worst != "Closed" for node in self.nodes):
            return "trouble"
        return "well"


class History:
    def __init__(self) -> None:
        self.gateways: dict[str, Gateway] = {}
        self.roles: dict[str, str] = {}
        self.listed: dict[str, list[tuple[str, int, str]]] = {}  # by node: gateway, when, state
        self.events: deque[Event] = deque(maxlen=EVENTS)
        self.sightings: deque[Sighting] = deque(maxlen=SIGHTINGS)
        self.bursts: dict[str, Event] = {}  # the latest purge of each gateway
        self.clocks, self.sighted = Clocks(), False
        self.models: tuple[str, str] = ("", "")

    def feed(self, name: str, entry: Item | Problem) -> None:
        gateway = self.gateways.setdefault(name, Gateway(name))
        if not gateway.boots or gateway.boots[-1].number != entry.boot:
            gateway.boots.append(Boot(entry.boot))
            gateway.open.clear()
        boot = gateway.boots[-1]
        if isinstance(entry, Problem):
            if entry.kind not in ("removed", "newer"):
                boot.gaps += max(1, entry.count)
                where = f"boot {entry.boot} segment {entry.segment}"
                self.event(boot.last, name, boot.number, "gap", f"{entry.kind} records in {where}")
            return
        record = entry.record
        if not boot.first:
            boot.first = record.at
            self.sighted = True
        boot.last = max(boot.last, record.at)
        if not self.get(gateway, record):
            self.news(gateway, boot, record)

    def event(self, at: int, gateway: str, boot: int, kind: str, text: str, node: str = "") -> None:
        self.events.append(Event(at, gateway, boot, kind, text, node))

    def get(self, gateway: Gateway, record: model.AnyRecord) -> bool:
        """Counts what belongs to a GET."""
        rates = gateway.rates
        match record:
            case model.Taken():
                told = gateway.services
                service = told[record.service].name if 0 <= record.service < len(told) else ""
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
                told_service = next((s for s in gateway.services if s.name == service), None)
                if record.outcome == "returned" and told_service and record.at - at > told_service.objective:
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

    def news(self, gateway: Gateway, boot: Boot, record: model.AnyRecord) -> None:
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
                same = gateway.zones and [one[:2] for one in gateway.zones[-1].zones] == [
                    one[:2] for one in record.zones
                ]
                gateway.zones.append(record)
                if len(gateway.zones) > 4096:
                    del gateway.zones[:2048:2]
                if same or all(state == "Well" for _, state, _, _ in record.zones):
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
                self.list_told(name, record)
                if record.number and not record.whole:
                    lines = tuple(sorted((one.cache, one.state, one.since) for one in record.lines))
                    self.sighting(Sighting((name, boot.number), ("list", lines), record.at))
                node = record.lines[0].cache if len(record.lines) == 1 else ""
            case model.Purge():
                if not record.number:
                    return
                event = ("purge", record.thing, record.group, record.issued)
                self.sighting(Sighting((name, boot.number), event, record.at))
                last = self.bursts.get(name)
                if last is not None and record.at - last.at <= TOGETHER and last.boot == boot.number:
                    last.at, last.count = record.at, last.count + 1
                    last.text = f"{last.count} purges"
                    return
            case model.Dropped():
                boot.gaps += record.count
        kind = type(record).__name__.lower()
        self.event(record.at, name, boot.number, kind, line(record), node)
        if kind == "purge":
            self.bursts[name] = self.events[-1]

    def sighting(self, one: Sighting) -> None:
        self.sightings.append(one)
        self.sighted = True

    def list_told(self, gateway: str, record: model.Listed) -> None:
        parent, origin = self.models
        for one in record.lines:
            self.roles[one.cache] = {parent: "parent", origin: "origin"}.get(one.model, "cache")
            states = self.listed.setdefault(one.cache, [])
            states.append((gateway, record.at, one.state))
            if len(states) > 512:
                del states[:256]

    def aligned(self) -> Clocks:
        """The clocks as they are known by now; reckoned again once there is more to know."""
        if self.sighted:
            boots = [
                Told((g.name, b.number), b.first, b.last) for g in self.gateways.values() for b in g.boots
            ]
            self.clocks, self.sighted = align(list(self.sightings), boots), False
        return self.clocks

    def span(self) -> tuple[int, int]:
        """Fleet times of the first and the last record."""
        clocks = self.aligned()
        ends = [
            (clocks.fleet((g.name, b.number), b.first), clocks.fleet((g.name, b.number), b.last))
            for g in self.gateways.values()
            for b in g.boots
            if b.first
        ]
        return (min(f for f, _ in ends), max(t for _, t in ends)) if ends else (0, 0)

    def local(self, gateway: Gateway, at: int) -> int:
        """A fleet time on a gateway's own clock, by the boot that ran then."""
        clocks = self.aligned()
        for boot in reversed(gateway.boots):
            fit = clocks.fits.get((gateway.name, boot.number))
            if fit is not None:
                local = at + fit.offset + round(fit.drift * (at + fit.offset - fit.start))
                if local >= boot.first or boot is gateway.boots[0]:
                    return local
        return at

    def view(self, at: int, seen: Mapping[str, float] | None = None) -> View:
        """`seen`: live, how many seconds ago each gateway's records grew; else by their own times."""
        names = sorted(self.gateways)
        gateways = [self.gateways[name] for name in names]
        locals_ = {g.name: self.local(g, at) for g in gateways}
        rows = [
            self.gateway_row(g, locals_[g.name], None if seen is None else seen.get(g.name)) for g in gateways
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
        """Of each gateway that still runs the latest word; rates over the window before."""
        states: dict[str, dict[str, list[str]]] = {}
        flaps: dict[str, int] = {}
        into: defaultdict[str, float] = defaultdict(float)
        out: defaultdict[str, float] = defaultdict(float)
        limits: dict[str, float] = {}
        for one in gateways:
            local = locals_[one.name]
            place = bisect_right([record.at for record in one.zones], local)
            if not place or local - one.zones[place - 1].at > 2 * STALE:
                continue
            latest = one.zones[place - 1]
            for zone, state, progress, flapped in latest.zones:
                told = f"{state} {progress}/20" if state == "Returning" else state
                states.setdefault(zone, {}).setdefault(told, []).append(one.name)
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
        rows = []
        for one in gateways:
            place = bisect_right([record.at for record in one.peers], locals_[one.name])
            if place:
                r = one.peers[place - 1]
                rows.append(PeersRow(one.name, r.standing, list(r.silent), r.near / 1e6, r.far / 1e6,
                                     r.lent / 1e6, r.borrowed / 1e6, r.sent, r.heard))  # fmt: skip
        return rows

    def rate(self, gateway: Gateway, local: int, key: tuple[str, str]) -> float:
        return gateway.rates.total(key, local - WINDOW, local) / WINDOW * S

    def gateway_row(self, gateway: Gateway, local: int, seen: float | None) -> GatewayRow:
        boot = next((b for b in reversed(gateway.boots) if b.first <= local), None)
        if boot is None:
            return GatewayRow(gateway.name, 0, "not yet", 0.0, 0.0, -1.0, 0.0, 0.0, 0, 0.0, 0.0, 0)
        latest = boot is gateway.boots[-1]
        age = max(0.0, (local - boot.last) / S)
        if seen is not None and latest:
            age = seen
        ended = boot.stopped and local >= boot.last
        state = "ended" if ended else "stale" if age * S > STALE else "up"
        names = ["", *(service.name for service in gateway.services)]
        sums = {
            o: sum(self.rate(gateway, local, (o, n)) for n in names) for o in (*OUTCOMES, "taken", "late")
        }
        done = sum(sums[o] for o in OUTCOMES)
        place = bisect_right([pulse.at for pulse in boot.pulses], local)
        pulses = boot.pulses[max(0, place - 6) : place]
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
        nodes = sorted(
            {node for g in gateways for node in g.breakers} | set(self.roles),
            key=lambda node: (("origin", "parent", "cache").index(self.roles.get(node, "cache")), node),
        )
        return [self.node_row(node, gateways, locals_) for node in nodes]

    def node_row(self, node: str, gateways: list[Gateway], locals_: dict[str, int]) -> NodeRow:
        states, sent, bad, ok = {}, 0.0, 0.0, 0.0
        for gateway in gateways:
            local = locals_[gateway.name]
            boot = next((b for b in reversed(gateway.boots) if b.first <= local), None)
            turns = gateway.breakers.get(node, [])
            place = bisect_right(turns, (local, "~"))
            if place and boot is not None and turns[place - 1][0] >= boot.first:
                states[gateway.name] = turns[place - 1][1]
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
