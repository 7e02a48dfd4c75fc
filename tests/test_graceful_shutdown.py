"""The end after SIGTERM: what is taken on any connection that stayed open has its answer in time."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.configuration.file import build_configuration
from quota_gateway.gateway_process import GatewayProcess
from quota_gateway.shutdown import FLUSH_TIMEOUT
from tests.fakes import Asked, serve_after
from tests.harness import Client, GatewayHarness, request, roomy_settings, run, running


@pytest.fixture(autouse=True)
def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("FINAL_READ_WINDOW", "READ_INTERVAL"):
        monkeypatch.setattr(f"quota_gateway.shutdown.{name}", 0.0)


@pytest.mark.parametrize("deadline", [0.8, 1.5, 2.5, 3.0, 8.0])
def test_all_is_answered_before_the_earliest_kill(deadline: float) -> None:
    # it comes 0.7 s past the longest deadline, which counts as 3 s at most
    async def test() -> None:
        env = roomy_settings()
        for klass in env["services"]:
            klass.update(deadline=1000.0 * deadline, aim=300.0)
        program = GatewayProcess(
            build_configuration(
                GatewayHarness(0).configuration(env, 1024)
                | {"discovery": "127.0.0.1:1", "counter": "127.0.0.1:1"},
                {},
            )
        )
        assert min(deadline, 3.0) < program.answer_timeout < min(deadline, 3.0) + 0.7 - FLUSH_TIMEOUT
        program.listener.close()
        program.pool.close()

    run(test)


async def stopping(bed: GatewayHarness) -> tuple[asyncio.Task[None], asyncio.Event]:
    """Begins the end; the event is set once the first idle connections have been closed."""
    front, closed = bed.process.listener, asyncio.Event()
    close_idle = front.close_idle

    def listen() -> None:
        close_idle()
        closed.set()

    front.close_idle = listen  # type: ignore[method-assign]
    return asyncio.get_running_loop().create_task(bed.process.stop(0.0, 8.0)), closed


@pytest.mark.parametrize("cut", [20, len(request(1)) - 1])
def test_a_request_half_read_when_idle_connections_close_is_answered(cut: int) -> None:
    # with nothing else unanswered the process ended at once, and the request's rest came to a reset
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            client.send(request(1)[:cut])
            front = bed.process.listener
            while not any(c.in_request for c in front.connections):
                await asyncio.sleep(0)
            task, closed = await stopping(bed)
            await closed.wait()
            client.send(request(1)[cut:])
            status, headers, _ = await client.answer()
            assert (status, headers["connection"]) == (200, "close") and await client.closed()
            client.writer.close()
            await task

    run(test)


def test_pipelined_requests_that_come_while_a_backend_hangs_are_all_answered() -> None:
    async def test() -> None:
        free = asyncio.Event()
        async with running() as bed:
            bed.backends[0].script = [serve_after(free)]
            client = await bed.client()
            client.send(request(1))
            await bed.backends[0].until(lambda: len(bed.seen()) == 1)
            task, closed = await stopping(bed)
            await closed.wait()
            client.send(request(2) + request(3)[:30])
            while len(bed.process.dispatcher.active_requests) < 2:
                await asyncio.sleep(0)
            free.set()
            assert [(await client.answer())[0] for _ in range(2)] == [200, 200]
            client.send(request(3)[30:])
            status, headers, _ = await client.answer()
            assert (status, headers["connection"]) == (200, "close") and await client.closed()
            client.writer.close()
            await task

    run(test)


def test_a_backend_that_hangs_to_the_end_costs_its_request_an_error_and_no_silence() -> None:
    async def test() -> None:
        async with running() as bed:

            def never(writer: asyncio.StreamWriter, asked: Asked) -> None:
                pass

            bed.backends[0].script = [never]
            client = await bed.client()
            client.send(request(1, "extract"))
            await bed.backends[0].until(lambda: len(bed.seen()) == 1)
            await bed.process.stop(0.0, 0.0)
            assert (await client.answer())[0] == 504 and await client.closed()
            assert len(bed.seen()) == 1

    run(test)


def test_all_that_wait_in_the_listener_s_queue_are_taken_in_however_many() -> None:
    async def test() -> None:
        async with running(sockets=1024) as bed:
            front, clients = bed.process.listener, list[Client]()
            assert front.listener is not None
            front.loop.remove_reader(front.listener)
            front.listener.listen(256)
            for number in range(100):  # more than are taken in at one go
                client = await bed.client()
                client.send(request(number))
                clients.append(client)
            await bed.process.stop(0.0, 8.0)
            statuses = [(await client.answer())[0] for client in clients]
            assert set(statuses) <= {200, 429} and statuses.count(200) >= 4

    run(test)
