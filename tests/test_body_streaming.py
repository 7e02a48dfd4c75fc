"""Long bodies and answers, over loopback: passed on in pieces, unchanged, at their readers' pace."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from quota_gateway.body_streaming import HELD, READ_AT_ONCE
from quota_gateway.downstream.connection_limits import BODY_STALL_TIMEOUT as BODY_STALLED
from quota_gateway.downstream.connection_limits import LARGE_BODY_STALL_TIMEOUT as LONG_STALLED
from quota_gateway.model.actions import Reject, SetTimer, StartAttempt
from quota_gateway.model.events import (
    RequestBodyConsumed,
    RequestBodyReceived,
    ResponseStreamStarted,
    TimerFired,
)
from quota_gateway.model.outcomes import Outcome
from quota_gateway.model.timers import LateAttemptTimer
from tests.fakes import SOON, Asked, message, read_message, serve, serve_after
from tests.harness import READY, Client, GatewayHarness, request, run, running
from tests.policy_harness import ended, gateway
from tests.policy_harness import request as asked_for

LONG = random.Random(5).randbytes(5 * HELD + 17)
HEAD = b"HTTP/1.1 200 OK\r\n"


def chunked(body: bytes, size: int = 30_011, extension: bytes = b';name="a value"') -> bytes:
    pieces = (body[at : at + size] for at in range(0, len(body), size))
    text = b"".join(b"%x%b\r\n%b\r\n" % (len(p), extension, p) for p in pieces)
    return text + b"0\r\nX-Checksum: 5\r\n\r\n"


async def until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(SOON):
        while not done():
            await asyncio.sleep(0)


def ended_by_close(writer: asyncio.StreamWriter, asked: Asked) -> None:
    writer.write(HEAD + b"Connection: close\r\n\r\n" + LONG)
    writer.close()


@pytest.mark.parametrize(
    "step",
    [
        lambda writer, asked: writer.write(message(200, LONG, "Content-Type: text/x")),
        lambda writer, asked: writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG)),
        lambda writer, asked: writer.write(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG, 1, b"")
        ),
        ended_by_close,
    ],
)
def test_a_long_answer_goes_through_unchanged(step: Callable[[asyncio.StreamWriter, Asked], None]) -> None:
    async def test() -> None:
        async with running() as bed:
            bed.backends[0].script = [step]
            client = await bed.client()
            status, _, body = await client.ask(request(1))
            assert status == 200 and body == LONG
            assert (await client.ask(request(2)))[0] == 200  # and its connection is good for more
            figures = await bed.metrics()
            assert figures["success.lookup"] == 2 == figures["dispatches"] and not figures["concurrent"]
            assert (
                bed.process.dispatcher.active_requests == {}
                and bed.process.dispatcher.engine.forwarder.requests == {}
            )

    run(test)


def test_long_answers_keep_their_order_in_a_pipeline_and_reach_an_old_client() -> None:
    async def test() -> None:
        async with running() as bed:
            free = asyncio.Event()

            async def answer(writer: asyncio.StreamWriter, asked: Asked) -> None:
                if asked[1]["x-call-id"].endswith("1"):
                    await free.wait()
                    return serve(writer, asked)
                writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG))

            bed.backends[0].script = [answer] * 3
            client = await bed.client()
            client.send(request(1) + request(2))
            await until(
                lambda: any(p.streaming_attempt for p in bed.process.dispatcher.active_requests.values())
            )
            free.set()
            assert (await client.answer())[2].startswith(b"served") and (await client.answer())[2] == LONG
            old = await bed.client()
            old.send(request(3).replace(b"HTTP/1.1", b"HTTP/1.0"))
            text = await old.reader.read()
            assert text.partition(b"\r\n\r\n")[2] == LONG and b"chunked" not in text[:200]

    run(test)


def test_a_client_that_reads_nothing_holds_its_backend_back() -> None:
    async def test() -> None:
        async with running() as bed:
            body = LONG * 40  # 13 MB: more than the sockets on the way can hold
            bed.backends[0].script = [lambda writer, asked: writer.write(message(200, body))]
            client = await bed.client(receive_buffer=8192)
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(request(1))
            await until(lambda: any(c.stuck for c in bed.process.listener.connections))
            (backend,) = bed.process.pool.connections
            assert backend.paused and backend.stall is None
            (connection,) = bed.process.listener.connections
            assert connection.transport is not None
            assert connection.transport.get_write_buffer_size() <= 2 * HELD + 2 * READ_AT_ONCE
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert (await client.answer())[2] == body

    run(test)


@pytest.mark.parametrize(
    "framing",
    [b"Content-Length: 999999\r\n\r\n" + LONG, b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG)[:-20]],
)
def test_an_answer_that_breaks_off_is_cut_off_for_its_client_too(framing: bytes) -> None:
    async def test() -> None:
        async with running() as bed:

            def cut(writer: asyncio.StreamWriter, asked: Asked) -> None:
                writer.write(HEAD + framing)
                writer.close()

            bed.backends[0].script = [cut]
            client = await bed.client()
            client.send(request(1))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
                await client.answer()
            figures = await bed.metrics()
            assert figures["error.lookup"] == 1 and figures["success.lookup"] == 0
            assert figures["concurrent"] == 0 and len(bed.seen()) == 1  # nor is it tried again

    run(test)


def test_a_client_that_leaves_a_long_answer_frees_its_backend() -> None:
    async def test() -> None:
        async with running() as bed:
            bed.backends[0].script = [lambda writer, asked: writer.write(message(200, LONG * 40)[:-9])]
            client = await bed.client(receive_buffer=8192)
            client.send(request(1))
            await client.reader.readexactly(100)
            client.reset()
            await bed.backends[0].until(lambda: bed.backends[0].ended == 1)
            assert (
                not bed.process.dispatcher.active_requests
                and not bed.process.dispatcher.engine.forwarder.requests
            )

    run(test)


def long_request(number: int, body: bytes = LONG, **more: str) -> bytes:
    return request(number, "extract", 5.0, body=body, **more)


@pytest.mark.parametrize("size", [1 << 20, 700, 1])
def test_a_long_body_goes_through_whatever_its_pieces(size: int) -> None:
    async def test() -> None:
        async with running() as bed:
            client, text = await bed.client(), long_request(1)
            for at in range(0, 3000 * size, size):
                client.send(text[at : at + size])
                await asyncio.sleep(0)
            client.send(text[3000 * size :])
            assert (await client.answer())[0] == 200 and bed.seen()[0][2] == LONG
            assert (await client.ask(request(2)))[0] == 200  # the connection is kept
            figures = await bed.metrics()
            assert figures["success.extract"] == 1 and figures["dispatches"] == 2

    run(test)


def test_a_long_body_in_chunks_goes_on_in_chunks() -> None:
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            head = request(1, "extract", drop="Content-Length", body=b"", Transfer_Encoding="chunked")
            assert (await client.ask(head + chunked(LONG)))[0] == 200
            assert bed.seen()[0][2] == LONG and float(bed.seen()[0][1]["x-budget"]) <= 5.0
            assert (await client.ask(head.replace(b"01\r\n", b"02\r\n") + chunked(b"short")))[0] == 200
            assert bed.seen()[1][2] == b"short"

    run(test)


def test_a_client_that_expects_a_word_gets_it_before_its_body() -> None:
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            head, _, body = long_request(1, Expect="100-continue").partition(b"\r\n\r\n")
            client.send(head + b"\r\n\r\n")
            assert (await client.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            assert (await client.ask(body))[0] == 200 and bed.seen()[0][2] == LONG
            refused = long_request(2, Expect="100-continue", Plan="gold").partition(b"\r\n\r\n")[0]
            assert (await client.ask(refused + b"\r\n\r\n"))[0] == 400  # and no word to go on

    run(test)


def test_a_backend_that_reads_nothing_holds_its_client_back() -> None:
    async def test() -> None:
        async with running() as bed:
            body, free = LONG * 40, asyncio.Event()

            async def late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                reader._transport.pause_reading()  # type: ignore[attr-defined]
                await free.wait()
                reader._transport.resume_reading()  # type: ignore[attr-defined]
                serve(writer, await read_message(reader))

            bed.backends[0].serve = late  # type: ignore[method-assign]
            client = await bed.client()
            client.send(long_request(1, body))
            await until(lambda: any(c.paused for c in bed.process.listener.connections))
            (connection,) = bed.process.listener.connections
            assert connection.body_stream is not None
            assert (
                connection.body_stream.buffered_bytes <= HELD + READ_AT_ONCE
                and len(connection.unread) <= READ_AT_ONCE
            )
            assert not connection.body_stands(connection.heard_at + 0.1)
            free.set()
            assert (await client.answer())[0] == 200

    run(test)


def test_a_long_body_that_breaks_off_never_ran_and_is_not_sent_again() -> None:
    async def test() -> None:
        async with running(backends=2) as bed:

            async def breaks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readexactly(1000)
                writer.transport.abort()

            for backend in bed.backends:
                backend.serve = breaks  # type: ignore[method-assign]
            client = await bed.client()
            head, _, body = long_request(1).partition(b"\r\n\r\n")
            client.send(head + b"\r\n\r\n" + body[: 2 * HELD])
            status, headers, _ = await client.answer()  # early: its client is still sending
            assert status == 429 and headers["connection"] == "close"
            assert sum(b.connections for b in bed.backends) == 1
            figures = await bed.metrics()
            assert figures["overload.extract"] == 1 and figures["dispatches"] == figures["concurrent"] == 0

    run(test)


def test_an_early_answer_reaches_a_client_that_is_still_sending() -> None:
    async def test() -> None:
        async with running() as bed:

            async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readexactly(1000)
                writer.write(message(200, b"enough"))
                await reader.read()

            bed.backends[0].serve = early  # type: ignore[method-assign]
            client = await bed.client()
            client.send(long_request(1)[: 2 * HELD])
            assert (await client.answer())[2] == b"enough" and await client.closed()

    run(test)


@pytest.mark.parametrize("leaves", [True, False])
def test_a_long_body_whose_client_leaves_runs_nowhere(leaves: bool) -> None:
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            client.send(long_request(1)[: 2 * HELD])
            await until(lambda: any(c.attempt for c in bed.process.pool.connections))
            if leaves:
                client.reset()
            else:
                client.writer.write_eof()
                assert (await client.answer())[0] == 400
            await bed.backends[0].until(lambda: bed.backends[0].ended == 1)
            assert not bed.seen() and not bed.process.dispatcher.active_requests

    run(test)


@pytest.mark.parametrize(("sent", "stalled"), [(HELD // 2, BODY_STALLED), (2 * HELD, LONG_STALLED)])
def test_a_body_that_comes_no_more_is_ended(sent: int, stalled: float) -> None:
    async def test() -> None:
        async with running() as bed:
            front = bed.process.listener
            client = await bed.client()
            client.send(long_request(1)[:sent])
            await until(lambda: any(not c.in_head and c.body_size > sent - 2000 for c in front.connections))
            (connection,) = front.connections
            for later, status in ((stalled - 0.1, 0), (stalled + 0.1, 408)):
                connection.look_after(connection.heard_at + later, 100.0)
                assert connection.ended == bool(status)
            assert (await client.answer())[0] == 408

    run(test)


def test_the_time_of_a_request_runs_from_its_last_byte() -> None:
    made = gateway()
    actions = made.handle(replace(asked_for(1, "pay", deadline=106.0), body_incomplete=True), 100.0)
    (send,) = (a for a in actions if isinstance(a, StartAttempt))
    assert send.timeout == 0.0 and not [
        a for a in actions if isinstance(a, SetTimer) and isinstance(a.timer, LateAttemptTimer)
    ]
    actions = made.handle(RequestBodyReceived(1, 156.0), 150.0)
    assert [a.timer for a in actions if isinstance(a, SetTimer)] == [
        LateAttemptTimer(1, 0)
    ]  # from now on it may be late
    assert (
        made.forwarder.requests[1].request.deadline == 156.0
        and made.forwarder.requests[1].first_sent_at == 150.0
    )


def test_what_is_no_longer_kept_is_not_sent_again() -> None:
    made = gateway()
    actions = made.handle(replace(asked_for(1), body_incomplete=True), 100.0)
    (send,) = (a for a in actions if isinstance(a, StartAttempt))
    made.handle(RequestBodyConsumed(1), 100.0)
    actions = made.handle(ended(1, 0, send.endpoint_id, Outcome.CONNECT_FAILED), 100.1)
    assert [type(a) for a in actions if isinstance(a, StartAttempt | Reject)] == [Reject]


def test_a_long_answer_is_judged_by_its_first_bytes_and_frees_its_place() -> None:
    made = gateway()
    (send,) = (a for a in made.handle(asked_for(1), 100.0) if isinstance(a, StartAttempt))
    made.handle(ResponseStreamStarted(1, 0, 0.05), 100.05)
    assert made.admission.in_flight == 0 and made.endpoints[send.endpoint_id].in_flight == 0
    made.handle(TimerFired(LateAttemptTimer(1, 0)), 101.0)
    assert made.admission.admit_ratio == 1.0 and made.endpoints[send.endpoint_id].failure_score == 0.0
    assert made.handle(ended(1, 0, send.endpoint_id, Outcome.BROKEN_RESPONSE, over=True), 140.0) == []
    assert made.admission.in_flight == 0 and not made.forwarder.requests


def test_ready_is_answered_beside_long_answers() -> None:
    async def test() -> None:
        async with running() as bed:
            free = asyncio.Event()
            bed.backends[0].script = [serve_after(free)]
            waiting: Client = await bed.client()
            waiting.send(long_request(1))
            other: GatewayHarness = bed
            assert (await (await other.client()).ask(READY))[0] == 200
            free.set()
            assert (await waiting.answer())[0] == 200

    run(test)
