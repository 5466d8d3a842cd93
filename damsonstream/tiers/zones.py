"""Detects the loss and the return of zones from the forwards of a single gateway. No I/O.

`ZoneMonitor(zones, hubs, now)`: `record` takes the outcome of each forward to a zone's hubs,
`traffic_split(home, now)` returns which share of a zone's objects goes where. Times are seconds on a
monotonic clock.

A zone is Well, Doubted, Lost or Returning. It becomes doubted when most of its hubs fail; a single failing
hub is left to its circuit breaker. After `DOUBT_S` in doubt it is lost, and its traffic spills into the zones
that it prefers, each of which accepts a stated share at most; the rest is not moved on. A lost zone is probed
with a thousandth of its objects. If these trials succeed, it returns by object hash, with a share that grows
over its ramp and holds the same objects at every gateway, so that each object is filled once and not by every
gateway.

A zone that is lost again while it returns, or soon after, is damped: each flap delays the next return and
makes it slower, up to a bound. After `FLAP_MEMORY_S` in state Well its flaps are forgotten. So a flapping
zone costs less each time, and one that stays healthy always returns to full traffic.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from damsonstream.tiers.hierarchy import DEFAULT_RAMP_S as DEFAULT_RAMP_S
from damsonstream.tiers.hierarchy import Zone

WELL, DOUBTED, LOST, RETURNING = "Well", "Doubted", "Lost", "Returning"
WINDOW_S = 3.0  # seconds of forwards that a zone is judged by: the same window as the breakers'
MAX_FAILING_SHARE = 0.5  # a zone fails if more than this share of its hubs fail; else the others take over
MAX_FAILURE_RATIO = 0.5  # a hub fails if more than this share of its forwards fail, as for breakers
MIN_FORWARDS = 3  # fewest forwards to a hub by which it is judged
DOUBT_S = 1.0  # seconds; a release that restarts all hubs at once is not a loss unless it lasts longer
TRIAL_SHARE = 0.001  # share of its objects by which a lost zone is probed
TRIALS_TO_RETURN = 5  # successful trials in a row that end a loss
FIRST_SHARE = 0.05  # share of its objects with which a return begins
HOLD_S, MAX_HOLD_S = 2.0, 60.0  # least seconds in state Lost, doubled with each flap, and the bound
RAMP_BACKOFF, MAX_RAMP_FACTOR = 1.5, 4.0  # factor by which each flap lengthens the next ramp, and the bound
FLAP_MEMORY_S = 120.0  # seconds in state Well after which flaps are forgotten


@dataclass(slots=True)
class HubWindow:
    """Sliding window of the forwards to one hub."""

    outcomes: deque[tuple[float, bool]] = field(default_factory=deque)  # (time, success) within WINDOW_S

    def add(self, now: float, good: bool) -> None:
        self.outcomes.append((now, good))
        self.expire(now)

    def expire(self, now: float) -> None:
        while self.outcomes and self.outcomes[0][0] <= now - WINDOW_S:
            self.outcomes.popleft()

    def failing(self, now: float) -> bool | None:
        """Returns whether the hub fails, or None if there are too few forwards."""
        self.expire(now)
        if len(self.outcomes) < MIN_FORWARDS:
            return None
        return sum(not good for _, good in self.outcomes) > MAX_FAILURE_RATIO * len(self.outcomes)


@dataclass(slots=True)
class MonitoredZone:
    """State of one zone as this gateway sees it."""

    zone: Zone
    state: str = WELL
    since: float = 0.0
    flaps: int = 0
    lost_at: float = -1e9
    good_trials: int = 0  # successful trials in a row
    hubs: dict[str, HubWindow] = field(default_factory=dict)

    @property
    def hold_s(self) -> float:
        """Least seconds in state Lost."""
        return min(MAX_HOLD_S, HOLD_S * float(1 << min(self.flaps, 20)))

    @property
    def ramp_s(self) -> float:
        """Seconds over which the zone returns."""
        return DEFAULT_RAMP_S * min(MAX_RAMP_FACTOR, math.pow(RAMP_BACKOFF, min(self.flaps, 20)))


class ZoneMonitor:
    """The states of all zones at one gateway."""

    def __init__(self, zones: dict[str, Zone], hubs: dict[str, str], now: float) -> None:
        """`hubs` maps each hub to its zone."""
        self.zones = {name: MonitoredZone(zone, since=now) for name, zone in zones.items()}
        self.zone_by_hub = dict(hubs)
        for hub, zone in hubs.items():
            self.zones[zone].hubs[hub] = HubWindow()

    def record(self, hub: str, good: bool, now: float) -> str:
        """Records the outcome of a forward; returns the zone's new state if it changes, else an empty
        string."""
        zone = self.zone_by_hub.get(hub)
        if zone is None:
            return ""
        monitored = self.zones[zone]
        monitored.hubs[hub].add(now, good)
        if monitored.state == LOST:
            monitored.good_trials = monitored.good_trials + 1 if good else 0
        return self.advance(zone, now)

    def most_failing(self, monitored: MonitoredZone, now: float) -> bool:
        """Returns whether most hubs of the zone are known to fail."""
        known = [failing for hub in monitored.hubs.values() if (failing := hub.failing(now)) is not None]
        return sum(known) > MAX_FAILING_SHARE * len(monitored.hubs)

    def advance(self, zone: str, now: float) -> str:
        """Makes a state change that is due and returns the new state, or an empty string.

        Must also be called from time to time when there are no forwards."""
        monitored = self.zones[zone]
        before = monitored.state
        failing = self.most_failing(monitored, now)
        if monitored.state == WELL and failing:
            self.set_state(monitored, DOUBTED, now)
        elif monitored.state == DOUBTED and not failing:
            self.set_state(monitored, WELL, now)
        elif monitored.state == DOUBTED and now - monitored.since >= DOUBT_S:
            self.mark_lost(monitored, now)
        elif (
            monitored.state == LOST
            and monitored.good_trials >= TRIALS_TO_RETURN
            and now - monitored.since >= monitored.hold_s
        ):
            for hub in monitored.hubs.values():
                hub.outcomes.clear()  # outcomes from the time of the loss no longer count
            self.set_state(monitored, RETURNING, now)
        elif monitored.state == RETURNING and failing:
            self.mark_lost(monitored, now)
        elif monitored.state == RETURNING and now - monitored.since >= monitored.ramp_s:
            self.set_state(monitored, WELL, now)
        if monitored.state == WELL and monitored.flaps and now - monitored.since >= FLAP_MEMORY_S:
            monitored.flaps = 0
        return monitored.state if monitored.state != before else ""

    def mark_lost(self, monitored: MonitoredZone, now: float) -> None:
        """Marks a zone lost; a loss during or soon after a return counts as a flap."""
        relapse = monitored.state == RETURNING or now - monitored.lost_at < FLAP_MEMORY_S
        monitored.flaps = monitored.flaps + 1 if relapse else 0
        monitored.lost_at, monitored.good_trials = now, 0
        self.set_state(monitored, LOST, now)

    def set_state(self, monitored: MonitoredZone, state: str, now: float) -> None:
        monitored.state, monitored.since = state, now

    def home_share(self, zone: str, now: float) -> float:
        """Returns the share of a zone's own objects that its hubs are asked for."""
        monitored = self.zones[zone]
        if monitored.state in (WELL, DOUBTED):
            return 1.0
        if monitored.state == LOST:
            return TRIAL_SHARE
        return min(1.0, FIRST_SHARE + (1 - FIRST_SHARE) * (now - monitored.since) / monitored.ramp_s)

    def traffic_split(self, home: str, now: float) -> dict[str, float]:
        """Returns the shares of a zone's objects by target zone.

        If they sum to less than 1, the rest has no source: answered from cached copies only, or shed. The
        spill of all lost zones into one zone stays under its limit, and only zones in state Well accept
        any."""
        split = {home: self.home_share(home, now)}
        left = min(1 - split[home], self.zones[home].zone.gives)
        for other in self.zones[home].zone.prefers:
            if left <= 0 or other not in self.zones or self.zones[other].state != WELL:
                continue
            spilled = min(left, self.spill_share(home, other, now))
            if spilled > 0:
                split[other] = spilled
                left -= spilled
        return split

    def spill_share(self, home: str, other: str, now: float) -> float:
        """Returns the share of `home`'s objects that `other` accepts: its limit, divided among all lost zones
        that would spill into it."""
        claimants = [
            name
            for name, monitored in self.zones.items()
            if name != other and self.home_share(name, now) < 1 and other in monitored.zone.prefers
        ]
        return self.zones[other].zone.takes / max(1, len(claimants)) if home in claimants else 0.0


def zone_for(hash_point: float, home: str, split: dict[str, float]) -> str | None:
    """Returns the zone of an object with the hash `hash_point` (0 to 1), or None if it has no source.

    Home takes the low hashes, the other zones the high ones: as home's share grows, objects return one by one
    and none moves between the other zones."""
    if hash_point < split.get(home, 0.0):
        return home
    lower = 1.0
    for zone, share in split.items():
        if zone != home:
            lower -= share
            if hash_point >= lower - 1e-12:
                return zone
    return None
