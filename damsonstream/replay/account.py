"""The account of a replay: each GET of the trace once, also over kills of the replay. No I/O.

How it is called: `Account()`; `enter(place, ...)` when a wish has ended, `done(place)` asks; `dump()` and
`Account.load(bytes)` carry it over a kill. What is in one dump is one state: the places that have ended, and
the outcomes of just these. So a replay that goes on from it neither repeats nor drops a GET in its account:
what had ended after the dump is played once more, and counted once.
"""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from hdrh.histogram import HdrHistogram

OUTCOMES = ("returned", "shed", "errored", "late", "lost", "overdue", "no-gateway", "no-room")
MOST_US = 120_000_000  # latencies are kept up to two minutes
FORM = 1


class Unusable(Exception):
    """The bytes are no account, or not of this trace."""


def histogram() -> HdrHistogram:
    return HdrHistogram(1, MOST_US, 3)


@dataclass(slots=True)
class Service:
    outcomes: Counter[str] = field(default_factory=Counter)
    tries: int = 0
    from_intended: HdrHistogram = field(default_factory=histogram)  # microseconds, of returned ones
    from_sent: HdrHistogram = field(default_factory=histogram)


class Account:
    def __init__(self, trace: str = "", first: int = 0) -> None:
        self.trace = trace  # the digest of what is replayed
        self.low = first  # every place under it has ended
        self.beyond: set[int] = set()  # ended ones from there on; bounded by what is open at once
        self.services: dict[str, Service] = {}
        self.lateness = histogram()  # microseconds between the intended and the real sending
        self.resumed = 0

    def done(self, place: int) -> bool:
        return place < self.low or place in self.beyond

    def enter(
        self, place: int, service: str, outcome: str, tries: int, late: float, took: float, alone: float
    ) -> bool:
        """Seconds: `late` to the first sending, `took` from the intended time, `alone` from the last sending.
        False: it was entered before."""
        if self.done(place):
            return False
        self.beyond.add(place)
        while self.low in self.beyond:
            self.beyond.remove(self.low)
            self.low += 1
        told = self.services.setdefault(service, Service())
        told.outcomes[outcome] += 1
        told.tries += tries
        if tries:
            self.lateness.record_value(micros(late))
        if outcome == "returned":
            told.from_intended.record_value(micros(took))
            told.from_sent.record_value(micros(alone))
        return True

    @property
    def count(self) -> int:
        return sum(service.outcomes.total() for service in self.services.values())

    def dump(self) -> bytes:
        services = {
            name: {
                "outcomes": dict(one.outcomes),
                "tries": one.tries,
                "from_intended": one.from_intended.encode().decode(),
                "from_sent": one.from_sent.encode().decode(),
            }
            for name, one in self.services.items()
        }
        told = {
            "form": FORM,
            "trace": self.trace,
            "low": self.low,
            "beyond": sorted(self.beyond),
            "services": services,
            "lateness": self.lateness.encode().decode(),
            "resumed": self.resumed,
        }
        body = json.dumps(told).encode()
        return b"%08x\n" % crc32(body) + body

    @classmethod
    def load(cls, data: bytes, trace: str) -> Account:
        try:
            head, _, body = data.partition(b"\n")
            if int(head, 16) != crc32(body):
                raise Unusable("its checksum does not hold")
            told: dict[str, Any] = json.loads(body)
            if told["form"] != FORM:
                raise Unusable(f"it has the form {told['form']}")
            if trace and told["trace"] != trace:
                raise Unusable("it belongs to another trace")
            account = cls(told["trace"], told["low"])
            account.beyond = set(told["beyond"])
            account.resumed = told["resumed"] + 1
            account.lateness = HdrHistogram.decode(told["lateness"])
            for name, one in told["services"].items():
                account.services[name] = Service(Counter(one["outcomes"]), one["tries"],
                                                 HdrHistogram.decode(one["from_intended"]),
                                                 HdrHistogram.decode(one["from_sent"]))  # fmt: skip
        except (KeyError, TypeError, ValueError, IndexError) as fault:
            raise Unusable(f"it can't be read: {fault}") from fault
        return account

    def told(self) -> dict[str, Any]:
        return {
            "gets": self.count,
            "resumed": self.resumed,
            "services": {
                name: {
                    "outcomes": dict(sorted(one.outcomes.items())),
                    "tries": one.tries,
                    "latency_ms": percentiles(one.from_intended),
                    "latency_ms_from_sending": percentiles(one.from_sent),
                }
                for name, one in sorted(self.services.items())
            },
            "own_lateness_ms": percentiles(self.lateness),
        }


def micros(seconds: float) -> int:
    return min(MOST_US - 1, max(1, int(seconds * 1e6)))


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    found = {f"p{share:g}": histogram.get_value_at_percentile(share) / 1000 for share in (50, 90, 99, 99.9)}
    return {**found, "max": histogram.get_max_value() / 1000}
