"""Scripted servers on loopback in place of the gateway's upstreams: backends, discovery and the counter."""

from __future__ import annotations

import asyncio
import json
import pathlib
import re
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

HOST = "127.0.0.1"
EVENT_TIMEOUT = 10.0  # seconds to wait for an event before the test fails; far more than any event takes
BILLED_UNITS = 2  # units that `send_success` reports as used
SETTINGS_EXAMPLE = pathlib.Path(__file__).parent / "batch.txt"


class HttpMessage(NamedTuple):
    """One HTTP/1.1 message; the names of `headers` are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes


class CounterIncrement(NamedTuple):
    """One increment that the counter received."""

    key: str
    amount: float


ResponseStep = Callable[[asyncio.StreamWriter, HttpMessage], Awaitable[None] | None]


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read one HTTP message, whose body has a Content-Length or is chunked.

    Raises asyncio.IncompleteReadError if the connection ends before the message does.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    start_line, *lines = head.rstrip().split("\r\n")
    fields = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    if headers.get("transfer-encoding") == "chunked":
        body = await read_chunked_body(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return HttpMessage(start_line, headers, body)


async def read_chunked_body(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body without trailer fields to its end."""
    body = b""
    while (size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16)) > 0:
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def http_response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a response with a Content-Length; `headers` are complete header lines."""
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def send_success(writer: asyncio.StreamWriter, request: HttpMessage) -> None:
    """Answer with status 200 and a body that contains the request's id."""
    body = b"served " + request.headers["x-call-id"].encode()
    writer.write(http_response(200, body, f"Billed-Units: {BILLED_UNITS}"))


def send_success_after(released: asyncio.Event) -> ResponseStep:
    """Return a step that delays a successful response until the event is set."""

    async def step(writer: asyncio.StreamWriter, request: HttpMessage) -> None:
        await released.wait()
        send_success(writer, request)

    return step


class FakeServer:
    """A listening socket on an ephemeral port; `serve` runs for each connection.

    `connection_count` is the number of connections accepted so far; `open_writers` has the writers of those
    that are open.
    """

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ""
        self.connection_count = 0
        self.open_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening and set `address` to host:port."""
        self.server = await asyncio.start_server(self.handle_connection, HOST, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until either side closes it."""
        self.connection_count += 1
        self.open_writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the gateway closed the connection, or the test is over
        finally:
            self.open_writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection; subclasses implement their protocol here."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Stop listening and abort all connections, which also ends their handlers."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.open_writers):
            writer.transport.abort()


class FakeBackend(FakeServer):
    """A backend that answers each request by the next step of `script`, or by `send_success` if none is left.

    `requests` has the requests received so far; `closed_count` is the number of connections that the gateway
    closed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[HttpMessage] = []
        self.script: list[ResponseStep] = []
        self.closed_count = 0
        self.state_changed = asyncio.Condition()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Record and answer requests until the gateway closes the connection."""
        while True:
            try:
                request = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionResetError):
                async with self.state_changed:
                    self.closed_count += 1
                    self.state_changed.notify_all()
                return
            async with self.state_changed:
                self.requests.append(request)
                self.state_changed.notify_all()
            step = self.script.pop(0) if self.script else send_success
            pending = step(writer, request)
            if pending is not None:
                await pending

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds; it is checked at each request and each close of a connection.

        Raises TimeoutError after EVENT_TIMEOUT seconds.
        """
        async with asyncio.timeout(EVENT_TIMEOUT), self.state_changed:
            await self.state_changed.wait_for(condition)


class FakeDiscovery(FakeServer):
    """A discovery service that answers a first poll with all entries, and a watch with the next delta.

    `request_lines` has the request lines received so far.
    """

    def __init__(self) -> None:
        super().__init__()
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.last_delta: list[dict[str, Any]] = []
        self.request_lines: list[str] = []
        self.state_changed = asyncio.Condition()

    def entry(self, name: str, address: str, state: str = "SERVING", started: float = 0) -> dict[str, Any]:
        """Return one instance as discovery lists it; `started` is in Unix milliseconds, 0 for unknown."""
        return {
            "instanceId": name,
            "hostPort": address,
            "zone": "z",
            "machineType": "k",
            "cell": 0,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": started,
        }

    def list_body(self, full: bool, entries: list[dict[str, Any]]) -> bytes:
        """Return the body of a response: a full list, or a delta to an earlier generation."""
        return json.dumps({"generation": self.generation, "reset": full, "instances": entries}).encode()

    async def publish(self, *entries: dict[str, Any]) -> None:
        """Publish a new generation in which these entries are new or replaced."""
        async with self.state_changed:
            self.generation += 1
            self.last_delta = list(entries)
            self.entries.update({entry["instanceId"]: entry for entry in entries})
            self.state_changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer polls and watches until the gateway closes the connection."""
        while True:
            request = await read_message(reader)
            self.request_lines.append(request.start_line)
            since = re.search(r"since=(\d+)", request.start_line)
            timeout = re.search(r"timeout_ms=(\d+)", request.start_line)
            async with self.state_changed:
                self.state_changed.notify_all()
                if since is None:
                    body = self.list_body(True, list(self.entries.values()))
                else:
                    seconds = int(timeout[1]) / 1000 if timeout is not None else 0.0
                    body = await self.watch(int(since[1]), seconds)
            writer.write(http_response(200, body))

    async def watch(self, generation: int, seconds: float) -> bytes:
        """Return the response to a watch: the last delta, or an empty one if none comes within `seconds`."""
        if self.generation <= generation:
            try:
                async with asyncio.timeout(seconds):
                    await self.state_changed.wait_for(lambda: self.generation > generation)
            except TimeoutError:
                return self.list_body(False, [])
        return self.list_body(False, self.last_delta)

    async def wait_for_requests(self, times: int) -> None:
        """Wait until `times` polls or watches have come; raises TimeoutError after EVENT_TIMEOUT seconds."""
        async with asyncio.timeout(EVENT_TIMEOUT), self.state_changed:
            await self.state_changed.wait_for(lambda: len(self.request_lines) >= times)


class FakeCounter(FakeServer):
    """A counter that adds up increments by key and speaks the Redis protocol.

    Replies are held back while the event `replies_enabled` is not set. The next of `scripted_replies`, if
    there is one, is sent in place of a total.
    """

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[str, float] = {}
        self.increments: list[CounterIncrement] = []
        self.scripted_replies: list[bytes] = []
        self.replies_enabled = asyncio.Event()
        self.replies_enabled.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Record and answer increments until the gateway closes the connection."""
        while True:
            increment = await self.read_increment(reader)
            self.increments.append(increment)
            total = self.totals.get(increment.key, 0.0) + increment.amount
            self.totals[increment.key] = total
            await self.replies_enabled.wait()
            writer.write(
                self.scripted_replies.pop(0) if self.scripted_replies else self.bulk_string(f"{total:.7g}")
            )

    async def read_increment(self, reader: asyncio.StreamReader) -> CounterIncrement:
        """Read one command, an array of bulk strings: its name, the key, the amount and further arguments."""
        arguments = []
        for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            arguments.append((await reader.readexactly(size + 2))[:-2].decode())
        return CounterIncrement(arguments[1], float(arguments[2]))

    @staticmethod
    def bulk_string(text: str) -> bytes:
        """Encode a bulk string of the Redis protocol."""
        return f"${len(text)}\r\n{text}\r\n".encode()


def example_settings(**limits: Any) -> dict[str, Any]:
    """Return the settings object of tests/batch.txt, with these of its limits replaced."""
    lines = SETTINGS_EXAMPLE.read_text().splitlines()
    line = next(line for line in lines if line.startswith("up\t"))
    settings: dict[str, Any] = json.loads(line.split("\t", 2)[2])
    settings["limits"].update(limits)
    return settings
