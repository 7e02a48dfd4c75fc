"""No attempt, first or retry, starts more than 0.1 s after its client disconnected.

On a virtual clock. A client disconnects in each way from each state of its request, and what the request
waited for arrives at several times after that. On a busy core each event of the policy takes processor time.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest

from quota_gateway.body_streaming import MAX_BUFFERED_BYTES
from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.downstream.client_connection import MAX_PIPELINED_REQUESTS
from quota_gateway.downstream.half_close import HalfClose
from quota_gateway.model.timers import ReleaseQueueTimer
from tests.fakes import FakeBackend, HttpMessage, example_settings, http_response
from tests.harness import Client, GatewayHarness, high_quota_settings, request, running_gateway
from tests.virtual_clock import run_on_virtual_clock, virtual_clock_loop, virtual_unix_clock

MAX_START_DELAY = 0.1  # seconds after the disconnect: the protocol's limit
RELEASE_DELAYS = [0.02, 0.105, 0.125, 0.15, 0.4]  # seconds from the disconnect to what the request waits for
DISCONNECTS = ["closes", "resets", "half-closes"]
STATES = [
    "counter",
    "connecting",
    "rejected",
    "reset",
    "reconnecting",
    "pipelined",
    "paused",
    "uploading",
    "queued",
]
BURST_SIZE = 500  # clients
EVENT_COST = 0.0004  # seconds of processor time for each event on a busy core


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)


class TimedRequests(list[HttpMessage]):
    """Requests with the time at which each was complete, for short ones that of its first byte."""

    def __init__(self, times: list[float]) -> None:
        super().__init__()
        self.times = times

    def append(self, asked: HttpMessage) -> None:
        self.times.append(virtual_clock_loop().now)
        super().append(asked)


class RecordingBackend(FakeBackend):
    """Records the arrival of requests, and of each connection's first byte: a long body may not complete."""

    def __init__(self) -> None:
        super().__init__()
        self.started_at: list[float] = []
        self.requests = TimedRequests(self.started_at)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = await reader.readexactly(1)
        self.started_at.append(virtual_clock_loop().now)
        reader._buffer[:0] = first  # type: ignore[attr-defined]  # put back, so that the whole message is read
        await super().serve(reader, writer)


def with_long_timeouts(env: dict[str, Any]) -> dict[str, Any]:
    """Allow seconds for the counter, a connect and an attempt."""
    env["domain"]["count_limit"] = 8000.0
    env["limits"]["dial_timeout"] = 8000.0
    for service in env["services"]:
        service["aim"] = 8000.0
    return env


async def until(condition: Callable[[], bool]) -> None:
    """Wait for the condition, in steps of the virtual clock."""
    async with asyncio.timeout(10.0):
        while not condition():  # noqa: ASYNC110 (no event marks the gateway's internal state)
            await asyncio.sleep(0.0005)


def serve_without_units(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
    writer.write(http_response(200))  # without Billed-Units the estimate stays


def disconnect(client: Client, how: str) -> None:
    if how == "closes":
        client.writer.transport.abort()  # nothing is unread, so that this is a close without a reset
    elif how == "resets":
        client.reset()
    else:
        client.writer.write_eof()


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A gateway whose client's last request waits until `release` is called."""

    harness: GatewayHarness
    client: Client
    release: Callable[[], None]


def attempt_starts(harness: GatewayHarness) -> list[float]:
    """Return the times at which attempts arrived at the backends."""
    return sorted(t for b in harness.backends if isinstance(b, RecordingBackend) for t in b.started_at)


@asynccontextmanager
async def recording(backends: int, env: dict[str, Any]) -> AsyncIterator[GatewayHarness]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("tests.harness.FakeBackend", RecordingBackend)
        async with running_gateway(backends, with_long_timeouts(env)) as harness:
            yield harness


def port_of(backend: FakeBackend) -> int:
    return int(backend.address.rpartition(":")[2])


def answer_after(
    event: asyncio.Event, state: str
) -> Callable[[asyncio.StreamWriter, HttpMessage], Awaitable[None]]:
    """Make a backend that rejects its request, or resets the connection, at the event."""

    async def answer(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
        await event.wait()
        if state == "rejected":
            writer.write(http_response(503, b"", "X-Rejected: 1"))
        else:
            writer.transport.abort()

    return answer


async def wait_for_counter(harness: GatewayHarness, client: Client, state: str) -> Callable[[], None]:
    """Send requests that wait for the counter, up to a number at which reading pauses."""
    harness.counter.replies_enabled.clear()
    number = {"counter": 1, "pipelined": 2, "paused": 8 * MAX_PIPELINED_REQUESTS}[state]
    client.send(b"".join(request(n) for n in range(number)))
    active_requests = harness.process.dispatcher.active_requests
    await until(lambda: len(active_requests) >= min(number, MAX_PIPELINED_REQUESTS))
    if state == "paused":
        await until(lambda: any(c.read_paused for c in harness.process.listener.connections))
    return harness.counter.replies_enabled.set


async def wait_in_queue(harness: GatewayHarness, client: Client) -> Callable[[], None]:
    """Send a request that is queued, as its customer's burst is used up."""
    dispatcher = harness.process.dispatcher
    for backend in harness.backends:
        backend.script = [serve_without_units, serve_without_units]
    for number, units in enumerate(("8", "4")):  # the whole burst
        assert (await client.exchange(request(number, plan="pro", units=units)))[0] == 200
    client.send(request(9, plan="pro"))
    (limiter,) = dispatcher.engine.limiter_registry.limiters.values()
    await until(lambda: bool(limiter.queue))

    def release() -> None:
        limiter.balance += 4.0
        dispatcher.engine.context.now = dispatcher.clock()
        dispatcher.timer_fired(ReleaseQueueTimer(limiter.customer), dispatcher.clock())

    return release


async def wait_for_connection(
    harness: GatewayHarness, client: Client, connect_time: float, text: bytes
) -> None:
    """Send a request whose first attempt waits for a connection."""
    virtual_clock_loop().connect_delays = {port_of(b): connect_time for b in harness.backends}
    client.send(text)
    await until(lambda: bool(harness.process.pool.connecting_attempts))


async def wait_for_backend(
    harness: GatewayHarness, client: Client, state: str, connect_time: float
) -> Callable[[], None]:
    """Send a request whose first attempt fails at the release, or has failed and is being retried."""
    event = asyncio.Event()
    for backend in harness.backends:
        backend.script = [answer_after(event, state)]
    client.send(request(9))
    await until(lambda: any(b.requests for b in harness.backends))
    if state == "reconnecting":
        virtual_clock_loop().connect_delays = {port_of(b): connect_time for b in harness.backends}
        event.set()
        await until(lambda: bool(harness.process.pool.connecting_attempts))
    return event.set


@asynccontextmanager
async def waiting_request(state: str, connect_time: float) -> AsyncIterator[WaitingRequest]:
    """Start a gateway and bring a request into a state.

    `connect_time`: seconds until a connection to a backend is made, in the states that wait for one. The
    client disconnects a moment after this yields, so that it counts from there.
    """
    counted = state in ("counter", "queued", "pipelined", "paused")
    async with recording(2, example_settings() if counted else high_quota_settings()) as harness:
        client = await harness.connect_client()
        release: Callable[[], None] = asyncio.Event().set  # with no effect: the connect time passes by itself
        match state:
            case "counter" | "pipelined" | "paused":
                release = await wait_for_counter(harness, client, state)
            case "queued":
                release = await wait_in_queue(harness, client)
            case "uploading":
                partial_request = request(9, "extract", body=b"x" * 4 * MAX_BUFFERED_BYTES)[
                    : 2 * MAX_BUFFERED_BYTES
                ]
                await wait_for_connection(harness, client, connect_time, partial_request)
            case "connecting":
                await wait_for_connection(harness, client, connect_time, request(9))
            case _:
                release = await wait_for_backend(harness, client, state, connect_time)
        yield WaitingRequest(harness, client, release)


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("state", STATES)
def test_no_attempt_starts_after_the_client_disconnected(state: str, how: str) -> None:
    delays: list[float] = []

    async def test() -> None:
        for release_delay in RELEASE_DELAYS:
            async with waiting_request(state, release_delay) as case:
                disconnected_at = virtual_clock_loop().now
                disconnect(case.client, how)
                await asyncio.sleep(release_delay)
                case.release()
                await asyncio.sleep(3.0)
                delays.extend(t - disconnected_at for t in attempt_starts(case.harness))
                dispatcher = case.harness.process.dispatcher
                assert not dispatcher.engine.forwarder.requests and not dispatcher.active_requests
                assert not case.harness.process.pool.connecting_attempts
                for limiter in dispatcher.engine.limiter_registry.limiters.values():
                    assert limiter.queued_units == 0 and not limiter.queue and not limiter.in_flight
            virtual_clock_loop().connect_delays = {}

    run_on_virtual_clock(test)
    print(f"{state}, {how}: latest attempt {max(delays, default=-1.0):.3f} s after the disconnect")
    assert max(delays, default=0.0) <= MAX_START_DELAY


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.virtual_clock
async def test_units_of_a_disconnected_client_are_refunded_exactly_once(how: str) -> None:
    for state in ("counter", "connecting"):
        async with waiting_request(state, 0.2) as case:
            (limiter,) = case.harness.process.dispatcher.engine.limiter_registry.limiters.values()
            limiter.rate = 0.0  # no refill over time
            before = limiter.balance + (1.0 if state == "connecting" else limiter.queued_units)
            disconnect(case.client, how)
            await asyncio.sleep(0.15)
            case.release()
            await asyncio.sleep(1.0)
            limiter.rate = 0.0
            if state == "connecting":
                assert limiter.balance == pytest.approx(before)
            counted = sum(amount for _, amount in case.harness.counter.increments)
            assert counted + limiter.unreported_units == pytest.approx(
                0.0
            )  # reported, and yet to be reported
        virtual_clock_loop().connect_delays = {}


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("state", ["counter", "connecting"])
@pytest.mark.virtual_clock
async def test_burst_of_disconnects_on_a_busy_core_starts_no_late_attempt(
    state: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The last of the disconnects is read 0.2 s after it happened, when the requests have been released."""
    busy = False
    detected_at: list[float] = []
    handle, start_grace_period = RequestDispatcher.handle, HalfClose.start

    def handle_slowly(dispatcher: RequestDispatcher, event: Any, due: float) -> None:
        if busy:
            virtual_clock_loop().now += EVENT_COST
        handle(dispatcher, event, due)

    def start_slowly(half_close: HalfClose, earliest_close: float) -> None:
        if busy:
            virtual_clock_loop().now += EVENT_COST
        detected_at.append(virtual_clock_loop().now)
        start_grace_period(half_close, earliest_close)

    monkeypatch.setattr(RequestDispatcher, "handle", handle_slowly)
    monkeypatch.setattr(HalfClose, "start", start_slowly)
    loop = virtual_clock_loop()
    async with recording(2, example_settings() if state == "counter" else high_quota_settings()) as harness:
        dispatcher = harness.process.dispatcher
        clients = [await harness.connect_client() for _ in range(BURST_SIZE)]
        harness.counter.replies_enabled.clear()
        if state == "connecting":
            loop.connect_delays = {port_of(b): 0.12 for b in harness.backends}
            for endpoint in dispatcher.engine.endpoints.values():
                endpoint.concurrency_limit = BURST_SIZE
        for number, client in enumerate(clients):
            client.send(request(number, customer=f"{number:016x}"))
        await until(lambda: len(dispatcher.active_requests) >= 0.6 * BURST_SIZE)
        waiting, disconnected_at, busy = len(dispatcher.active_requests), loop.now, True
        for client in clients:
            disconnect(client, how)
        if state == "counter":
            harness.counter.replies_enabled.set()
        await asyncio.sleep(2.0)
        busy = False
        delays = [t - disconnected_at for t in attempt_starts(harness)]
        print(
            f"burst, {state}, {how}: {waiting} requests waited, the last disconnect was detected after "
            f"{max(detected_at, default=disconnected_at) - disconnected_at:.3f} s, "
            f"latest attempt {max(delays, default=-1.0):.3f} s after it"
        )
        assert max(delays, default=0.0) <= MAX_START_DELAY
        await asyncio.sleep(3.0)
        assert not dispatcher.engine.forwarder.requests and not dispatcher.active_requests
