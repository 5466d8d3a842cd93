"""Traffic kept near while that does no harm: which zones' hubs a fill may go to, and how much may leave. No
I/O; time in seconds.

How it is called: `Near(shape, phase)`; `ways(home, place, carries, part, now)` gives the zones whose hubs may
be asked for an object of that hash (0 to 1), the nearest first; `spend(home, zone)` as a fill goes to
another zone, `refund(home, zone)` where a copy was there already, `judge` of a budget as one ended.

Home first, for as much of its objects as it carries. The rest goes to the zones that home prefers, those of
its own region before others, as far as each takes it: what leaves into a zone is paid from one budget there,
`takes` of its hubs' capacity, of which this gateway has its part (peers/shares.py). The parts of all
gateways are 1 together at most, whoever is cut off, so that what spills into a zone is bounded for all:
at most limit x (t + SPAN) in any t seconds where each part is a fill in SPAN or more. A smaller part saves
up one fill; so that not all who have saved one spend it as the zone beside them falls, a budget that nobody
has asked for begins at a `phase` that differs by gateway, spread evenly.

What a zone can take lately shows in how its fills for others end: each bad one narrows this gateway's part
of it, each good one gives some back. A zone's own traffic is not narrowed by it: what came in ranks behind
and is dropped first. A zone that is lost, returning or doubted takes nothing, and what is filled there goes
no further: hubs fill upwards only (tiers/checks.py).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from damsonstream.tiers.shape import HUB, Shape

SPAN = 1.0  # seconds of its budget that a gateway may save up: a fill of the largest object
GOLDEN = 0.618034  # steps of it are spread evenly over a circle, however many they are
QUIET = 30.0  # seconds without a fill that wanted it, after which a budget begins anew: a fault ago
LESS, MORE = 0.85, 0.02  # as the vault's shield: a bad fill in seven keeps it level
LEAST = 0.05  # of its part that is left however badly it goes: else nothing would show that it is well again


@dataclass(slots=True)
class Budget:
    """Fills that one gateway may still begin; `phase` (0 to 1): where it stands when nobody has asked."""

    phase: float
    saved: float = 0.0
    at: float = -1e9
    factor: float = 1.0

    def has(self, rate: float, now: float) -> bool:
        """Whether one more fits, at so many a second. A part that shrinks takes what was saved with it."""
        rate *= self.factor
        most = max(1.0, rate * SPAN)
        if now - self.at >= QUIET:
            self.saved = most * self.phase
        else:
            self.saved = min(most, self.saved + rate * max(0.0, now - self.at))
        self.at = now
        return self.saved >= 1

    def judge(self, good: bool) -> None:
        self.factor = min(1.0, self.factor + MORE) if good else max(LEAST, self.factor * LESS)


class Near:
    def __init__(self, shape: Shape, phase: float) -> None:
        self.zones = dict(shape.zones)
        self.capacities: dict[str, float] = {}
        for node in shape.role(HUB):
            self.capacities[node.zone] = self.capacities.get(node.zone, 0.0) + node.capacity
        names = enumerate(sorted(self.zones))
        self.budgets = {name: Budget((phase + n * GOLDEN) % 1.0) for n, name in names}
        self.spilt: Counter[tuple[str, str]] = Counter()  # fills by pair of zones; as many as pairs
        self.held_back: Counter[str] = Counter()  # by home: fills for which there was nowhere

    def limit(self, zone: str) -> float:
        """Fills a second that may spill into it, from all gateways."""
        return self.zones[zone].takes * self.capacities.get(zone, 0.0)

    def order(self, home: str) -> list[str]:
        """Where its fills may spill: as it prefers, its own region first."""
        told = self.zones[home]
        known = [name for name in told.prefers if name in self.zones and name != home]
        return sorted(known, key=lambda name: self.zones[name].region != told.region)

    def ways(
        self, home: str, place: float, carries: Callable[[str], float], part: float, now: float
    ) -> list[str]:
        """`carries`: share of a zone's own objects that its hubs are asked for; `part`: this gateway's of
        what all may spill. Objects come back to home in the order of their hashes, those that come back
        first are those that may leave where only a share may."""
        whole = carries(home)
        found = [home] if place < whole else []
        if place < whole + self.zones[home].gives:
            found += [other for other in self.order(home) if self.takes(other, carries, part, now)]
        return found

    def takes(self, zone: str, carries: Callable[[str], float], part: float, now: float) -> bool:
        return carries(zone) >= 1.0 and self.budgets[zone].has(self.limit(zone) * part, now)

    def spend(self, home: str, zone: str) -> None:
        self.budgets[zone].saved -= 1.0
        self.spilt[home, zone] += 1

    def refund(self, home: str, zone: str) -> None:
        """The copy was there: nothing was asked of the zone."""
        if zone in self.budgets:
            self.budgets[zone].saved += 1.0  # what is too much goes as it is asked for next
            self.spilt[home, zone] -= 1
