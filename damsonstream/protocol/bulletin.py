"""Codec of the bulletin, a stream of numbered events: changes of the list of caches, and purges.

Usage: `initial_events(section)` decodes the events that the configuration contains, as JSON.
`subscribe_request(last)` encodes the request for the events after number `last`, and the `feed(data)` method
of `Decoder(last, ...)` yields them; it raises `ProtocolError` on malformed input. The module does no I/O and
reads no clock. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct
from typing import Any

FRAME_HEADER = Struct(">IQB")
LIST_ENTRY = Struct(">I4sHBBBHIQ")
OBJECT_PURGE = Struct(">QQ")
GROUP_PURGE = Struct(">HQ")
STATES = ("active", "leaving", "left")
STATE_BY_NAME = {"ready": "active", "draining": "leaving", "gone": "left"}
MAX_FRAME_BYTES = 1 << 20  # a list of 38,000 caches


class ProtocolError(Exception):
    """Malformed or unexpected data from the bulletin."""


@dataclass(slots=True, frozen=True)
class Listed:
    """One entry of the list of caches."""

    cache: str
    address: str  # host:port
    location: str
    state: str
    units: float  # capacity, in units of the capacity hint
    cell: int  # number of its pod group
    model: str
    started_ms: int  # Unix ms; 0: long ago


@dataclass(slots=True, frozen=True)
class ListChanged:
    """New entries of the list of caches."""

    whole: bool  # a full list rather than a change
    entries: tuple[Listed, ...]


@dataclass(slots=True, frozen=True)
class PurgeTold:
    """A purge of one object or of one group of objects."""

    thing: str  # id of the object; empty: the whole group
    group: int  # -1: a purge of one object
    issued_ms: int


Event = ListChanged | PurgeTold


def subscribe_request(last: int) -> bytes:
    return last.to_bytes(8, "big")


def initial_events(section: dict[str, Any]) -> tuple[int, list[Event]]:
    """Decodes the `known` section of the configuration: the number of the last event, and the events."""
    events: list[Event] = []
    for item in section["items"]:
        if "roster" in item:
            roster = item["roster"]
            entries = tuple(
                Listed(
                    cache=entry["uid"],
                    address=entry["endpoint"],
                    location=entry.get("az", ""),
                    state=STATE_BY_NAME[entry["state"]],
                    units=float(entry.get("capacity_hint", 1)),
                    cell=int(entry.get("pod_group", 0)),
                    model=entry.get("model", ""),
                    started_ms=int(entry.get("boot_ms", 0)),
                )
                for entry in roster["targets"]
            )
            events.append(ListChanged(bool(roster["all"]), entries))
        elif "recall" in item:
            purge = item["recall"]
            events.append(PurgeTold(purge.get("item", ""), int(purge.get("lot", -1)), int(purge["issued"])))
    return int(section["no"]), events


class Decoder:
    """Decodes the frames of one connection, beginning with the event after `last_event`.

    `locations` and `models` give the names for the indexes that frames contain.
    """

    def __init__(self, last: int, locations: tuple[str, ...], models: tuple[str, ...]) -> None:
        self.last_event, self.locations, self.models = last, locations, models
        self.buffer = bytearray()  # an incomplete frame

    def feed(self, data: bytes) -> Iterator[Event]:
        self.buffer += data
        offset, end = 0, len(self.buffer)
        while end - offset >= FRAME_HEADER.size:
            length, number, kind = FRAME_HEADER.unpack_from(self.buffer, offset)
            if not 9 <= length <= MAX_FRAME_BYTES:
                raise ProtocolError("bad length")
            if end - offset < 4 + length:
                break
            payload = bytes(memoryview(self.buffer)[offset + FRAME_HEADER.size : offset + 4 + length])
            offset += 4 + length
            if kind == 0 or number <= self.last_event:
                continue  # a heartbeat, or an event that was received before
            if number != self.last_event + 1:
                raise ProtocolError("gap in the event numbers")
            event = self.decode_event(kind, payload)
            self.last_event = number
            yield event
        del self.buffer[:offset]

    def decode_event(self, kind: int, payload: bytes) -> Event:
        if kind in (1, 2) and len(payload) % LIST_ENTRY.size == 0:
            return ListChanged(
                kind == 1, tuple(self.decode_entry(*fields) for fields in LIST_ENTRY.iter_unpack(payload))
            )
        if kind == 3 and len(payload) == OBJECT_PURGE.size:
            object_id, issued = OBJECT_PURGE.unpack(payload)
            return PurgeTold(f"{object_id:016x}", -1, issued)
        if kind == 4 and len(payload) == GROUP_PURGE.size:
            group, issued = GROUP_PURGE.unpack(payload)
            return PurgeTold("", group, issued)
        raise ProtocolError("unknown frame")

    def decode_entry(
        self,
        cache_id: int,
        ipv4: bytes,
        port: int,
        state: int,
        zone: int,
        model: int,
        cell: int,
        weight: int,
        started_ms: int,
    ) -> Listed:
        if state >= len(STATES) or zone >= len(self.locations) or model >= len(self.models):
            raise ProtocolError("unknown state, zone or model in a list entry")
        return Listed(
            cache=f"s-{cache_id:08x}",
            address=f"{'.'.join(map(str, ipv4))}:{port}",
            location=self.locations[zone],
            state=STATES[state],
            units=weight / 1000,
            cell=cell,
            model=self.models[model],
            started_ms=started_ms,
        )
