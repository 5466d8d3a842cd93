"""Trace formats: data that describes the columns of a published CSV file.

Usage: `load(name)` reads a shipped format or a KDL file of the user, `shipped()` lists the names of the
shipped ones; both raise `settings.kdl.KdlError`. docs/traces.md explains each field.
"""

from __future__ import annotations

from dataclasses import dataclass

from damsonstream.settings import kdl

# Nanoseconds in each unit. Windows timestamps count in units of 100 ns.
UNITS = {"s": 1_000_000_000, "ms": 1_000_000, "us": 1_000, "100ns": 100, "ns": 1}
NULL_MARKERS = (
    "",
    "-",
    "NULL",
    "null",
    "NA",
    "N/A",
    "nan",
    "NaN",
    "None",
    "\\N",
)  # what publishers write for an absent value
MAX_COLUMNS = 256


@dataclass(slots=True, frozen=True)
class Time:
    """The column with the time of a row."""

    column: str
    unit: int  # nanoseconds
    minus: str = ""  # a column in the same unit to subtract, for example the duration of a call
    absent: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Size:
    """The column with the size of an object."""

    column: str = ""
    unit: int = 1  # bytes
    absent: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Operation:
    """The column with the operation of a row, and how its values map to reads and writes."""

    column: str = ""
    read: tuple[str, ...] = ()
    write: tuple[str, ...] = ()
    drop: tuple[str, ...] = ()  # rows that have no equivalent as a GET; skipped and counted
    unknown: str = "skip"  # rows with any other value: "skip" or "read"


@dataclass(slots=True, frozen=True)
class Format:
    """One trace format. The fields have the names of the KDL keys where these exist."""

    name: str
    about: str
    source: str
    delimiter: str
    header: bool
    columns: tuple[str, ...]
    time: Time
    key: tuple[str, ...]
    size: Size
    client: str
    tenant: str
    operation: Operation
    read_service: str = "pages"
    write_service: str = "unlock"
    groups: int = 64

    def column_index(self, column: str) -> int:
        return self.columns.index(column)


def shipped() -> list[str]:
    """Returns the names of the formats in the package."""
    return kdl.shipped("damsonstream.traces", "formats")


def load(name: str) -> Format:
    """Returns the shipped format of that name, or the format in the KDL file at that path."""
    return parse(*kdl.find(name, "damsonstream.traces", "formats"))


def parse(name: str, top: kdl.Section) -> Format:
    """Builds a format from a parsed KDL file.

    Raises `settings.kdl.KdlError` for invalid or missing fields.
    """
    about, source = top.text("about", name), top.text("source", "")
    csv = top.section("csv")
    if csv is None:
        raise top.error("is missing", "csv")
    delimiter = csv.text("delimiter", ",")
    if len(delimiter) != 1 or not delimiter.isascii() or delimiter in '"\r\n\0':
        raise csv.error(f"{delimiter!r} is not a single character that can separate fields", "delimiter")
    header, columns = csv.flag("header", False), csv.texts("columns")
    if not 2 <= len(columns) <= MAX_COLUMNS or len(set(columns)) != len(columns):
        raise csv.error(f"must name 2 to {MAX_COLUMNS} columns, each once", "columns")
    csv.finish()

    def column(section: kdl.Section, field: str, needed: bool = True) -> str:
        name = section.text(field)
        if (needed or name) and name not in columns:
            raise section.error(f"{name or 'nothing'} is not one of the columns", field)
        return name

    section = top.section("time")
    if section is None:
        raise top.error("is missing", "time")
    unit = section.text("unit", "s")
    if unit not in UNITS:
        raise section.error(f"{unit} is not one of {', '.join(UNITS)}", "unit")
    time = Time(
        column(section, "column"), UNITS[unit], column(section, "minus", False), section.texts("absent")
    )
    section.finish()
    key = top.texts("key")
    if not key or any(one not in columns for one in key):
        raise top.error("must name one or more columns", "key")
    size = Size()
    if (section := top.section("size")) is not None:
        size = Size(
            column(section, "column"), int(section.number("unit", 1, 1, 1 << 30)), section.texts("absent")
        )
        section.finish()
    operation = Operation()
    if (section := top.section("operation")) is not None:
        unknown = section.text("unknown", "skip")
        if unknown not in ("skip", "read"):
            raise section.error("must be skip or read", "unknown")
        read, write, drop = (section.texts(kind) for kind in ("read", "write", "drop"))
        words = [*read, *write, *drop]
        if len(set(words)) != len(words):
            raise section.error("a word appears twice among read, write and drop")
        operation = Operation(column(section, "column"), read, write, drop, unknown)
        section.finish()
    client, tenant = column(top, "client", False), column(top, "tenant", False)
    read_service, write_service, groups = "pages", "unlock", 64
    if (section := top.section("gets")) is not None:
        read_service, write_service = section.text("read", read_service), section.text("write", write_service)
        groups = int(section.number("groups", groups, 1, 256))
        section.finish()
    top.finish()
    return Format(name, about, source, delimiter, header, columns, time, key, size, client, tenant, operation,
                  read_service, write_service, groups)  # fmt: skip
