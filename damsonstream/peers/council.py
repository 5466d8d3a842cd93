"""One gateway among its peers: members, evidence, turns, shares and what is told of them. No I/O.

How it is called: the router asks `turn`, `part` and tells `asked`, `saw`, `trying`, `tried`, `listed`, `anew`
(`routing/interface.py`, Fleet). Around it, `heard(now, place, data)` takes a datagram from the address of
that place in the list of peers (below zero: from none of them), `due(now)` gives those to send, and both
give what the router is to be told. Times are whole tenths of a millisecond of this gateway's own clock; none
of another's clock is ever compared with it.

With `pieces` each part can be switched off: what is asked then is answered as if no message ever came.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from damsonstream.peers import order, wire
from damsonstream.peers.evidence import Evidence
from damsonstream.peers.members import PERIOD, Members
from damsonstream.peers.pieces import PIECES
from damsonstream.peers.shares import Shares
from damsonstream.peers.spread import Spread
from damsonstream.peers.subsets import assigned
from damsonstream.peers.turns import Turns
from damsonstream.routing.interface import PeersTold
from damsonstream.routing.router import digest as hashed

if TYPE_CHECKING:
    from damsonstream.tiers.verdicts import Verdict, Verdicts

S = 10_000
TURN = S // 10  # between datagrams of news: a way through 200 gateways is some six of them
FANOUT = 2  # others told in a turn: with the repeats of peers/spread.py all but one in a thousand hear of it
HELLO = 4  # others that one which starts tells of itself, besides its neighbours
HELLO_FOR = 5 * S  # while one starts, what it knows of others rides along: who is where
RIDES, RIDER = 4, 24  # beats of others in such a datagram, and the bytes of one at most
KNOWN = 2 * S  # before, nobody can say what a gateway that starts is asked for: it tells none
HEAD = 40  # bytes of a datagram without items, at most
WATCH = 3  # gateways that look after one cache or source, from whom its trials come: two may be silent
STALLED = 5 * TURN  # without a turn of its own: this process stood still, and what waits in its socket is old
OLD = 2 * TURN  # after such a standstill, for which what comes is counted as old and not believed
AHEAD = 864_000  # of one's own boot, a day in tenths of a second: a later one is nonsense


MOST = 0.5  # share of a zone's hubs that must be dead: under it the others carry on (tiers/zones.py)


def digest(name: str) -> int:
    """A zone's name in 32 bits, the same at every gateway."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def source_id(name: str) -> int:
    """A source's name in 32 bits, as the router has it."""
    return hashed(name) & 0xFFFFFFFF


class Council:
    def __init__(
        self, name: str, me: int, told: int, here: int, at_home: int, boot: int, price: float, seed: int,
        now: int, pieces: frozenset[str] = frozenset(PIECES),
    ) -> None:  # fmt: skip
        """`me`: place in the list of peers; `told`, `at_home`: gateways of the fleet and of this location, as
        told; `here`: this location's place; `price`: as peers/spread.py has it."""
        self.name, self.me, self.here, self.pieces = name, me, here, pieces
        self.chance = random.Random(seed)
        self.members = Members(me, boot, told, now)
        self.evidence, self.turns = Evidence(me, told), Turns(me)
        alone = "shares" not in pieces
        self.near = Shares(me, here, at_home, now, alone)
        self.far = Shares(me, wire.EVERYWHERE, told, now, alone, self.near.gets)
        self.spread = Spread(price, now)
        self.spread.count = told
        self.heard_of: dict[int, wire.Seen64] = {}  # by place: which datagrams came; as long as the list
        self.names: dict[str, int] = {name: me}  # places by name; each name has one
        self.later: list[tuple[int, int]] = []  # when, source: returns that are due; emptied by time
        self.opened: set[int] = set()  # sources told dead; emptied as they are no longer
        self.agreed: dict[int, int] = {}  # since when; until one is seen well, runs anew or leaves the list
        # sources opened here on others' words alone: own sight outweighs them, each is tried by oneself once
        self.on_words: set[int] = set()  # emptied by own ends there, and as the list drops them
        self.private: list[tuple[int, wire.Ask | wire.Grant]] = []  # to whom; emptied each turn
        # who looks after a source, of this location and of all; made anew as the lists change
        self.sources: dict[bool, tuple[int, ...]] = {True: (), False: ()}
        self.watch: dict[bool, tuple[tuple[int, ...], dict[int, list[int]]]] = {}
        self.number, self.begun, self.ticked, self.beat_at, self.woken = 0, now, now, now, -S
        self.counted: Counter[str] = Counter()
        self.zones: Verdicts | None = None  # None: none are followed
        self.zone_names: dict[int, str] = {}  # by hash
        # told of each trial that this gateway makes: when, the source, and begun, good or bad
        self.on_turn: Callable[[int, int, str], None] = lambda now, source, state: None

    # what the router asks and tells

    def asked(self, now: int) -> None:
        self.near.asked(now)

    def saw(self, now: int, source: int, home: bool, bad: bool) -> None:
        if "evidence" in self.pieces:
            self.evidence.saw(now, source, self.whose(home), bad)

    def anew(self, source: int) -> None:
        """It is a new process: what was seen of the old one says nothing."""
        self.on_words.discard(source)
        self.forget(source)

    def forget(self, source: int) -> None:
        """What was seen and told of it, by anyone."""
        self.evidence.clear(source)
        self.opened.discard(source)
        self.agreed.pop(source, None)

    def whose(self, home: bool) -> int:
        """Whom news of a source concerns: gateways of this location, or all."""
        return self.here if home else wire.EVERYWHERE

    def turn(self, now: int, source: int, home: bool, since: int) -> bool:
        """Whether this gateway is the one to try it now; `since`: when its own cool-down was over."""
        if "turns" not in self.pieces or source in self.on_words:
            return True
        return self.turns.mine(now, source, since, self.candidates(now, source, home))

    def trying(self, now: int, source: int, home: bool) -> None:
        self.on_turn(now, source, "begun")
        if "turns" in self.pieces:
            word = self.turns.began(now, source, self.whose(home), self.members.boot)
            if word is not None:
                self.spread.tell(now, word)

    def tried(self, now: int, source: int, home: bool, good: bool) -> None:
        self.on_turn(now, source, "good" if good else "bad")
        self.on_words.discard(source)
        if good:
            self.forget(source)
        if "turns" in self.pieces:
            word = self.turns.ended(now, source, self.whose(home), self.members.boot, good)
            if word is not None:
                self.spread.tell(now, word)

    def part(self, now: int, home: bool) -> float:
        return (self.near if home else self.far).part(now)

    # who they are

    def places(self, home: bool) -> list[int]:
        """All gateways of the fleet, or those known to be of this location, this one included."""
        if not home:
            return list(range(self.members.told))
        others = self.members.others
        return sorted([self.me, *(place for place, one in others.items() if one.location == self.here)])

    def looked_after(self, source: int, home: bool) -> list[int]:
        """The gateways that look after it; empty: all alike."""
        if "subsets" not in self.pieces:
            return []
        places = tuple(self.places(home))
        of, watch = self.watch.get(home, ((), {}))
        if of != places:
            watch = assigned(places, self.sources[home], WATCH)
            self.watch[home] = places, watch
        return watch.get(source) or order.first(places, source, WATCH)

    def keeps(self, source: int) -> bool:
        """Whether this gateway looks after a cache of its location, and so keeps connections to it."""
        return self.me in (self.looked_after(source, True) or [self.me])

    def candidates(self, now: int, source: int, home: bool) -> list[int]:
        """From whom a source's trials come: those that look after it, as far as they live."""
        places = self.looked_after(source, home) or self.places(home)
        if "members" in self.pieces:
            places = self.members.living(now, places) or [self.me]
        return places

    def listed(self, home: tuple[int, ...], far: tuple[int, ...]) -> None:
        """The sources of the list, of this location and of all: who looks after which is shared anew."""
        for at_home, sources in ((True, home), (False, far)):
            if self.sources[at_home] != sources:
                self.sources[at_home] = sources
                self.on_words.intersection_update((*home, *far))
                self.agreed = {s: at for s, at in self.agreed.items() if s in home or s in far}
                self.watch.pop(at_home, None)

    def resize(self, now: int, told: int, at_home: int) -> None:
        self.members.resize(now, told)
        self.near.resize(now, at_home)
        self.far.resize(now, told)
        self.spread.count = told
        self.heard_of = {place: seen for place, seen in self.heard_of.items() if place < told}
        self.names = {name: place for name, place in self.names.items() if place < told}

    # datagrams

    def heard(self, now: int, place: int, data: bytes) -> list[PeersTold]:
        """A datagram; whatever it holds, it costs bounded work and is counted."""
        if self.stood_still(now):
            self.counted["old"] += 1
            return []
        try:
            datagram = wire.read(data)
        except wire.Unreadable as fault:
            self.counted[str(fault)] += 1
            return []
        if not 0 <= place < self.members.told or datagram.place != place or place == self.me:
            self.counted["foreign"] += 1
            return []
        if self.names.setdefault(datagram.name, place) != place:
            self.counted["twin"] += 1
            return []
        if len(self.names) > 2 * self.members.told:  # names that come and go: begun anew
            self.names = {self.name: self.me}
        if not self.heard_of.setdefault(place, wire.Seen64()).fresh(datagram.boot, datagram.number):
            self.counted["repeated"] += 1
            return []
        self.counted["heard"] += 1
        self.members.anyone(now)
        told: list[PeersTold] = []
        for item in datagram.items:
            if isinstance(item, (wire.Beat, wire.Doubt, wire.Seen, wire.Trial)) and (
                item.boot > self.members.boot + AHEAD
            ):
                self.counted["nonsense"] += 1
                continue
            told += self.take(now, place, item)
        return told

    def take(self, now: int, place: int, item: wire.Item) -> list[PeersTold]:
        match item:
            case wire.Beat():
                doubted = item.by in self.members.silences
                news = self.members.heard(now, item, direct=item.by == place)
                if item.by != place or doubted:  # one that was doubted and answers is news for all
                    self.spread.heard(now, wire.Beat(item.by, item.boot, item.beat, item.location,
                                                     item.demand), news and doubted)  # fmt: skip
            case wire.Doubt():
                mine = self.members.beat
                self.spread.heard(now, item, self.members.doubted(now, item))
                if self.members.beat > mine:
                    self.spread.tell(now, self.own_beat(now))
            case wire.Seen():
                if "evidence" in self.pieces and item.location in (self.here, wire.EVERYWHERE):
                    settled = self.evidence.settled(now, item)
                    self.spread.heard(now, item, self.evidence.heard(now, item) and not settled)
            case wire.Trial():
                if "turns" in self.pieces and item.location in (self.here, wire.EVERYWHERE):
                    news, shows = self.turns.heard(now, item)
                    self.spread.heard(now, item, news)
                    return self.shown(now, item.source, shows)
            case wire.Zone():
                if (verdict := self.verdict(item)) is not None and self.zones is not None:
                    self.spread.heard(now, item, self.zones.heard(verdict, now / S))
            case wire.Ask():
                lender = self.near if item.scope == self.here else self.far
                if (grant := lender.grant(now, place, item)) is not None:
                    self.private.append((place, grant))
            case wire.Grant():
                (self.near if item.scope == self.here else self.far).lent(now, place, item)
        return []

    def shown(self, now: int, source: int, shows: str) -> list[PeersTold]:
        """What a trial of another means for this gateway: at once, or as it is its turn to come back."""
        if shows in ("good", "well"):
            self.forget(source)
        if shows == "well":
            self.on_words.discard(source)
            heappush(self.later, (now + self.turns.back(source), source))
            return []
        return [PeersTold(source, shows)] if shows and source not in self.on_words else []

    # zones

    def follow(self, now: int, zones: Mapping[str, float]) -> None:
        """From now on what is believed of these zones, with the seconds of each one's return, is told and
        heard."""
        from damsonstream.tiers.verdicts import Verdicts  # its libraries load only where zones are followed

        if self.zones is None:
            self.zones = Verdicts.of(zones, now / S, self.members.told)
        self.zones.follow(zones, now / S)
        self.zone_names = {digest(name): name for name in self.zones.beliefs}

    def zone_saw(
        self, now: int, zone: str, failing: bool, own: bool, answered: bool, hubs: Sequence[str] = ()
    ) -> None:
        """What this gateway's hubs of a zone do: most of them are Open here (`failing`); since the last word
        one failed here (`own`), or gave something (`answered`). `hubs`: their names."""
        if self.zones is None:
            return
        source = digest(zone)
        if answered or (failing and own):  # what fails in part is its hubs' breakers' matter
            self.evidence.saw(now, source, wire.EVERYWHERE, not answered)
        back = self.zones.beliefs[zone].back_at * S
        well, agree = self.evidence.tally(now, source)
        since = [self.agreed.get(source_id(hub), -1) > back for hub in hubs]
        dead = sum(since) > MOST * len(hubs)
        self.zones.sees(zone, failing, agree, well, now / S, answered, own, dead)
        if answered or own:
            self.zones.tried(zone, answered, now / S)

    def dead(self, hub: str) -> bool:
        """Whether enough gateways saw nothing but bad ends of it, and none an answer since."""
        return source_id(hub) in self.agreed

    def zone_carries(self, now: int, zone: str) -> float:
        """Share of its own objects that a zone's hubs are asked for."""
        if self.zones is None:
            return 1.0
        return self.zones.carries(zone, now / S, self.members.hears_nobody(now))

    def zone_state(self, now: int, zone: str) -> tuple[str, int, int]:
        """What is believed of it: state, twentieths of a return, flaps."""
        if self.zones is None or zone not in self.zones.beliefs:
            return "Well", 0, 0
        verdict = self.zones.beliefs[zone].verdict
        state = self.zones.state(zone, now / S, self.members.hears_nobody(now))
        return state, verdict.progress, verdict.flaps

    def verdict(self, item: wire.Zone) -> Verdict | None:
        from damsonstream.tiers.verdicts import BY_CARE, Verdict

        name = self.zone_names.get(item.zone)
        if name is None:
            return None
        return Verdict(name, item.epoch, item.step, BY_CARE[item.state], item.progress, item.flaps)

    def tell_zones(self, now: int) -> None:
        from damsonstream.tiers.verdicts import CARE

        if self.zones is None:
            return
        for one in self.zones.look(now / S, self.members.hears_nobody(now)):
            word = wire.Zone(digest(one.zone), one.epoch, one.step, CARE[one.state], one.progress, one.flaps)
            self.spread.tell(now, word)

    def own_beat(self, now: int, echo: int = 0) -> wire.Beat:
        members = self.members
        known = now - self.begun > KNOWN
        demand = min(0xFFFFFFFF, max(1, int(self.far.demand(now) * 100))) if known else 0
        return wire.Beat(self.me, members.boot, members.beat, self.here, demand, echo)

    def stood_still(self, now: int) -> bool:
        """Whether this process stood still until just now: what waits in its socket is from before."""
        if now - self.ticked > STALLED:
            self.woken = now
        return now - self.woken < OLD

    def due(self, now: int) -> tuple[list[tuple[int, bytes]], list[PeersTold]]:
        """Once a TURN: datagrams to send, by place, and what the router is to hear."""
        self.stood_still(now)
        self.ticked = now
        told = self.verdicts(now)
        out: list[tuple[int, bytes]] = []
        if "members" in self.pieces:
            for doubt in self.members.tick(now):
                self.spread.tell(now, doubt)
        if "evidence" in self.pieces:
            for seen in self.evidence.news(now, self.members.boot):
                self.spread.tell(now, seen)
        if now >= self.beat_at and not self.pieces.isdisjoint(("members", "shares")):
            # not in step with those that started at the same time
            self.beat_at = now + PERIOD - int(PERIOD / 8 * self.chance.random())
            self.members.beat += 1
            others = self.members.others.values()
            self.far.others([one.demand for one in others if one.demand])
            self.near.others([one.demand for one in others if one.demand and one.location == self.here])
            for place in self.greeted(now):
                known = self.members.others.get(place)
                self.send(now, out, place, [self.own_beat(now, known.beat if known else 0)], -wire.MOST)
        self.tell_zones(now)
        if "shares" in self.pieces:
            self.ask(now)
        for place, item in self.private:
            self.send(now, out, place, [item], wire.MOST)
        self.private = []
        for place in self.listeners(now):
            if not self.spread.waiting:
                break
            self.send(now, out, place, [], 0)
        return out, told

    def greeted(self, now: int) -> list[int]:
        """To whom a beat goes: the neighbours, and of one that starts a few others."""
        places = list(self.members.watched)
        if now - self.begun < PERIOD:
            others = [place for place in range(self.members.told) if place not in (self.me, *places)]
            places += self.chance.sample(others, min(HELLO, len(others)))
        return places

    def listeners(self, now: int) -> list[int]:
        """Whom to tell what waits: one of this location, and one of all."""
        found: list[int] = []
        home = [place for place in self.places(True) if place != self.me]
        for places in (home, [place for place in range(self.members.told) if place != self.me]):
            living = self.members.living(now, places) if "members" in self.pieces else places
            living = [place for place in living if place not in found]
            if living:
                found.append(self.chance.choice(living))
        return found[:FANOUT]

    def send(
        self, now: int, out: list[tuple[int, bytes]], place: int, items: list[wire.Item], spare: int
    ) -> None:
        """`spare`: bytes of the budget that are left for what is more urgent."""
        known = self.members.others.get(place)
        location = known.location if known is not None else -1
        used = HEAD + sum(wire.size(item) for item in items)
        allowed = min(wire.MOST, self.spread.room(now, max(self.far.usual, self.far.demand(now))) - spare)
        if allowed < used:
            self.counted["held back"] += 1
            return
        news = self.spread.load(now, allowed - used, location)
        if not items and not news:
            return
        self.number += 1
        left = allowed - used - sum(wire.size(item) for item in news)
        beats = any(isinstance(item, wire.Beat) for item in items)
        whole = [*items, *news, *(self.riders(now, place, left) if beats else [])]
        data = wire.pack(wire.Datagram(wire.FORM, self.name, self.me, self.members.boot, self.number, whole))
        self.spread.sent(len(data))
        self.counted["sent"] += 1
        self.counted["bytes"] += len(data)
        out.append((place, data))

    def riders(self, now: int, place: int, most: int) -> list[wire.Beat]:
        """Another's beat goes along, as one starts a few: who is where, and what is asked of all."""
        count = max(0, min(RIDES if now - self.begun < HELLO_FOR else 1, most // RIDER))
        there = [one for one in self.members.others if one != place] if count > 0 else []
        found = []
        for one in self.chance.sample(there, min(count, len(there))):
            member = self.members.others[one]
            demand = min(0xFFFFFFFF, int(member.demand * 100))
            found.append(wire.Beat(one, member.boot, member.beat, member.location, demand))
        return found

    def ask(self, now: int) -> None:
        """Asks for more where this gateway is asked for more than its part."""
        for shares, home in ((self.near, True), (self.far, False)):
            others = [
                (place, self.members.others[place].demand if place in self.members.others else -1.0)
                for place in self.places(home)
                if place != self.me
            ]
            self.chance.shuffle(others)
            self.private += shares.asks(now, others)

    def verdicts(self, now: int) -> list[PeersTold]:
        told = []
        while self.later and self.later[0][0] <= now:
            told.append(PeersTold(heappop(self.later)[1], "well"))
        if "evidence" not in self.pieces:
            return told
        for source in [s for s in self.evidence.bad_since if s not in self.zone_names]:
            if self.evidence.verdict(now, source) == "dead" and source not in self.opened:
                self.opened.add(source)
                self.agreed[source] = now
                if not self.evidence.bad_here(now, source):
                    self.on_words.add(source)
                told.append(PeersTold(source, "dead"))
        self.opened.intersection_update(self.evidence.bad_since)
        return told

    def counts(self) -> dict[str, int | str]:
        """For the counters' line."""
        return {f"peers.{name.replace(' ', '_')}": count for name, count in sorted(self.counted.items())}
