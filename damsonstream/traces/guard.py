"""Makes the bytes of any file safe for a CSV parser: one line in, one line out. No I/O.

How it is called: `Guard(delimiter).feed(block)` returns whole lines; `end()` the last one. What can't be
given to a parser is given as an empty line instead, and its number and reason stand in `bad`, so that line
numbers always hold.

Guards against what a file made to harm, or cut off, brings: a line without end, a quote that opens and never
closes (a parser would read on to the end of the file), carriage returns inside lines, bytes of zero.
"""

from __future__ import annotations

import numpy as np

MOST_LINE = 64 << 10  # bytes: the longest published rows are some KB; a longer one is no row
NEWLINE, RETURN, QUOTE = 10, 13, 34


class Guard:
    def __init__(self, most: int = MOST_LINE) -> None:
        self.most = most
        self.rest = b""  # less than one line; bounded by `most`
        self.skipping = False  # in the middle of a line that is too long
        self.line = 0  # of the last line that was returned, from 1
        self.bad: list[tuple[int, str, bytes]] = []  # line, reason, how it begins; taken by the caller
        self.cut = False  # whether the file ended without an end of line

    def feed(self, block: bytes) -> bytes:
        data = self.rest + block
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
            if data.endswith(b"\r"):  # its newline may come with the next block
                self.rest, data = b"\r", data[:-1]
                held = b"\r"
            else:
                held = b""
            data = data.replace(b"\r", b" ")
        else:
            held = b""
        end = data.rfind(b"\n") + 1
        whole, self.rest = data[:end], data[end:] + held
        if self.skipping:
            if not whole:
                self.rest = held
                return b""
            cut = whole.find(b"\n")
            whole, self.skipping = whole[cut:], False  # its empty line was begun when it was given up
        if len(self.rest) > self.most:
            self.give_up(whole.count(b"\n") + 1, self.rest)
            self.rest = held
            self.skipping = True
        return self.lines(whole)

    def end(self) -> bytes:
        """What is left at the end of the file."""
        rest, self.rest = self.rest.rstrip(b"\r"), b""
        if self.skipping:
            self.skipping = False
            return self.lines(b"\n")
        if not rest:
            return b""
        self.cut = True
        return self.lines(rest + b"\n")

    def give_up(self, ahead: int, line: bytes, reason: str = "too-long") -> None:
        self.bad.append((self.line + ahead, reason, line[:80]))

    def lines(self, whole: bytes) -> bytes:
        if not whole:
            return b""
        array = np.frombuffer(whole, np.uint8)
        ends = np.flatnonzero(array == NEWLINE)
        starts = np.concatenate(([0], ends[:-1] + 1))
        wrong = np.zeros(len(ends), bool)
        long = ends - starts > self.most
        odd = np.zeros(len(ends), bool)
        if b'"' in whole:
            quotes = np.flatnonzero(array == QUOTE)
            odd = np.bincount(np.searchsorted(ends, quotes), minlength=len(ends)) % 2 == 1
        wrong = long | odd
        if wrong.any():
            kept, at = [], 0
            for place in np.flatnonzero(wrong):
                start, end = int(starts[place]), int(ends[place])
                reason = "too-long" if long[place] else "open-quote"
                self.give_up(int(place) + 1, whole[start:end], reason)
                kept.append(whole[at:start])
                at = end
            kept.append(whole[at:])
            whole = b"".join(kept)
        self.line += len(ends)
        return whole
