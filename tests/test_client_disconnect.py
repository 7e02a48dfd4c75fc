"""Clients that leave while their request waits: nothing is sent on for it, and its units go back."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from quota_gateway.downstream.client_connection import MAX_PIPELINED_REQUESTS
from tests.fakes import HOST, Asked, message, settings_text
from tests.harness import Client, GatewayHarness, request, roomy_settings, run, running

BEFORE_ITS_END = 2.0  # seconds: a request is held for 2.5, and has 5, and must not end by these


@pytest.fixture(autouse=True)
def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quota_gateway.downstream.half_close.GRACE_PERIOD", 0.0)


async def until(done: Callable[[], bool]) -> None:
    async with asyncio.timeout(BEFORE_ITS_END):
        while not done():
            await asyncio.sleep(0)


def plain(writer: asyncio.StreamWriter, asked: Asked) -> None:
    writer.write(message(200))  # the units stay as they were guessed


class FullListener:
    """A listening socket whose queue is full: dials to it come up only once one is accepted."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(0)
        self.listener.setblocking(False)
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        self.filler = socket.create_connection(self.listener.getsockname())

    def close(self) -> None:
        self.filler.close()
        self.listener.close()


def patient(env: dict[str, Any]) -> dict[str, Any]:
    """The counter may take seconds, and so may an attempt."""
    env["domain"]["count_limit"] = 8000.0
    env["services"][0]["aim"] = 8000.0
    return env


@asynccontextmanager
async def waiting(state: str) -> AsyncIterator[tuple[GatewayHarness, Client]]:
    """A gateway whose client's request 9 waits: in the buffer, for the counter, or for a dial."""
    cut = asyncio.Event()

    async def cuts(writer: asyncio.StreamWriter, asked: Asked) -> None:
        await cut.wait()
        writer.transport.abort()

    full = FullListener()
    env = settings_text() if state in ("held", "counter") else roomy_settings(dial_timeout=8000.0)
    async with running(env=patient(env)) as bed:
        client = await bed.client()
        driver, told = bed.process.dispatcher, bed.discovery
        if state == "held":
            bed.backends[0].script = [plain, plain]
            for number, units in enumerate(("8", "4")):  # all of the bank
                assert (await client.ask(request(number, plan="pro", units=units)))[0] == 200
            client.send(request(9, plan="pro"))
            await until(lambda: bool(driver.active_requests))
        elif state == "counter":
            bed.counter.free.clear()
            client.send(request(9))
            await until(lambda: bool(bed.counter.calls))
        elif state == "dial":
            await told.change(told.entry("b0", full.address))
            await until(lambda: driver.pool.endpoints["b0"].address[1] == int(full.address.split(":")[1]))
            client.send(request(9))
            await until(lambda: bool(driver.pool.connecting))
        else:
            bed.backends[0].script = [cuts]
            client.send(request(9))
            await bed.backends[0].until(lambda: bool(bed.seen()))
            await told.change(told.entry("b1", full.address))
            await until(lambda: "b1" in driver.pool.endpoints)
            cut.set()
            await until(lambda: bool(driver.pool.connecting))
        yield bed, client
    full.close()


STATES = ["held", "counter", "dial", "repeat"]


@pytest.mark.parametrize("leave", ["closes", "resets"])
@pytest.mark.parametrize("state", STATES)
def test_nothing_is_sent_on_for_a_client_that_left_while_its_request_waited(state: str, leave: str) -> None:
    # a closed connection reads as the end of what its client sends, which kept its requests
    async def test() -> None:
        async with waiting(state) as (bed, client):
            driver, seen = bed.process.dispatcher, len(bed.seen())
            throttle = next(iter(driver.engine.throttles.values()))
            before = throttle.level
            if leave == "closes":
                client.writer.close()
            else:
                client.reset()
            await until(lambda: not driver.active_requests and not driver.pool.connecting)
            bed.counter.free.set()
            await until(lambda: not throttle.asking)
            assert len(bed.seen()) == seen and not driver.engine.jobs and not throttle.queue
            if state != "repeat":  # that one's first attempt took its units
                throttle.refill(driver.clock())
                assert throttle.level >= min(before + 1.0, throttle.bank) and throttle.held == 0

    run(test)


@pytest.mark.parametrize("state", STATES)
def test_one_that_only_ended_its_sending_is_told_so_that_it_may_come_again(state: str) -> None:
    async def test() -> None:
        async with waiting(state) as (bed, client):
            seen = len(bed.seen())
            client.writer.write_eof()
            assert (await client.answer())[0] == 429
            assert await client.closed()
            assert len(bed.seen()) == seen

    run(test)


@pytest.mark.parametrize("leave", ["closes", "resets"])
def test_one_that_leaves_while_nothing_more_is_read_is_noticed_too(leave: str) -> None:
    # the loop tells of no end on a connection that it does not read
    async def test() -> None:
        async with running(env=patient(settings_text())) as bed:
            bed.counter.free.clear()
            client, front = await bed.client(), bed.process.listener
            client.send(b"".join(request(number) for number in range(8 * MAX_PIPELINED_REQUESTS)))
            await until(lambda: any(c.paused for c in front.connections))
            assert len(bed.process.dispatcher.active_requests) >= MAX_PIPELINED_REQUESTS
            if leave == "closes":
                client.writer.close()
            else:
                client.reset()
            await until(lambda: not front.connections)
            bed.counter.free.set()
            await until(lambda: not bed.process.dispatcher.active_requests)
            assert not bed.seen() and not bed.process.dispatcher.engine.jobs

    run(test)


def test_an_attempt_that_fails_after_its_client_closed_is_not_repeated() -> None:
    async def test() -> None:
        cut = asyncio.Event()

        async def cuts(writer: asyncio.StreamWriter, asked: Asked) -> None:
            await cut.wait()
            writer.transport.abort()

        async with running(backends=2) as bed:
            for backend in bed.backends:
                backend.script = [cuts]
            client = await bed.client()
            client.send(request(1))
            await until(lambda: bool(bed.seen()))
            client.writer.write_eof()
            (job,) = bed.process.dispatcher.engine.jobs.values()
            await until(lambda: job.spent)
            cut.set()
            assert (await client.answer())[0] == 429  # safe to repeat: it may come again
            assert len(bed.seen()) == 1

    run(test)
