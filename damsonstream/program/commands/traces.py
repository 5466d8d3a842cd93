"""`damsonstream traces`: read published traces, look at them, make others of them, replay them."""

from __future__ import annotations

import json
import secrets
import tempfile
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import click
import numpy as np

from damsonstream.incident.words import plain
from damsonstream.settings import kdl
from damsonstream.traces import format as formats
from damsonstream.traces import shape
from damsonstream.traces.gets import DRAWN, MOVED, WRITE, Options, name
from damsonstream.traces.native import Native, Spoilt, Writing
from damsonstream.traces.order import Rule
from damsonstream.traces.reader import Reading

FILE = click.Path(path_type=Path, exists=True, dir_okay=False)
OUT = click.Path(path_type=Path, dir_okay=False)


@click.group()
def traces() -> None:
    """Read published cluster traces in CSV, and replay them as GETs.

    Begin with `traces formats` and `traces stats FILE --format NAME`.
    """


def read_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """What says how CSV is read, the same for every command that reads."""
    for option in reversed(
        (
            click.option("--format", "form", help="A shipped format or a KDL file; for CSV."),
            click.option("--seed", default=1, show_default=True, help="Of drawn sizes and of hashes."),
            click.option(
                "--sizes",
                type=click.Choice(["draw", "unknown"]),
                default="draw",
                show_default=True,
                help="What becomes of absent sizes.",
            ),
            click.option(
                "--window", default="10s", show_default=True, help="Rows may be out of order by so much."
            ),
            click.option(
                "--late",
                type=click.Choice(["clamp", "skip"]),
                default="clamp",
                show_default=True,
                help="Rows that are later than that: moved to the window's edge, or skipped.",
            ),
            click.option(
                "--steps",
                type=click.Choice(["rebase", "late"]),
                default="rebase",
                show_default=True,
                help="A clock that was set back: go on from where it was, or take all after it for late.",
            ),
            click.option(
                "--shards",
                type=click.Choice(["auto", "follow", "merge"]),
                default="auto",
                show_default=True,
                help="Several files: one after the other, or merged by time.",
            ),
        )
    ):
        command = option(command)
    return command


class Source:
    """GETs of CSV files or of one in the native form."""

    def __init__(
        self,
        paths: Iterable[Path],
        form: str | None,
        seed: int,
        sizes: str,
        window: str,
        late: str,
        steps: str,
        shards: str,
    ) -> None:
        self.paths = list(paths)
        self.native = self.reading = None
        if form is None:
            if len(self.paths) != 1:
                raise click.UsageError("Several files are CSV: name their --format.")
            try:
                self.native = Native(self.paths[0])
            except Spoilt as fault:
                raise click.UsageError(f"{fault}; for CSV name its --format.") from fault
            return
        try:
            told = formats.load(form)
            width = int(kdl.span(window) * 1e6)
        except kdl.Fault as fault:
            raise click.UsageError(str(fault)) from fault
        except ValueError as fault:
            raise click.UsageError(f"--window {window} is not a time such as 10s.") from fault
        options = Options(seed, sizes == "draw")
        self.reading = Reading(self.paths, told, options, Rule(width, late=late, steps=steps), shards)

    def batches(self) -> Iterator[np.ndarray]:
        if self.reading is not None:
            return self.reading.batches()
        assert self.native is not None
        return self.native.batches()

    def about(self) -> dict[str, Any]:
        if self.reading is not None:
            return {key: value for key, value in self.reading.told().items() if key != "examples"}
        assert self.native is not None
        return self.native.about


def spoilt(command: Callable[..., int]) -> Callable[..., int]:
    """A file whose bytes are not what was written is one sentence, and exit code 2."""
    import functools

    @functools.wraps(command)
    def guarded(*arguments: Any, **named: Any) -> int:
        try:
            return command(*arguments, **named)
        except Spoilt as fault:
            click.echo(f"Error: {fault}", err=True)
            return 2

    return guarded


@traces.command("formats")
@click.argument("name", required=False)
def list_formats(name: str | None) -> int:
    """List the shipped formats, or tell all of one."""
    for one in [name] if name else formats.shipped():
        try:
            told = formats.load(one)
        except kdl.Fault as fault:
            click.echo(f"Error: {fault}", err=True)
            return 2
        click.echo(f"{told.name:16} {told.about}")
        if name:
            click.echo(f"  described in: {told.source}")
            click.echo(
                f"  {'a header' if told.header else 'no header'}, fields parted by {told.delimiter!r}: "
                f"{', '.join(told.columns)}"
            )
            size, client = told.size.column or "not told", told.client or "not told"
            click.echo(f"  time {told.time.column}, key {' + '.join(told.key)}, size {size}, client {client}")
            click.echo(f"  operation {told.operation.column or 'not told: all are reads'}")
    return 0


@traces.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@read_options
@click.option("--line", "lines", multiple=True, type=int, help="Only this line; may be given again.")
@click.option("--limit", default=20, show_default=True, help="So many lines at the most.")
def explain(files: tuple[Path, ...], lines: tuple[int, ...], limit: int, **how: Any) -> int:
    """Say of each row how it was read, and why."""
    source = Source(files, **how)
    if source.reading is None:
        raise click.UsageError("Only CSV has rows to explain: name its --format.")
    reading, shown = source.reading, 0
    enter = reading.tally.enter

    def told(file: str, batch: Any, text: Callable[[int], str]) -> None:
        nonlocal shown
        enter(file, batch, text)
        rows = [
            (int(batch.lines[p]), int(batch.fates[p]), batch.gets[p]) for p in range(min(len(batch), 200_000))
        ]
        rows += [(line, fate, None) for line, fate in batch.extra]
        for line, fate, get in sorted(rows, key=lambda row: row[0]):
            if (lines and line not in lines) or shown >= limit:
                continue
            shown += 1
            verdict = "used" if not fate else f"{'mended' if fate < 128 else 'skipped'}: {name(fate)}"
            click.echo(f"{file}:{line}: {verdict}")
            click.echo(f"    {plain(text(line), 150)}")
            if get is not None and fate < 128:
                size = (
                    "unknown"
                    if get["size"] < 0
                    else f"{get['size']}{' (drawn)' if get['flags'] & DRAWN else ''}"
                )
                moved = " (moved)" if get["flags"] & MOVED else ""
                click.echo(
                    f"    {'write' if get['kind'] == WRITE else 'read'} of {get['object']:016x}, group "
                    f"{get['group']}, client {get['client']:016x}, size {size}, "
                    f"at {get['time'] / 1e6:.6f} s of its clock{moved}"
                )

    object.__setattr__(reading, "tally", Told(reading.tally, told))
    for _ in reading.batches():
        if shown >= limit or (lines and shown >= len(lines)):
            break
    return 0 if shown else 1


class Told:
    """A tally that tells of each batch."""

    def __init__(self, tally: Any, enter: Callable[..., None]) -> None:
        self.tally, self.enter = tally, enter

    def __getattr__(self, name: str) -> Any:
        return getattr(self.tally, name)


@traces.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@read_options
@click.option("--json", "as_json", is_flag=True, help="One object with all of it.")
@click.option("--html", type=OUT, help="A page with tables and charts.")
@spoilt
def stats(files: tuple[Path, ...], as_json: bool, html: Path | None, **how: Any) -> int:
    """Say what a trace is like.

    `rows` is the sum of `used`, of all of `mended` and of all of `skipped`: a row that was mended is a GET
    too, and counts under the first rule that mended it. Exit code 1 if a file could only be read in part.
    """
    from damsonstream.traces.stats import Stats

    source, found = Source(files, **how), Stats()
    for gets in source.batches():
        found.add(gets)
    about = source.about()
    if source.reading is not None:
        about = source.reading.told()
    whole = {**about, "stats": found.told()}
    if html is not None:
        from damsonstream.program.commands.report import put
        from damsonstream.traces.page import page

        put(html, page(whole, found))
        click.echo(f"{html} written", err=True)
    if as_json:
        click.echo(json.dumps(whole, indent=1))
    elif html is None:
        print_stats(whole)
    return 1 if whole.get("faults") else 0


def print_stats(whole: dict[str, Any]) -> None:
    told = whole["stats"]
    if "used" in whole:
        click.echo(f"rows {whole['rows']}: used {whole['used']}, mended {sum(whole['mended'].values())}, "
                   f"skipped {sum(whole['skipped'].values())}")  # fmt: skip
        for kind in ("mended", "skipped"):
            for why, count in whole[kind].items():
                click.echo(f"  {kind} {why}: {count}")
        for example in whole["examples"][:12]:
            where = f"{plain(example['file'])}:{example['line']}"
            click.echo(f"    {example['fate']}: {where}: {plain(example['text'], 70)}")
        for fault in whole["faults"]:
            click.echo(f"  {plain(fault, 200)}")
        click.echo(f"digest {whole['digest']}")
    rate, objects, sizes = told["rate"], told["objects"], told["sizes"]
    click.echo(
        f"GETs {told['gets']} over {told['span_s']:g} s, {rate['mean'] or 0:g} a second, "
        f"{rate['peak']:g} at the most"
    )
    zipf = objects["zipf"]
    click.echo(
        f"objects {objects['distinct']}, {100 * objects['wanted_once']:.1f}% wanted once"
        + (f", Zipf alpha {zipf['alpha']} +- {zipf['error']} (r2 {zipf['r2']})" if zipf else "")
    )
    click.echo(f"clients {told['clients']}, writes {told['writes']}")
    click.echo(
        f"sizes: mean {sizes['mean']:g}, median {sizes['p50']:g}, 99% {sizes['p99']:g}, "
        f"largest {sizes['largest']}; {sizes['drawn']} drawn, {sizes['unknown']} unknown"
    )
    click.echo(f"bursts: {', '.join(f'{k} {v:g}' for k, v in told['bursts'].items())}")
    click.echo("cache (objects)    misses   +-")
    for one in told["miss_ratio"]["by_objects"]:
        click.echo(f"  {one['cache']:15} {one['misses']:8.4f} {one['error']:.4f}")


def made(
    output: Path, about: dict[str, Any], batches: Iterable[np.ndarray], told: Callable[[], dict[str, Any]]
) -> int:
    """Writes a trace whole, or not at all."""
    from damsonstream.traces.digest import Digest

    writing, digest = Writing(output, about), Digest()
    try:
        for gets in batches:
            digest.add(gets)
            writing.add(gets)
        writing.close(**{**told(), "digest": digest.hex()})
    except BaseException:
        writing.drop()
        raise
    click.echo(
        f"{output}: {writing.rows} GETs, {output.stat().st_size / 1e6:.1f} MB, digest {digest.hex()}",
        err=True,
    )
    return 0


@traces.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@read_options
@click.option("-o", "--output", type=OUT, required=True)
@spoilt
def convert(files: tuple[Path, ...], output: Path, **how: Any) -> int:
    """Write the compact form: ordered, indexed by time, with checksums. Other commands read it without
    --format."""
    source = Source(files, **how)
    code = made(output, {}, source.batches(), source.about)
    return 1 if source.about().get("faults") else code


@traces.command("slice")
@click.argument("file", type=FILE)
@read_options
@click.option("--from", "start", default=0.0, help="Seconds after the first GET.")
@click.option("--to", "end", type=float, help="Seconds after the first GET.")
@click.option("--first", "count", type=int, help="So many GETs at the most.")
@click.option("-o", "--output", type=OUT, required=True)
@spoilt
def cut(file: Path, start: float, end: float | None, count: int | None, output: Path, **how: Any) -> int:
    """Take a part of a trace, by time or count. Its times begin anew."""
    source = Source([file], **how)
    low, high = int(start * 1e6), None if end is None else int(end * 1e6)

    def parts() -> Iterator[np.ndarray]:
        left = count
        found = source.native.batches(low, high) if source.native else source.batches()
        for gets in found:
            gets = gets[(gets["time"] >= low) & ((gets["time"] < high) if high is not None else True)]
            if left is not None:
                gets = gets[:left]
                left -= len(gets)
            gets = gets.copy()
            gets["time"] -= low
            yield gets
            if left == 0 or (high is not None and not len(gets) and source.native is None):
                continue

    return made(output, {"made": {"slice": [start, end, count]}}, parts(), source.about)


@traces.command()
@click.argument("file", type=FILE)
@read_options
@click.option("--speed", default=1.0, type=click.FloatRange(0.0001, 10_000), help="So many times as fast.")
@click.option("--rate", type=click.FloatRange(0.0, 1.0), help="Keep this share of the GETs.")
@click.option("--by", type=click.Choice(shape.BY), default="object", show_default=True,
              help="What is kept or left out as a whole.")  # fmt: skip
@click.option("-o", "--output", type=OUT, required=True)
@spoilt
def scale(file: Path, speed: float, rate: float | None, by: str, output: Path, **how: Any) -> int:
    """Make a trace faster or thinner, order and popularity kept.

    Thinned by object, reuse distances shrink with the rate and popularity stays, but one very popular object
    is kept or lost whole; by client, each client's own order stays and rare objects are wanted less; by get,
    rates and popularity stay, reuse in time grows, and more objects look wanted once.
    """
    source = Source([file], **how)
    thinning, scaling = shape.Thinning(1.0 if rate is None else rate, by, how["seed"]), shape.Scaling(speed)
    parts = (scaling.apply(thinning.apply(gets)) for gets in source.batches())
    return made(output, {"made": {"speed": speed, "rate": rate, "by": by}}, parts, source.about)


@traces.command()
@click.argument("file", type=FILE)
@read_options
@click.option("--salt-file", type=FILE, help="Its bytes are the salt; else one is drawn and thrown away.")
@click.option("-o", "--output", type=OUT, required=True)
@spoilt
def anonymize(file: Path, salt_file: Path | None, output: Path, **how: Any) -> int:
    """Give objects, clients and tenants new names that only the salt leads back to."""
    source = Source([file], **how)
    renaming = shape.Renaming(salt_file.read_bytes() if salt_file else secrets.token_bytes(32))
    about = {"made": {"anonymized": True}}
    return made(output, about, (renaming.apply(gets) for gets in source.batches()), lambda: {})


@traces.command()
@click.option("-o", "--output", type=OUT, required=True)
@click.option(
    "--like", type=FILE, help="The JSON of `traces stats`: its rate, objects, popularity and sizes."
)
@click.option("--gets", default=100_000, show_default=True)
@click.option("--rate", type=float, help="GETs a second, the mean.")
@click.option("--objects", type=int)
@click.option("--alpha", type=float, help="Of Zipf's law.")
@click.option(
    "--once", type=click.FloatRange(0, 1), help="Share of the GETs for objects that are wanted this once."
)
@click.option("--writes", type=click.FloatRange(0, 1))
@click.option("--burst", type=click.FloatRange(1, 100), help="Times the mean rate within bursts.")
@click.option("--crowd-at", type=float, help="Seconds after which a crowd opens one new object.")
@click.option("--seed", default=1, show_default=True)
def generate(output: Path, like: Path | None, gets: int, seed: int, **asked: Any) -> int:
    """Make a trace from a character: fitted to another, or told."""
    told: dict[str, Any] = {}
    if like is not None:
        try:
            found = json.loads(like.read_text())["stats"]
            told = {
                "rate": found["rate"]["mean"],
                "objects": max(1, found["objects"]["distinct"]),
                "alpha": found["objects"]["zipf"].get("alpha", 0.9),
                "clients": max(1, found["clients"]),
                "writes": found["writes"] / max(1, found["gets"]),
                "median_size": max(1.0, found["sizes"]["p50"]),
                "spread": float(
                    np.log(max(1.0, found["sizes"]["p99"]) / max(1.0, found["sizes"]["p50"])) / 2.326
                ),
            }
        except (ValueError, KeyError, TypeError) as fault:
            raise click.UsageError(f"{like} is not what `traces stats --json` prints: {fault!r}") from fault
    told |= {key: value for key, value in asked.items() if value is not None}
    character = shape.Character(gets=gets, **told)
    return made(
        output, {"made": {"generated": told, "seed": seed}}, shape.generate(character, seed), lambda: {}
    )


def addresses(told: tuple[str, ...]) -> dict[str, tuple[str, int]]:
    found = {}
    for one in told:
        host, _, port = one.rpartition(":")
        if not host or not port.isdigit():
            raise click.UsageError(f"{one} is not an address of the form host:port.")
        found[one] = (host, int(port))
    return found


@traces.command()
@click.argument("file", type=FILE)
@read_options
@click.option(
    "--gateway", "gateways", multiple=True, help="host:port; may be given again. Clients keep to one."
)
@click.option(
    "--fleet",
    type=click.IntRange(1, 16),
    help="Instead: so many real gateways between stand-ins, on this machine.",
)
@click.option("--speed", default=1.0, show_default=True, help="So many times as fast.")
@click.option("--stop-after", type=float, help="Seconds.")
@click.option("--skip", default=0, help="Begin behind so many GETs.")
@click.option("--patience", default=3.0, show_default=True, help="Seconds that a viewer waits.")
@click.option("--most-open", default=2000, show_default=True)
@click.option(
    "--slow-vault", type=float, help="With --fleet: the vault is slow by so many ms in the middle third."
)
@click.option("--script", type=FILE, help="With --fleet: a demo scenario, whose steps are played too.")
@click.option(
    "--records",
    type=click.Path(path_type=Path, file_okay=False),
    help="With --fleet: where records are left.",
)
@click.option("--checkpoint", type=OUT, help="Goes on from there if it exists, and keeps it.")
@click.option("--json", "json_file", type=OUT, help="Where the result goes; else standard output.")
@spoilt
def replay(
    file: Path, gateways: tuple[str, ...], fleet: int | None, json_file: Path | None, **how: Any
) -> int:
    """Replay a trace against gateways over FastCGI, open loop, at the recorded times.

    Latency counts from the time that the trace has; further tries are part of the first one. SIGUSR2 pauses
    and goes on, SIGINT and SIGTERM stop and keep the checkpoint. Exit code 0 if every GET was returned, 1 if
    not, 2 if it can't be played.
    """
    from damsonstream.replay import play as playing
    from damsonstream.replay.account import Unusable

    if bool(gateways) == bool(fleet):
        raise click.UsageError("Name gateways with --gateway, or a fleet of stand-ins with --fleet.")
    reading = {key: how.pop(key) for key in ("form", "seed", "sizes", "window", "late", "steps", "shards")}
    source = Source([file], **reading)
    if source.native is None:
        raise click.UsageError("A replay reads the compact form: `traces convert` makes it.")
    order = playing.Order(source.native, seed=reading["seed"], **how)
    try:
        if fleet:
            told = playing.with_fleet(order, fleet, Path(tempfile.mkdtemp(prefix="damsonstream-replay-")))
        else:
            told = playing.against(order, addresses(gateways))
    except (Unusable, RuntimeError, OSError, kdl.Fault) as fault:
        click.echo(f"Error: {fault}", err=True)
        return 2
    text = json.dumps(told, indent=1) + "\n"
    if json_file is None:
        click.echo(text, nl=False)
    else:
        json_file.write_text(text)
    lost = sum(
        n for s in told["services"].values() for outcome, n in s["outcomes"].items() if outcome != "returned"
    )
    return 0 if not lost and told["gets"] else 1


@traces.command()
@click.argument("file", type=FILE)
@read_options
@click.option("--slow", default="", help="A node that is slow for a while: p1, p2 or o (the origin).")
@click.option("--slow-from", default=0.0, help="Seconds.")
@click.option("--slow-until", default=0.0, help="Seconds.")
@click.option("--slow-by", default=0.5, show_default=True, help="Seconds.")
@click.option("--cache-bytes", default="64MiB", show_default=True, help="Of each cache.")
@spoilt
def route(
    file: Path, slow: str, slow_from: float, slow_until: float, slow_by: float, cache_bytes: str, **how: Any
) -> int:
    """Send a trace through the router alone, without sockets, at full speed: for quick study."""
    from damsonstream.replay.alone import Alone, Setting
    from damsonstream.replay.run import wishes

    source = Source([file], **how)
    try:
        size = kdl.size(cache_bytes, 1)
    except ValueError as fault:
        raise click.UsageError(f"--cache-bytes {cache_bytes} is not a size such as 64MiB.") from fault
    alone = Alone(
        Setting(
            cache_bytes=size,
            slow=slow,
            slow_from=slow_from,
            slow_until=slow_until,
            slow_by=slow_by,
            seed=how["seed"],
        )
    )
    click.echo(json.dumps(alone.run(wishes(source.batches(), "pages", "unlock")), indent=1))
    return 0
