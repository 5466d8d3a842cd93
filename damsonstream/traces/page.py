"""Renders the statistics of a trace as one self-contained HTML page with tables and charts, without scripts.

Usage: `render_page(summary, stats)`, where `summary` is the object that `traces stats --json` prints. Charts
have the style of the incident report.
"""

from __future__ import annotations

from typing import Any

from jinja2 import Environment, PackageLoader, StrictUndefined
from markupsafe import Markup

from damsonstream.incident.describe import plain
from damsonstream.report.charts import PALETTE, figure, plain_tick_labels, prefix_ids, svg
from damsonstream.traces.stats import SIZE_BUCKETS_PER_DOUBLING, TraceStats


def rates(stats: TraceStats) -> str:
    """Draws GETs per second over time, as SVG."""
    drawing, axes = figure(2.4)
    points = stats.rate_series()
    if len(points) > 2000:  # about one bar for each pixel: the highest of its buckets
        step = len(points) // 1000
        points = [max(points[at : at + step], key=lambda p: p[1]) for at in range(0, len(points), step)]
    axes.fill_between(
        [t for t, _ in points],
        [n / stats.bucket_seconds for _, n in points],
        color=PALETTE[0],
        step="mid",
        alpha=0.85,
    )
    axes.set_xlabel("seconds since the start")
    axes.set_ylabel("GETs per second")
    axes.set_ylim(bottom=0)
    return svg(drawing, "GETs per second")


def popularity(stats: TraceStats, zipf: dict[str, float]) -> str:
    """Draws requests by rank of the object with the fitted Zipf law, as SVG."""
    drawing, axes = figure(2.8)
    points = stats.popularity()
    axes.loglog(
        [rank for rank, _ in points],
        [count for _, count in points],
        color=PALETTE[0],
        linewidth=1.8,
        label="counted",
    )
    if zipf and points:
        middle = points[len(points) // 3]
        line = [(rank, middle[1] * (rank / middle[0]) ** -zipf["alpha"]) for rank, _ in points]
        axes.loglog([r for r, _ in line], [c for _, c in line], "--", color=PALETTE[3], linewidth=1.2,
                    label=f"Zipf, alpha {zipf['alpha']:.2f}")  # fmt: skip
        axes.legend()
    plain_tick_labels(axes.xaxis, axes.yaxis)
    axes.set_xlabel("rank of the object")
    axes.set_ylabel("requests")
    return svg(drawing, "Popularity")


def misses(summary: dict[str, Any]) -> str:
    """Draws the miss ratio over the cache size, as SVG."""
    drawing, axes = figure(2.8)
    for index, (key, label) in enumerate((("by_objects", "cache size in objects"), ("by_bytes", "in bytes"))):
        curve = summary["miss_ratio"][key]
        axes.errorbar(
            [one["cache"] for one in curve],
            [one["misses"] for one in curve],
            yerr=[one["error"] for one in curve],
            color=PALETTE[index],
            marker=".",
            capsize=2,
            label=label,
        )
    axes.set_xscale("log")
    plain_tick_labels(axes.xaxis)
    axes.set_ylim(0, 1.02)
    axes.set_xlabel("cache size")
    axes.set_ylabel("miss ratio")
    axes.legend()
    return svg(drawing, "Miss ratio by cache size")


def sizes(stats: TraceStats) -> str:
    """Draws the histogram of object sizes, as SVG."""
    drawing, axes = figure(2.4)
    filled = [bucket for bucket, count in enumerate(stats.sizes.tolist()) if count]
    if filled:
        low, high = filled[0], filled[-1] + 1
        axes.bar(
            [2 ** (bucket / SIZE_BUCKETS_PER_DOUBLING) for bucket in range(low, high)],
            stats.sizes[low:high],
            width=[
                2 ** ((bucket + 1) / SIZE_BUCKETS_PER_DOUBLING) - 2 ** (bucket / SIZE_BUCKETS_PER_DOUBLING)
                for bucket in range(low, high)
            ],
            align="edge",
            color=PALETTE[1],
        )
        axes.set_xscale("log")
        plain_tick_labels(axes.xaxis)
    axes.set_xlabel("bytes")
    axes.set_ylabel("GETs")
    return svg(drawing, "Sizes")


def render_page(summary: dict[str, Any], stats: TraceStats) -> str:
    """Returns the HTML page."""
    stats_summary = summary["stats"]
    charts = {
        "rates": rates(stats),
        "popularity": popularity(stats, stats_summary["objects"]["zipf"]),
        "misses": misses(stats_summary),
        "sizes": sizes(stats),
    }
    environment = Environment(loader=PackageLoader("damsonstream.traces", "."), autoescape=True,
                              undefined=StrictUndefined, trim_blocks=True, lstrip_blocks=True)  # fmt: skip
    environment.filters["plain"] = plain
    # `whole` and `told` are the names of the template's variables
    return environment.get_template("page.html").render(
        whole=summary,
        told=stats_summary,
        charts={name: Markup(prefix_ids(text, name)) for name, text in charts.items()},
    )
