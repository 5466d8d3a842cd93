"""The gateways of a play: real processes of this program, each with a configuration and records of its own.

How it is called: `Fleet(folder, ...)`; `await start(name)` starts one and waits until it listens,
`kill(name)` ends one as a crash does, `await stop()` ends all as an operator does. Only processes started
here are ever signalled.
"""

from __future__ import annotations

import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio

import damsonstream
from damsonstream.demo.scenario import ClockOff
from damsonstream.standins.servers import LOOPBACK

READY = 10.0  # seconds for a gateway to listen, on a machine that is busy
END = 8.0  # seconds for it to end after SIGTERM


PORTS = range(12_000, 30_000)  # below those that the system gives out by itself, and so takes meanwhile


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """One that nobody has just now; drawn, so that plays side by side rarely meet."""
    for _ in range(1000):
        port = secrets.choice(PORTS)
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind((LOOPBACK, port))
            except OSError:
                continue
            return port
    raise OSError("no port is free")


def command() -> list[str]:
    """This program once more: the sources of this folder, or what is installed."""
    here = Path(damsonstream.__file__).parents[1] == Path.cwd()
    return [sys.executable, *([] if here else ["-P"]), "-m", "damsonstream"]


class Fleet:
    def __init__(
        self,
        folder: Path,
        records: Path,
        names: list[str],
        clocks: tuple[ClockOff, ...],
        settings: Callable[[str], dict[str, Any]],
        operator: str = "",
    ) -> None:
        """`settings`: all of a gateway's configuration but its name, address and seed, as it is told now;
        `operator`: KDL that each gateway's own settings hold besides records."""
        self.operator = operator
        self.folder, self.records, self.names, self.settings = folder, records, names, settings
        self.clocks = {clock.gateway: clock for clock in clocks}
        self.addresses = {name: (LOOPBACK, free_port()) for name in names}
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.started = {name: 0 for name in names}

    def write(self, name: str) -> tuple[Path, Path]:
        host, port = self.addresses[name]
        told = {"name": name, "listen": f"{host}:{port}", "seed": f"{self.started[name]:04x}{port:012x}",
                **self.settings(name)}  # fmt: skip
        config, operator = self.folder / f"{name}.json", self.folder / f"{name}.kdl"
        config.write_text(json.dumps(told, indent=1))
        off = self.clocks.get(name)
        trial = f"    trial-clock {{ shift {off.shift}; drift {off.drift:.9f}; }}\n" if off else ""
        records = f"records {{\n    folder {json.dumps(str(self.records))}\n{trial}}}\n"
        operator.write_text(records + self.operator)
        return config, operator

    async def start(self, name: str) -> None:
        self.started[name] += 1
        config, operator = self.write(name)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                [*command(), "serve", "--config", str(config), "--operator", str(operator)],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True,
            )  # fmt: skip
        until = time.monotonic() + READY
        while time.monotonic() < until:
            if self.running[name].poll() is not None:
                break
            try:
                stream = await anyio.connect_tcp(*self.addresses[name])
            except OSError:
                await anyio.sleep(0.05)
                continue
            await stream.aclose()
            return
        raise RuntimeError(f"gateway {name} did not start; see {self.folder / f'{name}.log'}")

    def kill(self, name: str) -> None:
        self.running[name].send_signal(signal.SIGKILL)
        self.running.pop(name).wait()

    def stall(self, name: str) -> None:
        """It stands still, as one without a processor does, until `resume`."""
        self.running[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        if name in self.running:
            self.running[name].send_signal(signal.SIGCONT)

    def hang_up(self) -> None:
        """All read their files again."""
        for process in self.running.values():
            process.send_signal(signal.SIGHUP)

    async def stop(self) -> dict[str, int]:
        """Exit codes by name; one that does not end in time is killed."""
        for process in self.running.values():
            process.send_signal(signal.SIGTERM)
        until = time.monotonic() + END
        codes: dict[str, int] = {}
        while self.running and time.monotonic() < until:
            for name, process in list(self.running.items()):
                if (code := process.poll()) is not None:
                    codes[name] = code
                    del self.running[name]
            await anyio.sleep(0.02)
        for name in list(self.running):
            self.kill(name)
            codes[name] = -signal.SIGKILL
        return codes

    def abandon(self) -> None:
        """At a fault of the play: nothing that was started here stays."""
        for process in self.running.values():
            if process.poll() is None:
                os.kill(process.pid, signal.SIGKILL)
                process.wait()
