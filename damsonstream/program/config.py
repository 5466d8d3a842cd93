"""The configuration file of a gateway, read and checked at startup and on each SIGHUP.

Usage: `read(path)` returns a `Config`, or raises `ConfigError` with a sentence that names the invalid field.
`restart_fields(running, loaded)` names the changed fields that take effect only after a restart.
`parse_footprint()` converts the settings, also those of the bench's first message, to the types of the
router.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

from damsonstream.protocol import bulletin
from damsonstream.routing import interface as i

UNIT_US = 100  # microseconds in the router's unit of time, a tenth of a millisecond
EFFECT_BY_NAME = {"idempotent": "idempotent", "deduplicated": "tokened", "at_most_once": "non-idempotent"}


class ConfigError(Exception):
    """The configuration is missing or invalid."""


@dataclass(frozen=True)
class Config:
    """A checked configuration. The log prints field names under `restart_for`."""

    path: str  # of the file, which SIGHUP reads again
    name: str
    listen: tuple[str, int]
    feed: str  # host:port of the bulletin
    seed: int
    sockets: int  # limit on file descriptors of the process
    memory_mb: int
    last: int  # number of the last event in `known`
    known: tuple[bulletin.Event, ...]  # events of the bulletin that the file contains
    footprint: i.Deployment
    locations: tuple[str, ...]
    connect_timeout: float  # seconds
    idle: float  # idle timeout of connections to caches, seconds
    streams: int  # maximum of pending forwards on one connection
    most_open: int  # maximum of open GETs
    drain_grace: int = 0  # tenths of a millisecond, 0: not configured; used only in records
    purge_grace: int = 0  # as drain_grace
    location: str = ""
    peer_listen: tuple[str, int] | None = None  # address for messages between gateways; None: not configured
    peers: tuple[tuple[str, int], ...] = ()  # all gateways of the tier by number, including this one
    place: int = 0  # number of this gateway: its index in `peers`
    messages: bool = False  # whether gateways may send messages to each other
    message_price: float = 0.0  # cost of one full-size message per GET, as a share of the revenue


def to_tenths(value: Any) -> int:
    """Converts microseconds to tenths of a millisecond."""
    return int(value) // UNIT_US


def address(text: Any, field: str) -> tuple[str, int]:
    """Parses host:port; `field` is the name for the error message."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"The field {field} is not an address of the form host:port.")
    return host, int(port)


def read(path: str | None) -> Config:
    """Reads and checks the configuration file; raises ConfigError."""
    if not path:
        raise ConfigError("No configuration file: set ROUTER_CONFIG or use --config.")
    try:
        document = json.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigError(f"Cannot read the configuration file {path}: {error.strerror}.") from error
    except ValueError as error:
        raise ConfigError(f"The configuration file {path} is not valid JSON: {error}.") from error
    field = ""  # the field being read, for error messages

    def get(*keys: str) -> Any:
        nonlocal field
        value, field = document, ".".join(keys)
        for key in keys:
            value = value[key]
        return value

    try:
        name, listen = str(get("name")), address(get("listen"), "listen")
        address(get("bulletin"), "bulletin")
        seed = int(str(get("seed")), 16)
        sockets, memory = int(get("limits", "sockets")), int(get("limits", "memory_mb"))
        last, known = bulletin.initial_events(get("known"))
        limits = get("settings", "limits")
        field = "settings"
        return Config(
            path=path,
            name=name,
            listen=listen,
            feed=document["bulletin"],
            seed=seed,
            sockets=sockets,
            memory_mb=memory,
            last=last,
            known=tuple(known),
            footprint=parse_footprint(document["settings"]),
            locations=tuple(document["settings"].get("zones", ())),
            connect_timeout=int(limits.get("connectTimeout", 250_000)) / 1e6,
            idle=int(limits.get("connIdle", 15_000_000)) / 1e6,
            streams=int(limits.get("maxStreams", 1)),
            most_open=int(limits.get("maxOpen", 1000)),
            drain_grace=to_tenths(document["settings"].get("rules", {}).get("stopSendingWithin", 0)),
            purge_grace=to_tenths(document["settings"].get("familyInfo", {}).get("noticeTime", 0)),
            location=str(document["settings"].get("myZone", "")),
            **peer_fields(document),
        )
    except KeyError as error:
        raise ConfigError(f"Configuration field {field}: missing key {error}.") from error
    except (TypeError, ValueError, AttributeError, ArithmeticError) as error:
        raise ConfigError(f"Configuration field {field}: invalid value: {error}.") from error


def peer_fields(document: dict[str, Any]) -> dict[str, Any]:
    """Returns the fields of `Config` for messages between gateways. They are optional, but must be valid if
    set."""
    settings = document["settings"]
    peers = tuple(address(peer, f"peers[{n}]") for n, peer in enumerate(document.get("peers", ())))
    listen = address(document["peer_listen"], "peer_listen") if "peer_listen" in document else None
    ordinal = int(settings.get("ordinal", peers.index(listen) if listen in peers else 0))
    if peers and not 0 <= ordinal < len(peers):
        raise ConfigError(f"The field settings.ordinal is {ordinal}, but peers has {len(peers)} entries.")
    return {
        "peer_listen": listen, "peers": peers, "place": ordinal,
        "messages": bool(settings.get("limits", {}).get("peerMessages", False)),
        "message_price": float(settings.get("deductions", {}).get("peer", 0.0)),
    }  # fmt: skip


def restart_fields(running: Config, loaded: Config) -> list[str]:
    """Returns the names of changed fields that need a restart: all but the address of the bulletin, and the
    known events, which the bulletin sends anyway."""
    names = (field.name for field in fields(Config) if field.name not in ("path", "feed", "last", "known"))
    return [name for name in names if getattr(running, name) != getattr(loaded, name)]


def parse_footprint(settings: dict[str, Any]) -> i.Deployment:
    """Converts the `settings` section to the router's view of the system: its services, limits and rules."""
    family = settings.get("familyInfo", {})
    limits = settings.get("limits", {})
    rules = settings.get("rules", {})
    models = tuple(settings.get("kinds", ()))
    zones = settings.get("zones", [])
    own_zone = settings.get("myZone", "")

    def model(key: str) -> str:
        index = family.get(key, -1)
        return models[index] if 0 <= index < len(models) else ""

    def per_service(key: str, index: int) -> Any:
        values = family.get(key, [])
        return values[index] if index < len(values) else 0

    services = tuple(
        i.DeliveryService(
            name=service["name"],
            objective=to_tenths(service["onTime"]),
            objective_per_transfer=float(service.get("aimStretch", 0)),
            viewer_timeout=to_tenths(service["hardLimit"]),
            revenue=float(service.get("worth", 1)),
            late_share=float(service.get("lateShare", 0)),
            idempotency=EFFECT_BY_NAME[service["idempotency"]],
            token_scope=service.get("keyScope", "all"),
            token_lifetime=to_tenths(service.get("dedupWindow", 0)),
            streamed=bool(service.get("streaming", False)),
            max_age=to_tenths(per_service("maxAge", index)),
            stale_grace=to_tenths(per_service("usableAfter", index)),
            uncacheable=bool(per_service("passOn", index)),
        )
        for index, service in enumerate(settings["lanes"])
    )
    gateways_by_zone = family.get("zoneBalancers", [])
    own_zone_index = zones.index(own_zone) if own_zone in zones else -1
    gateways = int(settings.get("balancers", 1))
    return i.Deployment(
        services=services,
        location=own_zone,
        gateways=gateways,
        location_gateways=(
            gateways_by_zone[own_zone_index] if 0 <= own_zone_index < len(gateways_by_zone) else 0
        )
        or gateways,
        models=models,
        parent_model=model("shieldKind"),
        origin_model=model("masterKind"),
        capacity_info=settings.get("weights", "none"),
        must_subscribe=settings.get("membershipMode") == "subscribe",
        resubscribe_within=to_tenths(rules.get("askWithin", 0)),
        client_kb_per_s=float(family.get("clientKbPerS", 0)),
        fill_codes=family.get("says", "none"),
        collapses_fills=bool(family.get("joins", True)),
        allows_direct=bool(family.get("passThroughOk", False)),
        timer_tick=max(1, to_tenths(settings.get("tick", 0))),
        allows_recall=bool(limits.get("cancel", False)),
        allows_hedges=bool(limits.get("secondCopies", False)),
        allows_retry_after=bool(limits.get("retryAfter", False)),
        max_forwards=int(limits.get("maxAttempts", 1)),
        max_retry_after=to_tenths(limits.get("maxRetryAfter", 0)),
        cold_share=float(rules.get("startCapacity", 1)),
        cold_duration=to_tenths(rules.get("warmWithin", 0)),
        cold_multiple=float(rules.get("fallMultiple", 1)),
        cold_overload_span=to_tenths(rules.get("tipAfter", 0)),
        parent_cold_share=float(family.get("parentStartsAt", 1)),
        parent_cold_duration=to_tenths(family.get("upperCold", 0)),
        parent_cold_multiple=float(family.get("parentBreaksAt", 1)),
        purge_settle_time=to_tenths(family.get("purgeSettles", 0)),
    )
