"""Whose turn it is to do what one of many should do: the trial of a source that is Half-Open. No I/O.

How it is called: `mine(now, source, since, living)` before a trial: whether this gateway goes now, where
`since` is when its own cool-down was over; `began(now, source)` gives the word to tell as it goes,
`ended(now, source, good)` the one on how it went; `heard(now, trial)` takes others' words and gives what the
breaker is to be told.

The order is the rendezvous order of the living for that source, the same everywhere where the same are
believed to live. The first goes at once; each further one a `STEP` later, unless it has heard by then that
one before it is trying: so a holder that died or stalled is replaced by time alone, and whoever hears nobody
goes by itself in the end. What a trial showed counts for all that hear of it.

Bound: of gateways that hear each other at most two try a source in one STEP, the holder and one that did not
hear it in time; of k parts that don't, at most so many each. Losing every message leaves each gateway to try
for itself, later by its place in the order, `LATEST` at most: slower than alone, and never more trials.
"""

from __future__ import annotations

from dataclasses import dataclass

from damsonstream.peers import order, wire

S = 10_000
STEP = S // 4  # for a word to reach the next ones in order: two turns of passing on
PLACES = 8  # of the order that have a step of their own; the rest share the last
LATEST = PLACES * STEP
HELD = 2 * S  # a trial's word holds others back so long: an answer's usual time, and a stalled holder's end
RETURN = 2 * S  # over which gateways close one after the other, as the origin's or parent's load comes back
MAJORITY = 2  # good trials, the design's, whoever made them
KEPT = 512  # sources


@dataclass(slots=True)
class Turn:
    """What is known of the trials of one source."""

    by: int = -1  # who is trying, -1: nobody that is known
    until: int = 0  # how long that holds others back
    good: int = 0  # good trials in a row, anyone's
    at: int = 0  # the last word


class Turns:
    def __init__(self, me: int) -> None:
        self.me = me
        self.known: dict[int, Turn] = {}  # by source; the least recent goes over KEPT
        self.numbers: dict[tuple[int, int], tuple[int, int]] = {}  # (source, gateway): boot and number heard
        self.number = 0
        self.told_of = 0  # trials of others that spared one of one's own

    def turn(self, now: int, source: int) -> Turn:
        turn = self.known.get(source)
        if turn is None:
            if len(self.known) >= KEPT:
                gone = min(self.known, key=lambda s: self.known[s].at)
                del self.known[gone]
                self.numbers = {key: value for key, value in self.numbers.items() if key[0] != gone}
            turn = self.known[source] = Turn()
        turn.at = now
        return turn

    def place(self, source: int, living: list[int]) -> int:
        """This gateway's place in the order for it."""
        mine = (order.weight(self.me, source), self.me)
        return sum((order.weight(other, source), other) < mine for other in living if other != self.me)

    def mine(self, now: int, source: int, since: int, living: list[int]) -> bool:
        turn = self.known.get(source)
        if turn is not None and turn.by not in (-1, self.me) and now < turn.until:
            self.told_of += 1
            return False
        start = max(since, turn.until if turn is not None and turn.by != self.me else 0)
        return now >= start + STEP * min(PLACES, self.place(source, living))

    def word(self, source: int, location: int, boot: int, state: int) -> wire.Trial:
        self.number += 1
        return wire.Trial(self.me, boot, self.number, source, location, state)

    def began(self, now: int, source: int, location: int, boot: int) -> wire.Trial:
        turn = self.turn(now, source)
        turn.by, turn.until = self.me, now + HELD
        return self.word(source, location, boot, 0)

    def ended(self, now: int, source: int, location: int, boot: int, good: bool) -> wire.Trial:
        turn = self.turn(now, source)
        turn.by, turn.until = -1, now
        turn.good = turn.good + 1 if good else 0
        return self.word(source, location, boot, 1 if good else 2)

    def heard(self, now: int, trial: wire.Trial) -> tuple[bool, str]:
        """Whether it is news, and what it shows: good, bad, or nothing yet."""
        if trial.by == self.me:
            return False, ""
        key, number = (trial.source, trial.by), (trial.boot, trial.beat)
        if self.numbers.get(key, (-1, -1)) >= number:
            return False, ""
        turn = self.turn(now, trial.source)
        self.numbers[key] = number
        if trial.state == 0:
            turn.by, turn.until = trial.by, now + HELD
            return True, ""
        if turn.by == trial.by:
            turn.by, turn.until = -1, now
        turn.good = turn.good + 1 if trial.state == 1 else 0
        return True, "good" if trial.state == 1 else "bad"

    def closes(self, now: int, source: int) -> bool:
        """Whether enough good trials were made, by whomever; counted anew from then."""
        turn = self.known.get(source)
        if turn is None or turn.good < MAJORITY:
            return False
        turn.good = 0
        return True

    def back(self, source: int) -> int:
        """How long after that this gateway closes: all of them spread over RETURN."""
        return int(RETURN * order.weight(self.me, source ^ 0xBACC))
