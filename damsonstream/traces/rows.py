"""Parses complete lines of a trace into columns, with the line number of each row. No I/O.

Usage: `parse_lines(block, first, format)` takes complete, sanitized lines (`sanitizer.py`), of which the
first has the number `first`, and returns `Rows`. Lines are parsed with the CSV reader of pyarrow; a row with
too few or too many fields is parsed again with the `csv` module, and inserted at its position.
"""

from __future__ import annotations

import csv
from dataclasses import dataclass, field

import numpy as np
import pyarrow as pa
import pyarrow.csv as pacsv

from damsonstream.traces.format import Format

Ints = np.ndarray  # of int64


@dataclass(slots=True)
class Rows:
    """Parsed rows. `mended` are repaired rows, `skipped` also has lines that are not among the rows."""

    lines: Ints  # line numbers, ascending
    columns: dict[str, pa.Array]  # of strings, not validated as UTF-8
    mended: dict[str, list[int]] = field(default_factory=dict)  # rule: lines
    skipped: dict[str, list[int]] = field(default_factory=dict)  # reason: lines


def needed_columns(format: Format) -> list[str]:
    """Returns the columns that GETs are built from, in file order."""
    names = {format.time.column, format.time.minus, *format.key, format.size.column, format.client,
             format.tenant, format.operation.column}  # fmt: skip
    return [column for column in format.columns if column in names]


def find_bad_lines(block: bytes, first: int) -> tuple[list[int], list[int]]:
    """Returns the numbers of lines with a NUL byte, and of lines that are not valid UTF-8."""
    nul_lines: list[int] = []
    if b"\0" in block:
        array = np.frombuffer(block, np.uint8)
        ends = np.flatnonzero(array == 10)
        nul_lines = sorted({int(n) + first for n in np.searchsorted(ends, np.flatnonzero(array == 0))})
    not_utf8: list[int] = []
    if not block.isascii():
        try:
            block.decode()
        except UnicodeDecodeError:
            for index, line in enumerate(block.split(b"\n")):
                if not line.isascii():
                    try:
                        line.decode()
                    except UnicodeDecodeError:
                        not_utf8.append(index + first)
    return nul_lines, not_utf8


def parse_lines(block: bytes, first: int, format: Format) -> Rows:
    """Parses complete lines; `first` is the number of the first one."""
    nul_lines, not_utf8 = find_bad_lines(block, first)
    if not_utf8:  # replaced by valid UTF-8, because Arrow decodes invalid rows as text
        parts = block.split(b"\n")
        for line in not_utf8:
            parts[line - first] = parts[line - first].decode(errors="replace").encode()
        block = b"\n".join(parts)
    width = len(format.columns)
    irregular: list[tuple[int, str]] = []  # line, its text

    def invalid(row: pacsv.InvalidRow) -> str:
        irregular.append((row.number, row.text))
        return "skip"

    names, needed_names = list(format.columns), needed_columns(format)
    table = pacsv.read_csv(
        pa.py_buffer(block),
        pacsv.ReadOptions(use_threads=False, block_size=len(block) + 1, column_names=names),
        pacsv.ParseOptions(delimiter=format.delimiter, ignore_empty_lines=False, invalid_row_handler=invalid),
        pacsv.ConvertOptions(check_utf8=False, column_types={name: pa.string() for name in names},
                             include_columns=needed_names, strings_can_be_null=False),
    )  # fmt: skip
    columns = {name: table.column(name).combine_chunks() for name in needed_names}
    columns = {n: c if isinstance(c, pa.Array) else pa.array([], pa.string()) for n, c in columns.items()}
    count = block.count(b"\n")
    numbers = np.arange(first, first + count)
    removed = np.array([number - 1 for number, _ in irregular], np.int64)
    lines = np.delete(numbers, removed) if len(removed) else numbers
    rows = Rows(lines, columns)
    if block.startswith(b"\n") or b"\n\n" in block:  # Arrow parses an empty line as a row of empty fields
        ends = np.flatnonzero(np.frombuffer(block, np.uint8) == 10)
        rows.skipped["empty"] = (np.flatnonzero(np.diff(ends, prepend=-1) == 1) + first).tolist()
    if nul_lines:
        rows.skipped["nul-byte"] = nul_lines
    if not_utf8:
        rows.mended["bad-utf8"] = not_utf8
    if irregular:
        insert_irregular(rows, irregular, first, format, width, needed_names)
    return rows


def insert_irregular(
    rows: Rows,
    irregular: list[tuple[int, str]],
    first: int,
    format: Format,
    width: int,
    needed_names: list[str],
) -> None:
    """Inserts rows with too few or too many fields if they have all fields that are required."""
    min_fields = max(format.column_index(name) for name in (format.time.column, *format.key)) + 1
    kept: list[tuple[int, list[str]]] = []
    for number, text in irregular:
        line = number - 1 + first
        if not text.strip():
            rows.skipped.setdefault("empty", []).append(line)
            continue
        fields = next(csv.reader([text], delimiter=format.delimiter), [])
        if len(fields) < min_fields:
            rows.skipped.setdefault("missing-fields", []).append(line)
            continue
        rows.mended.setdefault("missing-fields" if len(fields) < width else "extra-fields", []).append(line)
        kept.append((line, [*fields, *[""] * (width - len(fields))][:width]))
    if not kept:
        return
    lines = np.concatenate((rows.lines, [line for line, _ in kept]))
    order = np.argsort(lines, kind="stable")
    rows.lines = lines[order]
    for name in needed_names:
        index = format.column_index(name)
        added = pa.array([fields[index] for _, fields in kept], pa.string())
        combined = pa.concat_arrays([rows.columns[name], added])
        rows.columns[name] = combined.take(pa.array(order))
