"""Graceful shutdown: every request on an open connection gets its response in time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from quota_gateway.configuration.file import build_configuration
from quota_gateway.gateway_process import GatewayProcess
from quota_gateway.shutdown import FLUSH_TIMEOUT
from tests.fakes import HttpMessage, send_success_after
from tests.harness import Client, GatewayHarness, high_quota_settings, request, running_gateway


@pytest.fixture(autouse=True)
def no_final_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("FINAL_READ_WINDOW", "READ_INTERVAL"):
        monkeypatch.setattr(f"quota_gateway.shutdown.{name}", 0.0)


async def wait_for(condition: Callable[[], bool]) -> None:
    """Let the event loop run until the condition holds."""
    while True:
        if condition():
            return
        await asyncio.sleep(0)


async def begin_shutdown(harness: GatewayHarness) -> asyncio.Task[None]:
    """Start the shutdown and return its task after the first close of idle connections."""
    listener = harness.process.listener
    close_idle = listener.close_idle
    idle_closed = asyncio.Event()

    def close_idle_and_notify() -> None:
        close_idle()
        idle_closed.set()

    listener.close_idle = close_idle_and_notify  # type: ignore[method-assign]
    task = asyncio.get_running_loop().create_task(harness.process.stop(0.0, 8.0))
    await idle_closed.wait()
    return task


async def client_of_hung_backend(harness: GatewayHarness, released: asyncio.Event) -> Client:
    """Return a client whose first request is at the backend, which answers it once `released` is set."""
    harness.backends[0].script = [send_success_after(released)]
    client = await harness.connect_client()
    client.send(request(1))
    await harness.backends[0].wait_until(lambda: len(harness.received_requests()) == 1)
    return client


async def assert_served_and_shut_down(client: Client, shutdown: asyncio.Task[None]) -> None:
    """Expect a last response that announces the close, the close itself, and the end of the shutdown."""
    status, headers, _ = await client.read_response()
    assert status == 200
    assert headers["connection"] == "close"
    assert await client.wait_closed()
    client.writer.close()
    await shutdown


@pytest.mark.parametrize("deadline", [0.8, 1.5, 2.5, 3.0, 8.0])
async def test_shutdown_timeout_ends_before_sigkill(deadline: float) -> None:
    # SIGKILL follows 0.7 s after the longest deadline, which counts as 3 s at most.
    settings = high_quota_settings()
    for request_class in settings["services"]:
        request_class.update(deadline=1000.0 * deadline, aim=300.0)
    content = GatewayHarness(0).configuration(settings, 1024)
    content |= {"discovery": "127.0.0.1:1", "counter": "127.0.0.1:1"}
    process = GatewayProcess(build_configuration(content, {}))
    earliest_deadline = min(deadline, 3.0)
    assert earliest_deadline < process.shutdown_timeout < earliest_deadline + 0.7 - FLUSH_TIMEOUT
    process.listener.close()
    process.pool.close()


@pytest.mark.parametrize("received_bytes", [20, len(request(1)) - 1])
async def test_partly_read_request_is_served(received_bytes: int) -> None:
    """Its first bytes have been read when idle connections are closed."""
    # Without another request in flight, the process exited at once and reset the connection.
    async with running_gateway() as harness:
        client = await harness.connect_client()
        client.send(request(1)[:received_bytes])
        connections = harness.process.listener.connections
        await wait_for(lambda: any(connection.in_request for connection in connections))
        shutdown = await begin_shutdown(harness)
        client.send(request(1)[received_bytes:])
        await assert_served_and_shut_down(client, shutdown)


async def test_requests_pipelined_during_shutdown_are_served() -> None:
    """They arrive while the backend holds the response to the request before them."""
    backend_released = asyncio.Event()
    async with running_gateway() as harness:
        client = await client_of_hung_backend(harness, backend_released)
        shutdown = await begin_shutdown(harness)
        client.send(request(2) + request(3)[:30])
        await wait_for(lambda: len(harness.process.dispatcher.active_requests) >= 2)
        backend_released.set()
        assert [(await client.read_response())[0] for _ in range(2)] == [200, 200]
        client.send(request(3)[30:])
        await assert_served_and_shut_down(client, shutdown)


async def test_unread_pipelined_request_is_served() -> None:
    """The previous response must not announce the close while a request is unread in the kernel's buffer."""
    backend_released = asyncio.Event()
    async with running_gateway() as harness:
        client = await client_of_hung_backend(harness, backend_released)
        shutdown = await begin_shutdown(harness)
        (connection,) = harness.process.listener.connections
        assert connection.transport is not None
        connection.transport.pause_reading()  # as if the event loop had not read the request yet
        client.send(request(2))
        await wait_for(connection.has_unread_input)
        backend_released.set()
        assert (await client.read_response())[0] == 200
        connection.transport.resume_reading()
        await assert_served_and_shut_down(client, shutdown)


async def test_request_at_hung_backend_gets_error_response() -> None:
    """The backend doesn't respond until the end of the shutdown."""
    async with running_gateway() as harness:

        def never_respond(writer: asyncio.StreamWriter, received: HttpMessage) -> None:
            pass

        harness.backends[0].script = [never_respond]
        client = await harness.connect_client()
        client.send(request(1, "extract"))
        await harness.backends[0].wait_until(lambda: len(harness.received_requests()) == 1)
        await harness.process.stop(0.0, 0.0)
        assert (await client.read_response())[0] == 504
        assert await client.wait_closed()
        assert len(harness.received_requests()) == 1


async def test_all_connections_in_listen_queue_are_accepted() -> None:
    async with running_gateway(socket_limit=1024) as harness:
        listener = harness.process.listener
        assert listener.listener is not None
        listener.loop.remove_reader(listener.listener)
        listener.listener.listen(256)
        clients: list[Client] = []
        for number in range(100):  # more than are accepted in one iteration of the event loop
            client = await harness.connect_client()
            client.send(request(number))
            clients.append(client)
        await harness.process.stop(0.0, 8.0)
        statuses = [(await client.read_response())[0] for client in clients]
        assert set(statuses) <= {200, 429}
        assert statuses.count(200) >= 4
