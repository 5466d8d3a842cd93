"""Translates between the lines of the bench's protocol and the router's events and actions.

The protocol's names are used only here. Its times are converted to integers in tenths of a millisecond.
"""

from __future__ import annotations

import json

from damsonstream.program.config import UNIT_US, parse_footprint, to_tenths
from damsonstream.routing import interface as i

# names of the values in a cache's load report
LOAD_KEYS = {"concurrent": "held", "load_share": "busy", "x0": "hits", "x1": "link"}
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


class ProtocolError(Exception):
    """A line that breaks the bench's protocol."""


def split_line(line: str) -> tuple[str, dict[str, str]]:
    """Splits a line into its name and its parts; a text or JSON part extends to the end of the line."""
    name, _, rest = line.partition(" ")
    parts: dict[str, str] = {}
    while rest:
        key, sep, rest = rest.partition("=")
        if not sep or not key or " " in key:
            raise ProtocolError(f"part without a value in {name!r}: {key[:60]!r}")
        if key in ("params", "bodyText"):
            parts[key] = rest
            break
        parts[key], _, rest = rest.partition(" ")
    return name, parts


def decode_entry(parts: dict[str, str]) -> i.ListEntry:
    """Decodes an entry of the list of caches."""
    return i.ListEntry(
        cache=parts["cache"],
        location=parts.get("locality", ""),
        state=parts["state"],
        capacity=float(parts.get("units", 1)),
        cell=int(parts.get("cluster", 0)),
        model=parts.get("model", ""),
        started_at=to_tenths(parts.get("since", 0)),
    )


def decode_event(
    name: str, parts: dict[str, str], entries: tuple[i.ListEntry, ...], services: dict[str, int]
) -> i.Event | None:
    """Decodes an event; returns None for one that the router does not handle.

    The service indexes of an ENLIST event are added to `services`.
    """
    if name == "ENLIST":
        settings = json.loads(parts["params"])
        services.update({lane["name"]: index for index, lane in enumerate(settings["lanes"])})
        return i.Started(int(parts["nonce64"]), parse_footprint(settings))
    if name == "DIRECTORY_UPDATE":
        return i.ListUpdate(LIST_KINDS[parts["kind"]], entries)
    if name == "ACCEPT":
        return i.GetReceived(
            get=int(parts["xid"]),
            time_left=to_tenths(parts["left"]),
            service=services[parts["tierClass"]],
            object_id=parts.get("contentId", ""),
            group=int(float(parts.get("labelNo", -1))),
            size_kb=float(parts.get("volumeKb", 0)),
            is_retry=parts.get("againByClient", "0") == "1",
        )
    if name == "VOIDED":
        return i.Purged(
            parts.get("contentId", ""),
            int(float(parts.get("familyId", -1))),
            -(-int(parts.get("oldness", 0)) // UNIT_US),
        )
    if name == "GONE":
        return i.ClientLeft(int(parts["xid"]))
    if name == "WAKE":
        return i.Woken()
    if name == "ESTABLISHED":
        return i.AnswerStarted(int(parts["xid"]), int(parts.get("leg", 0)))
    if name == "CLOSED_ATTEMPT":
        load = dict(pair.split(":", 1) for pair in parts.get("healthInfo", "").split(",") if ":" in pair)
        return i.ForwardEnded(
            get=int(parts["xid"]),
            attempt=int(parts.get("leg", 0)),
            cache=parts.get("cache", ""),
            result=RESULTS[parts["code"]],
            duration=to_tenths(parts.get("delaySeen", 0)),
            first_byte=to_tenths(parts.get("firstByte", 0)),
            fill_code=int(parts.get("remark", 0)),
            get_done=parts.get("over", "0") == "1",
            load={LOAD_KEYS[key]: float(value) for key, value in load.items() if key in LOAD_KEYS},
        )
    return None


def encode_action(gateway: str, a: i.Action) -> str:
    """Encodes an action of that gateway as a line."""
    head = f"gateway={gateway}"
    match a:
        case i.Forward():
            opts = (1 if a.collapse else 0) + (2 if a.only_if_cached else 0) + (8 if a.refresh else 0)
            return (
                f"LOOK_AND_FILL {head} xid={a.get} holdRank={a.retention_rank} fillFrom={a.source} "
                f"patience={a.timeout * UNIT_US} oldness={a.max_age * UNIT_US} cache={a.cache} opts={opts}"
            )
        case i.Recall():
            return f"RECALL {head} xid={a.get} leg={a.attempt}"
        case i.Shed():
            return f"BUSY {head} xid={a.get} retryIn={a.retry_after * UNIT_US}"
        case i.Errored():
            return f"GIVE_UP {head} xid={a.get}"
        case i.Wake():
            return f"DEFER {head} offset={a.after * UNIT_US} ref=due"
        case i.SubscribeToList():
            return f"SUBSCRIBE {head} active=1"
        case i.Trace():
            return f"TRACE {head} bodyText={a.text}"
