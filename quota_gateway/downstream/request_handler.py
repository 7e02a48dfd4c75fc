"""Handling of the requests on one client connection, between the parser and the dispatcher."""

from __future__ import annotations

import asyncio
from typing import Protocol

from quota_gateway.body_streaming import MAX_BODY_BYTES, MAX_BUFFERED_BYTES
from quota_gateway.downstream.body_end_bound import BodyEndBound
from quota_gateway.downstream.half_close import HalfClose
from quota_gateway.downstream.request_reader import BODY_TOO_LARGE, RequestReader
from quota_gateway.downstream.request_router import RequestRouter
from quota_gateway.downstream.response_queue import ResponseQueue
from quota_gateway.downstream.response_writer import ResponseConnection, ResponseWriter
from quota_gateway.errors import InvalidRequestError

MAX_INVALID_REQUESTS = 4  # invalid requests after which a connection is closed
# Seconds without reading after an invalid request, which costs as much work as a valid one.
INVALID_REQUEST_PAUSE = 0.1

# Memory in bytes of a request in progress, without its head and body.
REQUEST_OVERHEAD_BYTES = 3 * 1024

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestConnection(ResponseConnection, Protocol):
    """The parts of a connection that its request handler uses."""

    responses: ResponseQueue
    input_ended: bool  # no further request is accepted
    half_close: HalfClose
    body_stream_capacity: int  # bytes of a streamed body at which reading pauses

    def process_unread(self) -> None:
        """Parse received bytes as far as the limits allow."""


class RequestHandler(RequestReader):
    """Submits or rejects the requests of one connection in their order."""

    def __init__(self, connection: RequestConnection, router: RequestRouter, now: float) -> None:
        """Initialize for the connection that owns this handler; `now` is its start time in seconds."""
        super().__init__(now)
        self.connection: RequestConnection | None = connection  # None once the connection is closed
        self.router = router
        self.streaming_writer: ResponseWriter | None = None  # response to a request whose body is streamed
        self.body_end_bound: BodyEndBound | None = None  # of the body that is streamed
        self.invalid_requests = 0
        self.request_count = 0  # requests that have been read to their end
        self.error_pause_timer: asyncio.TimerHandle | None = None  # reading is paused while it is set

    def close(self) -> None:
        """Release the references to the connection, so that it is freed without the garbage collector."""
        if self.body_stream is not None:
            self.body_stream.detach_client()
        super().close()
        self.connection = None
        self.streaming_writer = None
        if self.error_pause_timer is not None:
            self.error_pause_timer.cancel()

    def parse(self, data: bytes) -> None:
        """Parse `data` and handle the requests that it completes."""
        try:
            self.feed(data)
        except InvalidRequestError as error:
            self.abort_request(error)

    def headers_complete(self) -> None:
        """Reject a body that exceeds the limit, stream a large one, and buffer a small one."""
        connection = self.connection
        if self.parser is None or connection is None or connection.input_ended:
            return
        self.http_version = self.parser.get_http_version()
        self.expects_continue = b"expect" in self.headers and self.http_version != "1.0"
        length = self.content_length()
        if length > MAX_BODY_BYTES:
            self.error = InvalidRequestError(413, BODY_TOO_LARGE)
        elif length > MAX_BUFFERED_BYTES:
            self.start_body_stream(length)
        self.send_continue()

    def send_continue(self) -> None:
        """Send 100 Continue to a client that waits for it, once all earlier responses are written."""
        connection = self.connection
        if (
            not self.expects_continue
            or self.error is not None
            or connection is None
            or connection.input_ended
        ):
            return
        if connection.transport is not None and connection.responses.is_first(self.streaming_writer):
            self.expects_continue = False
            connection.transport.write(CONTINUE_RESPONSE)

    def start_body_stream(self, length: int | None) -> None:
        """Submit a request whose body is too large to buffer; it is forwarded as it is received."""
        connection = self.connection
        if self.error is not None or connection is None:
            return
        if connection.half_close.is_started:
            self.error = InvalidRequestError(429, "its client has ended its sending")
            return
        try:
            request = self.router.parse_streamed(self, length)
        except InvalidRequestError as error:
            self.error = error
            return
        writer = ResponseWriter(connection, False, self.http_version)
        self.streaming_writer = writer
        self.body_end_bound = BodyEndBound(length, request.received_at)
        connection.responses.append(writer)
        self.body_stream = request.body_stream
        if self.body_stream is not None:
            self.body_stream.capacity = connection.body_stream_capacity
            self.body_stream.on_space_available = self.handle_body_capacity
            if self.body:
                self.body_stream.feed(bytes(self.body))
        self.body = bytearray()
        writer.request_id = self.router.dispatcher.submit(request, writer)

    def handle_body_capacity(self) -> None:
        """Resume parsing after the upstream has consumed part of a streamed body."""
        if self.connection is not None and not self.parsing:
            self.connection.process_unread()

    def request_complete(self) -> None:
        """Submit or reject a complete request; if its body was streamed, report only the end of the body."""
        connection = self.connection
        self.request_count += 1
        if connection is None:
            return
        if self.streaming_writer is not None:
            self.finish_body_stream(connection, self.streaming_writer)
            return
        if connection.input_ended:
            return
        keep_alive = self.should_keep_alive()
        writer = ResponseWriter(connection, keep_alive, self.http_version)
        writer.request_bytes = REQUEST_OVERHEAD_BYTES + self.kept_bytes + len(self.body)
        connection.responses.append(writer)
        connection.input_ended = not keep_alive
        try:
            if self.error is not None:
                raise self.error
            self.router.route(self, writer, connection.half_close.is_started)
        except InvalidRequestError as error:
            self.reject(connection, writer, error)
        self.body = bytearray()  # it has been copied

    def finish_body_stream(self, connection: RequestConnection, writer: ResponseWriter) -> None:
        """Report the end of a streamed body to the dispatcher."""
        bound = self.body_end_bound
        ended_at = self.arrived_at if bound is None else bound.end_of_body(self.body_size, self.arrived_at)
        self.body_stream = None
        self.streaming_writer = None
        self.body_end_bound = None
        if writer.unsent is None:  # no early response, after which the connection closes
            writer.keep_alive = not connection.input_ended and self.should_keep_alive()
            connection.input_ended = connection.input_ended or not writer.keep_alive
        self.router.dispatcher.request_body_received(writer.request_id, ended_at)

    def reject(
        self, connection: RequestConnection, writer: ResponseWriter, error: InvalidRequestError
    ) -> None:
        """Answer an invalid request and pause reading, since the client may repeat it at once."""
        self.invalid_requests += 1
        if self.invalid_requests >= MAX_INVALID_REQUESTS:
            writer.keep_alive = False
            connection.input_ended = True
        elif self.error_pause_timer is None:
            loop = asyncio.get_running_loop()
            self.error_pause_timer = loop.call_later(INVALID_REQUEST_PAUSE, self.resume_after_error)
        body = b"" if self.method() == b"HEAD" else f"{error}\n".encode()
        writer.send(error.status, body, error.headers)

    def resume_after_error(self) -> None:
        """Resume parsing after the pause that follows an invalid request."""
        self.error_pause_timer = None
        if self.connection is not None:
            self.connection.process_unread()

    def abort_incomplete_body(self) -> None:
        """Answer a request whose client has left before the end of a streamed body."""
        if self.streaming_writer is not None:
            self.abort_request(InvalidRequestError(400, "the body is not whole"))

    def abort_request(self, error: InvalidRequestError) -> None:
        """Answer a request that can't be read completely; no later request can be read either."""
        connection = self.connection
        if connection is None or connection.input_ended:
            return
        connection.input_ended = True
        if self.streaming_writer is not None:
            self.router.dispatcher.end_request(self.streaming_writer.request_id, error.status)
            return
        # the connection may stay open for seconds, until the client has read the error
        self.body = bytearray()
        writer = ResponseWriter(connection, False, self.http_version)
        connection.responses.append(writer)
        writer.send(error.status, f"{error}\n".encode())
