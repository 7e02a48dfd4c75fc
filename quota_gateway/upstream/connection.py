"""A connection to an endpoint, which sends one attempt at a time with flow control in both directions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from quota_gateway.body_streaming import RequestBodyStream, ResponseHead, StreamSink
from quota_gateway.memory_budget import BufferAccount, MemoryBudget
from quota_gateway.model.outcomes import Outcome
from quota_gateway.sockets.kernel_state import has_unread_input
from quota_gateway.upstream.attempt import AttemptResult, UpstreamAttempt
from quota_gateway.upstream.endpoint_connections import EndpointConnections
from quota_gateway.upstream.idle_timeout import AdaptiveIdleTimeout
from quota_gateway.upstream.read_timeout import ReadTimeout
from quota_gateway.upstream.response_parser import ResponseParser
from quota_gateway.upstream.write_timeout import WriteTimeout


class ConnectionOwner(Protocol):
    """What a connection needs from its pool."""

    clock: Callable[[], float]
    loop: asyncio.AbstractEventLoop
    read_buffer: bytearray
    memory: MemoryBudget
    idle_timeout: AdaptiveIdleTimeout
    attempts_written: int

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Register an established connection."""

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection, which may never have been established."""

    def check_send_invariants(
        self, attempt: UpstreamAttempt, endpoint: EndpointConnections, now: float
    ) -> None:
        """Check the invariants of an attempt that is about to be written."""

    def release(self, connection: UpstreamConnection) -> None:
        """Make a connection available for another attempt."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """A keep-alive connection that carries one attempt at a time."""

    def __init__(self, pool: ConnectionOwner, endpoint: EndpointConnections) -> None:
        """Initialize a connection that is not established yet."""
        self.pool = pool
        self.endpoint = endpoint
        self.attempt: UpstreamAttempt | None = None
        self.idle_since = 0.0  # seconds on the pool's clock
        self.idle_time = 0.0  # seconds of idle time before the current attempt; 0 for the first one
        self.transport: asyncio.Transport | None = None
        self._descriptor = -1
        self._response = ResponseParser(self._open_stream)
        self.read_timeout = ReadTimeout(pool.loop, pool.clock)
        self.is_reading_paused = False  # whether reading of a streamed response is paused
        self.is_writing_paused = False  # whether the kernel has yet to accept written data
        self._write_timeout = WriteTimeout(pool.loop)  # runs while writing is paused
        self._is_writing_body = False  # guards against reentrant sending
        self._account = BufferAccount(pool.memory)  # for the response

    def is_open(self) -> bool:
        """Return whether the connection is established and not closing."""
        return self.transport is not None and not self.transport.is_closing()

    def has_unread_input(self) -> bool:
        """Return whether a close, or bytes that would be taken for the next response, are unread."""
        return has_unread_input(self._descriptor)

    def close(self) -> None:
        """Close the connection at once; `connection_lost` follows in a later iteration of the event loop."""
        if self.transport is not None:
            self.transport.abort()

    def close_idle_siblings(self) -> None:
        """Close all idle connections to the same endpoint."""
        self.endpoint.close_all_idle()

    def send_attempt(self, attempt: UpstreamAttempt, now: float) -> None:
        """Send the attempt's request, with as much of a streamed body as is available."""
        assert self.transport is not None
        self.pool.check_send_invariants(attempt, self.endpoint, now)
        self.attempt = attempt
        attempt.connection = self
        self._response.reset()
        self.is_reading_paused = False
        self.transport.write(encode_request(attempt, now))
        body_stream = attempt.body_stream
        if body_stream is not None:
            body_stream.on_data = lambda: self._continue_sending(attempt)
        self._continue_sending(attempt)

    def _continue_sending(self, attempt: UpstreamAttempt) -> None:
        """Send what the kernel accepts of a streamed body; record when the request is completely written."""
        is_finished = attempt.written_at is not None or self.attempt is not attempt
        if self._is_writing_body or is_finished or self.transport is None:
            return
        body_stream = attempt.body_stream
        if body_stream is not None:
            self._is_writing_body = True  # taking a chunk may call this method again
            write_chunks(self, self.transport, body_stream)
            self._is_writing_body = False
        if self.is_writing_paused:
            return
        if body_stream is None or (body_stream.is_complete and not body_stream.chunks):
            attempt.written_at = self.pool.clock()
            self.pool.attempts_written += 1

    def pause_writing(self) -> None:
        """Stop sending: the kernel's send buffer is full."""
        self.is_writing_paused = True
        if self.transport is not None and self.attempt is not None:
            self._write_timeout.start(self.transport, self._descriptor, self.attempt.time_out_write)

    def resume_writing(self) -> None:
        """Resume sending: the kernel has accepted all written data."""
        self.is_writing_paused = False
        self._write_timeout.stop()
        if self.attempt is not None:
            self._continue_sending(self.attempt)

    def abandon(self, attempt: UpstreamAttempt) -> None:
        """Close the connection if it still carries `attempt`, whose response is no longer needed."""
        if self.attempt is attempt:
            self.attempt = None
            self._response.sink = None
            self.close()

    def forward_begun_response(self, attempt: UpstreamAttempt) -> bool:
        """Start forwarding the response if it has begun and may be long; return whether it is forwarded."""
        response = self._response
        if self.attempt is not attempt or not (response.is_length_unknown and response.start_streaming()):
            return False
        if not self.is_reading_paused:
            self.read_timeout.update(attempt, response)
        return True

    def pause(self) -> None:
        """Pause reading a streamed response, and its read timeout."""
        if self._response.sink is not None and not self.is_reading_paused and self.transport is not None:
            self.is_reading_paused = True
            self.transport.pause_reading()
            self.read_timeout.stop()

    def resume(self) -> None:
        """Resume reading a streamed response."""
        if self.is_reading_paused and self.transport is not None:
            self.is_reading_paused = False
            self.transport.resume_reading()
            if self.attempt is not None:
                self.read_timeout.restart(self.attempt, self._response)

    def get_buffer(self, sizehint: int) -> bytearray | memoryview:
        """Return the read buffer, which all connections share; a part of it while memory is short."""
        return self.pool.memory.readable_part(self.pool.read_buffer)

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that were read into the shared buffer."""
        self.data_received(bytes(memoryview(self.pool.read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response, and end the attempt if the response is complete or invalid."""
        attempt = self.attempt
        if attempt is None:
            self.close()  # unsolicited data, before a request or after its response
            return
        response = self._response
        attempt.response_bytes += len(data)
        response.feed(data)
        if self.attempt is not attempt:
            return  # the attempt ended while a part of the body was forwarded
        if response.is_complete:
            self._finish(attempt)
        elif response.is_invalid():
            # The endpoint may have executed the request even if its response is invalid.
            attempt.end(AttemptResult(Outcome.BROKEN_RESPONSE))
        elif response.is_in_progress and not self.is_reading_paused:
            if response.has_started and response.sink is None:
                attempt.response_started(self.pool.clock())
            update_account(self._account, response)
            self.read_timeout.restart(attempt, self._response)

    def _open_stream(self, head: ResponseHead) -> StreamSink | None:
        return self.attempt.open_stream(head) if self.attempt is not None else None

    def _finish(self, attempt: UpstreamAttempt) -> None:
        """End the attempt with its complete response; first release the connection for the next attempt."""
        self.read_timeout.stop()
        allows_reuse = self._response.allows_reuse() and attempt.written_at is not None
        result = self._response.take_result()
        self._account.update(0)
        if self.is_reading_paused and self.transport is not None:
            self.is_reading_paused = False
            self.transport.resume_reading()
        if allows_reuse:
            self.attempt = None
            attempt.connection = None
            self.pool.idle_timeout.record_reuse(self.idle_time)
            self.pool.release(self)
        attempt.end(result)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the established connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is no subclass of it
        # With a limit of 0, pause_writing is called whenever the kernel does not accept all written data.
        self.transport.set_write_buffer_limits(high=0)
        self._descriptor = self.transport.get_extra_info("socket").fileno()
        self.pool.connection_opened(self)

    def eof_received(self) -> bool:
        """Handle the endpoint's half-close, which may complete a response, and let the transport close."""
        if self.attempt is not None and self._response.complete_at_eof():
            self._finish(self.attempt)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt in flight, if any, and release the connection's resources."""
        self.pool.connection_closed(self)
        attempt = self.attempt
        self.attempt = None
        self.transport = None
        self.release()
        if attempt is None:
            return
        if not self._response.bytes_received:
            self.pool.idle_timeout.record_reset(self.idle_time, self.pool.clock() - attempt.started_at)
        # A request that was not completely written can't have been executed. One that was may have been, even
        # on a pooled connection that the endpoint had already closed.
        outcome = Outcome.CONNECT_FAILED if attempt.written_at is None else Outcome.BROKEN_RESPONSE
        attempt.end(AttemptResult(outcome))

    def release(self) -> None:
        """Release what a connection that has ended, or was never established, would keep or keep it alive."""
        self._response.release()
        self._account.update(0)
        self.read_timeout.stop()
        self._write_timeout.stop()


def update_account(account: BufferAccount, response: ResponseParser) -> None:
    """Count what is buffered of a response; while memory is short, forward it before it is complete."""
    account.update(response.buffered_bytes)
    if not account.may_grow and not response.is_complete and response.start_streaming():
        account.update(0)


def write_chunks(
    connection: UpstreamConnection, transport: asyncio.Transport, body_stream: RequestBodyStream
) -> None:
    """Write what is available of a streamed body, until the kernel's send buffer is full."""
    while not connection.is_writing_paused and (chunk := body_stream.next_chunk()):
        transport.write(chunk)
    if connection.is_writing_paused or body_stream.chunks or not body_stream.is_complete:
        return
    if end := body_stream.take_last_chunk():
        transport.write(end)


def encode_request(attempt: UpstreamAttempt, now: float) -> bytes:
    """Return the request's head with the time budget left at `now`, and its body unless it is streamed."""
    body_stream = attempt.body_stream
    if body_stream is None:
        framing = b""
        time_budget = attempt.time_budget(now)
    else:
        framing = body_stream.framing_header
        time_budget = body_stream.time_budget
    return b"%b%bX-Budget: %.3f\r\n\r\n%b" % (attempt.head, framing, time_budget, attempt.body)
