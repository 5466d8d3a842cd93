"""Logs of the tools: structlog, rendered to the same key=value lines as the gateway's.

How it is called: `begin(level)` once, then `structlog.get_logger(part=...)` as usual. The gateway itself
stays on `logging`: structlog takes 16 MB more, which a gateway of 32 MB does not have (docs/design.md).
"""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import MutableMapping
from typing import Any

import structlog

from damsonstream.program.logs import quoted


def render(logger: Any, name: str, event: MutableMapping[str, Any]) -> str:
    pairs = {"at": f"{time.time():.3f}", "level": event.pop("level", name), "part": event.pop("part", "-"),
             "event": event.pop("event", "-"), **event}  # fmt: skip
    return " ".join(f"{key}={quoted(value)}" for key, value in pairs.items())


def begin(level: str = "info") -> None:
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.format_exc_info, render],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
