"""`damsonstream completion SHELL`: prints the script that makes a shell complete the commands."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from damsonstream.program.commands import root


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script of SHELL.

    For bash, once: damsonstream completion bash > ~/.local/share/bash-completion/completions/damsonstream
    """
    made = get_completion_class(shell)
    assert made is not None
    click.echo(made(root.damsonstream, {}, "damsonstream", "_DAMSONSTREAM_COMPLETE").source())
