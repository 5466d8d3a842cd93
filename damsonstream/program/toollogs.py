"""Logging of the tools: structlog, rendered as the same key=value lines as the gateway's log.

Usage: call `begin(level)` once, then `structlog.get_logger(part=...)` as usual. The gateway itself uses
`logging`, because structlog needs 16 MB more and a gateway may have only 32 MB (docs/design.md).
"""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import MutableMapping
from typing import Any

import structlog

from damsonstream.program.logs import quote_value


def render(logger: Any, name: str, event: MutableMapping[str, Any]) -> str:
    """A structlog processor that formats an event as one line of key=value pairs."""
    pairs = {"at": f"{time.time():.3f}", "level": event.pop("level", name), "part": event.pop("part", "-"),
             "event": event.pop("event", "-"), **event}  # fmt: skip
    return " ".join(f"{key}={quote_value(value)}" for key, value in pairs.items())


def begin(level: str = "info") -> None:
    """Configures structlog to write events of at least `level` to standard error."""
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.format_exc_info, render],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
