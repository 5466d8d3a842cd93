"""`damsonstream tiers`: checks, shows and compares hierarchies of caches before they are used."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path

import click

from damsonstream.settings import kdl
from damsonstream.tiers import checks, draw, load, loss
from damsonstream.tiers import plan as planning
from damsonstream.tiers.hierarchy import Topology, differences
from damsonstream.tiers.load import to_kdl as load_text

FILE = click.Path(path_type=Path, exists=True, dir_okay=False)


@click.group()
def tiers() -> None:
    """Check and compare hierarchies of caches: KDL files with zones, hubs (parents) and a vault (origin)."""


def read(path: Path) -> Topology:
    """Loads a hierarchy; raises UsageError if the file is invalid."""
    try:
        return load.load(str(path))
    except kdl.KdlError as fault:
        raise click.UsageError(str(fault)) from fault


@tiers.command()
@click.argument("file", type=FILE)
@click.option(
    "--before",
    type=FILE,
    help="The revision in use: the two together must not form a cycle.",
)
@click.option("--json", "as_json", is_flag=True)
def check(file: Path, before: Path | None, as_json: bool) -> int:
    """Report the errors of a revision. Exit code 0 if it is valid, 2 if it is invalid or can't be read."""
    shape = read(file)
    problems = checks.check(shape, read(before) if before else None)
    if as_json:
        listed = [asdict(one) for one in problems]
        click.echo(
            json.dumps({"revision": shape.revision, "nodes": len(shape.nodes), "wrong": listed}, indent=1)
        )
    else:
        where = load.line_numbers(str(file))
        for one in problems:
            line = f":{where[one.of]}" if one.of in where else ""
            click.echo(f"{file}{line}: {one.kind}: {one.what}")
        if not problems:
            click.echo(
                f"revision {shape.revision} is valid: {len(shape.nodes)} nodes in {len(shape.zones)} zones"
            )
    return 2 if problems else 0


@tiers.command()
@click.argument("file", type=FILE)
@click.option(
    "--svg", type=click.Path(path_type=Path, dir_okay=False), help="Also draw the tree into this file."
)
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
    """Report what a revision changes. Exit code 1 if it changes anything."""
    changes = differences(read(old), read(new))
    click.echo("\n".join(changes) or "no differences")
    return int(bool(changes))


@tiers.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@click.option("--misses", default=0.3, show_default=True, type=click.FloatRange(0, 1),
              help="Share of GETs that miss and cause a fill.")  # fmt: skip
@click.option("--out", type=click.Path(path_type=Path, file_okay=False),
              help="Write each step's revision into this folder.")  # fmt: skip
def plan(old: Path, new: Path, misses: float, out: Path | None) -> int:
    """Plan safe intermediate revisions from OLD to NEW. Exit code 1 if a step exceeds the capacity of a
    parent, 2 if there is no such plan."""
    try:
        steps = planning.plan(read(old), read(new), misses)
    except planning.NoPlan as fault:
        click.echo(f"There is no safe plan: {fault}", err=True)
        return 2
    for number, step in enumerate(steps, 1):
        hub, peak = step.peak_load
        load = f"; peak load {peak:.2f} of the capacity of {hub}" if hub else ""
        click.echo(f"{number}. revision {step.topology.revision}: {step.description}{load}")
        if out is not None:
            out.mkdir(parents=True, exist_ok=True)
            (out / f"revision-{step.topology.revision}.kdl").write_text(load_text(step.topology))
    if not steps:
        click.echo("no differences")
    return int(any(step.peak_load[1] > 1 for step in steps))


@tiers.command("simulate-loss")
@click.argument("file", type=FILE)
@click.argument("zones", nargs=-1, required=True)
@click.option("--misses", default=0.3, show_default=True, type=click.FloatRange(0, 1),
              help="Share of GETs that miss and cause a fill.")  # fmt: skip
@click.option("--svg", type=click.Path(path_type=Path, dir_okay=False), help="Draw a chart into this file.")
@click.option("--json", "as_json", is_flag=True)
def simulate_loss(file: Path, zones: tuple[str, ...], misses: float, svg: Path | None, as_json: bool) -> int:
    """Show where fills go when all parents of ZONES fail, as the gateway's own modules decide it. Exit code 1
    if some fills have no source."""
    shape = read(file)
    for zone in zones:
        if zone not in shape.zones:
            raise click.UsageError(f"{zone} is not one of the zones {', '.join(sorted(shape.zones))}.")
    result = loss.simulate_hub_loss(shape, zones, misses)
    if as_json:
        data = asdict(result) | {"spilt": [[*pair, fills] for pair, fills in result.spilt.items()],
                                "lost_share": result.lost_share}  # fmt: skip
        click.echo(json.dumps(data, indent=1))
    else:
        for (home, other), fills in sorted(result.spilt.items()):
            limit = f"{other} accepts {result.limits[other]:g} in total"
            click.echo(f"{home} -> {other}: {fills:g} fills/s; {limit}")
        if result.vault:
            cap = f" of {shape.vault_cap:g}" if shape.vault_cap else ", without a cap"
            click.echo(f"origin: {result.vault:g} fills/s{cap}")
        for home, fills in sorted(result.held_back.items()):
            click.echo(f"{home}: {fills:g} fills/s have no source: answered with stale copies, or shed")
        click.echo(f"{result.lost_share:.1%} of all fills have no source")
    if svg is not None:
        svg.write_text(draw.loss_svg(result))
    return int(result.lost_share > 0)
