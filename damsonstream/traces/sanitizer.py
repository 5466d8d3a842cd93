"""Makes the bytes of any file safe for a CSV parser, with one line of output for each line of input. No I/O.

Usage: `LineSanitizer().feed(block)` returns complete lines, `finish()` the last one. A line that is unsafe
for a parser is replaced by an empty line, so that line numbers stay correct; its number and the reason are
appended to `rejected`.

Protects against malicious and truncated files: lines of unbounded length, an opening quote without a closing
one (a parser would read on to the end of the file) and carriage returns inside lines. NUL bytes are found
later, in rows.py.
"""

from __future__ import annotations

import numpy as np

MAX_LINE = 64 << 10  # bytes; rows of published traces have a few KB at most, longer lines are rejected
NEWLINE, CARRIAGE_RETURN, QUOTE = 10, 13, 34


class LineSanitizer:
    """Splits a stream of bytes into complete lines and blanks out unsafe ones."""

    def __init__(self, max_line: int = MAX_LINE) -> None:
        self.max_line = max_line
        self.partial_line = b""  # the start of an incomplete line; bounded by `max_line`
        self.in_long_line = False  # inside a line that is too long, of which the rest is dropped
        self.last_line = 0  # number of the last line that was returned, from 1
        # (line, reason, start of the line); the caller removes them
        self.rejected: list[tuple[int, str, bytes]] = []
        self.unterminated = False  # whether the file ended without a newline

    def feed(self, block: bytes) -> bytes:
        """Returns the complete lines that `block` ends, sanitized."""
        data = self.partial_line + block
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
            if data.endswith(b"\r"):  # its newline may be the first byte of the next block
                self.partial_line, data = b"\r", data[:-1]
                trailing_cr = b"\r"
            else:
                trailing_cr = b""
            data = data.replace(b"\r", b" ")
        else:
            trailing_cr = b""
        end = data.rfind(b"\n") + 1
        complete, self.partial_line = data[:end], data[end:] + trailing_cr
        if self.in_long_line:
            if not complete:
                self.partial_line = trailing_cr
                return b""
            line_end = complete.find(b"\n")
            # the newline of the long line is kept: it is the empty line that replaces it
            complete, self.in_long_line = complete[line_end:], False
        if len(self.partial_line) > self.max_line:
            self.reject(complete.count(b"\n") + 1, self.partial_line)
            self.partial_line = trailing_cr
            self.in_long_line = True
        return self.sanitize(complete)

    def finish(self) -> bytes:
        """Returns the last line at the end of the file, if it has no newline."""
        tail, self.partial_line = self.partial_line.rstrip(b"\r"), b""
        if self.in_long_line:
            self.in_long_line = False
            return self.sanitize(b"\n")
        if not tail:
            return b""
        self.unterminated = True
        return self.sanitize(tail + b"\n")

    def reject(self, offset: int, line: bytes, reason: str = "too-long") -> None:
        self.rejected.append((self.last_line + offset, reason, line[:80]))

    def sanitize(self, complete: bytes) -> bytes:
        if not complete:
            return b""
        array = np.frombuffer(complete, np.uint8)
        ends = np.flatnonzero(array == NEWLINE)
        starts = np.concatenate(([0], ends[:-1] + 1))
        rejected = np.zeros(len(ends), bool)
        too_long = ends - starts > self.max_line
        unbalanced = np.zeros(len(ends), bool)
        if b'"' in complete:
            quotes = np.flatnonzero(array == QUOTE)
            unbalanced = np.bincount(np.searchsorted(ends, quotes), minlength=len(ends)) % 2 == 1
        rejected = too_long | unbalanced
        if rejected.any():
            kept, position = [], 0
            for index in np.flatnonzero(rejected):
                start, end = int(starts[index]), int(ends[index])
                reason = "too-long" if too_long[index] else "open-quote"
                self.reject(int(index) + 1, complete[start:end], reason)
                kept.append(complete[position:start])
                position = end
            kept.append(complete[position:])
            complete = b"".join(kept)
        self.last_line += len(ends)
        return complete
