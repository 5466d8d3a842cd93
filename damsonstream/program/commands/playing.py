"""Helpers of the commands that run scenarios: they print errors and exit with the command's exit code.

Usage: `run_or_exit(lambda: anyio.run(...))` returns the result of the run; `print_result(result, observed)`
prints the checked bounds and the outcomes of the GETs.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TypeVar

import click

from damsonstream.settings import kdl
from damsonstream.together.checks import Observations as Observations
from damsonstream.together.checks import first_violations
from damsonstream.together.verdict import Result

Outcome = TypeVar("Outcome")
Loaded = TypeVar("Loaded")


def run_or_exit(run: Callable[[], Outcome]) -> Outcome:
    """Returns what `run` returns; exits with 130 on Ctrl-C, and with 2 if the fleet could not be run."""
    try:
        return run()
    except KeyboardInterrupt:
        click.echo("stopped", err=True)
        raise click.exceptions.Exit(130) from None
    except (RuntimeError, OSError) as fault:
        click.echo(f"The fleet could not be run: {fault}", err=True)
        raise click.exceptions.Exit(2) from fault


def scripts(folder: Path, load: Callable[[str], Loaded]) -> Iterator[Loaded]:
    """Yields the content of each KDL file of a folder; an invalid one is reported and exits with code 2."""
    for path in sorted(folder.glob("*.kdl")):
        try:
            yield load(str(path))
        except kdl.KdlError as fault:
            click.echo(fault, err=True)
            raise click.exceptions.Exit(2) from fault


def print_result(result: Result, observed: Observations) -> None:
    """Prints each check with its bound and result, and the outcomes of the GETs."""
    for one in result.checks:
        click.echo(f"  {'kept  ' if one.kept else 'BROKEN'}  {one.name}: {one.seen:g} ({one.bound})")
    for text in first_violations(observed):
        click.echo(f"          {text}")
    outcomes = Counter(one.outcome or "open" for one in observed.gets)
    click.echo("GETs: " + ", ".join(f"{count} {name}" for name, count in outcomes.most_common()))
