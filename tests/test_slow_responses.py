"""Long responses of unknown length whose endpoint writes them slowly are forwarded whole."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

import pytest

from tests.fakes import HttpMessage, ResponseStep, send_success
from tests.harness import Client, GatewayHarness, high_quota_settings, request, running_gateway

BODY_SIZE = 160_000  # bytes; over the 64 KiB that a gateway may hold back
BUDGET = 0.8  # seconds that the client waits for the first bytes
PREFIX_SIZE = 24_000  # bytes that an endpoint writes before it stops for good
PAUSE = 2.0  # seconds that an endpoint spends between two pieces of a long response
PAUSED_COUNT = 48  # such responses, which begin one after the other
START_INTERVAL = 0.04  # seconds between two of them
ORDINARY_INTERVAL = 0.1  # seconds between two ordinary requests
FIRST_ORDINARY = 1000  # number of the first one
RESPONSE_SLACK = 0.5  # seconds after the client's time within which the end of a request counts
CLIENT_TIMEOUT = 8.0  # seconds; more than any of the responses takes


class Pace(NamedTuple):
    """How an endpoint writes a body; the times are seconds."""

    head_delay: float  # from the head to the first bytes of the body
    piece_size: int  # bytes
    interval: float  # between two pieces


PACES = {
    "steady": Pace(0.02, 4_000, 0.04),
    "lumps": Pace(0.02, 24_000, 0.25),
    "late_body": Pace(0.83, 24_129, 0.05),
}


class Received(NamedTuple):
    """What a client read until its response or its connection ended; times are seconds after its request."""

    data: bytes
    first_byte_at: float
    ended_at: float


def write_slowly(pace: Pace, chunked: bool, size: int = BODY_SIZE) -> ResponseStep:
    async def step(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
        framing = b"Transfer-Encoding: chunked" if chunked else b"Connection: close"
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing)
        await asyncio.sleep(pace.head_delay)
        for start in range(0, size, pace.piece_size):
            piece = b"z" * min(pace.piece_size, size - start)
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
            await asyncio.sleep(pace.interval)
        if chunked:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()

    return step


async def stop_midway(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    writer.write(b"%x\r\n%b\r\n" % (PREFIX_SIZE, b"z" * PREFIX_SIZE))
    await asyncio.Event().wait()


async def pause_if_long(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    if int(received.headers["x-call-id"], 16) >= FIRST_ORDINARY:
        send_success(writer, received)
        return
    rest_size = BODY_SIZE - PREFIX_SIZE
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    writer.write(b"%x\r\n%b\r\n" % (PREFIX_SIZE, b"z" * PREFIX_SIZE))
    await asyncio.sleep(PAUSE)
    writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (rest_size, b"z" * rest_size))


async def send_ordinary_requests(harness: GatewayHarness) -> list[int]:
    """Send ordinary requests until cancelled, and return the statuses of their responses."""
    client = await harness.connect_client()
    statuses: list[int] = []
    try:
        while True:
            response = await client.exchange(request(FIRST_ORDINARY + len(statuses), budget=BUDGET))
            statuses.append(response.status)
            await asyncio.sleep(ORDINARY_INTERVAL)
    except asyncio.CancelledError:
        return statuses


async def read_to_end(client: Client, text: bytes) -> Received:
    started_at = time.monotonic()
    client.send(text)
    data = b""
    first_byte_at = 0.0
    async with asyncio.timeout(CLIENT_TIMEOUT):
        while not data.endswith(b"0\r\n\r\n") and b"Content-Length: 0\r\n\r\n" not in data[:200]:
            try:
                part = await client.reader.read(1 << 16)
            except ConnectionResetError:
                break
            if not part:
                break
            first_byte_at = first_byte_at or time.monotonic() - started_at
            data += part
    return Received(data, first_byte_at, time.monotonic() - started_at)


async def get_slow_response(harness: GatewayHarness, step: ResponseStep, request_class: str) -> Received:
    for backend in harness.backends:
        backend.script = [step] * 8
    client = await harness.connect_client()
    return await read_to_end(client, request(1, request_class, BUDGET))


@pytest.mark.parametrize("request_class", ["lookup", "extract"])
@pytest.mark.parametrize("chunked", [True, False], ids=["chunked", "close"])
@pytest.mark.parametrize("pace", PACES)
async def test_long_response_written_slowly_is_not_cut_off(
    pace: str, chunked: bool, request_class: str
) -> None:
    # Timeouts meant for buffered responses ended those whose length is not declared.
    settings = high_quota_settings()
    for service in settings["services"]:
        service.update(aim=800.0, deadline=2500.0)
    async with running_gateway(backends=4, settings=settings) as harness:
        received = await get_slow_response(harness, write_slowly(PACES[pace], chunked), request_class)
    assert received.data.startswith(b"HTTP/1.1 200 ")
    assert received.data.count(b"z") == BODY_SIZE
    assert received.first_byte_at <= BUDGET + RESPONSE_SLACK


@pytest.mark.parametrize("request_class", ["lookup", "extract"])
async def test_response_that_stops_midway_ends_in_time(request_class: str) -> None:
    async with running_gateway(backends=4) as harness:
        received = await get_slow_response(harness, stop_midway, request_class)
    assert received.ended_at <= BUDGET + RESPONSE_SLACK
    assert not received.data.endswith(b"\r\n0\r\n\r\n")


async def test_begun_response_that_pauses_is_not_cut_off_and_sheds_no_other_request() -> None:
    # It was taken for one still awaited, by the read timeout and by what sheds load while responses are late.
    settings = high_quota_settings()
    for service in settings["services"]:
        service.update(aim=800.0, deadline=2500.0)
    async with running_gateway(backends=4, settings=settings) as harness:
        for backend in harness.backends:
            backend.script = [pause_if_long] * 1000
        ordinary = asyncio.create_task(send_ordinary_requests(harness))
        paused: list[asyncio.Task[Received]] = []
        for number in range(PAUSED_COUNT):
            await asyncio.sleep(START_INTERVAL)
            client = await harness.connect_client()
            text = request(number, budget=BUDGET)
            paused.append(asyncio.create_task(read_to_end(client, text)))
        received = await asyncio.gather(*paused)
        ordinary.cancel()
        statuses = await ordinary
    assert set(statuses) == {200} and len(statuses) > PAUSE / ORDINARY_INTERVAL
    assert [response.data.count(b"z") for response in received] == [BODY_SIZE] * PAUSED_COUNT
    assert max(response.first_byte_at for response in received) <= BUDGET + RESPONSE_SLACK
