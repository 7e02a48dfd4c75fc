"""A connection of the admin API: a single HTTP/1.1 request, limited in size and time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import httptools

from quota_gateway.admin.operations import AdminOperations

MAX_REQUEST_SIZE = 8 * 1024  # bytes of head and body; no operation needs a body
REQUEST_TIMEOUT = 1.0  # seconds in which the request has to arrive; operators' tools send it at once
LINGER_TIMEOUT = 1.0  # seconds for the peer to read the response and close before the connection is aborted

# Reason phrases of RFC 9110; HTTPStatus in Python 3.11 has an older one for 413.
REASON_PHRASES = {
    HTTPStatus.OK: "OK",
    HTTPStatus.BAD_REQUEST: "Bad Request",
    HTTPStatus.NOT_FOUND: "Not Found",
    HTTPStatus.METHOD_NOT_ALLOWED: "Method Not Allowed",
    HTTPStatus.REQUEST_TIMEOUT: "Request Timeout",
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: "Content Too Large",
    HTTPStatus.SERVICE_UNAVAILABLE: "Service Unavailable",
}


class AdminConnection(asyncio.Protocol):
    """Reads one request, responds to it and closes."""

    def __init__(
        self, operations: AdminOperations, on_connection_lost: Callable[[AdminConnection], None]
    ) -> None:
        """Initialize the connection; `on_connection_lost` is called when it has ended."""
        self.operations = operations
        self.on_connection_lost = on_connection_lost
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""
        self.received_size = 0  # bytes
        self.responded = False
        self.timer: asyncio.TimerHandle | None = None  # of REQUEST_TIMEOUT, then of LINGER_TIMEOUT

    def abort(self) -> None:
        """Abort the connection without waiting for the peer."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the request."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class does not inherit from it
        self._restart_timer(REQUEST_TIMEOUT, self._time_out_request)

    def data_received(self, data: bytes) -> None:
        """Feed the parser, which calls on_url and on_message_complete."""
        if self.responded or self.parser is None:
            return  # read and discarded: unread input would reset the connection before its response is read
        self.received_size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._respond(HTTPStatus.BAD_REQUEST, "not HTTP\n")
        if self.received_size > MAX_REQUEST_SIZE:
            self._respond(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the call is over 8 KiB\n")

    def eof_received(self) -> bool:
        """Reject a request that is incomplete, and let the transport close itself."""
        if not self.responded:
            self._respond(HTTPStatus.BAD_REQUEST, "no whole call came\n")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the timer and the parser, and report the end of the connection."""
        if self.timer is not None:
            self.timer.cancel()
        self.transport = None
        self.parser = None
        self.on_connection_lost(self)

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which the parser may pass in parts."""
        self.target += url

    def on_message_complete(self) -> None:
        """Execute the first complete request; pipelined ones are ignored."""
        if self.responded or self.parser is None:
            return
        method = self.parser.get_method().decode("latin-1")
        path = self.target.decode("latin-1").partition("?")[0]
        response = self.operations.handle_request(method, path)
        self._respond(response.status, "" if method == "HEAD" else response.text)

    def _time_out_request(self) -> None:
        self._respond(HTTPStatus.REQUEST_TIMEOUT, "no call came in time\n")

    def _respond(self, status: HTTPStatus, text: str) -> None:
        if self.responded or self.transport is None:
            return
        self.responded = True
        head = (
            f"HTTP/1.1 {status.value} {REASON_PHRASES[status]}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n"
        )
        self.transport.write((head + text).encode("latin-1"))
        self.transport.write_eof()
        self._restart_timer(LINGER_TIMEOUT, self.abort)

    def _restart_timer(self, delay: float, callback: Callable[[], None]) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay, callback)
