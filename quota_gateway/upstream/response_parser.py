"""Parses the response to an attempt with httptools and enforces limits on its size.

A response of up to MAX_BUFFERED_BYTES is buffered. A longer one is forwarded to a sink as it arrives, if
there is one. Interim (1xx) responses are skipped, and bytes after the response only prevent the connection
from being reused.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import httptools

from quota_gateway.body_streaming import MAX_BODY_BYTES, MAX_BUFFERED_BYTES, ResponseHead, StreamSink
from quota_gateway.model.outcomes import Outcome
from quota_gateway.upstream.attempt import AttemptResult
from quota_gateway.upstream.response_headers import ResponseHeaders

# Most bytes before the body, including interim responses; a normal head takes a hundredth of it.
MAX_HEAD_BYTES = 32 * 1024
# Most bytes of chunk framing per byte of the body, since a chunk may be as small as one byte.
MAX_FRAMING_PER_BODY_BYTE = 64
# Response statuses with which `X-Rejected: 1` means that the request was not executed.
REJECTION_STATUSES = (503, 504)


class ResponseParser:
    """Parses the responses on one connection, one after the other."""

    __slots__ = (
        "_body",
        "_has_extra_message",
        "_headers",
        "_is_in_body",
        "_is_malformed",
        "_keep_alive",
        "_open_stream",
        "_parser",
        "_status",
        "body_size",
        "bytes_received",
        "is_complete",
        "is_in_progress",
        "sink",
    )

    def __init__(self, open_stream: Callable[[ResponseHead], StreamSink | None]) -> None:
        """Initialize; `open_stream` returns a sink for a long response, or None if it can't be forwarded."""
        self._open_stream: Callable[[ResponseHead], StreamSink | None] | None = open_stream
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        """Prepare for the response to the next attempt."""
        self.bytes_received = 0
        self.is_complete = False
        self.is_in_progress = False  # whether a message has begun but not ended
        self.sink: StreamSink | None = None  # receives the body of a long response
        self._status = 0
        self._keep_alive = False
        self._has_extra_message = False  # whether another message began after the response
        self._is_malformed = False
        self._is_in_body = False
        self._reset_message()

    def _reset_message(self) -> None:
        self._headers = ResponseHeaders()
        self._body = bytearray()  # what is buffered of it
        self.body_size = 0  # bytes of the body that have been received

    def release(self) -> None:
        """Break the reference cycles with the parser and the connection, so that they are freed at once."""
        self._parser = None
        self._open_stream = None

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection, and forward those of a streamed body together."""
        self.bytes_received += len(data)
        self._parse(data)
        self._forward()

    def _parse(self, data: bytes) -> None:
        while self._parser is not None and data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                # An unsolicited 101 response. The final response follows it, and needs a new parser.
                self._parser = httptools.HttpResponseParser(self)
                data = data[upgrade.args[0] :]
            except httptools.HttpParserError:
                self._is_malformed = True
                return
            else:
                return

    def is_invalid(self) -> bool:
        """Return whether the response is malformed or exceeds a limit, so that it can't be completed."""
        max_bytes = MAX_HEAD_BYTES
        if self._is_in_body:
            max_bytes += 2 * MAX_BUFFERED_BYTES + MAX_FRAMING_PER_BODY_BYTE * self.body_size
        max_body_bytes = MAX_BUFFERED_BYTES if self.sink is None else MAX_BODY_BYTES
        return self._is_malformed or self.bytes_received > max_bytes or self.body_size > max_body_bytes

    @property
    def has_started(self) -> bool:
        """Whether the head of a successful response is complete."""
        return self._is_in_body and self._may_be_streamed()

    @property
    def is_length_unknown(self) -> bool:
        """Whether the body of a successful response has begun and may turn out to be too long to buffer."""
        has_no_length = self._is_in_body and self._headers.content_length is None
        return has_no_length and self.may_be_short and not self.is_complete and self._may_be_streamed()

    @property
    def may_be_short(self) -> bool:
        """Whether the body may end within the buffer limit."""
        length = self._headers.content_length
        return self.body_size <= MAX_BUFFERED_BYTES and (length is None or length <= MAX_BUFFERED_BYTES)

    @property
    def buffered_bytes(self) -> int:
        """The bytes of the body that are buffered."""
        return len(self._body)

    def start_streaming(self) -> bool:
        """Forward the response from now on, whatever its length; return False if it can't be forwarded."""
        if self.sink is None and self._open_stream is not None and self._may_be_streamed():
            headers = self._headers
            head = ResponseHead(headers.content_length, headers.forwarded_headers, headers.billed_units)
            self.sink = self._open_stream(head)
            self._forward()
        return self.sink is not None

    def _forward(self) -> None:
        """Pass what is buffered to the sink, if the response is streamed."""
        if self.sink is not None and self._body:
            data = bytes(self._body)
            self._body.clear()
            self.sink.write_body(data)

    def complete_at_eof(self) -> bool:
        """Handle the end of the stream and return whether it completes the response.

        It does so only if the response has no length and announced `Connection: close`. Otherwise a broken
        connection could not be distinguished from the end of the response.
        """
        if self.is_complete or self._is_malformed:
            return False
        self.is_complete = self._is_in_body and self._headers.is_ended_by_eof
        return self.is_complete

    def allows_reuse(self) -> bool:
        """Return whether the connection may carry another request after this complete response."""
        has_fault = self._has_extra_message or self._is_malformed
        return self._keep_alive and not has_fault and self._has_full_body()

    def take_result(self) -> AttemptResult:
        """Return the result of a complete response, and release its buffer and sink."""
        has_full_body = self._has_full_body()
        body = bytes(self._body)
        self._body = bytearray()
        self.sink = None
        if not has_full_body:
            return AttemptResult(Outcome.BROKEN_RESPONSE)
        return result_of(self._status, self._headers, body, self.body_size)

    def _has_full_body(self) -> bool:
        """Return whether the entire body was buffered or forwarded."""
        return self.sink is not None or self.body_size <= MAX_BUFFERED_BYTES

    def on_message_begin(self) -> None:
        """Start a message: an interim response, the final response, or an unsolicited one."""
        self.is_in_progress = True
        if self.is_complete:
            self._has_extra_message = True
        else:
            self._reset_message()  # discards the content of an interim response

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailers and the headers of unsolicited messages are ignored."""
        if self.is_complete or self._is_in_body:
            return
        self._headers.add(name, value)
        if self._headers.is_malformed:
            self._is_malformed = True  # also if an interim response is malformed

    def on_headers_complete(self) -> None:
        """Start the response body; stream it if its declared length exceeds the buffer limit."""
        if self.is_complete or self._parser is None:
            return
        status = self._parser.get_status_code()
        if is_interim(status):
            return
        self._is_in_body = True
        self._status = status
        content_length = self._headers.content_length
        if content_length is not None and content_length > MAX_BUFFERED_BYTES:
            self._is_malformed = not self.start_streaming()

    def on_body(self, data: bytes) -> None:
        """Buffer or forward a part of the body."""
        if self.is_complete:
            return
        self.body_size += len(data)
        if self.body_size <= (MAX_BUFFERED_BYTES if self.sink is None else MAX_BODY_BYTES):
            self._body += data
        elif self.sink is None and self._may_be_streamed():
            self._body += data
            self._is_malformed = not self.start_streaming()

    def _may_be_streamed(self) -> bool:
        """Return False for an error, whose body is not forwarded, and for a malformed response."""
        return self._status == 200 and not self._is_malformed

    def on_message_complete(self) -> None:
        """End a message, which completes the response unless it is an interim one."""
        if self.is_complete or self._parser is None:
            return
        self.is_in_progress = False
        status = self._parser.get_status_code()
        if not is_interim(status):
            self.is_complete = True
            self._status = status
            self._keep_alive = self._parser.should_keep_alive()  # known only during this callback


def result_of(status: int, headers: ResponseHeaders, body: bytes, body_size: int) -> AttemptResult:
    """Return the result of a complete response, of whose `body_size` bytes `body` has been buffered."""
    if status == HTTPStatus.OK:
        return AttemptResult(
            Outcome.SUCCESS, body, headers.billed_units, headers.forwarded_headers, body_size
        )
    if headers.is_rejection and status in REJECTION_STATUSES:
        return AttemptResult(Outcome.REJECTED)
    return AttemptResult(Outcome.ERROR)


def is_interim(status: int) -> bool:
    """Return whether a response with this status is followed by the final response."""
    return 100 <= status < 200
