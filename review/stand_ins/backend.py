"""A backend in a process of its own: reads each request whole, notes it, and answers 200.

Usage: backend.py PORT LOG NAME [UNITS]. A line of the log is one request whose last byte has come, with the
digest of its body. With UNITS, each answer bills these.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import sys
import time


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the request line and the headers, with names in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip().split("\r\n")
    fields = (line.partition(":") for line in lines[1:])
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in fields}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> tuple[int, str]:
    """Read the body, chunked or with a length, and return its size in bytes and its digest."""
    size = 0
    digest = hashlib.sha256()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while (length := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16)) > 0:
            digest.update((await reader.readexactly(length + 2))[:-2])
            size += length
        await reader.readuntil(b"\r\n")
        return size, digest.hexdigest()
    left = int(headers.get("content-length", 0))
    while left > 0:
        data = await reader.read(min(left, 65536))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(data)
        size += len(data)
        digest.update(data)
    return size, digest.hexdigest()


class Backend:
    """Serves connections, one request at a time on each."""

    def __init__(self, name: str, log_path: str, units: str) -> None:
        self.name = name
        self.billing = f"Billed-Units: {units}\r\n".encode() if units else b""
        self.log = open(log_path, "a", buffering=1, encoding="utf-8")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests until the gateway closes the connection."""
        try:
            while True:
                line, headers = await read_head(reader)
                size, digest = await read_body(reader, headers)
                call = headers.get("x-call-id", "")
                event = {
                    "at": time.monotonic(), "backend": self.name, "call": call, "line": line, "body": size,
                    "digest": digest}
                self.log.write(json.dumps(event) + "\n")
                await asyncio.sleep(0.005)
                body = b"served %b by %b" % (call.encode(), self.name.encode())
                length = b"Content-Length: %d\r\n" % len(body)
                writer.write(b"HTTP/1.1 200 OK\r\n%b%b\r\n%b" % (self.billing, length, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def main(port: int, log_path: str, name: str, units: str = "") -> None:
    """Serve until the process is ended."""
    backend = Backend(name, log_path, units)
    server = await asyncio.start_server(backend.serve, "127.0.0.1", port)
    print("listening", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), *sys.argv[2:]))
