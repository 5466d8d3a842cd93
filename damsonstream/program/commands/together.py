"""`damsonstream together`: several real gateways with faults between them, and bounds that must hold."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import anyio
import click
import msgspec

from damsonstream.peers.pieces import PIECES
from damsonstream.program import toollogs
from damsonstream.program.commands.playing import played, scripts, tell
from damsonstream.settings import kdl
from damsonstream.standins.faults import KINDS as NODE_KINDS
from damsonstream.together import checks, links, rig, script, verdict
from damsonstream.together.script import OWN, PROCESS_KINDS


@click.group()
def together() -> None:
    """Play scripts of faults between processes of this program."""


@together.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--json", "json_file", type=click.Path(path_type=Path, dir_okay=False),
              help="Where the verdict and each check go as JSON.")  # fmt: skip
@click.option("--without", multiple=True, type=click.Choice(PIECES), help="Switch a piece off.")
@click.option("--seed", default=1, show_default=True, help="Of all chance in the play.")
@click.option("--folder", type=click.Path(path_type=Path, file_okay=False),
              help="Where logs and records of the gateways are left.")  # fmt: skip
def run(file: str, json_file: Path | None, without: tuple[str, ...], seed: int, folder: Path | None) -> int:
    """Play one script. Exit code 0 if every bound was kept, 1 if one was broken."""
    toollogs.begin("warning")
    try:
        told = script.load(file)
    except kdl.Fault as fault:
        click.echo(fault, err=True)
        return 2
    folder = folder or Path(tempfile.mkdtemp(prefix="damsonstream-together-"))
    off, began = frozenset(without), time.monotonic()
    click.echo(f"{told.name}: {told.about}; {len(told.gateways)} gateways, {told.lasts:g} s, in {folder}")
    uvloop = {"use_uvloop": True}
    seen = played(lambda: anyio.run(rig.play, told, off, folder, seed, backend_options=uvloop))
    found = verdict.result(told, off, seen, time.monotonic() - began)
    tell(found, seen)
    click.echo(found.verdict)
    if json_file is not None:
        try:
            json_file.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")
        except OSError as fault:
            click.echo(f"{json_file} can't be written: {fault.strerror}", err=True)
            return 2
    return 0 if found.verdict == "kept" else 1


@together.command("list")
@click.argument("folder", default="examples/together", type=click.Path(path_type=Path, file_okay=False))
def listed(folder: Path) -> int:
    """Name the scripts of a folder, and what scripts can do and check."""
    for told in scripts(folder, script.load):
        click.echo(f"{told.name:18} {told.lasts:g} s: {told.about}")
    click.echo(f"faults: {', '.join((*links.KINDS, *NODE_KINDS, *PROCESS_KINDS, *OWN))}")
    click.echo(f"checks: {', '.join(checks.CHECKS)}")
    return 0
