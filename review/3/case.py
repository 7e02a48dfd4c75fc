"""A hot restart while a customer whose plan has a ceiling presses against it through both processes."""

from __future__ import annotations

import asyncio
import json
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins"))

import bed as common  # noqa: E402

# The plan `etat` of the site bergen-skjema: 10 to 16 units/s, a burst of 2 to 4 s, a ceiling of 2.5 times that.
CEILING_RATE = 40.0  # units per second (hard_rate)
CEILING_DEPTH = 85.0  # units (cap_depth)
CEILING_SLACK = 9.0  # units by which the customer's store may go below 0 (ceiling_slack)
PLAN = {"cap_depth": CEILING_DEPTH, "ceiling_slack": CEILING_SLACK, "concurrency": 0, "extra_worth": 0.0,
        "hard_rate": CEILING_RATE, "name": "etat", "overrun_cost": 0.6, "peak_units": 34.0,
        "units_per_s": 16.0, "value_factor": 1.3}
UNITS = 4  # the guess that each request carries (max_units)
TRUE_UNITS = "1"  # what its answer bills: units are settled afterwards, but not in the ceiling
CUSTOMER = f"{0xC1:016x}"
KEPT_CONNECTIONS = 24  # connections that clients keep open to the gateway, for requests of many customers
REQUESTS = 48  # of the customer with the ceiling, in waves
WAVE = 6
WAVE_INTERVAL = 0.03  # seconds
FILL_TIME = 4.0  # seconds in which the gateway's part of the ceiling fills after its start: 85 / 40, and more


class Client:
    """A client's connection, which is kept between requests."""

    def __init__(self) -> None:
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(self, address: str, plan: str, customer: str, units: int) -> int:
        """Send one request and return the status of its answer; 0 if the connection ended first."""
        if self.writer is None or self.reader is None:
            host, _, port = address.rpartition(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        call_id = secrets.token_hex(8)
        head = common.request_head(call_id, "standings-read", customer, plan=plan, budget=2.4, units=units)
        try:
            self.writer.write(head)
            lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines[1:])}
            await self.reader.readexactly(int(fields.get("content-length", 0)))
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return 0
        if fields.get("connection") == "close":
            self.close()
        return int(lines[0].split()[1])

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Gateway:
    """The gateway, whose listening socket the platform holds for all of its processes."""

    def __init__(self, bed: common.Bed) -> None:
        values = common.settings()
        values["packages"].append(PLAN)
        values["domain"]["post_paid"] = True
        self.bed = bed
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((common.HOST, 0))
        self.listener.listen(256)
        self.address = f"{common.HOST}:{self.listener.getsockname()[1]}"
        self.config = bed.write_config("n0", values, listen=self.address)

    async def start_process(self) -> subprocess.Popen[bytes]:
        """Start a process with an operators' address of its own, and wait until it says yes."""
        console = f"{common.HOST}:{common.free_port()}"
        descriptor = self.listener.fileno()
        process = self.bed.start_gateway(
            self.config, self.bed.folder / "tmp", (descriptor,), RELAY_NAME="n0",
            RELAY_SOCKET_FD=str(descriptor), RELAY_CONSOLE=console)
        await common.wait_ready(console, "/healthcheck")
        self.bed.record.write(f"gateway process {process.pid} says yes")
        return process


def lowest_balance(times: list[float]) -> float:
    """Return the lowest balance of the customer's store: each time is a first attempt that came whole."""
    balance, last, lowest = CEILING_DEPTH, 0.0, CEILING_DEPTH
    for at in sorted(times):
        balance = min(CEILING_DEPTH, balance + CEILING_RATE * (at - last)) - UNITS
        last = at
        lowest = min(lowest, balance)
    return lowest


async def play(bed: common.Bed) -> bool:
    """Return whether the customer's ceiling was passed by more than its slack."""
    for number in range(3):
        bed.start_backend(f"s-{number}", TRUE_UNITS)
    gateway = Gateway(bed)
    old = await gateway.start_process()
    kept = [Client() for _ in range(KEPT_CONNECTIONS)]
    started = time.monotonic()
    others = 0
    while time.monotonic() - started < FILL_TIME:  # other customers' requests on the kept connections
        for client in kept:
            others += 1
            await client.request(gateway.address, "mestaruus", f"{0x1000 + others:016x}", 1)
        await asyncio.sleep(0.5)
    if common.trouble():
        await gateway.start_process()
    clients = [*kept, *(Client() for _ in range(REQUESTS - KEPT_CONNECTIONS))]
    bed.record.write(f"{REQUESTS} requests of {UNITS} units for customer {CUSTOMER}, {WAVE} at a time")
    tasks = []
    for index, client in enumerate(clients):
        if index % WAVE == 0:
            await asyncio.sleep(WAVE_INTERVAL)
        tasks.append(asyncio.create_task(client.request(gateway.address, "etat", CUSTOMER, UNITS)))
    statuses = await asyncio.gather(*tasks)
    bed.record.write(f"answers on connections kept since before: {statuses[:KEPT_CONNECTIONS]}")
    bed.record.write(f"answers on new connections: {statuses[KEPT_CONNECTIONS:]}")
    if common.trouble():
        old.send_signal(signal.SIGTERM)
        bed.record.write(f"SIGTERM to the old process {old.pid}")
        await asyncio.to_thread(old.wait, 8.0)
        bed.record.write(f"the old process ended with {old.returncode}")
    await asyncio.sleep(0.3)
    first_attempts: dict[str, float] = {}
    for event in bed.executed():
        if CUSTOMER in event["line"]:
            first_attempts.setdefault(event["call"], event["at"])
            bed.record.write(f"{event['call']} came whole to {event['backend']}", event["at"])
    lowest = lowest_balance(list(first_attempts.values()))
    text = (f"{len(first_attempts)} requests of {UNITS} units came to backends; the lowest balance of the "
            f"ceiling's store is {lowest:.1f}, allowed are {-CEILING_SLACK:.0f}")
    bed.record.write(text)
    common.say(text)
    if not first_attempts:
        raise RuntimeError("no request was forwarded")
    return lowest < -CEILING_SLACK


if __name__ == "__main__":
    sys.exit(common.run_case(FOLDER, play))
