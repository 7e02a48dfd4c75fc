"""Streaming of long request and response bodies with bounded buffers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

# Maximum size in bytes of a body that is buffered in full. A longer body is streamed, and the gateway stops
# reading from its sender while this many bytes of it are buffered.
MAX_BUFFERED_BYTES = 64 * 1024
# Maximum size in bytes of any body: the platform's limit of 32 MiB plus a margin
MAX_BODY_BYTES = 33 * 1024 * 1024
# Size in bytes of the read buffer that all client connections share, and of the one for endpoint connections
READ_BUFFER_BYTES = 64 * 1024

# Data is buffered in pieces of at least this many bytes, if as much is waiting: each piece has a cost.
MIN_PIECE_BYTES = 4 * 1024

LAST_CHUNK = b"0\r\n\r\n"  # final chunk of a body with chunked transfer coding


def encode_chunk(data: bytes) -> bytes:
    """Encode `data`, which must not be empty, as one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _ignore_notification() -> None:
    """Do nothing; the default for callbacks that are not set."""


class RequestBodyStream:
    """Buffer between the client connection that receives a request body and the attempt that forwards it.

    Only one attempt can forward the body. The downstream side calls `feed`, `deliver` and `finish`; the
    upstream side calls `next_chunk` and `take_last_chunk`. Three callbacks notify the other side:
    `on_space_available` when a full buffer has space again, `on_data` when there is data to forward or the
    body is complete, and `on_first_read` before the first data is taken, after which the body cannot be sent
    again.
    """

    def __init__(self, length: int | None, budget: float) -> None:
        """Initialize an empty buffer.

        `length` is the size of the body in bytes, or None for a chunked body. `budget` is the client's
        timeout in seconds, counted from the last byte of the body.
        """
        self.length = length
        self.capacity = MAX_BUFFERED_BYTES  # bytes at which the buffer is full
        self.time_budget = budget
        self.chunks: deque[bytearray] = deque()
        self.buffered_bytes = 0
        self.is_complete = False  # the client has sent the last byte of the body
        self.has_been_read = False  # the upstream side has taken some of the body
        self.last_chunk_taken = False  # the upstream side has taken the final chunk
        self.on_space_available: Callable[[], None] = _ignore_notification
        self.on_data: Callable[[], None] = _ignore_notification
        self.on_first_read: Callable[[], None] = _ignore_notification

    @property
    def framing_header(self) -> bytes:
        """The header line that tells the endpoint how the body is framed."""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    def take_last_chunk(self) -> bytes:
        """Take the final chunk of a chunked body; empty if it was taken before or the body is not chunked."""
        if self.length is not None or self.last_chunk_taken:
            return b""
        self.last_chunk_taken = True
        return LAST_CHUNK

    def detach_client(self) -> None:
        """Stop notifying the downstream side, as its connection has ended."""
        self.on_space_available = _ignore_notification

    def detach_attempt(self) -> None:
        """Stop notifying the upstream side, as its attempt has ended."""
        self.on_data = _ignore_notification

    def is_full(self) -> bool:
        """Return whether the client's connection should not be read for now."""
        return self.buffered_bytes >= self.capacity

    def feed(self, data: bytes) -> None:
        """Append data that was received from the client; `deliver` passes it on."""
        if self.chunks and len(self.chunks[-1]) < MIN_PIECE_BYTES:
            self.chunks[-1] += data
        else:
            self.chunks.append(bytearray(data))
        self.buffered_bytes += len(data)

    def deliver(self) -> None:
        """Notify the upstream side of data, once for all that was received together."""
        if self.chunks:
            self.on_data()

    def finish(self) -> None:
        """Mark the body as complete, as the client has sent its last byte."""
        self.is_complete = True
        self.on_data()

    def next_chunk(self) -> bytes:
        """Take the next buffered data, framed for the endpoint; empty if no data is buffered."""
        if not self.chunks:
            return b""
        if not self.has_been_read:
            self.has_been_read = True
            self.on_first_read()
        was_full = self.is_full()
        data = bytes(self.chunks.popleft())
        self.buffered_bytes -= len(data)
        if was_full and not self.is_full():
            self.on_space_available()
        return encode_chunk(data) if self.length is None else data


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Metadata of a streamed response that is known when its body begins."""

    length: int | None  # size of the body in bytes; None if the endpoint has not declared it
    headers: bytes  # header lines that the client needs to decode the body
    billed_units: float  # quota units that the endpoint charged for the request


class StreamSource(Protocol):
    """The upstream side of a streamed response, which is read only while the client reads."""

    def pause(self) -> None:
        """Stop reading from the endpoint."""

    def resume(self) -> None:
        """Resume reading from the endpoint."""


class StreamSink(Protocol):
    """The downstream side of a streamed response."""

    def write_body(self, data: bytes) -> None:
        """Forward part of the body to the client."""
