"""Benchmarks of reading traces (speed, memory) and of replays (own lateness by rate).

    .venv/bin/python -P benchmarks/traces.py read --rows 10000000
    .venv/bin/python -P benchmarks/traces.py replay --rates 250 500 1000 2000
    .venv/bin/python -P benchmarks/traces.py misses

`read` writes a file of cache requests and reads it in separate processes: with this reader, and for
comparison with the standard library's `csv` (splitting and number conversion only). `replay` runs replays at
several rates. `misses` compares sampled miss ratios with exact ones.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import numpy as np

from damsonstream.traces import transforms
from damsonstream.traces.reuse import ExactReuse, ReuseEstimator

CSV_SCRIPT = """
import csv, sys
n = 0
with open(sys.argv[1], newline="") as stream:
    for number, row in enumerate(csv.reader(stream), 1):
        int(row[0]), int(row[3]), hash(row[1]), hash(row[4])
        n += 1
print(n)
"""


def timed(command: list[str]) -> tuple[float, float]:
    """Runs a command; returns seconds and peak memory in MB."""
    before = time.monotonic()
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
    _, code, used = os.wait4(process.pid, 0)
    process.returncode = code
    return time.monotonic() - before, used.ru_maxrss / 1024


def read(rows: int) -> None:
    with tempfile.TemporaryDirectory() as holder:
        path = Path(holder) / "cache-requests.csv"
        character = transforms.TraceProfile(gets=rows, rate=20_000, objects=1_000_000, alpha=0.9, once=0.1)
        with path.open("w") as stream:
            for gets in transforms.generate(character, 1):
                times, objects = (gets["time"] // 1_000_000).tolist(), gets["object"].tolist()
                sizes, clients = gets["size"].tolist(), (gets["client"] % 500).tolist()
                stream.writelines(
                    f"{t},{k:016x},16,{s},{c},get,0\n"
                    for t, k, s, c in zip(times, objects, sizes, clients, strict=True)
                )
        print(f"{rows} rows, {path.stat().st_size / 1e6:.0f} MB", flush=True)
        tool = [sys.executable, "-P", "-m", "damsonstream", "traces"]
        native = str(Path(holder) / "t.gets")
        for name, command in (
            ("convert", [*tool, "convert", str(path), "--format", "cache-requests", "-o", native]),
            ("stats", [*tool, "stats", str(path), "--format", "cache-requests", "--json"]),
            ("stats, native", [*tool, "stats", native, "--json"]),
            ("csv module", [sys.executable, "-c", CSV_SCRIPT, str(path)]),
        ):
            seconds, peak_mb = timed(command)
            print(
                f"{name:14} {seconds:6.1f} s  {rows / seconds / 1000:6.0f} thousand rows per second  "
                f"{peak_mb:5.0f} MB",
                flush=True,
            )
        print(f"native format: {Path(native).stat().st_size / rows:.1f} bytes per GET")


def replay(rates: list[int], seconds: float) -> None:
    tool = [sys.executable, "-P", "-m", "damsonstream", "traces"]
    with tempfile.TemporaryDirectory() as holder:
        trace, out = Path(holder) / "t.gets", Path(holder) / "out.json"
        for rate in rates:
            subprocess.run(
                [
                    *tool,
                    "generate",
                    "--gets",
                    str(int(rate * seconds)),
                    "--rate",
                    str(rate),
                    "-o",
                    str(trace),
                ],
                check=True,
                stderr=subprocess.DEVNULL,
            )
            subprocess.run([*tool, "replay", str(trace), "--fleet", "2", "--json", str(out)], check=False)
            result = json.loads(out.read_text())
            pages, late = result["services"]["pages"], result["own_lateness_ms"]
            print(
                f"{rate:5} GETs per second: own lateness median {late['p50']:.1f} ms, "
                f"99% {late['p99']:.1f} ms, maximum "
                f"{late['max']:.0f} ms; {len(result['stalls'])} stalls; {pages['outcomes']}; latency 99% "
                f"{pages['latency_ms']['p99']:.1f} ms",
                flush=True,
            )


def misses() -> None:
    for alpha, once in ((0.6, 0.0), (0.9, 0.0), (0.9, 0.3), (1.2, 0.0)):
        character = transforms.TraceProfile(gets=1_000_000, objects=100_000, alpha=alpha, once=once)
        exact, reuse = ExactReuse(), ReuseEstimator()
        for gets in transforms.generate(character, 3):
            exact.add(gets["object"], gets["size"])
            reuse.add(gets["object"], gets["size"])
        sizes = [10.0, 100, 1000, 10_000, 100_000]
        found = [(size, misses, error, exact.miss_ratio(size)) for size, misses, error in reuse.curve(sizes)]
        worst = max(abs(m - e) for _, m, _, e in found)
        print(
            f"alpha {alpha}, {once:.0%} requested once: worst error {worst:.4f}, mean "
            f"{np.mean([abs(m - e) for _, m, _, e in found]):.4f}, "
            f"estimated {max(s for _, _, s, _ in found):.4f}; "
            f"{', '.join(f'{size:g}: {m:.3f} for {e:.3f}' for size, m, _, e in found)}",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["read", "replay", "misses"])
    parser.add_argument("--rows", type=int, default=10_000_000)
    parser.add_argument("--rates", type=int, nargs="+", default=[250, 500, 1000, 2000])
    parser.add_argument("--seconds", type=float, default=6)
    chosen = parser.parse_args()
    if chosen.what == "read":
        read(chosen.rows)
    elif chosen.what == "replay":
        replay(chosen.rates, chosen.seconds)
    else:
        misses()


if __name__ == "__main__":
    main()
