"""The native file format of traces: Parquet with page checksums, ordered by time, indexed by row groups.

Usage: to write, `TraceWriter(path, about)`, `add(gets)` for each batch, then `close()`. To read,
`NativeTrace(path)` has `about` and `rows`, and `batches(start, end)` reads only the row groups in that time
range. Files are written atomically: to a temporary name in the same directory, renamed at the end. Page
checksums detect flipped bytes, and the missing footer a truncated file: both raise `CorruptTrace`.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import numpy as np
import pyarrow as pa
import pyarrow.parquet as pq

from damsonstream.traces.gets import GET

ROW_GROUP = 1 << 16  # GETs in a row group, the smallest part that can be read
METADATA_KEY = b"damsonstream.trace"
SCHEMA = pa.schema(
    [
        ("time", pa.int64()),
        ("object", pa.uint64()),
        ("client", pa.uint64()),
        ("size", pa.int64()),
        ("tenant", pa.uint32()),
        ("group", pa.uint16()),
        ("kind", pa.uint8()),
        ("flags", pa.uint8()),
    ]
)


class CorruptTrace(Exception):
    """The file is not a native trace, or its bytes have changed since it was written."""


class TraceWriter:
    """Writes a native trace, which appears at its path only when it is complete."""

    def __init__(self, path: Path, about: dict[str, Any]) -> None:
        self.path, self.temp_path = path, path.with_name(f".{path.name}.{os.getpid()}")
        self.about = about
        self.pending: list[np.ndarray] = []
        self.pending_rows = self.rows = 0
        # Times rise slowly, which suits delta encoding. Hashes do not, but a dictionary is compact for the
        # objects and clients that occur often.
        self.writer = pq.ParquetWriter(
            self.temp_path,
            SCHEMA,
            compression="zstd",
            write_page_checksum=True,
            use_dictionary=["object", "client", "tenant", "group", "kind", "flags"],
            column_encoding={"time": "DELTA_BINARY_PACKED"},
        )

    def add(self, gets: np.ndarray) -> None:
        """Appends GETs, which must be in time order."""
        self.pending.append(gets)
        self.pending_rows += len(gets)
        if self.pending_rows >= ROW_GROUP:
            combined = np.concatenate(self.pending)
            full = len(combined) // ROW_GROUP * ROW_GROUP
            for at in range(0, full, ROW_GROUP):
                self.write_group(combined[at : at + ROW_GROUP])
            self.pending, self.pending_rows = [combined[full:]], len(combined) - full

    def write_group(self, gets: np.ndarray) -> None:
        if len(gets):
            arrays = [pa.array(np.ascontiguousarray(gets[name])) for name in SCHEMA.names]
            self.writer.write_table(pa.Table.from_arrays(arrays, schema=SCHEMA), row_group_size=ROW_GROUP)
            self.rows += len(gets)

    def close(self, **more: Any) -> None:
        """Writes the rest and the metadata (`about` and `more`), and moves the file to its path."""
        if self.pending:
            self.write_group(np.concatenate(self.pending))
        metadata = json.dumps({**self.about, **more, "form": 1, "rows": self.rows})
        self.writer.add_key_value_metadata({METADATA_KEY: metadata.encode()})
        self.writer.close()
        with self.temp_path.open("rb") as stream:
            os.fsync(stream.fileno())
        os.replace(self.temp_path, self.path)

    def discard(self) -> None:
        """Abandons the file."""
        self.writer.close()
        self.temp_path.unlink(missing_ok=True)


class NativeTrace:
    """Reads a native trace. Raises `CorruptTrace`."""

    def __init__(self, path: Path) -> None:
        try:
            self.file = pq.ParquetFile(path, page_checksum_verification=True)
            metadata = self.file.metadata.metadata or {}
            self.about: dict[str, Any] = json.loads(metadata[METADATA_KEY])
        except (pa.ArrowException, OSError, KeyError, ValueError) as fault:
            raise CorruptTrace(f"{path.name} is not a native trace, or is truncated: {fault}") from fault
        if self.file.schema_arrow != SCHEMA or self.file.metadata.num_rows != self.about.get("rows"):
            raise CorruptTrace(f"{path.name} has other columns or another number of rows than stated")
        self.rows = int(self.file.metadata.num_rows)

    def row_group_spans(self) -> list[tuple[int, int, int]]:
        """Returns the number of rows, first time and last time of each row group."""
        spans = []
        for index in range(self.file.metadata.num_row_groups):
            group = self.file.metadata.row_group(index)
            statistics = group.column(0).statistics
            spans.append((group.num_rows, statistics.min, statistics.max))
        return spans

    def batches(
        self, start: int | None = None, end: int | None = None, skip: int = 0
    ) -> Iterator[np.ndarray]:
        """Yields the GETs with `start` <= time < `end` (microseconds), without the first `skip` rows of the
        file."""
        rows_end = 0
        for index, (rows, first, last) in enumerate(self.row_group_spans()):
            rows_end += rows
            if rows_end <= skip or (start is not None and last < start):
                continue
            if end is not None and first >= end:
                return
            gets = self.read_row_group(index)
            if skip > rows_end - rows:
                gets = gets[skip - (rows_end - rows) :]
            if start is not None and first < start:
                gets = gets[gets["time"] >= start]
            if end is not None and last >= end:
                gets = gets[gets["time"] < end]
            yield gets

    def read_row_group(self, index: int) -> np.ndarray:
        try:
            table = self.file.read_row_group(index)
        except (pa.ArrowException, OSError) as fault:
            raise CorruptTrace(f"row group {index} is corrupt: {fault}") from fault
        gets = np.zeros(table.num_rows, GET)
        for name in SCHEMA.names:
            gets[name] = table.column(name).to_numpy()
        return gets
