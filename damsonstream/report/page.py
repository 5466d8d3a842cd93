"""Renders the report of an incident as one self-contained HTML page, without scripts or external links.

Usage: `page(incident)` returns the page. The template library (Jinja2) escapes all texts, and
`incident.words.plain` replaces unprintable characters in names.
"""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

from jinja2 import Environment, PackageLoader, StrictUndefined
from markupsafe import Markup

from damsonstream import __version__
from damsonstream.incident.analysis import Incident, summary
from damsonstream.incident.describe import plain
from damsonstream.report import charts

S = 10_000  # ticks of 0.1 ms per second


def clock(at: int) -> str:
    """Formats a time of day in UTC, to hundredths of a second."""
    return datetime.fromtimestamp(at / S, UTC).strftime("%H:%M:%S.%f")[:-4]


def day(at: int) -> str:
    """Formats a date and time in UTC."""
    return datetime.fromtimestamp(at / S, UTC).strftime("%Y-%m-%d %H:%M:%S")


def share(part: float, whole: float) -> str:
    """Formats a share as a percentage, or "-" if there is no total."""
    return f"{100 * part / whole:.1f}%" if whole else "-"


def about(value: float) -> str:
    """Formats a number, with one decimal if it is a small fraction."""
    return f"{value:,.0f}" if value >= 10 or value == int(value) else f"{value:.1f}"


def page(incident: Incident, title: str = "Incident report") -> str:
    """Returns the page; the names of the template's variables are those of `render` below."""
    report = summary(incident)
    start, end = incident.span
    environment = Environment(
        loader=PackageLoader("damsonstream.report", "."), autoescape=True, undefined=StrictUndefined,
        trim_blocks=True, lstrip_blocks=True,
    )  # fmt: skip
    environment.filters.update(plain=plain, clock=clock, about=about)
    services = report["services"].values()
    sums = {name: sum(one[name] for one in services) for name in
            ("taken", "returned", "late", "shed", "errored", "left", "due", "earned")}  # fmt: skip
    drawn: dict[str, Any] = {name: Markup(text) for name, text in charts.all_charts(incident).items()}
    return environment.get_template("page.html").render(
        title=title,
        version=__version__,
        incident=incident,
        told=report,
        start=start,
        end=end,
        day=day,
        share=share,
        sums=sums,
        charts=drawn,
        kinds=charts.kinds(incident.phases),
        colours=charts.COLOURS,
        long=(end - start) / S,
        since=lambda at: f"{(at - start) / S:.2f}",
        turned=sum(incident.turned.values()),
    )
