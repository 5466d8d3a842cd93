"""Starts the recording of events at one gateway if the operator's settings enable it.

Usage: `start_recorder(config, operator)` returns a `Recorder` whose writer thread is running, or None if
records are disabled or their folder is unusable. The latter is logged and does not prevent the gateway from
serving.
"""

from __future__ import annotations

import logging
import time

from damsonstream import __version__
from damsonstream.program.config import Config
from damsonstream.records.recorder import NS_PER_TICK, Recorder, skewed
from damsonstream.records.writer import Writer
from damsonstream.settings.operator import Operator

log = logging.getLogger(__name__)


def start_recorder(config: Config, operator: Operator) -> Recorder | None:
    settings = operator.records
    if settings is None:
        return None
    try:
        writer = Writer(settings.folder, config.name, settings.limits)
    except OSError as error:
        log.error("records", extra={"outcome": "off", "folder": str(settings.folder), "what": str(error)})
        return None
    start = time.time_ns() // NS_PER_TICK
    recorder = Recorder(
        writer, skewed(settings.shift, settings.drift, start) if settings.shift or settings.drift else None
    )
    recorder.began(start, config.name, __version__, config.footprint, config.drain_grace, config.purge_grace)
    writer.start()
    log.info("records", extra={"outcome": "on", "folder": str(writer.folder), "boot": writer.boot})
    return recorder
