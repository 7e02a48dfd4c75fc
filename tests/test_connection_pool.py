"""The connection pool over loopback: connects, reuse, idle timeout, limit, and changes of endpoints."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.model.outcomes import Outcome
from quota_gateway.upstream.attempt import AttemptResult
from tests.fakes import FakeBackend, HttpMessage, http_response
from tests.upstream_harness import (
    abort_connection,
    address_of,
    connecting_forever,
    new_attempt,
    respond_with,
    sending,
)


@pytest.mark.parametrize("cause", ["draining", "removed", "ended", "timed out"])
async def test_attempt_that_ends_while_connecting_is_not_sent_afterwards(cause: str) -> None:
    # A drain's grace period and a request's end pass during the connect: no byte may follow them.
    async with connecting_forever() as sender:
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
async def test_connect_that_completes_after_the_send_deadline_sends_nothing(
    send_timeout: float, outcome: Outcome
) -> None:
    # Endpoints drop duplicates of a request only for some time: the decision was in time, the send is not.
    async with sending() as (sender, endpoint):
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
    async with connecting_forever() as sender:
        sender.pool.connect_timeout = 0.05
        assert await sender.outcome() is Outcome.CONNECT_FAILED


async def test_idle_connections_are_closed_well_before_the_endpoint_closes_them() -> None:
    now = 0.0
    async with sending(keepalive=10.0) as (sender, endpoint):
        sender.pool.clock = lambda: now
        assert await sender.outcome() is Outcome.SUCCESS
        now = 4.9
        assert await sender.outcome() is Outcome.SUCCESS and endpoint.connection_count == 1
        now = 10.0
        assert await sender.outcome() is Outcome.SUCCESS and endpoint.connection_count == 2
        now = 16.0
        sender.pool.close_expired_connections()
        await endpoint.wait_until(lambda: endpoint.closed_count == 2)


async def test_endpoint_that_timed_out_or_restarted_gets_new_connections() -> None:
    # A machine that is cut off leaves its connections open and silent. What is sent on a pooled one may have
    # been executed; a connect that fails proves the opposite.
    success = respond_with(http_response(200))
    no_response = respond_with(b"")
    async with sending(no_response, no_response, success, success, success) as (sender, peer):
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


async def test_connections_are_limited_and_idle_ones_closed_for_new_ones() -> None:
    no_response = respond_with(b"")
    async with sending(no_response, no_response) as (sender, endpoint):
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


async def test_connection_to_a_former_address_is_not_reused() -> None:
    # A response that came after the change put its connection back under the same endpoint id.
    released = asyncio.Event()

    async def respond_when_released(writer: asyncio.StreamWriter, request: HttpMessage) -> None:
        await released.wait()
        writer.write(http_response(200, b"old"))

    async with sending(respond_when_released) as (sender, former):
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
    # Each costs the request that is sent on it, which may have been executed.
    now = 0.0
    script = (respond_with(http_response(200)), abort_connection)
    async with sending(*script, keepalive=60.0) as (sender, endpoint):
        sender.pool.clock = lambda: now
        assert await sender.outcome() is Outcome.SUCCESS
        now = 5.0
        assert await sender.outcome() is Outcome.BROKEN_RESPONSE and endpoint.connection_count == 1
        assert await sender.outcome() is Outcome.SUCCESS and endpoint.connection_count == 2
        now = 9.0  # idle for less time than the stale connection was, but over the new timeout
        assert await sender.outcome() is Outcome.SUCCESS and endpoint.connection_count == 3
        now = 11.0
        before = sender.pool.idle_timeout.current
        assert await sender.outcome() is Outcome.SUCCESS and endpoint.connection_count == 3
        assert before < sender.pool.idle_timeout.current < 30.0  # a live connection raises it again
