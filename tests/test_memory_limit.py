"""A process stays within its memory limit while hundreds of clients write or read slowly."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import socket

import pytest

from tests.fakes import HOST, HttpMessage, http_response, send_success
from tests.harness import GatewayHarness, request
from tests.process_memory import private_bytes
from tests.test_gateway_process import process

MEGABYTE = 1_000_000  # bytes
MEMORY_LIMIT = 32  # megabytes; the least that a gateway is given
CROWD_SIZE = 400  # clients, fewer than a gateway with 1,024 descriptors accepts
CROWD_TIME = 4.0  # seconds for which the clients stay connected
SAMPLE_INTERVAL = 0.05  # seconds between two samples of the memory
PROBE_INTERVAL = 0.05  # seconds between the requests of a client outside the crowd
PROBE_BUDGET = 1.0  # seconds that this client waits
FIRST_PROBE = 1_000_000  # number of its first request
HALF_HEAD = b"POST /api?client=%016x HTTP/1.1\r\n"
LONG_RESPONSE = b"z" * 8_000_000
BUFFERED_RESPONSE = b"z" * 64_000
RECEIVE_BUFFER = 4096  # bytes, of a client that does not read


def short_fields(number: int) -> bytes:
    fields = b"".join(b"%x:%x\r\n" % (field, field) for field in range(3000))
    return HALF_HEAD % number + fields[:30_000]


def long_field(number: int) -> bytes:
    return HALF_HEAD % number + b"X-Field: " + b"q" * 30_000


def half_body(number: int) -> bytes:
    whole = request(number, "extract", customer=f"{number:016x}", body=b"x" * 60_000)
    return whole[:-500]


def tiny_chunks(number: int) -> bytes:
    head = request(
        number,
        "extract",
        customer=f"{number:016x}",
        omit_header="Content-Length",
        body=b"",
        Transfer_Encoding="chunked",
    )
    return head + b"2\r\nab\r\n" * 30_000


def half_upload(number: int) -> bytes:
    whole = request(number, "extract", customer=f"{number:016x}", body=b"x" * 600_000)
    return whole[:300_000]


def whole_body(number: int) -> bytes:
    return request(number, "extract", customer=f"{number:016x}", body=b"x" * 60_000)


def one_lookup(number: int) -> bytes:
    return request(number, customer=f"{number:016x}")


def pipelined_lookups(number: int) -> bytes:
    return b"".join(one_lookup(CROWD_SIZE * index + number) for index in range(14))


CROWDS = {
    "short_fields": short_fields,
    "long_field": long_field,
    "half_body": half_body,
    "tiny_chunks": tiny_chunks,
    "half_upload": half_upload,
    "whole_body": whole_body,
    "unread_long_response": one_lookup,
    "unread_pipelined_responses": pipelined_lookups,
}


async def crowd_client(port: int, text: bytes) -> None:
    """Write as much of the text as the gateway takes, read nothing, and stay connected."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.setblocking(False)
        await loop.sock_connect(sock, (HOST, port))
        await loop.sock_sendall(sock, text)
        await asyncio.Event().wait()


async def peak_private_bytes(process_id: int) -> int:
    """Sample the process's memory for CROWD_TIME, and return the most."""
    end = asyncio.get_running_loop().time() + CROWD_TIME
    peak = 0
    while asyncio.get_running_loop().time() < end:
        peak = max(peak, private_bytes(process_id))
        await asyncio.sleep(SAMPLE_INTERVAL)
    return peak


async def probe(harness: GatewayHarness) -> list[int]:
    """Send ordinary requests one after another until cancelled; each must be answered in time."""
    statuses: list[int] = []
    try:
        while True:
            number = FIRST_PROBE + len(statuses)
            async with asyncio.timeout(PROBE_BUDGET):
                client = await harness.connect_client()
                text = request(number, budget=PROBE_BUDGET, customer=f"{number:016x}")
                status, _, _ = await client.exchange(text)
            statuses.append(status)
            client.writer.close()
            await asyncio.sleep(PROBE_INTERVAL)
    except asyncio.CancelledError:
        return statuses


def send_response(kind: str, writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    if not kind.startswith("unread") or int(received.headers["x-call-id"], 16) >= FIRST_PROBE:
        send_success(writer, received)
    else:
        body = LONG_RESPONSE if kind == "unread_long_response" else BUFFERED_RESPONSE
        writer.write(http_response(200, body))


@pytest.mark.parametrize("kind", CROWDS)
async def test_crowd_of_slow_clients_stays_within_memory_limit(kind: str, tmp_path: pathlib.Path) -> None:
    async with process(tmp_path, memory_megabytes=MEMORY_LIMIT) as (harness, child):
        step = lambda writer, received: send_response(kind, writer, received)  # noqa: E731
        harness.backends[0].script = [step] * 20_000
        loop = asyncio.get_running_loop()
        crowd = [
            loop.create_task(crowd_client(harness.port, CROWDS[kind](number)))
            for number in range(1, CROWD_SIZE + 1)
        ]
        probing = loop.create_task(probe(harness))
        peak = await peak_private_bytes(child.pid)
        probing.cancel()
        statuses = await probing
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        assert child.returncode is None
    assert peak <= MEMORY_LIMIT * MEGABYTE
    assert len(statuses) > CROWD_TIME / (PROBE_INTERVAL + PROBE_BUDGET)
    assert set(statuses) <= {200, 429}
