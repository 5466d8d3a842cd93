"""The bulletin: numbered events of the list of caches and of purges, as bytes or JSON in and events out.

How it is called: `known(told, zones, models)` reads the events of the start from the configuration;
`Decoder(last, ...).feed(data)` yields the events that come after number `last`, and raises `Broken` where the
bytes can't be followed; `hello(last)` asks for them.
No sockets, no clock: times stay Unix milliseconds here.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct
from typing import Any

HEAD = Struct(">IQB")
RECORD = Struct(">I4sHBBBHIQ")
PURGE = Struct(">QQ")
GROUP_PURGE = Struct(">HQ")
STATES = ("active", "leaving", "left")
STATE_WORDS = {"ready": "active", "draining": "leaving", "gone": "left"}
GROUPS = 256  # of objects, the protocol's
MOST = 1 << 20  # bytes of a frame: a list of 38,000 caches


class Broken(Exception):
    """The bulletin's bytes can't be followed."""


@dataclass(slots=True, frozen=True)
class Listed:
    """One line of the list of caches."""

    cache: str
    address: str  # host:port
    location: str
    state: str
    units: float
    cell: int
    model: str
    started_ms: int  # Unix ms, 0: long ago


@dataclass(slots=True, frozen=True)
class ListChanged:
    whole: bool
    entries: tuple[Listed, ...]


@dataclass(slots=True, frozen=True)
class PurgeTold:
    thing: str  # empty: the whole group
    group: int
    issued_ms: int


@dataclass(slots=True, frozen=True)
class Skipped:
    """A whole list came under a number beyond the next: what the events between said is not known, purges
    among them."""


Event = ListChanged | PurgeTold | Skipped


def hello(last: int) -> bytes:
    return last.to_bytes(8, "big")


def known(told: dict[str, Any]) -> tuple[int, list[Event]]:
    """The events of the start, as JSON holds them, and the number of the last."""
    events: list[Event] = []
    for item in told["items"]:
        if "roster" in item:
            roster = item["roster"]
            entries = tuple(
                Listed(
                    cache=line["uid"],
                    address=line["endpoint"],
                    location=line.get("az", ""),
                    state=STATE_WORDS[line["state"]],
                    units=float(line.get("capacity_hint", 1)),
                    cell=int(line.get("pod_group", 0)),
                    model=line.get("model", ""),
                    started_ms=int(line.get("boot_ms", 0)),
                )
                for line in roster["targets"]
            )
            events.append(ListChanged(bool(roster["all"]), entries))
        elif "recall" in item:
            purge = item["recall"]
            events.append(PurgeTold(purge.get("item", ""), int(purge.get("lot", -1)), int(purge["issued"])))
    return int(told["no"]), events


class Decoder:
    """One connection's frames, from the event after `last` on."""

    def __init__(self, last: int, locations: tuple[str, ...], models: tuple[str, ...]) -> None:
        self.last, self.locations, self.models = last, locations, models
        self.buffer = bytearray()  # less than one frame; emptied as frames are whole
        self.frames = 0  # whole ones so far, also those that tell nothing new

    def feed(self, data: bytes) -> Iterator[Event]:
        self.buffer += data
        at, end = 0, len(self.buffer)
        while end - at >= HEAD.size:
            length, number, kind = HEAD.unpack_from(self.buffer, at)
            if not 9 <= length <= MOST:
                raise Broken("bad length")
            if end - at < 4 + length:
                break
            payload = bytes(memoryview(self.buffer)[at + HEAD.size : at + 4 + length])
            at += 4 + length
            self.frames += 1
            if kind == 0 or number <= self.last:
                continue  # nothing new, or told before
            if number != self.last + 1 and kind != 1:
                raise Broken("an event is missing")
            event = self.event(kind, payload)
            # asked again, it would be told so again: the whole list stands for itself
            if number != self.last + 1:
                yield Skipped()
            self.last = number
            yield event
        del self.buffer[:at]

    def event(self, kind: int, payload: bytes) -> Event:
        if kind in (1, 2) and len(payload) % RECORD.size == 0:
            return ListChanged(kind == 1, tuple(self.entry(*line) for line in RECORD.iter_unpack(payload)))
        if kind == 3 and len(payload) == PURGE.size:
            thing, issued = PURGE.unpack(payload)
            return PurgeTold(f"{thing:016x}", -1, issued)
        if kind == 4 and len(payload) == GROUP_PURGE.size:
            group, issued = GROUP_PURGE.unpack(payload)
            return PurgeTold("", group, issued)
        raise Broken("unknown frame")

    def entry(
        self,
        id: int,
        address: bytes,
        port: int,
        state: int,
        zone: int,
        kind: int,
        cell: int,
        weight: int,
        started: int,
    ) -> Listed:
        if state >= len(STATES) or zone >= len(self.locations) or kind >= len(self.models):
            raise Broken("unknown place in a list")
        return Listed(
            cache=f"s-{id:08x}",
            address=f"{'.'.join(map(str, address))}:{port}",
            location=self.locations[zone],
            state=STATES[state],
            units=weight / 1000,
            cell=cell,
            model=self.models[kind],
            started_ms=started,
        )
