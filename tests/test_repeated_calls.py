"""What a client leaves behind is not sent on later, and no id of a class without repeats runs twice."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import socket
from collections.abc import Callable

import pytest

from quota_gateway.policy.repeated_calls import MAX_REMEMBERED_CALLS, REPEAT_WINDOW, RepeatedCalls
from tests.fakes import HOST, HttpMessage, ResponseStep, http_response, send_success
from tests.harness import Client, GatewayHarness, request, running_gateway
from tests.test_hot_restart import process_group

SERVICE_TIME = 0.15  # seconds
BUDGET = 2.4  # seconds that a client waits
CALLS = 8
MAX_START_DELAY = 0.1  # seconds after a close within which an attempt may start
PIPELINED_REQUESTS = 2_000  # more than the kernel takes of a connection that is not read
WARM_UP_REQUESTS = 300  # requests after which the retry budget has room
FIRST_WARM_UP = 100_000  # number of the first of them
CLOSE_DELAY = 0.05  # seconds


def close_connection(client: Client) -> None:
    client.writer.transport.abort()  # without unread data, the kernel sends FIN and not RST


class Executions:
    """Counts how often each call is executed."""

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()

    def serve(self, status: int = 200, *headers: str) -> ResponseStep:
        async def step(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
            if status == 200:
                self.counts[received.headers["x-call-id"]] += 1
            await asyncio.sleep(SERVICE_TIME)
            writer.write(http_response(status, b"", *headers))

        return step


def call(number: int, request_class: str = "extract") -> bytes:
    return request(number, request_class, BUDGET, customer=f"{number:016x}")


async def send_and_leave(harness: GatewayHarness, leave: Callable[[Client], None]) -> None:
    for number in range(1, CALLS + 1):
        client = await harness.connect_client()
        client.send(call(number))
        await asyncio.sleep(0.02)
        leave(client)


async def statuses_of_repeats(harness: GatewayHarness) -> list[int]:
    statuses = []
    for number in range(1, CALLS + 1):
        client = await harness.connect_client()
        statuses.append((await client.exchange(call(number))).status)
        client.writer.close()
    return statuses


def test_ids_are_forgotten_after_a_while_and_beyond_a_number() -> None:
    calls = RepeatedCalls()
    calls.add(b"early", 100.0)
    assert calls.is_repeat(b"early", 100.0 + REPEAT_WINDOW - 1.0)
    assert not calls.is_repeat(b"early", 100.0 + REPEAT_WINDOW)
    for number in range(MAX_REMEMBERED_CALLS):
        calls.add(b"%d" % number, 101.0)
    assert len(calls.ids()) == MAX_REMEMBERED_CALLS and not calls.is_repeat(b"early", 101.0)
    calls.add(b"late", 101.0 + REPEAT_WINDOW)
    assert calls.ids() == (b"late",)


@pytest.mark.parametrize("leave", [close_connection, Client.reset], ids=["close", "reset"])
@pytest.mark.parametrize("pause", [0.0, 2 * SERVICE_TIME], ids=["running", "ended"])
async def test_call_that_comes_again_after_its_client_left_runs_once(
    pause: float, leave: Callable[[Client], None]
) -> None:
    executions = Executions()
    async with running_gateway(backends=4) as harness:
        for backend in harness.backends:
            backend.script = [executions.serve()] * 4 * CALLS
        await send_and_leave(harness, leave)
        await asyncio.sleep(pause)
        assert set(await statuses_of_repeats(harness)) == {409}
        await asyncio.sleep(2 * SERVICE_TIME)
    assert set(executions.counts.values()) == {1} and len(executions.counts) == CALLS


async def test_call_that_was_not_executed_may_come_again() -> None:
    executions = Executions()
    async with running_gateway() as harness:
        (backend,) = harness.backends
        backend.script = [executions.serve(503, "X-Rejected: 1")] * 8
        client = await harness.connect_client()
        assert (await client.exchange(call(1))).status == 429
        backend.script = [executions.serve()]
        await asyncio.sleep(1.0)  # the endpoint is avoided for a while
        assert (await client.exchange(call(1))).status == 200
    assert set(executions.counts.values()) == {1}


@pytest.mark.parametrize("sent_before_start", [True, False], ids=["before", "during"])
async def test_call_that_comes_again_at_the_other_process_runs_once(
    sent_before_start: bool, tmp_path: pathlib.Path
) -> None:
    executions = Executions()
    async with process_group(tmp_path) as processes:
        for backend in processes.harness.backends:
            backend.script = [executions.serve()] * 4 * CALLS
        await processes.start()
        if sent_before_start:
            await send_and_leave(processes.harness, Client.reset)
            await processes.start()
        else:
            clients = [await processes.harness.connect_client() for _ in range(CALLS)]
            await asyncio.sleep(0.1)
            await processes.start()
            for number, client in enumerate(clients, 1):
                client.send(call(number))
                await asyncio.sleep(0.02)
                client.reset()
        assert set(await statuses_of_repeats(processes.harness)) == {409}
        await asyncio.sleep(2 * SERVICE_TIME)
    assert set(executions.counts.values()) == {1} and len(executions.counts) == CALLS


async def test_requests_are_not_retried_after_a_close_behind_unread_input() -> None:
    arrivals: dict[str, list[float]] = collections.defaultdict(list)
    loop = asyncio.get_running_loop()

    async def fail_first(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
        times = arrivals[received.headers["x-call-id"]]
        times.append(loop.time())
        if len(times) > 1 or int(received.headers["x-call-id"], 16) >= FIRST_WARM_UP:
            send_success(writer, received)
            return
        await asyncio.sleep(2 * SERVICE_TIME)
        writer.write(http_response(503, b"", "X-Rejected: 1"))

    async with running_gateway(backends=12) as harness:
        step: ResponseStep = fail_first
        for backend in harness.backends:
            backend.script = [step] * 2 * PIPELINED_REQUESTS
        client = await harness.connect_client()
        for number in range(FIRST_WARM_UP, FIRST_WARM_UP + WARM_UP_REQUESTS):
            assert (await client.exchange(call(number, "lookup"))).status == 200
        with socket.socket() as leaving:
            leaving.setblocking(False)
            await loop.sock_connect(leaving, (HOST, harness.port))
            pipeline = b"".join(call(number, "lookup") for number in range(1, PIPELINED_REQUESTS + 1))
            await loop.sock_sendall(leaving, pipeline)
            await asyncio.sleep(CLOSE_DELAY)
        closed_at = loop.time()
        await asyncio.sleep(6 * SERVICE_TIME)
    late = [at - closed_at for times in arrivals.values() for at in times if at > closed_at + MAX_START_DELAY]
    assert not late
