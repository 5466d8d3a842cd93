"""What commands that play share: one that can't be played ends the command with its exit code.

How it is called: `played(lambda: anyio.run(...))` gives what the play gives; `tell(found, seen)` prints the
bounds and how GETs ended.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TypeVar

import click

from damsonstream.settings import kdl
from damsonstream.together.checks import Seen as Shown
from damsonstream.together.checks import told
from damsonstream.together.verdict import Result

Seen = TypeVar("Seen")
Loaded = TypeVar("Loaded")


def played(play: Callable[[], Seen]) -> Seen:
    """Raises click's Exit: 130 where it was stopped, 2 where the fleet could not be played."""
    try:
        return play()
    except KeyboardInterrupt:
        click.echo("stopped", err=True)
        raise click.exceptions.Exit(130) from None
    except (RuntimeError, OSError) as fault:
        click.echo(f"The fleet could not be played: {fault}", err=True)
        raise click.exceptions.Exit(2) from fault


def scripts(folder: Path, load: Callable[[str], Loaded]) -> Iterator[Loaded]:
    """What each KDL file of a folder holds; one that can't be used is named, and ends the command with 2."""
    for path in sorted(folder.glob("*.kdl")):
        try:
            yield load(str(path))
        except kdl.Fault as fault:
            click.echo(fault, err=True)
            raise click.exceptions.Exit(2) from fault


def tell(found: Result, seen: Shown) -> None:
    for one in found.checks:
        click.echo(f"  {'kept  ' if one.kept else 'BROKEN'}  {one.name}: {one.seen:g} ({one.bound})")
    for text in told(seen):
        click.echo(f"          {text}")
    ended = Counter(one.outcome or "open" for one in seen.tries)
    click.echo("GETs: " + ", ".join(f"{count} {name}" for name, count in ended.most_common()))
