"""Clients that read their last responses slowly have them whole, also while the gateway shuts down."""

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
PIPELINED = 12  # requests, whose responses are more than the sockets on the way can buffer
MIN_SERVED = 4  # of them that an endpoint is sent at once
RECEIVE_BUFFER = 4096  # bytes, of the client's socket
SEND_BUFFER = 4096  # bytes, of the gateway's


def respond_at_length(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
    writer.write(http_response(200, BODY))


def limit_send_buffer(listener: socket.socket | None) -> None:
    """Have accepted sockets hold little, so that the process keeps what it has yet to send."""
    assert listener is not None
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)


async def client_that_does_not_read(harness: GatewayHarness, budget: float) -> Client:
    """Send requests, of which the last one closes the connection, and read nothing until all are answered."""
    for backend in harness.backends:
        backend.script = [respond_at_length] * PIPELINED
    client = await harness.connect_client(receive_buffer=RECEIVE_BUFFER)
    client.writer.transport.pause_reading()  # type: ignore[attr-defined]
    last = request(PIPELINED, budget=budget, Connection="close")
    client.send(b"".join(request(number, budget=budget) for number in range(1, PIPELINED)) + last)
    async with asyncio.timeout(EVENT_TIMEOUT):
        while len(harness.received_requests()) < MIN_SERVED:  # noqa: ASYNC110 (of any backend)
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)
    return client


async def assert_all_responses_are_whole(client: Client) -> None:
    client.writer.transport.resume_reading()  # type: ignore[attr-defined]
    responses = [await client.read_response() for _ in range(PIPELINED)]
    for status, _, body in responses:  # an endpoint that is busy with some of them gets no more
        assert (status, body) == (200, BODY) or status == 429
    assert await client.wait_closed()


@pytest.mark.virtual_clock
async def test_a_last_response_is_not_cut_off_while_its_client_may_still_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)
    async with running_gateway() as harness:
        limit_send_buffer(harness.process.listener.listener)
        client = await client_that_does_not_read(harness, 5.0)
        await asyncio.sleep(4 * LINGER_TIMEOUT)
        await assert_all_responses_are_whole(client)


async def test_a_shutdown_waits_for_a_response_that_is_read_slowly(tmp_path: pathlib.Path) -> None:
    async with process_group(tmp_path) as processes:
        limit_send_buffer(processes.listener)
        child, _ = await processes.start()
        await asyncio.sleep(0.2)  # since when the queue of the inherited socket is known to be new
        client = await client_that_does_not_read(processes.harness, 900.0)
        child.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.0 + 2 * FLUSH_TIMEOUT)
        await assert_all_responses_are_whole(client)
        assert await child.wait() == 0


def test_the_timeout_of_an_unread_response_runs_only_while_nothing_is_read() -> None:
    timer = UnreadResponseTimer()
    assert not timer.has_expired(100.0, 500)  # the first byte that waits starts it
    assert not timer.has_expired(100.0 + UNREAD_RESPONSE_TIMEOUT, 900)  # a further response is no reading
    assert timer.has_expired(100.1 + UNREAD_RESPONSE_TIMEOUT, 900)
    assert not timer.has_expired(100.2 + UNREAD_RESPONSE_TIMEOUT, 899)
    timer.stop()
    assert not timer.has_expired(200.0, 900)
    assert timer.has_expired(200.1 + UNREAD_RESPONSE_TIMEOUT, 900)
