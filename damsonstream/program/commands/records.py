"""`damsonstream records`: verify, show, merge and summarize the records of gateways."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec

from damsonstream.incident.analysis import merge_records
from damsonstream.incident.describe import describe_record, plain
from damsonstream.records import model, store
from damsonstream.records.store import Item, Problem

S = 10_000  # ticks of 0.1 ms per second
FOLDER = click.argument(
    "folder", metavar="RECORDS", type=click.Path(path_type=Path, exists=True, file_okay=False)
)
GATEWAY = click.option(
    "--gateway", "gateways", multiple=True, help="Only this gateway; may be given several times."
)


@click.group()
def records() -> None:
    """Inspect the records that gateways write to a folder."""


def selected(folder: Path, gateways: tuple[str, ...]) -> dict[str, Path]:
    """Returns the folders of the named gateways, or of all; raises UsageError if one has no records."""
    found = store.gateway_folders(folder)
    if unknown := [name for name in gateways if name not in found]:
        raise click.UsageError(
            f"{folder} contains no records of {', '.join(unknown)}; available: {', '.join(found) or '-'}"
        )
    return {name: path for name, path in found.items() if not gateways or name in gateways}


@records.command()
@FOLDER
@GATEWAY
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def verify(folder: Path, gateways: tuple[str, ...], as_json: bool) -> int:
    """Check all segments and report missing or damaged records.

    Exit code 0 if there is no damage, 1 if there is. Segments that were removed by age or size are reported
    but don't count as damage.
    """
    results: list[dict[str, Any]] = []
    for name, path in selected(folder, gateways).items():
        reader, count, boots = store.Reader(path), 0, set[int]()
        problems: list[Problem] = []
        dropped = 0
        for entry in reader.read():
            boots.add(entry.boot)
            if isinstance(entry, Problem):
                problems.append(entry)
            else:
                count += 1
                if isinstance(entry.record, model.Dropped):
                    dropped += entry.record.count
        results.append(
            {
                "gateway": name,
                "boots": len(boots),
                "segments": len(store.segment_files(path)),
                "records": count,
                "bytes": reader.bytes_read,
                "dropped": dropped,
                "problems": [asdict(problem) for problem in problems],
            }
        )
    damaged = any(p["kind"] != "removed" for one in results for p in one["problems"])
    if as_json:
        click.echo(json.dumps({"damaged": damaged, "gateways": results}, indent=1))
        return int(damaged)
    for one in results:
        click.echo(
            f"{plain(one['gateway'])}: {one['records']} records in {one['segments']} segments of "
            f"{one['boots']} boots, {one['bytes'] / 1e6:.1f} MB"
            + (f", {one['dropped']} dropped by the gateway" if one["dropped"] else "")
        )
        for p in one["problems"]:
            lost = f", {p['count']} records missing" if p["count"] > 0 else ""
            click.echo(
                f"  boot {p['boot']} segment {p['segment']} byte {p['at']}: {p['kind']}{lost}"
                + (f" ({plain(p['detail'])})" if p["detail"] else "")
            )
    if not results:
        click.echo("no records")
    return int(damaged)


@dataclass
class Filter:
    """The criteria for the shown records; an empty one matches all."""

    kinds: tuple[str, ...] = ()
    ident: str = ""
    node: str = ""
    service: str = ""
    boot: int = 0
    since: float = 0.0
    until: float = 0.0

    def __post_init__(self) -> None:
        self.numbers: dict[tuple[str, int, int], None] = {}  # tracked GETs: (gateway, boot, number)
        self.services: dict[tuple[str, int], list[str]] = {}
        self.start = 0

    def matches(self, at: int, name: str, item: Item) -> bool:
        """Returns whether a record matches; expects all records in order, to track the GETs."""
        record = item.record
        self.start = self.start or at
        if isinstance(record, model.Began):
            self.services[name, item.boot] = [service.name for service in record.services]
        if isinstance(record, model.Taken):
            self.track(name, item.boot, record)
        seconds = (at - self.start) / S
        if (self.since and seconds < self.since) or (self.until and seconds > self.until):
            return False
        if (self.boot and item.boot != self.boot) or (
            self.kinds and type(record).__name__.lower() not in self.kinds
        ):
            return False
        if self.ident or self.service:
            number = getattr(record, "get", None)
            turned = isinstance(record, model.Turned) and self.ident and record.ident == self.ident
            if not turned and (number is None or (name, item.boot, number) not in self.numbers):
                return False
        return not self.node or self.node in (
            getattr(record, "cache", ""), getattr(record, "source", ""), getattr(record, "node", ""),
            *(one.cache for one in getattr(record, "lines", ())),
        )  # fmt: skip

    def track(self, name: str, boot: int, record: model.Taken) -> None:
        """Tracks a GET whose id and delivery service match, so that its later records match too."""
        names = self.services.get((name, boot), [])
        service = names[record.service] if 0 <= record.service < len(names) else ""
        if (not self.ident or record.ident == self.ident) and (not self.service or service == self.service):
            self.numbers[name, boot, record.get] = None
            while len(self.numbers) > 100_000:  # the oldest ones have ended
                del self.numbers[next(iter(self.numbers))]


def clock(at: int) -> str:
    """Formats a time in tenths of a millisecond since the epoch, in UTC."""
    return datetime.fromtimestamp(at / S, UTC).strftime("%H:%M:%S.%f")[:-2]


def plain_data(at: int, name: str, item: Item) -> dict[str, Any]:
    """Returns a record as a JSON object; `at` is in fleet time, `own_at` by the gateway's own clock."""
    fields = msgspec.structs.asdict(item.record)
    for key in ("services", "lines"):
        if key in fields:
            fields[key] = [msgspec.structs.asdict(one) for one in fields[key]]
    return {"at": at / S, "gateway": name, "boot": item.boot, "seq": item.seq,
            "kind": type(item.record).__name__.lower(), **{k: v for k, v in fields.items() if k != "at"},
            "own_at": item.record.at / S}  # fmt: skip


def filtered(folder: Path, gateways: tuple[str, ...], criteria: Filter) -> Iterator[tuple[int, str, Item]]:
    names = selected(folder, gateways)
    return (entry for entry in merge_records(folder, names) if criteria.matches(*entry))


@records.command()
@FOLDER
@GATEWAY
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice(sorted(model.KINDS)),
    help="Only this kind; may be given several times.",
)
@click.option("--get", "ident", default="", help="Only the GET with this id, from its arrival to its end.")
@click.option("--node", default="", help="Only records that name this cache, parent or origin.")
@click.option("--service", default="", help="Only GETs of this delivery service.")
@click.option("--boot", default=0, help="Only this boot (start of the gateway process).")
@click.option("--since", default=0.0, help="Seconds after the first record.")
@click.option("--until", default=0.0, help="Seconds after the first record.")
@click.option("--limit", default=0, help="Maximum number of lines; 0: no limit.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per line.")
def show(
    folder: Path,
    gateways: tuple[str, ...],
    kinds: tuple[str, ...],
    ident: str,
    node: str,
    service: str,
    boot: int,
    since: float,
    until: float,
    limit: int,
    as_json: bool,
) -> int:
    """Print the records of all gateways in fleet time. Exit code 1 if none matches."""
    criteria = Filter(kinds, ident, node, service, boot, since, until)
    count = 0
    for at, name, item in filtered(folder, gateways, criteria):
        count += 1
        if as_json:
            click.echo(json.dumps(plain_data(at, name, item)))
        else:
            click.echo(f"{clock(at)} {plain(name, 16)}/{item.boot} {describe_record(item.record)}")
        if limit and count >= limit:
            break
    return 0 if count else 1


@records.command()
@FOLDER
@GATEWAY
@click.option(
    "-o", "--output", type=click.File("w", atomic=True), default="-", help="Default: standard output."
)
def merge(folder: Path, gateways: tuple[str, ...], output: Any) -> int:
    """Write all records in fleet time, as JSON lines. The records of one gateway stay in their order."""
    for at, name, item in merge_records(folder, selected(folder, gateways)):
        output.write(json.dumps(plain_data(at, name, item)) + "\n")
    return 0


@records.command()
@FOLDER
@GATEWAY
@click.option("--json", "as_json", is_flag=True)
def stats(folder: Path, gateways: tuple[str, ...], as_json: bool) -> int:
    """Count the records by kind, and their size."""
    totals: dict[str, Any] = {}
    for name, path in selected(folder, gateways).items():
        reader, kinds = store.Reader(path), Counter[str]()
        first = last = 0
        for entry in reader.read():
            if isinstance(entry, Item):
                kinds[type(entry.record).__name__.lower()] += 1
                first, last = first or entry.record.at, entry.record.at
        count = kinds.total()
        totals[name] = {
            "records": count,
            "bytes": reader.bytes_read,
            "bytes_each": round(reader.bytes_read / count, 1) if count else 0.0,
            "seconds": round((last - first) / S, 1),
            "kinds": dict(kinds.most_common()),
        }
    if as_json:
        click.echo(json.dumps(totals, indent=1))
        return 0
    for name, one in totals.items():
        each, seconds = one["bytes_each"], one["seconds"]
        click.echo(
            f"{plain(name)}: {one['records']} records, {one['bytes'] / 1e6:.2f} MB, {each:g} bytes each, "
            f"{seconds:g} s"
        )
        for kind, count in one["kinds"].items():
            click.echo(f"  {kind:10} {count:9}  {100 * count / one['records']:5.1f}%")
    return 0
