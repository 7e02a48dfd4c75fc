"""Readiness after a restart: gateways serve within 10 s, even if discovery and the counter are down."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import socket
from typing import Any

import pytest

from tests.fakes import HOST, FakeBackend, example_settings
from tests.faulty_discovery import DiscoveryFault, FaultyDiscovery
from tests.harness import READY_REQUEST, GatewayHarness, high_quota_settings, request
from tests.test_gateway_process import ROOT, RUN
from tests.virtual_clock import run_on_virtual_clock, virtual_unix_clock

MAX_STARTUP_TIME = 10.0  # seconds within which nine of ten gateways have to serve
MAX_DISCOVERY_WAIT = 1.5  # seconds of virtual time: one connect timeout and a margin
FLEET_SIZE = 12
MAX_DESCRIPTORS = 1024


class RestartedGateway:
    """A gateway, and the seconds from its start until it was ready and had served a request."""

    def __init__(self, harness: GatewayHarness, number: int) -> None:
        self.harness = harness
        self.number = number
        self.startup_time = float("inf")

    async def wait_until_serving(self, started_at: float) -> None:
        """Wait until the gateway serves, and set `startup_time` to the seconds since `started_at`."""
        while not await self.is_serving():  # noqa: ASYNC110 - readiness can only be polled, over HTTP
            await asyncio.sleep(0.05)
        self.startup_time = asyncio.get_running_loop().time() - started_at

    async def is_serving(self) -> bool:
        return await self.status(READY_REQUEST) == 200 and await self.status(request(self.number)) == 200

    async def status(self, text: bytes) -> int:
        """Return the status of the response to a request on a new connection; 0 without a response."""
        try:
            client = await self.harness.connect_client()
        except OSError:
            return 0
        try:
            return (await client.exchange(text))[0]
        except (OSError, asyncio.IncompleteReadError):
            return 0
        finally:
            client.writer.close()


async def start_peers(
    gateway_count: int, fault: DiscoveryFault
) -> tuple[list[RestartedGateway], FaultyDiscovery]:
    """Start two backends and a discovery with this fault, shared by all gateways; the counters are down."""
    discovery = FaultyDiscovery()
    backends = [FakeBackend(), FakeBackend()]
    for server in (discovery, *backends):
        await server.start()
    entries = [discovery.entry(f"b{number}", backend.address) for number, backend in enumerate(backends)]
    discovery.entries = {entry["instanceId"]: entry for entry in entries}
    fleet = []
    for number in range(gateway_count):
        harness = GatewayHarness(0)
        harness.backends = backends
        harness.discovery = discovery
        await harness.counter.start()
        await harness.counter.stop()
        fleet.append(RestartedGateway(harness, number))
    await discovery.start_fault(fault)
    return fleet, discovery


async def stop_peers(fleet: list[RestartedGateway], discovery: FaultyDiscovery) -> None:
    for server in (discovery, *fleet[0].harness.backends):
        await server.stop()


def fleet_settings(gateway_count: int) -> dict[str, Any]:
    """Return settings with small quotas: each request needs the counter, or the fallback while it is down."""
    settings = example_settings()
    settings["balancers"] = gateway_count
    settings["limits"]["dial_timeout"] = 250.0
    return settings


@pytest.mark.parametrize("fault", DiscoveryFault)
def test_restarted_fleet_is_ready_despite_discovery_fault(fault: DiscoveryFault) -> None:
    """Run the gateways in one loop on a virtual clock, which counts their waits on a machine of any speed."""
    startup_times: list[float] = []

    async def start(gateway: RestartedGateway) -> None:
        started_at = asyncio.get_running_loop().time()
        await gateway.harness.start_gateway(fleet_settings(FLEET_SIZE), MAX_DESCRIPTORS)
        await gateway.wait_until_serving(started_at)
        startup_times.append(gateway.startup_time)

    async def test() -> None:
        fleet, discovery = await start_peers(FLEET_SIZE, fault)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)
            await asyncio.gather(*(start(gateway) for gateway in fleet))
        for gateway in fleet:
            await gateway.harness.process.stop(0.0, 0.0)
        await stop_peers(fleet, discovery)

    run_on_virtual_clock(test)
    print(f"ready: {FLEET_SIZE} gateways, {fault}: {max(startup_times):.2f} s at most")
    assert max(startup_times) <= MAX_DISCOVERY_WAIT


async def start_process(gateway: RestartedGateway, directory: pathlib.Path) -> asyncio.subprocess.Process:
    """Start the gateway with the run command of the deployment, on a free port."""
    harness = gateway.harness
    with socket.socket() as port_finder:
        port_finder.bind((HOST, 0))
        harness.port = port_finder.getsockname()[1]
    path = directory / f"{gateway.number}.json"
    configuration = harness.configuration(fleet_settings(FLEET_SIZE), MAX_DESCRIPTORS)
    configuration["listen"] = f"{HOST}:{harness.port}"
    path.write_text(json.dumps(configuration))
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        RUN,
        cwd=ROOT,
        env={**os.environ, "RELAY_CONFIG": str(path)},
        stderr=asyncio.subprocess.DEVNULL,
    )


@pytest.mark.parametrize("fault", [DiscoveryFault.REFUSED, DiscoveryFault.SILENT])
async def test_concurrently_started_processes_are_ready_in_time(
    fault: DiscoveryFault, tmp_path: pathlib.Path
) -> None:
    """Nine of ten processes have to be ready in time; the result also depends on the cores of the machine."""
    fleet, discovery = await start_peers(FLEET_SIZE, fault)
    processes = [await start_process(gateway, tmp_path) for gateway in fleet]
    started_at = asyncio.get_running_loop().time()
    try:
        async with asyncio.timeout(2 * MAX_STARTUP_TIME):
            await asyncio.gather(*(gateway.wait_until_serving(started_at) for gateway in fleet))
    finally:
        for process in processes:
            process.kill()
            await process.wait()
        await stop_peers(fleet, discovery)
    startup_times = sorted(gateway.startup_time for gateway in fleet)
    print(f"ready: {FLEET_SIZE} processes, {fault}: {startup_times[-1]:.2f} s at most")
    assert startup_times[int(0.9 * FLEET_SIZE)] <= MAX_STARTUP_TIME


@pytest.mark.virtual_clock
async def test_gateway_without_endpoints_is_not_ready() -> None:
    """A gateway is ready if it can serve requests, which requires that discovery lists an endpoint."""
    harness = GatewayHarness(1)
    peer = harness.discovery = FaultyDiscovery()
    servers = (*harness.backends, peer, harness.counter)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)
        for server in servers:
            await server.start()
        await peer.start_fault(DiscoveryFault.UNAVAILABLE)
        await harness.start_gateway(high_quota_settings(), MAX_DESCRIPTORS)
    client = await harness.connect_client()
    assert (await client.exchange(READY_REQUEST))[0] == 503
    await peer.end_fault(peer.entry("b0", harness.backends[0].address))
    await asyncio.sleep(1.5)
    assert (await client.exchange(READY_REQUEST))[0] == 200
    assert (await client.exchange(request(1)))[0] == 200
    client.writer.close()
    await harness.process.stop(0.0, 0.0)
    for server in servers:
        await server.stop()
