"""Measures the cost of recording for a gateway: CPU per GET and time to the first forward, on and off.

    .venv/bin/python -P benchmarks/recording.py --rate 1500 --seconds 8 --rounds 3

Runs one real gateway between stand-in clients and caches on loopback, alternately with and without records.
CPU is that of the gateway's process, as the system accounts it; the time to the first forward runs from when
the client sends the GET until the forward arrives at a cache.
"""

from __future__ import annotations

import argparse
import os
import statistics
import tempfile
import time
from pathlib import Path

import anyio

from damsonstream.demo import scenario
from damsonstream.demo.runner import DemoRun
from damsonstream.standins import clients, servers, wire

TICK = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def run_once(rate: float, seconds: float, recording: bool, seed: int) -> dict[str, float]:
    settings = scenario.Scenario("bench", "", seconds, rate, 1, 3, 2, (), ())
    arrivals: dict[str, float] = {}

    with tempfile.TemporaryDirectory() as holder:
        folder = Path(holder)
        play = DemoRun(settings, folder, folder / "records", seed)
        (folder / "records").mkdir()
        if not recording:
            write = play.fleet.write_config

            def write_without_records(name: str) -> tuple[Path, Path]:
                config, operator = write(name)
                operator.write_text("// all off\n")
                return config, operator

            play.fleet.write_config = write_without_records  # type: ignore[method-assign]
        original_obey = servers.CacheConnection.handle_command

        def record_arrival(self: servers.CacheConnection, command: wire.Command) -> None:
            arrivals.setdefault(command.ident.decode(), play.stand_ins.now())
            original_obey(self, command)

        servers.CacheConnection.handle_command = record_arrival  # type: ignore[method-assign]
        cpu_times: dict[str, float] = {}
        stop = play.fleet.stop

        async def measure_and_stop() -> dict[str, int]:
            cpu_times["cpu"] = cpu_seconds(play.fleet.processes["n1"].pid) - cpu_times["start"]
            return await stop()

        def measure_start(_: DemoRun) -> None:
            # Measured after startup, to exclude the cost of loading what records need.
            cpu_times.setdefault("start", cpu_seconds(play.fleet.processes["n1"].pid))

        play.fleet.stop = measure_and_stop  # type: ignore[method-assign]
        try:
            truth = anyio.run(play.run, measure_start, backend_options={"use_uvloop": True})
        finally:
            servers.CacheConnection.handle_command = original_obey  # type: ignore[method-assign]
    waits = sorted((arrivals[one.ident] - one.sent) * 1000 for one in truth.tries if one.ident in arrivals)
    count = len(truth.tries)
    return {
        "gets": count,
        "rate": count / seconds,
        "cpu us a GET": cpu_times["cpu"] / count * 1e6,
        "core": cpu_times["cpu"] / seconds,
        "median ms": statistics.median(waits),
        "99% ms": waits[int(len(waits) * 0.99)],
        "late start ms": truth.late_start * 1000,
        "errored": sum(one.outcome == "errored" for one in truth.tries),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=1500)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    clients.MAX_OPEN_GETS = 20_000
    results: dict[bool, list[dict[str, float]]] = {False: [], True: []}
    for round_number in range(options.rounds):
        for on in (False, True):
            result = run_once(options.rate, options.seconds, on, round_number)
            results[on].append(result)
            print(
                "on " if on else "off",
                "  ".join(f"{name} {value:.2f}" for name, value in result.items()),
                flush=True,
            )
    for name in ("cpu us a GET", "core", "median ms", "99% ms"):
        without, with_ = (statistics.median(one[name] for one in results[side]) for side in (False, True))
        print(f"{name}: off {without:.3f}, on {with_:.3f}, {100 * (with_ / without - 1):+.1f}%")
    print(time.strftime("%Y-%m-%d"))


if __name__ == "__main__":
    main()
