"""Incremental parser for the HTTP/1.1 requests on one client connection."""

from __future__ import annotations

from abc import ABC, abstractmethod

import httptools

from quota_gateway.body_streaming import MAX_BODY_BYTES, MAX_BUFFERED_BYTES, RequestBodyStream
from quota_gateway.errors import InvalidRequestError

MAX_HEAD_SIZE = 32 * 1024  # bytes of request line and headers; a browser with many cookies sends 8 KiB

UNIQUE_HEADERS = frozenset(
    (
        b"x-call-id",
        b"x-call-class",
        b"plan",
        b"x-budget",
        b"idempotency-key",
        b"quota-info",
        b"x-again",
        b"content-length",
        b"host",
    )
)

# Headers that determine where a message ends and whether its connection persists.
FRAMING_HEADERS = (b"connection", b"proxy-connection", b"content-length", b"transfer-encoding")

# All headers that the gateway uses; no others are kept.
KEPT_HEADERS = UNIQUE_HEADERS.union(FRAMING_HEADERS, (b"content-type", b"expect", b"upgrade"))

BODY_TOO_LARGE = "the body is over 32 MiB"
HEAD_TOO_LARGE = "the head is over 32 KiB"


class RequestReader(ABC):
    """Receives the callbacks of an httptools parser and holds the request that is being read.

    Subclasses implement how a request is handled: `headers_complete`, `start_body_stream` and
    `request_complete` are called from within parser callbacks.
    """

    def __init__(self, now: float) -> None:
        """Initialize without a request; `now` is the start time of the connection in seconds."""
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.parsing = False  # the parser is on the call stack and must not be reentered
        self.is_resuming = False  # the parser is new and has yet to reach the body of the current request
        self.received_at = 0.0  # seconds: time at which the latest bytes were read; 0 before the first
        self.arrived_at = 0.0  # seconds: time at which the kernel received them; if unknown, the earliest
        self.request_started_at = now
        self.body_started_at = now
        self.any_request_started = False
        self.in_request = self.in_head = False
        self.head_size = 0  # bytes fed to the parser while in a head
        self.http_version = "1.1"
        self.expects_continue = False  # the client waits for "100 Continue" before it sends its body
        self.body_stream: RequestBodyStream | None = None  # set while a body is streamed
        self.reset_request()

    def reset_request(self) -> None:
        """Clear the fields of the previous request."""
        self.target = b""
        self.kept_bytes = 0  # of the head
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.body_size = 0  # bytes read so far, including those of a streamed body
        self.error: InvalidRequestError | None = None  # sent as the response once the request is complete

    @abstractmethod
    def headers_complete(self) -> None:
        """Handle a request whose headers are complete."""

    @abstractmethod
    def start_body_stream(self, length: int | None) -> None:
        """Submit a request whose body is too large to buffer; `length` is None for a chunked body."""

    @abstractmethod
    def request_complete(self) -> None:
        """Handle a request whose last byte has been parsed."""

    def feed(self, data: bytes) -> None:
        """Parse `data`; the requests that it completes are handled before this method returns.

        Raises InvalidRequestError if neither the request nor the data after it can be read.
        """
        if self.parser is None:
            return
        self.parsing = True
        try:
            self.parse_messages(data)
            if self.body_stream is not None:
                self.body_stream.deliver()
        except httptools.HttpParserError as error:
            raise InvalidRequestError(400, "not HTTP") from error
        finally:
            self.parsing = False
        if self.in_head:
            self.head_size += len(data)
        if self.error is not None and self.is_in_large_body():
            raise self.error
        if self.head_size > MAX_HEAD_SIZE:
            raise InvalidRequestError(431, HEAD_TOO_LARGE)

    def parse_messages(self, data: bytes) -> None:
        """Pass `data` to the parser; raises httptools.HttpParserError.

        The parser stops after the head of a request that offers an upgrade, and leaves the choice of protocol
        to its caller. An offer that is not accepted changes nothing in the request (RFC 9110, 7.8).
        """
        while self.parser is not None:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                if self.parser is None or self.is_tunnel_request():
                    return
                data = self.decline_upgrade() + data[upgrade.args[0] :]
            else:
                return

    def offers_upgrade(self) -> bool:
        """Return True if the request offers an upgrade that is still to be declined; see `parse_messages`."""
        if b"upgrade" not in self.headers or self.parser is None or self.is_tunnel_request():
            return False
        return bool(self.parser.should_upgrade())

    def is_tunnel_request(self) -> bool:
        """Return True for CONNECT, after whose head the connection is no longer HTTP."""
        return self.method() == b"CONNECT"

    def decline_upgrade(self) -> bytes:
        """Replace the parser after the head of a request that offers an upgrade.

        Returns the head that brings the new parser to the same place, without the offer. Its callbacks change
        nothing in the request until its end, which is then handled like that of any other head.
        """
        assert self.parser is not None
        head = framing_head(self.method(), self.parser.get_http_version(), self.headers)
        self.parser = httptools.HttpRequestParser(self)
        self.is_resuming = True
        return head

    def is_in_body(self) -> bool:
        """Return True between the head and the end of a request."""
        return self.in_request and not self.in_head

    def is_in_large_body(self) -> bool:
        """Return True inside a body that is too large to be read only to reach the next request."""
        return self.is_in_body() and max(self.body_size, self.content_length()) > MAX_BUFFERED_BYTES

    def close(self) -> None:
        """Release the parser and the request, since reference cycles with both outlive the connection."""
        self.parser = None
        self.body_stream = None
        self.reset_request()

    def method(self) -> bytes:
        """Return the request's method, empty once the connection is closed."""
        return self.parser.get_method() if self.parser is not None else b""

    def path(self) -> bytes:
        """Return the request target without its query."""
        return self.target.partition(b"?")[0]

    def content_length(self) -> int:
        """Return the Content-Length in bytes, 0 if it is missing or not a number."""
        value = self.headers.get(b"content-length", b"")
        return int(value) if value.isdigit() else 0

    def should_keep_alive(self) -> bool:
        """Return True if the connection persists after this request; valid only inside a parser callback."""
        if self.parser is None or self.http_version != "1.1" or self.is_tunnel_request():
            return False
        return bool(self.parser.should_keep_alive())

    def on_message_begin(self) -> None:
        """Handle the first byte of a request (httptools)."""
        if self.is_resuming:
            return
        self.reset_request()
        if self.any_request_started:  # the time of the first request starts with the connection
            self.request_started_at = self.received_at
        self.any_request_started = True
        self.in_request = self.in_head = True
        self.head_size = 0

    def on_url(self, url: bytes) -> None:
        """Handle a part of the request target (httptools)."""
        if not self.is_resuming:
            self.target += url
            self.kept_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header; trailers are ignored (httptools)."""
        if not self.in_head:
            return
        name = name.lower()
        if name not in KEPT_HEADERS:
            return
        value = value.strip()
        if name in self.headers:
            if name in UNIQUE_HEADERS:
                self.error = InvalidRequestError(400, f"{name.decode()} stands twice")
            elif name in FRAMING_HEADERS:
                value = b"%b, %b" % (self.headers[name], value)
        self.headers[name] = value
        self.kept_bytes += len(value)

    def on_headers_complete(self) -> None:
        """Handle the end of the headers (httptools)."""
        self.in_head = False
        self.is_resuming = False
        self.body_started_at = self.received_at
        if not self.offers_upgrade():
            self.headers_complete()

    def on_body(self, body: bytes) -> None:
        """Buffer or forward a part of the body (httptools)."""
        self.body_size += len(body)
        self.expects_continue = False  # the client did not wait for 100 Continue
        if self.body_size > MAX_BODY_BYTES:
            self.error = InvalidRequestError(413, BODY_TOO_LARGE)
        elif self.body_stream is not None:
            self.body_stream.feed(body)
        elif self.error is None:
            self.body += body
            if self.body_size > MAX_BUFFERED_BYTES:
                self.start_body_stream(None)

    def on_message_complete(self) -> None:
        """Handle the end of a request (httptools)."""
        if self.offers_upgrade():
            return
        self.in_request = False
        self.request_complete()


def framing_head(method: bytes, http_version: str, headers: dict[bytes, bytes]) -> bytes:
    """Return a request head with the same framing as one with these fields, and no others of them."""
    start_line = b"%b / HTTP/%b" % (method, http_version.encode())
    lines = [b"%b: %b" % (name, headers[name]) for name in FRAMING_HEADERS if name in headers]
    return b"\r\n".join([start_line, *lines, b"", b""])


def held_bytes(reader: RequestReader) -> int:
    """Return how many bytes of the request that is being read are buffered."""
    if not reader.in_request:
        return 0
    if reader.in_head:
        return reader.head_size
    streamed_bytes = reader.body_stream.buffered_bytes if reader.body_stream is not None else 0
    return reader.kept_bytes + len(reader.body) + streamed_bytes
