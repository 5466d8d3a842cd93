"""Renders a topology as text and as SVG. No files are written.

`tree(topology)` returns lines, from the vault down; `svg(topology)` a drawing with zones as columns and tiers
as rows; `loss_svg(forecast)` a chart of where fills go when zones are lost (tiers/loss.py).
"""

from __future__ import annotations

from damsonstream.incident.describe import plain
from damsonstream.tiers.hierarchy import Topology
from damsonstream.tiers.loss import LossForecast


def tree(topology: Topology) -> list[str]:
    """Lists each node below its preferred source, with its other sources beside it."""
    children: dict[str, list[str]] = {}
    for name in sorted(topology.nodes):
        sources = topology.nodes[name].sources
        children.setdefault(sources[0] if sources else "", []).append(name)
    lines = [f"revision {topology.revision}, {len(topology.nodes)} nodes, vault cap "
            f"{f'{topology.vault_cap:g}/s' if topology.vault_cap else 'none'}"]  # fmt: skip

    def add(name: str, indent: str, last: bool, seen: frozenset[str]) -> None:
        node = topology.nodes[name]
        other = f", then {', '.join(plain(s, 24) for s in node.sources[1:])}" if len(node.sources) > 1 else ""
        capacity = f", capacity {node.capacity:g}/s" if node.capacity else ""
        lines.append(
            f"{indent}{'`-' if last else '|-'} {plain(name, 32)} "
            f"({node.role} in {plain(node.zone, 24)}{capacity}{other})"
        )
        below = children.get(name, [])
        for index, child in enumerate(below):
            if child not in seen:
                add(child, indent + ("   " if last else "|  "), index == len(below) - 1, seen | {child})

    roots = children.get("", [])
    for index, root in enumerate(roots):
        add(root, "", index == len(roots) - 1, frozenset({root}))
    for name in sorted(topology.zones):
        zone = topology.zones[name]
        lines.append(
            f"zone {plain(name, 24)}: spills to {', '.join(zone.prefers) or 'nowhere'}, "
            f"takes {zone.takes:.0%} "
            f"of its hubs' capacity, gives {zone.gives:.0%}"
        )
    return lines


def svg(topology: Topology) -> str:
    """Draws the topology; solid arrows point to preferred sources, dashed ones to the others."""
    from matplotlib.figure import Figure

    from damsonstream.report.charts import PALETTE
    from damsonstream.report.charts import svg as render_svg

    zones = sorted({node.zone for node in topology.nodes.values()})
    positions: dict[str, tuple[float, float]] = {}
    rows: dict[tuple[int, str], list[str]] = {}
    for name in sorted(topology.nodes):
        rows.setdefault((max(0, topology.tier(name)), topology.nodes[name].zone), []).append(name)
    columns = {
        zone: max([len(names) for (_, z), names in rows.items() if z == zone], default=1) for zone in zones
    }
    left = 0.0
    for zone in zones:
        for (tier, where), names in rows.items():
            if where == zone:
                for index, name in enumerate(names):
                    positions[name] = (left + (index + 0.5) * columns[zone] / len(names), -float(tier))
        left += columns[zone] + 0.6
    figure = Figure(
        figsize=(max(6.0, min(20.0, 1.1 * left)), 1.2 + 1.1 * (1 + max((t for t, _ in rows), default=0)))
    )
    axes = figure.add_axes((0.01, 0.02, 0.98, 0.96))
    axes.set_axis_off()
    for a, b in topology.edges():
        if a in positions and b in positions:
            first = topology.nodes[a].sources[0] == b
            axes.annotate(
                "",
                positions[b],
                positions[a],
                arrowprops={
                    "arrowstyle": "-|>",
                    "color": "#5b6672" if first else "#c3cad2",
                    "lw": 1.3 if first else 0.8,
                    "shrinkA": 14,
                    "shrinkB": 14,
                    "linestyle": "-" if first else "--",
                },
            )
    for name, (x, y) in positions.items():
        node = topology.nodes[name]
        axes.text(
            x,
            y,
            plain(name, 18),
            ha="center",
            va="center",
            fontsize=9,
            color="white",
            bbox={
                "boxstyle": "round,pad=0.4",
                "fc": PALETTE[zones.index(node.zone) % len(PALETTE)],
                "ec": "none",
            },
        )
    axes.set_xlim(-0.4, left)
    axes.set_ylim(-0.5 - max((t for t, _ in rows), default=0), 0.5)
    return render_svg(figure, f"Tiers, revision {topology.revision}")


def loss_svg(forecast: LossForecast) -> str:
    """Draws each zone's own fills and where those of the lost zones go."""
    from matplotlib.figure import Figure

    from damsonstream.report.charts import PALETTE
    from damsonstream.report.charts import svg as render_svg

    zones = sorted(forecast.asked)
    figure = Figure(figsize=(max(5.0, 1.3 * len(zones) + 2), 3.4), layout="constrained")
    axes = figure.subplots()
    own_fills = [0.0 if zone in forecast.zones else forecast.asked[zone] for zone in zones]
    axes.bar(zones, own_fills, color="#c3cad2", label="its own caches")
    bottom = dict(zip(zones, own_fills, strict=True))
    for number, home in enumerate(sorted({home for home, _ in forecast.spilt})):
        into = [forecast.spilt.get((home, zone), 0.0) for zone in zones]
        axes.bar(zones, into, bottom=[bottom[zone] for zone in zones], color=PALETTE[number % len(PALETTE)],
                 label=f"from {plain(home, 18)}")  # fmt: skip
        for zone, fills in zip(zones, into, strict=True):
            bottom[zone] += fills
    for index, zone in enumerate(zones):
        if zone in forecast.limits:
            top = forecast.asked[zone] + forecast.limits[zone]
            axes.plot([index - 0.4, index + 0.4], [top, top], color="#b03a2e", lw=1.2)
    axes.set_ylabel("fills per second")
    title = (
        f"Lost: {', '.join(forecast.zones)}; vault {forecast.vault:g}; "
        f"no source {sum(forecast.held_back.values()):g}"
    )
    axes.set_title(title, fontsize=9)
    axes.legend(fontsize=7)
    return render_svg(figure, title)
