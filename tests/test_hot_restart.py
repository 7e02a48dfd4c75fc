"""Hot restarts: two processes share a listening socket, and the newer one restores the older one's state."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import pathlib
import signal
import socket
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import pytest

from quota_gateway.engine.policy_engine import PolicyEngine
from quota_gateway.hot_restart import coordinator
from quota_gateway.hot_restart.process_link import ProcessLink
from quota_gateway.hot_restart.shared_folder import SOCKET_NAME
from quota_gateway.model.actions import StartAttempt
from quota_gateway.model.charges import UnitsCharged
from quota_gateway.model.events import PeerProcessChanged, SetDraining, SetMaintenance, StateSnapshot
from quota_gateway.model.outcomes import Outcome
from tests.fakes import EVENT_TIMEOUT, HOST, http_response, send_success_after
from tests.fault_injection.injector import FaultInjector
from tests.harness import (
    READY_REQUEST,
    Client,
    GatewayHarness,
    high_quota_settings,
    request,
    running_gateway,
)
from tests.policy_harness import make_attempt_ended, make_engine, make_request
from tests.test_gateway_process import ROOT, RUN
from tests.upstream_harness import respond_with


def forward_request(engine: PolicyEngine, number: int, units: float) -> list[StartAttempt | UnitsCharged]:
    """Handle a request at 100 s; return the attempt that it starts and the charge reported to the peer."""
    actions = engine.handle(make_request(number, units=units), 100.0)
    return [action for action in actions if isinstance(action, StartAttempt | UnitsCharged)]


def transferred_state(engine: PolicyEngine, now: float = 100.0) -> StateSnapshot:
    """Return the engine's state at `now` as the other process receives it."""
    return StateSnapshot(json.loads(json.dumps(engine.snapshot(now).state)))


def test_restored_state_includes_charged_units() -> None:
    old, new = make_engine(), make_engine()
    capacity = 4.0  # units; half of the plan's burst, as the fleet has two gateways
    assert len(forward_request(old, 1, capacity)) == 1
    new.handle(transferred_state(old), 100.0)
    assert new.limiter_registry.limiters["c"].balance == 0.0 and not forward_request(new, 2, 1.0)


def test_restored_state_includes_units_of_queued_requests() -> None:
    old, new = make_engine(), make_engine()
    forward_request(old, 1, 4.0)
    assert not forward_request(old, 2, 0.5) and old.limiter_registry.limiters["c"].queued_units == 0.5
    new.handle(transferred_state(old), 100.0)
    assert new.limiter_registry.limiters["c"].balance == 0.0


def test_peer_process_applies_reported_charges() -> None:
    """A charge and its correction to the actual units reach the peer process."""
    old, new = make_engine(charges_billed_units=True), make_engine(charges_billed_units=True)
    new.handle(transferred_state(old), 100.0)
    # Without a peer process, no charge is reported.
    assert not [a for a in forward_request(old, 1, 1.0) if isinstance(a, UnitsCharged)]
    for engine in (old, new):
        engine.handle(PeerProcessChanged(True), 100.0)
    actions = forward_request(old, 2, 2.0)
    charge = next(a for a in actions if isinstance(a, UnitsCharged))
    assert charge == UnitsCharged("c", "small", 2, 2.0)
    new.handle(charge, 100.0)
    assert new.limiter_registry.limiters["c"].balance == 2.0
    endpoint_id = next(a.endpoint_id for a in actions if isinstance(a, StartAttempt))
    settled = old.handle(make_attempt_ended(2, 0, endpoint_id, Outcome.SUCCESS, billed_units=3.0), 100.0)
    new.handle(next(a for a in settled if isinstance(a, UnitsCharged)), 100.0)
    assert new.limiter_registry.limiters["c"].balance == 1.0


def test_restored_state_includes_maintenance_and_draining() -> None:
    """An endpoint whose maintenance has ended still warms up in the newer process."""
    old, new = make_engine(), make_engine(now=101.0)
    old.handle(SetMaintenance("a", True), 100.0)
    old.handle(SetMaintenance("b", True), 100.0)
    old.handle(SetMaintenance("b", False), 100.5)
    old.handle(SetDraining(True), 100.0)
    new.handle(transferred_state(old, 101.0), 101.0)
    assert (
        new.endpoint_registry.under_maintenance == {"a"}
        and [s.endpoint.endpoint_id for s in new.endpoint_registry.serving_endpoints] == ["b"]
        and new.draining
    )
    assert new.slow_start.capacity_fraction(new.endpoints["b"]) < 0.5


def test_restore_keeps_later_return_from_maintenance() -> None:
    old, new = make_engine(), make_engine()
    for engine, returned_at in ((old, 100.0), (new, 104.0)):
        engine.handle(SetMaintenance("b", True), 100.0)
        engine.handle(SetMaintenance("b", False), returned_at)
    new.handle(transferred_state(old, 105.0), 105.0)
    assert new.endpoints["b"].started_at == 104.0


class ProcessGroup:
    """Processes of one gateway that share a listening socket, as the platform starts them."""

    def __init__(self, harness: GatewayHarness, listener: socket.socket, folder: pathlib.Path) -> None:
        self.harness, self.listener, self.folder = harness, listener, folder
        self.children: list[asyncio.subprocess.Process] = []
        harness.port = listener.getsockname()[1]

    async def start(
        self, variables: Mapping[str, str] | None = None
    ) -> tuple[asyncio.subprocess.Process, int]:
        """Start a process, wait until it is healthy, and return it with its admin port.

        `variables` are added to its environment.
        """
        with socket.socket() as unused:
            unused.bind((HOST, 0))
            admin_port = unused.getsockname()[1]
        path = self.folder / "config.json"
        env = high_quota_settings()
        env["services"][0]["aim"] = env["services"][0]["deadline"] = 1e6  # no timeout ends a request
        path.write_text(json.dumps(self.harness.configuration(env, 1024)))
        descriptor = self.listener.fileno()
        child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            RUN,
            cwd=ROOT,
            pass_fds=(descriptor,),
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "RELAY_CONFIG": str(path),
                "RELAY_CONSOLE": f"{HOST}:{admin_port}",
                "RELAY_SOCKET_FD": str(descriptor),
                "TMPDIR": str(self.folder),
                **(variables or {}),
            },
        )
        self.children.append(child)
        async with asyncio.timeout(EVENT_TIMEOUT):
            # No event of this loop announces that a child process is healthy.
            while (await self.admin_status(admin_port, "GET", "/healthcheck")) != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        return child, admin_port

    async def admin_status(self, admin_port: int, method: str, path: str) -> int:
        """Send an admin request and return the status; 0 without a response."""
        self.harness.admin_port = admin_port
        try:
            return (await self.harness.call_admin(method, path))[0]
        except (OSError, asyncio.IncompleteReadError):
            return 0  # not listening yet

    async def metrics(self, admin_port: int) -> dict[str, int]:
        """Return the metrics of the process with this admin port."""
        self.harness.admin_port = admin_port
        return await self.harness.metrics()

    async def request_status(self, number: int) -> int:
        """Send a request on a new connection and return the status of the response."""
        client = await self.harness.connect_client()
        status, _, _ = await client.exchange(request(number, customer=f"{number:016x}"))
        client.writer.close()
        return status


@asynccontextmanager
async def process_group(folder: pathlib.Path) -> AsyncIterator[ProcessGroup]:
    """Start the peers of a gateway, and yield a group without processes; stop all of them at the end."""
    harness = GatewayHarness(2)
    for peer in (*harness.backends, harness.discovery, harness.counter):
        await peer.start()
    entries = [harness.discovery.entry(f"b{n}", b.address) for n, b in enumerate(harness.backends)]
    harness.discovery.entries = {e["instanceId"]: e for e in entries}
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen(128)
        processes = ProcessGroup(harness, listener, folder)
        try:
            yield processes
        finally:
            for child in processes.children:
                if child.returncode is None:
                    child.kill()
                await child.communicate()
            for peer in (*harness.backends, harness.discovery, harness.counter):
                await peer.stop()


async def test_hot_restart_keeps_requests_and_maintenance(tmp_path: pathlib.Path) -> None:
    """The older process completes its requests while the newer one serves new connections."""
    async with process_group(tmp_path) as processes:
        harness = processes.harness
        old, old_admin_port = await processes.start()
        idle, waiting = await harness.connect_client(), await harness.connect_client()
        assert (await idle.exchange(READY_REQUEST))[0] == 200
        assert await processes.admin_status(old_admin_port, "POST", "/backends/b0/maint") == 200
        released = asyncio.Event()
        harness.backends[1].script = [send_success_after(released)]
        waiting.send(request(1, budget=900.0))
        await harness.backends[1].wait_until(lambda: len(harness.backends[1].requests) == 1)
        _, new_admin_port = await processes.start()
        async with asyncio.timeout(EVENT_TIMEOUT):  # until the older process stops accepting connections
            number = 10
            while (await processes.metrics(new_admin_port))["success.lookup"] == 0:
                number += 1
                assert await processes.request_status(number) == 200
        metrics_before = await processes.metrics(old_admin_port)
        assert [await processes.request_status(n) for n in range(50, 60)] == [200] * 10
        assert (await processes.metrics(old_admin_port))["success.lookup"] == metrics_before["success.lookup"]
        status, headers, _ = await idle.exchange(READY_REQUEST)
        assert status == 200 and headers["connection"] == "close" and await idle.wait_closed()
        old.send_signal(signal.SIGTERM)
        released.set()
        assert (await waiting.read_response())[0] == 200 and await waiting.wait_closed()
        async with asyncio.timeout(EVENT_TIMEOUT):
            assert await old.wait() == 0
        assert [await processes.request_status(n) for n in range(60, 70)] == [200] * 10
        metrics = await processes.metrics(new_admin_port)
        assert not harness.backends[0].requests and metrics["targets_disabled"] == 1


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
async def test_hot_restart_keeps_quota_despite_clock_step(step: float, tmp_path: pathlib.Path) -> None:
    """Units spent in the older process stay spent in the newer one, whatever its wall clock says."""
    faults = FaultInjector(tmp_path / "faults")
    folder = tmp_path / "shared"
    folder.mkdir()
    async with process_group(folder) as processes:

        async def status(number: int, units: str) -> int:
            client = await processes.harness.connect_client()
            text = request(number, plan="pro", units=units, budget=900.0, Connection="close")
            return (await client.exchange(text))[0]

        for backend in processes.harness.backends:
            backend.script = [respond_with(http_response(200))] * 20  # without Billed-Units
        older, _ = await processes.start()
        spent_at = asyncio.get_running_loop().time()
        assert await status(1, "8") == await status(2, "4") == 200  # the entire burst of 12 units
        faults.step_wall_clock(step)
        await processes.start(faults.environment)
        older.send_signal(signal.SIGTERM)
        await older.wait()
        assert await status(3, "8") == await status(4, "8") == 200
        elapsed = asyncio.get_running_loop().time() - spent_at
        # The refill rate is between this gateway's part of the quota, 4 units a second, and all of it, 8.
        assert 16.0 / 8.0 <= elapsed <= 16.0 / 4.0 + 1.0


async def test_maintenance_command_applies_to_both_processes(tmp_path: pathlib.Path) -> None:
    async with process_group(tmp_path) as processes:
        _, old = await processes.start()
        _, new = await processes.start()
        for target, other in ((old, new), (new, old)):
            for command, disabled in (("maint", 1), ("ready", 0)):
                assert await processes.admin_status(target, "POST", f"/backends/b0/{command}") == 200
                async with asyncio.timeout(EVENT_TIMEOUT):
                    while (await processes.metrics(other))["targets_disabled"] != disabled:
                        pass


async def test_older_process_serves_after_newer_one_dies(tmp_path: pathlib.Path) -> None:
    async with process_group(tmp_path) as processes:
        _, old = await processes.start()
        child, _ = await processes.start()
        child.kill()
        await child.wait()
        # The connection waits in the backlog of the shared socket until some process accepts it.
        waiting = await processes.harness.connect_client()
        assert (await waiting.exchange(request(1)))[0] == 200
        assert (await waiting.exchange(request(2)))[0] == 200  # the connection is kept alive
        assert (await processes.metrics(old))["success.lookup"] >= 2
        _, new = await processes.start()
        assert await processes.admin_status(new, "GET", "/healthcheck") == 200


async def test_startup_survives_failed_link(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A process that cannot connect to the older one (ENOMEM) starts without its state."""
    with socket.socket(socket.AF_UNIX) as older:
        older.bind(str(tmp_path / SOCKET_NAME))
        older.listen()
        async with running_gateway() as harness:
            process = harness.process
            hot_restart = coordinator.HotRestartCoordinator(
                str(tmp_path),
                process.dispatcher,
                process.discovery.first_response_received,
                lambda superseded: None,
            )

            class LoopWithoutMemory:
                create_task = hot_restart.loop.create_task
                sock_connect = hot_restart.loop.sock_connect

                async def create_unix_connection(self, *arguments: object, **options: object) -> None:
                    raise OSError(errno.ENOMEM, "no memory")

            monkeypatch.setattr(hot_restart, "loop", LoopWithoutMemory())
            await hot_restart.restore_from_older_process()
            assert not hot_restart.links
            hot_restart.close()


async def test_peer_maintenance_command_applies_to_later_endpoint(tmp_path: pathlib.Path) -> None:
    """Maintenance that a peer sets for an unknown endpoint applies once the endpoint is listed."""
    async with running_gateway(2) as harness:
        process = harness.process
        listed = harness.discovery.entry("new", harness.backends[1].address)
        hot_restart = coordinator.HotRestartCoordinator(
            str(tmp_path),
            process.dispatcher,
            process.discovery.first_response_received,
            lambda superseded: None,
        )
        hot_restart.handle_message(ProcessLink(hot_restart), SetMaintenance("new", True))
        await harness.discovery.publish(listed)
        async with asyncio.timeout(EVENT_TIMEOUT):
            # No event announces a change of the engine's endpoints.
            while "new" not in process.dispatcher.engine.endpoints:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        assert "new" not in [
            endpoint.id for endpoint in process.dispatcher.engine.endpoint_registry.serving_endpoints
        ]
        hot_restart.close()


@pytest.mark.parametrize("stale", ["file", "socket", "folder"])
async def test_stale_socket_path_does_not_prevent_startup(stale: str, tmp_path: pathlib.Path) -> None:
    """A file, socket or folder at the path of the shared socket does not prevent the start."""
    path = tmp_path / SOCKET_NAME
    if stale == "file":
        path.write_text("left")
    elif stale == "folder":
        path.mkdir()
    else:
        with socket.socket(socket.AF_UNIX) as stale_socket:
            stale_socket.bind(str(path))
    async with process_group(tmp_path) as processes:
        await processes.start()
        assert await processes.request_status(1) == 200


async def test_hanging_older_process_does_not_delay_startup(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The state is still restored if it arrives after the timeout."""
    monkeypatch.setattr(coordinator, "STATE_TRANSFER_TIMEOUT", 0.01)
    with socket.socket(socket.AF_UNIX) as hanging:
        hanging.bind(str(tmp_path / SOCKET_NAME))
        hanging.listen()
        async with running_gateway() as harness:
            process = harness.process
            superseded: list[bool] = []
            hot_restart = coordinator.HotRestartCoordinator(
                str(tmp_path),
                process.dispatcher,
                process.discovery.first_response_received,
                superseded.append,
            )
            await hot_restart.restore_from_older_process()
            assert len(hot_restart.links) == 1
            process.dispatcher.set_maintenance("b0", True)
            hot_restart.notify_peer(SetMaintenance("b0", True))
            older, _ = hanging.accept()
            state = {**process.dispatcher.state_snapshot().state, "banned": []}
            link = next(iter(hot_restart.links))
            link.data_received(json.dumps({"estate": state, "list": []}).encode() + b"\n")
            # A maintenance command that preceded the state still applies after the restore.
            assert process.dispatcher.engine.endpoint_registry.under_maintenance == {"b0"}
            link.data_received(b"[nonsense\n")
            hot_restart.close()
            older.close()
            client: Client = await harness.connect_client()
            assert (await client.exchange(READY_REQUEST))[0] == 503  # its only backend is under maintenance
