"""Stand-ins for the second review's cases: platform, discovery agent, counter, backends and clients.

They speak what the users' pages describe and need nothing but the standard library. All addresses are loopback.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
RUN_COMMAND = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_TIMEOUT = 15.0  # seconds; the pages allow 30 for a start
TIME_LIMIT = 115.0  # seconds for a whole case


class CannotRunError(Exception):
    """The case's environment did not come up, so nothing was shown."""


def trouble() -> bool:
    """Return whether the disruption takes place; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, one line each, in seconds since the start of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def write(self, event: str, **fields: object) -> float:
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:9.4f} {event} {text}\n")
        self.file.flush()
        return at


# Settings of a small deployment.


def service(name: str, semantics: str, aim: float, deadline: float, credit: float, **more: object) -> dict[str, Any]:
    return {
        "aim": aim, "credit": credit, "deadline": deadline, "dedup_scope": "all", "late_share": 0.0,
        "memory_span": 5000.0, "name": name, "semantics": semantics, "stream": False, **more,
    }  # fmt: skip


def plan(name: str, rate: float, burst: float, **more: object) -> dict[str, Any]:
    return {
        "cap_depth": 0.0, "ceiling_slack": 0.0, "concurrency": 0, "extra_worth": 0.0, "hard_rate": 0.0,
        "name": name, "overrun_cost": 0.6, "peak_units": burst, "units_per_s": rate, "value_factor": 1.0, **more,
    }  # fmt: skip


def make_settings(**changes: Any) -> dict[str, Any]:
    settings: dict[str, Any] = {
        "balancers": 1,
        "clients": {"marks_retry": True},
        "domain": {"count_fee": 0.01, "count_limit": 30.0, "counter": True, "mail_per_s": 0.0, "max_units": 4,
                   "post_paid": True, "use_period": 0.0},
        "layer": 0,
        "limits": {"cancel": True, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "dial_timeout": 250.0,
                   "keepalive": 30000.0, "max_attempts": 5, "max_retry_after": 500.0, "max_streams": 100,
                   "may_probe": False, "most_held": 20000, "peers": False, "retry_after": True,
                   "second_copies": True},
        "me": 0,
        "membership_mode": "pushed",
        "objective_mix": {"whole": 0.55, "worst_class": 0.0, "worst_tenant": 0.25, "worst_window": 0.2},
        "packages": [plan("seura", 400.0, 800.0)],
        "prices": {"connection": 0.0, "cross_zone": 0.013, "handshake": 0.0, "late_fail": 0.05,
                   "membership_mode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.16},
        "report": {"fields": ["cpu_share", "pending"], "source": "answers"},
        "rules": {"answer_slack": 16.0, "ask_every": 10000.0, "cold_from": 0.16, "fall_multiple": 4.0,
                  "overload_for": 1500.0, "stop_sending_within": 2000.0, "warm_within": 15000.0},
        "service_type": "gate",
        "services": [service("standings-read", "repeatable", 750.0, 2500.0, 1.0),
                     service("result-submit", "once", 1000.0, 2500.0, 2.0)],
        "shapes": ["kaksi-ydin"],
        "tick": 4.0,
        "tiers": ["turnaus-palvelimet"],
        "weights": "rough",
        "zone": "hall-a",
        "zones": ["hall-a", "hall-b", "hall-c"],
    }  # fmt: skip
    for section, value in changes.items():
        if isinstance(value, dict):
            settings[section] = {**settings[section], **value}
        else:
            settings[section] = value
    return settings


# HTTP.


class Message:
    """One HTTP/1.1 message."""

    def __init__(self, start_line: str, headers: dict[str, str], body: bytes) -> None:
        self.start_line = start_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        return int(self.start_line.split()[1])


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    start_line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip().split("\r\n")
    fields = (line.partition(":") for line in lines)
    return start_line, {name.strip().lower(): value.strip() for name, _, value in fields}


async def read_message(reader: asyncio.StreamReader) -> Message:
    start_line, headers = await read_head(reader)
    return Message(start_line, headers, await read_body(reader, headers))


def response(status: int, body: bytes, *lines: str) -> bytes:
    head = "\r\n".join([f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines, "", ""])
    return head.encode() + body


def request(
    call: str,
    request_class: str = "standings-read",
    customer: int = 1,
    plan_name: str = "seura",
    budget: float = 2.5,
    units: int = 1,
    spread: int = 1,
    body: bytes = b"",
) -> bytes:
    """Return a client's request in the form of the protocol page."""
    method = "POST" if request_class == "result-submit" else "GET"
    lines = [
        f"{method} /api?client={customer:016x} HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {call}",
        f"X-Call-Class: {request_class}",
        f"Plan: {plan_name}",
        f"X-Budget: {budget:.3f}",
        f"Quota-Info: units={units},spread={spread},first=0",
    ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


# Servers.


class Server:
    """A TCP server at a free port; its handler is called for each connection."""

    def __init__(self) -> None:
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._connected, HOST, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with suppress(OSError, RuntimeError):
                writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def reset_all(self) -> None:
        """Reset all connections, as a dying process does."""
        for writer in list(self.writers):
            writer.transport.abort()


class Backend(Server):
    """A backend: a request runs once its last byte has come, for `work` seconds; then comes a 200."""

    def __init__(self, name: str, record: Record, work: float = 0.02) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.work = work
        self.ran: list[tuple[float, str, float]] = []  # time, call id, X-Budget
        self.respond: Callable[[asyncio.StreamWriter, str], Awaitable[None]] = self.answer

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            call = message.headers.get("x-call-id", "-")
            budget = float(message.headers.get("x-budget", 0))
            at = self.record.write("run", backend=self.name, call=call, budget=budget)
            self.ran.append((at, call, budget))
            await asyncio.sleep(self.work)
            await self.respond(writer, call)

    async def answer(self, writer: asyncio.StreamWriter, call: str) -> None:
        writer.write(response(200, f"result of {call}".encode(), "Billed-Units: 1"))


def entry(backend: Backend, lifecycle: str = "SERVING") -> dict[str, Any]:
    return {
        "instanceId": backend.name, "hostPort": backend.address, "zone": "hall-a", "machineType": "kaksi-ydin",
        "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
    }  # fmt: skip


class Agent(Server):
    """The discovery agent: whole lists and watches."""

    def __init__(self, record: Record, backends: list[Backend], generation: int = 41) -> None:
        super().__init__()
        self.record = record
        self.generation = generation
        self.entries = {backend.name: (generation, entry(backend)) for backend in backends}
        self.changed = asyncio.Event()
        self.is_crowded = False
        self.crowded_calls = 0
        self.told: list[tuple[float, str, str]] = []  # time of the write, backend, lifecycle

    def change(self, backend: Backend, lifecycle: str) -> None:
        self.generation += 1
        self.entries[backend.name] = (self.generation, entry(backend, lifecycle))
        self.record.write("list_changed", backend=backend.name, lifecycle=lifecycle, generation=self.generation)
        self.changed.set()
        self.changed = asyncio.Event()

    def document(self, since: int | None) -> dict[str, Any]:
        rows = [row for generation, row in self.entries.values() if since is None or generation > since]
        return {"generation": self.generation, "reset": since is None, "instances": rows}

    def known(self) -> dict[str, Any]:
        return self.document(None)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            if self.is_crowded:
                self.refuse(writer)
                continue
            document = await self.answer_to(message)
            if self.is_crowded:
                self.refuse(writer)
                continue
            writer.write(response(200, json.dumps(document).encode()))
            self.note_told(document)

    async def answer_to(self, message: Message) -> dict[str, Any]:
        """Return the answer to a call, once there is something newer or its wait is over."""
        since_match = re.search(r"since=(\d+)", message.start_line)
        timeout_match = re.search(r"timeout_ms=(\d+)", message.start_line)
        since = int(since_match[1]) if since_match else None
        if since is not None and since >= self.generation and timeout_match:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(timeout_match[1]) / 1000)
        return self.document(since)

    def note_told(self, document: dict[str, Any]) -> None:
        for row in document["instances"]:
            at = self.record.write("told", backend=row["instanceId"], lifecycle=row["lifecycle"])
            self.told.append((at, row["instanceId"], row["lifecycle"]))

    def refuse(self, writer: asyncio.StreamWriter) -> None:
        self.crowded_calls += 1
        self.record.write("discovery_refused")
        writer.write(response(503, b"", "Retry-After: 1"))


class Counter(Server):
    """The quota counter: CNT.ADD over RESP2."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[bytes, float] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            words = []
            for _ in range(int(line[1:])):
                size = int((await reader.readline())[1:])
                words.append((await reader.readexactly(size + 2))[:-2])
            if words[0].upper() == b"CNT.ADD":
                total = self.totals[words[1]] = self.totals.get(words[1], 0.0) + float(words[2])
                text = f"{total:.7g}".encode()
                writer.write(b"$%d\r\n%b\r\n" % (len(text), text))
            else:
                writer.write(b"+PONG\r\n" if words[0].upper() == b"PING" else b"+OK\r\n")


# The platform.


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Gateway:
    """One gateway: its configuration file, its folder, and the processes that were started for it."""

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        settings: dict[str, Any],
        agent: Agent,
        counter: Counter,
        inherits_socket: bool = False,
        limits: dict[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        self.record = record
        self.listener: socket.socket | None = None
        if inherits_socket:
            self.listener = socket.socket()
            self.listener.bind((HOST, 0))
            self.listener.listen(256)
            self.port = int(self.listener.getsockname()[1])
        else:
            self.port = free_port()
        self.temporary = folder / "tmp"
        self.temporary.mkdir(exist_ok=True)
        self.document = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": agent.address, "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "counter": counter.address,
            "known": agent.known(), "settings": settings,
        }  # fmt: skip
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(self.document))
        self.processes: list[GatewayProcess] = []

    async def start(self) -> GatewayProcess:
        """Start a process with the deploy file's command, and return it without waiting."""
        console = free_port()
        variables = {
            "PATH": os.environ.get("PATH", os.defpath),
            "RELAY_NAME": "n0",
            "RELAY_LISTEN": f"{HOST}:{self.port}",
            "RELAY_DISCOVERY": self.document["discovery"],
            "RELAY_CONFIG": str(self.config),
            "RELAY_CONSOLE": f"{HOST}:{console}",
            "TMPDIR": str(self.temporary),
        }
        if "RELAY_LOG_LEVEL" in os.environ:
            variables["RELAY_LOG_LEVEL"] = os.environ["RELAY_LOG_LEVEL"]
        descriptors: tuple[int, ...] = ()
        if self.listener is not None:
            descriptors = (self.listener.fileno(),)
            variables["RELAY_SOCKET_FD"] = str(descriptors[0])
        log = self.folder / f"gateway-{len(self.processes)}.log"
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", RUN_COMMAND, cwd=ROOT, env=variables, pass_fds=descriptors,
                stdin=asyncio.subprocess.DEVNULL, stdout=output, stderr=output,
            )  # fmt: skip
        started = GatewayProcess(process, console, log, self.record)
        self.processes.append(started)
        self.record.write("gateway_started", pid=process.pid)
        return started

    async def start_and_wait(self) -> GatewayProcess:
        process = await self.start()
        await process.wait_until_healthy()
        return process

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(HOST, self.port, limit=1 << 20)

    async def end(self) -> None:
        for started in self.processes:
            if started.process.returncode is None:
                with suppress(ProcessLookupError):
                    started.process.kill()
                await started.process.wait()
            for line in started.log.read_text(errors="replace").splitlines()[:200]:
                self.record.write("gateway_log", pid=started.process.pid, line=line)
        if self.listener is not None:
            self.listener.close()


class GatewayProcess:
    """One process of a gateway."""

    def __init__(
        self, process: asyncio.subprocess.Process, console: int, log: pathlib.Path, record: Record
    ) -> None:
        self.process = process
        self.console = console
        self.log = log
        self.record = record

    async def call(self, method: str, path: str) -> int:
        """Make an operator's call; return the status, 0 if there is no answer within 1 s."""
        return (await self.call_text(method, path))[0]

    async def call_text(self, method: str, path: str) -> tuple[int, str]:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.console)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, ""
        return message.status, message.body.decode()

    async def wait_until_healthy(self) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT):
                while await self.call("GET", "/healthcheck") != 200:
                    if self.process.returncode is not None:
                        raise CannotRunError(f"the gateway exited with {self.process.returncode}")
                    await asyncio.sleep(0.01)
        except TimeoutError as error:
            raise CannotRunError("the gateway did not become ready") from error
        self.record.write("gateway_ready", pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        self.record.write("signal", pid=self.process.pid, name=number.name)
        self.process.send_signal(number)


class Client:
    """A client with one connection, which sends one request at a time."""

    def __init__(self, gateway: Gateway, record: Record) -> None:
        self.gateway = gateway
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await self.gateway.connect()

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def exchange(self, call: str, text: bytes, wait: float = 3.0) -> Message | None:
        """Send a request and return its answer; None if none came whole within `wait` seconds.

        If the gateway closes the connection before the answer begins, the request is sent once more.
        """
        for is_repeat in (False, True):
            if self.writer is None:
                await self.connect()
            assert self.reader is not None and self.writer is not None
            self.record.write("sent", call=call)
            try:
                self.writer.write(text)
                async with asyncio.timeout(wait):
                    message = await read_message(self.reader)
            except TimeoutError:
                self.record.write("no_answer", call=call)
                self.close()
                return None
            except (OSError, asyncio.IncompleteReadError) as error:
                partial = bool(getattr(error, "partial", b""))
                self.record.write("connection_ended", call=call, begun=partial)
                self.close()
                if partial or is_repeat:
                    return None
                continue
            self.record.write("answered", call=call, status=message.status, body=message.body[:60])
            if message.headers.get("connection", "").lower() == "close":
                self.close()
            return message
        return None


def main(case: Callable[[Record, pathlib.Path], Awaitable[bool]], folder: pathlib.Path) -> None:
    """Run a case and exit; `case` returns True if the rule held."""
    record = Record(folder)
    for number in (signal.SIGTERM, signal.SIGHUP):  # the case ends its processes, also when it is ended itself
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(TIME_LIMIT):
                return await case(record, pathlib.Path(temporary))

    try:
        code = HELD if asyncio.run(run()) else BROKEN
    except (CannotRunError, TimeoutError, OSError, SystemExit) as error:
        record.write("could_not_run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        code = COULD_NOT_RUN
    else:
        verdict = "held" if code == HELD else "broken"
        record.write("verdict", rule=verdict)
        print(f"rule {verdict}")
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # the stand-ins' open connections are not ended one by one
