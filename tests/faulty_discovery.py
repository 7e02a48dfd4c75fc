"""A discovery agent with a fault that tests switch on and off."""

from __future__ import annotations

import asyncio
import re
import socket
from enum import StrEnum
from typing import Any

from quota_gateway.sockets.addresses import parse_address
from tests.fakes import FakeDiscovery, http_response, read_message

LISTEN_BACKLOG = 1024
TRICKLE_INTERVAL = 0.3  # seconds between the bytes of a trickled response


class DiscoveryFault(StrEnum):
    """How the agent fails, instead of sending a valid response."""

    REFUSED = "refused"  # connections are refused
    CONNECT_HANGS = "connect hangs"  # connections are neither accepted nor refused
    UNAVAILABLE = "unavailable"  # 503 with a long Retry-After
    SILENT = "silent"  # requests are read and get no response
    TRICKLED = "trickled"  # a response that never ends, byte by byte
    TRUNCATED = "truncated"  # a reset within the response
    MALFORMED = "malformed"  # a body that is not JSON


LISTENER_FAULTS = (DiscoveryFault.REFUSED, DiscoveryFault.CONNECT_HANGS)


class FaultyDiscovery(FakeDiscovery):
    """Fake discovery agent with a configurable fault; the end of the fault publishes a change of the list."""

    fault: DiscoveryFault | None = None
    unresponsive_listener: socket.socket
    backlog_filler: socket.socket

    async def start_fault(self, fault: DiscoveryFault) -> None:
        """Start a fault, which also affects watches in flight; the port stays the same."""
        self.fault = fault
        if fault in LISTENER_FAULTS:
            assert self.server is not None
            self.server.close()
            for writer in list(self.open_writers):
                writer.transport.abort()
        if fault is DiscoveryFault.CONNECT_HANGS:
            address = parse_address(self.address)
            self.unresponsive_listener = socket.socket()
            self.unresponsive_listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.unresponsive_listener.bind(address)
            self.unresponsive_listener.listen(0)
            self.backlog_filler = socket.create_connection(address)

    async def end_fault(self, *entries: dict[str, Any]) -> None:
        """Send valid responses again, and publish the entries as a change of the list."""
        if self.fault is DiscoveryFault.CONNECT_HANGS:
            self.backlog_filler.close()
            self.unresponsive_listener.close()
        if self.fault in LISTENER_FAULTS:
            host, port = parse_address(self.address)
            self.server = await asyncio.start_server(
                self.handle_connection, host, port, backlog=LISTEN_BACKLOG
            )
        self.fault = None
        await self.publish(*entries)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        while True:
            request_line, _, _ = await read_message(reader)
            self.request_lines.append(request_line)
            if self.fault is not None:
                await self.respond_with_fault(writer)
                continue
            body = await self.response_body(request_line)
            if self.fault is not None:  # the fault started during this watch
                await self.respond_with_fault(writer)
                continue
            writer.write(http_response(200, body))

    async def response_body(self, request_line: str) -> bytes:
        """Return the full list or, for a watch, the changes that it waited for."""
        since = re.search(r"since=(\d+)", request_line)
        timeout_ms = re.search(r"timeout_ms=(\d+)", request_line)
        if since is None or timeout_ms is None:
            return self.list_body(True, list(self.entries.values()))
        async with self.state_changed:
            return await self.watch(int(since[1]), int(timeout_ms[1]) / 1000)

    async def respond_with_fault(self, writer: asyncio.StreamWriter) -> None:
        """Send the response that the fault prescribes, or none."""
        match self.fault:
            case DiscoveryFault.UNAVAILABLE:
                writer.write(http_response(503, b"", "Retry-After: 3600"))
            case DiscoveryFault.MALFORMED:
                writer.write(http_response(200, b"rubbish"))
            case DiscoveryFault.TRUNCATED:
                writer.write(http_response(200, self.list_body(False, []))[:-9])
                await writer.drain()
                writer.transport.abort()
                raise ConnectionResetError
            case DiscoveryFault.TRICKLED:
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 9999\r\n\r\n")
                while not writer.transport.is_closing():
                    writer.write(b" ")
                    await asyncio.sleep(TRICKLE_INTERVAL)
            case _:
                await asyncio.Event().wait()
