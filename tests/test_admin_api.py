"""The admin API over loopback: its operations, its metrics, and peers that never complete a request."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from quota_gateway.admin import connection
from quota_gateway.admin.connection import MAX_REQUEST_SIZE
from quota_gateway.admin.server import MAX_CONNECTIONS
from tests.fakes import SOON, Asked, message, serve_after
from tests.harness import READY, Client, GatewayHarness, request, run, running


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
def test_each_operation_has_its_status(method: str, path: str, status: int) -> None:
    async def test() -> None:
        async with running() as harness:
            operator = await harness.admin_client()
            operator.send(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = (await operator.reader.readuntil(b"\r\n\r\n")).decode()
            assert head.startswith(f"HTTP/1.1 {status} ") and "Connection: close" in head

    run(test)


OVERSIZED = b"POST /healthcheck/fail HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + b"x" * MAX_REQUEST_SIZE


@pytest.mark.parametrize("data", [b"nonsense\r\n\r\n", b"GET /stats", b"\x16\x03\x01\x00", OVERSIZED])
def test_an_invalid_request_gets_an_error_and_has_no_effect(data: bytes) -> None:
    async def test() -> None:
        async with running() as harness:
            operator = await harness.admin_client()
            operator.send(data)
            operator.writer.write_eof()
            assert 400 <= (await operator.answer())[0] < 500
            assert (await harness.call("GET", "/healthcheck"))[0] == 200

    run(test)


def test_idle_connections_do_not_keep_others_out() -> None:
    async def test() -> None:
        async with running() as harness:
            idle = [await harness.admin_client() for _ in range(2 * MAX_CONNECTIONS)]
            for operator in idle[::2]:
                operator.send(b"GET /healthcheck HTTP/1.1\r\nHo")
            assert (await harness.call("GET", "/healthcheck"))[0] == 200
            assert len(harness.process.admin.connections) <= MAX_CONNECTIONS
            for operator in idle[:MAX_CONNECTIONS]:
                with contextlib.suppress(ConnectionResetError):
                    assert await operator.reader.read() == b""  # the oldest were closed

    run(test)


def test_an_incomplete_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "REQUEST_TIMEOUT", 0.0)

    async def test() -> None:
        async with running() as harness:
            operator = await harness.admin_client()
            operator.send(b"GET /stats HTTP/1.1\r\n")
            assert (await operator.answer())[0] == 408

    run(test)


async def status_of(harness: GatewayHarness, number: int, request_class: str = "lookup") -> int:
    client = await harness.client()
    return (await client.ask(request(number, request_class)))[0]


def test_each_final_response_is_counted_once() -> None:
    async def test() -> None:
        async with running() as harness:

            def fail(writer: asyncio.StreamWriter, asked: Asked) -> None:
                writer.write(message(500))

            def reject(writer: asyncio.StreamWriter, asked: Asked) -> None:
                writer.write(message(503, b"", "X-Rejected: 1"))

            assert await status_of(harness, 1) == 200 == await status_of(harness, 2, "extract")
            harness.backends[0].script = [fail]
            assert await status_of(harness, 3, "extract") == 502  # it may have been executed: no rejection
            harness.backends[0].script = [reject] * 9
            assert await status_of(harness, 4, "extract") == 429
            released = asyncio.Event()
            harness.backends[0].script = [serve_after(released)]
            waiting, attempts = await harness.client(), len(harness.seen())
            waiting.send(request(5))
            await harness.backends[0].until(lambda: len(harness.seen()) == attempts + 1)
            metrics = await harness.metrics()
            assert (metrics["success.lookup"], metrics["success.extract"]) == (1, 1)
            assert (metrics["error.extract"], metrics["overload.extract"]) == (1, 1)
            assert (metrics["error.lookup"], metrics["overload.lookup"]) == (0, 0)
            assert metrics["concurrent"] == 1 and metrics["dispatches"] == len(harness.seen())
            assert (metrics["targets"], metrics["targets_disabled"]) == (1, 0)  # still used, at low priority
            released.set()
            assert (await waiting.answer())[0] == 200
            metrics = await harness.metrics()
            assert metrics["success.lookup"] == 2 and metrics["concurrent"] == 0

    run(test)


def test_a_client_that_disconnects_is_not_counted() -> None:
    async def test() -> None:
        async with running() as harness:
            released = asyncio.Event()
            harness.backends[0].script = [serve_after(released)]
            client = await harness.client()
            client.send(request(1))
            await harness.backends[0].until(lambda: len(harness.seen()) == 1)
            client.reset()
            async with asyncio.timeout(SOON):
                while (metrics := await harness.metrics())["concurrent"]:
                    pass
            assert metrics["success.lookup"] == metrics["error.lookup"] == metrics["overload.lookup"] == 0

    run(test)


def test_a_backend_in_maintenance_gets_no_requests_until_maintenance_ends() -> None:
    async def test() -> None:
        async with running(backends=2) as harness:
            disabled = harness.backends[0]
            for number in range(8):
                assert await status_of(harness, number) == 200
            for _ in range(2):
                assert (await harness.call("POST", "/backends/b0/maint"))[0] == 200
            assert (await harness.metrics())["targets_disabled"] == 1
            seen = len(disabled.seen)
            polls = len(harness.discovery.asked)
            restarted = harness.discovery.entry("b0", disabled.address, started=1000.0)
            # a restart does not end maintenance
            await harness.discovery.change({**restarted, "lifecycle": "DELETED"})
            await harness.discovery.until_asked(polls + 1)
            await harness.discovery.change(restarted)
            await harness.discovery.until_asked(polls + 2)
            for number in range(10, 30):
                assert await status_of(harness, number) == 200
            assert len(disabled.seen) == seen
            assert (await harness.call("POST", "/backends/b0/ready"))[0] == 200
            number = 30
            async with asyncio.timeout(SOON):
                while len(disabled.seen) == seen:
                    number += 1
                    assert await status_of(harness, number) == 200
            assert (await harness.metrics())["targets_disabled"] == 0

    run(test)


def test_draining_reports_not_ready_serves_requests_and_closes_connections() -> None:
    async def test() -> None:
        async with running() as harness:
            active, idle, unused = await harness.client(), await harness.client(), await harness.client()
            assert (await active.ask(READY))[0] == (await idle.ask(READY))[0] == 200
            assert (await harness.call("POST", "/healthcheck/fail"))[0] == 200
            assert (await harness.call("POST", "/healthcheck/fail"))[0] == 200
            assert (await harness.call("GET", "/healthcheck"))[0] == 503
            assert (await active.ask(request(1)))[0] == 200 and await active.closed()
            fresh = await harness.client()
            assert (await fresh.ask(READY))[0] == 503 and await fresh.closed()
            assert await idle.closed() and await unused.closed()
            fresh = await harness.client()  # requests are still served
            status, headers, _ = await fresh.ask(request(2))
            assert status == 200 and headers["connection"] == "close"
            assert (await harness.call("POST", "/healthcheck/ok"))[0] == 200
            assert (await harness.call("GET", "/healthcheck"))[0] == 200
            client = await harness.client()
            assert (await client.ask(READY))[0] == 200 == (await client.ask(request(3)))[0]
            assert (await client.ask(request(4)))[0] == 200

    run(test)


def test_a_request_in_flight_when_draining_starts_gets_its_response() -> None:
    async def test() -> None:
        async with running() as harness:
            released = asyncio.Event()
            harness.backends[0].script = [serve_after(released)]
            client: Client = await harness.client()
            client.send(request(1))
            await harness.backends[0].until(lambda: len(harness.seen()) == 1)
            await harness.call("POST", "/healthcheck/fail")
            harness.process.listener.drained_since -= 10.0
            harness.process.listener.sweep()
            released.set()
            status, headers, _ = await client.answer()
            assert status == 200 and headers["connection"] == "close" and await client.closed()

    run(test)
