"""Collects what the records contain about each GET, for comparison with the viewers' observations.

`recorded(folder)` reads all records once, and returns the GETs by their ids.
"""

from __future__ import annotations

from pathlib import Path

from damsonstream.demo.check import Recorded
from damsonstream.incident.accounting import Forward, Get, GetLedger, StrayRecord
from damsonstream.records import model, store


class RecordedGets:
    """A listener of ledgers that keeps an entry for each GET; unbounded, as runs are short."""

    def __init__(self) -> None:
        self.recorded: dict[str, Recorded] = {}
        self.idents: dict[tuple[str, int, int], str] = {}  # by gateway, incarnation (boot) and GET number

    def entry_for(self, gateway: str, ident: str) -> Recorded:
        return self.recorded.setdefault(ident, Recorded(gateway, [], ""))

    def record(self, gateway: str, boot: int, record: model.AnyRecord) -> None:
        if isinstance(record, model.Taken):
            self.idents[gateway, boot, record.get] = record.ident
            self.entry_for(gateway, record.ident)
        elif isinstance(record, model.Turned):
            self.entry_for(gateway, record.ident).answers.append(record.outcome)

    def forward_sent(self, get: Get, sent: model.Sent) -> None:
        pass

    def forward_ended(self, get: Get, leg: Forward) -> None:
        pass

    def answered(self, get: Get) -> None:
        assert get.answered is not None
        self.entry_for(get.gateway, get.taken.ident).answers.append(get.answered.outcome)

    def get_ended(self, get: Get, verdict: str) -> None:
        self.entry_for(get.gateway, get.taken.ident).verdict = verdict

    def stray(self, gateway: str, boot: int, record: StrayRecord) -> None:
        ident = self.idents.get((gateway, boot, record.get), f"number {record.get}")
        if isinstance(record, model.Answered):
            self.entry_for(gateway, ident).answers.append(record.outcome)


def recorded(folder: Path) -> dict[str, Recorded]:
    listener = RecordedGets()
    for name, path in store.gateway_folders(folder).items():
        ledger = GetLedger(name, listener)
        for entry in store.Reader(path).read():
            ledger.feed(entry)
        ledger.close(running=False)
    return listener.recorded
