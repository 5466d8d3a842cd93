"""Whole lines of a trace as columns, with the line number of each row. No I/O.

How it is called: `split(block, first, format)` takes whole, guarded lines (`guard.py`), of which the first
has the number `first`, and gives `Rows`. Parsed by Arrow's CSV reader (pyarrow): a row with fields missing or
to spare is parsed once more by itself, with the standard library's, and takes its place in the order of the
lines.
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
    lines: Ints  # line numbers, rising
    columns: dict[str, pa.Array]  # of strings, not checked for UTF-8
    mended: dict[str, list[int]] = field(default_factory=dict)  # rule: lines
    skipped: dict[str, list[int]] = field(default_factory=dict)  # reason: lines


def needed(format: Format) -> list[str]:
    """Columns that a GET is made of, in the file's order."""
    names = {format.time.column, format.time.minus, *format.key, format.size.column, format.client,
             format.tenant, format.operation.column}  # fmt: skip
    return [column for column in format.columns if column in names]


def spoilt(block: bytes, first: int) -> tuple[list[int], list[int]]:
    """Lines with a byte of zero, and lines that are not UTF-8."""
    zeros: list[int] = []
    if b"\0" in block:
        array = np.frombuffer(block, np.uint8)
        ends = np.flatnonzero(array == 10)
        zeros = sorted({int(n) + first for n in np.searchsorted(ends, np.flatnonzero(array == 0))})
    wrong: list[int] = []
    if not block.isascii():
        try:
            block.decode()
        except UnicodeDecodeError:
            for place, line in enumerate(block.split(b"\n")):
                if not line.isascii():
                    try:
                        line.decode()
                    except UnicodeDecodeError:
                        wrong.append(place + first)
    return zeros, wrong


def split(block: bytes, first: int, format: Format) -> Rows:
    zeros, wrong = spoilt(block, first)
    if wrong:  # what is no UTF-8 is read as if replaced: Arrow gives odd rows as text
        parts = block.split(b"\n")
        for line in wrong:
            parts[line - first] = parts[line - first].decode(errors="replace").encode()
        block = b"\n".join(parts)
    wide = len(format.columns)
    odd: list[tuple[int, str]] = []  # line, its text

    def invalid(row: pacsv.InvalidRow) -> str:
        odd.append((row.number, row.text))
        return "skip"

    names, wanted = list(format.columns), needed(format)
    table = pacsv.read_csv(
        pa.py_buffer(block),
        pacsv.ReadOptions(use_threads=False, block_size=len(block) + 1, column_names=names),
        pacsv.ParseOptions(delimiter=format.delimiter, ignore_empty_lines=False, invalid_row_handler=invalid),
        pacsv.ConvertOptions(check_utf8=False, column_types={name: pa.string() for name in names},
                             include_columns=wanted, strings_can_be_null=False),
    )  # fmt: skip
    columns = {name: table.column(name).combine_chunks() for name in wanted}
    columns = {n: c if isinstance(c, pa.Array) else pa.array([], pa.string()) for n, c in columns.items()}
    count = block.count(b"\n")
    numbers = np.arange(first, first + count)
    taken_out = np.array([number - 1 for number, _ in odd], np.int64)
    lines = np.delete(numbers, taken_out) if len(taken_out) else numbers
    rows = Rows(lines, columns)
    if block.startswith(b"\n") or b"\n\n" in block:  # Arrow gives an empty line as a row of empty fields
        ends = np.flatnonzero(np.frombuffer(block, np.uint8) == 10)
        rows.skipped["empty"] = (np.flatnonzero(np.diff(ends, prepend=-1) == 1) + first).tolist()
    if zeros:
        rows.skipped["nul-byte"] = zeros
    if wrong:
        rows.mended["bad-utf8"] = wrong
    if odd:
        put_back(rows, odd, first, format, wide, wanted)
    return rows


def put_back(
    rows: Rows, odd: list[tuple[int, str]], first: int, format: Format, wide: int, wanted: list[str]
) -> None:
    """Rows with too few or too many fields: what is needed may be there all the same."""
    least = max(format.place(name) for name in (format.time.column, *format.key)) + 1
    kept: list[tuple[int, list[str]]] = []
    for number, text in odd:
        line = number - 1 + first
        if not text.strip():
            rows.skipped.setdefault("empty", []).append(line)
            continue
        fields = next(csv.reader([text], delimiter=format.delimiter), [])
        if len(fields) < least:
            rows.skipped.setdefault("missing-fields", []).append(line)
            continue
        rows.mended.setdefault("missing-fields" if len(fields) < wide else "extra-fields", []).append(line)
        kept.append((line, [*fields, *[""] * (wide - len(fields))][:wide]))
    if not kept:
        return
    lines = np.concatenate((rows.lines, [line for line, _ in kept]))
    order = np.argsort(lines, kind="stable")
    rows.lines = lines[order]
    for name in wanted:
        place = format.place(name)
        more = pa.array([fields[place] for _, fields in kept], pa.string())
        whole = pa.concat_arrays([rows.columns[name], more])
        rows.columns[name] = whole.take(pa.array(order))
