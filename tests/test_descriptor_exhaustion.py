"""Idle clients fill the descriptors while discovery is down: the program must come through, and find back."""

from __future__ import annotations

import asyncio
import os
import pathlib
import resource
from typing import Any

import pytest

from tests.fakes import HOST, SOON, Asked, message
from tests.harness import READY, GatewayHarness, request, run
from tests.test_gateway_process import process

LIMITS = [256, 1024]


def descriptors(child: Any) -> int:
    return len(os.listdir(f"/proc/{child.pid}/fd"))


class Idle:
    """Clients that connect, send nothing, and connect again when they are closed."""

    def __init__(self, bed: GatewayHarness, number: int) -> None:
        self.bed = bed
        self.tasks = [asyncio.get_running_loop().create_task(self.stay()) for _ in range(number)]

    async def stay(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.bed.port)
                await reader.read()
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def plain(writer: asyncio.StreamWriter, asked: Asked) -> None:
    writer.write(message(200))  # the units stay as they were guessed


async def until_full(child: Any, least: int) -> int:
    async with asyncio.timeout(SOON):
        while descriptors(child) < least:
            await asyncio.sleep(0.02)
    return descriptors(child)


async def down(bed: GatewayHarness) -> None:
    assert bed.discovery.server is not None and bed.counter.server is not None
    for peer in (bed.discovery, bed.counter):
        assert peer.server is not None
        peer.server.close()
        for writer in list(peer.open):
            writer.transport.abort()


async def up(bed: GatewayHarness) -> None:
    for peer in (bed.discovery, bed.counter):
        host, _, port = peer.address.rpartition(":")
        peer.server = await asyncio.start_server(peer.connected, host, int(port))


async def asked_of_backend(bed: GatewayHarness, number: int) -> int:
    """A new client's request, as often as its connection is closed unread, which a full gateway may do."""
    async with asyncio.timeout(SOON):
        while True:
            client = await bed.client()
            try:
                return (await client.ask(request(number)))[0]
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.02)
            finally:
                client.writer.close()


@pytest.mark.parametrize("short", [False, True])
@pytest.mark.parametrize("limit", LIMITS)
def test_idle_clients_that_fill_the_descriptors_keep_nothing_from_coming_back(
    limit: int, short: bool, tmp_path: pathlib.Path
) -> None:
    """`short`: the limit is lowered to what is open, so that not one descriptor more can be had."""

    async def test() -> None:
        async with process(tmp_path, descriptors=limit, console=True) as (bed, child):
            await down(bed)
            idle = Idle(bed, limit + 100)
            open_now = await until_full(child, limit // 2)
            if short:
                await asyncio.sleep(0.3)  # until the rest has come
                open_now = descriptors(child)
                resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (open_now, open_now))
            assert open_now <= limit
            assert await asked_of_backend(bed, 1) == 200  # a new client, and a new connection to a backend
            status, text = await bed.call("GET", "/stats")
            assert status == 200 and "svc.success.lookup=" in text
            await up(bed)
            bed.backends[1].script = [plain] * 1000
            bed.discovery.entries["b1"] = bed.discovery.entry("b1", bed.backends[1].address)
            await bed.discovery.change(
                bed.discovery.entries["b1"], bed.discovery.entry("b0", bed.backends[0].address, "DRAINING")
            )
            number = 1
            async with asyncio.timeout(SOON):
                while not bed.backends[1].seen:  # discovery is reached, and the backend that it names
                    number += 1
                    assert await asked_of_backend(bed, number) in (200, 429)
            client = await bed.client()
            assert (await client.ask(READY))[0] == 200
            async with asyncio.timeout(SOON):
                while not bed.counter.calls:  # and the counter
                    number += 1
                    await client.ask(request(number, plan="pro", units="8"))  # near its quota
                    await asyncio.sleep(0.02)
            assert child.returncode is None
            await idle.stop()
            child.terminate()
            async with asyncio.timeout(SOON):
                assert await child.wait() == 0
            said = (await child.stderr.read()).decode()
            assert "Traceback" not in said, said

    run(test)
