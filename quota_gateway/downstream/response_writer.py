"""One request on a client's connection and its answer: whole at once, or begun, passed on and ended."""

from __future__ import annotations

import asyncio
from typing import Protocol

from quota_gateway.body_streaming import LAST_CHUNK, ResponseHead, StreamSource, chunk

REASONS = {
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


class Connection(Protocol):
    """What an exchange needs of the connection that it stands on."""

    transport: asyncio.Transport | None
    version: str
    stuck: bool

    def ends_with(self, exchange: ResponseWriter) -> bool: ...

    def flush(self) -> None: ...

    def cut_off(self) -> None: ...

    def client_disconnected(self) -> bool: ...


class ResponseWriter:
    """One request on a connection and its answer, which goes out when those before it have gone."""

    __slots__ = ("chunked", "connection", "keep", "live", "number", "source", "streaming", "text")

    def __init__(self, connection: Connection, keep: bool) -> None:
        self.connection, self.keep = connection, keep
        self.number = 0  # the driver's name for it, if it was taken
        self.text: bytes | None = None  # what is due to be written
        self.source: StreamSource | None = None  # of a long answer
        self.streaming = self.chunked = False  # more is to come; in chunks
        self.live = False  # it is at the front: what comes is written at once

    def send(self, status: int, body: bytes, headers: bytes = b"") -> None:
        if self.text is not None:
            return
        self.keep = self.keep and not self.connection.ends_with(self)
        self.text = b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b" % (
            status,
            REASONS[status],
            headers,
            b"" if self.keep else b"Connection: close\r\n",
            len(body),
            body,
        )
        self.connection.flush()

    def client_disconnected(self) -> bool:
        return self.connection.client_disconnected()

    def begin_stream(self, head: ResponseHead, source: StreamSource) -> None:
        """A long answer: its head, then `pass_on` for its pieces, and `end` or `cut`."""
        self.chunked = head.length is None and self.connection.version != "1.0"
        self.keep = self.keep and not self.connection.ends_with(self)
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else b""
        if head.length is not None:
            framing = b"Content-Length: %d\r\n" % head.length
        self.text = b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (
            head.headers,
            b"" if self.keep else b"Connection: close\r\n",
            framing,
        )
        self.source, self.streaming = source, True
        self.connection.flush()
        if not self.live or self.connection.stuck:
            source.pause()

    def write_body(self, piece: bytes) -> None:
        self.write(chunk(piece) if self.chunked else piece)

    def write(self, text: bytes) -> None:
        transport = self.connection.transport
        if not self.live:
            self.text = (self.text or b"") + text
        elif transport is not None:
            transport.write(text)

    def end_stream(self) -> None:
        """All of a long answer has been passed on."""
        if self.chunked:
            self.write(LAST_CHUNK)
        self.streaming, self.source = False, None
        self.connection.flush()

    def abort_stream(self) -> None:
        """The rest of a long answer will not come: its client must be able to tell."""
        self.streaming, self.source = False, None
        if self.live:
            self.connection.cut_off()
        else:  # none of it has gone out
            self.text = None
            self.send(502, b"")
