"""The bench's wire, line by line: text in and out, nothing decided.

Wire names end here; times leave here as whole tenths of a millisecond.
"""

from __future__ import annotations

import json
from typing import Any

from damsonstream.core import interface as i

US = 100  # microseconds in a tenth of a millisecond

EFFECTS = {"idempotent": "idempotent", "deduplicated": "tokened", "at_most_once": "non-idempotent"}
LOADS = {"concurrent": "held", "load_share": "busy", "x0": "hits", "x1": "link"}  # x1 of a cache
LIST_KINDS = {"D": "changes", "F": "full", "C": "cached", "X": "lost"}
RESULTS = {
    "delivered": "returned",
    "app_error": "errored",
    "shed": "shed",
    "expired": "expired",
    "dial_failed": "unreached",
    "dropped": "broken",
    "revoked": "recalled",
    "unused": "unsent",
    "empty": "lacking",
}
EVENTS = {"ENLIST", "DIRECTORY_UPDATE", "ACCEPT", "VOIDED", "GONE", "DATAGRAM", "PING_RESULT", "WAKE"}
EVENTS |= {"RETIRE", "ESTABLISHED", "CLOSED_ATTEMPT"}


class WireError(Exception):
    """A line that does not follow the wire's page."""


def split(line: str) -> tuple[str, dict[str, str]]:
    """Name and parts of one line; a text or JSON part runs to the end of the line."""
    name, _, rest = line.partition(" ")
    parts: dict[str, str] = {}
    while rest:
        key, sep, rest = rest.partition("=")
        if not sep or not key or " " in key:
            raise WireError(f"part without a value in {name!r}: {key[:60]!r}")
        if key in ("params", "bodyText"):
            parts[key] = rest
            break
        parts[key], _, rest = rest.partition(" ")
    return name, parts


def _time(value: Any) -> int:
    return int(value) // US


def _footprint(told: dict[str, Any]) -> i.Footprint:
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
            objective=_time(lane["onTime"]),
            stretch=float(lane.get("aimStretch", 0)),
            viewer_timeout=_time(lane["hardLimit"]),
            revenue=float(lane.get("worth", 1)),
            late_share=float(lane.get("lateShare", 0)),
            effect=EFFECTS[lane["idempotency"]],
            scope=lane.get("keyScope", "all"),
            remembered=_time(lane.get("dedupWindow", 0)),
            streamed=bool(lane.get("streaming", False)),
            fresh=_time(per_service("maxAge", place)),
            grace=_time(per_service("usableAfter", place)),
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
        ask_within=_time(rules.get("askWithin", 0)),
        client_kb_per_s=float(info.get("clientKbPerS", 0)),
        notes=info.get("says", "none"),
        joins=bool(info.get("joins", True)),
        direct=bool(info.get("passThroughOk", False)),
        tick=max(1, _time(told.get("tick", 0))),
        cancel=bool(limits.get("cancel", False)),
        second_copies=bool(limits.get("secondCopies", False)),
        retry_after=bool(limits.get("retryAfter", False)),
        max_forwards=int(limits.get("maxAttempts", 1)),
        max_retry_after=_time(limits.get("maxRetryAfter", 0)),
        cold_share=float(rules.get("startCapacity", 1)),
        cold_for=_time(rules.get("warmWithin", 0)),
        cold_multiple=float(rules.get("fallMultiple", 1)),
        cold_span=_time(rules.get("tipAfter", 0)),
        parent_cold_share=float(info.get("parentStartsAt", 1)),
        parent_cold_for=_time(info.get("upperCold", 0)),
        parent_cold_multiple=float(info.get("parentBreaksAt", 1)),
        purge_settles=_time(info.get("purgeSettles", 0)),
    )


def entry(parts: dict[str, str]) -> i.Entry:
    return i.Entry(
        cache=parts["cache"],
        location=parts.get("locality", ""),
        state=parts["state"],
        units=float(parts.get("units", 1)),
        cell=int(parts.get("cluster", 0)),
        model=parts.get("model", ""),
        since=_time(parts.get("since", 0)),
    )


def event(
    name: str, p: dict[str, str], entries: tuple[i.Entry, ...], services: dict[str, int]
) -> i.Event | None:
    """One event of the wire in our words; None for what the router does not listen to."""
    if name == "ENLIST":
        told = json.loads(p["params"])
        services.update({lane["name"]: place for place, lane in enumerate(told["lanes"])})
        return i.Started(int(p["nonce64"]), _footprint(told))
    if name == "DIRECTORY_UPDATE":
        return i.ListTold(LIST_KINDS[p["kind"]], entries)
    if name == "ACCEPT":
        return i.GetTaken(
            get=int(p["xid"]),
            left=_time(p["left"]),
            service=services[p["tierClass"]],
            thing=p.get("contentId", ""),
            group=int(float(p.get("labelNo", -1))),
            size_kb=float(p.get("volumeKb", 0)),
            repeated=p.get("againByClient", "0") == "1",
        )
    if name == "VOIDED":
        return i.Purged(
            p.get("contentId", ""), int(float(p.get("familyId", -1))), -(-int(p.get("oldness", 0)) // US)
        )
    if name == "GONE":
        return i.ClientLeft(int(p["xid"]))
    if name == "WAKE":
        return i.Woken()
    if name == "ESTABLISHED":
        return i.AnswerStarted(int(p["xid"]), int(p.get("leg", 0)))
    if name == "CLOSED_ATTEMPT":
        load = dict(pair.split(":", 1) for pair in p.get("healthInfo", "").split(",") if ":" in pair)
        return i.ForwardEnded(
            get=int(p["xid"]),
            leg=int(p.get("leg", 0)),
            cache=p.get("cache", ""),
            result=RESULTS[p["code"]],
            took=_time(p.get("delaySeen", 0)),
            first_byte=_time(p.get("firstByte", 0)),
            note=int(p.get("remark", 0)),
            over=p.get("over", "0") == "1",
            load={LOADS[key]: float(value) for key, value in load.items() if key in LOADS},
        )
    return None


def action(gateway: str, a: i.Action) -> str:
    head = f"gateway={gateway}"
    match a:
        case i.Forward():
            opts = (1 if a.join else 0) + (2 if a.copies else 0) + (8 if a.renew else 0)
            return (
                f"LOOK_AND_FILL {head} xid={a.get} holdRank={a.rank} fillFrom={a.source} "
                f"patience={a.patience * US} oldness={a.age * US} cache={a.cache} opts={opts}"
            )
        case i.Recall():
            return f"RECALL {head} xid={a.get} leg={a.leg}"
        case i.Shed():
            return f"BUSY {head} xid={a.get} retryIn={a.come_back * US}"
        case i.Errored():
            return f"GIVE_UP {head} xid={a.get}"
        case i.Wake():
            return f"DEFER {head} offset={a.after * US} ref=due"
        case i.AskForList():
            return f"SUBSCRIBE {head} active=1"
        case i.Trace():
            return f"TRACE {head} bodyText={a.text}"
