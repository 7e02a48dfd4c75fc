"""When input came that is read late, where the kernel does not tell it."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.downstream.arrival_bound import RECORDING_INTERVAL, ArrivalBound, EventLoopMonitor
from quota_gateway.downstream.flow_control import ARRIVAL_TOLERANCE, FlowControlledConnection
from tests.harness import Client, GatewayHarness, request, running_gateway
from tests.virtual_clock import virtual_clock_loop, virtual_unix_clock

HOLD_UP = 0.4  # seconds


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)


@pytest.fixture
def silent_kernel(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have the kernel not tell when bytes came."""
    monkeypatch.setattr(FlowControlledConnection, "seconds_since_last_data", lambda connection: None)


async def told_time(harness: GatewayHarness, client: Client, text: bytes) -> float:
    """Send a request and return the time in seconds that its backend is told."""
    assert (await client.exchange(text))[0] == 200
    return float(harness.backends[0].requests[-1].headers["x-budget"])


@pytest.mark.virtual_clock
async def test_the_bound_is_within_two_turns_unless_the_loop_is_held_up() -> None:
    loop = virtual_clock_loop()
    monitor = EventLoopMonitor(loop, loop.time)
    bound = ArrivalBound(monitor, loop.now, loop.now)
    for _ in range(50):
        await asyncio.sleep(0.0071)
        assert loop.now - bound.earliest() <= 2 * RECORDING_INTERVAL + 0.0071 <= ARRIVAL_TOLERANCE
    held_up_at = loop.now
    loop.now += HOLD_UP
    assert bound.earliest() <= held_up_at
    await asyncio.sleep(0)  # the turn that reports what came in the hold-up
    assert bound.earliest() <= held_up_at
    await asyncio.sleep(3 * RECORDING_INTERVAL)
    assert bound.earliest() >= held_up_at + HOLD_UP
    monitor.close()


@pytest.mark.virtual_clock
async def test_input_that_was_left_unread_is_bounded_by_when_that_began() -> None:
    loop = virtual_clock_loop()
    monitor = EventLoopMonitor(loop, loop.time)
    bound = ArrivalBound(monitor, loop.now, loop.now)
    await asyncio.sleep(1.0)
    paused_at = loop.now
    bound.mark_unread(paused_at)
    await asyncio.sleep(2.0)
    bound.watch(loop.now)
    assert paused_at - 3 * RECORDING_INTERVAL <= bound.earliest() <= paused_at
    await asyncio.sleep(1.0)
    assert bound.earliest() >= paused_at + 2.0
    monitor.close()


@pytest.mark.usefixtures("silent_kernel")
@pytest.mark.virtual_clock
async def test_without_the_kernels_word_the_whole_hold_up_counts() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        usual = await told_time(harness, client, request(1, budget=0.9))
        client.send(request(2, budget=0.9))
        virtual_clock_loop().now += HOLD_UP
        assert (await client.read_response())[0] == 200
        told = float(harness.backends[0].requests[-1].headers["x-budget"])
        assert usual - HOLD_UP - ARRIVAL_TOLERANCE <= told <= usual - HOLD_UP
        await asyncio.sleep(0.2)
        assert await told_time(harness, client, request(3, budget=0.9)) == usual


@pytest.mark.usefixtures("silent_kernel")
@pytest.mark.virtual_clock
async def test_a_client_that_rested_after_its_accept_has_its_whole_time() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        await asyncio.sleep(2.0)
        rested = await told_time(harness, client, request(1, budget=0.9))
        assert rested == await told_time(harness, client, request(2, budget=0.9))


@pytest.mark.usefixtures("silent_kernel")
@pytest.mark.virtual_clock
async def test_connections_that_wait_to_be_accepted_count_from_the_pause() -> None:
    async with running_gateway() as harness:
        listener = harness.process.listener
        await asyncio.sleep(0.2)
        listener.pause_accepting()
        assert listener.accept_timer is not None
        listener.accept_timer.cancel()  # the pause goes on
        client = await harness.connect_client()
        client.send(request(1, budget=0.9))
        await asyncio.sleep(HOLD_UP)
        listener.resume_accepting()
        assert (await client.read_response())[0] == 200
        told = float(harness.backends[0].requests[-1].headers["x-budget"])
        assert told <= 0.9 - HOLD_UP
