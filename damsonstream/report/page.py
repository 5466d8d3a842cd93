"""The report of an incident as one HTML page that needs nothing else: no scripts, no links to elsewhere.

How it is called: `page(incident)` returns the page. Texts are escaped by the template library (Jinja2), names
are made printable by `incident.words.plain`.
"""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

from jinja2 import Environment, PackageLoader, StrictUndefined
from markupsafe import Markup

from damsonstream import __version__
from damsonstream.incident.gather import Incident, summary
from damsonstream.incident.words import plain
from damsonstream.report import charts

S = 10_000


def clock(at: int) -> str:
    return datetime.fromtimestamp(at / S, UTC).strftime("%H:%M:%S.%f")[:-4]


def day(at: int) -> str:
    return datetime.fromtimestamp(at / S, UTC).strftime("%Y-%m-%d %H:%M:%S")


def share(part: float, whole: float) -> str:
    return f"{100 * part / whole:.1f}%" if whole else "-"


def about(value: float) -> str:
    return f"{value:,.0f}" if value >= 10 or value == int(value) else f"{value:.1f}"


def page(incident: Incident, title: str = "Incident report") -> str:
    told = summary(incident)
    start, end = incident.span
    environment = Environment(
        loader=PackageLoader("damsonstream.report", "."), autoescape=True, undefined=StrictUndefined,
        trim_blocks=True, lstrip_blocks=True,
    )  # fmt: skip
    environment.filters.update(plain=plain, clock=clock, about=about)
    services = told["services"].values()
    sums = {name: sum(one[name] for one in services) for name in
            ("taken", "returned", "late", "shed", "errored", "left", "due", "earned")}  # fmt: skip
    drawn: dict[str, Any] = {name: Markup(text) for name, text in charts.all_charts(incident).items()}
    return environment.get_template("page.html").render(
        title=title,
        version=__version__,
        incident=incident,
        told=told,
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
