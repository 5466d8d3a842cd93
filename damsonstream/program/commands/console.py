"""`damsonstream console`: shows the state of a fleet from its records, live or at a past time."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

import click


@click.command()
@click.argument("records", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--once", is_flag=True, help="Print the latest state and exit; the default without a terminal.")
@click.option(
    "--at", "seconds", type=float, help="With --once: the state at this many seconds after the first record."
)
@click.option("--recorded", is_flag=True, help="The records are complete: start paused at their end.")
def console(records: Path, once: bool, seconds: float | None, recorded: bool) -> int:
    """Watch a fleet through the records in the folder RECORDS.

    Space pauses, left and right step through time, Enter shows the details of a row, / filters, q quits. A
    gateway that stops writing is shown as stale. Exit code with --once: 0 if the fleet is healthy, 1 if not,
    2 if there are no records.
    """
    from damsonstream.console import text
    from damsonstream.console.follow import RecordFollower

    following = RecordFollower(records)
    if not once and sys.stdout.isatty():
        from damsonstream.console.app import Console

        following.poll()
        Console(following, live=not recorded).run()
        return 0
    following.read_all()
    history = following.history
    start, end = history.span()
    if not end:
        click.echo(f"{records} contains no records.", err=True)
        return 2
    at = end if seconds is None else min(end, start + int(seconds * 10_000))
    newest = max((path.stat().st_mtime for path in records.glob("*/*.rec")), default=0.0)
    age_s = max(0.0, time.time() - newest)
    ages = None
    # Gateways count as stale by the modification time of their files: the last records of a fleet that has
    # stopped don't show its present state.
    if seconds is None and not recorded:
        ages = {
            name: max(0.0, time.time() - max((p.stat().st_mtime for p in path.glob("*.rec")), default=0.0))
            for path, name in following.names.items()
        }
    view = history.view(at, ages)
    columns = int(os.environ.get("COLUMNS", "80"))
    click.echo("\n".join(text.lines(view, start, columns, "recorded" if recorded else f"{age_s:.0f} s old")))
    return 0 if view.state in ("well", "ended") else 1
