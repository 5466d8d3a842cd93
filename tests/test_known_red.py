"""KNOWN-RED.txt: only the bound that is listed for a play may fail, and each case names what exists."""

from __future__ import annotations

import pkgutil
import unittest

from damsonstream.together import script
from damsonstream.together.checks import Observations, evaluate_check
from tests import known_red
from tests.known_red import BrokenBound, unexpected
from tests.test_together import SCRIPTS

CASE = """\
# a comment
play: zone-flap
bound: returned all 0 to 48 s (least 0.75)
command: damsonstream together run
  examples/together/zone-flap.kdl
seed: 1
seen: 0.65
issue: Zones
"""


class KnownRedFile(unittest.TestCase):
    def test_each_case_names_a_test_or_a_bound_of_a_shipped_script(self) -> None:
        for case in known_red.load():
            if case.play.startswith("tests."):
                module, _, method = case.play.rpartition(".")
                self.assertTrue(callable(getattr(pkgutil.resolve_name(module), method)))
                continue
            checks = script.load(str(SCRIPTS / f"{case.play}.kdl")).checks
            verdicts = [evaluate_check(check, Observations([])) for check in checks]
            self.assertIn(case.bound, [f"{verdict.name} ({verdict.bound})" for verdict in verdicts])

    def test_cases_are_read_whole_or_refused(self) -> None:
        [case] = known_red.parse(CASE)
        self.assertEqual(case.command, "damsonstream together run examples/together/zone-flap.kdl")
        lacks_key, lacks_value = CASE.replace("seed: 1\n", ""), CASE.replace("seen: 0.65", "seen:")
        for faulty in (lacks_key, lacks_value, CASE + "more: x\n"):
            with self.assertRaises(ValueError):
                known_red.parse(faulty)

    def test_only_the_listed_bound_of_the_listed_play_is_passed_over(self) -> None:
        cases = known_red.parse(CASE)
        listed = BrokenBound("zone-flap", "returned all 0 to 48 s (least 0.75)", 0.65)
        other_bound = BrokenBound("zone-flap", "fills north 27 to 31 s (most 60)", 83)
        tighter = BrokenBound("zone-flap", "returned all 0 to 48 s (least 0.8)", 0.65)
        other_play = BrokenBound("zone-loss", "returned all 0 to 48 s (least 0.75)", 0.65)
        self.assertEqual(unexpected([listed], cases), [])
        for broken in (other_bound, tighter, other_play):
            self.assertEqual(unexpected([listed, broken], cases), [broken])
