"""What happened in what order, told as phases, from records alone. No I/O.

How it is called: `Watch(clocks)` listens to the ledgers of all gateways (`accounting.Listener`), in any order
of gateways; `phases(boots)` then gives the phases by their start, in fleet time, each with its evidence and
with what it cost. Times are tenths of a millisecond.

A phase is one of: purge, drain, slow-source, failing, open, half-open, overload, restart, gap, peers (what
gateways believed of one another), zone (a zone that any gateway did not hold well), recovery.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

from damsonstream.incident.accounting import Attempt, Boot, Get, Stray
from damsonstream.incident.clocks import Clocks
from damsonstream.incident.rates import Latencies, Rates
from damsonstream.records import model

MS, S = 10, 10_000
FILLED, VIA_ORIGIN, SRC_REFUSED, SRC_BROKE, ORIGIN_FAILED = 2, 3, 6, 7, 10
# A first byte is slow beyond three times the usual of its source, and 50 ms beyond it: below that a busy
# source swings by itself. The usual is learned from what is not slow, over some twenty fills.
SLOW_TIMES, SLOW_BEYOND, LEARN, LEAST = 3.0, 50 * MS, 0.05, 8
# A source is in trouble from three bad ones among four, as the first of them went out, and out of it after
# five good ones: one lost connection is no phase, and one lucky fill no recovery.
OF, BAD, GOOD = 4, 3, 5
NEAR = 3 * S  # spans of one node at several gateways, or at one, that are so near are one phase
CLUSTER = 2 * S  # purges told within this are one mass purge
SHED_SHARE, SHED_LEAST = 0.1, 3  # overload: of the GETs of a bucket
CALM = 2 * S  # as long without trouble, all is as usual again
APART = 10 * S  # troubles that far apart have a recovery each
QUIET = 0.02  # share of GETs that miss their objective on the best of days


@dataclass(slots=True)
class Cost:
    """What became of the GETs of a phase."""

    taken: float = 0.0
    returned: float = 0.0
    late: float = 0.0  # of those returned
    shed: float = 0.0
    errored: float = 0.0
    left: float = 0.0
    due: float = 0.0  # revenue, had all been in time
    earned: float = 0.0

    @property
    def missed(self) -> float:
        """Share that was not returned in time."""
        lost = self.late + self.shed + self.errored + self.left
        ended = self.returned + self.shed + self.errored + self.left
        return lost / ended if ended else 0.0


@dataclass(slots=True)
class Phase:
    kind: str
    subject: str  # node, gateway or what was purged
    start: int
    end: int
    evidence: list[str]
    gateways: list[str]
    sure: int = 0  # start and end are right within this, -1: not known
    open: bool = False  # it goes on at the end of the records
    cost: Cost = field(default_factory=Cost)


@dataclass(slots=True)
class Span:
    """Trouble of one node as one gateway saw it."""

    start: int
    last: int  # when the last bad one went out
    after: int = 0  # when the first good one after it went out, 0: none yet
    count: int = 0
    worst: int = 0
    kinds: Counter[str] = field(default_factory=Counter)

    @property
    def end(self) -> int:
        """Between the last bad one and the next good one: the middle is off by half of that at most."""
        return (self.last + self.after) // 2 if self.after else self.last


class Trouble:
    """Finds spans in what one gateway saw of one node, one sample after the other."""

    def __init__(self) -> None:
        self.spans: list[Span] = []
        self.recent: deque[tuple[int, bool, int, str]] = deque(maxlen=OF)  # sent, bad, amount, kind
        self.open: Span | None = None
        self.good = 0  # in a row

    def add(self, sent: int, bad: bool, amount: int = 0, kind: str = "") -> None:
        self.recent.append((sent, bad, amount, kind))
        span = self.open
        if span is None:
            wrong = [one for one in self.recent if one[1]]
            if len(wrong) >= BAD:
                span = self.open = Span(min(one[0] for one in wrong), 0)
                self.spans.append(span)
                for one in wrong:
                    self.enter(span, *one)
                self.good = 0
        elif bad:
            self.enter(span, sent, bad, amount, kind)
            if sent >= span.after:
                span.after = 0
            self.good = 0
        else:
            if sent > span.last and (not span.after or sent < span.after):
                span.after = sent
            self.good += 1
            if self.good >= GOOD:
                self.open = None
                self.recent.clear()

    def enter(self, span: Span, sent: int, bad: bool, amount: int, kind: str) -> None:
        span.start, span.last = min(span.start, sent), max(span.last, sent)
        span.count += 1
        span.worst = max(span.worst, amount)
        span.kinds[kind] += 1


class Pace:
    """First bytes of one source at one gateway: which are slow for it."""

    def __init__(self) -> None:
        self.usual, self.seen = 0.0, 0
        self.early: list[int] = []
        self.trouble = Trouble()

    def add(self, sent: int, first_byte: int) -> None:
        if self.seen < LEAST:  # the first few tell what is usual
            self.early.append(first_byte)
            self.seen += 1
            self.usual = median(self.early)
            return
        slow = first_byte > SLOW_TIMES * self.usual and first_byte > self.usual + SLOW_BEYOND
        if not slow:
            self.usual += LEARN * (first_byte - self.usual)
        self.trouble.add(sent, slow, first_byte, "slow")


@dataclass(slots=True)
class Turn:
    """A change of a breaker, in fleet time."""

    at: int
    gateway: str
    boot: int
    record: model.Breaker


class Watch:
    """Listens to all ledgers; memory grows with the span and the number of nodes, not with the GETs."""

    def __init__(self, clocks: Clocks, width: int = S // 2) -> None:
        self.clocks = clocks
        self.rates = Rates(width)
        self.latencies, self.sources = Latencies(), Latencies()
        self.paces: dict[tuple[str, str], Pace] = defaultdict(Pace)  # gateway, node
        self.failing: dict[tuple[str, str], Trouble] = defaultdict(Trouble)
        self.turns: list[Turn] = []
        self.purges: list[tuple[int, str, model.Purge]] = []  # when told in fleet time, gateway
        self.news: list[tuple[int, str, str, str]] = []  # changes of the list: when, gateway, node, state
        self.roles: dict[str, str] = {}
        self.services: dict[str, model.Service] = {}
        self.names: dict[tuple[str, int], list[str]] = {}  # of a boot's services, by place
        self.paces_kb: dict[tuple[str, int], float] = {}
        self.models: dict[tuple[str, int], tuple[str, str]] = {}
        self.origin = ""
        self.beliefs: list[tuple[int, str, int, model.Peers]] = []  # as they changed: when, gateway, boot
        self.words: list[tuple[int, str, model.Told | model.Turn]] = []  # of peers: when, gateway
        # of zones, as they changed: when, gateway, boot; one a second while one is not well
        self.zones: list[tuple[int, str, int, model.Zones]] = []
        self.zones_before: dict[tuple[str, int], model.Zones] = {}

    def at(self, gateway: str, boot: int, at: int) -> int:
        return self.clocks.fleet((gateway, boot), at)

    # as accounting.Listener

    def record(self, gateway: str, boot: int, record: model.AnyRecord) -> None:
        if isinstance(record, model.Taken):
            self.taken(gateway, boot, record)
            return
        at = self.at(gateway, boot, record.at)
        if isinstance(record, model.Breaker):
            self.turns.append(Turn(at, gateway, boot, record))
        elif isinstance(record, model.Peers):
            self.beliefs.append((at, gateway, boot, record))
        elif isinstance(record, model.Zones):
            before = self.zones_before.get((gateway, boot))
            well = all(state == "Well" for _, state, _, _ in record.zones)
            if before is None or not well or before.zones != record.zones:
                self.zones.append((at, gateway, boot, record))
            self.zones_before[gateway, boot] = record
        elif isinstance(record, model.Told | model.Turn):
            self.words.append((at, gateway, record))
        elif isinstance(record, model.Purge) and record.number:  # 0: told again after a start
            self.purges.append((at, gateway, record))
        elif isinstance(record, model.Began):
            self.models[gateway, boot] = (record.parent_model, record.origin_model)
            self.paces_kb[gateway, boot] = record.kb_per_s
            self.names[gateway, boot] = [service.name for service in record.services]
            for service in record.services:
                self.services[service.name] = service
        elif isinstance(record, model.Listed):
            self.listed(gateway, boot, at, record)
        elif isinstance(record, model.Turned):
            self.rates.add(at, ("taken", ""))
            self.rates.add(at, (record.outcome, ""))

    def listed(self, gateway: str, boot: int, at: int, record: model.Listed) -> None:
        parent, origin = self.models.get((gateway, boot), ("", ""))
        for line in record.lines:
            role = {parent: "parent", origin: "origin"}.get(line.model, "cache")
            self.roles[line.cache] = role
            if role == "origin":
                self.origin = line.cache
            if not record.whole:
                self.news.append((at, gateway, line.cache, line.state))

    def taken(self, gateway: str, boot: int, record: model.Taken) -> None:
        self.rates.add(self.at(gateway, boot, record.at), ("taken", self.name(gateway, boot, record.service)))

    def name(self, gateway: str, boot: int, place: int) -> str:
        names = self.names.get((gateway, boot), [])
        return names[place] if 0 <= place < len(names) else ""

    def sent(self, get: Get, sent: model.Sent) -> None:
        self.rates.add(self.at(get.gateway, get.boot, sent.at), ("forward", ""))

    def came(self, get: Get, attempt: Attempt) -> None:
        came, sent = attempt.came, attempt.sent
        assert came is not None
        at = self.at(get.gateway, get.boot, sent.at)
        filled = sent.source != sent.cache
        if came.note in (FILLED, VIA_ORIGIN) and came.first_byte > 0 and filled:
            source = self.origin if came.note == VIA_ORIGIN and self.origin else sent.source
            self.paces[get.gateway, source].add(at, came.first_byte)
            self.sources.add(at, source, came.first_byte)
        if came.result in ("recalled", "unsent"):
            return
        if came.note == ORIGIN_FAILED:
            self.failing[get.gateway, self.origin or sent.source].add(at, True, came.took, "origin failed")
        elif came.note in (SRC_REFUSED, SRC_BROKE) and filled:
            kind = "refused" if came.note == SRC_REFUSED else "broke"
            self.failing[get.gateway, sent.source].add(at, True, came.took, kind)
        else:
            bad = came.result in ("unreached", "broken", "errored", "expired")
            self.failing[get.gateway, sent.cache].add(at, bad, came.took, came.result)
            if came.note in (FILLED, VIA_ORIGIN) and filled:
                self.failing[get.gateway, sent.source].add(at, False)
                if came.note == VIA_ORIGIN and self.origin:
                    self.failing[get.gateway, self.origin].add(at, False)

    def answered(self, get: Get) -> None:
        answer, service = get.answered, get.service
        assert answer is not None
        name = service.name if service else ""
        at = self.at(get.gateway, get.boot, answer.at)
        self.rates.add(at, (answer.outcome, name))
        if service is None:
            return
        self.rates.add(at, ("due", name), service.revenue)
        if answer.outcome != "returned":
            return
        took = answer.at - get.taken.at
        pace = self.paces_kb.get((get.gateway, get.boot), 0.0)
        sending = answer.size / 1000 / pace * S if pace else 0.0
        self.latencies.add(at, name, took)
        if took > service.objective + service.stretch * sending:
            self.rates.add(at, ("late", name))
            self.rates.add(at, ("earned", name), service.revenue * service.late_share)
        else:
            self.rates.add(at, ("earned", name), service.revenue)

    def over(self, get: Get, verdict: str) -> None:
        if verdict == "left" and get.service:
            at = self.at(get.gateway, get.boot, get.left)
            self.rates.add(at, ("left", get.service.name))
            self.rates.add(at, ("due", get.service.name), get.service.revenue)

    def stray(self, gateway: str, boot: int, record: Stray) -> None:
        pass  # rules tell of it

    # what follows

    def cost(self, start: int, end: int) -> Cost:
        cost = Cost()
        end = max(end, start + 1)
        for name in ("", *self.services):
            for outcome in ("taken", "returned", "late", "shed", "errored", "left", "due", "earned"):
                more = self.rates.total((outcome, name), start, end)
                setattr(cost, outcome, getattr(cost, outcome) + more)
        return cost

    def phases(self, boots: Iterable[Boot]) -> list[Phase]:
        boots = list(boots)
        found = [
            *self.purged(),
            *self.drains(),
            *self.slow(),
            *self.failed(),
            *self.breakers(boots),
            *self.overloaded(),
            *self.restarts(boots),
            *self.gaps(boots),
            *self.believed(boots),
            *self.lost_zones(boots),
        ]
        found += self.recoveries(found)
        for phase in found:
            phase.cost = self.cost(phase.start, phase.end)
            phase.sure = self.sure(phase, boots)
        return sorted(found, key=lambda phase: (phase.start, phase.end, phase.kind, phase.subject))

    def sure(self, phase: Phase, boots: list[Boot]) -> int:
        """By the least sure clock of those that saw it begin or end; all gateways' where none is named."""
        concerned = [
            self.clocks.sure(boot.gateway_boot)
            for boot in boots
            if (not phase.gateways or boot.gateway in phase.gateways)
            and self.at(boot.gateway, boot.number, boot.first) <= phase.end
            and self.at(boot.gateway, boot.number, boot.last) >= phase.start
        ]
        return -1 if not concerned or min(concerned) < 0 else max(concerned)

    def purged(self) -> list[Phase]:
        phases: list[Phase] = []
        cluster: list[tuple[int, str, model.Purge]] = []
        for entry in [*sorted(self.purges, key=lambda entry: (entry[0], entry[1])), None]:
            if entry is not None and (not cluster or entry[0] - cluster[-1][0] <= CLUSTER):
                cluster.append(entry)
                continue
            if cluster:
                phases.append(self.purge(cluster))
            cluster = [entry] if entry is not None else []
        return phases

    def purge(self, cluster: list[tuple[int, str, model.Purge]]) -> Phase:
        what = {(purge.thing, purge.group, purge.issued) for _, _, purge in cluster}
        groups, things = sum(not w[0] for w in what), sum(bool(w[0]) for w in what)
        told: dict[tuple[str, int, int], list[int]] = defaultdict(list)
        for at, _, purge in cluster:
            told[purge.thing, purge.group, purge.issued].append(at)
        apart = max(max(times) - min(times) for times in told.values())
        parts = [f"{groups} groups"] * (groups > 0) + [f"{things} objects"] * (things > 0)
        gateways = sorted({gateway for _, gateway, _ in cluster})
        evidence = [f"{' and '.join(parts)} purged, told to {len(gateways)} gateways",
                    f"the same purge reached gateways within {apart / MS:.0f} ms of each other"]  # fmt: skip
        return Phase("purge", " and ".join(parts), cluster[0][0], cluster[-1][0], evidence, gateways)

    def drains(self) -> list[Phase]:
        """From the first gateway's being told that a node leaves until the first is told that it is back or
        gone."""
        phases: list[Phase] = []
        under_way: dict[str, Phase] = {}
        for at, gateway, node, state in sorted(self.news):
            phase = under_way.get(node)
            if state == "leaving" and phase is None:
                phase = Phase("drain", self.told(node), at, at, [], [gateway], open=True)
                under_way[node] = phase
                phases.append(phase)
            elif phase is not None and state == "leaving" and gateway not in phase.gateways:
                phase.gateways.append(gateway)
            elif phase is not None and state != "leaving":
                phase.end, phase.open = at, False
                phase.evidence.append({"left": "it is gone"}.get(state, "it came back"))
                del under_way[node]
            if phase is not None and phase.open:
                phase.end = max(phase.end, at)
        last = self.rates.span()[1]
        for phase in phases:
            phase.end = max(phase.end, last) if phase.open else phase.end
            phase.gateways.sort()
            phase.evidence.insert(0, f"told to {len(phase.gateways)} gateways that it leaves")
        return phases

    def spans(self, found: dict[tuple[str, str], list[Span]]) -> list[tuple[str, list[tuple[str, Span]]]]:
        """Spans of one node that overlap or nearly do, seen by whichever gateways, belong together."""
        by_node: dict[str, list[tuple[str, Span]]] = defaultdict(list)
        for (gateway, node), mine in found.items():
            by_node[node] += [(gateway, span) for span in mine]
        together: list[tuple[str, list[tuple[str, Span]]]] = []
        for node, spans in sorted(by_node.items()):
            group: list[tuple[str, Span]] = []
            until = 0
            for gateway, span in sorted(spans, key=lambda one: one[1].start):
                if group and span.start > until + NEAR:
                    together.append((node, group))
                    group = []
                group.append((gateway, span))
                until = max(until, span.end) if len(group) > 1 else span.end
            if group:
                together.append((node, group))
        return together

    def slow(self) -> list[Phase]:
        phases = []
        for node, group in self.spans({key: pace.trouble.spans for key, pace in self.paces.items()}):
            usual = median(self.paces[gateway, node].usual for gateway, _ in group)
            worst = max(span.worst for _, span in group)
            count = sum(span.count for _, span in group)
            evidence = [f"{count} fills with a first byte of over {SLOW_TIMES:g} times the usual "
                        f"{usual / MS:.0f} ms, {worst / MS:.0f} ms at the worst"]  # fmt: skip
            phases.append(self.of(group, "slow-source", node, evidence))
        return phases

    def failed(self) -> list[Phase]:
        phases = []
        for node, group in self.spans({key: trouble.spans for key, trouble in self.failing.items()}):
            kinds: Counter[str] = Counter()
            for _, span in group:
                kinds.update(span.kinds)
            told = ", ".join(f"{count} {kind}" for kind, count in kinds.most_common())
            phases.append(self.of(group, "failing", node, [f"forwards that ended badly: {told}"]))
        return phases

    def of(self, group: list[tuple[str, Span]], kind: str, node: str, evidence: list[str]) -> Phase:
        start, end = min(span.start for _, span in group), max(span.end for _, span in group)
        gateways = sorted({gateway for gateway, _ in group})
        evidence.append(f"seen by {', '.join(gateways)}")
        unseen = [span for _, span in group if not span.after]
        return Phase(kind, self.told(node), start, max(start, end), evidence, gateways, open=bool(unseen))

    def told(self, node: str) -> str:
        return f"{self.roles.get(node, 'node')} {node}"

    def breakers(self, boots: list[Boot]) -> list[Phase]:
        ends = {boot.gateway_boot: self.at(boot.gateway, boot.number, boot.last) for boot in boots}
        spans: dict[tuple[str, str], list[tuple[str, Span]]] = defaultdict(list)
        by_gateway: dict[tuple[str, int, str], list[Turn]] = defaultdict(list)
        for turn in self.turns:
            by_gateway[turn.gateway, turn.boot, turn.record.node].append(turn)
        judged: dict[tuple[str, str], list[str]] = defaultdict(list)
        for (gateway, boot, node), turns in by_gateway.items():
            for turn, following in zip(turns, [*turns[1:], None], strict=True):
                state = turn.record.state
                if state == "Closed":
                    continue
                end = following.at if following else ends.get((gateway, boot), turn.at)
                span = Span(turn.at, end, end if following else 0, 1)
                spans[state, node].append((gateway, span))
                if state == "Open":
                    told = turn.record
                    window = f"{told.failures:g} of {told.count:g} in the window"
                    judged["Open", node].append(f"{gateway}: {told.run} bad in a row, {window}")
        phases = []
        for (state, node), found in sorted(spans.items()):
            for _, group in self.spans({(gateway, node): [s for g, s in found if g == gateway]
                                        for gateway in {g for g, _ in found}}):  # fmt: skip
                evidence = [f"{len(group)} times"]
                if state == "Open":
                    evidence += judged["Open", node][:6]
                evidence += self.said(node, group)
                kind = "open" if state == "Open" else "half-open"
                phases.append(self.of(group, kind, node, evidence))
        return phases

    def said(self, node: str, group: list[tuple[str, Span]]) -> list[str]:
        """What peers told of a node meanwhile, and who tried it for all."""
        start, end = min(span.start for _, span in group), max(span.end for _, span in group)
        counted: dict[str, Counter[str]] = {}
        for at, gateway, word in self.words:
            if word.node == node and start <= at <= end:
                what = f"told {word.what}" if isinstance(word, model.Told) else f"trials {word.state}"
                counted.setdefault(what, Counter())[gateway] += 1
        return [
            f"by peers, {what}: " + ", ".join(f"{name} {count}" for name, count in sorted(by.items()))
            for what, by in sorted(counted.items())
        ]

    def believed(self, boots: list[Boot]) -> list[Phase]:
        """Spans in which gateways believed the fleet split, or themselves cut off or unheard."""
        ends = {boot.gateway_boot: self.at(boot.gateway, boot.number, boot.last) for boot in boots}
        spans: dict[tuple[str, str], list[Span]] = defaultdict(list)
        silent: dict[str, dict[str, list[int]]] = defaultdict(dict)
        latest: dict[tuple[str, int], tuple[str, Span]] = {}
        for at, gateway, boot, record in sorted(self.beliefs, key=lambda one: one[:3]):
            before, span = latest.get((gateway, boot), ("well", None))
            if record.standing != before:
                if span is not None:
                    span.last = span.after = at
                fresh = Span(at, ends.get((gateway, boot), at), 0, 1)
                latest[gateway, boot] = (record.standing, fresh)
                if record.standing != "well":
                    spans[gateway, record.standing].append(fresh)
            if record.standing != "well":
                silent[record.standing][gateway] = record.silent
        phases = []
        for standing, group in self.spans(spans):
            told = [f"{name} hears nothing of {', '.join(map(str, places)) or 'nobody in particular'}"
                    for name, places in sorted(silent[standing].items())]  # fmt: skip
            phase = self.of(group, "peers", standing, told[:8])
            phase.subject = standing
            phases.append(phase)
        return phases

    def lost_zones(self, boots: list[Boot]) -> list[Phase]:
        """Spans in which gateways held a zone for anything but well: from when to when each held what, how
        long they disagreed, and what spilled out of it."""
        ends = {boot.gateway_boot: self.at(boot.gateway, boot.number, boot.last) for boot in boots}
        spans: dict[tuple[str, str], list[Span]] = defaultdict(list)
        held: dict[str, list[tuple[int, str, str]]] = defaultdict(list)  # by zone: when, gateway, state
        latest: dict[tuple[str, int, str], tuple[str, Span | None]] = {}
        spilt: dict[tuple[str, int], list[tuple[int, model.Zones]]] = defaultdict(list)
        for at, gateway, boot, record in sorted(self.zones, key=lambda one: one[:3]):
            spilt[gateway, boot].append((at, record))
            for zone, state, _, _ in record.zones:
                before, span = latest.get((gateway, boot, zone), ("Well", None))
                if span is not None:
                    span.last = span.after = at
                if state == before:
                    continue
                held[zone].append((at, gateway, state))
                if state == "Well":
                    span = None
                elif span is None:
                    span = Span(at, ends.get((gateway, boot), at), 0, 1)
                    spans[gateway, zone].append(span)
                latest[gateway, boot, zone] = state, span
        phases = []
        for zone, group in self.spans(spans):
            start, end = min(span.start for _, span in group), max(span.end for _, span in group)
            evidence = []
            for state in ("Doubted", "Lost", "Lost here", "Cut off", "Returning", "Well"):
                when = [(at, name) for at, name, what in held[zone] if what == state and start <= at <= end]
                if when:
                    names = sorted({name for _, name in when})
                    spread = (max(when)[0] - min(when)[0]) / S
                    told = ", ".join(names[:6]) + (", ..." if len(names) > 6 else "")
                    first = (min(when)[0] - start) / S
                    evidence.append(
                        f"{state}: {told}, the first {first:.1f} s on, the last {spread:.1f} s later"
                    )
            phase = self.of(group, "zone", zone, evidence + self.spill(zone, start, end, spilt))
            phase.subject = f"zone {zone}"
            phases.append(phase)
        return phases

    def spill(
        self, zone: str, start: int, end: int, told: dict[tuple[str, int], list[tuple[int, model.Zones]]]
    ) -> list[str]:
        """What left it meanwhile, by where it went."""
        counted: Counter[str] = Counter()
        limits: dict[str, float] = {}
        for records in told.values():
            span = [record for at, record in records if start <= at <= end]
            for sign, record in ((1, span[-1]), (-1, span[0])) if span else ():
                for home, other, count, limit in record.spilt:
                    if home == zone:
                        counted[other] += sign * count
                        limits[other] = limit
        seconds = max(0.1, (end - start) / S)
        return [f"spilled into {other}: {count} fills, {count / seconds:.1f} a second of {limits[other]:g}"
                for other, count in sorted(counted.items()) if count > 0]  # fmt: skip

    def overloaded(self) -> list[Phase]:
        names = ("", *self.services)
        width, phases = self.rates.width, list[Phase]()
        start = end = -1
        shed_all = 0.0

        def done() -> None:
            if start >= 0:
                evidence = [f"{shed_all:.0f} GETs shed, over {SHED_SHARE:.0%} of those that ended"]
                phases.append(Phase("overload", "fleet", start, end, evidence, []))

        for place in sorted(self.rates.buckets):
            bucket = self.rates.buckets[place]
            shed = sum(bucket.get(("shed", name), 0.0) for name in names)
            ended = shed + sum(
                bucket.get((o, name), 0.0) for name in names for o in ("returned", "errored", "left")
            )
            if shed < SHED_LEAST or shed < SHED_SHARE * ended:
                continue
            at = place * width
            if start >= 0 and at - end <= CLUSTER:
                end, shed_all = at + width, shed_all + shed
            else:
                done()
                start, end, shed_all = at, at + width, shed
        done()
        return phases

    def restarts(self, boots: list[Boot]) -> list[Phase]:
        phases, before = list[Phase](), dict[str, Boot]()
        for boot in sorted(boots, key=lambda boot: (boot.gateway, boot.number)):
            earlier = before.get(boot.gateway)
            before[boot.gateway] = boot
            if earlier is None:
                continue
            start = self.at(earlier.gateway, earlier.number, earlier.last)
            end = max(start, self.at(boot.gateway, boot.number, boot.first))
            how = "ended cleanly" if earlier.stopped else "was killed or crashed: no record of its end"
            lost = earlier.verdicts["crash"]
            evidence = [f"boot {earlier.number} {how}, boot {boot.number} followed",
                        f"nothing is recorded for {(end - start) / S:.2f} s"]  # fmt: skip
            if lost:
                evidence.append(f"{lost} GETs that were open were lost with it")
            phases.append(Phase("restart", f"gateway {boot.gateway}", start, end, evidence, [boot.gateway]))
        return phases

    def gaps(self, boots: list[Boot]) -> list[Phase]:
        phases = []
        for boot in boots:
            for since, until, count, why in boot.gaps:
                if why in ("torn", "removed") or not boot.records:
                    continue  # a torn end belongs to the restart that follows
                start, end = (self.at(boot.gateway, boot.number, at) for at in (since, until))
                told = f"{count} records" if count >= 0 else "an unknown number of records"
                evidence = [f"{told} missing in boot {boot.number}: {why}"]
                phases.append(Phase("gap", f"gateway {boot.gateway}", min(start, end), end, evidence,
                                    [boot.gateway]))  # fmt: skip
        return phases

    def recoveries(self, found: list[Phase]) -> list[Phase]:
        """After each trouble, until GETs are as well off as before it."""
        troubles = sorted(
            (p for p in found if p.kind not in ("gap", "half-open", "drain")), key=lambda p: p.start
        )
        if not troubles:
            return []
        groups: list[list[Phase]] = []
        until = 0
        for trouble in troubles:
            if groups and trouble.start <= until + APART:
                groups[-1].append(trouble)
                until = max(until, trouble.end)
            else:
                groups.append([trouble])
                until = trouble.end
        first, last = self.rates.span()
        before = [
            self.cost(at, at + self.rates.width).missed
            for at in range(first + S, troubles[0].start - self.rates.width, self.rates.width)
        ]
        usual = median(before) if before else 0.0
        well = max(2 * usual, QUIET)
        phases = []
        for place, group in enumerate(groups):
            start = max(p.end for p in group)
            limit = groups[place + 1][0].start if place + 1 < len(groups) else last
            if start >= limit or any(p.open for p in group):
                continue  # the records end before the trouble does
            end = self.calm(start, limit, well)
            if end is not None and end - start <= self.rates.width:
                continue  # all was well again with the end of the trouble
            evidence = [f"until {1 - well:.0%} of the GETs are in time again for {CALM / S:g} s"]
            if end is None:
                evidence = [f"{1 - well:.0%} of the GETs in time was not reached again"]
            subject = "fleet"
            phases.append(
                Phase(
                    "recovery", subject, start, limit if end is None else end, evidence, [], open=end is None
                )
            )
        return phases

    def calm(self, start: int, limit: int, well: float) -> int | None:
        width = self.rates.width
        at = start
        while at + CALM <= limit:
            if self.cost(at, at + CALM).missed <= well:
                return at
            at += width
        return None
