"""`damsonstream demo`: runs a small fleet on this machine, with records and a report at the end."""

from __future__ import annotations

import json
import sys
import tempfile
from collections import Counter
from pathlib import Path

import anyio
import click

from damsonstream.demo import scenario as scenarios
from damsonstream.demo.check import check
from damsonstream.demo.recorded_gets import recorded
from damsonstream.demo.runner import DemoRun, Truth, execute
from damsonstream.incident import analysis as reading
from damsonstream.program import toollogs
from damsonstream.program.commands.playing import run_or_exit
from damsonstream.program.commands.report import render, write_atomically
from damsonstream.settings import kdl


def listed(context: click.Context, _: click.Parameter, value: bool) -> None:
    """Callback of `--list`: prints the shipped scenarios and exits."""
    if value and not context.resilient_parsing:
        for name in scenarios.shipped_names():
            loaded = scenarios.load(name)
            click.echo(f"{name:18} {loaded.lasts:g} s: {loaded.about}")
        context.exit()


def progress(play: DemoRun) -> None:
    """Prints one line of progress: the elapsed time, GETs by outcome and the steps of the last second."""
    outcomes = Counter(one.outcome or "open" for one in play.generator.sent_gets)
    counts = "  ".join(f"{name} {outcomes[name]}" for name in ("returned", "shed", "errored", "lost", "late"))
    now = max(0.0, play.stand_ins.now())
    recent = [f"{s.does} {s.to}".strip() for s in play.scenario.steps if now - 1 < s.at <= now]
    click.echo(
        f"{now:5.1f} s  GETs {len(play.generator.sent_gets):5}  {counts}  {'; '.join(recent)}".rstrip()
    )


@click.command()
@click.option("--scenario", "name", default="purge-slow-vault", show_default=True,
              help="A shipped scenario or a KDL file.")  # fmt: skip
@click.option("--list", is_flag=True, expose_value=False, is_eager=True, callback=listed,
              help="List the shipped scenarios.")  # fmt: skip
@click.option("--seconds", type=click.FloatRange(scenarios.MIN_DURATION, scenarios.MAX_DURATION),
              help="Stretch or compress the scenario to this duration.")  # fmt: skip
@click.option("--records", type=click.Path(path_type=Path, file_okay=False), help="Folder for the records.")
@click.option("--report", type=click.Path(path_type=Path, dir_okay=False), help="File for the HTML report.")
@click.option("--json", "json_file", type=click.Path(path_type=Path, dir_okay=False),
              help="File for the report and its check, as JSON.")  # fmt: skip
@click.option("--once", is_flag=True, help="Print plain progress lines, without the console.")
@click.option("--seed", default=1, show_default=True, help="Seed of the random number generators.")
def demo(
    name: str, seconds: float | None, records: Path | None, report: Path | None, json_file: Path | None,
    once: bool, seed: int,
) -> int:  # fmt: skip
    """Start a small fleet on this machine and show what happens to it.

    The gateways are real; caches, parents, origin, discovery service and viewers are stand-ins on loopback.
    At the end a report is made from the records and checked against what really happened. Exit code 0 only
    if every GET is accounted for, the rules were kept and the report is correct.
    """
    toollogs.begin("warning")
    try:
        scenario = scenarios.load(name)
    except kdl.KdlError as fault:
        click.echo(fault, err=True)
        return 2
    if seconds:
        scenario = scenarios.scaled(scenario, seconds)
    folder = Path(tempfile.mkdtemp(prefix="damsonstream-demo-"))
    records = records or folder / "records"
    if records.exists() and any(records.iterdir()):
        click.echo(f"{records} is not empty: give a new folder with --records.", err=True)
        return 2
    click.echo(f"{scenario.name}: {scenario.about}, {scenario.lasts:g} s")
    click.echo(
        f"{scenario.gateways} gateways, {scenario.caches} caches, {scenario.hubs} parents, an origin; "
        f"in {folder}"
    )
    plain = once or not sys.stdout.isatty()
    truth = run_or_exit(lambda: run(scenario, folder, records, seed, plain))
    return present(scenario, records, truth, report or folder / "report.html", json_file)


def run(scenario: scenarios.Scenario, folder: Path, records: Path, seed: int, plain: bool) -> Truth:
    """Runs the scenario, with progress lines or behind the console; returns what really happened."""
    if plain:
        return anyio.run(
            execute, scenario, folder, records, seed, progress, backend_options={"use_uvloop": True}
        )
    from damsonstream.console.app import Console
    from damsonstream.console.follow import RecordFollower

    records.mkdir(parents=True, exist_ok=True)
    results: list[Truth] = []

    async def run_fleet() -> None:
        results.append(await execute(scenario, folder, records, seed, lambda _: None))

    Console(RecordFollower(records), live=True, background=run_fleet).run()
    if not results:
        raise KeyboardInterrupt  # the user quit the console before the scenario ended
    return results[0]


def present(
    scenario: scenarios.Scenario, records: Path, truth: Truth, report: Path, json_file: Path | None
) -> int:
    """Prints the summary, writes the report and returns the exit code."""
    incident = reading.analyze(records)
    summary = reading.summary(incident)
    differences = check(summary, recorded(records), truth)
    click.echo(f"\nviewers: {', '.join(f'{count} {name}' for name, count in sorted(truth.counts().items()))}")
    click.echo(
        f"records: {incident.records} of {summary['accounting']['gets']} GETs, "
        f"{', '.join(f'{count} {name}' for name, count in sorted(incident.verdicts.items()))}"
    )
    for phase in summary["phases"]:
        if phase["kind"] != "half-open":
            start, end = phase["start"] - truth.start, phase["end"] - truth.start
            click.echo(f"  {start:6.2f} to {end:6.2f} s  {phase['kind']:11}  {phase['subject']}")
    for rule in summary["rules"]:
        click.echo(f"  rule {rule['rule']}: {rule['verdict']:10}  {rule['name']}, {rule['cases']} cases")
    for difference in differences:
        click.echo(f"  wrong: {difference}")
    click.echo(
        "the report agrees with what happened" if not differences else "the report or the run is wrong"
    )
    try:
        write_atomically(report, render(incident, "html", f"Demo: {scenario.name}"))
    except OSError as fault:
        click.echo(f"{report} can't be written: {fault.strerror}", err=True)
        return 2
    click.echo(f"report: {report}")
    if json_file is not None:
        happened = [
            {"does": h.step.does, "to": h.step.to, "start": h.start, "end": h.end} for h in truth.steps
        ]
        whole = {
            "scenario": scenario.name,
            "differences": differences,
            "happened": happened,
            "report": summary,
        }
        json_file.write_text(json.dumps(whole, indent=1) + "\n")
    return 1 if differences else 0
