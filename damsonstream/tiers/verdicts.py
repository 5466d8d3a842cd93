"""What the fleet believes of each zone, in common. No I/O; time is handed in, in seconds of a clock of one's
own.

How it is called: `Verdicts(zones, now)`; `sees(zone, failing, agree, well, now)` is told what this
gateway's hubs of a zone do and how many others say that it fails or that they are answered
(peers/evidence.py); `tried(zone, good, now)` of each trial while it is lost, anyone's; `heard(verdict,
now)` of what others believe; `look(now)` takes the steps that are due and gives the verdicts to tell.
`carries(zone)` is the share of a zone's objects that its own hubs are asked for, the same at every
gateway that has heard the same.

A verdict is (zone, epoch, step, state, progress, flaps). Each loss for all begins an epoch, each change
within it is a step. Of two verdicts the later epoch, then the later step wins, and of one and the same
step the more careful: so they may come in any order, twice or never, and all that hear each other end
with one. No leader and no vote: whoever has waited long enough takes the next step, and those that take
it at once take the same.

Bounds (tests/test_verdicts.py):
- **The ramp is one for the fleet, and never faster than stated.** A gateway takes a step no sooner than
  `ramp / STEPS` after it first held the one before; so none holds step n before n of those times since
  the first, whoever is restarted, cut off or late. One that starts takes up the ramp where those are that
  it hears.
- **What a side of a split does harms neither**: a loss that one side sees is that side's (others are
  answered: `lost here`, never told); a zone's return asks its hubs for no more than the ramp, whoever
  holds it.
- **Changes are bounded**: an epoch has STEPS + 3 changes at most, and only a loss begins one; with each
  flap the next return begins later and takes longer, and the flaps are told with the verdict.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from damsonstream.tiers.shape import RAMP
from damsonstream.tiers.zones import (
    DOUBT,
    FIRST,
    FORGET,
    HOLD,
    HOLD_LONGEST,
    LOST,
    RETURNING,
    SLOWER,
    SLOWEST,
    TRIAL,
    TRIES,
    WELL,
)

AGREE = 3  # gateways, this one included, that see a zone fail before it is lost for all: as peers/evidence.py
STEPS = 20  # of a return: a twentieth of the objects more each time
CARE = {LOST: 2, RETURNING: 1, WELL: 0}  # which wins where epoch and step are the same
AGAIN = 5.0  # seconds after which what still matters is told again: to those that were cut off, or start
SIGHT = 3.0  # seconds for which a bad end counts, as in peers/evidence.py
ANSWERS = 2.0  # seconds for which an answer outweighs others' words: two of a gateway at full size
AHEAD = 16  # epochs that a word may be ahead: more is nonsense, and would win for ever
BY_CARE = sorted(CARE, key=CARE.__getitem__)  # as the wire has them
FLAPS = 32  # counted at most: the hold has long reached its bound


@dataclass(slots=True, frozen=True)
class Verdict:
    zone: str
    epoch: int = 0
    step: int = 0
    state: str = WELL
    progress: int = STEPS  # twentieths of a return
    flaps: int = 0

    @property
    def key(self) -> tuple[int, int, int, int, int]:
        """Whole order: the later, then the more careful."""
        return self.epoch, self.step, CARE[self.state], -self.progress, self.flaps

    @property
    def hold(self) -> float:
        return min(HOLD_LONGEST, HOLD * float(1 << min(self.flaps, 20)))

    def pace(self, ramp: float = RAMP) -> float:
        """Seconds for a step of its return, of a zone whose hubs warm in `ramp`."""
        return ramp * min(SLOWEST, math.pow(SLOWER, min(self.flaps, 20))) / STEPS


def merged(one: Verdict, other: Verdict) -> Verdict:
    return one if one.key >= other.key else other


@dataclass(slots=True)
class Belief:
    """What one gateway holds of a zone."""

    verdict: Verdict
    ramp: float  # seconds of its return, as the hierarchy tells
    since: float  # when this gateway first held it
    well_since: float  # when it was last seen well again, for flaps to be forgotten
    failing_since: float = -1.0  # own hubs of it fail, -1: they don't
    agree: int = 0  # other gateways that see it fail
    bad_at: float = -1e9  # when this one saw it fail itself, last
    back_at: float = -1e9  # since when its last return is under way, or over, as held here
    dead: bool = False  # whether the fleet's evidence on its hubs says so of most
    well: int = 0  # others that are answered
    good: int = 0  # trials in a row, anyone's
    answered_at: float = -1e9  # when its hubs last answered this gateway
    failing_at: float = 0.0  # when they were last seen to fail, or this gateway started
    disbelieved: int = 0  # the latest epoch that this gateway does not believe
    told: Verdict | None = None
    told_at: float = 0.0

    @property
    def seen(self) -> float:
        """Seconds without a failure after which no return of it can be under way."""
        return self.ramp * SLOWEST + HOLD_LONGEST


@dataclass(slots=True)
class Verdicts:
    beliefs: dict[str, Belief] = field(default_factory=dict)
    agree: int = AGREE
    changes: int = 0

    @classmethod
    def of(cls, zones: Iterable[str] | Mapping[str, float], now: float, told: int = AGREE) -> Verdicts:
        """`zones`: their names, or the seconds of each one's return by name; `told`: gateways of the fleet,
        since of fewer than AGREE all have to agree."""
        ramps = zones if isinstance(zones, Mapping) else dict.fromkeys(zones, RAMP)
        made = cls(agree=max(1, min(AGREE, told)))
        made.follow(ramps, now)
        return made

    def follow(self, zones: Mapping[str, float], now: float) -> None:
        """Another revision: what is believed of zones that stay is kept."""
        for zone in [zone for zone in self.beliefs if zone not in zones]:
            del self.beliefs[zone]
        for zone, ramp in zones.items():
            belief = self.beliefs.setdefault(zone, Belief(Verdict(zone), ramp, now, now, failing_at=now))
            belief.ramp = ramp

    def hold(self, belief: Belief, verdict: Verdict, now: float) -> None:
        if verdict.state == LOST and belief.verdict.state != LOST:
            belief.good = 0
        if verdict.state == WELL and belief.verdict.state != WELL:
            belief.well_since = now
        if verdict.state != LOST and (belief.verdict.state == LOST or verdict.epoch > belief.verdict.epoch):
            belief.back_at = now
        belief.verdict, belief.since = verdict, now
        self.changes += 1

    def heard(self, verdict: Verdict, now: float) -> bool:
        """Whether it is news. What is told of a zone that this gateway does not know says nothing here."""
        belief = self.beliefs.get(verdict.zone)
        if belief is None or not 0 <= verdict.progress <= STEPS or verdict.state not in CARE:
            return False
        if verdict.key <= belief.verdict.key or verdict.epoch > belief.verdict.epoch + AHEAD:
            return False
        # own sight outweighs what is told: a zone that answers here is not lost for all, nor does it return
        # where it was never seen to fail; but one that just started has not seen enough to say so
        if verdict.epoch > belief.verdict.epoch and verdict.state != WELL:
            answers = now - belief.answered_at < ANSWERS and belief.failing_since < 0
            if answers and (verdict.state == LOST or now - belief.failing_at > belief.seen):
                belief.disbelieved = verdict.epoch
            if verdict.epoch <= belief.disbelieved:
                return False
        self.hold(belief, verdict, now)
        return True

    def sees(
        self, zone: str, failing: bool, agree: int, well: int, now: float, answered: bool = False,
        own: bool = True, dead: bool = False,
    ) -> None:  # fmt: skip
        """`answered`: its hubs gave this gateway something just now; `own`: one of them failed here just now;
        `dead`: enough gateways have seen nothing but bad ends of most of its hubs, one by one, since its last
        return began. What was seen before that says nothing against it: breakers stay Open for seconds."""
        belief = self.beliefs[zone]
        belief.agree, belief.well, belief.dead = agree, well, dead
        if own and not answered:
            belief.bad_at = now
        if answered:
            belief.answered_at = now
        if not failing:
            belief.failing_since = -1.0
        elif belief.failing_since < 0:
            belief.failing_since = now
        if failing:
            belief.failing_at = now

    def tried(self, zone: str, good: bool, now: float) -> None:
        belief = self.beliefs[zone]
        if belief.verdict.state == LOST:
            belief.good = belief.good + 1 if good else 0

    def enough(self, belief: Belief, now: float) -> bool:
        """Whether as many as it takes have seen it fail lately, this gateway included where it has."""
        own = belief.bad_at > max(belief.back_at, now - SIGHT)
        return (belief.dead or belief.agree + own >= self.agree) and not belief.well

    def fails_for_all(self, belief: Belief, now: float) -> bool:
        lasts = belief.failing_since >= 0 and now - belief.failing_since >= DOUBT
        return lasts and self.enough(belief, now)

    def proved(self, belief: Belief) -> bool:
        """Whether a lost zone's hubs are known to give again: to this gateway often, or to enough at once."""
        return belief.good >= TRIES or (belief.good > 0 and belief.well + 1 >= self.agree > 1)

    def look(self, now: float, cut_off: bool = False) -> list[Verdict]:
        """Takes what is due; a gateway that hears nobody takes no step for others."""
        told = []
        for belief in self.beliefs.values():
            if not cut_off:
                self.step(belief, now)
            recent = now - belief.since < FORGET and now - belief.told_at >= AGAIN
            if belief.verdict.epoch and (belief.verdict != belief.told or recent):
                belief.told, belief.told_at = belief.verdict, now
                told.append(belief.verdict)
        return told

    def due(self, belief: Belief, now: float) -> bool:
        """Whether the next step of a return may be taken here."""
        return belief.failing_since < 0 and now - belief.since >= belief.verdict.pace(belief.ramp)

    def step(self, belief: Belief, now: float) -> None:
        one = belief.verdict
        if one.state != LOST and self.fails_for_all(belief, now):
            again = one.epoch > 0 and (one.state == RETURNING or now - belief.well_since < FORGET)
            flaps = min(FLAPS, one.flaps + 1) if again else 0
            self.hold(belief, Verdict(one.zone, one.epoch + 1, 0, LOST, 0, flaps), now)
        elif one.state == LOST and self.proved(belief) and now - belief.since >= one.hold:
            belief.failing_since = -1.0  # what was seen of the loss says nothing any more
            self.hold(belief, Verdict(one.zone, one.epoch, one.step + 1, RETURNING, 1, one.flaps), now)
        elif one.state == RETURNING and self.due(belief, now):
            progress = one.progress + 1
            state = WELL if progress >= STEPS else RETURNING
            self.hold(belief, Verdict(one.zone, one.epoch, one.step + 1, state, progress, one.flaps), now)

    def state(self, zone: str, now: float, cut_off: bool = False) -> str:
        """Well, Doubted, Lost, Returning; Lost here: its hubs fail here and answer others; Cut off: nobody is
        heard, and what is believed of it is old."""
        belief = self.beliefs[zone]
        if cut_off and belief.failing_since >= 0:
            return "Cut off"
        if belief.verdict.state != WELL:
            return belief.verdict.state
        if belief.failing_since < 0 or (belief.bad_at <= belief.back_at and not belief.dead):
            return WELL  # or held Open here on words that are older than its return: others know better
        if now - belief.failing_since < DOUBT:
            return "Doubted"
        return "Doubted" if self.enough(belief, now) else "Lost here"

    def carries(self, zone: str, now: float, cut_off: bool = False) -> float:
        """Share of its own objects that a zone's hubs are asked for."""
        state = self.state(zone, now, cut_off)
        if state in (WELL, "Doubted"):
            return 1.0
        if state == RETURNING:
            return max(FIRST, self.beliefs[zone].verdict.progress / STEPS)
        return TRIAL
