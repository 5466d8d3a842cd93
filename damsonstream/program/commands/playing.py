"""What `demo` and `together` share: a play that can't be played ends the command with its exit code.

How it is called: `played(lambda: anyio.run(...))` gives what the play gives.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import click

Seen = TypeVar("Seen")


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
