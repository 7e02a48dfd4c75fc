"""The propagation delay of endpoint list changes after a fault of discovery, on a virtual clock.

Gateways must know a change at most 6 s after discovery has it and can be reached. Most tests start gateways
spread over the duration of one watch, expose them to a fault, and measure the time from the end of the fault
until the last gateway knows the change.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from quota_gateway.discovery.client import DiscoveryClient
from quota_gateway.discovery.endpoint_update import EndpointUpdate
from quota_gateway.discovery.poll_schedule import MAX_PROPAGATION_DELAY, PollSchedule, poll_schedule_for
from quota_gateway.model.endpoints import EndpointStatus
from quota_gateway.sockets.addresses import parse_address
from tests.fakes import HOST, http_response, read_message
from tests.faulty_discovery import DiscoveryFault, FaultyDiscovery
from tests.harness import GatewayHarness, high_quota_settings, request
from tests.virtual_clock import run_on_virtual_clock, virtual_unix_clock

DRAIN_TIMEOUT = 2.0  # seconds
CONNECT_TIMEOUT = 0.25  # seconds
GATEWAY_COUNT = 16
LARGE_FLEET = 200  # gateways
ENDPOINT_ADDRESS = f"{HOST}:9"


class DrainObserver:
    """A gateway's discovery client, and the loop time at which it first knew of a draining endpoint."""

    def __init__(self, address: str, schedule: PollSchedule) -> None:
        self.known_at = 0.0
        self.change_known = asyncio.Event()
        self.client = DiscoveryClient(
            parse_address(address), CONNECT_TIMEOUT, self.handle_update, known_generation=1, schedule=schedule
        )

    def handle_update(self, update: EndpointUpdate) -> None:
        is_draining = any(entry.endpoint.status is EndpointStatus.DRAINING for entry in update.entries)
        if is_draining and not self.change_known.is_set():
            self.known_at = asyncio.get_running_loop().time()
            self.change_known.set()


async def start_observers(
    address: str, count: int, schedule: PollSchedule, interval: float
) -> list[DrainObserver]:
    """Start `count` observers, `interval` seconds apart."""
    observers = [DrainObserver(address, schedule) for _ in range(count)]
    for observer in observers:
        observer.client.start()
        await asyncio.sleep(interval)
    return observers


async def propagation_delay(observers: list[DrainObserver], since: float) -> float:
    """Wait until all observers know of the draining endpoint; return the longest delay in seconds."""
    for observer in observers:
        await observer.change_known.wait()
    for observer in observers:
        observer.client.stop()
    return max(observer.known_at for observer in observers) - since


def propagation_delay_after(
    fault: DiscoveryFault, duration: float, schedule: PollSchedule, seed: int
) -> float:
    """Return the seconds from the end of the fault until all gateways know of a change."""
    delays = []

    async def test() -> None:
        peer = FaultyDiscovery()
        await peer.start()
        peer.entries = {"a": peer.entry("a", ENDPOINT_ADDRESS)}
        interval = schedule.watch_timeout / GATEWAY_COUNT
        observers = await start_observers(peer.address, GATEWAY_COUNT, schedule, interval)
        await asyncio.sleep(5.0)
        await peer.start_fault(fault)
        await asyncio.sleep(duration)
        reachable_at = asyncio.get_running_loop().time()
        await peer.end_fault(peer.entry("a", ENDPOINT_ADDRESS, "DRAINING"))
        delays.append(await propagation_delay(observers, reachable_at))
        await peer.stop()

    random.seed(seed)
    run_on_virtual_clock(test)
    return delays[0]


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("fault", DiscoveryFault)
def test_change_is_known_in_time_after_fault(fault: DiscoveryFault, pushed: bool) -> None:
    # A 503 with a long Retry-After used to delay the next poll by 4 s, and each lost poll took 4.5 s.
    schedule = poll_schedule_for(LARGE_FLEET, pushed, DRAIN_TIMEOUT)
    longest = max(
        propagation_delay_after(fault, duration, schedule, seed)
        for seed, duration in enumerate((1.3, 6.7, 12.0))
    )
    print(f"propagation: {fault}, pushed {pushed}: {longest:.2f} s of {schedule.propagation_bound:.2f}")
    assert longest <= schedule.propagation_bound + 0.05


class ResettingDiscovery(FaultyDiscovery):
    """Agent that resets the connection after `reset_after` bytes of one response; None: sends all of it."""

    reset_after: int | None = None

    def full_response(self) -> bytes:
        return http_response(200, self.list_body(True, list(self.entries.values())))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            reset_after = self.reset_after
            self.reset_after = None
            if reset_after is None:
                writer.write(self.full_response())
                await asyncio.sleep(0.1)  # prevents a busy loop of watches that are answered at once
                continue
            writer.write(self.full_response()[:reset_after])
            await writer.drain()
            writer.transport.abort()
            return


def test_partial_response_is_discarded_and_poll_retried() -> None:
    """The response is reset after each possible number of bytes in turn."""
    delays: list[float] = []
    schedule = poll_schedule_for(LARGE_FLEET, False, DRAIN_TIMEOUT)

    async def test() -> None:
        peer = ResettingDiscovery()
        await peer.start()
        peer.entries = {"a": peer.entry("a", ENDPOINT_ADDRESS)}
        size = len(peer.full_response())
        loop = asyncio.get_running_loop()
        for byte_count in range(size):
            updates: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
            client = DiscoveryClient(
                parse_address(peer.address), CONNECT_TIMEOUT, updates.put_nowait, 1, schedule
            )
            peer.reset_after = byte_count
            started_at = loop.time()
            client.start()
            update = await updates.get()
            delays.append(loop.time() - started_at)
            assert [entry.endpoint.endpoint_id for entry in update.entries] == ["a"]
            assert update.is_full
            client.stop()
        assert len(delays) == size
        await peer.stop()

    run_on_virtual_clock(test)
    print(f"propagation: reset at each of {len(delays)} byte counts: {max(delays):.2f} s")
    assert max(delays) <= schedule.max_backoff + 0.05


def test_new_agent_is_used_despite_hanging_poll() -> None:
    # After SIGHUP, a change at the new agent must be known within 4 s.
    delays = []

    async def test() -> None:
        old, new = FaultyDiscovery(), FaultyDiscovery()
        for peer in (old, new):
            await peer.start()
            peer.entries = {"a": peer.entry("a", ENDPOINT_ADDRESS)}
        schedule = poll_schedule_for(LARGE_FLEET, False, DRAIN_TIMEOUT)
        observers = await start_observers(old.address, GATEWAY_COUNT, schedule, 0.1)
        await old.start_fault(DiscoveryFault.REFUSED)
        await asyncio.sleep(7.0)
        await new.start_fault(DiscoveryFault.SILENT)
        moved_at = asyncio.get_running_loop().time()
        for observer in observers:
            observer.client.change_address(parse_address(new.address))
        await asyncio.sleep(0.05)
        await new.end_fault(new.entry("a", ENDPOINT_ADDRESS, "DRAINING"))
        delays.append(await propagation_delay(observers, moved_at))
        await old.stop()
        await new.stop()

    run_on_virtual_clock(test)
    print(f"propagation: SIGHUP to an agent that hangs at first: {delays[0]:.2f} s")
    assert delays[0] <= 4.0


class RateLimitedDiscovery(FaultyDiscovery):
    """Agent with one queue and a limited rate of polls; rejects those that would wait for more than 1 s."""

    rate = 150.0  # polls a second
    max_queueing_delay = 1.0  # seconds
    free_at = 0.0  # loop time at which the queue is empty

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            request_line, _, _ = await read_message(reader)
            self.request_lines.append(request_line)
            if self.fault is not None:
                await self.respond_with_fault(writer)
                continue
            now = loop.time()
            self.free_at = max(self.free_at, now)
            if self.free_at - now > self.max_queueing_delay:
                writer.write(http_response(503, b"", "Retry-After: 5"))
                continue
            self.free_at += 1.0 / self.rate  # this capacity is used even if the caller times out
            await asyncio.sleep(self.free_at - now)
            writer.write(http_response(200, await self.response_body(request_line)))


@pytest.mark.parametrize("fault", [DiscoveryFault.UNAVAILABLE, DiscoveryFault.SILENT, DiscoveryFault.REFUSED])
def test_large_fleet_knows_change_in_time(fault: DiscoveryFault) -> None:
    """The gateways of a large fleet start at the same time, and discovery limits the rate of polls."""
    delays = []

    async def test() -> None:
        peer = RateLimitedDiscovery()
        await peer.start()
        peer.entries = {"a": peer.entry("a", ENDPOINT_ADDRESS)}
        schedule = poll_schedule_for(LARGE_FLEET, False, DRAIN_TIMEOUT)
        observers = await start_observers(peer.address, LARGE_FLEET, schedule, 0.0)
        await asyncio.sleep(6.0)
        await peer.start_fault(fault)
        await asyncio.sleep(8.0)
        reachable_at = asyncio.get_running_loop().time()
        await peer.end_fault(peer.entry("a", ENDPOINT_ADDRESS, "DRAINING"))
        delays.append(await propagation_delay(observers, reachable_at))
        await peer.stop()

    random.seed(7)
    run_on_virtual_clock(test)
    print(f"propagation: {LARGE_FLEET} gateways, {fault}, 150 polls a second: {delays[0]:.2f} s")
    assert delays[0] <= MAX_PROPAGATION_DELAY


def test_draining_backend_gets_no_requests_after_outage() -> None:
    """Measure the time from the end of the outage until the last request to a draining backend."""
    late_requests: list[float] = []

    async def test() -> None:
        loop = asyncio.get_running_loop()
        harness = GatewayHarness(2)
        peer = harness.discovery = FaultyDiscovery()
        settings = high_quota_settings(dial_timeout=250.0)
        settings["membership_mode"] = "on_request"
        settings["balancers"] = LARGE_FLEET
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)
            await harness.start(settings, 1024)
        draining, serving = harness.backends
        await peer.start_fault(DiscoveryFault.UNAVAILABLE)
        await asyncio.sleep(9.0)
        reachable_at = loop.time()
        await peer.end_fault(peer.entry("b0", draining.address, "DRAINING"))
        client = await harness.connect_client()
        number = 0
        while loop.time() < reachable_at + MAX_PROPAGATION_DELAY + DRAIN_TIMEOUT:
            number += 1
            received_before = len(draining.requests)
            assert (await client.exchange(request(number)))[0] == 200
            if len(draining.requests) > received_before:
                late_requests.append(loop.time() - reachable_at)
            await asyncio.sleep(0.05)
        assert len(serving.requests) > number / 2
        client.writer.close()
        await harness.process.stop(0.0, 0.0)
        for server in (*harness.backends, peer, harness.counter):
            await server.stop()

    run_on_virtual_clock(test)
    last_request = max(late_requests, default=0.0)
    print(f"propagation: last request to a draining backend: {last_request:.2f} s")
    assert last_request <= MAX_PROPAGATION_DELAY


@pytest.mark.virtual_clock
async def test_virtual_clock_advances_only_in_idle_loop() -> None:
    peer = FaultyDiscovery()
    loop = asyncio.get_running_loop()
    await peer.start()
    reader, writer = await asyncio.open_connection(*parse_address(peer.address))
    started_at = loop.time()
    for _ in range(20):
        writer.write(b"GET /v1/endpoints HTTP/1.1\r\nHost: x\r\n\r\n")
        await read_message(reader)
    assert loop.time() == started_at
    await asyncio.sleep(2.0)
    assert loop.time() == pytest.approx(started_at + 2.0)
    writer.close()
    await peer.stop()
