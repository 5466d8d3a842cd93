"""Outcomes of a replay: counts each GET of the trace once, even if the replay is killed and resumed. No I/O.

Usage: `Account()`; `record(index, ...)` when a GET has ended, `has_ended(index)` to query; `dump()` and
`Account.load(bytes)` save and restore a checkpoint. A checkpoint is consistent: it has the indices of the
GETs that have ended and the outcomes of exactly these. A resumed replay therefore neither repeats nor drops a
GET in its counts: GETs that ended after the checkpoint are sent again, and counted once.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from hdrh.histogram import HdrHistogram

# Besides the answers of a gateway (returned, shed, errored): late, the viewer timeout expired; lost, the
# connection ended; overdue, not sent because the replay was behind by more than the viewer timeout;
# no-gateway, no gateway was reachable; no-room, no connection had a free stream.
OUTCOMES = ("returned", "shed", "errored", "late", "lost", "overdue", "no-gateway", "no-room")
MAX_LATENCY_US = 120_000_000  # larger values are recorded as this one
FORMAT_VERSION = 1


class UnusableCheckpoint(Exception):
    """The bytes are not a valid checkpoint, or belong to another trace."""


def histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, 3)


@dataclass(slots=True)
class ServiceCounts:
    """Outcomes and latencies of one delivery service."""

    outcomes: Counter[str] = field(default_factory=Counter)
    tries: int = 0
    from_intended: HdrHistogram = field(default_factory=histogram)  # latencies of returned GETs, microseconds
    from_sent: HdrHistogram = field(default_factory=histogram)


class Account:
    """The GETs that have ended, with their outcomes."""

    def __init__(self, trace: str = "", first: int = 0) -> None:
        self.trace = trace  # digest of the trace
        self.first_open = first  # index of the first GET that has not ended
        self.ended_ahead: set[int] = set()  # ended GETs after it; bounded by the number of open GETs
        self.services: dict[str, ServiceCounts] = {}
        self.send_delays = histogram()  # microseconds from the intended time of a GET to its first sending
        self.resume_count = 0

    def has_ended(self, index: int) -> bool:
        """Returns whether the GET has an outcome."""
        return index < self.first_open or index in self.ended_ahead

    def record(
        self,
        index: int,
        service: str,
        outcome: str,
        tries: int,
        send_delay: float,
        latency: float,
        send_latency: float,
    ) -> bool:
        """Records the outcome of a GET. Returns False if it had one already.

        In seconds: `send_delay` from the intended time to the first sending, `latency` from the intended time
        to the end, `send_latency` from the last sending to the end.
        """
        if self.has_ended(index):
            return False
        self.ended_ahead.add(index)
        while self.first_open in self.ended_ahead:
            self.ended_ahead.remove(self.first_open)
            self.first_open += 1
        counts = self.services.setdefault(service, ServiceCounts())
        counts.outcomes[outcome] += 1
        counts.tries += tries
        if tries:
            self.send_delays.record_value(to_micros(send_delay))
        if outcome == "returned":
            counts.from_intended.record_value(to_micros(latency))
            counts.from_sent.record_value(to_micros(send_latency))
        return True

    @property
    def count(self) -> int:
        return sum(service.outcomes.total() for service in self.services.values())

    def dump(self) -> bytes:
        """Returns a checkpoint: a line with the CRC-32 of the rest, then JSON."""
        services = {
            name: {
                "outcomes": dict(one.outcomes),
                "tries": one.tries,
                "from_intended": one.from_intended.encode().decode(),
                "from_sent": one.from_sent.encode().decode(),
            }
            for name, one in self.services.items()
        }
        # keys of the stored format: "low" is `first_open`, "beyond" is `ended_ahead`
        state = {
            "form": FORMAT_VERSION,
            "trace": self.trace,
            "low": self.first_open,
            "beyond": sorted(self.ended_ahead),
            "services": services,
            "lateness": self.send_delays.encode().decode(),
            "resumed": self.resume_count,
        }
        body = json.dumps(state).encode()
        return b"%08x\n" % crc32(body) + body

    @classmethod
    def load(cls, data: bytes, trace: str) -> Account:
        """Restores a checkpoint of the trace with this digest ("" accepts any trace).

        Raises `UnusableCheckpoint`.
        """
        try:
            head, _, body = data.partition(b"\n")
            if int(head, 16) != crc32(body):
                raise UnusableCheckpoint("its checksum does not match")
            state: dict[str, Any] = json.loads(body)
            if state["form"] != FORMAT_VERSION:
                raise UnusableCheckpoint(f"it has the unknown format version {state['form']}")
            if trace and state["trace"] != trace:
                raise UnusableCheckpoint("it belongs to another trace")
            account = cls(state["trace"], state["low"])
            account.ended_ahead = set(state["beyond"])
            account.resume_count = state["resumed"] + 1
            account.send_delays = HdrHistogram.decode(state["lateness"])
            for name, one in state["services"].items():
                account.services[name] = ServiceCounts(Counter(one["outcomes"]), one["tries"],
                                                 HdrHistogram.decode(one["from_intended"]),
                                                 HdrHistogram.decode(one["from_sent"]))  # fmt: skip
        except (KeyError, TypeError, ValueError, IndexError) as fault:
            raise UnusableCheckpoint(f"it can't be decoded: {fault}") from fault
        return account

    def summary(self) -> dict[str, Any]:
        """Returns the results as plain data, for JSON."""
        return {
            "gets": self.count,
            "resumed": self.resume_count,
            "services": {
                name: {
                    "outcomes": dict(sorted(one.outcomes.items())),
                    "tries": one.tries,
                    "latency_ms": percentiles(one.from_intended),
                    "latency_ms_from_sending": percentiles(one.from_sent),
                }
                for name, one in sorted(self.services.items())
            },
            "own_lateness_ms": percentiles(self.send_delays),
        }


def to_micros(seconds: float) -> int:
    """Converts to microseconds within the range of the histograms."""
    return min(MAX_LATENCY_US - 1, max(1, int(seconds * 1e6)))


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Returns percentiles and the maximum in milliseconds."""
    if not histogram.get_total_count():
        return {}
    result = {f"p{share:g}": histogram.get_value_at_percentile(share) / 1000 for share in (50, 90, 99, 99.9)}
    return {**result, "max": histogram.get_max_value() / 1000}
