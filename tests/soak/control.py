"""The controller of a run: starts all processes and injects the planned faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

from tests.fakes import example_settings
from tests.process_memory import private_bytes
from tests.soak.backends import BackendMode
from tests.soak.event_log import EventLog
from tests.soak.fault_proxy import ProxyMode
from tests.soak.gateways import ROOT, Gateway, GatewayChild
from tests.soak.plan import (
    CLOCK_STEPS,
    CONNECT_ERRORS,
    CROWD_MEMORY,
    CROWD_SOCKETS,
    FOLDER_ERRORS,
    HOST,
    RESOURCE_ERRORS,
    Fault,
    PlannedFault,
    RunSize,
    plan_faults,
)
from tests.soak.services import Agent, EndpointList, ServiceMode, SoakCounter

PAUSE_TIMES = (0.05, 0.15, 0.15, 0.3)  # seconds for which a gateway process is stopped
MAX_FAILURE_RATE = 0.12  # the largest fraction of system calls that fail
PARTIAL_FILE_TIME = 0.3  # seconds for which a configuration file is incomplete or unreadable
MEGABYTE = 1_000_000  # bytes
MEMORY_SAMPLE_INTERVAL = 0.25  # seconds
SETTLE_TIME = 4.0  # seconds after the clients' last requests until all responses have arrived
BACKEND_MODES = {
    Fault.BACKEND_HANGS: BackendMode.HANGS,
    Fault.BACKEND_FAILS: BackendMode.FAILS,
    Fault.BACKEND_REJECTS: BackendMode.REJECTS,
    Fault.BACKEND_RESETS: BackendMode.RESETS,
}
PROXY_MODES = {
    Fault.PROXY_DELAYS: ProxyMode.DELAYS,
    Fault.PROXY_RESETS: ProxyMode.RESETS,
    Fault.PROXY_STALLS: ProxyMode.STALLS,
    Fault.PROXY_FRAGMENTS: ProxyMode.FRAGMENTS,
}
AGENT_MODES = {
    Fault.DISCOVERY_UNRESPONSIVE: ServiceMode.UNRESPONSIVE,
    Fault.DISCOVERY_DOWN: ServiceMode.DOWN,
    Fault.DISCOVERY_OVERLOADED: ServiceMode.OVERLOADED,
}
COUNTER_MODES = {
    Fault.COUNTER_UNRESPONSIVE: ServiceMode.UNRESPONSIVE,
    Fault.COUNTER_BUSY: ServiceMode.OVERLOADED,
}


def gateway_settings(size: RunSize, index: int) -> dict[str, Any]:
    """Return the settings of one gateway: those of the example, with short deadlines and more quota."""
    settings = example_settings()
    settings.update(balancers=size.gateways, me=index)
    for service in settings["services"]:
        service.update(aim=min(800.0, 500.0 * size.longest_deadline), deadline=1000.0 * size.longest_deadline)
    settings["packages"][0].update(peak_units=40.0, units_per_s=20.0)
    return settings


class Worker:
    """A worker process with one role, which takes commands on its standard input."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    async def read_addresses(self) -> list[str]:
        """Read and return the addresses on which the process listens."""
        assert self.process.stdout is not None
        addresses: list[str] = json.loads(await self.process.stdout.readline())
        return addresses

    def command(self, **fields: Any) -> None:
        """Send a command to the process as a JSON line."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(fields).encode() + b"\n")

    async def stop(self) -> None:
        """Kill the process, even if it is stopped, and wait for it."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()


class RunController:
    """Controls one run: its processes, its fake services and its faults."""

    def __init__(self, seed: int, size: RunSize, folder: pathlib.Path) -> None:
        self.seed = seed
        self.size = size
        self.folder = folder
        self.log = EventLog(folder / "control.jsonl")
        self.endpoints = EndpointList()
        self.counter = SoakCounter()
        self.agents: list[list[Agent]] = []  # two per gateway, between which reloads switch
        self.gateways: list[Gateway] = []
        self.workers: list[Worker] = []
        self.backend_workers: list[Worker] = []
        self.proxy: Worker
        self.addresses: list[str] = []  # of the proxy, one for each backend
        self.draining: set[int] = set()
        self.memory_limit = CROWD_MEMORY if size.crowd_each else 192  # megabytes
        self.socket_limit = CROWD_SOCKETS if size.crowd_each else 512

    async def start_worker(self, role: str, name: str, arguments: dict[str, Any]) -> Worker:
        """Start a worker process with a role."""
        path = self.folder / f"{name}.arguments"
        path.write_text(json.dumps({**arguments, "seed": self.seed}))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.soak.worker",
            role,
            str(path),
            str(self.folder / f"{name}.jsonl"),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        worker = Worker(process)
        self.workers.append(worker)
        return worker

    async def run(self) -> None:
        """Perform the run and stop all processes, also after an error."""
        try:
            await self.start_backends()
            await self.start_gateways()
            await self.run_workload()
        finally:
            await self.stop()

    async def start_backends(self) -> None:
        """Start the backends and the proxy in front of them, and add them to discovery."""
        targets: list[str] = []
        for number in range(self.size.backend_processes):
            first = number * self.size.backends_each
            names = [f"b{first + offset}" for offset in range(self.size.backends_each)]
            worker = await self.start_worker("backends", f"backends-{number}", {"names": names})
            self.backend_workers.append(worker)
            targets += await worker.read_addresses()
        self.proxy = await self.start_worker("proxy", "proxy", {"targets": targets})
        self.addresses = await self.proxy.read_addresses()
        for number in range(len(targets)):
            entry = self.endpoint_entry(number, "SERVING")
            self.endpoints.entries[entry["instanceId"]] = entry
            self.endpoints.generations[entry["instanceId"]] = 1

    def endpoint_entry(self, number: int, lifecycle: str, started_at: float = 0.0) -> dict[str, Any]:
        """Return the discovery entry of a backend; `started_at` is in seconds of the wall clock."""
        return {
            "instanceId": f"b{number}",
            "hostPort": self.addresses[number],
            "zone": "hall-a",
            "machineType": "kaksi-ydin",
            "cell": number % 2,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 1000.0 * started_at,
        }

    async def start_gateways(self) -> None:
        """Start the counter, the agents and the gateways."""
        await self.counter.start()
        for index in range(self.size.gateways):
            agents = [Agent(index, self.endpoints, self.log) for _ in range(2)]
            for agent in agents:
                await agent.start()
            self.agents.append(agents)
            document = {
                "name": f"n{index}",
                "discovery": agents[0].address,
                "counter": self.counter.address,
                "seed": f"{self.seed * 1000 + index:x}",
                "limits": {"cores": 1.0, "memory_mb": self.memory_limit, "sockets": self.socket_limit},
                "known": {"generation": 1, "reset": True, "instances": list(self.endpoints.entries.values())},
                "settings": gateway_settings(self.size, index),
            }
            self.gateways.append(Gateway(index, self.folder, document, self.log, self.size))
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))

    async def run_workload(self) -> None:
        """Start the clients, and inject the faults at their times until the run is over."""
        gateways = [[HOST, gateway.port] for gateway in self.gateways]
        for number in range(self.size.client_processes):
            first = number * self.size.clients_each
            names = [str(first + offset + 1) for offset in range(self.size.clients_each)]
            arguments = {
                "names": names,
                "gateways": gateways,
                "seconds": self.size.seconds,
                "longest_deadline": self.size.longest_deadline,
                "never_rests": self.size.never_rests,
            }
            await self.start_worker("clients", f"clients-{number}", arguments)
        if self.size.crowd_each:
            crowd = {"clients": self.size.crowd_each * self.size.gateways, "gateways": gateways}
            await self.start_worker("crowd", "crowd", {**crowd, "seconds": self.size.seconds})
        started_at = time.monotonic()
        self.log.write("run_started")
        tasks = [asyncio.ensure_future(self.watch_memory(started_at + self.size.seconds))]
        for fault in plan_faults(self.seed, self.size.seconds):
            await asyncio.sleep(max(started_at + fault.starts_at - time.monotonic(), 0.0))
            tasks.append(asyncio.ensure_future(self.inject(fault)))
        await asyncio.sleep(max(started_at + self.size.seconds - time.monotonic(), 0.0))
        await asyncio.gather(*tasks)
        await asyncio.sleep(SETTLE_TIME)

    async def watch_memory(self, end: float) -> None:
        """Log each sample of a gateway process's own memory that is over its limit."""
        while time.monotonic() < end:
            for child in [child for gateway in self.gateways for child in gateway.running]:
                size = 0
                with contextlib.suppress(OSError):  # the process has ended
                    size = private_bytes(child.os_process.pid)
                if size > self.memory_limit * MEGABYTE:
                    self.log.write("memory_exceeded", process=child.name, size=size)
            await asyncio.sleep(MEMORY_SAMPLE_INTERVAL)

    async def stop(self) -> None:
        """Terminate all gateways as in a planned restart, then stop the workers and the fake services."""
        for gateway in self.gateways:
            await gateway.terminate(gateway.running)
        self.log.write("run_ended")
        for worker in self.workers:
            await worker.stop()
        for server in [self.counter, *(agent for agents in self.agents for agent in agents)]:
            await server.stop()

    async def inject(self, fault: PlannedFault) -> None:
        """Inject a fault, and end it after its duration."""
        self.log.write("fault_started", kind=fault.kind, duration=fault.duration, target=fault.target)
        kind = fault.kind
        if kind in BACKEND_MODES:
            await self.change_backend_mode(fault, BACKEND_MODES[kind])
        elif kind in PROXY_MODES:
            await self.change_proxy_mode(fault, PROXY_MODES[kind])
        elif kind in AGENT_MODES:
            await self.change_agent_mode(fault, AGENT_MODES[kind])
        elif kind in COUNTER_MODES:
            self.counter.mode = COUNTER_MODES[kind]
            await asyncio.sleep(fault.duration)
            self.counter.mode = ServiceMode.SERVES
        else:
            await self.fault_handlers()[kind](fault, self.gateways[fault.target % len(self.gateways)])

    def fault_handlers(self) -> dict[Fault, Callable[[PlannedFault, Gateway], Awaitable[None]]]:
        """Return the handlers of the faults that are no mode of a backend, the proxy or a service."""
        return {
            Fault.PAUSE: self.pause_process,
            Fault.KILL: lambda fault, gateway: self.restart_gateway(gateway, gateway.kill),
            Fault.RESTART: lambda fault, gateway: self.restart_gateway(gateway, gateway.restart),
            Fault.HOT_RESTART: lambda fault, gateway: self.restart_gateway(gateway, gateway.hot_restart),
            Fault.NEW_PROCESS_KILLED: lambda fault, gateway: self.restart_gateway(
                gateway, lambda: gateway.kill_new_process(fault.random_value)
            ),
            Fault.RELOAD: self.reload,
            Fault.FAILED_RELOAD: self.fail_reload,
            Fault.MAINTENANCE: self.run_maintenance,
            Fault.BACKENDS_PAUSE: self.pause_backends,
            Fault.BACKEND_DRAINS: self.drain_backend,
            Fault.BACKEND_RESTARTS: self.restart_backend,
            Fault.SYSTEM_CALLS_FAIL: self.fail_system_calls,
            Fault.SHORT_IO: self.shorten_io,
            Fault.CLOCK_STEP: self.step_clock,
            Fault.SHARED_FOLDER_FAILS: self.fail_shared_folder,
        }

    async def restart_gateway(self, gateway: Gateway, action: Callable[[], Awaitable[None]]) -> None:
        """Run a restart action of a gateway while no other action changes its processes."""
        async with gateway.lifecycle_lock:
            await action()

    async def pause_process(self, fault: PlannedFault, gateway: Gateway) -> None:
        """Stop the newest process of a gateway for a short time."""
        child = gateway.newest
        if child is None:
            return
        seconds = PAUSE_TIMES[int(fault.random_value * len(PAUSE_TIMES))]
        child.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        child.signal(signal.SIGCONT)

    async def reload(self, fault: PlannedFault, gateway: Gateway) -> None:
        """Reload a gateway with the address of its other discovery agent."""
        self.switch_agent(gateway)
        gateway.write_config()
        self.signal_reload(gateway)

    def switch_agent(self, gateway: Gateway) -> None:
        """Replace the discovery address in the gateway's configuration by that of its other agent."""
        addresses = [agent.address for agent in self.agents[gateway.index]]
        gateway.document["discovery"] = addresses[gateway.document["discovery"] == addresses[0]]

    def signal_reload(self, gateway: Gateway) -> None:
        """Send SIGHUP to all processes of a gateway, unless one of them is starting or ending."""
        for child in gateway.running:
            if child in gateway.children and not gateway.lifecycle_lock.locked():
                child.signal(signal.SIGHUP)

    async def fail_reload(self, fault: PlannedFault, gateway: Gateway) -> None:
        """Reload a gateway with a file that is at first incomplete or cannot be opened."""
        async with gateway.lifecycle_lock:
            self.switch_agent(gateway)
            if fault.random_value < 0.5:
                gateway.config_path.write_text('{"name":')
            else:
                gateway.fault_injector.fail_configuration_file(FOLDER_ERRORS[0])
            for child in gateway.running:
                child.signal(signal.SIGHUP)
            await asyncio.sleep(PARTIAL_FILE_TIME)
            gateway.fault_injector.fail_configuration_file(0)
            gateway.write_config()

    async def run_maintenance(self, fault: PlannedFault, gateway: Gateway) -> None:
        """Take a backend out of service at one gateway for twice the duration of the fault."""
        backend = f"b{fault.target % self.size.backends}"
        async with gateway.lifecycle_lock:
            child = gateway.newest
            if child is None or await child.call_admin_api("POST", f"/backends/{backend}/maint") != 200:
                return
            gateway.backends_in_maintenance.add(backend)
            self.log.write("maintenance_started", gateway=gateway.index, backend=backend)
        await asyncio.sleep(2 * fault.duration)
        async with gateway.lifecycle_lock:
            if backend not in gateway.backends_in_maintenance:
                return
            gateway.backends_in_maintenance.discard(backend)
            self.log.write("maintenance_ended", gateway=gateway.index, backend=backend)
            await self.end_maintenance(gateway.newest, backend)

    async def end_maintenance(self, child: GatewayChild | None, backend: str) -> None:
        """Put a backend back into service through the admin API, if a process is running."""
        if child is not None:
            await child.call_admin_api("POST", f"/backends/{backend}/ready")

    async def change_backend_mode(self, fault: PlannedFault, mode: BackendMode) -> None:
        """Change the mode of a backend for the duration of the fault."""
        number = fault.target % self.size.backends
        worker = self.backend_workers[number // self.size.backends_each]
        index = number % self.size.backends_each
        worker.command(backend=index, mode=mode)
        await asyncio.sleep(fault.duration)
        worker.command(backend=index, mode=BackendMode.SERVES)

    async def change_proxy_mode(self, fault: PlannedFault, mode: ProxyMode) -> None:
        """Change how the proxy treats the connections to a backend for the duration of the fault."""
        number = fault.target % self.size.backends
        self.proxy.command(route=number, mode=mode)
        await asyncio.sleep(fault.duration)
        self.proxy.command(route=number, mode=ProxyMode.FORWARDS)

    async def change_agent_mode(self, fault: PlannedFault, mode: ServiceMode) -> None:
        """Change the mode of both agents of a gateway for the duration of the fault."""
        agents = self.agents[fault.target % self.size.gateways]
        for agent in agents:
            agent.set_mode(mode)
        await asyncio.sleep(fault.duration)
        for agent in agents:
            agent.set_mode(ServiceMode.SERVES)

    async def pause_backends(self, fault: PlannedFault, gateway: Gateway) -> None:
        """Stop a process that runs several backends for up to one second."""
        process = self.backend_workers[fault.target % len(self.backend_workers)].process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(min(fault.duration, 1.0))
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def drain_backend(self, fault: PlannedFault, gateway: Gateway) -> None:
        """Drain a backend and bring it back as restarted; at most a third of the backends drain at once."""
        number = fault.target % self.size.backends
        if number in self.draining or len(self.draining) >= self.size.backends // 3:
            return
        self.draining.add(number)
        self.log.write("drain_started", backend=f"b{number}")
        await self.endpoints.publish(self.endpoint_entry(number, "DRAINING"))
        await asyncio.sleep(3.0 + fault.duration)
        self.log.write("drain_ended", backend=f"b{number}")
        await self.endpoints.publish(self.endpoint_entry(number, "SERVING", time.time()))
        self.draining.discard(number)

    async def restart_backend(self, fault: PlannedFault, gateway: Gateway) -> None:
        """Reset all connections of a backend and list it as just started."""
        number = fault.target % self.size.backends
        if number in self.draining:
            return
        worker = self.backend_workers[number // self.size.backends_each]
        worker.command(backend=number % self.size.backends_each, restart=True)
        await self.endpoints.publish(self.endpoint_entry(number, "SERVING", time.time()))

    async def fail_system_calls(self, fault: PlannedFault, gateway: Gateway) -> None:
        """Make a fraction of the accept, socket and connect calls of a gateway fail."""
        error = RESOURCE_ERRORS[int(fault.random_value * len(RESOURCE_ERRORS))]
        rate = MAX_FAILURE_RATE * fault.random_value
        gateway.fault_injector.fail_accepts(rate, error)
        gateway.fault_injector.fail_sockets(rate, RESOURCE_ERRORS[0])
        gateway.fault_injector.fail_connects(rate, CONNECT_ERRORS[fault.target % len(CONNECT_ERRORS)])
        await asyncio.sleep(fault.duration)
        gateway.fault_injector.fail_accepts(0.0, 0)
        gateway.fault_injector.fail_sockets(0.0, 0)
        gateway.fault_injector.fail_connects(0.0, 0)

    async def shorten_io(self, fault: PlannedFault, gateway: Gateway) -> None:
        """Make reads and writes of a gateway short, and interrupt its epoll waits."""
        gateway.fault_injector.page.short_io_rate = 0.2
        gateway.fault_injector.page.interrupt_rate = 0.05
        await asyncio.sleep(fault.duration)
        gateway.fault_injector.page.short_io_rate = 0.0
        gateway.fault_injector.page.interrupt_rate = 0.0

    async def step_clock(self, fault: PlannedFault, gateway: Gateway) -> None:
        """Step the wall clock of a gateway, and step it back after twice the duration of the fault."""
        gateway.fault_injector.step_wall_clock(CLOCK_STEPS[int(fault.random_value * len(CLOCK_STEPS))])
        await asyncio.sleep(2 * fault.duration)
        gateway.fault_injector.step_wall_clock(0.0)

    async def fail_shared_folder(self, fault: PlannedFault, gateway: Gateway) -> None:
        """Make every use of a gateway's shared folder fail for the duration of the fault."""
        gateway.fault_injector.fail_folder(FOLDER_ERRORS[fault.target % len(FOLDER_ERRORS)])
        await asyncio.sleep(fault.duration)
        gateway.fault_injector.fail_folder(0)
