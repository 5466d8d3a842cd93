"""Measures the time and memory that each tool needs to read stored records, by the size of the store.

    .venv/bin/python -P benchmarks/reading.py --records 1000000 --gateways 4

Writes a store with that many records (GETs as gateways record them), then runs each tool on it in a process
of its own.
"""

from __future__ import annotations

import argparse
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from damsonstream.records import model, segment
from damsonstream.records.write_policy import MAX_SEGMENT_BYTES
from damsonstream.records.writer import file_name

S = 10_000
SERVICE = model.Service("pages", 4000, 0.0, 30_000, 2.0, 0.15, "idempotent", "all", 0)


def write_store(folder: Path, name: str, count: int, seed: int) -> None:
    """Writes `count` records of one boot of one gateway, at 2,000 GETs a second."""
    rng, seq, number, at = random.Random(seed), 0, 0, S
    gateway_folder = folder / name
    gateway_folder.mkdir(parents=True)
    data = bytearray()

    def start_segment() -> None:
        nonlocal number
        if data:
            (gateway_folder / file_name(1, number)).write_bytes(data)
        number += 1
        data[:] = segment.encode_header(name, 1, number, seq, 0)

    def put(record: model.AnyRecord) -> None:
        nonlocal seq
        data.extend(segment.encode_frame(seq, model.encode(record)))
        seq += 1
        if len(data) >= MAX_SEGMENT_BYTES:
            start_segment()

    start_segment()
    put(model.Began(at, 1, name, "bench", at, "shop", [SERVICE], "hub", "vault", S, 3000, 40_000.0))
    nodes = [model.Line(f"s-{n:08x}", "shop", "active", 8.0, "box", 0) for n in range(8)]
    put(
        model.Listed(
            at, 0, True, False, [*nodes, model.Line("s-000000ff", "hubs", "active", 8.0, "vault", 0)]
        )
    )
    get = 0
    while seq < count - 1:
        get += 1
        at += 5
        thing, cache = f"{rng.getrandbits(64):016x}", f"s-{rng.randrange(8):08x}"
        filled = rng.random() < 0.2
        put(model.Taken(at, get, f"{rng.getrandbits(64):016x}", 0, thing, get % 64, 30_000, False))
        put(model.Sent(at, get, 0, cache, "s-000000ff" if filled else cache, 0, False))
        first = 400 if filled else 0
        put(
            model.Came(
                at + 50 + first, get, 0, cache, "returned", 2 if filled else 1, 50 + first, first, False, 1
            )
        )
        put(model.Answered(at + 51 + first, get, "returned", 0, 12_000, 0))
        if get % 2000 == 0:
            put(model.Pulse(at, at, 4, get, 40_000))
            put(model.Purge(at, get, "", get // 2000 % 64, at - 40))
    put(model.Stopped(at + S, "signal"))
    (gateway_folder / file_name(1, number)).write_bytes(data)


def run_timed(*arguments: str) -> tuple[float, float]:
    """Runs a command in a process of its own; returns its duration in s and its peak memory in MB."""
    started = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-P", "-m", "damsonstream", *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    _, _, usage = os.wait4(process.pid, 0)
    process.returncode = 0
    return time.monotonic() - started, usage.ru_maxrss / 1024


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--records", type=int, default=1_000_000)
    parser.add_argument("--gateways", type=int, default=4)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as holder:
        folder = Path(holder) / "records"
        per_gateway = options.records // options.gateways
        for index in range(options.gateways):
            write_store(folder, f"n{index + 1}", per_gateway, index)
        size = sum(path.stat().st_size for path in folder.glob("*/*.rec"))
        print(f"{per_gateway * options.gateways} records of {options.gateways} gateways, {size / 1e6:.0f} MB")
        out = str(Path(holder) / "out")
        for name, arguments in (
            ("verify", ("records", "verify", str(folder))), ("stats", ("records", "stats", str(folder))),
            ("merge", ("records", "merge", str(folder), "-o", out)),
            ("report, JSON", ("report", str(folder), "--format", "json", "-o", out)),
            ("report, HTML", ("report", str(folder), "-o", out)),
            ("console --once", ("console", str(folder), "--once", "--recorded")),
        ):  # fmt: skip
            seconds, peak = run_timed(*arguments)
            rate = per_gateway * options.gateways / seconds
            print(
                f"{name:15} {seconds:6.1f} s  {rate / 1000:7.0f} thousand records a second  {peak:6.0f} MB",
                flush=True,
            )


if __name__ == "__main__":
    main()
