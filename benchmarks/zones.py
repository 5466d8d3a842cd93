"""Benchmarks fleets that lose a zone, in virtual time with the modules of normal service: a table and a
chart.

Usage: `python -P benchmarks/zones.py [--most 200] [--out FOLDER]`. The hubs of a zone are gone from 8 s to 18
s of a run of 50 s. Baselines: each gateway by itself, the file's order without limits, and no spill at all.
The figures come from emulation, not from a test bench or a real fleet.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

sys.path.append(".")
from damsonstream.tiers.zones import LOST, WELL
from damsonstream.virtual.links import S, links_with_fault
from damsonstream.virtual.zones import MODES, ZoneFleet

FAULTS = ("calm", "lost 30%", "late 5 s", "split")
MEANING = """agree: seconds from the first gateway that holds the loss until 99% hold it; spill: highest spill into a zone in
a second, over its limit; near: share of fills before the loss that stay in their zone; nowhere: share of fills without
a source during the loss; cold: most fills in one of the first four seconds after the hubs return, over the usual rate;
whole: seconds from the return of the hubs until all gateways hold Well; changes: status changes of one gateway"""  # noqa: E501
NAMES = ("agree", "spill", "near", "nowhere", "cold", "whole", "changes")


def measure(count: int, zones: int, seed: int, how: str, fault: str) -> dict[str, float]:
    """Runs one fleet through the loss and returns its figures by name."""
    fleet = ZoneFleet(count, zones, seed, how, links_with_fault(fault, seed))
    fleet.run_until(8 * S)
    fleet.lose_zone("z0")
    agree = whole = 99.0
    first = -1.0
    for tenth in range(1, 101):
        fleet.run_until(8 * S + tenth * S // 10)
        held = fleet.fraction_in_state("z0", LOST)
        first = tenth / 10 if first < 0 and held > 0 else first
        if agree == 99.0 and held >= 0.99:
            agree = tenth / 10 - first
    fleet.restore_zone("z0")
    for tenth in range(1, 321):
        fleet.run_until(18 * S + tenth * S // 10)
        if whole == 99.0 and fleet.fraction_in_state("z0", WELL) == 1.0:
            whole = tenth / 10
    own = [f for f in fleet.fills if f.home == "z0"]
    before = sum(1 for f in own if f.to == "z0" and 3 * S <= f.at < 8 * S) / 5
    cold = max(sum(1 for f in own if f.to == "z0" and (18 + n) * S <= f.at < (19 + n) * S) for n in range(4))
    return {
        "agree": agree, "spill": fleet.max_spill_ratio(), "near": fleet.own_zone_fraction(2 * S, 8 * S),
        "nowhere": fleet.unserved_fraction(10 * S, 18 * S), "cold": cold / max(1.0, before), "whole": whole,
        "changes": float(fleet.max_changes()),
    }  # fmt: skip


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--most", type=int, default=200)
    parser.add_argument("--calm", action="store_true", help="only links without faults, as in the chart")
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    print(MEANING)
    print(f"{'gateways':>8} {'zones':>5} {'links':9} {'how':9} " + " ".join(f"{name:>8}" for name in NAMES))
    rows = []
    for count, zones in ((20, 3), (200, 3), (200, 12), (1000, 12)):
        if count > options.most:
            continue
        for fault in FAULTS if count <= 200 else FAULTS[:1]:
            if options.calm and fault != "calm":
                continue
            for how in MODES if fault == "calm" else MODES[:2]:
                began = time.monotonic()
                runs = [measure(count, zones, seed, how, fault) for seed in ((1, 2) if count < 200 else (1,))]
                mean = {name: sum(run[name] for run in runs) / len(runs) for name in NAMES}
                mean["spill"] = max(run["spill"] for run in runs)
                rows.append((count, zones, fault, how, mean))
                print(f"{count:8} {zones:5} {fault:9} {how:9} " + " ".join(f"{mean[n]:8.2f}" for n in NAMES)
                      + f"   {time.monotonic() - began:.0f} s", flush=True)  # fmt: skip
    if options.out is not None:
        chart(rows, options.out / "zones.png")


def chart(rows: list[tuple[int, int, str, str, dict[str, float]]], path: Path) -> None:
    """Draws the runs without link faults into a PNG."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 3.4), layout="constrained")
    calm = [row for row in rows if row[2] == "calm"]
    labels = list(dict.fromkeys(f"{count} x {zones}" for count, zones, *_ in calm))
    for axes, name, title in zip(figure.subplots(1, 3), ("spill", "cold", "nowhere"),
                                 ("highest spill in a second, over the limit",
                                  "fills at cold hubs, over the usual rate",
                                  "share of fills without a source"),
                                 strict=True):  # fmt: skip
        for shift, how in enumerate(MODES):
            heights = [row[4][name] for row in calm if row[3] == how]
            axes.bar([n + 0.2 * (shift - 1.5) for n in range(len(labels))], heights, 0.2, label=how)
        axes.set_xticks(range(len(labels)), labels, fontsize=7)
        axes.set_title(title, fontsize=8)
        if name == "spill":
            axes.axhline(1.0, color="#b03a2e", lw=0.8)
    figure.axes[0].legend(fontsize=7)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=130)


if __name__ == "__main__":
    main()
