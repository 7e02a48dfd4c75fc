"""Outcomes of attempts over loopback, and which of them prove that a request was not executed."""

from __future__ import annotations

import asyncio
import os
import select

import pytest

from quota_gateway.body_streaming import LAST_CHUNK, MAX_BUFFERED_BYTES, RequestBodyStream
from quota_gateway.model.outcomes import Outcome
from quota_gateway.upstream import connection
from quota_gateway.upstream import read_timeout as read_timeouts
from quota_gateway.upstream.attempt import AttemptResult
from quota_gateway.upstream.endpoint_connections import MIN_IDLE_BEFORE_REUSE
from quota_gateway.upstream.response_parser import MAX_HEAD_BYTES
from tests.fakes import EVENT_TIMEOUT, HOST, HttpMessage, ResponseStep, http_response
from tests.upstream_harness import ManualTimerLoop, abort_connection, new_attempt, respond_with, running_pool


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (http_response(200, b"x"), Outcome.SUCCESS),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + http_response(200, b"x"), Outcome.SUCCESS),
        (http_response(200, b"x", "Connection: close"), Outcome.SUCCESS),
        (http_response(200, b"x") + http_response(200, b"y"), Outcome.SUCCESS),
        (http_response(500), Outcome.ERROR),
        (http_response(204), Outcome.ERROR),
        (http_response(503), Outcome.ERROR),
        (http_response(500, b"", "X-Rejected: 1"), Outcome.ERROR),
        (http_response(503, b"", "X-Rejected: 1"), Outcome.REJECTED),
        (http_response(504, b"", "X-Rejected: 1"), Outcome.REJECTED),
        (http_response(504, b"", "X-Rejected: 0"), Outcome.ERROR),
        (b"rubbish\r\n\r\n", Outcome.BROKEN_RESPONSE),
        (http_response(200, b"x" * MAX_BUFFERED_BYTES), Outcome.SUCCESS),
        (http_response(200, b"x" * (MAX_BUFFERED_BYTES + 1)), Outcome.BROKEN_RESPONSE),
    ],
)
async def test_response_determines_the_outcome(response: bytes, outcome: Outcome) -> None:
    async with running_pool(respond_with(response)) as (sender, endpoint):
        assert await sender.outcome() is outcome
        assert await sender.outcome() is Outcome.SUCCESS  # the response does not affect the next attempt
        assert len(endpoint.requests) == 2


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (b"HTTP/1.1 200 \r\ncontent-LENGTH:\t 1 \t\r\nX-Note:\r\n\r\nx", Outcome.SUCCESS),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding:  chunked \r\n\r\n1;a=b\r\nx\r\n0\r\nX-Sum: 1\r\n\r\n",
            Outcome.SUCCESS,
        ),
        (b"HTTP/1.1 503 X\r\nX-Rejected: 1 \r\nContent-Length:0 \r\n\r\n", Outcome.REJECTED),
    ],
)
async def test_response_split_at_every_byte_is_parsed(response: bytes, outcome: Outcome) -> None:
    # If a read ended after trailing whitespace, that was parsed as a part of the value, and the response was
    # rejected as malformed.
    async with running_pool(lambda writer, request: None) as (sender, endpoint):
        started = sender.start()
        await endpoint.wait_until(lambda: len(endpoint.requests) == 1)
        (upstream,) = sender.pool.connections
        for byte in response:
            upstream.data_received(bytes((byte,)))
        assert (await started.result).outcome is outcome


@pytest.mark.parametrize(
    "step",
    [
        abort_connection,
        respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", close=True),
        respond_with(b"", close=True),
        respond_with(b"HTTP/1.1 200 OK\r\n\r\nab", close=True),
    ],
)
async def test_connection_loss_after_write_is_broken_response(step: ResponseStep) -> None:
    """The request may have been executed."""
    async with running_pool(step) as (sender, _):
        assert await sender.outcome() is Outcome.BROKEN_RESPONSE


async def test_stale_pooled_connection_is_broken_response() -> None:
    """The request may have been executed."""
    async with running_pool(respond_with(http_response(200)), abort_connection) as (sender, endpoint):
        assert await sender.outcome() is Outcome.SUCCESS
        await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE)
        assert await sender.outcome() is Outcome.BROKEN_RESPONSE
        assert len(endpoint.requests) == 2 and endpoint.connection_count == 1


async def test_refused_connection_proves_non_execution() -> None:
    async with running_pool() as (sender, endpoint):
        await endpoint.stop()
        assert await sender.outcome() is Outcome.CONNECT_FAILED


async def test_partly_written_request_proves_non_execution() -> None:
    # The kernel accepts a part of a large body; the rest is still in the gateway when the connection ends.
    async def read_a_little(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(10)
        await asyncio.sleep(0)
        writer.transport.abort()

    server = await asyncio.start_server(read_a_little, HOST, 0, limit=16)
    async with running_pool() as (sender, _):
        sender.pool.set_endpoint("b", server.sockets[0].getsockname())
        started = sender.start(body=b"x" * 30_000_000)
        assert (await started.result).outcome is Outcome.CONNECT_FAILED
    server.close()


async def test_timeout_and_cancellation_close_the_connection() -> None:
    no_response = respond_with(b"")
    async with running_pool(no_response, no_response) as (sender, endpoint):
        assert await sender.outcome(0.05) is Outcome.TIMED_OUT
        started = sender.start()
        await endpoint.wait_until(lambda: len(endpoint.requests) == 2)
        started.attempt.end(AttemptResult(Outcome.CANCELLED))
        assert (await started.result).outcome is Outcome.CANCELLED
        await endpoint.wait_until(lambda: endpoint.closed_count == 2)
        assert not sender.pool.connections or await sender.outcome() is Outcome.SUCCESS


OTHER_RESPONSE = http_response(500, b"another's body", "Billed-Units: 7", "X-Rejected: 1")


@pytest.mark.parametrize(
    "surplus", [OTHER_RESPONSE, http_response(200, b"mine", "Billed-Units: 2"), b"\x00noise\r\n\r\n"]
)
@pytest.mark.parametrize("in_same_read", [True, False])
async def test_surplus_bytes_affect_no_response(surplus: bytes, in_same_read: bool) -> None:
    # A second response in the same read was appended to the body of the first one and replaced its status and
    # units; a later one was taken for the response to the next request on the connection.
    async def respond_with_surplus(writer: asyncio.StreamWriter, request: HttpMessage) -> None:
        writer.write(http_response(200, b"mine", "Billed-Units: 2") + (surplus if in_same_read else b""))
        if not in_same_read:
            await writer.drain()
            await started.result
            writer.write(surplus)

    async with running_pool(respond_with_surplus, respond_with(http_response(200, b"next"))) as (
        sender,
        endpoint,
    ):
        started = sender.start()
        result = await started.result
        assert (result.outcome, result.body, result.billed_units) == (Outcome.SUCCESS, b"mine", 2.0)
        await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE)
        assert (await sender.result()).body == b"next"
        assert endpoint.connection_count == 2  # the first connection isn't reused


async def test_unread_bytes_on_idle_connection_are_detected() -> None:
    async with running_pool(respond_with(http_response(200, b"mine"))) as (sender, endpoint):
        await sender.outcome()
        await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE)
        (upstream,) = sender.pool.connections
        assert not upstream.has_unread_input()
        endpoint_socket = next(iter(endpoint.open_writers)).get_extra_info("socket")
        os.write(endpoint_socket.fileno(), http_response(200, b"late"))
        assert upstream.transport is not None
        upstream_socket = upstream.transport.get_extra_info("socket")
        select.select([upstream_socket], [], [], EVENT_TIMEOUT)  # arrived, but not yet seen by the loop
        assert upstream.has_unread_input()


@pytest.mark.parametrize(
    "interim",
    [
        b"HTTP/1.1 100 Continue\r\nBilled-Units: 7\r\nX-Rejected: 1\r\n\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Type: a/b\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
    ],
)
@pytest.mark.parametrize("status", [200, 503])
async def test_interim_responses_are_ignored(interim: bytes, status: int) -> None:
    responses = (respond_with(interim + http_response(status, b"real")), respond_with(http_response(200)))
    async with running_pool(*responses) as (sender, endpoint):
        result = await sender.result()
        if status == 200:
            assert result == AttemptResult(Outcome.SUCCESS, b"real", 0.0, b"")
        else:
            assert result.outcome is Outcome.ERROR  # X-Rejected came with the interim response only
        await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE)
        assert await sender.outcome() is Outcome.SUCCESS and endpoint.connection_count == 1


# Responses that are recognized as invalid without a timeout.
INVALID_RESPONSES = [
    b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppppppppppppppp\r\n" * (MAX_HEAD_BYTES // 20),
    b"HTTP/1.1 100 Continue\r\n\r\n" * (MAX_HEAD_BYTES // 20),
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1;%b\r\na\r\n" % (b"x" * 200) * 1200,
]
# Valid beginnings of responses, after which no more data follows.
STALLED_RESPONSES = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nContent-Le",
]


@pytest.mark.parametrize(
    ("response", "read_timeout"),
    [(response, 1000.0) for response in INVALID_RESPONSES]
    + [(response, read_timeouts.RESPONSE_READ_TIMEOUT) for response in STALLED_RESPONSES],
)
async def test_invalid_response_ends_attempt_before_deadline(
    response: bytes, read_timeout: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The attempt waited until its deadline for each of these responses, and then the request failed.
    monkeypatch.setattr(read_timeouts, "RESPONSE_READ_TIMEOUT", read_timeout)
    async with running_pool(respond_with(response)) as (sender, endpoint):
        assert await sender.outcome(1000.0) is Outcome.BROKEN_RESPONSE
        await endpoint.wait_until(lambda: endpoint.closed_count == 1)


@pytest.mark.parametrize(("attempt_timeout", "read_timeout"), [(1.0, 0.2), (0.25, 0.05), (1000.0, 0.5)])
async def test_read_timeout_leaves_time_for_a_retry(attempt_timeout: float, read_timeout: float) -> None:
    # With a fixed read timeout of half a second, attempts with a short deadline timed out without a retry.
    incomplete = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"
    async with running_pool(respond_with(incomplete)) as (sender, _):
        loop = ManualTimerLoop(sender.pool.loop)
        sender.pool.loop = loop  # type: ignore[assignment]
        started = sender.start(attempt_timeout)
        timer = await loop.timer("_read_timed_out")
        assert timer.delay == pytest.approx(read_timeout, rel=0.01)
        timer.fire()
        assert (await started.result).outcome is Outcome.BROKEN_RESPONSE


class FullTransport(asyncio.Transport):
    """Records what is written, and has a full buffer after each write until the test resumes writing."""

    def __init__(self, connection: connection.UpstreamConnection) -> None:
        super().__init__()
        self.connection = connection
        self.written: list[bytes] = []

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written.append(bytes(data))
        self.connection.pause_writing()

    def get_write_buffer_size(self) -> int:
        return len(self.written[-1])


async def test_last_chunk_is_written_once_under_backpressure() -> None:
    async with running_pool() as (sender, _):
        (endpoint,) = sender.pool.endpoints.values()
        upstream = connection.UpstreamConnection(sender.pool, endpoint)
        transport = FullTransport(upstream)
        upstream.transport = transport
        attempt = new_attempt(sender.pool).attempt
        attempt.body_stream = RequestBodyStream(None, 5.0)
        attempt.body_stream.feed(b"abc")
        attempt.body_stream.finish()
        upstream.send_attempt(attempt, sender.pool.clock())
        for _ in range(5):
            upstream.resume_writing()
        assert transport.written[1:] == [b"3\r\nabc\r\n", LAST_CHUNK]
        assert attempt.written_at is not None
