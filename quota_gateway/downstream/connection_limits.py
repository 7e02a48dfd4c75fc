"""Timeouts of client connections: slow requests, unread responses, idle and closing connections."""

from __future__ import annotations

from quota_gateway.body_streaming import MAX_BUFFERED_BYTES
from quota_gateway.downstream.request_reader import RequestReader

# Seconds for a complete request head, and for the first byte on a new connection. An error response or a
# close must follow within 3.
READ_TIMEOUT = 2.5
BODY_STALL_TIMEOUT = 2.0  # seconds without data allowed while less than MAX_BUFFERED_BYTES have been read
SLOW_BODY_STALL_TIMEOUT = 0.25  # seconds without data after which a late body is held to MIN_BODY_RATE
LARGE_BODY_STALL_TIMEOUT = 6.0  # seconds without data allowed once MAX_BUFFERED_BYTES have been read
MIN_BODY_RATE = 16 * 1024  # bytes per second of a body below MAX_BUFFERED_BYTES; a slower one never ends
IDLE_TIMEOUT = 10.0  # seconds without a request after which a connection is closed
BUSY_IDLE_TIMEOUT = 2.1  # seconds without a request after which one is closed while many are open
BUSY_FRACTION = 0.5  # fraction of the connection limit at which the shorter idle timeout applies
UNREAD_RESPONSE_TIMEOUT = 10.0  # seconds within which a client must read some of the data sent to it
LINGER_TIMEOUT = 1.0  # seconds for a client to read the last response before its connection is reset
SENDING_LINGER_TIMEOUT = 4.0  # seconds for a client that is still sending a body: it may not read until then


class UnreadResponseTimer:
    """Measures how long a client has read none of the data sent to it."""

    __slots__ = ("last_progress_at", "unsent_bytes")

    def __init__(self) -> None:
        """Initialize a stopped timer."""
        self.last_progress_at = 0.0  # seconds: time at which the client last read something
        self.unsent_bytes = 0

    def stop(self) -> None:
        """Stop the timer: no data waits to be sent."""
        self.unsent_bytes = 0

    def start(self, now: float, unsent_bytes: int) -> None:
        """Start the timer at `now`, while `unsent_bytes` wait in the transport."""
        self.last_progress_at = now
        self.unsent_bytes = unsent_bytes

    def has_expired(self, now: float, unsent_bytes: int) -> bool:
        """Return True after the timeout, which restarts whenever fewer bytes wait than before."""
        if not self.unsent_bytes or unsent_bytes < self.unsent_bytes:
            self.start(now, unsent_bytes)
            return False
        self.unsent_bytes = unsent_bytes  # may have grown by a further response
        return now - self.last_progress_at > UNREAD_RESPONSE_TIMEOUT


def is_request_late(request: RequestReader, now: float) -> bool:
    """Return True if a complete request head would have had to arrive by now."""
    return now - request.request_started_at > READ_TIMEOUT


def is_body_stalled(request: RequestReader, last_read_at: float, now: float) -> bool:
    """Return True if the body has stalled, or is too slow ever to end."""
    stalled_for = now - last_read_at
    if request.body_size >= MAX_BUFFERED_BYTES:
        return stalled_for > LARGE_BODY_STALL_TIMEOUT
    elapsed = now - request.body_started_at
    is_late = is_request_late(request, now)
    rate_applies = elapsed > READ_TIMEOUT or stalled_for > SLOW_BODY_STALL_TIMEOUT
    is_slow = is_late and rate_applies and request.body_size < MIN_BODY_RATE * elapsed
    return is_slow or stalled_for > BODY_STALL_TIMEOUT


def is_request_overdue(request: RequestReader, last_read_at: float, now: float) -> bool:
    """Return True if a partly read request takes too long."""
    if request.in_head:
        return is_request_late(request, now)
    return is_body_stalled(request, last_read_at, now)


def linger_timeout(request: RequestReader) -> float:
    """Return for how many seconds a closing connection stays open so that its client can read."""
    return SENDING_LINGER_TIMEOUT if request.in_request else LINGER_TIMEOUT
