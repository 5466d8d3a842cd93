"""The command line: the gateway's own commands are in `program/own.py`, all others in `program/commands`.

Usage: `main(arguments)` returns the exit code. `serve` runs in hundreds of processes with little memory, and
click adds 3 MB and 40 ms to each start, so it is only imported for the tools.
"""

from __future__ import annotations

import sys

from damsonstream.program import gateway_cli


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code; the arguments default to those of the process."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments and arguments[0] in gateway_cli.COMMANDS:
        return gateway_cli.run(arguments)
    from damsonstream.program.commands import root

    return root.run(arguments)
