"""Formats a view as plain text lines for 80 columns, without colour, as `--once` prints it. No I/O.

Usage: `lines(view, start, columns)`. The app uses the functions for single rows (`gateway`, `node`, ...) in
its own tables, so that both show the same.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime

from damsonstream.console.history import Event, GatewayRow, NodeRow, PeersRow, ServiceRow, View, ZoneRow
from damsonstream.incident.describe import plain

S = 10_000  # ticks of 0.1 ms per second
GATEWAYS = ("gateway", "boot", "state", "GET/s", "in time", "shed/s", "err/s", "open", "CPU", "MB", "gaps")
NODES = ("node", "role", "listed", "breaker", "GET/s", "bad", "at")
ZONES = ("zone", "believed", "flaps", "into/s", "limit/s", "out/s")
PEERS = ("peers of", "believes", "near", "all", "lent", "borrowed", "told", "heard", "silent")
SERVICES = ("delivery service", "GET/s", "in time", "late/s", "shed/s", "err/s")


def clock(at: int) -> str:
    """Formats a time of day in UTC."""
    return datetime.fromtimestamp(at / S, UTC).strftime("%H:%M:%S")


def share(value: float) -> str:
    """Formats a share as a percentage; a negative one is unknown."""
    return "-" if value < 0 else f"{100 * value:.0f}%"


def number(value: float) -> str:
    return f"{value:.0f}" if value >= 10 or not value else f"{value:.1f}"


def gateway(row: GatewayRow) -> tuple[str, ...]:
    """Returns the cells of a gateway; a stale one shows its age and no rates, which may be outdated."""
    state = f"stale {row.age:.0f}s" if row.state == "stale" else row.state
    if row.state != "up":
        return (plain(row.name, 14), str(row.boot or "-"), state, *["-"] * 7, str(row.gaps or ""))
    return (
        plain(row.name, 14),
        str(row.boot),
        state,
        number(row.rate),
        share(row.in_time),
        number(row.shed),
        number(row.errored),
        str(row.open),
        f"{100 * row.cpu:.0f}%",
        f"{row.rss:.0f}",
        str(row.gaps or ""),
    )


def node(row: NodeRow) -> tuple[str, ...]:
    """Returns the cells of a node; the last one lists the gateways whose breaker is in the worst state."""
    at = ",".join(
        plain(name, 8) for name, state in sorted(row.states.items()) if state == row.worst_breaker != "Closed"
    )
    return (
        plain(row.name, 14),
        row.role,
        row.listed,
        row.worst_breaker,
        number(row.rate),
        share(row.failed_share),
        at[:18],
    )


def service(row: ServiceRow) -> tuple[str, ...]:
    """Returns the cells of a delivery service."""
    return (
        row.name,
        number(row.rate),
        share(row.in_time),
        number(row.late),
        number(row.shed),
        number(row.errored),
    )


def peers(row: PeersRow) -> tuple[str, ...]:
    """Returns the cells of the peer exchange; silent peers are given by their index in the peer list."""
    parts = (f"{100 * part:.1f}%" for part in (row.location_share, row.fleet_share, row.lent, row.borrowed))
    silent = ",".join(map(str, row.silent[:6])) + ("..." if len(row.silent) > 6 else "")
    return (plain(row.name, 14), row.state, *parts, str(row.sent), str(row.received), silent)


def zone(row: ZoneRow) -> tuple[str, ...]:
    """Returns the cells of a zone: the state that most gateways see, then others with their gateways."""
    states = [
        state if n == 0 else f"{state}: {','.join(plain(name, 14) for name in names[:4])}"
        + ("..." if len(names) > 4 else "")
        for n, (state, names) in enumerate(row.states.items())
    ]  # fmt: skip
    limit = number(row.limit) if row.limit else "-"
    return (
        plain(row.name, 14),
        "; ".join(states),
        str(row.flaps),
        number(row.spill_in),
        limit,
        number(row.spill_out),
    )


def event(at: int, one: Event) -> str:
    """Formats an event as one line."""
    return f"{clock(at)} {plain(one.gateway, 10)} {plain(one.text, 200)}"


def table(head: Sequence[str], rows: Sequence[Sequence[str]], columns: int) -> list[str]:
    """Returns the lines of a table, cut to `columns` characters; numbers are aligned to the right."""
    widths = [max(len(cell) for cell in column) for column in zip(head, *rows, strict=True)]
    lines = []
    for index, row in enumerate((head, *rows)):
        cells = [
            c.ljust(w) if n == 0 or not numeric(head[n]) else c.rjust(w)
            for n, (c, w) in enumerate(zip(row, widths, strict=True))
        ]
        lines.append("  ".join(cells).rstrip()[:columns])
        if index == 0:
            lines.append("-" * min(columns, sum(widths) + 2 * len(widths) - 2))
    return lines


NUMERIC_COLUMNS = (
    "in time", "open", "CPU", "MB", "gaps", "boot", "bad", "late", "near", "all", "lent",
    "borrowed", "told", "heard", "flaps",
)  # fmt: skip


def numeric(name: str) -> bool:
    """Returns whether the column of this name holds numbers."""
    return name.endswith("/s") or name in NUMERIC_COLUMNS


def title(view: View, start: int, mode: str) -> str:
    """Returns the first line: time, mode and state of the fleet."""
    up = sum(row.state == "up" for row in view.gateways)
    rate = sum(row.rate for row in view.gateways if row.state == "up")
    return (
        f"{clock(view.at)} UTC (+{max(0, view.at - start) / S:.0f} s)  {mode}  fleet {view.state}  "
        f"{up} of {len(view.gateways)} gateways up  {number(rate)} GET/s"
    )


def lines(view: View, start: int, columns: int = 80, mode: str = "once", events: int = 8) -> list[str]:
    """Returns the whole view, with the latest `events` events."""
    output = [title(view, start, mode)[:columns], ""]
    output += [*table(GATEWAYS, [gateway(row) for row in view.gateways], columns), ""]
    nodes = sorted(view.nodes, key=lambda row: (row.worst_breaker == "Closed", row.failed_share == 0))[:16]
    output += [*table(NODES, [node(row) for row in nodes], columns), ""]
    if view.services:
        output += [*table(SERVICES, [service(row) for row in view.services], columns), ""]
    if view.zones:
        output += [*table(ZONES, [zone(row) for row in view.zones], columns), ""]
    if view.peers:
        output += [*table(PEERS, [peers(row) for row in view.peers], columns), ""]
    output += [event(at, one)[:columns] for at, one in view.events[-events:]] or ["no events"]
    return output
