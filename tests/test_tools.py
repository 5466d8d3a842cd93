"""The tools as they are used: settings in KDL, the command line, the console, a whole play of the demo."""

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
from damsonstream.console.follow import Following
from damsonstream.console.history import History
from damsonstream.demo import scenario
from damsonstream.demo.check import Recorded, check
from damsonstream.demo.play import Happened, Truth
from damsonstream.demo.verdict import recorded
from damsonstream.incident import gather as reading
from damsonstream.program import cli
from damsonstream.records import model, segment, store
from damsonstream.settings import kdl, operator
from damsonstream.standins.clients import Try
from tests.helpers import TraceCase
from tests.test_incident import S, Script, lines


def run(*arguments: str) -> tuple[int, str]:
    """Exit code and all that was printed."""
    out = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        try:
            code = cli.main(list(arguments))
        except SystemExit as stop:
            code = stop.code if isinstance(stop.code, int) else 1
    return code, out.getvalue()


class Settings(TraceCase):
    def test_faults_name_file_line_and_field(self) -> None:
        told = list[str]()
        files = {
            "good": 'records {\n  folder "/var/x" // where\n  bytes "1GiB"; age "36h"\n}',
            "nothing": "// all off\n/- records { folder 5 }\n",
            "no folder": "\n\nrecords {\n  bytes \"4MiB\"\n}",
            "a size": '/* two\nlines */ records {\n  folder "x"\n  bytes "4 MB"\n}',
            "too small": 'records { folder "x"; bytes "4KiB"; }',
            "a number for a text": 'records {\n  folder 5\n}',
            "unknown": 'records {\n  folder "x"\n  colour "red"\n}',
            "unknown at the top": 'records { folder "x"; }\nrecord {}\n',
            "twice": 'records { folder "x"; }\n\nrecords { folder "y"; }',
            "a property": 'records a=1 { folder "x"; }',
            "two values": 'records {\n  folder "x" "y"\n}',
            "a text over lines": 'records {\n  folder """\n  a\n  """\n  age 7\n}',
            "raw text before": 'records {\n  folder #"a " // b"#\n  age "7"\n}',
            "no KDL": 'records {\n  folder "x"\n  age = "7d"\n}',
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
                    told.append(f"{name}: {found.records and found.records.folder} {limits}")
                except kdl.Fault as fault:
                    told.append(f"{name}: {str(fault).replace(folder, '')}")
            path.unlink()
            try:
                operator.read(str(path))
            except kdl.Fault as fault:
                told.append(f"no file: {str(fault).replace(folder, '')}")
        self.check("operator", told)

    def test_scenarios_are_checked_before_anything_starts(self) -> None:
        told = list[str]()
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
                found = scenario.scenario("own", kdl.parse(f"step {{ {step}; }}", "own.kdl"))
                told.append(f"{name}: {found.steps}")
            except kdl.Fault as fault:
                told.append(f"{name}: {fault}")
        told += [f"shipped: {name}, {scenario.load(name).lasts:g} s" for name in scenario.shipped()]
        self.check("scenarios", told)


class CommandLine(TraceCase):
    def test_exit_codes(self) -> None:
        told = list[str]()
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
                told.append(
                    f"{' '.join(arguments).replace(folder, 'FOLDER') or 'nothing'}: {code}, {first[:90]}"
                )
        self.check("command-line", told)


class TheConsole(TraceCase):
    def history(self) -> History:
        history = History()
        for name, shift in (("n1", 0), ("n2\x1b[2J", 3 * S)):
            script = Script(name=name)
            for place in range(20):
                script.add(model_pulse(place))
                script.whole((2 + place) * S, took=100, outcome="shed" if place > 15 else "returned")
            script.add(model.Purge(6 * S, 3, "", 4, 6 * S))
            script.add(model.Purge(6 * S + 10, 4, "", 5, 6 * S))
            script.add(model.Breaker(15 * S, "parent", "p1", "Open", 5, 9, 6.5))
            script.add(model.Listed(16 * S, 5, False, False, lines(("c1", "shop", "leaving"))))
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

    def test_steps_through_time_and_shows_what_is_stale(self) -> None:
        history, told = self.history(), list[str]()
        start, end = history.span()
        for at, seen in ((start + 10 * S, None), (end, None), (end, {"n1": 0.3, "n2\x1b[2J": 9.0}),
                         (end + 60 * S, None)):  # fmt: skip
            view = history.view(at, seen)
            told += [f"== {(at - start) / S:.0f} s, {view.worst}", *text.lines(view, start, 80, "test")[1:]]
        self.assertLessEqual(max(map(len, told)), 80)
        self.assertNotIn("\x1b", "".join(told))
        self.check("console", told)

    def test_on_a_terminal_of_80_by_24(self) -> None:
        """Keys, as a user presses them; the screen is asked what it shows."""
        with tempfile.TemporaryDirectory() as folder:
            following = Following(Path(folder))
            following.history = self.history()
            told = list[str]()

            async def press() -> None:
                app = Console(following, live=False)
                async with app.run_test(size=(80, 24)) as pilot:

                    def say(what: str) -> None:
                        assert app.last_view is not None
                        first = following.history.span()[0]
                        rows = [str(app.query_one("#gateways").row_count)]  # type: ignore[attr-defined]
                        told.append(f"{what}: at {(app.last_view.at - first) / S:.0f} s, {rows[0]} gateways, "
                                    f"{type(app.screen).__name__}")  # fmt: skip

                    say("start")
                    for key in ("home", "full_stop", "right", "left", "left"):
                        await pilot.press(key)
                        say(key)
                    await pilot.press("enter")
                    await pilot.pause()
                    say("enter")
                    await pilot.press("escape")
                    await pilot.press("slash", *"n1", "enter")
                    await pilot.pause()
                    say("only n1")
                    await pilot.press("slash", "escape", "end")
                    await pilot.pause()
                    say("all again, end")

            anyio.run(press)
        self.check("console-keys", told)


def model_pulse(place: int) -> model.Pulse:
    at = (2 + place) * S
    return model.Pulse(at, at, 3, 100 * place, 30_000)


class Checker(TraceCase):
    """The demo's checker, against reports that are wrong in one way each."""

    def test_each_way_a_report_may_be_wrong(self) -> None:
        told, began = list[str](), 1000.0
        kill = scenario.Step(5, "kill", "n1", 2)
        slow = scenario.Step(2, "slow", "vault", 4)
        phases = [
            {"kind": "restart", "subject": "gateway n1", "start": 1005.1, "end": 1007.1},
            {"kind": "slow-source", "subject": "origin s-6", "start": 1002.2, "end": 1006.1},
        ]
        good: dict[str, Any] = {"phases": phases, "problems": [], "rules": [],
                                "accounting": {"complete": True, "verdicts": {}}}  # fmt: skip

        def truth(**changes: Any) -> Truth:
            steps = [Happened(kill, 1005, 1007), Happened(slow, 1002, 1006)]
            tries = [Try("a", "n1", "pages", "7f", 1.0, 0, "returned", 0.1, answers=1),
                     Try("b", "n1", "pages", "7f", 4.8, 0, "lost", 0.2),
                     Try("c", "n1", "pages", "7f", 4.9, 0, "returned", 0.05, answers=1)]  # fmt: skip
            return Truth(steps, tries, [("n1", began + 5)], began=began, uids={"vault": "s-6"}, **changes)

        def seen(**changes: Any) -> dict[str, Any]:
            kept = {"a": ("n1", ["returned"], "once"), "b": ("n1", [], "crash")}
            return {name: Recorded(*one) for name, one in {**kept, **changes}.items() if one}

        torn = {"gateway": "n1", "boot": 1, "kind": "torn", "records": -1}
        cases: dict[str, tuple[dict[str, Any], dict[str, Any], Truth]] = {
            "right": (good, seen(), truth()),
            "torn as it was killed": ({**good, "problems": [torn]}, seen(), truth()),
            "an answer is missing": (good, seen(a=None), truth()),
            "an answer is there twice": (good, seen(a=("n1", ["returned", "returned"], "twice")), truth()),
            "another outcome": (good, seen(a=("n1", ["shed"], "once")), truth()),
            "a GET that nobody sent": (good, seen(z=("n1", ["shed"], "once")), truth()),
            "records are missing": ({**good, "problems": [{**torn, "kind": "lost"}]}, seen(), truth()),
            "no gap": ({**good, "phases": phases[1:]}, seen(), truth()),
            "too late": ({**good, "phases": [phases[0], {**phases[1], "end": 1007.3}]}, seen(), truth()),
            "a rule": ({**good, "rules": [{"rule": 3, "name": "drains", "verdict": "broken", "broken": 2,
                                           "examples": ["x"]}]}, seen(), truth()),
            "an exit code": (good, seen(), truth(codes={"n2": 1})),
            "stand-ins saw something": (good, seen(), truth(faults=["odd"])),
        }  # fmt: skip
        for name, case in cases.items():
            told.append(f"{name}: {'; '.join(check(*case)) or 'agrees'}")
        self.check("checker", told)


class Demo(unittest.TestCase):
    """A mass purge while the vault is slow, one gateway killed, clocks apart: played on loopback."""

    def test_the_scripted_incident_is_told_and_a_spoilt_record_is_noticed(self) -> None:
        with tempfile.TemporaryDirectory() as holder:
            folder = Path(holder)
            records, told = folder / "records", folder / "demo.json"
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
                    str(told),
                    "--report",
                    str(folder / "report.html"),
                )
            self.assertEqual(code, 0, out)
            whole = json.loads(told.read_text())
            self.assertEqual(whole["differences"], [])
            self.assertTrue((folder / "report.html").read_text().startswith("<!doctype html>"))
            kinds = {phase["kind"] for phase in whole["report"]["phases"]}
            self.assertLessEqual({"purge", "slow-source", "restart"}, kinds)
            self.assertEqual(run("records", "verify", str(records / "n1"))[0], 0)
            self.spoil(records, folder, whole)

    def spoil(self, records: Path, folder: Path, whole: dict[str, Any]) -> None:
        """Takes one frame out, and puts one in twice: each must be told by the reader, and by the checker."""
        for name in ("removed", "doubled"):
            spoilt = folder / name
            shutil.copytree(records, spoilt)
            path = store.files(spoilt / "n1")[0].path
            data = path.read_bytes()
            start = segment.read_head(data).size
            frames = [part for part in segment.scan(data, start) if isinstance(part, segment.Whole)]
            place = next(n for n, part in enumerate(frames) if n > 200 and part.payload[1] == 6)
            begin, end = frames[place - 1].after, frames[place].after
            path.write_bytes(data[:begin] + (b"" if name == "removed" else data[begin:end] * 2) + data[end:])
            self.assertEqual(run("records", "verify", str(spoilt))[0], 1)
            told = reading.summary(reading.gather(spoilt))
            truth = Truth(began=0.0)
            wrong = [line for line in check(told, recorded(spoilt), truth) if "records of" in line]
            self.assertTrue(any(re.search("lost|doubled", line) for line in wrong), wrong)


if __name__ == "__main__":
    unittest.main()
