"""The command line of the tools: a click group whose commands are imported when they are called.

Usage: `run(arguments)` returns the exit code: 0 for success, 1 if the command's check failed, 2 for unusable
arguments or files.
"""

from __future__ import annotations

import importlib
import importlib.util
import sys

import click

from damsonstream import __version__
from damsonstream.program import gateway_cli

# command name: module and attribute, one line of help
COMMANDS = {
    "demo": ("damsonstream.program.commands.demo:demo", "Run a small fleet on this machine: start here."),
    "records": (
        "damsonstream.program.commands.records:records",
        "Inspect the records that gateways write.",
    ),
    "report": ("damsonstream.program.commands.report:report", "Report an incident, phase by phase."),
    "traces": ("damsonstream.program.commands.traces:traces", "Read, generate and replay traces."),
    "tiers": ("damsonstream.program.commands.tiers:tiers", "Check and compare hierarchies of caches."),
    "together": (
        "damsonstream.program.commands.together:together",
        "Inject faults into several gateways.",
    ),
    "experiment": (
        "damsonstream.program.commands.experiment:experiment",
        "Simulate fleets in virtual time and compare.",
    ),
    "console": ("damsonstream.program.commands.console:console", "Watch a fleet through its records."),
    "completion": (
        "damsonstream.program.commands.completion:completion",
        "Print a shell's completion script.",
    ),
}
GATEWAY = {
    "serve": "Run one gateway in the foreground.",
    "check-config": "Check a gateway's configuration and print it.",
    "version": "Print the version.",
}


class LazyGroup(click.Group):
    """A group that imports a command's module only when the command is used."""

    def list_commands(self, context: click.Context) -> list[str]:
        return [*GATEWAY, *(name for name, (where, _) in COMMANDS.items() if is_installed(where))]

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name in GATEWAY:
            return gateway_command(name)
        if name not in COMMANDS:
            return None
        where = COMMANDS[name][0]
        module, _, attribute = where.partition(":")
        command = getattr(importlib.import_module(module), attribute)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        """Lists the help lines of the tables above, so that `--help` imports no tool."""
        with formatter.section("Gateway"):
            formatter.write_dl(list(GATEWAY.items()))
        with formatter.section("Tools"):
            formatter.write_dl(
                [(name, text) for name, (where, text) in COMMANDS.items() if is_installed(where)]
            )


def is_installed(where: str) -> bool:
    """Returns whether a command's module exists."""
    return importlib.util.find_spec(where.partition(":")[0]) is not None


def gateway_command(name: str) -> click.Command:
    """Returns a command that passes its arguments to the gateway, which parses them itself."""

    @click.command(
        name, help=GATEWAY[name], add_help_option=False,
        context_settings={"ignore_unknown_options": True, "allow_extra_args": True},
    )  # fmt: skip
    @click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
    def command(arguments: tuple[str, ...]) -> None:
        sys.exit(gateway_cli.run([name, *arguments]))

    return command


@click.group(
    cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100}
)
@click.version_option(__version__, message="damsonstream %(version)s")
def damsonstream() -> None:
    """A gateway in front of tiers of caches, and its tools.

    Start with `damsonstream demo`: it runs a small fleet on this machine and reports what happened from its
    records.
    """


def run(arguments: list[str]) -> int:
    """Runs a command and returns its exit code."""
    try:
        code = damsonstream.main(arguments, prog_name="damsonstream", standalone_mode=False)
    except click.exceptions.Exit as stop:
        return stop.exit_code
    except click.exceptions.NoArgsIsHelpError as fault:
        click.echo(fault.ctx.get_help())
        return 0 if not arguments else 2
    except click.ClickException as fault:
        fault.show()
        return 2
    except click.Abort:
        return 130
    return code if isinstance(code, int) else 0
