"""Clients that read their last responses slowly get them completely, also during a shutdown."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import socket

import pytest

from quota_gateway.body_streaming import MAX_BUFFERED_BYTES
from quota_gateway.downstream.connection_limits import (
    LINGER_TIMEOUT,
    UNREAD_RESPONSE_TIMEOUT,
    UnreadResponseTimer,
)
from quota_gateway.shutdown import FLUSH_TIMEOUT
from tests.fakes import EVENT_TIMEOUT, HttpMessage, http_response
from tests.harness import Client, GatewayHarness, request, running_gateway
from tests.test_hot_restart import process_group
from tests.virtual_clock import virtual_unix_clock

BODY = b"x" * MAX_BUFFERED_BYTES
PIPELINED_REQUESTS = 12  # pipelined requests; the sockets on the path can't buffer all their responses
MIN_FORWARDED = 4  # pipelined requests that reach the backends while no response is read
RECEIVE_BUFFER = 4096  # size of the client's receive buffer in bytes
SEND_BUFFER = 4096  # size of the gateway's send buffer in bytes


def send_long_response(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.write(http_response(200, BODY))


def limit_send_buffer(listener: socket.socket | None) -> None:
    """Limit the send buffers of accepted sockets, so that unsent responses stay in the process."""
    assert listener is not None
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)


async def non_reading_client(harness: GatewayHarness, budget: float) -> Client:
    """Send requests, the last one with "Connection: close", and return the client, which has read nothing."""
    for backend in harness.backends:
        backend.script = [send_long_response] * PIPELINED_REQUESTS
    client = await harness.connect_client(receive_buffer=RECEIVE_BUFFER)
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    last = request(PIPELINED_REQUESTS, budget=budget, Connection="close")
    client.send(b"".join(request(number, budget=budget) for number in range(1, PIPELINED_REQUESTS)) + last)
    async with asyncio.timeout(EVENT_TIMEOUT):
        while len(harness.received_requests()) < MIN_FORWARDED:  # noqa: ASYNC110 (no common event)
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)
    return client


async def assert_responses_are_complete(client: Client) -> None:
    client.writer.transport.resume_reading()  # type: ignore[attr-defined]
    responses = [await client.read_response() for _ in range(PIPELINED_REQUESTS)]
    for status, _, body in responses:  # requests beyond the endpoint's concurrency are rejected
        assert (status, body) == (200, BODY) or status == 429
    assert await client.wait_closed()


@pytest.mark.virtual_clock
async def test_slowly_read_response_outlasts_linger_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)
    async with running_gateway() as harness:
        limit_send_buffer(harness.process.listener.listener)
        client = await non_reading_client(harness, 5.0)
        await asyncio.sleep(4 * LINGER_TIMEOUT)
        await assert_responses_are_complete(client)


async def test_shutdown_waits_for_slowly_read_response(tmp_path: pathlib.Path) -> None:
    async with process_group(tmp_path) as processes:
        limit_send_buffer(processes.listener)
        child, _ = await processes.start()
        await asyncio.sleep(0.2)  # from then on, connections in the inherited accept queue count as new
        client = await non_reading_client(processes.harness, 900.0)
        child.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.0 + 2 * FLUSH_TIMEOUT)
        await assert_responses_are_complete(client)
        assert await child.wait() == 0


def test_unread_response_timer_restarts_on_each_read() -> None:
    timer = UnreadResponseTimer()
    assert not timer.has_expired(100.0, 500)  # the first unread byte starts the timer
    assert not timer.has_expired(100.0 + UNREAD_RESPONSE_TIMEOUT, 900)  # a further response is no progress
    assert timer.has_expired(100.1 + UNREAD_RESPONSE_TIMEOUT, 900)
    assert not timer.has_expired(100.2 + UNREAD_RESPONSE_TIMEOUT, 899)
    timer.stop()
    assert not timer.has_expired(200.0, 900)
    assert timer.has_expired(200.1 + UNREAD_RESPONSE_TIMEOUT, 900)
