"""The commands that run without the tools' libraries: serve, check-config and version, based on argparse.

Usage: `run(arguments)` returns the exit code; the first argument is one of `COMMANDS`.
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
    parser = argparse.ArgumentParser(
        prog="damsonstream", description="A gateway in front of tiers of caches."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name, description in (
        ("serve", "run one gateway"),
        ("check-config", "check the configuration and print a summary"),
    ):
        command = commands.add_parser(name, help=description, description=description)
        command.add_argument(
            "--config", default=os.environ.get("ROUTER_CONFIG"), help="default: ROUTER_CONFIG"
        )
        if name == "serve":
            command.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
        description = (
            "KDL file with the operator's settings; without it the features that it configures are off"
        )
        command.add_argument("--operator", help=description)
    commands.add_parser("version", help="print the version")
    options = parser.parse_args(arguments)
    if options.command == "version":
        print(f"damsonstream {__version__}")
        return 0
    try:
        loaded = config.read(options.config)
        if options.operator:
            check_operator(options.operator)
    except config.ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    if options.command == "check-config":
        services = ", ".join(service.name for service in loaded.footprint.services)
        print(f"{loaded.name} listens on {loaded.listen[0]}:{loaded.listen[1]}; "
              f"delivery services: {services}; {loaded.sockets} descriptors, {loaded.memory_mb} MB; "
              f"last known event: {loaded.last}")  # fmt: skip
        return 0
    return serve(loaded, options.log_level, options.operator)


def check_operator(path: str) -> None:
    from damsonstream.settings import kdl, operator

    try:
        settings = operator.read(path)
        if settings.tiers is not None:
            from damsonstream.tiers import checks, load

            for problem in checks.check(load.load(str(settings.tiers))):
                raise config.ConfigError(f"{settings.tiers}: {problem.kind}: {problem.what}")
    except kdl.KdlError as error:
        raise config.ConfigError(str(error)) from error


def serve(loaded: config.Config, level: str, operator_file: str | None) -> int:
    signal.signal(
        signal.SIGHUP, signal.SIG_IGN
    )  # ignored until the server handles it: it must not end a starting gateway
    import anyio  # imported late, as are the following: check-config and the bench do not need them

    from damsonstream.program.serve import Server

    logs.configure(level)
    recorder, features, hierarchy_path = None, None, ""
    if operator_file:  # modules for records and peers are imported only if enabled
        from damsonstream.settings import operator

        settings = operator.read(operator_file)
        features, hierarchy_path = settings.peers, str(settings.tiers or "")
        if settings.records is not None:
            from damsonstream.program import recording

            recorder = recording.start_recorder(loaded, settings)
    try:
        anyio.run(
            Server(loaded, recorder, features, hierarchy_path).run, backend_options={"use_uvloop": True}
        )
    except config.ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    finally:
        if recorder is not None:
            recorder.writer.close()
    return 0
