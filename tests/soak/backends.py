"""Backends of a run, several in each worker process; the controller sets how they misbehave."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from enum import StrEnum
from typing import Any

from tests.fakes import FakeServer, HttpMessage, http_response, read_message
from tests.soak.event_log import EventLog

MEAN_SERVICE_TIME = 0.02  # seconds, exponentially distributed
LONG_BODY_FRACTION = 0.01  # the fraction of responses with a long body
LONG_BODY = b"z" * 150_000


class BackendMode(StrEnum):
    """How a backend behaves."""

    SERVES = "serves"
    HANGS = "hangs"  # answers no request until the mode changes
    FAILS = "fails"  # answers most requests with status 500
    REJECTS = "rejects"  # answers most requests with status 503 and X-Rejected
    RESETS = "resets"  # resets the connection within most responses


class SoakBackend(FakeServer):
    """A backend that logs whether it rejects or executes each request it has read completely."""

    def __init__(self, name: str, log: EventLog, rng: random.Random) -> None:
        super().__init__()
        self.name = name
        self.log = log
        self.rng = rng
        self.mode = BackendMode.SERVES
        self.mode_changed = asyncio.Event()

    def set_mode(self, mode: BackendMode) -> None:
        """Change the mode, also for requests that are hanging."""
        self.mode = mode
        self.mode_changed.set()
        self.mode_changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        while True:
            request = await read_message(reader)
            call = request.headers.get("x-call-id", "")
            if self.mode is BackendMode.REJECTS and self.rng.random() < 0.8:
                self.log.write("request_rejected", call=call, backend=self.name)
                writer.write(http_response(503, b"", "X-Rejected: 1"))
                continue
            self.log.write(
                "request_executed", call=call, backend=self.name, budget=float(request.headers["x-budget"])
            )
            while self.mode is BackendMode.HANGS:
                await self.mode_changed.wait()
            await asyncio.sleep(self.rng.expovariate(1.0 / MEAN_SERVICE_TIME))
            if self.respond(writer, request, call):
                return

    def respond(self, writer: asyncio.StreamWriter, request: HttpMessage, call: str) -> bool:
        """Answer a request according to the mode; return whether the connection was reset."""
        body = b"served " + call.encode()
        if self.rng.random() < LONG_BODY_FRACTION:
            body += LONG_BODY
        if self.mode is BackendMode.RESETS and self.rng.random() < 0.7:
            response = http_response(200, body)
            writer.write(response[: self.rng.randrange(len(response))])
            writer.transport.abort()
            return True
        status = 500 if self.mode is BackendMode.FAILS and self.rng.random() < 0.8 else 200
        units = self.rng.choice(["1", "1", "2"])
        writer.write(http_response(status, body, f"Billed-Units: {units}"))
        return False


async def open_command_stream() -> asyncio.StreamReader:
    """Return standard input as a stream of the controller's commands."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def run(arguments: dict[str, Any], log: EventLog) -> None:
    """Print the addresses, then serve and execute commands until standard input ends."""
    backends = []
    for name in arguments["names"]:
        backend = SoakBackend(name, log, random.Random(f"{arguments['seed']} {name}"))
        await backend.start()
        backends.append(backend)
    print(json.dumps([backend.address for backend in backends]), flush=True)
    commands = await open_command_stream()
    while line := await commands.readline():
        command = json.loads(line)
        backend = backends[command["backend"]]
        if command.get("restart"):
            for writer in list(backend.open_writers):
                writer.transport.abort()
        else:
            backend.set_mode(BackendMode(command["mode"]))
