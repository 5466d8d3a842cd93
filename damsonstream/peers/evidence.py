"""Outcomes of forwards to a source or cache, as many gateways report them, merged without a coordinator. No
I/O; the caller passes the time.

Usage: `record_outcome(now, source, location, failed)` for each finished forward that a breaker was notified
of; `receive(now, report)` for a report of another gateway; `reports_due(now, boot)` returns the reports to
publish; `verdict(now, source)` returns `dead` or an empty string.

A gateway's report on a source is (gateway, boot, sequence, successes, failures): the latest run of failures
in a row, or of successes. A later sequence number replaces an earlier one, so reports may come in any order,
more than once or never. A report expires with the window, a success sooner. Successes count only since the
first failure, since all gateways had successes just before a source died. Each gateway counts once, whatever
numbers it reports, and three have to agree: one with a broken link, or one that reports falsely, opens no
breaker elsewhere. One gateway with successes prevents the verdict. A gateway that has successes with a source
that others call dead reports them, and its own outcomes outweigh all reports: a source that works for most
gateways but not for this one has a problem on this gateway's path, which its own breaker handles. Once enough
gateways agree, no further reports are sent or relayed.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from damsonstream.peers import wire

S = 10_000  # clock ticks (0.1 ms) per second
WINDOW = 3 * S  # the same as the breaker's window
SUCCESS_TTL = S + S // 2  # a reported success counts this long: two fills of a gateway at full load
FAR_FUTURE = (1 << 62) - 1  # later than any time
LONG_AGO = 1 << 40  # ticks; its negative is before any time
DEAD_QUORUM = 3  # gateways that have failures only, for the verdict `dead`
# Gateways with successes that prevent the verdict: partial failure is left to each gateway's own breaker.
SUCCESS_VETO = 1
# Time for others to object before the verdict counts: for gossip through the fleet, and for a success at a
# gateway that received it. With 0.6 s at 187 gateways, hundreds of breakers opened on parents that failed
# half of the time (run zone+mass). The second value is added for each factor of e in the size of the fleet.
OBJECTION_BASE, OBJECTION_PER_LOG_SIZE = 3 * S // 10, 3 * S // 20
# Failures are reported when the last one is this long after the last success, or when so many came in a row
# (the breaker's own minimum). The time is measured up to the last failure, not up to now: a breaker that
# opened on partial failure yields no more outcomes, so that silence proves nothing. With a longer time, the
# breaker of a busy gateway would open first.
FAILING_FOR, FAILURE_RUN = S, 5
MAX_SOURCES, MAX_REPORTERS = 512, 32  # kept: the sources reported last, and per source the latest reports
REPORT_INTERVAL = S // 2  # between two reports of one gateway on one source


@dataclass(slots=True)
class LocalOutcomes:
    """Recent outcomes of this gateway's forwards to one source, and what it reported of them."""

    # when, and whether it failed; emptied as the window moves on
    outcomes: deque[tuple[int, bool]] = field(default_factory=deque)
    last_success_at: int = -LONG_AGO
    last_report: tuple[int, int] = (0, 0)  # successes, failures
    reported_at: int = -S
    sequence: int = 0
    location: int = wire.ALL_LOCATIONS

    def current_run(self, now: int) -> tuple[int, int]:
        """Returns the length of the run of equal outcomes at the end: successes, failures; one of them is
        0."""
        while self.outcomes and self.outcomes[0][0] <= now - WINDOW:
            self.outcomes.popleft()
        run = 0
        for _, failed in reversed(self.outcomes):
            if failed != self.outcomes[-1][1]:
                break
            run += 1
        return (0, run) if self.outcomes and self.outcomes[-1][1] else (run, 0)

    def succeeded_since(self, when: int) -> bool:
        """Returns whether a forward succeeded after that time, even if others failed later."""
        return self.last_success_at > when

    def only_failures(self, now: int) -> bool:
        """Returns whether the source gives nothing here: for FAILING_FOR, or FAILURE_RUN times in a row."""
        run = self.current_run(now)[1]
        return run >= FAILURE_RUN or (run > 0 and self.outcomes[-1][0] - self.last_success_at >= FAILING_FOR)


@dataclass(slots=True, frozen=True)
class PeerReport:
    """The latest report of another gateway."""

    boot: int
    sequence: int
    successes: int
    failures: int
    at: int  # when the last of those outcomes was, by this gateway's clock; transit times are not included

    def older_than(self, other: PeerReport) -> bool:
        """Returns whether the other report replaces this one."""
        return (self.boot, self.sequence) < (other.boot, other.sequence)


def merge(first: Mapping[int, PeerReport], second: Mapping[int, PeerReport]) -> dict[int, PeerReport]:
    """Merges two tables of reports by gateway: keeps the later report, or of equal ones the one with later
    time."""
    result = dict(first)
    for gateway, report in second.items():
        known = result.get(gateway)
        if (
            known is None
            or known.older_than(report)
            or (not report.older_than(known) and known.at < report.at)
        ):
            result[gateway] = report
    return result


class Evidence:
    """Reports of all gateways on all sources."""

    MAX_OUTCOMES = 64  # of this gateway, kept per source

    def __init__(self, own_index: int, fleet_size: int = 8) -> None:
        """`fleet_size`: the configured number of gateways."""
        self.own_index = own_index
        self.objection_delay = OBJECTION_BASE + int(OBJECTION_PER_LOG_SIZE * math.log(max(2, fleet_size)))
        self.local: dict[int, LocalOutcomes] = {}  # by source; emptied as the windows run empty
        # by source, then by gateway; emptied by time and MAX_SOURCES
        self.reports: dict[int, dict[int, PeerReport]] = {}
        self.agreed_since: dict[int, int] = {}  # by source, while enough gateways agree that it is dead

    def record_outcome(self, now: int, source: int, location: int, failed: bool) -> None:
        """Records how a forward of this gateway ended."""
        local = self.local.setdefault(source, LocalOutcomes(location=location))
        local.location = location
        local.outcomes.append((now, failed))
        local.last_success_at = local.last_success_at if failed else now
        if len(local.outcomes) > self.MAX_OUTCOMES:
            local.outcomes.popleft()
        if source in self.reports:
            self.update_agreement(now, source)

    def receive(self, now: int, received: wire.OutcomeReport) -> bool:
        """Stores a report of another gateway; returns whether it is news."""
        if received.by == self.own_index:
            return False
        reports = self.reports.get(received.source)
        if reports is None:
            if len(self.reports) >= MAX_SOURCES:
                del self.reports[min(self.reports, key=lambda s: max(e.at for e in self.reports[s].values()))]
            reports = self.reports[received.source] = {}
        report = PeerReport(
            received.boot,
            received.sequence,
            received.successes,
            received.failures,
            now - received.age * wire.AGE_UNIT,
        )
        known = reports.get(received.by)
        if known is not None and not known.older_than(report):
            return False
        reports[received.by] = report
        if len(reports) > MAX_REPORTERS:
            del reports[min(reports, key=lambda gateway: reports[gateway].at)]
        self.update_agreement(now, received.source)
        return True

    def count_reporters(self, now: int, source: int) -> tuple[int, int]:
        """Returns how many other gateways report successes and how many report failures."""
        succeeding = failing = 0
        reports = self.reports.get(source, {})
        for gateway in [
            g for g, e in reports.items() if e.at <= now - (WINDOW if e.failures else SUCCESS_TTL)
        ]:
            del reports[gateway]
        if not reports:
            self.reports.pop(source, None)
        for report in reports.values():
            succeeding += not report.failures
            failing += report.failures > 0
        return succeeding, failing

    def first_failure_at(self, source: int) -> int:
        """Returns when the first reported failure was, as far as the reports' ages show."""
        return min((e.at for e in self.reports.get(source, {}).values() if e.failures), default=FAR_FUTURE)

    def update_agreement(self, now: int, source: int) -> None:
        """Recomputes whether enough gateways agree that a source is dead."""
        _, failing = self.count_reporters(now, source)
        first_failure = self.first_failure_at(source)
        # Only successes since then count: all gateways had successes just before the source died.
        succeeding = sum(
            not e.failures and e.at > first_failure for e in self.reports.get(source, {}).values()
        )
        local = self.local.get(source)
        if local is not None:
            succeeding += SUCCESS_VETO if local.succeeded_since(first_failure) else 0
            failing += self.fails_locally(now, source)
        if failing >= DEAD_QUORUM and succeeding < SUCCESS_VETO:
            self.agreed_since.setdefault(source, now)
        else:
            self.agreed_since.pop(source, None)

    def fails_locally(self, now: int, source: int) -> bool:
        """Returns whether this gateway's own forwards to it fail, and none succeeds."""
        local = self.local.get(source)
        return local is not None and local.only_failures(now)

    def already_agreed(self, now: int, report: wire.OutcomeReport) -> bool:
        """Returns whether enough gateways report the same already."""
        succeeding, failing = self.count_reporters(now, report.source)
        return failing > DEAD_QUORUM if report.failures else succeeding > SUCCESS_VETO

    def verdict(self, now: int, source: int) -> str:
        """Returns `dead` if enough gateways agree and nobody objected in time, else an empty string."""
        if source in self.reports:
            self.update_agreement(now, source)
        since = self.agreed_since.get(source)
        if since is not None and source not in self.reports:
            del self.agreed_since[source]
            since = None
        if since is not None and now - since >= self.objection_delay:
            return "dead"
        return ""

    def clear(self, source: int) -> None:
        """Drops all reports and outcomes of a source: it is a new process, or a trial succeeded."""
        self.local.pop(source, None)
        self.reports.pop(source, None)
        self.agreed_since.pop(source, None)

    def reports_due(self, now: int, boot: int) -> list[wire.OutcomeReport]:
        """Returns this gateway's reports to publish: failures only, or successes with a source that others
        report as failing. A report is repeated only when it has changed or half a window has passed."""
        due = []
        for source, local in list(self.local.items()):
            successes, failures = local.current_run(now)
            if not local.outcomes:
                del self.local[source]
                continue
            if failures and local.only_failures(now):
                successes, at = 0, local.outcomes[-1][0]
            elif local.succeeded_since(self.first_failure_at(source)) or (
                local.last_report[1] > 0 and successes
            ):
                # it answers here, if not each time
                successes, failures, at = max(1, successes), 0, local.last_success_at
            else:
                continue  # may be partial failure, on which others should not act
            unchanged = (local.last_report[0] > 0, local.last_report[1] > 0) == (successes > 0, failures > 0)
            if now - local.reported_at < (WINDOW // 2 if unchanged else REPORT_INTERVAL):
                continue
            age = min(255, (now - at) // wire.AGE_UNIT)
            report = wire.OutcomeReport(self.own_index, boot, local.sequence + 1, source, local.location,
                                        min(255, successes), min(255, failures), age)  # fmt: skip
            if not self.already_agreed(now, report):
                local.last_report, local.reported_at, local.sequence = (
                    (successes, failures),
                    now,
                    local.sequence + 1,
                )
                due.append(report)
        return due
