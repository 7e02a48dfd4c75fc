"""A gateway of a run: its processes, their signals and the faults injected into their system calls."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import shlex
import signal
import socket
import sys
from typing import Any

from tests.fakes import read_message
from tests.fault_injection.injector import FaultInjector
from tests.soak.event_log import EventLog
from tests.soak.plan import HOST, RunSize

ROOT = pathlib.Path(__file__).parent.parent.parent
GATEWAY_COMMAND = os.environ.get("GATEWAY_RUN") or f"exec {shlex.quote(sys.executable)} -m quota_gateway"
READY_TIMEOUT = 10.0  # seconds after its start within which a gateway must be ready
SIGNAL_INTERVAL = 0.1  # seconds between signals in a series
SERIES = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)  # the signals that follow SIGTERM in a series
POLL_INTERVAL = 0.02  # seconds between two readiness checks


class GatewayChild:
    """One process of a gateway."""

    def __init__(
        self, name: str, os_process: asyncio.subprocess.Process, admin_port: int, log: EventLog
    ) -> None:
        self.name = name
        self.os_process = os_process
        self.admin_port = admin_port
        self.log = log

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.os_process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal and log it, if the process is running."""
        if self.is_running:
            self.log.write("signal_sent", process=self.name, signal_name=number.name)
            self.os_process.send_signal(number)

    async def terminate(self, kill_delay: float, repeats_signals: bool) -> None:
        """Send SIGTERM, and kill the process if it has not exited after `kill_delay` seconds."""
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(kill_delay):
                for number in SERIES if repeats_signals else ():
                    await asyncio.sleep(SIGNAL_INTERVAL)
                    self.signal(number)
                code = await self.os_process.wait()
        except TimeoutError:
            self.log.write("shutdown_timeout", process=self.name)
            await self.kill()
            return
        self.log.write("ended", process=self.name, code=code)

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process has exited."""
        self.signal(signal.SIGKILL)
        await self.os_process.wait()

    async def call_admin_api(self, method: str, path: str) -> int:
        """Call the admin API and return the HTTP status, or 0 if it does not answer within a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.admin_port)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        return int(message.start_line.split()[1])


class Gateway:
    """A gateway with its current and past processes, in the order of their starts.

    Gateways with an even index inherit a listening socket and support hot restart; the others bind their own.
    """

    def __init__(
        self, index: int, folder: pathlib.Path, document: dict[str, Any], log: EventLog, size: RunSize
    ) -> None:
        self.size = size
        self.index = index
        self.folder = folder
        self.document = document
        self.log = log
        self.shared_folder = folder / f"shared-{index}"
        self.shared_folder.mkdir()
        self.config_path = folder / f"config-{index}.json"
        self.fault_injector = FaultInjector(folder / f"faults-{index}", seed=index)
        self.inherits_socket = index % 2 == 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, 0))
        self.port: int = self.listener.getsockname()[1]
        if self.inherits_socket:
            self.listener.listen(256)  # otherwise the socket only keeps the port from other processes
        self.children: list[GatewayChild] = []
        self.start_count = 0
        self.lifecycle_lock = asyncio.Lock()
        self.backends_in_maintenance: set[str] = set()
        self.write_config()

    def write_config(self) -> None:
        """Replace the configuration file atomically."""
        text = json.dumps({**self.document, "listen": f"{HOST}:{self.port}"})
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(self.config_path)

    @property
    def running(self) -> list[GatewayChild]:
        """The processes that have not exited."""
        return [child for child in self.children if child.is_running]

    @property
    def newest(self) -> GatewayChild | None:
        """The running process that was started last, or None."""
        return self.running[-1] if self.running else None

    async def start(self) -> GatewayChild:
        """Start a process and wait until it is ready."""
        self.start_count += 1
        name = f"gateway-{self.index}-{self.start_count}"
        with socket.socket() as port_probe:
            port_probe.bind((HOST, 0))
            admin_port = port_probe.getsockname()[1]
        variables = {
            **os.environ,
            **self.fault_injector.environment,
            "RELAY_CONFIG": str(self.config_path),
            "RELAY_CONSOLE": f"{HOST}:{admin_port}",
            "RELAY_LOG_LEVEL": "debug",
            "TMPDIR": str(self.shared_folder),
        }
        descriptors: tuple[int, ...] = ()
        if self.inherits_socket:
            descriptors = (self.listener.fileno(),)
            variables["RELAY_SOCKET_FD"] = str(descriptors[0])
        with (self.folder / f"{name}.err").open("wb") as errors:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", GATEWAY_COMMAND, cwd=ROOT, env=variables, pass_fds=descriptors, stderr=errors
            )
        child = GatewayChild(name, process, admin_port, self.log)
        self.children.append(child)
        self.log.write("started", process=name, gateway=self.index)
        await self.wait_until_ready(child)
        return child

    async def wait_until_ready(self, child: GatewayChild) -> None:
        """Wait until a process is ready; log an event if it exits first or takes too long."""
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                while await child.call_admin_api("GET", "/healthcheck") != 200:
                    if not child.is_running:
                        self.log.write("start_failed", process=child.name, code=child.os_process.returncode)
                        return
                    await asyncio.sleep(POLL_INTERVAL)
        except TimeoutError:
            self.log.write("ready_timeout", process=child.name)

    def clear_maintenance(self) -> None:
        """Log the end of all maintenance, which a cold start does not restore."""
        for backend in self.backends_in_maintenance:
            self.log.write("maintenance_ended", gateway=self.index, backend=backend)
        self.backends_in_maintenance.clear()

    async def kill(self) -> None:
        """Kill all processes and start a new one."""
        for child in self.running:
            await child.kill()
        self.clear_maintenance()
        await self.start()

    async def restart(self) -> None:
        """Terminate all processes and start a new one; with an inherited socket, do a hot restart."""
        if self.inherits_socket and self.running:
            await self.hot_restart()
            return
        await self.terminate(self.running)
        self.clear_maintenance()
        await self.start()

    async def hot_restart(self) -> None:
        """Start a new process and terminate the old ones once it is ready."""
        if not self.inherits_socket or not self.running:
            await self.restart()
            return
        old_processes = self.running
        await self.start()
        await self.terminate(old_processes)

    async def terminate(self, children: list[GatewayChild]) -> None:
        """Terminate processes at the same time, as in a planned restart."""
        size = self.size
        await asyncio.gather(*(child.terminate(size.kill_delay, size.repeats_signals) for child in children))

    async def kill_new_process(self, delay: float) -> None:
        """Start a new process and kill it `delay` seconds after it is ready."""
        if not self.inherits_socket or not self.running:
            return
        new_process = await self.start()
        await asyncio.sleep(delay)
        await new_process.kill()
