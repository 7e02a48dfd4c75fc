"""Hundreds of peers that stop half way through a request and stay until they get their error."""

from __future__ import annotations

import asyncio
import pathlib
import random
import re
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import kit  # noqa: E402

MEMORY_MB = 96  # the pages give a gateway between 32 and 192
LIMIT = MEMORY_MB * 1024 * 1024  # bytes, by the larger of the two readings of a megabyte
PEERS = 300  # at once; a third of 1,024 descriptors is 341
BODY_BYTES = 64_000  # as declared, of at most 64 KiB
SENT_BYTES = 62_000  # of it, after which a peer stops
STAY = 3.0  # seconds in which such a peer is owed an error or a close
CLIENTS = 8
SECONDS = 40.0


def resident_bytes(pid: int) -> int:
    """Return the memory of a process, as the system counts it."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(match[1]) * 1024 if match else 0


async def case(record: kit.Record, folder: pathlib.Path) -> bool:
    rng = random.Random(1)
    backends = [kit.Backend(f"s-{index}", record) for index in range(4)]
    agent = kit.Agent(record, backends)
    counter = kit.Counter()
    for server in (*backends, counter):
        await server.start()
    agent.entries = {backend.name: (41, kit.entry(backend)) for backend in backends}
    await agent.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    gateway = kit.Gateway(folder, record, kit.make_settings(), agent, counter, limits=limits)
    served = 0
    visits = 0

    async def client(number: int) -> None:
        nonlocal served
        connection = kit.Client(gateway, record)
        count = 0
        while True:
            await asyncio.sleep(rng.expovariate(1 / 0.2))
            count += 1
            call = f"{number:08x}{count:08x}"
            message = await connection.exchange(call, kit.request(call, customer=number + 1))
            served += message is not None and message.status == 200

    async def peer(number: int) -> None:
        """Send most of a request, stay until the error or the close, and come again."""
        nonlocal visits
        while True:
            visits += 1
            visit = visits
            call = f"{0xBAD:08x}{visit:08x}"
            head = kit.request(call, "result-submit", number + 1)
            head = head.replace(b"Content-Length: 0", b"Content-Length: %d" % BODY_BYTES)
            try:
                reader, writer = await gateway.connect()
            except OSError:
                await asyncio.sleep(0.1)
                continue
            answer = b""
            try:
                writer.write(head + b"p" * SENT_BYTES)
                async with asyncio.timeout(STAY):
                    answer = await reader.read()
            except (OSError, TimeoutError):
                pass
            if visit % 50 == 0:
                record.write("peer_ended", call=call, answer=answer[:12])
            writer.close()
            await asyncio.sleep(0.1)

    tasks: list[asyncio.Task[None]] = []
    peak = 0
    is_killed = False
    try:
        process = await gateway.start_and_wait()
        pid = process.process.pid
        at_rest = resident_bytes(pid)
        record.write("memory_at_rest", resident=at_rest)
        if at_rest > LIMIT / 2:
            raise kit.CannotRunError(f"the gateway needs {at_rest} bytes before anybody comes")
        tasks = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        if kit.trouble():
            tasks += [asyncio.create_task(peer(number)) for number in range(PEERS)]
        end = record.now() + SECONDS
        while record.now() < end and process.process.returncode is None:
            resident = resident_bytes(pid)
            if resident > peak + 1_000_000:
                peak = resident
                record.write("memory", resident=resident, visits=visits)
            if resident > LIMIT and not is_killed:
                is_killed = True
                record.write("KILLED_FOR_MEMORY", resident=resident, limit=LIMIT, visits=visits)
                process.process.kill()
            await asyncio.sleep(0.02)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await gateway.end()
    record.write(
        "summary", served=served, visits=visits, at_rest=at_rest, peak=peak, limit=LIMIT, killed=is_killed
    )
    return not is_killed


kit.main(case, HERE)
