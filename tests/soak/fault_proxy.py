"""A TCP proxy in front of the backends that delays, resets, stalls and fragments connections."""

from __future__ import annotations

import asyncio
import json
import random
from enum import StrEnum
from typing import Any

from tests.soak.backends import open_command_stream
from tests.soak.event_log import EventLog
from tests.soak.plan import HOST

READ_SIZE = 65536  # bytes
MAX_CONNECT_DELAY = 0.6  # seconds before the proxy connects to the backend


class ProxyMode(StrEnum):
    """What happens to connections to one backend."""

    FORWARDS = "forwards"
    DELAYS = "delays"  # new connections to the backend are delayed
    RESETS = "resets"  # some connections are reset, before or within a message
    STALLS = "stalls"  # no data is forwarded
    FRAGMENTS = "fragments"  # data is forwarded in two parts with a delay between them


class Route:
    """The proxied route to one backend."""

    def __init__(self, target: str, rng: random.Random) -> None:
        self.host, _, port = target.rpartition(":")
        self.port = int(port)
        self.rng = rng
        self.mode = ProxyMode.FORWARDS
        self.forwarding = asyncio.Event()
        self.forwarding.set()

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode, also for connections that are open."""
        self.mode = mode
        if mode is ProxyMode.STALLS:
            self.forwarding.clear()
        else:
            self.forwarding.set()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connect to the backend and forward data in both directions."""
        if self.mode is ProxyMode.DELAYS:
            await asyncio.sleep(self.rng.random() * MAX_CONNECT_DELAY)
        try:
            target_reader, target_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        directions = (self.forward(reader, target_writer), self.forward(target_reader, writer))
        tasks = [asyncio.ensure_future(direction) for direction in directions]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for connection in (writer, target_writer):
            connection.close()

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward data in one direction until either side closes or the mode resets the connection."""
        try:
            while data := await reader.read(READ_SIZE):
                await self.forwarding.wait()
                if self.mode is ProxyMode.RESETS and self.rng.random() < 0.3:
                    writer.write(data[: self.rng.randrange(len(data))])
                    writer.transport.abort()
                    return
                await self.write(writer, data)
        except OSError:
            return

    async def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write data, in two parts if the mode fragments it."""
        if self.mode is ProxyMode.FRAGMENTS and len(data) > 1:
            split_at = self.rng.randrange(1, len(data))
            writer.write(data[:split_at])
            await asyncio.sleep(0.01 * self.rng.random())
            data = data[split_at:]
        writer.write(data)
        await writer.drain()


async def run(arguments: dict[str, Any], log: EventLog) -> None:
    """Print the addresses, then forward connections and execute commands until standard input ends."""
    routes = [
        Route(target, random.Random(f"{arguments['seed']} {target}")) for target in arguments["targets"]
    ]
    servers = [await asyncio.start_server(route.handle, HOST, 0) for route in routes]
    addresses = ["{}:{}".format(*server.sockets[0].getsockname()) for server in servers]
    print(json.dumps(addresses), flush=True)
    commands = await open_command_stream()
    while line := await commands.readline():
        command = json.loads(line)
        routes[command["route"]].set_mode(ProxyMode(command["mode"]))
