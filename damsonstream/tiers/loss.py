"""Forecasts where fills go when the hubs of some zones are lost, with the spill rules of normal service. No
I/O.

`simulate_hub_loss(topology, zones, misses)` returns a `LossForecast`. The caches of the lost zones stay;
their fills go to the zones that their own zone prefers (tiers/spill.py), up to each one's limit, then to the
vault up to its cap. The rest is reported as held back: such GETs are answered from cached copies only, or
shed.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from damsonstream.tiers.hierarchy import CACHE, HUB, Topology
from damsonstream.tiers.spill import SpillPolicy


@dataclass(slots=True)
class LossForecast:
    """Rates in fills per second. `tiers simulate-loss --json` prints the fields under their names."""

    zones: tuple[str, ...]
    asked: dict[str, float] = field(default_factory=dict)  # by zone: fills of its own caches
    spilt: dict[tuple[str, str], float] = field(default_factory=dict)  # (from, into): fills
    limits: dict[str, float] = field(default_factory=dict)  # by remaining zone: spill that it accepts
    vault: float = 0.0  # fills that go to the vault directly
    held_back: dict[str, float] = field(default_factory=dict)  # by zone: fills that no source accepts

    @property
    def lost_share(self) -> float:
        """Share of all fills that no source accepts."""
        total = sum(self.asked.values())
        return sum(self.held_back.values()) / total if total else 0.0


def simulate_hub_loss(topology: Topology, zones: tuple[str, ...], misses: float = 0.3) -> LossForecast:
    """Forecasts the loss of the hubs of `zones`; `misses` is the share of GETs that are filled."""
    forecast, policy = LossForecast(zones), SpillPolicy(topology, 0.0)
    hubs = {node.zone for node in topology.nodes_with_role(HUB)}
    forecast.limits = {zone: policy.limit(zone) for zone in sorted(topology.zones) if zone not in zones}
    remaining = dict(forecast.limits)
    unplaced: dict[str, float] = {}
    for cache in topology.nodes_with_role(CACHE):
        forecast.asked[cache.zone] = forecast.asked.get(cache.zone, 0.0) + cache.capacity * misses
    for zone in sorted(forecast.asked):
        if zone in zones or zone not in hubs:
            unplaced[zone] = forecast.asked[zone]
    # all lost zones spill at the same time: a target that can't accept it all serves each the same share
    for rank in range(max((len(policy.spill_order(zone)) for zone in unplaced), default=0)):
        wanted: dict[str, list[str]] = {}
        for zone, fills in unplaced.items():
            order = [other for other in policy.spill_order(zone) if other not in zones]
            if fills > 0 and rank < len(order):
                wanted.setdefault(order[rank], []).append(zone)
        for target, homes in sorted(wanted.items()):
            offered = {
                home: min(unplaced[home], remaining_allowance(topology, home, forecast)) for home in homes
            }
            accepted_share = (
                min(1.0, remaining[target] / sum(offered.values())) if sum(offered.values()) else 0.0
            )
            for home in homes:
                forecast.spilt[home, target] = offered[home] * accepted_share
                unplaced[home] -= offered[home] * accepted_share
                remaining[target] -= offered[home] * accepted_share
    excess = sum(unplaced.values())
    forecast.vault = min(excess, topology.vault_cap) if topology.vault_cap else excess
    if excess > forecast.vault:
        refused_share = 1 - forecast.vault / excess
        forecast.held_back = {zone: fills * refused_share for zone, fills in unplaced.items() if fills > 0}
    return forecast


def remaining_allowance(topology: Topology, home: str, forecast: LossForecast) -> float:
    """Returns how much more of the zone's traffic may spill over."""
    spilled = sum(fills for (zone, _), fills in forecast.spilt.items() if zone == home)
    return max(0.0, topology.zones[home].gives * forecast.asked[home] - spilled)
