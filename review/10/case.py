"""Long answers without a length, from backends that spend seconds writing them."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import kit  # noqa: E402

ANSWER_BYTES = 160_000  # of at most 32 MB, and over 64 KiB
FIRST_PIECE = 30_000  # bytes that a backend writes at once
PAUSE = 2.0  # seconds that it spends before it writes on
PIECE = 26_000  # bytes of each further piece
PIECE_INTERVAL = 0.2  # seconds between them
BUDGET = 1.25  # seconds: half of the class's deadline
LONG_SHARE = 0.2  # of the answers
SECONDS = 8.0
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
    cut: list[str] = []  # long answers whose connection the gateway closed while the backend still gave
    whole = 0
    seconds_to_answer: list[float] = []

    def responder(backend: kit.Backend):
        async def respond(writer: asyncio.StreamWriter, call: str) -> None:
            if rng.random() >= LONG_SHARE:
                await backend.answer(writer, call)
                return
            body = (f"result of {call} ".encode() * (ANSWER_BYTES // 16))[:ANSWER_BYTES]
            record.write("long_answer", call=call, backend=backend.name)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            position = 0
            size = FIRST_PIECE
            while position < len(body):
                piece = body[position : position + size]
                writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
                position += len(piece)
                await asyncio.sleep(PAUSE if kit.trouble() and position == FIRST_PIECE else PIECE_INTERVAL)
                size = PIECE
                if writer.is_closing():
                    record.write("cut_by_gateway", call=call, written=position)
                    raise ConnectionResetError
            writer.write(b"0\r\n\r\n")

        return respond

    for backend in backends:
        backend.respond = responder(backend)

    async def client(number: int) -> None:
        nonlocal whole
        end = record.now() + SECONDS
        count = 0
        while record.now() < end:
            await asyncio.sleep(rng.expovariate(1 / 0.2))
            count += 1
            call = f"{number:08x}{count:08x}"
            reader, writer = await gateway.connect()
            sent_at = record.write("sent", call=call)
            writer.write(kit.request(call, "standings-read", number + 1, budget=BUDGET))
            first_at = None
            received = 0
            try:
                async with asyncio.timeout(20.0):
                    head = await reader.readuntil(b"\r\n\r\n")
                    first_at = record.now() - sent_at
                    status = int(head.split()[1])
                    if b"chunked" in head.lower():
                        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                            received += len((await reader.readexactly(size + 2))[:-2])
                        await reader.readuntil(b"\r\n")
                    else:
                        length = next(
                            int(line.split(b":")[1])
                            for line in head.lower().split(b"\r\n")
                            if line.startswith(b"content-length")
                        )
                        received = len(await reader.readexactly(length))
                record.write("answered", call=call, status=status, size=received, first=f"{first_at:.3f}")
                whole += status == 200
            except (OSError, asyncio.IncompleteReadError) as error:
                after = record.now() - sent_at
                record.write("CUT", call=call, first=first_at, received=received, after=f"{after:.3f}", error=repr(error)[:60])
                cut.append(call)
            writer.close()

    try:
        await gateway.start_and_wait()
        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    finally:
        await gateway.end()
    record.write("summary", whole=whole, cut=cut)
    if whole < 30:
        raise kit.CannotRunError("hardly any request was served")
    return not cut


kit.main(case, HERE)
