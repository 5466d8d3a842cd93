"""Which shape holds, from which revisions. No I/O.

How it is called: `Revisions(first)`; `apply(shape)` takes a revision whole or refuses it whole,
`rollback(number)` goes back, `told(name, state)` enters what the bulletin says of a node. `current` is the
shape that holds: the latest revision, without what the bulletin has drained or gone.

The rule where file and bulletin disagree: a drain or 'gone' always wins, whoever tells it; a node that only
one of them has is used only if the file has it, since the bulletin does not say who fills from whom.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from damsonstream.tiers.checks import Wrong, check
from damsonstream.tiers.shape import Shape

KEPT = 64  # revisions that can be gone back to


@dataclass(slots=True)
class Refused:
    revision: int
    wrong: list[Wrong]

    def __str__(self) -> str:
        return f"revision {self.revision} is refused: {'; '.join(one.what for one in self.wrong)}"


@dataclass(slots=True)
class Revisions:
    kept: dict[int, Shape] = field(default_factory=dict)  # by number, the latest last; bounded
    latest: int = 0
    states: dict[str, str] = field(
        default_factory=dict
    )  # by node, as the bulletin tells; as long as the list
    refused: int = 0
    held: Shape = field(default_factory=Shape)

    @property
    def current(self) -> Shape:
        return self.held

    def apply(self, shape: Shape) -> Refused | None:
        """Whole, or not at all: the last good one goes on."""
        wrong = []
        if shape.revision <= self.latest:
            wrong = [Wrong("size", f"its number is not above {self.latest}, the latest")]
        wrong = wrong or check(shape, self.kept.get(self.latest))
        if wrong:
            self.refused += 1
            return Refused(shape.revision, wrong)
        self.kept[shape.revision], self.latest = shape, shape.revision
        while len(self.kept) > KEPT:
            del self.kept[next(iter(self.kept))]
        self.settle()
        return None

    def rollback(self, number: int) -> Refused | None:
        """An earlier revision, as a new one: numbers only rise, so that gateways that are behind do not take
        it for old."""
        old = self.kept.get(number)
        if old is None:
            return Refused(
                number, [Wrong("size", f"revision {number} is not kept; there are {sorted(self.kept)}")]
            )
        return self.apply(replace(old, revision=self.latest + 1))

    def told(self, name: str, state: str) -> None:
        """The bulletin's word: active, leaving or left."""
        if self.states.get(name, "active") != state:
            self.states[name] = state
            self.settle()

    def settle(self) -> None:
        shape = self.kept.get(self.latest, Shape())
        gone = [name for name, state in self.states.items() if state != "active" and name in shape.nodes]
        for name in gone:
            shape = shape.without_node(name)
        self.held = shape


class Marks:
    """Loops that only a peer's older revision makes are seen where they close: a fill bears how many nodes it
    has passed."""

    def __init__(self, deepest: int) -> None:
        self.deepest, self.turned_back = deepest, 0

    def passes(self, hops: int) -> bool:
        """Whether a fill that has passed so many nodes may go on."""
        if hops < self.deepest:
            return True
        self.turned_back += 1
        return False
