"""Bytes of a trace's file: plain, gzip or zstd, as far as they can be read.

How it is called: `blocks(path, faults)` yields blocks of bytes; where an archive is cut off or spoilt, what
came before is yielded, and a sentence is put into `faults`. What a file is, its first bytes tell: names of
published traces are not to be relied on.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import IO, Protocol

import zstandard

BLOCK = (
    4 << 20
)  # bytes of plain text that are parsed at once: larger ones are no faster, and held several times over
PACKED = (
    1 << 16
)  # bytes of an archive at once: what it unfolds to is bounded by its method, a thousand times as much
GZIP, ZSTD = b"\x1f\x8b", b"\x28\xb5\x2f\xfd"


class Unpacker(Protocol):
    @property
    def eof(self) -> bool: ...
    @property
    def unused_data(self) -> bytes: ...
    def decompress(self, data: bytes, /) -> bytes: ...


def unpacker(head: bytes) -> Unpacker | None:
    if head.startswith(GZIP):
        return zlib.decompressobj(31)
    if head == ZSTD:
        return zstandard.ZstdDecompressor(max_window_size=1 << 27).decompressobj()
    return None


def unpacked(stream: IO[bytes], head: bytes, name: str, faults: list[str]) -> Iterator[bytes]:
    """Members or frames one after the other, as far as they hold."""
    one = unpacker(head)
    assert one is not None
    begun = False
    try:
        while data := stream.read(PACKED):
            while data:
                if one.eof:
                    head = data[:4]
                    one = unpacker(head)
                    if one is None:
                        faults.append(f"{name}: bytes behind the archive's end are left out")
                        return
                begun = True
                yield one.decompress(data)
                data = one.unused_data if one.eof else b""
    except (zlib.error, zstandard.ZstdError, OSError) as fault:
        faults.append(f"{name}: the archive is spoilt: {fault}")
        return
    if begun and not one.eof:
        faults.append(f"{name}: the archive is cut off")


def blocks(path: Path, faults: list[str], size: int = BLOCK) -> Iterator[bytes]:
    with path.open("rb") as stream:
        head = stream.read(4)
        stream.seek(0)
        if unpacker(head) is None:
            while data := stream.read(size):
                yield data
            return
        held: list[bytes] = []
        count = 0
        for part in unpacked(stream, head, path.name, faults):
            held.append(part)
            count += len(part)
            if count >= size:
                whole, held, count = b"".join(held), [], 0
                for at in range(0, len(whole), size):
                    yield whole[at : at + size]
        if count:
            yield b"".join(held)
