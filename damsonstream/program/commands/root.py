"""The tools' command line: one group on click, whose commands are loaded when they are called.

How it is called: `run(arguments)` returns the exit code: 0, or 1 where the command found what it looks for to
be wrong, or 2 where arguments or files can't be used.
"""

from __future__ import annotations

import importlib
import importlib.util
import sys

import click

from damsonstream import __version__
from damsonstream.program import own

# name: module and attribute, one line of help
COMMANDS = {
    "demo": ("damsonstream.program.commands.demo:demo", "Start a small fleet and show it: begin here."),
    "records": (
        "damsonstream.program.commands.records:records",
        "Look into the records that gateways leave.",
    ),
    "report": ("damsonstream.program.commands.report:report", "Tell an incident, phase by phase."),
    "traces": ("damsonstream.program.commands.traces:traces", "Read, make and replay published traces."),
    "tiers": ("damsonstream.program.commands.tiers:tiers", "Check and compare hierarchies of caches."),
    "together": (
        "damsonstream.program.commands.together:together",
        "Play faults between several gateways.",
    ),
    "experiment": (
        "damsonstream.program.commands.experiment:experiment",
        "Play fleets in virtual time and compare.",
    ),
    "console": ("damsonstream.program.commands.console:console", "Watch a fleet by its records."),
    "completion": (
        "damsonstream.program.commands.completion:completion",
        "Print a shell's completion script.",
    ),
}
GATEWAY = {
    "serve": "Run one gateway in the foreground.",
    "check-config": "Read a gateway's configuration and say what it holds.",
    "version": "Print the version.",
}


class Lazy(click.Group):
    """Commands by name; a module is loaded once its command is used."""

    def list_commands(self, context: click.Context) -> list[str]:
        return [*GATEWAY, *(name for name, (where, _) in COMMANDS.items() if there(where))]

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name in GATEWAY:
            return passed_on(name)
        if name not in COMMANDS:
            return None
        where = COMMANDS[name][0]
        module, _, attribute = where.partition(":")
        command = getattr(importlib.import_module(module), attribute)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        """The lines of help stand here: `--help` loads no tool."""
        with formatter.section("Gateway"):
            formatter.write_dl(list(GATEWAY.items()))
        with formatter.section("Tools"):
            formatter.write_dl([(name, text) for name, (where, text) in COMMANDS.items() if there(where)])


def there(where: str) -> bool:
    return importlib.util.find_spec(where.partition(":")[0]) is not None


def passed_on(name: str) -> click.Command:
    """A command of the gateway's own, which parses its arguments itself."""

    @click.command(
        name, help=GATEWAY[name], add_help_option=False,
        context_settings={"ignore_unknown_options": True, "allow_extra_args": True},
    )  # fmt: skip
    @click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
    def command(arguments: tuple[str, ...]) -> None:
        sys.exit(own.run([name, *arguments]))

    return command


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(__version__, message="damsonstream %(version)s")
def damsonstream() -> None:
    """A gateway before tiers of caches, and the tools around it.

    Start with `damsonstream demo`: a small fleet on this machine, with its records and a report of what
    happened.
    """


def run(arguments: list[str]) -> int:
    try:
        ended = damsonstream.main(arguments, prog_name="damsonstream", standalone_mode=False)
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
    return ended if isinstance(ended, int) else 0
