"""Bytes of a trace's file: plain, gzip or zstd, as far as they can be read.

How it is called: `blocks(path)` yields blocks of bytes; where an archive is cut off or spoilt, what came
before is yielded and the generator's `Fault` is put into the list that was given.
"""

from __future__ import annotations

import gzip
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import IO

import zstandard

BLOCK = (
    4 << 20
)  # bytes of plain text that are parsed at once: larger ones are no faster, and held several times over
GZIP, ZSTD = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"


def opened(path: Path) -> IO[bytes]:
    """By what the file begins with: names of published traces are not to be relied on."""
    stream = path.open("rb")
    head = stream.read(4)
    stream.seek(0)
    if head.startswith(GZIP):
        return gzip.GzipFile(fileobj=stream)  # type: ignore[return-value]
    if head == ZSTD:
        return zstandard.ZstdDecompressor(max_window_size=1 << 27).stream_reader(
            stream, read_across_frames=True, closefd=True
        )
    return stream


def blocks(path: Path, faults: list[str], size: int = BLOCK) -> Iterator[bytes]:
    with opened(path) as stream:
        while True:
            try:
                data = stream.read(size)
            except (EOFError, OSError, zlib.error, zstandard.ZstdError) as fault:
                faults.append(f"{path.name}: the archive is cut off or spoilt: {fault}")
                return
            if not data:
                return
            yield data
