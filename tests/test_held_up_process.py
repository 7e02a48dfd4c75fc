"""A process that is held up for some time: clients that left meanwhile, and those that still wait.

Real processes, stopped by SIGSTOP. What clients sent and closed lies in the kernel until the process goes on.
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

HOLD_UP = 0.4  # seconds that the process is stopped
SEND_DELAY = 0.03  # seconds from the start of the hold-up until clients send
SETTLE_TIME = 0.6  # seconds in which the process serves all that it will serve
CLIENT_COUNT = 16
BUDGET = 0.9  # seconds that a client waits
LOOP_SETTLE_TIME = 0.1  # seconds in which nothing holds up the process before a hold-up
DEADLINE_SLACK = 0.15  # seconds by which a backend may be told more than the client has left


def close(client: Client) -> None:
    client.writer.transport.abort()  # nothing is unread, so that this is a close without a reset


def respond_without_billed_units(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
    writer.write(http_response(200))


@asynccontextmanager
async def held_up(child: Any) -> AsyncIterator[None]:
    """Stop the process, and let it go on after HOLD_UP seconds; the body of the block is run meanwhile."""
    child.send_signal(signal.SIGSTOP)
    ends_at = time.monotonic() + HOLD_UP
    try:
        await asyncio.sleep(SEND_DELAY)
        yield
        await asyncio.sleep(ends_at - time.monotonic())
    finally:
        child.send_signal(signal.SIGCONT)


async def connected_clients(harness: GatewayHarness, is_kept: bool) -> list[Client]:
    """Return clients; with `is_kept` the gateway has answered each of them, and their connections rest."""
    clients = [await harness.connect_client() for _ in range(CLIENT_COUNT)]
    if is_kept:
        for client in clients:
            assert (await client.exchange(READY_REQUEST))[0] == 200
    return clients


def call_ids(messages: list[HttpMessage]) -> set[str]:
    return {message.headers["x-call-id"] for message in messages}


@pytest.mark.parametrize("leave", [close, Client.reset], ids=["close", "reset"])
@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
async def test_no_attempt_begins_for_a_client_that_left_during_a_hold_up(
    is_kept: bool, leave: Callable[[Client], None], tmp_path: pathlib.Path
) -> None:
    async with process(tmp_path) as (harness, child):
        clients = await connected_clients(harness, True) if is_kept else []
        async with held_up(child):
            if not is_kept:
                clients = await connected_clients(harness, False)
            for number, client in enumerate(clients):
                client.send(request(number))
            await asyncio.sleep(SEND_DELAY)
            for client in clients:
                leave(client)
        staying = await harness.connect_client()
        assert (await staying.exchange(request(99)))[0] == 200
        await asyncio.sleep(SETTLE_TIME)
        assert call_ids(harness.received_requests()) == {f"{99:016x}"}


@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
async def test_backends_are_told_no_more_than_a_client_has_left_after_a_hold_up(
    is_kept: bool, tmp_path: pathlib.Path
) -> None:
    async with process(tmp_path) as (harness, child):
        backend = harness.backends[0]
        excesses: list[float] = []
        clients = await connected_clients(harness, True) if is_kept else []
        sent_at = 0.0

        def record_excess(writer: asyncio.StreamWriter, asked: HttpMessage) -> None:
            remaining = BUDGET - (time.monotonic() - sent_at)
            excesses.append(float(asked.headers["x-budget"]) - remaining)
            respond_without_billed_units(writer, asked)

        backend.script = [record_excess] * CLIENT_COUNT
        async with held_up(child):
            if not is_kept:
                clients = await connected_clients(harness, False)
            sent_at = time.monotonic()
            for number, client in enumerate(clients):
                client.send(request(number, budget=BUDGET))
        statuses = [(await client.read_response())[0] for client in clients]
        assert statuses.count(200) == len(excesses) > 0
        assert max(excesses) <= DEADLINE_SLACK


@pytest.mark.parametrize("state", ["counter", "queued"])
@pytest.mark.virtual_clock
async def test_the_grace_period_of_a_half_closed_client_counts_from_its_close(
    state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("quota_gateway.gateway_process.create_clock", virtual_unix_clock)
    async with waiting_request(state, 0.0) as case:
        started = len(attempt_starts(case.harness))
        await asyncio.sleep(LOOP_SETTLE_TIME)
        case.client.writer.write_eof()
        virtual_clock_loop().now += HOLD_UP
        half_closed_at = virtual_clock_loop().now - HOLD_UP
        connections = case.harness.process.listener.connections
        while not any(c.half_close.is_started for c in connections):  # noqa: ASYNC110 (no event marks it)
            await asyncio.sleep(0)
        case.release()
        await asyncio.sleep(SETTLE_TIME)
        late = [at for at in attempt_starts(case.harness)[started:] if at > half_closed_at + MAX_START_DELAY]
        assert not late
