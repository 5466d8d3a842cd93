"""What a gateway is told: its configuration file, read and checked at the start and on each SIGHUP.

How it is called: `read(path)` returns a `Config`, or raises `Unusable` with one plain sentence that names the
field; `restarts(old, new)` names what only a restart takes over. `footprint()` puts the settings, also
those of the bench's first message, into the router's words.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from damsonstream.protocol import bulletin
from damsonstream.routing import interface as i

US = 100  # microseconds in a tenth of a millisecond
EFFECTS = {"idempotent": "idempotent", "deduplicated": "tokened", "at_most_once": "non-idempotent"}


class Unusable(Exception):
    """The configuration is missing or can't be used."""


@dataclass(frozen=True)
class Config:
    path: str  # where it was read, and is read again
    name: str
    listen: tuple[str, int]
    feed: str  # address of the bulletin
    seed: int
    sockets: int  # descriptors of the process
    memory_mb: int
    last: int  # number of the last event known
    known: tuple[bulletin.Event, ...]
    footprint: i.Footprint
    locations: tuple[str, ...]
    connect_timeout: float  # seconds, as are the next
    idle: float
    streams: int  # forwards on one connection
    most_open: int  # GETs open at once
    drain_grace: int = 0  # the rules' figures, tenths of a millisecond, 0: not told; only records hold them
    purge_grace: int = 0
    location: str = ""
    peer_listen: tuple[str, int] | None = None  # None: no address for messages is told
    peers: tuple[tuple[str, int], ...] = ()  # all gateways of the tier, by their numbers, this one included
    place: int = 0  # this one's number
    messages: bool = False  # whether gateways may send each other any
    message_price: float = 0.0  # part of all revenue that one full message a GET costs


def tenths(value: Any) -> int:
    return int(value) // US


def address(text: Any, field: str) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Unusable(f"The field {field} is not an address of the form host:port.")
    return host, int(port)


def read(path: str | None) -> Config:
    if not path:
        raise Unusable("No configuration: set ROUTER_CONFIG or give --config.")
    try:
        told = json.loads(Path(path).read_text())
    except OSError as fault:
        raise Unusable(f"The configuration {path} can't be read: {fault.strerror}.") from fault
    except ValueError as fault:
        raise Unusable(f"The configuration {path} is not JSON: {fault}.") from fault
    field = ""

    def get(*keys: str) -> Any:
        nonlocal field
        value, field = told, ".".join(keys)
        for key in keys:
            value = value[key]
        return value

    try:
        name, listen = str(get("name")), address(get("listen"), "listen")
        address(get("bulletin"), "bulletin")
        seed = int(str(get("seed")), 16)
        sockets, memory = int(get("limits", "sockets")), int(get("limits", "memory_mb"))
        last, known = bulletin.known(get("known"))
        limits = get("settings", "limits")
        field = "settings"
        return Config(
            path=path,
            name=name,
            listen=listen,
            feed=told["bulletin"],
            seed=seed,
            sockets=sockets,
            memory_mb=memory,
            last=last,
            known=tuple(known),
            footprint=footprint(told["settings"]),
            locations=tuple(told["settings"].get("zones", ())),
            connect_timeout=int(limits.get("connectTimeout", 250_000)) / 1e6,
            idle=int(limits.get("connIdle", 15_000_000)) / 1e6,
            streams=int(limits.get("maxStreams", 1)),
            most_open=int(limits.get("maxOpen", 1000)),
            drain_grace=tenths(told["settings"].get("rules", {}).get("stopSendingWithin", 0)),
            purge_grace=tenths(told["settings"].get("familyInfo", {}).get("noticeTime", 0)),
            location=str(told["settings"].get("myZone", "")),
            **peering(told),
        )
    except KeyError as fault:
        raise Unusable(f"The field {field} of the configuration lacks {fault}.") from fault
    except (TypeError, ValueError, AttributeError, ArithmeticError) as fault:
        raise Unusable(f"The field {field} of the configuration can't be used: {fault}.") from fault


def peering(told: dict[str, Any]) -> dict[str, Any]:
    """What concerns messages between gateways; a field that is there has to be usable."""
    settings = told["settings"]
    peers = tuple(address(one, f"peers[{n}]") for n, one in enumerate(told.get("peers", ())))
    listen = address(told["peer_listen"], "peer_listen") if "peer_listen" in told else None
    place = int(settings.get("ordinal", peers.index(listen) if listen in peers else 0))
    if peers and not 0 <= place < len(peers):
        raise Unusable(f"The field settings.ordinal is {place}, and peers names {len(peers)}.")
    return {
        "peer_listen": listen, "peers": peers, "place": place,
        "messages": bool(settings.get("limits", {}).get("peerMessages", False)),
        "message_price": float(settings.get("deductions", {}).get("peer", 0.0)),
    }  # fmt: skip


def state(path: str) -> tuple[int, int, int]:
    """Of a file, what changes as it is written or replaced."""
    try:
        told = Path(path).stat()
    except OSError:
        return 0, 0, 0
    return told.st_ino, told.st_size, told.st_mtime_ns


def restarts(old: Config, new: Config) -> list[str]:
    """What has changed besides the bulletin's address and the events known, which the bulletin tells."""
    names = (field.name for field in fields(Config) if field.name not in ("path", "feed", "last", "known"))
    return [name for name in names if getattr(old, name) != getattr(new, name)]


def footprint(told: dict[str, Any]) -> i.Footprint:
    info = told.get("familyInfo", {})
    limits = told.get("limits", {})
    rules = told.get("rules", {})
    kinds = tuple(told.get("kinds", ()))
    zones = told.get("zones", [])
    mine = told.get("myZone", "")

    def model(key: str) -> str:
        place = info.get(key, -1)
        return kinds[place] if 0 <= place < len(kinds) else ""

    def per_service(key: str, place: int) -> Any:
        values = info.get(key, [])
        return values[place] if place < len(values) else 0

    services = tuple(
        i.DeliveryService(
            name=lane["name"],
            objective=tenths(lane["onTime"]),
            stretch=float(lane.get("aimStretch", 0)),
            viewer_timeout=tenths(lane["hardLimit"]),
            revenue=float(lane.get("worth", 1)),
            late_share=float(lane.get("lateShare", 0)),
            effect=EFFECTS[lane["idempotency"]],
            scope=lane.get("keyScope", "all"),
            remembered=tenths(lane.get("dedupWindow", 0)),
            streamed=bool(lane.get("streaming", False)),
            fresh=tenths(per_service("maxAge", place)),
            grace=tenths(per_service("usableAfter", place)),
            passes=bool(per_service("passOn", place)),
        )
        for place, lane in enumerate(told["lanes"])
    )
    at_home = info.get("zoneBalancers", [])
    here = zones.index(mine) if mine in zones else -1
    gateways = int(told.get("balancers", 1))
    return i.Footprint(
        services=services,
        location=mine,
        gateways=gateways,
        location_gateways=(at_home[here] if 0 <= here < len(at_home) else 0) or gateways,
        models=kinds,
        parent_model=model("shieldKind"),
        origin_model=model("masterKind"),
        weights=told.get("weights", "none"),
        ask_for_list=told.get("membershipMode") == "subscribe",
        ask_within=tenths(rules.get("askWithin", 0)),
        client_kb_per_s=float(info.get("clientKbPerS", 0)),
        notes=info.get("says", "none"),
        joins=bool(info.get("joins", True)),
        direct=bool(info.get("passThroughOk", False)),
        tick=max(1, tenths(told.get("tick", 0))),
        cancel=bool(limits.get("cancel", False)),
        second_copies=bool(limits.get("secondCopies", False)),
        retry_after=bool(limits.get("retryAfter", False)),
        max_forwards=int(limits.get("maxAttempts", 1)),
        max_retry_after=tenths(limits.get("maxRetryAfter", 0)),
        cold_share=float(rules.get("startCapacity", 1)),
        cold_for=tenths(rules.get("warmWithin", 0)),
        cold_multiple=float(rules.get("fallMultiple", 1)),
        cold_span=tenths(rules.get("tipAfter", 0)),
        parent_cold_share=float(info.get("parentStartsAt", 1)),
        parent_cold_for=tenths(info.get("upperCold", 0)),
        parent_cold_multiple=float(info.get("parentBreaksAt", 1)),
        purge_settles=tenths(info.get("purgeSettles", 0)),
    )
