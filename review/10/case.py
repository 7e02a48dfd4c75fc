"""Spoilt answers that never end: they have no length and go on in pieces."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import kit  # noqa: E402

SPOILT_SHARE = 0.1  # of the answers
PIECE = b"z" * 64  # bytes of a spoilt answer's body that come at a time
PIECE_INTERVAL = 0.3  # seconds
BUDGET = 2.5  # seconds: the class's deadline
ANSWER_SLACK = 0.5 + 0.05  # seconds after a request's time in which its final answer is not lost
MACHINE_SLACK = 1.0  # seconds more, for a busy machine
WATCHED = 10.0  # seconds after its time for which a client looks whether an answer ends at last
SECONDS = 10.0
CLIENTS = 8


async def case(record: kit.Record, folder: pathlib.Path) -> bool:
    rng = random.Random(1)
    backends = [kit.Backend(f"s-{index}", record) for index in range(3)]
    agent = kit.Agent(record, backends)
    counter = kit.Counter()
    for server in (*backends, counter):
        await server.start()
    agent.entries = {backend.name: (41, kit.entry(backend)) for backend in backends}
    await agent.start()
    gateway = kit.Gateway(folder, record, kit.make_settings(), agent, counter)

    def responder(backend: kit.Backend):
        async def respond(writer: asyncio.StreamWriter, call: str) -> None:
            if not kit.trouble() or rng.random() >= SPOILT_SHARE:
                await backend.answer(writer, call)
                return
            record.write("endless_answer", call=call)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while not writer.is_closing():
                writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE))
                await asyncio.sleep(PIECE_INTERVAL)
            record.write("endless_answer_cut", call=call)
            raise ConnectionResetError

        return respond

    for backend in backends:
        backend.respond = responder(backend)
    unanswered: list[str] = []
    ended: list[float] = []

    async def client(number: int) -> None:
        end = record.now() + SECONDS
        count = 0
        while record.now() < end:
            await asyncio.sleep(rng.expovariate(1 / 0.1))
            count += 1
            call = f"{number:08x}{count:08x}"
            reader, writer = await gateway.connect()
            sent_at = record.write("sent", call=call)
            writer.write(kit.request(call, "standings-read", number + 1, budget=BUDGET))
            message = asyncio.create_task(kit.read_message(reader))
            limit = sent_at + BUDGET + ANSWER_SLACK + MACHINE_SLACK
            done, _ = await asyncio.wait([message], timeout=limit - record.now())
            if not done:
                unanswered.append(call)
                record.write("NO_FINAL_ANSWER", call=call, past_its_time=record.now() - sent_at - BUDGET)
                await asyncio.wait([message], timeout=WATCHED)
                state = "ended" if message.done() else "still going on"
                record.write("watched", call=call, state=state, past_its_time=record.now() - sent_at - BUDGET)
            if message.done():
                ended.append(record.now() - sent_at)
                error = message.exception()
                result = "cut" if error else message.result().status
                record.write("answered", call=call, result=result)
            else:
                message.cancel()
            writer.close()

    try:
        await gateway.start_and_wait()
        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    finally:
        await gateway.end()
    record.write("summary", answered=len(ended), longest=max(ended, default=0.0), unanswered=unanswered)
    if len(ended) < 50 and not unanswered:
        raise kit.CannotRunError("hardly any request was answered")
    return not unanswered


kit.main(case, HERE)
