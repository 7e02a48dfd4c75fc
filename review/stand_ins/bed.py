"""What the cases share: settings, discovery and counter stand-ins, processes, and the record.

The stand-ins follow the protocol page. The settings have the form and the figures of the example in the wire
page, for one gateway.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from typing import Any, TextIO

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
STAND_INS = pathlib.Path(__file__).resolve().parent
HOST = "127.0.0.1"
# A Python program that fails by itself exits with 1, so `run.sh` turns this status into 1 and any other into 2.
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 10, 2
READY_TIMEOUT = 15.0
RUN_TIMEOUT = 100.0  # seconds; a script may run for 120

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "clients": {"marks_retry": True},
    "domain": {"count_fee": 0.01, "count_limit": 30.0, "counter": True, "mail_per_s": 0.0, "max_units": 4,
               "post_paid": False, "use_period": 0.0},
    "layer": 0,
    "limits": {"cancel": True, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "dial_timeout": 250.0,
               "keepalive": 30000.0, "max_attempts": 5, "max_retry_after": 500.0, "max_streams": 100,
               "may_probe": False, "most_held": 20000, "peers": False, "retry_after": True,
               "second_copies": True},
    "me": 0,
    "membership_mode": "pushed",
    "objective_mix": {"whole": 0.55, "worst_class": 0.0, "worst_tenant": 0.25, "worst_window": 0.2},
    "packages": [
        {"cap_depth": 0.0, "ceiling_slack": 0.0, "concurrency": 0, "extra_worth": 0.0, "hard_rate": 0.0,
         "name": "mestaruus", "overrun_cost": 0.5, "peak_units": 44.0, "units_per_s": 16.0,
         "value_factor": 1.4}],
    "prices": {"connection": 0.0, "cross_zone": 0.013, "handshake": 0.0, "late_fail": 0.05,
               "membership_mode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.16},
    "report": {"fields": [], "source": "none"},
    "rules": {"answer_slack": 16.0, "ask_every": 10000.0, "cold_from": 0.16, "fall_multiple": 4.0,
              "overload_for": 1500.0, "stop_sending_within": 2000.0, "warm_within": 15000.0},
    "service_type": "gate",
    "services": [
        {"aim": 750.0, "credit": 1.0, "deadline": 2500.0, "dedup_scope": "all", "late_share": 0.0,
         "memory_span": 5000.0, "name": "standings-read", "semantics": "repeatable", "stream": False},
        {"aim": 1000.0, "credit": 2.0, "deadline": 2500.0, "dedup_scope": "all", "late_share": 0.0,
         "memory_span": 5000.0, "name": "result-submit", "semantics": "once", "stream": False}],
    "shapes": ["kaksi-ydin"],
    "tick": 4.0,
    "tiers": ["turnaus-palvelimet"],
    "weights": "rough",
    "zone": "hall-a",
    "zones": ["hall-a", "hall-b", "hall-c"],
}


def settings() -> dict[str, Any]:
    """Return a copy of the settings that a case may change."""
    return copy.deepcopy(SETTINGS)


def trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def deploy_command(name: str) -> str:
    """Return a command of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name])


class Record:
    """The record of a run: one line an event, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started = time.monotonic()
        self.file: TextIO = path.open("w", buffering=1, encoding="utf-8")

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line; `at` is a time of the monotonic clock."""
        self.file.write(f"{(time.monotonic() if at is None else at) - self.started:9.3f} {text}\n")


class Discovery:
    """An agent of discovery: the whole list, or a watch, over kept connections."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.generation = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, int] = {}
        self.changed = asyncio.Condition()
        self.address = ""

    def add(self, name: str, port: int) -> None:
        """List a backend that started long ago."""
        self.entries[name] = {
            "instanceId": name, "hostPort": f"{HOST}:{port}", "zone": "hall-a", "machineType": "kaksi-ydin",
            "cell": 0, "lifecycle": "SERVING", "weight": 1.0, "startedAtMs": 0}
        self.changed_in[name] = self.generation

    async def set_lifecycle(self, name: str, lifecycle: str) -> None:
        """Tell a change of a backend."""
        async with self.changed:
            self.generation += 1
            self.entries[name]["lifecycle"] = lifecycle
            self.changed_in[name] = self.generation
            self.changed.notify_all()
        self.record.write(f"discovery has {name} as {lifecycle}, version {self.generation}")

    def document(self, since: int | None = None) -> dict[str, Any]:
        """Return the whole list, or what changed since a version."""
        entries = [e for n, e in self.entries.items() if since is None or self.changed_in[n] > since]
        return {"generation": self.generation, "reset": since is None, "instances": entries}

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls on one connection until the gateway closes it."""
        try:
            while True:
                line = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[0]
                since = re.search(r"since=(\d+)", line)
                wait = re.search(r"timeout_ms=(\d+)", line)
                version = int(since[1]) if since else None
                if version is not None and wait is not None:
                    await self.wait_for_newer(version, min(int(wait[1]), 60000) / 1000)
                if not await self.answer(writer, line, json.dumps(self.document(version)).encode()):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def wait_for_newer(self, version: int, seconds: float) -> None:
        """Wait for a version newer than `version`, for some seconds at most."""
        try:
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(lambda: self.generation > version)
        except TimeoutError:
            pass

    async def answer(self, writer: asyncio.StreamWriter, line: str, body: bytes) -> bool:
        """Write an answer; return whether the connection goes on."""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        await writer.drain()
        return True


class Counter:
    """The counter: totals by name, in RESP2."""

    def __init__(self) -> None:
        self.totals: dict[str, float] = {}
        self.expiry: dict[str, float] = {}
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port."""
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls on one connection until the gateway closes it."""
        try:
            while True:
                words = []
                for _ in range(int((await reader.readuntil(b"\r\n"))[1:])):
                    size = int((await reader.readuntil(b"\r\n"))[1:])
                    words.append((await reader.readexactly(size + 2))[:-2].decode())
                text = f"{self.add(words[1], float(words[2]), float(words[3])):.7g}"
                writer.write(f"${len(text)}\r\n{text}\r\n".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def add(self, name: str, amount: float, life_ms: float) -> float:
        """Add to a name, which is new once its life is over, and return its total."""
        now = time.monotonic()
        if self.expiry.get(name, 0.0) <= now:
            self.totals[name] = 0.0
            self.expiry[name] = now + min(life_ms, 60000.0) / 1000
        self.totals[name] += amount
        return self.totals[name]


class Bed:
    """The processes of a case, and what it has to clean up."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.discovery = Discovery(self.record)
        self.counter = Counter()
        self.backend_log = self.folder / "backends.jsonl"
        self.backends: dict[str, subprocess.Popen[bytes]] = {}

    def start_backend(self, name: str, *options: str) -> None:
        """Start a backend, list it, and wait until it listens."""
        port = free_port()
        program = str(STAND_INS / "backend.py")
        command = [sys.executable, program, str(port), str(self.backend_log), name, *options]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.processes.append(process)
        self.backends[name] = process
        assert process.stdout is not None
        if not process.stdout.readline():
            raise RuntimeError(f"backend {name} did not start")
        self.discovery.add(name, port)

    def executed(self) -> list[dict[str, Any]]:
        """Return what the backends noted: each request that came whole."""
        if not self.backend_log.exists():
            return []
        return [json.loads(line) for line in self.backend_log.read_text().splitlines()]

    def write_config(self, name: str, values: dict[str, Any], **more: Any) -> pathlib.Path:
        """Write a gateway's configuration file and return its path."""
        document = {
            "name": name, "listen": f"{HOST}:{free_port()}", "discovery": self.discovery.address,
            "counter": self.counter.address, "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.document(), "settings": values, **more}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document))
        return path

    def start_gateway(
        self, config: pathlib.Path, tmpdir: pathlib.Path, descriptors: tuple[int, ...] = (), **variables: str
    ) -> subprocess.Popen[bytes]:
        """Start a gateway by `run` of the deploy file; its error output goes to a file."""
        tmpdir.mkdir(exist_ok=True)
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = {**kept, "RELAY_CONFIG": str(config), "TMPDIR": str(tmpdir), **variables}
        with (self.folder / f"gateway-{len(self.processes)}.err").open("wb") as errors:
            process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=environment, pass_fds=descriptors,
                stdout=errors, stderr=errors)
        self.processes.append(process)
        self.record.write(f"gateway process {process.pid} started")
        return process

    def kill_processes(self) -> None:
        """Send SIGKILL to the processes that run; it also ends those that are stopped."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)

    def stop_early(self, *_: object) -> None:
        """End the run on a signal; without its peers no client goes on waiting."""
        self.kill_processes()
        sys.exit(EXIT_COULD_NOT_RUN)

    def close(self) -> None:
        """End all processes, copy the gateways' error output to the record, and remove the folder."""
        self.kill_processes()
        for process in self.processes:
            process.wait()
        for path in sorted(self.folder.glob("gateway-*.err")):
            for line in path.read_text(errors="replace").splitlines()[:40]:
                self.record.write(f"{path.name}: {line}")
        self.temporary.cleanup()


def say(text: str) -> None:
    """Print a line; it is of no matter if nobody reads it."""
    with contextlib.suppress(OSError):
        print(text, flush=True)


async def call(address: str, line: str, timeout: float = 1.0) -> int:
    """Make one HTTP call without a body and return the status, 0 if there is none in time."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(f"{line} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode())
                status = (await reader.readline()).split()
                return int(status[1]) if len(status) > 1 else 0
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0


async def wait_until(condition: Callable[[], Any], timeout: float) -> bool:
    """Wait until an asynchronous condition holds; return False after `timeout` seconds."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if await condition():
            return True
        await asyncio.sleep(0.02)
    return False


async def wait_ready(address: str, path: str = "/ready") -> None:
    """Wait until a gateway says that it is ready; raises RuntimeError if it does not."""

    async def is_ready() -> bool:
        return await call(address, f"GET {path}") == 200

    if not await wait_until(is_ready, READY_TIMEOUT):
        raise RuntimeError("the gateway is not ready")


def request_head(
    call_id: str, request_class: str, customer: str, length: int | None = None, plan: str = "mestaruus",
    budget: float = 2.4, units: int = 1,
) -> bytes:
    """Return the head of a client's request as the protocol page gives it."""
    method = "GET" if length is None else "POST"
    lines = [
        f"{method} /api?client={customer} HTTP/1.1", "Host: backend.local", f"X-Call-Id: {call_id}",
        f"X-Call-Class: {request_class}", f"Plan: {plan}", f"X-Budget: {budget:.3f}",
        f"Quota-Info: units={units},spread=1,first=0"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


def run_case(folder: pathlib.Path, play: Callable[[Bed], Any]) -> int:
    """Play a case and return its exit status; `play` returns whether the rule was broken."""
    bed = Bed(folder)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, bed.stop_early)

    async def main() -> bool:
        await bed.discovery.start()
        await bed.counter.start()
        async with asyncio.timeout(RUN_TIMEOUT):
            return bool(await play(bed))

    try:
        broken = asyncio.run(main())
    except Exception as error:  # the case could not run
        bed.record.write(f"could not run: {error!r}")
        return EXIT_COULD_NOT_RUN
    finally:
        bed.close()
    bed.record.write("BROKEN" if broken else "HELD")
    say("BROKEN" if broken else "HELD")
    return EXIT_BROKEN if broken else EXIT_HELD
