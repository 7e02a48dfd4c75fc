"""No attempt, whether the first or a retry, starts more than 0.1 s after its client disconnected.

The tests run on a virtual clock. They combine each kind of disconnect with each state of the request and with
several delays of the event that the request waits for. On a busy core each policy event takes CPU time.
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

MAX_START_DELAY = 0.1  # seconds after the disconnect, set by the protocol
RELEASE_DELAYS = [0.02, 0.105, 0.125, 0.15, 0.4]  # seconds from the disconnect to the release
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
BURST_SIZE = 500  # clients that disconnect at once
EVENT_COST = 0.0004  # seconds of CPU time for each event on a busy core


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)


class TimedRequests(list[HttpMessage]):
    """A list of requests that also records when each was complete."""

    def __init__(self, times: list[float]) -> None:
        super().__init__()
        self.times = times

    def append(self, received: HttpMessage) -> None:
        self.times.append(virtual_clock_loop().now)
        super().append(received)


class RecordingBackend(FakeBackend):
    """Records when requests arrive, and each connection's first byte, as a long body may stay incomplete."""

    def __init__(self) -> None:
        super().__init__()
        self.started_at: list[float] = []
        self.requests = TimedRequests(self.started_at)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = await reader.readexactly(1)
        self.started_at.append(virtual_clock_loop().now)
        reader._buffer[:0] = first  # type: ignore[attr-defined]  # put back for `read_message`
        await super().serve(reader, writer)


def with_long_timeouts(settings: dict[str, Any]) -> dict[str, Any]:
    """Allow eight seconds each for a counter reply, a connect and an attempt."""
    settings["domain"]["count_limit"] = 8000.0
    settings["limits"]["dial_timeout"] = 8000.0
    for service in settings["services"]:
        service["aim"] = 8000.0
    return settings


async def wait_for(condition: Callable[[], bool]) -> None:
    """Wait for the condition, which is checked every 0.5 ms of the virtual clock."""
    async with asyncio.timeout(10.0):
        while not condition():  # noqa: ASYNC110 (no event marks the gateway's internal state)
            await asyncio.sleep(0.0005)


def serve_without_units(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.write(http_response(200))  # without Billed-Units the estimate stays


def disconnect(client: Client, disconnect_kind: str) -> None:
    if disconnect_kind == "closes":
        client.writer.transport.abort()  # a close without a reset, since no data is unread
    elif disconnect_kind == "resets":
        client.reset()
    else:
        client.writer.write_eof()


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A gateway and a client whose last request waits until `release` is called."""

    harness: GatewayHarness
    client: Client
    release: Callable[[], None]


def attempt_starts(harness: GatewayHarness) -> list[float]:
    """Return the times at which attempts arrived at the backends."""
    return sorted(t for b in harness.backends if isinstance(b, RecordingBackend) for t in b.started_at)


@asynccontextmanager
async def recording_gateway(backends: int, settings: dict[str, Any]) -> AsyncIterator[GatewayHarness]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("tests.harness.FakeBackend", RecordingBackend)
        async with running_gateway(backends, with_long_timeouts(settings)) as harness:
            yield harness


def port_of(backend: FakeBackend) -> int:
    return int(backend.address.rpartition(":")[2])


def fail_after(
    event: asyncio.Event, state: str
) -> Callable[[asyncio.StreamWriter, HttpMessage], Awaitable[None]]:
    """Return a step that rejects the request or aborts the connection when the event is set."""

    async def answer(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
        await event.wait()
        if state == "rejected":
            writer.write(http_response(503, b"", "X-Rejected: 1"))
        else:
            writer.transport.abort()

    return answer


async def wait_for_counter(harness: GatewayHarness, client: Client, state: str) -> Callable[[], None]:
    """Send requests that wait for the counter; in state "paused", enough of them to pause reading."""
    harness.counter.replies_enabled.clear()
    count = {"counter": 1, "pipelined": 2, "paused": 8 * MAX_PIPELINED_REQUESTS}[state]
    client.send(b"".join(request(n) for n in range(count)))
    active_requests = harness.process.dispatcher.active_requests
    await wait_for(lambda: len(active_requests) >= min(count, MAX_PIPELINED_REQUESTS))
    if state == "paused":
        await wait_for(lambda: any(c.read_paused for c in harness.process.listener.connections))
    return harness.counter.replies_enabled.set


async def wait_in_queue(harness: GatewayHarness, client: Client) -> Callable[[], None]:
    """Send a request that is queued because its customer's burst is used up."""
    dispatcher = harness.process.dispatcher
    for backend in harness.backends:
        backend.script = [serve_without_units, serve_without_units]
    for number, units in enumerate(("8", "4")):  # the entire burst
        assert (await client.exchange(request(number, plan="pro", units=units)))[0] == 200
    client.send(request(9, plan="pro"))
    (limiter,) = dispatcher.engine.limiter_registry.limiters.values()
    await wait_for(lambda: bool(limiter.queue))

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
    await wait_for(lambda: bool(harness.process.pool.connecting_attempts))


async def wait_for_backend(
    harness: GatewayHarness, client: Client, state: str, connect_time: float
) -> Callable[[], None]:
    """Send a request whose first attempt fails at the release; if "reconnecting", its retry connects."""
    event = asyncio.Event()
    for backend in harness.backends:
        backend.script = [fail_after(event, state)]
    client.send(request(9))
    await wait_for(lambda: any(b.requests for b in harness.backends))
    if state == "reconnecting":
        virtual_clock_loop().connect_delays = {port_of(b): connect_time for b in harness.backends}
        event.set()
        await wait_for(lambda: bool(harness.process.pool.connecting_attempts))
    return event.set


@asynccontextmanager
async def waiting_request(state: str, connect_time: float) -> AsyncIterator[WaitingRequest]:
    """Start a gateway and bring a request into a state.

    In the states that wait for a connection, a connect to a backend takes `connect_time` seconds. The client
    disconnects right after this yields, so that the time counts from the disconnect.
    """
    uses_counter = state in ("counter", "queued", "pipelined", "paused")
    async with recording_gateway(2, example_settings() if uses_counter else high_quota_settings()) as harness:
        client = await harness.connect_client()
        release: Callable[[], None] = asyncio.Event().set  # no effect: the connect completes by itself
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


@pytest.mark.parametrize("disconnect_kind", DISCONNECTS)
@pytest.mark.parametrize("state", STATES)
def test_no_attempt_starts_after_disconnect(state: str, disconnect_kind: str) -> None:
    delays: list[float] = []

    async def test() -> None:
        for release_delay in RELEASE_DELAYS:
            async with waiting_request(state, release_delay) as waiting:
                disconnected_at = virtual_clock_loop().now
                disconnect(waiting.client, disconnect_kind)
                await asyncio.sleep(release_delay)
                waiting.release()
                await asyncio.sleep(3.0)
                delays.extend(t - disconnected_at for t in attempt_starts(waiting.harness))
                dispatcher = waiting.harness.process.dispatcher
                assert not dispatcher.engine.forwarder.requests and not dispatcher.active_requests
                assert not waiting.harness.process.pool.connecting_attempts
                for limiter in dispatcher.engine.limiter_registry.limiters.values():
                    assert limiter.queued_units == 0 and not limiter.queue and not limiter.in_flight
            virtual_clock_loop().connect_delays = {}

    run_on_virtual_clock(test)
    print(
        f"{state}, {disconnect_kind}: latest attempt {max(delays, default=-1.0):.3f} s after the disconnect"
    )
    assert max(delays, default=0.0) <= MAX_START_DELAY


@pytest.mark.parametrize("disconnect_kind", DISCONNECTS)
@pytest.mark.virtual_clock
async def test_disconnected_clients_units_are_refunded_once(disconnect_kind: str) -> None:
    for state in ("counter", "connecting"):
        async with waiting_request(state, 0.2) as waiting:
            (limiter,) = waiting.harness.process.dispatcher.engine.limiter_registry.limiters.values()
            limiter.rate = 0.0  # no refill
            balance_before = limiter.balance + (1.0 if state == "connecting" else limiter.queued_units)
            disconnect(waiting.client, disconnect_kind)
            await asyncio.sleep(0.15)
            waiting.release()
            await asyncio.sleep(1.0)
            limiter.rate = 0.0
            if state == "connecting":
                assert limiter.balance == pytest.approx(balance_before)
            reported = sum(amount for _, amount in waiting.harness.counter.increments)
            assert reported + limiter.unreported_units == pytest.approx(0.0)
        virtual_clock_loop().connect_delays = {}


@pytest.mark.parametrize("disconnect_kind", DISCONNECTS)
@pytest.mark.parametrize("state", ["counter", "connecting"])
@pytest.mark.virtual_clock
async def test_disconnect_burst_starts_no_late_attempt(
    state: str, disconnect_kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """On a busy core the last disconnect is read 0.2 s late, when the requests have been released."""
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
    async with recording_gateway(
        2, example_settings() if state == "counter" else high_quota_settings()
    ) as harness:
        dispatcher = harness.process.dispatcher
        clients = [await harness.connect_client() for _ in range(BURST_SIZE)]
        harness.counter.replies_enabled.clear()
        if state == "connecting":
            loop.connect_delays = {port_of(b): 0.12 for b in harness.backends}
            for endpoint in dispatcher.engine.endpoints.values():
                endpoint.concurrency_limit = BURST_SIZE
        for number, client in enumerate(clients):
            client.send(request(number, customer=f"{number:016x}"))
        await wait_for(lambda: len(dispatcher.active_requests) >= 0.6 * BURST_SIZE)
        waiting_count, disconnected_at, busy = len(dispatcher.active_requests), loop.now, True
        for client in clients:
            disconnect(client, disconnect_kind)
        if state == "counter":
            harness.counter.replies_enabled.set()
        await asyncio.sleep(2.0)
        busy = False
        delays = [t - disconnected_at for t in attempt_starts(harness)]
        print(
            f"burst, {state}, {disconnect_kind}: {waiting_count} requests waited, the last disconnect was "
            f"detected after {max(detected_at, default=disconnected_at) - disconnected_at:.3f} s, "
            f"latest attempt {max(delays, default=-1.0):.3f} s after it"
        )
        assert max(delays, default=0.0) <= MAX_START_DELAY
        await asyncio.sleep(3.0)
        assert not dispatcher.engine.forwarder.requests and not dispatcher.active_requests
