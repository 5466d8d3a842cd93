"""Selects the sources that each fill may use at one gateway, according to the operator's hierarchy. No I/O.

The router calls `contains`, `eligible_sources`, `charge_fill`, `refund_fill`, `record_fill` and
`breaker_changed` (`routing/interface.py`, Hierarchy). Around it, `apply(now, topology)` applies or refuses a
revision, `set_node_state(name, state)` records node states from the discovery feed (the bulletin), and
`tick(now)`, about ten times a second, passes on what this gateway observed of each zone. Times are whole
tenths of a millisecond.

Of the sources that the router could use, those remain that the file lets this cache fill from: first the hubs
of its own zone, in the router's hash order, if the zone serves the object; then hubs of the zones that it may
spill into (tiers/spill.py); then the vault, under the cap shared by all gateways (tiers/shield.py). If none
is left, the GET is answered from cached copies only, or shed. A trial at a hub whose breaker is Half-Open is
always allowed, whatever the state of its zone: the router's breaker and the fleet space these trials. While a
zone is lost for the whole fleet, all gateways of a location together also probe its hubs with `TRIAL_RATE`
fills a second; the answers end the loss.

The state of a zone comes from `coordinator`: the fleet's `PeerAgent`, or `LocalCoordinator` where gateways
exchange no messages.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from damsonstream.tiers.hierarchy import CACHE, HUB, VAULT, Topology
from damsonstream.tiers.revisions import Refusal, Revisions
from damsonstream.tiers.shield import Shield
from damsonstream.tiers.spill import GOLDEN_RATIO, SpillPolicy, TokenBucket
from damsonstream.tiers.zone_status import ZoneTracker
from damsonstream.tiers.zones import FIRST_SHARE, MAX_FAILING_SHARE, TRIALS_TO_RETURN

SECOND = 10_000  # in tenths of a millisecond
# Consecutive failures after which a hub whose breaker is not Closed counts as dead. A breaker also opens when
# only half of the fills fail: with two fifths failing, one hub in 16 has such a run, and two hubs at once
# hardly ever.
FAILURE_RUN = 3
# Trial fills per second at a lost zone by all gateways of its location together, so that enough of them
# succeed within a second. Divided among a whole fleet of 200 gateways, the return began only after 26 s.
TRIAL_RATE = 2.0 * TRIALS_TO_RETURN
# Budgets that a fill can be charged to.
SPILL_BUDGET, TRIAL_BUDGET, VAULT_BUDGET = "spilled", "tried", "guarded"


class Coordinator(Protocol):
    """Provides the state of zones and this gateway's share of the fleet's budgets."""

    @property
    def zones(self) -> ZoneTracker | None: ...

    def set_zones(self, now: int, zones: dict[str, float]) -> None:
        """Sets the zones of the file, each with the seconds of its ramp."""

    # the share of a zone's own objects that its hubs are asked for
    def zone_home_share(self, now: int, zone: str) -> float: ...

    def observe_zone(
        self, now: int, zone: str, failing: bool, own: bool, answered: bool, hubs: list[str]
    ) -> None:
        """Records what this gateway observed of a zone since the last call.

        `failing`: the breakers of most of its hubs are Open; `own`: a hub failed; `answered`: a hub
        answered."""

    def zone_state(self, now: int, zone: str) -> tuple[str, int, int]:
        """Returns the state, the completed twentieths of a return, and the flaps."""

    def hub_is_dead(self, hub: str) -> bool:
        """Returns whether enough gateways observed nothing but failures of the hub."""

    # this gateway's share of a budget of the whole fleet, or of its own location (`home`)
    def limit_share(self, now: int, home: bool) -> float: ...


class LocalCoordinator:
    """Decides from this gateway's own observations and gives each gateway an equal share of the budgets."""

    def __init__(self, gateways: int) -> None:
        self.gateways, self.zones = max(1, gateways), ZoneTracker(quorum=1)

    def set_zones(self, now: int, zones: dict[str, float]) -> None:
        self.zones.set_zones(zones, now / SECOND)

    def zone_home_share(self, now: int, zone: str) -> float:
        return self.zones.home_share(zone, now / SECOND)

    def observe_zone(
        self, now: int, zone: str, failing: bool, own: bool, answered: bool, hubs: list[str]
    ) -> None:
        self.zones.observe(zone, failing, 0, 0, now / SECOND, answered, own)
        if own or answered:
            self.zones.record_trial(zone, answered, now / SECOND)
        self.zones.advance(now / SECOND)

    def zone_state(self, now: int, zone: str) -> tuple[str, int, int]:
        status = self.zones.views[zone].status
        return self.zones.state(zone, now / SECOND), status.progress, status.flaps

    def hub_is_dead(self, hub: str) -> bool:
        return False

    def limit_share(self, now: int, home: bool) -> float:
        return 1 / self.gateways


@dataclass(slots=True)
class ZoneObservation:
    """What this gateway observed of a zone's hubs since the last tick."""

    failed: bool = False
    answered: bool = False
    trial_bucket: TokenBucket | None = None


class SourceSelector:
    """Source selection of one gateway."""

    def __init__(self, common: Coordinator, index: int, now: int, bounded: bool = True) -> None:
        """`index` of this gateway in the fleet, by which phases differ; not `bounded`: the file's order of
        sources without limits or zone states."""
        self.coordinator, self.bounded = common, bounded
        self.phase = (index * GOLDEN_RATIO) % 1.0  # evenly spread over consecutive indexes
        self.revisions = Revisions()
        self.spill = SpillPolicy(Topology(), self.phase)
        self.shield = Shield(0.0, now / SECOND)
        # hubs whose breaker is not Closed; removed when it closes or the file drops the hub
        self.tripped: set[str] = set()
        self.failure_runs: Counter[str] = Counter()  # consecutive failures by hub of the file
        self.observations: dict[str, ZoneObservation] = {}  # by zone of the file
        self.hubs_by_zone: dict[str, list[str]] = {}
        # indexes for the lookups of each GET, rebuilt with each topology
        self.sources_by_cache: dict[str, frozenset[str]] = {}
        self.zone_by_hub: dict[str, str] = {}
        self.vaults: frozenset[str] = frozenset()
        # zones of this gateway's own caches, added at the first fill that looks beyond the home hubs
        self.local_zones: set[str] = set()

    # revisions and node states

    @property
    def topology(self) -> Topology:
        return self.revisions.current

    def apply(self, now: int, topology: Topology) -> Refusal | None:
        """Applies a revision, or returns why it is refused; remaining zones keep their states and budgets."""
        refused = self.revisions.apply(topology)
        if refused is None:
            previous, self.spill = self.spill, SpillPolicy(topology, self.phase)
            self.spill.buckets |= {n: b for n, b in previous.buckets.items() if n in self.spill.buckets}
            self.spill.spilled, self.spill.unplaced = previous.spilled, previous.unplaced
            self.coordinator.set_zones(
                now, {name: zone.ramp for name, zone in sorted(topology.zones.items())}
            )
            self.observations = {
                name: self.observations.get(name, ZoneObservation()) for name in topology.zones
            }
            self.local_zones.intersection_update(topology.zones)
            self.shield.cap = topology.vault_cap
            self.rebuild_index()
        return refused

    def set_node_state(self, name: str, state: str) -> None:
        """Records a node's state from the discovery feed: active, leaving or left."""
        before = self.topology
        self.revisions.set_node_state(name, state)
        if self.topology is not before:
            self.rebuild_index()

    def rebuild_index(self) -> None:
        """Rebuilds the lookup indexes and drops state of removed nodes."""
        topology = self.topology
        self.zone_by_hub = {node.name: node.zone for node in topology.nodes_with_role(HUB)}
        self.hubs_by_zone = {zone: [] for zone in topology.zones}
        for name, zone in self.zone_by_hub.items():
            self.hubs_by_zone.setdefault(zone, []).append(name)
        self.vaults = frozenset(node.name for node in topology.vaults)
        known = {*self.zone_by_hub, *self.vaults}
        self.sources_by_cache = {
            node.name: frozenset(known.intersection(node.sources)) for node in topology.nodes_with_role(CACHE)
        }
        self.tripped.intersection_update(topology.nodes)
        self.failure_runs = Counter(
            {name: run for name, run in self.failure_runs.items() if name in topology.nodes}
        )

    # called by the router (routing/interface.py, Hierarchy)

    def contains(self, cache: str) -> bool:
        """Returns whether the file states the cache's sources."""
        return cache in self.sources_by_cache

    def eligible_sources(self, now: int, cache: str, hash_point: float, sources: list[str]) -> list[str]:
        """Returns those of the `sources` that may fill an object of the cache, in the order to try them.

        `hash_point` is the object's hash (0 to 1); `sources` are usable ones in hash order."""
        file_sources = self.sources_by_cache.get(cache)
        if file_sources is None or (home := self.topology.nodes[cache].zone) not in self.spill.zones:
            return []
        allowed, zone_by_hub = [name for name in sources if name in file_sources], self.zone_by_hub
        home_hubs = [name for name in allowed if zone_by_hub.get(name) == home]
        if home_hubs and (not self.bounded or hash_point < self.coordinator.zone_home_share(now, home)):
            return home_hubs  # most GETs end here, without looking at other zones
        vault = [name for name in allowed if name in self.vaults]
        gateway_share, at = self.coordinator.limit_share(now, False), now / SECOND
        self.local_zones.add(home)
        if not self.bounded:
            zones = [home, *self.spill.spill_order(home)]
        else:
            zones = self.spill.candidate_zones(
                home, hash_point, lambda zone: self.coordinator.zone_home_share(now, zone), gateway_share, at
            )
            self.shield.share = gateway_share
            vault = [name for name in vault if self.shield.has_token(at)]
        selected = [name for zone in zones for name in allowed if zone_by_hub.get(name) == zone]
        if home not in zones:
            lost = self.coordinator.zone_home_share(now, home) < FIRST_SHARE  # a returning zone has its ramp
            probe = lost and self.trial_bucket(home).has_token(
                TRIAL_RATE * self.coordinator.limit_share(now, True),
                at,
            )
            selected = [
                n for n in allowed if zone_by_hub.get(n) == home and (probe or n in self.tripped)
            ] + selected
        selected += vault
        if not selected:
            self.spill.unplaced[home] += 1
        return selected

    def trial_bucket(self, zone: str) -> TokenBucket:
        """Returns the bucket of trial fills at a lost zone, created on first use."""
        observation = self.observations[zone]
        if observation.trial_bucket is None:
            observation.trial_bucket = TokenBucket(self.phase)
        return observation.trial_bucket

    def charge_fill(self, now: int, cache: str, source: str) -> str:
        """Charges a fill that is sent; returns the budget that it was charged to, for `refund_fill`."""
        cache_node, source_node = self.topology.nodes.get(cache), self.topology.nodes.get(source)
        if cache_node is None or source_node is None:
            return ""
        if source_node.role == VAULT:
            self.shield.take(now / SECOND)
            return VAULT_BUDGET
        if source_node.zone != cache_node.zone:
            self.spill.charge(cache_node.zone, source_node.zone)
            return SPILL_BUDGET
        if (
            self.coordinator.zone_home_share(now, cache_node.zone) < FIRST_SHARE
            and source not in self.tripped
        ):
            self.trial_bucket(cache_node.zone).tokens -= 1.0
            return TRIAL_BUDGET
        return ""

    def refund_fill(self, cache: str, source: str, paid: str) -> None:
        """Refunds a fill that did not reach the source, since the copy was in the cache."""
        cache_node, source_node = self.topology.nodes.get(cache), self.topology.nodes.get(source)
        if paid == VAULT_BUDGET:
            self.shield.refund()
        elif cache_node is not None and source_node is not None and paid == SPILL_BUDGET:
            self.spill.refund(cache_node.zone, source_node.zone)
        elif cache_node is not None and paid == TRIAL_BUDGET:
            self.trial_bucket(cache_node.zone).tokens += 1.0

    def record_fill(self, now: int, source: str, bad: bool) -> None:
        """Records how a fill from a source ended."""
        source_node = self.topology.nodes.get(source)
        if source_node is None or source_node.role == CACHE:
            return  # the answers of caches do not show the state of their zone's hubs
        if source_node.role == VAULT:
            self.shield.record_result(now / SECOND, not bad)
        elif (observation := self.observations.get(source_node.zone)) is not None:
            observation.failed |= bad
            observation.answered |= not bad
            self.failure_runs[source] = self.failure_runs[source] + 1 if bad else 0
            if source_node.zone not in self.local_zones:
                self.spill.buckets[source_node.zone].record_result(not bad)

    def breaker_changed(self, source: str, state: str) -> None:
        """Records the new state of a source's breaker."""
        if state == "Closed":
            self.tripped.discard(source)
            self.failure_runs.pop(source, None)
        elif source in self.topology.nodes:
            self.tripped.add(source)

    # zones

    def most_hubs_failing(self, zone: str) -> bool:
        """Returns whether most hubs of a zone are dead: their breakers are not Closed, and each has a run of
        failures or the fleet reports it dead. Slow or partly failing hubs are left to their breakers."""
        hubs = self.hubs_by_zone.get(zone, [])
        failing = [
            n
            for n in hubs
            if n in self.tripped and (self.failure_runs[n] >= FAILURE_RUN or self.coordinator.hub_is_dead(n))
        ]
        return len(failing) > MAX_FAILING_SHARE * len(hubs)

    def tick(self, now: int) -> None:
        """Passes the observations of each zone on to the coordinator."""
        for zone, observation in self.observations.items():
            failed, answered, observation.failed, observation.answered = (
                observation.failed,
                observation.answered,
                False,
                False,
            )
            self.coordinator.observe_zone(
                now, zone, self.most_hubs_failing(zone), failed, answered, self.hubs_by_zone.get(zone, [])
            )
