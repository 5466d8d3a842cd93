"""What recording costs a gateway: CPU for a GET, and the time until its first forward, with records on and
off.

    .venv/bin/python -P benchmarks/recording.py --rate 1500 --seconds 8 --rounds 3

One real gateway between stand-ins on loopback, with and without records in turn. CPU is the gateway process's
own, by the system's account; the time to the first forward runs from a client's sending to the coming of the
forward at a cache.
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
from damsonstream.demo.play import Play
from damsonstream.standins import clients, servers, wire

TICK = os.sysconf("SC_CLK_TCK")


def cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def once(rate: float, seconds: float, on: bool, seed: int) -> dict[str, float]:
    told = scenario.Scenario("bench", "", seconds, rate, 1, 3, 2, (), ())
    came: dict[str, float] = {}

    with tempfile.TemporaryDirectory() as holder:
        folder = Path(holder)
        play = Play(told, folder, folder / "records", seed)
        (folder / "records").mkdir()
        if not on:
            write = play.fleet.write

            def without(name: str) -> tuple[Path, Path]:
                config, operator = write(name)
                operator.write_text("// all off\n")
                return config, operator

            play.fleet.write = without  # type: ignore[method-assign]
        obey = servers.CacheLink.obey

        def noted(self: servers.CacheLink, command: wire.Command) -> None:
            came.setdefault(command.ident.decode(), play.world.now())
            obey(self, command)

        servers.CacheLink.obey = noted  # type: ignore[method-assign]
        used: dict[str, float] = {}
        stop = play.fleet.stop

        async def stopped() -> dict[str, int]:
            used["cpu"] = cpu(play.fleet.running["n1"].pid) - used["start"]
            return await stop()

        def begun(_: Play) -> None:
            used.setdefault(
                "start", cpu(play.fleet.running["n1"].pid)
            )  # loading what records need is no GET's cost

        play.fleet.stop = stopped  # type: ignore[method-assign]
        try:
            truth = anyio.run(play.run, begun, backend_options={"use_uvloop": True})
        finally:
            servers.CacheLink.obey = obey  # type: ignore[method-assign]
    waits = sorted((came[one.ident] - one.sent) * 1000 for one in truth.tries if one.ident in came)
    count = len(truth.tries)
    return {
        "gets": count,
        "rate": count / seconds,
        "cpu us a GET": used["cpu"] / count * 1e6,
        "core": used["cpu"] / seconds,
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
    chosen = parser.parse_args()
    clients.MOST_OPEN = 20_000
    found: dict[bool, list[dict[str, float]]] = {False: [], True: []}
    for place in range(chosen.rounds):
        for on in (False, True):
            one = once(chosen.rate, chosen.seconds, on, place)
            found[on].append(one)
            print(
                "on " if on else "off",
                "  ".join(f"{name} {value:.2f}" for name, value in one.items()),
                flush=True,
            )
    for name in ("cpu us a GET", "core", "median ms", "99% ms"):
        without, with_ = (statistics.median(one[name] for one in found[side]) for side in (False, True))
        print(f"{name}: off {without:.3f}, on {with_:.3f}, {100 * (with_ / without - 1):+.1f}%")
    print(time.strftime("%Y-%m-%d"))


if __name__ == "__main__":
    main()
