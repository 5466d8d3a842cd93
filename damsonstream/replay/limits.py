"""What a replay sends, tries again, waits for and gives up. No I/O.

How it is called: `Limits(rule, now)` is asked `send(...)` before each GET, `again(...)` after each that was
not returned, `pick(...)` for a gateway, and is told `sent`, `ended`, `up`, `down`. Times are seconds on the
replay's own clock, which began with its first GET.

A viewer's wish is one GET of the trace, whatever tries it takes: its latency counts from the time at which
the trace has it, its further tries are part of it, and it has one outcome in the account.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from damsonstream.standins.traffic import number

# Further tries are a tenth of the wishes at most, and a few to begin with: more of them than that turn a
# short trouble into a long one (a service that is down is then asked three times as much as one that is
# well).
BUDGET, FIRST = 0.1, 10.0
FURTHER = 2  # after the first, as viewers' clients do
AGAIN, LONGEST = 0.1, 2.0  # seconds before a further try where nothing is told; doubled each time
JITTER = 0.5  # up to so much on top, so that clients do not come back in step
# A gateway that refuses connections is looked at again after so long, doubled up to the longest.
LOOK, LOOK_LONGEST = 0.25, 4.0
# Seconds beyond its plan that the replay's own loop is late by: it was stopped, or the machine was too busy.
STALL = 0.1


@dataclass(slots=True, frozen=True)
class Rule:
    patience: float = 3.0  # seconds that a viewer waits, from the time the trace has
    most_open: int = 2000
    further: int = FURTHER
    budget: float = BUDGET
    overdue: str = "drop"  # what is behind by more than the patience: drop it, or send it all the same


@dataclass(slots=True)
class Gateway:
    name: str
    open: int = 0
    downs: int = 0  # in a row
    look_at: float = 0.0  # while it is down: when it is looked at again


@dataclass(slots=True, frozen=True)
class Stall:
    at: float
    lasted: float


@dataclass(slots=True, frozen=True)
class Again:
    """Wait so long, then try again; or give up, and why."""

    after: float
    why: str = ""


@dataclass(slots=True)
class Limits:
    rule: Rule
    gateways: dict[str, Gateway]
    chance: Random
    tokens: float = FIRST
    stalls: list[Stall] = field(default_factory=list)
    stalled: float = 0.0  # seconds in all, also of stalls that are not kept
    open: int = 0
    refused: int = 0  # further tries that the budget did not allow
    ticked: float = -1.0  # when the loop was to be back at the latest

    @classmethod
    def of(cls, rule: Rule, names: Iterable[str], seed: int) -> Limits:
        return cls(rule, {name: Gateway(name) for name in names}, Random(seed))

    def tick(self, now: float, sleeps: float) -> Stall | None:
        """The replay's loop is here, and means to be back after `sleeps`: what it is late by is its own
        stall, and no gateway's."""
        found = None
        if self.ticked >= 0 and now - self.ticked > STALL:
            found = Stall(self.ticked, now - self.ticked)
            self.stalled += found.lasted
            if len(self.stalls) < 1000:
                self.stalls.append(found)
        self.ticked = now + sleeps
        return found

    def send(self, now: float, intended: float) -> str:
        """`send`, `wait` while too many are open, or `overdue`: its viewer would have left before it was
        sent."""
        if now - intended > self.rule.patience and self.rule.overdue == "drop":
            return "overdue"
        return "wait" if self.open >= self.rule.most_open else "send"

    def sent(self, name: str) -> None:
        self.open += 1
        self.gateways[name].open += 1

    def ended(self, name: str) -> None:
        self.open -= 1
        self.gateways[name].open -= 1

    def earn(self) -> None:
        """A wish came up: it earns a part of a further try."""
        self.tokens = min(FIRST + 100 * self.rule.budget, self.tokens + self.rule.budget)

    def again(
        self, now: float, intended: float, tries: int, outcome: str, come_back: float, tokened: bool
    ) -> Again:
        """After a try that was shed or lost. A viewer's time counts from the intended one."""
        if outcome not in ("shed", "lost"):
            return Again(0.0, outcome)
        if tries > self.rule.further:
            return Again(0.0, "tries")
        wait = come_back or min(LONGEST, AGAIN * 2 ** (tries - 1))
        wait *= 1 + JITTER * self.chance.random()
        if now + wait >= intended + self.rule.patience:
            return Again(0.0, "time")
        if self.tokens < 1:
            self.refused += 1
            return Again(0.0, "budget")
        self.tokens -= 1
        return Again(wait)

    def order(self, client: int) -> list[Gateway]:
        """Gateways for a client, the same ones whatever happens to the others (rendezvous)."""
        return sorted(self.gateways.values(), key=lambda gateway: number(client, gateway.name), reverse=True)

    def pick(self, client: int, now: float) -> str | None:
        """The client's first gateway that is not down; None: none is."""
        return next((gateway.name for gateway in self.order(client) if not gateway.downs), None)

    def look(self, now: float) -> list[str]:
        """Gateways that are down and due to be looked at."""
        return [
            gateway.name for gateway in self.gateways.values() if gateway.downs and now >= gateway.look_at
        ]

    def down(self, name: str, now: float) -> None:
        gateway = self.gateways[name]
        gateway.downs += 1
        gateway.look_at = now + min(LOOK_LONGEST, LOOK * 2 ** (gateway.downs - 1))

    def up(self, name: str) -> None:
        self.gateways[name].downs = 0
