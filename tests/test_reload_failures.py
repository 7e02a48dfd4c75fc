"""Retries of actions at startup or on SIGHUP that fail because of a temporary error."""

from __future__ import annotations

import asyncio
import errno
import json
import pathlib
import signal

import pytest

from tests.fakes import EVENT_TIMEOUT, FakeDiscovery
from tests.fault_injection.injector import FaultInjector
from tests.harness import READY_REQUEST, request
from tests.test_gateway_process import process

OUTAGE_DURATION = 0.5  # seconds that the error lasts
MAX_RELOAD_DELAY = 4.0  # seconds after SIGHUP within which the new discovery agent has to be polled


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.EIO], ids=errno.errorcode.get)
async def test_reload_retries_unopenable_file(error: int, tmp_path: pathlib.Path) -> None:
    faults = FaultInjector(tmp_path / "faults")
    async with process(tmp_path, variables=faults.environment) as (harness, child):
        discovery = FakeDiscovery()
        await discovery.start()
        discovery.entries = harness.discovery.entries
        path = tmp_path / "config.json"
        path.write_text(json.dumps(json.loads(path.read_text()) | {"discovery": discovery.address}))
        faults.fail_configuration_file(error)
        child.send_signal(signal.SIGHUP)
        asyncio.get_running_loop().call_later(OUTAGE_DURATION, faults.fail_configuration_file, 0)
        async with asyncio.timeout(MAX_RELOAD_DELAY):
            await discovery.wait_for_requests(2)
        await discovery.stop()


async def test_reload_retries_partly_written_file(tmp_path: pathlib.Path) -> None:
    async with process(tmp_path) as (harness, child):
        discovery = FakeDiscovery()
        await discovery.start()
        discovery.entries = harness.discovery.entries
        path = tmp_path / "config.json"
        text = json.dumps(json.loads(path.read_text()) | {"discovery": discovery.address})
        path.write_text(text[: len(text) // 2])
        child.send_signal(signal.SIGHUP)
        await asyncio.sleep(OUTAGE_DURATION)
        path.write_text(text)
        async with asyncio.timeout(MAX_RELOAD_DELAY):
            await discovery.wait_for_requests(2)
        await discovery.stop()


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS], ids=errno.errorcode.get)
async def test_startup_retries_when_out_of_sockets(error: int, tmp_path: pathlib.Path) -> None:
    faults = FaultInjector(tmp_path / "faults")
    faults.fail_sockets(1.0, error)
    asyncio.get_running_loop().call_later(OUTAGE_DURATION, faults.fail_sockets, 0.0, 0)
    async with process(tmp_path, console=True, variables=faults.environment) as (harness, child):
        assert faults.injected > 0 and child.returncode is None
        client = await harness.connect_client()
        assert (await client.exchange(READY_REQUEST))[0] == 200
        assert (await client.exchange(request(1)))[0] == 200
        async with asyncio.timeout(EVENT_TIMEOUT):
            while True:
                try:
                    assert (await harness.call_admin("GET", "/healthcheck"))[0] == 200
                    break
                except OSError:  # not listening yet
                    await asyncio.sleep(0.02)


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EIO], ids=errno.errorcode.get)
async def test_startup_retries_unopenable_configuration(error: int, tmp_path: pathlib.Path) -> None:
    faults = FaultInjector(tmp_path / "faults")
    faults.fail_configuration_file(error)
    asyncio.get_running_loop().call_later(OUTAGE_DURATION, faults.fail_configuration_file, 0)
    async with process(tmp_path, variables=faults.environment) as (harness, _):
        assert (await (await harness.connect_client()).exchange(request(1)))[0] == 200
