"""Traffic kept near while that does no harm: where one fill goes, and how much may leave. No I/O; time in
seconds.

How it is called: `Near(zones, capacities, now)`; `zone(home, place, came_in, work, carries, parts, now)`
gives the zone whose hubs are asked for an object of that hash (0 to 1), or None: copies only, or shed.

Home first, for as much of its objects as it carries. The rest goes to the zones that home prefers, in
order, as far as each takes it: what leaves into a zone is paid from one budget there, `takes` of its
capacity, of which this gateway has its part (peers/shares.py). The parts of all gateways are 1 together
at most, so that the sum of what spills into a zone stays under its limit in each span of `SPAN`, and a
burst of as much, whoever is cut off; one that hears nobody keeps the part that it has. What came in from
elsewhere goes no further (no cascade), and a zone that is itself lost, returning or doubted takes
nothing.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from damsonstream.tiers.shape import Zone

SPAN = 1.0  # seconds of its budget that a gateway may save up: a fill of the largest object


@dataclass(slots=True)
class Budget:
    saved: float
    at: float


class Near:
    def __init__(self, zones: Mapping[str, Zone], capacities: Mapping[str, float], now: float) -> None:
        """`capacities`: of a zone's hubs together, in work a second."""
        self.zones, self.capacities = dict(zones), dict(capacities)
        self.budgets = {name: Budget(0.0, now) for name in zones}
        self.spilt: Counter[tuple[str, str]] = Counter()  # fills by pair of zones; as many as pairs
        self.held_back: Counter[str] = Counter()  # by home: fills for which there was nowhere

    def limit(self, zone: str) -> float:
        """Work a second that may spill into it, from all gateways."""
        return self.zones[zone].takes * self.capacities.get(zone, 0.0)

    def room(self, zone: str, part: float, now: float) -> float:
        """What this gateway may still send there; a part that shrinks takes what was saved with it."""
        budget, rate = self.budgets[zone], self.limit(zone) * part
        budget.saved = min(rate * SPAN, budget.saved + rate * max(0.0, now - budget.at))
        budget.at = now
        return budget.saved

    def zone(
        self, home: str, place: float, came_in: bool, work: float, carries: Callable[[str], float],
        part: float, now: float,
    ) -> str | None:  # fmt: skip
        """`carries`: share of a zone's own objects that its hubs are asked for; `part`: this gateway's of
        what all may spill. Objects come back to home in the order of their hashes."""
        if place < carries(home):
            return home
        told = self.zones[home]
        # only a stated share of its own traffic leaves, the objects that come back first
        if not came_in and place < carries(home) + told.gives:
            for other in told.prefers:
                if other in self.zones and carries(other) >= 1.0 and self.room(other, part, now) >= work:
                    self.budgets[other].saved -= work
                    self.spilt[home, other] += 1
                    return other
        self.held_back[home] += 1
        return None
