"""Reads the bytes of a trace file, which may be plain, gzip or zstd, as far as they are readable.

Usage: `blocks(path, faults)` yields blocks of bytes. If an archive is truncated or corrupt, the data before
that point is yielded and a message is appended to `faults`. The compression is detected from the first bytes
of the file, because the file names of published traces are unreliable.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import IO, Protocol

import zstandard

# Bytes of plain text that are parsed at once. Larger blocks are no faster, and several are held in memory.
BLOCK_SIZE = 4 << 20
# Compressed bytes that are read at once. They can expand about a thousandfold, which bounds the memory.
PACKED_READ_SIZE = 1 << 16
GZIP, ZSTD = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"


class Decompressor(Protocol):
    """The common interface of zlib and zstandard decompressors."""

    @property
    def eof(self) -> bool: ...
    @property
    def unused_data(self) -> bytes: ...
    def decompress(self, data: bytes, /) -> bytes: ...


def make_decompressor(head: bytes) -> Decompressor | None:
    """Returns a decompressor for a file that begins with `head`, or None for plain text."""
    if head.startswith(GZIP):
        return zlib.decompressobj(31)
    if head == ZSTD:
        return zstandard.ZstdDecompressor(max_window_size=1 << 27).decompressobj()
    return None


def decompressed(stream: IO[bytes], head: bytes, name: str, faults: list[str]) -> Iterator[bytes]:
    """Yields the contents of all gzip members or zstd frames, up to the first error."""
    decompressor = make_decompressor(head)
    assert decompressor is not None
    started = False
    try:
        while data := stream.read(PACKED_READ_SIZE):
            while data:
                if decompressor.eof:
                    head = data[:4]
                    decompressor = make_decompressor(head)
                    if decompressor is None:
                        faults.append(f"{name}: bytes behind the archive's end are left out")
                        return
                started = True
                yield decompressor.decompress(data)
                data = decompressor.unused_data if decompressor.eof else b""
    except (zlib.error, zstandard.ZstdError, OSError) as fault:
        faults.append(f"{name}: the archive is spoilt: {fault}")
        return
    if started and not decompressor.eof:
        faults.append(f"{name}: the archive is cut off")


def blocks(path: Path, faults: list[str], size: int = BLOCK_SIZE) -> Iterator[bytes]:
    """Yields the plain bytes of a file in blocks of at most `size`."""
    with path.open("rb") as stream:
        head = stream.read(4)
        stream.seek(0)
        if make_decompressor(head) is None:
            while data := stream.read(size):
                yield data
            return
        parts: list[bytes] = []
        count = 0
        for part in decompressed(stream, head, path.name, faults):
            parts.append(part)
            count += len(part)
            if count >= size:
                data, parts, count = b"".join(parts), [], 0
                for at in range(0, len(data), size):
                    yield data[at : at + size]
        if count:
            yield b"".join(parts)
