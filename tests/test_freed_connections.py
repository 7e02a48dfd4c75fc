"""Ended connections and attempts are freed at once, not when the garbage collector next runs."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator

from tests.fakes import EVENT_TIMEOUT, HttpMessage, ResponseStep, http_response
from tests.harness import GatewayHarness, high_quota_settings, request, running_gateway

READ_TIME = 0.05  # seconds in which the gateway reads what a peer has sent
TRACKED_PACKAGES = ("quota_gateway", "httptools")
UPLOAD = b"x" * 300_000
BEGUN_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n"


@contextlib.contextmanager
def counted_garbage() -> Iterator[Counter[str]]:
    """Count the gateway's objects, by class, that only the garbage collector can free; it is off inside."""
    found: Counter[str] = Counter()
    gc.collect()
    gc.disable()
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        yield found
        gc.collect()
        types = [type(garbage) for garbage in gc.garbage]
        found.update(kind.__name__ for kind in types if kind.__module__.startswith(TRACKED_PACKAGES))
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(EVENT_TIMEOUT):
        while not condition():  # noqa: ASYNC110 (no event marks the gateway's internal state)
            await asyncio.sleep(READ_TIME)


async def leave(harness: GatewayHarness, text: bytes, resets: bool) -> None:
    """Send a text as a client, and end the connection."""
    client = await harness.connect_client()
    client.send(text)
    await asyncio.sleep(READ_TIME)
    if resets:
        client.reset()
    else:
        client.writer.close()


async def get_answer(harness: GatewayHarness, text: bytes, step: ResponseStep) -> None:
    """Send a request to backends that all take the same step, and read until the response or its break."""
    for backend in harness.backends:
        backend.script = [step] * 4
    client = await harness.connect_client()
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionResetError):
        await client.exchange(text)
    client.writer.close()
    for backend in harness.backends:
        backend.script = []


async def break_discovery(harness: GatewayHarness) -> None:
    """Reset the connections of the discovery agent, and wait for the next poll."""
    polls = len(harness.discovery.request_lines)
    for writer in list(harness.discovery.open_writers):
        writer.transport.abort()
    await wait_for(lambda: len(harness.discovery.request_lines) > polls)


async def wait_until_idle(harness: GatewayHarness) -> None:
    """Wait until all clients' connections and all attempts have ended, and close those to the backends."""
    process = harness.process
    await wait_for(lambda: not (process.listener.connections or process.dispatcher.active_requests))
    for connection in list(process.pool.connections):
        connection.close()
    await wait_for(lambda: not (process.pool.connections or process.admin.connections))


def abort(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.transport.abort()


def break_off(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.write(BEGUN_RESPONSE)
    writer.close()


async def never_end(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.write(BEGUN_RESPONSE)
    await asyncio.Event().wait()


def answer_long(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.write(http_response(200, UPLOAD))


def clients_that_end() -> list[Callable[[GatewayHarness], Awaitable[None]]]:
    """Return clients that end at each stage of a request, with a close and with a reset."""
    texts = [
        request(1)[:60],
        request(2, "extract", body=UPLOAD[:60_000])[:-500],
        request(3, "extract", body=UPLOAD)[:-500],
        request(4, "extract", body=UPLOAD, plan="gold")[:-500],
        request(5) + request(6)[:60],
    ]
    return [
        lambda harness, text=text, resets=resets: leave(harness, text, resets)  # type: ignore[misc]
        for text in texts
        for resets in (False, True)
    ]


def backends_that_end() -> list[Callable[[GatewayHarness], Awaitable[None]]]:
    """Return exchanges with backends that answer, end or hang at each stage of a response."""
    steps = [abort, break_off, never_end, answer_long]
    return [
        lambda harness, number=number, step=step, body=body: get_answer(  # type: ignore[misc]
            harness, request(number, "extract", 0.4, body=body), step
        )
        for number, (step, body) in enumerate([(step, body) for step in steps for body in (b"a", UPLOAD)], 10)
    ]


async def test_ended_connections_do_not_wait_for_the_garbage_collector() -> None:
    # Reference cycles kept each one, with up to 64 KiB, until a process was killed for its memory.
    settings = high_quota_settings()
    settings["packages"][0]["units_per_s"] = 10_000.0
    async with running_gateway(backends=4, settings=settings) as harness:
        with counted_garbage() as garbage:
            for peer in [*clients_that_end(), *backends_that_end(), break_discovery]:
                await peer(harness)
            assert await harness.metrics()
            await wait_until_idle(harness)
        assert not harness.process.memory.used
    assert not garbage
