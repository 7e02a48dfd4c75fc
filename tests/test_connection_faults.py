"""Forced connection faults: closes, floods, incomplete responses and late connects."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from quota_gateway.downstream.request_handler import MAX_INVALID_REQUESTS
from quota_gateway.model.outcomes import Outcome
from tests.harness import GatewayHarness, high_quota_settings, request, running_gateway
from tests.upstream_harness import running_pool
from tests.virtual_clock import virtual_clock_loop, virtual_unix_clock

CONNECT_TIMEOUT = 0.25  # seconds
CONNECT_TIMES = [0.05, 0.2, 0.3, 1.0, 1.5]  # seconds, below and above the timeout


def transports_by_peer(harness: GatewayHarness) -> dict[str, list[Any]]:
    """Return the gateway's transports by the type of peer."""
    process = harness.process
    counter = process.dispatcher.counter
    assert counter is not None
    return {
        "clients": [c.transport for c in process.listener.connections],
        "backends": [c.transport for c in process.pool.connections],
        "discovery": [p.connection.transport for p in process.discovery.pollers if p.connection is not None],
        "counter": [c.transport for c in counter.connections if c is not None],
        "console": [c.transport for c in process.admin.connections],
    }


async def test_every_socket_sets_tcp_nodelay() -> None:
    # With Nagle's algorithm, data that the kernel delays is lost in a reset.
    async with running_gateway() as harness:
        client, operator = await harness.connect_client(), await harness.connect_admin()
        assert (await client.exchange(request(1)))[0] == 200
        counter = harness.process.dispatcher.counter
        assert counter is not None
        counter.increment("name.1", 1.0, 4.0)
        async with asyncio.timeout(5.0):
            while not (harness.counter.increments and harness.process.admin.connections):  # noqa: ASYNC110
                await asyncio.sleep(0)  # no event marks the gateway's internal state
        for peer, transports in transports_by_peer(harness).items():
            assert transports, peer
            for transport in transports:
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY), peer
        operator.writer.close()


@pytest.mark.parametrize("has_close_header", [True, False])
async def test_reset_response_without_a_length_is_incomplete(has_close_header: bool) -> None:
    text = b"HTTP/1.1 200 OK\r\n" + b"Connection: close\r\n" * has_close_header + b"\r\nserved by this one"

    async def reset_after(writer: asyncio.StreamWriter, count: int) -> None:
        writer.write(text[:count])
        await asyncio.sleep(0.002)  # until it has been read: a reset discards unread data
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async with running_pool() as (sender, peer):
        for count in range(len(text) + 1):
            peer.script = [lambda writer, received, count=count: reset_after(writer, count)]  # type: ignore[misc]
            assert await sender.outcome() is Outcome.BROKEN_RESPONSE, count


@pytest.mark.parametrize("connect_time", CONNECT_TIMES)
@pytest.mark.virtual_clock
async def test_connection_after_connect_timeout_is_not_used(
    connect_time: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)
    async with running_gateway(
        backends=1, settings=high_quota_settings(dial_timeout=1000 * CONNECT_TIMEOUT)
    ) as harness:
        loop = virtual_clock_loop()
        loop.connect_delays = {int(b.address.rpartition(":")[2]): connect_time for b in harness.backends}
        in_time = connect_time < CONNECT_TIMEOUT
        client = await harness.connect_client()
        status, _, _ = await client.exchange(request(1, "extract"))
        assert status == (200 if in_time else 429)  # not forwarded, so a retry is safe
        await asyncio.sleep(3.0)
        assert len(harness.received_requests()) == (1 if in_time else 0)
        assert in_time or not harness.process.pool.connections


@pytest.mark.parametrize("close_reason", ["idle", "drain", "stop"])
async def test_request_that_crosses_a_close_is_not_forwarded(close_reason: str) -> None:
    # The client retries such a request: if it was forwarded as well, it would be executed twice.
    async with running_gateway() as harness:
        client, listener = await harness.connect_client(), harness.process.listener
        assert (await client.exchange(request(1)))[0] == 200
        (connection,) = listener.connections
        if close_reason == "idle":
            connection.close_immediately()
        elif close_reason == "drain":
            connection.close_gracefully()
        else:
            listener.stopping = True
            listener.close_idle()
        client.send(request(2))
        try:
            assert await client.wait_closed()
        except ConnectionResetError:  # the reset discards no unread response
            assert close_reason == "idle"
        await asyncio.sleep(0.02)
        assert (
            len(harness.received_requests()) == 1 and harness.process.dispatcher.submitted_request_count == 1
        )


async def test_partial_response_on_idle_connection_is_discarded() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        assert (await client.exchange(request(1)))[0] == 200
        (idle,) = harness.process.pool.connections
        for writer in harness.backends[0].open_writers:
            writer.write(b"HTTP/1.1 2")
        idle.endpoint.close_all_idle()
        status, _, body = await client.exchange(request(2))
        assert (status, body) == (200, b"served 0000000000000002")
        assert harness.backends[0].connection_count == 2


async def test_reset_flood_does_not_affect_other_clients() -> None:
    """Clients send two megabytes of invalid requests each, and reset their connections."""
    flood = request(1, omit_header="Plan") * 8000
    async with running_gateway() as harness:
        clients = [await harness.connect_client() for _ in range(20)]
        valid = await harness.connect_client()
        for client in clients:
            client.send(flood)
        for number in range(2, 22):
            assert (await valid.exchange(request(number)))[0] == 200
        for client in clients:
            client.reset()
        async with asyncio.timeout(5.0):
            while len(harness.process.listener.connections) > 1:  # noqa: ASYNC110
                await asyncio.sleep(0.01)  # no event marks the gateway's internal state
        assert (await valid.exchange(request(99)))[0] == 200
        assert (
            len(harness.received_requests()) == 21
            and harness.process.dispatcher.submitted_request_count == 21
        )


async def test_invalid_request_flood_gets_few_responses() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        client.send(request(1, omit_header="Plan") * 8000)
        statuses = [(await client.read_response())[0] for _ in range(MAX_INVALID_REQUESTS)]
        assert statuses == [400] * MAX_INVALID_REQUESTS
        assert await client.wait_closed()


async def test_response_reaches_client_that_keeps_sending() -> None:
    """Closing a connection with unread data resets it, and the response would be lost."""
    async with running_gateway() as harness:
        client = await harness.connect_client()
        text = request(1, Connection="close")
        client.send(text + b"x" * 300_000)
        status, headers, body = await client.read_response()
        assert (status, headers["connection"], body) == (200, "close", b"served 0000000000000001")
        assert len(harness.received_requests()) == 1
