"""Clients that disconnect while their request waits: it is not forwarded, and its units are refunded."""

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

CONDITION_TIMEOUT = 2.0  # seconds; a request is queued for up to 2.5, within its budget of 5


@pytest.fixture(autouse=True)
def no_grace_period(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quota_gateway.downstream.half_close.GRACE_PERIOD", 0.0)


async def until(condition: Callable[[], bool]) -> None:
    """Wait for the condition, before the request's own limits could end it."""
    async with asyncio.timeout(CONDITION_TIMEOUT):
        while not condition():  # noqa: ASYNC110 (no event marks the gateway's internal state)
            await asyncio.sleep(0)


def serve_without_units(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
    writer.write(http_response(200))  # without Billed-Units the estimate stays


class FullListener:
    """A listening socket with a full queue: connects to it succeed only once one is accepted."""

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


def with_long_timeouts(env: dict[str, Any]) -> dict[str, Any]:
    """Allow seconds for the counter and for an attempt."""
    env["domain"]["count_limit"] = 8000.0
    env["services"][0]["aim"] = 8000.0
    return env


@asynccontextmanager
async def waiting_request(state: str) -> AsyncIterator[tuple[GatewayHarness, Client]]:
    """Start a gateway whose client's request 9 waits: queued, for the counter, or for a connection."""
    break_attempt = asyncio.Event()

    async def reset_connection(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
        await break_attempt.wait()
        writer.transport.abort()

    full_listener = FullListener()
    env = example_settings() if state in ("queued", "counter") else high_quota_settings(dial_timeout=8000.0)
    async with running_gateway(settings=with_long_timeouts(env)) as harness:
        client = await harness.connect_client()
        dispatcher, discovery = harness.process.dispatcher, harness.discovery
        if state == "queued":
            harness.backends[0].script = [serve_without_units, serve_without_units]
            for number, units in enumerate(("8", "4")):  # the whole burst
                assert (await client.exchange(request(number, plan="pro", units=units)))[0] == 200
            client.send(request(9, plan="pro"))
            await until(lambda: bool(dispatcher.active_requests))
        elif state == "counter":
            harness.counter.replies_enabled.clear()
            client.send(request(9))
            await until(lambda: bool(harness.counter.increments))
        elif state == "connecting":
            await discovery.publish(discovery.entry("b0", full_listener.address))
            await until(
                lambda: dispatcher.pool.endpoints["b0"].address[1] == int(full_listener.address.split(":")[1])
            )
            client.send(request(9))
            await until(lambda: bool(dispatcher.pool.connecting_attempts))
        else:
            harness.backends[0].script = [reset_connection]
            client.send(request(9))
            await harness.backends[0].wait_until(lambda: bool(harness.received_requests()))
            await discovery.publish(discovery.entry("b1", full_listener.address))
            await until(lambda: "b1" in dispatcher.pool.endpoints)
            break_attempt.set()
            await until(lambda: bool(dispatcher.pool.connecting_attempts))
        yield harness, client
    full_listener.close()


STATES = ["queued", "counter", "connecting", "retry"]


@pytest.mark.parametrize("how", ["closes", "resets"])
@pytest.mark.parametrize("state", STATES)
async def test_request_is_not_forwarded_after_its_client_disconnected(state: str, how: str) -> None:
    # a close reads as a half-close at first
    async with waiting_request(state) as (harness, client):
        dispatcher, seen = harness.process.dispatcher, len(harness.received_requests())
        limiter = next(iter(dispatcher.engine.limiter_registry.limiters.values()))
        before = limiter.balance
        if how == "closes":
            client.writer.close()
        else:
            client.reset()
        await until(lambda: not dispatcher.active_requests and not dispatcher.pool.connecting_attempts)
        harness.counter.replies_enabled.set()
        await until(lambda: not limiter.awaiting_reading)
        assert (
            len(harness.received_requests()) == seen
            and not dispatcher.engine.forwarder.requests
            and not limiter.queue
        )
        if state != "retry":  # the first attempt of a retried request used its units
            limiter.refill(dispatcher.clock())
            assert limiter.balance >= min(before + 1.0, limiter.capacity) and limiter.queued_units == 0


@pytest.mark.parametrize("state", STATES)
async def test_half_closed_client_is_rejected_with_a_retryable_status(state: str) -> None:
    async with waiting_request(state) as (harness, client):
        seen = len(harness.received_requests())
        client.writer.write_eof()
        assert (await client.read_response())[0] == 429
        assert await client.wait_closed()
        assert len(harness.received_requests()) == seen


@pytest.mark.parametrize("how", ["closes", "resets"])
async def test_disconnect_is_detected_while_reading_is_paused(how: str) -> None:
    # the loop reports no disconnect on a connection that it does not read
    async with running_gateway(settings=with_long_timeouts(example_settings())) as harness:
        harness.counter.replies_enabled.clear()
        client, listener = await harness.connect_client(), harness.process.listener
        client.send(b"".join(request(number) for number in range(8 * MAX_PIPELINED_REQUESTS)))
        await until(lambda: any(c.read_paused for c in listener.connections))
        assert len(harness.process.dispatcher.active_requests) >= MAX_PIPELINED_REQUESTS
        if how == "closes":
            client.writer.close()
        else:
            client.reset()
        await until(lambda: not listener.connections)
        harness.counter.replies_enabled.set()
        await until(lambda: not harness.process.dispatcher.active_requests)
        assert not harness.received_requests() and not harness.process.dispatcher.engine.forwarder.requests


async def test_failed_attempt_is_not_retried_after_its_client_closed() -> None:
    break_attempts = asyncio.Event()

    async def reset_connection(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
        await break_attempts.wait()
        writer.transport.abort()

    async with running_gateway(backends=2) as harness:
        for backend in harness.backends:
            backend.script = [reset_connection]
        client = await harness.connect_client()
        client.send(request(1))
        await until(lambda: bool(harness.received_requests()))
        client.writer.write_eof()
        (job,) = harness.process.dispatcher.engine.forwarder.requests.values()
        await until(lambda: job.not_resendable)
        break_attempts.set()
        assert (await client.read_response())[0] == 429  # retryable: the request is idempotent
        assert len(harness.received_requests()) == 1
