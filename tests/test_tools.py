"""Tests of the tools: settings in KDL, the command line, the console and a complete run of the demo."""

from __future__ import annotations

import contextlib
import io
import json
import os
import re
import shutil
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
import msgspec

from damsonstream.console import text
from damsonstream.console.app import Console
from damsonstream.console.follow import RecordFollower
from damsonstream.console.history import History
from damsonstream.demo import scenario
from damsonstream.demo.check import Recorded, check
from damsonstream.demo.recorded_gets import recorded
from damsonstream.demo.runner import ExecutedStep, Truth
from damsonstream.incident import analysis as reading
from damsonstream.program import cli
from damsonstream.records import model, segment, store
from damsonstream.settings import kdl, operator
from damsonstream.standins.clients import ClientGet
from tests.helpers import TraceCase
from tests.test_incident import RecordScript, S, cache_lines


def run(*arguments: str) -> tuple[int, str]:
    """Runs a command; returns its exit code and everything that it printed."""
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        try:
            code = cli.main(list(arguments))
        except SystemExit as stop:
            code = stop.code if isinstance(stop.code, int) else 1
    return code, out.getvalue()


class Settings(TraceCase):
    def test_errors_name_file_line_and_field(self) -> None:
        output = list[str]()
        files = {
            "good": 'records {\n  folder "/var/x" // where\n  bytes "1GiB"; age "36h"\n}',
            "no settings": "// all off\n/- records { folder 5 }\n",
            "no folder": "\n\nrecords {\n  bytes \"4MiB\"\n}",
            "a size": '/* two\nlines */ records {\n  folder "x"\n  bytes "4 MB"\n}',
            "too small": 'records { folder "x"; bytes "4KiB"; }',
            "a number for a string": 'records {\n  folder 5\n}',
            "unknown": 'records {\n  folder "x"\n  colour "red"\n}',
            "unknown at the top": 'records { folder "x"; }\nrecord {}\n',
            "twice": 'records { folder "x"; }\n\nrecords { folder "y"; }',
            "a property": 'records a=1 { folder "x"; }',
            "two values": 'records {\n  folder "x" "y"\n}',
            "a multi-line string": 'records {\n  folder """\n  a\n  """\n  age 7\n}',
            "a raw string before": 'records {\n  folder #"a " // b"#\n  age "7"\n}',
            "not KDL": 'records {\n  folder "x"\n  age = "7d"\n}',
            "not closed": 'records {\n  folder "x"\n',
            "not UTF-8": None,
        }  # fmt: skip
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "operator.kdl"
            for name, content in files.items():
                path.write_bytes(b"\n\n\xff" if content is None else content.encode())
                try:
                    found = operator.read(str(path))
                    limits = found.records and (found.records.limits.bytes, found.records.limits.age)
                    output.append(f"{name}: {found.records and found.records.folder} {limits}")
                except kdl.KdlError as fault:
                    output.append(f"{name}: {str(fault).replace(folder, '')}")
            path.unlink()
            try:
                operator.read(str(path))
            except kdl.KdlError as fault:
                output.append(f"no file: {str(fault).replace(folder, '')}")
        self.check("operator", output)

    def test_invalid_scenario_steps_are_rejected_when_loaded(self) -> None:
        output = list[str]()
        steps = {
            "no time": 'does "purge"', "no such step": 'at "1s"; does "flood"',
            "no such node": 'at "1s"; does "slow"; to "hub-9"; lasts "1s"',
            "too long": 'at "9s"; does "slow"; to "vault"; lasts "8s"',
            "no end": 'at "1s"; does "hang"; to "vault"', "a share": 'at "1s"; does "purge"; amount 3',
            "a gateway": 'at "1s"; does "kill"; to "cache-1-1"; lasts "1s"',
            "good": 'at "1s"; does "purge"; amount 0.5',
        }  # fmt: skip
        for name, step in steps.items():
            try:
                found = scenario.parse_scenario("own", kdl.parse(f"step {{ {step}; }}", "own.kdl"))
                output.append(f"{name}: {found.steps}")
            except kdl.KdlError as fault:
                output.append(f"{name}: {fault}")
        output += [f"shipped: {name}, {scenario.load(name).lasts:g} s" for name in scenario.shipped_names()]
        self.check("scenarios", output)


class CommandLine(TraceCase):
    def test_exit_codes_and_last_lines(self) -> None:
        output = list[str]()
        with tempfile.TemporaryDirectory() as folder:
            for arguments in (
                (), ("--help",), ("version",), ("--version",), ("nonsense",), ("serve", "--config", "/none"),
                ("check-config", "--config", "/none"), ("records",), ("records", "verify", folder),
                ("records", "verify", "/none"), ("records", "show", folder, "--kind", "none"),
                ("report", folder), ("console", folder, "--once"), ("demo", "--scenario", "none"),
                ("demo", "--seconds", "1"), ("completion", "bash"), ("completion", "none"),
            ):  # fmt: skip
                code, out = run(*arguments)
                first = (out.strip().splitlines() or ["nothing"])[-1].replace(folder, "FOLDER")
                output.append(
                    f"{' '.join(arguments).replace(folder, 'FOLDER') or 'nothing'}: {code}, {first[:90]}"
                )
        self.check("command-line", output)


class ConsoleScreens(TraceCase):
    def history(self) -> History:
        """A history of two gateways, with the clock of the second one 3 s ahead."""
        history = History()
        for name, shift in (("n1", 0), ("n2\x1b[2J", 3 * S)):
            script = RecordScript(name=name)
            for second in range(20):
                script.add(model_pulse(second))
                script.complete_get((2 + second) * S, took=100, outcome="shed" if second > 15 else "returned")
            script.add(model.Purge(6 * S, 3, "", 4, 6 * S))
            script.add(model.Purge(6 * S + 10, 4, "", 5, 6 * S))
            script.add(model.Breaker(15 * S, "parent", "p1", "Open", 5, 9, 6.5))
            script.add(model.Listed(16 * S, 5, False, False, cache_lines(("c1", "shop", "leaving"))))
            if name == "n1":
                script.gap("flipped", 2)
            script.entries.sort(
                key=lambda entry: entry.record.at if isinstance(entry, store.Item) else 99 * S
            )
            for entry in script.entries:
                if isinstance(entry, store.Item):
                    moved = msgspec.structs.replace(entry.record, at=entry.record.at + shift)
                    entry = store.Item(entry.boot, entry.seq, moved)
                history.feed(name, entry)
        return history

    def test_views_at_several_times_and_stale_gateways(self) -> None:
        history, output = self.history(), list[str]()
        start, end = history.span()
        for at, ages in ((start + 10 * S, None), (end, None), (end, {"n1": 0.3, "n2\x1b[2J": 9.0}),
                         (end + 60 * S, None)):  # fmt: skip
            view = history.view(at, ages)
            output += [f"== {(at - start) / S:.0f} s, {view.state}", *text.lines(view, start, 80, "test")[1:]]
        self.assertLessEqual(max(map(len, output)), 80)
        self.assertNotIn("\x1b", "".join(output))
        self.check("console", output)

    def test_on_a_terminal_of_80_by_24(self) -> None:
        """Presses keys as a user would, and checks what the screen shows."""
        with tempfile.TemporaryDirectory() as folder:
            following = RecordFollower(Path(folder))
            following.history = self.history()
            output = list[str]()

            async def press() -> None:
                app = Console(following, live=False)
                async with app.run_test(size=(80, 24)) as pilot:

                    def note(what: str) -> None:
                        assert app.last_view is not None
                        first = following.history.span()[0]
                        rows = [str(app.query_one("#gateways").row_count)]  # type: ignore[attr-defined]
                        output.append(f"{what}: at {(app.last_view.at - first) / S:.0f} s, {rows[0]} "
                                      f"gateways, {type(app.screen).__name__}")  # fmt: skip

                    note("start")
                    for key in ("home", "full_stop", "right", "left", "left"):
                        await pilot.press(key)
                        note(key)
                    await pilot.press("enter")
                    await pilot.pause()
                    note("enter")
                    await pilot.press("escape")
                    await pilot.press("slash", *"n1", "enter")
                    await pilot.pause()
                    note("only n1")
                    await pilot.press("slash", "escape", "end")
                    await pilot.pause()
                    note("all again, end")

            anyio.run(press)
        self.check("console-keys", output)


def model_pulse(second: int) -> model.Pulse:
    at = (2 + second) * S
    return model.Pulse(at, at, 3, 100 * second, 30_000)


class Checker(TraceCase):
    """Passes the demo's checker reports that are wrong in one way each."""

    def test_each_kind_of_wrong_report_is_noticed(self) -> None:
        results, began = list[str](), 1000.0
        kill = scenario.Step(5, "kill", "n1", 2)
        slow = scenario.Step(2, "slow", "vault", 4)
        phases = [
            {"kind": "restart", "subject": "gateway n1", "start": 1005.1, "end": 1007.1},
            {"kind": "slow-source", "subject": "origin s-6", "start": 1002.2, "end": 1006.1},
        ]
        good: dict[str, Any] = {"phases": phases, "problems": [], "rules": [],
                                "accounting": {"complete": True, "verdicts": {}}}  # fmt: skip

        def truth(**changes: Any) -> Truth:
            steps = [ExecutedStep(kill, 1005, 1007), ExecutedStep(slow, 1002, 1006)]
            tries = [ClientGet("a", "n1", "pages", "7f", 1.0, 0, "returned", 0.1, answers=1),
                     ClientGet("b", "n1", "pages", "7f", 4.8, 0, "lost", 0.2),
                     ClientGet("c", "n1", "pages", "7f", 4.9, 0, "returned", 0.05, answers=1)]  # fmt: skip
            return Truth(steps, tries, [("n1", began + 5)], start=began, uids={"vault": "s-6"}, **changes)

        def gets(**changes: Any) -> dict[str, Any]:
            kept = {"a": ("n1", ["returned"], "once"), "b": ("n1", [], "crash")}
            return {name: Recorded(*one) for name, one in {**kept, **changes}.items() if one}

        torn = {"gateway": "n1", "boot": 1, "kind": "torn", "records": -1}
        cases: dict[str, tuple[dict[str, Any], dict[str, Any], Truth]] = {
            "right": (good, gets(), truth()),
            "torn as it was killed": ({**good, "problems": [torn]}, gets(), truth()),
            "an answer is missing": (good, gets(a=None), truth()),
            "an answer is there twice": (good, gets(a=("n1", ["returned", "returned"], "twice")), truth()),
            "another outcome": (good, gets(a=("n1", ["shed"], "once")), truth()),
            "a GET that nobody sent": (good, gets(z=("n1", ["shed"], "once")), truth()),
            "records are missing": ({**good, "problems": [{**torn, "kind": "lost"}]}, gets(), truth()),
            "no gap": ({**good, "phases": phases[1:]}, gets(), truth()),
            "too late": ({**good, "phases": [phases[0], {**phases[1], "end": 1007.3}]}, gets(), truth()),
            "a rule": ({**good, "rules": [{"rule": 3, "name": "drains", "verdict": "broken", "broken": 2,
                                           "examples": ["x"]}]}, gets(), truth()),
            "an exit code": (good, gets(), truth(codes={"n2": 1})),
            "stand-ins saw something": (good, gets(), truth(faults=["odd"])),
        }  # fmt: skip
        for name, case in cases.items():
            results.append(f"{name}: {'; '.join(check(*case)) or 'agrees'}")
        self.check("checker", results)


class Demo(unittest.TestCase):
    """Runs the demo on loopback: a mass purge while the origin is slow, one gateway killed, clocks apart."""

    def test_incident_is_reported_and_damaged_records_are_noticed(self) -> None:
        with tempfile.TemporaryDirectory() as holder:
            folder = Path(holder)
            records, json_file = folder / "records", folder / "demo.json"
            with (
                mock.patch.dict(os.environ, {"TMPDIR": holder}),
                mock.patch.object(tempfile, "tempdir", None),
            ):
                code, out = run(
                    "demo",
                    "--once",
                    "--seconds",
                    "16",
                    "--records",
                    str(records),
                    "--json",
                    str(json_file),
                    "--report",
                    str(folder / "report.html"),
                )
            self.assertEqual(code, 0, out)
            whole = json.loads(json_file.read_text())
            self.assertEqual(whole["differences"], [])
            self.assertTrue((folder / "report.html").read_text().startswith("<!doctype html>"))
            kinds = {phase["kind"] for phase in whole["report"]["phases"]}
            self.assertLessEqual({"purge", "slow-source", "restart"}, kinds)
            self.assertEqual(run("records", "verify", str(records / "n1"))[0], 0)
            self.check_damaged(records, folder, whole)

    def check_damaged(self, records: Path, folder: Path, whole: dict[str, Any]) -> None:
        """Removes one frame, or duplicates one: the reader and the checker must both report it."""
        for name in ("removed", "doubled"):
            damaged = folder / name
            shutil.copytree(records, damaged)
            path = store.segment_files(damaged / "n1")[0].path
            data = path.read_bytes()
            start = segment.decode_header(data).size
            frames = [part for part in segment.scan(data, start) if isinstance(part, segment.Frame)]
            index = next(n for n, part in enumerate(frames) if n > 200 and part.payload[1] == 6)
            begin, end = frames[index - 1].after, frames[index].after
            path.write_bytes(data[:begin] + (b"" if name == "removed" else data[begin:end] * 2) + data[end:])
            self.assertEqual(run("records", "verify", str(damaged))[0], 1)
            summary = reading.summary(reading.analyze(damaged))
            truth = Truth(start=0.0)
            wrong = [line for line in check(summary, recorded(damaged), truth) if "records of" in line]
            self.assertTrue(any(re.search("lost|doubled", line) for line in wrong), wrong)


if __name__ == "__main__":
    unittest.main()
