"""The response to one request: sent in full, or streamed as it is received from the upstream."""

from __future__ import annotations

import asyncio
from typing import Protocol

from quota_gateway.body_streaming import LAST_CHUNK, ResponseHead, StreamSource, encode_chunk

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class ResponseConnection(Protocol):
    """The parts of a connection that its responses use."""

    transport: asyncio.Transport | None
    write_paused: bool  # the transport's buffer is full: the client doesn't read

    def closes_after(self, writer: ResponseWriter) -> bool:
        """Return True if a shutdown or drain closes the connection after this response."""

    def flush(self) -> None:
        """Write the responses that are ready."""

    def reset(self) -> None:
        """Reset the connection."""

    def client_disconnected(self) -> bool:
        """Return True if the client has closed its side of the connection."""


class ResponseWriter:
    """One response; it is written once all earlier responses are complete."""

    __slots__ = (
        "chunked",
        "connection",
        "http_version",
        "is_sending",
        "keep_alive",
        "request_bytes",
        "request_id",
        "source",
        "streaming",
        "unsent",
    )

    def __init__(self, connection: ResponseConnection, keep_alive: bool, http_version: str) -> None:
        """Initialize for a request of `http_version`; `keep_alive` keeps the connection open after it."""
        self.connection = connection
        self.http_version = http_version
        self.keep_alive = keep_alive
        self.request_id = 0  # the dispatcher's id; 0 for a request that was not submitted
        self.request_bytes = 0  # bytes of the request that are kept until it is answered
        self.unsent: bytes | None = None  # bytes to write; None until the response starts
        self.source: StreamSource | None = None  # the upstream end of a streamed response
        self.streaming = False  # True while a streamed response is incomplete
        self.chunked = False
        self.is_sending = False  # this is the first response: further data is written immediately

    def start_sending(self) -> bytes | None:
        """Return the buffered bytes to write; later ones are written immediately."""
        data = self.unsent
        self.is_sending = True
        self.unsent = b""
        return data

    def send(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Send a full response, unless one has started; `headers` are complete header lines."""
        if self.unsent is not None:
            return
        self.keep_alive = self.keep_alive and not self.connection.closes_after(self)
        self.unsent = b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status,
            REASON_PHRASES[status],
            headers,
            b"" if self.keep_alive else b"Connection: close\r\n",
            len(body),
            body,
        )
        self.connection.flush()

    def client_disconnected(self) -> bool:
        """Return True if the client has closed its side of the connection."""
        return self.connection.client_disconnected()

    def begin_stream(self, head: ResponseHead, source: StreamSource) -> None:
        """Send the head of a streamed response; `source` is paused while the client doesn't read."""
        self.chunked = head.length is None and self.http_version != "1.0"
        self.keep_alive = self.keep_alive and not self.connection.closes_after(self)
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else b""
        if head.length is not None:
            framing = b"Content-Length: %d\r\n" % head.length
        self.unsent = b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (
            head.headers,
            b"" if self.keep_alive else b"Connection: close\r\n",
            framing,
        )
        self.source = source
        self.streaming = True
        self.connection.flush()
        if not self.is_sending or self.connection.write_paused:
            source.pause()

    def write_body(self, data: bytes) -> None:
        """Send a part of a streamed body."""
        self.write(encode_chunk(data) if self.chunked else data)

    def write(self, data: bytes) -> None:
        """Write to the transport, or buffer until all earlier responses are written."""
        transport = self.connection.transport
        if not self.is_sending:
            self.unsent = (self.unsent or b"") + data
        elif transport is not None:
            transport.write(data)

    def end_stream(self) -> None:
        """End a streamed response whose body is complete."""
        if self.chunked:
            self.write(LAST_CHUNK)
        self.streaming = False
        self.source = None
        self.connection.flush()

    def abort_stream(self) -> None:
        """End an incomplete streamed response in a way that the client can detect."""
        self.streaming = False
        self.source = None
        if self.is_sending:
            self.connection.reset()
        else:  # nothing has been written, so the response can be replaced
            self.unsent = None
            self.send(502, b"")
