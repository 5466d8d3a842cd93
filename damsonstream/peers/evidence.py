"""What many gateways saw of a source or cache, merged without a coordinator. No I/O; time is handed in.

How it is called: `saw(now, source, bad)` for each end of a forward that a breaker was told of; `heard(now,
seen)` for what another tells; `news(now)` gives what others should know; `verdict(now, source)` is `dead` or
nothing.

What a gateway saw last of a source is one entry, (gateway, boot, number, good, bad): the bad ends in a
row, or the good ones. A later number takes the place of an earlier one, so that entries may come in any
order, twice or never. An entry fades with the window, a good one sooner; answers count only since the
first bad end, since all have just seen it well as a source dies. Each counts once, whatever numbers it
tells, and three gateways must agree: one with a broken link, or one that lies, opens no source for all;
one that gets answers keeps it. Who has an answer of a source that others call dead says so, and what one
has seen oneself outweighs all that is told: what is well for most and dead for me is my path's trouble,
and stays with my own breaker. Once enough agree, nobody adds to it or passes more on.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from damsonstream.peers import wire

S = 10_000
WINDOW = 3 * S  # as long as the breaker's own
FRESH = S + S // 2  # for which an answer keeps a source for others: two fills of a gateway at full size
MASK = (1 << 62) - 1  # later than any time
LONG = 1 << 40  # before any time
AGREE = 3  # gateways that saw nothing but bad ends
KEEP = 1  # gateways that get answers: a source that fails in part is each breaker's own matter
# For others to object, before it counts: a way round the fleet, and an answer at one that has heard of it.
# With 0.6 s at 187 gateways parents that fail in half were opened by the hundreds (zone+mass).
OBJECT, ROUND = 3 * S // 10, 3 * S // 20  # and so much more for each power of e of the fleet
# Between the last good end here and the last bad one, before bad ones are told, or so many of them in a row
# (the breaker's own least count). Between ends, not until now: a breaker that opened on half failures brings
# no more ends, so that silence is no sign. Longer, and a busy gateway opens it alone first.
LATELY, RUN = S, 5
SOURCES, REPORTERS = 512, 32  # kept; of a source the entries heard last, of sources those heard of last
QUIET = S // 2  # between two words of one gateway on one source


@dataclass(slots=True)
class Own:
    """What this gateway saw of a source lately."""

    ends: deque[tuple[int, bool]] = field(default_factory=deque)  # when, bad; emptied as the window rolls
    good_at: int = -LONG  # when the last good end was
    said: tuple[int, int] = (0, 0)  # good or bad ends
    said_at: int = -S
    number: int = 0
    location: int = wire.EVERYWHERE

    def roll(self, now: int) -> tuple[int, int]:
        """The run that it ends with: good ends, bad ends; one of them is 0."""
        while self.ends and self.ends[0][0] <= now - WINDOW:
            self.ends.popleft()
        run = 0
        for _, bad in reversed(self.ends):
            if bad != self.ends[-1][1]:
                break
            run += 1
        return (0, run) if self.ends and self.ends[-1][1] else (run, 0)

    def well_since(self, when: int) -> bool:
        """Whether it gave anything here later than then, whatever came after."""
        return self.good_at > when

    def only_bad(self, now: int) -> bool:
        """Whether it gives nothing here: for some time, or for a run of ends."""
        run = self.roll(now)[1]
        return run >= RUN or (run > 0 and self.ends[-1][0] - self.good_at >= LATELY)


@dataclass(slots=True, frozen=True)
class Entry:
    """What another tells."""

    boot: int
    number: int
    good: int
    bad: int
    at: int  # when the last of those ends was, by this gateway's clock, less the ways of the words

    def before(self, other: Entry) -> bool:
        return (self.boot, self.number) < (other.boot, other.number)


def merged(mine: Mapping[int, Entry], theirs: Mapping[int, Entry]) -> dict[int, Entry]:
    """Entries by gateway of two tables: of each the later one, of one and the same the one heard later."""
    whole = dict(mine)
    for place, entry in theirs.items():
        known = whole.get(place)
        if known is None or known.before(entry) or (not entry.before(known) and known.at < entry.at):
            whole[place] = entry
    return whole


class Evidence:
    KEPT = 64  # ends of one's own for one source

    def __init__(self, me: int, told: int = 8) -> None:
        """`told`: how many gateways there are."""
        self.me = me
        self.object = OBJECT + int(ROUND * math.log(max(2, told)))
        self.own: dict[int, Own] = {}  # by source; emptied as windows run dry
        self.told: dict[int, dict[int, Entry]] = {}  # by source, by gateway; emptied by time and SOURCES
        self.bad_since: dict[int, int] = {}  # since when enough agree; emptied as they no longer do

    def saw(self, now: int, source: int, location: int, bad: bool) -> None:
        own = self.own.setdefault(source, Own(location=location))
        own.location = location
        own.ends.append((now, bad))
        own.good_at = own.good_at if bad else now
        if len(own.ends) > self.KEPT:
            own.ends.popleft()
        if source in self.told:
            self.weigh(now, source)

    def heard(self, now: int, seen: wire.Seen) -> bool:
        """Whether it is news."""
        if seen.by == self.me:
            return False
        entries = self.told.get(seen.source)
        if entries is None:
            if len(self.told) >= SOURCES:
                del self.told[min(self.told, key=lambda s: max(e.at for e in self.told[s].values()))]
            entries = self.told[seen.source] = {}
        entry = Entry(seen.boot, seen.beat, seen.good, seen.bad, now - seen.age * wire.AGES)
        known = entries.get(seen.by)
        if known is not None and not known.before(entry):
            return False
        entries[seen.by] = entry
        if len(entries) > REPORTERS:
            del entries[min(entries, key=lambda place: entries[place].at)]
        self.weigh(now, seen.source)
        return True

    def tally(self, now: int, source: int) -> tuple[int, int]:
        """Of other gateways, how many tell of good ends, and how many of bad ones."""
        good = bad = 0
        entries = self.told.get(source, {})
        for place in [p for p, e in entries.items() if e.at <= now - (WINDOW if e.bad else FRESH)]:
            del entries[place]
        if not entries:
            self.told.pop(source, None)
        for entry in entries.values():
            good += not entry.bad
            bad += entry.bad > 0
        return good, bad

    def first_bad(self, source: int) -> int:
        """When the first of the bad ends that are told was, as far as ages tell."""
        return min((e.at for e in self.told.get(source, {}).values() if e.bad), default=MASK)

    def weigh(self, now: int, source: int) -> None:
        _, bad = self.tally(now, source)
        first = self.first_bad(source)
        # only answers since then say that it lives: as a source dies, all have just seen it well
        good = sum(not e.bad and e.at > first for e in self.told.get(source, {}).values())
        own = self.own.get(source)
        if own is not None:
            good += KEEP if own.well_since(first) else 0
            bad += self.bad_here(now, source)
        if bad >= AGREE and good < KEEP:
            self.bad_since.setdefault(source, now)
        else:
            self.bad_since.pop(source, None)

    def bad_here(self, now: int, source: int) -> bool:
        """Whether this gateway has seen nothing but bad ends itself."""
        own = self.own.get(source)
        return own is not None and own.only_bad(now)

    def settled(self, now: int, seen: wire.Seen) -> bool:
        """Whether enough say the same already."""
        good, bad = self.tally(now, seen.source)
        return bad > AGREE if seen.bad else good > KEEP

    def verdict(self, now: int, source: int) -> str:
        if source in self.told:
            self.weigh(now, source)
        since = self.bad_since.get(source)
        if since is not None and source not in self.told:
            del self.bad_since[source]
            since = None
        if since is not None and now - since >= self.object:
            return "dead"
        return ""

    def clear(self, source: int) -> None:
        """It runs anew, or a trial has shown it well: what was said before says nothing."""
        self.own.pop(source, None)
        self.told.pop(source, None)
        self.bad_since.pop(source, None)

    def news(self, now: int, boot: int) -> list[wire.Seen]:
        """One's own windows that others should know: nothing but bad ends, or good ones of what others
        call bad. Said again only when it has changed, and not at once."""
        found = []
        for source, own in list(self.own.items()):
            good, bad = own.roll(now)
            if not own.ends:
                del self.own[source]
                continue
            if bad and own.only_bad(now):
                good, at = 0, own.ends[-1][0]
            elif own.well_since(self.first_bad(source)) or (own.said[1] > 0 and good):
                good, bad, at = max(1, good), 0, own.good_at  # it gives here, if not each time
            else:
                continue  # it may fail in part: nothing that others should act on
            same = (own.said[0] > 0, own.said[1] > 0) == (good > 0, bad > 0)
            if now - own.said_at < (WINDOW // 2 if same else QUIET):
                continue
            age = min(255, (now - at) // wire.AGES)
            seen = wire.Seen(self.me, boot, own.number + 1, source, own.location,
                             min(255, good), min(255, bad), age)  # fmt: skip
            if not self.settled(now, seen):
                own.said, own.said_at, own.number = (good, bad), now, own.number + 1
                found.append(seen)
        return found
