"""Begins and ends the recording of one gateway, where its operator wants that.

How it is called: `begin(config, operator)` gives a `Recorder` whose thread runs, or None where it is off or
can't be begun: a folder that can't be used is one log line, and no reason not to serve.
"""

from __future__ import annotations

import logging
import time

from damsonstream import __version__
from damsonstream.program.config import Config
from damsonstream.records.recorder import NS, Recorder, moved
from damsonstream.records.writer import Writer
from damsonstream.settings.operator import Operator

log = logging.getLogger(__name__)


def begin(config: Config, operator: Operator) -> Recorder | None:
    told = operator.records
    if told is None:
        return None
    try:
        writer = Writer(told.folder, config.name, told.limits)
    except OSError as fault:
        log.error("records", extra={"outcome": "off", "folder": str(told.folder), "what": str(fault)})
        return None
    start = time.time_ns() // NS
    recorder = Recorder(writer, moved(told.shift, told.drift, start) if told.shift or told.drift else None)
    recorder.began(start, config.name, __version__, config.footprint, config.drain_grace, config.purge_grace)
    writer.start()
    log.info("records", extra={"outcome": "on", "folder": str(writer.folder), "boot": writer.boot})
    return recorder
