"""A connection pool with one scripted endpoint on loopback, and attempts whose results can be awaited."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

from quota_gateway.model.outcomes import Outcome
from quota_gateway.policy.permissions import RefusalReason
from quota_gateway.upstream.attempt import AttemptResult, UpstreamAttempt
from quota_gateway.upstream.connection_pool import ConnectionPool
from tests.fakes import HOST, FakeBackend, HttpMessage, ResponseStep

ENDPOINT_ID = "b"
REQUEST_BODY = b"ab"
ATTEMPT_TIMEOUT = 5.0  # seconds; long enough that no test reaches it
CONNECT_TIMEOUT = 0.25  # seconds
KEEPALIVE_TIMEOUT = 60.0  # seconds
MAX_CONNECTIONS = 10


class RecordingOwner:
    """Owns an attempt and provides its result as a future."""

    answered = False
    attempt_start_deadline: float | None = None
    client_deadline = math.inf

    def __init__(self) -> None:
        self.result: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()

    def attempt_ended(self, attempt: UpstreamAttempt, result: AttemptResult) -> None:
        self.result.set_result(result)

    def find_refusal(self, send_deadline: float | None, now: float) -> RefusalReason | None:
        is_over = send_deadline is not None and now >= send_deadline
        return RefusalReason.WINDOW_OVER if is_over else None


class StartedAttempt(NamedTuple):
    """An attempt and the future of its result."""

    attempt: UpstreamAttempt
    result: asyncio.Future[AttemptResult]


def new_attempt(
    pool: ConnectionPool,
    endpoint_id: str = ENDPOINT_ID,
    timeout: float = ATTEMPT_TIMEOUT,
    body: bytes = REQUEST_BODY,
) -> StartedAttempt:
    """Return an attempt that has not been started; `timeout` is in seconds."""
    owner = RecordingOwner()
    now = pool.clock()
    head = b"POST /api HTTP/1.1\r\nX-Call-Id: 1\r\nContent-Length: %d\r\n" % len(body)
    attempt = UpstreamAttempt(endpoint_id, head, body, now, now + timeout, 0, owner)
    return StartedAttempt(attempt, owner.result)


class AttemptSender:
    """Starts attempts on a connection pool."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool

    def start(self, timeout: float = ATTEMPT_TIMEOUT, body: bytes = REQUEST_BODY) -> StartedAttempt:
        started = new_attempt(self.pool, timeout=timeout, body=body)
        self.pool.start_attempt(started.attempt)
        return started

    async def result(self) -> AttemptResult:
        return await self.start().result

    async def outcome(self, timeout: float = ATTEMPT_TIMEOUT) -> Outcome:
        return (await self.start(timeout).result).outcome


class ManualTimer(NamedTuple):
    """A timer that fires only when a test calls `fire`; `delay` is in seconds."""

    delay: float
    fire: Callable[[], None]


class ManualTimerLoop:
    """Wraps the running event loop, so that its timers fire only when a test fires them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.create_task = loop.create_task
        self.create_connection = loop.create_connection
        self.loop = loop
        self.timers: dict[str, ManualTimer] = {}  # the latest timer of each callback, by its name
        self.timer_added = asyncio.Event()

    def call_later(
        self, delay: float, callback: Callable[..., None], *arguments: object
    ) -> asyncio.TimerHandle:
        self.timers[callback.__name__] = ManualTimer(delay, lambda: callback(*arguments))
        self.timer_added.set()
        return self.loop.call_later(1e6, callback, *arguments)  # a handle that can be cancelled

    async def timer(self, callback_name: str) -> ManualTimer:
        """Wait until a timer is set for the callback, and return it."""
        while callback_name not in self.timers:
            self.timer_added.clear()
            await self.timer_added.wait()
        return self.timers[callback_name]


@asynccontextmanager
async def running_pool(
    *script: ResponseStep, keepalive: float = KEEPALIVE_TIMEOUT
) -> AsyncIterator[tuple[AttemptSender, FakeBackend]]:
    """Run an endpoint that follows `script`, and a pool with its address; `keepalive` is in seconds."""
    endpoint = FakeBackend()
    await endpoint.start()
    endpoint.script = list(script)
    pool = ConnectionPool(asyncio.get_running_loop().time, CONNECT_TIMEOUT, keepalive, MAX_CONNECTIONS)
    pool.set_endpoint(ENDPOINT_ID, address_of(endpoint))
    yield AttemptSender(pool), endpoint
    pool.close()
    await endpoint.stop()


@asynccontextmanager
async def pool_without_connects() -> AsyncIterator[AttemptSender]:
    """Run a pool whose connects don't complete, because the endpoint's accept queue is full."""
    with socket.socket() as listener, socket.socket() as filler:
        listener.bind((HOST, 0))
        listener.listen(0)
        filler.connect(listener.getsockname())
        pool = ConnectionPool(asyncio.get_running_loop().time, 30.0, KEEPALIVE_TIMEOUT, MAX_CONNECTIONS)
        pool.set_endpoint(ENDPOINT_ID, listener.getsockname())
        yield AttemptSender(pool)
        pool.close()


def address_of(endpoint: FakeBackend) -> tuple[str, int]:
    host, _, port = endpoint.address.rpartition(":")
    return host, int(port)


def respond_with(text: bytes, close: bool = False) -> ResponseStep:
    """Return a step that writes `text`, and then closes the connection if `close` is set."""

    def step(writer: asyncio.StreamWriter, request: HttpMessage) -> None:
        writer.write(text)
        if close:
            writer.close()

    return step


def abort_connection(writer: asyncio.StreamWriter, request: HttpMessage) -> None:
    """Close the connection without a response."""
    writer.transport.abort()
