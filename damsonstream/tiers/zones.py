"""The loss and the return of a zone, as one gateway sees it. No I/O.

How it is called: `Watch(zones, now)` is told of forwards to each zone's hubs (`seen`), and asked `share(home,
now)`: which part of a zone's objects goes where. Times are seconds on a clock that only goes forward.

A zone is Well, Doubted, Lost or Returning. It is doubted when most of its hubs fail, not one of them: a dead
hub is the breaker's matter. Doubted for `DOUBT`, it is lost, and what it carried spills into the zones that
it prefers, each of which takes a stated part at most; what fits nowhere is not moved on. A lost zone is tried
with a thousandth of its objects; where these go well, it returns by object hash, a growing share over `RAMP`,
the same objects at every gateway, so that each object is filled once and not by all.

A zone that is lost again while it returns, or soon after, is damped: each such turn makes the next return
begin later and take longer, up to a bound; a zone that stays well for `FORGET` is as any other. So a flapping
zone gets cheaper each time, and one that stays well always comes back whole.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from damsonstream.tiers.shape import RAMP as RAMP
from damsonstream.tiers.shape import Zone

WELL, DOUBTED, LOST, RETURNING = "Well", "Doubted", "Lost", "Returning"
WINDOW = 3.0  # seconds over which a zone's forwards are judged: as the breakers' window
MOST = 0.5  # share of a zone's hubs that must fail: under it the others carry on
BAD = 0.5  # share of a hub's forwards that end badly, the breakers' own
LEAST = 3  # forwards at a hub, to say anything of it
DOUBT = 1.0  # seconds: a release of all hubs at once is seen as a loss only if it lasts
TRIAL = 0.001  # of its objects, while it is lost
TRIES = 5  # good ones in a row end a loss
FIRST = 0.05  # share that a return begins with
HOLD, HOLD_LONGEST = 2.0, 60.0  # seconds that a lost zone stays lost at least; doubled with each flap
SLOWER, SLOWEST = 1.5, 4.0  # a flap makes the next return so many times as long
FORGET = 120.0  # seconds well, after which flaps are forgotten


@dataclass(slots=True)
class Hub:
    """Forwards to one hub."""

    ends: deque[tuple[float, bool]] = field(default_factory=deque)  # emptied as the window rolls

    def add(self, now: float, good: bool) -> None:
        self.ends.append((now, good))
        self.roll(now)

    def roll(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now - WINDOW:
            self.ends.popleft()

    def fails(self, now: float) -> bool | None:
        """None: too little is known."""
        self.roll(now)
        if len(self.ends) < LEAST:
            return None
        return sum(not good for _, good in self.ends) > BAD * len(self.ends)


@dataclass(slots=True)
class State:
    zone: Zone
    name: str = WELL
    since: float = 0.0
    flaps: int = 0
    lost_at: float = -1e9
    good: int = 0  # trials in a row
    hubs: dict[str, Hub] = field(default_factory=dict)

    @property
    def hold(self) -> float:
        return min(HOLD_LONGEST, HOLD * float(1 << min(self.flaps, 20)))

    @property
    def ramp(self) -> float:
        return RAMP * min(SLOWEST, math.pow(SLOWER, min(self.flaps, 20)))


class Watch:
    def __init__(self, zones: dict[str, Zone], hubs: dict[str, str], now: float) -> None:
        """`hubs`: the zone of each."""
        self.states = {name: State(zone, since=now) for name, zone in zones.items()}
        self.homes = dict(hubs)
        for hub, zone in hubs.items():
            self.states[zone].hubs[hub] = Hub()

    def seen(self, hub: str, good: bool, now: float) -> str:
        """A forward to a hub has ended; returns the zone's new state where it changes."""
        zone = self.homes.get(hub)
        if zone is None:
            return ""
        state = self.states[zone]
        state.hubs[hub].add(now, good)
        if state.name == LOST:
            state.good = state.good + 1 if good else 0
        return self.look(zone, now)

    def failing(self, state: State, now: float) -> bool:
        """Most of its hubs are known to fail."""
        known = [fails for hub in state.hubs.values() if (fails := hub.fails(now)) is not None]
        return sum(known) > MOST * len(state.hubs)

    def look(self, zone: str, now: float) -> str:
        """Takes the step that is due; to be called now and then also without news."""
        state = self.states[zone]
        before = state.name
        failing = self.failing(state, now)
        if state.name == WELL and failing:
            self.turn(state, DOUBTED, now)
        elif state.name == DOUBTED and not failing:
            self.turn(state, WELL, now)
        elif state.name == DOUBTED and now - state.since >= DOUBT:
            self.lose(state, now)
        elif state.name == LOST and state.good >= TRIES and now - state.since >= state.hold:
            for hub in state.hubs.values():
                hub.ends.clear()  # what was seen of the loss says nothing any more
            self.turn(state, RETURNING, now)
        elif state.name == RETURNING and failing:
            self.lose(state, now)
        elif state.name == RETURNING and now - state.since >= state.ramp:
            self.turn(state, WELL, now)
        if state.name == WELL and state.flaps and now - state.since >= FORGET:
            state.flaps = 0
        return state.name if state.name != before else ""

    def lose(self, state: State, now: float) -> None:
        again = state.name == RETURNING or now - state.lost_at < FORGET
        state.flaps = state.flaps + 1 if again else 0
        state.lost_at, state.good = now, 0
        self.turn(state, LOST, now)

    def turn(self, state: State, name: str, now: float) -> None:
        state.name, state.since = name, now

    def carries(self, zone: str, now: float) -> float:
        """Share of its own objects that a zone's hubs are asked for."""
        state = self.states[zone]
        if state.name in (WELL, DOUBTED):
            return 1.0
        if state.name == LOST:
            return TRIAL
        return min(1.0, FIRST + (1 - FIRST) * (now - state.since) / state.ramp)

    def share(self, home: str, now: float) -> dict[str, float]:
        """Where a zone's objects go: shares of them by zone, what is missing to 1 goes nowhere (copies, or
        shed). What spills into a zone stays under what it takes, with all zones that are lost together;
        nothing spills into one that is not well itself."""
        found = {home: self.carries(home, now)}
        left = min(1 - found[home], self.states[home].zone.gives)
        for other in self.states[home].zone.prefers:
            if left <= 0 or other not in self.states or self.states[other].name != WELL:
                continue
            part = min(left, self.room(home, other, now))
            if part > 0:
                found[other] = part
                left -= part
        return found

    def room(self, home: str, other: str, now: float) -> float:
        """What a zone takes of another's objects: its limit, divided among all that are lost and would spill
        into it."""
        asking = [
            name
            for name, state in self.states.items()
            if name != other and self.carries(name, now) < 1 and other in state.zone.prefers
        ]
        return self.states[other].zone.takes / max(1, len(asking)) if home in asking else 0.0


def goes(place: float, home: str, share: dict[str, float]) -> str | None:
    """The zone of an object whose hash is `place` (0 to 1); None: nowhere. Home has the low places, the
    others the high ones: as home's part grows, objects come back one after the other, and no object changes
    between the others meanwhile."""
    if place < share.get(home, 0.0):
        return home
    reached = 1.0
    for zone, part in share.items():
        if zone != home:
            reached -= part
            if place >= reached - 1e-12:
                return zone
    return None
