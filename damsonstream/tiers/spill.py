"""Decides which zones' hubs a fill may use, and limits how much traffic spills out of a zone. No I/O; times
are in seconds.

`SpillPolicy(topology, phase)`: `candidate_zones(home, hash_point, home_share, gateway_share, now)` returns
the zones whose hubs may be asked for an object of that hash (0 to 1), the nearest first. `charge(home, zone)`
accounts for a fill that goes to another zone, `refund(home, zone)` reverses that when the copy was in the
cache already, and `record_result` of a zone's bucket takes the outcome of a fill.

The home zone comes first, for the share of its objects that its hubs serve. The rest goes to the zones that
home prefers, those of its own region first, up to each one's limit. All spill into a zone is charged to one
budget there, the share `takes` of its hubs' capacity, of which this gateway has a part (peers/shares.py). The
parts of all gateways sum to at most 1 even during a partition, so the spill into a zone is bounded for the
whole fleet: at most limit x (t + BURST_S) in any t seconds where each part allows a fill in BURST_S or more.
A smaller part saves up one fill. So that gateways do not all spend a saved fill at the moment when the
neighboring zone fails, an idle bucket starts at a `phase` that differs by gateway and is spread evenly.

A zone's current capacity shows in how the fills spilled into it end: each failed one reduces this gateway's
part (multiplicative decrease), each good one restores some of it (additive increase). A zone's own traffic is
not reduced by this: spill ranks behind it and is dropped first. A zone that is lost, returning or doubted
accepts no spill, and spilled fills do not spill again: hubs fill only from nodes nearer to the vault
(tiers/checks.py).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from damsonstream.tiers.hierarchy import HUB, Topology

BURST_S = 1.0  # seconds of its part that a gateway may save up: enough for a fill of the largest object
GOLDEN_RATIO = 0.618034  # multiples of it modulo 1 are evenly spread, however many there are
# Seconds without use after which a bucket restarts at its phase: its state is from an earlier fault.
IDLE_RESET_S = 30.0
# As in shield.py: one failed fill in seven keeps the factor level.
DECREASE_FACTOR, INCREASE_STEP = 0.85, 0.02
MIN_FACTOR = 0.05  # least share of its part that remains: without any fills a recovery would not be noticed


@dataclass(slots=True)
class TokenBucket:
    """Token bucket of the fills that this gateway may start; an idle one is filled to `phase` (0 to 1)."""

    phase: float
    tokens: float = 0.0
    updated_at: float = -1e9
    factor: float = 1.0

    def has_token(self, rate: float, now: float) -> bool:
        """Returns whether a token is available, refilling at `rate` per second.

        When the rate falls, tokens above the new bucket size are lost."""
        rate *= self.factor
        size = max(1.0, rate * BURST_S)
        if now - self.updated_at >= IDLE_RESET_S:
            self.tokens = size * self.phase
        else:
            self.tokens = min(size, self.tokens + rate * max(0.0, now - self.updated_at))
        self.updated_at = now
        return self.tokens >= 1

    def record_result(self, good: bool) -> None:
        """Adjusts the rate after a fill: additive increase, multiplicative decrease."""
        self.factor = (
            min(1.0, self.factor + INCREASE_STEP) if good else max(MIN_FACTOR, self.factor * DECREASE_FACTOR)
        )


class SpillPolicy:
    """Spill rules and budgets of one gateway for one topology."""

    def __init__(self, topology: Topology, phase: float) -> None:
        self.zones = dict(topology.zones)
        self.capacities: dict[str, float] = {}
        for node in topology.nodes_with_role(HUB):
            self.capacities[node.zone] = self.capacities.get(node.zone, 0.0) + node.capacity
        names = enumerate(sorted(self.zones))
        self.buckets = {name: TokenBucket((phase + n * GOLDEN_RATIO) % 1.0) for n, name in names}
        # fills by (home, other zone); bounded by the pairs of zones
        self.spilled: Counter[tuple[str, str]] = Counter()
        self.unplaced: Counter[str] = Counter()  # by home zone: fills that no source accepted

    def limit(self, zone: str) -> float:
        """Returns the fills per second that all gateways together may spill into a zone."""
        return self.zones[zone].takes * self.capacities.get(zone, 0.0)

    def spill_order(self, home: str) -> list[str]:
        """Returns the zones that fills of `home` may spill to: in its order, its own region first."""
        zone = self.zones[home]
        known = [name for name in zone.prefers if name in self.zones and name != home]
        return sorted(known, key=lambda name: self.zones[name].region != zone.region)

    def candidate_zones(
        self,
        home: str,
        hash_point: float,
        home_share: Callable[[str], float],
        gateway_share: float,
        now: float,
    ) -> list[str]:
        """Returns the zones whose hubs may be asked for an object, the nearest first.

        `home_share(zone)` is the share of a zone's own objects that its hubs serve, `gateway_share` this
        gateway's part of the spill budgets. Objects return to home in the order of their hashes; where only a
        share `gives` may spill, it is made up of the objects that return first."""
        served = home_share(home)
        zones = [home] if hash_point < served else []
        if hash_point < served + self.zones[home].gives:
            zones += [
                other
                for other in self.spill_order(home)
                if self.accepts(other, home_share, gateway_share, now)
            ]
        return zones

    def accepts(
        self, zone: str, home_share: Callable[[str], float], gateway_share: float, now: float
    ) -> bool:
        """Returns whether a zone that serves all its own objects has budget left for a spilled fill."""
        return home_share(zone) >= 1.0 and self.buckets[zone].has_token(self.limit(zone) * gateway_share, now)

    def charge(self, home: str, zone: str) -> None:
        """Takes a token for a fill that spills from `home` into `zone`."""
        self.buckets[zone].tokens -= 1.0
        self.spilled[home, zone] += 1

    def refund(self, home: str, zone: str) -> None:
        """Returns the token of a fill that did not reach the zone, since the copy was in the cache."""
        if zone in self.buckets:
            self.buckets[zone].tokens += 1.0  # the next refill caps it at the bucket size
            self.spilled[home, zone] -= 1
