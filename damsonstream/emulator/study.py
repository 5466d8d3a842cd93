"""Experiments: the script that is run, what varies, what is measured, and statistics over the results.

No I/O except in `load`.

Usage: `load(path)` reads an `Experiment` (KDL, docs/experiments.md). `cells()` lists the runs that it needs;
a cell is one policy, size and seed. `digest(outcomes)` is equal for equal outcomes in any order.
`compare(...)` compares each policy with a given one, seed by seed.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from hashlib import blake2b
from pathlib import Path

import msgspec
import numpy as np

from damsonstream.emulator.baselines import DEFAULT_ROUTER, ROUTERS
from damsonstream.peers.features import FEATURES
from damsonstream.settings import kdl
from damsonstream.together import script
from damsonstream.together.checks import CHECKS, Check

MAX_SEEDS, MAX_SHOPS, MAX_CELLS = 200, 128, 5000
MIN_PAIRS = 3  # with fewer the verdict is always "can't tell"
RESAMPLES = 4000  # of the bootstrap; 100 of them lie below its 2.5% quantile
CONFIDENCE = 0.95


@dataclass(slots=True, frozen=True)
class Policy:
    """A router and the features that are switched off. `Experiment.key` hashes these fields."""

    name: str
    without: tuple[str, ...]
    router: str


@dataclass(slots=True, frozen=True)
class Measure:
    """A figure that each run yields. `Experiment.key` hashes these fields."""

    title: str
    check: Check
    better: str  # more or less


@dataclass(slots=True, frozen=True, order=True)
class Cell:
    """One run of an experiment."""

    shops: int
    policy: str
    seed: int


class Outcome(msgspec.Struct, frozen=True):
    """The results of one run: a figure for each measure. Stored and printed as JSON."""

    shops: int  # copies of the script's gateways and caches, each in a location of its own
    policy: str
    seed: int
    figures: list[float]
    gets: int
    faults: int  # violations seen by the nodes: effects that ran twice, forwards that name a drained node
    digest: str  # of everything recorded in the run


@dataclass(slots=True, frozen=True)
class Experiment:
    name: str
    about: str
    script: script.Script
    seeds: tuple[int, ...]
    shops: tuple[int, ...]
    policies: tuple[Policy, ...]
    measures: tuple[Measure, ...]

    def cells(self) -> list[Cell]:
        return [Cell(shops, policy.name, seed)
                for shops in self.shops for seed in self.seeds for policy in self.policies]  # fmt: skip

    def policy(self, name: str) -> Policy:
        return next(policy for policy in self.policies if policy.name == name)

    def key(self, cell: Cell, code: str) -> str:
        """Returns the key of a cell's stored outcome: a hash of all its inputs and of nothing else."""
        parts = (code, self.script, self.policy(cell.policy), cell.shops, cell.seed, self.measures)
        # "deterministic" sorts sets, whose order differs between processes
        return blake2b(msgspec.json.encode(parts, order="deterministic"), digest_size=12).hexdigest()


def load(path: str) -> Experiment:
    """Reads and checks an experiment's file; raises `kdl.Fault`."""
    top = kdl.read(path)
    script_path = top.text("script")
    if not script_path:
        raise top.error("the field script is missing")
    loaded = script.load(str(Path(path).parent / script_path))
    if lasts := top.duration("lasts", 0.0):
        loaded = replace(loaded, lasts=min(lasts, loaded.lasts))
    first = int(top.number("first-seed", 1, 0, 1 << 30))
    seeds = tuple(range(first, first + int(top.number("seeds", 5, 1, MAX_SEEDS))))
    shops = read_shops(top, bool(loaded.zones))
    policies = tuple(read_policy(section) for section in top.sections("policy")) or (
        Policy("all", (), DEFAULT_ROUTER),
    )
    measures = tuple(read_measure(section, loaded) for section in top.sections("measure"))
    if not measures:
        raise top.error("at least one measure is required")
    if len({one.name for one in policies}) < len(policies):
        raise top.error("two policies have the same name", "policy")
    about = top.text("about", Path(path).stem)
    top.finish()
    experiment = Experiment(Path(path).stem, about, loaded, seeds, shops, policies, measures)
    if len(experiment.cells()) > MAX_CELLS:
        raise top.error(f"needs {len(experiment.cells())} runs, more than the maximum of {MAX_CELLS}")
    return experiment


def read_shops(top: kdl.Section, has_zones: bool) -> tuple[int, ...]:
    sections = top.sections("shops")
    if not sections:
        return (1,)
    shops = []
    for value in sections[0].args:
        if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= MAX_SHOPS:
            raise sections[0].error(f"{value!r} is not an integer from 1 to {MAX_SHOPS}")
        shops.append(value)
    if not shops or len(sections) > 1:
        raise sections[0].error("must be given once, with at least one number")
    if has_zones and shops != [1]:
        raise sections[0].error("a script with zones defines its own gateways, so shops must be 1")
    return tuple(dict.fromkeys(shops))


def read_policy(section: kdl.Section) -> Policy:
    if len(section.args) != 1 or not isinstance(section.args[0], str) or not section.args[0]:
        raise section.error("must have the policy's name as its only argument")
    without, router = section.texts("without"), section.text("router", DEFAULT_ROUTER)
    for feature in without:
        if feature not in FEATURES:
            raise section.error(f"{feature} is not one of {', '.join(FEATURES)}", "without")
    if router not in ROUTERS:
        raise section.error(f"{router} is not one of {', '.join(ROUTERS)}", "router")
    section.finish()
    return Policy(section.args[0], tuple(sorted(without)), router)


def read_measure(section: kdl.Section, loaded: script.Script) -> Measure:
    if len(section.args) != 1 or section.args[0] not in CHECKS:
        raise section.error(f"must be one of {', '.join(CHECKS)}")
    name, of = str(section.args[0]), section.text("of")
    start, end = section.duration("from", 0.0), section.duration("until", loaded.lasts)
    better = section.text("better", "more")
    if better not in ("more", "less"):
        raise section.error(f"{better} is not one of more, less", "better")
    section.finish()
    title = f"{name} {of or 'all'} {start:g} to {end:g} s"
    return Measure(title, Check(name, of, start, end), better)


def digest(outcomes: Iterable[Outcome]) -> str:
    """Returns a hash that does not depend on the order of the outcomes."""
    ordered = sorted(outcomes, key=lambda one: (one.shops, one.policy, one.seed))
    return blake2b(msgspec.json.encode(ordered), digest_size=16).hexdigest()


class Comparison(msgspec.Struct, frozen=True):
    """A paired comparison of two policies by one measure: the mean difference and its confidence interval."""

    measure: str
    shops: int
    policy: str
    against: str
    mean: float
    base: float  # mean of `against`
    difference: float
    low: float  # bounds of the confidence interval of `difference`
    high: float
    pairs: int  # seeds
    verdict: str  # better, worse or can't tell


def compare(experiment: Experiment, outcomes: Sequence[Outcome], against: str) -> list[Comparison]:
    """Compares each policy with `against`, for each measure and size, over the seeds that both have run."""
    by_cell = {(one.shops, one.policy, one.seed): one for one in outcomes}
    comparisons = []
    for index, measure in enumerate(experiment.measures):
        for shops in experiment.shops:
            for policy in experiment.policies:
                if policy.name == against:
                    continue
                both = []
                for seed in experiment.seeds:
                    outcome, baseline = (
                        by_cell.get((shops, policy.name, seed)), by_cell.get((shops, against, seed)),
                    )  # fmt: skip
                    if outcome is not None and baseline is not None:
                        both.append((outcome.figures[index], baseline.figures[index]))
                if both:
                    comparisons.append(compare_pairs(measure, shops, policy.name, against, both))
    return comparisons


def compare_pairs(
    measure: Measure, shops: int, name: str, against: str, both: Sequence[tuple[float, float]]
) -> Comparison:
    """Compares two policies by the figures of each seed (`both`: the policy's and the other's).

    The confidence interval is a bootstrap of the differences; its random numbers depend only on their count.
    """
    figures = np.asarray(both, dtype=float)
    differences = figures[:, 0] - figures[:, 1]
    resampled = np.random.default_rng(len(differences)).choice(differences, (RESAMPLES, len(differences)))
    low, high = np.quantile(resampled.mean(axis=1), [(1 - CONFIDENCE) / 2, (1 + CONFIDENCE) / 2])
    verdict = "can't tell"
    if len(differences) >= MIN_PAIRS and (low > 0 or high < 0):
        verdict = "better" if (low > 0) == (measure.better == "more") else "worse"
    values = [*figures.mean(axis=0), differences.mean(), low, high]
    mean, base, difference, low, high = (round(float(value), 4) for value in values)
    pairs = len(differences)
    return Comparison(measure.title, shops, name, against, mean, base, difference, low, high, pairs, verdict)
