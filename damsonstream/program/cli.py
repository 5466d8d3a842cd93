"""The command line: a gateway's own commands go to `program/own.py`, all others to `program/commands`.

How it is called: `main(arguments)` returns the exit code. `serve` is started hundreds of times in small
memories, and click costs 3 MB and 40 ms of each start: it is loaded for the tools only.
"""

from __future__ import annotations

import sys

from damsonstream.program import own


def main(arguments: list[str] | None = None) -> int:
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments and arguments[0] in own.COMMANDS:
        return own.run(arguments)
    from damsonstream.program.commands import root

    return root.run(arguments)
