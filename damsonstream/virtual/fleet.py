"""Simulates a fleet of gateways in virtual time, with the sans-I/O modules of `peers` alone: no sockets or
processes.

Usage: `Fleet(count, seed, ...)`, then `run_until(time)` runs it; `at(when, what)` schedules an event, such as
a kill. Each gateway has a `PeerAgent`, a clock offset, a demand, and a simplified breaker for each source:
five failed fills in a row open it, and two successful trials close it. The caller decides when sources are
dead. All randomness comes from the seed; events at the same time run in the order in which they were
scheduled.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from damsonstream.emulator.engine import Engine
from damsonstream.peers.agent import GOSSIP_INTERVAL, PeerAgent
from damsonstream.peers.features import FEATURES
from damsonstream.virtual.links import MS, Links, S

FAILURES_TO_OPEN = 5  # failed fills in a row that open a breaker: the router's minimum
COOLDOWN = 5 * S  # the router's default, with its jitter
JITTER = 0.25
FILL_TIMEOUT = 400 * MS  # after which a fill from a dead source counts as failed
TRIAL_SPACING = S // 2


@dataclass(slots=True)
class Breaker:
    """A simplified breaker of one gateway for one source, with what the fleet's behaviour depends on."""

    failures: int = 0  # in a row
    open: bool = False
    retry_at: int = 0  # earliest next trial
    trying: bool = False  # a trial is under way
    successes: int = 0  # successful trials in a row
    opened_at: int = -1


@dataclass(slots=True)
class Gateway:
    """One simulated gateway process and its state."""

    index: int
    agent: PeerAgent
    clock_offset: int  # of its clock to virtual time
    demand: float  # GETs a second
    breakers: list[Breaker]
    alive: bool = True
    stalled_until: int = 0
    boot_count: int = 1
    undelivered: list[tuple[int, bytes]] = field(default_factory=list)  # datagrams that came during a stall
    bytes_out: int = 0


class Fleet(Engine):
    def __init__(
        self, count: int, seed: int, *, sources: int = 4, demands: Iterable[float] | None = None,
        links: Links | None = None, message_cost: float = 0.01,
        features: frozenset[str] = frozenset(FEATURES), locations: int = 1, max_clock_offset: int = 3 * S,
        fills_per_get: float = 0.3,
    ) -> None:  # fmt: skip
        """`demands`: GETs a second by gateway; `fills_per_get`: fills for each GET; `max_clock_offset`: how
        far the gateways' clocks may be apart."""
        super().__init__()
        self.rng = random.Random(seed)
        self.links = links or Links(random.Random(seed + 1))
        self.count, self.message_cost, self.features, self.location_count = (
            count,
            message_cost,
            features,
            locations,
        )
        self.fills_per_get = fills_per_get
        self.sources = [0x1000 + 17 * n for n in range(sources)]
        self.dead_sources: set[int] = set()  # indexes in `sources`
        self.is_dead_for: Callable[[int, int], bool] = lambda gateway, source: source in self.dead_sources
        self.trials: list[tuple[int, int, int, bool]] = []  # time, gateway, source, whether it succeeded
        self.wasted_fills = 0  # fills sent to dead sources, trials included
        # largest sum of shares at any time; near: of one location, far: of the fleet
        self.max_share_sum = {"near": 0.0, "far": 0.0}
        gateway_demands = list(demands) if demands is not None else [5.0] * count
        self.gateways: list[Gateway] = []
        for index in range(count):
            clock_offset = self.rng.randrange(max_clock_offset + 1)
            self.gateways.append(
                Gateway(index, self.new_agent(index, clock_offset), clock_offset, gateway_demands[index],
                        [Breaker() for _ in self.sources])
            )  # fmt: skip
            self.start_loops(self.gateways[index])

    def new_agent(self, index: int, clock_offset: int, boot_count: int = 1) -> PeerAgent:
        """Returns the agent of a gateway that starts."""
        location_size = sum(
            1 for other in range(self.count) if other % self.location_count == index % self.location_count
        )
        agent = PeerAgent(f"n{index}", index, self.count, index % self.location_count, location_size,
                        1000 + self.now // 1000 + boot_count, self.message_cost, self.rng.getrandbits(32),
                        self.now + clock_offset, self.features)  # fmt: skip
        agent.nodes_listed((), tuple(self.sources))
        return agent

    def start_loops(self, gateway: Gateway) -> None:
        """Schedules the first poll and the first GET of a gateway."""
        agent = gateway.agent
        self.after(self.rng.randrange(GOSSIP_INTERVAL), lambda: self.poll_agent(gateway, agent))
        self.after(self.random_interval(gateway.demand), lambda: self.send_get(gateway, agent))

    def random_interval(self, rate: float) -> int:
        """Returns an exponentially distributed interval for a rate per second."""
        return max(1, int(self.rng.expovariate(max(rate, 1e-9)) * S))

    # process events

    def kill(self, index: int) -> None:
        """Ends a gateway's process without notice."""
        self.gateways[index].alive = False

    def restart(self, index: int) -> None:
        """Starts a gateway's process again, with a later boot and empty state."""
        gateway = self.gateways[index]
        gateway.boot_count += 1
        gateway.agent = self.new_agent(index, gateway.clock_offset, gateway.boot_count)
        gateway.breakers = [Breaker() for _ in self.sources]
        gateway.alive, gateway.undelivered = True, []
        self.start_loops(gateway)

    def stall(self, index: int, duration: int) -> None:
        """Stops a gateway's process for that time; datagrams wait in its socket."""
        gateway = self.gateways[index]
        gateway.stalled_until = self.now + duration

        def resume() -> None:
            agent, undelivered, gateway.undelivered = gateway.agent, gateway.undelivered, []
            for sender, data in undelivered:
                self.deliver(gateway, agent, sender, data)

        self.after(duration, resume)

    # behaviour of a gateway

    def is_current(self, gateway: Gateway, agent: PeerAgent) -> bool:
        """Returns whether this process of the gateway still runs."""
        return gateway.alive and gateway.agent is agent

    def poll_agent(self, gateway: Gateway, agent: PeerAgent) -> None:
        """Polls the agent, sends its datagrams and schedules the next poll."""
        if not self.is_current(gateway, agent):
            return
        if self.now < gateway.stalled_until:
            return self.at(gateway.stalled_until, lambda: self.poll_agent(gateway, agent))
        out, verdicts = agent.poll(self.now + gateway.clock_offset)
        for verdict in verdicts:
            self.apply_verdict(gateway, verdict.node, verdict.verdict)
        for receiver, data in out:
            self.send(gateway, receiver, data)
        self.after(GOSSIP_INTERVAL, lambda: self.poll_agent(gateway, agent))

    def send(self, gateway: Gateway, receiver: int, data: bytes) -> None:
        """Schedules the arrival of each copy of a datagram that the links deliver."""
        gateway.bytes_out += len(data)
        other = self.gateways[receiver]
        for delay in self.links.delivery_delays(self.now, gateway.index, receiver):
            self.after(delay, lambda: self.deliver(other, other.agent, gateway.index, data))

    def deliver(self, gateway: Gateway, agent: PeerAgent, sender: int, data: bytes) -> None:
        """Passes a datagram to the agent, or keeps it while the process is stalled."""
        if not self.is_current(gateway, agent):
            return
        if self.now < gateway.stalled_until:
            gateway.undelivered.append((sender, data))
            return
        for verdict in agent.receive(self.now + gateway.clock_offset, sender, data):
            self.apply_verdict(gateway, verdict.node, verdict.verdict)

    def apply_verdict(self, gateway: Gateway, source: int, verdict: str) -> None:
        """Changes a breaker by a verdict of the fleet, as the router does."""
        breaker = gateway.breakers[self.sources.index(source)]
        if verdict == ("bad" if breaker.open else "dead"):
            self.open_breaker(breaker)
        elif verdict == "well" and breaker.open:
            breaker.open, breaker.failures, breaker.successes = False, 0, 0
        elif verdict == "good" and breaker.open:
            breaker.successes, breaker.trying, breaker.retry_at = 1, False, self.now

    def open_breaker(self, breaker: Breaker) -> None:
        """Opens a breaker, or starts its cooldown again."""
        if not breaker.open:
            breaker.opened_at = self.now
        breaker.open, breaker.successes, breaker.trying = True, 0, False
        breaker.retry_at = self.now + int(COOLDOWN * (1 + JITTER * self.rng.random()))

    def may_try(self, gateway: Gateway, source_index: int, local: int) -> bool:
        """Returns whether this gateway may run a trial of an open source now. `local`: its own clock's
        time."""
        breaker = gateway.breakers[source_index]
        ready = self.now >= breaker.retry_at and not breaker.trying
        cooldown_end = breaker.retry_at + gateway.clock_offset
        return ready and gateway.agent.may_try(local, self.sources[source_index], False, cooldown_end)

    def send_get(self, gateway: Gateway, agent: PeerAgent) -> None:
        """Simulates a GET, and a fill where it needs one, and schedules the next GET."""
        if not self.is_current(gateway, agent):
            return
        self.after(self.random_interval(gateway.demand), lambda: self.send_get(gateway, agent))
        if self.now < gateway.stalled_until:
            return
        local = self.now + gateway.clock_offset
        agent.get_received(local)
        if self.rng.random() >= self.fills_per_get:
            return
        source_index = self.rng.randrange(len(self.sources))
        breaker, source = gateway.breakers[source_index], self.sources[source_index]
        is_trial = breaker.open
        if is_trial:
            if not self.may_try(gateway, source_index, local):
                return  # the fill goes to another source, which is not simulated
            breaker.trying = True
            agent.trial_started(local, source, False)
        succeeds = not self.is_dead_for(gateway.index, source_index)
        self.wasted_fills += not succeeds
        if is_trial:
            self.trials.append((self.now, gateway.index, source_index, succeeds))
        self.after(20 * MS if succeeds else FILL_TIMEOUT,
                   lambda: self.fill_ended(gateway, agent, source_index, is_trial, succeeds))  # fmt: skip

    def fill_ended(
        self, gateway: Gateway, agent: PeerAgent, source_index: int, is_trial: bool, succeeded: bool
    ) -> None:
        """Reports the outcome of a fill to the breaker and the agent."""
        if not self.is_current(gateway, agent) or self.now < gateway.stalled_until:
            return
        local, source, breaker = (
            self.now + gateway.clock_offset,
            self.sources[source_index],
            gateway.breakers[source_index],
        )
        if is_trial:
            if not breaker.trying:
                return  # a verdict of the fleet has decided meanwhile
            breaker.trying, breaker.retry_at = False, self.now + TRIAL_SPACING
            agent.trial_ended(local, source, False, succeeded)
            breaker.successes = breaker.successes + 1 if succeeded else 0
            if not succeeded:
                self.open_breaker(breaker)
            elif breaker.successes >= 2:
                breaker.open, breaker.failures = False, 0
            return
        agent.record_outcome(local, source, False, not succeeded)
        breaker.failures = 0 if succeeded else breaker.failures + 1
        if breaker.failures >= FAILURES_TO_OPEN and not breaker.open:
            self.open_breaker(breaker)

    # measurements

    def track_share_sums(self, interval: int = GOSSIP_INTERVAL) -> None:
        """Samples, from now on, the sum of the shares that all gateways hold at one time; keeps the
        largest."""

        def sample() -> None:
            running = [g for g in self.gateways if g.alive]
            fleet_sum = sum(g.agent.limit_share(self.now + g.clock_offset, False) for g in running)
            by_location: dict[int, float] = {}
            for g in running:
                location = g.index % self.location_count
                by_location[location] = by_location.get(location, 0.0) + g.agent.limit_share(
                    self.now + g.clock_offset, True
                )
            self.max_share_sum["far"] = max(self.max_share_sum["far"], fleet_sum)
            self.max_share_sum["near"] = max(self.max_share_sum["near"], *by_location.values())
            self.after(interval, sample)

        sample()

    def open_fraction(self, source_index: int) -> float:
        """Returns the fraction of the running gateways whose breaker for a source is open."""
        running = [g for g in self.gateways if g.alive]
        return sum(g.breakers[source_index].open for g in running) / max(1, len(running))

    def fairness(self) -> float:
        """Returns Jain's fairness index of the shares divided by demand: 1 if all are in proportion."""
        shares = [
            g.agent.limit_share(self.now + g.clock_offset, False) / g.demand for g in self.gateways if g.alive
        ]
        return sum(shares) ** 2 / (len(shares) * sum(x * x for x in shares))
