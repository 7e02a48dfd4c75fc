"""A client's request as the dispatcher receives it, and the channel for its response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from quota_gateway.body_streaming import RequestBodyStream, ResponseHead, StreamSink, StreamSource


@dataclass(slots=True)
class ClientRequest:
    """A parsed client request. All times are in seconds."""

    call_id: bytes
    received_at: float  # when the last byte arrived; until a streamed body is complete, when the head did
    client_timeout: float  # how long the client waits for the response
    request_class: str
    plan: str
    customer: str
    units: float
    quota_spread: int  # number of gateways over which the customer's requests are spread
    first_gateway_index: int  # index of the first of these gateways
    is_retry: bool  # whether the client sends this request again
    head: bytes  # request line and header lines for the endpoint, without X-Budget and the blank line
    body: bytes
    body_stream: RequestBodyStream | None = None  # replaces a `body` that is too long to buffer
    forbids_repeats: bool = False  # the request must not be executed twice
    read_at: float = 0.0  # when the last byte was read, which may be some time after it arrived


class ResponseChannel(StreamSink, Protocol):
    """Sends the only response to a request: complete with `send`, or streamed after `begin_stream`."""

    def send(self, status: int, body: bytes, headers: bytes = b"") -> None:
        """Send a complete response; `headers` holds header lines, each with its line ending."""

    def begin_stream(self, head: ResponseHead, source: StreamSource) -> None:
        """Send the head of a 200 response, followed by `write_body`; backpressure pauses `source`."""

    def end_stream(self) -> None:
        """End a streamed response whose body is complete."""

    def abort_stream(self) -> None:
        """Abort a streamed response so that the client can tell that it is incomplete."""

    def client_disconnected(self) -> bool:
        """Return whether the client has closed its side, even if the event loop has not reported it yet."""
