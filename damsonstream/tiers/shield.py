"""Origin shield: limits how many fills from the vault one gateway may start, so that all gateways together
stay under a cap. No I/O, no coordinator.

`Shield(cap, now)`: call `set_gateways(gateways, now)` when the number of gateways changes, `try_take(now,
worth)` before each fill from the vault, `record_result(now, good)` after it, and `retry_after(now)` for a
fill that is refused. Times are seconds on a monotonic clock.

A gateway's rate is the cap divided by the number of gateways. Gateways learn that number late and at
different times. Therefore:

- An increase applies at once, a decrease only after `SETTLE_S`: until then some peers may still use the
  larger rate.
- No token bucket holds more than `BURST_S` seconds of its rate, and it starts empty.

**Bound.** Let n be the number of running gateways, and let each have learned, at some time within the last
SETTLE_S, a number of at least m. Then each has a rate of at most cap / m, and in any span t all together
start at most n * (cap / m) * (t + BURST_S) fills. If all have known the true number for SETTLE_S (m = n),
that is cap * (t + BURST_S): over a second, 1 + BURST_S times the cap. If gateways have joined that the others
do not know of, the bound is exceeded by a factor of n / m until they learn of them. `worst_case(...)`
computes the bound; `tests/test_tiers.py` checks it against random fleets whose gateways join, leave and are
partitioned.

Failures reduce the rate: each failed fill scales it down, each good one restores some of it, as for the
vault's own limits (AIMD).
"""

from __future__ import annotations

SETTLE_S = 10.0  # seconds; longer than the 7 s after which a change counts as announced, received or not
BURST_S = 0.25  # seconds of its rate that may be saved up: the objects of a page are requested together
# Least share of the rate that remains: without any fills a recovery of the vault would not be noticed.
MIN_FACTOR = 0.05
DECREASE_FACTOR, INCREASE_STEP = 0.85, 0.02  # one failed fill in seven keeps the factor level
SCARCE_SHARE = 0.5  # below this share of the bucket only fills of more than average worth pass
MAX_RETRY_AFTER_S = 5.0  # seconds; a longer Retry-After would be of no use to clients


class Shield:
    """Token bucket of this gateway for fills from the vault."""

    def __init__(self, cap: float, now: float) -> None:
        self.cap = cap
        self.gateways = 1  # number of gateways that the rate is based on
        # this gateway's share if the fleet assigns it (peers/shares.py); negative: 1 / gateways
        self.share = -1.0
        # a smaller number that is not applied yet, and since when
        self.pending_gateways, self.pending_since = 0, now
        self.tokens, self.updated_at = 0.0, now
        self.factor = 1.0
        self.mean_worth = 0.0  # moving average of the worth of requested fills
        self.fills_started = self.fills_refused = 0

    @property
    def rate(self) -> float:
        """Fills per second that this gateway may start."""
        share = self.share if self.share >= 0 else 1 / max(1, self.gateways)
        return self.cap * share * self.factor

    def set_gateways(self, gateways: int, now: float) -> None:
        """Updates the number of gateways; a decrease takes effect after SETTLE_S."""
        self.apply_pending(now)
        if gateways >= self.gateways:
            self.refill(now)
            self.gateways, self.pending_gateways = gateways, 0
        elif gateways != self.pending_gateways:
            self.pending_gateways, self.pending_since = max(1, gateways), now

    def apply_pending(self, now: float) -> None:
        """Applies a decrease of gateways that has lasted for SETTLE_S."""
        if self.pending_gateways and now - self.pending_since >= SETTLE_S:
            self.refill(now)
            self.gateways, self.pending_gateways = self.pending_gateways, 0

    def refill(self, now: float) -> None:
        self.tokens = min(self.capacity, self.tokens + self.rate * max(0.0, now - self.updated_at))
        self.updated_at = max(self.updated_at, now)

    @property
    def capacity(self) -> float:
        """Size of the bucket: at least one fill, so that a rate below 1 / BURST_S still accumulates one."""
        return max(1.0, self.rate * BURST_S)

    def try_take(self, now: float, worth: float = 1.0) -> bool:
        """Takes a token if one is left; while few are left, only for fills of more than average worth."""
        if not self.cap:
            return True
        self.apply_pending(now)
        self.refill(now)
        self.mean_worth += 0.02 * (worth - self.mean_worth) if self.mean_worth else worth
        scarce = self.capacity > 2 and self.tokens < SCARCE_SHARE * self.capacity
        if self.tokens < 1 or (scarce and worth < self.mean_worth):
            self.fills_refused += 1
            return False
        self.take(now)
        return True

    def has_token(self, now: float) -> bool:
        """Returns whether a fill may start, without taking a token."""
        self.apply_pending(now)
        self.refill(now)
        return not self.cap or self.tokens >= 1

    def take(self, now: float) -> None:
        self.refill(now)
        self.tokens -= 1
        self.fills_started += 1

    def refund(self) -> None:
        """Returns the token of a fill that was not needed."""
        self.tokens = min(self.capacity, self.tokens + 1)
        self.fills_started -= 1

    def record_result(self, now: float, good: bool) -> None:
        """Adjusts the rate after a fill: additive increase, multiplicative decrease."""
        self.refill(now)
        self.factor = (
            min(1.0, self.factor + INCREASE_STEP) if good else max(MIN_FACTOR, self.factor * DECREASE_FACTOR)
        )

    def retry_after(self, now: float) -> float:
        """Returns the seconds until the next token, for the Retry-After of a GET that is shed."""
        self.refill(now)
        return (
            min(MAX_RETRY_AFTER_S, max(0.05, (1 - self.tokens) / self.rate))
            if self.rate
            else MAX_RETRY_AFTER_S
        )


def worst_case(cap: float, gateways: int, known_gateways: int, span: float) -> float:
    """Returns the most fills that `gateways` running gateways together may start in `span` seconds if each
    learned a number of at least `known_gateways` within the last SETTLE_S."""
    rate = cap / max(1, known_gateways)
    return gateways * (rate * span + max(1.0, rate * BURST_S))
