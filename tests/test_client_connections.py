"""Client connections over loopback: accepted and rejected requests, limits, and the order of responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from quota_gateway.body_streaming import MAX_BODY_BYTES, MAX_BUFFERED_BYTES
from quota_gateway.downstream.connection_eviction import UNUSED_TIMEOUT
from quota_gateway.downstream.request_handler import MAX_INVALID_REQUESTS
from quota_gateway.downstream.request_reader import MAX_HEAD_SIZE
from quota_gateway.upstream.endpoint_connections import MIN_IDLE_BEFORE_REUSE
from tests.fakes import EVENT_TIMEOUT, HttpMessage, http_response, send_success, send_success_after
from tests.harness import READY_REQUEST, high_quota_settings, request, running_gateway
from tests.virtual_clock import virtual_clock_loop, virtual_unix_clock


async def test_request_and_response_are_forwarded_unchanged() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        status, _, body = await client.exchange(request(0xABC, "report", body=b"Vestergade 1"))
        assert (status, body) == (200, b"served 0000000000000abc")
        start_line, headers, forwarded_body = harness.received_requests()[0]
        assert (
            start_line == "POST /api?client=00000000000000c1 HTTP/1.1" and forwarded_body == b"Vestergade 1"
        )
        assert headers["idempotency-key"] == f"key{0xabc:029x}"
        assert 0 < float(headers["x-budget"]) <= 5.0


async def test_connections_on_both_sides_are_reused() -> None:
    # The parser knows only during its callback whether the connection is persistent.
    async with running_gateway() as harness:
        client = await harness.connect_client()
        for number in range(5):
            assert (await client.exchange(request(number)))[0] == 200
            await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE)
        assert harness.backends[0].connection_count == 1


async def test_pipelined_responses_keep_request_order() -> None:
    """The first request is the last to be answered by its backend."""
    async with running_gateway() as harness:
        client = await harness.connect_client()
        second_arrived = asyncio.Event()

        async def answer(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
            if received[1]["x-call-id"].endswith("1"):
                await second_arrived.wait()
            send_success(writer, received)
            second_arrived.set()

        harness.backends[0].script = [answer, answer]
        client.send(request(1) + request(2))
        for number in (1, 2):
            assert (await client.read_response())[2] == f"served {number:016x}".encode()


async def test_long_pipeline_is_fully_answered() -> None:
    # Reading pauses at the pipelining limit and must resume. The policy may reject some of the requests.
    async with running_gateway() as harness:
        client = await harness.connect_client()
        client.send(b"".join(request(n, "report", body=b"x" * 5000) for n in range(60)))
        for number in range(60):
            status, _, body = await client.read_response()
            assert status == 429 or body == f"served {number:016x}".encode()


async def test_split_and_chunked_requests_are_reassembled() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        message_bytes = request(
            7, "extract", omit_header="Content-Length", Transfer_Encoding="chunked", body=b""
        )
        message_bytes += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        for offset in range(len(message_bytes)):
            client.send(message_bytes[offset : offset + 1])
            await client.writer.drain()
            await asyncio.sleep(0)
        assert (await client.read_response())[0] == 200
        assert (
            harness.received_requests()[0][2] == b"abcde"
            and harness.received_requests()[0][1]["content-length"] == "5"
        )


async def test_half_closed_client_gets_its_response() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        client.send(request(1))
        client.writer.write_eof()
        assert (await client.read_response())[0] == 200
        assert await client.wait_closed()


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"rubbish\r\n\r\n", 400),
        (b"GET /api HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (request(1, omit_header="X-Call-Id"), 400),
        (request(1, omit_header="X-Call-Class"), 400),
        (request(1, omit_header="Plan"), 400),
        (request(1, omit_header="X-Budget"), 400),
        (request(1, omit_header="Quota-Info"), 400),
        (request(1, "report", omit_header="Idempotency-Key"), 400),
        (request(1, "extract", Idempotency_Key="k"), 400),
        (request(1, X_Budget="soon"), 400),
        (request(1, X_Budget="nan"), 400),
        (request(1, X_Budget="-1"), 400),
        (request(1, Plan="gold"), 400),
        (request(1, X_Call_Class="order"), 400),
        (request(1, X_Call_Id="a b"), 400),
        (request(1, Quota_Info="units=2"), 400),
        (request(1, Quota_Info="units=0,spread=2,first=0"), 400),
        (request(1, customer="xyz"), 400),
        (request(1).replace(b"Plan: basis", b"Plan: basis\r\nPlan: pro"), 400),
        (request(1).replace(b"/api?", b"/other?"), 404),
        (b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (request(1).replace(b"GET ", b"DELETE "), 405),
        (request(1).replace(b"GET ", b"POST "), 405),
        (b"POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
        (request(1, Quota_Info="units=9,spread=2,first=0"), 400),
        (request(1, Quota_Info="units=999999999,spread=2,first=0"), 400),
        (request(1, Quota_Info="units=nan,spread=2,first=0"), 400),
        (request(1, Quota_Info="units=1,spread=3,first=0"), 400),
        (request(1, Quota_Info="units=1,spread=0,first=0"), 400),
        (request(1, Quota_Info="units=1,spread=1.5,first=0"), 400),
        (request(1, Quota_Info="units=1,spread=2,first=2"), 400),
        (request(1, customer="0000000200000000"), 400),
        (request(1, budget=8.2), 400),
        (request(1, budget=0.0), 400),
        (request(1, "extract").replace(b"Content-Length: 10", b"Content-Length:\r\n 10"), 400),
        (request(1, "extract", Content_Length="10\r\nContent-Length: 10"), 400),
        (request(1, "extract", Content_Length="-1"), 400),
        (request(1, "extract", Content_Length="10\r\n Transfer-Encoding: chunked"), 400),
        (request(1, "extract", Transfer_Encoding="chunked"), 400),
        (request(1, "extract", Transfer_Encoding="identity"), 400),
        (request(1, "extract", Content_Length=str(MAX_BODY_BYTES + 1)), 413),
        (request(1, "extract", Content_Length=str(MAX_BODY_BYTES), Plan="gold"), 400),
        (b"GET /api HTTP/1.1\r\nX-Long: " + b"x" * (4 * MAX_HEAD_SIZE), 431),
    ],
)
async def test_invalid_requests_are_rejected_and_not_forwarded(text: bytes, status: int) -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        response_status, _, body = await client.exchange(text)
        assert response_status == status and len(body.splitlines()) <= 1
        assert harness.process.dispatcher.submitted_request_count == 0 and not harness.received_requests()
        # The process still serves other clients.
        assert (await (await harness.connect_client()).exchange(request(2)))[0] == 200


async def test_largest_buffered_body_is_forwarded() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        assert (await client.exchange(request(1, "extract", body=b"x" * MAX_BUFFERED_BYTES)))[0] == 200


async def test_client_reset_cancels_the_attempt() -> None:
    long_timeouts = high_quota_settings()
    long_timeouts["services"][0]["aim"] = long_timeouts["services"][0]["deadline"] = 1e6
    async with running_gateway(settings=long_timeouts) as harness:
        client, forwarded = await harness.connect_client(), asyncio.Event()
        harness.backends[0].script = [lambda writer, received: forwarded.set()]
        client.send(request(1, budget=1000.0))
        await forwarded.wait()  # the backend never responds
        client.reset()
        await harness.backends[0].wait_until(lambda: harness.backends[0].closed_count == 1)
        assert (
            not harness.process.dispatcher.unanswered_request_count
            and not harness.process.dispatcher.active_requests
        )


async def test_only_idle_connections_are_evicted_at_capacity() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        release = asyncio.Event()
        harness.backends[0].script = [send_success_after(release)]
        harness.process.listener.max_connections = 2
        client.send(request(1))
        await harness.backends[0].wait_until(lambda: len(harness.backends[0].requests) == 1)
        idle, third = await harness.connect_client(), await harness.connect_client()
        assert (await idle.exchange(request(2)))[0] == 200
        assert (await third.exchange(request(3)))[0] == 200
        assert await idle.wait_closed()
        release.set()
        assert (await client.read_response())[0] == 200


async def test_reading_pauses_while_responses_are_unread() -> None:
    # Without a limit, responses that are not read would fill the gateway's memory.
    async with running_gateway() as harness:
        client = await harness.connect_client()
        large = http_response(200, b"x" * MAX_BUFFERED_BYTES)
        harness.backends[0].script = [lambda writer, received: writer.write(large)] * 1000
        client = await harness.connect_client(receive_buffer=8192)
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send(b"".join(request(n) for n in range(1000)))
        await wait_for(lambda: any(c.write_paused for c in harness.process.listener.connections))
        await harness.process.dispatcher.wait_until_answered(EVENT_TIMEOUT)
        assert harness.process.dispatcher.submitted_request_count < 1000
        connection = next(c for c in harness.process.listener.connections if c.write_paused)
        assert connection.transport is not None
        assert connection.transport.get_write_buffer_size() < 3_000_000
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        for _ in range(1000):
            assert (await client.read_response())[0] in (200, 429)


async def test_partial_requests_are_evicted_for_new_clients() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        listener, now = harness.process.listener, harness.process.listener.clock()
        listener.clock = lambda: now
        client = await harness.connect_client()
        client.send(request(1)[:40])
        await wait_for(lambda: any(c.in_request for c in listener.connections))
        listener.max_connections = len(listener.connections)
        assert not listener.has_capacity()
        assert not any(c.closing for c in listener.connections)
        listener.clock = lambda: now + 2 * UNUSED_TIMEOUT
        other = await harness.connect_client()
        assert (await other.exchange(READY_REQUEST))[0] == 200
        assert (await client.read_response())[0] == 408 and await client.wait_closed()


async def test_silent_connections_do_not_block_active_clients() -> None:
    # When silent connections were evicted one at a time, hundreds of them used up the capacity.
    async with running_gateway() as harness:
        _client = await harness.connect_client()
        listener = harness.process.listener
        listener.max_connections = 40
        silent = [await harness.connect_client() for _ in range(400)]
        active = [await harness.connect_client() for _ in range(20)]
        for number, active_client in enumerate(active):
            active_client.send(request(number))
        for active_client in active:
            assert (await active_client.read_response())[0] in (200, 429)
        assert sum(silent_client.reader.at_eof() for silent_client in silent) > 300


async def wait_for(condition: Callable[[], bool]) -> None:
    """Wait for the condition, which is checked in each iteration of the event loop."""
    async with asyncio.timeout(EVENT_TIMEOUT):
        while not condition():  # noqa: ASYNC110 (no event marks the gateway's internal state)
            await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("sent", "status"),
    [(b"", 0), (b"\r\n" * 5, 0), (request(1)[:40], 408), (request(1, "extract")[:-3], 408)],
)
async def test_incomplete_request_times_out_within_three_seconds(sent: bytes, status: int) -> None:
    """A partial request gets status 408; a connection without a request is closed."""
    async with running_gateway() as harness:
        listener, now = harness.process.listener, harness.process.listener.clock()
        listener.clock = lambda: now
        client = await harness.connect_client()
        client.send(sent)
        await wait_for(lambda: len(listener.connections) == 1)
        (connection,) = listener.connections
        await wait_for(lambda: (connection.request_handler.received_at > 0) == bool(sent))
        assert connection.in_request == connection.request_handler.any_request_started == (status > 0)
        listener.clock = lambda: now + 1.9
        listener.sweep()
        assert not connection.closing
        listener.clock = lambda: now + 2.7
        listener.sweep()
        if status:
            assert (await client.read_response())[0] == status
        assert await client.wait_closed()


async def test_idle_connection_is_closed_after_two_seconds() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        listener = harness.process.listener
        assert (await client.exchange(request(1)))[0] == 200
        (connection,) = listener.connections
        listener.max_connections = 2
        idle_since = connection.idle_since
        listener.clock = lambda: idle_since + 2.0
        listener.sweep()
        assert not connection.closing
        listener.clock = lambda: idle_since + 3.0
        listener.sweep()
        assert await client.wait_closed() and not listener.connections


async def test_duplicate_call_id_is_rejected_while_in_use() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        release = asyncio.Event()
        harness.backends[0].script = [send_success_after(release)]
        client.send(request(1))
        await harness.backends[0].wait_until(lambda: len(harness.backends[0].requests) == 1)
        other = await harness.connect_client()
        assert (await other.exchange(request(1)))[0] == 409
        release.set()
        assert (await client.read_response())[0] == 200
        assert (await other.exchange(request(1)))[0] == 200 and not harness.process.dispatcher.active_call_ids


async def test_repeated_invalid_requests_close_the_connection() -> None:
    """Reading pauses after a rejection, and MAX_INVALID_REQUESTS of them close the connection."""
    # An invalid request costs as much as a valid one, and a client may repeat it as soon as it is rejected.
    async with running_gateway() as harness:
        client = await harness.connect_client()
        invalid = request(1, Plan="gold")
        assert (await client.exchange(invalid))[0] == 400
        (connection,) = harness.process.listener.connections
        assert connection.request_handler.error_pause_timer is not None and connection.read_paused
        client.send(invalid * 300)
        for _ in range(MAX_INVALID_REQUESTS - 1):
            assert (await client.read_response())[0] == 400
        assert await client.wait_closed()


async def test_oversized_body_error_reaches_sending_client() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        client.send(request(1, "extract", body=b"", Content_Length="60000000"))
        for _ in range(100):
            client.send(b"x" * 600_000)
        assert (await client.read_response())[0] == 413
        assert await client.wait_closed()


async def test_stopping_gateway_answers_pipeline_before_close() -> None:
    # With "Connection: close" on the first response, accepted requests behind it would get no response.
    async with running_gateway() as harness:
        client = await harness.connect_client()
        release = asyncio.Event()
        harness.backends[0].script = [send_success_after(release)] * 2
        client.send(request(1) + request(2))
        await harness.backends[0].wait_until(lambda: len(harness.backends[0].requests) == 2)
        harness.process.listener.stopping = True
        release.set()
        first, second = await client.read_response(), await client.read_response()
        assert (first[0], second[0]) == (200, 200)
        assert "connection" not in first[1] and second[1]["connection"] == "close"
        assert await client.wait_closed()


async def test_readiness_follows_the_endpoint_list() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        assert (await client.exchange(READY_REQUEST))[0] == 200
        polls = len(harness.discovery.request_lines)
        await harness.discovery.publish(
            harness.discovery.entry("b0", harness.backends[0].address, "DRAINING")
        )
        await harness.discovery.wait_for_requests(polls + 1)
        assert (await client.exchange(READY_REQUEST))[0] == 503


@pytest.mark.virtual_clock
async def test_stalled_body_after_slow_head_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """The error comes within three seconds of the connect."""
    monkeypatch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)
    async with running_gateway() as harness:
        connected_at = virtual_clock_loop().now
        client = await harness.connect_client()
        head, _, _ = request(1, "extract").partition(b"\r\n\r\n")
        client.send(head[:50])
        await asyncio.sleep(2.3)
        client.send(head[50:] + b"\r\n\r\nt")
        assert (await client.read_response())[0] == 408
        assert virtual_clock_loop().now - connected_at < 3.0
