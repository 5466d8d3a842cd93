"""Renders an experiment's result as an HTML page and as CSV. Reads and writes no files.

Usage: `html(result)` and `csv_text(result)`; a `Result` is what `experiment run --json` writes.
"""

from __future__ import annotations

import csv
import io
from statistics import fmean

import msgspec
from jinja2 import Environment

from damsonstream.emulator.study import Comparison, Outcome


class Result(msgspec.Struct):
    """The result of an experiment, as `experiment run --json` writes it."""

    experiment: str
    about: str
    code: str  # fingerprint of the code that was run
    digest: str
    measures: list[str]  # titles, in the order of `Outcome.figures`
    outcomes: list[Outcome]
    pairs: list[Comparison]


PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{ r.experiment }}</title>
<style>body{font:15px/1.45 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}
td:first-child,th:first-child{text-align:left}
.better{color:#175c2c}.worse{color:#9c1c1c}svg{max-width:100%;height:auto}</style>
<h1>{{ r.experiment }}</h1><p>{{ r.about }}</p>
<p>Emulated, in virtual time. {{ r.outcomes|length }} runs, code {{ r.code }}, digest {{ r.digest }}.</p>
{% for chart in charts %}{{ chart }}{% endfor %}
<h2>Comparisons, paired by seed</h2>
<table><tr><th>measure</th><th>shops</th><th>policy</th><th>mean</th><th>against</th><th>mean</th>
<th>difference</th><th>95%</th><th>seeds</th><th>verdict</th></tr>
{% for p in r.pairs %}<tr><td>{{ p.measure }}</td><td>{{ p.shops }}</td><td>{{ p.policy }}</td>
<td>{{ "%.4g"|format(p.mean) }}</td><td>{{ p.against }}</td><td>{{ "%.4g"|format(p.base) }}</td>
<td>{{ "%+.4g"|format(p.difference) }}</td><td>{{ "%+.3g to %+.3g"|format(p.low, p.high) }}</td>
<td>{{ p.pairs }}</td>
<td class="{{ p.verdict }}">{{ p.verdict }}</td></tr>
{% endfor %}</table></html>
"""


def means(result: Result, index: int) -> dict[str, list[tuple[int, float]]]:
    """Returns, for each policy, each size with the mean of a measure over all seeds."""
    figures: dict[str, dict[int, list[float]]] = {}
    for one in result.outcomes:
        figures.setdefault(one.policy, {}).setdefault(one.shops, []).append(one.figures[index])
    return {policy: [(shops, fmean(values)) for shops, values in sorted(by_shops.items())]
            for policy, by_shops in figures.items()}  # fmt: skip


def chart(result: Result, index: int) -> str:
    """Returns an SVG of a measure: means by size, or for a single size the mean and all seeds by policy."""
    from matplotlib.figure import Figure

    from damsonstream.report.charts import PALETTE, svg

    figure = Figure(figsize=(8, 3.2), layout="constrained")
    axes = figure.subplots()
    sizes = sorted({one.shops for one in result.outcomes})
    for number, (policy, points) in enumerate(means(result, index).items()):
        colour = PALETTE[number % len(PALETTE)]
        if len(sizes) > 1:
            axes.plot([x for x, _ in points], [y for _, y in points], marker="o", color=colour, label=policy)
            axes.set_xscale("log", base=2)
            axes.set_xlabel("shops")
        else:
            seeds = [one.figures[index] for one in result.outcomes if one.policy == policy]
            axes.plot([number] * len(seeds), seeds, "o", color=colour, alpha=0.4)
            axes.plot([number], [points[0][1]], "_", color=colour, markersize=28, label=policy)
            axes.set_xticks([])
    axes.set_title(result.measures[index], fontsize=10)
    axes.legend(fontsize=8, frameon=False)
    return svg(figure, result.measures[index])


def html(result: Result) -> str:
    charts = [chart(result, index) for index in range(len(result.measures))]
    page = Environment(autoescape=True).from_string(PAGE_TEMPLATE)
    from markupsafe import Markup

    return page.render(r=result, charts=[Markup(text) for text in charts])


def csv_text(result: Result) -> str:
    """Returns a header and a row for each run."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(["shops", "policy", "seed", *result.measures, "gets", "faults", "digest"])
    for one in result.outcomes:
        writer.writerow([one.shops, one.policy, one.seed, *one.figures, one.gets, one.faults, one.digest])
    return output.getvalue()
