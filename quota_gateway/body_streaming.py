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


class Upload:
    """A request's long body, from a client's connection to the one attempt that may have it."""

    def __init__(self, length: int | None, budget: float) -> None:
        self.length = length  # None: it comes in chunks, and goes on so
        self.budget = budget  # seconds that its client waits once all has come
        self.pieces: deque[bytes] = deque()
        self.waiting = 0
        self.complete = self.spent = False  # all has come; some has gone
        self.more: Callable[[], None] = nothing  # told when there is room again
        self.ready: Callable[[], None] = nothing  # told when there is something to take
        self.first_taken: Callable[[], None] = nothing

    @property
    def framing(self) -> bytes:
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    def is_full(self) -> bool:
        return self.waiting >= HELD

    def feed(self, piece: bytes) -> None:
        self.pieces.append(piece)
        self.waiting += len(piece)
        self.ready()

    def end(self) -> None:
        self.complete = True
        self.ready()

    def take(self) -> bytes:
        """The next of what waits, in its framing; nothing if nothing does."""
        if not self.pieces:
            return b""
        if not self.spent:
            self.spent = True
            self.first_taken()
        was_full = self.is_full()
        piece = self.pieces.popleft()
        self.waiting -= len(piece)
        if was_full and not self.is_full():
            self.more()
        return chunk(piece) if self.length is None else piece

    @property
    def rest(self) -> bytes:
        """What ends it, once all pieces have gone."""
        return LAST_CHUNK if self.length is None else b""


def nothing() -> None:
    """For an upload that nobody waits for."""


@dataclass(frozen=True, slots=True)
class Head:
    """What is known of a long answer as it begins."""

    length: int | None
    headers: bytes
    units: float


class Source(Protocol):
    """What a long answer comes from: read only while its client reads."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class Sink(Protocol):
    """Where a long answer goes."""

    def pass_on(self, piece: bytes) -> None: ...
