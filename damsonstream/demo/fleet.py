"""Runs gateways as processes of this program, each with its own configuration and records.

With `Fleet(folder, ...)`, `await start(name)` starts one and waits until it listens, `kill(name)` kills one,
and `await stop()` shuts all down. Only processes started here are ever signalled.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio

import damsonstream
from damsonstream.demo.ports import HeldPort
from damsonstream.demo.scenario import ClockSkew
from damsonstream.standins.servers import LOOPBACK

START_TIMEOUT = 10.0  # seconds for a gateway to listen, on a busy machine
STOP_TIMEOUT = 8.0  # seconds for a gateway to exit after SIGTERM


def base_command() -> list[str]:
    """Returns the command line of this program: from the sources in the current folder, or as installed."""
    here = Path(damsonstream.__file__).parents[1] == Path.cwd()
    return [sys.executable, *([] if here else ["-P"]), "-m", "damsonstream"]


class Fleet:
    """The gateway processes of one run."""

    def __init__(
        self,
        folder: Path,
        records: Path,
        names: list[str],
        clocks: tuple[ClockSkew, ...],
        config_for: Callable[[str], dict[str, Any]],
        operator_kdl: str = "",
    ) -> None:
        """Prepares the processes; starts none.

        `config_for` returns a gateway's current configuration except its name, address and seed;
        `operator_kdl` is KDL that follows the `records` section in each operator file.
        """
        self.operator_kdl = operator_kdl
        self.folder, self.records_folder, self.names, self.config_for = folder, records, names, config_for
        self.clocks = {clock.gateway: clock for clock in clocks}
        self.held_ports = {name: [HeldPort()] for name in names}  # of a gateway until its first start
        self.addresses = {name: (LOOPBACK, ports[0].number) for name, ports in self.held_ports.items()}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.start_counts = {name: 0 for name in names}

    def write_config(self, name: str) -> tuple[Path, Path]:
        """Writes a gateway's configuration and its operator file."""
        host, port = self.addresses[name]
        contents = {"name": name, "listen": f"{host}:{port}",
                    "seed": f"{self.start_counts[name]:04x}{port:012x}", **self.config_for(name)}  # fmt: skip
        config_path, operator_path = self.folder / f"{name}.json", self.folder / f"{name}.kdl"
        config_path.write_text(json.dumps(contents, indent=1))
        skew = self.clocks.get(name)
        trial = f"    trial-clock {{ shift {skew.shift}; drift {skew.drift:.9f}; }}\n" if skew else ""
        records_kdl = f"records {{\n    folder {json.dumps(str(self.records_folder))}\n{trial}}}\n"
        operator_path.write_text(records_kdl + self.operator_kdl)
        return config_path, operator_path

    async def start(self, name: str) -> None:
        self.start_counts[name] += 1
        config_path, operator_path = self.write_config(name)
        self.release_ports(name)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*base_command(), "serve", "--config", str(config_path), "--operator", str(operator_path)],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True,
            )  # fmt: skip
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            if self.processes[name].poll() is not None:
                break
            try:
                stream = await anyio.connect_tcp(*self.addresses[name])
            except OSError:
                await anyio.sleep(0.05)
                continue
            await stream.aclose()
            return
        raise RuntimeError(f"gateway {name} did not start; see {self.folder / f'{name}.log'}")

    def release_ports(self, name: str) -> None:
        """Lets a gateway bind its ports."""
        for port in self.held_ports.pop(name, ()):
            port.release()

    def kill(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes.pop(name).wait()

    def pause(self, name: str) -> None:
        """Suspends a gateway, as if it got no CPU time, until `resume`."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        if name in self.processes:
            self.processes[name].send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Makes all gateways reload their files (SIGHUP)."""
        for process in self.processes.values():
            process.send_signal(signal.SIGHUP)

    async def stop(self) -> dict[str, int]:
        """Shuts all gateways down and returns their exit codes; those that exceed the timeout are killed."""
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT
        codes: dict[str, int] = {}
        while self.processes and time.monotonic() < deadline:
            for name, process in list(self.processes.items()):
                if (code := process.poll()) is not None:
                    codes[name] = code
                    del self.processes[name]
            await anyio.sleep(0.02)
        for name in list(self.processes):
            self.kill(name)
            codes[name] = -signal.SIGKILL
        return codes

    def kill_all(self) -> None:
        """Kills all remaining processes, also after a failure of the run."""
        for name in list(self.held_ports):
            self.release_ports(name)
        for process in self.processes.values():
            if process.poll() is None:
                os.kill(process.pid, signal.SIGKILL)
                process.wait()
