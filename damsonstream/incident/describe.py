"""Describes records as text that is safe to print. No I/O.

`describe_record(record)` describes any record in one line and `describe_step(record)` a step of a GET.
`plain(text)` makes any text safe for a terminal: names come from the network and may contain control
characters or terminal escapes. HTML is escaped by the page templates.
"""

from __future__ import annotations

from damsonstream.records import model

MAX_NAME_CHARS = 80  # longer names are truncated


def plain(text: object, max_chars: int = MAX_NAME_CHARS) -> str:
    """Returns the text with unprintable characters escaped, truncated to `max_chars`."""
    full = str(text)
    escaped = "".join(c if c.isprintable() else f"\\x{ord(c):02x}" for c in full[:max_chars])
    return escaped + "..." * (len(full) > max_chars)


# By the numeric note of a Came record: how the cache produced its answer.
NOTE_TEXTS = ("", "hit", "filled", "filled through the origin", "joined a fill", "stale", "source refused",
              "source broke", "not at source", "no fill slot", "origin failed")  # fmt: skip


def describe_step(record: model.AnyRecord) -> str:
    """Describes a record as a step of its GET."""
    match record:
        case model.Taken():
            retry = ", marked as a retry" if record.repeated else ""
            return (
                f"taken, object {record.thing}, group {record.group}, {record.left / 10:.0f} ms left{retry}"
            )
        case model.Sent():
            source = "" if record.source == record.cache else f", to be filled from {record.source}"
            copies = ", cached copies only" if record.copies else ""
            age = f", copy at most {record.age / 10:.0f} ms old" if record.age else ""
            return f"forward {record.leg} to {record.cache}{source}{copies}{age}"
        case model.Came():
            note = f" ({NOTE_TEXTS[record.note]})" if 0 < record.note < len(NOTE_TEXTS) else ""
            first = f", first byte after {record.first_byte / 10:.0f} ms" if record.first_byte else ""
            return f"forward {record.leg} {record.result}{note} after {record.took / 10:.0f} ms{first}"
        case model.Answered():
            retry_after = f", retry after {record.come_back} ms" if record.come_back else ""
            size = f", {record.size} bytes of forward {record.leg}" if record.outcome == "returned" else ""
            return f"final answer: {record.outcome}{size}{retry_after}"
        case model.Left():
            return "the client left"
    return type(record).__name__.lower()


def describe_zone(zone: str, state: str, progress: int, flaps: int) -> str:
    """Describes one gateway's view of a zone: its state, the progress of its return, and its flaps."""
    returning = f" {progress}/20" if state == "Returning" else ""
    return f"{zone} {state}{returning}" + (f" (lost again {flaps} times)" if flaps else "")


def describe_record(record: model.AnyRecord) -> str:
    """Describes any record in one printable line."""
    match record:
        case model.Taken() | model.Sent() | model.Came() | model.Answered() | model.Left():
            return plain(f"GET {record.get}: {describe_step(record)}", 240)
        case model.Turned():
            return plain(f"GET {record.ident}: {record.outcome} on arrival, {record.reason}", 240)
        case model.Breaker():
            counts = ""
            if record.state == "Open":
                counts = (
                    f" ({record.run} bad in a row, {record.failures:g} of {record.count:g} in the window)"
                )
            return plain(f"breaker of {record.role} {record.node}: {record.state}{counts}", 240)
        case model.Listed():
            lines = ", ".join(f"{one.cache} {one.state}" for one in record.lines[:6])
            more = f" and {len(record.lines) - 6} more" if len(record.lines) > 6 else ""
            return plain(f"list {'whole' if record.whole else 'changed'}: {lines}{more}", 240)
        case model.Purge():
            what = f"object {record.thing}" if record.thing else f"group {record.group}"
            return plain(f"purge of {what}", 240)
        case model.Began():
            return plain(f"boot {record.boot} of {record.name}, version {record.version}", 240)
        case model.Stopped():
            return plain(f"ended: {record.reason}", 240)
        case model.Reloaded():
            return plain(f"configuration reloaded, {record.outcome}: {record.what}", 240)
        case model.Pulse():
            return f"{record.open} GETs open, {record.cpu / 1000:.1f} s of CPU, {record.rss // 1024} MB"
        case model.Peers():
            silent = f", silent: {', '.join(map(str, record.silent[:12]))}" if record.silent else ""
            parts = f"{record.near / 1e6:.3f} of location limits, {record.far / 1e6:.3f} of fleet limits"
            return plain(f"peers: {record.standing}{silent}; holds {parts}", 240)
        case model.Told():
            return plain(f"reported by peers: {record.node} {record.what}", 240)
        case model.Zones():
            zones = ", ".join(describe_zone(*one) for one in record.zones)
            spilt = "".join(f"; {count} from {a} to {b}" for a, b, count, _ in record.spilt if count)
            return plain(f"zones by revision {record.revision}: {zones}{spilt}", 240)
        case model.Turn():
            return plain(f"trial of {record.node} for all gateways: {record.state}", 240)
        case model.Dropped():
            return plain(f"gap: {record.count} records dropped, {record.reason}", 240)
