"""Clients whose HTTP library offers an upgrade to h2c send requests with bodies."""

from __future__ import annotations

import asyncio
import hashlib
import json
import pathlib
import secrets
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins"))

import bed as common  # noqa: E402

# A server that does not want to change protocols ignores the offer (RFC 9110, 7.8; RFC 7540, 3.2).
OFFER = (
    b"Connection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\n"
    b"HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n"
)
BODY_SIZES = (12, 212, 1500, 9000, 40000)  # bytes; the protocol page allows 64 KiB
ROUNDS = 2
ANSWER_TIMEOUT = 5.0


class Request:
    """One client's request with a body, on a connection of its own."""

    def __init__(self, number: int, size: int, chunked: bool) -> None:
        self.call_id = secrets.token_hex(8)
        self.customer = f"{number + 1:016x}"
        self.body = secrets.token_bytes(size)
        self.chunked = chunked
        self.answer = "none"

    @property
    def digest(self) -> str:
        """The digest of the body that the client sends."""
        return hashlib.sha256(self.body).hexdigest()

    def encode(self) -> bytes:
        """Return the request as it goes over the wire."""
        head = common.request_head(self.call_id, "result-submit", self.customer, len(self.body))
        body = self.body
        if self.chunked:
            length = b"Content-Length: %d\r\n" % len(body)
            head = head.replace(length, b"Transfer-Encoding: chunked\r\n")
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        offer = OFFER if common.trouble() else b""
        return head[:-2] + offer + b"\r\n" + body

    async def play(self, address: str) -> None:
        """Send the request and read the head of its answer."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(self.encode())
            async with asyncio.timeout(ANSWER_TIMEOUT):
                head = await reader.readuntil(b"\r\n\r\n")
            self.answer = head.partition(b"\r\n")[0].decode("latin-1")
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.answer = repr(error)
        finally:
            writer.close()


async def play(bed: common.Bed) -> bool:
    """Return whether a backend got a request with another body than its client sent."""
    for number in range(3):
        bed.start_backend(f"s-{number}")
    config = bed.write_config("n0", common.settings())
    address = json.loads(config.read_text())["listen"]
    bed.start_gateway(config, bed.folder / "tmp", RELAY_NAME="n0")
    await common.wait_ready(address)
    kinds = [(size, chunked) for size in BODY_SIZES for chunked in (False, True)] * ROUNDS
    requests = [Request(number, *kind) for number, kind in enumerate(kinds)]
    for request in requests:
        await request.play(address)
        form = "chunked" if request.chunked else "with its length"
        bed.record.write(f"{request.call_id} sent with a body of {len(request.body)} bytes, {form}")
        bed.record.write(f"{request.call_id} answer: {request.answer}")
    sent = {request.call_id: request for request in requests}
    wrong = 0
    executed = bed.executed()
    for event in executed:
        is_same = event["digest"] == sent[event["call"]].digest
        wrong += not is_same
        verdict = "the same" if is_same else "ANOTHER"
        bed.record.write(
            f"{event['call']} came to {event['backend']} with a body of {event['body']} bytes: {verdict}",
            event["at"])
    text = f"{len(requests)} requests sent, {len(executed)} came to backends, {wrong} with another body"
    bed.record.write(text)
    common.say(text)
    if not executed:
        raise RuntimeError("no request came to a backend")
    return wrong > 0


if __name__ == "__main__":
    sys.exit(common.run_case(FOLDER, play))
