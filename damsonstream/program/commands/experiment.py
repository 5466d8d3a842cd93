"""`damsonstream experiment`: simulates fleets in virtual time and compares their policies."""

from __future__ import annotations

import os
import tempfile
from dataclasses import replace
from pathlib import Path

import click
import msgspec

from damsonstream.emulator import baselines, hunt, page, runs, study
from damsonstream.emulator.script_run import Emulation, UnsupportedScript
from damsonstream.peers.features import FEATURES
from damsonstream.program import toollogs
from damsonstream.program.commands.playing import print_result, run_or_exit, scripts
from damsonstream.program.config import parse_footprint
from damsonstream.settings import kdl
from damsonstream.together import checks, script, verdict

OUT = click.Path(path_type=Path, dir_okay=False)
MIN_LOSS_SHARE = 0.005  # of all GETs; a smaller loss is not reported as a weakness


def run_cell(experiment: study.Experiment, cell: study.Cell) -> study.Outcome:
    """Simulates one cell of an experiment; called in worker processes."""
    policy = experiment.policy(cell.policy)
    simulation = Emulation(experiment.script, parse_footprint, frozenset(policy.without), cell.seed,
                           shops=cell.shops,
                           make_router=baselines.policy_factory(policy.router, cell.seed))  # fmt: skip
    observed = simulation.run()
    figures = [checks.CHECKS[one.check.name](one.check, observed) for one in experiment.measures]
    return study.Outcome(cell.shops, cell.policy, cell.seed, [round(float(x), 6) for x in figures],
                         len(observed.gets), len(observed.violations), simulation.digest())  # fmt: skip


@click.group()
def experiment() -> None:
    """Simulate fleets in virtual time and compare their policies."""


def write_file(path: Path | None, data: str | bytes) -> None:
    """Writes a file, if a path is given; raises ClickException if it can't be written."""
    if path is None:
        return
    try:
        path.write_bytes(data.encode() if isinstance(data, str) else data)
    except OSError as fault:
        raise click.ClickException(f"{path} can't be written: {fault.strerror}") from fault


def print_table(result: page.Result) -> None:
    """Prints the mean of each measure by policy, the comparisons and the digest."""
    for index, measure in enumerate(result.measures):
        click.echo(measure)
        for policy, points in page.means(result, index).items():
            several_sizes = len(points) > 1
            texts = [
                f"{mean:.4g}" + (f" at {shops} shops" if several_sizes else "") for shops, mean in points
            ]
            click.echo(f"  {policy:24} {', '.join(texts)}")
    for one in result.pairs:
        pair = f"{one.policy} against {one.against}, {one.measure}, {one.shops} shops"
        interval = f"{one.low:+.3g} to {one.high:+.3g}, {one.pairs} seeds"
        click.echo(f"{one.verdict:10}  {pair}: {one.difference:+.4g} ({interval})")
    faults = sum(one.faults for one in result.outcomes)
    if faults:
        click.echo(f"rules: {faults} violations that the nodes observed")
    click.echo(f"digest {result.digest}")


@experiment.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--workers", default=os.cpu_count() or 1, show_default="the number of cores",
              type=click.IntRange(1, 64), help="Worker processes; no effect on the digest.")  # fmt: skip
@click.option("--folder", type=click.Path(path_type=Path, file_okay=False),
              help="Folder for the outcomes; an interrupted run resumes from it.")  # fmt: skip
@click.option("--against", help="Baseline policy that the others are compared with; default: the first.")
@click.option("--json", "json_file", type=OUT, help="File for all results, as JSON.")
@click.option("--csv", "csv_file", type=OUT, help="File with one row per simulation.")
@click.option("--html", "html_file", type=OUT, help="File for charts and comparisons.")
def run(
    file: str, workers: int, folder: Path | None, against: str | None, json_file: Path | None,
    csv_file: Path | None, html_file: Path | None,
) -> int:  # fmt: skip
    """Run an experiment. Exit code 0, or 1 if a rule was broken in a simulation."""
    toollogs.begin("warning")
    try:
        loaded = study.load(file)
    except kdl.KdlError as fault:
        click.echo(fault, err=True)
        return 2
    base = against or loaded.policies[0].name
    if base not in {policy.name for policy in loaded.policies}:
        click.echo(f"--against: {base} is not one of {', '.join(p.name for p in loaded.policies)}", err=True)
        return 2
    folder = folder or Path(tempfile.mkdtemp(prefix="damsonstream-experiment-"))
    code = runs.fingerprint()
    click.echo(f"{loaded.name}: {loaded.about}; {len(loaded.cells())} simulations, stored in {folder}")

    def progress(done: int, total: int) -> None:
        if done == total or done % max(1, total // 10) == 0:
            click.echo(f"  {done} of {total}", err=True)

    try:
        outcomes = run_or_exit(lambda: runs.run(loaded, folder, workers, code, run_cell, progress))
    except (UnsupportedScript, runs.WorkersDied) as fault:
        click.echo(fault, err=True)
        return 2
    result = page.Result(loaded.name, loaded.about, code, study.digest(outcomes),
                         [one.title for one in loaded.measures], outcomes,
                         study.compare(loaded, outcomes, base))  # fmt: skip
    print_table(result)
    write_file(json_file, msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    write_file(csv_file, page.csv_text(result) if csv_file else "")
    write_file(html_file, page.html(result) if html_file else "")
    return 1 if any(one.faults for one in outcomes) else 0


@experiment.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path, dir_okay=False))
@click.option("--html", "html_file", type=OUT, help="File for charts and comparisons.")
def show(file: Path, html_file: Path | None) -> int:
    """Print a result that `run --json` wrote."""
    try:
        result = msgspec.json.decode(file.read_bytes(), type=page.Result)
    except (OSError, msgspec.DecodeError) as fault:
        click.echo(f"{file} is not the result of an experiment: {fault}", err=True)
        return 2
    print_table(result)
    write_file(html_file, page.html(result) if html_file else "")
    return 0


@experiment.command()
@click.argument("first", type=click.Path(exists=True, path_type=Path, dir_okay=False))
@click.argument("second", type=click.Path(exists=True, path_type=Path, dir_okay=False))
def compare(first: Path, second: Path) -> int:
    """Compare two results of one experiment cell by cell, for instance of two versions of the code."""
    results = []
    for path in (first, second):
        try:
            results.append(msgspec.json.decode(path.read_bytes(), type=page.Result))
        except (OSError, msgspec.DecodeError) as fault:
            click.echo(f"{path} is not the result of an experiment: {fault}", err=True)
            return 2
    before, after = results
    if before.measures != after.measures:
        click.echo("the two results have different measures", err=True)
        return 2
    cells = {(one.shops, one.policy, one.seed): one for one in before.outcomes}
    for index, title in enumerate(before.measures):
        for policy in dict.fromkeys(one.policy for one in after.outcomes):
            matched = [(one, cells.get((one.shops, policy, one.seed)))
                       for one in after.outcomes if one.policy == policy]  # fmt: skip
            both = [(one.figures[index], old.figures[index]) for one, old in matched if old is not None]
            if both:
                measured = study.Measure(title, checks.Check("", "", 0, 0), "more")
                pair = study.compare_pairs(measured, 0, policy, "before", both)
                verdict_text = "differs" if pair.verdict != "can't tell" else "can't tell"
                click.echo(f"{verdict_text:10}  {policy}, {title}: {pair.base:g} to {pair.mean:g} "
                           f"({pair.low:+.3g} to {pair.high:+.3g}, {pair.pairs} pairs)")  # fmt: skip
    click.echo("identical, GET by GET" if before.digest == after.digest else "digests differ")
    return 0


@experiment.command("list")
@click.argument("folder", default="examples/experiments", type=click.Path(path_type=Path, file_okay=False))
def listed(folder: Path) -> int:
    """List the experiments of a folder, and what they can vary."""
    for loaded in scripts(folder, study.load):
        click.echo(f"{loaded.name:18} {len(loaded.cells())} simulations: {loaded.about}")
    click.echo(f"routers: {', '.join(baselines.ROUTERS)}")
    click.echo(f"features: {', '.join(FEATURES)}")
    return 0


@experiment.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--without", multiple=True, type=click.Choice(FEATURES), help="Switch off a feature of the peer exchange."
)
@click.option("--seed", default=1, show_default=True, help="Seed of the random number generators.")
@click.option("--shops", default=1, show_default=True, type=click.IntRange(1, study.MAX_SHOPS))
def emulate(file: str, without: tuple[str, ...], seed: int, shops: int) -> int:
    """Run a script of `together` in virtual time. Exit code 0 if every bound was kept, 1 if not."""
    toollogs.begin("warning")
    try:
        loaded = script.load(file)
        simulation = Emulation(loaded, parse_footprint, frozenset(without), seed, shops=shops)
    except (kdl.KdlError, UnsupportedScript) as fault:
        click.echo(fault, err=True)
        return 2
    observed = simulation.run()
    result = verdict.evaluate(loaded, frozenset(without), observed, 0.0)
    print_result(result, observed)
    click.echo(f"{result.verdict}, digest {simulation.digest()}")
    return 0 if result.verdict == "kept" else 1


@experiment.command("hunt")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--budget", default=100, show_default=True, type=click.IntRange(2, 5000),
              help="Number of scripts to evaluate, by two simulations each.")  # fmt: skip
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the generated scripts and of the simulations."
)
@click.option("--lasts", default=16.0, show_default=True, type=click.FloatRange(8, 300))
@click.option("--out", type=OUT, help="File for the script that was found.")
def hunted(file: str, budget: int, seed: int, lasts: float, out: Path | None) -> int:
    """Search for faults under which gateways return fewer GETs with the peer exchange than without.

    Exit code 1 if such faults are found.
    """
    toollogs.begin("warning")
    try:
        base = replace(script.load(file), lasts=lasts, about="found by a hunt")
    except kdl.KdlError as fault:
        click.echo(fault, err=True)
        return 2

    def returned(one: script.Script, without: frozenset[str]) -> float:
        observed = Emulation(one, parse_footprint, without, seed).run()
        return checks.CHECKS["returned"](checks.Check("returned", "", 0.0, one.lasts), observed)

    alone = frozenset(FEATURES) - {"zones"}
    found = run_or_exit(
        lambda: hunt.hunt(base, lambda one: returned(one, frozenset()) - returned(one, alone), budget, seed)
    )
    text = hunt.to_kdl(found.script)
    click.echo(f"{found.evaluated} scripts evaluated; share returned with the peer exchange minus share "
               f"without: {found.score:+.4f} "
               f"(before the script was shortened: {found.first_score:+.4f})")  # fmt: skip
    click.echo(text, nl=False)
    write_file(out, text)
    return 1 if found.score < -MIN_LOSS_SHARE else 0
