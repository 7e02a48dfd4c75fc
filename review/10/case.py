"""Discovery's answers in another form of HTTP/1.1: without a length, ended by the end of the connection."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import kit  # noqa: E402

DRAIN_GRACE = 2.0 + 0.05  # seconds from the news to the last thing sent, by the settings and the protocol page
TOLD_AFTER = 6.0  # seconds after discovery has a change and can be reached, at the latest
MACHINE_SLACK = 0.5  # seconds more, for a busy machine
WATCHED = 6.0  # seconds after all of that
CLIENTS = 8


class PlainAgent(kit.Agent):
    """An agent that ends each answer by ending the connection, as `Connection: close` says."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not kit.trouble():
            await super().serve(reader, writer)
            return
        message = await kit.read_message(reader)
        document = await self.answer_to(message)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n")
        writer.write(json.dumps(document).encode())
        writer.write_eof()
        self.note_told(document)
        await reader.read()  # until the gateway closes its side too


async def case(record: kit.Record, folder: pathlib.Path) -> bool:
    rng = random.Random(1)
    backends = [kit.Backend(f"s-{index}", record) for index in range(4)]
    agent = PlainAgent(record, backends)
    counter = kit.Counter()
    for server in (*backends, counter):
        await server.start()
    agent.entries = {backend.name: (41, kit.entry(backend)) for backend in backends}
    await agent.start()
    gateway = kit.Gateway(folder, record, kit.make_settings(), agent, counter)
    leaving = backends[0]
    ending = asyncio.Event()
    served = 0

    async def client(number: int) -> None:
        nonlocal served
        connection = kit.Client(gateway, record)
        count = 0
        while not ending.is_set():
            await asyncio.sleep(rng.expovariate(1 / 0.1))
            count += 1
            call = f"{number:08x}{count:08x}"
            message = await connection.exchange(call, kit.request(call, customer=number + 1))
            served += message is not None and message.status == 200

    clients: list[asyncio.Task[None]] = []
    try:
        await gateway.start_and_wait()
        clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(2.0)
        agent.change(leaving, "DRAINING")
        changed_at = record.now()
        late_from = changed_at + TOLD_AFTER + DRAIN_GRACE + MACHINE_SLACK
        await asyncio.sleep(late_from + WATCHED - record.now())
        ending.set()
        await asyncio.gather(*clients)
    finally:
        for task in clients:
            task.cancel()
        await gateway.end()
    told = [at for at, name, lifecycle in agent.told if (name, lifecycle) == (leaving.name, "DRAINING")]
    late = [run for run in leaving.ran if run[0] > late_from]
    for at, call, _ in late:
        record.write("SENT_TO_DRAINING", call=call, after_the_change=f"{at - changed_at:.3f}")
    first_told = told[0] if told else None
    record.write(
        "summary", served=served, changed_at=changed_at, first_written=first_told, times_written=len(told),
        late=len(late),
    )  # fmt: skip
    if served < 100:
        raise kit.CannotRunError("hardly any request was served")
    return not late


kit.main(case, HERE)
