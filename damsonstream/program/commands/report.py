"""`damsonstream report`: reconstructs an incident from records, as an HTML page or as JSON."""

from __future__ import annotations

import json
import os
import tempfile
from pathlib import Path

import click

from damsonstream.incident import analysis as reading
from damsonstream.incident.analysis import Incident


def write_atomically(path: Path, text: str) -> None:
    """Writes a file atomically, because a truncated report would look like a complete one."""
    handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "w", encoding="utf-8") as stream:
            stream.write(text)
            stream.flush()
            os.fsync(stream.fileno())
        os.chmod(name, 0o644)
        os.replace(name, path)
    except BaseException:
        Path(name).unlink(missing_ok=True)
        raise


def render(incident: Incident, form: str, title: str = "Incident report") -> str:
    """Returns the report in the format `form`: "html" or "json"."""
    if form == "json":
        return json.dumps(reading.summary(incident), indent=1) + "\n"
    from damsonstream.report.page import page  # importing the charts takes a second

    return page(incident, title)


@click.command()
@click.argument("records", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option(
    "-o", "--output", type=click.Path(path_type=Path, dir_okay=False), help="Default: standard output."
)
@click.option("--format", "form", type=click.Choice(["html", "json"]), default="html", show_default=True)
@click.option("--gateway", "gateways", multiple=True, help="Only this gateway; may be given several times.")
@click.option("--title", default="Incident report", show_default=True)
@click.option(
    "--live", is_flag=True, help="Gateways may still be writing: GETs open at the end are not lost."
)
def report(
    records: Path, output: Path | None, form: str, gateways: tuple[str, ...], title: str, live: bool
) -> int:
    """Report what happened, from the records in the folder RECORDS.

    Exit code 0 if every GET is accounted for and no rule is proved broken, else 1; 2 if there are no records.
    """
    incident = reading.analyze(records, gateways, live)
    if not incident.boots:
        click.echo(f"{records} contains no records{' of these gateways' if gateways else ''}.", err=True)
        return 2
    text = render(incident, form, title)
    if output is None:
        click.echo(text, nl=False)
    else:
        try:
            write_atomically(output, text)
        except OSError as fault:
            click.echo(f"{output} can't be written: {fault.strerror}", err=True)
            return 2
        click.echo(f"{output}: {incident.records} records of {len(incident.names)} gateways, "
                   f"{len(incident.phases)} phases, read in {incident.seconds:.1f} s", err=True)  # fmt: skip
    return 0 if incident.complete and not any(rule.broken for rule in incident.rules) else 1
