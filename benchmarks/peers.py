"""Simulates fleets in virtual time with the sans-I/O modules of `peers` alone; prints tables and draws a
chart.

Usage: `python -P benchmarks/peers.py [--most 1000] [--out FOLDER]`; `--most` limits the number of gateways.
The baseline `alone` sends no messages: each breaker decides by itself, and shares are equal and fixed. The
figures are simulated, not measured on processes or on a real fleet.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from pathlib import Path

sys.path.append(".")
from damsonstream.peers import subsets
from damsonstream.peers.features import FEATURES
from damsonstream.virtual.fleet import Fleet
from damsonstream.virtual.links import S, links_with_fault

SEEDS = (1, 2)
FAULTS = ("calm", "lost 30%", "lost 90%", "late 2 s", "split")


def fleet(count: int, seed: int, fault: str, features: frozenset[str]) -> Fleet:
    rng = random.Random(seed)
    demands = [2 * rng.paretovariate(1.8) for _ in range(count)]
    return Fleet(count, seed, demands=demands, links=links_with_fault(fault, seed), features=features)


def simulate(count: int, seed: int, fault: str, features: frozenset[str]) -> dict[str, float]:
    """Simulates 30 s in which a source fails at 8 s and works again at 18 s; returns the measurements."""
    run = fleet(count, seed, fault, features)
    run.track_share_sums()
    run.run_until(8 * S)
    run.dead_sources.add(0)
    known, curve = 99.0, []
    for tenth in range(1, 101):
        run.run_until(8 * S + tenth * S // 10)
        curve.append(run.open_fraction(0))
        if known == 99.0 and curve[-1] >= 0.9:
            known = tenth / 10
    wasted, trials = run.wasted_fills, len(run.trials)
    fair = run.fairness()
    run.dead_sources.clear()
    run.run_until(30 * S)
    bytes_per_second = sum(gateway.bytes_out for gateway in run.gateways) / count / 30
    return {
        "known": known,
        "at 10 s": curve[-1],
        "wasted": wasted / count,
        "trials": trials / count,
        "bytes": bytes_per_second,
        "sum": max(run.max_share_sum.values()),
        "fair": fair,
        "open at 30 s": run.open_fraction(0),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--most", type=int, default=200)
    parser.add_argument("--out", type=Path)
    chosen = parser.parse_args()
    names = ("known", "at 10 s", "wasted", "trials", "bytes", "sum", "fair", "open at 30 s")
    print("known: seconds until 90% hold a dead source Open (99: not in 10 s); wasted, trials: fills of each")
    print(f"{'gateways':>8} {'links':9} {'how':6} " + " ".join(f"{name:>12}" for name in names))
    rows = []
    for count in (n for n in (20, 200, 1000, 5000) if n <= chosen.most):
        for fault in FAULTS if count <= 200 else FAULTS[:2]:
            for how, features in (("peers", frozenset(FEATURES)), ("alone", frozenset[str]())):
                began = time.monotonic()
                found = [
                    simulate(count, seed, fault, features) for seed in (SEEDS if count < 1000 else SEEDS[:1])
                ]
                mean = {name: sum(run[name] for run in found) / len(found) for name in names}
                mean["sum"] = max(run["sum"] for run in found)
                rows.append((count, fault, how, mean))
                print(f"{count:8} {fault:9} {how:6} " + " ".join(f"{mean[name]:12.3f}" for name in names)
                      + f"   {time.monotonic() - began:.0f} s", flush=True)  # fmt: skip
    print("\nsubsets: gateways, sources, most and least of one, share moved by one more")
    for count, sources in ((20, 40), (200, 200), (1000, 200)):
        gateways, listed = list(range(count)), list(range(7000, 7000 + sources))
        most, least = subsets.load_range(gateways, listed, 3)
        before, after = (subsets.assign(list(range(n)), listed, 3) for n in (count, count + 1))
        moved = sum(len(set(before[s]) - set(after[s])) for s in listed) / (3 * sources)
        print(f"{count:8} {sources:6} {most:4} {least:4} {moved:8.3f}")
    if chosen.out is not None:
        chart(rows, chosen.out / "peers.png")


def chart(rows: list[tuple[int, str, str, dict[str, float]]], path: Path) -> None:
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 3.6), layout="constrained")
    for axes, name, title in zip(figure.subplots(1, 3), ("at 10 s", "wasted", "bytes"),
                                 ("hold a dead source Open after 10 s", "fills lost, a gateway",
                                  "bytes a second, a gateway"), strict=True):  # fmt: skip
        labels = list(dict.fromkeys(f"{count} {fault}" for count, fault, _, _ in rows))
        for shift, how in ((-0.2, "peers"), (0.2, "alone")):
            heights = [row[3][name] for row in rows if row[2] == how]
            axes.bar([n + shift for n in range(len(labels))], heights, 0.4, label=how)
        axes.set_xticks(range(len(labels)), labels, fontsize=7, rotation=60, ha="right")
        axes.set_title(title, fontsize=8)
    figure.axes[0].legend(fontsize=7, loc="center right")
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=130)


if __name__ == "__main__":
    main()
