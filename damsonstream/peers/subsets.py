"""Who watches what: which gateways look after a cache for all, so that each is looked after by enough and
nobody by all. No I/O.

How it is called: `watchers(places, source, most)` are those of one source; `subset(me, places, sources,
each)` is what one gateway looks after; `spread(places, sources, each)` tells how even that is.

Rendezvous order with a bound: sources are gone through in one mixed order, and each takes the first `each`
gateways in its own rendezvous order that have room. Room is the mean and a quarter. One gateway or source
more or less moves its own part and little else. All that is needed is the same lists, so that gateways with
the same list agree without a word, and those whose lists differ for a while differ in few places.

An object's place in hash order is no matter of this: every gateway may send a GET to any cache of its
location, and the source of a fill is one of all parents.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from damsonstream.peers import order

SLACK = 1.25  # over the mean: less moves more as lists change, more is uneven
MIXED = 0x5AB5E7  # any number, for the order in which sources choose


def assigned(places: Sequence[int], sources: Iterable[int], each: int) -> dict[int, list[int]]:
    """The gateways that look after each source; fewer than `each` only where there are fewer gateways."""
    listed = sorted(set(sources), key=lambda source: (order.weight(source, MIXED), source))
    each = min(each, len(places))
    if not listed or not each:
        return {source: [] for source in listed}
    room = max(1, math.ceil(SLACK * len(listed) * each / len(places)))
    held = dict.fromkeys(places, 0)
    found: dict[int, list[int]] = {}
    for source in listed:
        ranked = sorted(places, key=lambda place: (order.weight(place, source), place))
        chosen = [place for place in ranked if held[place] < room][:each]
        for place in chosen:
            held[place] += 1
        found[source] = chosen
    return found


def subset(me: int, places: Sequence[int], sources: Iterable[int], each: int) -> set[int]:
    return {source for source, chosen in assigned(places, sources, each).items() if me in chosen}


def spread(places: Sequence[int], sources: Sequence[int], each: int) -> tuple[int, int]:
    """The most and the least that one gateway looks after."""
    held = dict.fromkeys(places, 0)
    for chosen in assigned(places, sources, each).values():
        for place in chosen:
            held[place] += 1
    return (max(held.values()), min(held.values())) if held else (0, 0)
