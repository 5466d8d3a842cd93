"""`damsonstream experiment`: fleets in virtual time, what varies, what is measured, and what it says."""

from __future__ import annotations

import os
import tempfile
from dataclasses import replace
from pathlib import Path

import click
import msgspec

from damsonstream.emulator import baselines, hunt, page, runs, study
from damsonstream.emulator.play import Play, Unfit
from damsonstream.peers.pieces import PIECES
from damsonstream.program import toollogs
from damsonstream.program.commands.playing import played, scripts, tell
from damsonstream.program.config import footprint
from damsonstream.settings import kdl
from damsonstream.together import checks, script, verdict

OUT = click.Path(path_type=Path, dir_okay=False)
HARM = 0.005  # of all GETs: less is no weakness worth a script


def play(experiment: study.Experiment, cell: study.Cell) -> study.Outcome:
    """One cell; called in worker processes."""
    policy = experiment.policy(cell.policy)
    made = Play(experiment.script, footprint, frozenset(policy.without), cell.seed, shops=cell.shops,
                router=baselines.maker(policy.router, cell.seed))  # fmt: skip
    seen = made.run()
    figures = [checks.CHECKS[one.check.name](one.check, seen) for one in experiment.measures]
    return study.Outcome(cell.shops, cell.policy, cell.seed, [round(float(x), 6) for x in figures],
                         len(seen.tries), len(seen.faults), made.digest())  # fmt: skip


@click.group()
def experiment() -> None:
    """Play fleets in virtual time and compare what they decide."""


def written(path: Path | None, data: str | bytes) -> None:
    if path is None:
        return
    try:
        path.write_bytes(data.encode() if isinstance(data, str) else data)
    except OSError as fault:
        raise click.ClickException(f"{path} can't be written: {fault.strerror}") from fault


def table(result: page.Result) -> None:
    for place, measured in enumerate(result.measures):
        click.echo(measured)
        for policy, points in page.means(result, place).items():
            sized = len(points) > 1
            texts = [f"{mean:.4g}" + (f" at {shops} shops" if sized else "") for shops, mean in points]
            click.echo(f"  {policy:24} {', '.join(texts)}")
    for one in result.pairs:
        who = f"{one.policy} against {one.against}, {one.measure}, {one.shops} shops"
        sure = f"{one.low:+.3g} to {one.high:+.3g}, {one.pairs} seeds"
        click.echo(f"{one.verdict:10}  {who}: {one.difference:+.4g} ({sure})")
    faults = sum(one.faults for one in result.outcomes)
    if faults:
        click.echo(f"rules: {faults} faults that the nodes saw")
    click.echo(f"digest {result.digest}")


@experiment.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--workers", default=os.cpu_count() or 1, show_default="the cores at hand",
              type=click.IntRange(1, 64), help="Processes side by side; the digest is the same.")  # fmt: skip
@click.option("--folder", type=click.Path(path_type=Path, file_okay=False),
              help="Where outcomes are kept; a run that was stopped goes on from there.")  # fmt: skip
@click.option("--against", help="The policy that the others are set against; else the first.")
@click.option("--json", "json_file", type=OUT, help="All figures.")
@click.option("--csv", "csv_file", type=OUT, help="A row for each play.")
@click.option("--html", "html_file", type=OUT, help="Charts and pairs.")
def run(
    file: str, workers: int, folder: Path | None, against: str | None, json_file: Path | None,
    csv_file: Path | None, html_file: Path | None,
) -> int:  # fmt: skip
    """Play an experiment. Exit code 0, or 1 if a rule was broken in a play."""
    toollogs.begin("warning")
    try:
        told = study.load(file)
    except kdl.Fault as fault:
        click.echo(fault, err=True)
        return 2
    base = against or told.policies[0].name
    if base not in {policy.name for policy in told.policies}:
        click.echo(f"--against: {base} is none of {', '.join(p.name for p in told.policies)}", err=True)
        return 2
    folder = folder or Path(tempfile.mkdtemp(prefix="damsonstream-experiment-"))
    code = runs.fingerprint()
    click.echo(f"{told.name}: {told.about}; {len(told.cells())} plays, kept in {folder}")

    def progress(done: int, of: int) -> None:
        if done == of or done % max(1, of // 10) == 0:
            click.echo(f"  {done} of {of}", err=True)

    try:
        outcomes = played(lambda: runs.run(told, folder, workers, code, play, progress))
    except (Unfit, runs.Stopped) as fault:
        click.echo(fault, err=True)
        return 2
    result = page.Result(told.name, told.about, code, study.digest(outcomes),
                         [one.title for one in told.measures], outcomes,
                         study.compare(told, outcomes, base))  # fmt: skip
    table(result)
    written(json_file, msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    written(csv_file, page.csv_text(result) if csv_file else "")
    written(html_file, page.html(result) if html_file else "")
    return 1 if any(one.faults for one in outcomes) else 0


@experiment.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path, dir_okay=False))
@click.option("--html", "html_file", type=OUT, help="Charts and pairs.")
def show(file: Path, html_file: Path | None) -> int:
    """Print the result that `run --json` left."""
    try:
        result = msgspec.json.decode(file.read_bytes(), type=page.Result)
    except (OSError, msgspec.DecodeError) as fault:
        click.echo(f"{file} is no experiment's result: {fault}", err=True)
        return 2
    table(result)
    written(html_file, page.html(result) if html_file else "")
    return 0


@experiment.command()
@click.argument("first", type=click.Path(exists=True, path_type=Path, dir_okay=False))
@click.argument("second", type=click.Path(exists=True, path_type=Path, dir_okay=False))
def compare(first: Path, second: Path) -> int:
    """Set two results of one experiment against each other, as of two versions of the code: cell by cell."""
    found = []
    for path in (first, second):
        try:
            found.append(msgspec.json.decode(path.read_bytes(), type=page.Result))
        except (OSError, msgspec.DecodeError) as fault:
            click.echo(f"{path} is no experiment's result: {fault}", err=True)
            return 2
    before, after = found
    if before.measures != after.measures:
        click.echo("they measure different things", err=True)
        return 2
    cells = {(one.shops, one.policy, one.seed): one for one in before.outcomes}
    for place, title in enumerate(before.measures):
        for policy in dict.fromkeys(one.policy for one in after.outcomes):
            mine = [(one, cells.get((one.shops, policy, one.seed)))
                    for one in after.outcomes if one.policy == policy]  # fmt: skip
            both = [(one.figures[place], was.figures[place]) for one, was in mine if was is not None]
            if both:
                measured = study.Measure(title, checks.Check("", "", 0, 0), "more")
                pair = study.pair(measured, 0, policy, "before", both)
                surely = "differs" if pair.verdict != "can't tell" else "can't tell"
                click.echo(f"{surely:10}  {policy}, {title}: {pair.base:g} to {pair.mean:g} "
                           f"({pair.low:+.3g} to {pair.high:+.3g}, {pair.pairs} plays)")  # fmt: skip
    click.echo("the same to the last GET" if before.digest == after.digest else "digests differ")
    return 0


@experiment.command("list")
@click.argument("folder", default="examples/experiments", type=click.Path(path_type=Path, file_okay=False))
def listed(folder: Path) -> int:
    """Name the experiments of a folder, and what they can vary."""
    for told in scripts(folder, study.load):
        click.echo(f"{told.name:18} {len(told.cells())} plays: {told.about}")
    click.echo(f"routers: {', '.join(baselines.NAMES)}")
    click.echo(f"pieces: {', '.join(PIECES)}")
    return 0


@experiment.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--without", multiple=True, type=click.Choice(PIECES), help="Switch a piece off.")
@click.option("--seed", default=1, show_default=True, help="Of all chance in the play.")
@click.option("--shops", default=1, show_default=True, type=click.IntRange(1, study.MOST_SHOPS))
def emulate(file: str, without: tuple[str, ...], seed: int, shops: int) -> int:
    """Play a script of `together` in virtual time. Exit code 0 if every bound was kept, 1 if not."""
    toollogs.begin("warning")
    try:
        told = script.load(file)
        made = Play(told, footprint, frozenset(without), seed, shops=shops)
    except (kdl.Fault, Unfit) as fault:
        click.echo(fault, err=True)
        return 2
    seen = made.run()
    found = verdict.result(told, frozenset(without), seen, 0.0)
    tell(found, seen)
    click.echo(f"{found.verdict}, digest {made.digest()}")
    return 0 if found.verdict == "kept" else 1


@experiment.command("hunt")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--budget", default=100, show_default=True, type=click.IntRange(2, 5000),
              help="Scripts that are judged, by two plays each.")  # fmt: skip
@click.option("--seed", default=1, show_default=True, help="Of what is drawn, and of the plays.")
@click.option("--lasts", default=16.0, show_default=True, type=click.FloatRange(8, 300))
@click.option("--out", type=OUT, help="Where the script goes.")
def hunted(file: str, budget: int, seed: int, lasts: float, out: Path | None) -> int:
    """Look for faults under which deciding in common returns less than alone. Exit code 1 if found."""
    toollogs.begin("warning")
    try:
        base = replace(script.load(file), lasts=lasts, about="found by a hunt")
    except kdl.Fault as fault:
        click.echo(fault, err=True)
        return 2

    def returned(one: script.Script, without: frozenset[str]) -> float:
        seen = Play(one, footprint, without, seed).run()
        return checks.CHECKS["returned"](checks.Check("returned", "", 0.0, one.lasts), seen)

    alone = frozenset(PIECES) - {"zones"}
    found = played(
        lambda: hunt.hunt(base, lambda one: returned(one, frozenset()) - returned(one, alone), budget, seed)
    )
    text = hunt.text(found.script)
    click.echo(f"{found.drawn} scripts judged; returned in common less alone: {found.figure:+.4f} "
               f"(before it was made shorter {found.first:+.4f})")  # fmt: skip
    click.echo(text, nl=False)
    written(out, text)
    return 1 if found.figure < -HARM else 0
