"""One client that sends small requests at full speed on one connection does not hold up the others."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import socket
import threading
import time

import pytest

from tests.harness import READY_REQUEST, GatewayHarness, request
from tests.policy_harness import make_engine, make_request
from tests.process_memory import private_bytes
from tests.test_gateway_process import process
from tests.test_memory_limit import MEGABYTE, MEMORY_LIMIT

FLOOD_TIME = 4.0  # seconds
REQUESTS = 30_000  # requests that are sent again and again
PROBE_BUDGET = 0.25  # seconds that another client waits
PROBE_INTERVAL = 0.02  # seconds between its requests
FIRST_PROBE = 1 << 40  # number of its first request
MAX_LIMITERS = 100
UNSOUND_REQUEST = b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n"


def same_customer(number: int) -> bytes:
    return request(number, budget=1.0)


def new_customers(number: int) -> bytes:
    return request(number, budget=1.0, customer=f"{number:016x}")


def readiness_check(number: int) -> bytes:
    return READY_REQUEST


def unsound(number: int) -> bytes:
    return UNSOUND_REQUEST


def one_byte_chunks(number: int) -> bytes:
    """Return one long request among many numbers."""
    if number % 10_000 != 1:
        return b""
    head = request(
        number, "extract", 1.0, omit_header="Content-Length", body=b"", Transfer_Encoding="chunked"
    )
    return head + 200_000 * b"1\r\na\r\n" + b"0\r\n\r\n"


FLOODS = {
    "one_byte_chunks": one_byte_chunks,
    "readiness_checks": readiness_check,
    "same_customer": same_customer,
    "new_customers": new_customers,
    "unsound": unsound,
}


class Flood:
    """A client in threads of its own, which connects again when its connection is closed."""

    def __init__(self, port: int, text: bytes) -> None:
        self.address = ("127.0.0.1", port)
        self.text = text
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        while not self.stopped.is_set():
            with contextlib.suppress(OSError), socket.create_connection(self.address, 1.0) as sock:
                reader = threading.Thread(target=self.read, args=(sock,), daemon=True)
                reader.start()
                while not self.stopped.is_set():
                    sock.sendall(self.text)

    def read(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while not self.stopped.is_set() and sock.recv(1 << 20):
                pass

    def stop(self) -> None:
        self.stopped.set()
        self.thread.join()


async def slowest_probe(harness: GatewayHarness) -> float:
    """Send requests of other customers for FLOOD_TIME; return the longest time to an answer in seconds."""
    slowest = 0.0
    end = time.monotonic() + FLOOD_TIME
    number = FIRST_PROBE
    while time.monotonic() < end:
        started_at = time.monotonic()
        client = await harness.connect_client()
        await client.exchange(request(number, customer=f"{(1 << 32) + number % 20:016x}"))
        slowest = max(slowest, time.monotonic() - started_at)
        client.writer.close()
        number += 1
        await asyncio.sleep(PROBE_INTERVAL)
    return slowest


@pytest.mark.parametrize("kind", FLOODS)
async def test_flood_on_one_connection_leaves_other_clients_their_turn(
    kind: str, tmp_path: pathlib.Path
) -> None:
    text = b"".join(FLOODS[kind](number) for number in range(1, REQUESTS + 1))
    async with process(tmp_path, memory_megabytes=MEMORY_LIMIT) as (harness, child):
        flood = Flood(harness.port, text)
        try:
            slowest = await slowest_probe(harness)
            memory = private_bytes(child.pid)
        finally:
            await asyncio.to_thread(flood.stop)
        assert child.returncode is None
    assert slowest <= PROBE_BUDGET
    assert memory <= MEMORY_LIMIT * MEGABYTE


def test_number_of_customers_with_a_limiter_is_bounded() -> None:
    # Each new customer's limiter was kept until its bucket was full again.
    engine = make_engine()
    engine.limiter_registry.max_limiters = MAX_LIMITERS
    for number in range(20 * MAX_LIMITERS):
        engine.handle(make_request(number, customer=f"{number:016x}", units=4.0), 100.0)
    assert len(engine.limiter_registry.limiters) <= MAX_LIMITERS + len(engine.forwarder.requests)
