"""Long uploads while one of four backends hangs: each client waits for its final answer."""

from __future__ import annotations

import asyncio
import json
import pathlib
import secrets
import signal
import socket
import sys
import time
from concurrent.futures import ThreadPoolExecutor

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins"))

import bed as common  # noqa: E402

BACKENDS = 4  # one of them hangs
MEBIBYTE = 1024 * 1024
BODY_SIZES = tuple(size * MEBIBYTE for size in (4, 5, 6, 7, 5, 6, 4, 2))  # the pages allow up to 32 MB
UPLOADS = 40
BUDGET = 2.0  # seconds that a client waits after its last byte
SLACK = 0.5 + 0.05  # seconds after its time within which the final answer counts, plus that of sockets
WATCH = 10.0  # seconds after its last byte for which a client stays, to see whether an answer ever comes
SEND_TIMEOUT = 15.0


class Upload:
    """One client's request, sent whole on a connection of its own."""

    def __init__(self, record: common.Record, number: int) -> None:
        self.record = record
        self.call_id = secrets.token_hex(8)
        self.customer = f"{number + 1:016x}"
        self.size = BODY_SIZES[number % len(BODY_SIZES)]
        self.last_byte_at: float | None = None
        self.answered_at: float | None = None
        self.status = 0

    def play(self, address: str) -> None:
        """Send the request and wait for its answer."""
        host, _, port = address.rpartition(":")
        head = common.request_head(self.call_id, "result-submit", self.customer, self.size, budget=BUDGET)
        with socket.create_connection((host, int(port)), timeout=2.0) as client:
            client.settimeout(SEND_TIMEOUT)
            started = time.monotonic()
            try:
                client.sendall(head + b"x" * self.size)
            except OSError as error:
                self.record.write(f"{self.call_id} {self.size} bytes, not sent whole: {error!r}")
                return
            self.last_byte_at = time.monotonic()
            spent = self.last_byte_at - started
            self.record.write(f"{self.call_id} {self.size} bytes, last byte written after {spent:.3f} s")
            self.wait_for_answer(client, self.last_byte_at)

    def wait_for_answer(self, client: socket.socket, last_byte_at: float) -> None:
        """Wait for the first bytes of the answer."""
        client.settimeout(WATCH)
        try:
            data = client.recv(65536)
        except OSError as error:
            self.record.write(f"{self.call_id} NO ANSWER {WATCH:.0f} s after the last byte: {error!r}")
            return
        self.answered_at = time.monotonic()
        line = data.partition(b"\r\n")[0].decode("latin-1")
        self.status = int(line.split()[1]) if line.startswith("HTTP/1.1 ") else 0
        self.record.write(f"{self.call_id} answer {line!r} {self.answered_at - last_byte_at:.3f} s after it")

    def is_lost(self) -> bool:
        """Return whether the request was taken and had no final answer half a second after its time."""
        if self.last_byte_at is None:
            return False
        if self.answered_at is None or not self.status:
            return True
        return self.answered_at - self.last_byte_at > BUDGET + SLACK


async def play(bed: common.Bed) -> bool:
    """Return whether a request that was taken got no final answer in time."""
    for number in range(BACKENDS):
        bed.start_backend(f"s-{number}")
    config = bed.write_config("n0", common.settings())
    address = json.loads(config.read_text())["listen"]
    bed.start_gateway(config, bed.folder / "tmp", RELAY_NAME="n0")
    await common.wait_ready(address)
    if common.trouble():
        bed.backends["s-0"].send_signal(signal.SIGSTOP)
        bed.record.write("backend s-0 hangs (SIGSTOP) to the end of the run")
    uploads = [Upload(bed.record, number) for number in range(UPLOADS)]
    loop = asyncio.get_running_loop()
    with ThreadPoolExecutor(UPLOADS) as pool:
        await asyncio.gather(*(loop.run_in_executor(pool, upload.play, address) for upload in uploads))
    for event in bed.executed():
        bed.record.write(f"{event['call']} came whole to {event['backend']}, {event['body']} bytes", event["at"])
    taken = [upload for upload in uploads if upload.last_byte_at is not None]
    lost = [upload for upload in taken if upload.is_lost()]
    text = f"{len(uploads)} requests, {len(taken)} sent whole, {len(lost)} of them lost"
    bed.record.write(text)
    common.say(text)
    if not taken:
        raise RuntimeError("no request was sent whole")
    return bool(lost)


if __name__ == "__main__":
    sys.exit(common.run_case(FOLDER, play))
