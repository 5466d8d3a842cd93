"""What a gateway itself needs of the command line, on argparse: serve, check-config, version.

How it is called: `run(arguments)`, of which the first is one of `COMMANDS`, returns the exit code.
"""

from __future__ import annotations

import argparse
import os
import signal
import sys

from damsonstream import __version__
from damsonstream.program import config, logs

COMMANDS = ("serve", "check-config", "version")


def run(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="damsonstream", description="A gateway before tiers of caches.")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, what in (
        ("serve", "run one gateway"),
        ("check-config", "read the configuration and say what it holds"),
    ):
        command = commands.add_parser(name, help=what, description=what)
        command.add_argument(
            "--config", default=os.environ.get("ROUTER_CONFIG"), help="default: ROUTER_CONFIG"
        )
        if name == "serve":
            command.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
        what = "the operator's own settings, a KDL file; without it all of them are off"
        command.add_argument("--operator", help=what)
    commands.add_parser("version", help="print the version")
    chosen = parser.parse_args(arguments)
    if chosen.command == "version":
        print(f"damsonstream {__version__}")
        return 0
    try:
        told = config.read(chosen.config)
        if chosen.operator:
            check_operator(chosen.operator)
    except config.Unusable as fault:
        print(fault, file=sys.stderr)
        return 2
    if chosen.command == "check-config":
        services = ", ".join(service.name for service in told.footprint.services)
        print(f"{told.name} listens on {told.listen[0]}:{told.listen[1]}; delivery services: {services}; "
              f"{told.sockets} descriptors, {told.memory_mb} MB; events known: {told.last}")  # fmt: skip
        return 0
    return serve(told, chosen.log_level, chosen.operator)


def check_operator(path: str) -> None:
    from damsonstream.settings import kdl, operator

    try:
        told = operator.read(path)
        if told.tiers is not None:
            from damsonstream.tiers import checks, load

            for wrong in checks.check(load.load(str(told.tiers))):
                raise config.Unusable(f"{told.tiers}: {wrong.kind}: {wrong.what}")
    except kdl.Fault as fault:
        raise config.Unusable(str(fault)) from fault


def serve(told: config.Config, level: str, operator_file: str | None) -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it is taken: it must not end a gateway that starts
    import anyio  # check-config and the bench need none of these

    from damsonstream.program.serve import Server
    from damsonstream.transport.loop import LOOP

    logs.begin(level)
    recorder, pieces, tiers = None, None, ""
    if operator_file:  # nothing of records and peers is loaded where they are off
        from damsonstream.settings import operator

        wanted = operator.read(operator_file)
        pieces, tiers = wanted.peers, str(wanted.tiers or "")
        if wanted.records is not None:
            from damsonstream.program import recording

            recorder = recording.begin(told, wanted)
    try:
        anyio.run(Server(told, recorder, pieces, tiers).run, backend_options=LOOP)
    except config.Unusable as fault:
        print(fault, file=sys.stderr)
        return 2
    finally:
        if recorder is not None:
            recorder.writer.close()
    return 0
