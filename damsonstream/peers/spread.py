"""How news goes round: what rides in the next datagrams, to whom, and under which budget. No I/O.

How it is called: `tell(now, item)` puts one's own news on its way, `heard(now, item, news)` what came from
another; `room(now, gets)` is asked before each datagram and `sent(size)` told after it; `load(now, most,
location)` gives the items of the next one.

Each item is passed on a number of times that grows with the logarithm of the fleet; each time that it comes
again from somebody takes one off, since then others pass it on. Nothing to tell, nothing sent.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from msgspec import structs

from damsonstream.peers import wire

S = 10_000
WAITING = 128  # items on their way; over it the one passed on most goes
STALE = 2 * S  # after which an item is no news any more, passed on or not
GROW = 0.75  # times the natural logarithm of the fleet, and one: 200 gateways pass on up to 5 times
BURST = 10 * S  # of silence is saved up for when something happens
PRICE = 0.002  # part of what GETs earn that messages may cost: a hundredth of what is lost on a bad day
MESSAGE = 256  # bytes, in which the price is told
PLAIN = 200  # bytes a second where no price is told: some 1.6 kbit/s
LEAST = 64  # bytes a second, of a fleet that nobody asks


@dataclass(slots=True)
class Waiting:
    item: wire.News
    left: int
    since: int


def key(item: wire.News) -> tuple[int, ...]:
    """What it is news of, a later one of the same takes its place; first how urgent: sources before peers."""
    match item:
        case wire.Beat():
            return 0, item.by
        case wire.Doubt():
            return 1, item.by, item.of
        case wire.Seen():
            return 2, item.by, item.source
        case wire.Trial():
            return 3, item.by, item.source
        case wire.Zone():
            return 4, item.zone


def stamp(item: wire.News) -> tuple[int, int]:
    """Which of two words of the same is the later one."""
    return (item.epoch, item.step) if isinstance(item, wire.Zone) else (item.boot, item.beat)


def older(item: wire.News, held: int) -> wire.News:
    """As it is passed on after so long."""
    if isinstance(item, wire.Seen) and held >= wire.AGES:
        return structs.replace(item, age=min(255, item.age + held // wire.AGES))
    return item


class Spread:
    def __init__(self, price: float, now: int) -> None:
        """`price`: part of all revenue that one full message a GET costs, as the settings tell; 0: none."""
        self.price, self.count = price, 1
        self.waiting: dict[tuple[int, ...], Waiting] = {}  # emptied by passing on, by time and by WAITING
        self.saved, self.saved_at = 2.0 * wire.MOST, now

    def times(self) -> int:
        return 1 + math.ceil(GROW * math.log(max(2, self.count)))

    def tell(self, now: int, item: wire.News) -> None:
        self.put(now, item, self.times())

    def heard(self, now: int, item: wire.News, news: bool) -> None:
        if news:
            self.put(now, item, self.times() - 1)
            return
        known = self.waiting.get(key(item))
        if known is not None and stamp(known.item) == stamp(item):
            known.left -= 1
            if known.left <= 0:
                del self.waiting[key(item)]

    def put(self, now: int, item: wire.News, left: int) -> None:
        if left <= 0:
            return
        self.waiting[key(item)] = Waiting(item, left, now)
        if len(self.waiting) > WAITING:
            del self.waiting[min(self.waiting, key=lambda k: self.waiting[k].left)]

    def rate(self, gets: float) -> float:
        """Bytes a second that this gateway may send, by the GETs a second that one is asked for."""
        return max(LEAST, PRICE / self.price * MESSAGE * gets) if self.price > 0 else PLAIN

    def room(self, now: int, gets: float) -> int:
        """Bytes that the budget allows just now."""
        rate = self.rate(gets)
        most = max(2.0 * wire.MOST, rate * BURST / S)
        self.saved = min(most, self.saved + rate * (now - self.saved_at) / S)
        self.saved_at = now
        return int(self.saved)

    def sent(self, size: int) -> None:
        self.saved -= size

    def load(self, now: int, most: int, location: int) -> list[wire.News]:
        """The items for one datagram to a gateway of that location (below zero: not known), newest first;
        each loses one of its times."""
        for one in [k for k, w in self.waiting.items() if now - w.since > STALE]:
            del self.waiting[one]
        chosen: list[wire.News] = []
        ranked = sorted(self.waiting.items(), key=lambda e: (-e[0][0], -e[1].left, -e[1].since))
        for one, waiting in ranked:
            item = waiting.item
            if (
                isinstance(item, (wire.Seen, wire.Trial))
                and item.location not in (wire.EVERYWHERE, location)
                and location >= 0
            ):
                continue
            size = wire.size(item)
            if size > most:
                continue
            most -= size
            chosen.append(older(item, now - waiting.since))
            waiting.left -= 1
            if waiting.left <= 0:
                del self.waiting[one]
        return chosen
