"""Scripted servers on loopback in place of the gateway's upstreams: backends, discovery and the counter."""

from __future__ import annotations

import asyncio
import json
import pathlib
import re
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

HOST = "127.0.0.1"
EVENT_TIMEOUT = 10.0  # seconds that a test waits for an event before it fails; the event comes long before
BILLED_UNITS = 2  # units that a scripted success reports as used
SETTINGS_EXAMPLE = pathlib.Path(__file__).parent / "batch.txt"


class HttpMessage(NamedTuple):
    """One HTTP/1.1 message; the names of `headers` are in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes


class CounterIncrement(NamedTuple):
    """One call that the counter received."""

    key: str
    amount: float


ResponseStep = Callable[[asyncio.StreamWriter, HttpMessage], Awaitable[None] | None]

# Former names, until no test module imports them.
SOON = EVENT_TIMEOUT
Asked = HttpMessage
Step = ResponseStep


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read one HTTP message, whose body has a Content-Length or is chunked.

    Raises asyncio.IncompleteReadError where the connection ends within it.
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
    """Read a chunked body to its end; there are no trailers."""
    body = b""
    while (size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16)) > 0:
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def message(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a response with a Content-Length; `headers` are whole lines."""
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def serve(writer: asyncio.StreamWriter, request: HttpMessage) -> None:
    """Answer with success and a body that names the request's id."""
    body = b"served " + request.headers["x-call-id"].encode()
    writer.write(message(200, body, f"Billed-Units: {BILLED_UNITS}"))


def serve_after(released: asyncio.Event) -> ResponseStep:
    """Return a step that delays the response until the event is set."""

    async def step(writer: asyncio.StreamWriter, request: HttpMessage) -> None:
        await released.wait()
        serve(writer, request)

    return step


class FakeServer:
    """A listening socket on an ephemeral port; `serve` runs for each connection.

    `connections` counts those accepted so far, and `open` holds the writers of those still up.
    """

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ""
        self.connections = 0
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen; `address` is host:port from then on."""
        self.server = await asyncio.start_server(self.connected, HOST, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until either side closes it."""
        self.connections += 1
        self.open.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the gateway closed it, or the test is over
        finally:
            self.open.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection; each subclass has its own protocol."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Stop listening and reset all connections; each handler ends with its connection."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


class FakeBackend(FakeServer):
    """A backend that answers each request by the next step of `script`, and by `serve` once there is none.

    `seen` has the requests received so far; `ended` counts connections that the gateway closed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.seen: list[HttpMessage] = []
        self.script: list[ResponseStep] = []
        self.ended = 0
        self.state_changed = asyncio.Condition()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Record and answer requests until the gateway closes the connection."""
        while True:
            try:
                request = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionResetError):
                async with self.state_changed:
                    self.ended += 1
                    self.state_changed.notify_all()
                return
            async with self.state_changed:
                self.seen.append(request)
                self.state_changed.notify_all()
            step = self.script.pop(0) if self.script else serve
            pending = step(writer, request)
            if pending is not None:
                await pending

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds; it is checked on each request and each closed connection.

        Raises TimeoutError after EVENT_TIMEOUT seconds.
        """
        async with asyncio.timeout(EVENT_TIMEOUT), self.state_changed:
            await self.state_changed.wait_for(condition)


class FakeDiscovery(FakeServer):
    """Discovery: answers a first poll with all entries, and a watch once `change` publishes a delta.

    `asked` has the request lines received so far.
    """

    def __init__(self) -> None:
        super().__init__()
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[dict[str, Any]] = []
        self.asked: list[str] = []
        self.changed = asyncio.Condition()

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

    def listing(self, full: bool, entries: list[dict[str, Any]]) -> bytes:
        """Return the body of an answer: a full list, or a delta to the list of an earlier generation."""
        return json.dumps({"generation": self.generation, "reset": full, "instances": entries}).encode()

    async def change(self, *entries: dict[str, Any]) -> None:
        """Publish a new generation in which these entries are new or replaced."""
        async with self.changed:
            self.generation += 1
            self.changes = list(entries)
            self.entries.update({entry["instanceId"]: entry for entry in entries})
            self.changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer polls and watches until the gateway closes the connection."""
        while True:
            request = await read_message(reader)
            self.asked.append(request.start_line)
            since = re.search(r"since=(\d+)", request.start_line)
            timeout = re.search(r"timeout_ms=(\d+)", request.start_line)
            async with self.changed:
                self.changed.notify_all()
                if since is None:
                    body = self.listing(True, list(self.entries.values()))
                else:
                    seconds = int(timeout[1]) / 1000 if timeout is not None else 0.0
                    body = await self.changes_since(int(since[1]), seconds)
            writer.write(message(200, body))

    async def changes_since(self, generation: int, seconds: float) -> bytes:
        """Return the answer to a watch: the last delta, or an empty one if none comes within `seconds`."""
        if self.generation <= generation:
            try:
                async with asyncio.timeout(seconds):
                    await self.changed.wait_for(lambda: self.generation > generation)
            except TimeoutError:
                return self.listing(False, [])
        return self.listing(False, self.changes)

    async def until_asked(self, times: int) -> None:
        """Wait until so many polls and watches have come; raises TimeoutError after EVENT_TIMEOUT seconds."""
        async with asyncio.timeout(EVENT_TIMEOUT), self.changed:
            await self.changed.wait_for(lambda: len(self.asked) >= times)


class FakeCounter(FakeServer):
    """A counter that adds up increments by key, over the Redis protocol.

    No reply is written while the event `free` is not set.
    The replies in `say` are sent in place of totals.
    """

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[str, float] = {}
        self.calls: list[CounterIncrement] = []
        self.say: list[bytes] = []
        self.free = asyncio.Event()
        self.free.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Record and answer increments until the gateway closes the connection."""
        while True:
            increment = await self.read_increment(reader)
            self.calls.append(increment)
            total = self.totals.get(increment.key, 0.0) + increment.amount
            self.totals[increment.key] = total
            await self.free.wait()
            writer.write(self.say.pop(0) if self.say else self.bulk_string(f"{total:.7g}"))

    async def read_increment(self, reader: asyncio.StreamReader) -> CounterIncrement:
        """Read one command, an array of bulk strings: its name, the key, the amount and more."""
        arguments = []
        for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            arguments.append((await reader.readexactly(size + 2))[:-2].decode())
        return CounterIncrement(arguments[1], float(arguments[2]))

    @staticmethod
    def bulk_string(text: str) -> bytes:
        """Encode a bulk string of the Redis protocol."""
        return f"${len(text)}\r\n{text}\r\n".encode()


def settings_text(**limits: Any) -> dict[str, Any]:
    """Return the settings object of tests/batch.txt, with some of its limits replaced."""
    lines = SETTINGS_EXAMPLE.read_text().splitlines()
    line = next(line for line in lines if line.startswith("up\t"))
    settings: dict[str, Any] = json.loads(line.split("\t", 2)[2])
    settings["limits"].update(limits)
    return settings
