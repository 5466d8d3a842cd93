"""The command line: serve, check-config and version."""

from __future__ import annotations

import argparse
import os
import signal
import sys

from damsonstream import __version__
from damsonstream.program import config, logs


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="damsonstream", description="A gateway before tiers of caches.")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, what in (
        ("serve", "run one gateway"),
        ("check-config", "read the configuration and say what it holds"),
    ):
        command = commands.add_parser(name, help=what)
        command.add_argument(
            "--config", default=os.environ.get("ROUTER_CONFIG"), help="default: ROUTER_CONFIG"
        )
        if name == "serve":
            command.add_argument("--log-level", default="info", choices=("debug", "info", "warning", "error"))
    commands.add_parser("version", help="print the version")
    chosen = parser.parse_args(arguments)
    if chosen.command == "version":
        print(f"damsonstream {__version__}")
        return 0
    try:
        told = config.read(chosen.config)
    except config.Unusable as fault:
        print(fault, file=sys.stderr)
        return 2
    if chosen.command == "check-config":
        services = ", ".join(service.name for service in told.footprint.services)
        print(f"{told.name} listens on {told.listen[0]}:{told.listen[1]}; delivery services: {services}; "
              f"{told.sockets} descriptors, {told.memory_mb} MB; events known: {told.last}")  # fmt: skip
        return 0
    return serve(told, chosen.log_level)


def serve(told: config.Config, level: str) -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it is taken: it must not end a gateway that starts
    import anyio  # check-config and the bench need neither

    from damsonstream.program.serve import Server

    logs.begin(level)
    try:
        anyio.run(Server(told).run, backend_options={"use_uvloop": True})
    except config.Unusable as fault:
        print(fault, file=sys.stderr)
        return 2
    return 0
