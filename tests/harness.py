"""A gateway in the test's own event loop, with fake upstreams and clients that write raw HTTP."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import uvloop

from quota_gateway.configuration.file import build_configuration
from quota_gateway.gateway_process import GatewayProcess
from tests.fakes import (
    EVENT_TIMEOUT,
    HOST,
    FakeBackend,
    FakeCounter,
    FakeDiscovery,
    FakeServer,
    HttpMessage,
    example_settings,
    read_message,
)

CUSTOMER = "00000000000000c1"
READY_REQUEST = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
TEST_TIMEOUT = 3 * EVENT_TIMEOUT  # seconds after which a test fails
SOCKET_LIMIT = 1024  # default number of sockets that a gateway may open
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled with a timeout of zero: closing sends a reset


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run an asynchronous test on uvloop; raises TimeoutError after TEST_TIMEOUT seconds."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(TEST_TIMEOUT):
            await test()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_with_timeout())


def request(
    number: int,
    request_class: str = "lookup",
    budget: float = 5.0,
    plan: str = "basis",
    customer: str = CUSTOMER,
    units: str = "1",
    body: bytes = b"typed text",
    omit_header: str = "",
    **headers: str,
) -> bytes:
    """Return a client's request as it goes over the wire.

    `budget` is the time in seconds until its deadline. The header named in `omit_header` is left out.
    `headers` are added or replace the defaults; an underscore in a name stands for a hyphen.
    """
    is_get = request_class == "lookup"
    fields = {
        "Host": "backend.local",
        "X-Call-Id": f"{number:016x}",
        "X-Call-Class": request_class,
        "Plan": plan,
        "X-Budget": f"{budget:.3f}",
        "Quota-Info": f"units={units},spread=2,first=0",
    }
    if request_class == "report":
        fields["Idempotency-Key"] = f"key{number:029x}"
    if not is_get:
        fields["Content-Length"] = str(len(body))
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    fields.pop(omit_header, None)
    lines = [f"{'GET' if is_get else 'POST'} /api?client={customer} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([*lines, "", ""]).encode()
    return head if is_get else head + body


class HttpResponse(NamedTuple):
    """A response as a client read it; the names of `headers` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """A client's connection to the gateway, over which a test writes raw HTTP."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, text: bytes) -> None:
        """Write to the connection without waiting for a response."""
        self.writer.write(text)

    async def read_response(self) -> HttpResponse:
        """Read the next response; raises TimeoutError after EVENT_TIMEOUT seconds."""
        async with asyncio.timeout(EVENT_TIMEOUT):
            status_line, headers, body = await read_message(self.reader)
        return HttpResponse(int(status_line.split()[1]), headers, body)

    async def exchange(self, text: bytes) -> HttpResponse:
        """Send a request and read its response."""
        self.send(text)
        return await self.read_response()

    def reset(self) -> None:
        """Close the connection with a TCP reset, which the gateway can tell from a half-close."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()

    async def wait_closed(self) -> bool:
        """Wait until the gateway closes the connection; return False if it sends more data first."""
        async with asyncio.timeout(EVENT_TIMEOUT):
            return await self.reader.read(1) == b""


class GatewayHarness:
    """A `GatewayProcess` between clients and fake upstreams, all in one event loop.

    The constructor creates the fake upstreams, so that a test may change them before `start`.
    """

    def __init__(self, backends: int) -> None:
        self.backends = [FakeBackend() for _ in range(backends)]
        self.discovery = FakeDiscovery()
        self.counter = FakeCounter()
        self.port = 0
        self.admin_port = 0
        self.process: GatewayProcess

    @property
    def upstreams(self) -> list[FakeServer]:
        """All fake servers that the gateway connects to."""
        return [*self.backends, self.discovery, self.counter]

    async def start(self, settings: dict[str, Any], socket_limit: int) -> None:
        """Start the fake upstreams, list the backends at discovery, and start the gateway."""
        for upstream in self.upstreams:
            await upstream.start()
        entries = [
            self.discovery.entry(f"b{number}", backend.address)
            for number, backend in enumerate(self.backends)
        ]
        self.discovery.entries = {entry["instanceId"]: entry for entry in entries}
        await self.start_gateway(settings, socket_limit)

    async def start_gateway(self, settings: dict[str, Any], socket_limit: int) -> None:
        """Start the gateway only; the fake upstreams must be listening already."""
        configuration = build_configuration(self.configuration(settings, socket_limit), {})
        self.process = GatewayProcess(configuration)
        self.process.listen_address = (HOST, 0)
        self.process.admin_address = (HOST, 0)
        await self.process.start()
        self.port = bound_port(self.process.listener.listener)
        self.admin_port = bound_port(self.process.admin.listener)

    def configuration(self, settings: dict[str, Any], socket_limit: int) -> dict[str, Any]:
        """Return the contents of a configuration file for this gateway."""
        return {
            "name": "n0",
            "listen": f"{HOST}:1",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": socket_limit},
            "known": {"generation": 1, "reset": True, "instances": list(self.discovery.entries.values())},
            "settings": settings,
        }

    async def connect_client(self, receive_buffer: int = 0) -> Client:
        """Connect a client; `receive_buffer` is its socket's buffer in bytes, 0 for the default."""
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self.port))
        return Client(*await asyncio.open_connection(sock=sock))

    async def connect_admin(self) -> Client:
        """Connect to the admin server."""
        return Client(*await asyncio.open_connection(HOST, self.admin_port))

    async def call_admin(self, method: str, path: str) -> tuple[int, str]:
        """Call the admin API once and return the status and text of the response.

        The gateway must close the connection afterwards.
        """
        client = await self.connect_admin()
        status, _, text = await client.exchange(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        assert await client.wait_closed()
        client.writer.close()
        return status, text.decode()

    async def metrics(self) -> dict[str, int]:
        """Read all metrics from the admin API, by name without the prefix `svc.`."""
        status, text = await self.call_admin("GET", "/stats")
        assert status == 200
        pairs = (line.partition("=") for line in text.splitlines())
        return {name.removeprefix("svc."): int(value) for name, _, value in pairs}

    def received_requests(self) -> list[HttpMessage]:
        """Return the requests that all backends have received."""
        return [request for backend in self.backends for request in backend.requests]


def bound_port(listening: socket.socket | None) -> int:
    """Return the port of a listening socket, which must not be None."""
    assert listening is not None
    port: int = listening.getsockname()[1]
    return port


def high_quota_settings(**limits: Any) -> dict[str, Any]:
    """Return settings whose first plan has enough quota to forward its requests without queue or counter."""
    settings = example_settings(**limits)
    settings["packages"][0].update(peak_units=400.0, units_per_s=100.0)
    return settings


@asynccontextmanager
async def running_gateway(
    backends: int = 1, settings: dict[str, Any] | None = None, socket_limit: int = SOCKET_LIMIT
) -> AsyncIterator[GatewayHarness]:
    """Run a gateway with at most `socket_limit` sockets; `settings` default to `high_quota_settings`."""
    harness = GatewayHarness(backends)
    await harness.start(settings or high_quota_settings(), socket_limit)
    try:
        yield harness
    finally:
        if not harness.process.listener.stopping:
            await harness.process.stop(0.0, 0.0)
        # The event loop keeps running, and so do the timers of the stopped engine: their calls would go to
        # the counter's port, which another server may have been given by then.
        harness.process.dispatcher.counter = None
        for upstream in harness.upstreams:
            await upstream.stop()
