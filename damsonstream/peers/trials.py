"""Decides which gateway runs the next trial of a source whose breaker is Half-Open. No I/O.

Usage: `may_try(now, source, cooldown_end, watchers)` before a trial returns whether this gateway may run it
now; `cooldown_end` is when the cooldown of its own breaker ended, `watchers` are the live gateways that watch
the source. `begin(now, source, ...)` returns the message that announces the trial, if one is needed, and
`finish(now, source, ...)` the message with its result. `receive(now, trial)` takes messages of other gateways
and returns whether they are news, and the verdict for the local breaker.

The watchers of a source take turns in its rendezvous order, which is the same on all gateways that believe
the same ones to be alive. The first may try at once, and each further one an `ORDER_STEP` later, unless it
has received by then that another one is trying. The rest of the fleet follows, spread over `OUTSIDER_SPREAD`.
So a gateway that died, stalled or takes no GET for the source is replaced after a timeout, and an isolated
gateway finally tries on its own. The result of a trial counts for all gateways that receive it: a failure
restarts the cooldown; a success ends it, so that each gateway's next fill there is its own trial. Two
successes close the breakers, spread over `CLOSE_SPREAD`.

Bound: among gateways that receive each other's messages at most two try a failing source in one ORDER_STEP,
the claimant and one that has not received the claim in time; in a partition of k groups, at most two in each
group. If all messages are lost, each gateway tries on its own, later by its position in the order: slower
than without this module, and never with more trials.
"""

from __future__ import annotations

from dataclasses import dataclass

from damsonstream.peers import rendezvous, wire

S = 10_000  # clock ticks (0.1 ms) per second
ORDER_STEP = S // 4  # two rounds of gossip, enough for a message to reach the next gateways in order
MAX_STEPS = 8  # gateways further back in the order wait no longer than this many steps
# Gateways that don't watch the source follow within this time; a claim reaches them in a sixth of it.
OUTSIDER_SPREAD = 2 * S
# How long an announced trial blocks others: the usual duration of a fill. Most trials turn out to be cache
# hits and prove nothing; with 2 s, a recovered hub stayed Half-Open for 7 s and longer (piece `turns` in
# `together` runs).
CLAIM_DURATION = S // 2
# Gateways close their breakers within this time, so that load returns gradually: half a second before, the
# source had this load already.
CLOSE_SPREAD = S
SUCCESSES_TO_CLOSE = 2  # successful trials in a row, by any gateways, that close the breaker
OPEN_TO_ALL = 5 * S  # after a success, any gateway may try for this long: as long as a cooldown
MAX_SOURCES = 512


@dataclass(slots=True)
class TrialState:
    """What this gateway knows of the trials of one source."""

    claimed_by: int = -1  # the gateway that is trying, -1: none known
    claimed_until: int = 0  # when the claim stops blocking others
    successes: int = 0  # successful trials in a row, of any gateway
    first_success_at: int = -OPEN_TO_ALL  # when this gateway learned of the first of those
    failed_at: int = -S  # when this gateway learned of the last failure
    updated_at: int = 0  # last use, for eviction


class TrialSchedule:
    """One gateway's part in the trials of all sources."""

    def __init__(self, own_index: int) -> None:
        self.own_index = own_index
        self.states: dict[int, TrialState] = {}  # by source; the least recent is evicted over MAX_SOURCES
        # (source, gateway): boot and sequence number of its last message
        self.last_received: dict[tuple[int, int], tuple[int, int]] = {}
        self.sequence = 0

    def state_of(self, now: int, source: int) -> TrialState:
        """Returns the state of a source, a new one if needed, and marks it as used."""
        state = self.states.get(source)
        if state is None:
            if len(self.states) >= MAX_SOURCES:
                evicted = min(self.states, key=lambda s: self.states[s].updated_at)
                del self.states[evicted]
                self.last_received = {
                    key: value for key, value in self.last_received.items() if key[0] != evicted
                }
            state = self.states[source] = TrialState()
        state.updated_at = now
        return state

    def start_delay(self, source: int, watchers: list[int]) -> int:
        """Returns how long this gateway waits for those before it in the order; a gateway that does not watch
        the source comes after all watchers. Watchers may still be in their cooldown or take no GET for the
        source, so the others follow soon."""
        own_rank = (rendezvous.weight(self.own_index, source), self.own_index)
        if self.own_index not in watchers:
            return ORDER_STEP * min(MAX_STEPS, len(watchers)) + int(OUTSIDER_SPREAD * own_rank[0])
        return ORDER_STEP * min(
            MAX_STEPS, sum((rendezvous.weight(other, source), other) < own_rank for other in watchers)
        )

    def may_try(self, now: int, source: int, cooldown_end: int, watchers: list[int]) -> bool:
        """Returns whether this gateway may run a trial now."""
        state = self.states.get(source)
        if state is not None and state.successes and now - state.first_success_at < OPEN_TO_ALL:
            return True
        if state is not None and state.claimed_by not in (-1, self.own_index) and now < state.claimed_until:
            return False
        start = max(
            cooldown_end,
            state.claimed_until if state is not None and state.claimed_by != self.own_index else 0,
        )
        return now >= start + self.start_delay(source, watchers)

    def message(self, source: int, location: int, boot: int, state: int) -> wire.Trial:
        self.sequence += 1
        return wire.Trial(self.own_index, boot, self.sequence, source, location, state)

    def begin(self, now: int, source: int, location: int, boot: int) -> wire.Trial | None:
        """Starts a trial; returns the claim that blocks others, or None where they need not wait for it."""
        trial_state = self.state_of(now, source)
        trial_state.claimed_by, trial_state.claimed_until = self.own_index, now + CLAIM_DURATION
        return None if trial_state.successes else self.message(source, location, boot, 0)

    def finish(self, now: int, source: int, location: int, boot: int, succeeded: bool) -> wire.Trial | None:
        """Ends a trial; returns the message with its result, or None if that is known already."""
        trial_state = self.state_of(now, source)
        trial_state.claimed_by, trial_state.claimed_until = -1, now
        if not self.record_outcome(now, trial_state, succeeded):
            return None
        return self.message(source, location, boot, 1 if succeeded else 2)

    def record_outcome(self, now: int, state: TrialState, succeeded: bool) -> bool:
        """Records the result of a trial, anyone's; returns whether it is news to the fleet."""
        if succeeded:
            if not state.successes or now - state.first_success_at >= OPEN_TO_ALL:
                state.successes, state.first_success_at = 0, now
            state.successes += 1
            return state.successes <= SUCCESSES_TO_CLOSE
        is_news = state.successes > 0 or now - state.failed_at >= S
        state.successes, state.failed_at = 0, now
        return is_news

    def receive(self, now: int, trial: wire.Trial) -> tuple[bool, str]:
        """Returns whether it is news, and the verdict for the breaker: `good` (one success), `well` (enough
        successes to close), `bad` (failed) or empty."""
        if trial.by == self.own_index:
            return False, ""
        key, version = (trial.source, trial.by), (trial.boot, trial.sequence)
        if self.last_received.get(key, (-1, -1)) >= version:
            return False, ""
        state = self.state_of(now, trial.source)
        self.last_received[key] = version
        if trial.state == 0:
            if now >= state.claimed_until:
                state.claimed_by, state.claimed_until = trial.by, now + CLAIM_DURATION
            return not state.successes, ""
        if state.claimed_by == trial.by:
            state.claimed_by, state.claimed_until = -1, now
        succeeded = trial.state == 1
        is_news = self.record_outcome(now, state, succeeded)
        if succeeded:
            return is_news, "" if not is_news else "well" if state.successes == SUCCESSES_TO_CLOSE else "good"
        return is_news, "bad"

    def close_delay(self, source: int) -> int:
        """Returns after what delay this gateway closes its breaker: the fleet is spread over CLOSE_SPREAD."""
        return int(CLOSE_SPREAD * rendezvous.weight(self.own_index, source ^ 0xBACC))
