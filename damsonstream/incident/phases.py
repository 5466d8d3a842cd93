"""Reconstructs the phases of an incident from records alone. No I/O.

`PhaseDetector(clocks)` is an `accounting.Listener` for the ledgers of all gateways, in any order of gateways.
`phases(boots)` then returns the phases ordered by start, in fleet time, each with its evidence and its cost.
Times are ticks of 0.1 ms.

Kinds of phases: purge, drain, slow-source, failing, open, half-open, overload, restart, gap, peers (gateways
saw the fleet split, or themselves isolated), zone (some gateway saw a zone in another state than Well) and
recovery.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

from damsonstream.incident.accounting import Boot, Forward, Get, StrayRecord
from damsonstream.incident.clocks import Clocks
from damsonstream.incident.time_buckets import Latencies, TimeBuckets
from damsonstream.records import model

MS, S = 10, 10_000
FILLED, VIA_ORIGIN, SOURCE_REFUSED, SOURCE_BROKE, ORIGIN_FAILED = 2, 3, 6, 7, 10  # notes of Came records
# A first byte is slow if it exceeds the baseline of its source by both this factor and this margin: the
# latency of a busy source varies less than that by itself. The baseline starts as the median of the first
# samples and is then an EWMA of the fills that are not slow, over about twenty of them.
SLOW_FACTOR, SLOW_MARGIN, BASELINE_WEIGHT, BASELINE_SAMPLES = 3.0, 50 * MS, 0.05, 8
# Trouble starts with three bad samples among the last four, at the time of the first of them, and ends after
# five good samples in a row: a single lost connection is no phase, and a single good fill is no recovery.
DETECTION_WINDOW, BAD_TO_START, GOOD_TO_END = 4, 3, 5
SPAN_MERGE_GAP = 3 * S  # spans of one node that are closer, at any gateways, are merged into one phase
CLUSTER_GAP = 2 * S  # purges, or buckets with overload, that are closer are merged into one phase
# A time bucket is overloaded if at least this share of its ended GETs, and at least this number, are shed.
OVERLOAD_SHED_SHARE, OVERLOAD_MIN_SHED = 0.1, 3
RECOVERY_WINDOW = 2 * S  # a recovery is complete once the rate of missed GETs stays low for this long
RECOVERY_MERGE_GAP = 10 * S  # phases that are further apart have separate recoveries
MIN_MISSED_SHARE = 0.02  # share of GETs that are not returned in time in normal operation


@dataclass(slots=True)
class Cost:
    """Outcomes of the GETs during a phase. The fields are also keys of the JSON report."""

    taken: float = 0.0
    returned: float = 0.0
    late: float = 0.0  # returned after the latency objective; included in `returned`
    shed: float = 0.0
    errored: float = 0.0
    left: float = 0.0
    due: float = 0.0  # revenue if all had been returned in time
    earned: float = 0.0  # revenue of the actual answers

    @property
    def missed(self) -> float:
        """Share of the ended GETs that were not returned in time."""
        lost = self.late + self.shed + self.errored + self.left
        ended = self.returned + self.shed + self.errored + self.left
        return lost / ended if ended else 0.0


@dataclass(slots=True)
class Phase:
    """A part of the incident, in fleet time."""

    kind: str
    subject: str  # node, gateway, zone, state of the peers or number of purges
    start: int
    end: int
    evidence: list[str]
    gateways: list[str]
    sure: int = 0  # uncertainty: maximum error of start and end, -1: not known
    open: bool = False  # it had not ended at the end of the records
    cost: Cost = field(default_factory=Cost)


@dataclass(slots=True)
class TroubleSpan:
    """A period of bad samples of one node, as observed by one gateway."""

    start: int
    last_bad: int  # when the last bad sample was sent
    first_good: int = 0  # when the first good sample after it was sent, 0: none yet
    count: int = 0  # bad samples
    worst: int = 0  # largest magnitude of a bad sample
    kinds: Counter[str] = field(default_factory=Counter)

    @property
    def end(self) -> int:
        """Midpoint between the last bad and the next good sample, which halves the maximum error."""
        return (self.last_bad + self.first_good) // 2 if self.first_good else self.last_bad


class TroubleDetector:
    """Finds spans of trouble in the samples that one gateway has of one node, in order of their arrival."""

    def __init__(self) -> None:
        self.spans: list[TroubleSpan] = []
        # sent, bad, magnitude, kind
        self.recent: deque[tuple[int, bool, int, str]] = deque(maxlen=DETECTION_WINDOW)
        self.current: TroubleSpan | None = None
        self.good_run = 0  # consecutive good samples

    def add(self, sent: int, bad: bool, magnitude: int = 0, kind: str = "") -> None:
        self.recent.append((sent, bad, magnitude, kind))
        span = self.current
        if span is None:
            bad_samples = [one for one in self.recent if one[1]]
            if len(bad_samples) >= BAD_TO_START:
                span = self.current = TroubleSpan(min(one[0] for one in bad_samples), 0)
                self.spans.append(span)
                for one in bad_samples:
                    self.extend(span, *one)
                self.good_run = 0
        elif bad:
            self.extend(span, sent, bad, magnitude, kind)
            if sent >= span.first_good:
                span.first_good = 0
            self.good_run = 0
        else:
            if sent > span.last_bad and (not span.first_good or sent < span.first_good):
                span.first_good = sent
            self.good_run += 1
            if self.good_run >= GOOD_TO_END:
                self.current = None
                self.recent.clear()

    def extend(self, span: TroubleSpan, sent: int, bad: bool, magnitude: int, kind: str) -> None:
        span.start, span.last_bad = min(span.start, sent), max(span.last_bad, sent)
        span.count += 1
        span.worst = max(span.worst, magnitude)
        span.kinds[kind] += 1


class SlowFillDetector:
    """Detects slow fills of one source at one gateway by their time to the first byte."""

    def __init__(self) -> None:
        self.baseline, self.sample_count = 0.0, 0
        self.first_samples: list[int] = []
        self.trouble = TroubleDetector()

    def add(self, sent: int, first_byte: int) -> None:
        if self.sample_count < BASELINE_SAMPLES:  # the first samples define the baseline
            self.first_samples.append(first_byte)
            self.sample_count += 1
            self.baseline = median(self.first_samples)
            return
        slow = first_byte > SLOW_FACTOR * self.baseline and first_byte > self.baseline + SLOW_MARGIN
        if not slow:
            self.baseline += BASELINE_WEIGHT * (first_byte - self.baseline)
        self.trouble.add(sent, slow, first_byte, "slow")


@dataclass(slots=True)
class BreakerChange:
    """A state change of a breaker, in fleet time."""

    at: int
    gateway: str
    boot: int
    record: model.Breaker


class PhaseDetector:
    """Collects events of all gateways and derives phases.

    Memory grows with the time span and the number of nodes, not with the number of GETs.
    """

    def __init__(self, clocks: Clocks, width: int = S // 2) -> None:
        self.clocks = clocks
        self.rates = TimeBuckets(width)
        # time from accepting a GET to returning its answer, by delivery service; first bytes, by source
        self.latencies, self.source_latencies = Latencies(), Latencies()
        # by gateway and node
        self.first_bytes: dict[tuple[str, str], SlowFillDetector] = defaultdict(SlowFillDetector)
        self.forward_results: dict[tuple[str, str], TroubleDetector] = defaultdict(TroubleDetector)
        self.breaker_changes: list[BreakerChange] = []
        self.purges: list[tuple[int, str, model.Purge]] = []  # received (fleet time), gateway
        self.cache_changes: list[tuple[int, str, str, str]] = []  # time, gateway, node, state
        self.roles: dict[str, str] = {}  # by node: parent, origin or cache
        self.services: dict[str, model.Service] = {}
        self.service_names: dict[tuple[str, int], list[str]] = {}  # of each boot, by index
        self.client_kb_per_s: dict[tuple[str, int], float] = {}
        self.models: dict[tuple[str, int], tuple[str, str]] = {}  # of parents and origins, by boot
        self.origin = ""  # name of the origin node
        self.peer_views: list[tuple[int, str, int, model.Peers]] = []  # time, gateway, boot
        self.peer_reports: list[tuple[int, str, model.Told | model.Turn]] = []  # time, gateway
        # Time, gateway, boot; only changes, and all records while any zone is not Well.
        self.zone_views: list[tuple[int, str, int, model.Zones]] = []
        self.last_zones: dict[tuple[str, int], model.Zones] = {}

    def fleet_time(self, gateway: str, boot: int, at: int) -> int:
        return self.clocks.fleet((gateway, boot), at)

    # accounting.Listener

    def record(self, gateway: str, boot: int, record: model.AnyRecord) -> None:
        if isinstance(record, model.Taken):
            self.add_taken(gateway, boot, record)
            return
        at = self.fleet_time(gateway, boot, record.at)
        if isinstance(record, model.Breaker):
            self.breaker_changes.append(BreakerChange(at, gateway, boot, record))
        elif isinstance(record, model.Peers):
            self.peer_views.append((at, gateway, boot, record))
        elif isinstance(record, model.Zones):
            previous = self.last_zones.get((gateway, boot))
            all_well = all(state == "Well" for _, state, _, _ in record.zones)
            if previous is None or not all_well or previous.zones != record.zones:
                self.zone_views.append((at, gateway, boot, record))
            self.last_zones[gateway, boot] = record
        elif isinstance(record, model.Told | model.Turn):
            self.peer_reports.append((at, gateway, record))
        elif isinstance(record, model.Purge) and record.number:  # 0: repeated after a start
            self.purges.append((at, gateway, record))
        elif isinstance(record, model.Began):
            self.models[gateway, boot] = (record.parent_model, record.origin_model)
            self.client_kb_per_s[gateway, boot] = record.kb_per_s
            self.service_names[gateway, boot] = [service.name for service in record.services]
            for service in record.services:
                self.services[service.name] = service
        elif isinstance(record, model.Listed):
            self.update_caches(gateway, boot, at, record)
        elif isinstance(record, model.Turned):
            self.rates.add(at, ("taken", ""))
            self.rates.add(at, (record.outcome, ""))

    def update_caches(self, gateway: str, boot: int, at: int, record: model.Listed) -> None:
        parent, origin = self.models.get((gateway, boot), ("", ""))
        for line in record.lines:
            role = {parent: "parent", origin: "origin"}.get(line.model, "cache")
            self.roles[line.cache] = role
            if role == "origin":
                self.origin = line.cache
            if not record.whole:
                self.cache_changes.append((at, gateway, line.cache, line.state))

    def add_taken(self, gateway: str, boot: int, record: model.Taken) -> None:
        self.rates.add(
            self.fleet_time(gateway, boot, record.at),
            ("taken", self.service_name(gateway, boot, record.service)),
        )

    def service_name(self, gateway: str, boot: int, index: int) -> str:
        names = self.service_names.get((gateway, boot), [])
        return names[index] if 0 <= index < len(names) else ""

    def forward_sent(self, get: Get, sent: model.Sent) -> None:
        self.rates.add(self.fleet_time(get.gateway, get.boot, sent.at), ("forward", ""))

    def forward_ended(self, get: Get, leg: Forward) -> None:
        came, sent = leg.came, leg.sent
        assert came is not None
        at = self.fleet_time(get.gateway, get.boot, sent.at)
        is_fill = sent.source != sent.cache
        if came.note in (FILLED, VIA_ORIGIN) and came.first_byte > 0 and is_fill:
            source = self.origin if came.note == VIA_ORIGIN and self.origin else sent.source
            self.first_bytes[get.gateway, source].add(at, came.first_byte)
            self.source_latencies.add(at, source, came.first_byte)
        if came.result in ("recalled", "unsent"):
            return
        if came.note == ORIGIN_FAILED:
            self.forward_results[get.gateway, self.origin or sent.source].add(
                at, True, came.took, "origin failed"
            )
        elif came.note in (SOURCE_REFUSED, SOURCE_BROKE) and is_fill:
            kind = "refused" if came.note == SOURCE_REFUSED else "broke"
            self.forward_results[get.gateway, sent.source].add(at, True, came.took, kind)
        else:
            bad = came.result in ("unreached", "broken", "errored", "expired")
            self.forward_results[get.gateway, sent.cache].add(at, bad, came.took, came.result)
            if came.note in (FILLED, VIA_ORIGIN) and is_fill:
                self.forward_results[get.gateway, sent.source].add(at, False)
                if came.note == VIA_ORIGIN and self.origin:
                    self.forward_results[get.gateway, self.origin].add(at, False)

    def answered(self, get: Get) -> None:
        answer, service = get.answered, get.service
        assert answer is not None
        name = service.name if service else ""
        at = self.fleet_time(get.gateway, get.boot, answer.at)
        self.rates.add(at, (answer.outcome, name))
        if service is None:
            return
        self.rates.add(at, ("due", name), service.revenue)
        if answer.outcome != "returned":
            return
        duration = answer.at - get.taken.at
        kb_per_s = self.client_kb_per_s.get((get.gateway, get.boot), 0.0)
        sending = answer.size / 1000 / kb_per_s * S if kb_per_s else 0.0
        self.latencies.add(at, name, duration)
        if duration > service.objective + service.stretch * sending:
            self.rates.add(at, ("late", name))
            self.rates.add(at, ("earned", name), service.revenue * service.late_share)
        else:
            self.rates.add(at, ("earned", name), service.revenue)

    def get_ended(self, get: Get, verdict: str) -> None:
        if verdict == "left" and get.service:
            at = self.fleet_time(get.gateway, get.boot, get.left_at)
            self.rates.add(at, ("left", get.service.name))
            self.rates.add(at, ("due", get.service.name), get.service.revenue)

    def stray(self, gateway: str, boot: int, record: StrayRecord) -> None:
        pass  # reported by the rules

    # results

    def cost(self, start: int, end: int) -> Cost:
        """Returns the outcomes of the GETs from `start` to `end`."""
        cost = Cost()
        end = max(end, start + 1)
        for name in ("", *self.services):
            for outcome in ("taken", "returned", "late", "shed", "errored", "left", "due", "earned"):
                amount = self.rates.total((outcome, name), start, end)
                setattr(cost, outcome, getattr(cost, outcome) + amount)
        return cost

    def phases(self, boots: Iterable[Boot]) -> list[Phase]:
        """Returns all phases, ordered by start."""
        boots = list(boots)
        phases = [
            *self.find_purges(),
            *self.find_drains(),
            *self.find_slow_sources(),
            *self.find_failing(),
            *self.find_breaker_phases(boots),
            *self.find_overloads(),
            *self.find_restarts(boots),
            *self.find_gaps(boots),
            *self.find_peer_phases(boots),
            *self.find_zone_phases(boots),
        ]
        phases += self.find_recoveries(phases)
        for phase in phases:
            phase.cost = self.cost(phase.start, phase.end)
            phase.sure = self.uncertainty(phase, boots)
        return sorted(phases, key=lambda phase: (phase.start, phase.end, phase.kind, phase.subject))

    def uncertainty(self, phase: Phase, boots: list[Boot]) -> int:
        """Returns the largest clock uncertainty among the phase's gateways, or all if none is named."""
        uncertainties = [
            self.clocks.uncertainty(boot.gateway_boot)
            for boot in boots
            if (not phase.gateways or boot.gateway in phase.gateways)
            and self.fleet_time(boot.gateway, boot.number, boot.first) <= phase.end
            and self.fleet_time(boot.gateway, boot.number, boot.last) >= phase.start
        ]
        return -1 if not uncertainties or min(uncertainties) < 0 else max(uncertainties)

    def find_purges(self) -> list[Phase]:
        """Finds purges; those that are close together form one phase."""
        phases: list[Phase] = []
        cluster: list[tuple[int, str, model.Purge]] = []
        for entry in [*sorted(self.purges, key=lambda entry: (entry[0], entry[1])), None]:
            if entry is not None and (not cluster or entry[0] - cluster[-1][0] <= CLUSTER_GAP):
                cluster.append(entry)
                continue
            if cluster:
                phases.append(self.purge_phase(cluster))
            cluster = [entry] if entry is not None else []
        return phases

    def purge_phase(self, cluster: list[tuple[int, str, model.Purge]]) -> Phase:
        purges = {(purge.thing, purge.group, purge.issued) for _, _, purge in cluster}
        groups, objects = sum(not key[0] for key in purges), sum(bool(key[0]) for key in purges)
        received: dict[tuple[str, int, int], list[int]] = defaultdict(list)
        for at, _, purge in cluster:
            received[purge.thing, purge.group, purge.issued].append(at)
        spread = max(max(times) - min(times) for times in received.values())
        parts = [f"{groups} groups"] * (groups > 0) + [f"{objects} objects"] * (objects > 0)
        gateways = sorted({gateway for _, gateway, _ in cluster})
        evidence = [f"{' and '.join(parts)} purged, received by {len(gateways)} gateways",
                    f"the same purge reached gateways within {spread / MS:.0f} ms of each other"]  # fmt: skip
        return Phase("purge", " and ".join(parts), cluster[0][0], cluster[-1][0], evidence, gateways)

    def find_drains(self) -> list[Phase]:
        """Finds drains, from the first notice that a node is leaving to that of its removal or return."""
        phases: list[Phase] = []
        active: dict[str, Phase] = {}
        for at, gateway, node, state in sorted(self.cache_changes):
            phase = active.get(node)
            if state == "leaving" and phase is None:
                phase = Phase("drain", self.node_label(node), at, at, [], [gateway], open=True)
                active[node] = phase
                phases.append(phase)
            elif phase is not None and state == "leaving" and gateway not in phase.gateways:
                phase.gateways.append(gateway)
            elif phase is not None and state != "leaving":
                phase.end, phase.open = at, False
                phase.evidence.append({"left": "removed"}.get(state, "active again"))
                del active[node]
            if phase is not None and phase.open:
                phase.end = max(phase.end, at)
        last = self.rates.span()[1]
        for phase in phases:
            phase.end = max(phase.end, last) if phase.open else phase.end
            phase.gateways.sort()
            phase.evidence.insert(0, f"{len(phase.gateways)} gateways were notified that it is leaving")
        return phases

    def group_spans(
        self, by_source: dict[tuple[str, str], list[TroubleSpan]]
    ) -> list[tuple[str, list[tuple[str, TroubleSpan]]]]:
        """Groups spans of one node that overlap or nearly overlap, across all gateways."""
        by_node: dict[str, list[tuple[str, TroubleSpan]]] = defaultdict(list)
        for (gateway, node), node_spans in by_source.items():
            by_node[node] += [(gateway, span) for span in node_spans]
        groups: list[tuple[str, list[tuple[str, TroubleSpan]]]] = []
        for node, spans in sorted(by_node.items()):
            group: list[tuple[str, TroubleSpan]] = []
            until = 0
            for gateway, span in sorted(spans, key=lambda one: one[1].start):
                if group and span.start > until + SPAN_MERGE_GAP:
                    groups.append((node, group))
                    group = []
                group.append((gateway, span))
                until = max(until, span.end) if len(group) > 1 else span.end
            if group:
                groups.append((node, group))
        return groups

    def find_slow_sources(self) -> list[Phase]:
        """Finds spans in which fills from a source took longer than usual to the first byte."""
        phases = []
        for node, group in self.group_spans(
            {key: fills.trouble.spans for key, fills in self.first_bytes.items()}
        ):
            baseline = median(self.first_bytes[gateway, node].baseline for gateway, _ in group)
            worst = max(span.worst for _, span in group)
            count = sum(span.count for _, span in group)
            evidence = [f"{count} fills with a first byte of over {SLOW_FACTOR:g} times the baseline of "
                        f"{baseline / MS:.0f} ms, at most {worst / MS:.0f} ms"]  # fmt: skip
            phases.append(self.span_phase(group, "slow-source", node, evidence))
        return phases

    def find_failing(self) -> list[Phase]:
        """Finds spans in which forwards to a node, or fills from it, failed."""
        phases = []
        for node, group in self.group_spans(
            {key: results.spans for key, results in self.forward_results.items()}
        ):
            kinds: Counter[str] = Counter()
            for _, span in group:
                kinds.update(span.kinds)
            counts = ", ".join(f"{count} {kind}" for kind, count in kinds.most_common())
            phases.append(self.span_phase(group, "failing", node, [f"failed forwards: {counts}"]))
        return phases

    def span_phase(
        self, group: list[tuple[str, TroubleSpan]], kind: str, node: str, evidence: list[str]
    ) -> Phase:
        """Returns the phase that covers a group of spans of one node."""
        start, end = min(span.start for _, span in group), max(span.end for _, span in group)
        gateways = sorted({gateway for gateway, _ in group})
        evidence.append(f"seen by {', '.join(gateways)}")
        unended = [span for _, span in group if not span.first_good]
        return Phase(
            kind, self.node_label(node), start, max(start, end), evidence, gateways, open=bool(unended)
        )

    def node_label(self, node: str) -> str:
        return f"{self.roles.get(node, 'node')} {node}"

    def find_breaker_phases(self, boots: list[Boot]) -> list[Phase]:
        """Finds spans in which breakers of a node were open or half-open."""
        ends = {boot.gateway_boot: self.fleet_time(boot.gateway, boot.number, boot.last) for boot in boots}
        spans: dict[tuple[str, str], list[tuple[str, TroubleSpan]]] = defaultdict(list)
        by_gateway: dict[tuple[str, int, str], list[BreakerChange]] = defaultdict(list)
        for change in self.breaker_changes:
            by_gateway[change.gateway, change.boot, change.record.node].append(change)
        reasons: dict[tuple[str, str], list[str]] = defaultdict(list)
        for (gateway, boot, node), changes in by_gateway.items():
            for change, following in zip(changes, [*changes[1:], None], strict=True):
                state = change.record.state
                if state == "Closed":
                    continue
                end = following.at if following else ends.get((gateway, boot), change.at)
                span = TroubleSpan(change.at, end, end if following else 0, 1)
                spans[state, node].append((gateway, span))
                if state == "Open":
                    record = change.record
                    window = f"{record.failures:g} of {record.count:g} in the window"
                    reasons["Open", node].append(f"{gateway}: {record.run} bad in a row, {window}")
        phases = []
        for (state, node), node_spans in sorted(spans.items()):
            for _, group in self.group_spans({(gateway, node): [s for g, s in node_spans if g == gateway]
                                              for gateway in {g for g, _ in node_spans}}):  # fmt: skip
                evidence = [f"{len(group)} times"]
                if state == "Open":
                    evidence += reasons["Open", node][:6]
                evidence += self.peer_evidence(node, group)
                kind = "open" if state == "Open" else "half-open"
                phases.append(self.span_phase(group, kind, node, evidence))
        return phases

    def peer_evidence(self, node: str, group: list[tuple[str, TroubleSpan]]) -> list[str]:
        """Returns what peers reported about a node meanwhile, and which gateways made trials of it."""
        start, end = min(span.start for _, span in group), max(span.end for _, span in group)
        counts: dict[str, Counter[str]] = {}
        for at, gateway, record in self.peer_reports:
            if record.node == node and start <= at <= end:
                label = f"told {record.what}" if isinstance(record, model.Told) else f"trials {record.state}"
                counts.setdefault(label, Counter())[gateway] += 1
        return [
            f"by peers, {label}: " + ", ".join(f"{name} {count}" for name, count in sorted(by.items()))
            for label, by in sorted(counts.items())
        ]

    def find_peer_phases(self, boots: list[Boot]) -> list[Phase]:
        """Finds spans in which gateways saw the fleet split, or themselves cut off or not heard by others."""
        ends = {boot.gateway_boot: self.fleet_time(boot.gateway, boot.number, boot.last) for boot in boots}
        spans: dict[tuple[str, str], list[TroubleSpan]] = defaultdict(list)
        silent: dict[str, dict[str, list[int]]] = defaultdict(dict)
        latest: dict[tuple[str, int], tuple[str, TroubleSpan]] = {}
        for at, gateway, boot, record in sorted(self.peer_views, key=lambda one: one[:3]):
            previous, span = latest.get((gateway, boot), ("well", None))
            if record.standing != previous:
                if span is not None:
                    span.last_bad = span.first_good = at
                current = TroubleSpan(at, ends.get((gateway, boot), at), 0, 1)
                latest[gateway, boot] = (record.standing, current)
                if record.standing != "well":
                    spans[gateway, record.standing].append(current)
            if record.standing != "well":
                silent[record.standing][gateway] = record.silent
        phases = []
        for standing, group in self.group_spans(spans):
            evidence = [f"{name} hears nothing of {', '.join(map(str, peers)) or 'nobody in particular'}"
                        for name, peers in sorted(silent[standing].items())]  # fmt: skip
            phase = self.span_phase(group, "peers", standing, evidence[:8])
            phase.subject = standing
            phases.append(phase)
        return phases

    def find_zone_phases(self, boots: list[Boot]) -> list[Phase]:
        """Finds spans in which gateways saw a zone in another state than Well.

        The evidence lists which gateways saw each state and when, how long they disagreed, and the fills that
        were sent to other zones.
        """
        ends = {boot.gateway_boot: self.fleet_time(boot.gateway, boot.number, boot.last) for boot in boots}
        spans: dict[tuple[str, str], list[TroubleSpan]] = defaultdict(list)
        # by zone: time, gateway, state
        state_changes: dict[str, list[tuple[int, str, str]]] = defaultdict(list)
        latest: dict[tuple[str, int, str], tuple[str, TroubleSpan | None]] = {}
        zone_records: dict[tuple[str, int], list[tuple[int, model.Zones]]] = defaultdict(list)
        for at, gateway, boot, record in sorted(self.zone_views, key=lambda one: one[:3]):
            zone_records[gateway, boot].append((at, record))
            for zone, state, _, _ in record.zones:
                previous, span = latest.get((gateway, boot, zone), ("Well", None))
                if span is not None:
                    span.last_bad = span.first_good = at
                if state == previous:
                    continue
                state_changes[zone].append((at, gateway, state))
                if state == "Well":
                    span = None
                elif span is None:
                    span = TroubleSpan(at, ends.get((gateway, boot), at), 0, 1)
                    spans[gateway, zone].append(span)
                latest[gateway, boot, zone] = state, span
        phases = []
        for zone, group in self.group_spans(spans):
            start, end = min(span.start for _, span in group), max(span.end for _, span in group)
            evidence = []
            for state in ("Doubted", "Lost", "Lost here", "Cut off", "Returning", "Well"):
                changes = [
                    (at, name)
                    for at, name, seen_state in state_changes[zone]
                    if seen_state == state and start <= at <= end
                ]
                if changes:
                    names = sorted({name for _, name in changes})
                    delay_s = (max(changes)[0] - min(changes)[0]) / S
                    listed = ", ".join(names[:6]) + (", ..." if len(names) > 6 else "")
                    first_s = (min(changes)[0] - start) / S
                    evidence.append(
                        f"{state}: {listed}, the first {first_s:.1f} s on, the last {delay_s:.1f} s later"
                    )
            phase = self.span_phase(
                group, "zone", zone, evidence + self.spill_evidence(zone, start, end, zone_records)
            )
            phase.subject = f"zone {zone}"
            phases.append(phase)
        return phases

    def spill_evidence(
        self,
        zone: str,
        start: int,
        end: int,
        zone_records: dict[tuple[str, int], list[tuple[int, model.Zones]]],
    ) -> list[str]:
        """Returns the fills that the zone sent to other zones meanwhile, by target zone."""
        counts: Counter[str] = Counter()
        limits: dict[str, float] = {}
        for records in zone_records.values():
            in_span = [record for at, record in records if start <= at <= end]
            for sign, record in ((1, in_span[-1]), (-1, in_span[0])) if in_span else ():
                for source, target, count, limit in record.spilt:
                    if source == zone:
                        counts[target] += sign * count
                        limits[target] = limit
        seconds = max(0.1, (end - start) / S)
        return [f"spilled into {target}: {count} fills, {count / seconds:.1f} a second of {limits[target]:g}"
                for target, count in sorted(counts.items()) if count > 0]  # fmt: skip

    def find_overloads(self) -> list[Phase]:
        """Finds spans in which the fleet shed a notable share of its GETs."""
        names = ("", *self.services)
        width, phases = self.rates.width, list[Phase]()
        start = end = -1
        shed_total = 0.0

        def add_phase() -> None:
            if start >= 0:
                evidence = [f"{shed_total:.0f} GETs shed, over {OVERLOAD_SHED_SHARE:.0%} of those that ended"]
                phases.append(Phase("overload", "fleet", start, end, evidence, []))

        for index in sorted(self.rates.buckets):
            bucket = self.rates.buckets[index]
            shed = sum(bucket.get(("shed", name), 0.0) for name in names)
            ended = shed + sum(
                bucket.get((o, name), 0.0) for name in names for o in ("returned", "errored", "left")
            )
            if shed < OVERLOAD_MIN_SHED or shed < OVERLOAD_SHED_SHARE * ended:
                continue
            at = index * width
            if start >= 0 and at - end <= CLUSTER_GAP:
                end, shed_total = at + width, shed_total + shed
            else:
                add_phase()
                start, end, shed_total = at, at + width, shed
        add_phase()
        return phases

    def find_restarts(self, boots: list[Boot]) -> list[Phase]:
        """Finds the time between the last record of a boot and the first one of the next."""
        phases, previous = list[Phase](), dict[str, Boot]()
        for boot in sorted(boots, key=lambda boot: (boot.gateway, boot.number)):
            earlier = previous.get(boot.gateway)
            previous[boot.gateway] = boot
            if earlier is None:
                continue
            start = self.fleet_time(earlier.gateway, earlier.number, earlier.last)
            end = max(start, self.fleet_time(boot.gateway, boot.number, boot.first))
            how = "stopped cleanly" if earlier.stopped else "was killed or crashed: no record of its stop"
            lost = earlier.verdicts["crash"]
            evidence = [f"boot {earlier.number} {how}, boot {boot.number} followed",
                        f"no records for {(end - start) / S:.2f} s"]  # fmt: skip
            if lost:
                evidence.append(f"{lost} GETs in progress were lost")
            phases.append(Phase("restart", f"gateway {boot.gateway}", start, end, evidence, [boot.gateway]))
        return phases

    def find_gaps(self, boots: list[Boot]) -> list[Phase]:
        """Finds gaps in the records, except those at the end or the start of a boot's records."""
        phases = []
        for boot in boots:
            for since, until, count, reason in boot.gaps:
                if reason in ("torn", "removed") or not boot.records:
                    continue  # a torn end is covered by the restart that follows
                start, end = (self.fleet_time(boot.gateway, boot.number, at) for at in (since, until))
                count_text = f"{count} records" if count >= 0 else "an unknown number of records"
                evidence = [f"{count_text} missing in boot {boot.number}: {reason}"]
                phases.append(Phase("gap", f"gateway {boot.gateway}", min(start, end), end, evidence,
                                    [boot.gateway]))  # fmt: skip
        return phases

    def find_recoveries(self, phases_found: list[Phase]) -> list[Phase]:
        """Finds the time after each group of phases until as many GETs are returned in time as before."""
        troubles = sorted(
            (p for p in phases_found if p.kind not in ("gap", "half-open", "drain")), key=lambda p: p.start
        )
        if not troubles:
            return []
        groups: list[list[Phase]] = []
        until = 0
        for trouble in troubles:
            if groups and trouble.start <= until + RECOVERY_MERGE_GAP:
                groups[-1].append(trouble)
                until = max(until, trouble.end)
            else:
                groups.append([trouble])
                until = trouble.end
        first, last = self.rates.span()
        missed_before = [
            self.cost(at, at + self.rates.width).missed
            for at in range(first + S, troubles[0].start - self.rates.width, self.rates.width)
        ]
        baseline = median(missed_before) if missed_before else 0.0
        recovered = max(2 * baseline, MIN_MISSED_SHARE)
        phases = []
        for index, group in enumerate(groups):
            start = max(p.end for p in group)
            limit = groups[index + 1][0].start if index + 1 < len(groups) else last
            if start >= limit or any(p.open for p in group):
                continue  # the records end before the phases do
            end = self.recovered_at(start, limit, recovered)
            if end is not None and end - start <= self.rates.width:
                continue  # recovered together with the end of the phases
            evidence = [
                f"until {1 - recovered:.0%} of the GETs are in time again for {RECOVERY_WINDOW / S:g} s"
            ]
            if end is None:
                evidence = [f"{1 - recovered:.0%} of the GETs in time was not reached again"]
            subject = "fleet"
            phases.append(
                Phase(
                    "recovery", subject, start, limit if end is None else end, evidence, [], open=end is None
                )
            )
        return phases

    def recovered_at(self, start: int, limit: int, threshold: float) -> int | None:
        """Returns when the missed share first stays within the threshold, None if not before `limit`."""
        width = self.rates.width
        at = start
        while at + RECOVERY_WINDOW <= limit:
            if self.cost(at, at + RECOVERY_WINDOW).missed <= threshold:
                return at
            at += width
        return None
