"""Transient failures of system calls (ENFILE, ENOBUFS, ENOMEM) close no client connection.

The gateway runs in a process of its own, with a preloaded library that makes some of its calls fail. It stays
far below its own limit of descriptors.
"""

from __future__ import annotations

import asyncio
import errno
import pathlib
import time
from dataclasses import dataclass, field

import pytest

from quota_gateway.downstream.client_connection import MAX_PIPELINED_REQUESTS
from tests.fakes import HttpMessage, http_response
from tests.fault_injection.injector import FaultInjector
from tests.harness import GatewayHarness, request, running_gateway
from tests.test_gateway_process import process

KEPT_CLIENTS = 12  # clients that keep their connection
NEW_CLIENTS = 12  # clients that open a new connection for each request
LOAD_DURATION = 1.5  # seconds for which the clients send requests
FAILURE_RATE = 0.15  # share of the system calls that fail
BUDGET = 1.0  # seconds that a client waits for a response
MAX_LATENESS = 0.5  # seconds after the budget within which a response must still come
KEPT_INTERVAL = 0.15  # seconds between requests on a kept connection, which is idle in between
NEW_INTERVAL = 0.02  # seconds between requests of a client that opens new connections


def respond_and_close(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    """Respond and close the connection, so that each request needs a new one."""
    writer.write(http_response(200, b"", "Connection: close"))
    writer.close()


@dataclass
class ClientLoad:
    """Clients of one gateway that send requests concurrently, and the outcomes of these requests."""

    harness: GatewayHarness
    request_count: int = 0
    statuses: list[int] = field(default_factory=list)
    max_response_time: float = 0.0  # longest time in seconds from a request to its response
    closed_connections: int = 0  # connections closed without a response

    async def send_requests(self, client_number: int, keeps_connection: bool) -> None:
        """Send requests of one client for LOAD_DURATION seconds."""
        ends_at = time.monotonic() + LOAD_DURATION
        client = await self.harness.connect_client()
        while time.monotonic() < ends_at:
            self.request_count += 1
            started_at = time.monotonic()
            text = request(self.request_count, budget=BUDGET, customer=f"{client_number:016x}")
            try:
                self.statuses.append((await client.exchange(text))[0])
            except (OSError, asyncio.IncompleteReadError):
                self.closed_connections += 1
                client = await self.harness.connect_client()
            self.max_response_time = max(self.max_response_time, time.monotonic() - started_at)
            if not keeps_connection:
                client.writer.close()
                client = await self.harness.connect_client()
            await asyncio.sleep(KEPT_INTERVAL if keeps_connection else NEW_INTERVAL)
        client.writer.close()

    async def run(self) -> None:
        """Run all clients concurrently."""
        clients = KEPT_CLIENTS + NEW_CLIENTS
        await asyncio.gather(
            *(self.send_requests(number, number < KEPT_CLIENTS) for number in range(clients))
        )


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM], ids=errno.errorcode.get)
@pytest.mark.parametrize("call", ["accept", "socket"])
async def test_transient_call_failure_closes_no_client_connection(
    call: str, error: int, tmp_path: pathlib.Path
) -> None:
    faults = FaultInjector(tmp_path / "faults", seed=7)
    async with process(tmp_path, variables=faults.environment) as (harness, _):
        harness.backends[0].script = [respond_and_close] * 100_000
        load = ClientLoad(harness)
        if call == "accept":
            faults.fail_accepts(FAILURE_RATE, error)
        else:
            faults.fail_sockets(FAILURE_RATE, error)
        await load.run()
        assert faults.injected > 0
        assert load.closed_connections == 0
        assert load.max_response_time <= BUDGET + MAX_LATENESS
        assert set(load.statuses) <= {200, 429}
        served = load.statuses.count(200)
        print(f"{call}: {served} of {len(load.statuses)} served, {faults.injected} calls failed")
        assert served > 0.8 * len(load.statuses)


async def test_persistent_accept_failure_keeps_client_connections(tmp_path: pathlib.Path) -> None:
    faults = FaultInjector(tmp_path / "faults")
    async with process(tmp_path, variables=faults.environment) as (harness, _):
        kept_clients = [await harness.connect_client() for _ in range(KEPT_CLIENTS)]
        assert [(await client.exchange(request(n)))[0] for n, client in enumerate(kept_clients)] == [
            200
        ] * KEPT_CLIENTS
        faults.fail_accepts(1.0, errno.ENFILE)
        new_client = await harness.connect_client()
        new_client.send(request(50))
        await asyncio.sleep(0.5)
        assert [(await client.exchange(request(60 + n)))[0] for n, client in enumerate(kept_clients)] == [
            200
        ] * KEPT_CLIENTS
        faults.fail_accepts(0.0, 0)
        assert (await new_client.read_response())[0] == 200


class FailingEpoll:
    """An epoll object to which the kernel can add no descriptor."""

    def register(self, descriptor: int, events: int) -> None:
        raise OSError(errno.ENOMEM, "no memory")

    def unregister(self, descriptor: int) -> None:
        raise OSError(errno.ENOENT, "not registered")


async def test_paused_connection_is_served_without_epoll_watch(caplog: pytest.LogCaptureFixture) -> None:
    async with running_gateway() as harness:
        monitor = harness.process.listener.disconnect_monitor
        epoll = monitor.epoll
        monitor.epoll = FailingEpoll()  # type: ignore[assignment]
        client = await harness.connect_client()
        count = 6 * MAX_PIPELINED_REQUESTS  # more than are parsed at once
        client.send(b"".join(request(number) for number in range(count)))
        statuses = [(await client.read_response())[0] for _ in range(count)]
        monitor.epoll = epoll
        assert set(statuses) <= {200, 429}
        assert not caplog.records
