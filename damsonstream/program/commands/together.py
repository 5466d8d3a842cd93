"""`damsonstream together`: runs several real gateways with injected faults and checks bounds."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import anyio
import click
import msgspec

from damsonstream.peers.features import FEATURES
from damsonstream.program import toollogs
from damsonstream.program.commands.playing import print_result, run_or_exit, scripts
from damsonstream.settings import kdl
from damsonstream.standins.faults import KINDS as NODE_KINDS
from damsonstream.together import checks, links, rig, script, verdict
from damsonstream.together.script import CONTROL_KINDS, PROCESS_KINDS


@click.group()
def together() -> None:
    """Run fault injection scripts against several gateway processes."""


@together.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--json", "json_file", type=click.Path(path_type=Path, dir_okay=False),
              help="File for the verdict and each check, as JSON.")  # fmt: skip
@click.option(
    "--without", multiple=True, type=click.Choice(FEATURES), help="Switch off a feature of the peer exchange."
)
@click.option("--seed", default=1, show_default=True, help="Seed of the random number generators.")
@click.option("--folder", type=click.Path(path_type=Path, file_okay=False),
              help="Folder for the logs and records of the gateways.")  # fmt: skip
def run(file: str, json_file: Path | None, without: tuple[str, ...], seed: int, folder: Path | None) -> int:
    """Run one script. Exit code 0 if every bound was kept, 1 if one was broken."""
    toollogs.begin("warning")
    try:
        loaded = script.load(file)
    except kdl.KdlError as fault:
        click.echo(fault, err=True)
        return 2
    folder = folder or Path(tempfile.mkdtemp(prefix="damsonstream-together-"))
    off, started = frozenset(without), time.monotonic()
    click.echo(
        f"{loaded.name}: {loaded.about}; {len(loaded.gateways)} gateways, {loaded.lasts:g} s, in {folder}"
    )
    uvloop = {"use_uvloop": True}
    observed = run_or_exit(
        lambda: anyio.run(rig.run_script, loaded, off, folder, seed, backend_options=uvloop)
    )
    result = verdict.evaluate(loaded, off, observed, time.monotonic() - started)
    print_result(result, observed)
    click.echo(result.verdict)
    if json_file is not None:
        try:
            json_file.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
        except OSError as fault:
            click.echo(f"{json_file} can't be written: {fault.strerror}", err=True)
            return 2
    return 0 if result.verdict == "kept" else 1


@together.command("list")
@click.argument("folder", default="examples/together", type=click.Path(path_type=Path, file_okay=False))
def listed(folder: Path) -> int:
    """List the scripts of a folder, and the faults and checks that scripts may use."""
    for loaded in scripts(folder, script.load):
        click.echo(f"{loaded.name:18} {loaded.lasts:g} s: {loaded.about}")
    click.echo(f"faults: {', '.join((*links.KINDS, *NODE_KINDS, *PROCESS_KINDS, *CONTROL_KINDS))}")
    click.echo(f"checks: {', '.join(checks.CHECKS)}")
    return 0
