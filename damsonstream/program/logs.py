"""Logging of the gateway: lines of key=value pairs on standard error."""

from __future__ import annotations

import logging
import sys

STANDARD_ATTRIBUTES = set(logging.makeLogRecord({}).__dict__) | {"message", "asctime", "taskName"}


def quote_value(value: object) -> str:
    """Returns the text of a value, quoted and escaped if it contains spaces or special characters."""
    text = value.decode("latin-1") if isinstance(value, bytes) else str(value)
    if text and not any(c in ' "=\\' or not c.isprintable() for c in text):
        return text
    return '"' + "".join(c if c.isprintable() and c not in '"\\' else f"\\x{ord(c):02x}" for c in text) + '"'


class KeyValueFormatter(logging.Formatter):
    """Formats a record as key=value pairs; keys in `extra` are appended."""

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
        }
        pairs.update((key, value) for key, value in record.__dict__.items() if key not in STANDARD_ATTRIBUTES)
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={quote_value(value)}" for key, value in pairs.items())


def configure(level: str) -> None:
    """Installs the handler of the root logger."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
