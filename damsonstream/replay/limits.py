"""Admission, retries and choice of gateway for a replay, and detection of its own stalls. No I/O.

Usage: create with `Limits.of(rule, names, seed)`. Call `admit(...)` before each GET, `decide_retry(...)`
after each try that was not returned, `pick_gateway(...)` to choose a gateway; report changes with `sent`,
`ended`, `mark_up` and `mark_down`. Times are seconds on the replay's own clock, which starts with its first
GET.

A GET of the trace may take several tries. Its latency is measured from the time that the trace has for it and
includes all tries, and it has one outcome in the account.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from damsonstream.standins.traffic import hashed

# Retry budget: tokens earned per GET, and tokens at the start. Without a budget retries prolong an outage:
# with two retries each, a service that is down receives three times the load of a healthy one.
RETRY_BUDGET, INITIAL_TOKENS = 0.1, 10.0
MAX_RETRIES = 2  # after the first try, as viewers' clients do
# Seconds before a retry if the answer has no retry-after time; doubled with each try.
RETRY_BACKOFF, MAX_RETRY_BACKOFF = 0.1, 2.0
RETRY_JITTER = 0.5  # up to this share is added, so that clients don't retry in lockstep
# Seconds before connecting again to a gateway that refuses connections; doubled with each failure.
RECONNECT_BACKOFF, MAX_RECONNECT_BACKOFF = 0.25, 4.0
# Seconds by which the replay's own loop is late: the process was stopped, or the machine was too busy.
STALL_THRESHOLD = 0.1


@dataclass(slots=True, frozen=True)
class ReplayRule:
    """Configuration of the limits."""

    viewer_timeout: float = 3.0  # seconds, from the time in the trace
    max_open: int = 2000  # GETs
    max_retries: int = MAX_RETRIES
    retry_budget: float = RETRY_BUDGET  # tokens per GET
    overdue_policy: str = "drop"  # GETs behind by more than the viewer timeout; any other value sends them


@dataclass(slots=True)
class GatewayState:
    """What the replay knows of one gateway."""

    name: str
    open: int = 0
    failures: int = 0  # consecutive; 0 while it is up
    retry_at: float = 0.0  # while it is down: time of the next connection attempt


@dataclass(slots=True, frozen=True)
class Stall:
    """A period in which the replay's own loop did not run; seconds."""

    start: float
    duration: float


@dataclass(slots=True, frozen=True)
class RetryDecision:
    """Retry after `delay` seconds, or give up if there is a reason to."""

    delay: float
    give_up_reason: str = ""


@dataclass(slots=True)
class Limits:
    """State of a replay's limits."""

    rule: ReplayRule
    gateways: dict[str, GatewayState]
    rng: Random
    tokens: float = INITIAL_TOKENS
    stalls: list[Stall] = field(default_factory=list)
    stalled_s: float = 0.0  # total seconds, including stalls that are not in the list
    open: int = 0
    refused_retries: int = 0  # retries that the budget did not allow
    next_tick_due: float = -1.0  # latest time at which the loop should run again; negative: unknown

    @classmethod
    def of(cls, rule: ReplayRule, names: Iterable[str], seed: int) -> Limits:
        return cls(rule, {name: GatewayState(name) for name in names}, Random(seed))

    def tick(self, now: float, sleep: float) -> Stall | None:
        """Called whenever the replay's loop runs; it will run again after `sleep` seconds. Returns a stall if
        the loop is late: that delay is caused by the replay, not by a gateway."""
        stall = None
        if self.next_tick_due >= 0 and now - self.next_tick_due > STALL_THRESHOLD:
            stall = Stall(self.next_tick_due, now - self.next_tick_due)
            self.stalled_s += stall.duration
            if len(self.stalls) < 1000:
                self.stalls.append(stall)
        self.next_tick_due = now + sleep
        return stall

    def admit(self, now: float, intended: float) -> str:
        """Returns "send", "wait" while too many GETs are open, or "overdue" if the viewer timeout has expired
        before the GET was sent."""
        if now - intended > self.rule.viewer_timeout and self.rule.overdue_policy == "drop":
            return "overdue"
        return "wait" if self.open >= self.rule.max_open else "send"

    def sent(self, name: str) -> None:
        self.open += 1
        self.gateways[name].open += 1

    def ended(self, name: str) -> None:
        self.open -= 1
        self.gateways[name].open -= 1

    def earn_tokens(self) -> None:
        """Adds the tokens that a new GET earns to the retry budget."""
        self.tokens = min(INITIAL_TOKENS + 100 * self.rule.retry_budget, self.tokens + self.rule.retry_budget)

    def decide_retry(
        self, now: float, intended: float, tries: int, outcome: str, retry_after: float, tokened: bool
    ) -> RetryDecision:
        """Decides about a retry after a try. The viewer timeout counts from the intended time of the GET.
        `retry_after`: seconds, 0 if the gateway gave none."""
        if outcome not in ("shed", "lost"):
            return RetryDecision(0.0, outcome)
        if tries > self.rule.max_retries:
            return RetryDecision(0.0, "tries")
        wait = retry_after or min(MAX_RETRY_BACKOFF, RETRY_BACKOFF * 2 ** (tries - 1))
        wait *= 1 + RETRY_JITTER * self.rng.random()
        if now + wait >= intended + self.rule.viewer_timeout:
            return RetryDecision(0.0, "time")
        if self.tokens < 1:
            self.refused_retries += 1
            return RetryDecision(0.0, "budget")
        self.tokens -= 1
        return RetryDecision(wait)

    def ranked_gateways(self, client: int) -> list[GatewayState]:
        """Returns the gateways in the client's order of preference (rendezvous hashing)."""
        return sorted(self.gateways.values(), key=lambda gateway: hashed(client, gateway.name), reverse=True)

    def pick_gateway(self, client: int, now: float) -> str | None:
        """Returns the client's first gateway that is not down, or None if all are down."""
        return next((gateway.name for gateway in self.ranked_gateways(client) if not gateway.failures), None)

    def gateways_to_probe(self, now: float) -> list[str]:
        """Returns the gateways that are down and due for a connection attempt."""
        return [
            gateway.name for gateway in self.gateways.values() if gateway.failures and now >= gateway.retry_at
        ]

    def mark_down(self, name: str, now: float) -> None:
        gateway = self.gateways[name]
        gateway.failures += 1
        gateway.retry_at = now + min(MAX_RECONNECT_BACKOFF, RECONNECT_BACKOFF * 2 ** (gateway.failures - 1))

    def mark_up(self, name: str) -> None:
        self.gateways[name].failures = 0
