"""Whose turn it is to do what one of many should do: the trial of a source that is Half-Open. No I/O.

How it is called: `mine(now, source, since, looking)` before a trial: whether this gateway goes now, where
`since` is when its own cool-down was over and `looking` who looks after the source and lives; `began(now,
source, ...)` gives the word to tell as it goes, if any, `ended(now, source, ...)` the one on how it went;
`heard(now, trial)` takes others' words: whether they are news, and what the breaker is to be told.

The order is the rendezvous order of those that look after the source, the same everywhere where the same
are believed to live. The first goes at once; each further one a `STEP` later, unless it has heard by then
that one before it is trying; the rest of the fleet behind them, spread over `AFTER`. So a holder that died,
stalled or sees no GET for it is replaced by time alone, and whoever hears nobody goes by itself in the end.
What a trial showed counts for all that hear of it: a bad one begins the cool-down anew, a good one ends it,
so that each gateway's next fill there is its trial; two good ones close, spread over `RETURN`.

Bound: of gateways that hear each other at most two try a failing source in one STEP, the holder and one that
did not hear it in time; of k parts that don't, at most so many each. Losing every message leaves each gateway
to try for itself, later by its place in the order: slower than alone, and never more trials.
"""

from __future__ import annotations

from dataclasses import dataclass

from damsonstream.peers import order, wire

S = 10_000
STEP = S // 4  # for a word to reach the next ones in order: two turns of passing on
PLACES = 8  # of the order that have a step of their own; the rest share the last
AFTER = 2 * S  # over which those that don't look after it come behind: a claim is heard in a sixth of it
# A trial's word holds others back so long: a fill's usual time. Most trials turn out to be hits and prove
# nothing; with 2 s a hub that was well again stayed Half-Open for 7 s and more (together, turns).
HELD = S // 2
RETURN = (
    S  # over which gateways come back one after the other: a load that the source had half a second before
)
MAJORITY = 2  # good trials, the design's, whoever made them
FREE = 5 * S  # after a good one, for which all may try: the cool-down that they had still before them
KEPT = 512  # sources


@dataclass(slots=True)
class Turn:
    """What is known of the trials of one source."""

    by: int = -1  # who is trying, -1: nobody that is known
    until: int = 0  # how long that holds others back
    good: int = 0  # good trials in a row, anyone's
    good_at: int = -FREE  # when the first of those was known
    bad_at: int = -S  # when the last bad one was
    at: int = 0  # the last word


class Turns:
    def __init__(self, me: int) -> None:
        self.me = me
        self.known: dict[int, Turn] = {}  # by source; the least recent goes over KEPT
        self.numbers: dict[tuple[int, int], tuple[int, int]] = {}  # (source, gateway): boot and number heard
        self.number = 0

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

    def wait(self, source: int, looking: list[int]) -> int:
        """How long this gateway leaves it to those before it in order; behind all that look after it. These
        may be in their cool-down still, or see no GET for it, so the rest come soon."""
        mine = (order.weight(self.me, source), self.me)
        if self.me not in looking:
            return STEP * min(PLACES, len(looking)) + int(AFTER * mine[0])
        return STEP * min(PLACES, sum((order.weight(other, source), other) < mine for other in looking))

    def mine(self, now: int, source: int, since: int, looking: list[int]) -> bool:
        turn = self.known.get(source)
        if turn is not None and turn.good and now - turn.good_at < FREE:
            return True
        if turn is not None and turn.by not in (-1, self.me) and now < turn.until:
            return False
        start = max(since, turn.until if turn is not None and turn.by != self.me else 0)
        return now >= start + self.wait(source, looking)

    def word(self, source: int, location: int, boot: int, state: int) -> wire.Trial:
        self.number += 1
        return wire.Trial(self.me, boot, self.number, source, location, state)

    def began(self, now: int, source: int, location: int, boot: int) -> wire.Trial | None:
        """The word that holds others back; none where they need not wait for it."""
        turn = self.turn(now, source)
        turn.by, turn.until = self.me, now + HELD
        return None if turn.good else self.word(source, location, boot, 0)

    def ended(self, now: int, source: int, location: int, boot: int, good: bool) -> wire.Trial | None:
        """The word on how it went, where that is not known yet."""
        turn = self.turn(now, source)
        turn.by, turn.until = -1, now
        if not self.note(now, turn, good):
            return None
        return self.word(source, location, boot, 1 if good else 2)

    def note(self, now: int, turn: Turn, good: bool) -> bool:
        """Enters how a trial went; whether that says anything new."""
        if good:
            if not turn.good or now - turn.good_at >= FREE:
                turn.good, turn.good_at = 0, now
            turn.good += 1
            return turn.good <= MAJORITY
        new = turn.good > 0 or now - turn.bad_at >= S
        turn.good, turn.bad_at = 0, now
        return new

    def heard(self, now: int, trial: wire.Trial) -> tuple[bool, str]:
        """Whether it is news, and what the breaker is to be told: good, well, bad, or nothing."""
        if trial.by == self.me:
            return False, ""
        key, number = (trial.source, trial.by), (trial.boot, trial.beat)
        if self.numbers.get(key, (-1, -1)) >= number:
            return False, ""
        turn = self.turn(now, trial.source)
        self.numbers[key] = number
        if trial.state == 0:
            if now >= turn.until:
                turn.by, turn.until = trial.by, now + HELD
            return not turn.good, ""
        if turn.by == trial.by:
            turn.by, turn.until = -1, now
        good = trial.state == 1
        new = self.note(now, turn, good)
        if good:
            return new, "" if not new else "well" if turn.good == MAJORITY else "good"
        return new, "bad"

    def back(self, source: int) -> int:
        """How long after that this gateway closes: all of them spread over RETURN."""
        return int(RETURN * order.weight(self.me, source ^ 0xBACC))
