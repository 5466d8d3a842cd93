"""How fast stores are read and told, and in how much memory, by their size.

    .venv/bin/python -P benchmarks/reading.py --records 1000000 --gateways 4

Writes a store of that many records (GETs as gateways record them), then times each tool on it in a process of
its own.
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
from damsonstream.records.keeper import SEGMENT
from damsonstream.records.writer import file_name

S = 10_000
SERVICE = model.Service("pages", 4000, 0.0, 30_000, 2.0, 0.15, "idempotent", "all", 0)


def store(folder: Path, name: str, count: int, seed: int) -> None:
    """One boot's records at 2,000 GETs a second."""
    chance, seq, number, at = random.Random(seed), 0, 0, S
    place = folder / name
    place.mkdir(parents=True)
    data = bytearray()

    def begin() -> None:
        nonlocal number
        if data:
            (place / file_name(1, number)).write_bytes(data)
        number += 1
        data[:] = segment.head(name, 1, number, seq, 0)

    def put(record: model.AnyRecord) -> None:
        nonlocal seq
        data.extend(segment.frame(seq, model.encode(record)))
        seq += 1
        if len(data) >= SEGMENT:
            begin()

    begin()
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
        thing, cache = f"{chance.getrandbits(64):016x}", f"s-{chance.randrange(8):08x}"
        filled = chance.random() < 0.2
        put(model.Taken(at, get, f"{chance.getrandbits(64):016x}", 0, thing, get % 64, 30_000, False))
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
    (place / file_name(1, number)).write_bytes(data)


def timed(*arguments: str) -> tuple[float, float]:
    """Seconds and MB at the most."""
    before = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-P", "-m", "damsonstream", *arguments],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    _, _, used = os.wait4(process.pid, 0)
    process.returncode = 0
    return time.monotonic() - before, used.ru_maxrss / 1024


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--records", type=int, default=1_000_000)
    parser.add_argument("--gateways", type=int, default=4)
    chosen = parser.parse_args()
    with tempfile.TemporaryDirectory() as holder:
        folder = Path(holder) / "records"
        each = chosen.records // chosen.gateways
        for place in range(chosen.gateways):
            store(folder, f"n{place + 1}", each, place)
        size = sum(path.stat().st_size for path in folder.glob("*/*.rec"))
        print(f"{each * chosen.gateways} records of {chosen.gateways} gateways, {size / 1e6:.0f} MB")
        out = str(Path(holder) / "out")
        for name, arguments in (
            ("verify", ("records", "verify", str(folder))), ("stats", ("records", "stats", str(folder))),
            ("merge", ("records", "merge", str(folder), "-o", out)),
            ("report, JSON", ("report", str(folder), "--format", "json", "-o", out)),
            ("report, HTML", ("report", str(folder), "-o", out)),
            ("console --once", ("console", str(folder), "--once", "--recorded")),
        ):  # fmt: skip
            seconds, most = timed(*arguments)
            rate = each * chosen.gateways / seconds
            print(
                f"{name:15} {seconds:6.1f} s  {rate / 1000:7.0f} thousand records a second  {most:6.0f} MB",
                flush=True,
            )


if __name__ == "__main__":
    main()
