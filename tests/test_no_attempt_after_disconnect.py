"""A client that closes has gone: no attempt, first or further, begins more than 0.1 s later.

By a clock of the tests' own. Each state that a request can be in is left by each kind of end, and what the
request waited for comes at several times after it. On a busy core each event of the module takes its time.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from quota_gateway.body_streaming import HELD
from quota_gateway.dispatch.dispatcher import RequestDispatcher
from quota_gateway.downstream.client_connection import MAX_PIPELINED_REQUESTS
from quota_gateway.downstream.half_close import HalfClose
from quota_gateway.model.timers import ReleaseQueueTimer
from tests.fakes import Asked, FakeBackend, message, serve, settings_text
from tests.harness import Client, GatewayHarness, request, roomy_settings, running
from tests.virtual_clock import run_on_virtual_clock, start_clock, this_loop

ALLOWED = 0.1  # seconds
AFTER = [0.02, 0.105, 0.125, 0.15, 0.4]  # seconds after the client's end at which what is waited for comes
ENDS = ["closes", "resets", "half-closes"]
STATES = ["counter", "dial", "turned away", "cut", "dial again", "pipelined", "paused", "uploading", "held"]
BURST = 500


@pytest.fixture(autouse=True)
def on_this_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quota_gateway.gateway_process.start_clock", start_clock)


class Timed(list[Asked]):
    """Requests with the time at which each was whole, which for short ones is that of its first byte."""

    def __init__(self, times: list[float]) -> None:
        super().__init__()
        self.times = times

    def append(self, asked: Asked) -> None:
        self.times.append(this_loop().now)
        super().append(asked)


class Recorder(FakeBackend):
    """Notes when a request came, and the first byte of each connection: of a long one no more may come."""

    def __init__(self) -> None:
        super().__init__()
        self.begun: list[float] = []
        self.seen = Timed(self.begun)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = await reader.readexactly(1)
        self.begun.append(this_loop().now)
        reader._buffer[:0] = first  # type: ignore[attr-defined]  # put back, for the whole to be read
        await super().serve(reader, writer)


def patient(env: dict[str, Any]) -> dict[str, Any]:
    """The counter may take seconds, and so may a dial and an attempt."""
    env["domain"]["count_limit"] = 8000.0
    env["limits"]["dial_timeout"] = 8000.0
    for service in env["services"]:
        service["aim"] = 8000.0
    return env


async def until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(10.0):
        while not done():
            await asyncio.sleep(0.0005)


def plain(writer: asyncio.StreamWriter, asked: Asked) -> None:
    writer.write(message(200))  # the units stay as they were guessed


def leave(client: Client, how: str) -> None:
    if how == "closes":
        client.writer.transport.abort()  # nothing is unread, so that this is an end like any other
    elif how == "resets":
        client.reset()
    else:
        client.writer.write_eof()


class Waiting:
    """A gateway whose client's last request waits for `come`, as its state has it."""

    def __init__(self, bed: GatewayHarness, client: Client, come: Callable[[], None]) -> None:
        self.bed, self.client, self.come = bed, client, come

    @property
    def begun(self) -> list[float]:
        return sorted(t for b in self.bed.backends if isinstance(b, Recorder) for t in b.begun)


@asynccontextmanager
async def recorded(backends: int, env: dict[str, Any]) -> AsyncIterator[GatewayHarness]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("tests.harness.FakeBackend", Recorder)
        async with running(backends, patient(env)) as bed:
            yield bed


def port_of(backend: FakeBackend) -> int:
    return int(backend.address.rpartition(":")[2])


def step(event: asyncio.Event, how: str) -> Callable[[asyncio.StreamWriter, Asked], Awaitable[None]]:
    """A backend's answer at the event: turned away, cut, or served."""

    async def answer(writer: asyncio.StreamWriter, asked: Asked) -> None:
        await event.wait()
        if how == "turned away":
            writer.write(message(503, b"", "X-Rejected: 1"))
        elif how == "serves":
            serve(writer, asked)
        else:
            writer.transport.abort()

    return answer


@asynccontextmanager
async def waiting(state: str, comes: float) -> AsyncIterator[Waiting]:
    """`comes`: seconds after the client's end, which is a moment after this yields, for dials to come up."""
    loop, event = this_loop(), asyncio.Event()
    env = settings_text() if state in ("counter", "held", "pipelined", "paused") else roomy_settings()
    async with recorded(2, env) as bed:
        client, pool, driver = await bed.client(), bed.process.pool, bed.process.dispatcher
        come = event.set
        dials = {port_of(b): comes for b in bed.backends}
        if state in ("counter", "pipelined", "paused"):
            bed.counter.free.clear()
            come = bed.counter.free.set
            number = {"counter": 1, "pipelined": 2, "paused": 8 * MAX_PIPELINED_REQUESTS}[state]
            client.send(b"".join(request(n) for n in range(number)))
            await until(lambda: len(driver.active_requests) >= min(number, MAX_PIPELINED_REQUESTS))
            if state == "paused":
                await until(lambda: any(c.paused for c in bed.process.listener.connections))
        elif state == "held":
            for backend in bed.backends:
                backend.script = [plain, plain]
            for number, units in enumerate(("8", "4")):  # all of the bank
                assert (await client.ask(request(number, plan="pro", units=units)))[0] == 200
            client.send(request(9, plan="pro"))
            (throttle,) = driver.engine.throttles.values()
            await until(lambda: bool(throttle.queue))

            def come() -> None:
                throttle.level += 4.0
                driver.engine.now = driver.clock()
                driver.timer_fired(ReleaseQueueTimer(throttle.customer), driver.clock())
        elif state == "uploading":
            loop.late = dials
            client.send(request(9, "extract", body=b"x" * 4 * HELD)[: 2 * HELD])
            await until(lambda: bool(pool.connecting))
        elif state == "dial":
            loop.late = dials
            client.send(request(9))
            await until(lambda: bool(pool.connecting))
        else:
            answer = step(event, "cut" if state == "dial again" else state)
            for backend in bed.backends:
                backend.script = [answer]
            client.send(request(9))
            await until(lambda: any(b.seen for b in bed.backends))
            if state == "dial again":
                loop.late = dials
                event.set()
                await until(lambda: bool(pool.connecting))
        yield Waiting(bed, client, come)


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("state", STATES)
def test_no_attempt_begins_once_its_client_has_gone(state: str, how: str) -> None:
    latest: list[float] = []

    async def test() -> None:
        for comes in AFTER:
            async with waiting(state, comes) as case:
                end = this_loop().now
                leave(case.client, how)
                await asyncio.sleep(comes)
                case.come()
                await asyncio.sleep(3.0)
                latest.extend(t - end for t in case.begun)
                driver = case.bed.process.dispatcher
                assert (
                    not driver.engine.jobs
                    and not driver.active_requests
                    and not case.bed.process.pool.connecting
                )
                for throttle in driver.engine.throttles.values():
                    assert throttle.held == 0 and not throttle.queue and not throttle.open
            this_loop().late = {}

    run_on_virtual_clock(test)
    print(f"gone: {state}, {how}: latest begin {max(latest, default=-1.0):.3f} s after the end")
    assert max(latest, default=0.0) <= ALLOWED


@pytest.mark.parametrize("how", ENDS)
def test_units_of_a_client_that_left_go_back_exactly_once(how: str) -> None:
    async def test() -> None:
        for state in ("counter", "dial"):
            async with waiting(state, 0.2) as case:
                (throttle,) = case.bed.process.dispatcher.engine.throttles.values()
                throttle.rate = 0.0  # so that time brings none
                before = throttle.level + (1.0 if state == "dial" else throttle.held)
                leave(case.client, how)
                await asyncio.sleep(0.15)
                case.come()
                await asyncio.sleep(1.0)
                throttle.rate = 0.0
                if state == "dial":
                    assert throttle.level == pytest.approx(before)
                told = sum(amount for _, amount in case.bed.counter.calls) + throttle.uncounted
                assert told == pytest.approx(0.0)  # what the counter was told, less what it is yet to be
            this_loop().late = {}

    run_on_virtual_clock(test)


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("state", ["counter", "dial"])
def test_five_hundred_that_leave_at_once_on_a_busy_core_begin_nothing_late(
    state: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each event takes 0.4 ms: the last end is read 0.2 s after it came, what it waited for comes before."""
    cost, busy = 0.0004, False
    reacted: list[float] = []
    handle, begin_grace_period = RequestDispatcher.handle, HalfClose.begin

    def slow(driver: RequestDispatcher, event: Any, due: float) -> None:
        if busy:
            this_loop().now += cost
        handle(driver, event, due)

    def begin(half_close: HalfClose) -> None:
        if busy:
            this_loop().now += cost
        reacted.append(this_loop().now)
        begin_grace_period(half_close)

    monkeypatch.setattr(RequestDispatcher, "handle", slow)
    monkeypatch.setattr(HalfClose, "begin", begin)

    async def test() -> None:
        nonlocal busy
        loop = this_loop()
        async with recorded(2, settings_text() if state == "counter" else roomy_settings()) as bed:
            driver = bed.process.dispatcher
            clients = [await bed.client() for _ in range(BURST)]
            bed.counter.free.clear()
            if state == "dial":
                loop.late = {port_of(b): 0.12 for b in bed.backends}
                for server in driver.engine.endpoints.values():
                    server.limit = BURST
            for number, client in enumerate(clients):
                client.send(request(number, customer=f"{number:016x}"))
            await until(lambda: len(driver.active_requests) >= 0.6 * BURST)
            before, end, busy = len(driver.active_requests), loop.now, True
            for client in clients:
                leave(client, how)
            if state == "counter":
                bed.counter.free.set()
            await asyncio.sleep(2.0)
            busy = False
            late = [t - end for b in bed.backends if isinstance(b, Recorder) for t in b.begun]
            print(
                f"gone: burst, {state}, {how}: {before} waited, the last end was heard of after "
                f"{max(reacted, default=end) - end:.3f} s, latest begin {max(late, default=-1.0):.3f} s"
            )
            assert max(late, default=0.0) <= ALLOWED
            await asyncio.sleep(3.0)
            assert not driver.engine.jobs and not driver.active_requests

    run_on_virtual_clock(test)
