"""What a trace is like, as one HTML page with tables and charts: no scripts, nothing from elsewhere.

How it is called: `page(whole, stats)`, where `whole` is what `traces stats --json` prints. Charts are drawn
as those of the incident report.
"""

from __future__ import annotations

from typing import Any

from jinja2 import Environment, PackageLoader, StrictUndefined
from markupsafe import Markup

from damsonstream.incident.words import plain
from damsonstream.report.charts import LINES, figure, logarithmic, own_ids, svg
from damsonstream.traces.stats import SIZES, Stats


def rates(stats: Stats) -> str:
    whole, axes = figure(2.4)
    points = stats.series()
    if len(points) > 2000:  # a pixel's worth of seconds: the highest of them
        step = len(points) // 1000
        points = [max(points[at : at + step], key=lambda p: p[1]) for at in range(0, len(points), step)]
    axes.fill_between(
        [t for t, _ in points], [n / stats.width for _, n in points], color=LINES[0], step="mid", alpha=0.85
    )
    axes.set_xlabel("seconds since the start")
    axes.set_ylabel("GETs a second")
    axes.set_ylim(bottom=0)
    return svg(whole, "GETs a second")


def popularity(stats: Stats, zipf: dict[str, float]) -> str:
    whole, axes = figure(2.8)
    points = stats.popularity()
    axes.loglog(
        [rank for rank, _ in points],
        [count for _, count in points],
        color=LINES[0],
        linewidth=1.8,
        label="counted",
    )
    if zipf and points:
        middle = points[len(points) // 3]
        line = [(rank, middle[1] * (rank / middle[0]) ** -zipf["alpha"]) for rank, _ in points]
        axes.loglog([r for r, _ in line], [c for _, c in line], "--", color=LINES[3], linewidth=1.2,
                    label=f"Zipf, alpha {zipf['alpha']:.2f}")  # fmt: skip
        axes.legend()
    logarithmic(axes.xaxis, axes.yaxis)
    axes.set_xlabel("rank of the object")
    axes.set_ylabel("times wanted")
    return svg(whole, "Popularity")


def misses(told: dict[str, Any]) -> str:
    whole, axes = figure(2.8)
    for place, (key, label) in enumerate((("by_objects", "cache size in objects"), ("by_bytes", "in bytes"))):
        curve = told["miss_ratio"][key]
        axes.errorbar(
            [one["cache"] for one in curve],
            [one["misses"] for one in curve],
            yerr=[one["error"] for one in curve],
            color=LINES[place],
            marker=".",
            capsize=2,
            label=label,
        )
    axes.set_xscale("log")
    logarithmic(axes.xaxis)
    axes.set_ylim(0, 1.02)
    axes.set_xlabel("cache size")
    axes.set_ylabel("miss ratio")
    axes.legend()
    return svg(whole, "Miss ratio by cache size")


def sizes(stats: Stats) -> str:
    whole, axes = figure(2.4)
    filled = [place for place, count in enumerate(stats.sizes.tolist()) if count]
    if filled:
        low, high = filled[0], filled[-1] + 1
        axes.bar(
            [2 ** (place / SIZES) for place in range(low, high)],
            stats.sizes[low:high],
            width=[2 ** ((place + 1) / SIZES) - 2 ** (place / SIZES) for place in range(low, high)],
            align="edge",
            color=LINES[1],
        )
        axes.set_xscale("log")
        logarithmic(axes.xaxis)
    axes.set_xlabel("bytes")
    axes.set_ylabel("GETs")
    return svg(whole, "Sizes")


def page(whole: dict[str, Any], stats: Stats) -> str:
    told = whole["stats"]
    drawn = {
        "rates": rates(stats),
        "popularity": popularity(stats, told["objects"]["zipf"]),
        "misses": misses(told),
        "sizes": sizes(stats),
    }
    environment = Environment(loader=PackageLoader("damsonstream.traces", "."), autoescape=True,
                              undefined=StrictUndefined, trim_blocks=True, lstrip_blocks=True)  # fmt: skip
    environment.filters["plain"] = plain
    return environment.get_template("page.html").render(
        whole=whole, told=told, charts={name: Markup(own_ids(text, name)) for name, text in drawn.items()}
    )
