"""What the loss of zones' hubs asks of the others, by the modules that decide it in service. No I/O.

How it is called: `lost(shape, zones, misses)` gives a `Lost`. Caches stay, their zone's hubs are gone: what
they filled there goes to the zones that theirs prefers (tiers/near.py), each as far as it takes it, then to
the vault under its cap; the rest is told as held back: copies, or shed.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from damsonstream.tiers.near import Near
from damsonstream.tiers.shape import CACHE, HUB, Shape


@dataclass(slots=True)
class Lost:
    zones: tuple[str, ...]
    asked: dict[str, float] = field(default_factory=dict)  # zone: fills a second of its own caches
    spilt: dict[tuple[str, str], float] = field(default_factory=dict)  # from, into: fills a second
    limits: dict[str, float] = field(default_factory=dict)  # zone: fills a second that it takes
    vault: float = 0.0  # fills a second past all hubs
    held_back: dict[str, float] = field(default_factory=dict)  # zone: fills a second that go nowhere

    @property
    def lost_share(self) -> float:
        whole = sum(self.asked.values())
        return sum(self.held_back.values()) / whole if whole else 0.0


def lost(shape: Shape, zones: tuple[str, ...], misses: float = 0.3) -> Lost:
    found, near = Lost(zones), Near(shape, 0.0)
    hubs = {node.zone for node in shape.role(HUB)}
    found.limits = {zone: near.limit(zone) for zone in sorted(shape.zones) if zone not in zones}
    room = dict(found.limits)
    left: dict[str, float] = {}
    for cache in shape.role(CACHE):
        found.asked[cache.zone] = found.asked.get(cache.zone, 0.0) + cache.capacity * misses
    for zone in sorted(found.asked):
        if zone in zones or zone not in hubs:
            left[zone] = found.asked[zone]
    # all that are lost go on at once: each takes the same part of what they have to spill, zone by zone
    for turn in range(max((len(near.order(zone)) for zone in left), default=0)):
        wanted: dict[str, list[str]] = {}
        for zone, fills in left.items():
            order = [other for other in near.order(zone) if other not in zones]
            if fills > 0 and turn < len(order):
                wanted.setdefault(order[turn], []).append(zone)
        for other, homes in sorted(wanted.items()):
            most = {home: min(left[home], gives(shape, home, found)) for home in homes}
            part = min(1.0, room[other] / sum(most.values())) if sum(most.values()) else 0.0
            for home in homes:
                found.spilt[home, other] = most[home] * part
                left[home] -= most[home] * part
                room[other] -= most[home] * part
    over = sum(left.values())
    found.vault = min(over, shape.vault_cap) if shape.vault_cap else over
    if over > found.vault:
        part = 1 - found.vault / over
        found.held_back = {zone: fills * part for zone, fills in left.items() if fills > 0}
    return found


def gives(shape: Shape, home: str, found: Lost) -> float:
    """What may still leave it."""
    gone = sum(fills for (zone, _), fills in found.spilt.items() if zone == home)
    return max(0.0, shape.zones[home].gives * found.asked[home] - gone)
