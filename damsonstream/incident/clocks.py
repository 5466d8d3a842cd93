"""Aligns the clocks of several gateways to a common fleet time, with a stated uncertainty. No I/O.

`align(observations, boots)` takes observations of common events by several gateways and returns `Clocks`,
which converts a time on one boot's clock to fleet time (`fleet`), states the uncertainty of the result
(`uncertainty`), and compares two times (`compare`). Times are ticks of 0.1 ms.

Method: a purge or a change of the list of caches reaches all gateways within the delivery delay of the
bulletin. So the times at which two boots observed the same event differ by the offset between their clocks,
plus or minus the difference of the delays. No other recorded event is observed by more than one gateway.
Within a boot the clock is monotonic, so records of one boot are never reordered, whatever its offset.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median

MS, S = 10, 10_000
Boot = tuple[str, int]  # gateway, number

MIN_UNCERTAINTY = 5 * MS  # a busy event loop processes events some milliseconds late
# With one common event, delay and offset can't be told apart. Events arrive within 2 s even after a lost
# connection and usually at once; this is half of that range.
SINGLE_EVENT_UNCERTAINTY = 1 * S
# Added if the offset of an adjacent boot is reused: a restart takes seconds, during which the system clock
# may be stepped.
INHERITED_UNCERTAINTY = 1 * S
ITERATIONS = 30  # the alternating medians converge within ten, even for hundreds of boots
# Drift is estimated only over a span this long with this many events: otherwise a delay of 50 ms over 20 s
# looks like a drift of 2,500 ppm.
MIN_DRIFT_SPAN, MIN_DRIFT_EVENTS = 20 * S, 6
MAX_DRIFT = 0.01  # a larger estimate can't be a real clock's drift and is noise


@dataclass(slots=True, frozen=True)
class Observation:
    """An observation of a common event by one boot."""

    boot: Boot
    event: Hashable
    at: int  # on that boot's clock


@dataclass(slots=True, frozen=True)
class BootTimes:
    """Start and end of a boot on its own clock, and the sum of its system clock's steps while it ran."""

    boot: Boot
    started_at: int
    ended_at: int
    step_total: int = 0


@dataclass(slots=True, frozen=True)
class ClockFit:
    """Conversion of one boot's clock: fleet time = at - offset - drift * (at - start)."""

    offset: int
    drift: float
    start: int
    uncertainty: int  # maximum error of fleet times, -1: not known
    basis: str  # events, inherited (from an adjacent boot) or alone (no common events)
    event_count: int


@dataclass(slots=True)
class Clocks:
    """Fitted clocks by boot."""

    fits: dict[Boot, ClockFit] = field(default_factory=dict)

    def fleet(self, boot: Boot, at: int) -> int:
        """Converts a time on a boot's clock to fleet time."""
        fit = self.fits.get(boot)
        return at if fit is None else round(at - fit.offset - fit.drift * (at - fit.start))

    def uncertainty(self, boot: Boot) -> int:
        """Returns the maximum error of the boot's fleet times, -1 if not known."""
        fit = self.fits.get(boot)
        return -1 if fit is None else fit.uncertainty

    def compare(self, first: tuple[Boot, int, int], second: tuple[Boot, int, int]) -> str:
        """Returns whether the first (boot, seq, at) was before or after the second, or "unknown"."""
        (boot, seq, at), (other_boot, other_seq, other_at) = first, second
        if boot[0] == other_boot[0]:
            return "before" if (boot[1], seq) < (other_boot[1], other_seq) else "after"
        if min(self.uncertainty(boot), self.uncertainty(other_boot)) < 0:
            return "unknown"
        difference = self.fleet(other_boot, other_at) - self.fleet(boot, at)
        if abs(difference) <= self.uncertainty(boot) + self.uncertainty(other_boot):
            return "unknown"
        return "before" if difference > 0 else "after"


def shared_events(observations: Iterable[Observation]) -> dict[Hashable, dict[Boot, int]]:
    """Returns the times at which boots observed each event that at least two of them observed.

    An event that a boot observed twice is left out, because it can't be matched unambiguously.
    """
    by_event: dict[Hashable, dict[Boot, int]] = defaultdict(dict)
    ambiguous: set[Hashable] = set()
    for observation in observations:
        boots = by_event[observation.event]
        if observation.boot in boots:
            ambiguous.add(observation.event)
        boots[observation.boot] = observation.at
    return {event: boots for event, boots in by_event.items() if len(boots) > 1 and event not in ambiguous}


def connected_boots(events: Mapping[Hashable, dict[Boot, int]]) -> list[set[Boot]]:
    """Returns the groups of boots that are connected by common events, largest first."""
    group_of: dict[Boot, set[Boot]] = {}
    for boots in events.values():
        merged = set(boots)
        for boot in boots:
            merged |= group_of.get(boot, set())
        for boot in merged:
            group_of[boot] = merged
    distinct = {id(group): group for group in group_of.values()}
    return sorted(distinct.values(), key=lambda group: (-len(group), min(group)))


def theil_sen_slope(points: list[tuple[int, float]]) -> float:
    """Returns the Theil-Sen slope: the median over pairs that are at least a third of the span apart."""
    points = sorted(points)
    if len(points) > 200:  # thousands of points have millions of pairs; an even sample is as good
        points = points[:: len(points) // 200 + 1]
    span = points[-1][0] - points[0][0]
    slopes = [
        (y2 - y1) / (x2 - x1)
        for n, (x1, y1) in enumerate(points)
        for x2, y2 in points[n + 1 :]
        if x2 - x1 >= span / 3 and x2 > x1
    ]
    return median(slopes) if slopes else 0.0


def half_range(values: list[float]) -> float:
    """Returns half of the range without the lowest and highest tenth; of the full range under 10 values."""
    values = sorted(values)
    trimmed = len(values) // 10
    kept = values[trimmed : len(values) - trimmed] if trimmed else values
    return (kept[-1] - kept[0]) / 2 if kept else 0.0


def align(observations: Iterable[Observation], boots: Iterable[BootTimes]) -> Clocks:
    """Fits the clock of each boot from its common events, an adjacent boot, or as its own clock."""
    times = {one.boot: one for one in boots}
    events = shared_events(observations)
    clocks = Clocks()
    for group in connected_boots(events):
        clocks.fits.update(fit_group(group, events))
    center_on_median(clocks, times)
    inherit_offsets(clocks, times)
    for boot, boot_times in times.items():  # no relation to other clocks is known: keep its own time
        clocks.fits.setdefault(
            boot, ClockFit(0, 0.0, boot_times.started_at, -1 if len(times) > 1 else 0, "alone", 0)
        )
    return clocks


def fit_group(group: set[Boot], events: Mapping[Hashable, dict[Boot, int]]) -> dict[Boot, ClockFit]:
    """Fits offsets and drifts of connected boots by alternating medians over events and boots."""
    shared = [boots for boots in events.values() if group.issuperset(boots)]
    by_boot: dict[Boot, list[tuple[int, int]]] = {boot: [] for boot in group}  # event, at
    for index, boots in enumerate(shared):
        for boot, at in boots.items():
            by_boot[boot].append((index, at))
    first_seen = {boot: min(at for _, at in seen) for boot, seen in by_boot.items()}
    offset = dict.fromkeys(group, 0.0)
    drift = dict.fromkeys(group, 0.0)

    def to_fleet(boot: Boot, at: int) -> float:
        return at - offset[boot] - drift[boot] * (at - first_seen[boot])

    event_times = [0.0] * len(shared)
    for iteration in range(ITERATIONS):
        for index, boots in enumerate(shared):
            event_times[index] = median(to_fleet(boot, at) for boot, at in boots.items())
        for boot, seen in by_boot.items():
            residuals = [(at, to_fleet(boot, at) - event_times[index]) for index, at in seen]
            offset[boot] += median(y for _, y in residuals)
            span = max(at for at, _ in residuals) - min(at for at, _ in residuals)
            if iteration >= ITERATIONS // 3 and span >= MIN_DRIFT_SPAN and len(residuals) >= MIN_DRIFT_EVENTS:
                new_drift = drift[boot] + theil_sen_slope([(at, y) for at, y in residuals])
                drift[boot] = max(-MAX_DRIFT, min(MAX_DRIFT, new_drift))
    for index, boots in enumerate(shared):
        event_times[index] = median(to_fleet(boot, at) for boot, at in boots.items())
    fits = {}
    final_residuals = {
        boot: [to_fleet(boot, at) - event_times[index] for index, at in seen]
        for boot, seen in by_boot.items()
    }
    largest = max(abs(y) for rest in final_residuals.values() for y in rest)
    for boot, rest in final_residuals.items():
        # Few residuals may agree by chance, so the largest residual of the group is used instead.
        error = largest if len(rest) < 20 else half_range(rest)
        # The error is doubled because the median of two boots halves their difference.
        uncertainty = max(MIN_UNCERTAINTY, round(2 * error)) if len(rest) > 1 else SINGLE_EVENT_UNCERTAINTY
        fits[boot] = ClockFit(
            round(offset[boot]), drift[boot], first_seen[boot], uncertainty, "events", len(rest)
        )
    return fits


def center_on_median(clocks: Clocks, times: Mapping[Boot, BootTimes]) -> None:
    """Sets fleet time to the median of the gateways' latest clocks, which one wrong clock shifts least."""
    if not clocks.fits:
        return
    latest = {gateway: max(n for g, n in clocks.fits if g == gateway) for gateway, _ in clocks.fits}
    median_offset = round(median(clocks.fits[gateway, n].offset for gateway, n in latest.items()))
    for boot, fit in clocks.fits.items():
        clocks.fits[boot] = ClockFit(
            fit.offset - median_offset, fit.drift, fit.start, fit.uncertainty, fit.basis, fit.event_count
        )


def inherit_offsets(clocks: Clocks, times: Mapping[Boot, BootTimes]) -> None:
    """Gives a boot without common events its gateway's nearest fitted clock, corrected for steps."""
    for boot in sorted(times):
        if boot in clocks.fits:
            continue
        gateway, number = boot
        candidates = [
            other for other in clocks.fits if other[0] == gateway and clocks.fits[other].basis == "events"
        ]
        if not candidates:
            continue
        nearest = min(candidates, key=lambda other: (abs(other[1] - number), other))
        fit, start = clocks.fits[nearest], times[boot].started_at
        step_total = sum(
            t.step_total for b, t in times.items() if b[0] == gateway and nearest[1] <= b[1] < number
        )
        uncertainty = fit.uncertainty + INHERITED_UNCERTAINTY if fit.uncertainty >= 0 else -1
        clocks.fits[boot] = ClockFit(fit.offset + step_total, 0.0, start, uncertainty, "inherited", 0)


def find_steps(pulses: Iterable[tuple[int, int]], min_step: int = 100 * MS) -> list[tuple[int, int]]:
    """Returns time and size of each step of a system clock, from pairs of monotonic and system time.

    Changes smaller than `min_step` between two pairs count as drift.
    """
    clock_steps: list[tuple[int, int]] = []
    previous: int | None = None
    for at, unix in pulses:
        offset = unix - at
        if previous is not None and abs(offset - previous) >= min_step:
            clock_steps.append((at, offset - previous))
        previous = offset
    return clock_steps
