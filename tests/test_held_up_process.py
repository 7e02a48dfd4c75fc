"""A process that is paused: clients that disconnect during the pause, and clients that still wait after it.

The tests stop real processes by SIGSTOP, or block the event loop on a virtual clock. Until the process
continues, the kernel holds the requests and disconnects of its clients.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from tests.fakes import HttpMessage, http_response
from tests.harness import READY_REQUEST, Client, GatewayHarness, request
from tests.test_gateway_process import process
from tests.test_no_attempt_after_disconnect import MAX_START_DELAY, attempt_starts, waiting_request
from tests.virtual_clock import virtual_clock_loop, virtual_unix_clock

PAUSE_DURATION = 0.4  # seconds that a process is paused
SEND_DELAY = 0.03  # seconds from the start of a pause until clients send, and then until they disconnect
SETTLE_TIME = 0.6  # seconds after which the process has sent all attempts that it is going to send
CLIENT_COUNT = 16
BUDGET = 0.9  # seconds that a client waits for its response
LOOP_SETTLE_TIME = 0.1  # seconds that the event loop runs undisturbed before a pause
DEADLINE_SLACK = 0.15  # seconds by which X-Budget may exceed the client's remaining time


def close_connection(client: Client) -> None:
    client.writer.transport.abort()  # without unread data, the kernel sends FIN and not RST


def respond_without_billed_units(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
    writer.write(http_response(200))


@asynccontextmanager
async def paused(child: Any) -> AsyncIterator[None]:
    """Pause the process for PAUSE_DURATION seconds, and run the body of the block during the pause."""
    child.send_signal(signal.SIGSTOP)
    ends_at = time.monotonic() + PAUSE_DURATION
    try:
        await asyncio.sleep(SEND_DELAY)
        yield
        await asyncio.sleep(ends_at - time.monotonic())
    finally:
        child.send_signal(signal.SIGCONT)


async def connected_clients(harness: GatewayHarness, keep_alive: bool) -> list[Client]:
    """Connect clients; with `keep_alive`, each of them has an idle connection that served a request."""
    clients = [await harness.connect_client() for _ in range(CLIENT_COUNT)]
    if keep_alive:
        for client in clients:
            assert (await client.exchange(READY_REQUEST))[0] == 200
    return clients


def call_ids(messages: list[HttpMessage]) -> set[str]:
    """Return the X-Call-Id values of the messages."""
    return {message.headers["x-call-id"] for message in messages}


@pytest.mark.parametrize("leave", [close_connection, Client.reset], ids=["close", "reset"])
@pytest.mark.parametrize("keep_alive", [False, True], ids=["new", "kept"])
async def test_no_attempt_for_client_disconnected_during_pause(
    keep_alive: bool, leave: Callable[[Client], None], tmp_path: pathlib.Path
) -> None:
    async with process(tmp_path) as (harness, child):
        clients = await connected_clients(harness, True) if keep_alive else []
        async with paused(child):
            if not keep_alive:
                clients = await connected_clients(harness, False)
            for number, client in enumerate(clients):
                client.send(request(number))
            await asyncio.sleep(SEND_DELAY)
            for client in clients:
                leave(client)
        remaining_client = await harness.connect_client()
        assert (await remaining_client.exchange(request(99)))[0] == 200
        await asyncio.sleep(SETTLE_TIME)
        assert call_ids(harness.received_requests()) == {f"{99:016x}"}


@pytest.mark.parametrize("keep_alive", [False, True], ids=["new", "kept"])
async def test_budget_sent_to_backend_excludes_pause(keep_alive: bool, tmp_path: pathlib.Path) -> None:
    async with process(tmp_path) as (harness, child):
        backend = harness.backends[0]
        excesses: list[float] = []
        clients = await connected_clients(harness, True) if keep_alive else []
        sent_at = 0.0

        def record_excess(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
            remaining = BUDGET - (time.monotonic() - sent_at)
            excesses.append(float(received.headers["x-budget"]) - remaining)
            respond_without_billed_units(writer, received)

        backend.script = [record_excess] * CLIENT_COUNT
        async with paused(child):
            if not keep_alive:
                clients = await connected_clients(harness, False)
            sent_at = time.monotonic()
            for number, client in enumerate(clients):
                client.send(request(number, budget=BUDGET))
        statuses = [(await client.read_response())[0] for client in clients]
        assert statuses.count(200) == len(excesses) > 0
        assert max(excesses) <= DEADLINE_SLACK


@pytest.mark.parametrize("state", ["counter", "queued"])
@pytest.mark.virtual_clock
async def test_half_close_grace_period_includes_pause(state: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The grace period starts at the half-close, not when the event loop notices it after a pause."""
    monkeypatch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)
    async with waiting_request(state, 0.0) as case:
        started = len(attempt_starts(case.harness))
        await asyncio.sleep(LOOP_SETTLE_TIME)
        case.client.writer.write_eof()
        virtual_clock_loop().now += PAUSE_DURATION
        half_closed_at = virtual_clock_loop().now - PAUSE_DURATION
        connections = case.harness.process.listener.connections
        # No event announces that the gateway noticed the half-close.
        while not any(c.half_close.is_started for c in connections):  # noqa: ASYNC110
            await asyncio.sleep(0)
        case.release()
        await asyncio.sleep(SETTLE_TIME)
        late_attempts = [
            at for at in attempt_starts(case.harness)[started:] if at > half_closed_at + MAX_START_DELAY
        ]
        assert not late_attempts
