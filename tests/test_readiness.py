"""After a restart: ready, and a request served, within 10 s: a whole fleet, discovery and counter down."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import socket
from typing import Any

import pytest

from tests.fakes import HOST, FakeBackend, settings_text
from tests.harness import READY, GatewayHarness, request, roomy_settings, run
from tests.test_endpoint_updates import Discoverer
from tests.test_gateway_process import ROOT, RUN
from tests.virtual_clock import run_on_virtual_clock, start_clock

READY_WITHIN = 10.0  # seconds, for nine in ten
FLEET = 12
FAULTS = ["refused", "busy", "dial hangs", "silent", "trickles", "cut", "rubbish"]


class Restarted:
    """One gateway's program and the seconds from its start until it was ready and had a request served."""

    def __init__(self, bed: GatewayHarness, number: int) -> None:
        self.bed, self.number = bed, number
        self.took = float("inf")

    async def watch(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        while await self.status(READY) != 200 or await self.status(request(self.number)) != 200:
            await asyncio.sleep(0.05)
        self.took = loop.time() - began

    async def status(self, text: bytes) -> int:
        try:
            client = await self.bed.client()
        except OSError:
            return 0
        try:
            return (await client.ask(text))[0]
        except (OSError, asyncio.IncompleteReadError):
            return 0
        finally:
            client.writer.close()


async def beds_of(number: int, fault: str) -> tuple[list[GatewayHarness], Discoverer]:
    """Beds that share a discovery with this fault, a counter that is down, and two backends."""
    discovery, backends = Discoverer(), [FakeBackend(), FakeBackend()]
    for peer in (discovery, *backends):
        await peer.start()
    entries = [discovery.entry(f"b{n}", b.address) for n, b in enumerate(backends)]
    discovery.entries = {e["instanceId"]: e for e in entries}
    beds = []
    for _ in range(number):
        bed = GatewayHarness(0)
        bed.backends, bed.discovery = backends, discovery
        await bed.counter.start()
        await bed.counter.stop()
        beds.append(bed)
    await discovery.begin(fault)
    return beds, discovery


def fleet_settings(number: int) -> dict[str, Any]:
    """Thin plans: each request needs the counter's word, or goes without it where it is down."""
    env = settings_text()
    env["balancers"], env["limits"]["dial_timeout"] = number, 250.0
    return env


@pytest.mark.parametrize("fault", FAULTS)
def test_a_fleet_that_restarts_at_once_is_ready_whatever_discovery_does(fault: str) -> None:
    """Whole programs in one loop, by its clock: how long a start waits, wherever it runs."""
    took: list[float] = []

    async def test() -> None:
        beds, discovery = await beds_of(FLEET, fault)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("quota_gateway.gateway_process.start_clock", start_clock)
            fleet = [Restarted(bed, number) for number, bed in enumerate(beds)]

            async def start(restarted: Restarted) -> None:
                began = asyncio.get_running_loop().time()
                await restarted.bed.begin(fleet_settings(FLEET), 1024)
                await restarted.watch()
                took.append(asyncio.get_running_loop().time() - began)

            await asyncio.gather(*(start(each) for each in fleet))
        for bed in beds:
            await bed.process.stop(0.0, 0.0)
        for peer in (discovery, *beds[0].backends):
            await peer.stop()

    run_on_virtual_clock(test)
    print(f"ready: {FLEET} gateways, {fault}: {max(took):.2f} s at most")
    assert max(took) <= 1.5  # what a start waits for is bounded by one dial, and a little


@pytest.mark.parametrize("fault", ["refused", "silent"])
def test_nine_in_ten_processes_that_are_started_at_once_are_ready_in_time(
    fault: str, tmp_path: pathlib.Path
) -> None:
    """`run` itself, as many times; this machine's cores count too."""

    async def test() -> None:
        beds, discovery = await beds_of(FLEET, fault)
        fleet, children = [], []
        for number, bed in enumerate(beds):
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                bed.port = probe.getsockname()[1]
            path = tmp_path / f"{number}.json"
            told = bed.configuration(fleet_settings(FLEET), 1024) | {"listen": f"{HOST}:{bed.port}"}
            path.write_text(json.dumps(told))
            children.append(
                await asyncio.create_subprocess_exec(
                    "/bin/sh",
                    "-c",
                    RUN,
                    cwd=ROOT,
                    env={**os.environ, "RELAY_CONFIG": str(path)},
                    stderr=asyncio.subprocess.DEVNULL,
                )
            )
            fleet.append(Restarted(bed, number))
        try:
            async with asyncio.timeout(2 * READY_WITHIN):
                await asyncio.gather(*(each.watch() for each in fleet))
        finally:
            for child in children:
                child.kill()
                await child.wait()
            for peer in (discovery, *beds[0].backends):
                await peer.stop()
        took = sorted(each.took for each in fleet)
        print(f"ready: {FLEET} processes, {fault}: {took[-1]:.2f} s at most")
        assert took[int(0.9 * FLEET)] <= READY_WITHIN

    run(test)


def test_one_that_knows_no_backend_says_so_until_discovery_names_one() -> None:
    """Ready is a promise to serve: with nothing to serve with it is not made."""

    async def test() -> None:
        bed = GatewayHarness(1)
        peer = bed.discovery = Discoverer()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("quota_gateway.gateway_process.start_clock", start_clock)
            for each in (*bed.backends, peer, bed.counter):
                await each.start()
            await peer.begin("busy")
            await bed.begin(roomy_settings(), 1024)
        client = await bed.client()
        assert (await client.ask(READY))[0] == 503
        await peer.over(peer.entry("b0", bed.backends[0].address))
        await asyncio.sleep(1.5)
        assert (await client.ask(READY))[0] == 200 and (await client.ask(request(1)))[0] == 200
        client.writer.close()
        await bed.process.stop(0.0, 0.0)
        for each in (*bed.backends, peer, bed.counter):
            await each.stop()

    run_on_virtual_clock(test)
