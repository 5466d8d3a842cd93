"""One gateway's part in the decisions of the fleet: membership, shared evidence, trials, shares of caps, and
the gossip that carries them. No I/O.

Usage: the router calls `may_try` and `limit_share` for decisions, and `get_received`, `record_outcome`,
`trial_started`, `trial_ended`, `nodes_listed` and `node_restarted` to report events (`routing/interface.py`,
PeerGroup). The transport passes each datagram to `receive(now, sender, data)`, where `sender` is the index of
its source address in the list of peers (negative: not in the list), and calls `poll(now)` every
GOSSIP_INTERVAL for the datagrams to send. Both return verdicts for the router. Times are whole tenths of a
millisecond of this gateway's own clock, and are never compared with another gateway's clock.

Each of `features` can be switched off. Decisions are then made as if no message had ever come.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from damsonstream.peers import rendezvous, wire
from damsonstream.peers.evidence import Evidence
from damsonstream.peers.features import FEATURES
from damsonstream.peers.gossip import Gossip
from damsonstream.peers.membership import HEARTBEAT_INTERVAL, Membership
from damsonstream.peers.shares import Shares
from damsonstream.peers.subsets import assign
from damsonstream.peers.trials import TrialSchedule
from damsonstream.routing.interface import PeerVerdict
from damsonstream.routing.router import stable_hash as router_digest

if TYPE_CHECKING:
    from damsonstream.tiers.zone_status import ZoneStatus, ZoneTracker

S = 10_000  # clock ticks (0.1 ms) per second
GOSSIP_INTERVAL = S // 10  # between rounds of gossip; an item passes through 200 gateways in about six rounds
# Peers that receive gossip in a round; with the repeats of peers/gossip.py all but one in a thousand get it.
FANOUT = 2
JOIN_FANOUT = 4  # other gateways, besides the neighbors, to which a starting gateway sends its heartbeat
# For this long after a start, heartbeats carry more relayed ones, so that all gateways are known soon.
JOIN_PERIOD = 5 * S
JOIN_RELAYED, MAX_HEARTBEAT_BYTES = 4, 24  # relayed heartbeats per datagram then, and the size limit of each
DEMAND_WARMUP = 2 * S  # after a start, until the demand can be measured; none is reported before
MAX_HEADER_BYTES = 40  # of a datagram without items
# Gateways that watch a source or cache and run its trials: two of them may be silent.
WATCHERS = 3
# If `poll` was not called for this long, the process stalled, and datagrams waiting in its socket are old.
STALL_THRESHOLD = 5 * GOSSIP_INTERVAL
STALL_DISCARD = 2 * GOSSIP_INTERVAL  # after a stall, datagrams are discarded as old for this long
# How far a boot may be ahead of this gateway's, in tenths of a second (a day); later ones are invalid.
MAX_BOOT_LEAD = 864_000


# A zone counts as dead if more than this fraction of its hubs is; else the others carry on (tiers/zones.py).
DEAD_HUBS_FRACTION = 0.5


def hash_zone(name: str) -> int:
    """Returns the 32-bit hash of a zone's name, the same on all gateways."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def source_id(name: str) -> int:
    """Returns the 32-bit hash of a source's name: the low bits of the router's hash."""
    return router_digest(name) & 0xFFFFFFFF


class PeerAgent:
    """The state of one gateway in the fleet."""

    def __init__(
        self, name: str, own_index: int, fleet_size: int, location: int, location_size: int, boot: int,
        message_cost: float, seed: int, now: int, features: frozenset[str] = frozenset(FEATURES),
    ) -> None:  # fmt: skip
        """`own_index`: in the list of peers; `fleet_size`, `location_size`: configured numbers of gateways,
        of the fleet and of this location; `location`: index of this location; `message_cost`: as for
        Gossip."""
        self.name, self.own_index, self.location, self.features = name, own_index, location, features
        self.rng = random.Random(seed)
        self.members = Membership(own_index, boot, fleet_size, now)
        self.evidence, self.trials = Evidence(own_index, fleet_size), TrialSchedule(own_index)
        static = "shares" not in features
        self.location_shares = Shares(own_index, location, location_size, now, static)
        self.fleet_shares = Shares(
            own_index, wire.ALL_LOCATIONS, fleet_size, now, static, self.location_shares.get_times
        )
        self.gossip = Gossip(message_cost, now)
        self.gossip.fleet_size = fleet_size
        # by peer; limited by the list of peers
        self.replay_windows: dict[int, wire.ReplayWindow] = {}
        self.index_by_name: dict[str, int] = {name: own_index}  # each name belongs to one index
        self.pending_closes: list[tuple[int, int]] = []  # heap of (when to close, source); emptied by time
        # sources reported dead to the router; emptied as the verdict ends
        self.reported_dead: set[int] = set()
        # by source; until it succeeds, restarts or leaves the list
        self.dead_since: dict[int, int] = {}
        # Sources whose breaker opened here on other gateways' reports alone. Own outcomes outweigh reports,
        # so this gateway tries each of them itself once. Emptied by own trials, and as the list drops
        # sources.
        self.opened_by_peers: set[int] = set()
        # receiver, item; emptied at each poll
        self.direct_items: list[tuple[int, wire.LeaseRequest | wire.Grant]] = []
        # By `in_location`: the sources, and their watchers, which are computed again when lists change.
        self.sources: dict[bool, tuple[int, ...]] = {True: (), False: ()}
        self.assignments: dict[bool, tuple[tuple[int, ...], dict[int, list[int]]]] = {}
        self.sequence, self.started_at, self.polled_at, self.next_heartbeat_at, self.resumed_at = (
            0, now, now, now, -S,
        )  # fmt: skip
        self.counters: Counter[str] = Counter()
        self.zones: ZoneTracker | None = None  # None: no zones are followed
        self.zone_names: dict[int, str] = {}  # by hash
        # called for each trial of this gateway: time, source, and `begun`, `good` or `bad`
        self.on_trial: Callable[[int, int, str], None] = lambda now, source, state: None

    # calls of the router

    def get_received(self, now: int) -> None:
        """Counts a GET."""
        self.location_shares.record_get(now)

    def record_outcome(self, now: int, source: int, in_location: bool, failed: bool) -> None:
        """Records how a forward ended, as its breaker was notified. `in_location`: the source is of this
        location, and concerns only its gateways."""
        if "evidence" in self.features:
            self.evidence.record_outcome(now, source, self.audience(in_location), failed)

    def node_restarted(self, source: int) -> None:
        """Drops what is known of a source that runs as a new process."""
        self.opened_by_peers.discard(source)
        self.clear_source(source)

    def clear_source(self, source: int) -> None:
        """Drops all reports and verdicts on a source."""
        self.evidence.clear(source)
        self.reported_dead.discard(source)
        self.dead_since.pop(source, None)

    def audience(self, in_location: bool) -> int:
        """Returns the location whose gateways are concerned by items on a source."""
        return self.location if in_location else wire.ALL_LOCATIONS

    def may_try(self, now: int, source: int, in_location: bool, cooldown_end: int) -> bool:
        """Returns whether this gateway may run a trial now; `cooldown_end`: when its own cooldown ended."""
        if "turns" not in self.features or source in self.opened_by_peers:
            return True
        return self.trials.may_try(now, source, cooldown_end, self.trial_candidates(now, source, in_location))

    def trial_started(self, now: int, source: int, in_location: bool) -> None:
        """Announces a trial that begins here."""
        self.on_trial(now, source, "begun")
        if "turns" in self.features:
            message = self.trials.begin(now, source, self.audience(in_location), self.members.boot)
            if message is not None:
                self.gossip.publish(now, message)

    def trial_ended(self, now: int, source: int, in_location: bool, succeeded: bool) -> None:
        """Publishes the result of a trial that ended here."""
        self.on_trial(now, source, "good" if succeeded else "bad")
        self.opened_by_peers.discard(source)
        if succeeded:
            self.clear_source(source)
        if "turns" in self.features:
            message = self.trials.finish(
                now, source, self.audience(in_location), self.members.boot, succeeded
            )
            if message is not None:
                self.gossip.publish(now, message)

    def limit_share(self, now: int, in_location: bool) -> float:
        """Returns this gateway's fraction of the caps of its location or of the fleet."""
        return (self.location_shares if in_location else self.fleet_shares).fraction(now)

    # groups of gateways

    def gateways(self, in_location: bool) -> list[int]:
        """Returns all gateways of the fleet, or those known to be of this location, this one included."""
        if not in_location:
            return list(range(self.members.fleet_size))
        others = self.members.others
        return sorted(
            [self.own_index, *(peer for peer, member in others.items() if member.location == self.location)]
        )

    def watchers(self, source: int, in_location: bool) -> list[int]:
        """Returns the gateways that watch a source; empty: all alike."""
        if "subsets" not in self.features:
            return []
        gateways = tuple(self.gateways(in_location))
        assigned_to, assignment = self.assignments.get(in_location, ((), {}))
        if assigned_to != gateways:
            assignment = assign(gateways, self.sources[in_location], WATCHERS)
            self.assignments[in_location] = gateways, assignment
        return assignment.get(source) or rendezvous.select(gateways, source, WATCHERS)

    def watches(self, source: int) -> bool:
        """Returns whether this gateway watches a cache of its location, and so keeps connections to it."""
        return self.own_index in (self.watchers(source, True) or [self.own_index])

    def trial_candidates(self, now: int, source: int, in_location: bool) -> list[int]:
        """Returns the gateways that may run a source's trials: its watchers that are alive."""
        gateways = self.watchers(source, in_location) or self.gateways(in_location)
        if "members" in self.features:
            gateways = self.members.alive(now, gateways) or [self.own_index]
        return gateways

    def nodes_listed(self, location_sources: tuple[int, ...], all_sources: tuple[int, ...]) -> None:
        """Sets the sources of the list, of this location and of all; their watchers are assigned again."""
        for in_location, sources in ((True, location_sources), (False, all_sources)):
            if self.sources[in_location] != sources:
                self.sources[in_location] = sources
                self.opened_by_peers.intersection_update((*location_sources, *all_sources))
                self.dead_since = {
                    s: at for s, at in self.dead_since.items() if s in location_sources or s in all_sources
                }
                self.assignments.pop(in_location, None)

    def resize(self, now: int, fleet_size: int, location_size: int) -> None:
        """Sets the configured numbers of gateways."""
        self.members.resize(now, fleet_size)
        self.location_shares.resize(now, location_size)
        self.fleet_shares.resize(now, fleet_size)
        self.gossip.fleet_size = fleet_size
        self.replay_windows = {
            peer: window for peer, window in self.replay_windows.items() if peer < fleet_size
        }
        self.index_by_name = {name: peer for name, peer in self.index_by_name.items() if peer < fleet_size}

    # datagrams

    def receive(self, now: int, sender: int, data: bytes) -> list[PeerVerdict]:
        """Handles a datagram; returns verdicts for the router. Any input takes bounded work and is counted:
        under `heard`, or under the reason why it is dropped. `old`: it waited while this process stalled;
        `long`, `form`, `garbled`: not decodable (wire.py); `foreign`: not sent from the address of its
        sender; `twin`: two peers use one name; `repeated`: a duplicate, or of an earlier boot; `nonsense`: an
        item's boot is far in the future."""
        if self.recently_stalled(now):
            self.counters["old"] += 1
            return []
        try:
            datagram = wire.decode(data)
        except wire.UnreadableDatagram as error:
            self.counters[str(error)] += 1
            return []
        if not 0 <= sender < self.members.fleet_size or datagram.sender != sender or sender == self.own_index:
            self.counters["foreign"] += 1
            return []
        if self.index_by_name.setdefault(datagram.name, sender) != sender:
            self.counters["twin"] += 1
            return []
        if len(self.index_by_name) > 2 * self.members.fleet_size:  # names keep changing: start again
            self.index_by_name = {self.name: self.own_index}
        if not self.replay_windows.setdefault(sender, wire.ReplayWindow()).accept(
            datagram.boot, datagram.sequence
        ):
            self.counters["repeated"] += 1
            return []
        self.counters["heard"] += 1
        self.members.datagram_received(now)
        verdicts: list[PeerVerdict] = []
        for item in datagram.items:
            if isinstance(item, (wire.Heartbeat, wire.Suspicion, wire.OutcomeReport, wire.Trial)) and (
                item.boot > self.members.boot + MAX_BOOT_LEAD
            ):
                self.counters["nonsense"] += 1
                continue
            verdicts += self.handle_item(now, sender, item)
        return verdicts

    def handle_item(self, now: int, sender: int, item: wire.Item) -> list[PeerVerdict]:
        """Handles one item; returns verdicts for the router."""
        match item:
            case wire.Heartbeat():
                was_suspected = item.by in self.members.suspected
                is_news = self.members.receive_heartbeat(now, item, direct=item.by == sender)
                if item.by != sender or was_suspected:  # a refuted suspicion is news for all
                    # relayed without its echo, which is for one receiver only
                    self.gossip.receive(
                        now,
                        wire.Heartbeat(item.by, item.boot, item.sequence, item.location, item.demand),
                        is_news and was_suspected,
                    )
            case wire.Suspicion():
                sequence = self.members.sequence
                self.gossip.receive(now, item, self.members.receive_suspicion(now, item))
                if self.members.sequence > sequence:
                    self.gossip.publish(now, self.own_heartbeat(now))
            case wire.OutcomeReport():
                if "evidence" in self.features and item.location in (self.location, wire.ALL_LOCATIONS):
                    agreed = self.evidence.already_agreed(now, item)
                    self.gossip.receive(now, item, self.evidence.receive(now, item) and not agreed)
            case wire.Trial():
                if "turns" in self.features and item.location in (self.location, wire.ALL_LOCATIONS):
                    is_news, outcome = self.trials.receive(now, item)
                    self.gossip.receive(now, item, is_news)
                    return self.apply_trial_outcome(now, item.source, outcome)
            case wire.ZoneItem():
                if (verdict := self.zone_verdict(item)) is not None and self.zones is not None:
                    self.gossip.receive(now, item, self.zones.receive(verdict, now / S))
            case wire.LeaseRequest():
                shares = self.location_shares if item.scope == self.location else self.fleet_shares
                if (grant := shares.grant(now, sender, item)) is not None:
                    self.direct_items.append((sender, grant))
            case wire.Grant():
                (self.location_shares if item.scope == self.location else self.fleet_shares).receive_grant(
                    now, sender, item
                )
        return []

    def apply_trial_outcome(self, now: int, source: int, outcome: str) -> list[PeerVerdict]:
        """Returns the verdict for the router on a trial of another gateway. Enough successes close the
        breaker later, after this gateway's delay. Other results are not passed on for a source that
        this gateway has yet to try itself."""
        if outcome in ("good", "well"):
            self.clear_source(source)
        if outcome == "well":
            self.opened_by_peers.discard(source)
            heappush(self.pending_closes, (now + self.trials.close_delay(source), source))
            return []
        return [PeerVerdict(source, outcome)] if outcome and source not in self.opened_by_peers else []

    # zones

    def set_zones(self, now: int, zones: Mapping[str, float]) -> None:
        """Follows these zones from now on; `zones`: the seconds that each one's return takes, by name."""
        # its dependencies load only where zones are followed
        from damsonstream.tiers.zone_status import ZoneTracker

        if self.zones is None:
            self.zones = ZoneTracker.create(zones, now / S, self.members.fleet_size)
        self.zones.set_zones(zones, now / S)
        self.zone_names = {hash_zone(name): name for name in self.zones.views}

    def observe_zone(
        self, now: int, zone: str, failing: bool, own: bool, answered: bool, hubs: Sequence[str] = ()
    ) -> None:
        """Records the state of a zone's hubs at this gateway. `failing`: the breakers of most of them are
        Open here; `own`, `answered`: since the last call one of them failed here, or gave something; `hubs`:
        their names."""
        if self.zones is None:
            return
        source = hash_zone(zone)
        if answered or (failing and own):  # partial failure is left to the breakers of the hubs
            self.evidence.record_outcome(now, source, wire.ALL_LOCATIONS, not answered)
        return_began = self.zones.views[zone].return_started_at * S
        succeeding, failing_elsewhere = self.evidence.count_reporters(now, source)
        since = [self.dead_since.get(source_id(hub), -1) > return_began for hub in hubs]
        dead = sum(since) > DEAD_HUBS_FRACTION * len(hubs)
        self.zones.observe(zone, failing, failing_elsewhere, succeeding, now / S, answered, own, dead)
        if answered or own:
            self.zones.record_trial(zone, answered, now / S)

    def hub_is_dead(self, hub: str) -> bool:
        """Returns whether enough gateways had failures only with a hub, and none a success since."""
        return source_id(hub) in self.dead_since

    def zone_home_share(self, now: int, zone: str) -> float:
        """Returns the share of its own objects that a zone's hubs are asked for."""
        if self.zones is None:
            return 1.0
        return self.zones.home_share(zone, now / S, self.members.isolated(now))

    def zone_state(self, now: int, zone: str) -> tuple[str, int, int]:
        """Returns the state of a zone, the progress of its return in twentieths, and its number of flaps."""
        if self.zones is None or zone not in self.zones.views:
            return "Well", 0, 0
        verdict = self.zones.views[zone].status
        state = self.zones.state(zone, now / S, self.members.isolated(now))
        return state, verdict.progress, verdict.flaps

    def zone_verdict(self, item: wire.ZoneItem) -> ZoneStatus | None:
        """Returns the verdict that an item carries, None for unknown zones."""
        from damsonstream.tiers.zone_status import BY_RANK, ZoneStatus

        name = self.zone_names.get(item.zone)
        if name is None:
            return None
        return ZoneStatus(name, item.epoch, item.step, BY_RANK[item.state], item.progress, item.flaps)

    def publish_zones(self, now: int) -> None:
        """Publishes the verdicts on zones that are due."""
        from damsonstream.tiers.zone_status import RANK

        if self.zones is None:
            return
        for verdict in self.zones.advance(now / S, self.members.isolated(now)):
            update = wire.ZoneItem(hash_zone(verdict.zone), verdict.epoch, verdict.step, RANK[verdict.state],
                               verdict.progress, verdict.flaps)  # fmt: skip
            self.gossip.publish(now, update)

    def own_heartbeat(self, now: int, echo: int = 0) -> wire.Heartbeat:
        """Returns this gateway's heartbeat; `echo`: the receiver's last sequence number that came here."""
        members = self.members
        warmed_up = now - self.started_at > DEMAND_WARMUP
        demand = min(0xFFFFFFFF, max(1, int(self.fleet_shares.demand(now) * 100))) if warmed_up else 0
        return wire.Heartbeat(self.own_index, members.boot, members.sequence, self.location, demand, echo)

    def recently_stalled(self, now: int) -> bool:
        """Returns whether this process stalled until just now, so that what waits in its socket is old."""
        if now - self.polled_at > STALL_THRESHOLD:
            self.resumed_at = now
        return now - self.resumed_at < STALL_DISCARD

    def poll(self, now: int) -> tuple[list[tuple[int, bytes]], list[PeerVerdict]]:
        """Called every GOSSIP_INTERVAL. Returns the datagrams to send, by peer, and verdicts for the
        router."""
        self.recently_stalled(now)
        self.polled_at = now
        verdicts = self.due_verdicts(now)
        out: list[tuple[int, bytes]] = []
        if "members" in self.features:
            for suspicion in self.members.tick(now):
                self.gossip.publish(now, suspicion)
        if "evidence" in self.features:
            for report in self.evidence.reports_due(now, self.members.boot):
                self.gossip.publish(now, report)
        if now >= self.next_heartbeat_at and not self.features.isdisjoint(("members", "shares")):
            # jitter, so that gateways that started together don't send together
            self.next_heartbeat_at = (
                now + HEARTBEAT_INTERVAL - int(HEARTBEAT_INTERVAL / 8 * self.rng.random())
            )
            self.members.sequence += 1
            others = self.members.others.values()
            self.fleet_shares.set_peer_demands([member.demand for member in others if member.demand])
            self.location_shares.set_peer_demands(
                [member.demand for member in others if member.demand and member.location == self.location]
            )
            for peer in self.heartbeat_targets(now):
                member = self.members.others.get(peer)
                self.send(now, out, peer, [self.own_heartbeat(now, member.sequence if member else 0)],
                          -wire.MAX_DATAGRAM_BYTES)  # fmt: skip
        self.publish_zones(now)
        if "shares" in self.features:
            self.request_shares(now)
        for peer, item in self.direct_items:
            self.send(now, out, peer, [item], wire.MAX_DATAGRAM_BYTES)
        self.direct_items = []
        for peer in self.gossip_targets(now):
            if not self.gossip.queue:
                break
            self.send(now, out, peer, [], 0)
        return out, verdicts

    def heartbeat_targets(self, now: int) -> list[int]:
        """Returns the receivers of a heartbeat: the neighbors, and just after a start a few others."""
        targets = list(self.members.neighbors_heard_at)
        if now - self.started_at < HEARTBEAT_INTERVAL:
            others = [
                peer for peer in range(self.members.fleet_size) if peer not in (self.own_index, *targets)
            ]
            targets += self.rng.sample(others, min(JOIN_FANOUT, len(others)))
        return targets

    def gossip_targets(self, now: int) -> list[int]:
        """Returns the receivers of queued items: one gateway of this location, and one of the fleet."""
        targets: list[int] = []
        location_peers = [peer for peer in self.gateways(True) if peer != self.own_index]
        for peers in (
            location_peers,
            [peer for peer in range(self.members.fleet_size) if peer != self.own_index],
        ):
            living = self.members.alive(now, peers) if "members" in self.features else peers
            living = [peer for peer in living if peer not in targets]
            if living:
                targets.append(self.rng.choice(living))
        return targets[:FANOUT]

    def send(
        self, now: int, out: list[tuple[int, bytes]], peer: int, items: list[wire.Item], reserve: int
    ) -> None:
        """Sends the items, and queued ones as far as the budget allows. `reserve`: bytes of the budget to
        leave for more urgent datagrams; negative: bytes that may be overdrawn."""
        member = self.members.others.get(peer)
        location = member.location if member is not None else -1
        used = MAX_HEADER_BYTES + sum(wire.encoded_size(item) for item in items)
        allowed = min(
            wire.MAX_DATAGRAM_BYTES,
            self.gossip.available_bytes(
                now, max(self.fleet_shares.mean_demand, self.fleet_shares.demand(now))
            )
            - reserve,
        )
        if allowed < used:
            self.counters["held back"] += 1
            return
        gossip = self.gossip.take_items(now, allowed - used, location)
        if not items and not gossip:
            return
        self.sequence += 1
        left = allowed - used - sum(wire.encoded_size(item) for item in gossip)
        has_heartbeat = any(isinstance(item, wire.Heartbeat) for item in items)
        payload = [*items, *gossip, *(self.relayed_heartbeats(now, peer, left) if has_heartbeat else [])]
        data = wire.encode(wire.Datagram(wire.FORMAT_VERSION, self.name, self.own_index, self.members.boot,
                                         self.sequence, payload))  # fmt: skip
        self.gossip.spend(len(data))
        self.counters["sent"] += 1
        self.counters["bytes"] += len(data)
        out.append((peer, data))

    def relayed_heartbeats(self, now: int, receiver: int, max_bytes: int) -> list[wire.Heartbeat]:
        """Returns heartbeats of other gateways to send along, one or, after a start, several: they spread the
        locations and demands of the fleet."""
        count = max(0, min(JOIN_RELAYED if now - self.started_at < JOIN_PERIOD else 1,
                           max_bytes // MAX_HEARTBEAT_BYTES))  # fmt: skip
        candidates = [peer for peer in self.members.others if peer != receiver] if count > 0 else []
        heartbeats = []
        for peer in self.rng.sample(candidates, min(count, len(candidates))):
            member = self.members.others[peer]
            demand = min(0xFFFFFFFF, int(member.demand * 100))
            heartbeats.append(wire.Heartbeat(peer, member.boot, member.sequence, member.location, demand))
        return heartbeats

    def request_shares(self, now: int) -> None:
        """Queues requests for larger shares where this gateway's demand exceeds its share."""
        for shares, in_location in ((self.location_shares, True), (self.fleet_shares, False)):
            candidates = [
                (peer, self.members.others[peer].demand if peer in self.members.others else -1.0)
                for peer in self.gateways(in_location)
                if peer != self.own_index
            ]
            self.rng.shuffle(candidates)
            self.direct_items += shares.renewals_and_requests(now, candidates)

    def due_verdicts(self, now: int) -> list[PeerVerdict]:
        """Returns the verdicts for the router that are due now: breakers to close, and dead sources."""
        verdicts = []
        while self.pending_closes and self.pending_closes[0][0] <= now:
            verdicts.append(PeerVerdict(heappop(self.pending_closes)[1], "well"))
        if "evidence" not in self.features:
            return verdicts
        for source in [s for s in self.evidence.agreed_since if s not in self.zone_names]:
            if self.evidence.verdict(now, source) == "dead" and source not in self.reported_dead:
                self.reported_dead.add(source)
                self.dead_since[source] = now
                if not self.evidence.fails_locally(now, source):
                    self.opened_by_peers.add(source)
                verdicts.append(PeerVerdict(source, "dead"))
        self.reported_dead.intersection_update(self.evidence.agreed_since)
        return verdicts

    def counts(self) -> dict[str, int | str]:
        """Returns the counters for the log, by their keys there."""
        return {f"peers.{name.replace(' ', '_')}": count for name, count in sorted(self.counters.items())}
