"""A shape as lines of text, and as SVG. No files.

How it is called: `tree(shape)` gives lines, from the vault down; `svg(shape)` a drawing, zones as columns,
tiers as rows; `loss_svg(lost)` where the fills go when zones are lost (tiers/loss.py).
"""

from __future__ import annotations

from damsonstream.incident.words import plain
from damsonstream.tiers.loss import Lost
from damsonstream.tiers.shape import Shape


def tree(shape: Shape) -> list[str]:
    """Each node under the source that it prefers; other sources behind it."""
    under: dict[str, list[str]] = {}
    for name in sorted(shape.nodes):
        sources = shape.nodes[name].sources
        under.setdefault(sources[0] if sources else "", []).append(name)
    made = [f"revision {shape.revision}, {len(shape.nodes)} nodes, vault cap "
            f"{f'{shape.vault_cap:g} a second' if shape.vault_cap else 'none'}"]  # fmt: skip

    def go(name: str, lead: str, last: bool, seen: frozenset[str]) -> None:
        node = shape.nodes[name]
        other = f", then {', '.join(plain(s, 24) for s in node.sources[1:])}" if len(node.sources) > 1 else ""
        bears = f", bears {node.capacity:g} a second" if node.capacity else ""
        made.append(
            f"{lead}{'`-' if last else '|-'} {plain(name, 32)} "
            f"({node.role} in {plain(node.zone, 24)}{bears}{other})"
        )
        below = under.get(name, [])
        for place, one in enumerate(below):
            if one not in seen:
                go(one, lead + ("   " if last else "|  "), place == len(below) - 1, seen | {one})

    roots = under.get("", [])
    for place, root in enumerate(roots):
        go(root, "", place == len(roots) - 1, frozenset({root}))
    for name in sorted(shape.zones):
        zone = shape.zones[name]
        made.append(
            f"zone {plain(name, 24)}: spills to {', '.join(zone.prefers) or 'nowhere'}, "
            f"takes {zone.takes:.0%} "
            f"of what its hubs bear, gives {zone.gives:.0%}"
        )
    return made


def svg(shape: Shape) -> str:
    from matplotlib.figure import Figure

    from damsonstream.report.charts import LINES
    from damsonstream.report.charts import svg as written

    zones = sorted({node.zone for node in shape.nodes.values()})
    places: dict[str, tuple[float, float]] = {}
    rows: dict[tuple[int, str], list[str]] = {}
    for name in sorted(shape.nodes):
        rows.setdefault((max(0, shape.tier(name)), shape.nodes[name].zone), []).append(name)
    widest = {
        zone: max([len(names) for (_, z), names in rows.items() if z == zone], default=1) for zone in zones
    }
    left = 0.0
    for zone in zones:
        for (tier, where), names in rows.items():
            if where == zone:
                for place, name in enumerate(names):
                    places[name] = (left + (place + 0.5) * widest[zone] / len(names), -float(tier))
        left += widest[zone] + 0.6
    whole = Figure(
        figsize=(max(6.0, min(20.0, 1.1 * left)), 1.2 + 1.1 * (1 + max((t for t, _ in rows), default=0)))
    )
    axes = whole.add_axes((0.01, 0.02, 0.98, 0.96))
    axes.set_axis_off()
    for a, b in shape.edges():
        if a in places and b in places:
            first = shape.nodes[a].sources[0] == b
            axes.annotate(
                "",
                places[b],
                places[a],
                arrowprops={
                    "arrowstyle": "-|>",
                    "color": "#5b6672" if first else "#c3cad2",
                    "lw": 1.3 if first else 0.8,
                    "shrinkA": 14,
                    "shrinkB": 14,
                    "linestyle": "-" if first else "--",
                },
            )
    for name, (x, y) in places.items():
        node = shape.nodes[name]
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
                "fc": LINES[zones.index(node.zone) % len(LINES)],
                "ec": "none",
            },
        )
    axes.set_xlim(-0.4, left)
    axes.set_ylim(-0.5 - max((t for t, _ in rows), default=0), 0.5)
    return written(whole, f"Tiers, revision {shape.revision}")


def loss_svg(lost: Lost) -> str:
    """Each zone's own fills, and where those of the lost ones go."""
    from matplotlib.figure import Figure

    from damsonstream.report.charts import LINES
    from damsonstream.report.charts import svg as written

    zones = sorted(lost.asked)
    whole = Figure(figsize=(max(5.0, 1.3 * len(zones) + 2), 3.4), layout="constrained")
    axes = whole.subplots()
    own = [0.0 if zone in lost.zones else lost.asked[zone] for zone in zones]
    axes.bar(zones, own, color="#c3cad2", label="its own caches")
    bottom = dict(zip(zones, own, strict=True))
    for number, home in enumerate(sorted({home for home, _ in lost.spilt})):
        into = [lost.spilt.get((home, zone), 0.0) for zone in zones]
        axes.bar(zones, into, bottom=[bottom[zone] for zone in zones], color=LINES[number % len(LINES)],
                 label=f"from {plain(home, 18)}")  # fmt: skip
        for zone, fills in zip(zones, into, strict=True):
            bottom[zone] += fills
    for place, zone in enumerate(zones):
        if zone in lost.limits:
            top = lost.asked[zone] + lost.limits[zone]
            axes.plot([place - 0.4, place + 0.4], [top, top], color="#b03a2e", lw=1.2)
    axes.set_ylabel("fills a second")
    title = f"Lost: {', '.join(lost.zones)}; vault {lost.vault:g}; nowhere {sum(lost.held_back.values()):g}"
    axes.set_title(title, fontsize=9)
    axes.legend(fontsize=7)
    return written(whole, title)
