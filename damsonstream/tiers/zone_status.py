"""Replicates the state of each zone across the fleet without a coordinator. No I/O; times are seconds on a
monotonic clock of the gateway's own.

`ZoneTracker.create(zones, now)`: `observe(zone, failing, agreeing, answered_elsewhere, now)` records what
this gateway's forwards show of a zone's hubs, how many other gateways see it fail and how many get answers
from it (peers/evidence.py). `record_trial(zone, good, now)` takes each trial at a lost zone, from any
gateway, `receive(status, now)` the statuses that other gateways hold. `advance(now)` makes the state changes
that are due and returns the statuses to send. `home_share(zone, now)` is the share of a zone's objects that
its own hubs are asked for; it is the same at all gateways that hold the same status.

A `ZoneStatus` is (zone, epoch, step, state, progress, flaps). Each fleet-wide loss begins an epoch, each
change within it is a step. Of two statuses the later epoch wins, then the later step, then the more severe
state. So messages may arrive in any order, repeatedly or not at all, and gateways that can reach each other
converge on one status. There is no leader and no vote: any gateway that has waited long enough takes the next
step, and gateways that do so at the same time take the same one.

Bounds (tests/test_verdicts.py):
- **One ramp for the fleet, never faster than configured.** A gateway takes a step no sooner than
  `ramp / RAMP_STEPS` after it first held the one before. So no gateway holds step n earlier than n such
  intervals after the first one, whatever restarts, partitions or delays there are. A gateway that starts
  joins the ramp at the position that it receives.
- **Neither side of a network partition harms the other.** A loss that only one side sees stays local to it
  (other gateways get answers: state `Lost here`, never sent). The return of a zone asks no more of its hubs
  than the ramp, whichever side holds it.
- **The number of changes is bounded.** An epoch has at most RAMP_STEPS + 3 changes, and only a loss begins
  one. Each flap makes the next return start later and take longer; the flap count is part of the status.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from damsonstream.tiers.hierarchy import DEFAULT_RAMP_S
from damsonstream.tiers.zones import (
    DOUBT_S,
    FIRST_SHARE,
    FLAP_MEMORY_S,
    HOLD_S,
    LOST,
    MAX_HOLD_S,
    MAX_RAMP_FACTOR,
    RAMP_BACKOFF,
    RETURNING,
    TRIAL_SHARE,
    TRIALS_TO_RETURN,
    WELL,
)

# Gateways, this one included, that must see a zone fail for a fleet-wide loss; as in peers/evidence.py.
QUORUM = 3
RAMP_STEPS = 20  # of a return; each adds a twentieth of the objects
RANK = {LOST: 2, RETURNING: 1, WELL: 0}  # the more severe state wins where epoch and step are equal
RESEND_S = 5.0  # interval of resending recent statuses to gateways that were partitioned or just started
FAILURE_MEMORY_S = 3.0  # seconds for which a failure counts, as in peers/evidence.py
# Seconds for which an own answer outweighs received statuses: two report intervals in a full-size fleet.
ANSWER_MEMORY_S = 2.0
# A received epoch further ahead is rejected as corrupt: it would win over every later one.
MAX_EPOCH_LEAD = 16
# The codes of states on the wire are indexes into this list.
BY_RANK = sorted(RANK, key=RANK.__getitem__)
MAX_FLAPS = 32  # flap count stops here, where the hold time has long reached its bound


@dataclass(slots=True, frozen=True)
class ZoneStatus:
    """Replicated state of one zone."""

    zone: str
    epoch: int = 0
    step: int = 0
    state: str = WELL
    progress: int = RAMP_STEPS  # completed twentieths of a return
    flaps: int = 0

    @property
    def key(self) -> tuple[int, int, int, int, int]:
        """Total order by which statuses are merged: later first, then more severe."""
        return self.epoch, self.step, RANK[self.state], -self.progress, self.flaps

    @property
    def hold_s(self) -> float:
        """Least seconds for which the zone stays lost."""
        return min(MAX_HOLD_S, HOLD_S * float(1 << min(self.flaps, 20)))

    def step_interval_s(self, ramp: float = DEFAULT_RAMP_S) -> float:
        """Returns the seconds per step of a return over `ramp` seconds, lengthened by flaps."""
        return ramp * min(MAX_RAMP_FACTOR, math.pow(RAMP_BACKOFF, min(self.flaps, 20))) / RAMP_STEPS


def merge(one: ZoneStatus, other: ZoneStatus) -> ZoneStatus:
    """Returns the status that wins; commutative, associative and idempotent."""
    return one if one.key >= other.key else other


@dataclass(slots=True)
class ZoneView:
    """What one gateway holds and has observed of a zone."""

    status: ZoneStatus
    ramp: float  # seconds of its return, from the hierarchy file
    status_since: float  # when this gateway first held the status
    well_since: float  # when it last became Well, for forgetting flaps
    failing_since: float = -1.0  # since when most of its hubs fail for this gateway; -1: they do not
    agreeing: int = 0  # number of other gateways that see it fail
    local_failure_at: float = -1e9  # last failure that this gateway observed itself
    return_started_at: float = -1e9  # when its last return began, as held here
    hubs_dead: bool = False  # whether the fleet reports most of its hubs as dead
    answered_elsewhere: int = 0  # number of other gateways that get answers
    good_trials: int = 0  # successful trials in a row, from any gateway
    answered_at: float = -1e9  # when its hubs last answered this gateway
    last_failing_at: float = 0.0  # when most of its hubs last failed here; initially this gateway's start
    rejected_epoch: int = 0  # latest epoch that this gateway rejected because it gets answers
    sent: ZoneStatus | None = None  # status that was sent last
    sent_at: float = 0.0

    @property
    def max_return_s(self) -> float:
        """Seconds after a failure within which a return may be in progress."""
        return self.ramp * MAX_RAMP_FACTOR + MAX_HOLD_S


@dataclass(slots=True)
class ZoneTracker:
    """The views of all zones at one gateway."""

    views: dict[str, ZoneView] = field(default_factory=dict)
    quorum: int = QUORUM
    changes: int = 0

    @classmethod
    def create(
        cls,
        zones: Iterable[str] | Mapping[str, float],
        now: float,
        gateways: int = QUORUM,
    ) -> ZoneTracker:
        """Creates a tracker.

        `zones`: their names, or each one's ramp in seconds by name; `gateways` in the fleet: of fewer than
        QUORUM all have to agree."""
        ramps = zones if isinstance(zones, Mapping) else dict.fromkeys(zones, DEFAULT_RAMP_S)
        tracker = cls(quorum=max(1, min(QUORUM, gateways)))
        tracker.set_zones(ramps, now)
        return tracker

    def set_zones(self, zones: Mapping[str, float], now: float) -> None:
        """Sets the zones of a new revision; the views of remaining zones are kept."""
        for zone in [zone for zone in self.views if zone not in zones]:
            del self.views[zone]
        for zone, ramp in zones.items():
            view = self.views.setdefault(
                zone,
                ZoneView(ZoneStatus(zone), ramp, now, now, last_failing_at=now),
            )
            view.ramp = ramp

    def adopt(self, view: ZoneView, status: ZoneStatus, now: float) -> None:
        """Replaces the held status and updates the times that depend on it."""
        if status.state == LOST and view.status.state != LOST:
            view.good_trials = 0
        if status.state == WELL and view.status.state != WELL:
            view.well_since = now
        if status.state != LOST and (view.status.state == LOST or status.epoch > view.status.epoch):
            view.return_started_at = now
        view.status, view.status_since = status, now
        self.changes += 1

    def receive(self, status: ZoneStatus, now: float) -> bool:
        """Merges a status from another gateway; returns whether it was adopted.

        Statuses of unknown zones are ignored."""
        view = self.views.get(status.zone)
        if view is None or not 0 <= status.progress <= RAMP_STEPS or status.state not in RANK:
            return False
        if status.key <= view.status.key or status.epoch > view.status.epoch + MAX_EPOCH_LEAD:
            return False
        # Own observations outweigh received statuses: a zone that answers here is not lost for the fleet, nor
        # is it returning if it never failed here. A gateway that just started has not observed enough to
        # reject.
        if status.epoch > view.status.epoch and status.state != WELL:
            answers = now - view.answered_at < ANSWER_MEMORY_S and view.failing_since < 0
            if answers and (status.state == LOST or now - view.last_failing_at > view.max_return_s):
                view.rejected_epoch = status.epoch
            if status.epoch <= view.rejected_epoch:
                return False
        self.adopt(view, status, now)
        return True

    def observe(
        self, zone: str, failing: bool, agreeing: int, answered_elsewhere: int, now: float,
        answered: bool = False, failed_here: bool = True, hubs_dead: bool = False,
    ) -> None:  # fmt: skip
        """Records the observations of a zone.

        `answered`: its hubs just answered this gateway; `failed_here`: one of them just failed here;
        `hubs_dead`: for most of its hubs, enough gateways observed nothing but failures since its last return
        began. Earlier failures do not count, since breakers stay Open for seconds."""
        view = self.views[zone]
        view.agreeing, view.answered_elsewhere, view.hubs_dead = agreeing, answered_elsewhere, hubs_dead
        if failed_here and not answered:
            view.local_failure_at = now
        if answered:
            view.answered_at = now
        if not failing:
            view.failing_since = -1.0
        elif view.failing_since < 0:
            view.failing_since = now
        if failing:
            view.last_failing_at = now

    def record_trial(self, zone: str, good: bool, now: float) -> None:
        """Counts successful trials in a row at a lost zone."""
        view = self.views[zone]
        if view.status.state == LOST:
            view.good_trials = view.good_trials + 1 if good else 0

    def quorum_sees_failure(self, view: ZoneView, now: float) -> bool:
        """Returns whether a quorum saw the zone fail recently and no other gateway gets answers."""
        failed_here = view.local_failure_at > max(view.return_started_at, now - FAILURE_MEMORY_S)
        return (view.hubs_dead or view.agreeing + failed_here >= self.quorum) and not view.answered_elsewhere

    def failed_fleetwide(self, view: ZoneView, now: float) -> bool:
        """Returns whether the zone has failed here for DOUBT_S and a quorum sees it."""
        persistent = view.failing_since >= 0 and now - view.failing_since >= DOUBT_S
        return persistent and self.quorum_sees_failure(view, now)

    def recovered(self, view: ZoneView) -> bool:
        """Returns whether a lost zone answers again: enough trials in a row, or answers to a quorum at
        once."""
        return view.good_trials >= TRIALS_TO_RETURN or (
            view.good_trials > 0 and view.answered_elsewhere + 1 >= self.quorum > 1
        )

    def advance(self, now: float, isolated: bool = False) -> list[ZoneStatus]:
        """Makes the changes that are due and returns the statuses to send.

        An isolated gateway, one that receives from no other, changes no status."""
        due = []
        for view in self.views.values():
            if not isolated:
                self.advance_zone(view, now)
            recent = now - view.status_since < FLAP_MEMORY_S and now - view.sent_at >= RESEND_S
            if view.status.epoch and (view.status != view.sent or recent):
                view.sent, view.sent_at = view.status, now
                due.append(view.status)
        return due

    def step_due(self, view: ZoneView, now: float) -> bool:
        """Returns whether this gateway may take the next step of a return."""
        return view.failing_since < 0 and now - view.status_since >= view.status.step_interval_s(view.ramp)

    def advance_zone(self, view: ZoneView, now: float) -> None:
        """Makes at most one state change of a zone."""
        current = view.status
        if current.state != LOST and self.failed_fleetwide(view, now):
            relapse = current.epoch > 0 and (
                current.state == RETURNING or now - view.well_since < FLAP_MEMORY_S
            )
            flaps = min(MAX_FLAPS, current.flaps + 1) if relapse else 0
            self.adopt(view, ZoneStatus(current.zone, current.epoch + 1, 0, LOST, 0, flaps), now)
        elif current.state == LOST and self.recovered(view) and now - view.status_since >= current.hold_s:
            view.failing_since = -1.0  # failures from the time of the loss no longer count
            self.adopt(
                view,
                ZoneStatus(current.zone, current.epoch, current.step + 1, RETURNING, 1, current.flaps),
                now,
            )
        elif current.state == RETURNING and self.step_due(view, now):
            progress = current.progress + 1
            state = WELL if progress >= RAMP_STEPS else RETURNING
            self.adopt(
                view,
                ZoneStatus(current.zone, current.epoch, current.step + 1, state, progress, current.flaps),
                now,
            )

    def state(self, zone: str, now: float, isolated: bool = False) -> str:
        """Returns Well, Doubted, Lost or Returning; `Lost here`: its hubs fail here but answer other
        gateways; `Cut off`: they fail here and this gateway is isolated, so the held status is stale."""
        view = self.views[zone]
        if isolated and view.failing_since >= 0:
            return "Cut off"
        if view.status.state != WELL:
            return view.status.state
        if view.failing_since < 0 or (view.local_failure_at <= view.return_started_at and not view.hubs_dead):
            return WELL  # or its hubs' breakers are still Open from failures before its return
        if now - view.failing_since < DOUBT_S:
            return "Doubted"
        return "Doubted" if self.quorum_sees_failure(view, now) else "Lost here"

    def home_share(self, zone: str, now: float, isolated: bool = False) -> float:
        """Returns the share of a zone's own objects that its hubs are asked for."""
        state = self.state(zone, now, isolated)
        if state in (WELL, "Doubted"):
            return 1.0
        if state == RETURNING:
            return max(FIRST_SHARE, self.views[zone].status.progress / RAMP_STEPS)
        return TRIAL_SHARE
