"""Long request and response bodies over loopback: they are streamed unchanged and with backpressure."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from quota_gateway.body_streaming import MAX_BUFFERED_BYTES, READ_BUFFER_BYTES
from quota_gateway.downstream.connection_limits import (
    BODY_STALL_TIMEOUT,
    LARGE_BODY_STALL_TIMEOUT,
    is_body_stalled,
)
from quota_gateway.downstream.connection_timeouts import enforce_timeouts
from quota_gateway.model.actions import Action, Reject, SetTimer, StartAttempt
from quota_gateway.model.events import (
    RequestBodyConsumed,
    RequestBodyReceived,
    ResponseStreamStarted,
    TimerFired,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import LateAttemptTimer, Timer
from tests.fakes import (
    EVENT_TIMEOUT,
    HttpMessage,
    ResponseStep,
    http_response,
    read_message,
    send_success,
    send_success_after,
)
from tests.harness import READY_REQUEST, request, running_gateway
from tests.policy_harness import make_attempt_ended, make_engine, make_request

LONG_BODY = random.Random(5).randbytes(5 * MAX_BUFFERED_BYTES + 17)
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"


def chunked(body: bytes, size: int = 30_011, extension: bytes = b';name="a value"') -> bytes:
    """Return a body in the chunked transfer coding, with a chunk extension and a trailer field."""
    parts = (body[start : start + size] for start in range(0, len(body), size))
    chunks = b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)
    return chunks + b"0\r\nX-Checksum: 5\r\n\r\n"


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(EVENT_TIMEOUT):
        while not condition():  # noqa: ASYNC110 (no event marks the gateway's internal state)
            await asyncio.sleep(0)


def respond_with(data: bytes) -> ResponseStep:
    return lambda writer, received: writer.write(data)


def respond_until_close(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.write(STATUS_LINE + b"Connection: close\r\n\r\n" + LONG_BODY)
    writer.close()


@pytest.mark.parametrize(
    "step",
    [
        respond_with(http_response(200, LONG_BODY, "Content-Type: text/x")),
        respond_with(CHUNKED_HEAD + chunked(LONG_BODY)),
        respond_with(CHUNKED_HEAD + chunked(LONG_BODY, 1, b"")),
        respond_until_close,
    ],
    ids=["content length", "chunked", "one-byte chunks", "until close"],
)
async def test_long_response_is_forwarded_unchanged(step: ResponseStep) -> None:
    async with running_gateway() as harness:
        harness.backends[0].script = [step]
        client = await harness.connect_client()
        status, _, body = await client.exchange(request(1))
        assert status == 200 and body == LONG_BODY
        assert (await client.exchange(request(2)))[0] == 200  # on the same connection
        metrics = await harness.metrics()
        assert metrics["success.lookup"] == 2 == metrics["dispatches"] and not metrics["concurrent"]
        dispatcher = harness.process.dispatcher
        assert dispatcher.active_requests == {} and dispatcher.engine.forwarder.requests == {}


async def test_long_responses_keep_pipeline_order() -> None:
    """An HTTP/1.0 client also gets the response, without the chunked coding."""
    async with running_gateway() as harness:
        first_may_answer = asyncio.Event()

        async def answer(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
            _, headers, _ = received
            if headers["x-call-id"].endswith("1"):
                await first_may_answer.wait()
                send_success(writer, received)
                return
            writer.write(CHUNKED_HEAD + chunked(LONG_BODY))

        harness.backends[0].script = [answer] * 3
        client = await harness.connect_client()
        client.send(request(1) + request(2))
        active_requests = harness.process.dispatcher.active_requests
        await wait_for(lambda: any(active.streaming_attempt for active in active_requests.values()))
        first_may_answer.set()
        assert (await client.read_response())[2].startswith(b"served")
        assert (await client.read_response())[2] == LONG_BODY
        http_1_0_client = await harness.connect_client()
        http_1_0_client.send(request(3).replace(b"HTTP/1.1", b"HTTP/1.0"))
        response = await http_1_0_client.reader.read()
        assert response.partition(b"\r\n\r\n")[2] == LONG_BODY and b"chunked" not in response[:200]


async def test_slow_client_puts_backpressure_on_backend() -> None:
    async with running_gateway() as harness:
        body = LONG_BODY * 40  # 13 MB, which is more than the sockets on the path can buffer
        harness.backends[0].script = [respond_with(http_response(200, body))]
        client = await harness.connect_client(receive_buffer=8192)
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send(request(1))
        await wait_for(lambda: any(c.write_paused for c in harness.process.listener.connections))
        (upstream,) = harness.process.pool.connections
        assert upstream.is_reading_paused and not upstream.read_timeout.is_running
        (connection,) = harness.process.listener.connections
        assert connection.transport is not None
        unread_bytes = connection.transport.get_write_buffer_size()
        assert unread_bytes <= 2 * MAX_BUFFERED_BYTES + 2 * READ_BUFFER_BYTES
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert (await client.read_response())[2] == body


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 999999\r\n\r\n" + LONG_BODY,
        b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG_BODY)[:-20],
    ],
    ids=["content length", "chunked"],
)
async def test_truncated_response_is_aborted_without_retry(framing: bytes) -> None:
    async with running_gateway() as harness:

        def truncate(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
            writer.write(STATUS_LINE + framing)
            writer.close()

        harness.backends[0].script = [truncate]
        client = await harness.connect_client()
        client.send(request(1))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await client.read_response()
        metrics = await harness.metrics()
        assert metrics["error.lookup"] == 1 and metrics["success.lookup"] == 0
        assert metrics["concurrent"] == 0 and len(harness.received_requests()) == 1


async def test_client_disconnect_ends_long_response() -> None:
    async with running_gateway() as harness:
        backend = harness.backends[0]
        backend.script = [respond_with(http_response(200, LONG_BODY * 40)[:-9])]
        client = await harness.connect_client(receive_buffer=8192)
        client.send(request(1))
        await client.reader.readexactly(100)
        client.reset()
        await backend.wait_until(lambda: backend.closed_count == 1)
        dispatcher = harness.process.dispatcher
        assert not dispatcher.active_requests and not dispatcher.engine.forwarder.requests


def long_request(number: int, body: bytes = LONG_BODY, **headers: str) -> bytes:
    return request(number, "extract", 5.0, body=body, **headers)


@pytest.mark.parametrize("size", [1 << 20, 700, 1])
async def test_long_request_body_is_forwarded_unchanged(size: int) -> None:
    """The client sends segments of `size` bytes."""
    async with running_gateway() as harness:
        client = await harness.connect_client()
        data = long_request(1)
        for start in range(0, 3000 * size, size):
            client.send(data[start : start + size])
            await asyncio.sleep(0)
        client.send(data[3000 * size :])
        assert (await client.read_response())[0] == 200 and harness.received_requests()[0][2] == LONG_BODY
        assert (await client.exchange(request(2)))[0] == 200  # on the same connection
        metrics = await harness.metrics()
        assert metrics["success.extract"] == 1 and metrics["dispatches"] == 2


async def test_chunked_request_body_is_forwarded() -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        head = request(1, "extract", omit_header="Content-Length", body=b"", Transfer_Encoding="chunked")
        assert (await client.exchange(head + chunked(LONG_BODY)))[0] == 200
        assert (
            harness.received_requests()[0][2] == LONG_BODY
            and float(harness.received_requests()[0][1]["x-budget"]) <= 5.0
        )
        assert (await client.exchange(head.replace(b"01\r\n", b"02\r\n") + chunked(b"short")))[0] == 200
        assert harness.received_requests()[1][2] == b"short"


async def test_expect_100_continue_is_answered_before_body() -> None:
    """An invalid request is rejected without an interim response."""
    async with running_gateway() as harness:
        client = await harness.connect_client()
        head, _, body = long_request(1, Expect="100-continue").partition(b"\r\n\r\n")
        client.send(head + b"\r\n\r\n")
        assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        assert (await client.exchange(body))[0] == 200 and harness.received_requests()[0][2] == LONG_BODY
        invalid = long_request(2, Expect="100-continue", Plan="gold").partition(b"\r\n\r\n")[0]
        assert (await client.exchange(invalid + b"\r\n\r\n"))[0] == 400  # without a 100 before it


async def test_slow_backend_puts_backpressure_on_client() -> None:
    async with running_gateway() as harness:
        may_read = asyncio.Event()

        async def serve_later(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            reader._transport.pause_reading()  # type: ignore[attr-defined]
            await may_read.wait()
            reader._transport.resume_reading()  # type: ignore[attr-defined]
            send_success(writer, await read_message(reader))

        harness.backends[0].serve = serve_later  # type: ignore[method-assign]
        client = await harness.connect_client()
        client.send(long_request(1, LONG_BODY * 40))
        await wait_for(lambda: any(c.read_paused for c in harness.process.listener.connections))
        (connection,) = harness.process.listener.connections
        assert connection.request_handler.body_stream is not None
        assert connection.request_handler.body_stream.buffered_bytes <= MAX_BUFFERED_BYTES + READ_BUFFER_BYTES
        assert len(connection.unread) <= READ_BUFFER_BYTES
        assert not is_body_stalled(
            connection.request_handler, connection.last_read_at, connection.last_read_at + 0.1
        )
        may_read.set()
        assert (await client.read_response())[0] == 200


async def test_partly_sent_body_is_not_retried() -> None:
    """The request counts as not executed, so that the client gets the retryable status 429."""
    async with running_gateway(backends=2) as harness:

        async def abort_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(1000)
            writer.transport.abort()

        for backend in harness.backends:
            backend.serve = abort_early  # type: ignore[method-assign]
        client = await harness.connect_client()
        head, _, body = long_request(1).partition(b"\r\n\r\n")
        client.send(head + b"\r\n\r\n" + body[: 2 * MAX_BUFFERED_BYTES])
        status, headers, _ = await client.read_response()  # the client is still sending
        assert status == 429 and headers["connection"] == "close"
        assert sum(backend.connection_count for backend in harness.backends) == 1
        metrics = await harness.metrics()
        assert metrics["overload.extract"] == 1 and metrics["dispatches"] == metrics["concurrent"] == 0


async def test_early_response_reaches_sending_client() -> None:
    async with running_gateway() as harness:

        async def answer_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(1000)
            writer.write(http_response(200, b"enough"))
            await reader.read()

        harness.backends[0].serve = answer_early  # type: ignore[method-assign]
        client = await harness.connect_client()
        client.send(long_request(1)[: 2 * MAX_BUFFERED_BYTES])
        assert (await client.read_response())[2] == b"enough" and await client.wait_closed()


@pytest.mark.parametrize("resets", [True, False])
async def test_incomplete_body_is_not_executed_after_disconnect(resets: bool) -> None:
    async with running_gateway() as harness:
        client = await harness.connect_client()
        client.send(long_request(1)[: 2 * MAX_BUFFERED_BYTES])
        await wait_for(lambda: any(c.attempt for c in harness.process.pool.connections))
        if resets:
            client.reset()
        else:
            client.writer.write_eof()
            assert (await client.read_response())[0] == 400
        backend = harness.backends[0]
        await backend.wait_until(lambda: backend.closed_count == 1)
        assert not harness.received_requests() and not harness.process.dispatcher.active_requests


@pytest.mark.parametrize(
    ("sent", "stall_timeout"),
    [(MAX_BUFFERED_BYTES // 2, BODY_STALL_TIMEOUT), (2 * MAX_BUFFERED_BYTES, LARGE_BODY_STALL_TIMEOUT)],
)
async def test_stalled_request_body_times_out(sent: int, stall_timeout: float) -> None:
    async with running_gateway() as harness:
        connections = harness.process.listener.connections
        client = await harness.connect_client()
        client.send(long_request(1)[:sent])
        await wait_for(
            lambda: any(
                not c.request_handler.in_head and c.request_handler.body_size > sent - 2000
                for c in connections
            )
        )
        (connection,) = connections
        for idle_time, times_out in ((stall_timeout - 0.1, False), (stall_timeout + 0.1, True)):
            enforce_timeouts(connection, connection.last_read_at + idle_time, 100.0)
            assert connection.input_ended == times_out
        assert (await client.read_response())[0] == 408


def started_attempts(actions: list[Action]) -> list[StartAttempt]:
    return [action for action in actions if isinstance(action, StartAttempt)]


def timers_set(actions: list[Action]) -> list[Timer]:
    return [action.timer for action in actions if isinstance(action, SetTimer)]


def test_streamed_request_budget_starts_at_last_byte() -> None:
    engine = make_engine()
    actions = engine.handle(replace(make_request(1, "pay", deadline=106.0), body_incomplete=True), 100.0)
    (attempt,) = started_attempts(actions)
    assert attempt.timeout == 0.0
    assert not any(isinstance(timer, LateAttemptTimer) for timer in timers_set(actions))
    actions = engine.handle(RequestBodyReceived(1, 156.0), 150.0)
    assert timers_set(actions) == [LateAttemptTimer(1, 0)]  # only now can the attempt be late
    assert (
        engine.forwarder.requests[1].request.deadline == 156.0
        and engine.forwarder.requests[1].first_sent_at == 150.0
    )


def test_request_with_consumed_body_is_not_retried() -> None:
    engine = make_engine()
    actions = engine.handle(replace(make_request(1), body_incomplete=True), 100.0)
    (attempt,) = started_attempts(actions)
    engine.handle(RequestBodyConsumed(1), 100.0)
    actions = engine.handle(make_attempt_ended(1, 0, attempt.endpoint_id, Outcome.CONNECT_FAILED), 100.1)
    assert [type(action) for action in actions if isinstance(action, StartAttempt | Reject)] == [Reject]


def test_streamed_response_is_in_flight_until_first_byte() -> None:
    """After it, neither the timer of a late attempt nor a broken response has an effect."""
    engine = make_engine()
    (attempt,) = started_attempts(engine.handle(make_request(1), 100.0))
    engine.handle(ResponseStreamStarted(1, 0, 0.05), 100.05)
    assert engine.admission.in_flight == 0 and engine.endpoints[attempt.endpoint_id].in_flight == 0
    engine.handle(TimerFired(LateAttemptTimer(1, 0)), 101.0)
    assert engine.admission.admit_ratio == 1.0 and engine.endpoints[attempt.endpoint_id].failure_score == 0.0
    assert (
        engine.handle(
            make_attempt_ended(1, 0, attempt.endpoint_id, Outcome.BROKEN_RESPONSE, request_answered=True),
            140.0,
        )
        == []
    )
    assert engine.admission.in_flight == 0 and not engine.forwarder.requests


async def test_readiness_is_answered_during_long_request() -> None:
    async with running_gateway() as harness:
        may_answer = asyncio.Event()
        harness.backends[0].script = [send_success_after(may_answer)]
        waiting_client = await harness.connect_client()
        waiting_client.send(long_request(1))
        other_client = await harness.connect_client()
        assert (await other_client.exchange(READY_REQUEST))[0] == 200
        may_answer.set()
        assert (await waiting_client.read_response())[0] == 200
