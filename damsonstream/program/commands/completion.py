"""`damsonstream completion SHELL`: prints the completion script for a shell."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from damsonstream.program.commands import root


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for SHELL.

    For bash: damsonstream completion bash > ~/.local/share/bash-completion/completions/damsonstream
    """
    completion_class = get_completion_class(shell)
    assert completion_class is not None
    click.echo(completion_class(root.damsonstream, {}, "damsonstream", "_DAMSONSTREAM_COMPLETE").source())
