"""Temporary failures of the folder that the processes of a gateway share, and loss of the socket in it.

A newer process finds the older one by this socket, and restores which backends are under maintenance.
"""

from __future__ import annotations

import asyncio
import errno
import pathlib

import pytest

from quota_gateway.hot_restart.shared_folder import SOCKET_NAME
from tests.fakes import EVENT_TIMEOUT
from tests.fault_injection.injector import FaultInjector
from tests.test_hot_restart import ProcessGroup, process_group

OUTAGE_DURATION = 0.5  # seconds that the folder fails
ERRORS = [errno.EIO, errno.ENOSPC]


def create_shared_folder(parent: pathlib.Path) -> tuple[FaultInjector, pathlib.Path]:
    """Create a shared folder, and a fault injector for the processes that use it."""
    folder = parent / "shared"
    folder.mkdir()
    return FaultInjector(parent / "faults"), folder


async def wait_until_published(folder: pathlib.Path) -> None:
    """Wait until a process has published its socket in the folder."""
    async with asyncio.timeout(EVENT_TIMEOUT):
        while not (folder / SOCKET_NAME).is_socket():  # noqa: ASYNC110 - another process sets no event
            await asyncio.sleep(0.01)


async def start_maintenance(processes: ProcessGroup, admin_port: int) -> None:
    """Put one of the two backends under maintenance, as an operator does."""
    assert await processes.admin_status(admin_port, "POST", "/backends/b0/maint") == 200


async def assert_under_maintenance(processes: ProcessGroup, admin_port: int) -> None:
    """Assert that the process has one backend under maintenance."""
    assert (await processes.metrics(admin_port))["targets_disabled"] == 1


@pytest.mark.parametrize("error", ERRORS, ids=errno.errorcode.get)
async def test_socket_is_published_after_folder_failure(error: int, tmp_path: pathlib.Path) -> None:
    """A newer process finds an older one whose folder failed when it began to serve."""
    faults, folder = create_shared_folder(tmp_path)
    async with process_group(folder) as processes:
        faults.fail_folder(error)
        _, older = await processes.start(faults.environment)
        await start_maintenance(processes, older)
        await asyncio.sleep(OUTAGE_DURATION)
        assert faults.injected > 0
        faults.fail_folder(0)
        await wait_until_published(folder)
        _, newer = await processes.start()
        await assert_under_maintenance(processes, newer)


@pytest.mark.parametrize("error", ERRORS, ids=errno.errorcode.get)
async def test_newer_process_retries_after_folder_failure(error: int, tmp_path: pathlib.Path) -> None:
    """A newer process whose folder fails during its start finds the older one nevertheless."""
    faults, folder = create_shared_folder(tmp_path)
    async with process_group(folder) as processes:
        _, older = await processes.start()
        await start_maintenance(processes, older)
        faults.fail_folder(error)
        asyncio.get_running_loop().call_later(OUTAGE_DURATION, faults.fail_folder, 0)
        _, newer = await processes.start(faults.environment)
        assert faults.injected > 0
        await assert_under_maintenance(processes, newer)


async def test_process_is_found_after_newer_one_died(tmp_path: pathlib.Path) -> None:
    async with process_group(tmp_path) as processes:
        _, oldest = await processes.start()
        for _ in range(2):
            newer, _ = await processes.start()
            await wait_until_published(tmp_path)
            newer.kill()
            await newer.wait()
        await start_maintenance(processes, oldest)
        async with asyncio.timeout(EVENT_TIMEOUT):
            while await processes.admin_status(oldest, "GET", "/healthcheck") != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        _, newest = await processes.start()
        await assert_under_maintenance(processes, newest)


async def test_state_is_restored_after_startup_without_folder(tmp_path: pathlib.Path) -> None:
    """A process whose folder fails throughout its start restores the older one's state afterwards."""
    faults, folder = create_shared_folder(tmp_path)
    async with process_group(folder) as processes:
        _, older = await processes.start()
        await start_maintenance(processes, older)
        faults.fail_folder(errno.EIO)
        _, newer = await processes.start(faults.environment)  # serves without the state, as clients wait
        assert (await processes.metrics(newer))["targets_disabled"] == 0
        faults.fail_folder(0)
        async with asyncio.timeout(EVENT_TIMEOUT):
            while (await processes.metrics(newer))["targets_disabled"] != 1:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        # The older process learns that the newer one serves, and a third process finds the newer one.
        async with asyncio.timeout(EVENT_TIMEOUT):
            while (await processes.metrics(newer))["success.lookup"] == 0:
                assert await processes.request_status(1) == 200
        _, newest = await processes.start()
        await assert_under_maintenance(processes, newest)
