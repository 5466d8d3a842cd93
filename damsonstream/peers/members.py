"""Who runs: what one gateway believes of the others. No I/O; time is handed in.

How it is called: `Members(me, boot, told, now)`; `heard(now, beat, direct)` for each beat, `doubted(now,
doubt)` for each doubt, `tick(now)` a few times a second, which gives the doubts that this gateway has to
tell. `state(now, place)` is what is believed of one, `standing(now)` what of oneself.

Each gateway exchanges beats with `BESIDE` others on either side of it in one mixed round of all that the
settings tell of, running or not: so many hear it, nobody hears all. One that misses some says so (a doubt);
two doubts of one boot that no newer beat answers make it silent. What that means depends on how many fell
silent together: one or a few are gone, a large part at once is apart (a split: they may go on out of sight).
A gateway that hears nobody is cut off itself, and one that has stood still believes nobody silent because of
it. None of this gives anyone a share that was another's (peers/shares.py): a belief may be wrong, and both
sides of a split may hold it of the other.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from damsonstream.peers import order, wire

S = 10_000
BESIDE = 2  # on either side: two doubts are asked for, so that two of four may be dead or cut off as well
DOUBTS = 2  # one gateway's broken link must make nobody silent
PERIOD = 3 * S  # between beats: four of 40 bytes in it are 50 bytes a second
MISSED = 3  # beats in a row, then a watcher doubts: at a loss of 30% one in 37 does for nothing, two rarely
ANSWER = 1 * S  # for a doubted one to answer before it counts as silent: two ways through the fleet
APART = 0.2  # of the fleet silent within TOGETHER: no coincidence, but a split or a common death
TOGETHER = (MISSED + 1) * PERIOD  # the spread of first doubts of one event
FORGET = 60 * S  # after which what is known of a silent one goes: longer than any restart
STALL = PERIOD // 2  # between two ticks: this process stood still
MOST_BEATS = 1 << 32  # of a boot: more is another's nonsense, and answered by a new boot
ECHO = 4 * PERIOD  # no neighbour that is heard has heard a newer beat of one's own: links one way only


@dataclass(slots=True)
class Member:
    """What is known of one other gateway."""

    boot: int
    beat: int
    heard: int  # when that was, by this gateway's clock
    location: int
    demand: float  # GETs a second
    gap: int = 0  # the longest between its last two beats; shrinks as they come in time again
    returned: bool = False  # it runs under a later boot than was known before


@dataclass(slots=True)
class Silence:
    """Doubts of one boot and beat."""

    boot: int
    beat: int
    since: int
    by: set[int]


class Members:
    def __init__(self, me: int, boot: int, told: int, now: int) -> None:
        """`told`: how many gateways the settings tell of, this one included; never fewer are counted on."""
        self.me, self.boot, self.beat = me, boot, 0
        self.others: dict[int, Member] = {}  # by place, under `told`; emptied after FORGET of silence
        self.silences: dict[int, Silence] = {}  # by place; emptied by a newer beat, or with its member
        self.begun = self.ticked = self.any_at = now  # any_at: the last datagram of anyone
        self.echo, self.echo_at = 0, now  # the latest of one's own beats that is known to be heard; when
        self.said: dict[int, int] = {}  # doubts that this gateway told: by place, the beat
        self.told = 0
        self.resize(now, told)

    def resize(self, now: int, told: int) -> None:
        """The told number has changed; who is beyond it is nobody any more."""
        if told == self.told:
            return
        self.told = told
        for place in [place for place in self.others if place >= told]:
            self.forget(place)
        self.round = order.ring(told)
        self.spot = {place: spot for spot, place in enumerate(self.round)}
        self.watched = {place: now for place in self.beside(self.me)}  # a beat is due of each from then on

    def beside(self, place: int) -> list[int]:
        """With whom it exchanges beats."""
        spot, count = self.spot[place], self.told
        steps = [step for by in range(1, BESIDE + 1) for step in (by, -by)]
        near = dict.fromkeys(self.round[(spot + step) % count] for step in steps)
        near.pop(place, None)
        return list(near)

    def forget(self, place: int) -> None:
        self.others.pop(place, None)
        self.silences.pop(place, None)
        self.said.pop(place, None)

    def anyone(self, now: int) -> None:
        """A datagram came, whoever sent it."""
        self.any_at = now

    def heard(self, now: int, beat: wire.Beat, direct: bool) -> bool:
        """A beat, from its gateway or passed on; whether it is news. A beat of one's own under a later boot
        is an earlier self's or a twin's: this one goes on under a boot beyond it."""
        if beat.by == self.me:
            if beat.boot > self.boot or beat.beat > MOST_BEATS:
                self.boot, self.beat, self.echo = beat.boot + 1, 0, 0
            elif beat.boot == self.boot:
                self.beat = max(self.beat, beat.beat)
            return False
        if beat.by >= self.told:
            return False
        if direct and self.echo < beat.echo <= self.beat:
            self.echo, self.echo_at = beat.echo, now
        known = self.others.get(beat.by)
        if known is not None and (beat.boot, beat.beat) <= (known.boot, known.beat):
            return False
        if known is None:
            self.others[beat.by] = Member(beat.boot, beat.beat, now, beat.location, beat.demand / 100)
        else:
            known.returned = beat.boot > known.boot
            gap = 0 if known.returned else now - known.heard
            known.gap = max(gap, known.gap // 2) if direct else known.gap
            known.boot, known.beat, known.heard = beat.boot, beat.beat, now
            known.location, known.demand = beat.location, beat.demand / 100
        if beat.by in self.watched:
            self.watched[beat.by] = now
        silence = self.silences.get(beat.by)
        if silence is not None and (beat.boot, beat.beat) > (silence.boot, silence.beat):
            del self.silences[beat.by]
        self.said.pop(beat.by, None)
        return True

    def doubted(self, now: int, doubt: wire.Doubt) -> bool:
        """A doubt of a watcher; whether it is news. One of oneself is answered by the next beat, at once."""
        if doubt.of == self.me:
            if doubt.boot == self.boot:
                self.beat = max(self.beat, doubt.beat) + 1
            return False
        if doubt.of >= self.told or doubt.by >= self.told or doubt.by == self.me:
            return False
        known = self.others.get(doubt.of)
        if known is not None and (known.boot, known.beat) > (doubt.boot, doubt.beat):
            return False
        if doubt.by not in self.beside(doubt.of):
            return False  # who does not watch it can't know
        silence = self.silences.get(doubt.of)
        if silence is None or (doubt.boot, doubt.beat) > (silence.boot, silence.beat):
            since = now if silence is None else silence.since
            silence = self.silences[doubt.of] = Silence(doubt.boot, doubt.beat, since, set())
        if (doubt.boot, doubt.beat) < (silence.boot, silence.beat) or doubt.by in silence.by:
            return False
        silence.by.add(doubt.by)
        return True

    def tick(self, now: int) -> list[wire.Doubt]:
        """Doubts to tell now. After a standstill all that is watched gets its time anew."""
        stood, self.ticked = now - self.ticked, now
        if stood > STALL:
            self.any_at += stood
            self.echo_at += stood
            self.watched = {place: at + stood for place, at in self.watched.items()}
            for member in self.others.values():
                member.heard += stood
            for silence in self.silences.values():
                silence.since = now
        for place in [p for p, m in self.others.items() if now - m.heard > FORGET and p in self.silences]:
            self.forget(place)
        if self.hears_nobody(now):
            return []  # it is this one that is cut off
        doubts = []
        for place, at in self.watched.items():
            known = self.others.get(place)
            if known is None or now - at <= MISSED * PERIOD or self.said.get(place) == known.beat:
                continue
            self.said[place] = known.beat
            silence = self.silences.setdefault(place, Silence(known.boot, known.beat, now, set()))
            silence.by.add(self.me)
            doubts.append(wire.Doubt(self.me, place, known.boot, known.beat))
        return doubts

    def hears_nobody(self, now: int) -> bool:
        return self.told > 1 and now - self.any_at > MISSED * PERIOD

    def silent(self, now: int, place: int) -> bool:
        silence = self.silences.get(place)
        return silence is not None and self.agreed(silence) and now - silence.since >= ANSWER

    def agreed(self, silence: Silence) -> bool:
        return len(silence.by) >= min(DOUBTS, self.told - 2, 2 * BESIDE) or self.told == 2

    def state(self, now: int, place: int) -> str:
        """here, slow, gone, apart, or unknown: never heard of."""
        if self.silent(now, place):
            since = self.silences[place].since
            together = sum(
                1 for other, silence in self.silences.items() if abs(silence.since - since) <= TOGETHER
            )
            return "apart" if together > max(1.0, APART * self.told) else "gone"
        known = self.others.get(place)
        if known is None:
            return "unknown"
        return "slow" if known.gap > 2 * PERIOD and place in self.watched else "here"

    def standing(self, now: int) -> str:
        """well, cut off (hears nobody), unheard (is heard by nobody) or split (a large part is apart)."""
        if self.hears_nobody(now):
            return "cut off"
        near = (self.others[place].heard for place in self.watched if place in self.others)
        if now - self.echo_at > ECHO and any(now - heard < PERIOD * 2 for heard in near):
            return "unheard"
        if any(self.state(now, place) == "apart" for place in self.silences):
            return "split"
        return "well"

    def living(self, now: int, places: Iterable[int]) -> list[int]:
        """Those of `places` that may be counted on for a turn: all but the silent ones; oneself always."""
        return [place for place in places if place == self.me or not self.silent(now, place)]
