"""Records in words, fit for a terminal and a page whatever they hold. No I/O.

How it is called: `words(record)` says what a record tells, `plain(text)` makes any text harmless: names come
from the network, and may hold control bytes, terminal escapes or a page's own marks (which the page escapes
itself).
"""

from __future__ import annotations

from damsonstream.records import model

MOST = 80  # characters of a name that are shown


def plain(text: object, most: int = MOST) -> str:
    """Printable, and no longer than `most`."""
    told = str(text)
    shown = "".join(c if c.isprintable() else f"\\x{ord(c):02x}" for c in told[:most])
    return shown + "..." * (len(told) > most)


NOTES = ("", "hit", "filled", "filled by way of the origin", "joined a fill", "stale", "source refused",
         "source broke", "source lacks it", "no slot", "origin failed")  # fmt: skip


def words(record: model.AnyRecord) -> str:
    """A step of a GET's story, in words."""
    match record:
        case model.Taken():
            again = ", marked as a further try" if record.repeated else ""
            return (
                f"taken, object {record.thing}, group {record.group}, {record.left / 10:.0f} ms left{again}"
            )
        case model.Sent():
            source = "" if record.source == record.cache else f", to be filled from {record.source}"
            copies = ", which gives only what it holds" if record.copies else ""
            age = f", copy {record.age / 10:.0f} ms old at most" if record.age else ""
            return f"forward {record.attempt} to {record.cache}{source}{copies}{age}"
        case model.Came():
            note = f" ({NOTES[record.note]})" if 0 < record.note < len(NOTES) else ""
            first = f", first byte after {record.first_byte / 10:.0f} ms" if record.first_byte else ""
            return f"forward {record.attempt} {record.result}{note} after {record.took / 10:.0f} ms{first}"
        case model.Answered():
            back = f", to come back after {record.come_back} ms" if record.come_back else ""
            what = f", {record.size} bytes of forward {record.attempt}"
            size = what if record.outcome == "returned" else ""
            return f"final answer: {record.outcome}{size}{back}"
        case model.Left():
            return "the client left"
    return type(record).__name__.lower()


def zone_words(zone: str, state: str, progress: int, flaps: int) -> str:
    """A zone as one gateway believes it: how far it is back, and how often it was lost again."""
    back = f" {progress}/20" if state == "Returning" else ""
    return f"{zone} {state}{back}" + (f" (lost again {flaps} times)" if flaps else "")


def line(record: model.AnyRecord) -> str:
    """Any record in one line, names made harmless."""
    match record:
        case model.Taken() | model.Sent() | model.Came() | model.Answered() | model.Left():
            return plain(f"GET {record.get}: {words(record)}", 240)
        case model.Turned():
            return plain(f"GET {record.ident}: {record.outcome} as it came, {record.reason}", 240)
        case model.Breaker():
            judged = ""
            if record.state == "Open":
                judged = (
                    f" ({record.run} bad in a row, {record.failures:g} of {record.count:g} in the window)"
                )
            return plain(f"breaker of {record.role} {record.node}: {record.state}{judged}", 240)
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
            return plain(f"configuration read again, {record.outcome}: {record.what}", 240)
        case model.Pulse():
            return f"{record.open} GETs open, {record.cpu / 1000:.1f} s of CPU, {record.rss // 1024} MB"
        case model.Peers():
            silent = f", silent: {', '.join(map(str, record.silent[:12]))}" if record.silent else ""
            parts = f"{record.near / 1e6:.3f} of its location's caps, {record.far / 1e6:.3f} of all"
            return plain(f"peers: {record.standing}{silent}; holds {parts}", 240)
        case model.Told():
            return plain(f"told by peers: {record.node} {record.what}", 240)
        case model.Zones():
            told = ", ".join(zone_words(*one) for one in record.zones)
            spilt = "".join(f"; {count} from {a} to {b}" for a, b, count, _ in record.spilt if count)
            return plain(f"zones by revision {record.revision}: {told}{spilt}", 240)
        case model.Turn():
            return plain(f"trial of {record.node} for all: {record.state}", 240)
        case model.Dropped():
            return plain(f"gap: {record.count} records dropped, {record.reason}", 240)
