"""Log lines in the form key=value, one a line, on standard error."""

from __future__ import annotations

import logging
import sys

PLAIN = set(logging.makeLogRecord({}).__dict__) | {"message", "asctime", "taskName"}


def quoted(value: object) -> str:
    text = value.decode("latin-1") if isinstance(value, bytes) else str(value)
    if text and not any(c in ' "=\\' or not c.isprintable() for c in text):
        return text
    return '"' + "".join(c if c.isprintable() and c not in '"\\' else f"\\x{ord(c):02x}" for c in text) + '"'


class KeyValue(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
        }
        pairs.update((key, value) for key, value in record.__dict__.items() if key not in PLAIN)
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={quoted(value)}" for key, value in pairs.items())


def begin(level: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
