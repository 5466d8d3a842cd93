"""Puts the clocks of several gateways on one time, with a stated uncertainty. No I/O.

How it is called: `align(sightings, boots)` takes what several gateways saw of the same events and returns
`Clocks`, which turns a time of one boot's clock into fleet time (`fleet`), says how sure that is (`sure`),
and compares two times (`order`). Times are tenths of a millisecond.

Evidence: a purge or a change of the list reaches all gateways within the bulletin's delay, so that two boots
which saw the same ones differ by their clocks' difference, give or take the difference of the delays. Nothing
else that gateways record is seen by two of them. Within a boot the clock only goes forward: nothing is ever
reordered there, whatever its offset.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median

MS, S = 10, 10_000
Boot = tuple[str, int]  # gateway, number

FLOOR = 5 * MS  # never surer than this: a loop that is busy takes in news some milliseconds late
# With one common event nothing tells the delay from the offset: news counts as told within 2 s of a break at
# the latest, usually at once; the middle of that.
SINGLE = 1 * S
# Inherited from the boot before: a restart takes seconds, in which a clock that is stepped at start may move.
INHERITED = 1 * S
ROUNDS = 30  # medians in turn settle within ten on hundreds of boots; each further one changes nothing
# A drift is only told apart from delays over so long a span with so many events; 50 ms of delay over 20 s
# would else look like 2,500 parts in a million.
DRIFT_SPAN, DRIFT_EVENTS = 20 * S, 6
MOST_DRIFT = 0.01  # a clock that gains over 1% is no clock: such a slope is chance


@dataclass(slots=True, frozen=True)
class Sighting:
    boot: Boot
    event: Hashable
    at: int  # on that boot's clock


@dataclass(slots=True, frozen=True)
class Told:
    """What is known of a boot besides sightings: when it began and ended on its own clock, and by how much
    its gateway's system clock was moved while it ran."""

    boot: Boot
    began: int
    ended: int
    stepped: int = 0


@dataclass(slots=True, frozen=True)
class Fit:
    """fleet time = at - offset - drift * (at - start)"""

    offset: int
    drift: float
    start: int
    sure: int  # fleet times are right within this, -1: not known
    how: str  # events, inherited or alone
    events: int


@dataclass(slots=True)
class Clocks:
    fits: dict[Boot, Fit] = field(default_factory=dict)

    def fleet(self, boot: Boot, at: int) -> int:
        fit = self.fits.get(boot)
        return at if fit is None else round(at - fit.offset - fit.drift * (at - fit.start))

    def sure(self, boot: Boot) -> int:
        fit = self.fits.get(boot)
        return -1 if fit is None else fit.sure

    def order(self, a: tuple[Boot, int, int], b: tuple[Boot, int, int]) -> str:
        """Whether a, a (boot, seq, at), was before or after b; unknown where the clocks can't tell."""
        (one, seq, at), (other, other_seq, other_at) = a, b
        if one[0] == other[0]:
            return "before" if (one[1], seq) < (other[1], other_seq) else "after"
        if min(self.sure(one), self.sure(other)) < 0:
            return "unknown"
        apart = self.fleet(other, other_at) - self.fleet(one, at)
        if abs(apart) <= self.sure(one) + self.sure(other):
            return "unknown"
        return "before" if apart > 0 else "after"


def unique(sightings: Iterable[Sighting]) -> dict[Hashable, dict[Boot, int]]:
    """Events by the boots that saw them once: one that a boot saw twice can't be matched with certainty."""
    seen: dict[Hashable, dict[Boot, int]] = defaultdict(dict)
    twice: set[Hashable] = set()
    for sighting in sightings:
        boots = seen[sighting.event]
        if sighting.boot in boots:
            twice.add(sighting.event)
        boots[sighting.boot] = sighting.at
    return {event: boots for event, boots in seen.items() if len(boots) > 1 and event not in twice}


def components(events: Mapping[Hashable, dict[Boot, int]]) -> list[set[Boot]]:
    """Boots that common events connect, the largest first."""
    home: dict[Boot, set[Boot]] = {}
    for boots in events.values():
        joined = set(boots)
        for boot in boots:
            joined |= home.get(boot, set())
        for boot in joined:
            home[boot] = joined
    distinct = {id(group): group for group in home.values()}
    return sorted(distinct.values(), key=lambda group: (-len(group), min(group)))


def slope(points: list[tuple[int, float]]) -> float:
    """Theil and Sen's: the median of all slopes, over pairs at least a third of the span apart."""
    points = sorted(points)
    if len(points) > 200:  # an even choice is as good, and all pairs of thousands are millions
        points = points[:: len(points) // 200 + 1]
    span = points[-1][0] - points[0][0]
    found = [
        (y2 - y1) / (x2 - x1)
        for n, (x1, y1) in enumerate(points)
        for x2, y2 in points[n + 1 :]
        if x2 - x1 >= span / 3 and x2 > x1
    ]
    return median(found) if found else 0.0


def spread(values: list[float]) -> float:
    """Half of the range that holds nine in ten; all of it where there are few."""
    values = sorted(values)
    cut = len(values) // 10
    kept = values[cut : len(values) - cut] if cut else values
    return (kept[-1] - kept[0]) / 2 if kept else 0.0


def align(sightings: Iterable[Sighting], boots: Iterable[Told]) -> Clocks:
    told = {one.boot: one for one in boots}
    events = unique(sightings)
    clocks = Clocks()
    for group in components(events):
        clocks.fits.update(fit_group(group, events))
    gauge(clocks, told)
    inherit(clocks, told)
    for boot, one in told.items():  # nothing ties it to the others: its own clock, unsure
        clocks.fits.setdefault(boot, Fit(0, 0.0, one.began, -1 if len(told) > 1 else 0, "alone", 0))
    return clocks


def fit_group(group: set[Boot], events: Mapping[Hashable, dict[Boot, int]]) -> dict[Boot, Fit]:
    mine = [boots for boots in events.values() if group.issuperset(boots)]
    by_boot: dict[Boot, list[tuple[int, int]]] = {boot: [] for boot in group}  # event, at
    for place, boots in enumerate(mine):
        for boot, at in boots.items():
            by_boot[boot].append((place, at))
    starts = {boot: min(at for _, at in seen) for boot, seen in by_boot.items()}
    offset = dict.fromkeys(group, 0.0)
    drift = dict.fromkeys(group, 0.0)

    def local(boot: Boot, at: int) -> float:
        return at - offset[boot] - drift[boot] * (at - starts[boot])

    when = [0.0] * len(mine)
    for turn in range(ROUNDS):
        for place, boots in enumerate(mine):
            when[place] = median(local(boot, at) for boot, at in boots.items())
        for boot, seen in by_boot.items():
            left = [(at, local(boot, at) - when[place]) for place, at in seen]
            offset[boot] += median(y for _, y in left)
            span = max(at for at, _ in left) - min(at for at, _ in left)
            if turn >= ROUNDS // 3 and span >= DRIFT_SPAN and len(left) >= DRIFT_EVENTS:
                gained = drift[boot] + slope([(at, y) for at, y in left])
                drift[boot] = max(-MOST_DRIFT, min(MOST_DRIFT, gained))
    for place, boots in enumerate(mine):
        when[place] = median(local(boot, at) for boot, at in boots.items())
    fits = {}
    left_over = {
        boot: [local(boot, at) - when[place] for place, at in seen] for boot, seen in by_boot.items()
    }
    pooled = max(abs(y) for rest in left_over.values() for y in rest)
    for boot, rest in left_over.items():
        # few may agree by chance: then what all boots show of the bulletin's delays holds
        wide = pooled if len(rest) < 20 else spread(rest)
        sure = max(FLOOR, round(2 * wide)) if len(rest) > 1 else SINGLE  # a median halves what is between two
        fits[boot] = Fit(round(offset[boot]), drift[boot], starts[boot], sure, "events", len(rest))
    return fits


def gauge(clocks: Clocks, told: Mapping[Boot, Told]) -> None:
    """Fleet time is the middle of the gateways' clocks: one that is off moves it least."""
    if not clocks.fits:
        return
    latest = {gateway: max(n for g, n in clocks.fits if g == gateway) for gateway, _ in clocks.fits}
    middle = round(median(clocks.fits[gateway, n].offset for gateway, n in latest.items()))
    for boot, fit in clocks.fits.items():
        clocks.fits[boot] = Fit(fit.offset - middle, fit.drift, fit.start, fit.sure, fit.how, fit.events)


def inherit(clocks: Clocks, told: Mapping[Boot, Told]) -> None:
    """A boot that shares no event has the clock of the boot next to it, on the same machine."""
    for boot in sorted(told):
        if boot in clocks.fits:
            continue
        gateway, number = boot
        near = [other for other in clocks.fits if other[0] == gateway and clocks.fits[other].how == "events"]
        if not near:
            continue
        best = min(near, key=lambda other: (abs(other[1] - number), other))
        fit, start = clocks.fits[best], told[boot].began
        moved = sum(t.stepped for b, t in told.items() if b[0] == gateway and best[1] <= b[1] < number)
        sure = fit.sure + INHERITED if fit.sure >= 0 else -1
        clocks.fits[boot] = Fit(fit.offset + moved, 0.0, start, sure, "inherited", 0)


def steps(pulses: Iterable[tuple[int, int]], least: int = 100 * MS) -> list[tuple[int, int]]:
    """Where a gateway's system clock was moved: from pairs of its own clock, which only goes forward, and the
    system's. What comes slowly is drift, and no step."""
    found: list[tuple[int, int]] = []
    before: int | None = None
    for at, unix in pulses:
        apart = unix - at
        if before is not None and abs(apart - before) >= least:
            found.append((at, apart - before))
        before = apart
    return found
