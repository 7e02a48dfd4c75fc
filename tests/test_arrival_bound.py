"""Bounds on the arrival time of input that is read late, if the kernel does not report it."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.downstream.arrival_bound import RECORDING_INTERVAL, ArrivalBound, EventLoopMonitor
from quota_gateway.downstream.flow_control import ARRIVAL_TOLERANCE, FlowControlledConnection
from tests.harness import Client, GatewayHarness, request, running_gateway
from tests.virtual_clock import virtual_clock_loop, virtual_unix_clock

LOOP_STALL = 0.4  # seconds for which the event loop is stalled


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)


@pytest.fixture
def kernel_without_arrival_times(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the kernel not report when data arrived."""
    monkeypatch.setattr(FlowControlledConnection, "seconds_since_last_data", lambda connection: None)


async def forwarded_budget(harness: GatewayHarness, client: Client, text: bytes) -> float:
    """Send a request and return the time budget in seconds that its backend receives."""
    assert (await client.exchange(text))[0] == 200
    return float(harness.backends[0].requests[-1].headers["x-budget"])


@pytest.mark.virtual_clock
async def test_bound_is_within_two_turns_unless_stalled() -> None:
    loop = virtual_clock_loop()
    monitor = EventLoopMonitor(loop, loop.time)
    bound = ArrivalBound(monitor, loop.now, loop.now)
    for _ in range(50):
        await asyncio.sleep(0.0071)
        assert loop.now - bound.earliest() <= 2 * RECORDING_INTERVAL + 0.0071 <= ARRIVAL_TOLERANCE
    stalled_at = loop.now
    loop.now += LOOP_STALL
    assert bound.earliest() <= stalled_at
    await asyncio.sleep(0)  # the iteration that reports input from the stall
    assert bound.earliest() <= stalled_at
    await asyncio.sleep(3 * RECORDING_INTERVAL)
    assert bound.earliest() >= stalled_at + LOOP_STALL
    monitor.close()


@pytest.mark.virtual_clock
async def test_unread_input_is_bounded_by_pause_start() -> None:
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


@pytest.mark.usefixtures("kernel_without_arrival_times")
@pytest.mark.virtual_clock
async def test_entire_loop_stall_counts_against_budget() -> None:
    """Without an arrival time from the kernel, a request counts as received before the stall."""
    async with running_gateway() as harness:
        client = await harness.connect_client()
        undelayed_budget = await forwarded_budget(harness, client, request(1, budget=0.9))
        client.send(request(2, budget=0.9))
        virtual_clock_loop().now += LOOP_STALL
        assert (await client.read_response())[0] == 200
        received_budget = float(harness.backends[0].requests[-1].headers["x-budget"])
        assert (
            undelayed_budget - LOOP_STALL - ARRIVAL_TOLERANCE
            <= received_budget
            <= undelayed_budget - LOOP_STALL
        )
        await asyncio.sleep(0.2)
        assert await forwarded_budget(harness, client, request(3, budget=0.9)) == undelayed_budget


@pytest.mark.usefixtures("kernel_without_arrival_times")
@pytest.mark.virtual_clock
async def test_idle_client_keeps_its_entire_budget() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        await asyncio.sleep(2.0)
        budget_after_idling = await forwarded_budget(harness, client, request(1, budget=0.9))
        assert budget_after_idling == await forwarded_budget(harness, client, request(2, budget=0.9))


@pytest.mark.usefixtures("kernel_without_arrival_times")
@pytest.mark.virtual_clock
async def test_unaccepted_connections_count_from_accept_pause() -> None:
    async with running_gateway() as harness:
        listener = harness.process.listener
        await asyncio.sleep(0.2)
        listener.pause_accepting()
        assert listener.accept_timer is not None
        listener.accept_timer.cancel()  # the pause continues
        client = await harness.connect_client()
        client.send(request(1, budget=0.9))
        await asyncio.sleep(LOOP_STALL)
        listener.resume_accepting()
        assert (await client.read_response())[0] == 200
        received_budget = float(harness.backends[0].requests[-1].headers["x-budget"])
        assert received_budget <= 0.9 - LOOP_STALL
