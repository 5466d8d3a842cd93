"""`damsonstream tiers`: check, show and compare hierarchies of caches before they carry traffic."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path

import click

from damsonstream.settings import kdl
from damsonstream.tiers import checks, draw, load, loss
from damsonstream.tiers import plan as planning
from damsonstream.tiers.load import text as load_text
from damsonstream.tiers.shape import Shape, differences

FILE = click.Path(path_type=Path, exists=True, dir_okay=False)


@click.group()
def tiers() -> None:
    """Hierarchies of caches: hubs, zones and their vault, as KDL files."""


def read(path: Path) -> Shape:
    try:
        return load.load(str(path))
    except kdl.Fault as fault:
        raise click.UsageError(str(fault)) from fault


@tiers.command()
@click.argument("file", type=FILE)
@click.option(
    "--before",
    type=FILE,
    help="The revision that gateways have now: the two must not run in a circle together.",
)
@click.option("--json", "as_json", is_flag=True)
def check(file: Path, before: Path | None, as_json: bool) -> int:
    """Say what is wrong with a revision. Exit code 0: nothing, 2: it would be refused, or can't be read."""
    shape = read(file)
    wrong = checks.check(shape, read(before) if before else None)
    if as_json:
        told = [asdict(one) for one in wrong]
        click.echo(
            json.dumps({"revision": shape.revision, "nodes": len(shape.nodes), "wrong": told}, indent=1)
        )
    else:
        where = load.lines(str(file))
        for one in wrong:
            line = f":{where[one.of]}" if one.of in where else ""
            click.echo(f"{file}{line}: {one.kind}: {one.what}")
        if not wrong:
            click.echo(
                f"revision {shape.revision} is good: {len(shape.nodes)} nodes in {len(shape.zones)} zones"
            )
    return 2 if wrong else 0


@tiers.command()
@click.argument("file", type=FILE)
@click.option("--svg", type=click.Path(path_type=Path, dir_okay=False), help="Draw it into this file too.")
def show(file: Path, svg: Path | None) -> int:
    """Print a hierarchy as a tree."""
    shape = read(file)
    click.echo("\n".join(draw.tree(shape)))
    if svg is not None:
        svg.write_text(draw.svg(shape))
    return 0


@tiers.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
def diff(old: Path, new: Path) -> int:
    """Say what a revision changes. Exit code 1 if anything."""
    told = differences(read(old), read(new))
    click.echo("\n".join(told) or "the same")
    return int(bool(told))


@tiers.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@click.option("--misses", default=0.3, show_default=True, type=click.FloatRange(0, 1),
              help="Share of GETs that are filled.")  # fmt: skip
@click.option("--out", type=click.Path(path_type=Path, file_okay=False),
              help="Write each step's revision into this folder.")  # fmt: skip
def plan(old: Path, new: Path, misses: float, out: Path | None) -> int:
    """Say how to go from OLD to NEW in safe revisions. Exit code 1 if a step asks a hub for more than it
    bears, 2 if there is no way."""
    try:
        steps = planning.plan(read(old), read(new), misses)
    except planning.NoWay as fault:
        click.echo(f"No way: {fault}", err=True)
        return 2
    for number, step in enumerate(steps, 1):
        hub, peak = step.peak
        load = f"; at most {peak:.2f} of what {hub} bears" if hub else ""
        click.echo(f"{number}. revision {step.shape.revision}: {step.what}{load}")
        if out is not None:
            out.mkdir(parents=True, exist_ok=True)
            (out / f"revision-{step.shape.revision}.kdl").write_text(load_text(step.shape))
    if not steps:
        click.echo("the same")
    return int(any(step.peak[1] > 1 for step in steps))


@tiers.command("simulate-loss")
@click.argument("file", type=FILE)
@click.argument("zones", nargs=-1, required=True)
@click.option("--misses", default=0.3, show_default=True, type=click.FloatRange(0, 1),
              help="Share of GETs that are filled.")  # fmt: skip
@click.option("--svg", type=click.Path(path_type=Path, dir_okay=False), help="Draw a chart into this file.")
@click.option("--json", "as_json", is_flag=True)
def simulate_loss(file: Path, zones: tuple[str, ...], misses: float, svg: Path | None, as_json: bool) -> int:
    """Say where the fills go when the hubs of ZONES are lost, by the modules that decide it in service. Exit
    code 1 if any go nowhere."""
    shape = read(file)
    for zone in zones:
        if zone not in shape.zones:
            raise click.UsageError(f"{zone} is none of the zones {', '.join(sorted(shape.zones))}.")
    found = loss.lost(shape, zones, misses)
    if as_json:
        told = asdict(found) | {"spilt": [[*pair, fills] for pair, fills in found.spilt.items()],
                                "lost_share": found.lost_share}  # fmt: skip
        click.echo(json.dumps(told, indent=1))
    else:
        for (home, other), fills in sorted(found.spilt.items()):
            limit = f"{other} takes {found.limits[other]:g} in all"
            click.echo(f"{home} -> {other}: {fills:g} fills a second; {limit}")
        if found.vault:
            cap = f" of {shape.vault_cap:g}" if shape.vault_cap else ", which has no cap"
            click.echo(f"vault: {found.vault:g} fills a second{cap}")
        for home, fills in sorted(found.held_back.items()):
            click.echo(f"{home}: {fills:g} fills a second go nowhere: copies, or shed")
        click.echo(f"{found.lost_share:.1%} of all fills go nowhere")
    if svg is not None:
        svg.write_text(draw.loss_svg(found))
    return int(found.lost_share > 0)
