"""A client's request as the dispatcher receives it, and the channel for its response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from quota_gateway.body_streaming import RequestBodyStream, ResponseHead, StreamSink, StreamSource


@dataclass(slots=True)
class ClientRequest:
    """A client's request in the protocol's terms. All times are seconds."""

    call_id: bytes
    received_at: float  # when its last byte came; for a streamed body, until then, when its head did
    budget: float  # how long the client waits for its response
    request_class: str
    plan: str
    customer: str
    units: float
    quota_spread: int
    first_gateway: int
    is_retry: bool
    head: bytes  # request line and headers for an endpoint, without the budget and the blank line
    body: bytes
    body_stream: RequestBodyStream | None = None  # takes the place of `body` for a long one
    read_at: float = 0.0  # when its last byte was read here, which may be some time after it came


class ResponseChannel(StreamSink, Protocol):
    """Takes the one response to a request: in full by `send`, or as a stream from `begin_stream` on."""

    def send(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Send a full response; `headers` are complete header lines."""

    def begin_stream(self, head: ResponseHead, source: StreamSource) -> None:
        """Send the head of a 200 response; `write_body` follows. Pausing `source` applies backpressure."""

    def end_stream(self) -> None:
        """End a streamed response whose body is complete."""

    def abort_stream(self) -> None:
        """Break a streamed response off so that the client can tell that it is incomplete."""

    def client_disconnected(self) -> bool:
        """Return True if the client has closed its side, also if the event loop has not reported it yet."""
