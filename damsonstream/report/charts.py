"""Draws the charts of an incident as SVG to be embedded in an HTML page. Writes no files.

Usage: each chart function takes an `Incident` and returns SVG text, drawn by matplotlib. Times are seconds
since the start of the incident. Labels remain text in the SVG, so that the page can be searched
and printed.
"""

from __future__ import annotations

import io
from collections.abc import Iterable
from typing import Any

import matplotlib

from damsonstream.incident.analysis import Incident
from damsonstream.incident.describe import plain
from damsonstream.incident.phases import Phase

matplotlib.use("svg")
matplotlib.rcParams.update(
    {
        "svg.fonttype": "none",
        "svg.hashsalt": "damsonstream",
        "text.parse_math": False,
        "font.family": "sans-serif",
        "font.sans-serif": ["Inter", "Segoe UI", "Helvetica Neue", "Arial", "DejaVu Sans", "sans-serif"],
        "font.size": 9.5,
        "axes.spines.top": False,
        "axes.spines.right": False,
        "axes.edgecolor": "#9aa3ad",
        "axes.labelcolor": "#3d4752",
        "xtick.color": "#3d4752",
        "ytick.color": "#3d4752",
        "axes.axisbelow": True,
        "axes.grid": True,
        "grid.color": "#e6e9ed",
        "legend.frameon": False,
    }
)
from matplotlib.figure import Figure  # noqa: E402  (the backend must be selected before this import)

S = 10_000  # ticks of 0.1 ms per second
WIDTH_INCHES = 10.4
COLOURS = {
    "purge": "#7b5ea7",
    "drain": "#5b8db8",
    "slow-source": "#e9a03b",
    "failing": "#c8553d",
    "open": "#b33951",
    "half-open": "#e3a5b0",
    "overload": "#f2843c",
    "restart": "#3d4752",
    "gap": "#8d99ae",
    "peers": "#2a6f97",
    "zone": "#1f7a6d",
    "recovery": "#4f9d69",
}
OUTCOMES = (
    ("in time", "#3c8d9e"),
    ("late", "#e9c46a"),
    ("shed", "#f2843c"),
    ("errored", "#b33951"),
    ("left", "#8d99ae"),
)
PALETTE = ("#3c8d9e", "#7b5ea7", "#e9a03b", "#c8553d", "#4f9d69", "#3d4752")
MAX_ROWS = 24  # more rows of a timeline are not readable


def figure(height: float) -> tuple[Figure, Any]:
    """Returns a figure of this height in inches, and its axes."""
    drawing = Figure(figsize=(WIDTH_INCHES, height), layout="constrained")
    return drawing, drawing.subplots()


def plain_tick_labels(*axes: Any) -> None:
    """Formats the tick labels as plain text, because the parsing of formulas is switched off.

    It is off because names may contain characters that matplotlib would read as a formula.
    """
    for one in axes:
        one.set_major_formatter(lambda value, _: short(value))


def short(value: float) -> str:
    """Formats a number with the unit prefix G, M or k."""
    for limit, unit in ((1e9, "G"), (1e6, "M"), (1e3, "k")):
        if value >= limit:
            return f"{value / limit:g}{unit}"
    return f"{value:g}"


def svg(drawing: Figure, title: str) -> str:
    """Returns the figure as an SVG element."""
    out = io.StringIO()
    drawing.savefig(out, format="svg", metadata={"Date": None, "Creator": None, "Title": plain(title)})
    text = out.getvalue()
    return text[text.index("<svg") :]


def since(incident: Incident) -> Any:
    """Returns a function that converts a fleet time to seconds since the start of the incident."""
    start = incident.span[0]
    return lambda at: (at - start) / S


def axis(incident: Incident, axes: Any) -> None:
    """Sets up the time axis."""
    start, end = incident.span
    axes.set_xlim(0, max(1.0, (end - start) / S))
    axes.set_xlabel("seconds since the start")


def timeline(incident: Incident) -> str:
    """Draws phases as bars, and a row for each gateway that shows its boots and gaps."""
    at = since(incident)
    rows: list[tuple[str, list[Phase]]] = []
    for phase in incident.phases:
        if phase.kind in ("gap", "restart"):
            continue
        label = f"{phase.kind}: {plain(phase.subject, 34)}" if phase.subject != "fleet" else phase.kind
        same_row = next((found for name, found in rows if name == label), None)
        if same_row is None:
            rows.append((label, [phase]))
        else:
            same_row.append(phase)
    hidden = max(0, len(rows) - MAX_ROWS)
    rows = rows[:MAX_ROWS]
    gateways = sorted({boot.gateway for boot in incident.boots})[:MAX_ROWS]
    drawing, axes = figure(0.9 + 0.3 * (len(rows) + len(gateways)))
    # Bars have a minimum length, so that phases without duration are visible too.
    min_length = max(0.15, (incident.span[1] - incident.span[0]) / S / 300)
    labels = []
    for row, (label, phases) in enumerate(rows):
        labels.append(label)
        for phase in phases:
            length = max(min_length, at(phase.end) - at(phase.start))
            axes.barh(row, length, left=at(phase.start), height=0.62, color=COLOURS[phase.kind],
                      hatch="//" if phase.open else None, edgecolor="white", linewidth=0.5)  # fmt: skip
    for index, name in enumerate(gateways):
        row = len(rows) + index
        labels.append(f"gateway {plain(name, 34)}")
        for boot in incident.boots:
            if boot.gateway != name or not boot.records:
                continue
            start, end = (at(incident.clocks.fleet(boot.gateway_boot, t)) for t in (boot.first, boot.last))
            axes.barh(row, max(min_length, end - start), left=start, height=0.4, color="#a9c7b2")
            axes.text(
                start + min_length, row, f"boot {boot.number}", va="center", fontsize=7.5, color="#274233"
            )
        for phase in incident.phases:
            if phase.kind in ("gap", "restart") and phase.subject == f"gateway {name}":
                length = max(min_length, at(phase.end) - at(phase.start))
                axes.barh(row, length, left=at(phase.start), height=0.62, facecolor="white", hatch="xxx",
                          edgecolor="#b33951", linewidth=0.8)  # fmt: skip
    axes.set_yticks(range(len(labels)), labels)
    axes.set_ylim(len(labels) - 0.4, -0.6)
    axes.grid(axis="y", visible=False)
    axis(incident, axes)
    if hidden:
        axes.set_title(f"{hidden} more rows are in the table", fontsize=8.5, loc="right")
    return svg(drawing, "Phases and gateways over time")


def rates(incident: Incident) -> str:
    """Draws GETs per second by outcome, stacked."""
    watch, at = incident.detector, since(incident)
    names, width = ("", *watch.services), watch.rates.width / S
    sums: dict[str, list[float]] = {}
    times: list[float] = []
    for outcome in ("returned", "late", "shed", "errored", "left"):
        series = [watch.rates.series((outcome, name)) for name in names]
        times = [at(t) for t, _ in series[0]]
        sums[outcome] = [
            sum(values) / width for values in zip(*([v for _, v in one] for one in series), strict=True)
        ]
    sums["in time"] = [a - b for a, b in zip(sums["returned"], sums["late"], strict=True)]
    drawing, axes = figure(2.7)
    if times:
        stacked = [sums[name] for name, _ in OUTCOMES]
        axes.stackplot([t + width / 2 for t in times], *stacked, labels=[name for name, _ in OUTCOMES],
                       colors=[colour for _, colour in OUTCOMES], linewidth=0)  # fmt: skip
    axes.set_ylabel("GETs per second")
    axes.set_ylim(bottom=0)
    axis(incident, axes)
    axes.legend(loc="upper center", bbox_to_anchor=(0.5, 1.16), ncols=5, fontsize=8.5)
    shade(incident, axes)
    return svg(drawing, "GETs per second by outcome")


def shade(incident: Incident, axes: Any) -> None:
    """Marks the times for which records of a gateway are missing, where the chart shows too little."""
    at = since(incident)
    for phase in incident.phases:
        if phase.kind in ("gap", "restart"):
            axes.axvspan(at(phase.start), at(phase.end), facecolor="none", hatch="xxx", edgecolor="#d9a1ab",
                         linewidth=0)  # fmt: skip


def latency(incident: Incident) -> str:
    """Draws the median and the 95th percentile of the latency of returned GETs, by delivery service."""
    watch, at = incident.detector, since(incident)
    drawing, axes = figure(2.7)
    for index, name in enumerate(list(watch.services)[: len(PALETTE)]):
        for share, style in ((0.5, "-"), (0.95, ":")):
            points = list(watch.latencies.series(name, share))
            if points:
                axes.plot([at(t) for t, _ in points], [v for _, v in points], style, color=PALETTE[index],
                          linewidth=1.6 if style == "-" else 1.3,
                          label=f"{plain(name, 24)} {'median' if style == '-' else 'p95'}")  # fmt: skip
    axes.set_yscale("log")
    plain_tick_labels(axes.yaxis)
    axes.set_ylabel("milliseconds")
    axis(incident, axes)
    shade(incident, axes)
    if axes.lines:
        axes.legend(loc="upper center", bbox_to_anchor=(0.5, 1.26), ncols=3, fontsize=8)
    return svg(drawing, "Latency to the final answer")


def sources(incident: Incident) -> str:
    """Draws the median time to first byte of fills, by source."""
    watch, at = incident.detector, since(incident)
    drawing, axes = figure(2.5)
    for index, node in enumerate(sorted(watch.source_latencies.histograms)[: len(PALETTE)]):
        points = list(watch.source_latencies.series(node, 0.5))
        axes.plot(
            [at(t) for t, _ in points],
            [v for _, v in points],
            color=PALETTE[index],
            linewidth=1.4,
            marker=".",
            markersize=3,
            label=f"{watch.roles.get(node, '')} {plain(node, 24)}",
        )
    axes.set_yscale("log")
    plain_tick_labels(axes.yaxis)
    axes.set_ylabel("time to first byte, ms")
    axis(incident, axes)
    if axes.lines:
        axes.legend(loc="upper center", bbox_to_anchor=(0.5, 1.18), ncols=4, fontsize=8)
    return svg(drawing, "Time to first byte of fills by source")


def breakers(incident: Incident) -> str:
    """Draws the states of all breakers that changed, with a row for each gateway and node."""
    watch, at = incident.detector, since(incident)
    ends = {b.gateway_boot: incident.clocks.fleet(b.gateway_boot, b.last) for b in incident.boots}
    rows: dict[tuple[str, int, str], list[Any]] = {}
    for change in sorted(watch.breaker_changes, key=lambda change: change.at):
        rows.setdefault((change.gateway, change.boot, change.record.node), []).append(change)
    shown = sorted(rows)[:MAX_ROWS]
    drawing, axes = figure(0.9 + 0.26 * max(1, len(shown)))
    for row, key in enumerate(shown):
        changes = rows[key]
        for change, following in zip(changes, [*changes[1:], None], strict=True):
            if change.record.state == "Closed":
                continue
            end = following.at if following else ends.get(key[:2], change.at)
            axes.barh(row, max(0.1, at(end) - at(change.at)), left=at(change.at), height=0.6,
                      color=COLOURS["open" if change.record.state == "Open" else "half-open"])  # fmt: skip
    labels = [f"{plain(g, 16)}: {watch.roles.get(node, '')} {plain(node, 24)}" for g, _, node in shown]
    axes.set_yticks(range(len(labels)), labels)
    axes.set_ylim(max(1, len(labels)) - 0.4, -0.6)
    axes.grid(axis="y", visible=False)
    axis(incident, axes)
    return svg(drawing, "Breakers that opened")


def all_charts(incident: Incident) -> dict[str, str]:
    """Returns the charts by name; charts without data are omitted."""
    drawn: dict[str, str] = {
        "timeline": timeline(incident),
        "rates": rates(incident),
        "latency": latency(incident),
    }
    if incident.detector.source_latencies.histograms:
        drawn["sources"] = sources(incident)
    if incident.detector.breaker_changes:
        drawn["breakers"] = breakers(incident)
    return {name: prefix_ids(text, name) for name, text in drawn.items()}


def prefix_ids(text: str, name: str) -> str:
    """Prefixes the ids of a chart with its name, because ids must be unique within the page."""
    for before, after in (
        ('id="', f'id="{name}-'),
        ('href="#', f'href="#{name}-'),
        ("url(#", f"url(#{name}-"),
    ):
        text = text.replace(before, after)
    return text


def kinds(phases: Iterable[Phase]) -> list[tuple[str, str]]:
    """Returns the kinds of the phases that occur, with their colours."""
    return [(kind, colour) for kind, colour in COLOURS.items() if any(phase.kind == kind for phase in phases)]
