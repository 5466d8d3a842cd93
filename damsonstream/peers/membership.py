"""Membership and failure detection: what one gateway believes of the others. No I/O; the caller passes the
time.

Usage: `Membership(own_index, boot, fleet_size, now)`; `receive_heartbeat(now, heartbeat, direct)` for each
heartbeat, `receive_suspicion(now, suspicion)` for each suspicion, and `tick(now)` a few times a second, which
returns the suspicions to publish. `state(now, peer)` is the state of another gateway, `own_status(now)` that
of this one.

All configured gateways, running or not, form a pseudo-random ring, and each exchanges heartbeats with
`NEIGHBORS_PER_SIDE` others on either side: enough receive it, and nobody has to receive from all. A neighbor
that misses heartbeats publishes a suspicion. Two suspicions of one boot that no newer heartbeat refutes make
the gateway silent. What that means depends on how many became silent at the same time: one or a few are
`gone`, a large part of the fleet at once is `apart` (a split: they may still run, out of reach). A gateway
that receives nothing is cut off itself, and one that has stalled does not count the stall against the others.
None of this gives a gateway another one's share (peers/shares.py): a belief may be wrong, and both sides of a
split may hold it of the other.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from damsonstream.peers import rendezvous, wire

S = 10_000  # clock ticks (0.1 ms) per second
# Two of four neighbors have to suspect a gateway, so that the other two may be dead or cut off as well.
NEIGHBORS_PER_SIDE = 2
MIN_REPORTERS = 2  # one gateway's broken link must not make another one silent
HEARTBEAT_INTERVAL = 3 * S  # four heartbeats of 40 bytes per interval are about 50 bytes a second
# Missed in a row before a neighbor is suspected: at 30% loss one in 37 is suspected without cause, rarely by
# two.
MISSED_HEARTBEATS = 3
SUSPICION_TIMEOUT = 1 * S  # time to refute a suspicion: twice the time of gossip through the fleet
# A larger fraction of the fleet silent within SPLIT_WINDOW is no coincidence, but a split or a common
# failure.
SPLIT_FRACTION = 0.2
# The first suspicions that one event causes lie within this time.
SPLIT_WINDOW = (MISSED_HEARTBEATS + 1) * HEARTBEAT_INTERVAL
FORGET_AFTER = 60 * S  # a silent gateway is forgotten after this time: longer than any restart
STALL_THRESHOLD = HEARTBEAT_INTERVAL // 2  # longer between two ticks: this process stalled
# Limit within one boot; a larger one that is reported for this gateway is invalid, and leads to a new boot.
MAX_SEQUENCE = 1 << 32
# If no reachable neighbor confirms a newer heartbeat for this long, links work in one direction only.
ECHO_TIMEOUT = 4 * HEARTBEAT_INTERVAL


@dataclass(slots=True)
class Member:
    """What is known of another gateway."""

    boot: int
    sequence: int
    heard_at: int  # when that heartbeat was received, by this gateway's clock
    location: int
    demand: float  # GETs a second
    # Ticks between its last two heartbeats if they were late; halves as they are in time again.
    gap: int = 0
    restarted: bool = False  # its last known heartbeat was the first of a later boot


@dataclass(slots=True)
class Suspected:
    """Suspicions of one gateway, for one boot and heartbeat."""

    boot: int
    sequence: int
    since: int
    reporters: set[int]


class Membership:
    """One gateway's view of which others are alive."""

    def __init__(self, own_index: int, boot: int, fleet_size: int, now: int) -> None:
        """`fleet_size`: the configured number of gateways, this one included, whether they run or not."""
        self.own_index, self.boot, self.sequence = own_index, boot, 0
        # by index, below `fleet_size`; emptied after FORGET_AFTER of silence
        self.others: dict[int, Member] = {}
        # suspected gateways, by index; emptied by a newer heartbeat, or with the member
        self.suspected: dict[int, Suspected] = {}
        # last_received_at: when the last datagram of any gateway came
        self.started_at = self.ticked_at = self.last_received_at = now
        # the latest own heartbeat that a neighbor confirmed, and when it did
        self.echoed_sequence, self.echoed_at = 0, now
        self.reported: dict[int, int] = {}  # suspicions of this gateway: by index, the sequence number
        self.fleet_size = 0
        self.resize(now, fleet_size)

    def resize(self, now: int, fleet_size: int) -> None:
        """Sets the configured number of gateways; those beyond it are forgotten."""
        if fleet_size == self.fleet_size:
            return
        self.fleet_size = fleet_size
        for peer in [peer for peer in self.others if peer >= fleet_size]:
            self.forget(peer)
        self.ring = rendezvous.ring(fleet_size)
        self.ring_positions = {peer: position for position, peer in enumerate(self.ring)}
        # when each neighbor was last heard; the first heartbeat is due from now on
        self.neighbors_heard_at = {peer: now for peer in self.neighbors(self.own_index)}

    def neighbors(self, peer: int) -> list[int]:
        """Returns the gateways with which a gateway exchanges heartbeats."""
        position, count = self.ring_positions[peer], self.fleet_size
        offsets = [offset for by in range(1, NEIGHBORS_PER_SIDE + 1) for offset in (by, -by)]
        neighbors = dict.fromkeys(self.ring[(position + offset) % count] for offset in offsets)
        neighbors.pop(peer, None)
        return list(neighbors)

    def forget(self, peer: int) -> None:
        """Drops all that is known of a gateway."""
        self.others.pop(peer, None)
        self.suspected.pop(peer, None)
        self.reported.pop(peer, None)

    def datagram_received(self, now: int) -> None:
        """Notes that a datagram of any gateway came."""
        self.last_received_at = now

    def receive_heartbeat(self, now: int, heartbeat: wire.Heartbeat, direct: bool) -> bool:
        """Handles a heartbeat, sent by its gateway (`direct`) or relayed; returns whether it is news. If it
        names this gateway and a later boot, it is of a previous process or of a second gateway with this
        index: this gateway continues with a boot after it."""
        if heartbeat.by == self.own_index:
            if heartbeat.boot > self.boot or heartbeat.sequence > MAX_SEQUENCE:
                self.boot, self.sequence, self.echoed_sequence = heartbeat.boot + 1, 0, 0
            elif heartbeat.boot == self.boot:
                self.sequence = max(self.sequence, heartbeat.sequence)
            return False
        if heartbeat.by >= self.fleet_size:
            return False
        if direct and self.echoed_sequence < heartbeat.echo <= self.sequence:
            self.echoed_sequence, self.echoed_at = heartbeat.echo, now
        known = self.others.get(heartbeat.by)
        if known is not None and (heartbeat.boot, heartbeat.sequence) <= (known.boot, known.sequence):
            return False
        if known is None:
            self.others[heartbeat.by] = Member(
                heartbeat.boot, heartbeat.sequence, now, heartbeat.location, heartbeat.demand / 100
            )
        else:
            known.restarted = heartbeat.boot > known.boot
            gap = 0 if known.restarted else now - known.heard_at
            known.gap = max(gap, known.gap // 2) if direct else known.gap
            known.boot, known.sequence, known.heard_at = heartbeat.boot, heartbeat.sequence, now
            known.location, known.demand = heartbeat.location, heartbeat.demand / 100
        if heartbeat.by in self.neighbors_heard_at:
            self.neighbors_heard_at[heartbeat.by] = now
        suspected = self.suspected.get(heartbeat.by)
        if suspected is not None and (heartbeat.boot, heartbeat.sequence) > (
            suspected.boot,
            suspected.sequence,
        ):
            del self.suspected[heartbeat.by]
        self.reported.pop(heartbeat.by, None)
        return True

    def receive_suspicion(self, now: int, suspicion: wire.Suspicion) -> bool:
        """Handles a suspicion; returns whether it is news. A suspicion that names this gateway makes its
        next heartbeat newer than the suspicion; the caller publishes that heartbeat at once."""
        if suspicion.of == self.own_index:
            if suspicion.boot == self.boot:
                self.sequence = max(self.sequence, suspicion.sequence) + 1
            return False
        if (
            suspicion.of >= self.fleet_size
            or suspicion.by >= self.fleet_size
            or suspicion.by == self.own_index
        ):
            return False
        known = self.others.get(suspicion.of)
        if known is not None and (known.boot, known.sequence) > (suspicion.boot, suspicion.sequence):
            return False
        if suspicion.by not in self.neighbors(suspicion.of):
            return False  # only neighbors exchange heartbeats with it
        suspected = self.suspected.get(suspicion.of)
        if suspected is None or (suspicion.boot, suspicion.sequence) > (suspected.boot, suspected.sequence):
            since = now if suspected is None else suspected.since
            suspected = self.suspected[suspicion.of] = Suspected(
                suspicion.boot, suspicion.sequence, since, set()
            )
        if (suspicion.boot, suspicion.sequence) < (
            suspected.boot,
            suspected.sequence,
        ) or suspicion.by in suspected.reporters:
            return False
        suspected.reporters.add(suspicion.by)
        return True

    def tick(self, now: int) -> list[wire.Suspicion]:
        """Returns the suspicions to publish now. After a stall of this process, the time that it took is
        added to all deadlines, and other gateways get the whole time again to refute suspicions."""
        stalled_for, self.ticked_at = now - self.ticked_at, now
        if stalled_for > STALL_THRESHOLD:
            self.last_received_at += stalled_for
            self.echoed_at += stalled_for
            self.neighbors_heard_at = {peer: at + stalled_for for peer, at in self.neighbors_heard_at.items()}
            for member in self.others.values():
                member.heard_at += stalled_for
            for suspected in self.suspected.values():
                suspected.since = now
        for peer in [
            p for p, m in self.others.items() if now - m.heard_at > FORGET_AFTER and p in self.suspected
        ]:
            self.forget(peer)
        if self.isolated(now):
            return []  # this gateway is the one that is cut off
        suspicions = []
        for peer, at in self.neighbors_heard_at.items():
            known = self.others.get(peer)
            if (
                known is None
                or now - at <= MISSED_HEARTBEATS * HEARTBEAT_INTERVAL
                or self.reported.get(peer) == known.sequence
            ):
                continue
            self.reported[peer] = known.sequence
            suspected = self.suspected.setdefault(peer, Suspected(known.boot, known.sequence, now, set()))
            suspected.reporters.add(self.own_index)
            suspicions.append(wire.Suspicion(self.own_index, peer, known.boot, known.sequence))
        return suspicions

    def isolated(self, now: int) -> bool:
        """Returns whether no datagram has come for some time."""
        return self.fleet_size > 1 and now - self.last_received_at > MISSED_HEARTBEATS * HEARTBEAT_INTERVAL

    def is_silent(self, now: int, peer: int) -> bool:
        """Returns whether a gateway counts as silent: suspected by enough neighbors, and not refuted in
        time."""
        suspected = self.suspected.get(peer)
        return (
            suspected is not None and self.confirmed(suspected) and now - suspected.since >= SUSPICION_TIMEOUT
        )

    def confirmed(self, suspected: Suspected) -> bool:
        """Returns whether enough neighbors suspect the gateway."""
        return (
            len(suspected.reporters) >= min(MIN_REPORTERS, self.fleet_size - 2, 2 * NEIGHBORS_PER_SIDE)
            or self.fleet_size == 2
        )

    def state(self, now: int, peer: int) -> str:
        """Returns `here`, `slow` (heartbeats come late), `gone` (silent), `apart` (silent together with a
        large part of the fleet) or `unknown` (never heard of)."""
        if self.is_silent(now, peer):
            since = self.suspected[peer].since
            simultaneous = sum(
                1
                for other, suspected in self.suspected.items()
                if abs(suspected.since - since) <= SPLIT_WINDOW
            )
            return "apart" if simultaneous > max(1.0, SPLIT_FRACTION * self.fleet_size) else "gone"
        known = self.others.get(peer)
        if known is None:
            return "unknown"
        return "slow" if known.gap > 2 * HEARTBEAT_INTERVAL and peer in self.neighbors_heard_at else "here"

    def own_status(self, now: int) -> str:
        """Returns the status of this gateway: `well`, `cut off` (receives nothing), `unheard` (nobody
        receives its heartbeats) or `split` (a large part of the fleet is `apart`)."""
        if self.isolated(now):
            return "cut off"
        neighbors_heard = (
            self.others[peer].heard_at for peer in self.neighbors_heard_at if peer in self.others
        )
        if now - self.echoed_at > ECHO_TIMEOUT and any(
            now - heard_at < HEARTBEAT_INTERVAL * 2 for heard_at in neighbors_heard
        ):
            return "unheard"
        if any(self.state(now, peer) == "apart" for peer in self.suspected):
            return "split"
        return "well"

    def alive(self, now: int, gateways: Iterable[int]) -> list[int]:
        """Returns the gateways of the given ones that are not silent; this one always counts as alive."""
        return [peer for peer in gateways if peer == self.own_index or not self.is_silent(now, peer)]
