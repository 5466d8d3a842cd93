"""What the records say of each GET, by its id: what the checker compares with the viewers' side.

How it is called: `recorded(folder)` goes through all records once.
"""

from __future__ import annotations

from pathlib import Path

from damsonstream.demo.check import Recorded
from damsonstream.incident.accounting import Attempt, Get, Ledger, Stray
from damsonstream.records import model, store


class ByIdent:
    """Listens to ledgers, and keeps a line for each GET: for plays, which are short."""

    def __init__(self) -> None:
        self.seen: dict[str, Recorded] = {}
        self.idents: dict[tuple[str, int, int], str] = {}

    def of(self, gateway: str, ident: str) -> Recorded:
        return self.seen.setdefault(ident, Recorded(gateway, [], ""))

    def record(self, gateway: str, boot: int, record: model.AnyRecord) -> None:
        if isinstance(record, model.Taken):
            self.idents[gateway, boot, record.get] = record.ident
            self.of(gateway, record.ident)
        elif isinstance(record, model.Turned):
            self.of(gateway, record.ident).answers.append(record.outcome)

    def sent(self, get: Get, sent: model.Sent) -> None:
        pass

    def came(self, get: Get, attempt: Attempt) -> None:
        pass

    def answered(self, get: Get) -> None:
        assert get.answered is not None
        self.of(get.gateway, get.taken.ident).answers.append(get.answered.outcome)

    def over(self, get: Get, verdict: str) -> None:
        self.of(get.gateway, get.taken.ident).verdict = verdict

    def stray(self, gateway: str, boot: int, record: Stray) -> None:
        ident = self.idents.get((gateway, boot, record.get), f"number {record.get}")
        if isinstance(record, model.Answered):
            self.of(gateway, ident).answers.append(record.outcome)


def recorded(folder: Path) -> dict[str, Recorded]:
    listener = ByIdent()
    for name, path in store.gateways(folder).items():
        ledger = Ledger(name, listener)
        for entry in store.Reader(path).read():
            ledger.feed(entry)
        ledger.close(running=False)
    return listener.seen
