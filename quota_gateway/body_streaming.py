"""Long bodies and answers on their way through: in pieces, with at most a bound of them waiting here."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

HELD = 64 * 1024  # bytes up to which a body or an answer is gathered whole, and of a longer one that may wait
MOST_BODY = 33 * 1024 * 1024  # bytes of any body or answer: the longest that the platform knows, and a little
READ_AT_ONCE = 64 * 1024  # bytes taken from the kernel at a time: all connections of a side share the buffer


def chunk(piece: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(piece), piece)


LAST_CHUNK = b"0\r\n\r\n"


class RequestBodyStream:
    """A request's long body, from a client's connection to the one attempt that may have it."""

    def __init__(self, length: int | None, budget: float) -> None:
        self.length = length  # None: it comes in chunks, and goes on so
        self.time_budget = budget  # seconds that its client waits once all has come
        self.chunks: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.is_complete = self.started = False  # all has come; some has gone
        self.on_capacity: Callable[[], None] = nothing  # told when there is room again
        self.on_data: Callable[[], None] = nothing  # told when there is something to take
        self.on_first_read: Callable[[], None] = nothing

    @property
    def framing(self) -> bytes:
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    def is_full(self) -> bool:
        return self.buffered_bytes >= HELD

    def feed(self, piece: bytes) -> None:
        self.chunks.append(piece)
        self.buffered_bytes += len(piece)
        self.on_data()

    def finish(self) -> None:
        self.is_complete = True
        self.on_data()

    def next_chunk(self) -> bytes:
        """The next of what waits, in its framing; nothing if nothing does."""
        if not self.chunks:
            return b""
        if not self.started:
            self.started = True
            self.on_first_read()
        was_full = self.is_full()
        piece = self.chunks.popleft()
        self.buffered_bytes -= len(piece)
        if was_full and not self.is_full():
            self.on_capacity()
        return chunk(piece) if self.length is None else piece

    @property
    def trailer(self) -> bytes:
        """What ends it, once all pieces have gone."""
        return LAST_CHUNK if self.length is None else b""


def nothing() -> None:
    """For an upload that nobody waits for."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """What is known of a long answer as it begins."""

    length: int | None
    headers: bytes
    units: float


class StreamSource(Protocol):
    """What a long answer comes from: read only while its client reads."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class StreamSink(Protocol):
    """Where a long answer goes."""

    def write_body(self, piece: bytes) -> None: ...
