"""Clients of a run.

Most requests are ordinary; others are pipelined, written slowly, abandoned, half-closed or malformed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from typing import Any

from tests.fakes import read_message
from tests.harness import RESET_ON_CLOSE, request
from tests.soak.event_log import EventLog

REQUEST_CLASSES = ("lookup", "lookup", "report", "extract")
BUDGETS = (0.4, 0.8, 1.5, 2.4)  # seconds until the deadline of a request
MEAN_REQUEST_INTERVAL = 0.12  # seconds on average from the end of one exchange to the next request
RESPONSE_MARGIN = 2.0  # seconds after its deadline for which a client still waits for a response
KEEP_ALIVE_FRACTION = 0.8  # the fraction of requests after which the connection is kept open
CONNECT_RETRY_DELAY = 0.05  # seconds from a connection error to the next attempt to connect
BAD_REQUESTS = (
    b"GET /api HTTP/1.1\r\nX-Call",
    b"nonsense\r\n\r\n",
    b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
)
BAD_REQUEST_TIMEOUT = 3.5  # seconds after the connect within which a bad request gets an error or a close


class SoakClient:
    """A client that selects a gateway at random for each connection."""

    def __init__(self, name: str, arguments: dict[str, Any], log: EventLog) -> None:
        self.name = name
        self.gateways: list[tuple[str, int]] = arguments["gateways"]
        self.log = log
        self.rng = random.Random(f"{arguments['seed']} {name}")
        self.budgets = [min(budget, arguments["longest_deadline"]) for budget in BUDGETS]
        self.never_rests: bool = arguments["never_rests"]
        self.request_count = 0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.gateway_index = 0
        self.connection_count = 0  # how many connections this client has opened
        self.requests_on_connection = 0
        self.connected = False

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            if not (self.never_rests and self.connected):
                await asyncio.sleep(self.rng.expovariate(1.0 / MEAN_REQUEST_INTERVAL))
            try:
                if not self.connected:
                    await self.connect()
                await self.send_random()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await self.disconnect()
                await asyncio.sleep(CONNECT_RETRY_DELAY)

    async def connect(self) -> None:
        """Connect to a randomly selected gateway."""
        self.gateway_index = self.rng.randrange(len(self.gateways))
        self.reader, self.writer = await asyncio.open_connection(*self.gateways[self.gateway_index])
        self.connected = True
        self.connection_count += 1
        self.requests_on_connection = 0

    async def disconnect(self) -> None:
        """Close the connection, if there is one."""
        if self.connected:
            self.connected = False
            self.writer.close()

    async def send_random(self) -> None:
        """Send one or more requests in a randomly selected way."""
        draw = self.rng.random()
        if draw < 0.68:
            await self.exchange(1)
        elif draw < 0.76:
            await self.exchange(self.rng.randrange(2, 5))
        elif draw < 0.90:
            await self.send_and_close()
        elif draw < 0.95:
            await self.exchange(1, slowly=True)
        else:
            await self.send_bad_request()
        if not self.never_rests and self.rng.random() > KEEP_ALIVE_FRACTION:
            await self.disconnect()

    def next_request(self) -> tuple[str, bytes, float, str]:
        """Return the call id, the bytes, the budget in seconds and the class of a new request."""
        self.request_count += 1
        number = (int(self.name) << 32) + self.request_count
        budget = self.rng.choice(self.budgets)
        request_class = self.rng.choice(REQUEST_CLASSES)
        customer = f"{self.rng.randrange(40):016x}"
        text = request(number, request_class, budget, customer=customer)
        return f"{number:016x}", text, budget, request_class

    def log_sent(self, call: str, budget: float, request_class: str) -> None:
        """Log a request whose last byte has just been written."""
        self.requests_on_connection += 1
        self.log.write(
            "request_sent",
            call=call,
            budget=budget,
            request_class=request_class,
            gateway=self.gateway_index,
            first_on_connection=self.requests_on_connection == 1,
            client=self.name,
            connection=self.connection_count,
        )

    async def exchange(self, count: int, slowly: bool = False) -> None:
        """Send requests one after another without waiting, then read their responses in order."""
        sent: list[tuple[str, float]] = []
        for _ in range(count):
            call, text, budget, request_class = self.next_request()
            if slowly:
                split_at = self.rng.randrange(1, len(text) - 1)
                self.writer.write(text[:split_at])
                await asyncio.sleep(0.3 * self.rng.random())
                text = text[split_at:]
            self.writer.write(text)
            self.log_sent(call, budget, request_class)
            sent.append((call, time.monotonic() + budget))
        for position, (call, deadline) in enumerate(sent):
            if not await self.read_response(call, deadline):
                for later_call, _ in sent[position + 1 :]:
                    self.log.write("connection_closed", call=later_call, pipelined_after=call)
                raise ConnectionResetError

    async def read_response(self, call: str, deadline: float) -> bool:
        """Read and log a response; return whether the connection can be used further."""
        try:
            async with asyncio.timeout(max(deadline - time.monotonic(), 0.0) + RESPONSE_MARGIN):
                status_line, headers, body = await read_message(self.reader)
        except TimeoutError:
            self.log.write("response_timeout", call=call)
            return False
        except (OSError, asyncio.IncompleteReadError) as error:
            was_partial = isinstance(error, asyncio.IncompleteReadError) and bool(error.partial)
            self.log.write("connection_closed", call=call, partial_response=was_partial)
            return False
        status = int(status_line.split()[1])
        is_matching = status != 200 or body.startswith(b"served " + call.encode())
        self.log.write("response_received", call=call, status=status, matches_request=is_matching)
        return headers.get("connection") != "close"

    async def send_and_close(self) -> None:
        """Send a request, then close, reset or half-close the connection before the response."""
        call, text, budget, request_class = self.next_request()
        self.writer.write(text)
        self.log_sent(call, budget, request_class)
        await asyncio.sleep(self.rng.choice([0.0, 0.01, 0.05, 0.2]) * self.rng.random())
        how = self.rng.choice(["close", "reset", "half_close"])
        if how == "half_close":
            self.writer.write_eof()
        else:
            if how == "reset":
                sock = self.writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.writer.transport.abort()
        self.log.write("client_closed", call=call, how=how)
        if how == "half_close":
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(budget + RESPONSE_MARGIN):
                    await self.reader.read()
        raise ConnectionResetError

    async def send_bad_request(self) -> None:
        """Send a malformed or incomplete request on a new connection, and wait for an error or a close."""
        await self.disconnect()
        await self.connect()
        connected_at = time.monotonic()
        text = self.rng.choice(BAD_REQUESTS)
        self.writer.write(text)
        try:
            async with asyncio.timeout(BAD_REQUEST_TIMEOUT):
                response = await self.reader.read(4096)
        except TimeoutError:
            self.log.write(
                "bad_request_not_closed", gateway=self.gateway_index, seconds=time.monotonic() - connected_at
            )
            raise
        if response.startswith(b"HTTP/1.1 2"):
            self.log.write("bad_request_served", gateway=self.gateway_index)
        raise ConnectionResetError


async def run(arguments: dict[str, Any], log: EventLog) -> None:
    """Run all clients of this process for the configured time."""
    clients = [SoakClient(name, arguments, log) for name in arguments["names"]]
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    _, pending = await asyncio.wait(tasks, timeout=arguments["seconds"])
    for task in pending:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for client in clients:
        await client.disconnect()
    for task in tasks:
        if not task.cancelled() and task.exception() is not None:
            log.write("client_failed", error=repr(task.exception()))
