"""The operators' address over loopback: its calls, its figures, and callers that finish no call."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.admin import server
from quota_gateway.admin.server import MOST_CALLS, MOST_SIZE
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
def test_each_call_has_its_answer(method: str, path: str, status: int) -> None:
    async def test() -> None:
        async with running() as bed:
            operator = await bed.admin_client()
            operator.send(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = (await operator.reader.readuntil(b"\r\n\r\n")).decode()
            assert head.startswith(f"HTTP/1.1 {status} ") and "Connection: close" in head

    run(test)


LONG = b"POST /healthcheck/fail HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + b"x" * MOST_SIZE


@pytest.mark.parametrize("text", [b"nonsense\r\n\r\n", b"GET /stats", b"\x16\x03\x01\x00", LONG])
def test_what_is_no_call_gets_an_error_and_does_nothing(text: bytes) -> None:
    async def test() -> None:
        async with running() as bed:
            operator = await bed.admin_client()
            operator.send(text)
            operator.writer.write_eof()
            assert 400 <= (await operator.answer())[0] < 500
            assert (await bed.call("GET", "/healthcheck"))[0] == 200

    run(test)


def test_callers_that_finish_no_call_keep_nobody_out() -> None:
    async def test() -> None:
        async with running() as bed:
            idle = [await bed.admin_client() for _ in range(2 * MOST_CALLS)]
            for operator in idle[::2]:
                operator.send(b"GET /healthcheck HTTP/1.1\r\nHo")
            assert (await bed.call("GET", "/healthcheck"))[0] == 200
            assert len(bed.process.admin.connections) <= MOST_CALLS
            for operator in idle[:MOST_CALLS]:
                try:
                    assert await operator.reader.read() == b""  # the oldest made way
                except ConnectionResetError:
                    pass

    run(test)


def test_a_call_that_does_not_come_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "HEAD_WITHIN", 0.0)

    async def test() -> None:
        async with running() as bed:
            operator = await bed.admin_client()
            operator.send(b"GET /stats HTTP/1.1\r\n")
            assert (await operator.answer())[0] == 408

    run(test)


async def ask(bed: GatewayHarness, number: int, klass: str = "lookup") -> int:
    client = await bed.client()
    return (await client.ask(request(number, klass)))[0]


def test_each_end_of_a_request_is_counted_once() -> None:
    async def test() -> None:
        async with running() as bed:

            def error(writer: asyncio.StreamWriter, asked: Asked) -> None:
                writer.write(message(500))

            def full(writer: asyncio.StreamWriter, asked: Asked) -> None:
                writer.write(message(503, b"", "X-Rejected: 1"))

            assert await ask(bed, 1) == 200 == await ask(bed, 2, "extract")
            bed.backends[0].script = [error]
            assert await ask(bed, 3, "extract") == 502  # it may have run: no refusal
            bed.backends[0].script = [full] * 9
            assert await ask(bed, 4, "extract") == 429
            free = asyncio.Event()
            bed.backends[0].script = [serve_after(free)]
            held, attempts = await bed.client(), len(bed.seen())
            held.send(request(5))
            await bed.backends[0].until(lambda: len(bed.seen()) == attempts + 1)
            figures = await bed.metrics()
            assert (figures["success.lookup"], figures["success.extract"]) == (1, 1)
            assert (figures["error.extract"], figures["overload.extract"]) == (1, 1)
            assert (figures["error.lookup"], figures["overload.lookup"]) == (0, 0)
            assert figures["concurrent"] == 1 and figures["dispatches"] == len(bed.seen())
            assert (figures["targets"], figures["targets_disabled"]) == (1, 0)  # used, if with reluctance
            free.set()
            assert (await held.answer())[0] == 200
            figures = await bed.metrics()
            assert figures["success.lookup"] == 2 and figures["concurrent"] == 0

    run(test)


def test_a_client_that_leaves_is_no_longer_open_and_counts_as_nothing() -> None:
    async def test() -> None:
        async with running() as bed:
            free = asyncio.Event()
            bed.backends[0].script = [serve_after(free)]
            client = await bed.client()
            client.send(request(1))
            await bed.backends[0].until(lambda: len(bed.seen()) == 1)
            client.reset()
            async with asyncio.timeout(SOON):
                while (figures := await bed.metrics())["concurrent"]:
                    pass
            assert figures["success.lookup"] == figures["error.lookup"] == figures["overload.lookup"] == 0

    run(test)


def test_a_banned_backend_gets_nothing_until_it_is_put_back() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:
            banned, other = bed.backends
            for number in range(8):
                assert await ask(bed, number) == 200
            for _ in range(2):
                assert (await bed.call("POST", "/backends/b0/maint"))[0] == 200
            assert (await bed.metrics())["targets_disabled"] == 1
            seen, asked = len(banned.seen), len(bed.discovery.asked)
            restarted = bed.discovery.entry("b0", banned.address, started=1000.0)
            await bed.discovery.change({**restarted, "lifecycle": "DELETED"})  # discovery undoes nothing
            await bed.discovery.until_asked(asked + 1)
            await bed.discovery.change(restarted)
            await bed.discovery.until_asked(asked + 2)
            for number in range(10, 30):
                assert await ask(bed, number) == 200
            assert len(banned.seen) == seen
            assert (await bed.call("POST", "/backends/b0/ready"))[0] == 200
            number = 30
            async with asyncio.timeout(SOON):
                while len(banned.seen) == seen:
                    number += 1
                    assert await ask(bed, number) == 200
            assert (await bed.metrics())["targets_disabled"] == 0

    run(test)


def test_a_drain_says_no_serves_what_comes_and_ends_connections() -> None:
    async def test() -> None:
        async with running() as bed:
            kept, idle, silent = await bed.client(), await bed.client(), await bed.client()
            assert (await kept.ask(READY))[0] == (await idle.ask(READY))[0] == 200
            assert (await bed.call("POST", "/healthcheck/fail"))[0] == 200
            assert (await bed.call("POST", "/healthcheck/fail"))[0] == 200
            assert (await bed.call("GET", "/healthcheck"))[0] == 503
            assert (await kept.ask(request(1)))[0] == 200 and await kept.closed()
            fresh = await bed.client()
            assert (await fresh.ask(READY))[0] == 503 and await fresh.closed()
            assert await idle.closed() and await silent.closed()
            fresh = await bed.client()  # whatever still comes is served
            status, headers, _ = await fresh.ask(request(2))
            assert status == 200 and headers["connection"] == "close"
            assert (await bed.call("POST", "/healthcheck/ok"))[0] == 200
            assert (await bed.call("GET", "/healthcheck"))[0] == 200
            back = await bed.client()
            assert (await back.ask(READY))[0] == 200 == (await back.ask(request(3)))[0]
            assert (await back.ask(request(4)))[0] == 200

    run(test)


def test_a_request_under_way_when_a_drain_begins_is_answered() -> None:
    async def test() -> None:
        async with running() as bed:
            free = asyncio.Event()
            bed.backends[0].script = [serve_after(free)]
            client: Client = await bed.client()
            client.send(request(1))
            await bed.backends[0].until(lambda: len(bed.seen()) == 1)
            await bed.call("POST", "/healthcheck/fail")
            bed.process.listener.drained_since -= 10.0
            bed.process.listener.sweep()
            free.set()
            status, headers, _ = await client.answer()
            assert status == 200 and headers["connection"] == "close" and await client.closed()

    run(test)
