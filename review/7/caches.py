"""Caches, hubs and the vault in a process of their own: each request is answered at once, as a hit.

Usage: caches.py COUNT; prints the ports of COUNT listeners in one line, and ends when its input ends.
"""

from __future__ import annotations

import asyncio
import sys
import time

HOST = "127.0.0.1"


class Link(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.buffer = b""

    def data_received(self, data: bytes) -> None:
        data, at, answers = self.buffer + data, 0, list[bytes]()
        stamp = b"%d" % (time.time() * 1000 - 1000)
        while (end := self.end_of_command(data, at)) is not None:
            parts = data[at:end].split(b"\r\n", 5)
            if parts[2] == b"REQ":
                fields = b"res=hit,version=a1,stamp=" + stamp
                answers.append(
                    b"*4\r\n$16\r\n%b\r\n$6\r\nserved\r\n$%d\r\n%b\r\n$6\r\nobject\r\n"
                    % (parts[4], len(fields), fields)
                )
            at = end
        self.buffer = data[at:]
        if answers:
            self.transport.write(b"".join(answers))

    @staticmethod
    def end_of_command(data: bytes, at: int) -> int | None:
        end = data.find(b"\r\n", at)
        if end < 0:
            return None
        count, at = int(data[at + 1 : end]), end + 2
        for _ in range(count):
            end = data.find(b"\r\n", at)
            if end < 0:
                return None
            at = end + 2 + int(data[at + 1 : end]) + 2
        return at if at <= len(data) else None


async def main(count: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Link, HOST, 0) for _ in range(count)]
    print(*(server.sockets[0].getsockname()[1] for server in servers), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


asyncio.run(main(int(sys.argv[1])))
