"""A trace format: what the columns of a published CSV file mean, as data.

How it is called: `load(name)` reads a shipped format or a KDL file of the user's own, `shipped()` names the
first; both raise `settings.kdl.Fault`. What each field means stands in docs/traces.md.
"""

from __future__ import annotations

from dataclasses import dataclass

from damsonstream.settings import kdl

# Nanoseconds in a unit. 100ns: what Windows counts in.
UNITS = {"s": 1_000_000_000, "ms": 1_000_000, "us": 1_000, "100ns": 100, "ns": 1}
ABSENT = (
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
)  # what publishers write for nothing
MOST_COLUMNS = 256


@dataclass(slots=True, frozen=True)
class Time:
    column: str
    unit: int  # nanoseconds
    minus: str = ""  # a column of the same unit that is taken off: a call's duration
    absent: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Size:
    column: str = ""
    unit: int = 1  # bytes
    absent: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Operation:
    column: str = ""
    read: tuple[str, ...] = ()
    write: tuple[str, ...] = ()
    drop: tuple[str, ...] = ()  # of no use as GETs; counted
    unknown: str = "skip"  # or read


@dataclass(slots=True, frozen=True)
class Format:
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

    def place(self, column: str) -> int:
        return self.columns.index(column)


def shipped() -> list[str]:
    return kdl.shipped("damsonstream.traces", "formats")


def load(name: str) -> Format:
    return parse(*kdl.find(name, "damsonstream.traces", "formats"))


def parse(name: str, top: kdl.Section) -> Format:
    about, source = top.text("about", name), top.text("source", "")
    csv = top.section("csv")
    if csv is None:
        raise top.fault("is missing", "csv")
    delimiter = csv.text("delimiter", ",")
    if len(delimiter) != 1 or not delimiter.isascii() or delimiter in '"\r\n\0':
        raise csv.fault(f"{delimiter!r} is not one character that can part fields", "delimiter")
    header, columns = csv.flag("header", False), csv.texts("columns")
    if not 2 <= len(columns) <= MOST_COLUMNS or len(set(columns)) != len(columns):
        raise csv.fault(f"names 2 to {MOST_COLUMNS} columns, each once", "columns")
    csv.finish()

    def column(section: kdl.Section, field: str, needed: bool = True) -> str:
        told = section.text(field)
        if (needed or told) and told not in columns:
            raise section.fault(f"{told or 'nothing'} is none of the columns", field)
        return told

    told = top.section("time")
    if told is None:
        raise top.fault("is missing", "time")
    unit = told.text("unit", "s")
    if unit not in UNITS:
        raise told.fault(f"{unit} is none of {', '.join(UNITS)}", "unit")
    time = Time(column(told, "column"), UNITS[unit], column(told, "minus", False), told.texts("absent"))
    told.finish()
    key = top.texts("key")
    if not key or any(one not in columns for one in key):
        raise top.fault("names one column or more", "key")
    size = Size()
    if (told := top.section("size")) is not None:
        size = Size(column(told, "column"), int(told.number("unit", 1, 1, 1 << 30)), told.texts("absent"))
        told.finish()
    operation = Operation()
    if (told := top.section("operation")) is not None:
        unknown = told.text("unknown", "skip")
        if unknown not in ("skip", "read"):
            raise told.fault("is skip or read", "unknown")
        read, write, drop = (told.texts(kind) for kind in ("read", "write", "drop"))
        every = [*read, *write, *drop]
        if len(set(every)) != len(every):
            raise told.fault("a word stands twice among read, write and drop")
        operation = Operation(column(told, "column"), read, write, drop, unknown)
        told.finish()
    client, tenant = column(top, "client", False), column(top, "tenant", False)
    read_service, write_service, groups = "pages", "unlock", 64
    if (told := top.section("gets")) is not None:
        read_service, write_service = told.text("read", read_service), told.text("write", write_service)
        groups = int(told.number("groups", groups, 1, 256))
        told.finish()
    top.finish()
    return Format(name, about, source, delimiter, header, columns, time, key, size, client, tenant, operation,
                  read_service, write_service, groups)  # fmt: skip
