"""Runs gateways for the bench: batches of events on standard input, actions on standard output."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterable
from typing import TextIO

from damsonstream.bench import codec
from damsonstream.program.config import UNIT_US
from damsonstream.routing import interface
from damsonstream.routing.router import Router


class Gateway:
    """One gateway instance: its router, and the indexes of its delivery services by name."""

    def __init__(self) -> None:
        self.router = Router()
        self.services: dict[str, int] = {}


def serve(lines: Iterable[str], out: TextIO) -> None:
    """Handles the events of all batches; raises ProtocolError for a line that breaks the protocol."""
    gateways: dict[str, Gateway] = {}
    remaining = iter(lines)
    now, frame = 0, ""
    reply: list[str] = []
    in_batch = False
    for raw in remaining:
        line = raw.rstrip("\r\n")
        if not line:
            continue
        name, parts = codec.split_line(line)
        if name == "BEGIN_BATCH":
            if in_batch:
                raise codec.ProtocolError("BEGIN_BATCH inside a batch")
            now, frame, in_batch, reply = int(parts["ts"]) // UNIT_US, parts["frame"], True, []
            continue
        if not in_batch:
            raise codec.ProtocolError(f"line outside a batch: {line[:60]!r}")
        if name == "GO":
            out.write("".join(f"{text}\n" for text in reply) + f"NEXT frame={frame}\n")
            out.flush()
            in_batch = False
            continue
        if name not in codec.EVENTS:
            raise codec.ProtocolError(f"unknown event {name!r}")
        gateway_name = parts["gateway"]
        if name == "ENLIST":
            gateways[gateway_name] = Gateway()
        if gateway_name not in gateways:
            raise codec.ProtocolError(f"{name} for an unknown instance {gateway_name!r}")
        if name == "RETIRE":
            del gateways[gateway_name]
            continue
        entries: list[interface.ListEntry] = []
        for _ in range(int(parts.get("items", 0)) if name == "DIRECTORY_UPDATE" else 0):
            tag, fields = codec.split_line(next(remaining, "").rstrip("\r\n"))
            if tag != "M":
                raise codec.ProtocolError(f"list entry expected, got {tag!r}")
            entries.append(codec.decode_entry(fields))
        gateway = gateways[gateway_name]
        event = codec.decode_event(name, parts, tuple(entries), gateway.services)
        if event is None:
            continue
        try:
            actions = gateway.router.handle(now, event)
        except Exception as error:  # reported with its own action, on which the bench ends the run
            text = " ".join(f"{type(error).__name__}: {error}".split())
            reply.append(f"INTERNAL_ERROR gateway={gateway_name} bodyText={text}")
            traceback.print_exc()
            continue
        reply.extend(codec.encode_action(gateway_name, action) for action in actions)


def main() -> int:
    try:
        serve(sys.stdin, sys.stdout)
    except (codec.ProtocolError, KeyError, ValueError) as error:
        print(f"malformed input: {type(error).__name__}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
