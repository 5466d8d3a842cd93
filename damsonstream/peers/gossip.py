"""Gossip: which items the next datagrams carry, under which byte budget. No I/O.

Usage: `publish(now, item)` queues an item of this gateway, `receive(now, item, is_news)` handles one that
another gateway sent. `available_bytes(now, gets_per_second)` is called before each datagram and `spend(size)`
after it; `take_items(now, max_bytes, location)` returns the items for the next one.

Each item is relayed a number of times that grows with the logarithm of the fleet's size. Each copy that comes
in from another gateway reduces that number by one, since others relay the item already. Without items nothing
is sent.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from msgspec import structs

from damsonstream.peers import wire

S = 10_000  # clock ticks (0.1 ms) per second
MAX_QUEUED = 128  # over it, the item with the fewest sends left is dropped
MAX_AGE = 2 * S  # after which an item is dropped, sent or not
# Sends of an item: one, and this times the natural logarithm of the fleet's size. 200 gateways: 5 sends.
SENDS_PER_LOG_SIZE = 0.75
BURST_DURATION = 10 * S  # unspent budget accumulates for this long, to be used when something happens
# Share of the GETs' revenue that messages may cost: a hundredth of what is lost on a bad day.
REVENUE_FRACTION = 0.002
COST_UNIT_BYTES = 256  # size of the message that `message_cost` is the cost of
DEFAULT_BYTES_PER_SECOND = 200  # where no message cost is configured: some 1.6 kbit/s
MIN_BYTES_PER_SECOND = 64  # for a fleet without traffic


@dataclass(slots=True)
class QueuedItem:
    """An item waiting to be sent."""

    item: wire.GossipItem
    sends_left: int
    queued_at: int


def item_key(item: wire.GossipItem) -> tuple[int, ...]:
    """Returns the subject of an item, whose newer items replace older ones. The first number is the priority:
    items on sources and zones go before those on gateways."""
    match item:
        case wire.Heartbeat():
            return 0, item.by
        case wire.Suspicion():
            return 1, item.by, item.of
        case wire.OutcomeReport():
            return 2, item.by, item.source
        case wire.Trial():
            return 3, item.by, item.source
        case wire.ZoneItem():
            return 4, item.zone


def item_version(item: wire.GossipItem) -> tuple[int, int]:
    """Returns which of two items on the same subject is newer: the greater one."""
    return (item.epoch, item.step) if isinstance(item, wire.ZoneItem) else (item.boot, item.sequence)


def aged(item: wire.GossipItem, held: int) -> wire.GossipItem:
    """Returns the item with its age increased by the time that it was held here."""
    if isinstance(item, wire.OutcomeReport) and held >= wire.AGE_UNIT:
        return structs.replace(item, age=min(255, item.age + held // wire.AGE_UNIT))
    return item


class Gossip:
    """One gateway's queue of items to relay, and its byte budget."""

    def __init__(self, message_cost: float, now: int) -> None:
        """`message_cost`: the configured share of all revenue that one full message per GET would cost; 0:
        not configured."""
        self.message_cost, self.fleet_size = message_cost, 1
        # by item_key; emptied as items are sent, by MAX_AGE and by MAX_QUEUED
        self.queue: dict[tuple[int, ...], QueuedItem] = {}
        self.available, self.refilled_at = 2.0 * wire.MAX_DATAGRAM_BYTES, now

    def max_sends(self) -> int:
        """Returns how often each gateway sends an item."""
        return 1 + math.ceil(SENDS_PER_LOG_SIZE * math.log(max(2, self.fleet_size)))

    def publish(self, now: int, item: wire.GossipItem) -> None:
        """Queues an item of this gateway."""
        self.enqueue(now, item, self.max_sends())

    def receive(self, now: int, item: wire.GossipItem, is_news: bool) -> None:
        """Queues an item of another gateway if it is news; else counts it as a copy of a queued one."""
        if is_news:
            self.enqueue(now, item, self.max_sends() - 1)
            return
        queued = self.queue.get(item_key(item))
        if queued is not None and item_version(queued.item) == item_version(item):
            queued.sends_left -= 1
            if queued.sends_left <= 0:
                del self.queue[item_key(item)]

    def enqueue(self, now: int, item: wire.GossipItem, sends_left: int) -> None:
        if sends_left <= 0:
            return
        self.queue[item_key(item)] = QueuedItem(item, sends_left, now)
        if len(self.queue) > MAX_QUEUED:
            del self.queue[min(self.queue, key=lambda k: self.queue[k].sends_left)]

    def bytes_per_second(self, gets_per_second: float) -> float:
        """Returns how many bytes a second this gateway may send at a given mean of GETs per gateway."""
        return (
            max(
                MIN_BYTES_PER_SECOND, REVENUE_FRACTION / self.message_cost * COST_UNIT_BYTES * gets_per_second
            )
            if self.message_cost > 0
            else DEFAULT_BYTES_PER_SECOND
        )

    def available_bytes(self, now: int, gets_per_second: float) -> int:
        """Refills the token bucket and returns how many bytes it holds."""
        rate = self.bytes_per_second(gets_per_second)
        capacity = max(2.0 * wire.MAX_DATAGRAM_BYTES, rate * BURST_DURATION / S)
        self.available = min(capacity, self.available + rate * (now - self.refilled_at) / S)
        self.refilled_at = now
        return int(self.available)

    def spend(self, size: int) -> None:
        self.available -= size

    def take_items(self, now: int, max_bytes: int, location: int) -> list[wire.GossipItem]:
        """Returns the items for one datagram to a gateway of that location (negative: unknown), those on
        sources and zones first, then those with the most sends left. Each item has one send less
        afterwards."""
        for key in [k for k, w in self.queue.items() if now - w.queued_at > MAX_AGE]:
            del self.queue[key]
        chosen: list[wire.GossipItem] = []
        ranked = sorted(self.queue.items(), key=lambda e: (-e[0][0], -e[1].sends_left, -e[1].queued_at))
        for key, queued in ranked:
            item = queued.item
            if (
                isinstance(item, (wire.OutcomeReport, wire.Trial))
                and item.location not in (wire.ALL_LOCATIONS, location)
                and location >= 0
            ):
                continue
            size = wire.encoded_size(item)
            if size > max_bytes:
                continue
            max_bytes -= size
            chosen.append(aged(item, now - queued.queued_at))
            queued.sends_left -= 1
            if queued.sends_left <= 0:
                del self.queue[key]
        return chosen
