"""The crowd of a run: many clients that stay connected, send slowly or stop half way, and come again."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import Any

from tests.harness import request
from tests.soak.event_log import EventLog

LONGEST_STAY = 3.0  # seconds for which a client stays connected
PIECE_INTERVAL = 0.2  # seconds between the pieces of a slow client
RECONNECT_DELAY = 0.1  # seconds
FIRST_NUMBER = 1 << 56  # number of the first request of a crowd; those of other clients are lower
BODY_SIZE = 60_000  # bytes
SHORT_FIELDS = b"".join(b"%x:%x\r\n" % (field, field) for field in range(2_000))


class CrowdClient:
    """One client, which never sends a whole request."""

    def __init__(self, number: int, arguments: dict[str, Any]) -> None:
        self.number = number
        self.gateways: list[tuple[str, int]] = arguments["gateways"]
        self.rng = random.Random(f"{arguments['seed']} crowd {number}")

    async def run(self) -> None:
        """Connect again and again until cancelled."""
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self.visit()
            await asyncio.sleep(RECONNECT_DELAY * self.rng.random())

    async def visit(self) -> None:
        """Connect, send a part of a request, and stay until the gateway closes or the time is over."""
        reader, writer = await asyncio.open_connection(*self.rng.choice(self.gateways))
        try:
            async with asyncio.timeout(LONGEST_STAY * self.rng.random()):
                for piece in self.pieces():
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(PIECE_INTERVAL)
                await reader.read()
        finally:
            writer.transport.abort()

    def pieces(self) -> list[bytes]:
        """Return what the client sends, piece by piece; nothing if it is idle."""
        text = request(FIRST_NUMBER + self.number, "extract", 0.4, body=b"x" * BODY_SIZE)
        head, _, _ = text.partition(b"\r\n\r\n")
        return self.rng.choice(
            [
                [],
                [head[:60], head[60:120], head[120:180]],
                [head + b"\r\n", SHORT_FIELDS],
                [text[: len(text) // 2]],
                [text[start : start + 4_000] for start in range(0, 30_000, 4_000)],
            ]
        )


async def run(arguments: dict[str, Any], log: EventLog) -> None:
    """Run all clients of this process for the configured time."""
    clients = [CrowdClient(number, arguments) for number in range(arguments["clients"])]
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    await asyncio.wait(tasks, timeout=arguments["seconds"])
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
