"""`damsonstream traces`: reads published traces, analyses, transforms, generates and replays them."""

from __future__ import annotations

import json
import secrets
import tempfile
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import click
import numpy as np

from damsonstream.incident.describe import plain
from damsonstream.settings import kdl
from damsonstream.traces import format as formats
from damsonstream.traces import transforms
from damsonstream.traces.gets import DRAWN, MOVED, WRITE, Options, fate_name
from damsonstream.traces.native import CorruptTrace, NativeTrace, TraceWriter
from damsonstream.traces.reader import TraceReader
from damsonstream.traces.reorder import TimeRule

FILE = click.Path(path_type=Path, exists=True, dir_okay=False)
OUT = click.Path(path_type=Path, dir_okay=False)


@click.group()
def traces() -> None:
    """Read published cluster traces in CSV, and replay them as GETs.

    Start with `traces formats` and `traces stats FILE --format NAME`.
    """


def read_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options that control how CSV is read; all commands that read traces share them."""
    for option in reversed(
        (
            click.option("--format", "form", help="For CSV: a shipped format or a KDL file."),
            click.option("--seed", default=1, show_default=True, help="Seed of random sizes and of hashes."),
            click.option(
                "--sizes",
                type=click.Choice(["draw", "unknown"]),
                default="draw",
                show_default=True,
                help="Missing sizes: draw them at random, or leave them unknown.",
            ),
            click.option(
                "--window", default="10s", show_default=True, help="How far rows may be out of order."
            ),
            click.option(
                "--late",
                type=click.Choice(["clamp", "skip"]),
                default="clamp",
                show_default=True,
                help="Rows outside the window: move them to its edge, or skip them.",
            ),
            click.option(
                "--steps",
                type=click.Choice(["rebase", "late"]),
                default="rebase",
                show_default=True,
                help="When the clock was set back: continue from the time before, or treat rows as late.",
            ),
            click.option(
                "--shards",
                type=click.Choice(["auto", "follow", "merge"]),
                default="auto",
                show_default=True,
                help="Several files: read one after the other, or merge them by time.",
            ),
        )
    ):
        command = option(command)
    return command


class Source:
    """The GETs of CSV files, or of one file in the compact (native) form."""

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
                raise click.UsageError("Several files must be CSV: give their --format.")
            try:
                self.native = NativeTrace(self.paths[0])
            except CorruptTrace as fault:
                raise click.UsageError(f"{fault}; for CSV give its --format.") from fault
            return
        try:
            loaded = formats.load(form)
            width = int(kdl.parse_duration(window) * 1e6)
        except kdl.KdlError as fault:
            raise click.UsageError(str(fault)) from fault
        except ValueError as fault:
            raise click.UsageError(f"--window {window} is not a duration such as 10s.") from fault
        options = Options(seed, sizes == "draw")
        self.reading = TraceReader(
            self.paths, loaded, options, TimeRule(width, late=late, steps=steps), shards
        )

    def batches(self) -> Iterator[np.ndarray]:
        """Yields the GETs in batches."""
        if self.reading is not None:
            return self.reading.batches()
        assert self.native is not None
        return self.native.batches()

    def about(self) -> dict[str, Any]:
        """Returns the description that is stored with a trace."""
        if self.reading is not None:
            return {key: value for key, value in self.reading.summary().items() if key != "examples"}
        assert self.native is not None
        return self.native.about


def handle_corrupt_file(command: Callable[..., int]) -> Callable[..., int]:
    """Makes a command report a corrupt file in one sentence, with exit code 2."""
    import functools

    @functools.wraps(command)
    def guarded(*arguments: Any, **named: Any) -> int:
        try:
            return command(*arguments, **named)
        except CorruptTrace as fault:
            click.echo(f"Error: {fault}", err=True)
            return 2

    return guarded


@traces.command("formats")
@click.argument("name", required=False)
def list_formats(name: str | None) -> int:
    """List the shipped formats, or show all details of one."""
    for one in [name] if name else formats.shipped():
        try:
            loaded = formats.load(one)
        except kdl.KdlError as fault:
            click.echo(f"Error: {fault}", err=True)
            return 2
        click.echo(f"{loaded.name:16} {loaded.about}")
        if name:
            click.echo(f"  described in: {loaded.source}")
            click.echo(
                f"  {'a header' if loaded.header else 'no header'}, fields separated by "
                f"{loaded.delimiter!r}: {', '.join(loaded.columns)}"
            )
            size, client = loaded.size.column or "none", loaded.client or "none"
            click.echo(
                f"  time {loaded.time.column}, key {' + '.join(loaded.key)}, size {size}, client {client}"
            )
            click.echo(f"  operation {loaded.operation.column or 'none: all are reads'}")
    return 0


@traces.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@read_options
@click.option("--line", "lines", multiple=True, type=int, help="Only this line; may be given several times.")
@click.option("--limit", default=20, show_default=True, help="Maximum number of lines.")
def explain(files: tuple[Path, ...], lines: tuple[int, ...], limit: int, **how: Any) -> int:
    """Explain for each row how it was read, and why."""
    source = Source(files, **how)
    if source.reading is None:
        raise click.UsageError("Only rows of CSV can be explained: give its --format.")
    reading, shown = source.reading, 0
    count_batch = reading.tally.enter

    def print_rows(file: str, batch: Any, text: Callable[[int], str]) -> None:
        nonlocal shown
        count_batch(file, batch, text)
        rows = [
            (int(batch.lines[p]), int(batch.fates[p]), batch.gets[p]) for p in range(min(len(batch), 200_000))
        ]
        rows += [(line, fate, None) for line, fate in batch.extra]
        for line, fate, get in sorted(rows, key=lambda row: row[0]):
            if (lines and line not in lines) or shown >= limit:
                continue
            shown += 1
            verdict = "used" if not fate else f"{'mended' if fate < 128 else 'skipped'}: {fate_name(fate)}"
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
                    f"at {get['time'] / 1e6:.6f} s of the trace's clock{moved}"
                )

    object.__setattr__(reading, "tally", ObservedTally(reading.tally, print_rows))
    for _ in reading.batches():
        if shown >= limit or (lines and shown >= len(lines)):
            break
    return 0 if shown else 1


class ObservedTally:
    """A tally that passes each batch to a callback; everything else goes to the wrapped tally."""

    def __init__(self, tally: Any, enter: Callable[..., None]) -> None:
        self.tally, self.enter = tally, enter

    def __getattr__(self, name: str) -> Any:
        return getattr(self.tally, name)


@traces.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@read_options
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--html", type=OUT, help="File for a page with tables and charts.")
@handle_corrupt_file
def stats(files: tuple[Path, ...], as_json: bool, html: Path | None, **how: Any) -> int:
    """Show the statistics of a trace.

    `rows` is the sum of `used`, of all of `mended` and of all of `skipped`: a repaired (`mended`) row is also
    a GET, and is counted under the first rule that repaired it. Exit code 1 if a file was only partly
    readable.
    """
    from damsonstream.traces.stats import TraceStats

    source, statistics = Source(files, **how), TraceStats()
    for gets in source.batches():
        statistics.add(gets)
    about = source.about()
    if source.reading is not None:
        about = source.reading.summary()
    whole = {**about, "stats": statistics.summary()}
    if html is not None:
        from damsonstream.program.commands.report import write_atomically
        from damsonstream.traces.page import render_page

        write_atomically(html, render_page(whole, statistics))
        click.echo(f"{html} written", err=True)
    if as_json:
        click.echo(json.dumps(whole, indent=1))
    elif html is None:
        print_stats(whole)
    return 1 if whole.get("faults") else 0


def print_stats(whole: dict[str, Any]) -> None:
    """Prints the statistics as text."""
    stats = whole["stats"]
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
    rate, objects, sizes = stats["rate"], stats["objects"], stats["sizes"]
    click.echo(
        f"GETs {stats['gets']} over {stats['span_s']:g} s, {rate['mean'] or 0:g} per second, "
        f"peak {rate['peak']:g}"
    )
    zipf = objects["zipf"]
    click.echo(
        f"objects {objects['distinct']}, {100 * objects['wanted_once']:.1f}% requested once"
        + (f", Zipf alpha {zipf['alpha']} +- {zipf['error']} (r2 {zipf['r2']})" if zipf else "")
    )
    click.echo(f"clients {stats['clients']}, writes {stats['writes']}")
    click.echo(
        f"sizes: mean {sizes['mean']:g}, median {sizes['p50']:g}, p99 {sizes['p99']:g}, "
        f"largest {sizes['largest']}; {sizes['drawn']} drawn, {sizes['unknown']} unknown"
    )
    click.echo(f"bursts: {', '.join(f'{k} {v:g}' for k, v in stats['bursts'].items())}")
    click.echo("cache (objects)    misses   +-")
    for one in stats["miss_ratio"]["by_objects"]:
        click.echo(f"  {one['cache']:15} {one['misses']:8.4f} {one['error']:.4f}")


def write_trace(
    output: Path, about: dict[str, Any], batches: Iterable[np.ndarray], describe: Callable[[], dict[str, Any]]
) -> int:
    """Writes a trace completely or not at all; `describe` is called at the end for more metadata."""
    from damsonstream.traces.digest import Digest

    writing, digest = TraceWriter(output, about), Digest()
    try:
        for gets in batches:
            digest.add(gets)
            writing.add(gets)
        writing.close(**{**describe(), "digest": digest.hex()})
    except BaseException:
        writing.discard()
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
@handle_corrupt_file
def convert(files: tuple[Path, ...], output: Path, **how: Any) -> int:
    """Write the compact form: ordered, indexed by time, with checksums. Other commands read it without
    --format."""
    source = Source(files, **how)
    code = write_trace(output, {}, source.batches(), source.about)
    return 1 if source.about().get("faults") else code


@traces.command("slice")
@click.argument("file", type=FILE)
@read_options
@click.option("--from", "start", default=0.0, help="Seconds after the first GET.")
@click.option("--to", "end", type=float, help="Seconds after the first GET.")
@click.option("--first", "count", type=int, help="Maximum number of GETs.")
@click.option("-o", "--output", type=OUT, required=True)
@handle_corrupt_file
def cut(file: Path, start: float, end: float | None, count: int | None, output: Path, **how: Any) -> int:
    """Extract a part of a trace, by time or count. Its times start again at 0."""
    source = Source([file], **how)
    low, high = int(start * 1e6), None if end is None else int(end * 1e6)

    def parts() -> Iterator[np.ndarray]:
        remaining = count
        batches = source.native.batches(low, high) if source.native else source.batches()
        for gets in batches:
            gets = gets[(gets["time"] >= low) & ((gets["time"] < high) if high is not None else True)]
            if remaining is not None:
                gets = gets[:remaining]
                remaining -= len(gets)
            gets = gets.copy()
            gets["time"] -= low
            yield gets
            if remaining == 0 or (high is not None and not len(gets) and source.native is None):
                continue

    return write_trace(output, {"made": {"slice": [start, end, count]}}, parts(), source.about)


@traces.command()
@click.argument("file", type=FILE)
@read_options
@click.option("--speed", default=1.0, type=click.FloatRange(0.0001, 10_000), help="Speed-up factor.")
@click.option("--rate", type=click.FloatRange(0.0, 1.0), help="Share of the GETs to keep.")
@click.option("--by", type=click.Choice(transforms.BY), default="object", show_default=True,
              help="What is kept or dropped as a unit.")  # fmt: skip
@click.option("-o", "--output", type=OUT, required=True)
@handle_corrupt_file
def scale(file: Path, speed: float, rate: float | None, by: str, output: Path, **how: Any) -> int:
    """Speed up or sample a trace, keeping order and popularity.

    Sampling by object shrinks reuse distances with the rate and keeps popularity, but a very popular object
    is kept or dropped entirely. Sampling by client keeps each client's own order and makes rare objects
    rarer. Sampling by get keeps rates and popularity, but reuse times grow and more objects appear only
    once.
    """
    source = Source([file], **how)
    thinning, scaling = (
        transforms.Thinning(1.0 if rate is None else rate, by, how["seed"]),
        transforms.Scaling(speed),
    )
    parts = (scaling.apply(thinning.apply(gets)) for gets in source.batches())
    return write_trace(output, {"made": {"speed": speed, "rate": rate, "by": by}}, parts, source.about)


@traces.command()
@click.argument("file", type=FILE)
@read_options
@click.option(
    "--salt-file", type=FILE, help="File whose bytes are the salt; default: a random salt that is not stored."
)
@click.option("-o", "--output", type=OUT, required=True)
@handle_corrupt_file
def anonymize(file: Path, salt_file: Path | None, output: Path, **how: Any) -> int:
    """Replace the names of objects, clients and tenants by new ones that can't be linked without the salt."""
    source = Source([file], **how)
    renaming = transforms.Anonymizer(salt_file.read_bytes() if salt_file else secrets.token_bytes(32))
    about = {"made": {"anonymized": True}}
    return write_trace(output, about, (renaming.apply(gets) for gets in source.batches()), lambda: {})


@traces.command()
@click.option("-o", "--output", type=OUT, required=True)
@click.option(
    "--like", type=FILE, help="JSON of `traces stats` whose rate, objects, popularity and sizes to imitate."
)
@click.option("--gets", default=100_000, show_default=True)
@click.option("--rate", type=float, help="Mean GETs per second.")
@click.option("--objects", type=int)
@click.option("--alpha", type=float, help="Exponent of Zipf's law.")
@click.option(
    "--once", type=click.FloatRange(0, 1), help="Share of the GETs for objects that are requested only once."
)
@click.option("--writes", type=click.FloatRange(0, 1))
@click.option(
    "--burst", type=click.FloatRange(1, 100), help="Rate within bursts, as a multiple of the mean rate."
)
@click.option("--crowd-at", type=float, help="Seconds after which a flash crowd requests one new object.")
@click.option("--seed", default=1, show_default=True)
def generate(output: Path, like: Path | None, gets: int, seed: int, **asked: Any) -> int:
    """Generate a trace with given characteristics, or with those of another trace."""
    parameters: dict[str, Any] = {}
    if like is not None:
        try:
            stats = json.loads(like.read_text())["stats"]
            parameters = {
                "rate": stats["rate"]["mean"],
                "objects": max(1, stats["objects"]["distinct"]),
                "alpha": stats["objects"]["zipf"].get("alpha", 0.9),
                "clients": max(1, stats["clients"]),
                "writes": stats["writes"] / max(1, stats["gets"]),
                "median_size": max(1.0, stats["sizes"]["p50"]),
                "spread": float(
                    np.log(max(1.0, stats["sizes"]["p99"]) / max(1.0, stats["sizes"]["p50"])) / 2.326
                ),
            }
        except (ValueError, KeyError, TypeError) as fault:
            raise click.UsageError(f"{like} is not what `traces stats --json` prints: {fault!r}") from fault
    parameters |= {key: value for key, value in asked.items() if value is not None}
    character = transforms.TraceProfile(gets=gets, **parameters)
    return write_trace(
        output,
        {"made": {"generated": parameters, "seed": seed}},
        transforms.generate(character, seed),
        lambda: {},
    )


def addresses(given: tuple[str, ...]) -> dict[str, tuple[str, int]]:
    """Parses addresses of the form host:port; raises UsageError for others."""
    parsed = {}
    for one in given:
        host, _, port = one.rpartition(":")
        if not host or not port.isdigit():
            raise click.UsageError(f"{one} is not an address of the form host:port.")
        parsed[one] = (host, int(port))
    return parsed


@traces.command()
@click.argument("file", type=FILE)
@read_options
@click.option(
    "--gateway",
    "gateways",
    multiple=True,
    help="host:port; may be given several times. Each client always uses the same one.",
)
@click.option(
    "--fleet",
    type=click.IntRange(1, 16),
    help="Instead: number of real gateways to start on this machine, with stand-ins around them.",
)
@click.option("--speed", default=1.0, show_default=True, help="Speed-up factor.")
@click.option("--stop-after", type=float, help="Stop after this many seconds.")
@click.option("--skip", default=0, help="Number of GETs to skip at the start.")
@click.option("--patience", default=3.0, show_default=True, help="Seconds that a viewer waits for an answer.")
@click.option("--most-open", default=2000, show_default=True)
@click.option(
    "--slow-vault",
    type=float,
    help="With --fleet: delay of the origin, in ms, in the middle third of the replay.",
)
@click.option("--script", type=FILE, help="With --fleet: a demo scenario whose steps are executed too.")
@click.option(
    "--records",
    type=click.Path(path_type=Path, file_okay=False),
    help="With --fleet: folder for the records.",
)
@click.option("--checkpoint", type=OUT, help="Checkpoint file: resume from it if it exists, and update it.")
@click.option("--json", "json_file", type=OUT, help="File for the result; default: standard output.")
@handle_corrupt_file
def replay(
    file: Path, gateways: tuple[str, ...], fleet: int | None, json_file: Path | None, **how: Any
) -> int:
    """Replay a trace against gateways over FastCGI, open loop, at the recorded times.

    Latency is measured from the recorded time; retries belong to the GET's first try. SIGUSR2 pauses and
    resumes, SIGINT and SIGTERM stop and write the checkpoint. Exit code 0 if every GET was returned, 1 if
    not, 2 if the trace can't be replayed.
    """
    from damsonstream.replay import session as playing
    from damsonstream.replay.account import UnusableCheckpoint

    if bool(gateways) == bool(fleet):
        raise click.UsageError("Give either gateways with --gateway, or --fleet.")
    reading = {key: how.pop(key) for key in ("form", "seed", "sizes", "window", "late", "steps", "shards")}
    source = Source([file], **reading)
    if source.native is None:
        raise click.UsageError("A replay needs the compact form, which `traces convert` writes.")
    order = playing.ReplayOptions(source.native, seed=reading["seed"], **how)
    try:
        if fleet:
            result = playing.run_on_fleet(order, fleet, Path(tempfile.mkdtemp(prefix="damsonstream-replay-")))
        else:
            result = playing.run_on_gateways(order, addresses(gateways))
    except (UnusableCheckpoint, RuntimeError, OSError, kdl.KdlError) as fault:
        click.echo(f"Error: {fault}", err=True)
        return 2
    text = json.dumps(result, indent=1) + "\n"
    if json_file is None:
        click.echo(text, nl=False)
    else:
        json_file.write_text(text)
    lost = sum(
        n
        for s in result["services"].values()
        for outcome, n in s["outcomes"].items()
        if outcome != "returned"
    )
    return 0 if not lost and result["gets"] else 1


@traces.command()
@click.argument("file", type=FILE)
@read_options
@click.option("--slow", default="", help="Node to slow down: p1, p2 or o (the origin).")
@click.option("--slow-from", default=0.0, help="Start of the slowdown, in seconds.")
@click.option("--slow-until", default=0.0, help="End of the slowdown, in seconds.")
@click.option("--slow-by", default=0.5, show_default=True, help="Added delay, in seconds.")
@click.option("--cache-bytes", default="64MiB", show_default=True, help="Size of each cache.")
@handle_corrupt_file
def route(
    file: Path, slow: str, slow_from: float, slow_until: float, slow_by: float, cache_bytes: str, **how: Any
) -> int:
    """Run a trace through the router only, without sockets, at full speed, for quick studies."""
    from damsonstream.replay.replayer import trace_gets
    from damsonstream.replay.router_only import RouterReplay, RouterReplaySetting

    source = Source([file], **how)
    try:
        size = kdl.parse_size(cache_bytes, 1)
    except ValueError as fault:
        raise click.UsageError(f"--cache-bytes {cache_bytes} is not a size such as 64MiB.") from fault
    router_run = RouterReplay(
        RouterReplaySetting(
            cache_bytes=size,
            slow=slow,
            slow_from=slow_from,
            slow_until=slow_until,
            slow_by=slow_by,
            seed=how["seed"],
        )
    )
    click.echo(json.dumps(router_run.run(trace_gets(source.batches(), "pages", "unlock")), indent=1))
    return 0
