"""The connection pool over loopback: connects, reuse, idle timeouts, the limit, and endpoint changes."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.model.outcomes import Outcome
from quota_gateway.upstream.attempt import AttemptResult
from tests.fakes import FakeBackend, HttpMessage, http_response
from tests.upstream_harness import (
    ENDPOINT_ID,
    abort_connection,
    address_of,
    new_attempt,
    pool_without_connects,
    respond_with,
    running_pool,
)


@pytest.mark.parametrize("cause", ["draining", "removed", "ended", "timed out"])
async def test_attempt_that_ends_while_connecting_is_not_sent(cause: str) -> None:
    # A drain's grace period or the request itself can end during the connect: nothing may be sent afterwards.
    async with pool_without_connects() as sender:
        started = sender.start(0.05 if cause == "timed out" else 20.0)
        await asyncio.sleep(0)
        assert sender.pool.connecting_attempts
        match cause:
            case "draining":
                sender.pool.retire_endpoint("b")
            case "removed":
                sender.pool.retain_only_endpoints([])
            case "ended":
                started.attempt.end(AttemptResult(Outcome.NOT_SENT))
        assert (await started.result).outcome.proves_not_executed
        await asyncio.sleep(0)
        assert not sender.pool.connecting_attempts and not sender.pool.connections
        assert not started.attempt.is_sending_started


@pytest.mark.parametrize(("send_timeout", "outcome"), [(1.0, Outcome.CONNECT_FAILED), (3.0, Outcome.SUCCESS)])
async def test_connect_after_send_deadline_sends_nothing(send_timeout: float, outcome: Outcome) -> None:
    # Endpoints detect duplicates only for some time: the attempt was started in time, but is sent too late.
    async with running_pool() as (sender, endpoint):
        pool = sender.pool
        clock = pool.clock
        connect_time = 0.0
        pool.clock = lambda: clock() + connect_time
        started = new_attempt(pool)
        started.attempt.send_deadline = started.attempt.started_at + send_timeout
        pool.start_attempt(started.attempt)
        connect_time = 2.0
        assert (await started.result).outcome is outcome
        assert len(endpoint.requests) == (outcome is Outcome.SUCCESS)


async def test_connect_times_out() -> None:
    async with pool_without_connects() as sender:
        sender.pool.connect_timeout = 0.05
        assert await sender.outcome() is Outcome.CONNECT_FAILED


async def test_idle_connections_are_closed_before_keepalive_ends() -> None:
    now = 0.0
    async with running_pool(keepalive=10.0) as (sender, endpoint):
        sender.pool.clock = lambda: now
        assert await sender.outcome() is Outcome.SUCCESS
        now = 4.9
        assert await sender.outcome() is Outcome.SUCCESS and endpoint.connection_count == 1
        now = 10.0
        assert await sender.outcome() is Outcome.SUCCESS and endpoint.connection_count == 2
        now = 16.0
        sender.pool.close_expired_connections()
        await endpoint.wait_until(lambda: endpoint.closed_count == 2)


async def test_failed_endpoint_gets_new_connections() -> None:
    """The endpoint has timed out or was restarted."""
    # A machine that loses its network leaves its connections open and silent. A request sent on a pooled
    # connection may have been executed; a failed connect proves that it was not.
    success = respond_with(http_response(200))
    no_response = respond_with(b"")
    async with running_pool(no_response, no_response, success, success, success) as (sender, peer):
        first = sender.start()
        await peer.wait_until(lambda: len(peer.requests) == 1)
        second = sender.start()
        await peer.wait_until(lambda: len(peer.requests) == 2)
        assert await sender.outcome() is Outcome.SUCCESS  # on a third connection, idle from now on
        endpoint = sender.pool.endpoints["b"]
        assert len(endpoint.idle_connections) == 1
        attempt = next(c.attempt for c in sender.pool.connections if c.attempt is not None)
        attempt.time_out()
        assert not endpoint.idle_connections and (first.result.done() or second.result.done())
        assert await sender.outcome() is Outcome.SUCCESS and peer.connection_count == 4
        sender.pool.set_endpoint("b", sender.pool.endpoints["b"].address, 7.0)
        assert await sender.outcome() is Outcome.SUCCESS and peer.connection_count == 5


async def test_idle_connections_are_closed_at_connection_limit() -> None:
    no_response = respond_with(b"")
    async with running_pool(no_response, no_response) as (sender, endpoint):
        sender.pool.max_connections = 2
        first = sender.start()
        sender.start()
        assert await sender.outcome() is Outcome.CONNECT_FAILED
        await endpoint.wait_until(lambda: len(endpoint.requests) == 2)
        first.attempt.end(AttemptResult(Outcome.CANCELLED))
        await endpoint.wait_until(lambda: endpoint.closed_count == 1)
        assert await sender.outcome() is Outcome.SUCCESS
        sender.pool.set_endpoint("c", sender.pool.endpoints["b"].address)
        sender.pool.start_attempt(new_attempt(sender.pool, "c").attempt)
        await endpoint.wait_until(lambda: endpoint.closed_count >= 2)


async def test_connection_to_former_address_is_not_reused() -> None:
    # A response after the change of address returned its connection to the pool under the same endpoint id.
    released = asyncio.Event()

    async def respond_when_released(writer: asyncio.StreamWriter, request: HttpMessage) -> None:
        await released.wait()
        writer.write(http_response(200, b"old"))

    async with running_pool(respond_when_released) as (sender, former):
        successor = FakeBackend()
        await successor.start()
        successor.script = [respond_with(http_response(200, b"new"))]
        started = sender.start()
        await former.wait_until(lambda: len(former.requests) == 1)
        sender.pool.set_endpoint("b", address_of(successor))
        released.set()
        assert (await started.result).body == b"old"
        await former.wait_until(lambda: former.closed_count == 1)
        assert (await sender.result()).body == b"new"
        await successor.stop()


async def test_stale_connections_shorten_the_idle_timeout() -> None:
    # Each stale connection fails the request that is sent on it, which may have been executed.
    now = 0.0
    script = (respond_with(http_response(200)), abort_connection)
    async with running_pool(*script, keepalive=60.0) as (sender, endpoint):
        sender.pool.clock = lambda: now
        assert await sender.outcome() is Outcome.SUCCESS
        now = 5.0
        assert await sender.outcome() is Outcome.BROKEN_RESPONSE and endpoint.connection_count == 1
        assert await sender.outcome() is Outcome.SUCCESS and endpoint.connection_count == 2
        now = 9.0  # idle for less time than the stale connection, but longer than the new timeout
        assert await sender.outcome() is Outcome.SUCCESS and endpoint.connection_count == 3
        now = 11.0
        timeout_before = sender.pool.idle_timeout.current
        assert await sender.outcome() is Outcome.SUCCESS and endpoint.connection_count == 3
        assert timeout_before < sender.pool.idle_timeout.current < 30.0  # a live connection raises it again


async def test_attempt_that_ends_before_its_connect_begins_frees_its_place() -> None:
    # A task that is cancelled before its first step runs none of its code: the place was lost for good.
    async with running_pool() as (sender, _):
        started = sender.start()
        sender.pool.retire_endpoint(ENDPOINT_ID)  # by a list that is read in the same turn of the event loop
        assert (await started.result).outcome is Outcome.CONNECT_FAILED
        await asyncio.sleep(0.01)
        assert not sender.pool.connecting_attempts
