"""This gateway's part of what holds for all together. No I/O; time is handed in.

How it is called: `Shares(me, scope, count, now, alone)`; `part(now)` is the part of any cap of that scope
(the cold budget of a cache, a source's limit) that this gateway may use, `asked(now)` is called for each GET,
`asks(now, others)` gives what to ask for and of whom, `grant(now, who, ask)` what another is lent, `lent(now,
who, grant)` takes what was lent.

Each gateway owns an equal part, one of the told number. A `FLOOR` of it never leaves it; the rest is lent to
those that are asked for more, and comes back by itself as the lease ends. One number serves all caps of a
scope, since what makes gateways unequal is what they are asked for.

**The sum is never over the cap**: a lease is counted from when it was asked for by who borrows, and from
when it was given, which is later, by who lends, an eighth longer against clocks that run unevenly. So at each
time a lent part is used by one at most, whatever is lost, late, repeated or stopped on the way, and clocks
need not agree. One that starts knows of no lease of its earlier self, and keeps to its floor until the
longest of them is over. Nobody takes the part of one that is silent: it may be well and only out of hearing.
As the told number changes, those that run keep to the smaller of both parts for a lease's time, and new ones
start on their floor: the sum is then at most 1 + FLOOR.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import takewhile
from statistics import median

from damsonstream.peers import wire

S = 10_000
WHOLE = 1_000_000  # parts are counted in millionths of a cap, in whole ones, so that sums are exact
FLOOR = 0.25  # of its own part, which stays: what comes of a sudden has somewhere to go until a lease comes
LASTS = 3 * S  # a lease: longer than messages take, and short enough for one that starts on its floor
MARGIN = 8  # one part in so many that a lender waits longer than it lent: clocks may run unevenly by that
RENEW = LASTS // 2  # before a lease ends it is asked for again, three times at most
AGAIN = S  # between asks
AT_ONCE = 8  # others that are asked at one time, each for half a gateway's own part or less
KEEPS = 0.75  # of what it wants: with less left, one that lent does not lend again; demand is a coarse count
LEAST = 0.05  # of its own part: less does not pay a message
LEASES = 32  # given, and as many taken: what a gateway with many times the usual traffic needs
FAR = 8.0  # times the middle demand: beyond it what one tells counts no more, so that nonsense moves little
SPAN, SOON = 8 * S, S  # over which a gateway's own demand is counted, and where it has doubled of a sudden
SUDDEN = 4  # GETs more in SOON than twice as many as in the span: at 2 GETs a second one span in 30 by chance


@dataclass(slots=True)
class Lease:
    other: int
    millionths: int
    until: int
    asked: int = 0  # when it was asked for last
    number: int = 0  # of the lease, where the table goes by asks


class Shares:
    def __init__(
        self, me: int, scope: int, count: int, now: int, alone: bool = False, gets: deque[int] | None = None
    ) -> None:
        """`count`: gateways of the scope. `alone`: no messages are sent, and it keeps to its equal part.
        `gets`: those of another scope's, where they are the same GETs."""
        self.me, self.scope, self.alone = me, scope, alone
        self.count, self.own = max(1, count), WHOLE // max(1, count)
        self.before = self.own if alone else 0  # what it surely owns until `settled`
        self.begun, self.settled = now, now if alone else now + self.longest()
        self.given: dict[tuple[int, int], Lease] = {}  # lent, by who has it and its number; emptied by time
        self.taken: dict[int, Lease] = {}  # borrowed, by number; emptied by time
        self.open: dict[int, Lease] = {}  # asks without an answer, by their number; emptied by time
        self.next_ask = now
        self.number = now & 0x3FFFFFFF  # of leases and asks; not those of an earlier self
        self.gets: deque[int] = deque() if gets is None else gets  # when; emptied as the span rolls
        self.usual = 0.0  # GETs a second that one is asked for, the mean as far as it is known; 0: not known

    @staticmethod
    def longest() -> int:
        """How long a part that was lent may be used elsewhere."""
        return LASTS + LASTS // MARGIN

    def resize(self, now: int, count: int) -> None:
        """The told number changed. A smaller part holds at once, a larger one once all others know."""
        if max(1, count) == self.count:
            return
        held = self.base(now)
        self.count = max(1, count)
        self.own = WHOLE // self.count
        self.before, self.settled = min(held, self.own), now + self.longest()

    def base(self, now: int) -> int:
        """What it owns, lent or not. One that starts has its floor only, in case its earlier self lent."""
        if self.alone or now >= self.settled:
            return self.own
        return max(self.before, self.floor())

    def floor(self) -> int:
        return int(FLOOR * self.own)

    def asked(self, now: int) -> None:
        """A GET was taken."""
        self.gets.append(now)
        if len(self.gets) > 4096:
            self.gets.popleft()

    def demand(self, now: int) -> float:
        """GETs a second that this gateway takes."""
        while self.gets and self.gets[0] <= now - SPAN:
            self.gets.popleft()
        usual = len(self.gets) * S / max(S, min(SPAN, now - self.begun))
        soon = sum(1 for _ in takewhile(lambda at: at > now - SOON, reversed(self.gets)))
        return float(soon) if soon > 2 * usual + SUDDEN else usual

    def others(self, demands: list[float]) -> None:
        """What others of the scope are asked for, in GETs a second, as far as it is known: each at most FAR
        times the middle one. Only beats tell, which all send alike; those that ask are asked for the most."""
        far = FAR * max(0.1, median(demands)) if demands else 0.0
        self.usual = sum(min(far, one) for one in demands) / len(demands) if demands else 0.0

    def want(self, now: int) -> int:
        """The part that would be this gateway's if all were divided by demand."""
        mine, usual = self.demand(now), self.usual
        whole = mine + usual * (self.count - 1)
        return int(WHOLE * mine / whole) if usual and whole else self.own

    def sweep(self, now: int) -> None:
        self.given = {key: lease for key, lease in self.given.items() if lease.until > now}
        self.taken = {key: lease for key, lease in self.taken.items() if lease.until > now}
        self.open = {key: lease for key, lease in self.open.items() if lease.until > now}

    def kept(self, now: int) -> int:
        """Its own, less what is lent."""
        return max(0, self.base(now) - sum(lease.millionths for lease in self.given.values()))

    def millionths(self, now: int) -> int:
        self.sweep(now)
        return self.kept(now) + sum(lease.millionths for lease in self.taken.values())

    def part(self, now: int) -> float:
        return self.millionths(now) / WHOLE

    def asks(self, now: int, others: Iterable[tuple[int, float]]) -> list[tuple[int, wire.Ask]]:
        """What to ask now and of whom. `others`: gateways of the scope that may be asked, in the order in
        which they should be, with the demand they told (below zero: not known)."""
        self.sweep(now)
        found = []
        short = self.want(now) - self.millionths(now)
        least = max(1, int(LEAST * self.own))
        for number, lease in self.taken.items():
            # what is no longer wanted is not asked for again, and so goes back
            if lease.until - now <= RENEW and now - lease.asked >= AGAIN and short > -lease.millionths:
                lease.asked = now
                found.append(self.ask(now, lease.other, number, lease.millionths))
        if self.alone or short < least or now < max(self.next_ask, self.settled):
            return found
        self.next_ask = now + AGAIN
        busy = {lease.other for lease in (*self.taken.values(), *self.open.values())}
        usual, most = self.usual, self.own - self.floor()
        may = [place for place, demand in others if place not in busy and demand < usual]
        count = min(AT_ONCE, max(1, 2 * short // max(1, self.own)))
        for place in may[:count]:
            if len(self.taken) + len(self.open) >= LEASES:
                break
            self.number += 1
            amount = max(least, min(most, short // count))
            found.append(self.ask(now, place, self.number, amount))
        return found

    def ask(self, now: int, who: int, lease: int, millionths: int) -> tuple[int, wire.Ask]:
        self.number += 1
        self.open[self.number] = Lease(who, millionths, now + LASTS, now, lease)
        return who, wire.Ask(self.scope, lease, self.number, millionths)

    def grant(self, now: int, who: int, ask: wire.Ask) -> wire.Grant | None:
        """What is lent for an ask, if anything. The same ask again gets the same answer, and no more."""
        if ask.scope != self.scope or self.alone:
            return None
        self.sweep(now)
        key = who, ask.lease
        lease = self.given.get(key)
        if lease is None:
            spare = self.kept(now) - max(self.floor(), self.want(now))
            amount = min(ask.millionths, spare)
            if amount < max(1, int(LEAST * self.own)) or len(self.given) >= LEASES or now < self.settled:
                return None
            lease = self.given[key] = Lease(who, amount, 0)
        elif self.kept(now) < KEEPS * min(self.want(now), self.own):
            return None  # wanted here: it runs out
        lease.until = now + self.longest()
        return wire.Grant(self.scope, ask.lease, ask.number, lease.millionths, LASTS)

    def lent(self, now: int, who: int, grant: wire.Grant) -> bool:
        """Whether it was asked for, and of that one. It holds from when it was asked for."""
        lease = self.open.get(grant.number)
        if lease is None or (lease.other, lease.number, self.scope) != (who, grant.lease, grant.scope):
            return False
        del self.open[grant.number]
        until = lease.asked + min(LASTS, grant.lasts)
        known = self.taken.get(grant.lease)
        if until <= now or grant.millionths > lease.millionths or (known and known.other != who):
            return False
        self.taken[grant.lease] = Lease(who, grant.millionths, until, lease.asked)
        return True
