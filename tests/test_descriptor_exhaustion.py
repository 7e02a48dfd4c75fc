"""A gateway whose clients use up its descriptors while discovery and the counter are down."""

from __future__ import annotations

import asyncio
import os
import pathlib
import resource
from asyncio.subprocess import Process

import pytest

from tests.fakes import EVENT_TIMEOUT, HOST, HttpMessage, http_response
from tests.harness import READY_REQUEST, GatewayHarness, request
from tests.test_gateway_process import process

DESCRIPTOR_LIMITS = [256, 1024]
POLL_INTERVAL = 0.02  # seconds between checks of the gateway process, which signals no events
RECONNECT_DELAY = 0.05  # seconds until a closed idle client connects again
CONNECTIONS_SETTLE_TIME = 0.3  # seconds until no further idle client can connect


class IdleClients:
    """Clients that connect, send nothing, and connect again when the gateway closes their connection."""

    def __init__(self, gateway: GatewayHarness, count: int) -> None:
        self.gateway = gateway
        self.tasks = [asyncio.get_running_loop().create_task(self.stay_connected()) for _ in range(count)]

    async def stay_connected(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.gateway.port)
                await reader.read()
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(RECONNECT_DELAY)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def respond_without_billed_units(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.write(http_response(200))


def open_descriptors(child: Process) -> int:
    return len(os.listdir(f"/proc/{child.pid}/fd"))


async def wait_for_open_descriptors(child: Process, minimum: int) -> int:
    async with asyncio.timeout(EVENT_TIMEOUT):
        while open_descriptors(child) < minimum:  # noqa: ASYNC110 (another process sets no event)
            await asyncio.sleep(POLL_INTERVAL)
    return open_descriptors(child)


async def stop_discovery_and_counter(gateway: GatewayHarness) -> None:
    for service in (gateway.discovery, gateway.counter):
        assert service.server is not None
        service.server.close()
        for writer in list(service.open_writers):
            writer.transport.abort()


async def restart_discovery_and_counter(gateway: GatewayHarness) -> None:
    for service in (gateway.discovery, gateway.counter):
        host, _, port = service.address.rpartition(":")
        service.server = await asyncio.start_server(service.handle_connection, host, int(port))


async def request_status(gateway: GatewayHarness, number: int) -> int:
    """Return the status of a new client's request.

    A gateway at capacity may close the first connections without reading them.
    """
    async with asyncio.timeout(EVENT_TIMEOUT):
        while True:
            client = await gateway.connect_client()
            try:
                return (await client.exchange(request(number)))[0]
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(POLL_INTERVAL)
            finally:
                client.writer.close()


async def assert_endpoint_change_arrives(gateway: GatewayHarness, number: int) -> int:
    """Replace the first backend by the second; return the number of the last request that was sent."""
    first, second = gateway.backends
    discovery = gateway.discovery
    second.script = [respond_without_billed_units] * 1000
    discovery.entries["b1"] = discovery.entry("b1", second.address)
    await discovery.publish(discovery.entries["b1"], discovery.entry("b0", first.address, "DRAINING"))
    async with asyncio.timeout(EVENT_TIMEOUT):
        while not second.requests:
            number += 1
            assert await request_status(gateway, number) in (200, 429)
    return number


async def assert_counter_is_called(gateway: GatewayHarness, number: int) -> None:
    """Send requests that come near their customer's quota, until the counter is called.

    While clients wait for descriptors, a connection that was idle for over 0.1 s may be closed for them. A
    request that crosses this close is followed by one on a new connection, as the protocol specifies.
    """
    client = await gateway.connect_client()
    assert (await client.exchange(READY_REQUEST))[0] == 200
    async with asyncio.timeout(EVENT_TIMEOUT):
        while not gateway.counter.increments:
            number += 1
            try:
                await client.exchange(request(number, plan="pro", units="8"))
            except (OSError, asyncio.IncompleteReadError):
                client = await gateway.connect_client()
            await asyncio.sleep(POLL_INTERVAL)


async def assert_clean_exit(child: Process) -> None:
    child.terminate()
    async with asyncio.timeout(EVENT_TIMEOUT):
        assert await child.wait() == 0
    assert child.stderr is not None
    stderr = (await child.stderr.read()).decode()
    assert "Traceback" not in stderr, stderr


@pytest.mark.parametrize("is_limit_lowered", [False, True])
@pytest.mark.parametrize("limit", DESCRIPTOR_LIMITS)
async def test_gateway_recovers_while_descriptors_are_exhausted(
    limit: int, is_limit_lowered: bool, tmp_path: pathlib.Path
) -> None:
    """With `is_limit_lowered`, the limit is lowered to the number of open descriptors: none is left."""
    async with process(tmp_path, descriptors=limit, console=True) as (gateway, child):
        await stop_discovery_and_counter(gateway)
        clients = IdleClients(gateway, limit + 100)
        open_count = await wait_for_open_descriptors(child, limit // 2)
        if is_limit_lowered:
            await asyncio.sleep(CONNECTIONS_SETTLE_TIME)
            open_count = open_descriptors(child)
            resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (open_count, open_count))
        assert open_count <= limit
        # A new client is served over a new upstream connection, and the admin API responds.
        assert await request_status(gateway, 1) == 200
        status, text = await gateway.call_admin("GET", "/stats")
        assert status == 200 and "svc.success.lookup=" in text
        await restart_discovery_and_counter(gateway)
        number = await assert_endpoint_change_arrives(gateway, 1)
        await assert_counter_is_called(gateway, number)
        assert (await gateway.metrics())["violations"] == 0  # no connection with a request was closed
        assert child.returncode is None
        await clients.stop()
        await assert_clean_exit(child)
