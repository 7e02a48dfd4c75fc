"""The admin API over loopback: its operations, its metrics, and connections without a complete request."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from quota_gateway.admin import connection
from quota_gateway.admin.connection import MAX_REQUEST_SIZE
from quota_gateway.admin.server import MAX_CONNECTIONS
from tests.fakes import EVENT_TIMEOUT, HttpMessage, http_response, send_success_after
from tests.harness import READY_REQUEST, Client, GatewayHarness, request, running_gateway


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/healthcheck", 200),
        ("GET", "/stats", 200),
        ("GET", "/stats?now=1", 200),
        ("POST", "/healthcheck", 405),
        ("GET", "/healthcheck/fail", 405),
        ("GET", "/healthcheck/ok", 405),
        ("HEAD", "/backends/b0/maint", 405),
        ("GET", "/backends/b0/ready", 405),
        ("POST", "/stats", 405),
        ("GET", "/", 404),
        ("POST", "/backends/nobody/maint", 404),
        ("POST", "/backends/nobody/ready", 404),
        ("POST", "/backends/b0", 404),
        ("POST", "/backends/b0/other", 404),
        ("GET", "/api", 404),
        ("POST", "/backends/b%30/maint", 200),
        ("POST", "/backends/b0/ready", 200),
    ],
)
async def test_operation_returns_expected_status(method: str, path: str, status: int) -> None:
    async with running_gateway() as harness:
        operator = await harness.connect_admin()
        operator.send(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = (await operator.reader.readuntil(b"\r\n\r\n")).decode()
        assert head.startswith(f"HTTP/1.1 {status} ") and "Connection: close" in head


OVERSIZED = b"POST /healthcheck/fail HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + b"x" * MAX_REQUEST_SIZE


@pytest.mark.parametrize("data", [b"nonsense\r\n\r\n", b"GET /stats", b"\x16\x03\x01\x00", OVERSIZED])
async def test_invalid_request_is_rejected_without_effect(data: bytes) -> None:
    async with running_gateway() as harness:
        operator = await harness.connect_admin()
        operator.send(data)
        operator.writer.write_eof()
        assert 400 <= (await operator.read_response())[0] < 500
        assert (await harness.call_admin("GET", "/healthcheck"))[0] == 200


async def test_idle_connections_do_not_block_new_ones() -> None:
    async with running_gateway() as harness:
        idle = [await harness.connect_admin() for _ in range(2 * MAX_CONNECTIONS)]
        for operator in idle[::2]:
            operator.send(b"GET /healthcheck HTTP/1.1\r\nHo")
        assert (await harness.call_admin("GET", "/healthcheck"))[0] == 200
        assert len(harness.process.admin.connections) <= MAX_CONNECTIONS
        for operator in idle[:MAX_CONNECTIONS]:
            with contextlib.suppress(ConnectionResetError):
                assert await operator.reader.read() == b""  # the oldest connections were closed


async def test_incomplete_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "REQUEST_TIMEOUT", 0.0)
    async with running_gateway() as harness:
        operator = await harness.connect_admin()
        operator.send(b"GET /stats HTTP/1.1\r\n")
        assert (await operator.read_response())[0] == 408


async def response_status(harness: GatewayHarness, number: int, request_class: str = "lookup") -> int:
    client = await harness.connect_client()
    return (await client.exchange(request(number, request_class)))[0]


async def test_final_response_is_counted_once() -> None:
    async with running_gateway() as harness:

        def fail(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
            writer.write(http_response(500))

        def reject(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
            writer.write(http_response(503, b"", "X-Rejected: 1"))

        assert await response_status(harness, 1) == 200 == await response_status(harness, 2, "extract")
        harness.backends[0].script = [fail]
        # The backend may have executed the request, so that this does not count as a rejection.
        assert await response_status(harness, 3, "extract") == 502
        harness.backends[0].script = [reject] * 9
        assert await response_status(harness, 4, "extract") == 429
        released = asyncio.Event()
        harness.backends[0].script = [send_success_after(released)]
        waiting, attempts = await harness.connect_client(), len(harness.received_requests())
        waiting.send(request(5))
        await harness.backends[0].wait_until(lambda: len(harness.received_requests()) == attempts + 1)
        metrics = await harness.metrics()
        assert (metrics["success.lookup"], metrics["success.extract"]) == (1, 1)
        assert (metrics["error.extract"], metrics["overload.extract"]) == (1, 1)
        assert (metrics["error.lookup"], metrics["overload.lookup"]) == (0, 0)
        assert metrics["concurrent"] == 1 and metrics["dispatches"] == len(harness.received_requests())
        assert (metrics["targets"], metrics["targets_disabled"]) == (1, 0)  # still used, at low priority
        released.set()
        assert (await waiting.read_response())[0] == 200
        metrics = await harness.metrics()
        assert metrics["success.lookup"] == 2 and metrics["concurrent"] == 0


async def test_disconnected_client_is_not_counted() -> None:
    async with running_gateway() as harness:
        released = asyncio.Event()
        harness.backends[0].script = [send_success_after(released)]
        client = await harness.connect_client()
        client.send(request(1))
        await harness.backends[0].wait_until(lambda: len(harness.received_requests()) == 1)
        client.reset()
        async with asyncio.timeout(EVENT_TIMEOUT):
            while (metrics := await harness.metrics())["concurrent"]:
                pass
        assert metrics["success.lookup"] == metrics["error.lookup"] == metrics["overload.lookup"] == 0


async def test_backend_under_maintenance_gets_no_requests() -> None:
    async with running_gateway(backends=2) as harness:
        backend = harness.backends[0]
        for number in range(8):
            assert await response_status(harness, number) == 200
        for _ in range(2):
            assert (await harness.call_admin("POST", "/backends/b0/maint"))[0] == 200
        assert (await harness.metrics())["targets_disabled"] == 1
        requests_before = len(backend.requests)
        polls = len(harness.discovery.request_lines)
        restarted = harness.discovery.entry("b0", backend.address, started=1000.0)
        # A restart of the backend does not end its maintenance.
        await harness.discovery.publish({**restarted, "lifecycle": "DELETED"})
        await harness.discovery.wait_for_requests(polls + 1)
        await harness.discovery.publish(restarted)
        await harness.discovery.wait_for_requests(polls + 2)
        for number in range(10, 30):
            assert await response_status(harness, number) == 200
        assert len(backend.requests) == requests_before
        assert (await harness.call_admin("POST", "/backends/b0/ready"))[0] == 200
        number = 30
        async with asyncio.timeout(EVENT_TIMEOUT):
            while len(backend.requests) == requests_before:
                number += 1
                assert await response_status(harness, number) == 200
        assert (await harness.metrics())["targets_disabled"] == 0


async def test_draining_gateway_serves_requests_and_closes_connections() -> None:
    """It reports not ready, and closes active connections after a response, idle and unused ones without."""
    async with running_gateway() as harness:
        active, idle, unused = (
            await harness.connect_client(),
            await harness.connect_client(),
            await harness.connect_client(),
        )
        assert (await active.exchange(READY_REQUEST))[0] == (await idle.exchange(READY_REQUEST))[0] == 200
        assert (await harness.call_admin("POST", "/healthcheck/fail"))[0] == 200
        assert (await harness.call_admin("POST", "/healthcheck/fail"))[0] == 200
        assert (await harness.call_admin("GET", "/healthcheck"))[0] == 503
        assert (await active.exchange(request(1)))[0] == 200 and await active.wait_closed()
        fresh = await harness.connect_client()
        assert (await fresh.exchange(READY_REQUEST))[0] == 503 and await fresh.wait_closed()
        assert await idle.wait_closed() and await unused.wait_closed()
        fresh = await harness.connect_client()  # requests are still served
        status, headers, _ = await fresh.exchange(request(2))
        assert status == 200 and headers["connection"] == "close"
        assert (await harness.call_admin("POST", "/healthcheck/ok"))[0] == 200
        assert (await harness.call_admin("GET", "/healthcheck"))[0] == 200
        client = await harness.connect_client()
        assert (await client.exchange(READY_REQUEST))[0] == 200 == (await client.exchange(request(3)))[0]
        assert (await client.exchange(request(4)))[0] == 200


async def test_draining_completes_request_in_flight() -> None:
    async with running_gateway() as harness:
        released = asyncio.Event()
        harness.backends[0].script = [send_success_after(released)]
        client: Client = await harness.connect_client()
        client.send(request(1))
        await harness.backends[0].wait_until(lambda: len(harness.received_requests()) == 1)
        await harness.call_admin("POST", "/healthcheck/fail")
        harness.process.listener.draining_since -= 10.0
        harness.process.listener.sweep()
        released.set()
        status, headers, _ = await client.read_response()
        assert status == 200 and headers["connection"] == "close" and await client.wait_closed()
