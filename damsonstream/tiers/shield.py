"""The vault's shield: how many fills of the vault one gateway may begin, so that all together stay under a
cap. No I/O, no coordinator.

How it is called: `Shield(cap, now)`; `told(gateways, now)` as the number of gateways is told, `may(now,
worth)` before each fill of the vault, `ended(now, ok)` after it, `come_back(now)` for one that may not. Times
are seconds on a clock that only goes forward.

A gateway's part is the cap over the number of gateways. It is told that number late, and another one than its
peers. So:

- a number that rises counts at once, one that falls only after `SETTLE`: for that long some peers may still
reckon with the larger part; - nobody's bucket holds more than `BURST` seconds of its part, and it begins
empty.

**Bound.** Let n be the number of gateways that run, and let each have been told, at some time within the last
SETTLE, a number of at least m. Then each has a part of cap / m at most, and in any span t all together begin
at most n * (cap / m) * (t + BURST) fills. Where all have been told the truth for SETTLE (m = n) that is cap *
(t + BURST): over a second, 1 + BURST times the cap. Where gateways have come that nobody has heard of, it is
over by n / m, until they are told. `worst(...)` gives the figure, `tests/test_tiers.py` draws gateways that
come, go and are cut off, and holds the sum against it.

Failure narrows it: each fill that ends badly takes a part off, each good one gives some back, as the vault's
own limits do (AIMD).
"""

from __future__ import annotations

SETTLE = 10.0  # seconds: news counts as told 7 s later at the latest, whether or not it arrived
BURST = 0.25  # seconds of a part that may be saved up: a page's objects come together
# Of its part that is left however badly it goes: else nothing would show that the vault is well again.
LEAST = 0.05
LESS, MORE = 0.85, 0.02  # a bad fill in seven keeps it level
WORTH = 0.5  # share of the bucket below which only what earns more than usual is let through
MOST_WAIT = 5.0  # seconds: a longer advice is no advice


class Shield:
    def __init__(self, cap: float, now: float) -> None:
        self.cap = cap
        self.count = 1  # gateways that it reckons with
        self.share = -1.0  # this gateway's part where the fleet tells it (peers/shares.py); below 0: by count
        self.lower, self.lower_since = 0, now  # a smaller number, and since when it has been told
        self.tokens, self.at = 0.0, now
        self.factor = 1.0
        self.usual = 0.0  # worth, the usual of what asks
        self.begun = self.held_back = 0

    @property
    def part(self) -> float:
        """Fills a second."""
        share = self.share if self.share >= 0 else 1 / max(1, self.count)
        return self.cap * share * self.factor

    def told(self, gateways: int, now: float) -> None:
        self.settle(now)
        if gateways >= self.count:
            self.fill(now)
            self.count, self.lower = gateways, 0
        elif gateways != self.lower:
            self.lower, self.lower_since = max(1, gateways), now

    def settle(self, now: float) -> None:
        if self.lower and now - self.lower_since >= SETTLE:
            self.fill(now)
            self.count, self.lower = self.lower, 0

    def fill(self, now: float) -> None:
        self.tokens = min(self.most, self.tokens + self.part * max(0.0, now - self.at))
        self.at = max(self.at, now)

    @property
    def most(self) -> float:
        """At least one: a part of less than a fill in BURST is saved up to one, not lost."""
        return max(1.0, self.part * BURST)

    def may(self, now: float, worth: float = 1.0) -> bool:
        """Whether one more fill may begin. While little is left, only for what earns more than the usual."""
        if not self.cap:
            return True
        self.settle(now)
        self.fill(now)
        self.usual += 0.02 * (worth - self.usual) if self.usual else worth
        scarce = self.most > 2 and self.tokens < WORTH * self.most
        if self.tokens < 1 or (scarce and worth < self.usual):
            self.held_back += 1
            return False
        self.take(now)
        return True

    def fits(self, now: float) -> bool:
        """Whether one more fill may begin; nothing is taken yet."""
        self.settle(now)
        self.fill(now)
        return not self.cap or self.tokens >= 1

    def take(self, now: float) -> None:
        self.fill(now)
        self.tokens -= 1
        self.begun += 1

    def give_back(self) -> None:
        """What was taken was not needed."""
        self.tokens = min(self.most, self.tokens + 1)
        self.begun -= 1

    def ended(self, now: float, good: bool) -> None:
        self.fill(now)
        self.factor = min(1.0, self.factor + MORE) if good else max(LEAST, self.factor * LESS)

    def come_back(self, now: float) -> float:
        """Seconds after which one more fits, for a GET that is shed."""
        self.fill(now)
        return min(MOST_WAIT, max(0.05, (1 - self.tokens) / self.part)) if self.part else MOST_WAIT


def worst(cap: float, running: int, told: int, span: float) -> float:
    """Fills that all gateways together may begin in `span` seconds: `running` of them, each told at least
    `told` within SETTLE."""
    part = cap / max(1, told)
    return running * (part * span + max(1.0, part * BURST))
