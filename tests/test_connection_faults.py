"""The standing test's terms on closes, floods, cut answers and late connections, each forced."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from quota_gateway.downstream.request_handler import MAX_INVALID_REQUESTS
from quota_gateway.model.outcomes import Outcome
from tests.harness import GatewayHarness, request, roomy_settings, run, running
from tests.test_upstream_connections import sending
from tests.virtual_clock import run_on_virtual_clock, start_clock, this_loop

LATE = [0.05, 0.2, 0.3, 1.0, 1.5]  # seconds that a dial takes; up to 0.25 s it is waited for


def sockets_of(bed: GatewayHarness) -> dict[str, list[Any]]:
    """The gateway's own transports, by whom they lead to."""
    program = bed.process
    counter = program.dispatcher.counter
    assert counter is not None
    return {
        "clients": [c.transport for c in program.listener.connections],
        "backends": [c.transport for c in program.pool.connections],
        "discovery": [a.connection.transport for a in program.discovery.pollers if a.connection is not None],
        "counter": [line.transport for line in counter.connections if line is not None],
        "console": [c.transport for c in program.admin.connections],
    }


def test_no_socket_holds_small_writes_back() -> None:
    # what the system still holds goes with a reset
    async def test() -> None:
        async with running() as bed:
            client, operator = await bed.client(), await bed.admin_client()
            assert (await client.ask(request(1)))[0] == 200
            counter = bed.process.dispatcher.counter
            assert counter is not None
            counter.add("name.1", 1.0, 4.0)
            async with asyncio.timeout(5.0):
                while not (bed.counter.calls and bed.process.admin.connections):
                    await asyncio.sleep(0)
            for whose, transports in sockets_of(bed).items():
                assert transports, whose
                for transport in transports:
                    sock = transport.get_extra_info("socket")
                    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY), whose
            operator.writer.close()

    run(test)


@pytest.mark.parametrize("closes", [True, False])
def test_an_answer_without_a_length_that_is_reset_has_no_end(closes: bool) -> None:
    text = b"HTTP/1.1 200 OK\r\n" + b"Connection: close\r\n" * closes + b"\r\nserved by this one"

    async def resets(writer: asyncio.StreamWriter, count: int) -> None:
        writer.write(text[:count])
        await asyncio.sleep(0.002)  # until it has come: a reset takes what is unread along
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def test() -> None:
        async with sending() as (sender, peer):
            for count in range(len(text) + 1):
                peer.script = [lambda writer, asked, count=count: resets(writer, count)]  # type: ignore[misc]
                assert await sender.outcome() is Outcome.BROKEN_RESPONSE, count

    run(test)


@pytest.mark.parametrize("late", LATE)
def test_a_connection_that_comes_up_too_late_carries_nothing(
    late: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("quota_gateway.gateway_process.start_clock", start_clock)

    async def test() -> None:
        async with running(backends=1, env=roomy_settings(dial_timeout=250.0)) as bed:
            loop = this_loop()
            loop.late = {int(b.address.rpartition(":")[2]): late for b in bed.backends}
            client = await bed.client()
            status, _, _ = await client.ask(request(1, "extract"))
            assert status == (200 if late < 0.25 else 429)  # never ran: to try again does no harm
            await asyncio.sleep(3.0)
            assert len(bed.seen()) == (1 if late < 0.25 else 0)
            assert late < 0.25 or not bed.process.pool.connections

    run_on_virtual_clock(test)


@pytest.mark.parametrize("how", ["idle", "drain", "stop"])
def test_a_request_that_crosses_a_close_is_not_sent_on(how: str) -> None:
    # its client sends it once more: on the way already, it would run twice
    async def test() -> None:
        async with running() as bed:
            client, front = await bed.client(), bed.process.listener
            assert (await client.ask(request(1)))[0] == 200
            (connection,) = front.connections
            if how == "idle":
                connection.drop()
            elif how == "drain":
                connection.end()
            else:
                front.stopping = True
                front.close_idle()
            client.send(request(2))
            try:
                assert await client.closed()
            except ConnectionResetError:  # with nothing written that it could take along
                assert how == "idle"
            await asyncio.sleep(0.02)
            assert len(bed.seen()) == 1 and bed.process.dispatcher.submitted_count == 1

    run(test)


def test_half_a_line_from_a_backend_in_the_moment_of_a_close_reaches_nobody() -> None:
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            assert (await client.ask(request(1)))[0] == 200
            (kept,) = bed.process.pool.connections
            for writer in bed.backends[0].open:
                writer.write(b"HTTP/1.1 2")
            kept.endpoint.drop_idle()
            status, _, body = await client.ask(request(2))
            assert (status, body) == (200, b"served 0000000000000002")
            assert bed.backends[0].connections == 2

    run(test)


def test_a_flood_that_goes_leaves_the_others_their_answers() -> None:
    """Clients that send two megabytes of requests out of form at once, and reset."""
    flood = request(1, drop="Plan") * 8000

    async def test() -> None:
        async with running() as bed:
            clients = [await bed.client() for _ in range(20)]
            good = await bed.client()
            for client in clients:
                client.send(flood)
            for number in range(2, 22):
                assert (await good.ask(request(number)))[0] == 200
            for client in clients:
                client.reset()
            async with asyncio.timeout(5.0):
                while len(bed.process.listener.connections) > 1:
                    await asyncio.sleep(0.01)
            assert (await good.ask(request(99)))[0] == 200
            assert len(bed.seen()) == 21 and bed.process.dispatcher.submitted_count == 21

    run(test)


def test_a_flood_costs_a_few_answers_a_connection() -> None:
    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            client.send(request(1, drop="Plan") * 8000)
            statuses = [(await client.answer())[0] for _ in range(MAX_INVALID_REQUESTS)]
            assert statuses == [400] * MAX_INVALID_REQUESTS
            assert await client.closed()

    run(test)


def test_an_answer_that_is_whole_goes_out_though_its_client_sends_on() -> None:
    """Bytes that are unread when a connection closes reset it, and what was written goes with it."""

    async def test() -> None:
        async with running() as bed:
            client = await bed.client()
            text = request(1, Connection="close")
            client.send(text + b"x" * 300_000)
            status, headers, body = await client.answer()
            assert (status, headers["connection"], body) == (200, "close", b"served 0000000000000001")
            assert len(bed.seen()) == 1

    run(test)
