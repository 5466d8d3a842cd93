"""The terminal console, a textual app: shows a fleet live, or at any time of its records.

Usage: `Console(following, live)`, then `run()` or `run_async()`. `history.py` computes the contents and
`text.py` formats them; this module computes nothing.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import ClassVar

from rich.text import Text
from textual import work
from textual.app import App, ComposeResult
from textual.binding import Binding, BindingType
from textual.containers import Vertical, VerticalScroll
from textual.screen import ModalScreen
from textual.widgets import DataTable, Footer, Input, Static

from damsonstream.console import text
from damsonstream.console.follow import RecordFollower
from damsonstream.console.history import S, View
from damsonstream.incident.describe import plain

REFRESH_SECONDS = 0.5  # interval at which new records are read
COLOURS = {
    "Open": "bold red",
    "Half-Open": "yellow",
    "leaving": "yellow",
    "left": "dim",
    "ended": "dim",
    "up": "green",
    "active": "",
}


def styled(cell: str) -> Text:
    """Colours a cell; the text alone carries the full meaning, for terminals without colour."""
    style = "bold red" if cell.startswith("stale") else COLOURS.get(cell, "")
    return Text(cell, style=style)


class Detail(ModalScreen[None]):
    """The details of one row."""

    BINDINGS: ClassVar[list[BindingType]] = [("escape", "dismiss", "back"), ("q", "dismiss", "back")]
    CSS = """
    Detail { align: center middle; }
    Detail > VerticalScroll { width: 92%; height: 84%; border: round $accent; padding: 0 1; }
    """

    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self.lines = lines

    def compose(self) -> ComposeResult:
        with VerticalScroll():
            yield Static(Text("\n".join(self.lines)))


class Rows(DataTable[Text], inherit_bindings=False):
    """A table without the key bindings that the console uses to step through time."""

    BINDINGS: ClassVar[list[BindingType]] = [
        Binding("enter", "select_cursor", "details", show=True),
        Binding("up", "cursor_up", show=False),
        Binding("down", "cursor_down", show=False),
        Binding("pageup", "page_up", show=False),
        Binding("pagedown", "page_down", show=False),
    ]


class Console(App[None]):
    """The app: tables of gateways, nodes, services, zones and peers, and the latest events."""

    TITLE = "damsonstream"
    CSS = """
    #title { height: 1; padding: 0 1; background: $primary; color: $text; text-style: bold; }
    #title.stale { background: $error; }
    DataTable { height: auto; max-height: 9; padding: 0 0; }
    #nodes { max-height: 8; }
    #events { height: 1fr; min-height: 3; padding: 0 1; border-top: solid $accent; }
    #filter { display: none; height: 3; }
    #filter.shown { display: block; }
    """
    BINDINGS: ClassVar[list[BindingType]] = [
        ("space", "pause", "pause"),
        Binding("left", "step(-1)", "-1 s", key_display="<-"),
        Binding("right", "step(1)", "+1 s", key_display="->"),
        Binding("comma", "step(-10)", "-10 s", show=False),
        Binding("full_stop", "step(10)", "+10 s", show=False),
        Binding("home", "edge(0)", "start"),
        Binding("end", "edge(1)", "end"),
        ("slash", "filter", "filter"),
        ("q", "quit", "quit"),
    ]

    def __init__(
        self, following: RecordFollower, live: bool, background: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        super().__init__()
        self.following, self.live, self.background = following, live, background
        self.paused = not live
        self.at = 0  # the displayed time while paused; 0: the end of the records
        self.filter_text = ""
        self.last_view: View | None = None

    def compose(self) -> ComposeResult:
        yield Static("", id="title", markup=False)
        with Vertical():
            for name, head in (
                ("gateways", text.GATEWAYS),
                ("nodes", text.NODES),
                ("services", text.SERVICES),
                ("zones", text.ZONES),
                ("peers", text.PEERS),
            ):
                table = Rows(id=name, cursor_type="row", zebra_stripes=False, cell_padding=1)
                table.add_columns(*head)
                yield table
            yield Input(
                placeholder="show only rows with this text: Enter to apply, Escape for all", id="filter"
            )
            yield Static("", id="events", markup=False)
        yield Footer(show_command_palette=False)

    def on_mount(self) -> None:
        self.set_interval(REFRESH_SECONDS, self.refresh_view)
        self.refresh_view()
        self.query_one("#gateways").focus()
        if self.background is not None:
            self.run_background()

    @work
    async def run_background(self) -> None:
        """Runs the background task and closes the console when it ends."""
        assert self.background is not None
        await self.background()
        self.exit()

    def refresh_view(self) -> None:
        """Reads new records and updates the screen."""
        self.following.poll()
        self.show()

    def now(self) -> int:
        """Returns the displayed fleet time."""
        start, end = self.following.history.span()
        if self.paused and self.at:
            return min(max(self.at, start), end)
        return end

    def show(self) -> None:
        """Updates the screen."""
        history = self.following.history
        start, _ = history.span()
        ages = self.following.seconds_since_growth() if self.live and not (self.paused and self.at) else None
        view = self.last_view = history.view(self.now(), ages)
        mode = "LIVE" if self.live and not self.paused else "PAUSED" if self.live else "RECORDED"
        title = self.query_one("#title", Static)
        title.update(text.title(view, start, mode))
        title.set_class(view.state == "stale", "stale")
        self.fill("gateways", [text.gateway(row) for row in view.gateways])
        nodes = sorted(view.nodes, key=lambda row: (row.worst_breaker == "Closed", row.failed_share == 0))
        self.fill("nodes", [text.node(row) for row in nodes])
        self.fill("services", [text.service(row) for row in view.services])
        self.fill("peers", [text.peers(row) for row in view.peers])
        self.query_one("#peers").display = bool(view.peers)
        self.fill("zones", [text.zone(row) for row in view.zones])
        self.query_one("#zones").display = bool(view.zones)
        shown = [text.event(at, one) for at, one in view.events if self.matches(one.text + one.gateway)]
        events = self.query_one("#events", Static)
        width = max(20, events.size.width - 1)
        latest = [one[:width] for one in shown[-max(3, events.size.height) :]]
        events.update(Text("\n".join(latest) or "no events", no_wrap=True))

    def matches(self, text: str) -> bool:
        """Returns whether a text passes the filter."""
        return self.filter_text.lower() in text.lower()

    def fill(self, name: str, rows: list[tuple[str, ...]]) -> None:
        """Updates only changed cells, so that the cursor doesn't jump and slow terminals don't flicker."""
        table = self.query_one(f"#{name}", Rows)
        rows = [row for row in rows if self.matches(" ".join(row))]
        keys = [row[0] for row in rows]
        if [key.value for key in table.rows] != keys:
            cursor = table.cursor_row
            table.clear()
            for key, row in zip(keys, rows, strict=True):
                table.add_row(*(styled(cell) for cell in row), key=key)
            table.move_cursor(row=min(cursor, len(rows) - 1) if rows else 0)
            return
        for index, row in enumerate(rows):
            for column, cell in enumerate(row):
                if str(table.get_cell_at((index, column))) != cell:  # type: ignore[arg-type]
                    table.update_cell_at((index, column), styled(cell), update_width=True)  # type: ignore[arg-type]

    def action_pause(self) -> None:
        self.paused = not self.paused if self.live else True
        self.at = self.now() if self.paused else 0
        self.show()

    def action_step(self, seconds: int) -> None:
        self.at, self.paused = self.now() + seconds * S, True
        self.at = self.now()
        self.show()

    def action_edge(self, end: int) -> None:
        self.paused = True
        self.at = self.following.history.span()[end]
        if end and self.live:
            self.paused, self.at = False, 0
        self.show()

    def action_filter(self) -> None:
        box = self.query_one("#filter", Input)
        box.add_class("shown")
        box.focus()

    def on_input_submitted(self, event: Input.Submitted) -> None:
        self.filter_text = event.value
        event.input.remove_class("shown")
        self.query_one("#gateways").focus()
        self.show()

    def on_key(self, event: object) -> None:
        if getattr(event, "key", "") == "escape" and self.query_one("#filter").has_class("shown"):
            box = self.query_one("#filter", Input)
            box.value = self.filter_text = ""
            box.remove_class("shown")
            self.query_one("#gateways").focus()
            self.show()

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        if self.last_view is not None and event.row_key.value is not None:
            self.push_screen(Detail(self.detail(event.data_table.id or "", event.row_key.value)))

    def detail(self, table: str, name: str) -> list[str]:
        """Returns the lines that describe one row of a table, with its latest events."""
        view = self.last_view
        assert view is not None
        lines = [f"{table[:-1]} {name}", ""]
        if table == "nodes":
            found = next((row for row in view.nodes if plain(row.name, 14) == name), None)
            if found is not None:
                lines += [
                    f"{found.role}, listed as {found.listed}, {text.number(found.rate)} forwards/s, "
                    f"{text.share(found.failed_share)} of them fail",
                    "",
                ]
                lines += [f"  breaker at {plain(g)}: {found.states.get(g, 'Closed')}" for g in
                          sorted(row.name for row in view.gateways)]  # fmt: skip
            events = [pair for pair in view.events if plain(pair[1].node, 14) == name]
        elif table == "gateways":
            row = next((row for row in view.gateways if plain(row.name, 14) == name), None)
            if row is not None:
                lines += [
                    f"boot {row.boot}, {row.state}, last record {row.age:.1f} s ago, "
                    f"{row.gaps} records missing",
                    "",
                ]
                lines += [
                    f"  {n.role} {plain(n.name)}: {n.states[row.name]}"
                    for n in view.nodes
                    if row.name in n.states
                ]
            events = [pair for pair in view.events if plain(pair[1].gateway, 14) == name]
        else:
            events = []
        return (
            [*lines, "", *(text.event(at, one) for at, one in events[-40:])]
            if events
            else [*lines, "", "no events"]
        )
