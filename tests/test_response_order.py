"""Pipelined requests: each response is framed for its own request, and a lost connection ends all of them."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.body_streaming import MAX_BUFFERED_BYTES
from tests.fakes import HttpMessage, send_success, send_success_after
from tests.harness import request, running_gateway

LONG_BODY = b"y" * (2 * MAX_BUFFERED_BYTES)


async def test_streamed_response_uses_http_version_of_request() -> None:
    released = asyncio.Event()

    async def answer(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
        if not received.headers["x-call-id"].endswith("1"):
            send_success(writer, received)
            return
        await released.wait()
        size = b"%x\r\n" % len(LONG_BODY)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(size + LONG_BODY + b"\r\n0\r\n\r\n")

    async with running_gateway() as harness:
        backend = harness.backends[0]
        backend.script = [answer, answer]
        client = await harness.connect_client()
        client.send(request(1) + request(2).replace(b"HTTP/1.1", b"HTTP/1.0"))
        await backend.wait_until(lambda: len(backend.requests) == 2)
        released.set()
        status, headers, body = await client.read_response()
        assert (status, body) == (200, LONG_BODY)
        assert headers["transfer-encoding"] == "chunked"
        assert (await client.read_response()).status == 200


async def test_lost_connection_ends_pipelined_requests_while_draining(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Ending one request answers the next one in the queue, whose connection is lost too."""
    async with running_gateway() as harness:
        dispatcher = harness.process.dispatcher
        backend = harness.backends[0]
        backend.script = [send_success_after(asyncio.Event())]
        first = await harness.connect_client()
        first.send(request(1, plan="pro", units="8"))
        await backend.wait_until(lambda: len(backend.requests) == 1)
        client = await harness.connect_client()
        client.send(request(2, plan="pro", units="4.6") + request(3, plan="pro", units="0.4"))
        (limiter,) = dispatcher.engine.limiter_registry.limiters.values()
        async with asyncio.timeout(1.0):
            while len(limiter.queue) < 2:  # noqa: ASYNC110 (no event marks the gateway's internal state)
                await asyncio.sleep(0)
        for endpoint in dispatcher.engine.endpoints.values():
            endpoint.concurrency_limit = 0.0  # a request that leaves the queue is rejected
        dispatcher.set_draining(True)
        client.reset()
        async with asyncio.timeout(1.0):
            while len(dispatcher.active_requests) > 1:  # noqa: ASYNC110
                await asyncio.sleep(0)
        assert not limiter.queue
        assert "failed to handle" not in caplog.text
