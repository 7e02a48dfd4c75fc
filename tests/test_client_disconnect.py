"""A request whose client disconnects while it waits is not forwarded, and its units are refunded."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from quota_gateway.downstream.client_connection import MAX_PIPELINED_REQUESTS
from tests.fakes import HOST, HttpMessage, example_settings, http_response
from tests.harness import Client, GatewayHarness, high_quota_settings, request, running_gateway

CONDITION_TIMEOUT = 2.0  # seconds; less than the 2.5 s that a request is queued, and its budget of 5 s


@pytest.fixture(autouse=True)
def no_grace_period(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quota_gateway.downstream.half_close.GRACE_PERIOD", 0.0)


async def wait_for(condition: Callable[[], bool]) -> None:
    """Wait for the condition, for less time than the request's own limits allow."""
    async with asyncio.timeout(CONDITION_TIMEOUT):
        while not condition():  # noqa: ASYNC110 (no event marks the gateway's internal state)
            await asyncio.sleep(0)


def serve_without_units(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.write(http_response(200))  # without Billed-Units the estimate stays


class FullListener:
    """A listening socket with a full accept queue, on which connects don't complete."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.filler = socket.create_connection(self.listener.getsockname())

    def close(self) -> None:
        self.filler.close()
        self.listener.close()


def with_long_timeouts(settings: dict[str, Any]) -> dict[str, Any]:
    """Allow eight seconds for a counter reply and for an attempt."""
    settings["domain"]["count_limit"] = 8000.0
    settings["services"][0]["aim"] = 8000.0
    return settings


@asynccontextmanager
async def waiting_request(state: str) -> AsyncIterator[tuple[GatewayHarness, Client]]:
    """Start a gateway and a client whose request 9 waits in `state`, one of `STATES`."""
    break_attempt = asyncio.Event()

    async def reset_connection(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
        await break_attempt.wait()
        writer.transport.abort()

    full_listener = FullListener()
    base_settings = (
        example_settings() if state in ("queued", "counter") else high_quota_settings(dial_timeout=8000.0)
    )
    async with running_gateway(settings=with_long_timeouts(base_settings)) as harness:
        client = await harness.connect_client()
        dispatcher, discovery = harness.process.dispatcher, harness.discovery
        if state == "queued":
            harness.backends[0].script = [serve_without_units, serve_without_units]
            for number, units in enumerate(("8", "4")):  # the entire burst
                assert (await client.exchange(request(number, plan="pro", units=units)))[0] == 200
            client.send(request(9, plan="pro"))
            await wait_for(lambda: bool(dispatcher.active_requests))
        elif state == "counter":
            harness.counter.replies_enabled.clear()
            client.send(request(9))
            await wait_for(lambda: bool(harness.counter.increments))
        elif state == "connecting":
            await discovery.publish(discovery.entry("b0", full_listener.address))
            await wait_for(
                lambda: dispatcher.pool.endpoints["b0"].address[1] == int(full_listener.address.split(":")[1])
            )
            client.send(request(9))
            await wait_for(lambda: bool(dispatcher.pool.connecting_attempts))
        else:
            harness.backends[0].script = [reset_connection]
            client.send(request(9))
            await harness.backends[0].wait_until(lambda: bool(harness.received_requests()))
            await discovery.publish(discovery.entry("b1", full_listener.address))
            await wait_for(lambda: "b1" in dispatcher.pool.endpoints)
            break_attempt.set()
            await wait_for(lambda: bool(dispatcher.pool.connecting_attempts))
        yield harness, client
    full_listener.close()


STATES = ["queued", "counter", "connecting", "retry"]


@pytest.mark.parametrize("disconnect_kind", ["closes", "resets"])
@pytest.mark.parametrize("state", STATES)
async def test_request_is_not_forwarded_after_disconnect(state: str, disconnect_kind: str) -> None:
    # A close looks like a half-close at first.
    async with waiting_request(state) as (harness, client):
        dispatcher, received_before = harness.process.dispatcher, len(harness.received_requests())
        limiter = next(iter(dispatcher.engine.limiter_registry.limiters.values()))
        balance_before = limiter.balance
        if disconnect_kind == "closes":
            client.writer.close()
        else:
            client.reset()
        await wait_for(lambda: not dispatcher.active_requests and not dispatcher.pool.connecting_attempts)
        harness.counter.replies_enabled.set()
        await wait_for(lambda: not limiter.awaiting_reading)
        assert (
            len(harness.received_requests()) == received_before
            and not dispatcher.engine.forwarder.requests
            and not limiter.queue
        )
        if state != "retry":  # the first attempt of a retried request used its units
            limiter.refill(dispatcher.clock())
            assert (
                limiter.balance >= min(balance_before + 1.0, limiter.capacity) and limiter.queued_units == 0
            )


@pytest.mark.parametrize("state", STATES)
async def test_half_closed_client_gets_retryable_status(state: str) -> None:
    async with waiting_request(state) as (harness, client):
        received_before = len(harness.received_requests())
        client.writer.write_eof()
        assert (await client.read_response())[0] == 429
        assert await client.wait_closed()
        assert len(harness.received_requests()) == received_before


@pytest.mark.parametrize("disconnect_kind", ["closes", "resets"])
async def test_disconnect_is_detected_while_reading_is_paused(disconnect_kind: str) -> None:
    # The event loop reports no disconnect on a connection from which it does not read.
    async with running_gateway(settings=with_long_timeouts(example_settings())) as harness:
        harness.counter.replies_enabled.clear()
        client, listener = await harness.connect_client(), harness.process.listener
        client.send(b"".join(request(number) for number in range(8 * MAX_PIPELINED_REQUESTS)))
        await wait_for(lambda: any(c.read_paused for c in listener.connections))
        assert len(harness.process.dispatcher.active_requests) >= MAX_PIPELINED_REQUESTS
        if disconnect_kind == "closes":
            client.writer.close()
        else:
            client.reset()
        await wait_for(lambda: not listener.connections)
        harness.counter.replies_enabled.set()
        await wait_for(lambda: not harness.process.dispatcher.active_requests)
        assert not harness.received_requests() and not harness.process.dispatcher.engine.forwarder.requests


async def test_failed_attempt_is_not_retried_after_half_close() -> None:
    break_attempts = asyncio.Event()

    async def reset_connection(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
        await break_attempts.wait()
        writer.transport.abort()

    async with running_gateway(backends=2) as harness:
        for backend in harness.backends:
            backend.script = [reset_connection]
        client = await harness.connect_client()
        client.send(request(1))
        await wait_for(lambda: bool(harness.received_requests()))
        client.writer.write_eof()
        (forwarded,) = harness.process.dispatcher.engine.forwarder.requests.values()
        await wait_for(lambda: forwarded.not_resendable)
        break_attempts.set()
        assert (await client.read_response())[0] == 429  # retryable: the request is idempotent
        assert len(harness.received_requests()) == 1
