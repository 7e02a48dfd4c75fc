"""Timeouts of client connections: slow requests, unread responses, idle and closing connections."""

from __future__ import annotations

from quota_gateway.body_streaming import MAX_BUFFERED_BYTES
from quota_gateway.downstream.request_reader import RequestReader

READ_TIMEOUT = 2.5  # seconds for a complete head, and for a new connection's first byte: an error or a close
# is due within 3
BODY_STALL_TIMEOUT = 2.0  # seconds without a byte, for a body of which little has been read
LATE_STALL_TIMEOUT = 0.25  # seconds; the same, for a request that takes longer than a head may already
LARGE_BODY_STALL_TIMEOUT = 6.0  # seconds; the same, for a body that exceeds the buffered size already
MIN_BODY_RATE = 16 * 1024  # bytes a second, for a body of which little has been read: a slower one never ends
IDLE_TIMEOUT = 10.0  # seconds without a request, after which a connection is closed
CROWDED_IDLE_TIMEOUT = 2.1  # seconds; the same while many connections are open
CROWDED_FRACTION = 0.5  # of the connections that may be open, from which the shorter timeout holds
UNREAD_RESPONSE_TIMEOUT = 10.0  # seconds in which a client must read some of what was written to it
LINGER_TIMEOUT = 1.0  # seconds for a client to read the last response before its connection is reset
SENDING_LINGER_TIMEOUT = 4.0  # seconds; a client that sends a large body may not read until then


class UnreadResponseTimer:
    """Measures how long a client has read nothing of what was written to it."""

    __slots__ = ("progress_at", "unsent_bytes")

    def __init__(self) -> None:
        """Create a timer that `start` sets."""
        self.progress_at = 0.0  # seconds: when the client last read something
        self.unsent_bytes = 0

    def stop(self) -> None:
        """Note that nothing waits."""
        self.unsent_bytes = 0

    def start(self, now: float, unsent_bytes: int) -> None:
        """Start at a time at which so many bytes wait in the transport."""
        self.progress_at = now
        self.unsent_bytes = unsent_bytes

    def has_expired(self, now: float, unsent_bytes: int) -> bool:
        """Return True after the timeout; it starts when bytes begin to wait, and whenever fewer wait."""
        if not self.unsent_bytes or unsent_bytes < self.unsent_bytes:
            self.start(now, unsent_bytes)
            return False
        self.unsent_bytes = unsent_bytes  # of a further response
        return now - self.progress_at > UNREAD_RESPONSE_TIMEOUT


def is_body_stalled(request: RequestReader, last_read_at: float, now: float) -> bool:
    """Return True if the body has stalled, or is too slow ever to end."""
    stalled_for = now - last_read_at
    if request.body_size >= MAX_BUFFERED_BYTES:
        return stalled_for > LARGE_BODY_STALL_TIMEOUT
    elapsed = now - request.body_started_at
    is_late = now - request.request_started_at > READ_TIMEOUT
    stops = elapsed > READ_TIMEOUT or stalled_for > LATE_STALL_TIMEOUT
    is_slow = is_late and stops and request.body_size < MIN_BODY_RATE * elapsed
    return is_slow or stalled_for > BODY_STALL_TIMEOUT


def is_request_overdue(request: RequestReader, last_read_at: float, now: float) -> bool:
    """Return True if a request that is half read takes too long."""
    if request.in_head:
        return now - request.request_started_at > READ_TIMEOUT
    return is_body_stalled(request, last_read_at, now)


def linger_timeout(request: RequestReader) -> float:
    """Return the seconds that a closing connection stays open for its client to read."""
    return SENDING_LINGER_TIMEOUT if request.in_request else LINGER_TIMEOUT
