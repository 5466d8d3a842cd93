"""Checks from the records whether each of the five rules was kept. No I/O.

`RuleChecker(clocks)` receives events as an `accounting.Listener` and returns `findings()`. The verdict on a
rule is "broken" if a record shows a violation, "can't tell" if records that could show one are missing, and
"kept" otherwise; a finding also counts the cases behind its verdict. The rules are defined in docs/design.md.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from damsonstream.incident.accounting import TIMEOUT_TOLERANCE, VIOLATIONS, Forward, Get, StrayRecord
from damsonstream.incident.clocks import Clocks
from damsonstream.records import model

MS, S = 10, 10_000
# For boots that do not record their grace periods: the largest that an installation has used so far.
DEFAULT_DRAIN_GRACE, DEFAULT_PURGE_GRACE = 2 * S, 500 * MS
NOT_EXECUTED = ("shed", "lacking", "unreached", "unsent")  # results that prove that nothing was executed
MAX_EXAMPLES = 8  # for each rule
PURGE_RETENTION = 600 * S  # purges are checked for this long; all caches have applied them long before
# A node counts as cold for this long after its reported start. Gateways know the exact duration, but it is
# not recorded.
COLD_PERIOD = 30 * S


@dataclass(slots=True)
class Finding:
    """The result of one rule. The fields are also keys of the JSON report."""

    number: int
    name: str
    cases: int = 0  # events that could have violated it
    broken: int = 0  # violations
    untold: int = 0  # cases that the records can't decide
    why: str = ""  # why they can't
    examples: list[str] = field(default_factory=list)

    @property
    def verdict(self) -> str:
        if self.broken:
            return "broken"
        return "can't tell" if self.untold else "kept"


@dataclass(slots=True)
class BootView:
    """What one boot knew about caches and purges, at the current point of its records."""

    # by cache: state, since, location
    cache_states: dict[str, tuple[str, int, str]] = field(default_factory=dict)
    # by object or group: received, issued
    purges: dict[str | int, tuple[int, int]] = field(default_factory=dict)
    started_at: dict[str, int] = field(default_factory=dict)  # by cache: its reported start time
    drain_grace: int = DEFAULT_DRAIN_GRACE
    purge_grace: int = DEFAULT_PURGE_GRACE


class RuleChecker:
    """An `accounting.Listener` that counts violations of the five rules."""

    def __init__(self, clocks: Clocks) -> None:
        self.clocks = clocks
        # Names of the rules in reports. The third is about draining nodes, the fourth about the load on nodes
        # that started recently with an empty cache.
        names = ("one final answer in time", "no effect twice", "drains kept", "cold ones not pushed over",
                 "purges kept")  # fmt: skip
        self.results = [Finding(number, name) for number, name in enumerate(names, 1)]
        self.boots: dict[tuple[str, int], BootView] = {}
        # forwards to each cold node in each second of fleet time
        self.cold_forwards: Counter[tuple[str, int]] = Counter()
        self.cold_failures: Counter[str] = Counter()  # failed forwards to cold nodes that indicate overload
        # GETs answered before all their forwards had ended
        self.answered_early: dict[tuple[str, int], set[int]] = defaultdict(set)

    def finding(self, number: int) -> Finding:
        return self.results[number - 1]

    def add_violation(self, number: int, text: str) -> None:
        finding = self.finding(number)
        finding.broken += 1
        if len(finding.examples) < MAX_EXAMPLES:
            finding.examples.append(text)

    def boot_view(self, gateway: str, boot: int) -> BootView:
        return self.boots.setdefault((gateway, boot), BootView())

    # lists of caches, purges and settings

    def record(self, gateway: str, boot: int, record: model.AnyRecord) -> None:
        known = self.boot_view(gateway, boot)
        if isinstance(record, model.Listed):
            self.update_caches(known, record)
        elif isinstance(record, model.Purge):
            key = record.thing or record.group
            received, issued = known.purges.get(key, (record.at, 0))
            if len(known.purges) > 4096:  # removes expired purges
                known.purges = {k: v for k, v in known.purges.items() if v[0] > record.at - PURGE_RETENTION}
            known.purges[key] = (
                record.at if record.issued > issued else received,
                max(issued, record.issued),
            )
        elif isinstance(record, model.Began):
            known.drain_grace = record.drain_grace or DEFAULT_DRAIN_GRACE
            known.purge_grace = record.purge_grace or DEFAULT_PURGE_GRACE
        elif isinstance(record, model.Turned):
            self.finding(1).cases += 1

    def update_caches(self, known: BootView, record: model.Listed) -> None:
        """Applies a list of caches; an active cache that a full list omits has left."""
        if record.whole and not record.more:
            listed_caches = {line.cache for line in record.lines}
            for cache, (state, _, location) in list(known.cache_states.items()):
                if cache not in listed_caches and state == "active":
                    known.cache_states[cache] = ("left", record.at, location)
        for line in record.lines:
            state, since, _ = known.cache_states.get(line.cache, ("", record.at, ""))
            is_ending = line.state != "active"
            was_ending = state not in ("", "active")
            known.cache_states[line.cache] = (
                line.state,
                since if is_ending and was_ending else record.at,
                line.location,
            )
            if line.since:
                known.started_at[line.cache] = line.since

    # GETs

    def forward_sent(self, get: Get, sent: model.Sent) -> None:
        """Checks a forward for rules 1 (not after the answer), 2 (retries), 3 (drains) and 4 (cold nodes)."""
        known = self.boot_view(get.gateway, get.boot)
        label = f"{get.gateway} boot {get.boot} GET {get.taken.ident}"
        if get.answered is not None:
            self.finding(1).cases += 1
            self.add_violation(
                1, f"{label}: forward {sent.leg} to {sent.cache} was sent after the final answer"
            )
        effect = get.service.effect if get.service else ""
        if effect and effect != "idempotent":
            self.check_retry(get, sent, effect, label)
        for node in {sent.cache, sent.source}:
            state, since, _ = known.cache_states.get(node, ("", 0, ""))
            self.finding(3).cases += 1
            if state in ("leaving", "left") and sent.at > since + known.drain_grace + TIMEOUT_TOLERANCE:
                delay_s = (sent.at - since) / S
                self.add_violation(
                    3, f"{label}: {node} was used {delay_s:.2f} s after it was reported as {state}"
                )
            if (start := known.started_at.get(node)) and 0 <= sent.at - start < COLD_PERIOD:
                second = self.clocks.fleet((get.gateway, get.boot), sent.at) // S
                self.cold_forwards[node, second] += 1

    def check_retry(self, get: Get, sent: model.Sent, effect: str, label: str) -> None:
        """Checks rule 2 for a retry of a GET that is not idempotent, after forwards that may have run."""
        finding = self.finding(2)
        finding.cases += 1
        may_have_run = [leg for leg in get.forwards.values() if leg.number != sent.leg
                        and (leg.came is None or leg.came.result not in NOT_EXECUTED)]  # fmt: skip
        if not may_have_run:
            return
        if effect == "non-idempotent":
            self.add_violation(2, f"{label}: sent again as forward {sent.leg}, after one that may have run")
            return
        assert get.service is not None
        first = min(may_have_run, key=lambda leg: leg.sent.at)
        cache_states = self.boot_view(get.gateway, get.boot).cache_states
        first_location, retry_location = (
            cache_states.get(name, ("", 0, ""))[2] for name in (first.sent.cache, sent.cache)
        )
        if sent.at > first.sent.at + get.service.remembered:
            self.add_violation(
                2, f"{label}: its token was no longer remembered when forward {sent.leg} was sent"
            )
        elif get.service.scope == "zone" and first_location != retry_location:
            self.add_violation(2, f"{label}: forward {sent.leg} left the group that remembers its token")
        elif get.service.scope == "cell" and sent.cache != first.sent.cache:
            finding.untold += 1
            finding.why = "records do not show which caches share a cell"

    def forward_ended(self, get: Get, leg: Forward) -> None:
        assert leg.came is not None
        came, sent = leg.came, leg.sent
        known = self.boot_view(get.gateway, get.boot)
        started_at = known.started_at.get(sent.cache, 0)
        if (
            started_at
            and 0 <= sent.at - started_at < COLD_PERIOD
            and came.result in ("unreached", "broken", "expired")
        ):
            self.cold_failures[sent.cache] += 1
        if came.result == "returned":
            self.check_purges(get, leg, known)

    def check_purges(self, get: Get, leg: Forward, known: BootView) -> None:
        """Checks rule 5: a forward sent after a purge must not return a copy older than the purge."""
        assert leg.came is not None
        keys: tuple[str | int, ...] = (get.taken.thing, get.taken.group)
        for key in keys:
            if key not in known.purges:
                continue
            received, issued = known.purges[key]
            if not received + known.purge_grace < leg.sent.at < received + PURGE_RETENTION:
                continue
            finding = self.finding(5)
            finding.cases += 1
            if not leg.came.stamp:
                finding.untold += 1
                finding.why = "caches did not report when the origin served their copies"
            elif leg.came.stamp * MS < issued - MS:
                age_s = issued / S - leg.came.stamp / 1000
                self.add_violation(5, f"{get.gateway} boot {get.boot} GET {get.taken.ident}: sent "
                                   f"{(leg.sent.at - received) / S:.2f} s after the purge was received, "
                                   f"answered from a copy {age_s:.2f} s older than it")  # fmt: skip

    def answered(self, get: Get) -> None:
        """Checks the final answer for rules 1 (in time) and 2 (not shed if a forward may have run)."""
        assert get.answered is not None
        finding, answer, taken = self.finding(1), get.answered, get.taken
        finding.cases += 1
        label = f"{get.gateway} boot {get.boot} GET {taken.ident}"
        if answer.at > taken.at + taken.left + TIMEOUT_TOLERANCE:
            overrun_ms = (answer.at - taken.at - taken.left) / MS
            self.add_violation(1, f"{label}: {answer.outcome} {overrun_ms:.0f} ms after its client's timeout")
        effect = get.service.effect if get.service else ""
        may_have_run = any(
            leg.came is None or leg.came.result not in NOT_EXECUTED for leg in get.forwards.values()
        )
        remembered = effect == "tokened" and get.service is not None and get.service.scope == "all"
        if answer.outcome == "shed" and may_have_run and effect not in ("idempotent", "") and not remembered:
            self.finding(2).cases += 1
            self.add_violation(2, f"{label}: shed, though a forward of it may have run")

    def get_ended(self, get: Get, verdict: str) -> None:
        finding = self.finding(1)
        if verdict in VIOLATIONS:
            finding.cases += 1
            self.add_violation(1, f"{get.gateway} boot {get.boot} GET {get.taken.ident}: {verdict}")
        elif verdict in ("hidden", "crash"):
            finding.untold += 1
            finding.why = "answers were lost in a crash or in a gap of the records"

    def stray(self, gateway: str, boot: int, record: StrayRecord) -> None:
        self.finding(1).cases += 1
        what = "taken twice"
        if isinstance(record, model.Sent):
            what = f"forward {record.leg} to {record.cache} was sent after the GET had ended"
        elif isinstance(record, model.Answered):
            what = "a second final answer, or an answer to an unknown GET"
        self.add_violation(1, f"{gateway} boot {boot} GET number {record.get}: {what}")

    def findings(self) -> list[Finding]:
        """Returns the findings of all rules."""
        finding = self.finding(4)
        finding.cases = sum(self.cold_forwards.values())
        if finding.cases:
            finding.untold = finding.cases
            peak = max(self.cold_forwards.items(), key=lambda pair: (pair[1], pair[0]))
            (node, _), count = peak
            failures = sum(self.cold_failures.values())
            finding.why = (
                f"the capacity of a cold node is not recorded; the peak was {count} forwards in a second, "
                f"to {node}, and {failures} forwards to cold nodes failed as on an overloaded node"
            )
        return self.results
