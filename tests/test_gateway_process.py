"""The gateway as a process: invalid configurations, SIGTERM, SIGHUP, few file descriptors, and the build."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any

import pytest

from tests.fakes import EVENT_TIMEOUT, HOST, FakeCounter, FakeDiscovery, send_success_after
from tests.harness import READY_REQUEST, Client, GatewayHarness, high_quota_settings, request

ROOT = pathlib.Path(__file__).parent.parent
# .ci/run sets GATEWAY_RUN to the run command of the deploy file, so that the tests run what is deployed.
RUN = os.environ.get("GATEWAY_RUN") or f"exec {shlex.quote(sys.executable)} -m quota_gateway"


def run_gateway(path: str | None) -> subprocess.CompletedProcess[str]:
    """Run the gateway until it exits; without a path, RELAY_CONFIG is not set."""
    environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    if path is not None:
        environment["RELAY_CONFIG"] = path
    return subprocess.run(
        ["/bin/sh", "-c", RUN],
        cwd=ROOT,
        env=environment,
        text=True,
        capture_output=True,
        timeout=60,
        check=False,
    )


def valid_configuration() -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": f"{HOST}:1",
        "discovery": f"{HOST}:2",
        "counter": f"{HOST}:3",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": []},
        "settings": high_quota_settings(),
    }


@pytest.mark.parametrize(
    ("key", "invalid"),
    [
        ("listen", None),
        ("listen", "nowhere"),
        ("discovery", f"{HOST}:x"),
        ("counter", None),
        ("seed", "xyz"),
        ("known", {}),
        ("settings", {}),
        ("limits", {}),
        ("limits", {"sockets": 3}),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(
    key: str, invalid: Any, tmp_path: pathlib.Path
) -> None:
    content = valid_configuration()
    if invalid is None:
        del content[key]
    else:
        content[key] = invalid
    path = tmp_path / "config.json"
    path.write_text(json.dumps(content))
    completed = run_gateway(str(path))
    assert completed.returncode == 2
    assert len(completed.stderr.splitlines()) == 1
    assert not completed.stdout


def test_unreadable_configuration_is_reported_in_one_line(tmp_path: pathlib.Path) -> None:
    """The variable is unset or empty, or the path is a missing file, malformed JSON or a folder."""
    broken = tmp_path / "broken.json"
    broken.write_text("{")
    for path in (None, "", str(tmp_path / "none.json"), str(broken), str(tmp_path)):
        completed = run_gateway(path)
        assert completed.returncode == 2
        assert len(completed.stderr.splitlines()) == 1


@asynccontextmanager
async def process(
    tmp_path: pathlib.Path,
    descriptors: int = 0,
    override_discovery: bool = False,
    console: bool = False,
    variables: Mapping[str, str] | None = None,
    memory_megabytes: int = 192,
) -> AsyncIterator[tuple[GatewayHarness, Any]]:
    """Run the gateway as a child process, with one backend, discovery and the counter in this process.

    `descriptors` limits its file descriptors (0: no limit), `override_discovery` sets discovery's address in
    the environment too, `console` starts an admin server and a second backend, which discovery does not list,
    and `variables` are added to the environment. `memory_megabytes` is the memory limit in its settings.
    """
    harness = GatewayHarness(2 if console else 1)
    peers = (*harness.backends, harness.discovery, harness.counter)
    for peer in peers:
        await peer.start()
    environment = {"RELAY_DISCOVERY": harness.discovery.address} if override_discovery else {}
    harness.discovery.entries = {"b0": harness.discovery.entry("b0", harness.backends[0].address)}
    harness.port, harness.admin_port = free_ports()
    if console:
        environment["RELAY_CONSOLE"] = f"{HOST}:{harness.admin_port}"
    path = tmp_path / "config.json"
    content = {**harness.configuration(high_quota_settings(), 1024), "listen": f"{HOST}:{harness.port}"}
    content["limits"]["memory_mb"] = memory_megabytes
    path.write_text(json.dumps(content))

    def limit_descriptors() -> None:
        if descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    child = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        RUN,
        cwd=ROOT,
        env={**os.environ, "RELAY_CONFIG": str(path), **environment, **(variables or {})},
        preexec_fn=limit_descriptors,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        await wait_until_ready(harness)
        yield harness, child
    finally:
        if child.returncode is None:
            child.kill()
        await child.communicate()
        for peer in peers:
            await peer.stop()


def free_ports() -> tuple[int, int]:
    """Return two ports that nothing listens on."""
    with socket.socket() as first, socket.socket() as second:
        first.bind((HOST, 0))
        second.bind((HOST, 0))
        return first.getsockname()[1], second.getsockname()[1]


async def wait_until_ready(harness: GatewayHarness) -> None:
    """Wait until the gateway reports that it is ready."""
    async with asyncio.timeout(EVENT_TIMEOUT):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await harness.connect_client()
                if (await client.exchange(READY_REQUEST))[0] == 200:
                    client.writer.close()
                    return
            await asyncio.sleep(0.01)


async def wait_until_draining(harness: GatewayHarness) -> None:
    """Wait until the gateway has handled SIGTERM, and reports that it is not ready."""
    while True:
        client = await harness.connect_client()
        status, headers, _ = await client.exchange(READY_REQUEST)
        if status != 200:
            assert status == 503
            assert headers["connection"] == "close"
            return


async def test_sigterm_completes_requests_before_clean_exit(tmp_path: pathlib.Path) -> None:
    async with process(tmp_path) as (harness, child):
        backend_released = asyncio.Event()
        harness.backends[0].script = [send_success_after(backend_released)]
        waiting_client = await harness.connect_client()
        idle_client = await harness.connect_client()
        assert (await idle_client.exchange(READY_REQUEST))[0] == 200
        waiting_client.send(request(1))
        await harness.backends[0].wait_until(lambda: len(harness.backends[0].requests) == 1)
        child.send_signal(signal.SIGTERM)
        await wait_until_draining(harness)
        new_client = await harness.connect_client()  # new and idle connections are still served
        status, headers, _ = await new_client.exchange(request(2))
        assert status == 200
        assert headers["connection"] == "close"
        assert await new_client.wait_closed()
        assert (await idle_client.exchange(request(3)))[0] == 200
        assert await idle_client.wait_closed()
        backend_released.set()
        assert (await waiting_client.read_response())[0] == 200
        assert await waiting_client.wait_closed()
        async with asyncio.timeout(EVENT_TIMEOUT):
            assert await child.wait() == 0
        assert await child.stderr.read() == b""


async def test_clients_beyond_descriptor_limit_get_responses(tmp_path: pathlib.Path) -> None:
    # asyncio's server would close a connection that it has no file descriptor for, and lose its request.
    async with process(tmp_path, descriptors=40) as (harness, child):
        clients = [await harness.connect_client() for _ in range(60)]
        for client in clients:
            client.send(READY_REQUEST)

        async def status_of(client: Client) -> int:
            status, _, _ = await client.read_response()
            client.writer.close()
            return status

        assert await asyncio.gather(*(status_of(client) for client in clients)) == [200] * 60
        assert (await (await harness.connect_client()).exchange(request(1)))[0] == 200
        assert child.returncode is None


@pytest.mark.parametrize("override_discovery", [False, True])
async def test_sighup_applies_new_discovery_and_counter_addresses(
    tmp_path: pathlib.Path, override_discovery: bool
) -> None:
    # Without a handler, SIGHUP would end the process and every request in flight.
    async with process(tmp_path, override_discovery=override_discovery) as (harness, child):
        path = tmp_path / "config.json"
        content = json.loads(path.read_text())
        client = await harness.connect_client()
        path.write_text("{")
        child.send_signal(signal.SIGHUP)
        async with asyncio.timeout(EVENT_TIMEOUT):
            assert b"keeping the current configuration" in await child.stderr.readline()
        assert (await client.exchange(request(1)))[0] == 200
        discovery = FakeDiscovery()
        counter = FakeCounter()
        await discovery.start()
        await counter.start()
        discovery.entries = harness.discovery.entries
        content |= {"discovery": discovery.address, "counter": counter.address}
        path.write_text(json.dumps(content))
        child.send_signal(signal.SIGHUP)
        await discovery.wait_for_requests(2)  # the second poll shows that the full list was applied
        await exchange_until_counter_call(client, counter)
        assert child.returncode is None
        child.terminate()
        async with asyncio.timeout(EVENT_TIMEOUT):
            assert await child.wait() == 0
        assert await child.stderr.read() == b""
        await discovery.stop()
        await counter.stop()


async def exchange_until_counter_call(client: Client, counter: FakeCounter) -> None:
    """Send requests until the gateway calls the counter, which it does once the customer nears its quota."""
    number = 1
    async with asyncio.timeout(EVENT_TIMEOUT):
        while not counter.increments:
            number += 1
            await client.exchange(request(number, plan="pro", units="8"))


def test_build_compiles_every_module(tmp_path: pathlib.Path) -> None:
    (tmp_path / ".venv").symlink_to(ROOT / ".venv")
    copy = tmp_path / "quota_gateway"
    shutil.copytree(ROOT / "quota_gateway", copy, ignore=shutil.ignore_patterns("__pycache__"))
    build = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["build"]
    subprocess.run(["sh", "-c", build], cwd=tmp_path, check=True)
    sources = sorted(copy.rglob("*.py"))
    assert sources
    for source in sources:
        assert list((source.parent / "__pycache__").glob(f"{source.stem}.*.pyc"))
