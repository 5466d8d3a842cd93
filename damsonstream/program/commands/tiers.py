"""`damsonstream tiers`: check, show and compare hierarchies of caches before they carry traffic."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path

import click

from damsonstream.settings import kdl
from damsonstream.tiers import checks, draw, load
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
    """Say what is wrong with a revision. Exit code 0: nothing, 1: it would be refused."""
    shape = read(file)
    wrong = checks.check(shape, read(before) if before else None)
    if as_json:
        told = [asdict(one) for one in wrong]
        click.echo(
            json.dumps({"revision": shape.revision, "nodes": len(shape.nodes), "wrong": told}, indent=1)
        )
    else:
        for one in wrong:
            click.echo(f"{one.kind}: {one.what}")
        if not wrong:
            click.echo(
                f"revision {shape.revision} is good: {len(shape.nodes)} nodes in {len(shape.zones)} zones"
            )
    return int(bool(wrong))


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


@tiers.command("simulate-loss")
@click.argument("file", type=FILE)
@click.argument("zone")
@click.option(
    "--misses",
    default=0.3,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Share of GETs that are filled.",
)
def simulate_loss(file: Path, zone: str, misses: float) -> int:
    """Say what the loss of ZONE asks of the others. Exit code 1 if a hub would be over, or a cache without a
    way."""
    shape = read(file)
    if zone not in shape.zones:
        raise click.UsageError(f"{zone} is none of the zones {', '.join(sorted(shape.zones))}.")
    loss = checks.simulate(shape, zone, misses)
    for name, fills in loss.asked.items():
        node = shape.nodes[name]
        over = f", {loss.over[name]:g} times what it bears or may take" if name in loss.over else ""
        click.echo(f"{name}: {fills:g} fills a second of {node.capacity:g}{over}")
    for name in loss.stranded:
        click.echo(f"{name}: no way to the vault")
    return int(bool(loss.over or loss.stranded))
