"""The counter client: pipelining, timeouts, stalled connections, and the outcomes of failed calls."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from quota_gateway.counter.client import CounterClient
from quota_gateway.counter.connection import IDLE_TIMEOUT, STALL_FACTOR
from quota_gateway.model.events import CounterReply
from quota_gateway.model.outcomes import Outcome
from quota_gateway.sockets.addresses import parse_address
from tests.fakes import EVENT_TIMEOUT, HOST, FakeCounter


class ReplyRecorder:
    """Queues the client's replies, and holds the time in seconds, which the test advances."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[CounterReply] = asyncio.Queue()
        self.now = 100.0

    async def next(self) -> tuple[str, Outcome, float]:
        reply = await self.queue.get()
        return reply.name, reply.outcome, reply.total


@asynccontextmanager
async def connected_client(
    timeout: float = 5.0,
) -> AsyncIterator[tuple[CounterClient, ReplyRecorder, FakeCounter]]:
    server, replies = FakeCounter(), ReplyRecorder()
    await server.start()
    address = parse_address(server.address)
    client = CounterClient(lambda: replies.now, address, timeout, 5.0, replies.queue.put_nowait)
    yield client, replies, server
    client.close()
    await server.stop()


async def wait_for(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(EVENT_TIMEOUT):
        while not condition():  # noqa: ASYNC110 (no event marks these conditions)
            await asyncio.sleep(0.001)


async def test_calls_are_pipelined_and_answered_in_order() -> None:
    async with connected_client() as (client, replies, server):
        server.replies_enabled.clear()
        for amount in (1.5, 2.0, -0.5):
            client.increment("c1.7", amount, 4.0)
        server.replies_enabled.set()
        assert [(await replies.next())[2] for _ in range(3)] == [1.5, 3.5, 3.0]
        assert server.connection_count == 1


async def test_late_reply_is_matched_to_its_call() -> None:
    # Replies are matched in order: if the call was dropped, its total would be taken for that of the next.
    async with connected_client(0.02) as (client, replies, server):
        server.replies_enabled.clear()
        client.increment("c1.7", 40.0, 4.0)
        assert await replies.next() == ("c1.7", Outcome.TIMED_OUT, 0.0)
        client.timeout = 5.0
        client.increment("c1.7", 2.0, 4.0)
        server.replies_enabled.set()
        assert await replies.next() == ("c1.7", Outcome.SUCCESS, 42.0)
        assert replies.queue.empty() and server.connection_count == 1


async def test_stalled_connection_is_replaced_for_later_calls() -> None:
    async with connected_client(0.02) as (client, replies, server):
        server.replies_enabled.clear()
        client.increment("c1.7", 1.0, 4.0)
        assert (await replies.next())[1] is Outcome.TIMED_OUT
        replies.now += 1.1 * STALL_FACTOR * client.timeout
        server.replies_enabled = asyncio.Event()  # the first connection gets no reply
        server.replies_enabled.set()
        client.timeout = 5.0
        replies.now += STALL_FACTOR * client.timeout
        client.increment("c1.7", 2.0, 4.0)
        assert await replies.next() == ("c1.7", Outcome.SUCCESS, 3.0)
        assert server.connection_count == 2


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (b"-BUSY too many\r\n", Outcome.REJECTED),
        (b"-ERR no such call\r\n", Outcome.ERROR),
        (b"+OK\r\n", Outcome.TIMED_OUT),
        (b"rubbish\r\n", Outcome.TIMED_OUT),
    ],
)
async def test_error_and_unknown_replies_determine_outcome(reply: bytes, outcome: Outcome) -> None:
    async with connected_client() as (client, replies, server):
        server.scripted_replies = [reply]
        client.increment("c1.7", 1.0, 4.0)
        assert (await replies.next())[1] is outcome
        client.increment("c1.7", 1.0, 4.0)
        assert await replies.next() == ("c1.7", Outcome.SUCCESS, 2.0)


async def test_written_call_times_out_on_connection_loss() -> None:
    """The call may have been added."""
    async with connected_client() as (client, replies, server):
        server.replies_enabled.clear()
        client.increment("c1.7", 1.0, 4.0)
        await wait_for(lambda: server.increments)
        for writer in list(server.open_writers):
            writer.transport.abort()
        assert (await replies.next())[1] is Outcome.TIMED_OUT


async def test_call_without_connection_counts_as_not_added() -> None:
    async with connected_client() as (client, replies, server):
        await server.stop()
        client.increment("c1.7", 1.0, 4.0)
        assert (await replies.next())[1] is Outcome.CONNECT_FAILED


async def test_call_timed_out_while_connecting_is_not_written() -> None:
    async with connected_client() as (client, replies, server):
        client.timeout = 0.0
        client.increment("c1.7", 1.0, 4.0)
        connection = next(c for c in client.connections if c is not None)
        client.time_out(connection.pending[0])
        assert (await replies.next())[1] is Outcome.CONNECT_FAILED
        client.timeout = 5.0
        client.increment("c1.7", 2.0, 4.0)
        assert (await replies.next())[2] == 2.0
        assert server.increments == [("c1.7", 2.0)]


async def test_idle_connection_is_replaced() -> None:
    # The counter closes idle connections without notice: a call sent at that moment may or may not be added.
    async with connected_client() as (client, replies, server):
        client.increment("c1.7", 1.0, 4.0)
        await replies.next()
        replies.now += IDLE_TIMEOUT + 0.1
        client.increment("c1.7", 1.0, 4.0)
        assert (await replies.next())[2] == 2.0 and server.connection_count == 2


async def test_call_is_encoded_as_resp_command() -> None:
    received: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    async def read_command(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.set_result(await reader.read(1000))
        writer.close()

    server = await asyncio.start_server(read_command, HOST, 0)
    replies = ReplyRecorder()
    address = server.sockets[0].getsockname()
    client = CounterClient(lambda: replies.now, address, 5.0, 5.0, replies.queue.put_nowait)
    client.increment("c1.7", -2.5, 4.0)
    assert await received == b"*4\r\n$7\r\nCNT.ADD\r\n$4\r\nc1.7\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n"
    client.close()
    server.close()


@pytest.mark.parametrize(
    "reply",
    [
        b"$3\r\nnan\r\n",
        b"$3\r\ninf\r\n",
        b"$-1\r\n",
        b"$4\r\n\x00x1e\r\n",
        b"*0\r\n",
        b"+OK\r\n",
        b"-WHAT\r\n",
        b"$3\r\n1_0\r\n",
    ],
)
async def test_malformed_reply_times_out_all_calls(reply: bytes) -> None:
    """The connection is closed as well."""
    # Later replies may belong to other calls. A total of nan was once accepted and corrupted a quota level.
    async with connected_client() as (client, replies, server):
        server.scripted_replies = [reply]
        client.increment("c1.7", 3.0, 4.0)
        client.increment("c1.7", 4.0, 4.0)
        assert await replies.next() == ("c1.7", Outcome.TIMED_OUT, 0.0)
        assert await replies.next() == ("c1.7", Outcome.TIMED_OUT, 0.0)
        client.increment("c1.8", 5.0, 4.0)
        assert await replies.next() == ("c1.8", Outcome.SUCCESS, 5.0) and server.connection_count == 2


async def test_move_redirects_new_calls_only() -> None:
    """Calls that were sent to the old address still complete."""
    async with connected_client() as (client, replies, server):
        new_server = FakeCounter()
        await new_server.start()
        server.replies_enabled.clear()
        client.increment("c1.7", 3.0, 4.0)
        await wait_for(lambda: server.increments)
        client.change_address(parse_address(new_server.address))
        client.increment("c1.7", 4.0, 4.0)
        assert await replies.next() == ("c1.7", Outcome.SUCCESS, 4.0)
        server.replies_enabled.set()
        assert await replies.next() == ("c1.7", Outcome.SUCCESS, 3.0)
        assert server.increments == [("c1.7", 3.0)] and new_server.increments == [("c1.7", 4.0)]
        # The former connection is closed after the reply to its last call.
        await wait_for(lambda: not client.draining_connections and not server.open_writers)
        await new_server.stop()


class DelayedCounter(FakeCounter):
    """Replies to each call after the next of the given delays, in seconds."""

    def __init__(self, *delays: float) -> None:
        super().__init__()
        self.delays = list(delays)
        self.scripted_replies = [b"$1\r\n1\r\n"] * len(delays)
        self.delay_tasks: list[asyncio.Task[None]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async def release_later(seconds: float) -> None:
            await asyncio.sleep(seconds)
            self.replies_enabled.set()

        while self.delays:
            self.replies_enabled.clear()
            await reader.readexactly(1)
            reader._buffer[:0] = b"*"  # type: ignore[attr-defined]  # put back: serve_one reads the complete call
            self.delay_tasks.append(asyncio.create_task(release_later(self.delays.pop(0))))
            await self.serve_one(reader, writer)

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            await reader.readexactly(size + 2)
        await self.replies_enabled.wait()
        writer.write(self.scripted_replies.pop(0))


@pytest.mark.parametrize(
    ("delays", "outcomes"),
    [
        # Distant counter: the first call times out, and its late reply lengthens the timeout of later calls.
        ([0.05, 0.06, 0.15, 0.05], ["timed out", "success", "success", "success"]),
        # Nearby counter that queues one call, which times out as configured.
        ([0.002, 0.06, 0.002, 0.025], ["success", "timed out", "success", "success"]),
        # Distant counter that queues one call.
        ([0.05, 0.3, 0.06], ["timed out", "timed out", "success"]),
    ],
)
@pytest.mark.virtual_clock
async def test_reply_timeout_follows_counter_latency(delays: list[float], outcomes: list[str]) -> None:
    # With a fixed timeout of 30 ms, 45% of the calls to a counter with a latency of 21 to 95 ms timed out.
    server, replies = DelayedCounter(*delays), asyncio.Queue[CounterReply]()
    await server.start()
    client = CounterClient(
        asyncio.get_running_loop().time, parse_address(server.address), 0.03, 5.0, replies.put_nowait
    )
    assert client.reply_timeout == 0.03
    for outcome in outcomes:
        client.increment("c1.7", 1.0, 4.0)
        assert (await replies.get()).outcome.value == outcome
        await asyncio.sleep(0.4)  # a late reply has arrived by then
    client.change_address(parse_address(server.address))
    assert client.reply_timeout == 0.03  # the latency at the new address is unknown
    client.close()
    await server.stop()
