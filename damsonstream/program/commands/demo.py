"""`damsonstream demo`: a small fleet in one command, with records and a report at its end."""

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
from damsonstream.demo.play import Play, Truth, play
from damsonstream.demo.verdict import recorded
from damsonstream.incident import gather as reading
from damsonstream.program import toollogs
from damsonstream.program.commands.playing import played
from damsonstream.program.commands.report import put, rendered
from damsonstream.settings import kdl


def listed(context: click.Context, _: click.Parameter, value: bool) -> None:
    if value and not context.resilient_parsing:
        for name in scenarios.shipped():
            told = scenarios.load(name)
            click.echo(f"{name:18} {told.lasts:g} s: {told.about}")
        context.exit()


def progress(play: Play) -> None:
    counted = Counter(one.outcome or "open" for one in play.front.tries)
    told = "  ".join(f"{name} {counted[name]}" for name in ("returned", "shed", "errored", "lost", "late"))
    now = max(0.0, play.world.now())
    news = [f"{s.does} {s.to}".strip() for s in play.scenario.steps if now - 1 < s.at <= now]
    click.echo(f"{now:5.1f} s  GETs {len(play.front.tries):5}  {told}  {'; '.join(news)}".rstrip())


@click.command()
@click.option("--scenario", "name", default="purge-slow-vault", show_default=True,
              help="One of the shipped ones, or a KDL file of your own.")  # fmt: skip
@click.option("--list", is_flag=True, expose_value=False, is_eager=True, callback=listed,
              help="Name the shipped scenarios.")  # fmt: skip
@click.option("--seconds", type=click.FloatRange(scenarios.LEAST, scenarios.MOST),
              help="Play the script over so long a time.")  # fmt: skip
@click.option("--records", type=click.Path(path_type=Path, file_okay=False), help="Where records are left.")
@click.option("--report", type=click.Path(path_type=Path, dir_okay=False), help="Where the HTML report goes.")
@click.option("--json", "json_file", type=click.Path(path_type=Path, dir_okay=False),
              help="Where the report and its check go as JSON.")  # fmt: skip
@click.option("--once", is_flag=True, help="Plain lines of progress, no console.")
@click.option("--seed", default=1, show_default=True, help="Of all chance in the play.")
def demo(
    name: str, seconds: float | None, records: Path | None, report: Path | None, json_file: Path | None,
    once: bool, seed: int,
) -> int:  # fmt: skip
    """Start a small fleet on this machine and show what happens to it.

    Gateways are real ones; caches, hubs, vault, bulletin and viewers are stand-ins on loopback. At the end
    the records are told as a report, and the report is checked against what truly happened. Exit code 0 only
    if every GET is accounted for, the rules were kept and the report is right.
    """
    toollogs.begin("warning")
    try:
        told = scenarios.load(name)
    except kdl.Fault as fault:
        click.echo(fault, err=True)
        return 2
    if seconds:
        told = scenarios.scaled(told, seconds)
    folder = Path(tempfile.mkdtemp(prefix="damsonstream-demo-"))
    records = records or folder / "records"
    if records.exists() and any(records.iterdir()):
        click.echo(f"{records} is not empty: name a new folder with --records.", err=True)
        return 2
    click.echo(f"{told.name}: {told.about}, {told.lasts:g} s")
    click.echo(f"{told.gateways} gateways, {told.caches} caches, {told.hubs} hubs, a vault; all in {folder}")
    plain = once or not sys.stdout.isatty()
    truth = played(lambda: run(told, folder, records, seed, plain))
    return tell(told, records, truth, report or folder / "report.html", json_file)


def run(told: scenarios.Scenario, folder: Path, records: Path, seed: int, plain: bool) -> Truth:
    if plain:
        return anyio.run(play, told, folder, records, seed, progress, backend_options={"use_uvloop": True})
    from damsonstream.console.app import Console
    from damsonstream.console.follow import Following

    records.mkdir(parents=True, exist_ok=True)
    ended: list[Truth] = []

    async def behind() -> None:
        ended.append(await play(told, folder, records, seed, lambda _: None))

    Console(Following(records), live=True, background=behind).run()
    if not ended:
        raise KeyboardInterrupt  # the console was left before the play's end
    return ended[0]


def tell(told: scenarios.Scenario, records: Path, truth: Truth, report: Path, json_file: Path | None) -> int:
    incident = reading.gather(records)
    summary = reading.summary(incident)
    differences = check(summary, recorded(records), truth)
    click.echo(f"\nviewers: {', '.join(f'{count} {name}' for name, count in sorted(truth.count().items()))}")
    click.echo(
        f"records: {incident.records} of {summary['accounting']['gets']} GETs, "
        f"{', '.join(f'{count} {name}' for name, count in sorted(incident.verdicts.items()))}"
    )
    for phase in summary["phases"]:
        if phase["kind"] != "half-open":
            start, end = phase["start"] - truth.began, phase["end"] - truth.began
            click.echo(f"  {start:6.2f} to {end:6.2f} s  {phase['kind']:11}  {phase['subject']}")
    for rule in summary["rules"]:
        click.echo(f"  rule {rule['rule']}: {rule['verdict']:10}  {rule['name']}, {rule['cases']} cases")
    for difference in differences:
        click.echo(f"  wrong: {difference}")
    click.echo(
        "the report agrees with what happened" if not differences else "the report or the play is wrong"
    )
    try:
        put(report, rendered(incident, "html", f"Demo: {told.name}"))
    except OSError as fault:
        click.echo(f"{report} can't be written: {fault.strerror}", err=True)
        return 2
    click.echo(f"report: {report}")
    if json_file is not None:
        happened = [
            {"does": h.step.does, "to": h.step.to, "start": h.start, "end": h.end} for h in truth.steps
        ]
        whole = {"scenario": told.name, "differences": differences, "happened": happened, "report": summary}
        json_file.write_text(json.dumps(whole, indent=1) + "\n")
    return 1 if differences else 0
