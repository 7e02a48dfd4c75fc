"""Streaming of long request and response bodies, with a bound on the bytes that are buffered here."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

# Bytes up to which a body is buffered in full. A longer body is streamed, and reading from its sender stops
# while as many bytes of it wait here.
MAX_BUFFERED_BYTES = 64 * 1024
MAX_BODY_BYTES = 33 * 1024 * 1024  # bytes of one body; the platform allows 32 MiB, plus a margin
READ_BUFFER_BYTES = 64 * 1024  # bytes of one read from a socket; connections of one side share the buffer

LAST_CHUNK = b"0\r\n\r\n"  # ends a body in the chunked transfer coding


def chunk(data: bytes) -> bytes:
    """Return `data` as one chunk of the chunked transfer coding; `data` must not be empty."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _ignore_notification() -> None:
    """Stand in for a callback that is not set."""


class RequestBodyStream:
    """The body of a request on its way from the client's connection to the one attempt that may send it.

    The downstream side calls `feed` and `finish`, the upstream side `next_chunk`. The three callbacks tell
    the other side when to go on: `on_capacity` after a full buffer has room again, `on_data` when there is
    data or the end to send, `on_first_read` before the first data is taken, after which the body can't be
    sent a second time.
    """

    def __init__(self, length: int | None, budget: float) -> None:
        """Create an empty buffer; `length` is None for a chunked body.

        `budget` is the client's timeout in seconds, from the last byte of the body.
        """
        self.length = length
        self.time_budget = budget
        self.chunks: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.is_complete = False  # the client has sent all of it
        self.started = False  # some of it was taken
        self.end_taken = False  # and the end of a chunked body
        self.on_capacity: Callable[[], None] = _ignore_notification
        self.on_data: Callable[[], None] = _ignore_notification
        self.on_first_read: Callable[[], None] = _ignore_notification

    @property
    def framing(self) -> bytes:
        """The header line that declares the body's framing to the endpoint."""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    def take_end(self) -> bytes:
        """Return what follows the last chunk: the end of a chunked body, else nothing; once only."""
        if self.length is not None or self.end_taken:
            return b""
        self.end_taken = True
        return LAST_CHUNK

    def is_full(self) -> bool:
        """Return True while the client's connection should not be read."""
        return self.buffered_bytes >= MAX_BUFFERED_BYTES

    def feed(self, data: bytes) -> None:
        """Append data that the client has sent."""
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        self.on_data()

    def finish(self) -> None:
        """Mark the body as complete: the client has sent its last byte."""
        self.is_complete = True
        self.on_data()

    def next_chunk(self) -> bytes:
        """Take the next buffered data, framed for the endpoint; empty if none is buffered."""
        if not self.chunks:
            return b""
        if not self.started:
            self.started = True
            self.on_first_read()
        was_full = self.is_full()
        data = self.chunks.popleft()
        self.buffered_bytes -= len(data)
        if was_full and not self.is_full():
            self.on_capacity()
        return chunk(data) if self.length is None else data


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """What is known of a streamed response when its body begins."""

    length: int | None  # bytes of the body; None if it was not declared
    headers: bytes  # header lines that the client needs to read the body
    units: float  # that the endpoint charged for the request


class StreamSource(Protocol):
    """The upstream end of a streamed response, which is read only while the client reads."""

    def pause(self) -> None:
        """Stop reading."""

    def resume(self) -> None:
        """Read again."""


class StreamSink(Protocol):
    """The downstream end of a streamed response."""

    def write_body(self, data: bytes) -> None:
        """Forward a part of the body."""
