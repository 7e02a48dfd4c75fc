"""HTTP connection to a discovery agent."""

from __future__ import annotations

import asyncio
import math
from typing import cast

import httptools

from quota_gateway.errors import DiscoveryUnavailableError, EndpointListError

OK_STATUS = 200
UNAVAILABLE_STATUSES = (429, 503)  # the agent lacks capacity; the request was valid
MAX_BODY_SIZE = 4 * 1024 * 1024  # bytes; enough for a list of thousands of endpoints


def parse_retry_after(value: bytes) -> float:
    """Return a Retry-After value in seconds; 0 if it is invalid or a date, which is not supported."""
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return seconds if 0.0 < seconds < math.inf else 0.0


class DiscoveryConnection(asyncio.Protocol):
    """A connection to the agent, with at most one request in flight."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[bytes] | None = None  # of the request in flight
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.keep_alive = False
        self.retry_after = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class does not inherit from it

    def request(self, target: str, host: str) -> asyncio.Future[bytes]:
        """Send a GET request and return the future of the response body.

        The future fails with DiscoveryUnavailableError if the agent lacks capacity or the connection ends,
        and with EndpointListError for any other status but 200 and for invalid or too large responses.
        """
        assert self.transport is not None
        self.retry_after = 0.0
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        return self.response

    def fail(self, error: EndpointListError) -> None:
        """Fail the request in flight, if any, and abort the connection."""
        response = self.take_response()
        if response is not None:
            response.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def take_response(self) -> asyncio.Future[bytes] | None:
        """Return the future of the request in flight, which is over then; None if nobody waits for it."""
        response = self.response
        self.response = None
        return None if response is None or response.done() else response

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record the Retry-After header; ignore all others."""
        if name.lower() == b"retry-after":
            self.retry_after = parse_retry_after(value)

    def on_body(self, body: bytes) -> None:
        """Append a part of the response body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Complete the request in flight with the response."""
        body = bytes(self.body)
        self.body = bytearray()  # a list may have megabytes, and the next one may come much later
        response = self.take_response()
        if response is None or self.parser is None:
            return
        self.keep_alive = self.parser.should_keep_alive()  # valid only during this callback
        status = self.parser.get_status_code()
        if status == OK_STATUS:
            response.set_result(body)
            return
        error_type = DiscoveryUnavailableError if status in UNAVAILABLE_STATUSES else EndpointListError
        response.set_exception(error_type(f"HTTP status {status}", self.retry_after))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; fail the request if they are not HTTP or the body is too large."""
        if self.parser is None:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(EndpointListError(str(error)))
        if len(self.body) > MAX_BODY_SIZE:
            self.fail(EndpointListError(f"the list is larger than {MAX_BODY_SIZE} bytes"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight, if any, and release the parser and the body.

        The parser's reference cycle with this object would outlive the connection.
        """
        self.fail(DiscoveryUnavailableError("the connection was closed"))
        self.transport = None
        self.parser = None
        self.body = bytearray()
