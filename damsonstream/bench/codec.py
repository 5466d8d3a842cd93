"""Translates between the lines of the bench's protocol and the router's events and actions.

The protocol's names are used only here. Its times are converted to integers in tenths of a millisecond.
"""

from __future__ import annotations

import json

from damsonstream.program.config import US, footprint, tenths
from damsonstream.routing import interface as i

LOADS = {"concurrent": "held", "load_share": "busy", "x0": "hits", "x1": "link"}
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
    """A line that breaks the bench's protocol."""


def split(line: str) -> tuple[str, dict[str, str]]:
    """Splits a line into its name and its parts; a text or JSON part extends to the end of the line."""
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


def entry(parts: dict[str, str]) -> i.Entry:
    """Decodes an entry of the list of caches."""
    return i.Entry(
        cache=parts["cache"],
        location=parts.get("locality", ""),
        state=parts["state"],
        units=float(parts.get("units", 1)),
        cell=int(parts.get("cluster", 0)),
        model=parts.get("model", ""),
        since=tenths(parts.get("since", 0)),
    )


def event(
    name: str, p: dict[str, str], entries: tuple[i.Entry, ...], services: dict[str, int]
) -> i.Event | None:
    """Decodes an event; returns None for one that the router does not handle.

    The service indexes of an ENLIST event are added to `services`.
    """
    if name == "ENLIST":
        told = json.loads(p["params"])
        services.update({lane["name"]: place for place, lane in enumerate(told["lanes"])})
        return i.Started(int(p["nonce64"]), footprint(told))
    if name == "DIRECTORY_UPDATE":
        return i.ListTold(LIST_KINDS[p["kind"]], entries)
    if name == "ACCEPT":
        return i.GetTaken(
            get=int(p["xid"]),
            left=tenths(p["left"]),
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
            took=tenths(p.get("delaySeen", 0)),
            first_byte=tenths(p.get("firstByte", 0)),
            note=int(p.get("remark", 0)),
            over=p.get("over", "0") == "1",
            load={LOADS[key]: float(value) for key, value in load.items() if key in LOADS},
        )
    return None


def action(gateway: str, a: i.Action) -> str:
    """Encodes an action of that gateway as a line."""
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
