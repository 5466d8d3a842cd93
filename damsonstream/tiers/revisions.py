"""Keeps the revisions of the topology and derives the effective one. No I/O.

`apply(topology)` accepts or refuses a revision as a whole, `rollback(number)` returns to an earlier one, and
`set_node_state(name, state)` records a node's state from the discovery feed (the bulletin). `current` is the
effective topology: the latest revision without the nodes that the feed reports as drained or gone.

Where the file and the discovery feed disagree, a drain or removal in either of them wins. A node that only
one of them lists is used only if it is in the file, since the feed does not state sources.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from damsonstream.tiers.checks import Problem, check
from damsonstream.tiers.hierarchy import Topology

MAX_KEPT_REVISIONS = 64  # revisions that a rollback can return to


@dataclass(slots=True)
class Refusal:
    """Why a revision was not applied."""

    revision: int
    problems: list[Problem]

    def __str__(self) -> str:
        return f"revision {self.revision} is refused: {'; '.join(problem.what for problem in self.problems)}"


@dataclass(slots=True)
class Revisions:
    """The applied revisions, and the effective topology."""

    # by number, the latest last; at most MAX_KEPT_REVISIONS
    history: dict[int, Topology] = field(default_factory=dict)
    latest: int = 0
    # by node, from the discovery feed; grows with its node list
    node_states: dict[str, str] = field(default_factory=dict)
    refusals: int = 0
    effective: Topology = field(default_factory=Topology)

    @property
    def current(self) -> Topology:
        return self.effective

    def apply(self, topology: Topology) -> Refusal | None:
        """Applies a revision, or returns why it is refused; the last valid one then stays in use."""
        problems = []
        if topology.revision <= self.latest:
            problems = [Problem("size", f"its number is not above {self.latest}, the latest")]
        problems = problems or check(topology, self.history.get(self.latest))
        if problems:
            self.refusals += 1
            return Refusal(topology.revision, problems)
        self.history[topology.revision], self.latest = topology, topology.revision
        while len(self.history) > MAX_KEPT_REVISIONS:
            del self.history[next(iter(self.history))]
        self.recompute()
        return None

    def rollback(self, number: int) -> Refusal | None:
        """Applies an earlier revision again under a new number.

        Numbers only rise, so that gateways which lag behind do not ignore it as old."""
        revision = self.history.get(number)
        if revision is None:
            return Refusal(
                number, [Problem("size", f"revision {number} is not kept; available: {sorted(self.history)}")]
            )
        return self.apply(replace(revision, revision=self.latest + 1))

    def set_node_state(self, name: str, state: str) -> None:
        """Records a node's state from the discovery feed: active, leaving or left."""
        if self.node_states.get(name, "active") != state:
            self.node_states[name] = state
            self.recompute()

    def recompute(self) -> None:
        """Derives the effective topology from the latest revision and the node states."""
        topology = self.history.get(self.latest, Topology())
        inactive = [
            name for name, state in self.node_states.items() if state != "active" and name in topology.nodes
        ]
        for name in inactive:
            topology = topology.without_node(name)
        self.effective = topology


class HopLimit:
    """Limits the hops of a fill, which carries a hop count.

    This ends loops that arise only because a peer still uses an older revision."""

    def __init__(self, deepest: int) -> None:
        self.max_hops, self.rejected = deepest, 0

    def allows(self, hops: int) -> bool:
        """Returns whether a fill that has passed through `hops` nodes may be forwarded."""
        if hops < self.max_hops:
            return True
        self.rejected += 1
        return False
