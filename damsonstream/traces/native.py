"""The compact form of a trace: Parquet with checksums on its pages, ordered by time, indexed by row groups.

How it is called: `Writing(path, about).add(gets)` and `close()`; `Native(path)` tells `about` and `rows`, and
yields `batches(start, end)`, of which only the row groups in that time are read. A file is whole or not
there: it is written beside its place and moved there at the end. A flipped byte is found by the page's
checksum, a cut file by its missing end: both raise `Spoilt`.
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

GROUP = 1 << 16  # GETs in a row group: what is read to find one place
KEY = b"damsonstream.trace"
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


class Spoilt(Exception):
    """The file is no trace, or its bytes are not those that were written."""


class Writing:
    def __init__(self, path: Path, about: dict[str, Any]) -> None:
        self.path, self.beside = path, path.with_name(f".{path.name}.{os.getpid()}")
        self.about = about
        self.waiting: list[np.ndarray] = []
        self.held = self.rows = 0
        # times and clients repeat or rise slowly; hashes do not: a dictionary serves objects that are wanted
        # often
        self.writer = pq.ParquetWriter(
            self.beside,
            SCHEMA,
            compression="zstd",
            write_page_checksum=True,
            use_dictionary=["object", "client", "tenant", "group", "kind", "flags"],
            column_encoding={"time": "DELTA_BINARY_PACKED"},
        )

    def add(self, gets: np.ndarray) -> None:
        self.waiting.append(gets)
        self.held += len(gets)
        if self.held >= GROUP:
            whole = np.concatenate(self.waiting)
            full = len(whole) // GROUP * GROUP
            for at in range(0, full, GROUP):
                self.put(whole[at : at + GROUP])
            self.waiting, self.held = [whole[full:]], len(whole) - full

    def put(self, gets: np.ndarray) -> None:
        if len(gets):
            arrays = [pa.array(np.ascontiguousarray(gets[name])) for name in SCHEMA.names]
            self.writer.write_table(pa.Table.from_arrays(arrays, schema=SCHEMA), row_group_size=GROUP)
            self.rows += len(gets)

    def close(self, **more: Any) -> None:
        if self.waiting:
            self.put(np.concatenate(self.waiting))
        told = json.dumps({**self.about, **more, "form": 1, "rows": self.rows})
        self.writer.add_key_value_metadata({KEY: told.encode()})
        self.writer.close()
        with self.beside.open("rb") as stream:
            os.fsync(stream.fileno())
        os.replace(self.beside, self.path)

    def drop(self) -> None:
        self.writer.close()
        self.beside.unlink(missing_ok=True)


class Native:
    def __init__(self, path: Path) -> None:
        try:
            self.file = pq.ParquetFile(path, page_checksum_verification=True)
            metadata = self.file.metadata.metadata or {}
            self.about: dict[str, Any] = json.loads(metadata[KEY])
        except (pa.ArrowException, OSError, KeyError, ValueError) as fault:
            raise Spoilt(f"{path.name} is no trace of ours, or cut off: {fault}") from fault
        if self.file.schema_arrow != SCHEMA or self.file.metadata.num_rows != self.about.get("rows"):
            raise Spoilt(f"{path.name} has other columns or rows than it tells")
        self.rows = int(self.file.metadata.num_rows)

    def spans(self) -> list[tuple[int, int, int]]:
        """Rows, first and last time of each row group."""
        found = []
        for place in range(self.file.metadata.num_row_groups):
            group = self.file.metadata.row_group(place)
            told = group.column(0).statistics
            found.append((group.num_rows, told.min, told.max))
        return found

    def batches(
        self, start: int | None = None, end: int | None = None, skip: int = 0
    ) -> Iterator[np.ndarray]:
        """GETs from `start` up to, without, `end` (microseconds), without the first `skip` rows of the
        file."""
        at = 0
        for place, (rows, first, last) in enumerate(self.spans()):
            at += rows
            if at <= skip or (start is not None and last < start):
                continue
            if end is not None and first >= end:
                return
            gets = self.group(place)
            if skip > at - rows:
                gets = gets[skip - (at - rows) :]
            if start is not None and first < start:
                gets = gets[gets["time"] >= start]
            if end is not None and last >= end:
                gets = gets[gets["time"] < end]
            yield gets

    def group(self, place: int) -> np.ndarray:
        try:
            table = self.file.read_row_group(place)
        except (pa.ArrowException, OSError) as fault:
            raise Spoilt(f"row group {place} is spoilt: {fault}") from fault
        gets = np.zeros(table.num_rows, GET)
        for name in SCHEMA.names:
            gets[name] = table.column(name).to_numpy()
        return gets
